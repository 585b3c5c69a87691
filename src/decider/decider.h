// The interface through which a session manager asks for decisions, so that tests can replace the decision
// module by a script.
#pragma once

#include <memory>
#include <vector>

#include "policy/policy.h"

namespace violettide {

// Returns the commands for an event, as Policy::handle does.
class Decider {
 public:
  virtual ~Decider() = default;
  virtual std::vector<Command> decide(Duration now, const Event& event) = 0;
};

// A decider that is backed by a Policy of its own.
std::unique_ptr<Decider> make_policy_decider(const PolicySettings& settings, std::uint64_t seed);

}  // namespace violettide
