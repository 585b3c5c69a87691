// The video servers' side of the platform: binary messages, a length first. Reads what comes in any
// cutting, within bounds, and writes set-ups, tests, rungs and releases; knows nothing of playbacks.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "platform/wire/viewer.h"

namespace violettide::platform {

// Causes of a release, as the platform numbers them.
namespace cause {
constexpr int ended = 16;
constexpr int cancelled = 31;
constexpr int full = 34;
constexpr int reset = 41;
constexpr int rejected = 42;
constexpr int error = 47;
constexpr int unusable = 95;
constexpr int moot = 102;
}  // namespace cause

struct ServerMessage {
  enum class Kind { ringing, accept, release, released, test, tested, note, other };
  Kind kind = Kind::other;
  CallId call = 0;
  std::optional<int> cause;
  std::optional<std::string> description;
  std::string note;  // its name
  std::optional<double> value;
  std::optional<std::map<std::string, double>> load;
};

class ServerReader {
 public:
  // Appends what has come whole; why not, if something can't be read: then nothing more is.
  std::optional<std::string> take(std::string_view bytes, std::vector<ServerMessage>& messages);

 private:
  std::string held_;
  bool lost_ = false;
};

struct SetUpWords {
  CallId call = 0;
  std::string_view plan, title, description;
  std::int64_t wait_ms = 0;
  int rung = 0;
};
std::string set_up_bytes(const SetUpWords& words);
std::string release_bytes(CallId call, int cause);
std::string released_bytes(CallId call);
std::string test_bytes(CallId call);
std::string rung_bytes(CallId call, int rung);

}  // namespace violettide::platform
