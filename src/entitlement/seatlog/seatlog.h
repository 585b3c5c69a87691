// A manager's seat ledger on the disk: a sqlite log in WAL with full sync, as the catalogue's, begun anew
// from what still matters at each start.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "entitlement/ledger/ledger.h"
#include "runtime/runtime.h"

namespace violettide::entitlement {

class SeatLog : public runtime::Storage {
 public:
  struct Unusable {
    std::string what;
  };
  // Opens or makes `folder`/seats.db. Throws Unusable; a damaged log is never taken for an empty one.
  explicit SeatLog(const std::string& folder);
  ~SeatLog() override;
  const std::vector<Record>& records() const { return records_; }
  std::uint32_t restart() const { return restart_; }  // of this process: one more than the last
  // Reads alone; the log is neither begun anew nor counted as a start. Throws Unusable.
  static std::vector<Record> look(const std::string& folder);
  // In place of all records, once a ledger was made of them.
  void begin_with(const std::vector<Record>& records);
  std::string persist(std::uint64_t ticket, const std::string& bytes, bool whole) override;

 private:
  class Database;
  std::unique_ptr<Database> database_;
  std::vector<Record> records_;
  std::uint32_t restart_ = 0;
};

}  // namespace violettide::entitlement
