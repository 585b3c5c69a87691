// The interface of the decision module: the settings it reads, the events it is told, the commands it
// returns, and the class that decides.
// Every time counts from the start of this session manager, in microseconds; rates and capacities are in
// kB/s. Ids are small indices that the caller assigns.
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

// Terms of one plan. Rungs are indices into PolicySettings::rung_kb.
struct PlanSettings {
  Duration startup_target{0};
  bool pay_at_setup = false;  // a try that may have run is paid for: none may follow it
  double revenue = 1;         // factor on the revenue of a rung
  double rate_scale = 1;      // factor on the rate of a rung
  int floor = 0;              // lowest rung allowed
  int top = 0;                // highest rung allowed
  int seats = 0;              // playbacks of one title at a time; 0: no limit
};

// What the module reads of a deployment's settings. An absent number is 0 and turns its rule off.
struct PolicySettings {
  std::vector<PlanSettings> plans;
  std::vector<double> rung_kb;       // rate of each rung, rising
  std::vector<double> rung_revenue;  // revenue of each rung per second
  std::vector<double> streams_by_kind;
  bool has_weights = false;  // whether ServerEntry::weight is meaningful
  double link_kb_per_weight = 0;
  double uplink_kb = 0;  // of a rack
  int racks = 0;         // cells are assigned to racks in turn
  int cells = 1;
  Duration switch_cost{0};        // playing time whose revenue one change of rung costs
  Duration measurement_delay{0};  // from a change to the measurement that shows it
  int front_count = 1;
  std::optional<int> front_index;   // of this session manager, from 0; drawn at random if absent
  Duration warmup_time{0};          // of a started server
  double warmup_initial_share = 1;  // of its capacity, at the start
  double overload_multiple = 1;     // of a cold server's pace, which all fronts together stay under
  // Retries in the window stay within the base plus this share of the requests in it.
  Duration retry_budget_window{0};
  double retry_budget_base = 0;
  double retry_budget_share = 0;
  int max_tries = 1;  // for one playback
  Duration max_retry_after{0};
  bool probes_enabled = false;
  bool list_needs_subscription = false;  // the server list is sent only after SubscribeServerList
  double probe_cost = 0;                 // in revenue
  int own_hall = 0;
  double cross_hall_cost = 0;  // in revenue, of a playback in another hall
};

// ---- events ----
// Only a ready server gets set-ups; what plays on a draining one goes on.
enum class ServerState { ready, draining, gone };
// A video server as the server list has it.
struct ServerEntry {
  ServerId server = 0;
  ServerState state = ServerState::ready;
  int kind = 0;
  int cell = 0;
  int hall = 0;
  std::optional<Duration> started;
  double weight = 1;
};
// Servers that a list other than `changes` leaves out are gone.
struct ServerList {
  enum class Kind { changes, complete, cached };
  Kind kind = Kind::complete;
  std::vector<ServerEntry> entries;
};
// The server list could not be read; what is known of the servers stays in force.
struct ServerListFailed {};
// The video servers that hold a title, by rising id. Shared, so that a request costs no copy.
using HolderList = std::shared_ptr<const std::vector<ServerId>>;
// A viewer asks for a playback; Reject, Abort or a started playback answers it.
struct Request {
  PlaybackId playback = 0;
  int plan = 0;
  TitleId title = 0;
  Duration abandon_at{0};
  std::optional<Duration> length;
  // Unless they are listed, the holders are the servers of these adjacent cells.
  int first_cell = 0;
  int cell_count = 1;
  int top = 0;  // highest rung that the viewer can play
  HolderList listed_holders;
};
// New holders of a playback that has not been placed yet or may have to be placed again.
struct HoldersChanged {
  PlaybackId playback = 0;
  HolderList listed_holders;
};
// A playback that already plays was handed over to this session manager.
struct PlaybackAdopted {
  Request request;
  ServerId server = 0;
};
// The request owes no answer any more. A try that is under way still ends with TryEnded.
struct RequestCancelled {
  PlaybackId playback = 0;
};
// The current try succeeded; the playback plays.
struct PlaybackStarted {
  PlaybackId playback = 0;
  ServerId server = 0;
  Duration startup_delay{0};
};
// A server's load, this session manager's playbacks included. A fill is a share of the capacity.
struct LoadReport {
  std::optional<double> link_fill;
  std::optional<double> uplink_fill;
  std::optional<double> streams;
};
// How a try ended. After full, no_connection and not_sent it is certain that nothing ran.
enum class Outcome { served, error, full, late, no_connection, reset, cancelled, not_sent };
// A try, or the playback that it started, has ended.
struct TryEnded {
  PlaybackId playback = 0;
  ServerId server = 0;
  Outcome outcome = Outcome::served;
  bool playback_over = false;  // no further try may follow
  LoadReport load;
};
// A probe was answered or failed.
struct ProbeEnded {
  ServerId server = 0;
  bool answered = false;
  LoadReport load;
  bool sent = true;  // false: it failed on this machine, which says nothing about the server
};
// A value measured at a server or a playback.
struct Measurement {
  enum class Kind { share, rung, link_fill, uplink_fill };
  PlaybackId playback = 0;
  ServerId server = 0;
  Kind kind = Kind::share;
  double value = 1;  // share: delivered of the rate asked for; rung: an index; else a LoadReport's fill
};
// The delay of the SetTimer with this token is over.
struct TimerExpired {
  std::uint32_t token = 0;
};
using Event =
    std::variant<ServerList, ServerListFailed, Request, HoldersChanged, PlaybackAdopted, RequestCancelled,
                 PlaybackStarted, TryEnded, ProbeEnded, Measurement, TimerExpired>;

// ---- commands ----
// Starts a try. It ends with TryEnded, at the latest as Outcome::late after `time_limit`.
struct SetUp {
  PlaybackId playback;
  ServerId server;
  Duration time_limit;
};
// Sets the quality of a playback, also before its set-up.
struct SetRung {
  PlaybackId playback;
  int rung;
};
// Rejects the viewer, who may come back after `retry_after`; 0: no time is given.
struct Reject {
  PlaybackId playback;
  Duration retry_after;
};
// Ends a playback whose set-up is paid and may have run: it must not be answered as rejected.
struct Abort {
  PlaybackId playback;
};
// Asks a server for its load; ProbeEnded has the answer.
struct Probe {
  ServerId server;
};
// Asks for TimerExpired with `token` after `delay`.
struct SetTimer {
  Duration delay;
  std::uint32_t token;
};
// Asks for the server list and its changes from now on.
struct SubscribeServerList {};
using Command = std::variant<SetUp, SetRung, Reject, Abort, Probe, SetTimer, SubscribeServerList>;

// Decides for one session manager. Owns no clock and no connection: a function of the events, their times
// and the seed.
class Policy {
 public:
  Policy(PolicySettings settings, std::uint64_t seed);
  ~Policy();
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;

  // Returns the commands that follow from `event`, to be carried out in their order. `now` never decreases.
  std::vector<Command> handle(Duration now, const Event& event);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace violettide
