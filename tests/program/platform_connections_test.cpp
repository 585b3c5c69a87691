// Which servers the platform's session manager holds connections to, how it gives one up, and what it hears
// of the playbacks at servers that it is not connected to.
#include <numeric>

#include "platform_fixture.h"

namespace violettide::platform {
namespace {

class PlatformConnectionsTest : public PlatformFixture {
 protected:
  bool sending_finished(ConnectionId connection) const {
    return std::any_of(actions.begin(), actions.end(), [&](const Action& action) {
      const auto* finish = std::get_if<FinishSending>(&action);
      return finish && finish->connection == connection;
    });
  }
  // Replaces the connection of a quiet server by a new one, and lets the old one's time pass.
  void replace_quiet_connection(ConnectionId old) {
    advance(2200ms);
    connect_to("10.1.0.1");
    for (int i = 0; i < 120 && !sending_finished(old) && !closed(old); ++i)
      advance(10ms);
    EXPECT_TRUE(sending_finished(old) || closed(old));
  }
};

// Guards against losing a release that crosses the close of its connection: its viewer was told only when the
// server next got a connection.
TEST_F(PlatformConnectionsTest, AReleaseThatCrossesTheCloseOfItsConnectionIsHeard) {
  const auto old = start_playing();
  replace_quiet_connection(old);
  receive(old, release(16));
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 16));
  EXPECT_EQ(core->resource_counts().playbacks, 0u);
}

// The same where the close makes room for another server's connection.
TEST_F(PlatformConnectionsTest, AReleaseThatCrossesAnEvictionIsHeard) {
  make_core(64);  // leaves one connection for servers
  const auto first = start_playing();
  tries = 0;
  set_up_always_at(1);
  receive(viewer, offer("00000000000000bb"));
  connect_to("10.1.0.2");
  EXPECT_TRUE(sending_finished(first) || closed(first));
  receive(first, release(16));
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 16));
}

// A server that has closed its side, or does not for a second, leaves nothing behind.
TEST_F(PlatformConnectionsTest, AFinishedConnectionIsClosedWithItsServerOrAfterASecond) {
  for (const bool server_closes : {true, false}) {
    make_core(256);
    tries = 0;
    const auto old = start_playing();
    replace_quiet_connection(old);
    EXPECT_FALSE(closed(old));
    if (server_closes)
      deliver(HalfClosed{old});
    else
      advance(1200ms);
    EXPECT_TRUE(closed(old)) << server_closes;
  }
}

// Nothing may be sent after the end of the stream: a session that nobody waits for is released on the next
// connection.
TEST_F(PlatformConnectionsTest, ALateAnswerOnAFinishedConnectionIsReleasedOnAnother) {
  const auto old = start_playing();
  replace_quiet_connection(old);
  actions.clear();
  receive(old, accept(0xdd));
  receive(old, release(16, 0xee));
  EXPECT_EQ(take_sent(old), "");
  EXPECT_EQ(count(std::accumulate(actions.begin(), actions.end(), std::string(),
                                  [](std::string all, const Action& action) {
                                    const auto* send = std::get_if<Send>(&action);
                                    return send ? all + send->bytes : all;
                                  }),
                  release_bytes(0xdd, 16)),
            1u);
}

// Guards against never hearing a release that was on its way on a connection that broke, if another one to
// its server is open: the server sends it again on the next connection only.
TEST_F(PlatformConnectionsTest, ABrokenConnectionIsFollowedByANewOneBesideAnOpenOne) {
  for (const bool unreadable : {true, false}) {
    make_core(256);
    tries = 0;
    const auto old = start_playing();
    tries = 0;
    set_up_always_at(0, 5s);
    receive(viewer, offer("00000000000000bb"));  // keeps the old connection open
    advance(2200ms);
    connect_to("10.1.0.1");
    advance(300ms);
    ASSERT_EQ(take_dial("10.1.0.1"), 0u);
    unreadable ? receive(old, "no message") : deliver(Disconnected{old, CloseReason::reset});
    advance(600ms);
    const auto next = connect_to("10.1.0.1");
    receive(next, release(16));
    EXPECT_EQ(count(take_sent(viewer), end_line(call_id, 16)), 1u);
    advance(1500ms);
    EXPECT_EQ(take_dial("10.1.0.1"), 0u) << "one is enough";
  }
}

// Guards against a session that stands for nobody: the answer to its set-up may have been lost with the
// connection, and the set-up is tried elsewhere.
TEST_F(PlatformConnectionsTest, ASetUpThatWasOutOnABrokenConnectionIsReleased) {
  set_up_always_at(0);
  accept_viewer();
  receive(viewer, offer());
  const auto connection = connect_to("10.1.0.1");
  tries = 0;
  set_up_always_at(1);
  deliver(Disconnected{connection, CloseReason::reset});
  EXPECT_EQ(last_outcome(), Outcome::reset);
  EXPECT_EQ(take_sent(connect_to("10.1.0.1")), release_bytes(call_id, 16));
  connect_to("10.1.0.2");
}

// A server that has died is not dialled for long.
TEST_F(PlatformConnectionsTest, AReleaseForAServerThatRefusesTwiceIsGivenUp) {
  set_up_always_at(0);
  accept_viewer();
  receive(viewer, offer());
  const auto connection = connect_to("10.1.0.1");
  decide = nullptr;
  deliver(Disconnected{connection, CloseReason::reset});
  for (int i = 0; i < 2; ++i) {
    deliver(Disconnected{take_dial("10.1.0.1"), CloseReason::refused});
    advance(600ms);
  }
  take_dial("10.1.0.1");
  advance(3s);
  EXPECT_EQ(take_dial("10.1.0.1"), 0u);
}

// Each server has one playback that is handed over at the start; there is not room for a connection to each.
// Servers say nothing by themselves, accept a dial after 2 ms, and send the release of a playback that has
// ended on the connection they have, and on the next one.
class CrowdedFleetTest : public PlatformConnectionsTest {
 protected:
  static constexpr std::size_t max_connections = 72, max_transient = 8;  // with 256 descriptors
  static constexpr Duration release_limit = 1050ms, end_limit = 8050ms;
  struct Server {
    std::vector<ConnectionId> connections;
    bool vanished = false;
    std::optional<Duration> ended_at, told_at;
    Duration limit{0};
    bool release_queued = false;  // the viewer has ended the playback
    std::optional<Duration> released_at;
  };

  static CallId call_of(int server) { return 0x1000 + static_cast<CallId>(server); }
  static std::string address_of(int server) { return "10.3.0." + std::to_string(server); }

  // Adds the servers to the list, and hands a playback over at each of them.
  void begin(int count) {
    servers.assign(static_cast<std::size_t>(count), {});
    deliver(Connected{channel_connection});
    std::string entries;
    for (int i = 0; i < count; ++i)
      entries += (i ? "," : "") + list_entry("t-" + std::to_string(i), address_of(i), "Ready");
    receive(channel_connection, event(2, false, entries));
    accept_viewer();
    for (int i = 0; i < count; ++i)
      receive(viewer, offer(format_call_id(call_of(i)), "1500", "",
                            "home:0;copies:2;top:1;at:t-" + std::to_string(i)));
    take_actions();
  }
  void pass(Duration time) {
    for (const auto until = now + time; now < until;) {
      now += 2ms;
      for (const auto& event : std::exchange(pending_, {}))
        deliver_at_server(event);
      deliver(TimerFired{});
      take_actions();
      most_connections = std::max(most_connections, core->resource_counts().server_connections);
    }
  }
  void end_playback(int index) {
    auto& server = servers[static_cast<std::size_t>(index)];
    server.ended_at = now;
    server.limit = server.connections.empty() ? end_limit : release_limit;
    if (!server.connections.empty())
      receive(server.connections.back(), release(16, call_of(index)));
    take_actions();
  }
  // It gives no sign any more, and its playback is lost.
  void vanish(int index) {
    auto& server = servers[static_cast<std::size_t>(index)];
    server.vanished = true;
    server.ended_at = now;
    server.limit = end_limit;
  }
  int unconnected_server(int from) const {
    for (auto i = from; i < static_cast<int>(servers.size()); ++i) {
      const auto& server = servers[static_cast<std::size_t>(i)];
      if (server.connections.empty() && !server.ended_at)
        return i;
    }
    return -1;
  }
  // Those that have not yet learned that the manager sends no more on their connection.
  std::vector<int> servers_about_to_be_finished() const {
    std::vector<int> found;
    for (const auto& event : pending_) {
      const auto index = server_of_.find(event.connection);
      if (event.kind != Pending::Kind::finish || index == server_of_.end())
        continue;
      const auto& server = servers[static_cast<std::size_t>(index->second)];
      if (!server.ended_at && server.connections.size() == 1)
        found.push_back(index->second);
    }
    return found;
  }
  void expect_ends_told_in_time() const {
    for (std::size_t i = 0; i < servers.size(); ++i) {
      const auto& server = servers[i];
      if (!server.ended_at) {
        EXPECT_FALSE(server.told_at) << "server " << i << " was taken for lost";
        continue;
      }
      ASSERT_TRUE(server.told_at) << "server " << i;
      EXPECT_LE((*server.told_at - *server.ended_at).count(), server.limit.count()) << "server " << i;
    }
    EXPECT_LE(most_connections, max_connections + max_transient);
  }

  std::vector<Server> servers;
  std::size_t most_connections = 0;

 private:
  struct Pending {
    enum class Kind { dial, finish } kind;
    ConnectionId connection;
  };
  void deliver_at_server(const Pending& event) {
    const auto index = server_of_.find(event.connection);
    if (index == server_of_.end())
      return;  // closed meanwhile
    auto& server = servers[static_cast<std::size_t>(index->second)];
    if (server.vanished)
      return;
    if (event.kind == Pending::Kind::finish) {
      std::erase(server.connections, event.connection);
      server_of_.erase(index);
      return deliver(HalfClosed{event.connection});
    }
    server.connections.push_back(event.connection);
    deliver(Connected{event.connection});
    if (server.ended_at)
      receive(event.connection, release(16, call_of(index->second)));
  }
  void take_actions() {
    for (const auto& action : std::exchange(actions, {})) {
      if (const auto* dial = std::get_if<Dial>(&action); dial && dial->address.starts_with("10.3.0.")) {
        server_of_[dial->connection] = std::stoi(dial->address.substr(7));
        pending_.push_back({Pending::Kind::dial, dial->connection});
      } else if (const auto* finish = std::get_if<FinishSending>(&action)) {
        pending_.push_back({Pending::Kind::finish, finish->connection});
      } else if (const auto* close = std::get_if<Close>(&action)) {
        if (const auto found = server_of_.find(close->connection); found != server_of_.end()) {
          std::erase(servers[static_cast<std::size_t>(found->second)].connections, close->connection);
          server_of_.erase(found);
        }
      } else if (const auto* send = std::get_if<Send>(&action)) {
        take_sent_bytes(*send);
      }
    }
  }
  void take_sent_bytes(const Send& send) {
    for (std::size_t i = 0; i < servers.size(); ++i) {
      auto& server = servers[i];
      const auto call = call_of(static_cast<int>(i));
      if (send.connection >= first_accepted) {
        const bool told = count(send.bytes, end_line(call, 16)) + count(send.bytes, end_line(call, 41)) > 0;
        if (told && !server.told_at)
          server.told_at = now;
      } else if (send.bytes.find(release_bytes(call, 16)) != std::string::npos) {
        server.released_at = now;
      }
    }
  }
  std::map<ConnectionId, int> server_of_;
  std::vector<Pending> pending_;
};

// Guards against servers that never get a connection while others hold theirs: the ends of their playbacks
// were told up to 17 s late.
TEST_F(CrowdedFleetTest, TheEndsOfPlaybacksAreHeardFromMoreServersThanConnections) {
  for (const int count : {96, 288}) {
    now = 1s;
    make_core(256);
    begin(count);
    pass(5s);
    std::size_t crossings = 0;
    for (int i = 0; i < count; ++i) {
      if (const auto next = (i * 37 + 5) % count; !servers[static_cast<std::size_t>(next)].ended_at)
        end_playback(next);
      bool crossed = false;  // at most one end at a time crosses the close of its connection
      for (const auto until = now + 150ms; now < until; pass(2ms)) {
        const auto crossing = servers_about_to_be_finished();
        if (crossing.empty() || std::exchange(crossed, true))
          continue;
        ++crossings;
        end_playback(crossing.front());
      }
    }
    pass(9s);
    expect_ends_told_in_time();
    EXPECT_GT(crossings, 5u);
    EXPECT_EQ(core->resource_counts().playbacks, 0u);
  }
}

// Guards against the silence of a vanished server never counting while there is no room to dial it.
TEST_F(CrowdedFleetTest, VanishedServersAreFoundLostInTimeAndOthersAreNot) {
  for (const int count : {96, 288}) {
    now = 1s;
    make_core(256);
    begin(count);
    pass(6s);
    for (int i = 0; i < count / 3; ++i)
      vanish(i * 3);
    pass(9s);
    expect_ends_told_in_time();
  }
}

// A release that waits for a connection takes another's place: the seat that it frees is given out at once.
TEST_F(CrowdedFleetTest, AQueuedReleaseIsSentAtOnce) {
  begin(96);
  pass(3s);
  const int index = unconnected_server(0);
  ASSERT_GE(index, 0);
  receive(viewer, end(format_call_id(call_of(index))));
  pass(100ms);
  const auto& server = servers[static_cast<std::size_t>(index)];
  EXPECT_TRUE(server.released_at);
}

// Viewers at their maximum, floods included, change nothing. The servers that come last get no connection at
// the start.
TEST_F(CrowdedFleetTest, ViewersAtTheirMaximumTakeNoServersTurn) {
  begin(288);
  for (ConnectionId i = 1; i < 160; ++i)
    accept_viewer(viewer + i);
  pass(1500ms);
  EXPECT_EQ(core->resource_counts().viewer_connections, 160u);
  for (int i = 240; i < 288; ++i) {
    end_playback(i);
    pass(100ms);
  }
  pass(9s);
  expect_ends_told_in_time();
}

// Probes are not worth a connection that a playback needs.
TEST_F(CrowdedFleetTest, AProbeTakesNoConnectionThatAPlaybackNeeds) {
  begin(72);
  pass(100ms);
  decide = [](const Event& event) -> std::vector<Command> {
    if (std::holds_alternative<Request>(event))
      return {Probe{0}};
    return {};
  };
  events.clear();
  receive(viewer, offer());
  const auto probes = events_of_type<ProbeEnded>(events);
  ASSERT_EQ(probes.size(), 1u);
  EXPECT_FALSE(probes[0].answered);
  EXPECT_FALSE(probes[0].sent);
  EXPECT_EQ(take_dial("10.1.0.1"), 0u);
}

// A process that drains may refuse to be dialled again: its connection stays.
TEST_F(CrowdedFleetTest, ADrainingServerKeepsItsConnection) {
  begin(96);
  pass(100ms);
  ASSERT_FALSE(servers[0].connections.empty());
  receive(channel_connection, event(3, false, list_entry("t-0", address_of(0), "Terminating")));
  for (int i = 0; i < 200; ++i) {
    pass(50ms);
    ASSERT_FALSE(servers[0].connections.empty()) << i;
  }
}

}  // namespace
}  // namespace violettide::platform
