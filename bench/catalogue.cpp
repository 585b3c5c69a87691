// The catalogue at size, beside the plain map of vectors.
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <random>

#include "catalogue/replica.h"
#include "cataloguestore/store.h"
#include "path.h"

namespace violettide::bench {

namespace {

using namespace catalogue;
using Clock = std::chrono::steady_clock;
double since(Clock::time_point from) { return std::chrono::duration<double>(Clock::now() - from).count(); }
std::size_t used() {
  const auto heap = mallinfo2();
  return heap.uordblks + heap.hblkhd;
}

// So many boxes in a row hold a recording, as cells do, or any that are drawn.
Recording recording(std::size_t i, bool grouped, std::minstd_rand& chance) {
  Recording made{
      "recording-" + std::to_string(i),
      {{"hi", 1, "avc1", 600, std::chrono::seconds(90)}, {"lo", 0, "avc1", 200, std::chrono::seconds(90)}},
      {}};
  const auto first = chance() % 320;
  for (unsigned k = 0; k < 10; ++k) {
    const auto box = grouped ? (first / 10 * 10 + k) % 320 : (first + k * (1 + chance() % 30)) % 320;
    const auto name = "box-" + std::to_string(box);
    if (std::none_of(made.locations.begin(), made.locations.end(), [&](auto& l) { return l.box == name; }))
      made.locations.push_back({name, LocationState::here, 0});
  }
  return made;
}

}  // namespace

void catalogue_table(std::size_t recordings) {
  std::printf("\n%zu recordings, about ten locations each, 320 boxes\n%-28s %12s %12s %12s\n", recordings, "",
              "bytes each", "look-up ns", "change us");
  for (const bool grouped : {true, false}) {
    std::minstd_rand chance(1);
    const auto before = used();
    Writer writer(
        [](std::string_view name) { return static_cast<ServerId>(std::stoul(std::string(name.substr(4)))); },
        2);
    for (std::size_t i = 0; i < recordings;) {
      std::vector<Change> batch;
      for (std::size_t k = 0; k < 10000 && i < recordings; ++k, ++i)
        batch.push_back(PutRecording{recording(i, grouped, chance)});
      writer.commit(std::get<AppliedBatch>(writer.apply(batch)));
    }
    malloc_trim(0);
    const auto bytes = static_cast<double>(used() - before) / static_cast<double>(recordings);
    std::vector<std::string> titles;
    for (int i = 0; i < 200'000; ++i)
      titles.push_back("recording-" + std::to_string(chance() % recordings));
    std::size_t found = 0;
    auto from = Clock::now();
    for (const auto& title : titles)
      found += writer.current()->find(title)->holders->size();
    const double look = since(from) / static_cast<double>(titles.size()) * 1e9;
    from = Clock::now();
    constexpr int changes = 20'000;
    for (int i = 0; i < changes; ++i) {
      const auto held = writer.current();  // a reader holds the one before
      writer.commit(std::get<AppliedBatch>(
          writer.apply({PutLocation{titles[static_cast<std::size_t>(i)],
                                    {"box-" + std::to_string(chance() % 320), LocationState::here, i}}})));
    }
    std::printf("%-28s %12.0f %12.0f %12.2f   (%zu)\n",
                grouped ? "shared trie, boxes in groups" : "shared trie, boxes drawn", bytes, look,
                since(from) / changes * 1e6, found);
    if (grouped) {
      const auto path = (std::filesystem::temp_directory_path() / "violettide-bench.snapshot").string();
      from = Clock::now();
      cataloguestore::write_snapshot(path, *writer.current());
      const double wrote = since(from);
      from = Clock::now();
      const auto read = cataloguestore::read_snapshot(path);
      Replica replica(
          {},
          [](std::string_view name) {
            return static_cast<ServerId>(std::stoul(std::string(name.substr(4))));
          },
          2);
      replica.restore(read.revision, read.recordings);
      std::printf("%-28s written in %.1f s, opened in %.1f s, %.0f MB on the disk\n", "  snapshot file",
                  wrote, since(from), static_cast<double>(std::filesystem::file_size(path)) / 1e6);
      std::filesystem::remove(path);
    }
  }
  std::minstd_rand chance(1);
  const auto before = used();
  auto plain = std::make_shared<std::map<std::string, Recording>>();
  for (std::size_t i = 0; i < recordings; ++i) {
    auto one = recording(i, true, chance);
    auto title = one.title;
    plain->emplace(std::move(title), std::move(one));
  }
  const auto bytes = static_cast<double>(used() - before) / static_cast<double>(recordings);
  std::size_t found = 0;
  auto from = Clock::now();
  for (int i = 0; i < 200'000; ++i)
    found += plain->find("recording-" + std::to_string(chance() % recordings))->second.locations.size();
  const double look = since(from) / 200'000 * 1e9;
  from = Clock::now();
  const auto copy =
      std::make_shared<std::map<std::string, Recording>>(*plain);  // for a reader that holds the one before
  std::printf("%-28s %12.0f %12.0f %12.0f   (%zu; a change copies the map)\n", "plain map of vectors", bytes,
              look, since(from) * 1e6, found + copy->size());
}

}  // namespace violettide::bench
