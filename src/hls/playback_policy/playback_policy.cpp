#include "hls/playback_policy/playback_policy.h"

#include <algorithm>
#include <cmath>

namespace violettide::hls {

namespace {

Duration scaled(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

Duration RungPolicy::raise_delay() const { return scaled(target_, options_.raise_delay_targets) * backoff_; }

Duration RungPolicy::idle_timeout() const {
  const Duration minimum = scaled(target_, options_.live_idle_targets);
  return live_ ? minimum + buffer_ : std::max(options_.idle_timeout, minimum) + buffer_;
}

// Follows the decided rung down at once, as capacity is gone, and up after it has stayed above the listed
// rung for the raise delay. The delay doubles each time that a raise did not last, so that a decision that
// alternates does not make players alternate.
void RungPolicy::update_listed(Duration now) {
  if (decided_ < listed_) {
    if (raised_at_ > Duration(0) && now - raised_at_ < 2 * raise_delay())
      backoff_ = std::min(options_.max_backoff, 2 * backoff_);
    else if (now - std::max(raised_at_, lowered_at_) > 4 * raise_delay())
      backoff_ = 1;
    unlisted_at_.resize(std::max<std::size_t>(unlisted_at_.size(), static_cast<std::size_t>(listed_) + 1),
                        Duration(0));
    for (int rung = decided_ + 1; rung <= listed_; ++rung)
      unlisted_at_[static_cast<std::size_t>(rung)] = now;
    listed_ = decided_;
    lowered_at_ = now;
    above_since_ = now;
    lowest_decided_ = decided_;
  } else if (decided_ > listed_) {
    if (now - above_since_ < raise_delay())
      return;
    // Takes the lowest decision of that time, so that a short peak at its end does not count.
    if (lowest_decided_ <= listed_)
      return;
    listed_ = lowest_decided_;
    raised_at_ = now;
    above_since_ = now;
    lowest_decided_ = decided_;
  }
}

RungVerdict RungPolicy::handle(Duration now, const RungEvent& event) {
  if (const auto* decision = std::get_if<RungDecided>(&event)) {
    const int before = decided_;
    decided_ = std::max(floor_, decision->rung);
    // Nothing is listed yet, so that the decision applies at once.
    if (!started_) {
      listed_ = decided_;
      return {};
    }
    if (decided_ <= listed_ || before <= listed_) {
      above_since_ = now;
      lowest_decided_ = decided_;
    } else {
      lowest_decided_ = std::min(lowest_decided_, decided_);
    }
    update_listed(now);
    return {};
  }
  if (const auto* target = std::get_if<TargetDurationRead>(&event)) {
    target_ = target->target;
    live_ = target->live;
    return {};
  }
  update_listed(now);
  if (std::holds_alternative<MultivariantRequested>(event)) {
    started_ = true;
    return ListRungs{floor_, listed_};
  }
  started_ = true;
  if (const auto* media = std::get_if<MediaPlaylistRequested>(&event)) {
    // Never above the rung of the address: the player knows its bandwidth from the multivariant playlist.
    return UseRung{std::max(floor_, std::min(media->rung, listed_))};
  }
  const auto& segment = std::get<SegmentRequested>(event);
  buffer_ = segment.buffer;
  if (segment.rung <= listed_)
    return Deliver{};
  const auto rung = static_cast<std::size_t>(segment.rung);
  if (rung < unlisted_at_.size() && unlisted_at_[rung] > Duration(0) &&
      now - unlisted_at_[rung] <= scaled(target_, options_.unlisted_grace_targets))
    return Deliver{};
  return RungTooHigh{listed_};
}

void EndedPlaybacks::record(Duration now, const std::string& key, EndReason reason, Duration retry_after) {
  while (!order_.empty() && (order_.size() >= capacity_ || records_.size() >= capacity_)) {
    const auto& [oldest, number] = order_.front();
    // A playback recorded again since then has a later entry in the order.
    if (const auto found = records_.find(oldest); found != records_.end() && found->second.second == number)
      records_.erase(found);
    order_.pop_front();
  }
  records_[key] = {{reason, now, now + retry_after}, next_};
  order_.emplace_back(key, next_++);
}

std::optional<EndedPlaybacks::Record> EndedPlaybacks::find(Duration now, const std::string& key) const {
  const auto found = records_.find(key);
  if (found == records_.end() || now - found->second.first.at > retention_)
    return std::nullopt;
  return found->second.first;
}

void EndedPlaybacks::forget(const std::string& key) { records_.erase(key); }

// Never leads to a second set-up for a plan that is paid at set-up: the address proves that one was sent.
OrphanVerdict judge_orphaned_request(Duration now, const OrphanedRequest& request) {
  if (request.ended && request.ended->reason == EndReason::rejected && request.ended->retry_at > now)
    return RetryLater{request.ended->retry_at - now};
  if (request.expired)
    return Gone{"this address has expired"};
  if (request.resource == OrphanedRequest::Resource::steering)
    return Gone{"this playback is over"};
  // Another process served the playback, and its video server continues. Not so with counted seats: only the
  // placement policy knows whether someone else has taken the seat meanwhile.
  if (!request.ended && request.server_ready && !request.counted_seats)
    return AdoptPlayback{};
  if (request.paid_at_setup)
    return Gone{"this playback is over, and its plan pays for each set-up"};
  return StartAnew{};
}

}  // namespace violettide::hls
