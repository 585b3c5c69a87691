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
#include "hints/weighing/weighing.h"
#include "hls/playback_policy/playback_policy.h"
#include "hls/writer.h"
#include "http/http.h"
#include "io/io.h"
#include "manager/settings.h"
#include "peers/peers.h"
#include "policy/policy.h"
#include "signed_url/signed_url.h"
#include "timerwheel/timer_wheel.h"

namespace violettide::manager {

// What a manager holds now, for tests, logs and `bench/`.
struct ResourceUsage {
  std::size_t viewer_connections = 0, box_connections = 0, playbacks = 0, timers = 0;
  std::size_t ended_playbacks = 0;       // sides of playbacks that are over, kept for their players
  std::size_t playlist_cache_bytes = 0;  // of boxes' playlists, kept
};

class Manager : public Core {
 public:
  // `cached_list`: the list kept from before, empty if there is none.
  Manager(ManagerSettings terms, std::uint64_t seed, std::string cached_list,
          std::unique_ptr<Decider> decider);
  ~Manager() override;
  void handle(Duration now, const IoEvent& what, std::vector<Action>& actions) override;
  ResourceUsage resource_usage() const;
  // The catalogue, to be restored before the first happening.
  catalogue::Replica& catalogue() { return replica_; }
  // The seats, where tokens are asked for and the first happening has been.
  const entitlement::Ledger* seats() const { return ledger_.get(); }
  const entitlement::TokenValidator& token_validator() const { return token_validator_; }

 private:
  enum class ConnectionPurpose { idle, setup_try, object, probe, box_list, catalogue_feed, token_keys };
  struct ViewerConnection;
  struct BoxConnection;
  struct Playback;
  struct HlsState;
  enum class TimerKind {
    policy,
    setup_deadline,
    try_timeout,
    box_timeout,
    playback_idle,
    box_list_poll,
    viewer_stalled,
    shutdown_deadline,
    weighing_tick,
    catalogue_feed_poll,
    feed_long_poll,
    seats_tick
  };
  struct Timer {
    TimerKind kind = TimerKind::policy;
    std::uint32_t target = 0;
  };
  using Timers = TimerWheel<Timer>;

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
  void on_timer(const Timer& bell);
  void start();

  // ---- viewers ----
  void process_requests(ViewerConnection& viewer);
  void handle_request(ViewerConnection& viewer, http::Request request);
  void dispatch_to_playback(ViewerConnection& viewer);
  void close_viewer(ConnectionId link, bool reset);
  void on_viewer_closed(ViewerConnection& viewer);
  void respond(ViewerConnection& viewer, int status, const std::string& text, const http::Fields& more = {});
  void finish_response(ViewerConnection& viewer);
  void send_to_viewer(ViewerConnection& viewer, std::string bytes);
  void send_response_head(ViewerConnection& viewer, BoxConnection& box, const http::ResponseHead& head);

  // ---- playbacks ----
  static std::string playback_key(int plan, const std::string& title, const std::string& who);
  Playback& find_or_create_playback(ViewerConnection& viewer);
  bool may_have_been_charged(const Playback& playback) const;
  void answer_waiting_viewers();
  void request_setup(Playback& playback);
  std::optional<Request> make_setup_request(Playback& playback, const ViewerConnection& viewer);
  void end_with_response(Playback& playback, int status, const std::string& text, const http::Fields& more);
  void remove_playback(PlaybackId id);
  void on_box_lost(Playback& playback, Outcome outcome);
  void restart_idle_timer(Playback& playback);
  int effective_rung(const Playback& playback, int asked) const;
  double rate_kb(const Playback& playback, int rung) const;

  // ---- boxes ----
  void start_try(const SetUp& command);
  void start_probe(ServerId server);
  void fetch_from_box(ViewerConnection& viewer, Playback& playback);
  BoxConnection* acquire_connection(ServerId server, ConnectionPurpose use, bool anew);
  void send_request(BoxConnection& link, std::string text);
  void on_box_response(BoxConnection& link, http::ResponseReader::Part part);
  void forward_object(BoxConnection& link, http::ResponseReader::Part& part);
  void on_try_response(BoxConnection& link, const http::ResponseHead& head);
  void on_try_succeeded(BoxConnection& link, const http::ResponseHead* head);
  void on_try_failed(BoxConnection& link, Outcome outcome, std::vector<LogField> more);
  void on_box_failure(BoxConnection& link, Outcome outcome);
  void on_box_timeout(BoxConnection& link);
  void release_connection(BoxConnection& link, bool reusable);
  void close_box_connection(ConnectionId link);
  void measure_delivery(BoxConnection& link, bool whole);
  void read_box_hints(BoxConnection& link, const http::ResponseHead& head, double rate);
  http::Fields box_request_fields(const ViewerConnection* viewer, const Playback* playback,
                                  bool set_up) const;

  // ---- seats ----
  bool is_peer_connection(ConnectionId link) const { return peers_ && peers_->owns_link(link); }
  static std::string extract_token(const http::Request& request);
  void claim_seat(Playback& playback);
  void renew_token(Playback& playback, const ViewerConnection& viewer);
  void handle_ledger_event(const entitlement::LedgerEvent& event);
  void on_seats_tick();
  void on_seat_records_persisted(const Persisted& what);
  void on_peer_messages(std::vector<peers::ReceivedMessage> heard);
  void on_token_keys_response(BoxConnection& link, bool whole);
  void fetch_token_keys();
  void execute_ledger_action(const entitlement::LedgerAction& act);

  // ---- HLS ----
  enum class HlsRequestResult { not_hls, accepted, answered };
  HlsRequestResult parse_hls_request(ViewerConnection& viewer);
  HlsRequestResult parse_signed_url_request(ViewerConnection& viewer, std::string_view path,
                                            std::string_view query);
  bool adopt_playback(ViewerConnection& viewer);
  void record_ended_playback(Playback& playback, hls::EndReason how, Duration come_back = Duration(0));
  void attach_hls_state(Playback& playback);
  std::string box_request_target(ViewerConnection& viewer, Playback& playback, BoxConnection& link);
  bool admit_hls_request(ViewerConnection& viewer, Playback& playback);
  void collect_playlist(BoxConnection& link, http::ResponseReader::Part& part);
  void on_playlist_complete(BoxConnection& link);
  void on_playlist_invalid(BoxConnection& link, const std::string& cause);
  std::variant<std::string, hls::PlaylistError> rewrite_multivariant_playlist(ViewerConnection& viewer,
                                                                              Playback& playback,
                                                                              const std::string& target,
                                                                              std::string text);
  std::variant<std::string, hls::PlaylistError> rewrite_media_playlist(const ViewerConnection& viewer,
                                                                       Playback& playback, ServerId server,
                                                                       const std::string& target,
                                                                       std::string text);
  std::variant<std::shared_ptr<const hls::MediaPlaylist>, hls::PlaylistError> parse_or_reuse_playlist(
      ServerId server, const std::string& target, std::string text, const hls::Variables& variables);
  hls::RewrittenUri resolve_at_box(const hls::Variables& variables, ServerId server, const std::string& base,
                                   std::string_view uri, hls::Tag of) const;
  hls::RewrittenUri rewrite_playlist_uri(const ViewerConnection& viewer, const Playback& playback,
                                         ServerId server, int rung, const std::string& base,
                                         const hls::Variables& variables, std::string_view uri, hls::Tag of);
  std::string rendition_url(const ViewerConnection& viewer, const Playback& playback, int rung, bool steady,
                            bool flat, const std::string& place);
  std::string sign_url(signed_url::Claims pass);
  int nearest_rung(const Playback& playback, std::uint64_t bandwidth) const;
  void respond_with_playlist(ViewerConnection& viewer, const Playback& playback, const std::string& text);
  Duration wall_clock() const { return settings_.wall_clock_at_zero + now_; }

  // ---- the list ----
  void poll_box_list();
  void on_box_list_response(BoxConnection& link, bool whole);
  void apply_box_list(boxlist::ListUpdate news, const char* source);

  // ---- the catalogue ----
  struct ControlConnection;
  void process_control_requests(ControlConnection& control);
  void send_control_reply(ControlConnection& control, const cataloguewire::Reply& reply);
  void on_control_closed(ConnectionId link);
  void execute_replica_actions(std::vector<catalogue::ReplicaAction> actions);
  void on_recordings_changed(const std::vector<catalogue::RecordingId>& recordings, bool whole);
  void update_holders(Playback& playback);
  void cancel_unsent_try(Playback& playback);
  void answer_waiting_feeds();
  void poll_catalogue_feed();
  void on_catalogue_feed_response(BoxConnection& link, bool whole);
  const catalogue::Entry* catalogue_entry(const Playback& playback) const;
  BoxConnection& request_from_service(ConnectionPurpose use, const std::string& address, std::uint16_t port,
                                      const std::string& target, const std::string& etag, Duration limit);
  std::vector<catalogue::ReplicationCandidate> replication_candidates();

  // ---- the module ----
  void post_event(const Event& event);
  void process_events();
  void execute(const Command& command);
  void apply_weighing(hints::Weighed weighed, ServerId server);

  Timers::Handle start_timer(Duration in, TimerKind ring, std::uint32_t of) {
    return timers_.schedule(now_ + in, {ring, of});
  }
  void log_event(std::string event, std::vector<LogField> fields = {});
  // Guards against fronts, and viewers turned away together, falling into step: a quarter off, either way.
  Duration jittered(Duration period) { return period * (75 + static_cast<int>(random_() % 51)) / 100; }
  http::Fields short_retry_after();
  std::int64_t log_id(PlaybackId id) const { return static_cast<std::int64_t>(id); }

  ManagerSettings settings_;
  std::unique_ptr<Decider> decider_;
  std::minstd_rand random_;
  boxlist::BoxList box_list_;
  hints::Weighing weighing_;
  std::string cached_box_list_;
  Timers timers_;
  std::vector<Timer> expired_timers_;
  Duration now_{0};
  std::vector<Action>* actions_ = nullptr;
  Duration stall_recovery_until_{0}, stall_to_log_{0};
  bool started_ = false, shutting_down_ = false;
  std::optional<Duration> next_wakeup_;
  std::deque<Event> events_;
  std::set<ConnectionId> viewers_to_read_;  // viewers whose pipelined requests may be read now
  std::unordered_map<ConnectionId, std::unique_ptr<ViewerConnection>> viewer_connections_;
  std::unordered_map<ConnectionId, std::unique_ptr<BoxConnection>> box_connections_;
  std::vector<std::vector<ConnectionId>>
      idle_connections_;                       // by server: links that wait for use, the latest last
  std::vector<std::size_t> open_connections_;  // by server
  std::unordered_map<PlaybackId, std::unique_ptr<Playback>> playbacks_;
  std::unordered_map<std::string, PlaybackId> playback_by_key_;
  std::unordered_map<ConnectionId, PlaybackId>
      playback_by_connection_;  // playbacks known by their connection alone
  std::unordered_map<std::string, TitleId> title_ids_;
  std::map<TitleId, std::uint32_t> title_uses_;
  std::vector<TitleId> free_title_ids_;
  PlaybackId next_playback_ = 0;
  ConnectionId next_connection_ = 1;
  catalogue::Replica replica_;
  catalogue::Demand demand_;
  std::map<ConnectionId, std::unique_ptr<ControlConnection>> control_connections_;
  std::map<catalogue::RecordingId, std::set<PlaybackId>>
      setups_by_recording_;  // that wait for a set-up, or are out for one
  bool feed_request_pending_ = false, feed_snapshot_needed_ = false;
  std::unique_ptr<entitlement::Ledger> ledger_;
  entitlement::TokenValidator token_validator_;
  std::unique_ptr<peers::Peers> peers_;
  std::map<entitlement::SeatKey, PlaybackId> playback_by_seat_;
  std::set<PlaybackId> awaiting_keys_;
  bool seat_persistence_failed_ = false;
  signed_url::KeyRing url_keys_;
  hls::EndedPlaybacks ended_playbacks_;
  std::map<std::string, std::unique_ptr<HlsState>>
      ended_hls_states_;  // by key; what a player that comes back goes on from
  std::deque<std::string> ended_hls_order_;
  struct CachedPlaylist {
    std::shared_ptr<const hls::MediaPlaylist> playlist;
    std::uint64_t last_use = 0;
  };
  std::map<std::pair<ServerId, std::string>, CachedPlaylist> playlist_cache_;
  std::map<std::uint64_t, std::pair<ServerId, std::string>> playlist_lru_;
  std::uint64_t playlist_uses_ = 0;
  std::size_t playlist_cache_bytes_ = 0;
  std::uint64_t issued_session_ids_ = 0;
  std::string box_list_etag_;
  bool box_list_pending_ = false;
};

}  // namespace violettide::manager
