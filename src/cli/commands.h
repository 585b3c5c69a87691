// Options and entry points of the sub-commands. Each entry point returns the exit code of the process:
// 0 success, 1 a check failed or the input is invalid, 2 the command could not run.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "io/io.h"

namespace violettide::cli {

// Options of `serve`. Those that are set override the settings script.
struct ServeOptions {
  std::string settings_file;
  std::string name;
  std::string hall;
  std::string state_folder;  // data that survives a restart
  std::string log_file;      // empty: standard error
  std::string ports_file;
  std::string hls_secrets_file;
  std::string peers_key_file;
  std::vector<std::string> peers;  // NAME:PORT; replace the peers of the settings
  std::optional<std::uint16_t> keys_port;
  std::optional<std::uint16_t> port;
  std::optional<std::uint16_t> list_port;
  std::optional<std::uint16_t> control_port;
  std::optional<std::uint16_t> feed_port;
  std::optional<int> front_count;
  std::optional<int> front_index;  // from 0
  std::optional<std::uint64_t> seed;
};
// Options of `seats show` and `seats audit`.
struct SeatsOptions {
  std::string folder;
  bool audit = false;
};
// Prints the seats in a seat log and its anomalies, which point to leaked seats. An audit prints only the
// anomalies and returns 1 if there are any.
int run_seats(const SeatsOptions& options);

// Runs a session manager until it is asked to shut down.
int run_serve(const ServeOptions& options);

// Options of `boxes` and `viewers`.
struct StandinOptions {
  std::string day_file;
  std::string folder;  // empty: no trace, log on standard error
  std::string ports_file;
  std::uint64_t day_start_us = 0;     // on the monotonic clock; 0: now
  std::vector<std::string> managers;  // NAME:HALL:PORT
};
// Runs the stand-in boxes, the box list service, the catalogue feed and the token issuer of a day.
int run_boxes(const StandinOptions& options);
// Runs the stand-in viewers of a day.
int run_viewers(const StandinOptions& options);

// Options of `day`.
struct DayOptions {
  std::string day_file;
  std::string folder;  // empty: a new temporary folder
};
// Runs a whole day on loopback in child processes and audits its traces.
int run_day(const DayOptions& options);

// Options of `audit`.
struct AuditOptions {
  std::string day_file;
  std::vector<std::string> traces;
};
// Checks the rules against the traces of an earlier run.
int run_audit(const AuditOptions& options);
// Returns a sink that writes one JSON object a line: time in seconds, who, event, and the typed fields of the
// event. Writes to standard error if `file` is empty.
std::function<void(Duration, const LogLine&)> make_log_sink(const std::string& file, const std::string& who);
// Parses a settings or day script and reports its mistakes.
int run_check(const std::string& file);
// Runs a session manager configured by the environment variables GW_NAME, GW_LISTEN and GW_CONFIG.
int run_platform();

// Options of the `catalogue` sub-commands.
struct CatalogueOptions {
  std::string file;
  std::string other_file;
  std::string title;
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::size_t batch = 1000;  // recordings in a request
  bool confirm = false;
};
// Validates a catalogue file; stops after 100 mistakes.
int run_catalogue_check(const CatalogueOptions& options);
// Validates a whole catalogue file, then sends it to a manager in batches.
int run_catalogue_load(const CatalogueOptions& options);
// Prints the catalogue of a manager, one recording a line.
int run_catalogue_export(const CatalogueOptions& options);
// Prints one recording of a manager, or the totals if no title is given.
int run_catalogue_show(const CatalogueOptions& options);
// Prints the differences between two catalogue files; returns 1 if there are any.
int run_catalogue_diff(const CatalogueOptions& options);

}  // namespace violettide::cli
