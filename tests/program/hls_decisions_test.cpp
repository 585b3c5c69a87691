// The decisions behind HLS playlists: continuity of a player's playlist across video servers, the rungs
// listed, answers to requests of unknown playbacks, signed URLs, base64url and gzip.
#include <gtest/gtest.h>

#include <random>

#include "gzip/gzip.h"
#include "hls/continuity/continuity.h"
#include "hls/playback_policy/playback_policy.h"
#include "signed_url/signed_url.h"
#include "signing/signing.h"

namespace violettide::hls {
namespace {

using namespace std::chrono_literals;

// A live playlist of a video server: segments `from` to `to` except `without`, numbered from `number`.
struct ListSpec {
  int from = 0, to = 0;
  std::vector<int> without = {};
  std::optional<std::uint64_t> number = {};
  bool timed = true;
  std::string name = "s";
  bool ended = false;
  std::string type = {};
};
std::shared_ptr<const MediaPlaylist> make_playlist(const ListSpec& spec) {
  std::string text = "#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXT-X-MEDIA-SEQUENCE:" +
                     std::to_string(spec.number.value_or(static_cast<std::uint64_t>(spec.from))) + "\n";
  if (!spec.type.empty())
    text += "#EXT-X-PLAYLIST-TYPE:" + spec.type + "\n";
  for (int i = spec.from; i <= spec.to; ++i) {
    if (std::find(spec.without.begin(), spec.without.end(), i) != spec.without.end())
      continue;
    if (spec.timed) {
      char time[64];
      std::snprintf(time, sizeof time, "#EXT-X-PROGRAM-DATE-TIME:2026-01-01T%02d:%02d:%02dZ\n", 2 * i / 3600,
                    2 * i / 60 % 60, 2 * i % 60);
      text += time;
    }
    text += "#EXTINF:2,\n" + spec.name + std::to_string(i) + ".m4s\n";
  }
  if (spec.ended)
    text += "#EXT-X-ENDLIST\n";
  auto read = parse_media_playlist(text);
  if (auto* error = std::get_if<PlaylistError>(&read))
    throw std::runtime_error(error->text());
  return std::make_shared<const MediaPlaylist>(std::get<MediaPlaylist>(std::move(read)));
}
std::string write_text(const Window& window) {
  return std::get<std::string>(write_media_playlist(window, {}));
}

// Checks successive versions of a playlist, as a player would see them, for violations of RFC 8216.
struct Player {
  std::map<std::uint64_t, std::string> seen;  // by number
  std::uint64_t first = 0, end = 0;
  std::vector<std::string> violations;
  void check(const std::string& text) {
    std::istringstream lines(text);
    std::string line, pending;
    std::uint64_t number = 0;
    bool has_sequence = false;
    std::vector<std::string> all;
    while (std::getline(lines, line)) {
      if (line.starts_with("#EXT-X-MEDIA-SEQUENCE:"))
        number = std::stoull(line.substr(22)), has_sequence = true;
      if (line == "#EXT-X-DISCONTINUITY")
        pending = "!";
      if (!line.empty() && line[0] != '#')
        all.push_back(std::exchange(pending, "") + line);
    }
    if (!has_sequence)
      violations.push_back("no media sequence number");
    if (number < first)
      violations.push_back("the media sequence number went back");
    if (number + all.size() < end)
      violations.push_back("the end went back");
    first = number;
    for (const auto& uri : all) {
      const auto [it, fresh] = seen.emplace(number, uri);
      // A discontinuity before the first segment of a playlist needs no tag.
      const auto without_mark = [](const std::string& u) { return u.starts_with("!") ? u.substr(1) : u; };
      if (!fresh && without_mark(it->second) != without_mark(uri))
        violations.push_back("number " + std::to_string(number) + " changed");
      ++number;
    }
    end = std::max(end, number);
  }
  std::string in_order() const {
    std::string text;
    for (const auto& [number, uri] : seen)
      text += (text.empty() ? "" : " ") + uri;
    return text;
  }
};

TEST(Continuity, OneServerIsCopiedUnchanged) {
  Continuity continuity;
  EXPECT_EQ(continuity.apply(0s, {make_playlist({10, 14}), 1, 0}).step, ContinuityResult::Step::started);
  EXPECT_TRUE(is_unchanged(continuity.window()));
  EXPECT_EQ(continuity.apply(2s, {make_playlist({11, 15}), 1, 0}).step, ContinuityResult::Step::continued);
  EXPECT_TRUE(is_unchanged(continuity.window()));
  EXPECT_EQ(continuity.apply(4s, {make_playlist({11, 15}), 1, 0}).step, ContinuityResult::Step::unchanged);
  EXPECT_EQ(continuity.apply(7s, {make_playlist({11, 15}), 1, 0}).unchanged_for, 5s);
  EXPECT_EQ(write_text(continuity.window()), make_playlist({11, 15})->text);
}

TEST(Continuity, LaggingServerRepeatsTheWindow) {
  Continuity continuity;
  Player player;
  continuity.apply(0s, {make_playlist({10, 15}), 1, 0});
  player.check(write_text(continuity.window()));
  EXPECT_EQ(continuity.apply(2s, {make_playlist({8, 13}), 2, 0}).step, ContinuityResult::Step::unchanged);
  player.check(write_text(continuity.window()));
  EXPECT_EQ(continuity.apply(4s, {make_playlist({9, 14}), 2, 0}).step, ContinuityResult::Step::unchanged);
  player.check(write_text(continuity.window()));
  EXPECT_EQ(continuity.apply(8s, {make_playlist({11, 16}), 2, 0}).step, ContinuityResult::Step::continued);
  player.check(write_text(continuity.window()));
  EXPECT_TRUE(player.violations.empty()) << player.violations[0];
  EXPECT_EQ(player.in_order(), "s10.m4s s11.m4s s12.m4s s13.m4s s14.m4s s15.m4s s16.m4s");
  EXPECT_TRUE(is_unchanged(continuity.window()))
      << "older playlists are released once the new server lists the same segments";
}

TEST(Continuity, RenumberingServerKeepsThePlayersNumbers) {
  Continuity continuity;
  Player player;
  continuity.apply(0s, {make_playlist({10, 15}), 1, 0});
  player.check(write_text(continuity.window()));
  continuity.apply(2s, {make_playlist({12, 17, {}, 900}), 2, 0});
  player.check(write_text(continuity.window()));
  EXPECT_EQ(continuity.window().media_sequence, 12u);
  EXPECT_EQ(continuity.server_sequence(18), 906u) << "the server numbers the player's segment 18 as 906";
  continuity.apply(4s, {make_playlist({13, 18, {}, 901}), 2, 0});
  player.check(write_text(continuity.window()));
  EXPECT_TRUE(player.violations.empty()) << player.violations[0];
  EXPECT_EQ(player.in_order(), "s10.m4s s11.m4s s12.m4s s13.m4s s14.m4s s15.m4s s16.m4s s17.m4s s18.m4s");
}

TEST(Continuity, MissingSegmentsAreADiscontinuityOnlyIfNotShown) {
  Continuity continuity;
  Player player;
  continuity.apply(0s, {make_playlist({10, 15}), 1, 0});
  player.check(write_text(continuity.window()));
  // The server lacks 14, which was shown, and 17, which was not.
  EXPECT_EQ(continuity.apply(6s, {make_playlist({12, 18, {14, 17}}), 2, 0}).step,
            ContinuityResult::Step::continued);
  const auto text = write_text(continuity.window());
  player.check(text);
  EXPECT_TRUE(player.violations.empty()) << player.violations[0];
  EXPECT_EQ(player.in_order(), "s10.m4s s11.m4s s12.m4s s13.m4s s14.m4s s15.m4s s16.m4s !s18.m4s");
  // A server that lacks the last segment shown.
  Continuity other;
  Player second;
  other.apply(0s, {make_playlist({10, 15}), 1, 0});
  second.check(write_text(other.window()));
  EXPECT_EQ(other.apply(2s, {make_playlist({12, 17, {15}}), 2, 0}).step, ContinuityResult::Step::continued);
  second.check(write_text(other.window()));
  EXPECT_EQ(second.in_order(), "s10.m4s s11.m4s s12.m4s s13.m4s s14.m4s s15.m4s s16.m4s s17.m4s");
}

TEST(Continuity, SegmentsThatNoServerListsAreADiscontinuity) {
  Continuity continuity;
  Player player;
  continuity.apply(0s, {make_playlist({10, 15}), 1, 0});
  player.check(write_text(continuity.window()));
  EXPECT_EQ(continuity.apply(60s, {make_playlist({40, 45}), 2, 0}).step, ContinuityResult::Step::skipped);
  player.check(write_text(continuity.window()));
  EXPECT_TRUE(player.violations.empty()) << player.violations[0];
  EXPECT_TRUE(player.in_order().ends_with("s15.m4s !s40.m4s s41.m4s s42.m4s s43.m4s s44.m4s s45.m4s"));
  // The discontinuity counts once it has left the playlist.
  continuity.apply(62s, {make_playlist({47, 52}), 2, 0});
  continuity.apply(64s, {make_playlist({49, 54}), 2, 0});
  EXPECT_EQ(continuity.window().discontinuity_sequence, 2u);
}

TEST(Continuity, RungSwitchIsADiscontinuityWithoutSkippedSegments) {
  Continuity continuity;
  Player player;
  continuity.apply(0s, {make_playlist({10, 15, {}, {}, true, "high"}), 1, 2});
  player.check(write_text(continuity.window()));
  EXPECT_EQ(continuity.apply(2s, {make_playlist({11, 16, {}, {}, true, "low"}), 1, 0}).step,
            ContinuityResult::Step::continued);
  player.check(write_text(continuity.window()));
  EXPECT_EQ(continuity.apply(4s, {make_playlist({12, 17, {}, {}, true, "low"}), 1, 0}).step,
            ContinuityResult::Step::continued);
  player.check(write_text(continuity.window()));
  EXPECT_TRUE(player.violations.empty()) << player.violations[0];
  EXPECT_EQ(player.in_order(),
            "high10.m4s high11.m4s high12.m4s high13.m4s high14.m4s high15.m4s !low16.m4s low17.m4s");
  EXPECT_EQ(continuity.window().slices.size(), 2u);
  for (int i = 3; i < 10; ++i)
    continuity.apply(2s * i, {make_playlist({10 + i, 15 + i, {}, {}, true, "low"}), 1, 0});
  EXPECT_EQ(continuity.window().slices.size(), 1u) << "the older rung's playlist is released";
  EXPECT_EQ(continuity.window().discontinuity_sequence, 1u);
  // Without times, the sequence numbers of the same server match.
  Continuity untimed;
  untimed.apply(0s, {make_playlist({10, 15, {}, {}, false, "high"}), 1, 2});
  EXPECT_EQ(untimed.apply(2s, {make_playlist({11, 16, {}, {}, false, "low"}), 1, 0}).step,
            ContinuityResult::Step::continued);
}

TEST(Continuity, UnrelatedPlaylistRestartsNearItsEnd) {
  Continuity continuity;
  continuity.apply(0s, {make_playlist({10, 15, {}, {}, false}), 1, 0});
  EXPECT_EQ(continuity.apply(2s, {make_playlist({0, 5, {}, {}, false, "x"}), 2, 0}).step,
            ContinuityResult::Step::restarted);
  const auto text = write_text(continuity.window());
  EXPECT_NE(text.find("#EXT-X-DISCONTINUITY\n#EXTINF:2,\nx3.m4s"), std::string::npos) << text;
}

TEST(Continuity, EventPlaylistKeepsAllSegmentsAndItsEnd) {
  Continuity continuity;
  Player player;
  continuity.apply(0s, {make_playlist({0, 4, {}, {}, true, "s", false, "EVENT"}), 1, 0});
  player.check(write_text(continuity.window()));
  continuity.apply(2s, {make_playlist({0, 5, {}, {}, true, "t", false, "EVENT"}), 2, 1});
  player.check(write_text(continuity.window()));
  EXPECT_EQ(continuity.window().media_sequence, 0u);
  EXPECT_EQ(continuity.window().size(), 6u);
  continuity.apply(4s, {make_playlist({0, 5, {}, {}, true, "s", true, "EVENT"}), 1, 0});
  EXPECT_TRUE(write_text(continuity.window()).ends_with("#EXT-X-ENDLIST\n"));
  EXPECT_TRUE(player.violations.empty()) << player.violations[0];
}

// Random live playlists on servers that lag, lack segments and number differently.
TEST(Continuity, NothingGoesBackOrRepeatsWhateverTheServers) {
  for (unsigned seed = 1; seed <= 1000; ++seed) {
    std::minstd_rand rng(seed);
    Continuity continuity;
    Player player;
    struct Box {
      int lag;
      std::uint64_t offset;
      std::vector<int> missing;
    };
    std::vector<Box> boxes(3);
    for (auto& box : boxes) {
      box.lag = static_cast<int>(rng() % 4);
      box.offset = rng() % 3 == 0 ? rng() % 5000 : 0;
      for (int i = 0; i < 200; ++i) {
        if (rng() % 15 == 0)
          box.missing.push_back(i);
      }
    }
    std::size_t at = 0;
    int rung = 1;
    for (int edge = 20; edge < 120; ++edge) {
      if (rng() % 8 == 0)
        at = rng() % boxes.size();
      if (rng() % 20 == 0)
        rung = static_cast<int>(rng() % 2);
      if (rng() % 6 == 0)
        edge += static_cast<int>(rng() % 12);
      const auto& box = boxes[at];
      const int to = edge - box.lag;
      std::uint64_t number = box.offset + static_cast<std::uint64_t>(to - 7);
      for (const int missing_segment : box.missing)
        number -= missing_segment < to - 7 ? 1 : 0;
      const auto media = make_playlist({to - 7, to, box.missing, number, true, rung ? "h" : "l"});
      if (media->segments.empty())
        continue;
      continuity.apply(2s * edge, {media, static_cast<std::uint32_t>(at), rung});
      player.check(write_text(continuity.window()));
      ASSERT_TRUE(player.violations.empty()) << "seed " << seed << ": " << player.violations[0];
      ASSERT_LE(continuity.window().slices.size(), 12u) << "seed " << seed;
    }
    // The media never goes back, and every jump has a discontinuity.
    int last = -1;
    for (const auto& [number, uri] : player.seen) {
      const bool has_discontinuity = uri[0] == '!';
      const int media = std::stoi(uri.substr(has_discontinuity ? 2 : 1));
      ASSERT_GT(media, last) << "seed " << seed << ": " << player.in_order();
      ASSERT_TRUE(has_discontinuity || media == last + 1 || last < 0)
          << "seed " << seed << ": " << player.in_order();
      last = media;
    }
  }
}

// ---- rung policy ----

int highest_listed(RungPolicy& policy, Duration now) {
  return std::get<ListRungs>(policy.handle(now, MultivariantRequested{})).high;
}

TEST(RungPolicy, LowersAtOnceAndRaisesAfterADelay) {
  RungPolicy policy({}, 0);
  policy.handle(0s, TargetDurationRead{2s, true});
  policy.handle(0s, RungDecided{2});
  EXPECT_EQ(highest_listed(policy, 0s), 2);
  policy.handle(1s, RungDecided{1});
  EXPECT_EQ(highest_listed(policy, 1s), 1);
  policy.handle(2s, RungDecided{2});
  EXPECT_EQ(highest_listed(policy, 7s), 1);
  EXPECT_EQ(highest_listed(policy, 8s), 2) << "three target durations later";
  // Decisions below the floor list the floor.
  RungPolicy with_floor({}, 1);
  with_floor.handle(0s, RungDecided{0});
  EXPECT_EQ(highest_listed(with_floor, 0s), 1);
}

TEST(RungPolicy, ShortPeakDoesNotCount) {
  RungPolicy policy({}, 0);
  policy.handle(0s, TargetDurationRead{2s, true});
  highest_listed(policy, 0s);
  policy.handle(1s, RungDecided{1});
  policy.handle(6s, RungDecided{3});
  EXPECT_EQ(highest_listed(policy, 8s), 1) << "rung 1 lasted three target durations, rung 3 did not";
  EXPECT_EQ(highest_listed(policy, 14s), 3);
}

TEST(RungPolicy, AlternatingDecisionDoesNotMakePlayersAlternate) {
  for (const Duration period : {Duration(500ms), Duration(3s), Duration(7s), Duration(8s)}) {
    RungPolicy policy({}, 0);
    policy.handle(0s, TargetDurationRead{2s, true});
    policy.handle(0s, RungDecided{1});
    int last = highest_listed(policy, 0s), changes = 0, decisions = 0;
    for (Duration now = period; now < 10min; now += period) {
      policy.handle(now, RungDecided{decisions++ % 2 ? 1 : 2});
      for (Duration ask = now; ask < now + period; ask += 500ms) {
        const int shown = highest_listed(policy, ask);
        changes += shown != last;
        last = shown;
      }
    }
    EXPECT_LE(changes, 4) << "in ten minutes, at a period of " << period.count() / 1000 << " ms, of "
                          << decisions;
  }
}

TEST(RungPolicy, UnlistedSegmentsAreServedForAGracePeriod) {
  RungPolicy policy({}, 0);
  policy.handle(0s, TargetDurationRead{2s, true});
  policy.handle(0s, RungDecided{2});
  highest_listed(policy, 0s);
  policy.handle(10s, RungDecided{1});
  EXPECT_TRUE(std::holds_alternative<Deliver>(policy.handle(12s, SegmentRequested{2, {}})));
  EXPECT_EQ(std::get<RungTooHigh>(policy.handle(17s, SegmentRequested{2, {}})).rung, 1);
  EXPECT_TRUE(std::holds_alternative<Deliver>(policy.handle(17s, SegmentRequested{1, {}})));
  EXPECT_EQ(std::get<UseRung>(policy.handle(17s, MediaPlaylistRequested{2})).rung, 1);
  EXPECT_EQ(std::get<UseRung>(policy.handle(17s, MediaPlaylistRequested{0})).rung, 0);
}

TEST(RungPolicy, IdleTimeoutAllowsForThePlayersBuffer) {
  RungPolicy live({10s}, 0), recorded({10s}, 0);
  live.handle(0s, TargetDurationRead{2s, true});
  EXPECT_EQ(live.idle_timeout(), 6s);
  live.handle(0s, SegmentRequested{0, 4s});
  EXPECT_EQ(live.idle_timeout(), 10s);
  recorded.handle(0s, TargetDurationRead{2s, false});
  recorded.handle(0s, SegmentRequested{0, 30s});
  EXPECT_EQ(recorded.idle_timeout(), 40s);
}

TEST(OrphanedRequests, VerdictDependsOnThePlan) {
  const auto is = [](const OrphanVerdict& v) { return v.index(); };
  constexpr std::size_t adopt = 0, start_anew = 1, gone = 2, retry_later = 3;
  OrphanedRequest base;
  EXPECT_EQ(is(judge_orphaned_request(0s, base)), start_anew);
  base.server_ready = true;
  EXPECT_EQ(is(judge_orphaned_request(0s, base)), adopt) << "another process served it";
  auto seats = base;
  seats.counted_seats = true;
  EXPECT_EQ(is(judge_orphaned_request(0s, seats)), start_anew) << "the placement policy counts seats";
  auto expired = base;
  expired.expired = true;
  EXPECT_EQ(is(judge_orphaned_request(0s, expired)), gone);
  auto paid = base;
  paid.paid_at_setup = true;
  EXPECT_EQ(is(judge_orphaned_request(0s, paid)), adopt) << "no set-up is sent for it";
  paid.server_ready = false;
  EXPECT_EQ(is(judge_orphaned_request(0s, paid)), gone);
  paid.server_ready = true;
  paid.ended = EndedPlaybacks::Record{EndReason::idle, 0s, 0s};
  EXPECT_EQ(is(judge_orphaned_request(0s, paid)), gone) << "it would be paid twice";
  auto refused = base;
  refused.ended = EndedPlaybacks::Record{EndReason::rejected, 0s, 5s};
  EXPECT_EQ(std::get<RetryLater>(judge_orphaned_request(2s, refused)).after, 3s);
  EXPECT_EQ(is(judge_orphaned_request(6s, refused)), start_anew);
  EXPECT_EQ(is(judge_orphaned_request(2s, refused)), retry_later);
  auto steering = base;
  steering.resource = OrphanedRequest::Resource::steering;
  EXPECT_EQ(is(judge_orphaned_request(0s, steering)), gone);
}

TEST(OrphanedRequests, EndedPlaybacksAreBoundedAndExpire) {
  EndedPlaybacks ended(3, 10s);
  for (int i = 0; i < 5; ++i)
    ended.record(Duration(i), std::to_string(i), EndReason::lost);
  EXPECT_EQ(ended.size(), 3u);
  EXPECT_FALSE(ended.find(1s, "0").has_value());
  EXPECT_TRUE(ended.find(1s, "4").has_value());
  EXPECT_FALSE(ended.find(20s, "4").has_value());
  for (int i = 0; i < 1000; ++i)
    ended.record(1s, "same", EndReason::lost);
  EXPECT_LE(ended.size(), 3u);
  EXPECT_TRUE(ended.find(1s, "same").has_value());
}

}  // namespace
}  // namespace violettide::hls

namespace violettide::signed_url {
namespace {

using namespace std::chrono_literals;

Claims sample_claims() {
  Claims claims;
  claims.plan = 1;
  claims.rung = 2;
  claims.player = 3;
  claims.title = "t/ä";
  claims.sid = "s";
  claims.box = "box-1";
  claims.path = "/p/t/r2/index.m3u8?x=1";
  return claims;
}
KeyRingOptions options_with(std::vector<std::string> secrets) {
  KeyRingOptions options;
  options.secrets = std::move(secrets);
  return options;
}

TEST(SignedUrl, VerifiesWhatItSigned) {
  KeyRing keys(options_with({"one"}));
  auto claims = sample_claims();
  const auto token = keys.sign(100h, claims);
  claims.expires = 106h;
  EXPECT_EQ(std::get<Claims>(keys.verify(101h, token)), claims);
  claims.shared_directory = claims.off_ladder = true;
  claims.scope = Claims::Scope::resource;
  EXPECT_EQ(std::get<Claims>(keys.verify(101h, keys.sign(100h, claims))), claims);
  // Another process with the same secret accepts the token; one with another secret refuses it.
  EXPECT_TRUE(std::holds_alternative<Claims>(KeyRing(options_with({"one"})).verify(101h, token)));
  EXPECT_EQ(std::get<InvalidToken>(KeyRing(options_with({"two"})).verify(101h, token)).error,
            TokenError::forged);
  EXPECT_TRUE(std::holds_alternative<Claims>(KeyRing(options_with({"two", "one"})).verify(101h, token)))
      << "an older secret is accepted while it is listed";
}

TEST(SignedUrl, RefusesEveryChangedCharacter) {
  KeyRing keys(options_with({"one"}));
  const auto token = keys.sign(100h, sample_claims());
  for (std::size_t i = 0; i < token.size(); ++i) {
    for (const char other : {'A', 'z', '_', '%', '/'}) {
      if (token[i] == other)
        continue;
      auto changed = token;
      changed[i] = other;
      EXPECT_TRUE(std::holds_alternative<InvalidToken>(keys.verify(101h, changed))) << i << other;
    }
    EXPECT_TRUE(std::holds_alternative<InvalidToken>(keys.verify(101h, token.substr(0, i))));
  }
  EXPECT_TRUE(std::holds_alternative<InvalidToken>(keys.verify(101h, token + "A")));
  EXPECT_TRUE(std::holds_alternative<InvalidToken>(keys.verify(101h, std::string(5000, 'A'))));
}

TEST(SignedUrl, ExpiredTokenKeepsItsClaims) {
  KeyRing keys(options_with({"one"}));
  const auto token = keys.sign(100h, sample_claims());
  EXPECT_TRUE(std::holds_alternative<Claims>(keys.verify(106h + 59s, token))) << "within the clock skew";
  const auto late = keys.verify(106h + 61s, token);
  ASSERT_EQ(std::get<InvalidToken>(late).error, TokenError::expired);
  EXPECT_EQ(std::get<InvalidToken>(late).claims->sid, "s");
  EXPECT_EQ(std::get<InvalidToken>(keys.verify(99h - 62s, token)).error, TokenError::forged)
      << "signed further ahead than the clock skew";
}

TEST(Base64url, RoundTripsAndIsCanonical) {
  std::minstd_rand rng(1);
  for (std::size_t size = 0; size < 70; ++size) {
    std::string bytes(size, '\0');
    for (auto& byte : bytes)
      byte = static_cast<char>(rng());
    EXPECT_EQ(signing::base64url_decode(signing::base64url_encode(bytes)), bytes);
  }
  EXPECT_FALSE(signing::base64url_decode("AB").has_value()) << "unused trailing bits that are not zero";
  EXPECT_FALSE(signing::base64url_decode("A").has_value());
  EXPECT_FALSE(signing::base64url_decode("a+b/").has_value());
}

TEST(Gzip, DecompressesWithinTheLimit) {
  std::string text;
  for (int i = 0; i < 20000; ++i)
    text += "#EXTINF:2,\nsegment" + std::to_string(i) + "\n";
  const auto compressed = gzip::compress(text);
  EXPECT_LT(compressed.size(), text.size() / 3);
  EXPECT_EQ(gzip::decompress(compressed, text.size()), text);
  EXPECT_FALSE(gzip::decompress(compressed, text.size() - 1).has_value());
  EXPECT_FALSE(gzip::decompress(compressed.substr(0, compressed.size() - 1), 1 << 24).has_value());
  EXPECT_FALSE(gzip::decompress(compressed + "x", 1 << 24).has_value());
  EXPECT_FALSE(gzip::decompress("no gzip", 1 << 24).has_value());
  const auto bomb = gzip::compress(std::string(64 << 20, '\0'));
  EXPECT_FALSE(gzip::decompress(bomb, 1 << 20).has_value());
  EXPECT_TRUE(gzip::is_accepted("br, gzip;q=0.5"));
  EXPECT_FALSE(gzip::is_accepted("gzip;q=0, identity"));
  EXPECT_FALSE(gzip::is_accepted(""));
}

}  // namespace
}  // namespace violettide::signed_url
