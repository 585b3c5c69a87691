// Tests that a settings script yields the deployment it describes, and that each error is reported with file,
// line, column and cause.
#include <gtest/gtest.h>

#include "settings/deployment.h"
#include "standins/day.h"

namespace violettide::settings {
namespace {

const std::string settings_text = R"(# a deployment
RATES = [kB_per_s(100), Mbit_per_s(2.4)]
ladder(rates = RATES, revenue = [0.5, 1])
plan(name = "a", startup_target = ms(800), abandon = s(4), floor = 1)
plan("b", ms(1500), s(5), seats = 3, pay_at_setup = True,)
hall("x"); 
hall('y')
kind(streams = 40)
fleet(cells = 8, racks = 2, copies = 3, link = MB_per_s(1))
objects(length = s(1))
recording(title = "one", first_cell = 2, length = minutes(3))
front(hall = "y", fronts = 3)
)";

// Reads files from memory.
FileReader file_reader_for(std::map<std::string, std::string> contents) {
  return [contents](const std::string& path) -> std::optional<std::string> {
    const auto found = contents.find(path);
    if (found == contents.end())
      return std::nullopt;
    return found->second;
  };
}

std::string without_semicolon() {
  auto text = settings_text;
  text.erase(text.find("; "), 2);
  return text;
}

TEST(Deployment, HoldsTheSettingsOfTheScript) {
  const auto read = read_deployment("d/f.star", file_reader_for({{"d/f.star", without_semicolon()}}));
  if (const auto* diagnostics = std::get_if<Diagnostics>(&read))
    FAIL() << diagnostics->front().to_string();
  const auto& deployment = std::get<Deployment>(read);
  EXPECT_EQ(deployment.front.policy.rung_kb, (std::vector<double>{100, 300}));
  EXPECT_EQ(deployment.front.plans[1].abandon_time, std::chrono::seconds(5));
  EXPECT_TRUE(deployment.front.policy.plans[1].pay_at_setup);
  EXPECT_EQ(deployment.front.policy.plans[1].seats, 3);
  EXPECT_EQ(deployment.front.policy.own_hall, 1);
  EXPECT_EQ(deployment.front.recordings[0].holders.length, std::chrono::minutes(3));
  EXPECT_EQ(deployment.front.policy.link_kb_per_weight, 1000);
}

TEST(Deployment, ReportsEachErrorWithLocationAndCause) {
  const struct {
    const char* from;
    const char* to;
    const char* expected;
  } cases[] = {
      {"startup_target = ms(800)", "startup_target = 800",
       "f.star:4:18: 'startup_target': expected a duration, such as ms(250), found the number 800"},
      {"startup_target = ms(800)", "startup_target = kB_per_s(8)",
       "f.star:4:18: 'startup_target': expected a duration, such as ms(250), found a rate"},
      {"startup_target = ms(800), ", "",
       "f.star:4:1: 'plan' is missing 'startup_target': expected a duration, such as ms(250)"},
      {"floor = 1", "flor = 1", "f.star:4:60: 'plan' has no parameter 'flor' (did you mean 'floor'?)"},
      {"floor = 1", "floor = 9", "f.star:4:60: the floor is above the ladder's last rung, 1"},
      {"floor = 1", "floor = -1", "f.star:4:60: 'floor': -1 is out of range: expected 0 to 64"},
      {"floor = 1", "floor = 1, floor = 0", "f.star:4:71: 'floor' is given twice"},
      {"revenue = [0.5, 1]", "revenue = [0.5]", "f.star:3:23: the ladder has 2 rates and 1 revenues"},
      {"revenue = [0.5, 1]", "revenue = [0.5, \"x\"]",
       "f.star:3:23: 'revenue': expected a number, found the string \"x\""},
      {"rates = RATES", "rates = RATE", "f.star:3:8: undefined name 'RATE' (did you mean 'RATES'?)"},
      {"hall('y')", "hall('x')", "f.star:7:6: two halls named 'x'"},
      {"hall('y')", "hal('y')", "f.star:7:1: unknown builtin 'hal' (did you mean 'hall'?)"},
      {"hall('y')", "hall('y'", "expected ')'"},
      {"hall('y')", "hall('y)", "expected"},
      {"hall('y')", "hall('y') hall('z')", "f.star:7:11: expected a newline before this statement"},
      {"hall('y')", "hall('y', 3)", "f.star:7:11: too many arguments for 'hall'"},
      {"fronts = 3", "fronts = 3.5", "'fronts': expected a whole number, found the number 3.5"},
      {"front(hall = \"y\"", "front(hall = \"q\"", "no hall named 'q'"},
      {"kind(streams = 40)", "", "the settings lack a 'kind' of box"},
      {"kind(streams = 40)", "kind(streams = 40)\nladder(RATES, [1, 1])", "'ladder' may be called only once"},
      {"copies = 3", "copies = 9", "more copies than cells"},
      {"abandon = s(4)", "abandon = ms(4)", "the abandon time is shorter than the startup target"},
      {"RATES = [", "RATES = [[", "expected"},
      {"# a deployment", "load(\"f.star\")", "circular load: d/f.star -> d/f.star"},
      {"# a deployment", "load(\"g.star\")", "can't read 'd/g.star'"},
      {"# a deployment", "RATES = 1", "'RATES' is already defined"},
      {"# a deployment", "X = ms(\"a\")", "'ms' takes a number, found the string \"a\""},
      {"# a deployment", "X = ms(1, 2)", "'ms' takes one number"},
      {"# a deployment", "X = {\"a\": 1, \"a\": 2}", "the key 'a' is given twice"},
      {"# a deployment", "X = -\"a\"", "'-' takes a number, found the string \"a\""},
      {"# a deployment", "X = hall(\"a\")", "'hall' returns no value"},
      {"# a deployment", "ms(3)", "the value of 'ms' is unused"},
      {"# a deployment", "X = s(1e300)", "number out of range: expected a magnitude of at most 1e12"},
      {"# a deployment", "hls(secrets = [\"\"])", "f.star:1:5: a secret must not be empty"},
      {"# a deployment", "peer(name = \"m\", port = 1)\npeer(name = \"m\", port = 2)",
       "f.star:2:6: two managers named 'm'"},
      {"# a deployment", "entitlement(grace = s(1))", "f.star:1:1: 'entitlement' is missing 'issuer'"},
      {"# a deployment", "= 3", "expected"},
      {"# a deployment", "X 3", "expected"},
  };
  for (const auto& c : cases) {
    auto text = without_semicolon();
    const auto at = text.find(c.from);
    ASSERT_NE(at, std::string::npos) << c.from;
    text.replace(at, std::string(c.from).size(), c.to);
    const auto read = read_deployment("d/f.star", file_reader_for({{"d/f.star", text}}));
    const auto* diagnostics = std::get_if<Diagnostics>(&read);
    ASSERT_TRUE(diagnostics) << c.to;
    std::string all;
    for (const auto& diagnostic : *diagnostics) {
      all += diagnostic.to_string() + "\n";
      EXPECT_GT(diagnostic.location.line, 0) << c.to;
    }
    EXPECT_NE(all.find(c.expected), std::string::npos) << c.to << " reported:\n" << all;
  }
}

TEST(Deployment, LoadsVariablesAndCallsOfOtherFiles) {
  const auto text = "load(\"sub/rates.star\", \"R\")\n" +
                    without_semicolon().replace(without_semicolon().find("rates = RATES"), 13, "rates = R");
  const auto read = read_deployment(
      "d/f.star",
      file_reader_for({{"d/f.star", text},
                       {"d/sub/rates.star", "R = [kB_per_s(1), kB_per_s(2)]\nload(\"../none.star\")"}}));
  ASSERT_TRUE(std::holds_alternative<Diagnostics>(read));
  EXPECT_NE(std::get<Diagnostics>(read)[0].to_string().find("d/sub/rates.star:2:6"), std::string::npos)
      << std::get<Diagnostics>(read)[0].to_string();
}

TEST(Deployment, LimitsPlansTo256WithHls) {
  auto text = without_semicolon();
  for (int i = 0; i < 256; ++i)
    text += "plan(\"p" + std::to_string(i) + "\", ms(800), s(4))\n";
  EXPECT_TRUE(
      std::holds_alternative<Deployment>(read_deployment("f.star", file_reader_for({{"f.star", text}}))));
  const auto read = read_deployment("f.star", file_reader_for({{"f.star", text + "hls()\n"}}));
  ASSERT_TRUE(std::holds_alternative<Diagnostics>(read));
  EXPECT_EQ(std::get<Diagnostics>(read)[0].to_string(), "f.star:1:1: more than 256 plans with 'hls'");
}

TEST(Day, ChecksTroubleKindsAndTargets) {
  const std::string day =
      "load(\"f.star\")\nday(length = s(4))\nboxes(count = 4)\nviewers(per_second = 1, least_watch = s(1), "
      "most_watch = s(2))\n";
  const auto first_error = [&](const std::string& line) {
    const auto read = standins::read_scenario(
        "d/day.star", file_reader_for({{"d/f.star", without_semicolon()}, {"d/day.star", day + line}}));
    return std::holds_alternative<Diagnostics>(read) ? std::get<Diagnostics>(read)[0].to_string() : "";
  };
  EXPECT_EQ(first_error("trouble(kind = \"crash\", at = s(1), lasts = s(1), boxes = [3])"), "");
  EXPECT_EQ(first_error("trouble(kind = \"crush\", at = s(1), lasts = s(1), boxes = [3])"),
            "d/day.star:5:9: no kind of trouble 'crush'");
  EXPECT_EQ(first_error("trouble(kind = \"crash\", at = s(1), lasts = s(1), boxes = [4])"),
            "d/day.star:5:50: there are 4 boxes, numbered from 0");
  EXPECT_EQ(first_error("trouble(kind = \"crash\", at = s(1), lasts = s(1))"),
            "d/day.star:5:1: 'crash' lacks whom it befalls: 'boxes'");
  EXPECT_EQ(first_error("issuer(teams = 2)"), "d/day.star:5:1: the settings lack 'entitlement'");
  EXPECT_EQ(first_error("hls()\nissuer(teams = 2)\nentitlement(issuer = \"i\")"), "");
}

}  // namespace
}  // namespace violettide::settings
