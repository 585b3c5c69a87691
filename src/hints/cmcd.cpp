#include "hints/cmcd.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <functional>

namespace violettide::hints {

namespace {

constexpr std::size_t max_text_length = 64;  // characters of sid and cid (CTA-5004, table 1)

// An enum value and the token that represents it on the wire.
template <typename Kind>
struct EnumToken {
  std::string_view text;
  Kind kind;
};
constexpr std::array<EnumToken<ObjectType>, 9> object_types{{{"m", ObjectType::manifest},
                                                             {"a", ObjectType::audio},
                                                             {"v", ObjectType::video},
                                                             {"av", ObjectType::muxed},
                                                             {"i", ObjectType::init},
                                                             {"c", ObjectType::caption},
                                                             {"tt", ObjectType::timed_text},
                                                             {"k", ObjectType::key},
                                                             {"o", ObjectType::other}}};
constexpr std::array<EnumToken<StreamingFormat>, 4> streaming_formats{{{"d", StreamingFormat::dash},
                                                                       {"h", StreamingFormat::hls},
                                                                       {"s", StreamingFormat::smooth},
                                                                       {"o", StreamingFormat::other}}};
constexpr std::array<EnumToken<StreamType>, 2> stream_types{
    {{"v", StreamType::recorded}, {"l", StreamType::live}}};

template <typename Kind, std::size_t count>
std::string_view token_for(const std::array<EnumToken<Kind>, count>& tokens, Kind kind) {
  for (const auto& token : tokens) {
    if (token.kind == kind)
      return token.text;
  }
  return {};
}

// The value of a key that is present; absent for a key without `=`.
using KeyValue = std::optional<BareItem>;
using ErrorText = std::optional<std::string>;  // absent: no error

// CTA-5004 asks senders to round several keys to hundreds; any integer of at least 0 is accepted.
ErrorText parse_count(const KeyValue& key_value, std::optional<std::int64_t>& into) {
  const auto* value = key_value ? std::get_if<std::int64_t>(&*key_value) : nullptr;
  if (!value)
    return "expected an integer";
  if (*value < 0)
    return "expected a number of at least 0";
  into = *value;
  return {};
}

ErrorText parse_flag(const KeyValue& key_value, bool& into) {
  if (!key_value)
    return into = true, ErrorText{};
  if (const auto* flag = std::get_if<bool>(&*key_value))
    return into = *flag, ErrorText{};
  const auto* token = std::get_if<Token>(&*key_value);  // `bs=true` was common before version 1 was settled
  if (token && (token->text == "true" || token->text == "false"))
    return into = token->text == "true", ErrorText{};
  return "expected the bare key, true or false";
}

ErrorText parse_text(const KeyValue& key_value, std::optional<std::string>& into, std::size_t max_length) {
  const auto* value = key_value ? std::get_if<std::string>(&*key_value) : nullptr;
  if (!value)
    return "expected a quoted string";
  if (value->empty())
    return "string is empty";
  if (value->size() > max_length)
    return "longer than " + std::to_string(max_length) + " characters";
  into = *value;
  return {};
}

template <typename Kind, std::size_t count>
ErrorText parse_token(const KeyValue& key_value, const std::array<EnumToken<Kind>, count>& tokens,
                      std::optional<Kind>& into) {
  const auto* token = key_value ? std::get_if<Token>(&*key_value) : nullptr;
  for (const auto& entry : tokens) {
    if (token && token->text == entry.text)
      return into = entry.kind, ErrorText{};
  }
  return "expected one of the key's tokens";
}

ErrorText parse_rate(const KeyValue& key_value, double& into) {
  if (!key_value)
    return "expected a number";
  const auto* integer = std::get_if<std::int64_t>(&*key_value);
  const auto* decimal = std::get_if<double>(&*key_value);
  if (!integer && !decimal)
    return "expected a number";
  const double value = integer ? static_cast<double>(*integer) : *decimal;
  if (value < 0)
    return "expected a number of at least 0";
  into = value;
  return {};
}

// Assigns one key's value to `cmcd`.
ErrorText set_key(Cmcd& cmcd, std::string_view key, const KeyValue& key_value) {
  if (key == "br")
    return parse_count(key_value, cmcd.encoded_bitrate);
  if (key == "bl")
    return parse_count(key_value, cmcd.buffer_length);
  if (key == "bs")
    return parse_flag(key_value, cmcd.buffer_starved);
  if (key == "cid")
    return parse_text(key_value, cmcd.content_id, max_text_length);
  if (key == "d")
    return parse_count(key_value, cmcd.object_duration);
  if (key == "dl")
    return parse_count(key_value, cmcd.deadline);
  if (key == "mtp")
    return parse_count(key_value, cmcd.measured_throughput);
  if (key == "nor") {
    std::optional<std::string> encoded;
    if (auto cause = parse_text(key_value, encoded, 4096))
      return cause;
    const auto decoded = http::percent_decode(*encoded);
    if (!decoded)
      return "malformed percent-encoding";
    cmcd.next_object = *decoded;
    return {};
  }
  if (key == "nrr") {
    std::optional<std::string> range;
    if (auto cause = parse_text(key_value, range, 64))
      return cause;
    const auto dash = range->find('-');
    if (dash == std::string::npos || range->size() == 1 || range->find('-', dash + 1) != std::string::npos ||
        range->find_first_not_of("0123456789-") != std::string::npos)
      return "expected a byte range such as 0-499";
    cmcd.next_range = *range;
    return {};
  }
  if (key == "ot")
    return parse_token(key_value, object_types, cmcd.object_type);
  if (key == "pr")
    return parse_rate(key_value, cmcd.playback_rate);
  if (key == "rtp")
    return parse_count(key_value, cmcd.requested_max_throughput);
  if (key == "sf")
    return parse_token(key_value, streaming_formats, cmcd.streaming_format);
  if (key == "sid")
    return parse_text(key_value, cmcd.session_id, max_text_length);
  if (key == "st")
    return parse_token(key_value, stream_types, cmcd.stream_type);
  if (key == "su")
    return parse_flag(key_value, cmcd.startup);
  if (key == "tb")
    return parse_count(key_value, cmcd.top_bitrate);
  if (key == "v") {
    std::optional<std::int64_t> version;
    if (auto cause = parse_count(key_value, version))
      return cause;
    if (*version != 1)
      return "unsupported CMCD version";
    cmcd.version = 1;
    return {};
  }
  if (key.find('-') == std::string_view::npos)
    return "neither a reserved key nor a custom key, which contains a hyphen";
  cmcd.custom.emplace_back(key, key_value.value_or(true));
  return {};
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

// Splits at commas outside quoted strings, so that one malformed key does not invalidate the others.
std::vector<std::string_view> split_at_commas(std::string_view text) {
  std::vector<std::string_view> parts;
  bool quoted = false;
  std::size_t start = 0;
  for (std::size_t i = 0; i <= text.size(); ++i) {
    if (i < text.size() && text[i] == '\\' && quoted) {
      ++i;
      continue;
    }
    if (i < text.size() && text[i] == '"')
      quoted = !quoted;
    if (i >= text.size() || (text[i] == ',' && !quoted)) {
      parts.push_back(trim(text.substr(start, std::min(i, text.size()) - start)));
      start = i + 1;
    }
  }
  return parts;
}

bool is_key(std::string_view key) {
  if (key.empty())
    return false;
  return std::all_of(key.begin(), key.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.';
  });
}

// The four headers (CTA-5004, section 3.1) and the keys that belong to each; custom keys go to CMCD-Status.
constexpr std::array<std::string_view, 4> header_names{"CMCD-Object", "CMCD-Request", "CMCD-Session",
                                                       "CMCD-Status"};
std::size_t header_index(std::string_view key) {
  for (const auto name : {"br", "d", "ot", "tb"})
    if (key == name)
      return 0;
  for (const auto name : {"bl", "dl", "mtp", "nor", "nrr", "su"})
    if (key == name)
      return 1;
  for (const auto name : {"cid", "pr", "sf", "sid", "st", "v"})
    if (key == name)
      return 2;
  return 3;
}

std::string quote(std::string_view text) {
  std::string result = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\')
      result += '\\';
    result += c;
  }
  return result += '"';
}

// Calls `emit` with each key and its serialized value in alphabetical order, custom keys last; omits
// defaults. Builds no dictionary, because this runs for every object that is relayed.
template <typename Emit>
void for_each_key(const Cmcd& cmcd, Emit emit) {
  const auto count = [&](std::string_view key, const std::optional<std::int64_t>& value) {
    if (!value)
      return;
    char digits[24];
    const auto end = std::to_chars(digits, digits + sizeof digits, *value).ptr;
    emit(key, std::string_view(digits, static_cast<std::size_t>(end - digits)));
  };
  const auto text = [&](std::string_view key, const std::optional<std::string>& value) {
    if (value)
      emit(key, quote(*value));
  };
  const auto flag = [&](std::string_view key, bool value) {
    if (value)
      emit(key, std::string_view());
  };
  const auto token = [&](std::string_view key, std::string_view name) {
    if (!name.empty())
      emit(key, name);
  };
  count("bl", cmcd.buffer_length);
  count("br", cmcd.encoded_bitrate);
  flag("bs", cmcd.buffer_starved);
  text("cid", cmcd.content_id);
  count("d", cmcd.object_duration);
  count("dl", cmcd.deadline);
  count("mtp", cmcd.measured_throughput);
  if (cmcd.next_object)
    emit("nor", quote(http::percent_encode(*cmcd.next_object)));
  text("nrr", cmcd.next_range);
  if (cmcd.object_type)
    token("ot", token_for(object_types, *cmcd.object_type));
  if (cmcd.playback_rate != 1) {
    const double rounded = std::nearbyint(cmcd.playback_rate);
    const BareItem rate = rounded == cmcd.playback_rate ? BareItem(static_cast<std::int64_t>(rounded))
                                                        : BareItem(cmcd.playback_rate);
    if (const auto serialized = serialize(Item{rate, {}}))
      emit("pr", *serialized);
  }
  count("rtp", cmcd.requested_max_throughput);
  if (cmcd.streaming_format)
    token("sf", token_for(streaming_formats, *cmcd.streaming_format));
  text("sid", cmcd.session_id);
  if (cmcd.stream_type)
    token("st", token_for(stream_types, *cmcd.stream_type));
  flag("su", cmcd.startup);
  count("tb", cmcd.top_bitrate);
  for (const auto& [key, value] : cmcd.custom) {
    const auto* boolean = std::get_if<bool>(&value);
    if (boolean && *boolean)
      emit(key, std::string_view());
    else if (const auto serialized = serialize(Item{value, {}}))
      emit(key, *serialized);
  }
}

void append_entry(std::string& list, std::string_view key, std::string_view text) {
  if (!list.empty())
    list += ',';
  list.append(key);
  if (!text.empty())
    list.append("=").append(text);
}

}  // namespace

void parse_cmcd_text(std::string_view text, ParsedCmcd& into) {
  for (const auto part : split_at_commas(text)) {
    if (part.empty()) {
      into.errors.push_back({"", "empty entry"});
      continue;
    }
    const auto equals = part.find('=');
    const auto key = trim(part.substr(0, equals));
    if (!is_key(key)) {
      into.errors.push_back({std::string(key.substr(0, 32)), "invalid key name"});
      continue;
    }
    KeyValue key_value;
    if (equals != std::string_view::npos) {
      const auto item = parse_item(part.substr(equals + 1));
      if (const auto* error = std::get_if<SyntaxError>(&item)) {
        into.errors.push_back({std::string(key), error->cause});
        continue;
      }
      key_value = std::get<Item>(item).value;
    }
    if (const auto cause = set_key(into.cmcd, key, key_value))
      into.errors.push_back({std::string(key), *cause});
  }
}

ParsedCmcd parse_cmcd(const http::Fields& fields, std::string_view target) {
  ParsedCmcd parsed;
  const auto question = target.find('?');
  const auto query = question == std::string_view::npos ? std::string_view{} : target.substr(question + 1);
  for (std::size_t start = 0; start < query.size();) {
    const auto end = std::min(query.find('&', start), query.size());
    const auto argument = query.substr(start, end - start);
    start = end + 1;
    if (!argument.starts_with("CMCD="))
      continue;
    parsed.present = true;
    if (const auto text = http::percent_decode(argument.substr(5)))
      parse_cmcd_text(*text, parsed);
    else
      parsed.errors.push_back({"", "malformed percent-encoding in the query"});
  }
  for (const auto name : header_names) {
    const auto text = http::combined_value(fields, name);
    if (text.empty())
      continue;
    parsed.present = true;
    parse_cmcd_text(text, parsed);
  }
  return parsed;
}

http::Fields serialize_cmcd_headers(const Cmcd& cmcd) {
  std::array<std::string, header_names.size()> texts;
  for_each_key(cmcd, [&](std::string_view key, std::string_view text) {
    append_entry(texts[header_index(key)], key, text);
  });
  http::Fields fields;
  for (std::size_t i = 0; i < texts.size(); ++i) {
    if (!texts[i].empty())
      fields.emplace_back(header_names[i], std::move(texts[i]));
  }
  return fields;
}

std::string serialize_cmcd_query(const Cmcd& cmcd) {
  std::string query;
  for_each_key(cmcd, [&](std::string_view key, std::string_view text) { append_entry(query, key, text); });
  return http::percent_encode(query);
}

}  // namespace violettide::hints
