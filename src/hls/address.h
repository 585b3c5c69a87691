// Where a playlist's URIs lead (RFC 3986, section 5). Not by Boost.URL: of release 1.81 the fuzz target
// found inputs that end in its assertions.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace violettide::hls {

// A URI of the playlist at `base` (a path, perhaps with a query).
struct Target {
  std::string text;  // absolute path and query, dot segments removed; no fragment
};
struct Elsewhere {
  std::string scheme;     // of another service, or of none that is fetched: data:, skd:, ...
  std::string authority;  // with its port, as sent
  std::string target;     // of an http address
};
struct Unreadable {};
std::variant<Target, Elsewhere, Unreadable> resolve(std::string_view base, std::string_view uri);

// Path up to and with the last slash, without the query.
std::string_view directory_of(std::string_view target);
// Certainly a name in the playlist's own directory, so that it needs no resolving.
bool plain_name(std::string_view uri);

// Variables (EXT-X-DEFINE). Absent where a name has no value.
using Variables = std::map<std::string, std::string, std::less<>>;
std::optional<std::string> substituted(std::string_view text, const Variables& variables);

}  // namespace violettide::hls
