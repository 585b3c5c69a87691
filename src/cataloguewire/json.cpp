#include "cataloguewire/json.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "catalogue_schema.h"

namespace violettide::cataloguewire {

namespace {

using namespace catalogue;
using Json = nlohmann::json;
using Adapter = valijson::adapters::NlohmannJsonAdapter;

// The published schema, read once.
const Json& schema_json() {
  static const Json json = Json::parse(schema_text);
  return json;
}
const valijson::Schema& changes_schema() {
  static const auto schema = [] {
    auto made = std::make_unique<valijson::Schema>();
    valijson::SchemaParser().populateSchema(Adapter(schema_json()), *made);
    return made;
  }();
  return *schema;
}
const valijson::Schema& recording_schema() {
  static const Json json = [] {
    Json made = schema_json()["definitions"]["recording"];
    made["definitions"] = schema_json()["definitions"];
    return made;
  }();
  static const auto schema = [] {
    auto made = std::make_unique<valijson::Schema>();
    valijson::SchemaParser().populateSchema(Adapter(json), *made);
    return made;
  }();
  return *schema;
}

// `<root>[changes][3][put]` as `changes[3].put`.
std::string place_of(const std::vector<std::string>& context) {
  std::string place;
  for (std::size_t i = 1; i < context.size(); ++i) {
    auto part = context[i];
    if (part.size() > 2 && part.front() == '[')
      part = part.substr(1, part.size() - 2);
    const bool index = !part.empty() && part.find_first_not_of("0123456789") == std::string::npos;
    if (index)
      place += "[" + part + "]";
    else
      place += (place.empty() ? "" : ".") + part;
  }
  return place.empty() ? "body" : place;
}

std::variant<Json, BadJson> parsed(std::string_view text, const valijson::Schema* schema) {
  Json json;
  try {
    json = Json::parse(text);
  } catch (const Json::parse_error& error) {
    return BadJson{"byte " + std::to_string(error.byte), "not JSON"};
  } catch (const Json::exception&) {
    return BadJson{"body", "a number beyond all bounds"};
  }
  if (!schema)
    return json;
  valijson::ValidationResults results;
  valijson::Validator validator;
  if (validator.validate(*schema, Adapter(json), &results))
    return json;
  // The deepest complaint says which field of which entry; those above it only that something is wrong.
  valijson::ValidationResults::Error error, deepest;
  while (results.popError(error)) {
    if (error.context.size() > deepest.context.size())
      deepest = error;
  }
  return BadJson{place_of(deepest.context), deepest.description};
}

Rendition rendition_of(const Json& json) {
  return {json.at("name"), json.at("rung"), json.value("codec", ""), json.value("kb_per_s", 0.0),
          std::chrono::milliseconds(json.value("length_ms", std::int64_t{0}))};
}
Location location_of(const Json& json) {
  return {json.at("box"),
          json.value("state", "here") == "here" ? LocationState::here : LocationState::leaving,
          json.value("since_ms", std::int64_t{0})};
}
Recording recording_of(const Json& json) {
  Recording recording{json.at("title"), {}, {}};
  for (const auto& one : json.at("renditions"))
    recording.renditions.push_back(rendition_of(one));
  for (const auto& one : json.at("locations"))
    recording.locations.push_back(location_of(one));
  return recording;
}
Change change_of(const Json& json) {
  const auto& [kind, value] = *json.items().begin();
  if (kind == "put")
    return PutRecording{recording_of(value)};
  if (kind == "remove")
    return RemoveRecording{value};
  if (kind == "put_rendition")
    return PutRendition{value.at("title"), rendition_of(value.at("rendition"))};
  if (kind == "remove_rendition")
    return RemoveRendition{value.at("title"), value.at("name")};
  if (kind == "put_location")
    return PutLocation{value.at("title"), location_of(value.at("location"))};
  return RemoveLocation{value.at("title"), value.at("box")};
}

Json json_of(const Rendition& one) {
  return {{"name", one.name},
          {"rung", one.rung},
          {"codec", one.codec},
          {"kb_per_s", one.kb_per_s},
          {"length_ms", one.length.count() / 1000}};
}
Json json_of(const Location& one) {
  return {{"box", one.box},
          {"state", one.state == LocationState::here ? "here" : "leaving"},
          {"since_ms", one.since_ms}};
}
Json json_of(const Recording& recording) {
  Json json{{"title", recording.title}, {"renditions", Json::array()}, {"locations", Json::array()}};
  for (const auto& one : recording.renditions)
    json["renditions"].push_back(json_of(one));
  for (const auto& one : recording.locations)
    json["locations"].push_back(json_of(one));
  return json;
}
struct Said {
  Json operator()(const PutRecording& c) const { return {{"put", json_of(c.recording)}}; }
  Json operator()(const RemoveRecording& c) const { return {{"remove", c.title}}; }
  Json operator()(const PutRendition& c) const {
    return {{"put_rendition", {{"title", c.title}, {"rendition", json_of(c.rendition)}}}};
  }
  Json operator()(const RemoveRendition& c) const {
    return {{"remove_rendition", {{"title", c.title}, {"name", c.name}}}};
  }
  Json operator()(const PutLocation& c) const {
    return {{"put_location", {{"title", c.title}, {"location", json_of(c.location)}}}};
  }
  Json operator()(const RemoveLocation& c) const {
    return {{"remove_location", {{"title", c.title}, {"box", c.box}}}};
  }
};
Json json_of(const std::vector<Change>& changes) {
  Json list = Json::array();
  for (const auto& change : changes)
    list.push_back(std::visit(Said{}, change));
  return {{"changes", std::move(list)}};
}

std::vector<Change> changes_of(const Json& json) {
  std::vector<Change> changes;
  for (const auto& one : json.at("changes"))
    changes.push_back(change_of(one));
  return changes;
}

std::string dumped(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

}  // namespace

std::variant<std::vector<Change>, BadJson> read_changes(std::string_view text) {
  auto json = parsed(text, &changes_schema());
  if (auto* bad = std::get_if<BadJson>(&json))
    return *bad;
  return changes_of(std::get<Json>(json));
}

std::variant<Recording, BadJson> read_recording(std::string_view text) {
  auto json = parsed(text, &recording_schema());
  if (auto* bad = std::get_if<BadJson>(&json))
    return *bad;
  return recording_of(std::get<Json>(json));
}

std::variant<Recording, BadJson> read_own_recording(std::string_view text) {
  try {
    return recording_of(Json::parse(text));
  } catch (const Json::exception& error) {
    return BadJson{"recording", error.what()};
  }
}

std::string text_of(const Recording& recording) { return dumped(json_of(recording)); }
std::string text_of(const std::vector<Change>& changes) { return dumped(json_of(changes)); }

std::string feed_text(Revision from,
                      const std::vector<std::pair<Revision, const std::vector<Change>*>>& batches) {
  Json list = Json::array();
  for (const auto& [revision, changes] : batches)
    list.push_back(json_of(*changes));
  return dumped({{"from", from}, {"batches", std::move(list)}});
}

std::string whole_text(const Snapshot& snapshot) {
  Json list = Json::array();
  snapshot.each([&](const std::string& title, const Entry& entry) {
    list.push_back(json_of(snapshot.recording_of(title, entry)));
  });
  return dumped({{"revision", snapshot.revision}, {"recordings", std::move(list)}});
}

std::variant<Fed, FedWhole, BadJson> read_feed(std::string_view text) {
  auto json = parsed(text, nullptr);
  if (auto* bad = std::get_if<BadJson>(&json))
    return *bad;
  const auto& said = std::get<Json>(json);
  if (!said.is_object())
    return BadJson{"body", "expected an object"};
  const auto whole_number = [&](const char* key) {
    return said.contains(key) && said[key].is_number_unsigned();
  };
  valijson::Validator validator;
  if (whole_number("revision") && said.contains("recordings") && said["recordings"].is_array()) {
    FedWhole whole{said["revision"], {}};
    for (std::size_t i = 0; i < said["recordings"].size(); ++i) {
      if (!validator.validate(recording_schema(), Adapter(said["recordings"][i]), nullptr))
        return BadJson{"recordings[" + std::to_string(i) + "]", "not a recording by the schema"};
      whole.recordings.push_back(recording_of(said["recordings"][i]));
    }
    return whole;
  }
  if (whole_number("from") && said.contains("batches") && said["batches"].is_array()) {
    Fed fed{said["from"], {}};
    for (std::size_t i = 0; i < said["batches"].size(); ++i) {
      if (!validator.validate(changes_schema(), Adapter(said["batches"][i]), nullptr))
        return BadJson{"batches[" + std::to_string(i) + "]", "not changes by the schema"};
      fed.batches.push_back(changes_of(said["batches"][i]));
    }
    return fed;
  }
  return BadJson{"body", "expected from and batches, or revision and recordings"};
}

}  // namespace violettide::cataloguewire
