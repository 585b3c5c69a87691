// Three managers of a hall, their issuer and their disks, on the in-memory network: seats counted once
// whatever restarts, is lost or is cut off.
#include <gtest/gtest.h>

#include <random>

#include "entitlement/seat_codec/seat_codec.h"
#include "manager/manager.h"
#include "net.h"
#include "standins/issuer.h"

namespace violettide::manager {
namespace {

using namespace std::chrono_literals;
using testing::Network;
using testing::ScriptedPeer;

class Places : public Decider {
 public:
  std::vector<Command> decide(Duration, const Event& event) override {
    if (const auto* request = std::get_if<Request>(&event))
      return {SetRung{request->playback, 0}, violettide::SetUp{request->playback, 0, 2s}};
    if (const auto* ended = std::get_if<TryEnded>(&event); ended && !ended->playback_over)
      return {Abort{ended->playback}};
    return {};
  }
};

class Hall : public ::testing::Test {
 protected:
  static constexpr int box_host = 3, list_host = 4, issuer_host = 5, viewer_host = 6;
  static constexpr int managers = 3;

  void SetUp() override {
    issuer.rotate();
    for (int m = 0; m < managers; ++m) {
      fronts[m] = make(m, 1, {});
      net.add(*fronts[m], 3);
    }
    net.add(box, 1);
    net.add(list, 1);
    net.add(keys, 1);
    net.add(viewer, 0);
    serves(list, boxes_json);
    serves(keys, issuer.key_set());
    box.on_bytes = [this](ScriptedPeer& own, ConnectionId link, std::vector<Action>& actions) {
      auto& got = own.peers[link].got;
      for (auto end = got.find("\r\n\r\n"); end != std::string::npos; end = got.find("\r\n\r\n")) {
        const auto head = got.substr(0, end);
        got.erase(0, end + 4);
        if (head.starts_with("GET") && head.find("su") != std::string::npos)
          ++set_ups;
        if (!mute)
          actions.push_back(Send{link, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"});
      }
    };
    net.run(500ms);
  }
  static void serves(ScriptedPeer& puppet, std::string body) {
    puppet.on_bytes = [body](ScriptedPeer&, ConnectionId link, std::vector<Action>& actions) {
      actions.push_back(Send{link, http::serialize_response_head(200, {}, body.size(), false) + body});
      actions.push_back(Close{link, true});
    };
  }
  std::unique_ptr<Manager> make(int m, std::uint32_t restart, std::vector<entitlement::Record> kept) {
    FrontTerms terms;
    terms.name = "m" + std::to_string(m);
    terms.site.rung_kb = {10};
    terms.site.rung_revenue = {1};
    terms.site.plans.resize(1);
    terms.site.plans[0].startup_target = 2s;
    terms.plans = {{"a", 4s}};
    terms.halls = {"h"};
    terms.site.cells = 1;
    terms.list_port = Network::port(list_host);
    terms.silence = 3s;
    terms.wall_at_zero = wall_at_zero;
    terms.entitlement.on = true;
    terms.entitlement.token_validator.issuer = "issuer";
    terms.entitlement.token_validator.skew = 1s;
    terms.entitlement.token_validator.grace = 2s;
    terms.entitlement.token_validator.min_fetch_interval = 1s;
    terms.entitlement.keys_port = Network::port(issuer_host);
    terms.entitlement.ledger.resume_window = 5s;
    terms.entitlement.restart = restart;
    terms.entitlement.kept = std::move(kept);
    for (int p = 0; p < managers; ++p)
      terms.peers.managers.push_back({"m" + std::to_string(p), "", Network::port(p, 2)});
    terms.peers.self = static_cast<peers::PeerIndex>(m);
    terms.peers.key = m == wrong_key ? "another" : "hall";
    return std::make_unique<Manager>(terms, 1, "", std::make_unique<Places>());
  }
  void restart(int m) {
    std::vector<entitlement::Record> records;
    for (const auto& bytes : net.persisted_by[m]) {
      for (std::size_t at = 0; at + 4 <= bytes.size();) {
        std::size_t size = 0;
        for (int i = 0; i < 4; ++i)
          size = size << 8 | static_cast<unsigned char>(bytes[at++]);
        records.push_back(*entitlement::decode_record(bytes.substr(at, size)));
        at += size;
      }
    }
    net.kill(m);
    fronts[m] = make(m, ++restarts, records);
    net.replace(m, *fronts[m], 3);
    net.run(net.now() + 500ms);
  }
  int owner() const {
    entitlement::LedgerSettings terms;
    for (int p = 0; p < managers; ++p)
      terms.peers.push_back("m" + std::to_string(p));
    return static_cast<int>(entitlement::owner_of(terms, "red"));
  }
  Duration wall() const { return wall_at_zero + net.now(); }
  std::string token(const std::string& who, Duration lasts = 60s, int seats = 2) {
    return issuer.token(
        {"jti" + std::to_string(++tokens), who, "red", seats, wall(), wall() + lasts, Duration(0), {}, {}});
  }
  ConnectionId ask(int m, const std::string& sid, const std::string& with, int object = 0) {
    const ConnectionId link = next_link++;
    viewer.next.push_back(Dial{link, "", Network::port(m)});
    net.wake(viewer_host);
    net.run(net.now() + 2ms);
    viewer.next.push_back(Send{
        link, "GET /a/t/r0/" + std::to_string(object) + " HTTP/1.1\r\nHost: x\r\nCMCD-Session: sid=\"" + sid +
                  "\"\r\n" + (with.empty() ? "" : "Authorization: Bearer " + with + "\r\n") + "\r\n"});
    net.wake(viewer_host);
    return link;
  }
  int status(ConnectionId link, Duration within = 300ms) {
    net.run(net.now() + within);
    const auto& got = viewer.peers[link].got;
    return got.size() > 12 ? std::stoi(got.substr(9)) : 0;
  }
  int get(int m, const std::string& sid, const std::string& with, int object = 0) {
    return status(ask(m, sid, with, object));
  }
  std::size_t in_book() { return fronts[owner()]->seats()->counts().granted; }

  Network net;
  ScriptedPeer box, list, keys, viewer;
  std::unique_ptr<Manager> fronts[managers];
  standins::Issuer issuer{"issuer", "hall"};
  Duration wall_at_zero = 1'000'000s;
  bool mute = false;
  int set_ups = 0, tokens = 0, wrong_key = -1;
  std::uint32_t restarts = 1;
  ConnectionId next_link = 1;
  std::string boxes_json =
      R"({"revision":1,"clock_ms":100000,"boxes":[{"name":"b0","address":"127.0.0.1","port":3001,"state":"ready",)"
      R"("kind":0,"cell":0,"hall":"h","weight":1}]})";
};

TEST_F(Hall, ASeatForEachPlaybackAndNoMore) {
  EXPECT_EQ(get(0, "s1", token("ann")), 200);
  EXPECT_EQ(get(1, "s2", token("bob")), 200);
  EXPECT_EQ(in_book(), 2u);
  const auto third = ask(2, "s3", token("cy"));
  EXPECT_EQ(status(third), 503);
  EXPECT_NE(viewer.peers[third].got.find("Retry-After: "), std::string::npos);
  EXPECT_NE(viewer.peers[third].got.find("its team has no free seat"), std::string::npos);
  EXPECT_EQ(set_ups, 2);
  // One falls silent; its seat is free at once, for any manager.
  net.run(net.now() + 4s);
  EXPECT_EQ(in_book(), 0u);
  EXPECT_EQ(get(2, "s3", token("cy")), 200);
}

TEST_F(Hall, BadTokensTakeNoSeat) {
  EXPECT_EQ(get(0, "s1", ""), 401);
  EXPECT_EQ(get(0, "s1", "a.b.c"), 401);
  EXPECT_EQ(get(0, "s1", issuer.forged({"j", "ann", "red", 2, wall(), wall() + 60s, Duration(0), {}, {}})),
            401);
  EXPECT_EQ(get(0, "s1", issuer.token({"j", "ann", "red", 2, wall(), wall() - 10s, Duration(0), {}, {}})),
            401);
  EXPECT_EQ(get(0, "s1", issuer.token({"j", "ann", "red", 2, wall(), wall() + 60s, Duration(0), {"b"}, {}})),
            403);
  EXPECT_EQ(get(0, "s1", issuer.token({"k", "ann", "red", 0, wall(), wall() + 60s, Duration(0), {}, {}})),
            503);
  const auto replayed = token("ann");
  EXPECT_EQ(get(0, "s1", replayed), 200);
  EXPECT_EQ(get(0, "s2", replayed), 401) << "another session with the same token";
  EXPECT_EQ(in_book(), 1u);
  EXPECT_EQ(set_ups, 1);
}

TEST_F(Hall, ARetryAtAnotherManagerWhileTheFirstTryIsOutIsTheSameSeat) {
  mute = true;
  const auto shown = token("ann", 60s, 1);
  const auto first = ask(0, "s1", shown);
  net.run(net.now() + 100ms);
  EXPECT_EQ(set_ups, 1);
  EXPECT_EQ(in_book(), 1u);
  const auto second = ask(1, "s1", shown);
  net.run(net.now() + 100ms);
  EXPECT_EQ(in_book(), 1u) << "counted once";
  EXPECT_EQ(status(first), 409) << "its try was taken back";
  mute = false;
  EXPECT_EQ(get(2, "s2", token("bob", 60s, 1)), 503);
  EXPECT_EQ(status(second, 3s), 504) << "the box answered nothing to that try";
  EXPECT_EQ(get(2, "s2", token("bob", 60s, 1)), 200);
  EXPECT_EQ(in_book(), 1u);
}

TEST_F(Hall, ARenewalCrossesARestartAndFindsItsSeat) {
  for (const int m : {owner(), (owner() + 1) % managers}) {
    const auto sid = "s" + std::to_string(m);
    EXPECT_EQ(get(m, sid, token("ann" + sid, 10s, 1)), 200);
    EXPECT_EQ(in_book(), 1u);
    restart(m);
    EXPECT_EQ(in_book(), 1u) << "held for its viewer";
    EXPECT_EQ(get((m + 1) % managers, "other", token("bob", 60s, 1)), 503);
    EXPECT_EQ(get(m, sid, token("ann" + sid, 30s, 1), 1), 200);
    EXPECT_EQ(in_book(), 1u);
    net.run(net.now() + 9s);
    EXPECT_EQ(in_book(), 0u);
  }
  // One whose viewer does not come back is free after the stated time.
  EXPECT_EQ(get(0, "gone", token("gone", 60s, 1)), 200);
  restart(0);
  net.run(net.now() + 4s);
  EXPECT_EQ(in_book(), 1u);
  net.run(net.now() + 2s);
  EXPECT_EQ(in_book(), 0u);
}

TEST_F(Hall, CutOffWhatPlaysGoesOnAndNothingNewIsCounted) {
  const int cut = (owner() + 1) % managers, other = (owner() + 2) % managers;
  EXPECT_EQ(get(cut, "s1", token("ann", 5s, 1)), 200);
  net.drops = [&](int from, int to) {
    return (from == cut && to < managers) || (to == cut && from < managers);
  };
  EXPECT_EQ(get(cut, "s1", "", 1), 200) << "what is held plays";
  const auto asked = ask(cut, "s2", token("bob", 5s, 1));
  EXPECT_EQ(status(asked, 1500ms), 503);
  EXPECT_NE(viewer.peers[asked].got.find("can't be counted now"), std::string::npos);
  EXPECT_EQ(get(other, "s3", token("cy", 60s, 1)), 503) << "the seat is still the one's that is cut off";
  // Past its token's time and grace it is nobody's, on both sides.
  for (int i = 2; i < 8; ++i) {
    net.run(net.now() + 1s);
    get(cut, "s1", "", i);
  }
  EXPECT_EQ(get(cut, "s1", "", 9), 401) << "it ended with its token";
  net.run(net.now() + 2s);
  EXPECT_EQ(get(other, "s3", token("cy", 60s, 1)), 200);
  net.drops = {};
  net.run(net.now() + 2s);
  EXPECT_EQ(get(cut, "s4", token("di", 60s, 1)), 503);
}

TEST_F(Hall, ACrowdAtThreeManagersGetsTheLastSeatsAndNoMore) {
  std::vector<ConnectionId> all;
  for (int i = 0; i < 60; ++i) {
    if (i == 30) {
      issuer.rotate();
      serves(keys, issuer.key_set());
      net.run(net.now() + 1200ms);  // keys are fetched again at a pace
    }
    all.push_back(ask(i % managers, "s" + std::to_string(i), token("v" + std::to_string(i), 60s, 5)));
  }
  std::map<int, int> counts;
  net.run(net.now() + 500ms);
  for (const auto link : all)
    ++counts[status(link, Duration(0))];
  EXPECT_EQ(counts[200], 5);
  EXPECT_EQ(counts[503], 55);
  EXPECT_EQ(in_book(), 5u);
  net.run(net.now() + 5s);
  EXPECT_EQ(in_book(), 0u) << "none leaked";
  for (const auto& front : fronts) {
    EXPECT_EQ(front->seats()->counts().held + front->seats()->counts().pending, 0u);
    EXPECT_EQ(front->held().playbacks, 0u);
  }
}

TEST_F(Hall, ATokenThatExpiresWhileItPlaysGetsItsGraceAndARenewalGoesUnnoticed) {
  EXPECT_EQ(get(0, "s1", token("ann", 3s)), 200);
  EXPECT_EQ(get(1, "s2", token("bob", 3s)), 200);
  for (int i = 1; i < 10; ++i) {
    net.run(net.now() + 700ms);
    EXPECT_EQ(get(1, "s2", i == 3 ? token("bob", 30s) : "", i), 200) << i;
    const auto ann = get(0, "s1", "", i);
    if (i < 4) {
      EXPECT_EQ(ann, 200) << i << ": within its time and the grace";
    }
    if (i > 5) {
      EXPECT_EQ(ann, 401) << i;
    }
  }
  EXPECT_EQ(set_ups, 2) << "nothing was set up twice";
}

TEST_F(Hall, HeardOneWayOnlyNothingIsGivenOutTwice) {
  const int cut = (owner() + 1) % managers, other = (owner() + 2) % managers;
  // The owner hears it, and it hears nothing: what was given for it is given back once it can say so.
  net.drops = [&](int from, int to) { return from == owner() && to == cut; };
  EXPECT_EQ(status(ask(cut, "s1", token("ann", 60s, 1)), 1500ms), 503);
  net.drops = {};
  net.run(net.now() + 6s);
  EXPECT_EQ(in_book(), 0u);
  EXPECT_EQ(get(other, "s2", token("bob", 60s, 1)), 200);
  // And the other way round.
  net.drops = [&](int from, int to) { return from == cut && to == owner(); };
  EXPECT_EQ(status(ask(cut, "s3", token("cy", 60s, 1)), 1500ms), 503);
  net.drops = {};
  net.run(net.now() + 8s);
  EXPECT_EQ(in_book(), 0u);
}

// Thousands of playbacks on a fast clock, managers restarted and cut off amid them.
TEST_F(Hall, ThousandsOfPlaybacksNeverTakeMoreAndLeakNone) {
  std::minstd_rand chance(11);
  constexpr int seats = 12, playbacks = 3000;
  int plays = 0, turned = 0;
  std::vector<ConnectionId> asked;
  for (int i = 0; i < playbacks; ++i) {
    const int m = static_cast<int>(chance() % managers);
    const auto sid = "s" + std::to_string(i);
    const auto shown =
        token("v" + std::to_string(i), Duration(2'000'000 + static_cast<int>(chance() % 3'000'000)), seats);
    asked.push_back(ask(m, sid, shown));
    if (chance() % 10 == 0)
      asked.push_back(ask((m + 1) % managers, sid, shown));  // the same viewer, impatient
    if (chance() % 20 == 0) {
      issuer.rotate();
      serves(keys, issuer.key_set());
    }
    if (chance() % 300 == 0)
      restart(static_cast<int>(chance() % managers));
    if (chance() % 200 == 0) {
      const int cut = static_cast<int>(chance() % managers);
      net.drops = [cut](int from, int to) {
        return (from == cut) != (to == cut) && from < managers && to < managers;
      };
    } else if (chance() % 30 == 0) {
      net.drops = {};
    }
    net.run(net.now() + Duration(static_cast<int>(chance() % 60'000)));
    ASSERT_LE(in_book(), static_cast<std::size_t>(seats)) << "after " << i;
  }
  net.drops = {};
  net.run(net.now() + 15s);
  for (const auto link : asked) {
    const int answered = status(link, Duration(0));
    plays += answered == 200;
    turned += answered == 503;
  }
  EXPECT_GT(plays, 250) << "twelve seats, held three seconds each at the least, for about a hundred seconds";
  EXPECT_GT(turned, 100);
  for (const auto& front : fronts) {
    const auto counts = front->seats()->counts();
    EXPECT_EQ(counts.held + counts.pending + counts.granted, 0u) << "leaked";
    EXPECT_EQ(front->held().playbacks, 0u);
  }
  std::printf("%d play, %d turned away, of %zu asked\n", plays, turned, asked.size());
}

TEST_F(Hall, ADiskThatRefusesGivesNoSeat) {
  net.persist_error = "full";
  EXPECT_EQ(status(ask(0, "s1", token("ann")), 1500ms), 503);
  EXPECT_EQ(set_ups, 0);
}

TEST_F(Hall, AnIssuerThatIsDownAtTheStartIsWaitedFor) {
  net.kill(issuer_host);
  restart(0);
  EXPECT_EQ(status(ask(0, "s1", token("ann")), 1500ms), 503);
  net.replace(issuer_host, keys);
  net.run(net.now() + 2500ms);
  EXPECT_EQ(get(0, "s1", token("ann")), 200);
}

TEST_F(Hall, AStrangerIsNoPeer) {
  wrong_key = (owner() + 1) % managers;
  restart(wrong_key);
  EXPECT_EQ(status(ask(wrong_key, "s1", token("ann")), 1500ms), 503)
      << "its words are signed with another key";
  EXPECT_EQ(in_book(), 0u);
  EXPECT_TRUE(std::any_of(net.log_lines.begin(), net.log_lines.end(), [&](auto& s) {
    return s.first == owner() && s.second.event == "peer_refused" &&
           std::get<std::string>(s.second.fields[0].second).find("not signed with the hall's key") !=
               std::string::npos;
  })) << "told, with its cause";
  // Bytes that are no frame end their connection and nothing else.
  for (const auto& bytes : {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(4, '\xff'),
                            std::string(4, '\0') + "x", std::string("\0\0\0\4abcd", 8)}) {
    const ConnectionId link = next_link++;
    viewer.next.push_back(Dial{link, "", Network::port(owner(), 2)});
    net.wake(viewer_host);
    net.run(net.now() + 5ms);
    viewer.next.push_back(Send{link, bytes});
    net.wake(viewer_host);
    net.run(net.now() + 50ms);
    EXPECT_TRUE(viewer.peers[link].ended);
  }
  EXPECT_EQ(get(owner(), "s2", token("bob")), 200);
}

}  // namespace
}  // namespace violettide::manager
