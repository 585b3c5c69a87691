// Managers' connections, moved by hand: nothing forged, replayed or left out is heard, and queues end.
#include "peers/peers.h"

#include <gtest/gtest.h>

namespace violettide::peers {
namespace {

using namespace std::chrono_literals;

PeerTerms terms_of(PeerIndex own, std::string key = "hall") {
  PeerTerms terms;
  terms.all = {{"a", "127.0.0.1", 1}, {"b", "127.0.0.1", 2}};
  terms.own = own;
  terms.key = std::move(key);
  terms.most_waiting = 3;
  return terms;
}
std::vector<std::string> sent(const std::vector<Action>& actions) {
  std::vector<std::string> all;
  for (const auto& act : actions) {
    if (const auto* send = std::get_if<Send>(&act))
      all.push_back(send->bytes);
  }
  return all;
}
template <typename Kind>
bool did(const std::vector<Action>& actions) {
  return std::any_of(actions.begin(), actions.end(),
                     [](auto& act) { return std::holds_alternative<Kind>(act); });
}

class Two : public ::testing::Test {
 protected:
  static constexpr ConnectionId in = first_accepted;
  // `a` dials, `b` challenges; what `a` then sends.
  std::vector<std::string> greet(ConnectionId link_in = in) {
    std::vector<Action> challenge, answer;
    b.accepted(1s, link_in, challenge);
    a.received(dialed, sent(challenge).at(0), answer);
    return sent(answer);
  }
  Peers a{terms_of(0), 100}, b{terms_of(1), 100};
  ConnectionId dialed = 100;
  std::vector<Action> actions;
};

TEST_F(Two, WhatIsSentIsHeardInOrder) {
  a.send(0s, 1, 7, "one", actions);
  a.send(0s, 1, 7, "two", actions);
  EXPECT_TRUE(did<Dial>(actions));
  EXPECT_TRUE(sent(actions).empty()) << "nothing before the challenge";
  const auto frames = greet();
  ASSERT_EQ(frames.size(), 2u);
  const auto joined = frames[0] + frames[1];
  std::vector<Heard> heard;
  for (const char byte : joined) {
    for (auto& one : b.received(in, std::string(1, byte), actions))
      heard.push_back(one);
  }
  ASSERT_EQ(heard.size(), 2u);
  EXPECT_EQ(heard[1].payload, "two");
  EXPECT_EQ(heard[1].from, 0u);
  EXPECT_TRUE(b.take_remarks().empty());
}

TEST_F(Two, AFrameLeftOutRepeatedOrOfAnotherConnectionIsRefused) {
  for (int i = 0; i < 3; ++i)
    a.send(0s, 1, 7, std::to_string(i), actions);
  const auto frames = greet();
  const auto refused = [&](ConnectionId link, const std::string& bytes) {
    actions.clear();
    const bool none = b.received(link, bytes, actions).empty();
    return none && did<Close>(actions) && b.take_remarks().size() == 1;
  };
  EXPECT_TRUE(refused(in, frames[1])) << "the first is missing";
  std::vector<Action> challenge;
  b.accepted(2s, in + 1, challenge);
  EXPECT_TRUE(refused(in + 1, frames[0])) << "signed over another challenge";
  a.ended(2s, dialed);
  a.send(3s, 1, 7, "again", actions);
  dialed = 101;
  const auto more = greet(in + 2);
  ASSERT_EQ(b.received(in + 2, more.at(0), actions).size(), 1u);
  EXPECT_TRUE(refused(in + 2, more[0])) << "once more";
}

TEST_F(Two, TooLongAFrameAndAnotherKeyAreRefused) {
  std::vector<Action> challenge;
  b.accepted(1s, in, challenge);
  b.received(in, std::string("\x7f\xff\xff\xff", 4), actions);
  EXPECT_TRUE(did<Close>(actions));
  Peers stranger(terms_of(0, "another"), 100);
  stranger.send(0s, 1, 7, "one", actions);
  b.accepted(1s, in + 1, challenge);
  std::vector<Action> answer;
  stranger.received(100, sent(challenge).at(1), answer);
  EXPECT_TRUE(b.received(in + 1, sent(answer).at(0), actions).empty());
  EXPECT_EQ(b.take_remarks().size(), 2u);
}

TEST_F(Two, TheQueueToOneThatIsDownEndsAndIsTold) {
  for (int i = 0; i < 10; ++i)
    a.send(0s, 1, 7, std::to_string(i), actions);
  EXPECT_EQ(a.take_remarks().size(), 1u) << "once, not for each";
  const auto frames = greet();
  ASSERT_EQ(frames.size(), 3u);
  EXPECT_EQ(b.received(in, frames[0], actions).at(0).payload, "7") << "the oldest were dropped";
}

TEST_F(Two, ItIsDialedAgainAtAPaceThatSlows) {
  a.send(0s, 1, 7, "one", actions);
  Duration now = 0s;
  std::vector<Duration> dials;
  for (; now < 60s; now += 50ms) {
    actions.clear();
    a.time_passed(now, actions);
    if (!did<Dial>(actions) && !(now == 0s))
      continue;
    dials.push_back(now);
    a.ended(now, dialed);
    dialed = 100 + static_cast<ConnectionId>(dials.size());
  }
  EXPECT_GE(dials.size(), 10u);
  EXPECT_LE(dials.size(), 20u) << "in a minute";
}

}  // namespace
}  // namespace violettide::peers
