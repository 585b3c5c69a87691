// The catalogue: atomic batches, immutable snapshots, replication over thousands of interleavings, recovery
// of the store after kills and damage, and the effect of changes on set-ups in progress.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <random>

#include "catalogue/demand.h"
#include "catalogue/replica.h"
#include "cataloguestore/store.h"
#include "cataloguewire/json.h"
#include "cataloguewire/resource.h"
#include "manager/manager.h"
#include "net.h"

namespace violettide::catalogue {
namespace {

using namespace std::chrono_literals;
using testing::Network;
using testing::ScriptedPeer;

Recording recording(const std::string& title, std::vector<std::string> boxes) {
  Recording created{title, {{"hi", 1, "avc1", 40, 90s}, {"lo", 0, "avc1", 10, 90s}}, {}};
  for (auto& box : boxes)
    created.locations.push_back({std::move(box), LocationState::here, 5});
  return created;
}

// Box "b7" has ServerId 7.
BoxIndex box_numbers() {
  return [](std::string_view name) { return static_cast<ServerId>(std::stoul(std::string(name.substr(1)))); };
}

const AppliedBatch& applied_or_fail(const std::variant<AppliedBatch, InvalidChange>& result) {
  if (const auto* bad = std::get_if<InvalidChange>(&result))
    ADD_FAILURE() << bad->field << ": " << bad->cause;
  return std::get<AppliedBatch>(result);
}

TEST(Writer, SnapshotsAreImmutable) {
  Writer writer(box_numbers(), 2);
  writer.commit(applied_or_fail(writer.apply(
      {PutRecording{recording("a", {"b2", "b0"})}, PutRecording{recording("b", {"b0", "b2"})}})));
  const auto held = writer.current();
  EXPECT_EQ(*held->find("a")->holders, (std::vector<ServerId>{0, 2}));
  EXPECT_EQ(held->find("a")->holders, held->find("b")->holders)
      << "recordings on the same boxes share one set";
  writer.commit(applied_or_fail(
      writer.apply({RemoveLocation{"a", "b0"}, PutLocation{"b", {"b7", LocationState::leaving, 9}},
                    RemoveRecording{"a"}, PutRecording{recording("c", {})}})));
  EXPECT_EQ(held->revision, 1u);
  EXPECT_EQ(*held->find("a")->holders, (std::vector<ServerId>{0, 2}));
  EXPECT_FALSE(held->find("c"));
  const auto& now = *writer.current();
  EXPECT_EQ(now.revision, 2u);
  EXPECT_FALSE(now.find("a"));
  EXPECT_EQ(*now.find("b")->holders, (std::vector<ServerId>{0, 2}))
      << "a leaving location starts no new playback";
  EXPECT_EQ(now.recording("b")->locations.size(), 3u);
  EXPECT_EQ(now.totals.recordings, 2u);
  EXPECT_EQ(now.totals.locations, 3u);
  EXPECT_EQ(now.find("b")->rung_within(0, 0), 0);
  EXPECT_EQ(now.find("b")->length(), 90s);
}

TEST(Writer, AnInvalidChangeNamesItsFieldAndRejectsTheBatch) {
  Writer writer(box_numbers(), 2);
  writer.commit(applied_or_fail(writer.apply({PutRecording{recording("a", {"b0"})}})));
  auto twice = recording("x", {"b1", "b1"});
  auto high = recording("x", {});
  high.renditions[0].rung = 2;
  auto same = recording("x", {});
  same.renditions[1].rung = 1;
  auto nameless = recording("x", {});
  nameless.renditions[1].name = "";
  const struct {
    Change change;
    std::string field;
  } cases[] = {{PutRecording{twice}, "locations[1].box"},    {PutRecording{high}, "renditions[0].rung"},
               {PutRecording{same}, "renditions[1].rung"},   {PutRecording{nameless}, "renditions[1].name"},
               {PutRecording{recording("", {})}, "title"},   {PutRecording{recording("a/b", {})}, "title"},
               {PutRecording{recording("..", {})}, "title"}, {RemoveRecording{"nosuch"}, "title"},
               {RemoveLocation{"a", "b9"}, "box"},           {RemoveRendition{"a", "no"}, "name"},
               {PutLocation{"nosuch", {"b0"}}, "title"},     {PutRendition{"nosuch", {}}, "title"}};
  for (const auto& c : cases) {
    const auto result = writer.apply({PutRecording{recording("new", {"b0"})}, c.change});
    ASSERT_TRUE(std::holds_alternative<InvalidChange>(result)) << c.field;
    EXPECT_EQ(std::get<InvalidChange>(result).change, 1u);
    EXPECT_EQ(std::get<InvalidChange>(result).field, c.field);
  }
  EXPECT_EQ(writer.current()->revision, 1u);
  EXPECT_FALSE(writer.current()->find("new"));
}

// Applies random batches to the catalogue and to a std::map. Every tenth snapshot is kept and compared at the
// end, so that a change which alters a published snapshot fails here.
TEST(Writer, AgreesWithAReferenceMap) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    std::minstd_rand chance(seed);
    Writer writer(box_numbers(), 2);
    std::map<std::string, Recording> reference;
    std::vector<std::pair<SnapshotPtr, std::map<std::string, Recording>>> held;
    for (int step = 0; step < 300; ++step) {
      std::vector<Change> batch;
      auto after = reference;
      for (unsigned i = 0; i < 1 + chance() % 4; ++i) {
        const auto title = "t" + std::to_string(chance() % 1500);
        const auto box = "b" + std::to_string(chance() % 9);
        const auto found = after.find(title);
        if (found == after.end() || chance() % 4 == 0) {
          after[title] = recording(title, {box});
          batch.push_back(PutRecording{after[title]});
        } else if (chance() % 3 == 0) {
          after.erase(title);
          batch.push_back(RemoveRecording{title});
        } else {
          std::erase_if(found->second.locations, [&](auto& l) { return l.box == box; });
          found->second.locations.push_back({box, LocationState::here, step});
          batch.push_back(PutLocation{title, found->second.locations.back()});
        }
      }
      writer.commit(applied_or_fail(writer.apply(batch)));
      reference = std::move(after);
      if (step % 10 == 0)
        held.emplace_back(writer.current(), reference);
    }
    held.emplace_back(writer.current(), reference);
    for (const auto& [snapshot, expected] : held) {
      std::size_t seen = 0, locations = 0;
      snapshot->for_each([&](const std::string& title, const Entry& entry) {
        ++seen;
        locations += entry.locations.size();
        ASSERT_EQ(snapshot->recording_of(title, entry), expected.at(title));
      });
      ASSERT_EQ(seen, expected.size());
      ASSERT_EQ(snapshot->totals.recordings, seen);
      ASSERT_EQ(snapshot->totals.locations, locations);
    }
  }
}

template <typename Kind>
std::vector<Kind> actions_of(const std::vector<ReplicaAction>& actions) {
  std::vector<Kind> all;
  for (const auto& act : actions) {
    if (const auto* kind = std::get_if<Kind>(&act))
      all.push_back(*kind);
  }
  return all;
}

TEST(Replica, AChangeIsAcknowledgedOnlyOnceItIsDurable) {
  Replica replica({}, box_numbers(), 2);
  auto actions =
      replica.handle(ChangeRequest{7, std::nullopt, false, {PutRecording{recording("a", {"b0"})}}});
  ASSERT_EQ(actions_of<PersistBatch>(actions).size(), 1u);
  EXPECT_TRUE(actions_of<ChangeResult>(actions).empty());
  EXPECT_FALSE(replica.current()->find("a")) << "has no effect before it is durable";
  actions = replica.handle(BatchPersisted{1, std::nullopt});
  EXPECT_EQ(actions_of<ChangeResult>(actions)[0].request_id, 7u);
  EXPECT_TRUE(replica.current()->find("a"));
  actions = replica.handle(ChangeRequest{8, std::nullopt, false, {RemoveRecording{"a"}}});
  actions = replica.handle(BatchPersisted{2, "the disk is full"});
  EXPECT_EQ(actions_of<ChangeResult>(actions)[0].outcome, ChangeOutcome::not_durable);
  EXPECT_TRUE(replica.current()->find("a")) << "a batch that was not stored has no effect";
  EXPECT_EQ(replica.current()->revision, 1u);
}

TEST(Replica, OfTwoWritersAtOneRevisionTheSecondIsStale) {
  Replica replica({}, box_numbers(), 2);
  replica.handle(ChangeRequest{1, 0, false, {PutRecording{recording("a", {"b0"})}}});
  replica.handle(ChangeRequest{2, 0, false, {PutRecording{recording("a", {"b1"})}}});
  const auto actions = replica.handle(BatchPersisted{1, std::nullopt});
  ASSERT_EQ(actions_of<ChangeResult>(actions).size(), 2u);
  EXPECT_EQ(actions_of<ChangeResult>(actions)[0].outcome, ChangeOutcome::accepted);
  EXPECT_EQ(actions_of<ChangeResult>(actions)[1].outcome, ChangeOutcome::stale);
  EXPECT_EQ(actions_of<ChangeResult>(actions)[1].revision, 1u);
  EXPECT_EQ(*replica.current()->find("a")->holders, std::vector<ServerId>{0});
}

std::vector<Change> recordings_on_two_boxes(int count) {
  std::vector<Change> changes;
  for (int i = 0; i < count; ++i)
    changes.push_back(PutRecording{recording("t" + std::to_string(i), {"b0", "b1"})});
  return changes;
}

TEST(Replica, AChangeThatRemovesTooMuchNeedsConfirmation) {
  Replica replica({}, box_numbers(), 2);
  replica.handle(ChangeRequest{1, std::nullopt, false, recordings_on_two_boxes(40)});
  replica.handle(BatchPersisted{1, std::nullopt});
  std::vector<Change> removal;
  for (int i = 0; i < 20; ++i)
    removal.push_back(RemoveRecording{"t" + std::to_string(i)});
  auto actions = replica.handle(ChangeRequest{2, std::nullopt, false, removal});
  EXPECT_EQ(actions_of<ChangeResult>(actions)[0].outcome, ChangeOutcome::confirmation_required);
  EXPECT_TRUE(replica.current()->find("t0"));
  actions = replica.handle(ChangeRequest{3, std::nullopt, true, removal});
  EXPECT_EQ(actions_of<PersistBatch>(actions).size(), 1u);
  replica.handle(BatchPersisted{2, std::nullopt});
  EXPECT_FALSE(replica.current()->find("t0"));
  // Nobody can confirm a batch from the feed: it is accepted when a second poll brings it again.
  std::vector<Change> rest;
  for (int i = 20; i < 40; ++i)
    rest.push_back(RemoveRecording{"t" + std::to_string(i)});
  actions = replica.handle(FeedBatches{3, {rest}});
  EXPECT_TRUE(actions_of<PersistBatch>(actions).empty());
  ASSERT_EQ(actions_of<PollFeed>(actions).size(), 1u);
  EXPECT_FALSE(actions_of<PollFeed>(actions)[0].cause.empty());
  actions = replica.handle(FeedBatches{3, {rest}});
  EXPECT_EQ(actions_of<PersistBatch>(actions).size(), 1u);
}

TEST(Replica, MovingManyLocationsNeedsNoConfirmation) {
  Replica replica({}, box_numbers(), 2);
  replica.handle(ChangeRequest{1, std::nullopt, false, recordings_on_two_boxes(40)});
  replica.handle(BatchPersisted{1, std::nullopt});
  FeedSnapshot moved{5, {}};
  for (int i = 0; i < 40; ++i)
    moved.recordings.push_back(recording("t" + std::to_string(i), {"b2", "b3"}));
  EXPECT_EQ(actions_of<PersistBatch>(replica.handle(moved)).size(), 1u);
}

TEST(Replica, ALaterFullSnapshotConfirmsAShrink) {
  Replica replica({}, box_numbers(), 2);
  replica.handle(ChangeRequest{1, std::nullopt, false, recordings_on_two_boxes(40)});
  replica.handle(BatchPersisted{1, std::nullopt});
  EXPECT_TRUE(actions_of<PersistBatch>(replica.handle(FeedSnapshot{5, {recording("a", {"b0"})}})).empty());
  EXPECT_EQ(actions_of<PersistBatch>(replica.handle(FeedSnapshot{6, {recording("a", {"b1"})}})).size(), 1u)
      << "the origin changes again between the two polls";
}

TEST(Replica, AGapOrAnInvalidBatchInTheFeedAsksForAFullSnapshot) {
  Replica replica({}, box_numbers(), 2);
  auto actions = replica.handle(
      FeedBatches{1, {{PutRecording{recording("a", {"b0"})}}, {PutRecording{recording("b", {"b0"})}}}});
  EXPECT_EQ(actions_of<PersistBatch>(actions)[0].revision, 1u);
  actions = replica.handle(
      FeedBatches{1, {{PutRecording{recording("a", {"b0"})}}}});  // again, while the first is being stored
  replica.handle(BatchPersisted{1, std::nullopt});
  replica.handle(BatchPersisted{2, std::nullopt});
  EXPECT_EQ(replica.current()->revision, 2u);
  actions = replica.handle(FeedBatches{4, {{RemoveRecording{"a"}}}});
  ASSERT_EQ(actions_of<PollFeed>(actions).size(), 1u);
  EXPECT_TRUE(actions_of<PollFeed>(actions)[0].full_snapshot) << "batch 3 is missing";
  EXPECT_TRUE(replica.current()->find("a"));
  actions = replica.handle(FeedBatches{3, {{RemoveRecording{"never was"}}}});
  EXPECT_TRUE(actions_of<PollFeed>(actions)[0].full_snapshot)
      << "the batch can't be applied to the current snapshot";
  actions = replica.handle(FeedSnapshot{9, {recording("c", {"b1"})}});
  ASSERT_EQ(actions_of<PersistBatch>(actions).size(), 1u);
  EXPECT_TRUE(actions_of<PersistBatch>(actions)[0].full_snapshot);
  actions = replica.handle(BatchPersisted{9, std::nullopt});
  EXPECT_EQ(replica.current()->revision, 9u);
  EXPECT_FALSE(replica.current()->find("a"));
  EXPECT_TRUE(replica.current()->find("c"));
  actions = replica.handle(FeedSnapshot{4, {recording("a", {"b1"})}});
  EXPECT_TRUE(actions_of<PersistBatch>(actions).empty()) << "older than the current revision";
  EXPECT_FALSE(replica.batches_after(3, 10)) << "the log starts after the full snapshot";
}

// A replica that follows another's feed through lost, repeated, late and rejected replies ends in the same
// state.
TEST(Replica, FollowsAFeedThroughAnyInterleaving) {
  for (unsigned seed = 1; seed <= 2000; ++seed) {
    std::minstd_rand chance(seed);
    ReplicaConfig short_log;
    short_log.log_capacity = 3;
    short_log.unguarded_locations = 1000;
    Replica origin(short_log, box_numbers(), 2), follower(short_log, box_numbers(), 2);
    std::optional<Revision> persisting = std::nullopt;
    bool needs_snapshot = false;
    const auto perform = [&](const std::vector<ReplicaAction>& actions) {
      for (const auto& act : actions) {
        if (const auto* keep = std::get_if<PersistBatch>(&act))
          persisting = keep->revision;
        if (const auto* feed = std::get_if<PollFeed>(&act))
          needs_snapshot = needs_snapshot || feed->full_snapshot;
      }
    };
    std::vector<ReplicaEvent> in_flight;  // replies of the origin
    for (int step = 0; step < 40 || follower.current()->revision != origin.current()->revision; ++step) {
      ASSERT_LT(step, 400) << "seed " << seed << " does not catch up";
      if (step < 40 && chance() % 2 == 0) {
        const auto title = "t" + std::to_string(chance() % 6);
        Change change = PutRecording{recording(title, {"b" + std::to_string(chance() % 4)})};
        if (origin.current()->find(title) && chance() % 3 == 0)
          change = RemoveRecording{title};
        origin.handle(ChangeRequest{1, std::nullopt, true, {change}});
        origin.handle(BatchPersisted{origin.current()->revision + 1, std::nullopt});
      }
      if (chance() % 2 == 0) {  // the follower polls
        const auto batches = origin.batches_after(follower.current()->revision, 2);
        if (batches && !needs_snapshot) {
          FeedBatches feed{follower.current()->revision + 1, {}};
          for (const auto& [revision, changes] : *batches)
            feed.batches.push_back(*changes);
          in_flight.emplace_back(feed);
        } else {
          FeedSnapshot all{origin.current()->revision, {}};
          origin.current()->for_each([&](const std::string& title, const Entry& entry) {
            all.recordings.push_back(origin.current()->recording_of(title, entry));
          });
          in_flight.emplace_back(all);
          needs_snapshot = false;
        }
      }
      if (!in_flight.empty() && chance() % 2 == 0) {
        const auto at = chance() % in_flight.size();  // late, repeated or lost
        const auto event = in_flight[at];
        if (chance() % 3 != 0)
          in_flight.erase(in_flight.begin() + static_cast<long>(at));
        if (chance() % 5 != 0)
          perform(follower.handle(event));
        if (in_flight.size() > 6)
          in_flight.clear();
      }
      if (persisting && chance() % 2 == 0) {
        const auto revision = *std::exchange(persisting, std::nullopt);
        perform(follower.handle(
            BatchPersisted{revision, chance() % 8 == 0 ? std::optional<std::string>("full") : std::nullopt}));
      }
    }
    std::map<std::string, Recording> one, two;
    origin.current()->for_each(
        [&](const std::string& t, const Entry& e) { one[t] = origin.current()->recording_of(t, e); });
    follower.current()->for_each(
        [&](const std::string& t, const Entry& e) { two[t] = follower.current()->recording_of(t, e); });
    ASSERT_EQ(one, two) << "seed " << seed;
  }
}

TEST(Demand, ReportsTheMostRequestedWithinItsErrorBound) {
  std::minstd_rand chance(3);
  Writer writer(box_numbers(), 2);
  writer.commit(applied_or_fail(writer.apply(recordings_on_two_boxes(500))));
  const auto& snapshot = *writer.current();
  Demand demand(64, 1h);
  std::map<RecordingId, int> exact;
  for (int i = 0; i < 20000; ++i) {
    const auto rank = static_cast<unsigned>(500 * std::pow(static_cast<double>(chance() % 10000) / 10000, 3));
    const auto id = *snapshot.id("t" + std::to_string(rank));
    demand.record_request(0s, id);
    ++exact[id];
  }
  EXPECT_EQ(demand.size(), 64u);
  const auto wanting = demand.replication_candidates(0s, snapshot, 1, 1, 30s, 0, 10);
  ASSERT_EQ(wanting.size(), 10u);
  for (const auto& one : wanting) {
    EXPECT_GE(one.requests, exact[one.recording]) << "never below the true count";
    EXPECT_LE(one.requests - one.max_error, exact[one.recording])
        << "the lower bound is never above the true count";
  }
  EXPECT_EQ(wanting[0].recording, *snapshot.id("t0"));
  demand.record_turned_away(0s, wanting[9].recording);
  EXPECT_EQ(demand.replication_candidates(0s, snapshot, 1, 1, 30s, 0, 10)[0].recording, wanting[9].recording)
      << "viewers turned away come first";
  EXPECT_TRUE(demand.replication_candidates(20h, snapshot, 1e6, 1, 30s, 0.7, 10).empty()) << "demand decays";
}

TEST(CatalogueJson, ChangesRoundTripAndErrorsNameTheirPlace) {
  const std::vector<Change> changes{PutRecording{recording("a", {"b0"})},
                                    RemoveRecording{"b"},
                                    PutRendition{"a", {"x", 1, "hvc1", 2.5, 3s}},
                                    RemoveRendition{"a", "x"},
                                    PutLocation{"a", {"b1", LocationState::leaving, -4}},
                                    RemoveLocation{"a", "b1"}};
  const auto read = cataloguewire::read_changes(cataloguewire::json_text(changes));
  ASSERT_TRUE(std::holds_alternative<std::vector<Change>>(read));
  EXPECT_EQ(cataloguewire::json_text(std::get<std::vector<Change>>(read)), cataloguewire::json_text(changes));
  const std::pair<const char*, const char*> bad[] = {
      {"{", "byte 2"},
      {"{}", "body"},
      {"{\"changes\":[]}", "changes"},
      {"{\"changes\":[{\"remove\":\"a\"},{\"remove\":7}]}", "changes[1].remove"},
      {"{\"changes\":[{\"put\":{\"title\":\"a\",\"renditions\":[{\"name\":\"x\",\"rung\":-1}],\"locations\":["
       "]}}]}",
       "changes[0].put.renditions[0].rung"},
      {"{\"changes\":[{\"put_location\":{\"title\":\"a\",\"location\":{\"box\":\"b\",\"state\":\"away\"}}}]}",
       "changes[0].put_location.location.state"},
      {"{\"changes\":[{\"put\":1e999}]}", "body"},
      {"{\"changes\":[{\"vanish\":\"a\"}]}", "changes[0]"}};
  for (const auto& [text, place] : bad) {
    const auto result = cataloguewire::read_changes(text);
    ASSERT_TRUE(std::holds_alternative<cataloguewire::JsonError>(result)) << text;
    EXPECT_EQ(std::get<cataloguewire::JsonError>(result).place, place);
  }
}

// ---- Store ----

class StoreTest : public ::testing::Test {
 protected:
  void SetUp() override {
    auto pattern = (std::filesystem::temp_directory_path() / "violettide-store-XXXXXX").string();
    folder = mkdtemp(pattern.data());
  }
  void TearDown() override { std::filesystem::remove_all(folder); }
  static std::string batch(int i) {
    return cataloguewire::json_text(
        std::vector<Change>{PutRecording{recording("t" + std::to_string(i), {"b0"})}});
  }
  std::string folder;
};

TEST_F(StoreTest, AfterAKillTheLastAcknowledgedRevisionIsRestored) {
  for (int round = 0; round < 8; ++round) {
    int answers[2];
    ASSERT_EQ(pipe(answers), 0);
    const auto store_folder = folder + "/" + std::to_string(round);
    const auto child = fork();
    if (child == 0) {
      cataloguestore::Store store(store_folder);
      Replica replica({}, box_numbers(), 2);
      store.restore(replica);
      for (int i = 1; i < 10000; ++i) {
        if (!store.persist(static_cast<Revision>(i), batch(i), false).empty())
          _exit(1);
        if (write(answers[1], &i, sizeof i) != sizeof i)
          _exit(1);
      }
      _exit(0);
    }
    close(answers[1]);
    int last = 0;
    // Kills the writer during some write, after a number of acknowledged ones.
    for (int i = 0; i < 3 + 5 * round; ++i)
      ASSERT_EQ(read(answers[0], &last, sizeof last), static_cast<ssize_t>(sizeof last));
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    for (int more; read(answers[0], &more, sizeof more) == static_cast<ssize_t>(sizeof more);)
      last = more;
    close(answers[0]);
    cataloguestore::Store store(store_folder);
    Replica replica({}, box_numbers(), 2);
    const auto found = store.restore(replica);
    EXPECT_FALSE(found.damaged) << found.damage_report;
    EXPECT_GE(found.revision, static_cast<Revision>(last)) << "every acknowledged batch is restored";
    EXPECT_LE(found.revision, static_cast<Revision>(last) + 1);
    EXPECT_TRUE(replica.current()->find("t" + std::to_string(last)));
  }
}

TEST_F(StoreTest, ADamagedDatabaseIsQuarantinedAndReported) {
  {
    cataloguestore::Store store(folder);
    Replica replica({}, box_numbers(), 2);
    store.restore(replica);
    for (int i = 1; i <= 20; ++i)
      ASSERT_EQ(store.persist(static_cast<Revision>(i), batch(i), false), "");
  }
  // Corrupts one byte of the tenth batch.
  std::fstream file(folder + "/catalogue.db", std::ios::in | std::ios::out | std::ios::binary);
  std::string bytes((std::istreambuf_iterator<char>(file)), {});
  const auto at = bytes.find("\"t10\"");
  ASSERT_NE(at, std::string::npos);
  file.seekp(static_cast<long>(at) + 1);
  file.put('u');
  file.close();
  {
    cataloguestore::Store store(folder);
    Replica replica({}, box_numbers(), 2);
    const auto found = store.restore(replica);
    EXPECT_TRUE(found.damaged);
    EXPECT_EQ(found.revision, 9u);
    EXPECT_NE(found.damage_report.find("batch 10 does not match its checksum"), std::string::npos)
        << found.damage_report;
    EXPECT_TRUE(replica.current()->find("t9"));
    EXPECT_FALSE(replica.current()->find("t11")) << "nothing after the damage is loaded";
    EXPECT_TRUE(std::filesystem::exists(folder + "/catalogue.db.damaged"));
    EXPECT_EQ(store.persist(10, batch(10), false), "") << "the new database accepts the next batch";
  }
  // No part of the database can be read: restores the snapshot file written during the first repair.
  std::ofstream(folder + "/catalogue.db", std::ios::trunc) << std::string(8192, 'x');
  std::filesystem::remove(folder + "/catalogue.db-wal");
  cataloguestore::Store store(folder);
  Replica replica({}, box_numbers(), 2);
  const auto found = store.restore(replica);
  EXPECT_TRUE(found.damaged);
  EXPECT_EQ(found.revision, 9u) << found.damage_report;
  EXPECT_TRUE(std::filesystem::exists(folder + "/catalogue.db.damaged-2"));
}

TEST_F(StoreTest, ATruncatedOrCorruptSnapshotIsNeverPartlyLoaded) {
  Writer writer(box_numbers(), 2);
  writer.commit(applied_or_fail(writer.apply(recordings_on_two_boxes(50))));
  const auto path = folder + "/s";
  ASSERT_EQ(cataloguestore::write_snapshot(path, *writer.current()), "");
  EXPECT_EQ(cataloguestore::read_snapshot(path).recordings.size(), 50u);
  std::ifstream in(path, std::ios::binary);
  const std::string intact((std::istreambuf_iterator<char>(in)), {});
  for (std::size_t at = 0; at < intact.size(); at += 7) {
    std::ofstream(path, std::ios::binary | std::ios::trunc) << intact.substr(0, at);
    ASSERT_FALSE(cataloguestore::read_snapshot(path).error.empty()) << at;
    auto flipped = intact;
    flipped[at] = static_cast<char>(flipped[at] ^ 4);
    std::ofstream(path, std::ios::binary | std::ios::trunc) << flipped;
    const auto read = cataloguestore::read_snapshot(path);
    ASSERT_TRUE(!read.error.empty() || read.recordings.size() == 50) << at;
  }
  EXPECT_FALSE(cataloguestore::write_snapshot(folder + "/no/such/place", *writer.current()).empty());
}

TEST_F(StoreTest, AFailedWriteIsReportedAndLosesNothing) {
  cataloguestore::Store store(folder);
  Replica replica({}, box_numbers(), 2);
  store.restore(replica);
  ASSERT_EQ(store.persist(1, batch(1), false), "");
  EXPECT_FALSE(store.persist(1, batch(2), false).empty()) << "a revision can be stored only once";
  std::ofstream(folder + "/file") << "x";
  EXPECT_THROW(cataloguestore::Store(folder + "/file/below"), cataloguestore::StoreError);
}

// ---- changes during set-ups: a manager with its box list, boxes, a viewer and an operator ----

// A simulated network with one manager, three boxes, the list service, a viewer and an operator.
struct CatalogueChanges {
  Network net;
  ScriptedPeer boxes[3], list, viewer, operators;
  std::unique_ptr<manager::Manager> front;
  ConnectionId next = 1;
  static constexpr int list_host = 4, viewer_host = 5, operator_host = 6;
  std::string states[3] = {"ready", "ready", "ready"};
  int list_revision = 1;
  std::map<std::string, std::set<int>> listed;  // as acknowledged by the manager
  std::map<std::string, std::map<int, Duration>>
      unlisted_at;  // when a location was removed, by title and box
  std::vector<std::string> violations;
  int set_ups = 0;

  CatalogueChanges() {
    manager::ManagerSettings terms;
    terms.policy.rung_kb = {10, 20};
    terms.policy.rung_revenue = {0.5, 1};
    terms.policy.plans.resize(1);
    terms.policy.plans[0] = {800ms, false, 1, 1, 0, 1, 0};
    terms.policy.streams_by_kind = {50};
    terms.policy.has_weights = true;
    terms.policy.link_kb_per_weight = 10000;
    terms.policy.max_tries = 4;
    terms.policy.cells = 3;
    terms.plans = {{"a", 3s}};
    terms.halls = {"h"};
    terms.box_list_port = Network::port(list_host);
    terms.box_list_interval = 200ms;
    terms.has_catalogue = true;
    terms.idle_timeout = 1s;
    front = std::make_unique<manager::Manager>(terms, 1, "", nullptr);
    net.add(*front, 2);
    for (int b = 0; b < 3; ++b) {
      boxes[b].on_bytes = [this, b](ScriptedPeer& box, ConnectionId link, std::vector<Action>& actions) {
        auto& got = box.peers[link].got;
        const auto end = got.find("\r\n\r\n");
        if (end == std::string::npos)
          return;
        const auto title = got.substr(7, got.find('/', 7) - 7);
        if (got.find("su") != std::string::npos) {
          ++set_ups;
          // The manager wrote this one network latency ago: was the location listed then?
          const auto& gone = unlisted_at[title];
          const auto found = gone.find(b);
          if (found != gone.end() && net.now() - net.latency > found->second)
            violations.push_back(title + " was sent to b" + std::to_string(b) + ", unlisted " +
                                 std::to_string((net.now() - found->second).count()) + " us before");
        }
        got.clear();
        actions.push_back(Send{link, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"});
      };
      net.add(boxes[b], 1);
    }
    list.on_bytes = [this](ScriptedPeer&, ConnectionId link, std::vector<Action>& actions) {
      std::string text =
          "{\"revision\":" + std::to_string(list_revision) + ",\"clock_ms\":100000,\"boxes\":[";
      for (int b = 0; b < 3; ++b) {
        text += std::string(b ? "," : "") + "{\"name\":\"b" + std::to_string(b) +
                "\",\"address\":\"127.0.0.1\",\"port\":" + std::to_string(Network::port(1 + b)) +
                ",\"state\":\"" + states[b] + "\",\"kind\":0,\"cell\":0,\"hall\":\"h\",\"weight\":1}";
      }
      text += "]}";
      actions.push_back(Send{link, http::serialize_response_head(200, {}, text.size(), false) + text});
      actions.push_back(Close{link, true});
    };
    net.add(list, 1);
    net.add(viewer, 0);
    net.add(operators, 0);
    net.run(50ms);
  }
  ConnectionId ask(const std::string& title, int sid) {
    const ConnectionId link = next++;
    viewer.next.push_back(Dial{link, "", Network::port(0)});
    viewer.next.push_back(Send{link, "GET /a/" + title +
                                         "/r1/0 HTTP/1.1\r\nHost: x\r\nCMCD-Session: sid=\"s" +
                                         std::to_string(sid) + "\"\r\n\r\n"});
    net.wake(viewer_host);
    return link;
  }
  // Sends the operator's request and runs the network until it is answered.
  std::string change(const std::string& method, const std::string& target, const std::string& body = "") {
    const ConnectionId link = next++;
    operators.next.push_back(Dial{link, "", Network::port(0, 1)});
    operators.next.push_back(Send{link, method + " " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                                            std::to_string(body.size()) + "\r\n\r\n" + body});
    net.wake(operator_host);
    for (int i = 0; i < 1000 && operators.peers[link].got.empty(); ++i)
      net.run(net.now() + 50us);
    return operators.peers[link].got;
  }
  void put(const std::string& title, std::vector<int> where) {
    std::vector<std::string> names;
    for (const int b : where)
      names.push_back("b" + std::to_string(b)), unlisted_at[title].erase(b);
    const auto answer =
        change("PUT", "/catalogue/recordings/" + title, cataloguewire::json_text(recording(title, names)));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
    for (int b = 0; b < 3; ++b) {
      if (std::find(where.begin(), where.end(), b) == where.end())
        unlisted_at[title].try_emplace(b, net.now());
    }
  }
};

TEST(CatalogueChanges, AnUnknownTitleGets404AndOneWithoutLocationsGets503AtOnce) {
  CatalogueChanges fixture;
  const auto unknown = fixture.ask("nosuch", 1);
  fixture.net.run(fixture.net.now() + 20ms);
  EXPECT_TRUE(fixture.viewer.peers[unknown].got.starts_with("HTTP/1.1 404"))
      << fixture.viewer.peers[unknown].got;
  fixture.put("t", {});
  const auto nowhere = fixture.ask("t", 2);
  fixture.net.run(fixture.net.now() + 20ms);
  EXPECT_TRUE(fixture.viewer.peers[nowhere].got.starts_with("HTTP/1.1 503"))
      << fixture.viewer.peers[nowhere].got;
  fixture.put("t", {1});
  const auto plays = fixture.ask("t", 3);
  fixture.net.run(fixture.net.now() + 20ms);
  EXPECT_TRUE(fixture.viewer.peers[plays].got.starts_with("HTTP/1.1 200")) << fixture.viewer.peers[plays].got;
}

TEST(CatalogueChanges, ABulkLoadMayExceedTheSizeLimitOfViewerRequests) {
  CatalogueChanges fixture;
  const auto body = cataloguewire::json_text(recordings_on_two_boxes(6000));
  ASSERT_GT(body.size(), 1024u * 1024);
  const auto answer = fixture.change("POST", "/catalogue/changes", body);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer.substr(0, 200);
}

TEST(CatalogueChanges, AnUnsentTryIsCancelledAndPlacedAgain) {
  CatalogueChanges fixture;
  fixture.put("t", {0});
  fixture.net.latency = 20ms;  // slow enough that the change comes before the connection
  const auto link = fixture.ask("t", 1);
  fixture.net.run(fixture.net.now() +
                  21ms);  // the request has arrived; the connection to the box is being opened
  const auto operator_link = fixture.next++;
  const auto body = cataloguewire::json_text(recording("t", {"b2"}));
  fixture.operators.next.push_back(Dial{operator_link, "", Network::port(0, 1)});
  fixture.operators.next.push_back(
      Send{operator_link, "PUT /catalogue/recordings/t HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body});
  fixture.net.wake(CatalogueChanges::operator_host);
  fixture.net.run(fixture.net.now() + 400ms);
  EXPECT_TRUE(fixture.viewer.peers[link].got.starts_with("HTTP/1.1 200")) << fixture.viewer.peers[link].got;
  std::size_t taken_back = 0;
  for (const auto& [host, said] : fixture.net.log_lines)
    taken_back += said.event == "try_taken_back";
  EXPECT_EQ(taken_back, 1u);
}

// The list and the catalogue may each be out of date: a box gets new playbacks only if both allow it.
TEST(CatalogueChanges, ListAndCatalogueMustBothAllowABox) {
  const struct {
    const char* state;
    bool listed;
    bool plays;
  } cases[] = {{"ready", true, true},      {"ready", false, false}, {"draining", true, false},
               {"draining", false, false}, {"gone", true, false},   {"gone", false, false}};
  for (const auto& c : cases) {
    CatalogueChanges fixture;
    for (auto& state : fixture.states)
      state = c.state;
    ++fixture.list_revision;
    fixture.net.run(fixture.net.now() + 500ms);
    fixture.put("t", c.listed ? std::vector<int>{1} : std::vector<int>{});
    const auto link = fixture.ask("t", 1);
    fixture.net.run(fixture.net.now() + 100ms);
    EXPECT_EQ(fixture.viewer.peers[link].got.starts_with("HTTP/1.1 200"), c.plays)
        << c.state << c.listed << fixture.viewer.peers[link].got;
  }
  // A location on a box that no list has named yet is accepted but not used.
  CatalogueChanges fixture;
  const auto answer =
      fixture.change("PUT", "/catalogue/recordings/t", cataloguewire::json_text(recording("t", {"b7"})));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  const auto link = fixture.ask("t", 1);
  fixture.net.run(fixture.net.now() + 50ms);
  EXPECT_TRUE(fixture.viewer.peers[link].got.starts_with("HTTP/1.1 503"));
}

// Random interleavings of requests, changes and list updates: no set-up is sent to a location that was not
// listed at that moment, and every request gets exactly one reply.
TEST(CatalogueChanges, NoSetUpIsSentToAnUnlistedLocation) {
  int set_ups = 0;
  for (unsigned seed = 1; seed <= 60; ++seed) {
    std::minstd_rand chance(seed);
    CatalogueChanges fixture;
    fixture.net.latency = Duration(50 + chance() % 4000);
    fixture.net.persist_time = Duration(chance() % 6000);
    for (int t = 0; t < 3; ++t)
      fixture.put("t" + std::to_string(t), {0, 1, 2});
    std::vector<ConnectionId> requested;
    for (int step = 0; step < 60; ++step) {
      const auto title = "t" + std::to_string(chance() % 3);
      if (chance() % 2 == 0)
        requested.push_back(fixture.ask(title, static_cast<int>(requested.size())));
      if (chance() % 3 == 0) {
        std::vector<int> where;
        for (int b = 0; b < 3; ++b) {
          if (chance() % 2 == 0)
            where.push_back(b);
        }
        fixture.put(title, where);
      }
      if (chance() % 6 == 0)
        fixture.states[chance() % 3] = chance() % 3 == 0 ? "draining" : "ready", ++fixture.list_revision;
      fixture.net.run(fixture.net.now() + Duration(chance() % 8000));
    }
    fixture.net.run(fixture.net.now() + 5s);
    for (const auto& violation : fixture.violations)
      ADD_FAILURE() << "seed " << seed << ": " << violation;
    for (const auto link : requested) {
      const auto& got = fixture.viewer.peers[link].got;
      ASSERT_TRUE(got.starts_with("HTTP/1.1 ")) << "seed " << seed << " link " << link;
      ASSERT_EQ(got.find("HTTP/1.1 ", 1), std::string::npos) << got;
    }
    set_ups += fixture.set_ups;
  }
  EXPECT_GT(set_ups, 800);
}

}  // namespace
}  // namespace violettide::catalogue
