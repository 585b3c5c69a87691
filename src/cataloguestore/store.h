// The catalogue on the disk: a log of batches and now and then a snapshot, in sqlite, each row with a
// checksum; and beside it the last snapshot as a file of its own, for when the database is damaged.
#pragma once

#include <memory>
#include <string>

#include "catalogue/replica.h"
#include "runtime/runtime.h"

namespace violettide::cataloguestore {

struct Unusable {
  std::string what;  // the file and why it can't be read or written at all
};

// What was found at the start.
struct Found {
  catalogue::Revision revision = 0;
  bool damaged = false;
  std::string told;  // what was damaged, what is missing, where it was put aside
};

class Store : public runtime::Disk {
 public:
  // Opens or makes `folder`/catalogue.db. Throws Unusable.
  Store(const std::string& folder, std::size_t snapshot_every = 1000);
  ~Store() override;
  // Hands the kept catalogue to a keeper. A damaged store goes back to its last good state, is put aside and
  // begun anew from there; what is missing is told.
  Found restore_to(catalogue::Replica& keeper);
  std::string keep(std::uint64_t revision, const std::string& changes, bool whole) override;

 private:
  class Database;
  std::string folder_;
  std::size_t snapshot_every_, since_snapshot_ = 0;
  std::unique_ptr<Database> database_;
};

// A snapshot as a file: zstd of a line for each recording, and a checksum over all.
std::string write_snapshot(const std::string& path,
                           const catalogue::Snapshot& snapshot);  // why not; empty: done
struct ReadSnapshot {
  catalogue::Revision revision = 0;
  std::vector<catalogue::Recording> recordings;
  std::string fault;  // empty: whole
};
ReadSnapshot read_snapshot(const std::string& path);

}  // namespace violettide::cataloguestore
