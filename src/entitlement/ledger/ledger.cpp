#include "entitlement/ledger/ledger.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace violettide::entitlement {

namespace {

// Joins the parts of a state with separators, so that different states give different texts.
class FingerprintBuilder {
 public:
  FingerprintBuilder& operator<<(const std::string& text) {
    joined += text;
    joined += '|';
    return *this;
  }
  FingerprintBuilder& operator<<(std::int64_t number) { return *this << std::to_string(number); }
  std::string joined;
};

}  // namespace

PeerIndex owner_of(const LedgerSettings& settings, std::string_view team) {
  PeerIndex owner = 0;
  std::uint64_t highest = 0;
  for (PeerIndex peer = 0; peer < settings.peers.size(); ++peer) {
    const auto& name = settings.peers[peer];
    const auto weight = XXH64(team.data(), team.size(), XXH64(name.data(), name.size(), 0));
    if (peer == 0 || weight > highest)
      owner = peer, highest = weight;
  }
  return owner;
}

ReplayedLog replay_log(const std::vector<Record>& records) {
  ReplayedLog replayed;
  for (const auto& record : records) {
    switch (record.kind) {
      case Record::Kind::claimed:
        replayed.claims[record.key] = record;
        break;
      case Record::Kind::released:
        if (const auto found = replayed.claims.find(record.key);
            found != replayed.claims.end() && found->second.number <= record.number)
          replayed.claims.erase(found);
        break;
      case Record::Kind::granted:
        replayed.grants[record.key] = record;
        break;
      case Record::Kind::freed:
        if (const auto found = replayed.grants.find(record.key); found != replayed.grants.end() &&
                                                                 found->second.holder == record.holder &&
                                                                 found->second.number == record.number)
          replayed.grants.erase(found);
        replayed.freed.push_back(record);
        break;
    }
  }
  return replayed;
}

std::vector<SeatAnomaly> find_anomalies(const std::vector<Record>& records, Duration now) {
  std::vector<SeatAnomaly> anomalies;
  std::map<std::pair<PeerIndex, ClaimNumber>, int> claims;
  for (const auto& [key, record] : replay_log(records).grants) {
    if (record.until < now)
      anomalies.push_back({record, "past its expiry"});
    if (++claims[{record.holder, record.number}] > 1)
      anomalies.push_back({record, "its claim holds another seat too"});
  }
  return anomalies;
}

Ledger::Ledger(LedgerSettings settings, std::uint32_t restart, Duration now,
               const std::vector<Record>& records)
    : settings_(std::move(settings)),
      now_(now),
      next_claim_number_(static_cast<ClaimNumber>(restart) << 32 | 1) {
  const auto replayed = replay_log(records);
  for (const auto& [key, record] : replayed.claims) {
    LocalClaim claim;
    claim.state = LocalClaim::State::restored;
    claim.number = record.number;
    claim.seats = record.seats;
    claim.issued = record.issued;
    claim.until = claim.granted_until = record.until;
    claim.claimed_at = now;
    claims_[key] = claim;
  }
  for (const auto& [key, record] : replayed.grants) {
    auto& team = team_of(key.team);
    if (record.issued >= team.issued)
      team.seats = record.seats, team.issued = record.issued;
    team.grants[key.viewer_session] = {record.holder, record.number, record.until, 0, {}};
  }
  for (const auto& record : replayed.freed) {
    if (record.until > now)
      team_of(record.key.team).ended_claims[{record.key.viewer_session, record.holder}] = {record.number,
                                                                                           record.until};
  }
}

std::vector<LedgerAction> Ledger::handle(Duration now, const LedgerEvent& event) {
  std::vector<LedgerAction> actions;
  actions_ = &actions;
  now_ = std::max(now_, now);
  std::visit([this](const auto& alternative) { on_event(alternative); }, event);
  // Messages to this manager itself are handled like those from other managers.
  while (!loopback_.empty()) {
    const auto message = std::move(loopback_.front());
    loopback_.pop_front();
    std::visit([this](const auto& body) { on_message(settings_.self, body); }, message);
  }
  actions_ = nullptr;
  return actions;
}

void Ledger::send_message(PeerIndex to, Message message) {
  if (to == settings_.self)
    loopback_.push_back(std::move(message));
  else
    actions_->push_back(SendToPeer{to, std::move(message)});
}

std::uint64_t Ledger::persist(Record record) {
  if (record.kind == Record::Kind::claimed || record.kind == Record::Kind::granted)
    unpersisted_.emplace_back(next_ticket_, record.key);
  actions_->push_back(PersistRecord{next_ticket_, std::move(record)});
  return next_ticket_++;
}

Ledger::Team& Ledger::team_of(const std::string& name) { return teams_[name]; }

// ---- claims of this manager's playbacks ----

void Ledger::on_event(const SeatClaimed& event) {
  if (event.until <= now_) {
    actions_->push_back(RejectClaim{RejectClaim::Reason::token_expired, event.key, Duration(0)});
    return;
  }
  const auto found = claims_.find(event.key);
  if (found != claims_.end()) {
    auto& claim = found->second;
    switch (claim.state) {
      case LocalClaim::State::restored:
        // The viewer came back after a restart. Only the owner knows whether the claim was granted; a request
        // with the same claim number can't be granted a second seat.
        claim.until = std::max(claim.until, event.until);
        claim.claimed_at = now_;
        claim.state = settings_.injected_faults.trusts_restored_claims ? LocalClaim::State::held
                                                                       : LocalClaim::State::persisting;
        if (claim.state == LocalClaim::State::held) {
          actions_->push_back(Admit{event.key, claim.granted_until});
          return;
        }
        claim.ticket = persist({Record::Kind::claimed, event.key, settings_.self, claim.number, claim.seats,
                                claim.issued, claim.until});
        return;
      case LocalClaim::State::held:
        // A retry by the viewer, or a renewal of its token.
        if (claim.granted_until <= now_) {
          actions_->push_back(RejectClaim{RejectClaim::Reason::token_expired, event.key, Duration(0)});
          return;
        }
        actions_->push_back(Admit{event.key, claim.granted_until});
        if (event.until > claim.until) {
          claim.until = event.until;
          claim.seats = event.seats;
          claim.issued = event.issued;
          claim.renewing = true;
          claim.claimed_at = now_;
          claim.ticket = persist({Record::Kind::claimed, event.key, settings_.self, claim.number, claim.seats,
                                  claim.issued, claim.until});
        }
        return;
      case LocalClaim::State::persisting:
      case LocalClaim::State::requesting:
        claim.until = std::max(claim.until, event.until);
        return;  // one claim is in progress; its answer serves this event too
      case LocalClaim::State::releasing:
        break;  // claimed again under a new claim number
    }
  }
  if (claims_.size() >= settings_.max_claims && found == claims_.end()) {
    actions_->push_back(
        RejectClaim{RejectClaim::Reason::too_many_claims, event.key, settings_.claim_timeout});
    return;
  }
  LocalClaim claim;
  claim.number = next_claim_number_++;
  claim.seats = event.seats;
  claim.issued = event.issued;
  claim.until = event.until;
  claim.claimed_at = now_;
  // Persisted before the request is sent: after a crash this manager knows that it may hold the seat.
  claim.ticket = persist({Record::Kind::claimed, event.key, settings_.self, claim.number, claim.seats,
                          claim.issued, claim.until});
  claims_[event.key] = claim;
}

void Ledger::on_event(const PlaybackEnded& event) {
  const auto found = claims_.find(event.key);
  if (found == claims_.end() || found->second.state == LocalClaim::State::releasing)
    return;
  release_claim(found->first, found->second);
}

void Ledger::release_claim(const SeatKey& key, LocalClaim& claim) {
  claim.state = LocalClaim::State::releasing;
  claim.renewing = false;
  claim.sent_at = now_;
  send_message(owner_of(settings_, key.team), SeatRelease{key, claim.number, claim.until});
}

void Ledger::send_request(const SeatKey& key, LocalClaim& claim) {
  claim.sent_at = now_;
  send_message(owner_of(settings_, key.team),
               SeatRequest{key, claim.number, claim.seats, claim.issued, claim.until});
}

void Ledger::on_event(const RecordsPersisted& event) {
  while (!unpersisted_.empty() && unpersisted_.front().first <= event.ticket) {
    const auto [ticket, key] = std::move(unpersisted_.front());
    unpersisted_.pop_front();
    if (const auto found = claims_.find(key); found != claims_.end() && found->second.ticket == ticket) {
      auto& claim = found->second;
      claim.ticket = 0;
      if (claim.state == LocalClaim::State::persisting)
        claim.state = LocalClaim::State::requesting;
      if (claim.state == LocalClaim::State::requesting || claim.renewing)
        send_request(key, claim);
    }
    const auto team = teams_.find(key.team);
    if (team == teams_.end())
      continue;
    const auto found = team->second.grants.find(key.viewer_session);
    if (found == team->second.grants.end() || found->second.ticket != ticket)
      continue;
    auto& grant = found->second;
    grant.ticket = 0;
    for (const auto& [holder, number] : std::exchange(grant.revoke_from, {}))
      send_message(holder, SeatRevocation{key, number});
    if (!settings_.injected_faults.grants_before_persisted)
      send_message(grant.holder, SeatGrant{key, grant.number, grant.until});
  }
}

void Ledger::on_event(const MessageReceived& event) {
  std::visit([&](const auto& body) { on_message(event.from, body); }, event.message);
}

void Ledger::on_message(PeerIndex from, const SeatGrant& grant) {
  const auto found = claims_.find(grant.key);
  // Ignores a late answer to a claim that is over: the claim is released by its number, and the release is
  // resent until the owner acknowledges it.
  if (found == claims_.end() || found->second.number != grant.number ||
      from != owner_of(settings_, grant.key.team))
    return;
  auto& claim = found->second;
  if (claim.state == LocalClaim::State::requesting) {
    claim.state = LocalClaim::State::held;
    claim.granted_until = grant.until;
    actions_->push_back(Admit{grant.key, grant.until});
  } else if (claim.state == LocalClaim::State::held && grant.until > claim.granted_until) {
    claim.granted_until = grant.until;
    actions_->push_back(Admit{grant.key, grant.until});
  }
  if (claim.granted_until >= claim.until)
    claim.renewing = false;
}

void Ledger::on_message(PeerIndex from, const SeatRefusal& refusal) {
  const auto found = claims_.find(refusal.key);
  if (found == claims_.end() || found->second.number != refusal.number ||
      from != owner_of(settings_, refusal.key.team))
    return;
  auto& claim = found->second;
  if (claim.state == LocalClaim::State::requesting) {
    actions_->push_back(RejectClaim{RejectClaim::Reason::no_free_seat, refusal.key, refusal.free_in});
    // The owner holds no lease for the claim. Recorded, so that the claim is not restored after a restart.
    persist({Record::Kind::released, refusal.key, settings_.self, claim.number, 0, Duration(0), claim.until});
    claims_.erase(found);
  } else if (claim.state == LocalClaim::State::held) {
    claim.renewing = false;  // the renewal was refused; the present lease runs to its end
  }
}

void Ledger::on_message(PeerIndex from, const SeatReleaseAck& ack) {
  const auto found = claims_.find(ack.key);
  if (found == claims_.end() || found->second.number != ack.number ||
      found->second.state != LocalClaim::State::releasing || from != owner_of(settings_, ack.key.team))
    return;
  persist({Record::Kind::released, ack.key, settings_.self, ack.number, 0, Duration(0), found->second.until});
  claims_.erase(found);
}

void Ledger::on_message(PeerIndex from, const SeatRevocation& revocation) {
  const auto found = claims_.find(revocation.key);
  if (found == claims_.end() || found->second.number != revocation.number ||
      from != owner_of(settings_, revocation.key.team))
    return;
  if (found->second.state == LocalClaim::State::held)
    actions_->push_back(EndPlayback{EndPlayback::Reason::moved, revocation.key});
  else if (found->second.state == LocalClaim::State::requesting ||
           found->second.state == LocalClaim::State::persisting)
    actions_->push_back(RejectClaim{RejectClaim::Reason::no_free_seat, revocation.key, Duration(0)});
  persist({Record::Kind::released, revocation.key, settings_.self, revocation.number, 0, Duration(0),
           found->second.until});
  claims_.erase(found);
}

// ---- leases of the teams that this manager owns ----

void Ledger::free_expired(Team& team, const std::string& name) {
  for (auto it = team.grants.begin(); it != team.grants.end();) {
    // The holder plays to the end of its lease by its own clock, which may be behind by the skew.
    if (it->second.until + settings_.skew > now_) {
      ++it;
      continue;
    }
    persist({Record::Kind::freed,
             {name, it->first},
             it->second.holder,
             it->second.number,
             0,
             Duration(0),
             it->second.until});
    it = team.grants.erase(it);
  }
  std::erase_if(team.ended_claims,
                [&](const auto& entry) { return entry.second.second + settings_.skew <= now_; });
}

void Ledger::on_message(PeerIndex from, const SeatRequest& request) {
  if (owner_of(settings_, request.key.team) != settings_.self)
    return;
  auto& team = team_of(request.key.team);
  free_expired(team, request.key.team);
  const auto refuse = [&] {
    Duration wait = Duration::max();
    for (const auto& [viewer_session, grant] : team.grants)
      wait = std::min(wait, grant.until + settings_.skew - now_);
    send_message(from,
                 SeatRefusal{request.key, request.number, wait == Duration::max() ? Duration(0) : wait});
  };
  // Guards against granting a delayed copy of a claim that was released or whose lease has expired.
  const auto ended = team.ended_claims.find({request.key.viewer_session, from});
  if (request.until <= now_ - settings_.skew ||
      (ended != team.ended_claims.end() && request.number <= ended->second.first))
    return refuse();
  if (request.issued >= team.issued) {
    team.issued = request.issued;
    team.seats = request.seats;
  }
  std::optional<std::pair<PeerIndex, ClaimNumber>> previous;  // the claim that held the seat until now
  const auto found = team.grants.find(request.key.viewer_session);
  if (found != team.grants.end()) {
    auto& grant = found->second;
    if (grant.holder == from && request.number < grant.number)
      return;  // a delayed copy of this manager's older claim
    const bool moved = grant.holder != from || grant.number != request.number;
    if (!moved && request.until <= grant.until) {
      if (grant.ticket == 0)
        send_message(from, SeatGrant{request.key, grant.number, grant.until});
      return;
    }
    if (grant.holder != from) {
      // The viewer moved to another manager and keeps its one seat. Its former claim is over, and a delayed
      // copy of that claim must not be granted again.
      team.ended_claims[{request.key.viewer_session, grant.holder}] = {grant.number,
                                                                       std::max(grant.until, request.until)};
      previous.emplace(grant.holder, grant.number);
      grant.revoke_from.push_back(*previous);
    }
    grant.holder = from;
    grant.number = request.number;
    grant.until = std::max(grant.until, request.until);
  } else {
    if (static_cast<int>(team.grants.size()) >= team.seats)
      return refuse();
    team.grants[request.key.viewer_session] = {from, request.number, request.until, 0, {}};
  }
  auto& grant = team.grants[request.key.viewer_session];
  // Persisted before the grant is sent: after a crash the log must hold every lease that was granted.
  grant.ticket =
      persist({Record::Kind::granted, request.key, from, grant.number, team.seats, team.issued, grant.until});
  // Logged after the new grant, so that a crash between the two does not free a seat that is still in use.
  if (previous)
    persist(
        {Record::Kind::freed, request.key, previous->first, previous->second, 0, Duration(0), grant.until});
  if (settings_.injected_faults.grants_before_persisted)
    send_message(from, SeatGrant{request.key, grant.number, grant.until});
}

void Ledger::on_message(PeerIndex from, const SeatRelease& release) {
  if (owner_of(settings_, release.key.team) != settings_.self)
    return;
  auto& team = team_of(release.key.team);
  const auto grant = team.grants.find(release.key.viewer_session);
  Duration until = release.until;
  if (grant != team.grants.end() &&
      ((grant->second.holder == from && grant->second.number <= release.number) ||
       settings_.injected_faults.ignores_claim_number)) {
    until = grant->second.until;
    persist({Record::Kind::freed, release.key, grant->second.holder, grant->second.number, 0, Duration(0),
             until});
    team.grants.erase(grant);
  }
  // The request of this claim, or a copy of it, may still arrive.
  auto& ended = team.ended_claims[{release.key.viewer_session, from}];
  ended = {std::max(ended.first, release.number), std::max(ended.second, until)};
  send_message(from, SeatReleaseAck{release.key, release.number});
}

// ---- timeouts ----

void Ledger::on_event(const Ticked&) {
  process_timeouts();
  for (auto it = teams_.begin(); it != teams_.end();) {
    free_expired(it->second, it->first);
    it = it->second.grants.empty() && it->second.ended_claims.empty() ? teams_.erase(it) : std::next(it);
  }
}

void Ledger::process_timeouts() {
  std::vector<SeatKey> ended;
  for (auto& [key, claim] : claims_) {
    switch (claim.state) {
      case LocalClaim::State::persisting:
      case LocalClaim::State::requesting:
        if (now_ - claim.claimed_at >= settings_.claim_timeout) {
          // The claim may have been granted: it is released until the owner acknowledges that.
          actions_->push_back(
              RejectClaim{RejectClaim::Reason::owner_timed_out, key, settings_.claim_timeout});
          if (claim.state == LocalClaim::State::persisting && claim.ticket != 0)
            claim.ticket = 0;
          release_claim(key, claim);
        } else if (claim.state == LocalClaim::State::requesting &&
                   now_ - claim.sent_at >= settings_.resend_interval) {
          send_request(key, claim);
        }
        break;
      case LocalClaim::State::held:
        if (claim.granted_until <= now_) {
          actions_->push_back(EndPlayback{EndPlayback::Reason::expired, key});
          ended.push_back(key);
        } else if (claim.renewing && claim.ticket == 0 && now_ - claim.sent_at >= settings_.resend_interval) {
          send_request(key, claim);
        }
        break;
      case LocalClaim::State::restored:
        if (claim.granted_until <= now_)
          ended.push_back(key);
        else if (now_ - claim.claimed_at >= settings_.resume_window)
          release_claim(key, claim);
        break;
      case LocalClaim::State::releasing:
        // By now the owner has freed the expired lease on its own, whichever of the clocks is behind.
        if (claim.until + 2 * settings_.skew <= now_)
          ended.push_back(key);
        else if (now_ - claim.sent_at >= settings_.resend_interval)
          release_claim(key, claim);
        break;
    }
  }
  for (const auto& key : ended) {
    persist({Record::Kind::released, key, settings_.self, claims_[key].number, 0, Duration(0),
             claims_[key].until});
    claims_.erase(key);
  }
}

// ---- inspection ----

Ledger::Counts Ledger::counts() const {
  Counts counts;
  for (const auto& [key, claim] : claims_)
    ++(claim.state == LocalClaim::State::held ? counts.held : counts.pending);
  for (const auto& [name, team] : teams_)
    counts.granted += team.grants.size();
  return counts;
}

std::vector<Record> Ledger::snapshot() const {
  std::vector<Record> records;
  for (const auto& [key, claim] : claims_)
    records.push_back(
        {Record::Kind::claimed, key, settings_.self, claim.number, claim.seats, claim.issued, claim.until});
  for (const auto& [name, team] : teams_) {
    for (const auto& [viewer_session, grant] : team.grants)
      records.push_back({Record::Kind::granted,
                         {name, viewer_session},
                         grant.holder,
                         grant.number,
                         team.seats,
                         team.issued,
                         grant.until});
    for (const auto& [claimant, ended] : team.ended_claims)
      records.push_back({Record::Kind::freed,
                         {name, claimant.first},
                         claimant.second,
                         ended.first,
                         0,
                         Duration(0),
                         ended.second});
  }
  return records;
}

std::string Ledger::fingerprint() const {
  FingerprintBuilder fingerprint;
  for (const auto& [key, claim] : claims_) {
    fingerprint << key.team << key.viewer_session << static_cast<std::int64_t>(claim.state)
                << static_cast<std::int64_t>(claim.number) << claim.until.count()
                << claim.granted_until.count() << claim.claimed_at.count() << claim.sent_at.count()
                << (claim.ticket ? 1 : 0) << (claim.renewing ? 1 : 0);
  }
  for (const auto& [name, team] : teams_) {
    fingerprint << name << team.seats;
    for (const auto& [viewer_session, grant] : team.grants)
      fingerprint << viewer_session << grant.holder << static_cast<std::int64_t>(grant.number)
                  << grant.until.count() << (grant.ticket ? 1 : 0);
    for (const auto& [claimant, ended] : team.ended_claims)
      fingerprint << claimant.first << claimant.second << static_cast<std::int64_t>(ended.first)
                  << ended.second.count();
  }
  return std::move(fingerprint.joined);
}

}  // namespace violettide::entitlement
