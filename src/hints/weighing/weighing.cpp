#include <algorithm>
#include <cmath>

#include "hints/evaluator/hint_evaluator.h"

namespace violettide::hints {

namespace {

constexpr double full_share = 0.98;        // as the module reads shares
constexpr double box_prior = 0.8;          // trust in a box that was never seen to contradict
constexpr double trust_kept = 0.5;         // after a contradiction
constexpr double trust_regained = 0.1;     // of the way back, for each word that fits
constexpr double contradiction = 0.15;     // of the link: less is noise in sizes and times
constexpr double enough_weight = 1.5;      // deliveries of late, before a measure speaks against a box
constexpr double believed_least = 0.3;     // below this trust a box's share is not passed on at all
constexpr double starved_share = 0.9;      // what starving viewers count as where nothing tells how much
constexpr double low_buffer_objects = 2;   // a buffer under so many objects makes a viewer's throughput count
constexpr double usable_throughput = 0.8;  // part of a measured throughput that a rung may ask
constexpr double kbit_per_kb = 8;

double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

Weighing::Weighing(Duration spacing, std::vector<double> rung_kb)
    : spacing_(std::max<Duration>(spacing, std::chrono::milliseconds(100))), rung_kb_(std::move(rung_kb)) {}

Weighed Weighing::handle(Duration now, const Heard& heard) {
  now_ = std::max(now_, now);
  Weighed out;
  std::visit([&](const auto& what) { on(what, out); }, heard);
  return out;
}

Weighing::Box& Weighing::box(ServerId server) {
  const auto [found, fresh] = boxes_.try_emplace(server);
  if (fresh)
    found->second.fill_trust = found->second.share_trust = box_prior;
  return found->second;
}

void Weighing::measure(Box& box, double share) {
  const double kept = box.relay.weight * std::exp(-seconds(now_ - box.relay.at) / seconds(spacing_));
  box.relay.weight = kept + 1;
  box.relay.mean += (std::clamp(share, 0.0, 1.0) - box.relay.mean) / box.relay.weight;
  box.relay.at = now_;
}

// What the relay measured there of late; absent after two silent spacings.
std::optional<double> Weighing::measured(const Box& box) const {
  if (box.relay.weight == 0 || now_ - box.relay.at > 2 * spacing_)
    return std::nullopt;
  return box.relay.mean;
}

void Weighing::on(const Delivered& what, Weighed& out) {
  auto& from = box(what.server);
  from.seen[what.playback] = now_;
  // Guards against a viewer that reads slowly passing for a box that sends slowly.
  if (what.held_by_viewer)
    return;
  measure(from, what.share);
  note_if_due(what.server, from, out);
}

void Weighing::on(const BoxSaid& what, Weighed& out) {
  auto& from = box(what.server);
  out.report = believed(from, what.hop, what.rate_kb);
  if (what.hop.share) {
    from.told_share = std::clamp(*what.hop.share, 0.0, 1.0);
    from.told_at = now_;
    if (const auto seen = measured(from); seen && from.relay.weight >= enough_weight) {
      const bool contradicts = std::abs(*from.told_share - *seen) > contradiction;
      from.share_trust = contradicts ? from.share_trust * trust_kept
                                     : from.share_trust + trust_regained * (box_prior - from.share_trust);
    }
  }
  note_if_due(what.server, from, out);
}

// A box's fill, drawn towards what deliveries prove wherever the two contradict.
LoadReport Weighing::believed(Box& box, const CmsdDynamic& hop, double rate_kb) {
  LoadReport report;
  if (hop.streams)
    report.streams = static_cast<double>(*hop.streams);
  report.uplink_fill = hop.uplink;
  const auto seen = measured(box);
  const bool proven = seen && box.relay.weight >= enough_weight;
  std::optional<double> told = hop.util;
  // Duress, or throughput under the rung's rate, say 'full' where no figure is told.
  const bool thin = rate_kb > 0 && hop.estimated_throughput &&
                    static_cast<double>(*hop.estimated_throughput) < kbit_per_kb * rate_kb;
  if (!told && (hop.duress || thin))
    told = 1;
  if (!told) {
    if (proven && *seen < full_share)
      report.link_fill = 1 / std::max(0.05, *seen);
    return report;
  }
  if (!proven) {
    report.link_fill = told;
    return report;
  }
  // Short deliveries prove that more is asked than given; full ones that no more is.
  const bool short_of_it = *seen < full_share;
  const double proof = short_of_it ? 1 / std::max(0.05, *seen) : std::min(*told, 1.0);
  const bool contradicts = short_of_it ? *told < proof - contradiction : *told > proof + contradiction;
  if (!contradicts) {
    box.fill_trust += trust_regained * (box_prior - box.fill_trust);
    report.link_fill = told;
    return report;
  }
  box.fill_trust *= trust_kept;
  report.link_fill = box.fill_trust * *told + (1 - box.fill_trust) * proof;
  return report;
}

void Weighing::on(const ViewerSaid& what, Weighed& out) {
  auto& from = box(what.server);
  from.seen[what.playback] = now_;
  if (!what.hints.buffer_starved) {
    from.starving.erase(what.playback);
    return;
  }
  from.starving[what.playback] = now_;
  std::erase_if(from.starving, [&](const auto& entry) { return now_ - entry.second > 2 * spacing_; });
  const auto seen = measured(from);
  const bool relay_agrees = seen && *seen < full_share;
  // Guards against blaming a box for a viewer's own line: one that starves alone while the relay measures
  // full shares. Does harm where a box fails one single viewer, which its next objects then show.
  if (from.starving.size() < 2 && !relay_agrees) {
    out.last_mile = what.playback;
    return;
  }
  // Two viewers of many are chance; a fifth of those seen there is the box.
  std::erase_if(from.seen, [&](const auto& entry) { return now_ - entry.second > 4 * spacing_; });
  if (!relay_agrees && 5 * from.starving.size() < from.seen.size()) {
    out.last_mile = what.playback;
    return;
  }
  double share = starved_share;
  if (what.hints.measured_throughput && what.rate_kb > 0) {
    const double got = static_cast<double>(*what.hints.measured_throughput) / (kbit_per_kb * what.rate_kb);
    share = std::clamp(got, 0.5, full_share - 0.01);
  }
  if (!relay_agrees)
    measure(from, share);
  note_if_due(what.server, from, out);
}

void Weighing::on(const PlaybackLeft& what, Weighed&) {
  for (auto& [server, box] : boxes_) {
    box.starving.erase(what.playback);
    box.seen.erase(what.playback);
  }
}

void Weighing::on(const TimePassed&, Weighed& out) {
  for (auto& [server, box] : boxes_)
    note_if_due(server, box, out);
}

// The relay's own measure, or else the box's word as far as it is trusted.
double Weighing::share_of(const Box& box) const {
  if (const auto seen = measured(box))
    return *seen;
  if (box.told_share && now_ - box.told_at <= 2 * spacing_ && box.share_trust >= believed_least)
    return box.share_trust * *box.told_share + (1 - box.share_trust);
  return 1;
}

// As servers' own notes do: one a spacing while short, and one more when full again.
void Weighing::note_if_due(ServerId server, Box& box, Weighed& out) {
  if (box.ever_noted && now_ - box.noted < spacing_)
    return;
  const double share = share_of(box);
  const bool is_short = share < full_share;
  if (!is_short && !box.was_short)
    return;
  if (box.seen.empty())
    return;  // a note is heard on a playback
  out.notes.push_back(
      Measurement{box.seen.begin()->first, server, Measurement::Kind::share, is_short ? share : 1.0});
  box.was_short = is_short;
  box.noted = now_;
  box.ever_noted = true;
}

int Weighing::top_for(const Cmcd& hints, int floor, int top, double rate_scale) const {
  const int last = static_cast<int>(rung_kb_.size()) - 1;
  int best = std::clamp(top, floor, std::max(floor, last));
  const auto fits = [&](int rung, double kbit) { return rung_kb_[rung] * rate_scale * kbit_per_kb <= kbit; };
  if (hints.top_bitrate) {
    while (best > floor && !fits(best, static_cast<double>(*hints.top_bitrate)))
      --best;
  }
  const bool low = hints.buffer_length && hints.object_duration &&
                   static_cast<double>(*hints.buffer_length) <
                       low_buffer_objects * static_cast<double>(*hints.object_duration);
  if (low && hints.measured_throughput && *hints.measured_throughput > 0) {
    const double usable = usable_throughput * static_cast<double>(*hints.measured_throughput);
    while (best > floor && !fits(best, usable))
      --best;
  }
  return best;
}

double Weighing::fill_trust(ServerId server) const {
  const auto found = boxes_.find(server);
  return found == boxes_.end() ? box_prior : found->second.fill_trust;
}
double Weighing::share_trust(ServerId server) const {
  const auto found = boxes_.find(server);
  return found == boxes_.end() ? box_prior : found->second.share_trust;
}

}  // namespace violettide::hints
