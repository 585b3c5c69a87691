// The core of the platform's session manager with a scripted decider: what it sends on connections and which
// events the decider gets.
#include "platform/platform.h"

#include "platform_fixture.h"

namespace violettide::platform {
namespace {

class PlatformTest : public PlatformFixture {};

TEST_F(PlatformTest, ForwardsTheSetUpToTheServerAndTheAnswerToTheViewer) {
  set_up_always_at(0);
  accept_viewer();
  receive(viewer, offer());
  const auto request = events_of_type<Request>(events).at(0);
  EXPECT_EQ(request.abandon_at, now + 1500ms);
  EXPECT_EQ(request.length, Duration(8s));
  EXPECT_EQ(request.cell_count, 2);
  EXPECT_EQ(request.top, 1);
  const auto connection = connect_to("10.1.0.1");
  EXPECT_EQ(take_sent(connection), setup_bytes({call_id, "triage", "t1", "tag\r\nc=IN\r\n", 500, 1}));
  now += 30ms;
  receive(connection, accept());
  EXPECT_EQ(take_sent(viewer), accept_line(call_id, "server says\r\n"));
  EXPECT_EQ(events_of_type<PlaybackStarted>(events).at(0).startup_delay, 30ms);
  receive(connection, accept());
  EXPECT_EQ(take_sent(viewer), "") << "a duplicate answer is not forwarded";
  receive(connection, release(16));
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 16));
  EXPECT_EQ(last_outcome(), Outcome::served);
  EXPECT_TRUE(events_of_type<TryEnded>(events).back().playback_over);
  EXPECT_EQ(core->resource_counts().playbacks, 0u);
  EXPECT_EQ(core->resource_counts().titles, 0u);
}

TEST_F(PlatformTest, MapsTheCauseOfAReleaseBeforeTheAnswerToAnOutcome) {
  const std::vector<std::pair<int, Outcome>> means{{34, Outcome::full},
                                                   {47, Outcome::error},
                                                   {102, Outcome::not_sent},
                                                   {41, Outcome::reset},
                                                   {99, Outcome::reset}};
  set_up_always_at(0);
  accept_viewer();
  receive(viewer, offer());
  const auto connection = connect_to("10.1.0.1");
  for (const auto& [cause, expected_outcome] : means) {
    receive(connection, release(cause));
    EXPECT_EQ(last_outcome(), expected_outcome) << cause;
    EXPECT_EQ(take_sent(viewer), end_line(call_id, cause::rejected, 400)) << "with a retry time";
    tries = 0;
    receive(viewer, offer());
  }
}

TEST_F(PlatformTest, ReleasesATimedOutTryBeforeTheNextOne) {
  set_up_always_at(0, 200ms);
  accept_viewer();
  receive(viewer, offer());
  const auto connection = connect_to("10.1.0.1");
  receive(connection, server_message(6, call_id));
  take_sent(connection);
  advance(210ms);
  EXPECT_EQ(last_outcome(), Outcome::late);
  EXPECT_EQ(take_sent(connection), release_bytes(call_id, 16));
  EXPECT_EQ(take_sent(viewer), end_line(call_id, cause::rejected, 400));
  receive(connection, accept());
  EXPECT_EQ(take_sent(viewer), "") << "an answer after the timeout is ignored";
  EXPECT_EQ(take_sent(connection), release_bytes(call_id, 16)) << "a playback without a viewer is released";
  EXPECT_TRUE(events_of_type<PlaybackStarted>(events).empty());
}

TEST_F(PlatformTest, RetiresAConnectionThatIsSilentDuringATry) {
  set_up_always_at(0, 200ms);
  accept_viewer();
  receive(viewer, offer());
  connect_to("10.1.0.1");
  advance(210ms);
  tries = 0;
  receive(viewer, offer("00000000000000aa"));
  EXPECT_NE(take_dial("10.1.0.1"), 0u);
}

TEST_F(PlatformTest, ARefusedOrTimedOutDialEndsTheTryWithoutConnection) {
  set_up_always_at(0);
  accept_viewer();
  receive(viewer, offer());
  deliver(Disconnected{take_dial("10.1.0.1"), CloseReason::refused});
  EXPECT_EQ(last_outcome(), Outcome::no_connection);
  tries = 0;
  receive(viewer, offer());
  const auto connection = take_dial("10.1.0.1");
  advance(260ms);
  EXPECT_EQ(events_of_type<TryEnded>(events).size(), 2u);
  EXPECT_EQ(last_outcome(), Outcome::no_connection);
  EXPECT_TRUE(closed(connection));
}

TEST_F(PlatformTest, AMalformedServerMessageEndsAllTriesOnTheConnection) {
  set_up_always_at(0);
  accept_viewer();
  receive(viewer, offer() + offer("00000000000000aa"));
  const auto connection = connect_to("10.1.0.1");
  receive(connection, std::string("\xff\xff", 2));
  EXPECT_TRUE(closed(connection));
  const auto ended = events_of_type<TryEnded>(events);
  ASSERT_EQ(ended.size(), 2u);
  for (const auto& one : ended)
    EXPECT_EQ(one.outcome, Outcome::reset) << "the try may have run";
  EXPECT_EQ(take_sent(connection), setup_bytes({call_id, "triage", "t1", "tag\r\nc=IN\r\n", 500, 1}) +
                                       setup_bytes({0xaa, "triage", "t1", "tag\r\nc=IN\r\n", 500, 1}));
}

TEST_F(PlatformTest, IgnoresAnAnswerForAnUnknownCall) {
  set_up_always_at(0);
  accept_viewer();
  receive(viewer, offer());
  const auto connection = connect_to("10.1.0.1");
  receive(connection, accept(77));
  EXPECT_EQ(take_sent(viewer), "");
  receive(connection, accept());
  EXPECT_EQ(take_sent(viewer), accept_line(call_id, "server says\r\n"));
}

TEST_F(PlatformTest, CancelsTheTryOfAViewerWhoLeaves) {
  set_up_always_at(0);
  accept_viewer();
  receive(viewer, offer());
  const auto connection = connect_to("10.1.0.1");
  take_sent(connection);
  receive(viewer, end());
  EXPECT_EQ(take_sent(connection), release_bytes(call_id, 16));
  EXPECT_EQ(take_sent(viewer), ended_line(call_id));
  EXPECT_EQ(events_of_type<RequestCancelled>(events).size(), 1u);
  EXPECT_EQ(last_outcome(), Outcome::cancelled);
  receive(viewer, offer("00000000000000aa"));
  deliver(Disconnected{viewer, CloseReason::reset});
  EXPECT_EQ(events_of_type<RequestCancelled>(events).size(), 2u)
      << "closing the connection cancels its set-ups";
  EXPECT_EQ(core->resource_counts().playbacks, 0u);
}

TEST_F(PlatformTest, AViewerCanEndAPlaybackOnAnyConnection) {
  const auto connection = start_playing();
  take_sent(connection);
  deliver(Disconnected{viewer, CloseReason::reset});
  EXPECT_EQ(core->resource_counts().playbacks, 1u) << "a playback outlives its viewer's connection";
  accept_viewer(viewer + 1);
  receive(viewer + 1, end());
  EXPECT_EQ(take_sent(connection), release_bytes(call_id, 16));
  EXPECT_EQ(last_outcome(), Outcome::cancelled);
  EXPECT_EQ(core->resource_counts().playbacks, 0u);
}

TEST_F(PlatformTest, DoesNotReportAnEndThatTheViewerCaused) {
  const auto connection = start_playing();
  receive(connection, release(31));
  EXPECT_EQ(take_sent(viewer), "");
  EXPECT_EQ(last_outcome(), Outcome::cancelled);
}

// A playback that already plays is adopted even if its remaining time exceeds the abandon time of its plan.
TEST_F(PlatformTest, AdoptsAPlaybackThatAlreadyPlaysAndReportsItsEnd) {
  accept_viewer();
  receive(viewer, offer(call, "4294967", "", "home:0;copies:2;top:1;at:s-a"));
  EXPECT_EQ(take_sent(viewer), "");
  ASSERT_EQ(events_of_type<PlaybackAdopted>(events).size(), 1u);
  EXPECT_EQ(events_of_type<PlaybackAdopted>(events)[0].server, 0u);
  const auto connection = connect_to("10.1.0.1");
  receive(connection, server_message(44, call_id, parameter(150, "tier") + parameter(165, "1")));
  EXPECT_EQ(events_of_type<Measurement>(events).at(0).kind, Measurement::Kind::rung);
  receive(viewer, offer(call, "4294967", "", "home:0;copies:2;top:1;at:s-a"));
  EXPECT_EQ(events_of_type<PlaybackAdopted>(events).size(), 1u) << "a repeated handover";
  receive(connection, release(41));
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 41));
  EXPECT_EQ(last_outcome(), Outcome::reset);
}

TEST_F(PlatformTest, RefusesInvalidOffers) {
  int number = 0;
  for (const auto& bad :
       {offer(call, "0"), offer(call, "-5"), offer(call, "3700"), offer(call, "1e9"), offer(call, "soon"),
        offer(call, "nan"), offer(call, "1500", R"(,"class":"none")"),
        offer(call, "1500", "", "home:2;copies:2;top:1"), offer(call, "1500", "", "home:0;copies:3;top:1"),
        offer(call, "1500", "", "home:0;copies:2;top:9"), offer(call, "1500", "", "home:0"),
        offer(call, "1500", "", "home"),
        std::string(R"({"op":"offer","call":")" + call + R"(","with":{}})" + "\n"),
        std::string(R"({"op":"dance","call":")" + call + R"("})" + "\n")}) {
    const ConnectionId connection = viewer + static_cast<ConnectionId>(++number);
    accept_viewer(connection);
    receive(connection, bad);
    EXPECT_EQ(take_sent(connection), end_line(call_id, cause::invalid_message)) << bad;
    EXPECT_TRUE(closed(connection)) << bad;
  }
  EXPECT_TRUE(events_of_type<Request>(events).empty());
}

// A busy viewer sends its message late and with more time than the plan's abandon time: it is served anyway.
TEST_F(PlatformTest, AcceptsSomewhatMoreTimeThanThePlansAbandonTime) {
  set_up_always_at(0);
  accept_viewer();
  receive(viewer, offer(call, "1873"));
  EXPECT_EQ(take_sent(viewer), "");
  EXPECT_EQ(events_of_type<Request>(events).at(0).abandon_at, now + 1873ms);
}

TEST_F(PlatformTest, AnInvalidOfferDoesNotEndOthersOnItsConnection) {
  set_up_always_at(0);
  accept_viewer();
  receive(viewer, offer());
  const auto connection = connect_to("10.1.0.1");
  receive(viewer, offer("00000000000000aa", "0") +
                      R"({"op":"dance","call":"00000000000000ab"})"
                      "\n" +
                      R"({"call":"00000000000000ac"})"
                      "\n");
  EXPECT_EQ(take_sent(viewer), end_line(0xaa, cause::invalid_message) +
                                   end_line(0xab, cause::invalid_message) +
                                   end_line(0xac, cause::invalid_message));
  EXPECT_FALSE(closed(viewer));
  receive(connection, accept());
  EXPECT_EQ(take_sent(viewer), accept_line(call_id, "server says\r\n"));
}

TEST_F(PlatformTest, LogsRefusedMessagesWithTheirCauseOnceASecond) {
  const auto refusals = [&] {
    std::vector<LogLine> all;
    for (const auto& action : actions) {
      if (const auto* say = std::get_if<LogLine>(&action); say && say->event == "turned_off")
        all.push_back(*say);
    }
    return all;
  };
  accept_viewer();
  for (int i = 0; i < 5; ++i)
    receive(viewer, offer(format_call_id(i), "0"));
  accept_viewer(viewer + 1);
  receive(viewer + 1, offer(call, "0"));
  ASSERT_EQ(refusals().size(), 1u);
  EXPECT_EQ(std::get<std::string>(refusals()[0].fields.at(0).second), "with.left: expected milliseconds");
  advance(1s);
  accept_viewer(viewer + 2);
  receive(viewer + 2, "noise\n");
  ASSERT_EQ(refusals().size(), 2u);
  EXPECT_EQ(std::get<std::int64_t>(refusals()[1].fields.at(1).second), 2)
      << "the refusal in between is counted";
}

TEST_F(PlatformTest, RefusesTheIdOfAnOpenRequestFromAnotherConnection) {
  set_up_always_at(0);
  accept_viewer();
  receive(viewer, offer());
  const auto connection = connect_to("10.1.0.1");
  accept_viewer(viewer + 1);
  receive(viewer + 1, offer());
  EXPECT_EQ(take_sent(viewer + 1), end_line(call_id, cause::invalid_message));
  receive(connection, accept());
  EXPECT_EQ(take_sent(viewer), accept_line(call_id, "server says\r\n")) << "the first request is served";
}

TEST_F(PlatformTest, TwoRequestsWithOneIdOnOneConnectionGetOneAnswer) {
  set_up_always_at(0);
  accept_viewer();
  receive(viewer, offer());
  const auto connection = connect_to("10.1.0.1");
  receive(viewer, offer());
  receive(connection, accept());
  EXPECT_EQ(take_sent(viewer), end_line(call_id, cause::invalid_message));
  EXPECT_EQ(core->resource_counts().playbacks, 0u);
}

TEST_F(PlatformTest, ClosesViewerConnectionsWithoutACompleteMessage) {
  accept_viewer();
  accept_viewer(viewer + 1);
  accept_viewer(viewer + 2);
  receive(viewer + 1, "{\"op\":");
  receive(viewer + 2, R"({"op":"test","call":"0000000000000001","with":{},"why":0})"
                      "\n");
  EXPECT_EQ(take_sent(viewer + 2), tested_line(1, true));
  for (int i = 0; i < 15; ++i) {
    advance(200ms);
    receive(viewer + 1, "x");  // single bytes don't keep the connection open
  }
  EXPECT_TRUE(closed(viewer));
  EXPECT_TRUE(closed(viewer + 1));
  EXPECT_FALSE(closed(viewer + 2)) << "viewers close connections without playbacks themselves, after 4 s";
  advance(4s);
  EXPECT_TRUE(closed(viewer + 2));
}

TEST_F(PlatformTest, AFloodOfConnectionsEvictsNoneThatHasSentAMessage) {
  make_core(64);
  accept_viewer();
  receive(viewer, R"({"op":"test","call":"0000000000000001","with":{},"why":0})"
                  "\n");
  now += 300ms;
  for (ConnectionId connection = viewer + 1; connection < viewer + 200; ++connection) {
    accept_viewer(connection);
    advance(10ms);
  }
  EXPECT_FALSE(closed(viewer));
  EXPECT_TRUE(closed(viewer + 1));
  EXPECT_FALSE(closed(viewer + 199)) << "the longest idle is evicted first";
  EXPECT_LE(core->resource_counts().viewer_connections, 40u);
}

// All arrive at once, so none is idle long enough to be evicted. The other descriptors are for servers and
// the command channel.
TEST_F(PlatformTest, RefusesViewersBeyondFiveEighthsOfTheDescriptors) {
  make_core(64);
  for (ConnectionId connection = viewer; connection < viewer + 50; ++connection)
    accept_viewer(connection);
  EXPECT_EQ(core->resource_counts().viewer_connections, 40u);
  EXPECT_FALSE(closed(viewer + 39));
  EXPECT_TRUE(closed(viewer + 40));
}

// Guards against closing a connection whose request arrived during a stall of this process: timers expire
// before that input is read.
TEST_F(PlatformTest, DoesNotCloseAConnectionWithAnUnreadRequest) {
  make_core(64);
  const auto message = R"({"op":"test","call":"0000000000000001","with":{},"why":0})"
                       "\n";
  for (ConnectionId connection = viewer; connection < viewer + 33; ++connection) {
    accept_viewer(connection);
    receive(connection, message);
    if (connection == viewer)
      now += 300ms;
  }
  receive(viewer, offer());
  advance(30ms);
  EXPECT_FALSE(closed(viewer)) << "its message cancelled the close";
  receive(viewer, end());
  now += 300ms;
  accept_viewer(viewer + 40);
  now += 200ms;  // a stall
  deliver(TimerFired{});
  EXPECT_FALSE(closed(viewer));
  receive(viewer, offer());
  advance(50ms);
  EXPECT_FALSE(closed(viewer));
  EXPECT_TRUE(closed(viewer + 1)) << "another is evicted in its place";
}

TEST_F(PlatformTest, DialsASilentServerAndFinallyEndsItsPlaybacks) {
  const auto connection = start_playing();
  advance(1900ms);
  EXPECT_EQ(take_dial("10.1.0.1"), 0u);
  advance(200ms);
  const auto first = take_dial("10.1.0.1");
  ASSERT_NE(first, 0u);
  deliver(Connected{first});
  advance(4s);
  EXPECT_EQ(core->resource_counts().playbacks, 1u) << "an established connection counts as a sign of life";
  EXPECT_TRUE(closed(connection)) << "the old connection is closed";
  advance(3500ms);  // no dial succeeds
  EXPECT_EQ(core->resource_counts().playbacks, 0u);
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 41));
  EXPECT_EQ(last_outcome(), Outcome::reset);
}

TEST_F(PlatformTest, APlaybackOutlivesTheServerConnectionButNotTheServerProcess) {
  const auto connection = start_playing();
  deliver(Disconnected{connection, CloseReason::reset});
  const auto second = take_dial("10.1.0.1");
  ASSERT_NE(second, 0u) << "at once, to receive how playbacks end";
  deliver(Connected{second});
  EXPECT_EQ(core->resource_counts().playbacks, 1u);
  deliver(Disconnected{second, CloseReason::reset});
  EXPECT_EQ(take_dial("10.1.0.1"), 0u) << "redials are limited if every connection is reset";
  advance(500ms);
  deliver(Disconnected{take_dial("10.1.0.1"), CloseReason::refused});
  EXPECT_EQ(core->resource_counts().playbacks, 1u) << "one refusal may be momentary";
  advance(550ms);
  deliver(Disconnected{take_dial("10.1.0.1"), CloseReason::refused});
  EXPECT_EQ(core->resource_counts().playbacks, 0u);
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 41));
}

// A draining server may refuse new connections long before its last playback ends.
TEST_F(PlatformTest, ARefusedDialBesideAnOpenConnectionEndsNoPlayback) {
  const auto connection = start_playing();
  for (int i = 0; i < 4; ++i) {
    advance(i == 0 ? 2100ms : 550ms);
    deliver(Disconnected{take_dial("10.1.0.1"), CloseReason::refused});
  }
  EXPECT_EQ(core->resource_counts().playbacks, 1u);
  receive(connection, release(16));
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 16)) << "the server's release ends it";
}

TEST_F(PlatformTest, ARestartOfTheServerEndsItsPlaybacks) {
  deliver(Connected{channel_connection});
  EXPECT_EQ(take_sent(channel_connection), "resume 1\n");
  receive(channel_connection, list_event(2, "Ready", "Ready", false, "500") + "\n");
  start_playing();
  advance(300ms);
  receive(channel_connection, list_event(3, "Ready", "Ready", false, "1200") + "\n");
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 41));
}

TEST_F(PlatformTest, SendsTheRungThatTheDeciderSetsOnAMeasurement) {
  const auto connection = start_playing();
  take_sent(connection);
  decide = [](const Event& event) -> std::vector<Command> {
    if (std::holds_alternative<Measurement>(event))
      return {SetRung{0, 0}};
    return {};
  };
  receive(connection, server_message(44, call_id, parameter(150, "kept_up") + parameter(165, "0.5")));
  EXPECT_EQ(events_of_type<Measurement>(events).back().value, 0.5);
  EXPECT_EQ(take_sent(connection), rung_bytes(call_id, 0));
}

TEST_F(PlatformTest, SendsAProbeAsATestMessage) {
  decide = [](const Event& event) -> std::vector<Command> {
    if (std::holds_alternative<Request>(event))
      return {Probe{1}};
    return {};
  };
  accept_viewer();
  receive(viewer, offer());
  const auto connection = connect_to("10.1.0.2");
  const auto test = take_sent(connection);
  ASSERT_EQ(test.size(), 2u + 9 + 4);
  const auto reply =
      std::string(1, 53) + test.substr(3, 8) + parameter(171, "\1") + parameter(156, "busy:0.25");
  receive(connection, std::string(1, '\0') + static_cast<char>(reply.size()) + reply);
  ASSERT_EQ(events_of_type<ProbeEnded>(events).size(), 1u);
  EXPECT_TRUE(events_of_type<ProbeEnded>(events)[0].answered);
  EXPECT_EQ(events_of_type<ProbeEnded>(events)[0].load.link_fill, 0.25);
  receive(viewer, offer("00000000000000aa"));
  advance(300ms);
  ASSERT_EQ(events_of_type<ProbeEnded>(events).size(), 2u);
  EXPECT_FALSE(events_of_type<ProbeEnded>(events)[1].answered);
}

TEST_F(PlatformTest, ShutdownAnswersOpenRequestsAndWaitsForPlaybacks) {
  set_up_always_at(0);
  accept_viewer();
  receive(viewer, offer());
  const auto connection = connect_to("10.1.0.1");
  deliver(ShutdownRequested{});
  receive(viewer, R"({"op":"test","call":"0000000000000001","with":{},"why":0})"
                  "\n");
  EXPECT_EQ(take_sent(viewer), tested_line(1, false))
      << "not ready: the load balancer takes it out of service";
  advance(200ms);
  receive(connection, accept());
  EXPECT_EQ(take_sent(viewer), accept_line(call_id, "server says\r\n"));
  advance(1s);
  EXPECT_FALSE(stopped()) << "a playback is left";
  receive(connection, release(16));
  advance(200ms);
  EXPECT_TRUE(stopped());
}

TEST_F(PlatformTest, ShutdownEndsAfterTheLongestAbandonTimeDespitePlaybacks) {
  start_playing();
  deliver(ShutdownRequested{});
  advance(2100ms);
  EXPECT_FALSE(stopped());
  advance(150ms);  // the process is killed 0.25 s later
  EXPECT_TRUE(stopped());
}

// The process is killed after 3.7 s, however long the abandon times are.
TEST_F(PlatformTest, ShutdownTimeIsBoundedForLongAbandonTimes) {
  PlatformConfig config;
  config.plans = {"triage"};
  config.abandon_times = {9s};
  config.policy.plans.resize(1);
  config.policy.rung_kb = {1};
  config.channel = Endpoint{"10.2.0.1", 7070};
  core = std::make_unique<Platform>(
      config, std::make_unique<ScriptedDecider>(
                  &events, [](Duration, const Event&) { return std::vector<Command>{}; }));
  actions.clear();
  accept_viewer();
  receive(viewer, offer(call, "9000", "", "home:0;copies:1;top:0"));
  deliver(ShutdownRequested{});
  advance(3300ms);
  EXPECT_FALSE(stopped());
  advance(150ms);
  EXPECT_TRUE(stopped());
}

TEST_F(PlatformTest, ClosesAViewerThatReadsNothing) {
  accept_viewer();
  const auto test = R"({"op":"test","call":"0000000000000001","with":{},"why":0})"
                    "\n";
  for (int i = 0; i < 5000; ++i)
    receive(viewer, test);
  EXPECT_TRUE(closed(viewer));
}

TEST_F(PlatformTest, ManyPlaybacksOfNewTitlesLeaveNoStateBehind) {
  set_up_always_at(0);
  accept_viewer();
  ConnectionId connection = 0;
  std::size_t timers = 0;
  for (int i = 0; i < 20'000; ++i) {
    tries = 0;
    const CallId id = 1'000'000 + i;
    auto message = offer(format_call_id(id));
    message.replace(message.find("\"t1\""), 4, "\"t" + std::to_string(i) + "\"");
    receive(viewer, message);
    if (i == 0)
      connection = connect_to("10.1.0.1");
    if (i % 3 != 0)
      receive(connection, accept(id));
    i % 2 == 0 ? receive(connection, release(i % 3 == 0 ? 34 : 16, id))
               : receive(viewer, end(format_call_id(id)));
    actions.clear();
    deliver(Flushed{viewer});  // the viewer reads everything
    advance(1ms);
    if (i == 1000)
      timers = core->resource_counts().timers;
  }
  EXPECT_EQ(core->resource_counts().playbacks, 0u);
  EXPECT_EQ(core->resource_counts().titles, 0u);
  EXPECT_LE(core->resource_counts().timers, timers + 10);
  EXPECT_EQ(core->resource_counts().viewer_connections, 1u);
}

TEST_F(PlatformTest, AReloadMovesTheChannelAndAnInvalidOneChangesNothing) {
  deliver(Connected{channel_connection});
  deliver(ConfigReloaded{"half of a fi"});
  EXPECT_FALSE(closed(channel_connection));
  const std::string start = R"({"listen":"10.0.0.4:3868","seed":"1","channel":"10.2.0.9:7070","settings":)";
  deliver(ConfigReloaded{start + "{}}"});
  EXPECT_FALSE(closed(channel_connection)) << "no plan: the configuration is invalid";
  deliver(ConfigReloaded{start + R"({"Classes":[{"Name":"triage","Aim":1000,"GiveUp":2000}],)"
                                 R"("FamilyInfo":{"RatesKb":[1]}}})"});
  EXPECT_TRUE(closed(channel_connection));
  advance(300ms);
  const auto next = connect_to("10.2.0.9");
  EXPECT_EQ(take_sent(next), "resume 1\n");
}

}  // namespace
}  // namespace violettide::platform
