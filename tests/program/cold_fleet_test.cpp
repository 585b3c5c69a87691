// Cold servers under a fleet of modules that decide alone: in every window the sum of their set-ups stays
// within what the settings allow a server, plus a margin for chance. docs/design.md gives the reasons.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include "policy/policy.h"

namespace violettide {
namespace {

using namespace std::chrono_literals;

double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

// Simulates demand far above the pace, spread unevenly over the managers; servers that accept, refuse or
// reset set-ups; late lists; and managers that restart with the same index.
class Fleet {
 public:
  struct Shape {
    int managers = 3;
    int servers = 1;  // all started at the same time
    bool indices_set = true;
    bool restarts = true;
    double reset_share = 0.05;  // of set-ups
    double demand = 10;         // mean requests per second and manager
  };

  Fleet(Shape shape, std::uint64_t seed) : shape_(shape), random_(seed) {
    settings_.plans.resize(1);
    settings_.plans[0].startup_target = 500ms;
    settings_.rung_kb = {1};
    settings_.streams_by_kind = {24};
    settings_.has_weights = true;
    settings_.link_kb_per_weight = 1e9;
    settings_.front_count = shape.managers;
    settings_.warmup_time = 8s;
    settings_.warmup_initial_share = 0.5;
    settings_.overload_multiple = 3;
    settings_.max_tries = 3;
    managers_.resize(static_cast<std::size_t>(shape.managers));
    sent_.resize(static_cast<std::size_t>(shape.servers));
    for (int i = 0; i < shape.managers; ++i)
      start(i, -200s - uniform_seconds(0, 100));
  }

  void run() {
    double weight = 0;
    for (int i = 0; i < shape_.managers; ++i)
      weight += weight_of(i) / shape_.managers;
    for (int i = 0; i < shape_.managers; ++i) {
      schedule(uniform_seconds(0, 2), [this, i] { send_list(i); });
      schedule_request(i, weight / (shape_.demand * weight_of(i)));
      if (shape_.restarts && uniform() < 0.4)
        schedule(uniform_seconds(0, 8), [this, i] { start(i, now_), send_list(i); });
    }
    while (!events_.empty() && events_.begin()->first <= settings_.warmup_time) {
      now_ = events_.begin()->first;
      const auto action = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
    }
  }

  // Highest ratio of set-ups in a window to the number allowed; above 1 the server would be overloaded.
  double max_window_ratio(Duration window) const {
    double max_window_ratio = 0;
    for (const auto& sent : sent_) {
      for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
        while (sent[first] <= sent[last] - window)
          ++first;
        const double allowed = allowed_in(sent[last] - window, window);
        max_window_ratio = std::max(
            max_window_ratio, static_cast<double>(last - first + 1) / (allowed + 2 * std::sqrt(allowed) + 2));
      }
    }
    return max_window_ratio;
  }
  std::size_t sent() const {
    std::size_t all = 0;
    for (const auto& one : sent_)
      all += one.size();
    return all;
  }

 private:
  struct Manager {
    std::unique_ptr<Policy> policy;
    Duration start_time{0};
    PlaybackId next = 0;
    int incarnation = 0;
  };

  // Set-ups allowed in a window: the overload multiple of a capacity that grows linearly from
  // `warmup_initial_share` to 1.
  double allowed_in(Duration from, Duration window) const {
    const double begin = std::max(0.0, seconds(from)), end = std::max(0.0, seconds(from + window));
    const auto capacity_integral = [&](double t) {
      return settings_.warmup_initial_share * t +
             (1 - settings_.warmup_initial_share) * t * t / (2 * seconds(settings_.warmup_time));
    };
    return settings_.overload_multiple * 24 / seconds(settings_.warmup_time) *
           (capacity_integral(end) - capacity_integral(begin));
  }
  static double weight_of(int manager) {
    return 1.0 / (1 + manager % 7);
  }  // some managers get several times the demand of others

  double uniform() { return std::uniform_real_distribution<>()(random_); }
  Duration uniform_seconds(double from, double to) {
    return Duration(static_cast<std::int64_t>(1e6 * (from + (to - from) * uniform())));
  }
  void schedule(Duration when, std::function<void()> action) { events_.emplace(when, std::move(action)); }

  void start(int i, Duration when) {
    auto& manager = managers_[i];
    auto settings = settings_;
    if (shape_.indices_set)
      settings.front_index = i;
    manager.policy = std::make_unique<Policy>(settings, random_());
    manager.start_time = when;
    ++manager.incarnation;
  }
  void send_list(int i) {
    ServerList list;
    list.kind = ServerList::Kind::changes;
    for (int server = 0; server < shape_.servers; ++server) {
      ServerEntry entry;
      entry.server = static_cast<ServerId>(server);
      entry.started = -managers_[i].start_time;
      list.entries.push_back(entry);
    }
    deliver(i, list);
  }
  void schedule_request(int i, double mean) {
    schedule(
        now_ + Duration(static_cast<std::int64_t>(1e6 * std::exponential_distribution<>(1 / mean)(random_))),
        [=, this] {
          Request request;
          request.playback = managers_[i].next++;
          request.title = static_cast<TitleId>(request.playback % 50);
          request.abandon_at = now_ - managers_[i].start_time + 2s;
          deliver(i, request);
          schedule_request(i, mean);
        });
  }
  void deliver(int i, const Event& event) {
    for (const auto& command : managers_[i].policy->handle(now_ - managers_[i].start_time, event)) {
      if (const auto* set_up = std::get_if<SetUp>(&command))
        accept(i, *set_up);
      if (const auto* timer = std::get_if<SetTimer>(&command))
        schedule_event(i, timer->delay, TimerExpired{timer->token});
    }
  }
  void schedule_event(int i, Duration in, Event event) {
    schedule(now_ + in, [this, i, event, incarnation = managers_[i].incarnation] {
      if (managers_[i].incarnation == incarnation)
        deliver(i, event);
    });
  }
  void accept(int i, const SetUp& command) {
    sent_[command.server].push_back(now_);
    const double outcome_draw = uniform();
    if (outcome_draw < shape_.reset_share)
      return schedule_event(i, 5ms, TryEnded{command.playback, command.server, Outcome::reset, false, {}});
    if (outcome_draw < shape_.reset_share + 0.1)
      return schedule_event(i, 5ms, TryEnded{command.playback, command.server, Outcome::full, false, {}});
    schedule_event(i, 30ms, PlaybackStarted{command.playback, command.server, 30ms});
    schedule_event(i, uniform_seconds(0.5, 3),
                   TryEnded{command.playback, command.server, Outcome::served, true, {}});
  }

  Shape shape_;
  std::minstd_rand random_;
  PolicySettings settings_;
  Duration now_{0};  // time since the servers' start
  std::vector<Manager> managers_;
  std::vector<std::vector<Duration>> sent_;
  std::multimap<Duration, std::function<void()>> events_;
};

constexpr Duration window = 3s;

void expect_within_bound(const Fleet::Shape& shape, int seeds, double min_sent) {
  double max_window_ratio = 0, sent = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    Fleet fleet(shape, static_cast<std::uint64_t>(seed) * 7919);
    fleet.run();
    max_window_ratio = std::max(max_window_ratio, fleet.max_window_ratio(window));
    sent += static_cast<double>(fleet.sent()) / shape.servers / seeds;
  }
  EXPECT_LE(max_window_ratio, 1) << shape.managers << " managers, " << shape.servers << " servers";
  EXPECT_GE(sent, min_sent) << "too few set-ups for the bound to mean anything";
  ::testing::Test::RecordProperty("worst_of_bound", std::to_string(max_window_ratio));
  ::testing::Test::RecordProperty("sent_to_each", std::to_string(sent));
}

TEST(ColdFleet, SetUpsOfAllManagersStayWithinTheBound) {
  for (const int managers : {3, 20, 30, 300}) {
    for (const int servers : {1, 6})
      expect_within_bound({managers, servers}, managers == 300 ? 5 : 20, 10);
  }
}

TEST(ColdFleet, ManagersWithoutAnIndexDrawOneAndStayWithinTheBound) {
  for (const int managers : {3, 20, 30, 300})
    expect_within_bound({.managers = managers, .servers = 2, .indices_set = false}, managers == 300 ? 5 : 20,
                        5);
}

TEST(ColdFleet, ServersThatKeepResettingSetUpsStayWithinTheBound) {
  for (const int managers : {3, 30, 300})
    expect_within_bound({.managers = managers, .servers = 2, .reset_share = 0.4}, managers == 300 ? 5 : 20,
                        5);
}

}  // namespace
}  // namespace violettide
