// Entitlement tokens: JWTs (RFC 7519) signed by a customer's issuer, and the issuer's keys as a JWK set
// (RFC 7517). libjwt checks signatures; which algorithm a token must have is its key's to say (RFC 8725).
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
std::optional<Algorithm> algorithm_of(std::string_view name);

struct PublicKey {
  std::string id;  // kid
  Algorithm algorithm = Algorithm::es256;
  std::string pem;
};
struct ReadKeys {
  std::vector<PublicKey> keys;
  std::vector<std::string> left_out;  // which and why
};
// Keys that are of no use here are left out and told; text that is no set is a fault.
std::variant<ReadKeys, std::string> read_key_set(std::string_view json);

// What a token says, its signature aside.
struct Token {
  std::string id;  // jti
  std::string issuer, subject, team;
  int seats = 0;
  std::vector<std::string> plans, titles;  // empty: any; a title may end in '*'
  Duration issued{0}, not_before{0}, expires{0};
};
struct Unsigned {  // what is read before any key is known
  std::string key_id, algorithm;
};

enum class TokenFault : std::uint8_t {
  none,
  malformed,     // no JWT, or claims that are none
  no_algorithm,  // 'none', or one that is not taken
  unknown_key,
  wrong_algorithm,  // another than its key's
  forged,
  wrong_issuer,
  wrong_audience,
  not_yet,
  expired,
  not_this_plan,
  not_this_title,
  replayed,  // its id was another playback's, or a newer one took its place
};
std::string_view words_of(TokenFault fault);

constexpr std::size_t most_token_bytes = 8 * 1024;
std::variant<Unsigned, TokenFault> read_unsigned(std::string_view token);
// By the key that its header names.
std::variant<Token, TokenFault> verify(std::string_view token, const PublicKey& key,
                                       std::string_view audience);

// For issuers' stand-ins and tests.
std::string sign(const std::string& claims_json, Algorithm algorithm, const std::string& key_id,
                 const std::string& private_pem);

}  // namespace violettide::entitlement
