// Tests the runtime on loopback sockets. Ports are chosen by the kernel, tests wait for events instead of
// sleeping, and each core stops its loop after a time limit.
#include "runtime/runtime.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <thread>

#include "manager/manager.h"

namespace violettide::runtime {
namespace {

using namespace std::chrono_literals;

// Stops the loop after a time limit, so that a failing test ends.
class Bounded : public Core {
 public:
  bool gave_up = false;
  void handle(Duration now, const IoEvent& event, std::vector<Action>& actions) final {
    if (!began_)
      began_ = true, actions.push_back(StartTimer{limit});
    if (now >= limit) {
      gave_up = true;
      actions.push_back(StopLoop{});
      return;
    }
    handle_event(now, event, actions);
  }
  virtual void handle_event(Duration now, const IoEvent& event, std::vector<Action>& actions) = 0;

 private:
  static constexpr Duration limit = 20s;
  bool began_ = false;
};

// Listens and dials itself, so that it sees both ends of its connections.
class Echo : public Bounded {
 public:
  std::uint16_t port = 0;
  std::string sent, back;
  bool half_closed = false, refused = false, reset = false;
  ConnectionId server = 0;
  void handle_event(Duration, const IoEvent& event, std::vector<Action>& actions) override {
    std::visit(Overloaded{
                   [&](const TimerFired&) {
                     if (sent.empty()) {
                       for (int i = 0; i < 400'000; ++i)
                         sent += static_cast<char>('a' + i % 23);
                       actions.push_back(Dial{1, "127.0.0.1", port});
                     }
                   },
                   [&](const Accepted& a) { server = a.connection; },
                   [&](const Connected& c) {
                     if (c.connection == 1)
                       actions.push_back(Send{1, sent});
                   },
                   [&](const Received& r) {
                     if (r.connection == server) {
                       actions.push_back(Send{server, std::string(r.bytes)});
                       echoed_ += r.bytes.size();
                       if (echoed_ == sent.size())
                         actions.push_back(Close{server, true});
                     } else {
                       back += r.bytes;
                     }
                   },
                   [&](const HalfClosed& h) {
                     if (h.connection != 1)
                       return;
                     half_closed = true;
                     actions.push_back(Close{1, false});
                     actions.push_back(StopListening{0});
                     actions.push_back(Dial{2, "127.0.0.1", port});
                   },
                   [&](const Disconnected& e) {
                     if (e.connection != 2)
                       return;
                     refused = e.reason == CloseReason::refused;
                     actions.push_back(StopLoop{});
                   },
                   [&](const auto&) {},
               },
               event);
  }

 private:
  std::size_t echoed_ = 0;
};

TEST(Runtime, SendsAllBytesThenClosesThenRefuses) {
  Echo echo;
  Loop loop(echo, {{"127.0.0.1", 0}}, {}, "");
  echo.port = loop.port(0);
  ASSERT_GT(echo.port, 0);
  loop.run();
  EXPECT_FALSE(echo.gave_up);
  EXPECT_EQ(echo.back, echo.sent);
  EXPECT_TRUE(echo.half_closed);
  EXPECT_TRUE(echo.refused);
}

// Sends to a reader that pauses: unsent bytes wait until it resumes, and Flushed follows them.
class PausedReader : public Bounded {
 public:
  std::uint16_t port = 0;
  std::size_t got = 0, got_while_paused = 0;
  bool flushed_early = false, flushed = false;
  static constexpr std::size_t size = 32 * 1024 * 1024;
  void handle_event(Duration now, const IoEvent& event, std::vector<Action>& actions) override {
    std::visit(Overloaded{
                   [&](const TimerFired&) {
                     if (!dialled_)
                       dialled_ = true, actions.push_back(Dial{1, "127.0.0.1", port});
                     else if (now >= resume_at_ && paused_)
                       paused_ = false, actions.push_back(ResumeReading{1});
                   },
                   [&](const Accepted& a) {
                     actions.push_back(Send{a.connection, std::string(size, 'x')});
                   },
                   [&](const Connected&) {
                     paused_ = true;
                     resume_at_ = now + 200ms;
                     actions.push_back(PauseReading{1});
                     actions.push_back(StartTimer{resume_at_});
                   },
                   [&](const Flushed& f) {
                     if (f.connection < first_accepted)
                       return;
                     flushed = true;
                     flushed_early = paused_;
                   },
                   [&](const Received& r) {
                     if (paused_)
                       got_while_paused += r.bytes.size();
                     got += r.bytes.size();
                     if (got == size)
                       actions.push_back(StopLoop{});
                   },
                   [&](const auto&) {},
               },
               event);
  }

 private:
  bool dialled_ = false, paused_ = false;
  Duration resume_at_{0};
};

TEST(Runtime, PausedReadingHoldsBackTheSender) {
  PausedReader core;
  Loop loop(core, {{"127.0.0.1", 0}}, {}, "");
  core.port = loop.port(0);
  loop.run();
  EXPECT_FALSE(core.gave_up);
  EXPECT_EQ(core.got, PausedReader::size);
  EXPECT_EQ(core.got_while_paused, 0u);
  EXPECT_FALSE(core.flushed_early);
}

// Dials itself and finishes sending at once; the other end answers only when it has seen the end.
class FinishingDialler : public Bounded {
 public:
  std::uint16_t port = 0;
  std::string question, answer;
  bool answered_after_end = false, half_closed = false;
  void handle_event(Duration, const IoEvent& event, std::vector<Action>& actions) override {
    std::visit(Overloaded{
                   [&](const TimerFired&) {
                     if (!std::exchange(dialled_, true))
                       actions.push_back(Dial{1, "127.0.0.1", port});
                   },
                   [&](const Connected& c) {
                     actions.push_back(Send{c.connection, "question"});
                     actions.push_back(FinishSending{c.connection});
                   },
                   [&](const Received& r) { (r.connection == 1 ? answer : question) += r.bytes; },
                   [&](const HalfClosed& h) {
                     if (h.connection != 1) {
                       answered_after_end = answer.empty();
                       actions.push_back(Send{h.connection, "answer"});
                       actions.push_back(Close{h.connection, true});
                       return;
                     }
                     half_closed = true;
                     actions.push_back(Close{1, true});
                     actions.push_back(StopLoop{});
                   },
                   [&](const auto&) {},
               },
               event);
  }

 private:
  bool dialled_ = false;
};

// Guards against losing what the peer sends before it learns that this side sends no more.
TEST(Runtime, DeliversWhatComesAfterSendingIsFinished) {
  FinishingDialler core;
  Loop loop(core, {{"127.0.0.1", 0}}, {}, "");
  core.port = loop.port(0);
  loop.run();
  EXPECT_FALSE(core.gave_up);
  EXPECT_EQ(core.question, "question");
  EXPECT_EQ(core.answer, "answer");
  EXPECT_TRUE(core.answered_after_end);
  EXPECT_TRUE(core.half_closed);
}

TEST(Runtime, ListeningOnAUsedPortFailsWithItsAddress) {
  Echo one, two;
  Loop first(one, {{"127.0.0.1", 0}}, {}, "");
  try {
    Loop second(two, {{"127.0.0.1", first.port(0)}}, {}, "");
    FAIL() << "two loops listen on one port";
  } catch (const LoopError& error) {
    EXPECT_NE(error.what.find("listening at 127.0.0.1:"), std::string::npos) << error.what;
  }
  EXPECT_THROW(Loop(two, {{"not an address", 1}}, {}, ""), LoopError);
}

// Guards against a dial that fails at once being blamed on the peer or replacing the core's timer: the
// failure is reported as local, and the timer still fires.
TEST(Runtime, ADialThatFailsAtOnceIsALocalFailureAndKeepsTheTimer) {
  class Dialler : public Core {
   public:
    bool local_failure = false, fired = false;
    void handle(Duration now, const IoEvent& event, std::vector<Action>& actions) override {
      if (!std::exchange(began_, true)) {
        actions.push_back(StartTimer{now + 50ms});
        actions.push_back(Dial{1, "box-1.example", 80});
        due_ = now + 50ms;
        return;
      }
      if (const auto* disconnected = std::get_if<Disconnected>(&event))
        local_failure = disconnected->reason == CloseReason::local_failure && !fired;
      if (std::holds_alternative<TimerFired>(event) && now >= due_)
        fired = true;
      if (fired)
        actions.push_back(StopLoop{});
    }

   private:
    bool began_ = false;
    Duration due_{0};
  };
  Dialler dialler;
  Loop loop(dialler, {}, {}, "");
  loop.run();
  EXPECT_TRUE(dialler.local_failure);
  EXPECT_TRUE(dialler.fired);
}

// Guards against a lack of file descriptors on this machine being reported as a refusal by the peer.
TEST(Runtime, TellsARefusalFromALackOfDescriptors) {
  class Dialler : public Bounded {
   public:
    std::vector<CloseReason> reasons;
    std::uint16_t unused_port = 0;
    void handle_event(Duration, const IoEvent& event, std::vector<Action>& actions) override {
      if (!std::exchange(began_, true))
        actions.push_back(Dial{1, "127.0.0.1", unused_port});
      const auto* disconnected = std::get_if<Disconnected>(&event);
      if (!disconnected)
        return;
      reasons.push_back(disconnected->reason);
      if (reasons.size() == 2)
        return actions.push_back(StopLoop{});
      rlimit limit{};
      getrlimit(RLIMIT_NOFILE, &limit);
      saved_limit_ = limit.rlim_cur;
      limit.rlim_cur = 3;
      setrlimit(RLIMIT_NOFILE, &limit);
      actions.push_back(Dial{2, "127.0.0.1", unused_port});
    }
    ~Dialler() override {
      rlimit limit{};
      getrlimit(RLIMIT_NOFILE, &limit);
      limit.rlim_cur = saved_limit_;
      setrlimit(RLIMIT_NOFILE, &limit);
    }

   private:
    bool began_ = false;
    rlim_t saved_limit_ = RLIM_INFINITY;
  };
  Echo taken;
  Dialler core;
  {
    Loop other(taken, {{"127.0.0.1", 0}}, {}, "");
    core.unused_port = other.port(0);
  }  // the port is free again
  Loop loop(core, {}, {}, "");
  loop.run();
  EXPECT_FALSE(core.gave_up);
  EXPECT_EQ(core.reasons, (std::vector{CloseReason::refused, CloseReason::local_failure}));
}

// Guards against InputDrained before the end of a connection whose bytes and end had both arrived: the client
// sends and closes before the loop reads.
TEST(Runtime, DeliversAllArrivedInputBeforeInputDrained) {
  class Draining : public Bounded {
   public:
    std::string order;
    std::function<void()> send_and_close;
    void handle_event(Duration, const IoEvent& event, std::vector<Action>& actions) override {
      if (!std::exchange(began_, true))
        send_and_close();
      if (std::holds_alternative<Received>(event)) {
        order += 'r';
        actions.push_back(DrainInput{});
      }
      if (std::holds_alternative<HalfClosed>(event) || std::holds_alternative<Disconnected>(event))
        order += 'e';
      if (std::holds_alternative<InputDrained>(event)) {
        order += 's';
        actions.push_back(StopLoop{});
      }
    }

   private:
    bool began_ = false;
  };
  for (const bool reset : {false, true}) {
    Draining core;
    Loop loop(core, {{"127.0.0.1", 0}}, {}, "");
    core.send_and_close = [&] {
      const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(loop.port(0));
      address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      ASSERT_EQ(::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
      ASSERT_EQ(::send(socket, "?", 1, 0), 1);
      if (reset)
        ::shutdown(socket, SHUT_WR);
      ::close(socket);
    };
    loop.run();
    EXPECT_FALSE(core.gave_up);
    EXPECT_EQ(core.order, "res");
  }
}

// Guards against a timer that fires early, after which a core would wait forever. The core starts its timer
// late in a millisecond of the machine's clock and spends another loop iteration early in the next one, where
// a timer that counts whole milliseconds fires early.
TEST(Runtime, TheTimerNeverFiresEarly) {
  class Sleeper : public Core {
   public:
    int fired = 0, early = 0;
    void handle(Duration now, const IoEvent& event, std::vector<Action>& actions) override {
      if (std::holds_alternative<TimerFired>(event)) {
        if (at_ > 0s)
          ++fired, early += now < at_;
        if (fired == 50)
          return actions.push_back(StopLoop{});
        while (microseconds_into_millisecond() < 800) {
        }
        iterations_ = 0;
        return actions.push_back(DrainInput{});  // for an iteration with a fresh time
      }
      if (!std::holds_alternative<InputDrained>(event))
        return;
      if (iterations_++ == 0) {
        at_ = now + 3ms;
        actions.push_back(StartTimer{at_});
        return actions.push_back(DrainInput{});
      }
      while (microseconds_into_millisecond() >= 800) {
      }
    }

   private:
    static std::uint64_t microseconds_into_millisecond() { return Loop::machine_clock_us() % 1000; }
    Duration at_{0};
    int iterations_ = 0;
  };
  Sleeper core;
  Loop loop(core, {}, {}, "");
  loop.run();
  EXPECT_EQ(core.fired, 50);
  EXPECT_EQ(core.early, 0);
}

// Guards against a peer that never reads keeping the process alive: it is sent more than any buffer holds
// before StopLoop.
TEST(Runtime, APeerThatNeverReadsCannotBlockStopLoop) {
  class NeverRead : public Bounded {
   public:
    std::uint16_t port = 0;
    Duration stopped_at{0};
    void handle_event(Duration now, const IoEvent& event, std::vector<Action>& actions) override {
      if (!std::exchange(dialled_, true))
        actions.push_back(Dial{1, "127.0.0.1", port});
      if (std::holds_alternative<Connected>(event))
        actions.push_back(PauseReading{1}), paused_ = true;
      if (const auto* accepted = std::get_if<Accepted>(&event))
        accepted_ = accepted->connection;
      if (!paused_ || accepted_ == 0)
        return;
      actions.push_back(Send{accepted_, std::string(64 * 1024 * 1024, 'x')});
      actions.push_back(Close{accepted_, true});
      actions.push_back(StopLoop{100ms});
      stopped_at = now;
    }

   private:
    bool dialled_ = false, paused_ = false;
    ConnectionId accepted_ = 0;
  };
  NeverRead core;
  Loop loop(core, {{"127.0.0.1", 0}}, {}, "");
  core.port = loop.port(0);
  loop.run();
  EXPECT_FALSE(core.gave_up);
  EXPECT_LT(loop.now() - core.stopped_at, 5s) << "less than the limit on sending a last answer";
}

// Sends a long answer to each request, closes the connection behind it and stops the loop.
class LastAnswer : public Bounded {
 public:
  static constexpr std::size_t size = 16 * 1024 * 1024;
  void handle_event(Duration, const IoEvent& event, std::vector<Action>& actions) override {
    const auto* request = std::get_if<Received>(&event);
    if (!request)
      return;
    actions.push_back(Send{request->connection, std::string(size, 'x')});
    actions.push_back(Close{request->connection, true});
    actions.push_back(StopLoop{});
  }
};

// Sends a request and reads to the end of the stream. Returns the number of bytes received.
std::size_t bytes_answered(std::uint16_t port, bool half_close) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::size_t received = 0;
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
      ::send(socket, "?", 1, 0) == 1) {
    if (half_close)
      ::shutdown(socket, SHUT_WR);
    std::vector<char> bytes(64 * 1024);
    for (ssize_t got = 0; (got = ::recv(socket, bytes.data(), bytes.size(), 0)) > 0;)
      received += static_cast<std::size_t>(got);
  }
  ::close(socket);
  return received;
}

TEST(Runtime, SendsTheLastAnswerCompletelyBeforeStopping) {
  for (const bool half_close : {false, true}) {
    LastAnswer core;
    std::size_t received = 0;
    std::thread viewer;
    {
      Loop loop(core, {{"127.0.0.1", 0}}, {}, "");
      viewer = std::thread([&, port = loop.port(0)] { received = bytes_answered(port, half_close); });
      loop.run();
    }
    viewer.join();
    EXPECT_FALSE(core.gave_up);
    EXPECT_EQ(received, LastAnswer::size)
        << (half_close ? "after the client shut down its sending side" : "with both directions open");
  }
}

// Guards against closing before a slow reader has the answer: it starts to read after more than the linger
// time, which begins only when the kernel has all bytes. Sees both ends.
class SlowReader : public Bounded {
 public:
  static constexpr std::size_t size = 16 * 1024 * 1024;
  std::uint16_t port = 0;
  std::size_t bytes_received = 0;
  void handle_event(Duration now, const IoEvent& event, std::vector<Action>& actions) override {
    if (!std::exchange(dialled_, true))
      actions.push_back(Dial{1, "127.0.0.1", port});
    if (const auto* accepted = std::get_if<Accepted>(&event)) {
      actions.push_back(Send{accepted->connection, std::string(size, 'x')});
      actions.push_back(Close{accepted->connection, true});
    }
    if (const auto* connected = std::get_if<Connected>(&event)) {
      actions.push_back(PauseReading{connected->connection});
      read_at_ = now + 700ms;
      actions.push_back(StartTimer{read_at_});
    }
    if (std::holds_alternative<TimerFired>(event) && read_at_ > 0s && now >= read_at_) {
      read_at_ = 0s;
      actions.push_back(ResumeReading{1});
      actions.push_back(StartTimer{20s});  // restores the time limit
    }
    if (const auto* received = std::get_if<Received>(&event))
      bytes_received += received->bytes.size();
    if (std::holds_alternative<HalfClosed>(event) || std::holds_alternative<Disconnected>(event))
      actions.push_back(StopLoop{});
  }

 private:
  bool dialled_ = false;
  Duration read_at_{0};
};

TEST(Runtime, ASlowReaderGetsTheCompleteAnswer) {
  SlowReader core;
  Loop loop(core, {{"127.0.0.1", 0}}, {}, "");
  core.port = loop.port(0);
  loop.run();
  EXPECT_FALSE(core.gave_up);
  EXPECT_EQ(core.bytes_received, SlowReader::size);
}

// A manager on real sockets with no video servers: it answers a request, and shuts down when asked.
TEST(Runtime, AManagerWithoutBoxesRejectsAndShutsDown) {
  class Viewer : public Bounded {
   public:
    std::unique_ptr<manager::Manager> front;
    std::uint16_t port = 0;
    std::string answer;
    bool stopped = false;
    void handle_event(Duration now, const IoEvent& event, std::vector<Action>& actions) override {
      // Connection 1000 is the viewer's own.
      if (const auto* connected = std::get_if<Connected>(&event);
          connected && connected->connection == 1000) {
        actions.push_back(Send{1000, "GET /a/t/r0/0 HTTP/1.1\r\nHost: x\r\n\r\n"});
        return;
      }
      if (const auto* received = std::get_if<Received>(&event); received && received->connection == 1000) {
        answer += received->bytes;
        if (answer.find("\r\n\r\n") != std::string::npos && !stopped)
          stopped = true, front->handle(now, ShutdownRequested{}, actions);
        return;
      }
      if (const auto* half = std::get_if<HalfClosed>(&event); half && half->connection == 1000)
        return;
      front->handle(now, event, actions);
      if (!dialled_)
        dialled_ = true, actions.push_back(Dial{1000, "127.0.0.1", port});
    }

   private:
    bool dialled_ = false;
  };
  manager::ManagerSettings terms;
  terms.plans = {{"a", 2s}};
  terms.policy.plans.resize(1);
  terms.policy.plans[0].startup_target = 500ms;
  terms.policy.rung_kb = {10};
  terms.policy.max_retry_after = 2s;
  terms.halls = {"h"};
  Viewer viewer;
  viewer.front = std::make_unique<manager::Manager>(terms, 1, "", nullptr);
  Loop loop(viewer, {{"127.0.0.1", 0}}, {}, "");
  viewer.port = loop.port(0);
  loop.run();
  EXPECT_FALSE(viewer.gave_up);
  EXPECT_TRUE(viewer.answer.starts_with("HTTP/1.1 503")) << viewer.answer;
  EXPECT_NE(viewer.answer.find("Retry-After: "), std::string::npos);
}

TEST(Runtime, SighupDeliversTheCurrentFile) {
  class Waiting : public Bounded {
   public:
    std::string path, text;
    void handle_event(Duration, const IoEvent& event, std::vector<Action>& actions) override {
      if (std::holds_alternative<TimerFired>(event)) {
        std::ofstream(path) << "the second";
        kill(getpid(), SIGHUP);
      }
      if (const auto* reloaded = std::get_if<ConfigReloaded>(&event)) {
        text = reloaded->text;
        actions.push_back(StopLoop{});
      }
    }
  };
  Waiting core;
  core.path = (std::filesystem::temp_directory_path() / "violettide-reread-XXXXXX").string();
  close(mkstemp(core.path.data()));
  std::ofstream(core.path) << "the first";
  Loop loop(core, {}, {}, "");
  loop.reload_on_sighup(core.path);
  loop.run();
  std::filesystem::remove(core.path);
  EXPECT_FALSE(core.gave_up);
  EXPECT_EQ(core.text, "the second");
}

TEST(Runtime, SighupEndsAProcessWithoutAFileToReload) {
  class Waiting : public Bounded {
   public:
    void handle_event(Duration, const IoEvent&, std::vector<Action>&) override { kill(getpid(), SIGHUP); }
  };
  const auto run = [] {
    Waiting core;
    Loop loop(core, {}, {}, "");
    loop.run();
  };
  EXPECT_EXIT(run(), testing::KilledBySignal(SIGHUP), "");
}

}  // namespace
}  // namespace violettide::runtime
