// Parser and serializer for structured fields (RFC 8941): dictionaries, lists and items. Implemented here
// because the package registry has no library for them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace violettide::hints {

// A token, as distinct from a quoted string.
struct Token {
  std::string text;
  bool operator==(const Token&) const = default;
};
// A byte sequence, decoded from base64.
struct ByteSequence {
  std::string bytes;
  bool operator==(const ByteSequence&) const = default;
};
// The value of an item or a parameter.
using BareItem = std::variant<std::int64_t, double, std::string, Token, ByteSequence, bool>;
// In the order of the field; keys are unique.
using Parameters = std::vector<std::pair<std::string, BareItem>>;
// A bare item with its parameters.
struct Item {
  BareItem value = true;
  Parameters parameters;
  bool operator==(const Item&) const = default;
};
// A parenthesized list of items with parameters of its own.
struct InnerList {
  std::vector<Item> items;
  Parameters parameters;
  bool operator==(const InnerList&) const = default;
};
// A member of a list or a dictionary.
using Member = std::variant<Item, InnerList>;
using List = std::vector<Member>;
using Dictionary = std::vector<std::pair<std::string, Member>>;

// Why a field could not be parsed, and at which byte offset.
struct SyntaxError {
  std::size_t offset = 0;
  std::string cause;
};
// The parsed value, or the first syntax error.
template <typename Parsed>
using ParseResult = std::variant<Parsed, SyntaxError>;

// Parse one complete field value.
ParseResult<Dictionary> parse_dictionary(std::string_view text);
ParseResult<List> parse_list(std::string_view text);
ParseResult<Item> parse_item(std::string_view text);

// Serialize a field value; absent if the value cannot be represented as a structured field (RFC 8941,
// section 4.1).
std::optional<std::string> serialize(const Dictionary& dictionary);
std::optional<std::string> serialize(const List& list);
std::optional<std::string> serialize(const Item& item);

// The value under `key` in a dictionary or in parameters; nullptr if there is none.
template <typename Entries>
auto* find(Entries& entries, std::string_view key) {
  for (auto& [name, value] : entries) {
    if (name == key)
      return &value;
  }
  return static_cast<decltype(&entries.begin()->second)>(nullptr);
}

}  // namespace violettide::hints
