// Common Media Server Data (CTA-5006): CMSD-Static, said by the origin and never changed on the way, and
// CMSD-Dynamic, to which every hop adds an entry of its own at the end.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hints/structured_fields.h"

namespace violettide::hints {

// Custom keys carry a reverse-DNS prefix (CTA-5006, 2.2).
constexpr std::string_view util_key = "org.violettide-util";        // asked of the link over what it gives
constexpr std::string_view uplink_key = "org.violettide-uplink";    // the same of the rack's uplink
constexpr std::string_view streams_key = "org.violettide-streams";  // streams that run or start
constexpr std::string_view share_key = "org.violettide-share";      // delivered share, 0 to 1

struct CmsdStatic {
  std::optional<std::int64_t> bitrate;          // br, kbit/s
  std::optional<std::int64_t> object_duration;  // d, ms
  std::optional<std::string> object_type;       // ot
  std::optional<std::string> format;            // sf
  std::optional<std::string> stream_type;       // st
  std::optional<std::int64_t> version;          // v
};

// One hop's entry.
struct CmsdDynamic {
  std::string server;                                 // the hop's own name
  std::optional<std::int64_t> estimated_throughput;   // etp, kbit/s
  std::optional<std::int64_t> max_suggested_bitrate;  // mb, kbit/s
  std::optional<std::int64_t> round_trip;             // rtt, ms
  std::optional<std::int64_t> response_delay;         // rd, ms
  bool duress = false;                                // du
  std::optional<double> util;
  std::optional<double> uplink;
  std::optional<std::int64_t> streams;
  std::optional<double> share;
};

struct ReadCmsd {
  std::optional<CmsdStatic> fixed;
  std::vector<CmsdDynamic> hops;    // the origin's first
  std::vector<std::string> faults;  // what was left out and why
  bool dynamic_whole = true;        // CMSD-Dynamic is a list, whatever its entries say
};

ReadCmsd read_cmsd(std::string_view fixed, std::string_view dynamic);
std::string cmsd_static(const CmsdStatic& fixed);
std::string cmsd_entry(const CmsdDynamic& hop);
// The entry after those that came, which read_cmsd has found to be a list; what is none is not passed on.
std::string after_entries(std::string_view came, const CmsdDynamic& own);

}  // namespace violettide::hints
