// Parses one HTTP/1.1 message from bytes that arrive in pieces of any size, and finds its end. Uses no
// sockets; owned by the connection that feeds it.
//
// Parsing is strict because the next message begins where this one ends: any ambiguity of the length (a
// repeated Content-Length, one beside Transfer-Encoding, or one that is not plain digits) makes the message
// malformed, and its connection cannot be used further. The reader buffers no more than its limits,
// regardless of the length that a message declares; its owner may take the body in parts.
#ifndef WALNUTSPUR_HTTP_MESSAGE_READER_H_
#define WALNUTSPUR_HTTP_MESSAGE_READER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace walnutspur::http {

// Usual maximum of a body. Larger responses are streamed, larger requests are read within a budget.
constexpr std::size_t kProtocolBodyBytes = 64 << 10;

// Maximum body of a request.
constexpr std::size_t kMaxRequestBodyBytes = 32 << 20;

class MessageReader {
 public:
  enum class Kind { kRequest, kResponse };
  explicit MessageReader(Kind kind, std::size_t max_body_bytes = kProtocolBodyBytes)
      : kind_(kind), max_body_bytes_(max_body_bytes) {}

  // Consumes bytes up to the end of the message and returns the number of consumed bytes. The remaining bytes
  // belong to the next message.
  std::size_t Feed(std::string_view bytes);
  // Handles the sender's FIN, which ends a response without a length. Must not be called for a reset.
  void End();

  bool started() const { return line_bytes_ > 0; }
  bool complete() const { return state_ == State::kComplete; }
  bool malformed() const { return state_ == State::kMalformed; }
  // The HTTP status and the error message for a malformed message.
  int status() const { return status_; }
  const std::string& error() const { return error_; }

  const std::string& method() const { return method_; }  // of a request
  const std::string& uri() const { return uri_; }        // of a request
  int code() const { return code_; }                     // of a response
  // Returns the value of the first header with that name, or null. Names are case-insensitive.
  const char* Find(std::string_view name) const;
  // Returns how often a header occurs in the message.
  std::size_t Count(std::string_view name) const;
  // Returns all values of a list header, joined by commas (RFC 9110, 5.3); empty if the header is absent.
  std::string Joined(std::string_view name) const;
  std::string& body() { return body_; }
  const std::string& body() const { return body_; }
  // Removes the body's bytes that have arrived and returns them, for a body that is passed on in parts.
  std::string TakeBody() { return std::exchange(body_, {}); }
  // Returns whether the head has ended, so that method, headers and framing are known.
  bool head_complete() const {
    return state_ != State::kStartLine && state_ != State::kFields && state_ != State::kMalformed;
  }
  // Returns the size that the head declares for the body; nullopt if the body has another framing.
  std::optional<std::uint64_t> declared_length() const { return declared_length_; }
  bool is_http_1_0() const { return is_http_1_0_; }
  // Returns the number of body bytes that have arrived or are declared so far.
  std::size_t declared_body_bytes() const {
    return body_.size() + static_cast<std::size_t>(remaining_bytes_);
  }
  // Returns the bytes of memory that the message occupies. A request's declared body that is larger than the
  // protocol's usual maximum counts with its full size from the end of its head on.
  std::size_t held_bytes() const;
  // Returns whether the sender keeps the connection open after this message.
  bool keeps_alive() const { return keeps_alive_; }
  // Returns whether the client waits for a "100 Continue" before it sends the body.
  bool expects_continue() const { return expects_continue_; }

 private:
  enum class State {
    kStartLine,
    kFields,
    kBody,       // a body of declared length
    kBodyToEnd,  // a body that ends with the connection
    kChunkSize,
    kChunkData,
    kChunkEnd,  // the line end after a chunk
    kTrailer,
    kComplete,
    kMalformed
  };
  // A header: positions in field_text_, which holds its name and its value, each ended by a NUL.
  struct Field {
    std::uint32_t name = 0;
    std::uint32_t value = 0;
  };

  // Each consumes bytes from the front of `bytes`.
  void TakeBodyToEnd(std::string_view* bytes);
  void TakeBody(std::string_view* bytes);
  void TakeLine(std::string_view* bytes);
  void ReserveBody(std::size_t needed);

  void OnLine(std::string_view line);
  void OnStartLine(std::string_view line);
  void OnRequestLine(std::string_view line);
  void OnStatusLine(std::string_view line);
  void OnFieldLine(std::string_view line);
  std::string_view NameOf(const Field& field) const;
  const char* ValueOf(const Field& field) const { return field_text_.c_str() + field.value; }
  void OnHeadComplete();
  void ReadConnectionHeader();
  void ReadBodyFraming();
  void ReadContentLength();
  void OnChunkSize(std::string_view line);
  void MarkMalformed(int status, std::string error);

  Kind kind_;
  std::size_t max_body_bytes_;
  State state_ = State::kStartLine;
  std::size_t line_bytes_ = 0;  // total size of all lines, which share one limit
  std::string line_;            // the incomplete line
  std::string method_;
  std::string uri_;
  int code_ = 0;
  bool is_http_1_0_ = false;
  bool keeps_alive_ = true;
  bool expects_continue_ = false;
  std::string field_text_;
  std::vector<Field> fields_;
  std::optional<std::uint64_t> declared_length_;
  std::uint64_t remaining_bytes_ = 0;  // bytes left of the body or the chunk
  std::string body_;
  int status_ = 0;
  std::string error_;
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_MESSAGE_READER_H_
