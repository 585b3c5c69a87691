// A hierarchical timing wheel: arming and disarming cost the same however many timers there are, which
// suits timers that are nearly all disarmed before they ring (tries, silences). Six rings of 64 slots of
// a millisecond and up reach two years. Measured beside std::priority_queue and uv_timer in bench/.
#pragma once

#include <array>
#include <bit>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace violettide {

template <typename Payload>
class TimerWheel {
 public:
  using Duration = std::chrono::microseconds;
  // Names one armed timer; stays harmless after it has rung, as slots carry a generation.
  struct Handle {
    std::uint32_t place = none;
    std::uint32_t generation = 0;
  };

  // Rings at the first advance() that reaches `at`; a time past rings at the next one.
  Handle schedule(Duration at, Payload payload) {
    const auto place = take_place();
    auto& timer = timers_[place];
    timer.due = std::max(tick_of_up(at), now_ + 1);
    timer.payload = std::move(payload);
    timer.armed = true;
    ++armed_;
    link(place);
    return {place, timer.generation};
  }

  // False if it has rung or was disarmed before.
  bool cancel(Handle handle) {
    if (handle.place >= timers_.size())
      return false;
    auto& timer = timers_[handle.place];
    if (!timer.armed || timer.generation != handle.generation)
      return false;
    unlink(handle.place);
    release(handle.place);
    return true;
  }

  // Moves on to `now` and appends what rang, in order of time, then of arming. A handler may arm and
  // disarm afterwards; what it arms in the past rings at the next call.
  void advance(Duration now, std::vector<Payload>& rung) {
    const auto until = static_cast<std::uint64_t>(std::max<std::int64_t>(0, now.count() / tick_us));
    while (now_ < until) {
      const auto next = next_busy_tick(until);
      now_ = next;
      cascade();
      auto& slot = rings_[0].head[now_ % slots];
      while (slot != none) {
        const auto place = slot;
        unlink(place);
        rung.push_back(std::move(timers_[place].payload));
        release(place);
      }
    }
  }

  // No timer rings before this; the wheel may name a time at which it only sorts timers further in.
  std::optional<Duration> next() const {
    if (armed_ == 0)
      return std::nullopt;
    return Duration(static_cast<std::int64_t>(next_busy_tick(~std::uint64_t{0})) * tick_us);
  }
  std::size_t pending() const { return armed_; }

 private:
  static constexpr std::uint32_t none = ~std::uint32_t{0};
  static constexpr std::int64_t tick_us = 1000;
  static constexpr unsigned slots = 64;
  static constexpr unsigned bits = 6;
  static constexpr unsigned rings = 6;

  struct Timer {
    std::uint64_t due = 0;
    std::uint32_t before = none, after = none;
    std::uint32_t generation = 0;
    std::uint16_t ring = 0, slot = 0;
    bool armed = false;
    Payload payload{};
  };
  struct Ring {
    std::array<std::uint32_t, slots> head;
    std::array<std::uint32_t, slots> tail;
    std::uint64_t busy = 0;  // a bit for each slot that holds a timer
    Ring() { head.fill(none), tail.fill(none); }
  };

  static std::uint64_t tick_of_up(Duration at) {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, (at.count() + tick_us - 1) / tick_us));
  }

  std::uint32_t take_place() {
    if (free_.empty()) {
      timers_.emplace_back();
      return static_cast<std::uint32_t>(timers_.size() - 1);
    }
    const auto place = free_.back();
    free_.pop_back();
    return place;
  }

  void release(std::uint32_t place) {
    auto& timer = timers_[place];
    timer.armed = false;
    timer.payload = Payload{};
    ++timer.generation;
    free_.push_back(place);
    --armed_;
  }

  // The ring is that of the highest digit in which the due tick and the present one differ, so that a
  // timer meets its slot exactly when the wheel turns to it.
  void link(std::uint32_t place) {
    auto& timer = timers_[place];
    const std::uint64_t differ = timer.due ^ now_;
    unsigned ring = differ == 0 ? 0 : (63 - static_cast<unsigned>(std::countl_zero(differ))) / bits;
    if (ring >= rings) {  // beyond reach: kept in the last slot before the wheel wraps, sorted in again there
      ring = rings - 1;
      timer.due = now_ | ((std::uint64_t{1} << (rings * bits)) - 1);
    }
    timer.ring = static_cast<std::uint16_t>(ring);
    timer.slot = static_cast<std::uint16_t>((timer.due >> (ring * bits)) % slots);
    auto& in = rings_[ring];
    timer.before = in.tail[timer.slot];
    timer.after = none;
    (timer.before == none ? in.head[timer.slot] : timers_[timer.before].after) = place;
    in.tail[timer.slot] = place;
    in.busy |= std::uint64_t{1} << timer.slot;
  }

  void unlink(std::uint32_t place) {
    auto& timer = timers_[place];
    auto& in = rings_[timer.ring];
    (timer.before == none ? in.head[timer.slot] : timers_[timer.before].after) = timer.after;
    (timer.after == none ? in.tail[timer.slot] : timers_[timer.after].before) = timer.before;
    if (in.head[timer.slot] == none)
      in.busy &= ~(std::uint64_t{1} << timer.slot);
  }

  // The next tick at which some slot comes up, `until` at most.
  std::uint64_t next_busy_tick(std::uint64_t until) const {
    std::uint64_t next = until;
    for (unsigned ring = 0; ring < rings; ++ring) {
      const auto digit = (now_ >> (ring * bits)) % slots;
      const auto later = digit + 1 < slots ? rings_[ring].busy >> (digit + 1) << (digit + 1) : 0;
      if (later == 0)
        continue;
      const auto slot = static_cast<std::uint64_t>(std::countr_zero(later));
      const auto above = now_ >> ((ring + 1) * bits) << ((ring + 1) * bits);
      next = std::min(next, above | (slot << (ring * bits)));
    }
    return next;
  }

  // Sorts the timers of the outer slots that the wheel has just turned to further in.
  void cascade() {
    for (unsigned ring = rings - 1; ring > 0; --ring) {
      if (now_ % (std::uint64_t{1} << (ring * bits)) != 0)
        continue;
      auto& slot = rings_[ring].head[(now_ >> (ring * bits)) % slots];
      while (slot != none) {
        const auto place = slot;
        unlink(place);
        link(place);
      }
    }
  }

  std::uint64_t now_ = 0;
  std::size_t armed_ = 0;
  std::array<Ring, rings> rings_;
  std::vector<Timer> timers_;
  std::vector<std::uint32_t> free_;
};

}  // namespace violettide
