// A network and a clock in memory: runs cores against each other, the same way each time. Every event is
// delivered in order of time, then of sending; nothing waits for the machine.
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

class Net {
 public:
  Duration latency = 200us;
  std::vector<std::pair<int, LogLine>> said;  // by host
  std::vector<std::string> kept;              // by all
  std::map<int, std::vector<std::string>> kept_by;
  std::function<bool(int from, int to)> lost;  // messages that never arrive, as in a partition
  Duration keep_time = 2ms;
  std::string keep_fails;  // the cause that each Persist meets from now on; empty: none

  // Doors get the ports HOST * 1000 + 1, and on.
  int add(Core& core, int doors) {
    const int host = static_cast<int>(hosts_.size());
    hosts_.push_back({&core, {}, {}, first_accepted, true, Duration(-1), 0});
    for (int i = 0; i < doors; ++i)
      hosts_[host].open.insert(i);
    post(now_, host, TimerFired{});
    return host;
  }
  static std::uint16_t port(int host, int door = 0) {
    return static_cast<std::uint16_t>(host * 1000 + door + 1);
  }
  void replace(int host, Core& core, int doors = 1) {
    hosts_[host].core = &core;
    hosts_[host].alive = true;
    for (int door = 0; door < doors; ++door)
      hosts_[host].open.insert(door);
    post(now_, host, TimerFired{});
  }
  // The process is gone at once: its peers' connections are reset, its doors refuse.
  void kill(int host) {
    hosts_[host].alive = false;
    hosts_[host].open.clear();
    std::vector<ConnectionId> all;
    for (const auto& [link, wire] : hosts_[host].wires)
      all.push_back(link);
    for (const auto link : all)
      cut(host, link, CloseReason::reset);
  }
  // Hears nothing until then; what came meanwhile waits.
  void stand_still(int host, Duration until) { hosts_[host].still_until = until; }
  void poke(int host) { post(now_, host, TimerFired{}); }
  void tell_to_stop(int host) { post(now_, host, ShutdownRequested{}); }
  std::size_t waiting_at(int host) const {  // bytes sent to it that it does not read
    std::size_t bytes = 0;
    for (const auto& [link, wire] : hosts_[host].wires)
      bytes += wire.waiting.size();
    return bytes;
  }
  bool left(int host) const { return !hosts_[host].alive; }
  Duration now() const { return now_; }
  std::optional<std::string> stored(int host, const std::string& name) const {
    const auto found = stored_.find({host, name});
    return found == stored_.end() ? std::nullopt : std::optional(found->second);
  }

  void run(Duration until) {
    while (!events_.empty() && events_.begin()->first.first <= until) {
      auto [key, event] = std::move(*events_.begin());
      events_.erase(events_.begin());
      now_ = std::max(now_, key.first);
      auto& host = hosts_[event.host];
      if (!host.alive)
        continue;
      if (!event.bytes.empty() && std::holds_alternative<TimerFired>(event.what) && key.second != host.wake)
        continue;
      if (now_ < host.still_until) {
        events_.emplace(std::pair(host.still_until, key.second), std::move(event));
        continue;
      }
      deliver(event);
    }
    now_ = until;
  }

 private:
  struct Wire {
    int host = 0;
    ConnectionId link = 0;
    bool held = false;
    std::string waiting = {};  // bytes that a held reader has not read
    bool half_waiting = false;
  };
  struct Host {
    Core* core;
    std::set<int> open;
    std::map<ConnectionId, Wire> wires;  // own link: the far end
    ConnectionId next;
    bool alive;
    Duration still_until;
    std::uint64_t wake = 0;
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
      const auto wire = host.wires.find(received->connection);
      if (wire == host.wires.end())
        return;
      if (wire->second.held) {
        wire->second.waiting += event.bytes;
        return;
      }
      received->bytes = event.bytes;
      const auto& far = wire->second;
      post(now_, far.host, Flushed{far.link});
    } else if (const auto* half = std::get_if<HalfClosed>(&event.what)) {
      const auto wire = host.wires.find(half->connection);
      if (wire == host.wires.end())
        return;
      if (wire->second.held) {
        wire->second.half_waiting = true;
        return;
      }
    } else if (const auto* ended = std::get_if<Disconnected>(&event.what)) {
      if (!host.wires.erase(ended->connection))
        return;
    } else if (const auto* flushed = std::get_if<Flushed>(&event.what)) {
      if (!host.wires.contains(flushed->connection))
        return;
    }
    std::vector<Action> actions;
    host.core->handle(now_, event.what, actions);
    for (auto& act : actions)
      perform(event.host, act);
  }

  void perform(int at, Action& act) {
    auto& host = hosts_[at];
    std::visit(
        Overloaded{
            [&](Dial& a) {
              const int far = (a.port - 1) / 1000, door = (a.port - 1) % 1000;
              if (far >= static_cast<int>(hosts_.size()) || !hosts_[far].open.contains(door)) {
                host.wires[a.connection] = {at, 0};
                return post(now_ + latency, at, Disconnected{a.connection, CloseReason::refused});
              }
              const ConnectionId theirs = hosts_[far].next++;
              host.wires[a.connection] = {far, theirs};
              hosts_[far].wires[theirs] = {at, a.connection};
              post(now_ + latency, far, Accepted{theirs, door});
              post(now_ + 2 * latency, at, Connected{a.connection});
            },
            [&](Send& a) {
              const auto wire = host.wires.find(a.connection);
              if (wire == host.wires.end() || (lost && lost(at, wire->second.host)))
                return;
              post(now_ + latency, wire->second.host, Received{wire->second.link, {}}, std::move(a.bytes));
            },
            [&](Close& a) {
              const auto wire = host.wires.find(a.connection);
              if (wire == host.wires.end())
                return;
              const auto far = wire->second;
              host.wires.erase(wire);
              if (far.link == 0)
                return;
              if (a.after_sending)
                post(now_ + latency, far.host, HalfClosed{far.link});
              else
                post(now_ + latency, far.host, Disconnected{far.link, CloseReason::reset});
            },
            [&](PauseReading& a) {
              if (const auto wire = host.wires.find(a.connection); wire != host.wires.end())
                wire->second.held = true;
            },
            [&](ResumeReading& a) {
              const auto found = host.wires.find(a.connection);
              if (found == host.wires.end() || !found->second.held)
                return;
              auto& wire = found->second;
              wire.held = false;
              if (!wire.waiting.empty())
                post(now_, at, Received{a.connection, {}}, std::exchange(wire.waiting, {}));
              if (std::exchange(wire.half_waiting, false))
                post(now_, at, HalfClosed{a.connection});
            },
            [&](StartTimer& a) {  // replaces an earlier one
              host.wake = sequence_;
              post(std::max(now_, a.at), at, TimerFired{}, "wake");
            },
            [&](Listen& a) { host.open.insert(a.listener); },
            [&](StopListening& a) { host.open.erase(a.listener); },
            [&](WriteFile& a) {
              stored_[{at, a.name}] = a.bytes;
            },
            [&](Persist& a) {
              kept.push_back(a.bytes);
              if (keep_fails.empty())
                kept_by[at].push_back(a.bytes);
              const auto failed = keep_fails;
              post(now_ + keep_time, at, Persisted{a.ticket, failed});
            },
            [&](LogLine& a) { said.emplace_back(at, a); },
            [&](DrainInput&) {
              post(now_, at, InputDrained{});
            },  // after what is under way to it at this time
            [&](StopLoop&) { kill(at); },
        },
        act);
  }

  void cut(int host, ConnectionId link, CloseReason how) {
    const auto wire = hosts_[host].wires.find(link);
    if (wire == hosts_[host].wires.end())
      return;
    const auto far = wire->second;
    hosts_[host].wires.erase(wire);
    if (far.link != 0)
      post(now_ + latency, far.host, Disconnected{far.link, how});
  }

  std::deque<Host> hosts_;
  std::multimap<std::pair<Duration, std::uint64_t>, Event> events_;
  std::map<std::pair<int, std::string>, std::string> stored_;
  std::uint64_t sequence_ = 0;
  Duration now_{0};
};

// A peer that a test moves by hand: it keeps what it gets and does what it is told.
class Puppet : public Core {
 public:
  struct Peer {
    std::string got;
    bool connected = false, half_closed = false, ended = false;
  };
  std::map<ConnectionId, Peer> peers;
  std::vector<ConnectionId> accepted;  // in order
  std::vector<Action> next;            // done at its next happening
  std::function<void(Puppet&, ConnectionId, std::vector<Action>&)> on_bytes;

  void handle(Duration, const IoEvent& what, std::vector<Action>& actions) override {
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
               what);
    for (auto& act : next)
      actions.push_back(std::move(act));
    next.clear();
  }
};

}  // namespace violettide::testing
