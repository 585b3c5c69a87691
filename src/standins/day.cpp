#include "standins/day.h"

#include <algorithm>
#include <random>

namespace violettide::standins {

namespace {

using namespace std::chrono_literals;
using settings::Value;

struct IllName {
  Ill ill;
  const char* name;
};
constexpr IllName ill_names[] = {{Ill::crash, "crash"},
                                 {Ill::vanish, "vanish"},
                                 {Ill::hang, "hang"},
                                 {Ill::slow, "slow"},
                                 {Ill::ageing, "ageing"},
                                 {Ill::neighbour, "neighbour"},
                                 {Ill::drain, "drain"},
                                 {Ill::answer_lost, "answer_lost"},
                                 {Ill::false_cmsd, "false_cmsd"},
                                 {Ill::report_late, "report_late"},
                                 {Ill::list_late, "list_late"},
                                 {Ill::list_down, "list_down"},
                                 {Ill::crowd, "crowd"},
                                 {Ill::roll, "roll"},
                                 {Ill::catalogue_moves, "catalogue_moves"},
                                 {Ill::feed_broken, "feed_broken"},
                                 {Ill::stall, "stall"},
                                 {Ill::issuer_down, "issuer_down"},
                                 {Ill::list_behind, "list_behind"},
                                 {Ill::list_gaps, "list_gaps"},
                                 {Ill::list_nonsense, "list_nonsense"}};

template <typename Held>
std::optional<Value> as(Held held) {
  return Value{std::move(held), {}};
}

std::vector<settings::Builtin> day_builtins() {
  using enum settings::ValueType;
  auto all = settings::deployment_builtins();
  const std::vector<settings::Builtin> own{
      {"day",
       {{"length", duration, {}, 0.1, 600},
        {"seed", integer, as(std::int64_t{1}), 0, 2e9},
        {"managers", integer, as(std::int64_t{3}), 1, 32}},
       true},
      {"boxes",
       {{"count", integer, {}, 1, 400},
        {"spread", fraction, as(0.2)},
        {"list_lag", duration, as(Duration(1500ms)), 0, 600},
        {"setup_time", duration, as(Duration(40ms)), 0, 60},
        {"pace", number, as(1.25), 1, 100},
        {"live_titles", fraction, as(0.0)},
        {"vary", fraction, as(0.15)}},
       true},
      {"viewers",
       {{"per_second", number, {}, 0.01, 10000},
        {"least_watch", duration, {}, 0.1, 86400},
        {"most_watch", duration, {}, 0.1, 86400},
        {"titles", integer, as(std::int64_t{40}), 1, 1e6},
        {"zipf", number, as(0.8), 0, 5},
        {"plan_shares", numbers, as(settings::List{}), 0, 1e6},
        {"hintless", fraction, as(0.05)},
        {"malformed", fraction, as(0.05)},
        {"small_screens", fraction, as(0.2)},
        {"hls", fraction, as(0.0)},
        {"returns", fraction, as(0.9)},
        {"rejoin", duration, as(Duration(1s)), 0, 600},
        {"crowd_title", integer, as(std::int64_t{0}), 0, 1e6}},
       true},
      {"issuer",
       {{"rotate", duration, as(Duration(5s)), 0.1, 600},
        {"token_life", duration, as(Duration(4s)), 0.1, 86400},
        {"teams", integer, as(std::int64_t{3}), 1, 1000},
        {"seats", integer, as(std::int64_t{10}), 0, 1e6},
        {"bad", fraction, as(0.05)}},
       true},
      {"trouble",
       {{"kind", string, {}},
        {"at", duration, {}, 0, 600},
        {"lasts", duration, {}, 0, 600},
        {"boxes", integers, as(settings::List{}), 0, 400},
        {"managers", integers, as(settings::List{}), 0, 32},
        {"size", number, as(0.0), 0, 1e6}}},
  };
  all.insert(all.end(), own.begin(), own.end());
  return all;
}

bool of_managers(Ill ill) { return ill == Ill::roll || ill == Ill::stall; }
bool of_none(Ill ill) {
  return ill == Ill::crowd || ill == Ill::list_late || ill == Ill::list_down || ill == Ill::catalogue_moves ||
         ill == Ill::feed_broken || ill == Ill::issuer_down;
}

}  // namespace

const char* name_of(Ill ill) {
  for (const auto& known : ill_names) {
    if (known.ill == ill)
      return known.name;
  }
  return "?";
}

bool holds(const Day& day, const BoxTerms& box, std::string_view title) {
  const auto at = manager::holder_cells(day.deployment.front, title);
  const int cells = std::max(1, day.deployment.front.policy.cells);
  return (box.cell - at.first_cell % cells + cells) % cells < at.cell_count;
}

std::variant<settings::Deployment, settings::Diagnostics> read_settings(const std::string& path,
                                                                        const settings::FileReader& files) {
  const auto builtins = day_builtins();
  auto read = settings::evaluate_script(path, builtins, files);
  if (!read.diagnostics.empty())
    return std::move(read.diagnostics);
  return settings::build_deployment(read.calls);
}

std::variant<Day, settings::Diagnostics> read_day(const std::string& path,
                                                  const settings::FileReader& files) {
  const auto builtins = day_builtins();
  auto read = settings::evaluate_script(path, builtins, files);
  if (!read.diagnostics.empty())
    return std::move(read.diagnostics);
  auto deployment = settings::build_deployment(read.calls);
  settings::Diagnostics mistakes;
  if (auto* wrong = std::get_if<settings::Diagnostics>(&deployment))
    mistakes = std::move(*wrong);
  Day day;
  if (mistakes.empty())
    day.deployment = std::get<settings::Deployment>(std::move(deployment));
  const auto wrong = [&](const settings::SourceLocation& place, std::string cause) {
    mistakes.push_back({place, std::move(cause)});
  };
  const settings::Call* said_day = nullptr;
  const settings::Call* said_boxes = nullptr;
  const settings::Call* said_viewers = nullptr;
  for (const auto& call : read.calls) {
    if (call.name == "day")
      said_day = &call;
    if (call.name == "boxes")
      said_boxes = &call;
    if (call.name == "viewers")
      said_viewers = &call;
  }
  const settings::SourceLocation whole{path, 1, 1};
  if (!said_day)
    wrong(whole, "the day lacks 'day'");
  if (!said_boxes)
    wrong(whole, "the day lacks 'boxes'");
  if (!said_viewers)
    wrong(whole, "the day lacks 'viewers'");
  if (!mistakes.empty())
    return mistakes;

  day.length = said_day->duration("length");
  day.seed = static_cast<std::uint32_t>(said_day->integer("seed"));
  day.managers = static_cast<int>(said_day->integer("managers"));
  day.deployment.front.policy.front_count = day.managers;
  day.list_lag = said_boxes->duration("list_lag");
  day.setup_time = said_boxes->duration("setup_time");
  day.pace = said_boxes->number("pace");
  day.vary = said_boxes->number("vary");
  day.live_titles = said_boxes->number("live_titles");
  std::minstd_rand chance(day.seed + 1);
  const auto& site = day.deployment.front.policy;
  const double spread = said_boxes->number("spread");
  const auto count = static_cast<int>(said_boxes->integer("count"));
  for (int i = 0; i < count; ++i) {
    BoxTerms box;
    box.name = "box-" + std::to_string(i);
    box.cell = i % site.cells;
    box.hall = i % static_cast<int>(day.deployment.front.halls.size());
    box.kind = i % static_cast<int>(site.streams_by_kind.size());
    const double drawn = static_cast<double>(chance() % 2001) / 1000 - 1;
    box.link_kb = day.deployment.link_kb_per_s * (1 + spread * drawn);
    day.boxes.push_back(std::move(box));
  }
  const auto& v = *said_viewers;
  auto& viewers = day.viewers;
  viewers.per_second = v.number("per_second");
  viewers.least_watch = v.duration("least_watch");
  viewers.most_watch = v.duration("most_watch");
  if (viewers.most_watch < viewers.least_watch)
    wrong(v.location_of("most_watch"), "less than 'least_watch'");
  viewers.titles = static_cast<int>(v.integer("titles"));
  viewers.zipf = v.number("zipf");
  viewers.plan_shares = v.numbers("plan_shares");
  viewers.plan_shares.resize(site.plans.size(), viewers.plan_shares.empty() ? 1 : 0);
  viewers.hintless = v.number("hintless");
  viewers.malformed = v.number("malformed");
  viewers.small_screens = v.number("small_screens");
  viewers.hls = v.number("hls");
  if (viewers.hls > 0 && !day.deployment.hls_enabled)
    wrong(v.location_of("hls"), "viewers read HLS, and the settings lack 'hls'");
  viewers.returns = v.number("returns");
  viewers.rejoin = v.duration("rejoin");
  viewers.crowd_title = static_cast<int>(v.integer("crowd_title"));
  for (const auto& call : read.calls) {
    if (call.name != "issuer")
      continue;
    if (!day.deployment.front.entitlement.enabled)
      wrong(call.location, "the settings lack 'entitlement'");
    day.issuer.rotate = call.duration("rotate");
    day.issuer.token_life = call.duration("token_life");
    day.issuer.teams = static_cast<int>(call.integer("teams"));
    day.issuer.seats = static_cast<int>(call.integer("seats"));
    day.issuer.bad = call.number("bad");
  }
  for (const auto& call : read.calls) {
    if (call.name != "trouble")
      continue;
    Trouble trouble;
    const auto known = std::find_if(std::begin(ill_names), std::end(ill_names),
                                    [&](auto& i) { return call.string("kind") == i.name; });
    if (known == std::end(ill_names)) {
      wrong(call.location_of("kind"), "no kind of trouble '" + call.string("kind") + "'");
      continue;
    }
    trouble.ill = known->ill;
    trouble.at = call.duration("at");
    trouble.lasts = call.duration("lasts");
    trouble.size = call.number("size");
    const char* whom = of_managers(trouble.ill) ? "managers" : "boxes";
    const int most = of_managers(trouble.ill) ? day.managers : count;
    for (const auto number : call.integers(whom)) {
      if (number >= most)
        wrong(call.location_of(whom), "there are " + std::to_string(most) + " " + whom + ", numbered from 0");
      trouble.whom.push_back(static_cast<int>(number));
    }
    if (!of_none(trouble.ill) && trouble.whom.empty())
      wrong(call.location, std::string("'") + known->name + "' lacks whom it befalls: '" + whom + "'");
    day.troubles.push_back(std::move(trouble));
  }
  if (!mistakes.empty())
    return mistakes;
  return day;
}

}  // namespace violettide::standins
