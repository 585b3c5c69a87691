// Reading the parts of a line of the bench's wire.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "platform_settings/platform_settings.h"

namespace violettide::benchlink {

// A line that is not what the wire promises.
class Malformed : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The parts of one line, taken in order; `-` reads as absent.
class Fields {
 public:
  explicit Fields(std::string_view line);

  std::string_view name() const { return name_; }
  std::string_view text(const char* what);
  std::int64_t integer(const char* what);
  std::optional<std::int64_t> maybe_integer(const char* what);
  double number(const char* what);
  std::optional<double> maybe_number(const char* what);
  bool flag(const char* what);
  std::string_view rest();
  void end();

 private:
  [[noreturn]] void expected(const char* what) const;

  std::string_view line_;
  std::string_view left_;
  std::string_view name_;
  bool more_ = false;
};

// name:value pairs of a load report, `-` for none.
std::map<std::string, double> load_values(std::string_view text);

}  // namespace violettide::benchlink
