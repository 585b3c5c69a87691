#include "hls/uri.h"

#include <algorithm>
#include <vector>

namespace violettide::hls {

namespace {

bool is_letter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); }
bool is_digit(char c) { return c >= '0' && c <= '9'; }
bool is_hex(char c) { return is_digit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F'); }

// Whether every character may appear in a URI (RFC 3986, 2) and every percent sign begins an encoded octet.
bool well_formed(std::string_view uri) {
  constexpr std::string_view punctuation = "-._~:/?#[]@!$&'()*+,;=";
  for (std::size_t i = 0; i < uri.size(); ++i) {
    const char c = uri[i];
    if (c == '%') {
      if (i + 2 >= uri.size() || !is_hex(uri[i + 1]) || !is_hex(uri[i + 2]))
        return false;
      i += 2;
    } else if (!is_letter(c) && !is_digit(c) && punctuation.find(c) == std::string_view::npos) {
      return false;
    }
  }
  return true;
}

// Removes the scheme and its colon from `uri` and returns the scheme; empty if there is none.
std::string_view take_scheme(std::string_view& uri) {
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

// Removes dot segments (RFC 3986, 5.2.4). Returns nothing for a path that leaves the root, or that encodes a
// slash, a backslash or a null byte: a video server might resolve it to another path than the one checked.
std::optional<std::string> normalized_path(std::string_view path) {
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
  std::string result;
  for (const auto part : parts)
    result.append("/").append(part);
  if (directory || result.empty())
    result += '/';
  return result;
}

}  // namespace

std::variant<SameServerUri, ExternalUri, InvalidUri> resolve(std::string_view base, std::string_view uri) {
  if (!well_formed(uri) || !well_formed(base) || base.empty() || base[0] != '/')
    return InvalidUri{};
  auto rest = uri.substr(0, uri.find('#'));
  const auto scheme = take_scheme(rest);
  const bool has_authority = rest.starts_with("//");
  if (!scheme.empty() || has_authority) {
    if (has_authority)
      rest.remove_prefix(2);
    const auto authority = has_authority ? rest.substr(0, rest.find_first_of("/?")) : std::string_view();
    rest.remove_prefix(authority.size());
    const auto path = rest.substr(0, rest.find('?'));
    auto plain = normalized_path(path.empty() ? "/" : path);
    if (has_authority && !plain)
      return InvalidUri{};
    return ExternalUri{scheme.empty() ? "http" : std::string(scheme), std::string(authority),
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
  auto plain = normalized_path(merged);
  if (!plain)
    return InvalidUri{};
  return SameServerUri{*plain + std::string(query)};
}

std::string_view directory_of(std::string_view target) {
  const auto path = target.substr(0, target.find('?'));
  const auto slash = path.rfind('/');
  return slash == std::string_view::npos ? std::string_view() : path.substr(0, slash + 1);
}

bool is_plain_file_name(std::string_view uri) {
  if (uri.empty() || uri[0] == '.' || uri[0] == '?')
    return false;
  return std::all_of(uri.begin(), uri.end(), [](char c) {
    return is_letter(c) || is_digit(c) || c == '-' || c == '_' || c == '.' || c == '~';
  });
}

std::optional<std::string> substitute_variables(std::string_view text, const Variables& variables) {
  std::string result;
  for (std::size_t at = 0;;) {
    const auto from = text.find("{$", at);
    if (from == std::string_view::npos)
      return result.append(text.substr(at));
    const auto to = text.find('}', from);
    if (to == std::string_view::npos)
      return std::nullopt;
    const auto found = variables.find(text.substr(from + 2, to - from - 2));
    if (found == variables.end())
      return std::nullopt;
    result.append(text.substr(at, from - at)).append(found->second);
    at = to + 1;
  }
}

}  // namespace violettide::hls
