#include "entitlement/gate/gate.h"

#include <algorithm>

namespace violettide::entitlement {

namespace {

bool among(const std::vector<std::string>& all, std::string_view one) {
  return all.empty() || std::any_of(all.begin(), all.end(), [&](const std::string& known) {
           return known == one ||
                  (known.ends_with('*') && one.starts_with(known.substr(0, known.size() - 1)));
         });
}

}  // namespace

void Gate::remember_bad(std::string_view token, TokenFault fault) {
  // Oldest out: a flood of ever new ones costs this much memory and no more.
  if (bad_.size() >= terms_.most_bad && !bad_order_.empty()) {
    bad_.erase(bad_order_.front());
    bad_order_.pop_front();
  }
  if (bad_.emplace(std::string(token), fault).second)
    bad_order_.emplace_back(token);
}

Judged Gate::judge(Duration now, const Shown& shown) {
  const auto refuse = [&](TokenFault fault) -> Judged { return Bad{fault}; };
  if (shown.token.size() > most_token_bytes)
    return refuse(TokenFault::malformed);
  const std::string text(shown.token);
  if (const auto known = bad_.find(text); known != bad_.end()) {
    ++counts_.refused_cheaply;
    return refuse(known->second);
  }
  if (const auto known = good_.find(text); known != good_.end()) {
    return judge_token(now, shown, known->second);
  }
  const auto head = read_unsigned(shown.token);
  if (const auto* fault = std::get_if<TokenFault>(&head))
    return refuse(*fault);
  const auto& key_id = std::get<Unsigned>(head).key_id;
  const auto key = keys_.find(key_id);
  const bool stale = ever_ && now - answered_at_ > terms_.keys_kept;
  if (key == keys_.end() || stale) {
    // It may be a key of a set that is newer than ours; the issuer is asked at its pace, whoever asks.
    wanted_ = true;
    // Without any keys nothing can be said of a token, good or bad.
    if (fetching_ || now - fetched_at_ >= terms_.fetch_least || !ever_ || keys_.empty() || stale)
      return WaitsForKeys{};
    return refuse(TokenFault::unknown_key);
  }
  if (const auto gone = retired_.find(key_id); gone != retired_.end() && gone->second <= now)
    return refuse(TokenFault::unknown_key);
  ++counts_.verified;
  auto verified = verify(shown.token, key->second, terms_.audience);
  if (const auto* fault = std::get_if<TokenFault>(&verified)) {
    remember_bad(shown.token, *fault);
    return refuse(*fault);
  }
  auto& token = std::get<Token>(verified);
  if (!terms_.issuer.empty() && token.issuer != terms_.issuer) {
    remember_bad(shown.token, TokenFault::wrong_issuer);
    return refuse(TokenFault::wrong_issuer);
  }
  if (good_.size() >= terms_.most_good && !good_order_.empty()) {
    good_.erase(good_order_.front());
    good_order_.pop_front();
  }
  const auto& kept = good_.emplace(text, std::move(token)).first->second;
  good_order_.push_back(text);
  return judge_token(now, shown, kept);
}

// What depends on the time and on what is played.
Judged Gate::judge_token(Duration now, const Shown& shown, const Token& token) {
  const auto refuse = [&](TokenFault fault) -> Judged { return Bad{fault}; };
  while (!forget_at_.empty() && forget_at_.begin()->first <= now) {
    const auto& [of_seat, name] = forget_at_.begin()->second;
    if (of_seat) {
      if (const auto found = newest_.find(name); found != newest_.end() && found->second.second <= now)
        newest_.erase(found);
    } else {
      whose_.erase(name);
    }
    forget_at_.erase(forget_at_.begin());
  }
  if (token.not_before > now + terms_.skew)
    return refuse(TokenFault::not_yet);
  if (token.expires + terms_.skew <= now)
    return refuse(TokenFault::expired);
  if (!among(token.plans, shown.plan))
    return refuse(TokenFault::not_this_plan);
  if (!among(token.titles, shown.title))
    return refuse(TokenFault::not_this_title);
  const auto who = token.subject + "/" + std::string(shown.session);
  const auto seat = token.team + "/" + who;
  const auto gone_at = token.expires + terms_.skew + terms_.grace;
  const auto [owner, fresh] = whose_.emplace(token.id, std::pair(seat, gone_at));
  if (fresh)
    forget_at_.emplace(gone_at, std::pair(false, token.id));
  else if (owner->second.first != seat)
    return refuse(TokenFault::replayed);
  // A renewal takes the older token's place; that one is not taken again.
  auto& [issued, forget] = newest_[seat];
  if (token.issued < issued)
    return refuse(TokenFault::replayed);
  if (token.issued > issued || forget < gone_at) {
    issued = token.issued;
    forget = gone_at;
    forget_at_.emplace(gone_at, std::pair(true, seat));
  }
  return Good{token.team, who, token.seats, token.issued, token.expires + terms_.grace};
}

bool Gate::wants_fetch(Duration now) {
  if (fetching_)
    return false;
  const bool due = !ever_ || now - fetched_at_ >= terms_.fetch_every ||
                   (wanted_ && now - fetched_at_ >= terms_.fetch_least);
  if (!due)
    return false;
  fetching_ = true;
  wanted_ = false;
  ever_ = true;
  fetched_at_ = now;
  return true;
}

void Gate::keys_came(Duration now, std::string_view text, std::vector<std::string>& left_out) {
  auto read = read_key_set(text);
  if (const auto* fault = std::get_if<std::string>(&read)) {
    left_out.push_back(*fault);
    return keys_failed();
  }
  fetching_ = false;
  answered_at_ = now;
  auto& set = std::get<ReadKeys>(read);
  left_out = set.left_out;
  // A set without any key that is of use is taken for the issuer's mistake: what is known stays.
  if (set.keys.empty()) {
    left_out.push_back("no key that is of use: the ones known are kept");
    return;
  }
  std::set<std::string> there;
  for (auto& key : set.keys) {
    there.insert(key.id);
    retired_.erase(key.id);
    keys_.insert_or_assign(key.id, std::move(key));
  }
  // Tokens signed just before a rotation may be shown a little after it.
  for (auto it = keys_.begin(); it != keys_.end();) {
    if (there.contains(it->first)) {
      ++it;
      continue;
    }
    const auto until = retired_.emplace(it->first, now + terms_.grace).first->second;
    if (until <= now) {
      retired_.erase(it->first);
      it = keys_.erase(it);
    } else {
      ++it;
    }
  }
}

void Gate::keys_failed() { fetching_ = false; }

}  // namespace violettide::entitlement
