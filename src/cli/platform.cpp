// The session manager on the operators' platform: told by the environment, driven by the runtime.
#include "platform/platform.h"

#include <chrono>
#include <cstdlib>
#include <iostream>

#include "cli/commands.h"
#include "runtime/runtime.h"
#include "settings/script.h"

namespace violettide::cli {

namespace {

std::string told(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

int wrong(const std::string& what) {
  std::cerr << "violettide: " << what << '\n';
  return 2;
}

}  // namespace

int run_platform() {
  const auto path = told("GW_CONFIG");
  if (path.empty())
    return wrong("GW_CONFIG: expected the configuration file's path");
  const auto text = settings::read_file(path);
  if (!text)
    return wrong(path + ": can't be read");
  auto read = platform::parse_platform_config(*text);
  if (const auto* fault = std::get_if<platform::ConfigError>(&read))
    return wrong(path + ": " + fault->message);
  auto terms = std::get<platform::PlatformConfig>(std::move(read));
  if (const auto name = told("GW_NAME"); !name.empty())
    terms.name = name;
  if (const auto listen = told("GW_LISTEN"); !listen.empty()) {
    const auto place = platform::parse_endpoint(listen);
    if (!place)
      return wrong("GW_LISTEN: expected address:port");
    terms.listen = *place;
  }
  terms.wall_clock_offset =
      std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
  try {
    const auto place = terms.listen;
    const auto name = terms.name;
    platform::Platform core(std::move(terms), nullptr);
    runtime::Loop loop(core, {{place.address, place.port}}, log_to("", name), "");
    loop.reload_on_sighup(path);
    loop.run();
  } catch (const runtime::LoopError& failed) {
    return wrong(failed.what);
  }
  return 0;
}

}  // namespace violettide::cli
