#include "catalogue/demand.h"

#include <algorithm>
#include <cmath>

namespace violettide::catalogue {

Demand::Demand(std::size_t size, Duration half_life)
    : most_(std::max<std::size_t>(1, size)), half_life_(half_life) {
  counters_.reserve(most_);
}

// All counts fade alike, so their order, and the heap, stay as they are.
void Demand::fade(Duration now) {
  if (now <= faded_at_)
    return;
  const double kept =
      std::exp2(-std::chrono::duration<double>(now - faded_at_) / std::chrono::duration<double>(half_life_));
  if (kept > 0.99)
    return;  // little by little would cost a pass each time
  faded_at_ = now;
  for (auto& counter : counters_)
    counter.count *= kept, counter.doubt *= kept, counter.turned_away *= kept;
}

void Demand::swap(std::size_t a, std::size_t b) {
  std::swap(counters_[a], counters_[b]);
  places_[counters_[a].recording] = a;
  places_[counters_[b].recording] = b;
}

void Demand::sink(std::size_t at) {
  for (;;) {
    std::size_t least = at;
    for (const auto below : {2 * at + 1, 2 * at + 2}) {
      if (below < counters_.size() && counters_[below].count < counters_[least].count)
        least = below;
    }
    if (least == at)
      return;
    swap(at, least);
    at = least;
  }
}

// The counter of a recording; a new one takes the place of the least asked and its count, as doubt.
Demand::Counter& Demand::counter(RecordingId recording) {
  if (const auto found = places_.find(recording); found != places_.end())
    return counters_[found->second];
  if (counters_.size() < most_) {
    counters_.push_back({recording, 0, 0, 0});
    std::size_t at = counters_.size() - 1;
    places_[recording] = at;
    while (at > 0 && counters_[at].count < counters_[(at - 1) / 2].count) {
      swap(at, (at - 1) / 2);
      at = (at - 1) / 2;
    }
    return counters_[at];
  }
  auto& least = counters_.front();
  places_.erase(least.recording);
  least = {recording, least.count, least.count, 0};
  places_[recording] = 0;
  return least;
}

void Demand::asked(Duration now, RecordingId recording) {
  fade(now);
  counter(recording).count += 1;
  sink(places_.at(recording));
}

void Demand::turned_away(Duration now, RecordingId recording) {
  fade(now);
  const auto found = places_.find(recording);
  if (found != places_.end())
    counters_[found->second].turned_away += 1;
}

double Demand::asked_of(RecordingId recording) const {
  const auto found = places_.find(recording);
  return found == places_.end() ? 0 : counters_[found->second].count;
}

std::vector<Wanted> Demand::wanting(Duration now, const Snapshot& snapshot, double link_kb,
                                    double playback_kb, Duration life, double fill, std::size_t most) {
  fade(now);
  std::vector<Wanted> wanting;
  // A count that halves in each half-life stands for so many seconds of arrivals.
  const double window = std::chrono::duration<double>(half_life_).count() / std::log(2.0);
  for (const auto& counter : counters_) {
    const auto* entry = snapshot.find(counter.recording);
    if (!entry)
      continue;
    Wanted one{counter.recording,   counter.count,          counter.doubt,
               counter.turned_away, entry->holders->size(), 0};
    const double sure = std::max(0.0, counter.count - counter.doubt);
    const double playing = sure / window * std::chrono::duration<double>(life).count();
    const double given = link_kb * static_cast<double>(one.holders);
    one.fill = given > 0 ? playing * playback_kb / given : (sure > 0 ? 1e9 : 0);
    if (one.fill > fill || one.turned_away >= 1)
      wanting.push_back(one);
  }
  std::sort(wanting.begin(), wanting.end(), [](const Wanted& a, const Wanted& b) {
    if (a.turned_away != b.turned_away)
      return a.turned_away > b.turned_away;
    return a.fill != b.fill ? a.fill > b.fill : a.recording < b.recording;
  });
  if (wanting.size() > most)
    wanting.resize(most);
  return wanting;
}

}  // namespace violettide::catalogue
