#include "gzip/gzip.h"

#include <zlib.h>

#include <algorithm>
#include <cstdlib>

namespace violettide::gzip {

namespace {

constexpr int gzip_window_bits = 15 + 16;  // adding 16 selects the gzip format in zlib

}  // namespace

std::optional<std::string> decompress(std::string_view bytes, std::size_t max_bytes) {
  z_stream stream{};
  if (inflateInit2(&stream, gzip_window_bits) != Z_OK)
    return std::nullopt;
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string text;
  int status = Z_OK;
  while (status == Z_OK && text.size() <= max_bytes) {
    const auto before = text.size();
    text.resize(std::min(max_bytes + 1, std::max<std::size_t>(before * 2, 16 * 1024)));
    stream.next_out = reinterpret_cast<Bytef*>(text.data() + before);
    stream.avail_out = static_cast<uInt>(text.size() - before);
    status = inflate(&stream, Z_NO_FLUSH);
    text.resize(text.size() - stream.avail_out);
    if (text.size() == before && stream.avail_in == 0)
      break;
  }
  const bool all_read = stream.avail_in == 0;
  inflateEnd(&stream);
  if (status != Z_STREAM_END || !all_read || text.size() > max_bytes)
    return std::nullopt;
  return text;
}

std::string compress(std::string_view text) {
  z_stream stream{};
  deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED, gzip_window_bits, 8, Z_DEFAULT_STRATEGY);
  std::string bytes(deflateBound(&stream, static_cast<uLong>(text.size())), '\0');
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
  stream.avail_in = static_cast<uInt>(text.size());
  stream.next_out = reinterpret_cast<Bytef*>(bytes.data());
  stream.avail_out = static_cast<uInt>(bytes.size());
  deflate(&stream, Z_FINISH);
  bytes.resize(stream.total_out);
  deflateEnd(&stream);
  return bytes;
}

bool is_accepted(std::string_view accept_encoding) {
  for (std::size_t from = 0; from < accept_encoding.size();) {
    const auto end = std::min(accept_encoding.find(',', from), accept_encoding.size());
    auto coding = accept_encoding.substr(from, end - from);
    from = end + 1;
    const auto semicolon = coding.find(';');
    auto name = coding.substr(0, semicolon);
    while (!name.empty() && name.front() == ' ')
      name.remove_prefix(1);
    while (!name.empty() && name.back() == ' ')
      name.remove_suffix(1);
    if (name != "gzip" && name != "x-gzip" && name != "*")
      continue;
    const auto quality = semicolon == std::string_view::npos ? std::string_view::npos : coding.find("q=");
    return quality == std::string_view::npos ||
           std::strtod(std::string(coding.substr(quality + 2)).c_str(), nullptr) > 0;
  }
  return false;
}

}  // namespace violettide::gzip
