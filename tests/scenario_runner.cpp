// Plays one scenario file; its notation is told in README.md.
#undef NDEBUG
#include <algorithm>
#include <cassert>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

#include "benchlink/link.h"
#include "brain.h"

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
  Span ms(const std::string& key, double otherwise = 0) const {
    return Span(static_cast<std::int64_t>(number(key, otherwise) * 1000));
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

SiteTerms site(const Named& named) {
  SiteTerms terms;
  terms.rung_kb = named.list("rungs", {100, 200, 400});
  terms.rung_revenue = named.list("revenue", {0.4, 0.7, 1});
  terms.kind_streams = named.list("streams", {30});
  terms.link_kb_per_weight = named.number("link", 2000);
  terms.uplink_kb = named.number("uplink");
  terms.racks = named.whole("racks", 1);
  terms.cells = named.whole("cells", 4);
  terms.switch_cost = named.ms("switch", 500);
  terms.note_lag = named.ms("lag", 1000);
  terms.fronts = named.whole("fronts", 1);
  terms.own_number = named.whole("number");
  terms.cold_time = named.ms("cold");
  terms.cold_from = named.number("cold_from", 1);
  terms.overload_multiple = named.number("multiple", 1);
  terms.budget_window = named.ms("budget_window");
  terms.budget_free = named.number("free");
  terms.budget_share = named.number("share");
  terms.most_tries = named.whole("tries", 5);
  terms.longest_come_back = named.ms("come_back");
  terms.may_probe = named.has("probe_price");
  terms.probe_price = named.number("probe_price");
  terms.list_on_request = named.has("ask");
  terms.crossing_price = named.number("crossing");
  return terms;
}

PlanTerms plan(const Named& named) {
  PlanTerms plan;
  plan.startup_target = named.ms("target", 1000);
  plan.pay_at_setup = named.has("paid");
  plan.revenue = named.number("revenue", 1);
  plan.floor = named.whole("floor");
  plan.top = named.whole("top", 2);
  plan.seats = named.whole("seats");
  return plan;
}

std::string text_of(const Order& order) {
  std::ostringstream out;
  if (const auto* o = std::get_if<SetUp>(&order))
    out << "setup " << o->playback << " on " << o->server << " within " << o->time_limit.count() / 1000;
  if (const auto* o = std::get_if<SetRung>(&order))
    out << "rung " << o->playback << " " << o->rung;
  if (const auto* o = std::get_if<Reject>(&order)) {
    out << "reject " << o->playback << (o->come_back.count() > 0 ? " come back" : "");
  }
  if (const auto* o = std::get_if<Abort>(&order))
    out << "abort " << o->playback;
  if (const auto* o = std::get_if<Probe>(&order))
    out << "probe " << o->server;
  if (std::get_if<FollowList>(&order))
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
      now_ += Span(std::stoll(words.at(1)) * 1000);
    else if (what == "pass")
      pass(Span(std::stoll(words.at(1)) * 1000));
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
    if (!brain_)
      brain_.emplace(terms_, 1);
    for (const auto& order : brain_->handle(now_, event)) {
      if (const auto* timer = std::get_if<SetTimer>(&order))
        timers_.emplace(now_ + timer->delay, timer->token);
      else
        said_.push_back(text_of(order));
    }
  }

  void pass(Span time) {
    said_.clear();
    const Span until = now_ + time;
    while (!timers_.empty() && timers_.begin()->first <= until) {
      const auto [at, token] = *timers_.begin();
      timers_.erase(timers_.begin());
      now_ = std::max(now_, at);
      hand(TimerRang{token});
    }
    now_ = until;
  }

  // listed=1+4, or listed=none
  static Holders listed(const Named& named) {
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
    request.holders = named.whole("holders", 1);
    request.top = named.whole("top", 2);
    if (named.has("listed"))
      request.listed = listed(named);
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
      return ListFailed{};
    if (what == "request")
      return request(words, named);
    if (what == "holders")
      return HoldersChanged{static_cast<PlaybackId>(std::stoul(words.at(1))), listed(named)};
    if (what == "carried")
      return CarriedOver{request(words, named), on};
    if (what == "withdrawn")
      return Withdrawn{first()};
    if (what == "started")
      return Started{first(), on, Span(0)};
    if (what == "ended")
      return TryEnded{first(), on, outcomes.at(words.at(2)), named.has("over"), load};
    if (what == "probed")
      return ProbeEnded{first(), !named.has("silent"), load};
    assert(what == "note");
    const auto about = named.has("share")  ? Note::About::share
                       : named.has("rung") ? Note::About::rung
                       : named.has("fill") ? Note::About::link_fill
                                           : Note::About::uplink_fill;
    const double value =
        named.number("share") + named.number("rung") + named.number("fill") + named.number("uplink");
    return Note{first(), on, about, value};
  }

  // Entries like 2, 2:gone, 2:draining, 2:started=900 or 2:hall=1; a server's cell is its number.
  ServerList list(const Words& words) const {
    ServerList list;
    list.reach = words.front() == "servers"   ? ServerList::Reach::complete
                 : words.front() == "changes" ? ServerList::Reach::changes
                                              : ServerList::Reach::cached;
    for (std::size_t i = 1; i < words.size(); ++i) {
      const auto cut = words[i].find(':');
      const auto mark = cut == std::string::npos ? "" : words[i].substr(cut + 1);
      ServerEntry entry;
      entry.server = static_cast<ServerId>(std::stoul(words[i]));
      entry.cell = static_cast<int>(entry.server);
      if (mark == "gone")
        entry.standing = Standing::gone;
      if (mark == "draining")
        entry.standing = Standing::draining;
      if (mark.starts_with("hall="))
        entry.hall = std::stoi(mark.substr(5));
      if (mark.starts_with("started="))
        entry.started = Span(std::stoll(mark.substr(8)) * 1000);
      list.entries.push_back(entry);
    }
    return list;
  }

  SiteTerms terms_;
  std::optional<Brain> brain_;
  Span now_{0};
  std::multimap<Span, std::uint32_t> timers_;
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
        if (const auto reply = link_.take(text))
          reply_.str(*reply), reply_.clear();
      } catch (const benchlink::Malformed& malformed) {
        complaint_ = malformed.what();
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
  benchlink::Link link_;
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
