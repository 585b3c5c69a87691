#include <algorithm>
#include <vector>

#include "hls/uri.h"

namespace violettide::hls {

namespace {

bool is_letter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); }
bool is_digit(char c) { return c >= '0' && c <= '9'; }
bool is_hex(char c) { return is_digit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F'); }

// Every character is one that a URI may have (RFC 3986, 2), and percent signs begin an octet.
bool well_formed(std::string_view uri) {
  constexpr std::string_view others = "-._~:/?#[]@!$&'()*+,;=";
  for (std::size_t i = 0; i < uri.size(); ++i) {
    const char c = uri[i];
    if (c == '%') {
      if (i + 2 >= uri.size() || !is_hex(uri[i + 1]) || !is_hex(uri[i + 2]))
        return false;
      i += 2;
    } else if (!is_letter(c) && !is_digit(c) && others.find(c) == std::string_view::npos) {
      return false;
    }
  }
  return true;
}

std::string_view cut_scheme(std::string_view& uri) {
  const auto colon = uri.find_first_of(":/?#");
  if (colon == std::string_view::npos || uri[colon] != ':' || colon == 0 || !is_letter(uri[0]))
    return {};
  const auto scheme = uri.substr(0, colon);
  if (!std::all_of(scheme.begin(), scheme.end(),
                   [](char c) { return is_letter(c) || is_digit(c) || c == '+' || c == '-' || c == '.'; }))
    return {};
  uri.remove_prefix(colon + 1);
  return scheme;
}

// Dot segments out (RFC 3986, 5.2.4). Nothing where the path steps out of the root, or hides a slash, a
// backslash or a zero in an octet: a box might read it as another place than the one decided on.
std::optional<std::string> plain_path(std::string_view path) {
  std::string text;
  for (std::size_t i = 0; i < path.size(); ++i) {
    if (path[i] != '%') {
      text += path[i];
      continue;
    }
    const auto octet = path.substr(i, 3);
    for (const auto* hidden : {"%2f", "%2F", "%5c", "%5C", "%00"}) {
      if (octet == hidden)
        return std::nullopt;
    }
    if (octet == "%2e" || octet == "%2E")
      text += '.';
    else
      text += octet;
    i += 2;
  }
  std::vector<std::string_view> parts;
  bool directory = false;
  const std::string_view whole(text);
  for (std::size_t from = 1; from <= whole.size();) {
    const auto end = std::min(whole.find('/', from), whole.size());
    const auto part = whole.substr(from, end - from);
    const bool last = end == whole.size();
    from = end + 1;
    directory = last && (part.empty() || part == "." || part == "..");
    if (part == "..") {
      if (parts.empty())
        return std::nullopt;
      parts.pop_back();
    } else if (part != "." && !(last && part.empty())) {
      parts.push_back(part);
    }
  }
  std::string made;
  for (const auto part : parts)
    made.append("/").append(part);
  if (directory || made.empty())
    made += '/';
  return made;
}

}  // namespace

std::variant<Target, Elsewhere, Unreadable> resolve(std::string_view base, std::string_view uri) {
  if (!well_formed(uri) || !well_formed(base) || base.empty() || base[0] != '/')
    return Unreadable{};
  auto rest = uri.substr(0, uri.find('#'));
  const auto scheme = cut_scheme(rest);
  const bool has_authority = rest.starts_with("//");
  if (!scheme.empty() || has_authority) {
    if (has_authority)
      rest.remove_prefix(2);
    const auto authority = has_authority ? rest.substr(0, rest.find_first_of("/?")) : std::string_view();
    rest.remove_prefix(authority.size());
    const auto path = rest.substr(0, rest.find('?'));
    auto plain = plain_path(path.empty() ? "/" : path);
    if (has_authority && !plain)
      return Unreadable{};
    return Elsewhere{scheme.empty() ? "http" : std::string(scheme), std::string(authority),
                     has_authority ? *plain + std::string(rest.substr(path.size())) : std::string(rest)};
  }
  const auto path = rest.substr(0, rest.find('?'));
  auto query = rest.substr(path.size());
  const auto base_path = base.substr(0, base.find('?'));
  std::string merged;
  if (path.empty()) {
    merged = base_path;
    if (query.empty())
      query = base.substr(base_path.size());
  } else {
    merged = path[0] == '/' ? std::string(path) : std::string(directory_of(base)) + std::string(path);
  }
  auto plain = plain_path(merged);
  if (!plain)
    return Unreadable{};
  return Target{*plain + std::string(query)};
}

std::string_view directory_of(std::string_view target) {
  const auto path = target.substr(0, target.find('?'));
  const auto slash = path.rfind('/');
  return slash == std::string_view::npos ? std::string_view() : path.substr(0, slash + 1);
}

bool plain_name(std::string_view uri) {
  if (uri.empty() || uri[0] == '.' || uri[0] == '?')
    return false;
  return std::all_of(uri.begin(), uri.end(), [](char c) {
    return is_letter(c) || is_digit(c) || c == '-' || c == '_' || c == '.' || c == '~';
  });
}

std::optional<std::string> substituted(std::string_view text, const Variables& variables) {
  std::string made;
  for (std::size_t at = 0;;) {
    const auto from = text.find("{$", at);
    if (from == std::string_view::npos)
      return made.append(text.substr(at));
    const auto to = text.find('}', from);
    if (to == std::string_view::npos)
      return std::nullopt;
    const auto found = variables.find(text.substr(from + 2, to - from - 2));
    if (found == variables.end())
      return std::nullopt;
    made.append(text.substr(at, from - at)).append(found->second);
    at = to + 1;
  }
}

}  // namespace violettide::hls
