// Every tag of RFC 8216 and of its second edition's draft (draft-pantos-hls-rfc8216bis): what it takes,
// where it may stand, and the types of its attributes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace violettide::hls {

enum class Tag : std::uint8_t {
  m3u,
  version,
  define,
  independent_segments,
  start,
  inf,
  byte_range,
  discontinuity,
  key,
  map,
  program_date_time,
  gap,
  bitrate,
  part,
  date_range,
  skip,
  preload_hint,
  rendition_report,
  target_duration,
  media_sequence,
  discontinuity_sequence,
  end_list,
  playlist_type,
  i_frames_only,
  part_inf,
  server_control,
  media,
  stream_inf,
  i_frame_stream_inf,
  session_data,
  session_key,
  content_steering,
  unknown,  // a tag of another's, or a comment: kept as it is
};

enum class Takes : std::uint8_t { nothing, whole, duration, byte_range, date, word, attributes };
enum class Stands : std::uint8_t { anywhere, in_media, at_segment, in_multivariant };

enum class Kind : std::uint8_t { whole, hexadecimal, number, signed_number, quoted, word, resolution };
struct AttributeRule {
  std::string_view name;
  Kind kind = Kind::quoted;
  bool required = false;
};
struct TagRule {
  Tag tag;
  std::string_view name;  // less "#EXT"
  Takes takes;
  Stands stands;
  bool once = false;
  std::vector<AttributeRule> attributes;  // known ones; others are kept
};
// In the order of Tag, `unknown` left out.
const std::vector<TagRule>& tag_rules();
const TagRule* rule_of(std::string_view name);

struct Attribute {
  std::string_view name, value;  // views into the line; a quoted value without its quotes
  bool quoted = false;
};
// An attribute list (RFC 8216, 4.2), in the order sent.
class Attributes {
 public:
  std::vector<Attribute> all;
  const Attribute* find(std::string_view name) const;
  std::string_view text(std::string_view name) const;  // empty if absent
  std::optional<std::uint64_t> whole(std::string_view name) const;
  std::optional<double> number(std::string_view name) const;
  std::optional<std::pair<std::uint32_t, std::uint32_t>> resolution(std::string_view name) const;
};
// Read into `into`, whose memory is used again; the cause if the text is no attribute list.
std::optional<std::string> read_attributes(std::string_view text, Attributes& into);
// Types and presence by the tag's rule; the cause of the first fault.
std::optional<std::string> check_attributes(const TagRule& rule, const Attributes& attributes);

std::optional<std::uint64_t> read_whole(std::string_view text);
std::optional<double> read_number(std::string_view text);
// ISO 8601 as RFC 8216 takes it: microseconds since 1970, UTC where no zone is told.
std::optional<std::int64_t> read_date(std::string_view text);

}  // namespace violettide::hls
