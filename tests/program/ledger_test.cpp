// The seats' ledger: its answers one by one, every order of a small world's troubles, and long walks through
// larger ones.
#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <unordered_set>

#include "ledger_model.h"

namespace violettide::entitlement {
namespace {

using model::Size;
using model::World;

struct Searched {
  std::size_t states = 0;
  bool whole = false;
  std::optional<std::string> wrong;
  std::size_t rested = 0;
};

// Every order of everything, breadth first, until there is no new state or the bound is met.
Searched search(const Size& size, LedgerTerms::Planted planted, std::size_t most) {
  Searched searched;
  std::unordered_set<std::size_t> seen;
  std::deque<World> open;
  open.emplace_back(size, planted);
  seen.insert(std::hash<std::string>{}(open.front().fingerprint()));
  while (!open.empty() && searched.states < most) {
    const World world = std::move(open.front());
    open.pop_front();
    ++searched.states;
    // Now and then, that everything comes to rest from here too.
    if (searched.states % 97 == 0) {
      auto resting = world;
      ++searched.rested;
      if (auto wrong = resting.come_to_rest()) {
        searched.wrong = "at rest: " + *wrong;
        return searched;
      }
    }
    for (const auto& step : world.steps()) {
      auto next = world;
      if (auto wrong = next.step(step)) {
        searched.wrong = std::move(wrong);
        return searched;
      }
      if (seen.insert(std::hash<std::string>{}(next.fingerprint())).second) open.push_back(std::move(next));
    }
  }
  searched.whole = open.empty();
  return searched;
}

struct Walked {
  std::size_t steps = 0;
  std::optional<std::string> wrong;
  unsigned seed = 0;
};
Walked walk(const Size& size, LedgerTerms::Planted planted, unsigned seeds, int steps) {
  Walked walked;
  for (unsigned seed = 1; seed <= seeds && !walked.wrong; ++seed) {
    std::minstd_rand chance(seed);
    World world(size, planted);
    for (int i = 0; i < steps && !walked.wrong; ++i) {
      const auto all = world.steps();
      if (all.empty()) break;
      walked.wrong = world.step(all[chance() % all.size()]);
      ++walked.steps;
    }
    if (!walked.wrong) {
      if (auto wrong = world.come_to_rest()) walked.wrong = "at rest: " + *wrong;
    }
    walked.seed = seed;
  }
  return walked;
}

constexpr LedgerTerms::Planted sound{};
LedgerTerms::Planted planted(int which) {
  LedgerTerms::Planted made;
  (which == 0 ? made.release_by_key : which == 1 ? made.keeps_after_restart : made.answers_unkept) = true;
  return made;
}
const Size small{2, 2, 1, 1, 0, 1, 3, 3, 1};

TEST(LedgerModel, EveryOrderOfASmallWorldKeepsItsSeats) {
  const std::vector<std::pair<const char*, Size>> sizes{
      {"2 managers, 2 viewers, 1 seat, a crash", {2, 2, 1, 1, 0, 0, 1, 2, 0}},
      {"2 managers, 2 viewers, 1 seat, a copy", {2, 2, 1, 0, 0, 1, 1, 2, 1}},
      {"2 managers, 2 viewers, 1 seat, a loss", {2, 2, 1, 0, 1, 0, 2, 2, 0}},
      {"3 managers, 1 viewer, 1 seat, retries", {3, 1, 1, 0, 0, 0, 1, 2, 1}},
      {"2 managers, 3 viewers, 2 seats", {2, 3, 2, 0, 0, 0, 0, 3, 1}}};
  for (const auto& [name, size] : sizes) {
    const auto searched = search(size, sound, 300'000);
    EXPECT_FALSE(searched.wrong) << name << ": " << *searched.wrong;
    EXPECT_GT(searched.states, 300u) << name;
    std::printf("%s: %zu states%s, %zu brought to rest\n", name, searched.states,
                searched.whole ? ", all there are" : " (bound met)", searched.rested);
  }
}

TEST(LedgerModel, LongWalksKeepTheirSeatsAndLeakNone) {
  for (const auto& size : {Size{3, 4, 2, 3, 8, 6, 30, 30, 20}, Size{2, 3, 2, 4, 4, 4, 40, 40, 20}}) {
    const auto walked = walk(size, sound, 1500, 250);
    EXPECT_FALSE(walked.wrong) << "seed " << walked.seed << ": " << *walked.wrong;
    std::printf("%zu steps walked\n", walked.steps);
  }
}

TEST(LedgerModel, PlantedFaultsAreFoundBySearchAndByWalk) {
  const Size sizes[] = {
      {2, 2, 1, 0, 0, 1, 2, 3, 2}, {2, 2, 1, 1, 0, 0, 2, 3, 1}, {2, 2, 1, 1, 0, 0, 2, 3, 1}};
  for (int which = 0; which < 3; ++which) {
    const auto searched = search(sizes[which], planted(which), 150'000);
    EXPECT_TRUE(searched.wrong) << "fault " << which << " in " << searched.states << " states";
    const auto walked = walk(which == 0 ? Size{2, 2, 1, 0, 2, 8, 8, 30, 30} : Size{3, 4, 2, 3, 8, 6, 30, 30, 20}, planted(which), 4000, 250);
    EXPECT_TRUE(walked.wrong) << "fault " << which << " in " << walked.steps << " steps";
    std::printf("fault %d: found after %zu states (%s), and after %u walks (%s)\n", which, searched.states,
                searched.wrong.value_or("no").c_str(), walked.seed, walked.wrong.value_or("no").c_str());
  }
}

}  // namespace
}  // namespace violettide::entitlement
