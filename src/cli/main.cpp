// The command line: one binary, a sub-command for each job.
#include <CLI/CLI.hpp>

#include "cli/commands.h"

int main(int count, char** words) {
  using namespace violettide::cli;
  CLI::App app{"violettide: places video sessions on streaming servers and shapes them"};
  app.require_subcommand(1);
  int result = 0;

  ServeWords serve;
  auto* serving = app.add_subcommand("serve", "run a session manager");
  serving->add_option("--settings", serve.settings, "the settings script")->required();
  serving->add_option("--name", serve.name, "this manager's name, in place of the settings'");
  serving->add_option("--hall", serve.hall, "its hall, in place of the settings'");
  serving->add_option("--port", serve.port, "listen here, in place of the settings'");
  serving->add_option("--list-port", serve.list_port, "the box list's port, in place of the settings'");
  serving->add_option("--control-port", serve.control_port,
                      "the catalogue's resource, in place of the settings'");
  serving->add_option("--feed-port", serve.feed_port,
                      "the catalogue feed to follow, in place of the settings'");
  serving->add_option("--fronts", serve.fronts,
                      "how many managers share the boxes, in place of the settings'");
  serving->add_option("--number", serve.number,
                      "which of them this one is, from 0; its place among the peers, or drawn, if not told");
  serving->add_option("--keep-in", serve.keep_in, "folder of what survives a restart");
  serving->add_option("--log", serve.log, "log file; standard error if none");
  serving->add_option("--ports-to", serve.ports_to, "write the bound port here once it listens");
  serving->add_option("--hls-secrets", serve.hls_secrets, "file of the second front's secrets, one a line");
  serving->add_option("--peer", serve.peers, "NAME:PORT of each manager of the hall, this one too");
  serving->add_option("--peers-key", serve.peers_key, "file of the key that managers sign with");
  serving->add_option("--keys-port", serve.keys_port, "the issuer's port, in place of the settings'");
  serving->add_option("--seed", serve.seed, "of this manager's chances; drawn if not told");
  serving->callback([&] { result = run_serve(serve); });

  auto* on_platform = app.add_subcommand(
      "platform", "run a session manager on the operators' platform, as GW_CONFIG and its like tell");
  on_platform->callback([&] { result = run_platform(); });

  StandinWords boxes;
  auto* boxing = app.add_subcommand("boxes", "run a day's stand-in boxes and their list service");
  boxing->add_option("day", boxes.day, "the day's script")->required();
  boxing->add_option("--folder", boxes.folder, "where the trace goes");
  boxing->add_option("--zero-us", boxes.zero_us, "the day's beginning on the machine's monotonic clock");
  boxing->add_option("--ports-to", boxes.ports_to, "write the bound ports here");
  boxing->callback([&] { result = run_boxes(boxes); });

  StandinWords viewers;
  auto* viewing = app.add_subcommand("viewers", "run a day's stand-in viewers");
  viewing->add_option("day", viewers.day, "the day's script")->required();
  viewing->add_option("--folder", viewers.folder, "where the trace goes");
  viewing->add_option("--zero-us", viewers.zero_us, "the day's beginning on the machine's monotonic clock");
  viewing->add_option("--manager", viewers.managers, "NAME:HALL:PORT of a manager; may be repeated")
      ->required();
  viewing->callback([&] { result = run_viewers(viewers); });

  DayWords day;
  auto* daily = app.add_subcommand("day", "play a whole day on loopback and check the rules");
  daily->add_option("day", day.day, "the day's script")->required();
  daily->add_option("--folder", day.folder,
                    "for traces and logs; a new one under the system's temporary folder if none");
  daily->callback([&] { result = run_day(day); });

  AuditWords audit;
  auto* auditing = app.add_subcommand("audit", "check the rules from a played day's traces");
  auditing->add_option("day", audit.day, "the day's script")->required();
  auditing->add_option("traces", audit.traces, "trace files")->required();
  auditing->callback([&] { result = run_audit(audit); });

  std::string checked;
  auto* checking = app.add_subcommand("check", "read a settings or day script and tell its mistakes");
  checking->add_option("file", checked, "the script")->required();
  checking->callback([&] { result = run_check(checked); });

  CatalogueWords catalogue;
  auto* cataloguing = app.add_subcommand("catalogue", "recordings, renditions and locations");
  cataloguing->require_subcommand(1);
  const auto of_manager = [&](CLI::App* command) {
    command->add_option("--port", catalogue.port, "a manager's control port")->required();
    command->add_option("--address", catalogue.address, "its address");
  };
  auto* cat_check = cataloguing->add_subcommand(
      "check", "read a file, a recording a line, plain or zstd, and tell its mistakes");
  cat_check->add_option("file", catalogue.file)->required();
  cat_check->callback([&] { result = run_catalogue_check(catalogue); });
  auto* cat_load = cataloguing->add_subcommand("load", "put a file's recordings, batch by batch");
  cat_load->add_option("file", catalogue.file)->required();
  cat_load->add_option("--batch", catalogue.batch, "recordings in a batch")->check(CLI::Range(1, 100000));
  of_manager(cat_load);
  cat_load->callback([&] { result = run_catalogue_load(catalogue); });
  auto* cat_export = cataloguing->add_subcommand("export", "write a manager's catalogue, a recording a line");
  of_manager(cat_export);
  cat_export->callback([&] { result = run_catalogue_export(catalogue); });
  auto* cat_show = cataloguing->add_subcommand("show", "one recording, or the sums");
  cat_show->add_option("title", catalogue.title);
  of_manager(cat_show);
  cat_show->callback([&] { result = run_catalogue_show(catalogue); });
  auto* cat_diff = cataloguing->add_subcommand("diff", "what a second file says otherwise than a first");
  cat_diff->add_option("file", catalogue.file)->required();
  cat_diff->add_option("other", catalogue.other)->required();
  cat_diff->callback([&] { result = run_catalogue_diff(catalogue); });

  SeatsWords seats;
  auto* seating = app.add_subcommand("seats", "what a manager's seat log holds");
  seating->require_subcommand(1);
  const auto of_folder = [&](CLI::App* command, bool audit) {
    command->add_option("folder", seats.folder, "where the manager keeps what survives a restart")
        ->required();
    command->callback([&, audit] {
      seats.audit = audit;
      result = run_seats(seats);
    });
  };
  of_folder(seating->add_subcommand("show", "every seat, with its holder and time"), false);
  of_folder(seating->add_subcommand("audit", "only what is odd; exit 1 if anything is"), true);

  CLI11_PARSE(app, count, words);
  return result;
}
