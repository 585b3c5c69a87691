// The sub-commands `day` and `audit`. `day` starts the boxes, the managers and the viewers as child
// processes, kills, starts, suspends and resumes managers as the script says, and audits the traces.
#include "standins/day.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <thread>

#include "audit/audit.h"
#include "cli/commands.h"
#include "entitlement/seatlog/seatlog.h"
#include "runtime/runtime.h"
#include "standins/issuer.h"

extern char** environ;

namespace violettide::cli {

namespace {

using namespace std::chrono_literals;
constexpr auto start_timeout = 10s;
constexpr auto stop_timeout = 10s;
constexpr auto poll_interval = 10ms;  // for child exits and port files: the system gives no event for them

// A day run that could not be completed; `what` is the cause.
struct RunError {
  std::string what;
};

// A child process that runs this executable; it is killed when the object is destroyed. Throws RunError if it
// cannot be started.
class Child {
 public:
  Child() = default;
  Child(std::vector<std::string> arguments, const std::string& stderr_file) {
    std::vector<char*> pointers;
    for (auto& argument : arguments)
      pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, stderr_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    const int error_number =
        posix_spawn(&pid_, "/proc/self/exe", &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error_number)
      throw RunError{"cannot start '" + arguments[1] + "': " + std::strerror(error_number)};
  }
  Child(Child&& other) noexcept : pid_(std::exchange(other.pid_, 0)) {}
  Child& operator=(Child&& other) noexcept {
    std::swap(pid_, other.pid_);
    return *this;
  }
  ~Child() {
    if (pid_ <= 0)
      return;
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  void signal(int number) const {
    if (pid_ > 0)
      kill(pid_, number);
  }
  void kill_and_wait() {
    if (pid_ <= 0)
      return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  // Exit code, or 128 plus the signal number; nothing while the process runs. 0 if it was never started.
  std::optional<int> poll_exit() {
    if (pid_ <= 0)
      return 0;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_)
      return std::nullopt;
    pid_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }
  // Waits for the exit code; nothing if the process still runs after `timeout`.
  std::optional<int> wait(std::chrono::steady_clock::duration timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    for (;;) {
      if (const auto exit_code = poll_exit())
        return exit_code;
      if (std::chrono::steady_clock::now() >= deadline)
        return std::nullopt;
      std::this_thread::sleep_for(poll_interval);
    }
  }

 private:
  pid_t pid_ = 0;
};

// Waits for the ports that a child writes once it listens. Throws RunError if it exits or takes over 10 s.
std::vector<std::uint16_t> wait_for_ports(const std::string& path, Child& writer) {
  const auto deadline = std::chrono::steady_clock::now() + start_timeout;
  for (;;) {
    if (std::ifstream file(path); file) {
      std::vector<std::uint16_t> ports;
      for (int port = 0; file >> port;)
        ports.push_back(static_cast<std::uint16_t>(port));
      if (!ports.empty())
        return ports;
    }
    if (const auto exit_code = writer.poll_exit())
      throw RunError{path + ": the process that writes it exited with " + std::to_string(*exit_code)};
    if (std::chrono::steady_clock::now() >= deadline)
      throw RunError{path + ": no ports after 10 s"};
    std::this_thread::sleep_for(poll_interval);
  }
}

// Finds a loopback port that is free now: managers need the peer ports of each other before they start.
// Another process can still take it until the manager listens.
std::uint16_t free_port() {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  const bool bound = socket >= 0 &&
                     bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
                     getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  if (socket >= 0)
    close(socket);
  if (!bound)
    throw RunError{std::string("no free port: ") + std::strerror(errno)};
  return ntohs(address.sin_port);
}

// One run of a day in a folder. `run` throws RunError if a process fails or does not end in time.
class DayRun {
 public:
  DayRun(const DayOptions& options, const standins::Scenario& day, std::string folder)
      : options_(options), day_(day), folder_(std::move(folder)), trace_(folder_ + "/day.trace") {}

  void run() {
    // Guards against reading the ports and logs of an earlier run in this folder.
    for (const auto& entry : std::filesystem::directory_iterator(folder_)) {
      const auto kind = entry.path().extension();
      if (kind == ".ports" || kind == ".port" || kind == ".log" || kind == ".err")
        std::filesystem::remove(entry.path());
    }
    if (const auto& validator_settings = day_.deployment.front.entitlement.token_validator;
        day_.deployment.front.entitlement.enabled) {
      const auto key_count = static_cast<int>((day_.duration + 30s) / day_.issuer.rotation_interval) + 2;
      std::ofstream(folder_ + "/issuer.keys")
          << standins::Issuer::generate_keys(validator_settings.issuer, validator_settings.audience,
                                             key_count)
                 .serialize();
    }
    const auto day_start_us =
        runtime::Loop::machine_clock_us() + 1'500'000;  // leaves 1.5 s for all processes to start
    const auto day_start_text = std::to_string(day_start_us);
    Child boxes({"violettide", "boxes", options_.day_file, "--folder", folder_, "--zero-us", day_start_text,
                 "--ports-to", folder_ + "/boxes.ports"},
                folder_ + "/boxes.err");
    const auto service_ports = wait_for_ports(folder_ + "/boxes.ports", boxes);
    list_port_ = service_ports.at(day_.boxes.size());
    if (day_.deployment.front.has_catalogue)
      feed_port_ = service_ports.at(day_.boxes.size() + 1);
    // All managers of the day share one secret: a URL must stay valid after the process that signed it ends.
    if (day_.deployment.hls_enabled)
      std::ofstream(folder_ + "/hls.secrets") << "day " << day_.seed << " " << day_start_us << "\n";
    if (day_.deployment.front.entitlement.enabled) {
      keys_port_ = service_ports.back();
      std::ofstream(folder_ + "/peers.key") << "day " << day_.seed << " " << day_start_us << "\n";
      for (int i = 0; i < day_.manager_count; ++i)
        peer_ports_.push_back(free_port());
    }
    managers_.resize(static_cast<std::size_t>(day_.manager_count));
    ports_.resize(managers_.size());
    for (int i = 0; i < day_.manager_count; ++i) {
      start(i);
      ports_[i] = wait_for_ports(port_file(i), managers_[i]).front();
    }
    std::vector<std::string> viewer_arguments{"violettide", "viewers",   options_.day_file, "--folder",
                                              folder_,      "--zero-us", day_start_text};
    for (int i = 0; i < day_.manager_count; ++i) {
      viewer_arguments.push_back("--manager");
      viewer_arguments.push_back(manager_name(i) + ":" + manager_hall(i) + ":" + std::to_string(ports_[i]));
    }
    Child viewers(viewer_arguments, folder_ + "/viewers.err");
    std::vector<PlannedAction> actions = planned_actions();
    std::size_t next = 0;
    Duration longest_abandon_time{0};
    for (const auto& plan : day_.deployment.front.plans)
      longest_abandon_time = std::max(longest_abandon_time, plan.abandon_time);
    const auto deadline_us = day_start_us +
                             static_cast<std::uint64_t>((day_.duration + 4 * longest_abandon_time).count()) +
                             10'000'000;
    std::optional<int> viewers_exit_code;
    while (!(viewers_exit_code = viewers.poll_exit())) {
      const auto now = runtime::Loop::machine_clock_us();
      while (next < actions.size() &&
             day_start_us + static_cast<std::uint64_t>(actions[next].at.count()) <= now)
        execute(actions[next++]);
      for (std::size_t i = 0; i < managers_.size(); ++i) {
        if (is_down_[static_cast<int>(i)])
          continue;
        if (const auto exit_code = managers_[i].poll_exit())
          throw RunError{manager_name(static_cast<int>(i)) + " exited unexpectedly with " +
                         std::to_string(*exit_code) + ": see " + folder_};
      }
      if (now > deadline_us)
        throw RunError{"the viewers did not end in time"};
      std::this_thread::sleep_for(poll_interval);
    }
    if (*viewers_exit_code != 0)
      throw RunError{"the viewers exited with " + std::to_string(*viewers_exit_code) + ": see " + folder_};
    const auto stopped_at = std::chrono::system_clock::now();
    for (auto& manager : managers_)
      manager.signal(SIGCONT), manager.signal(SIGTERM);
    for (std::size_t i = 0; i < managers_.size(); ++i) {
      const auto exit_code = managers_[i].wait(stop_timeout);
      if (!exit_code || *exit_code != 0)
        throw RunError{manager_name(static_cast<int>(i)) +
                       (exit_code ? " exited with " + std::to_string(*exit_code)
                                  : std::string(" did not stop within 10 s of SIGTERM"))};
    }
    boxes.signal(SIGTERM);
    const auto exit_code = boxes.wait(stop_timeout);
    if (!exit_code || *exit_code != 0)
      throw RunError{"the boxes did not stop cleanly; exit code: " +
                     (exit_code ? std::to_string(*exit_code) : std::string("none within 10 s")) + ": see " +
                     folder_};
    if (day_.deployment.front.entitlement.enabled)
      record_leaked_seats(stopped_at);
    trace_.flush();
  }

 private:
  // Records a LEAKED event for each anomaly in the seat logs of the stopped managers: a grant past its
  // expiry, or one whose claim holds another seat too.
  void record_leaked_seats(std::chrono::system_clock::time_point stopped_at) {
    // Allows 1 s for a stalled manager to catch up.
    const auto& skew = day_.deployment.front.entitlement.ledger.skew;
    const auto at = std::chrono::duration_cast<Duration>(stopped_at.time_since_epoch()) - skew - 1s;
    for (int i = 0; i < day_.manager_count; ++i) {
      for (const auto& anomaly : entitlement::find_anomalies(
               entitlement::SeatLog::read_records(folder_ + "/" + manager_name(i)), at)) {
        trace::Passed record;
        record.set_at_us(runtime::Loop::machine_clock_us());
        record.set_kind(trace::Passed::LEAKED);
        record.set_manager(manager_name(i));
        record.set_state(anomaly.record.key.team + " " + anomaly.record.key.viewer_session + ": " +
                         anomaly.reason);
        trace_.append(record);
      }
    }
  }

  // An action on a manager process; `at` counts from the start of the day.
  struct PlannedAction {
    Duration at;
    enum class Kind { kill, start, suspend, resume } kind;
    int manager;
    double stall_s = 0;  // planned length of a stall, in seconds
  };
  std::string manager_name(int i) const { return "manager-" + std::to_string(i); }
  std::string manager_hall(int i) const {
    return day_.deployment.front.halls[static_cast<std::size_t>(i) % day_.deployment.front.halls.size()];
  }
  std::string port_file(int i) const { return folder_ + "/" + manager_name(i) + ".port"; }

  void start(int i) {
    const auto state_folder = folder_ + "/" + manager_name(i);
    std::filesystem::create_directories(state_folder);
    std::vector<std::string> arguments{
        "violettide",  "serve",
        "--settings",  options_.day_file,
        "--name",      manager_name(i),
        "--hall",      manager_hall(i),
        "--port",      std::to_string(ports_[i]),
        "--list-port", std::to_string(list_port_),
        "--fronts",    std::to_string(day_.manager_count),
        "--number",    std::to_string(i),
        "--keep-in",   state_folder,
        "--log",       folder_ + "/" + manager_name(i) + ".log",
        "--ports-to",  port_file(i),
        "--seed",      std::to_string(day_.seed * 100 + static_cast<std::uint32_t>(i))};
    if (day_.deployment.hls_enabled) {
      arguments.push_back("--hls-secrets");
      arguments.push_back(folder_ + "/hls.secrets");
    }
    if (feed_port_ != 0) {
      arguments.push_back("--feed-port");
      arguments.push_back(std::to_string(feed_port_));
    }
    if (day_.deployment.front.entitlement.enabled) {
      arguments.insert(arguments.end(),
                       {"--keys-port", std::to_string(keys_port_), "--peers-key", folder_ + "/peers.key"});
      for (int p = 0; p < day_.manager_count; ++p) {
        arguments.push_back("--peer");
        arguments.push_back(manager_name(p) + ":" + std::to_string(peer_ports_[static_cast<std::size_t>(p)]));
      }
    }
    record_event(trace::Passed::STARTED, i);
    managers_[i] = Child(arguments, folder_ + "/" + manager_name(i) + ".err");
    is_down_[i] = false;
  }

  // The restarts and stalls of the day's troubles, in order of time.
  std::vector<PlannedAction> planned_actions() const {
    std::vector<PlannedAction> actions;
    for (const auto& fault : day_.faults) {
      const auto count = static_cast<std::int64_t>(fault.targets.size());
      for (std::int64_t k = 0; k < count; ++k) {
        const int manager = fault.targets[static_cast<std::size_t>(k)];
        if (fault.kind == standins::FaultKind::roll) {
          const Duration at = fault.start + fault.duration * k / count;
          actions.push_back({at, PlannedAction::Kind::kill, manager});
          actions.push_back({at + Duration(static_cast<std::int64_t>(fault.magnitude * 1e6)),
                             PlannedAction::Kind::start, manager});
        } else if (fault.kind == standins::FaultKind::stall) {
          actions.push_back({fault.start, PlannedAction::Kind::suspend, manager,
                             std::chrono::duration<double>(fault.duration).count()});
          actions.push_back({fault.start + fault.duration, PlannedAction::Kind::resume, manager});
        }
      }
    }
    std::stable_sort(actions.begin(), actions.end(), [](auto& a, auto& b) { return a.at < b.at; });
    return actions;
  }

  void execute(const PlannedAction& action) {
    switch (action.kind) {
      case PlannedAction::Kind::kill:
        record_event(trace::Passed::KILLED, action.manager);
        managers_[action.manager].kill_and_wait();
        is_down_[action.manager] = true;
        return;
      case PlannedAction::Kind::start:
        return start(action.manager);
      case PlannedAction::Kind::suspend:
        record_event(trace::Passed::STOOD_STILL, action.manager, action.stall_s + 0.2);
        return managers_[action.manager].signal(SIGSTOP);
      case PlannedAction::Kind::resume:
        return managers_[action.manager].signal(SIGCONT);
    }
  }

  void record_event(trace::Passed::Kind kind, int manager, double value = 0) {
    trace::Passed record;
    record.set_at_us(runtime::Loop::machine_clock_us());
    record.set_kind(kind);
    record.set_manager(manager_name(manager));
    record.set_value(value);
    trace_.append(record);
  }

  const DayOptions& options_;
  const standins::Scenario& day_;
  std::string folder_;
  trace::Writer trace_;
  std::uint16_t list_port_ = 0, feed_port_ = 0, keys_port_ = 0;
  std::vector<std::uint16_t> peer_ports_;
  std::vector<Child> managers_;
  std::vector<std::uint16_t> ports_;
  std::map<int, bool> is_down_;
};

// Prints the verdict on the traces. Returns 1 if a rule was broken, or if no playback was requested, as the
// rules then hold for lack of events.
int audit_traces(const standins::Scenario& day, const std::vector<std::string>& traces) {
  std::vector<trace::Passed> records;
  for (const auto& path : traces) {
    auto read = trace::read(path);
    if (read.truncated)
      std::cerr << path << ": truncated after " << read.records.size() << " records\n";
    records.insert(records.end(), read.records.begin(), read.records.end());
  }
  const auto verdict = audit::check(day, std::move(records));
  std::cout << audit::format_verdict(verdict);
  if (verdict.playbacks_requested == 0) {
    std::cout << "no playback was asked: nothing is proven\n";
    return 1;
  }
  return verdict.passed() ? 0 : 1;
}

}  // namespace

int run_day(const DayOptions& options) {
  auto read = standins::read_scenario(options.day_file);
  if (const auto* mistakes = std::get_if<settings::Diagnostics>(&read)) {
    for (const auto& mistake : *mistakes)
      std::cerr << mistake.to_string() << '\n';
    return 1;
  }
  const auto day = std::get<standins::Scenario>(std::move(read));
  try {
    auto folder = options.folder;
    if (folder.empty()) {
      auto pattern = (std::filesystem::temp_directory_path() / "violettide-day-XXXXXX").string();
      if (!mkdtemp(pattern.data()))
        throw RunError{pattern + ": " + std::strerror(errno)};
      folder = pattern;
    }
    std::filesystem::create_directories(folder);
    std::cout << options.day_file << ": " << day.boxes.size() << " boxes, " << day.manager_count
              << " managers, " << std::chrono::duration<double>(day.duration).count() << " s, "
              << day.faults.size() << " troubles; traces in " << folder << std::endl;
    DayRun(options, day, folder).run();
    return audit_traces(day, {folder + "/viewers.trace", folder + "/boxes.trace", folder + "/day.trace"});
  } catch (const entitlement::SeatLog::Error& error) {
    std::cerr << "violettide: " << error.what << '\n';
  } catch (const RunError& error) {
    std::cerr << "violettide: " << error.what << '\n';
  } catch (const trace::TraceError& error) {
    std::cerr << "violettide: " << error.message << '\n';
  } catch (const std::filesystem::filesystem_error& error) {
    std::cerr << "violettide: " << error.what() << '\n';
  }
  return 2;
}

int run_audit(const AuditOptions& options) {
  auto read = standins::read_scenario(options.day_file);
  if (const auto* mistakes = std::get_if<settings::Diagnostics>(&read)) {
    for (const auto& mistake : *mistakes)
      std::cerr << mistake.to_string() << '\n';
    return 1;
  }
  try {
    return audit_traces(std::get<standins::Scenario>(read), options.traces);
  } catch (const trace::TraceError& error) {
    std::cerr << "violettide: " << error.message << '\n';
    return 2;
  }
}

}  // namespace violettide::cli
