// Parses media and multivariant playlists (RFC 8216 and draft-pantos-hls-rfc8216bis). The text is kept with
// the result: every line, known or not, stays where it is, so that unchanged lines are sent byte for byte.
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

// Why a playlist was refused, and the line at which it was.
struct PlaylistError {
  std::size_t line = 0;  // from 1; 0 if the error concerns the whole playlist
  std::string cause;
  // "line N: cause", or the cause alone.
  std::string text() const { return line ? "line " + std::to_string(line) + ": " + cause : cause; }
};

// An error at the byte offset `at` of `text`.
PlaylistError error_at(std::string_view text, std::size_t at, std::string cause);

// Maximum sizes of a playlist; exceeding one is an error.
struct PlaylistLimits {
  std::size_t bytes = 8 * 1024 * 1024;
  std::size_t line = 64 * 1024;  // bytes
  std::size_t segments = 100'000;
  std::size_t variants = 1'000;
  std::size_t variables = 256;
};

// The byte offsets [from, to) of a playlist's text.
struct TextRange {
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  bool operator==(const TextRange&) const = default;
  std::string_view view_in(std::string_view text) const { return text.substr(from, to - from); }
};

// A URI within the text and the tag that carries it; `inf` for the URI line of a segment.
struct UriReference {
  TextRange range;
  Tag tag = Tag::inf;
};

// Tags that apply to all following segments, so that a playlist which starts later must repeat them.
struct PersistentTags {
  std::vector<std::string> keys;  // whole EXT-X-KEY lines
  std::string map;                // the EXT-X-MAP line
  std::string bitrate;            // the EXT-X-BITRATE line
  bool implicit_iv = false;       // some key uses the media sequence number as its initialization vector
  bool operator==(const PersistentTags&) const = default;
};

// Stand for an unknown time and an unknown byte offset.
constexpr std::int64_t no_date_time = std::numeric_limits<std::int64_t>::min();
constexpr std::uint64_t no_offset = std::numeric_limits<std::uint64_t>::max();

// A media segment of a media playlist.
struct Segment {
  TextRange lines;  // from the end of the previous segment to the end of its URI line
  TextRange uri;
  Duration duration{0};
  // When it begins, in microseconds since 1970, from its EXT-X-PROGRAM-DATE-TIME or an earlier one.
  std::int64_t date_time_us = no_date_time;
  std::uint64_t byte_range_length = 0;
  std::uint64_t byte_range_offset = no_offset;
  std::uint32_t state_before = 0;  // index into MediaPlaylist::states, before its own tags
  std::uint32_t state = 0;         // the same, with its own tags
  bool has_own_date_time = false;
  bool discontinuity = false;
  bool gap = false;
};

// A parsed media playlist.
struct MediaPlaylist {
  std::string text;
  std::uint64_t version = 1;
  Duration target_duration{0};
  std::uint64_t media_sequence = 0;
  std::uint64_t discontinuity_sequence = 0;
  std::string type;  // VOD, EVENT or empty
  bool i_frames_only = false;
  bool independent_segments = false;
  bool ended = false;  // has EXT-X-ENDLIST
  std::optional<Duration> part_target;
  std::optional<Duration> skip_until;
  std::optional<Duration> hold_back;
  std::optional<Duration> part_hold_back;
  bool can_block_reload = false;
  TextRange head;  // lines before the first segment
  TextRange tail;  // lines after the last segment
  std::vector<Segment> segments;
  std::vector<PersistentTags> states;
  std::vector<UriReference> non_plain_uris;  // all but plain file names in its own directory, by offset
  std::vector<UriReference> attribute_uris;  // all in attribute lists, by offset
  std::vector<TextRange> misplaced_tags;     // playlist-wide tags that stand between segments
  Variables variables;
  std::size_t reused_segments = 0;  // copied from the previous playlist instead of parsed

  std::string_view uri(std::size_t i) const { return segments[i].uri.view_in(text); }
  // The media sequence number after the last segment's.
  std::uint64_t end_sequence() const { return media_sequence + segments.size(); }
  // The sum of the segments' durations.
  Duration duration() const;
};

// A variant stream (EXT-X-STREAM-INF).
struct Variant {
  TextRange lines;
  TextRange uri;
  std::uint64_t bandwidth = 0;          // bit/s
  std::uint64_t average_bandwidth = 0;  // bit/s; 0 if not stated
  std::optional<std::pair<std::uint32_t, std::uint32_t>> resolution;
  std::string codecs;
  std::string audio;  // this and the next three: rendition groups
  std::string video;
  std::string subtitles;
  std::string closed_captions;
  std::string pathway;
};
// An I-frame variant stream (EXT-X-I-FRAME-STREAM-INF).
struct IFrameStream {
  TextRange lines;
  TextRange uri;
  std::uint64_t bandwidth = 0;  // bit/s
  std::string video;
  std::string pathway;
};
// A rendition (EXT-X-MEDIA).
struct Rendition {
  TextRange lines;
  TextRange uri;  // empty if its media is part of the variant streams
  std::string type;
  std::string group;
  std::string name;
  std::string language;
};
// A parsed multivariant playlist.
struct MultivariantPlaylist {
  std::string text;
  std::uint64_t version = 1;
  std::vector<Variant> variants;
  std::vector<IFrameStream> i_frames;
  std::vector<Rendition> renditions;
  std::vector<UriReference> session_uris;     // of EXT-X-SESSION-DATA and EXT-X-SESSION-KEY
  std::optional<TextRange> content_steering;  // the EXT-X-CONTENT-STEERING line
  std::string initial_pathway;                // its PATHWAY-ID
  TextRange insertion_point;                  // after the tags at the top; lines may be inserted here
  Variables variables;
};

// Parses a media playlist. `external_variables` are what EXT-X-DEFINE may import from the multivariant
// playlist or take from the query of the URI. `previous` is an earlier version of the same playlist: segments
// that follow the same first segment byte for byte are copied from it instead of parsed again.
std::variant<MediaPlaylist, PlaylistError> parse_media_playlist(std::string text,
                                                                const PlaylistLimits& limits = {},
                                                                const Variables& external_variables = {},
                                                                const MediaPlaylist* previous = nullptr);
// Parses a multivariant playlist; `external_variables` as above.
std::variant<MultivariantPlaylist, PlaylistError> parse_multivariant_playlist(
    std::string text, const PlaylistLimits& limits = {}, const Variables& external_variables = {});
// Whether the text has a tag that only multivariant playlists have; nothing else is checked.
bool looks_like_multivariant(std::string_view text);

}  // namespace violettide::hls
