#include "hints/cmsd.h"

#include <cmath>

namespace violettide::hints {

namespace {

// The getters below return a key's value; a value of the wrong type is reported in `errors`.
template <typename Entries>
std::optional<std::int64_t> integer_of(const Entries& entries, std::string_view key,
                                       std::vector<std::string>& errors) {
  const BareItem* value = nullptr;
  if constexpr (std::is_same_v<Entries, Parameters>) {
    value = find(entries, key);
  } else {
    const auto* member = find(entries, key);
    const auto* item = member ? std::get_if<Item>(member) : nullptr;
    value = item ? &item->value : nullptr;
  }
  if (!value)
    return std::nullopt;
  if (const auto* integer = std::get_if<std::int64_t>(value); integer && *integer >= 0)
    return *integer;
  errors.push_back(std::string(key) + ": expected an integer of at least 0");
  return std::nullopt;
}

std::optional<double> number_of(const Parameters& entries, std::string_view key,
                                std::vector<std::string>& errors) {
  const auto* value = find(entries, key);
  if (!value)
    return std::nullopt;
  const auto* integer = std::get_if<std::int64_t>(value);
  const auto* decimal = std::get_if<double>(value);
  const double number = integer ? static_cast<double>(*integer) : decimal ? *decimal : -1;
  if (number >= 0)
    return number;
  errors.push_back(std::string(key) + ": expected a number of at least 0");
  return std::nullopt;
}

std::optional<std::string> token_of(const Dictionary& entries, std::string_view key,
                                    std::vector<std::string>& errors) {
  const auto* member = find(entries, key);
  if (!member)
    return std::nullopt;
  const auto* item = std::get_if<Item>(member);
  if (const auto* token = item ? std::get_if<Token>(&item->value) : nullptr)
    return token->text;
  errors.push_back(std::string(key) + ": expected a token");
  return std::nullopt;
}

std::optional<CmsdDynamic> parse_entry(const Member& member, std::vector<std::string>& errors) {
  const auto* item = std::get_if<Item>(&member);
  const auto* name = item ? std::get_if<std::string>(&item->value) : nullptr;
  if (!name) {
    errors.push_back("CMSD-Dynamic entry does not begin with the server name as a string");
    return std::nullopt;
  }
  CmsdDynamic hop;
  const auto& parameters = item->parameters;
  hop.server = *name;
  hop.estimated_throughput = integer_of(parameters, "etp", errors);
  hop.max_suggested_bitrate = integer_of(parameters, "mb", errors);
  hop.round_trip_time = integer_of(parameters, "rtt", errors);
  hop.response_delay = integer_of(parameters, "rd", errors);
  if (const auto* value = find(parameters, "du")) {
    if (const auto* flag = std::get_if<bool>(value))
      hop.duress = *flag;
    else
      errors.push_back("du: expected a boolean");
  }
  hop.util = number_of(parameters, util_key, errors);
  hop.uplink = number_of(parameters, uplink_key, errors);
  hop.streams = integer_of(parameters, streams_key, errors);
  hop.share = number_of(parameters, share_key, errors);
  return hop;
}

Item entry_item(const CmsdDynamic& hop) {
  Item item{hop.server, {}};
  const auto add = [&](std::string_view key, BareItem value) {
    item.parameters.emplace_back(key, std::move(value));
  };
  const auto add_integer = [&](std::string_view key, const std::optional<std::int64_t>& value) {
    if (value)
      add(key, *value);
  };
  const auto add_decimal = [&](std::string_view key, const std::optional<double>& value) {
    if (value && std::isfinite(*value))
      add(key, std::nearbyint(*value * 1000) / 1000);
  };
  if (hop.duress)
    add("du", true);
  add_integer("etp", hop.estimated_throughput);
  add_integer("mb", hop.max_suggested_bitrate);
  add_integer("rd", hop.response_delay);
  add_integer("rtt", hop.round_trip_time);
  add_decimal(share_key, hop.share);
  add_integer(streams_key, hop.streams);
  add_decimal(uplink_key, hop.uplink);
  add_decimal(util_key, hop.util);
  return item;
}

}  // namespace

ParsedCmsd parse_cmsd(std::string_view static_value, std::string_view dynamic_value) {
  ParsedCmsd result;
  if (!static_value.empty()) {
    const auto parsed = parse_dictionary(static_value);
    if (const auto* error = std::get_if<SyntaxError>(&parsed)) {
      result.errors.push_back("CMSD-Static, byte " + std::to_string(error->offset) + ": " + error->cause);
    } else {
      const auto& members = std::get<Dictionary>(parsed);
      CmsdStatic data;
      data.bitrate = integer_of(members, "br", result.errors);
      data.object_duration = integer_of(members, "d", result.errors);
      data.object_type = token_of(members, "ot", result.errors);
      data.streaming_format = token_of(members, "sf", result.errors);
      data.stream_type = token_of(members, "st", result.errors);
      data.version = integer_of(members, "v", result.errors);
      result.static_data = data;
    }
  }
  if (!dynamic_value.empty()) {
    const auto parsed = parse_list(dynamic_value);
    if (const auto* error = std::get_if<SyntaxError>(&parsed)) {
      result.dynamic_valid = false;
      result.errors.push_back("CMSD-Dynamic, byte " + std::to_string(error->offset) + ": " + error->cause);
    } else {
      for (const auto& member : std::get<List>(parsed)) {
        if (auto hop = parse_entry(member, result.errors))
          result.hops.push_back(std::move(*hop));
      }
    }
  }
  return result;
}

std::string serialize_cmsd_static(const CmsdStatic& data) {
  Dictionary members;
  const auto add = [&](std::string_view key, BareItem value) {
    members.emplace_back(key, Item{std::move(value), {}});
  };
  if (data.bitrate)
    add("br", *data.bitrate);
  if (data.object_duration)
    add("d", *data.object_duration);
  if (data.object_type)
    add("ot", Token{*data.object_type});
  if (data.streaming_format)
    add("sf", Token{*data.streaming_format});
  if (data.stream_type)
    add("st", Token{*data.stream_type});
  if (data.version)
    add("v", *data.version);
  return serialize(members).value_or("");
}

std::string serialize_cmsd_entry(const CmsdDynamic& hop) { return serialize(entry_item(hop)).value_or(""); }

std::string append_cmsd_entry(std::string_view received, const CmsdDynamic& own) {
  const auto entry = serialize_cmsd_entry(own);
  return received.empty() ? entry : std::string(received) + ", " + entry;
}

}  // namespace violettide::hints
