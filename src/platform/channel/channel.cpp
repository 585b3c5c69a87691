#include "platform/channel/channel.h"

#include <cmath>
#include <nlohmann/json.hpp>

#include "siteterms/siteterms.h"

namespace violettide::platform {

namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr std::size_t line_most = 4 * 1024 * 1024;  // a whole list of many thousand servers
constexpr Duration first_backoff{200ms};
constexpr Duration longest_backoff{500ms};  // what is told is owed within seconds of its being back
constexpr Duration dial_limit{1s};
constexpr Duration silence_limit{1600ms};  // its word comes every second

std::optional<ServerState> standing_of(const std::string& status) {
  if (status == "Ready")
    return ServerState::ready;
  if (status == "Terminating")
    return ServerState::draining;
  if (status == "Gone")
    return ServerState::gone;
  return std::nullopt;
}

template <typename Value>
std::optional<Value> get(const Json& json, const char* name) {
  const auto found = json.find(name);
  if (found == json.end())
    return std::nullopt;
  if constexpr (std::is_same_v<Value, std::string>) {
    if (!found->is_string())
      return std::nullopt;
  } else if constexpr (std::is_same_v<Value, bool>) {
    if (!found->is_boolean())
      return std::nullopt;
  } else {
    if (!found->is_number())
      return std::nullopt;
    if (std::is_integral_v<Value> && !found->is_number_integer()) {
      const auto value = found->get<double>();
      if (!std::isfinite(value) || std::abs(value) > 9e15)
        return std::nullopt;
      return static_cast<Value>(value);
    }
  }
  return found->get<Value>();
}

std::optional<ListedServer> server_of(const Json& json) {
  if (!json.is_object())
    return std::nullopt;
  ListedServer server;
  const auto name = get<std::string>(json, "name");
  const auto status = standing_of(get<std::string>(json, "status").value_or(""));
  if (!name || name->empty() || !status)
    return std::nullopt;
  server.name = *name;
  server.state = *status;
  const auto place = read_place(get<std::string>(json, "address").value_or(""));
  if (!place && *status != ServerState::gone)
    return std::nullopt;  // one that is gone needs no place
  if (place)
    server.place = *place;
  server.hall = get<std::string>(json, "zone").value_or("");
  server.kind = get<std::string>(json, "type").value_or("");
  server.cell = static_cast<int>(get<std::int64_t>(json, "group").value_or(0));
  server.weight = get<double>(json, "weight").value_or(1);
  server.started_ms = get<std::int64_t>(json, "since_ms").value_or(0);
  return server;
}

// An event's number and what it brings; nothing if it is none.
std::optional<std::pair<std::int64_t, ListNews>> event_of(const Json& json) {
  if (!json.is_object())
    return std::nullopt;
  const auto number = get<std::int64_t>(json, "cursor");
  if (!number)
    return std::nullopt;
  ListNews news;
  const auto nodes = json.find("nodes");
  if (nodes == json.end())
    return std::pair(*number, news);
  if (!nodes->is_object())
    return std::nullopt;
  news.whole = get<bool>(*nodes, "snapshot").value_or(false);
  const auto list = nodes->find("endpoints");
  if (list == nodes->end() || !list->is_array())
    return std::nullopt;
  for (const auto& entry : *list) {
    auto server = server_of(entry);
    if (!server)
      return std::nullopt;
    news.servers.push_back(std::move(*server));
  }
  return std::pair(*number, std::move(news));
}

}  // namespace

std::optional<Place> read_place(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0)
    return std::nullopt;
  const auto port = read_number<std::uint16_t>(text.substr(colon + 1));
  if (!port || *port == 0)
    return std::nullopt;
  return Place{std::string(text.substr(0, colon)), *port};
}

Channel::Channel(std::uint64_t seed)
    : chance_(static_cast<std::minstd_rand::result_type>(seed % std::minstd_rand::modulus)) {}

std::vector<ListNews> Channel::take_known(std::string_view text) {
  std::vector<ListNews> news;
  const auto json = Json::parse(text.begin(), text.end(), nullptr, false);
  if (!json.is_object())
    return news;
  const auto events = json.find("cmds");
  if (events != json.end() && events->is_array()) {
    for (const auto& one : *events) {
      auto event = event_of(one);
      if (!event || event->first <= last_)
        continue;
      last_ = event->first;
      news.push_back(std::move(event->second));
    }
  }
  return news;
}

void Channel::connect_to(std::optional<Place> place) {
  if (place == place_)
    return;
  place_ = std::move(place);
  if (state_ != State::away)
    give_up("its address is another now");
  look_at_ = Duration(0);
  in_vain_ = 0;
}

Channel::Wish Channel::wish(Duration now) {
  if (!place_)
    return look_at_ = Duration::max(), Wish::none;
  if (state_ == State::away) {
    if (now < look_at_)
      return Wish::none;
    return Wish::dial;
  }
  if (state_ == State::dialling && now - heard_at_ > dial_limit)
    give_up("it did not come up");
  // Guards against a channel that stops while its connection stays open.
  if (state_ == State::following && now - heard_at_ > silence_limit)
    give_up("it fell silent");
  if (useless_)
    return Wish::hang;
  look_at_ = heard_at_ + (state_ == State::dialling ? dial_limit : silence_limit) + 1ms;
  return Wish::none;
}

void Channel::dialled(Duration now) {
  state_ = State::dialling;
  useless_ = false;
  held_.clear();
  heard_at_ = now;
  look_at_ = now + dial_limit + 1ms;
}

std::string Channel::connected(Duration now) {
  state_ = State::following;
  heard_at_ = now;
  return "resume " + std::to_string(last_) + "\n";
}

void Channel::ended(Duration now) {
  state_ = State::away;
  useless_ = false;
  held_.clear();
  look_at_ = now + backoff();
}

// Guards against managers whose channels broke at one moment dialling in step from then on, and against a
// place that hangs up on everybody at once: from the first, drawn; doubling in vain.
Duration Channel::backoff() {
  const auto most = std::min(longest_backoff, first_backoff * (1 << std::min(in_vain_, 4)));
  const auto least = in_vain_ == 0 ? Duration(0) : most / 2;
  ++in_vain_;
  return std::uniform_int_distribution<Duration::rep>(least.count(), most.count())(chance_) * Duration(1);
}

void Channel::give_up(std::string why) {
  useless_ = true;
  remark_ = std::move(why);
}

std::vector<ListNews> Channel::received(Duration now, std::string_view bytes) {
  std::vector<ListNews> news;
  while (!useless_ && !bytes.empty()) {
    const auto cut = bytes.find('\n');
    const auto part = bytes.substr(0, cut);
    if (held_.size() + part.size() > line_most) {
      give_up("a line is longer than allowed");
      break;
    }
    held_ += part;
    if (cut == std::string_view::npos)
      break;
    bytes.remove_prefix(cut + 1);
    take_line(now, held_, news);
    held_.clear();
  }
  return news;
}

void Channel::take_line(Duration now, std::string_view line, std::vector<ListNews>& news) {
  if (line.empty() || line == "\r")
    return;
  const auto json = Json::parse(line.begin(), line.end(), nullptr, false);
  if (json.is_number_integer()) {
    heard_at_ = now;
    in_vain_ = 0;
    if (json.get<std::int64_t>() > last_)
      give_up("events are missing");
    return;
  }
  auto event = event_of(json);
  if (!event)
    return give_up("a line can't be read");
  heard_at_ = now;
  in_vain_ = 0;
  const bool bare = !json.contains("nodes");
  if (event->first <= last_)
    return;  // told twice
  // Guards against an event lost on the way: asked for anew. A whole list needs none before it.
  if ((event->first != last_ + 1 && !event->second.whole) || bare) {
    if (bare && event->first == last_ + 1 && json.size() > 1) {
      last_ = event->first;  // an event on something else than the list
      return;
    }
    return give_up("events are missing");
  }
  last_ = event->first;
  news.push_back(std::move(event->second));
}

}  // namespace violettide::platform
