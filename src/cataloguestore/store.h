// The catalogue on the disk. Batches go into a log in SQLite, each row with a checksum. Beside the database
// lies the last snapshot as a file of its own, from which the catalogue is restored if the database is
// damaged.
#pragma once

#include <memory>
#include <string>

#include "catalogue/replica.h"
#include "runtime/runtime.h"

namespace violettide::cataloguestore {

// Thrown if the store can't be opened or repaired.
struct StoreError {
  std::string what;  // the file and the cause
};

struct RestoreResult {
  catalogue::Revision revision = 0;
  bool damaged = false;
  std::string damage_report;  // what was damaged, what is missing, and where the damaged files are now
};

class Store : public runtime::Storage {
 public:
  // Opens or creates `folder`/catalogue.db. A restore that finds `snapshot_every` batches in the log replaces
  // them by a snapshot file; as many writes apart, the write-ahead log is checkpointed. Throws StoreError.
  Store(const std::string& folder, std::size_t snapshot_every = 1000);
  ~Store() override;
  // Loads the stored catalogue into a replica: the snapshot file, then the batches of the log. If either is
  // damaged, restores the last consistent state, quarantines the database, starts a new one from that state
  // and reports what is missing. Throws StoreError.
  RestoreResult restore(catalogue::Replica& replica);
  // Appends a batch to the log; with `whole`, in place of all earlier ones. Durable on return. Returns the
  // cause of a failure; empty: none.
  std::string persist(std::uint64_t revision, const std::string& changes, bool whole) override;

 private:
  class Database;
  std::string folder_;
  std::size_t snapshot_every_;
  std::size_t writes_since_checkpoint_ = 0;
  std::unique_ptr<Database> database_;
};

// Replaces a snapshot file atomically: a zstd frame of a header, one line of JSON for each recording, and a
// checksum. Returns the cause of a failure; empty: none.
std::string write_snapshot(const std::string& path, const catalogue::Snapshot& snapshot);
struct LoadedSnapshot {
  catalogue::Revision revision = 0;
  std::vector<catalogue::Recording> recordings;
  std::string error;  // why it can't be used; empty: it is complete
};
LoadedSnapshot read_snapshot(const std::string& path);

}  // namespace violettide::cataloguestore
