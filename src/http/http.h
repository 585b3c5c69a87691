// Parser and serializer for HTTP/1.1 messages (RFC 9110, RFC 9112), based on Boost.Beast's parser, with
// limits on the head, the number of fields and the body. Free of I/O: each connection has a parser that
// buffers incomplete messages. Field names compare case-insensitively; field values lose surrounding white
// space.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace violettide::http {

// Limits on received messages.
struct Limits {
  std::uint32_t max_header_bytes = 16 * 1024;  // of the start line and all field lines together
  std::size_t max_fields = 100;
  std::size_t max_target_bytes = 8 * 1024;
  std::uint64_t max_request_body_bytes = 1024 * 1024;
};

// Field names and values, in the order received.
using Fields = std::vector<std::pair<std::string, std::string>>;
// The value of the first field with that name; nullptr if there is none.
const std::string* find(const Fields& fields, std::string_view name);
// The values of all fields with that name, joined by commas (RFC 9110, section 5.3); empty if there is none.
std::string combined_value(const Fields& fields, std::string_view name);
// ASCII case-insensitive comparison.
bool equals_ignoring_case(std::string_view a, std::string_view b);

// A complete request, its body decoded from chunks.
struct Request {
  std::string method;
  std::string target;
  int version = 11;  // major and minor version as two digits
  bool keep_alive = true;
  Fields fields;
  std::string body;
};

// Why a message was rejected, and the status code to answer it with.
struct MessageError {
  int status = 400;
  std::string cause;
};

// Parses the requests of one connection, including pipelined ones, one at a time.
class RequestParser {
 public:
  explicit RequestParser(Limits limits = {});
  ~RequestParser();
  RequestParser(RequestParser&&) noexcept;
  RequestParser& operator=(RequestParser&&) noexcept;

  // Appends received bytes; ignored after an error.
  void push(std::string_view bytes);
  // The next complete request in the buffer, if any. After an error there are no more requests.
  std::optional<Request> next();
  const std::optional<MessageError>& error() const;
  std::size_t buffered_bytes() const;  // received but not yet parsed
  // Whether the bytes so far end within a request. Up to date after next() returned no request.
  bool has_partial_request() const;

 private:
  class Parser;
  Limits limits_;
  std::unique_ptr<Parser> parser_;
  std::string buffer_;
  std::optional<MessageError> error_;
};

// Status line and header section of a response.
struct ResponseHead {
  int status = 0;
  int version = 11;  // major and minor version as two digits
  bool keep_alive = true;
  std::optional<std::uint64_t> content_length;  // absent if the body is chunked or delimited by the close
  bool chunked = false;
  Fields fields;
};

// Parses the responses of one connection, one for each call of expect().
class ResponseParser {
 public:
  explicit ResponseParser(Limits limits = {});
  ~ResponseParser();
  ResponseParser(ResponseParser&&) noexcept;
  ResponseParser& operator=(ResponseParser&&) noexcept;

  // A request was sent. `head_only`: its method was HEAD, so that the response has no body.
  void expect(bool head_only);
  // The progress of a response since the last call.
  struct Part {
    std::optional<ResponseHead> head;   // set once, when it is complete
    std::string body;                   // body bytes received since the last call
    bool done = false;                  // the response is complete
    std::optional<MessageError> error;  // malformed message, or bytes outside any expected response
  };
  Part push(std::string_view bytes);
  Part close();  // the peer closed: completes a body delimited by the close; an error in any other

 private:
  class Parser;
  Part collect();
  Limits limits_;
  std::unique_ptr<Parser> parser_;
  std::string buffer_;
};

// A request head, including the empty line that ends it.
std::string serialize_request_head(std::string_view method, std::string_view target, const Fields& fields);
// The registered reason phrase of a status code.
std::string_view reason_phrase(int status);
// A response head. Without `content_length`, a chunked body follows, or one delimited by the close if
// `chunked` is false.
std::string serialize_response_head(int status, const Fields& fields,
                                    std::optional<std::uint64_t> content_length, bool keep_alive,
                                    bool chunked = true);
// One chunk of a chunked body; `last_chunk` ends the body.
std::string serialize_chunk(std::string_view bytes);
constexpr std::string_view last_chunk = "0\r\n\r\n";
// Percent-decoding (RFC 3986, section 2.1); absent if malformed.
std::optional<std::string> percent_decode(std::string_view text);
// Percent-encodes every byte that is not unreserved.
std::string percent_encode(std::string_view text);

}  // namespace violettide::http
