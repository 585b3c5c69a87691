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

// Deleter for C libraries' handles.
template <auto free_function>
struct Deleter {
  template <typename Handle>
  void operator()(Handle* handle) const {
    free_function(handle);
  }
};
using Parameters = std::unique_ptr<OSSL_PARAM, Deleter<OSSL_PARAM_free>>;
using ParameterBuilder = std::unique_ptr<OSSL_PARAM_BLD, Deleter<OSSL_PARAM_BLD_free>>;
using Context = std::unique_ptr<EVP_PKEY_CTX, Deleter<EVP_PKEY_CTX_free>>;
using Key = std::unique_ptr<EVP_PKEY, Deleter<EVP_PKEY_free>>;
using BigNumber = std::unique_ptr<BIGNUM, Deleter<BN_free>>;
using Jwt = std::unique_ptr<jwt_t, Deleter<jwt_free>>;

constexpr std::size_t max_keys = 100;
constexpr std::size_t min_modulus_bytes = 256;  // 2048 bits (RFC 7518, 3.3)

std::optional<std::string> decode_octets(const json& key, const char* name) {
  if (!key.contains(name) || !key[name].is_string())
    return std::nullopt;
  return signing::base64url_decode(key[name].get<std::string>());
}

std::string public_key_pem(const char* type, OSSL_PARAM* parameters) {
  const Context context(EVP_PKEY_CTX_new_from_name(nullptr, type, nullptr));
  EVP_PKEY* raw_key = nullptr;
  if (!context || EVP_PKEY_fromdata_init(context.get()) <= 0 ||
      EVP_PKEY_fromdata(context.get(), &raw_key, EVP_PKEY_PUBLIC_KEY, parameters) <= 0)
    return "";
  const Key key(raw_key);
  const std::unique_ptr<BIO, Deleter<BIO_free_all>> bio(BIO_new(BIO_s_mem()));
  if (PEM_write_bio_PUBKEY(bio.get(), key.get()) != 1)
    return "";
  char* bytes = nullptr;
  const auto size = BIO_get_mem_data(bio.get(), &bytes);
  return {bytes, static_cast<std::size_t>(size)};
}

std::string ec_public_key_pem(const json& key, const char* group, std::size_t size) {
  const auto x = decode_octets(key, "x"), y = decode_octets(key, "y");
  if (!x || !y || x->size() != size || y->size() != size)
    return "";
  const auto point = std::string(1, '\x04') + *x + *y;
  const ParameterBuilder builder(OSSL_PARAM_BLD_new());
  OSSL_PARAM_BLD_push_utf8_string(builder.get(), OSSL_PKEY_PARAM_GROUP_NAME, group, 0);
  OSSL_PARAM_BLD_push_octet_string(builder.get(), OSSL_PKEY_PARAM_PUB_KEY, point.data(), point.size());
  const Parameters parameters(OSSL_PARAM_BLD_to_param(builder.get()));
  return public_key_pem("EC", parameters.get());
}

std::string rsa_public_key_pem(const json& key) {
  const auto n = decode_octets(key, "n"), e = decode_octets(key, "e");
  if (!n || !e || n->size() < min_modulus_bytes || n->size() > 1024 || e->empty() || e->size() > 8)
    return "";
  const auto number = [](const std::string& bytes) {
    return BigNumber(BN_bin2bn(reinterpret_cast<const unsigned char*>(bytes.data()),
                               static_cast<int>(bytes.size()), nullptr));
  };
  const auto modulus = number(*n), exponent = number(*e);
  const ParameterBuilder builder(OSSL_PARAM_BLD_new());
  OSSL_PARAM_BLD_push_BN(builder.get(), OSSL_PKEY_PARAM_RSA_N, modulus.get());
  OSSL_PARAM_BLD_push_BN(builder.get(), OSSL_PKEY_PARAM_RSA_E, exponent.get());
  const Parameters parameters(OSSL_PARAM_BLD_to_param(builder.get()));
  return public_key_pem("RSA", parameters.get());
}

jwt_alg_t jwt_algorithm(Algorithm algorithm) {
  return algorithm == Algorithm::es256   ? JWT_ALG_ES256
         : algorithm == Algorithm::es384 ? JWT_ALG_ES384
                                         : JWT_ALG_RS256;
}

// A claim that is a string or an array of strings. False if it is neither; an absent one is accepted.
bool read_strings(const json& claims, const char* name, std::vector<std::string>& into) {
  if (!claims.contains(name))
    return true;
  const auto& claim = claims[name];
  if (claim.is_string()) {
    into.push_back(claim);
    return true;
  }
  if (!claim.is_array())
    return false;
  for (const auto& element : claim) {
    if (!element.is_string())
      return false;
    into.push_back(element);
  }
  return true;
}

// NumericDate (RFC 7519, 2): seconds, a fraction allowed. False if malformed; an absent one is accepted.
bool read_date(const json& claims, const char* name, Duration& into) {
  if (!claims.contains(name))
    return true;
  if (!claims[name].is_number())
    return false;
  const double seconds = claims[name];
  if (!(seconds >= 0 && seconds < 1e11))
    return false;
  into = Duration(static_cast<std::int64_t>(seconds * 1e6));
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

std::string_view describe(TokenError error) {
  constexpr std::string_view texts[] = {"good",
                                        "malformed",
                                        "its signature algorithm is not supported",
                                        "its signing key is unknown",
                                        "its algorithm is not that of its key",
                                        "its signature is invalid",
                                        "from another issuer",
                                        "for another audience",
                                        "not valid yet",
                                        "expired",
                                        "not for this plan",
                                        "not for this recording",
                                        "already used, or replaced by a newer token"};
  return texts[static_cast<std::size_t>(error)];
}

std::variant<KeySet, std::string> read_key_set(std::string_view text) {
  const auto set = json::parse(text, nullptr, false);
  if (!set.is_object() || !set.contains("keys") || !set["keys"].is_array())
    return std::string("not a JWK set");
  if (set["keys"].size() > max_keys)
    return "more than " + std::to_string(max_keys) + " keys";
  KeySet result;
  std::size_t index = 0;
  for (const auto& key : set["keys"]) {
    const auto position = "keys[" + std::to_string(index++) + "]: ";
    const auto text_of = [&](const char* name) {
      return key.is_object() && key.contains(name) && key[name].is_string() ? key[name].get<std::string>()
                                                                            : "";
    };
    PublicKey public_key;
    public_key.id = text_of("kid");
    const auto type = text_of("kty"), curve = text_of("crv"), use = text_of("use");
    if (public_key.id.empty()) {
      result.skipped.push_back(position + "no kid");
      continue;
    }
    if (!use.empty() && use != "sig") {
      result.skipped.push_back(position + "not for signatures");
      continue;
    }
    if (type == "EC" && curve == "P-256") {
      public_key.algorithm = Algorithm::es256;
      public_key.pem = ec_public_key_pem(key, "P-256", 32);
    } else if (type == "EC" && curve == "P-384") {
      public_key.algorithm = Algorithm::es384;
      public_key.pem = ec_public_key_pem(key, "P-384", 48);
    } else if (type == "RSA") {
      public_key.algorithm = Algorithm::rs256;
      public_key.pem = rsa_public_key_pem(key);
    } else {
      result.skipped.push_back(position + "unsupported key type or curve");
      continue;
    }
    if (public_key.pem.empty()) {
      result.skipped.push_back(position + "invalid key parameters, or the key is too short");
      continue;
    }
    if (const auto algorithm = text_of("alg");
        !algorithm.empty() && algorithm_of(algorithm) != public_key.algorithm) {
      result.skipped.push_back(position + "alg does not match the key type");
      continue;
    }
    result.keys.push_back(std::move(public_key));
  }
  return result;
}

std::variant<UnverifiedHeader, TokenError> read_unverified_header(std::string_view token) {
  if (token.empty() || token.size() > max_token_bytes || std::count(token.begin(), token.end(), '.') != 2)
    return TokenError::malformed;
  const auto header = signing::base64url_decode(token.substr(0, token.find('.')));
  if (!header)
    return TokenError::malformed;
  const auto fields = json::parse(*header, nullptr, false);
  if (!fields.is_object() || !fields.contains("alg") || !fields["alg"].is_string())
    return TokenError::malformed;
  // No critical extensions are supported (RFC 7515, 4.1.11).
  if (fields.contains("crit"))
    return TokenError::malformed;
  UnverifiedHeader result;
  result.algorithm = fields["alg"];
  if (!algorithm_of(result.algorithm))
    return TokenError::unsupported_algorithm;
  if (!fields.contains("kid") || !fields["kid"].is_string())
    return TokenError::unknown_key;
  result.key_id = fields["kid"];
  return result;
}

std::variant<Token, TokenError> verify_token(std::string_view token, const PublicKey& key,
                                             std::string_view audience) {
  const auto header = read_unverified_header(token);
  if (const auto* error = std::get_if<TokenError>(&header))
    return *error;
  // Guards against algorithm confusion: the key determines the algorithm, not the token.
  if (algorithm_of(std::get<UnverifiedHeader>(header).algorithm) != key.algorithm)
    return TokenError::wrong_algorithm;
  jwt_t* decoded = nullptr;
  const std::string text(token);
  const int code = jwt_decode(&decoded, text.c_str(), reinterpret_cast<const unsigned char*>(key.pem.data()),
                              static_cast<int>(key.pem.size()));
  const Jwt jwt(decoded);
  if (code != 0 || !jwt || jwt_get_alg(jwt.get()) != jwt_algorithm(key.algorithm))
    return TokenError::bad_signature;
  const std::unique_ptr<char, Deleter<std::free>> grants(jwt_get_grants_json(jwt.get(), nullptr));
  const auto claims = grants ? json::parse(grants.get(), nullptr, false) : json();
  if (!claims.is_object())
    return TokenError::malformed;
  const auto text_of = [&](const char* name, std::string& into) {
    if (!claims.contains(name))
      return true;
    if (!claims[name].is_string())
      return false;
    into = claims[name];
    return true;
  };
  Token result;
  std::vector<std::string> audiences;
  if (!text_of("jti", result.id) || !text_of("iss", result.issuer) || !text_of("sub", result.subject) ||
      !text_of("team", result.team) || !read_strings(claims, "plans", result.plans) ||
      !read_strings(claims, "recordings", result.titles) || !read_strings(claims, "aud", audiences) ||
      !read_date(claims, "iat", result.issued) || !read_date(claims, "nbf", result.not_before) ||
      !read_date(claims, "exp", result.expires))
    return TokenError::malformed;
  if (claims.contains("seats")) {
    if (!claims["seats"].is_number_integer() || claims["seats"] < 0 || claims["seats"] > 1'000'000)
      return TokenError::malformed;
    result.seats = claims["seats"];
  }
  // Required: seats are counted by team and subject, expire by `exp`, and replays are detected by `jti`.
  if (result.id.empty() || result.subject.empty() || result.team.empty() || result.expires == Duration(0) ||
      result.id.size() > 256 || result.subject.size() > 256 || result.team.size() > 256)
    return TokenError::malformed;
  if (!audience.empty() && std::find(audiences.begin(), audiences.end(), audience) == audiences.end())
    return TokenError::wrong_audience;
  return result;
}

std::string sign_token(const std::string& claims_json, Algorithm algorithm, const std::string& key_id,
                       const std::string& private_pem) {
  jwt_t* raw_jwt = nullptr;
  if (jwt_new(&raw_jwt) != 0)
    return "";
  const Jwt jwt(raw_jwt);
  if (jwt_add_grants_json(raw_jwt, claims_json.c_str()) != 0 ||
      jwt_add_header(raw_jwt, "kid", key_id.c_str()) != 0 ||
      jwt_set_alg(raw_jwt, jwt_algorithm(algorithm),
                  reinterpret_cast<const unsigned char*>(private_pem.data()),
                  static_cast<int>(private_pem.size())) != 0)
    return "";
  const std::unique_ptr<char, Deleter<std::free>> text(jwt_encode_str(raw_jwt));
  return text ? text.get() : "";
}

}  // namespace violettide::entitlement
