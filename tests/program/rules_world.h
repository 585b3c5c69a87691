// A small seeded world round several modules: servers that start cold, drain, die and fall silent, lists that
// are late, out of order and cut, viewers that leave, fronts that are killed and begin again. All that passes
// is told to the model of the rules.
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

// What is taken from the module on purpose, so that the model is seen to find it.
enum class Bend {
  none,
  drops_answer,
  answers_twice,
  not_paid,
  two_out,
  no_drains,
  no_cold,
  no_floor,
  no_seats,
  no_budget
};

class World {
 public:
  using What = RulesModel::What;
  struct Shape {
    Bend bend = Bend::none;
    bool rude = false;  // events that no good caller sends, beside the others
    int fronts = 0;     // 0: drawn
    Duration length = 20s;
  };

  World(std::uint32_t seed, Shape shape) : shape_(shape), chance_(seed) {
    draw_terms();
    model_ = std::make_unique<RulesModel>(rules());
    servers_.resize(static_cast<std::size_t>(number(3, 7)));
    for (auto& server : servers_)
      server.started = -60s;
    for (int i = 0; i < fronts_count_; ++i)
      begin_front(i, 0s);
    for (std::size_t s = 0; s < servers_.size(); ++s)
      plan_fate(static_cast<int>(s));
  }

  // False once a rule is broken; the model tells which.
  bool run() {
    const Duration end = shape_.length + 12s;
    for (Duration at = 250ms; at < end; at += 250ms)
      later(at, [this] { model_->check(now_); });
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto next = std::move(events_.begin()->second);
      now_ = events_.begin()->first.first;
      events_.erase(events_.begin());
      next();
      if (model_->broken() || !wrong_.empty())
        return false;
    }
    return true;
  }
  const RulesModel& model() const { return *model_; }
  const std::string& wrong() const { return wrong_; }  // an order that no rule forbids and yet makes no sense
  const std::vector<std::string>& commands() const { return said_; }

 private:
  struct Server {
    bool up = true, silent = false;
    ServerState state = ServerState::ready;
    Duration started{0};
  };
  struct Front {
    int number = 0, life = 0;
    bool alive = false;
    std::unique_ptr<Policy> policy;
    Duration began{0};
    std::set<int> listed;
  };
  struct Playback {
    int front = 0, life = 0, plan = 0, top = 0;
    std::uint64_t title = 0;
    Duration until{0};
    bool over = false, out = false, plays = false, withdrawn = false;
    int tries = 0, server = 0;
    std::vector<ServerId> holders;
  };

  int number(int least, int most) { return std::uniform_int_distribution<int>(least, most)(chance_); }
  double part() { return std::uniform_real_distribution<>()(chance_); }
  bool odds(double of) { return part() < of; }
  Duration ms(int least, int most) { return std::chrono::milliseconds(number(least, most)); }
  void later(Duration in, std::function<void()> what) {
    events_.emplace(std::pair(now_ + in, sequence_++), std::move(what));
  }
  void step(RulesModel::Step step) {
    step.at = now_;
    model_->step(step);
  }

  void draw_terms() {
    fronts_count_ = shape_.fronts > 0 ? shape_.fronts : number(2, 4);
    terms_.rung_kb = {100, 200, 400};
    terms_.rung_revenue = {0.4, 0.7, 1};
    terms_.streams_by_kind = {static_cast<double>(number(12, 40))};
    terms_.link_kb_per_weight = number(1500, 6000);
    terms_.uplink_kb = odds(0.5) ? 6000 : 0;
    terms_.racks = 2;
    terms_.cells = 3;
    terms_.switch_cost = 500ms;
    terms_.measurement_delay = 1s;
    terms_.front_count = fronts_count_;
    terms_.warmup_time = 10s;
    terms_.warmup_initial_share = 0.3 + 0.3 * part();
    terms_.overload_multiple = 2 + part();
    terms_.retry_budget_window = odds(0.6) || shape_.bend == Bend::no_budget ? 5s : 0s;
    terms_.retry_budget_base = number(0, 3);
    terms_.retry_budget_share = 0.05 * number(0, 4);
    terms_.max_tries = number(2, 5);
    terms_.max_retry_after = odds(0.7) ? 1s : 0s;
    terms_.probes_enabled = odds(0.5);
    terms_.probe_cost = 0.005;
    for (int i = 0; i < 4; ++i) {
      PlanSettings plan;
      plan.startup_target = i % 2 ? 800ms : 1500ms;
      plan.pay_at_setup = i >= 2;
      plan.floor = i == 1 ? 1 : 0;
      plan.top = 2;
      plan.seats = i == 2 ? 2 : i == 3 ? 1 : 0;
      terms_.plans.push_back(plan);
    }
    terms_.plans[0].seats = 3;
  }

  RulesTerms rules() const {
    RulesTerms rules;
    for (const auto& plan : terms_.plans)
      rules.plans.push_back({plan.pay_at_setup, plan.floor, plan.seats});
    rules.answer_slack = 40ms;
    rules.grace = 1s;
    rules.cold = terms_.warmup_time;
    rules.warmup_initial_share = terms_.warmup_initial_share;
    rules.multiple = terms_.overload_multiple;
    rules.streams = terms_.streams_by_kind[0];
    rules.fall = 3s;
    rules.cold_slack = 2;
    rules.retry_budget_window = terms_.retry_budget_window;
    rules.retry_budget_base = terms_.retry_budget_base;
    rules.retry_budget_share = terms_.retry_budget_share;
    rules.longest_come_back = terms_.max_retry_after;
    return rules;
  }

  // What the module is told of the terms, the bend apart.
  PolicySettings bent_terms() const {
    auto bent = terms_;
    for (auto& plan : bent.plans) {
      if (shape_.bend == Bend::not_paid)
        plan.pay_at_setup = false;
      if (shape_.bend == Bend::no_floor)
        plan.floor = 0;
      if (shape_.bend == Bend::no_seats)
        plan.seats = 0;
    }
    if (shape_.bend == Bend::no_cold)
      bent.warmup_time = 0s;
    if (shape_.bend == Bend::no_budget)
      bent.retry_budget_window = 0s;
    return bent;
  }

  // ---- servers ----
  void plan_fate(int id) {
    later(ms(1000, 20000), [this, id] {
      auto& server = servers_[static_cast<std::size_t>(id)];
      server.state = odds(0.5) ? ServerState::draining : ServerState::ready;
      tell_all(id);
      later(ms(300, 3000), [this, id] { stop(id); });
    });
  }
  void stop(int id) {
    auto& server = servers_[static_cast<std::size_t>(id)];
    server.up = false;
    server.silent = odds(0.3);
    server.state = ServerState::gone;
    RulesModel::Step stopped;
    stopped.what = What::server_stopped;
    stopped.server = id;
    step(stopped);
    tell_all(id);
    std::vector<PlaybackId> there;
    for (auto& [playback, of] : playbacks_) {
      if (of.out && of.server == id && !server.silent)
        there.push_back(playback);
    }
    for (const auto playback : there)
      later(ms(1, 400), [this, playback] { end(playback, Outcome::reset, odds(0.6)); });
    later(ms(500, 8000), [this, id] {
      auto& back = servers_[static_cast<std::size_t>(id)];
      back.up = true;
      back.silent = false;
      back.state = ServerState::ready;
      back.started = now_;
      RulesModel::Step started;
      started.what = What::server_started;
      started.server = id;
      step(started);
      tell_all(id);
      if (odds(0.5))
        plan_fate(id);
    });
  }
  ServerEntry entry(int id) const {
    const auto& server = servers_[static_cast<std::size_t>(id)];
    ServerEntry entry;
    entry.server = static_cast<ServerId>(id);
    entry.state = server.state;
    entry.cell = id % terms_.cells;
    entry.started = server.started;  // on the world's clock until it is told
    return entry;
  }

  // ---- lists: each message takes its own time, so that they pass each other ----
  void tell_all(int id) {
    for (auto& front : fronts_) {
      const int number = front.number, life = front.life;
      const bool whole = odds(0.3), cut = whole && odds(0.1);
      ServerList list;
      list.kind = whole ? ServerList::Kind::complete : ServerList::Kind::changes;
      for (int s = 0; s < static_cast<int>(servers_.size()); ++s) {
        if (s != id && (!whole || (cut && odds(0.5))))
          continue;
        list.entries.push_back(entry(s));
      }
      later(odds(0.2) ? ms(1000, 6000) : ms(5, 1500),
            [this, number, life, list] { hear_list(number, life, list); });
    }
  }
  void hear_list(int number, int life, ServerList list) {
    auto& front = fronts_[static_cast<std::size_t>(number)];
    if (!front.alive || front.life != life)
      return;
    if (list.kind != ServerList::Kind::changes) {
      for (const int server : front.listed) {
        const bool named = std::any_of(list.entries.begin(), list.entries.end(),
                                       [&](auto& e) { return static_cast<int>(e.server) == server; });
        if (!named)
          say_listed(number, server, What::listed_off);
      }
    }
    for (auto& entry : list.entries) {
      const int server = static_cast<int>(entry.server);
      front.listed.insert(server);
      say_listed(number, server, entry.state == ServerState::ready ? What::listed_ready : What::listed_off);
      if (entry.started) {
        RulesModel::Step start;
        start.what = What::listed_start;
        start.front = number;
        start.server = server;
        start.until = *entry.started;
        step(start);
        *entry.started -= front.began;
      }
    }
    if (shape_.bend == Bend::no_drains) {
      for (auto& entry : list.entries)
        entry.state = ServerState::ready;
      list.kind = ServerList::Kind::changes;
    }
    tell(number, list);
  }
  void say_listed(int front, int server, What what) {
    RulesModel::Step word;
    word.what = what;
    word.front = front;
    word.server = server;
    step(word);
  }

  // ---- fronts ----
  void begin_front(int number, Duration in) {
    if (fronts_.size() <= static_cast<std::size_t>(number)) {
      fronts_.emplace_back();
      fronts_.back().number = number;
    }
    later(in, [this, number] {
      auto& front = fronts_[static_cast<std::size_t>(number)];
      front.alive = true;
      front.began = now_;
      front.listed.clear();
      front.policy =
          std::make_unique<Policy>(bent_terms(), static_cast<std::uint64_t>(number + 1 + 16 * front.life));
      RulesModel::Step began;
      began.what = What::began;
      began.front = number;
      step(began);
      ServerList cached;
      cached.kind = ServerList::Kind::cached;
      for (int s = 0; s < static_cast<int>(servers_.size()); ++s) {
        cached.entries.push_back(entry(s));
        if (odds(0.5))
          cached.entries.back().started.reset();
      }
      hear_list(number, front.life, cached);
      if (front.life == 0)
        carry_some(number);
      ask(number);
      if (odds(0.6))
        later(ms(3000, 20000), [this, number] { kill(number); });
    });
  }
  void kill(int number) {
    auto& front = fronts_[static_cast<std::size_t>(number)];
    front.alive = false;
    ++front.life;
    front.policy.reset();
    RulesModel::Step killed;
    killed.what = What::killed;
    killed.front = number;
    step(killed);
    for (auto& [id, playback] : playbacks_) {
      if (playback.front == number)
        playback.over = true, playback.out = false;
    }
    begin_front(number, ms(200, 2000));
  }

  // ---- viewers ----
  Playback& make(int number, PlaybackId& id, Request& request) {
    id = next_++;
    auto& playback = playbacks_[id];
    playback.front = number;
    playback.life = fronts_[static_cast<std::size_t>(number)].life;
    playback.plan = this->number(0, 3);
    playback.top = this->number(1, 2);
    playback.title = static_cast<std::uint64_t>(this->number(0, 4));
    playback.until = now_ + (playback.plan % 2 ? 2s : 4s);
    request.playback = id;
    request.plan = playback.plan;
    request.title = static_cast<TitleId>(playback.title);
    request.abandon_at = playback.until - fronts_[static_cast<std::size_t>(number)].began;
    request.top = playback.top;
    if (odds(0.5))
      request.length = ms(1000, 20000);
    request.first_cell = static_cast<int>(playback.title) % terms_.cells;
    request.cell_count = 2;
    if (odds(0.5)) {
      playback.holders = some_servers();
      request.listed_holders = std::make_shared<const std::vector<ServerId>>(playback.holders);
    } else {
      for (int s = 0; s < static_cast<int>(servers_.size()); ++s) {
        const int cell = s % terms_.cells;
        if (cell == request.first_cell || cell == (request.first_cell + 1) % terms_.cells)
          playback.holders.push_back(static_cast<ServerId>(s));
      }
    }
    return playback;
  }
  std::vector<ServerId> some_servers() {
    std::vector<ServerId> some;
    for (std::size_t s = 0; s < servers_.size(); ++s) {
      if (odds(0.5))
        some.push_back(static_cast<ServerId>(s));
    }
    return some;
  }
  void ask(int number) {
    const int life = fronts_[static_cast<std::size_t>(number)].life;
    later(ms(1, odds(0.2) ? 20 : 700), [this, number, life] {
      auto& front = fronts_[static_cast<std::size_t>(number)];
      if (!front.alive || front.life != life || now_ > shape_.length)
        return;
      PlaybackId id = 0;
      Request request;
      auto& playback = make(number, id, request);
      RulesModel::Step taken = of(id);
      taken.what = What::taken;
      taken.until = playback.until;
      step(taken);
      if (odds(0.1))
        later(ms(1, 6000), [this, id] { withdraw(id); });
      if (odds(0.1))
        later(ms(1, 800), [this, id] { change_holders(id); });
      if (shape_.rude && odds(0.3))
        later(ms(0, 1500), [this, id, request] { be_rude(id, request); });
      tell(number, request);
      ask(number);
    });
  }
  void carry_some(int number) {
    for (int i = this->number(0, 3); i > 0; --i) {
      PlaybackId id = 0;
      PlaybackAdopted carried;
      auto& playback = make(number, id, carried.request);
      playback.out = playback.plays = true;
      playback.server = this->number(0, static_cast<int>(servers_.size()) - 1);
      carried.server = static_cast<ServerId>(playback.server);
      auto step = of(id);
      step.what = What::carried;
      this->step(step);
      tell(number, carried);
      tell(number,
           Measurement{id, carried.server, Measurement::Kind::rung,
                       static_cast<double>(terms_.plans[static_cast<std::size_t>(playback.plan)].floor)});
      later(ms(500, 15000), [this, id] { end(id, Outcome::served, true); });
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
  void withdraw(PlaybackId id) {
    auto& playback = playbacks_.at(id);
    if (playback.over || playback.withdrawn || playback.plays)
      return;
    playback.withdrawn = true;
    auto step = of(id);
    step.what = What::withdrawn;
    this->step(step);
    if (!playback.out)
      playback.over = true;
    const bool out = playback.out;
    tell(playback.front, RequestCancelled{id});
    if (out)
      later(ms(0, 50), [this, id] { end(id, Outcome::cancelled, odds(0.5)); });
  }
  void change_holders(PlaybackId id) {
    auto& playback = playbacks_.at(id);
    if (playback.over)
      return;
    playback.holders = some_servers();
    tell(playback.front, HoldersChanged{id, std::make_shared<const std::vector<ServerId>>(playback.holders)});
  }

  // What a caller in disorder may say of a playback; the model is told of none of it.
  void be_rude(PlaybackId id, const Request& request) {
    auto& playback = playbacks_.at(id);
    if (playback.over || playback.withdrawn)
      return;
    const auto elsewhere = static_cast<ServerId>((playback.server + 1) % static_cast<int>(servers_.size()));
    constexpr double nan = std::numeric_limits<double>::quiet_NaN(),
                     endless = std::numeric_limits<double>::infinity();
    const double odd[] = {nan, endless, -endless, -1, 1e300};
    const double value = odd[number(0, 4)];
    const int front = playback.front;
    switch (number(0, 8)) {
      case 0:
        return tell(front, Measurement{id, static_cast<ServerId>(number(0, 6)), Measurement::Kind::rung,
                                       odds(0.5) ? 0.0 : value});
      case 1:
        return tell(front, Measurement{id, elsewhere, Measurement::Kind::share, value});
      case 2:
        return tell(front, Measurement{id, elsewhere, Measurement::Kind::link_fill, value});
      case 3:
        return tell(front, Measurement{id, elsewhere, Measurement::Kind::uplink_fill, value});
      case 4:
        return tell(front, PlaybackStarted{id, elsewhere, 0s});
      case 5:
        return tell(
            front,
            TryEnded{
                id, elsewhere, odds(0.5) ? Outcome::full : Outcome::reset, false, {value, value, value}});
      case 6:
        return tell(front, request);
      case 7:
        return tell(front, PlaybackAdopted{request, elsewhere});
      default:
        return tell(front, ProbeEnded{elsewhere, true, {value, value, value}});
    }
  }

  // ---- what the module orders ----
  void tell(int number, const Event& event) {
    auto& front = fronts_[static_cast<std::size_t>(number)];
    if (!front.alive)
      return;
    const auto commands = front.policy->handle(now_ - front.began, event);
    for (const auto& command : commands) {
      obey(number, command);
      if (model_->broken() || !wrong_.empty())
        return;
    }
  }
  void obey(int number, const Command& command) {
    const int life = fronts_[static_cast<std::size_t>(number)].life;
    if (const auto* o = std::get_if<SetTimer>(&command)) {
      later(std::max<Duration>(o->delay, 1us), [this, number, life, token = o->token] {
        const auto& front = fronts_[static_cast<std::size_t>(number)];
        if (front.alive && front.life == life)
          tell(number, TimerExpired{token});
      });
    } else if (const auto* o = std::get_if<SetUp>(&command)) {
      set_up(number, *o);
      if (shape_.bend == Bend::two_out && o->playback % 7 == 3)
        set_up(number, *o);
    } else if (const auto* o = std::get_if<SetRung>(&command)) {
      said_.push_back("rung " + std::to_string(o->playback) + " " + std::to_string(o->rung));
      if (!playbacks_.contains(o->playback))
        return void(wrong_ = "a rung for a stranger");
      if (o->rung > playbacks_.at(o->playback).top)
        return void(wrong_ = "a rung over the viewer's highest");
      auto rung = of(o->playback);
      rung.what = What::rung;
      rung.rung = o->rung;
      step(rung);
    } else if (const auto* o = std::get_if<Reject>(&command)) {
      give_up(o->playback, What::rejected, o->retry_after);
    } else if (const auto* o = std::get_if<Abort>(&command)) {
      give_up(o->playback, What::aborted, 0s);
    } else if (const auto* o = std::get_if<Probe>(&command)) {
      said_.push_back("probe " + std::to_string(o->server));
      const auto server = o->server;
      later(ms(2, 300), [this, number, life, server] {
        const auto& front = fronts_[static_cast<std::size_t>(number)];
        if (!front.alive || front.life != life)
          return;
        tell(number, ProbeEnded{server,
                                servers_[server].up,
                                {servers_[server].up ? std::optional(1.1 * part()) : std::nullopt, {}, {}}});
      });
    }
  }
  void give_up(PlaybackId id, What what, Duration come_back) {
    said_.push_back((what == What::rejected ? "reject " : "abort ") + std::to_string(id) + " " +
                    std::to_string(come_back.count()));
    if (!playbacks_.contains(id))
      return void(wrong_ = "an answer to a stranger");
    auto& playback = playbacks_.at(id);
    if (shape_.bend == Bend::drops_answer && id % 5 == 2)
      return;
    auto answer = of(id);
    answer.what = what;
    answer.until = come_back;
    step(answer);
    if (shape_.bend == Bend::answers_twice && id % 5 == 2)
      step(answer);
    playback.over = true;
  }
  void set_up(int number, const SetUp& command) {
    said_.push_back("set up " + std::to_string(command.playback) + " on " + std::to_string(command.server) +
                    " within " + std::to_string(command.time_limit.count()));
    if (!playbacks_.contains(command.playback))
      return void(wrong_ = "a set-up for a stranger");
    auto& playback = playbacks_.at(command.playback);
    if (std::find(playback.holders.begin(), playback.holders.end(), command.server) == playback.holders.end())
      return void(wrong_ = "a set-up at a server that does not hold the title");
    playback.server = static_cast<int>(command.server);
    auto sent = of(command.playback);
    sent.what = What::sent;
    step(sent);
    playback.out = true;
    const int attempt = ++playback.tries;
    if (attempt > terms_.max_tries)
      return void(wrong_ = "more tries than are allowed");
    const auto id = command.playback;
    const auto ends = [this, id, attempt](Duration in, Outcome outcome) {
      later(in, [this, id, attempt, outcome] {
        if (playbacks_.at(id).tries == attempt)
          end(id, outcome, false);
      });
    };
    const auto& server = servers_[command.server];
    const Duration limit = std::max<Duration>(command.time_limit, 0us);
    if (!server.up && !server.silent)
      return ends(ms(1, 60), Outcome::no_connection);
    if (!server.up)
      return ends(limit, Outcome::late);
    const double fate = part();
    if (fate < 0.10)
      return ends(ms(1, 60), Outcome::full);
    if (fate < 0.14)
      return ends(ms(1, 60), Outcome::error);
    if (fate < 0.20)
      return ends(limit, Outcome::late);  // its answer is lost
    if (fate < 0.23)
      return ends(ms(1, 200), Outcome::reset);
    if (fate < 0.25)
      return ends(0s, Outcome::not_sent);
    const Duration takes = ms(5, odds(0.1) ? 1500 : 200);
    if (takes >= limit)
      return ends(limit, Outcome::late);
    later(takes, [this, number, id, attempt] {
      auto& playing = playbacks_.at(id);
      if (playing.tries != attempt || !playing.out || playing.over)
        return;
      playing.plays = true;
      auto plays = of(id);
      plays.what = What::plays;
      step(plays);
      tell(number, PlaybackStarted{id, static_cast<ServerId>(playing.server), 0s});
      const Duration lasts = ms(200, 12000);
      later(lasts, [this, id, attempt] {
        if (playbacks_.at(id).tries == attempt)
          end(id, odds(0.8) ? Outcome::served : Outcome::reset, odds(0.9));
      });
      for (int notes = this->number(0, 3); notes > 0; --notes) {
        later(ms(200, 8000), [this, id] {
          const auto& of = playbacks_.at(id);
          if (!of.plays || of.over || !of.out)
            return;
          tell(of.front, Measurement{id, static_cast<ServerId>(of.server), Measurement::Kind::share,
                                     odds(0.5) ? 1.0 : 0.4 + 0.6 * part()});
          tell(of.front,
               Measurement{id, static_cast<ServerId>(of.server), Measurement::Kind::link_fill, 1.2 * part()});
        });
      }
    });
  }
  void end(PlaybackId id, Outcome outcome, bool over) {
    auto& playback = playbacks_.at(id);
    if (!playback.out || playback.over)
      return;
    const auto& front = fronts_[static_cast<std::size_t>(playback.front)];
    if (!front.alive || front.life != playback.life)
      return;
    playback.out = playback.plays = false;
    auto ended = of(id);
    ended.what = What::ended;
    ended.over = over;
    ended.never_ran =
        outcome == Outcome::full || outcome == Outcome::no_connection || outcome == Outcome::not_sent;
    ended.failed = outcome == Outcome::late || outcome == Outcome::reset || outcome == Outcome::no_connection;
    step(ended);
    if (over || playback.withdrawn)
      playback.over = true;
    LoadReport load;
    if (odds(0.3))
      load.link_fill = 1.2 * part();
    if (odds(0.1))
      load.streams = 20 * part();
    tell(playback.front, TryEnded{id, static_cast<ServerId>(playback.server), outcome, over, load});
  }

  Shape shape_;
  std::mt19937 chance_;
  int fronts_count_ = 0;
  PolicySettings terms_;
  std::unique_ptr<RulesModel> model_;
  Duration now_{0};
  std::uint64_t sequence_ = 0;
  std::map<std::pair<Duration, std::uint64_t>, std::function<void()>> events_;
  std::vector<Server> servers_;
  std::vector<Front> fronts_;
  std::map<PlaybackId, Playback> playbacks_;
  PlaybackId next_ = 0;
  std::string wrong_;
  std::vector<std::string> said_;
};

}  // namespace violettide::testing
