#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "manager/inside.h"

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

std::string listed(const std::string& before, const std::string& own) {
  return before.empty() ? own : before + ", " + own;
}

}  // namespace

Manager::Manager(FrontTerms terms, std::uint64_t seed, std::string cached_list,
                 std::unique_ptr<Decider> decider)
    : terms_(std::move(terms)),
      decider_(decider ? std::move(decider) : make_policy_decider(terms_.site, seed)),
      list_(terms_.halls),
      hint_evaluator_(std::max<Duration>(terms_.site.measurement_delay, terms_.object_length),
                      terms_.site.rung_kb),
      cached_list_(std::move(cached_list)),
      keeper_(
          terms_.keeper, [this](std::string_view name) { return list_.index(name); },
          static_cast<int>(terms_.site.rung_kb.size())),
      demand_(terms_.demand_kept, terms_.demand_half_life),
      token_validator_(terms_.entitlement.token_validator),
      keys_(terms_.hls.passes) {
  terms_.hls.show.idle_timeout = terms_.silence;
  chance_.seed(static_cast<std::minstd_rand::result_type>(seed % std::minstd_rand::modulus));
}
Manager::~Manager() = default;

Held Manager::held() const {
  return {viewers_.size(), boxes_.size(), playbacks_.size(), bells_.pending(), parted_.size(), lists_bytes_};
}

void Manager::say(std::string event, std::vector<LogField> fields) {
  actions_->push_back(LogLine{std::move(event), std::move(fields)});
}

void Manager::handle(Duration now, const IoEvent& what, std::vector<Action>& actions) {
  if (began_ && now - now_ > stands_still) {
    still_until_ = now + catches_up;
    say_stood_still_ = now - now_;
  }
  now_ = std::max(now_, now);
  actions_ = &actions;
  if (!began_)
    first_moment();
  if (const auto still = std::exchange(say_stood_still_, Duration(0)); still > Duration(0))
    say("stood_still", {{"ms", still.count() / 1000}});
  std::visit([this](const auto& happened) { on(happened); }, what);
  carry_out();
  rung_.clear();
  bells_.advance(now_, rung_);
  for (std::size_t i = 0; i < rung_.size(); ++i) {
    ring(rung_[i]);
    carry_out();
  }
  const auto next = bells_.next();
  if (next && (!wake_at_ || *wake_at_ <= now_ || *next < *wake_at_)) {
    wake_at_ = std::max(*next, now_ + std::chrono::milliseconds(1));
    actions.push_back(StartTimer{*wake_at_});
  }
}

void Manager::first_moment() {
  began_ = true;
  if (!cached_list_.empty())
    take_list(list_.apply_cached(now_, cached_list_), "kept");
  // One that knows no box asks at once; others of a hall that starts together ask apart.
  arm(cached_list_.empty() ? Duration(0) : terms_.list_every * static_cast<int>(chance_() % 100) / 100,
      Ring::list, 0);
  if (terms_.catalogued && terms_.feed_port != 0)
    arm(Duration(0), Ring::feed, 0);
  arm(terms_.object_length, Ring::weigh, 0);
  if (!terms_.peers.managers.empty())
    peers_ = std::make_unique<peers::Peers>(terms_.peers, peer_links);
  if (terms_.entitlement.on) {
    auto own = terms_.entitlement.ledger;
    own.peers.clear();
    for (const auto& peer : terms_.peers.managers)
      own.peers.push_back(peer.name);
    if (own.peers.empty())
      own.peers.push_back(terms_.name);
    own.self = terms_.peers.self;
    ledger_ = std::make_unique<entitlement::Ledger>(std::move(own), terms_.entitlement.restart, wall(),
                                                    terms_.entitlement.kept);
  }
  if (peers_ || ledger_)
    arm(Duration(0), Ring::seats, 0);
}

void Manager::ring(const Bell& bell) {
  switch (bell.ring) {
    case Ring::module:
      return tell(TimerExpired{bell.of});
    case Ring::list:
      return poll_list();
    case Ring::feed:
      return poll_feed();
    case Ring::feed_wait:
      if (const auto found = controls_.find(bell.of); found != controls_.end() && found->second->feed_after)
        control_reply(*found->second, cataloguewire::empty_feed_reply(keeper_.current()->revision));
      return;
    case Ring::seats:
      return seats_time();
    case Ring::weigh:
      arm(terms_.object_length, Ring::weigh, 0);
      return heed(hint_evaluator_.handle(now_, hints::Tick{}), 0);
    case Ring::try_limit:
    case Ring::box_limit:
      if (const auto found = boxes_.find(bell.of); found != boxes_.end())
        box_time_up(*found->second);
      return;
    case Ring::abandon: {
      // Guards against a request that nothing answers, whatever the cause: its viewer's time is nearly up.
      const auto found = playbacks_.find(bell.of);
      if (found == playbacks_.end() || found->second->playing)
        return;
      auto& playback = *found->second;
      say("answered_by_guard", {{"playback", said_id(playback.id)}});
      tell(RequestCancelled{playback.id});
      if (playback.try_link) {
        hang_box(playback.try_link);
        tell(TryEnded{playback.id, playback.server, Outcome::cancelled, true, {}});
      }
      return settle(playback, 504, "the set-up took too long\n", {});
    }
    case Ring::silence: {
      const auto found = playbacks_.find(bell.of);
      if (found == playbacks_.end() || found->second->objects_out > 0)
        return;
      say("playback_over", {{"playback", said_id(bell.of)}, {"cause", std::string("silence")}});
      tell(TryEnded{bell.of, found->second->server, Outcome::served, true, {}});
      part(*found->second, hls::EndReason::idle);
      return forget(bell.of);
    }
    case Ring::viewer_stuck:
      // Guards against a viewer that reads nothing keeping a box's connection for good.
      say("viewer_stuck", {{"link", static_cast<std::int64_t>(bell.of)}});
      return drop_viewer(bell.of, true);
    case Ring::stop:
      answer_all();
      actions_->push_back(StopLoop{});
      return;
  }
}

// ---- viewers ----

void Manager::on(const Accepted& what) {
  if (peers_ && what.listener == terms_.peer_door)
    return peers_->on_accepted(now_, what.connection, *actions_);
  if (what.listener != 0) {
    auto control = std::make_unique<Control>();
    control->link = what.connection;
    // Batches of a bulk load are longer than anything that a viewer may send.
    http::Limits limits = terms_.http;
    limits.max_request_body_bytes = most_batch;
    control->reader = http::RequestParser(limits);
    controls_.emplace(what.connection, std::move(control));
    return;
  }
  // Guards against more connections than this front has memory for; those it has keep what they hold.
  if (viewers_.size() >= terms_.viewer_links || stopping_) {
    actions_->push_back(
        Send{what.connection, http::serialize_response_head(503, come_back_soon(), 0, false)});
    actions_->push_back(Close{what.connection, true});
    say("viewer_turned_away", {{"cause", std::string(stopping_ ? "stopping" : "connections")}});
    return;
  }
  auto viewer = std::make_unique<ViewerLink>();
  viewer->link = what.connection;
  viewer->reader = http::RequestParser(terms_.http);
  viewers_.emplace(what.connection, std::move(viewer));
}

void Manager::on(const Received& what) {
  if (peer_link(what.connection))
    return peers_said(peers_->on_received(what.connection, what.bytes, *actions_));
  if (what.connection >= first_accepted) {
    if (const auto control = controls_.find(what.connection); control != controls_.end()) {
      control->second->reader.push(what.bytes);
      return control_requests(*control->second);
    }
    const auto found = viewers_.find(what.connection);
    if (found == viewers_.end())
      return;  // hung up on already
    auto& viewer = *found->second;
    viewer.reader.push(what.bytes);
    if (viewer.busy && viewer.reader.buffered_bytes() > most_pipelined && !viewer.reading_held) {
      viewer.reading_held = true;
      actions_->push_back(PauseReading{what.connection});
    }
    return take_requests(viewer);
  }
  const auto found = boxes_.find(what.connection);
  if (found == boxes_.end())
    return;  // an answer after its cancel
  auto& link = *found->second;
  from_box(link, link.reader.push(what.bytes));
}

void Manager::take_requests(ViewerLink& viewer) {
  const ConnectionId link = viewer.link;
  while (!viewer.busy) {
    if (auto request = viewer.reader.next()) {
      serve(viewer, std::move(*request));
      if (!viewers_.contains(link))
        return;
      continue;
    }
    if (const auto& fault = viewer.reader.error()) {
      viewer.busy = viewer.close_after = true;
      say("request_malformed", {{"status", std::int64_t{fault->status}}, {"cause", fault->cause}});
      return answer(viewer, fault->status, fault->cause + "\n");
    }
    if (viewer.half_closed || stopping_)
      drop_viewer(link, false);
    return;
  }
}

void Manager::serve(ViewerLink& viewer, http::Request request) {
  viewer.busy = true;
  viewer.retried = false;
  viewer.asked_at = now_;
  viewer.request = std::move(request);
  viewer.close_after = !viewer.request.keep_alive || stopping_;
  if (viewer.request.method != "GET")
    return answer(viewer, 405, "media objects are read with GET\n", {{"Allow", "GET"}});
  viewer.wants = ViewerLink::Wants::object;
  viewer.delta = viewer.blocks = false;
  viewer.hints = hints::parse_cmcd(viewer.request.fields, viewer.request.target);
  viewer.token = ledger_ ? token_of(viewer.request) : "";
  // Whose player says no session is known by its token: a retry must find its seat.
  if (!viewer.token.empty() && !viewer.hints.cmcd.session_id)
    viewer.hints.cmcd.session_id =
        "t" + std::to_string(XXH3_64bits(viewer.token.data(), viewer.token.size()));
  const auto read = terms_.hls.on() ? read_hls(viewer) : Read::other;
  if (read == Read::answered)
    return;
  if (read == Read::other) {
    auto path = read_path(terms_, viewer.request.target);
    if (const auto* fault = std::get_if<PathFault>(&path))
      return answer(viewer, 404, fault->cause + "\n");
    viewer.path = std::move(std::get<MediaPath>(path));
  }
  const auto* trace = http::find(viewer.request.fields, "traceparent");
  viewer.trace = trace ? *trace : "";
  if (!viewer.hints.errors.empty()) {
    const auto& first = viewer.hints.errors.front();
    say("hints_left_out", {{"count", static_cast<std::int64_t>(viewer.hints.errors.size())},
                           {"key", first.key},
                           {"cause", first.cause}});
  }
  serve_media(viewer);
}

// Which playback a request belongs to, and what it wants of it.
void Manager::serve_media(ViewerLink& viewer) {
  if (stopping_)
    return answer(viewer, 503, "this front is stopping\n", come_back_soon());
  const bool by_address =
      viewer.wants > ViewerLink::Wants::lists || viewer.pass.scope == signed_url::Claims::Scope::multivariant;
  if (viewer.wants != ViewerLink::Wants::object && by_address && !adopt(viewer))
    return;
  auto& playback = admit(viewer);
  viewer.playback = playback.id;
  if (viewer.wants != ViewerLink::Wants::object)
    hls_side(playback);
  if (!playback.playing) {
    // Guards against one session id gathering requests without end behind a slow set-up.
    if (playback.askers.size() >= most_askers) {
      viewer.playback.reset();
      if (out_and_paid(playback))
        return answer(viewer, 502, "too many requests wait for this set-up\n");
      return answer(viewer, 503, "too many requests wait for this set-up\n", come_back_soon());
    }
    viewer.waits = true;
    playback.askers.push_back(viewer.link);
    if (playback.askers.size() == 1 && playback.tries == 0 && playback.asked_at == Duration(-1))
      ask(playback);
    return;
  }
  if (ledger_)
    renew(playback, viewer);
  const auto id = playback.id;
  heed(hint_evaluator_.handle(now_, hints::CmcdReceived{id, playback.server, viewer.hints.cmcd,
                                                        rate_kb(playback, playback.rung)}),
       playback.server);
  if (viewer.wants != ViewerLink::Wants::object && !steer(viewer, playback))
    return;
  fetch(viewer, playback);
}

std::string Manager::key_of(int plan, const std::string& title, const std::string& who) {
  return std::to_string(plan) + '/' + title + '/' + who;
}

http::Fields Manager::come_back_soon() {
  const auto longest = std::chrono::floor<std::chrono::seconds>(terms_.site.max_retry_after).count();
  const auto most = static_cast<std::uint64_t>(std::clamp<std::int64_t>(longest, 1, 3));
  return {{"Retry-After", std::to_string(1 + chance_() % most)}};
}

// Paid at set-up, and that may have run: a word that it may be had elsewhere would be a second set-up.
bool Manager::out_and_paid(const Playback& playback) const {
  return terms_.site.plans[playback.plan].pay_at_setup && (playback.playing || playback.try_link != 0);
}

// A playback is known by plan, title and session id. Without an id the viewer's connection stands in for
// it, and the playback ends with the connection.
Manager::Playback& Manager::admit(ViewerLink& viewer) {
  const auto& sid = viewer.hints.cmcd.session_id;
  auto key =
      key_of(viewer.path.plan, viewer.path.title, sid ? "s" + *sid : "l" + std::to_string(viewer.link));
  if (const auto found = by_key_.find(key); found != by_key_.end())
    return *playbacks_.at(found->second);
  auto fresh = std::make_unique<Playback>();
  auto& playback = *fresh;
  playback.id = next_playback_++;
  playback.key = key;
  playback.plan = viewer.path.plan;
  playback.title = viewer.path.title;
  playback.tied_to_link = !sid;
  playback.sid = sid ? *sid : terms_.name + "-" + std::to_string(viewer.link);
  playback.asked_at = Duration(-1);
  auto [title, unknown] = titles_.try_emplace(playback.title, 0);
  if (unknown) {
    if (free_titles_.empty())
      free_titles_.push_back(static_cast<TitleId>(titles_.size() - 1));
    title->second = free_titles_.back();
    free_titles_.pop_back();
  }
  playback.title_id = title->second;
  ++title_uses_[playback.title_id];
  by_key_.emplace(std::move(key), playback.id);
  playbacks_.emplace(playback.id, std::move(fresh));
  return playback;
}

// What the module is to know of it; nothing, and the playback settled, where the catalogue has none to play.
std::optional<Request> Manager::request_for(Playback& playback, const ViewerLink& viewer) {
  const auto& plan = terms_.site.plans[playback.plan];
  Holders holders;
  violettide::HolderList listed;
  int top = plan.top;
  if (terms_.catalogued) {
    const auto id = keeper_.current()->id(playback.title);
    const auto* entry = id ? keeper_.current()->find(*id) : nullptr;
    const auto best = entry ? entry->rung_within(plan.floor, plan.top) : std::nullopt;
    if (!best) {
      settle(playback, 404, entry ? "no rendition that this plan may play\n" : "no recording of that title\n",
             {});
      return std::nullopt;
    }
    top = *best;
    holders.length = entry->length();
    listed = entry->holders;
    playback.recording = *id;
    asking_[*id].insert(playback.id);
    demand_.record_request(now_, *id);
  } else {
    holders = holders_of(terms_, playback.title);
  }
  // One asked anew after a loss has what is left of its viewer's time, not a time of its own.
  const Duration abandon = terms_.plans[playback.plan].abandon - (now_ - viewer.asked_at);
  Request request;
  request.playback = playback.id;
  request.plan = playback.plan;
  request.title = playback.title_id;
  request.abandon_at = now_ + part_of(abandon, answer_part);
  request.length = holders.length;
  request.first_cell = holders.first_cell;
  request.cell_count = holders.cells;
  request.listed_holders = listed;
  request.top = hint_evaluator_.max_rung(viewer.hints.cmcd, plan.floor, top, plan.rate_scale);
  playback.rung = plan.floor;
  return request;
}

void Manager::ask(Playback& playback) {
  playback.asked_at = now_;
  const auto& viewer = *viewers_.at(playback.askers.front());
  const auto request = request_for(playback, viewer);
  if (!request)
    return;
  const Duration abandon = terms_.plans[playback.plan].abandon - (now_ - viewer.asked_at);
  playback.abandon = arm(part_of(abandon, guard_part), Ring::abandon, playback.id);
  say("playback_asked", {{"playback", said_id(playback.id)},
                         {"plan", terms_.plans[playback.plan].name},
                         {"title", playback.title},
                         {"sid", playback.sid},
                         {"top", std::int64_t{request->top}}});
  playback.request = *request;
  if (ledger_)
    return entitle(playback);
  tell(*request);
}

void Manager::answer(ViewerLink& viewer, int status, const std::string& text, const http::Fields& more) {
  http::Fields fields{{"Via", "1.1 " + terms_.name}};
  if (!http::find(more, "Content-Type"))
    fields.emplace_back("Content-Type", "text/plain");
  fields.insert(fields.end(), more.begin(), more.end());
  const bool head_only = viewer.request.method == "HEAD";  // whose answer has no body (RFC 9110, 9.3.2)
  send_to_viewer(viewer, http::serialize_response_head(status, fields, text.size(), !viewer.close_after) +
                             (head_only ? "" : text));
  done_with(viewer);
}

// The response is whole: the next request of this connection may be read.
void Manager::done_with(ViewerLink& viewer) {
  viewer.busy = viewer.waits = viewer.head_sent = viewer.chunked = false;
  viewer.playback.reset();
  viewer.box = 0;
  if (viewer.close_after)
    return drop_viewer(viewer.link, false);
  if (viewer.reading_held) {
    viewer.reading_held = false;
    actions_->push_back(ResumeReading{viewer.link});
  }
  // What was pipelined behind it is read when all that this happening brought is done, so that a
  // playback is never taken apart while it is being served.
  if (viewer.reader.buffered_bytes() > 0 || viewer.reader.error() || viewer.half_closed || stopping_)
    reread_.insert(viewer.link);
}

void Manager::drop_viewer(ConnectionId link, bool reset) {
  const auto found = viewers_.find(link);
  if (found == viewers_.end())
    return;
  const auto viewer = std::move(found->second);
  viewers_.erase(found);
  bells_.cancel(viewer->stuck);
  actions_->push_back(Close{link, !reset});
  viewer_gone(*viewer);
  if (stopping_ && viewers_.empty())
    actions_->push_back(StopLoop{});
}

// The viewer's connection is no more; what it waited for is withdrawn, what it was sent is let go.
void Manager::viewer_gone(ViewerLink& viewer) {
  if (viewer.box) {
    if (const auto found = boxes_.find(viewer.box); found != boxes_.end()) {
      auto& link = *found->second;
      if (link.use == Use::set_up)
        link.viewer = 0;  // others may wait for this try
      else
        hang_box(viewer.box);
    }
  }
  PlaybackId id = 0;
  if (viewer.playback) {
    id = *viewer.playback;
  } else {
    const auto tied = by_link_.find(viewer.link);
    if (tied == by_link_.end())
      return;
    id = tied->second;
  }
  by_link_.erase(viewer.link);
  const auto found = playbacks_.find(id);
  if (found == playbacks_.end())
    return;
  auto& playback = *found->second;
  if (playback.playing) {
    if (viewer.busy && playback.objects_out > 0)
      --playback.objects_out;
    if (!playback.tied_to_link)
      return rest(playback);
    say("playback_over", {{"playback", said_id(id)}, {"cause", std::string("its connection ended")}});
    tell(TryEnded{id, playback.server, Outcome::served, true, {}});
    return forget(id);
  }
  std::erase(playback.askers, viewer.link);
  if (!playback.askers.empty())
    return;
  say("playback_withdrawn", {{"playback", said_id(id)}});
  tell(RequestCancelled{id});
  if (playback.try_link) {
    hang_box(playback.try_link);
    tell(TryEnded{id, playback.server, Outcome::cancelled, true, {}});
  }
  forget(id);
}

void Manager::on(const HalfClosed& what) {
  if (peer_link(what.connection)) {
    actions_->push_back(Close{what.connection, false});
    return peers_->on_closed(now_, what.connection);
  }
  if (what.connection < first_accepted)
    return on(Disconnected{what.connection, CloseReason::finished});
  if (controls_.contains(what.connection))
    return control_gone(what.connection);
  const auto found = viewers_.find(what.connection);
  if (found == viewers_.end())
    return;
  // A peer that closed and one that only writes no more look alike: what it asked is answered still.
  found->second->half_closed = true;
  if (!found->second->busy)
    take_requests(*found->second);
}

void Manager::on(const Flushed& what) {
  const auto found = viewers_.find(what.connection);
  if (found == viewers_.end())
    return;
  auto& viewer = *found->second;
  viewer.unsent = 0;
  bells_.cancel(viewer.stuck);
  const auto box = boxes_.find(viewer.box);
  if (box == boxes_.end() || !box->second->held)
    return;
  box->second->held = false;
  actions_->push_back(ResumeReading{viewer.box});
}

void Manager::send_to_viewer(ViewerLink& viewer, std::string bytes) {
  viewer.unsent += bytes.size();
  actions_->push_back(Send{viewer.link, std::move(bytes)});
  if (viewer.unsent <= terms_.most_unsent)
    return;
  // Backpressure: the box is read no further until its viewer has read.
  const auto found = boxes_.find(viewer.box);
  if (found == boxes_.end() || found->second->held)
    return;
  auto& box = *found->second;
  box.held = box.held_since_measure = true;
  actions_->push_back(PauseReading{box.link});
  viewer.stuck =
      arm(stuck_abandons * terms_.plans[viewer.path.plan].abandon, Ring::viewer_stuck, viewer.link);
}

void Manager::head_to_viewer(ViewerLink& viewer, BoxLink& box, const http::ResponseHead& head) {
  const auto* connection = http::find(head.fields, "Connection");
  http::Fields fields;
  for (const auto& [name, value] : head.fields) {
    if (!ends_here(name, connection ? *connection : ""))
      fields.emplace_back(name, value);
  }
  fields.emplace_back("Via", listed(http::combined_value(head.fields, "Via"), "1.1 " + terms_.name));
  hints::CmsdDynamic own;
  own.server = terms_.name;
  own.response_delay = (now_ - box.asked_at).count() / 1000;
  if (viewer.playback) {
    if (const auto found = playbacks_.find(*viewer.playback); found != playbacks_.end()) {
      const auto& of = *found->second;
      const int rung = of.hls ? of.hls->showing.listed() : of.rung;
      own.max_suggested_bitrate = std::llround(rate_kb(of, rung) * kbit_per_kb);
    }
  }
  fields.emplace_back("CMSD-Dynamic", hints::append_cmsd_entry(box.cmsd, own));
  viewer.chunked = !head.content_length && viewer.request.version >= 11;
  if (!head.content_length && !viewer.chunked)
    viewer.close_after = true;
  viewer.head_sent = true;
  send_to_viewer(viewer, http::serialize_response_head(head.status, fields, head.content_length,
                                                       !viewer.close_after, viewer.chunked));
}

// ---- playbacks ----

// The rung in force or the one asked for, the lower, never under the floor, and one that exists.
int Manager::rung_for(const Playback& playback, int asked) const {
  const int floor = terms_.site.plans[playback.plan].floor;
  const int rung = std::max(floor, std::min(playback.rung, asked));
  const auto* entry = entry_of(playback);
  if (!entry)
    return rung;
  if (const auto lower = entry->rung_within(floor, rung))
    return *lower;
  for (int above = rung + 1; above < static_cast<int>(terms_.site.rung_kb.size()); ++above) {
    if (entry->rung_within(above, above))
      return above;
  }
  return rung;
}

// The true rate where the catalogue tells it, the ladder's elsewhere.
double Manager::rate_kb(const Playback& playback, int rung) const {
  const auto& rates = terms_.site.rung_kb;
  const auto at = std::min(static_cast<std::size_t>(std::max(0, rung)), rates.size() - 1);
  const auto* entry = entry_of(playback);
  const auto known = entry ? entry->kb_per_s(static_cast<int>(at)) : std::nullopt;
  return known ? *known : rates[at] * terms_.site.plans[playback.plan].rate_scale;
}

void Manager::settle(Playback& playback, int status, const std::string& text, const http::Fields& more) {
  say("playback_ended", {{"playback", said_id(playback.id)},
                         {"status", std::int64_t{status}},
                         {"tries", std::int64_t{playback.tries}}});
  const auto askers = std::move(playback.askers);
  playback.askers.clear();
  if (playback.try_link)
    hang_box(playback.try_link);
  forget(playback.id);
  for (const auto link : askers) {
    const auto found = viewers_.find(link);
    if (found == viewers_.end())
      continue;
    found->second->playback.reset();
    found->second->box = 0;
    answer(*found->second, status, text, more);
  }
}

void Manager::forget(PlaybackId id) {
  const auto found = playbacks_.find(id);
  if (found == playbacks_.end())
    return;
  auto& playback = *found->second;
  bells_.cancel(playback.abandon);
  bells_.cancel(playback.silence);
  wait_for_keys_.erase(id);
  const auto seat = playback.seat;
  if (playback.recording) {
    if (auto asking = asking_.find(*playback.recording); asking != asking_.end()) {
      asking->second.erase(id);
      if (asking->second.empty())
        asking_.erase(asking);
    }
  }
  by_key_.erase(playback.key);
  if (--title_uses_[playback.title_id] == 0) {
    title_uses_.erase(playback.title_id);
    free_titles_.push_back(playback.title_id);
    titles_.erase(playback.title);
  }
  hint_evaluator_.handle(now_, hints::PlaybackEnded{id});
  playbacks_.erase(found);
  if (seat) {
    by_seat_.erase(*seat);
    seats_did(entitlement::PlaybackEnded{*seat});
  }
}

// The box of a playing playback failed it: the module hears, and the playback is over. Its viewer's next
// request is a new one.
void Manager::lost(Playback& playback, Outcome outcome) {
  say("playback_lost", {{"playback", said_id(playback.id)}, {"box", list_.box(playback.server).name}});
  part(playback, hls::EndReason::lost);
  tell(TryEnded{playback.id, playback.server, outcome, true, {}});
  forget(playback.id);
}

// Nothing of it is under way: over after a silence that its buffer can't explain.
void Manager::rest(Playback& playback) {
  bells_.cancel(playback.silence);
  if (playback.objects_out > 0)
    return;
  const Duration silence = playback.hls
                               ? playback.hls->showing.idle_timeout()
                               : std::max(terms_.silence, playback.buffered + 2 * terms_.object_length);
  playback.silence = arm(silence, Ring::silence, playback.id);
}

// ---- boxes ----

http::Fields Manager::box_fields(const ViewerLink* viewer, const Playback* playback, bool set_up) const {
  http::Fields fields{{"Host", "box"}, {"Via", "1.1 " + terms_.name}};
  if (playback) {
    hints::Cmcd passed = viewer ? viewer->hints.cmcd : hints::Cmcd{};
    passed.session_id = playback->sid;
    passed.startup = set_up;  // tells the box a set-up from a later object
    for (auto& field : hints::serialize_cmcd_headers(passed))
      fields.push_back(std::move(field));
  }
  if (viewer && !viewer->trace.empty())
    fields.emplace_back("traceparent", viewer->trace);
  if (viewer) {
    const bool list =
        viewer->wants == ViewerLink::Wants::lists || viewer->wants == ViewerLink::Wants::media_list;
    const auto* range = http::find(viewer->request.fields, "Range");
    if (list)
      fields.emplace_back("Accept-Encoding", "gzip");
    else if (range)
      fields.emplace_back("Range", *range);
  }
  return fields;
}

// A kept connection, or a new one; none where the box has all that it may have.
Manager::BoxLink* Manager::box_link(ServerId server, Use use, bool anew) {
  if (server >= list_.size())
    return nullptr;
  if (idle_.size() <= server)
    idle_.resize(server + 1), links_of_.resize(server + 1, 0);
  auto& idle = idle_[server];
  if (!anew && !idle.empty()) {
    auto& kept = *boxes_.at(idle.back());
    idle.pop_back();
    kept.use = use;
    kept.kept = true;
    return &kept;
  }
  if (links_of_[server] >= terms_.links_per_box)
    return nullptr;
  const auto& box = list_.box(server);
  auto fresh = std::make_unique<BoxLink>();
  auto& link = *fresh;
  link.link = next_link_;
  next_link_ = next_link_ + 1 < peer_links ? next_link_ + 1 : 1;
  link.server = server;
  link.use = use;
  ++links_of_[server];
  boxes_.emplace(link.link, std::move(fresh));
  actions_->push_back(Dial{link.link, box.address, box.port});
  link.connect = arm(terms_.connect_limit, Ring::box_limit, link.link);
  return &link;
}

void Manager::send_request(BoxLink& link, std::string text) {
  link.asked_at = now_;
  link.head_seen = false;
  link.body.clear();
  link.bytes = link.measured_bytes = 0;
  link.held_since_measure = false;
  if (link.connected)
    actions_->push_back(Send{link.link, std::move(text)});
  else
    link.waiting = std::move(text);
}

void Manager::on(const Connected& what) {
  const auto found = boxes_.find(what.connection);
  if (found == boxes_.end())
    return;
  auto& link = *found->second;
  link.connected = true;
  bells_.cancel(link.connect);
  actions_->push_back(Send{link.link, std::move(link.waiting)});
  link.waiting.clear();
}

void Manager::start_try(const SetUp& command) {
  const auto found = playbacks_.find(command.playback);
  // Guards against a set-up for a playback whose viewers are all gone: nothing is sent, and the module hears.
  if (found == playbacks_.end() || found->second->askers.empty())
    return tell(TryEnded{command.playback, command.server, Outcome::not_sent, true, {}});
  auto& playback = *found->second;
  ++playback.tries;
  playback.server = command.server;
  playback.last_late = false;
  auto& viewer = *viewers_.at(playback.askers.front());
  // A kept connection may die with the request in it, and then nobody knows whether it ran: a plan that
  // is paid at set-up gets a connection of its own, whose failure to open proves that nothing ran.
  const bool anew = terms_.site.plans[playback.plan].pay_at_setup;
  auto* link = box_link(command.server, Use::set_up, anew);
  if (!link)
    return tell(TryEnded{playback.id, command.server, Outcome::not_sent, false, {}});
  link->playback = playback.id;
  link->viewer = viewer.link;
  const auto target = box_target(viewer, playback, *link);
  link->limit = arm(command.time_limit, Ring::try_limit, link->link);
  playback.try_link = link->link;
  viewer.box = link->link;
  say("try_sent", {{"playback", said_id(playback.id)},
                   {"box", list_.box(command.server).name},
                   {"rung", std::int64_t{link->rung}},
                   {"try", std::int64_t{playback.tries}}});
  link->reader.expect(false);
  send_request(*link, http::serialize_request_head("GET", target, box_fields(&viewer, &playback, true)));
}

void Manager::start_probe(ServerId server) {
  auto* link = box_link(server, Use::probe, false);
  if (!link)
    return tell(ProbeEnded{server, false, {}});
  link->limit = arm(terms_.probe_limit, Ring::box_limit, link->link);
  link->reader.expect(true);
  send_request(*link, http::serialize_request_head("HEAD", "/", box_fields(nullptr, nullptr, false)));
}

// A later object of a playback that plays.
void Manager::fetch(ViewerLink& viewer, Playback& playback) {
  bells_.cancel(playback.silence);
  if (const auto& buffer = viewer.hints.cmcd.buffer_length)
    playback.buffered = std::chrono::milliseconds(std::min<std::int64_t>(*buffer, 60'000));
  ++playback.objects_out;
  auto* link = box_link(playback.server, Use::object, viewer.retried);
  if (!link) {
    --playback.objects_out;
    rest(playback);
    if (out_and_paid(playback))
      return answer(viewer, 502, "the box has all the connections it may have\n");
    return answer(viewer, 503, "the box has all the connections it may have\n", come_back_soon());
  }
  viewer.box = link->link;
  link->playback = playback.id;
  link->viewer = viewer.link;
  const auto target = box_target(viewer, playback, *link);
  // A box that is silent for as long as a set-up should take leaves time to ask another. One that was asked
  // to wait for a segment to come waits for that too.
  Duration limit = terms_.site.plans[playback.plan].startup_target;
  if (viewer.blocks && playback.hls)
    limit += 3 * playback.hls->target;
  link->limit = arm(limit, Ring::box_limit, link->link);
  link->reader.expect(false);
  send_request(*link, http::serialize_request_head("GET", target, box_fields(&viewer, &playback, false)));
}

void Manager::from_box(BoxLink& link, http::ResponseParser::Part part) {
  const ConnectionId id = link.link;
  if (part.error && !part.head && !part.done) {
    say("box_malformed", {{"box", link.use == Use::list   ? std::string("list")
                                  : link.use == Use::feed ? std::string("feed")
                                  : link.use == Use::keys ? std::string("issuer")
                                                          : list_.box(link.server).name},
                          {"cause", part.error->cause}});
    if (link.use == Use::idle)
      return hang_box(id);
    return box_failed(link, link.head_seen ? Outcome::reset : Outcome::error);
  }
  if (link.use == Use::idle)
    return hang_box(id);
  // Bytes behind a response that nobody asked for make the connection worth nothing.
  if (part.error)
    link.keep_alive = false;
  if (part.head) {
    link.head_seen = true;
    link.head_at = link.measured_at = now_;
    link.status = part.head->status;
    link.keep_alive = link.keep_alive && part.head->keep_alive;
  }
  switch (link.use) {
    case Use::list:
      link.body += part.body;
      if (link.body.size() > most_list)
        return list_answered(link, false);
      if (part.head) {
        const auto* etag = http::find(part.head->fields, "ETag");
        if (etag && link.status == 200)
          list_etag_ = *etag;
      }
      if (part.done)
        list_answered(link, true);
      return;
    case Use::feed:
      link.body += part.body;
      if (part.done)
        feed_answered(link, true);
      return;
    case Use::keys:
      link.body += part.body;
      if (link.body.size() > most_list)
        return keys_answered(link, false);
      if (part.done)
        keys_answered(link, true);
      return;
    case Use::probe:
      if (part.head) {
        const auto said = hints::parse_cmsd("", http::combined_value(part.head->fields, "CMSD-Dynamic"));
        LoadReport load;
        if (!said.hops.empty())
          load = hint_evaluator_.handle(now_, hints::CmsdReceived{link.server, said.hops.front(), 0})
                     .report.value_or(LoadReport{});
        tell(ProbeEnded{link.server, link.status < 500, load});
      }
      if (part.done)
        release(link, true);
      return;
    case Use::set_up:
      if (part.head && link.collects && part.head->status == 200) {
        if (const auto playback = playbacks_.find(*link.playback); playback == playbacks_.end())
          return hang_box(id);
        hear_box(link, *part.head, 0);
      }
      if (link.collects && link.status == 200)
        return collect(link, part);
      if (part.head) {
        try_head(link, *part.head);
        const auto still = boxes_.find(id);
        if (still == boxes_.end() || still->second->use != Use::object) {
          if (still != boxes_.end() && part.done)
            release(link, true);
          return;
        }
      }
      return object_part(link, part);
    case Use::object:
      if (part.head) {
        const auto viewer = viewers_.find(link.viewer);
        hear_box(link, *part.head, 0);
        // The box is well and knows nothing of the playback: it was restarted or has let it go.
        if (part.head->status == 421)
          return box_failed(link, Outcome::error);
        // Nor does a box have what the catalogue has taken from it since the playback began.
        if (part.head->status == 404 || part.head->status == 410) {
          const auto playback = playbacks_.find(*link.playback);
          const auto* entry = playback == playbacks_.end() ? nullptr : entry_of(*playback->second);
          if (entry && !std::binary_search(entry->holders->begin(), entry->holders->end(), link.server))
            return box_failed(link, Outcome::error);
        }
        link.collects = link.collects && part.head->status == 200;
        if (viewer != viewers_.end() && !link.collects)
          head_to_viewer(*viewer->second, link, *part.head);
      }
      if (link.collects)
        return collect(link, part);
      return object_part(link, part);
    case Use::idle:
      return;
  }
}

// What a box's answer to a set-up try means.
void Manager::try_head(BoxLink& link, const http::ResponseHead& head) {
  bells_.cancel(link.limit);
  const auto found = playbacks_.find(*link.playback);
  if (found == playbacks_.end())
    return hang_box(link.link);
  hear_box(link, head, rate_kb(*found->second, link.rung));
  if (head.status == 200 || head.status == 206)
    return try_ran(link, &head);
  // 503 is the box's word that it took nothing on (RFC 9110, 15.6.4); the rest may have run.
  try_failed(link, head.status == 503 ? Outcome::full : Outcome::error,
             {{"status", std::int64_t{head.status}}});
}

// `head`: of the object that goes on to its viewer; none where the answer was a playlist.
void Manager::try_ran(BoxLink& link, const http::ResponseHead* head) {
  auto& playback = *playbacks_.at(*link.playback);
  playback.try_link = 0;
  link.use = Use::object;
  playback.playing = true;
  bells_.cancel(playback.abandon);
  if (playback.recording) {
    if (auto asking = asking_.find(*playback.recording); asking != asking_.end())
      asking->second.erase(playback.id);
  }
  bells_.cancel(link.limit);
  link.limit = arm(terms_.plans[playback.plan].abandon, Ring::box_limit, link.link);
  say("playback_plays", {{"playback", said_id(playback.id)},
                         {"box", list_.box(link.server).name},
                         {"rung", std::int64_t{link.rung}},
                         {"tries", std::int64_t{playback.tries}},
                         {"waited_ms", (now_ - playback.asked_at).count() / 1000}});
  tell(PlaybackStarted{playback.id, link.server, now_ - link.asked_at});
  ++playback.objects_out;
  const auto askers = std::move(playback.askers);
  playback.askers.clear();
  const auto first = viewers_.find(link.viewer);
  if (first != viewers_.end()) {
    if (playback.tied_to_link)
      by_link_[link.viewer] = playback.id;
    first->second->waits = false;
    if (head)
      head_to_viewer(*first->second, link, *head);
  } else {
    link.viewer = 0;
  }
  for (const auto asker : askers) {
    const auto other = viewers_.find(asker);
    if (other == viewers_.end() || asker == link.viewer)
      continue;
    other->second->waits = false;
    if (other->second->wants == ViewerLink::Wants::object || steer(*other->second, playback))
      fetch(*other->second, playback);
  }
}

void Manager::try_failed(BoxLink& link, Outcome outcome, std::vector<LogField> more) {
  auto& playback = *playbacks_.at(*link.playback);
  playback.try_link = 0;
  std::vector<LogField> fields{{"playback", said_id(playback.id)}, {"box", list_.box(link.server).name}};
  fields.insert(fields.end(), more.begin(), more.end());
  say("try_ended", std::move(fields));
  if (const auto viewer = viewers_.find(link.viewer); viewer != viewers_.end())
    viewer->second->box = 0;
  link.playback.reset();
  link.viewer = 0;
  link.collects = false;
  link.use = Use::probe;  // the rest of its answer is read and let go
  link.head_seen = true;
  bells_.cancel(link.limit);
  link.limit = arm(terms_.probe_limit, Ring::box_limit, link.link);
  tell(TryEnded{playback.id, link.server, outcome, false, {}});
}

void Manager::hear_box(BoxLink& link, const http::ResponseHead& head, double rate) {
  link.cmsd = http::combined_value(head.fields, "CMSD-Dynamic");
  const auto said = hints::parse_cmsd(http::combined_value(head.fields, "CMSD-Static"), link.cmsd);
  if (!said.dynamic_valid)
    link.cmsd.clear();
  if (!said.errors.empty())
    say("box_hints_left_out", {{"box", list_.box(link.server).name}, {"cause", said.errors.front()}});
  double length = seconds(terms_.object_length);
  if (said.static_data && said.static_data->object_duration && *said.static_data->object_duration > 0)
    length = static_cast<double>(*said.static_data->object_duration) / 1000;
  const auto playback = playbacks_.find(link.playback.value_or(~PlaybackId{0}));
  double rung_rate = playback == playbacks_.end() ? rate : rate_kb(*playback->second, link.rung);
  if (link.collects || link.off_ladder)
    rung_rate = 0;
  link.object_rate = link.collects         ? 0
                     : head.content_length ? static_cast<double>(*head.content_length) / length
                                           : rung_rate * 1000;
  if (!said.hops.empty())
    heed(hint_evaluator_.handle(now_, hints::CmsdReceived{link.server, said.hops.front(), rung_rate}),
         link.server);
}

void Manager::object_part(BoxLink& link, http::ResponseParser::Part& part) {
  const ConnectionId id = link.link;
  link.bytes += part.body.size();
  const auto found = viewers_.find(link.viewer);
  if (found != viewers_.end()) {
    auto& viewer = *found->second;
    if (!part.body.empty())
      send_to_viewer(viewer, viewer.chunked ? http::serialize_chunk(part.body) : std::move(part.body));
    if (part.done && viewer.chunked)
      send_to_viewer(viewer, std::string(http::last_chunk));
  }
  if (!part.done) {
    if (part.body.empty())
      return;
    bells_.cancel(link.limit);
    const auto playback = playbacks_.find(*link.playback);
    const int plan = playback == playbacks_.end() ? 0 : playback->second->plan;
    link.limit = arm(terms_.plans[plan].abandon, Ring::box_limit, id);
    if (now_ - link.measured_at >= measure_every)
      measure(link, false);
    return;
  }
  measure(link, true);
  if (const auto playback = playbacks_.find(*link.playback); playback != playbacks_.end()) {
    if (playback->second->objects_out > 0)
      --playback->second->objects_out;
    rest(*playback->second);
  }
  const ConnectionId viewer = link.viewer;
  release(link, true);
  if (const auto still = viewers_.find(viewer); still != viewers_.end())
    done_with(*still->second);
}

// Tells the weighing how the box kept up since the last measure.
void Manager::measure(BoxLink& link, bool whole) {
  const Duration took = now_ - link.measured_at;
  const auto bytes = static_cast<double>(link.bytes - link.measured_bytes);
  if (link.object_rate <= 0 || (whole && bytes == 0) || link.status >= 300)
    return;
  const double share =
      took < least_measured ? 1.0 : std::min(1.0, bytes / (link.object_rate * seconds(took)));
  heed(hint_evaluator_.handle(
           now_, hints::ObjectDelivered{*link.playback, link.server, share, link.held_since_measure}),
       link.server);
  link.measured_at = now_;
  link.measured_bytes = link.bytes;
  link.held_since_measure = link.held;
}

void Manager::on(const Disconnected& what) {
  if (peer_link(what.connection))
    return peers_->on_closed(now_, what.connection);
  if (what.connection >= first_accepted) {
    if (controls_.contains(what.connection))
      return control_gone(what.connection);
    const auto found = viewers_.find(what.connection);
    if (found == viewers_.end())
      return;
    const auto viewer = std::move(found->second);
    viewers_.erase(found);
    bells_.cancel(viewer->stuck);
    viewer_gone(*viewer);
    if (stopping_ && viewers_.empty())
      actions_->push_back(StopLoop{});
    return;
  }
  const auto found = boxes_.find(what.connection);
  if (found == boxes_.end())
    return;
  auto& link = *found->second;
  if (link.use == Use::idle)
    return hang_box(what.connection);
  if (what.reason == CloseReason::finished && link.connected) {
    auto rest = link.reader.close();  // a body without a length ends so
    if (!rest.error && (rest.done || rest.head)) {
      link.keep_alive = false;
      return from_box(link, std::move(rest));
    }
  }
  const auto unmade = what.reason == CloseReason::local_failure ? Outcome::not_sent : Outcome::no_connection;
  box_failed(link, link.connected ? Outcome::reset : unmade);
}

void Manager::box_time_up(BoxLink& link) {
  // Guards against taking this front's own standing still for the box's: what came meanwhile is read first.
  if (now_ < still_until_) {
    link.limit = bells_.schedule(still_until_, {Ring::box_limit, link.link});
    return;
  }
  if (!link.connected)
    return box_failed(link, Outcome::no_connection);
  // Guards against blaming a box for what its viewer does not read.
  if (link.use == Use::object && link.held) {
    link.limit = arm(terms_.connect_limit, Ring::box_limit, link.link);
    return;
  }
  box_failed(link, Outcome::late);
}

// A link that failed while it was in use; what that means depends on what it was used for.
void Manager::box_failed(BoxLink& link, Outcome outcome) {
  const auto use = link.use;
  const auto server = link.server;
  const bool head_seen = link.head_seen, kept = link.kept;
  const auto id = link.playback;
  const auto viewer_link = link.viewer;
  if (use == Use::list)
    return list_answered(link, false);
  if (use == Use::feed)
    return feed_answered(link, false);
  if (use == Use::keys)
    return keys_answered(link, false);
  hang_box(link.link);
  if (use == Use::probe) {
    if (!head_seen)
      tell(ProbeEnded{server, false, {}, outcome != Outcome::not_sent});
    return;
  }
  const auto found = playbacks_.find(id.value_or(~PlaybackId{0}));
  const auto viewer = viewers_.find(viewer_link);
  if (viewer != viewers_.end())
    viewer->second->box = 0;
  if (use == Use::set_up) {
    if (found == playbacks_.end())
      return;
    found->second->try_link = 0;
    found->second->last_late = outcome == Outcome::late;
    say("try_ended", {{"playback", said_id(*id)},
                      {"box", list_.box(server).name},
                      {"outcome", std::int64_t{static_cast<int>(outcome)}}});
    return tell(TryEnded{*id, server, outcome, false, {}});
  }
  if (found != playbacks_.end() && found->second->objects_out > 0)
    --found->second->objects_out;
  // A kept connection that the box closed meanwhile proves nothing against it: once more on a new one.
  if (kept && !head_seen && outcome == Outcome::reset && viewer != viewers_.end() &&
      found != playbacks_.end() && !viewer->second->retried) {
    viewer->second->retried = true;
    return fetch(*viewer->second, *found->second);
  }
  bool pay_at_setup = false;
  if (found != playbacks_.end()) {
    pay_at_setup = terms_.site.plans[found->second->plan].pay_at_setup;
    if (viewer != viewers_.end() && viewer->second->token.empty())
      viewer->second->token = found->second->token;
    lost(*found->second, outcome);
  }
  if (viewer == viewers_.end())
    return;
  auto& waiting = *viewer->second;
  waiting.playback.reset();
  if (waiting.head_sent)
    return drop_viewer(viewer_link, true);  // a body cut short must look cut short
  // The object was not begun: its viewer asks anew here, as it would after a break. A plan paid at set-up
  // is not set up again on the front's own account.
  if (pay_at_setup)
    return answer(waiting, 502, "the box of this playback is lost\n");
  if (now_ - waiting.asked_at >= part_of(terms_.plans[waiting.path.plan].abandon, answer_part))
    return answer(waiting, 504, "the box of this playback is lost, and the time is up\n");
  serve_media(waiting);
}

// The link is whole and free: kept for the next request, or closed.
void Manager::release(BoxLink& link, bool reusable) {
  bells_.cancel(link.limit);
  link.playback.reset();
  link.viewer = 0;
  link.collects = false;
  const bool wanted = reusable && link.keep_alive && !stopping_ &&
                      list_.box(link.server).state != ServerState::gone &&
                      idle_[link.server].size() < terms_.idle_links_per_box;
  if (!wanted)
    return hang_box(link.link);
  link.use = Use::idle;
  if (link.held) {
    link.held = false;
    actions_->push_back(ResumeReading{link.link});
  }
  idle_[link.server].push_back(link.link);
}

void Manager::hang_box(ConnectionId id) {
  const auto found = boxes_.find(id);
  if (found == boxes_.end())
    return;
  auto& link = *found->second;
  bells_.cancel(link.limit);
  bells_.cancel(link.connect);
  if (link.use != Use::list && link.use != Use::feed && link.use != Use::keys) {
    --links_of_[link.server];
    std::erase(idle_[link.server], id);
  }
  actions_->push_back(Close{id, false});
  boxes_.erase(found);
}

// ---- the list ----

void Manager::poll_list() {
  arm(spread(terms_.list_every), Ring::list, 0);
  if (list_out_ || terms_.list_port == 0)
    return;
  list_out_ = true;
  service_link(Use::list, terms_.list_address, terms_.list_port, "/boxes", list_etag_, 2 * terms_.list_every);
}

// One request of a service that is no box, on a connection of its own.
Manager::BoxLink& Manager::service_link(Use use, const std::string& address, std::uint16_t port,
                                        const std::string& target, const std::string& etag, Duration limit) {
  auto fresh = std::make_unique<BoxLink>();
  auto& link = *fresh;
  link.link = next_link_;
  next_link_ = next_link_ + 1 < peer_links ? next_link_ + 1 : 1;
  link.use = use;
  boxes_.emplace(link.link, std::move(fresh));
  actions_->push_back(Dial{link.link, address, port});
  link.limit = arm(limit, Ring::box_limit, link.link);
  link.reader.expect(false);
  http::Fields fields{{"Host", address}, {"Via", "1.1 " + terms_.name}, {"Connection", "close"}};
  if (!etag.empty())
    fields.emplace_back("If-None-Match", etag);
  send_request(link, http::serialize_request_head("GET", target, fields));
  return link;
}

void Manager::list_answered(BoxLink& link, bool whole) {
  list_out_ = false;
  const auto body = std::move(link.body);
  const int status = link.head_seen ? link.status : 0;
  hang_box(link.link);
  if (whole && status == 304)
    return;
  if (!whole || status != 200) {
    list_etag_.clear();
    say("list_failed", {{"status", std::int64_t{status}}});
    return tell(ServerListFailed{});
  }
  auto news = list_.apply(now_, body);
  // Only a list that is taken whole is one to begin with after a restart.
  if (news.list && news.not_applied_cause.empty())
    actions_->push_back(WriteFile{"boxes.json", body});
  if (!news.not_applied_cause.empty())
    list_etag_.clear();  // the next answer must come whole to be weighed again
  take_list(std::move(news), "service");
}

void Manager::take_list(boxlist::ListUpdate news, const char* source) {
  if (news.error) {
    list_etag_.clear();
    say("list_malformed",
        {{"source", std::string(source)}, {"place", news.error->place}, {"cause", news.error->cause}});
    return tell(ServerListFailed{});
  }
  if (!news.not_applied_cause.empty())
    say("list_passed_over", {{"source", std::string(source)}, {"cause", news.not_applied_cause}});
  if (idle_.size() < list_.size())
    idle_.resize(list_.size()), links_of_.resize(list_.size(), 0);
  // Connections to a process that is no more, or is elsewhere now, lead nowhere.
  for (const auto server : news.replaced) {
    const auto idle = idle_[server];
    for (const auto link : idle)
      hang_box(link);
  }
  if (!news.list)
    return;
  say("list_taken", {{"source", std::string(source)},
                     {"revision", list_.revision()},
                     {"boxes", static_cast<std::int64_t>(news.list->entries.size())}});
  tell(*news.list);
  // Guards against a try decided before word of a drain that is sent past the grace, when its connection
  // opens: what is not written to a socket yet is taken back.
  std::vector<PlaybackId> unsent;
  for (const auto& [id, link] : boxes_) {
    if (link->use != Use::set_up || link->connected || !link->playback)
      continue;
    const bool moved =
        std::find(news.replaced.begin(), news.replaced.end(), link->server) != news.replaced.end();
    if (moved || list_.box(link->server).state != ServerState::ready)
      unsent.push_back(*link->playback);
  }
  std::sort(unsent.begin(), unsent.end());
  for (const auto id : unsent)
    take_back(*playbacks_.at(id));
}

// ---- the module ----

void Manager::tell(const Event& event) { events_.push_back(event); }

void Manager::heed(hints::Evaluation weighed, ServerId server) {
  if (weighed.last_mile_limited)
    say("viewer_line_short", {{"playback", said_id(*weighed.last_mile_limited)}});
  for (const auto& note : weighed.measurements)
    tell(note);
  if (!weighed.report)
    return;
  const auto& report = *weighed.report;
  if (report.link_fill)
    tell(Measurement{~PlaybackId{0}, server, Measurement::Kind::link_fill, *report.link_fill});
  if (report.uplink_fill)
    tell(Measurement{~PlaybackId{0}, server, Measurement::Kind::uplink_fill, *report.uplink_fill});
}

// Everything waits in line, so that no order is carried out in the middle of another matter.
void Manager::carry_out() {
  for (;;) {
    while (!events_.empty()) {
      const auto event = std::move(events_.front());
      events_.pop_front();
      for (const auto& command : decider_->decide(now_, event))
        carry_out(command);
    }
    if (reread_.empty())
      return;
    const auto link = *reread_.begin();
    reread_.erase(reread_.begin());
    if (const auto found = viewers_.find(link); found != viewers_.end())
      take_requests(*found->second);
  }
}

void Manager::carry_out(const Command& command) {
  std::visit(Overloaded{
                 [this](const SetUp& o) { start_try(o); },
                 [this](const SetRung& o) {
                   const auto found = playbacks_.find(o.playback);
                   if (found == playbacks_.end())
                     return;
                   auto& playback = *found->second;
                   if (playback.playing)
                     say("rung_set", {{"playback", said_id(o.playback)},
                                      {"from", std::int64_t{playback.rung}},
                                      {"to", std::int64_t{o.rung}}});
                   playback.rung = o.rung;
                   if (playback.hls)
                     playback.hls->showing.handle(now_, hls::RungDecided{o.rung});
                 },
                 [this](const Reject& o) {
                   const auto found = playbacks_.find(o.playback);
                   if (found == playbacks_.end())
                     return;
                   http::Fields more;
                   // Those turned away together are not told to come back together.
                   const auto whole = (spread(o.retry_after).count() + 999'999) / 1'000'000;
                   if (whole > 0)
                     more.emplace_back("Retry-After", std::to_string(whole));
                   part(*found->second, hls::EndReason::rejected, o.retry_after);
                   if (found->second->recording)
                     demand_.record_turned_away(now_, *found->second->recording);
                   settle(*found->second, 503, "rejected: no box has room\n", more);
                 },
                 [this](const Abort& o) {
                   const auto found = playbacks_.find(o.playback);
                   if (found == playbacks_.end())
                     return;
                   const int status = found->second->last_late ? 504 : 502;
                   settle(*found->second, status, "aborted: the set-up failed\n", {});
                 },
                 [this](const Probe& o) { start_probe(o.server); },
                 [this](const SetTimer& o) { arm(o.delay, Ring::module, o.token); },
                 [this](const SubscribeServerList&) {},  // the list is followed in any case
             },
             command);
}

// ---- stopping ----

// Guards against an end of the process that leaves anybody without an answer.
void Manager::answer_all() {
  std::vector<PlaybackId> waiting;
  for (const auto& [id, playback] : playbacks_) {
    if (!playback->playing && !playback->askers.empty())
      waiting.push_back(id);
  }
  std::sort(waiting.begin(), waiting.end());
  for (const auto id : waiting) {
    auto& playback = *playbacks_.at(id);
    if (playback.try_link)
      settle(playback, 504, "this front stops, and the set-up took too long\n", {});
    else
      settle(playback, 503, "this front stops\n", come_back_soon());
  }
}

// Everybody is answered: what waits for a set-up by the module, what plays gets its object to the end.
void Manager::on(const ShutdownRequested&) {
  if (stopping_)
    return;
  stopping_ = true;
  say("stopping", {{"playbacks", static_cast<std::int64_t>(playbacks_.size())}});
  actions_->push_back(StopListening{0});
  arm(terms_.stop_limit, Ring::stop, 0);
  std::vector<ConnectionId> idle;
  for (auto& [link, viewer] : viewers_) {
    if (!viewer->busy)
      idle.push_back(link);
    else
      viewer->close_after = true;
  }
  std::sort(idle.begin(), idle.end());
  for (const auto link : idle)
    drop_viewer(link, false);
  if (viewers_.empty())
    actions_->push_back(StopLoop{});
}

}  // namespace violettide::manager
