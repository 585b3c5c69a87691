// Common Media Server Data (CTA-5006): CMSD-Static, set by the origin and not changed by intermediaries, and
// CMSD-Dynamic, to which every hop appends an entry of its own.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hints/structured_fields.h"

namespace violettide::hints {

// Custom keys have a reverse-DNS prefix (CTA-5006, section 2.2).
constexpr std::string_view util_key = "org.violettide-util";  // demand on the link over its capacity
constexpr std::string_view uplink_key =
    "org.violettide-uplink";  // demand on the rack's uplink over its capacity
constexpr std::string_view streams_key = "org.violettide-streams";  // running and starting streams
constexpr std::string_view share_key = "org.violettide-share";      // delivered part of the demand, 0 to 1

// The keys of CMSD-Static.
struct CmsdStatic {
  std::optional<std::int64_t> bitrate;          // br, kbit/s
  std::optional<std::int64_t> object_duration;  // d, ms
  std::optional<std::string> object_type;       // ot
  std::optional<std::string> streaming_format;  // sf
  std::optional<std::string> stream_type;       // st
  std::optional<std::int64_t> version;          // v
};

// One hop's entry in CMSD-Dynamic.
struct CmsdDynamic {
  std::string server;                                 // the hop's identifier
  std::optional<std::int64_t> estimated_throughput;   // etp, kbit/s
  std::optional<std::int64_t> max_suggested_bitrate;  // mb, kbit/s
  std::optional<std::int64_t> round_trip_time;        // rtt, ms
  std::optional<std::int64_t> response_delay;         // rd, ms
  bool duress = false;                                // du
  std::optional<double> util;                         // util_key
  std::optional<double> uplink;                       // uplink_key
  std::optional<std::int64_t> streams;                // streams_key
  std::optional<double> share;                        // share_key
};

// The content of both headers that was accepted, and the errors of what was skipped.
struct ParsedCmsd {
  std::optional<CmsdStatic> static_data;
  std::vector<CmsdDynamic> hops;    // in order of the response path, the origin first
  std::vector<std::string> errors;  // what was skipped and why
  bool dynamic_valid = true;        // CMSD-Dynamic is a well-formed list, even if entries were skipped
};

// Parses the two header values; either may be empty.
ParsedCmsd parse_cmsd(std::string_view static_value, std::string_view dynamic_value);
// The value of CMSD-Static.
std::string serialize_cmsd_static(const CmsdStatic& data);
// One entry of CMSD-Dynamic.
std::string serialize_cmsd_entry(const CmsdDynamic& hop);
// Appends a hop's own entry to the received CMSD-Dynamic value. The caller passes only a value that
// parse_cmsd found to be a list (`dynamic_valid`), so that malformed values are not forwarded.
std::string append_cmsd_entry(std::string_view received, const CmsdDynamic& own);

}  // namespace violettide::hints
