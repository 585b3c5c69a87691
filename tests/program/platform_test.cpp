// The session manager on the operators' platform as a core: happenings in, actions out, a script in the
// module's place. Each test tells what passes on the sockets and what the module hears of it.
#include "platform/platform.h"

#include "platform_fixture.h"

namespace violettide::platform {
namespace {

class PlatformTest : public PlatformFixture {};

TEST_F(PlatformTest, ASetUpGoesOutAsTheViewerSaidItAndTheAnswerComesBackUnchanged) {
  always_at(0);
  come();
  hear(viewer, offer());
  const auto request = events_of_type<Request>(told).at(0);
  EXPECT_EQ(request.abandon_at, now + 1500ms);
  EXPECT_EQ(request.length, Duration(8s));
  EXPECT_EQ(request.cell_count, 2);
  EXPECT_EQ(request.top, 1);
  const auto link = connect("10.1.0.1");
  EXPECT_EQ(sent(link), setup_bytes({call_number, "triage", "t1", "tag\r\nc=IN\r\n", 500, 1}));
  now += 30ms;
  hear(link, accept());
  EXPECT_EQ(sent(viewer), accept_line(call_number, "server says\r\n"));
  EXPECT_EQ(events_of_type<PlaybackStarted>(told).at(0).startup_delay, 30ms);
  hear(link, accept());
  EXPECT_EQ(sent(viewer), "") << "a second copy is no answer";
  hear(link, release(16));
  EXPECT_EQ(sent(viewer), end_line(call_number, 16));
  EXPECT_EQ(outcome(), Outcome::served);
  EXPECT_TRUE(events_of_type<TryEnded>(told).back().playback_over);
  EXPECT_EQ(core->held().playbacks, 0u);
  EXPECT_EQ(core->held().titles, 0u);
}

TEST_F(PlatformTest, CausesBeforeTheAnswerMeanWhatThePlatformSays) {
  const std::vector<std::pair<int, Outcome>> means{{34, Outcome::full},
                                                   {47, Outcome::error},
                                                   {102, Outcome::not_sent},
                                                   {41, Outcome::reset},
                                                   {99, Outcome::reset}};
  always_at(0);
  come();
  hear(viewer, offer());
  const auto link = connect("10.1.0.1");
  for (const auto& [cause, outcome_meant] : means) {
    hear(link, release(cause));
    EXPECT_EQ(outcome(), outcome_meant) << cause;
    EXPECT_EQ(sent(viewer), end_line(call_number, cause::rejected, 400)) << "with a come-back time";
    tries = 0;
    hear(viewer, offer());
  }
}

TEST_F(PlatformTest, ATryBeyondItsTimeIsGivenUpBeforeTheNext) {
  always_at(0, 200ms);
  come();
  hear(viewer, offer());
  const auto link = connect("10.1.0.1");
  hear(link, from_server(6, call_number));
  sent(link);
  pass(210ms);
  EXPECT_EQ(outcome(), Outcome::late);
  EXPECT_EQ(sent(link), release_bytes(call_number, 16));
  EXPECT_EQ(sent(viewer), end_line(call_number, cause::rejected, 400));
  hear(link, accept());
  EXPECT_EQ(sent(viewer), "") << "an answer after its time is none";
  EXPECT_EQ(sent(link), release_bytes(call_number, 16)) << "what stands for nobody is released";
  EXPECT_TRUE(events_of_type<PlaybackStarted>(told).empty());
}

TEST_F(PlatformTest, AConnectionWithoutASignInATrysTimeTakesNoMore) {
  always_at(0, 200ms);
  come();
  hear(viewer, offer());
  connect("10.1.0.1");
  pass(210ms);
  tries = 0;
  hear(viewer, offer("00000000000000aa"));
  EXPECT_NE(dialled("10.1.0.1"), 0u);
}

TEST_F(PlatformTest, ARefusedConnectionAndOneThatNeverComesUpProveThatNothingRan) {
  always_at(0);
  come();
  hear(viewer, offer());
  happen(Disconnected{dialled("10.1.0.1"), CloseReason::refused});
  EXPECT_EQ(outcome(), Outcome::no_connection);
  tries = 0;
  hear(viewer, offer());
  const auto link = dialled("10.1.0.1");
  pass(260ms);
  EXPECT_EQ(events_of_type<TryEnded>(told).size(), 2u);
  EXPECT_EQ(outcome(), Outcome::no_connection);
  EXPECT_TRUE(hung(link));
}

TEST_F(PlatformTest, WhatCannotBeReadEndsAllTriesOnItsConnection) {
  always_at(0);
  come();
  hear(viewer, offer() + offer("00000000000000aa"));
  const auto link = connect("10.1.0.1");
  hear(link, std::string("\xff\xff", 2));
  EXPECT_TRUE(hung(link));
  const auto ended = events_of_type<TryEnded>(told);
  ASSERT_EQ(ended.size(), 2u);
  for (const auto& one : ended)
    EXPECT_EQ(one.outcome, Outcome::reset) << "it may have run";
  EXPECT_EQ(sent(link), setup_bytes({call_number, "triage", "t1", "tag\r\nc=IN\r\n", 500, 1}) +
                            setup_bytes({0xaa, "triage", "t1", "tag\r\nc=IN\r\n", 500, 1}));
}

TEST_F(PlatformTest, AnAnswerForNobodyIsPassedOver) {
  always_at(0);
  come();
  hear(viewer, offer());
  const auto link = connect("10.1.0.1");
  hear(link, accept(77));
  EXPECT_EQ(sent(viewer), "");
  hear(link, accept());
  EXPECT_EQ(sent(viewer), accept_line(call_number, "server says\r\n"));
}

TEST_F(PlatformTest, AViewerWhoLeavesOwesNothingAndItsTryIsGivenUp) {
  always_at(0);
  come();
  hear(viewer, offer());
  const auto link = connect("10.1.0.1");
  sent(link);
  hear(viewer, end());
  EXPECT_EQ(sent(link), release_bytes(call_number, 16));
  EXPECT_EQ(sent(viewer), ended_line(call_number));
  EXPECT_EQ(events_of_type<RequestCancelled>(told).size(), 1u);
  EXPECT_EQ(outcome(), Outcome::cancelled);
  hear(viewer, offer("00000000000000aa"));
  happen(Disconnected{viewer, CloseReason::reset});
  EXPECT_EQ(events_of_type<RequestCancelled>(told).size(), 2u)
      << "a connection that ends takes its set-ups with it";
  EXPECT_EQ(core->held().playbacks, 0u);
}

TEST_F(PlatformTest, AViewerEndsWhatPlaysOnAnyConnection) {
  const auto link = playing();
  sent(link);
  happen(Disconnected{viewer, CloseReason::reset});
  EXPECT_EQ(core->held().playbacks, 1u) << "no connection owns what plays";
  come(viewer + 1);
  hear(viewer + 1, end());
  EXPECT_EQ(sent(link), release_bytes(call_number, 16));
  EXPECT_EQ(outcome(), Outcome::cancelled);
  EXPECT_EQ(core->held().playbacks, 0u);
}

TEST_F(PlatformTest, WhatItsViewerEndedOrMovedIsNotTold) {
  const auto link = playing();
  hear(link, release(31));
  EXPECT_EQ(sent(viewer), "");
  EXPECT_EQ(outcome(), Outcome::cancelled);
}

// Handed over with far more left than a plan's viewers wait, which is no fault of what plays already.
TEST_F(PlatformTest, WhatPlaysAtAStartIsTakenWithoutAnAnswerAndItsEndIsTold) {
  come();
  hear(viewer, offer(call, "4294967", "", "home:0;copies:2;top:1;at:s-a"));
  EXPECT_EQ(sent(viewer), "");
  ASSERT_EQ(events_of_type<PlaybackAdopted>(told).size(), 1u);
  EXPECT_EQ(events_of_type<PlaybackAdopted>(told)[0].server, 0u);
  const auto link = connect("10.1.0.1");
  hear(link, from_server(44, call_number, parameter(150, "tier") + parameter(165, "1")));
  EXPECT_EQ(events_of_type<Measurement>(told).at(0).kind, Measurement::Kind::rung);
  hear(viewer, offer(call, "4294967", "", "home:0;copies:2;top:1;at:s-a"));
  EXPECT_EQ(events_of_type<PlaybackAdopted>(told).size(), 1u) << "told again of what it holds";
  hear(link, release(41));
  EXPECT_EQ(sent(viewer), end_line(call_number, 41));
  EXPECT_EQ(outcome(), Outcome::reset);
}

TEST_F(PlatformTest, OffersOutOfBoundsAreTurnedOffAndReachNobody) {
  int number = 0;
  for (const auto& bad :
       {offer(call, "0"), offer(call, "-5"), offer(call, "3700"), offer(call, "1e9"), offer(call, "soon"),
        offer(call, "nan"), offer(call, "1500", R"(,"class":"none")"),
        offer(call, "1500", "", "home:2;copies:2;top:1"), offer(call, "1500", "", "home:0;copies:3;top:1"),
        offer(call, "1500", "", "home:0;copies:2;top:9"), offer(call, "1500", "", "home:0"),
        offer(call, "1500", "", "home"),
        std::string(R"({"op":"offer","call":")" + call + R"(","with":{}})" + "\n"),
        std::string(R"({"op":"dance","call":")" + call + R"("})" + "\n")}) {
    const ConnectionId link = viewer + static_cast<ConnectionId>(++number);
    come(link);
    hear(link, bad);
    EXPECT_EQ(sent(link), end_line(call_number, cause::invalid_message)) << bad;
    EXPECT_TRUE(hung(link)) << bad;
  }
  EXPECT_TRUE(events_of_type<Request>(told).empty());
}

// A busy viewer's line leaves late and says more than its plan's time: it is served like any other.
TEST_F(PlatformTest, SomewhatMoreTimeThanThePlansIsNoFault) {
  always_at(0);
  come();
  hear(viewer, offer(call, "1873"));
  EXPECT_EQ(sent(viewer), "");
  EXPECT_EQ(events_of_type<Request>(told).at(0).abandon_at, now + 1873ms);
}

TEST_F(PlatformTest, AFaultyOfferDoesNotTakeTheOthersOnItsConnectionWithIt) {
  always_at(0);
  come();
  hear(viewer, offer());
  const auto link = connect("10.1.0.1");
  hear(viewer, offer("00000000000000aa", "0") +
                   R"({"op":"dance","call":"00000000000000ab"})"
                   "\n" +
                   R"({"call":"00000000000000ac"})"
                   "\n");
  EXPECT_EQ(sent(viewer), end_line(0xaa, cause::invalid_message) + end_line(0xab, cause::invalid_message) +
                              end_line(0xac, cause::invalid_message));
  EXPECT_FALSE(hung(viewer));
  hear(link, accept());
  EXPECT_EQ(sent(viewer), accept_line(call_number, "server says\r\n"));
}

TEST_F(PlatformTest, WhatIsTurnedOffIsSaidWithItsCauseOnceASecond) {
  const auto said = [&] {
    std::vector<LogLine> all;
    for (const auto& act : actions) {
      if (const auto* say = std::get_if<LogLine>(&act); say && say->event == "turned_off")
        all.push_back(*say);
    }
    return all;
  };
  come();
  for (int i = 0; i < 5; ++i)
    hear(viewer, offer(format_call_id(i), "0"));
  come(viewer + 1);
  hear(viewer + 1, offer(call, "0"));
  ASSERT_EQ(said().size(), 1u);
  EXPECT_EQ(std::get<std::string>(said()[0].fields.at(0).second), "with.left: expected milliseconds");
  pass(1s);
  come(viewer + 2);
  hear(viewer + 2, "noise\n");
  ASSERT_EQ(said().size(), 2u);
  EXPECT_EQ(std::get<std::int64_t>(said()[1].fields.at(1).second), 2) << "the one in between counts";
}

TEST_F(PlatformTest, TheIdOfAnOpenRequestIsNotTakenTwice) {
  always_at(0);
  come();
  hear(viewer, offer());
  const auto link = connect("10.1.0.1");
  come(viewer + 1);
  hear(viewer + 1, offer());
  EXPECT_EQ(sent(viewer + 1), end_line(call_number, cause::invalid_message));
  hear(link, accept());
  EXPECT_EQ(sent(viewer), accept_line(call_number, "server says\r\n")) << "who came first is served";
}

TEST_F(PlatformTest, TwoRequestsUnderOneNumberOnOneConnectionGetOneAnswer) {
  always_at(0);
  come();
  hear(viewer, offer());
  const auto link = connect("10.1.0.1");
  hear(viewer, offer());
  hear(link, accept());
  EXPECT_EQ(sent(viewer), end_line(call_number, cause::invalid_message));
  EXPECT_EQ(core->held().playbacks, 0u);
}

TEST_F(PlatformTest, ConnectionsThatSayNothingWholeAreEnded) {
  come();
  come(viewer + 1);
  come(viewer + 2);
  hear(viewer + 1, "{\"op\":");
  hear(viewer + 2, R"({"op":"test","call":"0000000000000001","with":{},"why":0})"
                   "\n");
  EXPECT_EQ(sent(viewer + 2), tested_line(1, true));
  for (int i = 0; i < 15; ++i) {
    pass(200ms);
    hear(viewer + 1, "x");  // a little now and then does not keep it
  }
  EXPECT_TRUE(hung(viewer));
  EXPECT_TRUE(hung(viewer + 1));
  EXPECT_FALSE(hung(viewer + 2)) << "viewers close one that carries nothing themselves, after 4 s";
  pass(4s);
  EXPECT_TRUE(hung(viewer + 2));
}

TEST_F(PlatformTest, AFloodOfConnectionsShutsNobodyOutWhoHasSpoken) {
  make(64);
  come();
  hear(viewer, R"({"op":"test","call":"0000000000000001","with":{},"why":0})"
               "\n");
  now += 300ms;
  for (ConnectionId link = viewer + 1; link < viewer + 200; ++link) {
    come(link);
    pass(10ms);
  }
  EXPECT_FALSE(hung(viewer));
  EXPECT_TRUE(hung(viewer + 1));
  EXPECT_FALSE(hung(viewer + 199)) << "the longest silent goes first";
  EXPECT_LE(core->held().viewer_links, 40u);
}

// All at once, so that none has rested: descriptors are left for the servers and the channel.
TEST_F(PlatformTest, BeyondFiveEighthsOfTheDescriptorsNewcomersAreRefused) {
  make(64);
  for (ConnectionId link = viewer; link < viewer + 50; ++link)
    come(link);
  EXPECT_EQ(core->held().viewer_links, 40u);
  EXPECT_FALSE(hung(viewer + 39));
  EXPECT_TRUE(hung(viewer + 40));
}

// What came while this process stood still is read only after its timers have rung.
TEST_F(PlatformTest, NoConnectionIsEndedWithARequestOnItThatIsNotReadYet) {
  make(64);
  const auto words = R"({"op":"test","call":"0000000000000001","with":{},"why":0})"
                     "\n";
  for (ConnectionId link = viewer; link < viewer + 33; ++link) {
    come(link);
    hear(link, words);
    if (link == viewer)
      now += 300ms;
  }
  hear(viewer, offer());
  pass(30ms);
  EXPECT_FALSE(hung(viewer)) << "it spoke in time";
  hear(viewer, end());
  now += 300ms;
  come(viewer + 40);
  now += 200ms;  // stood still
  happen(TimerFired{});
  EXPECT_FALSE(hung(viewer));
  hear(viewer, offer());
  pass(50ms);
  EXPECT_FALSE(hung(viewer));
  EXPECT_TRUE(hung(viewer + 1)) << "another goes in its place";
}

TEST_F(PlatformTest, AServerWithoutASignIsDialledAndGivenUpInTheEnd) {
  const auto link = playing();
  pass(1900ms);
  EXPECT_EQ(dialled("10.1.0.1"), 0u);
  pass(200ms);
  const auto first = dialled("10.1.0.1");
  ASSERT_NE(first, 0u);
  happen(Connected{first});
  pass(4s);
  EXPECT_EQ(core->held().playbacks, 1u) << "it came up: a sign";
  EXPECT_TRUE(hung(link)) << "the old connection goes";
  pass(3500ms);  // no dial comes up
  EXPECT_EQ(core->held().playbacks, 0u);
  EXPECT_EQ(sent(viewer), end_line(call_number, 41));
  EXPECT_EQ(outcome(), Outcome::reset);
}

TEST_F(PlatformTest, APlaybackOutlivesItsConnectionButNotItsServersProcess) {
  const auto link = playing();
  happen(Disconnected{link, CloseReason::reset});
  const auto second = dialled("10.1.0.1");
  ASSERT_NE(second, 0u) << "at once, to hear how playbacks end";
  happen(Connected{second});
  EXPECT_EQ(core->held().playbacks, 1u);
  happen(Disconnected{second, CloseReason::reset});
  EXPECT_EQ(dialled("10.1.0.1"), 0u) << "not without end where every connection is reset";
  pass(500ms);
  happen(Disconnected{dialled("10.1.0.1"), CloseReason::refused});
  EXPECT_EQ(core->held().playbacks, 1u) << "one refusal may be a moment's";
  pass(550ms);
  happen(Disconnected{dialled("10.1.0.1"), CloseReason::refused});
  EXPECT_EQ(core->held().playbacks, 0u);
  EXPECT_EQ(sent(viewer), end_line(call_number, 41));
}

// One that drains may refuse new connections long before its last playback ends.
TEST_F(PlatformTest, ARefusalBesideAnOpenConnectionEndsNothing) {
  const auto link = playing();
  for (int i = 0; i < 4; ++i) {
    pass(i == 0 ? 2100ms : 550ms);
    happen(Disconnected{dialled("10.1.0.1"), CloseReason::refused});
  }
  EXPECT_EQ(core->held().playbacks, 1u);
  hear(link, release(16));
  EXPECT_EQ(sent(viewer), end_line(call_number, 16)) << "its own word ends it";
}

TEST_F(PlatformTest, AServerStartedAnewPlaysNothingOfBefore) {
  happen(Connected{channel_link});
  EXPECT_EQ(sent(channel_link), "resume 1\n");
  hear(channel_link, listed(2, "Ready", "Ready", false, "500") + "\n");
  playing();
  hear(channel_link, listed(3, "Ready", "Ready", false, "900") + "\n");
  EXPECT_EQ(sent(viewer), end_line(call_number, 41));
}

TEST_F(PlatformTest, ARungSetWhileNoConnectionStandsIsSaidOnTheNext) {
  const auto link = playing();
  sent(link);
  says = [](const Event& event) -> std::vector<Command> {
    if (std::holds_alternative<Measurement>(event))
      return {SetRung{0, 0}};
    return {};
  };
  hear(link, from_server(44, call_number, parameter(150, "kept_up") + parameter(165, "0.5")));
  EXPECT_EQ(events_of_type<Measurement>(told).back().value, 0.5);
  EXPECT_EQ(sent(link), rung_bytes(call_number, 0));
}

TEST_F(PlatformTest, ATestIsAProbe) {
  says = [](const Event& event) -> std::vector<Command> {
    if (std::holds_alternative<Request>(event))
      return {Probe{1}};
    return {};
  };
  come();
  hear(viewer, offer());
  const auto link = connect("10.1.0.2");
  const auto test = sent(link);
  ASSERT_EQ(test.size(), 2u + 9 + 4);
  const auto reply =
      std::string(1, 53) + test.substr(3, 8) + parameter(171, "\1") + parameter(156, "busy:0.25");
  hear(link, std::string(1, '\0') + static_cast<char>(reply.size()) + reply);
  ASSERT_EQ(events_of_type<ProbeEnded>(told).size(), 1u);
  EXPECT_TRUE(events_of_type<ProbeEnded>(told)[0].answered);
  EXPECT_EQ(events_of_type<ProbeEnded>(told)[0].load.link_fill, 0.25);
  hear(viewer, offer("00000000000000aa"));
  pass(300ms);
  ASSERT_EQ(events_of_type<ProbeEnded>(told).size(), 2u);
  EXPECT_FALSE(events_of_type<ProbeEnded>(told)[1].answered);
}

TEST_F(PlatformTest, AStopAnswersWhatIsOpenAndThenLeaves) {
  always_at(0);
  come();
  hear(viewer, offer());
  const auto link = connect("10.1.0.1");
  happen(ShutdownRequested{});
  hear(viewer, R"({"op":"test","call":"0000000000000001","with":{},"why":0})"
               "\n");
  EXPECT_EQ(sent(viewer), tested_line(1, false)) << "the front is to take it out";
  pass(200ms);
  hear(link, accept());
  EXPECT_EQ(sent(viewer), accept_line(call_number, "server says\r\n"));
  pass(1s);
  EXPECT_FALSE(left()) << "something plays";
  hear(link, release(16));
  pass(200ms);
  EXPECT_TRUE(left());
}

TEST_F(PlatformTest, AStopEndsInTheLongestAbandonTimeWhateverPlays) {
  playing();
  happen(ShutdownRequested{});
  pass(2100ms);
  EXPECT_FALSE(left());
  pass(150ms);  // 0.25 s before it is killed
  EXPECT_TRUE(left());
}

// Killed after 3.7 s at the latest, however long viewers wait.
TEST_F(PlatformTest, AStopWaitsNoLongerThanItMayForPlansOfLongTimes) {
  StartTerms terms;
  terms.plans = {"triage"};
  terms.abandon = {9s};
  terms.site.plans.resize(1);
  terms.site.rung_kb = {1};
  terms.channel = Endpoint{"10.2.0.1", 7070};
  core = std::make_unique<Platform>(
      terms, std::make_unique<ScriptedDecider>(
                 &told, [](Duration, const Event&) { return std::vector<Command>{}; }));
  actions.clear();
  come();
  hear(viewer, offer(call, "9000", "", "home:0;copies:1;top:0"));
  happen(ShutdownRequested{});
  pass(3300ms);
  EXPECT_FALSE(left());
  pass(150ms);
  EXPECT_TRUE(left());
}

TEST_F(PlatformTest, AReaderWhoReadsNothingIsEnded) {
  come();
  const auto test = R"({"op":"test","call":"0000000000000001","with":{},"why":0})"
                    "\n";
  for (int i = 0; i < 5000; ++i)
    hear(viewer, test);
  EXPECT_TRUE(hung(viewer));
}

TEST_F(PlatformTest, ALongDayOfNewNamesLeavesNothingBehind) {
  always_at(0);
  come();
  ConnectionId link = 0;
  std::size_t timers = 0;
  for (int i = 0; i < 20'000; ++i) {
    tries = 0;
    const CallId id = 1'000'000 + i;
    auto words = offer(format_call_id(id));
    words.replace(words.find("\"t1\""), 4, "\"t" + std::to_string(i) + "\"");
    hear(viewer, words);
    if (i == 0)
      link = connect("10.1.0.1");
    if (i % 3 != 0)
      hear(link, accept(id));
    i % 2 == 0 ? hear(link, release(i % 3 == 0 ? 34 : 16, id)) : hear(viewer, end(format_call_id(id)));
    actions.clear();
    happen(Flushed{viewer});  // it reads all it is sent
    pass(1ms);
    if (i == 1000)
      timers = core->held().timers;
  }
  EXPECT_EQ(core->held().playbacks, 0u);
  EXPECT_EQ(core->held().titles, 0u);
  EXPECT_LE(core->held().timers, timers + 10);
  EXPECT_EQ(core->held().viewer_links, 1u);
}

TEST_F(PlatformTest, AnotherConfigurationMovesTheChannelAndOneThatCannotBeReadMovesNothing) {
  happen(Connected{channel_link});
  happen(ConfigReloaded{"half of a fi"});
  EXPECT_FALSE(hung(channel_link));
  const std::string start = R"({"listen":"10.0.0.4:3868","seed":"1","channel":"10.2.0.9:7070","settings":)";
  happen(ConfigReloaded{start + "{}}"});
  EXPECT_FALSE(hung(channel_link)) << "a plan is missing";
  happen(ConfigReloaded{start + R"({"Classes":[{"Name":"triage","Aim":1000,"GiveUp":2000}],)"
                                R"("FamilyInfo":{"RatesKb":[1]}}})"});
  EXPECT_TRUE(hung(channel_link));
  pass(300ms);
  const auto next = connect("10.2.0.9");
  EXPECT_EQ(sent(next), "resume 1\n");
}

}  // namespace
}  // namespace violettide::platform
