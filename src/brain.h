// The interface of the decision module: what happened, what is to be done, and the one class between.
// Every time is a span since the instance started. Ids are small indices given out by the caller.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace violettide {

using Span = std::chrono::microseconds;
using PlaybackId = std::uint32_t;
using ServerId = std::uint32_t;
using TitleId = std::uint32_t;

struct PlanTerms {
  Span startup_target{0};
  bool pay_at_setup = false;
  double revenue = 1;
  double rate_scale = 1;
  int floor = 0;
  int top = 0;
  int seats = 0;  // 0: no cap
};

// What the module reads of a deployment's settings; an absent figure is 0 and turns its rule off.
struct SiteTerms {
  std::vector<PlanTerms> plans;
  std::vector<double> rung_kb;
  std::vector<double> rung_revenue;
  std::vector<double> kind_streams;
  bool weights_told = false;
  double link_kb_per_weight = 0;
  double uplink_kb = 0;
  int racks = 0;
  int cells = 1;
  Span switch_cost{0};
  Span note_lag{0};
  int fronts = 1;
  std::optional<int> own_number;  // among the fronts, from 0; drawn where none is told
  Span cold_time{0};
  double cold_from = 1;
  double overload_multiple = 1;
  Span budget_window{0};
  double budget_free = 0;
  double budget_share = 0;
  int most_tries = 1;
  Span longest_come_back{0};
  bool may_probe = false;
  bool list_on_request = false;
  double probe_price = 0;
  int own_hall = 0;
  double crossing_price = 0;  // of a playback in another hall
};

// What happened.
enum class Standing { ready, draining, gone };
struct ServerEntry {
  ServerId server = 0;
  Standing standing = Standing::ready;
  int kind = 0;
  int cell = 0;
  int hall = 0;
  std::optional<Span> started;
  double weight = 1;
};
struct ServerList {
  enum class Reach { changes, complete, cached };
  Reach reach = Reach::complete;
  std::vector<ServerEntry> entries;
};
struct ListFailed {};
// The video servers that hold a title, by id and rising; shared, so that a request costs no copy.
using Holders = std::shared_ptr<const std::vector<ServerId>>;
struct Request {
  PlaybackId playback = 0;
  int plan = 0;
  TitleId title = 0;
  Span abandon_at{0};
  std::optional<Span> length;
  int first_cell = 0;
  int holders = 1;  // cells in a row from the first
  int top = 0;
  Holders listed;  // in place of the cells, where given
};
// The holders of a playback that is not placed yet, or may have to be again, are others now.
struct HoldersChanged {
  PlaybackId playback = 0;
  Holders listed;
};
struct CarriedOver {
  Request request;
  ServerId server = 0;
};
struct Withdrawn {
  PlaybackId playback = 0;
};
struct Started {
  PlaybackId playback = 0;
  ServerId server = 0;
  Span waited{0};
};
struct LoadReport {
  std::optional<double> link_fill;
  std::optional<double> uplink_fill;
  std::optional<double> streams;
};
enum class Outcome { served, error, full, late, no_connection, reset, cancelled, not_sent };
struct TryEnded {
  PlaybackId playback = 0;
  ServerId server = 0;
  Outcome outcome = Outcome::served;
  bool over = false;
  LoadReport load;
};
struct ProbeEnded {
  ServerId server = 0;
  bool answered = false;
  LoadReport load;
  bool left = true;  // false: it never left this machine, which says nothing of the server
};
struct Note {
  enum class About { share, rung, link_fill, uplink_fill };
  PlaybackId playback = 0;
  ServerId server = 0;
  About about = About::share;
  double value = 1;
};
struct TimerRang {
  std::uint32_t token = 0;
};
using Event = std::variant<ServerList, ListFailed, Request, HoldersChanged, CarriedOver, Withdrawn, Started,
                           TryEnded, ProbeEnded, Note, TimerRang>;

// What is to be done.
struct SetUp {
  PlaybackId playback;
  ServerId server;
  Span time_limit;
};
struct SetRung {
  PlaybackId playback;
  int rung;
};
struct Reject {
  PlaybackId playback;
  Span come_back;
};
struct Abort {
  PlaybackId playback;
};
struct Probe {
  ServerId server;
};
struct SetTimer {
  Span delay;
  std::uint32_t token;
};
struct FollowList {};
using Order = std::variant<SetUp, SetRung, Reject, Abort, Probe, SetTimer, FollowList>;

// The decisions of one session manager.
class Brain {
 public:
  Brain(SiteTerms terms, std::uint64_t seed);
  ~Brain();
  Brain(Brain&&) noexcept;
  Brain& operator=(Brain&&) noexcept;

  std::vector<Order> handle(Span now, const Event& event);

 private:
  class Mind;
  std::unique_ptr<Mind> mind_;
};

}  // namespace violettide
