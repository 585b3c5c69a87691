// Two events that cross at a session manager on the operators' platform, in both orders. What the kernel
// brings in one turn of the loop is forced by holding back InputDrained, which the runtime tells when all
// that had come is read.
#include "platform_fixture.h"

namespace violettide::platform {
namespace {

class Crossing : public PlatformFixture {
 protected:
  // The module has this tried next for whatever it is told.
  void says_set_up_on(std::function<bool(const Event&)> which, PlaybackId id = 0, ServerId server = 0) {
    says = [=](const Event& event) -> std::vector<Command> {
      if (which(event))
        return {SetRung{id, 1}, violettide::SetUp{id, server, 500ms}};
      return {};
    };
  }
  // A connection to a server that has carried one refused set-up.
  ConnectionId connected_to_a() {
    tries = 0;
    always_at(0);
    come();
    hear(viewer, offer("00000000000000ff"));
    const auto link = connect("10.1.0.1");
    hear(link, release(34, 0xff));
    sent(viewer);
    sent(link);
    told.clear();
    tries = 0;
    return link;
  }
  std::string set_up(CallId id = call_number) const {
    return setup_bytes({id, "triage", "t1", "tag\r\nc=IN\r\n", 500, 1});
  }
  std::string test_words() const {
    return R"({"op":"test","call":"0000000000000001","with":{},"why":0})"
           "\n";
  }
  std::size_t count(const std::string& text, const std::string& part) const {
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
      ++found;
    return found;
  }
  std::string server_entry(const std::string& name, const std::string& at, const std::string& status) const {
    return R"({"name":")" + name + R"(","address":")" + at +
           R"(:3868","zone":"h","type":"std","group":0,"status":")" + status +
           R"(","weight":1,"since_ms":0})";
  }
  std::string event(int number, bool whole, const std::string& entries) const {
    return R"({"cursor":)" + std::to_string(number) + R"(,"nodes":{"snapshot":)" +
           (whole ? "true" : "false") + R"(,"endpoints":[)" + entries + "]}}\n";
  }
};

// ---- a client leaves ----

struct Leaving {
  const char* how;
  std::vector<IoEvent> happens;
};
std::vector<Leaving> ways_to_leave() {
  static const std::string cancel = end();
  return {{"a reset", {Disconnected{viewer, CloseReason::reset}}},
          {"its close", {HalfClosed{viewer}}},
          {"a cancel", {Received{viewer, cancel}}}};
}

TEST_F(Crossing, NothingIsSentForAClientWhoseEndIsReadInTheTurnOfItsRequest) {
  for (const auto& way : ways_to_leave()) {
    make(256);
    const auto link = connected_to_a();
    settles = false;
    hear(viewer, offer());
    for (const auto& one : way.happens)
      happen(one);
    settle();
    EXPECT_EQ(sent(link), "") << way.how;
    EXPECT_EQ(core->held().playbacks, 0u) << way.how;
    ASSERT_EQ(events_of_type<TryEnded>(told).size(), 1u) << way.how;
    EXPECT_TRUE(events_of_type<TryEnded>(told)[0].playback_over) << way.how;
    settles = true;
  }
}

TEST_F(Crossing, AClientWhoLeavesAfterItsSetUpWentOutHasItGivenUp) {
  for (const auto& way : ways_to_leave()) {
    make(256);
    const auto link = connected_to_a();
    hear(viewer, offer());
    for (const auto& one : way.happens)
      happen(one);
    EXPECT_EQ(sent(link), set_up() + release_bytes(call_number, 16)) << way.how;
    EXPECT_EQ(core->held().playbacks, 0u) << way.how;
  }
}

TEST_F(Crossing, WhatWasDialledForAClientAloneIsNotUsedForItOnceItLeft) {
  for (const bool left_first : {true, false}) {
    for (const auto& way : ways_to_leave()) {
      make(256);
      always_at(0);
      come();
      hear(viewer, offer());
      const auto link = dialled("10.1.0.1");
      settles = false;  // in one turn
      if (!left_first)
        happen(Connected{link});
      for (const auto& one : way.happens)
        happen(one);
      if (left_first)
        happen(Connected{link});
      settle();
      EXPECT_EQ(sent(link), "") << way.how;
      EXPECT_EQ(core->held().playbacks, 0u) << way.how;
      settles = true;
      tries = 0;
    }
  }
}

TEST_F(Crossing, NoFurtherAttemptBeginsForAClientWhoLeftInTheTurnOfTheFailure) {
  for (const bool left_first : {true, false}) {
    for (const auto& way : ways_to_leave()) {
      make(256);
      const auto link = connected_to_a();
      says = [](const Event& event) -> std::vector<Command> {
        const auto* request = std::get_if<Request>(&event);
        const auto* ended = std::get_if<TryEnded>(&event);
        if (!request && (!ended || ended->playback_over))
          return {};
        const auto id = request ? request->playback : ended->playback;
        return {SetRung{id, 1}, violettide::SetUp{id, 0, 500ms}};
      };
      hear(viewer, offer());
      EXPECT_EQ(sent(link), set_up());
      settles = false;
      if (!left_first)
        hear(link, release(47));
      for (const auto& one : way.happens)
        happen(one);
      if (left_first)
        hear(link, release(47));
      settle();
      EXPECT_EQ(count(sent(link), set_up()), 0u) << way.how;
      EXPECT_EQ(core->held().playbacks, 0u) << way.how;
      settles = true;
    }
  }
}

TEST_F(Crossing, AClientWhoLeftWhileAProbeOrATimerWasWaitedForIsNotTried) {
  for (const bool timer : {false, true}) {
    for (const auto& way : ways_to_leave()) {
      make(256);
      const auto link = connected_to_a();
      PlaybackId asked = 0;
      says = [&, timer](const Event& event) -> std::vector<Command> {
        if (const auto* request = std::get_if<Request>(&event)) {
          asked = request->playback;
          if (timer)
            return {SetTimer{50ms, 7}};
          return {Probe{0}};
        }
        if (std::holds_alternative<ProbeEnded>(event) || std::holds_alternative<TimerExpired>(event))
          return {SetRung{asked, 1}, violettide::SetUp{asked, 0, 500ms}};
        return {};
      };
      hear(viewer, offer());
      sent(link);
      for (const auto& one : way.happens)
        happen(one);
      pass(300ms);  // the probe's time is up, the timer rings
      EXPECT_EQ(sent(link), "") << way.how;
      ASSERT_FALSE(events_of_type<TryEnded>(told).empty()) << "the module waits for no try";
      EXPECT_EQ(outcome(), Outcome::not_sent);
      EXPECT_TRUE(events_of_type<TryEnded>(told).back().playback_over);
    }
  }
}

TEST_F(Crossing, ACancelOfAnUnknownOrAFinishedIdIsNoError) {
  const auto link = playing();
  hear(link, release(16));
  sent(viewer);
  hear(viewer, end() + end("00000000000000aa"));
  EXPECT_EQ(sent(viewer), ended_line(call_number) + ended_line(0xaa));
  EXPECT_FALSE(hung(viewer));
}

// ---- the process stands still ----

TEST_F(Crossing, AfterAStandstillWhatCameIsReadBeforeAnyTimerRings) {
  const auto link = connected_to_a();
  hear(viewer, offer());
  now += 600ms;  // beyond the attempt's time
  settles = false;
  happen(TimerFired{});
  EXPECT_TRUE(events_of_type<TryEnded>(told).empty());
  hear(link, accept());  // lay unread
  settle();
  EXPECT_EQ(sent(viewer), accept_line(call_number, "server says\r\n"));
  EXPECT_EQ(core->held().playbacks, 1u);
}

TEST_F(Crossing, AStandstillIsNoSilenceOfServers) {
  const auto link = playing();
  now += 7s;
  settles = false;
  happen(TimerFired{});
  hear(link, from_server(44, call_number, parameter(150, "kept_up") + parameter(165, "1")));
  settle();
  settles = true;
  pass(100ms);
  EXPECT_EQ(core->held().playbacks, 1u);
}

TEST_F(Crossing, AfterAStandstillTimersRingOnceAllIsRead) {
  connected_to_a();
  hear(viewer, offer());
  now += 600ms;
  happen(TimerFired{});
  EXPECT_EQ(outcome(), Outcome::late);
}

// ---- connections to servers ----

TEST_F(Crossing, AConnectionNearItsServersIdleTimeoutTakesNoSetUp) {
  const auto link = connected_to_a();
  pass(12s);
  come(viewer + 1);
  hear(viewer + 1, offer());
  EXPECT_EQ(sent(link), "") << "its server may be ending it";
  const auto next = dialled("10.1.0.1");
  ASSERT_NE(next, 0u);
  happen(Connected{next});
  EXPECT_EQ(sent(next), set_up());
  pass(1200ms);
  EXPECT_TRUE(hung(link)) << "without use it is ended, as connections at servers are scarce";
  EXPECT_FALSE(hung(next));
}

TEST_F(Crossing, AConnectionInUseIsNoneThatIsIdle) {
  const auto link = connected_to_a();
  for (int i = 0; i < 5; ++i) {
    pass(4s);
    come(viewer + 1);
    hear(viewer + 1, offer());
    EXPECT_EQ(sent(link), set_up());
    hear(link, release(34));
    sent(link);
    tries = 0;
  }
  EXPECT_FALSE(hung(link));
}

TEST_F(Crossing, ADialThatFailsOnThisMachineSaysNothingOfTheServer) {
  const auto link = playing();
  happen(Disconnected{link, CloseReason::reset});
  for (int i = 0; i < 30; ++i) {  // no descriptor for far longer than a silent server is given
    const auto dial = dialled("10.1.0.1");
    if (dial)
      happen(Disconnected{dial, CloseReason::local_failure});
    pass(500ms);
  }
  EXPECT_EQ(core->held().playbacks, 1u) << "what plays there goes on";
  const auto next = connect("10.1.0.1");
  hear(next, release(16));
  EXPECT_EQ(sent(viewer), end_line(call_number, 16));
}

TEST_F(Crossing, AnAttemptAndAProbeThatNeverLeftThisMachineAreToldAsSuch) {
  always_at(0);
  come();
  hear(viewer, offer());
  happen(Disconnected{dialled("10.1.0.1"), CloseReason::local_failure});
  EXPECT_EQ(outcome(), Outcome::not_sent);
  EXPECT_EQ(sent(viewer), end_line(call_number, cause::rejected, 400));
  says = [](const Event& event) -> std::vector<Command> {
    if (std::holds_alternative<Request>(event))
      return {Probe{1}};
    return {};
  };
  hear(viewer, offer());
  happen(Disconnected{dialled("10.1.0.2"), CloseReason::local_failure});
  ASSERT_EQ(events_of_type<ProbeEnded>(told).size(), 1u);
  EXPECT_FALSE(events_of_type<ProbeEnded>(told)[0].answered);
  EXPECT_FALSE(events_of_type<ProbeEnded>(told)[0].sent);
  hear(viewer, offer("00000000000000aa"));
  happen(Disconnected{dialled("10.1.0.2"), CloseReason::refused});
  EXPECT_TRUE(events_of_type<ProbeEnded>(told).back().sent) << "a refusal is the server's";
}

TEST_F(Crossing, AConnectionThatComesUpAfterItsAttemptWasGivenUpCarriesNothing) {
  always_at(0);
  come();
  hear(viewer, offer());
  const auto link = dialled("10.1.0.1");
  pass(260ms);
  EXPECT_EQ(outcome(), Outcome::no_connection);
  EXPECT_TRUE(hung(link));
  pass(740ms);
  happen(Connected{link});  // had been under way
  hear(link, accept());
  EXPECT_EQ(sent(link), "");
  EXPECT_EQ(sent(viewer), end_line(call_number, cause::rejected, 400));
  EXPECT_EQ(events_of_type<TryEnded>(told).size(), 1u);
}

TEST_F(Crossing, AResetUnderSeveralAttemptsIsNoProofForThoseThatWereSent) {
  const auto link = connected_to_a();
  says = [](const Event& event) -> std::vector<Command> {
    if (const auto* request = std::get_if<Request>(&event))
      return {SetRung{request->playback, 1}, violettide::SetUp{request->playback, 0, 500ms}};
    if (const auto* ended = std::get_if<TryEnded>(&event); ended && !ended->playback_over)
      return {Abort{ended->playback}};
    return {};
  };
  hear(viewer, offer() + offer("00000000000000aa"));
  settles = false;
  hear(viewer, offer("00000000000000ab"));  // still unsent when the reset is read
  happen(Disconnected{link, CloseReason::reset});
  settle();
  std::vector<Outcome> outcomes;
  for (const auto& one : events_of_type<TryEnded>(told))
    outcomes.push_back(one.outcome);
  EXPECT_EQ(outcomes, (std::vector{Outcome::reset, Outcome::reset, Outcome::no_connection}))
      << "a kept connection's reset proves nothing of what was written to it";
  EXPECT_EQ(sent(viewer), end_line(call_number, cause::reset) + end_line(0xaa, cause::reset) +
                              end_line(0xab, cause::reset));
  EXPECT_EQ(sent(link), set_up() + set_up(0xaa));
}

TEST_F(Crossing, AnAnswerAndACloseInOneReadIsAnAnswer) {
  const auto link = connected_to_a();
  hear(viewer, offer());
  hear(link, accept());
  happen(HalfClosed{link});
  EXPECT_EQ(sent(viewer), accept_line(call_number, "server says\r\n"));
  EXPECT_EQ(core->held().playbacks, 1u);
  const auto next = connect("10.1.0.1");
  hear(next, release(16));
  EXPECT_EQ(sent(viewer), end_line(call_number, 16)) << "its end is heard on the next connection";
}

TEST_F(Crossing, ASecondAnswerSomeMillisecondsLaterIsNone) {
  const auto link = connected_to_a();
  hear(viewer, offer());
  hear(link, release(34));
  EXPECT_EQ(sent(viewer), end_line(call_number, cause::rejected, 400));
  sent(link);
  pass(5ms);
  hear(link, accept());
  EXPECT_EQ(sent(viewer), "");
  EXPECT_EQ(sent(link), release_bytes(call_number, 16)) << "nothing stands for nobody";
  hear(link, release(34) + release(47));
  EXPECT_EQ(sent(viewer), "");
  EXPECT_EQ(events_of_type<TryEnded>(told).size(), 1u);
}

TEST_F(Crossing, ANewServerAtAnOldAddressIsNotServedOnTheOldOnesConnection) {
  const auto link = connected_to_a();
  hear(viewer, offer());
  happen(Connected{channel_link});
  sent(link);
  hear(channel_link,
       event(2, false,
             server_entry("s-a", "10.1.0.1", "Gone") + "," + server_entry("s-c", "10.1.0.1", "Ready")));
  always_at(2);
  hear(viewer, offer("00000000000000aa"));
  EXPECT_EQ(sent(link), "");
  const auto next = connect("10.1.0.1");
  EXPECT_EQ(sent(next), set_up(0xaa));
  hear(next, accept());
  EXPECT_EQ(sent(viewer), "") << "the old one's attempt is not the new one's to answer";
  tries = 1;
  happen(Disconnected{link, CloseReason::reset});
  EXPECT_EQ(sent(viewer), end_line(call_number, cause::rejected, 400));
  hear(next, accept(0xaa));
  EXPECT_EQ(sent(viewer), accept_line(0xaa, "server says\r\n"));
}

TEST_F(Crossing, AnAddressThatMovesDuringTheDialIsDialledAnew) {
  always_at(0);
  come();
  hear(viewer, offer());
  const auto old = dialled("10.1.0.1");
  happen(Connected{channel_link});
  says = [this](const Event& event) -> std::vector<Command> {
    const auto* ended = std::get_if<TryEnded>(&event);
    if (!ended || ended->playback_over || tries++ > 1)
      return {};
    return {SetRung{ended->playback, 1}, violettide::SetUp{ended->playback, 0, 500ms}};
  };
  hear(channel_link, event(2, false, server_entry("s-a", "10.1.0.7", "Ready")));
  EXPECT_TRUE(hung(old));
  happen(Connected{old});
  EXPECT_EQ(sent(old), "");
  EXPECT_EQ(outcome(), Outcome::not_sent);
  const auto next = connect("10.1.0.7");
  EXPECT_EQ(sent(next), set_up());
}

TEST_F(Crossing, ServersTakeNoDescriptorsOfTheChannelAndOfClients) {
  make(256);  // 160 for viewers in a flood, 24 for the process itself: 72
  happen(Connected{channel_link});
  std::string entries;
  for (int i = 0; i < 100; ++i)
    entries +=
        (i ? "," : "") + server_entry("t-" + std::to_string(i), "10.3.0." + std::to_string(i), "Ready");
  hear(channel_link, event(2, false, entries));
  says = [](const Event& event) -> std::vector<Command> {
    const auto* request = std::get_if<Request>(&event);
    if (!request)
      return {};
    return {SetRung{request->playback, 1},
            violettide::SetUp{request->playback, 2 + request->playback % 100, 500ms}};
  };
  come();
  std::size_t most = 0;
  ConnectionId first = 0;
  for (int i = 0; i < 100; ++i) {
    hear(viewer, offer(format_call_id(1000 + i)));
    const auto link = connect("10.3.0." + std::to_string(i));
    if (i == 0)
      first = link;
    EXPECT_EQ(sent(link), set_up(1000 + i)) << "every server is reached";
    hear(link, release(34, 1000 + i));
    pass(1ms);
    most = std::max(most, core->held().server_links);
  }
  EXPECT_EQ(most, 72u);
  EXPECT_TRUE(hung(first)) << "the one unused for longest went";
}

TEST_F(Crossing, WithEveryDescriptorBusyAnAttemptWaitsAsForADialAndIsNoFaultOfTheServer) {
  make(64);  // leaves one to servers
  always_at(0);
  come();
  hear(viewer, offer());
  connect("10.1.0.1");
  always_at(1);
  tries = 0;
  hear(viewer, offer("00000000000000aa"));
  EXPECT_EQ(dialled("10.1.0.2"), 0u);
  EXPECT_TRUE(events_of_type<TryEnded>(told).empty()) << "not at once, which would be tried again at once";
  pass(260ms);
  EXPECT_EQ(outcome(), Outcome::not_sent);
}

// ---- the watch of the list ----

TEST_F(Crossing, ADrainToldWhileAnAttemptWaitsForItsConnectionTakesItBack) {
  for (const auto* status : {"Terminating", "Gone"}) {
    make(256);
    told.clear();
    always_at(0);
    tries = 0;
    come();
    hear(viewer, offer());
    const auto link = dialled("10.1.0.1");
    happen(Connected{channel_link});
    hear(channel_link, listed(2, status, "Ready") + "\n");
    EXPECT_EQ(outcome(), Outcome::not_sent) << status;
    happen(Connected{link});
    EXPECT_EQ(sent(link), "") << status;
  }
}

TEST_F(Crossing, ADrainReadInTheTurnOfTheRequestHolds) {
  const auto link = connected_to_a();
  happen(Connected{channel_link});
  settles = false;
  hear(viewer, offer());
  hear(channel_link, listed(2, "Terminating", "Ready") + "\n");
  settle();
  EXPECT_EQ(sent(link), "");
  EXPECT_EQ(outcome(), Outcome::not_sent);
}

TEST_F(Crossing, ADrainToldAfterTheSetUpLeavesItToRun) {
  const auto link = connected_to_a();
  happen(Connected{channel_link});
  hear(viewer, offer());
  hear(channel_link, listed(2, "Terminating", "Ready") + "\n");
  EXPECT_EQ(sent(link), set_up());
  hear(link, accept());
  EXPECT_EQ(sent(viewer), accept_line(call_number, "server says\r\n"));
}

TEST_F(Crossing, AStartAndADrainInOneReadEndInTheDrain) {
  happen(Connected{channel_link});
  hear(channel_link, event(2, false, server_entry("s-c", "10.1.0.8", "Ready")) +
                         event(3, false, server_entry("s-c", "10.1.0.8", "Terminating")));
  const auto lists = events_of_type<ServerList>(told);
  ASSERT_EQ(lists.size(), 3u);
  EXPECT_EQ(lists[1].entries[0].state, ServerState::ready);
  EXPECT_EQ(lists[2].entries[0].state, ServerState::draining);
}

TEST_F(Crossing, ServersMissingFromAWholeListAmidChangesAreGone) {
  always_at(0);
  come();
  hear(viewer, offer());
  const auto link = dialled("10.1.0.1");
  happen(Connected{channel_link});
  hear(channel_link, event(2, false, server_entry("s-c", "10.1.0.8", "Ready")) +
                         event(3, true, server_entry("s-c", "10.1.0.8", "Ready")) +
                         event(4, false, server_entry("s-d", "10.1.0.9", "Ready")));
  const auto lists = events_of_type<ServerList>(told);
  ASSERT_EQ(lists.size(), 4u);
  EXPECT_EQ(lists[2].kind, ServerList::Kind::complete);
  EXPECT_EQ(outcome(), Outcome::not_sent) << "nothing new to one that is missing";
  happen(Connected{link});
  EXPECT_EQ(sent(link), "");
}

// SIGHUP moves discovery while the channel is dialled, resumed or followed, and twice in a row.
TEST_F(Crossing, AChannelThatMovesIsFollowedAtItsLastAddressWhateverTheOldOneSays) {
  enum class During { dial, resume, watch };
  const auto moved = [&](const std::string& to, const std::string& known = "") {
    happen(ConfigReloaded{R"({"listen":"10.0.0.4:3868","seed":"1","channel":")" + to +
                          R"(:7070","known":{"cmds":[)" + known +
                          R"(]},"settings":{"Classes":[{"Name":"triage","Aim":1000,"GiveUp":2000}],)"
                          R"("FamilyInfo":{"RatesKb":[1]}}})"});
  };
  for (const auto during : {During::dial, During::resume, During::watch}) {
    make(256);
    told.clear();
    const auto old = channel_link;
    if (during != During::dial)
      happen(Connected{old});
    if (during == During::watch)
      hear(old, "1\n");
    moved("10.2.0.8");
    moved("10.2.0.9");
    EXPECT_TRUE(hung(old));
    happen(Connected{old});  // had been under way
    hear(old, listed(2, "Ready", "Gone") + "\n");
    EXPECT_TRUE(events_of_type<ServerList>(told).empty()) << "the old address still talks";
    sent(old);
    pass(250ms);
    EXPECT_EQ(dialled("10.2.0.8"), 0u);
    const auto next = connect("10.2.0.9");
    EXPECT_EQ(sent(next), "resume 1\n");
    hear(next, listed(2, "Terminating", "Ready") + "\n");
    EXPECT_EQ(events_of_type<ServerList>(told).size(), 1u);
  }
}

TEST_F(Crossing, ADrainToldByANewConfigurationHoldsLikeAnyOther) {
  always_at(0);
  come();
  hear(viewer, offer());
  const auto link = dialled("10.1.0.1");
  happen(
      ConfigReloaded{R"({"listen":"10.0.0.4:3868","seed":"1","channel":"10.2.0.1:7070","known":{"cmds":[)" +
                     listed(2, "Terminating", "Ready") +
                     R"(]},"settings":{"Classes":[{"Name":"triage","Aim":1000,"GiveUp":2000}],)"
                     R"("FamilyInfo":{"RatesKb":[1]}}})"});
  EXPECT_EQ(outcome(), Outcome::not_sent);
  happen(Connected{link});
  EXPECT_EQ(sent(link), "");
}

TEST_F(Crossing, AProcessThatKnowsOfNoServerSaysSoByItsTestUntilItDoes) {
  happen(Connected{channel_link});
  come();
  const auto passes = [&] {
    hear(viewer, test_words());
    return sent(viewer) == tested_line(1, true);
  };
  EXPECT_TRUE(passes());
  hear(channel_link, event(2, true, ""));
  EXPECT_FALSE(passes()) << "an empty list";
  hear(channel_link, event(3, false, server_entry("s-c", "10.1.0.8", "Terminating")));
  EXPECT_FALSE(passes()) << "only one that drains";
  hear(channel_link, event(4, false, server_entry("s-c", "10.1.0.8", "Ready")));
  EXPECT_TRUE(passes()) << "it recovers";
}

// ---- start, stop ----

TEST_F(Crossing, AStopGoesOnlyWhenAllThatCameIsReadAndAnswered) {
  const auto link = connected_to_a();
  happen(ShutdownRequested{});
  happen(ShutdownRequested{});
  pass(790ms);
  EXPECT_FALSE(left());
  settles = false;
  pass(110ms);            // it would go
  hear(viewer, offer());  // but this lay unread
  settles = true;
  settle();
  EXPECT_FALSE(left());
  EXPECT_EQ(sent(link), set_up());
  hear(link, accept());
  hear(link, release(16));
  EXPECT_EQ(sent(viewer), accept_line(call_number, "server says\r\n") + end_line(call_number, 16));
  pass(200ms);
  EXPECT_TRUE(left());
}

TEST_F(Crossing, ARequestOnAConnectionStillInTheAcceptQueueAtTheEndIsAnswered) {
  always_at(0);
  happen(ShutdownRequested{});
  pass(790ms);
  settles = false;
  pass(110ms);  // it would go
  come();       // accepted in that turn, read in the next
  core->handle(now, InputDrained{}, actions);
  EXPECT_FALSE(left());
  hear(viewer, offer());
  unsettled = true;
  settle();
  EXPECT_FALSE(left());
  const auto link = connect("10.1.0.1");
  unsettled = true;
  settle();
  hear(link, accept());
  EXPECT_EQ(sent(viewer), accept_line(call_number, "server says\r\n"));
}

TEST_F(Crossing, NewcomersWithoutEndKeepNobodyWhoStops) {
  happen(ShutdownRequested{});
  settles = false;
  pass(900ms);
  for (ConnectionId link = viewer; link < viewer + 10 && !left(); ++link) {
    come(link);
    core->handle(now, InputDrained{}, actions);
  }
  EXPECT_TRUE(left());
}

TEST_F(Crossing, ClientsWhoStillComeAndWriteAfterTheWordToStopAreServed) {
  const auto link = connected_to_a();
  happen(ShutdownRequested{});
  pass(400ms);
  come(viewer + 1);
  pass(200ms);
  hear(viewer + 1, offer());
  hear(link, accept());
  EXPECT_EQ(sent(viewer + 1), accept_line(call_number, "server says\r\n"));
}

TEST_F(Crossing, AtItsLimitAStopAnswersAllThatIsOpenAndSendsItWhole) {
  always_at(0, 60s);
  come();
  hear(viewer, offer());
  const auto link = connect("10.1.0.1");
  happen(ShutdownRequested{});
  settles = false;
  pass(2210ms);  // the longest of the plans' times, and somewhat more
  come(viewer + 1);
  hear(viewer + 1, offer("00000000000000aa"));  // read in its last turn
  EXPECT_FALSE(left());
  sent(link);
  settle();
  EXPECT_EQ(sent(viewer), end_line(call_number, cause::reset));
  EXPECT_EQ(sent(viewer + 1), end_line(0xaa, cause::reset));
  EXPECT_EQ(sent(link), release_bytes(call_number, 16)) << "what may still run is given up";
  std::size_t whole = 0;
  for (const auto& act : actions) {
    if (const auto* hang = std::get_if<Close>(&act); hang && hang->connection >= viewer)
      whole += hang->after_sending;
  }
  EXPECT_EQ(whole, 2u) << "no last answer is cut by a reset";
  EXPECT_TRUE(left());
  EXPECT_LE(std::get<StopLoop>(actions.back()).timeout, 200ms) << "whoever reads nothing keeps it no longer";
}

TEST_F(Crossing, AStopBeforeAnythingElseGoesInOrder) {
  StartTerms terms;
  terms.plans = {"triage"};
  terms.abandon = {1800ms};
  terms.channel = Endpoint{"10.2.0.1", 7070};
  core = std::make_unique<Platform>(
      terms, std::make_unique<ScriptedDecider>(
                 &told, [](Duration, const Event&) { return std::vector<Command>{}; }));
  actions.clear();
  happen(ShutdownRequested{});
  happen(TimerFired{});
  happen(ConfigReloaded{"half of a fi"});
  pass(1s);
  EXPECT_TRUE(left());
}

// A server says a release once on the next connection, which another request may have opened.
TEST_F(Crossing, AReleaseHeardBeforeItsPlaybackIsHandedOverIsItsEnd) {
  const auto link = connected_to_a();
  hear(link, release(41));
  sent(viewer);
  const auto told_again = offer(call, "4294967", "", "home:0;copies:2;top:1;at:s-a");
  hear(viewer, told_again);
  EXPECT_EQ(sent(viewer), end_line(call_number, 41));
  EXPECT_TRUE(events_of_type<PlaybackAdopted>(told).empty());
  EXPECT_EQ(core->held().playbacks, 0u);
  pass(11s);
  come(viewer + 1);
  hear(viewer + 1, told_again);
  EXPECT_EQ(events_of_type<PlaybackAdopted>(told).size(), 1u) << "it is not held for ever";
}

TEST_F(Crossing, AReleaseHeardAfterItsPlaybackIsHandedOverIsItsEnd) {
  const auto link = connected_to_a();
  hear(viewer, offer(call, "4294967", "", "home:0;copies:2;top:1;at:s-a"));
  EXPECT_EQ(events_of_type<PlaybackAdopted>(told).size(), 1u);
  hear(link, release(41));
  EXPECT_EQ(sent(viewer), end_line(call_number, 41));
  EXPECT_EQ(core->held().playbacks, 0u);
}

// ---- answers ----

TEST_F(Crossing, WhoeverSendsAnothersIdIsNotToldOfItsEndInItsViewersPlace) {
  const std::string at = "home:0;copies:2;top:1;at:s-a";
  come();
  hear(viewer, offer(call, "4294967", "", at));
  const auto link = connect("10.1.0.1");
  come(viewer + 1);
  auto other = offer(call, "4294967", "", at);
  other.replace(other.find("\"t1\""), 4, "\"t9\"");
  hear(viewer + 1, other);
  EXPECT_EQ(sent(viewer + 1), end_line(call_number, cause::invalid_message)) << "and has its word";
  hear(link, release(16));
  EXPECT_EQ(sent(viewer), end_line(call_number, 16));
}

TEST_F(Crossing, AnEndIsToldOnWhateverConnectionIsOpenOnceItsOwnHasEnded) {
  const auto link = playing();
  come(viewer + 1);
  hear(viewer + 1, test_words());
  sent(viewer + 1);
  come(viewer + 2);  // has said nothing yet
  happen(Disconnected{viewer, CloseReason::reset});
  hear(link, release(16));
  EXPECT_EQ(sent(viewer + 1), end_line(call_number, 16));
}

TEST_F(Crossing, AnEndThatNobodyIsThereToHearIsToldToTheNextWhoSpeaks) {
  const auto link = playing();
  happen(Disconnected{viewer, CloseReason::reset});
  hear(link, release(16));
  come(viewer + 1);
  EXPECT_EQ(sent(viewer + 1), "");
  hear(viewer + 1, test_words());
  EXPECT_EQ(sent(viewer + 1), end_line(call_number, 16) + tested_line(1, true));
}

TEST_F(Crossing, AnswersInPiecesAreOneAnswer) {
  const auto link = connected_to_a();
  for (const char c : offer())
    hear(viewer, std::string(1, c));
  EXPECT_EQ(sent(link), set_up());
  for (const char c : accept())
    hear(link, std::string(1, c));
  EXPECT_EQ(sent(viewer), accept_line(call_number, "server says\r\n"));
  hear(viewer, offer("00000000000000aa") + offer("00000000000000ab").substr(0, 30));
  EXPECT_EQ(sent(link), set_up(0xaa));
  EXPECT_EQ(core->held().playbacks, 2u);
}

TEST_F(Crossing, TheAnswerTheDeadlineAndTheCancelInOneTurnAreOneEnd) {
  enum class Of { answer, refusal, deadline, cancel };
  std::vector<Of> order{Of::answer, Of::refusal, Of::deadline, Of::cancel};
  do {
    make(256);
    const auto link = connected_to_a();
    hear(viewer, offer());
    now += 499ms;
    settles = false;
    for (const auto one : order) {
      if (one == Of::answer)
        hear(link, accept());
      if (one == Of::refusal)
        hear(link, release(34));
      if (one == Of::deadline)
        now += 2ms, happen(TimerFired{});
      if (one == Of::cancel)
        hear(viewer, end());
    }
    settle();
    const auto said = sent(viewer);
    EXPECT_LE(count(said, "\"accept\"") + count(said, "\"wait\""), 1u) << "one answer at most";
    EXPECT_EQ(count(said, "\"ended\""), 1u);
    EXPECT_EQ(core->held().playbacks, 0u);
    settles = true;
  } while (std::next_permutation(order.begin(), order.end()));
}

}  // namespace
}  // namespace violettide::platform
