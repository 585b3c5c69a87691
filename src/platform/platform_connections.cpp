// Connections to video servers: dials, their limit, the close of unused ones, and the liveness of servers.
#include <algorithm>
#include <tuple>

#include "platform/platform_internal.h"

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
// From a server's release of an unknown call to the viewer's handover of that playback.
constexpr Duration unmatched_release_lifetime{10s};
// A single refused dial may be momentary.
constexpr int dial_refusals_until_lost = 2;
// Of a server's idle timeout: connections idle for longer carry no set-up.
constexpr double idle_timeout_share = 0.8;
// For the command channel, the listener, the log and the event loop.
constexpr std::size_t reserved_descriptors = 24;

}  // namespace

// What is left after the viewers' maximum, floods included, and the process's own descriptors; at least 1.
std::size_t Platform::max_server_connections() const {
  const auto others = max_viewer_connections() / 4 * 5 + reserved_descriptors;
  return config_.max_sockets > others + 1 ? config_.max_sockets - others : 1;
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

}  // namespace violettide::platform
