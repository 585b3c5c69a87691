// Interface between a core and the driver that runs it: libuv in service, a virtual clock and network in
// simulation. A core is a state machine over time and I/O events; it owns no socket, clock or file.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace violettide {

using Duration = std::chrono::microseconds;

// The driver numbers accepted connections from `first_accepted` up; a core numbers those it dials below it.
using ConnectionId = std::uint32_t;
constexpr ConnectionId first_accepted = 1u << 31;

// Why a connection ended. `finished`: both sides closed it in order; the runtime delivers HalfClosed instead,
// and cores use this value for what follows. `local_failure`: the dial failed on this machine, for lack of a
// descriptor or a port, so it says nothing about the peer, which received nothing.
enum class CloseReason { finished, refused, reset, local_failure };

// The driver accepted a connection. `listener` is an index in the order of the listen addresses.
struct Accepted {
  ConnectionId connection;
  int listener;
};
// A dialled connection is established.
struct Connected {
  ConnectionId connection;
};
// `bytes` is valid only during the call.
struct Received {
  ConnectionId connection;
  std::string_view bytes;
};
// The peer shut down its sending side.
struct HalfClosed {
  ConnectionId connection;
};
// The connection is gone. Never follows the core's own Close.
struct Disconnected {
  ConnectionId connection;
  CloseReason reason;
};
// All bytes sent so far have been handed to the kernel.
struct Flushed {
  ConnectionId connection;
};
// A Persist is done; results come in the order of the requests.
struct Persisted {
  std::uint64_t ticket;
  std::string error;  // empty on success
};
// The time set by StartTimer has been reached. Also the first event of a run.
struct TimerFired {};
// The process was asked to terminate.
struct ShutdownRequested {};
// SIGHUP: the current content of the reloadable file.
struct ConfigReloaded {
  std::string text;
};
// Answers DrainInput: all input that had reached this machine by then has been delivered.
struct InputDrained {};
using IoEvent = std::variant<Accepted, Connected, Received, HalfClosed, Disconnected, Flushed, Persisted,
                             TimerFired, ShutdownRequested, ConfigReloaded, InputDrained>;

// Opens a connection to an IPv4 address; answered by Connected or Disconnected.
struct Dial {
  ConnectionId connection;
  std::string address;
  std::uint16_t port;
};
struct Send {
  ConnectionId connection;
  std::string bytes;
};
// With `after_sending`, unsent bytes are delivered first; without it they are dropped and the peer sees a
// reset.
struct Close {
  ConnectionId connection;
  bool after_sending;
};
// Shuts down the sending side once unsent bytes are delivered. What the peer still sends is received until
// its end of the stream (HalfClosed), so that nothing it sent before it learned of this is lost. Nothing may
// be sent afterwards.
struct FinishSending {
  ConnectionId connection;
};
// Stops reading, so that TCP flow control slows the sender down.
struct PauseReading {
  ConnectionId connection;
};
struct ResumeReading {
  ConnectionId connection;
};
// Requests TimerFired at `at`; replaces an earlier request.
struct StartTimer {
  Duration at;
};
// Listens again after StopListening.
struct Listen {
  int listener;
};
// Closes the listening socket, so that new connections are refused.
struct StopListening {
  int listener;
};
// Replaces the file `name` atomically.
struct WriteFile {
  std::string name;
  std::string bytes;
};
// Persist tickets from here on belong to the seat log, those below it to the catalogue.
constexpr std::uint64_t first_seat_ticket = std::uint64_t{1} << 62;
// Writes `bytes` durably; answered by Persisted. `replaces_all`: they replace everything stored before.
struct Persist {
  std::uint64_t ticket;
  std::string bytes;
  bool replaces_all;
};
using LogField = std::pair<std::string, std::variant<std::int64_t, double, std::string>>;
// Writes one structured log line.
struct LogLine {
  std::string event;
  std::vector<LogField> fields;
};
// Requests InputDrained after everything that has arrived by now is delivered. Guards against acting on
// outdated input while newer input, such as the end of the same connection, is still unread.
struct DrainInput {};
// Ends the loop once closing connections have sent their last bytes, after `timeout` at the latest.
struct StopLoop {
  Duration timeout{10'000'000};
};
using Action = std::variant<Dial, Send, Close, FinishSending, PauseReading, ResumeReading, StartTimer, Listen,
                            StopListening, WriteFile, Persist, LogLine, DrainInput, StopLoop>;

// An event-driven state machine without I/O of its own.
class Core {
 public:
  virtual ~Core() = default;
  // Handles one event and appends the resulting actions in order. `now` never decreases.
  virtual void handle(Duration now, const IoEvent& event, std::vector<Action>& actions) = 0;
};

// Builds one visitor for std::visit from several lambdas.
template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

}  // namespace violettide
