// The core of the session manager. It turns I/O events into actions: it parses viewers' requests, passes
// events to the placement policy, and executes the policy's commands on connections to boxes. It decides
// what only connections can tell: which playback a request belongs to, when and how a try ended, and when a
// playback is over. It does no I/O and reads no clock.
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
#include "manager/settings.h"
#include "peers/peers.h"
#include "policy/policy.h"
#include "signed_url/signed_url.h"
#include "timerwheel/timer_wheel.h"

namespace violettide::manager {

// What a manager holds now, for tests and benchmarks.
struct ResourceUsage {
  std::size_t viewer_connections = 0, box_connections = 0, playbacks = 0, timers = 0;
  std::size_t ended_playbacks = 0;       // HLS states kept for players of playbacks that are over
  std::size_t playlist_cache_bytes = 0;  // size of the media playlist cache
};

// A state machine that only handle() advances.
class Manager : public Core {
 public:
  // `seed`: of the random numbers for jitter, and for the default policy. `cached_box_list`: the last box
  // list that an earlier run stored, empty if there is none. `decider`: replaces the default policy if not
  // null.
  Manager(ManagerSettings settings, std::uint64_t seed, std::string cached_box_list,
          std::unique_ptr<Decider> decider);
  ~Manager() override;
  // Appends the actions that follow from an event. `now` is the time since the core's start.
  void handle(Duration now, const IoEvent& event, std::vector<Action>& actions) override;
  ResourceUsage resource_usage() const;
  // The catalogue. A stored one must be restored before the first call of handle().
  catalogue::Replica& catalogue() { return replica_; }
  // The seat ledger; null if tokens are not required, or before the first call of handle().
  const entitlement::Ledger* seats() const { return ledger_.get(); }
  const entitlement::TokenValidator& token_validator() const { return token_validator_; }

 private:
  // What a connection to a box or another service is used for.
  enum class ConnectionPurpose { idle, setup_try, object, probe, box_list, catalogue_feed, token_keys };
  struct ViewerConnection;
  struct BoxConnection;
  struct Playback;
  struct HlsState;
  enum class TimerKind {
    policy,               // a timer that the policy set; its target is the policy's token
    setup_deadline,       // a set-up is still undecided shortly before the abandon time
    try_timeout,          // a set-up try got no response
    box_timeout,          // a connection didn't open, or a response stalled
    playback_idle,        // a playback made no request for its idle timeout
    box_list_poll,        // the box list is due
    viewer_stalled,       // a viewer read nothing for too long
    request_incomplete,   // a request of a viewer or at the control port was not completed in time
    shutdown_deadline,    // graceful shutdown took too long
    weighing_tick,        // period of the weighing of hints
    catalogue_feed_poll,  // the catalogue feed is due
    feed_long_poll,       // another manager's long poll of the feed timed out
    seats_tick            // period of peers, keys and seats
  };
  struct Timer {
    TimerKind kind = TimerKind::policy;
    std::uint32_t target = 0;  // playback, connection or token, as the kind says
  };
  using Timers = TimerWheel<Timer>;

  // ---- I/O events ----
  void on(const Accepted& event);
  void on(const Connected& event);
  void on(const Received& event);
  void on(const HalfClosed& event);
  void on(const Disconnected& event);
  void on(const Flushed& event);
  void on(const Persisted& event);
  void on(const TimerFired&) {}
  void on(const ConfigReloaded&) {}  // the manager reads no configuration file
  void on(const InputDrained&) {}    // the manager never sends DrainInput
  void on(const ShutdownRequested&);
  void on_timer(const Timer& timer);
  void start();  // called at the first event

  // ---- viewers ----
  void process_requests(ViewerConnection& viewer);
  void await_rest_of_request(ViewerConnection& viewer);
  void on_request_timeout(ConnectionId connection);
  void handle_request(ViewerConnection& viewer, http::Request request);
  void dispatch_to_playback(ViewerConnection& viewer);
  void close_viewer(ConnectionId connection, bool reset);
  void on_viewer_closed(ViewerConnection& viewer);
  void respond(ViewerConnection& viewer, int status, const std::string& text,
               const http::Fields& extra_fields = {});
  void finish_response(ViewerConnection& viewer);
  void send_to_viewer(ViewerConnection& viewer, std::string bytes);
  void send_response_head(ViewerConnection& viewer, BoxConnection& box, const http::ResponseHead& head);

  // ---- playbacks ----
  static std::string playback_key(int plan, const std::string& title, const std::string& viewer);
  Playback& find_or_create_playback(ViewerConnection& viewer);
  bool may_have_been_charged(const Playback& playback) const;
  void answer_waiting_viewers();
  void request_setup(Playback& playback);
  std::optional<Request> make_setup_request(Playback& playback, const ViewerConnection& viewer);
  void end_with_response(Playback& playback, int status, const std::string& text,
                         const http::Fields& extra_fields);
  void remove_playback(PlaybackId id);
  void on_box_lost(Playback& playback, Outcome outcome);
  void restart_idle_timer(Playback& playback);
  int effective_rung(const Playback& playback, int requested) const;
  double rate_kb(const Playback& playback, int rung) const;

  // ---- boxes ----
  void start_try(const SetUp& command);
  void start_probe(ServerId server);
  void fetch_from_box(ViewerConnection& viewer, Playback& playback);
  BoxConnection* acquire_connection(ServerId server, ConnectionPurpose purpose, bool force_new);
  void send_request(BoxConnection& connection, std::string text);
  void on_box_response(BoxConnection& connection, http::ResponseParser::Part part);
  void forward_object(BoxConnection& connection, http::ResponseParser::Part& part);
  void on_try_response(BoxConnection& connection, const http::ResponseHead& head);
  void on_try_succeeded(BoxConnection& connection, const http::ResponseHead* head);
  void on_try_failed(BoxConnection& connection, Outcome outcome, std::vector<LogField> extra_fields);
  void on_box_failure(BoxConnection& connection, Outcome outcome);
  static bool is_service(ConnectionPurpose purpose);
  void collect_service_response(BoxConnection& connection, const http::ResponseParser::Part& part);
  void on_service_response(BoxConnection& connection, bool complete);
  void on_box_timeout(BoxConnection& connection);
  void release_connection(BoxConnection& connection, bool reusable);
  void close_box_connection(ConnectionId connection);
  void measure_delivery(BoxConnection& connection, bool complete);
  void read_box_hints(BoxConnection& connection, const http::ResponseHead& head, double rate);
  http::Fields box_request_fields(const ViewerConnection* viewer, const Playback* playback,
                                  bool set_up) const;

  // ---- seats ----
  bool is_peer_connection(ConnectionId connection) const { return peers_ && peers_->owns_link(connection); }
  static std::string extract_token(const http::Request& request);
  void claim_seat(Playback& playback);
  void renew_token(Playback& playback, const ViewerConnection& viewer);
  void handle_ledger_event(const entitlement::LedgerEvent& event);
  void on_seats_tick();
  void on_seat_records_persisted(const Persisted& event);
  void on_peer_messages(std::vector<peers::ReceivedMessage> messages);
  void on_token_keys_response(BoxConnection& connection, bool complete);
  void fetch_token_keys();
  void execute_ledger_action(const entitlement::LedgerAction& action);

  // ---- HLS ----
  // Whether a request is for HLS and, if so, whether it was answered at once.
  enum class HlsRequestResult { not_hls, accepted, answered };
  HlsRequestResult parse_hls_request(ViewerConnection& viewer);
  HlsRequestResult parse_signed_url_request(ViewerConnection& viewer, std::string_view path,
                                            std::string_view query);
  bool adopt_playback(ViewerConnection& viewer);
  void record_ended_playback(Playback& playback, hls::EndReason reason, Duration retry_after = Duration(0));
  void attach_hls_state(Playback& playback);
  std::string box_request_target(ViewerConnection& viewer, Playback& playback, BoxConnection& connection);
  bool admit_hls_request(ViewerConnection& viewer, Playback& playback);
  void collect_playlist(BoxConnection& connection, http::ResponseParser::Part& part);
  void on_playlist_complete(BoxConnection& connection);
  void on_playlist_invalid(BoxConnection& connection, const std::string& cause);
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
  std::string rendition_url(const ViewerConnection& viewer, const Playback& playback, int rung,
                            bool off_ladder, bool shared_directory, const std::string& path);
  std::string sign_url(signed_url::Claims claims);
  int nearest_rung(const Playback& playback, std::uint64_t bandwidth) const;
  void respond_with_playlist(ViewerConnection& viewer, const Playback& playback, const std::string& text);
  Duration wall_clock() const { return settings_.wall_clock_at_zero + now_; }

  // ---- the box list ----
  void poll_box_list();
  void on_box_list_response(BoxConnection& connection, bool complete);
  void apply_box_list(boxlist::ListUpdate update, const char* source);

  // ---- the catalogue ----
  struct ControlConnection;
  void process_control_requests(ControlConnection& control);
  void await_rest_of_control_request(ControlConnection& control);
  void on_control_request_timeout(ControlConnection& control);
  void send_control_reply(ControlConnection& control, const cataloguewire::Reply& reply);
  void on_control_closed(ConnectionId connection);
  void execute_replica_actions(std::vector<catalogue::ReplicaAction> actions);
  void on_recordings_changed(const std::vector<catalogue::RecordingId>& recordings, bool full_snapshot);
  void update_holders(Playback& playback);
  void cancel_unsent_try(Playback& playback);
  void answer_waiting_feeds();
  void poll_catalogue_feed();
  void on_catalogue_feed_response(BoxConnection& connection, bool complete);
  const catalogue::Entry* catalogue_entry(const Playback& playback) const;
  BoxConnection& request_from_service(ConnectionPurpose purpose, const std::string& address,
                                      std::uint16_t port, const std::string& target, const std::string& etag,
                                      Duration timeout);
  std::vector<catalogue::ReplicationCandidate> replication_candidates();

  // ---- the policy ----
  void post_event(const Event& event);
  void process_events();
  void execute(const Command& command);
  void apply_weighing(hints::Evaluation weighed, ServerId server);

  Timers::Handle start_timer(Duration delay, TimerKind kind, std::uint32_t target) {
    return timers_.schedule(now_ + delay, {kind, target});
  }
  void log_event(std::string event, std::vector<LogField> fields = {});
  // Spreads a period by up to a quarter either way. Guards against managers that start together, and viewers
  // that are rejected together, staying synchronized.
  Duration jittered(Duration period) { return period * (75 + static_cast<int>(random_() % 51)) / 100; }
  // A Retry-After field of one to three seconds, within the configured maximum.
  http::Fields short_retry_after();
  std::int64_t log_id(PlaybackId id) const { return static_cast<std::int64_t>(id); }

  ManagerSettings settings_;
  std::unique_ptr<Decider> decider_;
  std::minstd_rand random_;
  boxlist::BoxList box_list_;
  hints::HintEvaluator hint_evaluator_;
  std::string cached_box_list_;
  Timers timers_;
  std::vector<Timer> expired_timers_;
  Duration now_{0};
  std::vector<Action>* actions_ = nullptr;
  Duration stall_recovery_until_{0};  // until then box timeouts wait for input that came during a stall
  Duration stall_to_log_{0};          // length of a stall of this process that is not logged yet
  bool started_ = false;
  bool shutting_down_ = false;
  std::optional<Duration> next_wakeup_;
  std::deque<Event> events_;
  std::set<ConnectionId> viewers_to_read_;  // viewers whose pipelined requests may be read now
  std::unordered_map<ConnectionId, std::unique_ptr<ViewerConnection>> viewer_connections_;
  std::unordered_map<ConnectionId, std::unique_ptr<BoxConnection>> box_connections_;
  // By server: the connections of its pool that are idle, the most recently used last.
  std::vector<std::vector<ConnectionId>> idle_connections_;
  std::vector<std::size_t> open_connections_;  // by server: size of its pool
  std::unordered_map<PlaybackId, std::unique_ptr<Playback>> playbacks_;
  std::unordered_map<std::string, PlaybackId> playback_by_key_;
  // Playbacks without a session id, which only their viewer's connection identifies.
  std::unordered_map<ConnectionId, PlaybackId> playback_by_connection_;
  std::unordered_map<std::string, TitleId> title_ids_;
  std::map<TitleId, std::uint32_t> title_uses_;
  std::vector<TitleId> free_title_ids_;
  PlaybackId next_playback_ = 0;
  ConnectionId next_connection_ = 1;
  catalogue::Replica replica_;
  catalogue::Demand demand_;
  std::map<ConnectionId, std::unique_ptr<ControlConnection>> control_connections_;
  // Playbacks that wait for a set-up or have a try in progress.
  std::map<catalogue::RecordingId, std::set<PlaybackId>> setups_by_recording_;
  bool feed_request_pending_ = false;
  bool feed_snapshot_needed_ = false;
  std::unique_ptr<entitlement::Ledger> ledger_;
  entitlement::TokenValidator token_validator_;
  std::unique_ptr<peers::Peers> peers_;
  std::map<entitlement::SeatKey, PlaybackId> playback_by_seat_;
  std::set<PlaybackId> awaiting_keys_;
  bool seat_persistence_failed_ = false;
  signed_url::KeyRing url_keys_;
  hls::EndedPlaybacks ended_playbacks_;
  // By playback key: states of playbacks that are over, from which a returning player continues.
  std::map<std::string, std::unique_ptr<HlsState>> ended_hls_states_;
  std::deque<std::string> ended_hls_order_;  // oldest first
  struct CachedPlaylist {
    std::shared_ptr<const hls::MediaPlaylist> playlist;
    std::uint64_t last_use = 0;  // key in `playlist_lru_`, 0 before the first use
  };
  // Media playlists as last parsed, by server and request target; the least recently used are evicted.
  std::map<std::pair<ServerId, std::string>, CachedPlaylist> playlist_cache_;
  std::map<std::uint64_t, std::pair<ServerId, std::string>> playlist_lru_;  // by time of last use
  std::uint64_t playlist_uses_ = 0;                                         // logical time of the LRU order
  std::size_t playlist_cache_bytes_ = 0;
  std::uint64_t issued_session_ids_ = 0;
  std::string box_list_etag_;
  bool box_list_pending_ = false;
};

}  // namespace violettide::manager
