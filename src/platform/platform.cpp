#include "platform/platform.h"

#include <algorithm>

#include "platform/platform_internal.h"

namespace violettide::platform {

namespace {

using namespace std::chrono_literals;

// Longer abandon times are cut to this.
constexpr Duration max_shutdown_wait{3s};
// Viewers still send requests for this long after the signal.
constexpr Duration shutdown_min_time{800ms};
// On top of the longest abandon time, by which all requests are answered.
constexpr Duration shutdown_answer_margin{400ms};
// For viewers to read the last answers; the process is killed 0.1 s later.
constexpr Duration shutdown_flush_timeout{200ms};
constexpr int max_shutdown_drains = 4;

// A timer's key holds its kind in the top bits and its payload below.
constexpr unsigned timer_kind_shift = 56;

}  // namespace

Platform::Platform(PlatformConfig config, std::unique_ptr<Decider> decider)
    : config_(std::move(config)), decider_(std::move(decider)), channel_(~config_.seed) {
  if (!decider_)
    decider_ = make_policy_decider(config_.policy, config_.seed);
  next_probe_call_ = config_.seed * 0x9E3779B97F4A7C15u;  // unlikely to collide with the viewers' random ids
}
Platform::~Platform() = default;

ResourceCounts Platform::resource_counts() const {
  return {viewers_.size(), server_connections_.size(), playbacks_.size(), titles_.size(), wheel_.pending()};
}

void Platform::handle(Duration now, const IoEvent& event, std::vector<Action>& actions) {
  // Guards against taking a stall of this process for silence of its peers: after one, pending input is read
  // before any timer expires.
  if (started_ && now - now_ > sweep_interval + stall_threshold)
    timers_deferred_ = true;
  if (std::holds_alternative<InputDrained>(event))
    timers_deferred_ = false;
  now_ = now;
  actions_ = &actions;
  if (!std::exchange(started_, true)) {
    channel_.set_endpoint(config_.channel);
    apply_server_lists(channel_.take_configured_events(config_.known_events), true);
    config_.known_events.clear();
    start_timer(sweep_interval, TimerKind::sweep);
    log("begun", {{"name", config_.name}, {"servers", static_cast<std::int64_t>(servers_.size())}});
  }
  std::vector<std::uint64_t> expired;
  timers_deferred_ ? request_input_drain() : wheel_.advance(now, expired);
  for (const auto timer : expired)
    on_timer({static_cast<TimerKind>(timer >> timer_kind_shift),
              timer & ((std::uint64_t{1} << timer_kind_shift) - 1)});
  std::visit([this](const auto& concrete) { on(concrete); }, event);
  run_deferred_work();
  poll_channel();
  if (const auto next = wheel_.next(); next && *next != next_wakeup_) {
    next_wakeup_ = *next;
    actions.push_back(StartTimer{*next});
  }
}

// Each step starts with nothing in hand, so it may remove playbacks and connections of all kinds.
void Platform::run_deferred_work() {
  while (!liveness_checks_due_.empty() || !overflowed_viewers_.empty()) {
    for (const auto connection : std::exchange(overflowed_viewers_, {}))
      close_overflowed_viewer(connection);
    check_liveness_of_servers();
  }
}

TimerWheel<std::uint64_t>::Handle Platform::start_timer(Duration delay, TimerKind kind,
                                                        std::uint64_t payload) {
  return wheel_.schedule(now_ + delay, static_cast<std::uint64_t>(kind) << timer_kind_shift | payload);
}

void Platform::on_timer(const ExpiredTimer& timer) {
  switch (timer.kind) {
    case TimerKind::decider:
      return process_event(TimerExpired{static_cast<std::uint32_t>(timer.payload)});
    case TimerKind::try_timeout: {
      const auto id = static_cast<PlaybackId>(timer.payload);
      auto* playback = find_playback(id);
      if (!playback || playback->state != Playback::State::trying)
        return;
      // A connection without data since the try was sent may be half-open: its machine may have vanished.
      if (const auto connection = server_connections_.find(playback->connection);
          playback->sent && connection != server_connections_.end()) {
        if (connection->second.last_heard_at <= playback->try_started_at && !connection->second.retired_at)
          retire(playback->connection);
      }
      const auto connection = server_connections_.find(playback->connection);
      const bool dialling = connection != server_connections_.end() && !connection->second.established;
      const auto unsent = dialling ? Outcome::no_connection : Outcome::not_sent;
      return end_try(id, playback->sent ? Outcome::late : unsent, {}, false);
    }
    case TimerKind::dial_timeout: {
      const auto connection = server_connections_.find(static_cast<ConnectionId>(timer.payload));
      if (connection == server_connections_.end() || connection->second.established)
        return;
      drop_server_connection(connection->first, Outcome::no_connection);
      actions_->push_back(Close{static_cast<ConnectionId>(timer.payload), false});
      return;
    }
    case TimerKind::probe_timeout:
      for (auto& [connection_id, connection] : server_connections_) {
        const auto probe =
            std::find_if(connection.probes.begin(), connection.probes.end(), [&](const auto one) {
              return (one & ((std::uint64_t{1} << timer_kind_shift) - 1)) == timer.payload;
            });
        if (probe == connection.probes.end())
          continue;
        const auto server = connection.server;
        connection.probes.erase(probe);
        return process_event(ProbeEnded{server, false, {}});
      }
      return;
    case TimerKind::sweep:
      start_timer(sweep_interval, TimerKind::sweep);
      return sweep();
    case TimerKind::close_scheduled_viewers:
      return close_scheduled_viewers();
    case TimerKind::channel_poll:
      return;  // handle() polls the channel after every event
    case TimerKind::shutdown_deadline:
      shutdown_phase_ = ShutdownPhase::immediate;
      return request_input_drain();
  }
}

void Platform::on(const TimerFired&) { next_wakeup_ = Duration(-1); }

void Platform::sweep() {
  sweep_viewers();
  sweep_servers();
  check_shutdown();
}

// Ends a graceful shutdown when no playback is left.
void Platform::check_shutdown() {
  if (!shutdown_requested_at_ || now_ - *shutdown_requested_at_ < shutdown_min_time)
    return;
  if (!playbacks_.empty() || shutdown_phase_ != ShutdownPhase::none)
    return;
  shutdown_phase_ = ShutdownPhase::when_idle;
  accepted_since_drain_ = false;
  request_input_drain();
}

void Platform::on(const ShutdownRequested&) {
  if (shutdown_requested_at_)
    return;
  shutdown_requested_at_ = now_;
  Duration longest{0};
  for (const auto abandon : config_.abandon_times)
    longest = std::max(longest, abandon);
  start_timer(std::min(longest, max_shutdown_wait) + shutdown_answer_margin, TimerKind::shutdown_deadline);
  log("stopping", {{"playbacks", static_cast<std::int64_t>(playbacks_.size())}});
}

// Guards against leaving requests unread that arrived during a stall of this process: it stops after all
// pending input is read and answered, and leaves viewers time to read the answers.
void Platform::shut_down() {
  if (shutdown_phase_ == ShutdownPhase::when_idle && !playbacks_.empty()) {
    shutdown_phase_ = ShutdownPhase::none;
    return;
  }
  // Input of a newly accepted viewer is read one event loop turn later. The number of turns is bounded, as
  // viewers may keep arriving.
  if (std::exchange(accepted_since_drain_, false) && ++shutdown_drains_ < max_shutdown_drains)
    return request_input_drain();
  std::vector<PlaybackId> unanswered;
  for (const auto& [connection, viewer] : viewers_)
    unanswered.insert(unanswered.end(), viewer.unanswered.begin(), viewer.unanswered.end());
  std::sort(unanswered.begin(), unanswered.end());
  for (const auto id : unanswered) {
    const auto* playback = find_playback(id);
    if (!playback)
      continue;
    send_to_viewer(playback->viewer_connection, end_line(playback->call, cause::reset));
    cancel_request(id);
  }
  std::vector<ConnectionId> all;
  for (const auto& [connection, viewer] : viewers_)
    all.push_back(connection);
  std::sort(all.begin(), all.end());
  for (const auto connection : all) {
    remove_viewer(connection);
    actions_->push_back(Close{connection, true});
  }
  actions_->push_back(StopLoop{shutdown_flush_timeout});
}

// Guards against sending a try for a viewer that has left or to a server that drains, when the unread input
// says so: all pending input is read first.
void Platform::request_input_drain() {
  if (!std::exchange(input_drain_requested_, true))
    actions_->push_back(DrainInput{});
}

void Platform::on(const InputDrained&) {
  input_drain_requested_ = false;
  if (shutdown_phase_ == ShutdownPhase::immediate)
    return shut_down();
  const auto due = std::exchange(tries_awaiting_drain_, {});
  for (const auto id : due) {
    auto* playback = find_playback(id);
    if (!playback || playback->state != Playback::State::trying || playback->sent)
      continue;
    const auto connection = server_connections_.find(playback->connection);
    if (connection != server_connections_.end() && connection->second.established)
      send_try(*playback);
  }
  if (shutdown_phase_ != ShutdownPhase::none)
    shut_down();
}

void Platform::on(const ConfigReloaded& event) {
  auto parsed = parse_platform_config(event.text);
  if (const auto* error = std::get_if<ConfigError>(&parsed))
    return log("reread_passed_over", {{"cause", error->message}});
  const auto& config = std::get<PlatformConfig>(parsed);
  apply_server_lists(channel_.take_configured_events(config.known_events), false);
  channel_.set_endpoint(config.channel);
  log("reread", {{"channel", config.channel->address}, {"last", channel_.last_event()}});
}

// ---- connections ----

void Platform::on(const Accepted& event) {
  if (viewers_.size() >= max_viewer_connections() / 4 * 5) {
    actions_->push_back(Close{event.connection, false});
    return;
  }
  accepted_since_drain_ = true;
  auto& viewer = viewers_[event.connection];
  viewer.accepted_at = viewer.last_heard_at = now_;
  if (viewers_.size() > max_viewer_connections())
    evict_idle_viewers();
}

void Platform::on(const Connected& event) {
  if (event.connection == channel_connection_) {
    actions_->push_back(Send{event.connection, channel_.connected(now_)});
    return;
  }
  const auto found = server_connections_.find(event.connection);
  if (found == server_connections_.end())
    return;
  auto& connection = found->second;
  auto& server = servers_[connection.server];
  connection.established = true;
  connection.established_at = now_;
  connection.last_heard_at = connection.last_used_at = now_;
  record_server_activity(connection);
  if (server.pending_dial == event.connection)
    server.pending_dial = 0;
  server.redial_until = Duration(0);
  if (server.connection && server.connection != event.connection) {
    const auto replaced = server.connection;
    const auto& old = server_connections_.at(replaced);
    if (old.tries.empty() && old.probes.empty())
      finish_sending(replaced);
    else
      retire(replaced);
  }
  server.connection = event.connection;
  for (auto& release : server.queued_releases)
    send_to_server(event.connection, std::move(release.bytes));
  server.queued_releases.clear();
  for (const auto id : server.playing) {
    auto& playback = playbacks_.at(id);
    if (std::exchange(playback.rung_unsent, false))
      send_to_server(event.connection, rung_bytes(playback.call, playback.rung));
  }
  for (const auto probe : connection.probes)
    send_to_server(event.connection, test_bytes(probe));
  for (const auto id : connection.tries)
    send_after_input_drained(id);
}

void Platform::on(const Received& event) {
  if (event.connection == channel_connection_) {
    const auto updates = channel_.received(now_, event.bytes);
    return apply_server_lists(updates, false);
  }
  if (viewers_.contains(event.connection))
    return receive_from_viewer(event.connection, event.bytes);
  if (server_connections_.contains(event.connection))
    receive_from_server(event.connection, event.bytes);
}

void Platform::on(const HalfClosed& event) {
  actions_->push_back(Close{event.connection, true});
  on(Disconnected{event.connection, CloseReason::finished});
}

void Platform::on(const Disconnected& event) {
  if (event.connection == channel_connection_) {
    channel_connection_ = 0;
    return channel_.disconnected(now_);
  }
  if (viewers_.contains(event.connection))
    return remove_viewer(event.connection);
  const auto found = server_connections_.find(event.connection);
  if (found == server_connections_.end())
    return;
  const auto id = found->second.server;
  const bool refused = event.reason == CloseReason::refused && !found->second.established;
  auto& server = servers_[id];
  if (event.reason == CloseReason::local_failure) {
    record_local_dial_failure(id);
    return drop_server_connection(event.connection, Outcome::not_sent, Outcome::not_sent);
  }
  const bool ended_in_order = event.reason == CloseReason::finished;
  ended_in_order ? drop_server_connection(event.connection, Outcome::reset)
                 : drop_broken_connection(event.connection);
  if (refused) {
    if (server.consecutive_dial_refusals++ == 0)
      server.first_dial_refusal_at = now_;
  }
  if (!server.playing.empty())
    request_liveness_check(id);
}

void Platform::on(const Flushed& event) {
  if (const auto found = viewers_.find(event.connection); found != viewers_.end())
    found->second.unsent_bytes = 0;
}

// ---- the decider ----

void Platform::process_event(Event event) {
  event_queue_.push_back(std::move(event));
  if (std::exchange(processing_events_, true))
    return;
  while (!event_queue_.empty()) {
    const auto next = std::move(event_queue_.front());
    event_queue_.pop_front();
    for (const auto& command : decider_->decide(now_, next))
      execute(command);
  }
  processing_events_ = false;
}

void Platform::execute(const Command& command) {
  const auto final_answer = [&](PlaybackId id, int cause, Duration retry_after) {
    auto* playback = find_playback(id);
    if (!playback || playback->state != Playback::State::waiting)
      return;
    const auto viewer = playback->viewer_connection;
    const auto call = playback->call;
    remove_playback(id);
    send_to_viewer(viewer, end_line(call, cause, to_milliseconds(retry_after)));
  };
  std::visit(
      Overloaded{
          [&](const SetUp& o) { start_try(o); },
          [&](const SetRung& set_rung) {
            auto* playback = find_playback(set_rung.playback);
            if (!playback)
              return;
            playback->rung = set_rung.rung;
            if (playback->state != Playback::State::playing)
              return;
            const auto connection = servers_[playback->server].connection;
            playback->rung_unsent = connection == 0;
            if (connection)
              send_to_server(connection, rung_bytes(playback->call, set_rung.rung));
          },
          [&](const Reject& o) { final_answer(o.playback, cause::rejected, o.retry_after); },
          [&](const Abort& o) { final_answer(o.playback, cause::reset, Duration(0)); },
          [&](const Probe& probe) {
            const auto connection_id = connection_for(probe.server, Eviction::unneeded);
            if (connection_id == 0)
              return process_event(ProbeEnded{probe.server, false, {}, !processes_.endpoint(probe.server)});
            const auto probe_call = next_probe_call_++;
            auto& connection = server_connections_.at(connection_id);
            connection.probes.insert(probe_call);
            start_timer(config_.dial_timeout, TimerKind::probe_timeout,
                        probe_call & ((std::uint64_t{1} << timer_kind_shift) - 1));
            if (connection.established)
              send_to_server(connection_id, test_bytes(probe_call));
          },
          [&](const SetTimer& o) { start_timer(o.delay, TimerKind::decider, o.token); },
          [&](const SubscribeServerList&) {},  // the command channel is always followed
      },
      command);
}

// ---- readiness and the command channel ----

// The readiness of this process. Guards against routing viewers to a process that can't serve them.
bool Platform::is_ready() const { return !shutdown_requested_at_ && processes_.has_ready_server(); }

void Platform::poll_channel() {
  for (int turn = 0; turn < 3; ++turn) {
    const auto step = channel_.poll(now_);
    if (step == Channel::Step::none) {
      wheel_.cancel(channel_poll_timer_);
      return void(channel_poll_timer_ = start_timer(channel_.next_poll_at() - now_, TimerKind::channel_poll));
    }
    if (step == Channel::Step::close) {
      log("channel_given_up", {{"cause", channel_.close_cause()}});
      actions_->push_back(Close{channel_connection_, false});
      channel_connection_ = 0;
      channel_.disconnected(now_);
      continue;
    }
    channel_connection_ = next_connection_id_++;
    actions_->push_back(Dial{channel_connection_, channel_.endpoint()->address, channel_.endpoint()->port});
    channel_.dial_started(now_);
  }
}

}  // namespace violettide::platform
