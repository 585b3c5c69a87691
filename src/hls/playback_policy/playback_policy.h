// Decides which rungs an HLS playback lists, and how to answer requests for playbacks that this front does
// not know. Free of I/O and clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace violettide::hls {

using Duration = std::chrono::microseconds;

// Members ending in `_targets` are multiples of the target duration.
struct RungPolicyOptions {
  Duration idle_timeout{
      10'000'000};  // a recorded playback ends after so long, and its buffer, without a request
  double raise_delay_targets = 3;     // how long a higher rung must be allowed before it is listed
  double unlisted_grace_targets = 3;  // how long segments of a rung are served after it was unlisted
  int max_backoff = 8;                // raises that did not last multiply the raise delay by up to this
  double live_idle_targets = 3;       // a live playback ends after so long without a reload
};

// ---- the rungs of one playback ----

// Events.
struct RungDecided {  // the placement policy allows rungs up to this one
  int rung = 0;
};
struct MultivariantRequested {};  // the multivariant playlist is to be written
struct MediaPlaylistRequested {   // the media playlist of a rung
  int rung = 0;
};
struct SegmentRequested {
  int rung = 0;
  Duration buffer{0};  // as the player reported it
};
struct TargetDurationRead {
  Duration target{0};
  bool live = false;
};
using RungEvent = std::variant<RungDecided, MultivariantRequested, MediaPlaylistRequested, SegmentRequested,
                               TargetDurationRead>;

// Answers to events.
struct ListRungs {  // list the rungs from `low` to `high`
  int low = 0;
  int high = 0;
};
struct UseRung {  // answer with the media playlist of this rung
  int rung = 0;
};
struct Deliver {};    // send the segment
struct RungTooHigh {  // refuse the segment: its rung was unlisted too long ago; `rung` is the highest listed
  int rung = 0;
};
using RungVerdict = std::variant<std::monostate, ListRungs, UseRung, Deliver, RungTooHigh>;

// The highest rung that a playback lists. It follows the decided rung with hysteresis: down at once, up after
// a delay, so that players don't switch back and forth with it.
class RungPolicy {
 public:
  RungPolicy(RungPolicyOptions options, int floor)
      : options_(options), floor_(floor), decided_(floor), listed_(floor) {}
  RungVerdict handle(Duration now, const RungEvent& event);
  // The highest listed rung.
  int listed() const { return listed_; }
  // The playback is over after so long without a request.
  Duration idle_timeout() const;

 private:
  void update_listed(Duration now);
  Duration raise_delay() const;

  RungPolicyOptions options_;
  int floor_ = 0;
  int decided_ = 0;
  int listed_ = 0;
  bool started_ = false;  // something was listed
  bool live_ = false;
  Duration target_{2'000'000};
  Duration buffer_{0};
  Duration above_since_{0};  // since when the decided rung has been above the listed one
  Duration raised_at_{0};
  Duration lowered_at_{0};
  int lowest_decided_ = 0;  // since above_since_
  int backoff_ = 1;
  std::vector<Duration> unlisted_at_;  // by rung; 0 if never
};

// ---- requests for unknown playbacks ----

// Why a playback ended: without requests for too long, its video server failed it, or it was rejected.
enum class EndReason : std::uint8_t { idle, lost, rejected };
// Remembers ended playbacks while players may still request their addresses. Bounded in number and time.
class EndedPlaybacks {
 public:
  explicit EndedPlaybacks(std::size_t capacity = 4096, Duration retention = std::chrono::minutes(10))
      : capacity_(capacity), retention_(retention) {}
  // Replaces an earlier record of the same key; the oldest records are dropped beyond the capacity.
  void record(Duration now, const std::string& key, EndReason reason, Duration retry_after = Duration(0));
  struct Record {
    EndReason reason = EndReason::idle;
    Duration at{0};
    Duration retry_at{0};
  };
  // Nothing if the playback was not recorded or its record is older than the retention.
  std::optional<Record> find(Duration now, const std::string& key) const;
  void forget(const std::string& key);
  std::size_t size() const { return records_.size(); }

 private:
  std::size_t capacity_;
  Duration retention_;
  // By key; with the number of the key's last entry in order_.
  std::map<std::string, std::pair<Record, std::uint64_t>> records_;
  std::deque<std::pair<std::string, std::uint64_t>> order_;  // oldest first
  std::uint64_t next_ = 0;
};

// A request at a signed address whose playback this front does not know.
struct OrphanedRequest {
  enum class Resource { media_playlist, segment, steering };
  Resource resource = Resource::segment;
  bool expired = false;  // the address
  bool paid_at_setup = false;
  bool counted_seats = false;
  std::optional<EndedPlaybacks::Record> ended;
  bool server_ready = false;  // the video server that the address names is listed as ready
};
struct AdoptPlayback {};  // continue at the video server that the address names
struct StartAnew {};      // decide as for a new playback
struct Gone {             // refuse for good; the player must start over at the title's own address
  std::string cause;
};
struct RetryLater {
  Duration after{0};
};
using OrphanVerdict = std::variant<AdoptPlayback, StartAnew, Gone, RetryLater>;
// Decides how to answer a request whose playback this front does not know.
OrphanVerdict judge_orphaned_request(Duration now, const OrphanedRequest& request);

}  // namespace violettide::hls
