#include "decider/decider.h"

namespace violettide {

namespace {

class PolicyDecider : public Decider {
 public:
  PolicyDecider(const PolicySettings& terms, std::uint64_t seed) : policy_(terms, seed) {}
  std::vector<Command> decide(Duration now, const Event& event) override {
    return policy_.handle(now, event);
  }

 private:
  Policy policy_;
};

}  // namespace

std::unique_ptr<Decider> make_policy_decider(const PolicySettings& terms, std::uint64_t seed) {
  return std::make_unique<PolicyDecider>(terms, seed);
}

}  // namespace violettide
