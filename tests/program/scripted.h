// A decider whose commands a test supplies and which records its events, and the box list that tests of the
// manager use on the in-memory network.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "manager/manager.h"

namespace violettide::testing {

// Appends each event to a vector and returns the commands that a function of the test gives for it.
class ScriptedDecider : public Decider {
 public:
  using Decide = std::function<std::vector<Command>(Duration, const Event&)>;
  ScriptedDecider(std::vector<Event>* events, Decide decide_event)
      : events_(events), decide_(std::move(decide_event)) {}
  std::vector<Command> decide(Duration now, const Event& event) override {
    events_->push_back(event);
    return decide_(now, event);
  }

 private:
  std::vector<Event>* events_;
  Decide decide_;
};

// The events of one type, in order.
template <typename Type>
std::vector<Type> events_of_type(const std::vector<Event>& events) {
  std::vector<Type> all;
  for (const auto& event : events) {
    if (const auto* typed_event = std::get_if<Type>(&event))
      all.push_back(*typed_event);
  }
  return all;
}

// A box list with boxes b0 and b1 at the first listeners of hosts 1 and 2.
inline const std::string two_boxes_json =
    R"({"revision":1,"clock_ms":100000,"boxes":[)"
    R"({"name":"b0","address":"127.0.0.1","port":1001,"state":"ready","kind":0,"cell":0,"hall":"h","weight":1},)"
    R"({"name":"b1","address":"127.0.0.1","port":2001,"state":"ready","kind":0,"cell":1,"hall":"h","weight":1}]})";

}  // namespace violettide::testing
