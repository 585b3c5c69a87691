// This manager's view of the list of video servers: parses the replies of the list service (JSON), assigns
// each box a small index, and decides what a late, repeated or implausible list changes. Free of I/O and
// clock.
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
  std::int64_t incarnation = 0;  // start time of its process on the list's clock, ms; 0: never stated
  int cell = 0;
};

struct ListError {
  std::string place;  // `boxes[3].port`, or `byte 17`
  std::string cause;
};

// The effect of one list.
struct ListUpdate {
  std::optional<ServerList> list;  // for the decision module; absent: nothing changes
  std::vector<ServerId> replaced;  // process or address differs from before: open connections are useless
  std::optional<ListError> error;  // the list was malformed
  std::string not_applied_cause;   // why all or a part of a valid list was ignored; empty: it was applied
};

class BoxList {
 public:
  // `halls`: the names of the halls; their order gives their numbers.
  explicit BoxList(std::vector<std::string> halls);

  // Applies a list from the service. A malformed list changes nothing. Of a list older than the last one only
  // drains are applied, until such lists have come for 30 s: then the service has restarted with a lower
  // revision, and they are applied completely. A list that drops over half of the ready boxes at once is
  // applied only if the next one drops as many; the boxes it names are updated at once.
  ListUpdate apply(Duration now, std::string_view json);
  // Applies the list stored before a restart. Start times are left out: how long ago they were is unknown.
  ListUpdate apply_cached(Duration now, std::string_view json);

  const Box& box(ServerId server) const { return boxes_.at(server); }
  std::size_t size() const { return boxes_.size(); }
  std::optional<ServerId> find(std::string_view name) const;
  // The index of a box, which is assigned if the name is new. A box counts as gone until a list names it.
  ServerId index(std::string_view name);
  std::int64_t revision() const { return revision_; }
  // When the last valid list came from the service; absent: none has come.
  std::optional<Duration> received_at() const { return received_at_; }

 private:
  struct Entry;
  std::variant<std::vector<Entry>, ListError> parse(std::string_view json, std::int64_t& revision,
                                                    std::int64_t& clock_ms) const;
  void apply_drains(Duration now, const std::vector<Entry>& entries, std::int64_t clock_ms,
                    ListUpdate& update);
  void put(Duration now, const Entry& entry, std::int64_t clock_ms, bool cached, ListUpdate& update);

  std::vector<std::string> halls_;
  std::vector<Box> boxes_;  // by index; never erased, so that an index always means the same box
  std::vector<std::optional<Duration>> started_;
  std::map<std::string, ServerId, std::less<>> by_name_;
  std::int64_t revision_ = -1;
  std::optional<Duration> received_at_;
  bool shrink_pending_ = false;                // the last list dropped too many boxes
  std::optional<Duration> older_lists_since_;  // since when lists have been older than revision_
};

}  // namespace violettide::boxlist
