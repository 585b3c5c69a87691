// Tests the timing wheel by example, and against a sorted map over random schedules, cancellations and steps
// of time.
#include "timerwheel/timer_wheel.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace violettide {
namespace {

using namespace std::chrono_literals;
using Timers = TimerWheel<int>;

TEST(TimerWheel, TimersExpireInOrderAndNeverEarly) {
  Timers wheel;
  std::vector<int> expired;
  wheel.schedule(5ms, 5);
  wheel.schedule(3ms, 3);
  wheel.schedule(3500us, 4);  // rounded up: never early
  wheel.schedule(100s, 100);
  wheel.advance(2999us, expired);
  EXPECT_TRUE(expired.empty());
  wheel.advance(5ms, expired);
  EXPECT_EQ(expired, (std::vector{3, 4, 5}));
  EXPECT_LE(*wheel.next(), Timers::Duration(100s));
  wheel.advance(100s, expired);
  EXPECT_EQ(expired.back(), 100);
  EXPECT_FALSE(wheel.next());
}

TEST(TimerWheel, AHandleOfAnExpiredTimerCancelsNothing) {
  Timers wheel;
  std::vector<int> expired;
  const auto first = wheel.schedule(1ms, 1);
  wheel.advance(1ms, expired);
  const auto second = wheel.schedule(2ms, 2);  // reuses the storage of the first
  EXPECT_FALSE(wheel.cancel(first));
  EXPECT_TRUE(wheel.cancel(second));
  EXPECT_FALSE(wheel.cancel(second));
  wheel.advance(1s, expired);
  EXPECT_EQ(expired, std::vector{1});
}

TEST(TimerWheel, AgreesWithASortedMap) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::minstd_rand random(seed);
    Timers wheel;
    std::multimap<std::int64_t, int> model;  // by due tick
    std::map<int, std::pair<Timers::Handle, std::int64_t>> scheduled;
    std::int64_t now = 0;
    for (int i = 0; i < 4000; ++i) {
      if (random() % 3 != 0) {
        const std::int64_t delay_limits[] = {3, 70, 5000, 300000, 40000000};
        const std::int64_t due = now + static_cast<std::int64_t>(random()) % delay_limits[random() % 5];
        scheduled[i] = {wheel.schedule(due * 1ms, i), std::max(due, now + 1)};
        model.emplace(scheduled[i].second, i);
      }
      if (random() % 4 == 0 && !scheduled.empty()) {
        const auto which = std::next(scheduled.begin(), static_cast<long>(random() % scheduled.size()));
        EXPECT_TRUE(wheel.cancel(which->second.first));
        for (auto [it, end] = model.equal_range(which->second.second); it != end; ++it) {
          if (it->second == which->first) {
            model.erase(it);
            break;
          }
        }
        scheduled.erase(which);
      }
      if (random() % 5 == 0) {
        const std::int64_t step_limits[] = {1, 63, 64, 4097, 1000000};
        now += static_cast<std::int64_t>(random()) % (step_limits[random() % 5] + 1);
        std::vector<int> expired;
        wheel.advance(now * 1ms, expired);
        std::vector<int> expected;
        while (!model.empty() && model.begin()->first <= now) {
          expected.push_back(model.begin()->second);
          scheduled.erase(model.begin()->second);
          model.erase(model.begin());
        }
        auto sorted = expired;
        std::sort(sorted.begin(), sorted.end());
        std::sort(expected.begin(), expected.end());
        ASSERT_EQ(sorted, expected) << "seed " << seed << " step " << i;
        if (!model.empty()) {
          ASSERT_LE(*wheel.next(), model.begin()->first * 1ms);
        }
      }
      ASSERT_EQ(wheel.pending(), model.size());
    }
  }
}

}  // namespace
}  // namespace violettide
