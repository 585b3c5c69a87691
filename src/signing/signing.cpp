#include "signing/signing.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>

namespace violettide::signing {

namespace {

constexpr std::string_view base64url_alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

}  // namespace

std::string hmac_sha256(std::string_view key, std::string_view bytes) {
  unsigned char out[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), out, &size);
  return {reinterpret_cast<const char*>(out), size};
}

bool equal_constant_time(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string base64url_encode(std::string_view bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  while (!text.empty() && text.back() == '=')
    text.pop_back();
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  return text;
}

std::optional<std::string> base64url_decode(std::string_view text) {
  if (text.size() % 4 == 1 || !std::all_of(text.begin(), text.end(), [](char c) {
        return base64url_alphabet.find(c) != std::string_view::npos;
      }))
    return std::nullopt;
  std::string padded(text);
  std::replace(padded.begin(), padded.end(), '-', '+');
  std::replace(padded.begin(), padded.end(), '_', '/');
  const auto padding = (4 - padded.size() % 4) % 4;
  padded.append(padding, '=');
  std::string bytes(padded.size() / 4 * 3, '\0');
  if (EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(padded.data()),
                      static_cast<int>(padded.size())) < 0)
    return std::nullopt;
  bytes.resize(bytes.size() - padding);
  // Guards against two texts for the same bytes: each signed address has exactly one spelling.
  if (base64url_encode(bytes) != text)
    return std::nullopt;
  return bytes;
}

}  // namespace violettide::signing
