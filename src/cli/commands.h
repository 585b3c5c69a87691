// What each sub-command is given, and what it does. Each returns the process's exit code: 0 done, 1 the
// answer is no (a rule broke, a script has mistakes), 2 it could not be run.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "io/io.h"

namespace violettide::cli {

struct ServeWords {
  std::string settings, name, hall, keep_in, log, ports_to, hls_secrets, peers_key;
  std::vector<std::string> peers;  // NAME:PORT, in place of the settings'
  std::optional<std::uint16_t> keys_port;
  std::optional<std::uint16_t> port, list_port, control_port, feed_port;
  std::optional<int> fronts, number;
  std::optional<std::uint64_t> seed;
};
struct SeatsWords {
  std::string folder;
  bool audit = false;
};
int run_seats(const SeatsWords& words);

int run_serve(const ServeWords& words);

struct StandinWords {
  std::string day, folder, ports_to;
  std::uint64_t zero_us = 0;  // 0: now
  std::vector<std::string> managers;
};
int run_boxes(const StandinWords& words);
int run_viewers(const StandinWords& words);

struct DayWords {
  std::string day, folder;
};
int run_day(const DayWords& words);

struct AuditWords {
  std::string day;
  std::vector<std::string> traces;
};
int run_audit(const AuditWords& words);
// One JSON object a line: time, who, event, and the event's typed fields; without a file on standard error.
std::function<void(Duration, const LogLine&)> log_to(const std::string& file, const std::string& who);
int run_check(const std::string& file);
int run_platform();  // told by GW_NAME, GW_LISTEN and GW_CONFIG

struct CatalogueWords {
  std::string file, other, title, address = "127.0.0.1";
  std::uint16_t port = 0;
  std::size_t batch = 1000;
  bool confirm = false;
};
int run_catalogue_check(const CatalogueWords& words);
int run_catalogue_load(const CatalogueWords& words);
int run_catalogue_export(const CatalogueWords& words);
int run_catalogue_show(const CatalogueWords& words);
int run_catalogue_diff(const CatalogueWords& words);

}  // namespace violettide::cli
