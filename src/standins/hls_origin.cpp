#include "standins/hls_origin.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace violettide::standins {

namespace {

using namespace std::chrono_literals;
constexpr std::int64_t live_window_segments = 8;  // length of a live playlist
constexpr std::int64_t recorded_segments = 120;
constexpr Duration live_lead_time = 60s;              // a live recording starts this long before the scenario
constexpr std::int64_t epoch_ms = 1'767'225'600'000;  // wall clock of segment 0: 2026-01-01T00:00:00Z
constexpr std::int64_t gap_interval = 5, gap_offset = 2;
constexpr double audio_kbit = 64;

std::string format_date_time(std::int64_t ms) {
  const std::chrono::sys_time<std::chrono::milliseconds> at{std::chrono::milliseconds(ms)};
  const auto day = std::chrono::floor<std::chrono::days>(at);
  const std::chrono::year_month_day calendar_date{day};
  const std::chrono::hh_mm_ss time{at - day};
  char text[48];
  std::snprintf(text, sizeof text, "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ", int{calendar_date.year()},
                unsigned{calendar_date.month()}, unsigned{calendar_date.day()},
                static_cast<int>(time.hours().count()), static_cast<int>(time.minutes().count()),
                static_cast<int>(time.seconds().count()), static_cast<int>(time.subseconds().count()));
  return text;
}

std::string invalid_playlist(int which) {
  switch (which % 5) {
    case 0:
      return "<html>not a playlist</html>";
    case 1:
      return "#EXTM3U\n#EXT-X-TARGETDURATION:1\n#EXTINF:0.5,\nhttp://10.255.255.1/away.m4s\n";
    case 2:
      return "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=lots\nr1/index.m3u8\n#EXTINF:x,\n";
    case 3:
      return std::string("#EXTM3U\n\0\x01\x02#EXTINF", 20);
    default:
      return "#EXTM3U\n#EXT-X-TARGETDURATION:1\n" + std::string(100'000, '#');
  }
}

}  // namespace

std::optional<HlsPath> parse_hls_path(const Scenario& scenario, std::string_view target) {
  auto path = std::string(target.substr(0, target.find('?')));
  HlsPath parsed;
  const auto slashes = std::count(path.begin(), path.end(), '/');
  if (slashes == 3 && path.ends_with("/index.m3u8")) {
    path.insert(path.rfind('/'), "/r0");
  } else if (const auto audio = path.find("/aud/"); slashes == 4 && audio != std::string::npos) {
    path.replace(audio, 5, "/r0/");
    parsed.audio = true;
  }
  const auto media_path = manager::parse_media_path(scenario.deployment.front, path);
  const auto* media = std::get_if<manager::MediaPath>(&media_path);
  if (!media || media->rung >= static_cast<int>(scenario.deployment.front.policy.rung_kb.size()))
    return std::nullopt;
  parsed.plan = media->plan;
  parsed.rung = media->rung;
  parsed.title = media->title;
  if (media->object == "index.m3u8") {
    parsed.kind = slashes == 3 ? HlsPath::Kind::multivariant : HlsPath::Kind::media;
    return parsed;
  }
  parsed.kind = HlsPath::Kind::segment;
  const auto& name = media->object;
  if (!name.starts_with("seg-") || !name.ends_with(".m4s"))
    return std::nullopt;
  const auto [stop, error] = std::from_chars(name.data() + 4, name.data() + name.size(), parsed.segment);
  if (error != std::errc{} || stop != name.data() + name.size() - 4)
    return std::nullopt;
  return parsed;
}

bool is_live(const Scenario& scenario, std::string_view title) {
  std::uint32_t number = 0;
  const auto dash = title.rfind('-');
  if (dash != std::string_view::npos)
    std::from_chars(title.data() + dash + 1, title.data() + title.size(), number);
  return number % 10 < std::lround(scenario.live_title_share * 10);
}

std::int64_t newest_segment(const Scenario& scenario, Duration scenario_now) {
  return (scenario_now + live_lead_time) / scenario.deployment.front.object_duration - 1;
}

bool is_gap(std::int64_t segment) { return segment % gap_interval == gap_offset; }

std::string multivariant_playlist(const Scenario& scenario, const HlsPath& path,
                                  const PlaylistFaults& faults) {
  if (faults.invalid_variant > 0)
    return invalid_playlist(faults.invalid_variant);
  const auto& policy = scenario.deployment.front.policy;
  std::string text =
      "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-INDEPENDENT-SEGMENTS\n"
      "#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"aud\",NAME=\"Original\",DEFAULT=YES,AUTOSELECT=YES,"
      "URI=\"aud/index.m3u8\"\n";
  for (std::size_t rung = 0; rung < policy.rung_kb.size(); ++rung) {
    const double kbit =
        policy.rung_kb[rung] * policy.plans[static_cast<std::size_t>(path.plan)].rate_scale * 8;
    text += "#EXT-X-STREAM-INF:BANDWIDTH=" + std::to_string(std::llround(kbit * 1150)) +
            ",AVERAGE-BANDWIDTH=" + std::to_string(std::llround(kbit * 1000)) +
            ",CODECS=\"avc1.4d401f,mp4a.40.2\",AUDIO=\"aud\"\nr" + std::to_string(rung) + "/index.m3u8\n";
  }
  return text;
}

std::string media_playlist(const Scenario& scenario, const HlsPath& path, Duration scenario_now,
                           const PlaylistFaults& faults) {
  if (faults.invalid_variant > 0)
    return invalid_playlist(faults.invalid_variant);
  const double length = std::chrono::duration<double>(scenario.deployment.front.object_duration).count();
  char duration[32];
  std::snprintf(duration, sizeof duration, "#EXTINF:%.3f,\n", length);
  std::string text = "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-TARGETDURATION:" +
                     std::to_string(std::max<long>(1, std::lround(std::ceil(length)))) + "\n";
  if (!is_live(scenario, path.title)) {
    text += "#EXT-X-PLAYLIST-TYPE:VOD\n";
    for (std::int64_t i = 0; i < recorded_segments; ++i)
      text += duration + ("seg-" + std::to_string(i)) + ".m4s\n";
    return text + "#EXT-X-ENDLIST\n";
  }
  const auto last = newest_segment(scenario, scenario_now) - faults.lag_segments;
  const auto first = std::max<std::int64_t>(0, last - live_window_segments + 1);
  // A box with gaps numbers only the segments that it lists.
  const auto missing = faults.has_gaps ? (first + gap_interval - 1 - gap_offset) / gap_interval : 0;
  text += "#EXT-X-MEDIA-SEQUENCE:" + std::to_string(first - missing) + "\n";
  for (auto i = first; i <= last; ++i) {
    if (faults.has_gaps && is_gap(i))
      continue;
    text += "#EXT-X-PROGRAM-DATE-TIME:" +
            format_date_time(epoch_ms + std::llround(static_cast<double>(i) * length * 1000)) + "\n" +
            duration + "seg-" + std::to_string(i) + ".m4s\n";
  }
  return text;
}

std::string segment_header(const HlsPath& path) {
  return "SEG " + path.title + (path.audio ? " a " : " r" + std::to_string(path.rung) + " ") +
         std::to_string(path.segment) + "\n";
}

}  // namespace violettide::standins
