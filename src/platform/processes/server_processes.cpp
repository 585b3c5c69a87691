#include "platform/processes/server_processes.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace violettide::platform {

bool ServerProcesses::EndpointOrder::operator()(const Endpoint& left, const Endpoint& right) const {
  return std::tie(left.address, left.port) < std::tie(right.address, right.port);
}

ServerState ServerProcesses::state(ServerId id) const {
  return id < processes_.size() ? processes_[id].state : ServerState::gone;
}

bool ServerProcesses::is_removed(ServerId id) const {
  return id < processes_.size() && processes_[id].listed && processes_[id].state == ServerState::gone;
}

const Endpoint* ServerProcesses::endpoint(ServerId id) const {
  if (id >= processes_.size() || processes_[id].endpoint.port == 0)
    return nullptr;
  return &processes_[id].endpoint;
}

bool ServerProcesses::has_ready_server() const {
  return std::any_of(processes_.begin(), processes_.end(),
                     [](const auto& process) { return process.state == ServerState::ready; });
}

std::vector<ProcessEnd> ServerProcesses::apply(const ServerListUpdate& update,
                                               const std::vector<ServerId>& ids) {
  if (!ids.empty())
    processes_.resize(
        std::max<std::size_t>(processes_.size(), *std::max_element(ids.begin(), ids.end()) + 1));
  if (update.snapshot) {
    const std::set<ServerId> included(ids.begin(), ids.end());
    for (ServerId id = 0; id < processes_.size(); ++id) {
      if (!included.contains(id))
        processes_[id].state = ServerState::gone;
    }
  }
  std::vector<ProcessEnd> ended;
  for (std::size_t i = 0; i < ids.size(); ++i)
    apply_entry(ids[i], update.servers[i], ended);
  return ended;
}

void ServerProcesses::apply_entry(ServerId id, const ListedServer& listed, std::vector<ProcessEnd>& ended) {
  auto& process = processes_[id];
  // An older start than the known one comes from a delayed list: its address is that of an earlier process.
  const bool outdated = listed.started_ms != 0 && listed.started_ms < process.started_ms;
  const bool restarted = process.listed && listed.started_ms > process.started_ms;
  const bool has_address = listed.endpoint.port != 0 && !outdated;
  const bool new_address = has_address && listed.endpoint != process.told_endpoint;
  const bool moved = new_address && process.endpoint.port != 0;
  const bool is_news = !process.listed || restarted || new_address;
  process.listed = true;
  process.state = listed.state;
  process.started_ms = std::max(process.started_ms, listed.started_ms);
  // A process keeps its address for life, so no connection to the old address leads to the new process.
  if (moved) {
    owners_.erase(process.endpoint);
    process.endpoint = {};
    ended.push_back({id, id, std::nullopt});
  } else if (restarted) {
    ended.push_back({id, id, listed.started_ms});
  }
  if (has_address)
    take_address(id, listed, is_news, ended);
}

// An address belongs to the process that started last. Of two with the same start, or if the earlier owner is
// gone, it belongs to the one of which the list has told anew: repeated entries change nothing.
void ServerProcesses::take_address(ServerId id, const ListedServer& listed, bool is_news,
                                   std::vector<ProcessEnd>& ended) {
  auto& process = processes_[id];
  process.told_endpoint = listed.endpoint;
  const auto [owner, inserted] = owners_.try_emplace(listed.endpoint, id);
  if (inserted || owner->second == id) {
    process.endpoint = listed.endpoint;
    return;
  }
  auto& previous = processes_[owner->second];
  const bool started_later = process.started_ms > previous.started_ms;
  const bool may_follow = process.started_ms == previous.started_ms || previous.state == ServerState::gone;
  if (listed.state == ServerState::gone || (!started_later && !(is_news && may_follow))) {
    process.state = ServerState::gone;
    process.endpoint = {};
    return;
  }
  const bool start_known = process.started_ms != 0;
  ended.push_back({owner->second, id, start_known ? std::optional(process.started_ms) : std::nullopt});
  previous.state = ServerState::gone;
  previous.endpoint = {};
  process.endpoint = listed.endpoint;
  owner->second = id;
}

}  // namespace violettide::platform
