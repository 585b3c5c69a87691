// Who decides for a session manager: the module in service, a script in tests.
#pragma once

#include <memory>
#include <vector>

#include "brain.h"

namespace violettide {

class Decider {
 public:
  virtual ~Decider() = default;
  virtual std::vector<Order> decide(Span now, const Event& event) = 0;
};
std::unique_ptr<Decider> module_decider(const SiteTerms& terms, std::uint64_t seed);

}  // namespace violettide
