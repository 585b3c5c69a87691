#include "hints/structured_fields.h"

#include <boost/beast/core/detail/base64.hpp>
#include <cmath>
#include <cstdio>

namespace violettide::hints {

namespace {

constexpr std::int64_t max_integer = 999'999'999'999'999;
constexpr double max_decimal = 999'999'999'999.9995;

bool is_digit(char c) { return c >= '0' && c <= '9'; }
bool is_lower(char c) { return c >= 'a' && c <= 'z'; }
bool is_alpha(char c) { return is_lower(c) || (c >= 'A' && c <= 'Z'); }
bool is_key_start(char c) { return is_lower(c) || c == '*'; }
bool is_key_char(char c) { return is_key_start(c) || is_digit(c) || c == '_' || c == '-' || c == '.'; }
bool is_token_char(char c) {
  constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~:/";
  return is_alpha(c) || is_digit(c) || punctuation.find(c) != std::string_view::npos;
}
bool is_printable(char c) { return c >= 0x20 && c < 0x7f; }

// The parsing algorithms of RFC 8941, section 4.2. They throw a SyntaxError, which parse() catches and
// returns.
class Parser {
 public:
  explicit Parser(std::string_view text) : text_(text) {}

  // Applies one rule to the whole field value.
  template <typename Rule>
  auto parse(Rule rule) -> ParseResult<decltype((this->*rule)())> {
    try {
      skip_spaces();
      auto value = (this->*rule)();
      skip_spaces();
      if (!at_end())
        fail("expected the end of the field");
      return value;
    } catch (const SyntaxError& error) {
      return error;
    }
  }

  Dictionary dictionary() {
    Dictionary members;
    while (!at_end()) {
      auto name = key();
      Member member = Item{};
      if (consume('='))
        member = item_or_inner_list();
      else
        std::get<Item>(member).parameters = parameters();
      set(members, std::move(name), std::move(member));
      if (!next_member())
        break;
    }
    return members;
  }

  List list() {
    List members;
    while (!at_end()) {
      members.push_back(item_or_inner_list());
      if (!next_member())
        break;
    }
    return members;
  }

  Item item() {
    auto value = bare_item();
    return {std::move(value), parameters()};
  }

 private:
  [[noreturn]] void fail(std::string cause) const { throw SyntaxError{offset_, std::move(cause)}; }
  bool at_end() const { return offset_ >= text_.size(); }
  char peek() const { return at_end() ? '\0' : text_[offset_]; }
  bool consume(char c) {
    if (at_end() || text_[offset_] != c)
      return false;
    ++offset_;
    return true;
  }
  void skip_spaces() {
    while (peek() == ' ')
      ++offset_;
  }

  // Skips the comma before the next member; false at the end of the field.
  bool next_member() {
    const auto skip_whitespace = [&] {
      while (peek() == ' ' || peek() == '\t')
        ++offset_;
    };
    skip_whitespace();
    if (at_end())
      return false;
    if (!consume(','))
      fail("expected a comma");
    skip_whitespace();
    if (at_end())
      fail("expected a member after the comma");
    return true;
  }

  // A later entry replaces an earlier one with the same key (section 4.2.2).
  template <typename Entries, typename Value>
  static void set(Entries& entries, std::string name, Value value) {
    std::erase_if(entries, [&](const auto& entry) { return entry.first == name; });
    entries.emplace_back(std::move(name), std::move(value));
  }

  std::string key() {
    if (!is_key_start(peek()))
      fail("expected a key");
    const auto start = offset_;
    while (!at_end() && is_key_char(peek()))
      ++offset_;
    return std::string(text_.substr(start, offset_ - start));
  }

  Member item_or_inner_list() {
    if (!consume('('))
      return item();
    InnerList inner;
    for (;;) {
      skip_spaces();
      if (consume(')'))
        break;
      if (at_end())
        fail("expected ')'");
      inner.items.push_back(item());
      if (peek() != ' ' && peek() != ')')
        fail("expected a space or ')'");
    }
    inner.parameters = parameters();
    return inner;
  }

  Parameters parameters() {
    Parameters parsed;
    while (consume(';')) {
      skip_spaces();
      auto name = key();
      BareItem value = true;
      if (consume('='))
        value = bare_item();
      set(parsed, std::move(name), std::move(value));
    }
    return parsed;
  }

  BareItem bare_item() {
    const char c = peek();
    if (c == '-' || is_digit(c))
      return number();
    if (c == '"')
      return string();
    if (c == '*' || is_alpha(c))
      return token();
    if (c == ':')
      return bytes();
    if (c == '?')
      return boolean();
    fail("expected a value");
  }

  BareItem number() {
    const bool negative = consume('-');
    const auto start = offset_;
    while (is_digit(peek()))
      ++offset_;
    const auto integer_digits = offset_ - start;
    if (integer_digits == 0)
      fail("expected a digit");
    const std::string digits(text_.substr(start, integer_digits));
    if (!consume('.')) {
      if (integer_digits > 15)
        fail("integer has more than 15 digits");
      return (negative ? -1 : 1) * static_cast<std::int64_t>(std::stoll(digits));
    }
    if (integer_digits > 12)
      fail("decimal has more than 12 digits before the point");
    const auto point = offset_;
    while (is_digit(peek()))
      ++offset_;
    const auto fraction_digits = offset_ - point;
    if (fraction_digits == 0 || fraction_digits > 3)
      fail("expected one to three digits after the point");
    const double value = std::stod(digits + "." + std::string(text_.substr(point, fraction_digits)));
    return negative ? -value : value;
  }

  std::string string() {
    consume('"');
    std::string decoded;
    for (;;) {
      if (at_end())
        fail("unterminated string");
      const char c = text_[offset_++];
      if (c == '"')
        return decoded;
      if (c == '\\') {
        const char escaped = peek();
        if (escaped != '"' && escaped != '\\')
          fail("expected '\"' or '\\' after a backslash");
        decoded += escaped;
        ++offset_;
      } else if (!is_printable(c)) {
        --offset_;
        fail("character not allowed in a string");
      } else {
        decoded += c;
      }
    }
  }

  Token token() {
    const auto start = offset_;
    while (!at_end() && is_token_char(peek()))
      ++offset_;
    return {std::string(text_.substr(start, offset_ - start))};
  }

  ByteSequence bytes() {
    namespace base64 = boost::beast::detail::base64;
    consume(':');
    const auto end = text_.find(':', offset_);
    if (end == std::string_view::npos)
      fail("unterminated byte sequence");
    const auto encoded = text_.substr(offset_, end - offset_);
    std::string decoded(base64::decoded_size(encoded.size()) + 3, '\0');
    const auto [written, read] = base64::decode(decoded.data(), encoded.data(), encoded.size());
    if (encoded.find_first_not_of('=', read) != std::string_view::npos)
      fail("invalid base64 in a byte sequence");
    decoded.resize(written);
    offset_ = end + 1;
    return {std::move(decoded)};
  }

  bool boolean() {
    consume('?');
    if (consume('1'))
      return true;
    if (consume('0'))
      return false;
    fail("expected 0 or 1 after '?'");
  }

  std::string_view text_;
  std::size_t offset_ = 0;
};

// The serializing algorithms of RFC 8941, section 4.1. Each returns false if the value cannot be represented.
class Serializer {
 public:
  std::string text;

  bool key(const std::string& name) {
    if (name.empty() || !is_key_start(name[0]))
      return false;
    for (const char c : name) {
      if (!is_key_char(c))
        return false;
    }
    text += name;
    return true;
  }
  bool parameters(const Parameters& list) {
    for (const auto& [name, value] : list) {
      text += ';';
      if (!key(name))
        return false;
      if (const auto* flag = std::get_if<bool>(&value); flag && *flag)
        continue;
      text += '=';
      if (!bare_item(value))
        return false;
    }
    return true;
  }
  bool item(const Item& value) { return bare_item(value.value) && parameters(value.parameters); }
  bool member(const Member& value) {
    if (const auto* single = std::get_if<Item>(&value))
      return item(*single);
    const auto& inner = std::get<InnerList>(value);
    text += '(';
    for (std::size_t i = 0; i < inner.items.size(); ++i) {
      if (i > 0)
        text += ' ';
      if (!item(inner.items[i]))
        return false;
    }
    text += ')';
    return parameters(inner.parameters);
  }
  bool bare_item(const BareItem& value) {
    return std::visit([this](const auto& alternative) { return serialize_value(alternative); }, value);
  }

 private:
  bool serialize_value(std::int64_t value) {
    if (value > max_integer || value < -max_integer)
      return false;
    text += std::to_string(value);
    return true;
  }
  bool serialize_value(double value) {
    if (!(std::fabs(value) < max_decimal))
      return false;
    char digits[32];
    std::snprintf(digits, sizeof digits, "%.3f", std::nearbyint(value * 1000) / 1000);
    std::string shortest = digits;
    while (shortest.back() == '0' && shortest[shortest.size() - 2] != '.')
      shortest.pop_back();
    text += shortest;
    return true;
  }
  bool serialize_value(const std::string& value) {
    text += '"';
    for (const char c : value) {
      if (!is_printable(c))
        return false;
      if (c == '"' || c == '\\')
        text += '\\';
      text += c;
    }
    text += '"';
    return true;
  }
  bool serialize_value(const Token& token) {
    if (token.text.empty() || !(is_alpha(token.text[0]) || token.text[0] == '*'))
      return false;
    for (const char c : token.text) {
      if (!is_token_char(c))
        return false;
    }
    text += token.text;
    return true;
  }
  bool serialize_value(const ByteSequence& sequence) {
    namespace base64 = boost::beast::detail::base64;
    std::string encoded(base64::encoded_size(sequence.bytes.size()), '\0');
    encoded.resize(base64::encode(encoded.data(), sequence.bytes.data(), sequence.bytes.size()));
    text += ':' + encoded + ':';
    return true;
  }
  bool serialize_value(bool value) {
    text += value ? "?1" : "?0";
    return true;
  }
};

}  // namespace

ParseResult<Dictionary> parse_dictionary(std::string_view text) {
  return Parser(text).parse(&Parser::dictionary);
}
ParseResult<List> parse_list(std::string_view text) { return Parser(text).parse(&Parser::list); }
ParseResult<Item> parse_item(std::string_view text) { return Parser(text).parse(&Parser::item); }

std::optional<std::string> serialize(const Dictionary& dictionary) {
  Serializer serializer;
  for (const auto& [name, member] : dictionary) {
    if (!serializer.text.empty())
      serializer.text += ", ";
    if (!serializer.key(name))
      return std::nullopt;
    const auto* item = std::get_if<Item>(&member);
    const auto* flag = item ? std::get_if<bool>(&item->value) : nullptr;
    if (flag && *flag) {
      if (!serializer.parameters(item->parameters))
        return std::nullopt;
      continue;
    }
    serializer.text += '=';
    if (!serializer.member(member))
      return std::nullopt;
  }
  return serializer.text;
}

std::optional<std::string> serialize(const List& list) {
  Serializer serializer;
  for (const auto& member : list) {
    if (!serializer.text.empty())
      serializer.text += ", ";
    if (!serializer.member(member))
      return std::nullopt;
  }
  return serializer.text;
}

std::optional<std::string> serialize(const Item& item) {
  Serializer serializer;
  if (!serializer.item(item))
    return std::nullopt;
  return serializer.text;
}

}  // namespace violettide::hints
