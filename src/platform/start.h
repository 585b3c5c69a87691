// The configuration that the operators' platform gives a session manager, at the start and at a reload. It is
// parsed and checked as a whole: a configuration with an error changes nothing.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "platform/channel/channel.h"
#include "policy/policy.h"

namespace violettide::platform {

// A valid configuration: at least one plan and a bitrate ladder.
struct PlatformConfig {
  std::string name;                 // of the manager, for logs
  Endpoint listen;                  // for viewers
  std::uint64_t seed = 0;           // of the random choices of the policy and of redials
  std::size_t max_sockets = 1024;   // the limit on file descriptors; 64 at least
  std::optional<Endpoint> channel;  // the command channel
  std::string known_events;         // JSON: the events of the command channel so far
  PolicySettings policy;
  std::vector<std::string> plans;         // names, in the order of policy.plans
  std::vector<Duration> abandon_times;    // after which a plan's viewers give up; in the same order
  std::vector<std::string> halls, kinds;  // names; the policy uses their indices
  Duration dial_timeout{250'000};
  Duration idle_timeout{0};  // after which servers close unused connections; 0: never
  std::size_t max_tries_per_connection = 1'000'000;
  Duration wall_clock_offset{0};  // the Unix time at the core's time 0
};
// Why a configuration is invalid.
struct ConfigError {
  std::string message;  // includes the path of the invalid member
};
// Parses a configuration. Members that have a default may be missing.
std::variant<PlatformConfig, ConfigError> parse_platform_config(std::string_view json);

}  // namespace violettide::platform
