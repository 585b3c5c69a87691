// What signed things share: HMAC-SHA256 by OpenSSL, and base64url (RFC 4648, 5) without padding.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace violettide::signing {

std::string hmac(std::string_view key, std::string_view bytes);
// Takes as long whatever differs, so that nobody learns a signature by trying.
bool same(std::string_view a, std::string_view b);
std::string base64url(std::string_view bytes);
// One text for the same bytes: bits behind the last byte must be zero.
std::optional<std::string> from_base64url(std::string_view text);

}  // namespace violettide::signing
