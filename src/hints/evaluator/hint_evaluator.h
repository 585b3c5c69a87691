// Evaluation of hints: turns the shares measured by the relay, the CMSD of boxes and the CMCD of viewers into
// the policy's measurements and load reports. Free of I/O; the caller passes the time.
//
// Trust: the relay's own measurement is taken as it is. Trust in a box starts at `initial_trust`, separately
// for its reported fill and its reported share. It halves with each report that contradicts the relay's
// measurement, and each report that agrees recovers a tenth of what is missing to `initial_trust`. A viewer's
// starvation counts against a box only if another viewer of that box reports the same, or the relay measures
// short delivery, within two intervals; otherwise it is attributed to the viewer's last mile.
#pragma once

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "hints/cmcd.h"
#include "hints/cmsd.h"
#include "policy/policy.h"

namespace violettide::hints {

// An object, or a part of a long one, was relayed to a viewer.
struct ObjectDelivered {
  PlaybackId playback = 0;
  ServerId server = 0;
  // The object's duration over its transfer time, or its rate over the rung's rate; at most 1.
  double share = 1;
  // The viewer's slow reading limited the transfer, which therefore is no evidence about the box.
  bool limited_by_viewer = false;
};
// A box sent CMSD-Dynamic with its response.
struct CmsdReceived {
  ServerId server = 0;
  CmsdDynamic dynamic;
  double rate_kb_per_s = 0;  // of the playback's rung; 0: the response to a probe
};
// A viewer sent CMCD with its request.
struct CmcdReceived {
  PlaybackId playback = 0;
  ServerId server = 0;
  Cmcd cmcd;
  double rate_kb_per_s = 0;  // of the playback's rung
};
// A playback ended; its viewer no longer counts as evidence about any box.
struct PlaybackEnded {
  PlaybackId playback = 0;
};
// Periodic event: emits the measurements that have become due.
struct Tick {};
using Event = std::variant<ObjectDelivered, CmsdReceived, CmcdReceived, PlaybackEnded, Tick>;

// What an event yields for the policy.
struct Evaluation {
  std::vector<Measurement> measurements;
  std::optional<LoadReport> report;  // of the box that sent CMSD, after the plausibility check
  std::optional<PlaybackId>
      last_mile_limited;  // a viewer that starves while no other evidence blames its box
};

// Keeps the measured shares and the trust of every box.
class HintEvaluator {
 public:
  // `interval`: the least time between two measurements of one box, and the decay time of measured shares
  // (at least 100 ms); `rung_kb_per_s`: the rate of each rung, ascending.
  HintEvaluator(Duration interval, std::vector<double> rung_kb_per_s);

  // Applies one event. A `now` before the latest one counts as the latest.
  Evaluation handle(Duration now, const Event& event);

  // The highest rung, from `floor` to `top`, that a viewer can use by its own CMCD: limited by its top
  // bitrate, and by its measured throughput while its buffer runs low.
  int max_rung(const Cmcd& cmcd, int floor, int top, double rate_scale) const;
  // Trust in the fill and in the share that a box reports, 0 to 1.
  double fill_trust(ServerId server) const;
  double share_trust(ServerId server) const;

 private:
  // Exponentially weighted mean of delivered shares.
  struct WeightedMean {
    double mean = 1;
    double weight = 0;
    Duration at{0};  // of the last sample
  };
  struct Box {
    WeightedMean shares;  // measured by the relay, or derived from the CMCD of starving viewers
    double fill_trust = 0;
    double share_trust = 0;
    std::optional<double> reported_share;
    Duration reported_at{0};
    std::map<PlaybackId, Duration> starving;  // playbacks whose viewer starves: time of its last report
    std::map<PlaybackId, Duration> viewers;   // playbacks served by this box: time of the last event
    bool was_short = false;
    Duration last_measurement{0};
    bool has_measurement = false;
  };
  void on(const ObjectDelivered& event, Evaluation& out);
  void on(const CmsdReceived& event, Evaluation& out);
  void on(const CmcdReceived& event, Evaluation& out);
  void on(const PlaybackEnded& event, Evaluation& out);
  void on(const Tick&, Evaluation& out);
  Box& find_or_add_box(ServerId server);
  void add_share(Box& box, double share);
  std::optional<double> measured_share(const Box& box) const;
  double effective_share(const Box& box) const;
  void emit_measurement_if_due(ServerId server, Box& box, Evaluation& out);
  LoadReport check_plausibility(Box& box, const CmsdDynamic& dynamic, double rate_kb_per_s);

  Duration interval_;
  std::vector<double> rung_kb_per_s_;
  Duration now_{0};
  std::map<ServerId, Box> boxes_;
};

}  // namespace violettide::hints
