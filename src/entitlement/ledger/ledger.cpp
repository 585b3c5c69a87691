#include "entitlement/ledger/ledger.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace violettide::entitlement {

namespace {

class Print {
 public:
  Print& operator<<(const std::string& text) {
    made += text;
    made += '|';
    return *this;
  }
  Print& operator<<(std::int64_t number) { return *this << std::to_string(number); }
  std::string made;
};

}  // namespace

Peer owner_of(const LedgerTerms& terms, std::string_view team) {
  Peer best = 0;
  std::uint64_t most = 0;
  for (Peer peer = 0; peer < terms.peers.size(); ++peer) {
    const auto& name = terms.peers[peer];
    const auto weight = XXH64(team.data(), team.size(), XXH64(name.data(), name.size(), 0));
    if (peer == 0 || weight > most)
      best = peer, most = weight;
  }
  return best;
}

Replayed replayed(const std::vector<Record>& records) {
  Replayed made;
  for (const auto& record : records) {
    switch (record.what) {
      case Record::What::asked:
        made.asked[record.key] = record;
        break;
      case Record::What::gave_back:
        if (const auto found = made.asked.find(record.key);
            found != made.asked.end() && found->second.number <= record.number)
          made.asked.erase(found);
        break;
      case Record::What::given:
        made.given[record.key] = record;
        break;
      case Record::What::freed:
        if (const auto found = made.given.find(record.key); found != made.given.end() &&
                                                            found->second.holder == record.holder &&
                                                            found->second.number == record.number)
          made.given.erase(found);
        made.freed.push_back(record);
        break;
    }
  }
  return made;
}

std::vector<OddSeat> odd_seats(const std::vector<Record>& records, Duration now) {
  std::vector<OddSeat> odd;
  std::map<std::pair<Peer, ClaimNumber>, int> claims;
  for (const auto& [key, record] : replayed(records).given) {
    if (record.until < now)
      odd.push_back({record, "past its time"});
    if (++claims[{record.holder, record.number}] > 1)
      odd.push_back({record, "its claim has another seat too"});
  }
  return odd;
}

Ledger::Ledger(LedgerTerms terms, std::uint32_t restart, Duration now, const std::vector<Record>& kept)
    : terms_(std::move(terms)), now_(now), next_number_(static_cast<ClaimNumber>(restart) << 32 | 1) {
  const auto found = replayed(kept);
  for (const auto& [key, record] : found.asked) {
    Own own;
    own.state = Own::State::restored;
    own.number = record.number;
    own.seats = record.seats;
    own.issued = record.issued;
    own.until = own.held_until = record.until;
    own.asked_at = now;
    own_[key] = own;
  }
  for (const auto& [key, record] : found.given) {
    auto& team = team_of(key.team);
    if (record.issued >= team.issued)
      team.seats = record.seats, team.issued = record.issued;
    team.held[key.who] = {record.holder, record.number, record.until, 0, {}};
  }
  for (const auto& record : found.freed) {
    if (record.until > now)
      team_of(record.key.team).over[{record.key.who, record.holder}] = {record.number, record.until};
  }
}

std::vector<LedgerAct> Ledger::handle(Duration now, const LedgerEvent& event) {
  std::vector<LedgerAct> actions;
  actions_ = &actions;
  now_ = std::max(now_, now);
  std::visit([this](const auto& what) { on(what); }, event);
  // What a manager tells itself goes the way that others' words go.
  while (!to_self_.empty()) {
    const auto message = std::move(to_self_.front());
    to_self_.pop_front();
    std::visit([this](const auto& said) { heard(terms_.own, said); }, message);
  }
  actions_ = nullptr;
  return actions;
}

void Ledger::tell(Peer to, Message message) {
  if (to == terms_.own)
    to_self_.push_back(std::move(message));
  else
    actions_->push_back(Tell{to, std::move(message)});
}

std::uint64_t Ledger::keep(Record record) {
  if (record.what == Record::What::asked || record.what == Record::What::given)
    unkept_.emplace_back(next_ticket_, record.key);
  actions_->push_back(KeepRecord{next_ticket_, std::move(record)});
  return next_ticket_++;
}

Ledger::Team& Ledger::team_of(const std::string& name) { return teams_[name]; }

// ---- this manager's playbacks ----

void Ledger::on(const Claimed& what) {
  if (what.until <= now_) {
    actions_->push_back(TurnAway{TurnAway::Why::too_late, what.key, Duration(0)});
    return;
  }
  const auto found = own_.find(what.key);
  if (found != own_.end()) {
    auto& own = found->second;
    switch (own.state) {
      case Own::State::restored:
        // A viewer that comes back after a restart. Whether its claim was ever answered is the owner's to
        // say: asked by the same number, it is the same seat or none.
        own.until = std::max(own.until, what.until);
        own.asked_at = now_;
        own.state = terms_.planted.keeps_after_restart ? Own::State::held : Own::State::keeping;
        if (own.state == Own::State::held) {
          actions_->push_back(Admit{what.key, own.held_until});
          return;
        }
        own.ticket =
            keep({Record::What::asked, what.key, terms_.own, own.number, own.seats, own.issued, own.until});
        return;
      case Own::State::held:
        // Its seat is here already: a retry, or a renewal.
        if (own.held_until <= now_) {
          actions_->push_back(TurnAway{TurnAway::Why::too_late, what.key, Duration(0)});
          return;
        }
        actions_->push_back(Admit{what.key, own.held_until});
        if (what.until > own.until) {
          own.until = what.until;
          own.seats = what.seats;
          own.issued = what.issued;
          own.renewing = true;
          own.asked_at = now_;
          own.ticket =
              keep({Record::What::asked, what.key, terms_.own, own.number, own.seats, own.issued, own.until});
        }
        return;
      case Own::State::keeping:
      case Own::State::asking:
        own.until = std::max(own.until, what.until);
        return;  // one claim is out for it; its answer is for both
      case Own::State::returning:
        break;  // asked for anew, by a claim of its own
    }
  }
  if (own_.size() >= terms_.most_claims && found == own_.end()) {
    actions_->push_back(TurnAway{TurnAway::Why::too_many, what.key, terms_.ask_limit});
    return;
  }
  Own own;
  own.number = next_number_++;
  own.seats = what.seats;
  own.issued = what.issued;
  own.until = what.until;
  own.asked_at = now_;
  // Kept before it is asked: after a crash this manager knows that it may hold the seat.
  own.ticket =
      keep({Record::What::asked, what.key, terms_.own, own.number, own.seats, own.issued, own.until});
  own_[what.key] = own;
}

void Ledger::on(const Left& what) {
  const auto found = own_.find(what.key);
  if (found == own_.end() || found->second.state == Own::State::returning)
    return;
  give_back(found->first, found->second);
}

void Ledger::give_back(const SeatKey& key, Own& own) {
  own.state = Own::State::returning;
  own.renewing = false;
  own.sent_at = now_;
  tell(owner_of(terms_, key.team), GiveBack{key, own.number, own.until});
}

void Ledger::send(const SeatKey& key, Own& own) {
  own.sent_at = now_;
  tell(owner_of(terms_, key.team), AskSeat{key, own.number, own.seats, own.issued, own.until});
}

void Ledger::on(const Kept& what) {
  while (!unkept_.empty() && unkept_.front().first <= what.ticket) {
    const auto [ticket, key] = std::move(unkept_.front());
    unkept_.pop_front();
    if (const auto found = own_.find(key); found != own_.end() && found->second.ticket == ticket) {
      auto& own = found->second;
      own.ticket = 0;
      if (own.state == Own::State::keeping)
        own.state = Own::State::asking;
      if (own.state == Own::State::asking || own.renewing)
        send(key, own);
    }
    const auto team = teams_.find(key.team);
    if (team == teams_.end())
      continue;
    const auto held = team->second.held.find(key.who);
    if (held == team->second.held.end() || held->second.ticket != ticket)
      continue;
    auto& seat = held->second;
    seat.ticket = 0;
    for (const auto& [holder, number] : std::exchange(seat.taken_from, {}))
      tell(holder, SeatTaken{key, number});
    if (!terms_.planted.answers_unkept)
      tell(seat.holder, SeatGiven{key, seat.number, seat.until});
  }
}

void Ledger::on(const Heard& what) {
  std::visit([&](const auto& said) { heard(what.from, said); }, what.message);
}

void Ledger::heard(Peer from, const SeatGiven& given) {
  const auto found = own_.find(given.key);
  // A late answer to a claim that is over: what it gave is given back by number, again and again until heard.
  if (found == own_.end() || found->second.number != given.number || from != owner_of(terms_, given.key.team))
    return;
  auto& own = found->second;
  if (own.state == Own::State::asking) {
    own.state = Own::State::held;
    own.held_until = given.until;
    actions_->push_back(Admit{given.key, given.until});
  } else if (own.state == Own::State::held && given.until > own.held_until) {
    own.held_until = given.until;
    actions_->push_back(Admit{given.key, given.until});
  }
  if (own.held_until >= own.until)
    own.renewing = false;
}

void Ledger::heard(Peer from, const SeatRefused& refused) {
  const auto found = own_.find(refused.key);
  if (found == own_.end() || found->second.number != refused.number ||
      from != owner_of(terms_, refused.key.team))
    return;
  auto& own = found->second;
  if (own.state == Own::State::asking) {
    actions_->push_back(TurnAway{TurnAway::Why::no_seat, refused.key, refused.free_in});
    // The owner has nothing of it; that is kept, so that a restart does not ask about it.
    keep({Record::What::gave_back, refused.key, terms_.own, own.number, 0, Duration(0), own.until});
    own_.erase(found);
  } else if (own.state == Own::State::held) {
    own.renewing = false;  // it plays to the end of what it has
  }
}

void Ledger::heard(Peer from, const GivenBack& back) {
  const auto found = own_.find(back.key);
  if (found == own_.end() || found->second.number != back.number ||
      found->second.state != Own::State::returning || from != owner_of(terms_, back.key.team))
    return;
  keep({Record::What::gave_back, back.key, terms_.own, back.number, 0, Duration(0), found->second.until});
  own_.erase(found);
}

void Ledger::heard(Peer from, const SeatTaken& taken) {
  const auto found = own_.find(taken.key);
  if (found == own_.end() || found->second.number != taken.number || from != owner_of(terms_, taken.key.team))
    return;
  if (found->second.state == Own::State::held)
    actions_->push_back(EndPlayback{EndPlayback::Why::elsewhere, taken.key});
  else if (found->second.state == Own::State::asking || found->second.state == Own::State::keeping)
    actions_->push_back(TurnAway{TurnAway::Why::no_seat, taken.key, Duration(0)});
  keep({Record::What::gave_back, taken.key, terms_.own, taken.number, 0, Duration(0), found->second.until});
  own_.erase(found);
}

// ---- the owner's book ----

void Ledger::free_lapsed(Team& team, const std::string& name) {
  for (auto it = team.held.begin(); it != team.held.end();) {
    // Its holder's clock may be behind ours by the skew, and it plays to the end of what it has.
    if (it->second.until + terms_.skew > now_) {
      ++it;
      continue;
    }
    keep({Record::What::freed,
          {name, it->first},
          it->second.holder,
          it->second.number,
          0,
          Duration(0),
          it->second.until});
    it = team.held.erase(it);
  }
  std::erase_if(team.over, [&](const auto& entry) { return entry.second.second + terms_.skew <= now_; });
}

void Ledger::heard(Peer from, const AskSeat& ask) {
  if (owner_of(terms_, ask.key.team) != terms_.own)
    return;
  auto& team = team_of(ask.key.team);
  free_lapsed(team, ask.key.team);
  const auto refuse = [&] {
    Duration first = Duration::max();
    for (const auto& [who, seat] : team.held)
      first = std::min(first, seat.until + terms_.skew - now_);
    tell(from, SeatRefused{ask.key, ask.number, first == Duration::max() ? Duration(0) : first});
  };
  // Guards against a copy of a claim that is over: it was given back, or its token is past its time.
  const auto over = team.over.find({ask.key.who, from});
  if (ask.until <= now_ - terms_.skew || (over != team.over.end() && ask.number <= over->second.first))
    return refuse();
  if (ask.issued >= team.issued) {
    team.issued = ask.issued;
    team.seats = ask.seats;
  }
  std::optional<std::pair<Peer, ClaimNumber>> went;  // the claim that it had until now
  const auto found = team.held.find(ask.key.who);
  if (found != team.held.end()) {
    auto& seat = found->second;
    if (seat.holder == from && ask.number < seat.number)
      return;  // a copy of an older claim
    const bool moved = seat.holder != from || seat.number != ask.number;
    if (!moved && ask.until <= seat.until) {
      if (seat.ticket == 0)
        tell(from, SeatGiven{ask.key, seat.number, seat.until});
      return;
    }
    if (seat.holder != from) {
      // The same viewer at another manager: the same seat. What it had there is over, and a late copy of that
      // claim must not bring it back.
      team.over[{ask.key.who, seat.holder}] = {seat.number, std::max(seat.until, ask.until)};
      went.emplace(seat.holder, seat.number);
      seat.taken_from.push_back(*went);
    }
    seat.holder = from;
    seat.number = ask.number;
    seat.until = std::max(seat.until, ask.until);
  } else {
    if (static_cast<int>(team.held.size()) >= team.seats)
      return refuse();
    team.held[ask.key.who] = {from, ask.number, ask.until, 0, {}};
  }
  auto& seat = team.held[ask.key.who];
  // On the disk before it is given: after a crash the book must not be shorter than what was given out.
  seat.ticket = keep({Record::What::given, ask.key, from, seat.number, team.seats, team.issued, seat.until});
  // Behind it, so that no crash between them frees what may still be played.
  if (went)
    keep({Record::What::freed, ask.key, went->first, went->second, 0, Duration(0), seat.until});
  if (terms_.planted.answers_unkept)
    tell(from, SeatGiven{ask.key, seat.number, seat.until});
}

void Ledger::heard(Peer from, const GiveBack& back) {
  if (owner_of(terms_, back.key.team) != terms_.own)
    return;
  auto& team = team_of(back.key.team);
  const auto seat = team.held.find(back.key.who);
  Duration until = back.until;
  if (seat != team.held.end() && ((seat->second.holder == from && seat->second.number <= back.number) ||
                                  terms_.planted.release_by_key)) {
    until = seat->second.until;
    keep({Record::What::freed, back.key, seat->second.holder, seat->second.number, 0, Duration(0), until});
    team.held.erase(seat);
  }
  // The claim itself may still be on its way, or a copy of it.
  auto& over = team.over[{back.key.who, from}];
  over = {std::max(over.first, back.number), std::max(over.second, until)};
  tell(from, GivenBack{back.key, back.number});
}

// ---- time ----

void Ledger::on(const Ticked&) {
  pass_time();
  for (auto it = teams_.begin(); it != teams_.end();) {
    free_lapsed(it->second, it->first);
    it = it->second.held.empty() && it->second.over.empty() ? teams_.erase(it) : std::next(it);
  }
}

void Ledger::pass_time() {
  std::vector<SeatKey> over;
  for (auto& [key, own] : own_) {
    switch (own.state) {
      case Own::State::keeping:
      case Own::State::asking:
        if (now_ - own.asked_at >= terms_.ask_limit) {
          // Whether it was given is not known: it is given back until the owner says that it heard.
          actions_->push_back(TurnAway{TurnAway::Why::owner_silent, key, terms_.ask_limit});
          if (own.state == Own::State::keeping && own.ticket != 0)
            own.ticket = 0;
          give_back(key, own);
        } else if (own.state == Own::State::asking && now_ - own.sent_at >= terms_.ask_again) {
          send(key, own);
        }
        break;
      case Own::State::held:
        if (own.held_until <= now_) {
          actions_->push_back(EndPlayback{EndPlayback::Why::lapsed, key});
          over.push_back(key);
        } else if (own.renewing && own.ticket == 0 && now_ - own.sent_at >= terms_.ask_again) {
          send(key, own);
        }
        break;
      case Own::State::restored:
        if (own.held_until <= now_)
          over.push_back(key);
        else if (now_ - own.asked_at >= terms_.resume)
          give_back(key, own);
        break;
      case Own::State::returning:
        // Past its time the owner has freed it by itself.
        if (own.until + 2 * terms_.skew <= now_)
          over.push_back(key);
        else if (now_ - own.sent_at >= terms_.ask_again)
          give_back(key, own);
        break;
    }
  }
  for (const auto& key : over) {
    keep({Record::What::gave_back, key, terms_.own, own_[key].number, 0, Duration(0), own_[key].until});
    own_.erase(key);
  }
}

// ---- what is seen of it ----

Ledger::Sums Ledger::sums() const {
  Sums sums;
  for (const auto& [key, own] : own_)
    ++(own.state == Own::State::held ? sums.held : sums.asked);
  for (const auto& [name, team] : teams_)
    sums.in_book += team.held.size();
  return sums;
}

std::vector<Record> Ledger::snapshot() const {
  std::vector<Record> records;
  for (const auto& [key, own] : own_)
    records.push_back({Record::What::asked, key, terms_.own, own.number, own.seats, own.issued, own.until});
  for (const auto& [name, team] : teams_) {
    for (const auto& [who, seat] : team.held)
      records.push_back(
          {Record::What::given, {name, who}, seat.holder, seat.number, team.seats, team.issued, seat.until});
    for (const auto& [at, over] : team.over)
      records.push_back(
          {Record::What::freed, {name, at.first}, at.second, over.first, 0, Duration(0), over.second});
  }
  return records;
}

std::string Ledger::fingerprint() const {
  Print print;
  for (const auto& [key, own] : own_) {
    print << key.team << key.who << static_cast<std::int64_t>(own.state)
          << static_cast<std::int64_t>(own.number) << own.until.count() << own.held_until.count()
          << own.asked_at.count() << own.sent_at.count() << (own.ticket ? 1 : 0) << (own.renewing ? 1 : 0);
  }
  for (const auto& [name, team] : teams_) {
    print << name << team.seats;
    for (const auto& [who, seat] : team.held)
      print << who << seat.holder << static_cast<std::int64_t>(seat.number) << seat.until.count()
            << (seat.ticket ? 1 : 0);
    for (const auto& [at, over] : team.over)
      print << at.first << at.second << static_cast<std::int64_t>(over.first) << over.second.count();
  }
  return std::move(print.made);
}

}  // namespace violettide::entitlement
