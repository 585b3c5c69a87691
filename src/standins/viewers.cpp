#include "standins/viewers.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "gzip/gzip.h"
#include "hints/cmsd.h"

namespace violettide::standins {

namespace {

using namespace std::chrono_literals;
constexpr double max_buffer_objects = 3;
constexpr int malformed_hint_kinds = 6;
// Bytes of a segment that are kept, to check the header it starts with.
constexpr std::size_t max_segment_header_bytes = 256;
constexpr int max_connection_failures = 3;  // in a row, before a player restarts

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
Duration to_duration(double s) { return Duration(static_cast<std::int64_t>(s * 1e6)); }
std::uint64_t timer_payload(std::uint64_t timer, std::uint32_t viewer) { return timer << 32 | viewer; }

// CMCD that violates the specification in different ways. None may keep a request from its single answer.
std::string malformed_hints(std::uint32_t number, const std::string& sid) {
  switch (number % malformed_hint_kinds) {
    case 0:
      return "CMCD-Session: sid=unquoted\r\nCMCD-Object: br=fast,ot=zz,tb=-3\r\n";
    case 1:
      return "CMCD-Request: bl=,mtp=1e9,nor=\"%zz\",,,\r\nCMCD-Session: sid=\"" + sid + "\"\r\n";
    case 2:
      return "CMCD-Session: sid=\"never closed\r\nCMCD-Status: bs=maybe,rtp=\"x\"\r\n";
    case 3:
      return "CMCD-Object: =1,=,;;,\"\",(a b)\r\nCMCD-Session: v=99,sid=\"\"\r\n";
    case 4:
      return "CMCD-Status: bs,bs=?0,rtp=99999999999999999999\r\nCMCD-Session: sid=\"" + sid +
             "\",st=x,sf=?1,pr=-1\r\n";
    default:
      return "CMCD-Object: \x80\xff\xfe\r\nCMCD-Request: bl=-5,dl=:bad:\r\n";
  }
}

}  // namespace

Viewers::Viewers(const Scenario& scenario, std::vector<ManagerEndpoint> managers, Duration scenario_offset,
                 std::uint64_t us_at_zero, std::function<void(const trace::Passed&)> sink)
    : scenario_(scenario),
      managers_(std::move(managers)),
      scenario_offset_(scenario_offset),
      us_at_zero_(us_at_zero),
      sink_(std::move(sink)),
      random_(scenario.seed + 3) {
  double sum = 0;
  for (int i = 0; i < scenario_.workload.title_count; ++i)
    cumulative_popularity_.push_back(sum += std::pow(i + 1, -scenario_.workload.zipf_exponent));
}

double Viewers::draw() {
  return static_cast<double>(random_() - random_.min()) /
         (static_cast<double>(random_.max() - random_.min()) + 1);
}

void Viewers::start_timer(Viewer& viewer, Duration in, TimerKind timer) {
  timers_.cancel(viewer.timer);
  viewer.timer = timers_.schedule(now_ + in, timer_payload(static_cast<std::uint64_t>(timer), viewer.number));
}

void Viewers::record_event(trace::Passed::Kind kind, const Viewer& viewer, int status,
                           const std::string& cause) {
  trace::Passed record;
  record.set_at_us(us_at_zero_ + static_cast<std::uint64_t>(now_.count()));
  record.set_kind(kind);
  record.set_manager(managers_[viewer.manager].manager);
  record.set_trace(viewer.trace);
  record.set_sid(viewer.sid);
  record.set_plan(scenario_.deployment.front.plans[viewer.plan].name);
  record.set_title(viewer.title);
  record.set_rung(kind == trace::Passed::OBJECT || kind == trace::Passed::ANSWERED ? viewer.rung
                                                                                   : viewer.max_rung);
  record.set_status(status);
  record.set_state(
      kind == trace::Passed::ASKED && issuer_ ? team_of(viewer) + (viewer.bad_token ? " bad" : "") : cause);
  record.set_number(viewer.number);
  record.set_link(viewer.connection);
  record.set_value(kind == trace::Passed::ASKED && viewer.arrived == now_ ? seconds(viewer.watch_time) : 0);
  sink_(record);
}

void Viewers::handle(Duration now, const IoEvent& what, std::vector<Action>& actions) {
  now_ = std::max(now_, now);
  if (!started_) {
    started_ = true;
    timers_.schedule(now_, timer_payload(static_cast<std::uint64_t>(TimerKind::arrival), 0));
    timers_.schedule(now_, timer_payload(static_cast<std::uint64_t>(TimerKind::arrival), 1));
  }
  const auto viewer_on = [&](ConnectionId connection) -> Viewer* {
    const auto found = viewer_by_connection_.find(connection);
    return found == viewer_by_connection_.end() ? nullptr : &viewers_.at(found->second);
  };
  std::visit(Overloaded{
                 [&](const Connected& c) {
                   auto* viewer = viewer_on(c.connection);
                   if (!viewer)
                     return;
                   viewer->connected = true;
                   actions.push_back(Send{c.connection, viewer->request});
                 },
                 [&](const Received& r) {
                   if (auto* viewer = viewer_on(r.connection))
                     on_response_data(*viewer, viewer->reader.push(r.bytes), actions);
                 },
                 [&](const HalfClosed& h) {
                   if (auto* viewer = viewer_on(h.connection))
                     on_connection_lost(*viewer, actions);
                 },
                 [&](const Disconnected& e) {
                   if (auto* viewer = viewer_on(e.connection))
                     on_connection_lost(*viewer, actions, e.reason == CloseReason::refused);
                 },
                 [&](const ShutdownRequested&) {
                   stopping_ = true;
                   actions.push_back(StopLoop{});
                 },
                 [&](const auto&) {},
             },
             what);
  std::vector<std::uint64_t> expired;
  timers_.advance(now_, expired);
  for (const auto payload : expired) {
    const auto timer = static_cast<TimerKind>(payload >> 32);
    const auto number = static_cast<std::uint32_t>(payload);
    if (timer == TimerKind::arrival) {
      on_arrival(actions, number == 1);
      continue;
    }
    const auto found = viewers_.find(number);
    if (found == viewers_.end())
      continue;
    auto& viewer = found->second;
    if (timer == TimerKind::timeout) {
      // Times out: later responses are ignored.
      record_event(trace::Passed::LEFT, viewer, 0, viewer.starts_playback ? "abandoned" : "stalled");
      close_connection(viewer, actions);
      if (draw() < scenario_.workload.return_probability && !viewer.starts_playback)
        schedule_retry(viewer, scenario_.workload.rejoin_delay, actions);
      else
        viewer.state = State::finished;
    } else if (timer == TimerKind::retry) {
      if (viewer.hls && viewer.resumes_hls) {
        continue_hls(viewer, actions);
      } else {
        viewer.starts_playback = true;
        start_hls(viewer);
        send_request(viewer, actions);
      }
    } else if (timer == TimerKind::next_object) {
      if (viewer.hls && !viewer.starts_playback) {
        continue_hls(viewer, actions);
      } else {
        start_hls(viewer);
        send_request(viewer, actions);
      }
    }
    if (viewer.state == State::finished)
      viewers_.erase(number);
  }
  std::erase_if(viewers_, [](const auto& entry) { return entry.second.state == State::finished; });
  if (const auto next = timers_.next())
    actions.push_back(StartTimer{*next});
}

void Viewers::on_arrival(std::vector<Action>& actions, bool crowd) {
  if (scenario_now() >= scenario_.duration || stopping_) {
    // Ends playbacks that go on past the last abandon time, but waits for pending setups.
    Duration forced_end = scenario_.duration;
    for (const auto& plan : scenario_.deployment.front.plans)
      forced_end = std::max(forced_end, scenario_.duration + plan.abandon_time);
    for (auto& [number, viewer] : viewers_) {
      if (scenario_now() > forced_end && viewer.state != State::finished && viewer.state != State::starting)
        finish(viewer, actions, "the day is over");
    }
    if (viewers_.empty() && !crowd)
      actions.push_back(StopLoop{});
    else if (!crowd)
      timers_.schedule(now_ + 100ms, timer_payload(static_cast<std::uint64_t>(TimerKind::arrival), 0));
    return;
  }
  double rate = crowd ? 0 : scenario_.workload.arrivals_per_second;
  for (const auto& fault : scenario_.faults) {
    if (crowd && fault.kind == FaultKind::crowd && scenario_now() >= fault.start &&
        scenario_now() < fault.start + fault.duration)
      rate += fault.magnitude;
  }
  const auto payload = timer_payload(static_cast<std::uint64_t>(TimerKind::arrival), crowd ? 1 : 0);
  if (rate <= 0) {
    timers_.schedule(now_ + 100ms, payload);
    return;
  }
  timers_.schedule(now_ + to_duration(-std::log(1 - draw()) / rate), payload);
  if (scenario_now() < 0s)
    return;  // the scenario has not started
  Viewer viewer;
  viewer.number = next_viewer_++;
  const auto& terms = scenario_.workload;
  double sum = 0;
  for (const double share : terms.plan_shares)
    sum += share;
  double at = draw() * sum;
  while (viewer.plan + 1 < static_cast<int>(terms.plan_shares.size()) && at >= terms.plan_shares[viewer.plan])
    at -= terms.plan_shares[viewer.plan++];
  const auto title = crowd ? terms.crowd_title
                           : std::lower_bound(cumulative_popularity_.begin(), cumulative_popularity_.end(),
                                              draw() * cumulative_popularity_.back()) -
                                 cumulative_popularity_.begin();
  viewer.title = "recording-" + std::to_string(title);
  viewer.hall = static_cast<int>(draw() * static_cast<double>(scenario_.deployment.front.halls.size()));
  const auto& plan = scenario_.deployment.front.policy.plans[viewer.plan];
  viewer.max_rung = plan.top;
  if (draw() < terms.small_screen_share)
    viewer.max_rung = std::max(plan.floor, plan.top - 1);
  viewer.watch_time = viewer.watch_time_left =
      terms.min_watch_time + to_duration(draw() * seconds(terms.max_watch_time - terms.min_watch_time));
  const double hint_draw = draw();
  viewer.hint_mode = hint_draw < terms.no_hints_share                                 ? 1
                     : hint_draw < terms.no_hints_share + terms.malformed_hints_share ? 2
                                                                                      : 0;
  char sid[40];
  std::snprintf(sid, sizeof sid, "%08x-%04x-4000-8000-%012x", viewer.number, scenario_.seed & 0xffff,
                static_cast<unsigned>(random_()));
  viewer.sid = sid;
  viewer.arrived = now_;
  if (terms.hls_share > 0 && draw() < terms.hls_share)
    viewer.hls = std::make_unique<HlsPlayer>("", 0);
  start_hls(viewer);
  auto& added = viewers_.emplace(viewer.number, std::move(viewer)).first->second;
  send_request(added, actions);
}

void Viewers::build_request(Viewer& viewer) {
  const auto& front = scenario_.deployment.front;
  manager::MediaPath path{viewer.plan, viewer.title, 0, std::to_string(viewer.object) + ".m4s"};
  http::Fields fields{{"Host", "front"},
                      {"traceparent", "00-" + viewer.trace + "-00000000000000" +
                                          (viewer.starts_playback ? "01" : "02") + "-01"}};
  hints::Cmcd cmcd;
  cmcd.session_id = viewer.sid;
  cmcd.object_type = hints::ObjectType::video;
  cmcd.object_duration = front.object_duration.count() / 1000;
  cmcd.startup = viewer.starts_playback;
  cmcd.stream_type = hints::StreamType::recorded;
  const auto& plan = front.policy.plans[viewer.plan];
  cmcd.top_bitrate = std::llround(front.policy.rung_kb[viewer.max_rung] * plan.rate_scale * 8) + 1;
  if (!viewer.starts_playback) {
    cmcd.buffer_length = static_cast<std::int64_t>(viewer.buffer_s * 10) * 100;
    cmcd.buffer_starved = std::exchange(viewer.starved, false);
    if (viewer.throughput_kb_per_s > 0)
      cmcd.measured_throughput = std::llround(viewer.throughput_kb_per_s * 8 / 100) * 100;
  }
  auto target =
      viewer.hls ? viewer.hls_request.target : manager::format_media_path(front, path, viewer.max_rung);
  if (viewer.hls) {
    cmcd.streaming_format = hints::StreamingFormat::hls;
    if (viewer.hls_request.kind != HlsPlayer::Request::Kind::segment)
      cmcd.object_type = hints::ObjectType::manifest;
    if (viewer.number % 3 == 0)
      fields.emplace_back("Accept-Encoding", "gzip");
  }
  std::string malformed_headers;
  if (viewer.hint_mode == 0 && viewer.number % 2 == 0)
    target += "?CMCD=" + hints::serialize_cmcd_query(cmcd);
  else if (viewer.hint_mode == 0)
    for (auto& field : hints::serialize_cmcd_headers(cmcd))
      fields.push_back(std::move(field));
  else if (viewer.hint_mode == 2)
    malformed_headers = malformed_hints(viewer.number, viewer.sid);
  if (issuer_)
    add_token(viewer, fields);
  viewer.request = http::serialize_request_head("GET", target, fields);
  viewer.request.insert(viewer.request.size() - 2, malformed_headers);
}

// Issues a new token at half the lifetime of the last one, so that most viewers renew during playback.
void Viewers::add_token(Viewer& viewer, http::Fields& fields) {
  issuer_->select_key(
      static_cast<int>(std::max(Duration(0), scenario_now()) / scenario_.issuer.rotation_interval));
  if (viewer.token.empty() || now_ - viewer.token_at > scenario_.issuer.token_lifetime / 2) {
    const auto now = wall_clock_at_zero_ + now_;
    Issuer::TokenClaims claims{viewer.sid + "-" + std::to_string(++viewer.tokens_issued),
                               "viewer-" + std::to_string(viewer.number),
                               team_of(viewer),
                               scenario_.issuer.seats_per_team,
                               now,
                               now + scenario_.issuer.token_lifetime,
                               Duration(0),
                               {},
                               {}};
    if (viewer.tokens_issued == 1)
      viewer.bad_token = draw() < scenario_.issuer.invalid_token_share;
    if (viewer.bad_token && viewer.number % 2 == 0)
      claims.expires = now - std::chrono::hours(1);
    viewer.token =
        viewer.bad_token && viewer.number % 2 == 1 ? issuer_->forged(claims) : issuer_->token(claims);
    viewer.token_at = now_;
  }
  if (viewer.number % 3 == 0)
    fields.emplace_back("Cookie", "other=1; CTA-Common-Access-Token=" + viewer.token);
  else
    fields.emplace_back("Authorization", "Bearer " + viewer.token);
}

void Viewers::send_request(Viewer& viewer, std::vector<Action>& actions) {
  update_buffer(viewer);
  if (viewer.starts_playback) {
    viewer.buffer_s = 0;
    ++playbacks_requested_;
  }
  char trace[40];
  std::snprintf(trace, sizeof trace, "%08x%08x%08x%08x", scenario_.seed, viewer.number,
                static_cast<unsigned>(playbacks_requested_), static_cast<unsigned>(++requests_sent_));
  viewer.trace = trace;
  if (viewer.starts_playback && !viewer.connection) {
    std::vector<int> hall_managers;
    for (int i = 0; i < static_cast<int>(managers_.size()); ++i) {
      if (managers_[i].hall == viewer.hall)
        hall_managers.push_back(i);
    }
    if (hall_managers.empty()) {
      for (int i = 0; i < static_cast<int>(managers_.size()); ++i)
        hall_managers.push_back(i);
    }
    viewer.manager =
        hall_managers[static_cast<std::size_t>(draw() * static_cast<double>(hall_managers.size()))];
  }
  build_request(viewer);
  viewer.status = viewer.retry_after = 0;
  viewer.bytes = 0;
  viewer.body.clear();
  viewer.answered = false;
  viewer.sent_at = now_;
  viewer.state = viewer.starts_playback ? State::starting : State::fetching;
  viewer.reader.expect(false);
  if (viewer.connection && viewer.connected) {
    actions.push_back(Send{viewer.connection, viewer.request});
  } else if (!viewer.connection) {
    viewer.connection = next_connection_++;
    viewer_by_connection_[viewer.connection] = viewer.number;
    actions.push_back(Dial{viewer.connection, "127.0.0.1", managers_[viewer.manager].port});
  }
  if (viewer.starts_playback)
    record_event(trace::Passed::ASKED, viewer);
  const Duration abandon_time = scenario_.deployment.front.plans[viewer.plan].abandon_time;
  start_timer(viewer, viewer.starts_playback ? abandon_time : 3 * abandon_time, TimerKind::timeout);
}

void Viewers::on_response_data(Viewer& viewer, http::ResponseParser::Part part,
                               std::vector<Action>& actions) {
  if (part.error) {
    // Bytes without a pending request count as a second answer.
    if (part.done || (viewer.state != State::starting && viewer.state != State::fetching))
      record_event(trace::Passed::ANSWERED, viewer, -1, "unasked bytes");
    return on_connection_lost(viewer, actions);
  }
  if (part.head) {
    viewer.status = part.head->status;
    viewer.answered = true;
    viewer.gzipped = http::combined_value(part.head->fields, "Content-Encoding") == "gzip";
    if (const auto* retry_after = http::find(part.head->fields, "Retry-After"))
      viewer.retry_after = std::atoi(retry_after->c_str());
    const auto cmsd = hints::parse_cmsd(http::combined_value(part.head->fields, "CMSD-Static"),
                                        http::combined_value(part.head->fields, "CMSD-Dynamic"));
    const auto& rates = scenario_.deployment.front.policy.rung_kb;
    if (!cmsd.hops.empty() && cmsd.hops.back().max_suggested_bitrate)
      viewer.suggested_bits_per_s = static_cast<double>(*cmsd.hops.back().max_suggested_bitrate) * 1000;
    if (const auto* multivariant_target = http::find(part.head->fields, "Content-Location");
        multivariant_target && viewer.hls)
      viewer.hls->set_reload_target(*multivariant_target);
    if (cmsd.static_data && cmsd.static_data->bitrate) {
      const double kb = static_cast<double>(*cmsd.static_data->bitrate) / 8 /
                        scenario_.deployment.front.policy.plans[viewer.plan].rate_scale;
      viewer.rung = static_cast<int>(
          std::min_element(rates.begin(), rates.end(),
                           [&](double a, double b) { return std::fabs(a - kb) < std::fabs(b - kb); }) -
          rates.begin());
    }
    if (viewer.starts_playback) {
      record_event(trace::Passed::ANSWERED, viewer, viewer.status);
      // The setup succeeded, so the abandon time no longer applies. A stalled body has a longer timeout.
      if (viewer.status == 200)
        start_timer(viewer, 3 * scenario_.deployment.front.plans[viewer.plan].abandon_time,
                    TimerKind::timeout);
    }
  }
  viewer.bytes += part.body.size();
  if (viewer.hls && (viewer.hls_request.kind != HlsPlayer::Request::Kind::segment ||
                     viewer.body.size() < max_segment_header_bytes))
    viewer.body += part.body;
  if (!part.done)
    return;
  viewer.connection_failures = 0;
  if (viewer.hls && viewer.status == 200)
    return on_hls_response(viewer, actions);
  if (viewer.hls && !viewer.starts_playback && on_hls_error(viewer, actions))
    return;
  if (viewer.status == 200 || viewer.status == 206)
    return on_object_complete(viewer, actions);
  const bool started_playback = viewer.starts_playback;
  if (!started_playback)
    record_event(trace::Passed::OBJECT, viewer, viewer.status);
  const bool retries =
      (viewer.status == 503 || !started_playback) && draw() < scenario_.workload.return_probability;
  if (!retries)
    return finish(viewer, actions, "turned away");
  schedule_retry(viewer,
                 viewer.retry_after > 0 ? to_duration(viewer.retry_after * (1 + 0.5 * draw()))
                                        : scenario_.workload.rejoin_delay,
                 actions);
}

void Viewers::update_buffer(Viewer& viewer) {
  const double passed = seconds(now_ - viewer.buffer_at);
  viewer.buffer_at = now_;
  if (!viewer.ever_played || viewer.starts_playback)
    return;
  if (viewer.buffer_s < passed && viewer.state == State::fetching)
    viewer.starved = true;
  viewer.buffer_s = std::max(0.0, viewer.buffer_s - passed);
}

void Viewers::on_object_complete(Viewer& viewer, std::vector<Action>& actions) {
  update_buffer(viewer);
  const double length = seconds(scenario_.deployment.front.object_duration);
  viewer.throughput_kb_per_s =
      static_cast<double>(viewer.bytes) / 1000 / std::max(0.001, seconds(now_ - viewer.sent_at));
  viewer.ever_played = true;
  viewer.starts_playback = false;
  viewer.buffer_s += length;
  viewer.watch_time_left -= scenario_.deployment.front.object_duration;
  ++viewer.object;
  record_event(trace::Passed::OBJECT, viewer, viewer.status);
  if (viewer.watch_time_left <= 0s)
    return finish(viewer, actions, "seen");
  const double room = (max_buffer_objects - 1) * length - viewer.buffer_s;
  viewer.state = State::idle;
  start_timer(viewer, room >= 0 ? 1ms : to_duration(-room), TimerKind::next_object);
}

// ---- HLS ----

void Viewers::start_hls(Viewer& viewer) {
  if (!viewer.hls)
    return;
  const auto& front = scenario_.deployment.front;
  const auto& plan = front.policy.plans[viewer.plan];
  const auto multivariant_target = "/" + http::percent_encode(front.plans[viewer.plan].name) + "/" +
                                   http::percent_encode(viewer.title) + "/index.m3u8";
  viewer.hls = std::make_unique<HlsPlayer>(
      multivariant_target, front.policy.rung_kb[viewer.max_rung] * plan.rate_scale * 8000 * (1 + 1e-6));
  viewer.hls_request = {HlsPlayer::Request::Kind::multivariant, multivariant_target};
  viewer.resumes_hls = false;
}

void Viewers::record_playlist_errors(Viewer& viewer) {
  for (const auto& what : viewer.hls->take_errors())
    record_event(trace::Passed::UNSTEADY, viewer, 0, what);
}

void Viewers::continue_hls(Viewer& viewer, std::vector<Action>& actions) {
  update_buffer(viewer);
  const double room = (max_buffer_objects - 1) * viewer.hls->segment_length();
  const auto next = viewer.hls->next(seconds(now_), viewer.buffer_s, room);
  record_playlist_errors(viewer);
  if (std::holds_alternative<std::monostate>(next))
    return finish(viewer, actions, "played to its end");
  if (const auto* wait = std::get_if<double>(&next)) {
    viewer.state = State::idle;
    return start_timer(viewer, std::max(Duration(1ms), to_duration(*wait)), TimerKind::next_object);
  }
  viewer.hls_request = std::get<HlsPlayer::Request>(next);
  send_request(viewer, actions);
}

void Viewers::on_hls_response(Viewer& viewer, std::vector<Action>& actions) {
  update_buffer(viewer);
  viewer.starts_playback = false;
  viewer.ever_played = true;
  auto body = viewer.body;
  if (viewer.gzipped)
    body = gzip::decompress(body, 64 << 20).value_or("");
  const bool segment = viewer.hls->on_response(seconds(now_), viewer.hls_request, body);
  record_playlist_errors(viewer);
  if (segment) {
    viewer.throughput_kb_per_s =
        static_cast<double>(viewer.bytes) / 1000 / std::max(0.001, seconds(now_ - viewer.sent_at));
    viewer.hls->on_download(seconds(now_ - viewer.sent_at), viewer.suggested_bits_per_s);
    viewer.buffer_s += viewer.hls->segment_length();
    viewer.watch_time_left -= to_duration(viewer.hls->segment_length());
    viewer.rung = viewer.hls->rung();
    ++viewer.object;
    record_event(trace::Passed::OBJECT, viewer, viewer.status);
    if (viewer.watch_time_left <= 0s)
      return finish(viewer, actions, "seen");
  }
  viewer.state = State::idle;
  start_timer(viewer, 1ms, TimerKind::next_object);
}

// Handles an HLS response other than 200.
bool Viewers::on_hls_error(Viewer& viewer, std::vector<Action>& actions) {
  record_event(trace::Passed::OBJECT, viewer, viewer.status);
  const auto delay = viewer.retry_after > 0 ? to_duration(viewer.retry_after * (1 + 0.5 * draw()))
                                            : to_duration(seconds(scenario_.workload.rejoin_delay) * 0.25);
  if (viewer.status == 404 || viewer.status == 503) {
    if (viewer.status == 404)
      viewer.hls->on_not_found(viewer.hls_request);
    viewer.resumes_hls = true;
    schedule_retry(viewer, delay, actions);
    return true;
  }
  // The playback has ended or is lost, so the viewer starts a new one.
  viewer.resumes_hls = false;
  schedule_retry(viewer, delay, actions);
  return true;
}

void Viewers::on_connection_lost(Viewer& viewer, std::vector<Action>& actions, bool refused) {
  const bool awaiting_response = viewer.state == State::starting || viewer.state == State::fetching;
  const bool awaiting_first_answer = viewer.state == State::starting && !viewer.answered;
  if (awaiting_first_answer)
    record_event(trace::Passed::ANSWERED, viewer, 0, refused ? "refused" : "");
  close_connection(viewer, actions);
  if (viewer.hls && !viewer.starts_playback) {
    // HLS URLs stay valid across connections.
    viewer.hls->on_connection_lost();
    viewer.resumes_hls = ++viewer.connection_failures < max_connection_failures;
    if (viewer.state == State::idle)
      return;
    return schedule_retry(
        viewer, to_duration(seconds(scenario_.workload.rejoin_delay) * (0.25 + 0.5 * draw())), actions);
  }
  if (!awaiting_response) {  // between objects: the next request starts a new playback on a new connection
    viewer.starts_playback = true;
    return;
  }
  if (!awaiting_first_answer && viewer.state == State::starting)
    record_event(trace::Passed::LEFT, viewer, 0, "cut");
  if (draw() >= scenario_.workload.return_probability) {
    viewer.state = State::finished;
    timers_.cancel(viewer.timer);
    return;
  }
  schedule_retry(viewer, to_duration(seconds(scenario_.workload.rejoin_delay) * (0.5 + draw())), actions);
}

void Viewers::schedule_retry(Viewer& viewer, Duration delay, std::vector<Action>& actions) {
  if (viewer.connection)
    close_connection(viewer, actions);
  if (now_ + delay >= viewer.arrived + viewer.watch_time || scenario_now() >= scenario_.duration) {
    viewer.state = State::finished;
    timers_.cancel(viewer.timer);
    return;
  }
  viewer.state = State::waiting;
  start_timer(viewer, delay, TimerKind::retry);
}

void Viewers::finish(Viewer& viewer, std::vector<Action>& actions, const char* cause) {
  record_event(trace::Passed::LEFT, viewer, 0, cause);
  close_connection(viewer, actions);
  timers_.cancel(viewer.timer);
  viewer.state = State::finished;
}

void Viewers::close_connection(Viewer& viewer, std::vector<Action>& actions) {
  if (!viewer.connection)
    return;
  actions.push_back(Close{viewer.connection, false});
  viewer_by_connection_.erase(viewer.connection);
  viewer.connection = 0;
  viewer.connected = false;
}

}  // namespace violettide::standins
