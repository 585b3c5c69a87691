// Common Media Client Data (CTA-5004, version 1): what a viewer's player reports in four request headers or
// in the CMCD query argument. A malformed key is skipped and reported with its cause; the other keys are
// kept.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hints/structured_fields.h"
#include "http/http.h"

namespace violettide::hints {

// Values of the keys ot, sf and st.
enum class ObjectType { manifest, audio, video, muxed, init, caption, timed_text, key, other };
enum class StreamingFormat { dash, hls, smooth, other };
enum class StreamType { recorded, live };

// The reserved keys of one request, with their key names, and its custom keys.
struct Cmcd {
  std::optional<std::int64_t> encoded_bitrate;           // br, kbit/s
  std::optional<std::int64_t> buffer_length;             // bl, ms
  bool buffer_starved = false;                           // bs
  std::optional<std::string> content_id;                 // cid
  std::optional<std::int64_t> object_duration;           // d, ms
  std::optional<std::int64_t> deadline;                  // dl, ms
  std::optional<std::int64_t> measured_throughput;       // mtp, kbit/s
  std::optional<std::string> next_object;                // nor, percent-decoded
  std::optional<std::string> next_range;                 // nrr, a byte range such as 0-499
  std::optional<ObjectType> object_type;                 // ot
  double playback_rate = 1;                              // pr
  std::optional<std::int64_t> requested_max_throughput;  // rtp, kbit/s
  std::optional<StreamingFormat> streaming_format;       // sf
  std::optional<std::string> session_id;                 // sid
  std::optional<StreamType> stream_type;                 // st
  bool startup = false;                                  // su
  std::optional<std::int64_t> top_bitrate;               // tb, kbit/s
  std::int64_t version = 1;                              // v
  Parameters custom;                                     // keys with a hyphen, as received

  bool operator==(const Cmcd&) const = default;
};

// A key that was skipped.
struct CmcdError {
  std::string key;  // empty: the error is not about a single key
  std::string cause;
};
// The keys that were accepted, and the errors of those that were skipped.
struct ParsedCmcd {
  Cmcd cmcd;
  std::vector<CmcdError> errors;
  bool present = false;  // a CMCD header or query argument was found
};

// Parses the CMCD headers of a request and the `CMCD=` argument of its target's query. Where both set a key,
// the header's value counts.
ParsedCmcd parse_cmcd(const http::Fields& fields, std::string_view target);
// Parses one field value such as `br=3200,bs,ot=v` and merges its keys into `into`.
void parse_cmcd_text(std::string_view text, ParsedCmcd& into);

// Header form: one field for each of CMCD-Object, CMCD-Request, CMCD-Session and CMCD-Status that has keys.
http::Fields serialize_cmcd_headers(const Cmcd& cmcd);
// Query form: the percent-encoded value of the `CMCD=` argument.
std::string serialize_cmcd_query(const Cmcd& cmcd);

}  // namespace violettide::hints
