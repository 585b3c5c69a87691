// Checks the decision module against the reference model of the rules, in simulations of several fronts with
// fixed seeds.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "rules_world.h"

namespace violettide {
namespace {

using namespace std::chrono_literals;
using testing::Fault;
using testing::RulesModel;
using testing::Simulation;

constexpr std::uint32_t seed_count = 300;

void expect_no_violation(const Simulation::Shape& shape) {
  std::size_t sent = 0, taken = 0, ended = 0, restarts = 0;
  for (std::uint32_t seed = 1; seed <= seed_count; ++seed) {
    Simulation simulation(seed, shape);
    const bool kept = simulation.run();
    ASSERT_TRUE(kept) << "seed " << seed << ": "
                      << (simulation.model().violation()
                              ? "rule " + std::to_string(simulation.model().violation()->rule) + ": " +
                                    simulation.model().violation()->message
                              : simulation.inconsistency());
    sent += simulation.model().count(RulesModel::StepKind::setup_sent);
    taken += simulation.model().count(RulesModel::StepKind::requested);
    ended += simulation.model().count(RulesModel::StepKind::try_ended);
    restarts += simulation.model().count(RulesModel::StepKind::front_killed);
  }
  // Guards against runs in which nothing happens, as they violate no rule.
  EXPECT_GT(taken, 100u * seed_count);
  EXPECT_GT(sent, taken / 4);
  EXPECT_GT(ended, sent / 2);
  EXPECT_GT(restarts, seed_count / 2);
}

TEST(PolicyRules, HoldInEverySimulation) { expect_no_violation({}); }

TEST(PolicyRules, HoldUnderMalformedEvents) { expect_no_violation({Fault::none, true}); }

TEST(PolicyRules, SameSeedGivesTheSameCommands) {
  for (std::uint32_t seed = 1; seed <= 5; ++seed) {
    Simulation one(seed, {}), other(seed, {});
    one.run();
    other.run();
    EXPECT_GT(one.command_log().size(), 50u);
    EXPECT_EQ(one.command_log(), other.command_log());
  }
}

// Each deliberate fault is found as a violation of its rule and no other.
TEST(PolicyRules, TheModelFindsEachFault) {
  const std::pair<Fault, int> faults[] = {
      {Fault::drops_answer, 1},    {Fault::answers_twice, 1},  {Fault::ignores_payment, 2},
      {Fault::sends_two_tries, 2}, {Fault::ignores_drains, 3}, {Fault::ignores_cold_start, 4},
      {Fault::ignores_floor, 5},   {Fault::ignores_seats, 5},  {Fault::ignores_retry_budget, 6}};
  for (const auto& [fault, rule] : faults) {
    std::uint32_t seed = 0;
    std::optional<RulesModel::Violation> violation;
    while (!violation && seed < 60) {
      Simulation simulation(++seed, {fault});
      simulation.run();
      violation = simulation.model().violation();
    }
    ASSERT_TRUE(violation) << "fault " << static_cast<int>(fault) << " was not found in " << seed
                           << " simulations";
    EXPECT_EQ(violation->rule, rule) << violation->message;
    RecordProperty("fault_" + std::to_string(static_cast<int>(fault)) + "_found_at_seed",
                   static_cast<int>(seed));
  }
}

// Many fronts learn of one server start at the same time, all with viewers for titles on that server alone.
// Returns the highest fill of any window, 1 being the overload multiple.
double max_window_fill(int fronts, bool indices_set, double requests_per_second, double idle_seconds,
                       std::uint32_t seed) {
  PolicySettings settings;
  settings.plans.resize(1);
  settings.plans[0].startup_target = 1500ms;
  settings.rung_kb = settings.rung_revenue = {1};
  settings.streams_by_kind = {35};
  settings.link_kb_per_weight = 1e6;
  settings.front_count = fronts;
  settings.warmup_time = 12s;
  settings.warmup_initial_share = 0.4;
  settings.overload_multiple = 3;
  settings.max_tries = 5;
  testing::RuleSettings rules;
  rules.plans = {{false, 0, 0}};
  rules.warmup_time = settings.warmup_time;
  rules.warmup_initial_share = settings.warmup_initial_share;
  rules.overload_multiple = settings.overload_multiple;
  rules.stream_capacity = settings.streams_by_kind[0];
  rules.cold_window = 3s;
  RulesModel model(rules);
  using StepKind = RulesModel::StepKind;
  const Duration started_at = 30s, listed_at = 31s;
  std::vector<Policy> policies;
  model.step({started_at, StepKind::server_started});
  for (int front = 0; front < fronts; ++front) {
    if (indices_set)
      settings.front_index = front;
    policies.emplace_back(settings, seed * 1000 + static_cast<std::uint32_t>(front));
    policies.back().handle(Duration(0), ServerList{});
    ServerEntry entry;
    entry.started = started_at;
    policies.back().handle(listed_at, ServerList{ServerList::Kind::complete, {entry}});
    model.step({listed_at, StepKind::listed_ready, front});
    model.step({listed_at, StepKind::listed_start, front, 0, 0, 0, 0, 0, started_at});
  }
  std::mt19937 random(seed);
  std::exponential_distribution<> gap(requests_per_second);
  std::multimap<Duration, int> requests;
  for (int front = 0; front < fronts; ++front) {
    for (double at = idle_seconds + gap(random); at < 11; at += gap(random))
      requests.emplace(listed_at + Duration(static_cast<std::int64_t>(at * 1e6)), front);
  }
  PlaybackId next = 0;
  for (const auto& [at, front] : requests) {
    Request request;
    request.playback = next++;
    request.abandon_at = at + 4s;
    auto& policy = policies[static_cast<std::size_t>(front)];
    for (const auto& command : policy.handle(at, request)) {
      if (!std::holds_alternative<violettide::SetUp>(command))
        continue;
      model.step({at, StepKind::requested, front, request.playback, 0, 0, 0, 0, request.abandon_at});
      model.step({at, StepKind::setup_sent, front, request.playback});
      policy.handle(at, PlaybackStarted{request.playback, 0, 0s});
    }
  }
  EXPECT_GT(model.count(StepKind::setup_sent), 1u) << "too few set-ups";
  return model.max_cold_window_fill();
}

TEST(PolicyRules, FrontsThatLearnOfAStartTogetherTakeTurns) {
  for (const int fronts : {1, 3, 30, 270}) {
    for (const double idle_seconds : {0.0, 6.0}) {
      const double max_fill = max_window_fill(fronts, true, std::max(2.0, 20.0 / fronts), idle_seconds, 1);
      EXPECT_LE(max_fill, 1) << fronts << " fronts, the first viewers " << idle_seconds
                             << " s after the news of the start";
      RecordProperty(std::to_string(fronts) + "_fronts_" + std::to_string(idle_seconds),
                     std::to_string(max_fill));
    }
  }
  // Indices drawn at random spread the turns by chance only.
  for (std::uint32_t seed = 1; seed <= 5; ++seed)
    EXPECT_LE(max_window_fill(100, false, 2, 0, seed), 1);
}

// Guards against blaming a server for a probe that failed for want of a descriptor or port on this machine.
TEST(PolicyRules, AProbeThatWasNotSentCausesNoCooldown) {
  for (const bool sent : {false, true}) {
    PolicySettings settings;
    settings.plans.resize(1);
    settings.plans[0].startup_target = 2s;
    settings.rung_kb = {1};
    settings.streams_by_kind = {10};
    settings.has_weights = true;
    settings.link_kb_per_weight = 100;
    settings.max_tries = 2;
    settings.probes_enabled = true;
    Policy policy(settings, 1);
    ServerList list;
    list.entries.push_back({});
    policy.handle(0s, list);
    Request request;
    request.abandon_at = 5s;
    const auto first = policy.handle(1ms, request);
    ASSERT_TRUE(std::any_of(first.begin(), first.end(),
                            [](const Command& command) { return std::holds_alternative<Probe>(command); }));
    bool set_up = false;
    for (int probe = 0; probe < 2; ++probe) {  // a second probe may follow
      for (const auto& command : policy.handle(2ms, ProbeEnded{0, false, {}, sent}))
        set_up = set_up || std::holds_alternative<violettide::SetUp>(command);
    }
    EXPECT_EQ(set_up, !sent);
  }
}

}  // namespace
}  // namespace violettide
