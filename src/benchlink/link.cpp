#include "benchlink/link.h"

namespace violettide::benchlink {

namespace {

template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};

LoadReport report_of(Fields& fields) { return read_load_report(load_values(fields.text("a load report"))); }

Outcome outcome_of(std::string_view code) {
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
  throw Malformed("outcome '" + std::string(code) + "': expected one of the wire's outcomes");
}

Measurement::Kind subject_of(std::int64_t sort) {
  if (sort == 1)
    return Measurement::Kind::share;
  if (sort == 2)
    return Measurement::Kind::rung;
  if (sort == 3)
    return Measurement::Kind::link_fill;
  if (sort == 4)
    return Measurement::Kind::uplink_fill;
  throw Malformed("note of kind " + std::to_string(sort) + ": expected 1 to 4");
}

}  // namespace

Instance::Instance(std::int64_t clock, std::uint64_t seed, const FlatSettings& settings)
    : start_(clock), policy_(read_policy_settings(settings), seed) {}

ServerId Instance::server(std::string_view wire_id) {
  const auto [found, fresh] =
      servers_.try_emplace(std::string(wire_id), static_cast<ServerId>(server_names_.size()));
  if (fresh)
    server_names_.emplace_back(wire_id);
  return found->second;
}

TitleId Instance::title(std::string_view wire_id) {
  return titles_.try_emplace(std::string(wire_id), static_cast<TitleId>(titles_.size())).first->second;
}

PlaybackId Instance::admit(std::string_view wire_id, int tries_out) {
  const auto playback = next_++;
  playbacks_[std::string(wire_id)] = playback;
  doors_[playback] = Door{std::string(wire_id), true, tries_out};
  return playback;
}

std::optional<PlaybackId> Instance::known(std::string_view wire_id) const {
  const auto found = playbacks_.find(std::string(wire_id));
  if (found == playbacks_.end())
    return std::nullopt;
  return found->second;
}

void Instance::end(PlaybackId playback) {
  doors_.at(playback).open = false;
  forget_if_done(playback);
}

void Instance::try_ended(PlaybackId playback) { --doors_.at(playback).tries_out; }

void Instance::forget_if_done(PlaybackId playback) {
  const auto found = doors_.find(playback);
  if (found == doors_.end() || found->second.open || found->second.tries_out > 0)
    return;
  playbacks_.erase(found->second.wire_id);
  doors_.erase(found);
}

void Instance::feed(int number, Duration now, const Event& event, std::string& reply) {
  std::string lines;
  try {
    for (const auto& command : policy_.handle(now, event))
      lines += encode(number, command);
  } catch (const std::exception& error) {
    lines = "DIE " + std::to_string(number) + " " + error.what() + "\n";
  }
  reply += lines;
}

std::string Instance::encode(int number, const Command& command) {
  const auto line = [&](const char* name, const std::string& rest) {
    return std::string(name) + " " + std::to_string(number) + (rest.empty() ? "" : " ") + rest + "\n";
  };
  const auto id = [&](PlaybackId playback) { return doors_.at(playback).wire_id; };
  const auto final_answer = [&](const char* name, PlaybackId playback, const std::string& rest) {
    auto text = line(name, id(playback) + rest);
    end(playback);
    return text;
  };
  return std::visit(
      Overloaded{
          [&](const SetUp& o) {
            ++doors_.at(o.playback).tries_out;
            return line("ASSIGN", id(o.playback) + " " + server_names_.at(o.server) + " " +
                                      std::to_string(o.time_limit.count()));
          },
          [&](const SetRung& o) { return line("PITCH", id(o.playback) + " " + std::to_string(o.rung)); },
          [&](const Reject& o) {
            return final_answer("DECLINE", o.playback, " " + std::to_string(o.retry_after.count()));
          },
          [&](const Abort& o) { return final_answer("RESPOND_ERROR", o.playback, ""); },
          [&](const Probe& o) { return line("ASK_LOAD", server_names_.at(o.server)); },
          [&](const SetTimer& o) {
            return line("SET_TIMER", std::to_string(o.delay.count()) + " " + std::to_string(o.token));
          },
          [&](const SubscribeServerList&) { return line("KEEP_INFORMED", "1"); },
      },
      command);
}

std::optional<std::string> Link::take(std::string_view line) {
  if (!in_batch_) {
    if (line.empty())
      return std::nullopt;
    Fields fields(line);
    if (fields.name() != "BEGIN_BATCH") {
      throw Malformed("malformed line '" + std::string(line.substr(0, 200)) + "': expected BEGIN_BATCH");
    }
    clock_ = fields.integer("the clock in microseconds");
    fields.end();
    in_batch_ = true;
    reply_.clear();
    return std::nullopt;
  }
  if (line != "YOUR_TURN") {
    event(line);
    return std::nullopt;
  }
  if (entries_due_ > 0)
    throw Malformed("line 'YOUR_TURN': expected an ITEM of the table begun before");
  in_batch_ = false;
  return reply_ + "OK\n";
}

void Link::event(std::string_view line) {
  Fields fields(line);
  const auto name = fields.name();
  if ((name == "ITEM") != (entries_due_ > 0)) {
    throw Malformed("malformed line '" + std::string(line.substr(0, 200)) + "': expected " +
                    (entries_due_ > 0 ? "an ITEM of the table begun before" : "a TABLE before its ITEMs"));
  }
  if (name == "ITEM")
    return add_entry(fields);
  if (name == "TABLE") {
    const auto page = fields.integer("a list number from 0 to 15");
    if (page < 0 || page > 15)
      throw Malformed("malformed line '" + std::string(line) + "': expected 0 to 15");
    page_ = static_cast<std::size_t>(page);
    entries_due_ = fields.integer("the number of entries");
    if (entries_due_ < 0)
      throw Malformed("malformed line '" + std::string(line) + "': expected a count");
    fields.end();
    pages_[page_].clear();
    return;
  }
  const auto number = static_cast<int>(fields.integer("an instance number"));
  if (name == "ENLIST") {
    const auto seed = static_cast<std::uint64_t>(fields.integer("a seed"));
    instances_.erase(number);
    try {
      instances_.emplace(std::piecewise_construct, std::forward_as_tuple(number),
                         std::forward_as_tuple(clock_, seed, FlatSettings(fields.rest())));
    } catch (const SettingError& fault) {
      throw Malformed(fault.what());
    }
    return;
  }
  if (name == "KILL") {
    fields.end();
    instances_.erase(number);
    return;
  }
  const auto found = instances_.find(number);
  Instance stranger(clock_, 0, FlatSettings(""));  // lines for no instance are still read, then ignored
  auto& instance = found == instances_.end() ? stranger : found->second;
  if (name == "ANNOUNCE")
    return announce(number, instance, fields);
  const auto event = decode(instance, fields);
  fields.end();
  if (event && &instance != &stranger)
    instance.feed(number, instance.since_start(clock_), *event, reply_);
}

void Link::add_entry(Fields& fields) {
  Entry entry;
  const auto standing = fields.integer("0, 1 or 2");
  if (standing < 0 || standing > 2) {
    throw Malformed("entry with standing " + std::to_string(standing) + ": expected 0, 1 or 2");
  }
  entry.entry.state = standing == 1   ? ServerState::ready
                      : standing == 2 ? ServerState::draining
                                      : ServerState::gone;
  entry.wire_id = fields.text("a video server");
  entry.entry.kind = static_cast<int>(fields.maybe_integer("a kind").value_or(0));
  entry.entry.hall = static_cast<int>(fields.maybe_integer("a zone").value_or(0));
  entry.entry.cell = static_cast<int>(fields.maybe_integer("a cell").value_or(0));
  entry.started_clock = fields.maybe_integer("a start time");
  entry.entry.weight = fields.maybe_number("a weight").value_or(1);
  fields.end();
  pages_[page_].push_back(std::move(entry));
  --entries_due_;
}

void Link::announce(int number, Instance& instance, Fields& fields) {
  const auto page = fields.maybe_integer("a list number").value_or(0);
  fields.maybe_integer("a list version");
  const auto mode = fields.integer("a kind of list");
  fields.end();
  if (mode < 0 || mode > 3)
    throw Malformed("list of kind " + std::to_string(mode) + ": expected 0 to 3");
  const auto now = instance.since_start(clock_);
  if (mode == 3)
    return instance.feed(number, now, ServerListFailed{}, reply_);
  if (page < 0 || page > 15)
    throw Malformed("list number " + std::to_string(page) + ": expected 0 to 15");
  ServerList list;
  list.kind = mode == 0   ? ServerList::Kind::changes
              : mode == 1 ? ServerList::Kind::complete
                          : ServerList::Kind::cached;
  for (const auto& entry : pages_[static_cast<std::size_t>(page)]) {
    list.entries.push_back(entry.entry);
    list.entries.back().server = instance.server(entry.wire_id);
    if (entry.started_clock.value_or(0) != 0) {
      list.entries.back().started = instance.since_start(*entry.started_clock);
    }
  }
  instance.feed(number, now, list, reply_);
}

Request Link::request(Instance& instance, Fields& fields, int tries_out) {
  constexpr std::int64_t hint_is_valid = 1;
  Request request;
  const auto ref = fields.text("a request id");
  request.plan = static_cast<int>(fields.integer("a class"));
  fields.maybe_integer("a tenant");
  fields.text("a key");
  request.title = instance.title(fields.text("a title"));
  request.abandon_at = instance.since_start(fields.integer("a deadline"));
  const auto length = fields.maybe_integer("a length");
  request.first_cell = static_cast<int>(fields.maybe_number("a first cell").value_or(0));
  request.cell_count = static_cast<int>(fields.maybe_number("a count of holders").value_or(1));
  request.top = static_cast<int>(fields.maybe_number("the best rung").value_or(0));
  const auto options = fields.maybe_integer("options").value_or(0);
  if (length && (options & hint_is_valid))
    request.length = Duration(*length);
  request.playback = instance.admit(ref, tries_out);
  return request;
}

std::optional<Event> Link::decode(Instance& instance, Fields& fields) {
  const auto name = fields.name();
  if (name == "REQ")
    return request(instance, fields, 0);
  if (name == "CARRIED") {
    auto open = request(instance, fields, 1);
    return PlaybackAdopted{open, instance.server(fields.text("a video server"))};
  }
  if (name == "ALARM")
    return TimerExpired{static_cast<std::uint32_t>(fields.integer("a timer's token"))};
  if (name == "WHISPER") {
    fields.integer("a sender");
    fields.text("a payload");
    return std::nullopt;
  }
  if (name == "PROBE_RESULT") {
    ProbeEnded probe;
    probe.server = instance.server(fields.text("a video server"));
    fields.maybe_integer("a time");
    probe.answered = outcome_of(fields.text("an outcome")) == Outcome::served;
    probe.load = report_of(fields);
    return probe;
  }
  const auto known = instance.known(fields.text("a request id"));
  if (name == "WITHDRAWN") {
    if (!known)
      return std::nullopt;
    instance.end(*known);
    return RequestCancelled{*known};
  }
  if (name == "NOTICE") {
    Measurement note;
    fields.integer("a try's number");
    note.server = instance.server(fields.text("a video server"));
    note.kind = subject_of(fields.integer("a kind of note"));
    note.value = fields.number("a value");
    if (!known)
      return std::nullopt;
    note.playback = *known;
    return note;
  }
  if (name == "FIRST_BYTE") {
    fields.integer("a try's number");
    PlaybackStarted started;
    started.server = instance.server(fields.text("a video server"));
    started.startup_delay = Duration(fields.integer("a time"));
    if (!known)
      return std::nullopt;
    started.playback = *known;
    return started;
  }
  if (name == "REPORT_BACK") {
    TryEnded ended;
    ended.playback_over = fields.flag("0 or 1");
    ended.outcome = outcome_of(fields.text("an outcome"));
    fields.maybe_integer("a time");
    fields.integer("a try's number");
    ended.server = instance.server(fields.text("a video server"));
    ended.load = report_of(fields);
    if (!known)
      return std::nullopt;
    ended.playback = *known;
    instance.try_ended(*known);
    if (ended.playback_over)
      instance.end(*known);
    return ended;
  }
  throw Malformed("malformed line: message '" + std::string(name) + "' is none of the wire's events");
}

}  // namespace violettide::benchlink
