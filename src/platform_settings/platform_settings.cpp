#include "platform_settings/platform_settings.h"

#include <algorithm>

namespace violettide {

namespace {

// Calls `visit` for each part of `text` between separators; a separator at the end opens no further part.
template <typename Visit>
void split(std::string_view text, char separator, Visit visit) {
  while (!text.empty()) {
    const auto end = text.find(separator);
    visit(text.substr(0, end));
    if (end == std::string_view::npos)
      return;
    text.remove_prefix(end + 1);
  }
}

// Throws SettingError if `text`, the value of `path`, is no number.
template <typename Number>
Number parse_setting(const std::string& path, std::string_view text) {
  const auto value = parse_number<Number>(text);
  if (!value)
    throw SettingError("setting " + path + "=" + std::string(text) + ": expected a number");
  return *value;
}

// Times in settings are in microseconds.
Duration to_duration(std::int64_t value) { return Duration(value); }

// Reads one plan for each of the platform's classes. A list that is too short leaves the default for the
// plans beyond it: rate scale 1, no floor, the whole ladder, no seat limit.
std::vector<PlanSettings> read_plans(const FlatSettings& settings) {
  const auto floors = settings.numbers("FamilyInfo.LowestRung");
  const auto tops = settings.numbers("FamilyInfo.ClassTop");
  const auto rate_scales = settings.numbers("FamilyInfo.ScaleByClass");
  const auto seats = settings.numbers("FamilyInfo.Seats");
  const auto last_rung = static_cast<int>(settings.numbers("FamilyInfo.RatesKb").size()) - 1;
  const auto value_at = [](const std::vector<double>& list, std::size_t i, double fallback) {
    return i < list.size() ? list[i] : fallback;
  };
  std::vector<PlanSettings> plans(static_cast<std::size_t>(settings.integer("Classes.count", 0)));
  for (std::size_t i = 0; i < plans.size(); ++i) {
    const auto path = "Classes." + std::to_string(i) + ".";
    const auto idempotency = settings.text(path + "Idempotency");
    plans[i].startup_target = to_duration(settings.integer(path + "Aim", 0));
    plans[i].pay_at_setup = !idempotency.empty() && idempotency != "free";
    plans[i].revenue = settings.number(path + "Worth", 1);
    plans[i].rate_scale = value_at(rate_scales, i, 1);
    plans[i].floor = static_cast<int>(value_at(floors, i, 0));
    plans[i].top = static_cast<int>(value_at(tops, i, last_rung));
    plans[i].seats = static_cast<int>(value_at(seats, i, 0));
  }
  return plans;
}

}  // namespace

FlatSettings::FlatSettings(std::string_view text) {
  split(text, ' ', [&](std::string_view pair) {
    const auto separator_at = pair.find('=');
    if (separator_at == std::string_view::npos) {
      throw SettingError("setting '" + std::string(pair) + "': expected path=value");
    }
    values_.emplace(pair.substr(0, separator_at), pair.substr(separator_at + 1));
  });
}

std::string FlatSettings::text(const std::string& path) const {
  const auto found = values_.find(path);
  return found == values_.end() || found->second == "-" ? "" : found->second;
}

double FlatSettings::number(const std::string& path, double fallback) const {
  const auto value = text(path);
  return value.empty() ? fallback : parse_setting<double>(path, value);
}

std::int64_t FlatSettings::integer(const std::string& path, std::int64_t fallback) const {
  return static_cast<std::int64_t>(std::llround(number(path, static_cast<double>(fallback))));
}

bool FlatSettings::flag(const std::string& path) const {
  const auto value = text(path);
  if (value.empty() || value == "false" || value == "0")
    return false;
  if (value == "true" || value == "1")
    return true;
  throw SettingError("setting " + path + "=" + value + ": expected true or false");
}

std::vector<double> FlatSettings::numbers(const std::string& path) const {
  std::vector<double> values;
  split(text(path), ',', [&](std::string_view part) { values.push_back(parse_setting<double>(path, part)); });
  return values;
}

std::vector<std::string> FlatSettings::texts(const std::string& path) const {
  std::vector<std::string> values;
  split(text(path), ',', [&](std::string_view part) { values.emplace_back(part); });
  return values;
}

bool parse_named_numbers(std::string_view text, char separator, std::map<std::string, double>& values) {
  bool all_valid = true;
  split(text, separator, [&](std::string_view pair) {
    const auto separator_at = pair.find(':');
    const auto value = separator_at == std::string_view::npos
                           ? std::nullopt
                           : parse_number<double>(pair.substr(separator_at + 1));
    if (value)
      values.emplace(pair.substr(0, separator_at), *value);
    else
      all_valid = false;
  });
  return all_valid;
}

PolicySettings read_policy_settings(const FlatSettings& settings) {
  PolicySettings policy_settings;
  policy_settings.plans = read_plans(settings);
  policy_settings.rung_kb = settings.numbers("FamilyInfo.RatesKb");
  policy_settings.rung_revenue = settings.numbers("FamilyInfo.WorthByRung");
  policy_settings.streams_by_kind = settings.numbers("FamilyInfo.KindSlots");
  const auto weights = settings.text("Weights");
  policy_settings.has_weights = !weights.empty() && weights != "none";
  policy_settings.link_kb_per_weight = settings.number("FamilyInfo.KbPerWeight", 0);
  policy_settings.uplink_kb = settings.number("FamilyInfo.UplinkKb", 0);
  policy_settings.racks = static_cast<int>(settings.integer("FamilyInfo.Cabinets", 0));
  policy_settings.cells = std::max(1, static_cast<int>(settings.integer("FamilyInfo.Places", 1)));
  policy_settings.switch_cost = to_duration(std::llround(settings.number("FamilyInfo.SwitchCostS", 0) * 1e6));
  policy_settings.measurement_delay = to_duration(settings.integer("FamilyInfo.SeenAfter", 0));
  policy_settings.front_count = std::max(1, static_cast<int>(settings.integer("Balancers", 1)));
  if (!settings.text("Me").empty())
    policy_settings.front_index = static_cast<int>(settings.integer("Me", 0));
  policy_settings.warmup_time = to_duration(settings.integer("Rules.Cold", 0));
  policy_settings.warmup_initial_share = settings.number("Rules.ColdFrom", 1);
  policy_settings.overload_multiple = settings.number("Rules.OverloadFactor", 1);
  policy_settings.retry_budget_window = to_duration(settings.integer("Rules.RatioSpan", 0));
  policy_settings.retry_budget_base = settings.number("Rules.ExtraFree", 0);
  policy_settings.retry_budget_share = settings.number("Rules.ExtraShare", 0);
  policy_settings.max_tries = static_cast<int>(settings.integer("Limits.SendCap", 1));
  if (settings.flag("Limits.RetryAfter")) {
    policy_settings.max_retry_after = to_duration(settings.integer("Limits.MaxRetryAfter", 0));
  }
  policy_settings.probes_enabled = settings.flag("Limits.MayProbe");
  policy_settings.list_needs_subscription = settings.text("Discovery") == "ask";
  policy_settings.probe_cost = settings.number("Prices.Probe", 0);
  policy_settings.own_hall = static_cast<int>(settings.integer("Locality", 0));
  policy_settings.cross_hall_cost = settings.number("Prices.CrossZone", 0);
  return policy_settings;
}

LoadReport read_load_report(const std::map<std::string, double>& values) {
  LoadReport report;
  const auto value_of = [&](const char* name) -> std::optional<double> {
    const auto found = values.find(name);
    if (found == values.end())
      return std::nullopt;
    return found->second;
  };
  report.link_fill = value_of("x0");
  if (!report.link_fill)
    report.link_fill = value_of("busy");
  report.uplink_fill = value_of("x1");
  report.streams = value_of("rif");
  return report;
}

}  // namespace violettide
