// The messages on connections to video servers, and the end of a server's playbacks.
#include "platform/platform_internal.h"
#include "platform_settings/platform_settings.h"

namespace violettide::platform {

namespace {

constexpr std::size_t max_unmatched_releases = 4096;
// The end of a playback is to be reported by then, so dialling for it is of no use any more.
constexpr Duration end_report_limit = std::chrono::seconds(8);

Outcome outcome_before_answer(int cause) {
  if (cause == cause::full)
    return Outcome::full;
  if (cause == cause::error)
    return Outcome::error;
  if (cause == cause::not_attempted)
    return Outcome::not_sent;
  return Outcome::reset;
}

Outcome outcome_after_answer(int cause) {
  if (cause == cause::ended)
    return Outcome::served;
  if (cause == cause::cancelled)
    return Outcome::cancelled;
  return Outcome::reset;
}

}  // namespace

ServerId Platform::server_id(const std::string& name) {
  const auto [found, inserted] = server_ids_.try_emplace(name, static_cast<ServerId>(servers_.size()));
  if (inserted) {
    servers_.emplace_back();
    servers_.back().name = name;
  }
  return found->second;
}

void Platform::send_to_server(ConnectionId connection, std::string bytes) {
  if (const auto found = server_connections_.find(connection); found != server_connections_.end())
    found->second.last_used_at = now_;
  actions_->push_back(Send{connection, std::move(bytes)});
}

void Platform::send_or_queue_release(ServerId id, QueuedRelease release) {
  auto& server = servers_[id];
  if (server.connection)
    return send_to_server(server.connection, std::move(release.bytes));
  if (server.queued_releases.size() < max_queued_messages)
    server.queued_releases.push_back(std::move(release));
  request_liveness_check(id);
}

void Platform::end_all_playbacks(ServerId id, const char* cause) {
  auto& server = servers_[id];
  server.queued_releases.clear();
  server.consecutive_dial_refusals = 0;
  end_playbacks(id, std::set(server.playing), cause);
}

void Platform::end_playbacks(ServerId id, const std::set<PlaybackId>& ended, const char* cause) {
  const auto& server = servers_[id];
  log("cut", {{"server", server.name},
              {"cause", cause},
              {"playbacks", static_cast<std::int64_t>(ended.size())},
              {"connected", static_cast<std::int64_t>(server.connection != 0)},
              {"silent_ms", to_milliseconds(now_ - server.last_heard_at)}});
  for (const auto playback : ended)
    end_playback(playback, Outcome::reset, {}, cause::reset);
}

// Only whole messages are a sign of the server.
void Platform::receive_from_server(ConnectionId connection_id, std::string_view bytes) {
  auto& connection = server_connections_.at(connection_id);
  connection.last_used_at = now_;
  std::vector<ServerMessage> messages;
  const auto error = connection.reader.feed(bytes, messages);
  update_partial_message_since(connection, !messages.empty());
  if (!messages.empty()) {
    connection.last_heard_at = now_;
    record_server_activity(connection);
  }
  for (auto& message : messages) {
    if (!server_connections_.contains(connection_id))
      return;
    on_server_message(connection_id, message);
  }
  if (error && server_connections_.contains(connection_id))
    close_unreadable_connection(connection_id, *error);
}

void Platform::close_unreadable_connection(ConnectionId connection_id, const std::string& cause) {
  const auto id = server_connections_.at(connection_id).server;
  log("unreadable", {{"server", servers_[id].name}, {"cause", cause}});
  drop_broken_connection(connection_id);
  actions_->push_back(Close{connection_id, false});
}

// What was under way on the connection can't be heard any more. A session of a set-up that was sent may
// stand: it is released, as the set-up counts as failed. The server may have sent the release of a playback,
// which it sends again on the next connection: one is dialled even if another is open.
void Platform::drop_broken_connection(ConnectionId connection_id) {
  const auto& connection = server_connections_.at(connection_id);
  const auto process = connection.process_ended ? connection.successor : connection.server;
  const SetUpPath path{connection_id, connection.established_at};
  std::vector<QueuedRelease> releases;
  for (const auto id : connection.tries) {
    if (const auto& playback = playbacks_.at(id); playback.sent && process)
      releases.push_back({release_bytes(playback.call, cause::ended), path});
  }
  const bool established = connection.established;
  drop_server_connection(connection_id, Outcome::reset);
  if (!process)
    return;
  if (established)
    servers_[*process].redial_until = now_ + end_report_limit;
  for (auto& release : releases)
    send_or_queue_release(*process, std::move(release));
  request_liveness_check(*process);
}

void Platform::on_server_message(ConnectionId connection_id, ServerMessage& message) {
  auto& connection = server_connections_.at(connection_id);
  const auto id = connection.server;
  if (message.kind == ServerMessage::Kind::tested) {
    const auto probe = connection.probes.find(message.call);
    if (probe == connection.probes.end())
      return;
    connection.probes.erase(probe);
    return process_event(ProbeEnded{id, message.cause.value_or(0) == 1,
                                    message.load ? read_load_report(*message.load) : LoadReport{}});
  }
  if (message.kind == ServerMessage::Kind::release)
    return on_release(connection_id, message);
  const auto known = playbacks_by_call_.find(message.call);
  // Guards against a playback without a viewer: a server may accept a try that has ended.
  const bool for_nobody = known == playbacks_by_call_.end() || playbacks_.at(known->second).server != id ||
                          playbacks_.at(known->second).state == Playback::State::waiting;
  if (for_nobody && message.kind == ServerMessage::Kind::accept) {
    auto bytes = release_bytes(message.call, cause::ended);
    if (connection.finished_sending_at)
      return send_or_queue_release(id, {std::move(bytes), {connection_id, connection.established_at}});
    return send_to_server(connection_id, std::move(bytes));
  }
  if (for_nobody)
    return;
  auto& playback = playbacks_.at(known->second);
  if (message.kind == ServerMessage::Kind::note) {
    if (connection.process_ended)
      return;
    Measurement measurement;
    measurement.playback = known->second;
    measurement.server = id;
    if (message.note == "kept_up")
      measurement.kind = Measurement::Kind::share;
    else if (message.note == "tier")
      measurement.kind = Measurement::Kind::rung;
    else if (message.note == "wire")
      measurement.kind = Measurement::Kind::link_fill;
    else if (message.note == "trunk")
      measurement.kind = Measurement::Kind::uplink_fill;
    else
      return;
    if (!message.value)
      return;
    measurement.value = *message.value;
    return process_event(measurement);
  }
  if (message.kind != ServerMessage::Kind::accept)
    return;
  if (playback.state != Playback::State::trying || playback.connection != connection_id || !playback.sent)
    return;
  // The session ended with its process, or belongs to a server of another name: it has to be set up anew.
  if (connection.process_ended)
    return end_try(known->second, Outcome::reset, {}, false);
  connection.tries.erase(known->second);
  playback.state = Playback::State::playing;
  playback.path = {connection_id, connection.established_at};
  playback.connection = 0;
  wheel_.cancel(playback.try_timer);
  servers_[id].playing.insert(known->second);
  std::string().swap(playback.description);
  if (const auto viewer = viewers_.find(playback.viewer_connection); viewer != viewers_.end()) {
    viewer->second.unanswered.erase(known->second);
    ++viewer->second.playing_count;
    last_started_viewer_ = playback.viewer_connection;
    send_to_viewer(playback.viewer_connection, accept_line(message.call, *message.description));
  }
  process_event(PlaybackStarted{known->second, id, now_ - playback.try_started_at});
}

void Platform::on_release(ConnectionId connection_id, ServerMessage& message) {
  const auto id = server_connections_.at(connection_id).server;
  if (!is_finished(connection_id))
    send_to_server(connection_id, released_bytes(message.call));
  const auto known = playbacks_by_call_.find(message.call);
  if (known == playbacks_by_call_.end()) {
    unmatched_releases_.push_back({message.call, id, *message.cause, now_});
    if (unmatched_releases_.size() > max_unmatched_releases)
      unmatched_releases_.pop_front();
    return;
  }
  auto& playback = playbacks_.at(known->second);
  const bool from_successor = playback.state == Playback::State::playing &&
                              server_connections_.at(connection_id).successor == playback.server;
  if (playback.server != id && !from_successor)
    return;
  const bool believed = message.load && !server_connections_.at(connection_id).process_ended;
  const auto load = believed ? read_load_report(*message.load) : LoadReport{};
  const int cause = *message.cause;
  if (playback.state == Playback::State::trying && playback.connection == connection_id && playback.sent) {
    server_connections_.at(connection_id).tries.erase(known->second);
    playback.connection = 0;
    return end_try(known->second, outcome_before_answer(cause), load, false);
  }
  if (playback.state != Playback::State::playing)
    return;
  const auto outcome = outcome_after_answer(cause);
  end_playback(known->second, outcome, load,
               outcome == Outcome::cancelled ? std::nullopt : std::optional<int>(cause));
}

}  // namespace violettide::platform
