// The command channel: numbered events on the list of video servers, followed over breaks, repeats,
// silence and a change of address. Says what its connection is to do; free of I/O and clock.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "policy/policy.h"

namespace violettide::platform {

struct Place {
  std::string address;
  std::uint16_t port = 0;
  bool operator==(const Place&) const = default;
};
std::optional<Place> read_place(std::string_view text);  // address:port

struct ListedServer {
  std::string name;
  Place place;
  std::string hall, kind;
  int cell = 0;
  ServerState state = ServerState::ready;
  double weight = 1;
  std::int64_t started_ms = 0;  // Unix; 0: long ago
};
struct ListNews {
  bool whole = false;
  std::vector<ListedServer> servers;
};

class Channel {
 public:
  explicit Channel(std::uint64_t seed);
  // Events handed over with a configuration: those that are new, in order.
  std::vector<ListNews> take_known(std::string_view json);
  void connect_to(std::optional<Place> place);  // another place: what is connected is of no more use

  // What its one connection is to do now.
  enum class Wish { none, dial, hang };
  Wish wish(Duration now);
  Duration look_at() const { return look_at_; }  // ask again by then
  const std::optional<Place>& place() const { return place_; }

  void dialled(Duration now);
  std::string connected(Duration now);  // to be sent
  std::vector<ListNews> received(Duration now, std::string_view bytes);
  void ended(Duration now);  // by either side

  std::int64_t last() const { return last_; }
  const std::string& remark() const { return remark_; }  // why the connection is given up

 private:
  void take_line(Duration now, std::string_view line, std::vector<ListNews>& news);
  void give_up(std::string why);
  Duration backoff();

  std::optional<Place> place_;
  std::int64_t last_ = 0;
  enum class State { away, dialling, following } state_ = State::away;
  bool useless_ = false;
  std::string held_;
  std::string remark_;
  Duration heard_at_{0};
  Duration look_at_{0};
  std::minstd_rand chance_;
  int in_vain_ = 0;  // dials since anything was heard
};

}  // namespace violettide::platform
