// The SQLite log, the snapshot file, and the repair of a damaged store.
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

// XXH64 seeded with the revision, so that a row or file under another revision fails the check too.
std::int64_t checksum_of(std::uint64_t revision, std::string_view text) {
  return static_cast<std::int64_t>(XXH64(text.data(), text.size(), revision));
}

// Writes a temporary file, syncs it to the disk and renames it into place, so that a crash leaves either the
// old file or the new one. Returns the cause of a failure; empty: none.
std::string write_file(const std::string& path, const std::string& bytes) {
  const auto temporary_path = path + ".new";
  std::FILE* file = std::fopen(temporary_path.c_str(), "wb");
  if (!file)
    return temporary_path + ": " + std::strerror(errno);
  bool complete = std::fwrite(bytes.data(), 1, bytes.size(), file) == bytes.size();
  complete = std::fflush(file) == 0 && ::fsync(::fileno(file)) == 0 && complete;
  const auto cause = std::string(std::strerror(errno));
  complete = std::fclose(file) == 0 && complete;
  if (complete && std::rename(temporary_path.c_str(), path.c_str()) == 0)
    return {};
  std::remove(temporary_path.c_str());
  return temporary_path + ": " + cause;
}

std::string compress(const std::string& content) {
  std::string compressed(ZSTD_compressBound(content.size()), '\0');
  const auto size = ZSTD_compress(compressed.data(), compressed.size(), content.data(), content.size(), 3);
  compressed.resize(ZSTD_isError(size) ? 0 : size);
  return compressed;
}

}  // namespace

// The connection to catalogue.db. Operations return the cause of a failure; empty: none.
class Store::Database {
 public:
  explicit Database(const std::string& path) : path_(path) {
    if (sqlite3_open(path.c_str(), &handle_) != SQLITE_OK) {
      const auto cause = path + ": " + sqlite3_errmsg(handle_);
      sqlite3_close(handle_);
      throw StoreError{cause};
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
    const std::string cause = path_ + ": " + (error ? error : "unknown error");
    sqlite3_free(error);
    return cause;
  }
  std::string prepare() {
    // FULL: an acknowledged batch survives a power failure.
    for (const auto* sql : {"PRAGMA journal_mode=WAL", "PRAGMA synchronous=FULL",
                            "CREATE TABLE IF NOT EXISTS log(revision INTEGER PRIMARY KEY, whole INTEGER NOT "
                            "NULL, changes BLOB NOT NULL, sum INTEGER NOT NULL)"}) {
      if (auto cause = run(sql); !cause.empty())
        return cause;
    }
    return {};
  }
  std::size_t row_count() {
    sqlite3_stmt* select = nullptr;
    std::size_t count = 0;
    if (sqlite3_prepare_v2(handle_, "SELECT count(*) FROM log", -1, &select, nullptr) == SQLITE_OK &&
        sqlite3_step(select) == SQLITE_ROW)
      count = static_cast<std::size_t>(sqlite3_column_int64(select, 0));
    sqlite3_finalize(select);
    return count;
  }
  std::string append(std::uint64_t revision, const std::string& text, bool whole) {
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
      sqlite3_bind_int64(insert, 4, checksum_of(revision, text));
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
  // Visits the rows in the order of revisions until `visit` returns false.
  std::string for_each_row(const std::function<bool(std::uint64_t revision, bool whole, std::string_view text,
                                                    bool checksum_matches)>& visit) {
    sqlite3_stmt* select = nullptr;
    if (sqlite3_prepare_v2(handle_, "SELECT revision, whole, changes, sum FROM log ORDER BY revision", -1,
                           &select, nullptr) != SQLITE_OK)
      return path_ + ": " + sqlite3_errmsg(handle_);
    int status;
    while ((status = sqlite3_step(select)) == SQLITE_ROW) {
      const auto revision = static_cast<std::uint64_t>(sqlite3_column_int64(select, 0));
      const auto* bytes = static_cast<const char*>(sqlite3_column_blob(select, 2));
      const std::string_view text(bytes ? bytes : "",
                                  static_cast<std::size_t>(sqlite3_column_bytes(select, 2)));
      const bool checksum_matches = sqlite3_column_int64(select, 3) == checksum_of(revision, text);
      if (!visit(revision, sqlite3_column_int(select, 1) != 0, text, checksum_matches))
        break;
    }
    const auto cause = status == SQLITE_ROW || status == SQLITE_DONE ? std::string()
                                                                     : path_ + ": " + sqlite3_errmsg(handle_);
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
    throw StoreError{folder + ": " + error.message()};
  database_ = std::make_unique<Database>(folder + "/catalogue.db");
}
Store::~Store() = default;

RestoreResult Store::restore(catalogue::Replica& replica) {
  RestoreResult result;
  const auto report_damage = [&](const std::string& what) {
    result.damaged = true;
    result.damage_report += (result.damage_report.empty() ? "" : "; ") + what;
  };
  const auto snapshot_path = folder_ + "/catalogue.snapshot";
  const auto load_snapshot_file = [&]() -> catalogue::Revision {
    if (!std::filesystem::exists(snapshot_path))
      return 0;
    auto loaded = read_snapshot(snapshot_path);
    if (loaded.error.empty()) {
      if (const auto cause = replica.restore(loaded.revision, loaded.recordings))
        report_damage(snapshot_path + ": " + *cause);
      else
        return loaded.revision;
    } else {
      report_damage(snapshot_path + ": " + loaded.error);
    }
    return 0;
  };
  catalogue::Revision restored_revision = load_snapshot_file();
  auto cause = database_->prepare();
  if (cause.empty()) {
    cause = database_->for_each_row(
        [&](std::uint64_t revision, bool whole, std::string_view text, bool checksum_matches) {
          if (revision <= restored_revision)
            return true;
          if (!checksum_matches) {
            report_damage("batch " + std::to_string(revision) + " does not match its checksum");
            return false;
          }
          auto changes = cataloguewire::read_changes(text);
          if (const auto* bad = std::get_if<cataloguewire::JsonError>(&changes); bad && !whole) {
            report_damage("batch " + std::to_string(revision) + ", " + bad->place + ": " + bad->cause);
            return false;
          }
          // An empty full snapshot has no changes, which the schema rejects: it restores an empty catalogue.
          std::optional<std::string> rejection;
          auto list = std::holds_alternative<cataloguewire::JsonError>(changes)
                          ? std::vector<catalogue::Change>{}
                          : std::get<std::vector<catalogue::Change>>(std::move(changes));
          if (whole) {
            std::vector<catalogue::Recording> recordings;
            for (auto& change : list) {
              if (auto* put = std::get_if<catalogue::PutRecording>(&change))
                recordings.push_back(std::move(put->recording));
            }
            rejection = replica.restore(revision, recordings);
          } else {
            rejection = replica.restore(revision, list);
          }
          if (rejection) {
            report_damage(*rejection);
            return false;
          }
          restored_revision = revision;
          return true;
        });
  }
  if (!cause.empty())
    report_damage(cause);
  result.revision = restored_revision;
  if (!result.damaged) {
    // Compacts a long log: writes the snapshot first, then deletes the rows that it covers.
    if (restored_revision >= snapshot_every_ && database_->row_count() >= snapshot_every_ &&
        write_snapshot(snapshot_path, *replica.current()).empty())
      database_->run("DELETE FROM log");
    return result;
  }
  // Quarantines the damaged database, which is never deleted, and starts a new one from the restored state.
  database_.reset();
  const auto path = folder_ + "/catalogue.db";
  auto quarantine_path = path + ".damaged";
  for (int n = 2; std::filesystem::exists(quarantine_path); ++n)
    quarantine_path = path + ".damaged-" + std::to_string(n);
  std::error_code error;
  std::filesystem::rename(path, quarantine_path, error);
  if (error)
    throw StoreError{path + ": damaged, and can't be moved away: " + error.message()};
  for (const auto* suffix : {"-wal", "-shm"})
    std::filesystem::rename(path + suffix, quarantine_path + suffix, error);
  database_ = std::make_unique<Database>(path);
  if (auto failure = database_->prepare(); !failure.empty())
    throw StoreError{failure};
  if (auto failure = write_snapshot(snapshot_path, *replica.current()); !failure.empty())
    throw StoreError{failure};
  result.damage_report += "; restored to revision " + std::to_string(restored_revision) +
                          ", later changes are missing; the damaged database is now " + quarantine_path;
  return result;
}

std::string Store::persist(std::uint64_t revision, const std::string& changes, bool whole) {
  auto cause = database_->append(revision, changes, whole);
  if (!cause.empty())
    return cause;
  if (++writes_since_checkpoint_ >= snapshot_every_) {
    writes_since_checkpoint_ = 0;
    database_->run("PRAGMA wal_checkpoint(PASSIVE)");
  }
  return {};
}

std::string write_snapshot(const std::string& path, const catalogue::Snapshot& snapshot) {
  std::string content =
      std::to_string(snapshot.revision) + " " + std::to_string(snapshot.totals.recordings) + "\n";
  snapshot.for_each([&](const std::string& title, const catalogue::Entry& entry) {
    content += cataloguewire::json_text(snapshot.recording_of(title, entry)) + "\n";
  });
  const auto checksum = checksum_of(snapshot.revision, content);
  content.append(reinterpret_cast<const char*>(&checksum), sizeof checksum);
  return write_file(path, compress(content));
}

LoadedSnapshot read_snapshot(const std::string& path) {
  LoadedSnapshot loaded;
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return {0, {}, std::strerror(errno)};
  std::ostringstream bytes;
  bytes << file.rdbuf();
  const auto compressed = bytes.str();
  const auto size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > (std::uint64_t{1} << 34))
    return {0, {}, "not a snapshot file"};
  std::string content(size, '\0');
  const auto decompressed_size =
      ZSTD_decompress(content.data(), content.size(), compressed.data(), compressed.size());
  std::int64_t checksum = 0;
  if (ZSTD_isError(decompressed_size) || decompressed_size != size || size < sizeof checksum)
    return {0, {}, "truncated or corrupt"};
  std::memcpy(&checksum, content.data() + size - sizeof checksum, sizeof checksum);
  content.resize(size - sizeof checksum);
  std::size_t recording_count = 0;
  std::istringstream header(content.substr(0, content.find('\n')));
  header >> loaded.revision >> recording_count;
  if (checksum != checksum_of(loaded.revision, content))
    return {0, {}, "does not match its checksum"};
  for (std::size_t from = content.find('\n') + 1; from < content.size();) {
    const auto end = content.find('\n', from);
    auto recording = cataloguewire::read_stored_recording(std::string_view(content).substr(from, end - from));
    if (const auto* bad = std::get_if<cataloguewire::JsonError>(&recording))
      return {
          0,
          {},
          "recording " + std::to_string(loaded.recordings.size()) + ", " + bad->place + ": " + bad->cause};
    loaded.recordings.push_back(std::get<catalogue::Recording>(std::move(recording)));
    from = end + 1;
  }
  if (loaded.recordings.size() != recording_count)
    return {0,
            {},
            "announces " + std::to_string(recording_count) + " recordings but holds " +
                std::to_string(loaded.recordings.size())};
  return loaded;
}

}  // namespace violettide::cataloguestore
