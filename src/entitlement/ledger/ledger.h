// Seats of teams, counted once across managers. Each team has one owner among the managers (by rendezvous
// hashing of its name over theirs), whose book alone says who holds its seats; the others ask it. A seat is
// held until its token's expiry and grace, at the longest: so a crash, a loss or a partition can keep a seat
// for that long and no longer, and can never let one more be given out. Free of I/O and clock: what happened
// in, what to do out; a value, so that a search can go on from a copy.
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
using Peer = std::uint32_t;         // a manager, as it is numbered in the settings
using ClaimNumber = std::uint64_t;  // rises with each claim of a manager, over its restarts too

struct LedgerTerms {
  Peer own = 0;
  std::vector<std::string> peers;     // names of all managers, in the order that gives their numbers
  Duration ask_again{200'000};        // a message without an answer is sent again so much later
  Duration ask_limit{1'000'000};      // a claim without an answer is refused after so much
  Duration skew{2'000'000};           // managers' clocks may differ by so much
  Duration resume{15'000'000};        // after a restart a viewer has so long to come back to its seat
  std::size_t most_claims = 100'000;  // held, asked or being released; more are refused
  // Faults to be found by tests: nothing else sets them.
  struct Planted {
    bool release_by_key = false;       // a release frees whoever holds the seat now
    bool keeps_after_restart = false;  // what may have been held before a restart is taken for held
    bool answers_unkept = false;       // a seat is given before it is on the disk
  } planted;
};
// Who owns a team: highest hash of both names. The same at all managers that name the same peers.
Peer owner_of(const LedgerTerms& terms, std::string_view team);

// One count: a viewer's playback, by its token.
struct SeatKey {
  std::string team, who;  // `who`: subject and session
  auto operator<=>(const SeatKey&) const = default;
};

// ---- between managers ----
struct AskSeat {
  SeatKey key;
  ClaimNumber number = 0;
  int seats = 0;       // that the team has, by this token
  Duration issued{0};  // of the token: the newest says how many seats there are
  Duration until{0};   // by the machines' clock
};
struct SeatGiven {
  SeatKey key;
  ClaimNumber number = 0;
  Duration until{0};
};
struct SeatRefused {
  SeatKey key;
  ClaimNumber number = 0;
  Duration free_in{0};  // when the first of those held lapses, if nothing is given back
};
struct GiveBack {
  SeatKey key;
  ClaimNumber number = 0;
  Duration until{0};  // of the claim: no copy of it can be good for longer
};
struct GivenBack {
  SeatKey key;
  ClaimNumber number = 0;
};
struct SeatTaken {  // the viewer came to another manager: its seat went with it
  SeatKey key;
  ClaimNumber number = 0;
};
using Message = std::variant<AskSeat, SeatGiven, SeatRefused, GiveBack, GivenBack, SeatTaken>;

// ---- what is kept on the disk ----
struct Record {
  enum class What : std::uint8_t {
    asked,      // this manager asked for a seat: it may be held
    gave_back,  // and it is given back for sure
    given,      // as owner: a seat is held
    freed       // as owner: and no more
  } what = What::asked;
  SeatKey key;
  Peer holder = 0;
  ClaimNumber number = 0;
  int seats = 0;
  Duration issued{0}, until{0};
};

// What records in the order kept come to.
struct Replayed {
  std::map<SeatKey, Record> asked;  // by the manager whose log it is: perhaps held
  std::map<SeatKey, Record> given;  // by it as owner, and not freed since
  std::vector<Record> freed;        // by it as owner
};
Replayed replayed(const std::vector<Record>& records);
// Seats of a log that are odd at that time: given out past their time, or to a claim that has another.
struct OddSeat {
  Record record;
  std::string why;
};
std::vector<OddSeat> odd_seats(const std::vector<Record>& records, Duration now);

// ---- what happened ----
struct Claimed {  // a playback with a good token is to be admitted, or its token was renewed
  SeatKey key;
  int seats = 0;
  Duration issued{0};
  Duration until{0};  // the token's expiry and grace
};
struct Left {  // the playback is over
  SeatKey key;
};
struct Heard {
  Peer from = 0;
  Message message;
};
struct Kept {  // all records up to this ticket are on the disk
  std::uint64_t ticket = 0;
};
struct Ticked {};
using LedgerEvent = std::variant<Claimed, Left, Heard, Kept, Ticked>;

// ---- what to do ----
struct Admit {
  SeatKey key;
  Duration until{0};
};
struct TurnAway {
  enum class Why { no_seat, owner_silent, too_many, too_late } why = Why::no_seat;
  SeatKey key;
  Duration come_back{0};
};
struct EndPlayback {  // it has no seat any more
  enum class Why { lapsed, elsewhere } why = Why::lapsed;
  SeatKey key;
};
struct Tell {
  Peer to = 0;
  Message message;
};
struct KeepRecord {  // Kept follows with this ticket, in the order of tickets
  std::uint64_t ticket = 0;
  Record record;
};
using LedgerAct = std::variant<Admit, TurnAway, EndPlayback, Tell, KeepRecord>;

class Ledger {
 public:
  // `restart`: rises with each process of this manager; the upper half of its claims' numbers.
  Ledger(LedgerTerms terms, std::uint32_t restart, Duration now = Duration(0),
         const std::vector<Record>& kept = {});
  // `now`: the machine's clock, which may differ from others' by the skew.
  std::vector<LedgerAct> handle(Duration now, const LedgerEvent& event);

  struct Sums {
    std::size_t held = 0;     // by playbacks of this manager
    std::size_t asked = 0;    // for seats, or to give them back
    std::size_t in_book = 0;  // seats of teams that this manager owns
  };
  Sums sums() const;
  // What a new log would begin with: as much as the present state needs.
  std::vector<Record> snapshot() const;
  std::string fingerprint() const;  // equal where the state is, for searches

 private:
  struct Own {  // a seat asked for or held by this manager
    enum class State : std::uint8_t { keeping, asking, held, restored, returning } state = State::keeping;
    ClaimNumber number = 0;
    int seats = 0;
    Duration issued{0}, until{0}, asked_at{0}, sent_at{0};
    std::uint64_t ticket = 0;  // of the record that must be kept first
    bool renewing = false;     // held, and a later expiry is asked for
    Duration held_until{0};
  };
  struct Seat {  // in the owner's book
    Peer holder = 0;
    ClaimNumber number = 0;
    Duration until{0};
    std::uint64_t ticket = 0;  // of the record that must be kept before it is answered; 0: it is
    std::vector<std::pair<Peer, ClaimNumber>> taken_from;  // to be told once that is kept
  };
  struct Team {
    int seats = 0;
    Duration issued{0};
    std::map<std::string, Seat> held;
    // Claims given back, until they could not be granted any more: a late copy of one must find it so.
    std::map<std::pair<std::string, Peer>, std::pair<ClaimNumber, Duration>> over;
  };

  void on(const Claimed& what);
  void on(const Left& what);
  void on(const Heard& what);
  void on(const Kept& what);
  void on(const Ticked&);
  void heard(Peer from, const AskSeat& ask);
  void heard(Peer from, const SeatGiven& given);
  void heard(Peer from, const SeatRefused& refused);
  void heard(Peer from, const GiveBack& back);
  void heard(Peer from, const GivenBack& back);
  void heard(Peer from, const SeatTaken& taken);
  void pass_time();
  void send(const SeatKey& key, Own& own);
  void give_back(const SeatKey& key, Own& own);
  void tell(Peer to, Message message);
  std::uint64_t keep(Record record);
  void free_lapsed(Team& team, const std::string& name);
  Team& team_of(const std::string& name);

  LedgerTerms terms_;
  Duration now_{0};
  std::uint64_t next_ticket_ = 1;
  ClaimNumber next_number_ = 0;
  std::map<SeatKey, Own> own_;
  std::map<std::string, Team> teams_;
  std::deque<Message> to_self_;
  std::deque<std::pair<std::uint64_t, SeatKey>> unkept_;  // whose records are on their way, by ticket
  std::vector<LedgerAct>* actions_ = nullptr;
};

}  // namespace violettide::entitlement
