#include "hints/cmsd.h"

#include <cmath>

namespace violettide::hints {

namespace {

template <typename Entries>
std::optional<std::int64_t> count(const Entries& entries, std::string_view key,
                                  std::vector<std::string>& faults) {
  const Bare* value = nullptr;
  if constexpr (std::is_same_v<Entries, Parameters>) {
    value = find(entries, key);
  } else {
    const auto* member = find(entries, key);
    const auto* item = member ? std::get_if<Item>(member) : nullptr;
    value = item ? &item->value : nullptr;
  }
  if (!value)
    return std::nullopt;
  if (const auto* whole = std::get_if<std::int64_t>(value); whole && *whole >= 0)
    return *whole;
  faults.push_back(std::string(key) + ": expected a whole number of at least 0");
  return std::nullopt;
}

std::optional<double> part(const Parameters& entries, std::string_view key,
                           std::vector<std::string>& faults) {
  const auto* value = find(entries, key);
  if (!value)
    return std::nullopt;
  const auto* whole = std::get_if<std::int64_t>(value);
  const auto* parts = std::get_if<double>(value);
  const double number = whole ? static_cast<double>(*whole) : parts ? *parts : -1;
  if (number >= 0)
    return number;
  faults.push_back(std::string(key) + ": expected a number of at least 0");
  return std::nullopt;
}

std::optional<std::string> word(const Dictionary& entries, std::string_view key,
                                std::vector<std::string>& faults) {
  const auto* member = find(entries, key);
  if (!member)
    return std::nullopt;
  const auto* item = std::get_if<Item>(member);
  if (const auto* token = item ? std::get_if<Token>(&item->value) : nullptr)
    return token->text;
  faults.push_back(std::string(key) + ": expected a token");
  return std::nullopt;
}

std::optional<CmsdDynamic> hop_of(const Member& member, std::vector<std::string>& faults) {
  const auto* item = std::get_if<Item>(&member);
  const auto* name = item ? std::get_if<std::string>(&item->value) : nullptr;
  if (!name) {
    faults.push_back("an entry that does not begin with its server's name as a string");
    return std::nullopt;
  }
  CmsdDynamic hop;
  const auto& said = item->parameters;
  hop.server = *name;
  hop.estimated_throughput = count(said, "etp", faults);
  hop.max_suggested_bitrate = count(said, "mb", faults);
  hop.round_trip = count(said, "rtt", faults);
  hop.response_delay = count(said, "rd", faults);
  if (const auto* value = find(said, "du")) {
    if (const auto* flag = std::get_if<bool>(value))
      hop.duress = *flag;
    else
      faults.push_back("du: expected a boolean");
  }
  hop.util = part(said, util_key, faults);
  hop.uplink = part(said, uplink_key, faults);
  hop.streams = count(said, streams_key, faults);
  hop.share = part(said, share_key, faults);
  return hop;
}

Item item_of(const CmsdDynamic& hop) {
  Item item{hop.server, {}};
  const auto put = [&](std::string_view key, Bare value) {
    item.parameters.emplace_back(key, std::move(value));
  };
  const auto whole = [&](std::string_view key, const std::optional<std::int64_t>& value) {
    if (value)
      put(key, *value);
  };
  const auto thousandths = [&](std::string_view key, const std::optional<double>& value) {
    if (value && std::isfinite(*value))
      put(key, std::nearbyint(*value * 1000) / 1000);
  };
  if (hop.duress)
    put("du", true);
  whole("etp", hop.estimated_throughput);
  whole("mb", hop.max_suggested_bitrate);
  whole("rd", hop.response_delay);
  whole("rtt", hop.round_trip);
  thousandths(share_key, hop.share);
  whole(streams_key, hop.streams);
  thousandths(uplink_key, hop.uplink);
  thousandths(util_key, hop.util);
  return item;
}

}  // namespace

ReadCmsd read_cmsd(std::string_view fixed, std::string_view dynamic) {
  ReadCmsd read;
  if (!fixed.empty()) {
    const auto parsed = parse_dictionary(fixed);
    if (const auto* fault = std::get_if<FieldFault>(&parsed)) {
      read.faults.push_back("CMSD-Static, byte " + std::to_string(fault->at) + ": " + fault->cause);
    } else {
      const auto& said = std::get<Dictionary>(parsed);
      CmsdStatic all;
      all.bitrate = count(said, "br", read.faults);
      all.object_duration = count(said, "d", read.faults);
      all.object_type = word(said, "ot", read.faults);
      all.format = word(said, "sf", read.faults);
      all.stream_type = word(said, "st", read.faults);
      all.version = count(said, "v", read.faults);
      read.fixed = all;
    }
  }
  if (!dynamic.empty()) {
    const auto parsed = parse_list(dynamic);
    if (const auto* fault = std::get_if<FieldFault>(&parsed)) {
      read.dynamic_whole = false;
      read.faults.push_back("CMSD-Dynamic, byte " + std::to_string(fault->at) + ": " + fault->cause);
    } else {
      for (const auto& member : std::get<List>(parsed)) {
        if (auto hop = hop_of(member, read.faults))
          read.hops.push_back(std::move(*hop));
      }
    }
  }
  return read;
}

std::string cmsd_static(const CmsdStatic& fixed) {
  Dictionary said;
  const auto put = [&](std::string_view key, Bare value) {
    said.emplace_back(key, Item{std::move(value), {}});
  };
  if (fixed.bitrate)
    put("br", *fixed.bitrate);
  if (fixed.object_duration)
    put("d", *fixed.object_duration);
  if (fixed.object_type)
    put("ot", Token{*fixed.object_type});
  if (fixed.format)
    put("sf", Token{*fixed.format});
  if (fixed.stream_type)
    put("st", Token{*fixed.stream_type});
  if (fixed.version)
    put("v", *fixed.version);
  return written(said).value_or("");
}

std::string cmsd_entry(const CmsdDynamic& hop) { return written(item_of(hop)).value_or(""); }

std::string after_entries(std::string_view came, const CmsdDynamic& own) {
  const auto entry = cmsd_entry(own);
  return came.empty() ? entry : std::string(came) + ", " + entry;
}

}  // namespace violettide::hints
