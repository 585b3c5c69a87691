// Tests of the seat ledger: single answers, a breadth-first search over the interleavings of small
// clusters, and random walks through larger ones.
#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <unordered_set>

#include "ledger_model.h"

namespace violettide::entitlement {
namespace {

using model::Bounds;
using model::ClusterModel;

struct SearchResult {
  std::size_t states = 0;
  bool exhaustive = false;
  std::optional<std::string> violation;
  std::size_t quiesced = 0;  // states that were checked when idle
};

// Breadth-first search over all interleavings, until there is no new state or `max_states` is reached.
SearchResult search(const Bounds& bounds, LedgerSettings::InjectedFaults injected_faults,
                    std::size_t max_states) {
  SearchResult result;
  std::unordered_set<std::size_t> seen;
  std::deque<ClusterModel> open;
  open.emplace_back(bounds, injected_faults);
  seen.insert(std::hash<std::string>{}(open.front().fingerprint()));
  while (!open.empty() && result.states < max_states) {
    const ClusterModel cluster = std::move(open.front());
    open.pop_front();
    ++result.states;
    // A sample of the states is also checked for leaks and unanswered claims.
    if (result.states % 97 == 0) {
      auto resting = cluster;
      ++result.quiesced;
      if (auto violation = resting.quiesce()) {
        result.violation = "when idle: " + *violation;
        return result;
      }
    }
    for (const auto& step : cluster.steps()) {
      auto next = cluster;
      if (auto violation = next.step(step)) {
        result.violation = std::move(violation);
        return result;
      }
      if (seen.insert(std::hash<std::string>{}(next.fingerprint())).second)
        open.push_back(std::move(next));
    }
  }
  result.exhaustive = open.empty();
  return result;
}

struct WalkResult {
  std::size_t steps = 0;
  std::optional<std::string> violation;
  unsigned seed = 0;
};
WalkResult random_walk(const Bounds& bounds, LedgerSettings::InjectedFaults injected_faults, unsigned seeds,
                       int steps) {
  WalkResult result;
  for (unsigned seed = 1; seed <= seeds && !result.violation; ++seed) {
    std::minstd_rand random(seed);
    ClusterModel cluster(bounds, injected_faults);
    for (int i = 0; i < steps && !result.violation; ++i) {
      const auto all = cluster.steps();
      if (all.empty())
        break;
      result.violation = cluster.step(all[random() % all.size()]);
      ++result.steps;
    }
    if (!result.violation) {
      if (auto violation = cluster.quiesce())
        result.violation = "when idle: " + *violation;
    }
    result.seed = seed;
  }
  return result;
}

constexpr LedgerSettings::InjectedFaults no_faults{};
LedgerSettings::InjectedFaults injected_faults(int which) {
  LedgerSettings::InjectedFaults faults;
  (which == 0   ? faults.ignores_claim_number
   : which == 1 ? faults.trusts_restored_claims
                : faults.grants_before_persisted) = true;
  return faults;
}

// The only manager of a cluster, which owns every team, and the messages it sends.
struct OwnerHarness {
  explicit OwnerHarness(LedgerSettings settings = {}) : ledger(with_single_peer(std::move(settings)), 1) {}
  static LedgerSettings with_single_peer(LedgerSettings settings) {
    settings.peers = {"m0"};
    return settings;
  }
  std::vector<Message> messages_after(const LedgerEvent& event) {
    std::vector<Message> messages;
    for (const auto& act : ledger.handle(Duration(1), event)) {
      if (const auto* send = std::get_if<SendToPeer>(&act))
        messages.push_back(send->message);
      if (const auto* persist = std::get_if<PersistRecord>(&act))
        ticket = persist->ticket;
      if (const auto* reject = std::get_if<RejectClaim>(&act))
        rejection = reject->reason;
    }
    return messages;
  }
  Ledger ledger;
  std::uint64_t ticket = 0;
  std::optional<RejectClaim::Reason> rejection;
};

TEST(Ledger, SeatThatMovesTwiceBeforeItIsPersistedIsRevokedFromBoth) {
  OwnerHarness owner;
  const SeatKey key{"team", "v"};
  const auto ask = [&](PeerIndex from) {
    return owner.messages_after(MessageReceived{from, SeatRequest{key, 7, 1, Duration(1), Duration(100)}});
  };
  ask(1);
  EXPECT_EQ(owner.messages_after(RecordsPersisted{owner.ticket}).size(), 1u) << "the grant";
  EXPECT_TRUE(ask(2).empty()) << "no answer before the record is persisted";
  EXPECT_TRUE(ask(3).empty());
  std::size_t revocations = 0, grants = 0;
  for (const auto& message : owner.messages_after(RecordsPersisted{owner.ticket})) {
    revocations += std::holds_alternative<SeatRevocation>(message);
    grants += std::holds_alternative<SeatGrant>(message);
  }
  EXPECT_EQ(revocations, 2u);
  EXPECT_EQ(grants, 1u);
}

TEST(Ledger, ClaimsBeyondTheMaximumAreRejected) {
  LedgerSettings settings;
  settings.max_claims = 2;
  OwnerHarness owner(settings);
  for (int i = 0; i < 2; ++i)
    owner.messages_after(SeatClaimed{{"team", std::to_string(i)}, 9, Duration(1), Duration(100)});
  EXPECT_FALSE(owner.rejection);
  owner.messages_after(SeatClaimed{{"team", "third"}, 9, Duration(1), Duration(100)});
  EXPECT_EQ(owner.rejection, RejectClaim::Reason::too_many_claims);
}

TEST(Ledger, ReplaysLogAndReportsAnomalies) {
  using Kind = Record::Kind;
  const auto record = [](Kind kind, const char* viewer_session, PeerIndex holder, ClaimNumber number,
                         int until) {
    return Record{kind, {"team", viewer_session}, holder, number, 5, Duration(1), Duration(until)};
  };
  const std::vector<Record> log{record(Kind::granted, "a", 1, 7, 50),  record(Kind::granted, "b", 2, 8, 100),
                                record(Kind::freed, "a", 2, 7, 50),    record(Kind::granted, "c", 2, 8, 100),
                                record(Kind::claimed, "d", 0, 3, 100), record(Kind::released, "d", 0, 2, 100),
                                record(Kind::freed, "e", 1, 1, 50)};
  const auto found = replay_log(log);
  EXPECT_EQ(found.grants.size(), 3u) << "a freed record of another holder does not end the lease";
  EXPECT_EQ(found.claims.size(), 1u) << "the release of an older claim does not end this one";
  const auto anomalies = find_anomalies(log, Duration(60));
  ASSERT_EQ(anomalies.size(), 2u);
  EXPECT_EQ(anomalies[0].reason, "past its expiry");
  EXPECT_EQ(anomalies[1].reason, "its claim holds another seat too");
  EXPECT_TRUE(find_anomalies({log[0], log[1]}, Duration(50)).empty());
}

TEST(LedgerModel, EveryInterleavingOfASmallClusterKeepsWithinItsSeats) {
  const std::vector<std::pair<const char*, Bounds>> sizes{
      {"2 managers, 2 viewers, 1 seat, a crash", {2, 2, 1, 1, 0, 0, 1, 2, 0}},
      {"2 managers, 2 viewers, 1 seat, a copy", {2, 2, 1, 0, 0, 1, 1, 2, 1}},
      {"2 managers, 2 viewers, 1 seat, a loss", {2, 2, 1, 0, 1, 0, 2, 2, 0}},
      {"3 managers, 1 viewer, 1 seat, retries", {3, 1, 1, 0, 0, 0, 1, 2, 1}},
      {"2 managers, 3 viewers, 2 seats", {2, 3, 2, 0, 0, 0, 0, 3, 1}}};
  for (const auto& [name, bounds] : sizes) {
    const auto result = search(bounds, no_faults, 300'000);
    EXPECT_FALSE(result.violation) << name << ": " << *result.violation;
    EXPECT_GT(result.states, 300u) << name;
    std::printf("%s: %zu states%s, %zu checked when idle\n", name, result.states,
                result.exhaustive ? " (exhaustive)" : " (maximum reached)", result.quiesced);
  }
}

TEST(LedgerModel, LongRandomWalksKeepWithinTheirSeatsAndLeakNone) {
  for (const auto& bounds : {Bounds{3, 4, 2, 3, 8, 6, 30, 30, 20}, Bounds{2, 3, 2, 4, 4, 4, 40, 40, 20}}) {
    const auto result = random_walk(bounds, no_faults, 1500, 250);
    EXPECT_FALSE(result.violation) << "seed " << result.seed << ": " << *result.violation;
    std::printf("%zu steps walked\n", result.steps);
  }
}

TEST(LedgerModel, InjectedFaultsAreFoundBySearchAndByRandomWalk) {
  const Bounds sizes[] = {
      {2, 2, 1, 0, 0, 1, 2, 3, 2}, {2, 2, 1, 1, 0, 0, 2, 3, 1}, {2, 2, 1, 1, 0, 0, 2, 3, 1}};
  for (int which = 0; which < 3; ++which) {
    const auto search_result = search(sizes[which], injected_faults(which), 150'000);
    EXPECT_TRUE(search_result.violation) << "fault " << which << " in " << search_result.states << " states";
    const auto walk_result =
        random_walk(which == 0 ? Bounds{2, 2, 1, 0, 2, 8, 8, 30, 30} : Bounds{3, 4, 2, 3, 8, 6, 30, 30, 20},
                    injected_faults(which), 4000, 250);
    EXPECT_TRUE(walk_result.violation) << "fault " << which << " in " << walk_result.steps << " steps";
    std::printf("fault %d: found after %zu states (%s), and after %u walks (%s)\n", which,
                search_result.states, search_result.violation.value_or("no").c_str(), walk_result.seed,
                walk_result.violation.value_or("no").c_str());
  }
}

}  // namespace
}  // namespace violettide::entitlement
