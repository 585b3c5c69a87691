#include "siteterms/siteterms.h"

#include <algorithm>

namespace violettide {

namespace {

// Calls `take` for every part of `text` between separators.
template <typename Take>
void split(std::string_view text, char separator, Take take) {
  while (!text.empty()) {
    const auto cut = text.find(separator);
    take(text.substr(0, cut));
    if (cut == std::string_view::npos)
      return;
    text.remove_prefix(cut + 1);
  }
}

template <typename Number>
Number value_of(const std::string& path, std::string_view text) {
  const auto value = read_number<Number>(text);
  if (!value)
    throw SettingFault("setting " + path + "=" + std::string(text) + ": expected a number");
  return *value;
}

Duration micros(std::int64_t value) { return Duration(value); }

std::vector<PlanSettings> plans_of(const Pairs& settings) {
  const auto floors = settings.numbers("FamilyInfo.LowestRung");
  const auto tops = settings.numbers("FamilyInfo.ClassTop");
  const auto scales = settings.numbers("FamilyInfo.ScaleByClass");
  const auto seats = settings.numbers("FamilyInfo.Seats");
  const auto last_rung = static_cast<int>(settings.numbers("FamilyInfo.RatesKb").size()) - 1;
  const auto at = [](const std::vector<double>& list, std::size_t i, double otherwise) {
    return i < list.size() ? list[i] : otherwise;
  };
  std::vector<PlanSettings> plans(static_cast<std::size_t>(settings.integer("Classes.count", 0)));
  for (std::size_t i = 0; i < plans.size(); ++i) {
    const auto path = "Classes." + std::to_string(i) + ".";
    const auto effect = settings.text(path + "Idempotency");
    plans[i].startup_target = micros(settings.integer(path + "Aim", 0));
    plans[i].pay_at_setup = !effect.empty() && effect != "free";
    plans[i].revenue = settings.number(path + "Worth", 1);
    plans[i].rate_scale = at(scales, i, 1);
    plans[i].floor = static_cast<int>(at(floors, i, 0));
    plans[i].top = static_cast<int>(at(tops, i, last_rung));
    plans[i].seats = static_cast<int>(at(seats, i, 0));
  }
  return plans;
}

}  // namespace

Pairs::Pairs(std::string_view text) {
  split(text, ' ', [&](std::string_view pair) {
    const auto cut = pair.find('=');
    if (cut == std::string_view::npos) {
      throw SettingFault("setting '" + std::string(pair) + "': expected path=value");
    }
    values_.emplace(pair.substr(0, cut), pair.substr(cut + 1));
  });
}

std::string Pairs::text(const std::string& path) const {
  const auto found = values_.find(path);
  return found == values_.end() || found->second == "-" ? "" : found->second;
}

double Pairs::number(const std::string& path, double otherwise) const {
  const auto value = text(path);
  return value.empty() ? otherwise : value_of<double>(path, value);
}

std::int64_t Pairs::integer(const std::string& path, std::int64_t otherwise) const {
  return static_cast<std::int64_t>(std::llround(number(path, static_cast<double>(otherwise))));
}

bool Pairs::flag(const std::string& path) const {
  const auto value = text(path);
  if (value.empty() || value == "false" || value == "0")
    return false;
  if (value == "true" || value == "1")
    return true;
  throw SettingFault("setting " + path + "=" + value + ": expected true or false");
}

std::vector<double> Pairs::numbers(const std::string& path) const {
  std::vector<double> values;
  split(text(path), ',', [&](std::string_view part) { values.push_back(value_of<double>(path, part)); });
  return values;
}

std::vector<std::string> Pairs::texts(const std::string& path) const {
  std::vector<std::string> values;
  split(text(path), ',', [&](std::string_view part) { values.emplace_back(part); });
  return values;
}

bool read_figures(std::string_view text, char separator, std::map<std::string, double>& values) {
  bool whole = true;
  split(text, separator, [&](std::string_view pair) {
    const auto cut = pair.find(':');
    const auto value =
        cut == std::string_view::npos ? std::nullopt : read_number<double>(pair.substr(cut + 1));
    if (value)
      values.emplace(pair.substr(0, cut), *value);
    else
      whole = false;
  });
  return whole;
}

PolicySettings site_terms(const Pairs& settings) {
  PolicySettings terms;
  terms.plans = plans_of(settings);
  terms.rung_kb = settings.numbers("FamilyInfo.RatesKb");
  terms.rung_revenue = settings.numbers("FamilyInfo.WorthByRung");
  terms.streams_by_kind = settings.numbers("FamilyInfo.KindSlots");
  const auto weights = settings.text("Weights");
  terms.has_weights = !weights.empty() && weights != "none";
  terms.link_kb_per_weight = settings.number("FamilyInfo.KbPerWeight", 0);
  terms.uplink_kb = settings.number("FamilyInfo.UplinkKb", 0);
  terms.racks = static_cast<int>(settings.integer("FamilyInfo.Cabinets", 0));
  terms.cells = std::max(1, static_cast<int>(settings.integer("FamilyInfo.Places", 1)));
  terms.switch_cost = micros(std::llround(settings.number("FamilyInfo.SwitchCostS", 0) * 1e6));
  terms.measurement_delay = micros(settings.integer("FamilyInfo.SeenAfter", 0));
  terms.front_count = std::max(1, static_cast<int>(settings.integer("Balancers", 1)));
  if (!settings.text("Me").empty())
    terms.front_index = static_cast<int>(settings.integer("Me", 0));
  terms.warmup_time = micros(settings.integer("Rules.Cold", 0));
  terms.warmup_initial_share = settings.number("Rules.ColdFrom", 1);
  terms.overload_multiple = settings.number("Rules.OverloadFactor", 1);
  terms.retry_budget_window = micros(settings.integer("Rules.RatioSpan", 0));
  terms.retry_budget_base = settings.number("Rules.ExtraFree", 0);
  terms.retry_budget_share = settings.number("Rules.ExtraShare", 0);
  terms.max_tries = static_cast<int>(settings.integer("Limits.SendCap", 1));
  if (settings.flag("Limits.RetryAfter")) {
    terms.max_retry_after = micros(settings.integer("Limits.MaxRetryAfter", 0));
  }
  terms.probes_enabled = settings.flag("Limits.MayProbe");
  terms.list_needs_subscription = settings.text("Discovery") == "ask";
  terms.probe_cost = settings.number("Prices.Probe", 0);
  terms.own_hall = static_cast<int>(settings.integer("Locality", 0));
  terms.cross_hall_cost = settings.number("Prices.CrossZone", 0);
  return terms;
}

LoadReport load_report(const std::map<std::string, double>& values) {
  LoadReport report;
  const auto take = [&](const char* name) -> std::optional<double> {
    const auto found = values.find(name);
    if (found == values.end())
      return std::nullopt;
    return found->second;
  };
  report.link_fill = take("x0");
  if (!report.link_fill)
    report.link_fill = take("busy");
  report.uplink_fill = take("x1");
  report.streams = take("rif");
  return report;
}

}  // namespace violettide
