// Seats: tokens judged a second, what the ledger leaves idle beside a central count, its cost and growth.
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <queue>
#include <random>

#include "entitlement/ledger/ledger.h"
#include "entitlement/token_validator/token_validator.h"
#include "path.h"
#include "standins/issuer.h"

namespace violettide::bench {

namespace {

using namespace std::chrono_literals;
using namespace entitlement;
using Clock = std::chrono::steady_clock;
double since(Clock::time_point from) { return std::chrono::duration<double>(Clock::now() - from).count(); }

void judging() {
  standins::Issuer issuer("i", "h");
  std::printf("\ntokens judged a second, one core\n");
  for (const auto& [algorithm, name] :
       {std::pair(Algorithm::es256, "ES256"), std::pair(Algorithm::rs256, "RS256")}) {
    issuer.rotate(algorithm);
    const Duration now = 1'000'000s;
    TokenValidator validator({});
    validator.start_fetch_if_due(now);
    std::vector<std::string> skipped;
    validator.on_keys_received(now, issuer.key_set(), skipped);
    std::vector<std::string> tokens;
    for (int i = 0; i < 2000; ++i)
      tokens.push_back(issuer.token(
          {"j" + std::to_string(i), "s" + std::to_string(i), "t", 5, now, now + 60s, Duration(0), {}, {}}));
    auto from = Clock::now();
    for (const auto& token : tokens)
      validator.validate(now, {token, "p", "t", "s"});
    const double first = static_cast<double>(tokens.size()) / since(from);
    from = Clock::now();
    for (int round = 0; round < 20; ++round) {
      for (const auto& token : tokens)
        validator.validate(now, {token, "p", "t", "s"});
    }
    const double again = 20.0 * static_cast<double>(tokens.size()) / since(from);
    const auto bad = issuer.forged({"j", "s", "t", 5, now, now + 60s, Duration(0), {}, {}});
    from = Clock::now();
    for (int i = 0; i < 100'000; ++i)
      validator.validate(now, {bad, "p", "t", "s"});
    std::printf("%s: verified %.0f, remembered %.0f, a bad one seen before %.0f\n", name, first, again,
                100'000 / since(from));
  }
}

// So many managers' ledgers under the same load as one central count; messages and disks take their time.
void growth(PeerIndex managers) {
  constexpr int teams = 20, seats = 50;
  constexpr Duration message = 500us, disk = 2ms, length = 60s;
  struct Due {
    Duration at;
    std::uint64_t order;
    PeerIndex to;
    LedgerEvent event;
    bool operator>(const Due& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
  };
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due;
  std::vector<Ledger> ledgers;
  LedgerSettings settings;
  for (PeerIndex p = 0; p < managers; ++p)
    settings.peers.push_back("manager-" + std::to_string(p));
  for (PeerIndex p = 0; p < managers; ++p) {
    settings.self = p;
    ledgers.emplace_back(settings, 1);
  }
  std::minstd_rand chance(7);
  std::uint64_t order = 0, said = 0, kept = 0, admitted = 0, turned = 0, central = 0;
  std::vector<double> waits;
  std::map<SeatKey, Duration> asked;
  // 60 playbacks a second for 20 teams of 50 seats, of 15 to 25 s each: about a fifth more than there are.
  std::vector<std::multiset<Duration>> ideal(teams);
  for (int i = 0; i < 3600; ++i) {
    const Duration at = 1s + length * i / 3600, watch = 15s + Duration(chance() % 10'000'000);
    const SeatKey key{"team-" + std::to_string(chance() % teams), "viewer-" + std::to_string(i)};
    const PeerIndex to = static_cast<PeerIndex>(chance() % managers);
    due.push({at, order++, to, SeatClaimed{key, seats, 1s, at + 300s}});
    due.push({at + watch, order++, to, PlaybackEnded{key}});
    asked[key] = at;
    auto& held = ideal[static_cast<std::size_t>(std::stoi(key.team.substr(5)))];
    while (!held.empty() && *held.begin() <= at)
      held.erase(held.begin());
    if (held.size() < static_cast<std::size_t>(seats))
      held.insert(at + watch), ++central;
  }
  for (Duration at = 0s; at < length + 30s; at += 1s) {
    for (PeerIndex p = 0; p < managers; ++p)
      due.push({at, order++, p, Ticked{}});
  }
  const auto from = Clock::now();
  std::size_t events = 0;
  while (!due.empty()) {
    const auto next = due.top();
    due.pop();
    ++events;
    for (const auto& act : ledgers[next.to].handle(next.at, next.event)) {
      if (const auto* send = std::get_if<SendToPeer>(&act)) {
        ++said;
        due.push({next.at + message, order++, send->to, MessageReceived{next.to, send->message}});
      } else if (const auto* keep = std::get_if<PersistRecord>(&act)) {
        ++kept;
        due.push({next.at + disk, order++, next.to, RecordsPersisted{keep->ticket}});
      } else if (const auto* admit = std::get_if<Admit>(&act)) {
        ++admitted;
        waits.push_back(std::chrono::duration<double, std::milli>(next.at - asked[admit->key]).count());
      } else if (std::holds_alternative<RejectClaim>(act)) {
        ++turned;
      }
    }
  }
  const double cost = since(from) / static_cast<double>(events);
  std::sort(waits.begin(), waits.end());
  std::printf(
      "%4u managers: admitted %llu (a central count: %llu), median %.1f ms, 99th %.1f ms; %.1f messages and "
      "%.1f "
      "records a playback; %.1f us an event\n",
      managers, static_cast<unsigned long long>(admitted), static_cast<unsigned long long>(central),
      waits[waits.size() / 2], waits[waits.size() * 99 / 100], static_cast<double>(said) / 3600,
      static_cast<double>(kept) / 3600, cost * 1e6);
}

void state() {
  LedgerSettings settings;
  settings.peers = {"m"};
  const auto used = [] {
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
  };
  const double before = used();
  Ledger ledger(settings, 1);
  constexpr int seats = 100'000;
  std::uint64_t ticket = 0;
  for (int i = 0; i < seats; ++i) {
    for (int round = 0; round < 2; ++round) {
      const auto actions =
          round == 0 ? ledger.handle(1s, SeatClaimed{{"team-" + std::to_string(i % 1000),
                                                      "viewer-" + std::to_string(i) + "/0/title/session"},
                                                     seats,
                                                     1s,
                                                     300s})
                     : ledger.handle(1s, RecordsPersisted{ticket});
      for (const auto& act : actions) {
        if (const auto* keep = std::get_if<PersistRecord>(&act))
          ticket = keep->ticket;
      }
    }
    ledger.handle(1s, RecordsPersisted{ticket});
  }
  std::printf("%zu seats held and in the book of 1,000 teams: %.0f bytes each, both sides together\n",
              ledger.counts().granted, (used() - before) / seats);
}

}  // namespace

void seats_table() {
  judging();
  std::printf("\n3,600 playbacks in 60 s, 20 teams of 50 seats; a message takes 0.5 ms, a disk 2 ms\n");
  for (const PeerIndex managers : {1, 3, 30, 300})
    growth(managers);
  state();
}

}  // namespace violettide::bench
