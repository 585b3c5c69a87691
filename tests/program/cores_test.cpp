// The box list and the evaluation of hints, each tested alone.
#include <gtest/gtest.h>

#include <random>

#include "boxlist/boxlist.h"
#include "hints/evaluator/hint_evaluator.h"

namespace violettide {
namespace {

using namespace std::chrono_literals;

std::string list_text(int revision, const std::vector<std::string>& boxes) {
  std::string text = "{\"revision\":" + std::to_string(revision) + ",\"clock_ms\":100000,\"boxes\":[";
  for (std::size_t i = 0; i < boxes.size(); ++i)
    text += (i ? "," : "") + boxes[i];
  return text + "]}";
}
std::string box_text(const std::string& name, const std::string& state = "ready", int port = 80,
                     std::int64_t started = 90000, const std::string& address = "127.0.0.1") {
  return "{\"name\":\"" + name + "\",\"address\":\"" + address + "\",\"port\":" + std::to_string(port) +
         ",\"state\":\"" + state +
         "\",\"kind\":0,\"cell\":1,\"hall\":\"h\",\"weight\":1,\"started_ms\":" + std::to_string(started) +
         "}";
}

TEST(BoxList, AStartTimeIsConvertedOnceAndKept) {
  boxlist::BoxList list({"h"});
  auto update = list.apply(10s, list_text(1, {box_text("a"), box_text("b", "draining")}));
  ASSERT_TRUE(update.list);
  EXPECT_EQ(update.list->entries[0].started, 0s);
  EXPECT_EQ(update.list->entries[1].state, ServerState::draining);
  update = list.apply(10'300ms,
                      list_text(1, {box_text("a"), box_text("b")}));  // the same start time, received later
  EXPECT_EQ(update.list->entries[0].started, 0s);
  EXPECT_TRUE(update.replaced.empty());
  update = list.apply(11s, list_text(2, {box_text("a", "ready", 80, 99000), box_text("b", "ready", 81)}));
  EXPECT_EQ(update.list->entries[0].started, 10s);
  EXPECT_EQ(update.replaced, (std::vector<ServerId>{0, 1})) << "a has restarted, b has another port";
  EXPECT_EQ(list.find("b"), 1u);
}

TEST(BoxList, AnOlderListIsIgnored) {
  boxlist::BoxList list({"h"});
  list.apply(1s, list_text(5, {box_text("a", "draining")}));
  const auto update = list.apply(2s, list_text(4, {box_text("a")}));
  EXPECT_FALSE(update.list);
  EXPECT_EQ(list.box(0).state, ServerState::draining) << "an older list undoes no drain";
}

// Guards against ignoring the list service for ever after it lost its disk or was reinstalled and counts
// revisions from 1 again.
TEST(BoxList, ARestartedServiceIsFollowedAfterADelayAndItsDrainsAtOnce) {
  boxlist::BoxList list({"h"});
  list.apply(1s, list_text(500, {box_text("a"), box_text("b"), box_text("c", "draining")}));
  auto update = list.apply(2s, list_text(1, {box_text("a", "draining"), box_text("b"), box_text("c")}));
  ASSERT_TRUE(update.list) << "a drain is applied at once, whatever the revision";
  EXPECT_EQ(update.list->kind, ServerList::Kind::changes);
  ASSERT_EQ(update.list->entries.size(), 1u);
  EXPECT_EQ(update.list->entries[0].server, 0u);
  EXPECT_EQ(list.box(0).state, ServerState::draining);
  EXPECT_EQ(list.box(2).state, ServerState::draining) << "no drain is undone yet";
  EXPECT_FALSE(update.not_applied_cause.empty());
  update = list.apply(20s, list_text(3, {box_text("a", "draining"), box_text("b"), box_text("c")}));
  EXPECT_FALSE(update.list);
  update = list.apply(33s, list_text(4, {box_text("a", "draining"), box_text("b"), box_text("c")}));
  ASSERT_TRUE(update.list) << "its revision has been lower for 30 s: the service has restarted";
  EXPECT_EQ(list.revision(), 4);
  EXPECT_EQ(list.box(2).state, ServerState::ready);
}

TEST(BoxList, ARestartedServiceThatDropsBoxesNeedsOneConfirmation) {
  boxlist::BoxList list({"h"});
  list.apply(1s, list_text(500, {box_text("a"), box_text("b"), box_text("c"), box_text("d"), box_text("e")}));
  EXPECT_FALSE(list.apply(2s, list_text(1, {box_text("a")})).list);
  EXPECT_FALSE(list.apply(33s, list_text(2, {box_text("a")})).not_applied_cause.empty())
      << "unconfirmed, as with any list that drops so many boxes";
  const auto update = list.apply(34s, list_text(3, {box_text("a")}));
  EXPECT_TRUE(update.not_applied_cause.empty()) << update.not_applied_cause;
  EXPECT_EQ(list.revision(), 3);
  EXPECT_EQ(list.box(1).state, ServerState::gone);
}

TEST(BoxList, AServiceThatCatchesUpHasNotRestarted) {
  boxlist::BoxList list({"h"});
  list.apply(1s, list_text(500, {box_text("a", "draining")}));
  for (int i = 0; i < 10; ++i) {
    EXPECT_FALSE(list.apply(Duration(2s) + 5s * i, list_text(490, {box_text("a")})).list);
    EXPECT_TRUE(list.apply(Duration(3s) + 5s * i, list_text(500, {box_text("a", "draining")})).list);
  }
  EXPECT_EQ(list.box(0).state, ServerState::draining);
}

TEST(BoxList, AListThatDropsMostBoxesNeedsOneConfirmation) {
  boxlist::BoxList list({"h"});
  std::vector<std::string> all;
  for (int i = 0; i < 8; ++i)
    all.push_back(box_text("b" + std::to_string(i)));
  list.apply(1s, list_text(1, all));
  auto update = list.apply(2s, list_text(2, {box_text("b0", "draining")}));
  ASSERT_TRUE(update.list);
  EXPECT_EQ(update.list->kind, ServerList::Kind::changes);
  EXPECT_FALSE(update.not_applied_cause.empty());
  EXPECT_EQ(list.box(0).state, ServerState::draining) << "the boxes it names are updated at once";
  EXPECT_EQ(list.box(1).state, ServerState::ready);
  update = list.apply(3s, list_text(2, {box_text("b0", "draining")}));
  EXPECT_EQ(update.list->kind, ServerList::Kind::complete);
  EXPECT_EQ(list.box(1).state, ServerState::gone);
}

TEST(BoxList, ACachedListSetsNoStartTimes) {
  boxlist::BoxList list({"h"});
  const auto update = list.apply_cached(0s, list_text(7, {box_text("a")}));
  EXPECT_EQ(update.list->kind, ServerList::Kind::cached);
  EXPECT_FALSE(update.list->entries[0].started);
  EXPECT_TRUE(list.apply(1s, list_text(3, {box_text("a")})).list)
      << "a cached list's revision is not compared";
}

TEST(BoxList, AMalformedListChangesNothingAndNamesThePlace) {
  boxlist::BoxList list({"h"});
  list.apply(1s, list_text(1, {box_text("a")}));
  const std::pair<std::string, std::string> bad[] = {
      {"{", "byte 2"},
      {"[]", "list"},
      {"{\"revision\":2}", "list.clock_ms"},
      {list_text(2, {box_text("a"), box_text("a")}), "boxes[1].name"},
      {list_text(2, {box_text("b", "sleepy")}), "boxes[0].state"},
      {list_text(2, {box_text("b", "ready", 70000)}), "boxes[0].port"},
      {list_text(2, {box_text("b"), "7"}), "boxes[1]"},
      {list_text(2, {"{\"name\":\"x\"}"}), "boxes[0].address"},
      {list_text(2, {box_text("")}), "boxes[0].name"},
      {R"({"revision":1e999,"clock_ms":1,"boxes":[]})", "list"},
      {R"({"revision":99999999999999999999,"clock_ms":1,"boxes":[]})", "list.revision"},
      {list_text(2, {box_text("b", "ready", 1000, 90000, "box-1.example")}), "boxes[0].address"},
      {list_text(2, {box_text("b", "ready", 1000, 90000, "127.0.0.1.5")}), "boxes[0].address"},
      {list_text(2, {box_text("b", "ready", 1000, 90000, "")}), "boxes[0].address"},
      {list_text(2, {box_text("b", "ready", 1000, -9'000'000'000'000'000'000)}), "boxes[0].started_ms"},
      {R"({"revision":1,"clock_ms":9000000000000000000,"boxes":[]})", "list.clock_ms"}};
  for (const auto& [text, place] : bad) {
    const auto update = list.apply(2s, text);
    ASSERT_TRUE(update.error) << text;
    EXPECT_EQ(update.error->place, place);
    EXPECT_FALSE(update.list);
  }
  EXPECT_EQ(list.size(), 1u);
  EXPECT_EQ(list.revision(), 1);
}

using hints::CmcdReceived;
using hints::CmsdReceived;
using hints::HintEvaluator;
using hints::ObjectDelivered;

hints::CmsdDynamic util(double value) {
  hints::CmsdDynamic hop;
  hop.util = value;
  return hop;
}
hints::Cmcd starved() {
  hints::Cmcd cmcd;
  cmcd.buffer_starved = true;
  return cmcd;
}

TEST(HintEvaluator, AUtilContradictedByDeliveriesIsTrustedLess) {
  HintEvaluator evaluator(1s, {100});
  EXPECT_DOUBLE_EQ(*evaluator.handle(0s, CmsdReceived{1, util(0.1), 100}).report->link_fill, 0.1)
      << "no delivery contradicts it yet";
  for (int i = 1; i <= 6; ++i) {
    evaluator.handle(i * 300ms, ObjectDelivered{static_cast<PlaybackId>(i), 1, 0.5, false});
    evaluator.handle(i * 300ms, CmsdReceived{1, util(0.1), 100});
  }
  const auto fill = *evaluator.handle(2s, CmsdReceived{1, util(0.1), 100}).report->link_fill;
  EXPECT_GT(fill, 1.7) << "half the share means that twice the link is demanded";
  EXPECT_LT(evaluator.fill_trust(1), 0.1);
  EXPECT_DOUBLE_EQ(evaluator.fill_trust(2), 0.8) << "the trust in another box is unaffected";
  for (int i = 0; i < 60; ++i) {
    evaluator.handle(10s + i * 300ms, ObjectDelivered{1, 1, 1.0, false});
    evaluator.handle(10s + i * 300ms, CmsdReceived{1, util(0.4), 100});
  }
  EXPECT_GT(evaluator.fill_trust(1), 0.7) << "trust recovers with reports that agree with deliveries";
}

TEST(HintEvaluator, OverloadReportsAreLoweredWhileEverythingIsDelivered) {
  HintEvaluator evaluator(1s, {100});
  for (int i = 0; i < 6; ++i)
    evaluator.handle(i * 100ms, ObjectDelivered{1, 1, 1.0, false});
  const auto fill = *evaluator.handle(600ms, CmsdReceived{1, util(3), 100}).report->link_fill;
  EXPECT_LT(fill, 2.0);
  EXPECT_GE(fill, 1.0);
}

TEST(HintEvaluator, LowSharesAreMeasuredOnceAnIntervalAndOnceOnRecovery) {
  HintEvaluator evaluator(1s, {100});
  std::vector<double> shares;
  for (int i = 0; i < 80; ++i) {
    const double share = i < 30 ? 0.6 : 1.0;
    for (const auto& measurement :
         evaluator.handle(i * 100ms, ObjectDelivered{4, 2, share, false}).measurements)
      shares.push_back(measurement.value);
  }
  ASSERT_GE(shares.size(), 4u);
  EXPECT_LE(shares.size(), 8u);
  EXPECT_LT(shares.front(), 0.7);
  EXPECT_EQ(shares.back(), 1.0);
  EXPECT_EQ(std::count(shares.begin(), shares.end(), 1.0), 1);
}

TEST(HintEvaluator, AViewerThatReadsSlowlyIsNoEvidenceAboutItsBox) {
  HintEvaluator evaluator(1s, {100});
  for (int i = 0; i < 20; ++i)
    EXPECT_TRUE(evaluator.handle(i * 100ms, ObjectDelivered{4, 2, 0.1, true}).measurements.empty());
}

TEST(HintEvaluator, OneStarvingViewerBlamesItsLineTwoBlameTheBox) {
  HintEvaluator evaluator(1s, {100});
  for (int i = 0; i < 4; ++i)
    evaluator.handle(i * 100ms, ObjectDelivered{9, 1, 1.0, false});
  auto alone = evaluator.handle(500ms, CmcdReceived{1, 1, starved(), 100});
  EXPECT_EQ(alone.last_mile_limited, 1u);
  EXPECT_TRUE(alone.measurements.empty());
  auto second = evaluator.handle(600ms, CmcdReceived{2, 1, starved(), 100});
  EXPECT_FALSE(second.last_mile_limited);
  ASSERT_EQ(second.measurements.size(), 1u);
  EXPECT_LT(second.measurements[0].value, 0.98);
  // One starving viewer counts against the box if the relay measures low shares too.
  HintEvaluator other(1s, {100});
  other.handle(0s, ObjectDelivered{1, 1, 0.7, false});
  EXPECT_FALSE(other.handle(100ms, CmcdReceived{1, 1, starved(), 100}).last_mile_limited);
}

TEST(HintEvaluator, DuressOrLowThroughputCountsAsFullWithoutAUtil) {
  HintEvaluator evaluator(1s, {100});
  hints::CmsdDynamic hop;
  EXPECT_FALSE(evaluator.handle(0s, CmsdReceived{1, hop, 100}).report->link_fill);
  hop.duress = true;
  EXPECT_EQ(evaluator.handle(0s, CmsdReceived{1, hop, 100}).report->link_fill, 1.0);
  hop.duress = false;
  hop.estimated_throughput = 700;  // kbit/s, under 100 kB/s
  EXPECT_EQ(evaluator.handle(0s, CmsdReceived{1, hop, 100}).report->link_fill, 1.0);
}

TEST(HintEvaluator, TheTopRungIsNeverBelowTheFloor) {
  const HintEvaluator evaluator(1s, {10, 20, 40, 80});
  hints::Cmcd cmcd;
  EXPECT_EQ(evaluator.max_rung(cmcd, 1, 3, 1), 3);
  cmcd.top_bitrate = 330;
  EXPECT_EQ(evaluator.max_rung(cmcd, 1, 3, 1), 2);
  cmcd.top_bitrate = 1;
  EXPECT_EQ(evaluator.max_rung(cmcd, 1, 3, 1), 1);
  cmcd = {};
  cmcd.measured_throughput = 240;
  EXPECT_EQ(evaluator.max_rung(cmcd, 0, 3, 1), 3) << "throughput counts only while the buffer runs low";
  cmcd.buffer_length = 500;
  cmcd.object_duration = 1000;
  EXPECT_EQ(evaluator.max_rung(cmcd, 0, 3, 1), 1);
}

// For random hints of boxes and viewers in any order: link fills stay finite, shares lie from 0 to 1, and
// measurements of one box keep their interval.
TEST(HintEvaluator, HoldsForRandomHints) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::minstd_rand chance(seed);
    const auto draw = [&](unsigned n) { return static_cast<unsigned>(chance() % n); };
    HintEvaluator evaluator(1s, {10, 20});
    std::map<ServerId, Duration> last;
    Duration now{0};
    for (int i = 0; i < 2000; ++i) {
      now += std::chrono::milliseconds(draw(200));
      const ServerId server = draw(4);
      hints::Evaluation out;
      if (draw(3) == 0)
        out = evaluator.handle(
            now, ObjectDelivered{draw(9), server, static_cast<double>(draw(120)) / 100, draw(5) == 0});
      else if (draw(3) == 0)
        out = evaluator.handle(now, CmcdReceived{draw(9), server, draw(2) ? starved() : hints::Cmcd{}, 10});
      else if (draw(3) == 0)
        out = evaluator.handle(now, hints::PlaybackEnded{draw(9)});
      else if (draw(3) == 0)
        out = evaluator.handle(now, hints::Tick{});
      else {
        auto hop = util(static_cast<double>(draw(4000)) / 1000);
        if (draw(2))
          hop.share = static_cast<double>(draw(1500)) / 1000;
        hop.duress = draw(2);
        out = evaluator.handle(now, CmsdReceived{server, hop, 10});
      }
      if (out.report && out.report->link_fill) {
        ASSERT_TRUE(*out.report->link_fill >= 0 && *out.report->link_fill <= 20) << *out.report->link_fill;
      }
      for (const auto& measurement : out.measurements) {
        ASSERT_TRUE(measurement.value >= 0 && measurement.value <= 1);
        if (last.contains(measurement.server)) {
          ASSERT_GE(now - last[measurement.server], Duration(1s));
        }
        last[measurement.server] = now;
      }
    }
  }
}

}  // namespace
}  // namespace violettide
