// gzip by zlib, whole texts at a time, with a limit on what comes out.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace violettide::gzip {

// Nothing where the bytes are no whole gzip, or would come out longer than `most` bytes.
std::optional<std::string> unpacked(std::string_view bytes, std::size_t most);
std::string packed(std::string_view text);
// What Accept-Encoding says of gzip (RFC 9110, 12.5.3).
bool accepted(std::string_view accept_encoding);

}  // namespace violettide::gzip
