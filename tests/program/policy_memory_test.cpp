// Guards against memory of the decision module that grows over weeks. Memory is counted by replacing this
// program's allocator.
#include <gtest/gtest.h>

#include <cstdlib>
#include <new>

#include "policy/policy.h"

namespace {
std::size_t bytes_in_use = 0;
constexpr std::size_t header_size = alignof(std::max_align_t);
}  // namespace

void* operator new(std::size_t size) {
  auto* block = static_cast<char*>(std::malloc(size + header_size));
  if (!block)
    throw std::bad_alloc();
  *reinterpret_cast<std::size_t*>(block) = size;
  bytes_in_use += size;
  return block + header_size;
}
void operator delete(void* at) noexcept {
  if (!at)
    return;
  auto* block = static_cast<char*>(at) - header_size;
  bytes_in_use -= *reinterpret_cast<std::size_t*>(block);
  std::free(block);
}
void operator delete(void* at, std::size_t) noexcept { operator delete(at); }

namespace violettide {
namespace {

using namespace std::chrono_literals;

PolicySettings settings(Duration retry_budget_window) {
  PolicySettings settings;
  settings.plans.resize(1);
  settings.plans[0].startup_target = 1s;
  settings.rung_kb = {100};
  settings.streams_by_kind = {30};
  settings.link_kb_per_weight = 1e6;
  settings.retry_budget_window = retry_budget_window;
  settings.retry_budget_base = 3;
  settings.max_tries = 5;
  return settings;
}

// Runs playbacks that start and end at once, four a second, and returns the bytes in use after them.
std::size_t bytes_in_use_after(Policy& policy, Duration& now, PlaybackId& next, int playbacks) {
  for (int i = 0; i < playbacks; ++i, ++next) {
    now += 250ms;
    Request request;
    request.playback = next;
    request.abandon_at = now + 4s;
    policy.handle(now, request);
    policy.handle(now, PlaybackStarted{next, 0, 0s});
    policy.handle(now, TryEnded{next, 0, Outcome::served, true, {}});
  }
  return bytes_in_use;
}

void expect_no_growth_over_a_day(Duration retry_budget_window) {
  Policy policy(settings(retry_budget_window), 1);
  policy.handle(0s, ServerList{ServerList::Kind::complete, {ServerEntry{}}});
  Duration now = 1s;
  PlaybackId next = 0;
  const auto early = bytes_in_use_after(policy, now, next, 20'000);
  const auto late = bytes_in_use_after(policy, now, next, 200'000);
  EXPECT_LE(late, early + 4096) << "bytes held";
}

TEST(PolicyMemory, DoesNotGrowWithRequests) { expect_no_growth_over_a_day(0s); }
TEST(PolicyMemory, DoesNotGrowWithRequestsUnderABudget) { expect_no_growth_over_a_day(5s); }

// Guards against servers that are gone still counting in the mean capacity: names may come and go for weeks,
// and each new name is a new server to the module.
TEST(PolicyMemory, ServersThatAreGoneCountNoMore) {
  auto policy_settings = settings(0s);
  policy_settings.streams_by_kind = {30, 300};
  policy_settings.link_kb_per_weight = 120;
  Policy policy(policy_settings, 1);
  ServerList list;
  for (ServerId id = 0; id < 50; ++id)
    list.entries.push_back({id, ServerState::ready, 1, 0, 0, {}, 1});
  policy.handle(0s, list);
  // All servers of the large kind are gone; the small ones that stay are now the mean server and get its
  // link.
  list.entries.clear();
  for (ServerId id = 50; id < 52; ++id)
    list.entries.push_back({id, ServerState::ready, 0, 0, 0, {}, 1});
  policy.handle(1s, list);
  Request request;
  request.abandon_at = 6s;
  const auto commands = policy.handle(2s, request);
  ASSERT_EQ(commands.size(), 2u) << "a rung and a set-up: the link of a mean server carries one playback";
  EXPECT_TRUE(std::holds_alternative<violettide::SetUp>(commands[1]));
}

}  // namespace
}  // namespace violettide
