#include "hints/evaluator/hint_evaluator.h"

#include <algorithm>
#include <cmath>

namespace violettide::hints {

namespace {

constexpr double full_share = 0.98;           // delivery below this share is short, as in the policy
constexpr double initial_trust = 0.8;         // trust in a box that has never contradicted the relay
constexpr double contradiction_factor = 0.5;  // multiplies the trust on each contradiction
constexpr double recovery_rate = 0.1;         // part of the missing trust regained by each report that agrees
constexpr double contradiction_tolerance = 0.15;  // share of the link; less is noise in sizes and times
constexpr double min_evidence_weight = 1.5;       // weight of recent deliveries needed to contradict a report
constexpr double min_share_trust = 0.3;           // below this trust a box's reported share is ignored
constexpr double default_starved_share = 0.9;  // share assumed for starving viewers that report no throughput
constexpr double low_buffer_objects = 2;  // buffer length, in objects, below which throughput limits the rung
constexpr double usable_throughput_share = 0.8;  // part of the measured throughput that a rung may use
constexpr double kbit_per_kb = 8;

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

HintEvaluator::HintEvaluator(Duration interval, std::vector<double> rung_kb_per_s)
    : interval_(std::max<Duration>(interval, std::chrono::milliseconds(100))),
      rung_kb_per_s_(std::move(rung_kb_per_s)) {}

Evaluation HintEvaluator::handle(Duration now, const Event& event) {
  now_ = std::max(now_, now);
  Evaluation out;
  std::visit([&](const auto& alternative) { on(alternative, out); }, event);
  return out;
}

HintEvaluator::Box& HintEvaluator::find_or_add_box(ServerId server) {
  const auto [found, inserted] = boxes_.try_emplace(server);
  if (inserted)
    found->second.fill_trust = found->second.share_trust = initial_trust;
  return found->second;
}

void HintEvaluator::add_share(Box& box, double share) {
  const double decayed = box.shares.weight * std::exp(-seconds(now_ - box.shares.at) / seconds(interval_));
  box.shares.weight = decayed + 1;
  box.shares.mean += (std::clamp(share, 0.0, 1.0) - box.shares.mean) / box.shares.weight;
  box.shares.at = now_;
}

// Mean share of recent deliveries; absent when none came within two intervals.
std::optional<double> HintEvaluator::measured_share(const Box& box) const {
  if (box.shares.weight == 0 || now_ - box.shares.at > 2 * interval_)
    return std::nullopt;
  return box.shares.mean;
}

void HintEvaluator::on(const ObjectDelivered& event, Evaluation& out) {
  auto& box = find_or_add_box(event.server);
  box.viewers[event.playback] = now_;
  // Guards against taking a viewer that reads slowly for a box that sends slowly.
  if (event.limited_by_viewer)
    return;
  add_share(box, event.share);
  emit_measurement_if_due(event.server, box, out);
}

void HintEvaluator::on(const CmsdReceived& event, Evaluation& out) {
  auto& box = find_or_add_box(event.server);
  out.report = check_plausibility(box, event.dynamic, event.rate_kb_per_s);
  if (event.dynamic.share) {
    box.reported_share = std::clamp(*event.dynamic.share, 0.0, 1.0);
    box.reported_at = now_;
    if (const auto measured = measured_share(box); measured && box.shares.weight >= min_evidence_weight) {
      const bool contradicts = std::abs(*box.reported_share - *measured) > contradiction_tolerance;
      box.share_trust = contradicts ? box.share_trust * contradiction_factor
                                    : box.share_trust + recovery_rate * (initial_trust - box.share_trust);
    }
  }
  emit_measurement_if_due(event.server, box, out);
}

// Converts a box's CMSD to a load report. A reported fill that measured deliveries contradict is averaged
// with the fill that they indicate, weighted by the trust in the box.
LoadReport HintEvaluator::check_plausibility(Box& box, const CmsdDynamic& dynamic, double rate_kb_per_s) {
  LoadReport report;
  if (dynamic.streams)
    report.streams = static_cast<double>(*dynamic.streams);
  report.uplink_fill = dynamic.uplink;
  const auto measured = measured_share(box);
  const bool has_evidence = measured && box.shares.weight >= min_evidence_weight;
  std::optional<double> reported_fill = dynamic.util;
  // Without a reported fill, duress or an estimated throughput below the rung's rate counts as a full link.
  const bool low_throughput =
      rate_kb_per_s > 0 && dynamic.estimated_throughput &&
      static_cast<double>(*dynamic.estimated_throughput) < kbit_per_kb * rate_kb_per_s;
  if (!reported_fill && (dynamic.duress || low_throughput))
    reported_fill = 1;
  if (!reported_fill) {
    if (has_evidence && *measured < full_share)
      report.link_fill = 1 / std::max(0.05, *measured);
    return report;
  }
  if (!has_evidence) {
    report.link_fill = reported_fill;
    return report;
  }
  // A short share means that demand exceeds the capacity; a full share means that it does not.
  const bool delivers_short = *measured < full_share;
  const double observed_fill = delivers_short ? 1 / std::max(0.05, *measured) : std::min(*reported_fill, 1.0);
  const bool contradicts = delivers_short ? *reported_fill < observed_fill - contradiction_tolerance
                                          : *reported_fill > observed_fill + contradiction_tolerance;
  if (!contradicts) {
    box.fill_trust += recovery_rate * (initial_trust - box.fill_trust);
    report.link_fill = reported_fill;
    return report;
  }
  box.fill_trust *= contradiction_factor;
  report.link_fill = box.fill_trust * *reported_fill + (1 - box.fill_trust) * observed_fill;
  return report;
}

void HintEvaluator::on(const CmcdReceived& event, Evaluation& out) {
  auto& box = find_or_add_box(event.server);
  box.viewers[event.playback] = now_;
  if (!event.cmcd.buffer_starved) {
    box.starving.erase(event.playback);
    return;
  }
  box.starving[event.playback] = now_;
  std::erase_if(box.starving, [&](const auto& entry) { return now_ - entry.second > 2 * interval_; });
  const auto measured = measured_share(box);
  const bool relay_agrees = measured && *measured < full_share;
  // Guards against blaming a box for a viewer's last mile: a single viewer starves while the relay measures
  // full shares. It misjudges a box that fails just one viewer; the shares of that viewer's next objects
  // reveal this.
  if (box.starving.size() < 2 && !relay_agrees) {
    out.last_mile_limited = event.playback;
    return;
  }
  // Two starving viewers among many are chance; at least a fifth of the box's recent viewers must starve.
  std::erase_if(box.viewers, [&](const auto& entry) { return now_ - entry.second > 4 * interval_; });
  if (!relay_agrees && 5 * box.starving.size() < box.viewers.size()) {
    out.last_mile_limited = event.playback;
    return;
  }
  double share = default_starved_share;
  if (event.cmcd.measured_throughput && event.rate_kb_per_s > 0) {
    const double delivered =
        static_cast<double>(*event.cmcd.measured_throughput) / (kbit_per_kb * event.rate_kb_per_s);
    share = std::clamp(delivered, 0.5, full_share - 0.01);
  }
  if (!relay_agrees)
    add_share(box, share);
  emit_measurement_if_due(event.server, box, out);
}

void HintEvaluator::on(const PlaybackEnded& event, Evaluation&) {
  for (auto& [server, box] : boxes_) {
    box.starving.erase(event.playback);
    box.viewers.erase(event.playback);
  }
}

void HintEvaluator::on(const Tick&, Evaluation& out) {
  for (auto& [server, box] : boxes_)
    emit_measurement_if_due(server, box, out);
}

// The relay's measured share, or else the box's reported share weighted by its trust; 1 without either.
double HintEvaluator::effective_share(const Box& box) const {
  if (const auto measured = measured_share(box))
    return *measured;
  if (box.reported_share && now_ - box.reported_at <= 2 * interval_ && box.share_trust >= min_share_trust)
    return box.share_trust * *box.reported_share + (1 - box.share_trust);
  return 1;
}

// Emits at most one share measurement per interval while delivery is short, and one more once it is full
// again, as servers do in their own reports.
void HintEvaluator::emit_measurement_if_due(ServerId server, Box& box, Evaluation& out) {
  if (box.has_measurement && now_ - box.last_measurement < interval_)
    return;
  const double share = effective_share(box);
  const bool is_short = share < full_share;
  if (!is_short && !box.was_short)
    return;
  if (box.viewers.empty())
    return;  // the policy takes a share measurement only with a playback
  out.measurements.push_back(
      Measurement{box.viewers.begin()->first, server, Measurement::Kind::share, is_short ? share : 1.0});
  box.was_short = is_short;
  box.last_measurement = now_;
  box.has_measurement = true;
}

int HintEvaluator::max_rung(const Cmcd& cmcd, int floor, int top, double rate_scale) const {
  const int last = static_cast<int>(rung_kb_per_s_.size()) - 1;
  int best = std::clamp(top, floor, std::max(floor, last));
  const auto fits = [&](int rung, double kbit) {
    return rung_kb_per_s_[rung] * rate_scale * kbit_per_kb <= kbit;
  };
  if (cmcd.top_bitrate) {
    while (best > floor && !fits(best, static_cast<double>(*cmcd.top_bitrate)))
      --best;
  }
  const bool low = cmcd.buffer_length && cmcd.object_duration &&
                   static_cast<double>(*cmcd.buffer_length) <
                       low_buffer_objects * static_cast<double>(*cmcd.object_duration);
  if (low && cmcd.measured_throughput && *cmcd.measured_throughput > 0) {
    const double usable = usable_throughput_share * static_cast<double>(*cmcd.measured_throughput);
    while (best > floor && !fits(best, usable))
      --best;
  }
  return best;
}

double HintEvaluator::fill_trust(ServerId server) const {
  const auto found = boxes_.find(server);
  return found == boxes_.end() ? initial_trust : found->second.fill_trust;
}
double HintEvaluator::share_trust(ServerId server) const {
  const auto found = boxes_.find(server);
  return found == boxes_.end() ? initial_trust : found->second.share_trust;
}

}  // namespace violettide::hints
