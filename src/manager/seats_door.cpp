// Seats: a playback that is to be entitled shows its token, is judged, claims its seat, and only then comes
// to the module. What is good and who has a seat the gate and the ledger decide; here their words are
// carried to viewers, other managers, the issuer and the disk.
#include <algorithm>

#include "entitlement/seat_codec/seat_codec.h"
#include "manager/inside.h"

namespace violettide::manager {

namespace {

constexpr std::uint32_t seat_words = 1;  // the kind of peers' payload that is the ledger's
constexpr std::string_view cat_name = "CTA-Common-Access-Token";
constexpr std::string_view query_name = "access_token";  // RFC 6750, 2.3

std::string_view cut(std::string_view list, char between, std::string_view name) {
  for (std::size_t from = 0; from < list.size();) {
    const auto end = std::min(list.find(between, from), list.size());
    auto one = list.substr(from, end - from);
    from = end + 1;
    while (!one.empty() && one.front() == ' ')
      one.remove_prefix(1);
    if (one.size() > name.size() && one.starts_with(name) && one[name.size()] == '=')
      return one.substr(name.size() + 1);
  }
  return {};
}

}  // namespace

// Where a token may stand: the Authorization field (RFC 6750), and field, cookie or argument by the name
// that CTA-5007 gives to common access tokens.
std::string Manager::token_of(const http::Request& request) {
  if (const auto* field = http::find(request.fields, "Authorization")) {
    if (field->size() > 7 && http::equals_ignoring_case(field->substr(0, 7), "Bearer "))
      return field->substr(7);
  }
  if (const auto* field = http::find(request.fields, cat_name))
    return *field;
  if (const auto* cookies = http::find(request.fields, "Cookie")) {
    if (const auto cookie = cut(*cookies, ';', cat_name); !cookie.empty())
      return std::string(cookie);
  }
  const std::string_view target = request.target;
  const auto query = target.substr(std::min(target.size(), target.find('?')));
  if (query.empty())
    return "";
  for (const auto name : {cat_name, query_name}) {
    if (const auto argument = cut(query.substr(1), '&', name); !argument.empty())
      return std::string(argument);
  }
  return "";
}

void Manager::entitle(Playback& playback) {
  auto& viewer = *viewers_.at(playback.askers.front());
  if (viewer.token.empty() && playback.hls)
    viewer.token = playback.hls->token;
  const auto refuse = [&](int status, const std::string& cause, const std::string& error) {
    say("token_refused", {{"playback", said_id(playback.id)}, {"cause", cause}});
    settle(playback, status, "token: " + cause + "\n",
           {{"WWW-Authenticate", "Bearer error=\"" + error + "\""}});
  };
  if (viewer.token.empty())
    return refuse(401, "none was shown", "invalid_request");
  const auto judged = token_validator_.validate(
      wall(), {viewer.token, terms_.plans[playback.plan].name, playback.title, playback.key});
  if (std::holds_alternative<entitlement::AwaitingKeys>(judged)) {
    wait_for_keys_.insert(playback.id);
    fetch_keys();
    // The issuer was asked not long ago and did not answer: to wait for the next time would hold this one up.
    if (!token_validator_.fetching())
      settle(playback, 503, "rejected: the issuer's keys can't be had now\n", come_back_soon());
    return;
  }
  if (const auto* bad = std::get_if<entitlement::InvalidToken>(&judged)) {
    using Error = entitlement::TokenError;
    const bool scope = bad->error == Error::plan_not_allowed || bad->error == Error::title_not_allowed;
    return refuse(scope ? 403 : 401, std::string(entitlement::describe(bad->error)),
                  scope ? "insufficient_scope" : "invalid_token");
  }
  const auto& good = std::get<entitlement::ValidToken>(judged);
  playback.token = viewer.token;
  playback.seat = entitlement::SeatKey{good.team, good.viewer_session};
  by_seat_[*playback.seat] = playback.id;
  seats_did(entitlement::SeatClaimed{*playback.seat, good.seats, good.issued, good.until});
}

// A newer token on a request of what plays already: nothing of that is touched, whatever comes of it.
void Manager::renew(Playback& playback, const ViewerLink& viewer) {
  if (viewer.token.empty() || viewer.token == playback.token || !playback.seat)
    return;
  const auto judged = token_validator_.validate(
      wall(), {viewer.token, terms_.plans[playback.plan].name, playback.title, playback.key});
  if (std::holds_alternative<entitlement::AwaitingKeys>(judged))
    return fetch_keys();
  const auto* good = std::get_if<entitlement::ValidToken>(&judged);
  if (!good || entitlement::SeatKey{good->team, good->viewer_session} != *playback.seat) {
    const auto* bad = std::get_if<entitlement::InvalidToken>(&judged);
    say("renewal_refused",
        {{"playback", said_id(playback.id)},
         {"cause", bad ? std::string(entitlement::describe(bad->error)) : "of another seat"}});
    return;
  }
  playback.token = viewer.token;
  seats_did(entitlement::SeatClaimed{*playback.seat, good->seats, good->issued, good->until});
}

void Manager::seats_did(const entitlement::LedgerEvent& event) {
  const auto actions = ledger_->handle(wall(), event);
  // What one step keeps is kept together, and before anything that it lets go on.
  std::string bytes;
  std::uint64_t last = 0;
  for (const auto& act : actions) {
    if (const auto* record = std::get_if<entitlement::PersistRecord>(&act)) {
      const auto one = entitlement::encode(record->record);
      for (int shift = 24; shift >= 0; shift -= 8)
        bytes += static_cast<char>(one.size() >> shift & 0xff);
      bytes += one;
      last = record->ticket;
    }
  }
  if (last != 0)
    actions_->push_back(Persist{first_seat_ticket + last, std::move(bytes), false});
  for (const auto& act : actions)
    do_seat(act);
}

void Manager::do_seat(const entitlement::LedgerAction& act) {
  const auto of = [&](const entitlement::SeatKey& key) -> Playback* {
    const auto known = by_seat_.find(key);
    const auto found = known == by_seat_.end() ? playbacks_.end() : playbacks_.find(known->second);
    return found == playbacks_.end() ? nullptr : found->second.get();
  };
  if (const auto* admit = std::get_if<entitlement::Admit>(&act)) {
    auto* playback = of(admit->key);
    if (!playback || !playback->request || playback->playing)
      return;
    say("seat_given",
        {{"playback", said_id(playback->id)}, {"team", admit->key.team}, {"who", admit->key.viewer_session}});
    tell(*std::exchange(playback->request, std::nullopt));
  } else if (const auto* away = std::get_if<entitlement::RejectClaim>(&act)) {
    auto* playback = of(away->key);
    if (!playback || playback->playing)
      return;
    using Reason = entitlement::RejectClaim::Reason;
    const Duration longest = terms_.entitlement.longest_come_back;
    const Duration come_back =
        std::clamp(away->retry_after, Duration(1'000'000), std::max(Duration(1'000'000), longest));
    const auto* cause = away->reason == Reason::no_free_seat      ? "its team has no free seat"
                        : away->reason == Reason::owner_timed_out ? "its team's seats can't be counted now"
                        : away->reason == Reason::too_many_claims ? "too many seats are asked for"
                                                                  : "its token is past its time";
    say("seat_refused",
        {{"playback", said_id(playback->id)}, {"team", away->key.team}, {"cause", std::string(cause)}});
    part(*playback, hls::EndReason::rejected, come_back);
    settle(*playback, 503, std::string("rejected: ") + cause + "\n",
           {{"Retry-After", std::to_string((come_back.count() + 999'999) / 1'000'000)}});
  } else if (const auto* end = std::get_if<entitlement::EndPlayback>(&act)) {
    auto* playback = of(end->key);
    if (!playback)
      return;
    const bool lapsed = end->reason == entitlement::EndPlayback::Reason::expired;
    const auto id = playback->id;
    say("seat_ended", {{"playback", said_id(id)},
                       {"cause", std::string(lapsed ? "its token's time" : "at another manager")}});
    if (playback->playing) {
      tell(TryEnded{id, playback->server, Outcome::served, true, {}});
      part(*playback, hls::EndReason::idle);
      return forget(id);
    }
    tell(RequestCancelled{id});
    if (playback->try_link) {
      hang_box(playback->try_link);
      playback->try_link = 0;
      tell(TryEnded{id, playback->server, Outcome::cancelled, true, {}});
    }
    settle(*playback, 409, lapsed ? "the token's time is up\n" : "this playback went to another manager\n",
           {});
  } else if (const auto* message = std::get_if<entitlement::SendToPeer>(&act)) {
    if (peers_)
      peers_->send(now_, message->to, seat_words, entitlement::encode(message->message), *actions_);
  }
}

void Manager::peers_said(std::vector<peers::ReceivedMessage> heard) {
  for (const auto& remark : peers_->take_warnings())
    say("peer_refused", {{"cause", remark}});
  for (const auto& one : heard) {
    if (one.kind != seat_words || !ledger_)
      continue;
    const auto message = entitlement::decode_message(one.payload);
    if (message)
      seats_did(entitlement::MessageReceived{one.from, *message});
    else
      say("peer_refused", {{"cause", "no word of seats from " + terms_.peers.managers[one.from].name}});
  }
}

void Manager::seats_kept(const Persisted& what) {
  if (!what.error.empty()) {
    // No later record stands for one that was not kept: from here on no seat is given.
    if (!std::exchange(seats_disk_failed_, true))
      say("seats_not_kept", {{"cause", what.error}});
    return;
  }
  if (!seats_disk_failed_)
    seats_did(entitlement::RecordsPersisted{what.ticket - first_seat_ticket});
}

void Manager::seats_time() {
  arm(terms_.entitlement.every, Ring::seats, 0);
  if (peers_) {
    peers_->on_tick(now_, *actions_);
    peers_said({});  // what it remarked meanwhile
  }
  if (!ledger_)
    return;
  fetch_keys();
  seats_did(entitlement::Ticked{});
}

void Manager::fetch_keys() {
  const auto& terms = terms_.entitlement;
  if (terms.keys_port == 0 || !token_validator_.start_fetch_if_due(wall()))
    return;
  service_link(Use::keys, terms.keys_address, terms.keys_port, terms.keys_path, "", Duration(2'000'000));
}

void Manager::keys_answered(BoxLink& link, bool whole) {
  const auto body = std::move(link.body);
  const int status = link.head_seen ? link.status : 0;
  hang_box(link.link);
  if (whole && status == 200) {
    std::vector<std::string> left_out;
    token_validator_.on_keys_received(wall(), body, left_out);
    for (const auto& what : left_out)
      say("key_left_out", {{"cause", what}});
  } else {
    token_validator_.on_keys_failed();
    say("keys_failed", {{"status", std::int64_t{status}}});
  }
  // Those who waited for this answer are judged by what is known now.
  const auto waiting = std::exchange(wait_for_keys_, {});
  for (const auto id : waiting) {
    const auto found = playbacks_.find(id);
    if (found == playbacks_.end() || found->second->askers.empty())
      continue;
    if (token_validator_.keys() > 0) {
      entitle(*found->second);
      if (!wait_for_keys_.contains(id))
        continue;
      wait_for_keys_.erase(id);
    }
    settle(*found->second, 503, "rejected: the issuer's keys can't be had now\n", come_back_soon());
  }
}

}  // namespace violettide::manager
