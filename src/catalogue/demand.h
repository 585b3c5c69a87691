// Which recordings want more copies: demand of late against what their holders can give. A sketch keeps the
// most asked ones (space-saving, halved as time passes), so that memory stays the same however many
// recordings there are. The front does not copy; it tells.
#pragma once

#include <unordered_map>
#include <vector>

#include "catalogue/catalogue.h"

namespace violettide::catalogue {

struct Wanted {
  RecordingId recording = 0;
  double asked = 0;  // playbacks of late, never under the truth by more than `doubt`
  double doubt = 0;
  double turned_away = 0;  // of them, for want of room at its holders
  std::size_t holders = 0;
  double fill = 0;  // what is asked over what its holders' links give, if it had them alone
};

class Demand {
 public:
  // Keeps `size` recordings at the most; demand halves in each `half_life`.
  Demand(std::size_t size, Duration half_life);
  void asked(Duration now, RecordingId recording);
  void turned_away(Duration now, RecordingId recording);
  // Those that fill over `fill` of their holders' links, or whose viewers were turned away, most wanting
  // first. `link_kb`: a holder's link; `playback_kb`: what one playback asks; `life`: how long it lasts.
  std::vector<Wanted> wanting(Duration now, const Snapshot& snapshot, double link_kb, double playback_kb,
                              Duration life, double fill, std::size_t most);
  double asked_of(RecordingId recording) const;
  std::size_t size() const { return counters_.size(); }

 private:
  struct Counter {
    RecordingId recording = 0;
    double count = 0, doubt = 0, turned_away = 0;
  };
  void fade(Duration now);
  Counter& counter(RecordingId recording);
  void sink(std::size_t at);
  void swap(std::size_t a, std::size_t b);

  std::size_t most_;
  Duration half_life_;
  Duration faded_at_{0};
  std::vector<Counter> counters_;  // a heap, the least asked first
  std::unordered_map<RecordingId, std::size_t> places_;
};

}  // namespace violettide::catalogue
