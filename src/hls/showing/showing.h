// What a playback's playlists may list now, and what an address gets whose playback is not what it was.
// Free of I/O and clock.
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

struct ShowTerms {
  Duration silence{10'000'000};  // a recorded playback that asks nothing for so long, and its buffer, is over
  double steady_targets = 3;     // a higher rung must have stood for so many target durations to be shown
  double grace_targets = 3;      // what was listed stays good for so long after its rung is shown no more
  int most_patience = 8;         // rises that did not last make the next one wait up to so many times longer
  double silent_targets = 3;     // a live playback that reloads nothing for so long is over
};

// ---- one playback ----

// What it met.
struct RungIs {  // by the module's word
  int rung = 0;
};
struct ListsAsked {};  // the multivariant playlist is to be written
struct MediaAsked {    // the media playlist of a rendition
  int rung = 0;
};
struct SegmentAsked {
  int rung = 0;
  Duration buffer{0};  // as the player said
};
struct TargetIs {
  Duration target{0};
  bool live = false;
};
using ShowEvent = std::variant<RungIs, ListsAsked, MediaAsked, SegmentAsked, TargetIs>;

// What to do.
struct ListRungs {  // these renditions and no others
  int low = 0, high = 0;
};
struct FillFrom {  // the media playlist is filled from this rung
  int rung = 0;
};
struct Deliver {};
struct TooHigh {  // the segment's rung has not been shown for too long to be sent; this one is
  int rung = 0;
};
using ShowVerdict = std::variant<std::monostate, ListRungs, FillFrom, Deliver, TooHigh>;

class Showing {
 public:
  Showing(ShowTerms terms, int floor) : terms_(terms), floor_(floor), word_(floor), shown_(floor) {}
  ShowVerdict handle(Duration now, const ShowEvent& event);
  int shown() const { return shown_; }
  // Nothing asked for so long means that it is over.
  Duration silence() const;

 private:
  void settle(Duration now);
  Duration steady() const;

  ShowTerms terms_;
  int floor_ = 0;
  int word_ = 0;   // the module's
  int shown_ = 0;  // what players may see of it
  bool began_ = false, live_ = false;
  Duration target_{2'000'000}, buffer_{0};
  Duration higher_since_{0};  // since when the word has stood above what is shown
  Duration rose_at_{0}, fell_at_{0};
  int lowest_since_ = 0;  // of the words since then
  int patience_ = 1;
  std::vector<Duration> left_at_;  // by rung: since when it is not shown
};

// ---- addresses of playbacks that are not known ----

enum class Ending : std::uint8_t { silent, lost, refused };
// What became of playbacks, for as long as an old address may still be asked for it. Bounded.
class Departures {
 public:
  explicit Departures(std::size_t most = 4096, Duration kept = std::chrono::minutes(10))
      : most_(most), kept_(kept) {}
  void note(Duration now, const std::string& key, Ending how, Duration come_back = Duration(0));
  struct Departed {
    Ending how = Ending::silent;
    Duration at{0}, come_back_at{0};
  };
  std::optional<Departed> find(Duration now, const std::string& key) const;
  void forget(const std::string& key);
  std::size_t size() const { return known_.size(); }

 private:
  std::size_t most_;
  Duration kept_;
  std::map<std::string, std::pair<Departed, std::uint64_t>> known_;
  std::deque<std::pair<std::string, std::uint64_t>> order_;
  std::uint64_t next_ = 0;
};

struct Orphan {
  enum class Asks { media_playlist, segment, steering };
  Asks asks = Asks::segment;
  bool expired = false;
  bool paid_at_setup = false, counted_seats = false;
  std::optional<Departures::Departed> departed;
  bool box_ready = false;  // the box that its address names is listed, and well as far as is known
};
struct CarryOver {};  // it plays at its box still: go on there
struct BeginAnew {};  // ask the module as for a new playback
struct Over {         // for good: a new one must be asked for by its own name
  std::string cause;
};
struct ComeBack {
  Duration in{0};
};
using OrphanVerdict = std::variant<CarryOver, BeginAnew, Over, ComeBack>;
OrphanVerdict judge(Duration now, const Orphan& orphan);

}  // namespace violettide::hls
