#include "hls/playlist.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstring>

namespace violettide::hls {

namespace {

Duration from_seconds(double s) { return Duration(std::llround(s * 1e6)); }

struct Line {
  TextRange range;         // with its line end
  std::string_view text;   // without its line end
  std::uint32_t from = 0;  // offset of `text`
};

// Thrown within the parsers; the offset becomes a line number at the end.
struct ParseFailure {
  std::size_t at;
  std::string cause;
};

// Splits a playlist into lines and checks each one.
class LineReader {
 public:
  LineReader(const std::string& text, const PlaylistLimits& limits) : text_(text), limits_(limits) {}
  bool next(Line& line) {
    if (at_ >= text_.size())
      return false;
    auto end = text_.find('\n', at_);
    const auto next_line = end == std::string::npos ? text_.size() : end + 1;
    if (end == std::string::npos)
      end = text_.size();
    if (end > at_ && text_[end - 1] == '\r')
      --end;
    line.range = {static_cast<std::uint32_t>(at_), static_cast<std::uint32_t>(next_line)};
    line.text = std::string_view(text_).substr(at_, end - at_);
    line.from = static_cast<std::uint32_t>(at_);
    if (line.text.size() > limits_.line)
      throw ParseFailure{at_, "longer than " + std::to_string(limits_.line) + " bytes"};
    // Guards against bytes that would corrupt any text a line is copied into (RFC 8216, 4.1).
    for (const char c : line.text) {
      if (static_cast<unsigned char>(c) < 0x20 && c != '\t')
        throw ParseFailure{at_, "contains a control character"};
    }
    at_ = next_line;
    return true;
  }
  std::size_t at() const { return at_; }
  void seek(std::size_t at) { at_ = at; }

 private:
  const std::string& text_;
  const PlaylistLimits& limits_;
  std::size_t at_ = 0;
};

// The tag of a line and its value.
struct ParsedTag {
  const TagRule* rule = nullptr;  // null for an unknown tag or a comment
  std::string_view value;
};

ParsedTag parse_tag(const Line& line) {
  if (!line.text.starts_with("#EXT"))
    return {};
  const auto rest = line.text.substr(4);
  const auto colon = rest.find(':');
  const auto* rule = find_tag_rule(rest.substr(0, colon));
  if (!rule)
    return {};
  ParsedTag parsed{rule, colon == std::string_view::npos ? std::string_view() : rest.substr(colon + 1)};
  if (rule->value_type == ValueType::none) {
    // A tag without a value that has one is a vendor's tag whose name only looks alike.
    if (colon != std::string_view::npos)
      return {};
  } else if (colon == std::string_view::npos) {
    throw ParseFailure{line.from, "#EXT" + std::string(rule->name) + " has no value"};
  }
  return parsed;
}

void check_value(const Line& line, const ParsedTag& tag, AttributeList& attributes) {
  const auto name = "#EXT" + std::string(tag.rule->name);
  switch (tag.rule->value_type) {
    case ValueType::attribute_list:
      if (const auto cause = parse_attributes(tag.value, attributes))
        throw ParseFailure{line.from, name + ": " + *cause};
      if (const auto cause = check_attributes(*tag.rule, attributes))
        throw ParseFailure{line.from, name + ": " + *cause};
      return;
    case ValueType::integer:
      if (!parse_integer(tag.value))
        throw ParseFailure{line.from, name + " requires an integer"};
      return;
    case ValueType::date_time:
      if (!parse_date_time(tag.value))
        throw ParseFailure{line.from, name + " requires an ISO 8601 date and time"};
      return;
    default:
      return;
  }
}

std::uint64_t integer_value(const ParsedTag& tag) { return *parse_integer(tag.value); }

// Collects the variables of EXT-X-DEFINE.
class VariableDefinitions {
 public:
  VariableDefinitions(Variables& variables, const Variables& external_variables, const PlaylistLimits& limits)
      : variables_(variables), external_variables_(external_variables), limits_(limits) {}
  void add(const Line& line, const AttributeList& attributes) {
    const auto add_variable = [&](std::string_view name, std::string value) {
      if (name.empty())
        throw ParseFailure{line.from, "#EXT-X-DEFINE: empty variable name"};
      if (variables_.size() >= limits_.variables)
        throw ParseFailure{line.from, "too many variables"};
      if (!variables_.emplace(std::string(name), std::move(value)).second)
        throw ParseFailure{line.from, "#EXT-X-DEFINE: variable " + std::string(name) + " is defined twice"};
    };
    const auto import_variable = [&](const char* kind) {
      const auto name = attributes.text(kind);
      const auto found = external_variables_.find(name);
      if (found == external_variables_.end())
        throw ParseFailure{
            line.from, "#EXT-X-DEFINE: variable " + std::string(name) + " is not available to this playlist"};
      add_variable(name, found->second);
    };
    if (attributes.find("NAME")) {
      if (!attributes.find("VALUE"))
        throw ParseFailure{line.from, "#EXT-X-DEFINE: NAME without VALUE"};
      add_variable(attributes.text("NAME"), std::string(attributes.text("VALUE")));
    } else if (attributes.find("IMPORT")) {
      import_variable("IMPORT");
    } else if (attributes.find("QUERYPARAM")) {
      import_variable("QUERYPARAM");
    } else {
      throw ParseFailure{line.from, "#EXT-X-DEFINE has none of NAME, IMPORT and QUERYPARAM"};
    }
  }

 private:
  Variables& variables_;
  const Variables& external_variables_;
  const PlaylistLimits& limits_;
};

TextRange range_of(const Line& line, std::string_view part) {
  const auto from = line.from + static_cast<std::uint32_t>(part.data() - line.text.data());
  return {from, from + static_cast<std::uint32_t>(part.size())};
}

void check_header(LineReader& lines, const std::string& text, const PlaylistLimits& limits) {
  if (text.size() > limits.bytes)
    throw ParseFailure{0, "playlist exceeds " + std::to_string(limits.bytes) + " bytes"};
  Line first;
  if (!lines.next(first) || first.text != "#EXTM3U")
    throw ParseFailure{0, "not a playlist: the first line is not #EXTM3U"};
}

PlaylistError to_error(const ParseFailure& failure, std::string_view text) {
  return error_at(text, failure.at, failure.cause);
}

// Compares whole blocks first, as successive versions of a playlist share long stretches.
std::uint32_t common_length(std::string_view a, std::string_view b) {
  constexpr std::size_t block = 4096;
  const auto most = std::min(a.size(), b.size());
  std::size_t at = 0;
  while (at + block <= most && std::memcmp(a.data() + at, b.data() + at, block) == 0)
    at += block;
  while (at < most && a[at] == b[at])
    ++at;
  return static_cast<std::uint32_t>(at);
}

class MediaPlaylistParser {
 public:
  MediaPlaylistParser(MediaPlaylist& media, const PlaylistLimits& limits, const Variables& external_variables,
                      const MediaPlaylist* previous)
      : media_(media),
        limits_(limits),
        previous_(previous),
        lines_(media.text, limits),
        definitions_(media.variables, external_variables, limits) {}

  void parse() {
    check_header(lines_, media_.text, limits_);
    media_.states.emplace_back();
    media_.segments.reserve(previous_ ? previous_->segments.size() + 4 : 0);
    segment_from_ = 0;
    Line line;
    while (lines_.next(line)) {
      parse_line(line);
      if (previous_ && media_.segments.size() == 1 && !tried_reuse_)
        reuse_previous();
    }
    if (!seen_tags_[static_cast<std::size_t>(Tag::target_duration)])
      throw ParseFailure{0, "#EXT-X-TARGETDURATION is missing"};
    if (has_duration_)
      throw ParseFailure{media_.text.size(), "#EXTINF without a segment URI"};
    const auto end = static_cast<std::uint32_t>(media_.text.size());
    if (media_.segments.empty())
      media_.head.to = in_segment_ ? segment_from_ : end;
    media_.tail = {media_.segments.empty() ? media_.head.to : media_.segments.back().lines.to, end};
  }

 private:
  void parse_line(const Line& line) {
    if (line.text.empty())
      return;
    if (line.text[0] != '#')
      return add_segment(line);
    const auto tag = parse_tag(line);
    if (!tag.rule)
      return;
    check_value(line, tag, attributes_);
    const auto& rule = *tag.rule;
    if (rule.placement == Placement::multivariant_playlist)
      throw ParseFailure{line.from, "#EXT" + std::string(rule.name) + " is not allowed in a media playlist"};
    auto& seen = seen_tags_[static_cast<std::size_t>(rule.tag)];
    if (rule.at_most_once && seen)
      throw ParseFailure{line.from, "#EXT" + std::string(rule.name) + " appears twice"};
    seen = true;
    if (rule.placement == Placement::segment) {
      begin_segment(line);
    } else if (in_segment_ && rule.tag != Tag::date_range && rule.tag != Tag::preload_hint &&
               rule.tag != Tag::rendition_report) {
      media_.misplaced_tags.push_back(line.range);
    }
    apply_tag(line, tag);
  }

  void begin_segment(const Line& line) {
    if (in_segment_)
      return;
    in_segment_ = true;
    segment_from_ = media_.segments.empty() ? line.range.from : media_.segments.back().lines.to;
    if (media_.segments.empty())
      media_.head = {0, segment_from_};
    segment_.state_before = segment_.state = static_cast<std::uint32_t>(state_);
  }

  void apply_tag(const Line& line, const ParsedTag& tag) {
    switch (tag.rule->tag) {
      case Tag::version:
        media_.version = integer_value(tag);
        return;
      case Tag::define:
        return definitions_.add(line, attributes_);
      case Tag::target_duration:
        if (integer_value(tag) == 0 || integer_value(tag) > 86'400)
          throw ParseFailure{line.from, "#EXT-X-TARGETDURATION must be 1 to 86400 seconds"};
        media_.target_duration = std::chrono::seconds(integer_value(tag));
        return;
      case Tag::media_sequence:
      case Tag::discontinuity_sequence:
        if (!media_.segments.empty())
          throw ParseFailure{line.from, "#EXT" + std::string(tag.rule->name) + " after the first segment"};
        // Guards against overflow as the sequence number grows.
        if (integer_value(tag) >> 53)
          throw ParseFailure{line.from, "#EXT" + std::string(tag.rule->name) + " is too large"};
        (tag.rule->tag == Tag::media_sequence ? media_.media_sequence : media_.discontinuity_sequence) =
            integer_value(tag);
        return;
      case Tag::playlist_type:
        if (tag.value != "VOD" && tag.value != "EVENT")
          throw ParseFailure{line.from, "#EXT-X-PLAYLIST-TYPE must be VOD or EVENT"};
        media_.type = tag.value;
        return;
      case Tag::i_frames_only:
        media_.i_frames_only = true;
        return;
      case Tag::independent_segments:
        media_.independent_segments = true;
        return;
      case Tag::end_list:
        media_.ended = true;
        return;
      case Tag::part_inf:
        media_.part_target = from_seconds(*attributes_.decimal("PART-TARGET"));
        return;
      case Tag::server_control: {
        const auto seconds_attribute = [&](const char* name) -> std::optional<Duration> {
          const auto value = attributes_.decimal(name);
          return value ? std::optional(from_seconds(*value)) : std::nullopt;
        };
        media_.skip_until = seconds_attribute("CAN-SKIP-UNTIL");
        media_.hold_back = seconds_attribute("HOLD-BACK");
        media_.part_hold_back = seconds_attribute("PART-HOLD-BACK");
        media_.can_block_reload = attributes_.text("CAN-BLOCK-RELOAD") == "YES";
        return;
      }
      case Tag::skip:
        throw ParseFailure{line.from, "unrequested delta update"};
      case Tag::inf: {
        if (has_duration_)
          throw ParseFailure{line.from, "two #EXTINF for one segment"};
        const auto comma = tag.value.find(',');
        const auto number = parse_decimal(tag.value.substr(0, comma));
        if (!number || *number < 0 || *number > 86'400)
          throw ParseFailure{line.from, "#EXTINF requires a duration in seconds"};
        segment_.duration = from_seconds(*number);
        has_duration_ = true;
        return;
      }
      case Tag::byte_range: {
        const auto at_sign = tag.value.find('@');
        const auto length = parse_integer(tag.value.substr(0, at_sign));
        const auto offset = at_sign == std::string_view::npos ? std::optional<std::uint64_t>(no_offset)
                                                              : parse_integer(tag.value.substr(at_sign + 1));
        if (!length || !offset)
          throw ParseFailure{line.from, "#EXT-X-BYTERANGE requires length[@offset]"};
        segment_.byte_range_length = *length;
        segment_.byte_range_offset = *offset;
        has_byte_range_ = true;
        return;
      }
      case Tag::discontinuity:
        segment_.discontinuity = true;
        return;
      case Tag::gap:
        segment_.gap = true;
        return;
      case Tag::program_date_time:
        segment_.date_time_us = *parse_date_time(tag.value);
        segment_.has_own_date_time = true;
        return;
      case Tag::key:
      case Tag::map:
      case Tag::bitrate:
        record_uri(line, tag.rule->tag);
        return update_state(line, tag);
      case Tag::part:
      case Tag::preload_hint:
      case Tag::rendition_report:
        return record_uri(line, tag.rule->tag);
      default:
        return;
    }
  }

  void record_uri(const Line& line, Tag tag) {
    const auto* uri = attributes_.find("URI");
    if (!uri || tag == Tag::bitrate)
      return;
    const UriReference at{range_of(line, uri->value), tag};
    media_.attribute_uris.push_back(at);
    if (!is_plain_file_name(uri->value))
      media_.non_plain_uris.push_back(at);
  }

  void update_state(const Line& line, const ParsedTag& tag) {
    auto next = media_.states[state_];
    if (tag.rule->tag == Tag::map) {
      next.map = line.text;
    } else if (tag.rule->tag == Tag::bitrate) {
      next.bitrate = line.text;
    } else {
      // A key replaces one of the same KEYFORMAT; METHOD=NONE removes all (RFC 8216, 4.3.2.4).
      const auto method = attributes_.text("METHOD");
      const auto format = [&](std::string_view text) {
        AttributeList other;
        parse_attributes(text.substr(text.find(':') + 1), other);
        const auto said = other.text("KEYFORMAT");
        return std::string(said.empty() ? "identity" : said);
      };
      if (method == "NONE") {
        next.keys.clear();
      } else {
        if (!attributes_.find("URI"))
          throw ParseFailure{line.from, "#EXT-X-KEY has no URI"};
        const auto own = format(line.text);
        std::erase_if(next.keys, [&](const auto& key) { return format(key) == own; });
        next.keys.emplace_back(line.text);
      }
      next.implicit_iv = std::any_of(next.keys.begin(), next.keys.end(), [](const std::string& key) {
        return key.find("METHOD=AES-128") != std::string::npos && key.find("IV=") == std::string::npos;
      });
    }
    if (!(next == media_.states[state_])) {
      media_.states.push_back(std::move(next));
      state_ = media_.states.size() - 1;
    }
    segment_.state = static_cast<std::uint32_t>(state_);
  }

  void add_segment(const Line& line) {
    if (!has_duration_)
      throw ParseFailure{line.from, "URI without #EXTINF"};
    if (media_.segments.size() >= limits_.segments)
      throw ParseFailure{line.from, "more than " + std::to_string(limits_.segments) + " segments"};
    auto text = line.text;
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
      text.remove_suffix(1);
    segment_.lines = {segment_from_, line.range.to};
    segment_.uri = range_of(line, text);
    const Segment* last = media_.segments.empty() ? nullptr : &media_.segments.back();
    if (segment_.date_time_us == no_date_time && last && last->date_time_us != no_date_time &&
        !segment_.discontinuity)
      segment_.date_time_us = last->date_time_us + last->duration.count();
    if (has_byte_range_ && segment_.byte_range_offset == no_offset) {
      // The range starts where the previous one of the same resource ended (RFC 8216, 4.3.2.2).
      if (!last || last->byte_range_offset == no_offset || last->uri.view_in(media_.text) != text)
        throw ParseFailure{line.from,
                           "#EXT-X-BYTERANGE without an offset does not follow a range of the same resource"};
      segment_.byte_range_offset = last->byte_range_offset + last->byte_range_length;
    }
    if (!is_plain_file_name(text))
      media_.non_plain_uris.push_back({segment_.uri, Tag::inf});
    media_.segments.push_back(segment_);
    segment_ = Segment{};
    in_segment_ = has_duration_ = has_byte_range_ = false;
  }

  // Copies the segments of the previous playlist that follow the same first segment byte for byte.
  void reuse_previous() {
    tried_reuse_ = true;
    const auto& old = *previous_;
    const auto& first = media_.segments[0];
    if (media_.media_sequence < old.media_sequence)
      return;
    const auto skipped = media_.media_sequence - old.media_sequence;
    if (skipped >= old.segments.size() || !(media_.variables == old.variables))
      return;
    const auto& match = old.segments[skipped];
    if (match.uri.view_in(old.text) != first.uri.view_in(media_.text) ||
        match.date_time_us != first.date_time_us || match.byte_range_offset != first.byte_range_offset ||
        match.byte_range_length != first.byte_range_length || match.duration != first.duration ||
        !(old.states[match.state] == media_.states[first.state]))
      return;
    const auto now_text = std::string_view(media_.text).substr(first.lines.to);
    const auto old_text = std::string_view(old.text).substr(match.lines.to);
    const auto common = common_length(now_text, old_text);
    const auto shift = static_cast<std::int64_t>(first.lines.to) - static_cast<std::int64_t>(match.lines.to);
    const auto shifted = [&](TextRange range) {
      return TextRange{static_cast<std::uint32_t>(range.from + shift),
                       static_cast<std::uint32_t>(range.to + shift)};
    };
    const auto common_end = match.lines.to + common;
    auto last = skipped + 1;
    while (last < old.segments.size() && old.segments[last].lines.to <= common_end)
      ++last;
    if (last == skipped + 1)
      return;
    // Playlist-wide tags between segments affect the whole playlist, so that it is parsed in full.
    if (!old.misplaced_tags.empty())
      return;
    // Guards against `states` growing without bound where keys change with every segment.
    if (old.states.size() > 2 * old.segments.size() + 16)
      return;
    const TextRange reused_range{match.lines.to, old.segments[last - 1].lines.to};
    media_.states = old.states;
    media_.segments[0].state = match.state;
    for (auto i = skipped + 1; i < last; ++i) {
      auto segment = old.segments[i];
      segment.lines = shifted(segment.lines);
      segment.uri = shifted(segment.uri);
      media_.segments.push_back(segment);
    }
    const auto copy_uris = [&](const std::vector<UriReference>& from, std::vector<UriReference>& to) {
      for (auto it =
               std::lower_bound(from.begin(), from.end(), reused_range.from,
                                [](const UriReference&uri, std::uint32_t at) { return uri.range.from < at; });
           it != from.end() && it->range.to <= reused_range.to; ++it)
        to.push_back({shifted(it->range), it->tag});
    };
    copy_uris(old.non_plain_uris, media_.non_plain_uris);
    copy_uris(old.attribute_uris, media_.attribute_uris);
    media_.reused_segments = last - skipped - 1;
    state_ = media_.segments.back().state;
    lines_.seek(media_.segments.back().lines.to);
  }

  MediaPlaylist& media_;
  const PlaylistLimits& limits_;
  const MediaPlaylist* previous_;
  LineReader lines_;
  VariableDefinitions definitions_;
  AttributeList attributes_;
  Segment segment_;
  bool in_segment_ = false;
  bool has_duration_ = false;
  bool has_byte_range_ = false;
  bool tried_reuse_ = false;
  std::uint32_t segment_from_ = 0;
  std::size_t state_ = 0;  // index into `states` of the tags in effect
  std::array<bool, static_cast<std::size_t>(Tag::unknown)> seen_tags_{};
};

}  // namespace

PlaylistError error_at(std::string_view text, std::size_t at, std::string cause) {
  const auto before = text.substr(0, at);
  return {static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n')) + 1, std::move(cause)};
}

Duration MediaPlaylist::duration() const {
  Duration sum{0};
  for (const auto& segment : segments)
    sum += segment.duration;
  return sum;
}

std::variant<MediaPlaylist, PlaylistError> parse_media_playlist(std::string text,
                                                                const PlaylistLimits& limits,
                                                                const Variables& external_variables,
                                                                const MediaPlaylist* previous) {
  MediaPlaylist media;
  media.text = std::move(text);
  try {
    MediaPlaylistParser(media, limits, external_variables, previous).parse();
  } catch (const ParseFailure& failure) {
    return to_error(failure, media.text);
  }
  return media;
}

bool looks_like_multivariant(std::string_view text) {
  return text.find("\n#EXT-X-STREAM-INF:") != std::string_view::npos ||
         text.find("\n#EXT-X-MEDIA:") != std::string_view::npos ||
         text.find("\n#EXT-X-I-FRAME-STREAM-INF:") != std::string_view::npos;
}

std::variant<MultivariantPlaylist, PlaylistError> parse_multivariant_playlist(
    std::string text, const PlaylistLimits& limits, const Variables& external_variables) {
  MultivariantPlaylist playlist;
  playlist.text = std::move(text);
  try {
    LineReader lines(playlist.text, limits);
    check_header(lines, playlist.text, limits);
    playlist.insertion_point = {static_cast<std::uint32_t>(lines.at()),
                                static_cast<std::uint32_t>(lines.at())};
    VariableDefinitions definitions(playlist.variables, external_variables, limits);
    AttributeList attributes;
    std::optional<Variant> pending_variant;
    std::array<bool, static_cast<std::size_t>(Tag::unknown)> seen_tags{};
    Line line;
    while (lines.next(line)) {
      if (line.text.empty())
        continue;
      if (line.text[0] != '#') {
        if (!pending_variant)
          throw ParseFailure{line.from, "URI without #EXT-X-STREAM-INF"};
        auto uri = line.text;
        while (!uri.empty() && (uri.back() == ' ' || uri.back() == '\t'))
          uri.remove_suffix(1);
        pending_variant->uri = range_of(line, uri);
        pending_variant->lines.to = line.range.to;
        playlist.variants.push_back(std::move(*pending_variant));
        pending_variant.reset();
        continue;
      }
      const auto tag = parse_tag(line);
      if (!tag.rule)
        continue;
      check_value(line, tag, attributes);
      const auto& rule = *tag.rule;
      const auto name = "#EXT" + std::string(rule.name);
      if (rule.placement == Placement::media_playlist || rule.placement == Placement::segment)
        throw ParseFailure{line.from, name + " is not allowed in a multivariant playlist"};
      auto& seen = seen_tags[static_cast<std::size_t>(rule.tag)];
      if (rule.at_most_once && seen)
        throw ParseFailure{line.from, name + " appears twice"};
      seen = true;
      if (pending_variant)
        throw ParseFailure{line.from, "#EXT-X-STREAM-INF is not followed by a URI"};
      const auto text_of = [&](const char* attribute) { return std::string(attributes.text(attribute)); };
      const auto uri_of = [&]() {
        const auto* uri = attributes.find("URI");
        return uri ? range_of(line, uri->value) : TextRange{};
      };
      const auto line_range = line.range;
      switch (rule.tag) {
        case Tag::version:
          playlist.version = integer_value(tag);
          break;
        case Tag::define:
          definitions.add(line, attributes);
          break;
        case Tag::stream_inf: {
          if (playlist.variants.size() >= limits.variants)
            throw ParseFailure{line.from, "too many variants"};
          Variant variant;
          variant.lines = line_range;
          variant.bandwidth = *attributes.integer("BANDWIDTH");
          variant.average_bandwidth = attributes.integer("AVERAGE-BANDWIDTH").value_or(0);
          variant.resolution = attributes.resolution("RESOLUTION");
          variant.codecs = text_of("CODECS");
          variant.audio = text_of("AUDIO");
          variant.video = text_of("VIDEO");
          variant.subtitles = text_of("SUBTITLES");
          if (const auto* captions = attributes.find("CLOSED-CAPTIONS"); captions && captions->quoted)
            variant.closed_captions = captions->value;
          variant.pathway = text_of("PATHWAY-ID");
          pending_variant = std::move(variant);
          break;
        }
        case Tag::i_frame_stream_inf:
          if (playlist.i_frames.size() >= limits.variants)
            throw ParseFailure{line.from, "too many variants"};
          playlist.i_frames.push_back({line_range, uri_of(), *attributes.integer("BANDWIDTH"),
                                       text_of("VIDEO"), text_of("PATHWAY-ID")});
          break;
        case Tag::media:
          if (playlist.renditions.size() >= limits.variants)
            throw ParseFailure{line.from, "too many renditions"};
          playlist.renditions.push_back({line_range, uri_of(), text_of("TYPE"), text_of("GROUP-ID"),
                                         text_of("NAME"), text_of("LANGUAGE")});
          if (attributes.text("TYPE") == "SUBTITLES" && !attributes.find("URI"))
            throw ParseFailure{line.from, "#EXT-X-MEDIA: subtitles without a URI"};
          break;
        case Tag::session_data:
        case Tag::session_key:
          if (attributes.find("URI"))
            playlist.session_uris.push_back({uri_of(), rule.tag});
          break;
        case Tag::content_steering:
          playlist.content_steering = line_range;
          playlist.initial_pathway = text_of("PATHWAY-ID");
          break;
        default:
          break;
      }
      if (rule.placement == Placement::anywhere && playlist.variants.empty())
        playlist.insertion_point = {line.range.to, line.range.to};
    }
    if (pending_variant)
      throw ParseFailure{playlist.text.size(), "#EXT-X-STREAM-INF is not followed by a URI"};
    if (playlist.variants.empty())
      throw ParseFailure{0, "multivariant playlist without variants"};
    for (const auto& variant : playlist.variants) {
      const auto lacks = [&](const std::string& group, const char* type) {
        return !group.empty() && std::none_of(playlist.renditions.begin(), playlist.renditions.end(),
                                              [&](auto& r) { return r.group == group && r.type == type; });
      };
      if (lacks(variant.audio, "AUDIO") || lacks(variant.video, "VIDEO") ||
          lacks(variant.subtitles, "SUBTITLES") || lacks(variant.closed_captions, "CLOSED-CAPTIONS"))
        throw ParseFailure{variant.lines.from,
                           "#EXT-X-STREAM-INF refers to a rendition group that no #EXT-X-MEDIA defines"};
    }
  } catch (const ParseFailure& failure) {
    return to_error(failure, playlist.text);
  }
  return playlist;
}

}  // namespace violettide::hls
