#include <algorithm>

#include "signed_url/signed_url.h"
#include "signing/signing.h"

namespace violettide::passes {

namespace {

constexpr char form = 1;  // of the bytes below
constexpr std::size_t signature_bytes = 16;
constexpr std::size_t most_token = 1024;
constexpr int names_bits = 3, steady_bit = 4, flat_bit = 8;
constexpr std::size_t most_keys = 64;  // derived, kept

class Put {
 public:
  void byte(int value) { text += static_cast<char>(value); }
  void four(std::uint32_t value) {
    for (int shift = 24; shift >= 0; shift -= 8)
      byte(static_cast<int>(value >> shift & 0xff));
  }
  void part(std::string_view value) {
    byte(static_cast<int>(value.size() >> 8 & 0xff));
    byte(static_cast<int>(value.size() & 0xff));
    text += value;
  }
  std::string text;
};

class Take {
 public:
  explicit Take(std::string_view text) : text_(text) {}
  int byte() {
    if (at_ >= text_.size()) {
      whole = false;
      return 0;
    }
    return static_cast<unsigned char>(text_[at_++]);
  }
  std::uint32_t four() {
    std::uint32_t value = 0;
    for (int i = 0; i < 4; ++i)
      value = value << 8 | static_cast<std::uint32_t>(byte());
    return value;
  }
  std::string part() {
    const auto high = static_cast<std::size_t>(byte()), low = static_cast<std::size_t>(byte());
    const auto size = high << 8 | low;
    if (size > text_.size() - std::min(at_, text_.size())) {
      whole = false;
      return {};
    }
    at_ += size;
    return std::string(text_.substr(at_ - size, size));
  }
  bool at_end() const { return at_ == text_.size(); }
  bool whole = true;

 private:
  std::string_view text_;
  std::size_t at_ = 0;
};

}  // namespace

KeyRing::KeyRing(PassTerms terms) : terms_(std::move(terms)) {}

const KeyRing::Key& KeyRing::key(std::size_t secret, std::uint32_t period) {
  const std::pair at(secret, period);
  if (const auto found = derived_.find(at); found != derived_.end())
    return found->second;
  // Guards against old periods, or made-up ones, gathering keys without end.
  if (derived_.size() >= most_keys)
    derived_.erase(derived_.begin());
  Put info;
  info.part("violettide pass");
  info.four(period);
  return derived_.emplace(at, signing::hmac(terms_.secrets[secret], info.text)).first->second;
}

std::string KeyRing::signature(std::size_t secret, std::uint32_t period, std::string_view bytes) {
  return signing::hmac(key(secret, period), bytes).substr(0, signature_bytes);
}

std::string KeyRing::write(Duration wall, Pass pass) {
  const auto expires = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(wall + terms_.lifetime).count());
  const auto period = static_cast<std::uint32_t>(wall / terms_.period);
  Put put;
  put.byte(form);
  put.four(period);
  put.four(expires);
  put.byte(pass.plan);
  put.byte(pass.rung);
  put.byte(pass.reader);
  put.byte(static_cast<int>(pass.names) | (pass.steady ? steady_bit : 0) | (pass.flat ? flat_bit : 0));
  for (const auto* part : {&pass.title, &pass.sid, &pass.box, &pass.place})
    put.part(*part);
  put.text += signature(0, period, put.text);
  return signing::base64url(put.text);
}

std::variant<Pass, Refused> KeyRing::read(Duration wall, std::string_view token) {
  if (token.empty() || token.size() > most_token)
    return Refused{};
  const auto bytes = signing::from_base64url(token);
  if (!bytes || bytes->size() <= signature_bytes)
    return Refused{};
  const auto signed_part = std::string_view(*bytes).substr(0, bytes->size() - signature_bytes);
  const auto told = std::string_view(*bytes).substr(signed_part.size());
  Take take(signed_part);
  if (take.byte() != form)
    return Refused{};
  const auto period = take.four();
  Pass pass;
  pass.expires = std::chrono::seconds(take.four());
  pass.plan = take.byte();
  pass.rung = take.byte();
  pass.reader = take.byte();
  const int what = take.byte();
  pass.names = static_cast<Pass::Names>(what & names_bits);
  pass.steady = what & steady_bit;
  pass.flat = what & flat_bit;
  for (auto* part : {&pass.title, &pass.sid, &pass.box, &pass.place})
    *part = take.part();
  if (!take.whole || !take.at_end())
    return Refused{};
  bool known = false;
  for (std::size_t secret = 0; secret < terms_.secrets.size(); ++secret) {
    const auto own = signature(secret, period, signed_part);
    known = signing::same(own, told) || known;
  }
  if (!known)
    return Refused{Refusal::forged, std::nullopt};
  // One from the future was signed by a clock that is further off than is allowed.
  if (pass.expires > wall + terms_.lifetime + terms_.skew)
    return Refused{Refusal::forged, std::nullopt};
  if (wall > pass.expires + terms_.skew)
    return Refused{Refusal::expired, std::move(pass)};
  return pass;
}

}  // namespace violettide::passes
