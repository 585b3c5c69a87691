// Whole days of the very manager, boxes, list and viewers on the network in memory: with the module all
// rules are kept; with a break planted for each rule the auditor says so from the traces alone.
#include "audit/audit.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "manager/manager.h"
#include "net.h"
#include "standins/fleet.h"
#include "standins/viewers.h"

namespace violettide {
namespace {

using namespace std::chrono_literals;
using testing::Network;

const char* settings_text = R"(
ladder(rates = [kB_per_s(10), kB_per_s(20), kB_per_s(40)], revenue = [0.5, 0.8, 1])
plan(name = "plain", startup_target = ms(800), abandon = s(3), floor = 1)
plan(name = "seated", startup_target = ms(800), abandon = s(3), seats = 3)
plan(name = "paid", startup_target = ms(800), abandon = s(3), pay_at_setup = True)
hall("h")
kind(streams = 12)
fleet(cells = 3, racks = 3, copies = 3, link = kB_per_s(400), uplink = kB_per_s(700))
objects(length = ms(500), note_lag = ms(500))
rules(cold = s(10), cold_from = 0.4, overload_multiple = 3, fall = s(3), drain_grace = s(1),
      budget_window = s(5), budget_free = 2, budget_share = 0.2)
box_list(every = ms(300))
limits(silence = s(2))
)";

standins::Day day_of(const std::string& own) {
  const std::map<std::string, std::string> texts{{"f.star", settings_text},
                                                 {"d.star", "load(\"f.star\")\n" + own}};
  const auto read = standins::read_day("d.star", [&](const std::string& path) -> std::optional<std::string> {
    const auto found = texts.find(path);
    return found == texts.end() ? std::nullopt : std::optional(found->second);
  });
  if (const auto* mistakes = std::get_if<settings::Diagnostics>(&read))
    throw std::runtime_error(mistakes->front().to_string());
  return std::get<standins::Day>(read);
}

// The module, with a break in what it says.
class Bent : public Decider {
 public:
  using Bend = std::function<std::vector<Command>(Duration, const Event&, std::vector<Command>)>;
  Bent(const PolicySettings& terms, std::uint64_t seed, Bend bend)
      : module_(make_policy_decider(terms, seed)), bend_(std::move(bend)) {}
  std::vector<Command> decide(Duration now, const Event& event) override {
    auto commands = module_->decide(now, event);
    return bend_ ? bend_(now, event, std::move(commands)) : commands;
  }

 private:
  std::unique_ptr<Decider> module_;
  Bend bend_;
};

// A manager whose bytes are tampered with on their way out.
class Tampered : public Core {
 public:
  Tampered(Core& inner, std::function<void(std::vector<Action>&)> tamper)
      : inner_(inner), tamper_(std::move(tamper)) {}
  void handle(Duration now, const IoEvent& what, std::vector<Action>& actions) override {
    std::vector<Action> made;
    inner_.handle(now, what, made);
    if (tamper_)
      tamper_(made);
    for (auto& act : made)
      actions.push_back(std::move(act));
  }

 private:
  Core& inner_;
  std::function<void(std::vector<Action>&)> tamper_;
};

struct PlayedDay {
  audit::Verdict verdict;
  std::vector<trace::Passed> records;
  std::size_t held = 0;
  int broken(int rule) const {
    return static_cast<int>(
        std::count_if(verdict.broken.begin(), verdict.broken.end(), [&](auto& b) { return b.rule == rule; }));
  }
};

PlayedDay play(const standins::Day& day, Bent::Bend bend = {},
               std::function<void(std::vector<Action>&)> tamper = {},
               std::function<void(Network&, std::vector<int>&, const std::function<void(int)>&,
                                  std::vector<trace::Passed>&)>
                   deeds = {}) {
  Network net;
  PlayedDay played;
  const auto sink = [&](const trace::Passed& record) { played.records.push_back(record); };
  const int boxes = static_cast<int>(day.boxes.size());
  std::vector<std::uint16_t> ports;
  for (int i = 0; i <= boxes; ++i)
    ports.push_back(Network::port(0, i));
  standins::Fleet fleet(day, ports, Duration(0), sink);
  net.add(fleet, boxes + 1);
  std::deque<std::unique_ptr<manager::Manager>> managers;
  std::deque<Tampered> outer;
  std::vector<standins::Door> doors;
  std::vector<int> hosts;
  const auto make = [&](int i, std::string cached) -> Core& {
    auto front = day.deployment.front;
    front.name = "m" + std::to_string(i);
    front.box_list_port = Network::port(0, boxes);
    managers.push_back(std::make_unique<manager::Manager>(
        front, 7 + static_cast<std::uint64_t>(i), std::move(cached),
        std::make_unique<Bent>(front.policy, 7 + static_cast<std::uint64_t>(i), bend)));
    outer.emplace_back(*managers.back(), tamper);
    trace::Passed started;
    started.set_at_us(static_cast<std::uint64_t>(net.now().count()));
    started.set_kind(trace::Passed::STARTED);
    started.set_manager(front.name);
    sink(started);
    return outer.back();
  };
  for (int i = 0; i < day.managers; ++i) {
    hosts.push_back(net.add(make(i, ""), 1));
    doors.push_back({"m" + std::to_string(i), Network::port(hosts.back()), 0});
  }
  net.run(500ms);
  standins::Viewers viewers(day, doors, Duration(0), 0, sink);
  const int audience = net.add(viewers, 0);
  const std::function<void(int)> restart = [&](int i) {
    net.replace(hosts[i], make(i, net.file(hosts[i], "boxes.json").value_or("")));
  };
  if (deeds)
    deeds(net, hosts, restart, played.records);
  for (int second = 1; second < 200 && !net.stopped(audience); ++second)
    net.run(day.length + second * 1s);
  EXPECT_TRUE(net.stopped(audience)) << "the viewers did not end";
  net.run(net.now() + 20s);  // for every silence to be over
  for (const auto& manager : managers) {
    if (manager == managers.back() || !deeds)
      played.held += manager->resource_usage().playbacks;
  }
  played.verdict = audit::check(day, played.records);
  return played;
}

const std::string calm =
    "day(length = s(20), seed = 3, managers = 2)\nboxes(count = 6, list_lag = ms(500))\n"
    "viewers(per_second = 5, least_watch = s(2), most_watch = s(8), titles = 6, plan_shares = [2, 2, 2])\n";
const std::string troubled = calm +
                             "trouble(kind = \"crash\", at = s(3), lasts = s(3), boxes = [0, 1])\n"
                             "trouble(kind = \"hang\", at = s(4), lasts = s(4), boxes = [2])\n"
                             "trouble(kind = \"answer_lost\", at = s(6), lasts = s(6), boxes = [3])\n"
                             "trouble(kind = \"drain\", at = s(8), lasts = s(8), boxes = [4, 5], size = 4)\n";

TEST(Days, TheModuleKeepsAllRulesOnACalmDay) {
  const auto played = play(day_of(calm));
  EXPECT_TRUE(played.verdict.kept()) << audit::table(played.verdict);
  EXPECT_GT(played.verdict.asks, 80u);
  double earned = 0, offered = 0;
  for (const auto& plan : played.verdict.plans)
    earned += plan.earned, offered += plan.offered;
  EXPECT_GT(earned, 0.6 * offered) << audit::table(played.verdict);
  EXPECT_EQ(played.held, 0u) << "playbacks are left over";
}

TEST(Days, TheModuleKeepsAllRulesThroughTroubles) {
  for (const auto* seed : {"seed = 3", "seed = 4", "seed = 5", "seed = 6", "seed = 7", "seed = 8"}) {
    auto text = troubled +
                "trouble(kind = \"vanish\", at = s(10), lasts = s(4), boxes = [0])\n"
                "trouble(kind = \"list_late\", at = s(5), lasts = s(10), size = 2)\n"
                "trouble(kind = \"crowd\", at = s(9), lasts = s(4), size = 8)\n"
                "trouble(kind = \"ageing\", at = s(11), lasts = s(6), boxes = [1], size = 5)\n"
                "trouble(kind = \"neighbour\", at = s(2), lasts = s(15), boxes = [2, 3], size = 0.6)\n"
                "trouble(kind = \"list_down\", at = s(16), lasts = s(2))\n";
    text.replace(text.find("seed = 3"), 8, seed);
    const auto played = play(day_of(text));
    EXPECT_TRUE(played.verdict.kept()) << seed << "\n" << audit::table(played.verdict);
    EXPECT_EQ(played.held, 0u) << seed;
  }
}

TEST(Days, RulesHoldAcrossRestartsAndStandingStill) {
  const auto played = play(day_of(troubled), {}, {},
                           [](Network& net, std::vector<int>& hosts, const std::function<void(int)>& restart,
                              std::vector<trace::Passed>& records) {
                             const auto fact = [&](trace::Passed::Kind kind, int manager, double value) {
                               trace::Passed record;
                               record.set_at_us(static_cast<std::uint64_t>(net.now().count()));
                               record.set_kind(kind);
                               record.set_manager("m" + std::to_string(manager));
                               record.set_value(value);
                               records.push_back(record);
                             };
                             for (int round = 0; round < 4; ++round) {
                               net.run((4 + 4 * round) * 1s);
                               const int i = round % 2;
                               if (round < 2) {
                                 fact(trace::Passed::KILLED, i, 0);
                                 net.kill(hosts[i]);
                                 net.run(net.now() + 700ms);
                                 restart(i);
                               } else {
                                 fact(trace::Passed::STOOD_STILL, i, 2.2);
                                 net.suspend(hosts[i], net.now() + 2s);
                               }
                             }
                           });
  EXPECT_TRUE(played.verdict.kept()) << audit::table(played.verdict);
}

TEST(Days, TheSameDayPlaysTheSameWay) {
  const auto one = play(day_of(troubled)), two = play(day_of(troubled));
  ASSERT_EQ(one.records.size(), two.records.size());
  for (std::size_t i = 0; i < one.records.size(); ++i)
    ASSERT_EQ(one.records[i].SerializeAsString(), two.records[i].SerializeAsString()) << i;
}

TEST(Hints, MissingOrMalformedOnesCostNoOutcomeAndNoFloor) {
  auto text = troubled;
  text.replace(text.find("titles = 6"), 10, "titles = 6, hintless = 0.4, malformed = 0.6");
  const auto played = play(day_of(text));
  EXPECT_TRUE(played.verdict.kept()) << audit::table(played.verdict);
  std::size_t answered = 0;
  for (const auto& plan : played.verdict.plans)
    answered += plan.plays + plan.rejected + plan.aborted;
  EXPECT_GT(answered, 60u);
}

TEST(Hints, AUtilThatContradictsDeliveriesWinsNoMoreViewers) {
  // Two boxes lose most of their links to another program; they say that they are nearly idle, or say the
  // truth.
  const std::string squeezed =
      calm + "trouble(kind = \"neighbour\", at = s(0), lasts = s(20), boxes = [0, 1], size = 0.9)\n";
  const auto share_there = [](const PlayedDay& played) {
    double there = 0, all = 0;
    for (const auto& record : played.records) {
      if (record.kind() != trace::Passed::SET_UP)
        continue;
      ++all;
      if (record.box() == "box-0" || record.box() == "box-1")
        ++there;
    }
    return there / all;
  };
  const auto lying = play(day_of(
      squeezed + "trouble(kind = \"false_cmsd\", at = s(0), lasts = s(20), boxes = [0, 1], size = 0.05)\n"));
  EXPECT_TRUE(lying.verdict.kept()) << audit::table(lying.verdict);
  EXPECT_LT(share_there(lying), 1.0 / 3) << "a third of the boxes, and the worst";
}

// ---- planted breaks ----

TEST(Planted, ASwallowedAnswerIsRule1) {
  int seen = 0;
  const auto played = play(day_of(calm), {}, [&](std::vector<Action>& actions) {
    std::erase_if(actions, [&](const Action& act) {
      const auto* send = std::get_if<Send>(&act);
      return send && send->connection >= first_accepted && send->bytes.starts_with("HTTP/1.1 200") &&
             ++seen % 40 == 0;
    });
  });
  EXPECT_GT(played.broken(1), 0) << audit::table(played.verdict);
}

TEST(Planted, ASecondAnswerIsRule1) {
  std::map<ConnectionId, int> heads;
  const auto played = play(day_of(calm), {}, [&](std::vector<Action>& actions) {
    std::vector<Action> doubled;
    for (const auto& act : actions) {
      doubled.push_back(act);
      const auto* send = std::get_if<Send>(&act);
      if (!send || send->connection < first_accepted)
        continue;
      if (send->bytes.starts_with("HTTP/1.1 200"))
        ++heads[send->connection];
      else if (heads[send->connection] == 1 && send->connection % 5 == 0)
        doubled.push_back(act);
    }
    actions = std::move(doubled);
  });
  EXPECT_GT(played.broken(1), 0) << audit::table(played.verdict);
}

TEST(Planted, APaidPlaybackSentAgainIsRule2) {
  std::map<PlaybackId, int> plan_of;
  const auto played =
      play(day_of(troubled), [&](Duration, const Event& event, std::vector<Command> commands) {
        if (const auto* request = std::get_if<Request>(&event))
          plan_of[request->playback] = request->plan;
        for (auto& command : commands) {
          const auto* ended = std::get_if<TryEnded>(&event);
          const auto* aborted = std::get_if<Abort>(&command);
          if (ended && aborted && plan_of[aborted->playback] == 2)
            command = violettide::SetUp{aborted->playback, (ended->server + 1) % 6, 300ms};
        }
        return commands;
      });
  EXPECT_GT(played.broken(2), 0) << audit::table(played.verdict);
}

TEST(Planted, TwoTriesOutAtOnceIsRule2) {
  int seen = 0;
  const auto played = play(day_of(calm), [&](Duration, const Event&, std::vector<Command> commands) {
    for (std::size_t i = 0; i < commands.size(); ++i) {
      const auto* set_up = std::get_if<violettide::SetUp>(&commands[i]);
      if (set_up && ++seen % 20 == 0) {
        const violettide::SetUp again{set_up->playback, (set_up->server + 1) % 6, set_up->time_limit};
        commands.insert(commands.begin() + static_cast<long>(i) + 1, again);
        ++i;
      }
    }
    return commands;
  });
  EXPECT_GT(played.broken(2), 0) << audit::table(played.verdict);
}

TEST(Planted, ATryToADrainingBoxIsRule3) {
  std::set<ServerId> draining;
  const auto played =
      play(day_of(troubled), [&](Duration, const Event& event, std::vector<Command> commands) {
        if (const auto* list = std::get_if<ServerList>(&event)) {
          for (const auto& entry : list->entries) {
            if (entry.state == ServerState::draining)
              draining.insert(entry.server);
          }
        }
        for (auto& command : commands) {
          if (auto* set_up = std::get_if<violettide::SetUp>(&command); set_up && !draining.empty())
            set_up->server = *draining.begin();
        }
        return commands;
      });
  EXPECT_GT(played.broken(3), 0) << audit::table(played.verdict);
}

TEST(Planted, AColdBoxPushedOverIsRule4) {
  std::optional<ServerId> started;
  const auto played = play(day_of(calm + "trouble(kind = \"crash\", at = s(4), lasts = s(2), boxes = [0])\n"),
                           [&](Duration now, const Event& event, std::vector<Command> commands) {
                             if (const auto* list = std::get_if<ServerList>(&event)) {
                               for (const auto& entry : list->entries) {
                                 if (entry.started && *entry.started > 0s && now - *entry.started < 9s &&
                                     entry.state == ServerState::ready)
                                   started = entry.server;
                               }
                             }
                             for (auto& command : commands) {
                               if (auto* set_up = std::get_if<violettide::SetUp>(&command); set_up && started)
                                 set_up->server = *started;
                             }
                             return commands;
                           });
  EXPECT_GT(played.broken(4), 0) << audit::table(played.verdict);
}

TEST(Planted, ARungUnderTheFloorIsRule5) {
  int seen = 0;
  const auto played = play(day_of(calm), {}, [&](std::vector<Action>& actions) {
    for (auto& act : actions) {
      auto* send = std::get_if<Send>(&act);
      if (!send || !send->bytes.starts_with("GET /plain/"))
        continue;
      const auto rung = send->bytes.rfind("/r", send->bytes.find(".m4s"));
      if (++seen % 30 == 0)
        send->bytes[rung + 2] = '0';
    }
  });
  EXPECT_GT(played.broken(5), 0) << audit::table(played.verdict);
}

TEST(Planted, MorePlaybacksThanSeatsIsRule5) {
  std::map<PlaybackId, Request> asked;
  const auto played = play(day_of(calm + "trouble(kind = \"crowd\", at = s(2), lasts = s(10), size = 8)\n"),
                           [&](Duration, const Event& event, std::vector<Command> commands) {
                             if (const auto* request = std::get_if<Request>(&event)) {
                               asked[request->playback] = *request;
                               for (auto& command : commands) {
                                 if (std::holds_alternative<Reject>(command) && request->plan == 1)
                                   command = violettide::SetUp{request->playback, 3, 2s};
                               }
                             }
                             return commands;
                           });
  EXPECT_GT(played.broken(5), 0) << audit::table(played.verdict);
}

TEST(Planted, TriesWithoutEndIsRule6) {
  std::map<PlaybackId, int> tries;
  const auto played =
      play(day_of(troubled), [&](Duration, const Event& event, std::vector<Command> commands) {
        const auto* ended = std::get_if<TryEnded>(&event);
        if (!ended || ended->playback_over || ++tries[ended->playback] > 12)
          return commands;
        std::erase_if(commands, [&](const Command& command) {
          const auto* rejected = std::get_if<Reject>(&command);
          const auto* set_up = std::get_if<violettide::SetUp>(&command);
          return (rejected && rejected->playback == ended->playback) ||
                 (set_up && set_up->playback == ended->playback);
        });
        commands.push_back(violettide::SetUp{ended->playback, 2, 100ms});  // the box that answers nothing
        return commands;
      });
  EXPECT_GT(played.broken(6), 0) << audit::table(played.verdict);
}

trace::Passed passed(trace::Passed::Kind kind, int at_s, const std::string& sid,
                     const std::string& state = "", int status = 200) {
  trace::Passed record;
  record.set_at_us(static_cast<std::uint64_t>(at_s) * 1'000'000);
  record.set_kind(kind);
  record.set_manager("m");
  record.set_trace(sid);
  record.set_sid(sid);
  record.set_plan("plain");
  record.set_title("t");
  record.set_rung(1);
  record.set_status(status);
  record.set_state(state);
  return record;
}
int broken(const audit::Verdict& verdict, int rule) {
  return static_cast<int>(
      std::count_if(verdict.broken.begin(), verdict.broken.end(), [&](auto& b) { return b.rule == rule; }));
}

TEST(Planted, WhatAnHlsPlayerMustNotSeeIsRule8AndSeatsAreRule9) {
  using trace::Passed;
  auto day = day_of(
      "day(length = s(4))\nboxes(count = 3)\nviewers(per_second = 1, least_watch = s(1), most_watch = "
      "s(2))\n");
  day.deployment.front.entitlement.enabled = true;
  day.issuer.seats = 1;
  std::vector<Passed> records{passed(Passed::STARTED, 0, "")};
  const auto playback = [&](const std::string& sid, int from, int to, const std::string& team = "red") {
    records.push_back(passed(Passed::ASKED, from, sid, team));
    records.push_back(passed(Passed::ANSWERED, from, sid));
    records.push_back(passed(Passed::OBJECT, to, sid));
  };
  playback("a", 1, 4);
  playback("b", 5, 8);
  playback("other team", 2, 6, "blue");
  EXPECT_EQ(broken(audit::check(day, records), 9), 0);
  auto crowded = records;
  std::swap(crowded, records);
  playback("c", 3, 6);
  EXPECT_EQ(broken(audit::check(day, records), 9), 2) << "beside a, and beside b";
  records = crowded;
  playback("d", 10, 11, "red bad");
  EXPECT_EQ(broken(audit::check(day, records), 9), 1) << "a bad token was let in";
  records = crowded;
  records.push_back(passed(Passed::LEAKED, 12, "", "red ann"));
  EXPECT_EQ(broken(audit::check(day, records), 9), 1);
  records = crowded;
  records.push_back(passed(Passed::UNSTEADY, 12, "a", "the media sequence went back"));
  EXPECT_EQ(broken(audit::check(day, records), 8), 1);
  records = crowded;
  records.push_back(passed(Passed::SET_UP, 12, "old address", "hls"));
  EXPECT_EQ(broken(audit::check(day, records), 2), 0);
  records.back().set_plan("paid");
  EXPECT_EQ(broken(audit::check(day, records), 2), 1) << "set up for an address, unasked";
}

TEST(Trace, ReadsATruncatedFileUpToItsLastRecord) {
  const auto path =
      (std::filesystem::temp_directory_path() / ("violettide-trace-" + std::to_string(::getpid()))).string();
  {
    trace::Writer writer(path);
    for (int i = 0; i < 1000; ++i) {
      trace::Passed record;
      record.set_at_us(static_cast<std::uint64_t>(i));
      record.set_sid("s" + std::to_string(i * 7919));
      writer.append(record);
      if (i == 500)
        writer.flush();
    }
  }
  auto whole = trace::read(path);
  EXPECT_EQ(whole.records.size(), 1000u);
  EXPECT_FALSE(whole.truncated);
  std::filesystem::resize_file(path, std::filesystem::file_size(path) - 20);
  auto cut = trace::read(path);
  EXPECT_TRUE(cut.truncated);
  EXPECT_GE(cut.records.size(), 501u);
  EXPECT_LT(cut.records.size(), 1000u);
  std::ofstream(path) << "not a trace";
  EXPECT_THROW(trace::read(path), trace::TraceError);
  std::filesystem::remove(path);
  EXPECT_THROW(trace::read(path), trace::TraceError);
}

}  // namespace
}  // namespace violettide
