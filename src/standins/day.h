// A day's script: the deployment, its boxes, its viewers and the troubles that befall them.
#pragma once

#include <string>
#include <vector>

#include "settings/deployment.h"

namespace violettide::standins {

using settings::Duration;

struct BoxTerms {
  std::string name;
  int hall = 0, cell = 0, kind = 0;
  double link_kb = 0;  // true
  double weight = 1;   // as the list tells
};

// Kinds of trouble. Those of bench days are named as there; docs/operate/days.md maps them.
enum class Ill {
  crash,            // the process dies: connections reset, refused until it is back, cold
  vanish,           // the machine goes silent; back cold
  hang,             // takes work, answers nothing
  slow,             // link and set-ups `size` times slower
  ageing,           // slower and slower, then dead, back cold
  neighbour,        // another program takes `size` of the link, seconds on and off
  drain,            // the list says draining; `size` seconds later the process is gone, back cold at the end
  answer_lost,      // a set-up runs, its answer never comes
  false_cmsd,       // the box tells a util of `size` whatever it does
  report_late,      // the box's CMSD is `size` seconds old
  list_late,        // the list is `size` seconds further behind
  list_down,        // the list service answers nothing
  crowd,            // `size` more viewers a second come for one title
  roll,             // managers killed one after another, `size` seconds down
  catalogue_moves,  // `size` times a second a recording moves to another box
  feed_broken,      // the catalogue's feed breaks off, leaves out batches, repeats them, or is refused
  stall,            // managers stand still
  list_behind,      // a box's live playlists end `size` segments early
  list_gaps,        // they lack segments, and number the rest as if those had never been
  issuer_down,      // the issuer's keys can't be had
  list_nonsense,    // a box's playlists are malformed or hostile
};
struct Trouble {
  Ill ill = Ill::crash;
  Duration at{0}, lasts{0};
  std::vector<int> whom;  // boxes or managers, by number
  double size = 0;
};

struct ViewerTerms {
  double per_second = 4;
  Duration least_watch{0}, most_watch{0};
  int titles = 40;
  double zipf = 0.8;
  std::vector<double> plan_shares;
  double hintless = 0;   // part of the viewers that send no CMCD
  double malformed = 0;  // and that send malformed ones
  double small_screens = 0.2;
  double hls = 0;        // part of the viewers that read HLS
  double returns = 0.9;  // chance to come again after a refusal or a break
  Duration rejoin{1'000'000};
  int crowd_title = 0;
};

struct IssuerTerms {
  Duration rotate{5'000'000}, token_life{4'000'000};
  int teams = 3, seats = 10;
  double bad = 0.05;  // part of the viewers whose tokens are forged or expired
};

struct Day {
  settings::Deployment deployment;
  Duration length{0};
  std::uint32_t seed = 1;
  int managers = 3;
  std::vector<BoxTerms> boxes;
  Duration list_lag{1'500'000};
  Duration setup_time{40'000};
  double pace = 1.25;      // an object is sent at so many times its rate
  double live_titles = 0;  // part of the titles that are live, for viewers that read HLS
  double vary = 0.15;      // true rates leave the ladder by so much
  ViewerTerms viewers;
  IssuerTerms issuer;  // where the settings ask for tokens
  std::vector<Trouble> troubles;
};

std::variant<Day, settings::Diagnostics> read_day(const std::string& path,
                                                  const settings::FileReader& files = settings::read_file);
// The deployment alone: a day's file is a settings file too.
std::variant<settings::Deployment, settings::Diagnostics> read_settings(
    const std::string& path, const settings::FileReader& files = settings::read_file);
const char* name_of(Ill ill);
bool holds(const Day& day, const BoxTerms& box, std::string_view title);

}  // namespace violettide::standins
