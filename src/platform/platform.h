// The core of a session manager on the operators' platform. It turns socket events into events for the
// decider (the placement policy) and executes the decider's commands as socket actions. It owns what depends
// on connections: which playback a message belongs to, how a try ended, the liveness of servers, limits on
// descriptors, and the graceful shutdown. Free of I/O and clock: the runtime passes in events and the time.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "decider/decider.h"
#include "io/io.h"
#include "platform/channel/channel.h"
#include "platform/processes/server_processes.h"
#include "platform/start.h"
#include "platform/wire/server.h"
#include "platform/wire/viewer.h"
#include "timerwheel/timer_wheel.h"

namespace violettide::platform {

// The number of objects that are held now, for tests.
struct ResourceCounts {
  std::size_t viewer_connections = 0, server_connections = 0, playbacks = 0, titles = 0, timers = 0;
};

// One session manager. Its names on the wire, in settings and in logs are fixed by the platform.
class Platform : public Core {
 public:
  // Without a `decider`, the placement policy with the settings of `config` decides.
  Platform(PlatformConfig config, std::unique_ptr<Decider> decider);
  ~Platform() override;
  // Processes one event at time `now` and appends the resulting actions. The first call also applies the
  // server list of the configuration.
  void handle(Duration now, const IoEvent& event, std::vector<Action>& actions) override;
  ResourceCounts resource_counts() const;

 private:
  // A connection that a viewer opened; it may carry several playbacks.
  struct ViewerConnection {
    ViewerReader reader;
    Duration accepted_at{0};
    Duration last_heard_at{0};
    std::optional<Duration> partial_message_since;  // its first byte
    bool has_sent_message = false;                  // at least one valid message
    std::set<PlaybackId> unanswered;                // set-ups without an answer
    std::size_t playing_count = 0;                  // playbacks whose end is reported on this connection
    std::size_t unsent_bytes = 0;                   // passed to the runtime since its last Flushed
    bool overflowed = false;                        // reads nothing: closed at the end of the current event
    std::optional<Duration> closing_since;  // when the close was scheduled; a valid message cancels it
  };
  // A connection to a video server, or the dial of one.
  struct ServerConnection {
    ServerId server = 0;
    ServerReader reader;
    std::optional<Duration> partial_message_since;  // its first byte
    bool established = false;
    Duration established_at{0};
    Duration last_heard_at{0};
    std::optional<Duration> retired_at;           // carries no new set-ups from then on
    std::optional<Duration> finished_sending_at;  // only receives from then on, until the server closes too
    bool process_ended = false;                   // leads to a process that the server has no more
    std::set<PlaybackId> tries;                   // sent, or waiting for the connection
    std::set<CallId> probes;
    std::optional<ServerId> successor;  // with process_ended: the server that its process is listed as
    Duration last_used_at{0};           // the last bytes in either direction
  };
  // The connection that a playback was set up on, which leads to its process.
  struct SetUpPath {
    ConnectionId connection = 0;
    std::optional<Duration> established_at;  // empty: not known, as the playback was handed over
  };
  struct QueuedRelease {
    std::string bytes;
    SetUpPath path;
  };
  // A video server of the list, or one that a viewer named for a playback that already plays.
  struct VideoServer {
    std::string name;
    ServerEntry entry;              // as last told by the list
    ConnectionId connection = 0;    // the one for new set-ups; 0: none
    ConnectionId pending_dial = 0;  // 0: none
    std::set<PlaybackId> playing;
    std::vector<QueuedRelease> queued_releases;  // to be sent on the next connection
    Duration last_heard_at{0};
    std::optional<Duration> unanswered_dial_at;  // the first dial since the server was last heard
    Duration next_dial_at{0};
    Duration redial_until{0};           // until then it is dialled also beside an open connection
    int consecutive_dial_refusals = 0;  // of dials, since the server was last heard
    Duration first_dial_refusal_at{0};
  };
  // A requested or playing playback. `connection`, `sent` and the try members belong to the current try.
  struct Playback {
    enum class State { waiting, trying, playing };
    CallId call = 0;
    State state = State::waiting;
    ConnectionId viewer_connection = 0;  // 0: closed
    int plan = 0;
    std::string title;
    std::string description;
    ServerId server = 0;
    ConnectionId connection = 0;
    bool sent = false;
    Duration try_started_at{0};
    Duration try_deadline{0};
    SetUpPath path;
    int rung = 0;
    bool rung_unsent = false;  // waits for the next connection to the server
    TimerWheel<std::uint64_t>::Handle try_timer;
  };
  // A release of a call that is unknown here: the playback may be handed over to this manager later.
  struct UnmatchedRelease {
    CallId call = 0;
    ServerId server = 0;
    int cause = 0;
    Duration received_at{0};
  };
  enum class TimerKind {
    decider,
    try_timeout,
    dial_timeout,
    probe_timeout,
    sweep,
    close_scheduled_viewers,
    channel_poll,
    shutdown_deadline
  };
  // `payload` is the token of the decider, the playback, the connection or the probe, depending on `kind`.
  struct ExpiredTimer {
    TimerKind kind = TimerKind::decider;
    std::uint64_t payload = 0;
  };
  // The number that the decider knows a title by; reused once no playback has the title.
  struct Title {
    TitleId id = 0;
    int use_count = 0;
  };

  // Keeps the time of the first byte of the message that a connection's bytes end within. `completed`: the
  // bytes that just came completed a message, so what is left of them has begun now.
  template <typename Connection>
  void update_partial_message_since(Connection& connection, bool completed) const {
    if (completed || !connection.reader.has_partial_message())
      connection.partial_message_since.reset();
    if (connection.reader.has_partial_message() && !connection.partial_message_since)
      connection.partial_message_since = now_;
  }

  void on(const Accepted& event);
  void on(const Connected& event);
  void on(const Received& event);
  void on(const HalfClosed& event);
  void on(const Disconnected& event);
  void on(const Flushed& event);
  void on(const Persisted&) {}
  void on(const TimerFired&);
  void on(const ShutdownRequested&);
  void on(const ConfigReloaded& event);
  void on(const InputDrained&);
  void on_timer(const ExpiredTimer& timer);
  void run_deferred_work();
  void sweep();
  void check_shutdown();

  // ---- viewers ----
  void sweep_viewers();
  void receive_from_viewer(ConnectionId connection, std::string_view bytes);
  void on_viewer_message(ConnectionId connection, ViewerConnection& viewer, ViewerMessage& message);
  void handle_offer(ConnectionId connection, ViewerConnection& viewer, ViewerMessage& message);
  std::optional<std::string> parse_offer(const ViewerMessage& message, Request& request,
                                         std::string& current_server) const;
  void refuse_message(ConnectionId connection, std::optional<CallId> call, const std::string& cause);
  void handle_end(ConnectionId connection, CallId call);
  void cancel_request(PlaybackId id);
  void remove_viewer(ConnectionId connection);
  void evict_idle_viewers();
  void schedule_close(ConnectionId connection, ViewerConnection& viewer);
  void close_scheduled_viewers();
  bool send_to_viewer(ConnectionId connection, std::string line);
  void close_overflowed_viewer(ConnectionId connection);

  // ---- servers ----
  void sweep_servers();
  void close_expired_connections();
  void close_unreadable_connection(ConnectionId connection, const std::string& cause);
  void drop_broken_connection(ConnectionId connection);
  std::vector<ConnectionId> connections_with_overdue_message() const;
  ServerId server_id(const std::string& name);
  // Which connections may be closed to make room for a dial.
  enum class Eviction { unneeded, any };
  ConnectionId dial(ServerId id, Eviction eviction);
  ConnectionId connection_for(ServerId id, Eviction eviction);
  void receive_from_server(ConnectionId connection, std::string_view bytes);
  void on_server_message(ConnectionId connection, ServerMessage& message);
  void on_release(ConnectionId connection, ServerMessage& message);
  void drop_server_connection(ConnectionId connection, Outcome outcome_if_sent,
                              Outcome outcome_if_unsent = Outcome::no_connection);
  void close_server_connection(ConnectionId connection);
  void finish_sending(ConnectionId connection);
  bool is_wanted(ServerId id) const;
  bool is_finished(ConnectionId connection) const;
  std::size_t count_transient_connections() const;
  bool has_room_for_dial(ServerId id) const;
  bool make_room_for_dial(ServerId id, Eviction eviction);
  ConnectionId choose_eviction(ServerId id, Eviction eviction) const;
  bool make_room_for_transient_connection();
  void retire(ConnectionId connection);
  bool has_connection_to(ServerId id) const;
  void record_local_dial_failure(ServerId id);
  void dial_for_liveness(ServerId id);
  void restart_silence(ServerId id);
  bool silence_timed_out(ServerId id) const;
  bool is_redial_due(ServerId id) const;
  void earn_evictions();
  void send_after_input_drained(PlaybackId id);
  void send_try(Playback& playback);
  void send_to_server(ConnectionId connection, std::string bytes);
  void send_or_queue_release(ServerId id, QueuedRelease release);
  void request_liveness_check(ServerId id);
  void check_liveness_of_servers();
  void check_server_liveness(ServerId id);
  void end_all_playbacks(ServerId id, const char* cause);
  void end_playbacks(ServerId id, const std::set<PlaybackId>& ended, const char* cause);
  void record_server_activity(ServerConnection& connection);

  // ---- playbacks ----
  Playback* find_playback(PlaybackId id);
  PlaybackId add_playback(CallId call, ConnectionId viewer, const Request& request, std::string title);
  TitleId acquire_title(const std::string& name);
  void start_try(const SetUp& command);
  void end_try(PlaybackId id, Outcome outcome, const LoadReport& load, bool playback_over);
  void end_playback(PlaybackId id, Outcome outcome, const LoadReport& load, std::optional<int> viewer_cause);
  void notify_end(const Playback& playback, int cause);
  ConnectionId connection_for_end(const Playback& playback) const;
  void remove_playback(PlaybackId id);
  void process_event(Event event);
  void execute(const Command& command);

  // ---- server list and command channel ----
  void apply_server_lists(const std::vector<ServerListUpdate>& updates, bool at_start);
  void apply_server_list(const ServerListUpdate& update, bool at_start);
  ServerEntry server_entry(ServerId id, const ListedServer& listed) const;
  void end_process(const ProcessEnd& end);
  void end_playbacks_of_process(const ProcessEnd& end, Duration successor_started);
  void take_back_from_ended_process(ServerId id);
  Duration successor_started_at(const ProcessEnd& end) const;
  std::vector<PlaybackId> unsent_tries(
      const std::function<bool(ConnectionId, const ServerConnection&)>& concerned) const;
  void cancel_tries(const std::vector<PlaybackId>& unsent);
  bool is_ready() const;
  void poll_channel();

  TimerWheel<std::uint64_t>::Handle start_timer(Duration delay, TimerKind kind, std::uint64_t payload = 0);
  void log(std::string event, std::vector<LogField> fields) {
    actions_->push_back(LogLine{std::move(event), std::move(fields)});
  }
  std::size_t max_viewer_connections() const;
  std::size_t max_server_connections() const;
  void request_input_drain();
  void shut_down();

  PlatformConfig config_;
  std::unique_ptr<Decider> decider_;
  std::vector<Action>* actions_ = nullptr;
  Duration now_{0};
  bool started_ = false;
  std::optional<Duration> shutdown_requested_at_;
  enum class ShutdownPhase {
    none,
    when_idle,
    immediate
  } shutdown_phase_ = ShutdownPhase::none;  // takes effect at the next InputDrained
  bool accepted_since_drain_ = false;       // a viewer, since shut_down() last checked
  int shutdown_drains_ = 0;                 // repeated for newly accepted viewers
  bool input_drain_requested_ = false;
  bool timers_deferred_ = false;                  // after a stall, until pending input is read
  std::vector<PlaybackId> tries_awaiting_drain_;  // sent at InputDrained
  TimerWheel<std::uint64_t> wheel_;
  Duration next_wakeup_{-1};  // of the runtime; negative: none requested
  // Work that may remove playbacks and connections, put off to the end of the current event: no handler then
  // loses what it works on.
  std::set<ServerId> liveness_checks_due_;
  std::set<ServerId> waiting_servers_;  // with playbacks, but no room for a connection to them
  double earned_evictions_ = 0;         // connections that may pass to waiting servers now
  std::vector<ConnectionId> overflowed_viewers_;
  std::deque<Event> event_queue_;
  bool processing_events_ = false;

  std::unordered_map<ConnectionId, ViewerConnection> viewers_;
  std::vector<ConnectionId> closing_viewers_;
  ConnectionId last_started_viewer_ = 0;       // of the last playback that started; 0: none
  std::vector<std::string> undelivered_ends_;  // sent to the next viewer that sends a message
  std::unordered_map<ConnectionId, ServerConnection> server_connections_;
  ConnectionId next_connection_id_ = 1;
  std::deque<VideoServer> servers_;
  ServerProcesses processes_;
  std::map<std::string, ServerId> server_ids_;
  std::unordered_map<PlaybackId, Playback> playbacks_;
  std::unordered_map<CallId, PlaybackId> playbacks_by_call_;
  PlaybackId next_playback_id_ = 0;
  std::map<std::string, Title> titles_;
  std::vector<TitleId> free_title_ids_;
  TitleId next_title_id_ = 0;
  CallId next_probe_call_ = 0;
  std::deque<UnmatchedRelease> unmatched_releases_;  // oldest first
  Channel channel_;
  ConnectionId channel_connection_ = 0;
  TimerWheel<std::uint64_t>::Handle channel_poll_timer_;
  std::size_t unlogged_refused_messages_ = 0;  // since the last log line
  Duration refused_message_logged_at_{-1};     // negative: never
};

}  // namespace violettide::platform
