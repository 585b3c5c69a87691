// A module that does what a test says and keeps what it was told, and the boxes that tests of the manager
// have on the network in memory.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "manager/manager.h"

namespace violettide::testing {

class Script : public Decider {
 public:
  using Says = std::function<std::vector<Command>(Duration, const Event&)>;
  Script(std::vector<Event>* told, Says says) : told_(told), says_(std::move(says)) {}
  std::vector<Command> decide(Duration now, const Event& event) override {
    told_->push_back(event);
    return says_(now, event);
  }

 private:
  std::vector<Event>* told_;
  Says says_;
};

template <typename Kind>
std::vector<Kind> of_kind(const std::vector<Event>& told) {
  std::vector<Kind> all;
  for (const auto& event : told) {
    if (const auto* kind = std::get_if<Kind>(&event))
      all.push_back(*kind);
  }
  return all;
}

// Boxes b0 and b1 at the first doors of hosts 1 and 2, as a list service tells them.
inline const std::string two_boxes =
    R"({"revision":1,"clock_ms":100000,"boxes":[)"
    R"({"name":"b0","address":"127.0.0.1","port":1001,"state":"ready","kind":0,"cell":0,"hall":"h","weight":1},)"
    R"({"name":"b1","address":"127.0.0.1","port":2001,"state":"ready","kind":0,"cell":1,"hall":"h","weight":1}]})";

}  // namespace violettide::testing
