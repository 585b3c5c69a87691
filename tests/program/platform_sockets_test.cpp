// `violettide platform` as a process of its own on loopback sockets, where the kernel's part matters: what
// lies unread, descriptors, signals and the end of a process. The test is its viewers, servers and command
// channel.
#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

namespace violettide {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr auto patience = 15s;  // for what must come; a failure ends too

// Of this test's process alone, so that a port let go is nobody else's.
std::string own_address() {
  const auto pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(64 + (pid >> 16 & 127)) + "." + std::to_string(pid >> 8 & 255) + "." +
         std::to_string(pid & 255);
}

sockaddr_in place_of(std::uint16_t port) {
  sockaddr_in place{};
  place.sin_family = AF_INET;
  place.sin_port = htons(port);
  place.sin_addr.s_addr = ::inet_addr(own_address().c_str());
  return place;
}

// A connected socket, closed with its owner.
class Peer {
 public:
  Peer() = default;
  explicit Peer(int socket) : socket_(socket) {}
  Peer(Peer&& other) noexcept : socket_(std::exchange(other.socket_, -1)) {}
  Peer& operator=(Peer&& other) noexcept {
    std::swap(socket_, other.socket_);
    return *this;
  }
  ~Peer() { close(); }
  static Peer to(std::uint16_t port) {
    Peer peer(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const auto place = place_of(port);
    if (::connect(peer.socket_, reinterpret_cast<const sockaddr*>(&place), sizeof place) != 0)
      peer.close();
    return peer;
  }
  bool open() const { return socket_ >= 0; }
  void say(const std::string& bytes) const {
    EXPECT_EQ(::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
  }
  void try_say(const std::string& bytes) const {  // whatever becomes of it
    (void)!::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  void close() {
    if (socket_ >= 0)
      ::close(std::exchange(socket_, -1));
  }
  void reset() {
    const linger at_once{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close();
  }
  void writes_no_more() const { ::shutdown(socket_, SHUT_WR); }
  // Reads until `part` has come; false if the other side ends or is silent for long.
  bool hear(const std::string& part, std::chrono::milliseconds within = patience) {
    const auto until = Clock::now() + within;
    while (heard.find(part) == std::string::npos) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now());
      if (left <= 0ms || !read(left))
        return false;
    }
    return true;
  }
  // Reads to the end of the connection: if it ended in order.
  bool ended_in_order() {
    while (!ended_ && read(patience)) {
    }
    return ended_ && !broken_;
  }
  std::string heard;

 private:
  bool read(std::chrono::milliseconds within) {
    pollfd ready{socket_, POLLIN, 0};
    if (::poll(&ready, 1, static_cast<int>(within.count())) <= 0)
      return false;
    char bytes[4096];
    const auto count = ::recv(socket_, bytes, sizeof bytes, 0);
    if (count > 0)
      heard.append(bytes, static_cast<std::size_t>(count));
    ended_ = ended_ || count <= 0;
    broken_ = broken_ || count < 0;
    return count > 0;
  }
  int socket_ = -1;
  bool ended_ = false, broken_ = false;
};

class Door {
 public:
  // At a port of one's own choice: 0 takes any that is free.
  explicit Door(std::uint16_t at = 0) : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int again = 1;
    ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &again, sizeof again);
    auto place = place_of(at);
    EXPECT_EQ(::bind(socket_, reinterpret_cast<const sockaddr*>(&place), sizeof place), 0);
    EXPECT_EQ(::listen(socket_, 64), 0);
    socklen_t size = sizeof place;
    ::getsockname(socket_, reinterpret_cast<sockaddr*>(&place), &size);
    port = ntohs(place.sin_port);
  }
  ~Door() { ::close(socket_); }
  std::optional<Peer> accept(std::chrono::milliseconds within = patience) {
    pollfd ready{socket_, POLLIN, 0};
    if (::poll(&ready, 1, static_cast<int>(within.count())) <= 0)
      return std::nullopt;
    return Peer(::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC));
  }
  std::uint16_t port = 0;

 private:
  int socket_;
};

std::string hex(std::uint64_t call) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(call));
  return text;
}
std::string offer(std::uint64_t call, int left_ms = 1500) {
  return R"({"op":"offer","call":")" + hex(call) + R"(","with":{"class":"triage","left":")" +
         std::to_string(left_ms) +
         R"(","key":"t1","hint":"8000","extras":"home:0;copies:1;top:0"},"desc":"d\r\n"})" + "\n";
}
const std::string test_words = R"({"op":"test","call":"00000000000000fe","with":{},"why":0})"
                               "\n";
std::string binary(int type, std::uint64_t call, int code, const std::string& value) {
  std::string body(1, static_cast<char>(type));
  for (int shift = 56; shift >= 0; shift -= 8)
    body += static_cast<char>(call >> shift & 255);
  body += static_cast<char>(code);
  body += static_cast<char>(value.size() >> 8);
  body += static_cast<char>(value.size() & 255);
  body += value;
  return std::string(1, static_cast<char>(body.size() >> 8)) + static_cast<char>(body.size() & 255) + body;
}
std::string accept_of(std::uint64_t call) { return binary(9, call, 174, "s\r\n"); }
std::string release_of(std::uint64_t call, char cause) {
  return binary(12, call, 171, std::string(1, cause));
}
std::string bytes_of(std::uint64_t call) { return binary(0, call, 0, "").substr(3, 8); }

class PlatformProcess : public ::testing::Test {
 protected:
  void SetUp() override {
    folder_ = (std::filesystem::temp_directory_path() / "violettide-sockets-XXXXXX").string();
    ASSERT_NE(mkdtemp(folder_.data()), nullptr);
    Door place;  // a free port, let go for the process to listen at
    port_ = place.port;
  }
  void TearDown() override {
    if (process_ > 0) {
      ::kill(process_, SIGKILL);
      ::waitpid(process_, nullptr, 0);
    }
    std::filesystem::remove_all(folder_);
  }
  std::string listed(std::uint16_t server, const std::string& status = "Ready") const {
    return R"({"cursor":1,"nodes":{"snapshot":true,"endpoints":[{"name":"s-a","address":")" + own_address() +
           ":" + std::to_string(server) + R"(","zone":"h","type":"std","group":0,"status":")" + status +
           R"(","weight":1,"since_ms":0}]}})";
  }
  void start(std::uint16_t server, std::uint16_t channel, int sockets = 256, const std::string& known = "") {
    const auto path = folder_ + "/config.json";
    std::ofstream(path)
        << R"({"name":"n1","listen":")" << own_address() << ":" << port_
        << R"(","seed":"7","limits":{"sockets":)" << sockets << R"(},"channel":")" << own_address() << ":"
        << channel << R"(","known":{"cursor":1,"cmds":[)" << (known.empty() ? listed(server) : known)
        << R"(]},"settings":{"Balancers":1,"Me":0,"Classes":[{"Name":"triage","Aim":900000,)"
           R"("GiveUp":1500000,"Idempotency":"free"}],"FamilyInfo":{"RatesKb":[1],)"
           R"("KindSlots":[50],"KbPerWeight":1000,"Places":1},"Models":["std"],"Zones":["h"],)"
           R"("Limits":{"SendCap":3,"DialTimeout":250000,"ConnIdle":15000000}}})";
    process_ = ::fork();
    ASSERT_GE(process_, 0);
    if (process_ == 0) {
      ::setenv("GW_CONFIG", path.c_str(), 1);
      const int log = ::open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT, 0600);
      ::dup2(log, 2);
      rlimit limit{};
      limit.rlim_cur = limit.rlim_max = static_cast<rlim_t>(sockets);
      ::setrlimit(RLIMIT_NOFILE, &limit);
      ::execl(PROGRAM, PROGRAM, "platform", nullptr);
      ::_exit(127);
    }
    const auto until = Clock::now() + patience;
    while (Clock::now() < until) {
      if (auto peer = Peer::to(port_); peer.open()) {
        peer.say(test_words);
        ASSERT_TRUE(peer.hear("\"tested\""));
        first_test = peer.heard;
        return;
      }
      ::usleep(2000);  // until it listens: nothing else tells
    }
    FAIL() << "it does not listen";
  }
  void signal(int number) const { ::kill(process_, number); }
  // Stopped when it returns: what comes from then on lies unread until it goes on.
  void stop() const {
    signal(SIGSTOP);
    int status = 0;
    EXPECT_EQ(::waitpid(process_, &status, WUNTRACED), process_);
    EXPECT_TRUE(WIFSTOPPED(status));
  }
  void go_on() const { signal(SIGCONT); }
  // Its exit code, once it has ended by itself.
  std::optional<int> ends(std::chrono::milliseconds within) {
    const auto until = Clock::now() + within;
    for (int status = 0; Clock::now() < until; ::usleep(2000)) {
      if (::waitpid(process_, &status, WNOHANG) != process_)
        continue;
      process_ = 0;
      return WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + WTERMSIG(status);
    }
    return std::nullopt;
  }

  // This viewer's playback 1 plays; `box`: the server's end of the connection that was dialled for it.
  void play(Peer& viewer, Door& server, std::optional<Peer>& box) {
    viewer.say(offer(1));
    box = server.accept();
    ASSERT_TRUE(box && box->hear(bytes_of(1)));
    box->say(accept_of(1));
    ASSERT_TRUE(viewer.hear("\"accept\""));
  }

  std::string folder_, first_test;
  std::uint16_t port_ = 0;
  pid_t process_ = 0;
};

// Stopped, a process reads later what came in any order: a request and its client's end lie side by side.
TEST_F(PlatformProcess, ARequestWhoseClientHasGoneBeforeItIsReadIsNotSentOn) {
  Door server, channel;
  start(server.port, channel.port);
  auto first = Peer::to(port_);
  std::optional<Peer> box;
  ASSERT_NO_FATAL_FAILURE(play(first, server, box));
  stop();
  std::vector<Peer> leavers;
  for (std::uint64_t call = 16; call < 24; ++call) {
    auto peer = Peer::to(port_);
    peer.say(offer(call));
    if (call % 3 == 0)
      peer.close();
    if (call % 3 == 1)
      peer.reset();
    if (call % 3 == 2)
      peer.writes_no_more(), leavers.push_back(std::move(peer));
  }
  auto last = Peer::to(port_);
  last.say(offer(2));
  go_on();
  ASSERT_TRUE(box->hear(bytes_of(2))) << "whoever stays is served";
  for (std::uint64_t call = 16; call < 24; ++call)
    EXPECT_EQ(box->heard.find(bytes_of(call)), std::string::npos) << call;
}

// The request waits for a dial; its client leaves before the server is there. Then both in one turn.
TEST_F(PlatformProcess, AnAttemptThatWaitsForItsDialIsNotMadeForAClientWhoLeft) {
  Door server, channel;
  start(server.port, channel.port);
  stop();
  auto peer = Peer::to(port_);
  peer.say(offer(1));
  go_on();
  auto box = server.accept();
  ASSERT_TRUE(box);
  stop();  // the dial may be up or not: unread either way
  peer.close();
  go_on();
  auto next = Peer::to(port_);
  next.say(offer(2));
  ASSERT_TRUE(box->hear(bytes_of(2)));
  const auto set_up = box->heard.find(bytes_of(1));
  if (set_up != std::string::npos) {
    EXPECT_NE(box->heard.find(bytes_of(1), set_up + 1), std::string::npos) << "sent before: given up then";
  }
}

TEST_F(PlatformProcess, IdleClientsWhoFillTheDescriptorsWhileDiscoveryIsDownCostNobodyElseAnything) {
  Door server;
  std::uint16_t channel_port = 0;
  {
    Door gone;
    channel_port = gone.port;
  }  // discovery is down from the start
  start(server.port, channel_port, 128);
  std::vector<Peer> idle;
  for (int i = 0; i < 200; ++i)
    idle.push_back(Peer::to(port_));
  auto box = std::optional<Peer>();
  const auto until = Clock::now() + patience;
  std::uint64_t call = 0;
  for (bool served = false; !served && Clock::now() < until;) {
    auto peer = Peer::to(port_);
    if (!peer.open())
      continue;
    peer.try_say(offer(++call));
    if (!box)
      box = server.accept(500ms);
    if (!box || !box->hear(bytes_of(call), 500ms))
      continue;
    box->say(accept_of(call));
    served = peer.hear("\"accept\"", 1s);
  }
  EXPECT_LT(Clock::now(), until) << "a place for the next client and a connection to the server are kept";
  // Discovery returns: its place is dialled again, with a descriptor that was kept.
  Door back(channel_port);
  auto channel = back.accept();
  ASSERT_TRUE(channel);
  EXPECT_TRUE(channel->hear("resume 1\n"));
}

TEST_F(PlatformProcess, AStopAnswersAllTakenAndEndsByItselfInTime) {
  Door server, channel;
  start(server.port, channel.port);
  auto playing = Peer::to(port_);
  std::optional<Peer> box;
  ASSERT_NO_FATAL_FAILURE(play(playing, server, box));
  auto waiting = Peer::to(port_);
  waiting.say(offer(2, 3000));
  ASSERT_TRUE(box->hear(bytes_of(2)));
  signal(SIGTERM);
  signal(SIGTERM);
  auto never_reads = Peer::to(port_);
  auto late = Peer::to(port_);
  late.say(offer(3));
  ASSERT_TRUE(box->hear(bytes_of(3))) << "who comes after the word is served";
  box->say(release_of(3, 34));
  EXPECT_TRUE(late.hear("\"end\""));
  waiting.say("{\"op\":");  // a line half written lies unread to the end
  EXPECT_TRUE(waiting.hear("\"end\"")) << "answered before it goes";
  EXPECT_TRUE(waiting.ended_in_order()) << "and not cut by a reset";
  EXPECT_EQ(ends(patience), 0) << "by itself, whoever reads nothing; how soon is the core's test";
}

TEST_F(PlatformProcess, AProcessWithoutAReadyServerSaysSoByItsTestAndRecovers) {
  Door server, channel;
  start(server.port, channel.port, 256, listed(server.port, "Terminating"));
  EXPECT_NE(first_test.find("\"why\":0"), std::string::npos) << first_test;
  auto follows = channel.accept();
  ASSERT_TRUE(follows && follows->hear("resume 1\n"));
  auto event = listed(server.port);
  event.replace(event.find("\"cursor\":1"), 10, "\"cursor\":2");
  follows->say(event + "\n");
  const auto until = Clock::now() + patience;
  bool passed = false;
  while (!passed && Clock::now() < until) {
    auto peer = Peer::to(port_);
    peer.say(test_words);
    ASSERT_TRUE(peer.hear("\"tested\""));
    passed = peer.heard.find("\"why\":1") != std::string::npos;
  }
  EXPECT_TRUE(passed);
}

TEST_F(PlatformProcess, OneKilledInItsFirstSecondStartsUnderItsNameAndTakesWhatPeersTellOfAgain) {
  Door server, channel;
  start(server.port, channel.port);
  signal(SIGKILL);
  ASSERT_EQ(ends(patience), 1000 + SIGKILL);
  start(server.port, channel.port);
  auto peer = Peer::to(port_);
  auto stands = offer(5);
  stands.replace(stands.find("top:0"), 5, "top:0;at:s-a");
  peer.say(stands + test_words);
  auto box = server.accept();
  ASSERT_TRUE(box) << "what plays is wanted connected";
  box->say(release_of(5, 16));
  EXPECT_TRUE(peer.hear("\"end\"")) << "and its end is told";
}

}  // namespace
}  // namespace violettide
