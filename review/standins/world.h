// Stand-ins for the review cases: viewers, video servers and the command channel of one session manager, in one
// process and one thread, as PROTOCOL.md describes them. The session manager itself is started by the command of
// deploy/balancer.toml as a process of its own. Everything lies on loopback addresses of this run alone.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace review {

using Call = std::uint64_t;

inline std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Milliseconds since the start of this run, by the system's clock.
inline std::int64_t start_ms() {
  static const std::int64_t value = unix_ms();
  return value;
}
inline double now_ms() {
  return static_cast<double>(std::chrono::duration_cast<std::chrono::microseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count()) /
             1000 -
         static_cast<double>(start_ms());
}

// The record of what was sent, answered and run; a line each, with milliseconds since the start.
class Record {
 public:
  static Record& get() {
    static Record record;
    return record;
  }
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    if (!file_)
      return;
    std::fprintf(file_, "%9.1f ", now_ms());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::FILE* file_ = nullptr;
};
#define RECORD(...) ::review::Record::get().line(__VA_ARGS__)

inline std::string hex(Call call) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(call));
  return text;
}

// An address of this run alone; the last byte is the caller's.
inline std::string own_address(unsigned last) {
  const auto pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(64 + (pid >> 12 & 127)) + "." + std::to_string(pid >> 4 & 255) + "." +
         std::to_string((pid & 15) * 16 + (last & 15));
}
inline sockaddr_in socket_address(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = ::inet_addr(ip.c_str());
  return address;
}
inline int listen_at(const std::string& ip, std::uint16_t& port, int backlog = 256) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int reuse = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  auto address = socket_address(ip, port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, backlog) != 0) {
    ::close(fd);
    return -1;
  }
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}
inline int connect_to(const std::string& ip, std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const auto address = socket_address(ip, port);
  ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

class World;

// One TCP connection of a stand-in.
struct Link {
  int fd = -1;
  bool connecting = false;
  bool silent = false;  // neither read nor written: the machine behind it has vanished
  bool reset_on_input = false;  // of a machine that came back: it does not know this connection
  std::string in, out;
  std::function<void(Link&)> on_input;  // bytes were appended to `in`
  std::function<void(Link&)> on_close;  // ended by the peer
  bool dead = false;
  double opened_at = 0, used_at = 0;
  void send(const std::string& bytes) { out += bytes, used_at = now_ms(); }
};

// The event loop: links, listeners and timers.
class World {
 public:
  Link& add_link(int fd, bool connecting) {
    links_.push_back(std::make_unique<Link>());
    auto& link = *links_.back();
    link.fd = fd;
    link.connecting = connecting;
    link.opened_at = link.used_at = now_ms();
    return link;
  }
  void add_listener(int fd, std::function<void(int)> on_accept) { listeners_[fd] = std::move(on_accept); }
  void remove_listener(int fd) { listeners_.erase(fd); }
  void at(double ms, std::function<void()> action) { timers_.emplace(ms, std::move(action)); }
  void after(double ms, std::function<void()> action) { at(now_ms() + ms, std::move(action)); }
  // Closes from this side; `reset`: as a dying process does.
  void close(Link& link, bool reset) {
    if (link.dead)
      return;
    link.dead = true;
    if (reset) {
      const linger at_once{1, 0};
      ::setsockopt(link.fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    } else {
      flush(link);
    }
    ::close(link.fd);
  }
  void run_until(double until) {
    while (now_ms() < until) {
      while (!timers_.empty() && timers_.begin()->first <= now_ms()) {
        auto action = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        action();
      }
      for (auto& link : links_)
        flush(*link);
      std::erase_if(links_, [](const auto& link) { return link->dead; });
      std::vector<pollfd> polled;
      std::vector<Link*> of;
      for (const auto& [fd, action] : listeners_)
        polled.push_back({fd, POLLIN, 0}), of.push_back(nullptr);
      for (auto& link : links_) {
        if (link->silent)
          continue;
        const bool writing = link->connecting || !link->out.empty();
        polled.push_back({link->fd, static_cast<short>(POLLIN | (writing ? POLLOUT : 0)), 0});
        of.push_back(link.get());
      }
      double wait = until - now_ms();
      if (!timers_.empty())
        wait = std::min(wait, timers_.begin()->first - now_ms());
      ::poll(polled.data(), polled.size(), std::max(0, static_cast<int>(std::min(wait, 50.0))));
      for (std::size_t i = 0; i < polled.size(); ++i) {
        if (!polled[i].revents)
          continue;
        if (!of[i]) {
          const auto found = listeners_.find(polled[i].fd);
          if (found == listeners_.end())
            continue;
          const int fd = ::accept4(polled[i].fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
          if (fd >= 0) {
            const auto action = found->second;
            action(fd);
          }
          continue;
        }
        auto& link = *of[i];
        if (link.dead || link.silent)
          continue;
        if (link.connecting) {
          int error = 0;
          socklen_t size = sizeof error;
          ::getsockopt(link.fd, SOL_SOCKET, SO_ERROR, &error, &size);
          if (error) {
            ended(link);
            continue;
          }
          link.connecting = false;
          continue;
        }
        if (!(polled[i].revents & (POLLIN | POLLHUP | POLLERR)))
          continue;
        char bytes[65536];
        const auto count = ::recv(link.fd, bytes, sizeof bytes, 0);
        if (count > 0 && link.reset_on_input) {
          close(link, true);
        } else if (count > 0) {
          link.in.append(bytes, static_cast<std::size_t>(count));
          if (link.on_input)
            link.on_input(link);
        } else if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
          ended(link);
        }
      }
    }
  }

 private:
  void ended(Link& link) {
    if (link.dead)
      return;
    link.dead = true;
    ::close(link.fd);
    if (link.on_close)
      link.on_close(link);
  }
  void flush(Link& link) {
    if (link.fd < 0 || link.connecting || link.silent || link.out.empty())
      return;
    const auto count = ::send(link.fd, link.out.data(), link.out.size(), MSG_NOSIGNAL);
    if (count > 0)
      link.out.erase(0, static_cast<std::size_t>(count));
  }
  std::vector<std::unique_ptr<Link>> links_;
  std::map<int, std::function<void(int)>> listeners_;
  std::multimap<double, std::function<void()>> timers_;
};

// ---- binary messages ----

inline std::string parameter(int code, const std::string& value) {
  return std::string(1, static_cast<char>(code)) + static_cast<char>(value.size() >> 8) +
         static_cast<char>(value.size() & 255) + value;
}
inline std::string message(int type, Call call, const std::string& parameters = "") {
  std::string body(1, static_cast<char>(type));
  for (int shift = 56; shift >= 0; shift -= 8)
    body += static_cast<char>(call >> shift & 255);
  body += parameters;
  return std::string(1, static_cast<char>(body.size() >> 8)) + static_cast<char>(body.size() & 255) + body;
}
inline std::string cause(int value) { return parameter(171, std::string(1, static_cast<char>(value))); }

// ---- the video servers ----

// A video server: accepts what it is sent, keeps its sessions, answers tests with its load.
class Server {
 public:
  struct Session {
    Link* link = nullptr;  // of its set-up; null once that has closed
    bool standing = false;
    std::string title;
  };
  Server(World& world, std::string server_name, unsigned last_byte)
      : name(std::move(server_name)), world_(world) {
    ip = own_address(last_byte);
  }
  // Starts a process: it knows nothing of sessions before.
  void start() {
    fd_ = listen_at(ip, port);
    if (fd_ < 0) {
      std::fprintf(stderr, "cannot listen at %s:%u\n", ip.c_str(), port);
      std::exit(2);
    }
    alive = true;
    world_.add_listener(fd_, [this](int fd) { accepted(fd); });
    RECORD("server %s: a process starts at %s:%u", name.c_str(), ip.c_str(), port);
    const int life = ++life_;
    note_tick(life);
  }
  // The process dies: its connections are reset, its sessions are cut, new connections are refused.
  void die() {
    RECORD("server %s: the process dies with %zu sessions", name.c_str(), sessions.size());
    alive = false;
    ++life_;
    world_.remove_listener(fd_);
    ::close(fd_);
    for (auto* link : links_)
      world_.close(*link, true);
    links_.clear();
    cut_all();
  }
  // The machine vanishes: open connections stay open and silent, new ones never come up.
  void vanish() {
    RECORD("server %s: the machine vanishes with %zu sessions", name.c_str(), sessions.size());
    alive = false;
    ++life_;
    world_.remove_listener(fd_);
    ::listen(fd_, 0);  // the queue of connections is filled, so that the kernel drops further ones
    for (int i = 0; i < 3; ++i)
      fillers_.push_back(connect_to(ip, port));
    for (auto* link : links_)
      link->silent = true;
    cut_all();
  }
  // The machine is back with a new process, which resets connections of the time before when it hears on them.
  void come_back() {
    for (const int fd : fillers_)
      ::close(fd);
    fillers_.clear();
    ::close(fd_);
    for (auto* link : links_) {
      link->silent = false;
      link->reset_on_input = true;
      link->on_close = nullptr;
    }
    links_.clear();
    start();
  }
  // All connections are reset, as by a device on the way; the process and its sessions go on.
  void reset_links() {
    RECORD("server %s: its connections are reset", name.c_str());
    for (auto* link : std::set<Link*>(links_)) {
      world_.close(*link, true);
      if (link->on_close)
        link->on_close(*link);
    }
  }
  void end_session(Call call, int why) {
    const auto found = sessions.find(call);
    if (found == sessions.end())
      return;
    auto* link = found->second.link ? found->second.link : links_.empty() ? nullptr : *links_.begin();
    sessions.erase(found);
    RECORD("server %s: release of %s, cause %d", name.c_str(), hex(call).c_str(), why);
    unheard_[call] = why;  // sent on the next connection too
    if (link)
      link->send(message(12, call, cause(why)));
  }

  std::string name, ip;
  std::uint16_t port = 0;
  std::string zone = "hall-a", kind = "std-2core";
  int cell = 0;
  std::int64_t since_ms = 0;
  std::string status = "Ready";
  bool alive = false;
  double note_every_ms = 1000;  // of the share delivered
  std::string share = "0.97";
  double answer_after_ms = 15;  // of a set-up
  std::map<Call, Session> sessions;
  std::map<Call, double> cut_at;  // sessions that ended with a process, and when
  std::function<void(Server&, Call)> on_set_up;
  std::function<void(Server&, Link&, int, Call)> on_message;  // each message, before it is handled
  // Answers a set-up in a way of its own; false: the usual way.
  std::function<bool(Server&, Link&, Call)> answers_otherwise;
  std::size_t set_ups = 0;

 private:
  void cut_all() {
    for (const auto& [call, session] : sessions) {
      if (session.standing)
        cut_at[call] = now_ms();
    }
    sessions.clear();
    unheard_.clear();
  }
  void note_tick(int life) {
    if (life != life_)
      return;
    std::size_t i = 0;
    for (const auto& [call, session] : sessions) {
      if (!session.standing)
        continue;
      // Each session's note comes at its own moment of the interval.
      world_.after(note_every_ms * static_cast<double>(i++ % 8) / 8, [this, life, call = call] {
        const auto found = sessions.find(call);
        if (life != life_ || found == sessions.end() || share.empty())
          return;
        auto* link = found->second.link ? found->second.link : links_.empty() ? nullptr : *links_.begin();
        if (link)
          link->send(message(44, call, parameter(150, "kept_up") + parameter(165, share)));
      });
    }
    world_.after(note_every_ms, [this, life] { note_tick(life); });
  }
  void accepted(int fd) {
    auto& link = world_.add_link(fd, false);
    links_.insert(&link);
    for (const auto& [call, why] : unheard_)
      link.send(message(12, call, cause(why)));
    unheard_.clear();
    link.on_input = [this](Link& from) { read(from); };
    link.on_close = [this](Link& closed) {
      links_.erase(&closed);
      for (auto it = sessions.begin(); it != sessions.end();) {
        if (it->second.link == &closed && !it->second.standing) {
          it = sessions.erase(it);  // the set-ups open on it are given up
          continue;
        }
        if (it->second.link == &closed)
          it->second.link = nullptr;
        ++it;
      }
    };
  }
  void read(Link& link) {
    while (link.in.size() >= 2 && !link.dead) {
      const auto length = static_cast<std::size_t>(static_cast<unsigned char>(link.in[0])) << 8 |
                          static_cast<unsigned char>(link.in[1]);
      if (link.in.size() < 2 + length)
        return;
      const auto body = link.in.substr(2, length);
      link.in.erase(0, 2 + length);
      Call call = 0;
      for (int i = 1; i <= 8; ++i)
        call = call << 8 | static_cast<unsigned char>(body[static_cast<std::size_t>(i)]);
      std::map<int, std::string> parameters;
      for (std::size_t at = 9; at + 3 <= body.size();) {
        const int code = static_cast<unsigned char>(body[at]);
        const auto size = static_cast<std::size_t>(static_cast<unsigned char>(body[at + 1])) << 8 |
                          static_cast<unsigned char>(body[at + 2]);
        parameters[code] = body.substr(at + 3, size);
        at += 3 + size;
      }
      handle(link, static_cast<unsigned char>(body[0]), call, parameters);
    }
  }
  void handle(Link& link, int type, Call call, std::map<int, std::string>& parameters) {
    if (on_message)
      on_message(*this, link, type, call);
    if (type == 1) {
      ++set_ups;
      RECORD("server %s: set-up of %s, title %s, rung %s", name.c_str(), hex(call).c_str(),
             parameters[141].c_str(), parameters[162].c_str());
      sessions[call] = {&link, false, parameters[141]};
      if (on_set_up)
        on_set_up(*this, call);
      if (answers_otherwise && answers_otherwise(*this, link, call))
        return;
      const int life = life_;
      world_.after(answer_after_ms, [this, life, call] {
        const auto found = sessions.find(call);
        if (life != life_ || found == sessions.end() || found->second.standing || !found->second.link)
          return;
        found->second.standing = true;
        found->second.link->send(message(9, call, parameter(174, "v=0 " + name + " " + hex(call))));
        RECORD("server %s: answer to %s, it stands", name.c_str(), hex(call).c_str());
      });
    } else if (type == 12) {
      const bool known = sessions.erase(call) > 0;
      RECORD("server %s: release of %s heard%s", name.c_str(), hex(call).c_str(), known ? "" : ", not known");
      link.send(message(16, call));
    } else if (type == 52) {
      char load[32];
      std::snprintf(load, sizeof load, "busy:%.2f", std::min(1.0, 0.05 * static_cast<double>(sessions.size())));
      link.send(message(53, call, cause(1) + parameter(156, load)));
    } else if (type == 60 && !sessions.contains(call)) {
      RECORD("server %s: a rung for %s, which it does not know", name.c_str(), hex(call).c_str());
    }
  }
  World& world_;
  int fd_ = -1;
  int life_ = 0;
  std::set<Link*> links_;
  std::vector<int> fillers_;
  std::map<Call, int> unheard_;
};

inline std::string entry(const Server& server) {
  return R"({"name":")" + server.name + R"(","address":")" + server.ip + ":" + std::to_string(server.port) +
         R"(","zone":")" + server.zone + R"(","type":")" + server.kind + R"(","group":)" +
         std::to_string(server.cell) +
         R"(,"status":")" + server.status + R"(","weight":1,"since_ms":)" + std::to_string(server.since_ms) + "}";
}

// ---- the command channel ----

class Channel {
 public:
  Channel(World& world, unsigned last_byte) : world_(world) {
    ip = own_address(last_byte);
    fd_ = listen_at(ip, port);
    world.add_listener(fd_, [this](int fd) {
      auto& link = world_.add_link(fd, false);
      link.on_input = [this](Link& from) {
        unsigned long long last = 0;
        if (from.in.find('\n') == std::string::npos ||
            std::sscanf(from.in.c_str(), "resume %llu", &last) != 1)
          return;
        from.in.clear();
        for (std::size_t i = last; i < events.size(); ++i)
          from.send(events[i] + "\n");
        followers_.insert(&from);
      };
      link.on_close = [this](Link& closed) { followers_.erase(&closed); };
    });
    tick();
  }
  // The list as a whole, or changes of it, as the next event.
  void tell(const std::vector<const Server*>& servers, bool snapshot = false) {
    std::string entries;
    for (const auto* server : servers)
      entries += (entries.empty() ? "" : ",") + entry(*server);
    events.push_back(R"({"cursor":)" + std::to_string(events.size() + 1) + R"(,"nodes":{"index":)" +
                     std::to_string(events.size() + 1) + R"(,"snapshot":)" + (snapshot ? "true" : "false") +
                     R"(,"endpoints":[)" + entries + "]}}");
    RECORD("channel: %s", events.back().c_str());
    for (auto* follower : followers_) {
      if (!silent)
        follower->send(events.back() + "\n");
    }
  }
  std::string known() const {
    std::string all;
    for (const auto& event : events)
      all += (all.empty() ? "" : ",") + event;
    return R"({"cursor":)" + std::to_string(events.size()) + R"(,"cmds":[)" + all + "]}";
  }
  // Ends all its connections; it goes on listening.
  void break_off() {
    RECORD("channel: breaks off");
    for (auto* follower : std::set<Link*>(followers_))
      world_.close(*follower, true);
    followers_.clear();
  }
  // Stops accepting connections, as the old address does after a new configuration.
  void stop_listening() {
    world_.remove_listener(fd_);
    ::close(fd_);
  }
  std::string ip;
  std::uint16_t port = 0;
  std::vector<std::string> events;
  bool silent = false;  // open connections get nothing

 private:
  void tick() {
    if (silent)
      return world_.after(1000, [this] { tick(); });
    for (auto* follower : followers_)
      follower->send(std::to_string(events.size()) + "\n");
    world_.after(1000, [this] { tick(); });
  }
  World& world_;
  int fd_ = -1;
  std::set<Link*> followers_;
};

// ---- the session manager ----

// The process that `run` of deploy/balancer.toml starts.
class Manager {
 public:
  Manager(World& world, unsigned last_byte, std::string root) : world_(world), root_(std::move(root)) {
    ip = own_address(last_byte);
    const int fd = listen_at(ip, port);  // a free port, released for the process
    ::close(fd);
    std::string folder = (std::getenv("TMPDIR") ? std::getenv("TMPDIR") : "/tmp");
    folder += "/violettide-review-XXXXXX";
    if (!::mkdtemp(folder.data()))
      std::exit(2);
    folder_ = folder;
  }
  ~Manager() {
    kill(SIGKILL);
    (void)!std::system(("rm -rf '" + folder_ + "'").c_str());
  }
  void write_config(const Channel& channel) {
    std::FILE* file = std::fopen((folder_ + "/config.new").c_str(), "w");
    std::fprintf(file,
                 R"({"name":"n1","listen":"%s:%u","seed":"%llx","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},)"
                 R"("channel":"%s:%u","known":%s,"settings":%s})",
                 ip.c_str(), port, static_cast<unsigned long long>(unix_ms()), memory_mb, sockets,
                 channel.ip.c_str(), channel.port, channel.known().c_str(), settings.c_str());
    std::fclose(file);
    std::rename((folder_ + "/config.new").c_str(), (folder_ + "/config.json").c_str());
  }
  void start(const Channel& channel) {
    write_config(channel);
    pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with this process, whatever ends that
      ::setenv("GW_NAME", "n1", 1);
      ::setenv("GW_LISTEN", (ip + ":" + std::to_string(port)).c_str(), 1);
      ::setenv("GW_CONFIG", (folder_ + "/config.json").c_str(), 1);
      ::setenv("TMPDIR", folder_.c_str(), 1);
      if (::chdir(root_.c_str()) != 0)
        ::_exit(127);
      const auto path = copy_log_to_record ? folder_ + "/log" : std::string("/dev/null");
      const int log = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::execl("/bin/sh", "sh", "-c", "exec build/violettide platform", nullptr);
      ::_exit(127);
    }
    RECORD("manager: started");
    for (int i = 0; i < 200; ++i) {
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const auto address = socket_address(ip, port);
      const bool up = ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
      ::close(fd);
      if (up)
        return;
      ::usleep(20000);
    }
    std::fprintf(stderr, "the session manager does not listen\n");
    std::exit(2);
  }
  void kill(int number) {
    if (pid <= 0)
      return;
    ::kill(pid, number);
    if (number == SIGKILL)
      ::waitpid(pid, nullptr, 0), pid = 0;
  }
  // True while the process runs; else `exit_status` holds what waitpid() told.
  bool running() {
    if (pid > 0 && ::waitpid(pid, &exit_status, WNOHANG) == pid)
      pid = 0;
    return pid > 0;
  }
  // User and system time of the process so far.
  std::string cpu_time() const {
    std::FILE* file = std::fopen(("/proc/" + std::to_string(pid) + "/stat").c_str(), "r");
    unsigned long user = 0, system = 0;
    if (file) {
      (void)!std::fscanf(file, "%*d %*s %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &system);
      std::fclose(file);
    }
    char text[32];
    std::snprintf(text, sizeof text, "%.2f s",
                  static_cast<double>(user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK)));
    return text;
  }
  // Appends the last lines of the process's log to the record.
  void finish_log() {
    std::FILE* file = std::fopen((folder_ + "/log").c_str(), "r");
    if (!file)
      return;
    std::vector<std::string> lines;
    char line[2000];
    while (std::fgets(line, sizeof line, file)) {
      lines.emplace_back(line);
      lines.back().erase(lines.back().find_last_not_of('\n') + 1);
    }
    std::fclose(file);
    for (std::size_t i = lines.size() > 12 ? lines.size() - 12 : 0; i < lines.size(); ++i)
      RECORD("log of the session manager: %s", lines[i].c_str());
  }
  long resident_kb() const {
    std::FILE* file = std::fopen(("/proc/" + std::to_string(pid) + "/statm").c_str(), "r");
    long total = 0, resident = 0;
    if (file) {
      (void)!std::fscanf(file, "%ld %ld", &total, &resident);
      std::fclose(file);
    }
    return resident * (::sysconf(_SC_PAGESIZE) / 1024);
  }
  std::string ip;
  std::uint16_t port = 0;
  int memory_mb = 192, sockets = 1024;
  std::string settings;
  bool copy_log_to_record = false;  // by finish_log()
  pid_t pid = 0;
  int exit_status = 0;

 private:
  World& world_;
  std::string root_, folder_;
};

// Settings of a small deployment: the figures of replay-main's size, as the wire page names them.
inline std::string small_settings(int cells, int balancers) {
  return R"({"KindOfService":"streams","Balancers":)" + std::to_string(balancers) +
         R"(,"Me":0,"Locality":0,"Zones":["hall-a","hall-b","hall-c"],"Models":["std-2core"],)"
         R"("Classes":[{"Name":"triage","Aim":1500000,"GiveUp":5000000,"Group":"all","Idempotency":"free",)"
         R"("LateShare":0.0,"Stream":true,"Window":5000000,"Worth":1.0},)"
         R"({"Name":"escalation","Aim":800000,"GiveUp":4000000,"Group":"all","Idempotency":"free",)"
         R"("LateShare":0.0,"Stream":true,"Window":5000000,"Worth":2.0}],"Discovery":"push",)"
         R"("FamilyInfo":{"AllLinksKb":111952.0,"Cabinets":2,"ClassTop":[4,4],"Guard":1.0,"Join":1.0,)"
         R"("KbPerWeight":9329.0,"KindSlots":[35],"Live":[false,false],"LowestRung":[0,1],"Places":)" +
         std::to_string(cells) +
         R"(,"RatesKb":[174.0,319.0,584.0,1071.0,1965.0],"ScaleByClass":[1.0,1.0],"Seats":[0,0],)"
         R"("SeenAfter":779248,"ShortfallCost":7.0,"SwitchCostS":0.82,"Tell":0,"UplinkKb":44781.0,)"
         R"("WorthByRung":[0.24,0.46,0.65,0.83,1.0]},)"
         R"("Limits":{"Cancel":true,"ConnIdle":15000000,"CpuUsPerS":500000,"DialTimeout":250000,)"
         R"("MaxRetryAfter":1000000,"MayDuplicate":false,"MayProbe":true,"Peers":false,"RetryAfter":true,)"
         R"("SendCap":5,"StreamsPerConn":32},"Prices":{"CrossZone":0.032,"LateFail":0.035,"Moves":0.2,)"
         R"("Probe":0.0087},"Report":{"Fields":"busy","Via":"probe"},"Rules":{"Cold":12000000,"ColdFrom":0.4,)"
         R"("DrainGrace":2000000,"Fall":3000000,"GraceToAnswer":40000,"OverloadFactor":3.0},"Weights":"none"})";
}

// The same for a deployment of manila-lessons' size: one site, two kinds of server, seats, a try budget.
inline std::string lessons_settings(int cells, int balancers) {
  return R"({"KindOfService":"streams","Balancers":)" + std::to_string(balancers) +
         R"(,"Me":0,"Locality":0,"Zones":["quezon-city"],"Models":["two-core","three-core"],)"
         R"("Classes":[{"Name":"live-class","Aim":1000000,"GiveUp":3000000,"Group":"all","Idempotency":"free",)"
         R"("LateShare":0.0,"Stream":true,"Window":5000000,"Worth":2.0},)"
         R"({"Name":"recorded-lesson","Aim":1000000,"GiveUp":5000000,"Group":"all","Idempotency":"free",)"
         R"("LateShare":0.0,"Stream":true,"Window":5000000,"Worth":1.0}],"Discovery":"push",)"
         R"("FamilyInfo":{"AllLinksKb":160000.0,"Cabinets":1,"ClassTop":[4,3],"Guard":1.0,"Join":1.0,)"
         R"("KbPerWeight":26000.0,"KindSlots":[24,36],"Live":[true,false],"LowestRung":[1,0],"Places":)" +
         std::to_string(cells) +
         R"(,"RatesKb":[230.0,400.0,740.0,1300.0,2200.0],"ScaleByClass":[1.2,1.0],"Seats":[12,0],)"
         R"("SeenAfter":900000,"ShortfallCost":7.0,"SwitchCostS":0.6,"Tell":0,"UplinkKb":160000.0,)"
         R"("WorthByRung":[0.22,0.45,0.65,0.83,1.0]},)"
         R"("Limits":{"Cancel":true,"ConnIdle":30000000,"CpuUsPerS":500000,"DialTimeout":250000,)"
         R"("MaxRetryAfter":1000000,"MayDuplicate":false,"MayProbe":true,"Peers":false,"RetryAfter":true,)"
         R"("SendCap":5,"StreamsPerConn":100},"Prices":{"CrossZone":0.0,"LateFail":0.08,"Moves":0.2,)"
         R"("Probe":0.011},"Report":{"Fields":"busy","Via":"probe"},"Rules":{"Cold":12000000,"ColdFrom":0.4,)"
         R"("DrainGrace":500000,"ExtraFree":3,"ExtraShare":0.1,"Fall":1500000,"GraceToAnswer":40000,)"
         R"("OverloadFactor":2.0,"RatioSpan":5000000},"Weights":"none"})";
}

// ---- viewers ----

// The viewers' side: connections that carry several sessions each, and what became of every set-up.
class Viewers {
 public:
  struct Session {
    double sent_at = 0, left = 0;
    int answers = 0;       // final answers to the set-up
    double answered_at = -1, ended_at = -1;
    bool stands = false;   // from the answer to the release
    bool given_up = false;
    bool lost = false;     // its connection ended with no answer
    bool not_taken = false;  // its connection never came up
    int why = -1;
    std::string desc;
    Link* link = nullptr;
  };
  Viewers(World& world, Manager& manager) : world_(world), manager_(manager), random_(std::random_device{}()) {}
  Call new_call() { return static_cast<Call>(random_()) << 32 | random_(); }
  Link& open() {
    auto& link = world_.add_link(connect_to(manager_.ip, manager_.port), true);
    links_.insert(&link);
    link.on_input = [this](Link& from) { read(from); };
    link.on_close = [this](Link& closed) {
      links_.erase(&closed);
      for (auto& [call, session] : sessions) {
        if (session.link != &closed)
          continue;
        session.link = nullptr;
        if (session.answers > 0 || session.given_up)
          continue;
        // A request is taken once its last byte is written to a connection that was accepted.
        if (closed.connecting || !closed.out.empty()) {
          session.not_taken = true;
          continue;
        }
        session.lost = true;
        RECORD("viewer: the connection of %s ended with no answer", hex(call).c_str());
      }
    };
    return link;
  }
  // A connection that is open and carries fewer than `most` sessions, or a new one.
  Link& some_link(std::size_t most = 16) {
    for (auto* link : links_) {
      std::size_t carried = 0;
      for (const auto& [call, session] : sessions)
        carried += session.link == link && (session.stands || session.answers == 0) ? 1 : 0;
      if (carried > 0 && carried < most && !link->dead)
        return *link;
    }
    return open();
  }
  Call offer(const std::string& plan, const std::string& title, int home, int copies, int left_ms,
             const std::string& at = "", Call call = 0) {
    if (call == 0)
      call = new_call();
    auto& link = some_link();
    auto& session = sessions[call];
    session = {};
    session.sent_at = now_ms();
    session.left = left_ms;
    session.link = &link;
    if (!at.empty())
      session.answers = 1, session.stands = true, session.answered_at = now_ms();
    link.send(R"({"op":"offer","call":")" + hex(call) + R"(","with":{"class":")" + plan + R"(","left":")" +
              std::to_string(left_ms) + R"(","key":")" + title + R"(","hint":"30000.0","extras":"home:)" +
              std::to_string(home) + ";copies:" + std::to_string(copies) + ";top:4;viewer:" + hex(call) +
              (at.empty() ? "" : ";at:" + at) + R"("},"desc":"v=0\r\n"})" + "\n");
    RECORD("viewer: offer %s, %s, title %s%s", hex(call).c_str(), plan.c_str(), title.c_str(),
           at.empty() ? "" : (", at " + at).c_str());
    if (at.empty()) {
      world_.after(left_ms + wait_longer_ms, [this, call] {
        auto& waiting = sessions.at(call);
        if (waiting.answers == 0 && !waiting.lost && !waiting.not_taken)
          give_up(call);
      });
    }
    return call;
  }
  void give_up(Call call) {
    auto& session = sessions.at(call);
    session.given_up = true;
    RECORD("viewer: gives %s up", hex(call).c_str());
    end_line(call, session);
  }
  // The viewer ends a session that stands.
  void end(Call call) {
    auto& session = sessions.at(call);
    if (!session.stands)
      return;
    session.stands = false;
    session.ended_at = now_ms();
    RECORD("viewer: ends %s", hex(call).c_str());
    end_line(call, session);
  }
  // How long after its time a viewer still listens for the answer, before it gives the set-up up.
  double wait_longer_ms = 0;
  std::map<Call, Session> sessions;
  std::function<void(Call, Session&)> on_accept, on_end;

 private:
  void end_line(Call call, Session& session) {
    auto& link = session.link ? *session.link : some_link();
    link.send(R"({"op":"end","call":")" + hex(call) + R"(","with":{},"why":16})" + "\n");
  }
  static std::string member(const std::string& line, const std::string& name) {
    const auto at = line.find("\"" + name + "\":");
    if (at == std::string::npos)
      return "";
    auto from = at + name.size() + 3;
    if (line[from] == '"')
      return line.substr(from + 1, line.find('"', from + 1) - from - 1);
    return line.substr(from, line.find_first_of(",}", from) - from);
  }
  void read(Link& link) {
    for (std::size_t end = 0; (end = link.in.find('\n')) != std::string::npos;) {
      const auto line = link.in.substr(0, end);
      link.in.erase(0, end + 1);
      const auto op = member(line, "op");
      const Call call = std::strtoull(member(line, "call").c_str(), nullptr, 16);
      if (op == "ended" || op == "tested" || op == "ringing")
        continue;
      RECORD("viewer: heard %s", line.c_str());
      const auto found = sessions.find(call);
      if (found == sessions.end())
        continue;
      auto& session = found->second;
      if (op == "accept") {
        ++session.answers;
        session.answered_at = now_ms();
        session.desc = member(line, "desc");
        if (!session.given_up) {
          session.stands = true;
          if (on_accept)
            on_accept(call, session);
        }
      } else if (op == "end" || op == "redirect") {
        if (session.stands) {
          session.stands = false;
          session.ended_at = now_ms();
        } else if (session.ended_at < 0) {
          ++session.answers;
          session.answered_at = now_ms();
        }
        session.why = std::atoi(member(line, "why").c_str());
        if (on_end)
          on_end(call, session);
      }
    }
  }
  World& world_;
  Manager& manager_;
  std::mt19937 random_;
  std::set<Link*> links_;
};

}  // namespace review
