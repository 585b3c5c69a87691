// The script's abstract syntax tree and its parser, on Boost.Spirit X3. Nodes that derive from
// position_tagged have a source location.
#pragma once

#include <boost/fusion/include/adapt_struct.hpp>
#include <boost/spirit/home/x3/support/ast/position_tagged.hpp>
#include <boost/spirit/home/x3/support/ast/variant.hpp>
#include <string>
#include <variant>
#include <vector>

#include "settings/script.h"

namespace violettide::settings::syntax {

namespace x3 = boost::spirit::x3;

// Literals.
struct NoneLiteral {};
struct IntegerLiteral {
  std::int64_t value = 0;
};
struct FloatLiteral {
  double value = 0;
};
struct BooleanLiteral {
  bool value = false;
};
struct StringLiteral {
  std::string value;
};
// The use of a variable.
struct Identifier : x3::position_tagged {
  std::string name;
};
struct ListExpression;
struct DictExpression;
struct CallExpression;
struct Negation;

// Any expression.
struct Expression : x3::variant<NoneLiteral, BooleanLiteral, FloatLiteral, IntegerLiteral, StringLiteral,
                                Identifier, x3::forward_ast<ListExpression>, x3::forward_ast<DictExpression>,
                                x3::forward_ast<CallExpression>, x3::forward_ast<Negation>>,
                    x3::position_tagged {
  using base_type::base_type;
  using base_type::operator=;
};
// Unary minus.
struct Negation {
  Expression operand;
};
// `[a, b]`.
struct ListExpression {
  std::vector<Expression> items;
};
// A key and its value in a dict.
struct DictEntry {
  Expression key;
  Expression value;
};
// `{"key": value}`.
struct DictExpression {
  std::vector<DictEntry> entries;
};
// An argument of a call.
struct Argument : x3::position_tagged {
  std::string name;  // empty for a positional argument
  Expression value;
};
// A call of a builtin, a unit function or `load`.
struct CallExpression : x3::position_tagged {
  std::string function;
  std::vector<Argument> arguments;
};
// `name = value`.
struct Assignment : x3::position_tagged {
  std::string name;
  Expression value;
};
// A statement; a call stands alone only for its effect.
using Statement = x3::variant<Assignment, CallExpression>;
// The statements of one file, in order.
using Script = std::vector<Statement>;

// The outcome of parsing. With diagnostics, the tree may be incomplete.
struct ParseResult {
  Script script;
  std::vector<Diagnostic> diagnostics;
  // Returns where a node begins; line 1, column 1 for a node without a position.
  std::function<SourceLocation(const x3::position_tagged&)> location_of;
};
// Parses a script; `path` is only named in locations. Syntax errors are in the diagnostics.
ParseResult parse(const std::string& path, const std::string& text);

}  // namespace violettide::settings::syntax
