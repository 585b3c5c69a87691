#include "settings/script.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

#include "settings/grammar.h"

namespace violettide::settings {

namespace {

// The unit functions: a number in, a span or a rate out.
const std::map<std::string, double>& span_units() {
  static const std::map<std::string, double> units{{"us", 1e-6}, {"ms", 1e-3}, {"s", 1}, {"minutes", 60}};
  return units;
}
const std::map<std::string, double>& rate_units() {
  static const std::map<std::string, double> units{
      {"kB_per_s", 1}, {"MB_per_s", 1000}, {"kbit_per_s", 0.125}, {"Mbit_per_s", 125}};
  return units;
}

template <typename Kind>
bool is(const Value& value) {
  return std::holds_alternative<Kind>(value.held);
}

std::optional<double> as_number(const Value& value) {
  if (const auto* whole = std::get_if<std::int64_t>(&value.held))
    return static_cast<double>(*whole);
  if (const auto* number = std::get_if<double>(&value.held))
    return *number;
  return std::nullopt;
}
double in_seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

const char* words_of(Wants wants) {
  switch (wants) {
    case Wants::text:
      return "a text";
    case Wants::whole:
      return "a whole number";
    case Wants::number:
      return "a number";
    case Wants::part:
      return "a part from 0 to 1";
    case Wants::flag:
      return "True or False";
    case Wants::span:
      return "a time, such as ms(250)";
    case Wants::rate:
      return "a rate, such as kB_per_s(600)";
    case Wants::texts:
      return "a list of texts";
    case Wants::wholes:
      return "a list of whole numbers";
    case Wants::numbers:
      return "a list of numbers";
    case Wants::rates:
      return "a list of rates";
  }
  return "";
}

// Absent: as wanted. Else what is wrong, in words, and where.
std::optional<Mistake> check(const Value& value, const Parameter& parameter) {
  const auto wrong = [&](std::string cause) {
    return Mistake{value.place, "'" + parameter.name + "': " + std::move(cause)};
  };
  const auto wanted = [&] {
    return wrong(std::string("expected ") + words_of(parameter.wants) + ", found " + kind_of(value));
  };
  const auto bounded = [&](double number) -> std::optional<Mistake> {
    if (number >= parameter.least && number <= parameter.most)
      return std::nullopt;
    std::ostringstream cause;
    cause << number << " is out of bounds: expected ";
    if (parameter.most >= 1e18)
      cause << "at least " << parameter.least;
    else
      cause << parameter.least << " to " << parameter.most;
    return wrong(cause.str());
  };
  const auto each = [&](Wants of) -> std::optional<Mistake> {
    const auto* items = std::get_if<ListOf>(&value.held);
    if (!items)
      return wanted();
    Parameter single = parameter;
    single.wants = of;
    for (const auto& item : *items) {
      if (auto mistake = check(item, single))
        return mistake;
    }
    return std::nullopt;
  };
  switch (parameter.wants) {
    case Wants::text:
      return is<std::string>(value) ? std::nullopt : std::optional(wanted());
    case Wants::flag:
      return is<bool>(value) ? std::nullopt : std::optional(wanted());
    case Wants::whole:
      return is<std::int64_t>(value) ? bounded(*as_number(value)) : std::optional(wanted());
    case Wants::number:
      return as_number(value) ? bounded(*as_number(value)) : std::optional(wanted());
    case Wants::part: {
      const auto number = as_number(value);
      return number && *number >= 0 && *number <= 1 ? std::nullopt : std::optional(wanted());
    }
    case Wants::span:
      return is<Duration>(value) ? bounded(in_seconds(std::get<Duration>(value.held)))
                                 : std::optional(wanted());
    case Wants::rate:
      return is<Rate>(value) ? bounded(std::get<Rate>(value.held).kb_per_s) : std::optional(wanted());
    case Wants::texts:
      return each(Wants::text);
    case Wants::wholes:
      return each(Wants::whole);
    case Wants::numbers:
      return each(Wants::number);
    case Wants::rates:
      return each(Wants::rate);
  }
  return std::nullopt;
}

// The known name that is nearest to a mistyped one, if any is near.
std::string nearest(const std::string& typed, const std::vector<std::string>& known) {
  std::string best;
  std::size_t best_far = typed.size() / 2 + 1;
  for (const auto& name : known) {
    std::vector<std::size_t> row(name.size() + 1);
    for (std::size_t j = 0; j <= name.size(); ++j)
      row[j] = j;
    for (std::size_t i = 1; i <= typed.size(); ++i) {
      std::size_t corner = row[0];
      row[0] = i;
      for (std::size_t j = 1; j <= name.size(); ++j) {
        const auto above = row[j];
        row[j] = std::min({above + 1, row[j - 1] + 1, corner + (typed[i - 1] != name[j - 1])});
        corner = above;
      }
    }
    if (row.back() < best_far)
      best_far = row.back(), best = name;
  }
  return best.empty() ? "" : " (did you mean '" + best + "'?)";
}

class Evaluation {
 public:
  Evaluation(const std::vector<Builtin>& builtins, const Files& files) : builtins_(builtins), files_(files) {}

  // The names that a file gives to those that load it; calls go to the one list.
  std::map<std::string, Value> run(const std::string& path, const Place& from) {
    if (std::find(open_.begin(), open_.end(), path) != open_.end()) {
      std::string way;
      for (const auto& file : open_)
        way += file + " -> ";
      mistake(from, "a load that comes back to itself: " + way + path);
      return {};
    }
    if (const auto before = done_.find(path); before != done_.end())
      return before->second;
    const auto text = files_(path);
    if (!text) {
      mistake(from, "'" + path + "' can't be read");
      return {};
    }
    open_.push_back(path);
    const auto parsed = syntax::parse(path, *text);
    read.mistakes.insert(read.mistakes.end(), parsed.mistakes.begin(), parsed.mistakes.end());
    Scope scope{{}, &parsed, path};
    if (parsed.mistakes.empty()) {
      for (const auto& statement : parsed.script)
        boost::apply_visitor([&](const auto& s) { execute(scope, s); }, statement);
    }
    open_.pop_back();
    return done_[path] = scope.names;
  }

  ReadScript read;

 private:
  struct Scope {
    std::map<std::string, Value> names;
    const syntax::Parsed* parsed;
    std::string path;
  };
  void mistake(Place place, std::string cause) {
    read.mistakes.push_back({std::move(place), std::move(cause)});
  }

  void execute(Scope& scope, const syntax::Assignment& statement) {
    const auto place = scope.parsed->place_of(statement);
    if (const auto value = evaluate(scope, statement.value, place)) {
      if (!scope.names.emplace(statement.name, *value).second)
        mistake(place, "'" + statement.name + "' has a value already");
    }
  }

  void execute(Scope& scope, const syntax::Invocation& call) {
    const auto place = scope.parsed->place_of(call);
    if (call.function == "load")
      return load(scope, call, place);
    if (span_units().contains(call.function) || rate_units().contains(call.function))
      return mistake(place, "'" + call.function + "' gives a value that nothing takes here");
    const auto builtin =
        std::find_if(builtins_.begin(), builtins_.end(), [&](auto& b) { return b.name == call.function; });
    if (builtin == builtins_.end()) {
      std::vector<std::string> known{"load"};
      for (const auto& b : builtins_)
        known.push_back(b.name);
      return mistake(place, "no builtin '" + call.function + "'" + nearest(call.function, known));
    }
    if (builtin->once &&
        std::any_of(read.calls.begin(), read.calls.end(), [&](auto& c) { return c.name == call.function; }))
      return mistake(place, "'" + call.function + "' is said twice");
    Call made{call.function, place, {}};
    bool whole = true;
    std::size_t position = 0;
    for (const auto& argument : call.arguments) {
      const auto at = scope.parsed->place_of(argument);
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
        mistake(at, argument.name.empty() ? "more arguments than '" + call.function + "' takes"
                                          : "'" + call.function + "' takes no '" + argument.name + "'" +
                                                nearest(argument.name, known));
        whole = false;
        continue;
      }
      auto value = evaluate(scope, argument.value, at);
      if (!value) {
        whole = false;
        continue;
      }
      if (auto wrong = check(*value, *parameter)) {
        read.mistakes.push_back(*wrong);
        whole = false;
      }
      if (!made.arguments.emplace(parameter->name, std::move(*value)).second) {
        mistake(at, "'" + parameter->name + "' is given twice");
        whole = false;
      }
    }
    for (const auto& parameter : builtin->parameters) {
      if (made.arguments.contains(parameter.name))
        continue;
      if (parameter.otherwise) {
        auto value = *parameter.otherwise;
        value.place = place;
        made.arguments.emplace(parameter.name, std::move(value));
      } else if (whole) {
        mistake(place, "'" + call.function + "' lacks '" + parameter.name + "': expected " +
                           words_of(parameter.wants));
        whole = false;
      }
    }
    if (whole)
      read.calls.push_back(std::move(made));
  }

  // load("file.star", "NAME", ...): the file's calls count, and the names become ours.
  void load(Scope& scope, const syntax::Invocation& call, const Place& place) {
    std::vector<std::pair<std::string, Place>> words;
    for (const auto& argument : call.arguments) {
      const auto at = scope.parsed->place_of(argument);
      const auto value = evaluate(scope, argument.value, at);
      if (!value)
        return;
      if (!argument.name.empty() || !is<std::string>(*value))
        return mistake(at, "'load' takes a file and names, as texts");
      words.emplace_back(std::get<std::string>(value->held), at);
    }
    if (words.empty())
      return mistake(place, "'load' lacks a file");
    auto path = words.front().first;
    const auto slash = scope.path.rfind('/');
    if (path.empty() || (path[0] != '/' && slash != std::string::npos))
      path = scope.path.substr(0, slash + 1) + path;
    const auto names = run(path, words.front().second);
    for (std::size_t i = 1; i < words.size(); ++i) {
      const auto found = names.find(words[i].first);
      if (found == names.end())
        mistake(words[i].second, "'" + path + "' gives no name '" + words[i].first + "'");
      else
        scope.names[words[i].first] = found->second;
    }
  }

  std::optional<Value> evaluate(Scope& scope, const syntax::Expression& expression, Place place) {
    if (expression.id_first >= 0)
      place = scope.parsed->place_of(expression);
    return boost::apply_visitor([&](const auto& node) { return value_of(scope, node, place); }, expression);
  }
  using Given = std::optional<Value>;
  Given value_of(Scope&, const syntax::None&, const Place& place) { return Value{Nothing{}, place}; }
  Given value_of(Scope&, const syntax::Flag& node, const Place& place) { return Value{node.value, place}; }
  Given value_of(Scope&, const syntax::Whole& node, const Place& place) { return Value{node.value, place}; }
  Given value_of(Scope&, const syntax::Decimal& node, const Place& place) { return Value{node.value, place}; }
  Given value_of(Scope&, const syntax::Text& node, const Place& place) { return Value{node.value, place}; }
  Given value_of(Scope& scope, const syntax::Name& node, const Place& place) {
    const auto found = scope.names.find(node.text);
    if (found == scope.names.end()) {
      std::vector<std::string> known;
      for (const auto& [name, value] : scope.names)
        known.push_back(name);
      mistake(place, "no name '" + node.text + "'" + nearest(node.text, known));
      return std::nullopt;
    }
    Value value = found->second;
    value.place = place;
    return value;
  }
  template <typename Node>
  Given value_of(Scope& scope, const syntax::x3::forward_ast<Node>& node, const Place& place) {
    return value_of(scope, node.get(), place);
  }
  Given value_of(Scope& scope, const syntax::Negative& node, const Place& place) {
    auto value = evaluate(scope, node.of, place);
    if (!value)
      return value;
    if (auto* whole = std::get_if<std::int64_t>(&value->held))
      *whole = -*whole;
    else if (auto* number = std::get_if<double>(&value->held))
      *number = -*number;
    else
      return mistake(place, "'-' before " + kind_of(*value)), std::nullopt;
    value->place = place;
    return value;
  }
  Given value_of(Scope& scope, const syntax::List& node, const Place& place) {
    ListOf items;
    bool whole = true;
    for (const auto& item : node.items) {
      if (auto value = evaluate(scope, item, place))
        items.push_back(std::move(*value));
      else
        whole = false;
    }
    if (!whole)
      return std::nullopt;
    return Value{std::move(items), place};
  }
  Given value_of(Scope& scope, const syntax::Dict& node, const Place& place) {
    DictOf entries;
    for (const auto& entry : node.entries) {
      const auto key = evaluate(scope, entry.key, place);
      auto value = evaluate(scope, entry.value, place);
      if (!key || !value)
        return std::nullopt;
      const auto* text = std::get_if<std::string>(&key->held);
      if (!text)
        return mistake(key->place, "a key is a text, found " + kind_of(*key)), std::nullopt;
      for (const auto& [before, v] : entries) {
        if (before == *text)
          return mistake(key->place, "the key '" + *text + "' is given twice"), std::nullopt;
      }
      entries.emplace_back(*text, std::move(*value));
    }
    return Value{std::move(entries), place};
  }
  Given value_of(Scope& scope, const syntax::Invocation& call, const Place& place) {
    const auto span = span_units().find(call.function);
    const auto rate = rate_units().find(call.function);
    if (span == span_units().end() && rate == rate_units().end()) {
      std::vector<std::string> known;
      for (const auto& [name, factor] : span_units())
        known.push_back(name);
      for (const auto& [name, factor] : rate_units())
        known.push_back(name);
      mistake(place, "'" + call.function + "' gives no value" + nearest(call.function, known));
      return std::nullopt;
    }
    if (call.arguments.size() != 1 || !call.arguments[0].name.empty())
      return mistake(place, "'" + call.function + "' takes one number"), std::nullopt;
    const auto value = evaluate(scope, call.arguments[0].value, place);
    if (!value)
      return std::nullopt;
    const auto number = as_number(*value);
    if (!number)
      return mistake(value->place, "'" + call.function + "' takes a number, found " + kind_of(*value)),
             std::nullopt;
    if (std::fabs(*number) > 1e12)
      return mistake(value->place, "a number too large to mean anything"), std::nullopt;
    if (span != span_units().end())
      return Value{Duration(std::llround(*number * span->second * 1e6)), place};
    return Value{Rate{*number * rate->second}, place};
  }

  const std::vector<Builtin>& builtins_;
  const Files& files_;
  std::vector<std::string> open_;
  std::map<std::string, std::map<std::string, Value>> done_;
};

template <typename Kind, typename Item>
std::vector<Item> items_of(const Value& value, Item (*of)(const Kind&)) {
  std::vector<Item> items;
  for (const auto& item : std::get<ListOf>(value.held))
    items.push_back(of(std::get<Kind>(item.held)));
  return items;
}

}  // namespace

std::string Mistake::text() const {
  return place.file + ":" + std::to_string(place.line) + ":" + std::to_string(place.column) + ": " + cause;
}

std::string kind_of(const Value& value) {
  struct {
    std::string operator()(const Nothing&) const { return "None"; }
    std::string operator()(bool v) const { return v ? "True" : "False"; }
    std::string operator()(std::int64_t v) const { return "the number " + std::to_string(v); }
    std::string operator()(double v) const {
      std::ostringstream s;
      s << "the number " << v;
      return s.str();
    }
    std::string operator()(const std::string& v) const { return "the text \"" + v + "\""; }
    std::string operator()(const Duration&) const { return "a time"; }
    std::string operator()(const Rate&) const { return "a rate"; }
    std::string operator()(const ListOf&) const { return "a list"; }
    std::string operator()(const DictOf&) const { return "a dict"; }
  } words;
  return std::visit(words, value.held);
}

const std::string& Call::text(const std::string& name) const {
  return std::get<std::string>(arguments.at(name).held);
}
std::int64_t Call::whole(const std::string& name) const {
  return std::get<std::int64_t>(arguments.at(name).held);
}
double Call::number(const std::string& name) const { return *as_number(arguments.at(name)); }
bool Call::flag(const std::string& name) const { return std::get<bool>(arguments.at(name).held); }
Duration Call::span(const std::string& name) const { return std::get<Duration>(arguments.at(name).held); }
double Call::kb_per_s(const std::string& name) const {
  return std::get<Rate>(arguments.at(name).held).kb_per_s;
}
std::vector<std::string> Call::texts(const std::string& name) const {
  return items_of<std::string, std::string>(arguments.at(name), [](const std::string& v) { return v; });
}
std::vector<std::int64_t> Call::wholes(const std::string& name) const {
  return items_of<std::int64_t, std::int64_t>(arguments.at(name), [](const std::int64_t& v) { return v; });
}
std::vector<double> Call::numbers(const std::string& name) const {
  std::vector<double> items;
  for (const auto& item : std::get<ListOf>(arguments.at(name).held))
    items.push_back(*as_number(item));
  return items;
}
std::vector<double> Call::rates(const std::string& name) const {
  return items_of<Rate, double>(arguments.at(name), [](const Rate& v) { return v.kb_per_s; });
}

std::optional<std::string> file_text(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

ReadScript read_script(const std::string& path, const std::vector<Builtin>& builtins, const Files& files) {
  Evaluation evaluation(builtins, files);
  evaluation.run(path, Place{path, 1, 1});
  return std::move(evaluation.read);
}

}  // namespace violettide::settings
