// Plays one scenario file; its notation is told in README.md.
#undef NDEBUG
#include <algorithm>
#include <cassert>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

#include "policy/policy.h"
#include "simulator_adapter/adapter.h"

using namespace violettide;

namespace {

using Words = std::vector<std::string>;

Words words_of(const std::string& line) {
  std::istringstream in(line);
  Words words;
  for (std::string word; in >> word;)
    words.push_back(word);
  return words;
}

// The key=value words of a line.
class Named {
 public:
  explicit Named(const Words& words) {
    for (const auto& word : words) {
      const auto cut = word.find('=');
      values_[word.substr(0, cut)] = cut == std::string::npos ? "1" : word.substr(cut + 1);
    }
  }
  bool has(const std::string& key) const { return values_.count(key) > 0; }
  double number(const std::string& key, double otherwise = 0) const {
    return has(key) ? std::stod(values_.at(key)) : otherwise;
  }
  std::string text(const std::string& key) const { return values_.at(key); }
  int whole(const std::string& key, int otherwise = 0) const {
    return static_cast<int>(number(key, otherwise));
  }
  Duration ms(const std::string& key, double otherwise = 0) const {
    return Duration(static_cast<std::int64_t>(number(key, otherwise) * 1000));
  }
  std::vector<double> list(const std::string& key, std::vector<double> otherwise) const {
    if (!has(key))
      return otherwise;
    std::vector<double> values;
    std::istringstream in(values_.at(key));
    for (std::string part; std::getline(in, part, ',');)
      values.push_back(std::stod(part));
    return values;
  }
  std::optional<double> maybe(const std::string& key) const {
    return has(key) ? std::optional(number(key)) : std::nullopt;
  }

 private:
  std::map<std::string, std::string> values_;
};

PolicySettings site(const Named& named) {
  PolicySettings terms;
  terms.rung_kb = named.list("rungs", {100, 200, 400});
  terms.rung_revenue = named.list("revenue", {0.4, 0.7, 1});
  terms.streams_by_kind = named.list("streams", {30});
  terms.link_kb_per_weight = named.number("link", 2000);
  terms.uplink_kb = named.number("uplink");
  terms.racks = named.whole("racks", 1);
  terms.cells = named.whole("cells", 4);
  terms.switch_cost = named.ms("switch", 500);
  terms.measurement_delay = named.ms("lag", 1000);
  terms.front_count = named.whole("fronts", 1);
  terms.front_index = named.whole("number");
  terms.warmup_time = named.ms("cold");
  terms.warmup_initial_share = named.number("cold_from", 1);
  terms.overload_multiple = named.number("multiple", 1);
  terms.retry_budget_window = named.ms("budget_window");
  terms.retry_budget_base = named.number("free");
  terms.retry_budget_share = named.number("share");
  terms.max_tries = named.whole("tries", 5);
  terms.max_retry_after = named.ms("come_back");
  terms.probes_enabled = named.has("probe_price");
  terms.probe_cost = named.number("probe_price");
  terms.list_needs_subscription = named.has("ask");
  terms.cross_hall_cost = named.number("crossing");
  return terms;
}

PlanSettings plan(const Named& named) {
  PlanSettings plan;
  plan.startup_target = named.ms("target", 1000);
  plan.pay_at_setup = named.has("paid");
  plan.revenue = named.number("revenue", 1);
  plan.floor = named.whole("floor");
  plan.top = named.whole("top", 2);
  plan.seats = named.whole("seats");
  return plan;
}

std::string text_of(const Command& command) {
  std::ostringstream out;
  if (const auto* o = std::get_if<SetUp>(&command))
    out << "setup " << o->playback << " on " << o->server << " within " << o->time_limit.count() / 1000;
  if (const auto* o = std::get_if<SetRung>(&command))
    out << "rung " << o->playback << " " << o->rung;
  if (const auto* o = std::get_if<Reject>(&command)) {
    out << "reject " << o->playback << (o->retry_after.count() > 0 ? " come back" : "");
  }
  if (const auto* o = std::get_if<Abort>(&command))
    out << "abort " << o->playback;
  if (const auto* o = std::get_if<Probe>(&command))
    out << "probe " << o->server;
  if (std::get_if<SubscribeServerList>(&command))
    out << "follow";
  return out.str();
}

const std::map<std::string, Outcome> outcomes = {
    {"served", Outcome::served},       {"error", Outcome::error},           {"full", Outcome::full},
    {"late", Outcome::late},           {"refused", Outcome::no_connection}, {"reset", Outcome::reset},
    {"cancelled", Outcome::cancelled}, {"unsent", Outcome::not_sent}};

class Player {
 public:
  void play(const Words& words) {
    const auto& what = words.front();
    const Named named(words);
    if (what == "site")
      terms_ = site(named);
    else if (what == "plan")
      terms_.plans.push_back(plan(named));
    else if (what == "expect")
      assert(count(rest(words, 1)) > 0);
    else if (what == "never")
      assert(count(rest(words, 1)) == 0);
    else if (what == "count")
      assert(count(rest(words, 2)) == std::stoi(words.at(1)));
    else if (what == "stall")
      now_ += Duration(std::stoll(words.at(1)) * 1000);
    else if (what == "pass")
      pass(Duration(std::stoll(words.at(1)) * 1000));
    else
      happen(event(words, named));
    if (what != "expect")
      tell();
  }

 private:
  static std::string rest(const Words& words, std::size_t from) {
    std::string text;
    for (std::size_t i = from; i < words.size(); ++i)
      text += (i > from ? " " : "") + words[i];
    return text;
  }

  int count(const std::string& start) const {
    return static_cast<int>(std::count_if(said_.begin(), said_.end(), [&](const std::string& said) {
      return (said + " ").starts_with(start + " ");
    }));
  }

  void tell() const {
    for (const auto& said : said_)
      std::cerr << "    said: " << said << "\n";
  }

  void happen(const Event& event) {
    said_.clear();
    hand(event);
  }

  void hand(const Event& event) {
    if (!policy_)
      policy_.emplace(terms_, 1);
    for (const auto& command : policy_->handle(now_, event)) {
      if (const auto* timer = std::get_if<SetTimer>(&command))
        timers_.emplace(now_ + timer->delay, timer->token);
      else
        said_.push_back(text_of(command));
    }
  }

  void pass(Duration time) {
    said_.clear();
    const Duration until = now_ + time;
    while (!timers_.empty() && timers_.begin()->first <= until) {
      const auto [at, token] = *timers_.begin();
      timers_.erase(timers_.begin());
      now_ = std::max(now_, at);
      hand(TimerExpired{token});
    }
    now_ = until;
  }

  // listed=1+4, or listed=none
  static HolderList listed(const Named& named) {
    std::vector<ServerId> ids;
    std::istringstream text(named.text("listed"));
    for (std::string id; std::getline(text, id, '+');) {
      if (id != "none")
        ids.push_back(static_cast<ServerId>(std::stoul(id)));
    }
    return std::make_shared<const std::vector<ServerId>>(std::move(ids));
  }

  Request request(const Words& words, const Named& named) const {
    Request request;
    request.playback = static_cast<PlaybackId>(std::stoul(words.at(1)));
    request.plan = named.whole("plan");
    request.title = static_cast<TitleId>(named.whole("title"));
    request.abandon_at = now_ + named.ms("wait", 4000);
    if (named.has("length"))
      request.length = named.ms("length");
    request.first_cell = named.whole("first");
    request.cell_count = named.whole("holders", 1);
    request.top = named.whole("top", 2);
    if (named.has("listed"))
      request.listed_holders = listed(named);
    return request;
  }

  Event event(const Words& words, const Named& named) const {
    const auto& what = words.front();
    const auto first = [&] { return static_cast<std::uint32_t>(std::stoul(words.at(1))); };
    const auto on = static_cast<ServerId>(named.whole("on"));
    const LoadReport load{named.maybe("fill"), named.maybe("uplink"), named.maybe("streams")};
    if (what == "servers" || what == "changes" || what == "cached")
      return list(words);
    if (what == "list_failed")
      return ServerListFailed{};
    if (what == "request")
      return request(words, named);
    if (what == "holders")
      return HoldersChanged{static_cast<PlaybackId>(std::stoul(words.at(1))), listed(named)};
    if (what == "carried")
      return PlaybackAdopted{request(words, named), on};
    if (what == "withdrawn")
      return RequestCancelled{first()};
    if (what == "started")
      return PlaybackStarted{first(), on, Duration(0)};
    if (what == "ended")
      return TryEnded{first(), on, outcomes.at(words.at(2)), named.has("over"), load};
    if (what == "probed")
      return ProbeEnded{first(), !named.has("silent"), load};
    assert(what == "note");
    const auto about = named.has("share")  ? Measurement::Kind::share
                       : named.has("rung") ? Measurement::Kind::rung
                       : named.has("fill") ? Measurement::Kind::link_fill
                                           : Measurement::Kind::uplink_fill;
    const double value =
        named.number("share") + named.number("rung") + named.number("fill") + named.number("uplink");
    return Measurement{first(), on, about, value};
  }

  // Entries like 2, 2:gone, 2:draining, 2:started=900 or 2:hall=1; a server's cell is its number.
  ServerList list(const Words& words) const {
    ServerList list;
    list.kind = words.front() == "servers"   ? ServerList::Kind::complete
                : words.front() == "changes" ? ServerList::Kind::changes
                                             : ServerList::Kind::cached;
    for (std::size_t i = 1; i < words.size(); ++i) {
      const auto cut = words[i].find(':');
      const auto mark = cut == std::string::npos ? "" : words[i].substr(cut + 1);
      ServerEntry entry;
      entry.server = static_cast<ServerId>(std::stoul(words[i]));
      entry.cell = static_cast<int>(entry.server);
      if (mark == "gone")
        entry.state = ServerState::gone;
      if (mark == "draining")
        entry.state = ServerState::draining;
      if (mark.starts_with("hall="))
        entry.hall = std::stoi(mark.substr(5));
      if (mark.starts_with("started="))
        entry.started = Duration(std::stoll(mark.substr(8)) * 1000);
      list.entries.push_back(entry);
    }
    return list;
  }

  PolicySettings terms_;
  std::optional<Policy> policy_;
  Duration now_{0};
  std::multimap<Duration, std::uint32_t> timers_;
  std::vector<std::string> said_;
};

// `<` is a line for the adapter, `>` the start of a line of its reply, in order, `!` part of its
// complaint.
class WirePlayer {
 public:
  void play(const std::string& line) {
    const auto text = line.size() > 2 ? line.substr(2) : "";
    if (line.front() == '!') {
      assert(complaint_.find(text) != std::string::npos);
      complaint_.clear();
    } else if (line.front() == '<') {
      assert(complaint_.empty());
      try {
        if (const auto reply = adapter_.handle_line(text))
          reply_.str(*reply), reply_.clear();
      } catch (const simulator_adapter::ProtocolError& error) {
        complaint_ = error.what();
      }
    } else {
      std::string said;
      while (std::getline(reply_, said) && !said.starts_with(text))
        assert(text != "OK");
      assert(said.starts_with(text));
    }
  }
  bool settled() const { return complaint_.empty(); }

 private:
  simulator_adapter::Adapter adapter_;
  std::istringstream reply_;
  std::string complaint_;
};

}  // namespace

int main(int argc, char** argv) {
  assert(argc == 2);
  std::ifstream file(argv[1]);
  assert(file);
  Player player;
  WirePlayer wire;
  int number = 0;
  for (std::string line; std::getline(file, line);) {
    std::cerr << ++number << ": " << line << '\n';
    if (line.empty() || line.front() == '#')
      continue;
    if (line.find_first_of("<>!") == 0)
      wire.play(line);
    else
      player.play(words_of(line));
  }
  assert(number > 0 && wire.settled());
}
