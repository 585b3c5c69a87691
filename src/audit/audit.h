// Checks the six rules from what passed on the stand-ins' sockets alone, never from a manager's own word.
#pragma once

#include <string>
#include <vector>

#include "standins/day.h"
#include "trace/trace.h"

namespace violettide::audit {

struct Broken {
  int rule = 0;
  std::uint64_t at_us = 0;
  std::string what;                 // in words, with the playback's trace
  std::vector<trace::Passed> both;  // what either side recorded of it
};
struct PlanSums {
  std::string plan;
  std::size_t viewers = 0, asked = 0, plays = 0, rejected = 0, aborted = 0, broken_off = 0, abandoned = 0;
  std::size_t in_time = 0;  // plays answered within the startup target
  std::size_t tries = 0;
  double offered = 0, earned = 0;
};
struct Verdict {
  std::vector<Broken> broken;
  std::vector<PlanSums> plans;
  std::size_t records = 0, set_ups = 0, asks = 0;
  bool kept() const { return broken.empty(); }
};

// `records` of all processes, in any order.
Verdict check(const standins::Day& day, std::vector<trace::Passed> records);
std::string table(const Verdict& verdict);
std::string text_of(const trace::Passed& record);

}  // namespace violettide::audit
