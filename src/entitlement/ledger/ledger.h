// Distributed seat ledger: counts the seats of each team once across all managers. Each team has one owning
// manager, chosen by rendezvous hashing of the team's name over the managers' names; only the owner's records
// say who holds its seats, and the other managers send it their claims. A seat is leased until its token's
// expiry plus grace at most, so a crash, a lost message or a network partition can keep a seat occupied for
// that long but can never make the owner grant more seats than the team has. Free of I/O and of a clock:
// events go in and actions come out. A ledger can be copied, so that a model checker can branch from a state.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace violettide::entitlement {

using Duration = std::chrono::microseconds;
using PeerIndex = std::uint32_t;    // a manager's position in LedgerSettings::peers
using ClaimNumber = std::uint64_t;  // increases with each claim of a manager, across its restarts

struct LedgerSettings {
  PeerIndex self = 0;
  std::vector<std::string> peers;      // names of all managers, this one included, in PeerIndex order
  Duration resend_interval{200'000};   // an unanswered message is resent after this long
  Duration claim_timeout{1'000'000};   // an unanswered claim is rejected after this long
  Duration skew{2'000'000};            // maximum difference between managers' clocks
  Duration resume_window{15'000'000};  // time that a viewer has after a restart to reclaim its seat
  std::size_t max_claims = 100'000;    // held, requested or being released; further claims are rejected
  // Faults injected by tests, which must detect them. Nothing else sets them.
  struct InjectedFaults {
    bool ignores_claim_number = false;     // a release frees the seat whichever claim holds it
    bool trusts_restored_claims = false;   // claims restored after a restart count as held, without asking
    bool grants_before_persisted = false;  // a grant is sent before its record is on disk
  } injected_faults;
};
// The manager that owns a team: the one with the highest hash of its name and the team's. All managers that
// are configured with the same peers agree on it.
PeerIndex owner_of(const LedgerSettings& settings, std::string_view team);

// Identifies one seat in use: a viewer's playback, as named by its token.
struct SeatKey {
  std::string team;
  std::string viewer_session;  // token subject, '/', playback session
  auto operator<=>(const SeatKey&) const = default;
};

// ---- messages between managers ----

// From a claiming manager to the owner: asks for a seat or renews one.
struct SeatRequest {
  SeatKey key;
  ClaimNumber number = 0;
  int seats = 0;       // the team's number of seats according to the token
  Duration issued{0};  // when the token was issued: the newest token sets the team's number of seats
  Duration until{0};   // end of the requested lease, by the machine's clock
};
// The owner's positive answer to a request.
struct SeatGrant {
  SeatKey key;
  ClaimNumber number = 0;
  Duration until{0};  // end of the lease
};
// The owner's negative answer to a request.
struct SeatRefusal {
  SeatKey key;
  ClaimNumber number = 0;
  Duration free_in{0};  // time until the first lease expires, if no seat is released before
};
// From a claiming manager to the owner; resent until it is acknowledged.
struct SeatRelease {
  SeatKey key;
  ClaimNumber number = 0;
  Duration until{0};  // end of the claim: no delayed copy of it can be granted a longer lease
};
struct SeatReleaseAck {
  SeatKey key;
  ClaimNumber number = 0;
};
// From the owner to the former holder: the viewer moved to another manager, and its seat with it.
struct SeatRevocation {
  SeatKey key;
  ClaimNumber number = 0;
};
using Message =
    std::variant<SeatRequest, SeatGrant, SeatRefusal, SeatRelease, SeatReleaseAck, SeatRevocation>;

// ---- records of the write-ahead log ----

// One record of the seat log. The numeric value of `kind` is stored.
struct Record {
  enum class Kind : std::uint8_t {
    claimed,   // this manager asked for a seat, and may hold it
    released,  // this manager certainly no longer holds the seat
    granted,   // as owner: a seat is leased to `holder`
    freed      // as owner: that lease is over
  } kind = Kind::claimed;
  SeatKey key;
  PeerIndex holder = 0;
  ClaimNumber number = 0;
  int seats = 0;
  Duration issued{0};
  Duration until{0};
};

// The state that a log's records add up to, in the order they were written.
struct ReplayedLog {
  std::map<SeatKey, Record> claims;  // claims of the log's manager that it may still hold
  std::map<SeatKey, Record> grants;  // leases it granted as owner and has not freed
  std::vector<Record> freed;         // leases it freed as owner
};
ReplayedLog replay_log(const std::vector<Record>& records);
// A lease in a log that points to a leak: past its expiry, or granted to a claim that has another seat too.
struct SeatAnomaly {
  Record record;
  std::string reason;
};
std::vector<SeatAnomaly> find_anomalies(const std::vector<Record>& records, Duration now);

// ---- events ----

// A playback with a valid token asks to be admitted, or its token was renewed.
struct SeatClaimed {
  SeatKey key;
  int seats = 0;
  Duration issued{0};
  Duration until{0};  // the token's expiry plus grace
};
struct PlaybackEnded {
  SeatKey key;
};
// A message from another manager.
struct MessageReceived {
  PeerIndex from = 0;
  Message message;
};
// All records up to and including this ticket are on disk.
struct RecordsPersisted {
  std::uint64_t ticket = 0;
};
// Time has passed; to be delivered periodically, since all timeouts and expiries are handled here.
struct Ticked {};
using LedgerEvent = std::variant<SeatClaimed, PlaybackEnded, MessageReceived, RecordsPersisted, Ticked>;

// ---- actions ----

// The playback holds a seat until the given time. Repeated when the lease is renewed.
struct Admit {
  SeatKey key;
  Duration until{0};
};
// The claim failed: the playback must not start.
struct RejectClaim {
  enum class Reason {
    no_free_seat,
    owner_timed_out,
    too_many_claims,
    token_expired
  } reason = Reason::no_free_seat;
  SeatKey key;
  Duration retry_after{0};
};
// An admitted playback has lost its seat.
struct EndPlayback {
  enum class Reason {
    expired,  // its lease ran out
    moved     // its viewer continued at another manager
  } reason = Reason::expired;
  SeatKey key;
};
struct SendToPeer {
  PeerIndex to = 0;
  Message message;
};
// Append the record to the log; answered by RecordsPersisted with this ticket. Tickets are consecutive.
struct PersistRecord {
  std::uint64_t ticket = 0;
  Record record;
};
using LedgerAction = std::variant<Admit, RejectClaim, EndPlayback, SendToPeer, PersistRecord>;

// Both sides of the protocol: the claims of this manager's playbacks, and the leases of the teams it owns.
class Ledger {
 public:
  // `restart` increases with each process of this manager: it is the upper half of its claim numbers.
  // `records`: the log, from which claims and leases are restored.
  Ledger(LedgerSettings settings, std::uint32_t restart, Duration now = Duration(0),
         const std::vector<Record>& records = {});
  // `now`: the machine's clock, which may differ from other managers' by `skew`.
  std::vector<LedgerAction> handle(Duration now, const LedgerEvent& event);

  struct Counts {
    std::size_t held = 0;     // seats held by playbacks of this manager
    std::size_t pending = 0;  // claims being requested, restored or released
    std::size_t granted = 0;  // leases of the teams that this manager owns
  };
  Counts counts() const;
  // The shortest log that restores the present state.
  std::vector<Record> snapshot() const;
  // Equal for equal states, so that a model checker recognizes states it has visited.
  std::string fingerprint() const;

 private:
  // A claim of one of this manager's playbacks.
  struct LocalClaim {
    enum class State : std::uint8_t {
      persisting,  // its record is being written; not yet sent to the owner
      requesting,  // sent to the owner, not answered
      held,
      restored,  // from the log after a restart; its viewer has not come back yet
      releasing  // released, not acknowledged by the owner
    } state = State::persisting;
    ClaimNumber number = 0;
    int seats = 0;
    Duration issued{0};
    Duration until{0};  // end of the lease that is requested
    Duration claimed_at{0};
    Duration sent_at{0};
    std::uint64_t ticket = 0;   // of the record that must be persisted before the request is sent; 0: none
    bool renewing = false;      // held, and a longer lease is requested
    Duration granted_until{0};  // end of the lease that is granted
  };
  // A lease that this manager granted as owner.
  struct Grant {
    PeerIndex holder = 0;
    ClaimNumber number = 0;
    Duration until{0};
    std::uint64_t ticket = 0;  // of the record that must be persisted before the grant is sent; 0: none
    std::vector<std::pair<PeerIndex, ClaimNumber>> revoke_from;  // notified once the record is persisted
  };
  struct Team {
    int seats = 0;
    Duration issued{0};
    std::map<std::string, Grant> grants;  // by viewer session
    // Claims that are over, by viewer session and manager, with the highest number and the time from which
    // they could no longer be granted: a delayed copy of such a claim must be refused.
    std::map<std::pair<std::string, PeerIndex>, std::pair<ClaimNumber, Duration>> ended_claims;
  };

  void on_event(const SeatClaimed& event);
  void on_event(const PlaybackEnded& event);
  void on_event(const MessageReceived& event);
  void on_event(const RecordsPersisted& event);
  void on_event(const Ticked&);
  void on_message(PeerIndex from, const SeatRequest& request);
  void on_message(PeerIndex from, const SeatGrant& grant);
  void on_message(PeerIndex from, const SeatRefusal& refusal);
  void on_message(PeerIndex from, const SeatRelease& release);
  void on_message(PeerIndex from, const SeatReleaseAck& ack);
  void on_message(PeerIndex from, const SeatRevocation& revocation);
  void process_timeouts();
  void send_request(const SeatKey& key, LocalClaim& claim);
  void release_claim(const SeatKey& key, LocalClaim& claim);
  void send_message(PeerIndex to, Message message);
  std::uint64_t persist(Record record);
  void free_expired(Team& team, const std::string& name);
  Team& team_of(const std::string& name);

  LedgerSettings settings_;
  Duration now_{0};
  std::uint64_t next_ticket_ = 1;
  ClaimNumber next_claim_number_ = 0;
  std::map<SeatKey, LocalClaim> claims_;
  std::map<std::string, Team> teams_;
  std::deque<Message> loopback_;                               // messages of this manager to itself
  std::deque<std::pair<std::uint64_t, SeatKey>> unpersisted_;  // claimed and granted records, by ticket
  std::vector<LedgerAction>* actions_ = nullptr;               // set only within handle()
};

}  // namespace violettide::entitlement
