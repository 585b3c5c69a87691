// Who decides for a session manager: the module in service, a script in tests.
#pragma once

#include <memory>
#include <vector>

#include "policy/policy.h"

namespace violettide {

class Decider {
 public:
  virtual ~Decider() = default;
  virtual std::vector<Command> decide(Duration now, const Event& event) = 0;
};
std::unique_ptr<Decider> make_policy_decider(const PolicySettings& terms, std::uint64_t seed);

}  // namespace violettide
