// What players see while boxes change behind them, which rungs they are shown, what old addresses get, and
// passes that nobody can make up.
#include <gtest/gtest.h>

#include <random>

#include "gzip/gzip.h"
#include "hls/continuity/continuity.h"
#include "hls/showing/showing.h"
#include "passes/passes.h"
#include "signing/signing.h"

namespace violettide::hls {
namespace {

using namespace std::chrono_literals;

// A box's live list: segments `from` to `to`, less `without`, numbered from `number`.
struct Listed {
  int from = 0, to = 0;
  std::vector<int> without = {};
  std::optional<std::uint64_t> number = {};
  bool timed = true;
  std::string name = "s";
  bool ended = false;
  std::string type = {};
};
std::shared_ptr<const MediaPlaylist> list(const Listed& listed) {
  std::string text = "#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXT-X-MEDIA-SEQUENCE:" +
                     std::to_string(listed.number.value_or(static_cast<std::uint64_t>(listed.from))) + "\n";
  if (!listed.type.empty())
    text += "#EXT-X-PLAYLIST-TYPE:" + listed.type + "\n";
  for (int i = listed.from; i <= listed.to; ++i) {
    if (std::find(listed.without.begin(), listed.without.end(), i) != listed.without.end())
      continue;
    if (listed.timed) {
      char time[64];
      std::snprintf(time, sizeof time, "#EXT-X-PROGRAM-DATE-TIME:2026-01-01T%02d:%02d:%02dZ\n", 2 * i / 3600,
                    2 * i / 60 % 60, 2 * i % 60);
      text += time;
    }
    text += "#EXTINF:2,\n" + listed.name + std::to_string(i) + ".m4s\n";
  }
  if (listed.ended)
    text += "#EXT-X-ENDLIST\n";
  auto read = parse_media_playlist(text);
  if (auto* fault = std::get_if<PlaylistError>(&read))
    throw std::runtime_error(fault->text());
  return std::make_shared<const MediaPlaylist>(std::get<MediaPlaylist>(std::move(read)));
}
std::string text_of(const Window& window) { return std::get<std::string>(write_media_playlist(window, {})); }

// What a player makes of the playlists it is shown, one after another: it checks what RFC 8216 forbids.
struct Reader {
  std::map<std::uint64_t, std::string> seen;  // by number
  std::uint64_t first = 0, end = 0;
  std::vector<std::string> wrongs;
  void see(const std::string& text) {
    std::istringstream lines(text);
    std::string line, pending;
    std::uint64_t number = 0;
    bool sequence_told = false;
    std::vector<std::string> all;
    while (std::getline(lines, line)) {
      if (line.starts_with("#EXT-X-MEDIA-SEQUENCE:"))
        number = std::stoull(line.substr(22)), sequence_told = true;
      if (line == "#EXT-X-DISCONTINUITY")
        pending = "!";
      if (!line.empty() && line[0] != '#')
        all.push_back(std::exchange(pending, "") + line);
    }
    if (!sequence_told)
      wrongs.push_back("no number told");
    if (number < first)
      wrongs.push_back("the numbers went back");
    if (number + all.size() < end)
      wrongs.push_back("the end went back");
    first = number;
    for (const auto& uri : all) {
      const auto [it, fresh] = seen.emplace(number, uri);
      // A break that lies before the first of a list needs no tag there.
      const auto bare = [](const std::string& u) { return u.starts_with("!") ? u.substr(1) : u; };
      if (!fresh && bare(it->second) != bare(uri))
        wrongs.push_back("number " + std::to_string(number) + " changed");
      ++number;
    }
    end = std::max(end, number);
  }
  std::string in_order() const {
    std::string made;
    for (const auto& [number, uri] : seen)
      made += (made.empty() ? "" : " ") + uri;
    return made;
  }
};

TEST(Continuity, OneBoxIsCopiedAsItIs) {
  Continuity continuity;
  EXPECT_EQ(continuity.apply(0s, {list({10, 14}), 1, 0}).step, ContinuityResult::Step::started);
  EXPECT_TRUE(is_unchanged(continuity.window()));
  EXPECT_EQ(continuity.apply(2s, {list({11, 15}), 1, 0}).step, ContinuityResult::Step::continued);
  EXPECT_TRUE(is_unchanged(continuity.window()));
  EXPECT_EQ(continuity.apply(4s, {list({11, 15}), 1, 0}).step, ContinuityResult::Step::unchanged);
  EXPECT_EQ(continuity.apply(7s, {list({11, 15}), 1, 0}).unchanged_for, 5s);
  EXPECT_EQ(text_of(continuity.window()), list({11, 15})->text);
}

TEST(Continuity, ABoxBehindShowsWhatWasShown) {
  Continuity continuity;
  Reader reader;
  continuity.apply(0s, {list({10, 15}), 1, 0});
  reader.see(text_of(continuity.window()));
  EXPECT_EQ(continuity.apply(2s, {list({8, 13}), 2, 0}).step, ContinuityResult::Step::unchanged);
  reader.see(text_of(continuity.window()));
  EXPECT_EQ(continuity.apply(4s, {list({9, 14}), 2, 0}).step, ContinuityResult::Step::unchanged);
  reader.see(text_of(continuity.window()));
  EXPECT_EQ(continuity.apply(8s, {list({11, 16}), 2, 0}).step, ContinuityResult::Step::continued);
  reader.see(text_of(continuity.window()));
  EXPECT_TRUE(reader.wrongs.empty()) << reader.wrongs[0];
  EXPECT_EQ(reader.in_order(), "s10.m4s s11.m4s s12.m4s s13.m4s s14.m4s s15.m4s s16.m4s");
  EXPECT_TRUE(is_unchanged(continuity.window())) << "older lists are let go once the new box says the same";
}

TEST(Continuity, OtherNumbersAtTheNextBoxGoOnAsTheyWere) {
  Continuity continuity;
  Reader reader;
  continuity.apply(0s, {list({10, 15}), 1, 0});
  reader.see(text_of(continuity.window()));
  continuity.apply(2s, {list({12, 17, {}, 900}), 2, 0});
  reader.see(text_of(continuity.window()));
  EXPECT_EQ(continuity.window().media_sequence, 12u);
  EXPECT_EQ(continuity.server_sequence(18), 906u) << "what the player calls 18 is 906 there";
  continuity.apply(4s, {list({13, 18, {}, 901}), 2, 0});
  reader.see(text_of(continuity.window()));
  EXPECT_TRUE(reader.wrongs.empty()) << reader.wrongs[0];
  EXPECT_EQ(reader.in_order(), "s10.m4s s11.m4s s12.m4s s13.m4s s14.m4s s15.m4s s16.m4s s17.m4s s18.m4s");
}

TEST(Continuity, AGapAtTheNextBoxIsABreakOnlyWhereMediaIsMissing) {
  Continuity continuity;
  Reader reader;
  continuity.apply(0s, {list({10, 15}), 1, 0});
  reader.see(text_of(continuity.window()));
  // It lacks 14, which was shown, and 17, which was not.
  EXPECT_EQ(continuity.apply(6s, {list({12, 18, {14, 17}}), 2, 0}).step, ContinuityResult::Step::continued);
  const auto text = text_of(continuity.window());
  reader.see(text);
  EXPECT_TRUE(reader.wrongs.empty()) << reader.wrongs[0];
  EXPECT_EQ(reader.in_order(), "s10.m4s s11.m4s s12.m4s s13.m4s s14.m4s s15.m4s s16.m4s !s18.m4s");
  // And one that lacks what was shown last.
  Continuity other;
  Reader second;
  other.apply(0s, {list({10, 15}), 1, 0});
  second.see(text_of(other.window()));
  EXPECT_EQ(other.apply(2s, {list({12, 17, {15}}), 2, 0}).step, ContinuityResult::Step::continued);
  second.see(text_of(other.window()));
  EXPECT_EQ(second.in_order(), "s10.m4s s11.m4s s12.m4s s13.m4s s14.m4s s15.m4s s16.m4s s17.m4s");
}

TEST(Continuity, WhatNoBoxShowsAnyMoreIsABreak) {
  Continuity continuity;
  Reader reader;
  continuity.apply(0s, {list({10, 15}), 1, 0});
  reader.see(text_of(continuity.window()));
  EXPECT_EQ(continuity.apply(60s, {list({40, 45}), 2, 0}).step, ContinuityResult::Step::skipped);
  reader.see(text_of(continuity.window()));
  EXPECT_TRUE(reader.wrongs.empty()) << reader.wrongs[0];
  EXPECT_TRUE(reader.in_order().ends_with("s15.m4s !s40.m4s s41.m4s s42.m4s s43.m4s s44.m4s s45.m4s"));
  // What was left out is counted once it is gone.
  continuity.apply(62s, {list({47, 52}), 2, 0});
  continuity.apply(64s, {list({49, 54}), 2, 0});
  EXPECT_EQ(continuity.window().discontinuity_sequence, 2u);
}

TEST(Continuity, AnotherRungIsABreakInTheMediaAndNoneInItsCourse) {
  Continuity continuity;
  Reader reader;
  continuity.apply(0s, {list({10, 15, {}, {}, true, "high"}), 1, 2});
  reader.see(text_of(continuity.window()));
  EXPECT_EQ(continuity.apply(2s, {list({11, 16, {}, {}, true, "low"}), 1, 0}).step,
            ContinuityResult::Step::continued);
  reader.see(text_of(continuity.window()));
  EXPECT_EQ(continuity.apply(4s, {list({12, 17, {}, {}, true, "low"}), 1, 0}).step,
            ContinuityResult::Step::continued);
  reader.see(text_of(continuity.window()));
  EXPECT_TRUE(reader.wrongs.empty()) << reader.wrongs[0];
  EXPECT_EQ(reader.in_order(),
            "high10.m4s high11.m4s high12.m4s high13.m4s high14.m4s high15.m4s !low16.m4s low17.m4s");
  EXPECT_EQ(continuity.window().slices.size(), 2u);
  for (int i = 3; i < 10; ++i)
    continuity.apply(2s * i, {list({10 + i, 15 + i, {}, {}, true, "low"}), 1, 0});
  EXPECT_EQ(continuity.window().slices.size(), 1u) << "the older rung's list is let go";
  EXPECT_EQ(continuity.window().discontinuity_sequence, 1u);
  // Without times, numbers of the same box serve.
  Continuity untimed;
  untimed.apply(0s, {list({10, 15, {}, {}, false, "high"}), 1, 2});
  EXPECT_EQ(untimed.apply(2s, {list({11, 16, {}, {}, false, "low"}), 1, 0}).step,
            ContinuityResult::Step::continued);
}

TEST(Continuity, NothingThatTellsBeginsAnewNearTheEnd) {
  Continuity continuity;
  continuity.apply(0s, {list({10, 15, {}, {}, false}), 1, 0});
  EXPECT_EQ(continuity.apply(2s, {list({0, 5, {}, {}, false, "x"}), 2, 0}).step,
            ContinuityResult::Step::restarted);
  const auto text = text_of(continuity.window());
  EXPECT_NE(text.find("#EXT-X-DISCONTINUITY\n#EXTINF:2,\nx3.m4s"), std::string::npos) << text;
}

TEST(Continuity, AnEventLosesNothingAndAnEndIsTold) {
  Continuity continuity;
  Reader reader;
  continuity.apply(0s, {list({0, 4, {}, {}, true, "s", false, "EVENT"}), 1, 0});
  reader.see(text_of(continuity.window()));
  continuity.apply(2s, {list({0, 5, {}, {}, true, "t", false, "EVENT"}), 2, 1});
  reader.see(text_of(continuity.window()));
  EXPECT_EQ(continuity.window().media_sequence, 0u);
  EXPECT_EQ(continuity.window().size(), 6u);
  continuity.apply(4s, {list({0, 5, {}, {}, true, "s", true, "EVENT"}), 1, 0});
  EXPECT_TRUE(text_of(continuity.window()).ends_with("#EXT-X-ENDLIST\n"));
  EXPECT_TRUE(reader.wrongs.empty()) << reader.wrongs[0];
}

// A thousand days of a live recording on boxes that lag, lack segments and number as they like.
TEST(Continuity, WhateverTheBoxesNothingGoesBackAndNothingComesTwice) {
  for (unsigned seed = 1; seed <= 1000; ++seed) {
    std::minstd_rand chance(seed);
    Continuity continuity;
    Reader reader;
    struct Box {
      int lag;
      std::uint64_t offset;
      std::vector<int> lacks;
    };
    std::vector<Box> boxes(3);
    for (auto& box : boxes) {
      box.lag = static_cast<int>(chance() % 4);
      box.offset = chance() % 3 == 0 ? chance() % 5000 : 0;
      for (int i = 0; i < 200; ++i) {
        if (chance() % 15 == 0)
          box.lacks.push_back(i);
      }
    }
    std::size_t at = 0;
    int rung = 1;
    for (int edge = 20; edge < 120; ++edge) {
      if (chance() % 8 == 0)
        at = chance() % boxes.size();
      if (chance() % 20 == 0)
        rung = static_cast<int>(chance() % 2);
      if (chance() % 6 == 0)
        edge += static_cast<int>(chance() % 12);
      const auto& box = boxes[at];
      const int to = edge - box.lag;
      std::uint64_t number = box.offset + static_cast<std::uint64_t>(to - 7);
      for (const int lacking : box.lacks)
        number -= lacking < to - 7 ? 1 : 0;
      const auto media = list({to - 7, to, box.lacks, number, true, rung ? "h" : "l"});
      if (media->segments.empty())
        continue;
      continuity.apply(2s * edge, {media, static_cast<std::uint32_t>(at), rung});
      reader.see(text_of(continuity.window()));
      ASSERT_TRUE(reader.wrongs.empty()) << "seed " << seed << ": " << reader.wrongs[0];
      ASSERT_LE(continuity.window().slices.size(), 12u) << "seed " << seed;
    }
    // MediaPlaylist never goes back, and where it leaps the break is told.
    int last = -1;
    for (const auto& [number, uri] : reader.seen) {
      const bool broke = uri[0] == '!';
      const int media = std::stoi(uri.substr(broke ? 2 : 1));
      ASSERT_GT(media, last) << "seed " << seed << ": " << reader.in_order();
      ASSERT_TRUE(broke || media == last + 1 || last < 0) << "seed " << seed << ": " << reader.in_order();
      last = media;
    }
  }
}

// ---- showing ----

int high(Showing& showing, Span now) { return std::get<ListRungs>(showing.handle(now, ListsAsked{})).high; }

TEST(Showing, AFallIsShownAtOnceAndARiseOnceItHasStood) {
  Showing showing({}, 0);
  showing.handle(0s, TargetIs{2s, true});
  showing.handle(0s, RungIs{2});
  EXPECT_EQ(high(showing, 0s), 2);
  showing.handle(1s, RungIs{1});
  EXPECT_EQ(high(showing, 1s), 1);
  showing.handle(2s, RungIs{2});
  EXPECT_EQ(high(showing, 7s), 1);
  EXPECT_EQ(high(showing, 8s), 2) << "three target durations on";
  // The floor bounds what the module's word may show.
  Showing floored({}, 1);
  floored.handle(0s, RungIs{0});
  EXPECT_EQ(high(floored, 0s), 1);
}

TEST(Showing, OneHighWordAtTheEndCountsForNothing) {
  Showing showing({}, 0);
  showing.handle(0s, TargetIs{2s, true});
  high(showing, 0s);
  showing.handle(1s, RungIs{1});
  showing.handle(6s, RungIs{3});
  EXPECT_EQ(high(showing, 8s), 1) << "1 stood for three durations, 3 did not";
  EXPECT_EQ(high(showing, 14s), 3);
}

TEST(Showing, AWordThatGoesUpAndDownMovesNoPlayerUpAndDown) {
  for (const Span beat : {Span(500ms), Span(3s), Span(7s), Span(8s)}) {
    Showing showing({}, 0);
    showing.handle(0s, TargetIs{2s, true});
    showing.handle(0s, RungIs{1});
    int last = high(showing, 0s), changes = 0, words = 0;
    for (Span now = beat; now < 10min; now += beat) {
      showing.handle(now, RungIs{words++ % 2 ? 1 : 2});
      for (Span ask = now; ask < now + beat; ask += 500ms) {
        const int shown = high(showing, ask);
        changes += shown != last;
        last = shown;
      }
    }
    EXPECT_LE(changes, 4) << "in ten minutes, at a beat of " << beat.count() / 1000 << " ms, of " << words;
  }
}

TEST(Showing, SegmentsOfAnOlderListStayGoodForAWhile) {
  Showing showing({}, 0);
  showing.handle(0s, TargetIs{2s, true});
  showing.handle(0s, RungIs{2});
  high(showing, 0s);
  showing.handle(10s, RungIs{1});
  EXPECT_TRUE(std::holds_alternative<Deliver>(showing.handle(12s, SegmentAsked{2, {}})));
  EXPECT_EQ(std::get<TooHigh>(showing.handle(17s, SegmentAsked{2, {}})).rung, 1);
  EXPECT_TRUE(std::holds_alternative<Deliver>(showing.handle(17s, SegmentAsked{1, {}})));
  EXPECT_EQ(std::get<FillFrom>(showing.handle(17s, MediaAsked{2})).rung, 1);
  EXPECT_EQ(std::get<FillFrom>(showing.handle(17s, MediaAsked{0})).rung, 0);
}

TEST(Showing, SilenceIsMeasuredByWhatThePlayerHolds) {
  Showing live({10s}, 0), recorded({10s}, 0);
  live.handle(0s, TargetIs{2s, true});
  EXPECT_EQ(live.silence(), 6s);
  live.handle(0s, SegmentAsked{0, 4s});
  EXPECT_EQ(live.silence(), 10s);
  recorded.handle(0s, TargetIs{2s, false});
  recorded.handle(0s, SegmentAsked{0, 30s});
  EXPECT_EQ(recorded.silence(), 40s);
}

TEST(Orphans, EachGetsWhatItsPlanAllows) {
  const auto is = [](const OrphanVerdict& v) { return v.index(); };
  constexpr std::size_t carry_over = 0, anew = 1, over = 2, come_back = 3;
  Orphan plain;
  EXPECT_EQ(is(judge(0s, plain)), anew);
  plain.box_ready = true;
  EXPECT_EQ(is(judge(0s, plain)), carry_over) << "another process served it";
  auto seats = plain;
  seats.counted_seats = true;
  EXPECT_EQ(is(judge(0s, seats)), anew) << "the module counts seats";
  auto expired = plain;
  expired.expired = true;
  EXPECT_EQ(is(judge(0s, expired)), over);
  auto paid = plain;
  paid.paid_at_setup = true;
  EXPECT_EQ(is(judge(0s, paid)), carry_over) << "no set-up is sent for it";
  paid.box_ready = false;
  EXPECT_EQ(is(judge(0s, paid)), over);
  paid.box_ready = true;
  paid.departed = Departures::Departed{Ending::silent, 0s, 0s};
  EXPECT_EQ(is(judge(0s, paid)), over) << "it would be paid twice";
  auto refused = plain;
  refused.departed = Departures::Departed{Ending::refused, 0s, 5s};
  EXPECT_EQ(std::get<ComeBack>(judge(2s, refused)).in, 3s);
  EXPECT_EQ(is(judge(6s, refused)), anew);
  EXPECT_EQ(is(judge(2s, refused)), come_back);
  auto steering = plain;
  steering.asks = Orphan::Asks::steering;
  EXPECT_EQ(is(judge(0s, steering)), over);
}

TEST(Orphans, DeparturesAreBoundedAndPass) {
  Departures departures(3, 10s);
  for (int i = 0; i < 5; ++i)
    departures.note(Span(i), std::to_string(i), Ending::lost);
  EXPECT_EQ(departures.size(), 3u);
  EXPECT_FALSE(departures.find(1s, "0").has_value());
  EXPECT_TRUE(departures.find(1s, "4").has_value());
  EXPECT_FALSE(departures.find(20s, "4").has_value());
  for (int i = 0; i < 1000; ++i)
    departures.note(1s, "same", Ending::lost);
  EXPECT_LE(departures.size(), 3u);
  EXPECT_TRUE(departures.find(1s, "same").has_value());
}

}  // namespace
}  // namespace violettide::hls

namespace violettide::passes {
namespace {

using namespace std::chrono_literals;

Pass a_pass() {
  Pass pass;
  pass.plan = 1;
  pass.rung = 2;
  pass.reader = 3;
  pass.title = "t/ä";
  pass.sid = "s";
  pass.box = "box-1";
  pass.place = "/p/t/r2/index.m3u8?x=1";
  return pass;
}
PassTerms terms_of(std::vector<std::string> secrets) {
  PassTerms terms;
  terms.secrets = std::move(secrets);
  return terms;
}

TEST(Passes, SayAgainWhatWasSigned) {
  KeyRing keys(terms_of({"one"}));
  auto pass = a_pass();
  const auto token = keys.write(100h, pass);
  pass.expires = 106h;
  EXPECT_EQ(std::get<Pass>(keys.read(101h, token)), pass);
  pass.flat = pass.steady = true;
  pass.names = Pass::Names::resource;
  EXPECT_EQ(std::get<Pass>(keys.read(101h, keys.write(100h, pass))), pass);
  // Another process with the same secret knows it; one with another does not.
  EXPECT_TRUE(std::holds_alternative<Pass>(KeyRing(terms_of({"one"})).read(101h, token)));
  EXPECT_EQ(std::get<Refused>(KeyRing(terms_of({"two"})).read(101h, token)).why, Refusal::forged);
  EXPECT_TRUE(std::holds_alternative<Pass>(KeyRing(terms_of({"two", "one"})).read(101h, token)))
      << "an older secret is good while it is listed";
}

TEST(Passes, EveryChangedLetterIsForgedOrNone) {
  KeyRing keys(terms_of({"one"}));
  const auto token = keys.write(100h, a_pass());
  for (std::size_t i = 0; i < token.size(); ++i) {
    for (const char other : {'A', 'z', '_', '%', '/'}) {
      if (token[i] == other)
        continue;
      auto changed = token;
      changed[i] = other;
      EXPECT_TRUE(std::holds_alternative<Refused>(keys.read(101h, changed))) << i << other;
    }
    EXPECT_TRUE(std::holds_alternative<Refused>(keys.read(101h, token.substr(0, i))));
  }
  EXPECT_TRUE(std::holds_alternative<Refused>(keys.read(101h, token + "A")));
  EXPECT_TRUE(std::holds_alternative<Refused>(keys.read(101h, std::string(5000, 'A'))));
}

TEST(Passes, ExpireAndTellWhoseTheyWere) {
  KeyRing keys(terms_of({"one"}));
  const auto token = keys.write(100h, a_pass());
  EXPECT_TRUE(std::holds_alternative<Pass>(keys.read(106h + 59s, token))) << "clocks may differ a little";
  const auto late = keys.read(106h + 61s, token);
  ASSERT_EQ(std::get<Refused>(late).why, Refusal::expired);
  EXPECT_EQ(std::get<Refused>(late).pass->sid, "s");
  EXPECT_EQ(std::get<Refused>(keys.read(99h - 62s, token)).why, Refusal::forged)
      << "signed further ahead than clocks may differ";
}

TEST(Passes, TextsOfBytesAreOne) {
  std::minstd_rand chance(1);
  for (std::size_t size = 0; size < 70; ++size) {
    std::string bytes(size, '\0');
    for (auto& byte : bytes)
      byte = static_cast<char>(chance());
    EXPECT_EQ(signing::from_base64url(signing::base64url(bytes)), bytes);
  }
  EXPECT_FALSE(signing::from_base64url("AB").has_value()) << "bits behind the last byte that are not zero";
  EXPECT_FALSE(signing::from_base64url("A").has_value());
  EXPECT_FALSE(signing::from_base64url("a+b/").has_value());
}

TEST(Gzip, TakesBackWhatItPackedWithinItsLimit) {
  std::string text;
  for (int i = 0; i < 20000; ++i)
    text += "#EXTINF:2,\nsegment" + std::to_string(i) + "\n";
  const auto packed = gzip::packed(text);
  EXPECT_LT(packed.size(), text.size() / 3);
  EXPECT_EQ(gzip::unpacked(packed, text.size()), text);
  EXPECT_FALSE(gzip::unpacked(packed, text.size() - 1).has_value());
  EXPECT_FALSE(gzip::unpacked(packed.substr(0, packed.size() - 1), 1 << 24).has_value());
  EXPECT_FALSE(gzip::unpacked(packed + "x", 1 << 24).has_value());
  EXPECT_FALSE(gzip::unpacked("no gzip", 1 << 24).has_value());
  const auto bomb = gzip::packed(std::string(64 << 20, '\0'));
  EXPECT_FALSE(gzip::unpacked(bomb, 1 << 20).has_value());
  EXPECT_TRUE(gzip::accepted("br, gzip;q=0.5"));
  EXPECT_FALSE(gzip::accepted("gzip;q=0, identity"));
  EXPECT_FALSE(gzip::accepted(""));
}

}  // namespace
}  // namespace violettide::passes
