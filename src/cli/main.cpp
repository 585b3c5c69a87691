// Parses the command line and dispatches to the sub-command.
#include <CLI/CLI.hpp>

#include "cli/commands.h"

// Returns the exit code of the sub-command, or that of CLI11 for a malformed command line.
int main(int argc, char** argv) {
  using namespace violettide::cli;
  CLI::App app{"violettide: places video sessions on streaming servers and shapes their quality"};
  app.require_subcommand(1);
  int result = 0;

  ServeOptions serve;
  auto* serve_command = app.add_subcommand("serve", "run a session manager");
  serve_command->add_option("--settings", serve.settings_file, "the settings script")->required();
  serve_command->add_option("--name", serve.name, "name of this manager; overrides the settings");
  serve_command->add_option("--hall", serve.hall, "hall of this manager; overrides the settings");
  serve_command->add_option("--port", serve.port, "port to listen on; overrides the settings");
  serve_command->add_option("--list-port", serve.list_port,
                            "port of the box list service; overrides the settings");
  serve_command->add_option("--control-port", serve.control_port,
                            "port of the catalogue resource; overrides the settings");
  serve_command->add_option("--feed-port", serve.feed_port,
                            "port of the catalogue feed to follow; overrides the settings");
  serve_command->add_option("--fronts", serve.front_count,
                            "number of managers that share the boxes; overrides the settings");
  serve_command->add_option(
      "--number", serve.front_index,
      "index of this manager, from 0; by default its index among the peers, else random");
  serve_command->add_option("--keep-in", serve.state_folder,
                            "folder for data that survives a restart; overrides the settings");
  serve_command->add_option("--log", serve.log_file, "log file; standard error by default");
  serve_command->add_option("--ports-to", serve.ports_file,
                            "write the bound ports to this file once the manager listens");
  serve_command->add_option("--hls-secrets", serve.hls_secrets_file,
                            "file with the secrets that sign HLS URLs, one a line");
  serve_command->add_option("--peer", serve.peers,
                            "NAME:PORT of each manager of the hall, including this one; may be repeated");
  serve_command->add_option("--peers-key", serve.peers_key_file,
                            "file with the key that signs messages between managers");
  serve_command->add_option("--keys-port", serve.keys_port,
                            "port of the token issuer; overrides the settings");
  serve_command->add_option("--seed", serve.seed, "seed of the random generator; random by default");
  serve_command->callback([&] { result = run_serve(serve); });

  auto* platform_command = app.add_subcommand(
      "platform",
      "run a session manager on the operators' platform, configured by GW_CONFIG, GW_NAME and GW_LISTEN");
  platform_command->callback([&] { result = run_platform(); });

  StandinOptions boxes;
  auto* boxes_command = app.add_subcommand("boxes", "run a day's stand-in boxes and their list service");
  boxes_command->add_option("day", boxes.day_file, "day script")->required();
  boxes_command->add_option("--folder", boxes.folder, "folder for the trace and the log");
  boxes_command->add_option("--zero-us", boxes.day_start_us,
                            "start of the day on the monotonic clock, in microseconds; 0: now");
  boxes_command->add_option("--ports-to", boxes.ports_file, "write the bound ports to this file");
  boxes_command->callback([&] { result = run_boxes(boxes); });

  StandinOptions viewers;
  auto* viewers_command = app.add_subcommand("viewers", "run a day's stand-in viewers");
  viewers_command->add_option("day", viewers.day_file, "day script")->required();
  viewers_command->add_option("--folder", viewers.folder, "folder for the trace and the log");
  viewers_command->add_option("--zero-us", viewers.day_start_us,
                              "start of the day on the monotonic clock, in microseconds; 0: now");
  viewers_command->add_option("--manager", viewers.managers, "NAME:HALL:PORT of a manager; may be repeated")
      ->required();
  viewers_command->callback([&] { result = run_viewers(viewers); });

  DayOptions day;
  auto* day_command = app.add_subcommand("day", "run a whole day on loopback and check the rules");
  day_command->add_option("day", day.day_file, "day script")->required();
  day_command->add_option("--folder", day.folder,
                          "folder for traces and logs; a new temporary folder by default");
  day_command->callback([&] { result = run_day(day); });

  AuditOptions audit;
  auto* audit_command =
      app.add_subcommand("audit", "check the rules against the traces of an earlier day run");
  audit_command->add_option("day", audit.day_file, "day script")->required();
  audit_command->add_option("traces", audit.traces, "trace files")->required();
  audit_command->callback([&] { result = run_audit(audit); });

  std::string checked_file;
  auto* check_command = app.add_subcommand("check", "parse a settings or day script and report its mistakes");
  check_command->add_option("file", checked_file, "settings or day script")->required();
  check_command->callback([&] { result = run_check(checked_file); });

  CatalogueOptions catalogue;
  auto* catalogue_command = app.add_subcommand("catalogue", "recordings, renditions and locations");
  catalogue_command->require_subcommand(1);
  const auto add_manager_options = [&](CLI::App* command) {
    command->add_option("--port", catalogue.port, "control port of the manager")->required();
    command->add_option("--address", catalogue.address, "address of the manager");
  };
  auto* catalogue_check = catalogue_command->add_subcommand(
      "check", "validate a file of one recording a line, plain or zstd, and report its mistakes");
  catalogue_check->add_option("file", catalogue.file)->required();
  catalogue_check->callback([&] { result = run_catalogue_check(catalogue); });
  auto* catalogue_load =
      catalogue_command->add_subcommand("load", "load the recordings of a file in batches");
  catalogue_load->add_option("file", catalogue.file)->required();
  catalogue_load->add_option("--batch", catalogue.batch, "recordings in a request")
      ->check(CLI::Range(1, 100000));
  add_manager_options(catalogue_load);
  catalogue_load->callback([&] { result = run_catalogue_load(catalogue); });
  auto* catalogue_export =
      catalogue_command->add_subcommand("export", "print the catalogue of a manager, one recording a line");
  add_manager_options(catalogue_export);
  catalogue_export->callback([&] { result = run_catalogue_export(catalogue); });
  auto* catalogue_show = catalogue_command->add_subcommand("show", "print one recording, or the totals");
  catalogue_show->add_option("title", catalogue.title);
  add_manager_options(catalogue_show);
  catalogue_show->callback([&] { result = run_catalogue_show(catalogue); });
  auto* catalogue_diff = catalogue_command->add_subcommand("diff", "print the differences between two files");
  catalogue_diff->add_option("file", catalogue.file)->required();
  catalogue_diff->add_option("other", catalogue.other_file)->required();
  catalogue_diff->callback([&] { result = run_catalogue_diff(catalogue); });

  SeatsOptions seats;
  auto* seats_command = app.add_subcommand("seats", "inspect the seat log of a manager");
  seats_command->require_subcommand(1);
  const auto add_seats_command = [&](CLI::App* command, bool audit) {
    command->add_option("folder", seats.folder, "folder with the manager's data that survives a restart")
        ->required();
    command->callback([&, audit] {
      seats.audit = audit;
      result = run_seats(seats);
    });
  };
  add_seats_command(seats_command->add_subcommand("show", "print every seat with its holder and expiry"),
                    false);
  add_seats_command(
      seats_command->add_subcommand("audit", "print only anomalies; exit with 1 if there are any"), true);

  CLI11_PARSE(app, argc, argv);
  return result;
}
