// Entitlement tokens: JWTs (RFC 7519) signed by a customer's issuer, and the issuer's keys as a JWK set
// (RFC 7517). libjwt checks the signatures. A token must use the algorithm of its key, whatever its own
// header says (RFC 8725).
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace violettide::entitlement {

using Duration = std::chrono::microseconds;

enum class Algorithm : std::uint8_t { es256, es384, rs256 };
// By its JWS name; nothing for an unsupported one.
std::optional<Algorithm> algorithm_of(std::string_view name);

// A verification key of the issuer.
struct PublicKey {
  std::string id;  // kid
  Algorithm algorithm = Algorithm::es256;
  std::string pem;
};
// The usable keys of a JWK set.
struct KeySet {
  std::vector<PublicKey> keys;
  std::vector<std::string> skipped;  // the position and the cause of each key that can't be used
};
// Skips keys that can't be used. Returns the cause as text if `json` is not a JWK set.
std::variant<KeySet, std::string> read_key_set(std::string_view json);

// The claims of a verified token.
struct Token {
  std::string id;  // jti
  std::string issuer, subject, team;
  int seats = 0;
  std::vector<std::string> plans, titles;         // allowed ones; empty: any; each may end in '*'
  Duration issued{0}, not_before{0}, expires{0};  // since the Unix epoch; 0: claim absent
};
// The header fields that select the key. Not to be trusted.
struct UnverifiedHeader {
  std::string key_id, algorithm;
};

// Why a token is not accepted.
enum class TokenError : std::uint8_t {
  none,
  malformed,              // not a JWT, or claims that are missing or of the wrong type
  unsupported_algorithm,  // 'none' included
  unknown_key,
  wrong_algorithm,  // not the algorithm of its key
  bad_signature,
  wrong_issuer,
  wrong_audience,
  not_yet_valid,
  expired,
  plan_not_allowed,
  title_not_allowed,
  replayed,  // its id was used for another playback, or a newer token replaced it
};
// The cause as a text for logs and viewers.
std::string_view describe(TokenError error);

// Longer tokens are malformed.
constexpr std::size_t max_token_bytes = 8 * 1024;
// Reads the header without checking the signature.
std::variant<UnverifiedHeader, TokenError> read_unverified_header(std::string_view token);
// Checks the signature by `key`, which must be the one that the header names, the form of the claims, and the
// audience unless `audience` is empty. Times and the issuer are for the caller to check.
std::variant<Token, TokenError> verify_token(std::string_view token, const PublicKey& key,
                                             std::string_view audience);

// For stand-in issuers and tests. Returns an empty text on failure.
std::string sign_token(const std::string& claims_json, Algorithm algorithm, const std::string& key_id,
                       const std::string& private_pem);

}  // namespace violettide::entitlement
