// The sub-commands that stand and serve: one core each, driven by the runtime.
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

int tell(const settings::Mistakes& mistakes) {
  for (const auto& mistake : mistakes)
    std::cerr << mistake.text() << '\n';
  std::cerr << mistakes.size() << (mistakes.size() == 1 ? " mistake\n" : " mistakes\n");
  return 1;
}

}  // namespace

std::function<void(Duration, const LogLine&)> log_to(const std::string& file, const std::string& who) {
  auto logger =
      file.empty()
          ? std::make_shared<spdlog::logger>(who, std::make_shared<spdlog::sinks::stderr_sink_mt>())
          : std::make_shared<spdlog::logger>(who, std::make_shared<spdlog::sinks::basic_file_sink_mt>(file));
  logger->set_pattern("%v");
  logger->flush_on(spdlog::level::warn);
  return [logger, who](Duration now, const LogLine& said) {
    nlohmann::ordered_json line{
        {"t", static_cast<double>(now.count()) / 1e6}, {"who", who}, {"event", said.event}};
    for (const auto& [name, value] : said.fields)
      std::visit([&](const auto& held) { line[name] = held; }, value);
    logger->info(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  };
}

namespace {

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

Duration into_day(std::uint64_t origin_us, std::uint64_t zero_us) {
  if (zero_us == 0)
    return Duration(0);
  return Duration(static_cast<std::int64_t>(origin_us) - static_cast<std::int64_t>(zero_us));
}

// Flushes a trace now and then, so that a reader finds it nearly whole at any time.
class TraceFile {
 public:
  explicit TraceFile(const std::string& folder, const std::string& name) {
    if (!folder.empty())
      writer_ = std::make_unique<trace::Writer>(folder + "/" + name);
  }
  void put(const trace::Passed& record) {
    if (!writer_)
      return;
    writer_->put(record);
    if (++count_ % 512 == 0)
      writer_->flush();
  }

 private:
  std::unique_ptr<trace::Writer> writer_;
  std::size_t count_ = 0;
};

// A core made after its loop, as it must know the ports that the loop bound.
class Later : public Core {
 public:
  void handle(Duration now, const IoEvent& what, std::vector<Action>& actions) override {
    if (core)
      core->handle(now, what, actions);
  }
  std::unique_ptr<Core> core;
};

template <typename Run>
int guarded(Run run) {
  try {
    return run();
  } catch (const runtime::LoopError& failed) {
    std::cerr << "violettide: " << failed.what << '\n';
  } catch (const trace::Failed& failed) {
    std::cerr << "violettide: " << failed.what << '\n';
  } catch (const entitlement::SeatLog::Error& failed) {
    std::cerr << "violettide: " << failed.what << '\n';
  } catch (const cataloguestore::StoreError& failed) {
    std::cerr << "violettide: " << failed.what << '\n';
  } catch (const spdlog::spdlog_ex& failed) {
    std::cerr << "violettide: " << failed.what() << '\n';
  }
  return 2;
}

}  // namespace

int run_check(const std::string& file) {
  // A file with a day's calls is a day; the rest are settings.
  auto day = standins::read_scenario(file);
  if (std::holds_alternative<standins::Scenario>(day)) {
    std::cout << file << ": a day without mistakes\n";
    return 0;
  }
  auto settings = standins::read_settings(file);
  if (std::holds_alternative<settings::Deployment>(settings)) {
    const auto text = settings::file_text(file).value_or("");
    if (text.find("day(") == std::string::npos) {
      std::cout << file << ": settings without mistakes\n";
      return 0;
    }
    return tell(std::get<settings::Mistakes>(day));
  }
  return tell(std::get<settings::Mistakes>(settings));
}

namespace {

// Two books on one disk thread: the catalogue's and the seats', told apart by their tickets.
class Books : public runtime::Storage {
 public:
  Books(runtime::Storage* catalogue, runtime::Storage* seats) : catalogue_(catalogue), seats_(seats) {}
  std::string persist(std::uint64_t ticket, const std::string& bytes, bool whole) override {
    auto* book = ticket >= first_seat_ticket ? seats_ : catalogue_;
    return book ? book->persist(ticket, bytes, whole) : "";
  }

 private:
  runtime::Storage* catalogue_;
  runtime::Storage* seats_;
};

// The managers of the hall by words in place of the settings', this one's place among them, and their key.
bool take_peers(const ServeWords& words, const std::string& key_from, const std::string& own,
                peers::PeerSettings& terms) {
  if (!words.peers.empty())
    terms.managers.clear();
  for (const auto& word : words.peers) {
    const auto colon = word.rfind(':');
    const int port = colon == std::string::npos ? 0 : std::atoi(word.c_str() + colon + 1);
    if (port < 1 || port > 65535) {
      std::cerr << "violettide: --peer " << word << ": expected NAME:PORT\n";
      return false;
    }
    terms.managers.push_back({word.substr(0, colon), "127.0.0.1", static_cast<std::uint16_t>(port)});
  }
  if (terms.managers.empty())
    return true;
  const auto at = std::find_if(terms.managers.begin(), terms.managers.end(),
                               [&](auto& peer) { return peer.name == own; });
  if (at == terms.managers.end()) {
    std::cerr << "violettide: no peer is named '" << own << "', as this manager is\n";
    return false;
  }
  terms.self = static_cast<peers::PeerIndex>(at - terms.managers.begin());
  const auto file = words.peers_key.empty() ? key_from : words.peers_key;
  if (!file.empty()) {
    std::ifstream lines(file);
    if (!std::getline(lines, terms.key)) {
      std::cerr << "violettide: " << file << ": " << (lines.is_open() ? "no key in it" : std::strerror(errno))
                << '\n';
      return false;
    }
  }
  if (terms.key.empty()) {
    std::cerr << "violettide: managers that speak to each other take a key: peers(key_from = ...)\n";
    return false;
  }
  return true;
}

// The second front's secrets: of a file, of the settings, or one of chance, whose addresses end with this
// process. False, and told, where the file has none.
bool take_secrets(const std::string& file, std::vector<std::string>& secrets) {
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
      std::cerr << "violettide: " << file << ": no secret in it\n";
      return false;
    }
  }
  if (secrets.empty()) {
    std::random_device chance;
    std::string secret;
    for (int i = 0; i < 8; ++i) {
      const auto word = chance();
      secret.append(reinterpret_cast<const char*>(&word), sizeof word);
    }
    secrets.push_back(secret);
    std::cerr << "violettide: no secret is set: HLS addresses end with this process\n";
  }
  return true;
}

std::uint64_t drawn_seed() {
  std::random_device chance;
  return std::uint64_t{chance()} << 32 | chance();
}

}  // namespace

int run_serve(const ServeWords& words) {
  auto read = standins::read_settings(words.settings);
  if (const auto* mistakes = std::get_if<settings::Mistakes>(&read))
    return tell(*mistakes);
  auto deployment = std::get<settings::Deployment>(std::move(read));
  auto& front = deployment.front;
  if (!words.name.empty())
    front.name = words.name;
  if (words.list_port)
    front.box_list_port = *words.list_port;
  if (words.port)
    deployment.listen_port = *words.port;
  if (words.control_port)
    deployment.control_port = *words.control_port;
  if (words.feed_port)
    front.feed_port = *words.feed_port;
  if (words.fronts)
    front.policy.front_count = *words.fronts;
  if (!words.keep_in.empty())
    deployment.keep_in = words.keep_in;
  if (!words.hall.empty()) {
    const auto at = std::find(front.halls.begin(), front.halls.end(), words.hall);
    if (at == front.halls.end()) {
      std::cerr << "violettide: --hall: the settings have no hall named '" << words.hall << "'\n";
      return 2;
    }
    front.policy.own_hall = static_cast<int>(at - front.halls.begin());
  }
  if (deployment.hls) {
    const auto& file = words.hls_secrets.empty() ? deployment.hls_secrets_from : words.hls_secrets;
    if (!take_secrets(file, front.hls.url_keys.secrets))
      return 2;
  }
  // Guards against an owner that forgets what it gave out, and numbers its claims as before.
  if (front.entitlement.enabled && deployment.keep_in.empty()) {
    std::cerr
        << "violettide: seats take a folder that survives a restart: front(keep_in = ...), or --keep-in\n";
    return 2;
  }
  if (!take_peers(words, deployment.peers_key_from, front.name, front.peers))
    return 2;
  if (words.number && (*words.number < 0 || *words.number >= front.policy.front_count)) {
    std::cerr << "violettide: --number " << *words.number << ": expected 0 to "
              << front.policy.front_count - 1 << ", as there are " << front.policy.front_count
              << " managers\n";
    return 2;
  }
  if (words.number)
    front.policy.front_index = *words.number;
  if (!front.policy.front_index && static_cast<int>(front.peers.managers.size()) == front.policy.front_count)
    front.policy.front_index = static_cast<int>(front.peers.self);
  if (words.keys_port)
    front.entitlement.keys_port = *words.keys_port;
  front.wall_clock_at_zero =
      std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
  front.peer_listener = front.has_catalogue ? 2 : 1;
  const auto kept = deployment.keep_in.empty()
                        ? std::string()
                        : settings::file_text(deployment.keep_in + "/boxes.json").value_or("");
  return guarded([&] {
    const auto who = front.name;
    const auto log = log_to(words.log, who);
    std::unique_ptr<entitlement::SeatLog> seats;
    if (front.entitlement.enabled) {
      seats = std::make_unique<entitlement::SeatLog>(deployment.keep_in);
      // What no longer matters is left out of the log here, once for each start.
      auto terms = front.entitlement.ledger;
      terms.self = front.peers.self;
      for (const auto& peer : front.peers.managers)
        terms.peers.push_back(peer.name);
      if (terms.peers.empty())
        terms.peers.push_back(front.name);
      const auto present =
          entitlement::Ledger(terms, 0, front.wall_clock_at_zero, seats->records()).snapshot();
      front.entitlement.restart_number = seats->restart();
      front.entitlement.stored_records = present;
      seats->replace_all(present);
      log(Duration(0), LogLine{"seats_restored",
                               {{"records", static_cast<std::int64_t>(present.size())},
                                {"start", static_cast<std::int64_t>(seats->restart())}}});
    }
    // Guards against managers that were started alike drawing alike.
    const auto seed = words.seed ? *words.seed : drawn_seed();
    log(Duration(0), LogLine{"seeded", {{"seed", std::to_string(seed)}}});
    manager::Manager manager(front, seed, kept, nullptr);
    std::vector<runtime::ListenAddress> doors{{deployment.listen_address, deployment.listen_port}};
    std::unique_ptr<cataloguestore::Store> store;
    if (front.has_catalogue) {
      doors.push_back({deployment.control_address, deployment.control_port});
      if (!deployment.keep_in.empty()) {
        store = std::make_unique<cataloguestore::Store>(deployment.keep_in);
        const auto found = store->restore(manager.catalogue());
        log(Duration(0), LogLine{"catalogue_restored",
                                 {{"revision", static_cast<std::int64_t>(found.revision)},
                                  {"damage", found.damage_report}}});
        if (found.damaged)
          std::cerr << "violettide: the catalogue was damaged: " << found.damage_report << '\n';
      }
    }
    if (!front.peers.managers.empty()) {
      const auto& own = front.peers.managers[front.peers.self];
      doors.push_back({own.address, own.port});
    }
    Books books(store.get(), seats.get());
    runtime::Loop loop(manager, doors, log, deployment.keep_in, store || seats ? &books : nullptr);
    std::vector<std::uint16_t> ports;
    for (int door = 0; door < static_cast<int>(doors.size()); ++door)
      ports.push_back(loop.port(door));
    write_ports(words.ports_to, ports);
    if (words.log.empty()) {
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

// What the log holds, and what an operator who suspects a leak should look at.
int run_seats(const SeatsWords& words) {
  try {
    const auto records = entitlement::SeatLog::read_records(words.folder);
    const auto now =
        std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
    // Owners wait the clocks' skew before they free a seat; ten seconds are more than any hall needs.
    const auto odd = entitlement::find_anomalies(records, now - std::chrono::seconds(10));
    const auto tell_seat = [&](const entitlement::Record& record, const std::string& why) {
      std::printf("given  %-20s %-40s manager %u, until %.0f s from now%s\n", record.key.team.c_str(),
                  record.key.viewer_session.c_str(), record.holder,
                  std::chrono::duration<double>(record.until - now).count(), why.c_str());
    };
    const auto found = entitlement::replay_log(records);
    if (!words.audit) {
      for (const auto& [key, record] : found.grants)
        tell_seat(record, "");
      for (const auto& [key, record] : found.claims)
        std::printf("asked  %-20s %-40s by this manager\n", key.team.c_str(), key.viewer_session.c_str());
    }
    for (const auto& [record, why] : odd)
      tell_seat(record, ": odd: " + why);
    std::printf("%zu seats given, %zu odd; %zu asked for by this manager; %zu records\n", found.grants.size(),
                odd.size(), found.claims.size(), records.size());
    if (words.audit && !odd.empty())
      return 1;
    return 0;
  } catch (const entitlement::SeatLog::Error& unusable) {
    std::cerr << "violettide: " << unusable.what << '\n';
    return 2;
  }
}

namespace {

standins::Issuer issuer_in(const std::string& folder, const standins::Scenario& day) {
  const auto& gate = day.deployment.front.entitlement.token_validator;
  return standins::Issuer::deserialize(settings::file_text(folder + "/issuer.keys").value_or("[]"),
                                       gate.issuer, gate.audience);
}

}  // namespace

int run_boxes(const StandinWords& words) {
  auto read = standins::read_scenario(words.day);
  if (const auto* mistakes = std::get_if<settings::Mistakes>(&read))
    return tell(*mistakes);
  const auto day = std::get<standins::Scenario>(std::move(read));
  return guarded([&] {
    TraceFile trace(words.folder, "boxes.trace");
    Later later;
    std::vector<runtime::ListenAddress> doors(day.boxes.size(), {"127.0.0.1", 0});
    doors.push_back({"127.0.0.1", day.deployment.front.box_list_port});
    if (day.deployment.front.has_catalogue)
      doors.push_back({"127.0.0.1", day.deployment.front.feed_port});
    if (day.deployment.front.entitlement.enabled)
      doors.push_back({"127.0.0.1", 0});
    runtime::Loop loop(later, doors, log_to(words.folder.empty() ? "" : words.folder + "/boxes.log", "boxes"),
                       "");
    std::vector<std::uint16_t> ports;
    for (int i = 0; i < static_cast<int>(doors.size()); ++i)
      ports.push_back(loop.port(i));
    auto fleet = std::make_unique<standins::Fleet>(day, ports, into_day(loop.origin_us(), words.zero_us),
                                                   [&](const trace::Passed& record) { trace.put(record); });
    fleet->set_trace_clock(loop.origin_us());
    if (day.deployment.front.entitlement.enabled)
      fleet->publish_keys(issuer_in(words.folder, day));
    later.core = std::move(fleet);
    write_ports(words.ports_to, ports);
    if (words.ports_to.empty())
      std::cerr << "violettide: " << day.boxes.size()
                << " boxes, their list at http://127.0.0.1:" << ports[day.boxes.size()] << "/boxes\n";
    loop.run();
    return 0;
  });
}

int run_viewers(const StandinWords& words) {
  auto read = standins::read_scenario(words.day);
  if (const auto* mistakes = std::get_if<settings::Mistakes>(&read))
    return tell(*mistakes);
  const auto day = std::get<standins::Scenario>(std::move(read));
  std::vector<standins::ManagerEndpoint> doors;
  for (const auto& word : words.managers) {
    const auto first = word.find(':'), second = word.rfind(':');
    const auto hall = first == std::string::npos || first == second
                          ? std::string()
                          : word.substr(first + 1, second - first - 1);
    const auto& halls = day.deployment.front.halls;
    const auto at = std::find(halls.begin(), halls.end(), hall);
    const int port = std::atoi(word.substr(second + 1).c_str());
    if (at == halls.end() || port < 1 || port > 65535) {
      std::cerr << "violettide: --manager " << word << ": expected NAME:HALL:PORT with a hall of the day\n";
      return 2;
    }
    doors.push_back(
        {word.substr(0, first), static_cast<std::uint16_t>(port), static_cast<int>(at - halls.begin())});
  }
  return guarded([&] {
    TraceFile trace(words.folder, "viewers.trace");
    Later later;
    runtime::Loop loop(later, {},
                       log_to(words.folder.empty() ? "" : words.folder + "/viewers.log", "viewers"), "");
    later.core = std::make_unique<standins::Viewers>(day, doors, into_day(loop.origin_us(), words.zero_us),
                                                     loop.origin_us(),
                                                     [&](const trace::Passed& record) { trace.put(record); });
    if (day.deployment.front.entitlement.enabled)
      static_cast<standins::Viewers&>(*later.core)
          .use_tokens(issuer_in(words.folder, day), std::chrono::duration_cast<Duration>(
                                                        std::chrono::system_clock::now().time_since_epoch()) -
                                                        loop.now());
    loop.run();
    return 0;
  });
}

}  // namespace violettide::cli
