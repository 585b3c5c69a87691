// A server is found lost, or a viewer overflows, just while the platform's session manager handles a message
// of a playback that ends thereby.
#include "platform_fixture.h"

namespace violettide::platform {
namespace {

class PlatformLossTest : public PlatformFixture {
 protected:
  static std::string other_call() { return "00000000000000bb"; }
  // Two playbacks at s-a, whose connection is then reset; none is open or dialled afterwards.
  void lose_connection_with_two_playbacks() {
    const auto connection = start_playing();
    receive(viewer, offer(other_call()));
    receive(connection, accept(0xbb));
    advance(107ms);  // the sweep, which would find the server lost by itself, runs at other times
    take_sent(viewer);
    deliver(Disconnected{connection, CloseReason::reset});
  }
  void refuse_dial() { deliver(Disconnected{take_dial("10.1.0.1"), CloseReason::refused}); }
  void refuse_twice() {
    refuse_dial();
    tries = 0;  // the decider gives up after one failure
    receive(viewer, offer("00000000000000cc"));
    refuse_dial();
    take_sent(viewer);
  }
  // The viewer ends one playback `delay` after the loss began. Returns what the viewer was sent since.
  std::string end_after(const std::function<void()>& begin, Duration delay, Duration until_lost) {
    now = 1s;
    make_core(256);
    tries = 0;
    lose_connection_with_two_playbacks();
    begin();
    now += delay;
    receive(viewer, end());
    for (const auto until = now + until_lost; now < until;) {
      advance(10ms);
      if (const auto dial = take_dial("10.1.0.1"))
        deliver(Disconnected{dial, CloseReason::refused});
    }
    return take_sent(viewer);
  }
  // Whatever comes first, the end or the loss: the playback that the viewer ended has one end, as has the
  // other.
  void expect_one_end_each(const std::string& sent, Duration delay) {
    EXPECT_EQ(count(sent, ended_line(call_id)), 1u) << delay.count();
    EXPECT_LE(count(sent, end_line(call_id, 41)), 1u) << delay.count();
    EXPECT_EQ(count(sent, end_line(0xbb, 41)), 1u) << delay.count();
    EXPECT_EQ(core->resource_counts().playbacks, 0u) << delay.count();
    EXPECT_EQ(core->resource_counts().titles, 0u) << delay.count();
  }
};

// Guards against the crash of a session manager whose viewer ends a playback just when two refused dials have
// proved its server lost, between two sweeps.
TEST_F(PlatformLossTest, AViewerMayEndAPlaybackWhenRefusedDialsProveItsServerLost) {
  for (auto delay = 0ms; delay <= 400ms; delay += 7ms) {
    const auto sent = end_after([this] { refuse_twice(); }, delay, 2s);
    expect_one_end_each(sent, delay);
  }
}

// The same where silence proves the server lost: no dial is answered for 5.5 s.
TEST_F(PlatformLossTest, AViewerMayEndAPlaybackWhenSilenceProvesItsServerLost) {
  for (auto delay = 0ms; delay <= 300ms; delay += 7ms) {
    const auto sent = end_after([this] { advance(5250ms); }, delay, 2s);
    expect_one_end_each(sent, delay);
  }
}

// The same where the list calls the server gone while nothing is connected to it.
TEST_F(PlatformLossTest, AViewerMayEndAPlaybackWhenItsServerIsToldGone) {
  for (auto delay = 0ms; delay <= 200ms; delay += 7ms) {
    const auto told_gone = [this] {
      deliver(Connected{channel_connection});
      receive(channel_connection, event(2, false, list_entry("s-a", "10.1.0.1", "Gone")));
    };
    const auto sent = end_after(told_gone, delay, 2s);
    expect_one_end_each(sent, delay);
  }
}

// A viewer that reads nothing is closed when too much is unsent, with the request whose end it just sent.
TEST_F(PlatformLossTest, AViewerMayOverflowByTheAnswerToItsOwnEnd) {
  make_core(256);
  set_up_always_at(0);
  accept_viewer();
  receive(viewer, offer());
  for (int i = 0; i < 20000 && !closed(viewer); ++i) {
    receive(viewer, end("00000000000000ee"));  // as long as the answer to the end below
    if (take_sent(viewer).empty())
      break;
  }
  EXPECT_TRUE(closed(viewer));
  EXPECT_EQ(core->resource_counts().playbacks, 0u);
  // Once more with the last line that fits, then the end of the request that waits.
  constexpr std::size_t max_unsent_bytes = 256 * 1024;
  accept_viewer(viewer + 1);
  receive(viewer + 1, offer());
  const auto line = ended_line(0xee);
  for (std::size_t sent = 0; sent + line.size() <= max_unsent_bytes; sent += line.size())
    receive(viewer + 1, end("00000000000000ee"));
  EXPECT_FALSE(closed(viewer + 1));
  receive(viewer + 1, end());
  EXPECT_TRUE(closed(viewer + 1));
  EXPECT_EQ(core->resource_counts().playbacks, 0u);
  EXPECT_EQ(core->resource_counts().viewer_connections, 0u);
}

// When a server is lost, its viewers' ends that no longer fit one connection are told on another.
TEST_F(PlatformLossTest, EndsThatAnOverflowedViewerCanNotTakeAreToldOnAnotherConnection) {
  lose_connection_with_two_playbacks();
  constexpr std::size_t max_unsent_bytes = 256 * 1024;
  const auto line = ended_line(0xee);
  accept_viewer(viewer + 1);
  receive(viewer + 1, test_request());
  take_sent(viewer + 1);
  core->handle(now, Flushed{viewer}, actions);
  for (std::size_t sent = 0; sent + line.size() <= max_unsent_bytes; sent += line.size())
    receive(viewer, end("00000000000000ee"));
  take_sent(viewer);
  ASSERT_FALSE(closed(viewer));
  refuse_dial();
  advance(550ms);
  refuse_dial();
  EXPECT_TRUE(closed(viewer));
  EXPECT_EQ(core->resource_counts().playbacks, 0u);
  const auto told = take_sent(viewer) + take_sent(viewer + 1);
  EXPECT_EQ(count(told, end_line(call_id, 41)), 1u);
  EXPECT_EQ(count(told, end_line(0xbb, 41)), 1u);
}

}  // namespace
}  // namespace violettide::platform
