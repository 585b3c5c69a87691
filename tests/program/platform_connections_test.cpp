// Which servers the platform's session manager holds connections to, how it gives one up, and what it hears
// of the playbacks at servers that it is not connected to.
#include <numeric>

#include "platform_fixture.h"

namespace violettide::platform {
namespace {

class PlatformConnectionsTest : public PlatformFixture {
 protected:
  bool sending_finished(ConnectionId connection) const {
    return std::any_of(actions.begin(), actions.end(), [&](const Action& action) {
      const auto* finish = std::get_if<FinishSending>(&action);
      return finish && finish->connection == connection;
    });
  }
  // Replaces the connection of a quiet server by a new one, and lets the old one's time pass.
  void replace_quiet_connection(ConnectionId old) {
    advance(2200ms);
    connect_to("10.1.0.1");
    actions.clear();
    advance(1200ms);
    EXPECT_TRUE(sending_finished(old) || closed(old));
  }
};

// Guards against losing a release that crosses the close of its connection: its viewer was told only when the
// server next got a connection.
TEST_F(PlatformConnectionsTest, AReleaseThatCrossesTheCloseOfItsConnectionIsHeard) {
  const auto old = start_playing();
  replace_quiet_connection(old);
  receive(old, release(16));
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 16));
  EXPECT_EQ(core->resource_counts().playbacks, 0u);
}

// The same where the close makes room for another server's connection.
TEST_F(PlatformConnectionsTest, AReleaseThatCrossesAnEvictionIsHeard) {
  make_core(64);  // leaves one connection for servers
  const auto first = start_playing();
  tries = 0;
  set_up_always_at(1);
  receive(viewer, offer("00000000000000bb"));
  connect_to("10.1.0.2");
  EXPECT_TRUE(sending_finished(first) || closed(first));
  receive(first, release(16));
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 16));
}

// A server that has closed its side, or does not for a second, leaves nothing behind.
TEST_F(PlatformConnectionsTest, AFinishedConnectionIsClosedWithItsServerOrAfterASecond) {
  for (const bool server_closes : {true, false}) {
    make_core(256);
    tries = 0;
    const auto old = start_playing();
    replace_quiet_connection(old);
    EXPECT_FALSE(closed(old));
    if (server_closes)
      deliver(HalfClosed{old});
    else
      advance(1200ms);
    EXPECT_TRUE(closed(old)) << server_closes;
  }
}

// Nothing may be sent after the end of the stream: a session that nobody waits for is released on the next
// connection.
TEST_F(PlatformConnectionsTest, ALateAnswerOnAFinishedConnectionIsReleasedOnAnother) {
  const auto old = start_playing();
  replace_quiet_connection(old);
  actions.clear();
  receive(old, accept(0xdd));
  receive(old, release(16, 0xee));
  EXPECT_EQ(take_sent(old), "");
  EXPECT_EQ(count(std::accumulate(actions.begin(), actions.end(), std::string(),
                                  [](std::string all, const Action& action) {
                                    const auto* send = std::get_if<Send>(&action);
                                    return send ? all + send->bytes : all;
                                  }),
                  release_bytes(0xdd, 16)),
            1u);
}

}  // namespace
}  // namespace violettide::platform
