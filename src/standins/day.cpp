#include "standins/day.h"

#include <algorithm>
#include <random>

namespace violettide::standins {

namespace {

using namespace std::chrono_literals;
using settings::Value;

// Script name of a fault kind.
struct FaultName {
  FaultKind kind;
  const char* name;
};
constexpr FaultName fault_names[] = {{FaultKind::crash, "crash"},
                                     {FaultKind::vanish, "vanish"},
                                     {FaultKind::hang, "hang"},
                                     {FaultKind::slow, "slow"},
                                     {FaultKind::ageing, "ageing"},
                                     {FaultKind::neighbour, "neighbour"},
                                     {FaultKind::drain, "drain"},
                                     {FaultKind::answer_lost, "answer_lost"},
                                     {FaultKind::false_cmsd, "false_cmsd"},
                                     {FaultKind::report_late, "report_late"},
                                     {FaultKind::list_late, "list_late"},
                                     {FaultKind::list_down, "list_down"},
                                     {FaultKind::crowd, "crowd"},
                                     {FaultKind::roll, "roll"},
                                     {FaultKind::catalogue_moves, "catalogue_moves"},
                                     {FaultKind::feed_broken, "feed_broken"},
                                     {FaultKind::stall, "stall"},
                                     {FaultKind::issuer_down, "issuer_down"},
                                     {FaultKind::list_behind, "list_behind"},
                                     {FaultKind::list_gaps, "list_gaps"},
                                     {FaultKind::list_nonsense, "list_nonsense"}};

template <typename T>
std::optional<Value> default_value(T value) {
  return Value{std::move(value), {}};
}

std::vector<settings::Builtin> scenario_builtins() {
  using enum settings::ValueType;
  auto all = settings::deployment_builtins();
  const std::vector<settings::Builtin> scenario_only{
      {"day",
       {{"length", duration, {}, 0.1, 600},
        {"seed", integer, default_value(std::int64_t{1}), 0, 2e9},
        {"managers", integer, default_value(std::int64_t{3}), 1, 32}},
       true},
      {"boxes",
       {{"count", integer, {}, 1, 400},
        {"spread", fraction, default_value(0.2)},
        {"list_lag", duration, default_value(Duration(1500ms)), 0, 600},
        {"setup_time", duration, default_value(Duration(40ms)), 0, 60},
        {"pace", number, default_value(1.25), 1, 100},
        {"live_titles", fraction, default_value(0.0)},
        {"vary", fraction, default_value(0.15)}},
       true},
      {"viewers",
       {{"per_second", number, {}, 0.01, 10000},
        {"least_watch", duration, {}, 0.1, 86400},
        {"most_watch", duration, {}, 0.1, 86400},
        {"titles", integer, default_value(std::int64_t{40}), 1, 1e6},
        {"zipf", number, default_value(0.8), 0, 5},
        {"plan_shares", numbers, default_value(settings::List{}), 0, 1e6},
        {"hintless", fraction, default_value(0.05)},
        {"malformed", fraction, default_value(0.05)},
        {"small_screens", fraction, default_value(0.2)},
        {"hls", fraction, default_value(0.0)},
        {"returns", fraction, default_value(0.9)},
        {"rejoin", duration, default_value(Duration(1s)), 0, 600},
        {"crowd_title", integer, default_value(std::int64_t{0}), 0, 1e6}},
       true},
      {"issuer",
       {{"rotate", duration, default_value(Duration(5s)), 0.1, 600},
        {"token_life", duration, default_value(Duration(4s)), 0.1, 86400},
        {"teams", integer, default_value(std::int64_t{3}), 1, 1000},
        {"seats", integer, default_value(std::int64_t{10}), 0, 1e6},
        {"bad", fraction, default_value(0.05)}},
       true},
      {"trouble",
       {{"kind", string, {}},
        {"at", duration, {}, 0, 600},
        {"lasts", duration, {}, 0, 600},
        {"boxes", integers, default_value(settings::List{}), 0, 400},
        {"managers", integers, default_value(settings::List{}), 0, 32},
        {"size", number, default_value(0.0), 0, 1e6}}},
  };
  all.insert(all.end(), scenario_only.begin(), scenario_only.end());
  return all;
}

bool targets_managers(FaultKind kind) { return kind == FaultKind::roll || kind == FaultKind::stall; }
bool has_no_targets(FaultKind kind) {
  return kind == FaultKind::crowd || kind == FaultKind::list_late || kind == FaultKind::list_down ||
         kind == FaultKind::catalogue_moves || kind == FaultKind::feed_broken ||
         kind == FaultKind::issuer_down;
}

}  // namespace

const char* fault_name(FaultKind kind) {
  for (const auto& known : fault_names) {
    if (known.kind == kind)
      return known.name;
  }
  return "?";
}

bool is_holder(const Scenario& scenario, const BoxSettings& box, std::string_view title) {
  const auto cells_of_title = manager::holder_cells(scenario.deployment.front, title);
  const int cell_count = std::max(1, scenario.deployment.front.policy.cells);
  return (box.cell - cells_of_title.first_cell % cell_count + cell_count) % cell_count <
         cells_of_title.cell_count;
}

std::variant<settings::Deployment, settings::Diagnostics> read_settings(const std::string& path,
                                                                        const settings::FileReader& files) {
  const auto builtins = scenario_builtins();
  auto read = settings::evaluate_script(path, builtins, files);
  if (!read.diagnostics.empty())
    return std::move(read.diagnostics);
  return settings::build_deployment(read.calls);
}

std::variant<Scenario, settings::Diagnostics> read_scenario(const std::string& path,
                                                            const settings::FileReader& files) {
  const auto builtins = scenario_builtins();
  auto read = settings::evaluate_script(path, builtins, files);
  if (!read.diagnostics.empty())
    return std::move(read.diagnostics);
  auto deployment = settings::build_deployment(read.calls);
  settings::Diagnostics mistakes;
  if (auto* deployment_mistakes = std::get_if<settings::Diagnostics>(&deployment))
    mistakes = std::move(*deployment_mistakes);
  Scenario scenario;
  if (mistakes.empty())
    scenario.deployment = std::get<settings::Deployment>(std::move(deployment));
  const auto add_mistake = [&](const settings::SourceLocation& place, std::string cause) {
    mistakes.push_back({place, std::move(cause)});
  };
  const settings::Call* day_call = nullptr;
  const settings::Call* boxes_call = nullptr;
  const settings::Call* viewers_call = nullptr;
  for (const auto& call : read.calls) {
    if (call.name == "day")
      day_call = &call;
    if (call.name == "boxes")
      boxes_call = &call;
    if (call.name == "viewers")
      viewers_call = &call;
  }
  const settings::SourceLocation script_start{path, 1, 1};
  if (!day_call)
    add_mistake(script_start, "the day lacks 'day'");
  if (!boxes_call)
    add_mistake(script_start, "the day lacks 'boxes'");
  if (!viewers_call)
    add_mistake(script_start, "the day lacks 'viewers'");
  if (!mistakes.empty())
    return mistakes;

  scenario.duration = day_call->duration("length");
  scenario.seed = static_cast<std::uint32_t>(day_call->integer("seed"));
  scenario.manager_count = static_cast<int>(day_call->integer("managers"));
  scenario.deployment.front.policy.front_count = scenario.manager_count;
  scenario.list_delay = boxes_call->duration("list_lag");
  scenario.setup_time = boxes_call->duration("setup_time");
  scenario.pacing_factor = boxes_call->number("pace");
  scenario.rate_variation = boxes_call->number("vary");
  scenario.live_title_share = boxes_call->number("live_titles");
  std::minstd_rand random(scenario.seed + 1);
  const auto& policy = scenario.deployment.front.policy;
  const double spread = boxes_call->number("spread");
  const auto count = static_cast<int>(boxes_call->integer("count"));
  for (int i = 0; i < count; ++i) {
    BoxSettings box;
    box.name = "box-" + std::to_string(i);
    box.cell = i % policy.cells;
    box.hall = i % static_cast<int>(scenario.deployment.front.halls.size());
    box.kind = i % static_cast<int>(policy.streams_by_kind.size());
    const double deviation = static_cast<double>(random() % 2001) / 1000 - 1;
    box.link_kb = scenario.deployment.link_kb_per_s * (1 + spread * deviation);
    scenario.boxes.push_back(std::move(box));
  }
  const auto& workload_call = *viewers_call;
  auto& workload = scenario.workload;
  workload.arrivals_per_second = workload_call.number("per_second");
  workload.min_watch_time = workload_call.duration("least_watch");
  workload.max_watch_time = workload_call.duration("most_watch");
  if (workload.max_watch_time < workload.min_watch_time)
    add_mistake(workload_call.location_of("most_watch"), "less than 'least_watch'");
  workload.title_count = static_cast<int>(workload_call.integer("titles"));
  workload.zipf_exponent = workload_call.number("zipf");
  workload.plan_shares = workload_call.numbers("plan_shares");
  workload.plan_shares.resize(policy.plans.size(), workload.plan_shares.empty() ? 1 : 0);
  workload.no_hints_share = workload_call.number("hintless");
  workload.malformed_hints_share = workload_call.number("malformed");
  workload.small_screen_share = workload_call.number("small_screens");
  workload.hls_share = workload_call.number("hls");
  if (workload.hls_share > 0 && !scenario.deployment.hls_enabled)
    add_mistake(workload_call.location_of("hls"), "viewers read HLS, and the settings lack 'hls'");
  workload.return_probability = workload_call.number("returns");
  workload.rejoin_delay = workload_call.duration("rejoin");
  workload.crowd_title = static_cast<int>(workload_call.integer("crowd_title"));
  for (const auto& call : read.calls) {
    if (call.name != "issuer")
      continue;
    if (!scenario.deployment.front.entitlement.enabled)
      add_mistake(call.location, "the settings lack 'entitlement'");
    scenario.issuer.rotation_interval = call.duration("rotate");
    scenario.issuer.token_lifetime = call.duration("token_life");
    scenario.issuer.team_count = static_cast<int>(call.integer("teams"));
    scenario.issuer.seats_per_team = static_cast<int>(call.integer("seats"));
    scenario.issuer.invalid_token_share = call.number("bad");
  }
  for (const auto& call : read.calls) {
    if (call.name != "trouble")
      continue;
    Fault fault;
    const auto known = std::find_if(std::begin(fault_names), std::end(fault_names),
                                    [&](auto& i) { return call.string("kind") == i.name; });
    if (known == std::end(fault_names)) {
      add_mistake(call.location_of("kind"), "no kind of trouble '" + call.string("kind") + "'");
      continue;
    }
    fault.kind = known->kind;
    fault.start = call.duration("at");
    fault.duration = call.duration("lasts");
    fault.magnitude = call.number("size");
    const char* targets_key = targets_managers(fault.kind) ? "managers" : "boxes";
    const int limit = targets_managers(fault.kind) ? scenario.manager_count : count;
    for (const auto number : call.integers(targets_key)) {
      if (number >= limit)
        add_mistake(call.location_of(targets_key),
                    "there are " + std::to_string(limit) + " " + targets_key + ", numbered from 0");
      fault.targets.push_back(static_cast<int>(number));
    }
    if (!has_no_targets(fault.kind) && fault.targets.empty())
      add_mistake(call.location,
                  std::string("'") + known->name + "' lacks whom it befalls: '" + targets_key + "'");
    scenario.faults.push_back(std::move(fault));
  }
  if (!mistakes.empty())
    return mistakes;
  return scenario;
}

}  // namespace violettide::standins
