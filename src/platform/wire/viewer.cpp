#include "platform/wire/viewer.h"

#include <nlohmann/json.hpp>
#include <set>

#include "platform_settings/platform_settings.h"

namespace violettide::platform {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t call_digits = 16;

// Formats one line. Texts from servers may be invalid UTF-8, which is replaced.
std::string format_line(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

Json make_message(const char* op, CallId call) {
  return Json{{"op", op}, {"call", format_call_id(call)}, {"with", Json::object()}};
}

ViewerMessage::Kind parse_kind(const std::string& op) {
  if (op == "offer")
    return ViewerMessage::Kind::offer;
  if (op == "end")
    return ViewerMessage::Kind::end;
  if (op == "ended")
    return ViewerMessage::Kind::ended;
  if (op == "test")
    return ViewerMessage::Kind::test;
  return ViewerMessage::Kind::other;
}

// Detects duplicate names in an object. Guards against parsers that disagree about which value counts.
class DuplicateNameDetector {
 public:
  bool found = false;
  bool operator()(Json::parse_event_t event, const Json& parsed) {
    if (event == Json::parse_event_t::object_start)
      open_objects_.emplace_back();
    if (event == Json::parse_event_t::object_end && !open_objects_.empty())
      open_objects_.pop_back();
    if (event == Json::parse_event_t::key && !open_objects_.empty())
      found = !open_objects_.back().insert(parsed.get<std::string>()).second || found;
    return true;
  }

 private:
  std::vector<std::set<std::string>> open_objects_;
};

}  // namespace

std::optional<CallId> parse_call_id(std::string_view digits) {
  if (digits.size() != call_digits)
    return std::nullopt;
  CallId id = 0;
  for (const char c : digits) {
    const bool decimal = c >= '0' && c <= '9';
    if (!decimal && !(c >= 'a' && c <= 'f'))
      return std::nullopt;
    id = id << 4 | static_cast<CallId>(decimal ? c - '0' : c - 'a' + 10);
  }
  return id;
}

std::string format_call_id(CallId id) {
  std::string text(call_digits, '0');
  for (std::size_t i = call_digits; i-- > 0; id >>= 4)
    text[i] = "0123456789abcdef"[id & 15];
  return text;
}

std::optional<double> parse_non_negative(std::string_view text) {
  const auto value = parse_number<double>(text);
  return value && *value >= 0 ? value : std::nullopt;
}

std::variant<ParseError, ViewerMessage> parse_viewer_line(std::string_view line) {
  DuplicateNameDetector duplicates;
  const Json::parser_callback_t callback = [&](int, Json::parse_event_t event, Json& parsed) {
    return duplicates(event, parsed);
  };
  const auto json = Json::parse(line.begin(), line.end(), callback, false);
  if (!json.is_object())
    return ParseError{"expected one JSON object per line", {}};
  ViewerMessage message;
  const auto call = json.find("call");
  const auto id = call != json.end() && call->is_string() ? parse_call_id(call->get_ref<const std::string&>())
                                                          : std::nullopt;
  if (!id)
    return ParseError{"call: expected 16 hex digits", {}};
  message.call = *id;
  if (duplicates.found)
    return ParseError{"duplicate name", id};
  const auto op = json.find("op");
  if (op == json.end() || !op->is_string())
    return ParseError{"op: expected a message type", id};
  message.kind = parse_kind(op->get_ref<const std::string&>());
  if (const auto with = json.find("with"); with != json.end()) {
    if (!with->is_object())
      return ParseError{"with: expected an object", id};
    for (const auto& [name, value] : with->items()) {
      if (value.is_string())
        message.fields[name] = value.get<std::string>();
      else if (value.is_number())
        message.fields[name] = value.dump();
      else
        return ParseError{"with." + name + ": expected a string or a number", id};
    }
  }
  if (const auto cause = json.find("why"); cause != json.end()) {
    if (!cause->is_number_integer())
      return ParseError{"why: expected an integer", id};
    message.cause = static_cast<int>(cause->get<std::int64_t>());
  }
  if (const auto text = json.find("desc"); text != json.end()) {
    if (!text->is_string())
      return ParseError{"desc: expected a string", id};
    message.description = text->get<std::string>();
  }
  return message;
}

void ViewerReader::feed(std::string_view bytes,
                        std::vector<std::variant<ParseError, ViewerMessage>>& messages) {
  while (!failed_ && !bytes.empty()) {
    const auto line_end = bytes.find('\n');
    const auto piece = bytes.substr(0, line_end);
    // Guards against unbounded memory use by a line that never ends.
    if (partial_line_.size() + piece.size() > max_message_bytes) {
      failed_ = true;
      partial_line_.clear();
      partial_line_.shrink_to_fit();
      messages.push_back(ParseError{"a message is too long", {}});
      return;
    }
    if (line_end == std::string_view::npos) {
      partial_line_ += piece;
      return;
    }
    bytes.remove_prefix(line_end + 1);
    partial_line_ += piece;
    if (!partial_line_.empty() && partial_line_ != "\r") {
      auto message = parse_viewer_line(partial_line_);
      const auto* error = std::get_if<ParseError>(&message);
      failed_ = error && !error->call;
      messages.push_back(std::move(message));
    }
    partial_line_.clear();
  }
}

std::string accept_line(CallId call, std::string_view description) {
  auto json = make_message("accept", call);
  json["desc"] = description;
  return format_line(json);
}

std::string end_line(CallId call, int cause, std::int64_t wait_ms) {
  auto json = make_message("end", call);
  if (wait_ms > 0)
    json["with"]["wait"] = std::to_string(wait_ms);
  json["why"] = cause;
  return format_line(json);
}

std::string ended_line(CallId call) { return format_line(make_message("ended", call)); }

std::string tested_line(CallId call, bool passed) {
  auto json = make_message("tested", call);
  json["why"] = passed ? 1 : 0;
  return format_line(json);
}

}  // namespace violettide::platform
