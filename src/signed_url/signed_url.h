// Signed URLs: an address names a rendition of a playback so that it can't be forged or moved to another
// title or rung, and any front with the same secret recognizes the playback. Signing keys are derived from
// the secret for each period; a token contains its period and its expiry.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace violettide::signed_url {

using Duration = std::chrono::microseconds;

// What a token grants.
struct Claims {
  enum class Scope : std::uint8_t {
    rendition,    // `path` is its media playlist; the files in the same directory are included
    resource,     // `path` alone
    steering,     // the steering manifest of this playback
    multivariant  // `path` is its multivariant playlist, for a reload by the same player
  };
  Scope scope = Scope::rendition;
  bool shared_directory = false;  // the rendition's directory has other media too and is not included
  bool off_ladder = false;        // the rung does not follow the ladder: audio, subtitles
  int plan = 0;
  int rung = 0;
  int player = 0;  // which player of the playback
  std::string title;
  std::string sid;
  std::string box;      // the video server that the playback was placed on when the token was signed
  std::string path;     // path and query at the video server
  Duration expires{0};  // wall-clock time, in whole seconds

  bool operator==(const Claims&) const = default;
};

// Why a token was refused.
enum class TokenError {
  malformed,  // not a token
  forged,     // not signed with a known secret
  expired     // signed, but too old
};
// A token that was refused.
struct InvalidToken {
  TokenError error = TokenError::malformed;
  std::optional<Claims> claims;  // only of an expired token
};

// The secrets and times of a key ring.
struct KeyRingOptions {
  std::vector<std::string> secrets;       // at least one; the first one signs, all verify
  Duration key_period{3600'000'000};      // a key is derived for each period
  Duration lifetime{6 * 3600'000'000ll};  // of a token
  Duration clock_skew{60'000'000};        // maximum difference between the clocks of fronts
};

// Signs and verifies tokens; secrets can be rotated by listing several.
class KeyRing {
 public:
  explicit KeyRing(KeyRingOptions options);
  // Returns the token of the claims, which expires a lifetime after `wall_time`.
  std::string sign(Duration wall_time, Claims claims);
  // Returns the claims of a token that was signed with one of the secrets and has not expired.
  std::variant<Claims, InvalidToken> verify(Duration wall_time, std::string_view token);

 private:
  using Key = std::string;
  const Key& key(std::size_t secret, std::uint32_t period);
  std::string signature(std::size_t secret, std::uint32_t period, std::string_view bytes);

  KeyRingOptions options_;
  std::map<std::pair<std::size_t, std::uint32_t>, Key> derived_;
};

}  // namespace violettide::signed_url
