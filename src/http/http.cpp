#include "http/http.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/status.hpp>

namespace violettide::http {

namespace {

namespace beast = boost::beast;
using ErrorCode = beast::error_code;
std::string to_string(beast::string_view view) { return {view.data(), view.size()}; }

MessageError error_from(const ErrorCode& error_code) {
  using beast::http::error;
  if (error_code == error::header_limit)
    return {431, "the head is longer than allowed"};
  if (error_code == error::body_limit)
    return {413, "the body is longer than allowed"};
  if (error_code == error::bad_version)
    return {505, "the version is not HTTP/1.0 or HTTP/1.1"};
  return {400, error_code.message()};
}

// Receives the callbacks of Beast's parser and collects a message; shared by requests and responses.
template <bool is_request>
class Collector : public beast::http::basic_parser<is_request> {
 public:
  explicit Collector(const Limits& limits) : limits_(limits) {
    this->header_limit(limits.max_header_bytes);
    if (is_request)
      this->body_limit(limits.max_request_body_bytes);
    else
      this->body_limit(boost::none);
    this->eager(true);
  }
  std::string method, target, body;
  int version = 11, status = 0;
  Fields fields;
  std::optional<MessageError> message_error;
  bool head_reported = false;

 private:
  using View = beast::string_view;
  void reject(int status, std::string cause, ErrorCode& error) {
    message_error = MessageError{status, std::move(cause)};
    error = beast::http::error::bad_value;
  }
  void on_request_impl(beast::http::verb, View verb, View path, int http_version, ErrorCode& error) override {
    method = to_string(verb);
    target = to_string(path);
    version = http_version;
    if (target.size() > limits_.max_target_bytes)
      reject(414, "the target is longer than allowed", error);
  }
  void on_response_impl(int code, View, int http_version, ErrorCode&) override {
    status = code, version = http_version;
  }
  void on_field_impl(beast::http::field, View name, View value, ErrorCode& error) override {
    if (fields.size() >= limits_.max_fields)
      return reject(431, "more header fields than allowed", error);
    fields.emplace_back(to_string(name), to_string(value));
  }
  void on_header_impl(ErrorCode&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>&, ErrorCode&) override {}
  std::size_t on_body_impl(View bytes, ErrorCode&) override {
    body.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t, View, ErrorCode&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, View bytes, ErrorCode& error) override {
    if (is_request && body.size() + bytes.size() > limits_.max_request_body_bytes) {
      reject(413, "the body is longer than allowed", error);
      return 0;
    }
    body.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_finish_impl(ErrorCode&) override {}

  Limits limits_;
};

// Feeds `buffer` to the parser until it needs more bytes or is done, and removes what it consumed. Absent: no
// error.
template <typename Parser>
std::optional<MessageError> feed(Parser& parser, std::string& buffer) {
  std::size_t offset = 0;
  std::optional<MessageError> error;
  while (offset < buffer.size() && !parser.is_done()) {
    ErrorCode error_code;
    const auto consumed =
        parser.put(boost::asio::buffer(buffer.data() + offset, buffer.size() - offset), error_code);
    offset += consumed;
    if (error_code == beast::http::error::need_more)
      break;
    if (error_code) {
      error = parser.message_error ? *parser.message_error : error_from(error_code);
      break;
    }
    if (consumed == 0)
      break;
  }
  buffer.erase(0, offset);
  return error;
}

// Guards against buffering an endless line: Beast checks its header limit only at the end of a line, and has
// none for the lines between chunks. What it leaves in the buffer is part of a line. Returns what is wrong.
template <typename Parser>
std::optional<std::string> find_endless_line(const Parser& parser, const std::string& buffer,
                                             const Limits& limits) {
  if (parser.is_done() || buffer.size() <= limits.max_header_bytes)
    return std::nullopt;
  return parser.is_header_done() ? "a line of the body is longer than allowed"
                                 : "the head is longer than allowed";
}

}  // namespace

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return beast::iequals(beast::string_view(a.data(), a.size()), beast::string_view(b.data(), b.size()));
}

const std::string* find(const Fields& fields, std::string_view name) {
  for (const auto& [field, value] : fields) {
    if (equals_ignoring_case(field, name))
      return &value;
  }
  return nullptr;
}

std::string combined_value(const Fields& fields, std::string_view name) {
  std::string combined;
  for (const auto& [field, value] : fields) {
    if (equals_ignoring_case(field, name))
      combined += (combined.empty() ? "" : ", ") + value;
  }
  return combined;
}

class RequestParser::Parser : public Collector<true> {
  using Collector<true>::Collector;
};

RequestParser::RequestParser(Limits limits) : limits_(limits) {}
RequestParser::~RequestParser() = default;
RequestParser::RequestParser(RequestParser&&) noexcept = default;
RequestParser& RequestParser::operator=(RequestParser&&) noexcept = default;

void RequestParser::push(std::string_view bytes) {
  if (!error_)
    buffer_.append(bytes);
}

std::optional<Request> RequestParser::next() {
  if (error_ || (buffer_.empty() && !parser_))
    return std::nullopt;
  if (!parser_)
    parser_ = std::make_unique<Parser>(limits_);
  error_ = feed(*parser_, buffer_);
  if (!error_) {
    if (auto cause = find_endless_line(*parser_, buffer_, limits_))
      error_ = MessageError{parser_->is_header_done() ? 400 : 431, std::move(*cause)};
  }
  if (error_) {
    buffer_.clear();
    return std::nullopt;
  }
  if (!parser_->is_done())
    return std::nullopt;
  Request request{std::move(parser_->method), std::move(parser_->target), parser_->version,
                  parser_->keep_alive(),      std::move(parser_->fields), std::move(parser_->body)};
  parser_.reset();
  return request;
}

const std::optional<MessageError>& RequestParser::error() const { return error_; }
std::size_t RequestParser::buffered_bytes() const { return buffer_.size(); }
bool RequestParser::has_partial_request() const { return parser_ || !buffer_.empty(); }

class ResponseParser::Parser : public Collector<false> {
  using Collector<false>::Collector;
};

ResponseParser::ResponseParser(Limits limits) : limits_(limits) {}
ResponseParser::~ResponseParser() = default;
ResponseParser::ResponseParser(ResponseParser&&) noexcept = default;
ResponseParser& ResponseParser::operator=(ResponseParser&&) noexcept = default;

void ResponseParser::expect(bool head_only) {
  parser_ = std::make_unique<Parser>(limits_);
  parser_->skip(head_only);
}

ResponseParser::Part ResponseParser::push(std::string_view bytes) {
  if (!parser_)
    return {{}, {}, false, MessageError{502, "bytes received without an outstanding request"}};
  buffer_.append(bytes);
  const auto error = feed(*parser_, buffer_);
  if (error)
    return {{}, {}, false, error};
  if (auto cause = find_endless_line(*parser_, buffer_, limits_))
    return {{}, {}, false, MessageError{502, std::move(*cause)}};
  auto part = collect();
  if (part.done && !buffer_.empty())
    part.error = MessageError{502, "bytes after the end of the response"};
  return part;
}

ResponseParser::Part ResponseParser::close() {
  if (!parser_)
    return {};
  ErrorCode error_code;
  parser_->put_eof(error_code);
  if (error_code || !parser_->is_done())
    return {{}, {}, false, MessageError{502, "connection closed before the end of the response"}};
  return collect();
}

ResponseParser::Part ResponseParser::collect() {
  Part part;
  if (parser_->is_header_done() && !parser_->head_reported) {
    parser_->head_reported = true;
    ResponseHead head;
    head.status = parser_->status;
    head.version = parser_->version;
    head.keep_alive = parser_->keep_alive();
    head.chunked = parser_->chunked();
    if (const auto length = parser_->content_length())
      head.content_length = *length;
    head.fields = std::move(parser_->fields);
    part.head = std::move(head);
  }
  part.body.swap(parser_->body);
  part.done = parser_->is_done();
  if (part.done)
    parser_.reset();
  return part;
}

std::string serialize_request_head(std::string_view method, std::string_view target, const Fields& fields) {
  std::string text;
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  for (const auto& [name, value] : fields)
    text.append(name).append(": ").append(value).append("\r\n");
  return text += "\r\n";
}

std::string_view reason_phrase(int status) {
  const auto text = beast::http::obsolete_reason(static_cast<beast::http::status>(status));
  return {text.data(), text.size()};
}

std::string serialize_response_head(int status, const Fields& fields,
                                    std::optional<std::uint64_t> content_length, bool keep_alive,
                                    bool chunked) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text.append(reason_phrase(status)).append("\r\n");
  for (const auto& [name, value] : fields)
    text.append(name).append(": ").append(value).append("\r\n");
  if (content_length)
    text += "Content-Length: " + std::to_string(*content_length) + "\r\n";
  else if (chunked)
    text += "Transfer-Encoding: chunked\r\n";
  return text += keep_alive ? "\r\n" : "Connection: close\r\n\r\n";
}

std::string serialize_chunk(std::string_view bytes) {
  char size[20];
  const int digits = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  std::string text(size, static_cast<std::size_t>(digits));
  return text.append(bytes).append("\r\n");
}

std::optional<std::string> percent_decode(std::string_view text) {
  const auto digit = [](char c) {
    return c >= '0' && c <= '9'   ? c - '0'
           : c >= 'a' && c <= 'f' ? c - 'a' + 10
           : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                  : -1;
  };
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    if (i + 2 >= text.size() || digit(text[i + 1]) < 0 || digit(text[i + 2]) < 0)
      return std::nullopt;
    decoded += static_cast<char>(digit(text[i + 1]) * 16 + digit(text[i + 2]));
    i += 2;
  }
  return decoded;
}

std::string percent_encode(std::string_view text) {
  constexpr std::string_view digits = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) || c == '-' || c == '.' || c == '_' || c == '~')
      encoded += c;
    else
      encoded.append({'%', digits[byte >> 4], digits[byte & 15]});
  }
  return encoded;
}

}  // namespace violettide::http
