// HLS playlists of the fake video servers, for recorded and live titles. A box serves them correctly, or with
// an injected fault: late, with missing segments, or invalid.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "standins/day.h"

namespace violettide::standins {

// A parsed path: `/PLAN/TITLE/index.m3u8`, `/PLAN/TITLE/rN/index.m3u8`, `/PLAN/TITLE/aud/index.m3u8`, or a
// segment next to a media playlist.
struct HlsPath {
  enum class Kind { multivariant, media, segment } kind = Kind::multivariant;
  int plan = 0, rung = 0;
  bool audio = false;
  std::string title;
  std::int64_t segment = 0;
};
// Parses a request target; nothing if it is no HLS path of the scenario.
std::optional<HlsPath> parse_hls_path(const Scenario& scenario, std::string_view target);

// Injected faults of a box's playlists.
struct PlaylistFaults {
  std::int64_t lag_segments = 0;  // by which live playlists end early
  bool has_gaps = false;          // some segments are missing, and the numbers of later ones don't count them
  int invalid_variant = 0;        // 0: valid; otherwise selects an invalid text
};
// True if the title is a live recording.
bool is_live(const Scenario& scenario, std::string_view title);
// Number of the newest segment of a live recording at the given scenario time.
std::int64_t newest_segment(const Scenario& scenario, Duration scenario_now);
// True if a box with gaps lacks the segment.
bool is_gap(std::int64_t segment);
// Text of the multivariant playlist.
std::string multivariant_playlist(const Scenario& scenario, const HlsPath& path,
                                  const PlaylistFaults& faults);
// Text of the media playlist at the given scenario time.
std::string media_playlist(const Scenario& scenario, const HlsPath& path, Duration scenario_now,
                           const PlaylistFaults& faults);
// Start of a segment's bytes: its title, rung and number, for players to check.
std::string segment_header(const HlsPath& path);

}  // namespace violettide::standins
