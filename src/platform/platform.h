// A session manager on the operators' platform: viewers' set-ups and servers' answers in, orders to
// sockets out. What happened is told to the module and what the module decides is done; this core adds
// what only sockets bring: whose message it is, how a try ended, whether a server still gives a sign.
// Free of I/O and clock.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "decider/decider.h"
#include "io/io.h"
#include "platform/channel/channel.h"
#include "platform/start.h"
#include "platform/wire/server.h"
#include "platform/wire/viewer.h"
#include "timerwheel/timer_wheel.h"

namespace violettide::platform {

// What it holds now, for tests and logs.
struct Held {
  std::size_t viewer_links = 0, server_links = 0, playbacks = 0, titles = 0, timers = 0;
};

class Platform : public Core {
 public:
  // `decider`: the module, if none is given.
  Platform(StartTerms terms, std::unique_ptr<Decider> decider);
  ~Platform() override;
  void handle(Duration now, const IoEvent& what, std::vector<Action>& actions) override;
  Held held() const;

 private:
  struct ViewerLink {
    ViewerReader reader;
    Duration since{0};
    Duration heard_at{0};
    bool spoke = false;         // a message that could be read
    std::set<PlaybackId> open;  // set-ups without an answer
    std::size_t standing = 0;
    std::size_t unsent = 0;
    std::optional<Duration> parts_at;  // chosen to end then, unless it says something whole
  };
  struct ServerLink {
    ServerId server = 0;
    ServerReader reader;
    bool up = false;
    Duration heard_at{0};
    std::optional<Duration> retired_at;  // takes no new set-ups
    std::set<PlaybackId> tries;          // sent, or to be sent once it is up
    std::set<CallId> tests;
    Duration used_at{0};  // bytes last went either way
  };
  struct VideoServer {
    std::string name;
    Endpoint place;
    ServerState state = ServerState::gone;
    std::int64_t started_ms = 0;
    ConnectionId link = 0;  // the one that takes new set-ups; 0: none
    ConnectionId dialled = 0;
    std::set<PlaybackId> playing;
    std::vector<std::string> unsaid;  // releases for the next connection
    Duration heard_at{0};
    Duration next_dial{0};
    int refused = 0;  // in a row
    Duration first_refused{0};
  };
  struct Playback {
    enum class State { waiting, trying, playing };
    CallId call = 0;
    State state = State::waiting;
    ConnectionId viewer = 0;
    int plan = 0;
    std::string title, description;
    ServerId server = 0;
    ConnectionId link = 0;
    bool sent = false;
    Duration tried_at{0};
    Duration try_until{0};
    int rung = 0;
    bool rung_unsaid = false;
    TimerWheel<std::uint64_t>::Handle limit;
  };
  struct Released {
    CallId call = 0;
    ServerId server = 0;
    int why = 0;
    Duration at{0};
  };
  enum class Ring { module, try_limit, dial, probe, sweep, part, channel, stop };
  struct Bell {
    Ring ring = Ring::module;
    std::uint64_t of = 0;
  };
  struct Title {
    TitleId id = 0;
    int uses = 0;
  };

  void on(const Accepted& what);
  void on(const Connected& what);
  void on(const Received& what);
  void on(const HalfClosed& what);
  void on(const Disconnected& what);
  void on(const Flushed& what);
  void on(const Persisted&) {}
  void on(const TimerFired&);
  void on(const ShutdownRequested&);
  void on(const ConfigReloaded& what);
  void on(const InputDrained&);
  void ring(const Bell& bell);
  void sweep();

  // ---- viewers ----
  void viewer_says(ConnectionId link, ViewerLink& viewer, ViewerMessage& message);
  void take_offer(ConnectionId link, ViewerLink& viewer, ViewerMessage& message);
  std::optional<std::string> read_offer(const ViewerMessage& message, Request& request,
                                        std::string& at) const;
  void turn_off(ConnectionId link, std::optional<CallId> call, const std::string& cause);
  void take_end(ConnectionId link, CallId call);
  void withdraw(PlaybackId id);
  void viewer_gone(ConnectionId link);
  void make_place();
  void choose_to_part(ConnectionId link, ViewerLink& viewer);
  void part();
  void to_viewer(ConnectionId link, std::string line);

  // ---- servers ----
  ServerId server_named(const std::string& name);
  ConnectionId dial(ServerId id, bool for_try);
  ConnectionId link_for(ServerId id);
  void server_says(ConnectionId link, ServerMessage& message);
  void release_heard(ConnectionId link, ServerMessage& message);
  void drop_server_link(ConnectionId link, Outcome of_sent, Outcome of_unsent = Outcome::no_connection);
  void end_server_link(ConnectionId link);
  void retire(ConnectionId link);
  bool connected_to(ServerId id) const;
  bool make_place_for_dial(bool for_try);
  void not_asked(ServerId id);
  void send_when_settled(PlaybackId id);
  void send_try(Playback& playback);
  void to_server(ConnectionId link, std::string bytes);
  void say_to(ServerId id, std::string bytes);
  void care_for(ServerId id);
  void cut_all(ServerId id, const char* cause);
  void answered_sign(ServerLink& link);

  // ---- playbacks ----
  Playback* find(PlaybackId id);
  PlaybackId admit(CallId call, ConnectionId viewer, const Request& request, std::string title);
  TitleId title(const std::string& name);
  void start_try(const SetUp& command);
  void end_try(PlaybackId id, Outcome outcome, const LoadReport& load, bool over);
  void stop_playing(PlaybackId id, Outcome outcome, const LoadReport& load, std::optional<int> tell);
  void tell_end(const Playback& playback, int why);
  void forget(PlaybackId id);
  void feed(Event event);
  void carry_out(const Command& command);

  // ---- the list ----
  void take_lists(const std::vector<ServerListUpdate>& lists, bool at_start);
  void take_back_unsent();
  bool ready() const;
  void tend_channel();

  TimerWheel<std::uint64_t>::Handle arm(Duration in, Ring ring, std::uint64_t of = 0);
  void say(std::string event, std::vector<LogField> fields) {
    actions_->push_back(LogLine{std::move(event), std::move(fields)});
  }
  std::size_t most_viewers() const;
  std::size_t most_server_links() const;
  void settle();
  void leave();

  StartTerms terms_;
  std::unique_ptr<Decider> decider_;
  std::vector<Action>* actions_ = nullptr;
  Duration now_{0};
  bool begun_ = false;
  std::optional<Duration> stop_asked_;
  enum class Leaving { no, when_empty, at_once } leaving_ = Leaving::no;  // once settled
  bool accepted_ = false;  // somebody, since it was looked at last
  int leave_turns_ = 0;
  bool settle_asked_ = false;
  bool still_ = false;                // stood still, and what came meanwhile is not read yet
  std::vector<PlaybackId> settling_;  // whose tries go out then
  TimerWheel<std::uint64_t> wheel_;
  Duration woken_for_{-1};
  std::deque<Event> events_;
  bool deciding_ = false;

  std::unordered_map<ConnectionId, ViewerLink> viewers_;
  std::vector<ConnectionId> parting_;
  ConnectionId last_viewer_ = 0;     // whose set-up played last
  std::vector<std::string> untold_;  // ends for the next viewer who says something
  std::unordered_map<ConnectionId, ServerLink> links_;
  ConnectionId next_link_ = 1;
  std::deque<VideoServer> servers_;
  std::map<std::string, ServerId> server_names_;
  std::unordered_map<PlaybackId, Playback> playbacks_;
  std::unordered_map<CallId, PlaybackId> calls_;
  PlaybackId next_playback_ = 0;
  std::map<std::string, Title> titles_;
  std::vector<TitleId> free_titles_;
  TitleId next_title_ = 0;
  CallId next_test_ = 0;
  std::deque<Released> released_;  // of late, of what nobody knows here
  Channel channel_;
  ConnectionId channel_link_ = 0;
  TimerWheel<std::uint64_t>::Handle channel_look_;
  std::size_t turned_off_ = 0;  // since it was said last
  Duration turned_off_said_{-1};
};

}  // namespace violettide::platform
