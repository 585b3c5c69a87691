// A whole path on loopback, measured: viewers' requests straight to a box, through a relay that decides
// nothing, and through the manager. Each part runs a loop in a thread of its own.
#pragma once

#include <cstddef>
#include <string>

namespace violettide::bench {

enum class Way { straight, relay, manager };

struct Measured {
  double per_second = 0;
  double median_us = 0, p99_us = 0;
  double front_cpu_us = 0;  // of the front's thread, for each request
};
// So many requests over so many connections, each connection one playback that asks object after object.
Measured run_path(Way way, std::size_t connections, std::size_t requests, std::size_t object_bytes);

// The time that a set-up takes through the manager's core with so many playbacks open and a catalogue that
// changes so often between set-ups, in microseconds.
struct SetUpTime {
  double median_us = 0, p99_us = 0;
};
SetUpTime set_up_time(std::size_t playbacks, std::size_t set_ups, std::size_t changes_each);

// Bytes of heap for each playback that a manager holds open, over so many.
double bytes_a_playback(std::size_t playbacks);

// Memory, look-up and the cost of a change of a catalogue of so many recordings, and of opening it.
void catalogue_table(std::size_t recordings);

// Playlists: cost of reading and writing, reload storms, memory a session.
void hls_table();

// Seats: tokens judged a second, the ledger beside a central count, its growth and state.
void seats_table();

}  // namespace violettide::bench
