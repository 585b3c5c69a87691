// What this manager holds of the list of video servers: reads the list service's answers (JSON), gives
// every box its small index, and decides what of a late, repeated or strange list is news to the module.
// Free of I/O and clock.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "policy/policy.h"

namespace violettide::boxlist {

struct Box {
  std::string name;
  std::string address;
  std::uint16_t port = 0;
  ServerState state = ServerState::gone;
  std::int64_t incarnation = 0;  // the list's own start time of its process, ms; 0: never told
  int cell = 0;
};

struct Fault {
  std::string place;  // `boxes[3].port`, or `byte 17`
  std::string cause;
};

// What one list brought. `moved` are boxes whose process or address is another than before: connections
// to the old one are worth nothing now.
struct News {
  std::optional<ServerList> list;
  std::vector<ServerId> moved;
  std::optional<Fault> fault;
  std::string remark;  // why a list was passed over, or held back
};

class BoxList {
 public:
  // `halls`: the halls' names, in the order that gives their numbers.
  explicit BoxList(std::vector<std::string> halls);

  // A list as it came. A faulty one changes nothing. One older than the last is passed over but for its
  // drains, unless they have been older for half a minute: then the service began again. One that at a
  // stroke drops over half of the boxes is held until the next says the same; what it says of drains counts.
  News take(Duration now, std::string_view json);
  // The list kept from before a restart: names and places only, as nothing tells how old its starts are.
  News take_cached(Duration now, std::string_view json);

  const Box& box(ServerId server) const { return boxes_.at(server); }
  std::size_t size() const { return boxes_.size(); }
  std::optional<ServerId> find(std::string_view name) const;
  // The index of a box, known to the list or not: one that the list has not named is gone to it.
  ServerId index(std::string_view name);
  std::int64_t revision() const { return revision_; }
  std::optional<Duration> heard_at() const { return heard_at_; }

 private:
  struct Entry;
  std::variant<std::vector<Entry>, Fault> read(std::string_view json, std::int64_t& revision,
                                               std::int64_t& clock) const;
  void take_drains(Duration now, const std::vector<Entry>& entries, std::int64_t clock, News& news);
  void put(Duration now, const Entry& entry, std::int64_t clock, bool cached, News& news);

  std::vector<std::string> halls_;
  std::vector<Box> boxes_;  // by index; never erased, so that an index means one box for good
  std::vector<std::optional<Duration>> started_;
  std::map<std::string, ServerId, std::less<>> by_name_;
  std::int64_t revision_ = -1;
  std::optional<Duration> heard_at_;
  bool shrink_held_ = false;
  std::optional<Duration> older_since_;  // lists have been older than the one held
};

}  // namespace violettide::boxlist
