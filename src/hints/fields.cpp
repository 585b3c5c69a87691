#include <boost/beast/core/detail/base64.hpp>
#include <cmath>
#include <cstdio>

#include "hints/structured_fields.h"

namespace violettide::hints {

namespace {

constexpr std::int64_t most_integer = 999'999'999'999'999;
constexpr double most_decimal = 999'999'999'999.9995;

bool is_digit(char c) { return c >= '0' && c <= '9'; }
bool is_lower(char c) { return c >= 'a' && c <= 'z'; }
bool is_alpha(char c) { return is_lower(c) || (c >= 'A' && c <= 'Z'); }
bool starts_key(char c) { return is_lower(c) || c == '*'; }
bool in_key(char c) { return starts_key(c) || is_digit(c) || c == '_' || c == '-' || c == '.'; }
bool in_token(char c) {
  constexpr std::string_view marks = "!#$%&'*+-.^_`|~:/";
  return is_alpha(c) || is_digit(c) || marks.find(c) != std::string_view::npos;
}
bool is_plain(char c) { return c >= 0x20 && c < 0x7f; }

// The algorithms of RFC 8941, 4.2. A fault is thrown within and returned at the edge.
class Reader {
 public:
  explicit Reader(std::string_view text) : text_(text) {}

  template <typename Read>
  auto whole(Read read) -> OrFault<decltype((this->*read)())> {
    try {
      spaces();
      auto value = (this->*read)();
      spaces();
      if (!at_end())
        fail("expected the end of the field");
      return value;
    } catch (const FieldFault& fault) {
      return fault;
    }
  }

  Dictionary dictionary() {
    Dictionary members;
    while (!at_end()) {
      auto name = key();
      Member member = Item{};
      if (take('='))
        member = item_or_list();
      else
        std::get<Item>(member).parameters = parameters();
      put(members, std::move(name), std::move(member));
      if (!another())
        break;
    }
    return members;
  }

  List list() {
    List members;
    while (!at_end()) {
      members.push_back(item_or_list());
      if (!another())
        break;
    }
    return members;
  }

  Item item() {
    auto value = bare();
    return {std::move(value), parameters()};
  }

 private:
  [[noreturn]] void fail(std::string cause) const { throw FieldFault{at_, std::move(cause)}; }
  bool at_end() const { return at_ >= text_.size(); }
  char peek() const { return at_end() ? '\0' : text_[at_]; }
  bool take(char c) {
    if (at_end() || text_[at_] != c)
      return false;
    ++at_;
    return true;
  }
  void spaces() {
    while (peek() == ' ')
      ++at_;
  }

  // True after a comma that another member follows.
  bool another() {
    const auto blank = [&] {
      while (peek() == ' ' || peek() == '\t')
        ++at_;
    };
    blank();
    if (at_end())
      return false;
    if (!take(','))
      fail("expected a comma");
    blank();
    if (at_end())
      fail("expected a member after the comma");
    return true;
  }

  // A later entry of the same name takes the place of the earlier (4.2.2).
  template <typename Entries, typename Value>
  static void put(Entries& entries, std::string name, Value value) {
    std::erase_if(entries, [&](const auto& entry) { return entry.first == name; });
    entries.emplace_back(std::move(name), std::move(value));
  }

  std::string key() {
    if (!starts_key(peek()))
      fail("expected a key");
    const auto from = at_;
    while (!at_end() && in_key(peek()))
      ++at_;
    return std::string(text_.substr(from, at_ - from));
  }

  Member item_or_list() {
    if (!take('('))
      return item();
    InnerList inner;
    for (;;) {
      spaces();
      if (take(')'))
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
    Parameters found;
    while (take(';')) {
      spaces();
      auto name = key();
      Bare value = true;
      if (take('='))
        value = bare();
      put(found, std::move(name), std::move(value));
    }
    return found;
  }

  Bare bare() {
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

  Bare number() {
    const bool negative = take('-');
    const auto from = at_;
    while (is_digit(peek()))
      ++at_;
    const auto whole = at_ - from;
    if (whole == 0)
      fail("expected a digit");
    const std::string digits(text_.substr(from, whole));
    if (!take('.')) {
      if (whole > 15)
        fail("an integer of more than 15 digits");
      return (negative ? -1 : 1) * static_cast<std::int64_t>(std::stoll(digits));
    }
    if (whole > 12)
      fail("a decimal of more than 12 digits before its point");
    const auto point = at_;
    while (is_digit(peek()))
      ++at_;
    const auto parts = at_ - point;
    if (parts == 0 || parts > 3)
      fail("expected one to three digits after the point");
    const double value = std::stod(digits + "." + std::string(text_.substr(point, parts)));
    return negative ? -value : value;
  }

  std::string string() {
    take('"');
    std::string plain;
    for (;;) {
      if (at_end())
        fail("a string without its end");
      const char c = text_[at_++];
      if (c == '"')
        return plain;
      if (c == '\\') {
        const char escaped = peek();
        if (escaped != '"' && escaped != '\\')
          fail("expected '\"' or '\\' after a backslash");
        plain += escaped;
        ++at_;
      } else if (!is_plain(c)) {
        --at_;
        fail("a byte that a string may not hold");
      } else {
        plain += c;
      }
    }
  }

  Token token() {
    const auto from = at_;
    while (!at_end() && in_token(peek()))
      ++at_;
    return {std::string(text_.substr(from, at_ - from))};
  }

  ByteSequence bytes() {
    namespace base64 = boost::beast::detail::base64;
    take(':');
    const auto end = text_.find(':', at_);
    if (end == std::string_view::npos)
      fail("a byte sequence without its end");
    const auto coded = text_.substr(at_, end - at_);
    std::string plain(base64::decoded_size(coded.size()) + 3, '\0');
    const auto [written, read] = base64::decode(plain.data(), coded.data(), coded.size());
    if (coded.find_first_not_of('=', read) != std::string_view::npos)
      fail("a byte sequence that is not base64");
    plain.resize(written);
    at_ = end + 1;
    return {std::move(plain)};
  }

  bool boolean() {
    take('?');
    if (take('1'))
      return true;
    if (take('0'))
      return false;
    fail("expected 0 or 1 after '?'");
  }

  std::string_view text_;
  std::size_t at_ = 0;
};

// RFC 8941, 4.1; false where a value has no form.
class Writer {
 public:
  std::string text;

  bool key(const std::string& name) {
    if (name.empty() || !starts_key(name[0]))
      return false;
    for (const char c : name) {
      if (!in_key(c))
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
      if (!bare(value))
        return false;
    }
    return true;
  }
  bool item(const Item& value) { return bare(value.value) && parameters(value.parameters); }
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
  bool bare(const Bare& value) {
    return std::visit([this](const auto& held) { return write(held); }, value);
  }

 private:
  bool write(std::int64_t value) {
    if (value > most_integer || value < -most_integer)
      return false;
    text += std::to_string(value);
    return true;
  }
  bool write(double value) {
    if (!(std::fabs(value) < most_decimal))
      return false;
    char digits[32];
    std::snprintf(digits, sizeof digits, "%.3f", std::nearbyint(value * 1000) / 1000);
    std::string shortest = digits;
    while (shortest.back() == '0' && shortest[shortest.size() - 2] != '.')
      shortest.pop_back();
    text += shortest;
    return true;
  }
  bool write(const std::string& value) {
    text += '"';
    for (const char c : value) {
      if (!is_plain(c))
        return false;
      if (c == '"' || c == '\\')
        text += '\\';
      text += c;
    }
    text += '"';
    return true;
  }
  bool write(const Token& token) {
    if (token.text.empty() || !(is_alpha(token.text[0]) || token.text[0] == '*'))
      return false;
    for (const char c : token.text) {
      if (!in_token(c))
        return false;
    }
    text += token.text;
    return true;
  }
  bool write(const ByteSequence& sequence) {
    namespace base64 = boost::beast::detail::base64;
    std::string coded(base64::encoded_size(sequence.bytes.size()), '\0');
    coded.resize(base64::encode(coded.data(), sequence.bytes.data(), sequence.bytes.size()));
    text += ':' + coded + ':';
    return true;
  }
  bool write(bool value) {
    text += value ? "?1" : "?0";
    return true;
  }
};

}  // namespace

OrFault<Dictionary> parse_dictionary(std::string_view text) {
  return Reader(text).whole(&Reader::dictionary);
}
OrFault<List> parse_list(std::string_view text) { return Reader(text).whole(&Reader::list); }
OrFault<Item> parse_item(std::string_view text) { return Reader(text).whole(&Reader::item); }

std::optional<std::string> written(const Dictionary& dictionary) {
  Writer writer;
  for (const auto& [name, member] : dictionary) {
    if (!writer.text.empty())
      writer.text += ", ";
    if (!writer.key(name))
      return std::nullopt;
    const auto* item = std::get_if<Item>(&member);
    const auto* flag = item ? std::get_if<bool>(&item->value) : nullptr;
    if (flag && *flag) {
      if (!writer.parameters(item->parameters))
        return std::nullopt;
      continue;
    }
    writer.text += '=';
    if (!writer.member(member))
      return std::nullopt;
  }
  return writer.text;
}

std::optional<std::string> written(const List& list) {
  Writer writer;
  for (const auto& member : list) {
    if (!writer.text.empty())
      writer.text += ", ";
    if (!writer.member(member))
      return std::nullopt;
  }
  return writer.text;
}

std::optional<std::string> written(const Item& item) {
  Writer writer;
  if (!writer.item(item))
    return std::nullopt;
  return writer.text;
}

}  // namespace violettide::hints
