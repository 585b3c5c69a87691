// Fake issuer of entitlement tokens: generates and rotates keys, publishes the key set and signs tokens.
#pragma once

#include <string>
#include <vector>

#include "entitlement/tokens/tokens.h"

namespace violettide::standins {

// Signs with one current key. Tests call `rotate`; scenario processes share a fixed list of keys.
class Issuer {
 public:
  Issuer(std::string name, std::string audience) : name_(std::move(name)), audience_(std::move(audience)) {}
  // Generates a key and signs with it from now on. The previous one stays in the set until the next rotation.
  void rotate(entitlement::Algorithm algorithm = entitlement::Algorithm::es256);
  // Generates all keys of a scenario in advance, so that every process that reads them signs and publishes
  // the same ones.
  static Issuer generate_keys(std::string name, std::string audience, int keys);
  // Reads the output of `serialize`; throws nlohmann's exceptions on malformed text.
  static Issuer deserialize(const std::string& serialized, std::string name, std::string audience);
  // The keys with their private parts as JSON, for `deserialize`.
  std::string serialize() const;
  // Signs with the key of this index from now on, and publishes its neighbours in the list with it.
  void select_key(int key);
  // The published keys as a JSON Web Key Set.
  std::string key_set() const;
  // Claims of a token; issue and expiry times since the Unix epoch.
  struct TokenClaims {
    std::string id, subject, team;
    int seats = 1;
    entitlement::Duration issued{0}, expires{0}, not_before{0};
    std::vector<std::string> plans, titles;
  };
  // A signed token.
  std::string token(const TokenClaims& values) const;
  // A token signed with a foreign key of the same key id.
  std::string forged(const TokenClaims& values) const;
  // The token's payload as JSON.
  std::string claims(const TokenClaims& values) const;
  const std::string& key_id() const { return keys_.back().id; }

 private:
  struct Key {
    std::string id, private_pem, jwk;
    entitlement::Algorithm algorithm;
  };
  static Key generate_key(const std::string& id, entitlement::Algorithm algorithm);
  std::string name_, audience_;
  std::vector<Key> keys_;
  int current_key_ = -1;  // index among pre-generated keys; -1: the last key
  const Key& signing_key() const {
    return current_key_ < 0 ? keys_.back() : keys_[static_cast<std::size_t>(current_key_)];
  }
  int generated_ = 0;
};

}  // namespace violettide::standins
