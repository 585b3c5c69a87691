// The seat ledger's log on disk: an SQLite table in WAL mode with full synchronization, like the catalogue's.
// At each start it is replaced by the records that still matter.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "entitlement/ledger/ledger.h"
#include "runtime/runtime.h"

namespace violettide::entitlement {

// Constructed before the ledger, which takes its records; then written through runtime::Disk.
class SeatLog : public runtime::Storage {
 public:
  struct Error {
    std::string what;
  };
  // Opens or creates `folder`/seats.db, reads its records and counts a start. Throws Error, also for a
  // damaged record: a damaged log must not be taken for an empty one, since seats that it lists may still be
  // held.
  explicit SeatLog(const std::string& folder);
  ~SeatLog() override;
  const std::vector<Record>& records() const { return records_; }
  std::uint32_t restart() const { return restart_; }  // number of this start, from 1
  // Reads the records without replacing them or counting a start. Throws Error.
  static std::vector<Record> read_records(const std::string& folder);
  // Replaces all records in one transaction. Throws Error.
  void replace_all(const std::vector<Record>& records);
  // Appends records, each preceded by its length in 4 bytes, in one transaction. Returns the cause of a
  // failure.
  std::string persist(std::uint64_t ticket, const std::string& bytes, bool whole) override;

 private:
  class Database;
  std::unique_ptr<Database> database_;
  std::vector<Record> records_;
  std::uint32_t restart_ = 0;
};

}  // namespace violettide::entitlement
