#include "hls/tags.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>

namespace violettide::hls {

namespace {

using enum AttributeType;

std::vector<TagRule> make_tag_rules() {
  using enum ValueType;
  using enum Placement;
  constexpr bool required = true;
  const std::vector<AttributeRule> key_attributes{{"METHOD", AttributeType::enumerated, required},
                                                  {"URI", quoted},
                                                  {"IV", hexadecimal},
                                                  {"KEYFORMAT", quoted},
                                                  {"KEYFORMATVERSIONS", quoted}};
  std::vector<TagRule> rules{
      {Tag::m3u, "M3U", none, anywhere, true, {}},
      {Tag::version, "-X-VERSION", ValueType::integer, anywhere, true, {}},
      {Tag::define,
       "-X-DEFINE",
       attribute_list,
       anywhere,
       false,
       {{"NAME", quoted}, {"VALUE", quoted}, {"IMPORT", quoted}, {"QUERYPARAM", quoted}}},
      {Tag::independent_segments, "-X-INDEPENDENT-SEGMENTS", none, anywhere, true, {}},
      {Tag::start,
       "-X-START",
       attribute_list,
       anywhere,
       true,
       {{"TIME-OFFSET", signed_decimal, required}, {"PRECISE", AttributeType::enumerated}}},
      {Tag::inf, "INF", duration, segment, false, {}},
      {Tag::byte_range, "-X-BYTERANGE", byte_range, segment, false, {}},
      {Tag::discontinuity, "-X-DISCONTINUITY", none, segment, false, {}},
      {Tag::key, "-X-KEY", attribute_list, segment, false, key_attributes},
      {Tag::map,
       "-X-MAP",
       attribute_list,
       segment,
       false,
       {{"URI", quoted, required}, {"BYTERANGE", quoted}}},
      {Tag::program_date_time, "-X-PROGRAM-DATE-TIME", date_time, segment, false, {}},
      {Tag::gap, "-X-GAP", none, segment, false, {}},
      {Tag::bitrate, "-X-BITRATE", ValueType::integer, segment, false, {}},
      {Tag::part,
       "-X-PART",
       attribute_list,
       segment,
       false,
       {{"URI", quoted, required},
        {"DURATION", decimal, required},
        {"INDEPENDENT", AttributeType::enumerated},
        {"BYTERANGE", quoted},
        {"GAP", AttributeType::enumerated}}},
      {Tag::date_range,
       "-X-DATERANGE",
       attribute_list,
       media_playlist,
       false,
       {{"ID", quoted, required},
        {"CLASS", quoted},
        {"START-DATE", quoted},
        {"CUE", quoted},
        {"END-DATE", quoted},
        {"DURATION", decimal},
        {"PLANNED-DURATION", decimal},
        {"SCTE35-CMD", hexadecimal},
        {"SCTE35-OUT", hexadecimal},
        {"SCTE35-IN", hexadecimal},
        {"END-ON-NEXT", AttributeType::enumerated}}},
      {Tag::skip,
       "-X-SKIP",
       attribute_list,
       media_playlist,
       true,
       {{"SKIPPED-SEGMENTS", AttributeType::integer, required}, {"RECENTLY-REMOVED-DATERANGES", quoted}}},
      {Tag::preload_hint,
       "-X-PRELOAD-HINT",
       attribute_list,
       media_playlist,
       false,
       {{"TYPE", AttributeType::enumerated, required},
        {"URI", quoted, required},
        {"BYTERANGE-START", AttributeType::integer},
        {"BYTERANGE-LENGTH", AttributeType::integer}}},
      {Tag::rendition_report,
       "-X-RENDITION-REPORT",
       attribute_list,
       media_playlist,
       false,
       {{"URI", quoted, required},
        {"LAST-MSN", AttributeType::integer},
        {"LAST-PART", AttributeType::integer}}},
      {Tag::target_duration, "-X-TARGETDURATION", ValueType::integer, media_playlist, true, {}},
      {Tag::media_sequence, "-X-MEDIA-SEQUENCE", ValueType::integer, media_playlist, true, {}},
      {Tag::discontinuity_sequence,
       "-X-DISCONTINUITY-SEQUENCE",
       ValueType::integer,
       media_playlist,
       true,
       {}},
      {Tag::end_list, "-X-ENDLIST", none, media_playlist, true, {}},
      {Tag::playlist_type, "-X-PLAYLIST-TYPE", ValueType::enumerated, media_playlist, true, {}},
      {Tag::i_frames_only, "-X-I-FRAMES-ONLY", none, media_playlist, true, {}},
      {Tag::part_inf,
       "-X-PART-INF",
       attribute_list,
       media_playlist,
       true,
       {{"PART-TARGET", decimal, required}}},
      {Tag::server_control,
       "-X-SERVER-CONTROL",
       attribute_list,
       media_playlist,
       true,
       {{"CAN-SKIP-UNTIL", decimal},
        {"CAN-SKIP-DATERANGES", AttributeType::enumerated},
        {"HOLD-BACK", decimal},
        {"PART-HOLD-BACK", decimal},
        {"CAN-BLOCK-RELOAD", AttributeType::enumerated}}},
      {Tag::media,
       "-X-MEDIA",
       attribute_list,
       multivariant_playlist,
       false,
       {{"TYPE", AttributeType::enumerated, required},
        {"URI", quoted},
        {"GROUP-ID", quoted, required},
        {"LANGUAGE", quoted},
        {"ASSOC-LANGUAGE", quoted},
        {"NAME", quoted, required},
        {"STABLE-RENDITION-ID", quoted},
        {"DEFAULT", AttributeType::enumerated},
        {"AUTOSELECT", AttributeType::enumerated},
        {"FORCED", AttributeType::enumerated},
        {"INSTREAM-ID", quoted},
        {"BIT-DEPTH", AttributeType::integer},
        {"SAMPLE-RATE", AttributeType::integer},
        {"CHARACTERISTICS", quoted},
        {"CHANNELS", quoted}}},
      {Tag::stream_inf,
       "-X-STREAM-INF",
       attribute_list,
       multivariant_playlist,
       false,
       {{"BANDWIDTH", AttributeType::integer, required},
        {"AVERAGE-BANDWIDTH", AttributeType::integer},
        {"SCORE", decimal},
        {"CODECS", quoted},
        {"SUPPLEMENTAL-CODECS", quoted},
        {"RESOLUTION", resolution},
        {"FRAME-RATE", decimal},
        {"HDCP-LEVEL", AttributeType::enumerated},
        {"ALLOWED-CPC", quoted},
        {"VIDEO-RANGE", AttributeType::enumerated},
        {"REQ-VIDEO-LAYOUT", quoted},
        {"STABLE-VARIANT-ID", quoted},
        {"AUDIO", quoted},
        {"VIDEO", quoted},
        {"SUBTITLES", quoted},
        {"PATHWAY-ID", quoted}}},  // CLOSED-CAPTIONS is a quoted string or the word NONE
      {Tag::i_frame_stream_inf,
       "-X-I-FRAME-STREAM-INF",
       attribute_list,
       multivariant_playlist,
       false,
       {{"BANDWIDTH", AttributeType::integer, required},
        {"URI", quoted, required},
        {"AVERAGE-BANDWIDTH", AttributeType::integer},
        {"SCORE", decimal},
        {"CODECS", quoted},
        {"RESOLUTION", resolution},
        {"HDCP-LEVEL", AttributeType::enumerated},
        {"ALLOWED-CPC", quoted},
        {"VIDEO-RANGE", AttributeType::enumerated},
        {"STABLE-VARIANT-ID", quoted},
        {"VIDEO", quoted},
        {"PATHWAY-ID", quoted}}},
      {Tag::session_data,
       "-X-SESSION-DATA",
       attribute_list,
       multivariant_playlist,
       false,
       {{"DATA-ID", quoted, required},
        {"VALUE", quoted},
        {"URI", quoted},
        {"FORMAT", AttributeType::enumerated},
        {"LANGUAGE", quoted}}},
      {Tag::session_key, "-X-SESSION-KEY", attribute_list, multivariant_playlist, false, key_attributes},
      {Tag::content_steering,
       "-X-CONTENT-STEERING",
       attribute_list,
       multivariant_playlist,
       true,
       {{"SERVER-URI", quoted, required}, {"PATHWAY-ID", quoted}}},
  };
  return rules;
}

bool is_digit(char c) { return c >= '0' && c <= '9'; }
bool is_name_character(char c) { return (c >= 'A' && c <= 'Z') || is_digit(c) || c == '-'; }

bool has_type(AttributeType type, const Attribute& a) {
  switch (type) {
    case AttributeType::quoted:
      return a.quoted;
    case AttributeType::enumerated:
      return !a.quoted && !a.value.empty();
    case AttributeType::integer:
      return !a.quoted && parse_integer(a.value).has_value();
    case AttributeType::hexadecimal:
      return !a.quoted && a.value.size() > 2 && a.value[0] == '0' &&
             (a.value[1] == 'x' || a.value[1] == 'X') &&
             std::all_of(a.value.begin() + 2, a.value.end(), [](char c) {
               return is_digit(c) || (c >= 'A' && c <= 'F') || (c >= 'a' && c <= 'f');
             });
    case AttributeType::decimal:
      return !a.quoted && parse_decimal(a.value).value_or(-1) >= 0;
    case AttributeType::signed_decimal:
      return !a.quoted && parse_decimal(a.value).has_value();
    case AttributeType::resolution: {
      const auto x = a.value.find('x');
      return !a.quoted && x != std::string_view::npos && parse_integer(a.value.substr(0, x)) &&
             parse_integer(a.value.substr(x + 1));
    }
  }
  return false;
}

}  // namespace

const std::vector<TagRule>& tag_rules() {
  static const auto rules = make_tag_rules();
  return rules;
}

const TagRule* find_tag_rule(std::string_view name) {
  // Skips the search for EXTINF, the most frequent tag.
  const auto& rules = tag_rules();
  if (name == "INF")
    return &rules[static_cast<std::size_t>(Tag::inf)];
  for (const auto& rule : rules) {
    if (rule.name == name)
      return &rule;
  }
  return nullptr;
}

std::optional<std::uint64_t> parse_integer(std::string_view text) {
  std::uint64_t value = 0;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || text.size() > 20 || error != std::errc{} || stop != text.data() + text.size())
    return std::nullopt;
  return value;
}

std::optional<double> parse_decimal(std::string_view text) {
  double value = 0;
  const auto [stop, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
  if (text.empty() || error != std::errc{} || stop != text.data() + text.size() || !std::isfinite(value) ||
      std::fabs(value) > 1e12)
    return std::nullopt;
  return value;
}

std::optional<std::int64_t> parse_date_time(std::string_view text) {
  const auto digits = [&](std::size_t at, std::size_t count) -> std::optional<int> {
    if (at + count > text.size())
      return std::nullopt;
    int value = 0;
    for (std::size_t i = at; i < at + count; ++i) {
      if (!is_digit(text[i]))
        return std::nullopt;
      value = value * 10 + (text[i] - '0');
    }
    return value;
  };
  const auto year = digits(0, 4), month = digits(5, 2), day = digits(8, 2), hour = digits(11, 2),
             minute = digits(14, 2), second = digits(17, 2);
  if (!year || !month || !day || !hour || !minute || !second || text[4] != '-' || text[7] != '-' ||
      (text[10] != 'T' && text[10] != 't') || text[13] != ':' || text[16] != ':')
    return std::nullopt;
  const std::chrono::year_month_day date{std::chrono::year(*year),
                                         std::chrono::month(static_cast<unsigned>(*month)),
                                         std::chrono::day(static_cast<unsigned>(*day))};
  if (!date.ok() || *hour > 23 || *minute > 59 || *second > 60)
    return std::nullopt;
  std::size_t at = 19;
  std::int64_t micros = 0;
  if (at < text.size() && text[at] == '.') {
    std::int64_t unit = 100'000;
    for (++at; at < text.size() && is_digit(text[at]); ++at, unit /= 10)
      micros += (text[at] - '0') * unit;
  }
  std::int64_t zone_minutes = 0;
  if (at < text.size() && (text[at] == 'Z' || text[at] == 'z')) {
    ++at;
  } else if (at < text.size() && (text[at] == '+' || text[at] == '-')) {
    const int sign = text[at] == '-' ? -1 : 1;
    const bool colon = at + 3 < text.size() && text[at + 3] == ':';
    const auto hours = digits(at + 1, 2), minutes = digits(at + (colon ? 4 : 3), 2);
    if (!hours)
      return std::nullopt;
    zone_minutes = sign * (*hours * 60 + minutes.value_or(0));
    at += minutes ? (colon ? 6 : 5) : 3;
  }
  if (at != text.size())
    return std::nullopt;
  const std::int64_t days = std::chrono::sys_days(date).time_since_epoch().count();
  return (((days * 24 + *hour) * 60 + *minute - zone_minutes) * 60 + *second) * 1'000'000 + micros;
}

const Attribute* AttributeList::find(std::string_view name) const {
  for (const auto& attribute : all) {
    if (attribute.name == name)
      return &attribute;
  }
  return nullptr;
}
std::string_view AttributeList::text(std::string_view name) const {
  const auto* found = find(name);
  return found ? found->value : std::string_view();
}
std::optional<std::uint64_t> AttributeList::integer(std::string_view name) const {
  const auto* found = find(name);
  return found ? parse_integer(found->value) : std::nullopt;
}
std::optional<double> AttributeList::decimal(std::string_view name) const {
  const auto* found = find(name);
  return found ? parse_decimal(found->value) : std::nullopt;
}
std::optional<std::pair<std::uint32_t, std::uint32_t>> AttributeList::resolution(
    std::string_view name) const {
  const auto* found = find(name);
  const auto x = found ? found->value.find('x') : std::string_view::npos;
  if (x == std::string_view::npos)
    return std::nullopt;
  const auto width = parse_integer(found->value.substr(0, x)),
             height = parse_integer(found->value.substr(x + 1));
  if (!width || !height || *width > 1'000'000 || *height > 1'000'000)
    return std::nullopt;
  return std::pair(static_cast<std::uint32_t>(*width), static_cast<std::uint32_t>(*height));
}

std::optional<std::string> parse_attributes(std::string_view text, AttributeList& list) {
  list.all.clear();
  std::size_t at = 0;
  while (at < text.size()) {
    // Some packagers put a space after the comma; it is ignored here and kept in the line.
    while (at < text.size() && text[at] == ' ')
      ++at;
    const auto name_from = at;
    while (at < text.size() && is_name_character(text[at]))
      ++at;
    if (at == name_from || at >= text.size() || text[at] != '=')
      return "attribute without a name or value at column " + std::to_string(name_from + 1);
    Attribute attribute;
    attribute.name = text.substr(name_from, at - name_from);
    if (list.find(attribute.name))
      return "attribute " + std::string(attribute.name) + " appears twice";
    ++at;
    if (at < text.size() && text[at] == '"') {
      const auto end = text.find('"', at + 1);
      if (end == std::string_view::npos)
        return "the quoted value of " + std::string(attribute.name) + " is not terminated";
      attribute.value = text.substr(at + 1, end - at - 1);
      attribute.quoted = true;
      at = end + 1;
    } else {
      const auto from = at;
      while (at < text.size() && text[at] != ',') {
        if (text[at] == '"')
          return "quotation mark within the unquoted value of attribute " + std::string(attribute.name);
        ++at;
      }
      attribute.value = text.substr(from, at - from);
      while (!attribute.value.empty() && attribute.value.back() == ' ')
        attribute.value.remove_suffix(1);
      if (attribute.value.empty())
        return "attribute " + std::string(attribute.name) + " has no value";
    }
    list.all.push_back(attribute);
    if (at == text.size())
      return std::nullopt;
    if (text[at] != ',')
      return "expected a comma after attribute " + std::string(attribute.name);
    ++at;
  }
  return std::nullopt;
}

std::optional<std::string> check_attributes(const TagRule& rule, const AttributeList& attributes) {
  for (const auto& known : rule.attributes) {
    const auto* found = attributes.find(known.name);
    if (!found) {
      if (known.required)
        return "required attribute " + std::string(known.name) + " is missing";
    } else if (!has_type(known.type, *found)) {
      return "attribute " + std::string(known.name) + " has a value of the wrong type";
    }
  }
  return std::nullopt;
}

}  // namespace violettide::hls
