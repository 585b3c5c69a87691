#include "boxlist/boxlist.h"

#include <arpa/inet.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace violettide::boxlist {

namespace {

using Json = nlohmann::json;

// A shrink to under this part of the ready boxes at one stroke waits for a second list.
constexpr double shrink_believed = 0.5;
constexpr std::size_t small_fleet = 4;  // of which half may well go at once
// A service whose count has been lower for so long has begun again: one that is behind catches up sooner.
constexpr Duration begins_again = std::chrono::seconds(30);
constexpr std::int64_t latest_ms = 1'000'000'000'000'000;  // of a clock; later ones would run over

struct Missing {
  Fault fault;
};

template <typename Value>
Value need(const Json& from, const char* key, const std::string& place, const char* expected,
           bool (Json::*is)() const noexcept) {
  const auto found = from.find(key);
  if (found == from.end())
    throw Missing{{place + "." + key, std::string("missing: expected ") + expected}};
  if (!((*found).*is)())
    throw Missing{{place + "." + key, std::string("expected ") + expected}};
  return found->get<Value>();
}

}  // namespace

struct BoxList::Entry {
  std::string name, address;
  std::uint16_t port = 0;
  ServerState state = ServerState::ready;
  int kind = 0, cell = 0, hall = 0;
  double weight = 1;
  std::int64_t started = 0;  // on the list's clock, ms; 0: not told
};

BoxList::BoxList(std::vector<std::string> halls) : halls_(std::move(halls)) {}

std::optional<ServerId> BoxList::find(std::string_view name) const {
  const auto found = by_name_.find(name);
  if (found == by_name_.end())
    return std::nullopt;
  return found->second;
}

ServerId BoxList::index(std::string_view name) {
  if (const auto known = find(name))
    return *known;
  const auto id = static_cast<ServerId>(boxes_.size());
  boxes_.emplace_back().name = name;
  started_.emplace_back();
  by_name_.emplace(std::string(name), id);
  return id;
}

std::variant<std::vector<BoxList::Entry>, Fault> BoxList::read(std::string_view text, std::int64_t& revision,
                                                               std::int64_t& clock) const {
  Json json;
  try {
    json = Json::parse(text);
  } catch (const Json::parse_error& error) {
    return Fault{"byte " + std::to_string(error.byte), "not JSON"};
  } catch (const Json::exception&) {
    return Fault{"list", "a number beyond all bounds"};
  }
  try {
    if (!json.is_object())
      return Fault{"list", "expected an object"};
    revision = need<std::int64_t>(json, "revision", "list", "a whole number", &Json::is_number_integer);
    clock = need<std::int64_t>(json, "clock_ms", "list", "a whole number", &Json::is_number_integer);
    if (clock < 0 || clock > latest_ms)
      return Fault{"list.clock_ms", "expected a time in ms"};
    const auto found = json.find("boxes");
    if (found == json.end() || !found->is_array())
      return Fault{"list.boxes", "expected an array"};
    std::vector<Entry> entries;
    std::map<std::string, std::size_t> names;
    for (std::size_t i = 0; i < found->size(); ++i) {
      const auto& box = (*found)[i];
      const auto place = "boxes[" + std::to_string(i) + "]";
      if (!box.is_object())
        return Fault{place, "expected an object"};
      Entry entry;
      entry.name = need<std::string>(box, "name", place, "a string", &Json::is_string);
      entry.address = need<std::string>(box, "address", place, "a string", &Json::is_string);
      in_addr numbers{};
      if (inet_pton(AF_INET, entry.address.c_str(), &numbers) != 1)
        return Fault{place + ".address", "expected an IPv4 address in numbers"};
      const auto port = need<std::int64_t>(box, "port", place, "a port", &Json::is_number_integer);
      if (port < 1 || port > 65535)
        return Fault{place + ".port", "expected 1 to 65535"};
      entry.port = static_cast<std::uint16_t>(port);
      const auto state = need<std::string>(box, "state", place, "ready, draining or gone", &Json::is_string);
      if (state == "ready")
        entry.state = ServerState::ready;
      else if (state == "draining")
        entry.state = ServerState::draining;
      else if (state == "gone")
        entry.state = ServerState::gone;
      else
        return Fault{place + ".state", "expected ready, draining or gone"};
      entry.kind = need<int>(box, "kind", place, "a whole number", &Json::is_number_integer);
      entry.cell = need<int>(box, "cell", place, "a whole number", &Json::is_number_integer);
      const auto hall = need<std::string>(box, "hall", place, "a hall's name", &Json::is_string);
      const auto at = std::find(halls_.begin(), halls_.end(), hall);
      if (at == halls_.end())
        return Fault{place + ".hall", "no hall of that name in the settings"};
      entry.hall = static_cast<int>(at - halls_.begin());
      entry.weight = need<double>(box, "weight", place, "a number", &Json::is_number);
      if (!(entry.weight > 0))
        return Fault{place + ".weight", "expected more than 0"};
      if (box.contains("started_ms"))
        entry.started =
            need<std::int64_t>(box, "started_ms", place, "a time in ms", &Json::is_number_integer);
      if (entry.started < 0 || entry.started > latest_ms)
        return Fault{place + ".started_ms", "expected a time in ms"};
      if (entry.name.empty())
        return Fault{place + ".name", "expected some text"};
      if (const auto [other, fresh] = names.try_emplace(entry.name, i); !fresh)
        return Fault{place + ".name", "the same as boxes[" + std::to_string(other->second) + "].name"};
      entries.push_back(std::move(entry));
    }
    return entries;
  } catch (const Missing& missing) {
    return missing.fault;
  }
}

void BoxList::put(Duration now, const Entry& entry, std::int64_t clock, bool cached, News& news) {
  const auto id = index(entry.name);
  auto& box = boxes_[id];
  const bool fresh = box.port == 0;  // named by others at most
  const bool elsewhere = !fresh && (box.address != entry.address || box.port != entry.port);
  const bool anew = entry.started != 0 && entry.started != box.incarnation;
  if (elsewhere || (!fresh && anew && box.incarnation != 0))
    news.moved.push_back(id);
  // The list's clock is another: a start is mapped to ours once and kept, as a start that moved by the
  // list's way here would read as a new start each time.
  if (anew && !cached)
    started_[id] = now - std::chrono::milliseconds(std::max<std::int64_t>(0, clock - entry.started));
  box = {entry.name, entry.address, entry.port, entry.state, cached ? 0 : entry.started, entry.cell};
  news.list->entries.push_back(
      {id, entry.state, entry.kind, entry.cell, entry.hall, started_[id], entry.weight});
}

News BoxList::take(Duration now, std::string_view json) {
  News news;
  std::int64_t revision = 0, clock = 0;
  auto entries = read(json, revision, clock);
  if (const auto* fault = std::get_if<Fault>(&entries)) {
    news.fault = *fault;
    return news;
  }
  heard_at_ = now;
  auto& read_entries = std::get<std::vector<Entry>>(entries);
  // Guards against a list service that fell behind its own word: a drain once told stays told. One that
  // began again, with a lower count, says drains too: those count at once, and all of it after a while.
  if (revision < revision_) {
    if (!older_since_)
      older_since_ = now;
    if (now - *older_since_ < begins_again) {
      news.remark = "older than the list held: only its drains count";
      take_drains(now, read_entries, clock, news);
      return news;
    }
  } else {
    older_since_.reset();
  }
  std::map<std::string_view, bool> named;
  for (const auto& entry : read_entries)
    named[entry.name] = true;
  std::size_t ready = 0, dropped = 0;
  for (const auto& box : boxes_) {
    if (box.state != ServerState::ready)
      continue;
    ++ready;
    if (!named.contains(box.name))
      ++dropped;
  }
  // Guards against an empty or cut list taking the whole fleet away. What it names still counts.
  const bool shrinks =
      ready > small_fleet && static_cast<double>(dropped) > shrink_believed * static_cast<double>(ready);
  const bool hold = shrinks && !shrink_held_;
  shrink_held_ = hold;
  news.list = ServerList{hold ? ServerList::Kind::changes : ServerList::Kind::complete, {}};
  if (hold)
    news.remark = "names under half of the boxes that were ready: held until the next list says the same";
  else
    revision_ = revision;
  if (!hold) {
    for (auto& box : boxes_) {
      if (!named.contains(box.name))
        box.state = ServerState::gone;
    }
  }
  for (const auto& entry : read_entries)
    put(now, entry, clock, false, news);
  return news;
}

// Of boxes held to be ready, and of the very processes that they are.
void BoxList::take_drains(Duration now, const std::vector<Entry>& entries, std::int64_t clock, News& news) {
  news.list = ServerList{ServerList::Kind::changes, {}};
  for (const auto& entry : entries) {
    const auto known = find(entry.name);
    if (!known || entry.state == ServerState::ready || boxes_[*known].state != ServerState::ready)
      continue;
    if (entry.started == boxes_[*known].incarnation)
      put(now, entry, clock, false, news);
  }
  if (news.list->entries.empty())
    news.list.reset();
}

News BoxList::take_cached(Duration now, std::string_view json) {
  News news;
  std::int64_t revision = 0, clock = 0;
  auto entries = read(json, revision, clock);
  if (const auto* fault = std::get_if<Fault>(&entries)) {
    news.fault = *fault;
    return news;
  }
  news.list = ServerList{ServerList::Kind::cached, {}};
  for (const auto& entry : std::get<std::vector<Entry>>(entries))
    put(now, entry, clock, true, news);
  return news;
}

}  // namespace violettide::boxlist
