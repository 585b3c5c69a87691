// Signed addresses: a playback's rendition, named so that nobody can make one up or move it to another
// title or rung, and so that any manager with the same secret knows the playback again. Keys are derived
// from the secret for each period; a pass says its period and when it expires.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace violettide::passes {

using Duration = std::chrono::microseconds;

struct Pass {
  enum class Names : std::uint8_t {
    rendition,  // `place` is its media playlist; what lies in the same directory goes with it
    resource,   // `place` is one thing alone
    steering,   // this playback's steering manifest
    lists       // `place` is its multivariant playlist, to be read again by the same player
  };
  Names names = Names::rendition;
  bool flat = false;    // of a rendition: its directory holds others' media too, and does not go with it
  bool steady = false;  // the rung does not follow the ladder: audio, subtitles
  int plan = 0;
  int rung = 0;
  int reader = 0;  // which player of the playback
  std::string title;
  std::string sid;
  std::string box;      // where it was placed when the pass was given out
  std::string place;    // path and query at the box
  Duration expires{0};  // by the machine's clock, in whole seconds

  bool operator==(const Pass&) const = default;
};

enum class Refusal {
  malformed,  // no pass at all
  forged,     // not signed by a secret in force
  expired     // signed, but too old
};
struct Refused {
  Refusal why = Refusal::malformed;
  std::optional<Pass> pass;  // of one that is only expired
};

struct PassTerms {
  std::vector<std::string> secrets;  // the first signs, all are accepted; one at least
  Duration period{3600'000'000};     // of each derived key
  Duration lifetime{6 * 3600'000'000ll};
  Duration skew{60'000'000};  // clocks of managers may differ by so much
};

class KeyRing {
 public:
  explicit KeyRing(PassTerms terms);
  // `wall`: the machine's clock. Expires a lifetime later.
  std::string write(Duration wall, Pass pass);
  std::variant<Pass, Refused> read(Duration wall, std::string_view token);

 private:
  using Key = std::string;
  const Key& key(std::size_t secret, std::uint32_t period);
  std::string signature(std::size_t secret, std::uint32_t period, std::string_view bytes);

  PassTerms terms_;
  std::map<std::pair<std::size_t, std::uint32_t>, Key> derived_;
};

}  // namespace violettide::passes
