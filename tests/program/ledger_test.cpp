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
      if (seen.insert(std::hash<std::string>{}(next.fingerprint())).second)
        open.push_back(std::move(next));
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
      if (all.empty())
        break;
      walked.wrong = world.step(all[chance() % all.size()]);
      ++walked.steps;
    }
    if (!walked.wrong) {
      if (auto wrong = world.come_to_rest())
        walked.wrong = "at rest: " + *wrong;
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

// An owner of the only team, and what it says.
struct Owner {
  explicit Owner(LedgerTerms terms = {}) : ledger(with(std::move(terms)), 1) {}
  static LedgerTerms with(LedgerTerms terms) {
    terms.peers = {"m0"};
    return terms;
  }
  std::vector<Message> says(const LedgerEvent& event) {
    std::vector<Message> said;
    for (const auto& act : ledger.handle(Duration(1), event)) {
      if (const auto* tell = std::get_if<Tell>(&act))
        said.push_back(tell->message);
      if (const auto* keep = std::get_if<KeepRecord>(&act))
        ticket = keep->ticket;
      if (const auto* away = std::get_if<TurnAway>(&act))
        turned_away = away->why;
    }
    return said;
  }
  Ledger ledger;
  std::uint64_t ticket = 0;
  std::optional<TurnAway::Why> turned_away;
};

TEST(Ledger, ASeatThatMovesTwiceBeforeItIsKeptIsTakenFromBoth) {
  Owner owner;
  const SeatKey key{"team", "v"};
  const auto ask = [&](Peer from) {
    return owner.says(Heard{from, AskSeat{key, 7, 1, Duration(1), Duration(100)}});
  };
  ask(1);
  EXPECT_EQ(owner.says(Kept{owner.ticket}).size(), 1u) << "given";
  EXPECT_TRUE(ask(2).empty()) << "nothing is said of it before it is kept";
  EXPECT_TRUE(ask(3).empty());
  std::size_t taken = 0, given = 0;
  for (const auto& message : owner.says(Kept{owner.ticket})) {
    taken += std::holds_alternative<SeatTaken>(message);
    given += std::holds_alternative<SeatGiven>(message);
  }
  EXPECT_EQ(taken, 2u);
  EXPECT_EQ(given, 1u);
}

TEST(Ledger, MoreClaimsThanItMayHoldAreTurnedAway) {
  LedgerTerms terms;
  terms.most_claims = 2;
  Owner owner(terms);
  for (int i = 0; i < 2; ++i)
    owner.says(Claimed{{"team", std::to_string(i)}, 9, Duration(1), Duration(100)});
  EXPECT_FALSE(owner.turned_away);
  owner.says(Claimed{{"team", "third"}, 9, Duration(1), Duration(100)});
  EXPECT_EQ(owner.turned_away, TurnAway::Why::too_many);
}

TEST(Ledger, ALogIsReadAgainAndWhatIsOddInItIsTold) {
  using What = Record::What;
  const auto record = [](What what, const char* who, Peer holder, ClaimNumber number, int until) {
    return Record{what, {"team", who}, holder, number, 5, Duration(1), Duration(until)};
  };
  const std::vector<Record> log{record(What::given, "a", 1, 7, 50),  record(What::given, "b", 2, 8, 100),
                                record(What::freed, "a", 2, 7, 50),  record(What::given, "c", 2, 8, 100),
                                record(What::asked, "d", 0, 3, 100), record(What::gave_back, "d", 0, 2, 100),
                                record(What::freed, "e", 1, 1, 50)};
  const auto found = replayed(log);
  EXPECT_EQ(found.given.size(), 3u) << "freed for another holder, it is held still";
  EXPECT_EQ(found.asked.size(), 1u) << "an older claim's end is not this one's";
  const auto odd = odd_seats(log, Duration(60));
  ASSERT_EQ(odd.size(), 2u);
  EXPECT_EQ(odd[0].why, "past its time");
  EXPECT_EQ(odd[1].why, "its claim has another seat too");
  EXPECT_TRUE(odd_seats({log[0], log[1]}, Duration(50)).empty());
}

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
    const auto walked =
        walk(which == 0 ? Size{2, 2, 1, 0, 2, 8, 8, 30, 30} : Size{3, 4, 2, 3, 8, 6, 30, 30, 20},
             planted(which), 4000, 250);
    EXPECT_TRUE(walked.wrong) << "fault " << which << " in " << walked.steps << " steps";
    std::printf("fault %d: found after %zu states (%s), and after %u walks (%s)\n", which, searched.states,
                searched.wrong.value_or("no").c_str(), walked.seed, walked.wrong.value_or("no").c_str());
  }
}

}  // namespace
}  // namespace violettide::entitlement
