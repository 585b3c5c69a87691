// A slow reference model of the six rules: it keeps every step of all fronts and checks each new one by
// walking the whole history. Shares no code with the module, the manager or the auditor, so that a
// misreading of a rule does not hide itself.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace violettide::testing {

// The limits that the rules check. Times are in microseconds.
struct RuleSettings {
  using Duration = std::chrono::microseconds;
  struct Plan {
    bool pay_at_setup = false;
    int floor = 0;
    int seats = 0;  // 0: no limit
  };
  std::vector<Plan> plans;
  Duration answer_slack{0};  // past the abandon time, for the transport
  Duration drain_grace{0};   // after the news that a server drains or is gone
  Duration warmup_time{0};   // 0: servers are never cold
  double warmup_initial_share = 1;
  double overload_multiple = 1;
  double stream_capacity = 1;
  Duration cold_window{0};          // length of the window in which the pace is counted
  double cold_window_slack = 0;     // set-ups
  Duration retry_budget_window{0};  // 0: no budget
  double retry_budget_base = 0;
  double retry_budget_share = 0;
  Duration max_retry_after{0};  // 0: no Retry-After time may be given
};

// Checks the rules over the steps of all fronts and keeps the first violation.
class RulesModel {
 public:
  using Duration = std::chrono::microseconds;
  enum class StepKind {
    front_started,  // a front's process starts and knows nothing
    front_killed,
    requested,   // a front takes a request; `until`: the viewer's abandon time
    adopted,     // a playing playback is handed over to a front
    cancelled,   // the viewer left, or the front owes no answer any more
    setup_sent,  // a try starts
    started,     // the try succeeded
    try_ended,   // `never_ran`: provably; `playback_over`: no further try follows
    rejected,    // `until`: the Retry-After time
    aborted,
    rung_set,        // by the front
    listed_ready,    // a list reaches a front
    listed_off,      // as draining, gone or left out
    listed_start,    // with the server's start time in `until`
    server_started,  // the actual event, which fronts learn of later
    server_stopped
  };
  struct Step {
    Duration at{0};
    StepKind kind = StepKind::front_started;
    int front = 0;
    std::uint64_t playback = 0;
    int server = 0;
    int plan = 0;
    std::uint64_t title = 0;
    int rung = 0;
    Duration until{0};
    bool never_ran = false;
    bool playback_over = false;
    bool failed = false;  // no answer, a reset or a refused connection
  };
  struct Violation {
    int rule = 0;  // 0: the limits on the Retry-After time
    std::string message;
  };

  explicit RulesModel(RuleSettings settings) : settings_(std::move(settings)) {}

  // Adds a step and checks it. Steps must be in order of time.
  void step(const Step& step) {
    history_.push_back(step);
    check_single_answer();
    check_no_second_set_up();
    check_drains();
    check_cold_pace();
    check_floor_and_seats();
    check_retry_budget();
    check_retry_after();
  }
  // Checks for answers that are overdue at `now`.
  void check(Duration now) {
    for (const auto& request : history_) {
      if (request.kind != StepKind::requested || now <= request.until + settings_.answer_slack)
        continue;
      bool answer_due = true, after_request = false;
      for (const auto& step : history_) {
        after_request = after_request || &step == &request;
        if (!after_request)
          continue;
        if (step.kind == StepKind::front_killed && step.front == request.front)
          answer_due = false;
        if (same_playback(step, request) &&
            (step.kind == StepKind::cancelled || step.kind == StepKind::started || is_final(step)))
          answer_due = false;
      }
      if (answer_due)
        report_violation(1, request, "not answered");
    }
  }
  const std::optional<Violation>& violation() const { return violation_; }
  // Highest fill of any cold window, 1 being the limit of rule 4.
  double max_cold_window_fill() const { return max_cold_window_fill_; }
  const std::vector<Step>& history() const { return history_; }
  std::size_t count(StepKind kind) const {
    return static_cast<std::size_t>(
        std::count_if(history_.begin(), history_.end(), [&](const Step& s) { return s.kind == kind; }));
  }

 private:
  void report_violation(int rule, const Step& at, const std::string& message) {
    if (!violation_)
      violation_ = Violation{rule, message + " (front " + std::to_string(at.front) + ", playback " +
                                       std::to_string(at.playback) + ", server " + std::to_string(at.server) +
                                       ", at " + std::to_string(at.at.count()) + " us)"};
  }
  static bool same_playback(const Step& a, const Step& b) {
    return a.front == b.front && a.playback == b.playback;
  }
  static bool is_final(const Step& s) {
    return s.kind == StepKind::rejected || s.kind == StepKind::aborted ||
           (s.kind == StepKind::try_ended && s.playback_over);
  }

  // Rule 1: each request gets one answer, in time, and nothing more after its end.
  void check_single_answer() {
    const auto& now = history_.back();
    if (now.kind != StepKind::setup_sent && now.kind != StepKind::started && !is_final(now))
      return;
    const Step* request = nullptr;
    bool answered = false, finished = false, answer_due = true;
    for (const auto& step : history_) {
      if (&step == &now || !same_playback(step, now))
        continue;
      if (step.kind == StepKind::requested || step.kind == StepKind::adopted)
        request = &step;
      if (step.kind == StepKind::cancelled)
        answer_due = false;
      if (step.kind == StepKind::started || step.kind == StepKind::adopted)
        answered = true;
      if (is_final(step))
        finished = true;
    }
    if (!request)
      return report_violation(1, now, "nobody asked for it");
    if (!answer_due && now.kind == StepKind::setup_sent)
      report_violation(1, now, "sent after its viewer had left");
    if (!answer_due)
      return;
    if (finished)
      return report_violation(1, now,
                              now.kind == StepKind::setup_sent ? "sent after its end" : "answered twice");
    if (!answered && now.kind != StepKind::setup_sent && now.at > request->until + settings_.answer_slack)
      report_violation(1, now, "answered after its viewer's time");
  }

  // Rule 2: with payment at set-up nothing follows a try that may have run. No plan has two tries at once.
  void check_no_second_set_up() {
    const auto& now = history_.back();
    if (now.kind != StepKind::setup_sent && now.kind != StepKind::rejected)
      return;
    bool try_pending = false, may_have_run = false;
    for (const auto& step : history_) {
      if (&step == &now || !same_playback(step, now))
        continue;
      if (step.kind == StepKind::setup_sent || step.kind == StepKind::adopted)
        try_pending = true;
      if (step.kind == StepKind::try_ended) {
        try_pending = false;
        if (!step.never_ran)
          may_have_run = true;
      }
    }
    if (now.kind == StepKind::setup_sent && try_pending)
      report_violation(2, now, "two tries at once");
    if (plan(now).pay_at_setup && (try_pending || may_have_run))
      report_violation(2, now,
                       now.kind == StepKind::setup_sent ? "paid and sent again" : "paid and rejected");
  }

  // Rule 3: no set-up later than the grace after the first news that a server drains or is gone.
  void check_drains() {
    const auto& now = history_.back();
    if (now.kind != StepKind::setup_sent)
      return;
    std::optional<Duration> off_since;
    bool listed_ready_before = false;
    for (const auto& step : history_) {
      if (step.front != now.front)
        continue;
      if (step.kind == StepKind::front_started)
        off_since.reset(), listed_ready_before = false;
      if (step.server != now.server)
        continue;
      if (step.kind == StepKind::listed_ready)
        off_since.reset(), listed_ready_before = true;
      if (step.kind == StepKind::listed_off && !off_since)
        off_since = step.at;
    }
    if (!listed_ready_before)
      report_violation(3, now, "sent to a server that was never listed as ready");
    if (off_since && now.at > *off_since + settings_.drain_grace)
      report_violation(3, now, "sent past the grace");
  }

  // Rule 4: in the window that ends with this set-up, all fronts together stay under the overload multiple of
  // a cold server's capacity. Only counted where most of the senders knew of the start.
  void check_cold_pace() {
    const auto& now = history_.back();
    if (now.kind != StepKind::setup_sent || settings_.warmup_time <= Duration(0))
      return;
    std::optional<Duration> started;
    for (const auto& step : history_) {
      if (step.kind == StepKind::server_started && step.server == now.server)
        started = step.at;
    }
    if (!started || now.at - *started >= settings_.warmup_time)
      return;
    int count = 0, informed = 0;
    for (const auto& sent : history_) {
      if (sent.kind != StepKind::setup_sent || sent.server != now.server)
        continue;
      if (sent.at <= now.at - settings_.cold_window || sent.at < *started)
        continue;
      ++count;
      if (knew_of_start(sent, *started))
        ++informed;
    }
    const double elapsed = std::chrono::duration<double>(now.at - *started) / settings_.warmup_time;
    const double capacity_share =
        settings_.warmup_initial_share + (1 - settings_.warmup_initial_share) * elapsed * elapsed;
    const double pace =
        settings_.stream_capacity / std::chrono::duration<double>(settings_.warmup_time).count();
    const double allowed = pace * capacity_share * settings_.overload_multiple *
                           std::chrono::duration<double>(settings_.cold_window).count();
    if (2 * informed > count)
      max_cold_window_fill_ =
          std::max(max_cold_window_fill_, count / (allowed + settings_.cold_window_slack));
    if (count > allowed + settings_.cold_window_slack && 2 * informed > count)
      report_violation(
          4, now, std::to_string(count) + " set-ups where a cold server may get " + std::to_string(allowed));
  }
  // The front was told of the start, saw a failure since the server stopped, or started after it itself.
  bool knew_of_start(const Step& sent, Duration started) const {
    bool informed = false, saw_failure = false;
    for (const auto& step : history_) {
      if (&step == &sent)
        break;
      if (step.kind == StepKind::server_stopped && step.server == sent.server)
        saw_failure = false;
      if (step.front != sent.front)
        continue;
      if (step.kind == StepKind::front_started)
        informed = step.at >= started, saw_failure = false;
      if (step.server != sent.server)
        continue;
      if (step.kind == StepKind::listed_start && step.until >= started)
        informed = true;
      if (step.kind == StepKind::try_ended && step.failed)
        saw_failure = true;
    }
    return informed || saw_failure;
  }

  // Rule 5: no rung under the floor, no more playbacks of a title and plan than seats, set-ups included.
  void check_floor_and_seats() {
    const auto& now = history_.back();
    if (now.kind == StepKind::rung_set && now.rung < plan(now).floor)
      report_violation(5, now, "set under its plan's floor");
    if (now.kind != StepKind::setup_sent || plan(now).seats <= 0)
      return;
    std::vector<std::uint64_t> seats_taken;
    for (const auto& step : history_) {
      if (step.front != now.front)
        continue;
      if (step.kind == StepKind::front_started)
        seats_taken.clear();
      if (step.kind != StepKind::setup_sent && step.kind != StepKind::adopted &&
          step.kind != StepKind::try_ended)
        continue;
      if (request_of(step).plan != request_of(now).plan || request_of(step).title != request_of(now).title)
        continue;
      std::erase(seats_taken, step.playback);
      if (step.kind != StepKind::try_ended)
        seats_taken.push_back(step.playback);
    }
    if (seats_taken.size() > static_cast<std::size_t>(plan(now).seats))
      report_violation(5, now, "more playbacks than seats");
  }

  // Rule 6: retries in the window that ends with one stay within the budget.
  void check_retry_budget() {
    const auto& now = history_.back();
    if (now.kind != StepKind::setup_sent || settings_.retry_budget_window <= Duration(0) || !is_retry(now))
      return;
    double retries = 0, requests = 0;
    for (const auto& step : history_) {
      if (step.front != now.front)
        continue;
      if (step.kind == StepKind::front_started)
        retries = requests = 0;
      if (step.at <= now.at - settings_.retry_budget_window)
        continue;
      if (step.kind == StepKind::requested)
        requests += 1;
      if (step.kind == StepKind::setup_sent && is_retry(step))
        retries += 1;
    }
    if (retries > settings_.retry_budget_base + settings_.retry_budget_share * requests)
      report_violation(6, now, "over the try budget");
  }
  bool is_retry(const Step& sent) const {
    for (const auto& before : history_) {
      if (&before == &sent)
        return false;
      if (same_playback(before, sent) &&
          (before.kind == StepKind::setup_sent || before.kind == StepKind::adopted))
        return true;
    }
    return false;
  }

  // A rejected viewer gets a Retry-After time where this is allowed, and never above the limit.
  void check_retry_after() {
    const auto& now = history_.back();
    if (now.kind != StepKind::rejected)
      return;
    if (now.until > settings_.max_retry_after ||
        (settings_.max_retry_after > Duration(0) && now.until <= Duration(0)))
      report_violation(0, now,
                       "rejected with a come-back time of " + std::to_string(now.until.count()) + " us");
  }

  // The request that the step belongs to; the step itself if there is none.
  const Step& request_of(const Step& step) const {
    for (const auto& s : history_) {
      if ((s.kind == StepKind::requested || s.kind == StepKind::adopted) && same_playback(s, step))
        return s;
    }
    return step;
  }
  const RuleSettings::Plan& plan(const Step& step) const {
    return settings_.plans.at(static_cast<std::size_t>(request_of(step).plan));
  }

  RuleSettings settings_;
  std::vector<Step> history_;
  std::optional<Violation> violation_;
  double max_cold_window_fill_ = 0;
};

}  // namespace violettide::testing
