// The runtime on loopback sockets: free ports, events waited for, every loop bounded by its own core.
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

// Gives up after a while, so that a failure ends too.
class Bounded : public Core {
 public:
  bool gave_up = false;
  void handle(Duration now, const IoEvent& what, std::vector<Action>& actions) final {
    if (!began_)
      began_ = true, actions.push_back(StartTimer{limit});
    if (now >= limit) {
      gave_up = true;
      actions.push_back(StopLoop{});
      return;
    }
    happened(now, what, actions);
  }
  virtual void happened(Duration now, const IoEvent& what, std::vector<Action>& actions) = 0;

 private:
  static constexpr Duration limit = 20s;
  bool began_ = false;
};

// One core that listens and dials itself: it sees both ends.
class Echo : public Bounded {
 public:
  std::uint16_t port = 0;
  std::string sent, back;
  bool half_closed = false, refused = false, reset = false;
  ConnectionId server = 0;
  void happened(Duration, const IoEvent& what, std::vector<Action>& actions) override {
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
               what);
  }

 private:
  std::size_t echoed_ = 0;
};

TEST(Runtime, SendsAllThenClosesThenRefuses) {
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

// A sender to a reader that holds: what is unsent stays until it resumes, and Flushed says when it left.
class Holder : public Bounded {
 public:
  std::uint16_t port = 0;
  std::size_t got = 0, got_while_held = 0;
  bool flushed_early = false, flushed = false;
  static constexpr std::size_t size = 32 * 1024 * 1024;
  void happened(Duration now, const IoEvent& what, std::vector<Action>& actions) override {
    std::visit(Overloaded{
                   [&](const TimerFired&) {
                     if (!dialled_)
                       dialled_ = true, actions.push_back(Dial{1, "127.0.0.1", port});
                     else if (now >= resume_at_ && held_)
                       held_ = false, actions.push_back(ResumeReading{1});
                   },
                   [&](const Accepted& a) {
                     actions.push_back(Send{a.connection, std::string(size, 'x')});
                   },
                   [&](const Connected&) {
                     held_ = true;
                     resume_at_ = now + 200ms;
                     actions.push_back(PauseReading{1});
                     actions.push_back(StartTimer{resume_at_});
                   },
                   [&](const Flushed& f) {
                     if (f.connection < first_accepted)
                       return;
                     flushed = true;
                     flushed_early = held_;
                   },
                   [&](const Received& r) {
                     if (held_)
                       got_while_held += r.bytes.size();
                     got += r.bytes.size();
                     if (got == size)
                       actions.push_back(StopLoop{});
                   },
                   [&](const auto&) {},
               },
               what);
  }

 private:
  bool dialled_ = false, held_ = false;
  Duration resume_at_{0};
};

TEST(Runtime, AHeldReaderHoldsItsSender) {
  Holder holder;
  Loop loop(holder, {{"127.0.0.1", 0}}, {}, "");
  holder.port = loop.port(0);
  loop.run();
  EXPECT_FALSE(holder.gave_up);
  EXPECT_EQ(holder.got, Holder::size);
  EXPECT_EQ(holder.got_while_held, 0u);
  EXPECT_FALSE(holder.flushed_early);
}

TEST(Runtime, ADoorThatIsTakenSaysSo) {
  Echo one, two;
  Loop first(one, {{"127.0.0.1", 0}}, {}, "");
  try {
    Loop second(two, {{"127.0.0.1", first.port(0)}}, {}, "");
    FAIL() << "two listen at one port";
  } catch (const LoopError& failed) {
    EXPECT_NE(failed.what.find("listening at 127.0.0.1:"), std::string::npos) << failed.what;
  }
  EXPECT_THROW(Loop(two, {{"not an address", 1}}, {}, ""), LoopError);
}

// The manager itself on sockets, with nothing behind it: it answers, and stops in order when asked.
// A dial that can't even be begun is told, as this machine's doing and no peer's, and the time that was
// asked for still comes.
TEST(Runtime, ADialThatFailsAtOnceIsToldAsOursAndTakesNoTimer) {
  class Dialler : public Core {
   public:
    bool unable = false, woken = false;
    void handle(Duration now, const IoEvent& what, std::vector<Action>& actions) override {
      if (!std::exchange(began_, true)) {
        actions.push_back(StartTimer{now + 50ms});
        actions.push_back(Dial{1, "box-1.example", 80});
        due_ = now + 50ms;
        return;
      }
      if (const auto* ended = std::get_if<Disconnected>(&what))
        unable = ended->reason == CloseReason::local_failure && !woken;
      if (std::holds_alternative<TimerFired>(what) && now >= due_)
        woken = true;
      if (woken)
        actions.push_back(StopLoop{});
    }

   private:
    bool began_ = false;
    Duration due_{0};
  };
  Dialler dialler;
  Loop loop(dialler, {}, {}, "");
  loop.run();
  EXPECT_TRUE(dialler.unable);
  EXPECT_TRUE(dialler.woken);
}

// A machine without a descriptor left refuses nobody: what the peer does and what is ours are told apart.
TEST(Runtime, ARefusalIsThePeersAndAWantOfDescriptorsOurs) {
  class Dialler : public Bounded {
   public:
    std::vector<CloseReason> ends;
    std::uint16_t nobody = 0;
    void happened(Duration, const IoEvent& what, std::vector<Action>& actions) override {
      if (!std::exchange(began_, true))
        actions.push_back(Dial{1, "127.0.0.1", nobody});
      const auto* ended = std::get_if<Disconnected>(&what);
      if (!ended)
        return;
      ends.push_back(ended->reason);
      if (ends.size() == 2)
        return actions.push_back(StopLoop{});
      rlimit limit{};
      getrlimit(RLIMIT_NOFILE, &limit);
      was_ = limit.rlim_cur;
      limit.rlim_cur = 3;
      setrlimit(RLIMIT_NOFILE, &limit);
      actions.push_back(Dial{2, "127.0.0.1", nobody});
    }
    ~Dialler() override {
      rlimit limit{};
      getrlimit(RLIMIT_NOFILE, &limit);
      limit.rlim_cur = was_;
      setrlimit(RLIMIT_NOFILE, &limit);
    }

   private:
    bool began_ = false;
    rlim_t was_ = RLIM_INFINITY;
  };
  Echo taken;
  Dialler core;
  {
    Loop other(taken, {{"127.0.0.1", 0}}, {}, "");
    core.nobody = other.port(0);
  }  // nobody listens there now
  Loop loop(core, {}, {}, "");
  loop.run();
  EXPECT_FALSE(core.gave_up);
  EXPECT_EQ(core.ends, (std::vector{CloseReason::refused, CloseReason::local_failure}));
}

// A client's words and its end, all written before this process looks: its end is told before InputDrained.
TEST(Runtime, AllThatHadComeIsToldBeforeSettled) {
  class Settling : public Bounded {
   public:
    std::string order;
    std::function<void()> comes;
    void happened(Duration, const IoEvent& what, std::vector<Action>& actions) override {
      if (!std::exchange(began_, true))
        comes();
      if (std::holds_alternative<Received>(what)) {
        order += 'r';
        actions.push_back(DrainInput{});
      }
      if (std::holds_alternative<HalfClosed>(what) || std::holds_alternative<Disconnected>(what))
        order += 'e';
      if (std::holds_alternative<InputDrained>(what)) {
        order += 's';
        actions.push_back(StopLoop{});
      }
    }

   private:
    bool began_ = false;
  };
  for (const bool reset : {false, true}) {
    Settling core;
    Loop loop(core, {{"127.0.0.1", 0}}, {}, "");
    core.comes = [&] {
      const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
      sockaddr_in place{};
      place.sin_family = AF_INET;
      place.sin_port = htons(loop.port(0));
      place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      ASSERT_EQ(::connect(socket, reinterpret_cast<const sockaddr*>(&place), sizeof place), 0);
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

// A core that waits for a time and is woken before it would wait for good. It asks late in a millisecond of
// the machine's clock and takes a further turn early in the next, where a timer of whole ones rings early.
TEST(Runtime, NobodyIsWokenBeforeTheTimeAskedFor) {
  class Sleeper : public Core {
   public:
    int woken = 0, early = 0;
    void handle(Duration now, const IoEvent& what, std::vector<Action>& actions) override {
      if (std::holds_alternative<TimerFired>(what)) {
        if (at_ > 0s)
          ++woken, early += now < at_;
        if (woken == 50)
          return actions.push_back(StopLoop{});
        while (in_millisecond() < 800) {
        }
        turn_ = 0;
        return actions.push_back(DrainInput{});  // for a turn whose time is read now
      }
      if (!std::holds_alternative<InputDrained>(what))
        return;
      if (turn_++ == 0) {
        at_ = now + 3ms;
        actions.push_back(StartTimer{at_});
        return actions.push_back(DrainInput{});
      }
      while (in_millisecond() >= 800) {
      }
    }

   private:
    static std::uint64_t in_millisecond() { return Loop::machine_clock_us() % 1000; }
    Duration at_{0};
    int turn_ = 0;
  };
  Sleeper core;
  Loop loop(core, {}, {}, "");
  loop.run();
  EXPECT_EQ(core.woken, 50);
  EXPECT_EQ(core.early, 0);
}

// Sends more than any buffer holds to a reader who reads nothing, and leaves.
TEST(Runtime, AReaderWhoReadsNothingKeepsNobodyWhoLeaves) {
  class Unread : public Bounded {
   public:
    std::uint16_t port = 0;
    Duration left_at{0};
    void happened(Duration now, const IoEvent& what, std::vector<Action>& actions) override {
      if (!std::exchange(dialled_, true))
        actions.push_back(Dial{1, "127.0.0.1", port});
      if (std::holds_alternative<Connected>(what))
        actions.push_back(PauseReading{1}), held_ = true;
      if (const auto* accepted = std::get_if<Accepted>(&what))
        to_ = accepted->connection;
      if (!held_ || to_ == 0)
        return;
      actions.push_back(Send{to_, std::string(64 * 1024 * 1024, 'x')});
      actions.push_back(Close{to_, true});
      actions.push_back(StopLoop{100ms});
      left_at = now;
    }

   private:
    bool dialled_ = false, held_ = false;
    ConnectionId to_ = 0;
  };
  Unread core;
  Loop loop(core, {{"127.0.0.1", 0}}, {}, "");
  core.port = loop.port(0);
  loop.run();
  EXPECT_FALSE(core.gave_up);
  EXPECT_LT(loop.now() - core.left_at, 5s) << "far less than a last answer may take";
}

// Sends a long answer to whoever asks, hangs up behind it and leaves.
class LastAnswer : public Bounded {
 public:
  static constexpr std::size_t size = 16 * 1024 * 1024;
  void happened(Duration, const IoEvent& what, std::vector<Action>& actions) override {
    const auto* asked = std::get_if<Received>(&what);
    if (!asked)
      return;
    actions.push_back(Send{asked->connection, std::string(size, 'x')});
    actions.push_back(Close{asked->connection, true});
    actions.push_back(StopLoop{});
  }
};

// Asks, and reads to the end. How many bytes came.
std::size_t asks(std::uint16_t port, bool writes_no_more) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in place{};
  place.sin_family = AF_INET;
  place.sin_port = htons(port);
  place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::size_t came = 0;
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&place), sizeof place) == 0 &&
      ::send(socket, "?", 1, 0) == 1) {
    if (writes_no_more)
      ::shutdown(socket, SHUT_WR);
    std::vector<char> bytes(64 * 1024);
    for (ssize_t got = 0; (got = ::recv(socket, bytes.data(), bytes.size(), 0)) > 0;)
      came += static_cast<std::size_t>(got);
  }
  ::close(socket);
  return came;
}

TEST(Runtime, TheLastAnswerIsWholeBeforeItLeaves) {
  for (const bool writes_no_more : {false, true}) {
    LastAnswer core;
    std::size_t came = 0;
    std::thread viewer;
    {
      Loop loop(core, {{"127.0.0.1", 0}}, {}, "");
      viewer = std::thread([&, port = loop.port(0)] { came = asks(port, writes_no_more); });
      loop.run();
    }
    viewer.join();
    EXPECT_FALSE(core.gave_up);
    EXPECT_EQ(came, LastAnswer::size) << (writes_no_more ? "having written its last" : "still open to write");
  }
}

// A reader that is slower than the time to linger, which begins when all is with the kernel. It sees both
// ends.
class SlowReader : public Bounded {
 public:
  static constexpr std::size_t size = 16 * 1024 * 1024;
  std::uint16_t port = 0;
  std::size_t came = 0;
  void happened(Duration now, const IoEvent& what, std::vector<Action>& actions) override {
    if (!std::exchange(dialled_, true))
      actions.push_back(Dial{1, "127.0.0.1", port});
    if (const auto* accepted = std::get_if<Accepted>(&what)) {
      actions.push_back(Send{accepted->connection, std::string(size, 'x')});
      actions.push_back(Close{accepted->connection, true});
    }
    if (const auto* connected = std::get_if<Connected>(&what)) {
      actions.push_back(PauseReading{connected->connection});
      read_at_ = now + 700ms;
      actions.push_back(StartTimer{read_at_});
    }
    if (std::holds_alternative<TimerFired>(what) && read_at_ > 0s && now >= read_at_) {
      read_at_ = 0s;
      actions.push_back(ResumeReading{1});
      actions.push_back(StartTimer{20s});  // the bound again
    }
    if (const auto* received = std::get_if<Received>(&what))
      came += received->bytes.size();
    if (std::holds_alternative<HalfClosed>(what) || std::holds_alternative<Disconnected>(what))
      actions.push_back(StopLoop{});
  }

 private:
  bool dialled_ = false;
  Duration read_at_{0};
};

TEST(Runtime, ASlowReaderGetsItsAnswerWhole) {
  SlowReader core;
  Loop loop(core, {{"127.0.0.1", 0}}, {}, "");
  core.port = loop.port(0);
  loop.run();
  EXPECT_FALSE(core.gave_up);
  EXPECT_EQ(core.came, SlowReader::size);
}

TEST(Runtime, AManagerWithoutBoxesRejectsAndStopsInOrder) {
  class Viewer : public Bounded {
   public:
    std::unique_ptr<manager::Manager> front;
    std::uint16_t port = 0;
    std::string answer;
    bool stopped = false;
    void happened(Duration now, const IoEvent& what, std::vector<Action>& actions) override {
      // Links 1000 and up are the viewer's own.
      if (const auto* connected = std::get_if<Connected>(&what); connected && connected->connection == 1000) {
        actions.push_back(Send{1000, "GET /a/t/r0/0 HTTP/1.1\r\nHost: x\r\n\r\n"});
        return;
      }
      if (const auto* received = std::get_if<Received>(&what); received && received->connection == 1000) {
        answer += received->bytes;
        if (answer.find("\r\n\r\n") != std::string::npos && !stopped)
          stopped = true, front->handle(now, ShutdownRequested{}, actions);
        return;
      }
      if (const auto* half = std::get_if<HalfClosed>(&what); half && half->connection == 1000)
        return;
      front->handle(now, what, actions);
      if (!dialled_)
        dialled_ = true, actions.push_back(Dial{1000, "127.0.0.1", port});
    }

   private:
    bool dialled_ = false;
  };
  manager::FrontTerms terms;
  terms.plans = {{"a", 2s}};
  terms.site.plans.resize(1);
  terms.site.plans[0].startup_target = 500ms;
  terms.site.rung_kb = {10};
  terms.site.max_retry_after = 2s;
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

TEST(Runtime, AHangupBringsTheFileAsItIsThen) {
  class Waiting : public Bounded {
   public:
    std::string path, text;
    void happened(Duration, const IoEvent& what, std::vector<Action>& actions) override {
      if (std::holds_alternative<TimerFired>(what)) {
        std::ofstream(path) << "the second";
        kill(getpid(), SIGHUP);
      }
      if (const auto* reread = std::get_if<ConfigReloaded>(&what)) {
        text = reread->text;
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

TEST(Runtime, AHangupEndsWhoHasNoFileToReadAgain) {
  class Waiting : public Bounded {
   public:
    void happened(Duration, const IoEvent&, std::vector<Action>&) override { kill(getpid(), SIGHUP); }
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
