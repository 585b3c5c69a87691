// Tests the manager's HLS part with a scripted policy and scripted boxes on the in-memory network.
#include <gtest/gtest.h>

#include "gzip/gzip.h"
#include "manager/manager.h"
#include "net.h"
#include "scripted.h"

namespace violettide::manager {
namespace {

using namespace std::chrono_literals;
using testing::Network;
using testing::ScriptedDecider;
using testing::ScriptedPeer;

class Front : public ::testing::Test {
 protected:
  static constexpr int front_host = 0, viewer_host = 4;

  void SetUp() override {
    settings.name = "m";
    settings.policy.rung_kb = {12.5, 25, 50};  // 100, 200 and 400 kbit/s
    settings.policy.rung_revenue = {0.5, 0.8, 1};
    settings.policy.plans.resize(3);
    for (auto& plan : settings.policy.plans)
      plan.startup_target = 800ms, plan.top = 2;
    settings.policy.plans[0].floor = 0;
    settings.policy.plans[1].pay_at_setup = true;
    settings.policy.plans[2].floor = 1;
    settings.policy.plans[2].seats = 2;
    settings.plans = {{"a", 4s}, {"paid", 4s}, {"seated", 4s}};
    settings.halls = {"h"};
    settings.policy.cells = 2;
    settings.box_list_port = Network::port(3);
    settings.idle_timeout = 3s;
    settings.hls.url_keys.secrets = {"secret"};
    settings.wall_clock_at_zero = 1000h;
    front = make_manager();
    net.add(*front, 1);
    net.add(box[0], 1);
    net.add(box[1], 1);
    net.add(list_service, 1);
    net.add(viewer, 0);
    list_service.on_bytes = [this](ScriptedPeer&, ConnectionId connection, std::vector<Action>& actions) {
      actions.push_back(
          Send{connection, http::serialize_response_head(200, {}, boxes_json.size(), false) + boxes_json});
      actions.push_back(Close{connection, true});
    };
    for (int b = 0; b < 2; ++b) {
      box[b].on_bytes = [this, b](ScriptedPeer& own, ConnectionId connection, std::vector<Action>& actions) {
        serve(b, own, connection, actions);
      };
    }
    net.run(100ms);
    events.clear();
  }
  std::unique_ptr<Manager> make_manager() {
    return std::make_unique<Manager>(
        settings, 1, "", std::make_unique<ScriptedDecider>(&events, [this](Duration, const Event& event) {
          return decide ? decide(event) : place_on_boxes(event);
        }));
  }
  std::vector<Command> place_on_boxes(const Event& event) {
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

  // Answers as box `b`: with its file at the path or target, 404 if there is none. A file that starts with
  // HTTP/ is a whole response.
  void serve(int b, ScriptedPeer& own, ConnectionId connection, std::vector<Action>& actions) {
    auto& got = own.peers[connection].got;
    for (auto end = got.find("\r\n\r\n"); end != std::string::npos; end = got.find("\r\n\r\n")) {
      const auto head = got.substr(0, end);
      got.erase(0, end + 4);
      const auto target = head.substr(4, head.find(' ', 4) - 4);
      requested_targets[b].push_back(target);
      request_heads[b].push_back(head);
      if (head.starts_with("HEAD")) {
        actions.push_back(Send{connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"});
        continue;
      }
      if (silent[b])
        continue;
      const auto path = target.substr(0, target.find('?'));
      const auto found = files[b].count(path) ? files[b].find(path) : files[b].find(target);
      if (found == files[b].end()) {
        actions.push_back(Send{connection, "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"});
      } else if (found->second.starts_with("HTTP/")) {
        actions.push_back(Send{connection, found->second});
      } else {
        actions.push_back(Send{connection, "HTTP/1.1 200 OK\r\n" + extra_response_fields +
                                               "Content-Length: " + std::to_string(found->second.size()) +
                                               "\r\n\r\n" + found->second});
      }
    }
  }
  void set_file(const std::string& path, const std::string& body) { files[0][path] = files[1][path] = body; }
  void set_all_files(const std::string& body) {
    for (auto& box_files : files) {
      for (auto& [path, own] : box_files)
        own = body;
    }
  }
  static std::string multivariant_playlist() {
    return "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"g\",NAME=\"n\",URI=\"aud/"
           "index.m3u8\"\n"
           "#EXT-X-STREAM-INF:BANDWIDTH=110000,AUDIO=\"g\"\nr0/index.m3u8\n"
           "#EXT-X-STREAM-INF:BANDWIDTH=210000,AUDIO=\"g\"\nr1/index.m3u8\n"
           "#EXT-X-STREAM-INF:BANDWIDTH=400000,AUDIO=\"g\"\nr2/index.m3u8\n";
  }
  static std::string live_playlist(int from, int to, int number = -1) {
    std::string text = "#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXT-X-MEDIA-SEQUENCE:" +
                       std::to_string(number < 0 ? from : number) + "\n";
    for (int i = from; i <= to; ++i)
      text += "#EXT-X-PROGRAM-DATE-TIME:2026-01-01T00:00:" + std::string(2 * i < 10 ? "0" : "") +
              std::to_string(2 * i) + "Z\n#EXTINF:2,\ns" + std::to_string(i) + ".m4s\n";
    return text;
  }
  static std::string vod_playlist(int count) {
    std::string text = "#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXT-X-PLAYLIST-TYPE:VOD\n";
    for (int i = 0; i < count; ++i)
      text += "#EXTINF:2,\ns" + std::to_string(i) + ".m4s\n";
    return text + "#EXT-X-ENDLIST\n";
  }
  void add_title(const std::string& plan, const std::string& title, const std::string& media) {
    const auto root = "/" + plan + "/" + title + "/";
    set_file(root + "index.m3u8", multivariant_playlist());
    for (const auto* at : {"r0/", "r1/", "r2/", "aud/"}) {
      set_file(root + at + "index.m3u8", media);
      for (int i = 0; i < 30; ++i)
        set_file(root + at + "s" + std::to_string(i) + ".m4s", std::string(at) + std::to_string(i));
    }
  }

  struct Response {
    int status = 0;
    std::string head, body;
  };
  ConnectionId connect() {
    const ConnectionId connection = next_connection++;
    viewer.next.push_back(Dial{connection, "", Network::port(front_host)});
    step();
    return connection;
  }
  void step(Duration time = 20ms) {
    net.wake(viewer_host);
    net.run(net.now() + time);
  }
  void send(ConnectionId connection, const std::string& target, const std::string& fields = "") {
    viewer.next.push_back(Send{connection, "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n"});
    step();
  }
  Response read_response(ConnectionId connection) {
    auto& got = viewer.peers[connection].got;
    Response response;
    const auto end = got.find("\r\n\r\n");
    if (end == std::string::npos)
      return response;
    response.head = got.substr(0, end);
    response.status = std::stoi(response.head.substr(9));
    response.body = got.substr(end + 4);
    got.clear();
    return response;
  }
  Response get(const std::string& target, const std::string& fields = "") {
    const auto connection = connect();
    send(connection, target, fields);
    return read_response(connection);
  }
  static std::vector<std::string> uris_of(const std::string& playlist) {
    std::vector<std::string> result;
    std::istringstream lines(playlist);
    for (std::string line; std::getline(lines, line);) {
      if (!line.empty() && line[0] != '#')
        result.push_back(line);
    }
    return result;
  }
  static std::string sibling_url(const std::string& playlist, const std::string& name) {
    return name[0] == '/' ? name : playlist.substr(0, playlist.rfind('/') + 1) + name;
  }
  template <typename EventType>
  std::vector<EventType> events_of() const {
    return testing::events_of_type<EventType>(events);
  }
  bool logged(const std::string& event) const {
    return std::any_of(net.log_lines.begin(), net.log_lines.end(),
                       [&](auto& s) { return s.second.event == event; });
  }
  Network net;
  ScriptedPeer box[2], list_service, viewer;
  std::map<std::string, std::string> files[2];
  std::vector<std::string> requested_targets[2], request_heads[2];
  bool silent[2] = {false, false};
  std::string extra_response_fields;
  ManagerSettings settings;
  std::unique_ptr<Manager> front;
  std::vector<Event> events;
  std::map<PlaybackId, int> tries;
  std::function<std::vector<Command>(const Event&)> decide;
  ServerId first_box = 0;
  int rung = 1;
  ConnectionId next_connection = 1;
  std::string boxes_json = testing::two_boxes_json;
};

constexpr const char* sid = "CMCD-Session: sid=\"s1\"\r\n";

TEST_F(Front, PlaysFromMultivariantPlaylistToSegments) {
  add_title("a", "t", vod_playlist(5));
  const auto multivariant = get("/a/t/index.m3u8?CMCD=sid%3D%22s1%22&k=1", "traceparent: 00-ab-cd-01\r\n");
  ASSERT_EQ(multivariant.status, 200) << multivariant.head << multivariant.body;
  EXPECT_NE(multivariant.head.find("Content-Type: application/vnd.apple.mpegurl"), std::string::npos);
  EXPECT_NE(multivariant.head.find("CMSD-Dynamic: \"m\";mb=200"), std::string::npos) << multivariant.head;
  EXPECT_EQ(requested_targets[0].at(0), "/a/t/index.m3u8?k=1") << "CMCD is not passed on to the box";
  EXPECT_NE(request_heads[0][0].find("traceparent: 00-ab-cd-01"), std::string::npos);
  EXPECT_NE(request_heads[0][0].find("su"), std::string::npos);
  const auto media = uris_of(multivariant.body);
  ASSERT_EQ(media.size(), 2u) << "the floor and the current rung, not the one above";
  EXPECT_EQ(multivariant.body.find("BANDWIDTH=400000"), std::string::npos);
  const auto segments = get(media[1]);
  ASSERT_EQ(segments.status, 200);
  EXPECT_EQ(segments.body, vod_playlist(5)) << "a playlist that needs no rewriting is copied byte for byte";
  const auto segment = get(sibling_url(media[1], uris_of(segments.body)[2]), "CMCD-Request: bl=4000\r\n");
  EXPECT_EQ(segment.body, "r1/2");
  EXPECT_NE(request_heads[0].back().find("sid=\"s1\""), std::string::npos);
  EXPECT_EQ(request_heads[0].back().find("su"), std::string::npos) << "no set-up";
  EXPECT_EQ(events_of<PlaybackStarted>().size(), 1u);
  EXPECT_EQ(events_of<Request>().size(), 1u);
  EXPECT_EQ(front->resource_usage().playbacks, 1u);
  const auto audio = multivariant.body.substr(multivariant.body.find("URI=\"") + 5);
  EXPECT_EQ(get(audio.substr(0, audio.find('"'))).body, vod_playlist(5));
  // The playback lasts while its buffer does, then it is ended.
  net.run(net.now() + 6500ms);
  EXPECT_EQ(front->resource_usage().playbacks, 1u);
  net.run(net.now() + 4s);
  EXPECT_EQ(front->resource_usage().playbacks, 0u);
  ASSERT_EQ(events_of<TryEnded>().size(), 1u);
  EXPECT_TRUE(events_of<TryEnded>()[0].playback_over);
}

TEST_F(Front, ConcurrentPlaylistRequestsAreOnePlaybackAndOneTry) {
  add_title("seated", "t", live_playlist(10, 15));
  silent[0] = true;
  const auto first = connect(), second = connect(), third = connect();
  send(first, "/seated/t/index.m3u8", sid);
  send(second, "/seated/t/index.m3u8", sid);
  send(third, "/seated/t/r1/s1.m4s", sid);  // and one for a plain object
  EXPECT_EQ(events_of<Request>().size(), 1u);
  EXPECT_EQ(requested_targets[0].size(), 1u) << "one playback, one try out";
  net.run(net.now() + 600ms);
  EXPECT_EQ(read_response(first).status, 200);
  EXPECT_EQ(read_response(second).status, 200);
  EXPECT_EQ(read_response(third).body, "r1/1");
  EXPECT_EQ(events_of<TryEnded>().size(), 1u) << "only at the silent box";
  EXPECT_EQ(events_of<PlaybackStarted>().size(), 1u);
  EXPECT_EQ(front->resource_usage().playbacks, 1u);
}

TEST_F(Front, InvalidPlaylistsFailTheTryAsErrors) {
  std::string endless = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  settings.hls.playlist_limits.bytes = 20'000;
  front = make_manager();
  net.replace(front_host, *front);
  net.run(net.now() + 100ms);
  for (int i = 0; i < 3; ++i)
    endless += "2710\r\n" + std::string(10'000, '#') + "\r\n";
  const auto bomb = gzip::compress(std::string(1 << 20, '#'));
  const std::vector<std::string> invalid_playlists{
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
  for (const auto& text : invalid_playlists) {
    events.clear();
    net.log_lines.clear();
    files[0]["/a/t/index.m3u8"] = text;
    files[1]["/a/t/index.m3u8"] = multivariant_playlist();
    EXPECT_EQ(get("/a/t/index.m3u8").status, 200)
        << "the next box has a valid playlist: " << text.substr(0, 60);
    ASSERT_EQ(events_of<TryEnded>().size(), 1u) << text.substr(0, 60);
    EXPECT_EQ(events_of<TryEnded>()[0].outcome, Outcome::error);
    EXPECT_TRUE(logged("playlist_malformed"));
    // Under a plan that pays at set-up there is no second try, since the first may have been charged.
    files[0]["/paid/t/index.m3u8"] = text;
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
  EXPECT_LE(front->resource_usage().box_connections, 2 * settings.max_idle_connections_per_box);
}

TEST_F(Front, InvalidMediaPlaylistMovesThePlayback) {
  add_title("a", "t", live_playlist(10, 15));
  const auto media = uris_of(get("/a/t/index.m3u8", sid).body);
  EXPECT_EQ(get(media[0]).status, 200);
  files[0]["/a/t/r0/index.m3u8"] = "#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXTINF:2,\nhttp://10.0.0.9/s.m4s\n";
  first_box = 1;
  const auto moved = get(media[0]);
  EXPECT_EQ(moved.status, 200);
  EXPECT_EQ(uris_of(moved.body).size(), 6u);
  EXPECT_TRUE(logged("playlist_malformed"));
  EXPECT_EQ(events_of<Request>().size(), 2u) << "lost at one box, set up at another";
  EXPECT_EQ(front->resource_usage().playbacks, 1u);
}

TEST_F(Front, LiveWindowContinuesAtAnotherBox) {
  add_title("a", "t", live_playlist(10, 15));
  const auto media = uris_of(get("/a/t/index.m3u8", sid).body)[1];
  EXPECT_EQ(get(media).body, live_playlist(10, 15));
  // The box is lost. The next one uses other sequence numbers, is behind at first, and then lacks a segment.
  net.kill(1);
  files[1]["/a/t/r1/index.m3u8"] = live_playlist(9, 14, 509);
  const auto behind = get(media);
  EXPECT_EQ(behind.status, 200) << behind.head;
  EXPECT_EQ(uris_of(behind.body), uris_of(live_playlist(10, 15)));
  EXPECT_NE(behind.body.find("#EXT-X-MEDIA-SEQUENCE:10\n"), std::string::npos);
  files[1]["/a/t/r1/index.m3u8"] = live_playlist(11, 17, 511);
  const auto continued = get(media);
  EXPECT_EQ(uris_of(continued.body), uris_of(live_playlist(11, 17)));
  EXPECT_NE(continued.body.find("#EXT-X-MEDIA-SEQUENCE:11\n"), std::string::npos) << continued.body;
  EXPECT_EQ(continued.body.find("DISCONTINUITY"), std::string::npos);
  // A blocking reload names a segment by the player's sequence number; the box gets its own number.
  EXPECT_EQ(get(media + "?_HLS_msn=18&_HLS_part=1&_HLS_skip=YES").status, 200);
  EXPECT_EQ(requested_targets[1].back(), "/a/t/r1/index.m3u8?_HLS_msn=518&_HLS_part=1");
  EXPECT_EQ(get(sibling_url(media, "s17.m4s")).body, "r1/17");
  EXPECT_EQ(get(media + "?_HLS_msn=x").status, 400);
}

TEST_F(Front, LowerRungContinuesThePlaylistAfterADiscontinuity) {
  rung = 2;
  add_title("a", "t", live_playlist(10, 15));
  const auto media = uris_of(get("/a/t/index.m3u8", sid).body);
  ASSERT_EQ(media.size(), 3u);
  get(media[2]);
  decide = [this](const Event& event) {
    auto commands = place_on_boxes(event);
    if (std::holds_alternative<Measurement>(event))
      commands.push_back(SetRung{0, 0});
    return commands;
  };
  // Causes a Measurement, at which the scripted policy lowers the rung.
  extra_response_fields = "CMSD-Dynamic: \"b0\";org.violettide-util=0.9\r\n";
  get(sibling_url(media[2], "s10.m4s"));
  for (const auto* at : {"r0/", "r1/", "r2/"})
    set_file("/a/t/" + std::string(at) + "index.m3u8", live_playlist(11, 16));
  const auto playlist = get(media[2]);
  ASSERT_EQ(playlist.status, 200);
  EXPECT_EQ(requested_targets[0].back(), "/a/t/r0/index.m3u8");
  const auto listed = uris_of(playlist.body);
  ASSERT_EQ(listed.size(), 6u) << playlist.body;
  EXPECT_EQ(listed[4], "s15.m4s");
  EXPECT_TRUE(listed[5].starts_with("/~/")) << listed[5];
  EXPECT_TRUE(listed[5].ends_with("/s16.m4s"));
  EXPECT_NE(playlist.body.find("#EXT-X-DISCONTINUITY"), std::string::npos);
  EXPECT_EQ(get(listed[5]).body, "r0/16") << "the segment of the lower rung";
  net.run(net.now() + 1500ms);
  EXPECT_EQ(uris_of(get(media[2]).body), listed) << "a segment keeps its URL at each reload";
  EXPECT_EQ(get(sibling_url(media[2], "s12.m4s")).body, "r2/12") << "listed recently";
  net.run(net.now() + 6500ms);
  get(media[1]);
  const auto high = get(sibling_url(media[2], "s13.m4s"));
  EXPECT_EQ(high.status, 404);
  EXPECT_NE(high.head.find("mb=100"), std::string::npos) << high.head;
  EXPECT_EQ(get(sibling_url(media[0], "s13.m4s")).body, "r0/13");
}

TEST_F(Front, SignedUrlsCoverOnlyTheirResource) {
  add_title("a", "t", vod_playlist(5));
  set_file("/a/u/index.m3u8", multivariant_playlist());
  set_file("/a/u/r1/s1.m4s", "another title");
  const auto media = uris_of(get("/a/t/index.m3u8", sid).body);
  const auto segment = sibling_url(media[1], "s1.m4s");
  EXPECT_EQ(get(segment).status, 200);
  auto forged = segment;
  forged[20] = forged[20] == 'A' ? 'B' : 'A';
  EXPECT_EQ(get(forged).status, 403);
  EXPECT_EQ(get("/~/" + std::string(200, 'A') + "/s1.m4s").status, 403);
  EXPECT_EQ(get("/~/nothing").status, 404);
  for (const auto* escaping_name :
       {"../r2/s1.m4s", "..%2fr2%2fs1.m4s", "%2e%2e/r2/s1.m4s", "/a/t/r2/s1.m4s", ".", ""})
    EXPECT_EQ(get(sibling_url(media[1], "") + escaping_name).status, 403) << escaping_name;
  for (const auto& target : requested_targets[0])
    EXPECT_EQ(target.find("r2"), std::string::npos) << target;
}

TEST_F(Front, RenditionsInOneDirectoryGetASignedUrlPerSegment) {
  set_file("/a/t/index.m3u8",
           "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=110000\nlow.m3u8\n#EXT-X-STREAM-INF:BANDWIDTH=400000\nhigh."
           "m3u8\n");
  set_file(
      "/a/t/low.m3u8",
      "#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXT-X-MAP:URI=\"low.mp4\"\n#EXTINF:2,\nlow1.m4s\n#EXT-X-ENDLIST\n");
  set_file("/a/t/low1.m4s", "low");
  set_file("/a/t/high1.m4s", "high");
  const auto media = uris_of(get("/a/t/index.m3u8", sid).body);
  ASSERT_EQ(media.size(), 1u);
  const auto playlist = get(media[0]);
  const auto segment = uris_of(playlist.body).at(0);
  EXPECT_TRUE(segment.starts_with("/~/")) << playlist.body;
  EXPECT_NE(playlist.body.find("#EXT-X-MAP:URI=\"/~/"), std::string::npos);
  EXPECT_EQ(get(segment).body, "low");
  EXPECT_EQ(get(sibling_url(media[0], "high1.m4s")).status, 403)
      << "the playlist's signed URL does not cover another rung";
}

TEST_F(Front, VariablesOfPlaylistsAndQueriesAreSubstituted) {
  set_file("/a/t/index.m3u8",
           "#EXTM3U\n#EXT-X-DEFINE:NAME=\"dir\",VALUE=\"media\"\n#EXT-X-DEFINE:QUERYPARAM=\"q\"\n"
           "#EXT-X-STREAM-INF:BANDWIDTH=110000\n{$dir}/index.m3u8?k={$q}\n");
  set_file("/a/t/media/index.m3u8",
           "#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXT-X-DEFINE:IMPORT=\"dir\"\n#EXT-X-DEFINE:QUERYPARAM=\"k\"\n"
           "#EXTINF:2,\n../{$dir}/s{$k}.m4s\n#EXT-X-ENDLIST\n");
  set_file("/a/t/media/s7.m4s", "seven");
  const auto media = uris_of(get("/a/t/index.m3u8?q=7", sid).body);
  ASSERT_EQ(media.size(), 1u);
  const auto playlist = get(media[0]);
  ASSERT_EQ(uris_of(playlist.body).size(), 1u) << playlist.head << playlist.body;
  EXPECT_EQ(get(sibling_url(media[0], uris_of(playlist.body)[0])).body, "seven");
}

TEST_F(Front, SignedUrlOfAnEndedPlaybackGetsWhatItsPlanAllows) {
  add_title("a", "t", vod_playlist(5));
  add_title("paid", "t", vod_playlist(5));
  add_title("seated", "t", vod_playlist(5));
  const auto plain = uris_of(get("/a/t/index.m3u8", sid).body)[0];
  const auto paid = uris_of(get("/paid/t/index.m3u8", sid).body)[0];
  const auto seated = uris_of(get("/seated/t/index.m3u8", sid).body)[0];
  net.run(net.now() + 20s);
  ASSERT_EQ(front->resource_usage().playbacks, 0u) << "all timed out as idle";
  events.clear();
  EXPECT_EQ(get(sibling_url(plain, "s1.m4s")).body, "r0/1") << "a paused player continues";
  EXPECT_EQ(events_of<Request>().size(), 1u);
  EXPECT_EQ(get(sibling_url(paid, "s1.m4s")).status, 410) << "it would be charged twice";
  EXPECT_EQ(get(seated).status, 200);
  EXPECT_EQ(events_of<Request>().size(), 2u) << "a new seat is requested";
  // After a rejection its signed URLs are rejected too, until the Retry-After time has passed.
  net.run(net.now() + 20s);
  decide = [](const Event& event) -> std::vector<Command> {
    if (const auto* r = std::get_if<Request>(&event))
      return {Reject{r->playback, 5s}};
    return {};
  };
  EXPECT_EQ(get(seated).status, 503);
  events.clear();
  const auto again = get(sibling_url(seated, "s1.m4s"));
  EXPECT_EQ(again.status, 503);
  EXPECT_NE(again.head.find("Retry-After: 5"), std::string::npos) << again.head;
  EXPECT_TRUE(events_of<Request>().empty()) << "the policy rejected it recently";
  net.run(net.now() + 6s);
  decide = {};
  EXPECT_EQ(get(sibling_url(seated, "s1.m4s")).body, "r1/1");
}

TEST_F(Front, RestartedManagerAdoptsPlaybacksBySignedUrl) {
  add_title("a", "t", live_playlist(10, 15));
  add_title("paid", "t", live_playlist(10, 15));
  add_title("seated", "t", live_playlist(10, 15));
  const auto plain = uris_of(get("/a/t/index.m3u8", sid).body)[1];
  const auto paid = uris_of(get("/paid/t/index.m3u8", sid).body)[1];
  const auto seated = uris_of(get("/seated/t/index.m3u8", sid).body)[0];
  net.kill(front_host);
  settings.hls.url_keys.secrets = {"new", "secret"};
  settings.wall_clock_at_zero += 1h;
  front = make_manager();
  net.replace(front_host, *front);
  net.run(net.now() + 100ms);
  events.clear();
  requested_targets[0].clear();
  request_heads[0].clear();
  EXPECT_EQ(get(plain).status, 200);
  EXPECT_EQ(get(sibling_url(paid, "s12.m4s")).body, "r1/12");
  EXPECT_EQ(events_of<PlaybackAdopted>().size(), 2u);
  EXPECT_TRUE(events_of<Request>().empty()) << "no second set-up";
  ASSERT_FALSE(request_heads[0].empty());
  for (const auto& head : request_heads[0])
    EXPECT_EQ(head.find("su"), std::string::npos) << head;
  EXPECT_EQ(get(sibling_url(seated, "s12.m4s")).status, 200);
  EXPECT_EQ(events_of<Request>().size(), 1u) << "the policy counts the seats";
  // The box was restarted too and doesn't know the playbacks: they are placed anew unless that would be
  // charged twice.
  files[0]["/a/t/r1/index.m3u8"] = files[0]["/paid/t/r1/s13.m4s"] =
      "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n";
  first_box = 1;
  EXPECT_EQ(get(plain).status, 200);
  EXPECT_EQ(get(sibling_url(paid, "s13.m4s")).status, 502);
  EXPECT_EQ(events_of<Request>().size(), 2u);
}

TEST_F(Front, ExpiredUrlsContinueAPlaybackButStartNone) {
  settings.hls.url_keys.lifetime = 10s;
  settings.hls.url_keys.clock_skew = 0s;
  front = make_manager();
  net.replace(front_host, *front);
  net.run(net.now() + 100ms);
  add_title("a", "t", live_playlist(10, 15));
  const auto media = uris_of(get("/a/t/index.m3u8", sid).body)[0];
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(get(media).status, 200);
    net.run(net.now() + 2500ms);
  }
  EXPECT_EQ(get(media).status, 200) << "it plays; its signed URL has expired";
  net.run(net.now() + 20s);
  EXPECT_EQ(front->resource_usage().playbacks, 0u);
  EXPECT_EQ(get(media).status, 410);
}

TEST_F(Front, PlayersOfOneSessionIdHaveSeparateContinuity) {
  add_title("a", "t", live_playlist(10, 15));
  std::vector<std::string> media;
  for (int i = 0; i < 4; ++i)
    media.push_back(uris_of(get("/a/t/index.m3u8", sid).body)[0]);
  EXPECT_EQ(events_of<Request>().size(), 1u) << "one playback, one seat";
  EXPECT_NE(media[0], media[1]);
  get(media[0]);
  set_file("/a/t/r0/index.m3u8", live_playlist(14, 19));
  const auto late = get(media[1]);
  EXPECT_EQ(late.body, live_playlist(14, 19)) << "each player has its own continuity state";
  const auto fifth = get("/a/t/index.m3u8", sid);
  EXPECT_EQ(fifth.status, 503) << "a fifth player of one session id";
  net.run(net.now() + 5s);
  get(media[0]);
  net.run(net.now() + 2500ms);
  EXPECT_EQ(get("/a/t/index.m3u8", sid).status, 200) << "three players are idle";
}

TEST_F(Front, PlaylistCacheAndEndedPlaybacksAreBounded) {
  settings.hls.playlist_cache_bytes = 5'000;
  settings.hls.max_ended_playbacks = 3;
  front = make_manager();
  net.replace(front_host, *front);
  net.run(net.now() + 100ms);
  for (int i = 0; i < 12; ++i) {
    const auto title = "t" + std::to_string(i);
    add_title("a", title, vod_playlist(20));
    EXPECT_EQ(get(uris_of(get("/a/" + title + "/index.m3u8", sid).body)[0]).status, 200);
    EXPECT_LE(front->resource_usage().playlist_cache_bytes, 5'000u);
    EXPECT_GT(front->resource_usage().playlist_cache_bytes, 0u);
  }
  net.run(net.now() + 20s);
  EXPECT_EQ(front->resource_usage().playbacks, 0u);
  EXPECT_EQ(front->resource_usage().ended_playbacks, 3u);
}

TEST_F(Front, UnchangedLivePlaylistIsLogged) {
  add_title("a", "t", live_playlist(10, 15));
  const auto media = uris_of(get("/a/t/index.m3u8", sid).body)[0];
  for (int i = 0; i < 8; ++i) {
    get(media);
    EXPECT_EQ(logged("playlist_stands"), i > 6) << i << " seconds later";
    net.run(net.now() + 960ms);
  }
}

TEST_F(Front, CompressedAndVeryLongPlaylists) {
  const auto text = vod_playlist(20'000);
  const auto compressed = gzip::compress(text);
  set_file("/a/t/index.m3u8", multivariant_playlist());
  set_file("/a/t/r0/index.m3u8", "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: " +
                                     std::to_string(compressed.size()) + "\r\n\r\n" + compressed);
  const auto media = uris_of(get("/a/t/index.m3u8", sid).body)[0];
  EXPECT_NE(request_heads[0][0].find("Accept-Encoding: gzip"), std::string::npos);
  EXPECT_EQ(get(media).body, text);
  const auto response = get(media, "Accept-Encoding: br, gzip\r\n");
  EXPECT_NE(response.head.find("Content-Encoding: gzip"), std::string::npos)
      << response.status << response.head << response.body.size();
  EXPECT_TRUE(gzip::decompress(response.body, 1 << 24) == text);
  EXPECT_GT(front->resource_usage().playlist_cache_bytes, text.size()) << "the parsed playlist is cached";
}

TEST_F(Front, DirectSegmentsLeadToTheBox) {
  settings.hls.direct_segments = true;
  front = make_manager();
  net.replace(front_host, *front);
  net.run(net.now() + 100ms);
  add_title("a", "t", vod_playlist(5));
  const auto multivariant = get("/a/t/index.m3u8", sid);
  const auto media = uris_of(multivariant.body)[0];
  const auto playlist = get(media);
  EXPECT_EQ(uris_of(playlist.body)[1], "http://127.0.0.1:1001/a/t/r0/s1.m4s");
  // Polls of the steering manifest tell the front that the playback goes on, and its throughput.
  auto steering = multivariant.body.substr(multivariant.body.find("SERVER-URI=\"") + 12);
  steering = steering.substr(0, steering.find('"'));
  for (int i = 0; i < 5; ++i) {
    net.run(net.now() + 4s);
    const auto manifest = get(steering + "?_HLS_pathway=.&_HLS_throughput=5140000");
    EXPECT_EQ(manifest.status, 200);
    EXPECT_NE(manifest.body.find("\"TTL\":2"), std::string::npos) << manifest.body;
  }
  EXPECT_EQ(front->resource_usage().playbacks, 1u);
  net.run(net.now() + 10s);
  EXPECT_EQ(front->resource_usage().playbacks, 0u);
  EXPECT_EQ(get(steering).status, 410);
}

TEST_F(Front, WithoutASecretHlsIsDisabled) {
  settings.hls.url_keys.secrets.clear();
  front = make_manager();
  net.replace(front_host, *front);
  net.run(net.now() + 100ms);
  EXPECT_EQ(get("/a/t/index.m3u8").status, 404);
  EXPECT_EQ(get("/~/abc/x").status, 404);
}

// Runs each scenario with plain objects and with HLS: the outcomes must be equal.
TEST_F(Front, ObjectsAndHlsHaveTheSameOutcomes) {
  add_title("a", "t", vod_playlist(5));
  add_title("paid", "t", vod_playlist(5));
  const std::vector<std::pair<std::string, std::function<void()>>> scripts{
      {"plays", [] {}},
      {"full", [this] { set_all_files("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"); }},
      {"errors", [this] { set_all_files("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"); }},
      {"silent", [this] { silent[0] = silent[1] = true; }},
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
        add_title("a", "t", vod_playlist(5));
        add_title("paid", "t", vod_playlist(5));
        silent[0] = silent[1] = false;
        decide = {};
        events.clear();
        prepare();
        const auto connection = connect();
        send(connection, hls ? "/" + plan + "/t/index.m3u8" : "/" + plan + "/t/r1/s1.m4s",
             "CMCD-Session: sid=\"o" + std::to_string(++n) + "\"\r\n");
        net.run(net.now() + 4s);
        const auto got = read_response(connection);
        const auto wait = got.head.find("Retry-After");
        std::string outcome =
            std::to_string(got.status) + " " + (wait == std::string::npos ? "" : got.head.substr(wait, 14));
        for (const auto& ended : events_of<TryEnded>()) {
          if (!ended.playback_over)
            outcome += " " + std::to_string(static_cast<int>(ended.outcome));
        }
        outcome += " started " + std::to_string(events_of<PlaybackStarted>().size());
        outcomes.push_back(outcome);
      }
      EXPECT_EQ(outcomes[0], outcomes[1]) << plan << " " << name;
    }
  }
}

}  // namespace
}  // namespace violettide::manager
