// The session manager: viewers' requests and boxes' answers in, orders to sockets out. What happened is
// told to the module, and what the module decides is done; this core adds what only sockets bring: which
// playback a request belongs to, when a try has ended and how, when a playback is over. Free of I/O and
// clock.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "boxlist/boxlist.h"
#include "catalogue/demand.h"
#include "catalogue/replica.h"
#include "cataloguewire/resource.h"
#include "decider/decider.h"
#include "entitlement/ledger/ledger.h"
#include "entitlement/token_validator/token_validator.h"
#include "hints/evaluator/hint_evaluator.h"
#include "hls/playback_policy/playback_policy.h"
#include "hls/writer.h"
#include "http/http.h"
#include "io/io.h"
#include "manager/terms.h"
#include "peers/peers.h"
#include "policy/policy.h"
#include "signed_url/signed_url.h"
#include "timerwheel/timer_wheel.h"

namespace violettide::manager {

// What a manager holds now, for tests, logs and `bench/`.
struct Held {
  std::size_t viewer_links = 0, box_links = 0, playbacks = 0, timers = 0;
  std::size_t parted = 0;       // sides of playbacks that are over, kept for their players
  std::size_t lists_bytes = 0;  // of boxes' playlists, kept
};

class Manager : public Core {
 public:
  // `cached_list`: the list kept from before, empty if there is none.
  Manager(FrontTerms terms, std::uint64_t seed, std::string cached_list, std::unique_ptr<Decider> decider);
  ~Manager() override;
  void handle(Duration now, const IoEvent& what, std::vector<Action>& actions) override;
  Held held() const;
  // The catalogue, to be restored before the first happening.
  catalogue::Replica& catalogue() { return keeper_; }
  // The seats, where tokens are asked for and the first happening has been.
  const entitlement::Ledger* seats() const { return ledger_.get(); }
  const entitlement::TokenValidator& token_validator() const { return token_validator_; }

 private:
  enum class Use { idle, set_up, object, probe, list, feed, keys };
  struct ViewerLink;
  struct BoxLink;
  struct Playback;
  struct HlsSide;
  enum class Ring {
    module,
    abandon,
    try_limit,
    box_limit,
    silence,
    list,
    viewer_stuck,
    stop,
    weigh,
    feed,
    feed_wait,
    seats
  };
  struct Bell {
    Ring ring = Ring::module;
    std::uint32_t of = 0;
  };
  using Bells = TimerWheel<Bell>;

  // ---- what happened on sockets ----
  void on(const Accepted& what);
  void on(const Connected& what);
  void on(const Received& what);
  void on(const HalfClosed& what);
  void on(const Disconnected& what);
  void on(const Flushed& what);
  void on(const Persisted& what);
  void on(const TimerFired&) {}
  void on(const ConfigReloaded&) {}  // it has no file to read again
  void on(const InputDrained&) {}    // nor does it ask for that
  void on(const ShutdownRequested&);
  void ring(const Bell& bell);
  void first_moment();

  // ---- viewers ----
  void take_requests(ViewerLink& viewer);
  void serve(ViewerLink& viewer, http::Request request);
  void serve_media(ViewerLink& viewer);
  void drop_viewer(ConnectionId link, bool reset);
  void viewer_gone(ViewerLink& viewer);
  void answer(ViewerLink& viewer, int status, const std::string& text, const http::Fields& more = {});
  void done_with(ViewerLink& viewer);
  void send_to_viewer(ViewerLink& viewer, std::string bytes);
  void head_to_viewer(ViewerLink& viewer, BoxLink& box, const http::ResponseHead& head);

  // ---- playbacks ----
  static std::string key_of(int plan, const std::string& title, const std::string& who);
  Playback& admit(ViewerLink& viewer);
  bool out_and_paid(const Playback& playback) const;
  void answer_all();
  void ask(Playback& playback);
  std::optional<Request> request_for(Playback& playback, const ViewerLink& viewer);
  void settle(Playback& playback, int status, const std::string& text, const http::Fields& more);
  void forget(PlaybackId id);
  void lost(Playback& playback, Outcome outcome);
  void rest(Playback& playback);
  int rung_for(const Playback& playback, int asked) const;
  double rate_kb(const Playback& playback, int rung) const;

  // ---- boxes ----
  void start_try(const SetUp& command);
  void start_probe(ServerId server);
  void fetch(ViewerLink& viewer, Playback& playback);
  BoxLink* box_link(ServerId server, Use use, bool anew);
  void send_request(BoxLink& link, std::string text);
  void from_box(BoxLink& link, http::ResponseParser::Part part);
  void object_part(BoxLink& link, http::ResponseParser::Part& part);
  void try_head(BoxLink& link, const http::ResponseHead& head);
  void try_ran(BoxLink& link, const http::ResponseHead* head);
  void try_failed(BoxLink& link, Outcome outcome, std::vector<LogField> more);
  void box_failed(BoxLink& link, Outcome outcome);
  void box_time_up(BoxLink& link);
  void release(BoxLink& link, bool reusable);
  void hang_box(ConnectionId link);
  void measure(BoxLink& link, bool whole);
  void hear_box(BoxLink& link, const http::ResponseHead& head, double rate);
  http::Fields box_fields(const ViewerLink* viewer, const Playback* playback, bool set_up) const;

  // ---- seats ----
  bool peer_link(ConnectionId link) const { return peers_ && peers_->owns_link(link); }
  static std::string token_of(const http::Request& request);
  void entitle(Playback& playback);
  void renew(Playback& playback, const ViewerLink& viewer);
  void seats_did(const entitlement::LedgerEvent& event);
  void seats_time();
  void seats_kept(const Persisted& what);
  void peers_said(std::vector<peers::ReceivedMessage> heard);
  void keys_answered(BoxLink& link, bool whole);
  void fetch_keys();
  void do_seat(const entitlement::LedgerAction& act);

  // ---- HLS ----
  enum class Read { other, taken, answered };
  Read read_hls(ViewerLink& viewer);
  Read read_pass(ViewerLink& viewer, std::string_view path, std::string_view query);
  bool adopt(ViewerLink& viewer);
  void part(Playback& playback, hls::EndReason how, Duration come_back = Duration(0));
  void hls_side(Playback& playback);
  std::string box_target(ViewerLink& viewer, Playback& playback, BoxLink& link);
  bool steer(ViewerLink& viewer, Playback& playback);
  void collect(BoxLink& link, http::ResponseParser::Part& part);
  void list_whole(BoxLink& link);
  void list_unusable(BoxLink& link, const std::string& cause);
  std::variant<std::string, hls::PlaylistError> lists_text(ViewerLink& viewer, Playback& playback,
                                                           const std::string& target, std::string text);
  std::variant<std::string, hls::PlaylistError> media_text(const ViewerLink& viewer, Playback& playback,
                                                           ServerId server, const std::string& target,
                                                           std::string text);
  std::variant<std::shared_ptr<const hls::MediaPlaylist>, hls::PlaylistError> read_list(
      ServerId server, const std::string& target, std::string text, const hls::Variables& variables);
  hls::RewrittenUri place_at(const hls::Variables& variables, ServerId server, const std::string& base,
                             std::string_view uri, hls::Tag of) const;
  hls::RewrittenUri address_of(const ViewerLink& viewer, const Playback& playback, ServerId server, int rung,
                               const std::string& base, const hls::Variables& variables, std::string_view uri,
                               hls::Tag of);
  std::string rendition_address(const ViewerLink& viewer, const Playback& playback, int rung, bool steady,
                                bool flat, const std::string& place);
  std::string address(signed_url::Claims pass);
  int rung_of(const Playback& playback, std::uint64_t bandwidth) const;
  void answer_list(ViewerLink& viewer, const Playback& playback, const std::string& text);
  Duration wall() const { return terms_.wall_at_zero + now_; }

  // ---- the list ----
  void poll_list();
  void list_answered(BoxLink& link, bool whole);
  void take_list(boxlist::ListUpdate news, const char* source);

  // ---- the catalogue ----
  struct Control;
  void control_requests(Control& control);
  void control_reply(Control& control, const cataloguewire::Reply& reply);
  void control_gone(ConnectionId link);
  void keeper_did(std::vector<catalogue::ReplicaAction> actions);
  void holders_changed(const std::vector<catalogue::RecordingId>& recordings, bool whole);
  void hold_anew(Playback& playback);
  void take_back(Playback& playback);
  void wake_feeds();
  void poll_feed();
  void feed_answered(BoxLink& link, bool whole);
  const catalogue::Entry* entry_of(const Playback& playback) const;
  BoxLink& service_link(Use use, const std::string& address, std::uint16_t port, const std::string& target,
                        const std::string& etag, Duration limit);
  std::vector<catalogue::ReplicationCandidate> wanting();

  // ---- the module ----
  void tell(const Event& event);
  void carry_out();
  void carry_out(const Command& command);
  void heed(hints::Evaluation weighed, ServerId server);

  Bells::Handle arm(Duration in, Ring ring, std::uint32_t of) {
    return bells_.schedule(now_ + in, {ring, of});
  }
  void say(std::string event, std::vector<LogField> fields = {});
  // Guards against fronts, and viewers turned away together, falling into step: a quarter off, either way.
  Duration spread(Duration period) { return period * (75 + static_cast<int>(chance_() % 51)) / 100; }
  http::Fields come_back_soon();
  std::int64_t said_id(PlaybackId id) const { return static_cast<std::int64_t>(id); }

  FrontTerms terms_;
  std::unique_ptr<Decider> decider_;
  std::minstd_rand chance_;
  boxlist::BoxList list_;
  hints::HintEvaluator hint_evaluator_;
  std::string cached_list_;
  Bells bells_;
  std::vector<Bell> rung_;
  Duration now_{0};
  std::vector<Action>* actions_ = nullptr;
  Duration still_until_{0}, say_stood_still_{0};
  bool began_ = false, stopping_ = false;
  std::optional<Duration> wake_at_;
  std::deque<Event> events_;
  std::set<ConnectionId> reread_;  // viewers whose pipelined requests may be read now
  std::unordered_map<ConnectionId, std::unique_ptr<ViewerLink>> viewers_;
  std::unordered_map<ConnectionId, std::unique_ptr<BoxLink>> boxes_;
  std::vector<std::vector<ConnectionId>> idle_;  // by server: links that wait for use, the latest last
  std::vector<std::size_t> links_of_;            // by server
  std::unordered_map<PlaybackId, std::unique_ptr<Playback>> playbacks_;
  std::unordered_map<std::string, PlaybackId> by_key_;
  std::unordered_map<ConnectionId, PlaybackId> by_link_;  // playbacks known by their connection alone
  std::unordered_map<std::string, TitleId> titles_;
  std::map<TitleId, std::uint32_t> title_uses_;
  std::vector<TitleId> free_titles_;
  PlaybackId next_playback_ = 0;
  ConnectionId next_link_ = 1;
  catalogue::Replica keeper_;
  catalogue::Demand demand_;
  std::map<ConnectionId, std::unique_ptr<Control>> controls_;
  std::map<catalogue::RecordingId, std::set<PlaybackId>>
      asking_;  // that wait for a set-up, or are out for one
  bool feed_out_ = false, feed_whole_ = false;
  std::unique_ptr<entitlement::Ledger> ledger_;
  entitlement::TokenValidator token_validator_;
  std::unique_ptr<peers::Peers> peers_;
  std::map<entitlement::SeatKey, PlaybackId> by_seat_;
  std::set<PlaybackId> wait_for_keys_;
  bool seats_disk_failed_ = false;
  signed_url::KeyRing keys_;
  hls::EndedPlaybacks departures_;
  std::map<std::string, std::unique_ptr<HlsSide>>
      parted_;  // by key; what a player that comes back goes on from
  std::deque<std::string> parted_order_;
  struct KeptList {
    std::shared_ptr<const hls::MediaPlaylist> media;
    std::uint64_t used = 0;
  };
  std::map<std::pair<ServerId, std::string>, KeptList> lists_read_;
  std::map<std::uint64_t, std::pair<ServerId, std::string>> lists_used_;
  std::uint64_t list_uses_ = 0;
  std::size_t lists_bytes_ = 0;
  std::uint64_t sids_ = 0;
  std::string list_etag_;
  bool list_out_ = false;
};

}  // namespace violettide::manager
