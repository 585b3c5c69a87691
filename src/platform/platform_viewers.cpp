// Connections of viewers and the messages on them.
#include <algorithm>
#include <cmath>
#include <tuple>

#include "platform/platform_internal.h"

namespace violettide::platform {

namespace {

using namespace std::chrono_literals;

// For a viewer to complete its first message, or a partial one.
constexpr Duration message_timeout{2s};
// Between scheduling the close of a viewer's connection and closing it.
constexpr Duration close_delay{20ms};
// By then a new viewer has sent its request, and a viewer that was answered has read the answer.
constexpr Duration eviction_idle_time{250ms};
// For connections without playbacks; viewers close theirs after 4 s.
constexpr Duration viewer_idle_timeout{6s};
// Guards against flooding the log.
constexpr Duration refused_message_log_interval{1s};
constexpr std::size_t max_unsent_bytes = 256 * 1024;
constexpr std::size_t max_description_bytes = 8 * 1024;
constexpr std::size_t max_name_bytes = 256;
// Times the plan's abandon time.
constexpr double max_time_left_factor = 2;

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

}  // namespace

// Guards against viewers that send nothing, send partial messages or never close: they would use up the
// descriptors.
void Platform::sweep_viewers() {
  for (auto& [connection, viewer] : viewers_) {
    const bool carries = !viewer.unanswered.empty() || viewer.playing_count > 0;
    const bool overdue =
        viewer.partial_message_since && now_ - *viewer.partial_message_since > message_timeout;
    if ((!viewer.has_sent_message && now_ - viewer.accepted_at > message_timeout) ||
        (overdue && viewer.unanswered.empty()) ||  // requests before it are owed their answers
        (!carries && now_ - viewer.last_heard_at > viewer_idle_timeout))
      schedule_close(connection, viewer);
  }
}

void Platform::receive_from_viewer(ConnectionId connection, std::string_view bytes) {
  auto& receiving = viewers_.at(connection);
  receiving.last_heard_at = now_;
  std::vector<std::variant<ParseError, ViewerMessage>> messages;
  receiving.reader.feed(bytes, messages);
  update_partial_message_since(receiving, !messages.empty());
  for (auto& message : messages) {
    const auto viewer = viewers_.find(connection);
    if (viewer == viewers_.end() || viewer->second.overflowed)
      return;
    if (const auto* error = std::get_if<ParseError>(&message)) {
      refuse_message(connection, error->call, error->message);
      continue;
    }
    viewer->second.has_sent_message = true;
    viewer->second.closing_since.reset();
    on_viewer_message(connection, viewer->second, std::get<ViewerMessage>(message));
  }
}

// Viewers normally use up to a third of the descriptors; the rest is for servers and the command channel.
std::size_t Platform::max_viewer_connections() const { return config_.max_sockets / 2; }

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
    restart_silence(server);
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

}  // namespace violettide::platform
