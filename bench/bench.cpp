// What the program costs, beside baselines of our own in one run: `make bench`.
#include <benchmark/benchmark.h>
#include <uv.h>

#include <cstdio>
#include <queue>
#include <random>

#include "hints/cmcd.h"
#include "path.h"
#include "policy/policy.h"
#include "timerwheel/timer_wheel.h"

namespace violettide::bench {
namespace {

using namespace std::chrono_literals;

// Timers as a front arms them: a few hundred milliseconds to some seconds ahead, nearly all disarmed.
template <typename Arm, typename Disarm, typename Advance>
void churn(benchmark::State& state, Arm arm, Disarm disarm, Advance advance) {
  std::minstd_rand chance(1);
  const auto count = static_cast<std::size_t>(state.range(0));
  std::int64_t now_ms = 0;
  for (std::size_t i = 0; i < count; ++i)
    arm(i, now_ms + 200 + static_cast<std::int64_t>(chance() % 5000));
  std::size_t turn = 0;
  for (auto _ : state) {
    const auto i = chance() % count;
    disarm(i);
    arm(i, now_ms + 200 + static_cast<std::int64_t>(chance() % 5000));
    if (++turn % 64 == 0)
      advance(++now_ms);
  }
  state.SetItemsProcessed(state.iterations());
}

void timers_wheel(benchmark::State& state) {
  TimerWheel<std::uint32_t> wheel;
  std::vector<TimerWheel<std::uint32_t>::Handle> handles(static_cast<std::size_t>(state.range(0)));
  std::vector<std::uint32_t> rung;
  churn(
      state,
      [&](std::size_t i, std::int64_t ms) {
        handles[i] = wheel.schedule(ms * 1ms, static_cast<std::uint32_t>(i));
      },
      [&](std::size_t i) { wheel.cancel(handles[i]); },
      [&](std::int64_t ms) { rung.clear(), wheel.advance(ms * 1ms, rung); });
}
BENCHMARK(timers_wheel)->Arg(1000)->Arg(100000);

// The plain way: a heap whose disarmed entries stay until they come up.
void timers_heap(benchmark::State& state) {
  struct Entry {
    std::int64_t due;
    std::size_t of;
    std::uint64_t generation;
    bool operator<(const Entry& other) const { return due > other.due; }
  };
  std::priority_queue<Entry> heap;
  std::vector<std::uint64_t> generations(static_cast<std::size_t>(state.range(0)));
  churn(
      state,
      [&](std::size_t i, std::int64_t ms) {
        heap.push({ms, i, ++generations[i]});
      },
      [&](std::size_t i) { ++generations[i]; },
      [&](std::int64_t ms) {
        while (!heap.empty() && heap.top().due <= ms)
          heap.pop();
      });
}
BENCHMARK(timers_heap)->Arg(1000)->Arg(100000);

void timers_uv(benchmark::State& state) {
  uv_loop_t loop;
  uv_loop_init(&loop);
  std::vector<uv_timer_t> timers(static_cast<std::size_t>(state.range(0)));
  for (auto& timer : timers)
    uv_timer_init(&loop, &timer);
  std::int64_t now = 0;
  churn(
      state,
      [&](std::size_t i, std::int64_t ms) {
        uv_timer_start(
            &timers[i], [](uv_timer_t*) {}, static_cast<std::uint64_t>(ms - now), 0);
      },
      [&](std::size_t i) { uv_timer_stop(&timers[i]); },
      [&](std::int64_t ms) { now = ms, uv_run(&loop, UV_RUN_NOWAIT); });
  for (auto& timer : timers)
    uv_close(reinterpret_cast<uv_handle_t*>(&timer), nullptr);
  uv_run(&loop, UV_RUN_DEFAULT);
  uv_loop_close(&loop);
}
BENCHMARK(timers_uv)->Arg(1000)->Arg(100000);

void read_hints(benchmark::State& state) {
  const http::Fields fields{{"CMCD-Object", "br=3200,d=4004,ot=v,tb=6000"},
                            {"CMCD-Request", "bl=21300,mtp=48100"},
                            {"CMCD-Session", "cid=\"faec5fc2\",sf=d,sid=\"6e2fb550-c457\",st=v"}};
  for (auto _ : state)
    benchmark::DoNotOptimize(hints::parse_cmcd(fields, "/a/b/r1/1.m4s"));
}
BENCHMARK(read_hints);

// The module alone: a request, its start and its end, over so many boxes and playing playbacks.
void module_request(benchmark::State& state) {
  PolicySettings terms;
  terms.rung_kb = {100, 300};
  terms.rung_revenue = {0.5, 1};
  terms.plans.resize(1);
  terms.plans[0].startup_target = 800ms;
  terms.plans[0].top = 1;
  terms.streams_by_kind = {1e6};
  terms.has_weights = true;
  terms.link_kb_per_weight = 1e9;
  terms.cells = 8;
  terms.max_tries = 3;
  Policy policy(terms, 1);
  ServerList list;
  for (ServerId id = 0; id < 16; ++id)
    list.entries.push_back({id, ServerState::ready, 0, static_cast<int>(id % 8), 0, std::nullopt, 1});
  Duration now{0};
  policy.handle(now, list);
  PlaybackId next = 0;
  const auto begin = [&] {
    const auto id = next++;
    const auto commands = policy.handle(
        now, Request{id, 0, id % 100, now + 4s, std::nullopt, static_cast<int>(id % 8), 3, 1, nullptr});
    ServerId server = 0;
    for (const auto& command : commands) {
      if (const auto* set_up = std::get_if<SetUp>(&command))
        server = set_up->server;
    }
    policy.handle(now, PlaybackStarted{id, server, 10ms});
    return std::pair(id, server);
  };
  for (int i = 0; i < state.range(0); ++i)
    begin();
  for (auto _ : state) {
    now += 1ms;
    const auto [id, server] = begin();
    policy.handle(now, TryEnded{id, server, Outcome::served, true, {}});
  }
}
BENCHMARK(module_request)->Arg(100)->Arg(10000);

void path_table() {
  std::printf("\n%-10s %12s %12s %12s %16s   (64 playbacks, 8 kB objects, loopback)\n", "way", "requests/s",
              "median us", "99th us", "front cpu us/req");
  // In turn, twice, so that a machine whose speed drifts favours none.
  for (int round = 0; round < 2; ++round) {
    double relay_cpu = 0;
    for (const auto& [way, name] : {std::pair(Way::straight, "straight"), std::pair(Way::relay, "relay"),
                                    std::pair(Way::manager, "manager")}) {
      const auto m = run_path(way, 64, 60'000, 8'000);
      std::printf("%-10s %12.0f %12.0f %12.0f %16.2f\n", name, m.per_second, m.median_us, m.p99_us,
                  m.front_cpu_us);
      if (way == Way::relay)
        relay_cpu = m.front_cpu_us;
      if (way == Way::manager)
        std::printf("%-10s the manager's own work is %.2f of the relay's (aim: under 0.5)\n", "",
                    m.front_cpu_us / relay_cpu - 1);
    }
  }
  std::printf("\nheap a playback: %.0f bytes at 10,000 open playbacks, connections and module included\n",
              bytes_a_playback(10'000));
}

}  // namespace
}  // namespace violettide::bench

int main(int count, char** words) {
  // One table alone, by its name.
  if (count == 2 && std::string(words[1]) == "seats")
    return violettide::bench::seats_table(), 0;
  if (count == 2 && std::string(words[1]) == "hls")
    return violettide::bench::hls_table(), 0;
  benchmark::Initialize(&count, words);
  if (benchmark::ReportUnrecognizedArguments(count, words))
    return 1;
  benchmark::RunSpecifiedBenchmarks();
  violettide::bench::path_table();
  std::printf("\na set-up through the core, 10,000 playbacks open, so many catalogue changes before each\n");
  for (const std::size_t changes : {0, 1, 10}) {
    const auto time = violettide::bench::set_up_time(10'000, 5'000, changes);
    std::printf("%4zu changes: median %.1f us, 99th %.1f us\n", changes, time.median_us, time.p99_us);
  }
  violettide::bench::hls_table();
  violettide::bench::seats_table();
  violettide::bench::catalogue_table(1'000'000);
  return 0;
}
