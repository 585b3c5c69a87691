// How a replica queues, checks and acknowledges batches, and follows a feed.
#include "catalogue/replica.h"

#include <algorithm>

namespace violettide::catalogue {

Replica::Replica(ReplicaConfig config, BoxIndex boxes, int rungs)
    : config_(config), writer_(std::move(boxes), rungs) {}

std::vector<ReplicaAction> Replica::handle(const ReplicaEvent& event) {
  std::vector<ReplicaAction> actions;
  std::visit([&](const auto& happened) { on(happened, actions); }, event);
  return actions;
}

// Guards against a tool or a feed that empties most of the catalogue in one batch by mistake. Compares
// totals, so that moving any number of locations needs no confirmation.
bool Replica::needs_confirmation(const AppliedBatch& applied) const {
  const auto before = writer_.current()->totals.locations;
  if (before <= config_.unguarded_locations)
    return false;
  return static_cast<double>(applied.snapshot->totals.locations) <
         config_.min_remaining_share * static_cast<double>(before);
}

void Replica::on(const ChangeRequest& event, std::vector<ReplicaAction>& actions) {
  if (pending_.size() >= config_.max_pending) {
    actions.push_back(ChangeResult{event.request_id,
                                   ChangeOutcome::busy,
                                   writer_.current()->revision,
                                   {},
                                   "too many changes are waiting for the disk"});
    return;
  }
  pending_.push_back({event, event.changes, std::nullopt, 0});
  start_next(actions);
}

void Replica::on(const FeedBatches& event, std::vector<ReplicaAction>& actions) {
  // Queued batches count as received; otherwise each poll during a slow write would queue them again.
  Revision last_known = writer_.current()->revision + pending_.size();
  for (std::size_t i = 0; i < event.batches.size(); ++i) {
    const auto revision = event.first_revision + i;
    if (revision <= last_known)
      continue;  // received before
    if (revision != last_known + 1) {
      actions.push_back(
          PollFeed{last_known, true,
                   "batch " + std::to_string(revision) + " does not follow " + std::to_string(last_known)});
      return;
    }
    pending_.push_back({std::nullopt, event.batches[i], std::nullopt, revision});
    last_known = revision;
  }
  start_next(actions);
  const bool polls = std::any_of(actions.begin(), actions.end(),
                                 [](auto& action) { return std::holds_alternative<PollFeed>(action); });
  if (pending_.empty() && !polls)
    actions.push_back(PollFeed{writer_.current()->revision, false, ""});
}

void Replica::on(const FeedSnapshot& event, std::vector<ReplicaAction>& actions) {
  // Guards against an origin that answers with an older state, such as one restored from an old backup: its
  // snapshot would undo later changes.
  if (event.revision < writer_.current()->revision) {
    actions.push_back(PollFeed{writer_.current()->revision, false,
                               "the full snapshot is older than the current revision: ignored"});
    return;
  }
  std::erase_if(pending_, [&](const auto& batch) { return !batch.request && &batch != &pending_.front(); });
  pending_.push_back({std::nullopt, {}, event, event.revision});
  start_next(actions);
}

void Replica::start_next(std::vector<ReplicaAction>& actions) {
  while (!persisting_ && !pending_.empty()) {
    if (start(pending_.front(), actions))
      return;
    pending_.pop_front();
  }
}

// Applies a pending batch and asks for it to be made durable. Returns false if it was rejected or dropped.
bool Replica::start(PendingBatch& pending, std::vector<ReplicaAction>& actions) {
  const auto current = writer_.current()->revision;
  const auto reject = [&](ChangeOutcome outcome, InvalidChange invalid, std::string cause) {
    if (pending.request)
      actions.push_back(
          ChangeResult{pending.request->request_id, outcome, current, std::move(invalid), std::move(cause)});
    return false;
  };
  if (pending.request && pending.request->expected_revision && *pending.request->expected_revision != current)
    return reject(ChangeOutcome::stale, {}, "the catalogue is at revision " + std::to_string(current));
  if (!pending.request && !pending.snapshot && pending.feed_revision != current + 1)
    return false;  // received in the meantime
  if (pending.snapshot) {
    // Applied as the difference to the current snapshot, so that unchanged entries stay shared: removes what
    // the new one doesn't name and puts what differs.
    std::map<std::string_view, const Recording*> recordings_by_title;
    for (const auto& recording : pending.snapshot->recordings)
      recordings_by_title[recording.title] = &recording;
    writer_.current()->for_each([&](const std::string& title, const Entry& entry) {
      const auto found = recordings_by_title.find(title);
      if (found == recordings_by_title.end())
        pending.changes.push_back(RemoveRecording{title});
      else if (writer_.current()->recording_of(title, entry) == *found->second)
        recordings_by_title.erase(found);
    });
    for (const auto& [title, recording] : recordings_by_title)
      pending.changes.push_back(PutRecording{*recording});
  }
  auto result = writer_.apply(pending.changes);
  if (auto* invalid = std::get_if<InvalidChange>(&result)) {
    if (pending.request)
      return reject(ChangeOutcome::invalid, *invalid, invalid->cause);
    actions.push_back(PollFeed{
        current, !pending.snapshot,
        "change " + std::to_string(invalid->change) + ", " + invalid->field + ": " + invalid->cause});
    return false;
  }
  auto& applied = std::get<AppliedBatch>(result);
  if (needs_confirmation(applied)) {
    const auto cause = "leaves " + std::to_string(applied.snapshot->totals.locations) + " of " +
                       std::to_string(writer_.current()->totals.locations) +
                       " locations, which needs confirmation";
    if (pending.request && !pending.request->confirmed)
      return reject(ChangeOutcome::confirmation_required, {}, cause);
    // Nobody can be asked about a batch from the feed: it is taken as confirmed if the next poll brings a
    // batch that removes as much, at the same or a later revision.
    if (!pending.request &&
        (!unconfirmed_feed_revision_ || *unconfirmed_feed_revision_ > pending.feed_revision)) {
      unconfirmed_feed_revision_ = pending.feed_revision;
      actions.push_back(PollFeed{current, pending.snapshot.has_value(), cause});
      std::erase_if(pending_, [&](const auto& batch) { return !batch.request && &batch != &pending; });
      return false;
    }
  }
  unconfirmed_feed_revision_.reset();
  if (pending.snapshot) {
    auto at_feed_revision = std::make_shared<Snapshot>(*applied.snapshot);
    at_feed_revision->revision = pending.snapshot->revision;
    applied.snapshot = std::move(at_feed_revision);
  }
  PersistBatch persist{applied.snapshot->revision, pending.changes, pending.snapshot.has_value()};
  if (pending.snapshot) {
    persist.changes.clear();
    for (const auto& recording : pending.snapshot->recordings)
      persist.changes.push_back(PutRecording{recording});
  }
  actions.push_back(std::move(persist));
  applied_ = std::move(applied);
  persisting_ = true;
  return true;
}

void Replica::on(const BatchPersisted& event, std::vector<ReplicaAction>& actions) {
  if (!persisting_ || pending_.empty() || !applied_ || applied_->snapshot->revision != event.revision)
    return;
  auto persisted = std::move(pending_.front());
  pending_.pop_front();
  persisting_ = false;
  auto applied = std::move(*applied_);
  applied_.reset();
  if (event.error) {
    // Nothing of it takes effect. The batches behind it are tried by themselves and fail alike if the disk
    // does.
    if (persisted.request)
      actions.push_back(ChangeResult{persisted.request->request_id,
                                     ChangeOutcome::not_durable,
                                     writer_.current()->revision,
                                     {},
                                     *event.error});
    else
      actions.push_back(PollFeed{writer_.current()->revision, false, *event.error});
    return start_next(actions);
  }
  RecordingsChanged changed{applied.changed, persisted.snapshot.has_value()};
  writer_.commit(std::move(applied));
  if (persisted.snapshot)
    log_.clear();  // the batches up to a full snapshot are unknown, so followers can't catch up from before
                   // it
  else
    log_.emplace_back(event.revision, std::move(persisted.changes));
  while (log_.size() > config_.log_capacity)
    log_.pop_front();
  actions.push_back(std::move(changed));
  if (persisted.request)
    actions.push_back(
        ChangeResult{persisted.request->request_id, ChangeOutcome::accepted, event.revision, {}, ""});
  const bool from_feed = !persisted.request;
  start_next(actions);
  if (from_feed && pending_.empty())
    actions.push_back(PollFeed{writer_.current()->revision, false, ""});
}

std::optional<std::string> Replica::restore(Revision revision, const std::vector<Recording>& recordings) {
  writer_.reset(0);
  std::vector<Change> changes;
  changes.reserve(recordings.size());
  for (const auto& recording : recordings)
    changes.push_back(PutRecording{recording});
  auto result = writer_.apply(changes);
  if (const auto* invalid = std::get_if<InvalidChange>(&result))
    return "recording " + std::to_string(invalid->change) + ", " + invalid->field + ": " + invalid->cause;
  writer_.commit(std::get<AppliedBatch>(std::move(result)));
  writer_.set_revision(revision);
  log_.clear();
  return std::nullopt;
}

std::optional<std::string> Replica::restore(Revision revision, const std::vector<Change>& changes) {
  const auto current = writer_.current()->revision;
  if (revision != current + 1)
    return "batch " + std::to_string(revision) + " does not follow revision " + std::to_string(current);
  auto result = writer_.apply(changes);
  if (const auto* invalid = std::get_if<InvalidChange>(&result))
    return "batch " + std::to_string(revision) + ", change " + std::to_string(invalid->change) + ", " +
           invalid->field + ": " + invalid->cause;
  writer_.commit(std::get<AppliedBatch>(std::move(result)));
  log_.emplace_back(revision, changes);
  while (log_.size() > config_.log_capacity)
    log_.pop_front();
  return std::nullopt;
}

std::optional<std::vector<std::pair<Revision, const std::vector<Change>*>>> Replica::batches_after(
    Revision revision, std::size_t limit) const {
  const auto current = writer_.current()->revision;
  std::vector<std::pair<Revision, const std::vector<Change>*>> batches;
  if (revision == current)
    return batches;
  if (revision > current || log_.empty() || log_.front().first > revision + 1)
    return std::nullopt;
  for (const auto& [batch_revision, changes] : log_) {
    if (batch_revision > revision && batches.size() < limit)
      batches.emplace_back(batch_revision, &changes);
  }
  return batches;
}

}  // namespace violettide::catalogue
