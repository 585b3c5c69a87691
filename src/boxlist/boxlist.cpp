// Parsing of a list, and the guards against lists that are out of date, cut short or from a restarted
// service.
#include "boxlist/boxlist.h"

#include <arpa/inet.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace violettide::boxlist {

namespace {

using Json = nlohmann::json;

// A list that drops more than this part of the ready boxes at once must be confirmed by a second list.
constexpr double max_dropped_share = 0.5;
constexpr std::size_t small_fleet = 4;  // up to this size, any number may go at once
// Lists that stay older than the last one for so long come from a service that has restarted with a lower
// revision; an instance that is only behind catches up sooner.
constexpr Duration restart_detection_time = std::chrono::seconds(30);
constexpr std::int64_t max_clock_ms = 1'000'000'000'000'000;  // larger times would overflow

struct InvalidField {
  ListError error;
};

template <typename Value>
Value required_field(const Json& object, const char* key, const std::string& place, const char* expected,
                     bool (Json::*has_type)() const noexcept) {
  const auto found = object.find(key);
  if (found == object.end())
    throw InvalidField{{place + "." + key, std::string("missing: expected ") + expected}};
  if (!((*found).*has_type)())
    throw InvalidField{{place + "." + key, std::string("expected ") + expected}};
  return found->get<Value>();
}

}  // namespace

struct BoxList::Entry {
  std::string name, address;
  std::uint16_t port = 0;
  ServerState state = ServerState::ready;
  int kind = 0, cell = 0, hall = 0;
  double weight = 1;
  std::int64_t started_ms = 0;  // on the list's clock; 0: not stated
};

BoxList::BoxList(std::vector<std::string> halls) : halls_(std::move(halls)) {}

std::optional<ServerId> BoxList::find(std::string_view name) const {
  const auto found = by_name_.find(name);
  if (found == by_name_.end())
    return std::nullopt;
  return found->second;
}

ServerId BoxList::index(std::string_view name) {
  if (const auto existing = find(name))
    return *existing;
  const auto id = static_cast<ServerId>(boxes_.size());
  boxes_.emplace_back().name = name;
  started_.emplace_back();
  by_name_.emplace(std::string(name), id);
  return id;
}

std::variant<std::vector<BoxList::Entry>, ListError> BoxList::parse(std::string_view text,
                                                                    std::int64_t& revision,
                                                                    std::int64_t& clock_ms) const {
  Json json;
  try {
    json = Json::parse(text);
  } catch (const Json::parse_error& error) {
    return ListError{"byte " + std::to_string(error.byte), "not JSON"};
  } catch (const Json::exception&) {
    return ListError{"list", "a number out of range"};
  }
  try {
    if (!json.is_object())
      return ListError{"list", "expected an object"};
    revision =
        required_field<std::int64_t>(json, "revision", "list", "a whole number", &Json::is_number_integer);
    clock_ms =
        required_field<std::int64_t>(json, "clock_ms", "list", "a whole number", &Json::is_number_integer);
    if (clock_ms < 0 || clock_ms > max_clock_ms)
      return ListError{"list.clock_ms", "expected a time in ms"};
    const auto boxes = json.find("boxes");
    if (boxes == json.end() || !boxes->is_array())
      return ListError{"list.boxes", "expected an array"};
    std::vector<Entry> entries;
    std::map<std::string, std::size_t> index_by_name;
    for (std::size_t i = 0; i < boxes->size(); ++i) {
      const auto& box = (*boxes)[i];
      const auto place = "boxes[" + std::to_string(i) + "]";
      if (!box.is_object())
        return ListError{place, "expected an object"};
      Entry entry;
      entry.name = required_field<std::string>(box, "name", place, "a string", &Json::is_string);
      entry.address = required_field<std::string>(box, "address", place, "a string", &Json::is_string);
      in_addr parsed_address{};
      if (inet_pton(AF_INET, entry.address.c_str(), &parsed_address) != 1)
        return ListError{place + ".address", "expected an IPv4 address in dotted decimal"};
      const auto port = required_field<std::int64_t>(box, "port", place, "a port", &Json::is_number_integer);
      if (port < 1 || port > 65535)
        return ListError{place + ".port", "expected 1 to 65535"};
      entry.port = static_cast<std::uint16_t>(port);
      const auto state =
          required_field<std::string>(box, "state", place, "ready, draining or gone", &Json::is_string);
      if (state == "ready")
        entry.state = ServerState::ready;
      else if (state == "draining")
        entry.state = ServerState::draining;
      else if (state == "gone")
        entry.state = ServerState::gone;
      else
        return ListError{place + ".state", "expected ready, draining or gone"};
      entry.kind = required_field<int>(box, "kind", place, "a whole number", &Json::is_number_integer);
      entry.cell = required_field<int>(box, "cell", place, "a whole number", &Json::is_number_integer);
      const auto hall = required_field<std::string>(box, "hall", place, "a hall's name", &Json::is_string);
      const auto hall_position = std::find(halls_.begin(), halls_.end(), hall);
      if (hall_position == halls_.end())
        return ListError{place + ".hall", "the settings have no hall of this name"};
      entry.hall = static_cast<int>(hall_position - halls_.begin());
      entry.weight = required_field<double>(box, "weight", place, "a number", &Json::is_number);
      if (!(entry.weight > 0))
        return ListError{place + ".weight", "expected more than 0"};
      if (box.contains("started_ms"))
        entry.started_ms =
            required_field<std::int64_t>(box, "started_ms", place, "a time in ms", &Json::is_number_integer);
      if (entry.started_ms < 0 || entry.started_ms > max_clock_ms)
        return ListError{place + ".started_ms", "expected a time in ms"};
      if (entry.name.empty())
        return ListError{place + ".name", "must not be empty"};
      if (const auto [duplicate, inserted] = index_by_name.try_emplace(entry.name, i); !inserted)
        return ListError{place + ".name",
                         "the same as boxes[" + std::to_string(duplicate->second) + "].name"};
      entries.push_back(std::move(entry));
    }
    return entries;
  } catch (const InvalidField& invalid) {
    return invalid.error;
  }
}

void BoxList::put(Duration now, const Entry& entry, std::int64_t clock_ms, bool cached, ListUpdate& update) {
  const auto id = index(entry.name);
  auto& box = boxes_[id];
  const bool first_listed = box.port == 0;  // first time in a list; others may have asked for its index
  const bool new_address = !first_listed && (box.address != entry.address || box.port != entry.port);
  const bool new_process = entry.started_ms != 0 && entry.started_ms != box.incarnation;
  if (new_address || (!first_listed && new_process && box.incarnation != 0))
    update.replaced.push_back(id);
  // Start times are on the list's clock. Each is converted to the local clock once and kept: converted again,
  // it would shift by the list's latency and look like another restart.
  if (new_process && !cached)
    started_[id] = now - std::chrono::milliseconds(std::max<std::int64_t>(0, clock_ms - entry.started_ms));
  box = {entry.name, entry.address, entry.port, entry.state, cached ? 0 : entry.started_ms, entry.cell};
  update.list->entries.push_back(
      {id, entry.state, entry.kind, entry.cell, entry.hall, started_[id], entry.weight});
}

ListUpdate BoxList::apply(Duration now, std::string_view json) {
  ListUpdate update;
  std::int64_t revision = 0, clock_ms = 0;
  auto entries = parse(json, revision, clock_ms);
  if (const auto* error = std::get_if<ListError>(&entries)) {
    update.error = *error;
    return update;
  }
  received_at_ = now;
  auto& entries_in_list = std::get<std::vector<Entry>>(entries);
  // Guards against a list service that answers with an older state: a drain is never undone by it. A service
  // that restarted with a lower revision may report new drains, which are applied at once; the rest of its
  // lists is applied after restart_detection_time.
  if (revision < revision_) {
    if (!older_lists_since_)
      older_lists_since_ = now;
    if (now - *older_lists_since_ < restart_detection_time) {
      update.not_applied_cause = "older than the current list: only its drains are applied";
      apply_drains(now, entries_in_list, clock_ms, update);
      return update;
    }
  } else {
    older_lists_since_.reset();
  }
  std::map<std::string_view, bool> in_list;
  for (const auto& entry : entries_in_list)
    in_list[entry.name] = true;
  std::size_t ready = 0, dropped = 0;
  for (const auto& box : boxes_) {
    if (box.state != ServerState::ready)
      continue;
    ++ready;
    if (!in_list.contains(box.name))
      ++dropped;
  }
  // Guards against an empty or truncated list removing most of the fleet. The boxes it names are updated.
  const bool shrinks =
      ready > small_fleet && static_cast<double>(dropped) > max_dropped_share * static_cast<double>(ready);
  const bool defer_removal = shrinks && !shrink_pending_;
  shrink_pending_ = defer_removal;
  update.list = ServerList{defer_removal ? ServerList::Kind::changes : ServerList::Kind::complete, {}};
  if (defer_removal)
    update.not_applied_cause =
        "drops over half of the ready boxes: their removal waits for the next list to confirm it";
  else
    revision_ = revision;
  if (!defer_removal) {
    for (auto& box : boxes_) {
      if (!in_list.contains(box.name))
        box.state = ServerState::gone;
    }
  }
  for (const auto& entry : entries_in_list)
    put(now, entry, clock_ms, false, update);
  return update;
}

// Applies the drains, from an older list, of boxes that count as ready; only if the list means the same
// process of the box.
void BoxList::apply_drains(Duration now, const std::vector<Entry>& entries, std::int64_t clock_ms,
                           ListUpdate& update) {
  update.list = ServerList{ServerList::Kind::changes, {}};
  for (const auto& entry : entries) {
    const auto server = find(entry.name);
    if (!server || entry.state == ServerState::ready || boxes_[*server].state != ServerState::ready)
      continue;
    if (entry.started_ms == boxes_[*server].incarnation)
      put(now, entry, clock_ms, false, update);
  }
  if (update.list->entries.empty())
    update.list.reset();
}

ListUpdate BoxList::apply_cached(Duration now, std::string_view json) {
  ListUpdate update;
  std::int64_t revision = 0, clock_ms = 0;
  auto entries = parse(json, revision, clock_ms);
  if (const auto* error = std::get_if<ListError>(&entries)) {
    update.error = *error;
    return update;
  }
  update.list = ServerList{ServerList::Kind::cached, {}};
  for (const auto& entry : std::get<std::vector<Entry>>(entries))
    put(now, entry, clock_ms, true, update);
  return update;
}

}  // namespace violettide::boxlist
