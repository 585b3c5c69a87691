// Tests the manager's core against a scripted policy and scripted peers: failures of connections, boxes and
// viewers.
#include "manager/manager.h"

#include <gtest/gtest.h>

#include "hints/cmsd.h"
#include "net.h"
#include "scripted.h"

namespace violettide::manager {
namespace {

using namespace std::chrono_literals;
using testing::Network;
using testing::ScriptedDecider;
using testing::ScriptedPeer;

class ManagerTest : public ::testing::Test {
 protected:
  static constexpr int front_host = 0, box_host = 1, list_host = 3, viewer_host = 4;

  void SetUp() override {
    settings.name = "m";
    settings.policy.rung_kb = {10, 20, 40};
    settings.policy.rung_revenue = {0.5, 0.8, 1};
    settings.policy.plans.resize(2);
    for (auto& plan : settings.policy.plans)
      plan.startup_target = 800ms, plan.top = 2;
    settings.policy.plans[0].floor = 1;
    settings.policy.plans[1].pay_at_setup = true;
    settings.plans = {{"a", 4s}, {"paid", 4s}};
    settings.halls = {"h"};
    settings.policy.cells = 2;
    settings.box_list_port = Network::port(list_host);
    settings.idle_timeout = 3s;
    settings.max_viewer_connections = 8;
    auto script = std::make_unique<ScriptedDecider>(&events, [this](Duration now, const Event& event) {
      return decide ? decide(now, event) : place(event);
    });
    front = std::make_unique<Manager>(settings, 1, "", std::move(script));
    network.add(*front, 1);
    network.add(box, 1);
    network.add(other_box, 1);
    network.add(list, 1);
    network.add(viewer, 0);
    list.on_bytes = [this](ScriptedPeer&, ConnectionId connection, std::vector<Action>& actions) {
      actions.push_back(
          Send{connection, http::serialize_response_head(200, {}, boxes_json.size(), false) + boxes_json});
      actions.push_back(Close{connection, true});
    };
    network.run(100ms);
    events.clear();
  }

  // The default script: tries box 0, then box 1, then rejects.
  std::vector<Command> place(const Event& event) {
    if (const auto* request = std::get_if<Request>(&event)) {
      tries[request->playback] = 1;
      return {SetRung{request->playback, 1}, violettide::SetUp{request->playback, 0, 500ms}};
    }
    if (const auto* ended = std::get_if<TryEnded>(&event); ended && !ended->playback_over) {
      if (tries[ended->playback]++ > 1)
        return {Reject{ended->playback, 1500ms}};
      return {violettide::SetUp{ended->playback, 1, 500ms}};
    }
    return {};
  }

  ConnectionId dial() {
    const ConnectionId connection = next_connection++;
    viewer.next.push_back(Dial{connection, "", Network::port(front_host)});
    run_actions(viewer_host);
    return connection;
  }
  // Lets a scripted peer run its queued actions.
  void run_actions(int host) {
    network.wake(host);
    network.run(network.now() + 2ms);
  }
  void send(ConnectionId connection, const std::string& text) {
    viewer.next.push_back(Send{connection, text});
    run_actions(viewer_host);
  }
  static std::string get(const std::string& path, const std::string& sid = "s1") {
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\nCMCD-Session: sid=\"" + sid + "\"\r\n\r\n";
  }
  void box_sends(ScriptedPeer& from, int host, ConnectionId connection, const std::string& text) {
    from.next.push_back(Send{connection, text});
    run_actions(host);
  }
  static std::string object(const std::string& body, const std::string& extra_fields = "") {
    return "HTTP/1.1 200 OK\r\n" + extra_fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }
  std::string& received(ConnectionId connection) { return viewer.peers[connection].got; }
  template <typename Type>
  std::vector<Type> events_of() const {
    return testing::events_of_type<Type>(events);
  }
  // Connections to a box whose received bytes start with a GET request.
  static std::vector<ConnectionId> connections_with_requests(ScriptedPeer& peer) {
    std::vector<ConnectionId> connections;
    for (const auto connection : peer.accepted) {
      if (peer.peers[connection].got.starts_with("GET"))
        connections.push_back(connection);
    }
    return connections;
  }

  Network network;
  ScriptedPeer box, other_box, list, viewer;
  ManagerSettings settings;
  std::unique_ptr<Manager> front;
  std::vector<Event> events;
  std::map<PlaybackId, int> tries;
  std::function<std::vector<Command>(Duration, const Event&)> decide;
  ConnectionId next_connection = 1;
  std::string boxes_json = testing::two_boxes_json;
};

TEST_F(ManagerTest, ForwardsRequestAndResponseWithHints) {
  const auto connection = dial();
  send(connection,
       "GET /a/t/r2/0.m4s?CMCD=sid%3D%22q%22%2Ctb%3D170 HTTP/1.1\r\nHost: x\r\ntraceparent: "
       "00-ab-cd-01\r\n\r\n");
  ASSERT_EQ(connections_with_requests(box).size(), 1u);
  const auto at_box = box.peers[box.accepted[0]].got;
  EXPECT_NE(at_box.find("GET /a/t/r1/0.m4s HTTP/1.1\r\n"), std::string::npos)
      << "the rung in force, not the requested one";
  EXPECT_NE(at_box.find("sid=\"q\""), std::string::npos);
  EXPECT_NE(at_box.find("su"), std::string::npos);
  EXPECT_NE(at_box.find("traceparent: 00-ab-cd-01"), std::string::npos);
  EXPECT_EQ(events_of<Request>()[0].top, 1) << "its top bitrate fits rung 1";
  box_sends(box, box_host, box.accepted[0],
            object("hello",
                   "CMSD-Static: br=160\r\nCMSD-Dynamic: \"b0\";org.violettide-util=0.4\r\nConnection: "
                   "keep-alive, X-Hop\r\nX-Hop: 1\r\nETag: \"e\"\r\n"));
  const auto& answer = received(connection);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 OK\r\n")) << answer;
  EXPECT_NE(answer.find("CMSD-Static: br=160"), std::string::npos);
  EXPECT_NE(answer.find("CMSD-Dynamic: \"b0\";org.violettide-util=0.4, \"m\";mb=160"), std::string::npos)
      << answer;
  EXPECT_NE(answer.find("ETag"), std::string::npos);
  EXPECT_EQ(answer.find("X-Hop"), std::string::npos) << "hop-by-hop fields are not forwarded";
  EXPECT_TRUE(answer.ends_with("\r\n\r\nhello"));
  ASSERT_EQ(events_of<PlaybackStarted>().size(), 1u);
  EXPECT_TRUE(std::any_of(events.begin(), events.end(), [](const Event& e) {
    const auto* measurement = std::get_if<Measurement>(&e);
    return measurement && measurement->kind == Measurement::Kind::link_fill && measurement->value == 0.4;
  }));
}

TEST_F(ManagerTest, SendsTheNextTryAfterEachKindOfFailure) {
  const std::pair<std::string, Outcome> answers[] = {
      {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", Outcome::full},
      {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", Outcome::error},
      {"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", Outcome::error},
      {"not HTTP at all\r\n\r\n", Outcome::error}};
  int n = 0;
  for (const auto& [text, outcome] : answers) {
    events.clear();
    const auto connection = dial();
    send(connection, get("/a/t/r2/0", "s" + std::to_string(++n)));
    // A connection that the box left open after its response is reused.
    ConnectionId at_box = 0;
    for (const auto accepted : box.accepted) {
      if (!box.peers[accepted].got.empty() && !box.peers[accepted].ended)
        at_box = accepted;
    }
    box_sends(box, box_host, at_box, text);
    ASSERT_EQ(events_of<TryEnded>().size(), 1u) << text;
    EXPECT_EQ(events_of<TryEnded>()[0].outcome, outcome);
    const auto second = connections_with_requests(other_box).back();
    box_sends(other_box, 2, second, object("x"));
    EXPECT_TRUE(received(connection).starts_with("HTTP/1.1 200")) << received(connection);
    other_box.peers[second].got.clear();
    box.peers[at_box].got.clear();
  }
}

TEST_F(ManagerTest, RefusedConnectionCountsAsNotRun) {
  network.kill(box_host);
  const auto connection = dial();
  send(connection, get("/paid/t/r2/0"));
  ASSERT_EQ(events_of<TryEnded>().size(), 1u);
  EXPECT_EQ(events_of<TryEnded>()[0].outcome, Outcome::no_connection);
  box_sends(other_box, 2, connections_with_requests(other_box).back(), object("x"));
  EXPECT_TRUE(received(connection).starts_with("HTTP/1.1 200"));
}

TEST_F(ManagerTest, TryTimesOutAndItsLateResponseIsIgnored) {
  const auto connection = dial();
  send(connection, get("/a/t/r2/0"));
  const auto at_box = box.accepted[0];
  network.run(network.now() + 600ms);
  ASSERT_EQ(events_of<TryEnded>().size(), 1u);
  EXPECT_EQ(events_of<TryEnded>()[0].outcome, Outcome::late);
  EXPECT_TRUE(box.peers[at_box].ended) << "the try was cancelled";
  box_sends(box, box_host, at_box, object("late"));
  EXPECT_EQ(received(connection), "");
  box_sends(other_box, 2, connections_with_requests(other_box)[0], object("x"));
  EXPECT_TRUE(received(connection).ends_with("x"));
  EXPECT_EQ(events_of<PlaybackStarted>().size(), 1u);
}

TEST_F(ManagerTest, UnrequestedResponseIsDiscarded) {
  const auto connection = dial();
  send(connection, get("/a/t/r2/0"));
  box_sends(box, box_host, box.accepted[0], object("one") + object("two"));
  EXPECT_TRUE(received(connection).ends_with("one"));
  EXPECT_EQ(received(connection).find("two"), std::string::npos);
  EXPECT_TRUE(box.peers[box.accepted[0]].ended) << "the connection is not reused";
  const auto second = dial();
  send(second, get("/a/u/r2/0", "s2"));
  ASSERT_EQ(box.accepted.size(), 2u);
  box_sends(box, box_host, box.accepted[1], object("fine"));
  box_sends(box, box_host, box.accepted[1], object("unasked"));  // while idle in the pool
  EXPECT_TRUE(box.peers[box.accepted[1]].ended);
  EXPECT_TRUE(received(second).ends_with("fine"));
}

TEST_F(ManagerTest, RejectionCarriesRetryAfter) {
  decide = [](Duration, const Event& event) -> std::vector<Command> {
    if (const auto* r = std::get_if<Request>(&event))
      return {Reject{r->playback, 1200ms}};
    return {};
  };
  const auto connection = dial();
  send(connection, get("/a/t/r2/0"));
  EXPECT_TRUE(received(connection).starts_with("HTTP/1.1 503")) << received(connection);
  EXPECT_NE(received(connection).find("Retry-After: 2\r\n"), std::string::npos);
  EXPECT_EQ(front->resource_usage().playbacks, 0u);
}

TEST_F(ManagerTest, RetryAfterIsJittered) {
  decide = [](Duration, const Event& event) -> std::vector<Command> {
    if (const auto* request = std::get_if<Request>(&event))
      return {Reject{request->playback, 4s}};
    return {};
  };
  std::set<std::string> retry_times;
  for (int i = 0; i < 30; ++i) {
    const auto connection = dial();
    send(connection, get("/a/t/r2/0", "s" + std::to_string(i)));
    const auto at = received(connection).find("Retry-After: ");
    ASSERT_NE(at, std::string::npos) << received(connection);
    retry_times.insert(received(connection).substr(at + 13, 1));
    viewer.next.push_back(Close{connection, false}), run_actions(viewer_host);
  }
  EXPECT_GE(retry_times.size(), 2u) << "four seconds with a quarter of jitter either way, in whole seconds";
}

// Guards against a second paid set-up: if a reused connection fails after the request was written, whether
// the set-up ran is unknown.
TEST_F(ManagerTest, PaidSetUpUsesANewConnection) {
  const auto first = dial(), paid = dial(), free = dial();
  send(first, get("/a/t/r2/0", "s"));
  box_sends(box, box_host, box.accepted[0], object("x"));
  EXPECT_TRUE(received(first).ends_with("x"));
  EXPECT_EQ(box.accepted.size(), 1u);
  send(paid, get("/paid/t/r2/0", "p"));
  EXPECT_EQ(box.accepted.size(), 2u) << "the idle connection is not used for it";
  send(free, get("/a/t/r2/0", "q"));
  EXPECT_EQ(box.accepted.size(), 2u) << "other plans use the idle connection";
}

TEST_F(ManagerTest, ConnectTimesOutAtItsLimit) {
  network.latency = 200ms;  // the round trip is longer than the connect timeout
  const auto connection = dial();
  network.run(network.now() + 1s);
  send(connection, get("/a/t/r2/0"));
  network.run(network.now() + 900ms);
  const auto ended = events_of<TryEnded>();
  ASSERT_GE(ended.size(), 1u);
  EXPECT_EQ(ended[0].outcome, Outcome::no_connection);
  EXPECT_TRUE(connections_with_requests(box).empty()) << "nothing ran";
}

TEST_F(ManagerTest, WaitersBeyondTheLimitOfAPaidTryGetNoRetryAfter) {
  settings.max_viewer_connections = 40;
  auto script = std::make_unique<ScriptedDecider>(
      &events, [this](Duration, const Event& event) { return place(event); });
  front = std::make_unique<Manager>(settings, 1, "", std::move(script));
  network.kill(front_host);
  network.replace(front_host, *front);
  network.run(network.now() + 50ms);
  for (const bool paid : {true, false}) {
    ConnectionId last = 0;
    for (int i = 0; i < 17; ++i)
      send(last = dial(), get(paid ? "/paid/t/r2/0" : "/a/t/r2/0", "s"));
    EXPECT_TRUE(received(last).starts_with(paid ? "HTTP/1.1 502" : "HTTP/1.1 503")) << received(last);
    EXPECT_EQ(received(last).find("Retry-After") == std::string::npos, paid);
  }
}

TEST_F(ManagerTest, AbortStatusTellsTimeoutFromError) {
  decide = [](Duration, const Event& event) -> std::vector<Command> {
    if (const auto* r = std::get_if<Request>(&event))
      return {violettide::SetUp{r->playback, 0, 300ms}};
    if (const auto* e = std::get_if<TryEnded>(&event); e && !e->playback_over)
      return {Abort{e->playback}};
    return {};
  };
  const auto connection = dial();
  send(connection, get("/paid/t/r2/0"));
  network.run(network.now() + 400ms);
  EXPECT_TRUE(received(connection).starts_with("HTTP/1.1 504")) << received(connection);
  const auto second = dial();
  send(second, get("/paid/t/r2/0", "s2"));
  box_sends(box, box_host, box.accepted.back(), "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
  EXPECT_TRUE(received(second).starts_with("HTTP/1.1 502")) << received(second);
}

TEST_F(ManagerTest, ManagerAnswersIfThePolicyDoesNot) {
  decide = [](Duration, const Event& event) -> std::vector<Command> {
    if (const auto* r = std::get_if<Request>(&event))
      return {violettide::SetUp{r->playback, 0, 10s}};
    return {};
  };
  const auto connection = dial();
  const auto requested_at = network.now();
  send(connection, get("/a/t/r2/0"));
  network.run(requested_at + 4s);
  EXPECT_TRUE(received(connection).starts_with("HTTP/1.1 504"))
      << "answered before the abandon time: " << received(connection);
  ASSERT_EQ(events_of<RequestCancelled>().size(), 1u);
  ASSERT_EQ(events_of<TryEnded>().size(), 1u);
  EXPECT_TRUE(events_of<TryEnded>()[0].playback_over);
  EXPECT_TRUE(box.peers[box.accepted[0]].ended);
}

TEST_F(ManagerTest, ClosedViewerCancelsItsTry) {
  const auto connection = dial();
  send(connection, get("/a/t/r2/0"));
  viewer.next.push_back(Close{connection, false});
  run_actions(viewer_host);
  EXPECT_EQ(events_of<RequestCancelled>().size(), 1u);
  ASSERT_EQ(events_of<TryEnded>().size(), 1u);
  EXPECT_EQ(events_of<TryEnded>()[0].outcome, Outcome::cancelled);
  EXPECT_TRUE(box.peers[box.accepted[0]].ended);
  EXPECT_EQ(front->resource_usage().playbacks, 0u);
}

TEST_F(ManagerTest, HalfClosedViewerIsNotCancelled) {
  const auto connection = dial();
  viewer.next.push_back(Send{connection, get("/a/t/r2/0")});
  viewer.next.push_back(Close{connection, true});
  // The scripted peer drops its own end too, so only the request to the box and the absent cancellation show.
  run_actions(viewer_host);
  EXPECT_EQ(events_of<RequestCancelled>().size(), 0u);
  EXPECT_EQ(connections_with_requests(box).size(), 1u);
}

TEST_F(ManagerTest, RequestsOfOneSessionShareOneTry) {
  const auto first = dial(), second = dial(), third = dial();
  send(first, get("/a/t/r2/video"));
  send(second, get("/a/t/r2/audio"));
  send(third, get("/a/t/r2/text"));
  EXPECT_EQ(events_of<Request>().size(), 1u);
  EXPECT_EQ(connections_with_requests(box).size(), 1u) << "one playback, one try in progress";
  // The first viewer closes; the others still wait for the same try.
  viewer.next.push_back(Close{first, false});
  run_actions(viewer_host);
  EXPECT_EQ(events_of<RequestCancelled>().size(), 0u);
  box_sends(box, box_host, box.accepted[0], object("video"));
  ASSERT_EQ(box.accepted.size(), 3u) << "each other object gets its own request";
  for (int i = 1; i < 3; ++i)
    box_sends(box, box_host, box.accepted[i], object("o" + std::to_string(i)));
  EXPECT_TRUE(received(second).ends_with("o1"));
  EXPECT_TRUE(received(third).ends_with("o2"));
  EXPECT_EQ(front->resource_usage().playbacks, 1u);
}

TEST_F(ManagerTest, ConnectionsOverTheLimitAreRefused) {
  std::vector<ConnectionId> connections;
  std::string pipelined;
  const auto connection = dial();
  send(connection, get("/a/t/r2/0"));
  for (int i = 0; i < 7; ++i) {
    connections.push_back(dial());
    send(connections.back(), get("/a/t/r2/0"));
  }
  const auto over = dial();  // the ninth connection is over the limit
  run_actions(viewer_host);
  EXPECT_TRUE(received(over).starts_with("HTTP/1.1 503")) << received(over);
  EXPECT_TRUE(viewer.peers[over].half_closed);
  EXPECT_EQ(front->resource_usage().viewer_connections, 8u);
}

TEST_F(ManagerTest, LaterObjectsFollowTheRungAndTheFloor) {
  const auto connection = dial();
  send(connection, get("/a/t/r2/0"));
  box_sends(box, box_host, box.accepted[0], object("x"));
  received(connection).clear();
  decide = [](Duration, const Event& event) -> std::vector<Command> {
    if (std::holds_alternative<Measurement>(event) || std::holds_alternative<TimerExpired>(event))
      return {};
    return {};
  };
  box.peers[box.accepted[0]].got.clear();
  send(connection, get("/a/t/r0/1"));
  EXPECT_NE(box.peers[box.accepted[0]].got.find("GET /a/t/r1/1 "), std::string::npos)
      << "never below the plan's floor: " << box.peers[box.accepted[0]].got;
  EXPECT_EQ(box.peers[box.accepted[0]].got.find("su"), std::string::npos) << "not marked as a set-up";
  box_sends(box, box_host, box.accepted[0], object("y"));
  EXPECT_TRUE(received(connection).ends_with("y"));
}

TEST_F(ManagerTest, BoxLossBetweenObjectsStartsANewSetUp) {
  const auto connection = dial();
  send(connection, get("/a/t/r2/0"));
  box_sends(box, box_host, box.accepted[0], object("x"));
  network.kill(box_host);
  network.run(network.now() + 5ms);
  events.clear();
  received(connection).clear();
  send(connection, get("/a/t/r2/1"));
  ASSERT_GE(events_of<TryEnded>().size(), 1u);
  EXPECT_TRUE(events_of<TryEnded>()[0].playback_over);
  ASSERT_EQ(events_of<Request>().size(), 1u) << "the request starts a new set-up here";
  box_sends(other_box, 2, connections_with_requests(other_box).back(), object("again"));
  EXPECT_TRUE(received(connection).ends_with("again"));
}

TEST_F(ManagerTest, PaidPlaybackIsNotSetUpAgainAfterBoxLoss) {
  const auto connection = dial();
  send(connection, get("/paid/t/r2/0"));
  box_sends(box, box_host, box.accepted[0], object("x"));
  network.kill(box_host);
  network.run(network.now() + 5ms);
  events.clear();
  received(connection).clear();
  send(connection, get("/paid/t/r2/1"));
  EXPECT_EQ(events_of<Request>().size(), 0u);
  EXPECT_TRUE(received(connection).starts_with("HTTP/1.1 502")) << received(connection);
}

TEST_F(ManagerTest, TruncatedObjectResetsTheViewer) {
  const auto connection = dial();
  send(connection, get("/a/t/r2/0"));
  box_sends(box, box_host, box.accepted[0], "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf of it");
  EXPECT_TRUE(received(connection).ends_with("half of it"));
  network.kill(box_host);
  network.run(network.now() + 5ms);
  EXPECT_TRUE(viewer.peers[connection].ended);
  ASSERT_EQ(events_of<TryEnded>().size(), 1u);
  EXPECT_EQ(events_of<TryEnded>()[0].outcome, Outcome::reset);
  EXPECT_EQ(front->resource_usage().playbacks, 0u);
}

TEST_F(ManagerTest, FailedReusedConnectionIsRetriedOnce) {
  const auto connection = dial();
  send(connection, get("/a/t/r2/0"));
  const auto kept = box.accepted[0];
  box_sends(box, box_host, kept, object("x"));
  events.clear();
  received(connection).clear();
  // The box closes the connection while the next request is on its way.
  box.on_bytes = [&](ScriptedPeer&, ConnectionId at, std::vector<Action>& actions) {
    if (at == kept)
      actions.push_back(Close{at, false});
  };
  send(connection, get("/a/t/r2/1"));
  ASSERT_EQ(box.accepted.size(), 2u);
  EXPECT_EQ(events_of<TryEnded>().size(), 0u) << "not a failure of the box";
  box_sends(box, box_host, box.accepted[1], object("y"));
  EXPECT_TRUE(received(connection).ends_with("y"));
}

TEST_F(ManagerTest, UnknownPlaybackAtTheBoxIsSetUpAgain) {
  const auto connection = dial();
  send(connection, get("/a/t/r2/0"));
  box_sends(box, box_host, box.accepted[0], object("x"));
  events.clear();
  received(connection).clear();
  send(connection, get("/a/t/r2/1"));
  box_sends(box, box_host, box.accepted[0], "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
  ASSERT_EQ(events_of<TryEnded>().size(), 1u);
  EXPECT_EQ(events_of<TryEnded>()[0].outcome, Outcome::error) << "no failure of the box";
  ASSERT_EQ(events_of<Request>().size(), 1u);
  box_sends(box, box_host, box.accepted.back(), object("again"));
  EXPECT_TRUE(received(connection).ends_with("again")) << received(connection);
}

TEST_F(ManagerTest, IdlePlaybackEndsAfterItsBuffer) {
  const auto connection = dial();
  send(connection, get("/a/t/r2/0"));
  box_sends(box, box_host, box.accepted[0], object("x"));
  send(connection,
       "GET /a/t/r2/1 HTTP/1.1\r\nHost: x\r\nCMCD-Session: sid=\"s1\"\r\nCMCD-Request: bl=6000\r\n\r\n");
  box_sends(box, box_host, box.accepted[0], object("y"));
  network.run(network.now() + 5s);
  EXPECT_EQ(front->resource_usage().playbacks, 1u) << "its buffer holds six seconds";
  network.run(network.now() + 4s);
  EXPECT_EQ(front->resource_usage().playbacks, 0u);
  ASSERT_EQ(events_of<TryEnded>().size(), 1u);
  EXPECT_EQ(events_of<TryEnded>()[0].outcome, Outcome::served);
}

TEST_F(ManagerTest, ConnectionIdentifiesPlaybackWithoutSessionId) {
  const auto connection = dial();
  send(connection, "GET /a/t/r2/0 HTTP/1.1\r\nHost: x\r\nCMCD-Session: sid=broken\r\n\r\n");
  box_sends(box, box_host, box.accepted[0], object("x"));
  send(connection, "GET /a/t/r2/1 HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(events_of<Request>().size(), 1u);
  box_sends(box, box_host, box.accepted[0], object("y"));
  viewer.next.push_back(Close{connection, false});
  run_actions(viewer_host);
  EXPECT_EQ(front->resource_usage().playbacks, 0u) << "the playback ends with its connection";
  EXPECT_EQ(events_of<TryEnded>().size(), 1u);
}

TEST_F(ManagerTest, SlowViewerPausesItsBoxWithBoundedMemory) {
  const auto connection = dial();
  viewer.next.push_back(PauseReading{connection});
  run_actions(viewer_host);
  send(connection, get("/a/t/r2/0"));
  const std::string block(64 * 1024, 'v');
  box_sends(box, box_host, box.accepted[0], "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n");
  for (int i = 0; i < 64; ++i)
    box_sends(box, box_host, box.accepted[0], block);
  EXPECT_LE(network.unread_bytes(viewer_host), settings.max_unsent_bytes + 2 * block.size());
  EXPECT_EQ(events_of<TryEnded>().size(), 0u) << "no failure of the box";
  network.run(network.now() + 20s);
  EXPECT_EQ(front->resource_usage().viewer_connections, 0u) << "closed after the stall timeout";
}

TEST_F(ManagerTest, InputDuringAStallIsReadBeforeTimeouts) {
  const auto connection = dial();
  send(connection, get("/a/t/r2/0"));
  network.suspend(front_host, network.now() + 3s);
  box_sends(box, box_host, box.accepted[0], object("in time"));
  network.run(network.now() + 3100ms);
  EXPECT_TRUE(received(connection).ends_with("in time")) << received(connection);
  EXPECT_EQ(events_of<TryEnded>().size(), 0u);
}

TEST_F(ManagerTest, ReplacedBoxGetsNewConnections) {
  const auto connection = dial();
  send(connection, get("/a/t/r2/0"));
  box_sends(box, box_host, box.accepted[0], object("x"));
  boxes_json.replace(boxes_json.find("\"revision\":1"), 12, "\"revision\":2");
  boxes_json.replace(boxes_json.find("\"port\":1001"), 11, "\"port\":2001");
  network.run(network.now() + 1s);
  EXPECT_TRUE(box.peers[box.accepted[0]].ended) << "connections to the old address are closed";
  const auto lists = events_of<ServerList>();
  ASSERT_FALSE(lists.empty());
  EXPECT_EQ(lists.back().entries[0].server, 0u) << "the same box keeps its index";
}

TEST_F(ManagerTest, MalformedRequestsGetErrorStatuses) {
  const std::pair<std::string, std::string> cases[] = {
      {"GET /nowhere HTTP/1.1\r\n\r\n", "404"},
      {"GET /b/t/r1/0 HTTP/1.1\r\n\r\n", "404"},
      {"GET /a/t/rx/0 HTTP/1.1\r\n\r\n", "404"},
      {"GET /a/../r1/0 HTTP/1.1\r\n\r\n", "404"},
      {"GET /a/%2e%2e/r1/0 HTTP/1.1\r\n\r\n", "404"},
      {"GET /a/t%2Fu/r1/0 HTTP/1.1\r\n\r\n", "404"},
      {"GET /a/t%zz/r1/0 HTTP/1.1\r\n\r\n", "404"},
      {"POST /a/t/r1/0 HTTP/1.1\r\nContent-Length: 0\r\n\r\n", "405"},
      {"HEAD /a/t/r1/0 HTTP/1.1\r\n\r\n", "405"},
      {"nonsense\r\n\r\n", "400"}};
  for (const auto& [text, status] : cases) {
    const auto connection = dial();
    send(connection, text);
    EXPECT_TRUE(received(connection).starts_with("HTTP/1.1 " + status)) << text << received(connection);
    viewer.next.push_back(Close{connection, false});
    run_actions(viewer_host);
  }
  EXPECT_EQ(events_of<Request>().size(), 0u);
  EXPECT_EQ(front->resource_usage().viewer_connections, 0u);
}

TEST_F(ManagerTest, PipelinedRequestsAreAnsweredInOrder) {
  const auto connection = dial();
  send(connection, get("/a/t/r2/0") + get("/nowhere") + get("/a/t/r2/1"));
  EXPECT_EQ(connections_with_requests(box).size(), 1u);
  box_sends(box, box_host, box.accepted[0], object("first"));
  const auto text = received(connection);
  EXPECT_NE(text.find("first"), std::string::npos);
  EXPECT_GT(text.find("HTTP/1.1 404"), text.find("first"));
  box_sends(box, box_host, box.accepted[0], object("second"));
  EXPECT_TRUE(received(connection).ends_with("second"));
}

TEST_F(ManagerTest, GracefulShutdownFinishesOpenRequests) {
  const auto waiting = dial(), playing = dial(), idle = dial();
  send(playing, get("/a/t/r2/0", "p"));
  box_sends(box, box_host, box.accepted[0], "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab");
  send(waiting, get("/a/t/r2/0", "w"));
  network.request_shutdown(front_host);
  network.run(network.now() + 5ms);
  EXPECT_TRUE(viewer.peers[idle].half_closed);
  EXPECT_FALSE(network.stopped(front_host));
  box_sends(box, box_host, box.accepted[0], "cd");
  EXPECT_TRUE(received(playing).ends_with("abcd"));
  box_sends(box, box_host, box.accepted[1], object("x"));
  EXPECT_TRUE(received(waiting).starts_with("HTTP/1.1 200")) << received(waiting);
  network.run(network.now() + 50ms);
  EXPECT_TRUE(network.stopped(front_host));
}

TEST_F(ManagerTest, SetUpForARemovedPlaybackIsNotSent) {
  decide = [](Duration, const Event& event) -> std::vector<Command> {
    if (std::holds_alternative<RequestCancelled>(event))
      return {violettide::SetUp{0, 0, 500ms}};
    return {};
  };
  const auto connection = dial();
  send(connection, get("/paid/t/r0/0"));
  viewer.next.push_back(Close{connection, false});
  run_actions(viewer_host);
  ASSERT_EQ(events_of<TryEnded>().size(), 1u);
  EXPECT_EQ(events_of<TryEnded>()[0].outcome, Outcome::not_sent);
  EXPECT_TRUE(events_of<TryEnded>()[0].playback_over);
  EXPECT_TRUE(connections_with_requests(box).empty());
}

// Guards against a second paid set-up: a 503 lets the viewer go elsewhere, so none is sent while a paid try
// may have run.
TEST_F(ManagerTest, ShutdownRejectsNoPaidSetUpInProgress) {
  const auto first = dial(), again = dial(), other = dial();
  send(first, get("/paid/t/r0/0", "p"));
  network.request_shutdown(front_host);
  network.run(network.now() + 5ms);
  send(again, get("/paid/t/r0/0", "p"));
  send(other, get("/a/t/r0/0", "q"));
  EXPECT_EQ(received(again), "") << "waits for the set-up in progress";
  box_sends(box, box_host, connections_with_requests(box)[0], object("x"));
  EXPECT_TRUE(received(first).starts_with("HTTP/1.1 200")) << received(first);
}

TEST_F(ManagerTest, ShutdownAnswersWaitingViewersAtItsTimeout) {
  decide = [](Duration, const Event& event) -> std::vector<Command> {
    const auto* request = std::get_if<Request>(&event);
    if (!request || request->plan == 0)
      return {};
    return {violettide::SetUp{request->playback, 0, 60s}};
  };
  settings.plans[0].abandon_time = settings.plans[1].abandon_time = 60s;
  settings.shutdown_timeout = 1s;
  auto script = std::make_unique<ScriptedDecider>(
      &events, [this](Duration now, const Event& event) { return decide(now, event); });
  front = std::make_unique<Manager>(settings, 1, "", std::move(script));
  network.kill(front_host);
  network.replace(front_host, *front);
  network.run(network.now() + 50ms);
  const auto paid = dial(), free = dial();
  send(paid, get("/paid/t/r0/0", "p"));
  send(free, get("/a/t/r0/0", "q"));
  network.request_shutdown(front_host);
  network.run(network.now() + 2s);
  EXPECT_TRUE(network.stopped(front_host));
  EXPECT_TRUE(received(paid).starts_with("HTTP/1.1 504")) << "its try is in progress: " << received(paid);
  EXPECT_TRUE(received(free).starts_with("HTTP/1.1 503")) << received(free);
}

TEST_F(ManagerTest, NoResourcesLeakAfterManyFailures) {
  for (int i = 0; i < 40; ++i) {
    const auto connection = dial();
    send(connection, get("/a/t" + std::to_string(i % 5) + "/r2/0", "s" + std::to_string(i)));
    const auto connections = connections_with_requests(box);
    if (i % 3 == 0 && !connections.empty())
      box_sends(box, box_host, connections.back(), object("x"));
    if (i % 2 == 0)
      viewer.next.push_back(Close{connection, i % 4 == 0}), run_actions(viewer_host);
    if (i % 7 == 0)
      network.run(network.now() + 1s);
    for (auto& [l, peer] : box.peers)
      peer.got.clear();
  }
  for (ConnectionId connection = 1; connection < next_connection; ++connection)
    viewer.next.push_back(Close{connection, false});
  run_actions(viewer_host);
  network.run(network.now() + 30s);
  EXPECT_EQ(front->resource_usage().playbacks, 0u);
  EXPECT_EQ(front->resource_usage().viewer_connections, 0u);
  EXPECT_LE(front->resource_usage().timers, 3u) << "only those of the box list and the weighing";
}

// Guards against synchronized polling: counts the polls in the fullest 20 ms slot when forty managers of a
// hall start at the same time with a stored box list, and compares that with an even spread.
TEST(ManagerPolling, ManagersThatStartTogetherSpreadTheirPolls) {
  Network network;
  ScriptedPeer list;
  constexpr int fronts = 40;
  ManagerSettings settings;
  settings.plans = {{"a", 4s}};
  settings.policy.plans.resize(1);
  settings.policy.rung_kb = {10};
  settings.halls = {"h"};
  settings.box_list_port = Network::port(fronts);
  std::vector<std::unique_ptr<Manager>> managers;
  for (std::uint64_t seed = 1; seed <= fronts; ++seed) {
    managers.push_back(std::make_unique<Manager>(settings, seed, testing::two_boxes_json, nullptr));
    network.add(*managers.back(), 1);
  }
  std::map<int, int> slices;
  int polls = 0;
  list.on_bytes = [&](ScriptedPeer&, ConnectionId connection, std::vector<Action>& actions) {
    ++polls, ++slices[static_cast<int>(network.now() / 20ms)];
    actions.push_back(
        Send{connection, http::serialize_response_head(200, {}, testing::two_boxes_json.size(), false) +
                             testing::two_boxes_json});
    actions.push_back(Close{connection, true});
  };
  network.add(list, 1);
  network.run(10s);
  int fullest = 0;
  for (const auto& [slice, count] : slices)
    fullest = std::max(fullest, count);
  EXPECT_GT(polls, fronts * 15);
  EXPECT_LE(fullest, 8) << "an even spread has " << polls / 500.0;
}

}  // namespace
}  // namespace violettide::manager
