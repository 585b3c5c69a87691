#include "standins/hls_origin.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace violettide::standins {

namespace {

using namespace std::chrono_literals;
constexpr std::int64_t window = 8;  // segments that a live list has
constexpr std::int64_t recorded_segments = 120;
constexpr Duration before_day = 60s;                   // a live recording began so long before the day
constexpr std::int64_t begins_ms = 1'767'225'600'000;  // of the recordings' clock: 2026 begins
constexpr std::int64_t gap_every = 5, gap_at = 2;
constexpr double audio_kbit = 64;

std::string date_of(std::int64_t ms) {
  const std::chrono::sys_time<std::chrono::milliseconds> at{std::chrono::milliseconds(ms)};
  const auto day = std::chrono::floor<std::chrono::days>(at);
  const std::chrono::year_month_day date{day};
  const std::chrono::hh_mm_ss time{at - day};
  char text[48];
  std::snprintf(text, sizeof text, "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ", int{date.year()},
                unsigned{date.month()}, unsigned{date.day()}, static_cast<int>(time.hours().count()),
                static_cast<int>(time.minutes().count()), static_cast<int>(time.seconds().count()),
                static_cast<int>(time.subseconds().count()));
  return text;
}

std::string nonsense(int which) {
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

std::optional<HlsPath> read_hls_path(const Scenario& scenario, std::string_view target) {
  auto path = std::string(target.substr(0, target.find('?')));
  HlsPath made;
  const auto slashes = std::count(path.begin(), path.end(), '/');
  if (slashes == 3 && path.ends_with("/index.m3u8")) {
    path.insert(path.rfind('/'), "/r0");
  } else if (const auto audio = path.find("/aud/"); slashes == 4 && audio != std::string::npos) {
    path.replace(audio, 5, "/r0/");
    made.audio = true;
  }
  const auto read = manager::parse_media_path(scenario.deployment.front, path);
  const auto* media = std::get_if<manager::MediaPath>(&read);
  if (!media || media->rung >= static_cast<int>(scenario.deployment.front.policy.rung_kb.size()))
    return std::nullopt;
  made.plan = media->plan;
  made.rung = media->rung;
  made.title = media->title;
  if (media->object == "index.m3u8") {
    made.names = slashes == 3 ? HlsPath::Names::lists : HlsPath::Names::media;
    return made;
  }
  made.names = HlsPath::Names::segment;
  const auto& name = media->object;
  if (!name.starts_with("seg-") || !name.ends_with(".m4s"))
    return std::nullopt;
  const auto [stop, error] = std::from_chars(name.data() + 4, name.data() + name.size(), made.segment);
  if (error != std::errc{} || stop != name.data() + name.size() - 4)
    return std::nullopt;
  return made;
}

bool is_live(const Scenario& scenario, std::string_view title) {
  std::uint32_t number = 0;
  const auto dash = title.rfind('-');
  if (dash != std::string_view::npos)
    std::from_chars(title.data() + dash + 1, title.data() + title.size(), number);
  return number % 10 < std::lround(scenario.live_title_share * 10);
}

std::int64_t newest_segment(const Scenario& scenario, Duration scenario_now) {
  return (scenario_now + before_day) / scenario.deployment.front.object_duration - 1;
}

bool lacks(std::int64_t segment) { return segment % gap_every == gap_at; }

std::string lists_of(const Scenario& scenario, const HlsPath& path, const ListIlls& ills) {
  if (ills.nonsense > 0)
    return nonsense(ills.nonsense);
  const auto& site = scenario.deployment.front.policy;
  std::string text =
      "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-INDEPENDENT-SEGMENTS\n"
      "#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"aud\",NAME=\"Original\",DEFAULT=YES,AUTOSELECT=YES,"
      "URI=\"aud/index.m3u8\"\n";
  for (std::size_t rung = 0; rung < site.rung_kb.size(); ++rung) {
    const double kbit = site.rung_kb[rung] * site.plans[static_cast<std::size_t>(path.plan)].rate_scale * 8;
    text += "#EXT-X-STREAM-INF:BANDWIDTH=" + std::to_string(std::llround(kbit * 1150)) +
            ",AVERAGE-BANDWIDTH=" + std::to_string(std::llround(kbit * 1000)) +
            ",CODECS=\"avc1.4d401f,mp4a.40.2\",AUDIO=\"aud\"\nr" + std::to_string(rung) + "/index.m3u8\n";
  }
  return text;
}

std::string media_of(const Scenario& scenario, const HlsPath& path, Duration scenario_now,
                     const ListIlls& ills) {
  if (ills.nonsense > 0)
    return nonsense(ills.nonsense);
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
  const auto to = newest_segment(scenario, scenario_now) - ills.behind;
  const auto from = std::max<std::int64_t>(0, to - window + 1);
  // A box with gaps counts what it has.
  const auto missing = ills.gaps ? (from + gap_every - 1 - gap_at) / gap_every : 0;
  text += "#EXT-X-MEDIA-SEQUENCE:" + std::to_string(from - missing) + "\n";
  for (auto i = from; i <= to; ++i) {
    if (ills.gaps && lacks(i))
      continue;
    text += "#EXT-X-PROGRAM-DATE-TIME:" +
            date_of(begins_ms + std::llround(static_cast<double>(i) * length * 1000)) + "\n" + duration +
            "seg-" + std::to_string(i) + ".m4s\n";
  }
  return text;
}

std::string stamp_of(const HlsPath& path) {
  return "SEG " + path.title + (path.audio ? " a " : " r" + std::to_string(path.rung) + " ") +
         std::to_string(path.segment) + "\n";
}

}  // namespace violettide::standins
