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

constexpr std::uint64_t answer_slack_us = 40'000;   // past the abandon time, for the way
constexpr std::uint64_t overlap_slack_us = 50'000;  // a hang-up and the next try race to two boxes
constexpr std::uint64_t told_slack_us = 20'000;     // the list's answer on its way
constexpr std::uint64_t kept_slack_us = 500'000;    // a change is kept on the disk before it is in force
constexpr double cold_slack = 2;                    // set-ups, for chance

std::uint64_t micros(settings::Duration span) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, span.count()));
}

struct Try {
  const Passed* came = nullptr;
  const Passed* ended = nullptr;
};
struct Ask {
  const Passed* asked = nullptr;
  std::vector<const Passed*> answers;
  const Passed* left = nullptr;
  std::vector<Try> tries;  // as boxes saw them
};
struct Life {
  std::uint64_t from = 0, to = ~std::uint64_t{0};
};

class Audit {
 public:
  Audit(const standins::Day& day, std::vector<Passed> records) : day_(day), records_(std::move(records)) {
    std::stable_sort(records_.begin(), records_.end(),
                     [](auto& a, auto& b) { return a.at_us() < b.at_us(); });
    const auto& plans = day_.deployment.front.plans;
    for (std::size_t i = 0; i < plans.size(); ++i)
      plan_of_[plans[i].name] = i;
    gather();
  }

  Verdict run() {
    one_answer();
    no_second_set_up();
    drains();
    cold_pace();
    terms();
    budget();
    listed();
    steady();
    seats();
    sums();
    std::stable_sort(verdict_.broken.begin(), verdict_.broken.end(),
                     [](auto& a, auto& b) { return a.at_us < b.at_us; });
    verdict_.records = records_.size();
    return std::move(verdict_);
  }

 private:
  void gather() {
    std::map<std::pair<std::string, std::string>, Passed*> out;  // box and trace: the try that is out there
    for (auto& record : records_) {
      switch (record.kind()) {
        case Passed::ASKED:
          asks_[record.trace()].asked = &record;
          break;
        case Passed::ANSWERED:
          asks_[record.trace()].answers.push_back(&record);
          break;
        case Passed::LEFT:
          asks_[record.trace()].left = &record;
          break;
        case Passed::SET_UP:
          asks_[record.trace()].tries.push_back({&record, nullptr});
          break;
        case Passed::TRY_ENDED:
          for (auto& t : asks_[record.trace()].tries) {
            if (!t.ended && t.came->box() == record.box() && t.came->manager() == record.manager()) {
              t.ended = &record;
              break;
            }
          }
          break;
        case Passed::STARTED:
          lives_[record.manager()].push_back({record.at_us()});
          break;
        case Passed::KILLED:
          if (auto& lives = lives_[record.manager()]; !lives.empty())
            lives.back().to = record.at_us();
          break;
        case Passed::STOOD_STILL:
          still_[record.manager()].push_back(
              {record.at_us(), record.at_us() + static_cast<std::uint64_t>(record.value() * 1e6)});
          break;
        default:
          break;
      }
    }
  }

  void broke(int rule, std::uint64_t at, std::string what, std::vector<const Passed*> both = {}) {
    Broken broken{rule, at, std::move(what), {}};
    for (const auto* record : both) {
      if (record)
        broken.both.push_back(*record);
    }
    verdict_.broken.push_back(std::move(broken));
  }

  // One process of it ran all the while, and never stood still.
  bool ran(const std::string& manager, std::uint64_t from, std::uint64_t to) const {
    const auto lives = lives_.find(manager);
    const bool lived =
        lives != lives_.end() && std::any_of(lives->second.begin(), lives->second.end(),
                                             [&](auto& l) { return l.from <= from && to <= l.to; });
    const auto still = still_.find(manager);
    const bool stood =
        still != still_.end() && std::any_of(still->second.begin(), still->second.end(),
                                             [&](auto& s) { return s.from <= to && from <= s.to; });
    return lived && !stood;
  }

  const manager::Plan& plan(const Passed& record) const {
    return day_.deployment.front.plans[plan_of_.at(record.plan())];
  }
  const PlanSettings& plan_terms(const Passed& record) const {
    return day_.deployment.front.policy.plans[plan_of_.at(record.plan())];
  }

  void one_answer() {
    for (const auto& [trace, ask] : asks_) {
      if (!ask.asked)
        continue;
      const auto& asked = *ask.asked;
      const auto until = asked.at_us() + micros(plan(asked).abandon_time) + answer_slack_us;
      std::vector<const Passed*> given;
      for (const auto* answer : ask.answers) {
        if (answer->status() != 0)
          given.push_back(answer);
      }
      if (given.size() > 1)
        broke(1, given[1]->at_us(), "playback " + trace + " got " + std::to_string(given.size()) + " answers",
              {&asked, given[0], given[1]});
      if (!given.empty()) {
        if (given[0]->at_us() > until)
          broke(1, given[0]->at_us(), "playback " + trace + " was answered after its abandon time",
                {&asked, given[0]});
        continue;
      }
      const auto* end = !ask.answers.empty() ? ask.answers.front() : ask.left;
      if (end && end->state() == "refused")
        continue;  // no manager took it: the connection was never made
      if (end && ran(asked.manager(), asked.at_us(), std::min(end->at_us(), until)))
        broke(1, end->at_us(),
              "playback " + trace + " got no answer from " + asked.manager() + ", which ran all the while",
              {&asked, end});
    }
  }

  // A try that the box turned away took nothing on; any other may have run.
  static bool never_ran(const Try& t) {
    return t.ended && (t.ended->status() == 503 || t.ended->status() == 404);
  }

  void no_second_set_up() {
    for (const auto& [trace, ask] : asks_) {
      for (std::size_t i = 1; i < ask.tries.size(); ++i) {
        const auto& before = ask.tries[i - 1];
        const auto& next = ask.tries[i];
        const bool out = !before.ended || before.ended->at_us() > next.came->at_us() + overlap_slack_us;
        if (out)
          broke(2, next.came->at_us(), "playback " + trace + " had two tries out at once",
                {before.came, next.came, before.ended});
        if (plan_terms(*next.came).pay_at_setup && !never_ran(before))
          broke(2, next.came->at_us(),
                "playback " + trace + " is paid at set-up and was sent again though it may have run",
                {before.came, before.ended, next.came});
      }
      // By HLS every playback is begun by name; a set-up for an address given out before is one unasked.
      if (!ask.asked && !ask.tries.empty() && ask.tries[0].came->state() == "hls" &&
          plan_terms(*ask.tries[0].came).pay_at_setup)
        broke(2, ask.tries[0].came->at_us(),
              "playback " + trace + " is paid at set-up and was set up unasked", {ask.tries[0].came});
      if (!ask.asked || ask.tries.empty() || !plan_terms(*ask.asked).pay_at_setup)
        continue;
      for (const auto* answer : ask.answers) {
        if (answer->status() != 503)
          continue;
        for (const auto& t : ask.tries) {
          if (!never_ran(t) && t.came->at_us() < answer->at_us())
            broke(2, answer->at_us(),
                  "playback " + trace + " is paid at set-up and was rejected though it may have run",
                  {t.came, t.ended, answer});
        }
      }
    }
  }

  void drains() {
    struct Word {
      std::uint64_t at;
      std::string state;
    };
    std::map<std::pair<std::string, std::string>, Word> told;
    const auto grace = micros(day_.deployment.drain_grace) + told_slack_us;
    for (const auto& record : records_) {
      if (record.kind() == Passed::STARTED) {
        std::erase_if(told, [&](auto& entry) { return entry.first.first == record.manager(); });
      } else if (record.kind() == Passed::TOLD) {
        auto& word = told[{record.manager(), record.box()}];
        const bool off = record.state() != "ready", was_off = !word.state.empty() && word.state != "ready";
        if (!(off && was_off))
          word.at = record.at_us();  // gone after draining began with the draining
        word.state = record.state();
      } else if (record.kind() == Passed::SET_UP) {
        const auto word = told.find({record.manager(), record.box()});
        if (word == told.end() || word->second.state == "ready" || record.at_us() <= word->second.at + grace)
          continue;
        broke(3, record.at_us(),
              record.manager() + " sent playback " + record.trace() + " to " + record.box() +
                  ", which it was told is " + word->second.state,
              {&record});
      }
    }
  }

  void cold_pace() {
    const auto& site = day_.deployment.front.policy;
    if (site.warmup_time.count() <= 0)
      return;
    struct Cold {
      std::uint64_t started = 0, down = 0;
      std::uint64_t number = 0;
      std::vector<const Passed*> set_ups;
    };
    std::map<std::string, Cold> cold;
    std::map<std::string, const standins::BoxTerms*> terms;
    for (const auto& box : day_.boxes)
      terms[box.name] = &box;
    std::map<std::pair<std::string, std::string>, std::uint64_t> told,
        met;  // manager and box: incarnation; when it met a failure
    std::map<std::string, std::uint64_t> began;
    for (const auto& record : records_) {
      auto& box = cold[record.box()];
      if (record.kind() == Passed::STARTED)
        began[record.manager()] = record.at_us();
      if (record.kind() == Passed::TOLD)
        told[{record.manager(), record.box()}] = record.number();
      if (record.kind() == Passed::TRY_ENDED && record.status() <= 0)
        met[{record.manager(), record.box()}] = record.at_us();
      if (record.kind() == Passed::DOWN)
        box.down = record.at_us();
      if (record.kind() == Passed::UP)
        box.started = record.at_us(), box.number = record.number(), box.set_ups.clear();
      if (record.kind() == Passed::FELL)
        broke(4, record.at_us(), record.box() + " fell over, pushed while cold", {&record});
      if (record.kind() != Passed::SET_UP || box.number < 2 || !terms.contains(record.box()))
        continue;
      const double age =
          static_cast<double>(record.at_us() - box.started) / static_cast<double>(micros(site.warmup_time));
      if (age >= 1)
        continue;
      std::erase_if(box.set_ups, [&](auto* r) {
        return r->at_us() + micros(day_.deployment.overload_window) <= record.at_us();
      });
      box.set_ups.push_back(&record);
      const double warmth = site.warmup_initial_share + (1 - site.warmup_initial_share) * age * age;
      const double streams = site.streams_by_kind[static_cast<std::size_t>(terms[record.box()]->kind)];
      const double most = streams / (static_cast<double>(micros(site.warmup_time)) / 1e6) * warmth *
                              site.overload_multiple *
                              (static_cast<double>(micros(day_.deployment.overload_window)) / 1e6) +
                          cold_slack;
      if (static_cast<double>(box.set_ups.size()) <= most)
        continue;
      std::size_t knew = 0;
      for (const auto* sent : box.set_ups) {
        const std::pair key(sent->manager(), sent->box());
        const bool was_told = told.contains(key) && told[key] >= box.number;
        const bool witness = met.contains(key) && met[key] >= box.down;
        if (was_told || witness || began[sent->manager()] >= box.started)
          ++knew;
      }
      if (2 * knew > box.set_ups.size())
        broke(4, record.at_us(),
              record.box() + " got " + std::to_string(box.set_ups.size()) +
                  " set-ups within the stated time while cold",
              {box.set_ups.front(), &record});
    }
  }

  void terms() {
    std::map<std::string, std::uint64_t> last_object;  // by the ask's trace: through its viewer
    std::map<std::string, std::string> trace_of_sid;
    for (const auto& record : records_) {
      // Set up anew for an old address, it is held from then on.
      if (record.kind() == Passed::ASKED || record.kind() == Passed::SET_UP)
        trace_of_sid[record.sid()] = record.trace();
      if (record.kind() == Passed::OBJECT && (record.status() == 200 || record.status() == 206))
        last_object[trace_of_sid[record.sid()]] = record.at_us();
      if (record.kind() != Passed::SET_UP && record.kind() != Passed::SERVED)
        continue;
      if (record.rung() >= 0 && record.rung() < plan_terms(record).floor)
        broke(5, record.at_us(),
              "playback " + record.trace() + " was set to rung " + std::to_string(record.rung()) +
                  ", under its plan's floor",
              {&record});
    }
    struct Step {
      std::uint64_t at;
      int by;
      const Passed* record;
    };
    std::map<std::string, std::vector<Step>> held;
    for (const auto& [trace, ask] : asks_) {
      for (const auto& t : ask.tries) {
        if (plan_terms(*t.came).seats <= 0 || !t.ended)
          continue;
        auto until = t.ended->at_us();
        // Held for as long as objects surely passed: what a viewer hid from the manager counts for the
        // manager.
        if (t.ended->status() == 200 && last_object.contains(trace))
          until = std::max(until, last_object[trace]);
        auto& steps = held[t.came->manager() + "|" + t.came->plan() + "|" + t.came->title()];
        steps.push_back({t.came->at_us(), 1, t.came});
        steps.push_back({until, -1, t.came});
      }
    }
    for (auto& [where, steps] : held) {
      std::sort(steps.begin(), steps.end(),
                [](auto& a, auto& b) { return a.at != b.at ? a.at < b.at : a.by < b.by; });
      int now = 0;
      for (const auto& step : steps) {
        now += step.by;
        if (step.by > 0 && now > plan_terms(*step.record).seats)
          broke(5, step.at, where + " held " + std::to_string(now) + " playbacks, more than its seats",
                {step.record});
      }
    }
  }

  void budget() {
    const auto& site = day_.deployment.front.policy;
    const auto window = micros(site.retry_budget_window);
    if (window == 0)
      return;
    std::map<std::string, std::vector<std::uint64_t>> taken, further;
    for (const auto& [trace, ask] : asks_) {
      if (ask.asked)
        taken[ask.asked->manager()].push_back(ask.asked->at_us());
      else if (!ask.tries.empty())
        taken[ask.tries[0].came->manager()].push_back(ask.tries[0].came->at_us());
      for (std::size_t i = 1; i < ask.tries.size(); ++i)
        further[ask.tries[i].came->manager()].push_back(ask.tries[i].came->at_us());
    }
    for (auto& [manager, times] : further) {
      std::sort(times.begin(), times.end());
      auto& all = taken[manager];
      for (const auto at : times) {
        const auto within = [&](std::uint64_t t) { return t + window > at && t <= at; };
        const auto count = std::count_if(times.begin(), times.end(), within);
        const auto of = std::count_if(all.begin(), all.end(),
                                      [&](auto t) { return t + window + overlap_slack_us > at && t <= at; });
        const double most = site.retry_budget_base + site.retry_budget_share * static_cast<double>(of);
        if (static_cast<double>(count) > most + 1e-9)
          broke(6, at,
                manager + " made " + std::to_string(count) + " further tries in one window, " +
                    std::to_string(of) + " playbacks taken");
      }
    }
  }

  // The catalogue's own promise, told as rule 7: nothing new to a location that it no longer lists.
  void listed() {
    std::map<std::tuple<std::string, std::string, std::string>, std::uint64_t> unlisted;  // since when
    for (const auto& record : records_) {
      const std::tuple key(record.manager(), record.title(), record.box());
      if (record.kind() == Passed::LISTED)
        unlisted.erase(key);
      if (record.kind() == Passed::UNLISTED)
        unlisted.try_emplace(key, record.at_us());
      if (record.kind() != Passed::SET_UP)
        continue;
      const auto found = unlisted.find(key);
      if (found == unlisted.end() || record.at_us() <= found->second + kept_slack_us)
        continue;
      broke(7, record.at_us(),
            record.manager() + " sent playback " + record.trace() + " of " + record.title() + " to " +
                record.box() + ", which the catalogue no longer lists",
            {&record});
    }
  }

  // Seats of teams over all managers, told as rule 9: from a playback's answer to its last object it surely
  // has one, and no more of a team are had at once than there are.
  void seats() {
    if (!day_.deployment.front.entitlement.enabled)
      return;
    struct Playing {
      std::string team;
      std::uint64_t from = 0, to = 0;
      const Passed* record = nullptr;
    };
    std::map<std::string, Playing> now;  // by session
    std::map<std::string, std::vector<std::pair<std::uint64_t, int>>> steps;
    std::map<std::string, std::string> team_of;
    const auto over = [&](const Playing& playing) {
      if (playing.from == 0 || playing.to <= playing.from)
        return;
      steps[playing.team].emplace_back(playing.from, 1);
      steps[playing.team].emplace_back(playing.to, -1);
    };
    for (const auto& record : records_) {
      if (record.kind() == Passed::ASKED) {
        auto& playing = now[record.sid()];
        over(playing);
        playing = {record.state(), 0, 0, &record};
      } else if (record.kind() == Passed::ANSWERED && record.status() == 200) {
        auto& playing = now[record.sid()];
        if (playing.team.ends_with(" bad"))
          broke(9, record.at_us(), "a bad token of " + playing.team + " was let in",
                {playing.record, &record});
        playing.from = playing.to = record.at_us();
      } else if (record.kind() == Passed::OBJECT && record.status() == 200) {
        now[record.sid()].to = record.at_us();
      }
    }
    for (const auto& [sid, playing] : now)
      over(playing);
    for (const auto& record : records_) {
      if (record.kind() == Passed::LEAKED)
        broke(9, record.at_us(), record.manager() + " kept an odd seat: " + record.state(), {&record});
    }
    for (auto& [team, all] : steps) {
      std::sort(all.begin(), all.end());
      int held = 0;
      for (const auto& [at, by] : all) {
        held += by;
        if (by > 0 && held > day_.issuer.seats)
          broke(9, at,
                team + " plays " + std::to_string(held) + " on " + std::to_string(day_.issuer.seats) +
                    " seats");
      }
    }
  }

  // What HLS players must not be shown, told as rule 8.
  void steady() {
    for (const auto& record : records_) {
      if (record.kind() == Passed::UNSTEADY)
        broke(8, record.at_us(),
              "viewer " + std::to_string(record.number()) + " of " + record.manager() + ": " + record.state(),
              {&record});
    }
  }

  void sums() {
    const auto& front = day_.deployment.front;
    verdict_.plans.resize(front.plans.size());
    std::vector<std::set<std::uint64_t>> seen(front.plans.size());
    for (std::size_t i = 0; i < front.plans.size(); ++i)
      verdict_.plans[i].plan = front.plans[i].name;
    const auto length = static_cast<double>(front.object_duration.count()) / 1e6;
    for (const auto& record : records_) {
      const auto found = plan_of_.find(record.plan());
      if (found == plan_of_.end())
        continue;
      auto& sum = verdict_.plans[found->second];
      const auto& site = front.policy;
      const double worth = site.plans[found->second].revenue;
      if (record.kind() == Passed::ASKED && seen[found->second].insert(record.number()).second)
        sum.offered += record.value() * worth * site.rung_revenue[record.rung()];
      if (record.kind() == Passed::OBJECT && (record.status() == 200 || record.status() == 206))
        sum.earned += length * worth * site.rung_revenue[record.rung()];
      if (record.kind() == Passed::SET_UP)
        ++sum.tries, ++verdict_.set_ups;
    }
    for (const auto& [trace, ask] : asks_) {
      if (!ask.asked)
        continue;
      auto& sum = verdict_.plans[plan_of_.at(ask.asked->plan())];
      ++sum.asked;
      ++verdict_.asks;
      const int status = ask.answers.empty() ? -1 : ask.answers.front()->status();
      if (status == 200 || status == 206) {
        ++sum.plays;
        if (ask.answers.front()->at_us() - ask.asked->at_us() <=
            micros(plan_terms(*ask.asked).startup_target))
          ++sum.in_time;
      } else if (status == 503)
        ++sum.rejected;
      else if (status > 0)
        ++sum.aborted;
      else if (status == 0)
        ++sum.broken_off;
      else
        ++sum.abandoned;
    }
    for (std::size_t i = 0; i < seen.size(); ++i)
      verdict_.plans[i].viewers = seen[i].size();
  }

  const standins::Day& day_;
  std::vector<Passed> records_;
  std::map<std::string, std::size_t> plan_of_;
  std::map<std::string, Ask> asks_;
  std::map<std::string, std::vector<Life>> lives_, still_;
  Verdict verdict_;
};

}  // namespace

Verdict check(const standins::Day& day, std::vector<trace::Passed> records) {
  return Audit(day, std::move(records)).run();
}

std::string text_of(const trace::Passed& record) {
  char line[400];
  std::snprintf(line, sizeof line, "%.3f %s manager=%s box=%s trace=%s plan=%s title=%s rung=%d status=%d %s",
                static_cast<double>(record.at_us()) / 1e6, trace::Passed::Kind_Name(record.kind()).c_str(),
                record.manager().c_str(), record.box().c_str(), record.trace().c_str(), record.plan().c_str(),
                record.title().c_str(), record.rung(), record.status(), record.state().c_str());
  return line;
}

std::string table(const Verdict& verdict) {
  std::string text;
  char line[256];
  std::snprintf(line, sizeof line, "%-12s %8s %6s %6s %7s %8s %7s %6s %9s %6s %10s %10s %7s\n", "plan",
                "viewers", "asked", "plays", "in time", "rejected", "aborted", "broken", "abandoned", "tries",
                "offered", "earned", "service");
  text += line;
  double offered = 0, earned = 0;
  for (const auto& plan : verdict.plans) {
    offered += plan.offered;
    earned += plan.earned;
    std::snprintf(line, sizeof line,
                  "%-12s %8zu %6zu %6zu %7zu %8zu %7zu %6zu %9zu %6zu %10.1f %10.1f %6.1f%%\n",
                  plan.plan.c_str(), plan.viewers, plan.asked, plan.plays, plan.in_time, plan.rejected,
                  plan.aborted, plan.broken_off, plan.abandoned, plan.tries, plan.offered, plan.earned,
                  plan.offered > 0 ? 100 * plan.earned / plan.offered : 0);
    text += line;
  }
  std::snprintf(line, sizeof line, "%-12s %90s %10.1f %10.1f %6.1f%%\n", "all", "", offered, earned,
                offered > 0 ? 100 * earned / offered : 0);
  text += line;
  for (int rule = 1; rule <= 9; ++rule) {
    const auto count =
        std::count_if(verdict.broken.begin(), verdict.broken.end(), [&](auto& b) { return b.rule == rule; });
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
  std::size_t told = 0;
  for (const auto& broken : verdict.broken) {
    if (++told > 20)
      break;
    text += "  rule " + std::to_string(broken.rule) + ": " + broken.what + "\n";
    for (const auto& record : broken.both)
      text += "      " + text_of(record) + "\n";
  }
  text += std::string("verdict: ") + (verdict.kept() ? "all rules kept" : "RULES BROKEN") + ", " +
          std::to_string(verdict.asks) + " playbacks asked, " + std::to_string(verdict.set_ups) +
          " setup tries, " + std::to_string(verdict.records) + " records\n";
  return text;
}

}  // namespace violettide::audit
