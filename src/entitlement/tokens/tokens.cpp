#include "entitlement/tokens/tokens.h"

#include <jwt.h>
#include <openssl/bio.h>
#include <openssl/bn.h>
#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/param_build.h>
#include <openssl/pem.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>

#include "signing/signing.h"

namespace violettide::entitlement {

namespace {

using nlohmann::json;

template <auto free_one>
struct Frees {
  template <typename Held>
  void operator()(Held* held) const {
    free_one(held);
  }
};
using Parameters = std::unique_ptr<OSSL_PARAM, Frees<OSSL_PARAM_free>>;
using Build = std::unique_ptr<OSSL_PARAM_BLD, Frees<OSSL_PARAM_BLD_free>>;
using Context = std::unique_ptr<EVP_PKEY_CTX, Frees<EVP_PKEY_CTX_free>>;
using Key = std::unique_ptr<EVP_PKEY, Frees<EVP_PKEY_free>>;
using Number = std::unique_ptr<BIGNUM, Frees<BN_free>>;
using Jwt = std::unique_ptr<jwt_t, Frees<jwt_free>>;

constexpr std::size_t most_keys = 100;
constexpr std::size_t least_modulus = 256;  // bytes; RFC 7518, 3.3

std::optional<std::string> octets(const json& key, const char* name) {
  if (!key.contains(name) || !key[name].is_string())
    return std::nullopt;
  return signing::base64url_decode(key[name].get<std::string>());
}

std::string pem_of(const char* type, OSSL_PARAM* parameters) {
  const Context context(EVP_PKEY_CTX_new_from_name(nullptr, type, nullptr));
  EVP_PKEY* made = nullptr;
  if (!context || EVP_PKEY_fromdata_init(context.get()) <= 0 ||
      EVP_PKEY_fromdata(context.get(), &made, EVP_PKEY_PUBLIC_KEY, parameters) <= 0)
    return "";
  const Key key(made);
  const std::unique_ptr<BIO, Frees<BIO_free_all>> bio(BIO_new(BIO_s_mem()));
  if (PEM_write_bio_PUBKEY(bio.get(), key.get()) != 1)
    return "";
  char* bytes = nullptr;
  const auto size = BIO_get_mem_data(bio.get(), &bytes);
  return {bytes, static_cast<std::size_t>(size)};
}

std::string elliptic_pem(const json& key, const char* group, std::size_t size) {
  const auto x = octets(key, "x"), y = octets(key, "y");
  if (!x || !y || x->size() != size || y->size() != size)
    return "";
  const auto point = std::string(1, '\x04') + *x + *y;
  const Build build(OSSL_PARAM_BLD_new());
  OSSL_PARAM_BLD_push_utf8_string(build.get(), OSSL_PKEY_PARAM_GROUP_NAME, group, 0);
  OSSL_PARAM_BLD_push_octet_string(build.get(), OSSL_PKEY_PARAM_PUB_KEY, point.data(), point.size());
  const Parameters parameters(OSSL_PARAM_BLD_to_param(build.get()));
  return pem_of("EC", parameters.get());
}

std::string rsa_pem(const json& key) {
  const auto n = octets(key, "n"), e = octets(key, "e");
  if (!n || !e || n->size() < least_modulus || n->size() > 1024 || e->empty() || e->size() > 8)
    return "";
  const auto number = [](const std::string& bytes) {
    return Number(BN_bin2bn(reinterpret_cast<const unsigned char*>(bytes.data()),
                            static_cast<int>(bytes.size()), nullptr));
  };
  const auto modulus = number(*n), exponent = number(*e);
  const Build build(OSSL_PARAM_BLD_new());
  OSSL_PARAM_BLD_push_BN(build.get(), OSSL_PKEY_PARAM_RSA_N, modulus.get());
  OSSL_PARAM_BLD_push_BN(build.get(), OSSL_PKEY_PARAM_RSA_E, exponent.get());
  const Parameters parameters(OSSL_PARAM_BLD_to_param(build.get()));
  return pem_of("RSA", parameters.get());
}

jwt_alg_t jwt_algorithm(Algorithm algorithm) {
  return algorithm == Algorithm::es256   ? JWT_ALG_ES256
         : algorithm == Algorithm::es384 ? JWT_ALG_ES384
                                         : JWT_ALG_RS256;
}

bool texts(const json& claims, const char* name, std::vector<std::string>& into) {
  if (!claims.contains(name))
    return true;
  const auto& claim = claims[name];
  if (claim.is_string()) {
    into.push_back(claim);
    return true;
  }
  if (!claim.is_array())
    return false;
  for (const auto& one : claim) {
    if (!one.is_string())
      return false;
    into.push_back(one);
  }
  return true;
}

// NumericDate (RFC 7519, 2): seconds, a fraction allowed.
bool date(const json& claims, const char* name, Span& into) {
  if (!claims.contains(name))
    return true;
  if (!claims[name].is_number())
    return false;
  const double seconds = claims[name];
  if (!(seconds >= 0 && seconds < 1e11))
    return false;
  into = Span(static_cast<std::int64_t>(seconds * 1e6));
  return true;
}

}  // namespace

std::optional<Algorithm> algorithm_of(std::string_view name) {
  if (name == "ES256")
    return Algorithm::es256;
  if (name == "ES384")
    return Algorithm::es384;
  if (name == "RS256")
    return Algorithm::rs256;
  return std::nullopt;
}

std::string_view words_of(TokenFault fault) {
  constexpr std::string_view words[] = {"good",
                                        "malformed",
                                        "its algorithm is none that is taken",
                                        "its key is not known",
                                        "its algorithm is not its key's",
                                        "its signature does not fit",
                                        "of another issuer",
                                        "for another audience",
                                        "not valid yet",
                                        "expired",
                                        "not for this plan",
                                        "not for this recording",
                                        "used before"};
  return words[static_cast<std::size_t>(fault)];
}

std::variant<ReadKeys, std::string> read_key_set(std::string_view text) {
  const auto set = json::parse(text, nullptr, false);
  if (!set.is_object() || !set.contains("keys") || !set["keys"].is_array())
    return std::string("no JWK set");
  if (set["keys"].size() > most_keys)
    return "more than " + std::to_string(most_keys) + " keys";
  ReadKeys read;
  std::size_t number = 0;
  for (const auto& key : set["keys"]) {
    const auto place = "keys[" + std::to_string(number++) + "]: ";
    const auto text_of = [&](const char* name) {
      return key.is_object() && key.contains(name) && key[name].is_string() ? key[name].get<std::string>()
                                                                            : "";
    };
    PublicKey made;
    made.id = text_of("kid");
    const auto type = text_of("kty"), curve = text_of("crv"), use = text_of("use");
    if (made.id.empty()) {
      read.left_out.push_back(place + "no kid");
      continue;
    }
    if (!use.empty() && use != "sig") {
      read.left_out.push_back(place + "not for signatures");
      continue;
    }
    if (type == "EC" && curve == "P-256") {
      made.algorithm = Algorithm::es256;
      made.pem = elliptic_pem(key, "P-256", 32);
    } else if (type == "EC" && curve == "P-384") {
      made.algorithm = Algorithm::es384;
      made.pem = elliptic_pem(key, "P-384", 48);
    } else if (type == "RSA") {
      made.algorithm = Algorithm::rs256;
      made.pem = rsa_pem(key);
    } else {
      read.left_out.push_back(place + "a kind of key that is not taken");
      continue;
    }
    if (made.pem.empty()) {
      read.left_out.push_back(place + "no such key, or too short a one");
      continue;
    }
    if (const auto said = text_of("alg"); !said.empty() && algorithm_of(said) != made.algorithm) {
      read.left_out.push_back(place + "for another algorithm");
      continue;
    }
    read.keys.push_back(std::move(made));
  }
  return read;
}

std::variant<Unsigned, TokenFault> read_unsigned(std::string_view token) {
  if (token.empty() || token.size() > most_token_bytes || std::count(token.begin(), token.end(), '.') != 2)
    return TokenFault::malformed;
  const auto header = signing::base64url_decode(token.substr(0, token.find('.')));
  if (!header)
    return TokenFault::malformed;
  const auto read = json::parse(*header, nullptr, false);
  if (!read.is_object() || !read.contains("alg") || !read["alg"].is_string())
    return TokenFault::malformed;
  // Extensions that must be understood are not (RFC 7515, 4.1.11).
  if (read.contains("crit"))
    return TokenFault::malformed;
  Unsigned made;
  made.algorithm = read["alg"];
  if (!algorithm_of(made.algorithm))
    return TokenFault::no_algorithm;
  if (!read.contains("kid") || !read["kid"].is_string())
    return TokenFault::unknown_key;
  made.key_id = read["kid"];
  return made;
}

std::variant<Token, TokenFault> verify(std::string_view token, const PublicKey& key,
                                       std::string_view audience) {
  const auto head = read_unsigned(token);
  if (const auto* fault = std::get_if<TokenFault>(&head))
    return *fault;
  // Guards against a token that chooses how it is checked: the key's algorithm counts.
  if (algorithm_of(std::get<Unsigned>(head).algorithm) != key.algorithm)
    return TokenFault::wrong_algorithm;
  jwt_t* decoded = nullptr;
  const std::string text(token);
  const int code = jwt_decode(&decoded, text.c_str(), reinterpret_cast<const unsigned char*>(key.pem.data()),
                              static_cast<int>(key.pem.size()));
  const Jwt jwt(decoded);
  if (code != 0 || !jwt || jwt_get_alg(jwt.get()) != jwt_algorithm(key.algorithm))
    return TokenFault::forged;
  const std::unique_ptr<char, Frees<std::free>> grants(jwt_get_grants_json(jwt.get(), nullptr));
  const auto claims = grants ? json::parse(grants.get(), nullptr, false) : json();
  if (!claims.is_object())
    return TokenFault::malformed;
  const auto text_of = [&](const char* name, std::string& into) {
    if (!claims.contains(name))
      return true;
    if (!claims[name].is_string())
      return false;
    into = claims[name];
    return true;
  };
  Token made;
  std::vector<std::string> audiences;
  if (!text_of("jti", made.id) || !text_of("iss", made.issuer) || !text_of("sub", made.subject) ||
      !text_of("team", made.team) || !texts(claims, "plans", made.plans) ||
      !texts(claims, "recordings", made.titles) || !texts(claims, "aud", audiences) ||
      !date(claims, "iat", made.issued) || !date(claims, "nbf", made.not_before) ||
      !date(claims, "exp", made.expires))
    return TokenFault::malformed;
  if (claims.contains("seats")) {
    if (!claims["seats"].is_number_integer() || claims["seats"] < 0 || claims["seats"] > 1'000'000)
      return TokenFault::malformed;
    made.seats = claims["seats"];
  }
  // Without these nothing can be counted, ended or told apart.
  if (made.id.empty() || made.subject.empty() || made.team.empty() || made.expires == Span(0) ||
      made.id.size() > 256 || made.subject.size() > 256 || made.team.size() > 256)
    return TokenFault::malformed;
  if (!audience.empty() && std::find(audiences.begin(), audiences.end(), audience) == audiences.end())
    return TokenFault::wrong_audience;
  return made;
}

std::string sign(const std::string& claims_json, Algorithm algorithm, const std::string& key_id,
                 const std::string& private_pem) {
  jwt_t* made = nullptr;
  if (jwt_new(&made) != 0)
    return "";
  const Jwt jwt(made);
  if (jwt_add_grants_json(made, claims_json.c_str()) != 0 ||
      jwt_add_header(made, "kid", key_id.c_str()) != 0 ||
      jwt_set_alg(made, jwt_algorithm(algorithm), reinterpret_cast<const unsigned char*>(private_pem.data()),
                  static_cast<int>(private_pem.size())) != 0)
    return "";
  const std::unique_ptr<char, Frees<std::free>> text(jwt_encode_str(made));
  return text ? text.get() : "";
}

}  // namespace violettide::entitlement
