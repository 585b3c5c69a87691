// The manager's side of the catalogue: its HTTP resource at the second door, the feed it follows, and what
// a change means to playbacks that are being set up.
#include <algorithm>

#include "cataloguewire/json.h"
#include "manager/inside.h"

namespace violettide::manager {

namespace {
constexpr std::size_t most_feed = 512 * 1024 * 1024;
constexpr double wanting_fill = 0.7;  // of its holders' links: a recording beyond it wants copies
constexpr Duration usual_life{30'000'000};
constexpr std::size_t most_wanting = 100;
}  // namespace

const catalogue::Entry* Manager::entry_of(const Playback& playback) const {
  return playback.recording ? keeper_.current()->find(*playback.recording) : nullptr;
}

// ---- the resource ----

void Manager::control_requests(Control& control) {
  const ConnectionId link = control.link;
  while (!control.busy) {
    auto request = control.reader.next();
    if (!request) {
      if (const auto& fault = control.reader.error()) {
        control.close_after = true;
        control_reply(control, {fault->status, {{"Content-Type", "text/plain"}}, fault->cause + "\n"});
      }
      return;
    }
    control.busy = true;
    control.close_after = !request->keep_alive || stopping_;
    auto meaning =
        terms_.catalogued
            ? cataloguewire::read_request(*request, keeper_)
            : cataloguewire::CatalogueRequest(cataloguewire::Reply{404, {}, "this front has no catalogue\n"});
    if (auto* reply = std::get_if<cataloguewire::Reply>(&meaning)) {
      control_reply(control, *reply);
    } else if (auto* asked = std::get_if<catalogue::ChangeRequest>(&meaning)) {
      asked->request_id = link;
      keeper_did(keeper_.handle(*asked));
    } else if (std::holds_alternative<cataloguewire::ListReplicationCandidates>(meaning)) {
      control_reply(control, cataloguewire::replication_candidates_reply(*keeper_.current(), wanting()));
    } else {
      const auto& wait = std::get<cataloguewire::FeedLongPoll>(meaning);
      if (const auto reply = cataloguewire::feed_reply(keeper_, wait.after)) {
        control_reply(control, *reply);
      } else {
        control.feed_after = wait.after;
        control.wait = arm(wait.wait, Ring::feed_wait, link);
      }
    }
    if (!controls_.contains(link))
      return;
  }
}

void Manager::control_reply(Control& control, const cataloguewire::Reply& reply) {
  const ConnectionId link = control.link;
  control.busy = false;
  control.feed_after.reset();
  bells_.cancel(control.wait);
  actions_->push_back(Send{link, http::serialize_response_head(reply.status, reply.fields, reply.body.size(),
                                                               !control.close_after) +
                                     reply.body});
  if (!control.close_after)
    return;
  actions_->push_back(Close{link, true});
  controls_.erase(link);
}

void Manager::control_gone(ConnectionId link) {
  const auto found = controls_.find(link);
  if (found == controls_.end())
    return;
  bells_.cancel(found->second->wait);
  actions_->push_back(Close{link, false});
  controls_.erase(found);
}

std::vector<catalogue::ReplicationCandidate> Manager::wanting() {
  const auto& rates = terms_.site.rung_kb;
  const double link = terms_.site.link_kb_per_weight;
  return demand_.replication_candidates(now_, *keeper_.current(), link, rates[rates.size() / 2], usual_life,
                                        wanting_fill, most_wanting);
}

// ---- what the keeper decides ----

void Manager::keeper_did(std::vector<catalogue::ReplicaAction> actions) {
  for (auto& act : actions) {
    std::visit(
        Overloaded{
            [this](const catalogue::ChangeResult& a) {
              const auto found = controls_.find(static_cast<ConnectionId>(a.request_id));
              if (found == controls_.end() || !found->second->busy)
                return;  // its asker is gone; the change stands
              control_reply(*found->second, cataloguewire::reply_to(a));
              if (const auto still = controls_.find(static_cast<ConnectionId>(a.request_id));
                  still != controls_.end())
                control_requests(*still->second);
            },
            [this](const catalogue::PersistBatch& a) {
              actions_->push_back(Persist{a.revision, cataloguewire::json_text(a.changes), a.full_snapshot});
            },
            [this](const catalogue::RecordingsChanged& a) {
              say("catalogue_changed", {{"revision", static_cast<std::int64_t>(keeper_.current()->revision)},
                                        {"recordings", static_cast<std::int64_t>(a.recordings.size())}});
              holders_changed(a.recordings, a.full_snapshot);
              wake_feeds();
            },
            [this](const catalogue::PollFeed& a) {
              if (!a.cause.empty())
                say("catalogue_feed", {{"after", static_cast<std::int64_t>(a.after)}, {"cause", a.cause}});
              feed_whole_ = feed_whole_ || a.full_snapshot;
              if (!feed_out_ && terms_.feed_port != 0)
                arm(a.cause.empty() ? Duration(0) : spread(terms_.list_every), Ring::feed, 0);
            },
        },
        act);
  }
}

void Manager::on(const Persisted& what) {
  if (what.ticket >= first_seat_ticket)
    return seats_kept(what);
  if (!what.error.empty())
    say("catalogue_not_kept", {{"revision", static_cast<std::int64_t>(what.ticket)}, {"cause", what.error}});
  keeper_did(keeper_.handle(
      catalogue::BatchPersisted{what.ticket, what.error.empty() ? std::nullopt : std::optional(what.error)}));
}

void Manager::wake_feeds() {
  std::vector<ConnectionId> waiting;
  for (const auto& [link, control] : controls_) {
    if (control->feed_after)
      waiting.push_back(link);
  }
  for (const auto link : waiting) {
    const auto found = controls_.find(link);
    if (found == controls_.end())
      continue;
    if (const auto reply = cataloguewire::feed_reply(keeper_, *found->second->feed_after))
      control_reply(*found->second, *reply);
  }
}

// Set-ups that are decided on or on their way: from this moment nothing new goes to a location that is not
// listed any more. What plays there goes on.
void Manager::holders_changed(const std::vector<catalogue::RecordingId>& recordings, bool whole) {
  std::vector<PlaybackId> concerned;
  if (whole) {
    for (const auto& [recording, playbacks] : asking_)
      concerned.insert(concerned.end(), playbacks.begin(), playbacks.end());
  } else {
    for (const auto recording : recordings) {
      const auto found = asking_.find(recording);
      if (found != asking_.end())
        concerned.insert(concerned.end(), found->second.begin(), found->second.end());
    }
  }
  for (const auto id : concerned) {
    if (const auto found = playbacks_.find(id); found != playbacks_.end())
      hold_anew(*found->second);
  }
}

void Manager::hold_anew(Playback& playback) {
  const auto* entry = entry_of(playback);
  static const auto nobody = std::make_shared<const std::vector<ServerId>>();
  const auto listed = entry ? entry->holders : nobody;
  tell(HoldersChanged{playback.id, listed});
  if (playback.try_link && !std::binary_search(listed->begin(), listed->end(), playback.server))
    take_back(playback);
}

// What is written to the socket may run: it is waited for. What is not is taken back and placed anew.
void Manager::take_back(Playback& playback) {
  const auto found = boxes_.find(playback.try_link);
  if (found == boxes_.end() || found->second->connected)
    return;
  const auto server = found->second->server;
  if (const auto viewer = viewers_.find(found->second->viewer); viewer != viewers_.end())
    viewer->second->box = 0;
  hang_box(playback.try_link);
  playback.try_link = 0;
  say("try_taken_back", {{"playback", said_id(playback.id)}, {"box", list_.box(server).name}});
  tell(TryEnded{playback.id, server, Outcome::not_sent, false, {}});
}

// ---- the feed ----

void Manager::poll_feed() {
  if (feed_out_ || stopping_)
    return;
  feed_out_ = true;
  const auto after = std::to_string(keeper_.current()->revision);
  const auto wait = std::to_string(terms_.feed_wait.count() / 1000);
  const auto target = std::exchange(feed_whole_, false)
                          ? std::string("/catalogue/whole")
                          : "/catalogue/feed?after=" + after + "&wait_ms=" + wait;
  service_link(Use::feed, terms_.feed_address, terms_.feed_port, target, "", 2 * terms_.feed_wait);
}

void Manager::feed_answered(BoxLink& link, bool whole) {
  feed_out_ = false;
  const auto body = std::move(link.body);
  const int status = link.head_seen ? link.status : 0;
  hang_box(link.link);
  const auto again = [this](Duration in) { arm(in, Ring::feed, 0); };
  if (!whole || (status != 200 && status != 410) || body.size() > most_feed) {
    say("catalogue_feed_failed", {{"status", std::int64_t{status}}});
    return again(spread(terms_.list_every));
  }
  if (status == 410) {  // the log no longer reaches back to us
    feed_whole_ = true;
    return again(Duration(0));
  }
  auto read = cataloguewire::read_feed(body);
  if (const auto* bad = std::get_if<cataloguewire::JsonError>(&read)) {
    say("catalogue_feed_malformed", {{"place", bad->place}, {"cause", bad->cause}});
    return again(spread(terms_.list_every));
  }
  // The keeper asks on when it has taken these, or why not.
  if (const auto* fed = std::get_if<catalogue::FeedBatches>(&read))
    keeper_did(keeper_.handle(*fed));
  else
    keeper_did(keeper_.handle(std::get<catalogue::FeedSnapshot>(read)));
}

}  // namespace violettide::manager
