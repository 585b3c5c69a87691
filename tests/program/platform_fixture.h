// The session manager on the operators' platform as a core: happenings in, actions out, a script in the
// module's place; with the words that viewers and servers say.
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
constexpr CallId call_number = 0x9b1f03aa5c7e2d41;

inline std::string offer(const std::string& id = call, const std::string& left = "1500",
                         const std::string& more = "", const std::string& extras = "home:0;copies:2;top:1") {
  return R"({"op":"offer","call":")" + id + R"(","with":{"class":"triage","left":")" + left +
         R"(","key":"t1","hint":"8000","extras":")" + extras + "\"" + more +
         R"(},"desc":"tag\r\nc=IN\r\n"})" + "\n";
}
inline std::string end(const std::string& id = call) {
  return R"({"op":"end","call":")" + id + R"(","with":{},"why":16})" + "\n";
}

inline std::string from_server(int type, CallId id, const std::string& parameters = "") {
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
inline std::string accept(CallId id = call_number) {
  return from_server(9, id, parameter(174, "server says\r\n"));
}
inline std::string release(int cause, CallId id = call_number) {
  return from_server(12, id, parameter(171, std::string(1, static_cast<char>(cause))));
}

class PlatformFixture : public ::testing::Test {
 protected:
  PlatformFixture() { make(256); }

  void make(std::size_t sockets) {
    StartTerms terms;
    terms.sockets = sockets;
    terms.plans = {"triage", "escalation"};
    terms.abandon = {1800ms, 1440ms};
    terms.site.plans.resize(2);
    terms.site.rung_kb = {100, 200};
    terms.site.cells = 2;
    terms.kinds = {"std"};
    terms.halls = {"h"};
    terms.dial_limit = 250ms;
    terms.idle_limit = 15s;
    terms.channel = Endpoint{"10.2.0.1", 7070};
    terms.known = R"({"cursor":1,"cmds":[)" + listed(1, "Ready", "Ready", true) + "]}";
    core = std::make_unique<Platform>(
        terms, std::make_unique<ScriptedDecider>(&told, [this](Duration, const Event& event) {
          return says ? says(event) : std::vector<Command>{};
        }));
    actions.clear();
    happen(TimerFired{});
    channel_link = dialled("10.2.0.1");
  }
  static std::string listed(int number, const std::string& a, const std::string& b, bool whole = false,
                            const std::string& a_since = "0") {
    const auto entry = [](const std::string& name, const std::string& at, const std::string& status,
                          const std::string& since) {
      return R"({"name":")" + name + R"(","address":")" + at +
             R"(:3868","zone":"h","type":"std","group":0,"status":")" + status +
             R"(","weight":1,"since_ms":)" + since + "}";
    };
    return R"({"cursor":)" + std::to_string(number) + R"(,"nodes":{"snapshot":)" +
           (whole ? "true" : "false") + R"(,"endpoints":[)" + entry("s-a", "10.1.0.1", a, a_since) + "," +
           entry("s-b", "10.1.0.2", b, "0") + "]}}";
  }

  // As the runtime does, it tells of InputDrained when asked, unless a test holds that back to force what
  // comes first.
  void happen(const IoEvent& what) {
    core->handle(now, what, actions);
    if (std::erase_if(actions, [](const Action& act) { return std::holds_alternative<DrainInput>(act); }) > 0)
      unsettled = true;
    if (settles)
      settle();
  }
  void settle() {
    while (std::exchange(unsettled, false)) {
      core->handle(now, InputDrained{}, actions);
      if (std::erase_if(actions, [](const Action& act) { return std::holds_alternative<DrainInput>(act); }) >
          0)
        unsettled = true;
    }
  }
  void pass(Duration time) {  // in steps, as the core's timers ring
    for (const auto until = now + time; now < until;) {
      now = std::min(until, now + 10ms);
      happen(TimerFired{});
    }
  }
  void hear(ConnectionId link, const std::string& bytes) { happen(Received{link, bytes}); }
  void come(ConnectionId link = viewer) { happen(Accepted{link, 0}); }

  // What was dialled last at an address; 0: nothing. Forgets it.
  ConnectionId dialled(const std::string& address) {
    ConnectionId link = 0;
    std::erase_if(actions, [&](const Action& act) {
      const auto* dial = std::get_if<Dial>(&act);
      if (!dial || dial->address != address)
        return false;
      link = dial->connection;
      return true;
    });
    return link;
  }
  std::string sent(ConnectionId link) {  // and forgets it
    std::string all;
    std::erase_if(actions, [&](const Action& act) {
      const auto* send = std::get_if<Send>(&act);
      if (!send || send->connection != link)
        return false;
      all += send->bytes;
      return true;
    });
    return all;
  }
  bool hung(ConnectionId link) const {
    return std::any_of(actions.begin(), actions.end(), [&](const Action& act) {
      const auto* hang = std::get_if<Close>(&act);
      return hang && hang->connection == link;
    });
  }
  bool left() const {
    return std::any_of(actions.begin(), actions.end(),
                       [](const Action& act) { return std::holds_alternative<StopLoop>(act); });
  }
  ConnectionId connect(const std::string& address) {
    const auto link = dialled(address);
    EXPECT_NE(link, 0u) << address;
    happen(Connected{link});
    return link;
  }
  // The module sets every playback up at this server, and again there where it is asked anew.
  void always_at(ServerId server, Duration limit = 500ms) {
    says = [=, this](const Event& event) -> std::vector<Command> {
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
  // A playback that plays at s-a; its connection there.
  ConnectionId playing() {
    always_at(0);
    come();
    hear(viewer, offer());
    const auto link = connect("10.1.0.1");
    hear(link, accept());
    sent(viewer);
    return link;
  }
  Outcome outcome() const {
    const auto ended = events_of_type<TryEnded>(told);
    EXPECT_FALSE(ended.empty());
    return ended.empty() ? Outcome::served : ended.back().outcome;
  }

  std::vector<Event> told;
  std::function<std::vector<Command>(const Event&)> says;
  std::unique_ptr<Platform> core;
  std::vector<Action> actions;
  Duration now{1s};
  ConnectionId channel_link = 0;
  int tries = 0;
  bool settles = true, unsettled = false;
};

}  // namespace violettide::platform
