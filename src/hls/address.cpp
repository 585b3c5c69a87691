#include "hls/address.h"

#include <algorithm>
#include <boost/url/src.hpp>
#include <boost/url/url.hpp>

namespace violettide::hls {

std::variant<Target, Elsewhere, Unreadable> resolve(std::string_view base, std::string_view uri) {
  namespace urls = boost::urls;
  // Guards against an encoded slash that the box would read as another place.
  const auto named = uri.substr(0, uri.find('?'));
  for (const auto* hidden : {"%2f", "%2F", "%5c", "%5C", "\\"}) {
    if (named.find(hidden) != std::string_view::npos) return Unreadable{};
  }
  const auto whole_base = "http://box" + std::string(base);  // outlives the views into it
  const auto origin = urls::parse_uri(whole_base);
  const auto reference = urls::parse_uri_reference({uri.data(), uri.size()});
  if (!origin || !reference) return Unreadable{};
  urls::url whole;
  if (!urls::resolve(*origin, *reference, whole)) return Unreadable{};
  whole.remove_fragment();
  whole.normalize_path();
  const auto target = std::string(whole.encoded_target());
  if (whole.scheme() != "http" || whole.encoded_authority() != "box" || reference->has_authority())
    return Elsewhere{std::string(whole.scheme()), std::string(whole.encoded_authority()), target};
  // More steps up than there are directories: no playlist needs them (Boost.URL keeps them; RFC 3986 drops
  // them).
  const auto path = std::string_view(target).substr(0, target.find('?'));
  if (path.empty() || path[0] != '/' || path.find("/..") != std::string_view::npos) return Unreadable{};
  return Target{target};
}

std::string_view directory_of(std::string_view target) {
  const auto path = target.substr(0, target.find('?'));
  const auto slash = path.rfind('/');
  return slash == std::string_view::npos ? std::string_view() : path.substr(0, slash + 1);
}

bool plain_name(std::string_view uri) {
  if (uri.empty() || uri[0] == '.' || uri[0] == '?') return false;
  return std::all_of(uri.begin(), uri.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.' || c == '~';
  });
}

std::optional<std::string> substituted(std::string_view text, const Variables& variables) {
  std::string made;
  for (std::size_t at = 0;;) {
    const auto from = text.find("{$", at);
    if (from == std::string_view::npos) return made.append(text.substr(at));
    const auto to = text.find('}', from);
    if (to == std::string_view::npos) return std::nullopt;
    const auto found = variables.find(text.substr(from + 2, to - from - 2));
    if (found == variables.end()) return std::nullopt;
    made.append(text.substr(at, from - at)).append(found->second);
    at = to + 1;
  }
}

}  // namespace violettide::hls
