// Stand-in viewers: players with a modelled buffer that say CMCD, leave when their patience is up, and come
// again as Retry-After says, to any manager of their hall. Each request carries a trace context of its own,
// by which all traces name the same request.
#pragma once

#include <functional>
#include <map>
#include <random>

#include "hints/cmcd.h"
#include "http/http.h"
#include "io/io.h"
#include "standins/day.h"
#include "standins/hls_player.h"
#include "standins/issuer.h"
#include "timerwheel/timer_wheel.h"
#include "trace/trace.h"

namespace violettide::standins {

struct Door {
  std::string manager;
  std::uint16_t port = 0;
  int hall = 0;
};

class Viewers : public Core {
 public:
  Viewers(const Scenario& scenario, std::vector<Door> doors, Duration scenario_offset,
          std::uint64_t origin_us, std::function<void(const trace::Passed&)> sink);
  void handle(Duration now, const IoEvent& what, std::vector<Action>& actions) override;
  std::size_t asked() const { return asked_; }
  // Viewers show its tokens. `wall`: the machine's clock at this core's time 0.
  void licensed_by(Issuer issuer, Duration wall) {
    issuer_ = std::move(issuer);
    wall_ = wall;
  }

 private:
  enum class State { idle, dialing, asking, fetching, resting, over };
  struct Viewer {
    std::uint32_t number = 0;
    int plan = 0, hall = 0, top = 0;
    std::string title, sid, trace;
    int hints = 0;  // 0 whole, 1 none, 2 malformed
    Duration watch{0}, came{0}, left_to_watch{0};
    State state = State::idle;
    ConnectionId link = 0;
    int door = 0;
    bool first = true;  // the request under way begins a playback
    bool ever_played = false, starved = false, connected = false, answered = false;
    http::ResponseReader reader;
    std::string request;
    Duration sent_at{0}, buffered_until{0};
    Duration buffer_at{0};
    double buffer_s = 0;
    double throughput = 0;  // kB a second, of the last object
    std::uint64_t bytes = 0;
    std::unique_ptr<HlsPlayer> hls;  // it reads HLS
    HlsPlayer::Ask hls_ask;
    std::string token;
    Duration token_at{-1};
    int tokens = 0;
    bool bad_token = false;
    std::string body;
    bool packed = false;
    double suggested_bits = 0;
    bool goes_on = false;  // where its playlists left it, on a new connection
    int breaks = 0;        // in a row
    int object = 0, status = 0, retry_after = 0, rung = 0;
    TimerWheel<std::uint64_t>::Handle timer;
  };
  enum class Bell : std::uint64_t { arrival, patience, again, next_object };
  void arrive(std::vector<Action>& actions, bool crowd);
  void ask(Viewer& viewer, std::vector<Action>& actions);
  void request_text(Viewer& viewer);
  std::string team_of(const Viewer& viewer) const {
    return "team-" + std::to_string(viewer.number % static_cast<unsigned>(scenario_.issuer.team_count));
  }
  void show_token(Viewer& viewer, http::Fields& fields);
  void begin_hls(Viewer& viewer);
  void next_hls(Viewer& viewer, std::vector<Action>& actions);
  void hls_whole(Viewer& viewer, std::vector<Action>& actions);
  bool hls_refused(Viewer& viewer, std::vector<Action>& actions);
  void tell_wrongs(Viewer& viewer);
  void came_part(Viewer& viewer, http::ResponseReader::Part part, std::vector<Action>& actions);
  void object_whole(Viewer& viewer, std::vector<Action>& actions);
  void broke(Viewer& viewer, std::vector<Action>& actions, bool refused = false);
  void rest(Viewer& viewer, Duration pause, std::vector<Action>& actions);
  void leave(Viewer& viewer, std::vector<Action>& actions, const char* cause);
  void hang(Viewer& viewer, std::vector<Action>& actions);
  void drain_buffer(Viewer& viewer);
  void arm(Viewer& viewer, Duration in, Bell bell);
  void put(trace::Passed::Kind kind, const Viewer& viewer, int status = 0, const std::string& cause = "");
  double draw();
  Duration scenario_now() const { return now_ + scenario_offset_; }

  Scenario scenario_;
  std::vector<Door> doors_;
  Duration scenario_offset_;
  std::uint64_t origin_us_;
  std::function<void(const trace::Passed&)> sink_;
  Duration now_{0};
  bool began_ = false, stopping_ = false;
  std::map<std::uint32_t, Viewer> viewers_;
  std::map<ConnectionId, std::uint32_t> by_link_;
  TimerWheel<std::uint64_t> bells_;
  std::minstd_rand chance_;
  std::vector<double> zipf_;
  std::uint32_t next_viewer_ = 1;
  ConnectionId next_link_ = 1;
  std::size_t asked_ = 0, requests_ = 0;
  std::optional<Issuer> issuer_;
  Duration wall_{0};
};

}  // namespace violettide::standins
