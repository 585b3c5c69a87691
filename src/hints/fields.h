// Structured fields (RFC 8941): dictionaries, lists and items, parsed and written. The registry holds no
// library for them, so they are made here.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace violettide::hints {

struct Token {
  std::string text;
  bool operator==(const Token&) const = default;
};
struct ByteSequence {
  std::string bytes;
  bool operator==(const ByteSequence&) const = default;
};
using Bare = std::variant<std::int64_t, double, std::string, Token, ByteSequence, bool>;
using Parameters = std::vector<std::pair<std::string, Bare>>;
struct Item {
  Bare value = true;
  Parameters parameters;
  bool operator==(const Item&) const = default;
};
struct InnerList {
  std::vector<Item> items;
  Parameters parameters;
  bool operator==(const InnerList&) const = default;
};
using Member = std::variant<Item, InnerList>;
using List = std::vector<Member>;
using Dictionary = std::vector<std::pair<std::string, Member>>;

// What is wrong, and at which byte.
struct FieldFault {
  std::size_t at = 0;
  std::string cause;
};
template <typename Parsed>
using OrFault = std::variant<Parsed, FieldFault>;

OrFault<Dictionary> parse_dictionary(std::string_view text);
OrFault<List> parse_list(std::string_view text);
OrFault<Item> parse_item(std::string_view text);

// Absent: the value has no form in a structured field (RFC 8941, 4.1).
std::optional<std::string> written(const Dictionary& dictionary);
std::optional<std::string> written(const List& list);
std::optional<std::string> written(const Item& item);

template <typename Entries>
auto* find(Entries& entries, std::string_view key) {
  for (auto& [name, value] : entries) {
    if (name == key)
      return &value;
  }
  return static_cast<decltype(&entries.begin()->second)>(nullptr);
}

}  // namespace violettide::hints
