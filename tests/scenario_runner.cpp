// Runs one scenario file against the policy or the simulator adapter. docs/scenarios.md describes the
// notation. Each line is printed before it runs, so that the last numbered line is the one that failed.
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

Words split_words(const std::string& line) {
  std::istringstream in(line);
  Words words;
  for (std::string word; in >> word;)
    words.push_back(word);
  return words;
}

// The key=value words of a step. A word without `=` has the value 1, which makes it a flag.
class KeyValues {
 public:
  explicit KeyValues(const Words& words) {
    for (const auto& word : words) {
      const auto separator_at = word.find('=');
      values_[word.substr(0, separator_at)] =
          separator_at == std::string::npos ? "1" : word.substr(separator_at + 1);
    }
  }
  bool has(const std::string& key) const { return values_.count(key) > 0; }
  double number(const std::string& key, double fallback = 0) const {
    return has(key) ? std::stod(values_.at(key)) : fallback;
  }
  std::string text(const std::string& key) const { return values_.at(key); }
  int integer(const std::string& key, int fallback = 0) const {
    return static_cast<int>(number(key, fallback));
  }
  Duration milliseconds(const std::string& key, double fallback = 0) const {
    return Duration(static_cast<std::int64_t>(number(key, fallback) * 1000));
  }
  std::vector<double> number_list(const std::string& key, std::vector<double> fallback) const {
    if (!has(key))
      return fallback;
    std::vector<double> numbers;
    std::istringstream in(values_.at(key));
    for (std::string part; std::getline(in, part, ',');)
      numbers.push_back(std::stod(part));
    return numbers;
  }
  std::optional<double> optional_number(const std::string& key) const {
    return has(key) ? std::optional(number(key)) : std::nullopt;
  }

 private:
  std::map<std::string, std::string> values_;
};

// Reads the settings of a `site` step; what it leaves out has a default that suits most scenarios.
PolicySettings read_settings(const KeyValues& values) {
  PolicySettings settings;
  settings.rung_kb = values.number_list("rungs", {100, 200, 400});
  settings.rung_revenue = values.number_list("revenue", {0.4, 0.7, 1});
  settings.streams_by_kind = values.number_list("streams", {30});
  settings.link_kb_per_weight = values.number("link", 2000);
  settings.uplink_kb = values.number("uplink");
  settings.racks = values.integer("racks", 1);
  settings.cells = values.integer("cells", 4);
  settings.switch_cost = values.milliseconds("switch", 500);
  settings.measurement_delay = values.milliseconds("lag", 1000);
  settings.front_count = values.integer("fronts", 1);
  settings.front_index = values.integer("number");
  settings.warmup_time = values.milliseconds("cold");
  settings.warmup_initial_share = values.number("cold_from", 1);
  settings.overload_multiple = values.number("multiple", 1);
  settings.retry_budget_window = values.milliseconds("budget_window");
  settings.retry_budget_base = values.number("free");
  settings.retry_budget_share = values.number("share");
  settings.max_tries = values.integer("tries", 5);
  settings.max_retry_after = values.milliseconds("come_back");
  settings.probes_enabled = values.has("probe_price");
  settings.probe_cost = values.number("probe_price");
  settings.list_needs_subscription = values.has("ask");
  settings.cross_hall_cost = values.number("crossing");
  return settings;
}

PlanSettings read_plan(const KeyValues& values) {
  PlanSettings plan;
  plan.startup_target = values.milliseconds("target", 1000);
  plan.pay_at_setup = values.has("paid");
  plan.revenue = values.number("revenue", 1);
  plan.floor = values.integer("floor");
  plan.top = values.integer("top", 2);
  plan.seats = values.integer("seats");
  return plan;
}

// Returns a command in the words of the notation.
std::string describe(const Command& command) {
  std::ostringstream out;
  if (const auto* c = std::get_if<SetUp>(&command))
    out << "setup " << c->playback << " on " << c->server << " within " << c->time_limit.count() / 1000;
  if (const auto* c = std::get_if<SetRung>(&command))
    out << "rung " << c->playback << " " << c->rung;
  if (const auto* c = std::get_if<Reject>(&command)) {
    out << "reject " << c->playback << (c->retry_after.count() > 0 ? " come back" : "");
  }
  if (const auto* c = std::get_if<Abort>(&command))
    out << "abort " << c->playback;
  if (const auto* c = std::get_if<Probe>(&command))
    out << "probe " << c->server;
  if (std::get_if<SubscribeServerList>(&command))
    out << "follow";
  return out.str();
}

const std::map<std::string, Outcome> outcomes = {
    {"served", Outcome::served},       {"error", Outcome::error},           {"full", Outcome::full},
    {"late", Outcome::late},           {"refused", Outcome::no_connection}, {"reset", Outcome::reset},
    {"cancelled", Outcome::cancelled}, {"unsent", Outcome::not_sent}};

// Runs the steps for the policy: settings, events, time, and checks of the commands that the last event or
// `pass` brought.
class PolicyScenario {
 public:
  void run_step(const Words& words) {
    const auto& step = words.front();
    const KeyValues values(words);
    if (step == "site")
      settings_ = read_settings(values);
    else if (step == "plan")
      settings_.plans.push_back(read_plan(values));
    else if (step == "expect")
      assert(count_commands(join_words(words, 1)) > 0);
    else if (step == "never")
      assert(count_commands(join_words(words, 1)) == 0);
    else if (step == "count")
      assert(count_commands(join_words(words, 2)) == std::stoi(words.at(1)));
    else if (step == "stall")
      now_ += Duration(std::stoll(words.at(1)) * 1000);
    else if (step == "pass")
      advance_time(Duration(std::stoll(words.at(1)) * 1000));
    else
      run_event(read_event(words, values));
    if (step != "expect")
      print_commands();
  }

 private:
  static std::string join_words(const Words& words, std::size_t from) {
    std::string text;
    for (std::size_t i = from; i < words.size(); ++i)
      text += (i > from ? " " : "") + words[i];
    return text;
  }

  // Counts the commands of the last event or `pass` that begin with the words of `prefix`.
  int count_commands(const std::string& prefix) const {
    return static_cast<int>(
        std::count_if(commands_.begin(), commands_.end(),
                      [&](const std::string& command) { return (command + " ").starts_with(prefix + " "); }));
  }

  void print_commands() const {
    for (const auto& command : commands_)
      std::cerr << "    command: " << command << "\n";
  }

  // Replaces the commands of the step before by those that follow from `event`.
  void run_event(const Event& event) {
    commands_.clear();
    handle_event(event);
  }

  void handle_event(const Event& event) {
    if (!policy_)
      policy_.emplace(settings_, 1);
    for (const auto& command : policy_->handle(now_, event)) {
      if (const auto* timer = std::get_if<SetTimer>(&command))
        timers_.emplace(now_ + timer->delay, timer->token);
      else
        commands_.push_back(describe(command));
    }
  }

  // Moves the time forward and fires the timers that become due on the way.
  void advance_time(Duration duration) {
    commands_.clear();
    const Duration until = now_ + duration;
    while (!timers_.empty() && timers_.begin()->first <= until) {
      const auto [at, token] = *timers_.begin();
      timers_.erase(timers_.begin());
      now_ = std::max(now_, at);
      handle_event(TimerExpired{token});
    }
    now_ = until;
  }

  // Reads listed=1+4, or listed=none for an empty list.
  static HolderList read_holders(const KeyValues& values) {
    std::vector<ServerId> ids;
    std::istringstream text(values.text("listed"));
    for (std::string id; std::getline(text, id, '+');) {
      if (id != "none")
        ids.push_back(static_cast<ServerId>(std::stoul(id)));
    }
    return std::make_shared<const std::vector<ServerId>>(std::move(ids));
  }

  Request read_request(const Words& words, const KeyValues& values) const {
    Request request;
    request.playback = static_cast<PlaybackId>(std::stoul(words.at(1)));
    request.plan = values.integer("plan");
    request.title = static_cast<TitleId>(values.integer("title"));
    request.abandon_at = now_ + values.milliseconds("wait", 4000);
    if (values.has("length"))
      request.length = values.milliseconds("length");
    request.first_cell = values.integer("first");
    request.cell_count = values.integer("holders", 1);
    request.top = values.integer("top", 2);
    if (values.has("listed"))
      request.listed_holders = read_holders(values);
    return request;
  }

  Event read_event(const Words& words, const KeyValues& values) const {
    const auto& step = words.front();
    const auto first_id = [&] { return static_cast<std::uint32_t>(std::stoul(words.at(1))); };
    const auto server = static_cast<ServerId>(values.integer("on"));
    const LoadReport load{values.optional_number("fill"), values.optional_number("uplink"),
                          values.optional_number("streams")};
    if (step == "servers" || step == "changes" || step == "cached")
      return read_server_list(words);
    if (step == "list_failed")
      return ServerListFailed{};
    if (step == "request")
      return read_request(words, values);
    if (step == "holders")
      return HoldersChanged{static_cast<PlaybackId>(std::stoul(words.at(1))), read_holders(values)};
    if (step == "carried")
      return PlaybackAdopted{read_request(words, values), server};
    if (step == "withdrawn")
      return RequestCancelled{first_id()};
    if (step == "started")
      return PlaybackStarted{first_id(), server, Duration(0)};
    if (step == "ended")
      return TryEnded{first_id(), server, outcomes.at(words.at(2)), values.has("over"), load};
    if (step == "probed")
      return ProbeEnded{first_id(), !values.has("silent"), load};
    assert(step == "note");
    const auto kind = values.has("share")  ? Measurement::Kind::share
                      : values.has("rung") ? Measurement::Kind::rung
                      : values.has("fill") ? Measurement::Kind::link_fill
                                           : Measurement::Kind::uplink_fill;
    const double value =
        values.number("share") + values.number("rung") + values.number("fill") + values.number("uplink");
    return Measurement{first_id(), server, kind, value};
  }

  // Reads entries like 2, 2:gone, 2:draining, 2:started=900 (milliseconds) or 2:hall=1. A server's cell is
  // its number.
  ServerList read_server_list(const Words& words) const {
    ServerList list;
    list.kind = words.front() == "servers"   ? ServerList::Kind::complete
                : words.front() == "changes" ? ServerList::Kind::changes
                                             : ServerList::Kind::cached;
    for (std::size_t i = 1; i < words.size(); ++i) {
      const auto separator_at = words[i].find(':');
      const auto attribute = separator_at == std::string::npos ? "" : words[i].substr(separator_at + 1);
      ServerEntry entry;
      entry.server = static_cast<ServerId>(std::stoul(words[i]));
      entry.cell = static_cast<int>(entry.server);
      if (attribute == "gone")
        entry.state = ServerState::gone;
      if (attribute == "draining")
        entry.state = ServerState::draining;
      if (attribute.starts_with("hall="))
        entry.hall = std::stoi(attribute.substr(5));
      if (attribute.starts_with("started="))
        entry.started = Duration(std::stoll(attribute.substr(8)) * 1000);
      list.entries.push_back(entry);
    }
    return list;
  }

  PolicySettings settings_;
  std::optional<Policy> policy_;  // created at the first event, after all settings
  Duration now_{0};
  std::multimap<Duration, std::uint32_t> timers_;
  std::vector<std::string> commands_;  // but for timers
};

// Runs the steps for the adapter. `<` is a line of its input. `>` is the start of a line of its reply; lines
// between two such steps are skipped, but none before the OK that ends a reply. `!` is part of the error that
// the line before it caused; every error needs such a step.
class AdapterScenario {
 public:
  void run_step(const std::string& line) {
    const auto text = line.size() > 2 ? line.substr(2) : "";
    if (line.front() == '!') {
      assert(error_.find(text) != std::string::npos);
      error_.clear();
    } else if (line.front() == '<') {
      assert(error_.empty());
      try {
        if (const auto reply = adapter_.handle_line(text))
          reply_.str(*reply), reply_.clear();
      } catch (const simulator_adapter::ProtocolError& error) {
        error_ = error.what();
      }
    } else {
      std::string reply_line;
      while (std::getline(reply_, reply_line) && !reply_line.starts_with(text))
        assert(text != "OK");
      assert(reply_line.starts_with(text));
    }
  }
  bool no_pending_error() const { return error_.empty(); }

 private:
  simulator_adapter::Adapter adapter_;
  std::istringstream reply_;
  std::string error_;
};

}  // namespace

int main(int argc, char** argv) {
  assert(argc == 2);
  std::ifstream file(argv[1]);
  assert(file);
  PolicyScenario policy_scenario;
  AdapterScenario adapter_scenario;
  int line_number = 0;
  for (std::string line; std::getline(file, line);) {
    std::cerr << ++line_number << ": " << line << '\n';
    if (line.empty() || line.front() == '#')
      continue;
    if (line.find_first_of("<>!") == 0)
      adapter_scenario.run_step(line);
    else
      policy_scenario.run_step(split_words(line));
  }
  assert(line_number > 0 && adapter_scenario.no_pending_error());
}
