// Tells from the server list which process a video server's name and address belong to, and which processes
// have thereby ended: a server may start anew under its name, move to another address, or leave its address
// to a server of another name. The list may tell these in any order. Free of I/O and clock.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "platform/channel/channel.h"
#include "policy/policy.h"

namespace violettide::platform {

// The process that ran as `server` has ended, and one that runs as `successor` has followed it.
struct ProcessEnd {
  ServerId server = 0;
  ServerId successor = 0;  // the same server if it started anew or moved
  // Connections to the address that were established from then on lead to the successor, in Unix ms. Empty:
  // none is known to.
  std::optional<std::int64_t> successor_started_ms;
};

// What the list says of all servers. A server that no list has told of is gone and has no address.
class ServerProcesses {
 public:
  // Takes an update of the list, whose servers have the numbers `ids`, in the same order. Servers that a
  // snapshot leaves out are gone. Returns the processes that have ended by it.
  std::vector<ProcessEnd> apply(const ServerListUpdate& update, const std::vector<ServerId>& ids);

  // A server whose address has passed to another one counts as gone, whatever the list calls it.
  ServerState state(ServerId id) const;
  // Whether the list has told that the server is gone, or has passed its address to another one.
  bool is_removed(ServerId id) const;
  // Where the current process listens; null: not known, or passed to another server.
  const Endpoint* endpoint(ServerId id) const;
  bool has_ready_server() const;

 private:
  struct Process {
    bool listed = false;
    ServerState state = ServerState::gone;
    std::int64_t started_ms = 0;  // 0: long ago
    Endpoint told_endpoint;       // as the list has it
    Endpoint endpoint;            // port 0: none
  };
  struct EndpointOrder {
    bool operator()(const Endpoint& left, const Endpoint& right) const;
  };

  void apply_entry(ServerId id, const ListedServer& listed, std::vector<ProcessEnd>& ended);
  void take_address(ServerId id, const ListedServer& listed, bool is_news, std::vector<ProcessEnd>& ended);

  std::vector<Process> processes_;
  std::map<Endpoint, ServerId, EndpointOrder> owners_;  // the server whose process has an address
};

}  // namespace violettide::platform
