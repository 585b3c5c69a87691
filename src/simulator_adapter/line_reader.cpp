#include "simulator_adapter/line_reader.h"

namespace violettide::simulator_adapter {

LineReader::LineReader(std::string_view line) : line_(line), remaining_(line), has_more_(true) {
  name_ = text("a message name");
}

void LineReader::throw_expected(const char* what) const {
  throw ProtocolError("malformed line '" + std::string(line_.substr(0, 200)) + "': expected " + what);
}

std::string_view LineReader::text(const char* what) {
  if (!has_more_)
    throw_expected(what);
  const auto separator_at = remaining_.find(' ');
  const auto field = remaining_.substr(0, separator_at);
  has_more_ = separator_at != std::string_view::npos;
  remaining_ = has_more_ ? remaining_.substr(separator_at + 1) : std::string_view{};
  if (field.empty())
    throw_expected(what);
  return field;
}

std::optional<std::int64_t> LineReader::optional_integer(const char* what) {
  const auto field = text(what);
  if (field == "-")
    return std::nullopt;
  const auto value = parse_number<std::int64_t>(field);
  if (!value)
    throw_expected(what);
  return value;
}

std::int64_t LineReader::integer(const char* what) {
  const auto value = optional_integer(what);
  if (!value)
    throw_expected(what);
  return *value;
}

std::optional<double> LineReader::optional_number(const char* what) {
  const auto field = text(what);
  if (field == "-")
    return std::nullopt;
  const auto value = parse_number<double>(field);
  if (!value)
    throw_expected(what);
  return value;
}

double LineReader::number(const char* what) {
  const auto value = optional_number(what);
  if (!value)
    throw_expected(what);
  return *value;
}

bool LineReader::flag(const char* what) {
  const auto value = integer(what);
  if (value != 0 && value != 1)
    throw_expected(what);
  return value == 1;
}

std::string_view LineReader::rest() {
  has_more_ = false;
  return remaining_;
}

void LineReader::expect_end() {
  if (has_more_)
    throw_expected("the end of the line");
}

std::map<std::string, double> parse_load_values(std::string_view text) {
  std::map<std::string, double> values;
  if (text != "-" && !parse_named_numbers(text, ',', values))
    throw ProtocolError("load report '" + std::string(text) + "': expected name:value pairs");
  return values;
}

}  // namespace violettide::simulator_adapter
