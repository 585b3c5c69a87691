// The ledger's messages and records as bytes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "entitlement/ledger/ledger.h"

namespace violettide::entitlement {

std::string bytes_of(const Message& message);
std::optional<Message> read_message(std::string_view bytes);
std::string bytes_of(const Record& record);
std::optional<Record> read_record(std::string_view bytes);

}  // namespace violettide::entitlement
