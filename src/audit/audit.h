// Invariant checker for a scenario run. It judges the managers only by what the stand-ins recorded at their
// own sockets, never by what a manager reports about itself.
#pragma once

#include <string>
#include <vector>

#include "standins/day.h"
#include "trace/trace.h"

namespace violettide::audit {

// One violation of a rule.
struct Violation {
  int rule = 0;                        // 1 to 9
  std::uint64_t at_us = 0;             // machine's monotonic clock
  std::string description;             // names the playback's trace id where there is one
  std::vector<trace::Passed> records;  // the records that show it, from either side
};
// Outcomes and revenue of one plan.
struct PlanTotals {
  std::string plan;
  std::size_t viewers = 0, requested = 0, played = 0, rejected = 0, aborted = 0, disconnected = 0,
              abandoned = 0;
  std::size_t within_startup_target = 0;  // of `played`
  std::size_t tries = 0;                  // setup tries that boxes received
  double offered_revenue = 0, earned_revenue = 0;
};
// Result of an audit.
struct Verdict {
  std::vector<Violation> violations;  // by time
  std::vector<PlanTotals> plans;      // in the order of the settings
  std::size_t records = 0, setup_tries = 0, playbacks_requested = 0;
  bool passed() const { return violations.empty(); }
};

// Checks all rules. `records`: those of all processes, in any order.
Verdict check(const standins::Scenario& scenario, std::vector<trace::Passed> records);
// The report for operators: totals per plan, the state of each rule and the first 20 violations.
std::string format_verdict(const Verdict& verdict);
// One record as a line of text, without a line break.
std::string format_record(const trace::Passed& record);

}  // namespace violettide::audit
