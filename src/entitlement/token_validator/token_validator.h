// Validates playbacks' tokens and schedules the fetching of the issuer's keys. Handles key rotation, an
// issuer that is down, replayed tokens and floods of invalid ones. Free of I/O and of a clock.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>

#include "entitlement/tokens/tokens.h"

namespace violettide::entitlement {

struct TokenValidatorSettings {
  std::string issuer, audience;  // empty: any
  Duration skew{5'000'000};      // maximum difference between the issuer's clock and ours
  // A playback continues this long after its token expires, and a retired key stays valid for this long.
  Duration grace{30'000'000};
  Duration fetch_interval{300'000'000};  // regular refresh of the keys
  Duration min_fetch_interval{
      10'000'000};  // minimum time between fetches caused by tokens with an unknown key
  Duration max_key_age{
      3600'000'000};  // keys are not trusted longer than this without an answer from the issuer
  std::size_t max_cached_valid = 10'000;    // verified tokens cached
  std::size_t max_cached_invalid = 10'000;  // tokens with an invalid signature or claims cached
};

// The token is accepted: the seat that the playback may claim.
struct ValidToken {
  std::string team;
  std::string viewer_session;  // token subject, '/', playback session: takes one seat
  int seats = 0;
  Duration issued{0};
  Duration until{0};  // its expiry plus grace
};
struct InvalidToken {
  TokenError error = TokenError::malformed;
};
// The issuer's keys are needed first: validate again after on_keys_received() or on_keys_failed().
struct AwaitingKeys {};
using ValidationResult = std::variant<ValidToken, InvalidToken, AwaitingKeys>;

// A token, and the playback that it was presented for.
struct PresentedToken {
  std::string_view token, plan, title, session;
};

// Caches verified and invalid tokens, so that a signature is checked once.
class TokenValidator {
 public:
  explicit TokenValidator(TokenValidatorSettings settings) : settings_(std::move(settings)) {}
  // `now`: the machine's clock, here and below.
  ValidationResult validate(Duration now, const PresentedToken& presented);
  // The issuer's answer. `skipped` receives the cause for each key, or for the whole set, that can't be used.
  void on_keys_received(Duration now, std::string_view json, std::vector<std::string>& skipped);
  void on_keys_failed();
  // True if the caller must fetch the keys now; it then reports back by one of the two functions above.
  bool start_fetch_if_due(Duration now);
  bool fetching() const { return fetching_; }
  std::size_t keys() const { return keys_.size(); }

  struct Counts {
    std::size_t verified = 0;         // signatures checked
    std::size_t cached_refusals = 0;  // invalid tokens recognized from the cache
  };
  const Counts& counts() const { return counts_; }
  std::size_t cached_tokens() const { return valid_tokens_.size() + invalid_tokens_.size(); }

 private:
  ValidationResult validate_claims(Duration now, const PresentedToken& presented, const Token& token);
  void cache_invalid(std::string_view token, TokenError error);

  TokenValidatorSettings settings_;
  std::map<std::string, PublicKey, std::less<>> keys_;
  // Keys that are no longer in the issuer's set, and the time until which they stay valid.
  std::map<std::string, Duration, std::less<>> retired_;
  bool fetching_ = false;
  bool unknown_key_seen_ = false;  // since the last fetch was started
  bool ever_fetched_ = false;
  Duration fetched_at_{0};   // when the last fetch was started
  Duration answered_at_{0};  // when the issuer last sent a key set
  std::unordered_map<std::string, Token> valid_tokens_;
  std::deque<std::string> valid_order_;  // oldest first, for eviction
  std::unordered_map<std::string, TokenError> invalid_tokens_;
  std::deque<std::string> invalid_order_;
  // By token id: the seat that it was used for, and when to forget it.
  std::map<std::string, std::pair<std::string, Duration>> seat_by_token_;
  // By seat: when its newest token was issued, and when to forget it.
  std::map<std::string, std::pair<Duration, Duration>> newest_by_seat_;
  // When to forget an entry of newest_by_seat_ (true) or of seat_by_token_ (false).
  std::multimap<Duration, std::pair<bool, std::string>> expirations_;
  Counts counts_;
};

}  // namespace violettide::entitlement
