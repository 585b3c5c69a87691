// Managers of a hall speaking to each other: one connection each way between each two, frames of protobuf,
// each signed with the hall's key over the other side's challenge and a count, so that nothing is forged,
// replayed on another connection or left out within one. Messages may still be lost with a connection, and
// are kept for one that is down within a bound: who sends must live with both. Free of I/O and clock.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "io/io.h"

namespace violettide::peers {

using PeerIndex = std::uint32_t;
struct Address {
  std::string name, address;
  std::uint16_t port = 0;
};
struct PeerTerms {
  std::vector<Address> all;  // every manager of the hall, this one too
  PeerIndex own = 0;
  std::string key;
  Duration dial_again{200'000};      // after a connection that failed, doubled up to
  Duration dial_longest{5'000'000};  // this
  std::size_t most_waiting = 4096;   // messages to one peer
  std::size_t most_frame = 64 * 1024;
};

struct Heard {
  PeerIndex from = 0;
  std::uint32_t kind = 0;
  std::string payload;
};

class Peers {
 public:
  // `links`: where the numbers of links that this dials begin; they rise from there.
  Peers(PeerTerms terms, ConnectionId links)
      : terms_(std::move(terms)), next_link_(links), out_(terms_.all.size()) {}
  void send(Duration now, PeerIndex to, std::uint32_t kind, std::string payload,
            std::vector<Action>& actions);
  void accepted(Duration now, ConnectionId link, std::vector<Action>& actions);
  bool knows(ConnectionId link) const { return dialed_.contains(link) || came_.contains(link); }
  std::vector<Heard> received(ConnectionId link, std::string_view bytes, std::vector<Action>& actions);
  void ended(Duration now, ConnectionId link);
  void time_passed(Duration now, std::vector<Action>& actions);  // dials what is due

  // What was refused or dropped since the last call, and why.
  std::vector<std::string> take_remarks() { return std::exchange(remarks_, {}); }

 private:
  struct Out {  // to one peer
    ConnectionId link = 0;
    bool challenged = false;
    std::string challenge, got;
    std::uint64_t count = 0;
    std::deque<std::pair<std::uint32_t, std::string>> waiting;
    Duration dial_at{0}, pause{0};
    bool told_full = false;
  };
  struct In {
    std::string challenge, got;
    std::optional<PeerIndex> from;
    std::uint64_t count = 0;
  };
  std::string mac(std::string_view challenge, std::string_view body) const;
  void flush(PeerIndex to, std::vector<Action>& actions);
  void dial(Duration now, PeerIndex to, std::vector<Action>& actions);
  void refuse(ConnectionId link, const std::string& cause, std::vector<Action>& actions);

  PeerTerms terms_;
  ConnectionId next_link_;
  std::vector<Out> out_;
  std::map<ConnectionId, PeerIndex> dialed_;
  std::map<ConnectionId, In> came_;
  std::uint64_t challenges_ = 0;
  std::vector<std::string> remarks_;
};

}  // namespace violettide::peers
