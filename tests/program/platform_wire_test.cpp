// Tests the formats that the operators' platform uses: viewer messages, server messages, the command channel
// and the start configuration.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "platform/channel/channel.h"
#include "platform/start.h"
#include "platform/wire/server.h"
#include "platform/wire/viewer.h"

namespace violettide::platform {
namespace {

using namespace std::chrono_literals;
using Messages = std::vector<std::variant<ParseError, ViewerMessage>>;

const std::string offer =
    R"({"op":"offer","call":"9b1f03aa5c7e2d41","with":{"class":"paid","left":"1500","hint":82.5},)"
    R"("desc":"9d41\r\nc=IN\r\n"})"
    "\n";

TEST(ViewerMessages, ParseTheSameHoweverTheBytesAreSplit) {
  for (std::size_t cut = 0; cut <= offer.size(); ++cut) {
    ViewerReader reader;
    Messages messages;
    reader.feed(offer.substr(0, cut), messages);
    EXPECT_EQ(reader.has_partial_message(), cut > 0 && cut < offer.size());
    reader.feed(offer.substr(cut) + offer, messages);
    ASSERT_EQ(messages.size(), 2u) << "cut at " << cut;
    const auto& message = std::get<ViewerMessage>(messages[0]);
    EXPECT_EQ(message.kind, ViewerMessage::Kind::offer);
    EXPECT_EQ(format_call_id(message.call), "9b1f03aa5c7e2d41");
    EXPECT_EQ(message.fields.at("left"), "1500");
    EXPECT_EQ(message.fields.at("hint"), "82.5");
    EXPECT_EQ(message.description, "9d41\r\nc=IN\r\n");
  }
}

TEST(ViewerMessages, AParseErrorSaysWhatIsWrongAndKeepsTheCallId) {
  const auto cause = [](std::string line) {
    const auto read = parse_viewer_line(line);
    const auto* error = std::get_if<ParseError>(&read);
    return error ? error->message + (error->call ? "!" : "") : std::string("read");
  };
  EXPECT_EQ(cause("[]"), "expected one JSON object per line");
  EXPECT_EQ(cause("{\"op\":\"offer\""), "expected one JSON object per line");
  EXPECT_EQ(cause(std::string(8000, '[')), "expected one JSON object per line");
  EXPECT_EQ(cause(R"({"op":"offer"})"), "call: expected 16 hex digits");
  EXPECT_EQ(cause(R"({"op":"offer","call":"9B1f03aa5c7e2d41"})"), "call: expected 16 hex digits");
  EXPECT_EQ(cause(R"({"op":"offer","call":12})"), "call: expected 16 hex digits");
  EXPECT_EQ(cause(R"({"call":"9b1f03aa5c7e2d41"})"), "op: expected a message type!");
  EXPECT_EQ(cause(R"({"op":"end","call":"9b1f03aa5c7e2d41","with":[]})"), "with: expected an object!");
  EXPECT_EQ(cause(R"({"op":"end","call":"9b1f03aa5c7e2d41","with":{"left":{}}})"),
            "with.left: expected a string or a number!");
  EXPECT_EQ(cause(R"({"op":"end","call":"9b1f03aa5c7e2d41","why":1.5})"), "why: expected an integer!");
  EXPECT_EQ(cause(R"({"op":"end","call":"9b1f03aa5c7e2d41","desc":1})"), "desc: expected a string!");
  EXPECT_EQ(cause(R"({"op":"end","call":"9b1f03aa5c7e2d41","with":{"left":1,"left":2}})"), "duplicate name!");
}

TEST(ViewerMessages, AnEndlessLineIsAnErrorAndTheRestIsIgnored) {
  ViewerReader reader;
  Messages messages;
  for (int i = 0; i < 5; ++i)
    reader.feed(std::string(max_message_bytes / 2, 'a'), messages);
  reader.feed("\n" + offer, messages);
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<ParseError>(messages[0]));
}

TEST(ViewerMessages, ANumberIsFiniteAndHasNoOtherText) {
  EXPECT_EQ(parse_non_negative("1500"), 1500);
  EXPECT_EQ(parse_non_negative("8200.5"), 8200.5);
  for (const auto* none : {"", "-1", "nan", "inf", "1e999", "12ms", " 1", "0x10"})
    EXPECT_FALSE(parse_non_negative(none)) << none;
}

TEST(ViewerMessages, AnAnswerIsOneObjectPerLine) {
  EXPECT_EQ(end_line(0x1f, 42, 500),
            R"({"op":"end","call":"000000000000001f","with":{"wait":"500"},"why":42})"
            "\n");
  EXPECT_EQ(end_line(0x1f, 41), R"({"op":"end","call":"000000000000001f","with":{},"why":41})"
                                "\n");
  EXPECT_EQ(accept_line(0x1f, "a\r\nb"),
            R"({"op":"accept","call":"000000000000001f","with":{},"desc":"a\r\nb"})"
            "\n");
}

std::string parameter(int code, const std::string& value) {
  return std::string(1, static_cast<char>(code)) + static_cast<char>(value.size() >> 8) +
         static_cast<char>(value.size() & 255) + value;
}
std::string message(int type, const std::string& parameters) {
  const std::string body = std::string(1, static_cast<char>(type)) + std::string(7, '\0') + '\7' + parameters;
  return std::string(1, static_cast<char>(body.size() >> 8)) + static_cast<char>(body.size() & 255) + body;
}

TEST(ServerMessages, ParseTheSameHoweverTheBytesAreSplit) {
  const auto bytes = message(9, parameter(174, "desc") + parameter(99, "skipped")) +
                     message(12, parameter(171, "\x22") + parameter(156, "busy:0.5;x1:2")) +
                     message(44, parameter(150, "kept_up") + parameter(165, "0.9"));
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    ServerReader reader;
    std::vector<ServerMessage> read;
    EXPECT_FALSE(reader.feed(std::string_view(bytes).substr(0, cut), read));
    EXPECT_FALSE(reader.feed(std::string_view(bytes).substr(cut), read));
    ASSERT_EQ(read.size(), 3u) << "cut at " << cut;
    EXPECT_EQ(read[0].description, "desc");
    EXPECT_EQ(read[0].call, 7u);
    EXPECT_EQ(read[1].cause, 34);
    EXPECT_EQ(read[1].load->at("busy"), 0.5);
    EXPECT_EQ(read[2].note, "kept_up");
    EXPECT_EQ(read[2].value, 0.9);
  }
}

TEST(ServerMessages, AMalformedMessageIsReportedOnce) {
  for (const auto& malformed :
       {std::string("\xff\xff\x09", 3), std::string("\0\3abc", 5), message(9, ""), message(12, ""),
        message(12, parameter(171, "ab")), message(200, ""), message(9, std::string("\xae\x40\0x", 4)),
        message(9, "\xae"), message(44, parameter(165, "soon")), message(53, parameter(156, "busy"))}) {
    ServerReader reader;
    std::vector<ServerMessage> read;
    EXPECT_TRUE(reader.feed(message(16, "") + malformed, read));
    EXPECT_EQ(read.size(), 1u) << "messages before the malformed one count";
    EXPECT_FALSE(reader.feed(message(16, ""), read));
    EXPECT_EQ(read.size(), 1u) << "the rest is ignored";
  }
}

// Guards against a wrong length that swallows the next message: whatever it is and however the bytes are
// split, that message shows it.
TEST(ServerMessages, AWrongLengthIsFoundByTheNextMessage) {
  const auto right = message(9, parameter(174, "description"));
  const auto next = message(12, parameter(171, "\x10"));
  for (std::size_t length = 0; length < 1u << 16; ++length) {
    if (length == right.size() - 2)
      continue;
    auto wrong = right;
    wrong[0] = static_cast<char>(length >> 8);
    wrong[1] = static_cast<char>(length & 255);
    ServerReader reader;
    std::vector<ServerMessage> read;
    auto error = reader.feed(wrong + next.substr(0, 1), read);
    if (!error)
      error = reader.feed(next.substr(1), read);
    ASSERT_TRUE(error) << length;
    ASSERT_TRUE(read.empty()) << length;
    ASSERT_FALSE(reader.has_partial_message()) << length;
  }
}

TEST(ServerMessages, ASetUpCarriesWhatTheViewerSent) {
  EXPECT_EQ(setup_bytes({7, "paid", "title", "desc", 1200, 3}),
            message(1, parameter(129, "paid") + parameter(141, "title") + parameter(132, "1200") +
                           parameter(162, "3") + parameter(174, "desc")));
  EXPECT_EQ(release_bytes(7, 16), message(12, parameter(171, "\x10")));
  EXPECT_EQ(test_bytes(7), message(52, parameter(171, "\1"))) << "cause 1 asks for a report";
  EXPECT_EQ(rung_bytes(7, 2), message(60, parameter(162, "2")));
}

std::string event(int number, const std::string& name, const std::string& status, bool snapshot = false) {
  return R"({"cursor":)" + std::to_string(number) + R"(,"nodes":{"index":1,"snapshot":)" +
         (snapshot ? "true" : "false") + R"(,"endpoints":[{"name":")" + name +
         R"(","address":"10.1.0.9:3868","zone":"east","type":"std","group":2,"status":")" + status +
         R"(","weight":4,"since_ms":5000}]}})";
}

class ChannelTest : public testing::Test {
 protected:
  ChannelTest() {
    channel.set_endpoint(Endpoint{"10.2.0.1", 7070});
    EXPECT_EQ(channel.take_configured_events(R"({"cursor":1,"cmds":[)" + event(1, "a", "Ready", true) + "]}")
                  .size(),
              1u);
    connect(0s);
  }
  void connect(Duration now) {
    ASSERT_EQ(channel.poll(now), Channel::Step::dial);
    channel.dial_started(now);
    request = channel.connected(now);
  }
  std::size_t receive_line(Duration now, const std::string& line) {
    return channel.received(now, line + "\n").size();
  }
  Channel channel{1};
  std::string request;
};

TEST_F(ChannelTest, ResumesAfterTheLastEventAndTakesEachOnce) {
  EXPECT_EQ(request, "resume 1\n");
  const auto updates =
      channel.received(1s, event(2, "b", "Terminating") + "\n" + event(2, "b", "Terminating") + "\n");
  ASSERT_EQ(updates.size(), 1u) << "one is a repeat";
  const auto& server = updates[0].servers.at(0);
  EXPECT_EQ(server.name, "b");
  EXPECT_EQ(server.endpoint, (Endpoint{"10.1.0.9", 3868}));
  EXPECT_EQ(server.state, ServerState::draining);
  EXPECT_EQ(server.hall, "east");
  EXPECT_EQ(server.cell, 2);
  EXPECT_EQ(server.started_ms, 5000);
  EXPECT_EQ(receive_line(1500ms, "2"), 0u);
  EXPECT_EQ(channel.poll(2s), Channel::Step::none);
}

TEST_F(ChannelTest, ATruncatedEventIsRequestedAgain) {
  EXPECT_EQ(channel.received(1s, event(2, "b", "Gone").substr(0, 40)).size(), 0u);
  channel.disconnected(1s);
  connect(1300ms);
  EXPECT_EQ(request, "resume 1\n");
  EXPECT_EQ(receive_line(1400ms, event(2, "b", "Gone")), 1u) << "the truncated event is discarded";
}

TEST_F(ChannelTest, AMissingEventIsRequestedAgain) {
  EXPECT_EQ(receive_line(1s, event(3, "b", "Gone")), 0u);
  EXPECT_EQ(channel.poll(1s), Channel::Step::close);
  channel.disconnected(1s);
  connect(1300ms);
  EXPECT_EQ(receive_line(1400ms, "4"), 0u) << "the heartbeat counts events that never came";
  EXPECT_EQ(channel.poll(1400ms), Channel::Step::close);
}

TEST_F(ChannelTest, SilenceClosesAConnectionThatStaysOpen) {
  receive_line(1s, "1");
  EXPECT_EQ(channel.poll(2s), Channel::Step::none);
  EXPECT_LE(channel.next_poll_at(), 3s) << "it asks for a poll in time";
  EXPECT_EQ(channel.poll(2700ms), Channel::Step::close);
  channel.disconnected(2700ms);
  EXPECT_EQ(channel.poll(2900ms), Channel::Step::dial) << "within the first backoff";
}

TEST_F(ChannelTest, SilenceFromTheStartClosesTheConnection) {
  EXPECT_EQ(channel.poll(1500ms), Channel::Step::none);
  EXPECT_EQ(channel.poll(1700ms), Channel::Step::close);
}

TEST_F(ChannelTest, AHeartbeatBeyondTheLastEventClosesTheConnection) {
  receive_line(1s, "1");
  receive_line(2s, "1");
  EXPECT_EQ(channel.poll(2s), Channel::Step::none);
  receive_line(3s, "2");
  EXPECT_EQ(channel.poll(3s), Channel::Step::close) << "events stopped while heartbeats went on";
}

// A snapshot needs no event before it; one older than the last event is a repeat.
TEST_F(ChannelTest, ASnapshotIsTakenAfterAGapUnlessItIsOlder) {
  const auto snapshot = [](int number) { return event(number, "b", "Ready", true); };
  ASSERT_EQ(channel.received(1s, snapshot(7) + "\n").size(), 1u);
  EXPECT_EQ(channel.poll(1s), Channel::Step::none);
  EXPECT_EQ(receive_line(1s, snapshot(5)), 0u);
  EXPECT_EQ(channel.last_event(), 7);
  EXPECT_EQ(receive_line(1s, event(8, "b", "Gone")), 1u) << "events continue after the snapshot";
}

// Guards against 300 managers that lost their channels at the same moment redialling in step while the
// endpoint is down. Each must also redial within half a second of the endpoint's return.
TEST(ChannelBackoff, ManagersThatDisconnectTogetherDoNotRedialTogether) {
  std::map<Duration, int> first, tenth;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Channel channel(seed * 0x9E3779B97F4A7C15u);
    channel.set_endpoint(Endpoint{"10.2.0.1", 7070});
    ASSERT_EQ(channel.poll(0s), Channel::Step::dial);
    channel.dial_started(0s);
    channel.connected(0s);
    Duration now{1s};
    for (int dial = 1; dial <= 10; ++dial) {
      channel.disconnected(now);
      EXPECT_EQ(channel.poll(now), Channel::Step::none) << "it waits before it redials";
      const auto waited = channel.next_poll_at() - now;
      EXPECT_LE(waited, dial == 1 ? 200ms : 500ms);
      if (dial > 2)
        EXPECT_GE(waited, 200ms) << "the backoff has grown";
      now = channel.next_poll_at();
      ASSERT_EQ(channel.poll(now), Channel::Step::dial);
      channel.dial_started(now);
      if (dial == 1)
        ++first[std::chrono::floor<std::chrono::milliseconds>(now)];
      if (dial == 10)
        ++tenth[std::chrono::floor<std::chrono::milliseconds>(now)];
    }
  }
  const auto max_per_millisecond = [](const std::map<Duration, int>& dials) {
    return std::max_element(dials.begin(), dials.end(), [](auto& a, auto& b) { return a.second < b.second; })
        ->second;
  };
  EXPECT_LE(max_per_millisecond(first), 10) << "of 300 in one millisecond";
  EXPECT_LE(max_per_millisecond(tenth), 10);
}

TEST_F(ChannelTest, ADialThatTimesOutIsClosed) {
  channel.disconnected(1s);
  channel.dial_started(2s);
  EXPECT_EQ(channel.poll(2500ms), Channel::Step::none);
  EXPECT_EQ(channel.poll(3100ms), Channel::Step::close);
}

TEST_F(ChannelTest, AnotherAddressResumesAfterTheLastEvent) {
  receive_line(1s, event(2, "b", "Ready"));
  channel.set_endpoint(Endpoint{"10.2.0.1", 7070});
  EXPECT_EQ(channel.poll(1s), Channel::Step::none) << "the same address";
  channel.set_endpoint(Endpoint{"10.2.0.2", 7070});
  EXPECT_EQ(channel.poll(1s), Channel::Step::close);
  channel.disconnected(1s);
  connect(1300ms);
  EXPECT_EQ(channel.endpoint()->address, "10.2.0.2");
  EXPECT_EQ(request, "resume 2\n");
  const auto known = R"({"cursor":3,"cmds":[)" + event(2, "b", "Gone") + "," + event(3, "c", "Ready") + "]}";
  EXPECT_EQ(channel.take_configured_events(known).size(), 1u) << "events already taken are skipped";
}

TEST_F(ChannelTest, AMalformedLineIsNoEvent) {
  Duration now{0};
  for (const auto* bad : {"noise", "[1]", R"({"cursor":2,"nodes":{}})",
                          R"({"cursor":2,"nodes":{"endpoints":[{"name":"x","status":"Odd"}]}})"}) {
    now += 1s;
    EXPECT_EQ(receive_line(now, bad), 0u);
    EXPECT_EQ(channel.last_event(), 1);
    EXPECT_EQ(channel.poll(now), Channel::Step::close) << bad;
    channel.disconnected(now);
    connect(now += 1s);
  }
}

const std::string settings =
    R"("settings":{"Balancers":3,"Classes":[{"Aim":540000,"GiveUp":1800000,"Idempotency":"free","Name":"triage",)"
    R"("Worth":1.0},{"Aim":290000,"GiveUp":1440000,"Idempotency":"single_shot","Name":"escalation"}],)"
    R"("FamilyInfo":{"LowestRung":[0,1],"Places":12,"RatesKb":[241.0,413.0]},)"
    R"("Limits":{"DialTimeout":125000,"MayProbe":true},"Me":1,"Zones":["hall-a","hall-b"]})";

TEST(Start, ParsesNestedSettings) {
  const auto read =
      parse_platform_config(R"({"name":"n3","listen":"10.0.0.4:3868","seed":"8c1f30d27a5be964",)"
                            R"("limits":{"sockets":256},"channel":"10.2.0.1:7070",)" +
                            settings + "}");
  const auto& terms = std::get<PlatformConfig>(read);
  EXPECT_EQ(terms.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(terms.max_sockets, 256u);
  EXPECT_EQ(terms.plans, (std::vector<std::string>{"triage", "escalation"}));
  EXPECT_EQ(terms.abandon_times[1], 1440ms);
  EXPECT_EQ(terms.halls[1], "hall-b");
  EXPECT_EQ(terms.dial_timeout, 125ms);
  EXPECT_EQ(terms.policy.plans[1].floor, 1);
  EXPECT_TRUE(terms.policy.plans[1].pay_at_setup);
  EXPECT_FALSE(terms.policy.plans[0].pay_at_setup);
  EXPECT_EQ(terms.policy.rung_kb, (std::vector<double>{241, 413}));
  EXPECT_EQ(terms.policy.cells, 12);
  EXPECT_EQ(terms.policy.front_index, 1);
  EXPECT_TRUE(terms.policy.probes_enabled);
}

TEST(Start, AFaultNamesItsSetting) {
  const auto cause = [](const std::string& text) {
    return std::get<ConfigError>(parse_platform_config(text)).message;
  };
  EXPECT_EQ(cause("x"), "expected a JSON object");
  EXPECT_EQ(cause("{}"), "listen: expected address:port");
  const std::string start = R"({"listen":"10.0.0.4:3868",)";
  EXPECT_EQ(cause(start + R"("seed":"xyz"})"), "seed: expected hex digits");
  EXPECT_EQ(cause(start + R"("seed":"1","channel":"nowhere"})"), "channel: expected address:port");
  EXPECT_EQ(cause(start + R"("seed":"1","channel":"10.2.0.1:70"})"), "settings: expected an object");
  EXPECT_EQ(cause(start + R"("seed":"1","channel":"10.2.0.1:70","settings":{"Me":"x"}})"),
            "settings: setting Me=x: expected a number");
}

// Guards against a setting of the wrong type ending the process, at the start or at a reload by SIGHUP.
TEST(Start, AValueOfTheWrongTypeOrMissingIsNamed) {
  const auto cause = [](const std::string& limits, const std::string& terms) {
    const auto read =
        parse_platform_config(R"({"listen":"10.0.0.4:3868","seed":"1","channel":"10.2.0.1:70","limits":)" +
                              limits + R"(,"settings":)" + terms + "}");
    const auto* fault = std::get_if<ConfigError>(&read);
    return fault ? fault->message : "";
  };
  const std::string plan = R"({"Name":"a","Aim":1000,"GiveUp":2000})";
  const auto with = [&](const std::string& plans, const std::string& more = "") {
    return R"({"Classes":[)" + plans + R"(],"FamilyInfo":{"RatesKb":[1,2]})" + more + "}";
  };
  EXPECT_EQ(cause("{}", with(plan)), "");
  EXPECT_EQ(cause(R"({"sockets":"many"})", with(plan)), "limits.sockets: expected a number above 0");
  EXPECT_EQ(cause(R"({"sockets":-1})", with(plan)), "limits.sockets: expected a number above 0");
  EXPECT_EQ(cause("7", with(plan)), "limits: expected an object");
  EXPECT_EQ(cause("{}", with("")), "settings: Classes: expected one plan at least");
  EXPECT_EQ(cause("{}", with(R"({"Aim":1000,"GiveUp":2000})")), "settings: Classes.0.Name: expected a name");
  EXPECT_EQ(cause("{}", with(plan + R"(,{"Name":"b","GiveUp":2000})")),
            "settings: Classes.1.Aim: expected a time above 0");
  EXPECT_EQ(cause("{}", with(R"({"Name":"a","Aim":1000})")),
            "settings: Classes.0.GiveUp: expected a time above 0");
  EXPECT_EQ(cause("{}", R"({"Classes":[)" + plan + "]}"), "settings: FamilyInfo.RatesKb: expected a ladder");
  EXPECT_EQ(cause("{}", with(plan, R"(,"Limits":{"MayProbe":"perhaps"})")),
            "settings: setting Limits.MayProbe=perhaps: expected true or false");
  EXPECT_EQ(cause("{}", with(plan, R"(,"Limits":{"ConnIdle":"long"})")),
            "settings: setting Limits.ConnIdle=long: expected a number");
}

// A manager without a number draws one. A fixed default would make all managers take the same turns at a
// server that has just started.
TEST(Start, TheManagersNumberMayBeMissing) {
  const auto read =
      parse_platform_config(R"({"listen":"10.0.0.4:3868","seed":"1","channel":"10.2.0.1:70","settings":)"
                            R"({"Classes":[{"Name":"a","Aim":1000,"GiveUp":2000}],)"
                            R"("FamilyInfo":{"RatesKb":[1]},"Limits":{"ConnIdle":15000000}}})");
  EXPECT_FALSE(std::get<PlatformConfig>(read).policy.front_index.has_value());
  EXPECT_EQ(std::get<PlatformConfig>(read).idle_timeout, 15s);
}

}  // namespace
}  // namespace violettide::platform
