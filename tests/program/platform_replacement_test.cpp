// A video server's process is followed by another one at its address, under the same name or a new one, and
// the list tells of it in any order: no connection to the new process is taken for a sign of the old one.
#include "platform_fixture.h"

namespace violettide::platform {
namespace {

const std::string address_of_a = "10.1.0.1";
constexpr ServerId server_a = 0;
constexpr ServerId server_c = 2;  // the one that follows s-a at its address

class PlatformReplacementTest : public PlatformFixture {
 protected:
  PlatformReplacementTest() { start_core(); }
  void start_core() {
    now = 10s;
    last_event = 1;
    make_core(256);
    deliver(Connected{channel_connection});
    actions.clear();
  }
  // Hides the fixture's: the channel sends its heartbeat meanwhile.
  void advance(Duration time) {
    for (const auto until = now + time; now < until;) {
      PlatformFixture::advance(std::min<Duration>(500ms, until - now));
      receive(channel_connection, R"({"cursor":)" + std::to_string(last_event) + "}\n");
    }
  }
  void tell(const std::string& entries, bool snapshot = false) {
    receive(channel_connection, event(++last_event, snapshot, entries));
  }
  std::string old_server(const std::string& status) const { return list_entry("s-a", address_of_a, status); }
  std::string new_server(const std::string& status = "Ready") const {
    return list_entry("s-c", address_of_a, status, started_ms);
  }
  std::string restarted_server() const { return list_entry("s-a", address_of_a, "Ready", started_ms); }
  // The process of s-a dies, with one playback; the first dial is refused, the next one leads to the new
  // process. Returns that connection.
  ConnectionId replace_process() {
    deliver(Disconnected{start_playing(), CloseReason::reset});
    deliver(Disconnected{take_dial(address_of_a), CloseReason::refused});
    advance(200ms);
    started_ms = now / 1ms;
    advance(310ms);
    const auto connection = connect_to(address_of_a);
    take_sent(connection);
    EXPECT_EQ(core->resource_counts().playbacks, 1u);
    return connection;
  }
  ServerState last_told_state(ServerId id) const {
    ServerState state = ServerState::gone;
    for (const auto& list : events_of_type<ServerList>(events)) {
      for (const auto& entry : list.entries) {
        if (entry.server == id)
          state = entry.state;
      }
    }
    return state;
  }
  void set_up(const std::string& id, ServerId server) {
    set_up_always_at(server);
    tries = 0;
    receive(viewer, offer(id));
  }

  int last_event = 1;
  std::int64_t started_ms = 0;
};

// ---- playbacks of the process that ended ----

// Guards against ignoring a release that the new process sends on a connection which was made to it under the
// old name, before the list told of it.
TEST_F(PlatformReplacementTest, AReleaseOnAConnectionMadeUnderTheOldNameEndsThePlayback) {
  const auto under_old_name = replace_process();
  tell(new_server());
  set_up("00000000000000bb", server_c);
  const auto connection = connect_to(address_of_a);
  receive(connection, accept(0xbb));
  take_sent(viewer);
  deliver(Disconnected{connection, CloseReason::reset});
  receive(under_old_name, release(16, 0xbb));
  EXPECT_EQ(take_sent(viewer), end_line(0xbb, 16));
}

// Guards against sessions that are never released: those of a dead server whose address a new one has taken.
TEST_F(PlatformReplacementTest, ANewServerAtTheAddressEndsThePlaybacksOfTheOldOne) {
  const auto other = list_entry("s-b", "10.1.0.2", "Ready");
  struct Telling {
    const char* description;
    std::vector<std::string> updates;
    bool snapshot;
  };
  for (const auto order : {0, 1, 2, 3, 4, 5, 6}) {
    start_core();
    replace_process();
    const std::vector<Telling> tellings{
        {"one event, the old one first", {old_server("Gone") + "," + new_server()}, false},
        {"one event, the new one first", {new_server() + "," + old_server("Gone")}, false},
        {"the end first", {old_server("Gone"), new_server()}, false},
        {"the start first", {new_server(), old_server("Gone")}, false},
        {"a snapshot without the old one", {other + "," + new_server()}, true},
        {"a snapshot in which the old one is still ready",
         {old_server("Ready") + "," + other + "," + new_server()},
         true},
        {"the same, the new one first", {new_server() + "," + other + "," + old_server("Ready")}, true}};
    const auto& telling = tellings[static_cast<std::size_t>(order)];
    SCOPED_TRACE(telling.description);
    for (const auto& update : telling.updates) {
      tell(update, telling.snapshot);
      advance(10ms);
    }
    EXPECT_EQ(take_sent(viewer), end_line(call_id, 41));
    EXPECT_EQ(core->resource_counts().playbacks, 0u);
    EXPECT_EQ(last_outcome(), Outcome::reset);
    EXPECT_EQ(last_told_state(server_a), ServerState::gone);
    EXPECT_EQ(last_told_state(server_c), ServerState::ready);
    set_up("00000000000000aa", server_c);
    const auto next = connect_to(address_of_a);
    receive(next, accept(0xaa));
    EXPECT_EQ(take_sent(viewer), accept_line(0xaa, "server says\r\n"));
    advance(1200ms);
    EXPECT_EQ(core->resource_counts().server_connections, 1u) << "the one under the old name is closed";
    EXPECT_EQ(core->resource_counts().playbacks, 1u);
  }
}

// The same where the new process keeps the name: its start is told for the first time.
TEST_F(PlatformReplacementTest, TheFirstStartThatIsToldEndsThePlaybacksBeforeIt) {
  replace_process();
  tell(restarted_server());
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 41));
  EXPECT_EQ(core->resource_counts().playbacks, 0u);
  EXPECT_EQ(last_told_state(server_a), ServerState::ready);
}

// A machine that is lost for some seconds and returns cold resets nothing; its new process answers the dials.
TEST_F(PlatformReplacementTest, AMachineThatReturnsColdEndsItsPlaybacks) {
  start_playing();
  advance(2100ms);
  take_dial(address_of_a);  // never comes up
  advance(2900ms);
  started_ms = now / 1ms;
  ConnectionId dialled = 0;
  for (take_dial(address_of_a); dialled == 0; dialled = take_dial(address_of_a))
    advance(10ms);
  deliver(Connected{dialled});
  advance(1900ms);
  EXPECT_EQ(core->resource_counts().playbacks, 1u) << "the silence has ended, as far as known";
  tell(restarted_server());
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 41));
  EXPECT_EQ(core->resource_counts().playbacks, 0u);
}

TEST_F(PlatformReplacementTest, AnotherAddressOfTheServerEndsThePlaybacksAtTheOldOne) {
  const auto old = start_playing();
  take_sent(old);
  tell(list_entry("s-a", "10.1.0.7", "Ready"));
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 41));
  EXPECT_EQ(take_sent(old), release_bytes(call_id, 16)) << "in case it still plays";
  set_up("00000000000000aa", server_a);
  receive(connect_to("10.1.0.7"), accept(0xaa));
  tell(list_entry("s-a", "10.1.0.7", "Ready", now / 1ms - 100));
  EXPECT_EQ(core->resource_counts().playbacks, 1u) << "set up after the start that is told last";
}

// A start that is known to precede the connection is that of the process in use.
TEST_F(PlatformReplacementTest, APlaybackSetUpAtTheNewProcessGoesOnWhenItsStartIsTold) {
  const auto connection = replace_process();
  set_up("00000000000000aa", server_a);
  receive(connection, accept(0xaa));
  take_sent(connection);
  take_sent(viewer);
  tell(restarted_server());
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 41)) << "only the one from before the start";
  EXPECT_EQ(core->resource_counts().playbacks, 1u);
  set_up("00000000000000bb", server_a);
  EXPECT_NE(take_sent(connection), "") << "the connection leads to the new process";
}

TEST_F(PlatformReplacementTest, RepeatedAndDelayedEntriesEndNothing) {
  replace_process();
  tell(new_server());
  set_up("00000000000000aa", server_c);
  const auto connection = connect_to(address_of_a);
  receive(connection, accept(0xaa));
  take_sent(viewer);
  tell(new_server());
  tell(old_server("Ready"));
  tell(old_server("Terminating") + "," + new_server());
  tell(old_server("Ready") + "," + new_server(), true);
  tell(old_server("Gone"));
  EXPECT_EQ(take_sent(viewer), "");
  EXPECT_EQ(core->resource_counts().playbacks, 1u);
  EXPECT_EQ(last_told_state(server_a), ServerState::gone);
  EXPECT_EQ(last_told_state(server_c), ServerState::ready);
}

// Guards against waiting for a sign of a server that has no address any more: a manager that starts anew is
// handed a playback whose server has been replaced meanwhile.
TEST_F(PlatformReplacementTest, APlaybackHandedOverAtAReplacedServerEndsAtOnce) {
  started_ms = now / 1ms;
  tell(old_server("Gone") + "," + new_server());
  accept_viewer();
  receive(viewer, offer(call, "4294967", "", "home:0;copies:2;top:1;at:s-a"));
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 41));
  tell(R"({"name":"s-d","status":"Gone"})");  // a server that is gone needs no address
  receive(viewer, offer("00000000000000aa", "4294967", "", "home:0;copies:2;top:1;at:s-d"));
  EXPECT_EQ(take_sent(viewer), end_line(0xaa, 41));
  EXPECT_EQ(core->resource_counts().playbacks, 0u);
}

// Until the list tells of a new process, a connection that was reset may have led to the one that plays on.
TEST_F(PlatformReplacementTest, AServerToldGoneGoesOnWhileItIsConnected) {
  const auto connection = start_playing();
  tell(old_server("Gone"));
  advance(1s);
  EXPECT_EQ(core->resource_counts().playbacks, 1u);
  receive(connection, release(16));
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 16));
}

// ---- set-ups and probes on the way ----

// The session of an answer that was still unread ended with its process.
TEST_F(PlatformReplacementTest, AnAnswerOfTheEndedProcessCountsAsReset) {
  for (const bool same_name : {true, false}) {
    SCOPED_TRACE(same_name);
    start_core();
    const auto old = start_playing();
    set_up("00000000000000aa", server_a);
    take_sent(old);
    started_ms = now / 1ms + 50;
    advance(100ms);
    tries = 1;
    tell(same_name ? restarted_server() : new_server());
    take_sent(viewer);
    take_sent(old);
    receive(old, accept(0xaa));
    EXPECT_EQ(take_sent(viewer), end_line(0xaa, cause::rejected, 400));
    EXPECT_EQ(last_outcome(), Outcome::reset);
    EXPECT_EQ(take_sent(old), release_bytes(0xaa, 16));
    EXPECT_EQ(core->resource_counts().playbacks, 0u);
  }
}

// Guards against set-ups that were decided before the word of a start: the new process gets them at its own
// pace.
TEST_F(PlatformReplacementTest, SetUpsThatAreNotSentYetAreTakenBackFromANewProcess) {
  for (const bool same_name : {true, false}) {
    SCOPED_TRACE(same_name);
    start_core();
    const auto connection = replace_process();
    auto_drain = false;
    set_up("00000000000000aa", server_a);
    decide = nullptr;
    tell(same_name ? restarted_server() : new_server());
    auto_drain = true;
    drain_input();
    EXPECT_EQ(last_outcome(), Outcome::not_sent);
    EXPECT_EQ(take_sent(connection).find("triage"), std::string::npos);
  }
}

TEST_F(PlatformReplacementTest, ADialOfTheOldProcessCarriesNothingToTheNewOne) {
  deliver(Disconnected{start_playing(), CloseReason::reset});
  const auto dialled = take_dial(address_of_a);
  set_up("00000000000000aa", server_a);
  decide = nullptr;
  advance(50ms);
  started_ms = now / 1ms;
  tell(new_server());
  EXPECT_TRUE(closed(dialled));
  EXPECT_EQ(last_outcome(), Outcome::not_sent);
  advance(3s);
  EXPECT_EQ(take_dial(address_of_a), 0u) << "nothing more is asked under the old name";
}

TEST_F(PlatformReplacementTest, ProbesOfTheEndedProcessSayNothingOfTheNewOne) {
  const auto old = start_playing();
  decide = [](const Event& event) -> std::vector<Command> {
    if (std::holds_alternative<Request>(event))
      return {Probe{server_a}};
    return {};
  };
  take_sent(old);
  receive(viewer, offer("00000000000000aa"));
  const auto probe = take_sent(old);
  ASSERT_EQ(probe.size(), 2u + 9 + 4);
  started_ms = now / 1ms + 50;
  advance(100ms);
  tell(restarted_server());
  const auto ended = events_of_type<ProbeEnded>(events);
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_FALSE(ended[0].answered);
  EXPECT_FALSE(ended[0].sent) << "no failure of the new process";
  const auto reply =
      std::string(1, 53) + probe.substr(3, 8) + parameter(171, "\1") + parameter(156, "busy:0.25");
  receive(old, std::string(1, '\0') + static_cast<char>(reply.size()) + reply);
  EXPECT_EQ(events_of_type<ProbeEnded>(events).size(), 1u) << "a late answer is not believed";
}

// ---- releases and reports ----

// Guards against asking a new process to end the sessions of the old one, and against not asking it for its
// own.
TEST_F(PlatformReplacementTest, QueuedReleasesGoToTheProcessThatHasTheSession) {
  for (const bool same_name : {true, false}) {
    SCOPED_TRACE(same_name);
    start_core();
    const auto connection = replace_process();
    set_up("00000000000000aa", server_a);
    receive(connection, accept(0xaa));
    deliver(Disconnected{connection, CloseReason::reset});
    take_dial(address_of_a);
    receive(viewer, end());                    // at the old process
    receive(viewer, end("00000000000000aa"));  // at the new one
    take_sent(viewer);
    tell(same_name ? restarted_server() : new_server());
    advance(600ms);
    EXPECT_EQ(take_sent(connect_to(address_of_a)), release_bytes(0xaa, 16));
    EXPECT_EQ(core->resource_counts().playbacks, 0u);
  }
}

// A session that was set up under the old name at a server of another name ends on both sides.
TEST_F(PlatformReplacementTest, ASessionSetUpUnderTheOldNameIsReleasedAtTheNewServer) {
  const auto connection = replace_process();
  set_up("00000000000000aa", server_a);
  receive(connection, accept(0xaa));
  take_sent(connection);
  take_sent(viewer);
  tell(new_server());
  EXPECT_EQ(count(take_sent(viewer), R"("op":"end")"), 2u);
  EXPECT_EQ(take_sent(connection), release_bytes(0xaa, 16));
  EXPECT_EQ(core->resource_counts().playbacks, 0u);
}

TEST_F(PlatformReplacementTest, ReportsOfTheEndedProcessAreNotBelieved) {
  const auto old = start_playing();
  set_up("00000000000000aa", server_a);
  started_ms = now / 1ms + 50;
  advance(100ms);
  tell(restarted_server());
  events.clear();
  tries = 1;
  receive(old, server_message(44, 0xaa, parameter(150, "wire") + parameter(165, "0.9")));
  receive(old, server_message(12, 0xaa, parameter(171, std::string(1, 34)) + parameter(156, "x0:12;x1:40")));
  EXPECT_TRUE(events_of_type<Measurement>(events).empty());
  const auto ended = events_of_type<TryEnded>(events);
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_EQ(ended[0].outcome, Outcome::full) << "it never ran, whichever process says so";
  EXPECT_FALSE(ended[0].load.link_fill || ended[0].load.uplink_fill || ended[0].load.streams);
}

// ---- the slow start of the new process ----

// The start is what the pace of the new process counts from (scenario rule_cold_pace_restart).
TEST_F(PlatformReplacementTest, TheDeciderLearnsOfTheStartWithTheEntry) {
  replace_process();
  tell(restarted_server());
  const auto lists = events_of_type<ServerList>(events);
  ASSERT_FALSE(lists.empty());
  EXPECT_EQ(lists.back().entries.at(0).started, std::chrono::milliseconds(started_ms));
}

}  // namespace
}  // namespace violettide::platform
