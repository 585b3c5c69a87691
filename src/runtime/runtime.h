// Drives one core with libuv: the only package that touches sockets, timers, signals and files. What a
// core decides it does; it decides nothing itself.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "io/io.h"

namespace violettide::runtime {

struct ListenAddress {
  std::string address;
  std::uint16_t port = 0;  // 0: any that is free
};

// A door that could not be opened, or a loop that could not be made: says which and why.
struct LoopError {
  std::string what;
};

// Where Persist puts its bytes. Called on a thread of its own, one at a time.
class Storage {
 public:
  virtual ~Storage() = default;
  // On the disk for good when it returns; else why not.
  virtual std::string persist(std::uint64_t ticket, const std::string& bytes, bool whole) = 0;
};

class Loop {
 public:
  // `disk`: without one, Persist is done at once and nothing is kept. `said`: takes the core's log lines.
  // `folder`: where WriteFile puts its files; empty: nowhere. Doors in the core's numbering. Throws
  // LoopError.
  Loop(Core& core, std::vector<ListenAddress> doors, std::function<void(Duration, const LogLine&)> said,
       std::string folder, Storage* disk = nullptr);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  std::uint16_t port(int door) const;  // as bound
  // On SIGHUP the core is told what the file holds; without one, SIGHUP ends the process.
  void reload_on_sighup(std::string path);
  // Until the core leaves. SIGINT and SIGTERM reach it as ShutdownRequested.
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
