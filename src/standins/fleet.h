// Stand-in video servers and their list service, in one core: boxes with places, links and racks' uplinks
// shared by all that plays, cold starts that fall over when pushed, and every trouble of the day. Doors: a
// box each, then the list, then the catalogue's feed where the day has one.
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

using Sink = std::function<void(const trace::Passed&)>;

class Fleet : public Core {
 public:
  // `ports`: of the boxes' doors, for the list. `to_day`: what turns this core's time into the day's.
  Fleet(Scenario scenario, std::vector<std::uint16_t> ports, Duration scenario_offset, Sink sink);
  void handle(Duration now, const IoEvent& what, std::vector<Action>& actions) override;
  void listen_at(std::vector<std::uint16_t> ports) { ports_ = std::move(ports); }

 private:
  struct Session {
    int plan = 0, rung = 0;
    Duration seen{0};
  };
  struct Box {
    bool up = true, drained = false;
    Duration started{0};  // of the process, in the day's time
    bool cold = false;
    std::int64_t incarnation = 1;
    std::map<std::string, Session> sessions;
    std::vector<Duration> set_ups;  // since its cold start
    double told_util = 0, told_uplink = 0;
    Duration told_at = std::chrono::seconds(-10);
    double old_util = 0, old_uplink = 0;
    std::int64_t told_streams = 0;
    bool ageing_died = false;
  };
  struct Peer {
    int door = 0;
    http::RequestReader reader;
    bool busy = false, head_sent = false, set_up = false;
    Duration answer_at{0};
    std::string sid, trace, via, title, plan_name;
    int plan = 0, rung = 0, status = 0;
    std::optional<HlsPath> hls;  // what was asked is HLS
    bool packs = false;          // it takes gzip
    double left = 0;             // bytes of the object that are still to come
    double rate = 0;             // bytes a second at which they go when the link is free
    double credit = 0;
    bool close_after = false;
    std::optional<catalogue::Revision> feed_after;  // waits for changes behind it
    Duration feed_until{0};
    bool feed_lies = false;  // what it is sent tells it nothing that it could go by
  };
  struct ListState {
    Duration visible_at{0};
    std::int64_t revision = 0;
    std::vector<std::string> states;
    std::vector<std::int64_t> incarnations;
    std::vector<Duration> started;
  };

  void requests(ConnectionId link, Peer& peer, std::vector<Action>& actions);
  void serve_box(ConnectionId link, Peer& peer, const http::Request& request, std::vector<Action>& actions);
  void serve_list(ConnectionId link, Peer& peer, const http::Request& request, std::vector<Action>& actions);
  void begin_catalogue();
  void move_recordings(double passed, std::vector<Action>& actions);
  void serve_feed(ConnectionId link, Peer& peer, const http::Request& request, std::vector<Action>& actions);
  bool feed_now(ConnectionId link, Peer& peer, std::vector<Action>& actions);
  void put_listed(const Peer& peer, const std::string& title, const std::string& box, bool listed);
  void answer(ConnectionId link, Peer& peer, int status, http::Fields fields, const std::string& body,
              std::vector<Action>& actions);
  void answer_list(ConnectionId link, Peer& peer, std::vector<Action>& actions);
  ListIlls list_ills(int box) const;
  void begin_object(ConnectionId link, Peer& peer, std::vector<Action>& actions);
  void step(std::vector<Action>& actions);
  void live_through_troubles(std::vector<Action>& actions);
  void break_off(int box, std::vector<Action>& actions);
  void go_down(int box, std::vector<Action>& actions, bool silent);
  void come_up(int box, std::vector<Action>& actions);
  void record_list();
  const Fault* ill_with(int box, FaultKind ill) const;
  double link_of(int box) const;
  double slowness(int box) const;
  bool mute(int box) const;  // takes, answers nothing
  double asked_of(int box) const;
  std::string cmsd_of(int box);
  double warmth(const Box& box) const;
  bool pushed_over(int box);
  void put(trace::Passed::Kind kind, int box, const Peer* peer, int status = 0);
  Duration scenario_now() const { return now_ + scenario_offset_; }

  Scenario scenario_;
  std::vector<std::uint16_t> ports_;
  Duration scenario_offset_;
  Sink sink_;
  Duration now_{0}, stepped_{0};
  std::uint64_t clock_offset_ = 0;
  std::vector<Box> boxes_;
  std::map<ConnectionId, Peer> peers_;
  std::vector<ListState> list_history_;
  std::map<std::string, std::map<std::string, std::string>> told_;  // to whom, of which box, what
  std::set<std::pair<std::size_t, int>> begun_, ended_;             // troubles and whom
  std::minstd_rand chance_;
  std::unique_ptr<catalogue::Replica> catalogue_;
  std::map<std::string, std::vector<int>> lies_on_;  // boxes of each recording
  double moves_due_ = 0;
  bool stopping_ = false;
  std::optional<Issuer> issuer_;

 public:
  // Publishes its keys at the last door, and turns to the next as the day says.
  void issue_by(Issuer issuer) { issuer_ = std::move(issuer); }
  // The machine's clock at this core's time 0, for the traces.
  void clock_at(std::uint64_t origin_us) { clock_offset_ = origin_us; }
};

}  // namespace violettide::standins
