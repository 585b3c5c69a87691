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
// The part of it that a server is left even if descriptors are short.
constexpr Duration min_finish_time{100ms};
// Connections that are about to end or to take the place of one, beyond the limit on connections to servers.
constexpr std::size_t max_transient_connections = 8;
// A server with playbacks that there is no room for takes the place of another connection after this silence.
// With the time for the server to answer, what it has ended is known within 8 s.
constexpr Duration max_silence_without_room{3500ms};
// From a server's release of an unknown call to the viewer's handover of that playback.
constexpr Duration unmatched_release_lifetime{10s};
// From the first byte of a server's message to its last. What it holds back is told again on the next
// connection, within the second that a release may take.
constexpr Duration server_message_timeout{500ms};
// A single refused dial may be momentary.
constexpr int dial_refusals_until_lost = 2;
// Of a server's idle timeout: connections idle for longer carry no set-up.
constexpr double idle_timeout_share = 0.8;
// For the command channel, the listener, the log, the event loop and transient connections.
constexpr std::size_t reserved_descriptors = 24;

}  // namespace

// What is left after the viewers' maximum, floods included, and the process's own descriptors; at least 1.
std::size_t Platform::max_server_connections() const {
  const auto others = max_viewer_connections() / 4 * 5 + reserved_descriptors;
  return config_.max_sockets > others + 1 ? config_.max_sockets - others : 1;
}

ConnectionId Platform::dial(ServerId id, Eviction eviction) {
  auto& server = servers_[id];
  if (server.pending_dial)
    return server.pending_dial;
  if (!processes_.endpoint(id) || !make_room_for_dial(id, eviction))
    return 0;
  const auto connection_id = next_connection_id_++;
  auto& connection = server_connections_[connection_id];
  connection.server = id;
  connection.last_heard_at = connection.last_used_at = now_;
  server.pending_dial = connection_id;
  if (!server.unanswered_dial_at)
    server.unanswered_dial_at = now_;
  waiting_servers_.erase(id);
  const auto& endpoint = *processes_.endpoint(id);
  actions_->push_back(Dial{connection_id, endpoint.address, endpoint.port});
  start_timer(config_.dial_timeout, TimerKind::dial_timeout, connection_id);
  return connection_id;
}

ConnectionId Platform::connection_for(ServerId id, Eviction eviction) {
  const auto found = server_connections_.find(servers_[id].connection);
  if (found != server_connections_.end() && found->second.tries.size() < config_.max_tries_per_connection)
    return found->first;
  return dial(id, eviction);
}

// Guards against taking whatever a server sends for the rest of a message that never becomes whole.
std::vector<ConnectionId> Platform::connections_with_overdue_message() const {
  std::vector<ConnectionId> overdue;
  for (const auto& [connection_id, connection] : server_connections_) {
    if (connection.partial_message_since && now_ - *connection.partial_message_since > server_message_timeout)
      overdue.push_back(connection_id);
  }
  std::sort(overdue.begin(), overdue.end());
  return overdue;
}

void Platform::close_expired_connections() {
  std::vector<ConnectionId> expired, unanswered;
  for (const auto& [connection_id, connection] : server_connections_) {
    if (connection.finished_sending_at) {
      if (now_ - *connection.finished_sending_at > finish_timeout)
        unanswered.push_back(connection_id);
    } else if (connection.retired_at && connection.tries.empty() && connection.probes.empty() &&
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
  for (const auto connection : connections_with_overdue_message()) {
    if (server_connections_.contains(connection))
      close_unreadable_connection(connection, "a message was not completed in time");
  }
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
  earn_evictions();
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

// Connections that are about to end, or to take the place of one. They use the process's own reserve of
// descriptors, so that a connection can be replaced and evicted at the limit.
std::size_t Platform::count_transient_connections() const {
  return static_cast<std::size_t>(
      std::count_if(server_connections_.begin(), server_connections_.end(), [&](const auto& entry) {
        const auto& connection = entry.second;
        return connection.finished_sending_at ||
               (!connection.established && servers_[connection.server].connection != 0);
      }));
}

bool Platform::has_room_for_dial(ServerId id) const {
  const auto transient = count_transient_connections() + (servers_[id].connection != 0 ? 1 : 0);
  return server_connections_.size() + 1 - std::min(transient, max_transient_connections) <=
         max_server_connections();
}

// Guards against connections to servers using up the descriptors of the channel and of viewers: at the limit
// another connection is closed.
bool Platform::make_room_for_dial(ServerId id, Eviction eviction) {
  if (has_room_for_dial(id))
    return true;
  const auto evicted = choose_eviction(id, eviction);
  if (evicted == 0 ||
      (is_wanted(server_connections_.at(evicted).server) && !make_room_for_transient_connection()))
    return false;
  close_server_connection(evicted);
  return has_room_for_dial(id);
}

// Returns the least recently used connection that no playback needs or, if any may be evicted, the oldest
// other one, so that servers with playbacks take turns; 0: none. A draining server may refuse to be dialled
// again, so its connection stays.
ConnectionId Platform::choose_eviction(ServerId id, Eviction eviction) const {
  ConnectionId evicted = 0;
  std::tuple<bool, Duration, ConnectionId> lowest_rank;
  for (const auto& [connection_id, connection] : server_connections_) {
    if (!connection.established || connection.finished_sending_at || !connection.tries.empty() ||
        !connection.probes.empty())
      continue;
    const bool wanted = is_wanted(connection.server);
    const bool stays = connection.server == id || processes_.state(connection.server) != ServerState::ready;
    if (wanted && (eviction == Eviction::unneeded || stays))
      continue;
    const std::tuple rank(wanted, wanted ? connection.established_at : connection.last_used_at,
                          connection_id);
    if (evicted != 0 && rank >= lowest_rank)
      continue;
    evicted = connection_id;
    lowest_rank = rank;
  }
  return evicted;
}

// Guards against servers that never close their side using up the reserve: if it is used up, the connection
// that has waited for its server the longest is closed.
bool Platform::make_room_for_transient_connection() {
  if (count_transient_connections() < max_transient_connections)
    return true;
  ConnectionId oldest = 0;
  std::pair<Duration, ConnectionId> lowest_rank;
  for (const auto& [connection_id, connection] : server_connections_) {
    if (!connection.finished_sending_at || now_ - *connection.finished_sending_at < min_finish_time)
      continue;
    const std::pair rank(*connection.finished_sending_at, connection_id);
    if (oldest != 0 && rank >= lowest_rank)
      continue;
    oldest = connection_id;
    lowest_rank = rank;
  }
  if (oldest == 0)
    return false;
  drop_server_connection(oldest, Outcome::reset);
  actions_->push_back(Close{oldest, false});
  return true;
}

// Guards against counting a lack of descriptors or ports on this machine as silence of the server, which
// counts from the next dial.
void Platform::record_local_dial_failure(ServerId id) {
  auto& server = servers_[id];
  server.unanswered_dial_at.reset();
  server.next_dial_at = std::max(server.next_dial_at, now_ + redial_interval);
}

void Platform::record_server_activity(ServerConnection& connection) {
  if (connection.process_ended)
    return;  // says nothing of the process that followed
  restart_silence(connection.server);
  servers_[connection.server].consecutive_dial_refusals = 0;
}

void Platform::restart_silence(ServerId id) {
  servers_[id].last_heard_at = now_;
  servers_[id].unanswered_dial_at.reset();
}

// Guards against losing playbacks at a server that could not be dialled for want of room: the time in which
// it has to give a sign begins with a dial.
bool Platform::silence_timed_out(ServerId id) const {
  const auto& server = servers_[id];
  if (!processes_.endpoint(id))
    return now_ - server.last_heard_at > server_silence_timeout;
  if (!server.unanswered_dial_at)
    return false;
  const auto since = std::max(server.last_heard_at + redial_after_silence, *server.unanswered_dial_at);
  return now_ - since > server_silence_timeout - redial_after_silence;
}

// Guards against a handler losing the playback it works on: the check may end all playbacks of the server.
void Platform::request_liveness_check(ServerId id) { liveness_checks_due_.insert(id); }

// The servers that have been silent for longest come first, as not all may be dialled.
void Platform::check_liveness_of_servers() {
  std::vector<std::pair<Duration, ServerId>> due;
  for (const auto id : std::exchange(liveness_checks_due_, {}))
    due.emplace_back(servers_[id].last_heard_at, id);
  std::sort(due.begin(), due.end());
  for (const auto& [last_heard_at, id] : due)
    check_server_liveness(id);
}

// Keeps a connection to a server with playbacks, on which it reports their ends. After a time of silence a
// new one is dialled as a health check, as a connection to a vanished machine stays half-open.
void Platform::check_server_liveness(ServerId id) {
  waiting_servers_.erase(id);
  if (!is_wanted(id) || !is_redial_due(id))
    return;
  const auto& server = servers_[id];
  // A draining process may refuse new connections while its playbacks continue, so refusals count only when
  // no connection is open; the connections of a process that dies are reset.
  const bool refused = server.consecutive_dial_refusals >= dial_refusals_until_lost &&
                       now_ - server.first_dial_refusal_at >= redial_interval / 2 && !has_connection_to(id);
  const bool removed = processes_.is_removed(id) && !has_connection_to(id);
  const bool silent = silence_timed_out(id);
  if (silent || refused || removed)
    return end_all_playbacks(id, silent ? "no sign" : refused ? "refused" : "gone");
  if (!server.pending_dial && now_ >= server.next_dial_at)
    dial_for_liveness(id);
}

// Whether a server with playbacks has no connection, has lost one, or has been silent for too long.
bool Platform::is_redial_due(ServerId id) const {
  const auto& server = servers_[id];
  // With servers waiting for room, one that is connected is not dialled for more than they are.
  const auto longest_silence = waiting_servers_.empty() ? redial_after_silence : max_silence_without_room;
  return !server.connection || now_ < server.redial_until || now_ - server.last_heard_at > longest_silence;
}

// Dials the server if there is room, or takes the place of another connection if the server has been silent
// for too long, has not answered a dial, or a release waits to be sent to it.
void Platform::dial_for_liveness(ServerId id) {
  auto& server = servers_[id];
  if (!processes_.endpoint(id))
    return;
  const bool urgent = now_ - server.last_heard_at >= max_silence_without_room || server.unanswered_dial_at ||
                      !server.queued_releases.empty();
  const bool earned = !urgent && earned_evictions_ >= 1;
  const bool has_room = has_room_for_dial(id);
  if (dial(id, urgent || earned ? Eviction::any : Eviction::unneeded) != 0) {
    server.next_dial_at = now_ + redial_interval;
    if (earned && !has_room)
      earned_evictions_ -= 1;
    return;
  }
  waiting_servers_.insert(id);
  if (now_ - server.next_dial_at > redial_interval)
    server.unanswered_dial_at.reset();
}

// Spreads the turns of the servers that wait evenly over the time that each of them may wait.
void Platform::earn_evictions() {
  const std::chrono::duration<double> sweep = sweep_interval, longest_wait = max_silence_without_room;
  const auto waiting = static_cast<double>(waiting_servers_.size());
  earned_evictions_ = std::min(waiting, earned_evictions_ + waiting * (sweep / longest_wait));
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
  const bool in_use = !connection.established || !connection.tries.empty() || !connection.probes.empty();
  if (!in_use && is_wanted(connection.server))
    return finish_sending(connection_id);
  drop_server_connection(connection_id, Outcome::reset);
  actions_->push_back(Close{connection_id, true});
}

// Guards against losing the release of a playback that the server has sent while the connection is closed: it
// stays open for receiving until the server closes its side too.
void Platform::finish_sending(ConnectionId connection_id) {
  retire(connection_id);
  auto& connection = server_connections_.at(connection_id);
  connection.finished_sending_at = now_;
  request_liveness_check(connection.server);
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
  liveness_checks_due_.insert(waiting_servers_.begin(), waiting_servers_.end());
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
