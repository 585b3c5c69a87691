// Compresses and decompresses whole texts with gzip (zlib), with a limit on the decompressed size.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace violettide::gzip {

// Nothing if the bytes are not exactly one complete gzip stream, or exceed `max_bytes` when decompressed.
std::optional<std::string> decompress(std::string_view bytes, std::size_t max_bytes);
// Compresses for speed rather than size.
std::string compress(std::string_view text);
// Whether an Accept-Encoding field accepts gzip (RFC 9110, 12.5.3).
bool is_accepted(std::string_view accept_encoding);

}  // namespace violettide::gzip
