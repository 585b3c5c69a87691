// Schema checks by valijson, and the conversions between JSON and the catalogue's types.
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

// The published schema, parsed once.
const Json& schema_json() {
  static const Json json = Json::parse(schema_text);
  return json;
}
const valijson::Schema& changes_schema() {
  static const auto schema = [] {
    auto parsed = std::make_unique<valijson::Schema>();
    valijson::SchemaParser().populateSchema(Adapter(schema_json()), *parsed);
    return parsed;
  }();
  return *schema;
}
const valijson::Schema& recording_schema() {
  static const Json json = [] {
    Json recording = schema_json()["definitions"]["recording"];
    recording["definitions"] = schema_json()["definitions"];
    return recording;
  }();
  static const auto schema = [] {
    auto parsed = std::make_unique<valijson::Schema>();
    valijson::SchemaParser().populateSchema(Adapter(json), *parsed);
    return parsed;
  }();
  return *schema;
}

// Formats the validator's path `<root>[changes][3][put]` as `changes[3].put`.
std::string json_path_of(const std::vector<std::string>& context) {
  std::string path;
  for (std::size_t i = 1; i < context.size(); ++i) {
    auto part = context[i];
    if (part.size() > 2 && part.front() == '[')
      part = part.substr(1, part.size() - 2);
    const bool index = !part.empty() && part.find_first_not_of("0123456789") == std::string::npos;
    if (index)
      path += "[" + part + "]";
    else
      path += (path.empty() ? "" : ".") + part;
  }
  return path.empty() ? "body" : path;
}

// Parses a text and checks it against a schema, unless that is null.
std::variant<Json, JsonError> parse_json(std::string_view text, const valijson::Schema* schema) {
  Json json;
  try {
    json = Json::parse(text);
  } catch (const Json::parse_error& error) {
    return JsonError{"byte " + std::to_string(error.byte), "not JSON"};
  } catch (const Json::exception&) {
    return JsonError{"body", "a number out of range"};
  }
  if (!schema)
    return json;
  valijson::ValidationResults results;
  valijson::Validator validator;
  if (validator.validate(*schema, Adapter(json), &results))
    return json;
  // The error with the deepest path names the field at fault; those above it only say that a part is invalid.
  valijson::ValidationResults::Error error, deepest;
  while (results.popError(error)) {
    if (error.context.size() > deepest.context.size())
      deepest = error;
  }
  return JsonError{json_path_of(deepest.context), deepest.description};
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
  for (const auto& rendition : json.at("renditions"))
    recording.renditions.push_back(rendition_of(rendition));
  for (const auto& location : json.at("locations"))
    recording.locations.push_back(location_of(location));
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

Json json_of(const Rendition& rendition) {
  return {{"name", rendition.name},
          {"rung", rendition.rung},
          {"codec", rendition.codec},
          {"kb_per_s", rendition.kb_per_s},
          {"length_ms", rendition.length.count() / 1000}};
}
Json json_of(const Location& location) {
  return {{"box", location.box},
          {"state", location.state == LocationState::here ? "here" : "leaving"},
          {"since_ms", location.since_ms}};
}
Json json_of(const Recording& recording) {
  Json json{{"title", recording.title}, {"renditions", Json::array()}, {"locations", Json::array()}};
  for (const auto& rendition : recording.renditions)
    json["renditions"].push_back(json_of(rendition));
  for (const auto& location : recording.locations)
    json["locations"].push_back(json_of(location));
  return json;
}
struct ChangeToJson {
  Json operator()(const PutRecording& change) const { return {{"put", json_of(change.recording)}}; }
  Json operator()(const RemoveRecording& change) const { return {{"remove", change.title}}; }
  Json operator()(const PutRendition& change) const {
    return {{"put_rendition", {{"title", change.title}, {"rendition", json_of(change.rendition)}}}};
  }
  Json operator()(const RemoveRendition& change) const {
    return {{"remove_rendition", {{"title", change.title}, {"name", change.name}}}};
  }
  Json operator()(const PutLocation& change) const {
    return {{"put_location", {{"title", change.title}, {"location", json_of(change.location)}}}};
  }
  Json operator()(const RemoveLocation& change) const {
    return {{"remove_location", {{"title", change.title}, {"box", change.box}}}};
  }
};
Json json_of(const std::vector<Change>& changes) {
  Json list = Json::array();
  for (const auto& change : changes)
    list.push_back(std::visit(ChangeToJson{}, change));
  return {{"changes", std::move(list)}};
}

std::vector<Change> changes_of(const Json& json) {
  std::vector<Change> changes;
  for (const auto& change : json.at("changes"))
    changes.push_back(change_of(change));
  return changes;
}

// Invalid UTF-8 in names is replaced, so that serialising never throws.
std::string dump(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

}  // namespace

std::variant<std::vector<Change>, JsonError> read_changes(std::string_view text) {
  auto json = parse_json(text, &changes_schema());
  if (auto* error = std::get_if<JsonError>(&json))
    return *error;
  return changes_of(std::get<Json>(json));
}

std::variant<Recording, JsonError> read_recording(std::string_view text) {
  auto json = parse_json(text, &recording_schema());
  if (auto* error = std::get_if<JsonError>(&json))
    return *error;
  return recording_of(std::get<Json>(json));
}

std::variant<Recording, JsonError> read_stored_recording(std::string_view text) {
  try {
    return recording_of(Json::parse(text));
  } catch (const Json::exception& error) {
    return JsonError{"recording", error.what()};
  }
}

std::string json_text(const Recording& recording) { return dump(json_of(recording)); }
std::string json_text(const std::vector<Change>& changes) { return dump(json_of(changes)); }

std::string feed_json(Revision first_revision,
                      const std::vector<std::pair<Revision, const std::vector<Change>*>>& batches) {
  Json list = Json::array();
  for (const auto& [revision, changes] : batches)
    list.push_back(json_of(*changes));
  return dump({{"from", first_revision}, {"batches", std::move(list)}});
}

std::string snapshot_json(const Snapshot& snapshot) {
  Json list = Json::array();
  snapshot.for_each([&](const std::string& title, const Entry& entry) {
    list.push_back(json_of(snapshot.recording_of(title, entry)));
  });
  return dump({{"revision", snapshot.revision}, {"recordings", std::move(list)}});
}

std::variant<FeedBatches, FeedSnapshot, JsonError> read_feed(std::string_view text) {
  auto json = parse_json(text, nullptr);
  if (auto* error = std::get_if<JsonError>(&json))
    return *error;
  const auto& document = std::get<Json>(json);
  if (!document.is_object())
    return JsonError{"body", "expected an object"};
  const auto is_unsigned = [&](const char* key) {
    return document.contains(key) && document[key].is_number_unsigned();
  };
  valijson::Validator validator;
  if (is_unsigned("revision") && document.contains("recordings") && document["recordings"].is_array()) {
    FeedSnapshot snapshot{document["revision"], {}};
    for (std::size_t i = 0; i < document["recordings"].size(); ++i) {
      if (!validator.validate(recording_schema(), Adapter(document["recordings"][i]), nullptr))
        return JsonError{"recordings[" + std::to_string(i) + "]", "does not match the schema of a recording"};
      snapshot.recordings.push_back(recording_of(document["recordings"][i]));
    }
    return snapshot;
  }
  if (is_unsigned("from") && document.contains("batches") && document["batches"].is_array()) {
    FeedBatches feed{document["from"], {}};
    for (std::size_t i = 0; i < document["batches"].size(); ++i) {
      if (!validator.validate(changes_schema(), Adapter(document["batches"][i]), nullptr))
        return JsonError{"batches[" + std::to_string(i) + "]", "does not match the schema of changes"};
      feed.batches.push_back(changes_of(document["batches"][i]));
    }
    return feed;
  }
  return JsonError{"body", "expected 'from' and 'batches', or 'revision' and 'recordings'"};
}

}  // namespace violettide::cataloguewire
