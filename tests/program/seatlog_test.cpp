// Tests of the seat log on a real disk: records survive a restart, and a damaged log is never taken for an
// empty one.
#include "entitlement/seatlog/seatlog.h"

#include <gtest/gtest.h>
#include <sqlite3.h>

#include <filesystem>

#include "entitlement/seat_codec/seat_codec.h"

namespace violettide::entitlement {
namespace {

class SeatLogTest : public ::testing::Test {
 protected:
  void SetUp() override {
    auto pattern = (std::filesystem::temp_directory_path() / "violettide-seats-XXXXXX").string();
    folder = mkdtemp(pattern.data());
  }
  void TearDown() override { std::filesystem::remove_all(folder); }
  static std::string batch(const std::vector<Record>& records) {
    std::string bytes;
    for (const auto& record : records) {
      const auto encoded = encode(record);
      for (int shift = 24; shift >= 0; shift -= 8)
        bytes += static_cast<char>(encoded.size() >> shift & 0xff);
      bytes += encoded;
    }
    return bytes;
  }
  void run(const char* sql) const {
    sqlite3* handle = nullptr;
    ASSERT_EQ(sqlite3_open((folder + "/seats.db").c_str(), &handle), SQLITE_OK);
    ASSERT_EQ(sqlite3_exec(handle, sql, nullptr, nullptr, nullptr), SQLITE_OK) << sqlite3_errmsg(handle);
    sqlite3_close(handle);
  }
  std::string folder;
  const Record first{Record::Kind::granted, {"red", "ann/1"}, 2, 77, 5, Duration(10), Duration(100)};
  const Record second{Record::Kind::claimed, {"red", "bob/2"}, 0, 78, 5, Duration(11), Duration(110)};
};

TEST_F(SeatLogTest, RecordsAreRestoredAtTheNextStart) {
  {
    SeatLog log(folder);
    EXPECT_EQ(log.restart(), 1u);
    EXPECT_EQ(log.persist(1, batch({first, second}), false), "");
  }
  SeatLog reopened(folder);
  EXPECT_EQ(reopened.restart(), 2u) << "claim numbers must not repeat across processes";
  ASSERT_EQ(reopened.records().size(), 2u);
  EXPECT_EQ(encode(reopened.records()[0]), encode(first));
  EXPECT_EQ(encode(reopened.records()[1]), encode(second));
  reopened.replace_all({first});
  EXPECT_EQ(SeatLog::read_records(folder).size(), 1u);
}

TEST_F(SeatLogTest, DamagedRecordFailsTheStartAndIsNamed) {
  { EXPECT_EQ(SeatLog(folder).persist(1, batch({first, second}), false), ""); }
  run("UPDATE log SET bytes = zeroblob(length(bytes)) WHERE at = 2");
  try {
    SeatLog damaged(folder);
    FAIL() << "opened a damaged log";
  } catch (const SeatLog::Error& failure) {
    EXPECT_NE(failure.what.find("seats.db: record 2 is damaged"), std::string::npos) << failure.what;
  }
}

TEST_F(SeatLogTest, WriteFailureIsReported) {
  SeatLog log(folder);
  run("DROP TABLE log");
  EXPECT_NE(log.persist(1, batch({first}), false), "");
  EXPECT_THROW(SeatLog("/nonexistent/folder"), SeatLog::Error);
}

}  // namespace
}  // namespace violettide::entitlement
