// Connections to video servers, the messages on them, and the liveness of servers.
#include <algorithm>
#include <tuple>

#include "platform/platform_internal.h"
#include "platform_settings/platform_settings.h"

namespace violettide::platform {

namespace {

using namespace std::chrono_literals;

// A server with playbacks is dialled after this silence.
constexpr Duration redial_after_silence{2s};
// After this silence its playbacks count as lost, unless a dial has succeeded since.
constexpr Duration server_silence_timeout{5500ms};
constexpr Duration redial_interval{500ms};
// For a retired connection, to receive what the server still sends on it.
constexpr Duration retired_lifetime{1s};
// For a server to end its side of a connection on which sending is finished.
constexpr Duration finish_timeout{1s};
// Connections on which sending is finished use descriptors of the process's own reserve, up to this number.
constexpr std::size_t max_unlimited_finished = 8;
constexpr std::size_t max_unmatched_releases = 4096;
// From a server's release of an unknown call to the viewer's handover of that playback.
constexpr Duration unmatched_release_lifetime{10s};
// A single refused dial may be momentary.
constexpr int dial_refusals_until_lost = 2;
// Of a server's idle timeout: connections idle for longer carry no set-up.
constexpr double idle_timeout_share = 0.8;
// For the command channel, the listener, the log and the event loop.
constexpr std::size_t reserved_descriptors = 24;

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

// What is left after the viewers' maximum, floods included, and the process's own descriptors; at least 1.
std::size_t Platform::max_server_connections() const {
  const auto others = max_viewer_connections() / 4 * 5 + reserved_descriptors;
  return config_.max_sockets > others + 1 ? config_.max_sockets - others : 1;
}

ServerId Platform::server_id(const std::string& name) {
  const auto [found, inserted] = server_ids_.try_emplace(name, static_cast<ServerId>(servers_.size()));
  if (inserted) {
    servers_.emplace_back();
    servers_.back().name = name;
  }
  return found->second;
}

ConnectionId Platform::dial(ServerId id, bool for_try) {
  auto& server = servers_[id];
  if (server.pending_dial)
    return server.pending_dial;
  if (!processes_.endpoint(id) || !reserve_server_connection(for_try))
    return 0;
  const auto connection_id = next_connection_id_++;
  auto& connection = server_connections_[connection_id];
  connection.server = id;
  connection.last_heard_at = connection.last_used_at = now_;
  server.pending_dial = connection_id;
  const auto& endpoint = *processes_.endpoint(id);
  actions_->push_back(Dial{connection_id, endpoint.address, endpoint.port});
  start_timer(config_.dial_timeout, TimerKind::dial_timeout, connection_id);
  return connection_id;
}

ConnectionId Platform::connection_for(ServerId id) {
  const auto found = server_connections_.find(servers_[id].connection);
  if (found != server_connections_.end() && found->second.tries.size() < config_.max_tries_per_connection)
    return found->first;
  return dial(id, true);
}

void Platform::close_expired_connections() {
  std::vector<ConnectionId> expired, unanswered;
  for (const auto& [connection_id, connection] : server_connections_) {
    if (connection.finished_sending_at) {
      if (now_ - *connection.finished_sending_at > finish_timeout)
        unanswered.push_back(connection_id);
    } else if (connection.retired_at && connection.tries.empty() &&
               now_ - *connection.retired_at > retired_lifetime) {
      expired.push_back(connection_id);
    }
  }
  for (const auto connection : expired)
    close_server_connection(connection);
  for (const auto connection : unanswered) {
    drop_server_connection(connection, Outcome::reset);
    actions_->push_back(Close{connection, false});
  }
}

// Closes retired and idle connections, and checks the liveness of servers with playbacks.
void Platform::sweep_servers() {
  close_expired_connections();
  while (!unmatched_releases_.empty() &&
         now_ - unmatched_releases_.front().received_at > unmatched_release_lifetime)
    unmatched_releases_.pop_front();
  // Guards against a server's idle timeout closing the connection while a set-up is in transit: it would be
  // unknown whether the set-up ran. Also frees unused connections, which servers limit.
  if (config_.idle_timeout > Duration(0)) {
    for (auto& [connection_id, connection] : server_connections_) {
      const bool busy = !connection.established || connection.retired_at || !connection.tries.empty() ||
                        !connection.probes.empty();
      if (!busy && now_ - connection.last_used_at >= idle_timeout_share * config_.idle_timeout)
        retire(connection_id);
    }
  }
  for (ServerId id = 0; id < servers_.size(); ++id) {
    if (is_wanted(id))
      request_liveness_check(id);
  }
}

// Whether a connection to the server is needed to hear of playbacks or to deliver releases.
bool Platform::is_wanted(ServerId id) const {
  return !servers_[id].playing.empty() || !servers_[id].queued_releases.empty();
}

bool Platform::is_finished(ConnectionId connection) const {
  const auto found = server_connections_.find(connection);
  return found != server_connections_.end() && found->second.finished_sending_at;
}

// The connections that count towards max_server_connections().
std::size_t Platform::used_server_connections() const {
  const auto finished = static_cast<std::size_t>(
      std::count_if(server_connections_.begin(), server_connections_.end(),
                    [](const auto& entry) { return entry.second.finished_sending_at.has_value(); }));
  return server_connections_.size() - std::min(finished, max_unlimited_finished);
}

// Guards against connections to servers using up the descriptors of the channel and of viewers: at the limit
// the least recently used one is closed. One to a server with playbacks is closed only in favour of a try.
bool Platform::reserve_server_connection(bool for_try) {
  if (used_server_connections() < max_server_connections())
    return true;
  ConnectionId evicted = 0;
  std::tuple<bool, Duration, ConnectionId> lowest_rank;
  for (const auto& [connection_id, connection] : server_connections_) {
    if (!connection.established || connection.finished_sending_at || !connection.tries.empty() ||
        !connection.probes.empty())
      continue;
    const bool wanted = is_wanted(connection.server);
    const std::tuple rank(wanted, connection.last_used_at, connection_id);
    if ((wanted && !for_try) || (evicted != 0 && rank >= lowest_rank))
      continue;
    evicted = connection_id;
    lowest_rank = rank;
  }
  if (evicted == 0)
    return false;
  close_server_connection(evicted);
  return used_server_connections() < max_server_connections();
}

// Guards against counting a lack of descriptors or ports on this machine as silence of the server.
void Platform::record_local_dial_failure(ServerId id) {
  auto& server = servers_[id];
  server.last_heard_at = std::max(server.last_heard_at, now_ - redial_after_silence);
  server.next_dial_at = std::max(server.next_dial_at, now_ + redial_interval);
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

void Platform::record_server_activity(ServerConnection& connection) {
  if (connection.process_ended)
    return;  // says nothing of the process that followed
  auto& server = servers_[connection.server];
  server.last_heard_at = now_;
  server.consecutive_dial_refusals = 0;
}

// Guards against a handler losing the playback it works on: the check may end all playbacks of the server.
void Platform::request_liveness_check(ServerId id) { liveness_checks_due_.insert(id); }

// Keeps a connection to a server with playbacks, on which it reports their ends. After a time of silence a
// new one is dialled as a health check, as a connection to a vanished machine stays half-open.
void Platform::check_server_liveness(ServerId id) {
  auto& server = servers_[id];
  const bool silent = now_ - server.last_heard_at > redial_after_silence;
  if (server.connection && !silent)
    return;
  const bool silence_timed_out = now_ - server.last_heard_at > server_silence_timeout;
  // A draining process may refuse new connections while its playbacks continue, so refusals count only when
  // no connection is open; the connections of a process that dies are reset.
  const bool refused = server.consecutive_dial_refusals >= dial_refusals_until_lost &&
                       now_ - server.first_dial_refusal_at >= redial_interval / 2 && !has_connection_to(id);
  const bool removed = processes_.is_removed(id) && !has_connection_to(id);
  if (silence_timed_out || refused || removed)
    return end_all_playbacks(id, silence_timed_out ? "no sign" : refused ? "refused" : "gone");
  if (server.pending_dial || now_ < server.next_dial_at)
    return;
  server.next_dial_at = now_ + redial_interval;
  if (dial(id, false) == 0 && processes_.endpoint(id))
    record_local_dial_failure(id);
}

// Includes retired connections, on which the server still reports, but none to a process that has ended.
bool Platform::has_connection_to(ServerId id) const {
  return std::any_of(server_connections_.begin(), server_connections_.end(), [&](const auto& connection) {
    return connection.second.server == id && connection.second.established &&
           !connection.second.process_ended;
  });
}

// The connection carries no new set-ups; it is closed after retired_lifetime without tries.
void Platform::retire(ConnectionId connection_id) {
  auto& connection = server_connections_.at(connection_id);
  connection.retired_at = now_;
  auto& server = servers_[connection.server];
  if (server.connection == connection_id)
    server.connection = 0;
}

void Platform::close_server_connection(ConnectionId connection_id) {
  const auto& connection = server_connections_.at(connection_id);
  if (connection.established && connection.tries.empty() && is_wanted(connection.server))
    return finish_sending(connection_id);
  drop_server_connection(connection_id, Outcome::reset);
  actions_->push_back(Close{connection_id, true});
}

// Guards against losing the release of a playback that the server has sent while the connection is closed: it
// stays open for receiving until the server closes its side too.
void Platform::finish_sending(ConnectionId connection_id) {
  retire(connection_id);
  server_connections_.at(connection_id).finished_sending_at = now_;
  actions_->push_back(FinishSending{connection_id});
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

void Platform::drop_server_connection(ConnectionId connection_id, Outcome outcome_if_sent,
                                      Outcome outcome_if_unsent) {
  const auto found = server_connections_.find(connection_id);
  if (found == server_connections_.end())
    return;
  auto connection = std::move(found->second);
  server_connections_.erase(found);
  auto& server = servers_[connection.server];
  if (server.connection == connection_id)
    server.connection = 0;
  if (server.pending_dial == connection_id)
    server.pending_dial = 0;
  for (const auto id : connection.tries) {
    auto* playback = find_playback(id);
    if (!playback || playback->state != Playback::State::trying || playback->connection != connection_id)
      continue;
    playback->connection = 0;  // no release is sent: the connection is gone
    end_try(id, playback->sent ? outcome_if_sent : outcome_if_unsent, {}, false);
  }
  const bool sent = connection.established || outcome_if_unsent != Outcome::not_sent;
  for (std::size_t i = 0; i < connection.probes.size(); ++i)
    process_event(ProbeEnded{connection.server, false, {}, sent});
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
  if (playback.server != id)
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
