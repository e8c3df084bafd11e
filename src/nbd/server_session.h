// The server's side of an NBD connection, without a socket: the fixed newstyle handshake, then commands.
// Received bytes go in, in pieces of any size; commands come out, and messages for the client. A connection
// owns one, on its thread.
#ifndef WALNUTSPUR_NBD_SERVER_SESSION_H_
#define WALNUTSPUR_NBD_SERVER_SESSION_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "nbd/byte_buffer.h"
#include "nbd/option_handler.h"
#include "nbd/protocol.h"

namespace walnutspur::nbd {

class ServerSession {
 public:
  // `exports` must outlive the session.
  explicit ServerSession(const std::vector<Export>& exports) : options_(exports) {}

  // Processes received bytes. Replies of the handshake are appended to `out`, complete commands to
  // `requests`.
  void Feed(std::string_view bytes, std::string* out, std::vector<Request>* requests);

  // The export in use; null until transmission begins.
  const Export* chosen() const { return options_.chosen(); }
  bool ended() const { return state_ == State::kEnded; }
  // Whether a command has been received in part.
  bool has_partial_command() const {
    return state_ == State::kData || state_ == State::kSkip ||
           (state_ == State::kHeader && input_.size() > 0);
  }
  // Why the session has ended; empty where the client has ended it in order.
  const std::string& error() const { return error_; }

  // Each appends the reply to a command to `out`, in the negotiated form; see reply_encoder.h.
  void Reply(std::uint64_t cookie, const std::vector<Piece>& pieces, std::string* out) const;
  void Reply(std::uint64_t cookie, Error error, const std::string& message, std::string* out) const;
  void Reply(std::uint64_t cookie, const std::vector<Piece>& pieces,
             const std::vector<std::uint64_t>& corrupt_offsets, std::string* out) const;

 private:
  // What the next bytes are: the client's flags, the header or the data of an option; the header or the data
  // of a command, or the data of a command that is too long.
  enum class State { kFlags, kOption, kOptionData, kHeader, kData, kSkip, kEnded };

  // Each processes one message or part of one; false: more bytes are needed, or the session has ended.
  bool Step(std::string* out, std::vector<Request>* requests);
  bool StepFlags();
  bool StepOption();
  bool StepOptionData(std::string* out);
  bool StepHeader(std::vector<Request>* requests);
  bool StepData(std::vector<Request>* requests);
  bool StepSkip(std::vector<Request>* requests);
  // Ends the session; always false, for the steps to return.
  bool End(std::string error);

  OptionHandler options_;
  State state_ = State::kFlags;
  Buffer input_;
  std::uint32_t option_ = 0;     // the option whose data is received
  std::uint32_t remaining_ = 0;  // bytes of data to come, of the option or command
  Request request_;              // the command whose data is received
  std::string error_;
};

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_SERVER_SESSION_H_
