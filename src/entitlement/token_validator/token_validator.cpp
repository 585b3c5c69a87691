#include "entitlement/token_validator/token_validator.h"

#include <algorithm>

namespace violettide::entitlement {

namespace {

// An empty list allows everything; a pattern that ends in '*' matches by its prefix.
bool matches_any(const std::vector<std::string>& patterns, std::string_view value) {
  return patterns.empty() || std::any_of(patterns.begin(), patterns.end(), [&](const std::string& pattern) {
           return pattern == value ||
                  (pattern.ends_with('*') && value.starts_with(pattern.substr(0, pattern.size() - 1)));
         });
}

}  // namespace

void TokenValidator::cache_invalid(std::string_view token, TokenError error) {
  // Evicts the oldest, so that a flood of different invalid tokens uses bounded memory.
  if (invalid_tokens_.size() >= settings_.max_cached_invalid && !invalid_order_.empty()) {
    invalid_tokens_.erase(invalid_order_.front());
    invalid_order_.pop_front();
  }
  if (invalid_tokens_.emplace(std::string(token), error).second)
    invalid_order_.emplace_back(token);
}

ValidationResult TokenValidator::validate(Duration now, const PresentedToken& presented) {
  const auto refuse = [&](TokenError error) -> ValidationResult { return InvalidToken{error}; };
  if (presented.token.size() > max_token_bytes)
    return refuse(TokenError::malformed);
  const std::string text(presented.token);
  if (const auto cached = invalid_tokens_.find(text); cached != invalid_tokens_.end()) {
    ++counts_.cached_refusals;
    return refuse(cached->second);
  }
  if (const auto cached = valid_tokens_.find(text); cached != valid_tokens_.end()) {
    return validate_claims(now, presented, cached->second);
  }
  const auto header = read_unverified_header(presented.token);
  if (const auto* error = std::get_if<TokenError>(&header))
    return refuse(*error);
  const auto& key_id = std::get<UnverifiedHeader>(header).key_id;
  const auto key = keys_.find(key_id);
  const bool stale = ever_fetched_ && now - answered_at_ > settings_.max_key_age;
  if (key == keys_.end() || stale) {
    // The key may be newer than our set. Fetches are rate-limited, however many unknown keys are presented.
    unknown_key_seen_ = true;
    // Without valid keys a token can neither be accepted nor refused.
    if (fetching_ || now - fetched_at_ >= settings_.min_fetch_interval || !ever_fetched_ || keys_.empty() ||
        stale)
      return AwaitingKeys{};
    return refuse(TokenError::unknown_key);
  }
  if (const auto retired = retired_.find(key_id); retired != retired_.end() && retired->second <= now)
    return refuse(TokenError::unknown_key);
  ++counts_.verified;
  auto verified = verify_token(presented.token, key->second, settings_.audience);
  if (const auto* error = std::get_if<TokenError>(&verified)) {
    cache_invalid(presented.token, *error);
    return refuse(*error);
  }
  auto& token = std::get<Token>(verified);
  if (!settings_.issuer.empty() && token.issuer != settings_.issuer) {
    cache_invalid(presented.token, TokenError::wrong_issuer);
    return refuse(TokenError::wrong_issuer);
  }
  if (valid_tokens_.size() >= settings_.max_cached_valid && !valid_order_.empty()) {
    valid_tokens_.erase(valid_order_.front());
    valid_order_.pop_front();
  }
  const auto& entry = valid_tokens_.emplace(text, std::move(token)).first->second;
  valid_order_.push_back(text);
  return validate_claims(now, presented, entry);
}

// Checks that depend on the time and on the playback.
ValidationResult TokenValidator::validate_claims(Duration now, const PresentedToken& presented,
                                                 const Token& token) {
  const auto refuse = [&](TokenError error) -> ValidationResult { return InvalidToken{error}; };
  while (!expirations_.empty() && expirations_.begin()->first <= now) {
    const auto& [is_seat, name] = expirations_.begin()->second;
    if (is_seat) {
      if (const auto found = newest_by_seat_.find(name);
          found != newest_by_seat_.end() && found->second.second <= now)
        newest_by_seat_.erase(found);
    } else {
      seat_by_token_.erase(name);
    }
    expirations_.erase(expirations_.begin());
  }
  if (token.not_before > now + settings_.skew)
    return refuse(TokenError::not_yet_valid);
  if (token.expires + settings_.skew <= now)
    return refuse(TokenError::expired);
  if (!matches_any(token.plans, presented.plan))
    return refuse(TokenError::plan_not_allowed);
  if (!matches_any(token.titles, presented.title))
    return refuse(TokenError::title_not_allowed);
  const auto viewer_session = token.subject + "/" + std::string(presented.session);
  const auto seat = token.team + "/" + viewer_session;
  const auto expiry = token.expires + settings_.skew + settings_.grace;
  const auto [owner, inserted] = seat_by_token_.emplace(token.id, std::pair(seat, expiry));
  if (inserted)
    expirations_.emplace(expiry, std::pair(false, token.id));
  else if (owner->second.first != seat)
    return refuse(TokenError::replayed);
  // A renewed token replaces the older one, which is not accepted again.
  auto& [issued, keep_until] = newest_by_seat_[seat];
  if (token.issued < issued)
    return refuse(TokenError::replayed);
  if (token.issued > issued || keep_until < expiry) {
    issued = token.issued;
    keep_until = expiry;
    expirations_.emplace(expiry, std::pair(true, seat));
  }
  return ValidToken{token.team, viewer_session, token.seats, token.issued, token.expires + settings_.grace};
}

bool TokenValidator::start_fetch_if_due(Duration now) {
  if (fetching_)
    return false;
  const bool due = !ever_fetched_ || now - fetched_at_ >= settings_.fetch_interval ||
                   (unknown_key_seen_ && now - fetched_at_ >= settings_.min_fetch_interval);
  if (!due)
    return false;
  fetching_ = true;
  unknown_key_seen_ = false;
  ever_fetched_ = true;
  fetched_at_ = now;
  return true;
}

void TokenValidator::on_keys_received(Duration now, std::string_view text,
                                      std::vector<std::string>& skipped) {
  auto result = read_key_set(text);
  if (const auto* error = std::get_if<std::string>(&result)) {
    skipped.push_back(*error);
    return on_keys_failed();
  }
  fetching_ = false;
  answered_at_ = now;
  auto& set = std::get<KeySet>(result);
  skipped = set.skipped;
  // A set without any usable key is assumed to be an error of the issuer: the known keys stay.
  if (set.keys.empty()) {
    skipped.push_back("the set has no usable key; the known keys are kept");
    return;
  }
  std::set<std::string> published;
  for (auto& key : set.keys) {
    published.insert(key.id);
    retired_.erase(key.id);
    keys_.insert_or_assign(key.id, std::move(key));
  }
  // A token that was signed just before a rotation may be presented shortly after it.
  for (auto it = keys_.begin(); it != keys_.end();) {
    if (published.contains(it->first)) {
      ++it;
      continue;
    }
    const auto until = retired_.emplace(it->first, now + settings_.grace).first->second;
    if (until <= now) {
      retired_.erase(it->first);
      it = keys_.erase(it);
    } else {
      ++it;
    }
  }
}

void TokenValidator::on_keys_failed() { fetching_ = false; }

}  // namespace violettide::entitlement
