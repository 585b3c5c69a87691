#include "settings/grammar.h"

#include <algorithm>
#include <boost/fusion/include/adapt_struct.hpp>
#include <boost/spirit/home/x3.hpp>
#include <boost/spirit/home/x3/support/utility/annotate_on_success.hpp>

BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::Whole, value)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::Decimal, value)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::Flag, value)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::Text, value)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::Name, text)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::Negative, of)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::List, items)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::Entry, key, value)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::Dict, entries)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::Argument, name, value)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::Invocation, function, arguments)
BOOST_FUSION_ADAPT_STRUCT(violettide::settings::syntax::Assignment, name, value)

namespace violettide::settings::syntax {

namespace {

using Iterator = std::string::const_iterator;
using Positions = x3::position_cache<std::vector<Iterator>>;
struct Tagger {  // what annotate_on_success calls
  Positions& positions;
  template <typename Node>
  void tag(Node& node, Iterator first, Iterator last) {
    positions.annotate(node, first, last);
  }
};
struct MistakesTag;
struct Context {
  std::string path;
  Iterator begin;
  std::vector<Mistake>* mistakes;
  Place place(Iterator at) const {
    Place place{path, 1, 1};
    for (auto i = begin; i != at; ++i) {
      if (*i == '\n')
        ++place.line, place.column = 1;
      else
        ++place.column;
    }
    return place;
  }
};

// Tags nodes with their places, and turns an expectation that failed into a mistake.
struct Tagged : x3::annotate_on_success {
  template <typename It, typename Ctx>
  x3::error_handler_result on_error(It&, const It& last, const x3::expectation_failure<It>& met,
                                    const Ctx& context) {
    auto& where = x3::get<MistakesTag>(context).get();
    if (!where.mistakes->empty())
      return x3::error_handler_result::fail;  // told where it was met first
    auto at = met.where();
    while (at != last && (*at == ' ' || *at == '\t'))
      ++at;
    const std::string found = at == last    ? "the end of the file"
                              : *at == '\n' ? "the end of the line"
                                            : "'" + std::string(1, *at) + "'";
    where.mistakes->push_back({where.place(at), "expected " + met.which() + ", found " + found});
    return x3::error_handler_result::fail;
  }
};

// Line ends are passed over here; that statements stand on lines of their own is checked afterwards.
const auto comment = x3::lexeme['#' >> *(x3::char_ - x3::eol)];
const auto between = x3::space | comment;

struct NameRule : Tagged {};
struct ExpressionRule : Tagged {};
struct ArgumentRule : Tagged {};
struct InvocationRule : Tagged {};
struct AssignmentRule : Tagged {};
struct StatementRule : Tagged {};
struct EntryRule : Tagged {};

const x3::rule<struct WordRule, std::string> word = "a name";
const x3::rule<NameRule, Name> name = "a name";
const x3::rule<ExpressionRule, Expression> expression = "a value";
const x3::rule<struct ListRule, List> list = "a list";
const x3::rule<struct DictRule, Dict> dict = "a dict";
const x3::rule<EntryRule, Entry> entry = "an entry";
const x3::rule<ArgumentRule, Argument> argument = "an argument";
const x3::rule<InvocationRule, Invocation> invocation = "a call";
const x3::rule<AssignmentRule, Assignment> assignment = "an assignment";
const x3::rule<struct NegativeRule, Negative> negative = "a negative number";
const x3::rule<struct TextRule, Text> text_rule = "a text";
const x3::rule<struct WholeRule, Whole> whole = "a whole number";
const x3::rule<struct DecimalRule, Decimal> decimal = "a number";
const x3::rule<struct FlagRule, Flag> flag = "True or False";
const x3::rule<struct NoneRule, None> none = "None";
const x3::rule<StatementRule, Statement> statement = "an assignment or a call";
const x3::rule<struct ScriptRule, Script> script = "statements";

const auto in_word = x3::alnum | x3::char_('_');
const auto keyword = [](const char* text) { return x3::lexeme[x3::lit(text) >> !in_word]; };

x3::symbols<char> escapes() {
  x3::symbols<char> made;
  made.add("\\n", '\n')("\\t", '\t')("\\\\", '\\')("\\\"", '"')("\\'", '\'');
  return made;
}
const auto escape = escapes();
const x3::real_parser<double, x3::strict_real_policies<double>> strict_real{};
const x3::int_parser<std::int64_t> whole_number{};

const auto word_def = x3::lexeme[(x3::alpha | x3::char_('_')) >> *in_word];
const auto name_def = word;
const auto none_def = keyword("None") >> x3::attr(None{});
const auto flag_def = (keyword("True") >> x3::attr(true)) | (keyword("False") >> x3::attr(false));
const auto decimal_def = x3::lexeme[strict_real >> !in_word];
const auto whole_def = x3::lexeme[whole_number >> !(in_word | x3::char_('.'))];
const auto text_rule_def =
    x3::lexeme[x3::lit('"') > *(escape | (x3::char_ - (x3::lit('"') | x3::eol | '\\'))) > x3::lit('"')] |
    x3::lexeme[x3::lit('\'') > *(escape | (x3::char_ - (x3::lit('\'') | x3::eol | '\\'))) > x3::lit('\'')];
const auto negative_def = x3::lit('-') > expression;
const auto list_def = x3::lit('[') > -(expression % ',') >> -x3::lit(',') > x3::lit(']');
const auto entry_def = expression > x3::lit(':') > expression;
const auto dict_def = x3::lit('{') > -(entry % ',') >> -x3::lit(',') > x3::lit('}');
const auto argument_def = ((word >> x3::lit('=') >> !x3::lit('=')) | x3::attr(std::string())) >> expression;
const auto invocation_def = word >> x3::lit('(') > -(argument % ',') >> -x3::lit(',') > x3::lit(')');
const auto expression_def =
    none | flag | decimal | whole | text_rule | list | dict | invocation | name | negative;
const auto assignment_def = word >> x3::lit('=') > expression;
const auto statement_def = assignment | invocation;
const auto script_def = *statement;

BOOST_SPIRIT_DEFINE(word, name, expression, list, dict, entry, argument, invocation, assignment, negative,
                    text_rule, whole, decimal, flag, none, statement, script)

}  // namespace

Parsed parse(const std::string& path, const std::string& text) {
  Parsed parsed;
  auto kept = std::make_shared<const std::string>(text);
  auto positions = std::make_shared<Positions>(kept->begin(), kept->end());
  Context context{path, kept->begin(), &parsed.mistakes};
  Tagger tagger{*positions};
  auto at = kept->begin();
  const auto whole_script =
      x3::with<MistakesTag>(std::ref(context))[x3::with<x3::error_handler_tag>(std::ref(tagger))[script]];
  bool matched = false;
  try {
    matched = x3::phrase_parse(at, kept->end(), whole_script, between, parsed.script);
  } catch (const x3::expectation_failure<Iterator>& met) {
    parsed.mistakes.push_back({context.place(met.where()), "expected " + met.which()});
  }
  if (parsed.mistakes.empty() && (!matched || at != kept->end()))
    parsed.mistakes.push_back({context.place(at), "expected an assignment or a call"});
  auto last = kept->begin();
  for (const auto& statement : parsed.script) {
    boost::apply_visitor(
        [&](const x3::position_tagged& node) {
          if (node.id_first < 0)
            return;
          const auto range = positions->position_of(node);
          if (last != kept->begin() && std::find(last, range.begin(), '\n') == range.begin())
            parsed.mistakes.push_back(
                {context.place(range.begin()), "expected the end of the line before this"});
          last = range.end();
        },
        statement);
  }
  parsed.place_of = [kept, positions, context](const x3::position_tagged& node) {
    if (node.id_first < 0)
      return Place{context.path, 1, 1};
    return context.place(positions->position_of(node).begin());
  };
  return parsed;
}

}  // namespace violettide::settings::syntax
