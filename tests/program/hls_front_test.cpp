// The HLS front against a scripted module and boxes moved by hand: every hard case of playlists.
#include <gtest/gtest.h>

#include "gzip/gzip.h"
#include "manager/manager.h"
#include "net.h"
#include "scripted.h"

namespace violettide::manager {
namespace {

using namespace std::chrono_literals;
using testing::Network;
using testing::Script;
using testing::ScriptedPeer;

class Front : public ::testing::Test {
 protected:
  static constexpr int front_host = 0, viewer_host = 4;

  void SetUp() override {
    terms.name = "m";
    terms.site.rung_kb = {12.5, 25, 50};  // 100, 200 and 400 kbit/s
    terms.site.rung_revenue = {0.5, 0.8, 1};
    terms.site.plans.resize(3);
    for (auto& plan : terms.site.plans)
      plan.startup_target = 800ms, plan.top = 2;
    terms.site.plans[0].floor = 0;
    terms.site.plans[1].pay_at_setup = true;
    terms.site.plans[2].floor = 1;
    terms.site.plans[2].seats = 2;
    terms.plans = {{"a", 4s}, {"paid", 4s}, {"seated", 4s}};
    terms.halls = {"h"};
    terms.site.cells = 2;
    terms.list_port = Network::port(3);
    terms.silence = 3s;
    terms.hls.passes.secrets = {"secret"};
    terms.wall_at_zero = 1000h;
    front = make();
    net.add(*front, 1);
    net.add(box[0], 1);
    net.add(box[1], 1);
    net.add(list, 1);
    net.add(viewer, 0);
    list.on_bytes = [this](ScriptedPeer&, ConnectionId link, std::vector<Action>& actions) {
      actions.push_back(
          Send{link, http::serialize_response_head(200, {}, boxes_json.size(), false) + boxes_json});
      actions.push_back(Close{link, true});
    };
    for (int b = 0; b < 2; ++b) {
      box[b].on_bytes = [this, b](ScriptedPeer& own, ConnectionId link, std::vector<Action>& actions) {
        serve(b, own, link, actions);
      };
    }
    net.run(100ms);
    told.clear();
  }
  std::unique_ptr<Manager> make() {
    return std::make_unique<Manager>(terms, 1, "",
                                     std::make_unique<Script>(&told, [this](Duration, const Event& event) {
                                       return decide ? decide(event) : place(event);
                                     }));
  }
  std::vector<Command> place(const Event& event) {
    if (const auto* request = std::get_if<Request>(&event)) {
      tries[request->playback] = 1;
      return {SetRung{request->playback, rung}, violettide::SetUp{request->playback, first_box, 500ms}};
    }
    if (const auto* ended = std::get_if<TryEnded>(&event); ended && !ended->playback_over) {
      if (tries[ended->playback]++ > 1)
        return {Abort{ended->playback}};
      return {violettide::SetUp{ended->playback, 1 - first_box, 500ms}};
    }
    return {};
  }

  // What the boxes have, by target; nothing: 404. A list of its own for each box where that is given.
  void serve(int b, ScriptedPeer& own, ConnectionId link, std::vector<Action>& actions) {
    auto& got = own.peers[link].got;
    for (auto end = got.find("\r\n\r\n"); end != std::string::npos; end = got.find("\r\n\r\n")) {
      const auto head = got.substr(0, end);
      got.erase(0, end + 4);
      const auto target = head.substr(4, head.find(' ', 4) - 4);
      asked[b].push_back(target);
      heads[b].push_back(head);
      if (head.starts_with("HEAD")) {
        actions.push_back(Send{link, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"});
        continue;
      }
      if (mute[b])
        continue;
      const auto path = target.substr(0, target.find('?'));
      const auto found = has[b].count(path) ? has[b].find(path) : has[b].find(target);
      if (found == has[b].end()) {
        actions.push_back(Send{link, "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"});
      } else if (found->second.starts_with("HTTP/")) {
        actions.push_back(Send{link, found->second});
      } else {
        actions.push_back(Send{link, "HTTP/1.1 200 OK\r\n" + more_fields + "Content-Length: " +
                                         std::to_string(found->second.size()) + "\r\n\r\n" + found->second});
      }
    }
  }
  void put(const std::string& path, const std::string& body) { has[0][path] = has[1][path] = body; }
  void put_all(const std::string& body) {
    for (auto& box_has : has) {
      for (auto& [path, own] : box_has)
        own = body;
    }
  }
  static std::string master() {
    return "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"g\",NAME=\"n\",URI=\"aud/"
           "index.m3u8\"\n"
           "#EXT-X-STREAM-INF:BANDWIDTH=110000,AUDIO=\"g\"\nr0/index.m3u8\n"
           "#EXT-X-STREAM-INF:BANDWIDTH=210000,AUDIO=\"g\"\nr1/index.m3u8\n"
           "#EXT-X-STREAM-INF:BANDWIDTH=400000,AUDIO=\"g\"\nr2/index.m3u8\n";
  }
  static std::string live(int from, int to, int number = -1) {
    std::string text = "#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXT-X-MEDIA-SEQUENCE:" +
                       std::to_string(number < 0 ? from : number) + "\n";
    for (int i = from; i <= to; ++i)
      text += "#EXT-X-PROGRAM-DATE-TIME:2026-01-01T00:00:" + std::string(2 * i < 10 ? "0" : "") +
              std::to_string(2 * i) + "Z\n#EXTINF:2,\ns" + std::to_string(i) + ".m4s\n";
    return text;
  }
  static std::string recorded(int count) {
    std::string text = "#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXT-X-PLAYLIST-TYPE:VOD\n";
    for (int i = 0; i < count; ++i)
      text += "#EXTINF:2,\ns" + std::to_string(i) + ".m4s\n";
    return text + "#EXT-X-ENDLIST\n";
  }
  void lay(const std::string& plan, const std::string& title, const std::string& media) {
    const auto root = "/" + plan + "/" + title + "/";
    put(root + "index.m3u8", master());
    for (const auto* at : {"r0/", "r1/", "r2/", "aud/"}) {
      put(root + at + "index.m3u8", media);
      for (int i = 0; i < 30; ++i)
        put(root + at + "s" + std::to_string(i) + ".m4s", std::string(at) + std::to_string(i));
    }
  }

  struct Answer {
    int status = 0;
    std::string head, body;
  };
  ConnectionId dial() {
    const ConnectionId link = next_link++;
    viewer.next.push_back(Dial{link, "", Network::port(front_host)});
    step();
    return link;
  }
  void step(Duration time = 20ms) {
    net.wake(viewer_host);
    net.run(net.now() + time);
  }
  void send(ConnectionId link, const std::string& target, const std::string& fields = "") {
    viewer.next.push_back(Send{link, "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n"});
    step();
  }
  Answer answer(ConnectionId link) {
    auto& got = viewer.peers[link].got;
    Answer made;
    const auto end = got.find("\r\n\r\n");
    if (end == std::string::npos)
      return made;
    made.head = got.substr(0, end);
    made.status = std::stoi(made.head.substr(9));
    made.body = got.substr(end + 4);
    got.clear();
    return made;
  }
  Answer get(const std::string& target, const std::string& fields = "") {
    const auto link = dial();
    send(link, target, fields);
    return answer(link);
  }
  static std::vector<std::string> uris(const std::string& playlist) {
    std::vector<std::string> all;
    std::istringstream lines(playlist);
    for (std::string line; std::getline(lines, line);) {
      if (!line.empty() && line[0] != '#')
        all.push_back(line);
    }
    return all;
  }
  static std::string beside(const std::string& playlist, const std::string& name) {
    return name[0] == '/' ? name : playlist.substr(0, playlist.rfind('/') + 1) + name;
  }
  template <typename Kind>
  std::vector<Kind> told_of() const {
    return testing::of_kind<Kind>(told);
  }
  bool said(const std::string& event) const {
    return std::any_of(net.log_lines.begin(), net.log_lines.end(),
                       [&](auto& s) { return s.second.event == event; });
  }
  Network net;
  ScriptedPeer box[2], list, viewer;
  std::map<std::string, std::string> has[2];
  std::vector<std::string> asked[2], heads[2];
  bool mute[2] = {false, false};
  std::string more_fields;
  FrontTerms terms;
  std::unique_ptr<Manager> front;
  std::vector<Event> told;
  std::map<PlaybackId, int> tries;
  std::function<std::vector<Command>(const Event&)> decide;
  ServerId first_box = 0;
  int rung = 1;
  ConnectionId next_link = 1;
  std::string boxes_json = testing::two_boxes;
};

constexpr const char* sid = "CMCD-Session: sid=\"s1\"\r\n";

TEST_F(Front, APlaybackFromItsFirstListToItsSegments) {
  lay("a", "t", recorded(5));
  const auto lists = get("/a/t/index.m3u8?CMCD=sid%3D%22s1%22&k=1", "traceparent: 00-ab-cd-01\r\n");
  ASSERT_EQ(lists.status, 200) << lists.head << lists.body;
  EXPECT_NE(lists.head.find("Content-Type: application/vnd.apple.mpegurl"), std::string::npos);
  EXPECT_NE(lists.head.find("CMSD-Dynamic: \"m\";mb=200"), std::string::npos) << lists.head;
  EXPECT_EQ(asked[0].at(0), "/a/t/index.m3u8?k=1") << "what was said to the front stays here";
  EXPECT_NE(heads[0][0].find("traceparent: 00-ab-cd-01"), std::string::npos);
  EXPECT_NE(heads[0][0].find("su"), std::string::npos);
  const auto media = uris(lists.body);
  ASSERT_EQ(media.size(), 2u) << "the floor and the rung in force, not the one above";
  EXPECT_EQ(lists.body.find("BANDWIDTH=400000"), std::string::npos);
  const auto segments = get(media[1]);
  ASSERT_EQ(segments.status, 200);
  EXPECT_EQ(segments.body, recorded(5)) << "what needs no change is copied byte for byte";
  const auto segment = get(beside(media[1], uris(segments.body)[2]), "CMCD-Request: bl=4000\r\n");
  EXPECT_EQ(segment.body, "r1/2");
  EXPECT_NE(heads[0].back().find("sid=\"s1\""), std::string::npos);
  EXPECT_EQ(heads[0].back().find("su"), std::string::npos) << "no set-up";
  EXPECT_EQ(told_of<PlaybackStarted>().size(), 1u);
  EXPECT_EQ(told_of<Request>().size(), 1u);
  EXPECT_EQ(front->held().playbacks, 1u);
  const auto audio = lists.body.substr(lists.body.find("URI=\"") + 5);
  EXPECT_EQ(get(audio.substr(0, audio.find('"'))).body, recorded(5));
  // It plays on while its buffer lasts, then its room goes back.
  net.run(net.now() + 6500ms);
  EXPECT_EQ(front->held().playbacks, 1u);
  net.run(net.now() + 4s);
  EXPECT_EQ(front->held().playbacks, 0u);
  ASSERT_EQ(told_of<TryEnded>().size(), 1u);
  EXPECT_TRUE(told_of<TryEnded>()[0].playback_over);
}

TEST_F(Front, ListsThatReloadAtOnceAreOnePlaybackAndOneTry) {
  lay("seated", "t", live(10, 15));
  mute[0] = true;
  const auto first = dial(), second = dial(), third = dial();
  send(first, "/seated/t/index.m3u8", sid);
  send(second, "/seated/t/index.m3u8", sid);
  send(third, "/seated/t/r1/s1.m4s", sid);  // and one of the other front
  EXPECT_EQ(told_of<Request>().size(), 1u);
  EXPECT_EQ(asked[0].size(), 1u) << "one playback, one try out";
  net.run(net.now() + 600ms);
  EXPECT_EQ(answer(first).status, 200);
  EXPECT_EQ(answer(second).status, 200);
  EXPECT_EQ(answer(third).body, "r1/1");
  EXPECT_EQ(told_of<TryEnded>().size(), 1u) << "at the silent box";
  EXPECT_EQ(told_of<PlaybackStarted>().size(), 1u);
  EXPECT_EQ(front->held().playbacks, 1u);
}

TEST_F(Front, MalformedAndHostileListsAreOneClearOutcome) {
  std::string endless = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  terms.hls.playlists.bytes = 20'000;
  front = make();
  net.replace(front_host, *front);
  net.run(net.now() + 100ms);
  for (int i = 0; i < 3; ++i)
    endless += "2710\r\n" + std::string(10'000, '#') + "\r\n";
  const auto bomb = gzip::compress(std::string(1 << 20, '#'));
  const std::vector<std::string> bad{
      "not a playlist",
      "#EXTM3U\n",
      "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=x\nv\n",
      "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=100000\nhttp://10.9.9.9/v.m3u8\n",
      "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=100000\n../../../../../../x%2fy\n",
      "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=100000\n{$none}/v.m3u8\n",
      endless,
      "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc",
      "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: " + std::to_string(bomb.size()) +
          "\r\n\r\n" + bomb,
      "HTTP/1.1 200 OK\r\nContent-Encoding: x-own\r\nContent-Length: 1\r\n\r\nx"};
  for (const auto& text : bad) {
    told.clear();
    net.log_lines.clear();
    has[0]["/a/t/index.m3u8"] = text;
    has[1]["/a/t/index.m3u8"] = master();
    EXPECT_EQ(get("/a/t/index.m3u8").status, 200) << "the next box has a good one: " << text.substr(0, 60);
    ASSERT_EQ(told_of<TryEnded>().size(), 1u) << text.substr(0, 60);
    EXPECT_EQ(told_of<TryEnded>()[0].outcome, Outcome::error);
    EXPECT_TRUE(said("playlist_malformed"));
    // Where it may have run and is paid for, there is no second try.
    has[0]["/paid/t/index.m3u8"] = text;
    decide = [](const Event& event) -> std::vector<Command> {
      if (const auto* r = std::get_if<Request>(&event))
        return {violettide::SetUp{r->playback, 0, 300ms}};
      if (const auto* e = std::get_if<TryEnded>(&event); e && !e->playback_over)
        return {Abort{e->playback}};
      return {};
    };
    EXPECT_EQ(get("/paid/t/index.m3u8").status, 502);
    decide = {};
  }
  EXPECT_LE(front->held().box_links, 2 * terms.idle_links_per_box);
}

TEST_F(Front, AMediaListThatIsNoneMovesThePlayback) {
  lay("a", "t", live(10, 15));
  const auto media = uris(get("/a/t/index.m3u8", sid).body);
  EXPECT_EQ(get(media[0]).status, 200);
  has[0]["/a/t/r0/index.m3u8"] = "#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXTINF:2,\nhttp://10.0.0.9/s.m4s\n";
  first_box = 1;
  const auto moved = get(media[0]);
  EXPECT_EQ(moved.status, 200);
  EXPECT_EQ(uris(moved.body).size(), 6u);
  EXPECT_TRUE(said("playlist_malformed"));
  EXPECT_EQ(told_of<Request>().size(), 2u) << "lost at one box, placed at another";
  EXPECT_EQ(front->held().playbacks, 1u);
}

TEST_F(Front, ALiveWindowGoesOnAtTheNextBox) {
  lay("a", "t", live(10, 15));
  const auto media = uris(get("/a/t/index.m3u8", sid).body)[1];
  EXPECT_EQ(get(media).body, live(10, 15));
  // The box is gone; the next numbers otherwise, is behind at first, and then a segment short.
  net.kill(1);
  has[1]["/a/t/r1/index.m3u8"] = live(9, 14, 509);
  const auto behind = get(media);
  EXPECT_EQ(behind.status, 200) << behind.head;
  EXPECT_EQ(uris(behind.body), uris(live(10, 15)));
  EXPECT_NE(behind.body.find("#EXT-X-MEDIA-SEQUENCE:10\n"), std::string::npos);
  has[1]["/a/t/r1/index.m3u8"] = live(11, 17, 511);
  const auto on = get(media);
  EXPECT_EQ(uris(on.body), uris(live(11, 17)));
  EXPECT_NE(on.body.find("#EXT-X-MEDIA-SEQUENCE:11\n"), std::string::npos) << on.body;
  EXPECT_EQ(on.body.find("DISCONTINUITY"), std::string::npos);
  // A blocking reload names a segment by the player's number; the box hears its own.
  EXPECT_EQ(get(media + "?_HLS_msn=18&_HLS_part=1&_HLS_skip=YES").status, 200);
  EXPECT_EQ(asked[1].back(), "/a/t/r1/index.m3u8?_HLS_msn=518&_HLS_part=1");
  EXPECT_EQ(get(beside(media, "s17.m4s")).body, "r1/17");
  EXPECT_EQ(get(media + "?_HLS_msn=x").status, 400);
}

TEST_F(Front, ALowerRungFillsTheListAndIsToldAsABreak) {
  rung = 2;
  lay("a", "t", live(10, 15));
  const auto media = uris(get("/a/t/index.m3u8", sid).body);
  ASSERT_EQ(media.size(), 3u);
  get(media[2]);
  decide = [this](const Event& event) {
    auto commands = place(event);
    if (std::holds_alternative<Measurement>(event))
      commands.push_back(SetRung{0, 0});
    return commands;
  };
  more_fields = "CMSD-Dynamic: \"b0\";org.violettide-util=0.9\r\n";  // news of the box, and the module's word
  get(beside(media[2], "s10.m4s"));
  for (const auto* at : {"r0/", "r1/", "r2/"})
    put("/a/t/" + std::string(at) + "index.m3u8", live(11, 16));
  const auto list = get(media[2]);
  ASSERT_EQ(list.status, 200);
  EXPECT_EQ(asked[0].back(), "/a/t/r0/index.m3u8");
  const auto shown = uris(list.body);
  ASSERT_EQ(shown.size(), 6u) << list.body;
  EXPECT_EQ(shown[4], "s15.m4s");
  EXPECT_TRUE(shown[5].starts_with("/~/")) << shown[5];
  EXPECT_TRUE(shown[5].ends_with("/s16.m4s"));
  EXPECT_NE(list.body.find("#EXT-X-DISCONTINUITY"), std::string::npos);
  EXPECT_EQ(get(shown[5]).body, "r0/16") << "the lower rung's own segment";
  net.run(net.now() + 1500ms);
  EXPECT_EQ(uris(get(media[2]).body), shown) << "what is listed once is listed the same way each time";
  EXPECT_EQ(get(beside(media[2], "s12.m4s")).body, "r2/12") << "listed not long ago";
  net.run(net.now() + 6500ms);
  get(media[1]);
  const auto high = get(beside(media[2], "s13.m4s"));
  EXPECT_EQ(high.status, 404);
  EXPECT_NE(high.head.find("mb=100"), std::string::npos) << high.head;
  EXPECT_EQ(get(beside(media[0], "s13.m4s")).body, "r0/13");
}

TEST_F(Front, AddressesAreGoodForWhatTheyNameAndNothingElse) {
  lay("a", "t", recorded(5));
  put("/a/u/index.m3u8", master());
  put("/a/u/r1/s1.m4s", "another title");
  const auto media = uris(get("/a/t/index.m3u8", sid).body);
  const auto segment = beside(media[1], "s1.m4s");
  EXPECT_EQ(get(segment).status, 200);
  auto forged = segment;
  forged[20] = forged[20] == 'A' ? 'B' : 'A';
  EXPECT_EQ(get(forged).status, 403);
  EXPECT_EQ(get("/~/" + std::string(200, 'A') + "/s1.m4s").status, 403);
  EXPECT_EQ(get("/~/nothing").status, 404);
  for (const auto* out : {"../r2/s1.m4s", "..%2fr2%2fs1.m4s", "%2e%2e/r2/s1.m4s", "/a/t/r2/s1.m4s", ".", ""})
    EXPECT_EQ(get(beside(media[1], "") + out).status, 403) << out;
  for (const auto& target : asked[0])
    EXPECT_EQ(target.find("r2"), std::string::npos) << target;
}

TEST_F(Front, RenditionsInOneDirectoryGetAnAddressForEachSegment) {
  put("/a/t/index.m3u8",
      "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=110000\nlow.m3u8\n#EXT-X-STREAM-INF:BANDWIDTH=400000\nhigh."
      "m3u8\n");
  put("/a/t/low.m3u8",
      "#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXT-X-MAP:URI=\"low.mp4\"\n#EXTINF:2,\nlow1.m4s\n#EXT-X-ENDLIST\n");
  put("/a/t/low1.m4s", "low");
  put("/a/t/high1.m4s", "high");
  const auto media = uris(get("/a/t/index.m3u8", sid).body);
  ASSERT_EQ(media.size(), 1u);
  const auto list = get(media[0]);
  const auto segment = uris(list.body).at(0);
  EXPECT_TRUE(segment.starts_with("/~/")) << list.body;
  EXPECT_NE(list.body.find("#EXT-X-MAP:URI=\"/~/"), std::string::npos);
  EXPECT_EQ(get(segment).body, "low");
  EXPECT_EQ(get(beside(media[0], "high1.m4s")).status, 403)
      << "its list's address is not good for another rung";
}

TEST_F(Front, VariablesOfTheListsAndOfTheirAddressesAreFilledIn) {
  put("/a/t/index.m3u8",
      "#EXTM3U\n#EXT-X-DEFINE:NAME=\"dir\",VALUE=\"media\"\n#EXT-X-DEFINE:QUERYPARAM=\"q\"\n"
      "#EXT-X-STREAM-INF:BANDWIDTH=110000\n{$dir}/index.m3u8?k={$q}\n");
  put("/a/t/media/index.m3u8",
      "#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXT-X-DEFINE:IMPORT=\"dir\"\n#EXT-X-DEFINE:QUERYPARAM=\"k\"\n"
      "#EXTINF:2,\n../{$dir}/s{$k}.m4s\n#EXT-X-ENDLIST\n");
  put("/a/t/media/s7.m4s", "seven");
  const auto media = uris(get("/a/t/index.m3u8?q=7", sid).body);
  ASSERT_EQ(media.size(), 1u);
  const auto list = get(media[0]);
  ASSERT_EQ(uris(list.body).size(), 1u) << list.head << list.body;
  EXPECT_EQ(get(beside(media[0], uris(list.body)[0])).body, "seven");
}

TEST_F(Front, AnOldAddressGetsWhatItsPlanAllows) {
  lay("a", "t", recorded(5));
  lay("paid", "t", recorded(5));
  lay("seated", "t", recorded(5));
  const auto plain = uris(get("/a/t/index.m3u8", sid).body)[0];
  const auto paid = uris(get("/paid/t/index.m3u8", sid).body)[0];
  const auto seated = uris(get("/seated/t/index.m3u8", sid).body)[0];
  net.run(net.now() + 20s);
  ASSERT_EQ(front->held().playbacks, 0u) << "all fell silent";
  told.clear();
  EXPECT_EQ(get(beside(plain, "s1.m4s")).body, "r0/1") << "a player that was paused goes on";
  EXPECT_EQ(told_of<Request>().size(), 1u);
  EXPECT_EQ(get(beside(paid, "s1.m4s")).status, 410) << "it would be paid twice";
  EXPECT_EQ(get(seated).status, 200);
  EXPECT_EQ(told_of<Request>().size(), 2u) << "its seat is asked for anew";
  // Refused meanwhile: its address is too, until the time to come back.
  net.run(net.now() + 20s);
  decide = [](const Event& event) -> std::vector<Command> {
    if (const auto* r = std::get_if<Request>(&event))
      return {Reject{r->playback, 5s}};
    return {};
  };
  EXPECT_EQ(get(seated).status, 503);
  told.clear();
  const auto again = get(beside(seated, "s1.m4s"));
  EXPECT_EQ(again.status, 503);
  EXPECT_NE(again.head.find("Retry-After: 5"), std::string::npos) << again.head;
  EXPECT_TRUE(told_of<Request>().empty()) << "the module was asked just now";
  net.run(net.now() + 6s);
  decide = {};
  EXPECT_EQ(get(beside(seated, "s1.m4s")).body, "r1/1");
}

TEST_F(Front, ARestartedManagerKnowsItsAddressesAgain) {
  lay("a", "t", live(10, 15));
  lay("paid", "t", live(10, 15));
  lay("seated", "t", live(10, 15));
  const auto plain = uris(get("/a/t/index.m3u8", sid).body)[1];
  const auto paid = uris(get("/paid/t/index.m3u8", sid).body)[1];
  const auto seated = uris(get("/seated/t/index.m3u8", sid).body)[0];
  net.kill(front_host);
  terms.hls.passes.secrets = {"new", "secret"};
  terms.wall_at_zero += 1h;
  front = make();
  net.replace(front_host, *front);
  net.run(net.now() + 100ms);
  told.clear();
  asked[0].clear();
  heads[0].clear();
  EXPECT_EQ(get(plain).status, 200);
  EXPECT_EQ(get(beside(paid, "s12.m4s")).body, "r1/12");
  EXPECT_EQ(told_of<PlaybackAdopted>().size(), 2u);
  EXPECT_TRUE(told_of<Request>().empty()) << "no second set-up";
  ASSERT_FALSE(heads[0].empty());
  for (const auto& head : heads[0])
    EXPECT_EQ(head.find("su"), std::string::npos) << head;
  EXPECT_EQ(get(beside(seated, "s12.m4s")).status, 200);
  EXPECT_EQ(told_of<Request>().size(), 1u) << "seats are the module's to count";
  // The box was restarted too and knows nothing of it: placed anew where that is not paid for again.
  has[0]["/a/t/r1/index.m3u8"] = has[0]["/paid/t/r1/s13.m4s"] =
      "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n";
  first_box = 1;
  EXPECT_EQ(get(plain).status, 200);
  EXPECT_EQ(get(beside(paid, "s13.m4s")).status, 502);
  EXPECT_EQ(told_of<Request>().size(), 2u);
}

TEST_F(Front, ExpiredAddressesKeepWhatPlaysAndBringNothingBack) {
  terms.hls.passes.lifetime = 10s;
  terms.hls.passes.clock_skew = 0s;
  front = make();
  net.replace(front_host, *front);
  net.run(net.now() + 100ms);
  lay("a", "t", live(10, 15));
  const auto media = uris(get("/a/t/index.m3u8", sid).body)[0];
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(get(media).status, 200);
    net.run(net.now() + 2500ms);
  }
  EXPECT_EQ(get(media).status, 200) << "it plays; its address is past its time";
  net.run(net.now() + 20s);
  EXPECT_EQ(front->held().playbacks, 0u);
  EXPECT_EQ(get(media).status, 410);
}

TEST_F(Front, PlayersWithOneSessionIdEachKeepTheirCourse) {
  lay("a", "t", live(10, 15));
  std::vector<std::string> media;
  for (int i = 0; i < 4; ++i)
    media.push_back(uris(get("/a/t/index.m3u8", sid).body)[0]);
  EXPECT_EQ(told_of<Request>().size(), 1u) << "one playback, one seat";
  EXPECT_NE(media[0], media[1]);
  get(media[0]);
  put("/a/t/r0/index.m3u8", live(14, 19));
  const auto late = get(media[1]);
  EXPECT_EQ(late.body, live(14, 19)) << "a course of its own";
  const auto over = get("/a/t/index.m3u8", sid);
  EXPECT_EQ(over.status, 503) << "a fifth would share a seat with four";
  net.run(net.now() + 5s);
  get(media[0]);
  net.run(net.now() + 2500ms);
  EXPECT_EQ(get("/a/t/index.m3u8", sid).status, 200) << "three have gone silent";
}

TEST_F(Front, WhatIsKeptOfListsAndOfPlaybacksThatAreOverIsBounded) {
  terms.hls.lists_kept_bytes = 5'000;
  terms.hls.parted_kept = 3;
  front = make();
  net.replace(front_host, *front);
  net.run(net.now() + 100ms);
  for (int i = 0; i < 12; ++i) {
    const auto title = "t" + std::to_string(i);
    lay("a", title, recorded(20));
    EXPECT_EQ(get(uris(get("/a/" + title + "/index.m3u8", sid).body)[0]).status, 200);
    EXPECT_LE(front->held().lists_bytes, 5'000u);
    EXPECT_GT(front->held().lists_bytes, 0u);
  }
  net.run(net.now() + 20s);
  EXPECT_EQ(front->held().playbacks, 0u);
  EXPECT_EQ(front->held().parted, 3u);
}

TEST_F(Front, AListThatBringsNothingNewIsTold) {
  lay("a", "t", live(10, 15));
  const auto media = uris(get("/a/t/index.m3u8", sid).body)[0];
  for (int i = 0; i < 8; ++i) {
    get(media);
    EXPECT_EQ(said("playlist_stands"), i > 6) << i << " seconds on";
    net.run(net.now() + 960ms);
  }
}

TEST_F(Front, PackedListsAndAHugeOne) {
  const auto text = recorded(20'000);
  const auto packed = gzip::compress(text);
  put("/a/t/index.m3u8", master());
  put("/a/t/r0/index.m3u8", "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: " +
                                std::to_string(packed.size()) + "\r\n\r\n" + packed);
  const auto media = uris(get("/a/t/index.m3u8", sid).body)[0];
  EXPECT_NE(heads[0][0].find("Accept-Encoding: gzip"), std::string::npos);
  EXPECT_EQ(get(media).body, text);
  const auto made = get(media, "Accept-Encoding: br, gzip\r\n");
  EXPECT_NE(made.head.find("Content-Encoding: gzip"), std::string::npos)
      << made.status << made.head << made.body.size();
  EXPECT_TRUE(gzip::decompress(made.body, 1 << 24) == text);
  EXPECT_GT(front->held().lists_bytes, text.size()) << "read once, kept for the next who asks";
}

TEST_F(Front, StraightToTheBoxWhereTheSettingsSaySo) {
  terms.hls.direct = true;
  front = make();
  net.replace(front_host, *front);
  net.run(net.now() + 100ms);
  lay("a", "t", recorded(5));
  const auto lists = get("/a/t/index.m3u8", sid);
  const auto media = uris(lists.body)[0];
  const auto list = get(media);
  EXPECT_EQ(uris(list.body)[1], "http://127.0.0.1:1001/a/t/r0/s1.m4s");
  // Steering keeps the front in the picture: it tells that the playback goes on, and how fast.
  auto steering = lists.body.substr(lists.body.find("SERVER-URI=\"") + 12);
  steering = steering.substr(0, steering.find('"'));
  for (int i = 0; i < 5; ++i) {
    net.run(net.now() + 4s);
    const auto manifest = get(steering + "?_HLS_pathway=.&_HLS_throughput=5140000");
    EXPECT_EQ(manifest.status, 200);
    EXPECT_NE(manifest.body.find("\"TTL\":2"), std::string::npos) << manifest.body;
  }
  EXPECT_EQ(front->held().playbacks, 1u);
  net.run(net.now() + 10s);
  EXPECT_EQ(front->held().playbacks, 0u);
  EXPECT_EQ(get(steering).status, 410);
}

TEST_F(Front, WithoutASecretThereIsNoSecondFront) {
  terms.hls.passes.secrets.clear();
  front = make();
  net.replace(front_host, *front);
  net.run(net.now() + 100ms);
  EXPECT_EQ(get("/a/t/index.m3u8").status, 404);
  EXPECT_EQ(get("/~/abc/x").status, 404);
}

// One script, both fronts, the same boxes: the outcomes mean the same.
TEST_F(Front, BothFrontsTellTheSameOutcomes) {
  lay("a", "t", recorded(5));
  lay("paid", "t", recorded(5));
  const std::vector<std::pair<std::string, std::function<void()>>> scripts{
      {"plays", [] {}},
      {"full", [this] { put_all("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"); }},
      {"errors", [this] { put_all("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"); }},
      {"silent", [this] { mute[0] = mute[1] = true; }},
      {"refused", [this] {
         decide = [](const Event& event) -> std::vector<Command> {
           if (const auto* r = std::get_if<Request>(&event))
             return {Reject{r->playback, 1500ms}};
           return {};
         };
       }}};
  int n = 0;
  for (const std::string plan : {"a", "paid"}) {
    for (const auto& [name, prepare] : scripts) {
      std::vector<std::string> outcomes;
      for (const bool hls : {false, true}) {
        lay("a", "t", recorded(5));
        lay("paid", "t", recorded(5));
        mute[0] = mute[1] = false;
        decide = {};
        told.clear();
        prepare();
        const auto link = dial();
        send(link, hls ? "/" + plan + "/t/index.m3u8" : "/" + plan + "/t/r1/s1.m4s",
             "CMCD-Session: sid=\"o" + std::to_string(++n) + "\"\r\n");
        net.run(net.now() + 4s);
        const auto got = answer(link);
        const auto wait = got.head.find("Retry-After");
        std::string outcome =
            std::to_string(got.status) + " " + (wait == std::string::npos ? "" : got.head.substr(wait, 14));
        for (const auto& ended : told_of<TryEnded>()) {
          if (!ended.playback_over)
            outcome += " " + std::to_string(static_cast<int>(ended.outcome));
        }
        outcome += " started " + std::to_string(told_of<PlaybackStarted>().size());
        outcomes.push_back(outcome);
      }
      EXPECT_EQ(outcomes[0], outcomes[1]) << plan << " " << name;
    }
  }
}

}  // namespace
}  // namespace violettide::manager
