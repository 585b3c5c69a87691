// A hierarchical timing wheel. Scheduling and cancelling take constant time however many timers are
// pending, which suits timers that are nearly all cancelled before they expire, such as the limits of tries
// and of silence. Six levels of 64 slots, a millisecond each at the lowest level, span two years.
// bench/bench.cpp compares it with std::priority_queue and uv_timer.
#pragma once

#include <array>
#include <bit>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace violettide {

// A set of timers, each with a payload. Times are microseconds from any fixed origin, rounded up to whole
// milliseconds (ticks).
template <typename Payload>
class TimerWheel {
 public:
  using Duration = std::chrono::microseconds;
  // Identifies one scheduled timer. Safe to use after the timer has expired: its storage is reused under
  // another generation.
  struct Handle {
    std::uint32_t index = none;
    std::uint32_t generation = 0;
  };

  // The timer expires at the first advance() that reaches `at`; if `at` has passed, at the next advance()
  // that reaches a new tick.
  Handle schedule(Duration at, Payload payload) {
    const auto index = allocate();
    auto& timer = timers_[index];
    timer.due = std::max(tick_rounded_up(at), now_ + 1);
    timer.payload = std::move(payload);
    timer.pending = true;
    ++pending_;
    insert(index);
    return {index, timer.generation};
  }

  // Returns false if the timer has expired or was cancelled before.
  bool cancel(Handle handle) {
    if (!is_pending(handle))
      return false;
    remove(handle.index);
    release(handle.index);
    return true;
  }

  // Whether the timer has neither expired nor been cancelled.
  bool is_pending(Handle handle) const {
    if (handle.index >= timers_.size())
      return false;
    const auto& timer = timers_[handle.index];
    return timer.pending && timer.generation == handle.generation;
  }

  // Moves on to `now` and appends the payloads of expired timers, by time and then by order of scheduling.
  // The caller may schedule and cancel timers afterwards; those scheduled in the past expire at a later call.
  void advance(Duration now, std::vector<Payload>& expired) {
    const auto until = static_cast<std::uint64_t>(std::max<std::int64_t>(0, now.count() / tick_us));
    while (now_ < until) {
      const auto next = next_occupied_tick(until);
      now_ = next;
      cascade();
      auto& slot = levels_[0].head[now_ % slots_per_level];
      while (slot != none) {
        const auto index = slot;
        remove(index);
        expired.push_back(std::move(timers_[index].payload));
        release(index);
      }
    }
  }

  // No timer expires before the returned time; empty if none is pending. The time may be earlier than the
  // next expiry, where advance() only moves timers to a lower level.
  std::optional<Duration> next() const {
    if (pending_ == 0)
      return std::nullopt;
    return Duration(static_cast<std::int64_t>(next_occupied_tick(~std::uint64_t{0})) * tick_us);
  }
  // The number of timers that have neither expired nor been cancelled.
  std::size_t pending() const { return pending_; }

 private:
  static constexpr std::uint32_t none = ~std::uint32_t{0};
  static constexpr std::int64_t tick_us = 1000;
  static constexpr unsigned slots_per_level = 64;
  static constexpr unsigned bits_per_level = 6;
  static constexpr unsigned level_count = 6;

  struct Timer {
    std::uint64_t due = 0;  // in ticks
    // Neighbours in the list of the slot.
    std::uint32_t previous = none, next = none;
    std::uint32_t generation = 0;
    std::uint16_t level = 0, slot = 0;
    bool pending = false;
    Payload payload{};
  };
  struct Level {
    std::array<std::uint32_t, slots_per_level> head;
    std::array<std::uint32_t, slots_per_level> tail;
    std::uint64_t occupied = 0;  // one bit for each slot that holds a timer
    Level() { head.fill(none), tail.fill(none); }
  };

  static std::uint64_t tick_rounded_up(Duration at) {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, (at.count() + tick_us - 1) / tick_us));
  }

  std::uint32_t allocate() {
    if (free_.empty()) {
      timers_.emplace_back();
      return static_cast<std::uint32_t>(timers_.size() - 1);
    }
    const auto index = free_.back();
    free_.pop_back();
    return index;
  }

  void release(std::uint32_t index) {
    auto& timer = timers_[index];
    timer.pending = false;
    timer.payload = Payload{};
    ++timer.generation;
    free_.push_back(index);
    --pending_;
  }

  // The level is that of the highest base-64 digit in which the due tick and the current one differ, so that
  // the wheel reaches the timer's slot exactly when that digit comes up.
  void insert(std::uint32_t index) {
    auto& timer = timers_[index];
    const std::uint64_t differing = timer.due ^ now_;
    unsigned level =
        differing == 0 ? 0 : (63 - static_cast<unsigned>(std::countl_zero(differing))) / bits_per_level;
    if (level >= level_count) {  // beyond the wheel's span: due at the last tick before the wheel wraps
      level = level_count - 1;
      timer.due = now_ | ((std::uint64_t{1} << (level_count * bits_per_level)) - 1);
    }
    timer.level = static_cast<std::uint16_t>(level);
    timer.slot = static_cast<std::uint16_t>((timer.due >> (level * bits_per_level)) % slots_per_level);
    auto& slots = levels_[level];
    timer.previous = slots.tail[timer.slot];
    timer.next = none;
    (timer.previous == none ? slots.head[timer.slot] : timers_[timer.previous].next) = index;
    slots.tail[timer.slot] = index;
    slots.occupied |= std::uint64_t{1} << timer.slot;
  }

  void remove(std::uint32_t index) {
    auto& timer = timers_[index];
    auto& slots = levels_[timer.level];
    (timer.previous == none ? slots.head[timer.slot] : timers_[timer.previous].next) = timer.next;
    (timer.next == none ? slots.tail[timer.slot] : timers_[timer.next].previous) = timer.previous;
    if (slots.head[timer.slot] == none)
      slots.occupied &= ~(std::uint64_t{1} << timer.slot);
  }

  // The next tick at which an occupied slot of any level is reached, `until` at most.
  std::uint64_t next_occupied_tick(std::uint64_t until) const {
    std::uint64_t next = until;
    for (unsigned level = 0; level < level_count; ++level) {
      const auto digit = (now_ >> (level * bits_per_level)) % slots_per_level;
      const auto later =
          digit + 1 < slots_per_level ? levels_[level].occupied >> (digit + 1) << (digit + 1) : 0;
      if (later == 0)
        continue;
      const auto slot = static_cast<std::uint64_t>(std::countr_zero(later));
      const auto higher_digits = now_ >> ((level + 1) * bits_per_level) << ((level + 1) * bits_per_level);
      next = std::min(next, higher_digits | (slot << (level * bits_per_level)));
    }
    return next;
  }

  // Moves the timers in the higher levels' slots that the current tick reaches to lower levels.
  void cascade() {
    for (unsigned level = level_count - 1; level > 0; --level) {
      if (now_ % (std::uint64_t{1} << (level * bits_per_level)) != 0)
        continue;
      auto& slot = levels_[level].head[(now_ >> (level * bits_per_level)) % slots_per_level];
      while (slot != none) {
        const auto index = slot;
        remove(index);
        insert(index);
      }
    }
  }

  std::uint64_t now_ = 0;  // in ticks
  std::size_t pending_ = 0;
  std::array<Level, level_count> levels_;
  std::vector<Timer> timers_;
  std::vector<std::uint32_t> free_;
};

}  // namespace violettide
