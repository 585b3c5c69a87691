// Simulated viewers: players with a modelled buffer that send CMCD, leave after the abandon time, and retry
// after the Retry-After time at any manager of their hall. Each request has its own trace context, which
// identifies it in all traces.
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

// Where a session manager listens for viewers.
struct ManagerEndpoint {
  std::string manager;
  std::uint16_t port = 0;
  int hall = 0;
};

// The viewer workload of a scenario.
class Viewers : public Core {
 public:
  Viewers(const Scenario& scenario, std::vector<ManagerEndpoint> managers, Duration scenario_offset,
          std::uint64_t us_at_zero, std::function<void(const trace::Passed&)> sink);
  void handle(Duration now, const IoEvent& what, std::vector<Action>& actions) override;
  std::size_t playbacks_requested() const { return playbacks_requested_; }
  // Makes viewers present tokens of this issuer. `wall_clock_at_zero`: the wall clock at this core's time 0.
  void use_tokens(Issuer issuer, Duration wall_clock_at_zero) {
    issuer_ = std::move(issuer);
    wall_clock_at_zero_ = wall_clock_at_zero;
  }

 private:
  enum class State { idle, dialing, starting, fetching, waiting, finished };
  struct Viewer {
    std::uint32_t number = 0;
    int plan = 0, hall = 0, max_rung = 0;
    std::string title, sid, trace;
    int hint_mode = 0;  // 0 valid, 1 none, 2 malformed
    Duration watch_time{0}, arrived{0}, watch_time_left{0};
    State state = State::idle;
    ConnectionId connection = 0;
    int manager = 0;
    bool starts_playback = true;  // the current request starts a playback
    bool ever_played = false, starved = false, connected = false, answered = false;
    http::ResponseParser reader;
    std::string request;
    Duration sent_at{0}, buffered_until{0};
    Duration buffer_at{0};
    double buffer_s = 0;
    double throughput_kb_per_s = 0;  // of the last object
    std::uint64_t bytes = 0;
    std::unique_ptr<HlsPlayer> hls;  // set for viewers that play by HLS
    HlsPlayer::Request hls_request;
    std::string token;
    Duration token_at{-1};
    int tokens_issued = 0;
    bool bad_token = false;
    std::string body;
    bool gzipped = false;
    double suggested_bits_per_s = 0;
    bool resumes_hls = false;     // resumes the HLS playback on a new connection
    int connection_failures = 0;  // consecutive
    int object = 0, status = 0, retry_after = 0, rung = 0;
    TimerWheel<std::uint64_t>::Handle timer;
  };
  enum class TimerKind : std::uint64_t { arrival, timeout, retry, next_object };
  void on_arrival(std::vector<Action>& actions, bool crowd);
  void send_request(Viewer& viewer, std::vector<Action>& actions);
  void build_request(Viewer& viewer);
  std::string team_of(const Viewer& viewer) const {
    return "team-" + std::to_string(viewer.number % static_cast<unsigned>(scenario_.issuer.team_count));
  }
  void add_token(Viewer& viewer, http::Fields& fields);
  void start_hls(Viewer& viewer);
  void continue_hls(Viewer& viewer, std::vector<Action>& actions);
  void on_hls_response(Viewer& viewer, std::vector<Action>& actions);
  bool on_hls_error(Viewer& viewer, std::vector<Action>& actions);
  void record_playlist_errors(Viewer& viewer);
  void on_response_data(Viewer& viewer, http::ResponseParser::Part part, std::vector<Action>& actions);
  void on_object_complete(Viewer& viewer, std::vector<Action>& actions);
  void on_connection_lost(Viewer& viewer, std::vector<Action>& actions, bool refused = false);
  void schedule_retry(Viewer& viewer, Duration delay, std::vector<Action>& actions);
  void finish(Viewer& viewer, std::vector<Action>& actions, const char* cause);
  void close_connection(Viewer& viewer, std::vector<Action>& actions);
  void update_buffer(Viewer& viewer);
  void start_timer(Viewer& viewer, Duration in, TimerKind timer);
  void record_event(trace::Passed::Kind kind, const Viewer& viewer, int status = 0,
                    const std::string& cause = "");
  double draw();
  Duration scenario_now() const { return now_ + scenario_offset_; }

  Scenario scenario_;
  std::vector<ManagerEndpoint> managers_;
  Duration scenario_offset_;
  std::uint64_t us_at_zero_;
  std::function<void(const trace::Passed&)> sink_;
  Duration now_{0};
  bool started_ = false, stopping_ = false;
  std::map<std::uint32_t, Viewer> viewers_;
  std::map<ConnectionId, std::uint32_t> viewer_by_connection_;
  TimerWheel<std::uint64_t> timers_;
  std::minstd_rand random_;
  std::vector<double> cumulative_popularity_;
  std::uint32_t next_viewer_ = 1;
  ConnectionId next_connection_ = 1;
  std::size_t playbacks_requested_ = 0, requests_sent_ = 0;
  std::optional<Issuer> issuer_;
  Duration wall_clock_at_zero_{0};
};

}  // namespace violettide::standins
