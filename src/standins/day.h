// Scenario scripts ("days"): the deployment under test, its boxes, the viewer workload and the fault
// schedule.
#pragma once

#include <string>
#include <vector>

#include "settings/deployment.h"

namespace violettide::standins {

using settings::Duration;

// One simulated video server.
struct BoxSettings {
  std::string name;
  int hall = 0;
  int cell = 0;
  int kind = 0;
  double link_kb = 0;  // actual link capacity, kB/s
  double weight = 1;   // as reported in the server list
};

// Kinds of injected fault. Those that benchmark days also have use the same names; docs/operate/days.md maps
// them. `magnitude` is the field of Fault.
enum class FaultKind {
  crash,            // the process exits: connections are reset, then refused until it restarts cold
  vanish,           // the machine stops responding, without resets, and later restarts cold
  hang,             // accepts requests but never answers
  slow,             // link and setups are `magnitude` times slower
  ageing,           // gradually slower, then exits, and restarts cold
  neighbour,        // another program takes the share `magnitude` of the link, on and off every few seconds
  drain,            // listed as draining; exits `magnitude` seconds later and restarts cold at the end
  answer_lost,      // setups are executed but never answered
  false_cmsd,       // reports a utilization of `magnitude` in CMSD, whatever the load
  report_late,      // stops updating the utilization in its CMSD
  list_late,        // the list lags `magnitude` seconds more
  list_down,        // the list service doesn't answer
  crowd,            // `magnitude` more viewers per second, all for one title
  roll,             // managers are killed one after another and restarted `magnitude` seconds later
  catalogue_moves,  // `magnitude` recordings per second move to another box
  feed_broken,      // the catalogue feed closes, skips batches, repeats them, truncates them or answers 503
  stall,            // managers are suspended
  list_behind,      // a box's live playlists end `magnitude` segments early
  list_gaps,        // live playlists lack segments and number the others without counting those
  issuer_down,      // the issuer doesn't serve its keys
  list_nonsense,    // a box's playlists are malformed or hostile
};
// One entry of the fault schedule.
struct Fault {
  FaultKind kind = FaultKind::crash;
  Duration start{0};  // scenario time
  Duration duration{0};
  std::vector<int> targets;  // indices of boxes or managers
  double magnitude = 0;      // meaning and unit depend on the kind
};

// The viewer workload: arrival process, popularity and behaviour. Shares are 0 to 1.
struct WorkloadSettings {
  double arrivals_per_second = 4;  // Poisson
  Duration min_watch_time{0};
  Duration max_watch_time{0};
  int title_count = 40;
  double zipf_exponent = 0.8;  // of title popularity
  std::vector<double> plan_shares;
  double no_hints_share = 0;         // viewers that send no CMCD
  double malformed_hints_share = 0;  // viewers that send malformed CMCD
  double small_screen_share = 0.2;
  double hls_share = 0;             // viewers that play by HLS
  double return_probability = 0.9;  // of another request after a rejection or a broken connection
  Duration rejoin_delay{1'000'000};
  int crowd_title = 0;  // index of the title that a `crowd` fault requests
};

// The token issuer.
struct IssuerSettings {
  Duration rotation_interval{5'000'000};
  Duration token_lifetime{4'000'000};
  int team_count = 3;
  int seats_per_team = 10;
  double invalid_token_share = 0.05;  // viewers whose tokens are forged or expired
};

// A whole scenario.
struct Scenario {
  settings::Deployment deployment;
  Duration duration{0};
  std::uint32_t seed = 1;
  int manager_count = 3;
  std::vector<BoxSettings> boxes;
  Duration list_delay{1'500'000};  // until the list shows a change
  Duration setup_time{40'000};
  double pacing_factor = 1.25;   // objects are sent at this multiple of their rate
  double live_title_share = 0;   // titles that are live, for viewers that play by HLS
  double rate_variation = 0.15;  // largest relative deviation of an object's rate from the ladder
  WorkloadSettings workload;
  IssuerSettings issuer;  // used where the settings require tokens
  std::vector<Fault> faults;
};

// Reads a scenario script, or gives every mistake in it.
std::variant<Scenario, settings::Diagnostics> read_scenario(
    const std::string& path, const settings::FileReader& files = settings::read_file);
// Reads the deployment alone, since a scenario script is also a settings script.
std::variant<settings::Deployment, settings::Diagnostics> read_settings(
    const std::string& path, const settings::FileReader& files = settings::read_file);
// The kind's name in scripts.
const char* fault_name(FaultKind kind);
// True if the settings place the title on the box's cell.
bool is_holder(const Scenario& scenario, const BoxSettings& box, std::string_view title);

}  // namespace violettide::standins
