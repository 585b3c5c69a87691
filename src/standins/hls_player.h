// Simulated HLS player. It parses playlists with its own parser, selects a variant by throughput, requests
// segment after segment, and records every inconsistency in its playlists and segments.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace violettide::standins {

// One HLS playback. Times are in seconds.
class HlsPlayer {
 public:
  // `multivariant_target`: request target of the multivariant playlist. Variants above `max_bits_per_s` are
  // never selected.
  HlsPlayer(std::string multivariant_target, double max_bits_per_s)
      : multivariant_target_(std::move(multivariant_target)), max_bits_per_s_(max_bits_per_s) {}

  struct Request {
    enum class Kind { multivariant, media, audio, segment } kind = Kind::multivariant;
    std::string target;
  };
  // The next request, or the seconds to wait before calling again. Nothing: playback reached the end.
  // `buffered`, `room`: seconds of media in the buffer, and the most to buffer.
  std::variant<std::monostate, Request, double> next(double at, double buffered, double room);
  // Records the download time of the last segment and the suggested highest bitrate (CMSD mb) in bits/s, 0 if
  // none.
  void on_download(double download_time, double suggested_bits_per_s);
  // Sets the target for reloads of the multivariant playlist.
  void set_reload_target(std::string target) { reload_target_ = std::move(target); }
  // Processes a complete response with status 200. True if it was a segment.
  bool on_response(double at, const Request& request, const std::string& body);
  // Processes a 404: the rendition is no longer listed, or the box lacks the segment.
  void on_not_found(const Request& request);
  // Processes a lost connection: another manager process may answer the next request.
  void on_connection_lost() {
    process_may_differ_ = true;
    for (auto& [target, media] : media_)
      media.items.clear();
  }
  double segment_length() const { return segment_length_; }
  int rung() const { return rung_; }
  std::size_t skipped() const { return skipped_; }
  std::vector<std::string> take_errors() { return std::exchange(errors_, {}); }

 private:
  struct Item {
    std::uint64_t number = 0;
    double start = 0;  // by EXT-X-PROGRAM-DATE-TIME, or from the start of the playlist
    double length = 0;
    bool discontinuity = false;
    std::string target;
  };
  struct Media {
    std::string target;
    double read_at = -1e9;
    double target_length = 1;
    bool ended = false, has_dates = false;
    std::uint64_t first = 0, end = 0;
    std::map<std::uint64_t, std::string> targets;  // targets by media sequence number, as last listed
    std::vector<Item> items;
  };
  struct Variant {
    double bits_per_s = 0;
    std::string target;
    bool unavailable = false;
  };
  void parse_multivariant_playlist(const std::string& body);
  void parse_media_playlist(double at, Media& media, const std::string& body);
  void record_error(std::string what) { errors_.push_back(std::move(what)); }
  static std::string resolve_uri(const std::string& playlist, const std::string& uri);

  std::string multivariant_target_, reload_target_;
  double max_bits_per_s_ = 0, suggested_bits_per_s_ = 0, last_multivariant_at_ = 0, download_share_ = 1;
  std::vector<Variant> variants_;  // ascending by bitrate
  std::string audio_;
  std::map<std::string, Media> media_;
  std::size_t current_variant_ = 0;
  bool started_ = false, process_may_differ_ = false;
  double played_to_ = -1;  // where the next segment must start; negative before the first
  std::optional<Item> pending_segment_;
  std::int64_t last_segment_ = -1;
  double segment_length_ = 0.5;
  int rung_ = 0;
  std::size_t skipped_ = 0, consecutive_404s_ = 0;
  std::vector<std::string> errors_;
};

}  // namespace violettide::standins
