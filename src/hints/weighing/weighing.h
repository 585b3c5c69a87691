// What hints are worth: turns what the relay measured, what boxes say of themselves and what viewers feel
// into the module's notes and reports. Free of I/O and clock; one entry point.
//
// Trust, stated: the relay's own measure is taken as it is. A box's word starts at `box_prior` and falls
// by half each time it contradicts the relay's measure, and only for what it contradicted (its fill, or
// its share); it comes back by a tenth of the way for each word that fits. A viewer's word never counts
// against a box alone: another viewer there or the relay must say the same within two spacings; else it
// is taken for that viewer's last mile.
#pragma once

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "hints/cmcd.h"
#include "hints/cmsd.h"
#include "policy/policy.h"

namespace violettide::hints {

// An object passed, or a part of a long one. `share` is its duration over the time that it took, or its
// rate over the rung's, 1 at most. What the viewer itself held up says nothing of the box.
struct Delivered {
  PlaybackId playback = 0;
  ServerId server = 0;
  double share = 1;
  bool held_by_viewer = false;
};
struct BoxSaid {
  ServerId server = 0;
  CmsdDynamic hop;
  double rate_kb = 0;  // of the playback it was said to; 0: to a probe
};
struct ViewerSaid {
  PlaybackId playback = 0;
  ServerId server = 0;
  Cmcd hints;
  double rate_kb = 0;  // of its rung
};
struct PlaybackLeft {
  PlaybackId playback = 0;
};
struct TimePassed {};
using Heard = std::variant<Delivered, BoxSaid, ViewerSaid, PlaybackLeft, TimePassed>;

struct Weighed {
  std::vector<Measurement> notes;
  std::optional<LoadReport> report;     // of the box that spoke
  std::optional<PlaybackId> last_mile;  // a viewer that starves while nobody else does
};

class Weighing {
 public:
  // `spacing`: the time between two notes on one box; `rung_kb`: the ladder.
  Weighing(Duration spacing, std::vector<double> rung_kb);

  Weighed handle(Duration now, const Heard& heard);

  // The highest rung that a viewer can use by its own hints: its top bitrate, and its measured throughput
  // while its buffer runs low; never below `floor`.
  int top_for(const Cmcd& hints, int floor, int top, double rate_scale) const;
  // How far a box's word on its fill, and on its share, is believed, 0 to 1.
  double fill_trust(ServerId server) const;
  double share_trust(ServerId server) const;

 private:
  struct Measure {
    double mean = 1;
    double weight = 0;
    Duration at{0};
  };
  struct Box {
    Measure relay;
    double fill_trust = 0;
    double share_trust = 0;
    std::optional<double> told_share;
    Duration told_at{0};
    std::map<PlaybackId, Duration> starving;  // who felt it, and when last
    std::map<PlaybackId, Duration> seen;      // who had objects from there of late
    bool was_short = false;
    Duration noted{0};
    bool ever_noted = false;
  };
  void on(const Delivered& what, Weighed& out);
  void on(const BoxSaid& what, Weighed& out);
  void on(const ViewerSaid& what, Weighed& out);
  void on(const PlaybackLeft& what, Weighed& out);
  void on(const TimePassed&, Weighed& out);
  Box& box(ServerId server);
  void measure(Box& box, double share);
  std::optional<double> measured(const Box& box) const;
  double share_of(const Box& box) const;
  void note_if_due(ServerId server, Box& box, Weighed& out);
  LoadReport believed(Box& box, const CmsdDynamic& hop, double rate_kb);

  Duration spacing_;
  std::vector<double> rung_kb_;
  Duration now_{0};
  std::map<ServerId, Box> boxes_;
};

}  // namespace violettide::hints
