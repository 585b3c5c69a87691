#include "platform/wire/viewer.h"

#include <nlohmann/json.hpp>
#include <set>

#include "siteterms/siteterms.h"

namespace violettide::platform {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t call_digits = 16;

// The texts come from a reader of ours or from servers, whose bytes may be no UTF-8.
std::string line_of(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

Json message(const char* op, CallId call) {
  return Json{{"op", op}, {"call", call_text(call)}, {"with", Json::object()}};
}

ViewerMessage::Kind kind_of(const std::string& op) {
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

// Guards against one name said twice, of which readers would take different ones.
class NamesSeen {
 public:
  bool twice = false;
  bool operator()(Json::parse_event_t event, const Json& parsed) {
    if (event == Json::parse_event_t::object_start)
      open_.emplace_back();
    if (event == Json::parse_event_t::object_end && !open_.empty())
      open_.pop_back();
    if (event == Json::parse_event_t::key && !open_.empty())
      twice = !open_.back().insert(parsed.get<std::string>()).second || twice;
    return true;
  }

 private:
  std::vector<std::set<std::string>> open_;
};

}  // namespace

std::optional<CallId> call_id(std::string_view digits) {
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

std::string call_text(CallId id) {
  std::string text(call_digits, '0');
  for (std::size_t i = call_digits; i-- > 0; id >>= 4)
    text[i] = "0123456789abcdef"[id & 15];
  return text;
}

std::optional<double> figure(std::string_view text) {
  const auto value = read_number<double>(text);
  return value && *value >= 0 ? value : std::nullopt;
}

std::variant<Unreadable, ViewerMessage> read_viewer_line(std::string_view line) {
  NamesSeen names;
  const Json::parser_callback_t see = [&](int, Json::parse_event_t event, Json& parsed) {
    return names(event, parsed);
  };
  const auto json = Json::parse(line.begin(), line.end(), see, false);
  if (!json.is_object())
    return Unreadable{"expected a JSON object a line", {}};
  ViewerMessage read;
  const auto call = json.find("call");
  const auto id =
      call != json.end() && call->is_string() ? call_id(call->get_ref<const std::string&>()) : std::nullopt;
  if (!id)
    return Unreadable{"call: expected 16 hex digits", {}};
  read.call = *id;
  if (names.twice)
    return Unreadable{"a name is said twice", id};
  const auto op = json.find("op");
  if (op == json.end() || !op->is_string())
    return Unreadable{"op: expected a message's type", id};
  read.kind = kind_of(op->get_ref<const std::string&>());
  if (const auto with = json.find("with"); with != json.end()) {
    if (!with->is_object())
      return Unreadable{"with: expected an object", id};
    for (const auto& [name, value] : with->items()) {
      if (value.is_string())
        read.fields[name] = value.get<std::string>();
      else if (value.is_number())
        read.fields[name] = value.dump();
      else
        return Unreadable{"with." + name + ": expected a text or a number", id};
    }
  }
  if (const auto why = json.find("why"); why != json.end()) {
    if (!why->is_number_integer())
      return Unreadable{"why: expected a whole number", id};
    read.why = static_cast<int>(why->get<std::int64_t>());
  }
  if (const auto text = json.find("desc"); text != json.end()) {
    if (!text->is_string())
      return Unreadable{"desc: expected a text", id};
    read.description = text->get<std::string>();
  }
  return read;
}

void ViewerReader::take(std::string_view bytes,
                        std::vector<std::variant<Unreadable, ViewerMessage>>& messages) {
  while (!lost_ && !bytes.empty()) {
    const auto cut = bytes.find('\n');
    const auto part = bytes.substr(0, cut);
    // Guards against lines that never end.
    if (held_.size() + part.size() > message_most) {
      lost_ = true;
      held_.clear();
      held_.shrink_to_fit();
      messages.push_back(Unreadable{"a message is longer than allowed", {}});
      return;
    }
    if (cut == std::string_view::npos) {
      held_ += part;
      return;
    }
    bytes.remove_prefix(cut + 1);
    held_ += part;
    if (!held_.empty() && held_ != "\r") {
      auto read = read_viewer_line(held_);
      const auto* unreadable = std::get_if<Unreadable>(&read);
      lost_ = unreadable && !unreadable->call;
      messages.push_back(std::move(read));
    }
    held_.clear();
  }
}

std::string accept_line(CallId call, std::string_view description) {
  auto json = message("accept", call);
  json["desc"] = description;
  return line_of(json);
}

std::string end_line(CallId call, int why, std::int64_t wait_ms) {
  auto json = message("end", call);
  if (wait_ms > 0)
    json["with"]["wait"] = std::to_string(wait_ms);
  json["why"] = why;
  return line_of(json);
}

std::string ended_line(CallId call) { return line_of(message("ended", call)); }

std::string tested_line(CallId call, bool passed) {
  auto json = message("tested", call);
  json["why"] = passed ? 1 : 0;
  return line_of(json);
}

}  // namespace violettide::platform
