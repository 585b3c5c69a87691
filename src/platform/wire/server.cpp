#include "platform/wire/server.h"

#include "siteterms/siteterms.h"

namespace violettide::platform {

namespace {

constexpr std::size_t head = 1 + 8;  // a type and an id
enum Type : std::uint8_t {
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
enum Code : std::uint8_t {
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

std::uint8_t byte(char c) { return static_cast<std::uint8_t>(c); }
std::size_t length_at(std::string_view bytes) {
  return static_cast<std::size_t>(byte(bytes[0])) << 8 | byte(bytes[1]);
}
void put_length(std::string& to, std::size_t length) {
  to += static_cast<char>(length >> 8);
  to += static_cast<char>(length & 255);
}

class Message {
 public:
  Message(Type type, CallId call) {
    put_length(bytes_, 0);
    bytes_ += static_cast<char>(type);
    for (int shift = 56; shift >= 0; shift -= 8)
      bytes_ += static_cast<char>(call >> shift & 255);
  }
  Message& with(Code code, std::string_view value) {
    bytes_ += static_cast<char>(code);
    put_length(bytes_, value.size());
    bytes_ += value;
    return *this;
  }
  Message& because(int cause) { return with(cause_code, std::string(1, static_cast<char>(cause))); }
  std::string bytes() {
    const auto length = bytes_.size() - 2;
    bytes_[0] = static_cast<char>(length >> 8);
    bytes_[1] = static_cast<char>(length & 255);
    return std::move(bytes_);
  }

 private:
  std::string bytes_;
};

ServerMessage::Kind kind_of(std::uint8_t type) {
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

std::optional<std::string> read(std::string_view body, ServerMessage& message) {
  message.kind = kind_of(byte(body[0]));
  for (std::size_t i = 1; i < head; ++i)
    message.call = message.call << 8 | byte(body[i]);
  body.remove_prefix(head);
  while (!body.empty()) {
    if (body.size() < 3)
      return "a parameter breaks off";
    const auto code = byte(body[0]);
    const auto length = length_at(body.substr(1));
    body.remove_prefix(3);
    if (body.size() < length)
      return "a parameter is longer than its message";
    const auto value = body.substr(0, length);
    body.remove_prefix(length);
    if (code == cause_code) {
      if (length != 1)
        return "a cause is not of one byte";
      message.cause = byte(value[0]);
    } else if (code == description_code) {
      message.description = std::string(value);
    } else if (code == note_code) {
      message.note = std::string(value);
    } else if (code == value_code) {
      message.value = read_number<double>(value);
      if (!message.value)
        return "a figure is none";
    } else if (code == load_code) {
      if (!read_figures(value, ';', message.load.emplace()))
        return "a load report is none";
    }
  }
  using Kind = ServerMessage::Kind;
  if (message.kind == Kind::accept && !message.description)
    return "an answer has no description";
  if (message.kind == Kind::release && !message.cause)
    return "a release has no cause";
  if (message.kind == Kind::other)
    return "a message is of no known type";
  return std::nullopt;
}

}  // namespace

std::optional<std::string> ServerReader::take(std::string_view bytes, std::vector<ServerMessage>& messages) {
  if (lost_)
    return std::nullopt;
  held_ += bytes;
  std::size_t at = 0;
  const auto lost = [&](std::string why) {
    lost_ = true;
    held_.clear();
    held_.shrink_to_fit();
    return std::optional<std::string>(std::move(why));
  };
  while (held_.size() - at >= 2) {
    const auto length = length_at(std::string_view(held_).substr(at));
    if (length < head || length > message_most)
      return lost("a message has an impossible length");
    if (held_.size() - at < 2 + length)
      break;
    ServerMessage message;
    if (auto why = read(std::string_view(held_).substr(at + 2, length), message))
      return lost(*why);
    messages.push_back(std::move(message));
    at += 2 + length;
  }
  held_.erase(0, at);
  return std::nullopt;
}

std::string set_up_bytes(const SetUpWords& words) {
  return Message(set_up, words.call)
      .with(plan_code, words.plan)
      .with(title_code, words.title)
      .with(wait_code, std::to_string(words.wait_ms))
      .with(rung_code, std::to_string(words.rung))
      .with(description_code, words.description)
      .bytes();
}

std::string release_bytes(CallId call, int cause) { return Message(release, call).because(cause).bytes(); }
std::string released_bytes(CallId call) { return Message(released, call).bytes(); }
// A test with cause 0 asks for a sign alone; one with cause 1 is answered with a load report.
std::string test_bytes(CallId call) { return Message(test, call).because(1).bytes(); }
std::string rung_bytes(CallId call, int rung) {
  return Message(Type::rung, call).with(rung_code, std::to_string(rung)).bytes();
}

}  // namespace violettide::platform
