// The space-saving sketch, kept as a binary heap, and the choice of replication candidates.
#include "catalogue/demand.h"

#include <algorithm>
#include <cmath>

namespace violettide::catalogue {

Demand::Demand(std::size_t capacity, Duration half_life)
    : capacity_(std::max<std::size_t>(1, capacity)), half_life_(half_life) {
  counters_.reserve(capacity_);
}

// Decays all counts by the same factor, which leaves the heap in order.
void Demand::decay(Duration now) {
  if (now <= decayed_at_)
    return;
  const double remaining = std::exp2(-std::chrono::duration<double>(now - decayed_at_) /
                                     std::chrono::duration<double>(half_life_));
  if (remaining > 0.99)
    return;  // a pass over all counters at each call would cost too much
  decayed_at_ = now;
  for (auto& counter : counters_)
    counter.count *= remaining, counter.max_error *= remaining, counter.turned_away *= remaining;
}

void Demand::swap_counters(std::size_t a, std::size_t b) {
  std::swap(counters_[a], counters_[b]);
  positions_[counters_[a].recording] = a;
  positions_[counters_[b].recording] = b;
}

void Demand::sift_down(std::size_t at) {
  for (;;) {
    std::size_t smallest = at;
    for (const auto child : {2 * at + 1, 2 * at + 2}) {
      if (child < counters_.size() && counters_[child].count < counters_[smallest].count)
        smallest = child;
    }
    if (smallest == at)
      return;
    swap_counters(at, smallest);
    at = smallest;
  }
}

// Returns the counter of a recording. Once all are in use, a new recording takes over the counter with the
// smallest count, keeps that count, and notes it as its largest possible error.
Demand::Counter& Demand::counter(RecordingId recording) {
  if (const auto found = positions_.find(recording); found != positions_.end())
    return counters_[found->second];
  if (counters_.size() < capacity_) {
    counters_.push_back({recording, 0, 0, 0});
    std::size_t at = counters_.size() - 1;
    positions_[recording] = at;
    while (at > 0 && counters_[at].count < counters_[(at - 1) / 2].count) {
      swap_counters(at, (at - 1) / 2);
      at = (at - 1) / 2;
    }
    return counters_[at];
  }
  auto& smallest = counters_.front();
  positions_.erase(smallest.recording);
  smallest = {recording, smallest.count, smallest.count, 0};
  positions_[recording] = 0;
  return smallest;
}

void Demand::record_request(Duration now, RecordingId recording) {
  decay(now);
  counter(recording).count += 1;
  sift_down(positions_.at(recording));
}

void Demand::record_turned_away(Duration now, RecordingId recording) {
  decay(now);
  const auto found = positions_.find(recording);
  if (found != positions_.end())
    counters_[found->second].turned_away += 1;
}

double Demand::estimated_requests(RecordingId recording) const {
  const auto found = positions_.find(recording);
  return found == positions_.end() ? 0 : counters_[found->second].count;
}

std::vector<ReplicationCandidate> Demand::replication_candidates(Duration now, const Snapshot& snapshot,
                                                                 double link_kb_per_s,
                                                                 double playback_kb_per_s,
                                                                 Duration playback_length,
                                                                 double min_utilization, std::size_t limit) {
  decay(now);
  std::vector<ReplicationCandidate> candidates;
  // A count that decays with this half-life equals the mean rate of arrivals times half_life / ln 2.
  const double window_s = std::chrono::duration<double>(half_life_).count() / std::log(2.0);
  for (const auto& counter : counters_) {
    const auto* entry = snapshot.find(counter.recording);
    if (!entry)
      continue;
    ReplicationCandidate candidate{counter.recording,   counter.count,          counter.max_error,
                                   counter.turned_away, entry->holders->size(), 0};
    const double certain_requests = std::max(0.0, counter.count - counter.max_error);
    const double concurrent_playbacks =
        certain_requests / window_s * std::chrono::duration<double>(playback_length).count();
    const double capacity_kb_per_s = link_kb_per_s * static_cast<double>(candidate.holders);
    candidate.link_utilization = capacity_kb_per_s > 0
                                     ? concurrent_playbacks * playback_kb_per_s / capacity_kb_per_s
                                     : (certain_requests > 0 ? 1e9 : 0);
    if (candidate.link_utilization > min_utilization || candidate.turned_away >= 1)
      candidates.push_back(candidate);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const ReplicationCandidate& a, const ReplicationCandidate& b) {
              if (a.turned_away != b.turned_away)
                return a.turned_away > b.turned_away;
              return a.link_utilization != b.link_utilization ? a.link_utilization > b.link_utilization
                                                              : a.recording < b.recording;
            });
  if (candidates.size() > limit)
    candidates.resize(limit);
  return candidates;
}

}  // namespace violettide::catalogue
