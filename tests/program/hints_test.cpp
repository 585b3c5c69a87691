// CMCD, CMSD and structured fields: vectors derived from the specifications, round trips, and malformed
// values of every key and type.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "hints/cmcd.h"
#include "hints/cmsd.h"

namespace violettide::hints {
namespace {

ParsedCmcd parse_text(std::string_view text) {
  ParsedCmcd parsed;
  parse_cmcd_text(text, parsed);
  return parsed;
}

TEST(StructuredFields, VectorsOfTheSpecification) {
  const auto accepts = [](const char* text) { return std::holds_alternative<List>(parse_list(text)); };
  for (const auto* good :
       {"sugar, tea, rum", "(\"foo\" \"bar\"), (\"baz\"), (\"bat\" \"one\"), ()",
        "abc;a=1;b=2; cde_456, (ghi;jk=4 l);q=\"9\";r=w", "1, 42", "-0", "4.5", "\"hello \\\"world\\\"\"",
        "foo123/456", ":cHJldGVuZCB0aGlzIGlzIGJpbmFyeSBjb250ZW50Lg==:", "?1", "", "  a  "})
    EXPECT_TRUE(accepts(good)) << good;
  for (const auto* bad : {"sugar,",
                          ",",
                          "a,,b",
                          "(a",
                          "(a b",
                          "(a,b)",
                          "\"open",
                          "\"bad \\x\"",
                          "--1",
                          "1.",
                          "1.2345",
                          "1234567890123456",
                          "1234567890123.0",
                          "?2",
                          ":not base64!:",
                          ":open",
                          "a;=1",
                          "a;A=1",
                          "a b",
                          "\"\x01\"",
                          "\x80"})
    EXPECT_FALSE(accepts(bad)) << bad;
  const auto dictionary = std::get<Dictionary>(parse_dictionary("a=1, b;x=?0, a=(1 2);y, c=?0"));
  EXPECT_EQ(*serialize(dictionary), "b;x=?0, a=(1 2);y, c=?0");  // a later member replaces an earlier one
  const auto error = std::get<SyntaxError>(parse_dictionary("a=1, b=&"));
  EXPECT_EQ(error.offset, 7u);
  EXPECT_EQ(error.cause, "expected a value");
}

TEST(StructuredFields, RoundTrip) {
  EXPECT_TRUE(rc::check("a serialized list parses to the same list", [] {
    const auto text = *rc::gen::container<std::string>(rc::gen::inRange<char>(0x20, 0x7f));
    const auto bytes = *rc::gen::arbitrary<std::string>();
    const auto whole = *rc::gen::inRange<std::int64_t>(-999'999'999'999'999, 999'999'999'999'999);
    const auto parts = static_cast<double>(*rc::gen::inRange<std::int64_t>(-999'999'999, 999'999'999)) / 1000;
    const List list{Item{text, {{"k", true}, {"n", whole}}},
                    InnerList{{Item{ByteSequence{bytes}, {}}, Item{parts, {}}}, {{"t", Token{"*a/b"}}}},
                    Item{false, {}}};
    const auto coded = serialize(list);
    RC_ASSERT(coded.has_value());
    const auto parsed = parse_list(*coded);
    RC_ASSERT(std::holds_alternative<List>(parsed));
    RC_ASSERT(std::get<List>(parsed) == list);
  }));
}

TEST(StructuredFields, AnyBytesAreParsedOrRejected) {
  EXPECT_TRUE(rc::check("no bytes break the parser, and every list that it accepts can be serialized", [] {
    const auto text =
        *rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab1.-,;=()\"\\:?*/ \t\x80")));
    const auto parsed = parse_list(text);
    if (const auto* list = std::get_if<List>(&parsed))
      RC_ASSERT(serialize(*list).has_value());
  }));
}

TEST(Cmcd, EveryReservedKeyByHeaderAndByQuery) {
  const http::Fields fields{
      {"cmcd-object", "br=3200,d=4004,ot=v,tb=6000"},
      {"CMCD-Request", "bl=21300,dl=18500,mtp=48100,nor=\"..%2F300kbps%2Ftrack.m4v\",nrr=\"12323-48763\",su"},
      {"CMCD-Session", "cid=\"faec5fc2-ac30-11ea\",pr=1.08,sf=d,sid=\"6e2fb550-c457\",st=l,v=1"},
      {"CMCD-Status", "bs,rtp=15000"}};
  const auto parsed = parse_cmcd(fields, "/x");
  EXPECT_TRUE(parsed.present);
  EXPECT_TRUE(parsed.errors.empty());
  const auto& h = parsed.cmcd;
  EXPECT_EQ(h.encoded_bitrate, 3200);
  EXPECT_EQ(h.object_duration, 4004);
  EXPECT_EQ(h.object_type, ObjectType::video);
  EXPECT_EQ(h.top_bitrate, 6000);
  EXPECT_EQ(h.buffer_length, 21300);
  EXPECT_EQ(h.deadline, 18500);
  EXPECT_EQ(h.measured_throughput, 48100);
  EXPECT_EQ(h.next_object, "../300kbps/track.m4v");
  EXPECT_EQ(h.next_range, "12323-48763");
  EXPECT_TRUE(h.startup && h.buffer_starved);
  EXPECT_EQ(h.content_id, "faec5fc2-ac30-11ea");
  EXPECT_DOUBLE_EQ(h.playback_rate, 1.08);
  EXPECT_EQ(h.streaming_format, StreamingFormat::dash);
  EXPECT_EQ(h.session_id, "6e2fb550-c457");
  EXPECT_EQ(h.stream_type, StreamType::live);
  EXPECT_EQ(h.requested_max_throughput, 15000);
  const auto again = parse_cmcd({}, "/x?a=1&CMCD=" + serialize_cmcd_query(h) + "&b=2");
  EXPECT_TRUE(again.errors.empty());
  EXPECT_EQ(again.cmcd, h);
  EXPECT_EQ(parse_cmcd(serialize_cmcd_headers(h), "/x").cmcd, h);
}

TEST(Cmcd, AMalformedKeyDoesNotInvalidateTheOthers) {
  const struct {
    const char* text;
    const char* key;
  } bad[] = {{"br=fast", "br"},
             {"br", "br"},
             {"br=-1", "br"},
             {"br=1.5", "br"},
             {"bl=\"1\"", "bl"},
             {"bs=maybe", "bs"},
             {"bs=1", "bs"},
             {"cid=plain", "cid"},
             {"cid=\"\"", "cid"},
             {"d=?1", "d"},
             {"dl=:eA==:", "dl"},
             {"mtp=1e9", "mtp"},
             {"nor=\"%zz\"", "nor"},
             {"nor=x", "nor"},
             {"nrr=\"12\"", "nrr"},
             {"nrr=\"-\"", "nrr"},
             {"nrr=\"a-b\"", "nrr"},
             {"ot=zz", "ot"},
             {"ot=\"v\"", "ot"},
             {"pr=fast", "pr"},
             {"pr=-1", "pr"},
             {"pr", "pr"},
             {"rtp=99999999999999999999", "rtp"},
             {"sf=x", "sf"},
             {"sid=unquoted", "sid"},
             {"sid=\"open", "sid"},
             {"st=x", "st"},
             {"su=2", "su"},
             {"tb=", "tb"},
             {"v=2", "v"},
             {"unknown=1", "unknown"},
             {"=1", ""},
             {"a b=1", "a b"},
             {"", ""}};
  for (const auto& entry : bad) {
    const auto parsed = parse_text(std::string("mtp=500,") + entry.text);
    ASSERT_EQ(parsed.errors.size(), 1u) << entry.text;
    EXPECT_EQ(parsed.errors[0].key, entry.key) << entry.text;
    EXPECT_FALSE(parsed.errors[0].cause.empty());
    EXPECT_EQ(parsed.cmcd.measured_throughput, 500) << entry.text;
  }
  EXPECT_EQ(parse_text("sid=\"" + std::string(65, 'x') + "\"").errors.size(), 1u);
  EXPECT_EQ(parse_text("com.example-key=\"kept\",bs=false").cmcd.custom.size(), 1u);
  EXPECT_EQ(parse_cmcd({}, "/x?CMCD=%zz").errors.size(), 1u);
}

TEST(Cmcd, AnyBytesAreParsed) {
  EXPECT_TRUE(rc::check("no bytes break the parser", [] {
    const auto text =
        *rc::gen::container<std::string>(rc::gen::elementOf(std::string("brsidmtp=,\"\\%?:1.- \x80")));
    const auto parsed = parse_text(text);
    RC_ASSERT(parse_cmcd(serialize_cmcd_headers(parsed.cmcd), "/")
                  .errors.empty());  // what it accepted can be serialized and parsed again
  }));
}

TEST(Cmsd, EntriesOfEachHopInOrder) {
  const auto parsed =
      parse_cmsd("ot=v,sf=h,st=v,d=5000,br=2000",
                 "\"box-1\";etp=96;rtt=8;du;org.violettide-util=0.73, \"edge\";mb=5000;rd=12, "
                 "token;etp=1, \"bad\";etp=\"x\"");
  EXPECT_EQ(parsed.static_data->bitrate, 2000);
  EXPECT_EQ(parsed.static_data->object_duration, 5000);
  ASSERT_EQ(parsed.hops.size(), 3u);
  EXPECT_EQ(parsed.hops[0].server, "box-1");
  EXPECT_TRUE(parsed.hops[0].duress);
  EXPECT_DOUBLE_EQ(*parsed.hops[0].util, 0.73);
  EXPECT_EQ(parsed.hops[1].max_suggested_bitrate, 5000);
  EXPECT_EQ(parsed.errors.size(), 2u);
  CmsdDynamic own;
  own.server = "front \"a\"";
  own.max_suggested_bitrate = 320;
  EXPECT_EQ(append_cmsd_entry("\"box-1\";rtt=8", own), "\"box-1\";rtt=8, \"front \\\"a\\\"\";mb=320");
  EXPECT_EQ(append_cmsd_entry("", own), "\"front \\\"a\\\"\";mb=320");
  EXPECT_FALSE(parse_cmsd("", "\"box-1\";;").dynamic_valid) << "malformed values are not forwarded";
  EXPECT_EQ(parse_cmsd("br=", "((").errors.size(), 2u);
}

}  // namespace
}  // namespace violettide::hints
