// Messages that never become whole, at each reader of a session manager that serves by HTTP: from viewers, at
// the control port, from the box list, the catalogue feed and boxes.
#include <gtest/gtest.h>

#include "manager/manager.h"
#include "scripted.h"

namespace violettide::manager {
namespace {

using namespace std::chrono_literals;
using testing::events_of_type;
using testing::ScriptedDecider;

class PartialRequestTest : public ::testing::Test {
 protected:
  static constexpr ConnectionId client = first_accepted;
  static constexpr int viewer_listener = 0, control_listener = 1;
  static constexpr std::uint16_t list_port = 7001, feed_port = 7002, box_port = 1001;

  void SetUp() override {
    settings.name = "m";
    settings.policy.rung_kb = {10, 20};
    settings.policy.rung_revenue = {0.5, 1};
    settings.policy.plans.resize(1);
    settings.policy.plans[0].startup_target = 800ms;
    settings.policy.plans[0].top = 1;
    settings.plans = {{"a", 4s}};
    settings.halls = {"h"};
    settings.policy.cells = 2;
    settings.box_list_port = list_port;
    settings.has_catalogue = true;
    settings.feed_port = feed_port;
    settings.max_feed_bytes = 100'000;
    core = std::make_unique<Manager>(settings, 1, "",
                                     std::make_unique<ScriptedDecider>(&events, [](Duration, const Event&) {
                                       return std::vector<Command>{};
                                     }));
    deliver(TimerFired{});
  }
  void deliver(const IoEvent& event) { core->handle(now, event, actions); }
  void receive(ConnectionId connection, const std::string& bytes) { deliver(Received{connection, bytes}); }
  void advance(Duration time) {
    for (const auto until = now + time; now < until;) {
      now += 10ms;
      deliver(TimerFired{});
    }
  }
  // The last dial to a port; 0: none.
  ConnectionId dialled(std::uint16_t port) const {
    ConnectionId connection = 0;
    for (const auto& action : actions) {
      if (const auto* dial = std::get_if<Dial>(&action); dial && dial->port == port)
        connection = dial->connection;
    }
    return connection;
  }
  bool closed(ConnectionId connection) const {
    return std::any_of(actions.begin(), actions.end(), [&](const Action& action) {
      const auto* close = std::get_if<Close>(&action);
      return close && close->connection == connection;
    });
  }
  std::string sent(ConnectionId connection) const {
    std::string all;
    for (const auto& action : actions) {
      if (const auto* send = std::get_if<Send>(&action); send && send->connection == connection)
        all += send->bytes;
    }
    return all;
  }
  // Sends a byte at a time until the connection is closed, for `limit` at most. Returns the time until then.
  Duration send_slowly(ConnectionId connection, const std::string& piece, Duration limit) {
    const auto begun = now;
    while (!closed(connection) && now < begun + limit) {
      receive(connection, piece);
      advance(100ms);
    }
    return now - begun;
  }

  ManagerSettings settings;
  std::unique_ptr<Manager> core;
  std::vector<Event> events;
  std::vector<Action> actions;
  Duration now{1s};
};

// Guards against viewers using up the connections by requests that they never complete.
TEST_F(PartialRequestTest, AViewersRequestThatIsNeverWholeIsAnsweredAndItsConnectionClosed) {
  for (const std::string& beginning : {std::string("G"), std::string("GET /a/t/r0/0.m4s HTTP/1.1\r\nX: "),
                                       std::string("POST / HTTP/1.1\r\nContent-Length: 900000\r\n\r\n")}) {
    actions.clear();
    deliver(Accepted{client, viewer_listener});
    receive(client, beginning);
    const auto time = send_slowly(client, "x", 2 * settings.request_timeout);
    EXPECT_GE(time, settings.request_timeout) << beginning;
    EXPECT_LE(time, settings.request_timeout + 200ms) << beginning;
    EXPECT_TRUE(sent(client).starts_with("HTTP/1.1 408 ")) << beginning;
  }
  EXPECT_EQ(core->resource_usage().viewer_connections, 0u);
}

// A request in many pieces is taken if it is whole in time; its connection may then rest.
TEST_F(PartialRequestTest, AViewersRequestThatIsCompletedInTimeIsTaken) {
  deliver(Accepted{client, viewer_listener});
  const std::string request = "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n";
  for (int i = 0; i < 3; ++i) {
    receive(client, request.substr(0, 7));
    advance(settings.request_timeout - 500ms);
    receive(client, request.substr(7));
  }
  advance(3 * settings.request_timeout);
  EXPECT_FALSE(closed(client));
  EXPECT_EQ(sent(client).find("408"), std::string::npos);
}

// A stall of this process says nothing of a request whose rest came meanwhile.
TEST_F(PartialRequestTest, TheRestOfARequestThatCameDuringAStallIsReadFirst) {
  deliver(Accepted{client, viewer_listener});
  receive(client, "GET /nothing HTTP/1.1\r\n");
  now += settings.request_timeout + 1s;
  deliver(TimerFired{});
  receive(client, "Host: x\r\n\r\n");
  advance(1s);
  EXPECT_TRUE(sent(client).starts_with("HTTP/1.1 404 ")) << sent(client);
}

TEST_F(PartialRequestTest, AControlRequestThatIsNeverWholeIsAnsweredAndItsConnectionClosed) {
  deliver(Accepted{client, control_listener});
  receive(client, "POST /catalogue HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
  const auto time = send_slowly(client, "x", 2 * settings.control_request_timeout);
  EXPECT_GE(time, settings.control_request_timeout);
  EXPECT_LE(time, settings.control_request_timeout + 200ms);
  EXPECT_TRUE(sent(client).starts_with("HTTP/1.1 408 "));
}

// Guards against holding in memory whatever the feed sends: its response was measured when it was whole.
TEST_F(PartialRequestTest, AFeedThatNeverEndsIsGivenUpAtItsLimit) {
  const auto feed = dialled(feed_port);
  ASSERT_NE(feed, 0u);
  deliver(Connected{feed});
  receive(feed, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n");
  for (int i = 0; i < 11 && !closed(feed); ++i)
    receive(feed, std::string(10'000, 'x'));
  EXPECT_TRUE(closed(feed));
  advance(1s);
  EXPECT_NE(dialled(feed_port), feed) << "it is polled again";
}

// What the box list and the feed send slowly ends with their polls, whatever keeps coming.
TEST_F(PartialRequestTest, ServicesThatSendSlowlyArePolledAgain) {
  for (const auto port : {list_port, feed_port}) {
    const auto service = dialled(port);
    ASSERT_NE(service, 0u) << port;
    deliver(Connected{service});
    receive(service, "HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n");
    const auto limit = 2 * (port == list_port ? settings.box_list_interval : settings.feed_wait);
    EXPECT_LE(send_slowly(service, "x", 2 * limit), limit + 200ms) << port;
    advance(1s);
    EXPECT_NE(dialled(port), service) << port;
  }
}

// Guards against a chunk's line that never ends: no limit on heads or bodies applies to it.
TEST(PartialResponse, AChunkLineThatNeverEndsIsMalformed) {
  http::ResponseParser parser;
  parser.expect(false);
  const auto head = parser.push("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  ASSERT_TRUE(head.head);
  bool failed = false;
  for (int i = 0; i < 100 && !failed; ++i)
    failed = parser.push((i == 0 ? "5;x=" : "") + std::string(1000, 'x')).error.has_value();
  EXPECT_TRUE(failed);
  http::RequestParser requests;
  requests.push("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5;x=");
  for (int i = 0; i < 100 && !requests.error(); ++i) {
    requests.push(std::string(1000, 'x'));
    EXPECT_FALSE(requests.next());
  }
  EXPECT_TRUE(requests.error());
}

}  // namespace
}  // namespace violettide::manager
