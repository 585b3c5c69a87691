// The manager's side of the catalogue: its HTTP resource at the second door, the feed it follows, and what
// a change means to playbacks that are being set up.
#include <algorithm>

#include "cataloguewire/json.h"
#include "manager/manager_internal.h"

namespace violettide::manager {

namespace {
constexpr std::size_t most_feed = 512 * 1024 * 1024;
constexpr double wanting_fill = 0.7;  // of its holders' links: a recording beyond it wants copies
constexpr Duration usual_life{30'000'000};
constexpr std::size_t most_wanting = 100;
}  // namespace

const catalogue::Entry* Manager::catalogue_entry(const Playback& playback) const {
  return playback.recording ? replica_.current()->find(*playback.recording) : nullptr;
}

// ---- the resource ----

void Manager::process_control_requests(ControlConnection& control) {
  const ConnectionId link = control.id;
  while (!control.busy) {
    auto request = control.reader.next();
    if (!request) {
      if (const auto& fault = control.reader.fault()) {
        control.close_after = true;
        send_control_reply(control, {fault->status, {{"Content-Type", "text/plain"}}, fault->cause + "\n"});
      }
      return;
    }
    control.busy = true;
    control.close_after = !request->keep_alive || shutting_down_;
    auto meaning =
        settings_.has_catalogue
            ? cataloguewire::read_request(*request, replica_)
            : cataloguewire::CatalogueRequest(cataloguewire::Reply{404, {}, "this front has no catalogue\n"});
    if (auto* reply = std::get_if<cataloguewire::Reply>(&meaning)) {
      send_control_reply(control, *reply);
    } else if (auto* asked = std::get_if<catalogue::ChangeRequest>(&meaning)) {
      asked->request_id = link;
      execute_replica_actions(replica_.handle(*asked));
    } else if (std::holds_alternative<cataloguewire::ListReplicationCandidates>(meaning)) {
      send_control_reply(control, cataloguewire::replication_candidates_reply(*replica_.current(),
                                                                              replication_candidates()));
    } else {
      const auto& wait = std::get<cataloguewire::FeedLongPoll>(meaning);
      if (const auto reply = cataloguewire::feed_reply(replica_, wait.after)) {
        send_control_reply(control, *reply);
      } else {
        control.feed_after = wait.after;
        control.feed_wait_timer = start_timer(wait.wait, TimerKind::feed_long_poll, link);
      }
    }
    if (!control_connections_.contains(link))
      return;
  }
}

void Manager::send_control_reply(ControlConnection& control, const cataloguewire::Reply& reply) {
  const ConnectionId link = control.id;
  control.busy = false;
  control.feed_after.reset();
  timers_.cancel(control.feed_wait_timer);
  actions_->push_back(Send{
      link,
      http::head_text(reply.status, reply.fields, reply.body.size(), !control.close_after) + reply.body});
  if (!control.close_after)
    return;
  actions_->push_back(Close{link, true});
  control_connections_.erase(link);
}

void Manager::on_control_closed(ConnectionId link) {
  const auto found = control_connections_.find(link);
  if (found == control_connections_.end())
    return;
  timers_.cancel(found->second->feed_wait_timer);
  actions_->push_back(Close{link, false});
  control_connections_.erase(found);
}

std::vector<catalogue::ReplicationCandidate> Manager::replication_candidates() {
  const auto& rates = settings_.policy.rung_kb;
  const double link = settings_.policy.link_kb_per_weight;
  return demand_.replication_candidates(now_, *replica_.current(), link, rates[rates.size() / 2], usual_life,
                                        wanting_fill, most_wanting);
}

// ---- what the keeper decides ----

void Manager::execute_replica_actions(std::vector<catalogue::ReplicaAction> actions) {
  for (auto& act : actions) {
    std::visit(
        Overloaded{
            [this](const catalogue::ChangeResult& a) {
              const auto found = control_connections_.find(static_cast<ConnectionId>(a.request_id));
              if (found == control_connections_.end() || !found->second->busy)
                return;  // its asker is gone; the change stands
              send_control_reply(*found->second, cataloguewire::reply_to(a));
              if (const auto still = control_connections_.find(static_cast<ConnectionId>(a.request_id));
                  still != control_connections_.end())
                process_control_requests(*still->second);
            },
            [this](const catalogue::PersistBatch& a) {
              actions_->push_back(Persist{a.revision, cataloguewire::json_text(a.changes), a.full_snapshot});
            },
            [this](const catalogue::RecordingsChanged& a) {
              log_event("catalogue_changed",
                        {{"revision", static_cast<std::int64_t>(replica_.current()->revision)},
                         {"recordings", static_cast<std::int64_t>(a.recordings.size())}});
              on_recordings_changed(a.recordings, a.full_snapshot);
              answer_waiting_feeds();
            },
            [this](const catalogue::PollFeed& a) {
              if (!a.cause.empty())
                log_event("catalogue_feed",
                          {{"after", static_cast<std::int64_t>(a.after)}, {"cause", a.cause}});
              feed_snapshot_needed_ = feed_snapshot_needed_ || a.full_snapshot;
              if (!feed_request_pending_ && settings_.feed_port != 0)
                start_timer(a.cause.empty() ? Duration(0) : jittered(settings_.box_list_interval),
                            TimerKind::catalogue_feed_poll, 0);
            },
        },
        act);
  }
}

void Manager::on(const Persisted& what) {
  if (what.ticket >= first_seat_ticket)
    return on_seat_records_persisted(what);
  if (!what.error.empty())
    log_event("catalogue_not_kept",
              {{"revision", static_cast<std::int64_t>(what.ticket)}, {"cause", what.error}});
  execute_replica_actions(replica_.handle(
      catalogue::BatchPersisted{what.ticket, what.error.empty() ? std::nullopt : std::optional(what.error)}));
}

void Manager::answer_waiting_feeds() {
  std::vector<ConnectionId> waiting;
  for (const auto& [link, control] : control_connections_) {
    if (control->feed_after)
      waiting.push_back(link);
  }
  for (const auto link : waiting) {
    const auto found = control_connections_.find(link);
    if (found == control_connections_.end())
      continue;
    if (const auto reply = cataloguewire::feed_reply(replica_, *found->second->feed_after))
      send_control_reply(*found->second, *reply);
  }
}

// Set-ups that are decided on or on their way: from this moment nothing new goes to a location that is not
// listed any more. What plays there goes on.
void Manager::on_recordings_changed(const std::vector<catalogue::RecordingId>& recordings, bool whole) {
  std::vector<PlaybackId> concerned;
  if (whole) {
    for (const auto& [recording, playbacks] : setups_by_recording_)
      concerned.insert(concerned.end(), playbacks.begin(), playbacks.end());
  } else {
    for (const auto recording : recordings) {
      const auto found = setups_by_recording_.find(recording);
      if (found != setups_by_recording_.end())
        concerned.insert(concerned.end(), found->second.begin(), found->second.end());
    }
  }
  for (const auto id : concerned) {
    if (const auto found = playbacks_.find(id); found != playbacks_.end())
      update_holders(*found->second);
  }
}

void Manager::update_holders(Playback& playback) {
  const auto* entry = catalogue_entry(playback);
  static const auto nobody = std::make_shared<const std::vector<ServerId>>();
  const auto listed = entry ? entry->holders : nobody;
  post_event(HoldersChanged{playback.id, listed});
  if (playback.try_connection && !std::binary_search(listed->begin(), listed->end(), playback.server))
    cancel_unsent_try(playback);
}

// What is written to the socket may run: it is waited for. What is not is taken back and placed anew.
void Manager::cancel_unsent_try(Playback& playback) {
  const auto found = box_connections_.find(playback.try_connection);
  if (found == box_connections_.end() || found->second->connected)
    return;
  const auto server = found->second->server;
  if (const auto viewer = viewer_connections_.find(found->second->viewer_connection);
      viewer != viewer_connections_.end())
    viewer->second->box_connection = 0;
  close_box_connection(playback.try_connection);
  playback.try_connection = 0;
  log_event("try_taken_back", {{"playback", log_id(playback.id)}, {"box", box_list_.box(server).name}});
  post_event(TryEnded{playback.id, server, Outcome::not_sent, false, {}});
}

// ---- the feed ----

void Manager::poll_catalogue_feed() {
  if (feed_request_pending_ || shutting_down_)
    return;
  feed_request_pending_ = true;
  const auto after = std::to_string(replica_.current()->revision);
  const auto wait = std::to_string(settings_.feed_wait.count() / 1000);
  const auto target = std::exchange(feed_snapshot_needed_, false)
                          ? std::string("/catalogue/whole")
                          : "/catalogue/feed?after=" + after + "&wait_ms=" + wait;
  request_from_service(ConnectionPurpose::catalogue_feed, settings_.feed_address, settings_.feed_port, target,
                       "", 2 * settings_.feed_wait);
}

void Manager::on_catalogue_feed_response(BoxConnection& link, bool whole) {
  feed_request_pending_ = false;
  const auto body = std::move(link.body);
  const int status = link.head_received ? link.status : 0;
  close_box_connection(link.id);
  const auto again = [this](Duration in) { start_timer(in, TimerKind::catalogue_feed_poll, 0); };
  if (!whole || (status != 200 && status != 410) || body.size() > most_feed) {
    log_event("catalogue_feed_failed", {{"status", std::int64_t{status}}});
    return again(jittered(settings_.box_list_interval));
  }
  if (status == 410) {  // the log no longer reaches back to us
    feed_snapshot_needed_ = true;
    return again(Duration(0));
  }
  auto read = cataloguewire::read_feed(body);
  if (const auto* bad = std::get_if<cataloguewire::JsonError>(&read)) {
    log_event("catalogue_feed_malformed", {{"place", bad->place}, {"cause", bad->cause}});
    return again(jittered(settings_.box_list_interval));
  }
  // The keeper asks on when it has taken these, or why not.
  if (const auto* fed = std::get_if<catalogue::FeedBatches>(&read))
    execute_replica_actions(replica_.handle(*fed));
  else
    execute_replica_actions(replica_.handle(std::get<catalogue::FeedSnapshot>(read)));
}

}  // namespace violettide::manager
