// Connections between the managers of a hall: between each two managers one connection in each direction,
// with protobuf frames. The accepting side sends a challenge; each frame carries a MAC, with the hall's key,
// of that challenge and of a body with a frame count, so that frames can't be forged, replayed on another
// connection or dropped within one. Messages are lost when a connection fails, and the queue for a peer that
// is down is bounded: senders must tolerate both. Free of I/O and of a clock.
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

using PeerIndex = std::uint32_t;  // a manager's position in PeerSettings::managers
// Where a manager listens for other managers.
struct PeerAddress {
  std::string name;
  std::string address;
  std::uint16_t port = 0;
};
struct PeerSettings {
  std::vector<PeerAddress> managers;  // all managers of the hall, this one included
  PeerIndex self = 0;
  std::string key;                 // shared by the managers of the hall
  Duration redial_delay{200'000};  // after a connection failed; doubled with each failure
  Duration max_redial_delay{5'000'000};
  std::size_t max_queued = 4096;  // messages to one peer that wait for its connection
  std::size_t max_frame_bytes = 64 * 1024;
  Duration frame_timeout{1'000'000};  // from the first bytes of a frame to its last
};

// A message whose MAC and frame count were checked.
struct ReceivedMessage {
  PeerIndex from = 0;
  std::uint32_t kind = 0;
  std::string payload;
};

// All connections of one manager to the others. The functions append the actions to take to `actions`.
class Peers {
 public:
  // `first_link`: the number of the first connection that this dials; the next ones follow it.
  Peers(PeerSettings settings, ConnectionId first_link)
      : settings_(std::move(settings)), next_link_(first_link), outgoing_(settings_.managers.size()) {}
  // Queues a message. If the queue is full, its oldest message is dropped with a warning.
  void send(Duration now, PeerIndex to, std::uint32_t kind, std::string payload,
            std::vector<Action>& actions);
  // A manager connected: sends it a challenge.
  void on_accepted(Duration now, ConnectionId link, std::vector<Action>& actions);
  bool owns_link(ConnectionId link) const { return dialed_.contains(link) || incoming_.contains(link); }
  // Bytes from a connection of either direction. A violation of the protocol closes it with a warning.
  std::vector<ReceivedMessage> on_received(ConnectionId link, std::string_view bytes,
                                           std::vector<Action>& actions);
  void on_closed(Duration now, ConnectionId link);
  // Dials the peers that have messages waiting and whose redial delay is over, and closes connections on
  // which a frame was not completed in time. To be called several times in the frame timeout.
  void on_tick(Duration now, std::vector<Action>& actions);

  // The causes of closed connections and dropped messages since the last call.
  std::vector<std::string> take_warnings() { return std::exchange(warnings_, {}); }

 private:
  // The connection that this manager dials to one peer.
  struct Outgoing {
    ConnectionId link = 0;
    bool challenged = false;
    std::string challenge;  // received from the peer
    std::string buffer;
    std::optional<Duration> partial_frame_since;  // the first tick that saw part of the challenge
    std::uint64_t frame_count = 0;
    std::deque<std::pair<std::uint32_t, std::string>> queue;  // kind and payload
    Duration dial_at{0};                                      // not before
    Duration redial_pause{0};                                 // 0 once the connection worked
    bool overflow_reported = false;
  };
  // A connection that another manager dialed.
  struct Incoming {
    std::string challenge;  // sent to the peer
    std::string buffer;
    std::optional<Duration> partial_frame_since;  // the first tick that saw part of the current frame
    std::optional<PeerIndex> from;                // known from the first frame on
    std::uint64_t frame_count = 0;
  };
  std::string mac(std::string_view challenge, std::string_view body) const;
  void flush(PeerIndex to, std::vector<Action>& actions);
  void dial(Duration now, PeerIndex to, std::vector<Action>& actions);
  void close_overdue(Duration now, std::vector<Action>& actions);
  template <typename Link>
  bool is_overdue(Duration now, Link& link) const;
  void reject(ConnectionId link, const std::string& cause, std::vector<Action>& actions);

  PeerSettings settings_;
  ConnectionId next_link_;
  std::vector<Outgoing> outgoing_;
  std::map<ConnectionId, PeerIndex> dialed_;
  std::map<ConnectionId, Incoming> incoming_;
  std::uint64_t challenge_count_ = 0;
  std::vector<std::string> warnings_;
};

}  // namespace violettide::peers
