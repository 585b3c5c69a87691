#include "hints/cmcd.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <functional>

namespace violettide::hints {

namespace {

constexpr std::size_t most_text = 64;  // characters of sid and cid (CTA-5004, table 1)

template <typename Kind>
struct Letter {
  std::string_view text;
  Kind kind;
};
constexpr std::array<Letter<ObjectType>, 9> object_types{{{"m", ObjectType::manifest},
                                                          {"a", ObjectType::audio},
                                                          {"v", ObjectType::video},
                                                          {"av", ObjectType::muxed},
                                                          {"i", ObjectType::init},
                                                          {"c", ObjectType::caption},
                                                          {"tt", ObjectType::timed_text},
                                                          {"k", ObjectType::key},
                                                          {"o", ObjectType::other}}};
constexpr std::array<Letter<StreamingFormat>, 4> formats{{{"d", StreamingFormat::dash},
                                                          {"h", StreamingFormat::hls},
                                                          {"s", StreamingFormat::smooth},
                                                          {"o", StreamingFormat::other}}};
constexpr std::array<Letter<StreamType>, 2> stream_types{
    {{"v", StreamType::recorded}, {"l", StreamType::live}}};

template <typename Kind, std::size_t count>
std::string_view letter_of(const std::array<Letter<Kind>, count>& letters, Kind kind) {
  for (const auto& letter : letters) {
    if (letter.kind == kind)
      return letter.text;
  }
  return {};
}

// A key's value as it came: present but bare keys have none.
using Raw = std::optional<Bare>;
using Cause = std::optional<std::string>;  // absent: taken

// Counts round to hundreds when written, but any whole number of at least 0 is read.
Cause take_count(const Raw& raw, std::optional<std::int64_t>& into) {
  const auto* value = raw ? std::get_if<std::int64_t>(&*raw) : nullptr;
  if (!value)
    return "expected a whole number";
  if (*value < 0)
    return "expected no negative number";
  into = *value;
  return {};
}

Cause take_flag(const Raw& raw, bool& into) {
  if (!raw)
    return into = true, Cause{};
  if (const auto* flag = std::get_if<bool>(&*raw))
    return into = *flag, Cause{};
  const auto* word = std::get_if<Token>(&*raw);  // `bs=true` was common before version 1 was settled
  if (word && (word->text == "true" || word->text == "false"))
    return into = word->text == "true", Cause{};
  return "expected the bare key, true or false";
}

Cause take_text(const Raw& raw, std::optional<std::string>& into, std::size_t most) {
  const auto* value = raw ? std::get_if<std::string>(&*raw) : nullptr;
  if (!value)
    return "expected a quoted string";
  if (value->empty())
    return "expected some text";
  if (value->size() > most)
    return "longer than " + std::to_string(most) + " characters";
  into = *value;
  return {};
}

template <typename Kind, std::size_t count>
Cause take_letter(const Raw& raw, const std::array<Letter<Kind>, count>& letters, std::optional<Kind>& into) {
  const auto* word = raw ? std::get_if<Token>(&*raw) : nullptr;
  for (const auto& letter : letters) {
    if (word && word->text == letter.text)
      return into = letter.kind, Cause{};
  }
  return "expected one of the key's tokens";
}

Cause take_rate(const Raw& raw, double& into) {
  if (!raw)
    return "expected a number";
  const auto* whole = std::get_if<std::int64_t>(&*raw);
  const auto* parts = std::get_if<double>(&*raw);
  if (!whole && !parts)
    return "expected a number";
  const double value = whole ? static_cast<double>(*whole) : *parts;
  if (value < 0)
    return "expected no negative number";
  into = value;
  return {};
}

Cause take(Cmcd& hints, std::string_view key, const Raw& raw) {
  if (key == "br")
    return take_count(raw, hints.encoded_bitrate);
  if (key == "bl")
    return take_count(raw, hints.buffer_length);
  if (key == "bs")
    return take_flag(raw, hints.buffer_starved);
  if (key == "cid")
    return take_text(raw, hints.content_id, most_text);
  if (key == "d")
    return take_count(raw, hints.object_duration);
  if (key == "dl")
    return take_count(raw, hints.deadline);
  if (key == "mtp")
    return take_count(raw, hints.measured_throughput);
  if (key == "nor") {
    std::optional<std::string> coded;
    if (auto cause = take_text(raw, coded, 4096))
      return cause;
    const auto plain = http::percent_decoded(*coded);
    if (!plain)
      return "malformed percent-encoding";
    hints.next_object = *plain;
    return {};
  }
  if (key == "nrr") {
    std::optional<std::string> range;
    if (auto cause = take_text(raw, range, 64))
      return cause;
    const auto dash = range->find('-');
    if (dash == std::string::npos || range->size() == 1 || range->find('-', dash + 1) != std::string::npos ||
        range->find_first_not_of("0123456789-") != std::string::npos)
      return "expected a byte range such as 0-499";
    hints.next_range = *range;
    return {};
  }
  if (key == "ot")
    return take_letter(raw, object_types, hints.object_type);
  if (key == "pr")
    return take_rate(raw, hints.playback_rate);
  if (key == "rtp")
    return take_count(raw, hints.requested_maximum);
  if (key == "sf")
    return take_letter(raw, formats, hints.format);
  if (key == "sid")
    return take_text(raw, hints.session_id, most_text);
  if (key == "st")
    return take_letter(raw, stream_types, hints.stream_type);
  if (key == "su")
    return take_flag(raw, hints.startup);
  if (key == "tb")
    return take_count(raw, hints.top_bitrate);
  if (key == "v") {
    std::optional<std::int64_t> version;
    if (auto cause = take_count(raw, version))
      return cause;
    if (*version != 1)
      return "a version that this front does not read";
    hints.version = 1;
    return {};
  }
  if (key.find('-') == std::string_view::npos)
    return "not a reserved key, and no custom key's hyphen";
  hints.custom.emplace_back(key, raw.value_or(true));
  return {};
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

// Splits at commas outside quotes, so that one malformed key costs only itself.
std::vector<std::string_view> split(std::string_view text) {
  std::vector<std::string_view> parts;
  bool quoted = false;
  std::size_t from = 0;
  for (std::size_t i = 0; i <= text.size(); ++i) {
    if (i < text.size() && text[i] == '\\' && quoted) {
      ++i;
      continue;
    }
    if (i < text.size() && text[i] == '"')
      quoted = !quoted;
    if (i >= text.size() || (text[i] == ',' && !quoted)) {
      parts.push_back(trimmed(text.substr(from, std::min(i, text.size()) - from)));
      from = i + 1;
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

// The four headers (CTA-5004, 3.1) and the keys that go with each.
constexpr std::array<std::string_view, 4> header_names{"CMCD-Object", "CMCD-Request", "CMCD-Session",
                                                       "CMCD-Status"};
std::size_t header_of(std::string_view key) {
  for (const auto own : {"br", "d", "ot", "tb"})
    if (key == own)
      return 0;
  for (const auto own : {"bl", "dl", "mtp", "nor", "nrr", "su"})
    if (key == own)
      return 1;
  for (const auto own : {"cid", "pr", "sf", "sid", "st", "v"})
    if (key == own)
      return 2;
  return 3;
}

std::string quoted(std::string_view text) {
  std::string made = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\')
      made += '\\';
    made += c;
  }
  return made += '"';
}

// Hands over each key with its text, in alphabetical order, custom keys last; what is at its default is left
// out. Written without a field's tree: this is done for every object that passes.
template <typename Put>
void each_entry(const Cmcd& hints, Put put) {
  const auto count = [&](std::string_view key, const std::optional<std::int64_t>& value) {
    if (!value)
      return;
    char digits[24];
    const auto end = std::to_chars(digits, digits + sizeof digits, *value).ptr;
    put(key, std::string_view(digits, static_cast<std::size_t>(end - digits)));
  };
  const auto text = [&](std::string_view key, const std::optional<std::string>& value) {
    if (value)
      put(key, quoted(*value));
  };
  const auto flag = [&](std::string_view key, bool value) {
    if (value)
      put(key, std::string_view());
  };
  const auto word = [&](std::string_view key, std::string_view letter) {
    if (!letter.empty())
      put(key, letter);
  };
  count("bl", hints.buffer_length);
  count("br", hints.encoded_bitrate);
  flag("bs", hints.buffer_starved);
  text("cid", hints.content_id);
  count("d", hints.object_duration);
  count("dl", hints.deadline);
  count("mtp", hints.measured_throughput);
  if (hints.next_object)
    put("nor", quoted(http::percent_encoded(*hints.next_object)));
  text("nrr", hints.next_range);
  if (hints.object_type)
    word("ot", letter_of(object_types, *hints.object_type));
  if (hints.playback_rate != 1) {
    const double whole = std::nearbyint(hints.playback_rate);
    const Bare rate =
        whole == hints.playback_rate ? Bare(static_cast<std::int64_t>(whole)) : Bare(hints.playback_rate);
    if (const auto said = written(Item{rate, {}}))
      put("pr", *said);
  }
  count("rtp", hints.requested_maximum);
  if (hints.format)
    word("sf", letter_of(formats, *hints.format));
  text("sid", hints.session_id);
  if (hints.stream_type)
    word("st", letter_of(stream_types, *hints.stream_type));
  flag("su", hints.startup);
  count("tb", hints.top_bitrate);
  for (const auto& [key, value] : hints.custom) {
    const auto* yes = std::get_if<bool>(&value);
    if (yes && *yes)
      put(key, std::string_view());
    else if (const auto said = written(Item{value, {}}))
      put(key, *said);
  }
}

void append(std::string& to, std::string_view key, std::string_view text) {
  if (!to.empty())
    to += ',';
  to.append(key);
  if (!text.empty())
    to.append("=").append(text);
}

}  // namespace

void read_cmcd_text(std::string_view text, ReadCmcd& into) {
  for (const auto part : split(text)) {
    if (part.empty()) {
      into.faults.push_back({"", "an empty entry"});
      continue;
    }
    const auto equals = part.find('=');
    const auto key = trimmed(part.substr(0, equals));
    if (!is_key(key)) {
      into.faults.push_back({std::string(key.substr(0, 32)), "not a key"});
      continue;
    }
    Raw raw;
    if (equals != std::string_view::npos) {
      const auto item = parse_item(part.substr(equals + 1));
      if (const auto* fault = std::get_if<FieldFault>(&item)) {
        into.faults.push_back({std::string(key), fault->cause});
        continue;
      }
      raw = std::get<Item>(item).value;
    }
    if (const auto cause = take(into.hints, key, raw))
      into.faults.push_back({std::string(key), *cause});
  }
}

ReadCmcd read_cmcd(const http::Fields& fields, std::string_view target) {
  ReadCmcd read;
  const auto question = target.find('?');
  const auto query = question == std::string_view::npos ? std::string_view{} : target.substr(question + 1);
  for (std::size_t from = 0; from < query.size();) {
    const auto end = std::min(query.find('&', from), query.size());
    const auto argument = query.substr(from, end - from);
    from = end + 1;
    if (!argument.starts_with("CMCD="))
      continue;
    read.present = true;
    if (const auto text = http::percent_decoded(argument.substr(5)))
      read_cmcd_text(*text, read);
    else
      read.faults.push_back({"", "malformed percent-encoding in the query"});
  }
  for (const auto name : header_names) {
    const auto text = http::joined(fields, name);
    if (text.empty())
      continue;
    read.present = true;
    read_cmcd_text(text, read);
  }
  return read;
}

http::Fields cmcd_headers(const Cmcd& hints) {
  std::array<std::string, header_names.size()> texts;
  each_entry(hints,
             [&](std::string_view key, std::string_view text) { append(texts[header_of(key)], key, text); });
  http::Fields fields;
  for (std::size_t i = 0; i < texts.size(); ++i) {
    if (!texts[i].empty())
      fields.emplace_back(header_names[i], std::move(texts[i]));
  }
  return fields;
}

std::string cmcd_query(const Cmcd& hints) {
  std::string all;
  each_entry(hints, [&](std::string_view key, std::string_view text) { append(all, key, text); });
  return http::percent_encoded(all);
}

}  // namespace violettide::hints
