// Fake video servers with their list service, catalogue origin and token key endpoint, in one core. Boxes
// have a stream limit, and share link and rack uplink capacity among their playbacks. A cold box fails when
// it is overloaded. All faults of the schedule that concern boxes or services are injected here. Listeners:
// one per box, then the list, then the catalogue feed and the key set where the scenario has them.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>

#include "catalogue/replica.h"
#include "http/http.h"
#include "io/io.h"
#include "standins/day.h"
#include "standins/hls_origin.h"
#include "standins/issuer.h"
#include "trace/trace.h"

namespace violettide::standins {

// Receives each trace record.
using TraceSink = std::function<void(const trace::Passed&)>;

// The fake servers of a scenario.
class Fleet : public Core {
 public:
  // `ports`: the boxes' listening ports, published in the list. `scenario_offset`: added to this core's time
  // to get scenario time.
  Fleet(Scenario scenario, std::vector<std::uint16_t> ports, Duration scenario_offset, TraceSink sink);
  void handle(Duration now, const IoEvent& what, std::vector<Action>& actions) override;
  void set_ports(std::vector<std::uint16_t> ports) { ports_ = std::move(ports); }

 private:
  struct Session {
    int plan = 0, rung = 0;
    Duration last_seen{0};
  };
  struct Box {
    bool up = true, draining = false;
    Duration started{0};  // start of the process, scenario time
    bool cold = false;
    std::int64_t incarnation = 1;
    std::map<std::string, Session> sessions;
    std::vector<Duration> recent_setups;  // times, within the overload window
    double reported_util = 0, reported_uplink = 0;
    Duration reported_at = std::chrono::seconds(-10);
    double stale_util = 0, stale_uplink = 0;
    std::int64_t reported_streams = 0;
    bool died_of_ageing = false;
  };
  struct Connection {
    int listener = 0;
    http::RequestParser reader;
    bool busy = false, head_sent = false, is_setup = false;
    Duration answer_at{0};
    std::string sid, trace, manager, title, plan_name;
    int plan = 0, rung = 0, status = 0;
    std::optional<HlsPath> hls;  // set when the request is for HLS
    bool accepts_gzip = false;
    double bytes_left = 0;   // bytes of the object that are still to be sent
    double bytes_per_s = 0;  // sending rate when the link is not congested
    double byte_credit = 0;
    bool close_after = false;
    std::optional<catalogue::Revision> feed_after;  // long poll for changes after this revision
    Duration feed_deadline{0};
    bool reply_unusable = false;  // the reply is faulty, so it must not change the manager's locations
  };
  struct ListState {
    Duration visible_at{0};
    std::int64_t revision = 0;
    std::vector<std::string> states;
    std::vector<std::int64_t> incarnations;
    std::vector<Duration> started;
  };

  void process_requests(ConnectionId id, Connection& connection, std::vector<Action>& actions);
  void handle_box_request(ConnectionId id, Connection& connection, const http::Request& request,
                          std::vector<Action>& actions);
  void handle_list_request(ConnectionId id, Connection& connection, const http::Request& request,
                           std::vector<Action>& actions);
  void init_catalogue();
  void move_recordings(double elapsed, std::vector<Action>& actions);
  void handle_feed_request(ConnectionId id, Connection& connection, const http::Request& request,
                           std::vector<Action>& actions);
  bool send_feed_if_ready(ConnectionId id, Connection& connection, std::vector<Action>& actions);
  void record_location(const Connection& connection, const std::string& title, const std::string& box,
                       bool listed);
  void respond(ConnectionId id, Connection& connection, int status, http::Fields fields,
               const std::string& body, std::vector<Action>& actions);
  void send_playlist(ConnectionId id, Connection& connection, std::vector<Action>& actions);
  PlaylistFaults playlist_faults(int box) const;
  void start_response(ConnectionId id, Connection& connection, std::vector<Action>& actions);
  void step(std::vector<Action>& actions);
  void apply_faults(std::vector<Action>& actions);
  void close_connections(int box, std::vector<Action>& actions);
  void stop_box(int box, std::vector<Action>& actions, bool vanishes);
  void start_box(int box, std::vector<Action>& actions);
  void record_list_state();
  const Fault* active_fault(int box, FaultKind kind) const;
  double link_capacity(int box) const;
  double slowdown(int box) const;
  bool is_unresponsive(int box) const;  // accepts requests but doesn't answer
  double demand_on(int box) const;
  std::string cmsd_header(int box);
  double capacity_share(const Box& box) const;
  bool fails_when_cold(int box);
  void record_event(trace::Passed::Kind kind, int box, const Connection* connection, int status = 0);
  Duration scenario_now() const { return now_ + scenario_offset_; }

  Scenario scenario_;
  std::vector<std::uint16_t> ports_;
  Duration scenario_offset_;
  TraceSink sink_;
  Duration now_{0}, last_step_{0};
  std::uint64_t trace_clock_offset_ = 0;
  std::vector<Box> boxes_;
  std::map<ConnectionId, Connection> connections_;
  std::vector<ListState> list_history_;
  std::map<std::string, std::map<std::string, std::string>> reported_states_;  // by manager and box
  std::set<std::pair<std::size_t, int>> started_faults_, ended_faults_;  // index of the fault, and target
  std::minstd_rand random_;
  std::unique_ptr<catalogue::Replica> catalogue_;
  std::map<std::string, std::vector<int>> locations_;  // indices of the boxes that hold each recording
  double pending_moves_ = 0;
  bool stopping_ = false;
  std::optional<Issuer> issuer_;

 public:
  // Publishes the issuer's keys at the last listener and rotates them as the scenario says.
  void publish_keys(Issuer issuer) { issuer_ = std::move(issuer); }
  // Sets the machine's monotonic clock in microseconds at this core's time 0, for trace records.
  void set_trace_clock(std::uint64_t us_at_zero) { trace_clock_offset_ = us_at_zero; }
};

}  // namespace violettide::standins
