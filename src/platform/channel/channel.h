// Client of the command channel, over which the operators' platform sends numbered events about the list of
// video servers. Handles lost connections, repeated and missing events, silence and a change of address.
// Free of I/O and clock: the caller owns the connection and passes in the time.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "policy/policy.h"

namespace violettide::platform {

// A TCP address and port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
};
// Parses "address:port"; port 0 is invalid.
std::optional<Endpoint> parse_endpoint(std::string_view text);

// A video server as an event describes it.
struct ListedServer {
  std::string name;
  Endpoint endpoint;
  std::string hall, kind;
  int cell = 0;
  ServerState state = ServerState::ready;
  double weight = 1;
  std::int64_t started_ms = 0;  // Unix time; 0: long ago
};
// The servers that one event adds or changes, or with `snapshot` the whole list.
struct ServerListUpdate {
  bool snapshot = false;
  std::vector<ListedServer> servers;
};

// Keeps the position in the event sequence and decides when to dial and when to close the connection.
class Channel {
 public:
  // `seed` draws the backoff of redials.
  explicit Channel(std::uint64_t seed);
  // Takes the events that come with a configuration; returns the updates of the new ones, in order.
  std::vector<ServerListUpdate> take_configured_events(std::string_view json);
  // Sets where to connect. After a change, poll() asks to close a connection to the old endpoint.
  void set_endpoint(std::optional<Endpoint> endpoint);

  // What the caller is to do with the connection.
  enum class Step { none, dial, close };
  Step poll(Duration now);
  // The time by which poll() is to be called again.
  Duration next_poll_at() const { return next_poll_at_; }
  const std::optional<Endpoint>& endpoint() const { return endpoint_; }

  void dial_started(Duration now);
  // Returns the request to send on the new connection.
  std::string connected(Duration now);
  // Returns the updates of the new events, in order.
  std::vector<ServerListUpdate> received(Duration now, std::string_view bytes);
  // The connection or the dial ended, whichever side closed it.
  void disconnected(Duration now);

  // The number of the last event taken.
  std::int64_t last_event() const { return last_event_; }
  // Why poll() asks to close the connection.
  const std::string& close_cause() const { return close_cause_; }

 private:
  void take_line(Duration now, std::string_view line, std::vector<ServerListUpdate>& updates);
  void give_up(std::string cause);
  Duration backoff();

  std::optional<Endpoint> endpoint_;
  std::int64_t last_event_ = 0;
  enum class State { disconnected, dialling, following } state_ = State::disconnected;
  bool given_up_ = false;  // until the connection is closed
  std::string partial_line_;
  std::string close_cause_;
  Duration last_heard_at_{0};
  Duration next_poll_at_{0};
  std::minstd_rand random_;
  int dials_since_heard_ = 0;
};

}  // namespace violettide::platform
