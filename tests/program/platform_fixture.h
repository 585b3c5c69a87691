// Fixture for tests of the platform's session manager core: the test delivers events, checks the actions, and
// replaces the decider by a script. Also formats the messages of viewers and servers.
#pragma once

#include <gtest/gtest.h>

#include "platform/platform.h"
#include "scripted.h"

namespace violettide::platform {

using namespace std::chrono_literals;
using testing::events_of_type;
using testing::ScriptedDecider;

constexpr ConnectionId viewer = first_accepted;
inline const std::string call = "9b1f03aa5c7e2d41";
constexpr CallId call_id = 0x9b1f03aa5c7e2d41;

inline std::string offer(const std::string& id = call, const std::string& left = "1500",
                         const std::string& more = "", const std::string& extras = "home:0;copies:2;top:1") {
  return R"({"op":"offer","call":")" + id + R"(","with":{"class":"triage","left":")" + left +
         R"(","key":"t1","hint":"8000","extras":")" + extras + "\"" + more +
         R"(},"desc":"tag\r\nc=IN\r\n"})" + "\n";
}
inline std::string end(const std::string& id = call) {
  return R"({"op":"end","call":")" + id + R"(","with":{},"why":16})" + "\n";
}

inline std::string server_message(int type, CallId id, const std::string& parameters = "") {
  std::string body(1, static_cast<char>(type));
  for (int shift = 56; shift >= 0; shift -= 8)
    body += static_cast<char>(id >> shift & 255);
  body += parameters;
  return std::string(1, static_cast<char>(body.size() >> 8)) + static_cast<char>(body.size() & 255) + body;
}
inline std::string parameter(int code, const std::string& value) {
  return std::string(1, static_cast<char>(code)) + static_cast<char>(value.size() >> 8) +
         static_cast<char>(value.size() & 255) + value;
}
inline std::string accept(CallId id = call_id) {
  return server_message(9, id, parameter(174, "server says\r\n"));
}
inline std::string release(int cause, CallId id = call_id) {
  return server_message(12, id, parameter(171, std::string(1, static_cast<char>(cause))));
}

class PlatformFixture : public ::testing::Test {
 protected:
  PlatformFixture() { make_core(256); }

  void make_core(std::size_t sockets) {
    PlatformConfig config;
    config.max_sockets = sockets;
    config.plans = {"triage", "escalation"};
    config.abandon_times = {1800ms, 1440ms};
    config.policy.plans.resize(2);
    config.policy.rung_kb = {100, 200};
    config.policy.cells = 2;
    config.kinds = {"std"};
    config.halls = {"h"};
    config.dial_timeout = 250ms;
    config.idle_timeout = 15s;
    config.channel = Endpoint{"10.2.0.1", 7070};
    config.known_events = R"({"cursor":1,"cmds":[)" + list_event(1, "Ready", "Ready", true) + "]}";
    core = std::make_unique<Platform>(
        config, std::make_unique<ScriptedDecider>(&events, [this](Duration, const Event& event) {
          return decide ? decide(event) : std::vector<Command>{};
        }));
    actions.clear();
    deliver(TimerFired{});
    channel_connection = take_dial("10.2.0.1");
  }
  static std::string list_event(int number, const std::string& a, const std::string& b, bool snapshot = false,
                                const std::string& a_since = "0") {
    const auto entry = [](const std::string& name, const std::string& at, const std::string& status,
                          const std::string& since) {
      return R"({"name":")" + name + R"(","address":")" + at +
             R"(:3868","zone":"h","type":"std","group":0,"status":")" + status +
             R"(","weight":1,"since_ms":)" + since + "}";
    };
    return R"({"cursor":)" + std::to_string(number) + R"(,"nodes":{"snapshot":)" +
           (snapshot ? "true" : "false") + R"(,"endpoints":[)" + entry("s-a", "10.1.0.1", a, a_since) + "," +
           entry("s-b", "10.1.0.2", b, "0") + "]}}";
  }

  static std::string test_request() {
    return R"({"op":"test","call":"0000000000000001","with":{},"why":0})"
           "\n";
  }
  static std::size_t count(const std::string& text, const std::string& part) {
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
      ++found;
    return found;
  }
  static std::string list_entry(const std::string& name, const std::string& at, const std::string& status,
                                std::int64_t since_ms = 0) {
    return R"({"name":")" + name + R"(","address":")" + at +
           R"(:3868","zone":"h","type":"std","group":0,"status":")" + status + R"(","weight":1,"since_ms":)" +
           std::to_string(since_ms) + "}";
  }
  static std::string event(int number, bool snapshot, const std::string& entries) {
    return R"({"cursor":)" + std::to_string(number) + R"(,"nodes":{"snapshot":)" +
           (snapshot ? "true" : "false") + R"(,"endpoints":[)" + entries + "]}}\n";
  }

  // Answers DrainInput with InputDrained, as the runtime does. A test may clear auto_drain to control which
  // events arrive before that.
  void deliver(const IoEvent& event) {
    core->handle(now, event, actions);
    if (std::erase_if(actions,
                      [](const Action& action) { return std::holds_alternative<DrainInput>(action); }) > 0)
      drain_requested = true;
    if (auto_drain)
      drain_input();
  }
  void drain_input() {
    while (std::exchange(drain_requested, false)) {
      core->handle(now, InputDrained{}, actions);
      if (std::erase_if(actions,
                        [](const Action& action) { return std::holds_alternative<DrainInput>(action); }) > 0)
        drain_requested = true;
    }
  }
  // In steps of 10 ms, so that timers expire at their times.
  void advance(Duration time) {
    for (const auto until = now + time; now < until;) {
      now = std::min(until, now + 10ms);
      deliver(TimerFired{});
    }
  }
  void receive(ConnectionId connection, const std::string& bytes) { deliver(Received{connection, bytes}); }
  void accept_viewer(ConnectionId connection = viewer) { deliver(Accepted{connection, 0}); }

  // Removes the dials of an address from the actions and returns the last one; 0: none.
  ConnectionId take_dial(const std::string& address) {
    ConnectionId connection = 0;
    std::erase_if(actions, [&](const Action& action) {
      const auto* dial = std::get_if<Dial>(&action);
      if (!dial || dial->address != address)
        return false;
      connection = dial->connection;
      return true;
    });
    return connection;
  }
  // Removes what was sent on a connection from the actions and returns it.
  std::string take_sent(ConnectionId connection) {
    std::string all;
    std::erase_if(actions, [&](const Action& action) {
      const auto* send = std::get_if<Send>(&action);
      if (!send || send->connection != connection)
        return false;
      all += send->bytes;
      return true;
    });
    return all;
  }
  bool closed(ConnectionId connection) const {
    return std::any_of(actions.begin(), actions.end(), [&](const Action& action) {
      const auto* close = std::get_if<Close>(&action);
      return close && close->connection == connection;
    });
  }
  bool stopped() const {
    return std::any_of(actions.begin(), actions.end(),
                       [](const Action& action) { return std::holds_alternative<StopLoop>(action); });
  }
  ConnectionId connect_to(const std::string& address) {
    const auto connection = take_dial(address);
    EXPECT_NE(connection, 0u) << address;
    deliver(Connected{connection});
    return connection;
  }
  // The decider tries every playback at this server; after a failed try once more, then it rejects.
  void set_up_always_at(ServerId server, Duration limit = 500ms) {
    decide = [=, this](const Event& event) -> std::vector<Command> {
      std::optional<PlaybackId> id;
      if (const auto* request = std::get_if<Request>(&event))
        id = request->playback;
      if (const auto* ended = std::get_if<TryEnded>(&event); ended && !ended->playback_over) {
        if (tries == 1)
          return {Reject{ended->playback, 400ms}};
        id = ended->playback;
      }
      if (!id)
        return {};
      ++tries;
      return {SetRung{*id, 1}, violettide::SetUp{*id, server, limit}};
    };
  }
  // Starts a playback at s-a and returns the connection to that server.
  ConnectionId start_playing() {
    set_up_always_at(0);
    accept_viewer();
    receive(viewer, offer());
    const auto connection = connect_to("10.1.0.1");
    receive(connection, accept());
    take_sent(viewer);
    return connection;
  }
  Outcome last_outcome() const {
    const auto ended = events_of_type<TryEnded>(events);
    EXPECT_FALSE(ended.empty());
    return ended.empty() ? Outcome::served : ended.back().outcome;
  }

  std::vector<Event> events;
  std::function<std::vector<Command>(const Event&)> decide;
  std::unique_ptr<Platform> core;
  std::vector<Action> actions;
  Duration now{1s};
  ConnectionId channel_connection = 0;
  int tries = 0;
  bool auto_drain = true, drain_requested = false;
};

}  // namespace violettide::platform
