// The seat log on a real disk: what is kept is there again, and damage is never taken for an empty book.
#include "entitlement/seatlog/seatlog.h"

#include <gtest/gtest.h>
#include <sqlite3.h>

#include <filesystem>

#include "entitlement/words/words.h"

namespace violettide::entitlement {
namespace {

class Logged : public ::testing::Test {
 protected:
  void SetUp() override {
    auto pattern = (std::filesystem::temp_directory_path() / "violettide-seats-XXXXXX").string();
    folder = mkdtemp(pattern.data());
  }
  void TearDown() override { std::filesystem::remove_all(folder); }
  static std::string batch(const std::vector<Record>& records) {
    std::string bytes;
    for (const auto& record : records) {
      const auto one = bytes_of(record);
      for (int shift = 24; shift >= 0; shift -= 8)
        bytes += static_cast<char>(one.size() >> shift & 0xff);
      bytes += one;
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
  const Record first{Record::Kind::granted, {"red", "ann/1"}, 2, 77, 5, Span(10), Span(100)};
  const Record second{Record::Kind::claimed, {"red", "bob/2"}, 0, 78, 5, Span(11), Span(110)};
};

TEST_F(Logged, WhatIsKeptIsThereAtTheNextStart) {
  {
    SeatLog log(folder);
    EXPECT_EQ(log.restart(), 1u);
    EXPECT_EQ(log.keep(1, batch({first, second}), false), "");
  }
  SeatLog again(folder);
  EXPECT_EQ(again.restart(), 2u) << "claims of each process have numbers of their own";
  ASSERT_EQ(again.records().size(), 2u);
  EXPECT_EQ(bytes_of(again.records()[0]), bytes_of(first));
  EXPECT_EQ(bytes_of(again.records()[1]), bytes_of(second));
  again.begin_with({first});
  EXPECT_EQ(SeatLog::look(folder).size(), 1u);
}

TEST_F(Logged, ADamagedRecordStopsTheStartAndSaysWhich) {
  { EXPECT_EQ(SeatLog(folder).keep(1, batch({first, second}), false), ""); }
  run("UPDATE log SET bytes = zeroblob(length(bytes)) WHERE at = 2");
  try {
    SeatLog damaged(folder);
    FAIL() << "it started";
  } catch (const SeatLog::Unusable& unusable) {
    EXPECT_NE(unusable.what.find("seats.db: record 2 is damaged"), std::string::npos) << unusable.what;
  }
}

TEST_F(Logged, ALogThatCanNotBeWrittenSaysSo) {
  SeatLog log(folder);
  run("DROP TABLE log");
  EXPECT_NE(log.keep(1, batch({first}), false), "");
  EXPECT_THROW(SeatLog("/nonexistent/folder"), SeatLog::Unusable);
}

}  // namespace
}  // namespace violettide::entitlement
