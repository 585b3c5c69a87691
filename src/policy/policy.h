// The interface of the decision module: what happened, what is to be done, and the one class between.
// Every time is a span since the instance started. Ids are small indices given out by the caller.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace violettide {

using Duration = std::chrono::microseconds;
using PlaybackId = std::uint32_t;
using ServerId = std::uint32_t;
using TitleId = std::uint32_t;

struct PlanSettings {
  Duration startup_target{0};
  bool pay_at_setup = false;
  double revenue = 1;
  double rate_scale = 1;
  int floor = 0;
  int top = 0;
  int seats = 0;  // 0: no cap
};

// What the module reads of a deployment's settings; an absent figure is 0 and turns its rule off.
struct PolicySettings {
  std::vector<PlanSettings> plans;
  std::vector<double> rung_kb;
  std::vector<double> rung_revenue;
  std::vector<double> streams_by_kind;
  bool has_weights = false;
  double link_kb_per_weight = 0;
  double uplink_kb = 0;
  int racks = 0;
  int cells = 1;
  Duration switch_cost{0};
  Duration measurement_delay{0};
  int front_count = 1;
  std::optional<int> front_index;  // among the fronts, from 0; drawn where none is told
  Duration warmup_time{0};
  double warmup_initial_share = 1;
  double overload_multiple = 1;
  Duration retry_budget_window{0};
  double retry_budget_base = 0;
  double retry_budget_share = 0;
  int max_tries = 1;
  Duration max_retry_after{0};
  bool probes_enabled = false;
  bool list_needs_subscription = false;
  double probe_cost = 0;
  int own_hall = 0;
  double cross_hall_cost = 0;  // of a playback in another hall
};

// What happened.
enum class ServerState { ready, draining, gone };
struct ServerEntry {
  ServerId server = 0;
  ServerState state = ServerState::ready;
  int kind = 0;
  int cell = 0;
  int hall = 0;
  std::optional<Duration> started;
  double weight = 1;
};
struct ServerList {
  enum class Kind { changes, complete, cached };
  Kind kind = Kind::complete;
  std::vector<ServerEntry> entries;
};
struct ServerListFailed {};
// The video servers that hold a title, by id and rising; shared, so that a request costs no copy.
using HolderList = std::shared_ptr<const std::vector<ServerId>>;
struct Request {
  PlaybackId playback = 0;
  int plan = 0;
  TitleId title = 0;
  Duration abandon_at{0};
  std::optional<Duration> length;
  int first_cell = 0;
  int cell_count = 1;  // cells in a row from the first
  int top = 0;
  HolderList listed_holders;  // in place of the cells, where given
};
// The holders of a playback that is not placed yet, or may have to be again, are others now.
struct HoldersChanged {
  PlaybackId playback = 0;
  HolderList listed_holders;
};
struct PlaybackAdopted {
  Request request;
  ServerId server = 0;
};
struct RequestCancelled {
  PlaybackId playback = 0;
};
struct PlaybackStarted {
  PlaybackId playback = 0;
  ServerId server = 0;
  Duration startup_delay{0};
};
struct LoadReport {
  std::optional<double> link_fill;
  std::optional<double> uplink_fill;
  std::optional<double> streams;
};
enum class Outcome { served, error, full, late, no_connection, reset, cancelled, not_sent };
struct TryEnded {
  PlaybackId playback = 0;
  ServerId server = 0;
  Outcome outcome = Outcome::served;
  bool playback_over = false;
  LoadReport load;
};
struct ProbeEnded {
  ServerId server = 0;
  bool answered = false;
  LoadReport load;
  bool sent = true;  // false: it never left this machine, which says nothing of the server
};
struct Measurement {
  enum class Kind { share, rung, link_fill, uplink_fill };
  PlaybackId playback = 0;
  ServerId server = 0;
  Kind kind = Kind::share;
  double value = 1;
};
struct TimerExpired {
  std::uint32_t token = 0;
};
using Event =
    std::variant<ServerList, ServerListFailed, Request, HoldersChanged, PlaybackAdopted, RequestCancelled,
                 PlaybackStarted, TryEnded, ProbeEnded, Measurement, TimerExpired>;

// What is to be done.
struct SetUp {
  PlaybackId playback;
  ServerId server;
  Duration time_limit;
};
struct SetRung {
  PlaybackId playback;
  int rung;
};
struct Reject {
  PlaybackId playback;
  Duration retry_after;
};
struct Abort {
  PlaybackId playback;
};
struct Probe {
  ServerId server;
};
struct SetTimer {
  Duration delay;
  std::uint32_t token;
};
struct SubscribeServerList {};
using Command = std::variant<SetUp, SetRung, Reject, Abort, Probe, SetTimer, SubscribeServerList>;

// The decisions of one session manager.
class Policy {
 public:
  Policy(PolicySettings settings, std::uint64_t seed);
  ~Policy();
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;

  std::vector<Command> handle(Duration now, const Event& event);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace violettide
