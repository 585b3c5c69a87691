// What a stand-in box says of its recordings by HLS: multivariant and media playlists, recorded and live, as
// a box that is well has them, or one that lags, lacks segments, or writes nonsense.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "standins/day.h"

namespace violettide::standins {

// `/PLAN/TITLE/index.m3u8`, `/PLAN/TITLE/rN/index.m3u8`, `/PLAN/TITLE/aud/index.m3u8` and segments beside.
struct HlsPath {
  enum class Names { lists, media, segment } names = Names::lists;
  int plan = 0, rung = 0;
  bool audio = false;
  std::string title;
  std::int64_t segment = 0;
};
std::optional<HlsPath> read_hls_path(const Scenario& scenario, std::string_view target);

// What is wrong with a box's lists.
struct ListIlls {
  std::int64_t behind = 0;  // segments
  bool gaps = false;        // some segments are missing, and later ones numbered as if they had never been
  int nonsense = 0;         // 0: none; else which
};
bool is_live(const Scenario& scenario, std::string_view title);
// The newest segment that there is, at the day's time.
std::int64_t newest_segment(const Scenario& scenario, Duration scenario_now);
bool lacks(std::int64_t segment);  // of a box with gaps
std::string lists_of(const Scenario& scenario, const HlsPath& path, const ListIlls& ills);
std::string media_of(const Scenario& scenario, const HlsPath& path, Duration scenario_now,
                     const ListIlls& ills);
// What a segment's bytes begin with: its title, rung and number, for players to check.
std::string stamp_of(const HlsPath& path);

}  // namespace violettide::standins
