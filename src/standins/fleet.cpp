#include "standins/fleet.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "cataloguewire/json.h"
#include "cataloguewire/resource.h"
#include "gzip/gzip.h"
#include "hints/cmcd.h"
#include "hints/cmsd.h"

namespace violettide::standins {

namespace {

using namespace std::chrono_literals;
constexpr Duration step_interval = 10ms;
constexpr Duration report_interval = 200ms;  // between updates of the load that a box reports in CMSD
constexpr double overload_slack = 2;  // setups above the limit, for random variation; as the auditor counts
constexpr Duration death_notice_delay = 500ms;  // until the list service notices that a process died

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

Fleet::Fleet(Scenario scenario, std::vector<std::uint16_t> ports, Duration scenario_offset, TraceSink sink)
    : scenario_(std::move(scenario)),
      ports_(std::move(ports)),
      scenario_offset_(scenario_offset),
      sink_(std::move(sink)),
      boxes_(scenario_.boxes.size()),
      random_(scenario_.seed + 2) {
  for (auto& box : boxes_)
    box.started = -std::chrono::hours(1);
}

void Fleet::record_event(trace::Passed::Kind kind, int box, const Connection* connection, int status) {
  trace::Passed record;
  record.set_at_us(trace_clock_offset_ + static_cast<std::uint64_t>(now_.count()));
  record.set_kind(kind);
  record.set_box(scenario_.boxes[box].name);
  record.set_status(status);
  record.set_number(static_cast<std::uint64_t>(boxes_[box].incarnation));
  if (connection) {
    record.set_manager(connection->manager);
    record.set_trace(connection->trace);
    record.set_sid(connection->sid);
    record.set_plan(connection->plan_name);
    record.set_title(connection->title);
    // A multivariant playlist and an audio track belong to no rung.
    const bool of_none =
        connection->hls && (connection->hls->audio || connection->hls->kind == HlsPath::Kind::multivariant);
    record.set_rung(of_none ? -1 : connection->rung);
    if (connection->hls)
      record.set_state("hls");
  }
  sink_(record);
}

void Fleet::handle(Duration now, const IoEvent& what, std::vector<Action>& actions) {
  const bool first_event = list_history_.empty();
  now_ = std::max(now_, now);
  if (first_event) {
    last_step_ = now_;
    record_list_state();
    init_catalogue();
    list_history_.front().visible_at = -std::chrono::hours(1);
    for (int i = 0; i < static_cast<int>(boxes_.size()); ++i)
      record_event(trace::Passed::UP, i, nullptr, 1);
    actions.push_back(StartTimer{now_ + step_interval});
  }
  std::visit(Overloaded{
                 [&](const Accepted& a) {
                   auto& connection = connections_[a.connection];
                   connection.listener = a.listener;
                 },
                 [&](const Received& r) {
                   const auto found = connections_.find(r.connection);
                   if (found == connections_.end())
                     return;
                   found->second.reader.push(r.bytes);
                   if (!found->second.busy)
                     process_requests(r.connection, found->second, actions);
                 },
                 [&](const HalfClosed& h) {
                   const auto found = connections_.find(h.connection);
                   if (found == connections_.end())
                     return;
                   if (found->second.is_setup)
                     record_event(trace::Passed::TRY_ENDED, found->second.listener, &found->second, 0);
                   actions.push_back(Close{h.connection, false});
                   connections_.erase(found);
                 },
                 [&](const Disconnected& e) {
                   const auto found = connections_.find(e.connection);
                   if (found == connections_.end())
                     return;
                   if (found->second.is_setup)
                     record_event(trace::Passed::TRY_ENDED, found->second.listener, &found->second, 0);
                   connections_.erase(found);
                 },
                 [&](const TimerFired&) {},
                 [&](const ShutdownRequested&) {
                   stopping_ = true;
                   actions.push_back(StopLoop{});
                 },
                 [&](const auto&) {},
             },
             what);
  if (now_ - last_step_ >= step_interval) {
    apply_faults(actions);
    move_recordings(seconds(now_ - last_step_), actions);
    step(actions);
    actions.push_back(StartTimer{now_ + step_interval});
  }
}

// ---- faults ----

const Fault* Fleet::active_fault(int box, FaultKind kind) const {
  for (const auto& fault : scenario_.faults) {
    if (fault.kind != kind || scenario_now() < fault.start || scenario_now() >= fault.start + fault.duration)
      continue;
    if (fault.targets.empty() ||
        std::find(fault.targets.begin(), fault.targets.end(), box) != fault.targets.end())
      return &fault;
  }
  return nullptr;
}

void Fleet::apply_faults(std::vector<Action>& actions) {
  for (std::size_t t = 0; t < scenario_.faults.size(); ++t) {
    const auto& fault = scenario_.faults[t];
    const Duration since = scenario_now() - fault.start;
    for (const int box : fault.targets) {
      const bool begins = since >= 0s && !started_faults_.contains({t, box});
      const bool ends = since >= fault.duration && !ended_faults_.contains({t, box});
      if (fault.kind == FaultKind::drain) {
        // The process exits `magnitude` seconds after the drain starts and restarts when the fault ends.
        if (begins)
          boxes_[box].draining = true, started_faults_.insert({t, box}), record_list_state();
        if (since >= std::chrono::duration<double>(fault.magnitude) && started_faults_.contains({t, box}) &&
            boxes_[box].draining && boxes_[box].up && !ends && since < fault.duration)
          stop_box(box, actions, false);
        if (ends)
          ended_faults_.insert({t, box}), start_box(box, actions);
      } else if (fault.kind == FaultKind::crash || fault.kind == FaultKind::vanish ||
                 fault.kind == FaultKind::ageing) {
        const bool dies = fault.kind == FaultKind::ageing
                              ? since >= fault.duration / 2 && !boxes_[box].died_of_ageing
                              : begins;
        if (begins)
          started_faults_.insert({t, box});
        if (dies && !ends && boxes_[box].up) {
          boxes_[box].died_of_ageing = fault.kind == FaultKind::ageing;
          stop_box(box, actions, fault.kind == FaultKind::vanish);
        }
        if (ends)
          ended_faults_.insert({t, box}), start_box(box, actions);
      }
    }
  }
}

void Fleet::close_connections(int number, std::vector<Action>& actions) {
  for (auto it = connections_.begin(); it != connections_.end();) {
    if (it->second.listener != number) {
      ++it;
      continue;
    }
    if (it->second.is_setup)
      record_event(trace::Passed::TRY_ENDED, number, &it->second, -1);
    actions.push_back(Close{it->first, false});
    it = connections_.erase(it);
  }
}

void Fleet::stop_box(int number, std::vector<Action>& actions, bool vanishes) {
  auto& box = boxes_[number];
  box.up = false;
  box.sessions.clear();
  record_event(trace::Passed::DOWN, number, nullptr);
  record_list_state();
  if (vanishes)
    return;  // a vanished machine neither refuses nor resets connections
  actions.push_back(StopListening{number});
  close_connections(number, actions);
}

void Fleet::start_box(int number, std::vector<Action>& actions) {
  auto& box = boxes_[number];
  box.draining = box.died_of_ageing = false;
  if (box.up)
    return record_list_state();
  close_connections(number, actions);
  box.up = true;
  box.cold = true;
  box.started = scenario_now();
  ++box.incarnation;
  box.recent_setups.clear();
  box.reported_at = -10s;
  actions.push_back(Listen{number});
  record_event(trace::Passed::UP, number, nullptr);
  record_list_state();
}

// ---- box model ----

double Fleet::slowdown(int box) const {
  double slower = 1;
  if (const auto* fault = active_fault(box, FaultKind::slow))
    slower = std::max(1.0, fault->magnitude);
  if (const auto* fault = active_fault(box, FaultKind::ageing)) {
    const double aged = seconds(scenario_now() - fault->start) / std::max(0.1, seconds(fault->duration) / 2);
    slower = std::max(slower, 1 + std::min(1.0, aged) * (std::max(2.0, fault->magnitude) - 1));
  }
  return slower;
}

double Fleet::capacity_share(const Box& box) const {
  const auto& policy = scenario_.deployment.front.policy;
  if (!box.cold || policy.warmup_time <= 0s)
    return 1;
  const double age = seconds(scenario_now() - box.started) / seconds(policy.warmup_time);
  if (age >= 1)
    return 1;
  return policy.warmup_initial_share + (1 - policy.warmup_initial_share) * age * age;
}

double Fleet::link_capacity(int number) const {
  double capacity = scenario_.boxes[number].link_kb * capacity_share(boxes_[number]) / slowdown(number);
  if (const auto* fault = active_fault(number, FaultKind::neighbour)) {
    const auto phase = static_cast<int>(seconds(scenario_now() - fault->start) / 2.5);
    if (phase % 2 == 0)
      capacity *= 1 - std::min(0.95, fault->magnitude);
  }
  return capacity;
}

bool Fleet::is_unresponsive(int box) const {
  if (box >= static_cast<int>(boxes_.size()))
    return true;  // the list, feed and key listeners send no objects
  return !boxes_[box].up || active_fault(box, FaultKind::hang) || active_fault(box, FaultKind::vanish);
}

double Fleet::demand_on(int number) const {
  const auto& policy = scenario_.deployment.front.policy;
  double demand = 0;
  for (const auto& [sid, session] : boxes_[number].sessions)
    demand += policy.rung_kb[session.rung] * policy.plans[session.plan].rate_scale;
  return demand;
}

// Records a setup and tells whether a cold process fails under the number of recent ones.
bool Fleet::fails_when_cold(int number) {
  auto& box = boxes_[number];
  const auto& policy = scenario_.deployment.front.policy;
  if (!box.cold || scenario_now() - box.started >= policy.warmup_time)
    return false;
  const Duration fall = scenario_.deployment.overload_window;
  std::erase_if(box.recent_setups, [&](Duration at) { return at <= scenario_now() - fall; });
  box.recent_setups.push_back(scenario_now());
  const double pace = policy.streams_by_kind[scenario_.boxes[number].kind] / seconds(policy.warmup_time) *
                      capacity_share(box) * policy.overload_multiple;
  return static_cast<double>(box.recent_setups.size()) > pace * seconds(fall) + overload_slack;
}

std::string Fleet::cmsd_header(int number) {
  auto& box = boxes_[number];
  if (scenario_now() - box.reported_at >= report_interval) {
    box.reported_at = scenario_now();
    box.reported_util = demand_on(number) / std::max(1.0, link_capacity(number));
    box.reported_streams = static_cast<std::int64_t>(box.sessions.size());
    const auto racks = std::max(1, scenario_.deployment.front.policy.racks);
    double demand = 0;
    for (int i = 0; i < static_cast<int>(boxes_.size()); ++i) {
      if (scenario_.boxes[i].cell % racks == scenario_.boxes[number].cell % racks)
        demand += demand_on(i);
    }
    box.reported_uplink =
        scenario_.deployment.uplink_kb_per_s > 0 ? demand / scenario_.deployment.uplink_kb_per_s : 0;
  }
  hints::CmsdDynamic dynamic_hints;
  dynamic_hints.server = scenario_.boxes[number].name;
  const bool stale = active_fault(number, FaultKind::report_late);
  if (!stale)
    box.stale_util = box.reported_util, box.stale_uplink = box.reported_uplink;
  dynamic_hints.util = stale ? box.stale_util : box.reported_util;
  if (const auto* fault = active_fault(number, FaultKind::false_cmsd))
    dynamic_hints.util = fault->magnitude;
  if (scenario_.deployment.uplink_kb_per_s > 0)
    dynamic_hints.uplink = stale ? box.stale_uplink : box.reported_uplink;
  dynamic_hints.streams = box.reported_streams;
  dynamic_hints.duress = *dynamic_hints.util > 1;
  return hints::serialize_cmsd_entry(dynamic_hints);
}

// ---- requests ----

void Fleet::process_requests(ConnectionId id, Connection& connection, std::vector<Action>& actions) {
  while (!connection.busy) {
    auto request = connection.reader.next();
    if (!request) {
      if (connection.reader.error())
        actions.push_back(Close{id, false});
      return;
    }
    connection.close_after = !request->keep_alive;
    const auto via = http::combined_value(request->fields, "Via");
    const auto space = via.rfind(' ');
    connection.manager = space == std::string::npos ? "" : via.substr(space + 1);
    if (issuer_ && connection.listener == static_cast<int>(boxes_.size()) + (catalogue_ ? 2 : 1)) {
      issuer_->select_key(
          static_cast<int>(std::max(Duration(0), scenario_now()) / scenario_.issuer.rotation_interval));
      if (active_fault(-1, FaultKind::issuer_down))
        respond(id, connection, 503, {}, "", actions);
      else
        respond(id, connection, 200, {{"Content-Type", "application/jwk-set+json"}}, issuer_->key_set(),
                actions);
      if (!connections_.contains(id))
        return;
    } else if (connection.listener > static_cast<int>(boxes_.size())) {
      handle_feed_request(id, connection, *request, actions);
      if (!connections_.contains(id))
        return;
    } else if (connection.listener == static_cast<int>(boxes_.size())) {
      handle_list_request(id, connection, *request, actions);
      if (!connections_.contains(id))
        return;
    } else {
      handle_box_request(id, connection, *request, actions);
      if (!connections_.contains(id))
        return;
    }
  }
}

void Fleet::respond(ConnectionId id, Connection& connection, int status, http::Fields fields,
                    const std::string& body, std::vector<Action>& actions) {
  actions.push_back(
      Send{id, http::serialize_response_head(status, fields, body.size(), !connection.close_after) + body});
  if (connection.close_after)
    actions.push_back(Close{id, true}), connections_.erase(id);
}

void Fleet::handle_box_request(ConnectionId id, Connection& connection, const http::Request& request,
                               std::vector<Action>& actions) {
  const int number = connection.listener;
  auto& box = boxes_[number];
  connection.is_setup = false;
  if (is_unresponsive(number) && request.method == "HEAD") {
    connection.busy = true;  // never answered
    return;
  }
  if (request.method == "HEAD") {
    record_event(trace::Passed::PROBED, number, &connection);
    actions.push_back(
        Send{id, http::serialize_response_head(200, {{"CMSD-Dynamic", cmsd_header(number)}}, 0, true)});
    return;
  }
  connection.hls =
      scenario_.deployment.hls_enabled ? parse_hls_path(scenario_, request.target) : std::nullopt;
  manager::MediaPath as_hls;
  if (connection.hls)
    as_hls = {connection.hls->plan, connection.hls->title, connection.hls->rung, ""};
  const auto path = manager::parse_media_path(scenario_.deployment.front, request.target);
  const auto* media = connection.hls ? &as_hls : std::get_if<manager::MediaPath>(&path);
  if (!media || media->rung >= static_cast<int>(scenario_.deployment.front.policy.rung_kb.size()))
    return respond(id, connection, 404, {}, "", actions);
  connection.accepts_gzip = gzip::is_accepted(http::combined_value(request.fields, "Accept-Encoding"));
  const auto hints = hints::parse_cmcd(request.fields, request.target).cmcd;
  const auto* trace = http::find(request.fields, "traceparent");
  connection.trace = trace && trace->size() >= 35 ? trace->substr(3, 32) : "";
  connection.sid = hints.session_id.value_or("");
  connection.title = media->title;
  connection.plan = media->plan;
  connection.plan_name = scenario_.deployment.front.plans[media->plan].name;
  connection.rung = media->rung;
  connection.is_setup = hints.startup;
  record_event(connection.is_setup ? trace::Passed::SET_UP : trace::Passed::SERVED, number, &connection);
  // With a catalogue every box serves every recording. The auditor checks that setups go only to locations
  // that the catalogue lists.
  if (!catalogue_ && !is_holder(scenario_, scenario_.boxes[number], media->title)) {
    if (std::exchange(connection.is_setup, false))
      record_event(trace::Passed::TRY_ENDED, number, &connection, 404);
    return respond(id, connection, 404, {{"CMSD-Dynamic", cmsd_header(number)}}, "", actions);
  }
  connection.busy = true;
  connection.head_sent = false;
  connection.bytes_left = connection.byte_credit = 0;
  if (connection.is_setup && box.up && fails_when_cold(number)) {
    record_event(trace::Passed::FELL, number, &connection);
    stop_box(number, actions, false);  // closes this connection too
    return;
  }
  const bool full = connection.is_setup &&
                    static_cast<double>(box.sessions.size()) >=
                        scenario_.deployment.front.policy.streams_by_kind[scenario_.boxes[number].kind] &&
                    !box.sessions.contains(connection.sid);
  connection.status = full ? 503 : !connection.is_setup && !box.sessions.contains(connection.sid) ? 421 : 200;
  if (connection.is_setup && !full)
    box.sessions[connection.sid] = {connection.plan, connection.rung, now_};
  const double jitter = 0.7 + 0.6 * static_cast<double>(random_() % 1000) / 1000;
  const double time = connection.is_setup
                          ? seconds(scenario_.setup_time) * slowdown(number) * jitter / capacity_share(box)
                          : 0.001;
  connection.answer_at = now_ + Duration(static_cast<std::int64_t>(time * 1e6));
}

void Fleet::start_response(ConnectionId id, Connection& connection, std::vector<Action>& actions) {
  const int number = connection.listener;
  auto& box = boxes_[number];
  const auto& front = scenario_.deployment.front;
  connection.head_sent = true;
  if (std::exchange(connection.is_setup, false))
    record_event(trace::Passed::TRY_ENDED, number, &connection, connection.status);
  if (connection.status != 200) {
    connection.busy = false;
    respond(id, connection, connection.status, {{"CMSD-Dynamic", cmsd_header(number)}, {"Retry-After", "1"}},
            "", actions);
    if (connections_.contains(id))
      process_requests(id, connection, actions);
    return;
  }
  auto& session = box.sessions[connection.sid];
  if (connection.hls && connection.hls->kind != HlsPath::Kind::segment) {
    // A multivariant or media playlist request doesn't change the rung in play.
    session = {connection.plan, session.rung, now_};
    return send_playlist(id, connection, actions);
  }
  session = {connection.plan, connection.rung, now_};
  if (connection.hls) {
    const auto number = connection.hls->segment;
    const bool live = is_live(scenario_, connection.title);
    const auto faults = playlist_faults(connection.listener);
    if (live && (number > newest_segment(scenario_, scenario_now()) || (faults.has_gaps && is_gap(number)))) {
      connection.busy = false;
      respond(id, connection, 404, {{"CMSD-Dynamic", cmsd_header(connection.listener)}}, "", actions);
      if (connections_.contains(id))
        process_requests(id, connection, actions);
      return;
    }
  }
  const double rate =
      front.policy.rung_kb[connection.rung] * front.policy.plans[connection.plan].rate_scale * 1000;
  const double rate_factor =
      1 + scenario_.rate_variation * (static_cast<double>(random_() % 2001) / 1000 - 1);
  const auto size = static_cast<std::uint64_t>(rate * rate_factor * seconds(front.object_duration));
  connection.bytes_left = static_cast<double>(size);
  connection.bytes_per_s = rate * rate_factor * scenario_.pacing_factor;
  hints::CmsdStatic object_hints;
  object_hints.bitrate = std::llround(rate * 8 / 1000);
  object_hints.object_duration = front.object_duration.count() / 1000;
  object_hints.object_type = "v";
  object_hints.stream_type = "v";
  actions.push_back(
      Send{id, http::serialize_response_head(200,
                                             {{"Content-Type", "video/mp4"},
                                              {"CMSD-Static", hints::serialize_cmsd_static(object_hints)},
                                              {"CMSD-Dynamic", cmsd_header(number)}},
                                             size, !connection.close_after)});
  if (connection.hls) {
    const auto header = segment_header(*connection.hls).substr(0, size);
    connection.bytes_left -= static_cast<double>(header.size());
    actions.push_back(Send{id, header});
  }
}

PlaylistFaults Fleet::playlist_faults(int box) const {
  PlaylistFaults faults;
  if (const auto* fault = active_fault(box, FaultKind::list_behind))
    faults.lag_segments = std::llround(fault->magnitude);
  faults.has_gaps = active_fault(box, FaultKind::list_gaps);
  if (active_fault(box, FaultKind::list_nonsense))
    faults.invalid_variant = 1 + static_cast<int>(now_ / step_interval);
  return faults;
}

void Fleet::send_playlist(ConnectionId id, Connection& connection, std::vector<Action>& actions) {
  const auto faults = playlist_faults(connection.listener);
  auto text = connection.hls->kind == HlsPath::Kind::multivariant
                  ? multivariant_playlist(scenario_, *connection.hls, faults)
                  : media_playlist(scenario_, *connection.hls, scenario_now(), faults);
  http::Fields fields{{"Content-Type", "application/vnd.apple.mpegurl"},
                      {"CMSD-Dynamic", cmsd_header(connection.listener)}};
  if (connection.accepts_gzip && connection.listener % 2 == 1) {
    text = gzip::compress(text);
    fields.emplace_back("Content-Encoding", "gzip");
  }
  connection.busy = false;
  respond(id, connection, 200, std::move(fields), text, actions);
  if (connections_.contains(id))
    process_requests(id, connection, actions);
}

// Advances the model: sends due responses, and object bytes within the capacity of links and rack uplinks.
void Fleet::step(std::vector<Action>& actions) {
  const double elapsed = seconds(now_ - last_step_);
  last_step_ = now_;
  std::vector<ConnectionId> due;
  for (auto& [id, connection] : connections_) {
    if (!connection.busy || connection.head_sent || connection.answer_at > now_ ||
        is_unresponsive(connection.listener))
      continue;
    if (connection.is_setup && active_fault(connection.listener, FaultKind::answer_lost))
      continue;  // the setup took effect, but its answer is lost
    due.push_back(id);
  }
  for (const auto id : due) {
    if (const auto found = connections_.find(id); found != connections_.end())
      start_response(id, found->second, actions);
  }
  std::vector<double> demand(boxes_.size(), 0);
  for (const auto& [id, connection] : connections_) {
    if (connection.busy && connection.head_sent && !is_unresponsive(connection.listener))
      demand[connection.listener] += connection.bytes_per_s / 1000;
  }
  const auto racks = static_cast<std::size_t>(std::max(1, scenario_.deployment.front.policy.racks));
  std::vector<double> link_share(boxes_.size(), 1), rack_demand(racks, 0);
  for (std::size_t i = 0; i < boxes_.size(); ++i) {
    if (demand[i] > 0)
      link_share[i] = std::min(1.0, link_capacity(static_cast<int>(i)) / demand[i]);
    rack_demand[static_cast<std::size_t>(scenario_.boxes[i].cell) % racks] += demand[i] * link_share[i];
  }
  for (std::size_t i = 0; i < boxes_.size() && scenario_.deployment.uplink_kb_per_s > 0; ++i) {
    const double rack_total = rack_demand[static_cast<std::size_t>(scenario_.boxes[i].cell) % racks];
    if (rack_total > scenario_.deployment.uplink_kb_per_s)
      link_share[i] *= scenario_.deployment.uplink_kb_per_s / rack_total;
  }
  static const std::string padding(256 * 1024, 'v');
  std::vector<ConnectionId> finished;
  for (auto& [id, connection] : connections_) {
    if (!connection.busy || !connection.head_sent || is_unresponsive(connection.listener))
      continue;
    connection.byte_credit += connection.bytes_per_s * link_share[connection.listener] * elapsed;
    const auto bytes = static_cast<std::size_t>(
        std::min({connection.byte_credit, connection.bytes_left, static_cast<double>(padding.size())}));
    if (bytes > 0)
      actions.push_back(Send{id, padding.substr(0, bytes)});
    connection.byte_credit -= static_cast<double>(bytes);
    connection.bytes_left -= static_cast<double>(bytes);
    if (auto& sessions = boxes_[connection.listener].sessions; sessions.contains(connection.sid))
      sessions[connection.sid].last_seen = now_;
    if (connection.bytes_left < 1)
      finished.push_back(id);
  }
  for (const auto id : finished) {
    const auto found = connections_.find(id);
    if (found == connections_.end())
      continue;
    found->second.busy = false;
    if (found->second.close_after) {
      actions.push_back(Close{id, true});
      connections_.erase(found);
    } else {
      process_requests(id, found->second, actions);
    }
  }
  // A session without requests for the idle timeout, and at least four object durations, has ended.
  for (int i = 0; i < static_cast<int>(boxes_.size()); ++i) {
    std::erase_if(boxes_[i].sessions, [&](const auto& entry) {
      return now_ - entry.second.last_seen > std::max(scenario_.deployment.front.idle_timeout,
                                                      4 * scenario_.deployment.front.object_duration);
    });
  }
}

// ---- list service ----

// Records the boxes' states. The list shows them after `list_delay`, plus the `list_late` fault's delay.
void Fleet::record_list_state() {
  ListState state;
  Duration lag = scenario_.list_delay;
  if (const auto* fault = active_fault(-1, FaultKind::list_late))
    lag += Duration(static_cast<std::int64_t>(fault->magnitude * 1e6));
  state.visible_at = scenario_now() + lag;
  if (!list_history_.empty())
    state.visible_at = std::max(state.visible_at, list_history_.back().visible_at);
  state.revision = static_cast<std::int64_t>(list_history_.size()) + 1;
  for (const auto& box : boxes_) {
    state.states.push_back(box.draining ? (box.up ? "draining" : "gone") : box.up ? "ready" : "gone");
    state.incarnations.push_back(box.incarnation);
    state.started.push_back(box.started);
  }
  list_history_.push_back(std::move(state));
}

void Fleet::handle_list_request(ConnectionId id, Connection& connection, const http::Request& request,
                                std::vector<Action>& actions) {
  if (active_fault(-1, FaultKind::list_down)) {
    connection.busy = true;
    return;
  }
  if (request.target != "/boxes")
    return respond(id, connection, 404, {}, "", actions);
  const ListState* visible = &list_history_.front();
  for (const auto& state : list_history_) {
    if (state.visible_at <= scenario_now())
      visible = &state;
  }
  const auto etag = "\"" + std::to_string(visible->revision) + "\"";
  const auto* known_etag = http::find(request.fields, "If-None-Match");
  if (known_etag && *known_etag == etag)
    return respond(id, connection, 304, {{"ETag", etag}}, "", actions);
  nlohmann::json list{{"revision", visible->revision},
                      {"clock_ms", 10'000'000 + scenario_now().count() / 1000}};
  auto& boxes = list["boxes"] = nlohmann::json::array();
  for (std::size_t i = 0; i < boxes_.size(); ++i) {
    const auto& terms = scenario_.boxes[i];
    boxes.push_back({{"name", terms.name},
                     {"address", "127.0.0.1"},
                     {"port", ports_[i]},
                     {"state", visible->states[i]},
                     {"kind", terms.kind},
                     {"cell", terms.cell},
                     {"hall", scenario_.deployment.front.halls[terms.hall]},
                     {"weight", terms.weight},
                     {"started_ms", 10'000'000 + visible->started[i].count() / 1000}});
    auto& last_reported = reported_states_[connection.manager][terms.name];
    // A request without an ETag may come from a manager that just started, so every state is recorded again.
    if (std::exchange(last_reported, visible->states[i]) == visible->states[i] && known_etag)
      continue;
    trace::Passed record;
    record.set_at_us(trace_clock_offset_ + static_cast<std::uint64_t>(now_.count()));
    record.set_kind(trace::Passed::TOLD);
    record.set_manager(connection.manager);
    record.set_box(terms.name);
    record.set_state(visible->states[i]);
    record.set_number(static_cast<std::uint64_t>(visible->incarnations[i]));
    sink_(record);
  }
  respond(id, connection, 200, {{"Content-Type", "application/json"}, {"ETag", etag}}, list.dump(), actions);
}

// ---- catalogue origin ----

void Fleet::init_catalogue() {
  if (!scenario_.deployment.front.has_catalogue)
    return;
  catalogue::ReplicaConfig terms;
  terms.log_capacity = 32;  // short, so that a manager returning after an outage finds the log truncated
  catalogue_ = std::make_unique<catalogue::Replica>(
      terms, [](std::string_view) { return ServerId{0}; },
      static_cast<int>(scenario_.deployment.front.policy.rung_kb.size()));
  std::vector<catalogue::Change> all;
  for (int t = 0; t < scenario_.workload.title_count; ++t) {
    const auto title = "recording-" + std::to_string(t);
    catalogue::Recording recording{title, {}, {}};
    const auto& policy = scenario_.deployment.front.policy;
    for (int rung = 0; rung < static_cast<int>(policy.rung_kb.size()); ++rung)
      recording.renditions.push_back(
          {"r" + std::to_string(rung), rung, "avc1", policy.rung_kb[rung], std::chrono::minutes(3)});
    for (std::size_t b = 0; b < boxes_.size(); ++b) {
      if (!is_holder(scenario_, scenario_.boxes[b], title))
        continue;
      recording.locations.push_back({scenario_.boxes[b].name, catalogue::LocationState::here, 0});
      locations_[title].push_back(static_cast<int>(b));
    }
    all.push_back(catalogue::PutRecording{std::move(recording)});
  }
  catalogue_->handle(catalogue::ChangeRequest{0, std::nullopt, true, std::move(all)});
  catalogue_->handle(catalogue::BatchPersisted{1, std::nullopt});
}

void Fleet::move_recordings(double elapsed, std::vector<Action>& actions) {
  if (!catalogue_)
    return;
  if (const auto* fault = active_fault(-1, FaultKind::catalogue_moves))
    pending_moves_ += elapsed * fault->magnitude;
  for (; pending_moves_ >= 1; pending_moves_ -= 1) {
    auto& [title, holders] = *std::next(locations_.begin(), static_cast<long>(random_() % locations_.size()));
    const int to = static_cast<int>(random_() % boxes_.size());
    if (holders.size() < 2 || std::find(holders.begin(), holders.end(), to) != holders.end())
      continue;
    const auto from = random_() % holders.size();
    const std::vector<catalogue::Change> batch{
        catalogue::RemoveLocation{title, scenario_.boxes[holders[from]].name},
        catalogue::PutLocation{title, {scenario_.boxes[to].name, catalogue::LocationState::here, 0}}};
    holders[from] = to;
    catalogue_->handle(catalogue::ChangeRequest{0, std::nullopt, true, batch});
    catalogue_->handle(catalogue::BatchPersisted{catalogue_->current()->revision + 1, std::nullopt});
  }
  std::vector<ConnectionId> waiting;
  for (const auto& [id, connection] : connections_) {
    if (connection.feed_after)
      waiting.push_back(id);
  }
  for (const auto id : waiting) {
    auto& connection = connections_.at(id);
    if (send_feed_if_ready(id, connection, actions) || now_ < connection.feed_deadline)
      continue;
    const auto reply = cataloguewire::empty_feed_reply(catalogue_->current()->revision);
    connection.busy = false;
    connection.feed_after.reset();
    respond(id, connection, reply.status, reply.fields, reply.body, actions);
  }
}

void Fleet::record_location(const Connection& connection, const std::string& title, const std::string& box,
                            bool listed) {
  if (connection.reply_unusable)
    return;
  trace::Passed record;
  record.set_at_us(trace_clock_offset_ + static_cast<std::uint64_t>(now_.count()));
  record.set_kind(listed ? trace::Passed::LISTED : trace::Passed::UNLISTED);
  record.set_manager(connection.manager);
  record.set_title(title);
  record.set_box(box);
  record.set_number(catalogue_->current()->revision);
  sink_(record);
}

void Fleet::handle_feed_request(ConnectionId id, Connection& connection, const http::Request& request,
                                std::vector<Action>& actions) {
  const bool feed_broken = active_fault(-1, FaultKind::feed_broken);
  const auto response_fault = feed_broken ? random_() % 5 : 5;
  if (response_fault == 0) {  // closes the connection
    actions.push_back(Close{id, false});
    connections_.erase(id);
    return;
  }
  if (response_fault == 1)
    return respond(id, connection, 503, {}, "", actions);
  connection.reply_unusable = response_fault == 4;
  const auto catalogue_request = cataloguewire::read_request(request, *catalogue_);
  if (const auto* wait = std::get_if<cataloguewire::FeedLongPoll>(&catalogue_request)) {
    connection.feed_after = wait->after;
    connection.reply_unusable = false;
    connection.feed_deadline = now_ + wait->wait;
    connection.busy = true;
    if (response_fault == 2 && wait->after > 0)
      connection.feed_after = wait->after - 1;  // repeats a batch
    // Skips a batch. The manager must notice and not apply the reply.
    if (response_fault == 3 && catalogue_->current()->revision > wait->after + 1)
      ++*connection.feed_after, connection.reply_unusable = true;
    send_feed_if_ready(id, connection, actions);
    return;
  }
  const auto& reply = std::get<cataloguewire::Reply>(catalogue_request);
  if (reply.status == 200) {
    // A full snapshot: locations that it doesn't name are unlisted.
    for (const auto& [title, holders] : locations_) {
      for (std::size_t b = 0; b < boxes_.size(); ++b)
        record_location(connection, title, scenario_.boxes[b].name,
                        std::find(holders.begin(), holders.end(), static_cast<int>(b)) != holders.end());
    }
  }
  respond(id, connection, reply.status, reply.fields,
          response_fault == 4 ? reply.body.substr(0, reply.body.size() / 2) : reply.body, actions);
}

bool Fleet::send_feed_if_ready(ConnectionId id, Connection& connection, std::vector<Action>& actions) {
  const auto reply = cataloguewire::feed_reply(*catalogue_, *connection.feed_after);
  if (!reply)
    return false;
  if (const auto batches = catalogue_->batches_after(*connection.feed_after, 256)) {
    for (const auto& [revision, changes] : *batches) {
      for (const auto& change : *changes) {
        if (const auto* removed = std::get_if<catalogue::RemoveLocation>(&change))
          record_location(connection, removed->title, removed->box, false);
        if (const auto* here = std::get_if<catalogue::PutLocation>(&change))
          record_location(connection, here->title, here->location.box, true);
      }
    }
  }
  connection.busy = false;
  connection.feed_after.reset();
  respond(id, connection, reply->status, reply->fields, reply->body, actions);
  return true;
}

}  // namespace violettide::standins
