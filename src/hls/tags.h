// The tags of RFC 8216 and draft-pantos-hls-rfc8216bis: their values, where they may appear, and the types
// of their attributes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace violettide::hls {

// In the order of tag_rules().
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
  unknown,  // a vendor's tag or a comment; kept unchanged
};

// What follows the colon of a tag.
enum class ValueType : std::uint8_t {
  none,
  integer,
  duration,
  byte_range,
  date_time,
  enumerated,
  attribute_list
};
// Where a tag may appear. `segment`: in a media playlist, applying to the segments after it.
enum class Placement : std::uint8_t { anywhere, media_playlist, segment, multivariant_playlist };

// Attribute value types (RFC 8216, 4.2).
enum class AttributeType : std::uint8_t {
  integer,
  hexadecimal,
  decimal,
  signed_decimal,
  quoted,
  enumerated,
  resolution
};
// An attribute that a tag is known to have.
struct AttributeRule {
  std::string_view name;
  AttributeType type = AttributeType::quoted;
  bool required = false;
};
// What a tag may look like.
struct TagRule {
  Tag tag;
  std::string_view name;  // without "#EXT"
  ValueType value_type;
  Placement placement;
  bool at_most_once = false;
  std::vector<AttributeRule> attributes;  // the known ones; others are accepted and kept
};
// One rule per tag, in the order of Tag, without `unknown`.
const std::vector<TagRule>& tag_rules();
// The rule of the tag "#EXT" + name; null for an unknown tag.
const TagRule* find_tag_rule(std::string_view name);

// One attribute of a line.
struct Attribute {
  std::string_view name;   // a view into the line
  std::string_view value;  // a view into the line, without quotation marks
  bool quoted = false;
};
// An attribute list (RFC 8216, 4.2), in its original order. The accessors return nothing where the attribute
// is absent or of another type.
class AttributeList {
 public:
  std::vector<Attribute> all;
  const Attribute* find(std::string_view name) const;
  std::string_view text(std::string_view name) const;  // empty if absent
  std::optional<std::uint64_t> integer(std::string_view name) const;
  std::optional<double> decimal(std::string_view name) const;
  std::optional<std::pair<std::uint32_t, std::uint32_t>> resolution(std::string_view name) const;
};
// Parses into `list`, whose memory is reused. Returns the cause if the text is not an attribute list.
std::optional<std::string> parse_attributes(std::string_view text, AttributeList& list);
// Checks the types and the presence of a tag's attributes. Returns the cause of the first error.
std::optional<std::string> check_attributes(const TagRule& rule, const AttributeList& attributes);

// A decimal integer; nothing if the text is anything else.
std::optional<std::uint64_t> parse_integer(std::string_view text);
// A decimal number of at most 1e12 either way, without an exponent; nothing if the text is anything else.
std::optional<double> parse_decimal(std::string_view text);
// An ISO 8601 date and time as RFC 8216 uses it, in microseconds since 1970; UTC if no time zone is given.
std::optional<std::int64_t> parse_date_time(std::string_view text);

}  // namespace violettide::hls
