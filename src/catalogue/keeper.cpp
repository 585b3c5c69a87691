#include <algorithm>

#include "catalogue/replica.h"

namespace violettide::catalogue {

Keeper::Keeper(KeeperTerms terms, BoxIndex boxes, int rungs)
    : terms_(terms), writer_(std::move(boxes), rungs) {}

std::vector<KeeperAct> Keeper::handle(const KeeperEvent& event) {
  std::vector<KeeperAct> actions;
  std::visit([&](const auto& what) { on(what, actions); }, event);
  return actions;
}

// Guards against a tool or a feed that empties the catalogue at a stroke by mistake.
// By what is left on the whole: moves are no shrink, however many.
bool Keeper::shrinks(const Applied& applied) const {
  const auto before = writer_.present()->sums.locations;
  if (before <= terms_.small)
    return false;
  return static_cast<double>(applied.snapshot->sums.locations) <
         terms_.shrink_believed * static_cast<double>(before);
}

void Keeper::on(const Asked& what, std::vector<KeeperAct>& actions) {
  if (waiting_.size() >= terms_.most_waiting) {
    actions.push_back(Answer{
        what.ticket, Answered::busy, writer_.present()->revision, {}, "too many changes wait to be kept"});
    return;
  }
  waiting_.push_back({what, what.changes, std::nullopt, 0});
  next(actions);
}

void Keeper::on(const Fed& what, std::vector<KeeperAct>& actions) {
  // What is queued counts as had, or each poll while a keep is slow would bring it again.
  Revision had = writer_.present()->revision + waiting_.size();
  for (std::size_t i = 0; i < what.batches.size(); ++i) {
    const auto revision = what.from + i;
    if (revision <= had)
      continue;  // told twice
    if (revision != had + 1) {
      actions.push_back(AskFeed{
          had, true, "batch " + std::to_string(revision) + " does not follow " + std::to_string(had)});
      return;
    }
    waiting_.push_back({std::nullopt, what.batches[i], std::nullopt, revision});
    had = revision;
  }
  next(actions);
  const bool asks = std::any_of(actions.begin(), actions.end(),
                                [](auto& act) { return std::holds_alternative<AskFeed>(act); });
  if (waiting_.empty() && !asks)
    actions.push_back(AskFeed{writer_.present()->revision, false, ""});
}

void Keeper::on(const FedWhole& what, std::vector<KeeperAct>& actions) {
  // Guards against a feed that fell behind its own word, or was restored from long ago.
  if (what.revision < writer_.present()->revision) {
    actions.push_back(AskFeed{writer_.present()->revision, false,
                              "a whole catalogue older than the one held: passed over"});
    return;
  }
  std::erase_if(waiting_, [&](const auto& w) { return !w.asked && &w != &waiting_.front(); });
  waiting_.push_back({std::nullopt, {}, what, what.revision});
  next(actions);
}

void Keeper::next(std::vector<KeeperAct>& actions) {
  while (!keeping_ && !waiting_.empty()) {
    if (begin(waiting_.front(), actions))
      return;
    waiting_.pop_front();
  }
}

// True: it is on its way to the disk. False: it is answered, or let go.
bool Keeper::begin(Waiting& waiting, std::vector<KeeperAct>& actions) {
  const auto present = writer_.present()->revision;
  const auto refuse = [&](Answered how, Bad bad, std::string cause) {
    if (waiting.asked)
      actions.push_back(Answer{waiting.asked->ticket, how, present, std::move(bad), std::move(cause)});
    return false;
  };
  if (waiting.asked && waiting.asked->if_revision && *waiting.asked->if_revision != present)
    return refuse(Answered::stale, {}, "the catalogue is at revision " + std::to_string(present));
  if (!waiting.asked && !waiting.whole && waiting.expected != present + 1)
    return false;  // had meanwhile
  if (waiting.whole) {
    // As changes on top of what is held: what it doesn't name goes, what is the same stays shared.
    std::map<std::string_view, const Recording*> named;
    for (const auto& recording : waiting.whole->recordings)
      named[recording.title] = &recording;
    writer_.present()->each([&](const std::string& title, const Entry& entry) {
      const auto found = named.find(title);
      if (found == named.end())
        waiting.changes.push_back(RemoveRecording{title});
      else if (writer_.present()->recording_of(title, entry) == *found->second)
        named.erase(found);
    });
    for (const auto& [title, recording] : named)
      waiting.changes.push_back(PutRecording{*recording});
  }
  auto result = writer_.apply(waiting.changes);
  if (auto* bad = std::get_if<Bad>(&result)) {
    if (waiting.asked)
      return refuse(Answered::bad, *bad, bad->cause);
    actions.push_back(
        AskFeed{present, !waiting.whole,
                "change " + std::to_string(bad->change) + ", " + bad->field + ": " + bad->cause});
    return false;
  }
  auto& applied = std::get<Applied>(result);
  if (shrinks(applied)) {
    const auto cause = "leaves " + std::to_string(applied.snapshot->sums.locations) + " of " +
                       std::to_string(writer_.present()->sums.locations) + " locations: confirm it";
    if (waiting.asked && !waiting.asked->confirmed)
      return refuse(Answered::held, {}, cause);
    // A feed confirms by saying so again, be it of a later revision: nobody else can be asked.
    if (!waiting.asked && (!held_ || *held_ > waiting.expected)) {
      held_ = waiting.expected;
      actions.push_back(AskFeed{present, waiting.whole.has_value(), cause});
      std::erase_if(waiting_, [&](const auto& w) { return !w.asked && &w != &waiting; });
      return false;
    }
  }
  held_.reset();
  if (waiting.whole) {
    auto at = std::make_shared<Snapshot>(*applied.snapshot);
    at->revision = waiting.whole->revision;
    applied.snapshot = std::move(at);
  }
  ToKeep keep{applied.snapshot->revision, waiting.changes, waiting.whole.has_value()};
  if (waiting.whole) {
    keep.changes.clear();
    for (const auto& recording : waiting.whole->recordings)
      keep.changes.push_back(PutRecording{recording});
  }
  actions.push_back(std::move(keep));
  applying_ = std::move(applied);
  keeping_ = true;
  return true;
}

void Keeper::on(const Kept& what, std::vector<KeeperAct>& actions) {
  if (!keeping_ || waiting_.empty() || !applying_ || applying_->snapshot->revision != what.revision)
    return;
  auto done = std::move(waiting_.front());
  waiting_.pop_front();
  keeping_ = false;
  auto applied = std::move(*applying_);
  applying_.reset();
  if (what.failed) {
    // Nothing of it is in force; those behind it meet the same disk and hear so themselves.
    if (done.asked)
      actions.push_back(
          Answer{done.asked->ticket, Answered::not_kept, writer_.present()->revision, {}, *what.failed});
    else
      actions.push_back(AskFeed{writer_.present()->revision, false, *what.failed});
    return next(actions);
  }
  Changed changed{applied.changed, done.whole.has_value()};
  writer_.commit(std::move(applied));
  if (done.whole)
    log_.clear();  // what came before it can't be told apart any more
  else
    log_.emplace_back(what.revision, std::move(done.changes));
  while (log_.size() > terms_.batches_kept)
    log_.pop_front();
  actions.push_back(std::move(changed));
  if (done.asked)
    actions.push_back(Answer{done.asked->ticket, Answered::taken, what.revision, {}, ""});
  const bool was_fed = !done.asked;
  next(actions);
  if (was_fed && waiting_.empty())
    actions.push_back(AskFeed{writer_.present()->revision, false, ""});
}

std::optional<std::string> Keeper::restore(Revision revision, const std::vector<Recording>& recordings) {
  writer_.reset(0);
  std::vector<Change> changes;
  changes.reserve(recordings.size());
  for (const auto& recording : recordings)
    changes.push_back(PutRecording{recording});
  auto result = writer_.apply(changes);
  if (const auto* bad = std::get_if<Bad>(&result))
    return "recording " + std::to_string(bad->change) + ", " + bad->field + ": " + bad->cause;
  writer_.commit(std::get<Applied>(std::move(result)));
  writer_.at_revision(revision);
  log_.clear();
  return std::nullopt;
}

std::optional<std::string> Keeper::restore(Revision revision, const std::vector<Change>& changes) {
  const auto present = writer_.present()->revision;
  if (revision != present + 1)
    return "batch " + std::to_string(revision) + " does not follow revision " + std::to_string(present);
  auto result = writer_.apply(changes);
  if (const auto* bad = std::get_if<Bad>(&result))
    return "batch " + std::to_string(revision) + ", change " + std::to_string(bad->change) + ", " +
           bad->field + ": " + bad->cause;
  writer_.commit(std::get<Applied>(std::move(result)));
  log_.emplace_back(revision, changes);
  while (log_.size() > terms_.batches_kept)
    log_.pop_front();
  return std::nullopt;
}

std::optional<std::vector<std::pair<Revision, const std::vector<Change>*>>> Keeper::after(
    Revision revision, std::size_t most) const {
  const auto present = writer_.present()->revision;
  std::vector<std::pair<Revision, const std::vector<Change>*>> batches;
  if (revision == present)
    return batches;
  if (revision > present || log_.empty() || log_.front().first > revision + 1)
    return std::nullopt;
  for (const auto& [at, changes] : log_) {
    if (at > revision && batches.size() < most)
      batches.emplace_back(at, &changes);
  }
  return batches;
}

}  // namespace violettide::catalogue
