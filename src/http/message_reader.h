// Parses one HTTP/1.1 message from bytes that arrive in pieces of any size, and finds where it ends. No
// sockets; belongs to the connection that feeds it.
//
// It is strict, because the next message begins where this one ends: whatever leaves the length in doubt
// (Content-Length twice, or beside Transfer-Encoding, or not plain digits) makes the message malformed, and
// the connection with it. It buffers no more than its limits, whatever a message declares.
#ifndef WALNUTSPUR_HTTP_MESSAGE_READER_H_
#define WALNUTSPUR_HTTP_MESSAGE_READER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace walnutspur::http {

// The protocol's bound of a body. Targets' responses may be longer: such are taken while there is memory.
constexpr std::size_t kProtocolBodyBytes = 64 << 10;

class MessageReader {
 public:
  enum class Kind { kRequest, kResponse };
  explicit MessageReader(Kind kind, std::size_t max_body_bytes = kProtocolBodyBytes)
      : kind_(kind), max_body_bytes_(max_body_bytes) {}

  // Takes bytes up to the end of the message at most; returns how many it took. The bytes after them belong
  // to the next message.
  std::size_t Feed(std::string_view bytes);
  // The sender has closed the connection in order, which is where a response without a length ends. Not to be
  // called for a reset.
  void End();

  bool started() const { return line_bytes_ > 0; }
  bool complete() const { return state_ == State::kComplete; }
  bool malformed() const { return state_ == State::kMalformed; }
  // Of a malformed message: the HTTP status that says how, and why in a few words.
  int status() const { return status_; }
  const std::string& error() const { return error_; }

  const std::string& method() const { return method_; }  // of a request
  const std::string& uri() const { return uri_; }        // of a request
  int code() const { return code_; }                     // of a response
  // The value of the first header of that name, or null. Names are compared without regard to case.
  const char* Find(std::string_view name) const;
  // How often a header stands in the message.
  std::size_t Count(std::string_view name) const;
  // All values of a header that is a list, as one (RFC 9110, 5.3); empty: there is none.
  std::string Joined(std::string_view name) const;
  std::string& body() { return body_; }
  // Bytes of the body that have arrived or are declared, as far as known.
  std::size_t declared_body_bytes() const {
    return body_.size() + static_cast<std::size_t>(remaining_bytes_);
  }
  // Whether the sender goes on with the connection after this message.
  bool keeps_alive() const { return keeps_alive_; }
  // Whether the body of a request waits for a "100 Continue".
  bool expects_continue() const { return expects_continue_; }

 private:
  enum class State {
    kStartLine,
    kFields,
    kBody,       // of a declared length
    kBodyToEnd,  // until the connection ends
    kChunkSize,
    kChunkData,
    kChunkEnd,  // the line end behind a chunk
    kTrailer,
    kComplete,
    kMalformed
  };
  struct Field {
    std::string name;
    std::string value;
  };

  // Each takes bytes from the front of `bytes`.
  void TakeBodyToEnd(std::string_view* bytes);
  void TakeBody(std::string_view* bytes);
  void TakeLine(std::string_view* bytes);

  void OnLine(std::string_view line);
  void OnStartLine(std::string_view line);
  void OnRequestLine(std::string_view line);
  void OnStatusLine(std::string_view line);
  void OnFieldLine(std::string_view line);
  void OnHeadComplete();
  void ReadConnectionHeader();
  void ReadBodyFraming();
  void ReadContentLength();
  void OnChunkSize(std::string_view line);
  void MarkMalformed(int status, std::string error);

  Kind kind_;
  std::size_t max_body_bytes_;
  State state_ = State::kStartLine;
  std::size_t line_bytes_ = 0;  // bytes of all lines, which are bounded together
  std::string line_;            // the incomplete line
  std::string method_;
  std::string uri_;
  int code_ = 0;
  bool is_http_1_0_ = false;
  bool keeps_alive_ = true;
  bool expects_continue_ = false;
  std::vector<Field> fields_;
  std::uint64_t remaining_bytes_ = 0;  // of the body or the chunk
  std::string body_;
  int status_ = 0;
  std::string error_;
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_MESSAGE_READER_H_
