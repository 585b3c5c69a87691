#include "standins/viewers.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "gzip/gzip.h"
#include "hints/cmsd.h"

namespace violettide::standins {

namespace {

using namespace std::chrono_literals;
constexpr double most_buffer_objects = 3;
constexpr int malformed_kinds = 6;
constexpr std::size_t most_stamp = 256;  // bytes that a segment begins with
constexpr int most_breaks = 3;           // in a row, before a player begins anew

double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }
Duration span_of(double s) { return Duration(static_cast<std::int64_t>(s * 1e6)); }
std::uint64_t packed(std::uint64_t bell, std::uint32_t viewer) { return bell << 32 | viewer; }

// Hints that break the specification, each in its own way; none may cost the request its one outcome.
std::string malformed_hints(std::uint32_t number, const std::string& sid) {
  switch (number % malformed_kinds) {
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

Viewers::Viewers(const Scenario& scenario, std::vector<Door> doors, Duration scenario_offset,
                 std::uint64_t origin_us, std::function<void(const trace::Passed&)> sink)
    : scenario_(scenario),
      doors_(std::move(doors)),
      scenario_offset_(scenario_offset),
      origin_us_(origin_us),
      sink_(std::move(sink)),
      chance_(scenario.seed + 3) {
  double sum = 0;
  for (int i = 0; i < scenario_.workload.title_count; ++i)
    zipf_.push_back(sum += std::pow(i + 1, -scenario_.workload.zipf_exponent));
}

double Viewers::draw() {
  return static_cast<double>(chance_() - chance_.min()) /
         (static_cast<double>(chance_.max() - chance_.min()) + 1);
}

void Viewers::arm(Viewer& viewer, Duration in, Bell bell) {
  bells_.cancel(viewer.timer);
  viewer.timer = bells_.schedule(now_ + in, packed(static_cast<std::uint64_t>(bell), viewer.number));
}

void Viewers::put(trace::Passed::Kind kind, const Viewer& viewer, int status, const std::string& cause) {
  trace::Passed record;
  record.set_at_us(origin_us_ + static_cast<std::uint64_t>(now_.count()));
  record.set_kind(kind);
  record.set_manager(doors_[viewer.door].manager);
  record.set_trace(viewer.trace);
  record.set_sid(viewer.sid);
  record.set_plan(scenario_.deployment.front.plans[viewer.plan].name);
  record.set_title(viewer.title);
  record.set_rung(kind == trace::Passed::OBJECT || kind == trace::Passed::ANSWERED ? viewer.rung
                                                                                   : viewer.top);
  record.set_status(status);
  record.set_state(
      kind == trace::Passed::ASKED && issuer_ ? team_of(viewer) + (viewer.bad_token ? " bad" : "") : cause);
  record.set_number(viewer.number);
  record.set_link(viewer.link);
  record.set_value(kind == trace::Passed::ASKED && viewer.came == now_ ? seconds(viewer.watch) : 0);
  sink_(record);
}

void Viewers::handle(Duration now, const IoEvent& what, std::vector<Action>& actions) {
  now_ = std::max(now_, now);
  if (!began_) {
    began_ = true;
    bells_.schedule(now_, packed(static_cast<std::uint64_t>(Bell::arrival), 0));
    bells_.schedule(now_, packed(static_cast<std::uint64_t>(Bell::arrival), 1));
  }
  const auto of_link = [&](ConnectionId link) -> Viewer* {
    const auto found = by_link_.find(link);
    return found == by_link_.end() ? nullptr : &viewers_.at(found->second);
  };
  std::visit(Overloaded{
                 [&](const Connected& c) {
                   auto* viewer = of_link(c.connection);
                   if (!viewer)
                     return;
                   viewer->connected = true;
                   actions.push_back(Send{c.connection, viewer->request});
                 },
                 [&](const Received& r) {
                   if (auto* viewer = of_link(r.connection))
                     came_part(*viewer, viewer->reader.push(r.bytes), actions);
                 },
                 [&](const HalfClosed& h) {
                   if (auto* viewer = of_link(h.connection))
                     broke(*viewer, actions);
                 },
                 [&](const Disconnected& e) {
                   if (auto* viewer = of_link(e.connection))
                     broke(*viewer, actions, e.reason == CloseReason::refused);
                 },
                 [&](const ShutdownRequested&) {
                   stopping_ = true;
                   actions.push_back(StopLoop{});
                 },
                 [&](const auto&) {},
             },
             what);
  std::vector<std::uint64_t> rung;
  bells_.advance(now_, rung);
  for (const auto code : rung) {
    const auto bell = static_cast<Bell>(code >> 32);
    const auto number = static_cast<std::uint32_t>(code);
    if (bell == Bell::arrival) {
      arrive(actions, number == 1);
      continue;
    }
    const auto found = viewers_.find(number);
    if (found == viewers_.end())
      continue;
    auto& viewer = found->second;
    if (bell == Bell::patience) {
      // Its time is up: nothing that comes now counts.
      put(trace::Passed::LEFT, viewer, 0, viewer.first ? "abandoned" : "stalled");
      hang(viewer, actions);
      if (draw() < scenario_.workload.return_probability && !viewer.first)
        rest(viewer, scenario_.workload.rejoin_delay, actions);
      else
        viewer.state = State::over;
    } else if (bell == Bell::again) {
      if (viewer.hls && viewer.goes_on) {
        next_hls(viewer, actions);
      } else {
        viewer.first = true;
        begin_hls(viewer);
        ask(viewer, actions);
      }
    } else if (bell == Bell::next_object) {
      if (viewer.hls && !viewer.first) {
        next_hls(viewer, actions);
      } else {
        begin_hls(viewer);
        ask(viewer, actions);
      }
    }
    if (viewer.state == State::over)
      viewers_.erase(number);
  }
  std::erase_if(viewers_, [](const auto& entry) { return entry.second.state == State::over; });
  if (const auto next = bells_.next())
    actions.push_back(StartTimer{*next});
}

void Viewers::arrive(std::vector<Action>& actions, bool crowd) {
  if (scenario_now() >= scenario_.duration || stopping_) {
    // What still plays when the day is long over is left; what is being set up is waited for.
    Duration over = scenario_.duration;
    for (const auto& plan : scenario_.deployment.front.plans)
      over = std::max(over, scenario_.duration + plan.abandon_time);
    for (auto& [number, viewer] : viewers_) {
      if (scenario_now() > over && viewer.state != State::over && viewer.state != State::asking)
        leave(viewer, actions, "the day is over");
    }
    if (viewers_.empty() && !crowd)
      actions.push_back(StopLoop{});
    else if (!crowd)
      bells_.schedule(now_ + 100ms, packed(static_cast<std::uint64_t>(Bell::arrival), 0));
    return;
  }
  double rate = crowd ? 0 : scenario_.workload.arrivals_per_second;
  for (const auto& fault : scenario_.faults) {
    if (crowd && fault.kind == FaultKind::crowd && scenario_now() >= fault.start &&
        scenario_now() < fault.start + fault.duration)
      rate += fault.magnitude;
  }
  const auto code = packed(static_cast<std::uint64_t>(Bell::arrival), crowd ? 1 : 0);
  if (rate <= 0) {
    bells_.schedule(now_ + 100ms, code);
    return;
  }
  bells_.schedule(now_ + span_of(-std::log(1 - draw()) / rate), code);
  if (scenario_now() < 0s)
    return;  // the day has not begun
  Viewer viewer;
  viewer.number = next_viewer_++;
  const auto& terms = scenario_.workload;
  double sum = 0;
  for (const double share : terms.plan_shares)
    sum += share;
  double at = draw() * sum;
  while (viewer.plan + 1 < static_cast<int>(terms.plan_shares.size()) && at >= terms.plan_shares[viewer.plan])
    at -= terms.plan_shares[viewer.plan++];
  const auto title =
      crowd ? terms.crowd_title
            : std::lower_bound(zipf_.begin(), zipf_.end(), draw() * zipf_.back()) - zipf_.begin();
  viewer.title = "recording-" + std::to_string(title);
  viewer.hall = static_cast<int>(draw() * static_cast<double>(scenario_.deployment.front.halls.size()));
  const auto& plan = scenario_.deployment.front.policy.plans[viewer.plan];
  viewer.top = plan.top;
  if (draw() < terms.small_screen_share)
    viewer.top = std::max(plan.floor, plan.top - 1);
  viewer.watch = viewer.left_to_watch =
      terms.min_watch_time + span_of(draw() * seconds(terms.max_watch_time - terms.min_watch_time));
  const double kind = draw();
  viewer.hints = kind < terms.no_hints_share                                 ? 1
                 : kind < terms.no_hints_share + terms.malformed_hints_share ? 2
                                                                             : 0;
  char sid[40];
  std::snprintf(sid, sizeof sid, "%08x-%04x-4000-8000-%012x", viewer.number, scenario_.seed & 0xffff,
                static_cast<unsigned>(chance_()));
  viewer.sid = sid;
  viewer.came = now_;
  if (terms.hls_share > 0 && draw() < terms.hls_share)
    viewer.hls = std::make_unique<HlsPlayer>("", 0);
  begin_hls(viewer);
  auto& kept = viewers_.emplace(viewer.number, std::move(viewer)).first->second;
  ask(kept, actions);
}

void Viewers::request_text(Viewer& viewer) {
  const auto& front = scenario_.deployment.front;
  manager::MediaPath path{viewer.plan, viewer.title, 0, std::to_string(viewer.object) + ".m4s"};
  http::Fields fields{
      {"Host", "front"},
      {"traceparent", "00-" + viewer.trace + "-00000000000000" + (viewer.first ? "01" : "02") + "-01"}};
  hints::Cmcd said;
  said.session_id = viewer.sid;
  said.object_type = hints::ObjectType::video;
  said.object_duration = front.object_duration.count() / 1000;
  said.startup = viewer.first;
  said.stream_type = hints::StreamType::recorded;
  const auto& plan = front.policy.plans[viewer.plan];
  said.top_bitrate = std::llround(front.policy.rung_kb[viewer.top] * plan.rate_scale * 8) + 1;
  if (!viewer.first) {
    said.buffer_length = static_cast<std::int64_t>(viewer.buffer_s * 10) * 100;
    said.buffer_starved = std::exchange(viewer.starved, false);
    if (viewer.throughput > 0)
      said.measured_throughput = std::llround(viewer.throughput * 8 / 100) * 100;
  }
  auto target = viewer.hls ? viewer.hls_ask.target : manager::format_media_path(front, path, viewer.top);
  if (viewer.hls) {
    said.format = hints::StreamingFormat::hls;
    if (viewer.hls_ask.kind != HlsPlayer::Ask::Kind::segment)
      said.object_type = hints::ObjectType::manifest;
    if (viewer.number % 3 == 0)
      fields.emplace_back("Accept-Encoding", "gzip");
  }
  std::string more;
  if (viewer.hints == 0 && viewer.number % 2 == 0)
    target += "?CMCD=" + hints::cmcd_query(said);
  else if (viewer.hints == 0)
    for (auto& field : hints::cmcd_headers(said))
      fields.push_back(std::move(field));
  else if (viewer.hints == 2)
    more = malformed_hints(viewer.number, viewer.sid);
  if (issuer_)
    show_token(viewer, fields);
  viewer.request = http::request_text("GET", target, fields);
  viewer.request.insert(viewer.request.size() - 2, more);
}

// A new token when the last is half over: most are renewed while they play.
void Viewers::show_token(Viewer& viewer, http::Fields& fields) {
  issuer_->turn_to(
      static_cast<int>(std::max(Duration(0), scenario_now()) / scenario_.issuer.rotation_interval));
  if (viewer.token.empty() || now_ - viewer.token_at > scenario_.issuer.token_lifetime / 2) {
    const auto now = wall_ + now_;
    Issuer::Says says{viewer.sid + "-" + std::to_string(++viewer.tokens),
                      "viewer-" + std::to_string(viewer.number),
                      team_of(viewer),
                      scenario_.issuer.seats_per_team,
                      now,
                      now + scenario_.issuer.token_lifetime,
                      Duration(0),
                      {},
                      {}};
    if (viewer.tokens == 1)
      viewer.bad_token = draw() < scenario_.issuer.invalid_token_share;
    if (viewer.bad_token && viewer.number % 2 == 0)
      says.expires = now - std::chrono::hours(1);
    viewer.token = viewer.bad_token && viewer.number % 2 == 1 ? issuer_->forged(says) : issuer_->token(says);
    viewer.token_at = now_;
  }
  if (viewer.number % 3 == 0)
    fields.emplace_back("Cookie", "other=1; CTA-Common-Access-Token=" + viewer.token);
  else
    fields.emplace_back("Authorization", "Bearer " + viewer.token);
}

void Viewers::ask(Viewer& viewer, std::vector<Action>& actions) {
  drain_buffer(viewer);
  if (viewer.first) {
    viewer.buffer_s = 0;
    ++asked_;
  }
  char trace[40];
  std::snprintf(trace, sizeof trace, "%08x%08x%08x%08x", scenario_.seed, viewer.number,
                static_cast<unsigned>(asked_), static_cast<unsigned>(++requests_));
  viewer.trace = trace;
  if (viewer.first && !viewer.link) {
    std::vector<int> own;
    for (int i = 0; i < static_cast<int>(doors_.size()); ++i) {
      if (doors_[i].hall == viewer.hall)
        own.push_back(i);
    }
    if (own.empty()) {
      for (int i = 0; i < static_cast<int>(doors_.size()); ++i)
        own.push_back(i);
    }
    viewer.door = own[static_cast<std::size_t>(draw() * static_cast<double>(own.size()))];
  }
  request_text(viewer);
  viewer.status = viewer.retry_after = 0;
  viewer.bytes = 0;
  viewer.body.clear();
  viewer.answered = false;
  viewer.sent_at = now_;
  viewer.state = viewer.first ? State::asking : State::fetching;
  viewer.reader.expect(false);
  if (viewer.link && viewer.connected) {
    actions.push_back(Send{viewer.link, viewer.request});
  } else if (!viewer.link) {
    viewer.link = next_link_++;
    by_link_[viewer.link] = viewer.number;
    actions.push_back(Dial{viewer.link, "127.0.0.1", doors_[viewer.door].port});
  }
  if (viewer.first)
    put(trace::Passed::ASKED, viewer);
  const Duration patience = scenario_.deployment.front.plans[viewer.plan].abandon_time;
  arm(viewer, viewer.first ? patience : 3 * patience, Bell::patience);
}

void Viewers::came_part(Viewer& viewer, http::ResponseReader::Part part, std::vector<Action>& actions) {
  if (part.fault) {
    // Bytes that no request asked for: a second answer, whatever they say.
    if (part.done || (viewer.state != State::asking && viewer.state != State::fetching))
      put(trace::Passed::ANSWERED, viewer, -1, "unasked bytes");
    return broke(viewer, actions);
  }
  if (part.head) {
    viewer.status = part.head->status;
    viewer.answered = true;
    viewer.packed = http::joined(part.head->fields, "Content-Encoding") == "gzip";
    if (const auto* wait = http::find(part.head->fields, "Retry-After"))
      viewer.retry_after = std::atoi(wait->c_str());
    const auto said = hints::read_cmsd(http::joined(part.head->fields, "CMSD-Static"),
                                       http::joined(part.head->fields, "CMSD-Dynamic"));
    const auto& rates = scenario_.deployment.front.policy.rung_kb;
    if (!said.hops.empty() && said.hops.back().max_suggested_bitrate)
      viewer.suggested_bits = static_cast<double>(*said.hops.back().max_suggested_bitrate) * 1000;
    if (const auto* again = http::find(part.head->fields, "Content-Location"); again && viewer.hls)
      viewer.hls->lists_again_at(*again);
    if (said.fixed && said.fixed->bitrate) {
      const double kb = static_cast<double>(*said.fixed->bitrate) / 8 /
                        scenario_.deployment.front.policy.plans[viewer.plan].rate_scale;
      viewer.rung = static_cast<int>(
          std::min_element(rates.begin(), rates.end(),
                           [&](double a, double b) { return std::fabs(a - kb) < std::fabs(b - kb); }) -
          rates.begin());
    }
    if (viewer.first) {
      put(trace::Passed::ANSWERED, viewer, viewer.status);
      // It plays: patience is for the set-up; a body that stalls is left later.
      if (viewer.status == 200)
        arm(viewer, 3 * scenario_.deployment.front.plans[viewer.plan].abandon_time, Bell::patience);
    }
  }
  viewer.bytes += part.body.size();
  if (viewer.hls && (viewer.hls_ask.kind != HlsPlayer::Ask::Kind::segment || viewer.body.size() < most_stamp))
    viewer.body += part.body;
  if (!part.done)
    return;
  viewer.breaks = 0;
  if (viewer.hls && viewer.status == 200)
    return hls_whole(viewer, actions);
  if (viewer.hls && !viewer.first && hls_refused(viewer, actions))
    return;
  if (viewer.status == 200 || viewer.status == 206)
    return object_whole(viewer, actions);
  const bool was_first = viewer.first;
  if (!was_first)
    put(trace::Passed::OBJECT, viewer, viewer.status);
  const bool comes_again =
      (viewer.status == 503 || !was_first) && draw() < scenario_.workload.return_probability;
  if (!comes_again)
    return leave(viewer, actions, "turned away");
  rest(viewer,
       viewer.retry_after > 0 ? span_of(viewer.retry_after * (1 + 0.5 * draw()))
                              : scenario_.workload.rejoin_delay,
       actions);
}

void Viewers::drain_buffer(Viewer& viewer) {
  const double passed = seconds(now_ - viewer.buffer_at);
  viewer.buffer_at = now_;
  if (!viewer.ever_played || viewer.first)
    return;
  if (viewer.buffer_s < passed && viewer.state == State::fetching)
    viewer.starved = true;
  viewer.buffer_s = std::max(0.0, viewer.buffer_s - passed);
}

void Viewers::object_whole(Viewer& viewer, std::vector<Action>& actions) {
  drain_buffer(viewer);
  const double length = seconds(scenario_.deployment.front.object_duration);
  viewer.throughput =
      static_cast<double>(viewer.bytes) / 1000 / std::max(0.001, seconds(now_ - viewer.sent_at));
  viewer.ever_played = true;
  viewer.first = false;
  viewer.buffer_s += length;
  viewer.left_to_watch -= scenario_.deployment.front.object_duration;
  ++viewer.object;
  put(trace::Passed::OBJECT, viewer, viewer.status);
  if (viewer.left_to_watch <= 0s)
    return leave(viewer, actions, "seen");
  const double room = (most_buffer_objects - 1) * length - viewer.buffer_s;
  viewer.state = State::idle;
  arm(viewer, room >= 0 ? 1ms : span_of(-room), Bell::next_object);
}

// ---- HLS ----

void Viewers::begin_hls(Viewer& viewer) {
  if (!viewer.hls)
    return;
  const auto& front = scenario_.deployment.front;
  const auto& plan = front.policy.plans[viewer.plan];
  const auto lists = "/" + http::percent_encoded(front.plans[viewer.plan].name) + "/" +
                     http::percent_encoded(viewer.title) + "/index.m3u8";
  viewer.hls = std::make_unique<HlsPlayer>(
      lists, front.policy.rung_kb[viewer.top] * plan.rate_scale * 8000 * (1 + 1e-6));
  viewer.hls_ask = {HlsPlayer::Ask::Kind::lists, lists};
  viewer.goes_on = false;
}

void Viewers::tell_wrongs(Viewer& viewer) {
  for (const auto& what : viewer.hls->take_wrongs())
    put(trace::Passed::UNSTEADY, viewer, 0, what);
}

void Viewers::next_hls(Viewer& viewer, std::vector<Action>& actions) {
  drain_buffer(viewer);
  const double room = (most_buffer_objects - 1) * viewer.hls->segment_length();
  const auto next = viewer.hls->next(seconds(now_), viewer.buffer_s, room);
  tell_wrongs(viewer);
  if (std::holds_alternative<std::monostate>(next))
    return leave(viewer, actions, "played to its end");
  if (const auto* wait = std::get_if<double>(&next)) {
    viewer.state = State::idle;
    return arm(viewer, std::max(Duration(1ms), span_of(*wait)), Bell::next_object);
  }
  viewer.hls_ask = std::get<HlsPlayer::Ask>(next);
  ask(viewer, actions);
}

void Viewers::hls_whole(Viewer& viewer, std::vector<Action>& actions) {
  drain_buffer(viewer);
  viewer.first = false;
  viewer.ever_played = true;
  auto body = viewer.body;
  if (viewer.packed)
    body = gzip::decompress(body, 64 << 20).value_or("");
  const bool segment = viewer.hls->took(seconds(now_), viewer.hls_ask, body);
  tell_wrongs(viewer);
  if (segment) {
    viewer.throughput =
        static_cast<double>(viewer.bytes) / 1000 / std::max(0.001, seconds(now_ - viewer.sent_at));
    viewer.hls->line(seconds(now_ - viewer.sent_at), viewer.suggested_bits);
    viewer.buffer_s += viewer.hls->segment_length();
    viewer.left_to_watch -= span_of(viewer.hls->segment_length());
    viewer.rung = viewer.hls->rung();
    ++viewer.object;
    put(trace::Passed::OBJECT, viewer, viewer.status);
    if (viewer.left_to_watch <= 0s)
      return leave(viewer, actions, "seen");
  }
  viewer.state = State::idle;
  arm(viewer, 1ms, Bell::next_object);
}

// An address that is answered otherwise than with what it names.
bool Viewers::hls_refused(Viewer& viewer, std::vector<Action>& actions) {
  put(trace::Passed::OBJECT, viewer, viewer.status);
  const auto pause = viewer.retry_after > 0 ? span_of(viewer.retry_after * (1 + 0.5 * draw()))
                                            : span_of(seconds(scenario_.workload.rejoin_delay) * 0.25);
  if (viewer.status == 404 || viewer.status == 503) {
    if (viewer.status == 404)
      viewer.hls->refused(viewer.hls_ask);
    viewer.goes_on = true;
    rest(viewer, pause, actions);
    return true;
  }
  // Over, or lost: it is opened anew, as its viewer would.
  viewer.goes_on = false;
  rest(viewer, pause, actions);
  return true;
}

void Viewers::broke(Viewer& viewer, std::vector<Action>& actions, bool refused) {
  const bool under_way = viewer.state == State::asking || viewer.state == State::fetching;
  const bool unanswered = viewer.state == State::asking && !viewer.answered;
  if (unanswered)
    put(trace::Passed::ANSWERED, viewer, 0, refused ? "refused" : "");
  hang(viewer, actions);
  if (viewer.hls && !viewer.first) {
    // Its addresses are good for longer than a connection.
    viewer.hls->broke();
    viewer.goes_on = ++viewer.breaks < most_breaks;
    if (viewer.state == State::idle)
      return;
    return rest(viewer, span_of(seconds(scenario_.workload.rejoin_delay) * (0.25 + 0.5 * draw())), actions);
  }
  if (!under_way) {  // between objects: the next one is asked on a new connection, as a playback anew
    viewer.first = true;
    return;
  }
  if (!unanswered && viewer.state == State::asking)
    put(trace::Passed::LEFT, viewer, 0, "cut");
  if (draw() >= scenario_.workload.return_probability) {
    viewer.state = State::over;
    bells_.cancel(viewer.timer);
    return;
  }
  rest(viewer, span_of(seconds(scenario_.workload.rejoin_delay) * (0.5 + draw())), actions);
}

void Viewers::rest(Viewer& viewer, Duration pause, std::vector<Action>& actions) {
  if (viewer.link)
    hang(viewer, actions);
  if (now_ + pause >= viewer.came + viewer.watch || scenario_now() >= scenario_.duration) {
    viewer.state = State::over;
    bells_.cancel(viewer.timer);
    return;
  }
  viewer.state = State::resting;
  arm(viewer, pause, Bell::again);
}

void Viewers::leave(Viewer& viewer, std::vector<Action>& actions, const char* cause) {
  put(trace::Passed::LEFT, viewer, 0, cause);
  hang(viewer, actions);
  bells_.cancel(viewer.timer);
  viewer.state = State::over;
}

void Viewers::hang(Viewer& viewer, std::vector<Action>& actions) {
  if (!viewer.link)
    return;
  actions.push_back(Close{viewer.link, false});
  by_link_.erase(viewer.link);
  viewer.link = 0;
  viewer.connected = false;
}

}  // namespace violettide::standins
