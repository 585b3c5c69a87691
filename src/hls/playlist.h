// Playlists by RFC 8216 and its second edition's draft, read from text and kept with it: every line stays
// where it is, known or not, so that what is not changed goes out byte for byte.
#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "hls/tags.h"
#include "hls/uri.h"

namespace violettide::hls {

using Duration = std::chrono::microseconds;

struct Fault {
  std::size_t line = 0;  // from 1; 0: of the whole
  std::string cause;
  std::string text() const { return line ? "line " + std::to_string(line) + ": " + cause : cause; }
};

Fault fault_at(std::string_view text, std::size_t at, std::string cause);

// What a playlist may be; one beyond is a fault, not a bigger table.
struct Limits {
  std::size_t bytes = 8 * 1024 * 1024;
  std::size_t line = 64 * 1024;
  std::size_t segments = 100'000;
  std::size_t variants = 1'000;
  std::size_t variables = 256;
};

struct Range {
  std::uint32_t from = 0, to = 0;
  bool operator==(const Range&) const = default;
  std::string_view of(std::string_view text) const { return text.substr(from, to - from); }
};

// A URI within the text, and the tag that has it; `inf` for the line behind one.
struct UriAt {
  Range at;
  Tag of = Tag::inf;
};

// Tags that hold for all segments from there on: what a list begun later must repeat.
struct InForce {
  std::vector<std::string> keys;  // lines
  std::string map, bitrate;
  bool implicit_iv = false;  // some key takes the media sequence number for its initialization vector
  bool operator==(const InForce&) const = default;
};

constexpr std::int64_t no_wall = std::numeric_limits<std::int64_t>::min();
constexpr std::uint64_t no_offset = std::numeric_limits<std::uint64_t>::max();

struct Segment {
  Range lines;  // from behind the segment before to the end of its URI's line
  Range uri;
  Duration duration{0};
  std::int64_t wall = no_wall;  // when it begins, by EXT-X-PROGRAM-DATE-TIME here or before; microseconds
  std::uint64_t range_length = 0, range_offset = no_offset;
  std::uint32_t before = 0, state = 0;  // in force before its own tags and with them
  bool own_wall = false, discontinuity = false, gap = false;
};

struct Media {
  std::string text;
  std::uint64_t version = 1;
  Duration target{0};
  std::uint64_t media_sequence = 0, discontinuity_sequence = 0;
  std::string type;  // VOD, EVENT or empty
  bool i_frames_only = false, independent = false, ended = false;
  std::optional<Duration> part_target, skip_until, hold_back, part_hold_back;
  bool blocks_reload = false;
  Range head, tail;  // lines before the first segment and behind the last
  std::vector<Segment> segments;
  std::vector<InForce> states;
  std::vector<UriAt> uris;            // that are no plain names of the playlist's own directory, rising
  std::vector<UriAt> attribute_uris;  // all in attribute lists, rising
  std::vector<Range> strays;          // playlist tags that stand among segments
  Variables variables;
  std::size_t taken_over = 0;  // segments taken from the playlist read before

  std::string_view uri(std::size_t i) const { return segments[i].uri.of(text); }
  std::uint64_t end_sequence() const { return media_sequence + segments.size(); }
  Duration length() const;
};

struct Variant {
  Range lines, uri;
  std::uint64_t bandwidth = 0, average = 0;  // bit/s; average 0: not told
  std::optional<std::pair<std::uint32_t, std::uint32_t>> resolution;
  std::string codecs, audio, video, subtitles, captions, pathway;
};
struct IFrames {
  Range lines, uri;
  std::uint64_t bandwidth = 0;
  std::string video, pathway;
};
struct Rendition {
  Range lines, uri;  // uri empty: its media is in the variants'
  std::string type, group, name, language;
};
struct Multivariant {
  std::string text;
  std::uint64_t version = 1;
  std::vector<Variant> variants;
  std::vector<IFrames> i_frames;
  std::vector<Rendition> renditions;
  std::vector<UriAt> others;      // of session data and keys
  std::optional<Range> steering;  // the line of EXT-X-CONTENT-STEERING
  std::string first_pathway;
  Range definitions_end;  // where lines of ours may go in: behind the tags at the top
  Variables variables;
};

// `given`: what EXT-X-DEFINE may import or take from the address's query. `before`: the same playlist as it
// was read last; what it still has at its old place is not read again.
std::variant<Media, Fault> read_media(std::string text, const Limits& limits = {},
                                      const Variables& given = {}, const Media* before = nullptr);
std::variant<Multivariant, Fault> read_multivariant(std::string text, const Limits& limits = {},
                                                    const Variables& given = {});
bool looks_multivariant(std::string_view text);

}  // namespace violettide::hls
