#include "simulator_adapter/adapter.h"

namespace violettide::simulator_adapter {

namespace {

template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};

LoadReport read_load(LineReader& reader) {
  return read_load_report(parse_load_values(reader.text("a load report")));
}

Outcome parse_outcome(std::string_view code) {
  if (code == "GOOD")
    return Outcome::served;
  if (code == "BAD")
    return Outcome::error;
  if (code == "FULL")
    return Outcome::full;
  if (code == "LATE")
    return Outcome::late;
  if (code == "NOCONN")
    return Outcome::no_connection;
  if (code == "RST")
    return Outcome::reset;
  if (code == "CXL")
    return Outcome::cancelled;
  if (code == "NOP")
    return Outcome::not_sent;
  throw ProtocolError("outcome '" + std::string(code) +
                      "': expected GOOD, BAD, FULL, LATE, NOCONN, RST, CXL or NOP");
}

Measurement::Kind measurement_kind(std::int64_t code) {
  if (code == 1)
    return Measurement::Kind::share;
  if (code == 2)
    return Measurement::Kind::rung;
  if (code == 3)
    return Measurement::Kind::link_fill;
  if (code == 4)
    return Measurement::Kind::uplink_fill;
  throw ProtocolError("NOTICE of kind " + std::to_string(code) + ": expected 1 to 4");
}

}  // namespace

SessionManager::SessionManager(std::int64_t clock, std::uint64_t seed, const FlatSettings& settings)
    : start_(clock), policy_(read_policy_settings(settings), seed) {}

ServerId SessionManager::server_id(std::string_view wire_id) {
  const auto [found, is_new] =
      server_ids_.try_emplace(std::string(wire_id), static_cast<ServerId>(server_wire_ids_.size()));
  if (is_new)
    server_wire_ids_.emplace_back(wire_id);
  return found->second;
}

TitleId SessionManager::title_id(std::string_view wire_id) {
  return title_ids_.try_emplace(std::string(wire_id), static_cast<TitleId>(title_ids_.size())).first->second;
}

PlaybackId SessionManager::add_playback(std::string_view wire_id, int running_tries) {
  const auto playback = next_playback_++;
  playback_ids_[std::string(wire_id)] = playback;
  playbacks_[playback] = Playback{std::string(wire_id), true, running_tries};
  return playback;
}

std::optional<PlaybackId> SessionManager::find_playback(std::string_view wire_id) const {
  const auto found = playback_ids_.find(std::string(wire_id));
  if (found == playback_ids_.end())
    return std::nullopt;
  return found->second;
}

void SessionManager::close_playback(PlaybackId playback) {
  playbacks_.at(playback).is_open = false;
  forget_if_done(playback);
}

void SessionManager::count_ended_try(PlaybackId playback) { --playbacks_.at(playback).running_tries; }

void SessionManager::forget_if_done(PlaybackId playback) {
  const auto found = playbacks_.find(playback);
  if (found == playbacks_.end() || found->second.is_open || found->second.running_tries > 0)
    return;
  playback_ids_.erase(found->second.wire_id);
  playbacks_.erase(found);
}

void SessionManager::handle_event(int number, Duration now, const Event& event, std::string& reply) {
  std::string lines;
  try {
    for (const auto& command : policy_.handle(now, event))
      lines += encode(number, command);
  } catch (const std::exception& error) {
    lines = "DIE " + std::to_string(number) + " " + error.what() + "\n";
  }
  reply += lines;
}

std::string SessionManager::encode(int number, const Command& command) {
  const auto make_line = [&](const char* name, const std::string& rest) {
    return std::string(name) + " " + std::to_string(number) + (rest.empty() ? "" : " ") + rest + "\n";
  };
  const auto wire_id = [&](PlaybackId playback) { return playbacks_.at(playback).wire_id; };
  const auto closing_line = [&](const char* name, PlaybackId playback, const std::string& rest) {
    auto text = make_line(name, wire_id(playback) + rest);
    close_playback(playback);
    return text;
  };
  return std::visit(
      Overloaded{
          [&](const SetUp& setup) {
            ++playbacks_.at(setup.playback).running_tries;
            return make_line("ASSIGN", wire_id(setup.playback) + " " + server_wire_ids_.at(setup.server) +
                                           " " + std::to_string(setup.time_limit.count()));
          },
          [&](const SetRung& set_rung) {
            return make_line("PITCH", wire_id(set_rung.playback) + " " + std::to_string(set_rung.rung));
          },
          [&](const Reject& reject) {
            return closing_line("DECLINE", reject.playback, " " + std::to_string(reject.retry_after.count()));
          },
          [&](const Abort& abort) { return closing_line("RESPOND_ERROR", abort.playback, ""); },
          [&](const Probe& probe) { return make_line("ASK_LOAD", server_wire_ids_.at(probe.server)); },
          [&](const SetTimer& timer) {
            return make_line("SET_TIMER",
                             std::to_string(timer.delay.count()) + " " + std::to_string(timer.token));
          },
          [&](const SubscribeServerList&) { return make_line("KEEP_INFORMED", "1"); },
      },
      command);
}

std::optional<std::string> Adapter::handle_line(std::string_view line) {
  if (!in_batch_) {
    if (line.empty())
      return std::nullopt;
    LineReader reader(line);
    if (reader.name() != "BEGIN_BATCH") {
      throw ProtocolError("malformed line '" + std::string(line.substr(0, 200)) + "': expected BEGIN_BATCH");
    }
    clock_ = reader.integer("the clock in microseconds");
    reader.expect_end();
    in_batch_ = true;
    reply_.clear();
    return std::nullopt;
  }
  if (line != "YOUR_TURN") {
    handle_message(line);
    return std::nullopt;
  }
  if (items_due_ > 0)
    throw ProtocolError("malformed line 'YOUR_TURN': expected an ITEM of the TABLE before it");
  in_batch_ = false;
  return reply_ + "OK\n";
}

void Adapter::handle_message(std::string_view line) {
  LineReader reader(line);
  const auto name = reader.name();
  if ((name == "ITEM") != (items_due_ > 0)) {
    throw ProtocolError("malformed line '" + std::string(line.substr(0, 200)) + "': expected " +
                        (items_due_ > 0 ? "an ITEM of the TABLE before it" : "a TABLE before its ITEMs"));
  }
  if (name == "ITEM")
    return read_list_item(reader);
  if (name == "TABLE") {
    const auto list_number = reader.integer("a list number from 0 to 15");
    if (list_number < 0 || list_number > 15)
      throw ProtocolError("malformed line '" + std::string(line) + "': expected 0 to 15");
    current_list_ = static_cast<std::size_t>(list_number);
    items_due_ = reader.integer("the number of ITEMs");
    if (items_due_ < 0)
      throw ProtocolError("malformed line '" + std::string(line) + "': expected a count");
    reader.expect_end();
    lists_[current_list_].clear();
    return;
  }
  const auto number = static_cast<int>(reader.integer("a session manager's number"));
  if (name == "ENLIST") {
    const auto seed = static_cast<std::uint64_t>(reader.integer("a seed"));
    managers_.erase(number);
    try {
      managers_.emplace(std::piecewise_construct, std::forward_as_tuple(number),
                        std::forward_as_tuple(clock_, seed, FlatSettings(reader.rest())));
    } catch (const SettingError& error) {
      throw ProtocolError(error.what());
    }
    return;
  }
  if (name == "KILL") {
    reader.expect_end();
    managers_.erase(number);
    return;
  }
  const auto found = managers_.find(number);
  // Stands in for an unknown manager, so that its lines are checked all the same.
  SessionManager placeholder(clock_, 0, FlatSettings(""));
  auto& manager = found == managers_.end() ? placeholder : found->second;
  if (name == "ANNOUNCE")
    return handle_announce(number, manager, reader);
  const auto event = read_event(manager, reader);
  reader.expect_end();
  if (event && &manager != &placeholder)
    manager.handle_event(number, manager.since_start(clock_), *event, reply_);
}

void Adapter::read_list_item(LineReader& reader) {
  ListItem item;
  const auto state = reader.integer("0, 1 or 2");
  if (state < 0 || state > 2) {
    throw ProtocolError("ITEM with state " + std::to_string(state) + ": expected 0, 1 or 2");
  }
  item.entry.state = state == 1 ? ServerState::ready : state == 2 ? ServerState::draining : ServerState::gone;
  item.wire_id = reader.text("a video server");
  item.entry.kind = static_cast<int>(reader.optional_integer("a kind").value_or(0));
  item.entry.hall = static_cast<int>(reader.optional_integer("a zone").value_or(0));
  item.entry.cell = static_cast<int>(reader.optional_integer("a cell").value_or(0));
  item.started_clock = reader.optional_integer("a start time");
  item.entry.weight = reader.optional_number("a weight").value_or(1);
  reader.expect_end();
  lists_[current_list_].push_back(std::move(item));
  --items_due_;
}

void Adapter::handle_announce(int number, SessionManager& manager, LineReader& reader) {
  const auto list_number = reader.optional_integer("a list number").value_or(0);
  reader.optional_integer("a list version");
  const auto kind = reader.integer("a kind of list");
  reader.expect_end();
  if (kind < 0 || kind > 3)
    throw ProtocolError("ANNOUNCE of kind " + std::to_string(kind) + ": expected 0 to 3");
  const auto now = manager.since_start(clock_);
  if (kind == 3)
    return manager.handle_event(number, now, ServerListFailed{}, reply_);
  if (list_number < 0 || list_number > 15)
    throw ProtocolError("ANNOUNCE of list " + std::to_string(list_number) + ": expected 0 to 15");
  ServerList list;
  list.kind = kind == 0   ? ServerList::Kind::changes
              : kind == 1 ? ServerList::Kind::complete
                          : ServerList::Kind::cached;
  for (const auto& item : lists_[static_cast<std::size_t>(list_number)]) {
    list.entries.push_back(item.entry);
    list.entries.back().server = manager.server_id(item.wire_id);
    if (item.started_clock.value_or(0) != 0) {
      list.entries.back().started = manager.since_start(*item.started_clock);
    }
  }
  manager.handle_event(number, now, list, reply_);
}

Request Adapter::read_request(SessionManager& manager, LineReader& reader, int running_tries) {
  constexpr std::int64_t length_is_valid = 1;  // bit of the options
  Request request;
  const auto wire_id = reader.text("a request id");
  request.plan = static_cast<int>(reader.integer("a class"));
  reader.optional_integer("a tenant");
  reader.text("a key");
  request.title = manager.title_id(reader.text("a title"));
  request.abandon_at = manager.since_start(reader.integer("a deadline"));
  const auto length = reader.optional_integer("a length");
  request.first_cell = static_cast<int>(reader.optional_number("a first cell").value_or(0));
  request.cell_count = static_cast<int>(reader.optional_number("a count of cells").value_or(1));
  request.top = static_cast<int>(reader.optional_number("the highest rung").value_or(0));
  const auto options = reader.optional_integer("options").value_or(0);
  if (length && (options & length_is_valid))
    request.length = Duration(*length);
  request.playback = manager.add_playback(wire_id, running_tries);
  return request;
}

std::optional<Event> Adapter::read_event(SessionManager& manager, LineReader& reader) {
  const auto name = reader.name();
  if (name == "REQ")
    return read_request(manager, reader, 0);
  if (name == "CARRIED") {
    auto adopted = read_request(manager, reader, 1);
    return PlaybackAdopted{adopted, manager.server_id(reader.text("a video server"))};
  }
  if (name == "ALARM")
    return TimerExpired{static_cast<std::uint32_t>(reader.integer("a timer's token"))};
  if (name == "WHISPER") {
    reader.integer("a sender");
    reader.text("a payload");
    return std::nullopt;
  }
  if (name == "PROBE_RESULT") {
    ProbeEnded probe;
    probe.server = manager.server_id(reader.text("a video server"));
    reader.optional_integer("a time");
    probe.answered = parse_outcome(reader.text("an outcome")) == Outcome::served;
    probe.load = read_load(reader);
    return probe;
  }
  const auto playback = manager.find_playback(reader.text("a request id"));
  if (name == "WITHDRAWN") {
    if (!playback)
      return std::nullopt;
    manager.close_playback(*playback);
    return RequestCancelled{*playback};
  }
  if (name == "NOTICE") {
    Measurement measurement;
    reader.integer("a try's number");
    measurement.server = manager.server_id(reader.text("a video server"));
    measurement.kind = measurement_kind(reader.integer("a kind of measurement"));
    measurement.value = reader.number("a value");
    if (!playback)
      return std::nullopt;
    measurement.playback = *playback;
    return measurement;
  }
  if (name == "FIRST_BYTE") {
    reader.integer("a try's number");
    PlaybackStarted started;
    started.server = manager.server_id(reader.text("a video server"));
    started.startup_delay = Duration(reader.integer("a time"));
    if (!playback)
      return std::nullopt;
    started.playback = *playback;
    return started;
  }
  if (name == "REPORT_BACK") {
    TryEnded ended;
    ended.playback_over = reader.flag("0 or 1");
    ended.outcome = parse_outcome(reader.text("an outcome"));
    reader.optional_integer("a time");
    reader.integer("a try's number");
    ended.server = manager.server_id(reader.text("a video server"));
    ended.load = read_load(reader);
    if (!playback)
      return std::nullopt;
    ended.playback = *playback;
    manager.count_ended_try(*playback);
    if (ended.playback_over)
      manager.close_playback(*playback);
    return ended;
  }
  throw ProtocolError("malformed line: message '" + std::string(name) + "' is none of the wire's events");
}

}  // namespace violettide::simulator_adapter
