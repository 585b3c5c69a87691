// The decision module: placement of playbacks, choice of rungs, retries and probes of one session manager.
// policy.h has the interface; all decisions and tuned constants are here. docs/design.md lists what is
// taken over from Sunstar.
#include "policy/policy.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <random>
#include <utility>

namespace violettide {

namespace {

using namespace std::chrono_literals;

// Constants of CUBIC (RFC 8312).
constexpr double cubic_decrease_factor = 0.7;
constexpr double cubic_scaling_constant = 0.4;
// Within one shortfall episode a further loss is counted where the mean delivered share falls below this
// part of the mean at the last loss.
constexpr double new_loss_mean_ratio = 0.8;
// A delivered share from here on counts as full.
constexpr double full_delivery_share = 0.98;
// Chebyshev's inequality: at least nine tenths of all values lie within sqrt(10) deviations of the mean, on
// either side.
const double chebyshev_interval_width = 2 * std::sqrt(10.0);
constexpr double spread_tie_tolerance = 0.1;
constexpr double headroom_tie_share = 0.05;  // of a link

// Share of a link that floor rungs and the most valuable step may fill. The rest is kept free because
// actual rates deviate from the rungs' nominal ones.
constexpr double max_planned_fill = 0.95;
// Exponent by which that share falls with the revenue of a step, to keep capacity free for later requests:
// lower where a front may probe before it uses headroom, higher where it has only the measurements that all
// fronts get.
constexpr double reserve_exponent_with_probes = 0.25;
constexpr double reserve_exponent_without_probes = 0.4;
// Fill of a link by other fronts that is assumed before any report.
constexpr double default_external_fill = 0.85;
// Averaging time of the delivered share, in measurement intervals.
constexpr double share_averaging_intervals = 6;
// Decay times of an observed uplink capacity and of a report, in measurement intervals.
constexpr double uplink_decay_intervals = 10;
constexpr int report_decay_intervals = 10;
// Standard deviations added to the mean fill for a server without reports.
constexpr double unreported_fill_deviations = 0.7;
// Minimum time between raises of one playback, in switch costs.
constexpr double min_raise_spacing = 10;
// A raise on a full link must earn this multiple of its switch cost.
constexpr double raise_payoff_factor = 8;
// Part of the pace allowed for a cold server that all fronts together use.
constexpr double cold_pace_share = 0.8;
// Weight of the latest request in the mean revenue.
constexpr double revenue_smoothing = 0.1;
// Part of the revenue that probes may cost.
constexpr double probe_revenue_share = 0.03;
constexpr int max_probes_per_setup = 2;
// A report younger than this part of its decay time needs no probe.
constexpr double fresh_report_share = 0.25;
constexpr double max_probe_credit = 4;
// Part of the time to the startup target that one try may take.
constexpr double try_time_share = 0.45;
// First cooldown of a failing server, in startup targets; doubles with each further failure.
constexpr double first_cooldown_targets = 1;
// Part of the longest Retry-After time that a rejected viewer gets.
constexpr double retry_after_share = 0.5;
// Playback length assumed until this front has seen enough playbacks, counting as much as
// `default_length_weight` of them. Also the decay time of the lengths seen.
constexpr Duration default_playback_length = 30s;
constexpr double default_length_weight = 10;
// Reported fills of a link or an uplink are clamped to this.
constexpr double max_reported_fill = 20;
constexpr Duration tick_interval = 250ms;
constexpr std::uint32_t tick_token = 1;

std::size_t wrapped_index(int index, std::size_t count) {
  const int size = static_cast<int>(count);
  return static_cast<std::size_t>((index % size + size) % size);
}

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
// Clamped to 1e9 s either way, because invalid settings can give an infinite value.
Duration duration_from_seconds(double seconds) {
  constexpr double limit = 1e9;
  return Duration(static_cast<std::int64_t>((seconds < limit ? std::max(seconds, -limit) : limit) * 1e6));
}

// Drops values that are not finite and clamps the rest to [0, limit]. Guards against one bad value spoiling
// a mean for good.
std::optional<double> clamped_if_finite(std::optional<double> value, double limit) {
  if (!value || !std::isfinite(*value))
    return std::nullopt;
  return std::clamp(*value, 0.0, limit);
}

template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};

// Exponentially weighted mean and spread of a server's delivered share over time. Between measurements the
// last value holds.
class ShareStatistics {
 public:
  void record(Duration now, double share, Duration measurement_interval) {
    advance(now, measurement_interval);
    current_ = share;
    recorded_at_ = now;
  }
  double mean(Duration now, Duration measurement_interval) {
    return advance(now, measurement_interval), mean_;
  }
  double spread(Duration now, Duration measurement_interval) {
    advance(now, measurement_interval);
    return std::min(1.0, chebyshev_interval_width * std::sqrt(std::max(0.0, square_ - mean_ * mean_)));
  }

 private:
  void advance(Duration now, Duration measurement_interval) {
    if (current_ < full_delivery_share && now - recorded_at_ > 2 * measurement_interval) {
      average_until(recorded_at_ + 2 * measurement_interval, measurement_interval);
      current_ = 1;  // without a measurement for two intervals the share counts as full
    }
    average_until(now, measurement_interval);
  }
  void average_until(Duration until, Duration measurement_interval) {
    const double elapsed_windows =
        seconds(until - averaged_until_) / (share_averaging_intervals * seconds(measurement_interval));
    const double weight = std::exp(-std::max(0.0, elapsed_windows));
    mean_ = weight * mean_ + (1 - weight) * current_;
    square_ = weight * square_ + (1 - weight) * current_ * current_;
    averaged_until_ = std::max(averaged_until_, until);
  }
  double mean_ = 1;
  double square_ = 1;
  double current_ = 1;
  Duration recorded_at_{0};
  Duration averaged_until_{0};
};

// Exponentially decaying sum, brought up to date on each access.
class DecayingSum {
 public:
  void add(Duration now, double value, Duration decay_time) { sum_ = read(now, decay_time) + value; }
  double read(Duration now, Duration decay_time) {
    sum_ *= std::exp(-seconds(now - read_at_) / seconds(decay_time));
    read_at_ = now;
    return sum_;
  }

 private:
  double sum_ = 0;
  Duration read_at_{0};
};

// Load in kB/s that other fronts put on a link or an uplink, by the last report; its confidence decays with
// its age.
struct ExternalLoad {
  std::optional<double> kb;
  Duration reported_at = -24h;

  void record(double reported_kb, Duration now) {
    kb = reported_kb;
    reported_at = now;
  }
  double confidence(Duration now, Duration decay_time) const {
    return kb ? std::exp(-seconds(now - reported_at) / seconds(decay_time)) : 0;
  }
};

// Estimate of the fill of a link or uplink by other fronts, for servers without a report: the mean over the
// reports of all servers plus some deviations, because a server that was passed over is likely fuller than
// those in use.
struct ExternalFillEstimate {
  DecayingSum fills;
  DecayingSum squares;
  DecayingSum count;

  void record(double fill, Duration now, Duration decay_time) {
    fills.add(now, fill, decay_time);
    squares.add(now, fill * fill, decay_time);
    count.add(now, 1, decay_time);
  }
  double estimate(Duration now, Duration decay_time, double default_fill) {
    const double total = 1 + count.read(now, decay_time);
    const double mean = (default_fill + fills.read(now, decay_time)) / total;
    const double square = (default_fill * default_fill + squares.read(now, decay_time)) / total;
    return std::min(1.0, mean + unreported_fill_deviations * std::sqrt(std::max(0.0, square - mean * mean)));
  }
};

// CUBIC window (RFC 8312) in playbacks: reduced on a loss, then grown back along a cubic function of time.
struct CubicWindow {
  double peak = 0;
  Duration last_loss_at{0};

  double size(Duration now) const {
    const double to_peak = std::cbrt((1 - cubic_decrease_factor) * peak / cubic_scaling_constant);
    return cubic_scaling_constant * std::pow(seconds(now - last_loss_at) - to_peak, 3) + peak;
  }
  void reset(double initial_size, Duration now) { *this = {initial_size / cubic_decrease_factor, now}; }
  // Reduces from the playbacks in use where these are fewer than the window allows, since a window that was
  // not used was not tested (RFC 8312, application-limited flows).
  void on_loss(double in_use, Duration now) { *this = {std::max(1.0, std::min(size(now), in_use)), now}; }
};

// What this front knows of a video server, and what it has there.
struct Server {
  bool listed = false;
  Duration listed_at{0};  // for the first time
  ServerState state = ServerState::gone;
  int kind = 0;
  int cell = 0;
  int hall = 0;
  double weight = 1;
  std::optional<Duration> started;

  CubicWindow window;
  bool window_has_loss = false;
  ShareStatistics share_statistics;
  double mean_at_loss = 1;
  std::optional<Duration> last_shortfall_at;  // last measurement of the current shortfall episode
  std::optional<Duration> last_lowered_at;

  double own_kb = 0;  // rates of this front's playbacks there, set-ups included
  int own_playbacks = 0;
  ExternalLoad external_load;     // includes deviations of own playbacks from their nominal rates
  Duration raise_probe_at = -1h;  // last probe sent for a raise
  bool headroom_changed = false;  // since raises were last considered

  int consecutive_failures = 0;
  Duration cooldown_until{0};
  std::optional<Duration> cold_since;
  Duration last_setup_at = -24h;  // for the pace of cold servers
};

// A request until its end: waiting for a probe, setting up or playing.
struct Playback {
  enum class State { waiting, setting_up, playing };
  Request request;
  State state = State::waiting;
  Duration admitted_at{0};
  Duration target_at{0};
  ServerId server = 0;
  int rung = 0;
  int tries = 0;
  int probes = 0;                         // sent for this playback before its set-up
  std::optional<ServerId> awaited_probe;  // server whose probe it waits for
  Duration probe_sent_at{0};
  bool may_have_run = false;
  bool cancelled = false;
  std::optional<Duration> rung_changed_at;  // last time this front changed it
  std::optional<Duration> ends_at;
};

// The servers that share an uplink.
struct Rack {
  std::vector<ServerId> servers;
  std::optional<Duration> demand_computed_at;  // unset once an input of demand_kb has changed
  double demand_kb = 0;
  ExternalLoad external_load;  // from reports of the uplink, if there are any
  // What an uplink without reports delivered when it last fell short.
  std::optional<double> observed_capacity_kb;
  Duration observed_at{0};
};

}  // namespace

class Policy::Impl {
 public:
  Impl(PolicySettings settings, std::uint64_t seed) : settings_(std::move(settings)) {
    random_.seed(static_cast<std::minstd_rand::result_type>(seed % std::minstd_rand::modulus));
    // Absent or invalid settings still give one rung and one plan, and floors within the ladder.
    if (settings_.rung_kb.empty())
      settings_.rung_kb = {1};
    if (settings_.plans.empty())
      settings_.plans.emplace_back();
    const int last = static_cast<int>(settings_.rung_kb.size()) - 1;
    for (auto& plan : settings_.plans)
      plan.floor = std::clamp(plan.floor, 0, last);
    settings_.rung_revenue.resize(settings_.rung_kb.size(), 1);
    settings_.front_count = std::max(1, settings_.front_count);
    const auto front_count = static_cast<std::size_t>(settings_.front_count);
    front_index_ =
        settings_.front_index ? wrapped_index(*settings_.front_index, front_count) : random_() % front_count;
    settings_.cells = std::max(1, settings_.cells);
    cells_.resize(static_cast<std::size_t>(settings_.cells));  // a request may arrive before the first list
    racks_.resize(static_cast<std::size_t>(std::max(1, settings_.racks)));
  }

  std::vector<Command> handle(Duration now, const Event& event) {
    now_ = now;
    commands_.clear();
    if (!ticking_)
      start_tick_timer();
    std::visit([this](const auto& typed_event) { on(typed_event); }, event);
    return std::move(commands_);
  }

 private:
  // ---- events ----
  void on(const ServerList& list) {
    if (list.kind != ServerList::Kind::changes) {
      for (auto& server : servers_)
        server.state = ServerState::gone;
    }
    for (const auto& entry : list.entries)
      apply_entry(entry);
    index_servers();
  }

  void on(const ServerListFailed&) { subscription_due_ = settings_.list_needs_subscription; }

  // Guards against admitting a playback twice: its load would be added twice and removed once.
  bool is_known(const Request& request) const { return playbacks_.contains(request.playback); }

  void on(const Request& request) {
    if (is_known(request))
      return;
    if (settings_.retry_budget_window > 0s)
      request_times_.push_back(now_);
    expire_budget_entries();
    probe_credit_ = std::min(probe_credit_ + probe_credit_per_request(), max_probe_credit);
    auto& playback = admit(request);
    // Guards against keeping a request past the abandon time where that comes before the startup target.
    const Duration target = settings_.plans.at(playback.request.plan).startup_target;
    playback.target_at = std::min(now_ + target, request.abandon_at);
    place(playback);
  }

  // A waiting request is placed among its new holders at once, as the server whose probe it waits for may
  // hold the title no more.
  void on(const HoldersChanged& event) {
    const auto found = playbacks_.find(event.playback);
    if (found == playbacks_.end())
      return;
    found->second.request.listed_holders = event.listed_holders;
    if (found->second.state == Playback::State::waiting)
      place(found->second);
  }

  void on(const PlaybackAdopted& adopted) {
    if (is_known(adopted.request))
      return;
    auto& playback = admit(adopted.request);
    playback.state = Playback::State::playing;
    playback.tries = 1;
    playback.may_have_run = true;
    attach(playback, adopted.server);
  }

  void on(const RequestCancelled& event) {
    const auto found = playbacks_.find(event.playback);
    if (found == playbacks_.end())
      return;
    if (found->second.state == Playback::State::waiting)
      return forget(event.playback);
    found->second.cancelled = true;
  }

  void on(const PlaybackStarted& event) {
    const auto found = playbacks_.find(event.playback);
    if (found == playbacks_.end() || found->second.state != Playback::State::setting_up)
      return;
    if (found->second.server != event.server)
      return;  // belongs to an earlier try
    auto& server = servers_[event.server];
    found->second.state = Playback::State::playing;
    server.consecutive_failures = 0;
  }

  void on(const TryEnded& event) {
    apply_report(event.server, event.load);
    const auto found = playbacks_.find(event.playback);
    if (found == playbacks_.end())
      return;
    auto& playback = found->second;
    // Guards against a second set-up: only the end of the current try counts, not that of an earlier one.
    const bool of_this = playback.state != Playback::State::waiting && playback.server == event.server;
    if (!of_this && !event.playback_over)
      return;
    detach(playback);
    apply_outcome(server_at(event.server), playback, event.outcome);
    if (event.outcome == Outcome::served && !playback.request.length)
      record_length(now_ - playback.admitted_at);
    if (event.playback_over || playback.cancelled)
      return forget(event.playback);
    place(playback);
  }

  void on(const ProbeEnded& event) {
    apply_report(event.server, event.load);
    if (!event.answered && event.sent)
      record_failure(server_at(event.server));
    place_awaiting([&](const Playback& playback) { return playback.awaited_probe == event.server; });
  }

  void on(const Measurement& measurement) {
    const auto found = playbacks_.find(measurement.playback);
    switch (measurement.kind) {
      case Measurement::Kind::rung:
        if (found != playbacks_.end())
          apply_reported_rung(found->second, measurement.value);
        return;
      case Measurement::Kind::link_fill:
        return apply_report(measurement.server, {measurement.value, {}, {}});
      case Measurement::Kind::uplink_fill:
        return apply_report(measurement.server, {{}, measurement.value, {}});
      case Measurement::Kind::share:
        if (const auto share = clamped_if_finite(measurement.value, 1))
          apply_share(server_at(measurement.server), *share);
        return;
    }
  }

  void on(const TimerExpired& timer) {
    if (timer.token != tick_token)
      return;
    commands_.push_back(SetTimer{tick_interval, tick_token});
    if (std::exchange(subscription_due_, false))
      commands_.push_back(SubscribeServerList{});
    // Guards against an unanswered probe blocking its playback, which is placed without the answer.
    place_awaiting([&](Playback& playback) {
      if (now_ - playback.probe_sent_at <= tick_interval)
        return false;
      playback.probes = max_probes_per_setup;
      return true;
    });
    probe_for_raises();
    raise_rungs();
  }

  // ---- servers, their capacity and their load ----
  void start_tick_timer() {
    ticking_ = true;
    subscription_due_ = settings_.list_needs_subscription;
    commands_.push_back(SetTimer{tick_interval * (1 + static_cast<int>(random_() % 100)) / 100, tick_token});
  }

  Server& server_at(ServerId id) {
    if (id >= servers_.size())
      servers_.resize(id + 1);
    return servers_[id];
  }

  // Indexes the servers that are not gone by cell and rack, so that the cost of a request depends on its
  // holders only. Guards against servers that are gone counting in the mean stream capacity for good.
  void index_servers() {
    cells_.assign(static_cast<std::size_t>(settings_.cells), {});
    for (auto& rack : racks_)
      rack.servers.clear(), rack.demand_computed_at.reset();
    double streams = 0;
    int count = 0;
    for (ServerId id = 0; id < servers_.size(); ++id) {
      const auto& server = servers_[id];
      if (server.state == ServerState::gone)
        continue;
      cells_[wrapped_index(server.cell, cells_.size())].push_back(id);
      rack_of(server).servers.push_back(id);
      streams += stream_capacity(server);
      ++count;
    }
    mean_streams_ = count == 0 ? 0 : streams / count;
  }

  void apply_entry(const ServerEntry& entry) {
    auto& server = server_at(entry.server);
    // An older start time than the known one comes from a delayed list and does not replace it. A process
    // whose start was not told started before it was listed.
    const bool restarted =
        server.listed && entry.started && *entry.started > server.started.value_or(server.listed_at);
    server.kind = entry.kind;
    server.cell = entry.cell;
    server.hall = entry.hall;
    server.weight = std::isfinite(entry.weight) && entry.weight > 0 ? entry.weight : 1;
    server.state = entry.state;
    server.started = std::max(server.started, entry.started);
    if (restarted)
      reset_after_restart(server);
    if (server.started)
      server.cold_since = std::max(server.cold_since.value_or(*server.started), *server.started);
    if (!server.listed) {
      server.window.reset(std::max(1.0, stream_capacity(server) - server.own_playbacks), now_);
      server.listed_at = now_;
    }
    server.listed = true;
  }

  // Guards against judging a restarted process by the state of the one before it. Only the list entry, this
  // front's own load there and the data of the cold pace are kept.
  static void reset_after_restart(Server& server) {
    Server reset;
    reset.kind = server.kind;
    reset.cell = server.cell;
    reset.hall = server.hall;
    reset.weight = server.weight;
    reset.state = server.state;
    reset.started = server.started;
    reset.own_kb = server.own_kb;
    reset.own_playbacks = server.own_playbacks;
    reset.last_setup_at = server.last_setup_at;
    reset.cold_since = server.cold_since;
    server = reset;
  }

  double stream_capacity(const Server& server) const {
    const auto kind = static_cast<std::size_t>(server.kind);
    return kind < settings_.streams_by_kind.size() ? settings_.streams_by_kind[kind] : 1;
  }

  // In kB/s. Without weights, the link is taken to be proportional to the stream capacity of the server's
  // kind.
  double link_capacity(const Server& server) const {
    if (settings_.has_weights)
      return settings_.link_kb_per_weight * server.weight;
    return mean_streams_ > 0 ? settings_.link_kb_per_weight * stream_capacity(server) / mean_streams_ : 0;
  }

  Rack& rack_of(const Server& server) { return racks_[wrapped_index(server.cell, racks_.size())]; }

  // A report gives the total fill; what is not this front's own load is external load.
  void apply_report(ServerId id, const LoadReport& report) {
    const LoadReport load{clamped_if_finite(report.link_fill, max_reported_fill),
                          clamped_if_finite(report.uplink_fill, max_reported_fill),
                          clamped_if_finite(report.streams, std::numeric_limits<double>::max())};
    auto& server = server_at(id);
    rack_of(server).demand_computed_at.reset();
    if (load.link_fill) {
      const double external_kb = *load.link_fill * link_capacity(server) - server.own_kb;
      server.external_load.record(external_kb, now_);
      if (link_capacity(server) > 0)
        external_link_fill_.record(std::max(0.0, external_kb) / link_capacity(server), now_,
                                   report_decay_time());
      server.headroom_changed = true;
    }
    // The initial window leaves out the streams in use, except this front's own.
    if (load.streams && !server.window_has_loss) {
      const double free = stream_capacity(server) - *load.streams;
      server.window.reset(std::max(1.0, server.own_playbacks + free), now_);
    }
    if (load.uplink_fill && settings_.uplink_kb > 0) {
      auto& rack = rack_of(server);
      const double external_kb = *load.uplink_fill * settings_.uplink_kb - own_load_in(rack);
      rack.external_load.record(external_kb, now_);
      external_uplink_fill_.record(std::max(0.0, external_kb) / settings_.uplink_kb, now_,
                                   report_decay_time());
    }
  }

  // Guards against acting on old reports as if they were fresh: as a report ages, the estimate moves
  // towards the fill reported by other servers. Covers late reports, and servers that report only while
  // this front has playbacks there. The estimate is wrong where the external load is steady and far from
  // typical.
  double estimated_external_load(const ExternalLoad& load, double capacity, ExternalFillEstimate& typical) {
    const double confidence = load.confidence(now_, report_decay_time());
    const double equal_share = static_cast<double>(settings_.front_count - 1) / settings_.front_count;
    const double expected_kb =
        typical.estimate(now_, report_decay_time(), std::min(equal_share, default_external_fill)) * capacity;
    return confidence * load.kb.value_or(0) + (1 - confidence) * expected_kb;
  }
  double external_link_load(const Server& server) {
    return estimated_external_load(server.external_load, link_capacity(server), external_link_fill_);
  }

  Duration report_decay_time() const { return report_decay_intervals * measurement_interval(); }

  double own_load_in(const Rack& rack) {
    double own = 0;
    for (const auto id : rack.servers)
      own += servers_[id].own_kb;
    return own;
  }

  Duration measurement_interval() const {
    return std::max<Duration>(settings_.measurement_delay, 500ms) + 500ms;
  }

  // Free capacity in kB/s: the link times its mean delivered share, less this front's own and the external
  // load; at most the headroom of the rack's uplink.
  double headroom(Server& server, double max_fill) {
    const double usable_link =
        link_capacity(server) * max_fill * server.share_statistics.mean(now_, measurement_interval());
    const double unused = usable_link - server.own_kb;
    return std::min(unused - estimated_external_load(server.external_load, usable_link, external_link_fill_),
                    rack_headroom(rack_of(server), max_fill));
  }

  double rack_headroom(Rack& rack, double max_fill) {
    if (settings_.uplink_kb <= 0)
      return std::numeric_limits<double>::max();
    const double usable_uplink = uplink_capacity(rack) * max_fill;
    if (!rack.external_load.kb)
      return usable_uplink - rack_demand(rack);
    return usable_uplink - own_load_in(rack) -
           estimated_external_load(rack.external_load, usable_uplink, external_uplink_fill_);
  }

  // Total load in kB/s on a rack, from its servers' reports. Cached for one point in time, because a burst
  // of requests would otherwise walk whole racks for each holder of each request.
  double rack_demand(Rack& rack) {
    if (rack.demand_computed_at == now_)
      return rack.demand_kb;
    rack.demand_computed_at = now_;
    rack.demand_kb = 0;
    for (const auto id : rack.servers) {
      const auto& server = servers_[id];
      if (server.state == ServerState::ready)
        rack.demand_kb += server.own_kb + external_link_load(server);
    }
    return rack.demand_kb;
  }

  // The configured uplink in kB/s, shifted towards its observed capacity, which counts less as it ages.
  double uplink_capacity(const Rack& rack) const {
    if (!rack.observed_capacity_kb)
      return settings_.uplink_kb;
    const double weight = std::exp(-seconds(now_ - rack.observed_at) /
                                   (uplink_decay_intervals * seconds(measurement_interval())));
    return settings_.uplink_kb + weight * (*rack.observed_capacity_kb - settings_.uplink_kb);
  }

  // Guards against a saturated uplink that no report shows: most servers of a rack deliver short at once
  // while their reports show headroom on their links. Also covers a fault of a rack's switch or power that
  // slows all its servers. Underestimates the uplink where several links fall short for reasons of their
  // own while their reports are old.
  void detect_uplink_shortage(Server& server, double share) {
    auto& rack = rack_of(server);
    if (settings_.uplink_kb <= 0 || rack.external_load.kb)
      return;
    int servers_in_use = 0, servers_short = 0;
    for (const auto id : rack.servers) {
      const auto& other = servers_[id];
      if (other.own_playbacks == 0)
        continue;
      const bool below_capacity =
          other.own_kb + other.external_load.kb.value_or(0) < full_delivery_share * link_capacity(other);
      ++servers_in_use;
      if (other.last_shortfall_at && now_ - *other.last_shortfall_at <= 2 * measurement_interval() &&
          below_capacity)
        ++servers_short;
    }
    if (servers_short < 2 || 2 * servers_short <= servers_in_use)
      return;
    rack.observed_capacity_kb = rack_demand(rack) * share;
    rack.observed_at = now_;
  }

  // ---- delivery shortfall ----
  void apply_share(Server& server, double share) {
    server.share_statistics.record(now_, share, measurement_interval());
    if (share >= full_delivery_share) {
      server.last_shortfall_at.reset();
      server.headroom_changed = true;
      return;
    }
    const bool same_episode =
        server.last_shortfall_at && now_ - *server.last_shortfall_at <= 2 * measurement_interval();
    const double mean = server.share_statistics.mean(now_, measurement_interval());
    server.last_shortfall_at = now_;
    // Late measurements of one event count as one loss, unless the mean keeps falling.
    if (!same_episode || mean < new_loss_mean_ratio * server.mean_at_loss) {
      server.window.on_loss(server.own_playbacks, now_);
      server.window_has_loss = true;
      server.mean_at_loss = mean;
    }
    detect_uplink_shortage(server, share);
    lower_rungs(server, share);
  }

  // Lowers rungs until this front's part of the shortfall is covered, least revenue lost per kB/s first.
  // Measurements that follow shortly still describe the time before, so they lower nothing more.
  void lower_rungs(Server& server, double share) {
    if (server.last_lowered_at &&
        now_ - *server.last_lowered_at < settings_.measurement_delay + measurement_interval())
      return;
    server.last_lowered_at = now_;
    double needed = server.own_kb * (1 - max_planned_fill * share);
    while (needed > 0) {
      const auto step = cheapest_step_down(server);
      if (!step.playback)
        return;
      // Guards against every front lowering a whole rung where a part of one is enough: the last step is
      // taken at random, with the needed part as its probability.
      if (draw_uniform() * step.freed >= needed)
        return;
      needed -= step.freed;
      change_rung(*step.playback, step.rung);
    }
  }

  // ---- rungs ----
  double rate(const Request& request, int rung) const {
    return settings_.rung_kb.at(rung) * settings_.plans[request.plan].rate_scale;
  }
  // Revenue of the step up to this rung, per additional kB/s.
  double step_revenue_per_kb(const Request& request, int rung) const {
    const auto& plan = settings_.plans[request.plan];
    const double below = rung > 0 ? settings_.rung_revenue.at(rung - 1) : 0;
    const double kb_below = rung > 0 ? rate(request, rung - 1) : 0;
    const double more_kb = std::max(1e-9, rate(request, rung) - kb_below);
    return std::max(0.0, plan.revenue * (settings_.rung_revenue.at(rung) - below) / more_kb);
  }
  int floor_rung(const Request& request) const { return settings_.plans[request.plan].floor; }
  int top_rung(const Request& request) const {
    const int last = static_cast<int>(settings_.rung_kb.size()) - 1;
    return std::clamp(std::min(request.top, settings_.plans[request.plan].top), 0, last);
  }

  void update_rung(Playback& playback, int rung) {
    auto& server = servers_[playback.server];
    change_own_load(server, rate(playback.request, rung) - rate(playback.request, playback.rung));
    playback.rung = rung;
  }

  // Takes over the rung reported for a playback, but never one below its floor.
  void apply_reported_rung(Playback& playback, double reported) {
    const auto rung = clamped_if_finite(reported, static_cast<double>(settings_.rung_kb.size() - 1));
    if (!rung || playback.state == Playback::State::waiting)
      return;
    update_rung(playback, std::max(static_cast<int>(*rung), floor_rung(playback.request)));
  }

  void change_rung(Playback& playback, int rung) {
    update_rung(playback, rung);
    playback.rung_changed_at = now_;
    commands_.push_back(SetRung{playback.request.playback, rung});
  }

  // Expected time to the playback's end, from its length if known, else from the lengths of other
  // playbacks.
  Duration remaining_time(const Playback& playback) {
    const Duration floor = settings_.switch_cost;
    return playback.ends_at ? std::max(floor, *playback.ends_at - now_) : std::max(floor, expected_length());
  }

  // Revenue lost by lowering the playback to `rung`, switch cost included.
  double revenue_loss(const Playback& playback, int rung) {
    const auto& revenue = settings_.rung_revenue;
    return settings_.plans[playback.request.plan].revenue *
           ((revenue.at(playback.rung) - revenue.at(rung)) * seconds(remaining_time(playback)) +
            seconds(settings_.switch_cost));
  }

  struct StepDown {
    Playback* playback = nullptr;
    int rung = 0;
    double freed = 0;
    double loss = 0;
  };

  // The step down, over one rung or several, with the least revenue lost per kB/s freed.
  StepDown cheapest_step_down(const Server& server) {
    StepDown best;
    for (auto& [id, playback] : playbacks_) {
      if (playback.state != Playback::State::playing || playback.cancelled)
        continue;
      if (&servers_[playback.server] != &server)
        continue;
      for (int rung = floor_rung(playback.request); rung < playback.rung; ++rung) {
        const double freed = rate(playback.request, playback.rung) - rate(playback.request, rung);
        const double loss = revenue_loss(playback, rung);
        if (!best.playback || loss * best.freed < best.loss * freed)
          best = {&playback, rung, freed, loss};
      }
    }
    return best;
  }

  // Share of a link that may be filled for this rung. The less its last step earns per kB/s, compared with
  // the best step of the ladder, the more is kept free for later requests.
  double max_fill_for(const Request& request, int rung) const {
    if (rung <= floor_rung(request))
      return max_planned_fill;
    double highest = 0;
    for (int step = 0; step < static_cast<int>(settings_.rung_kb.size()); ++step)
      highest = std::max(highest, step_revenue_per_kb(request, step));
    const double exponent =
        settings_.probes_enabled ? reserve_exponent_with_probes : reserve_exponent_without_probes;
    return highest > 0 ? max_planned_fill * std::pow(step_revenue_per_kb(request, rung) / highest, exponent)
                       : 0;
  }

  Duration expected_length() {
    const double count = length_count_.read(now_, default_playback_length);
    const double sum = length_sum_.read(now_, default_playback_length);
    return duration_from_seconds((default_length_weight * seconds(default_playback_length) + sum) /
                                 (default_length_weight + count));
  }

  void record_length(Duration length) {
    length_sum_.add(now_, seconds(length), default_playback_length);
    length_count_.add(now_, 1, default_playback_length);
  }

  // Raises playbacks in the order of the revenue of their next step, each to the highest rung that fits,
  // since a switch costs the same over one rung or several. Servers whose headroom has not changed since
  // the last pass are skipped, as the result would be the same.
  void raise_rungs() {
    std::vector<std::pair<double, Playback*>> candidates;
    for (auto& [id, playback] : playbacks_) {
      if (can_be_raised(playback) && servers_[playback.server].headroom_changed)
        candidates.emplace_back(-step_revenue_per_kb(playback.request, playback.rung + 1), &playback);
    }
    for (const auto& [value, playback] : candidates)
      servers_[playback->server].headroom_changed = false;
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](auto& a, auto& b) { return a.first < b.first; });
    for (const auto& [value, playback] : candidates) {
      const int rung = highest_rung_that_fits(*playback);
      if (rung <= playback->rung || !raise_pays_off(*playback, rung) || !wins_raise_draw(*playback, rung))
        continue;
      change_rung(*playback, rung);
    }
  }

  int highest_rung_that_fits(const Playback& playback) {
    const auto& request = playback.request;
    auto& server = servers_[playback.server];
    int rung = top_rung(request);
    for (; rung > playback.rung; --rung) {
      const double added_kb = rate(request, rung) - rate(request, playback.rung);
      if (added_kb <= headroom(server, max_fill_for(request, rung)))
        break;
    }
    return rung;
  }

  // Fronts that see the same headroom raise at random, so that their expected total just fills it. The
  // answer to a probe reaches one front only and needs no draw. Measurements reach every front with
  // playbacks there; the number of these is estimated as the external load over the mean rate of this
  // front's own playbacks.
  bool wins_raise_draw(const Playback& playback, int rung) {
    if (settings_.probes_enabled)
      return true;
    auto& server = servers_[playback.server];
    const double added_kb = rate(playback.request, rung) - rate(playback.request, playback.rung);
    const double competitors = external_link_load(server) * server.own_playbacks / server.own_kb;
    return draw_uniform() * added_kb * (1 + std::clamp<double>(competitors, 0, settings_.front_count - 1)) <=
           headroom(server, max_fill_for(playback.request, rung));
  }

  // A raise must earn back its switch cost, the more so the fuller the link, because it will be reverted
  // sooner.
  bool raise_pays_off(const Playback& playback, int rung) {
    const auto& revenue = settings_.rung_revenue;
    auto& server = servers_[playback.server];
    const double gained = revenue.at(rung) - revenue.at(playback.rung);
    const double fill = std::clamp(1 - headroom(server, 1) / link_capacity(server), 0.0, 1.0);
    return gained * seconds(remaining_time(playback)) >
           raise_payoff_factor * fill * seconds(settings_.switch_cost);
  }

  bool can_be_raised(const Playback& playback) {
    if (playback.state != Playback::State::playing || playback.cancelled)
      return false;
    if (playback.rung >= top_rung(playback.request))
      return false;
    return !playback.rung_changed_at ||
           now_ - *playback.rung_changed_at >= min_raise_spacing * settings_.switch_cost;
  }

  // ---- placement ----
  Playback& admit(const Request& request) {
    auto& playback = playbacks_[request.playback];
    playback.request = request;
    playback.request.plan = std::clamp(request.plan, 0, static_cast<int>(settings_.plans.size()) - 1);
    playback.rung = floor_rung(playback.request);
    playback.admitted_at = now_;
    if (request.length)
      record_length(*request.length);
    if (request.length)
      playback.ends_at = now_ + *request.length;
    return playback;
  }

  void change_own_load(Server& server, double kb) {
    server.own_kb += kb;
    rack_of(server).demand_computed_at.reset();
  }

  void attach(Playback& playback, ServerId id) {
    auto& server = server_at(id);
    playback.server = id;
    ++seats_taken_[{playback.request.plan, playback.request.title}];
    change_own_load(server, rate(playback.request, playback.rung));
    ++server.own_playbacks;
  }

  void detach(Playback& playback) {
    if (playback.state == Playback::State::waiting)
      return;
    auto& server = servers_[playback.server];
    const std::pair seat(playback.request.plan, playback.request.title);
    if (--seats_taken_[seat] == 0)
      seats_taken_.erase(seat);
    change_own_load(server, -rate(playback.request, playback.rung));
    if (--server.own_playbacks == 0)
      server.own_kb = 0;
    playback.state = Playback::State::waiting;
  }

  void forget(PlaybackId id) {
    detach(playbacks_.at(id));
    playbacks_.erase(id);
  }

  // Servers that hold the request's title and may get a set-up now, by rising id.
  std::vector<ServerId> eligible_holders(const Request& request) {
    std::vector<ServerId> eligible;
    if (request.listed_holders) {
      for (const auto id : *request.listed_holders) {
        if (id < servers_.size() && servers_[id].listed && is_eligible(servers_[id]))
          eligible.push_back(id);
      }
      return eligible;
    }
    for (int i = 0; i < std::min(request.cell_count, settings_.cells); ++i) {
      for (const auto id : cells_[wrapped_index(request.first_cell + i, cells_.size())]) {
        if (is_eligible(servers_[id]))
          eligible.push_back(id);
      }
    }
    std::sort(eligible.begin(), eligible.end());
    return eligible;
  }

  bool is_eligible(const Server& server) const {
    if (server.state != ServerState::ready)
      return false;
    if (now_ < server.cooldown_until)
      return false;
    return server.own_playbacks + 1 <= server.window.size(now_) && within_cold_pace(server);
  }

  // A front that has just started itself can't tell which other fronts have. Few start at the same time, so
  // it takes half of the pace.
  bool within_cold_pace(const Server& server) const {
    return has_turn(server) && now_ - server.last_setup_at >= own_start_setup_interval(server);
  }

  // Guards against bursts of set-ups from several fronts at a server that has just started or failed:
  // fronts take turns of one set-up each, at the allowed pace. An unused turn expires, so turns can't be
  // saved up for a burst, and all fronts together stay under the overload multiple at any demand.
  bool has_turn(const Server& server) const {
    if (!server.cold_since || now_ - *server.cold_since >= settings_.warmup_time)
      return true;
    const auto turn = turn_number(server, now_);
    const bool used =
        server.last_setup_at >= *server.cold_since && turn_number(server, server.last_setup_at) == turn;
    return !used && turn % static_cast<std::size_t>(settings_.front_count) == front_index_;
  }

  // Number of set-ups that the pace has allowed since the start, which is the number of the current turn.
  std::size_t turn_number(const Server& server, Duration at) const {
    const double elapsed = std::max(0.0, seconds(at - *server.cold_since) / seconds(settings_.warmup_time));
    const double capacity_integral = settings_.warmup_initial_share * elapsed +
                                     (1 - settings_.warmup_initial_share) * elapsed * elapsed * elapsed / 3;
    const double allowed_setups =
        cold_pace_share * settings_.overload_multiple * stream_capacity(server) * capacity_integral;
    return static_cast<std::size_t>(std::fmax(0, std::fmin(allowed_setups, 1e9)));
  }

  // Minimum time between this front's set-ups to a server that may have started when the front did.
  Duration own_start_setup_interval(const Server& server) const {
    if (now_ >= settings_.warmup_time)
      return 0s;
    const double elapsed = seconds(now_) / seconds(settings_.warmup_time);
    const double capacity_share =
        settings_.warmup_initial_share + (1 - settings_.warmup_initial_share) * elapsed * elapsed;
    const double pace = stream_capacity(server) / seconds(settings_.warmup_time) * capacity_share *
                        settings_.overload_multiple;
    return duration_from_seconds(std::min(settings_.front_count, 2) / (pace * cold_pace_share));
  }

  bool has_free_seat(const Request& request) const {
    const int seats = settings_.plans[request.plan].seats;
    if (seats <= 0)
      return true;
    const auto taken = seats_taken_.find({request.plan, request.title});
    return taken == seats_taken_.end() || taken->second < seats;
  }

  // Retries within the window, this one included, stay within the base plus the share of requests.
  bool within_retry_budget(const Playback& playback) {
    if (playback.tries == 0 || settings_.retry_budget_window <= 0s)
      return true;
    expire_budget_entries();
    return retry_times_.size() + 1.0 <=
           settings_.retry_budget_base +
               settings_.retry_budget_share * static_cast<double>(request_times_.size());
  }

  // Runs on each request too. Guards against a front that seldom retries keeping all its requests in
  // memory.
  void expire_budget_entries() {
    while (!request_times_.empty() && request_times_.front() <= now_ - settings_.retry_budget_window)
      request_times_.pop_front();
    while (!retry_times_.empty() && retry_times_.front() < now_ - settings_.retry_budget_window)
      retry_times_.pop_front();
  }

  bool may_set_up(const Playback& playback) {
    const auto& plan = settings_.plans[playback.request.plan];
    if (plan.pay_at_setup && playback.may_have_run)
      return false;
    if (now_ >= playback.target_at)
      return false;
    return playback.tries < settings_.max_tries && within_retry_budget(playback) &&
           has_free_seat(playback.request);
  }

  void place(Playback& playback) {
    playback.awaited_probe.reset();
    if (!may_set_up(playback))
      return turn_down(playback);
    const auto& request = playback.request;
    const auto eligible = eligible_holders(request);
    std::optional<ServerId> chosen;
    int rung = top_rung(request);
    for (; !chosen && rung >= floor_rung(request); --rung)
      chosen = choose_server(eligible, rate(request, rung), max_fill_for(request, rung));
    ++rung;
    // A holder with a fresh report that fits the top rung is taken at once; else the stalest one is probed
    // first.
    const bool good_enough = chosen && rung == top_rung(request) && has_fresh_report(servers_[*chosen]);
    const auto stalest = stalest_holder(eligible);
    if (!good_enough && stalest && should_probe(playback, servers_[*stalest]))
      return probe_before_setup(playback, *stalest);
    chosen ? start_setup(playback, *chosen, rung) : turn_down(playback);
  }

  template <typename Predicate>
  void place_awaiting(Predicate predicate) {
    std::vector<Playback*> waiting;
    for (auto& [id, playback] : playbacks_) {
      if (playback.awaited_probe && predicate(playback))
        waiting.push_back(&playback);
    }
    for (auto* playback : waiting)
      place(*playback);
  }

  // Among servers with headroom for `kb`, chooses by least spread of the delivered share, then own hall,
  // then most headroom, then a fresh report; spreads and headrooms within the tolerances count as equal.
  // What is still tied is drawn, as fronts with the same data would otherwise all choose the same server.
  std::optional<ServerId> choose_server(const std::vector<ServerId>& eligible, double kb, double max_fill) {
    std::optional<ServerId> best;
    double best_spread = 0, best_headroom = 0;
    int tie_count = 0;
    for (const auto id : eligible) {
      auto& server = servers_[id];
      const double remaining = headroom(server, max_fill) - kb;
      if (remaining < 0)
        continue;
      const double spread = server.share_statistics.spread(now_, measurement_interval());
      const double gain = remaining - best_headroom;
      if (best && std::abs(spread - best_spread) > spread_tie_tolerance) {
        if (spread > best_spread)
          continue;
        tie_count = 1;
      } else if (best && is_in_other_hall(server) != is_in_other_hall(servers_[*best])) {
        if (is_in_other_hall(server))
          continue;
        tie_count = 1;
      } else if (best && std::abs(gain) > headroom_tie_share * link_capacity(server)) {
        if (gain < 0)
          continue;
        tie_count = 1;
      } else if (best && has_fresh_report(server) != has_fresh_report(servers_[*best])) {
        if (!has_fresh_report(server))
          continue;
        tie_count = 1;
      } else if (draw_uniform() * ++tie_count >= 1) {
        continue;
      }
      best = id;
      best_spread = spread;
      best_headroom = remaining;
    }
    return best;
  }

  bool is_in_other_hall(const Server& server) const {
    return settings_.cross_hall_cost > 0 && server.hall != settings_.own_hall;
  }

  bool has_fresh_report(const Server& server) const {
    return server.external_load.kb && now_ - server.external_load.reported_at <= fresh_report_age();
  }
  Duration fresh_report_age() const {
    return duration_from_seconds(fresh_report_share * seconds(report_decay_time()));
  }

  // Uniform in [0, 1).
  double draw_uniform() { return std::uniform_real_distribution<>()(random_); }

  void start_setup(Playback& playback, ServerId id, int rung) {
    const auto& request = playback.request;
    auto& server = servers_[id];
    playback.rung = rung;
    mean_revenue_ += revenue_smoothing * (settings_.rung_revenue.at(rung) - mean_revenue_);
    attach(playback, id);
    playback.state = Playback::State::setting_up;
    if (playback.tries > 0 && settings_.retry_budget_window > 0s)
      retry_times_.push_back(now_);
    ++playback.tries;
    server.last_setup_at = now_;
    commands_.push_back(SetRung{request.playback, rung});
    commands_.push_back(SetUp{request.playback, id, time_limit(playback)});
  }

  // A try leaves time for another one before the startup target, unless it is the last one allowed.
  Duration time_limit(const Playback& playback) {
    const Duration until_abandon = playback.request.abandon_at - now_;
    if (settings_.plans[playback.request.plan].pay_at_setup)
      return until_abandon;
    if (playback.tries >= settings_.max_tries)
      return until_abandon;
    return std::min(until_abandon,
                    duration_from_seconds(try_time_share * seconds(playback.target_at - now_)) + 50ms);
  }

  void turn_down(Playback& playback) {
    mean_revenue_ -= revenue_smoothing * mean_revenue_;
    const auto id = playback.request.playback;
    const auto retry_after = duration_from_seconds(retry_after_share * seconds(settings_.max_retry_after));
    if (settings_.plans[playback.request.plan].pay_at_setup && playback.may_have_run)
      commands_.push_back(Abort{id});
    else
      commands_.push_back(Reject{id, retry_after});
    forget(id);
  }

  // ---- server health, from the outcomes of this front's tries and probes ----
  void apply_outcome(Server& server, Playback& playback, Outcome outcome) {
    const bool never_ran =
        outcome == Outcome::full || outcome == Outcome::no_connection || outcome == Outcome::not_sent;
    if (!never_ran)
      playback.may_have_run = true;
    if (outcome == Outcome::reset || outcome == Outcome::no_connection || outcome == Outcome::late)
      record_failure(server);
    if (outcome == Outcome::full)
      server.external_load.record(link_capacity(server) - server.own_kb, now_);
  }

  // After no answer, a reset or a refused connection the server gets nothing for a cooldown, which doubles
  // with each further failure until a try starts. It counts as cold, since it may have restarted.
  void record_failure(Server& server) {
    if (now_ < server.cooldown_until)
      return;
    const double cooldown = first_cooldown_targets * std::exp2(std::min(server.consecutive_failures, 3)) *
                            seconds(shortest_target());
    ++server.consecutive_failures;
    server.cooldown_until = now_ + duration_from_seconds(cooldown);
    server.cold_since = now_;
  }

  Duration shortest_target() const {
    Duration shortest = Duration::max();
    for (const auto& plan : settings_.plans)
      shortest = std::min(shortest, plan.startup_target);
    return shortest;
  }

  // ---- probes ----
  double probe_credit_per_request() const {
    if (!settings_.probes_enabled)
      return 0;
    return settings_.probe_cost > 0
               ? std::min(2.0, probe_revenue_share * mean_revenue_ / settings_.probe_cost)
               : 2.0;
  }

  // A stale report is renewed before the set-up, where probe credit and startup target allow.
  bool should_probe(const Playback& playback, const Server& server) const {
    if (!settings_.probes_enabled || probe_credit_ < 1 || playback.probes >= max_probes_per_setup)
      return false;
    if (playback.target_at - now_ < 2 * tick_interval)
      return false;
    return !has_fresh_report(server);
  }

  // Probes a server whose playbacks could be raised, the one with the oldest report first. A server without
  // any report, as under an adopted playback, is probed at once; others as far as probe credit allows.
  void probe_for_raises() {
    if (!settings_.probes_enabled)
      return;
    Server* oldest = nullptr;
    ServerId oldest_id = 0;
    for (const auto& [id, playback] : playbacks_) {
      auto& server = servers_[playback.server];
      if (!can_be_raised(playback) ||
          now_ - std::max(server.raise_probe_at, server.external_load.reported_at) < fresh_report_age())
        continue;
      if (oldest && oldest->external_load.reported_at <= server.external_load.reported_at)
        continue;
      oldest = &server;
      oldest_id = playback.server;
    }
    if (!oldest || (probe_credit_ < 1 && oldest->external_load.kb))
      return;
    if (oldest->external_load.kb)
      probe_credit_ -= 1;
    oldest->raise_probe_at = now_;
    commands_.push_back(Probe{oldest_id});
  }

  // The holder with the oldest report. Guards against rejecting viewers although headroom has become free
  // since.
  std::optional<ServerId> stalest_holder(const std::vector<ServerId>& eligible) {
    std::optional<ServerId> stalest;
    int tie_count = 0;
    for (const auto id : eligible) {
      if (has_fresh_report(servers_[id]))
        continue;
      const auto rank = [&](ServerId of) {
        return std::pair(is_in_other_hall(servers_[of]), servers_[of].external_load.reported_at);
      };
      if (stalest && rank(id) > rank(*stalest))
        continue;
      tie_count = !stalest || rank(id) < rank(*stalest) ? 1 : tie_count + 1;
      if (tie_count == 1 || draw_uniform() * tie_count < 1)
        stalest = id;
    }
    return stalest;
  }

  void probe_before_setup(Playback& playback, ServerId id) {
    ++playback.probes;
    playback.awaited_probe = id;
    playback.probe_sent_at = now_;
    probe_credit_ -= 1;
    commands_.push_back(Probe{id});
  }

  PolicySettings settings_;
  std::minstd_rand random_;
  std::size_t front_index_ = 0;
  Duration now_{0};
  std::vector<Command> commands_;
  bool ticking_ = false;
  bool subscription_due_ = false;
  std::deque<Server> servers_;                // by ServerId
  std::vector<std::vector<ServerId>> cells_;  // servers in each cell that are not gone
  std::vector<Rack> racks_;
  double mean_streams_ = 0;  // stream capacity of the mean server that is not gone
  std::map<PlaybackId, Playback> playbacks_;
  std::map<std::pair<int, TitleId>, int> seats_taken_;  // per plan and title, set-ups included
  std::deque<Duration> request_times_;
  std::deque<Duration> retry_times_;
  double probe_credit_ = 0;
  double mean_revenue_ = 1;  // moving average of a request's rung revenue, 0 for a rejected one
  ExternalFillEstimate external_link_fill_;
  ExternalFillEstimate external_uplink_fill_;
  DecayingSum length_sum_;
  DecayingSum length_count_;
};

Policy::Policy(PolicySettings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;

std::vector<Command> Policy::handle(Duration now, const Event& event) { return impl_->handle(now, event); }

}  // namespace violettide
