// Races of two events at the platform's session manager, in both orders. Withholding InputDrained, which the
// runtime delivers after all pending input is read, puts events into one event loop turn.
#include "platform_fixture.h"

namespace violettide::platform {
namespace {

class PlatformRaceTest : public PlatformFixture {
 protected:
  // The decider tries this playback for each event that `which` selects.
  void decide_set_up_on(std::function<bool(const Event&)> which, PlaybackId id = 0, ServerId server = 0) {
    decide = [=](const Event& event) -> std::vector<Command> {
      if (which(event))
        return {SetRung{id, 1}, violettide::SetUp{id, server, 500ms}};
      return {};
    };
  }
  // Returns a connection to s-a that has carried one refused set-up.
  ConnectionId connect_to_a() {
    tries = 0;
    set_up_always_at(0);
    accept_viewer();
    receive(viewer, offer("00000000000000ff"));
    const auto connection = connect_to("10.1.0.1");
    receive(connection, release(34, 0xff));
    take_sent(viewer);
    take_sent(connection);
    events.clear();
    tries = 0;
    return connection;
  }
  std::string setup_message(CallId id = call_id) const {
    return setup_bytes({id, "triage", "t1", "tag\r\nc=IN\r\n", 500, 1});
  }
};

// ---- the viewer leaves ----

struct LeaveScenario {
  const char* description;
  std::vector<IoEvent> leave_events;
};
std::vector<LeaveScenario> leave_scenarios() {
  static const std::string cancel = end();
  return {{"reset", {Disconnected{viewer, CloseReason::reset}}},
          {"half-close", {HalfClosed{viewer}}},
          {"cancel", {Received{viewer, cancel}}}};
}

TEST_F(PlatformRaceTest, SendsNothingIfTheViewerLeavesInTheTurnOfItsRequest) {
  for (const auto& scenario : leave_scenarios()) {
    make_core(256);
    const auto connection = connect_to_a();
    auto_drain = false;
    receive(viewer, offer());
    for (const auto& one : scenario.leave_events)
      deliver(one);
    drain_input();
    EXPECT_EQ(take_sent(connection), "") << scenario.description;
    EXPECT_EQ(core->resource_counts().playbacks, 0u) << scenario.description;
    ASSERT_EQ(events_of_type<TryEnded>(events).size(), 1u) << scenario.description;
    EXPECT_TRUE(events_of_type<TryEnded>(events)[0].playback_over) << scenario.description;
    auto_drain = true;
  }
}

TEST_F(PlatformRaceTest, ReleasesASentSetUpWhenTheViewerLeaves) {
  for (const auto& scenario : leave_scenarios()) {
    make_core(256);
    const auto connection = connect_to_a();
    receive(viewer, offer());
    for (const auto& one : scenario.leave_events)
      deliver(one);
    EXPECT_EQ(take_sent(connection), setup_message() + release_bytes(call_id, 16)) << scenario.description;
    EXPECT_EQ(core->resource_counts().playbacks, 0u) << scenario.description;
  }
}

TEST_F(PlatformRaceTest, SendsNothingOnANewConnectionForAViewerWhoLeft) {
  for (const bool leaves_first : {true, false}) {
    for (const auto& scenario : leave_scenarios()) {
      make_core(256);
      set_up_always_at(0);
      accept_viewer();
      receive(viewer, offer());
      const auto connection = take_dial("10.1.0.1");
      auto_drain = false;  // in one event loop turn
      if (!leaves_first)
        deliver(Connected{connection});
      for (const auto& one : scenario.leave_events)
        deliver(one);
      if (leaves_first)
        deliver(Connected{connection});
      drain_input();
      EXPECT_EQ(take_sent(connection), "") << scenario.description;
      EXPECT_EQ(core->resource_counts().playbacks, 0u) << scenario.description;
      auto_drain = true;
      tries = 0;
    }
  }
}

TEST_F(PlatformRaceTest, DoesNotRetryForAViewerWhoLeavesInTheTurnOfTheFailure) {
  for (const bool leaves_first : {true, false}) {
    for (const auto& scenario : leave_scenarios()) {
      make_core(256);
      const auto connection = connect_to_a();
      decide = [](const Event& event) -> std::vector<Command> {
        const auto* request = std::get_if<Request>(&event);
        const auto* ended = std::get_if<TryEnded>(&event);
        if (!request && (!ended || ended->playback_over))
          return {};
        const auto id = request ? request->playback : ended->playback;
        return {SetRung{id, 1}, violettide::SetUp{id, 0, 500ms}};
      };
      receive(viewer, offer());
      EXPECT_EQ(take_sent(connection), setup_message());
      auto_drain = false;
      if (!leaves_first)
        receive(connection, release(47));
      for (const auto& one : scenario.leave_events)
        deliver(one);
      if (leaves_first)
        receive(connection, release(47));
      drain_input();
      EXPECT_EQ(count(take_sent(connection), setup_message()), 0u) << scenario.description;
      EXPECT_EQ(core->resource_counts().playbacks, 0u) << scenario.description;
      auto_drain = true;
    }
  }
}

TEST_F(PlatformRaceTest, DoesNotTryForAViewerWhoLeftDuringAProbeOrATimer) {
  for (const bool timer : {false, true}) {
    for (const auto& scenario : leave_scenarios()) {
      make_core(256);
      const auto connection = connect_to_a();
      PlaybackId requested = 0;
      decide = [&, timer](const Event& event) -> std::vector<Command> {
        if (const auto* request = std::get_if<Request>(&event)) {
          requested = request->playback;
          if (timer)
            return {SetTimer{50ms, 7}};
          return {Probe{0}};
        }
        if (std::holds_alternative<ProbeEnded>(event) || std::holds_alternative<TimerExpired>(event))
          return {SetRung{requested, 1}, violettide::SetUp{requested, 0, 500ms}};
        return {};
      };
      receive(viewer, offer());
      take_sent(connection);
      for (const auto& one : scenario.leave_events)
        deliver(one);
      advance(300ms);  // beyond the timeouts of the probe and of the timer
      EXPECT_EQ(take_sent(connection), "") << scenario.description;
      ASSERT_FALSE(events_of_type<TryEnded>(events).empty()) << "the decider gets the end of the try";
      EXPECT_EQ(last_outcome(), Outcome::not_sent);
      EXPECT_TRUE(events_of_type<TryEnded>(events).back().playback_over);
    }
  }
}

TEST_F(PlatformRaceTest, AcceptsTheEndOfAnUnknownOrFinishedCall) {
  const auto connection = start_playing();
  receive(connection, release(16));
  take_sent(viewer);
  receive(viewer, end() + end("00000000000000aa"));
  EXPECT_EQ(take_sent(viewer), ended_line(call_id) + ended_line(0xaa));
  EXPECT_FALSE(closed(viewer));
}

// ---- stalls of this process ----

TEST_F(PlatformRaceTest, AfterAStallInputIsReadBeforeTimersExpire) {
  const auto connection = connect_to_a();
  receive(viewer, offer());
  now += 600ms;  // beyond the timeout of the try
  auto_drain = false;
  deliver(TimerFired{});
  EXPECT_TRUE(events_of_type<TryEnded>(events).empty());
  receive(connection, accept());  // was unread
  drain_input();
  EXPECT_EQ(take_sent(viewer), accept_line(call_id, "server says\r\n"));
  EXPECT_EQ(core->resource_counts().playbacks, 1u);
}

TEST_F(PlatformRaceTest, AStallDoesNotCountAsSilenceOfServers) {
  const auto connection = start_playing();
  now += 7s;
  auto_drain = false;
  deliver(TimerFired{});
  receive(connection, server_message(44, call_id, parameter(150, "kept_up") + parameter(165, "1")));
  drain_input();
  auto_drain = true;
  advance(100ms);
  EXPECT_EQ(core->resource_counts().playbacks, 1u);
}

TEST_F(PlatformRaceTest, AfterAStallTimersExpireOnceInputIsRead) {
  connect_to_a();
  receive(viewer, offer());
  now += 600ms;
  deliver(TimerFired{});
  EXPECT_EQ(last_outcome(), Outcome::late);
}

// ---- connections to servers ----

TEST_F(PlatformRaceTest, SendsNoSetUpOnAConnectionNearTheIdleTimeout) {
  const auto connection = connect_to_a();
  advance(12s);
  accept_viewer(viewer + 1);
  receive(viewer + 1, offer());
  EXPECT_EQ(take_sent(connection), "") << "its server may be closing it";
  const auto next = take_dial("10.1.0.1");
  ASSERT_NE(next, 0u);
  deliver(Connected{next});
  EXPECT_EQ(take_sent(next), setup_message());
  advance(1200ms);
  EXPECT_TRUE(closed(connection)) << "an unused connection is closed, as servers limit their number";
  EXPECT_FALSE(closed(next));
}

TEST_F(PlatformRaceTest, KeepsAConnectionThatIsInUse) {
  const auto connection = connect_to_a();
  for (int i = 0; i < 5; ++i) {
    advance(4s);
    accept_viewer(viewer + 1);
    receive(viewer + 1, offer());
    EXPECT_EQ(take_sent(connection), setup_message());
    receive(connection, release(34));
    take_sent(connection);
    tries = 0;
  }
  EXPECT_FALSE(closed(connection));
}

TEST_F(PlatformRaceTest, ALocalDialFailureDoesNotCountAgainstTheServer) {
  const auto connection = start_playing();
  deliver(Disconnected{connection, CloseReason::reset});
  for (int i = 0; i < 30; ++i) {  // no descriptor for far longer than the silence timeout
    const auto dial = take_dial("10.1.0.1");
    if (dial)
      deliver(Disconnected{dial, CloseReason::local_failure});
    advance(500ms);
  }
  EXPECT_EQ(core->resource_counts().playbacks, 1u) << "the playback continues";
  const auto next = connect_to("10.1.0.1");
  receive(next, release(16));
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 16));
}

TEST_F(PlatformRaceTest, ReportsTriesAndProbesThatFailLocallyAsNotSent) {
  set_up_always_at(0);
  accept_viewer();
  receive(viewer, offer());
  deliver(Disconnected{take_dial("10.1.0.1"), CloseReason::local_failure});
  EXPECT_EQ(last_outcome(), Outcome::not_sent);
  EXPECT_EQ(take_sent(viewer), end_line(call_id, cause::rejected, 400));
  decide = [](const Event& event) -> std::vector<Command> {
    if (std::holds_alternative<Request>(event))
      return {Probe{1}};
    return {};
  };
  receive(viewer, offer());
  deliver(Disconnected{take_dial("10.1.0.2"), CloseReason::local_failure});
  ASSERT_EQ(events_of_type<ProbeEnded>(events).size(), 1u);
  EXPECT_FALSE(events_of_type<ProbeEnded>(events)[0].answered);
  EXPECT_FALSE(events_of_type<ProbeEnded>(events)[0].sent);
  receive(viewer, offer("00000000000000aa"));
  deliver(Disconnected{take_dial("10.1.0.2"), CloseReason::refused});
  EXPECT_TRUE(events_of_type<ProbeEnded>(events).back().sent)
      << "a refused probe reached the server's machine";
}

TEST_F(PlatformRaceTest, IgnoresAConnectionEstablishedAfterTheDialTimeout) {
  set_up_always_at(0);
  accept_viewer();
  receive(viewer, offer());
  const auto connection = take_dial("10.1.0.1");
  advance(260ms);
  EXPECT_EQ(last_outcome(), Outcome::no_connection);
  EXPECT_TRUE(closed(connection));
  advance(740ms);
  deliver(Connected{connection});  // was pending
  receive(connection, accept());
  EXPECT_EQ(take_sent(connection), "");
  EXPECT_EQ(take_sent(viewer), end_line(call_id, cause::rejected, 400));
  EXPECT_EQ(events_of_type<TryEnded>(events).size(), 1u);
}

TEST_F(PlatformRaceTest, AResetEndsSentTriesAsResetAndUnsentOnesWithoutConnection) {
  const auto connection = connect_to_a();
  decide = [](const Event& event) -> std::vector<Command> {
    if (const auto* request = std::get_if<Request>(&event))
      return {SetRung{request->playback, 1}, violettide::SetUp{request->playback, 0, 500ms}};
    if (const auto* ended = std::get_if<TryEnded>(&event); ended && !ended->playback_over)
      return {Abort{ended->playback}};
    return {};
  };
  receive(viewer, offer() + offer("00000000000000aa"));
  auto_drain = false;
  receive(viewer, offer("00000000000000ab"));  // unsent when the reset is read
  deliver(Disconnected{connection, CloseReason::reset});
  drain_input();
  std::vector<Outcome> outcomes;
  for (const auto& one : events_of_type<TryEnded>(events))
    outcomes.push_back(one.outcome);
  EXPECT_EQ(outcomes, (std::vector{Outcome::reset, Outcome::reset, Outcome::no_connection}))
      << "after a reset, sent tries may have run";
  EXPECT_EQ(take_sent(viewer),
            end_line(call_id, cause::reset) + end_line(0xaa, cause::reset) + end_line(0xab, cause::reset));
  EXPECT_EQ(take_sent(connection), setup_message() + setup_message(0xaa));
}

TEST_F(PlatformRaceTest, AnAnswerFollowedByACloseCounts) {
  const auto connection = connect_to_a();
  receive(viewer, offer());
  receive(connection, accept());
  deliver(HalfClosed{connection});
  EXPECT_EQ(take_sent(viewer), accept_line(call_id, "server says\r\n"));
  EXPECT_EQ(core->resource_counts().playbacks, 1u);
  const auto next = connect_to("10.1.0.1");
  receive(next, release(16));
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 16)) << "its end is received on the next connection";
}

TEST_F(PlatformRaceTest, IgnoresASecondAnswer) {
  const auto connection = connect_to_a();
  receive(viewer, offer());
  receive(connection, release(34));
  EXPECT_EQ(take_sent(viewer), end_line(call_id, cause::rejected, 400));
  take_sent(connection);
  advance(5ms);
  receive(connection, accept());
  EXPECT_EQ(take_sent(viewer), "");
  EXPECT_EQ(take_sent(connection), release_bytes(call_id, 16)) << "a playback without a viewer is released";
  receive(connection, release(34) + release(47));
  EXPECT_EQ(take_sent(viewer), "");
  EXPECT_EQ(events_of_type<TryEnded>(events).size(), 1u);
}

TEST_F(PlatformRaceTest, ANewServerAtAnOldAddressGetsItsOwnConnection) {
  const auto connection = connect_to_a();
  receive(viewer, offer());
  deliver(Connected{channel_connection});
  take_sent(connection);
  receive(
      channel_connection,
      event(2, false, list_entry("s-a", "10.1.0.1", "Gone") + "," + list_entry("s-c", "10.1.0.1", "Ready")));
  set_up_always_at(2);
  receive(viewer, offer("00000000000000aa"));
  EXPECT_EQ(take_sent(connection), "");
  const auto next = connect_to("10.1.0.1");
  EXPECT_EQ(take_sent(next), setup_message(0xaa));
  receive(next, accept());
  EXPECT_EQ(take_sent(viewer), "") << "the new server can't answer the try at the old one";
  tries = 1;
  deliver(Disconnected{connection, CloseReason::reset});
  EXPECT_EQ(take_sent(viewer), end_line(call_id, cause::rejected, 400));
  receive(next, accept(0xaa));
  EXPECT_EQ(take_sent(viewer), accept_line(0xaa, "server says\r\n"));
}

TEST_F(PlatformRaceTest, RedialsAServerWhoseAddressChangesDuringTheDial) {
  set_up_always_at(0);
  accept_viewer();
  receive(viewer, offer());
  const auto old = take_dial("10.1.0.1");
  deliver(Connected{channel_connection});
  decide = [this](const Event& event) -> std::vector<Command> {
    const auto* ended = std::get_if<TryEnded>(&event);
    if (!ended || ended->playback_over || tries++ > 1)
      return {};
    return {SetRung{ended->playback, 1}, violettide::SetUp{ended->playback, 0, 500ms}};
  };
  receive(channel_connection, event(2, false, list_entry("s-a", "10.1.0.7", "Ready")));
  EXPECT_TRUE(closed(old));
  deliver(Connected{old});
  EXPECT_EQ(take_sent(old), "");
  EXPECT_EQ(last_outcome(), Outcome::not_sent);
  const auto next = connect_to("10.1.0.7");
  EXPECT_EQ(take_sent(next), setup_message());
}

TEST_F(PlatformRaceTest, LimitsTheDescriptorsForServers) {
  make_core(256);  // less 160 for viewers and 24 for the process itself: 72 for servers
  deliver(Connected{channel_connection});
  std::string entries;
  for (int i = 0; i < 100; ++i)
    entries += (i ? "," : "") + list_entry("t-" + std::to_string(i), "10.3.0." + std::to_string(i), "Ready");
  receive(channel_connection, event(2, false, entries));
  decide = [](const Event& event) -> std::vector<Command> {
    const auto* request = std::get_if<Request>(&event);
    if (!request)
      return {};
    return {SetRung{request->playback, 1},
            violettide::SetUp{request->playback, 2 + request->playback % 100, 500ms}};
  };
  accept_viewer();
  std::size_t max_connections = 0;
  ConnectionId first = 0;
  for (int i = 0; i < 100; ++i) {
    receive(viewer, offer(format_call_id(1000 + i)));
    const auto connection = connect_to("10.3.0." + std::to_string(i));
    if (i == 0)
      first = connection;
    EXPECT_EQ(take_sent(connection), setup_message(1000 + i)) << "every server is reached";
    receive(connection, release(34, 1000 + i));
    advance(1ms);
    max_connections = std::max(max_connections, core->resource_counts().server_connections);
  }
  EXPECT_EQ(max_connections, 72u);
  EXPECT_TRUE(closed(first)) << "the least recently used one is closed";
}

TEST_F(PlatformRaceTest, WithoutAFreeDescriptorATryWaitsForTheDialTimeoutAndIsNotSent) {
  make_core(64);  // leaves one for servers
  set_up_always_at(0);
  accept_viewer();
  receive(viewer, offer());
  connect_to("10.1.0.1");
  set_up_always_at(1);
  tries = 0;
  receive(viewer, offer("00000000000000aa"));
  EXPECT_EQ(take_dial("10.1.0.2"), 0u);
  EXPECT_TRUE(events_of_type<TryEnded>(events).empty())
      << "a try that ended at once would be retried at once";
  advance(260ms);
  EXPECT_EQ(last_outcome(), Outcome::not_sent);
}

// ---- server list ----

TEST_F(PlatformRaceTest, CancelsATryThatWaitsForItsConnectionWhenTheServerDrains) {
  for (const auto* status : {"Terminating", "Gone"}) {
    make_core(256);
    events.clear();
    set_up_always_at(0);
    tries = 0;
    accept_viewer();
    receive(viewer, offer());
    const auto connection = take_dial("10.1.0.1");
    deliver(Connected{channel_connection});
    receive(channel_connection, list_event(2, status, "Ready") + "\n");
    EXPECT_EQ(last_outcome(), Outcome::not_sent) << status;
    deliver(Connected{connection});
    EXPECT_EQ(take_sent(connection), "") << status;
  }
}

TEST_F(PlatformRaceTest, SendsNothingToAServerThatDrainsInTheTurnOfTheRequest) {
  const auto connection = connect_to_a();
  deliver(Connected{channel_connection});
  auto_drain = false;
  receive(viewer, offer());
  receive(channel_connection, list_event(2, "Terminating", "Ready") + "\n");
  drain_input();
  EXPECT_EQ(take_sent(connection), "");
  EXPECT_EQ(last_outcome(), Outcome::not_sent);
}

TEST_F(PlatformRaceTest, ADrainAfterTheSetUpDoesNotCancelIt) {
  const auto connection = connect_to_a();
  deliver(Connected{channel_connection});
  receive(viewer, offer());
  receive(channel_connection, list_event(2, "Terminating", "Ready") + "\n");
  EXPECT_EQ(take_sent(connection), setup_message());
  receive(connection, accept());
  EXPECT_EQ(take_sent(viewer), accept_line(call_id, "server says\r\n"));
}

TEST_F(PlatformRaceTest, AppliesAStartAndADrainInOneReadInOrder) {
  deliver(Connected{channel_connection});
  receive(channel_connection, event(2, false, list_entry("s-c", "10.1.0.8", "Ready")) +
                                  event(3, false, list_entry("s-c", "10.1.0.8", "Terminating")));
  const auto lists = events_of_type<ServerList>(events);
  ASSERT_EQ(lists.size(), 3u);
  EXPECT_EQ(lists[1].entries[0].state, ServerState::ready);
  EXPECT_EQ(lists[2].entries[0].state, ServerState::draining);
}

TEST_F(PlatformRaceTest, ServersMissingFromASnapshotBetweenChangesAreGone) {
  set_up_always_at(0);
  accept_viewer();
  receive(viewer, offer());
  const auto connection = take_dial("10.1.0.1");
  deliver(Connected{channel_connection});
  receive(channel_connection, event(2, false, list_entry("s-c", "10.1.0.8", "Ready")) +
                                  event(3, true, list_entry("s-c", "10.1.0.8", "Ready")) +
                                  event(4, false, list_entry("s-d", "10.1.0.9", "Ready")));
  const auto lists = events_of_type<ServerList>(events);
  ASSERT_EQ(lists.size(), 4u);
  EXPECT_EQ(lists[2].kind, ServerList::Kind::complete);
  EXPECT_EQ(last_outcome(), Outcome::not_sent) << "no new try at a server that is missing";
  deliver(Connected{connection});
  EXPECT_EQ(take_sent(connection), "");
}

// SIGHUP moves the command channel while it is dialled, resumed or followed, and twice in a row.
TEST_F(PlatformRaceTest, FollowsTheChannelAtItsLastConfiguredAddress) {
  enum class During { dial, resume, watch };
  const auto move_channel = [&](const std::string& to, const std::string& known = "") {
    deliver(ConfigReloaded{R"({"listen":"10.0.0.4:3868","seed":"1","channel":")" + to +
                           R"(:7070","known":{"cmds":[)" + known +
                           R"(]},"settings":{"Classes":[{"Name":"triage","Aim":1000,"GiveUp":2000}],)"
                           R"("FamilyInfo":{"RatesKb":[1]}}})"});
  };
  for (const auto during : {During::dial, During::resume, During::watch}) {
    make_core(256);
    events.clear();
    const auto old = channel_connection;
    if (during != During::dial)
      deliver(Connected{old});
    if (during == During::watch)
      receive(old, "1\n");
    move_channel("10.2.0.8");
    move_channel("10.2.0.9");
    EXPECT_TRUE(closed(old));
    deliver(Connected{old});  // was pending
    receive(old, list_event(2, "Ready", "Gone") + "\n");
    EXPECT_TRUE(events_of_type<ServerList>(events).empty()) << "an event from the old address is ignored";
    take_sent(old);
    advance(250ms);
    EXPECT_EQ(take_dial("10.2.0.8"), 0u);
    const auto next = connect_to("10.2.0.9");
    EXPECT_EQ(take_sent(next), "resume 1\n");
    receive(next, list_event(2, "Terminating", "Ready") + "\n");
    EXPECT_EQ(events_of_type<ServerList>(events).size(), 1u);
  }
}

TEST_F(PlatformRaceTest, ADrainInAReloadedConfigurationCancelsWaitingTries) {
  set_up_always_at(0);
  accept_viewer();
  receive(viewer, offer());
  const auto connection = take_dial("10.1.0.1");
  deliver(
      ConfigReloaded{R"({"listen":"10.0.0.4:3868","seed":"1","channel":"10.2.0.1:7070","known":{"cmds":[)" +
                     list_event(2, "Terminating", "Ready") +
                     R"(]},"settings":{"Classes":[{"Name":"triage","Aim":1000,"GiveUp":2000}],)"
                     R"("FamilyInfo":{"RatesKb":[1]}}})"});
  EXPECT_EQ(last_outcome(), Outcome::not_sent);
  deliver(Connected{connection});
  EXPECT_EQ(take_sent(connection), "");
}

TEST_F(PlatformRaceTest, FailsTheReadinessTestWithoutAReadyServer) {
  deliver(Connected{channel_connection});
  accept_viewer();
  const auto passes = [&] {
    receive(viewer, test_request());
    return take_sent(viewer) == tested_line(1, true);
  };
  EXPECT_TRUE(passes());
  receive(channel_connection, event(2, true, ""));
  EXPECT_FALSE(passes()) << "an empty list";
  receive(channel_connection, event(3, false, list_entry("s-c", "10.1.0.8", "Terminating")));
  EXPECT_FALSE(passes()) << "only a draining server";
  receive(channel_connection, event(4, false, list_entry("s-c", "10.1.0.8", "Ready")));
  EXPECT_TRUE(passes()) << "ready again";
}

// ---- start and shutdown ----

TEST_F(PlatformRaceTest, ShutdownReadsAndAnswersPendingInputFirst) {
  const auto connection = connect_to_a();
  deliver(ShutdownRequested{});
  deliver(ShutdownRequested{});
  advance(790ms);
  EXPECT_FALSE(stopped());
  auto_drain = false;
  advance(110ms);            // shutdown is due
  receive(viewer, offer());  // this was unread
  auto_drain = true;
  drain_input();
  EXPECT_FALSE(stopped());
  EXPECT_EQ(take_sent(connection), setup_message());
  receive(connection, accept());
  receive(connection, release(16));
  EXPECT_EQ(take_sent(viewer), accept_line(call_id, "server says\r\n") + end_line(call_id, 16));
  advance(200ms);
  EXPECT_TRUE(stopped());
}

TEST_F(PlatformRaceTest, ShutdownAnswersARequestFromTheAcceptQueue) {
  set_up_always_at(0);
  deliver(ShutdownRequested{});
  advance(790ms);
  auto_drain = false;
  advance(110ms);   // shutdown is due
  accept_viewer();  // accepted in this event loop turn, read in the next
  core->handle(now, InputDrained{}, actions);
  EXPECT_FALSE(stopped());
  receive(viewer, offer());
  drain_requested = true;
  drain_input();
  EXPECT_FALSE(stopped());
  const auto connection = connect_to("10.1.0.1");
  drain_requested = true;
  drain_input();
  receive(connection, accept());
  EXPECT_EQ(take_sent(viewer), accept_line(call_id, "server says\r\n"));
}

TEST_F(PlatformRaceTest, EndlessNewViewersDoNotDelayShutdown) {
  deliver(ShutdownRequested{});
  auto_drain = false;
  advance(900ms);
  for (ConnectionId connection = viewer; connection < viewer + 10 && !stopped(); ++connection) {
    accept_viewer(connection);
    core->handle(now, InputDrained{}, actions);
  }
  EXPECT_TRUE(stopped());
}

TEST_F(PlatformRaceTest, ServesViewersWhoArriveDuringShutdown) {
  const auto connection = connect_to_a();
  deliver(ShutdownRequested{});
  advance(400ms);
  accept_viewer(viewer + 1);
  advance(200ms);
  receive(viewer + 1, offer());
  receive(connection, accept());
  EXPECT_EQ(take_sent(viewer + 1), accept_line(call_id, "server says\r\n"));
}

TEST_F(PlatformRaceTest, AtItsDeadlineShutdownAnswersOpenRequestsAndFlushes) {
  set_up_always_at(0, 60s);
  accept_viewer();
  receive(viewer, offer());
  const auto connection = connect_to("10.1.0.1");
  deliver(ShutdownRequested{});
  auto_drain = false;
  advance(2210ms);  // the longest abandon time and the margin
  accept_viewer(viewer + 1);
  receive(viewer + 1, offer("00000000000000aa"));  // read in the last event loop turn
  EXPECT_FALSE(stopped());
  take_sent(connection);
  drain_input();
  EXPECT_EQ(take_sent(viewer), end_line(call_id, cause::reset));
  EXPECT_EQ(take_sent(viewer + 1), end_line(0xaa, cause::reset));
  EXPECT_EQ(take_sent(connection), release_bytes(call_id, 16)) << "the try is cancelled at the server";
  std::size_t closed_after_sending = 0;
  for (const auto& action : actions) {
    if (const auto* close = std::get_if<Close>(&action); close && close->connection >= viewer)
      closed_after_sending += close->after_sending;
  }
  EXPECT_EQ(closed_after_sending, 2u) << "no last answer is lost to a reset";
  EXPECT_TRUE(stopped());
  EXPECT_LE(std::get<StopLoop>(actions.back()).timeout, 200ms)
      << "a viewer that reads nothing can't delay it";
}

TEST_F(PlatformRaceTest, ShutdownAsTheFirstEventIsGraceful) {
  PlatformConfig config;
  config.plans = {"triage"};
  config.abandon_times = {1800ms};
  config.channel = Endpoint{"10.2.0.1", 7070};
  core = std::make_unique<Platform>(
      config, std::make_unique<ScriptedDecider>(
                  &events, [](Duration, const Event&) { return std::vector<Command>{}; }));
  actions.clear();
  deliver(ShutdownRequested{});
  deliver(TimerFired{});
  deliver(ConfigReloaded{"half of a fi"});
  advance(1s);
  EXPECT_TRUE(stopped());
}

// A server sends a release once, on the next connection, which another request may have opened before the
// handover arrives.
TEST_F(PlatformRaceTest, AReleaseBeforeTheHandoverEndsThePlayback) {
  const auto connection = connect_to_a();
  receive(connection, release(41));
  take_sent(viewer);
  const auto handover = offer(call, "4294967", "", "home:0;copies:2;top:1;at:s-a");
  receive(viewer, handover);
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 41));
  EXPECT_TRUE(events_of_type<PlaybackAdopted>(events).empty());
  EXPECT_EQ(core->resource_counts().playbacks, 0u);
  advance(11s);
  accept_viewer(viewer + 1);
  receive(viewer + 1, handover);
  EXPECT_EQ(events_of_type<PlaybackAdopted>(events).size(), 1u) << "the release has expired";
}

TEST_F(PlatformRaceTest, AReleaseAfterTheHandoverEndsThePlayback) {
  const auto connection = connect_to_a();
  receive(viewer, offer(call, "4294967", "", "home:0;copies:2;top:1;at:s-a"));
  EXPECT_EQ(events_of_type<PlaybackAdopted>(events).size(), 1u);
  receive(connection, release(41));
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 41));
  EXPECT_EQ(core->resource_counts().playbacks, 0u);
}

// ---- answers ----

TEST_F(PlatformRaceTest, ADuplicateIdDoesNotRedirectTheReportOfTheEnd) {
  const std::string at = "home:0;copies:2;top:1;at:s-a";
  accept_viewer();
  receive(viewer, offer(call, "4294967", "", at));
  const auto connection = connect_to("10.1.0.1");
  accept_viewer(viewer + 1);
  auto other = offer(call, "4294967", "", at);
  other.replace(other.find("\"t1\""), 4, "\"t9\"");
  receive(viewer + 1, other);
  EXPECT_EQ(take_sent(viewer + 1), end_line(call_id, cause::invalid_message)) << "and gets an answer";
  receive(connection, release(16));
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 16));
}

TEST_F(PlatformRaceTest, ReportsTheEndOnAnotherConnectionIfItsOwnIsClosed) {
  const auto connection = start_playing();
  accept_viewer(viewer + 1);
  receive(viewer + 1, test_request());
  take_sent(viewer + 1);
  accept_viewer(viewer + 2);  // has sent no message yet
  deliver(Disconnected{viewer, CloseReason::reset});
  receive(connection, release(16));
  EXPECT_EQ(take_sent(viewer + 1), end_line(call_id, 16));
}

TEST_F(PlatformRaceTest, ReportsAnUndeliveredEndToTheNextViewerThatSendsAMessage) {
  const auto connection = start_playing();
  deliver(Disconnected{viewer, CloseReason::reset});
  receive(connection, release(16));
  accept_viewer(viewer + 1);
  EXPECT_EQ(take_sent(viewer + 1), "");
  receive(viewer + 1, test_request());
  EXPECT_EQ(take_sent(viewer + 1), end_line(call_id, 16) + tested_line(1, true));
}

TEST_F(PlatformRaceTest, ReassemblesFragmentedMessages) {
  const auto connection = connect_to_a();
  for (const char c : offer())
    receive(viewer, std::string(1, c));
  EXPECT_EQ(take_sent(connection), setup_message());
  for (const char c : accept())
    receive(connection, std::string(1, c));
  EXPECT_EQ(take_sent(viewer), accept_line(call_id, "server says\r\n"));
  receive(viewer, offer("00000000000000aa") + offer("00000000000000ab").substr(0, 30));
  EXPECT_EQ(take_sent(connection), setup_message(0xaa));
  EXPECT_EQ(core->resource_counts().playbacks, 2u);
}

TEST_F(PlatformRaceTest, AnswerTimeoutAndCancelInOneTurnGiveOneEnd) {
  enum class Step { answer, refusal, deadline, cancel };
  std::vector<Step> order{Step::answer, Step::refusal, Step::deadline, Step::cancel};
  do {
    make_core(256);
    const auto connection = connect_to_a();
    receive(viewer, offer());
    now += 499ms;
    auto_drain = false;
    for (const auto one : order) {
      if (one == Step::answer)
        receive(connection, accept());
      if (one == Step::refusal)
        receive(connection, release(34));
      if (one == Step::deadline)
        now += 2ms, deliver(TimerFired{});
      if (one == Step::cancel)
        receive(viewer, end());
    }
    drain_input();
    const auto replies = take_sent(viewer);
    EXPECT_LE(count(replies, "\"accept\"") + count(replies, "\"wait\""), 1u) << "at most one answer";
    EXPECT_EQ(count(replies, "\"ended\""), 1u);
    EXPECT_EQ(core->resource_counts().playbacks, 0u);
    auto_drain = true;
  } while (std::next_permutation(order.begin(), order.end()));
}

}  // namespace
}  // namespace violettide::platform
