// Playbacks from the request to the end: tries, and the report of the end to the viewer.
#include <algorithm>
#include <tuple>

#include "platform/platform_internal.h"

namespace violettide::platform {

Platform::Playback* Platform::find_playback(PlaybackId id) {
  const auto found = playbacks_.find(id);
  return found == playbacks_.end() ? nullptr : &found->second;
}

PlaybackId Platform::add_playback(CallId call, ConnectionId viewer, const Request& request,
                                  std::string title) {
  const auto id = next_playback_id_++;
  auto& playback = playbacks_[id];
  playback.call = call;
  playback.viewer_connection = viewer;
  playback.plan = request.plan;
  playback.title = std::move(title);
  playbacks_by_call_[call] = id;
  return id;
}

TitleId Platform::acquire_title(const std::string& name) {
  auto [found, inserted] = titles_.try_emplace(name);
  if (inserted && !free_title_ids_.empty()) {
    found->second.id = free_title_ids_.back();
    free_title_ids_.pop_back();
  } else if (inserted) {
    found->second.id = next_title_id_++;
  }
  ++found->second.use_count;
  return found->second.id;
}

void Platform::remove_playback(PlaybackId id) {
  const auto found = playbacks_.find(id);
  if (found == playbacks_.end())
    return;
  auto& playback = found->second;
  if (const auto viewer = viewers_.find(playback.viewer_connection); viewer != viewers_.end()) {
    viewer->second.unanswered.erase(id);
    if (playback.state == Playback::State::playing)
      --viewer->second.playing_count;
  }
  if (playback.state == Playback::State::playing)
    servers_[playback.server].playing.erase(id);
  if (const auto title = titles_.find(playback.title);
      title != titles_.end() && --title->second.use_count == 0) {
    free_title_ids_.push_back(title->second.id);
    titles_.erase(title);
  }
  playbacks_by_call_.erase(playback.call);
  playbacks_.erase(found);
}

void Platform::start_try(const SetUp& command) {
  auto* playback = find_playback(command.playback);
  // Guards against the decider waiting forever for a try whose viewer left while it was decided.
  if (!playback || playback->state != Playback::State::waiting)
    return process_event(TryEnded{command.playback, command.server, Outcome::not_sent, true, {}});
  playback->state = Playback::State::trying;
  playback->server = command.server;
  playback->sent = false;
  playback->try_started_at = now_;
  playback->try_deadline = now_ + command.time_limit;
  playback->connection = connection_for(command.server, Eviction::any);
  if (playback->connection == 0 && !processes_.endpoint(command.server))
    return end_try(command.playback, Outcome::no_connection, {}, false);
  // Without a free descriptor the try waits as long as for a dial: if it ended at once, it would be retried
  // at once.
  const auto limit =
      playback->connection ? command.time_limit : std::min(command.time_limit, config_.dial_timeout);
  playback->try_timer = start_timer(limit, TimerKind::try_timeout, command.playback);
  if (playback->connection == 0)
    return;
  auto& connection = server_connections_.at(playback->connection);
  connection.tries.insert(command.playback);
  if (connection.established)
    send_after_input_drained(command.playback);
}

void Platform::send_after_input_drained(PlaybackId id) {
  tries_awaiting_drain_.push_back(id);
  request_input_drain();
}

void Platform::send_try(Playback& playback) {
  const auto wait = std::max<std::int64_t>(1, to_milliseconds(playback.try_deadline - now_));
  playback.sent = true;
  send_to_server(playback.connection,
                 setup_bytes({playback.call, config_.plans[playback.plan], playback.title,
                              playback.description, wait, playback.rung}));
}

// Ends a try that has no answer yet. If it was sent, a release on its connection cancels it at the server.
void Platform::end_try(PlaybackId id, Outcome outcome, const LoadReport& load, bool playback_over) {
  auto& playback = playbacks_.at(id);
  wheel_.cancel(playback.try_timer);
  if (const auto connection = server_connections_.find(playback.connection);
      connection != server_connections_.end()) {
    connection->second.tries.erase(id);
    if (playback.sent)
      send_to_server(playback.connection, release_bytes(playback.call, cause::ended));
  }
  playback.connection = 0;
  playback.state = Playback::State::waiting;
  const auto server = playback.server;
  if (playback_over)
    remove_playback(id);
  process_event(TryEnded{id, server, outcome, playback_over, load});
}

// Guards against losing the report of an end when the playback's connection is closed or reads nothing: it is
// sent on another open connection or, if there is none, on the next one that sends a message.
void Platform::notify_end(const Playback& playback, int cause) {
  const auto line = end_line(playback.call, cause);
  while (const auto connection = connection_for_end(playback)) {
    if (send_to_viewer(connection, line))
      return;
  }
  if (undelivered_ends_.size() < max_queued_messages)
    undelivered_ends_.push_back(line);
}

// Returns 0 if no viewer reads.
ConnectionId Platform::connection_for_end(const Playback& playback) const {
  const auto reads = [&](ConnectionId connection) {
    const auto found = viewers_.find(connection);
    return found != viewers_.end() && !found->second.overflowed;
  };
  if (reads(playback.viewer_connection))
    return playback.viewer_connection;
  if (reads(last_started_viewer_))
    return last_started_viewer_;
  ConnectionId best = 0;
  std::tuple<bool, Duration, ConnectionId> best_rank;
  for (const auto& [connection, viewer] : viewers_) {
    const std::tuple rank(viewer.playing_count > 0, viewer.last_heard_at, connection);
    if (!viewer.has_sent_message || viewer.overflowed || (best != 0 && rank <= best_rank))
      continue;
    best = connection;
    best_rank = rank;
  }
  return best;
}

// Ends a playing playback. `viewer_cause`: the cause to report to the viewer, if a report is owed.
void Platform::end_playback(PlaybackId id, Outcome outcome, const LoadReport& load,
                            std::optional<int> viewer_cause) {
  auto& playback = playbacks_.at(id);
  if (viewer_cause)
    notify_end(playback, *viewer_cause);
  const auto server = playback.server;
  remove_playback(id);
  process_event(TryEnded{id, server, outcome, true, load});
}

}  // namespace violettide::platform
