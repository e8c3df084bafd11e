// Reads one HTTP/1.1 message from bytes that come in pieces of any size, and says where it ends. No sockets.
//
// It is strict, because the next message begins where this one is taken to end: what leaves the length in
// doubt (Content-Length twice, or beside Transfer-Encoding, or not plain digits) spoils the message and with
// it the connection. It keeps no more than the limits allow, whatever a message claims.
#ifndef WALNUTSPUR_HTTP_MESSAGE_READER_H_
#define WALNUTSPUR_HTTP_MESSAGE_READER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace walnutspur::http {

class MessageReader {
 public:
  enum class Kind { kRequest, kResponse };
  // `most` bounds the body: 64 KiB, as the protocol has it for requests; answers of targets go beyond it.
  explicit MessageReader(Kind kind, std::size_t most = 64 << 10) : kind_(kind), most_(most) {}

  // Takes bytes up to the end of the message at most; returns how many it took. The rest is not its own.
  std::size_t Feed(std::string_view bytes);
  // The sender has ended the connection in order, which is where an answer without a length ends. A reset is
  // no end: nothing of it may come here.
  void End();

  bool started() const { return taken_ > 0; }
  bool head_complete() const { return state_ > State::kFields; }  // the head is read whole
  bool complete() const { return state_ == State::kWhole; }
  bool malformed() const { return state_ == State::kSpoilt; }
  int status() const { return status_; }             // spoilt: the HTTP status that says how
  const std::string& error() const { return why_; }  // spoilt: in a few words

  const std::string& method() const { return method_; }  // of a request
  const std::string& uri() const { return uri_; }
  int code() const { return code_; }  // of an answer
  // The value of a header, or null; names are taken without regard to case.
  const char* Find(std::string_view name) const;
  std::size_t Count(std::string_view name) const;
  // All values of a header that is a list, as one (RFC 9110, 5.3); empty: there is none.
  std::string Joined(std::string_view name) const;
  std::string& body() { return body_; }
  std::size_t declared_body_bytes() const {
    return body_.size() + static_cast<std::size_t>(left_);
  }                                                     // of the body, so far
  bool keeps_alive() const { return keeps_; }           // the sender goes on with the connection after this
  bool expects_continue() const { return continues_; }  // a request whose body waits for a 100

 private:
  enum class State { kStart, kFields, kBody, kToEnd, kSize, kData, kDataEnd, kTrailer, kWhole, kSpoilt };

  void OnLine(std::string_view line);
  void OnStart(std::string_view line);
  void OnField(std::string_view line);
  void OnHead();
  void OnSize(std::string_view line);
  void Spoil(int status, std::string why);

  Kind kind_;
  std::size_t most_;
  State state_ = State::kStart;
  std::size_t taken_ = 0;  // bytes of lines, which are bounded together
  std::string line_;
  std::string method_, uri_;
  int code_ = 0;
  bool old_ = false;  // HTTP/1.0
  bool keeps_ = true, continues_ = false;
  std::vector<std::pair<std::string, std::string>> fields_;
  std::uint64_t left_ = 0;  // of the body or chunk
  std::string body_;
  int status_ = 0;
  std::string why_;
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_MESSAGE_READER_H_
