// Plays a day: starts the boxes, the managers and the viewers in processes of their own, kills, starts and
// stops managers as the script says, and audits what passed.
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
constexpr auto start_limit = 10s;
constexpr auto stop_limit = 10s;
constexpr auto look_every = 10ms;  // at children and files, where the system gives no event to wait for

struct Unplayable {
  std::string what;
};

// A child process of ours, ended with us.
class Child {
 public:
  Child() = default;
  Child(std::vector<std::string> words, const std::string& errors_to) {
    std::vector<char*> pointers;
    for (auto& word : words)
      pointers.push_back(word.data());
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errors_to.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    const int code = posix_spawn(&pid_, "/proc/self/exe", &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (code)
      throw Unplayable{"can't start '" + words[1] + "': " + std::strerror(code)};
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
  void end_at_once() {
    if (pid_ <= 0)
      return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  // Its exit code, or 128 and the signal, once it has ended.
  std::optional<int> ended() {
    if (pid_ <= 0)
      return 0;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_)
      return std::nullopt;
    pid_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }
  std::optional<int> wait(std::chrono::steady_clock::duration limit) {
    const auto until = std::chrono::steady_clock::now() + limit;
    for (;;) {
      if (const auto code = ended())
        return code;
      if (std::chrono::steady_clock::now() >= until)
        return std::nullopt;
      std::this_thread::sleep_for(look_every);
    }
  }

 private:
  pid_t pid_ = 0;
};

std::vector<std::uint16_t> ports_in(const std::string& path, Child& writer) {
  const auto until = std::chrono::steady_clock::now() + start_limit;
  for (;;) {
    if (std::ifstream file(path); file) {
      std::vector<std::uint16_t> ports;
      for (int port = 0; file >> port;)
        ports.push_back(static_cast<std::uint16_t>(port));
      if (!ports.empty())
        return ports;
    }
    if (const auto code = writer.ended())
      throw Unplayable{path + ": its process ended with " + std::to_string(*code)};
    if (std::chrono::steady_clock::now() >= until)
      throw Unplayable{path + ": nothing listens there after 10 s"};
    std::this_thread::sleep_for(look_every);
  }
}

// One that nothing listens at now; managers must know each other's before they start.
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
    throw Unplayable{std::string("no port is free: ") + std::strerror(errno)};
  return ntohs(address.sin_port);
}

class Played {
 public:
  Played(const DayWords& words, const standins::Scenario& day, std::string folder)
      : words_(words), day_(day), folder_(std::move(folder)), trace_(folder_ + "/day.trace") {}

  void run() {
    // Guards against the ports and logs of a day that was played in this folder before.
    for (const auto& entry : std::filesystem::directory_iterator(folder_)) {
      const auto kind = entry.path().extension();
      if (kind == ".ports" || kind == ".port" || kind == ".log" || kind == ".err")
        std::filesystem::remove(entry.path());
    }
    if (const auto& gate = day_.deployment.front.entitlement.token_validator;
        day_.deployment.front.entitlement.enabled) {
      const auto turns = static_cast<int>((day_.duration + 30s) / day_.issuer.rotation_interval) + 2;
      std::ofstream(folder_ + "/issuer.keys")
          << standins::Issuer::generate_keys(gate.issuer, gate.audience, turns).serialize();
    }
    const auto zero = runtime::Loop::machine_clock_us() + 1'500'000;  // for everybody to have started
    const auto zero_text = std::to_string(zero);
    Child boxes({"violettide", "boxes", words_.day, "--folder", folder_, "--zero-us", zero_text, "--ports-to",
                 folder_ + "/boxes.ports"},
                folder_ + "/boxes.err");
    const auto service_ports = ports_in(folder_ + "/boxes.ports", boxes);
    list_port_ = service_ports.at(day_.boxes.size());
    if (day_.deployment.front.has_catalogue)
      feed_port_ = service_ports.at(day_.boxes.size() + 1);
    // One secret for all managers of the day: an address must outlive the process that gave it out.
    if (day_.deployment.hls)
      std::ofstream(folder_ + "/hls.secrets") << "day " << day_.seed << " " << zero << "\n";
    if (day_.deployment.front.entitlement.enabled) {
      keys_port_ = service_ports.back();
      std::ofstream(folder_ + "/peers.key") << "day " << day_.seed << " " << zero << "\n";
      for (int i = 0; i < day_.manager_count; ++i)
        peer_ports_.push_back(free_port());
    }
    managers_.resize(static_cast<std::size_t>(day_.manager_count));
    ports_.resize(managers_.size());
    for (int i = 0; i < day_.manager_count; ++i) {
      start(i);
      ports_[i] = ports_in(port_file(i), managers_[i]).front();
    }
    std::vector<std::string> watch{"violettide", "viewers",   words_.day, "--folder",
                                   folder_,      "--zero-us", zero_text};
    for (int i = 0; i < day_.manager_count; ++i) {
      watch.push_back("--manager");
      watch.push_back(name(i) + ":" + hall(i) + ":" + std::to_string(ports_[i]));
    }
    Child viewers(watch, folder_ + "/viewers.err");
    std::vector<Deed> deeds = script();
    std::size_t next = 0;
    Duration longest{0};
    for (const auto& plan : day_.deployment.front.plans)
      longest = std::max(longest, plan.abandon_time);
    const auto give_up =
        zero + static_cast<std::uint64_t>((day_.duration + 4 * longest).count()) + 10'000'000;
    std::optional<int> over;
    while (!(over = viewers.ended())) {
      const auto now = runtime::Loop::machine_clock_us();
      while (next < deeds.size() && zero + static_cast<std::uint64_t>(deeds[next].at.count()) <= now)
        perform(deeds[next++]);
      for (std::size_t i = 0; i < managers_.size(); ++i) {
        if (down_[static_cast<int>(i)])
          continue;
        if (const auto code = managers_[i].ended())
          throw Unplayable{name(static_cast<int>(i)) + " ended by itself with " + std::to_string(*code) +
                           ": see " + folder_};
      }
      if (now > give_up)
        throw Unplayable{"the viewers did not end"};
      std::this_thread::sleep_for(look_every);
    }
    if (*over != 0)
      throw Unplayable{"the viewers ended with " + std::to_string(*over) + ": see " + folder_};
    const auto stopped = std::chrono::system_clock::now();
    for (auto& manager : managers_)
      manager.signal(SIGCONT), manager.signal(SIGTERM);
    for (std::size_t i = 0; i < managers_.size(); ++i) {
      const auto code = managers_[i].wait(stop_limit);
      if (!code || *code != 0)
        throw Unplayable{name(static_cast<int>(i)) + (code ? " ended with " + std::to_string(*code)
                                                           : std::string(" did not stop when asked"))};
    }
    boxes.signal(SIGTERM);
    const auto code = boxes.wait(stop_limit);
    if (!code || *code != 0)
      throw Unplayable{"the boxes ended with " + (code ? std::to_string(*code) : std::string("nothing")) +
                       ": see " + folder_};
    if (day_.deployment.front.entitlement.enabled)
      look_for_leaks(stopped);
    trace_.flush();
  }

 private:
  // What a manager's log still gave out long after its token's time when it was stopped, it had leaked.
  void look_for_leaks(std::chrono::system_clock::time_point stopped) {
    // A second for a stalled manager to catch up.
    const auto& skew = day_.deployment.front.entitlement.ledger.skew;
    const auto at = std::chrono::duration_cast<Duration>(stopped.time_since_epoch()) - skew - 1s;
    for (int i = 0; i < day_.manager_count; ++i) {
      for (const auto& odd :
           entitlement::find_anomalies(entitlement::SeatLog::read_records(folder_ + "/" + name(i)), at)) {
        trace::Passed leaked;
        leaked.set_at_us(runtime::Loop::machine_clock_us());
        leaked.set_kind(trace::Passed::LEAKED);
        leaked.set_manager(name(i));
        leaked.set_state(odd.record.key.team + " " + odd.record.key.viewer_session + ": " + odd.reason);
        trace_.put(leaked);
      }
    }
  }

  struct Deed {
    Duration at;
    enum class What { kill, start, stop, go_on } what;
    int manager;
    double size = 0;
  };
  std::string name(int i) const { return "manager-" + std::to_string(i); }
  std::string hall(int i) const {
    return day_.deployment.front.halls[static_cast<std::size_t>(i) % day_.deployment.front.halls.size()];
  }
  std::string port_file(int i) const { return folder_ + "/" + name(i) + ".port"; }

  void start(int i) {
    const auto keep = folder_ + "/" + name(i);
    std::filesystem::create_directories(keep);
    std::vector<std::string> words{
        "violettide",  "serve",
        "--settings",  words_.day,
        "--name",      name(i),
        "--hall",      hall(i),
        "--port",      std::to_string(ports_[i]),
        "--list-port", std::to_string(list_port_),
        "--fronts",    std::to_string(day_.manager_count),
        "--number",    std::to_string(i),
        "--keep-in",   keep,
        "--log",       folder_ + "/" + name(i) + ".log",
        "--ports-to",  port_file(i),
        "--seed",      std::to_string(day_.seed * 100 + static_cast<std::uint32_t>(i))};
    if (day_.deployment.hls) {
      words.push_back("--hls-secrets");
      words.push_back(folder_ + "/hls.secrets");
    }
    if (feed_port_ != 0) {
      words.push_back("--feed-port");
      words.push_back(std::to_string(feed_port_));
    }
    if (day_.deployment.front.entitlement.enabled) {
      words.insert(words.end(),
                   {"--keys-port", std::to_string(keys_port_), "--peers-key", folder_ + "/peers.key"});
      for (int p = 0; p < day_.manager_count; ++p) {
        words.push_back("--peer");
        words.push_back(name(p) + ":" + std::to_string(peer_ports_[static_cast<std::size_t>(p)]));
      }
    }
    put(trace::Passed::STARTED, i);
    managers_[i] = Child(words, folder_ + "/" + name(i) + ".err");
    down_[i] = false;
  }

  std::vector<Deed> script() const {
    std::vector<Deed> deeds;
    for (const auto& fault : day_.faults) {
      const auto count = static_cast<std::int64_t>(fault.targets.size());
      for (std::int64_t k = 0; k < count; ++k) {
        const int whom = fault.targets[static_cast<std::size_t>(k)];
        if (fault.kind == standins::FaultKind::roll) {
          const Duration at = fault.start + fault.duration * k / count;
          deeds.push_back({at, Deed::What::kill, whom});
          deeds.push_back(
              {at + Duration(static_cast<std::int64_t>(fault.magnitude * 1e6)), Deed::What::start, whom});
        } else if (fault.kind == standins::FaultKind::stall) {
          deeds.push_back(
              {fault.start, Deed::What::stop, whom, std::chrono::duration<double>(fault.duration).count()});
          deeds.push_back({fault.start + fault.duration, Deed::What::go_on, whom});
        }
      }
    }
    std::stable_sort(deeds.begin(), deeds.end(), [](auto& a, auto& b) { return a.at < b.at; });
    return deeds;
  }

  void perform(const Deed& deed) {
    switch (deed.what) {
      case Deed::What::kill:
        put(trace::Passed::KILLED, deed.manager);
        managers_[deed.manager].end_at_once();
        down_[deed.manager] = true;
        return;
      case Deed::What::start:
        return start(deed.manager);
      case Deed::What::stop:
        put(trace::Passed::STOOD_STILL, deed.manager, deed.size + 0.2);
        return managers_[deed.manager].signal(SIGSTOP);
      case Deed::What::go_on:
        return managers_[deed.manager].signal(SIGCONT);
    }
  }

  void put(trace::Passed::Kind kind, int manager, double value = 0) {
    trace::Passed record;
    record.set_at_us(runtime::Loop::machine_clock_us());
    record.set_kind(kind);
    record.set_manager(name(manager));
    record.set_value(value);
    trace_.put(record);
  }

  const DayWords& words_;
  const standins::Scenario& day_;
  std::string folder_;
  trace::Writer trace_;
  std::uint16_t list_port_ = 0, feed_port_ = 0, keys_port_ = 0;
  std::vector<std::uint16_t> peer_ports_;
  std::vector<Child> managers_;
  std::vector<std::uint16_t> ports_;
  std::map<int, bool> down_;
};

int audited(const standins::Scenario& day, const std::vector<std::string>& traces) {
  std::vector<trace::Passed> records;
  for (const auto& path : traces) {
    auto read = trace::read(path);
    if (read.cut_off)
      std::cerr << path << ": cut off after " << read.records.size() << " records\n";
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

int run_day(const DayWords& words) {
  auto read = standins::read_scenario(words.day);
  if (const auto* mistakes = std::get_if<settings::Mistakes>(&read)) {
    for (const auto& mistake : *mistakes)
      std::cerr << mistake.text() << '\n';
    return 1;
  }
  const auto day = std::get<standins::Scenario>(std::move(read));
  try {
    auto folder = words.folder;
    if (folder.empty()) {
      auto pattern = (std::filesystem::temp_directory_path() / "violettide-day-XXXXXX").string();
      if (!mkdtemp(pattern.data()))
        throw Unplayable{pattern + ": " + std::strerror(errno)};
      folder = pattern;
    }
    std::filesystem::create_directories(folder);
    std::cout << words.day << ": " << day.boxes.size() << " boxes, " << day.manager_count << " managers, "
              << std::chrono::duration<double>(day.duration).count() << " s, " << day.faults.size()
              << " troubles; traces in " << folder << std::endl;
    Played(words, day, folder).run();
    return audited(day, {folder + "/viewers.trace", folder + "/boxes.trace", folder + "/day.trace"});
  } catch (const entitlement::SeatLog::Error& failed) {
    std::cerr << "violettide: " << failed.what << '\n';
  } catch (const Unplayable& failed) {
    std::cerr << "violettide: " << failed.what << '\n';
  } catch (const trace::Failed& failed) {
    std::cerr << "violettide: " << failed.what << '\n';
  } catch (const std::filesystem::filesystem_error& failed) {
    std::cerr << "violettide: " << failed.what() << '\n';
  }
  return 2;
}

int run_audit(const AuditWords& words) {
  auto read = standins::read_scenario(words.day);
  if (const auto* mistakes = std::get_if<settings::Mistakes>(&read)) {
    for (const auto& mistake : *mistakes)
      std::cerr << mistake.text() << '\n';
    return 1;
  }
  try {
    return audited(std::get<standins::Scenario>(read), words.traces);
  } catch (const trace::Failed& failed) {
    std::cerr << "violettide: " << failed.what << '\n';
    return 2;
  }
}

}  // namespace violettide::cli
