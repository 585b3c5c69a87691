#include "platform/start.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "platform_settings/platform_settings.h"

namespace violettide::platform {

namespace {

using Json = nlohmann::json;

// Formats a scalar; null is "-".
std::string to_text(const Json& value) {
  if (value.is_string())
    return value.get<std::string>();
  return value.is_null() ? "-" : value.dump();
}

// Flattens nested JSON into the pairs that the simulator sends, which site_terms() reads: "a.b" for members,
// "a.0" and "a.count" for arrays of objects, comma-separated text for other arrays.
void flatten(const std::string& path, const Json& value, FlatSettings& pairs) {
  if (value.is_object()) {
    for (const auto& [name, member] : value.items())
      flatten(path.empty() ? name : path + "." + name, member, pairs);
  } else if (value.is_array()) {
    std::string joined;
    bool objects = false;
    for (std::size_t i = 0; i < value.size(); ++i) {
      objects = objects || value[i].is_object();
      if (value[i].is_object())
        flatten(path + "." + std::to_string(i), value[i], pairs);
      if (value[i].is_object())
        continue;
      if (i > 0)
        joined += ',';
      joined += to_text(value[i]);
    }
    objects ? pairs.set(path + ".count", std::to_string(value.size())) : pairs.set(path, joined);
  } else {
    pairs.set(path, to_text(value));
  }
}

// Returns an empty text if the member is missing or no string.
std::string text_member(const Json& json, const char* name) {
  const auto found = json.find(name);
  return found != json.end() && found->is_string() ? found->get<std::string>() : "";
}

}  // namespace

std::variant<PlatformConfig, ConfigError> parse_platform_config(std::string_view text) {
  const auto json = Json::parse(text.begin(), text.end(), nullptr, false);
  if (!json.is_object())
    return ConfigError{"expected a JSON object"};
  PlatformConfig config;
  config.name = text_member(json, "name");
  const auto listen = parse_endpoint(text_member(json, "listen"));
  if (!listen)
    return ConfigError{"listen: expected address:port"};
  config.listen = *listen;
  const auto seed = text_member(json, "seed");
  const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
  if (error != std::errc{} || end != seed.data() + seed.size())
    return ConfigError{"seed: expected hex digits"};
  if (const auto limits = json.find("limits"); limits != json.end()) {
    if (!limits->is_object())
      return ConfigError{"limits: expected an object"};
    if (const auto sockets_member = limits->find("sockets"); sockets_member != limits->end()) {
      const double max_sockets = sockets_member->is_number() ? sockets_member->get<double>() : 0;
      if (!(max_sockets > 0 && max_sockets < 1e9))
        return ConfigError{"limits.sockets: expected a number above 0"};
      config.max_sockets = static_cast<std::size_t>(std::max(64.0, max_sockets));
    }
  }
  config.channel = parse_endpoint(text_member(json, "channel"));
  if (!config.channel)
    return ConfigError{"channel: expected address:port"};
  if (const auto events = json.find("known"); events != json.end())
    config.known_events = events->dump();
  const auto settings = json.find("settings");
  if (settings == json.end() || !settings->is_object())
    return ConfigError{"settings: expected an object"};
  FlatSettings pairs;
  flatten("", *settings, pairs);
  try {
    config.policy = read_policy_settings(pairs);
    for (std::size_t i = 0; i < config.policy.plans.size(); ++i) {
      const auto path = "Classes." + std::to_string(i) + ".";
      config.plans.push_back(pairs.text(path + "Name"));
      config.abandon_times.push_back(Duration(pairs.integer(path + "GiveUp", 0)));
      if (config.plans.back().empty())
        throw SettingError(path + "Name: expected a name");
      if (config.policy.plans[i].startup_target <= Duration(0))
        throw SettingError(path + "Aim: expected a time above 0");
      if (config.abandon_times.back() <= Duration(0))
        throw SettingError(path + "GiveUp: expected a time above 0");
    }
    if (config.plans.empty())
      throw SettingError("Classes: expected one plan at least");
    if (config.policy.rung_kb.empty())
      throw SettingError("FamilyInfo.RatesKb: expected a ladder");
    config.halls = pairs.texts("Zones");
    config.kinds = pairs.texts("Models");
    const auto dial_us = pairs.integer("Limits.DialTimeout", 0);
    if (dial_us > 0)
      config.dial_timeout = Duration(dial_us);
    config.idle_timeout = Duration(std::max<std::int64_t>(0, pairs.integer("Limits.ConnIdle", 0)));
    const auto tries = pairs.integer("Limits.StreamsPerConn", 0);
    if (tries > 0)
      config.max_tries_per_connection = static_cast<std::size_t>(tries);
  } catch (const SettingError& setting_error) {
    return ConfigError{std::string("settings: ") + setting_error.what()};
  }
  return config;
}

}  // namespace violettide::platform
