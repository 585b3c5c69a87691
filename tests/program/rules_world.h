// A seeded simulation around several decision modules: servers that start cold, drain, stop and leave tries
// unanswered, lists that arrive late, out of order or incomplete, viewers that leave, and fronts that are
// killed and restarted. Every step is passed to the reference model of the rules.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "policy/policy.h"
#include "rules_model.h"

namespace violettide::testing {

using namespace std::chrono_literals;

// Deliberate faults, by settings withheld from the module or commands changed on their way, which the model
// must find.
enum class Fault {
  none,
  drops_answer,
  answers_twice,
  ignores_payment,
  sends_two_tries,
  ignores_drains,
  ignores_cold_start,
  ignores_floor,
  ignores_seats,
  ignores_retry_budget
};

class Simulation {
 public:
  using StepKind = RulesModel::StepKind;
  // Parameters of a run.
  struct Shape {
    Fault fault = Fault::none;
    bool malformed_events = false;  // also events that a correct caller never sends
    int fronts = 0;                 // 0: drawn at random
    Duration length = 20s;
  };

  Simulation(std::uint32_t seed, Shape shape) : shape_(shape), random_(seed) {
    draw_settings();
    model_ = std::make_unique<RulesModel>(rules());
    servers_.resize(static_cast<std::size_t>(random_int(3, 7)));
    for (auto& server : servers_)
      server.started = -60s;
    for (int i = 0; i < front_count_; ++i)
      start_front(i, 0s);
    for (std::size_t s = 0; s < servers_.size(); ++s)
      schedule_restart(static_cast<int>(s));
  }

  // Returns false at the first violated rule, which the model has, or inconsistent command.
  bool run() {
    const Duration end = shape_.length + 12s;
    for (Duration at = 250ms; at < end; at += 250ms)
      schedule(at, [this] { model_->check(now_); });
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto next = std::move(events_.begin()->second);
      now_ = events_.begin()->first.first;
      events_.erase(events_.begin());
      next();
      if (model_->violation() || !inconsistency_.empty())
        return false;
    }
    return true;
  }
  const RulesModel& model() const { return *model_; }
  // A command that violates no rule and still makes no sense; empty if there was none.
  const std::string& inconsistency() const { return inconsistency_; }
  const std::vector<std::string>& command_log() const { return command_log_; }

 private:
  struct Server {
    bool up = true;
    bool silent = false;
    ServerState state = ServerState::ready;
    Duration started{0};
  };
  struct Front {
    int number = 0;
    int incarnation = 0;
    bool alive = false;
    std::unique_ptr<Policy> policy;
    Duration start_time{0};
    std::set<int> listed_servers;
  };
  struct Playback {
    int front = 0;
    int incarnation = 0;
    int plan = 0;
    int top = 0;
    std::uint64_t title = 0;
    Duration until{0};
    bool finished = false;
    bool try_pending = false;
    bool playing = false;
    bool cancelled = false;
    int tries = 0;
    int server = 0;
    std::vector<ServerId> holders;
  };

  int random_int(int least, int most) { return std::uniform_int_distribution<int>(least, most)(random_); }
  double uniform() { return std::uniform_real_distribution<>()(random_); }
  bool with_probability(double probability) { return uniform() < probability; }
  Duration random_ms(int least, int most) { return std::chrono::milliseconds(random_int(least, most)); }
  void schedule(Duration delay, std::function<void()> action) {
    events_.emplace(std::pair(now_ + delay, sequence_++), std::move(action));
  }
  void step(RulesModel::Step step) {
    step.at = now_;
    model_->step(step);
  }

  void draw_settings() {
    front_count_ = shape_.fronts > 0 ? shape_.fronts : random_int(2, 4);
    settings_.rung_kb = {100, 200, 400};
    settings_.rung_revenue = {0.4, 0.7, 1};
    settings_.streams_by_kind = {static_cast<double>(random_int(12, 40))};
    settings_.link_kb_per_weight = random_int(1500, 6000);
    settings_.uplink_kb = with_probability(0.5) ? 6000 : 0;
    settings_.racks = 2;
    settings_.cells = 3;
    settings_.switch_cost = 500ms;
    settings_.measurement_delay = 1s;
    settings_.front_count = front_count_;
    settings_.warmup_time = 10s;
    settings_.warmup_initial_share = 0.3 + 0.3 * uniform();
    settings_.overload_multiple = 2 + uniform();
    settings_.retry_budget_window =
        with_probability(0.6) || shape_.fault == Fault::ignores_retry_budget ? 5s : 0s;
    settings_.retry_budget_base = random_int(0, 3);
    settings_.retry_budget_share = 0.05 * random_int(0, 4);
    settings_.max_tries = random_int(2, 5);
    settings_.max_retry_after = with_probability(0.7) ? 1s : 0s;
    settings_.probes_enabled = with_probability(0.5);
    settings_.probe_cost = 0.005;
    for (int i = 0; i < 4; ++i) {
      PlanSettings plan;
      plan.startup_target = i % 2 ? 800ms : 1500ms;
      plan.pay_at_setup = i >= 2;
      plan.floor = i == 1 ? 1 : 0;
      plan.top = 2;
      plan.seats = i == 2 ? 2 : i == 3 ? 1 : 0;
      settings_.plans.push_back(plan);
    }
    settings_.plans[0].seats = 3;
  }

  RuleSettings rules() const {
    RuleSettings rules;
    for (const auto& plan : settings_.plans)
      rules.plans.push_back({plan.pay_at_setup, plan.floor, plan.seats});
    rules.answer_slack = 40ms;
    rules.drain_grace = 1s;
    rules.warmup_time = settings_.warmup_time;
    rules.warmup_initial_share = settings_.warmup_initial_share;
    rules.overload_multiple = settings_.overload_multiple;
    rules.stream_capacity = settings_.streams_by_kind[0];
    rules.cold_window = 3s;
    rules.cold_window_slack = 2;
    rules.retry_budget_window = settings_.retry_budget_window;
    rules.retry_budget_base = settings_.retry_budget_base;
    rules.retry_budget_share = settings_.retry_budget_share;
    rules.max_retry_after = settings_.max_retry_after;
    return rules;
  }

  // The settings that the module gets, with the fault applied.
  PolicySettings faulty_settings() const {
    auto faulty = settings_;
    for (auto& plan : faulty.plans) {
      if (shape_.fault == Fault::ignores_payment)
        plan.pay_at_setup = false;
      if (shape_.fault == Fault::ignores_floor)
        plan.floor = 0;
      if (shape_.fault == Fault::ignores_seats)
        plan.seats = 0;
    }
    if (shape_.fault == Fault::ignores_cold_start)
      faulty.warmup_time = 0s;
    if (shape_.fault == Fault::ignores_retry_budget)
      faulty.retry_budget_window = 0s;
    return faulty;
  }

  // ---- servers ----
  void schedule_restart(int id) {
    schedule(random_ms(1000, 20000), [this, id] {
      auto& server = servers_[static_cast<std::size_t>(id)];
      server.state = with_probability(0.5) ? ServerState::draining : ServerState::ready;
      send_lists(id);
      schedule(random_ms(300, 3000), [this, id] { stop(id); });
    });
  }
  void stop(int id) {
    auto& server = servers_[static_cast<std::size_t>(id)];
    server.up = false;
    server.silent = with_probability(0.3);
    server.state = ServerState::gone;
    RulesModel::Step stopped;
    stopped.kind = StepKind::server_stopped;
    stopped.server = id;
    step(stopped);
    send_lists(id);
    std::vector<PlaybackId> there;
    for (auto& [playback, of] : playbacks_) {
      if (of.try_pending && of.server == id && !server.silent)
        there.push_back(playback);
    }
    for (const auto playback : there)
      schedule(random_ms(1, 400), [this, playback] { end(playback, Outcome::reset, with_probability(0.6)); });
    schedule(random_ms(500, 8000), [this, id] {
      auto& back = servers_[static_cast<std::size_t>(id)];
      back.up = true;
      back.silent = false;
      back.state = ServerState::ready;
      back.started = now_;
      RulesModel::Step started;
      started.kind = StepKind::server_started;
      started.server = id;
      step(started);
      send_lists(id);
      if (with_probability(0.5))
        schedule_restart(id);
    });
  }
  ServerEntry entry(int id) const {
    const auto& server = servers_[static_cast<std::size_t>(id)];
    ServerEntry entry;
    entry.server = static_cast<ServerId>(id);
    entry.state = server.state;
    entry.cell = id % settings_.cells;
    entry.started = server.started;  // on the simulation's clock; receive_list() converts it to the front's
    return entry;
  }

  // ---- lists: each is delayed on its own, so that they arrive out of order ----
  void send_lists(int id) {
    for (auto& front : fronts_) {
      const int number = front.number, incarnation = front.incarnation;
      const bool complete = with_probability(0.3), truncated = complete && with_probability(0.1);
      ServerList list;
      list.kind = complete ? ServerList::Kind::complete : ServerList::Kind::changes;
      for (int s = 0; s < static_cast<int>(servers_.size()); ++s) {
        if (s != id && (!complete || (truncated && with_probability(0.5))))
          continue;
        list.entries.push_back(entry(s));
      }
      schedule(with_probability(0.2) ? random_ms(1000, 6000) : random_ms(5, 1500),
               [this, number, incarnation, list] { receive_list(number, incarnation, list); });
    }
  }
  void receive_list(int number, int incarnation, ServerList list) {
    auto& front = fronts_[static_cast<std::size_t>(number)];
    if (!front.alive || front.incarnation != incarnation)
      return;
    if (list.kind != ServerList::Kind::changes) {
      for (const int server : front.listed_servers) {
        const bool named = std::any_of(list.entries.begin(), list.entries.end(),
                                       [&](auto& e) { return static_cast<int>(e.server) == server; });
        if (!named)
          record_listed(number, server, StepKind::listed_off);
      }
    }
    for (auto& entry : list.entries) {
      const int server = static_cast<int>(entry.server);
      front.listed_servers.insert(server);
      record_listed(number, server,
                    entry.state == ServerState::ready ? StepKind::listed_ready : StepKind::listed_off);
      if (entry.started) {
        RulesModel::Step start;
        start.kind = StepKind::listed_start;
        start.front = number;
        start.server = server;
        start.until = *entry.started;
        step(start);
        *entry.started -= front.start_time;
      }
    }
    if (shape_.fault == Fault::ignores_drains) {
      for (auto& entry : list.entries)
        entry.state = ServerState::ready;
      list.kind = ServerList::Kind::changes;
    }
    deliver(number, list);
  }
  void record_listed(int front, int server, StepKind kind) {
    RulesModel::Step word;
    word.kind = kind;
    word.front = front;
    word.server = server;
    step(word);
  }

  // ---- fronts ----
  void start_front(int number, Duration delay) {
    if (fronts_.size() <= static_cast<std::size_t>(number)) {
      fronts_.emplace_back();
      fronts_.back().number = number;
    }
    schedule(delay, [this, number] {
      auto& front = fronts_[static_cast<std::size_t>(number)];
      front.alive = true;
      front.start_time = now_;
      front.listed_servers.clear();
      front.policy = std::make_unique<Policy>(
          faulty_settings(), static_cast<std::uint64_t>(number + 1 + 16 * front.incarnation));
      RulesModel::Step started;
      started.kind = StepKind::front_started;
      started.front = number;
      step(started);
      ServerList cached;
      cached.kind = ServerList::Kind::cached;
      for (int s = 0; s < static_cast<int>(servers_.size()); ++s) {
        cached.entries.push_back(entry(s));
        if (with_probability(0.5))
          cached.entries.back().started.reset();
      }
      receive_list(number, front.incarnation, cached);
      if (front.incarnation == 0)
        adopt_some(number);
      schedule_request(number);
      if (with_probability(0.6))
        schedule(random_ms(3000, 20000), [this, number] { kill(number); });
    });
  }
  void kill(int number) {
    auto& front = fronts_[static_cast<std::size_t>(number)];
    front.alive = false;
    ++front.incarnation;
    front.policy.reset();
    RulesModel::Step killed;
    killed.kind = StepKind::front_killed;
    killed.front = number;
    step(killed);
    for (auto& [id, playback] : playbacks_) {
      if (playback.front == number)
        playback.finished = true, playback.try_pending = false;
    }
    start_front(number, random_ms(200, 2000));
  }

  // ---- viewers ----
  Playback& make_request(int number, PlaybackId& id, Request& request) {
    id = next_++;
    auto& playback = playbacks_[id];
    playback.front = number;
    playback.incarnation = fronts_[static_cast<std::size_t>(number)].incarnation;
    playback.plan = this->random_int(0, 3);
    playback.top = this->random_int(1, 2);
    playback.title = static_cast<std::uint64_t>(this->random_int(0, 4));
    playback.until = now_ + (playback.plan % 2 ? 2s : 4s);
    request.playback = id;
    request.plan = playback.plan;
    request.title = static_cast<TitleId>(playback.title);
    request.abandon_at = playback.until - fronts_[static_cast<std::size_t>(number)].start_time;
    request.top = playback.top;
    if (with_probability(0.5))
      request.length = random_ms(1000, 20000);
    request.first_cell = static_cast<int>(playback.title) % settings_.cells;
    request.cell_count = 2;
    if (with_probability(0.5)) {
      playback.holders = some_servers();
      request.listed_holders = std::make_shared<const std::vector<ServerId>>(playback.holders);
    } else {
      for (int s = 0; s < static_cast<int>(servers_.size()); ++s) {
        const int cell = s % settings_.cells;
        if (cell == request.first_cell || cell == (request.first_cell + 1) % settings_.cells)
          playback.holders.push_back(static_cast<ServerId>(s));
      }
    }
    return playback;
  }
  std::vector<ServerId> some_servers() {
    std::vector<ServerId> some;
    for (std::size_t s = 0; s < servers_.size(); ++s) {
      if (with_probability(0.5))
        some.push_back(static_cast<ServerId>(s));
    }
    return some;
  }
  void schedule_request(int number) {
    const int incarnation = fronts_[static_cast<std::size_t>(number)].incarnation;
    schedule(random_ms(1, with_probability(0.2) ? 20 : 700), [this, number, incarnation] {
      auto& front = fronts_[static_cast<std::size_t>(number)];
      if (!front.alive || front.incarnation != incarnation || now_ > shape_.length)
        return;
      PlaybackId id = 0;
      Request request;
      auto& playback = make_request(number, id, request);
      RulesModel::Step taken = of(id);
      taken.kind = StepKind::requested;
      taken.until = playback.until;
      step(taken);
      if (with_probability(0.1))
        schedule(random_ms(1, 6000), [this, id] { cancel(id); });
      if (with_probability(0.1))
        schedule(random_ms(1, 800), [this, id] { change_holders(id); });
      if (shape_.malformed_events && with_probability(0.3))
        schedule(random_ms(0, 1500), [this, id, request] { send_malformed_event(id, request); });
      deliver(number, request);
      schedule_request(number);
    });
  }
  void adopt_some(int number) {
    for (int i = this->random_int(0, 3); i > 0; --i) {
      PlaybackId id = 0;
      PlaybackAdopted adopted;
      auto& playback = make_request(number, id, adopted.request);
      playback.try_pending = playback.playing = true;
      playback.server = this->random_int(0, static_cast<int>(servers_.size()) - 1);
      adopted.server = static_cast<ServerId>(playback.server);
      auto step = of(id);
      step.kind = StepKind::adopted;
      this->step(step);
      deliver(number, adopted);
      deliver(
          number,
          Measurement{id, adopted.server, Measurement::Kind::rung,
                      static_cast<double>(settings_.plans[static_cast<std::size_t>(playback.plan)].floor)});
      schedule(random_ms(500, 15000), [this, id] { end(id, Outcome::served, true); });
    }
  }
  RulesModel::Step of(PlaybackId id) const {
    const auto& playback = playbacks_.at(id);
    RulesModel::Step step;
    step.front = playback.front;
    step.playback = id;
    step.server = playback.server;
    step.plan = playback.plan;
    step.title = playback.title;
    return step;
  }
  void cancel(PlaybackId id) {
    auto& playback = playbacks_.at(id);
    if (playback.finished || playback.cancelled || playback.playing)
      return;
    playback.cancelled = true;
    auto step = of(id);
    step.kind = StepKind::cancelled;
    this->step(step);
    if (!playback.try_pending)
      playback.finished = true;
    const bool try_pending = playback.try_pending;
    deliver(playback.front, RequestCancelled{id});
    if (try_pending)
      schedule(random_ms(0, 50), [this, id] { end(id, Outcome::cancelled, with_probability(0.5)); });
  }
  void change_holders(PlaybackId id) {
    auto& playback = playbacks_.at(id);
    if (playback.finished)
      return;
    playback.holders = some_servers();
    deliver(playback.front,
            HoldersChanged{id, std::make_shared<const std::vector<ServerId>>(playback.holders)});
  }

  // An event that a faulty caller may send about a playback; the model gets no step for it.
  void send_malformed_event(PlaybackId id, const Request& request) {
    auto& playback = playbacks_.at(id);
    if (playback.finished || playback.cancelled)
      return;
    const auto elsewhere = static_cast<ServerId>((playback.server + 1) % static_cast<int>(servers_.size()));
    constexpr double nan = std::numeric_limits<double>::quiet_NaN(),
                     infinity = std::numeric_limits<double>::infinity();
    const double invalid_values[] = {nan, infinity, -infinity, -1, 1e300};
    const double value = invalid_values[random_int(0, 4)];
    const int front = playback.front;
    switch (random_int(0, 8)) {
      case 0:
        return deliver(front, Measurement{id, static_cast<ServerId>(random_int(0, 6)),
                                          Measurement::Kind::rung, with_probability(0.5) ? 0.0 : value});
      case 1:
        return deliver(front, Measurement{id, elsewhere, Measurement::Kind::share, value});
      case 2:
        return deliver(front, Measurement{id, elsewhere, Measurement::Kind::link_fill, value});
      case 3:
        return deliver(front, Measurement{id, elsewhere, Measurement::Kind::uplink_fill, value});
      case 4:
        return deliver(front, PlaybackStarted{id, elsewhere, 0s});
      case 5:
        return deliver(front, TryEnded{id,
                                       elsewhere,
                                       with_probability(0.5) ? Outcome::full : Outcome::reset,
                                       false,
                                       {value, value, value}});
      case 6:
        return deliver(front, request);
      case 7:
        return deliver(front, PlaybackAdopted{request, elsewhere});
      default:
        return deliver(front, ProbeEnded{elsewhere, true, {value, value, value}});
    }
  }

  // ---- commands of the module ----
  void deliver(int number, const Event& event) {
    auto& front = fronts_[static_cast<std::size_t>(number)];
    if (!front.alive)
      return;
    const auto commands = front.policy->handle(now_ - front.start_time, event);
    for (const auto& command : commands) {
      carry_out(number, command);
      if (model_->violation() || !inconsistency_.empty())
        return;
    }
  }
  void carry_out(int number, const Command& command) {
    const int incarnation = fronts_[static_cast<std::size_t>(number)].incarnation;
    if (const auto* o = std::get_if<SetTimer>(&command)) {
      schedule(std::max<Duration>(o->delay, 1us), [this, number, incarnation, token = o->token] {
        const auto& front = fronts_[static_cast<std::size_t>(number)];
        if (front.alive && front.incarnation == incarnation)
          deliver(number, TimerExpired{token});
      });
    } else if (const auto* o = std::get_if<SetUp>(&command)) {
      set_up(number, *o);
      if (shape_.fault == Fault::sends_two_tries && o->playback % 7 == 3)
        set_up(number, *o);
    } else if (const auto* o = std::get_if<SetRung>(&command)) {
      command_log_.push_back("rung " + std::to_string(o->playback) + " " + std::to_string(o->rung));
      if (!playbacks_.contains(o->playback))
        return void(inconsistency_ = "a rung for an unknown playback");
      if (o->rung > playbacks_.at(o->playback).top)
        return void(inconsistency_ = "a rung above the viewer's highest");
      auto rung = of(o->playback);
      rung.kind = StepKind::rung_set;
      rung.rung = o->rung;
      step(rung);
    } else if (const auto* o = std::get_if<Reject>(&command)) {
      end_unserved(o->playback, StepKind::rejected, o->retry_after);
    } else if (const auto* o = std::get_if<Abort>(&command)) {
      end_unserved(o->playback, StepKind::aborted, 0s);
    } else if (const auto* o = std::get_if<Probe>(&command)) {
      command_log_.push_back("probe " + std::to_string(o->server));
      const auto server = o->server;
      schedule(random_ms(2, 300), [this, number, incarnation, server] {
        const auto& front = fronts_[static_cast<std::size_t>(number)];
        if (!front.alive || front.incarnation != incarnation)
          return;
        deliver(number,
                ProbeEnded{server,
                           servers_[server].up,
                           {servers_[server].up ? std::optional(1.1 * uniform()) : std::nullopt, {}, {}}});
      });
    }
  }
  void end_unserved(PlaybackId id, StepKind kind, Duration retry_after) {
    command_log_.push_back((kind == StepKind::rejected ? "reject " : "abort ") + std::to_string(id) + " " +
                           std::to_string(retry_after.count()));
    if (!playbacks_.contains(id))
      return void(inconsistency_ = "an answer for an unknown playback");
    auto& playback = playbacks_.at(id);
    if (shape_.fault == Fault::drops_answer && id % 5 == 2)
      return;
    auto answer = of(id);
    answer.kind = kind;
    answer.until = retry_after;
    step(answer);
    if (shape_.fault == Fault::answers_twice && id % 5 == 2)
      step(answer);
    playback.finished = true;
  }
  void set_up(int number, const SetUp& command) {
    command_log_.push_back("set up " + std::to_string(command.playback) + " on " +
                           std::to_string(command.server) + " within " +
                           std::to_string(command.time_limit.count()));
    if (!playbacks_.contains(command.playback))
      return void(inconsistency_ = "a set-up for an unknown playback");
    auto& playback = playbacks_.at(command.playback);
    if (std::find(playback.holders.begin(), playback.holders.end(), command.server) == playback.holders.end())
      return void(inconsistency_ = "a set-up at a server that does not hold the title");
    playback.server = static_cast<int>(command.server);
    auto sent = of(command.playback);
    sent.kind = StepKind::setup_sent;
    step(sent);
    playback.try_pending = true;
    const int attempt = ++playback.tries;
    if (attempt > settings_.max_tries)
      return void(inconsistency_ = "more tries than are allowed");
    const auto id = command.playback;
    const auto ends = [this, id, attempt](Duration delay, Outcome outcome) {
      schedule(delay, [this, id, attempt, outcome] {
        if (playbacks_.at(id).tries == attempt)
          end(id, outcome, false);
      });
    };
    const auto& server = servers_[command.server];
    const Duration limit = std::max<Duration>(command.time_limit, 0us);
    if (!server.up && !server.silent)
      return ends(random_ms(1, 60), Outcome::no_connection);
    if (!server.up)
      return ends(limit, Outcome::late);
    const double outcome_draw = uniform();
    if (outcome_draw < 0.10)
      return ends(random_ms(1, 60), Outcome::full);
    if (outcome_draw < 0.14)
      return ends(random_ms(1, 60), Outcome::error);
    if (outcome_draw < 0.20)
      return ends(limit, Outcome::late);  // its answer is lost
    if (outcome_draw < 0.23)
      return ends(random_ms(1, 200), Outcome::reset);
    if (outcome_draw < 0.25)
      return ends(0s, Outcome::not_sent);
    const Duration takes = random_ms(5, with_probability(0.1) ? 1500 : 200);
    if (takes >= limit)
      return ends(limit, Outcome::late);
    schedule(takes, [this, number, id, attempt] {
      auto& playback = playbacks_.at(id);
      if (playback.tries != attempt || !playback.try_pending || playback.finished)
        return;
      playback.playing = true;
      auto plays = of(id);
      plays.kind = StepKind::started;
      step(plays);
      deliver(number, PlaybackStarted{id, static_cast<ServerId>(playback.server), 0s});
      const Duration lasts = random_ms(200, 12000);
      schedule(lasts, [this, id, attempt] {
        if (playbacks_.at(id).tries == attempt)
          end(id, with_probability(0.8) ? Outcome::served : Outcome::reset, with_probability(0.9));
      });
      for (int count = this->random_int(0, 3); count > 0; --count) {
        schedule(random_ms(200, 8000), [this, id] {
          const auto& of = playbacks_.at(id);
          if (!of.playing || of.finished || !of.try_pending)
            return;
          deliver(of.front, Measurement{id, static_cast<ServerId>(of.server), Measurement::Kind::share,
                                        with_probability(0.5) ? 1.0 : 0.4 + 0.6 * uniform()});
          deliver(of.front, Measurement{id, static_cast<ServerId>(of.server), Measurement::Kind::link_fill,
                                        1.2 * uniform()});
        });
      }
    });
  }
  void end(PlaybackId id, Outcome outcome, bool playback_over) {
    auto& playback = playbacks_.at(id);
    if (!playback.try_pending || playback.finished)
      return;
    const auto& front = fronts_[static_cast<std::size_t>(playback.front)];
    if (!front.alive || front.incarnation != playback.incarnation)
      return;
    playback.try_pending = playback.playing = false;
    auto ended = of(id);
    ended.kind = StepKind::try_ended;
    ended.playback_over = playback_over;
    ended.never_ran =
        outcome == Outcome::full || outcome == Outcome::no_connection || outcome == Outcome::not_sent;
    ended.failed = outcome == Outcome::late || outcome == Outcome::reset || outcome == Outcome::no_connection;
    step(ended);
    if (playback_over || playback.cancelled)
      playback.finished = true;
    LoadReport load;
    if (with_probability(0.3))
      load.link_fill = 1.2 * uniform();
    if (with_probability(0.1))
      load.streams = 20 * uniform();
    deliver(playback.front,
            TryEnded{id, static_cast<ServerId>(playback.server), outcome, playback_over, load});
  }

  Shape shape_;
  std::mt19937 random_;
  int front_count_ = 0;
  PolicySettings settings_;
  std::unique_ptr<RulesModel> model_;
  Duration now_{0};
  std::uint64_t sequence_ = 0;
  std::map<std::pair<Duration, std::uint64_t>, std::function<void()>> events_;
  std::vector<Server> servers_;
  std::vector<Front> fronts_;
  std::map<PlaybackId, Playback> playbacks_;
  PlaybackId next_ = 0;
  std::string inconsistency_;
  std::vector<std::string> command_log_;
};

}  // namespace violettide::testing
