#include "platform/wire/server.h"

#include <algorithm>

#include "platform_settings/platform_settings.h"

namespace violettide::platform {

namespace {

constexpr std::size_t length_bytes = 2;
constexpr std::size_t header_bytes = 1 + 8;            // type and call id
constexpr std::size_t parameter_header_bytes = 1 + 2;  // type and length
// The length of a message begins with a byte up to this, and no parameter has such a type: where one seems
// to, the stated length of the message reaches into the next one.
constexpr std::size_t max_first_length_byte = max_message_bytes >> 8;
// Message types, with the platform's numbers.
enum MessageType : std::uint8_t {
  set_up = 1,
  ringing = 6,
  accept = 9,
  release = 12,
  released = 16,
  note = 44,
  test = 52,
  tested = 53,
  rung = 60
};
// Parameter types, with the platform's numbers.
enum ParameterCode : std::uint8_t {
  plan_code = 129,
  wait_code = 132,
  title_code = 141,
  note_code = 150,
  load_code = 156,
  rung_code = 162,
  value_code = 165,
  cause_code = 171,
  description_code = 174
};

std::uint8_t to_byte(char c) { return static_cast<std::uint8_t>(c); }
std::size_t read_length(std::string_view bytes) {
  return static_cast<std::size_t>(to_byte(bytes[0])) << 8 | to_byte(bytes[1]);
}
void append_length(std::string& to, std::size_t length) {
  to += static_cast<char>(length >> 8);
  to += static_cast<char>(length & 255);
}

// Builds one message and fills in its length at the end.
class MessageBuilder {
 public:
  MessageBuilder(MessageType type, CallId call) {
    append_length(bytes_, 0);
    bytes_ += static_cast<char>(type);
    for (int shift = 56; shift >= 0; shift -= 8)
      bytes_ += static_cast<char>(call >> shift & 255);
  }
  MessageBuilder& with(ParameterCode code, std::string_view value) {
    bytes_ += static_cast<char>(code);
    append_length(bytes_, value.size());
    bytes_ += value;
    return *this;
  }
  MessageBuilder& with_cause(int cause) { return with(cause_code, std::string(1, static_cast<char>(cause))); }
  std::string bytes() {
    const auto length = bytes_.size() - 2;
    bytes_[0] = static_cast<char>(length >> 8);
    bytes_[1] = static_cast<char>(length & 255);
    return std::move(bytes_);
  }

 private:
  std::string bytes_;
};

ServerMessage::Kind kind_of_type(std::uint8_t type) {
  switch (type) {
    case ringing:
      return ServerMessage::Kind::ringing;
    case accept:
      return ServerMessage::Kind::accept;
    case release:
      return ServerMessage::Kind::release;
    case released:
      return ServerMessage::Kind::released;
    case note:
      return ServerMessage::Kind::note;
    case test:
      return ServerMessage::Kind::test;
    case tested:
      return ServerMessage::Kind::tested;
    default:
      return ServerMessage::Kind::other;
  }
}

// Returns what is wrong with the framing of a message, as far as it has been received. `received`: its bytes
// without the length; `length`: how many they will be.
std::optional<std::string> find_framing_error(std::string_view received, std::size_t length) {
  if (!received.empty() && kind_of_type(to_byte(received[0])) == ServerMessage::Kind::other)
    return "unknown message type";
  for (auto offset = header_bytes; offset < std::min(length, received.size());) {
    if (to_byte(received[offset]) <= max_first_length_byte)
      return "the length reaches into the next message";
    if (length - offset < parameter_header_bytes)
      return "a parameter is truncated";
    if (received.size() - offset < parameter_header_bytes)
      break;
    offset += parameter_header_bytes + read_length(received.substr(offset + 1));
    if (offset > length)
      return "a parameter is longer than its message";
  }
  return std::nullopt;
}

// Parses one message without its length, whose framing is valid. Returns what is wrong with a malformed one.
std::optional<std::string> parse_message(std::string_view body, ServerMessage& message) {
  message.kind = kind_of_type(to_byte(body[0]));
  for (std::size_t i = 1; i < header_bytes; ++i)
    message.call = message.call << 8 | to_byte(body[i]);
  body.remove_prefix(header_bytes);
  while (!body.empty()) {
    const auto code = to_byte(body[0]);
    const auto length = read_length(body.substr(1));
    body.remove_prefix(parameter_header_bytes);
    const auto value = body.substr(0, length);
    body.remove_prefix(length);
    if (code == cause_code) {
      if (length != 1)
        return "a cause is not one byte long";
      message.cause = to_byte(value[0]);
    } else if (code == description_code) {
      message.description = std::string(value);
    } else if (code == note_code) {
      message.note = std::string(value);
    } else if (code == value_code) {
      message.value = parse_number<double>(value);
      if (!message.value)
        return "a value is not a number";
    } else if (code == load_code) {
      if (!parse_named_numbers(value, ';', message.load.emplace()))
        return "a load report is malformed";
    }
  }
  using Kind = ServerMessage::Kind;
  if (message.kind == Kind::accept && !message.description)
    return "an answer has no description";
  if (message.kind == Kind::release && !message.cause)
    return "a release has no cause";
  return std::nullopt;
}

}  // namespace

std::optional<std::string> ServerReader::feed(std::string_view bytes, std::vector<ServerMessage>& messages) {
  if (failed_)
    return std::nullopt;
  partial_message_ += bytes;
  std::size_t offset = 0;
  const auto fail = [&](std::string error) {
    failed_ = true;
    partial_message_.clear();
    partial_message_.shrink_to_fit();
    return std::optional<std::string>(std::move(error));
  };
  while (partial_message_.size() - offset >= length_bytes) {
    const auto rest = std::string_view(partial_message_).substr(offset);
    const auto length = read_length(rest);
    if (length < header_bytes || length > max_message_bytes)
      return fail("message length out of range");
    const auto received = rest.substr(length_bytes, length);
    if (auto error = find_framing_error(received, length))
      return fail(*error);
    if (received.size() < length)
      break;
    ServerMessage message;
    if (auto error = parse_message(received, message))
      return fail(*error);
    messages.push_back(std::move(message));
    offset += length_bytes + length;
  }
  partial_message_.erase(0, offset);
  return std::nullopt;
}

std::string setup_bytes(const SetupRequest& request) {
  return MessageBuilder(set_up, request.call)
      .with(plan_code, request.plan)
      .with(title_code, request.title)
      .with(wait_code, std::to_string(request.wait_ms))
      .with(rung_code, std::to_string(request.rung))
      .with(description_code, request.description)
      .bytes();
}

std::string release_bytes(CallId call, int cause) {
  return MessageBuilder(release, call).with_cause(cause).bytes();
}
std::string released_bytes(CallId call) { return MessageBuilder(released, call).bytes(); }
// Cause 1 asks for a load report; cause 0 would ask only for a sign of life.
std::string test_bytes(CallId call) { return MessageBuilder(test, call).with_cause(1).bytes(); }
std::string rung_bytes(CallId call, int rung) {
  return MessageBuilder(MessageType::rung, call).with(rung_code, std::to_string(rung)).bytes();
}

}  // namespace violettide::platform
