// The notation of settings and days: a Python-like subset (assignments, literals, lists, dicts, calls,
// comments, `load`). Reading a script gives the calls that it makes of the builtins it is read with, all
// checked; every mistake names file, line, column and cause.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace violettide::settings {

using Duration = std::chrono::microseconds;

struct Place {
  std::string file;
  int line = 0, column = 0;
};
struct Mistake {
  Place place;
  std::string cause;
  std::string text() const;  // file:line:column: cause
};
using Mistakes = std::vector<Mistake>;

// A rate in kB a second, as the mechanism counts.
struct Rate {
  double kb_per_s = 0;
};
struct Value;
using ListOf = std::vector<Value>;
using DictOf = std::vector<std::pair<std::string, Value>>;
struct Nothing {};
struct Value {
  std::variant<Nothing, bool, std::int64_t, double, std::string, Duration, Rate, ListOf, DictOf> held;
  Place place;
};
std::string kind_of(const Value& value);  // in words, for messages

enum class Wants { text, whole, number, part, flag, span, rate, texts, wholes, numbers, rates };

// A builtin's parameter. Without `otherwise` it must be given.
struct Parameter {
  std::string name;
  Wants wants = Wants::text;
  std::optional<Value> otherwise;
  double least = -1e18, most = 1e18;  // of numbers, in seconds for spans, kB/s for rates
};
struct Builtin {
  std::string name;
  std::vector<Parameter> parameters;
  bool once = false;
};

// A checked call: every parameter has a value of the kind it wants.
class Call {
 public:
  std::string name;
  Place place;
  std::map<std::string, Value> arguments;

  const std::string& text(const std::string& name) const;
  std::int64_t whole(const std::string& name) const;
  double number(const std::string& name) const;  // wholes too
  bool flag(const std::string& name) const;
  Duration span(const std::string& name) const;
  double kb_per_s(const std::string& name) const;
  std::vector<std::string> texts(const std::string& name) const;
  std::vector<std::int64_t> wholes(const std::string& name) const;
  std::vector<double> numbers(const std::string& name) const;
  std::vector<double> rates(const std::string& name) const;
  const Place& place_of(const std::string& name) const { return arguments.at(name).place; }
};

struct ReadScript {
  std::vector<Call> calls;  // in the order made
  Mistakes mistakes;
};

// Gives a file's text; absent: it can't be read.
using Files = std::function<std::optional<std::string>(const std::string& path)>;
std::optional<std::string> file_text(const std::string& path);

ReadScript read_script(const std::string& path, const std::vector<Builtin>& builtins,
                       const Files& files = file_text);

}  // namespace violettide::settings
