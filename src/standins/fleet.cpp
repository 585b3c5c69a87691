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
constexpr Duration step_every = 10ms;
constexpr Duration told_every = 200ms;  // how often a box's figures are taken anew
constexpr double fall_slack = 2;        // set-ups, for chance, as the rule is counted
constexpr Duration notice = 500ms;      // until the list service sees that a process died

double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

Fleet::Fleet(Scenario scenario, std::vector<std::uint16_t> ports, Duration scenario_offset, Sink sink)
    : scenario_(std::move(scenario)),
      ports_(std::move(ports)),
      scenario_offset_(scenario_offset),
      sink_(std::move(sink)),
      boxes_(scenario_.boxes.size()),
      chance_(scenario_.seed + 2) {
  for (auto& box : boxes_)
    box.started = -std::chrono::hours(1);
}

void Fleet::put(trace::Passed::Kind kind, int box, const Peer* peer, int status) {
  trace::Passed record;
  record.set_at_us(clock_offset_ + static_cast<std::uint64_t>(now_.count()));
  record.set_kind(kind);
  record.set_box(scenario_.boxes[box].name);
  record.set_status(status);
  record.set_number(static_cast<std::uint64_t>(boxes_[box].incarnation));
  if (peer) {
    record.set_manager(peer->via);
    record.set_trace(peer->trace);
    record.set_sid(peer->sid);
    record.set_plan(peer->plan_name);
    record.set_title(peer->title);
    // A list of renditions and an audio track are of no rung.
    const bool of_none = peer->hls && (peer->hls->audio || peer->hls->names == HlsPath::Names::lists);
    record.set_rung(of_none ? -1 : peer->rung);
    if (peer->hls)
      record.set_state("hls");
  }
  sink_(record);
}

void Fleet::handle(Duration now, const IoEvent& what, std::vector<Action>& actions) {
  const bool first = list_history_.empty();
  now_ = std::max(now_, now);
  if (first) {
    stepped_ = now_;
    record_list();
    begin_catalogue();
    list_history_.front().visible_at = -std::chrono::hours(1);
    for (int i = 0; i < static_cast<int>(boxes_.size()); ++i)
      put(trace::Passed::UP, i, nullptr, 1);
    actions.push_back(StartTimer{now_ + step_every});
  }
  std::visit(Overloaded{
                 [&](const Accepted& a) {
                   auto& peer = peers_[a.connection];
                   peer.door = a.listener;
                 },
                 [&](const Received& r) {
                   const auto found = peers_.find(r.connection);
                   if (found == peers_.end())
                     return;
                   found->second.reader.push(r.bytes);
                   if (!found->second.busy)
                     requests(r.connection, found->second, actions);
                 },
                 [&](const HalfClosed& h) {
                   const auto found = peers_.find(h.connection);
                   if (found == peers_.end())
                     return;
                   if (found->second.set_up)
                     put(trace::Passed::TRY_ENDED, found->second.door, &found->second, 0);
                   actions.push_back(Close{h.connection, false});
                   peers_.erase(found);
                 },
                 [&](const Disconnected& e) {
                   const auto found = peers_.find(e.connection);
                   if (found == peers_.end())
                     return;
                   if (found->second.set_up)
                     put(trace::Passed::TRY_ENDED, found->second.door, &found->second, 0);
                   peers_.erase(found);
                 },
                 [&](const TimerFired&) {},
                 [&](const ShutdownRequested&) {
                   stopping_ = true;
                   actions.push_back(StopLoop{});
                 },
                 [&](const auto&) {},
             },
             what);
  if (now_ - stepped_ >= step_every) {
    live_through_troubles(actions);
    move_recordings(seconds(now_ - stepped_), actions);
    step(actions);
    actions.push_back(StartTimer{now_ + step_every});
  }
}

// ---- troubles ----

const Fault* Fleet::ill_with(int box, FaultKind ill) const {
  for (const auto& fault : scenario_.faults) {
    if (fault.kind != ill || scenario_now() < fault.start || scenario_now() >= fault.start + fault.duration)
      continue;
    if (fault.targets.empty() ||
        std::find(fault.targets.begin(), fault.targets.end(), box) != fault.targets.end())
      return &fault;
  }
  return nullptr;
}

void Fleet::live_through_troubles(std::vector<Action>& actions) {
  for (std::size_t t = 0; t < scenario_.faults.size(); ++t) {
    const auto& fault = scenario_.faults[t];
    const Duration since = scenario_now() - fault.start;
    for (const int box : fault.targets) {
      const bool begins = since >= 0s && !begun_.contains({t, box});
      const bool ends = since >= fault.duration && !ended_.contains({t, box});
      if (fault.kind == FaultKind::drain) {
        // `size` seconds after the notice the process goes; it comes back when the trouble ends.
        if (begins)
          boxes_[box].drained = true, begun_.insert({t, box}), record_list();
        if (since >= std::chrono::duration<double>(fault.magnitude) && begun_.contains({t, box}) &&
            boxes_[box].drained && boxes_[box].up && !ends && since < fault.duration)
          go_down(box, actions, false);
        if (ends)
          ended_.insert({t, box}), come_up(box, actions);
      } else if (fault.kind == FaultKind::crash || fault.kind == FaultKind::vanish ||
                 fault.kind == FaultKind::ageing) {
        const bool dies = fault.kind == FaultKind::ageing
                              ? since >= fault.duration / 2 && !boxes_[box].ageing_died
                              : begins;
        if (begins)
          begun_.insert({t, box});
        if (dies && !ends && boxes_[box].up) {
          boxes_[box].ageing_died = fault.kind == FaultKind::ageing;
          go_down(box, actions, fault.kind == FaultKind::vanish);
        }
        if (ends)
          ended_.insert({t, box}), come_up(box, actions);
      }
    }
  }
}

void Fleet::break_off(int number, std::vector<Action>& actions) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    if (it->second.door != number) {
      ++it;
      continue;
    }
    if (it->second.set_up)
      put(trace::Passed::TRY_ENDED, number, &it->second, -1);
    actions.push_back(Close{it->first, false});
    it = peers_.erase(it);
  }
}

void Fleet::go_down(int number, std::vector<Action>& actions, bool silent) {
  auto& box = boxes_[number];
  box.up = false;
  box.sessions.clear();
  put(trace::Passed::DOWN, number, nullptr);
  record_list();
  if (silent)
    return;  // a machine that vanished neither refuses nor resets
  actions.push_back(StopListening{number});
  break_off(number, actions);
}

void Fleet::come_up(int number, std::vector<Action>& actions) {
  auto& box = boxes_[number];
  box.drained = box.ageing_died = false;
  if (box.up)
    return record_list();
  break_off(number, actions);
  box.up = true;
  box.cold = true;
  box.started = scenario_now();
  ++box.incarnation;
  box.set_ups.clear();
  box.told_at = -10s;
  actions.push_back(Listen{number});
  put(trace::Passed::UP, number, nullptr);
  record_list();
}

// ---- the model of a box ----

double Fleet::slowness(int box) const {
  double slower = 1;
  if (const auto* fault = ill_with(box, FaultKind::slow))
    slower = std::max(1.0, fault->magnitude);
  if (const auto* fault = ill_with(box, FaultKind::ageing)) {
    const double aged = seconds(scenario_now() - fault->start) / std::max(0.1, seconds(fault->duration) / 2);
    slower = std::max(slower, 1 + std::min(1.0, aged) * (std::max(2.0, fault->magnitude) - 1));
  }
  return slower;
}

double Fleet::warmth(const Box& box) const {
  const auto& site = scenario_.deployment.front.policy;
  if (!box.cold || site.warmup_time <= 0s)
    return 1;
  const double age = seconds(scenario_now() - box.started) / seconds(site.warmup_time);
  if (age >= 1)
    return 1;
  return site.warmup_initial_share + (1 - site.warmup_initial_share) * age * age;
}

double Fleet::link_of(int number) const {
  double link = scenario_.boxes[number].link_kb * warmth(boxes_[number]) / slowness(number);
  if (const auto* fault = ill_with(number, FaultKind::neighbour)) {
    const auto phase = static_cast<int>(seconds(scenario_now() - fault->start) / 2.5);
    if (phase % 2 == 0)
      link *= 1 - std::min(0.95, fault->magnitude);
  }
  return link;
}

bool Fleet::mute(int box) const {
  if (box >= static_cast<int>(boxes_.size()))
    return true;  // the list, or a feed that waits: no objects there
  return !boxes_[box].up || ill_with(box, FaultKind::hang) || ill_with(box, FaultKind::vanish);
}

double Fleet::asked_of(int number) const {
  const auto& site = scenario_.deployment.front.policy;
  double asked = 0;
  for (const auto& [sid, session] : boxes_[number].sessions)
    asked += site.rung_kb[session.rung] * site.plans[session.plan].rate_scale;
  return asked;
}

// More set-ups within the stated time than a cold process stands.
bool Fleet::pushed_over(int number) {
  auto& box = boxes_[number];
  const auto& site = scenario_.deployment.front.policy;
  if (!box.cold || scenario_now() - box.started >= site.warmup_time)
    return false;
  const Duration fall = scenario_.deployment.fall;
  std::erase_if(box.set_ups, [&](Duration at) { return at <= scenario_now() - fall; });
  box.set_ups.push_back(scenario_now());
  const double pace = site.streams_by_kind[scenario_.boxes[number].kind] / seconds(site.warmup_time) *
                      warmth(box) * site.overload_multiple;
  return static_cast<double>(box.set_ups.size()) > pace * seconds(fall) + fall_slack;
}

std::string Fleet::cmsd_of(int number) {
  auto& box = boxes_[number];
  if (scenario_now() - box.told_at >= told_every) {
    box.told_at = scenario_now();
    box.told_util = asked_of(number) / std::max(1.0, link_of(number));
    box.told_streams = static_cast<std::int64_t>(box.sessions.size());
    const auto racks = std::max(1, scenario_.deployment.front.policy.racks);
    double asked = 0;
    for (int i = 0; i < static_cast<int>(boxes_.size()); ++i) {
      if (scenario_.boxes[i].cell % racks == scenario_.boxes[number].cell % racks)
        asked += asked_of(i);
    }
    box.told_uplink = scenario_.deployment.uplink_kb > 0 ? asked / scenario_.deployment.uplink_kb : 0;
  }
  hints::CmsdDynamic hop;
  hop.server = scenario_.boxes[number].name;
  const bool late = ill_with(number, FaultKind::report_late);
  if (!late)
    box.old_util = box.told_util, box.old_uplink = box.told_uplink;
  hop.util = late ? box.old_util : box.told_util;
  if (const auto* fault = ill_with(number, FaultKind::false_cmsd))
    hop.util = fault->magnitude;
  if (scenario_.deployment.uplink_kb > 0)
    hop.uplink = late ? box.old_uplink : box.told_uplink;
  hop.streams = box.told_streams;
  hop.duress = *hop.util > 1;
  return hints::cmsd_entry(hop);
}

// ---- requests ----

void Fleet::requests(ConnectionId link, Peer& peer, std::vector<Action>& actions) {
  while (!peer.busy) {
    auto request = peer.reader.next();
    if (!request) {
      if (peer.reader.fault())
        actions.push_back(Close{link, false});
      return;
    }
    peer.close_after = !request->keep_alive;
    const auto via = http::joined(request->fields, "Via");
    const auto space = via.rfind(' ');
    peer.via = space == std::string::npos ? "" : via.substr(space + 1);
    if (issuer_ && peer.door == static_cast<int>(boxes_.size()) + (catalogue_ ? 2 : 1)) {
      issuer_->turn_to(
          static_cast<int>(std::max(Duration(0), scenario_now()) / scenario_.issuer.rotation_interval));
      if (ill_with(-1, FaultKind::issuer_down))
        answer(link, peer, 503, {}, "", actions);
      else
        answer(link, peer, 200, {{"Content-Type", "application/jwk-set+json"}}, issuer_->key_set(), actions);
      if (!peers_.contains(link))
        return;
    } else if (peer.door > static_cast<int>(boxes_.size())) {
      serve_feed(link, peer, *request, actions);
      if (!peers_.contains(link))
        return;
    } else if (peer.door == static_cast<int>(boxes_.size())) {
      serve_list(link, peer, *request, actions);
      if (!peers_.contains(link))
        return;
    } else {
      serve_box(link, peer, *request, actions);
      if (!peers_.contains(link))
        return;
    }
  }
}

void Fleet::answer(ConnectionId link, Peer& peer, int status, http::Fields fields, const std::string& body,
                   std::vector<Action>& actions) {
  actions.push_back(Send{link, http::head_text(status, fields, body.size(), !peer.close_after) + body});
  if (peer.close_after)
    actions.push_back(Close{link, true}), peers_.erase(link);
}

void Fleet::serve_box(ConnectionId link, Peer& peer, const http::Request& request,
                      std::vector<Action>& actions) {
  const int number = peer.door;
  auto& box = boxes_[number];
  peer.set_up = false;
  if (mute(number) && request.method == "HEAD") {
    peer.busy = true;  // and stays so
    return;
  }
  if (request.method == "HEAD") {
    put(trace::Passed::PROBED, number, &peer);
    actions.push_back(Send{link, http::head_text(200, {{"CMSD-Dynamic", cmsd_of(number)}}, 0, true)});
    return;
  }
  peer.hls = scenario_.deployment.hls ? read_hls_path(scenario_, request.target) : std::nullopt;
  manager::MediaPath as_hls;
  if (peer.hls)
    as_hls = {peer.hls->plan, peer.hls->title, peer.hls->rung, ""};
  const auto path = manager::parse_media_path(scenario_.deployment.front, request.target);
  const auto* media = peer.hls ? &as_hls : std::get_if<manager::MediaPath>(&path);
  if (!media || media->rung >= static_cast<int>(scenario_.deployment.front.policy.rung_kb.size()))
    return answer(link, peer, 404, {}, "", actions);
  peer.packs = gzip::is_accepted(http::joined(request.fields, "Accept-Encoding"));
  const auto hints = hints::read_cmcd(request.fields, request.target).hints;
  const auto* trace = http::find(request.fields, "traceparent");
  peer.trace = trace && trace->size() >= 35 ? trace->substr(3, 32) : "";
  peer.sid = hints.session_id.value_or("");
  peer.title = media->title;
  peer.plan = media->plan;
  peer.plan_name = scenario_.deployment.front.plans[media->plan].name;
  peer.rung = media->rung;
  peer.set_up = hints.startup;
  put(peer.set_up ? trace::Passed::SET_UP : trace::Passed::SERVED, number, &peer);
  // Under a catalogue every box has every file: where a set-up may go is the catalogue's word, and is
  // audited.
  if (!catalogue_ && !is_holder(scenario_, scenario_.boxes[number], media->title)) {
    if (std::exchange(peer.set_up, false))
      put(trace::Passed::TRY_ENDED, number, &peer, 404);
    return answer(link, peer, 404, {{"CMSD-Dynamic", cmsd_of(number)}}, "", actions);
  }
  peer.busy = true;
  peer.head_sent = false;
  peer.left = peer.credit = 0;
  if (peer.set_up && box.up && pushed_over(number)) {
    put(trace::Passed::FELL, number, &peer);
    go_down(number, actions, false);  // this peer too is gone now
    return;
  }
  const bool full = peer.set_up &&
                    static_cast<double>(box.sessions.size()) >=
                        scenario_.deployment.front.policy.streams_by_kind[scenario_.boxes[number].kind] &&
                    !box.sessions.contains(peer.sid);
  peer.status = full ? 503 : !peer.set_up && !box.sessions.contains(peer.sid) ? 421 : 200;
  if (peer.set_up && !full)
    box.sessions[peer.sid] = {peer.plan, peer.rung, now_};
  const double spread = 0.7 + 0.6 * static_cast<double>(chance_() % 1000) / 1000;
  const double time =
      peer.set_up ? seconds(scenario_.setup_time) * slowness(number) * spread / warmth(box) : 0.001;
  peer.answer_at = now_ + Duration(static_cast<std::int64_t>(time * 1e6));
}

void Fleet::begin_object(ConnectionId link, Peer& peer, std::vector<Action>& actions) {
  const int number = peer.door;
  auto& box = boxes_[number];
  const auto& front = scenario_.deployment.front;
  peer.head_sent = true;
  if (std::exchange(peer.set_up, false))
    put(trace::Passed::TRY_ENDED, number, &peer, peer.status);
  if (peer.status != 200) {
    peer.busy = false;
    answer(link, peer, peer.status, {{"CMSD-Dynamic", cmsd_of(number)}, {"Retry-After", "1"}}, "", actions);
    if (peers_.contains(link))
      requests(link, peer, actions);
    return;
  }
  auto& session = box.sessions[peer.sid];
  if (peer.hls && peer.hls->names != HlsPath::Names::segment) {
    // A list says nothing of the rung that is played.
    session = {peer.plan, session.rung, now_};
    return answer_list(link, peer, actions);
  }
  session = {peer.plan, peer.rung, now_};
  if (peer.hls) {
    const auto number = peer.hls->segment;
    const bool live = is_live(scenario_, peer.title);
    const auto ills = list_ills(peer.door);
    if (live && (number > newest_segment(scenario_, scenario_now()) || (ills.gaps && lacks(number)))) {
      peer.busy = false;
      answer(link, peer, 404, {{"CMSD-Dynamic", cmsd_of(peer.door)}}, "", actions);
      if (peers_.contains(link))
        requests(link, peer, actions);
      return;
    }
  }
  const double rate = front.policy.rung_kb[peer.rung] * front.policy.plans[peer.plan].rate_scale * 1000;
  const double varied = 1 + scenario_.rate_variation * (static_cast<double>(chance_() % 2001) / 1000 - 1);
  const auto size = static_cast<std::uint64_t>(rate * varied * seconds(front.object_duration));
  peer.left = static_cast<double>(size);
  peer.rate = rate * varied * scenario_.pacing_factor;
  hints::CmsdStatic fixed;
  fixed.bitrate = std::llround(rate * 8 / 1000);
  fixed.object_duration = front.object_duration.count() / 1000;
  fixed.object_type = "v";
  fixed.stream_type = "v";
  actions.push_back(Send{link, http::head_text(200,
                                               {{"Content-Type", "video/mp4"},
                                                {"CMSD-Static", hints::cmsd_static(fixed)},
                                                {"CMSD-Dynamic", cmsd_of(number)}},
                                               size, !peer.close_after)});
  if (peer.hls) {
    const auto stamp = stamp_of(*peer.hls).substr(0, size);
    peer.left -= static_cast<double>(stamp.size());
    actions.push_back(Send{link, stamp});
  }
}

ListIlls Fleet::list_ills(int box) const {
  ListIlls ills;
  if (const auto* fault = ill_with(box, FaultKind::list_behind))
    ills.behind = std::llround(fault->magnitude);
  ills.gaps = ill_with(box, FaultKind::list_gaps);
  if (ill_with(box, FaultKind::list_nonsense))
    ills.nonsense = 1 + static_cast<int>(now_ / step_every);
  return ills;
}

void Fleet::answer_list(ConnectionId link, Peer& peer, std::vector<Action>& actions) {
  const auto ills = list_ills(peer.door);
  auto text = peer.hls->names == HlsPath::Names::lists ? lists_of(scenario_, *peer.hls, ills)
                                                       : media_of(scenario_, *peer.hls, scenario_now(), ills);
  http::Fields fields{{"Content-Type", "application/vnd.apple.mpegurl"},
                      {"CMSD-Dynamic", cmsd_of(peer.door)}};
  if (peer.packs && peer.door % 2 == 1) {
    text = gzip::compress(text);
    fields.emplace_back("Content-Encoding", "gzip");
  }
  peer.busy = false;
  answer(link, peer, 200, std::move(fields), text, actions);
  if (peers_.contains(link))
    requests(link, peer, actions);
}

// Time goes by: answers that are due, and bytes as far as links and uplinks give them.
void Fleet::step(std::vector<Action>& actions) {
  const double passed = seconds(now_ - stepped_);
  stepped_ = now_;
  std::vector<ConnectionId> due;
  for (auto& [link, peer] : peers_) {
    if (!peer.busy || peer.head_sent || peer.answer_at > now_ || mute(peer.door))
      continue;
    if (peer.set_up && ill_with(peer.door, FaultKind::answer_lost))
      continue;  // it ran; nobody hears of it
    due.push_back(link);
  }
  for (const auto link : due) {
    if (const auto found = peers_.find(link); found != peers_.end())
      begin_object(link, found->second, actions);
  }
  std::vector<double> asked(boxes_.size(), 0);
  for (const auto& [link, peer] : peers_) {
    if (peer.busy && peer.head_sent && !mute(peer.door))
      asked[peer.door] += peer.rate / 1000;
  }
  const auto racks = static_cast<std::size_t>(std::max(1, scenario_.deployment.front.policy.racks));
  std::vector<double> share(boxes_.size(), 1), rack_asked(racks, 0);
  for (std::size_t i = 0; i < boxes_.size(); ++i) {
    if (asked[i] > 0)
      share[i] = std::min(1.0, link_of(static_cast<int>(i)) / asked[i]);
    rack_asked[static_cast<std::size_t>(scenario_.boxes[i].cell) % racks] += asked[i] * share[i];
  }
  for (std::size_t i = 0; i < boxes_.size() && scenario_.deployment.uplink_kb > 0; ++i) {
    const double of_rack = rack_asked[static_cast<std::size_t>(scenario_.boxes[i].cell) % racks];
    if (of_rack > scenario_.deployment.uplink_kb)
      share[i] *= scenario_.deployment.uplink_kb / of_rack;
  }
  static const std::string blank(256 * 1024, 'v');
  std::vector<ConnectionId> whole;
  for (auto& [link, peer] : peers_) {
    if (!peer.busy || !peer.head_sent || mute(peer.door))
      continue;
    peer.credit += peer.rate * share[peer.door] * passed;
    const auto bytes =
        static_cast<std::size_t>(std::min({peer.credit, peer.left, static_cast<double>(blank.size())}));
    if (bytes > 0)
      actions.push_back(Send{link, blank.substr(0, bytes)});
    peer.credit -= static_cast<double>(bytes);
    peer.left -= static_cast<double>(bytes);
    if (auto& sessions = boxes_[peer.door].sessions; sessions.contains(peer.sid))
      sessions[peer.sid].seen = now_;
    if (peer.left < 1)
      whole.push_back(link);
  }
  for (const auto link : whole) {
    const auto found = peers_.find(link);
    if (found == peers_.end())
      continue;
    found->second.busy = false;
    if (found->second.close_after) {
      actions.push_back(Close{link, true});
      peers_.erase(found);
    } else {
      requests(link, found->second, actions);
    }
  }
  // A session that asks for nothing for some objects' time has ended.
  for (int i = 0; i < static_cast<int>(boxes_.size()); ++i) {
    std::erase_if(boxes_[i].sessions, [&](const auto& entry) {
      return now_ - entry.second.seen > std::max(scenario_.deployment.front.idle_timeout,
                                                 4 * scenario_.deployment.front.object_duration);
    });
  }
}

// ---- the list service ----

// Each change of state is seen `list_lag` later, and later still while the list is late.
void Fleet::record_list() {
  ListState state;
  Duration lag = scenario_.list_delay;
  if (const auto* fault = ill_with(-1, FaultKind::list_late))
    lag += Duration(static_cast<std::int64_t>(fault->magnitude * 1e6));
  state.visible_at = scenario_now() + lag;
  if (!list_history_.empty())
    state.visible_at = std::max(state.visible_at, list_history_.back().visible_at);
  state.revision = static_cast<std::int64_t>(list_history_.size()) + 1;
  for (const auto& box : boxes_) {
    state.states.push_back(box.drained ? (box.up ? "draining" : "gone") : box.up ? "ready" : "gone");
    state.incarnations.push_back(box.incarnation);
    state.started.push_back(box.started);
  }
  list_history_.push_back(std::move(state));
}

void Fleet::serve_list(ConnectionId link, Peer& peer, const http::Request& request,
                       std::vector<Action>& actions) {
  if (ill_with(-1, FaultKind::list_down)) {
    peer.busy = true;
    return;
  }
  if (request.target != "/boxes")
    return answer(link, peer, 404, {}, "", actions);
  const ListState* seen = &list_history_.front();
  for (const auto& state : list_history_) {
    if (state.visible_at <= scenario_now())
      seen = &state;
  }
  const auto etag = "\"" + std::to_string(seen->revision) + "\"";
  const auto* known = http::find(request.fields, "If-None-Match");
  if (known && *known == etag)
    return answer(link, peer, 304, {{"ETag", etag}}, "", actions);
  nlohmann::json list{{"revision", seen->revision}, {"clock_ms", 10'000'000 + scenario_now().count() / 1000}};
  auto& boxes = list["boxes"] = nlohmann::json::array();
  for (std::size_t i = 0; i < boxes_.size(); ++i) {
    const auto& terms = scenario_.boxes[i];
    boxes.push_back({{"name", terms.name},
                     {"address", "127.0.0.1"},
                     {"port", ports_[i]},
                     {"state", seen->states[i]},
                     {"kind", terms.kind},
                     {"cell", terms.cell},
                     {"hall", scenario_.deployment.front.halls[terms.hall]},
                     {"weight", terms.weight},
                     {"started_ms", 10'000'000 + seen->started[i].count() / 1000}});
    auto& before = told_[peer.via][terms.name];
    // One that asks without knowing anything may have just started: it is told everything anew.
    if (std::exchange(before, seen->states[i]) == seen->states[i] && known)
      continue;
    trace::Passed record;
    record.set_at_us(clock_offset_ + static_cast<std::uint64_t>(now_.count()));
    record.set_kind(trace::Passed::TOLD);
    record.set_manager(peer.via);
    record.set_box(terms.name);
    record.set_state(seen->states[i]);
    record.set_number(static_cast<std::uint64_t>(seen->incarnations[i]));
    sink_(record);
  }
  answer(link, peer, 200, {{"Content-Type", "application/json"}, {"ETag", etag}}, list.dump(), actions);
}

// ---- the catalogue's origin ----

void Fleet::begin_catalogue() {
  if (!scenario_.deployment.front.has_catalogue)
    return;
  catalogue::ReplicaConfig terms;
  terms.log_capacity = 32;  // short, so that a manager that was away meets a log that no longer reaches back
  catalogue_ = std::make_unique<catalogue::Replica>(
      terms, [](std::string_view) { return ServerId{0}; },
      static_cast<int>(scenario_.deployment.front.policy.rung_kb.size()));
  std::vector<catalogue::Change> all;
  for (int t = 0; t < scenario_.workload.title_count; ++t) {
    const auto title = "recording-" + std::to_string(t);
    catalogue::Recording recording{title, {}, {}};
    const auto& site = scenario_.deployment.front.policy;
    for (int rung = 0; rung < static_cast<int>(site.rung_kb.size()); ++rung)
      recording.renditions.push_back(
          {"r" + std::to_string(rung), rung, "avc1", site.rung_kb[rung], std::chrono::minutes(3)});
    for (std::size_t b = 0; b < boxes_.size(); ++b) {
      if (!is_holder(scenario_, scenario_.boxes[b], title))
        continue;
      recording.locations.push_back({scenario_.boxes[b].name, catalogue::LocationState::here, 0});
      lies_on_[title].push_back(static_cast<int>(b));
    }
    all.push_back(catalogue::PutRecording{std::move(recording)});
  }
  catalogue_->handle(catalogue::ChangeRequest{0, std::nullopt, true, std::move(all)});
  catalogue_->handle(catalogue::BatchPersisted{1, std::nullopt});
}

void Fleet::move_recordings(double passed, std::vector<Action>& actions) {
  if (!catalogue_)
    return;
  if (const auto* fault = ill_with(-1, FaultKind::catalogue_moves))
    moves_due_ += passed * fault->magnitude;
  for (; moves_due_ >= 1; moves_due_ -= 1) {
    auto& [title, on] = *std::next(lies_on_.begin(), static_cast<long>(chance_() % lies_on_.size()));
    const int to = static_cast<int>(chance_() % boxes_.size());
    if (on.size() < 2 || std::find(on.begin(), on.end(), to) != on.end())
      continue;
    const auto from = chance_() % on.size();
    const std::vector<catalogue::Change> batch{
        catalogue::RemoveLocation{title, scenario_.boxes[on[from]].name},
        catalogue::PutLocation{title, {scenario_.boxes[to].name, catalogue::LocationState::here, 0}}};
    on[from] = to;
    catalogue_->handle(catalogue::ChangeRequest{0, std::nullopt, true, batch});
    catalogue_->handle(catalogue::BatchPersisted{catalogue_->current()->revision + 1, std::nullopt});
  }
  std::vector<ConnectionId> waiting;
  for (const auto& [link, peer] : peers_) {
    if (peer.feed_after)
      waiting.push_back(link);
  }
  for (const auto link : waiting) {
    auto& peer = peers_.at(link);
    if (feed_now(link, peer, actions) || now_ < peer.feed_until)
      continue;
    const auto reply = cataloguewire::empty_feed_reply(catalogue_->current()->revision);
    peer.busy = false;
    peer.feed_after.reset();
    answer(link, peer, reply.status, reply.fields, reply.body, actions);
  }
}

void Fleet::put_listed(const Peer& peer, const std::string& title, const std::string& box, bool listed) {
  if (peer.feed_lies)
    return;
  trace::Passed record;
  record.set_at_us(clock_offset_ + static_cast<std::uint64_t>(now_.count()));
  record.set_kind(listed ? trace::Passed::LISTED : trace::Passed::UNLISTED);
  record.set_manager(peer.via);
  record.set_title(title);
  record.set_box(box);
  record.set_number(catalogue_->current()->revision);
  sink_(record);
}

void Fleet::serve_feed(ConnectionId link, Peer& peer, const http::Request& request,
                       std::vector<Action>& actions) {
  const bool broken = ill_with(-1, FaultKind::feed_broken);
  const auto how = broken ? chance_() % 5 : 5;
  if (how == 0) {  // breaks off
    actions.push_back(Close{link, false});
    peers_.erase(link);
    return;
  }
  if (how == 1)
    return answer(link, peer, 503, {}, "", actions);
  peer.feed_lies = how == 4;
  const auto meaning = cataloguewire::read_request(request, *catalogue_);
  if (const auto* wait = std::get_if<cataloguewire::FeedLongPoll>(&meaning)) {
    peer.feed_after = wait->after;
    peer.feed_lies = false;
    peer.feed_until = now_ + wait->wait;
    peer.busy = true;
    if (how == 2 && wait->after > 0)
      peer.feed_after = wait->after - 1;  // repeats
    // Leaves one out: a manager must notice, and goes by nothing of it.
    if (how == 3 && catalogue_->current()->revision > wait->after + 1)
      ++*peer.feed_after, peer.feed_lies = true;
    feed_now(link, peer, actions);
    return;
  }
  const auto& reply = std::get<cataloguewire::Reply>(meaning);
  if (reply.status == 200) {
    // The whole: what it does not name is unlisted.
    for (const auto& [title, on] : lies_on_) {
      for (std::size_t b = 0; b < boxes_.size(); ++b)
        put_listed(peer, title, scenario_.boxes[b].name,
                   std::find(on.begin(), on.end(), static_cast<int>(b)) != on.end());
    }
  }
  answer(link, peer, reply.status, reply.fields,
         how == 4 ? reply.body.substr(0, reply.body.size() / 2) : reply.body, actions);
}

bool Fleet::feed_now(ConnectionId link, Peer& peer, std::vector<Action>& actions) {
  const auto reply = cataloguewire::feed_reply(*catalogue_, *peer.feed_after);
  if (!reply)
    return false;
  if (const auto batches = catalogue_->batches_after(*peer.feed_after, 256)) {
    for (const auto& [revision, changes] : *batches) {
      for (const auto& change : *changes) {
        if (const auto* away = std::get_if<catalogue::RemoveLocation>(&change))
          put_listed(peer, away->title, away->box, false);
        if (const auto* here = std::get_if<catalogue::PutLocation>(&change))
          put_listed(peer, here->title, here->location.box, true);
      }
    }
  }
  peer.busy = false;
  peer.feed_after.reset();
  answer(link, peer, reply->status, reply->fields, reply->body, actions);
  return true;
}

}  // namespace violettide::standins
