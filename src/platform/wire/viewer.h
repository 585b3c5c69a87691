// The viewers' side of the platform: a JSON object a line. Reads what comes in any cutting, within
// bounds, and writes answers; knows nothing of playbacks.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace violettide::platform {

using CallId = std::uint64_t;  // 16 hex digits on the wire
constexpr std::size_t message_most = 16 * 1024;

std::optional<CallId> call_id(std::string_view digits);
std::string call_text(CallId id);
// A figure written plainly, whole, finite and not below 0.
std::optional<double> figure(std::string_view text);

struct ViewerMessage {
  enum class Kind { offer, end, ended, test, other };
  Kind kind = Kind::other;
  CallId call = 0;
  std::map<std::string, std::string> fields;
  std::optional<int> why;
  std::optional<std::string> description;
};
// What can't be read: why, and the id where that much could be.
struct Unreadable {
  std::string cause;
  std::optional<CallId> call;
};

class ViewerReader {
 public:
  // Appends what has come whole. After an Unreadable without an id nothing more is read.
  void take(std::string_view bytes, std::vector<std::variant<Unreadable, ViewerMessage>>& messages);
  bool midway() const { return !held_.empty(); }  // in a message

 private:
  std::string held_;
  bool lost_ = false;
};

std::variant<Unreadable, ViewerMessage> read_viewer_line(std::string_view line);

std::string accept_line(CallId call, std::string_view description);
// `wait_ms`: how long to stay away; 0: not said.
std::string end_line(CallId call, int why, std::int64_t wait_ms = 0);
std::string ended_line(CallId call);
std::string tested_line(CallId call, bool passed);

}  // namespace violettide::platform
