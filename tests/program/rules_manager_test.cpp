// Runs several managers on the in-memory network beside the model of the placement rules. The model sees only
// what passes between hosts. Managers are stopped and killed at random times, restart together, and learn of
// drains while their tries are on the way.
#include <gtest/gtest.h>

#include <random>

#include "manager/manager.h"
#include "net.h"
#include "rules_model.h"
#include "scripted.h"

namespace violettide {
namespace {

using namespace std::chrono_literals;
using testing::Network;
using testing::RulesModel;
using StepKind = RulesModel::StepKind;

constexpr int fronts = 3, boxes = 4;
constexpr int list_host = fronts + boxes, viewer_host = list_host + 1;
constexpr Duration abandon_time = 3s;

int parse_playback(const std::string& text, const std::string& prefix) {
  const auto at = text.find(prefix);
  return at == std::string::npos ? -1 : std::atoi(text.c_str() + at + prefix.size());
}

class Hall {
 public:
  explicit Hall(std::uint32_t seed)
      : random_(seed), latency_(random_number(200, 60'000)), model_(rules(latency_)) {
    net_.latency = latency_;
    for (int b = 0; b < boxes; ++b)
      box_states_.push_back("ready");
    for (int f = 0; f < fronts; ++f) {
      restarts_.push_back(0);
      running_.push_back(true);
      managers_.push_back(make_manager(f, false));
      net_.add(*managers_.back(), 1);
      step(StepKind::front_started, f);
    }
    box_cores_.resize(boxes);
    for (int b = 0; b < boxes; ++b) {
      box_cores_[b] = std::make_unique<Box>(*this, b);
      net_.add(*box_cores_[b], 1);
    }
    list_service_.on_bytes = [this](testing::ScriptedPeer&, ConnectionId connection,
                                    std::vector<Action>& actions) {
      const auto text = box_list_json();
      actions.push_back(Send{connection, http::serialize_response_head(200, {}, text.size(), false) + text});
      actions.push_back(Close{connection, true});
    };
    net_.add(list_service_, 1);
    viewer_.on_bytes = [this](testing::ScriptedPeer& peer, ConnectionId connection, std::vector<Action>&) {
      on_response(peer, connection);
    };
    net_.add(viewer_, 0);
  }

  std::optional<RulesModel::Violation> run() {
    for (Duration at = 10ms; at < 16s && !model_.violation(); at += 10ms) {
      net_.run(at);
      read_logged_lists();
      if (at < 10s && random_number(0, 99) < 25)
        send_request();
      if (at < 10s && random_number(0, 999) < 6)
        change_box_list();
      if (at < 10s && random_number(0, 999) < 4)
        stop_or_kill(random_number(0, fronts - 1));
      if (at < 10s && random_number(0, 999) < 1) {
        for (int f = 0; f < fronts; ++f)
          stop_or_kill(f);  // all managers of the hall restart
      }
      for (int f = 0; f < fronts; ++f) {
        if (!running_[f] && at >= restart_at_[f])
          restart(f);
      }
      for (const auto& [playback, due] : std::map<int, Duration>(pending_requests_)) {
        if (at < due)
          continue;
        const int front = front_by_playback_[playback];
        if (running_[front] && !stopping_[front])
          mark_requested(playback);
        else
          pending_requests_.erase(playback);
      }
      if (at % 500ms == Duration(0))
        model_.check(net_.now());
      if (error_ = check_shutdowns(); !error_.empty())
        break;
    }
    return model_.violation();
  }
  const std::string& error() const { return error_; }
  std::size_t count(StepKind kind) const { return model_.count(kind); }

 private:
  struct Box : Core {
    Box(Hall& hall, int index) : hall(hall), index(index) {}
    Hall& hall;
    int index;
    std::map<ConnectionId, std::string> got;
    std::multimap<Duration, std::pair<ConnectionId, std::string>> due;  // empty text: reset the connection
    void handle(Duration now, const IoEvent& event, std::vector<Action>& actions) override {
      if (const auto* received = std::get_if<Received>(&event)) {
        auto& text = got[received->connection];
        text += received->bytes;
        if (text.find("\r\n\r\n") != std::string::npos) {
          respond(now, received->connection, text);
          text.clear();
        }
      }
      if (const auto* ended = std::get_if<Disconnected>(&event))
        hall.on_try_ended(index, ended->connection, false);
      while (!due.empty() && due.begin()->first <= now) {
        const auto [connection, text] = due.begin()->second;
        due.erase(due.begin());
        if (text.empty()) {
          hall.on_try_ended(index, connection, false);
          actions.push_back(Close{connection, false});
        } else {
          hall.on_try_ended(index, connection, text.starts_with("HTTP/1.1 503"),
                            text.starts_with("HTTP/1.1 200"));
          actions.push_back(Send{connection, text});
        }
      }
      if (!due.empty())
        actions.push_back(StartTimer{due.begin()->first});
    }
    void respond(Duration now, ConnectionId connection, const std::string& text) {
      const bool set_up = text.find(", su") != std::string::npos || text.find("su,") != std::string::npos ||
                          text.find("CMCD-Status: su") != std::string::npos ||
                          text.find("su\r\n") != std::string::npos;
      const int id = parse_playback(text, "sid=\"p");
      std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
      if (set_up && id >= 0) {
        hall.on_setup_received(index, connection, id);
        const int outcome = hall.random_number(0, 9);
        if (outcome == 0)
          response = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
        if (outcome == 1)
          response.clear();
        if (outcome == 2)
          return;  // no response
      }
      due.emplace(now + std::chrono::milliseconds(hall.random_number(1, 300)),
                  std::pair(connection, response));
    }
  };

  static testing::RuleSettings rules(Duration latency) {
    testing::RuleSettings rules;
    rules.plans = {{false, 0, 0}, {true, 0, 0}};
    rules.answer_slack = 150ms;
    rules.drain_grace = latency + 1ms;  // for tries that were written before the drain was announced
    rules.max_retry_after = 10s;
    return rules;
  }
  int random_number(int low, int high) { return std::uniform_int_distribution<int>(low, high)(random_); }

  std::unique_ptr<manager::Manager> make_manager(int front, bool restarted) {
    manager::ManagerSettings settings;
    settings.name = "m" + std::to_string(front);
    settings.policy.rung_kb = {10};
    settings.policy.rung_revenue = {1};
    settings.policy.plans.resize(2);
    for (auto& plan : settings.policy.plans)
      plan.startup_target = 1500ms;
    settings.policy.plans[1].pay_at_setup = true;
    settings.policy.streams_by_kind = {50};
    settings.policy.link_kb_per_weight = 1e5;
    settings.policy.cells = 2;
    settings.policy.front_count = fronts;
    settings.policy.front_index = front;
    settings.policy.max_tries = 3;
    settings.policy.max_retry_after = 1s;
    settings.plans = {{"free", abandon_time}, {"paid", abandon_time}};
    settings.halls = {"h"};
    settings.default_cell_count = 2;
    settings.box_list_port = Network::port(list_host);
    settings.idle_timeout = 1s;
    settings.shutdown_timeout = 800ms;
    const auto stored_list = restarted ? net_.file(front, "boxes.json").value_or("") : std::string();
    return std::make_unique<manager::Manager>(
        settings, static_cast<std::uint64_t>(front * 100 + restarts_[front]), stored_list, nullptr);
  }

  void step(StepKind kind, int front, int playback = 0, int server = 0, bool never_ran = false) {
    RulesModel::Step step{net_.now(), kind, front, static_cast<std::uint64_t>(playback), server};
    if (playback > 0)
      step.plan = playback % 2;
    if (kind == StepKind::requested)
      step.until = net_.now() + abandon_time;
    step.never_ran = never_ran;
    if (kind == StepKind::rejected)
      step.until = 1s;
    model_.step(step);
  }

  std::string box_list_json() const {
    std::string text = "{\"revision\":" + std::to_string(revision_) + ",\"clock_ms\":100000,\"boxes\":[";
    for (int b = 0; b < boxes; ++b)
      text += std::string(b ? "," : "") + "{\"name\":\"b" + std::to_string(b) +
              "\",\"address\":\"127.0.0.1\",\"port\":" + std::to_string(Network::port(fronts + b)) +
              ",\"state\":\"" + box_states_[b] + "\",\"kind\":0,\"cell\":" + std::to_string(b % 2) +
              ",\"hall\":\"h\",\"weight\":1}";
    return text + "]}";
  }
  void change_box_list() {
    ++revision_;
    auto& state = box_states_[static_cast<std::size_t>(random_number(0, boxes - 1))];
    state = state == "ready" ? (random_number(0, 1) ? "draining" : "gone") : "ready";
    state_history_.push_back(box_states_);
  }
  // Tells the model which box list each manager applied, by the revision in its log.
  void read_logged_lists() {
    for (; log_lines_read_ < net_.log_lines.size(); ++log_lines_read_) {
      const auto& [host, line] = net_.log_lines[log_lines_read_];
      if (line.event != "list_taken")
        continue;
      for (const auto& [name, value] : line.fields) {
        if (name != "revision" || std::get<std::int64_t>(value) < 0)
          continue;
        const auto& states = state_history_[static_cast<std::size_t>(std::get<std::int64_t>(value))];
        for (int b = 0; b < boxes; ++b)
          step(states[b] == "ready" ? StepKind::listed_ready : StepKind::listed_off, host, 0, b);
      }
    }
  }

  void send_request() {
    const int front = random_number(0, fronts - 1);
    if (!running_[front] || stopping_[front])
      return;
    const int playback = ++request_count_;
    const ConnectionId connection = next_connection_++;
    playback_by_connection_[connection] = playback;
    front_by_playback_[playback] = front;
    const std::string plan = playback % 2 ? "paid" : "free";
    viewer_.next.push_back(Dial{connection, "", Network::port(front)});
    viewer_.next.push_back(Send{connection, "GET /" + plan + "/t" + std::to_string(playback % 5) +
                                                "/r0/0 HTTP/1.1\r\nHost: x\r\nCMCD-Session: sid=\"p" +
                                                std::to_string(playback) + "\"\r\n\r\n"});
    net_.wake(viewer_host);
    pending_requests_[playback] = net_.now() + 5 * latency_ + 20ms;
  }
  void on_response(testing::ScriptedPeer& peer, ConnectionId connection) {
    const auto found = playback_by_connection_.find(connection);
    if (found == playback_by_connection_.end() ||
        peer.peers[connection].got.find("\r\n\r\n") == std::string::npos)
      return;
    const int playback = found->second, front = front_by_playback_[playback];
    const auto& got = peer.peers[connection].got;
    playback_by_connection_.erase(found);
    mark_requested(playback);
    const auto run = tries_.find(playback);
    if (got.starts_with("HTTP/1.1 200"))
      return step(StepKind::started, front, playback);
    // A response to the viewer ends the tries that the manager gave up.
    if (run != tries_.end() && run->second.in_progress) {
      step(StepKind::try_ended, front, playback, run->second.box);
      run->second.in_progress = false;
    }
    step(got.starts_with("HTTP/1.1 503") ? StepKind::rejected : StepKind::aborted, front, playback);
  }
  // A request counts from when it was sent: one that is refused on accept is answered too.
  void mark_requested(int playback) {
    if (pending_requests_.erase(playback))
      step(StepKind::requested, front_by_playback_[playback], playback);
  }

  struct TryState {
    int box = 0;
    ConnectionId connection = 0;
    bool in_progress = false;
  };
  void on_setup_received(int box, ConnectionId connection, int playback) {
    const int front = front_by_playback_[playback];
    mark_requested(playback);
    if (ended_with_front_.contains(playback))
      return;
    read_logged_lists();
    // A reused connection carries one request after another; the try that it carried before has succeeded.
    for (auto& [other, earlier] : tries_) {
      if (earlier.box == box && earlier.connection == connection)
        earlier.in_progress = false;
    }
    auto& t = tries_[playback];
    t = {box, connection, true};
    step(StepKind::setup_sent, front, playback, box);
  }
  void on_try_ended(int box, ConnectionId connection, bool never_ran, bool plays = false) {
    for (auto& [playback, t] : tries_) {
      if (!t.in_progress || t.box != box || t.connection != connection ||
          ended_with_front_.contains(playback))
        continue;
      if (plays)
        return;
      t.in_progress = false;
      return step(StepKind::try_ended, front_by_playback_[playback], playback, box, never_ran);
    }
  }

  // Shuts a manager down gracefully or kills it. It restarts later with the box list that it stored.
  void stop_or_kill(int front) {
    if (!running_[front] || stopping_[front])
      return;
    if (random_number(0, 1)) {
      net_.request_shutdown(front);
      stopping_[front] = true;
      stop_deadline_[front] = net_.now() + 900ms;
      return;
    }
    net_.kill(front);
    mark_ended(front);
  }
  void mark_ended(int front) {
    step(StepKind::front_killed, front);
    running_[front] = false;
    stopping_[front] = false;
    restart_at_[front] = net_.now() + std::chrono::milliseconds(random_number(50, 600));
    for (const auto& [playback, its_front] : front_by_playback_) {
      if (its_front == front)
        ended_with_front_.insert(playback), pending_requests_.erase(playback);
    }
    std::erase_if(playback_by_connection_,
                  [&](const auto& entry) { return front_by_playback_[entry.second] == front; });
  }
  void restart(int front) {
    ++restarts_[front];
    managers_[front] = make_manager(front, true);
    running_[front] = true;
    step(StepKind::front_started, front);
    for (int b = 0; b < boxes; ++b)
      step(StepKind::listed_ready, front, 0, b);  // as in the stored box list
    net_.replace(front, *managers_[front]);
  }

  // Checks that a graceful shutdown ends in time with every request answered. Returns the error, empty if
  // none.
  std::string check_shutdowns() {
    for (int front = 0; front < fronts; ++front) {
      if (!stopping_[front] || (!net_.stopped(front) && net_.now() < stop_deadline_[front]))
        continue;
      if (!net_.stopped(front))
        return "front " + std::to_string(front) + " did not stop in time";
      // Responses are in flight for one more latency.
      if (net_.now() < stop_deadline_[front] + 150ms)
        continue;
      for (const auto& [connection, playback] : playback_by_connection_) {
        if (front_by_playback_[playback] == front && !pending_requests_.contains(playback) &&
            tries_.contains(playback))
          return "front " + std::to_string(front) + " stopped without answering playback " +
                 std::to_string(playback);
      }
      mark_ended(front);
    }
    return "";
  }

  std::mt19937 random_;
  Duration latency_;
  RulesModel model_;
  Network net_;
  std::vector<std::unique_ptr<manager::Manager>> managers_;
  std::vector<std::unique_ptr<Box>> box_cores_;
  testing::ScriptedPeer list_service_, viewer_;
  std::vector<int> restarts_;
  std::vector<bool> running_;
  std::map<int, bool> stopping_;
  std::map<int, Duration> restart_at_, stop_deadline_;
  std::vector<std::string> box_states_;
  std::vector<std::vector<std::string>> state_history_{{}, std::vector<std::string>(boxes, "ready")};
  int revision_ = 1, request_count_ = 0;
  ConnectionId next_connection_ = 1;
  std::map<ConnectionId, int> playback_by_connection_;
  std::map<int, int> front_by_playback_;
  std::map<int, TryState> tries_;
  std::map<int, Duration>
      pending_requests_;  // sent requests, and the time by which the manager must have them
  std::set<int> ended_with_front_;
  std::string error_;
  std::size_t log_lines_read_ = 0;
};

TEST(RulesOfTheManager, HoldInEveryHall) {
  std::size_t sent = 0, taken = 0, killed = 0, off = 0;
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    Hall hall(seed);
    const auto broken = hall.run();
    ASSERT_FALSE(broken) << "seed " << seed << ": rule " << broken->rule << ": " << broken->message;
    ASSERT_TRUE(hall.error().empty()) << "seed " << seed << ": " << hall.error();
    sent += hall.count(StepKind::setup_sent);
    taken += hall.count(StepKind::requested);
    killed += hall.count(StepKind::front_killed);
    off += hall.count(StepKind::listed_off);
  }
  EXPECT_GT(taken, 60u * 100);
  EXPECT_GT(sent, taken / 3);
  EXPECT_GT(killed, 60u * 3);
  EXPECT_GT(off, 60u * 3);
}

}  // namespace
}  // namespace violettide
