// Routing, validation and the HTTP status of each outcome.
#include "cataloguewire/resource.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "cataloguewire/json.h"

namespace violettide::cataloguewire {

namespace {

using namespace catalogue;
using Json = nlohmann::json;

constexpr std::int64_t max_wait_ms = 30'000;        // of a long poll
constexpr std::size_t max_batches_per_reply = 256;  // of the feed

std::string etag_of(Revision revision) { return "\"" + std::to_string(revision) + "\""; }

Reply json_reply(int status, Revision revision, Json body) {
  body["revision"] = revision;
  return {status,
          {{"Content-Type", "application/json"}, {"ETag", etag_of(revision)}},
          body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n"};
}
Reply error_reply(int status, Revision revision, const std::string& place, const std::string& cause) {
  return json_reply(status, revision, {{"error", {{"place", place}, {"cause", cause}}}});
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

// The decoded value of a query parameter; absent: not given, or its encoding is malformed.
std::optional<std::string> query_parameter(std::string_view target, std::string_view name) {
  const auto query_start = target.find('?');
  if (query_start == std::string_view::npos)
    return std::nullopt;
  auto query = target.substr(query_start + 1);
  while (!query.empty()) {
    const auto end = std::min(query.find('&'), query.size());
    const auto parameter = query.substr(0, end);
    if (parameter.starts_with(name) && parameter.size() > name.size() && parameter[name.size()] == '=')
      return http::percent_decode(parameter.substr(name.size() + 1));
    query.remove_prefix(std::min(query.size(), end + 1));
  }
  return std::nullopt;
}

}  // namespace

CatalogueRequest read_request(const http::Request& request, const Replica& replica) {
  const auto& snapshot = *replica.current();
  const auto current = snapshot.revision;
  const std::string_view target = request.target;
  std::vector<std::string> segments;
  for (auto path = target.substr(0, target.find('?')); !path.empty();) {
    path.remove_prefix(1);
    const auto end = std::min(path.find('/'), path.size());
    const auto segment = http::percent_decode(path.substr(0, end));
    if (!segment)
      return error_reply(400, current, "path", "malformed percent-encoding");
    segments.push_back(*segment);
    path.remove_prefix(end);
  }
  const auto not_found = [&] { return error_reply(404, current, "path", "no such resource"); };
  if (segments.empty() || segments[0] != "catalogue")
    return not_found();
  const auto& method = request.method;
  const auto method_not_allowed = [&](const char* methods) {
    auto reply = error_reply(405, current, "method", std::string("expected ") + methods);
    reply.fields.emplace_back("Allow", methods);
    return reply;
  };
  ChangeRequest change_request;
  change_request.confirmed = query_parameter(target, "confirm") == "true";
  if (const auto* match = http::find(request.fields, "If-Match"); match && *match != "*") {
    const bool is_quoted = match->size() > 2 && match->front() == '"' && match->back() == '"';
    const auto revision =
        is_quoted ? parse_number(std::string_view(*match).substr(1, match->size() - 2)) : std::nullopt;
    if (!revision)
      return error_reply(400, current, "If-Match", "expected a revision in quotes, or *");
    change_request.expected_revision = *revision;
  }
  if (segments.size() == 1) {
    if (method != "GET")
      return method_not_allowed("GET");
    return json_reply(200, current,
                      {{"recordings", snapshot.totals.recordings}, {"locations", snapshot.totals.locations}});
  }
  if (segments.size() == 2 && segments[1] == "whole") {
    if (method != "GET")
      return method_not_allowed("GET");
    return Reply{
        200, {{"Content-Type", "application/json"}, {"ETag", etag_of(current)}}, snapshot_json(snapshot)};
  }
  if (segments.size() == 2 && segments[1] == "wanting") {
    if (method != "GET")
      return method_not_allowed("GET");
    return ListReplicationCandidates{};
  }
  if (segments.size() == 2 && segments[1] == "feed") {
    if (method != "GET")
      return method_not_allowed("GET");
    const auto after = parse_number(query_parameter(target, "after").value_or(""));
    if (!after)
      return error_reply(400, current, "after", "expected a revision");
    const auto wait = parse_number(query_parameter(target, "wait_ms").value_or("0"));
    if (!wait)
      return error_reply(400, current, "wait_ms", "expected a time in ms");
    return FeedLongPoll{*after, std::chrono::milliseconds(std::min<std::uint64_t>(*wait, max_wait_ms))};
  }
  if (segments.size() == 2 && segments[1] == "changes") {
    if (method != "POST")
      return method_not_allowed("POST");
    auto changes = read_changes(request.body);
    if (const auto* error = std::get_if<JsonError>(&changes))
      return error_reply(400, current, error->place, error->cause);
    change_request.changes = std::get<std::vector<Change>>(std::move(changes));
    return change_request;
  }
  if (segments[1] != "recordings" || segments.size() < 3)
    return not_found();
  const auto& title = segments[2];
  // Requests on one item are turned into a batch of one change, so that the same schema checks them.
  const auto single_change = [&](const char* kind, Json value) -> CatalogueRequest {
    auto changes = read_changes(
        Json{{"changes", {{{kind, std::move(value)}}}}}.dump(-1, ' ', false, Json::error_handler_t::replace));
    if (const auto* error = std::get_if<JsonError>(&changes))
      return error_reply(400, current, error->place, error->cause);
    change_request.changes = std::get<std::vector<Change>>(std::move(changes));
    return change_request;
  };
  Json body = Json::object();
  if (method == "PUT" && !request.body.empty()) {
    body = Json::parse(request.body, nullptr, false);
    if (body.is_discarded() || !body.is_object())
      return error_reply(400, current, "body", "expected a JSON object");
  }
  if (segments.size() == 3) {
    if (method == "GET") {
      const auto recording = snapshot.recording(title);
      if (!recording)
        return error_reply(404, current, "title", "no recording '" + title + "'");
      return Reply{200,
                   {{"Content-Type", "application/json"}, {"ETag", etag_of(current)}},
                   json_text(*recording) + "\n"};
    }
    if (method == "PUT") {
      if (body.contains("title") && body["title"] != title)
        return error_reply(400, current, "title", "differs from the title in the path");
      body["title"] = title;
      return single_change("put", std::move(body));
    }
    if (method == "DELETE")
      return single_change("remove", title);
    return method_not_allowed("GET, PUT, DELETE");
  }
  if (segments.size() == 5 && (segments[3] == "locations" || segments[3] == "renditions")) {
    const bool location = segments[3] == "locations";
    const char* key = location ? "box" : "name";
    if (method == "PUT") {
      body[key] = segments[4];
      return single_change(location ? "put_location" : "put_rendition",
                           {{"title", title}, {location ? "location" : "rendition", std::move(body)}});
    }
    if (method == "DELETE")
      return single_change(location ? "remove_location" : "remove_rendition",
                           {{"title", title}, {key, segments[4]}});
    return method_not_allowed("PUT, DELETE");
  }
  return not_found();
}

Reply reply_to(const ChangeResult& result) {
  switch (result.outcome) {
    case ChangeOutcome::accepted:
      return json_reply(200, result.revision, Json::object());
    case ChangeOutcome::stale:
      return error_reply(412, result.revision, "If-Match", result.cause);
    case ChangeOutcome::invalid:
      return error_reply(
          422, result.revision,
          "changes[" + std::to_string(result.invalid_change.change) + "]." + result.invalid_change.field,
          result.invalid_change.cause);
    case ChangeOutcome::confirmation_required:
      return error_reply(409, result.revision, "changes", result.cause + ": repeat it with ?confirm=true");
    case ChangeOutcome::not_durable:
      return error_reply(507, result.revision, "disk", result.cause);
    case ChangeOutcome::busy: {
      auto reply = error_reply(503, result.revision, "queue", result.cause);
      reply.fields.emplace_back("Retry-After", "1");
      return reply;
    }
  }
  return {};
}

std::optional<Reply> feed_reply(const Replica& replica, Revision after) {
  const auto current = replica.current()->revision;
  if (after == current)
    return std::nullopt;
  const auto batches = replica.batches_after(after, max_batches_per_reply);
  // `after` precedes the log, or is ahead of this replica: the client needs a full snapshot.
  if (!batches)
    return error_reply(410, current, "after",
                       "not in the log: get /catalogue/whole and continue from its revision");
  return Reply{200,
               {{"Content-Type", "application/json"}, {"ETag", etag_of(current)}},
               feed_json(after + 1, *batches)};
}

Reply empty_feed_reply(Revision current) {
  return {
      200, {{"Content-Type", "application/json"}, {"ETag", etag_of(current)}}, feed_json(current + 1, {})};
}

Reply replication_candidates_reply(const Snapshot& snapshot,
                                   const std::vector<ReplicationCandidate>& candidates) {
  Json list = Json::array();
  for (const auto& candidate : candidates) {
    list.push_back({{"title", snapshot.title(candidate.recording)},
                    {"asked", candidate.requests},
                    {"doubt", candidate.max_error},
                    {"turned_away", candidate.turned_away},
                    {"holders", candidate.holders},
                    {"fill", candidate.link_utilization}});
  }
  return json_reply(200, snapshot.revision, {{"wanting", std::move(list)}});
}

}  // namespace violettide::cataloguewire
