// A deployment as its settings script describes it: the settings of the policy and the session manager, and
// the addresses to listen on.
#pragma once

#include "manager/settings.h"
#include "settings/script.h"

namespace violettide::settings {

// The settings of one session manager and of its fleet of video servers.
struct Deployment {
  manager::ManagerSettings front;
  std::string listen_address = "127.0.0.1";
  std::uint16_t listen_port = 0;
  std::string control_address = "127.0.0.1";  // of the catalogue's HTTP resource
  std::uint16_t control_port = 0;
  bool hls_enabled = false;
  // File with one URL signing secret a line. Empty: the secrets of the script, or a random one.
  std::string hls_secrets_file;
  std::string peers_key_file;   // file with the key that the hall's managers share
  std::string state_directory;  // directory of the state that survives a restart; empty: none is kept
  // Limits that the stand-ins and the audit apply; the policy reads only `front`.
  Duration drain_grace{2'000'000};
  Duration overload_window{3'000'000};  // set-ups in this window are counted to tell a cold server's overload
  double link_kb_per_s = 0;             // a video server's link
  double uplink_kb_per_s = 0;           // a rack's uplink; 0: unlimited
};

// The builtins of a settings script; day files add their own.
std::vector<Builtin> deployment_builtins();
// Builds a deployment from the calls of a script without errors. Contradictions between calls and missing
// calls are in the diagnostics.
std::variant<Deployment, Diagnostics> build_deployment(const std::vector<Call>& calls);
// Reads, evaluates and checks the settings script at `path`.
std::variant<Deployment, Diagnostics> read_deployment(const std::string& path,
                                                      const FileReader& file_reader = read_file);

}  // namespace violettide::settings
