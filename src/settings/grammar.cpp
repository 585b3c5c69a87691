// The grammar of scripts. Statements are separated by newlines, which is checked after parsing, since the
// skipper consumes newlines as white space.
#include "settings/grammar.h"

#include <algorithm>
#include <boost/fusion/include/adapt_struct.hpp>
#include <boost/spirit/home/x3.hpp>
#include <boost/spirit/home/x3/support/utility/annotate_on_success.hpp>

BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::IntegerLiteral, value)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::FloatLiteral, value)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::BooleanLiteral, value)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::StringLiteral, value)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::Identifier, name)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::Negation, operand)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::ListExpression, items)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::DictEntry, key, value)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::DictExpression, entries)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::Argument, name, value)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::CallExpression, function, arguments)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::Assignment, name, value)

namespace violettide::settings::syntax {

namespace {

using Iterator = std::string::const_iterator;
using PositionCache = x3::position_cache<std::vector<Iterator>>;
// annotate_on_success calls this to record the source range of each node.
struct NodeAnnotator {
  PositionCache& positions;
  template <typename Node>
  void tag(Node& node, Iterator first, Iterator last) {
    positions.annotate(node, first, last);
  }
};
struct ParseContextTag;
// Collects diagnostics and converts iterators to source locations.
struct ParseContext {
  std::string path;
  Iterator begin;
  std::vector<Diagnostic>* diagnostics;
  SourceLocation locate(Iterator at) const {
    SourceLocation location{path, 1, 1};
    for (auto i = begin; i != at; ++i) {
      if (*i == '\n')
        ++location.line, location.column = 1;
      else
        ++location.column;
    }
    return location;
  }
};

// Base of the rules: records each node's source range and turns a failed expectation into a diagnostic.
struct AnnotatedRule : x3::annotate_on_success {
  template <typename It, typename Ctx>
  x3::error_handler_result on_error(It&, const It& last, const x3::expectation_failure<It>& failure,
                                    const Ctx& context) {
    auto& parse_context = x3::get<ParseContextTag>(context).get();
    // Enclosing rules fail in turn; only the first failure is reported.
    if (!parse_context.diagnostics->empty())
      return x3::error_handler_result::fail;
    auto at = failure.where();
    while (at != last && (*at == ' ' || *at == '\t'))
      ++at;
    const std::string found = at == last    ? "the end of the file"
                              : *at == '\n' ? "the end of the line"
                                            : "'" + std::string(1, *at) + "'";
    parse_context.diagnostics->push_back(
        {parse_context.locate(at), "expected " + failure.which() + ", found " + found});
    return x3::error_handler_result::fail;
  }
};

// Newlines count as white space here; parse() checks afterwards that each statement starts on its own line.
const auto comment = x3::lexeme['#' >> *(x3::char_ - x3::eol)];
const auto skipper = x3::space | comment;

struct IdentifierRule : AnnotatedRule {};
struct ExpressionRule : AnnotatedRule {};
struct ArgumentRule : AnnotatedRule {};
struct CallExpressionRule : AnnotatedRule {};
struct AssignmentRule : AnnotatedRule {};
struct StatementRule : AnnotatedRule {};
struct DictEntryRule : AnnotatedRule {};

// The names of the rules appear in messages: "expected a value, found ...".
const x3::rule<struct WordRule, std::string> word = "a name";
const x3::rule<IdentifierRule, Identifier> identifier = "a name";
const x3::rule<ExpressionRule, Expression> expression = "a value";
const x3::rule<struct ListRule, ListExpression> list = "a list";
const x3::rule<struct DictRule, DictExpression> dict = "a dict";
const x3::rule<DictEntryRule, DictEntry> dict_entry = "an entry";
const x3::rule<ArgumentRule, Argument> argument = "an argument";
const x3::rule<CallExpressionRule, CallExpression> call_expression = "a call";
const x3::rule<AssignmentRule, Assignment> assignment = "an assignment";
const x3::rule<struct NegationRule, Negation> negation = "a negative number";
const x3::rule<struct StringLiteralRule, StringLiteral> string_literal = "a string";
const x3::rule<struct IntegerLiteralRule, IntegerLiteral> integer_literal = "a whole number";
const x3::rule<struct FloatLiteralRule, FloatLiteral> float_literal = "a number";
const x3::rule<struct BooleanLiteralRule, BooleanLiteral> boolean_literal = "True or False";
const x3::rule<struct NoneLiteralRule, NoneLiteral> none_literal = "None";
const x3::rule<StatementRule, Statement> statement = "an assignment or a call";
const x3::rule<struct ScriptRule, Script> script = "statements";

const auto identifier_character = x3::alnum | x3::char_('_');
// Matches a keyword that is not the beginning of a longer identifier.
const auto keyword = [](const char* text) { return x3::lexeme[x3::lit(text) >> !identifier_character]; };

x3::symbols<char> escapes() {
  x3::symbols<char> table;
  table.add("\\n", '\n')("\\t", '\t')("\\\\", '\\')("\\\"", '"')("\\'", '\'');
  return table;
}
const auto escape = escapes();
const x3::real_parser<double, x3::strict_real_policies<double>> strict_real{};
const x3::int_parser<std::int64_t> integer_parser{};

const auto word_def = x3::lexeme[(x3::alpha | x3::char_('_')) >> *identifier_character];
const auto identifier_def = word;
const auto none_literal_def = keyword("None") >> x3::attr(NoneLiteral{});
const auto boolean_literal_def = (keyword("True") >> x3::attr(true)) | (keyword("False") >> x3::attr(false));
const auto float_literal_def = x3::lexeme[strict_real >> !identifier_character];
const auto integer_literal_def = x3::lexeme[integer_parser >> !(identifier_character | x3::char_('.'))];
const auto string_literal_def =
    x3::lexeme[x3::lit('"') > *(escape | (x3::char_ - (x3::lit('"') | x3::eol | '\\'))) > x3::lit('"')] |
    x3::lexeme[x3::lit('\'') > *(escape | (x3::char_ - (x3::lit('\'') | x3::eol | '\\'))) > x3::lit('\'')];
const auto negation_def = x3::lit('-') > expression;
const auto list_def = x3::lit('[') > -(expression % ',') >> -x3::lit(',') > x3::lit(']');
const auto dict_entry_def = expression > x3::lit(':') > expression;
const auto dict_def = x3::lit('{') > -(dict_entry % ',') >> -x3::lit(',') > x3::lit('}');
const auto argument_def = ((word >> x3::lit('=') >> !x3::lit('=')) | x3::attr(std::string())) >> expression;
const auto call_expression_def = word >> x3::lit('(') > -(argument % ',') >> -x3::lit(',') > x3::lit(')');
const auto expression_def = none_literal | boolean_literal | float_literal | integer_literal |
                            string_literal | list | dict | call_expression | identifier | negation;
const auto assignment_def = word >> x3::lit('=') > expression;
const auto statement_def = assignment | call_expression;
const auto script_def = *statement;

BOOST_SPIRIT_DEFINE(word, identifier, expression, list, dict, dict_entry, argument, call_expression,
                    assignment, negation, string_literal, integer_literal, float_literal, boolean_literal,
                    none_literal, statement, script)

}  // namespace

ParseResult parse(const std::string& path, const std::string& text) {
  ParseResult parsed;
  auto source = std::make_shared<const std::string>(text);
  auto positions = std::make_shared<PositionCache>(source->begin(), source->end());
  ParseContext context{path, source->begin(), &parsed.diagnostics};
  NodeAnnotator annotator{*positions};
  auto at = source->begin();
  const auto script_parser = x3::with<ParseContextTag>(
      std::ref(context))[x3::with<x3::error_handler_tag>(std::ref(annotator))[script]];
  bool matched = false;
  try {
    matched = x3::phrase_parse(at, source->end(), script_parser, skipper, parsed.script);
  } catch (const x3::expectation_failure<Iterator>& failure) {
    parsed.diagnostics.push_back({context.locate(failure.where()), "expected " + failure.which()});
  }
  if (parsed.diagnostics.empty() && (!matched || at != source->end()))
    parsed.diagnostics.push_back({context.locate(at), "expected an assignment or a call"});
  auto previous_end = source->begin();
  for (const auto& statement : parsed.script) {
    boost::apply_visitor(
        [&](const x3::position_tagged& node) {
          if (node.id_first < 0)
            return;
          const auto range = positions->position_of(node);
          if (previous_end != source->begin() &&
              std::find(previous_end, range.begin(), '\n') == range.begin())
            parsed.diagnostics.push_back(
                {context.locate(range.begin()), "expected a newline before this statement"});
          previous_end = range.end();
        },
        statement);
  }
  parsed.location_of = [source, positions, context](const x3::position_tagged& node) {
    if (node.id_first < 0)
      return SourceLocation{context.path, 1, 1};
    return context.locate(positions->position_of(node).begin());
  };
  return parsed;
}

}  // namespace violettide::settings::syntax
