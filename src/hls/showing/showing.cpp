#include <algorithm>
#include <cmath>

#include "hls/playback_policy/playback_policy.h"

namespace violettide::hls {

namespace {

Duration times(Duration span, double factor) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(span.count()) * factor));
}

}  // namespace

Duration Showing::steady() const { return times(target_, terms_.steady_targets) * patience_; }

Duration Showing::silence() const {
  const Duration least = times(target_, terms_.silent_targets);
  return live_ ? least + buffer_ : std::max(terms_.silence, least) + buffer_;
}

// A fall is shown at once, as room is gone; a rise once it has stood, and later each time that one did not
// last, so that a word that goes up and down moves no player up and down.
void Showing::settle(Duration now) {
  if (word_ < shown_) {
    if (rose_at_ > Duration(0) && now - rose_at_ < 2 * steady())
      patience_ = std::min(terms_.most_patience, 2 * patience_);
    else if (now - std::max(rose_at_, fell_at_) > 4 * steady())
      patience_ = 1;
    left_at_.resize(std::max<std::size_t>(left_at_.size(), static_cast<std::size_t>(shown_) + 1),
                    Duration(0));
    for (int rung = word_ + 1; rung <= shown_; ++rung)
      left_at_[static_cast<std::size_t>(rung)] = now;
    shown_ = word_;
    fell_at_ = now;
    higher_since_ = now;
    lowest_since_ = word_;
  } else if (word_ > shown_) {
    if (now - higher_since_ < steady())
      return;
    // The lowest word of all that while, so that one peak at its end counts for nothing.
    if (lowest_since_ <= shown_)
      return;
    shown_ = lowest_since_;
    rose_at_ = now;
    higher_since_ = now;
    lowest_since_ = word_;
  }
}

ShowVerdict Showing::handle(Duration now, const ShowEvent& event) {
  if (const auto* word = std::get_if<RungIs>(&event)) {
    const int before = word_;
    word_ = std::max(floor_, word->rung);
    // Before anything was listed there is nothing to go up and down.
    if (!began_) {
      shown_ = word_;
      return {};
    }
    if (word_ <= shown_ || before <= shown_) {
      higher_since_ = now;
      lowest_since_ = word_;
    } else {
      lowest_since_ = std::min(lowest_since_, word_);
    }
    settle(now);
    return {};
  }
  if (const auto* target = std::get_if<TargetIs>(&event)) {
    target_ = target->target;
    live_ = target->live;
    return {};
  }
  settle(now);
  if (std::holds_alternative<ListsAsked>(event)) {
    began_ = true;
    return ListRungs{floor_, shown_};
  }
  began_ = true;
  if (const auto* media = std::get_if<MediaAsked>(&event)) {
    // Never above what the player takes its address to be: bandwidth was stated with it.
    return FillFrom{std::max(floor_, std::min(media->rung, shown_))};
  }
  const auto& segment = std::get<SegmentAsked>(event);
  buffer_ = segment.buffer;
  if (segment.rung <= shown_)
    return Deliver{};
  const auto rung = static_cast<std::size_t>(segment.rung);
  if (rung < left_at_.size() && left_at_[rung] > Duration(0) &&
      now - left_at_[rung] <= times(target_, terms_.grace_targets))
    return Deliver{};
  return TooHigh{shown_};
}

void Departures::note(Duration now, const std::string& key, Ending how, Duration come_back) {
  while (!order_.empty() && (order_.size() >= most_ || known_.size() >= most_)) {
    const auto& [oldest, number] = order_.front();
    // One noted again since has a later place in the order.
    if (const auto found = known_.find(oldest); found != known_.end() && found->second.second == number)
      known_.erase(found);
    order_.pop_front();
  }
  known_[key] = {{how, now, now + come_back}, next_};
  order_.emplace_back(key, next_++);
}

std::optional<Departures::Departed> Departures::find(Duration now, const std::string& key) const {
  const auto found = known_.find(key);
  if (found == known_.end() || now - found->second.first.at > kept_)
    return std::nullopt;
  return found->second.first;
}

void Departures::forget(const std::string& key) { known_.erase(key); }

// No path of these sends a set-up for a plan that is paid at set-up: its address proves that one was sent.
OrphanVerdict judge(Duration now, const Orphan& orphan) {
  if (orphan.departed && orphan.departed->how == Ending::refused && orphan.departed->come_back_at > now)
    return ComeBack{orphan.departed->come_back_at - now};
  if (orphan.expired)
    return Over{"this address has expired"};
  if (orphan.asks == Orphan::Asks::steering)
    return Over{"this playback is over"};
  // Nothing is known of it here: another process served it, whose box goes on. Seats are the exception: who
  // else took one meanwhile is for the module to count.
  if (!orphan.departed && orphan.box_ready && !orphan.counted_seats)
    return CarryOver{};
  if (orphan.paid_at_setup)
    return Over{"this playback is over, and its plan pays for each set-up"};
  return BeginAnew{};
}

}  // namespace violettide::hls
