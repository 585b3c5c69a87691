#include "benchlink/wire.h"

namespace violettide::benchlink {

Fields::Fields(std::string_view line) : line_(line), left_(line), more_(true) {
  name_ = text("a message name");
}

void Fields::expected(const char* what) const {
  throw Malformed("malformed line '" + std::string(line_.substr(0, 200)) + "': expected " + what);
}

std::string_view Fields::text(const char* what) {
  if (!more_)
    expected(what);
  const auto cut = left_.find(' ');
  const auto part = left_.substr(0, cut);
  more_ = cut != std::string_view::npos;
  left_ = more_ ? left_.substr(cut + 1) : std::string_view{};
  if (part.empty())
    expected(what);
  return part;
}

std::optional<std::int64_t> Fields::maybe_integer(const char* what) {
  const auto part = text(what);
  if (part == "-")
    return std::nullopt;
  const auto value = parse_number<std::int64_t>(part);
  if (!value)
    expected(what);
  return value;
}

std::int64_t Fields::integer(const char* what) {
  const auto value = maybe_integer(what);
  if (!value)
    expected(what);
  return *value;
}

std::optional<double> Fields::maybe_number(const char* what) {
  const auto part = text(what);
  if (part == "-")
    return std::nullopt;
  const auto value = parse_number<double>(part);
  if (!value)
    expected(what);
  return value;
}

double Fields::number(const char* what) {
  const auto value = maybe_number(what);
  if (!value)
    expected(what);
  return *value;
}

bool Fields::flag(const char* what) {
  const auto value = integer(what);
  if (value != 0 && value != 1)
    expected(what);
  return value == 1;
}

std::string_view Fields::rest() {
  more_ = false;
  return left_;
}

void Fields::end() {
  if (more_)
    expected("the end of the line");
}

std::map<std::string, double> load_values(std::string_view text) {
  std::map<std::string, double> values;
  if (text != "-" && !parse_named_numbers(text, ',', values))
    throw Malformed("load report '" + std::string(text) + "': expected name:value pairs");
  return values;
}

}  // namespace violettide::benchlink
