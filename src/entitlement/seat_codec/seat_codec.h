// Codec between the ledger's messages and records and their protobuf encoding. Decoding returns nothing for
// malformed bytes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "entitlement/ledger/ledger.h"

namespace violettide::entitlement {

std::string encode(const Message& message);
std::optional<Message> decode_message(std::string_view bytes);
std::string encode(const Record& record);
std::optional<Record> decode_record(std::string_view bytes);

}  // namespace violettide::entitlement
