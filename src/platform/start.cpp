#include "platform/start.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "platform_settings/platform_settings.h"

namespace violettide::platform {

namespace {

using Json = nlohmann::json;

std::string plain(const Json& value) {
  if (value.is_string())
    return value.get<std::string>();
  return value.is_null() ? "-" : value.dump();
}

// Nested JSON as the pairs that the simulator's wire would bring.
void flatten(const std::string& path, const Json& value, FlatSettings& pairs) {
  if (value.is_object()) {
    for (const auto& [name, inner] : value.items())
      flatten(path.empty() ? name : path + "." + name, inner, pairs);
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
      joined += plain(value[i]);
    }
    objects ? pairs.set(path + ".count", std::to_string(value.size())) : pairs.set(path, joined);
  } else {
    pairs.set(path, plain(value));
  }
}

std::string text_of(const Json& json, const char* name) {
  const auto found = json.find(name);
  return found != json.end() && found->is_string() ? found->get<std::string>() : "";
}

}  // namespace

std::variant<StartTerms, StartFault> read_start(std::string_view text) {
  const auto json = Json::parse(text.begin(), text.end(), nullptr, false);
  if (!json.is_object())
    return StartFault{"expected a JSON object"};
  StartTerms terms;
  terms.name = text_of(json, "name");
  const auto listen = parse_endpoint(text_of(json, "listen"));
  if (!listen)
    return StartFault{"listen: expected address:port"};
  terms.listen = *listen;
  const auto seed = text_of(json, "seed");
  const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), terms.seed, 16);
  if (error != std::errc{} || end != seed.data() + seed.size())
    return StartFault{"seed: expected hex digits"};
  if (const auto limits = json.find("limits"); limits != json.end()) {
    if (!limits->is_object())
      return StartFault{"limits: expected an object"};
    if (const auto sockets = limits->find("sockets"); sockets != limits->end()) {
      const double most = sockets->is_number() ? sockets->get<double>() : 0;
      if (!(most > 0 && most < 1e9))
        return StartFault{"limits.sockets: expected a number above 0"};
      terms.sockets = static_cast<std::size_t>(std::max(64.0, most));
    }
  }
  terms.channel = parse_endpoint(text_of(json, "channel"));
  if (!terms.channel)
    return StartFault{"channel: expected address:port"};
  if (const auto known = json.find("known"); known != json.end())
    terms.known = known->dump();
  const auto settings = json.find("settings");
  if (settings == json.end() || !settings->is_object())
    return StartFault{"settings: expected an object"};
  FlatSettings pairs;
  flatten("", *settings, pairs);
  try {
    terms.site = read_policy_settings(pairs);
    for (std::size_t i = 0; i < terms.site.plans.size(); ++i) {
      const auto path = "Classes." + std::to_string(i) + ".";
      terms.plans.push_back(pairs.text(path + "Name"));
      terms.abandon.push_back(Duration(pairs.integer(path + "GiveUp", 0)));
      if (terms.plans.back().empty())
        throw SettingError(path + "Name: expected a name");
      if (terms.site.plans[i].startup_target <= Duration(0))
        throw SettingError(path + "Aim: expected a time above 0");
      if (terms.abandon.back() <= Duration(0))
        throw SettingError(path + "GiveUp: expected a time above 0");
    }
    if (terms.plans.empty())
      throw SettingError("Classes: expected one plan at least");
    if (terms.site.rung_kb.empty())
      throw SettingError("FamilyInfo.RatesKb: expected a ladder");
    terms.halls = pairs.texts("Zones");
    terms.kinds = pairs.texts("Models");
    const auto dial = pairs.integer("Limits.DialTimeout", 0);
    if (dial > 0)
      terms.dial_limit = Duration(dial);
    terms.idle_limit = Duration(std::max<std::int64_t>(0, pairs.integer("Limits.ConnIdle", 0)));
    const auto tries = pairs.integer("Limits.StreamsPerConn", 0);
    if (tries > 0)
      terms.tries_per_link = static_cast<std::size_t>(tries);
  } catch (const SettingError& fault) {
    return StartFault{std::string("settings: ") + fault.what()};
  }
  return terms;
}

}  // namespace violettide::platform
