// Cold servers before a whole fleet of modules, each deciding alone: the sum of their set-ups stays within
// what the settings allow a server in every window, and what chance adds to it. docs/design.md tells why.
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

// Viewers who come to uneven managers far above the pace, servers that take, refuse or break off what they
// are sent, lists that come late, and managers that begin anew under their old numbers meanwhile.
class Fleet {
 public:
  struct Shape {
    int managers = 3;
    int servers = 1;  // all started at one moment
    bool numbers_told = true;
    bool restarts = true;
    double breaks = 0.05;  // of set-ups
    double demand = 10;    // viewers a second who come to the mean manager
  };

  Fleet(Shape shape, std::uint64_t seed) : shape_(shape), chance_(seed) {
    terms_.plans.resize(1);
    terms_.plans[0].startup_target = 500ms;
    terms_.rung_kb = {1};
    terms_.streams_by_kind = {24};
    terms_.has_weights = true;
    terms_.link_kb_per_weight = 1e9;
    terms_.front_count = shape.managers;
    terms_.warmup_time = 8s;
    terms_.warmup_initial_share = 0.5;
    terms_.overload_multiple = 3;
    terms_.max_tries = 3;
    managers_.resize(static_cast<std::size_t>(shape.managers));
    sent_.resize(static_cast<std::size_t>(shape.servers));
    for (int i = 0; i < shape.managers; ++i)
      begin(i, -200s - uniform(0, 100));
  }

  void play() {
    double weight = 0;
    for (int i = 0; i < shape_.managers; ++i)
      weight += weight_of(i) / shape_.managers;
    for (int i = 0; i < shape_.managers; ++i) {
      at(uniform(0, 2), [this, i] { tell(i); });
      come(i, weight / (shape_.demand * weight_of(i)));
      if (shape_.restarts && draw() < 0.4)
        at(uniform(0, 8), [this, i] { begin(i, now_), tell(i); });
    }
    while (!due_.empty() && due_.begin()->first <= terms_.warmup_time) {
      now_ = due_.begin()->first;
      const auto what = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      what();
    }
  }

  // The worst window's set-ups over what is allowed of them; above 1 the server would fall.
  double worst(Duration window) const {
    double worst = 0;
    for (const auto& sent : sent_) {
      for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
        while (sent[first] <= sent[last] - window)
          ++first;
        const double allowed = allowed_in(sent[last] - window, window);
        worst =
            std::max(worst, static_cast<double>(last - first + 1) / (allowed + 2 * std::sqrt(allowed) + 2));
      }
    }
    return worst;
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
    Duration began{0};
    PlaybackId next = 0;
    int life = 0;
  };

  // A server's warmth grows evenly from `warmup_initial_share` to 1; what it may be sent in a window, times
  // the multiple.
  double allowed_in(Duration from, Duration window) const {
    const double begin = std::max(0.0, seconds(from)), end = std::max(0.0, seconds(from + window));
    const auto warmed = [&](double t) {
      return terms_.warmup_initial_share * t +
             (1 - terms_.warmup_initial_share) * t * t / (2 * seconds(terms_.warmup_time));
    };
    return terms_.overload_multiple * 24 / seconds(terms_.warmup_time) * (warmed(end) - warmed(begin));
  }
  static double weight_of(int manager) {
    return 1.0 / (1 + manager % 7);
  }  // some see several times others' traffic

  double draw() { return std::uniform_real_distribution<>()(chance_); }
  Duration uniform(double from, double to) {
    return Duration(static_cast<std::int64_t>(1e6 * (from + (to - from) * draw())));
  }
  void at(Duration when, std::function<void()> what) { due_.emplace(when, std::move(what)); }

  void begin(int i, Duration when) {
    auto& manager = managers_[i];
    auto terms = terms_;
    if (shape_.numbers_told)
      terms.front_index = i;
    manager.policy = std::make_unique<Policy>(terms, chance_());
    manager.began = when;
    ++manager.life;
  }
  void tell(int i) {
    ServerList list;
    list.kind = ServerList::Kind::changes;
    for (int server = 0; server < shape_.servers; ++server) {
      ServerEntry entry;
      entry.server = static_cast<ServerId>(server);
      entry.started = -managers_[i].began;
      list.entries.push_back(entry);
    }
    hear(i, list);
  }
  void come(int i, double mean) {
    at(now_ + Duration(static_cast<std::int64_t>(1e6 * std::exponential_distribution<>(1 / mean)(chance_))),
       [=, this] {
         Request request;
         request.playback = managers_[i].next++;
         request.title = static_cast<TitleId>(request.playback % 50);
         request.abandon_at = now_ - managers_[i].began + 2s;
         hear(i, request);
         come(i, mean);
       });
  }
  void hear(int i, const Event& event) {
    for (const auto& command : managers_[i].policy->handle(now_ - managers_[i].began, event)) {
      if (const auto* set_up = std::get_if<SetUp>(&command))
        take(i, *set_up);
      if (const auto* timer = std::get_if<SetTimer>(&command))
        later(i, timer->delay, TimerExpired{timer->token});
    }
  }
  void later(int i, Duration in, Event event) {
    at(now_ + in, [this, i, event, life = managers_[i].life] {
      if (managers_[i].life == life)
        hear(i, event);
    });
  }
  void take(int i, const SetUp& what) {
    sent_[what.server].push_back(now_);
    const double how = draw();
    if (how < shape_.breaks)
      return later(i, 5ms, TryEnded{what.playback, what.server, Outcome::reset, false, {}});
    if (how < shape_.breaks + 0.1)
      return later(i, 5ms, TryEnded{what.playback, what.server, Outcome::full, false, {}});
    later(i, 30ms, PlaybackStarted{what.playback, what.server, 30ms});
    later(i, uniform(0.5, 3), TryEnded{what.playback, what.server, Outcome::served, true, {}});
  }

  Shape shape_;
  std::minstd_rand chance_;
  PolicySettings terms_;
  Duration now_{0};  // since the servers' start
  std::vector<Manager> managers_;
  std::vector<std::vector<Duration>> sent_;
  std::multimap<Duration, std::function<void()>> due_;
};

constexpr Duration window = 3s;

void holds(const Fleet::Shape& shape, int seeds, double least_sent) {
  double worst = 0, sent = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    Fleet fleet(shape, static_cast<std::uint64_t>(seed) * 7919);
    fleet.play();
    worst = std::max(worst, fleet.worst(window));
    sent += static_cast<double>(fleet.sent()) / shape.servers / seeds;
  }
  EXPECT_LE(worst, 1) << shape.managers << " managers, " << shape.servers << " servers";
  EXPECT_GE(sent, least_sent) << "the bound is not kept by sending nothing";
  ::testing::Test::RecordProperty("worst_of_bound", std::to_string(worst));
  ::testing::Test::RecordProperty("sent_to_each", std::to_string(sent));
}

TEST(ColdFleet, TheSumOfAllManagersStaysWithinTheBound) {
  for (const int managers : {3, 20, 30, 300}) {
    for (const int servers : {1, 6})
      holds({managers, servers}, managers == 300 ? 5 : 20, 10);
  }
}

TEST(ColdFleet, ManagersWhoseNumbersAreNotToldDrawThemAndStayWithinTheBound) {
  for (const int managers : {3, 20, 30, 300})
    holds({.managers = managers, .servers = 2, .numbers_told = false}, managers == 300 ? 5 : 20, 5);
}

TEST(ColdFleet, ServersThatKeepBreakingOffStayWithinTheBound) {
  for (const int managers : {3, 30, 300})
    holds({.managers = managers, .servers = 2, .breaks = 0.4}, managers == 300 ? 5 : 20, 5);
}

}  // namespace
}  // namespace violettide
