#include "platform/channel/channel.h"

#include <cmath>
#include <nlohmann/json.hpp>

#include "platform_settings/platform_settings.h"

namespace violettide::platform {

namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr std::size_t max_line_bytes = 4 * 1024 * 1024;  // room for a list of many thousand servers
constexpr Duration first_backoff{200ms};
constexpr Duration max_backoff{500ms};  // events are to arrive within seconds of the channel's return
constexpr Duration dial_limit{1s};
constexpr Duration silence_limit{1600ms};  // the platform sends a heartbeat every second

std::optional<ServerState> parse_server_state(const std::string& status) {
  if (status == "Ready")
    return ServerState::ready;
  if (status == "Terminating")
    return ServerState::draining;
  if (status == "Gone")
    return ServerState::gone;
  return std::nullopt;
}

template <typename Value>
std::optional<Value> get_value(const Json& json, const char* name) {
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

std::optional<ListedServer> parse_server(const Json& json) {
  if (!json.is_object())
    return std::nullopt;
  ListedServer server;
  const auto name = get_value<std::string>(json, "name");
  const auto status = parse_server_state(get_value<std::string>(json, "status").value_or(""));
  if (!name || name->empty() || !status)
    return std::nullopt;
  server.name = *name;
  server.state = *status;
  const auto endpoint = parse_endpoint(get_value<std::string>(json, "address").value_or(""));
  if (!endpoint && *status != ServerState::gone)
    return std::nullopt;  // a server that is gone needs no address
  if (endpoint)
    server.endpoint = *endpoint;
  server.hall = get_value<std::string>(json, "zone").value_or("");
  server.kind = get_value<std::string>(json, "type").value_or("");
  server.cell = static_cast<int>(get_value<std::int64_t>(json, "group").value_or(0));
  server.weight = get_value<double>(json, "weight").value_or(1);
  server.started_ms = get_value<std::int64_t>(json, "since_ms").value_or(0);
  return server;
}

// Parses an event into its number and update; empty if it is malformed.
std::optional<std::pair<std::int64_t, ServerListUpdate>> parse_event(const Json& json) {
  if (!json.is_object())
    return std::nullopt;
  const auto number = get_value<std::int64_t>(json, "cursor");
  if (!number)
    return std::nullopt;
  ServerListUpdate update;
  const auto nodes = json.find("nodes");
  if (nodes == json.end())
    return std::pair(*number, update);
  if (!nodes->is_object())
    return std::nullopt;
  update.snapshot = get_value<bool>(*nodes, "snapshot").value_or(false);
  const auto list = nodes->find("endpoints");
  if (list == nodes->end() || !list->is_array())
    return std::nullopt;
  for (const auto& entry : *list) {
    auto server = parse_server(entry);
    if (!server)
      return std::nullopt;
    update.servers.push_back(std::move(*server));
  }
  return std::pair(*number, std::move(update));
}

}  // namespace

std::optional<Endpoint> parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0)
    return std::nullopt;
  const auto port = parse_number<std::uint16_t>(text.substr(colon + 1));
  if (!port || *port == 0)
    return std::nullopt;
  return Endpoint{std::string(text.substr(0, colon)), *port};
}

Channel::Channel(std::uint64_t seed)
    : random_(static_cast<std::minstd_rand::result_type>(seed % std::minstd_rand::modulus)) {}

std::vector<ServerListUpdate> Channel::take_configured_events(std::string_view text) {
  std::vector<ServerListUpdate> updates;
  const auto json = Json::parse(text.begin(), text.end(), nullptr, false);
  if (!json.is_object())
    return updates;
  const auto events = json.find("cmds");
  if (events != json.end() && events->is_array()) {
    for (const auto& entry : *events) {
      auto event = parse_event(entry);
      if (!event || event->first <= last_event_)
        continue;
      last_event_ = event->first;
      updates.push_back(std::move(event->second));
    }
  }
  return updates;
}

void Channel::set_endpoint(std::optional<Endpoint> endpoint) {
  if (endpoint == endpoint_)
    return;
  endpoint_ = std::move(endpoint);
  if (state_ != State::disconnected)
    give_up("its address has changed");
  next_poll_at_ = Duration(0);
  dials_since_heard_ = 0;
}

Channel::Step Channel::poll(Duration now) {
  if (!endpoint_)
    return next_poll_at_ = Duration::max(), Step::none;
  if (state_ == State::disconnected) {
    if (now < next_poll_at_)
      return Step::none;
    return Step::dial;
  }
  if (state_ == State::dialling && now - last_heard_at_ > dial_limit)
    give_up("the dial timed out");
  // Guards against a channel that stops sending while its connection stays open.
  if (state_ == State::following && now - last_heard_at_ > silence_limit)
    give_up("no data within the silence limit");
  if (given_up_)
    return Step::close;
  next_poll_at_ = last_heard_at_ + (state_ == State::dialling ? dial_limit : silence_limit) + 1ms;
  return Step::none;
}

void Channel::dial_started(Duration now) {
  state_ = State::dialling;
  given_up_ = false;
  partial_line_.clear();
  last_heard_at_ = now;
  next_poll_at_ = now + dial_limit + 1ms;
}

std::string Channel::connected(Duration now) {
  state_ = State::following;
  last_heard_at_ = now;
  return "resume " + std::to_string(last_event_) + "\n";
}

void Channel::disconnected(Duration now) {
  state_ = State::disconnected;
  given_up_ = false;
  partial_line_.clear();
  next_poll_at_ = now + backoff();
}

// Guards against managers that lost their channels at the same moment redialling in step, and against an
// endpoint that closes every connection at once. Delays are random; their bounds double with each dial that
// brought no data.
Duration Channel::backoff() {
  const auto max_delay = std::min(max_backoff, first_backoff * (1 << std::min(dials_since_heard_, 4)));
  const auto min_delay = dials_since_heard_ == 0 ? Duration(0) : max_delay / 2;
  ++dials_since_heard_;
  return std::uniform_int_distribution<Duration::rep>(min_delay.count(), max_delay.count())(random_) *
         Duration(1);
}

void Channel::give_up(std::string cause) {
  given_up_ = true;
  close_cause_ = std::move(cause);
}

std::vector<ServerListUpdate> Channel::received(Duration now, std::string_view bytes) {
  std::vector<ServerListUpdate> updates;
  while (!given_up_ && !bytes.empty()) {
    const auto line_end = bytes.find('\n');
    const auto piece = bytes.substr(0, line_end);
    if (partial_line_.size() + piece.size() > max_line_bytes) {
      give_up("a line is too long");
      break;
    }
    partial_line_ += piece;
    if (line_end == std::string_view::npos)
      break;
    bytes.remove_prefix(line_end + 1);
    take_line(now, partial_line_, updates);
    partial_line_.clear();
  }
  return updates;
}

void Channel::take_line(Duration now, std::string_view line, std::vector<ServerListUpdate>& updates) {
  if (line.empty() || line == "\r")
    return;
  const auto json = Json::parse(line.begin(), line.end(), nullptr, false);
  if (json.is_number_integer()) {
    last_heard_at_ = now;
    dials_since_heard_ = 0;
    if (json.get<std::int64_t>() > last_event_)
      give_up("events are missing");
    return;
  }
  auto event = parse_event(json);
  if (!event)
    return give_up("a line is malformed");
  last_heard_at_ = now;
  dials_since_heard_ = 0;
  const bool without_update = !json.contains("nodes");
  if (event->first <= last_event_)
    return;  // received before
  // Guards against a lost event by asking for it again. A snapshot needs no event before it.
  if ((event->first != last_event_ + 1 && !event->second.snapshot) || without_update) {
    if (without_update && event->first == last_event_ + 1 && json.size() > 1) {
      last_event_ = event->first;  // an event about something other than the server list
      return;
    }
    return give_up("events are missing");
  }
  last_event_ = event->first;
  updates.push_back(std::move(event->second));
}

}  // namespace violettide::platform
