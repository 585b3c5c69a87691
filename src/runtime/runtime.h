// Drives one core with libuv: the only package that touches sockets, timers, signals and files. What a
// core decides it does; it decides nothing itself.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "seams/seams.h"

namespace violettide::runtime {

struct Listening {
  std::string address;
  std::uint16_t port = 0;  // 0: any that is free
};

// A door that could not be opened, or a loop that could not be made: says which and why.
struct Failed {
  std::string what;
};

// Where Keep puts its bytes. Called on a thread of its own, one at a time.
class Disk {
 public:
  virtual ~Disk() = default;
  // On the disk for good when it returns; else why not.
  virtual std::string keep(std::uint64_t ticket, const std::string& bytes, bool whole) = 0;
};

class Loop {
 public:
  // `disk`: without one, Keep is done at once and nothing is kept. `said`: takes the core's log lines.
  // `folder`: where Store puts its files; empty: nowhere. Doors in the core's numbering. Throws Failed.
  Loop(Core& core, std::vector<Listening> doors, std::function<void(Duration, const Say&)> said,
       std::string folder, Disk* disk = nullptr);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  std::uint16_t port(int door) const;  // as bound
  // On SIGHUP the core is told what the file holds; without one, SIGHUP ends the process.
  void reread(std::string path);
  // Until the core leaves. SIGINT and SIGTERM reach it as StopAsked.
  void run();
  // The time that the core is given: microseconds of the machine's monotonic clock since `origin`.
  Duration now() const;
  static std::uint64_t machine_clock_us();  // the same in all processes of a machine
  std::uint64_t origin_us() const;

 private:
  class Inside;
  std::unique_ptr<Inside> inside_;
};

}  // namespace violettide::runtime
