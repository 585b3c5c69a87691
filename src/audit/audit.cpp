#include "audit/audit.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace violettide::audit {

namespace {

using trace::Passed;

constexpr std::uint64_t answer_slack_us = 40'000;  // past the abandon time, for transmission
// Closing one try and starting the next reach two boxes in either order.
constexpr std::uint64_t overlap_slack_us = 50'000;
constexpr std::uint64_t list_delivery_slack_us = 20'000;  // transmission of the list response
constexpr std::uint64_t persist_slack_us = 500'000;       // a manager persists a change before applying it
constexpr double cold_setup_slack = 2;                    // setup tries above the limit, for random variation

std::uint64_t micros(settings::Duration duration) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, duration.count()));
}

// One setup try at a box.
struct Try {
  const Passed* setup = nullptr;
  const Passed* end = nullptr;
};
// All records of one playback request, joined by its trace id.
struct PlaybackRecords {
  const Passed* request = nullptr;
  std::vector<const Passed*> answers;
  const Passed* departure = nullptr;
  std::vector<Try> tries;  // as the boxes recorded them, in order of arrival
};
// Time interval in microseconds; open-ended by default.
struct Interval {
  std::uint64_t from = 0, to = ~std::uint64_t{0};
};

// Invariant checker over the merged trace records of one run.
class Auditor {
 public:
  Auditor(const standins::Scenario& scenario, std::vector<Passed> records)
      : scenario_(scenario), records_(std::move(records)) {
    std::stable_sort(records_.begin(), records_.end(),
                     [](auto& a, auto& b) { return a.at_us() < b.at_us(); });
    const auto& plans = scenario_.deployment.front.plans;
    for (std::size_t i = 0; i < plans.size(); ++i)
      plan_index_[plans[i].name] = i;
    index_records();
  }

  Verdict run() {
    check_single_answer();
    check_setup_tries();
    check_draining();
    check_cold_start_rate();
    check_floor_and_seats();
    check_retry_budget();
    check_catalogue_locations();
    check_hls_consistency();
    check_team_seats();
    compute_totals();
    std::stable_sort(verdict_.violations.begin(), verdict_.violations.end(),
                     [](auto& a, auto& b) { return a.at_us < b.at_us; });
    verdict_.records = records_.size();
    return std::move(verdict_);
  }

 private:
  void index_records() {
    std::map<std::pair<std::string, std::string>, Passed*> out;
    for (auto& record : records_) {
      switch (record.kind()) {
        case Passed::ASKED:
          playbacks_[record.trace()].request = &record;
          break;
        case Passed::ANSWERED:
          playbacks_[record.trace()].answers.push_back(&record);
          break;
        case Passed::LEFT:
          playbacks_[record.trace()].departure = &record;
          break;
        case Passed::SET_UP:
          playbacks_[record.trace()].tries.push_back({&record, nullptr});
          break;
        case Passed::TRY_ENDED:
          for (auto& t : playbacks_[record.trace()].tries) {
            if (!t.end && t.setup->box() == record.box() && t.setup->manager() == record.manager()) {
              t.end = &record;
              break;
            }
          }
          break;
        case Passed::STARTED:
          uptimes_[record.manager()].push_back({record.at_us()});
          break;
        case Passed::KILLED:
          if (auto& uptimes = uptimes_[record.manager()]; !uptimes.empty())
            uptimes.back().to = record.at_us();
          break;
        case Passed::STOOD_STILL:
          suspensions_[record.manager()].push_back(
              {record.at_us(), record.at_us() + static_cast<std::uint64_t>(record.value() * 1e6)});
          break;
        default:
          break;
      }
    }
  }

  void report_violation(int rule, std::uint64_t at, std::string description,
                        std::vector<const Passed*> records = {}) {
    Violation violation{rule, at, std::move(description), {}};
    for (const auto* record : records) {
      if (record)
        violation.records.push_back(*record);
    }
    verdict_.violations.push_back(std::move(violation));
  }

  // True if one process of the manager ran during the whole interval without being suspended.
  bool was_running(const std::string& manager, std::uint64_t from, std::uint64_t to) const {
    const auto uptimes = uptimes_.find(manager);
    const bool was_up =
        uptimes != uptimes_.end() && std::any_of(uptimes->second.begin(), uptimes->second.end(),
                                                 [&](auto& l) { return l.from <= from && to <= l.to; });
    const auto suspensions = suspensions_.find(manager);
    const bool was_suspended = suspensions != suspensions_.end() &&
                               std::any_of(suspensions->second.begin(), suspensions->second.end(),
                                           [&](auto& s) { return s.from <= to && from <= s.to; });
    return was_up && !was_suspended;
  }

  const manager::Plan& plan(const Passed& record) const {
    return scenario_.deployment.front.plans[plan_index_.at(record.plan())];
  }
  const PlanSettings& plan_settings(const Passed& record) const {
    return scenario_.deployment.front.policy.plans[plan_index_.at(record.plan())];
  }

  // Rule 1: each playback request gets exactly one answer, before its abandon time.
  void check_single_answer() {
    for (const auto& [trace, playback] : playbacks_) {
      if (!playback.request)
        continue;
      const auto& request = *playback.request;
      const auto until = request.at_us() + micros(plan(request).abandon_time) + answer_slack_us;
      std::vector<const Passed*> answers;
      for (const auto* answer : playback.answers) {
        if (answer->status() != 0)
          answers.push_back(answer);
      }
      if (answers.size() > 1)
        report_violation(1, answers[1]->at_us(),
                         "playback " + trace + " got " + std::to_string(answers.size()) + " answers",
                         {&request, answers[0], answers[1]});
      if (!answers.empty()) {
        if (answers[0]->at_us() > until)
          report_violation(1, answers[0]->at_us(),
                           "playback " + trace + " was answered after its abandon time",
                           {&request, answers[0]});
        continue;
      }
      const auto* end = !playback.answers.empty() ? playback.answers.front() : playback.departure;
      if (end && end->state() == "refused")
        continue;  // the connection was refused, so no manager received the request
      if (end && was_running(request.manager(), request.at_us(), std::min(end->at_us(), until)))
        report_violation(
            1, end->at_us(),
            "playback " + trace + " got no answer from " + request.manager() + ", which ran all the while",
            {&request, end});
    }
  }

  // A box that answered 503 or 404 did not set the playback up; after any other outcome it may have.
  static bool never_ran(const Try& t) { return t.end && (t.end->status() == 503 || t.end->status() == 404); }

  // Rule 2: tries of one playback never overlap, and a playback that is charged at setup is never sent again
  // or rejected once a box may have run it.
  void check_setup_tries() {
    for (const auto& [trace, playback] : playbacks_) {
      for (std::size_t i = 1; i < playback.tries.size(); ++i) {
        const auto& before = playback.tries[i - 1];
        const auto& next = playback.tries[i];
        const bool out = !before.end || before.end->at_us() > next.setup->at_us() + overlap_slack_us;
        if (out)
          report_violation(2, next.setup->at_us(), "playback " + trace + " had two tries out at once",
                           {before.setup, next.setup, before.end});
        if (plan_settings(*next.setup).pay_at_setup && !never_ran(before))
          report_violation(
              2, next.setup->at_us(),
              "playback " + trace + " is paid at set-up and was sent again though it may have run",
              {before.setup, before.end, next.setup});
      }
      // Every HLS playback starts with a request by title. A setup without one was made for a URL handed out
      // earlier, so nobody requested it.
      if (!playback.request && !playback.tries.empty() && playback.tries[0].setup->state() == "hls" &&
          plan_settings(*playback.tries[0].setup).pay_at_setup)
        report_violation(2, playback.tries[0].setup->at_us(),
                         "playback " + trace + " is paid at set-up and was set up unasked",
                         {playback.tries[0].setup});
      if (!playback.request || playback.tries.empty() || !plan_settings(*playback.request).pay_at_setup)
        continue;
      for (const auto* answer : playback.answers) {
        if (answer->status() != 503)
          continue;
        for (const auto& t : playback.tries) {
          if (!never_ran(t) && t.setup->at_us() < answer->at_us())
            report_violation(
                2, answer->at_us(),
                "playback " + trace + " is paid at set-up and was rejected though it may have run",
                {t.setup, t.end, answer});
        }
      }
    }
  }

  // Rule 3: no setup tries to a box that the list reported as draining or gone, after the grace time.
  void check_draining() {
    struct ListedState {
      std::uint64_t at;
      std::string state;
    };
    std::map<std::pair<std::string, std::string>, ListedState> listed_states;
    const auto grace = micros(scenario_.deployment.drain_grace) + list_delivery_slack_us;
    for (const auto& record : records_) {
      if (record.kind() == Passed::STARTED) {
        std::erase_if(listed_states, [&](auto& entry) { return entry.first.first == record.manager(); });
      } else if (record.kind() == Passed::TOLD) {
        auto& listed = listed_states[{record.manager(), record.box()}];
        const bool unavailable = record.state() != "ready",
                   was_unavailable = !listed.state.empty() && listed.state != "ready";
        if (!(unavailable && was_unavailable))
          listed.at = record.at_us();  // a change from draining to gone keeps the earlier time
        listed.state = record.state();
      } else if (record.kind() == Passed::SET_UP) {
        const auto listed = listed_states.find({record.manager(), record.box()});
        if (listed == listed_states.end() || listed->second.state == "ready" ||
            record.at_us() <= listed->second.at + grace)
          continue;
        report_violation(3, record.at_us(),
                         record.manager() + " sent playback " + record.trace() + " to " + record.box() +
                             ", which it was told is " + listed->second.state,
                         {&record});
      }
    }
  }

  // Rule 4: managers that know of a box's restart keep its setup rate within the cold start limit.
  void check_cold_start_rate() {
    const auto& policy = scenario_.deployment.front.policy;
    if (policy.warmup_time.count() <= 0)
      return;
    struct BoxState {
      std::uint64_t started = 0, down_at = 0;
      std::uint64_t incarnation = 0;
      std::vector<const Passed*> setups;
    };
    std::map<std::string, BoxState> box_states;
    std::map<std::string, const standins::BoxSettings*> settings_by_box;
    for (const auto& box : scenario_.boxes)
      settings_by_box[box.name] = &box;
    std::map<std::pair<std::string, std::string>, std::uint64_t> known_incarnations,
        last_failures;  // by manager and box: listed incarnation; time of the last failed try
    std::map<std::string, std::uint64_t> manager_starts;
    for (const auto& record : records_) {
      auto& box = box_states[record.box()];
      if (record.kind() == Passed::STARTED)
        manager_starts[record.manager()] = record.at_us();
      if (record.kind() == Passed::TOLD)
        known_incarnations[{record.manager(), record.box()}] = record.number();
      if (record.kind() == Passed::TRY_ENDED && record.status() <= 0)
        last_failures[{record.manager(), record.box()}] = record.at_us();
      if (record.kind() == Passed::DOWN)
        box.down_at = record.at_us();
      if (record.kind() == Passed::UP)
        box.started = record.at_us(), box.incarnation = record.number(), box.setups.clear();
      if (record.kind() == Passed::FELL)
        report_violation(4, record.at_us(), record.box() + " fell over, pushed while cold", {&record});
      if (record.kind() != Passed::SET_UP || box.incarnation < 2 || !settings_by_box.contains(record.box()))
        continue;
      const double age =
          static_cast<double>(record.at_us() - box.started) / static_cast<double>(micros(policy.warmup_time));
      if (age >= 1)
        continue;
      std::erase_if(box.setups, [&](auto* r) {
        return r->at_us() + micros(scenario_.deployment.overload_window) <= record.at_us();
      });
      box.setups.push_back(&record);
      const double capacity_share =
          policy.warmup_initial_share + (1 - policy.warmup_initial_share) * age * age;
      const double streams =
          policy.streams_by_kind[static_cast<std::size_t>(settings_by_box[record.box()]->kind)];
      const double limit = streams / (static_cast<double>(micros(policy.warmup_time)) / 1e6) *
                               capacity_share * policy.overload_multiple *
                               (static_cast<double>(micros(scenario_.deployment.overload_window)) / 1e6) +
                           cold_setup_slack;
      if (static_cast<double>(box.setups.size()) <= limit)
        continue;
      std::size_t informed = 0;
      for (const auto* sent : box.setups) {
        const std::pair key(sent->manager(), sent->box());
        const bool knew_of_restart =
            known_incarnations.contains(key) && known_incarnations[key] >= box.incarnation;
        const bool saw_failure = last_failures.contains(key) && last_failures[key] >= box.down_at;
        if (knew_of_restart || saw_failure || manager_starts[sent->manager()] >= box.started)
          ++informed;
      }
      if (2 * informed > box.setups.size())
        report_violation(4, record.at_us(),
                         record.box() + " got " + std::to_string(box.setups.size()) +
                             " set-ups within the stated time while cold",
                         {box.setups.front(), &record});
    }
  }

  // Rule 5: no rung below the plan's floor, and no more playbacks per manager, plan and title than seats.
  void check_floor_and_seats() {
    std::map<std::string, std::uint64_t> last_object;  // by trace id, found through the session id
    std::map<std::string, std::string> trace_by_session;
    for (const auto& record : records_) {
      // A setup for a URL handed out earlier has a new trace id; later objects count for that one.
      if (record.kind() == Passed::ASKED || record.kind() == Passed::SET_UP)
        trace_by_session[record.sid()] = record.trace();
      if (record.kind() == Passed::OBJECT && (record.status() == 200 || record.status() == 206))
        last_object[trace_by_session[record.sid()]] = record.at_us();
      if (record.kind() != Passed::SET_UP && record.kind() != Passed::SERVED)
        continue;
      if (record.rung() >= 0 && record.rung() < plan_settings(record).floor)
        report_violation(5, record.at_us(),
                         "playback " + record.trace() + " was set to rung " + std::to_string(record.rung()) +
                             ", under its plan's floor",
                         {&record});
    }
    struct Step {
      std::uint64_t at;
      int delta;
      const Passed* record;
    };
    std::map<std::string, std::vector<Step>> seat_steps;
    for (const auto& [trace, playback] : playbacks_) {
      for (const auto& t : playback.tries) {
        if (plan_settings(*t.setup).seats <= 0 || !t.end)
          continue;
        auto until = t.end->at_us();
        // Counts the seat as held only while objects certainly passed. A viewer's departure that the manager
        // couldn't see is not counted against the manager.
        if (t.end->status() == 200 && last_object.contains(trace))
          until = std::max(until, last_object[trace]);
        auto& steps = seat_steps[t.setup->manager() + "|" + t.setup->plan() + "|" + t.setup->title()];
        steps.push_back({t.setup->at_us(), 1, t.setup});
        steps.push_back({until, -1, t.setup});
      }
    }
    for (auto& [seat_group, steps] : seat_steps) {
      std::sort(steps.begin(), steps.end(),
                [](auto& a, auto& b) { return a.at != b.at ? a.at < b.at : a.delta < b.delta; });
      int held = 0;
      for (const auto& step : steps) {
        held += step.delta;
        if (step.delta > 0 && held > plan_settings(*step.record).seats)
          report_violation(5, step.at,
                           seat_group + " held " + std::to_string(held) + " playbacks, more than its seats",
                           {step.record});
      }
    }
  }

  // Rule 6: further tries per manager stay within the retry budget in each window.
  void check_retry_budget() {
    const auto& policy = scenario_.deployment.front.policy;
    const auto window = micros(policy.retry_budget_window);
    if (window == 0)
      return;
    std::map<std::string, std::vector<std::uint64_t>> playback_times, retry_times;
    for (const auto& [trace, playback] : playbacks_) {
      if (playback.request)
        playback_times[playback.request->manager()].push_back(playback.request->at_us());
      else if (!playback.tries.empty())
        playback_times[playback.tries[0].setup->manager()].push_back(playback.tries[0].setup->at_us());
      for (std::size_t i = 1; i < playback.tries.size(); ++i)
        retry_times[playback.tries[i].setup->manager()].push_back(playback.tries[i].setup->at_us());
    }
    for (auto& [manager, times] : retry_times) {
      std::sort(times.begin(), times.end());
      auto& accepted_times = playback_times[manager];
      for (const auto at : times) {
        const auto within = [&](std::uint64_t t) { return t + window > at && t <= at; };
        const auto retry_count = std::count_if(times.begin(), times.end(), within);
        const auto playback_count = std::count_if(accepted_times.begin(), accepted_times.end(), [&](auto t) {
          return t + window + overlap_slack_us > at && t <= at;
        });
        const double limit =
            policy.retry_budget_base + policy.retry_budget_share * static_cast<double>(playback_count);
        if (static_cast<double>(retry_count) > limit + 1e-9)
          report_violation(6, at,
                           manager + " made " + std::to_string(retry_count) +
                               " further tries in one window, " + std::to_string(playback_count) +
                               " playbacks taken");
      }
    }
  }

  // Rule 7, catalogue: no setup tries to a location that the catalogue no longer lists.
  void check_catalogue_locations() {
    // By manager, title and box.
    std::map<std::tuple<std::string, std::string, std::string>, std::uint64_t>
        unlisted_since;  // time of removal, us
    for (const auto& record : records_) {
      const std::tuple key(record.manager(), record.title(), record.box());
      if (record.kind() == Passed::LISTED)
        unlisted_since.erase(key);
      if (record.kind() == Passed::UNLISTED)
        unlisted_since.try_emplace(key, record.at_us());
      if (record.kind() != Passed::SET_UP)
        continue;
      const auto found = unlisted_since.find(key);
      if (found == unlisted_since.end() || record.at_us() <= found->second + persist_slack_us)
        continue;
      report_violation(7, record.at_us(),
                       record.manager() + " sent playback " + record.trace() + " of " + record.title() +
                           " to " + record.box() + ", which the catalogue no longer lists",
                       {&record});
    }
  }

  // Rule 9, seats: over all managers, a team never has more playbacks at once than seats. A playback counts
  // from its answer to its last object, when it certainly holds a seat. Also reports accepted invalid tokens
  // and seats left in a manager's log.
  void check_team_seats() {
    if (!scenario_.deployment.front.entitlement.enabled)
      return;
    struct ActivePlayback {
      std::string team;
      std::uint64_t from = 0, to = 0;
      const Passed* record = nullptr;
    };
    std::map<std::string, ActivePlayback> active;  // by session id
    std::map<std::string, std::vector<std::pair<std::uint64_t, int>>> steps;
    std::map<std::string, std::string> team_of;
    const auto add_steps = [&](const ActivePlayback& playing) {
      if (playing.from == 0 || playing.to <= playing.from)
        return;
      steps[playing.team].emplace_back(playing.from, 1);
      steps[playing.team].emplace_back(playing.to, -1);
    };
    for (const auto& record : records_) {
      if (record.kind() == Passed::ASKED) {
        auto& playing = active[record.sid()];
        add_steps(playing);
        playing = {record.state(), 0, 0, &record};
      } else if (record.kind() == Passed::ANSWERED && record.status() == 200) {
        auto& playing = active[record.sid()];
        if (playing.team.ends_with(" bad"))
          report_violation(9, record.at_us(), "a bad token of " + playing.team + " was let in",
                           {playing.record, &record});
        playing.from = playing.to = record.at_us();
      } else if (record.kind() == Passed::OBJECT && record.status() == 200) {
        active[record.sid()].to = record.at_us();
      }
    }
    for (const auto& [sid, playing] : active)
      add_steps(playing);
    for (const auto& record : records_) {
      if (record.kind() == Passed::LEAKED)
        report_violation(9, record.at_us(), record.manager() + " kept an odd seat: " + record.state(),
                         {&record});
    }
    for (auto& [team, team_steps] : steps) {
      std::sort(team_steps.begin(), team_steps.end());
      int in_use = 0;
      for (const auto& [at, delta] : team_steps) {
        in_use += delta;
        if (delta > 0 && in_use > scenario_.issuer.seats_per_team)
          report_violation(9, at,
                           team + " plays " + std::to_string(in_use) + " on " +
                               std::to_string(scenario_.issuer.seats_per_team) + " seats");
      }
    }
  }

  // Rule 8, HLS: reports each inconsistency that a player found in its playlists or segments.
  void check_hls_consistency() {
    for (const auto& record : records_) {
      if (record.kind() == Passed::UNSTEADY)
        report_violation(
            8, record.at_us(),
            "viewer " + std::to_string(record.number()) + " of " + record.manager() + ": " + record.state(),
            {&record});
    }
  }

  // Fills the totals per plan and over all plans.
  void compute_totals() {
    const auto& front = scenario_.deployment.front;
    verdict_.plans.resize(front.plans.size());
    std::vector<std::set<std::uint64_t>> seen_viewers(front.plans.size());
    for (std::size_t i = 0; i < front.plans.size(); ++i)
      verdict_.plans[i].plan = front.plans[i].name;
    const auto object_seconds = static_cast<double>(front.object_duration.count()) / 1e6;
    for (const auto& record : records_) {
      const auto found = plan_index_.find(record.plan());
      if (found == plan_index_.end())
        continue;
      auto& totals = verdict_.plans[found->second];
      const auto& policy = front.policy;
      const double revenue = policy.plans[found->second].revenue;
      if (record.kind() == Passed::ASKED && seen_viewers[found->second].insert(record.number()).second)
        totals.offered_revenue += record.value() * revenue * policy.rung_revenue[record.rung()];
      if (record.kind() == Passed::OBJECT && (record.status() == 200 || record.status() == 206))
        totals.earned_revenue += object_seconds * revenue * policy.rung_revenue[record.rung()];
      if (record.kind() == Passed::SET_UP)
        ++totals.tries, ++verdict_.setup_tries;
    }
    for (const auto& [trace, playback] : playbacks_) {
      if (!playback.request)
        continue;
      auto& totals = verdict_.plans[plan_index_.at(playback.request->plan())];
      ++totals.requested;
      ++verdict_.playbacks_requested;
      const int status = playback.answers.empty() ? -1 : playback.answers.front()->status();
      if (status == 200 || status == 206) {
        ++totals.played;
        if (playback.answers.front()->at_us() - playback.request->at_us() <=
            micros(plan_settings(*playback.request).startup_target))
          ++totals.within_startup_target;
      } else if (status == 503)
        ++totals.rejected;
      else if (status > 0)
        ++totals.aborted;
      else if (status == 0)
        ++totals.disconnected;
      else
        ++totals.abandoned;
    }
    for (std::size_t i = 0; i < seen_viewers.size(); ++i)
      verdict_.plans[i].viewers = seen_viewers[i].size();
  }

  const standins::Scenario& scenario_;
  std::vector<Passed> records_;
  std::map<std::string, std::size_t> plan_index_;
  std::map<std::string, PlaybackRecords> playbacks_;
  std::map<std::string, std::vector<Interval>> uptimes_, suspensions_;
  Verdict verdict_;
};

}  // namespace

Verdict check(const standins::Scenario& scenario, std::vector<trace::Passed> records) {
  return Auditor(scenario, std::move(records)).run();
}

std::string format_record(const trace::Passed& record) {
  char line[400];
  std::snprintf(line, sizeof line, "%.3f %s manager=%s box=%s trace=%s plan=%s title=%s rung=%d status=%d %s",
                static_cast<double>(record.at_us()) / 1e6, trace::Passed::Kind_Name(record.kind()).c_str(),
                record.manager().c_str(), record.box().c_str(), record.trace().c_str(), record.plan().c_str(),
                record.title().c_str(), record.rung(), record.status(), record.state().c_str());
  return line;
}

std::string format_verdict(const Verdict& verdict) {
  std::string text;
  char line[256];
  std::snprintf(line, sizeof line, "%-12s %8s %6s %6s %7s %8s %7s %6s %9s %6s %10s %10s %7s\n", "plan",
                "viewers", "asked", "plays", "in time", "rejected", "aborted", "broken", "abandoned", "tries",
                "offered", "earned", "service");
  text += line;
  double offered = 0, earned = 0;
  for (const auto& plan : verdict.plans) {
    offered += plan.offered_revenue;
    earned += plan.earned_revenue;
    std::snprintf(
        line, sizeof line, "%-12s %8zu %6zu %6zu %7zu %8zu %7zu %6zu %9zu %6zu %10.1f %10.1f %6.1f%%\n",
        plan.plan.c_str(), plan.viewers, plan.requested, plan.played, plan.within_startup_target,
        plan.rejected, plan.aborted, plan.disconnected, plan.abandoned, plan.tries, plan.offered_revenue,
        plan.earned_revenue, plan.offered_revenue > 0 ? 100 * plan.earned_revenue / plan.offered_revenue : 0);
    text += line;
  }
  std::snprintf(line, sizeof line, "%-12s %90s %10.1f %10.1f %6.1f%%\n", "all", "", offered, earned,
                offered > 0 ? 100 * earned / offered : 0);
  text += line;
  for (int rule = 1; rule <= 9; ++rule) {
    const auto count = std::count_if(verdict.violations.begin(), verdict.violations.end(),
                                     [&](auto& b) { return b.rule == rule; });
    std::snprintf(line, sizeof line, "%s %d: %s",
                  rule < 7    ? "rule"
                  : rule == 7 ? "catalogue, told as rule"
                  : rule == 8 ? "HLS, told as rule"
                              : "seats, told as rule",
                  rule, count == 0 ? "kept\n" : "");
    text += line;
    if (count > 0)
      text += "BROKEN " + std::to_string(count) + " times\n";
  }
  std::size_t printed = 0;
  for (const auto& violation : verdict.violations) {
    if (++printed > 20)
      break;
    text += "  rule " + std::to_string(violation.rule) + ": " + violation.description + "\n";
    for (const auto& record : violation.records)
      text += "      " + format_record(record) + "\n";
  }
  text += std::string("verdict: ") + (verdict.passed() ? "all rules kept" : "RULES BROKEN") + ", " +
          std::to_string(verdict.playbacks_requested) + " playbacks asked, " +
          std::to_string(verdict.setup_tries) + " setup tries, " + std::to_string(verdict.records) +
          " records\n";
  return text;
}

}  // namespace violettide::audit
