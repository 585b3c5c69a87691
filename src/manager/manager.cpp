#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "manager/manager_internal.h"

namespace violettide::manager {

namespace {

constexpr double answer_part = 0.95;  // of the abandon time: an answer must still travel to its viewer
constexpr double guard_part = 0.975;  // when this core answers by itself, should the module not have
constexpr std::size_t most_pipelined = 64 * 1024;
constexpr std::size_t most_list = 4 * 1024 * 1024;
constexpr std::uint64_t most_batch = 64 * 1024 * 1024;
constexpr std::size_t most_askers = 16;  // requests that one set-up may answer
constexpr Duration stands_still{
    500'000};  // no happening for so long: the module's timer alone rings twice in it
constexpr Duration catches_up{100'000};  // after it, for what came meanwhile to be read
constexpr int stuck_abandons = 3;        // a viewer may read nothing for so many abandon times
constexpr Duration measure_every{1'000'000};
constexpr Duration least_measured{5'000};  // shorter deliveries measure the loopback, not the box
constexpr double kbit_per_kb = 8;
constexpr ConnectionId peer_links = 1u << 30;  // links to other managers are numbered from there

double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }
Duration part_of(Duration span, double part) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(span.count()) * part));
}

// Fields that end at each hop (RFC 9110, 7.6.1), and those that this hop writes itself.
bool ends_here(std::string_view name, std::string_view connection) {
  for (const auto own : {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding",
                         "Upgrade", "Content-Length", "CMSD-Dynamic", "Via"}) {
    if (http::same_name(name, own))
      return true;
  }
  for (std::size_t from = 0; from < connection.size();) {
    const auto end = std::min(connection.find(',', from), connection.size());
    auto option = connection.substr(from, end - from);
    while (!option.empty() && option.front() == ' ')
      option.remove_prefix(1);
    while (!option.empty() && option.back() == ' ')
      option.remove_suffix(1);
    if (http::same_name(name, option))
      return true;
    from = end + 1;
  }
  return false;
}

std::string listed(const std::string& before, const std::string& own) {
  return before.empty() ? own : before + ", " + own;
}

}  // namespace

Manager::Manager(ManagerSettings terms, std::uint64_t seed, std::string cached_list,
                 std::unique_ptr<Decider> decider)
    : settings_(std::move(terms)),
      decider_(decider ? std::move(decider) : make_policy_decider(settings_.policy, seed)),
      box_list_(settings_.halls),
      weighing_(std::max<Duration>(settings_.policy.measurement_delay, settings_.object_duration),
                settings_.policy.rung_kb),
      cached_box_list_(std::move(cached_list)),
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

void Manager::handle(Duration now, const IoEvent& what, std::vector<Action>& actions) {
  if (started_ && now - now_ > stands_still) {
    stall_recovery_until_ = now + catches_up;
    stall_to_log_ = now - now_;
  }
  now_ = std::max(now_, now);
  actions_ = &actions;
  if (!started_)
    start();
  if (const auto still = std::exchange(stall_to_log_, Duration(0)); still > Duration(0))
    log_event("stood_still", {{"ms", still.count() / 1000}});
  std::visit([this](const auto& happened) { on(happened); }, what);
  process_events();
  expired_timers_.clear();
  timers_.advance(now_, expired_timers_);
  for (std::size_t i = 0; i < expired_timers_.size(); ++i) {
    on_timer(expired_timers_[i]);
    process_events();
  }
  const auto next = timers_.next();
  if (next && (!next_wakeup_ || *next_wakeup_ <= now_ || *next < *next_wakeup_)) {
    next_wakeup_ = std::max(*next, now_ + std::chrono::milliseconds(1));
    actions.push_back(StartTimer{*next_wakeup_});
  }
}

void Manager::start() {
  started_ = true;
  if (!cached_box_list_.empty())
    apply_box_list(box_list_.apply_cached(now_, cached_box_list_), "kept");
  // One that knows no box asks at once; others of a hall that starts together ask apart.
  start_timer(cached_box_list_.empty()
                  ? Duration(0)
                  : settings_.box_list_interval * static_cast<int>(random_() % 100) / 100,
              TimerKind::box_list_poll, 0);
  if (settings_.has_catalogue && settings_.feed_port != 0)
    start_timer(Duration(0), TimerKind::catalogue_feed_poll, 0);
  start_timer(settings_.object_duration, TimerKind::weighing_tick, 0);
  if (!settings_.peers.managers.empty())
    peers_ = std::make_unique<peers::Peers>(settings_.peers, peer_links);
  if (settings_.entitlement.enabled) {
    auto own = settings_.entitlement.ledger;
    own.peers.clear();
    for (const auto& peer : settings_.peers.managers)
      own.peers.push_back(peer.name);
    if (own.peers.empty())
      own.peers.push_back(settings_.name);
    own.self = settings_.peers.self;
    ledger_ = std::make_unique<entitlement::Ledger>(std::move(own), settings_.entitlement.restart_number,
                                                    wall_clock(), settings_.entitlement.stored_records);
  }
  if (peers_ || ledger_)
    start_timer(Duration(0), TimerKind::seats_tick, 0);
}

void Manager::on_timer(const Timer& bell) {
  switch (bell.kind) {
    case TimerKind::policy:
      return post_event(TimerExpired{bell.target});
    case TimerKind::box_list_poll:
      return poll_box_list();
    case TimerKind::catalogue_feed_poll:
      return poll_catalogue_feed();
    case TimerKind::feed_long_poll:
      if (const auto found = control_connections_.find(bell.target);
          found != control_connections_.end() && found->second->feed_after)
        send_control_reply(*found->second, cataloguewire::empty_feed_reply(replica_.current()->revision));
      return;
    case TimerKind::seats_tick:
      return on_seats_tick();
    case TimerKind::weighing_tick:
      start_timer(settings_.object_duration, TimerKind::weighing_tick, 0);
      return apply_weighing(weighing_.handle(now_, hints::TimePassed{}), 0);
    case TimerKind::try_timeout:
    case TimerKind::box_timeout:
      if (const auto found = box_connections_.find(bell.target); found != box_connections_.end())
        on_box_timeout(*found->second);
      return;
    case TimerKind::setup_deadline: {
      // Guards against a request that nothing answers, whatever the cause: its viewer's time is nearly up.
      const auto found = playbacks_.find(bell.target);
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
      const auto found = playbacks_.find(bell.target);
      if (found == playbacks_.end() || found->second->objects_in_flight > 0)
        return;
      log_event("playback_over", {{"playback", log_id(bell.target)}, {"cause", std::string("silence")}});
      post_event(TryEnded{bell.target, found->second->server, Outcome::served, true, {}});
      record_ended_playback(*found->second, hls::EndReason::idle);
      return remove_playback(bell.target);
    }
    case TimerKind::viewer_stalled:
      // Guards against a viewer that reads nothing keeping a box's connection for good.
      log_event("viewer_stuck", {{"link", static_cast<std::int64_t>(bell.target)}});
      return close_viewer(bell.target, true);
    case TimerKind::shutdown_deadline:
      answer_waiting_viewers();
      actions_->push_back(StopLoop{});
      return;
  }
}

// ---- viewers ----

void Manager::on(const Accepted& what) {
  if (peers_ && what.listener == settings_.peer_listener)
    return peers_->on_accepted(now_, what.connection, *actions_);
  if (what.listener != 0) {
    auto control = std::make_unique<ControlConnection>();
    control->id = what.connection;
    // Batches of a bulk load are longer than anything that a viewer may send.
    http::Limits limits = settings_.http_limits;
    limits.request_body = most_batch;
    control->reader = http::RequestReader(limits);
    control_connections_.emplace(what.connection, std::move(control));
    return;
  }
  // Guards against more connections than this front has memory for; those it has keep what they hold.
  if (viewer_connections_.size() >= settings_.max_viewer_connections || shutting_down_) {
    actions_->push_back(Send{what.connection, http::head_text(503, short_retry_after(), 0, false)});
    actions_->push_back(Close{what.connection, true});
    log_event("viewer_turned_away", {{"cause", std::string(shutting_down_ ? "stopping" : "connections")}});
    return;
  }
  auto viewer = std::make_unique<ViewerConnection>();
  viewer->id = what.connection;
  viewer->reader = http::RequestReader(settings_.http_limits);
  viewer_connections_.emplace(what.connection, std::move(viewer));
}

void Manager::on(const Received& what) {
  if (is_peer_connection(what.connection))
    return on_peer_messages(peers_->on_received(what.connection, what.bytes, *actions_));
  if (what.connection >= first_accepted) {
    if (const auto control = control_connections_.find(what.connection);
        control != control_connections_.end()) {
      control->second->reader.push(what.bytes);
      return process_control_requests(*control->second);
    }
    const auto found = viewer_connections_.find(what.connection);
    if (found == viewer_connections_.end())
      return;  // hung up on already
    auto& viewer = *found->second;
    viewer.reader.push(what.bytes);
    if (viewer.busy && viewer.reader.unread() > most_pipelined && !viewer.reading_paused) {
      viewer.reading_paused = true;
      actions_->push_back(PauseReading{what.connection});
    }
    return process_requests(viewer);
  }
  const auto found = box_connections_.find(what.connection);
  if (found == box_connections_.end())
    return;  // an answer after its cancel
  auto& link = *found->second;
  on_box_response(link, link.reader.push(what.bytes));
}

void Manager::process_requests(ViewerConnection& viewer) {
  const ConnectionId link = viewer.id;
  while (!viewer.busy) {
    if (auto request = viewer.reader.next()) {
      handle_request(viewer, std::move(*request));
      if (!viewer_connections_.contains(link))
        return;
      continue;
    }
    if (const auto& fault = viewer.reader.fault()) {
      viewer.busy = viewer.close_after = true;
      log_event("request_malformed", {{"status", std::int64_t{fault->status}}, {"cause", fault->cause}});
      return respond(viewer, fault->status, fault->cause + "\n");
    }
    if (viewer.half_closed || shutting_down_)
      close_viewer(link, false);
    return;
  }
}

void Manager::handle_request(ViewerConnection& viewer, http::Request request) {
  viewer.busy = true;
  viewer.retried = false;
  viewer.received_at = now_;
  viewer.request = std::move(request);
  viewer.close_after = !viewer.request.keep_alive || shutting_down_;
  if (viewer.request.method != "GET")
    return respond(viewer, 405, "media objects are read with GET\n", {{"Allow", "GET"}});
  viewer.resource = ViewerConnection::Resource::object;
  viewer.delta_update = viewer.blocking_reload = false;
  viewer.hints = hints::read_cmcd(viewer.request.fields, viewer.request.target);
  viewer.token = ledger_ ? extract_token(viewer.request) : "";
  // Whose player says no session is known by its token: a retry must find its seat.
  if (!viewer.token.empty() && !viewer.hints.hints.session_id)
    viewer.hints.hints.session_id =
        "t" + std::to_string(XXH3_64bits(viewer.token.data(), viewer.token.size()));
  const auto read = settings_.hls.enabled() ? parse_hls_request(viewer) : HlsRequestResult::not_hls;
  if (read == HlsRequestResult::answered)
    return;
  if (read == HlsRequestResult::not_hls) {
    auto path = parse_media_path(settings_, viewer.request.target);
    if (const auto* fault = std::get_if<PathError>(&path))
      return respond(viewer, 404, fault->cause + "\n");
    viewer.media_path = std::move(std::get<MediaPath>(path));
  }
  const auto* trace = http::find(viewer.request.fields, "traceparent");
  viewer.trace_context = trace ? *trace : "";
  if (!viewer.hints.faults.empty()) {
    const auto& first = viewer.hints.faults.front();
    log_event("hints_left_out", {{"count", static_cast<std::int64_t>(viewer.hints.faults.size())},
                                 {"key", first.key},
                                 {"cause", first.cause}});
  }
  dispatch_to_playback(viewer);
}

// Which playback a request belongs to, and what it wants of it.
void Manager::dispatch_to_playback(ViewerConnection& viewer) {
  if (shutting_down_)
    return respond(viewer, 503, "this front is stopping\n", short_retry_after());
  const bool by_address = viewer.resource > ViewerConnection::Resource::multivariant_playlist ||
                          viewer.claims.scope == signed_url::Claims::Scope::multivariant;
  if (viewer.resource != ViewerConnection::Resource::object && by_address && !adopt_playback(viewer))
    return;
  auto& playback = find_or_create_playback(viewer);
  viewer.playback_id = playback.id;
  if (viewer.resource != ViewerConnection::Resource::object)
    attach_hls_state(playback);
  if (!playback.playing) {
    // Guards against one session id gathering requests without end behind a slow set-up.
    if (playback.waiting_viewers.size() >= most_askers) {
      viewer.playback_id.reset();
      if (may_have_been_charged(playback))
        return respond(viewer, 502, "too many requests wait for this set-up\n");
      return respond(viewer, 503, "too many requests wait for this set-up\n", short_retry_after());
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
  apply_weighing(weighing_.handle(now_, hints::ViewerSaid{id, playback.server, viewer.hints.hints,
                                                          rate_kb(playback, playback.rung)}),
                 playback.server);
  if (viewer.resource != ViewerConnection::Resource::object && !admit_hls_request(viewer, playback))
    return;
  fetch_from_box(viewer, playback);
}

std::string Manager::playback_key(int plan, const std::string& title, const std::string& who) {
  return std::to_string(plan) + '/' + title + '/' + who;
}

http::Fields Manager::short_retry_after() {
  const auto longest = std::chrono::floor<std::chrono::seconds>(settings_.policy.max_retry_after).count();
  const auto most = static_cast<std::uint64_t>(std::clamp<std::int64_t>(longest, 1, 3));
  return {{"Retry-After", std::to_string(1 + random_() % most)}};
}

// Paid at set-up, and that may have run: a word that it may be had elsewhere would be a second set-up.
bool Manager::may_have_been_charged(const Playback& playback) const {
  return settings_.policy.plans[playback.plan].pay_at_setup &&
         (playback.playing || playback.try_connection != 0);
}

// A playback is known by plan, title and session id. Without an id the viewer's connection stands in for
// it, and the playback ends with the connection.
Manager::Playback& Manager::find_or_create_playback(ViewerConnection& viewer) {
  const auto& sid = viewer.hints.hints.session_id;
  auto key = playback_key(viewer.media_path.plan, viewer.media_path.title,
                          sid ? "s" + *sid : "l" + std::to_string(viewer.id));
  if (const auto found = playback_by_key_.find(key); found != playback_by_key_.end())
    return *playbacks_.at(found->second);
  auto fresh = std::make_unique<Playback>();
  auto& playback = *fresh;
  playback.id = next_playback_++;
  playback.key = key;
  playback.plan = viewer.media_path.plan;
  playback.title = viewer.media_path.title;
  playback.bound_to_connection = !sid;
  playback.session_id = sid ? *sid : settings_.name + "-" + std::to_string(viewer.id);
  playback.setup_requested_at = Duration(-1);
  auto [title, unknown] = title_ids_.try_emplace(playback.title, 0);
  if (unknown) {
    if (free_title_ids_.empty())
      free_title_ids_.push_back(static_cast<TitleId>(title_ids_.size() - 1));
    title->second = free_title_ids_.back();
    free_title_ids_.pop_back();
  }
  playback.title_id = title->second;
  ++title_uses_[playback.title_id];
  playback_by_key_.emplace(std::move(key), playback.id);
  playbacks_.emplace(playback.id, std::move(fresh));
  return playback;
}

// What the module is to know of it; nothing, and the playback settled, where the catalogue has none to play.
std::optional<Request> Manager::make_setup_request(Playback& playback, const ViewerConnection& viewer) {
  const auto& plan = settings_.policy.plans[playback.plan];
  HolderCells holders;
  violettide::HolderList listed;
  int top = plan.top;
  if (settings_.has_catalogue) {
    const auto id = replica_.current()->id(playback.title);
    const auto* entry = id ? replica_.current()->find(*id) : nullptr;
    const auto best = entry ? entry->rung_within(plan.floor, plan.top) : std::nullopt;
    if (!best) {
      end_with_response(playback, 404,
                        entry ? "no rendition that this plan may play\n" : "no recording of that title\n",
                        {});
      return std::nullopt;
    }
    top = *best;
    holders.length = entry->length();
    listed = entry->holders;
    playback.recording = *id;
    setups_by_recording_[*id].insert(playback.id);
    demand_.record_request(now_, *id);
  } else {
    holders = holder_cells(settings_, playback.title);
  }
  // One asked anew after a loss has what is left of its viewer's time, not a time of its own.
  const Duration abandon = settings_.plans[playback.plan].abandon_time - (now_ - viewer.received_at);
  Request request;
  request.playback = playback.id;
  request.plan = playback.plan;
  request.title = playback.title_id;
  request.abandon_at = now_ + part_of(abandon, answer_part);
  request.length = holders.length;
  request.first_cell = holders.first_cell;
  request.cell_count = holders.cell_count;
  request.listed_holders = listed;
  request.top = weighing_.top_for(viewer.hints.hints, plan.floor, top, plan.rate_scale);
  playback.rung = plan.floor;
  return request;
}

void Manager::request_setup(Playback& playback) {
  playback.setup_requested_at = now_;
  const auto& viewer = *viewer_connections_.at(playback.waiting_viewers.front());
  const auto request = make_setup_request(playback, viewer);
  if (!request)
    return;
  const Duration abandon = settings_.plans[playback.plan].abandon_time - (now_ - viewer.received_at);
  playback.setup_deadline_timer =
      start_timer(part_of(abandon, guard_part), TimerKind::setup_deadline, playback.id);
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
                      const http::Fields& more) {
  http::Fields fields{{"Via", "1.1 " + settings_.name}};
  if (!http::find(more, "Content-Type"))
    fields.emplace_back("Content-Type", "text/plain");
  fields.insert(fields.end(), more.begin(), more.end());
  const bool head_only = viewer.request.method == "HEAD";  // whose answer has no body (RFC 9110, 9.3.2)
  send_to_viewer(viewer,
                 http::head_text(status, fields, text.size(), !viewer.close_after) + (head_only ? "" : text));
  finish_response(viewer);
}

// The response is whole: the next request of this connection may be read.
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
  // What was pipelined behind it is read when all that this happening brought is done, so that a
  // playback is never taken apart while it is being served.
  if (viewer.reader.unread() > 0 || viewer.reader.fault() || viewer.half_closed || shutting_down_)
    viewers_to_read_.insert(viewer.id);
}

void Manager::close_viewer(ConnectionId link, bool reset) {
  const auto found = viewer_connections_.find(link);
  if (found == viewer_connections_.end())
    return;
  const auto viewer = std::move(found->second);
  viewer_connections_.erase(found);
  timers_.cancel(viewer->stall_timer);
  actions_->push_back(Close{link, !reset});
  on_viewer_closed(*viewer);
  if (shutting_down_ && viewer_connections_.empty())
    actions_->push_back(StopLoop{});
}

// The viewer's connection is no more; what it waited for is withdrawn, what it was sent is let go.
void Manager::on_viewer_closed(ViewerConnection& viewer) {
  if (viewer.box_connection) {
    if (const auto found = box_connections_.find(viewer.box_connection); found != box_connections_.end()) {
      auto& link = *found->second;
      if (link.purpose == ConnectionPurpose::setup_try)
        link.viewer_connection = 0;  // others may wait for this try
      else
        close_box_connection(viewer.box_connection);
    }
  }
  PlaybackId id = 0;
  if (viewer.playback_id) {
    id = *viewer.playback_id;
  } else {
    const auto tied = playback_by_connection_.find(viewer.id);
    if (tied == playback_by_connection_.end())
      return;
    id = tied->second;
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
    log_event("playback_over", {{"playback", log_id(id)}, {"cause", std::string("its connection ended")}});
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

void Manager::on(const HalfClosed& what) {
  if (is_peer_connection(what.connection)) {
    actions_->push_back(Close{what.connection, false});
    return peers_->on_closed(now_, what.connection);
  }
  if (what.connection < first_accepted)
    return on(Disconnected{what.connection, CloseReason::finished});
  if (control_connections_.contains(what.connection))
    return on_control_closed(what.connection);
  const auto found = viewer_connections_.find(what.connection);
  if (found == viewer_connections_.end())
    return;
  // A peer that closed and one that only writes no more look alike: what it asked is answered still.
  found->second->half_closed = true;
  if (!found->second->busy)
    process_requests(*found->second);
}

void Manager::on(const Flushed& what) {
  const auto found = viewer_connections_.find(what.connection);
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
  // Backpressure: the box is read no further until its viewer has read.
  const auto found = box_connections_.find(viewer.box_connection);
  if (found == box_connections_.end() || found->second->reading_paused)
    return;
  auto& box = *found->second;
  box.reading_paused = box.paused_since_measure = true;
  actions_->push_back(PauseReading{box.id});
  viewer.stall_timer = start_timer(stuck_abandons * settings_.plans[viewer.media_path.plan].abandon_time,
                                   TimerKind::viewer_stalled, viewer.id);
}

void Manager::send_response_head(ViewerConnection& viewer, BoxConnection& box,
                                 const http::ResponseHead& head) {
  const auto* connection = http::find(head.fields, "Connection");
  http::Fields fields;
  for (const auto& [name, value] : head.fields) {
    if (!ends_here(name, connection ? *connection : ""))
      fields.emplace_back(name, value);
  }
  fields.emplace_back("Via", listed(http::joined(head.fields, "Via"), "1.1 " + settings_.name));
  hints::CmsdDynamic own;
  own.server = settings_.name;
  own.response_delay = (now_ - box.sent_at).count() / 1000;
  if (viewer.playback_id) {
    if (const auto found = playbacks_.find(*viewer.playback_id); found != playbacks_.end()) {
      const auto& of = *found->second;
      const int rung = of.hls ? of.hls->rung_policy.listed() : of.rung;
      own.max_suggested_bitrate = std::llround(rate_kb(of, rung) * kbit_per_kb);
    }
  }
  fields.emplace_back("CMSD-Dynamic", hints::after_entries(box.cmsd_dynamic, own));
  viewer.chunked = !head.length && viewer.request.version >= 11;
  if (!head.length && !viewer.chunked)
    viewer.close_after = true;
  viewer.head_sent = true;
  send_to_viewer(viewer,
                 http::head_text(head.status, fields, head.length, !viewer.close_after, viewer.chunked));
}

// ---- playbacks ----

// The rung in force or the one asked for, the lower, never under the floor, and one that exists.
int Manager::effective_rung(const Playback& playback, int asked) const {
  const int floor = settings_.policy.plans[playback.plan].floor;
  const int rung = std::max(floor, std::min(playback.rung, asked));
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

// The true rate where the catalogue tells it, the ladder's elsewhere.
double Manager::rate_kb(const Playback& playback, int rung) const {
  const auto& rates = settings_.policy.rung_kb;
  const auto at = std::min(static_cast<std::size_t>(std::max(0, rung)), rates.size() - 1);
  const auto* entry = catalogue_entry(playback);
  const auto known = entry ? entry->kb_per_s(static_cast<int>(at)) : std::nullopt;
  return known ? *known : rates[at] * settings_.policy.plans[playback.plan].rate_scale;
}

void Manager::end_with_response(Playback& playback, int status, const std::string& text,
                                const http::Fields& more) {
  log_event("playback_ended", {{"playback", log_id(playback.id)},
                               {"status", std::int64_t{status}},
                               {"tries", std::int64_t{playback.tries}}});
  const auto askers = std::move(playback.waiting_viewers);
  playback.waiting_viewers.clear();
  if (playback.try_connection)
    close_box_connection(playback.try_connection);
  remove_playback(playback.id);
  for (const auto link : askers) {
    const auto found = viewer_connections_.find(link);
    if (found == viewer_connections_.end())
      continue;
    found->second->playback_id.reset();
    found->second->box_connection = 0;
    respond(*found->second, status, text, more);
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
    if (auto asking = setups_by_recording_.find(*playback.recording); asking != setups_by_recording_.end()) {
      asking->second.erase(id);
      if (asking->second.empty())
        setups_by_recording_.erase(asking);
    }
  }
  playback_by_key_.erase(playback.key);
  if (--title_uses_[playback.title_id] == 0) {
    title_uses_.erase(playback.title_id);
    free_title_ids_.push_back(playback.title_id);
    title_ids_.erase(playback.title);
  }
  weighing_.handle(now_, hints::PlaybackLeft{id});
  playbacks_.erase(found);
  if (seat) {
    playback_by_seat_.erase(*seat);
    handle_ledger_event(entitlement::PlaybackEnded{*seat});
  }
}

// The box of a playing playback failed it: the module hears, and the playback is over. Its viewer's next
// request is a new one.
void Manager::on_box_lost(Playback& playback, Outcome outcome) {
  log_event("playback_lost",
            {{"playback", log_id(playback.id)}, {"box", box_list_.box(playback.server).name}});
  record_ended_playback(playback, hls::EndReason::lost);
  post_event(TryEnded{playback.id, playback.server, outcome, true, {}});
  remove_playback(playback.id);
}

// Nothing of it is under way: over after a silence that its buffer can't explain.
void Manager::restart_idle_timer(Playback& playback) {
  timers_.cancel(playback.idle_timer);
  if (playback.objects_in_flight > 0)
    return;
  const Duration silence =
      playback.hls ? playback.hls->rung_policy.idle_timeout()
                   : std::max(settings_.idle_timeout, playback.buffer_length + 2 * settings_.object_duration);
  playback.idle_timer = start_timer(silence, TimerKind::playback_idle, playback.id);
}

// ---- boxes ----

http::Fields Manager::box_request_fields(const ViewerConnection* viewer, const Playback* playback,
                                         bool set_up) const {
  http::Fields fields{{"Host", "box"}, {"Via", "1.1 " + settings_.name}};
  if (playback) {
    hints::Cmcd passed = viewer ? viewer->hints.hints : hints::Cmcd{};
    passed.session_id = playback->session_id;
    passed.startup = set_up;  // tells the box a set-up from a later object
    for (auto& field : hints::cmcd_headers(passed))
      fields.push_back(std::move(field));
  }
  if (viewer && !viewer->trace_context.empty())
    fields.emplace_back("traceparent", viewer->trace_context);
  if (viewer) {
    const bool list = viewer->resource == ViewerConnection::Resource::multivariant_playlist ||
                      viewer->resource == ViewerConnection::Resource::media_playlist;
    const auto* range = http::find(viewer->request.fields, "Range");
    if (list)
      fields.emplace_back("Accept-Encoding", "gzip");
    else if (range)
      fields.emplace_back("Range", *range);
  }
  return fields;
}

// A kept connection, or a new one; none where the box has all that it may have.
Manager::BoxConnection* Manager::acquire_connection(ServerId server, ConnectionPurpose use, bool anew) {
  if (server >= box_list_.size())
    return nullptr;
  if (idle_connections_.size() <= server)
    idle_connections_.resize(server + 1), open_connections_.resize(server + 1, 0);
  auto& idle = idle_connections_[server];
  if (!anew && !idle.empty()) {
    auto& kept = *box_connections_.at(idle.back());
    idle.pop_back();
    kept.purpose = use;
    kept.reused = true;
    return &kept;
  }
  if (open_connections_[server] >= settings_.max_connections_per_box)
    return nullptr;
  const auto& box = box_list_.box(server);
  auto fresh = std::make_unique<BoxConnection>();
  auto& link = *fresh;
  link.id = next_connection_;
  next_connection_ = next_connection_ + 1 < peer_links ? next_connection_ + 1 : 1;
  link.server = server;
  link.purpose = use;
  ++open_connections_[server];
  box_connections_.emplace(link.id, std::move(fresh));
  actions_->push_back(Dial{link.id, box.address, box.port});
  link.connect_timer = start_timer(settings_.connect_timeout, TimerKind::box_timeout, link.id);
  return &link;
}

void Manager::send_request(BoxConnection& link, std::string text) {
  link.sent_at = now_;
  link.head_received = false;
  link.body.clear();
  link.received_bytes = link.measured_bytes = 0;
  link.paused_since_measure = false;
  if (link.connected)
    actions_->push_back(Send{link.id, std::move(text)});
  else
    link.unsent_request = std::move(text);
}

void Manager::on(const Connected& what) {
  const auto found = box_connections_.find(what.connection);
  if (found == box_connections_.end())
    return;
  auto& link = *found->second;
  link.connected = true;
  timers_.cancel(link.connect_timer);
  actions_->push_back(Send{link.id, std::move(link.unsent_request)});
  link.unsent_request.clear();
}

void Manager::start_try(const SetUp& command) {
  const auto found = playbacks_.find(command.playback);
  // Guards against a set-up for a playback whose viewers are all gone: nothing is sent, and the module hears.
  if (found == playbacks_.end() || found->second->waiting_viewers.empty())
    return post_event(TryEnded{command.playback, command.server, Outcome::not_sent, true, {}});
  auto& playback = *found->second;
  ++playback.tries;
  playback.server = command.server;
  playback.last_try_timed_out = false;
  auto& viewer = *viewer_connections_.at(playback.waiting_viewers.front());
  // A kept connection may die with the request in it, and then nobody knows whether it ran: a plan that
  // is paid at set-up gets a connection of its own, whose failure to open proves that nothing ran.
  const bool anew = settings_.policy.plans[playback.plan].pay_at_setup;
  auto* link = acquire_connection(command.server, ConnectionPurpose::setup_try, anew);
  if (!link)
    return post_event(TryEnded{playback.id, command.server, Outcome::not_sent, false, {}});
  link->playback_id = playback.id;
  link->viewer_connection = viewer.id;
  const auto target = box_request_target(viewer, playback, *link);
  link->response_timer = start_timer(command.time_limit, TimerKind::try_timeout, link->id);
  playback.try_connection = link->id;
  viewer.box_connection = link->id;
  log_event("try_sent", {{"playback", log_id(playback.id)},
                         {"box", box_list_.box(command.server).name},
                         {"rung", std::int64_t{link->rung}},
                         {"try", std::int64_t{playback.tries}}});
  link->reader.expect(false);
  send_request(*link, http::request_text("GET", target, box_request_fields(&viewer, &playback, true)));
}

void Manager::start_probe(ServerId server) {
  auto* link = acquire_connection(server, ConnectionPurpose::probe, false);
  if (!link)
    return post_event(ProbeEnded{server, false, {}});
  link->response_timer = start_timer(settings_.probe_timeout, TimerKind::box_timeout, link->id);
  link->reader.expect(true);
  send_request(*link, http::request_text("HEAD", "/", box_request_fields(nullptr, nullptr, false)));
}

// A later object of a playback that plays.
void Manager::fetch_from_box(ViewerConnection& viewer, Playback& playback) {
  timers_.cancel(playback.idle_timer);
  if (const auto& buffer = viewer.hints.hints.buffer_length)
    playback.buffer_length = std::chrono::milliseconds(std::min<std::int64_t>(*buffer, 60'000));
  ++playback.objects_in_flight;
  auto* link = acquire_connection(playback.server, ConnectionPurpose::object, viewer.retried);
  if (!link) {
    --playback.objects_in_flight;
    restart_idle_timer(playback);
    if (may_have_been_charged(playback))
      return respond(viewer, 502, "the box has all the connections it may have\n");
    return respond(viewer, 503, "the box has all the connections it may have\n", short_retry_after());
  }
  viewer.box_connection = link->id;
  link->playback_id = playback.id;
  link->viewer_connection = viewer.id;
  const auto target = box_request_target(viewer, playback, *link);
  // A box that is silent for as long as a set-up should take leaves time to ask another. One that was asked
  // to wait for a segment to come waits for that too.
  Duration limit = settings_.policy.plans[playback.plan].startup_target;
  if (viewer.blocking_reload && playback.hls)
    limit += 3 * playback.hls->target_duration;
  link->response_timer = start_timer(limit, TimerKind::box_timeout, link->id);
  link->reader.expect(false);
  send_request(*link, http::request_text("GET", target, box_request_fields(&viewer, &playback, false)));
}

void Manager::on_box_response(BoxConnection& link, http::ResponseReader::Part part) {
  const ConnectionId id = link.id;
  if (part.fault && !part.head && !part.done) {
    log_event("box_malformed",
              {{"box", link.purpose == ConnectionPurpose::box_list         ? std::string("list")
                       : link.purpose == ConnectionPurpose::catalogue_feed ? std::string("feed")
                       : link.purpose == ConnectionPurpose::token_keys     ? std::string("issuer")
                                                                           : box_list_.box(link.server).name},
               {"cause", part.fault->cause}});
    if (link.purpose == ConnectionPurpose::idle)
      return close_box_connection(id);
    return on_box_failure(link, link.head_received ? Outcome::reset : Outcome::error);
  }
  if (link.purpose == ConnectionPurpose::idle)
    return close_box_connection(id);
  // Bytes behind a response that nobody asked for make the connection worth nothing.
  if (part.fault)
    link.keep_alive = false;
  if (part.head) {
    link.head_received = true;
    link.head_received_at = link.measured_at = now_;
    link.status = part.head->status;
    link.keep_alive = link.keep_alive && part.head->keep_alive;
  }
  switch (link.purpose) {
    case ConnectionPurpose::box_list:
      link.body += part.body;
      if (link.body.size() > most_list)
        return on_box_list_response(link, false);
      if (part.head) {
        const auto* etag = http::find(part.head->fields, "ETag");
        if (etag && link.status == 200)
          box_list_etag_ = *etag;
      }
      if (part.done)
        on_box_list_response(link, true);
      return;
    case ConnectionPurpose::catalogue_feed:
      link.body += part.body;
      if (part.done)
        on_catalogue_feed_response(link, true);
      return;
    case ConnectionPurpose::token_keys:
      link.body += part.body;
      if (link.body.size() > most_list)
        return on_token_keys_response(link, false);
      if (part.done)
        on_token_keys_response(link, true);
      return;
    case ConnectionPurpose::probe:
      if (part.head) {
        const auto said = hints::read_cmsd("", http::joined(part.head->fields, "CMSD-Dynamic"));
        LoadReport load;
        if (!said.hops.empty())
          load = weighing_.handle(now_, hints::BoxSaid{link.server, said.hops.front(), 0})
                     .report.value_or(LoadReport{});
        post_event(ProbeEnded{link.server, link.status < 500, load});
      }
      if (part.done)
        release_connection(link, true);
      return;
    case ConnectionPurpose::setup_try:
      if (part.head && link.collects_playlist && part.head->status == 200) {
        if (const auto playback = playbacks_.find(*link.playback_id); playback == playbacks_.end())
          return close_box_connection(id);
        read_box_hints(link, *part.head, 0);
      }
      if (link.collects_playlist && link.status == 200)
        return collect_playlist(link, part);
      if (part.head) {
        on_try_response(link, *part.head);
        const auto still = box_connections_.find(id);
        if (still == box_connections_.end() || still->second->purpose != ConnectionPurpose::object) {
          if (still != box_connections_.end() && part.done)
            release_connection(link, true);
          return;
        }
      }
      return forward_object(link, part);
    case ConnectionPurpose::object:
      if (part.head) {
        const auto viewer = viewer_connections_.find(link.viewer_connection);
        read_box_hints(link, *part.head, 0);
        // The box is well and knows nothing of the playback: it was restarted or has let it go.
        if (part.head->status == 421)
          return on_box_failure(link, Outcome::error);
        // Nor does a box have what the catalogue has taken from it since the playback began.
        if (part.head->status == 404 || part.head->status == 410) {
          const auto playback = playbacks_.find(*link.playback_id);
          const auto* entry = playback == playbacks_.end() ? nullptr : catalogue_entry(*playback->second);
          if (entry && !std::binary_search(entry->holders->begin(), entry->holders->end(), link.server))
            return on_box_failure(link, Outcome::error);
        }
        link.collects_playlist = link.collects_playlist && part.head->status == 200;
        if (viewer != viewer_connections_.end() && !link.collects_playlist)
          send_response_head(*viewer->second, link, *part.head);
      }
      if (link.collects_playlist)
        return collect_playlist(link, part);
      return forward_object(link, part);
    case ConnectionPurpose::idle:
      return;
  }
}

// What a box's answer to a set-up try means.
void Manager::on_try_response(BoxConnection& link, const http::ResponseHead& head) {
  timers_.cancel(link.response_timer);
  const auto found = playbacks_.find(*link.playback_id);
  if (found == playbacks_.end())
    return close_box_connection(link.id);
  read_box_hints(link, head, rate_kb(*found->second, link.rung));
  if (head.status == 200 || head.status == 206)
    return on_try_succeeded(link, &head);
  // 503 is the box's word that it took nothing on (RFC 9110, 15.6.4); the rest may have run.
  on_try_failed(link, head.status == 503 ? Outcome::full : Outcome::error,
                {{"status", std::int64_t{head.status}}});
}

// `head`: of the object that goes on to its viewer; none where the answer was a playlist.
void Manager::on_try_succeeded(BoxConnection& link, const http::ResponseHead* head) {
  auto& playback = *playbacks_.at(*link.playback_id);
  playback.try_connection = 0;
  link.purpose = ConnectionPurpose::object;
  playback.playing = true;
  timers_.cancel(playback.setup_deadline_timer);
  if (playback.recording) {
    if (auto asking = setups_by_recording_.find(*playback.recording); asking != setups_by_recording_.end())
      asking->second.erase(playback.id);
  }
  timers_.cancel(link.response_timer);
  link.response_timer =
      start_timer(settings_.plans[playback.plan].abandon_time, TimerKind::box_timeout, link.id);
  log_event("playback_plays", {{"playback", log_id(playback.id)},
                               {"box", box_list_.box(link.server).name},
                               {"rung", std::int64_t{link.rung}},
                               {"tries", std::int64_t{playback.tries}},
                               {"waited_ms", (now_ - playback.setup_requested_at).count() / 1000}});
  post_event(PlaybackStarted{playback.id, link.server, now_ - link.sent_at});
  ++playback.objects_in_flight;
  const auto askers = std::move(playback.waiting_viewers);
  playback.waiting_viewers.clear();
  const auto first = viewer_connections_.find(link.viewer_connection);
  if (first != viewer_connections_.end()) {
    if (playback.bound_to_connection)
      playback_by_connection_[link.viewer_connection] = playback.id;
    first->second->waits_for_setup = false;
    if (head)
      send_response_head(*first->second, link, *head);
  } else {
    link.viewer_connection = 0;
  }
  for (const auto asker : askers) {
    const auto other = viewer_connections_.find(asker);
    if (other == viewer_connections_.end() || asker == link.viewer_connection)
      continue;
    other->second->waits_for_setup = false;
    if (other->second->resource == ViewerConnection::Resource::object ||
        admit_hls_request(*other->second, playback))
      fetch_from_box(*other->second, playback);
  }
}

void Manager::on_try_failed(BoxConnection& link, Outcome outcome, std::vector<LogField> more) {
  auto& playback = *playbacks_.at(*link.playback_id);
  playback.try_connection = 0;
  std::vector<LogField> fields{{"playback", log_id(playback.id)}, {"box", box_list_.box(link.server).name}};
  fields.insert(fields.end(), more.begin(), more.end());
  log_event("try_ended", std::move(fields));
  if (const auto viewer = viewer_connections_.find(link.viewer_connection);
      viewer != viewer_connections_.end())
    viewer->second->box_connection = 0;
  link.playback_id.reset();
  link.viewer_connection = 0;
  link.collects_playlist = false;
  link.purpose = ConnectionPurpose::probe;  // the rest of its answer is read and let go
  link.head_received = true;
  timers_.cancel(link.response_timer);
  link.response_timer = start_timer(settings_.probe_timeout, TimerKind::box_timeout, link.id);
  post_event(TryEnded{playback.id, link.server, outcome, false, {}});
}

void Manager::read_box_hints(BoxConnection& link, const http::ResponseHead& head, double rate) {
  link.cmsd_dynamic = http::joined(head.fields, "CMSD-Dynamic");
  const auto said = hints::read_cmsd(http::joined(head.fields, "CMSD-Static"), link.cmsd_dynamic);
  if (!said.dynamic_whole)
    link.cmsd_dynamic.clear();
  if (!said.faults.empty())
    log_event("box_hints_left_out",
              {{"box", box_list_.box(link.server).name}, {"cause", said.faults.front()}});
  double length = seconds(settings_.object_duration);
  if (said.fixed && said.fixed->object_duration && *said.fixed->object_duration > 0)
    length = static_cast<double>(*said.fixed->object_duration) / 1000;
  const auto playback = playbacks_.find(link.playback_id.value_or(~PlaybackId{0}));
  double rung_rate = playback == playbacks_.end() ? rate : rate_kb(*playback->second, link.rung);
  if (link.collects_playlist || link.off_ladder)
    rung_rate = 0;
  link.object_bytes_per_s = link.collects_playlist ? 0
                            : head.length          ? static_cast<double>(*head.length) / length
                                                   : rung_rate * 1000;
  if (!said.hops.empty())
    apply_weighing(weighing_.handle(now_, hints::BoxSaid{link.server, said.hops.front(), rung_rate}),
                   link.server);
}

void Manager::forward_object(BoxConnection& link, http::ResponseReader::Part& part) {
  const ConnectionId id = link.id;
  link.received_bytes += part.body.size();
  const auto found = viewer_connections_.find(link.viewer_connection);
  if (found != viewer_connections_.end()) {
    auto& viewer = *found->second;
    if (!part.body.empty())
      send_to_viewer(viewer, viewer.chunked ? http::chunk(part.body) : std::move(part.body));
    if (part.done && viewer.chunked)
      send_to_viewer(viewer, std::string(http::last_chunk));
  }
  if (!part.done) {
    if (part.body.empty())
      return;
    timers_.cancel(link.response_timer);
    const auto playback = playbacks_.find(*link.playback_id);
    const int plan = playback == playbacks_.end() ? 0 : playback->second->plan;
    link.response_timer = start_timer(settings_.plans[plan].abandon_time, TimerKind::box_timeout, id);
    if (now_ - link.measured_at >= measure_every)
      measure_delivery(link, false);
    return;
  }
  measure_delivery(link, true);
  if (const auto playback = playbacks_.find(*link.playback_id); playback != playbacks_.end()) {
    if (playback->second->objects_in_flight > 0)
      --playback->second->objects_in_flight;
    restart_idle_timer(*playback->second);
  }
  const ConnectionId viewer = link.viewer_connection;
  release_connection(link, true);
  if (const auto still = viewer_connections_.find(viewer); still != viewer_connections_.end())
    finish_response(*still->second);
}

// Tells the weighing how the box kept up since the last measure.
void Manager::measure_delivery(BoxConnection& link, bool whole) {
  const Duration took = now_ - link.measured_at;
  const auto bytes = static_cast<double>(link.received_bytes - link.measured_bytes);
  if (link.object_bytes_per_s <= 0 || (whole && bytes == 0) || link.status >= 300)
    return;
  const double share =
      took < least_measured ? 1.0 : std::min(1.0, bytes / (link.object_bytes_per_s * seconds(took)));
  apply_weighing(weighing_.handle(now_, hints::Delivered{*link.playback_id, link.server, share,
                                                         link.paused_since_measure}),
                 link.server);
  link.measured_at = now_;
  link.measured_bytes = link.received_bytes;
  link.paused_since_measure = link.reading_paused;
}

void Manager::on(const Disconnected& what) {
  if (is_peer_connection(what.connection))
    return peers_->on_closed(now_, what.connection);
  if (what.connection >= first_accepted) {
    if (control_connections_.contains(what.connection))
      return on_control_closed(what.connection);
    const auto found = viewer_connections_.find(what.connection);
    if (found == viewer_connections_.end())
      return;
    const auto viewer = std::move(found->second);
    viewer_connections_.erase(found);
    timers_.cancel(viewer->stall_timer);
    on_viewer_closed(*viewer);
    if (shutting_down_ && viewer_connections_.empty())
      actions_->push_back(StopLoop{});
    return;
  }
  const auto found = box_connections_.find(what.connection);
  if (found == box_connections_.end())
    return;
  auto& link = *found->second;
  if (link.purpose == ConnectionPurpose::idle)
    return close_box_connection(what.connection);
  if (what.reason == CloseReason::finished && link.connected) {
    auto rest = link.reader.close();  // a body without a length ends so
    if (!rest.fault && (rest.done || rest.head)) {
      link.keep_alive = false;
      return on_box_response(link, std::move(rest));
    }
  }
  const auto unmade = what.reason == CloseReason::local_failure ? Outcome::not_sent : Outcome::no_connection;
  on_box_failure(link, link.connected ? Outcome::reset : unmade);
}

void Manager::on_box_timeout(BoxConnection& link) {
  // Guards against taking this front's own standing still for the box's: what came meanwhile is read first.
  if (now_ < stall_recovery_until_) {
    link.response_timer = timers_.schedule(stall_recovery_until_, {TimerKind::box_timeout, link.id});
    return;
  }
  if (!link.connected)
    return on_box_failure(link, Outcome::no_connection);
  // Guards against blaming a box for what its viewer does not read.
  if (link.purpose == ConnectionPurpose::object && link.reading_paused) {
    link.response_timer = start_timer(settings_.connect_timeout, TimerKind::box_timeout, link.id);
    return;
  }
  on_box_failure(link, Outcome::late);
}

// A link that failed while it was in use; what that means depends on what it was used for.
void Manager::on_box_failure(BoxConnection& link, Outcome outcome) {
  const auto use = link.purpose;
  const auto server = link.server;
  const bool head_seen = link.head_received, kept = link.reused;
  const auto id = link.playback_id;
  const auto viewer_link = link.viewer_connection;
  if (use == ConnectionPurpose::box_list)
    return on_box_list_response(link, false);
  if (use == ConnectionPurpose::catalogue_feed)
    return on_catalogue_feed_response(link, false);
  if (use == ConnectionPurpose::token_keys)
    return on_token_keys_response(link, false);
  close_box_connection(link.id);
  if (use == ConnectionPurpose::probe) {
    if (!head_seen)
      post_event(ProbeEnded{server, false, {}, outcome != Outcome::not_sent});
    return;
  }
  const auto found = playbacks_.find(id.value_or(~PlaybackId{0}));
  const auto viewer = viewer_connections_.find(viewer_link);
  if (viewer != viewer_connections_.end())
    viewer->second->box_connection = 0;
  if (use == ConnectionPurpose::setup_try) {
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
  // A kept connection that the box closed meanwhile proves nothing against it: once more on a new one.
  if (kept && !head_seen && outcome == Outcome::reset && viewer != viewer_connections_.end() &&
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
    return close_viewer(viewer_link, true);  // a body cut short must look cut short
  // The object was not begun: its viewer asks anew here, as it would after a break. A plan paid at set-up
  // is not set up again on the front's own account.
  if (pay_at_setup)
    return respond(waiting, 502, "the box of this playback is lost\n");
  if (now_ - waiting.received_at >=
      part_of(settings_.plans[waiting.media_path.plan].abandon_time, answer_part))
    return respond(waiting, 504, "the box of this playback is lost, and the time is up\n");
  dispatch_to_playback(waiting);
}

// The link is whole and free: kept for the next request, or closed.
void Manager::release_connection(BoxConnection& link, bool reusable) {
  timers_.cancel(link.response_timer);
  link.playback_id.reset();
  link.viewer_connection = 0;
  link.collects_playlist = false;
  const bool wanted = reusable && link.keep_alive && !shutting_down_ &&
                      box_list_.box(link.server).state != ServerState::gone &&
                      idle_connections_[link.server].size() < settings_.max_idle_connections_per_box;
  if (!wanted)
    return close_box_connection(link.id);
  link.purpose = ConnectionPurpose::idle;
  if (link.reading_paused) {
    link.reading_paused = false;
    actions_->push_back(ResumeReading{link.id});
  }
  idle_connections_[link.server].push_back(link.id);
}

void Manager::close_box_connection(ConnectionId id) {
  const auto found = box_connections_.find(id);
  if (found == box_connections_.end())
    return;
  auto& link = *found->second;
  timers_.cancel(link.response_timer);
  timers_.cancel(link.connect_timer);
  if (link.purpose != ConnectionPurpose::box_list && link.purpose != ConnectionPurpose::catalogue_feed &&
      link.purpose != ConnectionPurpose::token_keys) {
    --open_connections_[link.server];
    std::erase(idle_connections_[link.server], id);
  }
  actions_->push_back(Close{id, false});
  box_connections_.erase(found);
}

// ---- the list ----

void Manager::poll_box_list() {
  start_timer(jittered(settings_.box_list_interval), TimerKind::box_list_poll, 0);
  if (box_list_pending_ || settings_.box_list_port == 0)
    return;
  box_list_pending_ = true;
  request_from_service(ConnectionPurpose::box_list, settings_.box_list_address, settings_.box_list_port,
                       "/boxes", box_list_etag_, 2 * settings_.box_list_interval);
}

// One request of a service that is no box, on a connection of its own.
Manager::BoxConnection& Manager::request_from_service(ConnectionPurpose use, const std::string& address,
                                                      std::uint16_t port, const std::string& target,
                                                      const std::string& etag, Duration limit) {
  auto fresh = std::make_unique<BoxConnection>();
  auto& link = *fresh;
  link.id = next_connection_;
  next_connection_ = next_connection_ + 1 < peer_links ? next_connection_ + 1 : 1;
  link.purpose = use;
  box_connections_.emplace(link.id, std::move(fresh));
  actions_->push_back(Dial{link.id, address, port});
  link.response_timer = start_timer(limit, TimerKind::box_timeout, link.id);
  link.reader.expect(false);
  http::Fields fields{{"Host", address}, {"Via", "1.1 " + settings_.name}, {"Connection", "close"}};
  if (!etag.empty())
    fields.emplace_back("If-None-Match", etag);
  send_request(link, http::request_text("GET", target, fields));
  return link;
}

void Manager::on_box_list_response(BoxConnection& link, bool whole) {
  box_list_pending_ = false;
  const auto body = std::move(link.body);
  const int status = link.head_received ? link.status : 0;
  close_box_connection(link.id);
  if (whole && status == 304)
    return;
  if (!whole || status != 200) {
    box_list_etag_.clear();
    log_event("list_failed", {{"status", std::int64_t{status}}});
    return post_event(ServerListFailed{});
  }
  auto news = box_list_.apply(now_, body);
  // Only a list that is taken whole is one to begin with after a restart.
  if (news.list && news.not_applied_cause.empty())
    actions_->push_back(WriteFile{"boxes.json", body});
  if (!news.not_applied_cause.empty())
    box_list_etag_.clear();  // the next answer must come whole to be weighed again
  apply_box_list(std::move(news), "service");
}

void Manager::apply_box_list(boxlist::ListUpdate news, const char* source) {
  if (news.error) {
    box_list_etag_.clear();
    log_event("list_malformed",
              {{"source", std::string(source)}, {"place", news.error->place}, {"cause", news.error->cause}});
    return post_event(ServerListFailed{});
  }
  if (!news.not_applied_cause.empty())
    log_event("list_passed_over", {{"source", std::string(source)}, {"cause", news.not_applied_cause}});
  if (idle_connections_.size() < box_list_.size())
    idle_connections_.resize(box_list_.size()), open_connections_.resize(box_list_.size(), 0);
  // Connections to a process that is no more, or is elsewhere now, lead nowhere.
  for (const auto server : news.replaced) {
    const auto idle = idle_connections_[server];
    for (const auto link : idle)
      close_box_connection(link);
  }
  if (!news.list)
    return;
  log_event("list_taken", {{"source", std::string(source)},
                           {"revision", box_list_.revision()},
                           {"boxes", static_cast<std::int64_t>(news.list->entries.size())}});
  post_event(*news.list);
  // Guards against a try decided before word of a drain that is sent past the grace, when its connection
  // opens: what is not written to a socket yet is taken back.
  std::vector<PlaybackId> unsent;
  for (const auto& [id, link] : box_connections_) {
    if (link->purpose != ConnectionPurpose::setup_try || link->connected || !link->playback_id)
      continue;
    const bool moved =
        std::find(news.replaced.begin(), news.replaced.end(), link->server) != news.replaced.end();
    if (moved || box_list_.box(link->server).state != ServerState::ready)
      unsent.push_back(*link->playback_id);
  }
  std::sort(unsent.begin(), unsent.end());
  for (const auto id : unsent)
    cancel_unsent_try(*playbacks_.at(id));
}

// ---- the module ----

void Manager::post_event(const Event& event) { events_.push_back(event); }

void Manager::apply_weighing(hints::Weighed weighed, ServerId server) {
  if (weighed.last_mile)
    log_event("viewer_line_short", {{"playback", log_id(*weighed.last_mile)}});
  for (const auto& note : weighed.notes)
    post_event(note);
  if (!weighed.report)
    return;
  const auto& report = *weighed.report;
  if (report.link_fill)
    post_event(Measurement{~PlaybackId{0}, server, Measurement::Kind::link_fill, *report.link_fill});
  if (report.uplink_fill)
    post_event(Measurement{~PlaybackId{0}, server, Measurement::Kind::uplink_fill, *report.uplink_fill});
}

// Everything waits in line, so that no order is carried out in the middle of another matter.
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
    const auto link = *viewers_to_read_.begin();
    viewers_to_read_.erase(viewers_to_read_.begin());
    if (const auto found = viewer_connections_.find(link); found != viewer_connections_.end())
      process_requests(*found->second);
  }
}

void Manager::execute(const Command& command) {
  std::visit(Overloaded{
                 [this](const SetUp& o) { start_try(o); },
                 [this](const SetRung& o) {
                   const auto found = playbacks_.find(o.playback);
                   if (found == playbacks_.end())
                     return;
                   auto& playback = *found->second;
                   if (playback.playing)
                     log_event("rung_set", {{"playback", log_id(o.playback)},
                                            {"from", std::int64_t{playback.rung}},
                                            {"to", std::int64_t{o.rung}}});
                   playback.rung = o.rung;
                   if (playback.hls)
                     playback.hls->rung_policy.handle(now_, hls::RungDecided{o.rung});
                 },
                 [this](const Reject& o) {
                   const auto found = playbacks_.find(o.playback);
                   if (found == playbacks_.end())
                     return;
                   http::Fields more;
                   // Those turned away together are not told to come back together.
                   const auto whole = (jittered(o.retry_after).count() + 999'999) / 1'000'000;
                   if (whole > 0)
                     more.emplace_back("Retry-After", std::to_string(whole));
                   record_ended_playback(*found->second, hls::EndReason::rejected, o.retry_after);
                   if (found->second->recording)
                     demand_.record_turned_away(now_, *found->second->recording);
                   end_with_response(*found->second, 503, "rejected: no box has room\n", more);
                 },
                 [this](const Abort& o) {
                   const auto found = playbacks_.find(o.playback);
                   if (found == playbacks_.end())
                     return;
                   const int status = found->second->last_try_timed_out ? 504 : 502;
                   end_with_response(*found->second, status, "aborted: the set-up failed\n", {});
                 },
                 [this](const Probe& o) { start_probe(o.server); },
                 [this](const SetTimer& o) { start_timer(o.delay, TimerKind::policy, o.token); },
                 [this](const SubscribeServerList&) {},  // the list is followed in any case
             },
             command);
}

// ---- stopping ----

// Guards against an end of the process that leaves anybody without an answer.
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
      end_with_response(playback, 504, "this front stops, and the set-up took too long\n", {});
    else
      end_with_response(playback, 503, "this front stops\n", short_retry_after());
  }
}

// Everybody is answered: what waits for a set-up by the module, what plays gets its object to the end.
void Manager::on(const ShutdownRequested&) {
  if (shutting_down_)
    return;
  shutting_down_ = true;
  log_event("stopping", {{"playbacks", static_cast<std::int64_t>(playbacks_.size())}});
  actions_->push_back(StopListening{0});
  start_timer(settings_.shutdown_timeout, TimerKind::shutdown_deadline, 0);
  std::vector<ConnectionId> idle;
  for (auto& [link, viewer] : viewer_connections_) {
    if (!viewer->busy)
      idle.push_back(link);
    else
      viewer->close_after = true;
  }
  std::sort(idle.begin(), idle.end());
  for (const auto link : idle)
    close_viewer(link, false);
  if (viewer_connections_.empty())
    actions_->push_back(StopLoop{});
}

}  // namespace violettide::manager
