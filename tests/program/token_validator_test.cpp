// Tests of token validation: the cause given for each kind of invalid token, key rotation, an issuer that is
// down, replays and floods.
#include "entitlement/token_validator/token_validator.h"

#include <gtest/gtest.h>

#include "signing/signing.h"
#include "standins/issuer.h"

namespace violettide::entitlement {
namespace {

using namespace std::chrono_literals;
using standins::Issuer;

class TokenValidatorTest : public ::testing::Test {
 protected:
  void SetUp() override {
    issuer.rotate();
    settings.issuer = "issuer";
    settings.audience = "hall";
    validator = std::make_unique<TokenValidator>(settings);
    EXPECT_TRUE(validator->start_fetch_if_due(now));
    deliver_keys();
  }
  void deliver_keys() {
    std::vector<std::string> skipped;
    validator->on_keys_received(now, issuer.key_set(), skipped);
    EXPECT_TRUE(skipped.empty());
  }
  Issuer::TokenClaims claims(const std::string& id = "1") const {
    return {id, "ann", "red", 3, now - 10s, now + 60s, Duration(0), {}, {}};
  }
  // "good", "waits" for keys, or the cause for which the token is refused.
  std::string outcome(const std::string& token, const std::string& session = "s") {
    const auto result = validator->validate(now, {token, "plan", "crash-42", session});
    if (std::holds_alternative<ValidToken>(result))
      return "good";
    if (std::holds_alternative<AwaitingKeys>(result))
      return "waits";
    return std::string(describe(std::get<InvalidToken>(result).error));
  }
  Duration now = 1'000'000s;
  Issuer issuer{"issuer", "hall"};
  TokenValidatorSettings settings;
  std::unique_ptr<TokenValidator> validator;
};

TEST_F(TokenValidatorTest, ValidTokenYieldsSeatAndLease) {
  for (const auto algorithm : {Algorithm::es256, Algorithm::es384, Algorithm::rs256}) {
    issuer.rotate(algorithm);
    deliver_keys();
    const auto result = validator->validate(
        now, {issuer.token(claims("a" + std::to_string(static_cast<int>(algorithm)))), "plan", "t", "s"});
    ASSERT_TRUE(std::holds_alternative<ValidToken>(result));
    const auto& good = std::get<ValidToken>(result);
    EXPECT_EQ(good.team, "red");
    EXPECT_EQ(good.viewer_session, "ann/s");
    EXPECT_EQ(good.seats, 3);
    EXPECT_EQ(good.until, now + 60s + settings.grace);
  }
}

TEST_F(TokenValidatorTest, EveryInvalidTokenIsRefusedWithItsCause) {
  const auto good = issuer.token(claims());
  const auto parts = [&](const std::string& header, const std::string& claims, const std::string& signature) {
    return signing::base64url_encode(header) + "." + signing::base64url_encode(claims) + "." + signature;
  };
  const auto signature = good.substr(good.rfind('.') + 1);
  EXPECT_EQ(outcome(""), "malformed");
  EXPECT_EQ(outcome("a.b"), "malformed");
  EXPECT_EQ(outcome("..."), "malformed");
  EXPECT_EQ(outcome(std::string(9000, 'a')), "malformed");
  EXPECT_EQ(outcome(parts("{}", "{}", "")), "malformed");
  EXPECT_EQ(outcome(parts("{\"alg\":\"none\"}", issuer.claims(claims()), "")),
            "its signature algorithm is not supported");
  EXPECT_EQ(outcome(parts("{\"alg\":\"HS256\",\"kid\":\"" + issuer.key_id() + "\"}", issuer.claims(claims()),
                          signature)),
            "its signature algorithm is not supported");
  EXPECT_EQ(outcome(parts("{\"alg\":\"RS256\",\"kid\":\"" + issuer.key_id() + "\"}", issuer.claims(claims()),
                          signature)),
            "its algorithm is not that of its key");
  EXPECT_EQ(outcome(parts("{\"alg\":\"ES256\",\"kid\":\"x\",\"crit\":[\"b64\"]}", "{}", signature)),
            "malformed");
  EXPECT_EQ(outcome(parts("{\"alg\":\"ES256\"}", issuer.claims(claims()), signature)),
            "its signing key is unknown");
  EXPECT_EQ(outcome(issuer.forged(claims())), "its signature is invalid");
  auto other = claims();
  other.seats = 100;
  EXPECT_EQ(outcome(good.substr(0, good.find('.')) + "." + signing::base64url_encode(issuer.claims(other)) +
                    "." + signature),
            "its signature is invalid");
  for (std::size_t i = good.find('.') + 2; i < good.size(); i += 7) {
    auto changed = good;
    changed[i] = changed[i] == 'A' ? 'B' : 'A';
    EXPECT_NE(outcome(changed), "good") << i;
  }
  auto late = claims();
  late.expires = now - 6s;
  EXPECT_EQ(outcome(issuer.token(late)), "expired");
  late.expires = now - 4s;
  late.id = "skewed";
  EXPECT_EQ(outcome(issuer.token(late)), "good") << "within the clock skew";
  auto early = claims("early");
  early.not_before = now + 6s;
  EXPECT_EQ(outcome(issuer.token(early)), "not valid yet");
  auto planned = claims("planned");
  planned.plans = {"other"};
  EXPECT_EQ(outcome(issuer.token(planned)), "not for this plan");
  auto scoped = claims("scoped");
  scoped.titles = {"crash-1*", "x"};
  EXPECT_EQ(outcome(issuer.token(scoped)), "not for this recording");
  scoped.titles = {"crash-*"};
  EXPECT_EQ(outcome(issuer.token(scoped)), "good");
  auto nobody = claims();
  nobody.subject = "";
  EXPECT_EQ(outcome(issuer.token(nobody)), "malformed");
  Issuer stranger("stranger", "hall"), elsewhere("issuer", "another hall");
  stranger.rotate();
  EXPECT_EQ(outcome(stranger.token(claims())), "its signing key is unknown");
  std::vector<std::string> skipped;
  validator->on_keys_received(now, stranger.key_set(), skipped);
  EXPECT_EQ(outcome(stranger.token(claims())), "from another issuer");
  elsewhere.rotate();
  validator->on_keys_received(now, elsewhere.key_set(), skipped);
  EXPECT_EQ(outcome(elsewhere.token(claims())), "for another audience");
}

TEST_F(TokenValidatorTest, KeysRotateAndFetchesForUnknownKeysAreRateLimited) {
  auto earlier = claims("before");
  earlier.issued -= 1s;
  const auto before = issuer.token(earlier);
  issuer.rotate();
  issuer.rotate();  // removes the first key from the set
  const auto after = issuer.token(claims("after"));
  EXPECT_EQ(outcome(after), "its signing key is unknown") << "keys were just fetched";
  now += settings.min_fetch_interval;
  EXPECT_EQ(outcome(after), "waits");
  EXPECT_TRUE(validator->start_fetch_if_due(now));
  EXPECT_FALSE(validator->start_fetch_if_due(now)) << "a fetch is in progress";
  EXPECT_EQ(outcome(after), "waits");
  deliver_keys();
  EXPECT_EQ(outcome(after), "good");
  EXPECT_EQ(outcome(before, "s"), "already used, or replaced by a newer token")
      << "a newer token of the same seat was presented";
  EXPECT_EQ(outcome(issuer.token(claims("3"))), "good");
  std::size_t fetches = 0;
  for (int i = 0; i < 10'000; ++i) {
    now += 10ms;
    outcome("eyJhbGciOiJFUzI1NiIsImtpZCI6Im5vbmUifQ.e30.AAAA");
    if (validator->start_fetch_if_due(now))
      ++fetches, deliver_keys();
  }
  EXPECT_LE(fetches, 11u) << "in 100 s, whatever is presented";
  EXPECT_GE(fetches, 9u);
}

TEST_F(TokenValidatorTest, RetiredKeyStaysValidForGraceAndKnownKeysOutlastAnIssuerOutage) {
  const auto old = issuer.token(claims("old"));
  Issuer replaced("issuer", "hall");
  replaced.rotate();
  replaced.rotate();
  std::vector<std::string> skipped;
  now += 10s;
  validator->on_keys_received(now, replaced.key_set(), skipped);
  // Both sets have a key named `issuer-1`: the newer key replaces the older one.
  EXPECT_EQ(outcome(old), "its signature is invalid");
  Issuer third("third", "hall");
  third.rotate();
  auto token = claims("ending");
  const auto signed_before = replaced.token(token);
  validator->on_keys_received(now, third.key_set(), skipped);
  EXPECT_EQ(outcome(signed_before), "good") << "signed just before the rotation";
  now += settings.grace;
  EXPECT_EQ(outcome(replaced.token(claims("late"))), "its signing key is unknown");
  // While the issuer is down, the known keys are used up to `max_key_age`.
  for (int i = 0; i < 10; ++i) {
    now += settings.fetch_interval;
    EXPECT_TRUE(validator->start_fetch_if_due(now));
    validator->on_keys_failed();
  }
  EXPECT_EQ(outcome(third.token(claims("fresh"))), "from another issuer") << "its key is still known";
  now += settings.max_key_age;
  EXPECT_EQ(outcome(third.token(claims("x"))), "waits") << "keys that old are not trusted";
  // A malformed key set leaves the known keys unchanged.
  for (const auto* malformed :
       {"", "[]", "{\"keys\":1}", "{\"keys\":[]}", "{\"keys\":[{\"kty\":\"oct\",\"kid\":\"x\"}]}",
        "{\"keys\":[{\"kty\":\"RSA\",\"kid\":\"x\",\"n\":\"AQAB\",\"e\":\"AQAB\"}]}",
        "{\"keys\":[{\"kty\":\"EC\",\"crv\":\"P-256\",\"x\":\"AA\",\"y\":\"AA\"}]}",
        "{\"keys\":[{\"kid\":\"x\",\"use\":\"enc\"}]}",
        "{\"keys\":[{\"kty\":\"EC\",\"crv\":\"P-256\",\"kid\":\"x\",\"x\":\"AA\",\"y\":\"AA\"}]}"}) {
    skipped.clear();
    const auto had = validator->keys();
    validator->on_keys_received(now, malformed, skipped);
    EXPECT_FALSE(skipped.empty()) << malformed;
    EXPECT_EQ(validator->keys(), had);
  }
}

TEST_F(TokenValidatorTest, TokenIsBoundToOneSessionAndNotAcceptedAfterRenewal) {
  const auto first = issuer.token(claims("first"));
  EXPECT_EQ(outcome(first, "s"), "good");
  EXPECT_EQ(outcome(first, "s"), "good") << "a retry";
  EXPECT_EQ(outcome(first, "other"), "already used, or replaced by a newer token");
  auto newer = claims("second");
  newer.issued = now;
  EXPECT_EQ(outcome(issuer.token(newer), "s"), "good");
  EXPECT_EQ(outcome(first, "s"), "already used, or replaced by a newer token");
}

TEST_F(TokenValidatorTest, FloodOfInvalidTokensIsCachedInBoundedMemory) {
  settings.max_cached_invalid = settings.max_cached_valid = 100;
  validator = std::make_unique<TokenValidator>(settings);
  validator->start_fetch_if_due(now);
  deliver_keys();
  const auto forged = issuer.forged(claims());
  for (int i = 0; i < 1000; ++i)
    EXPECT_EQ(outcome(forged), "its signature is invalid");
  EXPECT_EQ(validator->counts().verified, 1u) << "the same token is verified once";
  for (int i = 0; i < 500; ++i)
    outcome(forged + std::string(1, static_cast<char>('A' + i % 26)) + std::to_string(i));
  EXPECT_LE(validator->cached_tokens(), 200u);
}

}  // namespace
}  // namespace violettide::entitlement
