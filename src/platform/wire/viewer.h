// The protocol between viewers and the operators' platform: one JSON object per line. Parses a byte stream
// with a bounded buffer and formats answers; holds no state of playbacks.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace violettide::platform {

// Identifies a playback; 16 hex digits in viewer messages.
using CallId = std::uint64_t;
// The limit on one message, of viewers and of servers.
constexpr std::size_t max_message_bytes = 16 * 1024;

// Parses exactly 16 lower-case hex digits.
std::optional<CallId> parse_call_id(std::string_view digits);
std::string format_call_id(CallId id);
// Parses a finite decimal number of at least 0; the whole text must be the number.
std::optional<double> parse_non_negative(std::string_view text);

// A parsed message. `fields` holds the members of "with", numbers as text.
struct ViewerMessage {
  enum class Kind { offer, end, ended, test, other };
  Kind kind = Kind::other;
  CallId call = 0;
  std::map<std::string, std::string> fields;
  std::optional<int> cause;  // "why"
  std::optional<std::string> description;
};
// A malformed message: what is wrong, and the call id if that could be parsed.
struct ParseError {
  std::string message;
  std::optional<CallId> call;
};

// Splits one connection's bytes into messages.
class ViewerReader {
 public:
  // Appends the messages that are complete. After a ParseError without a call id the rest is ignored.
  void feed(std::string_view bytes, std::vector<std::variant<ParseError, ViewerMessage>>& messages);
  // Whether the bytes so far end within a message.
  bool has_partial_message() const { return !partial_line_.empty(); }

 private:
  std::string partial_line_;
  bool failed_ = false;
};

std::variant<ParseError, ViewerMessage> parse_viewer_line(std::string_view line);

// Each of these formats one message, with the line feed that ends it.
std::string accept_line(CallId call, std::string_view description);
// `wait_ms`: the time after which the viewer may retry; 0: none is given.
std::string end_line(CallId call, int cause, std::int64_t wait_ms = 0);
std::string ended_line(CallId call);
std::string tested_line(CallId call, bool passed);

}  // namespace violettide::platform
