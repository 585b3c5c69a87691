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
using Link = std::uint32_t;
constexpr Link first_accepted = 1u << 31;

// `unable`: a dial that failed on this machine, for want of a descriptor or a port; it says nothing of the
// peer, and nothing reached it.
enum class Ending { finished, refused, reset, unable };

struct Accepted {
  Link link;
  int door;
};  // `door`: the listening place, in the order listened on
struct Connected {
  Link link;
};
struct Received {
  Link link;
  std::string_view bytes;
};  // bytes live as long as the call
struct HalfClosed {
  Link link;
};  // the peer writes no more
struct Ended {
  Link link;
  Ending how;
};  // never after the core's own Close
struct Flushed {
  Link link;
};                 // all that was sent has left for the kernel
struct KeepDone {  // of Keep, in the order asked
  std::uint64_t ticket;
  std::string failed;  // the cause; empty: it is on the disk
};
struct Woken {};  // the time asked for by WakeAt has come
struct StopAsked {};
struct Reread {
  std::string text;
};                  // the file to read again, as it is now
struct Settled {};  // of Settle: all that had come to this machine by then has been told
using IoEvent = std::variant<Accepted, Connected, Received, HalfClosed, Ended, Flushed, KeepDone, Woken,
                             StopAsked, Reread, Settled>;

struct Dial {
  Link link;
  std::string address;
  std::uint16_t port;
};
struct Send {
  Link link;
  std::string bytes;
};
struct Close {
  Link link;
  bool after_sending;
};  // not after sending: unsent bytes are lost, the peer reset
struct Hold {
  Link link;
};  // read no more from it, so that its sender feels it
struct Resume {
  Link link;
};
struct WakeAt {
  Duration at;
};  // replaces an earlier one
struct Open {
  int door;
};  // listen again at a door that was shut
struct Shut {
  int door;
};  // refuse connections at it
struct Store {
  std::string name;
  std::string bytes;
};  // keep as a whole or not at all
// Tickets of Keep from here on are of another book than those below.
constexpr std::uint64_t seat_tickets = std::uint64_t{1} << 62;
struct Keep {  // on the disk for good, before KeepDone comes; `whole`: in place of all kept before
  std::uint64_t ticket;
  std::string bytes;
  bool whole;
};
using Field = std::pair<std::string, std::variant<std::int64_t, double, std::string>>;
struct Say {
  std::string event;
  std::vector<Field> fields;
};  // one log line
// Everything that has come by now is to be told before Settled. Guards against acting on what is older than
// its own end, which waits unread behind it or beside it.
struct Settle {};
struct Leave {  // the core is done; end the loop, once its last answers have been taken
  Duration within{10'000'000};
};
using Action =
    std::variant<Dial, Send, Close, Hold, Resume, WakeAt, Open, Shut, Store, Keep, Say, Settle, Leave>;

class Core {
 public:
  virtual ~Core() = default;
  // `now` never goes back. Appends what is to be done, in order.
  virtual void handle(Duration now, const IoEvent& what, std::vector<Action>& actions) = 0;
};

template <typename... Visitors>
struct Visit : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Visit(Visitors...) -> Visit<Visitors...>;

}  // namespace violettide
