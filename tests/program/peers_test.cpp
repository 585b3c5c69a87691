// Tests of the connections between managers, without I/O: forged, replayed and missing frames are rejected,
// and queues are bounded.
#include "peers/peers.h"

#include <gtest/gtest.h>

namespace violettide::peers {
namespace {

using namespace std::chrono_literals;

PeerSettings settings_of(PeerIndex self, std::string key = "hall") {
  PeerSettings settings;
  settings.managers = {{"a", "127.0.0.1", 1}, {"b", "127.0.0.1", 2}};
  settings.self = self;
  settings.key = std::move(key);
  settings.max_queued = 3;
  return settings;
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

class PeersTest : public ::testing::Test {
 protected:
  static constexpr ConnectionId in = first_accepted;
  // `b` accepts the connection of `a` and challenges it. Returns what `a` then sends.
  std::vector<std::string> connect(ConnectionId link_in = in) {
    std::vector<Action> challenge, answer;
    b.on_accepted(1s, link_in, challenge);
    a.on_received(dialed, sent(challenge).at(0), answer);
    return sent(answer);
  }
  Peers a{settings_of(0), 100}, b{settings_of(1), 100};
  ConnectionId dialed = 100;
  std::vector<Action> actions;
};

TEST_F(PeersTest, MessagesArriveInOrder) {
  a.send(0s, 1, 7, "one", actions);
  a.send(0s, 1, 7, "two", actions);
  EXPECT_TRUE(did<Dial>(actions));
  EXPECT_TRUE(sent(actions).empty()) << "no frame before the challenge";
  const auto frames = connect();
  ASSERT_EQ(frames.size(), 2u);
  const auto joined = frames[0] + frames[1];
  std::vector<ReceivedMessage> messages;
  for (const char byte : joined) {
    for (auto& message : b.on_received(in, std::string(1, byte), actions))
      messages.push_back(message);
  }
  ASSERT_EQ(messages.size(), 2u);
  EXPECT_EQ(messages[1].payload, "two");
  EXPECT_EQ(messages[1].from, 0u);
  EXPECT_TRUE(b.take_warnings().empty());
}

TEST_F(PeersTest, MissingRepeatedAndForeignFramesAreRejected) {
  for (int i = 0; i < 3; ++i)
    a.send(0s, 1, 7, std::to_string(i), actions);
  const auto frames = connect();
  const auto refused = [&](ConnectionId link, const std::string& bytes) {
    actions.clear();
    const bool none = b.on_received(link, bytes, actions).empty();
    return none && did<Close>(actions) && b.take_warnings().size() == 1;
  };
  EXPECT_TRUE(refused(in, frames[1])) << "the first frame is missing";
  std::vector<Action> challenge;
  b.on_accepted(2s, in + 1, challenge);
  EXPECT_TRUE(refused(in + 1, frames[0])) << "signed over another challenge";
  a.on_closed(2s, dialed);
  a.send(3s, 1, 7, "again", actions);
  dialed = 101;
  const auto more = connect(in + 2);
  ASSERT_EQ(b.on_received(in + 2, more.at(0), actions).size(), 1u);
  EXPECT_TRUE(refused(in + 2, more[0])) << "repeated";
}

TEST_F(PeersTest, TooLongFramesAndFramesWithAnotherKeyAreRejected) {
  std::vector<Action> challenge;
  b.on_accepted(1s, in, challenge);
  b.on_received(in, std::string("\x7f\xff\xff\xff", 4), actions);
  EXPECT_TRUE(did<Close>(actions));
  Peers stranger(settings_of(0, "another"), 100);
  stranger.send(0s, 1, 7, "one", actions);
  b.on_accepted(1s, in + 1, challenge);
  std::vector<Action> answer;
  stranger.on_received(100, sent(challenge).at(1), answer);
  EXPECT_TRUE(b.on_received(in + 1, sent(answer).at(0), actions).empty());
  EXPECT_EQ(b.take_warnings().size(), 2u);
}

// Guards against taking the frames that follow for the rest of one whose length is wrong.
TEST_F(PeersTest, AFrameThatIsNeverWholeEndsItsConnection) {
  a.send(0s, 1, 7, "one", actions);
  const auto frames = connect();
  const auto limit = settings_of(1).frame_timeout;
  b.on_received(in, frames.at(0), actions);
  b.on_received(in, std::string("\0\0\x40\0", 4) + "part", actions);
  actions.clear();
  Duration now = 1s;
  const auto begun = now;
  for (; !did<Close>(actions) && now < begun + 3 * limit; now += 100ms) {
    b.on_received(in, "x", actions);
    b.on_tick(now, actions);
  }
  EXPECT_TRUE(did<Close>(actions));
  EXPECT_GT(now - begun, limit);
  EXPECT_LE(now - begun, limit + 300ms);
  EXPECT_EQ(b.take_warnings().at(0), "a frame was not completed in time from a");
  EXPECT_FALSE(b.owns_link(in));
}

// The same for the challenge, after which the peer is dialled again and gets what waits.
TEST_F(PeersTest, AChallengeThatIsNeverWholeIsAskedForAgain) {
  a.send(0s, 1, 7, "one", actions);
  std::vector<Action> challenge;
  b.on_accepted(1s, in, challenge);
  a.on_received(dialed, sent(challenge).at(0).substr(0, 20), actions);
  actions.clear();
  for (Duration now = 1s; now < 3s && !did<Dial>(actions); now += 100ms)
    a.on_tick(now, actions);
  EXPECT_TRUE(did<Close>(actions));
  ASSERT_TRUE(did<Dial>(actions));
  ++dialed;
  EXPECT_EQ(connect(in + 1).size(), 1u);
}

// Frames that become whole in time are taken, also if there is always part of a next one.
TEST_F(PeersTest, FramesThatAreCompletedInTimeAreTaken) {
  for (int i = 0; i < 3; ++i)
    a.send(0s, 1, 7, "message", actions);
  const auto frames = connect();
  Duration now = 1s;
  std::size_t received = b.on_received(in, frames.at(0) + frames.at(1).substr(0, 3), actions).size();
  for (std::size_t i = 1; i < frames.size(); ++i) {
    for (int tick = 0; tick < 9; ++tick, now += 100ms)
      b.on_tick(now, actions);
    const auto next = i + 1 < frames.size() ? frames.at(i + 1).substr(0, 3) : std::string();
    received += b.on_received(in, frames.at(i).substr(3) + next, actions).size();
  }
  EXPECT_EQ(received, 3u);
}

TEST_F(PeersTest, QueueToUnreachablePeerIsBoundedAndReported) {
  for (int i = 0; i < 10; ++i)
    a.send(0s, 1, 7, std::to_string(i), actions);
  EXPECT_EQ(a.take_warnings().size(), 1u) << "one warning, not one for each message";
  const auto frames = connect();
  ASSERT_EQ(frames.size(), 3u);
  EXPECT_EQ(b.on_received(in, frames[0], actions).at(0).payload, "7") << "the oldest were dropped";
}

TEST_F(PeersTest, RedialsWithIncreasingDelay) {
  a.send(0s, 1, 7, "one", actions);
  Duration now = 0s;
  std::vector<Duration> dials;
  for (; now < 60s; now += 50ms) {
    actions.clear();
    a.on_tick(now, actions);
    if (!did<Dial>(actions) && !(now == 0s))
      continue;
    dials.push_back(now);
    a.on_closed(now, dialed);
    dialed = 100 + static_cast<ConnectionId>(dials.size());
  }
  EXPECT_GE(dials.size(), 10u);
  EXPECT_LE(dials.size(), 20u) << "in a minute";
}

}  // namespace
}  // namespace violettide::peers
