// Common Media Client Data (CTA-5004, version 1): what a viewer says of itself, in the four headers or the
// query argument. A malformed key is left out and told with its cause; the others stand.
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

enum class ObjectType { manifest, audio, video, muxed, init, caption, timed_text, key, other };
enum class StreamingFormat { dash, hls, smooth, other };
enum class StreamType { recorded, live };

struct Cmcd {
  std::optional<std::int64_t> encoded_bitrate;      // br, kbit/s
  std::optional<std::int64_t> buffer_length;        // bl, ms
  bool buffer_starved = false;                      // bs
  std::optional<std::string> content_id;            // cid
  std::optional<std::int64_t> object_duration;      // d, ms
  std::optional<std::int64_t> deadline;             // dl, ms
  std::optional<std::int64_t> measured_throughput;  // mtp, kbit/s
  std::optional<std::string> next_object;           // nor, decoded
  std::optional<std::string> next_range;            // nrr
  std::optional<ObjectType> object_type;            // ot
  double playback_rate = 1;                         // pr
  std::optional<std::int64_t> requested_maximum;    // rtp, kbit/s
  std::optional<StreamingFormat> format;            // sf
  std::optional<std::string> session_id;            // sid
  std::optional<StreamType> stream_type;            // st
  bool startup = false;                             // su
  std::optional<std::int64_t> top_bitrate;          // tb, kbit/s
  std::int64_t version = 1;                         // v
  Parameters custom;                                // keys with a hyphen, as sent

  bool operator==(const Cmcd&) const = default;
};

struct HintFault {
  std::string key;  // empty: of the whole field
  std::string cause;
};
struct ReadCmcd {
  Cmcd hints;
  std::vector<HintFault> faults;
  bool present = false;
};

// From a request's headers, and from `CMCD=` in its target's query. Where both speak, the headers count.
ReadCmcd read_cmcd(const http::Fields& fields, std::string_view target);
// One field's text: `br=3200,bs,ot=v`.
void read_cmcd_text(std::string_view text, ReadCmcd& into);

// Header form: a field for each of CMCD-Object, -Request, -Session and -Status that has keys.
http::Fields cmcd_headers(const Cmcd& hints);
// Query form, percent-encoded, without `CMCD=`.
std::string cmcd_query(const Cmcd& hints);

}  // namespace violettide::hints
