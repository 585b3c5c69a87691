// Several managers stepped beside the model of the rules, on the network in memory: the model is told only
// what passed between hosts. Managers are stopped and killed at drawn moments, come back together, and hear
// of drains while their tries are on the way.
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
constexpr Duration abandon = 3s;

int playback_of(const std::string& text, const std::string& before) {
  const auto at = text.find(before);
  return at == std::string::npos ? -1 : std::atoi(text.c_str() + at + before.size());
}

class Hall {
 public:
  explicit Hall(std::uint32_t seed) : chance_(seed), latency_(number(200, 60'000)), model_(rules(latency_)) {
    net_.latency = latency_;
    for (int b = 0; b < boxes; ++b)
      states_.push_back("ready");
    for (int f = 0; f < fronts; ++f) {
      lives_.push_back(0);
      running_.push_back(true);
      cores_.push_back(make(f, false));
      net_.add(*cores_.back(), 1);
      step(StepKind::front_started, f);
    }
    box_cores_.resize(boxes);
    for (int b = 0; b < boxes; ++b) {
      box_cores_[b] = std::make_unique<Box>(*this, b);
      net_.add(*box_cores_[b], 1);
    }
    list_.on_bytes = [this](testing::ScriptedPeer&, ConnectionId link, std::vector<Action>& actions) {
      const auto text = list_text();
      actions.push_back(Send{link, http::serialize_response_head(200, {}, text.size(), false) + text});
      actions.push_back(Close{link, true});
    };
    net_.add(list_, 1);
    viewer_.on_bytes = [this](testing::ScriptedPeer& puppet, ConnectionId link, std::vector<Action>&) {
      heard(puppet, link);
    };
    net_.add(viewer_, 0);
  }

  std::optional<RulesModel::Violation> run() {
    for (Duration at = 10ms; at < 16s && !model_.violation(); at += 10ms) {
      net_.run(at);
      told();
      if (at < 10s && number(0, 99) < 25)
        ask();
      if (at < 10s && number(0, 999) < 6)
        change_list();
      if (at < 10s && number(0, 999) < 4)
        end_front(number(0, fronts - 1));
      if (at < 10s && number(0, 999) < 1) {
        for (int f = 0; f < fronts; ++f)
          end_front(f);  // a hall's restart
      }
      for (int f = 0; f < fronts; ++f) {
        if (!running_[f] && at >= back_at_[f])
          begin(f);
      }
      for (const auto& [playback, due] : std::map<int, Duration>(pending_)) {
        if (at < due)
          continue;
        const int front = front_of_[playback];
        if (running_[front] && !stopping_[front])
          take(playback);
        else
          pending_.erase(playback);
      }
      if (at % 500ms == Duration(0))
        model_.check(net_.now());
      if (wrong_ = stops(); !wrong_.empty())
        break;
    }
    return model_.violation();
  }
  const std::string& wrong() const { return wrong_; }
  std::size_t count(StepKind what) const { return model_.count(what); }

 private:
  struct Box : Core {
    Box(Hall& hall, int number) : hall(hall), number(number) {}
    Hall& hall;
    int number;
    std::map<ConnectionId, std::string> got;
    std::multimap<Duration, std::pair<ConnectionId, std::string>> due;  // empty: a reset
    void handle(Duration now, const IoEvent& what, std::vector<Action>& actions) override {
      if (const auto* received = std::get_if<Received>(&what)) {
        auto& text = got[received->connection];
        text += received->bytes;
        if (text.find("\r\n\r\n") != std::string::npos) {
          answer(now, received->connection, text);
          text.clear();
        }
      }
      if (const auto* ended = std::get_if<Disconnected>(&what))
        hall.try_over(number, ended->connection, false);
      while (!due.empty() && due.begin()->first <= now) {
        const auto [link, text] = due.begin()->second;
        due.erase(due.begin());
        if (text.empty()) {
          hall.try_over(number, link, false);
          actions.push_back(Close{link, false});
        } else {
          hall.try_over(number, link, text.starts_with("HTTP/1.1 503"), text.starts_with("HTTP/1.1 200"));
          actions.push_back(Send{link, text});
        }
      }
      if (!due.empty())
        actions.push_back(StartTimer{due.begin()->first});
    }
    void answer(Duration now, ConnectionId link, const std::string& text) {
      const bool set_up = text.find(", su") != std::string::npos || text.find("su,") != std::string::npos ||
                          text.find("CMCD-Status: su") != std::string::npos ||
                          text.find("su\r\n") != std::string::npos;
      const int id = playback_of(text, "sid=\"p");
      std::string said = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
      if (set_up && id >= 0) {
        hall.try_came(number, link, id);
        const int fate = hall.number(0, 9);
        if (fate == 0)
          said = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
        if (fate == 1)
          said.clear();
        if (fate == 2)
          return;  // silence
      }
      due.emplace(now + std::chrono::milliseconds(hall.number(1, 300)), std::pair(link, said));
    }
  };

  static testing::RuleSettings rules(Duration latency) {
    testing::RuleSettings rules;
    rules.plans = {{false, 0, 0}, {true, 0, 0}};
    rules.answer_slack = 150ms;
    rules.drain_grace = latency + 1ms;  // what was written before the word is on its way
    rules.max_retry_after = 10s;
    return rules;
  }
  int number(int least, int most) { return std::uniform_int_distribution<int>(least, most)(chance_); }

  std::unique_ptr<manager::Manager> make(int front, bool again) {
    manager::FrontTerms terms;
    terms.name = "m" + std::to_string(front);
    terms.site.rung_kb = {10};
    terms.site.rung_revenue = {1};
    terms.site.plans.resize(2);
    for (auto& plan : terms.site.plans)
      plan.startup_target = 1500ms;
    terms.site.plans[1].pay_at_setup = true;
    terms.site.streams_by_kind = {50};
    terms.site.link_kb_per_weight = 1e5;
    terms.site.cells = 2;
    terms.site.front_count = fronts;
    terms.site.front_index = front;
    terms.site.max_tries = 3;
    terms.site.max_retry_after = 1s;
    terms.plans = {{"free", abandon}, {"paid", abandon}};
    terms.halls = {"h"};
    terms.copies = 2;
    terms.list_port = Network::port(list_host);
    terms.silence = 1s;
    terms.stop_limit = 800ms;
    const auto kept = again ? net_.file(front, "boxes.json").value_or("") : std::string();
    return std::make_unique<manager::Manager>(terms, static_cast<std::uint64_t>(front * 100 + lives_[front]),
                                              kept, nullptr);
  }

  void step(StepKind what, int front, int playback = 0, int server = 0, bool never_ran = false) {
    RulesModel::Step step{net_.now(), what, front, static_cast<std::uint64_t>(playback), server};
    if (playback > 0)
      step.plan = playback % 2;
    if (what == StepKind::requested)
      step.until = net_.now() + abandon;
    step.never_ran = never_ran;
    if (what == StepKind::rejected)
      step.until = 1s;
    model_.step(step);
  }

  std::string list_text() const {
    std::string text = "{\"revision\":" + std::to_string(revision_) + ",\"clock_ms\":100000,\"boxes\":[";
    for (int b = 0; b < boxes; ++b)
      text += std::string(b ? "," : "") + "{\"name\":\"b" + std::to_string(b) +
              "\",\"address\":\"127.0.0.1\",\"port\":" + std::to_string(Network::port(fronts + b)) +
              ",\"state\":\"" + states_[b] + "\",\"kind\":0,\"cell\":" + std::to_string(b % 2) +
              ",\"hall\":\"h\",\"weight\":1}";
    return text + "]}";
  }
  void change_list() {
    ++revision_;
    auto& state = states_[static_cast<std::size_t>(number(0, boxes - 1))];
    state = state == "ready" ? (number(0, 1) ? "draining" : "gone") : "ready";
    history_.push_back(states_);
  }
  // A manager says which list it has taken: by its revision the model knows what was in it.
  void told() {
    for (; seen_ < net_.log_lines.size(); ++seen_) {
      const auto& [host, say] = net_.log_lines[seen_];
      if (say.event != "list_taken")
        continue;
      for (const auto& [name, value] : say.fields) {
        if (name != "revision" || std::get<std::int64_t>(value) < 0)
          continue;
        const auto& states = history_[static_cast<std::size_t>(std::get<std::int64_t>(value))];
        for (int b = 0; b < boxes; ++b)
          step(states[b] == "ready" ? StepKind::listed_ready : StepKind::listed_off, host, 0, b);
      }
    }
  }

  void ask() {
    const int front = number(0, fronts - 1);
    if (!running_[front] || stopping_[front])
      return;
    const int playback = ++asked_;
    const ConnectionId link = next_link_++;
    link_of_[link] = playback;
    front_of_[playback] = front;
    const std::string plan = playback % 2 ? "paid" : "free";
    viewer_.next.push_back(Dial{link, "", Network::port(front)});
    viewer_.next.push_back(Send{link, "GET /" + plan + "/t" + std::to_string(playback % 5) +
                                          "/r0/0 HTTP/1.1\r\nHost: x\r\nCMCD-Session: sid=\"p" +
                                          std::to_string(playback) + "\"\r\n\r\n"});
    net_.wake(viewer_host);
    pending_[playback] = net_.now() + 5 * latency_ + 20ms;
  }
  void heard(testing::ScriptedPeer& puppet, ConnectionId link) {
    const auto found = link_of_.find(link);
    if (found == link_of_.end() || puppet.peers[link].got.find("\r\n\r\n") == std::string::npos)
      return;
    const int playback = found->second, front = front_of_[playback];
    const auto& got = puppet.peers[link].got;
    link_of_.erase(found);
    take(playback);
    const auto run = tries_.find(playback);
    if (got.starts_with("HTTP/1.1 200"))
      return step(StepKind::started, front, playback);
    // Tries that the manager gave up are over to it when it answers.
    if (run != tries_.end() && run->second.out) {
      step(StepKind::try_ended, front, playback, run->second.box);
      run->second.out = false;
    }
    step(got.starts_with("HTTP/1.1 503") ? StepKind::rejected : StepKind::aborted, front, playback);
  }
  // It is the manager's from when it was sent: what is refused at the door got its answer too.
  void take(int playback) {
    if (pending_.erase(playback))
      step(StepKind::requested, front_of_[playback], playback);
  }

  struct Try {
    int box = 0;
    ConnectionId link = 0;
    bool out = false;
  };
  void try_came(int box, ConnectionId link, int playback) {
    const int front = front_of_[playback];
    take(playback);
    if (gone_.contains(playback))
      return;
    told();
    // A kept connection carries one after another: what it carried before plays, and is its own matter.
    for (auto& [other, before] : tries_) {
      if (before.box == box && before.link == link)
        before.out = false;
    }
    auto& t = tries_[playback];
    t = {box, link, true};
    step(StepKind::setup_sent, front, playback, box);
  }
  void try_over(int box, ConnectionId link, bool never_ran, bool plays = false) {
    for (auto& [playback, t] : tries_) {
      if (!t.out || t.box != box || t.link != link || gone_.contains(playback))
        continue;
      if (plays)
        return;
      t.out = false;
      return step(StepKind::try_ended, front_of_[playback], playback, box, never_ran);
    }
  }

  // Stopped in order, or killed outright; back after a while with what was kept.
  void end_front(int front) {
    if (!running_[front] || stopping_[front])
      return;
    if (number(0, 1)) {
      net_.request_shutdown(front);
      stopping_[front] = true;
      left_by_[front] = net_.now() + 900ms;
      return;
    }
    net_.kill(front);
    lost(front);
  }
  void lost(int front) {
    step(StepKind::front_killed, front);
    running_[front] = false;
    stopping_[front] = false;
    back_at_[front] = net_.now() + std::chrono::milliseconds(number(50, 600));
    for (const auto& [playback, of] : front_of_) {
      if (of == front)
        gone_.insert(playback), pending_.erase(playback);
    }
    std::erase_if(link_of_, [&](const auto& entry) { return front_of_[entry.second] == front; });
  }
  void begin(int front) {
    ++lives_[front];
    cores_[front] = make(front, true);
    running_[front] = true;
    step(StepKind::front_started, front);
    for (int b = 0; b < boxes; ++b)
      step(StepKind::listed_ready, front, 0, b);  // as kept
    net_.replace(front, *cores_[front]);
  }

  // An orderly stop has its limit, and by then everybody has an answer.
  std::string stops() {
    for (int front = 0; front < fronts; ++front) {
      if (!stopping_[front] || (!net_.stopped(front) && net_.now() < left_by_[front]))
        continue;
      if (!net_.stopped(front))
        return "front " + std::to_string(front) + " did not stop in time";
      // Answers are on their way for one latency more.
      if (net_.now() < left_by_[front] + 150ms)
        continue;
      for (const auto& [link, playback] : link_of_) {
        if (front_of_[playback] == front && !pending_.contains(playback) && tries_.contains(playback))
          return "front " + std::to_string(front) + " stopped and left playback " + std::to_string(playback) +
                 " without an answer";
      }
      lost(front);
    }
    return "";
  }

  std::mt19937 chance_;
  Duration latency_;
  RulesModel model_;
  Network net_;
  std::vector<std::unique_ptr<manager::Manager>> cores_;
  std::vector<std::unique_ptr<Box>> box_cores_;
  testing::ScriptedPeer list_, viewer_;
  std::vector<int> lives_;
  std::vector<bool> running_;
  std::map<int, bool> stopping_;
  std::map<int, Duration> back_at_, left_by_;
  std::vector<std::string> states_;
  std::vector<std::vector<std::string>> history_{{}, std::vector<std::string>(boxes, "ready")};
  int revision_ = 1, asked_ = 0;
  ConnectionId next_link_ = 1;
  std::map<ConnectionId, int> link_of_;
  std::map<int, int> front_of_;
  std::map<int, Try> tries_;
  std::map<int, Duration> pending_;  // asked, and when its manager surely has it
  std::set<int> gone_;
  std::string wrong_;
  std::size_t seen_ = 0;
};

TEST(RulesOfTheManager, HoldInEveryHall) {
  std::size_t sent = 0, taken = 0, killed = 0, off = 0;
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    Hall hall(seed);
    const auto broken = hall.run();
    ASSERT_FALSE(broken) << "seed " << seed << ": rule " << broken->rule << ": " << broken->message;
    ASSERT_TRUE(hall.wrong().empty()) << "seed " << seed << ": " << hall.wrong();
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
