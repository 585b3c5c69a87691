#include "platform/platform.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "platform_settings/platform_settings.h"

namespace violettide::platform {

namespace {

using namespace std::chrono_literals;

constexpr Duration sweep_every{100ms};
constexpr Duration first_word_limit{2s};   // for a viewer's connection to bring a whole message
constexpr Duration reading_time{20ms};     // from a viewer's connection being chosen to end to its end
constexpr Duration stood_still{60ms};      // a wait so long says that this process stood still meanwhile
constexpr Duration at_rest{250ms};         // a viewer who comes has written by then, and read its answer
constexpr Duration idle_viewer_limit{6s};  // for one that carries nothing; viewers close theirs after 4 s
constexpr Duration sign_wanted_after{2s};  // a server where playbacks play is dialled after such silence
constexpr Duration sign_limit{5500ms};     // and given up after so much, if no dial came up since
constexpr Duration between_signs{500ms};
constexpr Duration retired_stays{1s};       // for what the server says on the old connection meanwhile
constexpr Duration turned_off_every{1s};    // said so often at most, against floods in the log
constexpr Duration stop_at_most{3s};        // what a longer abandon time counts as
constexpr Duration stop_quiet{800ms};       // requests still come for so long after the word
constexpr Duration stop_answers_in{400ms};  // beyond the longest abandon time all have their answers
constexpr Duration stop_reads_in{200ms};    // and viewers have so long to read them; killed 0.1 s later
constexpr std::size_t most_unsent = 256 * 1024;
constexpr std::size_t description_most = 8 * 1024;
constexpr std::size_t name_most = 256;
constexpr std::size_t most_unsaid = 4096;
constexpr std::size_t most_released = 4096;
constexpr Duration handed_over_in{10s};  // from a server's release of what is not known yet
constexpr int refused_is_gone = 2;
constexpr int most_leave_turns = 4;
constexpr double most_left = 2;              // of a plan's abandon time
constexpr double idle_part = 0.8;            // of a server's idle timeout: no set-up near its end
constexpr std::size_t own_descriptors = 24;  // the channel, the door, the log, the loop's own

constexpr unsigned ring_shift = 56;

std::int64_t ms_of(Duration span) { return span.count() / 1000; }

bool plain_name(const std::string& text) {
  if (text.empty() || text.size() > name_most)
    return false;
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

std::optional<int> whole_figure(const std::string& text, int least, int most) {
  const auto value = parse_non_negative(text);
  if (!value || *value != std::floor(*value) || *value < least || *value > most)
    return std::nullopt;
  return static_cast<int>(*value);
}

Outcome outcome_before_answer(int why) {
  if (why == cause::full)
    return Outcome::full;
  if (why == cause::error)
    return Outcome::error;
  if (why == cause::not_attempted)
    return Outcome::not_sent;
  return Outcome::reset;
}

Outcome outcome_after_answer(int why) {
  if (why == cause::ended)
    return Outcome::served;
  if (why == cause::cancelled)
    return Outcome::cancelled;
  return Outcome::reset;
}

template <typename List>
int place_in(const List& list, const std::string& name) {
  const auto found = std::find(list.begin(), list.end(), name);
  return found == list.end() ? 0 : static_cast<int>(found - list.begin());
}

}  // namespace

Platform::Platform(StartTerms terms, std::unique_ptr<Decider> decider)
    : terms_(std::move(terms)), decider_(std::move(decider)), channel_(~terms_.seed) {
  if (!decider_)
    decider_ = make_policy_decider(terms_.site, terms_.seed);
  next_test_ = terms_.seed * 0x9E3779B97F4A7C15u;  // far from the viewers' ids, as those are drawn as well
}
Platform::~Platform() = default;

Held Platform::held() const {
  return {viewers_.size(), links_.size(), playbacks_.size(), titles_.size(), wheel_.pending()};
}

void Platform::handle(Duration now, const IoEvent& what, std::vector<Action>& actions) {
  // Guards against blaming others for this process's own standstill: what came meanwhile is read before any
  // timer rings.
  if (begun_ && now - now_ > sweep_every + stood_still)
    still_ = true;
  if (std::holds_alternative<InputDrained>(what))
    still_ = false;
  now_ = now;
  actions_ = &actions;
  if (!std::exchange(begun_, true)) {
    channel_.set_endpoint(terms_.channel);
    take_lists(channel_.take_configured_events(terms_.known), true);
    terms_.known.clear();
    arm(sweep_every, Ring::sweep);
    say("begun", {{"name", terms_.name}, {"servers", static_cast<std::int64_t>(servers_.size())}});
  }
  std::vector<std::uint64_t> rung;
  still_ ? settle() : wheel_.advance(now, rung);
  for (const auto bell : rung)
    ring({static_cast<Ring>(bell >> ring_shift), bell & ((std::uint64_t{1} << ring_shift) - 1)});
  std::visit([this](const auto& happened) { on(happened); }, what);
  tend_channel();
  if (const auto next = wheel_.next(); next && *next != woken_for_) {
    woken_for_ = *next;
    actions.push_back(StartTimer{*next});
  }
}

TimerWheel<std::uint64_t>::Handle Platform::arm(Duration in, Ring ring, std::uint64_t of) {
  return wheel_.schedule(now_ + in, static_cast<std::uint64_t>(ring) << ring_shift | of);
}

void Platform::ring(const Bell& bell) {
  switch (bell.ring) {
    case Ring::module:
      return feed(TimerExpired{static_cast<std::uint32_t>(bell.of)});
    case Ring::try_limit: {
      const auto id = static_cast<PlaybackId>(bell.of);
      auto* playback = find(id);
      if (!playback || playback->state != Playback::State::trying)
        return;
      // A connection that gave no sign since the try was sent may be to a machine that is no more.
      if (const auto link = links_.find(playback->link); playback->sent && link != links_.end()) {
        if (link->second.heard_at <= playback->tried_at && !link->second.retired_at)
          retire(playback->link);
      }
      const auto link = links_.find(playback->link);
      const bool dialling = link != links_.end() && !link->second.up;
      const auto unsent = dialling ? Outcome::no_connection : Outcome::not_sent;
      return end_try(id, playback->sent ? Outcome::late : unsent, {}, false);
    }
    case Ring::dial: {
      const auto link = links_.find(static_cast<ConnectionId>(bell.of));
      if (link == links_.end() || link->second.up)
        return;
      drop_server_link(link->first, Outcome::no_connection);
      actions_->push_back(Close{static_cast<ConnectionId>(bell.of), false});
      return;
    }
    case Ring::probe:
      for (auto& [number, link] : links_) {
        const auto test = std::find_if(link.tests.begin(), link.tests.end(), [&](const auto one) {
          return (one & ((std::uint64_t{1} << ring_shift) - 1)) == bell.of;
        });
        if (test == link.tests.end())
          continue;
        const auto server = link.server;
        link.tests.erase(test);
        return feed(ProbeEnded{server, false, {}});
      }
      return;
    case Ring::sweep:
      arm(sweep_every, Ring::sweep);
      return sweep();
    case Ring::part:
      return part();
    case Ring::channel:
      return;  // tended with every happening
    case Ring::stop:
      leaving_ = Leaving::at_once;
      return settle();
  }
}

void Platform::on(const TimerFired&) { woken_for_ = Duration(-1); }

// Guards against connections that say nothing, or nothing whole, or stay for good: they would hold every
// descriptor. And against servers that went without a sign while playbacks play there.
void Platform::sweep() {
  for (auto& [link, viewer] : viewers_) {
    const bool carries = !viewer.open.empty() || viewer.standing > 0;
    if ((!viewer.spoke && now_ - viewer.since > first_word_limit) ||
        (viewer.reader.has_partial_message() && now_ - viewer.heard_at > first_word_limit) ||
        (!carries && now_ - viewer.heard_at > idle_viewer_limit))
      choose_to_part(link, viewer);
  }
  std::vector<ConnectionId> over;
  for (auto& [number, link] : links_) {
    if (link.retired_at && link.tries.empty() && now_ - *link.retired_at > retired_stays)
      over.push_back(number);
  }
  for (const auto link : over)
    end_server_link(link);
  while (!released_.empty() && now_ - released_.front().at > handed_over_in)
    released_.pop_front();
  // Guards against a server's idle timeout crossing a set-up on its way, which may then have run for all that
  // is known; and against connections that nobody needs, which are scarce at servers.
  if (terms_.idle_limit > Duration(0)) {
    for (auto& [number, link] : links_) {
      const bool busy = !link.up || link.retired_at || !link.tries.empty() || !link.tests.empty();
      if (!busy && now_ - link.used_at >= idle_part * terms_.idle_limit)
        retire(number);
    }
  }
  for (ServerId id = 0; id < servers_.size(); ++id) {
    if (!servers_[id].playing.empty() || !servers_[id].unsaid.empty())
      care_for(id);
  }
  if (!stop_asked_ || now_ - *stop_asked_ < stop_quiet)
    return;
  if (!playbacks_.empty() || leaving_ != Leaving::no)
    return;
  leaving_ = Leaving::when_empty;
  accepted_ = false;
  settle();
}

void Platform::on(const ShutdownRequested&) {
  if (stop_asked_)
    return;
  stop_asked_ = now_;
  Duration longest{0};
  for (const auto abandon : terms_.abandon)
    longest = std::max(longest, abandon);
  arm(std::min(longest, stop_at_most) + stop_answers_in, Ring::stop);
  say("stopping", {{"playbacks", static_cast<std::int64_t>(playbacks_.size())}});
}

// Guards against requests that came while this process stood still being left unread: it goes when all that
// came is read and answered, and gives its viewers time to read.
void Platform::leave() {
  if (leaving_ == Leaving::when_empty && !playbacks_.empty()) {
    leaving_ = Leaving::no;
    return;
  }
  // What has just been accepted is read a turn later; not without end, as newcomers may be.
  if (std::exchange(accepted_, false) && ++leave_turns_ < most_leave_turns)
    return settle();
  std::vector<PlaybackId> open;
  for (const auto& [link, viewer] : viewers_)
    open.insert(open.end(), viewer.open.begin(), viewer.open.end());
  std::sort(open.begin(), open.end());
  for (const auto id : open) {
    const auto* playback = find(id);
    if (!playback)
      continue;
    to_viewer(playback->viewer, end_line(playback->call, cause::reset));
    withdraw(id);
  }
  std::vector<ConnectionId> all;
  for (const auto& [link, viewer] : viewers_)
    all.push_back(link);
  std::sort(all.begin(), all.end());
  for (const auto link : all) {
    viewer_gone(link);
    actions_->push_back(Close{link, true});
  }
  actions_->push_back(StopLoop{stop_reads_in});
}

// Guards against a try for a viewer who has gone, or to a server said to drain, in what is not read yet:
// nothing is sent before all that has come is.
void Platform::settle() {
  if (!std::exchange(settle_asked_, true))
    actions_->push_back(DrainInput{});
}

void Platform::on(const InputDrained&) {
  settle_asked_ = false;
  if (leaving_ == Leaving::at_once)
    return leave();
  const auto due = std::exchange(settling_, {});
  for (const auto id : due) {
    auto* playback = find(id);
    if (!playback || playback->state != Playback::State::trying || playback->sent)
      continue;
    const auto link = links_.find(playback->link);
    if (link != links_.end() && link->second.up)
      send_try(*playback);
  }
  if (leaving_ != Leaving::no)
    leave();
}

void Platform::on(const ConfigReloaded& what) {
  auto read = read_start(what.text);
  if (const auto* fault = std::get_if<StartFault>(&read))
    return say("reread_passed_over", {{"cause", fault->cause}});
  const auto& terms = std::get<StartTerms>(read);
  take_lists(channel_.take_configured_events(terms.known), false);
  channel_.set_endpoint(terms.channel);
  say("reread", {{"channel", terms.channel->address}, {"last", channel_.last_event()}});
}

// ---- connections ----

void Platform::on(const Accepted& what) {
  if (viewers_.size() >= most_viewers() / 4 * 5) {
    actions_->push_back(Close{what.connection, false});
    return;
  }
  accepted_ = true;
  auto& viewer = viewers_[what.connection];
  viewer.since = viewer.heard_at = now_;
  if (viewers_.size() > most_viewers())
    make_place();
}

// Usual viewers take a third at most; the rest of the descriptors are the servers' and the channel's.
std::size_t Platform::most_viewers() const { return terms_.sockets / 2; }

// What viewers, even in a flood, and this process itself leave.
std::size_t Platform::most_server_links() const {
  const auto others = most_viewers() / 4 * 5 + own_descriptors;
  return terms_.sockets > others + 1 ? terms_.sockets - others : 1;
}

// Guards against floods of connections shutting the usual viewers out: the silent ones go first, then
// those that carry nothing, the longest unheard of each; none that has just come or just been answered.
void Platform::make_place() {
  std::vector<std::tuple<bool, Duration, ConnectionId>> idle;
  const auto surplus =
      viewers_.size() - most_viewers() - std::min(parting_.size(), viewers_.size() - most_viewers());
  for (const auto& [link, viewer] : viewers_) {
    if (viewer.parts_at || !viewer.open.empty() || viewer.standing > 0)
      continue;
    if (now_ - viewer.heard_at >= at_rest)
      idle.emplace_back(viewer.spoke, viewer.heard_at, link);
  }
  std::sort(idle.begin(), idle.end());
  for (std::size_t i = 0; i < std::min(surplus, idle.size()); ++i) {
    const auto link = std::get<ConnectionId>(idle[i]);
    choose_to_part(link, viewers_.at(link));
  }
}

// Guards against ending a connection with a request on it that is not read yet: after what has come by
// then is read, it ends only if that was nothing whole.
void Platform::choose_to_part(ConnectionId link, ViewerLink& viewer) {
  if (viewer.parts_at)
    return;
  viewer.parts_at = now_;
  if (parting_.empty())
    arm(reading_time, Ring::part);
  parting_.push_back(link);
}

void Platform::part() {
  std::vector<ConnectionId> kept;
  for (const auto link : parting_) {
    const auto found = viewers_.find(link);
    if (found == viewers_.end() || !found->second.parts_at)
      continue;
    const auto waited = now_ - *found->second.parts_at;
    if (waited < reading_time || waited > stood_still) {  // what came meanwhile may be unread still
      if (waited > stood_still)
        found->second.parts_at = now_;
      kept.push_back(link);
      continue;
    }
    const bool spoke = found->second.spoke;
    viewer_gone(link);
    actions_->push_back(Close{link, spoke});  // in order, as its answer may be unread
  }
  parting_ = std::move(kept);
  if (!parting_.empty())
    arm(reading_time, Ring::part);
}

void Platform::on(const Connected& what) {
  if (what.connection == channel_link_) {
    actions_->push_back(Send{what.connection, channel_.connected(now_)});
    return;
  }
  const auto found = links_.find(what.connection);
  if (found == links_.end())
    return;
  auto& link = found->second;
  auto& server = servers_[link.server];
  link.up = true;
  link.heard_at = link.used_at = now_;
  answered_sign(link);
  if (server.dialled == what.connection)
    server.dialled = 0;
  if (server.link && server.link != what.connection) {
    if (const auto old = links_.find(server.link); old != links_.end())
      old->second.retired_at = now_;
  }
  server.link = what.connection;
  for (auto& bytes : server.unsaid)
    to_server(what.connection, std::move(bytes));
  server.unsaid.clear();
  for (const auto id : server.playing) {
    auto& playback = playbacks_.at(id);
    if (std::exchange(playback.rung_unsaid, false))
      to_server(what.connection, rung_bytes(playback.call, playback.rung));
  }
  for (const auto test : link.tests)
    to_server(what.connection, test_bytes(test));
  for (const auto id : link.tries)
    send_when_settled(id);
}

void Platform::on(const Received& what) {
  if (what.connection == channel_link_) {
    const auto updates = channel_.received(now_, what.bytes);
    return take_lists(updates, false);
  }
  if (const auto found = viewers_.find(what.connection); found != viewers_.end()) {
    found->second.heard_at = now_;
    std::vector<std::variant<ParseError, ViewerMessage>> messages;
    found->second.reader.feed(what.bytes, messages);
    for (auto& message : messages) {
      const auto still = viewers_.find(what.connection);
      if (still == viewers_.end())
        return;
      if (const auto* unreadable = std::get_if<ParseError>(&message)) {
        turn_off(what.connection, unreadable->call, unreadable->message);
        continue;
      }
      still->second.spoke = true;
      still->second.parts_at.reset();
      viewer_says(what.connection, still->second, std::get<ViewerMessage>(message));
    }
    return;
  }
  const auto found = links_.find(what.connection);
  if (found == links_.end())
    return;
  found->second.heard_at = found->second.used_at = now_;
  answered_sign(found->second);
  std::vector<ServerMessage> messages;
  const auto unreadable = found->second.reader.feed(what.bytes, messages);
  for (auto& message : messages) {
    if (!links_.contains(what.connection))
      return;
    server_says(what.connection, message);
  }
  if (!unreadable || !links_.contains(what.connection))
    return;
  say("unreadable", {{"server", servers_[links_.at(what.connection).server].name}, {"cause", *unreadable}});
  drop_server_link(what.connection, Outcome::reset);
  actions_->push_back(Close{what.connection, false});
}

void Platform::on(const HalfClosed& what) {
  actions_->push_back(Close{what.connection, true});
  on(Disconnected{what.connection, CloseReason::finished});
}

void Platform::on(const Disconnected& what) {
  if (what.connection == channel_link_) {
    channel_link_ = 0;
    return channel_.disconnected(now_);
  }
  if (viewers_.contains(what.connection))
    return viewer_gone(what.connection);
  const auto found = links_.find(what.connection);
  if (found == links_.end())
    return;
  const auto id = found->second.server;
  const bool refused = what.reason == CloseReason::refused && !found->second.up;
  auto& server = servers_[id];
  if (what.reason == CloseReason::local_failure) {
    not_asked(id);
    return drop_server_link(what.connection, Outcome::not_sent, Outcome::not_sent);
  }
  drop_server_link(what.connection, Outcome::reset);
  if (refused) {
    if (server.refused++ == 0)
      server.first_refused = now_;
  }
  if (!server.playing.empty())
    care_for(id);
}

void Platform::on(const Flushed& what) {
  if (const auto found = viewers_.find(what.connection); found != viewers_.end())
    found->second.unsent = 0;
}

// ---- viewers ----

void Platform::to_viewer(ConnectionId link, std::string line) {
  const auto found = viewers_.find(link);
  if (found == viewers_.end())
    return;
  found->second.unsent += line.size();
  // Guards against a reader that reads nothing.
  if (found->second.unsent > most_unsent) {
    viewer_gone(link);
    actions_->push_back(Close{link, false});
    return;
  }
  actions_->push_back(Send{link, std::move(line)});
}

void Platform::viewer_says(ConnectionId link, ViewerLink& viewer, ViewerMessage& message) {
  for (auto& line : std::exchange(untold_, {}))
    actions_->push_back(Send{link, std::move(line)});
  switch (message.kind) {
    case ViewerMessage::Kind::offer:
      return take_offer(link, viewer, message);
    case ViewerMessage::Kind::end:
      return take_end(link, message.call);
    case ViewerMessage::Kind::test:
      return to_viewer(link, tested_line(message.call, ready()));
    case ViewerMessage::Kind::ended:
      return;
    case ViewerMessage::Kind::other:
      return turn_off(link, message.call, "op: expected offer, end, ended or test");
  }
}

// What can't be served is answered, if it has an id, and its connection ended, unless others are served on
// it: those are owed their answers.
void Platform::turn_off(ConnectionId link, std::optional<CallId> call, const std::string& cause) {
  ++turned_off_;
  if (turned_off_said_ < Duration(0) || now_ - turned_off_said_ >= turned_off_every) {
    say("turned_off", {{"cause", cause}, {"since_the_last", static_cast<std::int64_t>(turned_off_)}});
    turned_off_ = 0;
    turned_off_said_ = now_;
  }
  if (call)
    to_viewer(link, end_line(*call, platform::cause::invalid_message));
  const auto viewer = viewers_.find(link);
  if (viewer == viewers_.end())
    return;
  if (call && (!viewer->second.open.empty() || viewer->second.standing > 0))
    return;
  viewer_gone(link);
  actions_->push_back(Close{link, true});
}

std::optional<std::string> Platform::read_offer(const ViewerMessage& message, Request& request,
                                                std::string& at) const {
  const auto field = [&](const char* name) {
    const auto found = message.fields.find(name);
    return found == message.fields.end() ? std::string() : found->second;
  };
  const auto plan = std::find(terms_.plans.begin(), terms_.plans.end(), field("class"));
  if (plan == terms_.plans.end())
    return "with.class: no such plan";
  request.plan = static_cast<int>(plan - terms_.plans.begin());
  if (!plain_name(field("key")))
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
    const auto part = text.substr(from, end - from);
    const auto colon = part.find(':');
    if (colon == std::string::npos)
      return "with.extras: expected name:value";
    extras[part.substr(0, colon)] = part.substr(colon + 1);
    from = end + 1;
  }
  const auto home = whole_figure(extras["home"], 0, std::max(0, terms_.site.cells - 1));
  const auto copies = whole_figure(extras["copies"], 1, std::max(1, terms_.site.cells));
  const auto top = whole_figure(extras["top"], 0, static_cast<int>(terms_.site.rung_kb.size()) - 1);
  if (!home || !copies || !top)
    return "with.extras: expected home, copies and top within their bounds";
  request.first_cell = *home;
  request.cell_count = *copies;
  request.top = *top;
  at = extras["at"];
  if (!at.empty() && !plain_name(at))
    return "with.extras.at: expected a video server";
  // What plays already waits for nothing, whatever is left of its time. Others may say somewhat more than
  // their plan's time, as a busy viewer's line leaves late.
  const auto left = parse_non_negative(field("left"));
  const auto plan_ms = static_cast<double>(terms_.abandon[request.plan].count()) / 1000;
  const auto most_ms = at.empty() ? most_left * plan_ms : 1e12;
  if (!left || *left <= 0 || *left > most_ms)
    return "with.left: expected milliseconds";
  request.abandon_at = now_ + Duration(static_cast<std::int64_t>(*left * 1000));
  if (!message.description || message.description->empty() || message.description->size() > description_most)
    return "desc: expected a description";
  return std::nullopt;
}

void Platform::take_offer(ConnectionId link, ViewerLink& viewer, ViewerMessage& message) {
  Request request;
  std::string at;
  const auto known = calls_.find(message.call);
  if (const auto fault = read_offer(message, request, at))
    return turn_off(link, message.call, *fault);
  if (known != calls_.end()) {
    auto& playback = playbacks_.at(known->second);
    // Guards against whoever sends another's id being told of its end in its viewer's place.
    const bool same = playback.title == message.fields.at("key") && playback.plan == request.plan &&
                      servers_[playback.server].name == at;
    if (!at.empty() && playback.state == Playback::State::playing && same) {
      // told again what stands: from now on by this connection
      if (playback.viewer == link)
        return;
      if (const auto old = viewers_.find(playback.viewer); old != viewers_.end())
        --old->second.standing;
      playback.viewer = link;
      ++viewer.standing;
      return;
    }
    // Guards against two requests under one number: whoever sends them gets one answer, and no playback.
    if (playback.viewer == link && playback.state != Playback::State::playing) {
      const auto id = known->second;
      withdraw(id);
    }
    return turn_off(link, message.call, "call: in use");
  }
  // Guards against a playback handed over just after its server released it, which is said no second time.
  if (!at.empty()) {
    const auto over = std::find_if(released_.begin(), released_.end(), [&](const Released& one) {
      return one.call == message.call && servers_[one.server].name == at;
    });
    if (over != released_.end())
      return to_viewer(link, end_line(message.call, over->why));
  }
  const auto id = admit(message.call, link, request, message.fields.at("key"));
  request.playback = id;
  request.title = title(message.fields.at("key"));
  auto& playback = playbacks_.at(id);
  if (at.empty()) {
    playback.description = std::move(*message.description);
    viewer.open.insert(id);
    return feed(request);
  }
  const auto server = server_named(at);
  playback.state = Playback::State::playing;
  playback.server = server;
  playback.rung = terms_.site.plans[request.plan].floor;
  if (servers_[server].playing.empty())
    servers_[server].heard_at = now_;
  servers_[server].playing.insert(id);
  ++viewer.standing;
  last_viewer_ = link;
  feed(PlaybackAdopted{request, server});
  care_for(server);
}

void Platform::take_end(ConnectionId link, CallId call) {
  const auto known = calls_.find(call);
  to_viewer(link, ended_line(call));
  if (known == calls_.end())
    return;
  const auto id = known->second;
  if (playbacks_.at(id).state != Playback::State::playing)
    return withdraw(id);
  say_to(playbacks_.at(id).server, release_bytes(call, cause::ended));
  stop_playing(id, Outcome::cancelled, {}, std::nullopt);
}

// The viewer waits no more: no answer is owed, and a try that is out is given up.
void Platform::withdraw(PlaybackId id) {
  auto* playback = find(id);
  if (!playback)
    return;
  feed(RequestCancelled{id});
  playback = find(id);
  if (!playback)
    return;
  if (playback->state == Playback::State::trying)
    return end_try(id, Outcome::cancelled, {}, true);
  forget(id);
}

void Platform::viewer_gone(ConnectionId link) {
  const auto found = viewers_.find(link);
  if (found == viewers_.end())
    return;
  const auto open = std::move(found->second.open);
  const bool had = found->second.standing > 0;
  viewers_.erase(found);
  if (last_viewer_ == link)
    last_viewer_ = 0;
  for (const auto id : open)
    withdraw(id);
  if (!had)
    return;
  for (auto& [id, playback] : playbacks_) {
    if (playback.viewer == link)
      playback.viewer = 0;  // plays on: no connection owns it
  }
}

// ---- servers ----

ServerId Platform::server_named(const std::string& name) {
  const auto [found, fresh] = server_names_.try_emplace(name, static_cast<ServerId>(servers_.size()));
  if (fresh) {
    servers_.emplace_back();
    servers_.back().name = name;
  }
  return found->second;
}

ConnectionId Platform::dial(ServerId id, bool for_try) {
  auto& server = servers_[id];
  if (server.dialled)
    return server.dialled;
  if (server.place.port == 0 || !make_place_for_dial(for_try))
    return 0;
  const auto link = next_link_++;
  auto& made = links_[link];
  made.server = id;
  made.heard_at = made.used_at = now_;
  server.dialled = link;
  actions_->push_back(Dial{link, server.place.address, server.place.port});
  arm(terms_.dial_limit, Ring::dial, link);
  return link;
}

ConnectionId Platform::link_for(ServerId id) {
  const auto found = links_.find(servers_[id].link);
  if (found != links_.end() && found->second.tries.size() < terms_.tries_per_link)
    return found->first;
  return dial(id, true);
}

// Guards against servers' connections taking the descriptors of the channel and of viewers: beyond their
// part the one unused for longest goes, one to a server where something plays only for a try.
bool Platform::make_place_for_dial(bool for_try) {
  if (links_.size() < most_server_links())
    return true;
  ConnectionId longest = 0;
  std::tuple<bool, Duration, ConnectionId> least;
  for (const auto& [number, link] : links_) {
    if (!link.up || !link.tries.empty() || !link.tests.empty())
      continue;
    const auto& server = servers_[link.server];
    const bool wanted = !server.playing.empty() || !server.unsaid.empty();
    const std::tuple rank(wanted, link.used_at, number);
    if ((wanted && !for_try) || (longest != 0 && rank >= least))
      continue;
    longest = number;
    least = rank;
  }
  if (longest == 0)
    return false;
  end_server_link(longest);
  return true;
}

// Guards against this machine's want of descriptors or ports being held against a server.
void Platform::not_asked(ServerId id) {
  auto& server = servers_[id];
  server.heard_at = std::max(server.heard_at, now_ - sign_wanted_after);
  server.next_dial = std::max(server.next_dial, now_ + between_signs);
}

void Platform::to_server(ConnectionId link, std::string bytes) {
  if (const auto found = links_.find(link); found != links_.end())
    found->second.used_at = now_;
  actions_->push_back(Send{link, std::move(bytes)});
}

void Platform::say_to(ServerId id, std::string bytes) {
  auto& server = servers_[id];
  if (server.link)
    return to_server(server.link, std::move(bytes));
  if (server.unsaid.size() < most_unsaid)
    server.unsaid.push_back(std::move(bytes));
  care_for(id);
}

void Platform::answered_sign(ServerLink& link) {
  auto& server = servers_[link.server];
  server.heard_at = now_;
  server.refused = 0;
}

// A server where playbacks play is wanted on an open connection, on which it says how they end; after a
// while without a sign a new one is asked for, as those to a machine that vanished stay open.
void Platform::care_for(ServerId id) {
  auto& server = servers_[id];
  const bool silent = now_ - server.heard_at > sign_wanted_after;
  if (server.link && !silent)
    return;
  const bool lost = now_ - server.heard_at > sign_limit;
  // A process that drains may refuse new connections while its playbacks play on; one that dies resets its
  // own.
  const bool refused = server.refused >= refused_is_gone &&
                       now_ - server.first_refused >= between_signs / 2 && !connected_to(id);
  const bool replaced = server.state == ServerState::gone && server.place.port != 0 && !connected_to(id);
  if (lost || refused || replaced)
    return cut_all(id, lost ? "no sign" : refused ? "refused" : "gone");
  if (server.dialled || now_ < server.next_dial)
    return;
  server.next_dial = now_ + between_signs;
  if (dial(id, false) == 0 && server.place.port != 0)
    not_asked(id);
}

// One that takes no more set-ups still brings what its server says.
bool Platform::connected_to(ServerId id) const {
  return std::any_of(links_.begin(), links_.end(),
                     [&](const auto& link) { return link.second.server == id && link.second.up; });
}

// From now on for what the server says alone; ended when that has had its time.
void Platform::retire(ConnectionId number) {
  auto& link = links_.at(number);
  link.retired_at = now_;
  auto& server = servers_[link.server];
  if (server.link == number)
    server.link = 0;
}

void Platform::end_server_link(ConnectionId number) {
  drop_server_link(number, Outcome::reset);
  actions_->push_back(Close{number, true});
}

void Platform::cut_all(ServerId id, const char* cause) {
  auto& server = servers_[id];
  say("cut", {{"server", server.name},
              {"cause", cause},
              {"playbacks", static_cast<std::int64_t>(server.playing.size())},
              {"connected", static_cast<std::int64_t>(server.link != 0)},
              {"silent_ms", ms_of(now_ - server.heard_at)}});
  server.unsaid.clear();
  server.refused = 0;
  const auto playing = server.playing;
  for (const auto id : playing)
    stop_playing(id, Outcome::reset, {}, cause::reset);
}

void Platform::drop_server_link(ConnectionId number, Outcome of_sent, Outcome of_unsent) {
  const auto found = links_.find(number);
  if (found == links_.end())
    return;
  auto link = std::move(found->second);
  links_.erase(found);
  auto& server = servers_[link.server];
  if (server.link == number)
    server.link = 0;
  if (server.dialled == number)
    server.dialled = 0;
  for (const auto id : link.tries) {
    auto* playback = find(id);
    if (!playback || playback->state != Playback::State::trying || playback->link != number)
      continue;
    playback->link = 0;  // given up with its connection
    end_try(id, playback->sent ? of_sent : of_unsent, {}, false);
  }
  const bool left = link.up || of_unsent != Outcome::not_sent;
  for (std::size_t i = 0; i < link.tests.size(); ++i)
    feed(ProbeEnded{link.server, false, {}, left});
}

void Platform::server_says(ConnectionId number, ServerMessage& message) {
  auto& link = links_.at(number);
  const auto id = link.server;
  if (message.kind == ServerMessage::Kind::tested) {
    const auto test = link.tests.find(message.call);
    if (test == link.tests.end())
      return;
    link.tests.erase(test);
    return feed(ProbeEnded{id, message.cause.value_or(0) == 1,
                           message.load ? read_load_report(*message.load) : LoadReport{}});
  }
  if (message.kind == ServerMessage::Kind::release)
    return release_heard(number, message);
  const auto known = calls_.find(message.call);
  // Guards against what a server started after its try was given up playing there for nobody.
  const bool for_nobody = known == calls_.end() || playbacks_.at(known->second).server != id ||
                          playbacks_.at(known->second).state == Playback::State::waiting;
  if (for_nobody && message.kind == ServerMessage::Kind::accept)
    return to_server(number, release_bytes(message.call, cause::ended));
  if (for_nobody)
    return;
  auto& playback = playbacks_.at(known->second);
  if (message.kind == ServerMessage::Kind::note) {
    Measurement note;
    note.playback = known->second;
    note.server = id;
    if (message.note == "kept_up")
      note.kind = Measurement::Kind::share;
    else if (message.note == "tier")
      note.kind = Measurement::Kind::rung;
    else if (message.note == "wire")
      note.kind = Measurement::Kind::link_fill;
    else if (message.note == "trunk")
      note.kind = Measurement::Kind::uplink_fill;
    else
      return;
    if (!message.value)
      return;
    note.value = *message.value;
    return feed(note);
  }
  if (message.kind != ServerMessage::Kind::accept)
    return;
  if (playback.state != Playback::State::trying || playback.link != number || !playback.sent)
    return;
  link.tries.erase(known->second);
  playback.state = Playback::State::playing;
  playback.link = 0;
  wheel_.cancel(playback.limit);
  servers_[id].playing.insert(known->second);
  std::string().swap(playback.description);
  if (const auto viewer = viewers_.find(playback.viewer); viewer != viewers_.end()) {
    viewer->second.open.erase(known->second);
    ++viewer->second.standing;
    last_viewer_ = playback.viewer;
    to_viewer(playback.viewer, accept_line(message.call, *message.description));
  }
  feed(PlaybackStarted{known->second, id, now_ - playback.tried_at});
}

void Platform::release_heard(ConnectionId number, ServerMessage& message) {
  const auto id = links_.at(number).server;
  to_server(number, released_bytes(message.call));
  const auto known = calls_.find(message.call);
  if (known == calls_.end()) {
    released_.push_back({message.call, id, *message.cause, now_});
    if (released_.size() > most_released)
      released_.pop_front();
    return;
  }
  auto& playback = playbacks_.at(known->second);
  if (playback.server != id)
    return;
  const auto load = message.load ? read_load_report(*message.load) : LoadReport{};
  const int why = *message.cause;
  if (playback.state == Playback::State::trying && playback.link == number && playback.sent) {
    links_.at(number).tries.erase(known->second);
    playback.link = 0;
    return end_try(known->second, outcome_before_answer(why), load, false);
  }
  if (playback.state != Playback::State::playing)
    return;
  const auto outcome = outcome_after_answer(why);
  stop_playing(known->second, outcome, load,
               outcome == Outcome::cancelled ? std::nullopt : std::optional<int>(why));
}

// ---- playbacks ----

Platform::Playback* Platform::find(PlaybackId id) {
  const auto found = playbacks_.find(id);
  return found == playbacks_.end() ? nullptr : &found->second;
}

PlaybackId Platform::admit(CallId call, ConnectionId viewer, const Request& request, std::string title) {
  const auto id = next_playback_++;
  auto& playback = playbacks_[id];
  playback.call = call;
  playback.viewer = viewer;
  playback.plan = request.plan;
  playback.title = std::move(title);
  calls_[call] = id;
  return id;
}

TitleId Platform::title(const std::string& name) {
  auto [found, fresh] = titles_.try_emplace(name);
  if (fresh && !free_titles_.empty()) {
    found->second.id = free_titles_.back();
    free_titles_.pop_back();
  } else if (fresh) {
    found->second.id = next_title_++;
  }
  ++found->second.uses;
  return found->second.id;
}

void Platform::forget(PlaybackId id) {
  const auto found = playbacks_.find(id);
  if (found == playbacks_.end())
    return;
  auto& playback = found->second;
  if (const auto viewer = viewers_.find(playback.viewer); viewer != viewers_.end()) {
    viewer->second.open.erase(id);
    if (playback.state == Playback::State::playing)
      --viewer->second.standing;
  }
  if (playback.state == Playback::State::playing)
    servers_[playback.server].playing.erase(id);
  if (const auto title = titles_.find(playback.title); title != titles_.end() && --title->second.uses == 0) {
    free_titles_.push_back(title->second.id);
    titles_.erase(title);
  }
  calls_.erase(playback.call);
  playbacks_.erase(found);
}

void Platform::start_try(const SetUp& command) {
  auto* playback = find(command.playback);
  // Guards against the module waiting for good for a try of a viewer who left while it was decided.
  if (!playback || playback->state != Playback::State::waiting)
    return feed(TryEnded{command.playback, command.server, Outcome::not_sent, true, {}});
  playback->state = Playback::State::trying;
  playback->server = command.server;
  playback->sent = false;
  playback->tried_at = now_;
  playback->try_until = now_ + command.time_limit;
  playback->link = link_for(command.server);
  if (playback->link == 0 && servers_[command.server].place.port == 0)
    return end_try(command.playback, Outcome::no_connection, {}, false);
  // With no descriptor left it waits as for a dial: ended at once, it would be tried again at once.
  const auto limit = playback->link ? command.time_limit : std::min(command.time_limit, terms_.dial_limit);
  playback->limit = arm(limit, Ring::try_limit, command.playback);
  if (playback->link == 0)
    return;
  auto& link = links_.at(playback->link);
  link.tries.insert(command.playback);
  if (link.up)
    send_when_settled(command.playback);
}

void Platform::send_when_settled(PlaybackId id) {
  settling_.push_back(id);
  settle();
}

void Platform::send_try(Playback& playback) {
  const auto wait = std::max<std::int64_t>(1, ms_of(playback.try_until - now_));
  playback.sent = true;
  to_server(playback.link, setup_bytes({playback.call, terms_.plans[playback.plan], playback.title,
                                        playback.description, wait, playback.rung}));
}

// A try ends before its answer. What may still run is given up by a release on its own connection.
void Platform::end_try(PlaybackId id, Outcome outcome, const LoadReport& load, bool over) {
  auto& playback = playbacks_.at(id);
  wheel_.cancel(playback.limit);
  if (const auto link = links_.find(playback.link); link != links_.end()) {
    link->second.tries.erase(id);
    if (playback.sent)
      to_server(playback.link, release_bytes(playback.call, cause::ended));
  }
  playback.link = 0;
  playback.state = Playback::State::waiting;
  const auto server = playback.server;
  if (over)
    forget(id);
  feed(TryEnded{id, server, outcome, over, load});
}

// Guards against an end that nobody is told, as the connection that brought the playback has ended: any
// open one serves, or the next that says something.
void Platform::tell_end(const Playback& playback, int why) {
  auto to = viewers_.find(playback.viewer);
  if (to == viewers_.end())
    to = viewers_.find(last_viewer_);
  if (to == viewers_.end()) {
    for (auto one = viewers_.begin(); one != viewers_.end(); ++one) {
      const auto rank = [](const auto& it) {
        return std::tuple(it->second.standing > 0, it->second.heard_at, it->first);
      };
      if (one->second.spoke && (to == viewers_.end() || rank(one) > rank(to)))
        to = one;
    }
  }
  auto line = end_line(playback.call, why);
  if (to != viewers_.end())
    return to_viewer(to->first, std::move(line));
  if (untold_.size() < most_unsaid)
    untold_.push_back(std::move(line));
}

// A playback that plays is over; `tell`: the cause that its viewer is told, if one is owed.
void Platform::stop_playing(PlaybackId id, Outcome outcome, const LoadReport& load, std::optional<int> tell) {
  auto& playback = playbacks_.at(id);
  if (tell)
    tell_end(playback, *tell);
  const auto server = playback.server;
  forget(id);
  feed(TryEnded{id, server, outcome, true, load});
}

void Platform::feed(Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(deciding_, true))
    return;
  while (!events_.empty()) {
    const auto next = std::move(events_.front());
    events_.pop_front();
    for (const auto& command : decider_->decide(now_, next))
      carry_out(command);
  }
  deciding_ = false;
}

void Platform::carry_out(const Command& command) {
  const auto final_answer = [&](PlaybackId id, int why, Duration come_back) {
    auto* playback = find(id);
    if (!playback || playback->state != Playback::State::waiting)
      return;
    const auto viewer = playback->viewer;
    const auto call = playback->call;
    forget(id);
    to_viewer(viewer, end_line(call, why, ms_of(come_back)));
  };
  std::visit(Overloaded{
                 [&](const SetUp& o) { start_try(o); },
                 [&](const SetRung& o) {
                   auto* playback = find(o.playback);
                   if (!playback)
                     return;
                   playback->rung = o.rung;
                   if (playback->state != Playback::State::playing)
                     return;
                   const auto link = servers_[playback->server].link;
                   playback->rung_unsaid = link == 0;
                   if (link)
                     to_server(link, rung_bytes(playback->call, o.rung));
                 },
                 [&](const Reject& o) { final_answer(o.playback, cause::rejected, o.retry_after); },
                 [&](const Abort& o) { final_answer(o.playback, cause::reset, Duration(0)); },
                 [&](const Probe& o) {
                   const auto number = link_for(o.server);
                   if (number == 0)
                     return feed(ProbeEnded{o.server, false, {}, servers_[o.server].place.port == 0});
                   const auto test = next_test_++;
                   auto& link = links_.at(number);
                   link.tests.insert(test);
                   arm(terms_.dial_limit, Ring::probe, test & ((std::uint64_t{1} << ring_shift) - 1));
                   if (link.up)
                     to_server(number, test_bytes(test));
                 },
                 [&](const SetTimer& o) { arm(o.delay, Ring::module, o.token); },
                 [&](const SubscribeServerList&) {},  // the channel is followed in any case
             },
             command);
}

// ---- the list ----

void Platform::take_lists(const std::vector<ServerListUpdate>& lists, bool at_start) {
  for (const auto& update : lists) {
    ServerList list;
    list.kind = !update.snapshot ? ServerList::Kind::changes
                : at_start       ? ServerList::Kind::cached
                                 : ServerList::Kind::complete;
    if (update.snapshot) {
      for (auto& server : servers_)
        server.state = ServerState::gone;
    }
    std::vector<ConnectionId> stale;
    for (const auto& told : update.servers) {
      const auto id = server_named(told.name);
      auto& server = servers_[id];
      const bool anew = told.started_ms > server.started_ms && server.started_ms != 0;
      const bool moved = told.endpoint.port != 0 && server.place.port != 0 && told.endpoint != server.place;
      server.state = told.state;
      if (told.endpoint.port != 0)
        server.place = told.endpoint;
      if (told.started_ms != 0)
        server.started_ms = told.started_ms;
      if ((anew || moved) && server.link)
        retire(server.link);  // to a process that is no more
      if ((anew || moved) && server.dialled)
        stale.push_back(server.dialled);
      ServerEntry entry;
      entry.server = id;
      entry.state = told.state;
      entry.kind = place_in(terms_.kinds, told.kind);
      entry.cell = told.cell;
      entry.hall = place_in(terms_.halls, told.hall);
      entry.weight = told.weight;
      if (told.started_ms != 0)
        entry.started = Duration(told.started_ms * 1000) - terms_.wall_at_zero;
      list.entries.push_back(entry);
      if (anew)
        cut_all(id, "started anew");
    }
    feed(list);
    // Guards against a dial under way to the old address coming up as if it were the new process.
    for (const auto link : stale) {
      drop_server_link(link, Outcome::not_sent, Outcome::not_sent);
      actions_->push_back(Close{link, false});
    }
  }
  take_back_unsent();
}

// Guards against a try that waited for its connection, or for what came before it to be read, reaching a
// server that was said meanwhile to drain or be gone, or the process that was there before.
void Platform::take_back_unsent() {
  std::vector<PlaybackId> unsent;
  for (const auto& [number, link] : links_) {
    if (servers_[link.server].state == ServerState::ready && !link.retired_at)
      continue;
    for (const auto id : link.tries) {
      if (!playbacks_.at(id).sent)
        unsent.push_back(id);
    }
  }
  std::sort(unsent.begin(), unsent.end());
  for (const auto id : unsent) {
    const auto* playback = find(id);
    if (playback && playback->state == Playback::State::trying && !playback->sent)
      end_try(id, Outcome::not_sent, {}, false);
  }
}

// Guards against viewers being led to a process that can serve none of them.
bool Platform::ready() const {
  return !stop_asked_ && std::any_of(servers_.begin(), servers_.end(),
                                     [](const auto& server) { return server.state == ServerState::ready; });
}

void Platform::tend_channel() {
  for (int turn = 0; turn < 3; ++turn) {
    const auto step = channel_.poll(now_);
    if (step == Channel::Step::none) {
      wheel_.cancel(channel_look_);
      return void(channel_look_ = arm(channel_.next_poll_at() - now_, Ring::channel));
    }
    if (step == Channel::Step::close) {
      say("channel_given_up", {{"cause", channel_.close_cause()}});
      actions_->push_back(Close{channel_link_, false});
      channel_link_ = 0;
      channel_.disconnected(now_);
      continue;
    }
    channel_link_ = next_link_++;
    actions_->push_back(Dial{channel_link_, channel_.endpoint()->address, channel_.endpoint()->port});
    channel_.dial_started(now_);
  }
}

}  // namespace violettide::platform
