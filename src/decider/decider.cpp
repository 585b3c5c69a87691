// Implements Decider by the decision module.
#include "decider/decider.h"

namespace violettide {

namespace {

class PolicyDecider : public Decider {
 public:
  PolicyDecider(const PolicySettings& settings, std::uint64_t seed) : policy_(settings, seed) {}
  std::vector<Command> decide(Duration now, const Event& event) override {
    return policy_.handle(now, event);
  }

 private:
  Policy policy_;
};

}  // namespace

std::unique_ptr<Decider> make_policy_decider(const PolicySettings& settings, std::uint64_t seed) {
  return std::make_unique<PolicyDecider>(settings, seed);
}

}  // namespace violettide
