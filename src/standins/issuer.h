// A stand-in issuer of entitlement tokens: makes keys, rotates them, publishes the set and signs.
#pragma once

#include <string>
#include <vector>

#include "entitlement/tokens/tokens.h"

namespace violettide::standins {

class Issuer {
 public:
  Issuer(std::string name, std::string audience) : name_(std::move(name)), audience_(std::move(audience)) {}
  // A new key that signs from now on; the one before stays in the set until the next rotation.
  void rotate(entitlement::Algorithm algorithm = entitlement::Algorithm::es256);
  // All keys of a day, made before it: processes that read them sign and publish alike.
  static Issuer made(std::string name, std::string audience, int keys);
  static Issuer read(const std::string& written, std::string name, std::string audience);
  std::string written() const;
  // Signs by this key from now on; the ones beside it are published with it.
  void turn_to(int key);
  std::string key_set() const;
  struct Says {
    std::string id, subject, team;
    int seats = 1;
    entitlement::Duration issued{0}, expires{0}, not_before{0};
    std::vector<std::string> plans, titles;
  };
  std::string token(const Says& says) const;
  // Signed by a key of the same name that is not this issuer's.
  std::string forged(const Says& says) const;
  std::string claims(const Says& says) const;
  const std::string& key_id() const { return keys_.back().id; }

 private:
  struct Key {
    std::string id, private_pem, jwk;
    entitlement::Algorithm algorithm;
  };
  static Key make(const std::string& id, entitlement::Algorithm algorithm);
  std::string name_, audience_;
  std::vector<Key> keys_;
  int at_ = -1;  // of keys made before; else the last
  const Key& signs() const { return at_ < 0 ? keys_.back() : keys_[static_cast<std::size_t>(at_)]; }
  int made_ = 0;
};

}  // namespace violettide::standins
