#include "benchlink/wire.h"

#include <charconv>
#include <cmath>

namespace violettide::benchlink {

namespace {

template <typename Number>
std::optional<Number> parse(std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  if constexpr (std::is_floating_point_v<Number>) {
    if (!std::isfinite(value)) return std::nullopt;
  }
  return value;
}

// Calls `take` for every part of `text` between separators.
template <typename Take>
void split(std::string_view text, char separator, Take take) {
  while (!text.empty()) {
    const auto cut = text.find(separator);
    take(text.substr(0, cut));
    if (cut == std::string_view::npos) return;
    text.remove_prefix(cut + 1);
  }
}

template <typename Number>
Number value_of(const std::string& path, std::string_view text) {
  const auto value = parse<Number>(text);
  if (!value) throw Malformed("setting " + path + "=" + std::string(text) + ": expected a number");
  return *value;
}

}  // namespace

Fields::Fields(std::string_view line) : line_(line), left_(line), more_(true) {
  name_ = text("a message name");
}

void Fields::expected(const char* what) const {
  throw Malformed("malformed line '" + std::string(line_.substr(0, 200)) + "': expected " + what);
}

std::string_view Fields::text(const char* what) {
  if (!more_) expected(what);
  const auto cut = left_.find(' ');
  const auto part = left_.substr(0, cut);
  more_ = cut != std::string_view::npos;
  left_ = more_ ? left_.substr(cut + 1) : std::string_view{};
  if (part.empty()) expected(what);
  return part;
}

std::optional<std::int64_t> Fields::maybe_integer(const char* what) {
  const auto part = text(what);
  if (part == "-") return std::nullopt;
  const auto value = parse<std::int64_t>(part);
  if (!value) expected(what);
  return value;
}

std::int64_t Fields::integer(const char* what) {
  const auto value = maybe_integer(what);
  if (!value) expected(what);
  return *value;
}

std::optional<double> Fields::maybe_number(const char* what) {
  const auto part = text(what);
  if (part == "-") return std::nullopt;
  const auto value = parse<double>(part);
  if (!value) expected(what);
  return value;
}

double Fields::number(const char* what) {
  const auto value = maybe_number(what);
  if (!value) expected(what);
  return *value;
}

bool Fields::flag(const char* what) {
  const auto value = integer(what);
  if (value != 0 && value != 1) expected(what);
  return value == 1;
}

std::string_view Fields::rest() {
  more_ = false;
  return left_;
}

void Fields::end() {
  if (more_) expected("the end of the line");
}

Pairs::Pairs(std::string_view text) {
  split(text, ' ', [&](std::string_view pair) {
    const auto cut = pair.find('=');
    if (cut == std::string_view::npos) {
      throw Malformed("setting '" + std::string(pair) + "': expected path=value");
    }
    values_.emplace(pair.substr(0, cut), pair.substr(cut + 1));
  });
}

std::string Pairs::text(const std::string& path) const {
  const auto found = values_.find(path);
  return found == values_.end() || found->second == "-" ? "" : found->second;
}

double Pairs::number(const std::string& path, double otherwise) const {
  const auto value = text(path);
  return value.empty() ? otherwise : value_of<double>(path, value);
}

std::int64_t Pairs::integer(const std::string& path, std::int64_t otherwise) const {
  return static_cast<std::int64_t>(std::llround(number(path, static_cast<double>(otherwise))));
}

bool Pairs::flag(const std::string& path) const {
  const auto value = text(path);
  return value == "true" || value == "1";
}

std::vector<double> Pairs::numbers(const std::string& path) const {
  std::vector<double> values;
  split(text(path), ',', [&](std::string_view part) { values.push_back(value_of<double>(path, part)); });
  return values;
}

std::map<std::string, double> load_values(std::string_view text) {
  std::map<std::string, double> values;
  if (text == "-") return values;
  split(text, ',', [&](std::string_view pair) {
    const auto cut = pair.find(':');
    const auto value = cut == std::string_view::npos ? std::nullopt : parse<double>(pair.substr(cut + 1));
    if (!value) throw Malformed("load report '" + std::string(text) + "': expected name:value pairs");
    values.emplace(pair.substr(0, cut), *value);
  });
  return values;
}

}  // namespace violettide::benchlink
