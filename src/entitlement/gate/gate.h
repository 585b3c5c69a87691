// Whether a playback's token is good now, and when the issuer's keys are to be fetched: keys that rotate and
// overlap, an issuer that is down, tokens seen before, floods of bad ones. Free of I/O and clock.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>

#include "entitlement/tokens/tokens.h"

namespace violettide::entitlement {

struct GateTerms {
  std::string issuer, audience;       // empty: any
  Duration skew{5'000'000};           // issuers' clocks may differ by so much
  Duration grace{30'000'000};         // what plays when its token expires goes on for so long
  Duration fetch_every{300'000'000};  // keys are fetched again so often
  Duration fetch_least{10'000'000};   // and for a key that is not known, no sooner after the last time
  Duration keys_kept{3600'000'000};   // without any answer of the issuer, keys are good for so long
  std::size_t most_good = 10'000;     // verified tokens remembered
  std::size_t most_bad = 10'000;      // bad ones
};

// What came of a token.
struct Good {
  std::string team, who;  // `who`: subject and session: one count
  int seats = 0;
  Duration issued{0}, until{0};  // until: its expiry and the grace
};
struct Bad {
  TokenFault fault = TokenFault::malformed;
};
struct WaitsForKeys {};  // ask again when they have come, or failed
using Judged = std::variant<Good, Bad, WaitsForKeys>;

struct Shown {
  std::string_view token, plan, title, session;
};

class Gate {
 public:
  explicit Gate(GateTerms terms) : terms_(std::move(terms)) {}
  // `now`: the machine's clock.
  Judged judge(Duration now, const Shown& shown);
  void keys_came(Duration now, std::string_view json, std::vector<std::string>& left_out);
  void keys_failed();
  // Whether the keys are to be fetched now; then one of the two above is owed.
  bool wants_fetch(Duration now);
  bool fetching() const { return fetching_; }
  std::size_t keys() const { return keys_.size(); }

  struct Counts {
    std::size_t verified = 0, refused_cheaply = 0;
  };
  const Counts& counts() const { return counts_; }
  std::size_t remembered() const { return good_.size() + bad_.size(); }

 private:
  Judged judge_token(Duration now, const Shown& shown, const Token& token);
  void remember_bad(std::string_view token, TokenFault fault);

  GateTerms terms_;
  std::map<std::string, PublicKey, std::less<>> keys_;
  std::map<std::string, Duration, std::less<>>
      retired_;  // keys that the set no longer has: until when they are good
  bool fetching_ = false, wanted_ = false, ever_ = false;
  Duration fetched_at_{0}, answered_at_{0};
  std::unordered_map<std::string, Token> good_;
  std::deque<std::string> good_order_;
  std::unordered_map<std::string, TokenFault> bad_;
  std::deque<std::string> bad_order_;
  // By token id: whose it is; by seat: the newest token shown.
  std::map<std::string, std::pair<std::string, Duration>> whose_;
  std::map<std::string, std::pair<Duration, Duration>> newest_;
  std::multimap<Duration, std::pair<bool, std::string>> forget_at_;
  Counts counts_;
};

}  // namespace violettide::entitlement
