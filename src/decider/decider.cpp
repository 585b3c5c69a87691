#include "decider/decider.h"

namespace violettide {

namespace {

class ModuleDecider : public Decider {
 public:
  ModuleDecider(const SiteTerms& terms, std::uint64_t seed) : brain_(terms, seed) {}
  std::vector<Order> decide(Span now, const Event& event) override { return brain_.handle(now, event); }

 private:
  Brain brain_;
};

}  // namespace

std::unique_ptr<Decider> module_decider(const SiteTerms& terms, std::uint64_t seed) {
  return std::make_unique<ModuleDecider>(terms, seed);
}

}  // namespace violettide
