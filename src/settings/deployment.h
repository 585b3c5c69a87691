// A deployment out of its settings script: what the module and the manager read, and where to listen.
#pragma once

#include "manager/settings.h"
#include "settings/script.h"

namespace violettide::settings {

struct Deployment {
  manager::ManagerSettings front;
  std::string listen_address = "127.0.0.1";
  std::uint16_t listen_port = 0;
  std::string control_address = "127.0.0.1";  // of the catalogue's resource
  std::uint16_t control_port = 0;
  bool hls = false;              // the second front is wanted
  std::string hls_secrets_from;  // a file, a secret a line; empty: those of the settings, or one of chance
  std::string peers_key_from;    // a file with the hall's key
  std::string keep_in;           // folder of what survives a restart; empty: nowhere
  // Terms that the rules are checked by; the module needs no more of them than it is given in `front`.
  Duration drain_grace{2'000'000};
  Duration fall{3'000'000};
  double link_kb = 0;
  double uplink_kb = 0;
};

// The builtins of a settings script; days add their own.
std::vector<Builtin> deployment_builtins();
// From the calls of a script without mistakes; what the calls contradict each other in is a mistake.
std::variant<Deployment, Mistakes> deployment_of(const std::vector<Call>& calls);
std::variant<Deployment, Mistakes> read_deployment(const std::string& path, const Files& files = file_text);

}  // namespace violettide::settings
