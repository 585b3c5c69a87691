#include "platform/platform.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "platform_settings/platform_settings.h"

namespace violettide::platform {

namespace {

using namespace std::chrono_literals;

constexpr Duration sweep_interval{100ms};
// For a viewer to complete its first message, or a partial one.
constexpr Duration message_timeout{2s};
// Between scheduling the close of a viewer's connection and closing it.
constexpr Duration close_delay{20ms};
// A longer delay of timers means that this process was stalled.
constexpr Duration stall_threshold{60ms};
// By then a new viewer has sent its request, and a viewer that was answered has read the answer.
constexpr Duration eviction_idle_time{250ms};
// For connections without playbacks; viewers close theirs after 4 s.
constexpr Duration viewer_idle_timeout{6s};
// A server with playbacks is dialled after this silence.
constexpr Duration redial_after_silence{2s};
// After this silence its playbacks count as lost, unless a dial has succeeded since.
constexpr Duration server_silence_timeout{5500ms};
constexpr Duration redial_interval{500ms};
// For a retired connection, to receive what the server still sends on it.
constexpr Duration retired_lifetime{1s};
// Guards against flooding the log.
constexpr Duration refused_message_log_interval{1s};
// Longer abandon times are cut to this.
constexpr Duration max_shutdown_wait{3s};
// Viewers still send requests for this long after the signal.
constexpr Duration shutdown_min_time{800ms};
// On top of the longest abandon time, by which all requests are answered.
constexpr Duration shutdown_answer_margin{400ms};
// For viewers to read the last answers; the process is killed 0.1 s later.
constexpr Duration shutdown_flush_timeout{200ms};
constexpr std::size_t max_unsent_bytes = 256 * 1024;
constexpr std::size_t max_description_bytes = 8 * 1024;
constexpr std::size_t max_name_bytes = 256;
constexpr std::size_t max_queued_messages = 4096;
constexpr std::size_t max_unmatched_releases = 4096;
// From a server's release of an unknown call to the viewer's handover of that playback.
constexpr Duration unmatched_release_lifetime{10s};
// A single refused dial may be momentary.
constexpr int dial_refusals_until_lost = 2;
constexpr int max_shutdown_drains = 4;
// Times the plan's abandon time.
constexpr double max_time_left_factor = 2;
// Of a server's idle timeout: connections idle for longer carry no set-up.
constexpr double idle_timeout_share = 0.8;
// For the command channel, the listener, the log and the event loop.
constexpr std::size_t reserved_descriptors = 24;

// A timer's key holds its kind in the top bits and its payload below.
constexpr unsigned timer_kind_shift = 56;

std::int64_t to_milliseconds(Duration span) { return span.count() / 1000; }

// Accepts printable ASCII without spaces.
bool is_plain_name(const std::string& text) {
  if (text.empty() || text.size() > max_name_bytes)
    return false;
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

std::optional<int> parse_integer_in_range(const std::string& text, int min, int max) {
  const auto value = parse_non_negative(text);
  if (!value || *value != std::floor(*value) || *value < min || *value > max)
    return std::nullopt;
  return static_cast<int>(*value);
}

Outcome outcome_before_answer(int cause) {
  if (cause == cause::full)
    return Outcome::full;
  if (cause == cause::error)
    return Outcome::error;
  if (cause == cause::not_attempted)
    return Outcome::not_sent;
  return Outcome::reset;
}

Outcome outcome_after_answer(int cause) {
  if (cause == cause::ended)
    return Outcome::served;
  if (cause == cause::cancelled)
    return Outcome::cancelled;
  return Outcome::reset;
}

// Returns 0 for a name that is not in the list.
template <typename List>
int index_in(const List& list, const std::string& name) {
  const auto found = std::find(list.begin(), list.end(), name);
  return found == list.end() ? 0 : static_cast<int>(found - list.begin());
}

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
    for (const auto id : std::exchange(liveness_checks_due_, {}))
      check_server_liveness(id);
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

// Guards against viewers that send nothing, send partial messages or never close: they would use up the
// descriptors. Also closes retired and idle connections to servers, checks the liveness of servers with
// playbacks, and ends a graceful shutdown when no playback is left.
void Platform::sweep() {
  for (auto& [connection, viewer] : viewers_) {
    const bool carries = !viewer.unanswered.empty() || viewer.playing_count > 0;
    if ((!viewer.has_sent_message && now_ - viewer.accepted_at > message_timeout) ||
        (viewer.reader.has_partial_message() && now_ - viewer.last_heard_at > message_timeout) ||
        (!carries && now_ - viewer.last_heard_at > viewer_idle_timeout))
      schedule_close(connection, viewer);
  }
  std::vector<ConnectionId> expired;
  for (auto& [connection_id, connection] : server_connections_) {
    if (connection.retired_at && connection.tries.empty() && now_ - *connection.retired_at > retired_lifetime)
      expired.push_back(connection_id);
  }
  for (const auto connection : expired)
    close_server_connection(connection);
  while (!unmatched_releases_.empty() &&
         now_ - unmatched_releases_.front().received_at > unmatched_release_lifetime)
    unmatched_releases_.pop_front();
  // Guards against a server's idle timeout closing the connection while a set-up is in transit: it would be
  // unknown whether the set-up ran. Also frees unused connections, which servers limit.
  if (config_.idle_timeout > Duration(0)) {
    for (auto& [connection_id, connection] : server_connections_) {
      const bool busy = !connection.established || connection.retired_at || !connection.tries.empty() ||
                        !connection.probes.empty();
      if (!busy && now_ - connection.last_used_at >= idle_timeout_share * config_.idle_timeout)
        retire(connection_id);
    }
  }
  for (ServerId id = 0; id < servers_.size(); ++id) {
    if (!servers_[id].playing.empty() || !servers_[id].queued_releases.empty())
      request_liveness_check(id);
  }
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

// Viewers normally use up to a third of the descriptors; the rest is for servers and the command channel.
std::size_t Platform::max_viewer_connections() const { return config_.max_sockets / 2; }

// What is left after the viewers' maximum, floods included, and the process's own descriptors; at least 1.
std::size_t Platform::max_server_connections() const {
  const auto others = max_viewer_connections() / 4 * 5 + reserved_descriptors;
  return config_.max_sockets > others + 1 ? config_.max_sockets - others : 1;
}

// Guards against floods of connections shutting out regular viewers. Evicts connections that never sent a
// message first, then those without playbacks, the longest idle first; none that was active just now.
void Platform::evict_idle_viewers() {
  std::vector<std::tuple<bool, Duration, ConnectionId>> idle;
  const auto surplus = viewers_.size() - max_viewer_connections() -
                       std::min(closing_viewers_.size(), viewers_.size() - max_viewer_connections());
  for (const auto& [connection, viewer] : viewers_) {
    if (viewer.closing_since || !viewer.unanswered.empty() || viewer.playing_count > 0)
      continue;
    if (now_ - viewer.last_heard_at >= eviction_idle_time)
      idle.emplace_back(viewer.has_sent_message, viewer.last_heard_at, connection);
  }
  std::sort(idle.begin(), idle.end());
  for (std::size_t i = 0; i < std::min(surplus, idle.size()); ++i) {
    const auto connection = std::get<ConnectionId>(idle[i]);
    schedule_close(connection, viewers_.at(connection));
  }
}

// Guards against closing a connection with an unread request: the close is delayed, and a valid message that
// arrives by then cancels it.
void Platform::schedule_close(ConnectionId connection, ViewerConnection& viewer) {
  if (viewer.closing_since)
    return;
  viewer.closing_since = now_;
  if (closing_viewers_.empty())
    start_timer(close_delay, TimerKind::close_scheduled_viewers);
  closing_viewers_.push_back(connection);
}

void Platform::close_scheduled_viewers() {
  std::vector<ConnectionId> still_closing;
  for (const auto connection : closing_viewers_) {
    const auto found = viewers_.find(connection);
    if (found == viewers_.end() || !found->second.closing_since)
      continue;
    const auto waited = now_ - *found->second.closing_since;
    if (waited < close_delay || waited > stall_threshold) {  // a stall: input may be unread
      if (waited > stall_threshold)
        found->second.closing_since = now_;
      still_closing.push_back(connection);
      continue;
    }
    const bool has_sent_message = found->second.has_sent_message;
    remove_viewer(connection);
    actions_->push_back(Close{connection, has_sent_message});  // after sending: its answer may be unread
  }
  closing_viewers_ = std::move(still_closing);
  if (!closing_viewers_.empty())
    start_timer(close_delay, TimerKind::close_scheduled_viewers);
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
  if (server.connection && server.connection != event.connection) {
    if (const auto old = server_connections_.find(server.connection); old != server_connections_.end())
      old->second.retired_at = now_;
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
  if (const auto found = viewers_.find(event.connection); found != viewers_.end()) {
    found->second.last_heard_at = now_;
    std::vector<std::variant<ParseError, ViewerMessage>> messages;
    found->second.reader.feed(event.bytes, messages);
    for (auto& message : messages) {
      const auto viewer = viewers_.find(event.connection);
      if (viewer == viewers_.end() || viewer->second.overflowed)
        return;
      if (const auto* error = std::get_if<ParseError>(&message)) {
        refuse_message(event.connection, error->call, error->message);
        continue;
      }
      viewer->second.has_sent_message = true;
      viewer->second.closing_since.reset();
      on_viewer_message(event.connection, viewer->second, std::get<ViewerMessage>(message));
    }
    return;
  }
  const auto found = server_connections_.find(event.connection);
  if (found == server_connections_.end())
    return;
  found->second.last_heard_at = found->second.last_used_at = now_;
  record_server_activity(found->second);
  std::vector<ServerMessage> messages;
  const auto error = found->second.reader.feed(event.bytes, messages);
  for (auto& message : messages) {
    if (!server_connections_.contains(event.connection))
      return;
    on_server_message(event.connection, message);
  }
  if (!error || !server_connections_.contains(event.connection))
    return;
  log("unreadable",
      {{"server", servers_[server_connections_.at(event.connection).server].name}, {"cause", *error}});
  drop_server_connection(event.connection, Outcome::reset);
  actions_->push_back(Close{event.connection, false});
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
  drop_server_connection(event.connection, Outcome::reset);
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

// ---- viewers ----

// Returns whether the line was sent.
bool Platform::send_to_viewer(ConnectionId connection, std::string line) {
  const auto found = viewers_.find(connection);
  if (found == viewers_.end() || found->second.overflowed)
    return false;
  auto& viewer = found->second;
  viewer.unsent_bytes += line.size();
  // Guards against unbounded buffering for a viewer that reads nothing.
  if (viewer.unsent_bytes > max_unsent_bytes) {
    viewer.overflowed = true;
    overflowed_viewers_.push_back(connection);
    return false;
  }
  actions_->push_back(Send{connection, std::move(line)});
  return true;
}

void Platform::close_overflowed_viewer(ConnectionId connection) {
  if (!viewers_.contains(connection))
    return;  // closed meanwhile for another reason
  remove_viewer(connection);
  actions_->push_back(Close{connection, false});
}

void Platform::on_viewer_message(ConnectionId connection, ViewerConnection& viewer, ViewerMessage& message) {
  for (auto& line : std::exchange(undelivered_ends_, {}))
    actions_->push_back(Send{connection, std::move(line)});
  switch (message.kind) {
    case ViewerMessage::Kind::offer:
      return handle_offer(connection, viewer, message);
    case ViewerMessage::Kind::end:
      return handle_end(connection, message.call);
    case ViewerMessage::Kind::test:
      return void(send_to_viewer(connection, tested_line(message.call, is_ready())));
    case ViewerMessage::Kind::ended:
      return;
    case ViewerMessage::Kind::other:
      return refuse_message(connection, message.call, "op: expected offer, end, ended or test");
  }
}

// Answers an invalid message if it has a call id, and closes the connection. It stays open if the message has
// an id and other playbacks use the connection, as those are owed their answers.
void Platform::refuse_message(ConnectionId connection, std::optional<CallId> call, const std::string& cause) {
  ++unlogged_refused_messages_;
  if (refused_message_logged_at_ < Duration(0) ||
      now_ - refused_message_logged_at_ >= refused_message_log_interval) {
    log("turned_off",
        {{"cause", cause}, {"since_the_last", static_cast<std::int64_t>(unlogged_refused_messages_)}});
    unlogged_refused_messages_ = 0;
    refused_message_logged_at_ = now_;
  }
  if (call)
    send_to_viewer(connection, end_line(*call, platform::cause::invalid_message));
  const auto viewer = viewers_.find(connection);
  if (viewer == viewers_.end() || viewer->second.overflowed)
    return;
  if (call && (!viewer->second.unanswered.empty() || viewer->second.playing_count > 0))
    return;
  remove_viewer(connection);
  actions_->push_back(Close{connection, true});
}

// Returns an error, or fills in the request. `current_server` is the server of a playback that already plays;
// empty for a new set-up.
std::optional<std::string> Platform::parse_offer(const ViewerMessage& message, Request& request,
                                                 std::string& current_server) const {
  const auto field = [&](const char* name) {
    const auto found = message.fields.find(name);
    return found == message.fields.end() ? std::string() : found->second;
  };
  const auto plan = std::find(config_.plans.begin(), config_.plans.end(), field("class"));
  if (plan == config_.plans.end())
    return "with.class: no such plan";
  request.plan = static_cast<int>(plan - config_.plans.begin());
  if (!is_plain_name(field("key")))
    return "with.key: expected a title";
  if (message.fields.contains("hint")) {
    const auto hint = parse_non_negative(field("hint"));
    if (!hint || *hint > 1e10)
      return "with.hint: expected milliseconds";
    request.length = Duration(static_cast<std::int64_t>(*hint * 1000));
  }
  std::map<std::string, std::string> extras;
  const auto text = field("extras");
  for (std::size_t from = 0; from < text.size();) {
    const auto end = std::min(text.find(';', from), text.size());
    const auto pair = text.substr(from, end - from);
    const auto colon = pair.find(':');
    if (colon == std::string::npos)
      return "with.extras: expected name:value";
    extras[pair.substr(0, colon)] = pair.substr(colon + 1);
    from = end + 1;
  }
  const auto home = parse_integer_in_range(extras["home"], 0, std::max(0, config_.policy.cells - 1));
  const auto copies = parse_integer_in_range(extras["copies"], 1, std::max(1, config_.policy.cells));
  const auto top =
      parse_integer_in_range(extras["top"], 0, static_cast<int>(config_.policy.rung_kb.size()) - 1);
  if (!home || !copies || !top)
    return "with.extras: expected home, copies and top within their bounds";
  request.first_cell = *home;
  request.cell_count = *copies;
  request.top = *top;
  current_server = extras["at"];
  if (!current_server.empty() && !is_plain_name(current_server))
    return "with.extras.at: expected a video server";
  // A playback that already plays waits for nothing, so its remaining time is not bounded. For others it may
  // exceed the plan's abandon time somewhat, as a busy viewer sends its message late.
  const auto time_left = parse_non_negative(field("left"));
  const auto plan_ms = static_cast<double>(config_.abandon_times[request.plan].count()) / 1000;
  const auto max_ms = current_server.empty() ? max_time_left_factor * plan_ms : 1e12;
  if (!time_left || *time_left <= 0 || *time_left > max_ms)
    return "with.left: expected milliseconds";
  request.abandon_at = now_ + Duration(static_cast<std::int64_t>(*time_left * 1000));
  if (!message.description || message.description->empty() ||
      message.description->size() > max_description_bytes)
    return "desc: expected a description";
  return std::nullopt;
}

void Platform::handle_offer(ConnectionId connection, ViewerConnection& viewer, ViewerMessage& message) {
  Request request;
  std::string current_server;
  const auto known = playbacks_by_call_.find(message.call);
  if (const auto error = parse_offer(message, request, current_server))
    return refuse_message(connection, message.call, *error);
  if (known != playbacks_by_call_.end()) {
    auto& playback = playbacks_.at(known->second);
    // Guards against a viewer that sends another viewer's id getting the report of that playback's end.
    const bool same = playback.title == message.fields.at("key") && playback.plan == request.plan &&
                      servers_[playback.server].name == current_server;
    if (!current_server.empty() && playback.state == Playback::State::playing && same) {
      // A repeated handover: the end is reported on the newer connection.
      if (playback.viewer_connection == connection)
        return;
      if (const auto old = viewers_.find(playback.viewer_connection); old != viewers_.end())
        --old->second.playing_count;
      playback.viewer_connection = connection;
      ++viewer.playing_count;
      return;
    }
    // Guards against two requests with one id on one connection: they get one answer and no playback.
    if (playback.viewer_connection == connection && playback.state != Playback::State::playing) {
      const auto id = known->second;
      cancel_request(id);
    }
    return refuse_message(connection, message.call, "call: in use");
  }
  // Guards against adopting a playback that its server has just released: a release is not repeated.
  if (!current_server.empty()) {
    const auto release = std::find_if(
        unmatched_releases_.begin(), unmatched_releases_.end(), [&](const UnmatchedRelease& one) {
          return one.call == message.call && servers_[one.server].name == current_server;
        });
    if (release != unmatched_releases_.end())
      return void(send_to_viewer(connection, end_line(message.call, release->cause)));
  }
  const auto id = add_playback(message.call, connection, request, message.fields.at("key"));
  request.playback = id;
  request.title = acquire_title(message.fields.at("key"));
  auto& playback = playbacks_.at(id);
  if (current_server.empty()) {
    playback.description = std::move(*message.description);
    viewer.unanswered.insert(id);
    return process_event(request);
  }
  const auto server = server_id(current_server);
  playback.state = Playback::State::playing;
  playback.server = server;
  playback.rung = config_.policy.plans[request.plan].floor;
  if (servers_[server].playing.empty())
    servers_[server].last_heard_at = now_;
  servers_[server].playing.insert(id);
  ++viewer.playing_count;
  last_started_viewer_ = connection;
  process_event(PlaybackAdopted{request, server});
  request_liveness_check(server);
}

void Platform::handle_end(ConnectionId connection, CallId call) {
  send_to_viewer(connection, ended_line(call));
  const auto known = playbacks_by_call_.find(call);
  if (known == playbacks_by_call_.end())
    return;
  const auto id = known->second;
  const auto& playback = playbacks_.at(id);
  if (playback.state != Playback::State::playing)
    return cancel_request(id);
  send_or_queue_release(playback.server, {release_bytes(call, cause::ended), playback.path});
  end_playback(id, Outcome::cancelled, {}, std::nullopt);
}

// The viewer no longer waits: it is owed no answer, and a running try is cancelled.
void Platform::cancel_request(PlaybackId id) {
  auto* playback = find_playback(id);
  if (!playback)
    return;
  process_event(RequestCancelled{id});
  playback = find_playback(id);
  if (!playback)
    return;
  if (playback->state == Playback::State::trying)
    return end_try(id, Outcome::cancelled, {}, true);
  remove_playback(id);
}

void Platform::remove_viewer(ConnectionId connection) {
  const auto found = viewers_.find(connection);
  if (found == viewers_.end())
    return;
  const auto unanswered = std::move(found->second.unanswered);
  const bool had_playbacks = found->second.playing_count > 0;
  viewers_.erase(found);
  if (last_started_viewer_ == connection)
    last_started_viewer_ = 0;
  for (const auto id : unanswered)
    cancel_request(id);
  if (!had_playbacks)
    return;
  for (auto& [id, playback] : playbacks_) {
    if (playback.viewer_connection == connection)
      playback.viewer_connection = 0;  // the playback continues without a connection
  }
}

// ---- servers ----

ServerId Platform::server_id(const std::string& name) {
  const auto [found, inserted] = server_ids_.try_emplace(name, static_cast<ServerId>(servers_.size()));
  if (inserted) {
    servers_.emplace_back();
    servers_.back().name = name;
  }
  return found->second;
}

ConnectionId Platform::dial(ServerId id, bool for_try) {
  auto& server = servers_[id];
  if (server.pending_dial)
    return server.pending_dial;
  if (!processes_.endpoint(id) || !reserve_server_connection(for_try))
    return 0;
  const auto connection_id = next_connection_id_++;
  auto& connection = server_connections_[connection_id];
  connection.server = id;
  connection.last_heard_at = connection.last_used_at = now_;
  server.pending_dial = connection_id;
  const auto& endpoint = *processes_.endpoint(id);
  actions_->push_back(Dial{connection_id, endpoint.address, endpoint.port});
  start_timer(config_.dial_timeout, TimerKind::dial_timeout, connection_id);
  return connection_id;
}

ConnectionId Platform::connection_for(ServerId id) {
  const auto found = server_connections_.find(servers_[id].connection);
  if (found != server_connections_.end() && found->second.tries.size() < config_.max_tries_per_connection)
    return found->first;
  return dial(id, true);
}

// Guards against connections to servers using up the descriptors of the channel and of viewers: at the limit
// the least recently used one is closed. One to a server with playbacks is closed only in favour of a try.
bool Platform::reserve_server_connection(bool for_try) {
  if (server_connections_.size() < max_server_connections())
    return true;
  ConnectionId evicted = 0;
  std::tuple<bool, Duration, ConnectionId> lowest_rank;
  for (const auto& [connection_id, connection] : server_connections_) {
    if (!connection.established || !connection.tries.empty() || !connection.probes.empty())
      continue;
    const auto& server = servers_[connection.server];
    const bool wanted = !server.playing.empty() || !server.queued_releases.empty();
    const std::tuple rank(wanted, connection.last_used_at, connection_id);
    if ((wanted && !for_try) || (evicted != 0 && rank >= lowest_rank))
      continue;
    evicted = connection_id;
    lowest_rank = rank;
  }
  if (evicted == 0)
    return false;
  close_server_connection(evicted);
  return true;
}

// Guards against counting a lack of descriptors or ports on this machine as silence of the server.
void Platform::record_local_dial_failure(ServerId id) {
  auto& server = servers_[id];
  server.last_heard_at = std::max(server.last_heard_at, now_ - redial_after_silence);
  server.next_dial_at = std::max(server.next_dial_at, now_ + redial_interval);
}

void Platform::send_to_server(ConnectionId connection, std::string bytes) {
  if (const auto found = server_connections_.find(connection); found != server_connections_.end())
    found->second.last_used_at = now_;
  actions_->push_back(Send{connection, std::move(bytes)});
}

void Platform::send_or_queue_release(ServerId id, QueuedRelease release) {
  auto& server = servers_[id];
  if (server.connection)
    return send_to_server(server.connection, std::move(release.bytes));
  if (server.queued_releases.size() < max_queued_messages)
    server.queued_releases.push_back(std::move(release));
  request_liveness_check(id);
}

void Platform::record_server_activity(ServerConnection& connection) {
  if (connection.process_ended)
    return;  // says nothing of the process that followed
  auto& server = servers_[connection.server];
  server.last_heard_at = now_;
  server.consecutive_dial_refusals = 0;
}

// Guards against a handler losing the playback it works on: the check may end all playbacks of the server.
void Platform::request_liveness_check(ServerId id) { liveness_checks_due_.insert(id); }

// Keeps a connection to a server with playbacks, on which it reports their ends. After a time of silence a
// new one is dialled as a health check, as a connection to a vanished machine stays half-open.
void Platform::check_server_liveness(ServerId id) {
  auto& server = servers_[id];
  const bool silent = now_ - server.last_heard_at > redial_after_silence;
  if (server.connection && !silent)
    return;
  const bool silence_timed_out = now_ - server.last_heard_at > server_silence_timeout;
  // A draining process may refuse new connections while its playbacks continue, so refusals count only when
  // no connection is open; the connections of a process that dies are reset.
  const bool refused = server.consecutive_dial_refusals >= dial_refusals_until_lost &&
                       now_ - server.first_dial_refusal_at >= redial_interval / 2 && !has_connection_to(id);
  const bool removed = processes_.state(id) == ServerState::gone && processes_.endpoint(id) != nullptr &&
                       !has_connection_to(id);
  if (silence_timed_out || refused || removed)
    return end_all_playbacks(id, silence_timed_out ? "no sign" : refused ? "refused" : "gone");
  if (server.pending_dial || now_ < server.next_dial_at)
    return;
  server.next_dial_at = now_ + redial_interval;
  if (dial(id, false) == 0 && processes_.endpoint(id))
    record_local_dial_failure(id);
}

// Includes retired connections, on which the server still reports, but none to a process that has ended.
bool Platform::has_connection_to(ServerId id) const {
  return std::any_of(server_connections_.begin(), server_connections_.end(), [&](const auto& connection) {
    return connection.second.server == id && connection.second.established &&
           !connection.second.process_ended;
  });
}

// The connection carries no new set-ups; it is closed after retired_lifetime without tries.
void Platform::retire(ConnectionId connection_id) {
  auto& connection = server_connections_.at(connection_id);
  connection.retired_at = now_;
  auto& server = servers_[connection.server];
  if (server.connection == connection_id)
    server.connection = 0;
}

void Platform::close_server_connection(ConnectionId connection_id) {
  drop_server_connection(connection_id, Outcome::reset);
  actions_->push_back(Close{connection_id, true});
}

void Platform::end_all_playbacks(ServerId id, const char* cause) {
  auto& server = servers_[id];
  server.queued_releases.clear();
  server.consecutive_dial_refusals = 0;
  end_playbacks(id, std::set(server.playing), cause);
}

void Platform::end_playbacks(ServerId id, const std::set<PlaybackId>& ended, const char* cause) {
  const auto& server = servers_[id];
  log("cut", {{"server", server.name},
              {"cause", cause},
              {"playbacks", static_cast<std::int64_t>(ended.size())},
              {"connected", static_cast<std::int64_t>(server.connection != 0)},
              {"silent_ms", to_milliseconds(now_ - server.last_heard_at)}});
  for (const auto playback : ended)
    end_playback(playback, Outcome::reset, {}, cause::reset);
}

void Platform::drop_server_connection(ConnectionId connection_id, Outcome outcome_if_sent,
                                      Outcome outcome_if_unsent) {
  const auto found = server_connections_.find(connection_id);
  if (found == server_connections_.end())
    return;
  auto connection = std::move(found->second);
  server_connections_.erase(found);
  auto& server = servers_[connection.server];
  if (server.connection == connection_id)
    server.connection = 0;
  if (server.pending_dial == connection_id)
    server.pending_dial = 0;
  for (const auto id : connection.tries) {
    auto* playback = find_playback(id);
    if (!playback || playback->state != Playback::State::trying || playback->connection != connection_id)
      continue;
    playback->connection = 0;  // no release is sent: the connection is gone
    end_try(id, playback->sent ? outcome_if_sent : outcome_if_unsent, {}, false);
  }
  const bool sent = connection.established || outcome_if_unsent != Outcome::not_sent;
  for (std::size_t i = 0; i < connection.probes.size(); ++i)
    process_event(ProbeEnded{connection.server, false, {}, sent});
}

void Platform::on_server_message(ConnectionId connection_id, ServerMessage& message) {
  auto& connection = server_connections_.at(connection_id);
  const auto id = connection.server;
  if (message.kind == ServerMessage::Kind::tested) {
    const auto probe = connection.probes.find(message.call);
    if (probe == connection.probes.end())
      return;
    connection.probes.erase(probe);
    return process_event(ProbeEnded{id, message.cause.value_or(0) == 1,
                                    message.load ? read_load_report(*message.load) : LoadReport{}});
  }
  if (message.kind == ServerMessage::Kind::release)
    return on_release(connection_id, message);
  const auto known = playbacks_by_call_.find(message.call);
  // Guards against a playback without a viewer: a server may accept a try that has ended.
  const bool for_nobody = known == playbacks_by_call_.end() || playbacks_.at(known->second).server != id ||
                          playbacks_.at(known->second).state == Playback::State::waiting;
  if (for_nobody && message.kind == ServerMessage::Kind::accept)
    return send_to_server(connection_id, release_bytes(message.call, cause::ended));
  if (for_nobody)
    return;
  auto& playback = playbacks_.at(known->second);
  if (message.kind == ServerMessage::Kind::note) {
    if (connection.process_ended)
      return;
    Measurement measurement;
    measurement.playback = known->second;
    measurement.server = id;
    if (message.note == "kept_up")
      measurement.kind = Measurement::Kind::share;
    else if (message.note == "tier")
      measurement.kind = Measurement::Kind::rung;
    else if (message.note == "wire")
      measurement.kind = Measurement::Kind::link_fill;
    else if (message.note == "trunk")
      measurement.kind = Measurement::Kind::uplink_fill;
    else
      return;
    if (!message.value)
      return;
    measurement.value = *message.value;
    return process_event(measurement);
  }
  if (message.kind != ServerMessage::Kind::accept)
    return;
  if (playback.state != Playback::State::trying || playback.connection != connection_id || !playback.sent)
    return;
  // The session ended with its process, or belongs to a server of another name: it has to be set up anew.
  if (connection.process_ended)
    return end_try(known->second, Outcome::reset, {}, false);
  connection.tries.erase(known->second);
  playback.state = Playback::State::playing;
  playback.path = {connection_id, connection.established_at};
  playback.connection = 0;
  wheel_.cancel(playback.try_timer);
  servers_[id].playing.insert(known->second);
  std::string().swap(playback.description);
  if (const auto viewer = viewers_.find(playback.viewer_connection); viewer != viewers_.end()) {
    viewer->second.unanswered.erase(known->second);
    ++viewer->second.playing_count;
    last_started_viewer_ = playback.viewer_connection;
    send_to_viewer(playback.viewer_connection, accept_line(message.call, *message.description));
  }
  process_event(PlaybackStarted{known->second, id, now_ - playback.try_started_at});
}

void Platform::on_release(ConnectionId connection_id, ServerMessage& message) {
  const auto id = server_connections_.at(connection_id).server;
  send_to_server(connection_id, released_bytes(message.call));
  const auto known = playbacks_by_call_.find(message.call);
  if (known == playbacks_by_call_.end()) {
    unmatched_releases_.push_back({message.call, id, *message.cause, now_});
    if (unmatched_releases_.size() > max_unmatched_releases)
      unmatched_releases_.pop_front();
    return;
  }
  auto& playback = playbacks_.at(known->second);
  if (playback.server != id)
    return;
  const bool believed = message.load && !server_connections_.at(connection_id).process_ended;
  const auto load = believed ? read_load_report(*message.load) : LoadReport{};
  const int cause = *message.cause;
  if (playback.state == Playback::State::trying && playback.connection == connection_id && playback.sent) {
    server_connections_.at(connection_id).tries.erase(known->second);
    playback.connection = 0;
    return end_try(known->second, outcome_before_answer(cause), load, false);
  }
  if (playback.state != Playback::State::playing)
    return;
  const auto outcome = outcome_after_answer(cause);
  end_playback(known->second, outcome, load,
               outcome == Outcome::cancelled ? std::nullopt : std::optional<int>(cause));
}

// ---- playbacks ----

Platform::Playback* Platform::find_playback(PlaybackId id) {
  const auto found = playbacks_.find(id);
  return found == playbacks_.end() ? nullptr : &found->second;
}

PlaybackId Platform::add_playback(CallId call, ConnectionId viewer, const Request& request,
                                  std::string title) {
  const auto id = next_playback_id_++;
  auto& playback = playbacks_[id];
  playback.call = call;
  playback.viewer_connection = viewer;
  playback.plan = request.plan;
  playback.title = std::move(title);
  playbacks_by_call_[call] = id;
  return id;
}

TitleId Platform::acquire_title(const std::string& name) {
  auto [found, inserted] = titles_.try_emplace(name);
  if (inserted && !free_title_ids_.empty()) {
    found->second.id = free_title_ids_.back();
    free_title_ids_.pop_back();
  } else if (inserted) {
    found->second.id = next_title_id_++;
  }
  ++found->second.use_count;
  return found->second.id;
}

void Platform::remove_playback(PlaybackId id) {
  const auto found = playbacks_.find(id);
  if (found == playbacks_.end())
    return;
  auto& playback = found->second;
  if (const auto viewer = viewers_.find(playback.viewer_connection); viewer != viewers_.end()) {
    viewer->second.unanswered.erase(id);
    if (playback.state == Playback::State::playing)
      --viewer->second.playing_count;
  }
  if (playback.state == Playback::State::playing)
    servers_[playback.server].playing.erase(id);
  if (const auto title = titles_.find(playback.title);
      title != titles_.end() && --title->second.use_count == 0) {
    free_title_ids_.push_back(title->second.id);
    titles_.erase(title);
  }
  playbacks_by_call_.erase(playback.call);
  playbacks_.erase(found);
}

void Platform::start_try(const SetUp& command) {
  auto* playback = find_playback(command.playback);
  // Guards against the decider waiting forever for a try whose viewer left while it was decided.
  if (!playback || playback->state != Playback::State::waiting)
    return process_event(TryEnded{command.playback, command.server, Outcome::not_sent, true, {}});
  playback->state = Playback::State::trying;
  playback->server = command.server;
  playback->sent = false;
  playback->try_started_at = now_;
  playback->try_deadline = now_ + command.time_limit;
  playback->connection = connection_for(command.server);
  if (playback->connection == 0 && !processes_.endpoint(command.server))
    return end_try(command.playback, Outcome::no_connection, {}, false);
  // Without a free descriptor the try waits as long as for a dial: if it ended at once, it would be retried
  // at once.
  const auto limit =
      playback->connection ? command.time_limit : std::min(command.time_limit, config_.dial_timeout);
  playback->try_timer = start_timer(limit, TimerKind::try_timeout, command.playback);
  if (playback->connection == 0)
    return;
  auto& connection = server_connections_.at(playback->connection);
  connection.tries.insert(command.playback);
  if (connection.established)
    send_after_input_drained(command.playback);
}

void Platform::send_after_input_drained(PlaybackId id) {
  tries_awaiting_drain_.push_back(id);
  request_input_drain();
}

void Platform::send_try(Playback& playback) {
  const auto wait = std::max<std::int64_t>(1, to_milliseconds(playback.try_deadline - now_));
  playback.sent = true;
  send_to_server(playback.connection,
                 setup_bytes({playback.call, config_.plans[playback.plan], playback.title,
                              playback.description, wait, playback.rung}));
}

// Ends a try that has no answer yet. If it was sent, a release on its connection cancels it at the server.
void Platform::end_try(PlaybackId id, Outcome outcome, const LoadReport& load, bool playback_over) {
  auto& playback = playbacks_.at(id);
  wheel_.cancel(playback.try_timer);
  if (const auto connection = server_connections_.find(playback.connection);
      connection != server_connections_.end()) {
    connection->second.tries.erase(id);
    if (playback.sent)
      send_to_server(playback.connection, release_bytes(playback.call, cause::ended));
  }
  playback.connection = 0;
  playback.state = Playback::State::waiting;
  const auto server = playback.server;
  if (playback_over)
    remove_playback(id);
  process_event(TryEnded{id, server, outcome, playback_over, load});
}

// Guards against losing the report of an end when the playback's connection is closed or reads nothing: it is
// sent on another open connection or, if there is none, on the next one that sends a message.
void Platform::notify_end(const Playback& playback, int cause) {
  const auto line = end_line(playback.call, cause);
  while (const auto connection = connection_for_end(playback)) {
    if (send_to_viewer(connection, line))
      return;
  }
  if (undelivered_ends_.size() < max_queued_messages)
    undelivered_ends_.push_back(line);
}

// Returns 0 if no viewer reads.
ConnectionId Platform::connection_for_end(const Playback& playback) const {
  const auto reads = [&](ConnectionId connection) {
    const auto found = viewers_.find(connection);
    return found != viewers_.end() && !found->second.overflowed;
  };
  if (reads(playback.viewer_connection))
    return playback.viewer_connection;
  if (reads(last_started_viewer_))
    return last_started_viewer_;
  ConnectionId best = 0;
  std::tuple<bool, Duration, ConnectionId> best_rank;
  for (const auto& [connection, viewer] : viewers_) {
    const std::tuple rank(viewer.playing_count > 0, viewer.last_heard_at, connection);
    if (!viewer.has_sent_message || viewer.overflowed || (best != 0 && rank <= best_rank))
      continue;
    best = connection;
    best_rank = rank;
  }
  return best;
}

// Ends a playing playback. `viewer_cause`: the cause to report to the viewer, if a report is owed.
void Platform::end_playback(PlaybackId id, Outcome outcome, const LoadReport& load,
                            std::optional<int> viewer_cause) {
  auto& playback = playbacks_.at(id);
  if (viewer_cause)
    notify_end(playback, *viewer_cause);
  const auto server = playback.server;
  remove_playback(id);
  process_event(TryEnded{id, server, outcome, true, load});
}

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
            const auto connection_id = connection_for(probe.server);
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

// ---- server list and command channel ----

void Platform::apply_server_lists(const std::vector<ServerListUpdate>& updates, bool at_start) {
  for (const auto& update : updates)
    apply_server_list(update, at_start);
  // Guards against sending a try that waited for its connection or for pending input to a server that
  // meanwhile drains or is gone.
  cancel_tries(unsent_tries([this](ConnectionId, const ServerConnection& connection) {
    return processes_.state(connection.server) != ServerState::ready || connection.retired_at;
  }));
}

void Platform::apply_server_list(const ServerListUpdate& update, bool at_start) {
  ServerList list;
  list.kind = !update.snapshot ? ServerList::Kind::changes
              : at_start       ? ServerList::Kind::cached
                               : ServerList::Kind::complete;
  std::vector<ServerId> ids;
  for (const auto& listed : update.servers)
    ids.push_back(server_id(listed.name));
  const auto ends = processes_.apply(update, ids);
  std::set<ServerId> ended;
  for (const auto& end : ends)
    ended.insert(end.server);
  for (std::size_t i = 0; i < ids.size(); ++i)
    servers_[ids[i]].entry = server_entry(ids[i], update.servers[i]);
  auto changed = ids;  // and those that lost their address to one of them
  std::copy_if(ended.begin(), ended.end(), std::back_inserter(changed),
               [&](ServerId id) { return std::find(ids.begin(), ids.end(), id) == ids.end(); });
  for (const auto id : changed) {
    servers_[id].entry.state = processes_.state(id);
    list.entries.push_back(servers_[id].entry);
  }
  for (const auto& end : ends)
    end_process(end);
  process_event(list);
  for (const auto id : ended)
    take_back_from_ended_process(id);
}

ServerEntry Platform::server_entry(ServerId id, const ListedServer& listed) const {
  ServerEntry entry;
  entry.server = id;
  entry.state = listed.state;
  entry.kind = index_in(config_.kinds, listed.kind);
  entry.cell = listed.cell;
  entry.hall = index_in(config_.halls, listed.hall);
  entry.weight = listed.weight;
  if (listed.started_ms != 0)
    entry.started = Duration(listed.started_ms * 1000) - config_.wall_clock_offset;
  return entry;
}

// Connections from then on lead to the successor.
Duration Platform::successor_started_at(const ProcessEnd& end) const {
  if (!end.successor_started_ms)
    return Duration::max();
  return Duration(*end.successor_started_ms * 1000) - config_.wall_clock_offset;
}

// Guards against taking connections to the process that followed for signs of the one that has ended: its
// sessions have ended with it, and their viewers are owed a report.
void Platform::end_process(const ProcessEnd& end) {
  const auto successor_started = successor_started_at(end);
  for (auto& [connection_id, connection] : server_connections_) {
    if (connection.server != end.server || !connection.established)
      continue;
    if (end.successor == end.server && connection.established_at >= successor_started)
      continue;  // leads to the new process
    retire(connection_id);
    connection.process_ended = true;
  }
  end_playbacks_of_process(end, successor_started);
}

// A playback of a server that started anew goes on if it was set up at the new process, before the list told
// of it: the connection that it was set up on leads there.
void Platform::end_playbacks_of_process(const ProcessEnd& end, Duration successor_started) {
  auto& server = servers_[end.server];
  const auto may_run_at_successor = [&](const SetUpPath& path) {
    return !path.established_at || *path.established_at >= successor_started;
  };
  auto queued = std::exchange(server.queued_releases, {});
  std::set<PlaybackId> ended;
  for (const auto id : server.playing) {
    const auto& playback = playbacks_.at(id);
    const auto connection = server_connections_.find(playback.path.connection);
    const bool connected = connection != server_connections_.end();
    if (connected && !connection->second.process_ended)
      continue;
    ended.insert(id);
    auto bytes = release_bytes(playback.call, cause::ended);
    if (connected)
      send_to_server(connection->first, std::move(bytes));
    else
      queued.push_back({std::move(bytes), playback.path});
  }
  server.consecutive_dial_refusals = 0;
  if (!ended.empty())
    end_playbacks(end.server, ended, end.successor == end.server ? "started anew" : "replaced");
  auto& successor = servers_[end.successor];
  if (successor.playing.empty())
    successor.last_heard_at = now_;  // its silence counts from now
  for (auto& release : queued) {
    if (may_run_at_successor(release.path))
      send_or_queue_release(end.successor, std::move(release));
  }
}

// Takes back what was to be sent to the server before its new process was known: tries keep to the pace of
// the new one, a dial may lead to either, and probes at the old one say nothing of the new one.
void Platform::take_back_from_ended_process(ServerId id) {
  const auto dial = servers_[id].pending_dial;
  std::size_t probes = 0;
  for (auto& [connection_id, connection] : server_connections_) {
    if (connection.server == id && connection.process_ended)
      probes += std::exchange(connection.probes, {}).size();
  }
  const auto unsent = unsent_tries([&](ConnectionId connection_id, const ServerConnection& connection) {
    return connection.server == id && connection_id != dial;
  });
  if (server_connections_.contains(dial)) {
    drop_server_connection(dial, Outcome::not_sent, Outcome::not_sent);
    actions_->push_back(Close{dial, false});
  }
  cancel_tries(unsent);
  for (std::size_t i = 0; i < probes; ++i)
    process_event(ProbeEnded{id, false, {}, false});
}

std::vector<PlaybackId> Platform::unsent_tries(
    const std::function<bool(ConnectionId, const ServerConnection&)>& concerned) const {
  std::vector<PlaybackId> unsent;
  for (const auto& [connection_id, connection] : server_connections_) {
    if (!concerned(connection_id, connection))
      continue;
    std::copy_if(connection.tries.begin(), connection.tries.end(), std::back_inserter(unsent),
                 [&](PlaybackId id) { return !playbacks_.at(id).sent; });
  }
  std::sort(unsent.begin(), unsent.end());
  return unsent;
}

void Platform::cancel_tries(const std::vector<PlaybackId>& unsent) {
  for (const auto id : unsent) {
    const auto* playback = find_playback(id);
    if (playback && playback->state == Playback::State::trying && !playback->sent)
      end_try(id, Outcome::not_sent, {}, false);
  }
}

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
