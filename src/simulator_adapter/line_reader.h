// Reads the fields of one line of the simulator's protocol.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "platform_settings/platform_settings.h"

namespace violettide::simulator_adapter {

// A line breaks the protocol; what() has the line or the field, and what was expected.
class ProtocolError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Reads the fields of one line from left to right. Fields are separated by one space; the first is the
// message's name. `what` says in an error what was expected. The readers throw ProtocolError for a field that
// is missing, empty or of the wrong type; the optional_ ones return nothing for `-`. The line must outlive
// the reader and the views that it returns.
class LineReader {
 public:
  explicit LineReader(std::string_view line);

  std::string_view name() const { return name_; }
  std::string_view text(const char* what);
  std::int64_t integer(const char* what);
  std::optional<std::int64_t> optional_integer(const char* what);
  double number(const char* what);
  std::optional<double> optional_number(const char* what);
  // Accepts 0 and 1.
  bool flag(const char* what);
  // Returns the rest of the line, spaces included.
  std::string_view rest();
  // Throws ProtocolError if fields are left.
  void expect_end();

 private:
  [[noreturn]] void throw_expected(const char* what) const;

  std::string_view line_;
  std::string_view remaining_;
  std::string_view name_;
  bool has_more_ = false;
};

// Reads the name:value pairs of a load report, separated by commas; `-` means none. Throws ProtocolError if a
// pair is malformed.
std::map<std::string, double> parse_load_values(std::string_view text);

}  // namespace violettide::simulator_adapter
