// A deterministic network and clock in memory, which runs cores against each other. Events are delivered by
// time, then by order of sending; nothing depends on the machine's clock.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "io/io.h"

namespace violettide::testing {

using namespace std::chrono_literals;

// Drives any number of cores, one per host, as the runtime drives one.
class Network {
 public:
  Duration latency = 200us;
  std::vector<std::pair<int, LogLine>> log_lines;  // with the host
  std::vector<std::string> persisted;              // by all hosts
  std::map<int, std::vector<std::string>> persisted_by;
  std::function<bool(int from, int to)> drops;  // messages to drop, as in a partition
  Duration persist_time = 2ms;
  std::string persist_error;  // with which each Persist fails from now on; empty: it succeeds

  // Adds a host that listens on `listeners` ports, from HOST * 1000 + 1 on. Returns its number.
  int add(Core& core, int listeners) {
    const int host = static_cast<int>(hosts_.size());
    hosts_.push_back({&core, {}, {}, first_accepted, true, Duration(-1), 0});
    for (int i = 0; i < listeners; ++i)
      hosts_[host].listening.insert(i);
    post(now_, host, TimerFired{});
    return host;
  }
  static std::uint16_t port(int host, int listener = 0) {
    return static_cast<std::uint16_t>(host * 1000 + listener + 1);
  }
  // Starts another process on a host.
  void replace(int host, Core& core, int listeners = 1) {
    hosts_[host].core = &core;
    hosts_[host].alive = true;
    for (int listener = 0; listener < listeners; ++listener)
      hosts_[host].listening.insert(listener);
    post(now_, host, TimerFired{});
  }
  // Ends the process at once: its peers' connections are reset, and its ports refuse new ones.
  void kill(int host) {
    hosts_[host].alive = false;
    hosts_[host].listening.clear();
    std::vector<ConnectionId> all;
    for (const auto& [connection, far_end] : hosts_[host].connections)
      all.push_back(connection);
    for (const auto connection : all)
      cut(host, connection, CloseReason::reset);
  }
  // Suspends the process until then; events wait meanwhile.
  void suspend(int host, Duration until) { hosts_[host].suspended_until = until; }
  void wake(int host) { post(now_, host, TimerFired{}); }
  void request_shutdown(int host) { post(now_, host, ShutdownRequested{}); }
  // Bytes sent to a host that it has not read while its reading is paused.
  std::size_t unread_bytes(int host) const {
    std::size_t bytes = 0;
    for (const auto& [connection, far_end] : hosts_[host].connections)
      bytes += far_end.unread.size();
    return bytes;
  }
  bool stopped(int host) const { return !hosts_[host].alive; }
  Duration now() const { return now_; }
  std::optional<std::string> file(int host, const std::string& name) const {
    const auto found = files_.find({host, name});
    return found == files_.end() ? std::nullopt : std::optional(found->second);
  }

  void run(Duration until) {
    while (!events_.empty() && events_.begin()->first.first <= until) {
      auto [key, event] = std::move(*events_.begin());
      events_.erase(events_.begin());
      now_ = std::max(now_, key.first);
      auto& host = hosts_[event.host];
      if (!host.alive)
        continue;
      if (!event.bytes.empty() && std::holds_alternative<TimerFired>(event.what) && key.second != host.timer)
        continue;
      if (now_ < host.suspended_until) {
        events_.emplace(std::pair(host.suspended_until, key.second), std::move(event));
        continue;
      }
      deliver(event);
    }
    now_ = until;
  }

 private:
  struct FarEnd {
    int host = 0;
    ConnectionId connection = 0;
    bool paused = false;
    std::string unread = {};  // bytes received while reading is paused
    bool half_close_unread = false;
  };
  struct Host {
    Core* core;
    std::set<int> listening;
    std::map<ConnectionId, FarEnd> connections;  // by own connection: the far end
    ConnectionId next;
    bool alive;
    Duration suspended_until;
    std::uint64_t timer = 0;
  };
  struct Event {
    int host = 0;
    IoEvent what;
    std::string bytes;
  };

  void post(Duration at, int host, IoEvent what, std::string bytes = {}) {
    events_.emplace(std::pair(at, sequence_++), Event{host, std::move(what), std::move(bytes)});
  }

  void deliver(Event& event) {
    auto& host = hosts_[event.host];
    if (auto* received = std::get_if<Received>(&event.what)) {
      const auto far_end = host.connections.find(received->connection);
      if (far_end == host.connections.end())
        return;
      if (far_end->second.paused) {
        far_end->second.unread += event.bytes;
        return;
      }
      received->bytes = event.bytes;
      const auto& far = far_end->second;
      post(now_, far.host, Flushed{far.connection});
    } else if (const auto* half = std::get_if<HalfClosed>(&event.what)) {
      const auto far_end = host.connections.find(half->connection);
      if (far_end == host.connections.end())
        return;
      if (far_end->second.paused) {
        far_end->second.half_close_unread = true;
        return;
      }
    } else if (const auto* ended = std::get_if<Disconnected>(&event.what)) {
      if (!host.connections.erase(ended->connection))
        return;
    } else if (const auto* flushed = std::get_if<Flushed>(&event.what)) {
      if (!host.connections.contains(flushed->connection))
        return;
    }
    std::vector<Action> actions;
    host.core->handle(now_, event.what, actions);
    for (auto& action : actions)
      perform(event.host, action);
  }

  void perform(int at, Action& action) {
    auto& host = hosts_[at];
    std::visit(
        Overloaded{
            [&](Dial& a) {
              const int far = (a.port - 1) / 1000, listener = (a.port - 1) % 1000;
              if (far >= static_cast<int>(hosts_.size()) || !hosts_[far].listening.contains(listener)) {
                host.connections[a.connection] = {at, 0};
                return post(now_ + latency, at, Disconnected{a.connection, CloseReason::refused});
              }
              const ConnectionId theirs = hosts_[far].next++;
              host.connections[a.connection] = {far, theirs};
              hosts_[far].connections[theirs] = {at, a.connection};
              post(now_ + latency, far, Accepted{theirs, listener});
              post(now_ + 2 * latency, at, Connected{a.connection});
            },
            [&](Send& a) {
              const auto far_end = host.connections.find(a.connection);
              if (far_end == host.connections.end() || (drops && drops(at, far_end->second.host)))
                return;
              post(now_ + latency, far_end->second.host, Received{far_end->second.connection, {}},
                   std::move(a.bytes));
            },
            [&](Close& a) {
              const auto far_end = host.connections.find(a.connection);
              if (far_end == host.connections.end())
                return;
              const auto far = far_end->second;
              host.connections.erase(far_end);
              if (far.connection == 0)
                return;
              if (a.after_sending)
                post(now_ + latency, far.host, HalfClosed{far.connection});
              else
                post(now_ + latency, far.host, Disconnected{far.connection, CloseReason::reset});
            },
            [&](FinishSending& a) {
              const auto far_end = host.connections.find(a.connection);
              if (far_end != host.connections.end())
                post(now_ + latency, far_end->second.host, HalfClosed{far_end->second.connection});
            },
            [&](PauseReading& a) {
              if (const auto far_end = host.connections.find(a.connection); far_end != host.connections.end())
                far_end->second.paused = true;
            },
            [&](ResumeReading& a) {
              const auto found = host.connections.find(a.connection);
              if (found == host.connections.end() || !found->second.paused)
                return;
              auto& far_end = found->second;
              far_end.paused = false;
              if (!far_end.unread.empty())
                post(now_, at, Received{a.connection, {}}, std::exchange(far_end.unread, {}));
              if (std::exchange(far_end.half_close_unread, false))
                post(now_, at, HalfClosed{a.connection});
            },
            [&](StartTimer& a) {  // replaces an earlier one
              host.timer = sequence_;
              post(std::max(now_, a.at), at, TimerFired{}, "wake");
            },
            [&](Listen& a) { host.listening.insert(a.listener); },
            [&](StopListening& a) { host.listening.erase(a.listener); },
            [&](WriteFile& a) {
              files_[{at, a.name}] = a.bytes;
            },
            [&](Persist& a) {
              persisted.push_back(a.bytes);
              if (persist_error.empty())
                persisted_by[at].push_back(a.bytes);
              const auto error = persist_error;
              post(now_ + persist_time, at, Persisted{a.ticket, error});
            },
            [&](LogLine& a) { log_lines.emplace_back(at, a); },
            [&](DrainInput&) {
              post(now_, at, InputDrained{});
            },  // after the events already due at this time
            [&](StopLoop&) { kill(at); },
        },
        action);
  }

  void cut(int host, ConnectionId connection, CloseReason reason) {
    const auto far_end = hosts_[host].connections.find(connection);
    if (far_end == hosts_[host].connections.end())
      return;
    const auto far = far_end->second;
    hosts_[host].connections.erase(far_end);
    if (far.connection != 0)
      post(now_ + latency, far.host, Disconnected{far.connection, reason});
  }

  std::deque<Host> hosts_;
  std::multimap<std::pair<Duration, std::uint64_t>, Event> events_;
  std::map<std::pair<int, std::string>, std::string> files_;
  std::uint64_t sequence_ = 0;
  Duration now_{0};
};

// A peer that a test controls: it records what it receives and performs the actions it is given.
class ScriptedPeer : public Core {
 public:
  struct Peer {
    std::string got;
    bool connected = false, half_closed = false, ended = false;
  };
  std::map<ConnectionId, Peer> peers;
  std::vector<ConnectionId> accepted;  // in order
  std::vector<Action> next;            // performed at its next event
  std::function<void(ScriptedPeer&, ConnectionId, std::vector<Action>&)> on_bytes;

  void handle(Duration, const IoEvent& event, std::vector<Action>& actions) override {
    std::visit(Overloaded{
                   [&](const Accepted& a) { peers[a.connection], accepted.push_back(a.connection); },
                   [&](const Connected& c) { peers[c.connection].connected = true; },
                   [&](const Received& r) {
                     peers[r.connection].got += r.bytes;
                     if (on_bytes)
                       on_bytes(*this, r.connection, actions);
                   },
                   [&](const HalfClosed& h) { peers[h.connection].half_closed = true; },
                   [&](const Disconnected& e) { peers[e.connection].ended = true; },
                   [&](const auto&) {},
               },
               event);
    for (auto& action : next)
      actions.push_back(std::move(action));
    next.clear();
  }
};

}  // namespace violettide::testing
