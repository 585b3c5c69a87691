#include "hls/tags.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>

namespace violettide::hls {

namespace {

using enum Kind;

std::vector<TagRule> make_rules() {
  using enum Takes;
  using enum Stands;
  constexpr bool required = true;
  const std::vector<AttributeRule> of_keys{{"METHOD", Kind::word, required},
                                           {"URI", quoted},
                                           {"IV", hexadecimal},
                                           {"KEYFORMAT", quoted},
                                           {"KEYFORMATVERSIONS", quoted}};
  std::vector<TagRule> rules{
      {Tag::m3u, "M3U", nothing, anywhere, true, {}},
      {Tag::version, "-X-VERSION", Takes::whole, anywhere, true, {}},
      {Tag::define,
       "-X-DEFINE",
       attributes,
       anywhere,
       false,
       {{"NAME", quoted}, {"VALUE", quoted}, {"IMPORT", quoted}, {"QUERYPARAM", quoted}}},
      {Tag::independent_segments, "-X-INDEPENDENT-SEGMENTS", nothing, anywhere, true, {}},
      {Tag::start,
       "-X-START",
       attributes,
       anywhere,
       true,
       {{"TIME-OFFSET", signed_number, required}, {"PRECISE", Kind::word}}},
      {Tag::inf, "INF", duration, at_segment, false, {}},
      {Tag::byte_range, "-X-BYTERANGE", byte_range, at_segment, false, {}},
      {Tag::discontinuity, "-X-DISCONTINUITY", nothing, at_segment, false, {}},
      {Tag::key, "-X-KEY", attributes, at_segment, false, of_keys},
      {Tag::map, "-X-MAP", attributes, at_segment, false, {{"URI", quoted, required}, {"BYTERANGE", quoted}}},
      {Tag::program_date_time, "-X-PROGRAM-DATE-TIME", date, at_segment, false, {}},
      {Tag::gap, "-X-GAP", nothing, at_segment, false, {}},
      {Tag::bitrate, "-X-BITRATE", Takes::whole, at_segment, false, {}},
      {Tag::part,
       "-X-PART",
       attributes,
       at_segment,
       false,
       {{"URI", quoted, required},
        {"DURATION", number, required},
        {"INDEPENDENT", Kind::word},
        {"BYTERANGE", quoted},
        {"GAP", Kind::word}}},
      {Tag::date_range,
       "-X-DATERANGE",
       attributes,
       in_media,
       false,
       {{"ID", quoted, required},
        {"CLASS", quoted},
        {"START-DATE", quoted},
        {"CUE", quoted},
        {"END-DATE", quoted},
        {"DURATION", number},
        {"PLANNED-DURATION", number},
        {"SCTE35-CMD", hexadecimal},
        {"SCTE35-OUT", hexadecimal},
        {"SCTE35-IN", hexadecimal},
        {"END-ON-NEXT", Kind::word}}},
      {Tag::skip,
       "-X-SKIP",
       attributes,
       in_media,
       true,
       {{"SKIPPED-SEGMENTS", Kind::whole, required}, {"RECENTLY-REMOVED-DATERANGES", quoted}}},
      {Tag::preload_hint,
       "-X-PRELOAD-HINT",
       attributes,
       in_media,
       false,
       {{"TYPE", Kind::word, required},
        {"URI", quoted, required},
        {"BYTERANGE-START", Kind::whole},
        {"BYTERANGE-LENGTH", Kind::whole}}},
      {Tag::rendition_report,
       "-X-RENDITION-REPORT",
       attributes,
       in_media,
       false,
       {{"URI", quoted, required}, {"LAST-MSN", Kind::whole}, {"LAST-PART", Kind::whole}}},
      {Tag::target_duration, "-X-TARGETDURATION", Takes::whole, in_media, true, {}},
      {Tag::media_sequence, "-X-MEDIA-SEQUENCE", Takes::whole, in_media, true, {}},
      {Tag::discontinuity_sequence, "-X-DISCONTINUITY-SEQUENCE", Takes::whole, in_media, true, {}},
      {Tag::end_list, "-X-ENDLIST", nothing, in_media, true, {}},
      {Tag::playlist_type, "-X-PLAYLIST-TYPE", Takes::word, in_media, true, {}},
      {Tag::i_frames_only, "-X-I-FRAMES-ONLY", nothing, in_media, true, {}},
      {Tag::part_inf, "-X-PART-INF", attributes, in_media, true, {{"PART-TARGET", number, required}}},
      {Tag::server_control,
       "-X-SERVER-CONTROL",
       attributes,
       in_media,
       true,
       {{"CAN-SKIP-UNTIL", number},
        {"CAN-SKIP-DATERANGES", Kind::word},
        {"HOLD-BACK", number},
        {"PART-HOLD-BACK", number},
        {"CAN-BLOCK-RELOAD", Kind::word}}},
      {Tag::media,
       "-X-MEDIA",
       attributes,
       in_multivariant,
       false,
       {{"TYPE", Kind::word, required},
        {"URI", quoted},
        {"GROUP-ID", quoted, required},
        {"LANGUAGE", quoted},
        {"ASSOC-LANGUAGE", quoted},
        {"NAME", quoted, required},
        {"STABLE-RENDITION-ID", quoted},
        {"DEFAULT", Kind::word},
        {"AUTOSELECT", Kind::word},
        {"FORCED", Kind::word},
        {"INSTREAM-ID", quoted},
        {"BIT-DEPTH", Kind::whole},
        {"SAMPLE-RATE", Kind::whole},
        {"CHARACTERISTICS", quoted},
        {"CHANNELS", quoted}}},
      {Tag::stream_inf,
       "-X-STREAM-INF",
       attributes,
       in_multivariant,
       false,
       {{"BANDWIDTH", Kind::whole, required},
        {"AVERAGE-BANDWIDTH", Kind::whole},
        {"SCORE", number},
        {"CODECS", quoted},
        {"SUPPLEMENTAL-CODECS", quoted},
        {"RESOLUTION", resolution},
        {"FRAME-RATE", number},
        {"HDCP-LEVEL", Kind::word},
        {"ALLOWED-CPC", quoted},
        {"VIDEO-RANGE", Kind::word},
        {"REQ-VIDEO-LAYOUT", quoted},
        {"STABLE-VARIANT-ID", quoted},
        {"AUDIO", quoted},
        {"VIDEO", quoted},
        {"SUBTITLES", quoted},
        {"PATHWAY-ID", quoted}}},  // CLOSED-CAPTIONS is a quoted string or the word NONE
      {Tag::i_frame_stream_inf,
       "-X-I-FRAME-STREAM-INF",
       attributes,
       in_multivariant,
       false,
       {{"BANDWIDTH", Kind::whole, required},
        {"URI", quoted, required},
        {"AVERAGE-BANDWIDTH", Kind::whole},
        {"SCORE", number},
        {"CODECS", quoted},
        {"RESOLUTION", resolution},
        {"HDCP-LEVEL", Kind::word},
        {"ALLOWED-CPC", quoted},
        {"VIDEO-RANGE", Kind::word},
        {"STABLE-VARIANT-ID", quoted},
        {"VIDEO", quoted},
        {"PATHWAY-ID", quoted}}},
      {Tag::session_data,
       "-X-SESSION-DATA",
       attributes,
       in_multivariant,
       false,
       {{"DATA-ID", quoted, required},
        {"VALUE", quoted},
        {"URI", quoted},
        {"FORMAT", Kind::word},
        {"LANGUAGE", quoted}}},
      {Tag::session_key, "-X-SESSION-KEY", attributes, in_multivariant, false, of_keys},
      {Tag::content_steering,
       "-X-CONTENT-STEERING",
       attributes,
       in_multivariant,
       true,
       {{"SERVER-URI", quoted, required}, {"PATHWAY-ID", quoted}}},
  };
  return rules;
}

bool is_digit(char c) { return c >= '0' && c <= '9'; }
bool is_name(char c) { return (c >= 'A' && c <= 'Z') || is_digit(c) || c == '-'; }

bool of_kind(Kind kind, const Attribute& a) {
  switch (kind) {
    case Kind::quoted:
      return a.quoted;
    case Kind::word:
      return !a.quoted && !a.value.empty();
    case Kind::whole:
      return !a.quoted && read_whole(a.value).has_value();
    case Kind::hexadecimal:
      return !a.quoted && a.value.size() > 2 && a.value[0] == '0' &&
             (a.value[1] == 'x' || a.value[1] == 'X') &&
             std::all_of(a.value.begin() + 2, a.value.end(), [](char c) {
               return is_digit(c) || (c >= 'A' && c <= 'F') || (c >= 'a' && c <= 'f');
             });
    case Kind::number:
      return !a.quoted && read_number(a.value).value_or(-1) >= 0;
    case Kind::signed_number:
      return !a.quoted && read_number(a.value).has_value();
    case Kind::resolution: {
      const auto x = a.value.find('x');
      return !a.quoted && x != std::string_view::npos && read_whole(a.value.substr(0, x)) &&
             read_whole(a.value.substr(x + 1));
    }
  }
  return false;
}

}  // namespace

const std::vector<TagRule>& tag_rules() {
  static const auto rules = make_rules();
  return rules;
}

const TagRule* rule_of(std::string_view name) {
  // A playlist is mostly EXTINF lines: they are not searched for.
  const auto& rules = tag_rules();
  if (name == "INF")
    return &rules[static_cast<std::size_t>(Tag::inf)];
  for (const auto& rule : rules) {
    if (rule.name == name)
      return &rule;
  }
  return nullptr;
}

std::optional<std::uint64_t> read_whole(std::string_view text) {
  std::uint64_t value = 0;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || text.size() > 20 || error != std::errc{} || stop != text.data() + text.size())
    return std::nullopt;
  return value;
}

std::optional<double> read_number(std::string_view text) {
  double value = 0;
  const auto [stop, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
  if (text.empty() || error != std::errc{} || stop != text.data() + text.size() || !std::isfinite(value) ||
      std::fabs(value) > 1e12)
    return std::nullopt;
  return value;
}

std::optional<std::int64_t> read_date(std::string_view text) {
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

const Attribute* Attributes::find(std::string_view name) const {
  for (const auto& attribute : all) {
    if (attribute.name == name)
      return &attribute;
  }
  return nullptr;
}
std::string_view Attributes::text(std::string_view name) const {
  const auto* found = find(name);
  return found ? found->value : std::string_view();
}
std::optional<std::uint64_t> Attributes::whole(std::string_view name) const {
  const auto* found = find(name);
  return found ? read_whole(found->value) : std::nullopt;
}
std::optional<double> Attributes::number(std::string_view name) const {
  const auto* found = find(name);
  return found ? read_number(found->value) : std::nullopt;
}
std::optional<std::pair<std::uint32_t, std::uint32_t>> Attributes::resolution(std::string_view name) const {
  const auto* found = find(name);
  const auto x = found ? found->value.find('x') : std::string_view::npos;
  if (x == std::string_view::npos)
    return std::nullopt;
  const auto width = read_whole(found->value.substr(0, x)), height = read_whole(found->value.substr(x + 1));
  if (!width || !height || *width > 1'000'000 || *height > 1'000'000)
    return std::nullopt;
  return std::pair(static_cast<std::uint32_t>(*width), static_cast<std::uint32_t>(*height));
}

std::optional<std::string> read_attributes(std::string_view text, Attributes& into) {
  into.all.clear();
  std::size_t at = 0;
  while (at < text.size()) {
    // Some packagers put a space behind the comma; it is kept in the line and overlooked here.
    while (at < text.size() && text[at] == ' ')
      ++at;
    const auto name_from = at;
    while (at < text.size() && is_name(text[at]))
      ++at;
    if (at == name_from || at >= text.size() || text[at] != '=')
      return "an attribute without a name or a value at column " + std::to_string(name_from + 1);
    Attribute one;
    one.name = text.substr(name_from, at - name_from);
    if (into.find(one.name))
      return "the attribute " + std::string(one.name) + " twice";
    ++at;
    if (at < text.size() && text[at] == '"') {
      const auto end = text.find('"', at + 1);
      if (end == std::string_view::npos)
        return "the value of " + std::string(one.name) + " is not closed";
      one.value = text.substr(at + 1, end - at - 1);
      one.quoted = true;
      at = end + 1;
    } else {
      const auto from = at;
      while (at < text.size() && text[at] != ',') {
        if (text[at] == '"')
          return "a quote within the value of " + std::string(one.name);
        ++at;
      }
      one.value = text.substr(from, at - from);
      while (!one.value.empty() && one.value.back() == ' ')
        one.value.remove_suffix(1);
      if (one.value.empty())
        return "the attribute " + std::string(one.name) + " has no value";
    }
    into.all.push_back(one);
    if (at == text.size())
      return std::nullopt;
    if (text[at] != ',')
      return "expected a comma behind " + std::string(one.name);
    ++at;
  }
  return std::nullopt;
}

std::optional<std::string> check_attributes(const TagRule& rule, const Attributes& attributes) {
  for (const auto& known : rule.attributes) {
    const auto* found = attributes.find(known.name);
    if (!found) {
      if (known.required)
        return "the attribute " + std::string(known.name) + " is missing";
    } else if (!of_kind(known.kind, *found)) {
      return "the attribute " + std::string(known.name) + " is not of its type";
    }
  }
  return std::nullopt;
}

}  // namespace violettide::hls
