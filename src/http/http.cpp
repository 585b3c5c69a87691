#include "http/http.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/status.hpp>

namespace violettide::http {

namespace {

namespace beast = boost::beast;
using Error = beast::error_code;
std::string text_of(beast::string_view view) { return {view.data(), view.size()}; }

Fault fault_of(const Error& met) {
  using beast::http::error;
  if (met == error::header_limit)
    return {431, "the head is longer than allowed"};
  if (met == error::body_limit)
    return {413, "the body is longer than allowed"};
  if (met == error::bad_version)
    return {505, "the version is not HTTP/1.0 or HTTP/1.1"};
  return {400, met.message()};
}

// What Beast calls back with; shared by requests and responses.
template <bool is_request>
class Collector : public beast::http::basic_parser<is_request> {
 public:
  explicit Collector(const Limits& limits) : limits_(limits) {
    this->header_limit(limits.header_bytes);
    if (is_request)
      this->body_limit(limits.request_body);
    else
      this->body_limit(boost::none);
    this->eager(true);
  }
  std::string method, target, body;
  int version = 11, status = 0;
  Fields fields;
  std::optional<Fault> own_fault;
  bool head_taken = false;

 private:
  using View = beast::string_view;
  void refuse(int status, std::string cause, Error& error) {
    own_fault = Fault{status, std::move(cause)};
    error = beast::http::error::bad_value;
  }
  void on_request_impl(beast::http::verb, View verb, View path, int how, Error& error) override {
    method = text_of(verb);
    target = text_of(path);
    version = how;
    if (target.size() > limits_.target)
      refuse(414, "the target is longer than allowed", error);
  }
  void on_response_impl(int code, View, int how, Error&) override { status = code, version = how; }
  void on_field_impl(beast::http::field, View name, View value, Error& error) override {
    if (fields.size() >= limits_.fields)
      return refuse(431, "more header fields than allowed", error);
    fields.emplace_back(text_of(name), text_of(value));
  }
  void on_header_impl(Error&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>&, Error&) override {}
  std::size_t on_body_impl(View bytes, Error&) override {
    body.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t, View, Error&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, View bytes, Error& error) override {
    if (is_request && body.size() + bytes.size() > limits_.request_body) {
      refuse(413, "the body is longer than allowed", error);
      return 0;
    }
    body.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_finish_impl(Error&) override {}

  Limits limits_;
};

// Feeds what is kept until the parser wants more or is done; absent: all well.
template <typename Parser>
std::optional<Fault> feed(Parser& parser, std::string& kept) {
  std::size_t used = 0;
  std::optional<Fault> fault;
  while (used < kept.size() && !parser.is_done()) {
    Error error;
    const auto taken = parser.put(boost::asio::buffer(kept.data() + used, kept.size() - used), error);
    used += taken;
    if (error == beast::http::error::need_more)
      break;
    if (error) {
      fault = parser.own_fault ? *parser.own_fault : fault_of(error);
      break;
    }
    if (taken == 0)
      break;
  }
  kept.erase(0, used);
  return fault;
}

}  // namespace

bool same_name(std::string_view a, std::string_view b) {
  return beast::iequals(beast::string_view(a.data(), a.size()), beast::string_view(b.data(), b.size()));
}

const std::string* find(const Fields& fields, std::string_view name) {
  for (const auto& [field, value] : fields) {
    if (same_name(field, name))
      return &value;
  }
  return nullptr;
}

std::string joined(const Fields& fields, std::string_view name) {
  std::string all;
  for (const auto& [field, value] : fields) {
    if (same_name(field, name))
      all += (all.empty() ? "" : ", ") + value;
  }
  return all;
}

class RequestReader::Parser : public Collector<true> {
  using Collector<true>::Collector;
};

RequestReader::RequestReader(Limits limits) : limits_(limits) {}
RequestReader::~RequestReader() = default;
RequestReader::RequestReader(RequestReader&&) noexcept = default;
RequestReader& RequestReader::operator=(RequestReader&&) noexcept = default;

void RequestReader::push(std::string_view bytes) {
  if (!fault_)
    kept_.append(bytes);
}

std::optional<Request> RequestReader::next() {
  if (fault_ || (kept_.empty() && !parser_))
    return std::nullopt;
  if (!parser_)
    parser_ = std::make_unique<Parser>(limits_);
  fault_ = feed(*parser_, kept_);
  if (!fault_ && !parser_->is_done()) {
    // Beast counts a head's bytes only when a line is whole: an endless line must not be kept.
    if (!parser_->is_header_done() && kept_.size() > limits_.header_bytes)
      fault_ = Fault{431, "the head is longer than allowed"};
  }
  if (fault_) {
    kept_.clear();
    return std::nullopt;
  }
  if (!parser_->is_done())
    return std::nullopt;
  Request request{std::move(parser_->method), std::move(parser_->target), parser_->version,
                  parser_->keep_alive(),      std::move(parser_->fields), std::move(parser_->body)};
  parser_.reset();
  return request;
}

const std::optional<Fault>& RequestReader::fault() const { return fault_; }
std::size_t RequestReader::unread() const { return kept_.size(); }

class ResponseReader::Parser : public Collector<false> {
  using Collector<false>::Collector;
};

ResponseReader::ResponseReader(Limits limits) : limits_(limits) {}
ResponseReader::~ResponseReader() = default;
ResponseReader::ResponseReader(ResponseReader&&) noexcept = default;
ResponseReader& ResponseReader::operator=(ResponseReader&&) noexcept = default;

void ResponseReader::expect(bool head_only) {
  parser_ = std::make_unique<Parser>(limits_);
  parser_->skip(head_only);
}

ResponseReader::Part ResponseReader::push(std::string_view bytes) {
  if (!parser_)
    return {{}, {}, false, Fault{502, "bytes that no request asked for"}};
  kept_.append(bytes);
  const auto fault = feed(*parser_, kept_);
  if (fault)
    return {{}, {}, false, fault};
  if (!parser_->is_header_done() && kept_.size() > limits_.header_bytes)
    return {{}, {}, false, Fault{502, "the head is longer than allowed"}};
  auto part = collect();
  if (part.done && !kept_.empty())
    part.fault = Fault{502, "bytes after the response that was asked for"};
  return part;
}

ResponseReader::Part ResponseReader::close() {
  if (!parser_)
    return {};
  Error error;
  parser_->put_eof(error);
  if (error || !parser_->is_done())
    return {{}, {}, false, Fault{502, "the connection ended in the response"}};
  return collect();
}

ResponseReader::Part ResponseReader::collect() {
  Part part;
  if (parser_->is_header_done() && !parser_->head_taken) {
    parser_->head_taken = true;
    ResponseHead head;
    head.status = parser_->status;
    head.version = parser_->version;
    head.keep_alive = parser_->keep_alive();
    head.chunked = parser_->chunked();
    if (const auto length = parser_->content_length())
      head.length = *length;
    head.fields = std::move(parser_->fields);
    part.head = std::move(head);
  }
  part.body.swap(parser_->body);
  part.done = parser_->is_done();
  if (part.done)
    parser_.reset();
  return part;
}

std::string request_text(std::string_view method, std::string_view target, const Fields& fields) {
  std::string text;
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  for (const auto& [name, value] : fields)
    text.append(name).append(": ").append(value).append("\r\n");
  return text += "\r\n";
}

std::string_view reason(int status) {
  const auto text = beast::http::obsolete_reason(static_cast<beast::http::status>(status));
  return {text.data(), text.size()};
}

std::string head_text(int status, const Fields& fields, std::optional<std::uint64_t> length, bool keep_alive,
                      bool chunked) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text.append(reason(status)).append("\r\n");
  for (const auto& [name, value] : fields)
    text.append(name).append(": ").append(value).append("\r\n");
  if (length)
    text += "Content-Length: " + std::to_string(*length) + "\r\n";
  else if (chunked)
    text += "Transfer-Encoding: chunked\r\n";
  return text += keep_alive ? "\r\n" : "Connection: close\r\n\r\n";
}

std::string chunk(std::string_view bytes) {
  char size[20];
  const int digits = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  std::string text(size, static_cast<std::size_t>(digits));
  return text.append(bytes).append("\r\n");
}

std::optional<std::string> percent_decoded(std::string_view text) {
  const auto digit = [](char c) {
    return c >= '0' && c <= '9'   ? c - '0'
           : c >= 'a' && c <= 'f' ? c - 'a' + 10
           : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                  : -1;
  };
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      plain += text[i];
      continue;
    }
    if (i + 2 >= text.size() || digit(text[i + 1]) < 0 || digit(text[i + 2]) < 0)
      return std::nullopt;
    plain += static_cast<char>(digit(text[i + 1]) * 16 + digit(text[i + 2]));
    i += 2;
  }
  return plain;
}

std::string percent_encoded(std::string_view text) {
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
