// The manager's core against a scripted module and peers moved by hand: every mishap of real sockets.
#include "manager/manager.h"

#include <gtest/gtest.h>

#include "hints/cmsd.h"
#include "net.h"
#include "scripted.h"

namespace violettide::manager {
namespace {

using namespace std::chrono_literals;
using testing::Network;
using testing::Script;
using testing::ScriptedPeer;

class Mishaps : public ::testing::Test {
 protected:
  static constexpr int front_host = 0, box_host = 1, list_host = 3, viewer_host = 4;

  void SetUp() override {
    terms.name = "m";
    terms.site.rung_kb = {10, 20, 40};
    terms.site.rung_revenue = {0.5, 0.8, 1};
    terms.site.plans.resize(2);
    for (auto& plan : terms.site.plans)
      plan.startup_target = 800ms, plan.top = 2;
    terms.site.plans[0].floor = 1;
    terms.site.plans[1].pay_at_setup = true;
    terms.plans = {{"a", 4s}, {"paid", 4s}};
    terms.halls = {"h"};
    terms.site.cells = 2;
    terms.list_port = Network::port(list_host);
    terms.silence = 3s;
    terms.viewer_links = 8;
    auto script = std::make_unique<Script>(&told, [this](Duration now, const Event& event) {
      return decide ? decide(now, event) : place(event);
    });
    front = std::make_unique<Manager>(terms, 1, "", std::move(script));
    net.add(*front, 1);
    net.add(box, 1);
    net.add(other_box, 1);
    net.add(list, 1);
    net.add(viewer, 0);
    list.on_bytes = [this](ScriptedPeer&, ConnectionId link, std::vector<Action>& actions) {
      actions.push_back(
          Send{link, http::serialize_response_head(200, {}, boxes_json.size(), false) + boxes_json});
      actions.push_back(Close{link, true});
    };
    net.run(100ms);
    told.clear();
  }

  // The script that a module would follow on a good day: box 0, then box 1, then a rejection.
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
    const ConnectionId link = next_link++;
    viewer.next.push_back(Dial{link, "", Network::port(front_host)});
    act(viewer_host);
    return link;
  }
  void act(int host) {  // lets a puppet do what it has been told
    net.wake(host);
    net.run(net.now() + 2ms);
  }
  void send(ConnectionId link, const std::string& text) {
    viewer.next.push_back(Send{link, text});
    act(viewer_host);
  }
  static std::string get(const std::string& path, const std::string& sid = "s1") {
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\nCMCD-Session: sid=\"" + sid + "\"\r\n\r\n";
  }
  void box_sends(ScriptedPeer& from, int host, ConnectionId link, const std::string& text) {
    from.next.push_back(Send{link, text});
    act(host);
  }
  static std::string object(const std::string& body, const std::string& more = "") {
    return "HTTP/1.1 200 OK\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }
  std::string& got(ConnectionId link) { return viewer.peers[link].got; }
  template <typename Kind>
  std::vector<Kind> told_of() const {
    return testing::of_kind<Kind>(told);
  }
  // The connections that were set up with the box so far that carried a request.
  static std::vector<ConnectionId> asked(ScriptedPeer& puppet) {
    std::vector<ConnectionId> links;
    for (const auto link : puppet.accepted) {
      if (puppet.peers[link].got.starts_with("GET"))
        links.push_back(link);
    }
    return links;
  }

  Network net;
  ScriptedPeer box, other_box, list, viewer;
  FrontTerms terms;
  std::unique_ptr<Manager> front;
  std::vector<Event> told;
  std::map<PlaybackId, int> tries;
  std::function<std::vector<Command>(Duration, const Event&)> decide;
  ConnectionId next_link = 1;
  std::string boxes_json = testing::two_boxes;
};

TEST_F(Mishaps, AWholePathWithHintsOfBoth) {
  const auto link = dial();
  send(link,
       "GET /a/t/r2/0.m4s?CMCD=sid%3D%22q%22%2Ctb%3D170 HTTP/1.1\r\nHost: x\r\ntraceparent: "
       "00-ab-cd-01\r\n\r\n");
  ASSERT_EQ(asked(box).size(), 1u);
  const auto at_box = box.peers[box.accepted[0]].got;
  EXPECT_NE(at_box.find("GET /a/t/r1/0.m4s HTTP/1.1\r\n"), std::string::npos)
      << "the rung in force, not the one asked";
  EXPECT_NE(at_box.find("sid=\"q\""), std::string::npos);
  EXPECT_NE(at_box.find("su"), std::string::npos);
  EXPECT_NE(at_box.find("traceparent: 00-ab-cd-01"), std::string::npos);
  EXPECT_EQ(told_of<Request>()[0].top, 1) << "its top bitrate fits rung 1";
  box_sends(box, box_host, box.accepted[0],
            object("hello",
                   "CMSD-Static: br=160\r\nCMSD-Dynamic: \"b0\";org.violettide-util=0.4\r\nConnection: "
                   "keep-alive, X-Hop\r\nX-Hop: 1\r\nETag: \"e\"\r\n"));
  const auto& answer = got(link);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 OK\r\n")) << answer;
  EXPECT_NE(answer.find("CMSD-Static: br=160"), std::string::npos);
  EXPECT_NE(answer.find("CMSD-Dynamic: \"b0\";org.violettide-util=0.4, \"m\";mb=160"), std::string::npos)
      << answer;
  EXPECT_NE(answer.find("ETag"), std::string::npos);
  EXPECT_EQ(answer.find("X-Hop"), std::string::npos) << "fields of one hop end there";
  EXPECT_TRUE(answer.ends_with("\r\n\r\nhello"));
  ASSERT_EQ(told_of<PlaybackStarted>().size(), 1u);
  EXPECT_TRUE(std::any_of(told.begin(), told.end(), [](const Event& e) {
    const auto* note = std::get_if<Measurement>(&e);
    return note && note->kind == Measurement::Kind::link_fill && note->value == 0.4;
  }));
}

TEST_F(Mishaps, ATryEndsForEachCauseAndTheNextIsSent) {
  const std::pair<std::string, Outcome> answers[] = {
      {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", Outcome::full},
      {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", Outcome::error},
      {"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", Outcome::error},
      {"not HTTP at all\r\n\r\n", Outcome::error}};
  int n = 0;
  for (const auto& [text, outcome] : answers) {
    told.clear();
    const auto link = dial();
    send(link, get("/a/t/r2/0", "s" + std::to_string(++n)));
    // A connection that the box left open after an answer of its own is used again.
    ConnectionId at_box = 0;
    for (const auto accepted : box.accepted) {
      if (!box.peers[accepted].got.empty() && !box.peers[accepted].ended)
        at_box = accepted;
    }
    box_sends(box, box_host, at_box, text);
    ASSERT_EQ(told_of<TryEnded>().size(), 1u) << text;
    EXPECT_EQ(told_of<TryEnded>()[0].outcome, outcome);
    const auto second = asked(other_box).back();
    box_sends(other_box, 2, second, object("x"));
    EXPECT_TRUE(got(link).starts_with("HTTP/1.1 200")) << got(link);
    other_box.peers[second].got.clear();
    box.peers[at_box].got.clear();
  }
}

TEST_F(Mishaps, RefusedConnectionsProveThatNothingRan) {
  net.kill(box_host);
  const auto link = dial();
  send(link, get("/paid/t/r2/0"));
  ASSERT_EQ(told_of<TryEnded>().size(), 1u);
  EXPECT_EQ(told_of<TryEnded>()[0].outcome, Outcome::no_connection);
  box_sends(other_box, 2, asked(other_box).back(), object("x"));
  EXPECT_TRUE(got(link).starts_with("HTTP/1.1 200"));
}

TEST_F(Mishaps, ASilentBoxIsLateAndItsLateAnswerCountsForNothing) {
  const auto link = dial();
  send(link, get("/a/t/r2/0"));
  const auto at_box = box.accepted[0];
  net.run(net.now() + 600ms);
  ASSERT_EQ(told_of<TryEnded>().size(), 1u);
  EXPECT_EQ(told_of<TryEnded>()[0].outcome, Outcome::late);
  EXPECT_TRUE(box.peers[at_box].ended) << "the try was taken back";
  box_sends(box, box_host, at_box, object("late"));
  EXPECT_EQ(got(link), "");
  box_sends(other_box, 2, asked(other_box)[0], object("x"));
  EXPECT_TRUE(got(link).ends_with("x"));
  EXPECT_EQ(told_of<PlaybackStarted>().size(), 1u);
}

TEST_F(Mishaps, ABoxThatAnswersTwiceAnswersOnce) {
  const auto link = dial();
  send(link, get("/a/t/r2/0"));
  box_sends(box, box_host, box.accepted[0], object("one") + object("two"));
  EXPECT_TRUE(got(link).ends_with("one"));
  EXPECT_EQ(got(link).find("two"), std::string::npos);
  EXPECT_TRUE(box.peers[box.accepted[0]].ended) << "such a connection is not used again";
  const auto second = dial();
  send(second, get("/a/u/r2/0", "s2"));
  ASSERT_EQ(box.accepted.size(), 2u);
  box_sends(box, box_host, box.accepted[1], object("fine"));
  box_sends(box, box_host, box.accepted[1], object("unasked"));  // while it waits for use
  EXPECT_TRUE(box.peers[box.accepted[1]].ended);
  EXPECT_TRUE(got(second).ends_with("fine"));
}

TEST_F(Mishaps, ARejectionCarriesItsComeBackTime) {
  decide = [](Duration, const Event& event) -> std::vector<Command> {
    if (const auto* r = std::get_if<Request>(&event))
      return {Reject{r->playback, 1200ms}};
    return {};
  };
  const auto link = dial();
  send(link, get("/a/t/r2/0"));
  EXPECT_TRUE(got(link).starts_with("HTTP/1.1 503")) << got(link);
  EXPECT_NE(got(link).find("Retry-After: 2\r\n"), std::string::npos);
  EXPECT_EQ(front->held().playbacks, 0u);
}

TEST_F(Mishaps, ACrowdTurnedAwayTogetherIsNotToldOneTime) {
  decide = [](Duration, const Event& event) -> std::vector<Command> {
    if (const auto* request = std::get_if<Request>(&event))
      return {Reject{request->playback, 4s}};
    return {};
  };
  std::set<std::string> told_times;
  for (int i = 0; i < 30; ++i) {
    const auto link = dial();
    send(link, get("/a/t/r2/0", "s" + std::to_string(i)));
    const auto at = got(link).find("Retry-After: ");
    ASSERT_NE(at, std::string::npos) << got(link);
    told_times.insert(got(link).substr(at + 13, 1));
    viewer.next.push_back(Close{link, false}), act(viewer_host);
  }
  EXPECT_GE(told_times.size(), 2u) << "four seconds, a quarter off either way, in whole seconds";
}

// A kept connection may die with the request in it, and nobody knows whether it ran.
TEST_F(Mishaps, APaidSetUpGetsAConnectionOfItsOwn) {
  const auto first = dial(), paid = dial(), free = dial();
  send(first, get("/a/t/r2/0", "s"));
  box_sends(box, box_host, box.accepted[0], object("x"));
  EXPECT_TRUE(got(first).ends_with("x"));
  EXPECT_EQ(box.accepted.size(), 1u);
  send(paid, get("/paid/t/r2/0", "p"));
  EXPECT_EQ(box.accepted.size(), 2u) << "one is kept, and not used for it";
  send(free, get("/a/t/r2/0", "q"));
  EXPECT_EQ(box.accepted.size(), 2u) << "any other uses it";
}

TEST_F(Mishaps, ABoxThatCannotBeReachedIsNotWaitedForLongerThanItsLimit) {
  net.latency = 200ms;  // the way there and back is longer than the limit
  const auto link = dial();
  net.run(net.now() + 1s);
  send(link, get("/a/t/r2/0"));
  net.run(net.now() + 900ms);
  const auto ended = told_of<TryEnded>();
  ASSERT_GE(ended.size(), 1u);
  EXPECT_EQ(ended[0].outcome, Outcome::no_connection);
  EXPECT_TRUE(asked(box).empty()) << "nothing ran";
}

TEST_F(Mishaps, OneTooManyThatWaitsForAPaidTryIsNotToldToGoElsewhere) {
  terms.viewer_links = 40;
  auto script =
      std::make_unique<Script>(&told, [this](Duration, const Event& event) { return place(event); });
  front = std::make_unique<Manager>(terms, 1, "", std::move(script));
  net.kill(front_host);
  net.replace(front_host, *front);
  net.run(net.now() + 50ms);
  for (const bool paid : {true, false}) {
    ConnectionId last = 0;
    for (int i = 0; i < 17; ++i)
      send(last = dial(), get(paid ? "/paid/t/r2/0" : "/a/t/r2/0", "s"));
    EXPECT_TRUE(got(last).starts_with(paid ? "HTTP/1.1 502" : "HTTP/1.1 503")) << got(last);
    EXPECT_EQ(got(last).find("Retry-After") == std::string::npos, paid);
  }
}

TEST_F(Mishaps, AnAbortSaysWhetherTimeRanOut) {
  decide = [](Duration, const Event& event) -> std::vector<Command> {
    if (const auto* r = std::get_if<Request>(&event))
      return {violettide::SetUp{r->playback, 0, 300ms}};
    if (const auto* e = std::get_if<TryEnded>(&event); e && !e->playback_over)
      return {Abort{e->playback}};
    return {};
  };
  const auto link = dial();
  send(link, get("/paid/t/r2/0"));
  net.run(net.now() + 400ms);
  EXPECT_TRUE(got(link).starts_with("HTTP/1.1 504")) << got(link);
  const auto second = dial();
  send(second, get("/paid/t/r2/0", "s2"));
  box_sends(box, box_host, box.accepted.back(), "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
  EXPECT_TRUE(got(second).starts_with("HTTP/1.1 502")) << got(second);
}

TEST_F(Mishaps, AModuleThatForgetsARequestIsAnsweredFor) {
  decide = [](Duration, const Event& event) -> std::vector<Command> {
    if (const auto* r = std::get_if<Request>(&event))
      return {violettide::SetUp{r->playback, 0, 10s}};
    return {};
  };
  const auto link = dial();
  const auto asked_at = net.now();
  send(link, get("/a/t/r2/0"));
  net.run(asked_at + 4s);
  EXPECT_TRUE(got(link).starts_with("HTTP/1.1 504"))
      << "answered before the viewer's time was up: " << got(link);
  ASSERT_EQ(told_of<RequestCancelled>().size(), 1u);
  ASSERT_EQ(told_of<TryEnded>().size(), 1u);
  EXPECT_TRUE(told_of<TryEnded>()[0].playback_over);
  EXPECT_TRUE(box.peers[box.accepted[0]].ended);
}

TEST_F(Mishaps, AViewerGoneInMidSetUpTakesItsTryBack) {
  const auto link = dial();
  send(link, get("/a/t/r2/0"));
  viewer.next.push_back(Close{link, false});
  act(viewer_host);
  EXPECT_EQ(told_of<RequestCancelled>().size(), 1u);
  ASSERT_EQ(told_of<TryEnded>().size(), 1u);
  EXPECT_EQ(told_of<TryEnded>()[0].outcome, Outcome::cancelled);
  EXPECT_TRUE(box.peers[box.accepted[0]].ended);
  EXPECT_EQ(front->held().playbacks, 0u);
}

TEST_F(Mishaps, AViewerThatOnlyWritesNoMoreIsNotWithdrawn) {
  const auto link = dial();
  viewer.next.push_back(Send{link, get("/a/t/r2/0")});
  viewer.next.push_back(Close{link, true});
  // The puppet's end is gone with it: what can be seen is that nothing is withdrawn and the box is asked.
  act(viewer_host);
  EXPECT_EQ(told_of<RequestCancelled>().size(), 0u);
  EXPECT_EQ(asked(box).size(), 1u);
}

TEST_F(Mishaps, RequestsOfOneSessionShareOneTry) {
  const auto first = dial(), second = dial(), third = dial();
  send(first, get("/a/t/r2/video"));
  send(second, get("/a/t/r2/audio"));
  send(third, get("/a/t/r2/text"));
  EXPECT_EQ(told_of<Request>().size(), 1u);
  EXPECT_EQ(asked(box).size(), 1u) << "one playback, one try out";
  // The first viewer goes; the others still wait for the same try.
  viewer.next.push_back(Close{first, false});
  act(viewer_host);
  EXPECT_EQ(told_of<RequestCancelled>().size(), 0u);
  box_sends(box, box_host, box.accepted[0], object("video"));
  ASSERT_EQ(box.accepted.size(), 3u) << "each other object has a request of its own";
  for (int i = 1; i < 3; ++i)
    box_sends(box, box_host, box.accepted[i], object("o" + std::to_string(i)));
  EXPECT_TRUE(got(second).ends_with("o1"));
  EXPECT_TRUE(got(third).ends_with("o2"));
  EXPECT_EQ(front->held().playbacks, 1u);
}

TEST_F(Mishaps, TooManyWaitersForOneSetUpAreTurnedAway) {
  std::vector<ConnectionId> links;
  std::string pipelined;
  const auto link = dial();
  send(link, get("/a/t/r2/0"));
  for (int i = 0; i < 7; ++i) {
    links.push_back(dial());
    send(links.back(), get("/a/t/r2/0"));
  }
  const auto over = dial();  // the ninth connection: more than this front takes
  act(viewer_host);
  EXPECT_TRUE(got(over).starts_with("HTTP/1.1 503")) << got(over);
  EXPECT_TRUE(viewer.peers[over].half_closed);
  EXPECT_EQ(front->held().viewer_links, 8u);
}

TEST_F(Mishaps, LaterObjectsFollowTheRungAndTheFloor) {
  const auto link = dial();
  send(link, get("/a/t/r2/0"));
  box_sends(box, box_host, box.accepted[0], object("x"));
  got(link).clear();
  decide = [](Duration, const Event& event) -> std::vector<Command> {
    if (std::holds_alternative<Measurement>(event) || std::holds_alternative<TimerExpired>(event))
      return {};
    return {};
  };
  box.peers[box.accepted[0]].got.clear();
  send(link, get("/a/t/r0/1"));
  EXPECT_NE(box.peers[box.accepted[0]].got.find("GET /a/t/r1/1 "), std::string::npos)
      << "never under the plan's floor: " << box.peers[box.accepted[0]].got;
  EXPECT_EQ(box.peers[box.accepted[0]].got.find("su"), std::string::npos) << "no set-up";
  box_sends(box, box_host, box.accepted[0], object("y"));
  EXPECT_TRUE(got(link).ends_with("y"));
}

TEST_F(Mishaps, ABoxLostBetweenObjectsIsANewRequest) {
  const auto link = dial();
  send(link, get("/a/t/r2/0"));
  box_sends(box, box_host, box.accepted[0], object("x"));
  net.kill(box_host);
  net.run(net.now() + 5ms);
  told.clear();
  got(link).clear();
  send(link, get("/a/t/r2/1"));
  ASSERT_GE(told_of<TryEnded>().size(), 1u);
  EXPECT_TRUE(told_of<TryEnded>()[0].playback_over);
  ASSERT_EQ(told_of<Request>().size(), 1u) << "the viewer asks anew, here";
  box_sends(other_box, 2, asked(other_box).back(), object("again"));
  EXPECT_TRUE(got(link).ends_with("again"));
}

TEST_F(Mishaps, APaidPlaybackWhoseBoxIsLostIsNotSetUpAgain) {
  const auto link = dial();
  send(link, get("/paid/t/r2/0"));
  box_sends(box, box_host, box.accepted[0], object("x"));
  net.kill(box_host);
  net.run(net.now() + 5ms);
  told.clear();
  got(link).clear();
  send(link, get("/paid/t/r2/1"));
  EXPECT_EQ(told_of<Request>().size(), 0u);
  EXPECT_TRUE(got(link).starts_with("HTTP/1.1 502")) << got(link);
}

TEST_F(Mishaps, AnObjectCutShortLooksCutShort) {
  const auto link = dial();
  send(link, get("/a/t/r2/0"));
  box_sends(box, box_host, box.accepted[0], "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf of it");
  EXPECT_TRUE(got(link).ends_with("half of it"));
  net.kill(box_host);
  net.run(net.now() + 5ms);
  EXPECT_TRUE(viewer.peers[link].ended);
  ASSERT_EQ(told_of<TryEnded>().size(), 1u);
  EXPECT_EQ(told_of<TryEnded>()[0].outcome, Outcome::reset);
  EXPECT_EQ(front->held().playbacks, 0u);
}

TEST_F(Mishaps, AKeptConnectionThatDiedIsTriedOnceMore) {
  const auto link = dial();
  send(link, get("/a/t/r2/0"));
  const auto kept = box.accepted[0];
  box_sends(box, box_host, kept, object("x"));
  told.clear();
  got(link).clear();
  // The box closes it just as the next request is on its way.
  box.on_bytes = [&](ScriptedPeer&, ConnectionId at, std::vector<Action>& actions) {
    if (at == kept)
      actions.push_back(Close{at, false});
  };
  send(link, get("/a/t/r2/1"));
  ASSERT_EQ(box.accepted.size(), 2u);
  EXPECT_EQ(told_of<TryEnded>().size(), 0u) << "it proves nothing against the box";
  box_sends(box, box_host, box.accepted[1], object("y"));
  EXPECT_TRUE(got(link).ends_with("y"));
}

TEST_F(Mishaps, ABoxThatForgotThePlaybackIsAskedAnew) {
  const auto link = dial();
  send(link, get("/a/t/r2/0"));
  box_sends(box, box_host, box.accepted[0], object("x"));
  told.clear();
  got(link).clear();
  send(link, get("/a/t/r2/1"));
  box_sends(box, box_host, box.accepted[0], "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
  ASSERT_EQ(told_of<TryEnded>().size(), 1u);
  EXPECT_EQ(told_of<TryEnded>()[0].outcome, Outcome::error) << "no failure of the box";
  ASSERT_EQ(told_of<Request>().size(), 1u);
  box_sends(box, box_host, box.accepted.back(), object("again"));
  EXPECT_TRUE(got(link).ends_with("again")) << got(link);
}

TEST_F(Mishaps, SilenceEndsAPlaybackAndBufferedTimeCounts) {
  const auto link = dial();
  send(link, get("/a/t/r2/0"));
  box_sends(box, box_host, box.accepted[0], object("x"));
  send(link,
       "GET /a/t/r2/1 HTTP/1.1\r\nHost: x\r\nCMCD-Session: sid=\"s1\"\r\nCMCD-Request: bl=6000\r\n\r\n");
  box_sends(box, box_host, box.accepted[0], object("y"));
  net.run(net.now() + 5s);
  EXPECT_EQ(front->held().playbacks, 1u) << "six seconds are in its buffer";
  net.run(net.now() + 4s);
  EXPECT_EQ(front->held().playbacks, 0u);
  ASSERT_EQ(told_of<TryEnded>().size(), 1u);
  EXPECT_EQ(told_of<TryEnded>()[0].outcome, Outcome::served);
}

TEST_F(Mishaps, WithoutASessionIdTheConnectionIsThePlayback) {
  const auto link = dial();
  send(link, "GET /a/t/r2/0 HTTP/1.1\r\nHost: x\r\nCMCD-Session: sid=broken\r\n\r\n");
  box_sends(box, box_host, box.accepted[0], object("x"));
  send(link, "GET /a/t/r2/1 HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(told_of<Request>().size(), 1u);
  box_sends(box, box_host, box.accepted[0], object("y"));
  viewer.next.push_back(Close{link, false});
  act(viewer_host);
  EXPECT_EQ(front->held().playbacks, 0u) << "it ends with the connection";
  EXPECT_EQ(told_of<TryEnded>().size(), 1u);
}

TEST_F(Mishaps, AViewerThatReadsNothingHoldsItsBoxNotMemory) {
  const auto link = dial();
  viewer.next.push_back(PauseReading{link});
  act(viewer_host);
  send(link, get("/a/t/r2/0"));
  const std::string block(64 * 1024, 'v');
  box_sends(box, box_host, box.accepted[0], "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n");
  for (int i = 0; i < 64; ++i)
    box_sends(box, box_host, box.accepted[0], block);
  EXPECT_LE(net.unread_bytes(viewer_host), terms.most_unsent + 2 * block.size());
  EXPECT_EQ(told_of<TryEnded>().size(), 0u) << "the box is not blamed";
  net.run(net.now() + 20s);
  EXPECT_EQ(front->held().viewer_links, 0u) << "it may read nothing for so long only";
}

TEST_F(Mishaps, WhatCameWhileItStoodStillIsReadBeforeItIsLate) {
  const auto link = dial();
  send(link, get("/a/t/r2/0"));
  net.suspend(front_host, net.now() + 3s);
  box_sends(box, box_host, box.accepted[0], object("in time"));
  net.run(net.now() + 3100ms);
  EXPECT_TRUE(got(link).ends_with("in time")) << got(link);
  EXPECT_EQ(told_of<TryEnded>().size(), 0u);
}

TEST_F(Mishaps, ABoxNamedAnewGetsNewConnections) {
  const auto link = dial();
  send(link, get("/a/t/r2/0"));
  box_sends(box, box_host, box.accepted[0], object("x"));
  boxes_json.replace(boxes_json.find("\"revision\":1"), 12, "\"revision\":2");
  boxes_json.replace(boxes_json.find("\"port\":1001"), 11, "\"port\":2001");
  net.run(net.now() + 1s);
  EXPECT_TRUE(box.peers[box.accepted[0]].ended) << "a connection to where it was leads nowhere";
  const auto lists = told_of<ServerList>();
  ASSERT_FALSE(lists.empty());
  EXPECT_EQ(lists.back().entries[0].server, 0u) << "the same box keeps its index";
}

TEST_F(Mishaps, MalformedRequestsGetOneClearAnswerEach) {
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
    const auto link = dial();
    send(link, text);
    EXPECT_TRUE(got(link).starts_with("HTTP/1.1 " + status)) << text << got(link);
    viewer.next.push_back(Close{link, false});
    act(viewer_host);
  }
  EXPECT_EQ(told_of<Request>().size(), 0u);
  EXPECT_EQ(front->held().viewer_links, 0u);
}

TEST_F(Mishaps, PipelinedRequestsAreAnsweredInOrder) {
  const auto link = dial();
  send(link, get("/a/t/r2/0") + get("/nowhere") + get("/a/t/r2/1"));
  EXPECT_EQ(asked(box).size(), 1u);
  box_sends(box, box_host, box.accepted[0], object("first"));
  const auto text = got(link);
  EXPECT_NE(text.find("first"), std::string::npos);
  EXPECT_GT(text.find("HTTP/1.1 404"), text.find("first"));
  box_sends(box, box_host, box.accepted[0], object("second"));
  EXPECT_TRUE(got(link).ends_with("second"));
}

TEST_F(Mishaps, AnOrderlyStopAnswersEverybody) {
  const auto waiting = dial(), playing = dial(), idle = dial();
  send(playing, get("/a/t/r2/0", "p"));
  box_sends(box, box_host, box.accepted[0], "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab");
  send(waiting, get("/a/t/r2/0", "w"));
  net.request_shutdown(front_host);
  net.run(net.now() + 5ms);
  EXPECT_TRUE(viewer.peers[idle].half_closed);
  EXPECT_FALSE(net.stopped(front_host));
  box_sends(box, box_host, box.accepted[0], "cd");
  EXPECT_TRUE(got(playing).ends_with("abcd"));
  box_sends(box, box_host, box.accepted[1], object("x"));
  EXPECT_TRUE(got(waiting).starts_with("HTTP/1.1 200")) << got(waiting);
  net.run(net.now() + 50ms);
  EXPECT_TRUE(net.stopped(front_host));
}

TEST_F(Mishaps, ASetUpForAPlaybackThatIsGoneIsToldAsNotSent) {
  decide = [](Duration, const Event& event) -> std::vector<Command> {
    if (std::holds_alternative<RequestCancelled>(event))
      return {violettide::SetUp{0, 0, 500ms}};
    return {};
  };
  const auto link = dial();
  send(link, get("/paid/t/r0/0"));
  viewer.next.push_back(Close{link, false});
  act(viewer_host);
  ASSERT_EQ(told_of<TryEnded>().size(), 1u);
  EXPECT_EQ(told_of<TryEnded>()[0].outcome, Outcome::not_sent);
  EXPECT_TRUE(told_of<TryEnded>()[0].playback_over);
  EXPECT_TRUE(asked(box).empty());
}

// To a viewer 503 says that it may go elsewhere; while a paid try may have run nothing may say so.
TEST_F(Mishaps, AStopRefusesNothingThatIsPaidAndOut) {
  const auto first = dial(), again = dial(), other = dial();
  send(first, get("/paid/t/r0/0", "p"));
  net.request_shutdown(front_host);
  net.run(net.now() + 5ms);
  send(again, get("/paid/t/r0/0", "p"));
  send(other, get("/a/t/r0/0", "q"));
  EXPECT_EQ(got(again), "") << "it waits for the set-up that is out";
  box_sends(box, box_host, asked(box)[0], object("x"));
  EXPECT_TRUE(got(first).starts_with("HTTP/1.1 200")) << got(first);
}

TEST_F(Mishaps, AStopAtItsLimitAnswersEverybodyFirst) {
  decide = [](Duration, const Event& event) -> std::vector<Command> {
    const auto* request = std::get_if<Request>(&event);
    if (!request || request->plan == 0)
      return {};
    return {violettide::SetUp{request->playback, 0, 60s}};
  };
  terms.plans[0].abandon = terms.plans[1].abandon = 60s;
  terms.stop_limit = 1s;
  auto script = std::make_unique<Script>(
      &told, [this](Duration now, const Event& event) { return decide(now, event); });
  front = std::make_unique<Manager>(terms, 1, "", std::move(script));
  net.kill(front_host);
  net.replace(front_host, *front);
  net.run(net.now() + 50ms);
  const auto one = dial(), two = dial();
  send(one, get("/paid/t/r0/0", "p"));
  send(two, get("/a/t/r0/0", "q"));
  net.request_shutdown(front_host);
  net.run(net.now() + 2s);
  EXPECT_TRUE(net.stopped(front_host));
  EXPECT_TRUE(got(one).starts_with("HTTP/1.1 504")) << "its try is out: " << got(one);
  EXPECT_TRUE(got(two).starts_with("HTTP/1.1 503")) << got(two);
}

TEST_F(Mishaps, AfterADayOfMishapsNothingIsHeld) {
  for (int i = 0; i < 40; ++i) {
    const auto link = dial();
    send(link, get("/a/t" + std::to_string(i % 5) + "/r2/0", "s" + std::to_string(i)));
    const auto links = asked(box);
    if (i % 3 == 0 && !links.empty())
      box_sends(box, box_host, links.back(), object("x"));
    if (i % 2 == 0)
      viewer.next.push_back(Close{link, i % 4 == 0}), act(viewer_host);
    if (i % 7 == 0)
      net.run(net.now() + 1s);
    for (auto& [l, peer] : box.peers)
      peer.got.clear();
  }
  for (ConnectionId link = 1; link < next_link; ++link)
    viewer.next.push_back(Close{link, false});
  act(viewer_host);
  net.run(net.now() + 30s);
  EXPECT_EQ(front->held().playbacks, 0u);
  EXPECT_EQ(front->held().viewer_links, 0u);
  EXPECT_LE(front->held().timers, 3u) << "the list's, the weighing's and no other";
}

// Forty managers of one hall that start at one moment with the list they kept: how many of their polls fall
// into the fullest fiftieth of a second, beside an even spread.
TEST(InStep, AHallThatStartsTogetherPollsApart) {
  Network net;
  ScriptedPeer list;
  constexpr int fronts = 40;
  FrontTerms terms;
  terms.plans = {{"a", 4s}};
  terms.site.plans.resize(1);
  terms.site.rung_kb = {10};
  terms.halls = {"h"};
  terms.list_port = Network::port(fronts);
  std::vector<std::unique_ptr<Manager>> managers;
  for (std::uint64_t seed = 1; seed <= fronts; ++seed) {
    managers.push_back(std::make_unique<Manager>(terms, seed, testing::two_boxes, nullptr));
    net.add(*managers.back(), 1);
  }
  std::map<int, int> slices;
  int polls = 0;
  list.on_bytes = [&](ScriptedPeer&, ConnectionId link, std::vector<Action>& actions) {
    ++polls, ++slices[static_cast<int>(net.now() / 20ms)];
    actions.push_back(Send{
        link, http::serialize_response_head(200, {}, testing::two_boxes.size(), false) + testing::two_boxes});
    actions.push_back(Close{link, true});
  };
  net.add(list, 1);
  net.run(10s);
  int fullest = 0;
  for (const auto& [slice, count] : slices)
    fullest = std::max(fullest, count);
  EXPECT_GT(polls, fronts * 15);
  EXPECT_LE(fullest, 8) << "even: " << polls / 500.0;
}

}  // namespace
}  // namespace violettide::manager
