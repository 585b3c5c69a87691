// The wheel against a plain sorted map, over random arming, disarming and leaps of time.
#include "timerwheel/timer_wheel.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace violettide {
namespace {

using namespace std::chrono_literals;
using Timers = TimerWheel<int>;

TEST(TimerWheel, RingsInOrderWhenDueAndNotBefore) {
  Timers wheel;
  std::vector<int> rung;
  wheel.schedule(5ms, 5);
  wheel.schedule(3ms, 3);
  wheel.schedule(3500us, 4);  // rounded up: never early
  wheel.schedule(100s, 100);
  wheel.advance(2999us, rung);
  EXPECT_TRUE(rung.empty());
  wheel.advance(5ms, rung);
  EXPECT_EQ(rung, (std::vector{3, 4, 5}));
  EXPECT_LE(*wheel.next(), Timers::Duration(100s));
  wheel.advance(100s, rung);
  EXPECT_EQ(rung.back(), 100);
  EXPECT_FALSE(wheel.next());
}

TEST(TimerWheel, AHandleOutlivesItsTimerHarmlessly) {
  Timers wheel;
  std::vector<int> rung;
  const auto first = wheel.schedule(1ms, 1);
  wheel.advance(1ms, rung);
  const auto second = wheel.schedule(2ms, 2);  // takes the same place
  EXPECT_FALSE(wheel.cancel(first));
  EXPECT_TRUE(wheel.cancel(second));
  EXPECT_FALSE(wheel.cancel(second));
  wheel.advance(1s, rung);
  EXPECT_EQ(rung, std::vector{1});
}

TEST(TimerWheel, AgreesWithASortedMap) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::minstd_rand chance(seed);
    Timers wheel;
    std::multimap<std::int64_t, int> plain;  // by tick
    std::map<int, std::pair<Timers::Handle, std::int64_t>> armed;
    std::int64_t now = 0;
    for (int i = 0; i < 4000; ++i) {
      if (chance() % 3 != 0) {
        const std::int64_t reach[] = {3, 70, 5000, 300000, 40000000};
        const std::int64_t due = now + static_cast<std::int64_t>(chance()) % reach[chance() % 5];
        armed[i] = {wheel.schedule(due * 1ms, i), std::max(due, now + 1)};
        plain.emplace(armed[i].second, i);
      }
      if (chance() % 4 == 0 && !armed.empty()) {
        const auto which = std::next(armed.begin(), static_cast<long>(chance() % armed.size()));
        EXPECT_TRUE(wheel.cancel(which->second.first));
        for (auto [it, end] = plain.equal_range(which->second.second); it != end; ++it) {
          if (it->second == which->first) {
            plain.erase(it);
            break;
          }
        }
        armed.erase(which);
      }
      if (chance() % 5 == 0) {
        const std::int64_t leap[] = {1, 63, 64, 4097, 1000000};
        now += static_cast<std::int64_t>(chance()) % (leap[chance() % 5] + 1);
        std::vector<int> rung;
        wheel.advance(now * 1ms, rung);
        std::vector<int> expected;
        while (!plain.empty() && plain.begin()->first <= now) {
          expected.push_back(plain.begin()->second);
          armed.erase(plain.begin()->second);
          plain.erase(plain.begin());
        }
        auto sorted = rung;
        std::sort(sorted.begin(), sorted.end());
        std::sort(expected.begin(), expected.end());
        ASSERT_EQ(sorted, expected) << "seed " << seed << " step " << i;
        if (!plain.empty()) {
          ASSERT_LE(*wheel.next(), plain.begin()->first * 1ms);
        }
      }
      ASSERT_EQ(wheel.pending(), plain.size());
    }
  }
}

}  // namespace
}  // namespace violettide
