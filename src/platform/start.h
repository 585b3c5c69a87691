// What the platform's configuration tells a session manager, read and checked as a whole.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "platform/channel/channel.h"
#include "policy/policy.h"

namespace violettide::platform {

struct StartTerms {
  std::string name;
  Endpoint listen;
  std::uint64_t seed = 0;
  std::size_t sockets = 1024;
  std::optional<Endpoint> channel;
  std::string known;  // events of the command channel up to now, JSON
  PolicySettings site;
  std::vector<std::string> plans;  // names, in the order of site.plans
  std::vector<Duration> abandon;   // a plan's viewers wait so long at most
  std::vector<std::string> halls, kinds;
  Duration dial_limit{250'000};
  Duration idle_limit{0};  // servers close connections unused for so long; 0: never
  std::size_t tries_per_link = 1'000'000;
  Duration wall_at_zero{0};  // the machine's clock at the core's time 0
};
struct StartFault {
  std::string cause;  // with its place
};
std::variant<StartTerms, StartFault> read_start(std::string_view json);

}  // namespace violettide::platform
