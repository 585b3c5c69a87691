// The six rules, plain and slow: all that was told and ordered, by all fronts, is kept, and each step is
// judged by walking the whole of it. Shares nothing with the module, the manager or the auditor: what a rule
// means is written here a second time, from its words.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace violettide::testing {

struct RulesTerms {
  using Duration = std::chrono::microseconds;
  struct Plan {
    bool paid = false;
    int floor = 0;
    int seats = 0;  // 0: no cap
  };
  std::vector<Plan> plans;
  Duration answer_slack{0};  // past a viewer's time, for the way
  Duration grace{0};         // after word that a server drains or is gone
  Duration cold{0};          // 0: servers are never cold
  double warmup_initial_share = 1, multiple = 1, streams = 1;
  Duration fall{0};
  double cold_slack = 0;            // set-ups
  Duration retry_budget_window{0};  // 0: no budget
  double retry_budget_base = 0, retry_budget_share = 0;
  Duration longest_come_back{0};
};

class RulesModel {
 public:
  using Duration = std::chrono::microseconds;
  enum class What {
    began,      // a front's process; it knows nothing
    killed,     // and is no more
    taken,      // a request, by a front; `until`: its viewer's time
    carried,    // a playback that plays, handed over to a front
    withdrawn,  // its viewer left, or the front no longer owes an answer
    sent,       // a set-up try
    plays,      // the try has started
    ended,      // the try; `never_ran`: provably; `over`: and the playback with it
    rejected,
    aborted,
    rung,            // set by the front
    listed_ready,    // a front is told
    listed_off,      // draining, gone, or named no more
    listed_start,    // with its start, `until`
    server_started,  // in truth
    server_stopped
  };
  struct Step {
    Duration at{0};
    What what = What::began;
    int front = 0;
    std::uint64_t playback = 0;
    int server = 0;
    int plan = 0;
    std::uint64_t title = 0;
    int rung = 0;
    Duration until{0};
    bool never_ran = false, over = false;
    bool failed = false;  // silence, a reset or a refused connection
  };
  struct Broken {
    int rule = 0;  // 0: what is given up on gets its come-back time
    std::string what;
  };

  explicit RulesModel(RulesTerms terms) : terms_(std::move(terms)) {}

  // Steps come in order of time. The first that breaks a rule is told by broken().
  void step(const Step& step) {
    history_.push_back(step);
    one_answer();
    no_second_set_up();
    drains();
    cold_pace();
    terms_kept();
    budget();
    come_back();
  }
  // Time alone may break a rule: an answer that is overdue.
  void check(Duration now) {
    for (const auto& asked : history_) {
      if (asked.what != What::taken || now <= asked.until + terms_.answer_slack)
        continue;
      bool owed = true, later = false;
      for (const auto& step : history_) {
        later = later || &step == &asked;
        if (!later)
          continue;
        if (step.what == What::killed && step.front == asked.front)
          owed = false;
        if (same(step, asked) && (step.what == What::withdrawn || step.what == What::plays || is_final(step)))
          owed = false;
      }
      if (owed)
        broke(1, asked, "not answered");
    }
  }
  const std::optional<Broken>& broken() const { return broken_; }
  // The most that any cold window was filled, 1 being what the fourth rule allows.
  double fullest_cold_window() const { return fullest_; }
  const std::vector<Step>& history() const { return history_; }
  std::size_t count(What what) const {
    return static_cast<std::size_t>(
        std::count_if(history_.begin(), history_.end(), [&](const Step& s) { return s.what == what; }));
  }

 private:
  void broke(int rule, const Step& at, const std::string& what) {
    if (!broken_)
      broken_ = Broken{rule, what + " (front " + std::to_string(at.front) + ", playback " +
                                 std::to_string(at.playback) + ", server " + std::to_string(at.server) +
                                 ", at " + std::to_string(at.at.count()) + " us)"};
  }
  static bool same(const Step& a, const Step& b) { return a.front == b.front && a.playback == b.playback; }
  static bool is_final(const Step& s) {
    return s.what == What::rejected || s.what == What::aborted || (s.what == What::ended && s.over);
  }

  // 1. Each request taken gets one answer, in time; what has its end gets nothing more.
  void one_answer() {
    const auto& now = history_.back();
    if (now.what != What::sent && now.what != What::plays && !is_final(now))
      return;
    const Step* asked = nullptr;
    bool answered = false, over = false, owed = true;
    for (const auto& step : history_) {
      if (&step == &now || !same(step, now))
        continue;
      if (step.what == What::taken || step.what == What::carried)
        asked = &step;
      if (step.what == What::withdrawn)
        owed = false;
      if (step.what == What::plays || step.what == What::carried)
        answered = true;
      if (is_final(step))
        over = true;
    }
    if (!asked)
      return broke(1, now, "nobody asked for it");
    if (!owed && now.what == What::sent)
      broke(1, now, "sent after its viewer had left");
    if (!owed)
      return;
    if (over)
      return broke(1, now, now.what == What::sent ? "sent after its end" : "answered twice");
    if (!answered && now.what != What::sent && now.at > asked->until + terms_.answer_slack)
      broke(1, now, "answered after its viewer's time");
  }

  // 2. Paid at set-up: nothing more unless every earlier try provably never ran. Two tries out: never.
  void no_second_set_up() {
    const auto& now = history_.back();
    if (now.what != What::sent && now.what != What::rejected)
      return;
    bool out = false, may_have_run = false;
    for (const auto& step : history_) {
      if (&step == &now || !same(step, now))
        continue;
      if (step.what == What::sent || step.what == What::carried)
        out = true;
      if (step.what == What::ended) {
        out = false;
        if (!step.never_ran)
          may_have_run = true;
      }
    }
    if (now.what == What::sent && out)
      broke(2, now, "two tries out at once");
    if (plan(now).paid && (out || may_have_run))
      broke(2, now, now.what == What::sent ? "paid and sent again" : "paid and rejected");
  }

  // 3. Nothing new past the grace after the first word of it since the server was last told to be ready.
  void drains() {
    const auto& now = history_.back();
    if (now.what != What::sent)
      return;
    std::optional<Duration> off;
    bool named = false;
    for (const auto& word : history_) {
      if (word.front != now.front)
        continue;
      if (word.what == What::began)
        off.reset(), named = false;
      if (word.server != now.server)
        continue;
      if (word.what == What::listed_ready)
        off.reset(), named = true;
      if (word.what == What::listed_off && !off)
        off = word.at;
    }
    if (!named)
      broke(3, now, "sent to a server that was never listed as ready");
    if (off && now.at > *off + terms_.grace)
      broke(3, now, "sent past the grace");
  }

  // 4. A server just started: in the window that ends with this set-up all fronts together stay under the
  // multiple of what it can take by now. Counted where most of the senders knew.
  void cold_pace() {
    const auto& now = history_.back();
    if (now.what != What::sent || terms_.cold <= Duration(0))
      return;
    std::optional<Duration> started;
    for (const auto& step : history_) {
      if (step.what == What::server_started && step.server == now.server)
        started = step.at;
    }
    if (!started || now.at - *started >= terms_.cold)
      return;
    int count = 0, knew = 0;
    for (const auto& sent : history_) {
      if (sent.what != What::sent || sent.server != now.server)
        continue;
      if (sent.at <= now.at - terms_.fall || sent.at < *started)
        continue;
      ++count;
      if (knew_of_start(sent, *started))
        ++knew;
    }
    const double age = std::chrono::duration<double>(now.at - *started) / terms_.cold;
    const double warmth = terms_.warmup_initial_share + (1 - terms_.warmup_initial_share) * age * age;
    const double pace = terms_.streams / std::chrono::duration<double>(terms_.cold).count();
    const double may = pace * warmth * terms_.multiple * std::chrono::duration<double>(terms_.fall).count();
    if (2 * knew > count)
      fullest_ = std::max(fullest_, count / (may + terms_.cold_slack));
    if (count > may + terms_.cold_slack && 2 * knew > count)
      broke(4, now, std::to_string(count) + " set-ups where a cold server may get " + std::to_string(may));
  }
  // Told of the start, met a failure there since it went down, or younger than the start itself.
  bool knew_of_start(const Step& sent, Duration started) const {
    bool knew = false, met = false;
    for (const auto& word : history_) {
      if (&word == &sent)
        break;
      if (word.what == What::server_stopped && word.server == sent.server)
        met = false;
      if (word.front != sent.front)
        continue;
      if (word.what == What::began)
        knew = word.at >= started, met = false;
      if (word.server != sent.server)
        continue;
      if (word.what == What::listed_start && word.until >= started)
        knew = true;
      if (word.what == What::ended && word.failed)
        met = true;
    }
    return knew || met;
  }

  // 5. No rung under the floor; no more playbacks of a title and plan than seats, set-ups included.
  void terms_kept() {
    const auto& now = history_.back();
    if (now.what == What::rung && now.rung < plan(now).floor)
      broke(5, now, "set under its plan's floor");
    if (now.what != What::sent || plan(now).seats <= 0)
      return;
    std::vector<std::uint64_t> held;
    for (const auto& step : history_) {
      if (step.front != now.front)
        continue;
      if (step.what == What::began)
        held.clear();
      if (step.what != What::sent && step.what != What::carried && step.what != What::ended)
        continue;
      if (asked(step).plan != asked(now).plan || asked(step).title != asked(now).title)
        continue;
      std::erase(held, step.playback);
      if (step.what != What::ended)
        held.push_back(step.playback);
    }
    if (held.size() > static_cast<std::size_t>(plan(now).seats))
      broke(5, now, "more playbacks than seats");
  }

  // 6. Tries beyond a playback's first, in the window that ends with one.
  void budget() {
    const auto& now = history_.back();
    if (now.what != What::sent || terms_.retry_budget_window <= Duration(0) || !is_further(now))
      return;
    double further = 0, taken = 0;
    for (const auto& step : history_) {
      if (step.front != now.front)
        continue;
      if (step.what == What::began)
        further = taken = 0;
      if (step.at <= now.at - terms_.retry_budget_window)
        continue;
      if (step.what == What::taken)
        taken += 1;
      if (step.what == What::sent && is_further(step))
        further += 1;
    }
    if (further > terms_.retry_budget_base + terms_.retry_budget_share * taken)
      broke(6, now, "over the try budget");
  }
  bool is_further(const Step& sent) const {
    for (const auto& before : history_) {
      if (&before == &sent)
        return false;
      if (same(before, sent) && (before.what == What::sent || before.what == What::carried))
        return true;
    }
    return false;
  }

  // What is given up on gets a come-back time where allowed, and none beyond the longest.
  void come_back() {
    const auto& now = history_.back();
    if (now.what != What::rejected)
      return;
    if (now.until > terms_.longest_come_back ||
        (terms_.longest_come_back > Duration(0) && now.until <= Duration(0)))
      broke(0, now, "rejected with a come-back time of " + std::to_string(now.until.count()) + " us");
  }

  // As it was asked for.
  const Step& asked(const Step& step) const {
    for (const auto& s : history_) {
      if ((s.what == What::taken || s.what == What::carried) && same(s, step))
        return s;
    }
    return step;
  }
  const RulesTerms::Plan& plan(const Step& step) const {
    return terms_.plans.at(static_cast<std::size_t>(asked(step).plan));
  }

  RulesTerms terms_;
  std::vector<Step> history_;
  std::optional<Broken> broken_;
  double fullest_ = 0;
};

}  // namespace violettide::testing
