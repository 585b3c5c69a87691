// What follows from the server list: states for the decider, and the end of processes.
#include <algorithm>
#include <iterator>

#include "platform/platform_internal.h"

namespace violettide::platform {

namespace {

// Returns 0 for a name that is not in the list.
template <typename List>
int index_in(const List& list, const std::string& name) {
  const auto found = std::find(list.begin(), list.end(), name);
  return found == list.end() ? 0 : static_cast<int>(found - list.begin());
}

}  // namespace

void Platform::apply_server_lists(const std::vector<ServerListUpdate>& updates, bool at_start) {
  for (const auto& update : updates)
    apply_server_list(update, at_start);
  // Guards against sending a try that waited for its connection or for pending input to a server that
  // meanwhile drains or is gone.
  cancel_tries(unsent_tries([this](ConnectionId, const ServerConnection& connection) {
    return processes_.state(connection.server) != ServerState::ready || connection.retired_at;
  }));
}

void Platform::apply_server_list(const ServerListUpdate& update, bool at_start) {
  ServerList list;
  list.kind = !update.snapshot ? ServerList::Kind::changes
              : at_start       ? ServerList::Kind::cached
                               : ServerList::Kind::complete;
  std::vector<ServerId> ids;
  for (const auto& listed : update.servers)
    ids.push_back(server_id(listed.name));
  const auto ends = processes_.apply(update, ids);
  std::set<ServerId> ended;
  for (const auto& end : ends)
    ended.insert(end.server);
  for (std::size_t i = 0; i < ids.size(); ++i)
    servers_[ids[i]].entry = server_entry(ids[i], update.servers[i]);
  auto changed = ids;  // and those that lost their address to one of them
  std::copy_if(ended.begin(), ended.end(), std::back_inserter(changed),
               [&](ServerId id) { return std::find(ids.begin(), ids.end(), id) == ids.end(); });
  for (const auto id : changed) {
    servers_[id].entry.state = processes_.state(id);
    list.entries.push_back(servers_[id].entry);
  }
  for (const auto& end : ends)
    end_process(end);
  process_event(list);
  for (const auto id : ended)
    take_back_from_ended_process(id);
}

ServerEntry Platform::server_entry(ServerId id, const ListedServer& listed) const {
  ServerEntry entry;
  entry.server = id;
  entry.state = processes_.state(id);
  entry.kind = index_in(config_.kinds, listed.kind);
  entry.cell = listed.cell;
  entry.hall = index_in(config_.halls, listed.hall);
  entry.weight = listed.weight;
  if (listed.started_ms != 0)
    entry.started = Duration(listed.started_ms * 1000) - config_.wall_clock_offset;
  return entry;
}

// Connections from then on lead to the successor.
Duration Platform::successor_started_at(const ProcessEnd& end) const {
  if (!end.successor_started_ms)
    return Duration::max();
  return Duration(*end.successor_started_ms * 1000) - config_.wall_clock_offset;
}

// Guards against taking connections to the process that followed for signs of the one that has ended: its
// sessions have ended with it, and their viewers are owed a report.
void Platform::end_process(const ProcessEnd& end) {
  const auto successor_started = successor_started_at(end);
  for (auto& [connection_id, connection] : server_connections_) {
    if (connection.server != end.server || !connection.established)
      continue;
    if (end.successor == end.server && connection.established_at >= successor_started)
      continue;  // leads to the new process
    retire(connection_id);
    connection.process_ended = true;
    if (connection.established_at >= successor_started)
      connection.successor = end.successor;
  }
  end_playbacks_of_process(end, successor_started);
}

// A playback of a server that started anew goes on if it was set up at the new process, before the list told
// of it: the connection that it was set up on leads there.
void Platform::end_playbacks_of_process(const ProcessEnd& end, Duration successor_started) {
  auto& server = servers_[end.server];
  const auto may_run_at_successor = [&](const SetUpPath& path) {
    return !path.established_at || *path.established_at >= successor_started;
  };
  auto queued = std::exchange(server.queued_releases, {});
  std::set<PlaybackId> ended;
  for (const auto id : server.playing) {
    const auto& playback = playbacks_.at(id);
    const auto connection = server_connections_.find(playback.path.connection);
    const bool connected = connection != server_connections_.end();
    if (connected && !connection->second.process_ended)
      continue;
    ended.insert(id);
    auto bytes = release_bytes(playback.call, cause::ended);
    if (connected && !connection->second.finished_sending_at)
      send_to_server(connection->first, std::move(bytes));
    else
      queued.push_back({std::move(bytes), playback.path});
  }
  server.consecutive_dial_refusals = 0;
  server.unanswered_dial_at.reset();
  if (!ended.empty())
    end_playbacks(end.server, ended, end.successor == end.server ? "started anew" : "replaced");
  if (servers_[end.successor].playing.empty())
    restart_silence(end.successor);
  for (auto& release : queued) {
    if (may_run_at_successor(release.path))
      send_or_queue_release(end.successor, std::move(release));
  }
}

// Takes back what was to be sent to the server before its new process was known: tries keep to the pace of
// the new one, a dial may lead to either, and probes at the old one say nothing of the new one.
void Platform::take_back_from_ended_process(ServerId id) {
  const auto dial = servers_[id].pending_dial;
  std::size_t probes = 0;
  for (auto& [connection_id, connection] : server_connections_) {
    if (connection.server == id && connection.process_ended)
      probes += std::exchange(connection.probes, {}).size();
  }
  const auto unsent = unsent_tries([&](ConnectionId connection_id, const ServerConnection& connection) {
    return connection.server == id && connection_id != dial;
  });
  if (server_connections_.contains(dial)) {
    drop_server_connection(dial, Outcome::not_sent, Outcome::not_sent);
    actions_->push_back(Close{dial, false});
  }
  cancel_tries(unsent);
  for (std::size_t i = 0; i < probes; ++i)
    process_event(ProbeEnded{id, false, {}, false});
}

std::vector<PlaybackId> Platform::unsent_tries(
    const std::function<bool(ConnectionId, const ServerConnection&)>& concerned) const {
  std::vector<PlaybackId> unsent;
  for (const auto& [connection_id, connection] : server_connections_) {
    if (!concerned(connection_id, connection))
      continue;
    std::copy_if(connection.tries.begin(), connection.tries.end(), std::back_inserter(unsent),
                 [&](PlaybackId id) { return !playbacks_.at(id).sent; });
  }
  std::sort(unsent.begin(), unsent.end());
  return unsent;
}

void Platform::cancel_tries(const std::vector<PlaybackId>& unsent) {
  for (const auto id : unsent) {
    const auto* playback = find_playback(id);
    if (playback && playback->state == Playback::State::trying && !playback->sent)
      end_try(id, Outcome::not_sent, {}, false);
  }
}

}  // namespace violettide::platform
