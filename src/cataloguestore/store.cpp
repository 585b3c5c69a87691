#include "cataloguestore/store.h"

#include <sqlite3.h>
#include <unistd.h>
#include <xxhash.h>
#include <zstd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "cataloguewire/json.h"

namespace violettide::cataloguestore {

namespace {

std::int64_t sum_of(std::uint64_t revision, std::string_view text) {
  return static_cast<std::int64_t>(XXH64(text.data(), text.size(), revision));
}

// Written beside, flushed to the disk, moved into place: the old file or the new one, whole.
std::string write_file(const std::string& path, const std::string& bytes) {
  const auto beside = path + ".new";
  std::FILE* file = std::fopen(beside.c_str(), "wb");
  if (!file)
    return beside + ": " + std::strerror(errno);
  bool whole = std::fwrite(bytes.data(), 1, bytes.size(), file) == bytes.size();
  whole = std::fflush(file) == 0 && ::fsync(::fileno(file)) == 0 && whole;
  const auto cause = std::string(std::strerror(errno));
  whole = std::fclose(file) == 0 && whole;
  if (whole && std::rename(beside.c_str(), path.c_str()) == 0)
    return {};
  std::remove(beside.c_str());
  return beside + ": " + cause;
}

std::string compressed(const std::string& plain) {
  std::string coded(ZSTD_compressBound(plain.size()), '\0');
  const auto size = ZSTD_compress(coded.data(), coded.size(), plain.data(), plain.size(), 3);
  coded.resize(ZSTD_isError(size) ? 0 : size);
  return coded;
}

}  // namespace

// Statements of the one connection; every failure is an error text.
class Store::Database {
 public:
  explicit Database(const std::string& path) : path_(path) {
    if (sqlite3_open(path.c_str(), &handle_) != SQLITE_OK) {
      const auto cause = path + ": " + sqlite3_errmsg(handle_);
      sqlite3_close(handle_);
      throw Unusable{cause};
    }
    sqlite3_busy_timeout(handle_, 2000);
  }
  ~Database() { sqlite3_close(handle_); }
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;

  std::string run(const char* sql) {
    char* error = nullptr;
    if (sqlite3_exec(handle_, sql, nullptr, nullptr, &error) == SQLITE_OK)
      return {};
    const std::string cause = path_ + ": " + (error ? error : "unknown");
    sqlite3_free(error);
    return cause;
  }
  std::string prepare() {
    // FULL: a batch that was answered is on the disk, whatever the power does.
    for (const auto* sql : {"PRAGMA journal_mode=WAL", "PRAGMA synchronous=FULL",
                            "CREATE TABLE IF NOT EXISTS log(revision INTEGER PRIMARY KEY, whole INTEGER NOT "
                            "NULL, changes BLOB NOT NULL, sum INTEGER NOT NULL)"}) {
      if (auto cause = run(sql); !cause.empty())
        return cause;
    }
    return {};
  }
  std::size_t rows() {
    sqlite3_stmt* select = nullptr;
    std::size_t count = 0;
    if (sqlite3_prepare_v2(handle_, "SELECT count(*) FROM log", -1, &select, nullptr) == SQLITE_OK &&
        sqlite3_step(select) == SQLITE_ROW)
      count = static_cast<std::size_t>(sqlite3_column_int64(select, 0));
    sqlite3_finalize(select);
    return count;
  }
  std::string put(std::uint64_t revision, const std::string& text, bool whole) {
    if (auto cause = run("BEGIN IMMEDIATE"); !cause.empty())
      return cause;
    std::string cause;
    if (whole)
      cause = run("DELETE FROM log");
    sqlite3_stmt* insert = nullptr;
    if (cause.empty() &&
        sqlite3_prepare_v2(handle_, "INSERT INTO log VALUES(?,?,?,?)", -1, &insert, nullptr) == SQLITE_OK) {
      sqlite3_bind_int64(insert, 1, static_cast<sqlite3_int64>(revision));
      sqlite3_bind_int(insert, 2, whole);
      sqlite3_bind_blob64(insert, 3, text.data(), text.size(), SQLITE_STATIC);
      sqlite3_bind_int64(insert, 4, sum_of(revision, text));
      if (sqlite3_step(insert) != SQLITE_DONE)
        cause = path_ + ": " + sqlite3_errmsg(handle_);
    } else if (cause.empty()) {
      cause = path_ + ": " + sqlite3_errmsg(handle_);
    }
    sqlite3_finalize(insert);
    if (cause.empty())
      cause = run("COMMIT");
    if (!cause.empty())
      run("ROLLBACK");
    return cause;
  }
  // Each row from a revision on, until `take` says stop. The cause if the database itself can't be read.
  std::string each(const std::function<bool(std::uint64_t revision, bool whole, std::string_view text,
                                            bool sound)>& take) {
    sqlite3_stmt* select = nullptr;
    if (sqlite3_prepare_v2(handle_, "SELECT revision, whole, changes, sum FROM log ORDER BY revision", -1,
                           &select, nullptr) != SQLITE_OK)
      return path_ + ": " + sqlite3_errmsg(handle_);
    int code;
    while ((code = sqlite3_step(select)) == SQLITE_ROW) {
      const auto revision = static_cast<std::uint64_t>(sqlite3_column_int64(select, 0));
      const auto* bytes = static_cast<const char*>(sqlite3_column_blob(select, 2));
      const std::string_view text(bytes ? bytes : "",
                                  static_cast<std::size_t>(sqlite3_column_bytes(select, 2)));
      const bool sound = sqlite3_column_int64(select, 3) == sum_of(revision, text);
      if (!take(revision, sqlite3_column_int(select, 1) != 0, text, sound))
        break;
    }
    const auto cause =
        code == SQLITE_ROW || code == SQLITE_DONE ? std::string() : path_ + ": " + sqlite3_errmsg(handle_);
    sqlite3_finalize(select);
    return cause;
  }

 private:
  std::string path_;
  sqlite3* handle_ = nullptr;
};

Store::Store(const std::string& folder, std::size_t snapshot_every)
    : folder_(folder), snapshot_every_(snapshot_every) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  if (error)
    throw Unusable{folder + ": " + error.message()};
  database_ = std::make_unique<Database>(folder + "/catalogue.db");
}
Store::~Store() = default;

Found Store::restore_to(catalogue::Replica& keeper) {
  Found found;
  const auto damage = [&](const std::string& what) {
    found.damaged = true;
    found.told += (found.told.empty() ? "" : "; ") + what;
  };
  const auto snapshot_path = folder_ + "/catalogue.snapshot";
  const auto from_snapshot = [&]() -> catalogue::Revision {
    if (!std::filesystem::exists(snapshot_path))
      return 0;
    auto read = read_snapshot(snapshot_path);
    if (read.fault.empty()) {
      if (const auto cause = keeper.restore(read.revision, read.recordings))
        damage(snapshot_path + ": " + *cause);
      else
        return read.revision;
    } else {
      damage(snapshot_path + ": " + read.fault);
    }
    return 0;
  };
  catalogue::Revision at = from_snapshot();
  auto cause = database_->prepare();
  if (cause.empty()) {
    cause = database_->each([&](std::uint64_t revision, bool whole, std::string_view text, bool sound) {
      if (revision <= at)
        return true;
      if (!sound) {
        damage("batch " + std::to_string(revision) + " does not match its checksum");
        return false;
      }
      auto changes = cataloguewire::read_changes(text);
      if (const auto* bad = std::get_if<cataloguewire::JsonError>(&changes); bad && !whole) {
        damage("batch " + std::to_string(revision) + ", " + bad->place + ": " + bad->cause);
        return false;
      }
      std::optional<std::string> refused;
      auto list = std::holds_alternative<cataloguewire::JsonError>(changes)
                      ? std::vector<catalogue::Change>{}
                      : std::get<std::vector<catalogue::Change>>(std::move(changes));
      if (whole) {
        std::vector<catalogue::Recording> recordings;
        for (auto& change : list) {
          if (auto* put = std::get_if<catalogue::PutRecording>(&change))
            recordings.push_back(std::move(put->recording));
        }
        refused = keeper.restore(revision, recordings);
      } else {
        refused = keeper.restore(revision, list);
      }
      if (refused) {
        damage(*refused);
        return false;
      }
      at = revision;
      return true;
    });
  }
  if (!cause.empty())
    damage(cause);
  found.revision = at;
  if (!found.damaged) {
    // A long log is made short here: a snapshot first, then the rows that it covers.
    if (at >= snapshot_every_ && database_->rows() >= snapshot_every_ &&
        write_snapshot(snapshot_path, *keeper.current()).empty())
      database_->run("DELETE FROM log");
    return found;
  }
  // Put aside, never deleted; a new one begins where the good part ended.
  database_.reset();
  const auto path = folder_ + "/catalogue.db";
  auto aside = path + ".damaged";
  for (int n = 2; std::filesystem::exists(aside); ++n)
    aside = path + ".damaged-" + std::to_string(n);
  std::error_code error;
  std::filesystem::rename(path, aside, error);
  if (error)
    throw Unusable{path + ": damaged, and can't be put aside: " + error.message()};
  for (const auto* tail : {"-wal", "-shm"})
    std::filesystem::rename(path + tail, aside + tail, error);
  database_ = std::make_unique<Database>(path);
  if (auto failed = database_->prepare(); !failed.empty())
    throw Unusable{failed};
  if (auto failed = write_snapshot(snapshot_path, *keeper.current()); !failed.empty())
    throw Unusable{failed};
  found.told +=
      "; restored to revision " + std::to_string(at) + ", later changes are missing; put aside as " + aside;
  return found;
}

std::string Store::keep(std::uint64_t revision, const std::string& changes, bool whole) {
  auto cause = database_->put(revision, changes, whole);
  if (!cause.empty())
    return cause;
  if (++since_snapshot_ >= snapshot_every_) {
    since_snapshot_ = 0;
    database_->run("PRAGMA wal_checkpoint(PASSIVE)");
  }
  return {};
}

std::string write_snapshot(const std::string& path, const catalogue::Snapshot& snapshot) {
  std::string plain =
      std::to_string(snapshot.revision) + " " + std::to_string(snapshot.totals.recordings) + "\n";
  snapshot.for_each([&](const std::string& title, const catalogue::Entry& entry) {
    plain += cataloguewire::json_text(snapshot.recording_of(title, entry)) + "\n";
  });
  const auto sum = sum_of(snapshot.revision, plain);
  plain.append(reinterpret_cast<const char*>(&sum), sizeof sum);
  return write_file(path, compressed(plain));
}

ReadSnapshot read_snapshot(const std::string& path) {
  ReadSnapshot read;
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return {0, {}, std::strerror(errno)};
  std::ostringstream bytes;
  bytes << file.rdbuf();
  const auto coded = bytes.str();
  const auto size = ZSTD_getFrameContentSize(coded.data(), coded.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > (std::uint64_t{1} << 34))
    return {0, {}, "not a snapshot"};
  std::string plain(size, '\0');
  const auto got = ZSTD_decompress(plain.data(), plain.size(), coded.data(), coded.size());
  std::int64_t sum = 0;
  if (ZSTD_isError(got) || got != size || size < sizeof sum)
    return {0, {}, "cut off or damaged"};
  std::memcpy(&sum, plain.data() + size - sizeof sum, sizeof sum);
  plain.resize(size - sizeof sum);
  std::size_t count = 0;
  std::istringstream head(plain.substr(0, plain.find('\n')));
  head >> read.revision >> count;
  if (sum != sum_of(read.revision, plain))
    return {0, {}, "does not match its checksum"};
  for (std::size_t from = plain.find('\n') + 1; from < plain.size();) {
    const auto end = plain.find('\n', from);
    auto recording = cataloguewire::read_stored_recording(std::string_view(plain).substr(from, end - from));
    if (const auto* bad = std::get_if<cataloguewire::JsonError>(&recording))
      return {0,
              {},
              "recording " + std::to_string(read.recordings.size()) + ", " + bad->place + ": " + bad->cause};
    read.recordings.push_back(std::get<catalogue::Recording>(std::move(recording)));
    from = end + 1;
  }
  if (read.recordings.size() != count)
    return {
        0,
        {},
        "names " + std::to_string(count) + " recordings and holds " + std::to_string(read.recordings.size())};
  return read;
}

}  // namespace violettide::cataloguestore
