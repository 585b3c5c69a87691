// Tests seats with three managers of a hall, a token issuer and disks on the in-memory network: no seat is
// granted twice or leaked by restarts, lost messages or partitions.
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

class SingleBoxPolicy : public Decider {
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
      fronts[m] = make_manager(m, 1, {});
      net.add(*fronts[m], 3);
    }
    net.add(box, 1);
    net.add(list_service, 1);
    net.add(issuer_service, 1);
    net.add(viewer, 0);
    serve_body(list_service, boxes_json);
    serve_body(issuer_service, issuer.key_set());
    box.on_bytes = [this](ScriptedPeer& own, ConnectionId connection, std::vector<Action>& actions) {
      auto& got = own.peers[connection].got;
      for (auto end = got.find("\r\n\r\n"); end != std::string::npos; end = got.find("\r\n\r\n")) {
        const auto head = got.substr(0, end);
        got.erase(0, end + 4);
        if (head.starts_with("GET") && head.find("su") != std::string::npos)
          ++setup_count;
        if (!box_silent)
          actions.push_back(Send{connection, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"});
      }
    };
    net.run(500ms);
  }
  static void serve_body(ScriptedPeer& peer, std::string body) {
    peer.on_bytes = [body](ScriptedPeer&, ConnectionId connection, std::vector<Action>& actions) {
      actions.push_back(Send{connection, http::serialize_response_head(200, {}, body.size(), false) + body});
      actions.push_back(Close{connection, true});
    };
  }
  std::unique_ptr<Manager> make_manager(int m, std::uint32_t restart,
                                        std::vector<entitlement::Record> stored_records) {
    ManagerSettings settings;
    settings.name = "m" + std::to_string(m);
    settings.policy.rung_kb = {10};
    settings.policy.rung_revenue = {1};
    settings.policy.plans.resize(1);
    settings.policy.plans[0].startup_target = 2s;
    settings.plans = {{"a", 4s}};
    settings.halls = {"h"};
    settings.policy.cells = 1;
    settings.box_list_port = Network::port(list_host);
    settings.idle_timeout = 3s;
    settings.wall_clock_at_zero = wall_clock_at_zero;
    settings.entitlement.enabled = true;
    settings.entitlement.token_validator.issuer = "issuer";
    settings.entitlement.token_validator.skew = 1s;
    settings.entitlement.token_validator.grace = 2s;
    settings.entitlement.token_validator.min_fetch_interval = 1s;
    settings.entitlement.keys_port = Network::port(issuer_host);
    settings.entitlement.ledger.resume_window = 5s;
    settings.entitlement.restart_number = restart;
    settings.entitlement.stored_records = std::move(stored_records);
    for (int p = 0; p < managers; ++p)
      settings.peers.managers.push_back({"m" + std::to_string(p), "", Network::port(p, 2)});
    settings.peers.self = static_cast<peers::PeerIndex>(m);
    settings.peers.key = m == manager_with_wrong_key ? "another" : "hall";
    return std::make_unique<Manager>(settings, 1, "", std::make_unique<SingleBoxPolicy>());
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
    fronts[m] = make_manager(m, ++restarts, records);
    net.replace(m, *fronts[m], 3);
    net.run(net.now() + 500ms);
  }
  int owner() const {
    entitlement::LedgerSettings settings;
    for (int p = 0; p < managers; ++p)
      settings.peers.push_back("m" + std::to_string(p));
    return static_cast<int>(entitlement::owner_of(settings, "red"));
  }
  Duration wall_clock() const { return wall_clock_at_zero + net.now(); }
  std::string token(const std::string& viewer_session, Duration lifetime = 60s, int seats = 2) {
    return issuer.token({"jti" + std::to_string(++issued_tokens),
                         viewer_session,
                         "red",
                         seats,
                         wall_clock(),
                         wall_clock() + lifetime,
                         Duration(0),
                         {},
                         {}});
  }
  ConnectionId send_request(int m, const std::string& sid, const std::string& bearer_token, int object = 0) {
    const ConnectionId connection = next_connection++;
    viewer.next.push_back(Dial{connection, "", Network::port(m)});
    net.wake(viewer_host);
    net.run(net.now() + 2ms);
    viewer.next.push_back(
        Send{connection, "GET /a/t/r0/" + std::to_string(object) +
                             " HTTP/1.1\r\nHost: x\r\nCMCD-Session: sid=\"" + sid + "\"\r\n" +
                             (bearer_token.empty() ? "" : "Authorization: Bearer " + bearer_token + "\r\n") +
                             "\r\n"});
    net.wake(viewer_host);
    return connection;
  }
  int status(ConnectionId connection, Duration timeout = 300ms) {
    net.run(net.now() + timeout);
    const auto& got = viewer.peers[connection].got;
    return got.size() > 12 ? std::stoi(got.substr(9)) : 0;
  }
  int get(int m, const std::string& sid, const std::string& bearer_token, int object = 0) {
    return status(send_request(m, sid, bearer_token, object));
  }
  std::size_t granted_seats() { return fronts[owner()]->seats()->counts().granted; }

  Network net;
  ScriptedPeer box, list_service, issuer_service, viewer;
  std::unique_ptr<Manager> fronts[managers];
  standins::Issuer issuer{"issuer", "hall"};
  Duration wall_clock_at_zero = 1'000'000s;
  bool box_silent = false;
  int setup_count = 0, issued_tokens = 0, manager_with_wrong_key = -1;
  std::uint32_t restarts = 1;
  ConnectionId next_connection = 1;
  std::string boxes_json =
      R"({"revision":1,"clock_ms":100000,"boxes":[{"name":"b0","address":"127.0.0.1","port":3001,"state":"ready",)"
      R"("kind":0,"cell":0,"hall":"h","weight":1}]})";
};

TEST_F(Hall, EachPlaybackTakesOneSeatUpToTheLimit) {
  EXPECT_EQ(get(0, "s1", token("ann")), 200);
  EXPECT_EQ(get(1, "s2", token("bob")), 200);
  EXPECT_EQ(granted_seats(), 2u);
  const auto third = send_request(2, "s3", token("cy"));
  EXPECT_EQ(status(third), 503);
  EXPECT_NE(viewer.peers[third].got.find("Retry-After: "), std::string::npos);
  EXPECT_NE(viewer.peers[third].got.find("its team has no free seat"), std::string::npos);
  EXPECT_EQ(setup_count, 2);
  // Once a playback is idle and ended, its seat is free at any manager.
  net.run(net.now() + 4s);
  EXPECT_EQ(granted_seats(), 0u);
  EXPECT_EQ(get(2, "s3", token("cy")), 200);
}

TEST_F(Hall, BadTokensTakeNoSeat) {
  EXPECT_EQ(get(0, "s1", ""), 401);
  EXPECT_EQ(get(0, "s1", "a.b.c"), 401);
  EXPECT_EQ(get(0, "s1",
                issuer.forged({"j", "ann", "red", 2, wall_clock(), wall_clock() + 60s, Duration(0), {}, {}})),
            401);
  EXPECT_EQ(get(0, "s1",
                issuer.token({"j", "ann", "red", 2, wall_clock(), wall_clock() - 10s, Duration(0), {}, {}})),
            401);
  EXPECT_EQ(
      get(0, "s1",
          issuer.token({"j", "ann", "red", 2, wall_clock(), wall_clock() + 60s, Duration(0), {"b"}, {}})),
      403);
  EXPECT_EQ(get(0, "s1",
                issuer.token({"k", "ann", "red", 0, wall_clock(), wall_clock() + 60s, Duration(0), {}, {}})),
            503);
  const auto replayed = token("ann");
  EXPECT_EQ(get(0, "s1", replayed), 200);
  EXPECT_EQ(get(0, "s2", replayed), 401) << "another session with the same token";
  EXPECT_EQ(granted_seats(), 1u);
  EXPECT_EQ(setup_count, 1);
}

TEST_F(Hall, RetryAtAnotherManagerDuringATryUsesTheSameSeat) {
  box_silent = true;
  const auto bearer_token = token("ann", 60s, 1);
  const auto first = send_request(0, "s1", bearer_token);
  net.run(net.now() + 100ms);
  EXPECT_EQ(setup_count, 1);
  EXPECT_EQ(granted_seats(), 1u);
  const auto second = send_request(1, "s1", bearer_token);
  net.run(net.now() + 100ms);
  EXPECT_EQ(granted_seats(), 1u) << "counted once";
  EXPECT_EQ(status(first), 409) << "its try was cancelled";
  box_silent = false;
  EXPECT_EQ(get(2, "s2", token("bob", 60s, 1)), 503);
  EXPECT_EQ(status(second, 3s), 504) << "the box did not answer that try";
  EXPECT_EQ(get(2, "s2", token("bob", 60s, 1)), 200);
  EXPECT_EQ(granted_seats(), 1u);
}

TEST_F(Hall, SeatIsResumedAndRenewedAfterARestart) {
  for (const int m : {owner(), (owner() + 1) % managers}) {
    const auto sid = "s" + std::to_string(m);
    EXPECT_EQ(get(m, sid, token("ann" + sid, 10s, 1)), 200);
    EXPECT_EQ(granted_seats(), 1u);
    restart(m);
    EXPECT_EQ(granted_seats(), 1u) << "held for its viewer to resume";
    EXPECT_EQ(get((m + 1) % managers, "other", token("bob", 60s, 1)), 503);
    EXPECT_EQ(get(m, sid, token("ann" + sid, 30s, 1), 1), 200);
    EXPECT_EQ(granted_seats(), 1u);
    net.run(net.now() + 9s);
    EXPECT_EQ(granted_seats(), 0u);
  }
  // The seat of a viewer that doesn't come back is free after the resume window.
  EXPECT_EQ(get(0, "gone", token("gone", 60s, 1)), 200);
  restart(0);
  net.run(net.now() + 4s);
  EXPECT_EQ(granted_seats(), 1u);
  net.run(net.now() + 2s);
  EXPECT_EQ(granted_seats(), 0u);
}

TEST_F(Hall, PartitionedManagerContinuesPlaybacksAndGrantsNoSeat) {
  const int partitioned = (owner() + 1) % managers, other = (owner() + 2) % managers;
  EXPECT_EQ(get(partitioned, "s1", token("ann", 5s, 1)), 200);
  net.drops = [&](int from, int to) {
    return (from == partitioned && to < managers) || (to == partitioned && from < managers);
  };
  EXPECT_EQ(get(partitioned, "s1", "", 1), 200) << "a held seat plays on";
  const auto refused_connection = send_request(partitioned, "s2", token("bob", 5s, 1));
  EXPECT_EQ(status(refused_connection, 1500ms), 503);
  EXPECT_NE(viewer.peers[refused_connection].got.find("can't be counted now"), std::string::npos);
  EXPECT_EQ(get(other, "s3", token("cy", 60s, 1)), 503) << "the partitioned manager still holds the seat";
  // After the token's expiry and grace period the seat is free on both sides of the partition.
  for (int i = 2; i < 8; ++i) {
    net.run(net.now() + 1s);
    get(partitioned, "s1", "", i);
  }
  EXPECT_EQ(get(partitioned, "s1", "", 9), 401) << "it ended when its token expired";
  net.run(net.now() + 2s);
  EXPECT_EQ(get(other, "s3", token("cy", 60s, 1)), 200);
  net.drops = {};
  net.run(net.now() + 2s);
  EXPECT_EQ(get(partitioned, "s4", token("di", 60s, 1)), 503);
}

TEST_F(Hall, ConcurrentClaimsAtThreeManagersStayWithinTheLimit) {
  std::vector<ConnectionId> connections;
  for (int i = 0; i < 60; ++i) {
    if (i == 30) {
      issuer.rotate();
      serve_body(issuer_service, issuer.key_set());
      net.run(net.now() + 1200ms);  // key fetches have a minimum interval
    }
    connections.push_back(
        send_request(i % managers, "s" + std::to_string(i), token("v" + std::to_string(i), 60s, 5)));
  }
  std::map<int, int> counts;
  net.run(net.now() + 500ms);
  for (const auto connection : connections)
    ++counts[status(connection, Duration(0))];
  EXPECT_EQ(counts[200], 5);
  EXPECT_EQ(counts[503], 55);
  EXPECT_EQ(granted_seats(), 5u);
  net.run(net.now() + 5s);
  EXPECT_EQ(granted_seats(), 0u) << "none leaked";
  for (const auto& front : fronts) {
    EXPECT_EQ(front->seats()->counts().held + front->seats()->counts().pending, 0u);
    EXPECT_EQ(front->resource_usage().playbacks, 0u);
  }
}

TEST_F(Hall, ExpiredTokenGetsItsGracePeriodAndARenewalContinues) {
  EXPECT_EQ(get(0, "s1", token("ann", 3s)), 200);
  EXPECT_EQ(get(1, "s2", token("bob", 3s)), 200);
  for (int i = 1; i < 10; ++i) {
    net.run(net.now() + 700ms);
    EXPECT_EQ(get(1, "s2", i == 3 ? token("bob", 30s) : "", i), 200) << i;
    const auto ann = get(0, "s1", "", i);
    if (i < 4) {
      EXPECT_EQ(ann, 200) << i << ": within the expiry time and grace period";
    }
    if (i > 5) {
      EXPECT_EQ(ann, 401) << i;
    }
  }
  EXPECT_EQ(setup_count, 2) << "nothing was set up twice";
}

TEST_F(Hall, OneWayMessageLossGrantsNoSeatTwice) {
  const int partitioned = (owner() + 1) % managers, other = (owner() + 2) % managers;
  // Messages from the owner are lost: a seat granted meanwhile is released once the partition heals.
  net.drops = [&](int from, int to) { return from == owner() && to == partitioned; };
  EXPECT_EQ(status(send_request(partitioned, "s1", token("ann", 60s, 1)), 1500ms), 503);
  net.drops = {};
  net.run(net.now() + 6s);
  EXPECT_EQ(granted_seats(), 0u);
  EXPECT_EQ(get(other, "s2", token("bob", 60s, 1)), 200);
  // Messages to the owner are lost.
  net.drops = [&](int from, int to) { return from == partitioned && to == owner(); };
  EXPECT_EQ(status(send_request(partitioned, "s3", token("cy", 60s, 1)), 1500ms), 503);
  net.drops = {};
  net.run(net.now() + 8s);
  EXPECT_EQ(granted_seats(), 0u);
}

// Random restarts and partitions of managers during thousands of playbacks: the seat limit holds and no seat
// leaks.
TEST_F(Hall, ThousandsOfPlaybacksStayWithinTheLimitAndLeakNoSeat) {
  std::minstd_rand random(11);
  constexpr int seats = 12, playbacks = 3000;
  int served = 0, rejected = 0;
  std::vector<ConnectionId> connections;
  for (int i = 0; i < playbacks; ++i) {
    const int m = static_cast<int>(random() % managers);
    const auto sid = "s" + std::to_string(i);
    const auto bearer_token =
        token("v" + std::to_string(i), Duration(2'000'000 + static_cast<int>(random() % 3'000'000)), seats);
    connections.push_back(send_request(m, sid, bearer_token));
    if (random() % 10 == 0)
      connections.push_back(
          send_request((m + 1) % managers, sid, bearer_token));  // the same viewer retries at another manager
    if (random() % 20 == 0) {
      issuer.rotate();
      serve_body(issuer_service, issuer.key_set());
    }
    if (random() % 300 == 0)
      restart(static_cast<int>(random() % managers));
    if (random() % 200 == 0) {
      const int partitioned = static_cast<int>(random() % managers);
      net.drops = [partitioned](int from, int to) {
        return (from == partitioned) != (to == partitioned) && from < managers && to < managers;
      };
    } else if (random() % 30 == 0) {
      net.drops = {};
    }
    net.run(net.now() + Duration(static_cast<int>(random() % 60'000)));
    ASSERT_LE(granted_seats(), static_cast<std::size_t>(seats)) << "after " << i;
  }
  net.drops = {};
  net.run(net.now() + 15s);
  for (const auto connection : connections) {
    const int response_status = status(connection, Duration(0));
    served += response_status == 200;
    rejected += response_status == 503;
  }
  EXPECT_GT(served, 250) << "12 seats, held at least 3 s each, for about 100 s";
  EXPECT_GT(rejected, 100);
  for (const auto& front : fronts) {
    const auto counts = front->seats()->counts();
    EXPECT_EQ(counts.held + counts.pending + counts.granted, 0u) << "leaked";
    EXPECT_EQ(front->resource_usage().playbacks, 0u);
  }
  std::printf("%d served, %d rejected of %zu requests\n", served, rejected, connections.size());
}

TEST_F(Hall, FailedPersistenceGrantsNoSeat) {
  net.persist_error = "full";
  EXPECT_EQ(status(send_request(0, "s1", token("ann")), 1500ms), 503);
  EXPECT_EQ(setup_count, 0);
}

TEST_F(Hall, IssuerThatIsDownAtStartIsRetried) {
  net.kill(issuer_host);
  restart(0);
  EXPECT_EQ(status(send_request(0, "s1", token("ann")), 1500ms), 503);
  net.replace(issuer_host, issuer_service);
  net.run(net.now() + 2500ms);
  EXPECT_EQ(get(0, "s1", token("ann")), 200);
}

TEST_F(Hall, PeerWithAnotherKeyIsRefused) {
  manager_with_wrong_key = (owner() + 1) % managers;
  restart(manager_with_wrong_key);
  EXPECT_EQ(status(send_request(manager_with_wrong_key, "s1", token("ann")), 1500ms), 503)
      << "its messages are signed with another key";
  EXPECT_EQ(granted_seats(), 0u);
  EXPECT_TRUE(std::any_of(net.log_lines.begin(), net.log_lines.end(), [&](auto& s) {
    return s.first == owner() && s.second.event == "peer_refused" &&
           std::get<std::string>(s.second.fields[0].second).find("not signed with the hall's key") !=
               std::string::npos;
  })) << "logged with its cause";
  // Bytes that are not a frame close their connection and nothing else.
  for (const auto& bytes : {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(4, '\xff'),
                            std::string(4, '\0') + "x", std::string("\0\0\0\4abcd", 8)}) {
    const ConnectionId connection = next_connection++;
    viewer.next.push_back(Dial{connection, "", Network::port(owner(), 2)});
    net.wake(viewer_host);
    net.run(net.now() + 5ms);
    viewer.next.push_back(Send{connection, bytes});
    net.wake(viewer_host);
    net.run(net.now() + 50ms);
    EXPECT_TRUE(viewer.peers[connection].ended);
  }
  EXPECT_EQ(get(owner(), "s2", token("bob")), 200);
}

}  // namespace
}  // namespace violettide::manager
