// Runs whole scenarios of the real manager with the stand-in boxes, list service and viewers on an in-memory
// network. With the unmodified policy all rules hold. For each rule one fault is injected, which the auditor
// must detect from the traces alone.
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

const char* settings_script = R"(
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

standins::Scenario parse_day(const std::string& script) {
  const std::map<std::string, std::string> texts{{"f.star", settings_script},
                                                 {"d.star", "load(\"f.star\")\n" + script}};
  const auto read =
      standins::read_scenario("d.star", [&](const std::string& path) -> std::optional<std::string> {
        const auto found = texts.find(path);
        return found == texts.end() ? std::nullopt : std::optional(found->second);
      });
  if (const auto* mistakes = std::get_if<settings::Diagnostics>(&read))
    throw std::runtime_error(mistakes->front().to_string());
  return std::get<standins::Scenario>(read);
}

// The policy, with a function that alters its commands.
class AlteringDecider : public Decider {
 public:
  using Alter = std::function<std::vector<Command>(Duration, const Event&, std::vector<Command>)>;
  AlteringDecider(const PolicySettings& settings, std::uint64_t seed, Alter alter)
      : policy_(make_policy_decider(settings, seed)), alter_(std::move(alter)) {}
  std::vector<Command> decide(Duration now, const Event& event) override {
    auto commands = policy_->decide(now, event);
    return alter_ ? alter_(now, event, std::move(commands)) : commands;
  }

 private:
  std::unique_ptr<Decider> policy_;
  Alter alter_;
};

// A manager with a function that alters its outgoing actions.
class TamperingCore : public Core {
 public:
  TamperingCore(Core& inner, std::function<void(std::vector<Action>&)> tamper)
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

struct DayResult {
  audit::Verdict verdict;
  std::vector<trace::Passed> records;
  std::size_t remaining_playbacks = 0;
  int violations(int rule) const {
    return static_cast<int>(std::count_if(verdict.violations.begin(), verdict.violations.end(),
                                          [&](auto& b) { return b.rule == rule; }));
  }
};

DayResult run_day(const standins::Scenario& day, AlteringDecider::Alter alter = {},
                  std::function<void(std::vector<Action>&)> tamper = {},
                  std::function<void(Network&, std::vector<int>&, const std::function<void(int)>&,
                                     std::vector<trace::Passed>&)>
                      interfere = {}) {
  Network net;
  DayResult result;
  const auto sink = [&](const trace::Passed& record) { result.records.push_back(record); };
  const int boxes = static_cast<int>(day.boxes.size());
  std::vector<std::uint16_t> ports;
  for (int i = 0; i <= boxes; ++i)
    ports.push_back(Network::port(0, i));
  standins::Fleet fleet(day, ports, Duration(0), sink);
  net.add(fleet, boxes + 1);
  std::deque<std::unique_ptr<manager::Manager>> managers;
  std::deque<TamperingCore> tampering_cores;
  std::vector<standins::ManagerEndpoint> doors;
  std::vector<int> hosts;
  const auto make_manager = [&](int i, std::string cached) -> Core& {
    auto front = day.deployment.front;
    front.name = "m" + std::to_string(i);
    front.box_list_port = Network::port(0, boxes);
    managers.push_back(std::make_unique<manager::Manager>(
        front, 7 + static_cast<std::uint64_t>(i), std::move(cached),
        std::make_unique<AlteringDecider>(front.policy, 7 + static_cast<std::uint64_t>(i), alter)));
    tampering_cores.emplace_back(*managers.back(), tamper);
    trace::Passed started;
    started.set_at_us(static_cast<std::uint64_t>(net.now().count()));
    started.set_kind(trace::Passed::STARTED);
    started.set_manager(front.name);
    sink(started);
    return tampering_cores.back();
  };
  for (int i = 0; i < day.manager_count; ++i) {
    hosts.push_back(net.add(make_manager(i, ""), 1));
    doors.push_back({"m" + std::to_string(i), Network::port(hosts.back()), 0});
  }
  net.run(500ms);
  standins::Viewers viewers(day, doors, Duration(0), 0, sink);
  const int audience = net.add(viewers, 0);
  const std::function<void(int)> restart = [&](int i) {
    net.replace(hosts[i], make_manager(i, net.file(hosts[i], "boxes.json").value_or("")));
  };
  if (interfere)
    interfere(net, hosts, restart, result.records);
  for (int second = 1; second < 200 && !net.stopped(audience); ++second)
    net.run(day.duration + second * 1s);
  EXPECT_TRUE(net.stopped(audience)) << "the viewers did not finish";
  net.run(net.now() + 20s);  // lets every idle timeout expire
  for (const auto& manager : managers) {
    if (manager == managers.back() || !interfere)
      result.remaining_playbacks += manager->resource_usage().playbacks;
  }
  result.verdict = audit::check(day, result.records);
  return result;
}

const std::string calm_script =
    "day(length = s(20), seed = 3, managers = 2)\nboxes(count = 6, list_lag = ms(500))\n"
    "viewers(per_second = 5, least_watch = s(2), most_watch = s(8), titles = 6, plan_shares = [2, 2, 2])\n";
const std::string faulty_script =
    calm_script +
    "trouble(kind = \"crash\", at = s(3), lasts = s(3), boxes = [0, 1])\n"
    "trouble(kind = \"hang\", at = s(4), lasts = s(4), boxes = [2])\n"
    "trouble(kind = \"answer_lost\", at = s(6), lasts = s(6), boxes = [3])\n"
    "trouble(kind = \"drain\", at = s(8), lasts = s(8), boxes = [4, 5], size = 4)\n";

TEST(Days, ThePolicyKeepsAllRulesWithoutFaults) {
  const auto result = run_day(parse_day(calm_script));
  EXPECT_TRUE(result.verdict.passed()) << audit::format_verdict(result.verdict);
  EXPECT_GT(result.verdict.playbacks_requested, 80u);
  double earned = 0, offered = 0;
  for (const auto& plan : result.verdict.plans)
    earned += plan.earned_revenue, offered += plan.offered_revenue;
  EXPECT_GT(earned, 0.6 * offered) << audit::format_verdict(result.verdict);
  EXPECT_EQ(result.remaining_playbacks, 0u) << "playbacks remain after the idle timeout";
}

TEST(Days, ThePolicyKeepsAllRulesUnderFaults) {
  for (const auto* seed : {"seed = 3", "seed = 4", "seed = 5", "seed = 6", "seed = 7", "seed = 8"}) {
    auto text = faulty_script +
                "trouble(kind = \"vanish\", at = s(10), lasts = s(4), boxes = [0])\n"
                "trouble(kind = \"list_late\", at = s(5), lasts = s(10), size = 2)\n"
                "trouble(kind = \"crowd\", at = s(9), lasts = s(4), size = 8)\n"
                "trouble(kind = \"ageing\", at = s(11), lasts = s(6), boxes = [1], size = 5)\n"
                "trouble(kind = \"neighbour\", at = s(2), lasts = s(15), boxes = [2, 3], size = 0.6)\n"
                "trouble(kind = \"list_down\", at = s(16), lasts = s(2))\n";
    text.replace(text.find("seed = 3"), 8, seed);
    const auto result = run_day(parse_day(text));
    EXPECT_TRUE(result.verdict.passed()) << seed << "\n" << audit::format_verdict(result.verdict);
    EXPECT_EQ(result.remaining_playbacks, 0u) << seed;
  }
}

TEST(Days, RulesHoldAcrossRestartsAndSuspensions) {
  const auto result =
      run_day(parse_day(faulty_script), {}, {},
              [](Network& net, std::vector<int>& hosts, const std::function<void(int)>& restart,
                 std::vector<trace::Passed>& records) {
                const auto add_record = [&](trace::Passed::Kind kind, int manager, double value) {
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
                    add_record(trace::Passed::KILLED, i, 0);
                    net.kill(hosts[i]);
                    net.run(net.now() + 700ms);
                    restart(i);
                  } else {
                    add_record(trace::Passed::STOOD_STILL, i, 2.2);
                    net.suspend(hosts[i], net.now() + 2s);
                  }
                }
              });
  EXPECT_TRUE(result.verdict.passed()) << audit::format_verdict(result.verdict);
}

TEST(Days, TheSameScriptAndSeedGiveTheSameRecords) {
  const auto one = run_day(parse_day(faulty_script)), two = run_day(parse_day(faulty_script));
  ASSERT_EQ(one.records.size(), two.records.size());
  for (std::size_t i = 0; i < one.records.size(); ++i)
    ASSERT_EQ(one.records[i].SerializeAsString(), two.records[i].SerializeAsString()) << i;
}

TEST(Hints, MissingOrMalformedHintsBreakNoRule) {
  auto text = faulty_script;
  text.replace(text.find("titles = 6"), 10, "titles = 6, hintless = 0.4, malformed = 0.6");
  const auto result = run_day(parse_day(text));
  EXPECT_TRUE(result.verdict.passed()) << audit::format_verdict(result.verdict);
  std::size_t answered = 0;
  for (const auto& plan : result.verdict.plans)
    answered += plan.played + plan.rejected + plan.aborted;
  EXPECT_GT(answered, 60u);
}

TEST(Hints, AFalseUtilizationAttractsNoMoreViewers) {
  // Two boxes lose most of their link to another program but report in CMSD that they are nearly idle. The
  // policy must trust the measured deliveries over the reported utilization.
  const std::string squeezed_script =
      calm_script + "trouble(kind = \"neighbour\", at = s(0), lasts = s(20), boxes = [0, 1], size = 0.9)\n";
  const auto share_of_squeezed_boxes = [](const DayResult& result) {
    double squeezed = 0, all = 0;
    for (const auto& record : result.records) {
      if (record.kind() != trace::Passed::SET_UP)
        continue;
      ++all;
      if (record.box() == "box-0" || record.box() == "box-1")
        ++squeezed;
    }
    return squeezed / all;
  };
  const auto misreporting = run_day(
      parse_day(squeezed_script +
                "trouble(kind = \"false_cmsd\", at = s(0), lasts = s(20), boxes = [0, 1], size = 0.05)\n"));
  EXPECT_TRUE(misreporting.verdict.passed()) << audit::format_verdict(misreporting.verdict);
  EXPECT_LT(share_of_squeezed_boxes(misreporting), 1.0 / 3)
      << "two of six boxes, and the ones with the least link";
}

// ---- injected faults ----

TEST(InjectedFaults, ADroppedAnswerIsRule1) {
  int seen = 0;
  const auto result = run_day(parse_day(calm_script), {}, [&](std::vector<Action>& actions) {
    std::erase_if(actions, [&](const Action& act) {
      const auto* send = std::get_if<Send>(&act);
      return send && send->connection >= first_accepted && send->bytes.starts_with("HTTP/1.1 200") &&
             ++seen % 40 == 0;
    });
  });
  EXPECT_GT(result.violations(1), 0) << audit::format_verdict(result.verdict);
}

TEST(InjectedFaults, ASecondAnswerIsRule1) {
  std::map<ConnectionId, int> heads_sent;
  const auto result = run_day(parse_day(calm_script), {}, [&](std::vector<Action>& actions) {
    std::vector<Action> sent;
    for (const auto& act : actions) {
      sent.push_back(act);
      const auto* send = std::get_if<Send>(&act);
      if (!send || send->connection < first_accepted)
        continue;
      if (send->bytes.starts_with("HTTP/1.1 200"))
        ++heads_sent[send->connection];
      else if (heads_sent[send->connection] == 1 && send->connection % 5 == 0)
        sent.push_back(act);
    }
    actions = std::move(sent);
  });
  EXPECT_GT(result.violations(1), 0) << audit::format_verdict(result.verdict);
}

TEST(InjectedFaults, ResendingAPlaybackChargedAtSetupIsRule2) {
  std::map<PlaybackId, int> plan_of;
  const auto result =
      run_day(parse_day(faulty_script), [&](Duration, const Event& event, std::vector<Command> commands) {
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
  EXPECT_GT(result.violations(2), 0) << audit::format_verdict(result.verdict);
}

TEST(InjectedFaults, OverlappingTriesAreRule2) {
  int seen = 0;
  const auto result =
      run_day(parse_day(calm_script), [&](Duration, const Event&, std::vector<Command> commands) {
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
  EXPECT_GT(result.violations(2), 0) << audit::format_verdict(result.verdict);
}

TEST(InjectedFaults, ATryToADrainingBoxIsRule3) {
  std::set<ServerId> draining;
  const auto result =
      run_day(parse_day(faulty_script), [&](Duration, const Event& event, std::vector<Command> commands) {
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
  EXPECT_GT(result.violations(3), 0) << audit::format_verdict(result.verdict);
}

TEST(InjectedFaults, OverloadingAColdBoxIsRule4) {
  std::optional<ServerId> started;
  const auto result =
      run_day(parse_day(calm_script + "trouble(kind = \"crash\", at = s(4), lasts = s(2), boxes = [0])\n"),
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
  EXPECT_GT(result.violations(4), 0) << audit::format_verdict(result.verdict);
}

TEST(InjectedFaults, ARungUnderTheFloorIsRule5) {
  int seen = 0;
  const auto result = run_day(parse_day(calm_script), {}, [&](std::vector<Action>& actions) {
    for (auto& act : actions) {
      auto* send = std::get_if<Send>(&act);
      if (!send || !send->bytes.starts_with("GET /plain/"))
        continue;
      const auto rung = send->bytes.rfind("/r", send->bytes.find(".m4s"));
      if (++seen % 30 == 0)
        send->bytes[rung + 2] = '0';
    }
  });
  EXPECT_GT(result.violations(5), 0) << audit::format_verdict(result.verdict);
}

TEST(InjectedFaults, MorePlaybacksThanSeatsIsRule5) {
  std::map<PlaybackId, Request> asked;
  const auto result =
      run_day(parse_day(calm_script + "trouble(kind = \"crowd\", at = s(2), lasts = s(10), size = 8)\n"),
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
  EXPECT_GT(result.violations(5), 0) << audit::format_verdict(result.verdict);
}

TEST(InjectedFaults, UnlimitedTriesAreRule6) {
  std::map<PlaybackId, int> tries;
  const auto result =
      run_day(parse_day(faulty_script), [&](Duration, const Event& event, std::vector<Command> commands) {
        const auto* ended = std::get_if<TryEnded>(&event);
        if (!ended || ended->playback_over || ++tries[ended->playback] > 12)
          return commands;
        std::erase_if(commands, [&](const Command& command) {
          const auto* rejected = std::get_if<Reject>(&command);
          const auto* set_up = std::get_if<violettide::SetUp>(&command);
          return (rejected && rejected->playback == ended->playback) ||
                 (set_up && set_up->playback == ended->playback);
        });
        commands.push_back(violettide::SetUp{ended->playback, 2, 100ms});  // the box that hangs
        return commands;
      });
  EXPECT_GT(result.violations(6), 0) << audit::format_verdict(result.verdict);
}

trace::Passed make_record(trace::Passed::Kind kind, int at_s, const std::string& sid,
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
int count_violations(const audit::Verdict& verdict, int rule) {
  return static_cast<int>(std::count_if(verdict.violations.begin(), verdict.violations.end(),
                                        [&](auto& b) { return b.rule == rule; }));
}

TEST(InjectedFaults, HlsInconsistenciesAreRule8AndTeamSeatsAreRule9) {
  using trace::Passed;
  auto day = parse_day(
      "day(length = s(4))\nboxes(count = 3)\nviewers(per_second = 1, least_watch = s(1), most_watch = "
      "s(2))\n");
  day.deployment.front.entitlement.enabled = true;
  day.issuer.seats_per_team = 1;
  std::vector<Passed> records{make_record(Passed::STARTED, 0, "")};
  const auto playback = [&](const std::string& sid, int from, int to, const std::string& team = "red") {
    records.push_back(make_record(Passed::ASKED, from, sid, team));
    records.push_back(make_record(Passed::ANSWERED, from, sid));
    records.push_back(make_record(Passed::OBJECT, to, sid));
  };
  playback("a", 1, 4);
  playback("b", 5, 8);
  playback("other team", 2, 6, "blue");
  EXPECT_EQ(count_violations(audit::check(day, records), 9), 0);
  auto base_records = records;
  std::swap(base_records, records);
  playback("c", 3, 6);
  EXPECT_EQ(count_violations(audit::check(day, records), 9), 2) << "overlaps a, and overlaps b";
  records = base_records;
  playback("d", 10, 11, "red bad");
  EXPECT_EQ(count_violations(audit::check(day, records), 9), 1) << "an invalid token was accepted";
  records = base_records;
  records.push_back(make_record(Passed::LEAKED, 12, "", "red ann"));
  EXPECT_EQ(count_violations(audit::check(day, records), 9), 1);
  records = base_records;
  records.push_back(make_record(Passed::UNSTEADY, 12, "a", "the media sequence went back"));
  EXPECT_EQ(count_violations(audit::check(day, records), 8), 1);
  records = base_records;
  records.push_back(make_record(Passed::SET_UP, 12, "old address", "hls"));
  EXPECT_EQ(count_violations(audit::check(day, records), 2), 0);
  records.back().set_plan("paid");
  EXPECT_EQ(count_violations(audit::check(day, records), 2), 1) << "set up for an old URL without a request";
}

TEST(Trace, ATruncatedFileIsReadUpToTheCut) {
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
