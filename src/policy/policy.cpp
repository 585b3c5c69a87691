// The decision module. Its caller hands Policy::handle the time (a span since this session manager
// started) and one thing that happened, and carries out the orders returned, in their order. The
// interface is in policy.h; all decisions, tables and tuned values are here. docs/design.md tells what
// is kept of Sunstar.
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

// CUBIC's constants (RFC 8312) and the page's limits for a loss.
constexpr double window_kept = 0.7;
constexpr double cubic_scale = 0.4;
constexpr double mean_drop_is_loss = 0.8;
constexpr double full_share = 0.98;
// Chebyshev: nine tenths of all values lie within sqrt(10) deviations of the mean, on either side.
const double chebyshev_gap = 2 * std::sqrt(10.0);
constexpr double spread_tie = 0.1;
constexpr double room_tie = 0.05;  // of a link

// The part of a link that floors and the best step may fill: true rates leave the ladder.
constexpr double filled_most = 0.95;
// How steeply that falls with what a step earns, so that some stays free for those who come later: where
// a front may ask before it fills room, and where it hears only what all hear.
constexpr double reserve_asked = 0.25;
constexpr double reserve_told = 0.4;
constexpr double unheard_fill = 0.85;    // of a link, by the others, before any report
constexpr double share_memory = 6;       // the share's mean reaches back so many note lags
constexpr double uplink_memory = 10;     // likewise what an uplink was seen to give
constexpr int report_memory = 10;        // a report is trusted so many note spacings
constexpr double caution = 0.7;          // deviations by which a server without reports counts as fuller
constexpr double rise_spacing = 10;      // a playback's rises lie so many switch costs apart at least
constexpr double rise_payoff = 8;        // a rise earns so many times its price
constexpr double pace_kept = 0.8;        // part of a cold server's pace that all fronts take together
constexpr double earned_weight = 0.1;    // of the latest request in what requests earn
constexpr double probe_spending = 0.03;  // part of the revenue that probes may cost
constexpr int most_probes = 2;           // before one set-up
constexpr double fresh_part = 0.25;      // of a report's memory: so long it needs no probe
constexpr double most_probes_due = 4;
constexpr double first_try_share = 0.45;  // part of the time to the startup target that one try may take
constexpr double first_rest = 1;          // a failing server rests so many startup targets, doubling
constexpr double come_back_part = 0.5;    // of the longest come-back time
constexpr Duration first_life = 30s;      // how long playbacks last until this front knows
constexpr double first_lives = 10;        // so many lives of its own count as much as that
constexpr double fill_most = 20;          // of a link or an uplink: a report beyond says no more
constexpr Duration tick = 250ms;
constexpr std::uint32_t tick_token = 1;

std::size_t wrapped(int place, std::size_t count) {
  const int most = static_cast<int>(count);
  return static_cast<std::size_t>((place % most + most) % most);
}
double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }
// Bounded, as nonsensical settings can make a span endless.
Duration span_of(double seconds) {
  constexpr double most = 1e9;
  return Duration(static_cast<std::int64_t>((seconds < most ? std::max(seconds, -most) : most) * 1e6));
}

// Guards against figures that are none, or beyond all sense: one would stay in a mean for good.
std::optional<double> sane(std::optional<double> told, double most) {
  if (!told || !std::isfinite(*told))
    return std::nullopt;
  return std::clamp(*told, 0.0, most);
}

template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};

// Mean and variance of the delivered share over time; between notes a server counts as it last sounded.
class ShareMeter {
 public:
  void note(Duration now, double share, Duration silence) {
    settle(now, silence);
    current_ = share;
    noted_ = now;
  }
  double mean(Duration now, Duration silence) { return settle(now, silence), mean_; }
  double spread(Duration now, Duration silence) {
    settle(now, silence);
    return std::min(1.0, chebyshev_gap * std::sqrt(std::max(0.0, square_ - mean_ * mean_)));
  }

 private:
  void settle(Duration now, Duration silence) {
    if (current_ < full_share && now - noted_ > 2 * silence) {
      pull(noted_ + 2 * silence, silence);
      current_ = 1;  // no note for so long: full share again
    }
    pull(now, silence);
  }
  void pull(Duration until, Duration silence) {
    const double gone = seconds(until - settled_) / (share_memory * seconds(silence));
    const double kept = std::exp(-std::max(0.0, gone));
    mean_ = kept * mean_ + (1 - kept) * current_;
    square_ = kept * square_ + (1 - kept) * current_ * current_;
    settled_ = std::max(settled_, until);
  }
  double mean_ = 1;
  double square_ = 1;
  double current_ = 1;
  Duration noted_{0};
  Duration settled_{0};
};

// A sum that fades: brought up to date when read.
class FadingSum {
 public:
  void add(Duration now, double value, Duration memory) { sum_ = read(now, memory) + value; }
  double read(Duration now, Duration memory) {
    sum_ *= std::exp(-seconds(now - read_at_) / seconds(memory));
    read_at_ = now;
    return sum_;
  }

 private:
  double sum_ = 0;
  Duration read_at_{0};
};

// What the others ask of a link or an uplink, by reports; it counts less the older it is.
struct OthersUse {
  std::optional<double> kb;
  Duration heard_at = -24h;

  void hear(double heard, Duration now) {
    kb = heard;
    heard_at = now;
  }
  double trust(Duration now, Duration memory) const {
    return kb ? std::exp(-seconds(now - heard_at) / seconds(memory)) : 0;
  }
};

// What reports on all servers say of the others' part of a link or uplink, for where none tells: their
// mean and so many deviations, as a server that was passed over is likely fuller than those used.
struct UsualFill {
  FadingSum fills;
  FadingSum squares;
  FadingSum count;

  void hear(double fill, Duration now, Duration memory) {
    fills.add(now, fill, memory);
    squares.add(now, fill * fill, memory);
    count.add(now, 1, memory);
  }
  double read(Duration now, Duration memory, double unheard) {
    const double heard = 1 + count.read(now, memory);
    const double mean = (unheard + fills.read(now, memory)) / heard;
    const double square = (unheard * unheard + squares.read(now, memory)) / heard;
    return std::min(1.0, mean + caution * std::sqrt(std::max(0.0, square - mean * mean)));
  }
};

// A CUBIC window: cut on a loss, regrown by the cubic.
struct Window {
  double peak = 0;
  Duration lost_at{0};

  double size(Duration now) const {
    const double to_peak = std::cbrt((1 - window_kept) * peak / cubic_scale);
    return cubic_scale * std::pow(seconds(now - lost_at) - to_peak, 3) + peak;
  }
  void open_at(double first, Duration now) { *this = {first / window_kept, now}; }
  // A front that holds less than its window allows has not tested it (RFC 8312, application-limited).
  void cut(double held, Duration now) { *this = {std::max(1.0, std::min(size(now), held)), now}; }
};

struct Server {
  bool listed = false;
  ServerState state = ServerState::gone;
  int kind = 0;
  int cell = 0;
  int hall = 0;
  double weight = 1;
  std::optional<Duration> started;

  Window window;
  bool window_cut = false;
  ShareMeter shares;
  double mean_at_loss = 1;
  std::optional<Duration> last_short;  // the last note of the train of shortfall notes that runs
  std::optional<Duration> last_drop;

  double own_kb = 0;  // rungs of this front's playbacks there, set-ups included
  int held = 0;
  OthersUse others;         // ladder errors included
  Duration asked_at = -1h;  // by a probe for a rise
  bool news = false;        // of room, by which no rise has been weighed yet

  int strikes = 0;
  Duration rests_until{0};
  std::optional<Duration> cold_since;
  Duration last_set_up = -24h;  // as the cold pace counts
};

struct Playback {
  enum class State { waiting, setting_up, playing };
  Request request;
  State state = State::waiting;
  Duration since{0};
  Duration target_at{0};
  ServerId server = 0;
  int rung = 0;
  int tries = 0;
  int probes = 0;                 // made for this playback before it was placed
  std::optional<ServerId> asked;  // the probe that it waits for
  Duration asked_at{0};
  bool may_have_run = false;
  bool withdrawn = false;
  std::optional<Duration> chosen_at;  // when this front last chose its rung
  std::optional<Duration> ends_at;
};

struct Rack {
  std::vector<ServerId> servers;
  std::optional<Duration> reckoned_at;  // when asked_kb was, if nothing has changed since
  double asked_kb = 0;
  OthersUse others;               // from reports of the uplink, where there are any
  std::optional<double> gave_kb;  // what an uplink without reports was last seen to give when short
  Duration gave_at{0};
};

}  // namespace

class Policy::Impl {
 public:
  Impl(PolicySettings terms, std::uint64_t seed) : terms_(std::move(terms)) {
    chance_.seed(static_cast<std::minstd_rand::result_type>(seed % std::minstd_rand::modulus));
    // Absent or nonsensical settings still give one of each, and floors on the ladder.
    if (terms_.rung_kb.empty())
      terms_.rung_kb = {1};
    if (terms_.plans.empty())
      terms_.plans.emplace_back();
    const int last = static_cast<int>(terms_.rung_kb.size()) - 1;
    for (auto& plan : terms_.plans)
      plan.floor = std::clamp(plan.floor, 0, last);
    terms_.rung_revenue.resize(terms_.rung_kb.size(), 1);
    terms_.front_count = std::max(1, terms_.front_count);
    const auto fronts = static_cast<std::size_t>(terms_.front_count);
    number_ = terms_.front_index ? wrapped(*terms_.front_index, fronts) : chance_() % fronts;
    terms_.cells = std::max(1, terms_.cells);
    cells_.resize(static_cast<std::size_t>(terms_.cells));  // a request may come before any list
    racks_.resize(static_cast<std::size_t>(std::max(1, terms_.racks)));
  }

  std::vector<Command> handle(Duration now, const Event& event) {
    now_ = now;
    commands_.clear();
    if (!ticking_)
      start_ticking();
    std::visit([this](const auto& what) { on(what); }, event);
    return std::move(commands_);
  }

 private:
  // ---- what happened ----
  void on(const ServerList& list) {
    if (list.kind != ServerList::Kind::changes) {
      for (auto& server : servers_)
        server.state = ServerState::gone;
    }
    for (const auto& entry : list.entries)
      take_entry(entry);
    arrange();
  }

  void on(const ServerListFailed&) { ask_for_list_ = terms_.list_needs_subscription; }

  // Guards against a playback taken twice: its account would be opened twice and closed once.
  bool is_known(const Request& request) const { return playbacks_.contains(request.playback); }

  void on(const Request& request) {
    if (is_known(request))
      return;
    if (terms_.retry_budget_window > 0s)
      taken_.push_back(now_);
    forget_old_tries();
    probes_due_ = std::min(probes_due_ + probes_per_playback(), most_probes_due);
    auto& playback = admit(request);
    // Guards against holding a viewer who leaves before the startup target.
    const Duration target = terms_.plans.at(playback.request.plan).startup_target;
    playback.target_at = std::min(now_ + target, request.abandon_at);
    place(playback);
  }

  // A request that waits is placed by its new holders at once, so that it is not held back for none.
  void on(const HoldersChanged& what) {
    const auto found = playbacks_.find(what.playback);
    if (found == playbacks_.end())
      return;
    found->second.request.listed_holders = what.listed_holders;
    if (found->second.state == Playback::State::waiting)
      place(found->second);
  }

  void on(const PlaybackAdopted& carried) {
    if (is_known(carried.request))
      return;
    auto& playback = admit(carried.request);
    playback.state = Playback::State::playing;
    playback.tries = 1;
    playback.may_have_run = true;
    attach(playback, carried.server);
  }

  void on(const RequestCancelled& what) {
    const auto found = playbacks_.find(what.playback);
    if (found == playbacks_.end())
      return;
    if (found->second.state == Playback::State::waiting)
      return forget(what.playback);
    found->second.withdrawn = true;
  }

  void on(const PlaybackStarted& what) {
    const auto found = playbacks_.find(what.playback);
    if (found == playbacks_.end() || found->second.state != Playback::State::setting_up)
      return;
    if (found->second.server != what.server)
      return;  // of a try before this one
    auto& server = servers_[what.server];
    found->second.state = Playback::State::playing;
    server.strikes = 0;
  }

  void on(const TryEnded& what) {
    take_report(what.server, what.load);
    const auto found = playbacks_.find(what.playback);
    if (found == playbacks_.end())
      return;
    auto& playback = found->second;
    // Guards against a second set-up: what ends here is the try that is out there, and no other.
    const bool of_this = playback.state != Playback::State::waiting && playback.server == what.server;
    if (!of_this && !what.playback_over)
      return;
    detach(playback);
    judge_outcome(server_at(what.server), playback, what.outcome);
    if (what.outcome == Outcome::served && !playback.request.length)
      learn_life(now_ - playback.since);
    if (what.playback_over || playback.withdrawn)
      return forget(what.playback);
    place(playback);
  }

  void on(const ProbeEnded& what) {
    take_report(what.server, what.load);
    if (!what.answered && what.sent)
      strike(server_at(what.server));
    place_waiting([&](const Playback& playback) { return playback.asked == what.server; });
  }

  void on(const Measurement& note) {
    const auto found = playbacks_.find(note.playback);
    switch (note.kind) {
      case Measurement::Kind::rung:
        if (found != playbacks_.end())
          take_rung(found->second, note.value);
        return;
      case Measurement::Kind::link_fill:
        return take_report(note.server, {note.value, {}, {}});
      case Measurement::Kind::uplink_fill:
        return take_report(note.server, {{}, note.value, {}});
      case Measurement::Kind::share:
        if (const auto share = sane(note.value, 1))
          take_share(server_at(note.server), *share);
        return;
    }
  }

  void on(const TimerExpired& timer) {
    if (timer.token != tick_token)
      return;
    commands_.push_back(SetTimer{tick, tick_token});
    if (std::exchange(ask_for_list_, false))
      commands_.push_back(SubscribeServerList{});
    // A probe that stays out must not hold its playback: it is placed by what is known.
    place_waiting([&](Playback& playback) {
      if (now_ - playback.asked_at <= tick)
        return false;
      playback.probes = most_probes;
      return true;
    });
    ask_where_playbacks_play();
    rise();
  }

  // ---- servers and what is known of them ----
  void start_ticking() {
    ticking_ = true;
    ask_for_list_ = terms_.list_needs_subscription;
    commands_.push_back(SetTimer{tick * (1 + static_cast<int>(chance_() % 100)) / 100, tick_token});
  }

  Server& server_at(ServerId id) {
    if (id >= servers_.size())
      servers_.resize(id + 1);
    return servers_[id];
  }

  // Sorts the servers that are there by cell and rack, so that a request costs about its holders. Guards
  // against names that were listed once deciding for ever what a mean server is.
  void arrange() {
    cells_.assign(static_cast<std::size_t>(terms_.cells), {});
    for (auto& rack : racks_)
      rack.servers.clear(), rack.reckoned_at.reset();
    double streams = 0;
    int count = 0;
    for (ServerId id = 0; id < servers_.size(); ++id) {
      const auto& server = servers_[id];
      if (server.state == ServerState::gone)
        continue;
      cells_[wrapped(server.cell, cells_.size())].push_back(id);
      rack_of(server).servers.push_back(id);
      streams += streams_of(server);
      ++count;
    }
    mean_streams_ = count == 0 ? 0 : streams / count;
  }

  void take_entry(const ServerEntry& entry) {
    auto& server = server_at(entry.server);
    // A start older than the one known is a list that came late: it takes no later start back.
    const bool restarted = server.started && entry.started && *entry.started > *server.started;
    server.kind = entry.kind;
    server.cell = entry.cell;
    server.hall = entry.hall;
    server.weight = std::isfinite(entry.weight) && entry.weight > 0 ? entry.weight : 1;
    server.state = entry.state;
    server.started = std::max(server.started, entry.started);
    if (restarted)
      begin_anew(server);
    if (server.started)
      server.cold_since = std::max(server.cold_since.value_or(*server.started), *server.started);
    if (!server.listed)
      server.window.open_at(std::max(1.0, streams_of(server) - server.held), now_);
    server.listed = true;
  }

  // Guards against a process that was just started being judged by the one before it: what this front
  // has there still is its own, and nothing else of what it knew.
  static void begin_anew(Server& server) {
    Server fresh;
    fresh.kind = server.kind;
    fresh.cell = server.cell;
    fresh.hall = server.hall;
    fresh.weight = server.weight;
    fresh.state = server.state;
    fresh.started = server.started;
    fresh.own_kb = server.own_kb;
    fresh.held = server.held;
    fresh.last_set_up = server.last_set_up;
    fresh.cold_since = server.cold_since;
    server = fresh;
  }

  double streams_of(const Server& server) const {
    const auto kind = static_cast<std::size_t>(server.kind);
    return kind < terms_.streams_by_kind.size() ? terms_.streams_by_kind[kind] : 1;
  }

  // Where weights say nothing, a machine's kind does: links go with the streams it runs.
  double link_of(const Server& server) const {
    if (terms_.has_weights)
      return terms_.link_kb_per_weight * server.weight;
    return mean_streams_ > 0 ? terms_.link_kb_per_weight * streams_of(server) / mean_streams_ : 0;
  }

  Rack& rack_of(const Server& server) { return racks_[wrapped(server.cell, racks_.size())]; }

  // A report names the whole fill; what this front doesn't ask itself is the others'.
  void take_report(ServerId id, const LoadReport& told) {
    const LoadReport load{sane(told.link_fill, fill_most), sane(told.uplink_fill, fill_most),
                          sane(told.streams, std::numeric_limits<double>::max())};
    auto& server = server_at(id);
    rack_of(server).reckoned_at.reset();
    if (load.link_fill) {
      const double others = *load.link_fill * link_of(server) - server.own_kb;
      server.others.hear(others, now_);
      if (link_of(server) > 0)
        usual_link_.hear(std::max(0.0, others) / link_of(server), now_, memory());
      server.news = true;
    }
    // The first window leaves out the streams in use, this front's own aside.
    if (load.streams && !server.window_cut) {
      const double free = streams_of(server) - *load.streams;
      server.window.open_at(std::max(1.0, server.held + free), now_);
    }
    if (load.uplink_fill && terms_.uplink_kb > 0) {
      auto& rack = rack_of(server);
      const double others = *load.uplink_fill * terms_.uplink_kb - own_in(rack);
      rack.others.hear(others, now_);
      usual_uplink_.hear(std::max(0.0, others) / terms_.uplink_kb, now_, memory());
    }
  }

  // Guards against acting on old reports as if they were fresh: as a report grows old, the others are
  // taken to use what they use elsewhere. Covers late reports, and servers that report only while this
  // front has playbacks there; does harm where the others' use is steady and far from usual.
  double others_of(const OthersUse& others, double whole, UsualFill& usual) {
    const double trust = others.trust(now_, memory());
    const double even = static_cast<double>(terms_.front_count - 1) / terms_.front_count;
    const double guess = usual.read(now_, memory(), std::min(even, unheard_fill)) * whole;
    return trust * others.kb.value_or(0) + (1 - trust) * guess;
  }
  double others_on(const Server& server) { return others_of(server.others, link_of(server), usual_link_); }

  Duration memory() const { return report_memory * silence(); }

  double own_in(const Rack& rack) {
    double own = 0;
    for (const auto id : rack.servers)
      own += servers_[id].own_kb;
    return own;
  }

  Duration silence() const { return std::max<Duration>(terms_.measurement_delay, 500ms) + 500ms; }

  // The page's room: told link times mean share, less own rungs and the others' use.
  double room(Server& server, double filled) {
    const double link = link_of(server) * filled * server.shares.mean(now_, silence());
    const double rest = link - server.own_kb;
    return std::min(rest - others_of(server.others, link, usual_link_), room_in(rack_of(server), filled));
  }

  double room_in(Rack& rack, double filled) {
    if (terms_.uplink_kb <= 0)
      return std::numeric_limits<double>::max();
    const double uplink = uplink_of(rack) * filled;
    if (!rack.others.kb)
      return uplink - asked_of(rack);
    return uplink - own_in(rack) - others_of(rack.others, uplink, usual_uplink_);
  }

  // What servers' reports tell of all that is asked of a rack. Kept for one moment, as a crowd of
  // requests at once would else walk whole racks for each holder of each.
  double asked_of(Rack& rack) {
    if (rack.reckoned_at == now_)
      return rack.asked_kb;
    rack.reckoned_at = now_;
    rack.asked_kb = 0;
    for (const auto id : rack.servers) {
      const auto& server = servers_[id];
      if (server.state == ServerState::ready)
        rack.asked_kb += server.own_kb + others_on(server);
    }
    return rack.asked_kb;
  }

  // The told uplink, or what it was seen to give, trusted less as that grows old.
  double uplink_of(const Rack& rack) const {
    if (!rack.gave_kb)
      return terms_.uplink_kb;
    const double kept = std::exp(-seconds(now_ - rack.gave_at) / (uplink_memory * seconds(silence())));
    return terms_.uplink_kb + kept * (*rack.gave_kb - terms_.uplink_kb);
  }

  // Guards against an uplink that no report shows: most servers of a rack short at once while reports
  // tell room on their links. Also covers a rack's switch or power fault that slows all its servers;
  // does harm where several links fall short for reasons of their own while their reports are old.
  void judge_uplink(Server& server, double share) {
    auto& rack = rack_of(server);
    if (terms_.uplink_kb <= 0 || rack.others.kb)
      return;
    int held = 0, cut = 0;
    for (const auto id : rack.servers) {
      const auto& other = servers_[id];
      if (other.held == 0)
        continue;
      const bool fits = other.own_kb + other.others.kb.value_or(0) < full_share * link_of(other);
      ++held;
      if (other.last_short && now_ - *other.last_short <= 2 * silence() && fits)
        ++cut;
    }
    if (cut < 2 || 2 * cut <= held)
      return;
    rack.gave_kb = asked_of(rack) * share;
    rack.gave_at = now_;
  }

  // ---- shortfall ----
  void take_share(Server& server, double share) {
    server.shares.note(now_, share, silence());
    if (share >= full_share) {
      server.last_short.reset();
      server.news = true;
      return;
    }
    const bool train = server.last_short && now_ - *server.last_short <= 2 * silence();
    const double mean = server.shares.mean(now_, silence());
    server.last_short = now_;
    // A late train of notes about one event is one loss, unless the mean falls on.
    if (!train || mean < mean_drop_is_loss * server.mean_at_loss) {
      server.window.cut(server.held, now_);
      server.window_cut = true;
      server.mean_at_loss = mean;
    }
    judge_uplink(server, share);
    drop_rungs(server, share);
  }

  // Steps playbacks down until this front's part of the shortfall is covered, least lost per kB first. The
  // notes that follow tell of the time before, so they drop nothing more.
  void drop_rungs(Server& server, double share) {
    if (server.last_drop && now_ - *server.last_drop < terms_.measurement_delay + silence())
      return;
    server.last_drop = now_;
    double needed = server.own_kb * (1 - filled_most * share);
    while (needed > 0) {
      const auto step = cheapest_step(server);
      if (!step.playback)
        return;
      // Guards against all fronts dropping a whole rung for a part of one: the last step is drawn for.
      if (draw() * step.freed >= needed)
        return;
      needed -= step.freed;
      change_rung(*step.playback, step.rung);
    }
  }

  // ---- rungs ----
  double rate(const Request& request, int rung) const {
    return terms_.rung_kb.at(rung) * terms_.plans[request.plan].rate_scale;
  }
  // Revenue that the step up to this rung earns for each kB it asks.
  double step_value(const Request& request, int rung) const {
    const auto& plan = terms_.plans[request.plan];
    const double below = rung > 0 ? terms_.rung_revenue.at(rung - 1) : 0;
    const double kb_below = rung > 0 ? rate(request, rung - 1) : 0;
    const double more_kb = std::max(1e-9, rate(request, rung) - kb_below);
    return std::max(0.0, plan.revenue * (terms_.rung_revenue.at(rung) - below) / more_kb);
  }
  int floor_of(const Request& request) const { return terms_.plans[request.plan].floor; }
  int top_of(const Request& request) const {
    const int last = static_cast<int>(terms_.rung_kb.size()) - 1;
    return std::clamp(std::min(request.top, terms_.plans[request.plan].top), 0, last);
  }

  void set_held_rung(Playback& playback, int rung) {
    auto& server = servers_[playback.server];
    ask_more(server, rate(playback.request, rung) - rate(playback.request, playback.rung));
    playback.rung = rung;
  }

  // The rung in force, as told of what plays: never under the floor, whatever is said.
  void take_rung(Playback& playback, double told) {
    const auto rung = sane(told, static_cast<double>(terms_.rung_kb.size() - 1));
    if (!rung || playback.state == Playback::State::waiting)
      return;
    set_held_rung(playback, std::max(static_cast<int>(*rung), floor_of(playback.request)));
  }

  void change_rung(Playback& playback, int rung) {
    set_held_rung(playback, rung);
    playback.chosen_at = now_;
    commands_.push_back(SetRung{playback.request.playback, rung});
  }

  // What a playback still has before it, by its hint or else by how long the others have lasted.
  Duration left_of(const Playback& playback) {
    const Duration floor = terms_.switch_cost;
    return playback.ends_at ? std::max(floor, *playback.ends_at - now_) : std::max(floor, usual_life());
  }

  // Revenue lost by stepping down to `rung`, the switch included.
  double loss_of(const Playback& playback, int rung) {
    const auto& revenue = terms_.rung_revenue;
    return terms_.plans[playback.request.plan].revenue *
           ((revenue.at(playback.rung) - revenue.at(rung)) * seconds(left_of(playback)) +
            seconds(terms_.switch_cost));
  }

  struct StepDown {
    Playback* playback = nullptr;
    int rung = 0;
    double freed = 0;
    double loss = 0;
  };

  // The step down, over one rung or several, that loses least for each kB it frees.
  StepDown cheapest_step(const Server& server) {
    StepDown best;
    for (auto& [id, playback] : playbacks_) {
      if (playback.state != Playback::State::playing || playback.withdrawn)
        continue;
      if (&servers_[playback.server] != &server)
        continue;
      for (int rung = floor_of(playback.request); rung < playback.rung; ++rung) {
        const double freed = rate(playback.request, playback.rung) - rate(playback.request, rung);
        const double loss = loss_of(playback, rung);
        if (!best.playback || loss * best.freed < best.loss * freed)
          best = {&playback, rung, freed, loss};
      }
    }
    return best;
  }

  // How far a link may be filled for this rung: the less its last step earns for each kB, beside the
  // ladder's best, the more stays free for those who come later.
  double filled_for(const Request& request, int rung) const {
    if (rung <= floor_of(request))
      return filled_most;
    double best = 0;
    for (int step = 0; step < static_cast<int>(terms_.rung_kb.size()); ++step)
      best = std::max(best, step_value(request, step));
    const double reserve = terms_.probes_enabled ? reserve_asked : reserve_told;
    return best > 0 ? filled_most * std::pow(step_value(request, rung) / best, reserve) : 0;
  }

  Duration usual_life() {
    const double known = lives_known_.read(now_, first_life);
    const double lives = lives_.read(now_, first_life);
    return span_of((first_lives * seconds(first_life) + lives) / (first_lives + known));
  }

  void learn_life(Duration life) {
    lives_.add(now_, seconds(life), first_life);
    lives_known_.add(now_, 1, first_life);
  }

  // Playbacks whose next step earns most rise first, each to the highest rung that room fits: a switch
  // costs the same over one rung or several. Between news of room nothing is known that was not weighed.
  void rise() {
    std::vector<std::pair<double, Playback*>> wishes;
    for (auto& [id, playback] : playbacks_) {
      if (may_rise(playback) && servers_[playback.server].news)
        wishes.emplace_back(-step_value(playback.request, playback.rung + 1), &playback);
    }
    for (const auto& [value, playback] : wishes)
      servers_[playback->server].news = false;
    std::stable_sort(wishes.begin(), wishes.end(), [](auto& a, auto& b) { return a.first < b.first; });
    for (const auto& [value, playback] : wishes) {
      const int rung = rung_to_rise_to(*playback);
      if (rung <= playback->rung || !rise_pays(*playback, rung) || !drawn_to_rise(*playback, rung))
        continue;
      change_rung(*playback, rung);
    }
  }

  int rung_to_rise_to(const Playback& playback) {
    const auto& request = playback.request;
    auto& server = servers_[playback.server];
    int rung = top_of(request);
    for (; rung > playback.rung; --rung) {
      const double more = rate(request, rung) - rate(request, playback.rung);
      if (more <= room(server, filled_for(request, rung)))
        break;
    }
    return rung;
  }

  // Fronts that hear of the same room rise by chance, so that together they may be expected to fill it.
  // The answer to a probe one front hears alone; notes reach all that have playbacks there, which are
  // as many as the others' use at the rate of this front's own.
  bool drawn_to_rise(const Playback& playback, int rung) {
    if (terms_.probes_enabled)
      return true;
    auto& server = servers_[playback.server];
    const double more = rate(playback.request, rung) - rate(playback.request, playback.rung);
    const double rivals = others_on(server) * server.held / server.own_kb;
    return draw() * more * (1 + std::clamp<double>(rivals, 0, terms_.front_count - 1)) <=
           room(server, filled_for(playback.request, rung));
  }

  // A rise pays for its switch, and the more often the fuller the link: it is the sooner taken back.
  bool rise_pays(const Playback& playback, int rung) {
    const auto& revenue = terms_.rung_revenue;
    auto& server = servers_[playback.server];
    const double gained = revenue.at(rung) - revenue.at(playback.rung);
    const double fill = std::clamp(1 - room(server, 1) / link_of(server), 0.0, 1.0);
    return gained * seconds(left_of(playback)) > rise_payoff * fill * seconds(terms_.switch_cost);
  }

  bool may_rise(const Playback& playback) {
    if (playback.state != Playback::State::playing || playback.withdrawn)
      return false;
    if (playback.rung >= top_of(playback.request))
      return false;
    return !playback.chosen_at || now_ - *playback.chosen_at >= rise_spacing * terms_.switch_cost;
  }

  // ---- placing ----
  Playback& admit(const Request& request) {
    auto& playback = playbacks_[request.playback];
    playback.request = request;
    playback.request.plan = std::clamp(request.plan, 0, static_cast<int>(terms_.plans.size()) - 1);
    playback.rung = floor_of(playback.request);
    playback.since = now_;
    if (request.length)
      learn_life(*request.length);
    if (request.length)
      playback.ends_at = now_ + *request.length;
    return playback;
  }

  void ask_more(Server& server, double kb) {
    server.own_kb += kb;
    rack_of(server).reckoned_at.reset();
  }

  void attach(Playback& playback, ServerId id) {
    auto& server = server_at(id);
    playback.server = id;
    ++seated_[{playback.request.plan, playback.request.title}];
    ask_more(server, rate(playback.request, playback.rung));
    ++server.held;
  }

  void detach(Playback& playback) {
    if (playback.state == Playback::State::waiting)
      return;
    auto& server = servers_[playback.server];
    const std::pair seat(playback.request.plan, playback.request.title);
    if (--seated_[seat] == 0)
      seated_.erase(seat);
    ask_more(server, -rate(playback.request, playback.rung));
    if (--server.held == 0)
      server.own_kb = 0;
    playback.state = Playback::State::waiting;
  }

  void forget(PlaybackId id) {
    detach(playbacks_.at(id));
    playbacks_.erase(id);
  }

  // The servers that hold the request's title and may be given it now, by id.
  std::vector<ServerId> open_holders(const Request& request) {
    std::vector<ServerId> open;
    if (request.listed_holders) {
      for (const auto id : *request.listed_holders) {
        if (id < servers_.size() && servers_[id].listed && is_open(servers_[id]))
          open.push_back(id);
      }
      return open;
    }
    for (int i = 0; i < std::min(request.cell_count, terms_.cells); ++i) {
      for (const auto id : cells_[wrapped(request.first_cell + i, cells_.size())]) {
        if (is_open(servers_[id]))
          open.push_back(id);
      }
    }
    std::sort(open.begin(), open.end());
    return open;
  }

  bool is_open(const Server& server) const {
    if (server.state != ServerState::ready)
      return false;
    if (now_ < server.rests_until)
      return false;
    return server.held + 1 <= server.window.size(now_) && within_pace(server);
  }

  // A front that has itself just started can't tell who else has; few others start with it, so half of
  // the pace is its.
  bool within_pace(const Server& server) const {
    return has_turn(server) && now_ - server.last_set_up >= own_interval(server);
  }

  // Guards against fronts falling into step at a server that was just started or seen failing: they take
  // turns, each one set-up long at the pace allowed. A turn that is not used is over, so that none are saved
  // up for a crowd, and all fronts together stay under the multiple whatever is asked of them.
  bool has_turn(const Server& server) const {
    if (!server.cold_since || now_ - *server.cold_since >= terms_.warmup_time)
      return true;
    const auto turn = turn_at(server, now_);
    const bool used = server.last_set_up >= *server.cold_since && turn_at(server, server.last_set_up) == turn;
    return !used && turn % static_cast<std::size_t>(terms_.front_count) == number_;
  }

  // How many set-ups the pace has let through since the start: the number of the turn that it is.
  std::size_t turn_at(const Server& server, Duration at) const {
    const double age = std::max(0.0, seconds(at - *server.cold_since) / seconds(terms_.warmup_time));
    const double warmed =
        terms_.warmup_initial_share * age + (1 - terms_.warmup_initial_share) * age * age * age / 3;
    const double let_through = pace_kept * terms_.overload_multiple * streams_of(server) * warmed;
    return static_cast<std::size_t>(std::fmax(0, std::fmin(let_through, 1e9)));
  }

  // How far apart this front sends set-ups to a server that may have started when it did.
  Duration own_interval(const Server& server) const {
    if (now_ >= terms_.warmup_time)
      return 0s;
    const double warmed = seconds(now_) / seconds(terms_.warmup_time);
    const double warmth = terms_.warmup_initial_share + (1 - terms_.warmup_initial_share) * warmed * warmed;
    const double pace = streams_of(server) / seconds(terms_.warmup_time) * warmth * terms_.overload_multiple;
    return span_of(std::min(terms_.front_count, 2) / (pace * pace_kept));
  }

  bool has_seat(const Request& request) const {
    const int seats = terms_.plans[request.plan].seats;
    if (seats <= 0)
      return true;
    const auto taken = seated_.find({request.plan, request.title});
    return taken == seated_.end() || taken->second < seats;
  }

  // Tries beyond the first, this one too, stay within the free few and the share of playbacks taken.
  bool within_budget(const Playback& playback) {
    if (playback.tries == 0 || terms_.retry_budget_window <= 0s)
      return true;
    forget_old_tries();
    return further_.size() + 1.0 <=
           terms_.retry_budget_base + terms_.retry_budget_share * static_cast<double>(taken_.size());
  }

  // With each request, so that a front which seldom tries again does not count its requests for ever.
  void forget_old_tries() {
    while (!taken_.empty() && taken_.front() <= now_ - terms_.retry_budget_window)
      taken_.pop_front();
    while (!further_.empty() && further_.front() < now_ - terms_.retry_budget_window)
      further_.pop_front();
  }

  bool may_try(const Playback& playback) {
    const auto& plan = terms_.plans[playback.request.plan];
    if (plan.pay_at_setup && playback.may_have_run)
      return false;
    if (now_ >= playback.target_at)
      return false;
    return playback.tries < terms_.max_tries && within_budget(playback) && has_seat(playback.request);
  }

  void place(Playback& playback) {
    playback.asked.reset();
    if (!may_try(playback))
      return give_up(playback);
    const auto& request = playback.request;
    const auto open = open_holders(request);
    std::optional<ServerId> best;
    int rung = top_of(request);
    for (; !best && rung >= floor_of(request); --rung)
      best = choose(open, rate(request, rung), filled_for(request, rung));
    ++rung;
    // A holder just heard of that fits the top rung is good enough; else the others are asked first.
    const bool sure = best && rung == top_of(request) && just_heard(servers_[*best]);
    const auto stalest = stalest_of(open);
    if (!sure && stalest && may_ask(playback, servers_[*stalest]))
      return ask(playback, *stalest);
    best ? send(playback, *best, rung) : give_up(playback);
  }

  template <typename Which>
  void place_waiting(Which which) {
    std::vector<Playback*> waiting;
    for (auto& [id, playback] : playbacks_) {
      if (playback.asked && which(playback))
        waiting.push_back(&playback);
    }
    for (auto* playback : waiting)
      place(*playback);
  }

  // The page's choice: window room and room for the rung, least spread, ties to most room. Of those
  // nearly tied in room too, one just heard of goes first; else one is drawn, as fronts that see alike
  // would otherwise all choose alike.
  std::optional<ServerId> choose(const std::vector<ServerId>& open, double kb, double filled) {
    std::optional<ServerId> best;
    double best_spread = 0, best_room = 0;
    int alike = 0;
    for (const auto id : open) {
      auto& server = servers_[id];
      const double left = room(server, filled) - kb;
      if (left < 0)
        continue;
      const double spread = server.shares.spread(now_, silence());
      const double more = left - best_room;
      if (best && std::abs(spread - best_spread) > spread_tie) {
        if (spread > best_spread)
          continue;
        alike = 1;
      } else if (best && crosses(server) != crosses(servers_[*best])) {
        if (crosses(server))
          continue;
        alike = 1;
      } else if (best && std::abs(more) > room_tie * link_of(server)) {
        if (more < 0)
          continue;
        alike = 1;
      } else if (best && just_heard(server) != just_heard(servers_[*best])) {
        if (!just_heard(server))
          continue;
        alike = 1;
      } else if (draw() * ++alike >= 1) {
        continue;
      }
      best = id;
      best_spread = spread;
      best_room = left;
    }
    return best;
  }

  bool crosses(const Server& server) const {
    return terms_.cross_hall_cost > 0 && server.hall != terms_.own_hall;
  }

  bool just_heard(const Server& server) const {
    return server.others.kb && now_ - server.others.heard_at <= fresh();
  }
  Duration fresh() const { return span_of(fresh_part * seconds(memory())); }

  // A number drawn from 0 up to 1.
  double draw() { return std::uniform_real_distribution<>()(chance_); }

  void send(Playback& playback, ServerId id, int rung) {
    const auto& request = playback.request;
    auto& server = servers_[id];
    playback.rung = rung;
    earned_ += earned_weight * (terms_.rung_revenue.at(rung) - earned_);
    attach(playback, id);
    playback.state = Playback::State::setting_up;
    if (playback.tries > 0 && terms_.retry_budget_window > 0s)
      further_.push_back(now_);
    ++playback.tries;
    server.last_set_up = now_;
    commands_.push_back(SetRung{request.playback, rung});
    commands_.push_back(SetUp{request.playback, id, time_limit(playback)});
  }

  // A try leaves time for another before the startup target, unless it is the last that may be made.
  Duration time_limit(const Playback& playback) {
    const Duration left = playback.request.abandon_at - now_;
    if (terms_.plans[playback.request.plan].pay_at_setup)
      return left;
    if (playback.tries >= terms_.max_tries)
      return left;
    return std::min(left, span_of(first_try_share * seconds(playback.target_at - now_)) + 50ms);
  }

  void give_up(Playback& playback) {
    earned_ -= earned_weight * earned_;
    const auto id = playback.request.playback;
    const auto come_back = span_of(come_back_part * seconds(terms_.max_retry_after));
    if (terms_.plans[playback.request.plan].pay_at_setup && playback.may_have_run)
      commands_.push_back(Abort{id});
    else
      commands_.push_back(Reject{id, come_back});
    forget(id);
  }

  // ---- health, from what this front's own tries met ----
  void judge_outcome(Server& server, Playback& playback, Outcome outcome) {
    const bool proof =
        outcome == Outcome::full || outcome == Outcome::no_connection || outcome == Outcome::not_sent;
    if (!proof)
      playback.may_have_run = true;
    if (outcome == Outcome::reset || outcome == Outcome::no_connection || outcome == Outcome::late)
      strike(server);
    if (outcome == Outcome::full)
      server.others.hear(link_of(server) - server.own_kb, now_);
  }

  // Silence, a reset or a refused connection: rest, the longer the more in a row until a try starts.
  // What failed may come back cold.
  void strike(Server& server) {
    if (now_ < server.rests_until)
      return;
    const double rest = first_rest * std::exp2(std::min(server.strikes, 3)) * seconds(shortest_target());
    ++server.strikes;
    server.rests_until = now_ + span_of(rest);
    server.cold_since = now_;
  }

  Duration shortest_target() const {
    Duration shortest = Duration::max();
    for (const auto& plan : terms_.plans)
      shortest = std::min(shortest, plan.startup_target);
    return shortest;
  }

  // ---- probes ----
  double probes_per_playback() const {
    if (!terms_.probes_enabled)
      return 0;
    return terms_.probe_cost > 0 ? std::min(2.0, probe_spending * earned_ / terms_.probe_cost) : 2.0;
  }

  // Old knowledge of the server chosen is renewed before the set-up, where price and startup target
  // allow.
  bool may_ask(const Playback& playback, const Server& server) const {
    if (!terms_.probes_enabled || probes_due_ < 1 || playback.probes >= most_probes)
      return false;
    if (playback.target_at - now_ < 2 * tick)
      return false;
    return !just_heard(server);
  }

  // Where playbacks that may rise play, a probe tells of room: at once for those handed over, and then
  // as far as probes are left, the oldest report first.
  void ask_where_playbacks_play() {
    if (!terms_.probes_enabled)
      return;
    Server* oldest = nullptr;
    ServerId oldest_id = 0;
    for (const auto& [id, playback] : playbacks_) {
      auto& server = servers_[playback.server];
      if (!may_rise(playback) || now_ - std::max(server.asked_at, server.others.heard_at) < fresh())
        continue;
      if (oldest && oldest->others.heard_at <= server.others.heard_at)
        continue;
      oldest = &server;
      oldest_id = playback.server;
    }
    if (!oldest || (probes_due_ < 1 && oldest->others.kb))
      return;
    if (oldest->others.kb)
      probes_due_ -= 1;
    oldest->asked_at = now_;
    commands_.push_back(Probe{oldest_id});
  }

  // Guards against turning viewers away for room that has since come free.
  std::optional<ServerId> stalest_of(const std::vector<ServerId>& open) {
    std::optional<ServerId> stalest;
    int alike = 0;
    for (const auto id : open) {
      if (just_heard(servers_[id]))
        continue;
      const auto rank = [&](ServerId of) {
        return std::pair(crosses(servers_[of]), servers_[of].others.heard_at);
      };
      if (stalest && rank(id) > rank(*stalest))
        continue;
      alike = !stalest || rank(id) < rank(*stalest) ? 1 : alike + 1;
      if (alike == 1 || draw() * alike < 1)
        stalest = id;
    }
    return stalest;
  }

  void ask(Playback& playback, ServerId id) {
    ++playback.probes;
    playback.asked = id;
    playback.asked_at = now_;
    probes_due_ -= 1;
    commands_.push_back(Probe{id});
  }

  PolicySettings terms_;
  std::minstd_rand chance_;
  std::size_t number_ = 0;  // of this front among all
  Duration now_{0};
  std::vector<Command> commands_;
  bool ticking_ = false;
  bool ask_for_list_ = false;
  std::deque<Server> servers_;                // by id
  std::vector<std::vector<ServerId>> cells_;  // the servers listed in each
  std::vector<Rack> racks_;
  double mean_streams_ = 0;  // of a listed server
  std::map<PlaybackId, Playback> playbacks_;
  std::map<std::pair<int, TitleId>, int> seated_;  // playbacks of a plan and title, set-ups included
  std::deque<Duration> taken_;
  std::deque<Duration> further_;
  double probes_due_ = 0;
  double earned_ = 1;  // of its top rung's revenue, by a request of late
  UsualFill usual_link_;
  UsualFill usual_uplink_;
  FadingSum lives_;
  FadingSum lives_known_;
};

Policy::Policy(PolicySettings terms, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(terms), seed)) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;

std::vector<Command> Policy::handle(Duration now, const Event& event) { return impl_->handle(now, event); }

}  // namespace violettide
