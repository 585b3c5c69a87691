#include "entitlement/seatlog/seatlog.h"

#include <sqlite3.h>
#include <xxhash.h>

#include "entitlement/seat_codec/seat_codec.h"

namespace violettide::entitlement {

class SeatLog::Database {
 public:
  explicit Database(const std::string& path) : path_(path) {
    if (sqlite3_open(path.c_str(), &handle_) != SQLITE_OK)
      fail("open");
    run("PRAGMA journal_mode=WAL");
    run("PRAGMA synchronous=FULL");
    run("CREATE TABLE IF NOT EXISTS log(at INTEGER PRIMARY KEY, bytes BLOB NOT NULL, sum INTEGER NOT NULL)");
    run("CREATE TABLE IF NOT EXISTS starts(number INTEGER PRIMARY KEY)");
  }
  ~Database() {
    if (append_)
      sqlite3_finalize(append_);
    sqlite3_close(handle_);
  }
  void run(const char* sql) {
    if (sqlite3_exec(handle_, sql, nullptr, nullptr, nullptr) != SQLITE_OK)
      fail(sql);
  }
  // Counts a start and returns its number.
  std::uint32_t start() {
    run("INSERT INTO starts SELECT coalesce(max(number), 0) + 1 FROM starts");
    sqlite3_stmt* query = nullptr;
    sqlite3_prepare_v2(handle_, "SELECT max(number) FROM starts", -1, &query, nullptr);
    if (sqlite3_step(query) != SQLITE_ROW)
      fail("read the number of starts");
    const auto number = static_cast<std::uint32_t>(sqlite3_column_int64(query, 0));
    sqlite3_finalize(query);
    return number;
  }
  std::vector<Record> read_all() {
    std::vector<Record> records;
    sqlite3_stmt* query = nullptr;
    if (sqlite3_prepare_v2(handle_, "SELECT at, bytes, sum FROM log ORDER BY at", -1, &query, nullptr) !=
        SQLITE_OK)
      fail("read");
    int code = 0;
    while ((code = sqlite3_step(query)) == SQLITE_ROW) {
      const std::string_view bytes(static_cast<const char*>(sqlite3_column_blob(query, 1)),
                                   static_cast<std::size_t>(sqlite3_column_bytes(query, 1)));
      const auto sum = static_cast<sqlite3_int64>(XXH3_64bits(bytes.data(), bytes.size()));
      const auto record = decode_record(bytes);
      if (sum != sqlite3_column_int64(query, 2) || !record) {
        const auto at = std::to_string(sqlite3_column_int64(query, 0));
        sqlite3_finalize(query);
        throw Error{path_ + ": record " + at + " is damaged; the seat that it describes may still be held"};
      }
      records.push_back(*record);
    }
    sqlite3_finalize(query);
    if (code != SQLITE_DONE)
      fail("read");
    return records;
  }
  // Returns the cause of a failure, empty on success.
  std::string append(std::string_view bytes) {
    if (!append_ && sqlite3_prepare_v2(handle_, "INSERT INTO log(bytes, sum) VALUES(?, ?)", -1, &append_,
                                       nullptr) != SQLITE_OK)
      return sqlite3_errmsg(handle_);
    sqlite3_bind_blob(append_, 1, bytes.data(), static_cast<int>(bytes.size()), SQLITE_STATIC);
    sqlite3_bind_int64(append_, 2, static_cast<sqlite3_int64>(XXH3_64bits(bytes.data(), bytes.size())));
    const int code = sqlite3_step(append_);
    sqlite3_reset(append_);
    return code == SQLITE_DONE ? "" : sqlite3_errmsg(handle_);
  }

 private:
  [[noreturn]] void fail(const std::string& what) {
    throw Error{path_ + ": " + what + ": " + (handle_ ? sqlite3_errmsg(handle_) : "out of memory")};
  }
  std::string path_;
  sqlite3* handle_ = nullptr;
  sqlite3_stmt* append_ = nullptr;
};

SeatLog::SeatLog(const std::string& folder) : database_(std::make_unique<Database>(folder + "/seats.db")) {
  records_ = database_->read_all();
  restart_ = database_->start();
}
SeatLog::~SeatLog() = default;

std::vector<Record> SeatLog::read_records(const std::string& folder) {
  return Database(folder + "/seats.db").read_all();
}

void SeatLog::replace_all(const std::vector<Record>& records) {
  database_->run("BEGIN IMMEDIATE");
  database_->run("DELETE FROM log");
  for (const auto& record : records) {
    if (const auto failed = database_->append(encode(record)); !failed.empty()) {
      database_->run("ROLLBACK");
      throw Error{"seats.db: " + failed};
    }
  }
  database_->run("COMMIT");
  records_.clear();
}

// `bytes` holds the records of one event of the ledger: all of them are committed, or none.
std::string SeatLog::persist(std::uint64_t, const std::string& bytes, bool) {
  try {
    database_->run("BEGIN IMMEDIATE");
    std::string failed;
    for (std::size_t at = 0; at + 4 <= bytes.size() && failed.empty();) {
      std::size_t size = 0;
      for (int i = 0; i < 4; ++i)
        size = size << 8 | static_cast<unsigned char>(bytes[at++]);
      failed = database_->append(std::string_view(bytes).substr(at, size));
      at += size;
    }
    database_->run(failed.empty() ? "COMMIT" : "ROLLBACK");
    return failed;
  } catch (const Error& unusable) {
    return unusable.what;
  }
}

}  // namespace violettide::entitlement
