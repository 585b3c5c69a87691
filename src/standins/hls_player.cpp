#include "standins/hls_player.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace violettide::standins {

namespace {

constexpr double fast = 0.9;      // of its length that a segment may take for the next variant up to be tried
constexpr double worth_it = 1.1;  // more than the best listed, to read the lists again
constexpr double lists_every = 3;  // seconds, at the least
constexpr std::size_t behind_edge = 3;

std::string after(const std::string& line, const char* name) {
  const auto at = line.find(name);
  if (at == std::string::npos)
    return "";
  auto value = line.substr(at + std::char_traits<char>::length(name));
  if (!value.empty() && value[0] == '"')
    return value.substr(1, value.find('"', 1) - 1);
  return value.substr(0, value.find(','));
}

double date(const std::string& text) {
  int y = 0, mo = 0, d = 0, h = 0, mi = 0;
  double s = 0;
  if (std::sscanf(text.c_str(), "%d-%d-%dT%d:%d:%lf", &y, &mo, &d, &h, &mi, &s) != 6)
    return 0;
  return ((d * 24.0 + h) * 60 + mi) * 60 + s;  // within one month
}

}  // namespace

std::string HlsPlayer::beside(const std::string& playlist, const std::string& uri) {
  if (uri.empty() || uri[0] == '/')
    return uri;
  return playlist.substr(0, playlist.rfind('/') + 1) + uri;
}

void HlsPlayer::read_lists(const std::string& body) {
  std::istringstream lines(body);
  variants_.clear();
  double bits = 0;
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("#EXT-X-STREAM-INF:"))
      bits = std::atof(after(line, "AVERAGE-BANDWIDTH=").c_str());
    if (line.starts_with("#EXT-X-MEDIA:") && audio_.empty())
      audio_ = beside(lists_, after(line, "URI="));
    if (line.empty() || line[0] == '#')
      continue;
    variants_.push_back({bits, beside(lists_, line), false});
  }
  std::sort(variants_.begin(), variants_.end(), [](auto& a, auto& b) { return a.bits < b.bits; });
  if (variants_.empty())
    wrong("a multivariant playlist without variants");
  began_ = true;
}

void HlsPlayer::read_media(double at, Media& media, const std::string& body) {
  std::istringstream lines(body);
  std::vector<Item> items;
  std::uint64_t number = 0;
  double begins = 0, length = 0;
  bool breaks = false, dated = false, ended = false;
  std::string first;
  std::getline(lines, first);
  if (first != "#EXTM3U")
    wrong("a media playlist that does not begin as one");
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("#EXT-X-MEDIA-SEQUENCE:"))
      number = std::strtoull(line.c_str() + 22, nullptr, 10);
    if (line.starts_with("#EXT-X-TARGETDURATION:"))
      media.target_length = std::atof(line.c_str() + 22);
    if (line.starts_with("#EXT-X-PROGRAM-DATE-TIME:"))
      begins = date(line.substr(25)), dated = true;
    if (line.starts_with("#EXTINF:"))
      length = std::atof(line.c_str() + 8);
    if (line == "#EXT-X-DISCONTINUITY")
      breaks = true;
    if (line == "#EXT-X-ENDLIST")
      ended = true;
    if (line.empty() || line[0] == '#')
      continue;
    items.push_back({number, begins, length, breaks, beside(media.target, line)});
    ++number;
    begins += length;
    breaks = false;
  }
  const auto from = items.empty() ? number : items.front().number;
  // Another process of the front may count anew; the same one never goes back or says otherwise.
  if (!media.items.empty() && !parted_) {
    if (from < media.first)
      wrong("the media sequence went back in " + media.target);
    if (number < media.end)
      wrong("segments went from the end of " + media.target);
    for (const auto& item : items) {
      const auto known = media.seen.find(item.number);
      if (known != media.seen.end() && known->second != item.target)
        wrong("number " + std::to_string(item.number) + " is another segment, or has another address: " +
              known->second.substr(known->second.rfind('/') + 1) + ", " +
              item.target.substr(item.target.rfind('/') + 1));
    }
  }
  for (std::size_t i = 1; i < items.size(); ++i) {
    const double leap = items[i].begins - (items[i - 1].begins + items[i - 1].length);
    if (std::fabs(leap) > items[i].length / 2 && !items[i].breaks)
      wrong("a leap of " + std::to_string(leap) + " s that no discontinuity tells, in " + media.target);
  }
  media.seen.clear();
  for (const auto& item : items)
    media.seen[item.number] = item.target;
  media.first = from;
  media.end = number;
  media.items = std::move(items);
  media.dated = dated;
  media.ended = ended;
  media.read_at = at;
}

std::variant<std::monostate, HlsPlayer::Ask, double> HlsPlayer::next(double at, double buffered,
                                                                     double room) {
  if (!began_)
    return Ask{Ask::Kind::lists, lists_};
  if (variants_.empty())
    return std::monostate{};
  // More than is listed is to be had: the lists are read again.
  if (!lists_again_.empty() && suggested_ > worth_it * variants_.back().bits &&
      variants_.back().bits < most_bits_ && at > listed_at_ + lists_every) {
    listed_at_ = at;
    return Ask{Ask::Kind::lists, lists_again_};
  }
  if (listed_at_ == 0)
    listed_at_ = at;
  std::size_t best = std::min(at_variant_, variants_.size() - 1);
  if (pace_ > 1 && best > 0)
    --best;
  if (pace_ < fast && best + 1 < variants_.size())
    ++best;
  pace_ = 1;
  while (best > 0 && (variants_[best].refused || variants_[best].bits > most_bits_))
    --best;
  at_variant_ = best;
  if (!audio_.empty() && media_[audio_].read_at < 0) {
    media_[audio_].target = audio_;
    return Ask{Ask::Kind::audio, audio_};
  }
  auto& media = media_[variants_[best].target];
  if (media.target.empty())
    media.target = variants_[best].target;
  if (buffered >= room)
    return std::max(0.02, buffered - room);
  const auto wanted = [&]() -> const Item* {
    for (const auto& item : media.items) {
      if (reached_ < 0 || item.begins > reached_ - item.length / 2)
        return &item;
    }
    return nullptr;
  };
  const Item* item = wanted();
  if (!item && media.ended)
    return std::monostate{};
  // A live list is read again once there may be more, and not more often than it says (RFC 8216, 6.3.4).
  if (!item || media.read_at < 0) {
    const double again = media.read_at + media.target_length / 2;
    if (media.read_at >= 0 && at < again)
      return again - at;
    return Ask{Ask::Kind::media, media.target};
  }
  if (reached_ < 0 && !media.ended && media.items.size() > behind_edge)
    item = &media.items[media.items.size() - behind_edge];
  if (reached_ >= 0 && item->begins > reached_ + item->length / 2) {
    // What it had to play next is in no list any more: it fell behind, or a box told of a hole.
    if (item != &media.items.front() && !item->breaks && !parted_)
      wrong("a hole before " + item->target + " that no discontinuity tells");
    ++skipped_;
  }
  out_ = *item;
  length_ = item->length;
  return Ask{Ask::Kind::segment, item->target};
}

bool HlsPlayer::took(double at, const Ask& ask, const std::string& body) {
  refusals_ = 0;
  if (ask.kind == Ask::Kind::lists) {
    read_lists(body);
    return false;
  }
  if (ask.kind != Ask::Kind::segment) {
    read_media(at, media_[ask.target], body);
    if (ask.kind == Ask::Kind::media)
      parted_ = false;
    return false;
  }
  char title[128] = "", rung[16] = "";
  long long number = -1;
  if (std::sscanf(body.c_str(), "SEG %127s %15s %lld", title, rung, &number) != 3)
    wrong("bytes that are no segment for " + ask.target);
  if (number >= 0 && number <= last_stamp_)
    wrong("segment " + std::to_string(number) + " after " + std::to_string(last_stamp_));
  last_stamp_ = number;
  rung_ = std::atoi(rung + 1);
  if (out_)
    reached_ = out_->begins + out_->length;
  out_.reset();
  return true;
}

void HlsPlayer::line(double took, double suggested_bits) {
  pace_ = took / length_;
  if (suggested_bits > 0)
    suggested_ = suggested_bits;
}

void HlsPlayer::refused(const Ask& ask) {
  if (ask.kind == Ask::Kind::lists)
    return;
  // Down a variant; at the lowest, on to the next segment.
  if (at_variant_ > 0 && ask.kind != Ask::Kind::audio) {
    variants_[at_variant_].refused = true;
  } else if (ask.kind == Ask::Kind::segment && out_ && ++refusals_ > 2) {
    reached_ = out_->begins + out_->length;
    ++skipped_;
    refusals_ = 0;
  }
  if (ask.kind == Ask::Kind::segment) {
    // What was listed is not there: the list is read again.
    for (auto& [target, media] : media_) {
      if (!media.ended && target != audio_)
        media.items.clear(), media.read_at = -1e9;
    }
  }
  if (ask.kind == Ask::Kind::audio)
    media_[audio_].read_at = 0;
}

}  // namespace violettide::standins
