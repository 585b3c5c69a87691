// The protocol between video servers and the operators' platform: binary messages with a length prefix.
// Parses a byte stream with a bounded buffer and formats set-ups, tests, rungs and releases; holds no state
// of playbacks.
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

// Causes of a release, with the platform's numbers.
namespace cause {
constexpr int ended = 16;
constexpr int cancelled = 31;
constexpr int full = 34;
constexpr int reset = 41;
constexpr int rejected = 42;
constexpr int error = 47;
constexpr int invalid_message = 95;
constexpr int not_attempted = 102;
}  // namespace cause

// A parsed message. Parameters of unknown type are skipped.
struct ServerMessage {
  enum class Kind { ringing, accept, release, released, test, tested, note, other };
  Kind kind = Kind::other;
  CallId call = 0;
  std::optional<int> cause;
  std::optional<std::string> description;
  std::string note;             // the name of what a note reports
  std::optional<double> value;  // of a note
  std::optional<std::map<std::string, double>> load;
};

// Splits one connection's bytes into messages.
class ServerReader {
 public:
  // Appends the messages that are complete. Returns a description of the first malformed message, which may
  // be incomplete; the rest of the stream is then ignored.
  std::optional<std::string> feed(std::string_view bytes, std::vector<ServerMessage>& messages);
  // Whether the bytes so far end within a message.
  bool has_partial_message() const { return !partial_message_.empty(); }

 private:
  std::string partial_message_;
  bool failed_ = false;
};

// A set-up try as a server gets it.
struct SetupRequest {
  CallId call = 0;
  std::string_view plan, title, description;
  std::int64_t wait_ms = 0;  // until the manager gives up on the try
  int rung = 0;
};
// Each of these formats one message.
std::string setup_bytes(const SetupRequest& request);
std::string release_bytes(CallId call, int cause);
std::string released_bytes(CallId call);
// Asks for a load report.
std::string test_bytes(CallId call);
std::string rung_bytes(CallId call, int rung);

}  // namespace violettide::platform
