#include "path.h"

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <atomic>
#include <thread>
#include <unordered_map>

#include "hints/cmcd.h"
#include "manager/manager.h"
#include "runtime/runtime.h"

namespace violettide::bench {

namespace {

using namespace std::chrono_literals;

double thread_cpu_us() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

// Leaves when another thread says so: the loop has no way in from outside but time.
class Leaves : public Core {
 public:
  std::atomic<bool> leave{false};
  void handle(Duration now, const IoEvent& what, std::vector<Action>& actions) final {
    happened(now, what, actions);
    if (now >= look_at_) {
      look_at_ = now + 20ms;
      if (leave)
        actions.push_back(StopLoop{});
    }
    if (std::holds_alternative<TimerFired>(what) || !woken_)
      woken_ = true, actions.push_back(StartTimer{now + 20ms});
  }
  virtual void happened(Duration now, const IoEvent& what, std::vector<Action>& actions) = 0;

 private:
  Duration look_at_{0};
  bool woken_ = false;
};

// Answers every request at once with the same object, and with a list of itself.
class QuickBox : public Leaves {
 public:
  QuickBox(std::size_t bytes) : object_(bytes, 'v') {}
  std::uint16_t port = 0;
  void happened(Duration, const IoEvent& what, std::vector<Action>& actions) override {
    if (const auto* ended = std::get_if<Disconnected>(&what))
      readers_.erase(ended->connection);
    if (const auto* half = std::get_if<HalfClosed>(&what))
      actions.push_back(Close{half->connection, false}), readers_.erase(half->connection);
    const auto* received = std::get_if<Received>(&what);
    if (!received)
      return;
    auto& reader = readers_[received->connection];
    reader.push(received->bytes);
    while (auto request = reader.next()) {
      if (request->target == "/boxes") {
        const auto list = R"({"revision":1,"clock_ms":1,"boxes":[{"name":"b","address":"127.0.0.1","port":)" +
                          std::to_string(port) +
                          R"(,"state":"ready","kind":0,"cell":0,"hall":"h","weight":1}]})";
        actions.push_back(
            Send{received->connection, http::serialize_response_head(200, {}, list.size(), false) + list});
        actions.push_back(Close{received->connection, true});
        readers_.erase(received->connection);
        return;
      }
      const bool probe = request->method == "HEAD";
      actions.push_back(Send{received->connection,
                             http::serialize_response_head(
                                 200,
                                 {{"Content-Type", "video/mp4"},
                                  {"CMSD-Static", "br=2400,d=1000,ot=v"},
                                  {"CMSD-Dynamic", "\"b\";org.violettide-streams=3;org.violettide-util=0.1"}},
                                 probe ? 0 : object_.size(), true) +
                                 (probe ? "" : object_)});
    }
  }

 private:
  std::string object_;
  std::unordered_map<ConnectionId, http::RequestParser> readers_;
};

// The same relay with no decisions in it: one box, kept connections, messages parsed and written alike.
class Relay : public Leaves {
 public:
  std::uint16_t box = 0;
  void happened(Duration, const IoEvent& what, std::vector<Action>& actions) override {
    std::visit(Overloaded{
                   [&](const Accepted& a) { viewers_[a.connection]; },
                   [&](const Connected& c) {
                     auto& link = boxes_[c.connection];
                     link.connected = true;
                     actions.push_back(Send{c.connection, std::move(link.waiting)});
                   },
                   [&](const Received& r) {
                     if (r.connection >= first_accepted)
                       return request(r.connection, r.bytes, actions);
                     auto& link = boxes_[r.connection];
                     auto part = link.reader.push(r.bytes);
                     if (part.head) {
                       http::Fields fields;
                       for (auto& [name, value] : part.head->fields) {
                         if (!http::equals_ignoring_case(name, "Content-Length") &&
                             !http::equals_ignoring_case(name, "Connection"))
                           fields.emplace_back(name, value);
                       }
                       fields.emplace_back("Via", "1.1 relay");
                       actions.push_back(
                           Send{link.viewer, http::serialize_response_head(part.head->status, fields,
                                                                           part.head->content_length, true)});
                     }
                     if (!part.body.empty())
                       actions.push_back(Send{link.viewer, std::move(part.body)});
                     if (part.done)
                       idle_.push_back(r.connection);
                   },
                   [&](const HalfClosed& h) {
                     actions.push_back(Close{h.connection, false}), viewers_.erase(h.connection);
                   },
                   [&](const Disconnected& e) { viewers_.erase(e.connection); },
                   [&](const auto&) {},
               },
               what);
  }

 private:
  struct BoxLink {
    http::ResponseParser reader;
    ConnectionId viewer = 0;
    bool connected = false;
    std::string waiting;
  };
  void request(ConnectionId viewer, std::string_view bytes, std::vector<Action>& actions) {
    auto& reader = viewers_[viewer];
    reader.push(bytes);
    while (auto request = reader.next()) {
      ConnectionId to = 0;
      if (idle_.empty()) {
        to = next_++;
        actions.push_back(Dial{to, "127.0.0.1", box});
      } else {
        to = idle_.back();
        idle_.pop_back();
      }
      auto& link = boxes_[to];
      link.viewer = viewer;
      link.reader.expect(false);
      request->fields.emplace_back("Via", "1.1 relay");
      auto text = http::serialize_request_head("GET", request->target, request->fields);
      if (link.connected)
        actions.push_back(Send{to, std::move(text)});
      else
        link.waiting = std::move(text);
    }
  }
  std::unordered_map<ConnectionId, http::RequestParser> viewers_;
  std::unordered_map<ConnectionId, BoxLink> boxes_;
  std::vector<ConnectionId> idle_;
  ConnectionId next_ = 1;
};

class Fronted : public Leaves {
 public:
  explicit Fronted(manager::ManagerSettings terms) : manager_(std::move(terms), 1, "", nullptr) {}
  void happened(Duration now, const IoEvent& what, std::vector<Action>& actions) override {
    manager_.handle(now, what, actions);
  }

 private:
  manager::Manager manager_;
};

// Closed loop: each connection asks its next object when it has the last.
class Load : public Core {
 public:
  Load(std::uint16_t port, std::size_t connections, std::size_t requests)
      : port_(port), connections_(connections), left_(requests) {}
  std::vector<double> times_us;
  std::size_t failed = 0;
  void handle(Duration, const IoEvent& what, std::vector<Action>& actions) override {
    if (std::holds_alternative<TimerFired>(what) && links_.empty()) {
      for (ConnectionId link = 1; link <= connections_; ++link)
        links_[link], actions.push_back(Dial{link, "127.0.0.1", port_});
      return;
    }
    if (const auto* connected = std::get_if<Connected>(&what))
      return ask(connected->connection, actions);
    if (const auto* received = std::get_if<Received>(&what)) {
      auto& peer = links_[received->connection];
      const auto part = peer.reader.push(received->bytes);
      if (part.head && part.head->status != 200)
        ++failed;
      if (!part.done)
        return;
      times_us.push_back(
          std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - peer.sent).count());
      return ask(received->connection, actions);
    }
    if (std::holds_alternative<Disconnected>(what) || std::holds_alternative<HalfClosed>(what))
      ++failed, actions.push_back(StopLoop{});
  }

 private:
  struct Peer {
    http::ResponseParser reader;
    std::chrono::steady_clock::time_point sent;
    std::size_t objects = 0;
  };
  void ask(ConnectionId link, std::vector<Action>& actions) {
    if (left_ == 0) {
      if (--connections_ == 0)
        actions.push_back(StopLoop{});
      return;
    }
    --left_;
    auto& peer = links_[link];
    hints::Cmcd said;
    said.session_id = "session-" + std::to_string(link);
    said.buffer_length = 4000;
    said.object_duration = 1000;
    said.measured_throughput = 24000;
    http::Fields fields{{"Host", "x"}};
    for (auto& field : hints::serialize_cmcd_headers(said))
      fields.push_back(std::move(field));
    peer.reader.expect(false);
    peer.sent = std::chrono::steady_clock::now();
    actions.push_back(Send{
        link, http::serialize_request_head(
                  "GET", "/a/title-" + std::to_string(link % 50) + "/r0/" + std::to_string(peer.objects++),
                  fields)});
  }
  std::uint16_t port_;
  std::size_t connections_, left_;
  std::unordered_map<ConnectionId, Peer> links_;
};

manager::ManagerSettings terms_for(std::size_t playbacks) {
  manager::ManagerSettings terms;
  terms.policy.rung_kb = {300};
  terms.policy.rung_revenue = {1};
  terms.policy.plans.resize(1);
  terms.policy.plans[0].startup_target = 800ms;
  terms.plans = {{"a", 4s}};
  terms.halls = {"h"};
  terms.policy.streams_by_kind = {static_cast<double>(2 * playbacks + 100)};
  terms.policy.link_kb_per_weight = 300.0 * static_cast<double>(2 * playbacks + 100);
  terms.policy.has_weights = true;
  terms.policy.probes_enabled = true;
  terms.policy.max_tries = 3;
  terms.policy.measurement_delay = 1s;
  terms.default_cell_count = 1;
  terms.max_connections_per_box = 2 * playbacks + 8;  // probes come beside the tries
  terms.max_idle_connections_per_box = 2 * playbacks + 8;
  terms.max_viewer_connections = playbacks + 8;
  terms.idle_timeout = 60s;
  return terms;
}

}  // namespace

Measured run_path(Way way, std::size_t connections, std::size_t requests, std::size_t object_bytes) {
  QuickBox box(object_bytes);
  runtime::Loop box_loop(box, {{"127.0.0.1", 0}}, {}, "");
  box.port = box_loop.port(0);
  std::unique_ptr<Leaves> front;
  if (way == Way::relay) {
    auto relay = std::make_unique<Relay>();
    relay->box = box.port;
    front = std::move(relay);
  } else if (way == Way::manager) {
    auto terms = terms_for(connections);
    terms.box_list_port = box.port;
    front = std::make_unique<Fronted>(std::move(terms));
  }
  std::unique_ptr<runtime::Loop> front_loop;
  if (front)
    front_loop = std::make_unique<runtime::Loop>(
        *front, std::vector<runtime::ListenAddress>{{"127.0.0.1", 0}}, nullptr, "");
  double front_cpu = 0;
  std::thread box_thread([&] { box_loop.run(); });
  std::thread front_thread([&] {
    if (!front_loop)
      return;
    const double before = thread_cpu_us();
    front_loop->run();
    front_cpu = thread_cpu_us() - before;
  });
  if (way == Way::manager)
    std::this_thread::sleep_for(300ms);  // its list is in by then; a failed request would be counted
  Load load(front_loop ? front_loop->port(0) : box.port, connections, requests);
  runtime::Loop load_loop(load, {}, {}, "");
  const auto from = std::chrono::steady_clock::now();
  load_loop.run();
  const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count();
  box.leave = true;
  if (front)
    front->leave = true;
  box_thread.join();
  front_thread.join();
  if (load.failed > 0)
    std::fprintf(stderr, "%zu requests failed\n", load.failed);
  std::sort(load.times_us.begin(), load.times_us.end());
  Measured measured;
  const auto count = load.times_us.size();
  if (count == 0)
    return measured;
  measured.per_second = static_cast<double>(count) / took;
  measured.median_us = load.times_us[count / 2];
  measured.p99_us = load.times_us[count * 99 / 100];
  measured.front_cpu_us = front_cpu / static_cast<double>(count);
  return measured;
}

double bytes_a_playback(std::size_t playbacks) {
  auto terms = terms_for(playbacks);
  manager::Manager front(
      terms, 1,
      "{\"revision\":1,\"clock_ms\":1,\"boxes\":[{\"name\":\"b\",\"address\":\"127.0.0.1\",\"port\":1,"
      "\"state\":\"ready\",\"kind\":0,\"cell\":0,\"hall\":\"h\",\"weight\":1}]}",
      nullptr);
  std::vector<Action> actions;
  Duration now = 1ms;
  front.handle(now, TimerFired{}, actions);
  const auto before = mallinfo2();
  const auto used_before = before.uordblks + before.hblkhd;
  for (std::size_t i = 0; i < playbacks; ++i) {
    const auto viewer = first_accepted + static_cast<ConnectionId>(i);
    actions.clear();
    front.handle(now, Accepted{viewer, 0}, actions);
    front.handle(now,
                 Received{viewer, "GET /a/title-" + std::to_string(i) +
                                      "/r0/0 HTTP/1.1\r\nHost: x\r\nCMCD-Session: sid=\"session-" +
                                      std::to_string(i) + "\"\r\n\r\n"},
                 actions);
    // Probes are answered and the try is answered, as by a box that is well.
    for (int round = 0; round < 6; ++round) {
      std::vector<Action> doing;
      doing.swap(actions);
      for (const auto& act : doing) {
        if (const auto* dial = std::get_if<Dial>(&act))
          front.handle(now, Connected{dial->connection}, actions);
        const auto* send = std::get_if<Send>(&act);
        if (!send || send->connection >= first_accepted)
          continue;
        if (send->bytes.starts_with("HEAD"))
          front.handle(now, Received{send->connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
                       actions);
        else
          front.handle(now, Received{send->connection, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"},
                       actions);
      }
    }
  }
  const auto after = mallinfo2();
  const auto held = front.resource_usage();
  if (held.playbacks != playbacks)
    std::fprintf(stderr, "only %zu of %zu playbacks are held\n", held.playbacks, playbacks);
  return static_cast<double>(after.uordblks + after.hblkhd - used_before) /
         static_cast<double>(std::max<std::size_t>(1, held.playbacks));
}

SetUpTime set_up_time(std::size_t playbacks, std::size_t set_ups, std::size_t changes_each) {
  auto terms = terms_for(playbacks + set_ups);
  terms.has_catalogue = true;
  terms.policy.probes_enabled = false;
  manager::Manager front(terms, 1,
                         "{\"revision\":1,\"clock_ms\":1,\"boxes\":[{\"name\":\"b\",\"address\":\"127.0.0."
                         "1\",\"port\":1,\"state\":"
                         "\"ready\",\"kind\":0,\"cell\":0,\"hall\":\"h\",\"weight\":1}]}",
                         nullptr);
  constexpr std::size_t titles = 10'000;
  std::vector<catalogue::Recording> all;
  for (std::size_t i = 0; i < titles; ++i)
    all.push_back({"title-" + std::to_string(i),
                   {{"r", 0, "", 300, std::chrono::seconds(90)}},
                   {{"b", catalogue::LocationState::here, 0}}});
  front.catalogue().restore(1, all);
  std::vector<Action> actions;
  Duration now = 1ms;
  front.handle(now, TimerFired{}, actions);
  std::vector<double> times;
  catalogue::Revision kept = 1;
  for (std::size_t i = 0; i < playbacks + set_ups; ++i) {
    now += 100us;
    actions.clear();
    const auto viewer = first_accepted + static_cast<ConnectionId>(2 * i);
    for (std::size_t c = 0; i >= playbacks && c < changes_each; ++c) {
      const auto title = "title-" + std::to_string((i * 31 + c) % titles);
      const auto control = viewer + 1;
      const std::string body = R"({"state":"here","since_ms":)" + std::to_string(i) + "}";
      front.handle(now, Accepted{control, 1}, actions);
      front.handle(now,
                   Received{control, "PUT /catalogue/recordings/" + title +
                                         "/locations/b HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                                         std::to_string(body.size()) + "\r\n\r\n" + body},
                   actions);
      front.handle(now, Persisted{++kept, ""}, actions);
      front.handle(now, Disconnected{control, CloseReason::finished}, actions);
    }
    actions.clear();
    const auto from = std::chrono::steady_clock::now();
    front.handle(now, Accepted{viewer, 0}, actions);
    front.handle(now,
                 Received{viewer, "GET /a/title-" + std::to_string(i % titles) +
                                      "/r0/0 HTTP/1.1\r\nHost: x\r\nCMCD-Session: sid=\"s" +
                                      std::to_string(i) + "\"\r\n\r\n"},
                 actions);
    std::vector<Action> doing;
    doing.swap(actions);
    for (const auto& act : doing) {
      if (const auto* dial = std::get_if<Dial>(&act))
        front.handle(now, Connected{dial->connection}, actions);
    }
    for (const auto& act : doing) {
      const auto* dial = std::get_if<Dial>(&act);
      if (dial)
        front.handle(now, Received{dial->connection, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"},
                     actions);
      const auto* send = std::get_if<Send>(&act);
      if (send && send->connection < first_accepted)
        front.handle(now, Received{send->connection, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"},
                     actions);
    }
    if (i >= playbacks)
      times.push_back(
          std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - from).count());
  }
  if (front.resource_usage().playbacks != playbacks + set_ups)
    std::fprintf(stderr, "only %zu playbacks are held\n", front.resource_usage().playbacks);
  std::sort(times.begin(), times.end());
  return {times[times.size() / 2], times[times.size() * 99 / 100]};
}

}  // namespace violettide::bench
