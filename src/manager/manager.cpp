// Viewers' requests, playbacks, connections to boxes, the box list and graceful shutdown. HLS, seats and the
// catalogue are in manager_hls.cpp, manager_seats.cpp and manager_catalogue.cpp.
#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "manager/manager_internal.h"

namespace violettide::manager {

namespace {

// Parts of the abandon time. The policy must decide by the first, which leaves time for the response to reach
// the viewer; if it has not decided by the second, the manager responds by itself.
constexpr double decision_fraction = 0.95;
constexpr double deadline_fraction = 0.975;
constexpr std::size_t max_pipelined_bytes = 64 * 1024;       // unread requests before reading is paused
constexpr std::size_t max_list_bytes = 4 * 1024 * 1024;      // of the box list, and of the token keys
constexpr std::uint64_t max_batch_bytes = 64 * 1024 * 1024;  // of a request to the control port
constexpr std::size_t max_waiting_viewers = 16;              // requests that wait for one set-up
// No event for this long means that the process was stalled: the policy's timer alone fires twice in it.
constexpr Duration stall_threshold{500'000};
constexpr Duration stall_recovery_time{100'000};  // after a stall, to read the input that came during it
constexpr int stall_abandon_times = 3;            // abandon times that a viewer may read nothing for
constexpr Duration measure_interval{1'000'000};
// Shorter deliveries measure the loopback interface, not the box.
constexpr Duration min_measured_time{5'000};
constexpr double kbit_per_kb = 8;
constexpr ConnectionId first_peer_connection = 1u << 30;  // first id of connections to other managers

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
Duration fraction_of(Duration duration, double fraction) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * fraction));
}

// Whether a field is not forwarded: hop-by-hop fields (RFC 9110, 7.6.1), and those that this hop writes
// itself. `connection`: the value of the Connection field.
bool is_hop_by_hop(std::string_view name, std::string_view connection) {
  for (const auto own : {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding",
                         "Upgrade", "Content-Length", "CMSD-Dynamic", "Via"}) {
    if (http::equals_ignoring_case(name, own))
      return true;
  }
  for (std::size_t from = 0; from < connection.size();) {
    const auto end = std::min(connection.find(',', from), connection.size());
    auto option = connection.substr(from, end - from);
    while (!option.empty() && option.front() == ' ')
      option.remove_prefix(1);
    while (!option.empty() && option.back() == ' ')
      option.remove_suffix(1);
    if (http::equals_ignoring_case(name, option))
      return true;
    from = end + 1;
  }
  return false;
}

std::string append_to_list(const std::string& list, const std::string& entry) {
  return list.empty() ? entry : list + ", " + entry;
}

}  // namespace

Manager::Manager(ManagerSettings settings, std::uint64_t seed, std::string cached_box_list,
                 std::unique_ptr<Decider> decider)
    : settings_(std::move(settings)),
      decider_(decider ? std::move(decider) : make_policy_decider(settings_.policy, seed)),
      box_list_(settings_.halls),
      hint_evaluator_(std::max<Duration>(settings_.policy.measurement_delay, settings_.object_duration),
                      settings_.policy.rung_kb),
      cached_box_list_(std::move(cached_box_list)),
      replica_(
          settings_.replica, [this](std::string_view name) { return box_list_.index(name); },
          static_cast<int>(settings_.policy.rung_kb.size())),
      demand_(settings_.demand_capacity, settings_.demand_half_life),
      token_validator_(settings_.entitlement.token_validator),
      url_keys_(settings_.hls.url_keys) {
  settings_.hls.rung_policy.idle_timeout = settings_.idle_timeout;
  random_.seed(static_cast<std::minstd_rand::result_type>(seed % std::minstd_rand::modulus));
}
Manager::~Manager() = default;

ResourceUsage Manager::resource_usage() const {
  return {viewer_connections_.size(), box_connections_.size(),  playbacks_.size(),
          timers_.pending(),          ended_hls_states_.size(), playlist_cache_bytes_};
}

void Manager::log_event(std::string event, std::vector<LogField> fields) {
  actions_->push_back(LogLine{std::move(event), std::move(fields)});
}

void Manager::handle(Duration now, const IoEvent& event, std::vector<Action>& actions) {
  if (started_ && now - now_ > stall_threshold) {
    stall_recovery_until_ = now + stall_recovery_time;
    stall_to_log_ = now - now_;
  }
  now_ = std::max(now_, now);
  actions_ = &actions;
  if (!started_)
    start();
  if (const auto stall = std::exchange(stall_to_log_, Duration(0)); stall > Duration(0))
    log_event("stood_still", {{"ms", stall.count() / 1000}});
  std::visit([this](const auto& concrete_event) { on(concrete_event); }, event);
  process_events();
  expired_timers_.clear();
  timers_.advance(now_, expired_timers_);
  for (std::size_t i = 0; i < expired_timers_.size(); ++i) {
    on_timer(expired_timers_[i]);
    process_events();
  }
  const auto next_due = timers_.next();
  if (next_due && (!next_wakeup_ || *next_wakeup_ <= now_ || *next_due < *next_wakeup_)) {
    next_wakeup_ = std::max(*next_due, now_ + std::chrono::milliseconds(1));
    actions.push_back(StartTimer{*next_wakeup_});
  }
}

void Manager::start() {
  started_ = true;
  if (!cached_box_list_.empty())
    apply_box_list(box_list_.apply_cached(now_, cached_box_list_), "kept");
  // Polls at once if no box is known. Otherwise the first poll is delayed at random, which guards against all
  // managers of a hall that start together polling together.
  start_timer(cached_box_list_.empty()
                  ? Duration(0)
                  : settings_.box_list_interval * static_cast<int>(random_() % 100) / 100,
              TimerKind::box_list_poll, 0);
  if (settings_.has_catalogue && settings_.feed_port != 0)
    start_timer(Duration(0), TimerKind::catalogue_feed_poll, 0);
  start_timer(settings_.object_duration, TimerKind::weighing_tick, 0);
  if (!settings_.peers.managers.empty())
    peers_ = std::make_unique<peers::Peers>(settings_.peers, first_peer_connection);
  if (settings_.entitlement.enabled) {
    auto ledger_settings = settings_.entitlement.ledger;
    ledger_settings.peers.clear();
    for (const auto& peer : settings_.peers.managers)
      ledger_settings.peers.push_back(peer.name);
    if (ledger_settings.peers.empty())
      ledger_settings.peers.push_back(settings_.name);
    ledger_settings.self = settings_.peers.self;
    ledger_ = std::make_unique<entitlement::Ledger>(std::move(ledger_settings),
                                                    settings_.entitlement.restart_number, wall_clock(),
                                                    settings_.entitlement.stored_records);
  }
  if (peers_ || ledger_)
    start_timer(Duration(0), TimerKind::seats_tick, 0);
}

void Manager::on_timer(const Timer& timer) {
  switch (timer.kind) {
    case TimerKind::policy:
      return post_event(TimerExpired{timer.target});
    case TimerKind::box_list_poll:
      return poll_box_list();
    case TimerKind::catalogue_feed_poll:
      return poll_catalogue_feed();
    case TimerKind::feed_long_poll:
      if (const auto found = control_connections_.find(timer.target);
          found != control_connections_.end() && found->second->feed_after)
        send_control_reply(*found->second, cataloguewire::empty_feed_reply(replica_.current()->revision));
      return;
    case TimerKind::seats_tick:
      return on_seats_tick();
    case TimerKind::weighing_tick:
      start_timer(settings_.object_duration, TimerKind::weighing_tick, 0);
      return apply_weighing(hint_evaluator_.handle(now_, hints::Tick{}), 0);
    case TimerKind::try_timeout:
    case TimerKind::box_timeout:
      if (const auto found = box_connections_.find(timer.target); found != box_connections_.end())
        on_box_timeout(*found->second);
      return;
    case TimerKind::setup_deadline: {
      // Guards against a set-up that stays undecided for any reason: the viewer's abandon time is nearly
      // over.
      const auto found = playbacks_.find(timer.target);
      if (found == playbacks_.end() || found->second->playing)
        return;
      auto& playback = *found->second;
      log_event("answered_by_guard", {{"playback", log_id(playback.id)}});
      post_event(RequestCancelled{playback.id});
      if (playback.try_connection) {
        close_box_connection(playback.try_connection);
        post_event(TryEnded{playback.id, playback.server, Outcome::cancelled, true, {}});
      }
      return end_with_response(playback, 504, "the set-up took too long\n", {});
    }
    case TimerKind::playback_idle: {
      const auto found = playbacks_.find(timer.target);
      if (found == playbacks_.end() || found->second->objects_in_flight > 0)
        return;
      log_event("playback_over", {{"playback", log_id(timer.target)}, {"cause", std::string("silence")}});
      post_event(TryEnded{timer.target, found->second->server, Outcome::served, true, {}});
      record_ended_playback(*found->second, hls::EndReason::idle);
      return remove_playback(timer.target);
    }
    case TimerKind::viewer_stalled:
      // Guards against a viewer that reads nothing occupying a connection to a box forever.
      log_event("viewer_stuck", {{"link", static_cast<std::int64_t>(timer.target)}});
      return close_viewer(timer.target, true);
    case TimerKind::request_incomplete:
      return on_request_timeout(timer.target);
    case TimerKind::shutdown_deadline:
      answer_waiting_viewers();
      actions_->push_back(StopLoop{});
      return;
  }
}

// ---- viewers ----

void Manager::on(const Accepted& event) {
  if (peers_ && event.listener == settings_.peer_listener)
    return peers_->on_accepted(now_, event.connection, *actions_);
  if (event.listener != 0) {
    auto control = std::make_unique<ControlConnection>();
    control->id = event.connection;
    // Batches of a bulk load are longer than the limit for viewers' requests.
    http::Limits limits = settings_.http_limits;
    limits.max_request_body_bytes = max_batch_bytes;
    control->reader = http::RequestParser(limits);
    control_connections_.emplace(event.connection, std::move(control));
    return;
  }
  // Guards against running out of memory: new connections over the limit are refused, open ones stay.
  if (viewer_connections_.size() >= settings_.max_viewer_connections || shutting_down_) {
    actions_->push_back(
        Send{event.connection, http::serialize_response_head(503, short_retry_after(), 0, false)});
    actions_->push_back(Close{event.connection, true});
    log_event("viewer_turned_away", {{"cause", std::string(shutting_down_ ? "stopping" : "connections")}});
    return;
  }
  auto viewer = std::make_unique<ViewerConnection>();
  viewer->id = event.connection;
  viewer->reader = http::RequestParser(settings_.http_limits);
  viewer_connections_.emplace(event.connection, std::move(viewer));
}

void Manager::on(const Received& event) {
  if (is_peer_connection(event.connection))
    return on_peer_messages(peers_->on_received(event.connection, event.bytes, *actions_));
  if (event.connection >= first_accepted) {
    if (const auto control = control_connections_.find(event.connection);
        control != control_connections_.end()) {
      control->second->reader.push(event.bytes);
      return process_control_requests(*control->second);
    }
    const auto found = viewer_connections_.find(event.connection);
    if (found == viewer_connections_.end())
      return;  // already closed
    auto& viewer = *found->second;
    viewer.reader.push(event.bytes);
    if (viewer.busy && viewer.reader.buffered_bytes() > max_pipelined_bytes && !viewer.reading_paused) {
      viewer.reading_paused = true;
      actions_->push_back(PauseReading{event.connection});
    }
    return process_requests(viewer);
  }
  const auto found = box_connections_.find(event.connection);
  if (found == box_connections_.end())
    return;  // a response to a request that was cancelled
  auto& connection = *found->second;
  on_box_response(connection, connection.reader.push(event.bytes));
}

void Manager::process_requests(ViewerConnection& viewer) {
  const ConnectionId connection = viewer.id;
  while (!viewer.busy) {
    if (auto request = viewer.reader.next()) {
      timers_.cancel(viewer.request_timer);
      handle_request(viewer, std::move(*request));
      if (!viewer_connections_.contains(connection))
        return;
      continue;
    }
    if (const auto& error = viewer.reader.error()) {
      viewer.busy = viewer.close_after = true;
      log_event("request_malformed", {{"status", std::int64_t{error->status}}, {"cause", error->cause}});
      return respond(viewer, error->status, error->cause + "\n");
    }
    if (viewer.half_closed || shutting_down_)
      return close_viewer(connection, false);
    return await_rest_of_request(viewer);
  }
}

// Guards against viewers that use up the connections by requests that they never complete.
void Manager::await_rest_of_request(ViewerConnection& viewer) {
  if (viewer.reader.has_partial_request() && !timers_.is_pending(viewer.request_timer))
    viewer.request_timer = start_timer(settings_.request_timeout, TimerKind::request_incomplete, viewer.id);
}

void Manager::on_request_timeout(ConnectionId connection) {
  // Guards against blaming a client for a stall of this process: input that came during it is read first.
  if (now_ < stall_recovery_until_)
    return void(timers_.schedule(stall_recovery_until_, {TimerKind::request_incomplete, connection}));
  if (const auto control = control_connections_.find(connection); control != control_connections_.end())
    return on_control_request_timeout(*control->second);
  const auto found = viewer_connections_.find(connection);
  if (found == viewer_connections_.end() || found->second->busy ||
      !found->second->reader.has_partial_request())
    return;
  auto& viewer = *found->second;
  viewer.busy = viewer.close_after = true;
  log_event("request_malformed", {{"status", std::int64_t{408}}, {"cause", std::string("incomplete")}});
  respond(viewer, 408, "the request took too long\n");
}

void Manager::handle_request(ViewerConnection& viewer, http::Request request) {
  viewer.busy = true;
  viewer.retried = false;
  viewer.received_at = now_;
  viewer.request = std::move(request);
  viewer.close_after = !viewer.request.keep_alive || shutting_down_;
  if (viewer.request.method != "GET")
    return respond(viewer, 405, "only GET is supported for media objects\n", {{"Allow", "GET"}});
  viewer.resource = ViewerConnection::Resource::object;
  viewer.delta_update = viewer.blocking_reload = false;
  viewer.hints = hints::parse_cmcd(viewer.request.fields, viewer.request.target);
  viewer.token = ledger_ ? extract_token(viewer.request) : "";
  // A player that gives no session id is identified by its token, so that a retry finds its seat.
  if (!viewer.token.empty() && !viewer.hints.cmcd.session_id)
    viewer.hints.cmcd.session_id =
        "t" + std::to_string(XXH3_64bits(viewer.token.data(), viewer.token.size()));
  const auto result = settings_.hls.enabled() ? parse_hls_request(viewer) : HlsRequestResult::not_hls;
  if (result == HlsRequestResult::answered)
    return;
  if (result == HlsRequestResult::not_hls) {
    auto path = parse_media_path(settings_, viewer.request.target);
    if (const auto* error = std::get_if<PathError>(&path))
      return respond(viewer, 404, error->cause + "\n");
    viewer.media_path = std::move(std::get<MediaPath>(path));
  }
  const auto* trace_context = http::find(viewer.request.fields, "traceparent");
  viewer.trace_context = trace_context ? *trace_context : "";
  if (!viewer.hints.errors.empty()) {
    const auto& first_fault = viewer.hints.errors.front();
    log_event("hints_left_out", {{"count", static_cast<std::int64_t>(viewer.hints.errors.size())},
                                 {"key", first_fault.key},
                                 {"cause", first_fault.cause}});
  }
  dispatch_to_playback(viewer);
}

// Finds the playback that a request belongs to, then waits for its set-up or fetches from its box.
void Manager::dispatch_to_playback(ViewerConnection& viewer) {
  if (shutting_down_)
    return respond(viewer, 503, "this front is shutting down\n", short_retry_after());
  const bool by_address = viewer.resource > ViewerConnection::Resource::multivariant_playlist ||
                          viewer.claims.scope == signed_url::Claims::Scope::multivariant;
  if (viewer.resource != ViewerConnection::Resource::object && by_address && !adopt_playback(viewer))
    return;
  auto& playback = find_or_create_playback(viewer);
  viewer.playback_id = playback.id;
  if (viewer.resource != ViewerConnection::Resource::object)
    attach_hls_state(playback);
  if (!playback.playing) {
    // Guards against an unbounded number of requests with one session id waiting for a slow set-up.
    if (playback.waiting_viewers.size() >= max_waiting_viewers) {
      viewer.playback_id.reset();
      if (may_have_been_charged(playback))
        return respond(viewer, 502, "too many requests are waiting for this set-up\n");
      return respond(viewer, 503, "too many requests are waiting for this set-up\n", short_retry_after());
    }
    viewer.waits_for_setup = true;
    playback.waiting_viewers.push_back(viewer.id);
    if (playback.waiting_viewers.size() == 1 && playback.tries == 0 &&
        playback.setup_requested_at == Duration(-1))
      request_setup(playback);
    return;
  }
  if (ledger_)
    renew_token(playback, viewer);
  const auto id = playback.id;
  apply_weighing(hint_evaluator_.handle(now_, hints::CmcdReceived{id, playback.server, viewer.hints.cmcd,
                                                                  rate_kb(playback, playback.rung)}),
                 playback.server);
  if (viewer.resource != ViewerConnection::Resource::object && !admit_hls_request(viewer, playback))
    return;
  fetch_from_box(viewer, playback);
}

std::string Manager::playback_key(int plan, const std::string& title, const std::string& viewer) {
  return std::to_string(plan) + '/' + title + '/' + viewer;
}

http::Fields Manager::short_retry_after() {
  const auto max_seconds = std::chrono::floor<std::chrono::seconds>(settings_.policy.max_retry_after).count();
  const auto range = static_cast<std::uint64_t>(std::clamp<std::int64_t>(max_seconds, 1, 3));
  return {{"Retry-After", std::to_string(1 + random_() % range)}};
}

// Whether the plan charges at set-up and a set-up may have run. A 503 would then send the viewer elsewhere,
// to a second paid set-up.
bool Manager::may_have_been_charged(const Playback& playback) const {
  return settings_.policy.plans[playback.plan].pay_at_setup &&
         (playback.playing || playback.try_connection != 0);
}

// A playback is identified by plan, title and session id. Without a session id the viewer's connection takes
// its place, and the playback ends with the connection.
Manager::Playback& Manager::find_or_create_playback(ViewerConnection& viewer) {
  const auto& session_id = viewer.hints.cmcd.session_id;
  auto key = playback_key(viewer.media_path.plan, viewer.media_path.title,
                          session_id ? "s" + *session_id : "l" + std::to_string(viewer.id));
  if (const auto found = playback_by_key_.find(key); found != playback_by_key_.end())
    return *playbacks_.at(found->second);
  auto new_playback = std::make_unique<Playback>();
  auto& playback = *new_playback;
  playback.id = next_playback_++;
  playback.key = key;
  playback.plan = viewer.media_path.plan;
  playback.title = viewer.media_path.title;
  playback.bound_to_connection = !session_id;
  playback.session_id = session_id ? *session_id : settings_.name + "-" + std::to_string(viewer.id);
  playback.setup_requested_at = Duration(-1);
  auto [title, inserted] = title_ids_.try_emplace(playback.title, 0);
  if (inserted) {
    if (free_title_ids_.empty())
      free_title_ids_.push_back(static_cast<TitleId>(title_ids_.size() - 1));
    title->second = free_title_ids_.back();
    free_title_ids_.pop_back();
  }
  playback.title_id = title->second;
  ++title_uses_[playback.title_id];
  playback_by_key_.emplace(std::move(key), playback.id);
  playbacks_.emplace(playback.id, std::move(new_playback));
  return playback;
}

// Builds the policy's request. Absent if the catalogue has no recording or rendition to play; the playback
// has then ended with a 404.
std::optional<Request> Manager::make_setup_request(Playback& playback, const ViewerConnection& viewer) {
  const auto& plan = settings_.policy.plans[playback.plan];
  HolderCells holders;
  violettide::HolderList listed_holders;
  int top = plan.top;
  if (settings_.has_catalogue) {
    const auto id = replica_.current()->id(playback.title);
    const auto* entry = id ? replica_.current()->find(*id) : nullptr;
    const auto highest = entry ? entry->rung_within(plan.floor, plan.top) : std::nullopt;
    if (!highest) {
      end_with_response(
          playback, 404,
          entry ? "no rendition within the rungs of this plan\n" : "no recording of that title\n", {});
      return std::nullopt;
    }
    top = *highest;
    holders.length = entry->length();
    listed_holders = entry->holders;
    playback.recording = *id;
    setups_by_recording_[*id].insert(playback.id);
    demand_.record_request(now_, *id);
  } else {
    holders = holder_cells(settings_, playback.title);
  }
  // A set-up requested again after a loss has only the rest of its viewer's abandon time.
  const Duration remaining = settings_.plans[playback.plan].abandon_time - (now_ - viewer.received_at);
  Request request;
  request.playback = playback.id;
  request.plan = playback.plan;
  request.title = playback.title_id;
  request.abandon_at = now_ + fraction_of(remaining, decision_fraction);
  request.length = holders.length;
  request.first_cell = holders.first_cell;
  request.cell_count = holders.cell_count;
  request.listed_holders = listed_holders;
  request.top = hint_evaluator_.max_rung(viewer.hints.cmcd, plan.floor, top, plan.rate_scale);
  playback.rung = plan.floor;
  return request;
}

void Manager::request_setup(Playback& playback) {
  playback.setup_requested_at = now_;
  const auto& viewer = *viewer_connections_.at(playback.waiting_viewers.front());
  const auto request = make_setup_request(playback, viewer);
  if (!request)
    return;
  const Duration remaining = settings_.plans[playback.plan].abandon_time - (now_ - viewer.received_at);
  playback.setup_deadline_timer =
      start_timer(fraction_of(remaining, deadline_fraction), TimerKind::setup_deadline, playback.id);
  log_event("playback_asked", {{"playback", log_id(playback.id)},
                               {"plan", settings_.plans[playback.plan].name},
                               {"title", playback.title},
                               {"sid", playback.session_id},
                               {"top", std::int64_t{request->top}}});
  playback.pending_request = *request;
  if (ledger_)
    return claim_seat(playback);
  post_event(*request);
}

void Manager::respond(ViewerConnection& viewer, int status, const std::string& text,
                      const http::Fields& extra_fields) {
  http::Fields fields{{"Via", "1.1 " + settings_.name}};
  if (!http::find(extra_fields, "Content-Type"))
    fields.emplace_back("Content-Type", "text/plain");
  fields.insert(fields.end(), extra_fields.begin(), extra_fields.end());
  const bool head_only = viewer.request.method == "HEAD";  // its response has no body (RFC 9110, 9.3.2)
  send_to_viewer(viewer, http::serialize_response_head(status, fields, text.size(), !viewer.close_after) +
                             (head_only ? "" : text));
  finish_response(viewer);
}

// The response is complete: the next request of this connection may be read.
void Manager::finish_response(ViewerConnection& viewer) {
  viewer.busy = viewer.waits_for_setup = viewer.head_sent = viewer.chunked = false;
  viewer.playback_id.reset();
  viewer.box_connection = 0;
  if (viewer.close_after)
    return close_viewer(viewer.id, false);
  if (viewer.reading_paused) {
    viewer.reading_paused = false;
    actions_->push_back(ResumeReading{viewer.id});
  }
  // Pipelined requests are read only after the current event is processed, so that no playback is removed
  // while it is in use.
  if (viewer.reader.buffered_bytes() > 0 || viewer.reader.error() || viewer.half_closed || shutting_down_)
    viewers_to_read_.insert(viewer.id);
}

void Manager::close_viewer(ConnectionId connection, bool reset) {
  const auto found = viewer_connections_.find(connection);
  if (found == viewer_connections_.end())
    return;
  const auto viewer = std::move(found->second);
  viewer_connections_.erase(found);
  timers_.cancel(viewer->stall_timer);
  timers_.cancel(viewer->request_timer);
  actions_->push_back(Close{connection, !reset});
  on_viewer_closed(*viewer);
  if (shutting_down_ && viewer_connections_.empty())
    actions_->push_back(StopLoop{});
}

// After a viewer's connection closed: cancels the set-up that only it waited for, and its transfer.
void Manager::on_viewer_closed(ViewerConnection& viewer) {
  if (viewer.box_connection) {
    if (const auto found = box_connections_.find(viewer.box_connection); found != box_connections_.end()) {
      auto& connection = *found->second;
      if (connection.purpose == ConnectionPurpose::setup_try)
        connection.viewer_connection = 0;  // other viewers may wait for this try
      else
        close_box_connection(viewer.box_connection);
    }
  }
  PlaybackId id = 0;
  if (viewer.playback_id) {
    id = *viewer.playback_id;
  } else {
    const auto bound = playback_by_connection_.find(viewer.id);
    if (bound == playback_by_connection_.end())
      return;
    id = bound->second;
  }
  playback_by_connection_.erase(viewer.id);
  const auto found = playbacks_.find(id);
  if (found == playbacks_.end())
    return;
  auto& playback = *found->second;
  if (playback.playing) {
    if (viewer.busy && playback.objects_in_flight > 0)
      --playback.objects_in_flight;
    if (!playback.bound_to_connection)
      return restart_idle_timer(playback);
    log_event("playback_over",
              {{"playback", log_id(id)}, {"cause", std::string("viewer connection closed")}});
    post_event(TryEnded{id, playback.server, Outcome::served, true, {}});
    return remove_playback(id);
  }
  std::erase(playback.waiting_viewers, viewer.id);
  if (!playback.waiting_viewers.empty())
    return;
  log_event("playback_withdrawn", {{"playback", log_id(id)}});
  post_event(RequestCancelled{id});
  if (playback.try_connection) {
    close_box_connection(playback.try_connection);
    post_event(TryEnded{id, playback.server, Outcome::cancelled, true, {}});
  }
  remove_playback(id);
}

void Manager::on(const HalfClosed& event) {
  if (is_peer_connection(event.connection)) {
    actions_->push_back(Close{event.connection, false});
    return peers_->on_closed(now_, event.connection);
  }
  if (event.connection < first_accepted)
    return on(Disconnected{event.connection, CloseReason::finished});
  if (control_connections_.contains(event.connection))
    return on_control_closed(event.connection);
  const auto found = viewer_connections_.find(event.connection);
  if (found == viewer_connections_.end())
    return;
  // A viewer that closed and one that only stopped writing can't be told apart, so open requests are
  // answered.
  found->second->half_closed = true;
  if (!found->second->busy)
    process_requests(*found->second);
}

void Manager::on(const Flushed& event) {
  const auto found = viewer_connections_.find(event.connection);
  if (found == viewer_connections_.end())
    return;
  auto& viewer = *found->second;
  viewer.unsent_bytes = 0;
  timers_.cancel(viewer.stall_timer);
  const auto box = box_connections_.find(viewer.box_connection);
  if (box == box_connections_.end() || !box->second->reading_paused)
    return;
  box->second->reading_paused = false;
  actions_->push_back(ResumeReading{viewer.box_connection});
}

void Manager::send_to_viewer(ViewerConnection& viewer, std::string bytes) {
  viewer.unsent_bytes += bytes.size();
  actions_->push_back(Send{viewer.id, std::move(bytes)});
  if (viewer.unsent_bytes <= settings_.max_unsent_bytes)
    return;
  // Backpressure: reading from the box is paused until the viewer has read.
  const auto found = box_connections_.find(viewer.box_connection);
  if (found == box_connections_.end() || found->second->reading_paused)
    return;
  auto& box = *found->second;
  box.reading_paused = box.paused_since_measure = true;
  actions_->push_back(PauseReading{box.id});
  viewer.stall_timer = start_timer(stall_abandon_times * settings_.plans[viewer.media_path.plan].abandon_time,
                                   TimerKind::viewer_stalled, viewer.id);
}

void Manager::send_response_head(ViewerConnection& viewer, BoxConnection& box,
                                 const http::ResponseHead& head) {
  const auto* connection = http::find(head.fields, "Connection");
  http::Fields fields;
  for (const auto& [name, value] : head.fields) {
    if (!is_hop_by_hop(name, connection ? *connection : ""))
      fields.emplace_back(name, value);
  }
  fields.emplace_back("Via",
                      append_to_list(http::combined_value(head.fields, "Via"), "1.1 " + settings_.name));
  hints::CmsdDynamic own_cmsd;
  own_cmsd.server = settings_.name;
  own_cmsd.response_delay = (now_ - box.sent_at).count() / 1000;
  if (viewer.playback_id) {
    if (const auto found = playbacks_.find(*viewer.playback_id); found != playbacks_.end()) {
      const auto& playback = *found->second;
      const int rung = playback.hls ? playback.hls->rung_policy.listed() : playback.rung;
      own_cmsd.max_suggested_bitrate = std::llround(rate_kb(playback, rung) * kbit_per_kb);
    }
  }
  fields.emplace_back("CMSD-Dynamic", hints::append_cmsd_entry(box.cmsd_dynamic, own_cmsd));
  viewer.chunked = !head.content_length && viewer.request.version >= 11;
  if (!head.content_length && !viewer.chunked)
    viewer.close_after = true;
  viewer.head_sent = true;
  send_to_viewer(viewer, http::serialize_response_head(head.status, fields, head.content_length,
                                                       !viewer.close_after, viewer.chunked));
}

// ---- playbacks ----

// The lower of the requested rung and the one in force, but not under the plan's floor. If the recording
// lacks it: the next lower rung that exists, else the next higher.
int Manager::effective_rung(const Playback& playback, int requested) const {
  const int floor = settings_.policy.plans[playback.plan].floor;
  const int rung = std::max(floor, std::min(playback.rung, requested));
  const auto* entry = catalogue_entry(playback);
  if (!entry)
    return rung;
  if (const auto lower = entry->rung_within(floor, rung))
    return *lower;
  for (int above = rung + 1; above < static_cast<int>(settings_.policy.rung_kb.size()); ++above) {
    if (entry->rung_within(above, above))
      return above;
  }
  return rung;
}

// A rung's rate in kB/s: from the catalogue if it has it, else from the ladder.
double Manager::rate_kb(const Playback& playback, int rung) const {
  const auto& rates = settings_.policy.rung_kb;
  const auto index = std::min(static_cast<std::size_t>(std::max(0, rung)), rates.size() - 1);
  const auto* entry = catalogue_entry(playback);
  const auto actual = entry ? entry->kb_per_s(static_cast<int>(index)) : std::nullopt;
  return actual ? *actual : rates[index] * settings_.policy.plans[playback.plan].rate_scale;
}

void Manager::end_with_response(Playback& playback, int status, const std::string& text,
                                const http::Fields& extra_fields) {
  log_event("playback_ended", {{"playback", log_id(playback.id)},
                               {"status", std::int64_t{status}},
                               {"tries", std::int64_t{playback.tries}}});
  const auto waiting = std::move(playback.waiting_viewers);
  playback.waiting_viewers.clear();
  if (playback.try_connection)
    close_box_connection(playback.try_connection);
  remove_playback(playback.id);
  for (const auto viewer_id : waiting) {
    const auto found = viewer_connections_.find(viewer_id);
    if (found == viewer_connections_.end())
      continue;
    found->second->playback_id.reset();
    found->second->box_connection = 0;
    respond(*found->second, status, text, extra_fields);
  }
}

void Manager::remove_playback(PlaybackId id) {
  const auto found = playbacks_.find(id);
  if (found == playbacks_.end())
    return;
  auto& playback = *found->second;
  timers_.cancel(playback.setup_deadline_timer);
  timers_.cancel(playback.idle_timer);
  awaiting_keys_.erase(id);
  const auto seat = playback.seat;
  if (playback.recording) {
    if (auto setups = setups_by_recording_.find(*playback.recording); setups != setups_by_recording_.end()) {
      setups->second.erase(id);
      if (setups->second.empty())
        setups_by_recording_.erase(setups);
    }
  }
  playback_by_key_.erase(playback.key);
  if (--title_uses_[playback.title_id] == 0) {
    title_uses_.erase(playback.title_id);
    free_title_ids_.push_back(playback.title_id);
    title_ids_.erase(playback.title);
  }
  hint_evaluator_.handle(now_, hints::PlaybackEnded{id});
  playbacks_.erase(found);
  if (seat) {
    playback_by_seat_.erase(*seat);
    handle_ledger_event(entitlement::PlaybackEnded{*seat});
  }
}

// The box of a running playback failed: reports that to the policy and ends the playback. The viewer's next
// request starts a new one.
void Manager::on_box_lost(Playback& playback, Outcome outcome) {
  log_event("playback_lost",
            {{"playback", log_id(playback.id)}, {"box", box_list_.box(playback.server).name}});
  record_ended_playback(playback, hls::EndReason::lost);
  post_event(TryEnded{playback.id, playback.server, outcome, true, {}});
  remove_playback(playback.id);
}

// Starts the idle timer once no object is in flight. Its time covers the player's buffer: a player with a
// full buffer makes no requests.
void Manager::restart_idle_timer(Playback& playback) {
  timers_.cancel(playback.idle_timer);
  if (playback.objects_in_flight > 0)
    return;
  const Duration timeout =
      playback.hls ? playback.hls->rung_policy.idle_timeout()
                   : std::max(settings_.idle_timeout, playback.buffer_length + 2 * settings_.object_duration);
  playback.idle_timer = start_timer(timeout, TimerKind::playback_idle, playback.id);
}

// ---- boxes ----

http::Fields Manager::box_request_fields(const ViewerConnection* viewer, const Playback* playback,
                                         bool set_up) const {
  http::Fields fields{{"Host", "box"}, {"Via", "1.1 " + settings_.name}};
  if (playback) {
    hints::Cmcd forwarded = viewer ? viewer->hints.cmcd : hints::Cmcd{};
    forwarded.session_id = playback->session_id;
    forwarded.startup = set_up;  // lets the box tell a set-up from a later object
    for (auto& field : hints::serialize_cmcd_headers(forwarded))
      fields.push_back(std::move(field));
  }
  if (viewer && !viewer->trace_context.empty())
    fields.emplace_back("traceparent", viewer->trace_context);
  if (viewer) {
    const bool playlist = viewer->resource == ViewerConnection::Resource::multivariant_playlist ||
                          viewer->resource == ViewerConnection::Resource::media_playlist;
    const auto* range = http::find(viewer->request.fields, "Range");
    if (playlist)
      fields.emplace_back("Accept-Encoding", "gzip");
    else if (range)
      fields.emplace_back("Range", *range);
  }
  return fields;
}

// Takes an idle connection from the box's pool, or opens a new one. Null if the pool is at its limit.
Manager::BoxConnection* Manager::acquire_connection(ServerId server, ConnectionPurpose purpose,
                                                    bool force_new) {
  if (server >= box_list_.size())
    return nullptr;
  if (idle_connections_.size() <= server)
    idle_connections_.resize(server + 1), open_connections_.resize(server + 1, 0);
  auto& idle = idle_connections_[server];
  if (!force_new && !idle.empty()) {
    auto& pooled = *box_connections_.at(idle.back());
    idle.pop_back();
    pooled.purpose = purpose;
    pooled.reused = true;
    return &pooled;
  }
  if (open_connections_[server] >= settings_.max_connections_per_box)
    return nullptr;
  const auto& box = box_list_.box(server);
  auto new_connection = std::make_unique<BoxConnection>();
  auto& connection = *new_connection;
  connection.id = next_connection_;
  next_connection_ = next_connection_ + 1 < first_peer_connection ? next_connection_ + 1 : 1;
  connection.server = server;
  connection.purpose = purpose;
  ++open_connections_[server];
  box_connections_.emplace(connection.id, std::move(new_connection));
  actions_->push_back(Dial{connection.id, box.address, box.port});
  connection.connect_timer = start_timer(settings_.connect_timeout, TimerKind::box_timeout, connection.id);
  return &connection;
}

void Manager::send_request(BoxConnection& connection, std::string text) {
  connection.sent_at = now_;
  connection.head_received = false;
  connection.body.clear();
  connection.received_bytes = connection.measured_bytes = 0;
  connection.paused_since_measure = false;
  if (connection.connected)
    actions_->push_back(Send{connection.id, std::move(text)});
  else
    connection.unsent_request = std::move(text);
}

void Manager::on(const Connected& event) {
  const auto found = box_connections_.find(event.connection);
  if (found == box_connections_.end())
    return;
  auto& connection = *found->second;
  connection.connected = true;
  timers_.cancel(connection.connect_timer);
  actions_->push_back(Send{connection.id, std::move(connection.unsent_request)});
  connection.unsent_request.clear();
}

void Manager::start_try(const SetUp& command) {
  const auto found = playbacks_.find(command.playback);
  // Guards against a set-up for a playback whose viewers are all gone: nothing is sent, which is reported to
  // the policy.
  if (found == playbacks_.end() || found->second->waiting_viewers.empty())
    return post_event(TryEnded{command.playback, command.server, Outcome::not_sent, true, {}});
  auto& playback = *found->second;
  ++playback.tries;
  playback.server = command.server;
  playback.last_try_timed_out = false;
  auto& viewer = *viewer_connections_.at(playback.waiting_viewers.front());
  // A reused connection may fail after the request was written, and whether the set-up ran is then unknown. A
  // plan that charges at set-up gets a new connection: if that fails to open, nothing ran.
  const bool force_new = settings_.policy.plans[playback.plan].pay_at_setup;
  auto* connection = acquire_connection(command.server, ConnectionPurpose::setup_try, force_new);
  if (!connection)
    return post_event(TryEnded{playback.id, command.server, Outcome::not_sent, false, {}});
  connection->playback_id = playback.id;
  connection->viewer_connection = viewer.id;
  const auto target = box_request_target(viewer, playback, *connection);
  connection->response_timer = start_timer(command.time_limit, TimerKind::try_timeout, connection->id);
  playback.try_connection = connection->id;
  viewer.box_connection = connection->id;
  log_event("try_sent", {{"playback", log_id(playback.id)},
                         {"box", box_list_.box(command.server).name},
                         {"rung", std::int64_t{connection->rung}},
                         {"try", std::int64_t{playback.tries}}});
  connection->reader.expect(false);
  send_request(*connection,
               http::serialize_request_head("GET", target, box_request_fields(&viewer, &playback, true)));
}

void Manager::start_probe(ServerId server) {
  auto* connection = acquire_connection(server, ConnectionPurpose::probe, false);
  if (!connection)
    return post_event(ProbeEnded{server, false, {}});
  connection->response_timer = start_timer(settings_.probe_timeout, TimerKind::box_timeout, connection->id);
  connection->reader.expect(true);
  send_request(*connection,
               http::serialize_request_head("HEAD", "/", box_request_fields(nullptr, nullptr, false)));
}

// Requests an object or a playlist of a running playback.
void Manager::fetch_from_box(ViewerConnection& viewer, Playback& playback) {
  timers_.cancel(playback.idle_timer);
  if (const auto& reported = viewer.hints.cmcd.buffer_length)
    playback.buffer_length = std::chrono::milliseconds(std::min<std::int64_t>(*reported, 60'000));
  ++playback.objects_in_flight;
  auto* connection = acquire_connection(playback.server, ConnectionPurpose::object, viewer.retried);
  if (!connection) {
    --playback.objects_in_flight;
    restart_idle_timer(playback);
    if (may_have_been_charged(playback))
      return respond(viewer, 502, "the connection pool of the box is exhausted\n");
    return respond(viewer, 503, "the connection pool of the box is exhausted\n", short_retry_after());
  }
  viewer.box_connection = connection->id;
  connection->playback_id = playback.id;
  connection->viewer_connection = viewer.id;
  const auto target = box_request_target(viewer, playback, *connection);
  // A timeout as long as the startup target leaves time to try another box. A blocking playlist reload also
  // waits for its segment.
  Duration timeout = settings_.policy.plans[playback.plan].startup_target;
  if (viewer.blocking_reload && playback.hls)
    timeout += 3 * playback.hls->target_duration;
  connection->response_timer = start_timer(timeout, TimerKind::box_timeout, connection->id);
  connection->reader.expect(false);
  send_request(*connection,
               http::serialize_request_head("GET", target, box_request_fields(&viewer, &playback, false)));
}

void Manager::on_box_response(BoxConnection& connection, http::ResponseParser::Part part) {
  const ConnectionId id = connection.id;
  if (part.error && !part.head && !part.done) {
    log_event("box_malformed",
              {{"box", connection.purpose == ConnectionPurpose::box_list         ? std::string("list")
                       : connection.purpose == ConnectionPurpose::catalogue_feed ? std::string("feed")
                       : connection.purpose == ConnectionPurpose::token_keys
                           ? std::string("issuer")
                           : box_list_.box(connection.server).name},
               {"cause", part.error->cause}});
    if (connection.purpose == ConnectionPurpose::idle)
      return close_box_connection(id);
    return on_box_failure(connection, connection.head_received ? Outcome::reset : Outcome::error);
  }
  if (connection.purpose == ConnectionPurpose::idle)
    return close_box_connection(id);
  // Unrequested bytes after a response: the connection can't be reused.
  if (part.error)
    connection.keep_alive = false;
  if (part.head) {
    connection.head_received = true;
    connection.head_received_at = connection.measured_at = now_;
    connection.status = part.head->status;
    connection.keep_alive = connection.keep_alive && part.head->keep_alive;
  }
  switch (connection.purpose) {
    case ConnectionPurpose::box_list:
    case ConnectionPurpose::catalogue_feed:
    case ConnectionPurpose::token_keys:
      return collect_service_response(connection, part);
    case ConnectionPurpose::probe:
      if (part.head) {
        const auto cmsd = hints::parse_cmsd("", http::combined_value(part.head->fields, "CMSD-Dynamic"));
        LoadReport load;
        if (!cmsd.hops.empty())
          load = hint_evaluator_.handle(now_, hints::CmsdReceived{connection.server, cmsd.hops.front(), 0})
                     .report.value_or(LoadReport{});
        post_event(ProbeEnded{connection.server, connection.status < 500, load});
      }
      if (part.done)
        release_connection(connection, true);
      return;
    case ConnectionPurpose::setup_try:
      if (part.head && connection.collects_playlist && part.head->status == 200) {
        if (const auto playback = playbacks_.find(*connection.playback_id); playback == playbacks_.end())
          return close_box_connection(id);
        read_box_hints(connection, *part.head, 0);
      }
      if (connection.collects_playlist && connection.status == 200)
        return collect_playlist(connection, part);
      if (part.head) {
        on_try_response(connection, *part.head);
        const auto still = box_connections_.find(id);
        if (still == box_connections_.end() || still->second->purpose != ConnectionPurpose::object) {
          if (still != box_connections_.end() && part.done)
            release_connection(connection, true);
          return;
        }
      }
      return forward_object(connection, part);
    case ConnectionPurpose::object:
      if (part.head) {
        const auto viewer = viewer_connections_.find(connection.viewer_connection);
        read_box_hints(connection, *part.head, 0);
        // 421: the box is healthy but does not know the playback, as after a restart or an eviction.
        if (part.head->status == 421)
          return on_box_failure(connection, Outcome::error);
        // 404 and 410 mean the same if the catalogue removed the recording from the box after the set-up.
        if (part.head->status == 404 || part.head->status == 410) {
          const auto playback = playbacks_.find(*connection.playback_id);
          const auto* entry = playback == playbacks_.end() ? nullptr : catalogue_entry(*playback->second);
          if (entry && !std::binary_search(entry->holders->begin(), entry->holders->end(), connection.server))
            return on_box_failure(connection, Outcome::error);
        }
        connection.collects_playlist = connection.collects_playlist && part.head->status == 200;
        if (viewer != viewer_connections_.end() && !connection.collects_playlist)
          send_response_head(*viewer->second, connection, *part.head);
      }
      if (connection.collects_playlist)
        return collect_playlist(connection, part);
      return forward_object(connection, part);
    case ConnectionPurpose::idle:
      return;
  }
}

// Handles the head of a box's response to a set-up try.
void Manager::on_try_response(BoxConnection& connection, const http::ResponseHead& head) {
  timers_.cancel(connection.response_timer);
  const auto found = playbacks_.find(*connection.playback_id);
  if (found == playbacks_.end())
    return close_box_connection(connection.id);
  read_box_hints(connection, head, rate_kb(*found->second, connection.rung));
  if (head.status == 200 || head.status == 206)
    return on_try_succeeded(connection, &head);
  // 503 says that the box did not start the set-up (RFC 9110, 15.6.4); with any other status it may have run.
  on_try_failed(connection, head.status == 503 ? Outcome::full : Outcome::error,
                {{"status", std::int64_t{head.status}}});
}

// `head`: of the object to forward to the viewer; null if the response was a playlist.
void Manager::on_try_succeeded(BoxConnection& connection, const http::ResponseHead* head) {
  auto& playback = *playbacks_.at(*connection.playback_id);
  playback.try_connection = 0;
  connection.purpose = ConnectionPurpose::object;
  playback.playing = true;
  timers_.cancel(playback.setup_deadline_timer);
  if (playback.recording) {
    if (auto setups = setups_by_recording_.find(*playback.recording); setups != setups_by_recording_.end())
      setups->second.erase(playback.id);
  }
  timers_.cancel(connection.response_timer);
  connection.response_timer =
      start_timer(settings_.plans[playback.plan].abandon_time, TimerKind::box_timeout, connection.id);
  log_event("playback_plays", {{"playback", log_id(playback.id)},
                               {"box", box_list_.box(connection.server).name},
                               {"rung", std::int64_t{connection.rung}},
                               {"tries", std::int64_t{playback.tries}},
                               {"waited_ms", (now_ - playback.setup_requested_at).count() / 1000}});
  post_event(PlaybackStarted{playback.id, connection.server, now_ - connection.sent_at});
  ++playback.objects_in_flight;
  const auto waiting = std::move(playback.waiting_viewers);
  playback.waiting_viewers.clear();
  const auto first = viewer_connections_.find(connection.viewer_connection);
  if (first != viewer_connections_.end()) {
    if (playback.bound_to_connection)
      playback_by_connection_[connection.viewer_connection] = playback.id;
    first->second->waits_for_setup = false;
    if (head)
      send_response_head(*first->second, connection, *head);
  } else {
    connection.viewer_connection = 0;
  }
  for (const auto waiting_id : waiting) {
    const auto other = viewer_connections_.find(waiting_id);
    if (other == viewer_connections_.end() || waiting_id == connection.viewer_connection)
      continue;
    other->second->waits_for_setup = false;
    if (other->second->resource == ViewerConnection::Resource::object ||
        admit_hls_request(*other->second, playback))
      fetch_from_box(*other->second, playback);
  }
}

void Manager::on_try_failed(BoxConnection& connection, Outcome outcome, std::vector<LogField> extra_fields) {
  auto& playback = *playbacks_.at(*connection.playback_id);
  playback.try_connection = 0;
  std::vector<LogField> fields{{"playback", log_id(playback.id)},
                               {"box", box_list_.box(connection.server).name}};
  fields.insert(fields.end(), extra_fields.begin(), extra_fields.end());
  log_event("try_ended", std::move(fields));
  if (const auto viewer = viewer_connections_.find(connection.viewer_connection);
      viewer != viewer_connections_.end())
    viewer->second->box_connection = 0;
  connection.playback_id.reset();
  connection.viewer_connection = 0;
  connection.collects_playlist = false;
  connection.purpose = ConnectionPurpose::probe;  // the rest of the response is read and discarded
  connection.head_received = true;
  timers_.cancel(connection.response_timer);
  connection.response_timer = start_timer(settings_.probe_timeout, TimerKind::box_timeout, connection.id);
  post_event(TryEnded{playback.id, connection.server, outcome, false, {}});
}

void Manager::read_box_hints(BoxConnection& connection, const http::ResponseHead& head, double rate) {
  connection.cmsd_dynamic = http::combined_value(head.fields, "CMSD-Dynamic");
  const auto cmsd =
      hints::parse_cmsd(http::combined_value(head.fields, "CMSD-Static"), connection.cmsd_dynamic);
  if (!cmsd.dynamic_valid)
    connection.cmsd_dynamic.clear();
  if (!cmsd.errors.empty())
    log_event("box_hints_left_out",
              {{"box", box_list_.box(connection.server).name}, {"cause", cmsd.errors.front()}});
  double length = seconds(settings_.object_duration);
  if (cmsd.static_data && cmsd.static_data->object_duration && *cmsd.static_data->object_duration > 0)
    length = static_cast<double>(*cmsd.static_data->object_duration) / 1000;
  const auto playback = playbacks_.find(connection.playback_id.value_or(~PlaybackId{0}));
  double rung_rate = playback == playbacks_.end() ? rate : rate_kb(*playback->second, connection.rung);
  if (connection.collects_playlist || connection.off_ladder)
    rung_rate = 0;
  connection.object_bytes_per_s = connection.collects_playlist ? 0
                                  : head.content_length ? static_cast<double>(*head.content_length) / length
                                                        : rung_rate * 1000;
  if (!cmsd.hops.empty())
    apply_weighing(
        hint_evaluator_.handle(now_, hints::CmsdReceived{connection.server, cmsd.hops.front(), rung_rate}),
        connection.server);
}

void Manager::forward_object(BoxConnection& connection, http::ResponseParser::Part& part) {
  const ConnectionId id = connection.id;
  connection.received_bytes += part.body.size();
  const auto found = viewer_connections_.find(connection.viewer_connection);
  if (found != viewer_connections_.end()) {
    auto& viewer = *found->second;
    if (!part.body.empty())
      send_to_viewer(viewer, viewer.chunked ? http::serialize_chunk(part.body) : std::move(part.body));
    if (part.done && viewer.chunked)
      send_to_viewer(viewer, std::string(http::last_chunk));
  }
  if (!part.done) {
    if (part.body.empty())
      return;
    timers_.cancel(connection.response_timer);
    const auto playback = playbacks_.find(*connection.playback_id);
    const int plan = playback == playbacks_.end() ? 0 : playback->second->plan;
    connection.response_timer = start_timer(settings_.plans[plan].abandon_time, TimerKind::box_timeout, id);
    if (now_ - connection.measured_at >= measure_interval)
      measure_delivery(connection, false);
    return;
  }
  measure_delivery(connection, true);
  if (const auto playback = playbacks_.find(*connection.playback_id); playback != playbacks_.end()) {
    if (playback->second->objects_in_flight > 0)
      --playback->second->objects_in_flight;
    restart_idle_timer(*playback->second);
  }
  const ConnectionId viewer = connection.viewer_connection;
  release_connection(connection, true);
  if (const auto still = viewer_connections_.find(viewer); still != viewer_connections_.end())
    finish_response(*still->second);
}

// Reports to the weighing of hints what share of the object's rate the box delivered since the last
// measurement. `complete`: the object has ended.
void Manager::measure_delivery(BoxConnection& connection, bool complete) {
  const Duration elapsed = now_ - connection.measured_at;
  const auto bytes = static_cast<double>(connection.received_bytes - connection.measured_bytes);
  if (connection.object_bytes_per_s <= 0 || (complete && bytes == 0) || connection.status >= 300)
    return;
  const double share = elapsed < min_measured_time
                           ? 1.0
                           : std::min(1.0, bytes / (connection.object_bytes_per_s * seconds(elapsed)));
  apply_weighing(
      hint_evaluator_.handle(now_, hints::ObjectDelivered{*connection.playback_id, connection.server, share,
                                                          connection.paused_since_measure}),
      connection.server);
  connection.measured_at = now_;
  connection.measured_bytes = connection.received_bytes;
  connection.paused_since_measure = connection.reading_paused;
}

void Manager::on(const Disconnected& event) {
  if (is_peer_connection(event.connection))
    return peers_->on_closed(now_, event.connection);
  if (event.connection >= first_accepted) {
    if (control_connections_.contains(event.connection))
      return on_control_closed(event.connection);
    const auto found = viewer_connections_.find(event.connection);
    if (found == viewer_connections_.end())
      return;
    const auto viewer = std::move(found->second);
    viewer_connections_.erase(found);
    timers_.cancel(viewer->stall_timer);
    timers_.cancel(viewer->request_timer);
    on_viewer_closed(*viewer);
    if (shutting_down_ && viewer_connections_.empty())
      actions_->push_back(StopLoop{});
    return;
  }
  const auto found = box_connections_.find(event.connection);
  if (found == box_connections_.end())
    return;
  auto& connection = *found->second;
  if (connection.purpose == ConnectionPurpose::idle)
    return close_box_connection(event.connection);
  if (event.reason == CloseReason::finished && connection.connected) {
    auto rest = connection.reader.close();  // ends a body that has no length
    if (!rest.error && (rest.done || rest.head)) {
      connection.keep_alive = false;
      return on_box_response(connection, std::move(rest));
    }
  }
  const auto connect_outcome =
      event.reason == CloseReason::local_failure ? Outcome::not_sent : Outcome::no_connection;
  on_box_failure(connection, connection.connected ? Outcome::reset : connect_outcome);
}

void Manager::on_box_timeout(BoxConnection& connection) {
  // Guards against blaming a box for a stall of this process: input that came during the stall is read first.
  if (now_ < stall_recovery_until_) {
    connection.response_timer =
        timers_.schedule(stall_recovery_until_, {TimerKind::box_timeout, connection.id});
    return;
  }
  if (!connection.connected)
    return on_box_failure(connection, Outcome::no_connection);
  // Guards against blaming a box for a viewer that does not read.
  if (connection.purpose == ConnectionPurpose::object && connection.reading_paused) {
    connection.response_timer = start_timer(settings_.connect_timeout, TimerKind::box_timeout, connection.id);
    return;
  }
  on_box_failure(connection, Outcome::late);
}

// A connection failed while it was in use. The consequences depend on its purpose.
void Manager::on_box_failure(BoxConnection& connection, Outcome outcome) {
  const auto purpose = connection.purpose;
  const auto server = connection.server;
  const bool head_seen = connection.head_received, reused = connection.reused;
  const auto id = connection.playback_id;
  const auto viewer_id = connection.viewer_connection;
  if (is_service(purpose))
    return on_service_response(connection, false);
  close_box_connection(connection.id);
  if (purpose == ConnectionPurpose::probe) {
    if (!head_seen)
      post_event(ProbeEnded{server, false, {}, outcome != Outcome::not_sent});
    return;
  }
  const auto found = playbacks_.find(id.value_or(~PlaybackId{0}));
  const auto viewer = viewer_connections_.find(viewer_id);
  if (viewer != viewer_connections_.end())
    viewer->second->box_connection = 0;
  if (purpose == ConnectionPurpose::setup_try) {
    if (found == playbacks_.end())
      return;
    found->second->try_connection = 0;
    found->second->last_try_timed_out = outcome == Outcome::late;
    log_event("try_ended", {{"playback", log_id(*id)},
                            {"box", box_list_.box(server).name},
                            {"outcome", std::int64_t{static_cast<int>(outcome)}}});
    return post_event(TryEnded{*id, server, outcome, false, {}});
  }
  if (found != playbacks_.end() && found->second->objects_in_flight > 0)
    --found->second->objects_in_flight;
  // A box may close an idle connection at any time, which is no failure: retries once on a new connection.
  if (reused && !head_seen && outcome == Outcome::reset && viewer != viewer_connections_.end() &&
      found != playbacks_.end() && !viewer->second->retried) {
    viewer->second->retried = true;
    return fetch_from_box(*viewer->second, *found->second);
  }
  bool pay_at_setup = false;
  if (found != playbacks_.end()) {
    pay_at_setup = settings_.policy.plans[found->second->plan].pay_at_setup;
    if (viewer != viewer_connections_.end() && viewer->second->token.empty())
      viewer->second->token = found->second->token;
    on_box_lost(*found->second, outcome);
  }
  if (viewer == viewer_connections_.end())
    return;
  auto& waiting = *viewer->second;
  waiting.playback_id.reset();
  if (waiting.head_sent)
    return close_viewer(viewer_id, true);  // a reset shows the viewer that the body is truncated
  // Nothing was sent to the viewer yet: sets the playback up again as if the viewer had retried. A plan that
  // charges at set-up is not set up again without the viewer's request.
  if (pay_at_setup)
    return respond(waiting, 502, "the box of this playback failed\n");
  if (now_ - waiting.received_at >=
      fraction_of(settings_.plans[waiting.media_path.plan].abandon_time, decision_fraction))
    return respond(waiting, 504, "the box of this playback failed, and the abandon time is over\n");
  dispatch_to_playback(waiting);
}

// Returns a connection to its box's pool after a complete response, or closes it.
void Manager::release_connection(BoxConnection& connection, bool reusable) {
  timers_.cancel(connection.response_timer);
  connection.playback_id.reset();
  connection.viewer_connection = 0;
  connection.collects_playlist = false;
  const bool wanted = reusable && connection.keep_alive && !shutting_down_ &&
                      box_list_.box(connection.server).state != ServerState::gone &&
                      idle_connections_[connection.server].size() < settings_.max_idle_connections_per_box;
  if (!wanted)
    return close_box_connection(connection.id);
  connection.purpose = ConnectionPurpose::idle;
  if (connection.reading_paused) {
    connection.reading_paused = false;
    actions_->push_back(ResumeReading{connection.id});
  }
  idle_connections_[connection.server].push_back(connection.id);
}

void Manager::close_box_connection(ConnectionId id) {
  const auto found = box_connections_.find(id);
  if (found == box_connections_.end())
    return;
  auto& connection = *found->second;
  timers_.cancel(connection.response_timer);
  timers_.cancel(connection.connect_timer);
  if (!is_service(connection.purpose)) {
    --open_connections_[connection.server];
    std::erase(idle_connections_[connection.server], id);
  }
  actions_->push_back(Close{id, false});
  box_connections_.erase(found);
}

// ---- the box list ----

void Manager::poll_box_list() {
  start_timer(jittered(settings_.box_list_interval), TimerKind::box_list_poll, 0);
  if (box_list_pending_ || settings_.box_list_port == 0)
    return;
  box_list_pending_ = true;
  request_from_service(ConnectionPurpose::box_list, settings_.box_list_address, settings_.box_list_port,
                       "/boxes", box_list_etag_, 2 * settings_.box_list_interval);
}

// Sends one request to a service other than a box, on a new connection.
Manager::BoxConnection& Manager::request_from_service(ConnectionPurpose purpose, const std::string& address,
                                                      std::uint16_t port, const std::string& target,
                                                      const std::string& etag, Duration timeout) {
  auto new_connection = std::make_unique<BoxConnection>();
  auto& connection = *new_connection;
  connection.id = next_connection_;
  next_connection_ = next_connection_ + 1 < first_peer_connection ? next_connection_ + 1 : 1;
  connection.purpose = purpose;
  box_connections_.emplace(connection.id, std::move(new_connection));
  actions_->push_back(Dial{connection.id, address, port});
  connection.response_timer = start_timer(timeout, TimerKind::box_timeout, connection.id);
  connection.reader.expect(false);
  http::Fields fields{{"Host", address}, {"Via", "1.1 " + settings_.name}, {"Connection", "close"}};
  if (!etag.empty())
    fields.emplace_back("If-None-Match", etag);
  send_request(connection, http::serialize_request_head("GET", target, fields));
  return connection;
}

bool Manager::is_service(ConnectionPurpose purpose) {
  return purpose == ConnectionPurpose::box_list || purpose == ConnectionPurpose::catalogue_feed ||
         purpose == ConnectionPurpose::token_keys;
}

// Guards against unbounded memory use by a response that never ends.
void Manager::collect_service_response(BoxConnection& connection, const http::ResponseParser::Part& part) {
  if (part.head && connection.purpose == ConnectionPurpose::box_list && connection.status == 200) {
    if (const auto* etag = http::find(part.head->fields, "ETag"))
      box_list_etag_ = *etag;
  }
  connection.body += part.body;
  const auto max_bytes =
      connection.purpose == ConnectionPurpose::catalogue_feed ? settings_.max_feed_bytes : max_list_bytes;
  const bool too_long = connection.body.size() > max_bytes;
  if (too_long || part.done)
    on_service_response(connection, !too_long);
}

// `complete`: the whole body arrived.
void Manager::on_service_response(BoxConnection& connection, bool complete) {
  if (connection.purpose == ConnectionPurpose::box_list)
    return on_box_list_response(connection, complete);
  if (connection.purpose == ConnectionPurpose::catalogue_feed)
    return on_catalogue_feed_response(connection, complete);
  on_token_keys_response(connection, complete);
}

void Manager::on_box_list_response(BoxConnection& connection, bool complete) {
  box_list_pending_ = false;
  const auto body = std::move(connection.body);
  const int status = connection.head_received ? connection.status : 0;
  close_box_connection(connection.id);
  if (complete && status == 304)
    return;
  if (!complete || status != 200) {
    box_list_etag_.clear();
    log_event("list_failed", {{"status", std::int64_t{status}}});
    return post_event(ServerListFailed{});
  }
  auto update = box_list_.apply(now_, body);
  // Only a list that was applied in full is stored to start from after a restart.
  if (update.list && update.not_applied_cause.empty())
    actions_->push_back(WriteFile{"boxes.json", body});
  if (!update.not_applied_cause.empty())
    box_list_etag_.clear();  // the next response must have a body, to be compared again
  apply_box_list(std::move(update), "service");
}

void Manager::apply_box_list(boxlist::ListUpdate update, const char* source) {
  if (update.error) {
    box_list_etag_.clear();
    log_event(
        "list_malformed",
        {{"source", std::string(source)}, {"place", update.error->place}, {"cause", update.error->cause}});
    return post_event(ServerListFailed{});
  }
  if (!update.not_applied_cause.empty())
    log_event("list_passed_over", {{"source", std::string(source)}, {"cause", update.not_applied_cause}});
  if (idle_connections_.size() < box_list_.size())
    idle_connections_.resize(box_list_.size()), open_connections_.resize(box_list_.size(), 0);
  // Closes idle connections to boxes whose process or address was replaced.
  for (const auto server : update.replaced) {
    const auto idle = idle_connections_[server];
    for (const auto connection : idle)
      close_box_connection(connection);
  }
  if (!update.list)
    return;
  log_event("list_taken", {{"source", std::string(source)},
                           {"revision", box_list_.revision()},
                           {"boxes", static_cast<std::int64_t>(update.list->entries.size())}});
  post_event(*update.list);
  // Guards against a try that was decided before a drain but is sent after the drain's grace period, when its
  // connection opens: tries that are not written to a socket yet are cancelled.
  std::vector<PlaybackId> unsent;
  for (const auto& [id, connection] : box_connections_) {
    if (connection->purpose != ConnectionPurpose::setup_try || connection->connected ||
        !connection->playback_id)
      continue;
    const bool replaced = std::find(update.replaced.begin(), update.replaced.end(), connection->server) !=
                          update.replaced.end();
    if (replaced || box_list_.box(connection->server).state != ServerState::ready)
      unsent.push_back(*connection->playback_id);
  }
  std::sort(unsent.begin(), unsent.end());
  for (const auto id : unsent)
    cancel_unsent_try(*playbacks_.at(id));
}

// ---- the policy ----

void Manager::post_event(const Event& event) { events_.push_back(event); }

void Manager::apply_weighing(hints::Evaluation weighed, ServerId server) {
  if (weighed.last_mile_limited)
    log_event("viewer_line_short", {{"playback", log_id(*weighed.last_mile_limited)}});
  for (const auto& measurement : weighed.measurements)
    post_event(measurement);
  if (!weighed.report)
    return;
  const auto& report = *weighed.report;
  if (report.link_fill)
    post_event(Measurement{~PlaybackId{0}, server, Measurement::Kind::link_fill, *report.link_fill});
  if (report.uplink_fill)
    post_event(Measurement{~PlaybackId{0}, server, Measurement::Kind::uplink_fill, *report.uplink_fill});
}

// Passes queued events to the policy and executes its commands. Queueing ensures that no command is executed
// in the middle of another step.
void Manager::process_events() {
  for (;;) {
    while (!events_.empty()) {
      const auto event = std::move(events_.front());
      events_.pop_front();
      for (const auto& command : decider_->decide(now_, event))
        execute(command);
    }
    if (viewers_to_read_.empty())
      return;
    const auto connection = *viewers_to_read_.begin();
    viewers_to_read_.erase(viewers_to_read_.begin());
    if (const auto found = viewer_connections_.find(connection); found != viewer_connections_.end())
      process_requests(*found->second);
  }
}

void Manager::execute(const Command& command) {
  std::visit(Overloaded{
                 [this](const SetUp& set_up) { start_try(set_up); },
                 [this](const SetRung& set_rung) {
                   const auto found = playbacks_.find(set_rung.playback);
                   if (found == playbacks_.end())
                     return;
                   auto& playback = *found->second;
                   if (playback.playing)
                     log_event("rung_set", {{"playback", log_id(set_rung.playback)},
                                            {"from", std::int64_t{playback.rung}},
                                            {"to", std::int64_t{set_rung.rung}}});
                   playback.rung = set_rung.rung;
                   if (playback.hls)
                     playback.hls->rung_policy.handle(now_, hls::RungDecided{set_rung.rung});
                 },
                 [this](const Reject& reject) {
                   const auto found = playbacks_.find(reject.playback);
                   if (found == playbacks_.end())
                     return;
                   http::Fields extra_fields;
                   // Jitter keeps viewers that are rejected together from retrying together.
                   const auto retry_after_s = (jittered(reject.retry_after).count() + 999'999) / 1'000'000;
                   if (retry_after_s > 0)
                     extra_fields.emplace_back("Retry-After", std::to_string(retry_after_s));
                   record_ended_playback(*found->second, hls::EndReason::rejected, reject.retry_after);
                   if (found->second->recording)
                     demand_.record_turned_away(now_, *found->second->recording);
                   end_with_response(*found->second, 503, "rejected: no box has room\n", extra_fields);
                 },
                 [this](const Abort& abort) {
                   const auto found = playbacks_.find(abort.playback);
                   if (found == playbacks_.end())
                     return;
                   const int status = found->second->last_try_timed_out ? 504 : 502;
                   end_with_response(*found->second, status, "aborted: the set-up failed\n", {});
                 },
                 [this](const Probe& probe) { start_probe(probe.server); },
                 [this](const SetTimer& set_timer) {
                   start_timer(set_timer.delay, TimerKind::policy, set_timer.token);
                 },
                 [this](const SubscribeServerList&) {},  // the box list is polled in any case
             },
             command);
}

// ---- graceful shutdown ----

// Guards against the process ending with requests unanswered: answers all that wait for a set-up.
void Manager::answer_waiting_viewers() {
  std::vector<PlaybackId> waiting;
  for (const auto& [id, playback] : playbacks_) {
    if (!playback->playing && !playback->waiting_viewers.empty())
      waiting.push_back(id);
  }
  std::sort(waiting.begin(), waiting.end());
  for (const auto id : waiting) {
    auto& playback = *playbacks_.at(id);
    if (playback.try_connection)
      end_with_response(playback, 504, "this front is shutting down, and the set-up took too long\n", {});
    else
      end_with_response(playback, 503, "this front is shutting down\n", short_retry_after());
  }
}

// Starts a graceful shutdown: set-ups in progress are still decided, and objects in flight are sent to their
// end.
void Manager::on(const ShutdownRequested&) {
  if (shutting_down_)
    return;
  shutting_down_ = true;
  log_event("stopping", {{"playbacks", static_cast<std::int64_t>(playbacks_.size())}});
  actions_->push_back(StopListening{0});
  start_timer(settings_.shutdown_timeout, TimerKind::shutdown_deadline, 0);
  std::vector<ConnectionId> idle;
  for (auto& [id, viewer] : viewer_connections_) {
    if (!viewer->busy)
      idle.push_back(id);
    else
      viewer->close_after = true;
  }
  std::sort(idle.begin(), idle.end());
  for (const auto id : idle)
    close_viewer(id, false);
  if (viewer_connections_.empty())
    actions_->push_back(StopLoop{});
}

}  // namespace violettide::manager
