#include "hls/playlist.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstring>

namespace violettide::hls {

namespace {

Duration span_of(double s) { return Duration(std::llround(s * 1e6)); }

struct Line {
  Range whole;             // with its end
  std::string_view text;   // without
  std::uint32_t from = 0;  // of the text
};

// Where a fault is met; told with its line at the end.
struct Met {
  std::size_t at;
  std::string cause;
};

class Lines {
 public:
  Lines(const std::string& text, const Limits& limits) : text_(text), limits_(limits) {}
  bool next(Line& line) {
    if (at_ >= text_.size())
      return false;
    auto end = text_.find('\n', at_);
    const auto whole_end = end == std::string::npos ? text_.size() : end + 1;
    if (end == std::string::npos)
      end = text_.size();
    if (end > at_ && text_[end - 1] == '\r')
      --end;
    line.whole = {static_cast<std::uint32_t>(at_), static_cast<std::uint32_t>(whole_end)};
    line.text = std::string_view(text_).substr(at_, end - at_);
    line.from = static_cast<std::uint32_t>(at_);
    if (line.text.size() > limits_.line)
      throw Met{at_, "a line of more than " + std::to_string(limits_.line) + " bytes"};
    // Guards against bytes that break the text of whatever it is put into (RFC 8216, 4.1).
    for (const char c : line.text) {
      if (static_cast<unsigned char>(c) < 0x20 && c != '\t')
        throw Met{at_, "a control character"};
    }
    at_ = whole_end;
    return true;
  }
  std::size_t at() const { return at_; }
  void go_to(std::size_t at) { at_ = at; }

 private:
  const std::string& text_;
  const Limits& limits_;
  std::size_t at_ = 0;
};

// The tag of a line, its value, and its attributes where it has such.
struct Read {
  const TagRule* rule = nullptr;  // null: unknown, or a comment
  std::string_view value;
};

Read tag_of(const Line& line) {
  if (!line.text.starts_with("#EXT"))
    return {};
  const auto rest = line.text.substr(4);
  const auto colon = rest.find(':');
  const auto* rule = rule_of(rest.substr(0, colon));
  if (!rule)
    return {};
  Read read{rule, colon == std::string_view::npos ? std::string_view() : rest.substr(colon + 1)};
  if (rule->takes == Takes::nothing) {
    // A tag that takes nothing and has something is another's tag of a like name.
    if (colon != std::string_view::npos)
      return {};
  } else if (colon == std::string_view::npos) {
    throw Met{line.from, "#EXT" + std::string(rule->name) + " lacks its value"};
  }
  return read;
}

void check_value(const Line& line, const Read& read, Attributes& attributes) {
  const auto name = "#EXT" + std::string(read.rule->name);
  switch (read.rule->takes) {
    case Takes::attributes:
      if (const auto cause = read_attributes(read.value, attributes))
        throw Met{line.from, name + ": " + *cause};
      if (const auto cause = check_attributes(*read.rule, attributes))
        throw Met{line.from, name + ": " + *cause};
      return;
    case Takes::whole:
      if (!read_whole(read.value))
        throw Met{line.from, name + " takes a whole number"};
      return;
    case Takes::date:
      if (!read_date(read.value))
        throw Met{line.from, name + " takes a date and time by ISO 8601"};
      return;
    default:
      return;
  }
}

std::uint64_t whole_of(const Read& read) { return *read_whole(read.value); }

class Defines {
 public:
  Defines(Variables& variables, const Variables& given, const Limits& limits)
      : variables_(variables), given_(given), limits_(limits) {}
  void take(const Line& line, const Attributes& attributes) {
    const auto add = [&](std::string_view name, std::string value) {
      if (name.empty())
        throw Met{line.from, "#EXT-X-DEFINE: an empty name"};
      if (variables_.size() >= limits_.variables)
        throw Met{line.from, "too many variables"};
      if (!variables_.emplace(std::string(name), std::move(value)).second)
        throw Met{line.from, "#EXT-X-DEFINE: " + std::string(name) + " twice"};
    };
    const auto from_outside = [&](const char* kind) {
      const auto name = attributes.text(kind);
      const auto found = given_.find(name);
      if (found == given_.end())
        throw Met{line.from, "#EXT-X-DEFINE: " + std::string(name) + " is not given to this playlist"};
      add(name, found->second);
    };
    if (attributes.find("NAME")) {
      if (!attributes.find("VALUE"))
        throw Met{line.from, "#EXT-X-DEFINE: NAME without VALUE"};
      add(attributes.text("NAME"), std::string(attributes.text("VALUE")));
    } else if (attributes.find("IMPORT")) {
      from_outside("IMPORT");
    } else if (attributes.find("QUERYPARAM")) {
      from_outside("QUERYPARAM");
    } else {
      throw Met{line.from, "#EXT-X-DEFINE: neither NAME, IMPORT nor QUERYPARAM"};
    }
  }

 private:
  Variables& variables_;
  const Variables& given_;
  const Limits& limits_;
};

Range range_in(const Line& line, std::string_view part) {
  const auto from = line.from + static_cast<std::uint32_t>(part.data() - line.text.data());
  return {from, from + static_cast<std::uint32_t>(part.size())};
}

void begin(Lines& lines, const std::string& text, const Limits& limits) {
  if (text.size() > limits.bytes)
    throw Met{0, "a playlist of more than " + std::to_string(limits.bytes) + " bytes"};
  Line first;
  if (!lines.next(first) || first.text != "#EXTM3U")
    throw Met{0, "no playlist: it does not begin with #EXTM3U"};
}

Fault fault_of(const Met& met, std::string_view text) { return fault_at(text, met.at, met.cause); }

// By blocks first: where lists agree, they agree for long.
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

class MediaReader {
 public:
  MediaReader(Media& media, const Limits& limits, const Variables& given, const Media* before)
      : media_(media),
        limits_(limits),
        before_(before),
        lines_(media.text, limits),
        defines_(media.variables, given, limits) {}

  void read() {
    begin(lines_, media_.text, limits_);
    media_.states.emplace_back();
    media_.segments.reserve(before_ ? before_->segments.size() + 4 : 0);
    span_from_ = 0;
    Line line;
    while (lines_.next(line)) {
      take(line);
      if (before_ && media_.segments.size() == 1 && !tried_)
        take_over();
    }
    if (!saw_[static_cast<std::size_t>(Tag::target_duration)])
      throw Met{0, "#EXT-X-TARGETDURATION is missing"};
    if (has_duration_)
      throw Met{media_.text.size(), "#EXTINF without the URI of its segment"};
    const auto end = static_cast<std::uint32_t>(media_.text.size());
    if (media_.segments.empty())
      media_.head.to = in_span_ ? span_from_ : end;
    media_.tail = {media_.segments.empty() ? media_.head.to : media_.segments.back().lines.to, end};
  }

 private:
  void take(const Line& line) {
    if (line.text.empty())
      return;
    if (line.text[0] != '#')
      return take_uri(line);
    const auto read = tag_of(line);
    if (!read.rule)
      return;
    check_value(line, read, attributes_);
    const auto& rule = *read.rule;
    if (rule.stands == Stands::in_multivariant)
      throw Met{line.from, "#EXT" + std::string(rule.name) + " in a media playlist"};
    auto& saw = saw_[static_cast<std::size_t>(rule.tag)];
    if (rule.once && saw)
      throw Met{line.from, "#EXT" + std::string(rule.name) + " twice"};
    saw = true;
    if (rule.stands == Stands::at_segment) {
      begin_span(line);
    } else if (in_span_ && rule.tag != Tag::date_range && rule.tag != Tag::preload_hint &&
               rule.tag != Tag::rendition_report) {
      media_.strays.push_back(line.whole);
    }
    take_tag(line, read);
  }

  void begin_span(const Line& line) {
    if (in_span_)
      return;
    in_span_ = true;
    span_from_ = media_.segments.empty() ? line.whole.from : media_.segments.back().lines.to;
    if (media_.segments.empty())
      media_.head = {0, span_from_};
    now_.before = now_.state = static_cast<std::uint32_t>(state_);
  }

  void take_tag(const Line& line, const Read& read) {
    switch (read.rule->tag) {
      case Tag::version:
        media_.version = whole_of(read);
        return;
      case Tag::define:
        return defines_.take(line, attributes_);
      case Tag::target_duration:
        if (whole_of(read) == 0 || whole_of(read) > 86'400)
          throw Met{line.from, "#EXT-X-TARGETDURATION takes 1 to 86400 seconds"};
        media_.target = std::chrono::seconds(whole_of(read));
        return;
      case Tag::media_sequence:
      case Tag::discontinuity_sequence:
        if (!media_.segments.empty())
          throw Met{line.from, "#EXT" + std::string(read.rule->name) + " behind the first segment"};
        // Guards against numbers that would run over when the list goes on.
        if (whole_of(read) >> 53)
          throw Met{line.from, "#EXT" + std::string(read.rule->name) + " is too large"};
        (read.rule->tag == Tag::media_sequence ? media_.media_sequence : media_.discontinuity_sequence) =
            whole_of(read);
        return;
      case Tag::playlist_type:
        if (read.value != "VOD" && read.value != "EVENT")
          throw Met{line.from, "#EXT-X-PLAYLIST-TYPE takes VOD or EVENT"};
        media_.type = read.value;
        return;
      case Tag::i_frames_only:
        media_.i_frames_only = true;
        return;
      case Tag::independent_segments:
        media_.independent = true;
        return;
      case Tag::end_list:
        media_.ended = true;
        return;
      case Tag::part_inf:
        media_.part_target = span_of(*attributes_.number("PART-TARGET"));
        return;
      case Tag::server_control: {
        const auto spanned = [&](const char* name) -> std::optional<Duration> {
          const auto value = attributes_.number(name);
          return value ? std::optional(span_of(*value)) : std::nullopt;
        };
        media_.skip_until = spanned("CAN-SKIP-UNTIL");
        media_.hold_back = spanned("HOLD-BACK");
        media_.part_hold_back = spanned("PART-HOLD-BACK");
        media_.blocks_reload = attributes_.text("CAN-BLOCK-RELOAD") == "YES";
        return;
      }
      case Tag::skip:
        throw Met{line.from, "a delta update that nobody asked for"};
      case Tag::inf: {
        if (has_duration_)
          throw Met{line.from, "two #EXTINF for one segment"};
        const auto comma = read.value.find(',');
        const auto number = read_number(read.value.substr(0, comma));
        if (!number || *number < 0 || *number > 86'400)
          throw Met{line.from, "#EXTINF takes a duration in seconds"};
        now_.duration = span_of(*number);
        has_duration_ = true;
        return;
      }
      case Tag::byte_range: {
        const auto at = read.value.find('@');
        const auto length = read_whole(read.value.substr(0, at));
        const auto offset = at == std::string_view::npos ? std::optional<std::uint64_t>(no_offset)
                                                         : read_whole(read.value.substr(at + 1));
        if (!length || !offset)
          throw Met{line.from, "#EXT-X-BYTERANGE takes length[@offset]"};
        now_.range_length = *length;
        now_.range_offset = *offset;
        ranged_ = true;
        return;
      }
      case Tag::discontinuity:
        now_.discontinuity = true;
        return;
      case Tag::gap:
        now_.gap = true;
        return;
      case Tag::program_date_time:
        now_.wall = *read_date(read.value);
        now_.own_wall = true;
        return;
      case Tag::key:
      case Tag::map:
      case Tag::bitrate:
        note_uri(line, read.rule->tag);
        return change_state(line, read);
      case Tag::part:
      case Tag::preload_hint:
      case Tag::rendition_report:
        return note_uri(line, read.rule->tag);
      default:
        return;
    }
  }

  void note_uri(const Line& line, Tag tag) {
    const auto* uri = attributes_.find("URI");
    if (!uri || tag == Tag::bitrate)
      return;
    const UriAt at{range_in(line, uri->value), tag};
    media_.attribute_uris.push_back(at);
    if (!plain_name(uri->value))
      media_.uris.push_back(at);
  }

  void change_state(const Line& line, const Read& read) {
    auto next = media_.states[state_];
    if (read.rule->tag == Tag::map) {
      next.map = line.text;
    } else if (read.rule->tag == Tag::bitrate) {
      next.bitrate = line.text;
    } else {
      // Keys of one format replace each other; METHOD=NONE ends all (RFC 8216, 4.3.2.4).
      const auto method = attributes_.text("METHOD");
      const auto format = [&](std::string_view text) {
        Attributes other;
        read_attributes(text.substr(text.find(':') + 1), other);
        const auto said = other.text("KEYFORMAT");
        return std::string(said.empty() ? "identity" : said);
      };
      if (method == "NONE") {
        next.keys.clear();
      } else {
        if (!attributes_.find("URI"))
          throw Met{line.from, "#EXT-X-KEY lacks its URI"};
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
    now_.state = static_cast<std::uint32_t>(state_);
  }

  void take_uri(const Line& line) {
    if (!has_duration_)
      throw Met{line.from, "a URI without #EXTINF"};
    if (media_.segments.size() >= limits_.segments)
      throw Met{line.from, "more than " + std::to_string(limits_.segments) + " segments"};
    auto text = line.text;
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
      text.remove_suffix(1);
    now_.lines = {span_from_, line.whole.to};
    now_.uri = range_in(line, text);
    const Segment* last = media_.segments.empty() ? nullptr : &media_.segments.back();
    if (now_.wall == no_wall && last && last->wall != no_wall && !now_.discontinuity)
      now_.wall = last->wall + last->duration.count();
    if (ranged_ && now_.range_offset == no_offset) {
      // Goes on where the range before ended, in the same resource (RFC 8216, 4.3.2.2).
      if (!last || last->range_offset == no_offset || last->uri.of(media_.text) != text)
        throw Met{line.from, "#EXT-X-BYTERANGE without an offset follows no range of the same resource"};
      now_.range_offset = last->range_offset + last->range_length;
    }
    if (!plain_name(text))
      media_.uris.push_back({now_.uri, Tag::inf});
    media_.segments.push_back(now_);
    now_ = Segment{};
    in_span_ = has_duration_ = ranged_ = false;
  }

  // What the playlist read before has behind the same first segment, byte for byte, is what it was.
  void take_over() {
    tried_ = true;
    const auto& old = *before_;
    const auto& first = media_.segments[0];
    if (media_.media_sequence < old.media_sequence)
      return;
    const auto skipped = media_.media_sequence - old.media_sequence;
    if (skipped >= old.segments.size() || !(media_.variables == old.variables))
      return;
    const auto& same = old.segments[skipped];
    if (same.uri.of(old.text) != first.uri.of(media_.text) || same.wall != first.wall ||
        same.range_offset != first.range_offset || same.range_length != first.range_length ||
        same.duration != first.duration || !(old.states[same.state] == media_.states[first.state]))
      return;
    const auto now_text = std::string_view(media_.text).substr(first.lines.to);
    const auto old_text = std::string_view(old.text).substr(same.lines.to);
    const auto common = common_length(now_text, old_text);
    const auto shift = static_cast<std::int64_t>(first.lines.to) - static_cast<std::int64_t>(same.lines.to);
    const auto moved = [&](Range range) {
      return Range{static_cast<std::uint32_t>(range.from + shift),
                   static_cast<std::uint32_t>(range.to + shift)};
    };
    const auto upto = same.lines.to + common;
    auto last = skipped + 1;
    while (last < old.segments.size() && old.segments[last].lines.to <= upto)
      ++last;
    if (last == skipped + 1)
      return;
    // A playlist's tag among segments is read anew, as it may hold for the whole.
    if (!old.strays.empty())
      return;
    // Guards against states gathering for ever where keys change with every segment.
    if (old.states.size() > 2 * old.segments.size() + 16)
      return;
    const Range of_old{same.lines.to, old.segments[last - 1].lines.to};
    media_.states = old.states;
    media_.segments[0].state = same.state;
    for (auto i = skipped + 1; i < last; ++i) {
      auto segment = old.segments[i];
      segment.lines = moved(segment.lines);
      segment.uri = moved(segment.uri);
      media_.segments.push_back(segment);
    }
    const auto take_uris = [&](const std::vector<UriAt>& from, std::vector<UriAt>& to) {
      for (auto it = std::lower_bound(from.begin(), from.end(), of_old.from,
                                      [](const UriAt&uri, std::uint32_t at) { return uri.at.from < at; });
           it != from.end() && it->at.to <= of_old.to; ++it)
        to.push_back({moved(it->at), it->of});
    };
    take_uris(old.uris, media_.uris);
    take_uris(old.attribute_uris, media_.attribute_uris);
    media_.taken_over = last - skipped - 1;
    state_ = media_.segments.back().state;
    lines_.go_to(media_.segments.back().lines.to);
  }

  Media& media_;
  const Limits& limits_;
  const Media* before_;
  Lines lines_;
  Defines defines_;
  Attributes attributes_;
  Segment now_;
  bool in_span_ = false, has_duration_ = false, ranged_ = false, tried_ = false;
  std::uint32_t span_from_ = 0;
  std::size_t state_ = 0;
  std::array<bool, static_cast<std::size_t>(Tag::unknown)> saw_{};
};

}  // namespace

Fault fault_at(std::string_view text, std::size_t at, std::string cause) {
  const auto before = text.substr(0, at);
  return {static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n')) + 1, std::move(cause)};
}

Duration Media::length() const {
  Duration sum{0};
  for (const auto& segment : segments)
    sum += segment.duration;
  return sum;
}

std::variant<Media, Fault> read_media(std::string text, const Limits& limits, const Variables& given,
                                      const Media* before) {
  Media media;
  media.text = std::move(text);
  try {
    MediaReader(media, limits, given, before).read();
  } catch (const Met& met) {
    return fault_of(met, media.text);
  }
  return media;
}

bool looks_multivariant(std::string_view text) {
  return text.find("\n#EXT-X-STREAM-INF:") != std::string_view::npos ||
         text.find("\n#EXT-X-MEDIA:") != std::string_view::npos ||
         text.find("\n#EXT-X-I-FRAME-STREAM-INF:") != std::string_view::npos;
}

std::variant<Multivariant, Fault> read_multivariant(std::string text, const Limits& limits,
                                                    const Variables& given) {
  Multivariant made;
  made.text = std::move(text);
  try {
    Lines lines(made.text, limits);
    begin(lines, made.text, limits);
    made.definitions_end = {static_cast<std::uint32_t>(lines.at()), static_cast<std::uint32_t>(lines.at())};
    Defines defines(made.variables, given, limits);
    Attributes attributes;
    std::optional<Variant> waits;
    std::array<bool, static_cast<std::size_t>(Tag::unknown)> saw{};
    Line line;
    while (lines.next(line)) {
      if (line.text.empty())
        continue;
      if (line.text[0] != '#') {
        if (!waits)
          throw Met{line.from, "a URI without #EXT-X-STREAM-INF"};
        auto uri = line.text;
        while (!uri.empty() && (uri.back() == ' ' || uri.back() == '\t'))
          uri.remove_suffix(1);
        waits->uri = range_in(line, uri);
        waits->lines.to = line.whole.to;
        made.variants.push_back(std::move(*waits));
        waits.reset();
        continue;
      }
      const auto read = tag_of(line);
      if (!read.rule)
        continue;
      check_value(line, read, attributes);
      const auto& rule = *read.rule;
      const auto name = "#EXT" + std::string(rule.name);
      if (rule.stands == Stands::in_media || rule.stands == Stands::at_segment)
        throw Met{line.from, name + " in a multivariant playlist"};
      auto& seen = saw[static_cast<std::size_t>(rule.tag)];
      if (rule.once && seen)
        throw Met{line.from, name + " twice"};
      seen = true;
      if (waits)
        throw Met{line.from, "#EXT-X-STREAM-INF without its URI behind it"};
      const auto text_of = [&](const char* attribute) { return std::string(attributes.text(attribute)); };
      const auto uri_of = [&]() {
        const auto* uri = attributes.find("URI");
        return uri ? range_in(line, uri->value) : Range{};
      };
      const auto whole_line = line.whole;
      switch (rule.tag) {
        case Tag::version:
          made.version = whole_of(read);
          break;
        case Tag::define:
          defines.take(line, attributes);
          break;
        case Tag::stream_inf: {
          if (made.variants.size() >= limits.variants)
            throw Met{line.from, "too many variants"};
          Variant variant;
          variant.lines = whole_line;
          variant.bandwidth = *attributes.whole("BANDWIDTH");
          variant.average = attributes.whole("AVERAGE-BANDWIDTH").value_or(0);
          variant.resolution = attributes.resolution("RESOLUTION");
          variant.codecs = text_of("CODECS");
          variant.audio = text_of("AUDIO");
          variant.video = text_of("VIDEO");
          variant.subtitles = text_of("SUBTITLES");
          if (const auto* captions = attributes.find("CLOSED-CAPTIONS"); captions && captions->quoted)
            variant.captions = captions->value;
          variant.pathway = text_of("PATHWAY-ID");
          waits = std::move(variant);
          break;
        }
        case Tag::i_frame_stream_inf:
          if (made.i_frames.size() >= limits.variants)
            throw Met{line.from, "too many variants"};
          made.i_frames.push_back({whole_line, uri_of(), *attributes.whole("BANDWIDTH"), text_of("VIDEO"),
                                   text_of("PATHWAY-ID")});
          break;
        case Tag::media:
          if (made.renditions.size() >= limits.variants)
            throw Met{line.from, "too many renditions"};
          made.renditions.push_back({whole_line, uri_of(), text_of("TYPE"), text_of("GROUP-ID"),
                                     text_of("NAME"), text_of("LANGUAGE")});
          if (attributes.text("TYPE") == "SUBTITLES" && !attributes.find("URI"))
            throw Met{line.from, "#EXT-X-MEDIA: subtitles without a URI"};
          break;
        case Tag::session_data:
        case Tag::session_key:
          if (attributes.find("URI"))
            made.others.push_back({uri_of(), rule.tag});
          break;
        case Tag::content_steering:
          made.steering = whole_line;
          made.first_pathway = text_of("PATHWAY-ID");
          break;
        default:
          break;
      }
      if (rule.stands == Stands::anywhere && made.variants.empty())
        made.definitions_end = {line.whole.to, line.whole.to};
    }
    if (waits)
      throw Met{made.text.size(), "#EXT-X-STREAM-INF without its URI behind it"};
    if (made.variants.empty())
      throw Met{0, "a multivariant playlist without variants"};
    for (const auto& variant : made.variants) {
      const auto lacks = [&](const std::string& group, const char* type) {
        return !group.empty() && std::none_of(made.renditions.begin(), made.renditions.end(),
                                              [&](auto& r) { return r.group == group && r.type == type; });
      };
      if (lacks(variant.audio, "AUDIO") || lacks(variant.video, "VIDEO") ||
          lacks(variant.subtitles, "SUBTITLES") || lacks(variant.captions, "CLOSED-CAPTIONS"))
        throw Met{variant.lines.from, "#EXT-X-STREAM-INF names a group that no #EXT-X-MEDIA has"};
    }
  } catch (const Met& met) {
    return fault_of(met, made.text);
  }
  return made;
}

}  // namespace violettide::hls
