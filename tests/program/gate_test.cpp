// Tokens and their gate: every kind of bad one with its cause, keys that rotate, an issuer that is down,
// replays, floods.
#include "entitlement/gate/gate.h"

#include <gtest/gtest.h>

#include "signing/signing.h"
#include "standins/issuer.h"

namespace violettide::entitlement {
namespace {

using namespace std::chrono_literals;
using standins::Issuer;

class Gated : public ::testing::Test {
 protected:
  void SetUp() override {
    issuer.rotate();
    terms.issuer = "issuer";
    terms.audience = "hall";
    gate = std::make_unique<Gate>(terms);
    EXPECT_TRUE(gate->wants_fetch(now));
    bring();
  }
  void bring() {
    std::vector<std::string> left_out;
    gate->keys_came(now, issuer.key_set(), left_out);
    EXPECT_TRUE(left_out.empty());
  }
  Issuer::Says says(const std::string& id = "1") const {
    return {id, "ann", "red", 3, now - 10s, now + 60s, Span(0), {}, {}};
  }
  std::string fault(const std::string& token, const std::string& session = "s") {
    const auto judged = gate->judge(now, {token, "plan", "crash-42", session});
    if (std::holds_alternative<Good>(judged))
      return "good";
    if (std::holds_alternative<WaitsForKeys>(judged))
      return "waits";
    return std::string(words_of(std::get<Bad>(judged).fault));
  }
  Span now = 1'000'000s;
  Issuer issuer{"issuer", "hall"};
  GateTerms terms;
  std::unique_ptr<Gate> gate;
};

TEST_F(Gated, AGoodTokenSaysWhoseSeatAndUntilWhen) {
  for (const auto algorithm : {Algorithm::es256, Algorithm::es384, Algorithm::rs256}) {
    issuer.rotate(algorithm);
    bring();
    const auto judged = gate->judge(
        now, {issuer.token(says("a" + std::to_string(static_cast<int>(algorithm)))), "plan", "t", "s"});
    ASSERT_TRUE(std::holds_alternative<Good>(judged));
    const auto& good = std::get<Good>(judged);
    EXPECT_EQ(good.team, "red");
    EXPECT_EQ(good.who, "ann/s");
    EXPECT_EQ(good.seats, 3);
    EXPECT_EQ(good.until, now + 60s + terms.grace);
  }
}

TEST_F(Gated, EveryBadTokenIsRefusedWithItsCause) {
  const auto good = issuer.token(says());
  const auto parts = [&](const std::string& header, const std::string& claims, const std::string& signature) {
    return signing::base64url_encode(header) + "." + signing::base64url_encode(claims) + "." + signature;
  };
  const auto signature = good.substr(good.rfind('.') + 1);
  EXPECT_EQ(fault(""), "malformed");
  EXPECT_EQ(fault("a.b"), "malformed");
  EXPECT_EQ(fault("..."), "malformed");
  EXPECT_EQ(fault(std::string(9000, 'a')), "malformed");
  EXPECT_EQ(fault(parts("{}", "{}", "")), "malformed");
  EXPECT_EQ(fault(parts("{\"alg\":\"none\"}", issuer.claims(says()), "")),
            "its algorithm is none that is taken");
  EXPECT_EQ(fault(parts("{\"alg\":\"HS256\",\"kid\":\"" + issuer.key_id() + "\"}", issuer.claims(says()),
                        signature)),
            "its algorithm is none that is taken");
  EXPECT_EQ(fault(parts("{\"alg\":\"RS256\",\"kid\":\"" + issuer.key_id() + "\"}", issuer.claims(says()),
                        signature)),
            "its algorithm is not its key's");
  EXPECT_EQ(fault(parts("{\"alg\":\"ES256\",\"kid\":\"x\",\"crit\":[\"b64\"]}", "{}", signature)),
            "malformed");
  EXPECT_EQ(fault(parts("{\"alg\":\"ES256\"}", issuer.claims(says()), signature)), "its key is not known");
  EXPECT_EQ(fault(issuer.forged(says())), "its signature does not fit");
  auto other = says();
  other.seats = 100;
  EXPECT_EQ(fault(good.substr(0, good.find('.')) + "." + signing::base64url_encode(issuer.claims(other)) +
                  "." + signature),
            "its signature does not fit");
  for (std::size_t i = good.find('.') + 2; i < good.size(); i += 7) {
    auto changed = good;
    changed[i] = changed[i] == 'A' ? 'B' : 'A';
    EXPECT_NE(fault(changed), "good") << i;
  }
  auto late = says();
  late.expires = now - 6s;
  EXPECT_EQ(fault(issuer.token(late)), "expired");
  late.expires = now - 4s;
  late.id = "skewed";
  EXPECT_EQ(fault(issuer.token(late)), "good") << "clocks may differ";
  auto early = says("early");
  early.not_before = now + 6s;
  EXPECT_EQ(fault(issuer.token(early)), "not valid yet");
  auto planned = says("planned");
  planned.plans = {"other"};
  EXPECT_EQ(fault(issuer.token(planned)), "not for this plan");
  auto scoped = says("scoped");
  scoped.titles = {"crash-1*", "x"};
  EXPECT_EQ(fault(issuer.token(scoped)), "not for this recording");
  scoped.titles = {"crash-*"};
  EXPECT_EQ(fault(issuer.token(scoped)), "good");
  auto nobody = says();
  nobody.subject = "";
  EXPECT_EQ(fault(issuer.token(nobody)), "malformed");
  Issuer stranger("stranger", "hall"), elsewhere("issuer", "another hall");
  stranger.rotate();
  EXPECT_EQ(fault(stranger.token(says())), "its key is not known");
  std::vector<std::string> left_out;
  gate->keys_came(now, stranger.key_set(), left_out);
  EXPECT_EQ(fault(stranger.token(says())), "of another issuer");
  elsewhere.rotate();
  gate->keys_came(now, elsewhere.key_set(), left_out);
  EXPECT_EQ(fault(elsewhere.token(says())), "for another audience");
}

TEST_F(Gated, KeysRotateAndOverlapAndUnknownOnesAreFetchedAtAPace) {
  auto earlier = says("before");
  earlier.issued -= 1s;
  const auto before = issuer.token(earlier);
  issuer.rotate();
  issuer.rotate();  // the first key is out of the set
  const auto after = issuer.token(says("after"));
  EXPECT_EQ(fault(after), "its key is not known") << "keys were fetched just now";
  now += terms.fetch_least;
  EXPECT_EQ(fault(after), "waits");
  EXPECT_TRUE(gate->wants_fetch(now));
  EXPECT_FALSE(gate->wants_fetch(now)) << "one fetch is out";
  EXPECT_EQ(fault(after), "waits");
  bring();
  EXPECT_EQ(fault(after), "good");
  EXPECT_EQ(fault(before, "s"), "used before") << "a newer token of the same seat was shown";
  EXPECT_EQ(fault(issuer.token(says("3"))), "good");
  std::size_t fetches = 0;
  for (int i = 0; i < 10'000; ++i) {
    now += 10ms;
    fault("eyJhbGciOiJFUzI1NiIsImtpZCI6Im5vbmUifQ.e30.AAAA");
    if (gate->wants_fetch(now))
      ++fetches, bring();
  }
  EXPECT_LE(fetches, 11u) << "in 100 s, whatever is shown";
  EXPECT_GE(fetches, 9u);
}

TEST_F(Gated, ARetiredKeyIsGoodForAGraceAndAnIssuerMayBeDownForALongTime) {
  const auto old = issuer.token(says("old"));
  Issuer replaced("issuer", "hall");
  replaced.rotate();
  replaced.rotate();
  std::vector<std::string> left_out;
  now += 10s;
  gate->keys_came(now, replaced.key_set(), left_out);
  // `issuer-1` is in both sets by name, with another key: the new one counts.
  EXPECT_EQ(fault(old), "its signature does not fit");
  Issuer third("third", "hall");
  third.rotate();
  auto token = says("ending");
  const auto signed_before = replaced.token(token);
  gate->keys_came(now, third.key_set(), left_out);
  EXPECT_EQ(fault(signed_before), "good") << "signed just before the rotation";
  now += terms.grace;
  EXPECT_EQ(fault(replaced.token(says("late"))), "its key is not known");
  // Down: what is known serves until `keys_kept`.
  for (int i = 0; i < 10; ++i) {
    now += terms.fetch_every;
    EXPECT_TRUE(gate->wants_fetch(now));
    gate->keys_failed();
  }
  EXPECT_EQ(fault(third.token(says("fresh"))), "of another issuer") << "its key is known still";
  now += terms.keys_kept;
  EXPECT_EQ(fault(third.token(says("x"))), "waits") << "keys that old are not trusted";
  // Nonsense for a set changes nothing.
  for (const auto* nonsense :
       {"", "[]", "{\"keys\":1}", "{\"keys\":[]}", "{\"keys\":[{\"kty\":\"oct\",\"kid\":\"x\"}]}",
        "{\"keys\":[{\"kty\":\"RSA\",\"kid\":\"x\",\"n\":\"AQAB\",\"e\":\"AQAB\"}]}",
        "{\"keys\":[{\"kty\":\"EC\",\"crv\":\"P-256\",\"x\":\"AA\",\"y\":\"AA\"}]}",
        "{\"keys\":[{\"kid\":\"x\",\"use\":\"enc\"}]}",
        "{\"keys\":[{\"kty\":\"EC\",\"crv\":\"P-256\",\"kid\":\"x\",\"x\":\"AA\",\"y\":\"AA\"}]}"}) {
    left_out.clear();
    const auto had = gate->keys();
    gate->keys_came(now, nonsense, left_out);
    EXPECT_FALSE(left_out.empty()) << nonsense;
    EXPECT_EQ(gate->keys(), had);
  }
}

TEST_F(Gated, ATokenIsOneSessionsAndAnOlderOneIsNotTakenAgain) {
  const auto first = issuer.token(says("first"));
  EXPECT_EQ(fault(first, "s"), "good");
  EXPECT_EQ(fault(first, "s"), "good") << "a retry";
  EXPECT_EQ(fault(first, "other"), "used before");
  auto newer = says("second");
  newer.issued = now;
  EXPECT_EQ(fault(issuer.token(newer), "s"), "good");
  EXPECT_EQ(fault(first, "s"), "used before");
}

TEST_F(Gated, AFloodOfBadTokensCostsLittleAndIsForgotten) {
  terms.most_bad = terms.most_good = 100;
  gate = std::make_unique<Gate>(terms);
  gate->wants_fetch(now);
  bring();
  const auto forged = issuer.forged(says());
  for (int i = 0; i < 1000; ++i)
    EXPECT_EQ(fault(forged), "its signature does not fit");
  EXPECT_EQ(gate->counts().verified, 1u) << "the same one is looked at once";
  for (int i = 0; i < 500; ++i)
    fault(forged + std::string(1, static_cast<char>('A' + i % 26)) + std::to_string(i));
  EXPECT_LE(gate->remembered(), 200u);
}

}  // namespace
}  // namespace violettide::entitlement
