// The script language of settings and day files: a subset of Python (assignments, literals, lists, dicts,
// calls, comments, `load`). Evaluating a script yields its calls of the given builtins, with their arguments
// checked. Every diagnostic names file, line, column and cause.
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

// A position in a script; line and column count from 1.
struct SourceLocation {
  std::string file;
  int line = 0, column = 0;
};
// An error in a script.
struct Diagnostic {
  SourceLocation location;
  std::string message;
  std::string to_string() const;  // file:line:column: message
};
// In the order found.
using Diagnostics = std::vector<Diagnostic>;

// A data rate, made by unit functions such as kB_per_s(600); 1 kB is 1000 bytes.
struct Rate {
  double kb_per_s = 0;
};
struct Value;
using List = std::vector<Value>;
using Dict = std::vector<std::pair<std::string, Value>>;  // in the order of the script
// The value of the literal None.
struct None {};
// The value of an expression, and where the script gives it.
struct Value {
  std::variant<None, bool, std::int64_t, double, std::string, Duration, Rate, List, Dict> data;
  SourceLocation location;
};
// A value's type for messages; numbers, strings and booleans with their value.
std::string describe(const Value& value);

// The type that a parameter accepts. `number` accepts integers too; `fraction` is a number from 0 to 1; the
// plural forms are lists.
enum class ValueType {
  string,
  integer,
  number,
  fraction,
  boolean,
  duration,
  rate,
  strings,
  integers,
  numbers,
  rates
};

// A builtin's parameter. Without a default value it is required.
struct Parameter {
  std::string name;
  ValueType type = ValueType::string;
  std::optional<Value> default_value;
  // Inclusive range of numbers, of durations in seconds and of rates in kB/s; in a list, of each item.
  double min = -1e18, max = 1e18;
};
// A builtin function; its arguments are given by position or by keyword.
struct Builtin {
  std::string name;
  std::vector<Parameter> parameters;
  bool at_most_once = false;  // a second call in a script is an error
};

// A checked call of a builtin: every parameter has a value of its type. Each accessor returns the argument of
// that name, which must be a parameter of the builtin and of the accessor's type.
class Call {
 public:
  std::string name;
  SourceLocation location;
  std::map<std::string, Value> arguments;

  const std::string& string(const std::string& name) const;
  std::int64_t integer(const std::string& name) const;
  double number(const std::string& name) const;  // integers too
  bool boolean(const std::string& name) const;
  Duration duration(const std::string& name) const;
  double kb_per_s(const std::string& name) const;
  std::vector<std::string> strings(const std::string& name) const;
  std::vector<std::int64_t> integers(const std::string& name) const;
  std::vector<double> numbers(const std::string& name) const;
  std::vector<double> rates(const std::string& name) const;  // in kB/s
  const SourceLocation& location_of(const std::string& name) const { return arguments.at(name).location; }
};

// What evaluation yields; the calls are complete only if there are no diagnostics.
struct EvaluatedScript {
  std::vector<Call> calls;  // in the order made, those of loaded files included
  Diagnostics diagnostics;
};

// Returns a file's text; nothing if the file can't be read.
using FileReader = std::function<std::optional<std::string>(const std::string& path)>;
// Reads from the file system.
std::optional<std::string> read_file(const std::string& path);

// Parses and evaluates the script at `path` and the files that it loads. Throws nothing on faulty scripts:
// errors are in the diagnostics.
EvaluatedScript evaluate_script(const std::string& path, const std::vector<Builtin>& builtins,
                                const FileReader& file_reader = read_file);

}  // namespace violettide::settings
