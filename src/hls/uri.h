// Resolves the URIs of playlists (RFC 3986, section 5) and substitutes their variables. Does not use
// Boost.URL: fuzzing its release 1.81 found inputs that fail its assertions.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace violettide::hls {

// A URI on the server of the playlist.
struct SameServerUri {
  std::string text;  // absolute path and query, dot segments removed, no fragment
};
// A URI with a scheme or an authority of its own.
struct ExternalUri {
  std::string scheme;     // http if the URI has only an authority; data:, skd: etc. are not fetched
  std::string authority;  // host and port as written; empty if there is none
  std::string target;     // path and query; with no authority, all that follows the scheme
};
// A URI that is malformed or leaves the root directory.
struct InvalidUri {};
// Resolves `uri` against `base`, the absolute path (and query) of the playlist.
std::variant<SameServerUri, ExternalUri, InvalidUri> resolve(std::string_view base, std::string_view uri);

// The path up to and including the last slash, without the query.
std::string_view directory_of(std::string_view target);
// Whether the URI is certainly a file in the playlist's own directory, so that it needs no resolving.
bool is_plain_file_name(std::string_view uri);

// Variables of EXT-X-DEFINE, by name.
using Variables = std::map<std::string, std::string, std::less<>>;
// Replaces each `{$name}`; nothing if a name has no value or a reference is not closed.
std::optional<std::string> substitute_variables(std::string_view text, const Variables& variables);

}  // namespace violettide::hls
