#include "signed_url/signed_url.h"

#include <algorithm>

#include "signing/signing.h"

namespace violettide::signed_url {

namespace {

constexpr char format_version = 1;
constexpr std::size_t signature_bytes = 16;
constexpr std::size_t max_token_bytes = 1024;
constexpr int scope_mask = 3;
constexpr int off_ladder_bit = 4;
constexpr int shared_directory_bit = 8;
constexpr std::size_t max_derived_keys = 64;

// Serializes the fields of a token, big-endian.
class ByteWriter {
 public:
  void byte(int value) { text += static_cast<char>(value); }
  void big_endian_32(std::uint32_t value) {
    for (int shift = 24; shift >= 0; shift -= 8)
      byte(static_cast<int>(value >> shift & 0xff));
  }
  void field(std::string_view value) {
    byte(static_cast<int>(value.size() >> 8 & 0xff));
    byte(static_cast<int>(value.size() & 0xff));
    text += value;
  }
  std::string text;
};

// Parses what ByteWriter wrote; `complete` turns false at the first read beyond the end.
class ByteReader {
 public:
  explicit ByteReader(std::string_view text) : text_(text) {}
  int byte() {
    if (at_ >= text_.size()) {
      complete = false;
      return 0;
    }
    return static_cast<unsigned char>(text_[at_++]);
  }
  std::uint32_t big_endian_32() {
    std::uint32_t value = 0;
    for (int i = 0; i < 4; ++i)
      value = value << 8 | static_cast<std::uint32_t>(byte());
    return value;
  }
  std::string field() {
    const auto high = static_cast<std::size_t>(byte()), low = static_cast<std::size_t>(byte());
    const auto size = high << 8 | low;
    if (size > text_.size() - std::min(at_, text_.size())) {
      complete = false;
      return {};
    }
    at_ += size;
    return std::string(text_.substr(at_ - size, size));
  }
  bool at_end() const { return at_ == text_.size(); }
  bool complete = true;

 private:
  std::string_view text_;
  std::size_t at_ = 0;
};

}  // namespace

KeyRing::KeyRing(KeyRingOptions options) : options_(std::move(options)) {}

const KeyRing::Key& KeyRing::key(std::size_t secret, std::uint32_t period) {
  const std::pair at(secret, period);
  if (const auto found = derived_.find(at); found != derived_.end())
    return found->second;
  // Guards against tokens with old or invented periods growing the cache without bound.
  if (derived_.size() >= max_derived_keys)
    derived_.erase(derived_.begin());
  ByteWriter info;
  info.field("violettide pass");
  info.big_endian_32(period);
  return derived_.emplace(at, signing::hmac_sha256(options_.secrets[secret], info.text)).first->second;
}

std::string KeyRing::signature(std::size_t secret, std::uint32_t period, std::string_view bytes) {
  return signing::hmac_sha256(key(secret, period), bytes).substr(0, signature_bytes);
}

std::string KeyRing::sign(Duration wall_time, Claims claims) {
  const auto expires = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(wall_time + options_.lifetime).count());
  const auto period = static_cast<std::uint32_t>(wall_time / options_.key_period);
  ByteWriter writer;
  writer.byte(format_version);
  writer.big_endian_32(period);
  writer.big_endian_32(expires);
  writer.byte(claims.plan);
  writer.byte(claims.rung);
  writer.byte(claims.player);
  writer.byte(static_cast<int>(claims.scope) | (claims.off_ladder ? off_ladder_bit : 0) |
              (claims.shared_directory ? shared_directory_bit : 0));
  for (const auto* field : {&claims.title, &claims.sid, &claims.box, &claims.path})
    writer.field(*field);
  writer.text += signature(0, period, writer.text);
  return signing::base64url_encode(writer.text);
}

std::variant<Claims, InvalidToken> KeyRing::verify(Duration wall_time, std::string_view token) {
  if (token.empty() || token.size() > max_token_bytes)
    return InvalidToken{};
  const auto bytes = signing::base64url_decode(token);
  if (!bytes || bytes->size() <= signature_bytes)
    return InvalidToken{};
  const auto signed_part = std::string_view(*bytes).substr(0, bytes->size() - signature_bytes);
  const auto received = std::string_view(*bytes).substr(signed_part.size());
  ByteReader reader(signed_part);
  if (reader.byte() != format_version)
    return InvalidToken{};
  const auto period = reader.big_endian_32();
  Claims claims;
  claims.expires = std::chrono::seconds(reader.big_endian_32());
  claims.plan = reader.byte();
  claims.rung = reader.byte();
  claims.player = reader.byte();
  const int flags = reader.byte();
  claims.scope = static_cast<Claims::Scope>(flags & scope_mask);
  claims.off_ladder = flags & off_ladder_bit;
  claims.shared_directory = flags & shared_directory_bit;
  for (auto* field : {&claims.title, &claims.sid, &claims.box, &claims.path})
    *field = reader.field();
  if (!reader.complete || !reader.at_end())
    return InvalidToken{};
  bool signature_valid = false;
  for (std::size_t secret = 0; secret < options_.secrets.size(); ++secret) {
    const auto computed = signature(secret, period, signed_part);
    signature_valid = signing::equal_constant_time(computed, received) || signature_valid;
  }
  if (!signature_valid)
    return InvalidToken{TokenError::forged, std::nullopt};
  // A token that expires too late was signed by a clock that is ahead by more than the allowed skew.
  if (claims.expires > wall_time + options_.lifetime + options_.clock_skew)
    return InvalidToken{TokenError::forged, std::nullopt};
  if (wall_time > claims.expires + options_.clock_skew)
    return InvalidToken{TokenError::expired, std::move(claims)};
  return claims;
}

}  // namespace violettide::signed_url
