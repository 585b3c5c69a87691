// What the module keeps over weeks. Memory is counted by replacing this program's allocator.
#include <gtest/gtest.h>

#include <cstdlib>
#include <new>

#include "policy/policy.h"

namespace {
std::size_t in_use = 0;
constexpr std::size_t head = alignof(std::max_align_t);
}  // namespace

void* operator new(std::size_t size) {
  auto* block = static_cast<char*>(std::malloc(size + head));
  if (!block)
    throw std::bad_alloc();
  *reinterpret_cast<std::size_t*>(block) = size;
  in_use += size;
  return block + head;
}
void operator delete(void* at) noexcept {
  if (!at)
    return;
  auto* block = static_cast<char*>(at) - head;
  in_use -= *reinterpret_cast<std::size_t*>(block);
  std::free(block);
}
void operator delete(void* at, std::size_t) noexcept { operator delete(at); }

namespace violettide {
namespace {

using namespace std::chrono_literals;

PolicySettings terms(Duration retry_budget_window) {
  PolicySettings terms;
  terms.plans.resize(1);
  terms.plans[0].startup_target = 1s;
  terms.rung_kb = {100};
  terms.streams_by_kind = {30};
  terms.link_kb_per_weight = 1e6;
  terms.retry_budget_window = retry_budget_window;
  terms.retry_budget_base = 3;
  terms.max_tries = 5;
  return terms;
}

// Playbacks that start at once and end at once, four a second.
std::size_t after(Policy& policy, Duration& now, PlaybackId& next, int playbacks) {
  for (int i = 0; i < playbacks; ++i, ++next) {
    now += 250ms;
    Request request;
    request.playback = next;
    request.abandon_at = now + 4s;
    policy.handle(now, request);
    policy.handle(now, PlaybackStarted{next, 0, 0s});
    policy.handle(now, TryEnded{next, 0, Outcome::served, true, {}});
  }
  return in_use;
}

void holds_no_more_after_a_day(Duration retry_budget_window) {
  Policy policy(terms(retry_budget_window), 1);
  policy.handle(0s, ServerList{ServerList::Kind::complete, {ServerEntry{}}});
  Duration now = 1s;
  PlaybackId next = 0;
  const auto early = after(policy, now, next, 20'000);
  const auto late = after(policy, now, next, 200'000);
  EXPECT_LE(late, early + 4096) << "bytes held";
}

TEST(MemoryOfTheModule, DoesNotGrowWithRequests) { holds_no_more_after_a_day(0s); }
TEST(MemoryOfTheModule, DoesNotGrowWithRequestsUnderABudget) { holds_no_more_after_a_day(5s); }

// Servers whose names come and go for weeks: each is another to the module, and the present ones decide
// alone.
TEST(MemoryOfTheModule, ServersThatAreGoneDecideNothing) {
  auto site = terms(0s);
  site.streams_by_kind = {30, 300};
  site.link_kb_per_weight = 120;
  Policy policy(site, 1);
  ServerList list;
  for (ServerId id = 0; id < 50; ++id)
    list.entries.push_back({id, ServerState::ready, 1, 0, 0, {}, 1});
  policy.handle(0s, list);
  // All of the large kind are gone; the small ones that stay are of the mean kind now, and have its link.
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
