// The sub-commands `serve`, `boxes` and `viewers`, which each run one core in an event loop, and `check` and
// `seats`.
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

#include "cataloguestore/store.h"
#include "cli/commands.h"
#include "entitlement/seatlog/seatlog.h"
#include "manager/manager.h"
#include "runtime/runtime.h"
#include "standins/fleet.h"
#include "standins/viewers.h"

namespace violettide::cli {

namespace {

// Prints the mistakes of a script; returns the exit code 1.
int report_mistakes(const settings::Diagnostics& mistakes) {
  for (const auto& mistake : mistakes)
    std::cerr << mistake.to_string() << '\n';
  std::cerr << mistakes.size() << (mistakes.size() == 1 ? " mistake\n" : " mistakes\n");
  return 1;
}

}  // namespace

std::function<void(Duration, const LogLine&)> make_log_sink(const std::string& file, const std::string& who) {
  auto logger =
      file.empty()
          ? std::make_shared<spdlog::logger>(who, std::make_shared<spdlog::sinks::stderr_sink_mt>())
          : std::make_shared<spdlog::logger>(who, std::make_shared<spdlog::sinks::basic_file_sink_mt>(file));
  logger->set_pattern("%v");
  logger->flush_on(spdlog::level::warn);
  return [logger, who](Duration now, const LogLine& entry) {
    nlohmann::ordered_json line{
        {"t", static_cast<double>(now.count()) / 1e6}, {"who", who}, {"event", entry.event}};
    for (const auto& [name, value] : entry.fields)
      std::visit([&](const auto& field_value) { line[name] = field_value; }, value);
    logger->info(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  };
}

namespace {

// Renames the file into place, so that a reader never sees it half written.
void write_ports(const std::string& path, const std::vector<std::uint16_t>& ports) {
  if (path.empty())
    return;
  {
    std::ofstream file(path + ".new");
    for (const auto port : ports)
      file << port << '\n';
  }
  std::rename((path + ".new").c_str(), path.c_str());
}

// Time in the day at which the loop's clock started; 0 if no day start is given.
Duration time_since_day_start(std::uint64_t origin_us, std::uint64_t day_start_us) {
  if (day_start_us == 0)
    return Duration(0);
  return Duration(static_cast<std::int64_t>(origin_us) - static_cast<std::int64_t>(day_start_us));
}

// Writes a trace and flushes it every 512 records, so that a reader finds it nearly complete at any time.
// Writes nothing without a folder.
class TraceFile {
 public:
  explicit TraceFile(const std::string& folder, const std::string& name) {
    if (!folder.empty())
      writer_ = std::make_unique<trace::Writer>(folder + "/" + name);
  }
  void put(const trace::Passed& record) {
    if (!writer_)
      return;
    writer_->append(record);
    if (++count_ % 512 == 0)
      writer_->flush();
  }

 private:
  std::unique_ptr<trace::Writer> writer_;
  std::size_t count_ = 0;
};

// Forwards events to a core that is created after the loop, as it needs the ports that the loop bound.
class DeferredCore : public Core {
 public:
  void handle(Duration now, const IoEvent& event, std::vector<Action>& actions) override {
    if (core)
      core->handle(now, event, actions);
  }
  std::unique_ptr<Core> core;
};

// Runs a command and reports a failure as exit code 2.
template <typename Command>
int run_reporting_errors(Command command) {
  try {
    return command();
  } catch (const runtime::LoopError& error) {
    std::cerr << "violettide: " << error.what << '\n';
  } catch (const trace::TraceError& error) {
    std::cerr << "violettide: " << error.message << '\n';
  } catch (const entitlement::SeatLog::Error& error) {
    std::cerr << "violettide: " << error.what << '\n';
  } catch (const cataloguestore::StoreError& error) {
    std::cerr << "violettide: " << error.what << '\n';
  } catch (const spdlog::spdlog_ex& error) {
    std::cerr << "violettide: " << error.what() << '\n';
  }
  return 2;
}

}  // namespace

int run_check(const std::string& file) {
  // A file that calls day() is a day script; any other is a settings script.
  auto day = standins::read_scenario(file);
  if (std::holds_alternative<standins::Scenario>(day)) {
    std::cout << file << ": a day without mistakes\n";
    return 0;
  }
  auto settings = standins::read_settings(file);
  if (std::holds_alternative<settings::Deployment>(settings)) {
    const auto text = settings::read_file(file).value_or("");
    if (text.find("day(") == std::string::npos) {
      std::cout << file << ": settings without mistakes\n";
      return 0;
    }
    return report_mistakes(std::get<settings::Diagnostics>(day));
  }
  return report_mistakes(std::get<settings::Diagnostics>(settings));
}

namespace {

// Dispatches the writes of the storage thread to the catalogue store or the seat log, by ticket range.
class StorageDispatcher : public runtime::Storage {
 public:
  StorageDispatcher(runtime::Storage* catalogue, runtime::Storage* seats)
      : catalogue_(catalogue), seats_(seats) {}
  std::string persist(std::uint64_t ticket, const std::string& bytes, bool replaces_all) override {
    auto* target = ticket >= first_seat_ticket ? seats_ : catalogue_;
    return target ? target->persist(ticket, bytes, replaces_all) : "";
  }

 private:
  runtime::Storage* catalogue_;
  runtime::Storage* seats_;
};

// Applies --peer and --peers-key, finds this manager among its peers and reads their shared key. Reports an
// error and returns false if a peer is malformed, this manager is not among them, or there is no key.
bool apply_peer_options(const ServeOptions& options, const std::string& settings_key_file,
                        const std::string& own_name, peers::PeerSettings& peer_settings) {
  if (!options.peers.empty())
    peer_settings.managers.clear();
  for (const auto& argument : options.peers) {
    const auto colon = argument.rfind(':');
    const int port = colon == std::string::npos ? 0 : std::atoi(argument.c_str() + colon + 1);
    if (port < 1 || port > 65535) {
      std::cerr << "violettide: --peer " << argument << ": expected NAME:PORT\n";
      return false;
    }
    peer_settings.managers.push_back(
        {argument.substr(0, colon), "127.0.0.1", static_cast<std::uint16_t>(port)});
  }
  if (peer_settings.managers.empty())
    return true;
  const auto at = std::find_if(peer_settings.managers.begin(), peer_settings.managers.end(),
                               [&](auto& peer) { return peer.name == own_name; });
  if (at == peer_settings.managers.end()) {
    std::cerr << "violettide: no peer has the name of this manager, '" << own_name << "'\n";
    return false;
  }
  peer_settings.self = static_cast<peers::PeerIndex>(at - peer_settings.managers.begin());
  const auto file = options.peers_key_file.empty() ? settings_key_file : options.peers_key_file;
  if (!file.empty()) {
    std::ifstream lines(file);
    if (!std::getline(lines, peer_settings.key)) {
      std::cerr << "violettide: " << file << ": "
                << (lines.is_open() ? "the file has no key" : std::strerror(errno)) << '\n';
      return false;
    }
  }
  if (peer_settings.key.empty()) {
    std::cerr << "violettide: peers need a shared key: peers(key_from = ...), or --peers-key\n";
    return false;
  }
  return true;
}

// Reads the secrets that sign HLS URLs from the file, if given, else keeps those of the settings. Without
// any, draws a random one: its URLs are invalid once this process ends. Reports an error and returns false if
// the file cannot be read or has no secret.
bool load_hls_secrets(const std::string& file, std::vector<std::string>& secrets) {
  if (!file.empty()) {
    std::ifstream lines(file);
    if (!lines) {
      std::cerr << "violettide: " << file << ": " << std::strerror(errno) << '\n';
      return false;
    }
    secrets.clear();
    for (std::string line; std::getline(lines, line);) {
      if (!line.empty())
        secrets.push_back(line);
    }
    if (secrets.empty()) {
      std::cerr << "violettide: " << file << ": the file has no secret\n";
      return false;
    }
  }
  if (secrets.empty()) {
    std::random_device random;
    std::string secret;
    for (int i = 0; i < 8; ++i) {
      const auto random_word = random();
      secret.append(reinterpret_cast<const char*>(&random_word), sizeof random_word);
    }
    secrets.push_back(secret);
    std::cerr << "violettide: no HLS secret is set: HLS URLs become invalid when this process ends\n";
  }
  return true;
}

std::uint64_t random_seed() {
  std::random_device random;
  return std::uint64_t{random()} << 32 | random();
}

}  // namespace

int run_serve(const ServeOptions& options) {
  auto read = standins::read_settings(options.settings_file);
  if (const auto* mistakes = std::get_if<settings::Diagnostics>(&read))
    return report_mistakes(*mistakes);
  auto deployment = std::get<settings::Deployment>(std::move(read));
  auto& front = deployment.front;
  if (!options.name.empty())
    front.name = options.name;
  if (options.list_port)
    front.box_list_port = *options.list_port;
  if (options.port)
    deployment.listen_port = *options.port;
  if (options.control_port)
    deployment.control_port = *options.control_port;
  if (options.feed_port)
    front.feed_port = *options.feed_port;
  if (options.front_count)
    front.policy.front_count = *options.front_count;
  if (!options.state_folder.empty())
    deployment.state_directory = options.state_folder;
  if (!options.hall.empty()) {
    const auto at = std::find(front.halls.begin(), front.halls.end(), options.hall);
    if (at == front.halls.end()) {
      std::cerr << "violettide: --hall: the settings have no hall named '" << options.hall << "'\n";
      return 2;
    }
    front.policy.own_hall = static_cast<int>(at - front.halls.begin());
  }
  if (deployment.hls_enabled) {
    const auto& file =
        options.hls_secrets_file.empty() ? deployment.hls_secrets_file : options.hls_secrets_file;
    if (!load_hls_secrets(file, front.hls.url_keys.secrets))
      return 2;
  }
  // Guards against a seat owner that loses its grants in a restart and reuses the numbers of its claims.
  if (front.entitlement.enabled && deployment.state_directory.empty()) {
    std::cerr
        << "violettide: seats need a folder that survives a restart: front(keep_in = ...), or --keep-in\n";
    return 2;
  }
  if (!apply_peer_options(options, deployment.peers_key_file, front.name, front.peers))
    return 2;
  if (options.front_index && (*options.front_index < 0 || *options.front_index >= front.policy.front_count)) {
    std::cerr << "violettide: --number " << *options.front_index << ": expected 0 to "
              << front.policy.front_count - 1 << ", as there are " << front.policy.front_count
              << " managers\n";
    return 2;
  }
  if (options.front_index)
    front.policy.front_index = *options.front_index;
  if (!front.policy.front_index && static_cast<int>(front.peers.managers.size()) == front.policy.front_count)
    front.policy.front_index = static_cast<int>(front.peers.self);
  if (options.keys_port)
    front.entitlement.keys_port = *options.keys_port;
  front.wall_clock_at_zero =
      std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
  front.peer_listener = front.has_catalogue ? 2 : 1;
  const auto cached_box_list =
      deployment.state_directory.empty()
          ? std::string()
          : settings::read_file(deployment.state_directory + "/boxes.json").value_or("");
  return run_reporting_errors([&] {
    const auto who = front.name;
    const auto log = make_log_sink(options.log_file, who);
    std::unique_ptr<entitlement::SeatLog> seats;
    if (front.entitlement.enabled) {
      seats = std::make_unique<entitlement::SeatLog>(deployment.state_directory);
      // Compacts the seat log once at each start: records that no longer matter are dropped.
      auto ledger_settings = front.entitlement.ledger;
      ledger_settings.self = front.peers.self;
      for (const auto& peer : front.peers.managers)
        ledger_settings.peers.push_back(peer.name);
      if (ledger_settings.peers.empty())
        ledger_settings.peers.push_back(front.name);
      const auto current_records =
          entitlement::Ledger(ledger_settings, 0, front.wall_clock_at_zero, seats->records()).snapshot();
      front.entitlement.restart_number = seats->restart();
      front.entitlement.stored_records = current_records;
      seats->replace_all(current_records);
      log(Duration(0), LogLine{"seats_restored",
                               {{"records", static_cast<std::int64_t>(current_records.size())},
                                {"start", static_cast<std::int64_t>(seats->restart())}}});
    }
    // Guards against managers with the same options making the same random choices.
    const auto seed = options.seed ? *options.seed : random_seed();
    log(Duration(0), LogLine{"seeded", {{"seed", std::to_string(seed)}}});
    manager::Manager manager(front, seed, cached_box_list, nullptr);
    std::vector<runtime::ListenAddress> listeners{{deployment.listen_address, deployment.listen_port}};
    std::unique_ptr<cataloguestore::Store> store;
    if (front.has_catalogue) {
      listeners.push_back({deployment.control_address, deployment.control_port});
      if (!deployment.state_directory.empty()) {
        store = std::make_unique<cataloguestore::Store>(deployment.state_directory);
        const auto restored = store->restore(manager.catalogue());
        log(Duration(0), LogLine{"catalogue_restored",
                                 {{"revision", static_cast<std::int64_t>(restored.revision)},
                                  {"damage", restored.damage_report}}});
        if (restored.damaged)
          std::cerr << "violettide: the stored catalogue was damaged: " << restored.damage_report << '\n';
      }
    }
    if (!front.peers.managers.empty()) {
      const auto& self = front.peers.managers[front.peers.self];
      listeners.push_back({self.address, self.port});
    }
    StorageDispatcher storage(store.get(), seats.get());
    runtime::Loop loop(manager, listeners, log, deployment.state_directory,
                       store || seats ? &storage : nullptr);
    std::vector<std::uint16_t> ports;
    for (int listener = 0; listener < static_cast<int>(listeners.size()); ++listener)
      ports.push_back(loop.port(listener));
    write_ports(options.ports_file, ports);
    if (options.log_file.empty()) {
      std::cerr << "violettide: " << who << " listens at http://" << deployment.listen_address << ":"
                << ports[0] << "/\n";
      if (front.has_catalogue)
        std::cerr << "violettide: its catalogue at http://" << deployment.control_address << ":" << ports[1]
                  << "/catalogue\n";
    }
    loop.run();
    return 0;
  });
}

int run_seats(const SeatsOptions& options) {
  try {
    const auto records = entitlement::SeatLog::read_records(options.folder);
    const auto now =
        std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
    // Owners wait for the clock skew (5 s by default) before they free a seat; 10 s is meant to exceed that
    // of any hall.
    const auto anomalies = entitlement::find_anomalies(records, now - std::chrono::seconds(10));
    const auto print_seat = [&](const entitlement::Record& record, const std::string& suffix) {
      std::printf("given  %-20s %-40s manager %u, until %.0f s from now%s\n", record.key.team.c_str(),
                  record.key.viewer_session.c_str(), record.holder,
                  std::chrono::duration<double>(record.until - now).count(), suffix.c_str());
    };
    const auto replayed = entitlement::replay_log(records);
    if (!options.audit) {
      for (const auto& [key, record] : replayed.grants)
        print_seat(record, "");
      for (const auto& [key, record] : replayed.claims)
        std::printf("asked  %-20s %-40s by this manager\n", key.team.c_str(), key.viewer_session.c_str());
    }
    for (const auto& [record, reason] : anomalies)
      print_seat(record, ": odd: " + reason);
    std::printf("%zu seats given, %zu odd; %zu asked for by this manager; %zu records\n",
                replayed.grants.size(), anomalies.size(), replayed.claims.size(), records.size());
    if (options.audit && !anomalies.empty())
      return 1;
    return 0;
  } catch (const entitlement::SeatLog::Error& error) {
    std::cerr << "violettide: " << error.what << '\n';
    return 2;
  }
}

namespace {

// Reads the issuer's keys that the day runner wrote; without the file the issuer has none.
standins::Issuer read_issuer(const std::string& folder, const standins::Scenario& day) {
  const auto& validator_settings = day.deployment.front.entitlement.token_validator;
  return standins::Issuer::deserialize(settings::read_file(folder + "/issuer.keys").value_or("[]"),
                                       validator_settings.issuer, validator_settings.audience);
}

}  // namespace

int run_boxes(const StandinOptions& options) {
  auto read = standins::read_scenario(options.day_file);
  if (const auto* mistakes = std::get_if<settings::Diagnostics>(&read))
    return report_mistakes(*mistakes);
  const auto day = std::get<standins::Scenario>(std::move(read));
  return run_reporting_errors([&] {
    TraceFile trace(options.folder, "boxes.trace");
    DeferredCore deferred;
    std::vector<runtime::ListenAddress> listeners(day.boxes.size(), {"127.0.0.1", 0});
    listeners.push_back({"127.0.0.1", day.deployment.front.box_list_port});
    if (day.deployment.front.has_catalogue)
      listeners.push_back({"127.0.0.1", day.deployment.front.feed_port});
    if (day.deployment.front.entitlement.enabled)
      listeners.push_back({"127.0.0.1", 0});
    runtime::Loop loop(deferred, listeners,
                       make_log_sink(options.folder.empty() ? "" : options.folder + "/boxes.log", "boxes"),
                       "");
    std::vector<std::uint16_t> ports;
    for (int i = 0; i < static_cast<int>(listeners.size()); ++i)
      ports.push_back(loop.port(i));
    auto fleet = std::make_unique<standins::Fleet>(
        day, ports, time_since_day_start(loop.origin_us(), options.day_start_us),
        [&](const trace::Passed& record) { trace.put(record); });
    fleet->set_trace_clock(loop.origin_us());
    if (day.deployment.front.entitlement.enabled)
      fleet->publish_keys(read_issuer(options.folder, day));
    deferred.core = std::move(fleet);
    write_ports(options.ports_file, ports);
    if (options.ports_file.empty())
      std::cerr << "violettide: " << day.boxes.size()
                << " boxes, their list at http://127.0.0.1:" << ports[day.boxes.size()] << "/boxes\n";
    loop.run();
    return 0;
  });
}

int run_viewers(const StandinOptions& options) {
  auto read = standins::read_scenario(options.day_file);
  if (const auto* mistakes = std::get_if<settings::Diagnostics>(&read))
    return report_mistakes(*mistakes);
  const auto day = std::get<standins::Scenario>(std::move(read));
  std::vector<standins::ManagerEndpoint> managers;
  for (const auto& argument : options.managers) {
    const auto first_colon = argument.find(':'), last_colon = argument.rfind(':');
    const auto hall = first_colon == std::string::npos || first_colon == last_colon
                          ? std::string()
                          : argument.substr(first_colon + 1, last_colon - first_colon - 1);
    const auto& halls = day.deployment.front.halls;
    const auto at = std::find(halls.begin(), halls.end(), hall);
    const int port = std::atoi(argument.substr(last_colon + 1).c_str());
    if (at == halls.end() || port < 1 || port > 65535) {
      std::cerr << "violettide: --manager " << argument
                << ": expected NAME:HALL:PORT, with a hall of the day script\n";
      return 2;
    }
    managers.push_back({argument.substr(0, first_colon), static_cast<std::uint16_t>(port),
                        static_cast<int>(at - halls.begin())});
  }
  return run_reporting_errors([&] {
    TraceFile trace(options.folder, "viewers.trace");
    DeferredCore deferred;
    runtime::Loop loop(
        deferred, {}, make_log_sink(options.folder.empty() ? "" : options.folder + "/viewers.log", "viewers"),
        "");
    deferred.core = std::make_unique<standins::Viewers>(
        day, managers, time_since_day_start(loop.origin_us(), options.day_start_us), loop.origin_us(),
        [&](const trace::Passed& record) { trace.put(record); });
    if (day.deployment.front.entitlement.enabled)
      static_cast<standins::Viewers&>(*deferred.core)
          .use_tokens(
              read_issuer(options.folder, day),
              std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()) -
                  loop.now());
    loop.run();
    return 0;
  });
}

}  // namespace violettide::cli
