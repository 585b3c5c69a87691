// Evaluates a script's syntax tree: variables, loads, unit functions, and argument checks of builtin calls.
#include "settings/script.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

#include "settings/grammar.h"

namespace violettide::settings {

namespace {

// The unit functions that make a duration, by name, with their factor to seconds.
const std::map<std::string, double>& duration_units() {
  static const std::map<std::string, double> units{{"us", 1e-6}, {"ms", 1e-3}, {"s", 1}, {"minutes", 60}};
  return units;
}
// The unit functions that make a rate, by name, with their factor to kB/s.
const std::map<std::string, double>& rate_units() {
  static const std::map<std::string, double> units{
      {"kB_per_s", 1}, {"MB_per_s", 1000}, {"kbit_per_s", 0.125}, {"Mbit_per_s", 125}};
  return units;
}

template <typename Kind>
bool holds(const Value& value) {
  return std::holds_alternative<Kind>(value.data);
}

std::optional<double> to_number(const Value& value) {
  if (const auto* integer = std::get_if<std::int64_t>(&value.data))
    return static_cast<double>(*integer);
  if (const auto* number = std::get_if<double>(&value.data))
    return *number;
  return std::nullopt;
}
double to_seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

const char* describe_type(ValueType type) {
  switch (type) {
    case ValueType::string:
      return "a string";
    case ValueType::integer:
      return "a whole number";
    case ValueType::number:
      return "a number";
    case ValueType::fraction:
      return "a fraction from 0 to 1";
    case ValueType::boolean:
      return "True or False";
    case ValueType::duration:
      return "a duration, such as ms(250)";
    case ValueType::rate:
      return "a rate, such as kB_per_s(600)";
    case ValueType::strings:
      return "a list of strings";
    case ValueType::integers:
      return "a list of whole numbers";
    case ValueType::numbers:
      return "a list of numbers";
    case ValueType::rates:
      return "a list of rates";
  }
  return "";
}

// Checks a value's type and range against its parameter; returns no diagnostic if both hold.
std::optional<Diagnostic> check_argument(const Value& value, const Parameter& parameter) {
  const auto make_diagnostic = [&](std::string message) {
    return Diagnostic{value.location, "'" + parameter.name + "': " + std::move(message)};
  };
  const auto type_error = [&] {
    return make_diagnostic(std::string("expected ") + describe_type(parameter.type) + ", found " +
                           describe(value));
  };
  const auto check_range = [&](double number) -> std::optional<Diagnostic> {
    if (number >= parameter.min && number <= parameter.max)
      return std::nullopt;
    std::ostringstream message;
    message << number << " is out of range: expected ";
    if (parameter.max >= 1e18)
      message << "at least " << parameter.min;
    else
      message << parameter.min << " to " << parameter.max;
    return make_diagnostic(message.str());
  };
  const auto check_items = [&](ValueType item_type) -> std::optional<Diagnostic> {
    const auto* items = std::get_if<List>(&value.data);
    if (!items)
      return type_error();
    Parameter single = parameter;
    single.type = item_type;
    for (const auto& item : *items) {
      if (auto diagnostic = check_argument(item, single))
        return diagnostic;
    }
    return std::nullopt;
  };
  switch (parameter.type) {
    case ValueType::string:
      return holds<std::string>(value) ? std::nullopt : std::optional(type_error());
    case ValueType::boolean:
      return holds<bool>(value) ? std::nullopt : std::optional(type_error());
    case ValueType::integer:
      return holds<std::int64_t>(value) ? check_range(*to_number(value)) : std::optional(type_error());
    case ValueType::number:
      return to_number(value) ? check_range(*to_number(value)) : std::optional(type_error());
    case ValueType::fraction: {
      const auto number = to_number(value);
      return number && *number >= 0 && *number <= 1 ? std::nullopt : std::optional(type_error());
    }
    case ValueType::duration:
      return holds<Duration>(value) ? check_range(to_seconds(std::get<Duration>(value.data)))
                                    : std::optional(type_error());
    case ValueType::rate:
      return holds<Rate>(value) ? check_range(std::get<Rate>(value.data).kb_per_s)
                                : std::optional(type_error());
    case ValueType::strings:
      return check_items(ValueType::string);
    case ValueType::integers:
      return check_items(ValueType::integer);
    case ValueType::numbers:
      return check_items(ValueType::number);
    case ValueType::rates:
      return check_items(ValueType::rate);
  }
  return std::nullopt;
}

// The hint to append to a message: the known name with the least edit distance to the typed one, or nothing
// if that distance exceeds half the length of the typed name.
std::string suggestion_for(const std::string& typed, const std::vector<std::string>& known) {
  std::string best;
  std::size_t best_distance = typed.size() / 2 + 1;
  for (const auto& name : known) {
    std::vector<std::size_t> row(name.size() + 1);
    for (std::size_t j = 0; j <= name.size(); ++j)
      row[j] = j;
    for (std::size_t i = 1; i <= typed.size(); ++i) {
      std::size_t diagonal = row[0];
      row[0] = i;
      for (std::size_t j = 1; j <= name.size(); ++j) {
        const auto above = row[j];
        row[j] = std::min({above + 1, row[j - 1] + 1, diagonal + (typed[i - 1] != name[j - 1])});
        diagonal = above;
      }
    }
    if (row.back() < best_distance)
      best_distance = row.back(), best = name;
  }
  return best.empty() ? "" : " (did you mean '" + best + "'?)";
}

// Evaluates a script and the files that it loads. Errors are collected; evaluation goes on after one.
class Evaluator {
 public:
  Evaluator(const std::vector<Builtin>& builtins, const FileReader& file_reader)
      : builtins_(builtins), file_reader_(file_reader) {}

  // Evaluates a file once and returns its variables. Its calls and diagnostics are appended to `result`.
  // `location` is that of the load, for errors about the file as a whole.
  std::map<std::string, Value> evaluate_file(const std::string& path, const SourceLocation& location) {
    if (std::find(load_stack_.begin(), load_stack_.end(), path) != load_stack_.end()) {
      std::string chain;
      for (const auto& file : load_stack_)
        chain += file + " -> ";
      report_error(location, "circular load: " + chain + path);
      return {};
    }
    if (const auto cached = loaded_.find(path); cached != loaded_.end())
      return cached->second;
    const auto text = file_reader_(path);
    if (!text) {
      report_error(location, "can't read '" + path + "'");
      return {};
    }
    load_stack_.push_back(path);
    const auto parsed = syntax::parse(path, *text);
    result.diagnostics.insert(result.diagnostics.end(), parsed.diagnostics.begin(), parsed.diagnostics.end());
    Scope scope{{}, &parsed, path};
    if (parsed.diagnostics.empty()) {
      for (const auto& statement : parsed.script)
        boost::apply_visitor([&](const auto& s) { execute(scope, s); }, statement);
    }
    load_stack_.pop_back();
    return loaded_[path] = scope.variables;
  }

  EvaluatedScript result;

 private:
  // One file under evaluation.
  struct Scope {
    std::map<std::string, Value> variables;
    const syntax::ParseResult* parsed;
    std::string path;
  };
  void report_error(SourceLocation location, std::string message) {
    result.diagnostics.push_back({std::move(location), std::move(message)});
  }

  void execute(Scope& scope, const syntax::Assignment& statement) {
    const auto location = scope.parsed->location_of(statement);
    if (const auto value = evaluate(scope, statement.value, location)) {
      if (!scope.variables.emplace(statement.name, *value).second)
        report_error(location, "'" + statement.name + "' is already defined");
    }
  }

  // Checks the call's arguments against the builtin's parameters and adds it to the result if they are valid.
  void execute(Scope& scope, const syntax::CallExpression& call) {
    const auto location = scope.parsed->location_of(call);
    if (call.function == "load")
      return load(scope, call, location);
    if (duration_units().contains(call.function) || rate_units().contains(call.function))
      return report_error(location, "the value of '" + call.function + "' is unused");
    const auto builtin =
        std::find_if(builtins_.begin(), builtins_.end(), [&](auto& b) { return b.name == call.function; });
    if (builtin == builtins_.end()) {
      std::vector<std::string> known{"load"};
      for (const auto& b : builtins_)
        known.push_back(b.name);
      return report_error(location,
                          "unknown builtin '" + call.function + "'" + suggestion_for(call.function, known));
    }
    if (builtin->at_most_once && std::any_of(result.calls.begin(), result.calls.end(),
                                             [&](auto& c) { return c.name == call.function; }))
      return report_error(location, "'" + call.function + "' may be called only once");
    Call checked_call{call.function, location, {}};
    bool valid = true;
    std::size_t position = 0;
    for (const auto& argument : call.arguments) {
      const auto at = scope.parsed->location_of(argument);
      const Parameter* parameter = nullptr;
      if (argument.name.empty()) {
        if (position < builtin->parameters.size())
          parameter = &builtin->parameters[position++];
      } else {
        for (const auto& p : builtin->parameters) {
          if (p.name == argument.name)
            parameter = &p;
        }
      }
      if (!parameter) {
        std::vector<std::string> known;
        for (const auto& p : builtin->parameters)
          known.push_back(p.name);
        report_error(at, argument.name.empty()
                             ? "too many arguments for '" + call.function + "'"
                             : "'" + call.function + "' has no parameter '" + argument.name + "'" +
                                   suggestion_for(argument.name, known));
        valid = false;
        continue;
      }
      auto value = evaluate(scope, argument.value, at);
      if (!value) {
        valid = false;
        continue;
      }
      if (auto diagnostic = check_argument(*value, *parameter)) {
        result.diagnostics.push_back(*diagnostic);
        valid = false;
      }
      if (!checked_call.arguments.emplace(parameter->name, std::move(*value)).second) {
        report_error(at, "'" + parameter->name + "' is given twice");
        valid = false;
      }
    }
    for (const auto& parameter : builtin->parameters) {
      if (checked_call.arguments.contains(parameter.name))
        continue;
      if (parameter.default_value) {
        auto value = *parameter.default_value;
        value.location = location;
        checked_call.arguments.emplace(parameter.name, std::move(value));
      } else if (valid) {
        report_error(location, "'" + call.function + "' is missing '" + parameter.name + "': expected " +
                                   describe_type(parameter.type));
        valid = false;
      }
    }
    if (valid)
      result.calls.push_back(std::move(checked_call));
  }

  // load("file.star", "NAME", ...): evaluates the file, calls included, and imports the named variables. A
  // relative path is resolved against the loading file's directory.
  void load(Scope& scope, const syntax::CallExpression& call, const SourceLocation& location) {
    std::vector<std::pair<std::string, SourceLocation>> load_arguments;
    for (const auto& argument : call.arguments) {
      const auto at = scope.parsed->location_of(argument);
      const auto value = evaluate(scope, argument.value, at);
      if (!value)
        return;
      if (!argument.name.empty() || !holds<std::string>(*value))
        return report_error(at, "'load' takes a file path and names, as strings");
      load_arguments.emplace_back(std::get<std::string>(value->data), at);
    }
    if (load_arguments.empty())
      return report_error(location, "'load' is missing the file path");
    auto path = load_arguments.front().first;
    const auto slash = scope.path.rfind('/');
    if (path.empty() || (path[0] != '/' && slash != std::string::npos))
      path = scope.path.substr(0, slash + 1) + path;
    const auto variables = evaluate_file(path, load_arguments.front().second);
    for (std::size_t i = 1; i < load_arguments.size(); ++i) {
      const auto found = variables.find(load_arguments[i].first);
      if (found == variables.end())
        report_error(load_arguments[i].second,
                     "'" + path + "' defines no variable '" + load_arguments[i].first + "'");
      else
        scope.variables[load_arguments[i].first] = found->second;
    }
  }

  // `location` is that of the enclosing node, for expressions that have none of their own.
  std::optional<Value> evaluate(Scope& scope, const syntax::Expression& expression, SourceLocation location) {
    if (expression.id_first >= 0)
      location = scope.parsed->location_of(expression);
    return boost::apply_visitor([&](const auto& node) { return evaluate_node(scope, node, location); },
                                expression);
  }
  // Absent: the expression has no value, and a diagnostic says why.
  using OptionalValue = std::optional<Value>;
  OptionalValue evaluate_node(Scope&, const syntax::NoneLiteral&, const SourceLocation& location) {
    return Value{None{}, location};
  }
  OptionalValue evaluate_node(Scope&, const syntax::BooleanLiteral& node, const SourceLocation& location) {
    return Value{node.value, location};
  }
  OptionalValue evaluate_node(Scope&, const syntax::IntegerLiteral& node, const SourceLocation& location) {
    return Value{node.value, location};
  }
  OptionalValue evaluate_node(Scope&, const syntax::FloatLiteral& node, const SourceLocation& location) {
    return Value{node.value, location};
  }
  OptionalValue evaluate_node(Scope&, const syntax::StringLiteral& node, const SourceLocation& location) {
    return Value{node.value, location};
  }
  OptionalValue evaluate_node(Scope& scope, const syntax::Identifier& node, const SourceLocation& location) {
    const auto found = scope.variables.find(node.name);
    if (found == scope.variables.end()) {
      std::vector<std::string> known;
      for (const auto& [name, value] : scope.variables)
        known.push_back(name);
      report_error(location, "undefined name '" + node.name + "'" + suggestion_for(node.name, known));
      return std::nullopt;
    }
    Value value = found->second;
    value.location = location;
    return value;
  }
  template <typename Node>
  OptionalValue evaluate_node(Scope& scope, const syntax::x3::forward_ast<Node>& node,
                              const SourceLocation& location) {
    return evaluate_node(scope, node.get(), location);
  }
  OptionalValue evaluate_node(Scope& scope, const syntax::Negation& node, const SourceLocation& location) {
    auto value = evaluate(scope, node.operand, location);
    if (!value)
      return value;
    if (auto* integer = std::get_if<std::int64_t>(&value->data))
      *integer = -*integer;
    else if (auto* number = std::get_if<double>(&value->data))
      *number = -*number;
    else
      return report_error(location, "'-' takes a number, found " + describe(*value)), std::nullopt;
    value->location = location;
    return value;
  }
  OptionalValue evaluate_node(Scope& scope, const syntax::ListExpression& node,
                              const SourceLocation& location) {
    List items;
    bool valid = true;
    for (const auto& item : node.items) {
      if (auto value = evaluate(scope, item, location))
        items.push_back(std::move(*value));
      else
        valid = false;
    }
    if (!valid)
      return std::nullopt;
    return Value{std::move(items), location};
  }
  OptionalValue evaluate_node(Scope& scope, const syntax::DictExpression& node,
                              const SourceLocation& location) {
    Dict entries;
    for (const auto& entry : node.entries) {
      const auto key = evaluate(scope, entry.key, location);
      auto value = evaluate(scope, entry.value, location);
      if (!key || !value)
        return std::nullopt;
      const auto* text = std::get_if<std::string>(&key->data);
      if (!text)
        return report_error(key->location, "a dict key must be a string, found " + describe(*key)),
               std::nullopt;
      for (const auto& [earlier_key, earlier_value] : entries) {
        if (earlier_key == *text)
          return report_error(key->location, "the key '" + *text + "' is given twice"), std::nullopt;
      }
      entries.emplace_back(*text, std::move(*value));
    }
    return Value{std::move(entries), location};
  }
  OptionalValue evaluate_node(Scope& scope, const syntax::CallExpression& call,
                              const SourceLocation& location) {
    const auto duration = duration_units().find(call.function);
    const auto rate = rate_units().find(call.function);
    if (duration == duration_units().end() && rate == rate_units().end()) {
      std::vector<std::string> known;
      for (const auto& [name, factor] : duration_units())
        known.push_back(name);
      for (const auto& [name, factor] : rate_units())
        known.push_back(name);
      report_error(location,
                   "'" + call.function + "' returns no value" + suggestion_for(call.function, known));
      return std::nullopt;
    }
    if (call.arguments.size() != 1 || !call.arguments[0].name.empty())
      return report_error(location, "'" + call.function + "' takes one number"), std::nullopt;
    const auto value = evaluate(scope, call.arguments[0].value, location);
    if (!value)
      return std::nullopt;
    const auto number = to_number(*value);
    if (!number)
      return report_error(value->location,
                          "'" + call.function + "' takes a number, found " + describe(*value)),
             std::nullopt;
    if (std::fabs(*number) > 1e12)
      return report_error(value->location, "number out of range: expected a magnitude of at most 1e12"),
             std::nullopt;
    if (duration != duration_units().end())
      return Value{Duration(std::llround(*number * duration->second * 1e6)), location};
    return Value{Rate{*number * rate->second}, location};
  }

  const std::vector<Builtin>& builtins_;
  const FileReader& file_reader_;
  std::vector<std::string> load_stack_;  // files under evaluation, outermost first; finds circular loads
  std::map<std::string, std::map<std::string, Value>> loaded_;  // variables of each evaluated file, by path
};

// Converts the items of a list, which must all hold a `Kind`.
template <typename Kind, typename Item>
std::vector<Item> convert_items(const Value& value, Item (*convert)(const Kind&)) {
  std::vector<Item> items;
  for (const auto& item : std::get<List>(value.data))
    items.push_back(convert(std::get<Kind>(item.data)));
  return items;
}

}  // namespace

std::string Diagnostic::to_string() const {
  return location.file + ":" + std::to_string(location.line) + ":" + std::to_string(location.column) + ": " +
         message;
}

std::string describe(const Value& value) {
  struct {
    std::string operator()(const None&) const { return "None"; }
    std::string operator()(bool v) const { return v ? "True" : "False"; }
    std::string operator()(std::int64_t v) const { return "the number " + std::to_string(v); }
    std::string operator()(double v) const {
      std::ostringstream s;
      s << "the number " << v;
      return s.str();
    }
    std::string operator()(const std::string& v) const { return "the string \"" + v + "\""; }
    std::string operator()(const Duration&) const { return "a duration"; }
    std::string operator()(const Rate&) const { return "a rate"; }
    std::string operator()(const List&) const { return "a list"; }
    std::string operator()(const Dict&) const { return "a dict"; }
  } visitor;
  return std::visit(visitor, value.data);
}

const std::string& Call::string(const std::string& name) const {
  return std::get<std::string>(arguments.at(name).data);
}
std::int64_t Call::integer(const std::string& name) const {
  return std::get<std::int64_t>(arguments.at(name).data);
}
double Call::number(const std::string& name) const { return *to_number(arguments.at(name)); }
bool Call::boolean(const std::string& name) const { return std::get<bool>(arguments.at(name).data); }
Duration Call::duration(const std::string& name) const { return std::get<Duration>(arguments.at(name).data); }
double Call::kb_per_s(const std::string& name) const {
  return std::get<Rate>(arguments.at(name).data).kb_per_s;
}
std::vector<std::string> Call::strings(const std::string& name) const {
  return convert_items<std::string, std::string>(arguments.at(name), [](const std::string& v) { return v; });
}
std::vector<std::int64_t> Call::integers(const std::string& name) const {
  return convert_items<std::int64_t, std::int64_t>(arguments.at(name),
                                                   [](const std::int64_t& v) { return v; });
}
std::vector<double> Call::numbers(const std::string& name) const {
  std::vector<double> items;
  for (const auto& item : std::get<List>(arguments.at(name).data))
    items.push_back(*to_number(item));
  return items;
}
std::vector<double> Call::rates(const std::string& name) const {
  return convert_items<Rate, double>(arguments.at(name), [](const Rate& v) { return v.kb_per_s; });
}

std::optional<std::string> read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

EvaluatedScript evaluate_script(const std::string& path, const std::vector<Builtin>& builtins,
                                const FileReader& file_reader) {
  Evaluator evaluator(builtins, file_reader);
  evaluator.evaluate_file(path, SourceLocation{path, 1, 1});
  return std::move(evaluator.result);
}

}  // namespace violettide::settings
