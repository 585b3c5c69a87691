// The `platform` sub-command: runs a session manager on the operators' platform, configured by environment
// variables.
#include "platform/platform.h"

#include <chrono>
#include <cstdlib>
#include <iostream>

#include "cli/commands.h"
#include "runtime/runtime.h"
#include "settings/script.h"

namespace violettide::cli {

namespace {

// Returns an empty string if the variable is not set.
std::string environment_variable(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

// Reports an error and returns the exit code 2.
int fail(const std::string& message) {
  std::cerr << "violettide: " << message << '\n';
  return 2;
}

}  // namespace

int run_platform() {
  const auto path = environment_variable("GW_CONFIG");
  if (path.empty())
    return fail("GW_CONFIG: expected the path of the configuration file");
  const auto text = settings::read_file(path);
  if (!text)
    return fail(path + ": cannot read the file");
  auto parsed = platform::parse_platform_config(*text);
  if (const auto* error = std::get_if<platform::ConfigError>(&parsed))
    return fail(path + ": " + error->message);
  auto config = std::get<platform::PlatformConfig>(std::move(parsed));
  if (const auto name = environment_variable("GW_NAME"); !name.empty())
    config.name = name;
  if (const auto listen = environment_variable("GW_LISTEN"); !listen.empty()) {
    const auto endpoint = platform::parse_endpoint(listen);
    if (!endpoint)
      return fail("GW_LISTEN: expected address:port");
    config.listen = *endpoint;
  }
  config.wall_clock_offset =
      std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
  try {
    const auto endpoint = config.listen;
    const auto name = config.name;
    platform::Platform platform_core(std::move(config), nullptr);
    runtime::Loop loop(platform_core, {{endpoint.address, endpoint.port}}, make_log_sink("", name), "");
    loop.reload_on_sighup(path);
    loop.run();
  } catch (const runtime::LoopError& error) {
    return fail(error.what);
  }
  return 0;
}

}  // namespace violettide::cli
