#include "standins/hls_player.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace violettide::standins {

namespace {

// Share of a segment's duration within which it must download before the next higher variant is tried.
constexpr double max_download_share = 0.9;
// Ratio to the best listed bitrate above which the multivariant playlist is reloaded.
constexpr double reload_ratio = 1.1;
constexpr double min_reload_interval = 3;     // seconds between reloads of the multivariant playlist
constexpr std::size_t live_start_offset = 3;  // segments before the live edge

std::string attribute_value(const std::string& line, const char* name) {
  const auto at = line.find(name);
  if (at == std::string::npos)
    return "";
  auto value = line.substr(at + std::char_traits<char>::length(name));
  if (!value.empty() && value[0] == '"')
    return value.substr(1, value.find('"', 1) - 1);
  return value.substr(0, value.find(','));
}

double parse_date_time(const std::string& text) {
  int y = 0, mo = 0, d = 0, h = 0, mi = 0;
  double s = 0;
  if (std::sscanf(text.c_str(), "%d-%d-%dT%d:%d:%lf", &y, &mo, &d, &h, &mi, &s) != 6)
    return 0;
  return ((d * 24.0 + h) * 60 + mi) * 60 + s;  // seconds; comparable within one month only
}

}  // namespace

std::string HlsPlayer::resolve_uri(const std::string& playlist, const std::string& uri) {
  if (uri.empty() || uri[0] == '/')
    return uri;
  return playlist.substr(0, playlist.rfind('/') + 1) + uri;
}

void HlsPlayer::parse_multivariant_playlist(const std::string& body) {
  std::istringstream lines(body);
  variants_.clear();
  double bits_per_s = 0;
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("#EXT-X-STREAM-INF:"))
      bits_per_s = std::atof(attribute_value(line, "AVERAGE-BANDWIDTH=").c_str());
    if (line.starts_with("#EXT-X-MEDIA:") && audio_.empty())
      audio_ = resolve_uri(multivariant_target_, attribute_value(line, "URI="));
    if (line.empty() || line[0] == '#')
      continue;
    variants_.push_back({bits_per_s, resolve_uri(multivariant_target_, line), false});
  }
  std::sort(variants_.begin(), variants_.end(), [](auto& a, auto& b) { return a.bits_per_s < b.bits_per_s; });
  if (variants_.empty())
    record_error("a multivariant playlist without variants");
  started_ = true;
}

void HlsPlayer::parse_media_playlist(double at, Media& media, const std::string& body) {
  std::istringstream lines(body);
  std::vector<Item> items;
  std::uint64_t number = 0;
  double start = 0, length = 0;
  bool discontinuity = false, has_dates = false, ended = false;
  std::string first;
  std::getline(lines, first);
  if (first != "#EXTM3U")
    record_error("a media playlist that does not begin as one");
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("#EXT-X-MEDIA-SEQUENCE:"))
      number = std::strtoull(line.c_str() + 22, nullptr, 10);
    if (line.starts_with("#EXT-X-TARGETDURATION:"))
      media.target_length = std::atof(line.c_str() + 22);
    if (line.starts_with("#EXT-X-PROGRAM-DATE-TIME:"))
      start = parse_date_time(line.substr(25)), has_dates = true;
    if (line.starts_with("#EXTINF:"))
      length = std::atof(line.c_str() + 8);
    if (line == "#EXT-X-DISCONTINUITY")
      discontinuity = true;
    if (line == "#EXT-X-ENDLIST")
      ended = true;
    if (line.empty() || line[0] == '#')
      continue;
    items.push_back({number, start, length, discontinuity, resolve_uri(media.target, line)});
    ++number;
    start += length;
    discontinuity = false;
  }
  const auto from = items.empty() ? number : items.front().number;
  // Another manager process may number segments differently. The same one must never go back or change a
  // number's segment.
  if (!media.items.empty() && !process_may_differ_) {
    if (from < media.first)
      record_error("the media sequence went back in " + media.target);
    if (number < media.end)
      record_error("segments went from the end of " + media.target);
    for (const auto& item : items) {
      const auto known = media.targets.find(item.number);
      if (known != media.targets.end() && known->second != item.target)
        record_error("number " + std::to_string(item.number) +
                     " is another segment, or has another address: " +
                     known->second.substr(known->second.rfind('/') + 1) + ", " +
                     item.target.substr(item.target.rfind('/') + 1));
    }
  }
  for (std::size_t i = 1; i < items.size(); ++i) {
    const double gap = items[i].start - (items[i - 1].start + items[i - 1].length);
    if (std::fabs(gap) > items[i].length / 2 && !items[i].discontinuity)
      record_error("a leap of " + std::to_string(gap) + " s that no discontinuity tells, in " + media.target);
  }
  media.targets.clear();
  for (const auto& item : items)
    media.targets[item.number] = item.target;
  media.first = from;
  media.end = number;
  media.items = std::move(items);
  media.has_dates = has_dates;
  media.ended = ended;
  media.read_at = at;
}

std::variant<std::monostate, HlsPlayer::Request, double> HlsPlayer::next(double at, double buffered,
                                                                         double room) {
  if (!started_)
    return Request{Request::Kind::multivariant, multivariant_target_};
  if (variants_.empty())
    return std::monostate{};
  // A higher rate than any listed is available, so the multivariant playlist is reloaded.
  if (!reload_target_.empty() && suggested_bits_per_s_ > reload_ratio * variants_.back().bits_per_s &&
      variants_.back().bits_per_s < max_bits_per_s_ && at > last_multivariant_at_ + min_reload_interval) {
    last_multivariant_at_ = at;
    return Request{Request::Kind::multivariant, reload_target_};
  }
  if (last_multivariant_at_ == 0)
    last_multivariant_at_ = at;
  std::size_t best = std::min(current_variant_, variants_.size() - 1);
  if (download_share_ > 1 && best > 0)
    --best;
  if (download_share_ < max_download_share && best + 1 < variants_.size())
    ++best;
  download_share_ = 1;
  while (best > 0 && (variants_[best].unavailable || variants_[best].bits_per_s > max_bits_per_s_))
    --best;
  current_variant_ = best;
  if (!audio_.empty() && media_[audio_].read_at < 0) {
    media_[audio_].target = audio_;
    return Request{Request::Kind::audio, audio_};
  }
  auto& media = media_[variants_[best].target];
  if (media.target.empty())
    media.target = variants_[best].target;
  if (buffered >= room)
    return std::max(0.02, buffered - room);
  const auto wanted = [&]() -> const Item* {
    for (const auto& item : media.items) {
      if (played_to_ < 0 || item.start > played_to_ - item.length / 2)
        return &item;
    }
    return nullptr;
  };
  const Item* item = wanted();
  if (!item && media.ended)
    return std::monostate{};
  // Reloads a live playlist when it may have new segments, no more often than RFC 8216, 6.3.4 allows.
  if (!item || media.read_at < 0) {
    const double reload_at = media.read_at + media.target_length / 2;
    if (media.read_at >= 0 && at < reload_at)
      return reload_at - at;
    return Request{Request::Kind::media, media.target};
  }
  if (played_to_ < 0 && !media.ended && media.items.size() > live_start_offset)
    item = &media.items[media.items.size() - live_start_offset];
  if (played_to_ >= 0 && item->start > played_to_ + item->length / 2) {
    // The next segment is no longer listed: the player fell behind, or the box has a gap.
    if (item != &media.items.front() && !item->discontinuity && !process_may_differ_)
      record_error("a hole before " + item->target + " that no discontinuity tells");
    ++skipped_;
  }
  pending_segment_ = *item;
  segment_length_ = item->length;
  return Request{Request::Kind::segment, item->target};
}

bool HlsPlayer::on_response(double at, const Request& request, const std::string& body) {
  consecutive_404s_ = 0;
  if (request.kind == Request::Kind::multivariant) {
    parse_multivariant_playlist(body);
    return false;
  }
  if (request.kind != Request::Kind::segment) {
    parse_media_playlist(at, media_[request.target], body);
    if (request.kind == Request::Kind::media)
      process_may_differ_ = false;
    return false;
  }
  char title[128] = "", rung[16] = "";
  long long number = -1;
  if (std::sscanf(body.c_str(), "SEG %127s %15s %lld", title, rung, &number) != 3)
    record_error("bytes that are no segment for " + request.target);
  if (number >= 0 && number <= last_segment_)
    record_error("segment " + std::to_string(number) + " after " + std::to_string(last_segment_));
  last_segment_ = number;
  rung_ = std::atoi(rung + 1);
  if (pending_segment_)
    played_to_ = pending_segment_->start + pending_segment_->length;
  pending_segment_.reset();
  return true;
}

void HlsPlayer::on_download(double download_time, double suggested_bits_per_s) {
  download_share_ = download_time / segment_length_;
  if (suggested_bits_per_s > 0)
    suggested_bits_per_s_ = suggested_bits_per_s;
}

void HlsPlayer::on_not_found(const Request& request) {
  if (request.kind == Request::Kind::multivariant)
    return;
  // Steps down a variant; at the lowest one, skips the segment after the third 404 in a row.
  if (current_variant_ > 0 && request.kind != Request::Kind::audio) {
    variants_[current_variant_].unavailable = true;
  } else if (request.kind == Request::Kind::segment && pending_segment_ && ++consecutive_404s_ > 2) {
    played_to_ = pending_segment_->start + pending_segment_->length;
    ++skipped_;
    consecutive_404s_ = 0;
  }
  if (request.kind == Request::Kind::segment) {
    // A listed segment is missing, so the playlist is reloaded.
    for (auto& [target, media] : media_) {
      if (!media.ended && target != audio_)
        media.items.clear(), media.read_at = -1e9;
    }
  }
  if (request.kind == Request::Kind::audio)
    media_[audio_].read_at = 0;
}

}  // namespace violettide::standins
