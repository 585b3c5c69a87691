// Runs one core on a libuv event loop: performs the core's actions on sockets, timers, signals and files,
// and makes no decisions of its own.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "io/io.h"

namespace violettide::runtime {

// An IPv4 address to listen on.
struct ListenAddress {
  std::string address;
  std::uint16_t port = 0;  // 0: any free port
};

// A failure to set up the loop or one of its resources, such as a listening socket.
struct LoopError {
  std::string what;
};

// Durable storage behind the Persist action. Called on a worker thread, one call at a time.
class Storage {
 public:
  virtual ~Storage() = default;
  // Returns an empty string once `bytes` is durable, else the cause of the failure.
  virtual std::string persist(std::uint64_t ticket, const std::string& bytes, bool replaces_all) = 0;
};

// An event loop that runs one core in the calling thread.
class Loop {
 public:
  // Binds all listen addresses; their order gives the core's listener numbers. `log` takes the log lines.
  // WriteFile writes into `folder`; if that is empty, it does nothing. Without `storage`, each Persist
  // succeeds at once and stores nothing. Throws LoopError if an address cannot be bound.
  Loop(Core& core, std::vector<ListenAddress> listen_addresses,
       std::function<void(Duration, const LogLine&)> log, std::string folder, Storage* storage = nullptr);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // The bound port, also where the configured one was 0.
  std::uint16_t port(int listener) const;
  // Delivers the content of `path` as ConfigReloaded on each SIGHUP. Without it, SIGHUP ends the process.
  void reload_on_sighup(std::string path);
  // Returns after StopLoop. SIGINT and SIGTERM are delivered as ShutdownRequested.
  void run();
  // The core's time: microseconds of the machine's monotonic clock since origin_us().
  Duration now() const;
  // The monotonic clock, the same in all processes of a machine.
  static std::uint64_t machine_clock_us();
  // The monotonic clock at the construction of this loop.
  std::uint64_t origin_us() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace violettide::runtime
