// The settings script: what it says, and that every mistake is told with file, line, column and cause.
#include <gtest/gtest.h>

#include "settings/deployment.h"
#include "standins/day.h"

namespace violettide::settings {
namespace {

const std::string whole_text = R"(# a deployment
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

Files files_of(std::map<std::string, std::string> texts) {
  return [texts](const std::string& path) -> std::optional<std::string> {
    const auto found = texts.find(path);
    if (found == texts.end())
      return std::nullopt;
    return found->second;
  };
}

std::string without_semicolon() {
  auto text = whole_text;
  text.erase(text.find("; "), 2);
  return text;
}

TEST(Deployment, SaysWhatTheScriptSays) {
  const auto read = read_deployment("d/f.star", files_of({{"d/f.star", without_semicolon()}}));
  if (const auto* mistakes = std::get_if<Mistakes>(&read))
    FAIL() << mistakes->front().text();
  const auto& made = std::get<Deployment>(read);
  EXPECT_EQ(made.front.policy.rung_kb, (std::vector<double>{100, 300}));
  EXPECT_EQ(made.front.plans[1].abandon_time, std::chrono::seconds(5));
  EXPECT_TRUE(made.front.policy.plans[1].pay_at_setup);
  EXPECT_EQ(made.front.policy.plans[1].seats, 3);
  EXPECT_EQ(made.front.policy.own_hall, 1);
  EXPECT_EQ(made.front.recordings[0].holders.length, std::chrono::minutes(3));
  EXPECT_EQ(made.front.policy.link_kb_per_weight, 1000);
}

TEST(Deployment, EveryMistakeHasItsPlaceAndCause) {
  const struct {
    const char* from;
    const char* to;
    const char* expected;
  } cases[] = {
      {"startup_target = ms(800)", "startup_target = 800",
       "f.star:4:18: 'startup_target': expected a time, such as ms(250), found the number 800"},
      {"startup_target = ms(800)", "startup_target = kB_per_s(8)",
       "f.star:4:18: 'startup_target': expected a time, such as ms(250), found a rate"},
      {"startup_target = ms(800), ", "",
       "f.star:4:1: 'plan' lacks 'startup_target': expected a time, such as ms(250)"},
      {"floor = 1", "flor = 1", "f.star:4:60: 'plan' takes no 'flor' (did you mean 'floor'?)"},
      {"floor = 1", "floor = 9", "f.star:4:60: the ladder's last rung is 1"},
      {"floor = 1", "floor = -1", "f.star:4:60: 'floor': -1 is out of bounds: expected 0 to 64"},
      {"floor = 1", "floor = 1, floor = 0", "f.star:4:71: 'floor' is given twice"},
      {"revenue = [0.5, 1]", "revenue = [0.5]", "f.star:3:23: the ladder has 2 rates and 1 revenues"},
      {"revenue = [0.5, 1]", "revenue = [0.5, \"x\"]",
       "f.star:3:23: 'revenue': expected a number, found the text \"x\""},
      {"rates = RATES", "rates = RATE", "f.star:3:8: no name 'RATE' (did you mean 'RATES'?)"},
      {"hall('y')", "hall('x')", "f.star:7:6: two halls named 'x'"},
      {"hall('y')", "hal('y')", "f.star:7:1: no builtin 'hal' (did you mean 'hall'?)"},
      {"hall('y')", "hall('y'", "expected ')'"},
      {"hall('y')", "hall('y)", "expected"},
      {"hall('y')", "hall('y') hall('z')", "f.star:7:11: expected the end of the line before this"},
      {"hall('y')", "hall('y', 3)", "f.star:7:11: more arguments than 'hall' takes"},
      {"fronts = 3", "fronts = 3.5", "'fronts': expected a whole number, found the number 3.5"},
      {"front(hall = \"y\"", "front(hall = \"q\"", "no hall named 'q'"},
      {"kind(streams = 40)", "", "the settings lack a 'kind' of box"},
      {"kind(streams = 40)", "kind(streams = 40)\nladder(RATES, [1, 1])", "'ladder' is said twice"},
      {"copies = 3", "copies = 9", "more copies than cells"},
      {"abandon = s(4)", "abandon = ms(4)", "viewers would leave before the startup target"},
      {"RATES = [", "RATES = [[", "expected"},
      {"# a deployment", "load(\"f.star\")", "a load that comes back to itself"},
      {"# a deployment", "load(\"g.star\")", "'d/g.star' can't be read"},
      {"# a deployment", "RATES = 1", "'RATES' has a value already"},
      {"# a deployment", "X = ms(\"a\")", "'ms' takes a number, found the text \"a\""},
      {"# a deployment", "X = ms(1, 2)", "'ms' takes one number"},
      {"# a deployment", "X = {\"a\": 1, \"a\": 2}", "the key 'a' is given twice"},
      {"# a deployment", "X = -\"a\"", "'-' before the text \"a\""},
      {"# a deployment", "X = hall(\"a\")", "'hall' gives no value"},
      {"# a deployment", "ms(3)", "gives a value that nothing takes here"},
      {"# a deployment", "X = s(1e300)", "a number too large to mean anything"},
      {"# a deployment", "hls(secrets = [\"\"])", "f.star:1:5: an empty secret signs nothing"},
      {"# a deployment", "peer(name = \"m\", port = 1)\npeer(name = \"m\", port = 2)",
       "f.star:2:6: two managers named 'm'"},
      {"# a deployment", "entitlement(grace = s(1))", "f.star:1:1: 'entitlement' lacks 'issuer'"},
      {"# a deployment", "= 3", "expected"},
      {"# a deployment", "X 3", "expected"},
  };
  for (const auto& c : cases) {
    auto text = without_semicolon();
    const auto at = text.find(c.from);
    ASSERT_NE(at, std::string::npos) << c.from;
    text.replace(at, std::string(c.from).size(), c.to);
    const auto read = read_deployment("d/f.star", files_of({{"d/f.star", text}}));
    const auto* mistakes = std::get_if<Mistakes>(&read);
    ASSERT_TRUE(mistakes) << c.to;
    std::string all;
    for (const auto& mistake : *mistakes) {
      all += mistake.text() + "\n";
      EXPECT_GT(mistake.place.line, 0) << c.to;
    }
    EXPECT_NE(all.find(c.expected), std::string::npos) << c.to << " told:\n" << all;
  }
}

TEST(Deployment, LoadsNamesAndCallsOfOtherFiles) {
  const auto text = "load(\"sub/rates.star\", \"R\")\n" +
                    without_semicolon().replace(without_semicolon().find("rates = RATES"), 13, "rates = R");
  const auto read = read_deployment(
      "d/f.star", files_of({{"d/f.star", text},
                            {"d/sub/rates.star", "R = [kB_per_s(1), kB_per_s(2)]\nload(\"../none.star\")"}}));
  ASSERT_TRUE(std::holds_alternative<Mistakes>(read));
  EXPECT_NE(std::get<Mistakes>(read)[0].text().find("d/sub/rates.star:2:6"), std::string::npos)
      << std::get<Mistakes>(read)[0].text();
}

TEST(Deployment, AnHlsAddressNamesAtMost256Plans) {
  auto text = without_semicolon();
  for (int i = 0; i < 256; ++i)
    text += "plan(\"p" + std::to_string(i) + "\", ms(800), s(4))\n";
  EXPECT_TRUE(std::holds_alternative<Deployment>(read_deployment("f.star", files_of({{"f.star", text}}))));
  const auto read = read_deployment("f.star", files_of({{"f.star", text + "hls()\n"}}));
  ASSERT_TRUE(std::holds_alternative<Mistakes>(read));
  EXPECT_EQ(std::get<Mistakes>(read)[0].text(), "f.star:1:1: more than 256 plans with 'hls'");
}

TEST(Day, TroublesNameWhomTheyBefall) {
  const std::string day =
      "load(\"f.star\")\nday(length = s(4))\nboxes(count = 4)\nviewers(per_second = 1, least_watch = s(1), "
      "most_watch = s(2))\n";
  const auto told = [&](const std::string& line) {
    const auto read = standins::read_scenario(
        "d/day.star", files_of({{"d/f.star", without_semicolon()}, {"d/day.star", day + line}}));
    return std::holds_alternative<Mistakes>(read) ? std::get<Mistakes>(read)[0].text() : "";
  };
  EXPECT_EQ(told("trouble(kind = \"crash\", at = s(1), lasts = s(1), boxes = [3])"), "");
  EXPECT_EQ(told("trouble(kind = \"crush\", at = s(1), lasts = s(1), boxes = [3])"),
            "d/day.star:5:9: no kind of trouble 'crush'");
  EXPECT_EQ(told("trouble(kind = \"crash\", at = s(1), lasts = s(1), boxes = [4])"),
            "d/day.star:5:50: there are 4 boxes, numbered from 0");
  EXPECT_EQ(told("trouble(kind = \"crash\", at = s(1), lasts = s(1))"),
            "d/day.star:5:1: 'crash' lacks whom it befalls: 'boxes'");
  EXPECT_EQ(told("issuer(teams = 2)"), "d/day.star:5:1: the settings lack 'entitlement'");
  EXPECT_EQ(told("hls()\nissuer(teams = 2)\nentitlement(issuer = \"i\")"), "");
}

}  // namespace
}  // namespace violettide::settings
