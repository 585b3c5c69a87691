// The session manager on the operators' platform: told by the environment, driven by the runtime.
#include "platform/platform.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "cli/commands.h"
#include "runtime/runtime.h"

namespace violettide::cli {

namespace {

std::string told(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

// One JSON object a line on standard error, at once, so that a killed process leaves it all.
void log_line(Span now, const Say& said) {
  nlohmann::ordered_json line{{"t", static_cast<double>(now.count()) / 1e6}, {"event", said.event}};
  for (const auto& [name, value] : said.fields)
    std::visit([&](const auto& held) { line[name] = held; }, value);
  const auto text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  std::fwrite(text.data(), 1, text.size(), stderr);
}

int wrong(const std::string& what) {
  std::cerr << "violettide: " << what << '\n';
  return 2;
}

}  // namespace

int run_platform() {
  const auto path = told("GW_CONFIG");
  if (path.empty()) return wrong("GW_CONFIG: expected the configuration file's path");
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) return wrong(path + ": can't be read");
  auto read = platform::read_start(text.str());
  if (const auto* fault = std::get_if<platform::StartFault>(&read)) return wrong(path + ": " + fault->cause);
  auto terms = std::get<platform::StartTerms>(std::move(read));
  if (const auto name = told("GW_NAME"); !name.empty()) terms.name = name;
  if (const auto listen = told("GW_LISTEN"); !listen.empty()) {
    const auto place = platform::read_place(listen);
    if (!place) return wrong("GW_LISTEN: expected address:port");
    terms.listen = *place;
  }
  terms.wall_at_zero = std::chrono::duration_cast<Span>(std::chrono::system_clock::now().time_since_epoch());
  try {
    const auto place = terms.listen;
    platform::Platform core(std::move(terms), nullptr);
    runtime::Loop loop(core, {{place.address, place.port}}, log_line, "");
    loop.reread(path);
    loop.run();
  } catch (const runtime::Failed& failed) {
    return wrong(failed.what);
  }
  return 0;
}

}  // namespace violettide::cli
