// Class ServerSession implements the server side of the NBD protocol without a socket: the fixed newstyle
// handshake, then the transmission phase. The input is the received bytes, split in any way; the output is
// commands for the caller and messages for the client. Owned by a connection and used on its thread.
#ifndef WALNUTSPUR_NBD_SERVER_SESSION_H_
#define WALNUTSPUR_NBD_SERVER_SESSION_H_

#include <cstddef>
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

  // Processes received bytes. Appends handshake replies to `out` and complete commands to `requests`.
  void Feed(std::string_view bytes, std::string* out, std::vector<Request>* requests);

  // Returns the export in use; null until the transmission phase begins.
  const Export* chosen() const { return options_.chosen(); }
  bool ended() const { return state_ == State::kEnded; }
  // Returns whether a command has been received only in part.
  bool has_partial_command() const {
    return state_ == State::kData || state_ == State::kSkip ||
           (state_ == State::kHeader && input_.size() > 0);
  }
  // Returns the size of the data that is being received and held until it is complete.
  std::size_t expected_data_bytes() const {
    return state_ == State::kData || state_ == State::kOptionData ? remaining_ : 0;
  }
  // Returns the protocol error that has ended the session; empty if the client has ended it regularly.
  const std::string& error() const { return error_; }

  // Append the reply to a command to `out`, in the negotiated form; see reply_encoder.h.
  void Reply(std::uint64_t cookie, const std::vector<Piece>& pieces, std::string* out) const;
  void Reply(std::uint64_t cookie, Error error, const std::string& message, std::string* out) const;
  void Reply(std::uint64_t cookie, const std::vector<Piece>& pieces,
             const std::vector<std::uint64_t>& corrupt_offsets, std::string* out) const;

 private:
  // The bytes that are expected next: the client's flags, the header or the data of an option, the header or
  // the data of a command, or the data of an oversized write, which is discarded.
  enum class State { kFlags, kOption, kOptionData, kHeader, kData, kSkip, kEnded };

  // Process one message or a part of one. Return false if more bytes are needed or the session has ended.
  bool Step(std::string* out, std::vector<Request>* requests);
  bool StepFlags();
  bool StepOption();
  bool StepOptionData(std::string* out);
  bool StepHeader(std::vector<Request>* requests);
  bool StepData(std::vector<Request>* requests);
  bool StepSkip(std::vector<Request>* requests);
  // Ends the session; `error` is empty for a regular end. Always returns false, as the return value of the
  // calling step.
  bool End(std::string error);

  OptionHandler options_;
  State state_ = State::kFlags;
  Buffer input_;
  std::uint32_t option_ = 0;     // the option whose data is being received
  std::uint32_t remaining_ = 0;  // data bytes of the option or command that are still to be received
  Request request_;              // the command whose data is being received
  std::string error_;
};

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_SERVER_SESSION_H_
