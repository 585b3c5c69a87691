#include "cataloguewire/resource.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "cataloguewire/json.h"

namespace violettide::cataloguewire {

namespace {

using namespace catalogue;
using Json = nlohmann::json;

constexpr std::int64_t longest_wait_ms = 30'000;
constexpr std::size_t feed_most = 256;  // batches in one answer

std::string quoted(Revision revision) { return "\"" + std::to_string(revision) + "\""; }

Reply told(int status, Revision revision, Json body) {
  body["revision"] = revision;
  return {status,
          {{"Content-Type", "application/json"}, {"ETag", quoted(revision)}},
          body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n"};
}
Reply refused(int status, Revision revision, const std::string& place, const std::string& cause) {
  return told(status, revision, {{"error", {{"place", place}, {"cause", cause}}}});
}

std::optional<std::uint64_t> number(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

std::optional<std::string> argument(std::string_view target, std::string_view name) {
  const auto question = target.find('?');
  if (question == std::string_view::npos)
    return std::nullopt;
  auto query = target.substr(question + 1);
  while (!query.empty()) {
    const auto end = std::min(query.find('&'), query.size());
    const auto one = query.substr(0, end);
    if (one.starts_with(name) && one.size() > name.size() && one[name.size()] == '=')
      return http::percent_decoded(one.substr(name.size() + 1));
    query.remove_prefix(std::min(query.size(), end + 1));
  }
  return std::nullopt;
}

}  // namespace

Meaning read_request(const http::Request& request, const Keeper& keeper) {
  const auto& snapshot = *keeper.present();
  const auto present = snapshot.revision;
  const std::string_view target = request.target;
  std::vector<std::string> parts;
  for (auto path = target.substr(0, target.find('?')); !path.empty();) {
    path.remove_prefix(1);
    const auto end = std::min(path.find('/'), path.size());
    const auto part = http::percent_decoded(path.substr(0, end));
    if (!part)
      return refused(400, present, "path", "malformed percent-encoding");
    parts.push_back(*part);
    path.remove_prefix(end);
  }
  const auto nowhere = [&] { return refused(404, present, "path", "no such resource"); };
  if (parts.empty() || parts[0] != "catalogue")
    return nowhere();
  const auto& method = request.method;
  const auto only = [&](const char* methods) {
    auto reply = refused(405, present, "method", std::string("expected ") + methods);
    reply.fields.emplace_back("Allow", methods);
    return reply;
  };
  Asked asked;
  asked.confirmed = argument(target, "confirm") == "true";
  if (const auto* match = http::find(request.fields, "If-Match"); match && *match != "*") {
    const bool is_quoted = match->size() > 2 && match->front() == '"' && match->back() == '"';
    const auto revision =
        is_quoted ? number(std::string_view(*match).substr(1, match->size() - 2)) : std::nullopt;
    if (!revision)
      return refused(400, present, "If-Match", "expected a revision in quotes, or *");
    asked.if_revision = *revision;
  }
  if (parts.size() == 1) {
    if (method != "GET")
      return only("GET");
    return told(200, present,
                {{"recordings", snapshot.sums.recordings}, {"locations", snapshot.sums.locations}});
  }
  if (parts.size() == 2 && parts[1] == "whole") {
    if (method != "GET")
      return only("GET");
    return Reply{
        200, {{"Content-Type", "application/json"}, {"ETag", quoted(present)}}, whole_text(snapshot)};
  }
  if (parts.size() == 2 && parts[1] == "wanting") {
    if (method != "GET")
      return only("GET");
    return AskWanting{};
  }
  if (parts.size() == 2 && parts[1] == "feed") {
    if (method != "GET")
      return only("GET");
    const auto after = number(argument(target, "after").value_or(""));
    if (!after)
      return refused(400, present, "after", "expected a revision");
    const auto wait = number(argument(target, "wait_ms").value_or("0"));
    if (!wait)
      return refused(400, present, "wait_ms", "expected a time in ms");
    return FeedWait{*after, std::chrono::milliseconds(std::min<std::uint64_t>(*wait, longest_wait_ms))};
  }
  if (parts.size() == 2 && parts[1] == "changes") {
    if (method != "POST")
      return only("POST");
    auto changes = read_changes(request.body);
    if (const auto* bad = std::get_if<BadJson>(&changes))
      return refused(400, present, bad->place, bad->cause);
    asked.changes = std::get<std::vector<Change>>(std::move(changes));
    return asked;
  }
  if (parts[1] != "recordings" || parts.size() < 3)
    return nowhere();
  const auto& title = parts[2];
  // A body that stands for a part of a change is checked as that change.
  const auto change = [&](const char* kind, Json whole) -> Meaning {
    auto changes = read_changes(
        Json{{"changes", {{{kind, std::move(whole)}}}}}.dump(-1, ' ', false, Json::error_handler_t::replace));
    if (const auto* bad = std::get_if<BadJson>(&changes))
      return refused(400, present, bad->place, bad->cause);
    asked.changes = std::get<std::vector<Change>>(std::move(changes));
    return asked;
  };
  Json body = Json::object();
  if (method == "PUT" && !request.body.empty()) {
    body = Json::parse(request.body, nullptr, false);
    if (body.is_discarded() || !body.is_object())
      return refused(400, present, "body", "expected a JSON object");
  }
  if (parts.size() == 3) {
    if (method == "GET") {
      const auto recording = snapshot.recording(title);
      if (!recording)
        return refused(404, present, "title", "no recording '" + title + "'");
      return Reply{
          200, {{"Content-Type", "application/json"}, {"ETag", quoted(present)}}, text_of(*recording) + "\n"};
    }
    if (method == "PUT") {
      if (body.contains("title") && body["title"] != title)
        return refused(400, present, "title", "not the one in the path");
      body["title"] = title;
      return change("put", std::move(body));
    }
    if (method == "DELETE")
      return change("remove", title);
    return only("GET, PUT, DELETE");
  }
  if (parts.size() == 5 && (parts[3] == "locations" || parts[3] == "renditions")) {
    const bool location = parts[3] == "locations";
    const char* key = location ? "box" : "name";
    if (method == "PUT") {
      body[key] = parts[4];
      return change(location ? "put_location" : "put_rendition",
                    {{"title", title}, {location ? "location" : "rendition", std::move(body)}});
    }
    if (method == "DELETE")
      return change(location ? "remove_location" : "remove_rendition", {{"title", title}, {key, parts[4]}});
    return only("PUT, DELETE");
  }
  return nowhere();
}

Reply reply_to(const Answer& answer) {
  switch (answer.how) {
    case Answered::taken:
      return told(200, answer.revision, Json::object());
    case Answered::stale:
      return refused(412, answer.revision, "If-Match", answer.cause);
    case Answered::bad:
      return refused(422, answer.revision,
                     "changes[" + std::to_string(answer.bad.change) + "]." + answer.bad.field,
                     answer.bad.cause);
    case Answered::held:
      return refused(409, answer.revision, "changes", answer.cause + " with ?confirm=true");
    case Answered::not_kept:
      return refused(507, answer.revision, "disk", answer.cause);
    case Answered::busy: {
      auto reply = refused(503, answer.revision, "queue", answer.cause);
      reply.fields.emplace_back("Retry-After", "1");
      return reply;
    }
  }
  return {};
}

std::optional<Reply> feed_reply(const Keeper& keeper, Revision after) {
  const auto present = keeper.present()->revision;
  if (after == present)
    return std::nullopt;
  const auto batches = keeper.after(after, feed_most);
  // The log no longer reaches back, or never came so far: take the whole.
  if (!batches)
    return refused(410, present, "after", "take /catalogue/whole and go on from there");
  return Reply{
      200, {{"Content-Type", "application/json"}, {"ETag", quoted(present)}}, feed_text(after + 1, *batches)};
}

Reply empty_feed(Revision present) {
  return {200, {{"Content-Type", "application/json"}, {"ETag", quoted(present)}}, feed_text(present + 1, {})};
}

Reply wanting_reply(const Snapshot& snapshot, const std::vector<Wanted>& wanting) {
  Json list = Json::array();
  for (const auto& one : wanting) {
    list.push_back({{"title", snapshot.title(one.recording)},
                    {"asked", one.asked},
                    {"doubt", one.doubt},
                    {"turned_away", one.turned_away},
                    {"holders", one.holders},
                    {"fill", one.fill}});
  }
  return told(200, snapshot.revision, {{"wanting", std::move(list)}});
}

}  // namespace violettide::cataloguewire
