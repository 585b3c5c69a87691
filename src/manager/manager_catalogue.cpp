// The manager's catalogue part: the HTTP resource at the control listener, the change feed that it follows,
// and the effect of changes on playbacks that are being set up.
#include <algorithm>

#include "cataloguewire/json.h"
#include "manager/manager_internal.h"

namespace violettide::manager {

namespace {
// Utilization of its holders' links beyond which a recording should get more copies.
constexpr double replication_utilization = 0.7;
constexpr Duration typical_playback_length{30'000'000};
constexpr std::size_t max_replication_candidates = 100;
}  // namespace

// Returns the catalogue entry of the playback's recording, null if it has none.
const catalogue::Entry* Manager::catalogue_entry(const Playback& playback) const {
  return playback.recording ? replica_.current()->find(*playback.recording) : nullptr;
}

// ---- the HTTP resource ----

// Handles the buffered requests of a control connection, until one of them has to wait for its reply.
void Manager::process_control_requests(ControlConnection& control) {
  const ConnectionId connection_id = control.id;
  while (!control.busy) {
    auto request = control.reader.next();
    if (!request) {
      if (const auto& error = control.reader.error()) {
        control.close_after = true;
        return send_control_reply(control,
                                  {error->status, {{"Content-Type", "text/plain"}}, error->cause + "\n"});
      }
      return await_rest_of_control_request(control);
    }
    timers_.cancel(control.request_timer);
    control.busy = true;
    control.close_after = !request->keep_alive || shutting_down_;
    auto parsed =
        settings_.has_catalogue
            ? cataloguewire::read_request(*request, replica_)
            : cataloguewire::CatalogueRequest(cataloguewire::Reply{404, {}, "this front has no catalogue\n"});
    if (auto* reply = std::get_if<cataloguewire::Reply>(&parsed)) {
      send_control_reply(control, *reply);
    } else if (auto* change = std::get_if<catalogue::ChangeRequest>(&parsed)) {
      change->request_id = connection_id;
      execute_replica_actions(replica_.handle(*change));
    } else if (std::holds_alternative<cataloguewire::ListReplicationCandidates>(parsed)) {
      send_control_reply(control, cataloguewire::replication_candidates_reply(*replica_.current(),
                                                                              replication_candidates()));
    } else {
      const auto& poll = std::get<cataloguewire::FeedLongPoll>(parsed);
      if (const auto reply = cataloguewire::feed_reply(replica_, poll.after)) {
        send_control_reply(control, *reply);
      } else {
        control.feed_after = poll.after;
        control.feed_wait_timer = start_timer(poll.wait, TimerKind::feed_long_poll, connection_id);
      }
    }
    if (!control_connections_.contains(connection_id))
      return;
  }
}

void Manager::await_rest_of_control_request(ControlConnection& control) {
  if (control.reader.has_partial_request() && !timers_.is_pending(control.request_timer))
    control.request_timer =
        start_timer(settings_.control_request_timeout, TimerKind::request_incomplete, control.id);
}

void Manager::on_control_request_timeout(ControlConnection& control) {
  if (control.busy || !control.reader.has_partial_request())
    return;
  control.close_after = true;
  send_control_reply(control, {408, {{"Content-Type", "text/plain"}}, "the request took too long\n"});
}

// Replies to the pending request, and closes the connection if it is not to be kept alive.
void Manager::send_control_reply(ControlConnection& control, const cataloguewire::Reply& reply) {
  const ConnectionId connection_id = control.id;
  control.busy = false;
  control.feed_after.reset();
  timers_.cancel(control.feed_wait_timer);
  actions_->push_back(Send{
      connection_id,
      http::serialize_response_head(reply.status, reply.fields, reply.body.size(), !control.close_after) +
          reply.body});
  if (!control.close_after)
    return;
  timers_.cancel(control.request_timer);
  actions_->push_back(Close{connection_id, true});
  control_connections_.erase(connection_id);
}

void Manager::on_control_closed(ConnectionId connection_id) {
  const auto found = control_connections_.find(connection_id);
  if (found == control_connections_.end())
    return;
  timers_.cancel(found->second->feed_wait_timer);
  timers_.cancel(found->second->request_timer);
  actions_->push_back(Close{connection_id, false});
  control_connections_.erase(found);
}

// Returns the recordings whose demand exceeds what their holders' links can serve, or whose viewers were
// turned away.
std::vector<catalogue::ReplicationCandidate> Manager::replication_candidates() {
  const auto& rates = settings_.policy.rung_kb;
  const double link_kb_per_s = settings_.policy.link_kb_per_weight;
  return demand_.replication_candidates(now_, *replica_.current(), link_kb_per_s, rates[rates.size() / 2],
                                        typical_playback_length, replication_utilization,
                                        max_replication_candidates);
}

// ---- replica actions ----

void Manager::execute_replica_actions(std::vector<catalogue::ReplicaAction> actions) {
  for (auto& action : actions) {
    std::visit(Overloaded{
                   [this](const catalogue::ChangeResult& result) {
                     const auto found =
                         control_connections_.find(static_cast<ConnectionId>(result.request_id));
                     if (found == control_connections_.end() || !found->second->busy)
                       return;  // the client has disconnected; the change still applies
                     send_control_reply(*found->second, cataloguewire::reply_to(result));
                     if (const auto remaining =
                             control_connections_.find(static_cast<ConnectionId>(result.request_id));
                         remaining != control_connections_.end())
                       process_control_requests(*remaining->second);
                   },
                   [this](const catalogue::PersistBatch& batch) {
                     actions_->push_back(Persist{batch.revision, cataloguewire::json_text(batch.changes),
                                                 batch.full_snapshot});
                   },
                   [this](const catalogue::RecordingsChanged& changed) {
                     log_event("catalogue_changed",
                               {{"revision", static_cast<std::int64_t>(replica_.current()->revision)},
                                {"recordings", static_cast<std::int64_t>(changed.recordings.size())}});
                     on_recordings_changed(changed.recordings, changed.full_snapshot);
                     answer_waiting_feeds();
                   },
                   [this](const catalogue::PollFeed& poll) {
                     if (!poll.cause.empty())
                       log_event("catalogue_feed",
                                 {{"after", static_cast<std::int64_t>(poll.after)}, {"cause", poll.cause}});
                     feed_snapshot_needed_ = feed_snapshot_needed_ || poll.full_snapshot;
                     if (!feed_request_pending_ && settings_.feed_port != 0)
                       start_timer(poll.cause.empty() ? Duration(0) : jittered(settings_.box_list_interval),
                                   TimerKind::catalogue_feed_poll, 0);
                   },
               },
               action);
  }
}

void Manager::on(const Persisted& persisted) {
  if (persisted.ticket >= first_seat_ticket)
    return on_seat_records_persisted(persisted);
  if (!persisted.error.empty())
    log_event("catalogue_not_kept",
              {{"revision", static_cast<std::int64_t>(persisted.ticket)}, {"cause", persisted.error}});
  execute_replica_actions(replica_.handle(catalogue::BatchPersisted{
      persisted.ticket, persisted.error.empty() ? std::nullopt : std::optional(persisted.error)}));
}

// Answers the long polls of other fronts that have changes to read now.
void Manager::answer_waiting_feeds() {
  std::vector<ConnectionId> waiting;
  for (const auto& [connection_id, control] : control_connections_) {
    if (control->feed_after)
      waiting.push_back(connection_id);
  }
  for (const auto connection_id : waiting) {
    const auto found = control_connections_.find(connection_id);
    if (found == control_connections_.end())
      continue;
    if (const auto reply = cataloguewire::feed_reply(replica_, *found->second->feed_after))
      send_control_reply(*found->second, *reply);
  }
}

// Updates the holders of playbacks that are being set up, so that no new set-up goes to a location that is no
// longer listed. Playbacks that play there continue.
void Manager::on_recordings_changed(const std::vector<catalogue::RecordingId>& recordings,
                                    bool full_snapshot) {
  std::vector<PlaybackId> affected;
  if (full_snapshot) {
    for (const auto& [recording, playbacks] : setups_by_recording_)
      affected.insert(affected.end(), playbacks.begin(), playbacks.end());
  } else {
    for (const auto recording : recordings) {
      const auto found = setups_by_recording_.find(recording);
      if (found != setups_by_recording_.end())
        affected.insert(affected.end(), found->second.begin(), found->second.end());
    }
  }
  for (const auto id : affected) {
    if (const auto found = playbacks_.find(id); found != playbacks_.end())
      update_holders(*found->second);
  }
}

// Tells the policy the present holders of the recording; takes a try back if its box is no longer one of
// them.
void Manager::update_holders(Playback& playback) {
  const auto* entry = catalogue_entry(playback);
  static const auto no_holders = std::make_shared<const std::vector<ServerId>>();
  const auto holders = entry ? entry->holders : no_holders;
  post_event(HoldersChanged{playback.id, holders});
  if (playback.try_connection && !std::binary_search(holders->begin(), holders->end(), playback.server))
    cancel_unsent_try(playback);
}

// Cancels a try whose request was not written to a socket yet, so that the playback is placed anew. A request
// that was written may be executed by the box: its response is awaited.
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

// ---- the change feed ----

// Sends the next long poll to the change feed, or a request for the full snapshot if that is needed.
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

// Applies a response of the change feed, and schedules the next poll. `complete`: the whole body arrived.
void Manager::on_catalogue_feed_response(BoxConnection& connection, bool complete) {
  feed_request_pending_ = false;
  const auto body = std::move(connection.body);
  const int status = connection.head_received ? connection.status : 0;
  close_box_connection(connection.id);
  const auto poll_again = [this](Duration delay) { start_timer(delay, TimerKind::catalogue_feed_poll, 0); };
  if (!complete || (status != 200 && status != 410)) {
    log_event("catalogue_feed_failed", {{"status", std::int64_t{status}}});
    return poll_again(jittered(settings_.box_list_interval));
  }
  if (status == 410) {  // the feed's log no longer has the changes after our revision
    feed_snapshot_needed_ = true;
    return poll_again(Duration(0));
  }
  auto parsed = cataloguewire::read_feed(body);
  if (const auto* error = std::get_if<cataloguewire::JsonError>(&parsed)) {
    log_event("catalogue_feed_malformed", {{"place", error->place}, {"cause", error->cause}});
    return poll_again(jittered(settings_.box_list_interval));
  }
  // The replica requests the next poll once it has applied or rejected these.
  if (const auto* batches = std::get_if<catalogue::FeedBatches>(&parsed))
    execute_replica_actions(replica_.handle(*batches));
  else
    execute_replica_actions(replica_.handle(std::get<catalogue::FeedSnapshot>(parsed)));
}

}  // namespace violettide::manager
