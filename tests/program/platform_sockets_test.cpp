// Runs `violettide platform` as a process on loopback sockets, to test what depends on the kernel: unread
// input, descriptors, signals and the exit of the process. The test acts as the viewers, the servers and the
// command channel.
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

constexpr auto wait_timeout = 15s;  // for expected events, so that a failing test ends too

// A loopback address of this test process alone, so that no other process takes a port that it has closed.
std::string own_address() {
  const auto pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(64 + (pid >> 16 & 127)) + "." + std::to_string(pid >> 8 & 255) + "." +
         std::to_string(pid & 255);
}

sockaddr_in socket_address(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = ::inet_addr(own_address().c_str());
  return address;
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
    const auto address = socket_address(port);
    if (::connect(peer.socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
      peer.close();
    return peer;
  }
  bool open() const { return socket_ >= 0; }
  void send_bytes(const std::string& bytes) const {
    EXPECT_EQ(::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
  }
  void try_send(const std::string& bytes) const {  // ignores errors
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
  void shutdown_write() const { ::shutdown(socket_, SHUT_WR); }
  // Reads until `part` is received; false if the peer closes the connection or the timeout passes.
  bool receive_until(const std::string& part, std::chrono::milliseconds timeout = wait_timeout) {
    const auto until = Clock::now() + timeout;
    while (received.find(part) == std::string::npos) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now());
      if (left <= 0ms || !read(left))
        return false;
    }
    return true;
  }
  // Reads to the end of the connection; true if it was closed without a reset.
  bool closed_cleanly() {
    while (!ended_ && read(wait_timeout)) {
    }
    return ended_ && !failed_;
  }
  std::string received;

 private:
  bool read(std::chrono::milliseconds timeout) {
    pollfd ready{socket_, POLLIN, 0};
    if (::poll(&ready, 1, static_cast<int>(timeout.count())) <= 0)
      return false;
    char bytes[4096];
    const auto count = ::recv(socket_, bytes, sizeof bytes, 0);
    if (count > 0)
      received.append(bytes, static_cast<std::size_t>(count));
    ended_ = ended_ || count <= 0;
    failed_ = failed_ || count < 0;
    return count > 0;
  }
  int socket_ = -1;
  bool ended_ = false, failed_ = false;
};

// A listening socket.
class Listener {
 public:
  // Port 0 takes any free port.
  explicit Listener(std::uint16_t requested_port = 0)
      : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int reuse = 1;
    ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    auto address = socket_address(requested_port);
    EXPECT_EQ(::bind(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
    EXPECT_EQ(::listen(socket_, 64), 0);
    socklen_t size = sizeof address;
    ::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
  }
  ~Listener() { ::close(socket_); }
  std::optional<Peer> accept(std::chrono::milliseconds timeout = wait_timeout) {
    pollfd ready{socket_, POLLIN, 0};
    if (::poll(&ready, 1, static_cast<int>(timeout.count())) <= 0)
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
const std::string test_request = R"({"op":"test","call":"00000000000000fe","with":{},"why":0})"
                                 "\n";
std::string binary_message(int type, std::uint64_t call, int code, const std::string& value) {
  std::string body(1, static_cast<char>(type));
  for (int shift = 56; shift >= 0; shift -= 8)
    body += static_cast<char>(call >> shift & 255);
  body += static_cast<char>(code);
  body += static_cast<char>(value.size() >> 8);
  body += static_cast<char>(value.size() & 255);
  body += value;
  return std::string(1, static_cast<char>(body.size() >> 8)) + static_cast<char>(body.size() & 255) + body;
}
std::string accept_message(std::uint64_t call) { return binary_message(9, call, 174, "s\r\n"); }
std::string release_message(std::uint64_t call, char cause) {
  return binary_message(12, call, 171, std::string(1, cause));
}
std::string call_bytes(std::uint64_t call) { return binary_message(0, call, 0, "").substr(3, 8); }

class PlatformProcess : public ::testing::Test {
 protected:
  void SetUp() override {
    folder_ = (std::filesystem::temp_directory_path() / "violettide-sockets-XXXXXX").string();
    ASSERT_NE(mkdtemp(folder_.data()), nullptr);
    Listener free_port_listener;  // a free port, released for the process
    port_ = free_port_listener.port;
  }
  void TearDown() override {
    if (process_ > 0) {
      ::kill(process_, SIGKILL);
      ::waitpid(process_, nullptr, 0);
    }
    std::filesystem::remove_all(folder_);
  }
  std::string list_event(std::uint16_t server, const std::string& status = "Ready") const {
    return R"({"cursor":1,"nodes":{"snapshot":true,"endpoints":[{"name":"s-a","address":")" + own_address() +
           ":" + std::to_string(server) + R"(","zone":"h","type":"std","group":0,"status":")" + status +
           R"(","weight":1,"since_ms":0}]}})";
  }
  void start(std::uint16_t server, std::uint16_t channel, int sockets = 256,
             const std::string& known_events = "") {
    const auto path = folder_ + "/config.json";
    std::ofstream(path)
        << R"({"name":"n1","listen":")" << own_address() << ":" << port_
        << R"(","seed":"7","limits":{"sockets":)" << sockets << R"(},"channel":")" << own_address() << ":"
        << channel << R"(","known":{"cursor":1,"cmds":[)"
        << (known_events.empty() ? list_event(server) : known_events)
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
    const auto until = Clock::now() + wait_timeout;
    while (Clock::now() < until) {
      if (auto peer = Peer::to(port_); peer.open()) {
        peer.send_bytes(test_request);
        ASSERT_TRUE(peer.receive_until("\"tested\""));
        first_test_reply = peer.received;
        return;
      }
      ::usleep(2000);  // polls, as nothing reports that it listens
    }
    FAIL() << "the process does not listen";
  }
  void send_signal(int number) const { ::kill(process_, number); }
  // Returns once the process is stopped: later input stays unread until resume().
  void suspend() const {
    send_signal(SIGSTOP);
    int status = 0;
    EXPECT_EQ(::waitpid(process_, &status, WUNTRACED), process_);
    EXPECT_TRUE(WIFSTOPPED(status));
  }
  void resume() const { send_signal(SIGCONT); }
  // Returns its exit code, or 1000 plus the signal; nothing if it still runs at the timeout.
  std::optional<int> wait_for_exit(std::chrono::milliseconds timeout) {
    const auto until = Clock::now() + timeout;
    for (int status = 0; Clock::now() < until; ::usleep(2000)) {
      if (::waitpid(process_, &status, WNOHANG) != process_)
        continue;
      process_ = 0;
      return WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + WTERMSIG(status);
    }
    return std::nullopt;
  }

  // Starts playback 1 of this viewer. `server_peer`: the server's end of the connection dialled for it.
  void start_playback(Peer& viewer, Listener& server, std::optional<Peer>& server_peer) {
    viewer.send_bytes(offer(1));
    server_peer = server.accept();
    ASSERT_TRUE(server_peer && server_peer->receive_until(call_bytes(1)));
    server_peer->send_bytes(accept_message(1));
    ASSERT_TRUE(viewer.receive_until("\"accept\""));
  }

  std::string folder_, first_test_reply;
  std::uint16_t port_ = 0;
  pid_t process_ = 0;
};

// Guards against sending on a request whose viewer has closed the connection: after SIGSTOP the process reads
// both at once.
TEST_F(PlatformProcess, DoesNotForwardARequestWhoseViewerLeftBeforeItWasRead) {
  Listener server, channel;
  start(server.port, channel.port);
  auto first = Peer::to(port_);
  std::optional<Peer> server_peer;
  ASSERT_NO_FATAL_FAILURE(start_playback(first, server, server_peer));
  suspend();
  std::vector<Peer> leaving;
  for (std::uint64_t call = 16; call < 24; ++call) {
    auto peer = Peer::to(port_);
    peer.send_bytes(offer(call));
    if (call % 3 == 0)
      peer.close();
    if (call % 3 == 1)
      peer.reset();
    if (call % 3 == 2)
      peer.shutdown_write(), leaving.push_back(std::move(peer));
  }
  auto last = Peer::to(port_);
  last.send_bytes(offer(2));
  resume();
  ASSERT_TRUE(server_peer->receive_until(call_bytes(2))) << "the viewer that stays is served";
  for (std::uint64_t call = 16; call < 24; ++call)
    EXPECT_EQ(server_peer->received.find(call_bytes(call)), std::string::npos) << call;
}

// Guards against sending a try whose viewer leaves during the dial: the process may read both events in one
// event loop turn.
TEST_F(PlatformProcess, DoesNotTryForAViewerWhoLeavesDuringTheDial) {
  Listener server, channel;
  start(server.port, channel.port);
  suspend();
  auto peer = Peer::to(port_);
  peer.send_bytes(offer(1));
  resume();
  auto server_peer = server.accept();
  ASSERT_TRUE(server_peer);
  suspend();  // established or not, the dial's result is unread
  peer.close();
  resume();
  auto next = Peer::to(port_);
  next.send_bytes(offer(2));
  ASSERT_TRUE(server_peer->receive_until(call_bytes(2)));
  const auto sent_at = server_peer->received.find(call_bytes(1));
  if (sent_at != std::string::npos) {
    EXPECT_NE(server_peer->received.find(call_bytes(1), sent_at + 1), std::string::npos)
        << "sent before, so it must be released";
  }
}

TEST_F(PlatformProcess, IdleViewersDoNotUseUpTheDescriptorsWhileTheChannelIsDown) {
  Listener server;
  std::uint16_t channel_port = 0;
  {
    Listener closed_listener;
    channel_port = closed_listener.port;
  }  // the command channel is down from the start
  start(server.port, channel_port, 128);
  std::vector<Peer> idle;
  for (int i = 0; i < 200; ++i)
    idle.push_back(Peer::to(port_));
  auto server_peer = std::optional<Peer>();
  const auto until = Clock::now() + wait_timeout;
  std::uint64_t call = 0;
  for (bool served = false; !served && Clock::now() < until;) {
    auto peer = Peer::to(port_);
    if (!peer.open())
      continue;
    peer.try_send(offer(++call));
    if (!server_peer)
      server_peer = server.accept(500ms);
    if (!server_peer || !server_peer->receive_until(call_bytes(call), 500ms))
      continue;
    server_peer->send_bytes(accept_message(call));
    served = peer.receive_until("\"accept\"", 1s);
  }
  EXPECT_LT(Clock::now(), until) << "descriptors for the next viewer and for the server are reserved";
  // The command channel is back: it is redialled with a reserved descriptor.
  Listener restored_listener(channel_port);
  auto channel = restored_listener.accept();
  ASSERT_TRUE(channel);
  EXPECT_TRUE(channel->receive_until("resume 1\n"));
}

TEST_F(PlatformProcess, ShutdownAnswersAllRequestsAndExits) {
  Listener server, channel;
  start(server.port, channel.port);
  auto playing = Peer::to(port_);
  std::optional<Peer> server_peer;
  ASSERT_NO_FATAL_FAILURE(start_playback(playing, server, server_peer));
  auto waiting = Peer::to(port_);
  waiting.send_bytes(offer(2, 3000));
  ASSERT_TRUE(server_peer->receive_until(call_bytes(2)));
  send_signal(SIGTERM);
  send_signal(SIGTERM);
  auto never_reads = Peer::to(port_);
  auto late = Peer::to(port_);
  late.send_bytes(offer(3));
  ASSERT_TRUE(server_peer->receive_until(call_bytes(3)))
      << "a viewer that arrives after the signal is served";
  server_peer->send_bytes(release_message(3, 34));
  EXPECT_TRUE(late.receive_until("\"end\""));
  waiting.send_bytes("{\"op\":");  // a partial message stays unread to the end
  EXPECT_TRUE(waiting.receive_until("\"end\"")) << "answered before the process exits";
  EXPECT_TRUE(waiting.closed_cleanly()) << "not closed by a reset";
  EXPECT_EQ(wait_for_exit(wait_timeout), 0)
      << "exits although a viewer reads nothing; platform_test checks the time";
}

TEST_F(PlatformProcess, FailsTheReadinessTestUntilAServerIsReady) {
  Listener server, channel;
  start(server.port, channel.port, 256, list_event(server.port, "Terminating"));
  EXPECT_NE(first_test_reply.find("\"why\":0"), std::string::npos) << first_test_reply;
  auto channel_peer = channel.accept();
  ASSERT_TRUE(channel_peer && channel_peer->receive_until("resume 1\n"));
  auto event = list_event(server.port);
  event.replace(event.find("\"cursor\":1"), 10, "\"cursor\":2");
  channel_peer->send_bytes(event + "\n");
  const auto until = Clock::now() + wait_timeout;
  bool passed = false;
  while (!passed && Clock::now() < until) {
    auto peer = Peer::to(port_);
    peer.send_bytes(test_request);
    ASSERT_TRUE(peer.receive_until("\"tested\""));
    passed = peer.received.find("\"why\":1") != std::string::npos;
  }
  EXPECT_TRUE(passed);
}

TEST_F(PlatformProcess, AfterAKillARestartedProcessAdoptsPlaybacks) {
  Listener server, channel;
  start(server.port, channel.port);
  send_signal(SIGKILL);
  ASSERT_EQ(wait_for_exit(wait_timeout), 1000 + SIGKILL);
  start(server.port, channel.port);
  auto peer = Peer::to(port_);
  auto handover = offer(5);
  handover.replace(handover.find("top:0"), 5, "top:0;at:s-a");
  peer.send_bytes(handover + test_request);
  auto server_peer = server.accept();
  ASSERT_TRUE(server_peer) << "a server with playbacks is dialled";
  server_peer->send_bytes(release_message(5, 16));
  EXPECT_TRUE(peer.receive_until("\"end\"")) << "its end is reported";
}

}  // namespace
}  // namespace violettide
