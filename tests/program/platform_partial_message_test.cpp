// Messages that never become whole, at each reader of the platform's session manager: from video servers,
// viewers and the command channel.
#include <numeric>

#include "platform_fixture.h"

namespace violettide::platform {
namespace {

class PlatformPartialMessageTest : public PlatformFixture {
 protected:
  static constexpr Duration server_limit = 500ms, viewer_limit = 2s;
  static constexpr Duration sweep = 100ms;

  // The first bytes of an answer that states `length`, far more than follow.
  static std::string spoilt_answer(std::size_t length, CallId id = 0xbb) {
    auto bytes = accept(id);
    bytes[0] = static_cast<char>(length >> 8);
    bytes[1] = static_cast<char>(length & 255);
    return bytes;
  }
  // The same, with a description that states almost that length too, so that any bytes fit into it.
  static std::string answer_with_endless_description() {
    return std::string("\x3e\x80", 2) + accept(0xbb).substr(2, 9) + std::string("\xae\x3e\x00", 3) + "server";
  }
  // One playback plays at s-a, another one's set-up is out on the same connection, which is returned.
  ConnectionId start_playing_and_trying() {
    const auto connection = start_playing();
    tries = 0;
    set_up_always_at(0, 5s);
    receive(viewer, offer("00000000000000bb"));
    take_sent(connection);
    events.clear();
    return connection;
  }
  std::string sent_to_viewer(Duration time) {
    advance(time);
    return take_sent(viewer);
  }
};

// Guards against taking what a server sends next for the rest of a spoilt answer: the ends of playbacks were
// told up to 12.5 s late. The next message shows that the length is wrong.
TEST_F(PlatformPartialMessageTest, TheMessageAfterAWrongLengthShowsIt) {
  for (const std::size_t length : {accept(0xbb).size() - 1, accept(0xbb).size() + 1, std::size_t{100},
                                   std::size_t{2000}, std::size_t{16000}, std::size_t{16384}}) {
    make_core(256);
    const auto connection = start_playing_and_trying();
    receive(connection, spoilt_answer(length) + release(16));
    EXPECT_TRUE(closed(connection)) << length;
    EXPECT_EQ(count(take_sent(viewer), format_call_id(call_id)), 0u) << "what follows is not believed";
    const auto next = connect_to("10.1.0.1");
    receive(next, release(16));
    EXPECT_EQ(take_sent(viewer), end_line(call_id, 16)) << length;
  }
}

// The same where the wrong length hides what comes: the message has a limit of time, however much keeps
// coming and however it is cut.
TEST_F(PlatformPartialMessageTest, AMessageThatIsNeverWholeEndsItsConnection) {
  for (const std::string& partial : {answer_with_endless_description(), spoilt_answer(16000),
                                     std::string(1, '\0'), accept(0xbb).substr(0, 10)}) {
    for (const Duration interval : {Duration(10ms), Duration(90ms), Duration(10s)}) {
      make_core(256);
      const auto connection = start_playing_and_trying();
      receive(connection, partial);
      const auto begun = now;
      auto next_byte = now + interval;
      while (!closed(connection) && now < begun + 2s) {
        advance(10ms);
        if (now < next_byte || partial != answer_with_endless_description())
          continue;
        next_byte += interval;
        receive(connection, std::string(1, 'x'));
      }
      EXPECT_TRUE(closed(connection));
      EXPECT_GT(now - begun, server_limit);
      EXPECT_LE(now - begun, server_limit + sweep + 10ms);
    }
  }
}

// Messages that become whole in time are taken, however slowly their bytes come.
TEST_F(PlatformPartialMessageTest, AMessageThatIsCompletedInTimeIsTaken) {
  const auto connection = start_playing();
  for (int i = 0; i < 20; ++i) {  // there is always a partial message, but never the same one
    const auto note = server_message(44, call_id, parameter(150, "kept_up") + parameter(165, "0.9"));
    receive(connection, note.substr(0, 5));
    advance(400ms);
    receive(connection, note.substr(5) + note.substr(0, 3));
    receive(connection, note.substr(3));
  }
  EXPECT_FALSE(closed(connection));
  EXPECT_EQ(events_of_type<Measurement>(events).size(), 40u);
}

// Rule 2: what else was out on the connection may have run. Its session is released at the server, and a
// set-up that was not sent is known not to have run.
TEST_F(PlatformPartialMessageTest, SetUpsOnAnUnreadableConnectionMayHaveRunAndAreReleased) {
  const auto connection = start_playing_and_trying();
  auto_drain = false;
  receive(viewer, offer("00000000000000cc"));  // decided, but not sent yet
  receive(connection, spoilt_answer(16000) + release(16));
  const auto ended = events_of_type<TryEnded>(events);
  ASSERT_GE(ended.size(), 2u);
  EXPECT_EQ(ended[0].outcome, Outcome::reset);
  EXPECT_EQ(ended[1].outcome, Outcome::no_connection);
  auto_drain = true;
  const auto next = connect_to("10.1.0.1");
  const auto sent = take_sent(next);
  EXPECT_EQ(count(sent, release_bytes(0xbb, 16)), 1u);
  EXPECT_EQ(count(sent, release_bytes(0xcc, 16)), 0u);
  EXPECT_EQ(sent.find(release_bytes(0xbb, 16)), 0u) << "before a further set-up of the same playback";
}

// Bytes that never become a message are no sign of the server.
TEST_F(PlatformPartialMessageTest, OnlyWholeMessagesAreASignOfAServer) {
  const auto connection = start_playing();
  advance(1900ms);
  receive(connection, answer_with_endless_description());
  advance(200ms);
  EXPECT_NE(take_dial("10.1.0.1"), 0u) << "after 2 s without a whole message";
}

// A stall of this process says nothing of a message whose rest came meanwhile.
TEST_F(PlatformPartialMessageTest, TheRestOfAMessageThatCameDuringAStallIsReadFirst) {
  const auto connection = start_playing();
  receive(connection, release(16).substr(0, 7));
  advance(200ms);
  auto_drain = false;
  now += 1500ms;
  deliver(TimerFired{});
  receive(connection, release(16).substr(7));
  drain_input();
  EXPECT_FALSE(closed(connection));
  EXPECT_EQ(take_sent(viewer), end_line(call_id, 16));
}

// Guards against viewers that hold their connection by a byte now and then, after a first valid message.
TEST_F(PlatformPartialMessageTest, AViewersLineThatIsNeverWholeEndsItsConnection) {
  accept_viewer();
  receive(viewer, test_request());
  advance(1s);
  const auto begun = now;
  while (!closed(viewer) && now < begun + 5s) {
    receive(viewer, " ");
    advance(100ms);
  }
  EXPECT_TRUE(closed(viewer));
  EXPECT_GT(now - begun, viewer_limit);
  EXPECT_LE(now - begun, viewer_limit + 2 * sweep + 20ms);  // 20 ms for a message to arrive
}

// A request before the line is owed its answer; a playback goes on without its viewer's connection.
TEST_F(PlatformPartialMessageTest, WhatElseWasOnTheViewersConnectionIsSettled) {
  const auto connection = start_playing_and_trying();
  const auto hold_line = [this](Duration time) {
    for (const auto until = now + time; now < until && !closed(viewer);) {
      receive(viewer, "{");
      advance(100ms);
    }
  };
  hold_line(2500ms);
  EXPECT_FALSE(closed(viewer));
  receive(connection, accept(0xbb));
  EXPECT_EQ(take_sent(viewer), accept_line(0xbb, "server says\r\n"));
  hold_line(300ms);
  EXPECT_TRUE(closed(viewer));
  EXPECT_EQ(core->resource_counts().playbacks, 2u);
  accept_viewer(viewer + 1);
  receive(viewer + 1, test_request());
  receive(connection, release(16));
  EXPECT_EQ(count(take_sent(viewer + 1), end_line(call_id, 16)), 1u);
}

// A line in many pieces is taken if it is whole in time, also if there is always a piece of the next one.
TEST_F(PlatformPartialMessageTest, AViewersLineThatIsCompletedInTimeIsTaken) {
  accept_viewer();
  const auto line = test_request();
  receive(viewer, line.substr(0, 3));
  for (int i = 0; i < 10; ++i) {
    advance(900ms);
    receive(viewer, line.substr(3) + line.substr(0, 3));
  }
  EXPECT_FALSE(closed(viewer));
  EXPECT_EQ(count(take_sent(viewer), "tested"), 10u);
}

// The command channel is followed by whole lines: an event that never becomes whole is asked for again.
TEST_F(PlatformPartialMessageTest, AnEventThatIsNeverWholeIsAskedForAgain) {
  deliver(Connected{channel_connection});
  take_sent(channel_connection);
  const auto begun = now;
  while (!closed(channel_connection) && now < begun + 5s) {
    receive(channel_connection, R"({"cursor":2,"nodes":{)");
    advance(100ms);
  }
  EXPECT_TRUE(closed(channel_connection));
  EXPECT_LE(now - begun, 1800ms);
  advance(300ms);
  const auto next = take_dial("10.2.0.1");
  ASSERT_NE(next, 0u);
  deliver(Connected{next});
  EXPECT_EQ(take_sent(next), "resume 1\n");
}

}  // namespace
}  // namespace violettide::platform
