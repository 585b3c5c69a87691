// Converts the settings of the operators' platform to PolicySettings, and its load reports to LoadReport.
// Both sources of settings supply path=value pairs: the simulator sends them in this form, and the platform's
// JSON configuration is flattened to it.
#pragma once

#include <charconv>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "policy/policy.h"

namespace violettide {

// Parses `text` as one number. Returns nothing if it has other characters, is out of range, or is NaN or
// infinite.
template <typename Number>
std::optional<Number> parse_number(std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size())
    return std::nullopt;
  if constexpr (std::is_floating_point_v<Number>) {
    if (!std::isfinite(value))
      return std::nullopt;
  }
  return value;
}

// A setting is malformed; what() has its path and what was expected.
class SettingError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Settings as path=value pairs. Paths that no reader asks for have no effect. A list of plain values is
// joined by commas; a list of objects has its length under PATH.count and its items under PATH.0, PATH.1 and
// so on. The getters take an absent path, an empty value and `-` as not set, and throw SettingError if a
// value has the wrong type.
class FlatSettings {
 public:
  FlatSettings() = default;
  // Reads pairs separated by spaces; of a path that comes twice the first value counts. Throws SettingError
  // for a part without `=`.
  explicit FlatSettings(std::string_view text);

  // Sets the value of a path in place of an earlier one.
  void set(std::string path, std::string value) { values_[std::move(path)] = std::move(value); }
  // Returns the value of a path, or `fallback` if it is not set.
  double number(const std::string& path, double fallback) const;
  // As number(), rounded to the nearest integer.
  std::int64_t integer(const std::string& path, std::int64_t fallback) const;
  // Accepts true, 1, false and 0; false if the path is not set.
  bool flag(const std::string& path) const;
  // Empty if the path is not set.
  std::string text(const std::string& path) const;
  // The items of a comma-separated list; none if the path is not set.
  std::vector<double> numbers(const std::string& path) const;
  std::vector<std::string> texts(const std::string& path) const;

 private:
  std::map<std::string, std::string> values_;
};

// Reads the policy's settings; an absent one takes its default. Throws SettingError for a value of the wrong
// type.
PolicySettings read_policy_settings(const FlatSettings& settings);

// Picks the values that the policy uses out of a report by the platform's names: x0, or else busy, is the
// load of the link, x1 that of the uplink, rif the streams. Other names are ignored.
LoadReport read_load_report(const std::map<std::string, double>& values);

// Adds the name:value pairs of `text` to `values`. Returns false if a part is malformed; the others are added
// all the same.
bool parse_named_numbers(std::string_view text, char separator, std::map<std::string, double>& values);

}  // namespace violettide
