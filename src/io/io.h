// What passes between a core and whatever drives it: libuv in service, a virtual clock and network in
// rehearsals. A core is a function of time and happenings; it owns no socket, clock or file.
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

// A connection. The driver numbers accepted ones from `first_accepted` up, a core those it dials below it.
using ConnectionId = std::uint32_t;
constexpr ConnectionId first_accepted = 1u << 31;

// `local_failure`: a dial that failed on this machine, for want of a descriptor or a port; it says nothing of
// the peer, and nothing reached it.
enum class CloseReason { finished, refused, reset, local_failure };

struct Accepted {
  ConnectionId connection;
  int listener;
};  // `listener`: the listening place, in the order listened on
struct Connected {
  ConnectionId connection;
};
struct Received {
  ConnectionId connection;
  std::string_view bytes;
};  // bytes live as long as the call
struct HalfClosed {
  ConnectionId connection;
};  // the peer writes no more
struct Disconnected {
  ConnectionId connection;
  CloseReason reason;
};  // never after the core's own Close
struct Flushed {
  ConnectionId connection;
};                  // all that was sent has left for the kernel
struct Persisted {  // of Persist, in the order asked
  std::uint64_t ticket;
  std::string error;  // the cause; empty: it is on the disk
};
struct TimerFired {};  // the time asked for by StartTimer has come
struct ShutdownRequested {};
struct ConfigReloaded {
  std::string text;
};                       // the file to read again, as it is now
struct InputDrained {};  // of DrainInput: all that had come to this machine by then has been told
using IoEvent = std::variant<Accepted, Connected, Received, HalfClosed, Disconnected, Flushed, Persisted,
                             TimerFired, ShutdownRequested, ConfigReloaded, InputDrained>;

struct Dial {
  ConnectionId connection;
  std::string address;
  std::uint16_t port;
};
struct Send {
  ConnectionId connection;
  std::string bytes;
};
struct Close {
  ConnectionId connection;
  bool after_sending;
};  // not after sending: unsent bytes are lost, the peer reset
struct PauseReading {
  ConnectionId connection;
};  // read no more from it, so that its sender feels it
struct ResumeReading {
  ConnectionId connection;
};
struct StartTimer {
  Duration at;
};  // replaces an earlier one
struct Listen {
  int listener;
};  // listen again at a door that was shut
struct StopListening {
  int listener;
};  // refuse connections at it
struct WriteFile {
  std::string name;
  std::string bytes;
};  // keep as a whole or not at all
// Tickets of Persist from here on are of another book than those below.
constexpr std::uint64_t first_seat_ticket = std::uint64_t{1} << 62;
struct Persist {  // on the disk for good, before Persisted comes; `replaces_all`: in place of all kept before
  std::uint64_t ticket;
  std::string bytes;
  bool replaces_all;
};
using LogField = std::pair<std::string, std::variant<std::int64_t, double, std::string>>;
struct LogLine {
  std::string event;
  std::vector<LogField> fields;
};  // one log line
// Everything that has come by now is to be told before InputDrained. Guards against acting on what is older
// than its own end, which waits unread behind it or beside it.
struct DrainInput {};
struct StopLoop {  // the core is done; end the loop, once its last answers have been taken
  Duration timeout{10'000'000};
};
using Action = std::variant<Dial, Send, Close, PauseReading, ResumeReading, StartTimer, Listen, StopListening,
                            WriteFile, Persist, LogLine, DrainInput, StopLoop>;

class Core {
 public:
  virtual ~Core() = default;
  // `now` never goes back. Appends what is to be done, in order.
  virtual void handle(Duration now, const IoEvent& what, std::vector<Action>& actions) = 0;
};

template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

}  // namespace violettide
