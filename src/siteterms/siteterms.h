// The operators' settings as the module reads them. Every way into the program hands them over as
// path=value pairs: the bench's adapter as they come, the platform's configuration flattened.
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

// A number written out, and nothing else; never one that is none or endless.
template <typename Number>
std::optional<Number> read_number(std::string_view text) {
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

// A setting that is not what its reader was promised.
class SettingFault : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// path=value pairs; unknown paths are simply never asked for. Lists of plain values are joined by commas;
// lists of objects have their length under PATH.count and their items under PATH.0 and on.
class Pairs {
 public:
  Pairs() = default;
  explicit Pairs(std::string_view text);  // set apart by spaces

  void put(std::string path, std::string value) { values_[std::move(path)] = std::move(value); }
  double number(const std::string& path, double otherwise) const;
  std::int64_t integer(const std::string& path, std::int64_t otherwise) const;
  bool flag(const std::string& path) const;
  std::string text(const std::string& path) const;
  std::vector<double> numbers(const std::string& path) const;
  std::vector<std::string> texts(const std::string& path) const;

 private:
  std::map<std::string, std::string> values_;
};

PolicySettings site_terms(const Pairs& settings);

// Reports by the names that the operators give their figures; others are passed over.
LoadReport load_report(const std::map<std::string, double>& values);

// name:value, set apart by `separator`; nothing if a part is none.
bool read_figures(std::string_view text, char separator, std::map<std::string, double>& values);

}  // namespace violettide
