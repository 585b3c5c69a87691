#include "standins/issuer.h"

#include <openssl/bio.h>
#include <openssl/bn.h>
#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/pem.h>

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "signing/signing.h"

namespace violettide::standins {

using entitlement::Algorithm;
using nlohmann::json;

namespace {

std::string encode_bignum(EVP_PKEY* key, const char* name, int size) {
  BIGNUM* number = nullptr;
  EVP_PKEY_get_bn_param(key, name, &number);
  const int bytes = size > 0 ? size : BN_num_bytes(number);
  std::string text(static_cast<std::size_t>(bytes), '\0');
  BN_bn2binpad(number, reinterpret_cast<unsigned char*>(text.data()), bytes);
  BN_free(number);
  return signing::base64url_encode(text);
}

}  // namespace

Issuer::Key Issuer::generate_key(const std::string& id, Algorithm algorithm) {
  EVP_PKEY* key = algorithm == Algorithm::rs256
                      ? EVP_RSA_gen(2048)
                      : EVP_EC_gen(algorithm == Algorithm::es256 ? "P-256" : "P-384");
  BIO* bio = BIO_new(BIO_s_mem());
  PEM_write_bio_PrivateKey(bio, key, nullptr, nullptr, 0, nullptr, nullptr);
  char* bytes = nullptr;
  const auto size = BIO_get_mem_data(bio, &bytes);
  Key made{id, std::string(bytes, static_cast<std::size_t>(size)), "", algorithm};
  BIO_free_all(bio);
  json jwk{{"kid", id}, {"use", "sig"}};
  if (algorithm == Algorithm::rs256) {
    jwk["kty"] = "RSA";
    jwk["alg"] = "RS256";
    jwk["n"] = encode_bignum(key, OSSL_PKEY_PARAM_RSA_N, 0);
    jwk["e"] = encode_bignum(key, OSSL_PKEY_PARAM_RSA_E, 0);
  } else {
    const bool small = algorithm == Algorithm::es256;
    jwk["kty"] = "EC";
    jwk["crv"] = small ? "P-256" : "P-384";
    jwk["x"] = encode_bignum(key, OSSL_PKEY_PARAM_EC_PUB_X, small ? 32 : 48);
    jwk["y"] = encode_bignum(key, OSSL_PKEY_PARAM_EC_PUB_Y, small ? 32 : 48);
  }
  made.jwk = jwk.dump();
  EVP_PKEY_free(key);
  return made;
}

void Issuer::rotate(Algorithm algorithm) {
  keys_.push_back(generate_key(name_ + "-" + std::to_string(++generated_), algorithm));
  if (keys_.size() > 2)
    keys_.erase(keys_.begin());
}

Issuer Issuer::generate_keys(std::string name, std::string audience, int keys) {
  Issuer issuer(std::move(name), std::move(audience));
  for (int i = 0; i < keys; ++i)
    issuer.keys_.push_back(generate_key(issuer.name_ + "-" + std::to_string(i),
                                        i % 3 == 2 ? Algorithm::rs256 : Algorithm::es256));
  issuer.current_key_ = 0;
  return issuer;
}

Issuer Issuer::deserialize(const std::string& serialized, std::string name, std::string audience) {
  Issuer issuer(std::move(name), std::move(audience));
  for (const auto& key : json::parse(serialized))
    issuer.keys_.push_back(
        {key["id"], key["pem"], key["jwk"], static_cast<Algorithm>(key["algorithm"].get<int>())});
  issuer.current_key_ = 0;
  return issuer;
}

std::string Issuer::serialize() const {
  auto all = json::array();
  for (const auto& key : keys_)
    all.push_back({{"id", key.id},
                   {"pem", key.private_pem},
                   {"jwk", key.jwk},
                   {"algorithm", static_cast<int>(key.algorithm)}});
  return all.dump();
}

void Issuer::select_key(int key) { current_key_ = std::clamp(key, 0, static_cast<int>(keys_.size()) - 1); }

std::string Issuer::key_set() const {
  json set{{"keys", json::array()}};
  for (int i = 0; i < static_cast<int>(keys_.size()); ++i) {
    if (current_key_ < 0 || std::abs(i - current_key_) <= 1)
      set["keys"].push_back(json::parse(keys_[static_cast<std::size_t>(i)].jwk));
  }
  return set.dump();
}

std::string Issuer::claims(const TokenClaims& values) const {
  json claims{{"iss", name_},
              {"aud", audience_},
              {"jti", values.id},
              {"sub", values.subject},
              {"team", values.team},
              {"seats", values.seats},
              {"iat", static_cast<double>(values.issued.count()) / 1e6},
              {"exp", static_cast<double>(values.expires.count()) / 1e6}};
  if (values.not_before > entitlement::Duration(0))
    claims["nbf"] = static_cast<double>(values.not_before.count()) / 1e6;
  if (!values.plans.empty())
    claims["plans"] = values.plans;
  if (!values.titles.empty())
    claims["recordings"] = values.titles;
  return claims.dump();
}

std::string Issuer::token(const TokenClaims& values) const {
  const auto& key = signing_key();
  return entitlement::sign_token(claims(values), key.algorithm, key.id, key.private_pem);
}

std::string Issuer::forged(const TokenClaims& values) const {
  const auto key = generate_key(signing_key().id, signing_key().algorithm);
  return entitlement::sign_token(claims(values), key.algorithm, key.id, key.private_pem);
}

}  // namespace violettide::standins
