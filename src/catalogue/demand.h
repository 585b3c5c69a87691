// Finds the recordings that need copies on more boxes: compares recent demand with what their boxes' links
// can deliver. A space-saving sketch with exponential decay counts the most requested recordings in constant
// memory, however many there are. The front copies nothing; it only reports.
#pragma once

#include <unordered_map>
#include <vector>

#include "catalogue/catalogue.h"

namespace violettide::catalogue {

// A recording whose holders can't meet its demand.
struct ReplicationCandidate {
  RecordingId recording = 0;
  double requests = 0;  // decayed count of playbacks; over the true one by `max_error` at most, never under
  double max_error = 0;
  double turned_away = 0;  // decayed count of viewers turned away because its holders were full
  std::size_t holders = 0;
  double link_utilization = 0;  // its demand over the capacity of its holders' links
};

class Demand {
 public:
  // Counts at most `capacity` recordings; counts halve in each `half_life`.
  Demand(std::size_t capacity, Duration half_life);
  void record_request(Duration now, RecordingId recording);
  // Ignored for a recording that the sketch doesn't count.
  void record_turned_away(Duration now, RecordingId recording);
  // At most `limit` recordings whose demand exceeds `min_utilization` of their holders' links, or whose
  // viewers were turned away; the most urgent first. `link_kb_per_s`: capacity of one holder's link, kB/s;
  // `playback_kb_per_s`: rate of one playback, kB/s; `playback_length`: how long one lasts.
  std::vector<ReplicationCandidate> replication_candidates(Duration now, const Snapshot& snapshot,
                                                           double link_kb_per_s, double playback_kb_per_s,
                                                           Duration playback_length, double min_utilization,
                                                           std::size_t limit);
  // The decayed count of a recording; 0 if the sketch doesn't count it.
  double estimated_requests(RecordingId recording) const;
  std::size_t size() const { return counters_.size(); }

 private:
  struct Counter {
    RecordingId recording = 0;
    double count = 0, max_error = 0, turned_away = 0;
  };
  void decay(Duration now);
  Counter& counter(RecordingId recording);
  void sift_down(std::size_t at);
  void swap_counters(std::size_t a, std::size_t b);

  std::size_t capacity_;
  Duration half_life_;
  Duration decayed_at_{0};
  std::vector<Counter> counters_;  // a min-heap by count
  std::unordered_map<RecordingId, std::size_t> positions_;
};

}  // namespace violettide::catalogue
