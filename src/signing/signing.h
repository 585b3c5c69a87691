// Primitives for signatures: HMAC-SHA256 by OpenSSL, and base64url (RFC 4648, section 5) without padding.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace violettide::signing {

// The 32 bytes of the HMAC.
std::string hmac_sha256(std::string_view key, std::string_view bytes);
// Compares in constant time, so that timing does not reveal a signature.
bool equal_constant_time(std::string_view a, std::string_view b);
// Encodes without padding.
std::string base64url_encode(std::string_view bytes);
// Accepts only the canonical text of the bytes: unused trailing bits must be zero.
std::optional<std::string> base64url_decode(std::string_view text);

}  // namespace violettide::signing
