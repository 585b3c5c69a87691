// The manager's entitlement part: a playback's bearer token is validated and its seat claimed before its
// setup request goes to the policy. The token validator and the ledger decide; this file connects them to
// viewers, other managers, the token issuer and the disk.
#include <algorithm>

#include "entitlement/seat_codec/seat_codec.h"
#include "manager/manager_internal.h"

namespace violettide::manager {

namespace {

constexpr std::uint32_t seat_message_kind = 1;  // the kind of peer messages that belong to the ledger
constexpr std::string_view cta_token_name = "CTA-Common-Access-Token";
constexpr std::string_view query_token_name = "access_token";  // RFC 6750, 2.3

// Returns the value of `name` in a list of NAME=VALUE pairs, empty if it is not there.
std::string_view find_value(std::string_view list, char separator, std::string_view name) {
  for (std::size_t from = 0; from < list.size();) {
    const auto end = std::min(list.find(separator, from), list.size());
    auto pair = list.substr(from, end - from);
    from = end + 1;
    while (!pair.empty() && pair.front() == ' ')
      pair.remove_prefix(1);
    if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=')
      return pair.substr(name.size() + 1);
  }
  return {};
}

}  // namespace

// Finds the bearer token of a request, empty if there is none: in the Authorization field or the query
// parameter of RFC 6750, or in the field, cookie or query parameter that CTA-5007 names.
std::string Manager::extract_token(const http::Request& request) {
  if (const auto* field = http::find(request.fields, "Authorization")) {
    if (field->size() > 7 && http::equals_ignoring_case(field->substr(0, 7), "Bearer "))
      return field->substr(7);
  }
  if (const auto* field = http::find(request.fields, cta_token_name))
    return *field;
  if (const auto* cookies = http::find(request.fields, "Cookie")) {
    if (const auto cookie = find_value(*cookies, ';', cta_token_name); !cookie.empty())
      return std::string(cookie);
  }
  const std::string_view target = request.target;
  const auto query = target.substr(std::min(target.size(), target.find('?')));
  if (query.empty())
    return "";
  for (const auto name : {cta_token_name, query_token_name}) {
    if (const auto parameter = find_value(query.substr(1), '&', name); !parameter.empty())
      return std::string(parameter);
  }
  return "";
}

// Validates the token of the first waiting viewer and claims a seat, or answers the viewers with the error.
// Waits for the issuer's keys if they are being fetched.
void Manager::claim_seat(Playback& playback) {
  auto& viewer = *viewer_connections_.at(playback.waiting_viewers.front());
  if (viewer.token.empty() && playback.hls)
    viewer.token = playback.hls->token;
  const auto refuse = [&](int status, const std::string& cause, const std::string& error) {
    log_event("token_refused", {{"playback", log_id(playback.id)}, {"cause", cause}});
    end_with_response(playback, status, "token: " + cause + "\n",
                      {{"WWW-Authenticate", "Bearer error=\"" + error + "\""}});
  };
  if (viewer.token.empty())
    return refuse(401, "missing", "invalid_request");
  const auto validated = token_validator_.validate(
      wall_clock(), {viewer.token, settings_.plans[playback.plan].name, playback.title, playback.key});
  if (std::holds_alternative<entitlement::AwaitingKeys>(validated)) {
    awaiting_keys_.insert(playback.id);
    fetch_token_keys();
    // The last fetch failed not long ago; waiting for the next one would delay this viewer too long.
    if (!token_validator_.fetching())
      end_with_response(playback, 503, "rejected: the token issuer's keys are not available now\n",
                        short_retry_after());
    return;
  }
  if (const auto* invalid = std::get_if<entitlement::InvalidToken>(&validated)) {
    using Error = entitlement::TokenError;
    const bool wrong_scope =
        invalid->error == Error::plan_not_allowed || invalid->error == Error::title_not_allowed;
    return refuse(wrong_scope ? 403 : 401, std::string(entitlement::describe(invalid->error)),
                  wrong_scope ? "insufficient_scope" : "invalid_token");
  }
  const auto& valid = std::get<entitlement::ValidToken>(validated);
  playback.token = viewer.token;
  playback.seat = entitlement::SeatKey{valid.team, valid.viewer_session};
  playback_by_seat_[*playback.seat] = playback.id;
  handle_ledger_event(entitlement::SeatClaimed{*playback.seat, valid.seats, valid.issued, valid.until});
}

// Renews the lease of a seat by a newer token on a request of a playing playback. If the token is refused,
// the playback keeps its present token and plays on.
void Manager::renew_token(Playback& playback, const ViewerConnection& viewer) {
  if (viewer.token.empty() || viewer.token == playback.token || !playback.seat)
    return;
  const auto validated = token_validator_.validate(
      wall_clock(), {viewer.token, settings_.plans[playback.plan].name, playback.title, playback.key});
  if (std::holds_alternative<entitlement::AwaitingKeys>(validated))
    return fetch_token_keys();
  const auto* valid = std::get_if<entitlement::ValidToken>(&validated);
  if (!valid || entitlement::SeatKey{valid->team, valid->viewer_session} != *playback.seat) {
    const auto* invalid = std::get_if<entitlement::InvalidToken>(&validated);
    log_event("renewal_refused", {{"playback", log_id(playback.id)},
                                  {"cause", invalid ? std::string(entitlement::describe(invalid->error))
                                                    : "the token is for another seat"}});
    return;
  }
  playback.token = viewer.token;
  handle_ledger_event(entitlement::SeatClaimed{*playback.seat, valid->seats, valid->issued, valid->until});
}

// Lets the ledger handle an event, and executes its actions.
void Manager::handle_ledger_event(const entitlement::LedgerEvent& event) {
  const auto actions = ledger_->handle(wall_clock(), event);
  // All records of one step are persisted by one write, before the actions that depend on them. Each record
  // is preceded by its size, as four bytes in network order.
  std::string bytes;
  std::uint64_t last_ticket = 0;
  for (const auto& action : actions) {
    if (const auto* record = std::get_if<entitlement::PersistRecord>(&action)) {
      const auto encoded = entitlement::encode(record->record);
      for (int shift = 24; shift >= 0; shift -= 8)
        bytes += static_cast<char>(encoded.size() >> shift & 0xff);
      bytes += encoded;
      last_ticket = record->ticket;
    }
  }
  if (last_ticket != 0)
    actions_->push_back(Persist{first_seat_ticket + last_ticket, std::move(bytes), false});
  for (const auto& action : actions)
    execute_ledger_action(action);
}

// Executes an action of the ledger, except PersistRecord, which handle_ledger_event() has executed.
void Manager::execute_ledger_action(const entitlement::LedgerAction& action) {
  const auto playback_of = [&](const entitlement::SeatKey& key) -> Playback* {
    const auto known = playback_by_seat_.find(key);
    const auto found = known == playback_by_seat_.end() ? playbacks_.end() : playbacks_.find(known->second);
    return found == playbacks_.end() ? nullptr : found->second.get();
  };
  if (const auto* admitted = std::get_if<entitlement::Admit>(&action)) {
    auto* playback = playback_of(admitted->key);
    if (!playback || !playback->pending_request || playback->playing)
      return;
    log_event("seat_given", {{"playback", log_id(playback->id)},
                             {"team", admitted->key.team},
                             {"who", admitted->key.viewer_session}});
    post_event(*std::exchange(playback->pending_request, std::nullopt));
  } else if (const auto* rejected = std::get_if<entitlement::RejectClaim>(&action)) {
    auto* playback = playback_of(rejected->key);
    if (!playback || playback->playing)
      return;
    using Reason = entitlement::RejectClaim::Reason;
    const Duration max_retry_after = settings_.entitlement.max_retry_after;
    const Duration retry_after = std::clamp(rejected->retry_after, Duration(1'000'000),
                                            std::max(Duration(1'000'000), max_retry_after));
    const auto* cause = rejected->reason == Reason::no_free_seat ? "its team has no free seat"
                        : rejected->reason == Reason::owner_timed_out
                            ? "its team's seats can't be counted now"
                        : rejected->reason == Reason::too_many_claims ? "too many seat claims are pending"
                                                                      : "its token has expired";
    log_event(
        "seat_refused",
        {{"playback", log_id(playback->id)}, {"team", rejected->key.team}, {"cause", std::string(cause)}});
    record_ended_playback(*playback, hls::EndReason::rejected, retry_after);
    end_with_response(*playback, 503, std::string("rejected: ") + cause + "\n",
                      {{"Retry-After", std::to_string((retry_after.count() + 999'999) / 1'000'000)}});
  } else if (const auto* ended = std::get_if<entitlement::EndPlayback>(&action)) {
    auto* playback = playback_of(ended->key);
    if (!playback)
      return;
    const bool expired = ended->reason == entitlement::EndPlayback::Reason::expired;
    const auto id = playback->id;
    log_event(
        "seat_ended",
        {{"playback", log_id(id)},
         {"cause", std::string(expired ? "its token has expired" : "its seat moved to another manager")}});
    if (playback->playing) {
      post_event(TryEnded{id, playback->server, Outcome::served, true, {}});
      record_ended_playback(*playback, hls::EndReason::idle);
      return remove_playback(id);
    }
    post_event(RequestCancelled{id});
    if (playback->try_connection) {
      close_box_connection(playback->try_connection);
      playback->try_connection = 0;
      post_event(TryEnded{id, playback->server, Outcome::cancelled, true, {}});
    }
    end_with_response(*playback, 409,
                      expired ? "the token has expired\n" : "this playback moved to another manager\n", {});
  } else if (const auto* message = std::get_if<entitlement::SendToPeer>(&action)) {
    if (peers_)
      peers_->send(now_, message->to, seat_message_kind, entitlement::encode(message->message), *actions_);
  }
}

void Manager::on_peer_messages(std::vector<peers::ReceivedMessage> messages) {
  for (const auto& warning : peers_->take_warnings())
    log_event("peer_refused", {{"cause", warning}});
  for (const auto& received : messages) {
    if (received.kind != seat_message_kind || !ledger_)
      continue;
    const auto message = entitlement::decode_message(received.payload);
    if (message)
      handle_ledger_event(entitlement::MessageReceived{received.from, *message});
    else
      log_event("peer_refused",
                {{"cause", "invalid seat message from " + settings_.peers.managers[received.from].name}});
  }
}

void Manager::on_seat_records_persisted(const Persisted& persisted) {
  if (!persisted.error.empty()) {
    // A later record can't make up for a lost one: no seat is granted from here on.
    if (!std::exchange(seat_persistence_failed_, true))
      log_event("seats_not_kept", {{"cause", persisted.error}});
    return;
  }
  if (!seat_persistence_failed_)
    handle_ledger_event(entitlement::RecordsPersisted{persisted.ticket - first_seat_ticket});
}

// Runs the timers of peer connections, token keys and the ledger.
void Manager::on_seats_tick() {
  start_timer(settings_.entitlement.tick_interval, TimerKind::seats_tick, 0);
  if (peers_) {
    if (now_ >= stall_recovery_until_)  // after a stall of this process, input is read first
      peers_->on_tick(now_, *actions_);
    on_peer_messages({});  // logs the warnings that have accumulated
  }
  if (!ledger_)
    return;
  fetch_token_keys();
  handle_ledger_event(entitlement::Ticked{});
}

// Requests the issuer's key set, unless there is no issuer or no fetch is due.
void Manager::fetch_token_keys() {
  const auto& entitlement_settings = settings_.entitlement;
  if (entitlement_settings.keys_port == 0 || !token_validator_.start_fetch_if_due(wall_clock()))
    return;
  request_from_service(ConnectionPurpose::token_keys, entitlement_settings.keys_address,
                       entitlement_settings.keys_port, entitlement_settings.keys_path, "",
                       Duration(2'000'000));
}

// Applies the issuer's key set, and resumes the playbacks that wait for it. `complete`: the whole body
// arrived.
void Manager::on_token_keys_response(BoxConnection& connection, bool complete) {
  const auto body = std::move(connection.body);
  const int status = connection.head_received ? connection.status : 0;
  close_box_connection(connection.id);
  if (complete && status == 200) {
    std::vector<std::string> left_out;
    token_validator_.on_keys_received(wall_clock(), body, left_out);
    for (const auto& cause : left_out)
      log_event("key_left_out", {{"cause", cause}});
  } else {
    token_validator_.on_keys_failed();
    log_event("keys_failed", {{"status", std::int64_t{status}}});
  }
  // Playbacks that waited for this fetch are validated with the keys known now.
  const auto waiting = std::exchange(awaiting_keys_, {});
  for (const auto id : waiting) {
    const auto found = playbacks_.find(id);
    if (found == playbacks_.end() || found->second->waiting_viewers.empty())
      continue;
    if (token_validator_.keys() > 0) {
      claim_seat(*found->second);
      if (!awaiting_keys_.contains(id))
        continue;
      awaiting_keys_.erase(id);
    }
    end_with_response(*found->second, 503, "rejected: the token issuer's keys are not available now\n",
                      short_retry_after());
  }
}

}  // namespace violettide::manager
