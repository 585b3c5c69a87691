// Playlist parsing and writing: valid and invalid values of every tag, what is kept byte for byte, which
// errors are reported at which line, and that incremental parsing equals full parsing.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

#include "hls/writer.h"

namespace violettide::hls {
namespace {

using namespace std::chrono_literals;

MediaPlaylist parse(const std::string& text, const MediaPlaylist* before = nullptr) {
  auto read = parse_media_playlist(text, {}, {}, before);
  if (auto* error = std::get_if<PlaylistError>(&read))
    throw std::runtime_error(error->text() + "\n" + text);
  return std::get<MediaPlaylist>(std::move(read));
}
std::string parse_error(const std::string& text, const PlaylistLimits& limits = {}) {
  const auto read = parse_media_playlist(text, limits);
  const auto* error = std::get_if<PlaylistError>(&read);
  return error ? error->text() : "";
}
MultivariantPlaylist parse_multivariant(const std::string& text) {
  auto read = parse_multivariant_playlist(text);
  if (auto* error = std::get_if<PlaylistError>(&read))
    throw std::runtime_error(error->text());
  return std::get<MultivariantPlaylist>(std::move(read));
}
std::string multivariant_error(const std::string& text) {
  const auto read = parse_multivariant_playlist(text);
  const auto* error = std::get_if<PlaylistError>(&read);
  return error ? error->text() : "";
}
Window whole_window(std::shared_ptr<const MediaPlaylist> media) {
  Window window{{}, media->media_sequence, media->discontinuity_sequence};
  window.slices.push_back({media, 0, static_cast<std::uint32_t>(media->segments.size())});
  return window;
}
const std::string head = "#EXTM3U\n#EXT-X-TARGETDURATION:4\n";

// A tag with a valid value and some invalid ones.
struct TagExample {
  Tag tag;
  const char* valid;
  std::vector<const char*> invalid;
  bool multivariant = false;
};
const std::vector<TagExample> tag_examples{
    {Tag::version, "#EXT-X-VERSION:7", {"#EXT-X-VERSION:x", "#EXT-X-VERSION", "#EXT-X-VERSION:-1"}},
    {Tag::define,
     "#EXT-X-DEFINE:NAME=\"a\",VALUE=\"b\"",
     {"#EXT-X-DEFINE:NAME=\"a\"", "#EXT-X-DEFINE:IMPORT=\"none\"", "#EXT-X-DEFINE:QUERYPARAM=\"none\"",
      "#EXT-X-DEFINE:VALUE=\"b\"", "#EXT-X-DEFINE:NAME=\"\",VALUE=\"b\""}},
    {Tag::independent_segments, "#EXT-X-INDEPENDENT-SEGMENTS", {}},
    {Tag::start,
     "#EXT-X-START:TIME-OFFSET=-7.5,PRECISE=YES",
     {"#EXT-X-START:PRECISE=YES", "#EXT-X-START:TIME-OFFSET=x"}},
    {Tag::inf,
     "#EXTINF:3.003,title, with a comma",
     {"#EXTINF:", "#EXTINF:-1,", "#EXTINF:1e400,", "#EXTINF:nan,"}},
    {Tag::byte_range,
     "#EXT-X-BYTERANGE:100@50",
     {"#EXT-X-BYTERANGE:x", "#EXT-X-BYTERANGE:1@", "#EXT-X-BYTERANGE:7"}},
    {Tag::discontinuity, "#EXT-X-DISCONTINUITY", {}},
    {Tag::key,
     "#EXT-X-KEY:METHOD=AES-128,URI=\"k\",IV=0x0000000000000000000000000000000a",
     {"#EXT-X-KEY:METHOD=AES-128", "#EXT-X-KEY:URI=\"k\"", "#EXT-X-KEY:METHOD=AES-128,URI=k",
      "#EXT-X-KEY:METHOD=AES-128,URI=\"k\",IV=12"}},
    {Tag::map, "#EXT-X-MAP:URI=\"init.mp4\",BYTERANGE=\"7@0\"", {"#EXT-X-MAP:BYTERANGE=\"7@0\""}},
    {Tag::program_date_time,
     "#EXT-X-PROGRAM-DATE-TIME:2026-02-19T14:54:23.031+08:00",
     {"#EXT-X-PROGRAM-DATE-TIME:yesterday", "#EXT-X-PROGRAM-DATE-TIME:2026-13-01T00:00:00Z",
      "#EXT-X-PROGRAM-DATE-TIME:2026-02-30T00:00:00Z"}},
    {Tag::gap, "#EXT-X-GAP", {}},
    {Tag::bitrate, "#EXT-X-BITRATE:1200", {"#EXT-X-BITRATE:fast"}},
    {Tag::part,
     "#EXT-X-PART:DURATION=0.33,URI=\"p.mp4\",INDEPENDENT=YES",
     {"#EXT-X-PART:DURATION=0.33", "#EXT-X-PART:URI=\"p.mp4\"", "#EXT-X-PART:DURATION=-1,URI=\"p\""}},
    {Tag::date_range,
     "#EXT-X-DATERANGE:ID=\"x\",START-DATE=\"2026-01-01T00:00:00Z\",X-COM=\"y\",SCTE35-OUT=0xFC00",
     {"#EXT-X-DATERANGE:START-DATE=\"2026-01-01T00:00:00Z\"", "#EXT-X-DATERANGE:ID=\"x\",DURATION=long"}},
    {Tag::skip, "", {"#EXT-X-SKIP:SKIPPED-SEGMENTS=3"}},
    {Tag::preload_hint, "#EXT-X-PRELOAD-HINT:TYPE=PART,URI=\"p.mp4\"", {"#EXT-X-PRELOAD-HINT:TYPE=PART"}},
    {Tag::rendition_report,
     "#EXT-X-RENDITION-REPORT:URI=\"../1/a.m3u8\",LAST-MSN=7,LAST-PART=2",
     {"#EXT-X-RENDITION-REPORT:LAST-MSN=7"}},
    {Tag::media_sequence,
     "#EXT-X-MEDIA-SEQUENCE:12",
     {"#EXT-X-MEDIA-SEQUENCE:x", "#EXT-X-MEDIA-SEQUENCE:18446744073709551615"}},
    {Tag::discontinuity_sequence, "#EXT-X-DISCONTINUITY-SEQUENCE:1", {"#EXT-X-DISCONTINUITY-SEQUENCE:"}},
    {Tag::end_list, "#EXT-X-ENDLIST", {}},
    {Tag::playlist_type, "#EXT-X-PLAYLIST-TYPE:EVENT", {"#EXT-X-PLAYLIST-TYPE:LIVE"}},
    {Tag::i_frames_only, "#EXT-X-I-FRAMES-ONLY", {}},
    {Tag::part_inf, "#EXT-X-PART-INF:PART-TARGET=0.5", {"#EXT-X-PART-INF:X=1"}},
    {Tag::server_control,
     "#EXT-X-SERVER-CONTROL:CAN-SKIP-UNTIL=24,CAN-BLOCK-RELOAD=YES,PART-HOLD-BACK=1.5,HOLD-BACK=12",
     {"#EXT-X-SERVER-CONTROL:CAN-SKIP-UNTIL=long"}},
    {Tag::media,
     "#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"g\",NAME=\"n\",URI=\"a.m3u8\",DEFAULT=YES,CHANNELS=\"2\"",
     {"#EXT-X-MEDIA:TYPE=AUDIO,NAME=\"n\"", "#EXT-X-MEDIA:TYPE=SUBTITLES,GROUP-ID=\"s\",NAME=\"n\""},
     true},
    {Tag::stream_inf,
     "#EXT-X-STREAM-INF:BANDWIDTH=1280000,AVERAGE-BANDWIDTH=1000000,CODECS=\"avc1.4d401e,mp4a.40.2\","
     "RESOLUTION=640x360,FRAME-RATE=29.97,CLOSED-CAPTIONS=NONE\nv.m3u8",
     {"#EXT-X-STREAM-INF:RESOLUTION=640x360\nv.m3u8", "#EXT-X-STREAM-INF:BANDWIDTH=1\n",
      "#EXT-X-STREAM-INF:BANDWIDTH=1,RESOLUTION=640\nv.m3u8",
      "#EXT-X-STREAM-INF:BANDWIDTH=1,AUDIO=\"no\"\nv.m3u8"},
     true},
    {Tag::i_frame_stream_inf,
     "#EXT-X-I-FRAME-STREAM-INF:BANDWIDTH=90000,URI=\"i.m3u8\"",
     {"#EXT-X-I-FRAME-STREAM-INF:BANDWIDTH=90000"},
     true},
    {Tag::session_data,
     "#EXT-X-SESSION-DATA:DATA-ID=\"com.x\",VALUE=\"v\",LANGUAGE=\"en\"",
     {"#EXT-X-SESSION-DATA:VALUE=\"v\""},
     true},
    {Tag::session_key,
     "#EXT-X-SESSION-KEY:METHOD=SAMPLE-AES,URI=\"skd://x\"",
     {"#EXT-X-SESSION-KEY:URI=\"k\""},
     true},
    {Tag::content_steering,
     "#EXT-X-CONTENT-STEERING:SERVER-URI=\"/s\",PATHWAY-ID=\"a\"",
     {"#EXT-X-CONTENT-STEERING:PATHWAY-ID=\"a\""},
     true},
};

TEST(HlsPlaylist, AcceptsAndKeepsEveryTag) {
  std::set<Tag> seen{Tag::m3u, Tag::target_duration};
  for (const auto& example : tag_examples) {
    seen.insert(example.tag);
    const std::string valid = example.valid;
    if (example.multivariant) {
      const auto text = "#EXTM3U\n" + valid + "\n#EXT-X-STREAM-INF:BANDWIDTH=1\nw.m3u8\n";
      EXPECT_EQ(multivariant_error(text), "") << valid;
    } else {
      // EXT-X-SKIP has no valid example: a delta update that was not requested is always refused.
      const auto text = head + valid + "\n#EXTINF:4,\ns.ts\n";
      if (example.tag == Tag::inf) {
        EXPECT_EQ(parse(head + valid + "\ns.ts\n").segments.at(0).duration, 3'003'000us);
      } else if (!valid.empty()) {
        auto media = std::make_shared<MediaPlaylist>(parse(text));
        EXPECT_EQ(std::get<std::string>(write_media_playlist(whole_window(media), {})), text);
        // Composed from slices, the output still has every line.
        auto slices = whole_window(media);
        slices.media_sequence += 1;
        const auto output = std::get<std::string>(write_media_playlist(slices, {}));
        if (example.tag != Tag::media_sequence && example.tag != Tag::rendition_report) {
          EXPECT_NE(output.find(valid), std::string::npos) << output;
        }
      }
    }
    for (const auto* invalid : example.invalid) {
      const auto error = example.multivariant ? multivariant_error("#EXTM3U\n" + std::string(invalid) +
                                                                   "\n#EXT-X-STREAM-INF:BANDWIDTH=1\nw\n")
                                              : parse_error(head + invalid + "\n#EXTINF:4,\ns.ts\n");
      EXPECT_NE(error, "") << invalid;
      EXPECT_TRUE(error.starts_with("line ")) << error;
    }
  }
  EXPECT_EQ(seen.size(), tag_rules().size()) << "a tag without an example";
}

TEST(HlsPlaylist, ErrorsNameTheirLine) {
  EXPECT_EQ(parse_error(""), "line 1: not a playlist: the first line is not #EXTM3U");
  EXPECT_EQ(parse_error("\xEF\xBB\xBF#EXTM3U\n"), "line 1: not a playlist: the first line is not #EXTM3U");
  EXPECT_EQ(parse_error("#EXTM3U\n"), "line 1: #EXT-X-TARGETDURATION is missing");
  EXPECT_EQ(parse_error(head + "a.ts\n"), "line 3: URI without #EXTINF");
  EXPECT_EQ(parse_error(head + "#EXTINF:4,\n#EXTINF:4,\na.ts\n"), "line 4: two #EXTINF for one segment");
  EXPECT_EQ(parse_error(head + "#EXTINF:4,\n"), "line 4: #EXTINF without a segment URI");
  EXPECT_EQ(parse_error(head + "#EXT-X-TARGETDURATION:4\n"), "line 3: #EXT-X-TARGETDURATION appears twice");
  EXPECT_EQ(parse_error(head + "#EXT-X-STREAM-INF:BANDWIDTH=1\n"),
            "line 3: #EXT-X-STREAM-INF is not allowed in a media playlist");
  EXPECT_EQ(parse_error(head + "#EXTINF:4,\na\x01.ts\n"), "line 4: contains a control character");
  EXPECT_EQ(parse_error(head + "#EXTINF:4,\na.ts\n#EXT-X-MEDIA-SEQUENCE:3\n"),
            "line 5: #EXT-X-MEDIA-SEQUENCE after the first segment");
  EXPECT_EQ(parse_error(head + "#EXT-X-KEY:METHOD=AES-128,URI=\"open\n"),
            "line 3: #EXT-X-KEY: the quoted value of URI is not terminated");
  EXPECT_EQ(parse_error(head + "#EXT-X-KEY:METHOD=NONE,METHOD=NONE\n"),
            "line 3: #EXT-X-KEY: attribute METHOD appears twice");
  PlaylistLimits small;
  small.segments = 2;
  small.line = 100;
  small.bytes = 400;
  std::string many = head;
  for (int i = 0; i < 3; ++i)
    many += "#EXTINF:4,\ns.ts\n";
  EXPECT_EQ(parse_error(many, small), "line 8: more than 2 segments");
  EXPECT_EQ(parse_error(head + std::string(101, '#'), small), "line 3: longer than 100 bytes");
  EXPECT_EQ(parse_error(head + std::string(400, '#'), small), "line 1: playlist exceeds 400 bytes");
  EXPECT_EQ(multivariant_error("#EXTM3U\n"), "line 1: multivariant playlist without variants");
  EXPECT_EQ(multivariant_error("#EXTM3U\nv.m3u8\n"), "line 2: URI without #EXT-X-STREAM-INF");
  EXPECT_EQ(multivariant_error("#EXTM3U\n#EXTINF:4,\n"),
            "line 2: #EXTINF is not allowed in a multivariant playlist");
}

TEST(HlsPlaylist, SegmentsHaveTimesByteRangesAndKeys) {
  const auto media = parse(head +
                           "#EXT-X-KEY:METHOD=AES-128,URI=\"k1\"\n#EXT-X-PROGRAM-DATE-TIME:1970-01-01T00:"
                           "00:10Z\n#EXT-X-BYTERANGE:10@5\n"
                           "#EXTINF:4,\na.ts\n#EXT-X-BYTERANGE:20\n#EXTINF:3.5,\na.ts\n#EXT-X-KEY:METHOD="
                           "NONE\n#EXT-X-DISCONTINUITY\n"
                           "#EXTINF:4,\nb.ts\n");
  ASSERT_EQ(media.segments.size(), 3u);
  EXPECT_EQ(media.segments[0].date_time_us, 10'000'000);
  EXPECT_EQ(media.segments[1].date_time_us, 14'000'000);
  EXPECT_FALSE(media.segments[1].has_own_date_time);
  EXPECT_EQ(media.segments[2].date_time_us, no_date_time) << "times do not carry over a discontinuity";
  EXPECT_EQ(media.segments[1].byte_range_offset, 15u);
  EXPECT_TRUE(media.states[media.segments[1].state].implicit_iv);
  EXPECT_TRUE(media.states[media.segments[2].state].keys.empty());
  EXPECT_EQ(media.duration(), 11'500'000us);
}

TEST(HlsPlaylist, KeepsUnknownLinesAndLineEnds) {
  const std::string text =
      "#EXTM3U\r\n# a comment\r\n#EXT-X-TARGETDURATION:4\r\n#EXT-X-OTHERS:x=1\r\n\r\n#EXTINF:4,\r\na.ts  \r\n"
      "#EXT-X-ENDLISTING\r\n#EXT-X-ENDLIST";
  const auto media = std::make_shared<MediaPlaylist>(parse(text));
  EXPECT_TRUE(media->ended);
  EXPECT_EQ(media->uri(0), "a.ts");
  EXPECT_EQ(std::get<std::string>(write_media_playlist(whole_window(media), {})), text);
}

TEST(HlsPlaylist, RenumberedWindowHasExplicitIvs) {
  const auto media = std::make_shared<MediaPlaylist>(parse(
      head +
      "#EXT-X-MEDIA-SEQUENCE:7\n#EXT-X-KEY:METHOD=AES-128,URI=\"k\"\n#EXTINF:4,\na.ts\n#EXTINF:4,\nb.ts\n"));
  auto window = whole_window(media);
  window.media_sequence = 107;
  const auto text = std::get<std::string>(write_media_playlist(window, {}));
  EXPECT_NE(text.find("#EXT-X-MEDIA-SEQUENCE:107\n"), std::string::npos);
  EXPECT_NE(text.find("URI=\"k\",IV=0x00000000000000000000000000000007\n#EXTINF:4,\na.ts"), std::string::npos)
      << text;
  EXPECT_NE(text.find("IV=0x00000000000000000000000000000008\n#EXTINF:4,\nb.ts"), std::string::npos) << text;
}

TEST(HlsPlaylist, DeltaUpdateSkipsOlderSegments) {
  std::string text =
      head + "#EXT-X-VERSION:6\n#EXT-X-SERVER-CONTROL:CAN-SKIP-UNTIL=24\n#EXT-X-MEDIA-SEQUENCE:50\n";
  for (int i = 0; i < 20; ++i)
    text += "#EXTINF:4,\ns" + std::to_string(i) + ".ts\n";
  const auto media = std::make_shared<MediaPlaylist>(parse(text));
  WriteOptions options;
  options.delta_update = true;
  const auto output = std::get<std::string>(write_media_playlist(whole_window(media), options));
  EXPECT_NE(output.find("#EXT-X-SKIP:SKIPPED-SEGMENTS=14\n"), std::string::npos) << output;
  EXPECT_NE(output.find("#EXT-X-VERSION:9\n"), std::string::npos);
  EXPECT_EQ(output.find("s13.ts"), std::string::npos);
  EXPECT_NE(output.find("s14.ts"), std::string::npos);
  options.delta_update = false;
  EXPECT_EQ(std::get<std::string>(write_media_playlist(whole_window(media), options)), text);
}

TEST(HlsPlaylist, MultivariantPlaylistDropsUnselectedVariantsAndTheirRenditions) {
  const std::string text =
      "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-CONTENT-STEERING:SERVER-URI=\"/s\"\n"
      "#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"low\",NAME=\"n\",URI=\"al.m3u8\"\n"
      "#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"high\",NAME=\"n\",URI=\"ah.m3u8\"\n"
      "#EXT-X-STREAM-INF:BANDWIDTH=100,AUDIO=\"low\"\nv0.m3u8\n"
      "#EXT-X-STREAM-INF:BANDWIDTH=200,AUDIO=\"high\"\nv1.m3u8\n"
      "#EXT-X-I-FRAME-STREAM-INF:BANDWIDTH=10,URI=\"i.m3u8\"\n# kept\n";
  const auto playlist = parse_multivariant(text);
  const auto output = std::get<std::string>(write_multivariant_playlist(
      playlist, {{true, false}, {true}},
      [](std::string_view uri, Tag, std::size_t) -> RewrittenUri { return "/x/" + std::string(uri); },
      "#OWN\n"));
  EXPECT_EQ(output,
            "#EXTM3U\n#EXT-X-VERSION:6\n#OWN\n"
            "#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"low\",NAME=\"n\",URI=\"/x/al.m3u8\"\n"
            "#EXT-X-STREAM-INF:BANDWIDTH=100,AUDIO=\"low\"\n/x/v0.m3u8\n"
            "#EXT-X-I-FRAME-STREAM-INF:BANDWIDTH=10,URI=\"/x/i.m3u8\"\n# kept\n");
}

TEST(HlsUri, ResolvesByRfc3986) {
  const auto to = [](const char* uri) {
    const auto output = resolve("/p/t/r1/index.m3u8?x=1", uri);
    if (const auto* target = std::get_if<SameServerUri>(&output))
      return target->text;
    if (const auto* other = std::get_if<ExternalUri>(&output))
      return other->scheme + " " + other->authority;
    return std::string("invalid");
  };
  EXPECT_EQ(to("s.ts"), "/p/t/r1/s.ts");
  EXPECT_EQ(to("../r2/./s.ts?y"), "/p/t/r2/s.ts?y");
  EXPECT_EQ(to("/other"), "/other");
  EXPECT_EQ(to("../../../../../etc"), "invalid");
  EXPECT_EQ(to("http://10.0.0.1:80/s.ts"), "http 10.0.0.1:80");
  EXPECT_EQ(to("//host/s.ts"), "http host");
  EXPECT_EQ(to("data:text/plain,x"), "data ");
  EXPECT_EQ(to("%2e%2e/s.ts"), "/p/t/s.ts");
  EXPECT_EQ(to("a%2fb"), "invalid");
  EXPECT_EQ(to("a b"), "invalid");
  EXPECT_EQ(*substitute_variables("{$a}/x{$b}", Variables{{"a", "1"}, {"b", "2"}}), "1/x2");
  EXPECT_FALSE(substitute_variables("{$c}", {}).has_value());
  EXPECT_FALSE(substitute_variables("{$c", {}).has_value());
}

// A live playlist with a sliding window.
struct LivePlaylist {
  std::vector<std::string> segments_text;
  std::uint64_t first = 0;
  std::string text(std::size_t window) const {
    const auto from = segments_text.size() > window ? segments_text.size() - window : 0;
    auto output = head + "#EXT-X-MEDIA-SEQUENCE:" + std::to_string(first + from) + "\n";
    for (auto i = from; i < segments_text.size(); ++i)
      output += segments_text[i];
    return output;
  }
};

TEST(HlsPlaylist, IncrementalParsingEqualsFullParsing) {
  rc::check("incremental parsing", [] {
    LivePlaylist live;
    std::optional<MediaPlaylist> before;
    const auto steps = *rc::gen::inRange(2, 12);
    std::size_t reused_segments = 0;
    for (int step = 0; step < steps; ++step) {
      const auto more = *rc::gen::inRange(0, 4);
      for (int i = 0; i < more; ++i) {
        const auto n = std::to_string(live.segments_text.size());
        std::string span;
        switch (*rc::gen::inRange(0, 8)) {
          case 0:
            span = "#EXT-X-KEY:METHOD=AES-128,URI=\"k" + n + "\"\n";
            break;
          case 1:
            span = "#EXT-X-MAP:URI=\"../m" + n + "\"\n";
            break;
          case 2:
            span = "#EXT-X-DISCONTINUITY\n";
            break;
          case 3:
            span = "#EXT-X-PROGRAM-DATE-TIME:2026-01-01T00:00:0" +
                   std::to_string(live.segments_text.size() % 10) + "Z\n";
            break;
          case 4:
            span = "#EXT-X-PART:DURATION=1,URI=\"/p" + n + "\"\n";
            break;
          default:
            break;
        }
        live.segments_text.push_back(span + "#EXTINF:4,\ns" + n + ".ts\n");
      }
      const auto text = live.text(6);
      const auto full = parse(text);
      const auto incremental = parse(text, before ? &*before : nullptr);
      reused_segments += incremental.reused_segments;
      RC_ASSERT(incremental.segments.size() == full.segments.size());
      const auto uris = [](const std::vector<UriReference>& all, const MediaPlaylist& media) {
        std::vector<std::string> texts;
        for (const auto& uri : all)
          texts.emplace_back(uri.range.view_in(media.text));
        return texts;
      };
      RC_ASSERT(uris(incremental.non_plain_uris, incremental) == uris(full.non_plain_uris, full));
      RC_ASSERT(uris(incremental.attribute_uris, incremental) == uris(full.attribute_uris, full));
      for (std::size_t i = 0; i < full.segments.size(); ++i) {
        const auto& a = incremental.segments[i];
        const auto& b = full.segments[i];
        RC_ASSERT(a.lines == b.lines);
        RC_ASSERT(a.uri == b.uri);
        RC_ASSERT(a.date_time_us == b.date_time_us);
        RC_ASSERT(a.discontinuity == b.discontinuity);
        RC_ASSERT(incremental.states[a.state] == full.states[b.state]);
      }
      before = incremental;
    }
    RC_TAG(reused_segments > 0 ? "some segments reused" : "no segments reused");
  });
}

TEST(HlsPlaylist, AnyInputIsRefusedOrWrittenBackUnchanged) {
  const std::vector<std::string> words{"#EXTM3U\n",
                                       "#EXT-X-TARGETDURATION:4\n",
                                       "#EXTINF:4,\n",
                                       "a.ts\n",
                                       "\r\n",
                                       "#EXT-X-ENDLIST\n",
                                       "#EXT-X-KEY:METHOD=NONE\n",
                                       "#EXT-X-MAP:URI=\"",
                                       "\"\n",
                                       "#EXT-X-MEDIA-SEQUENCE:",
                                       "9",
                                       ",",
                                       "=",
                                       "\x00x",
                                       "#EXT-X-BYTERANGE:1@2\n"};
  rc::check("round trip", [&] {
    std::string text = *rc::gen::element<std::string>("", head);
    for (const auto& word : *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(words)))
      text += word;
    const auto read = parse_media_playlist(text);
    if (std::holds_alternative<PlaylistError>(read)) {
      RC_ASSERT(!std::get<PlaylistError>(read).cause.empty());
      return;
    }
    const auto media = std::make_shared<MediaPlaylist>(std::get<MediaPlaylist>(read));
    RC_ASSERT(std::get<std::string>(write_media_playlist(whole_window(media), {})) == text);
  });
}

}  // namespace
}  // namespace violettide::hls
