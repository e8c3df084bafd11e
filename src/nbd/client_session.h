// Class ClientSession implements the client side of the NBD protocol without a socket: the fixed newstyle
// handshake for one export, then the transmission phase. The input is the received bytes, split in any way;
// the output is replies for the caller and messages for the server. Owned by a connection and used on its
// thread.
#ifndef WALNUTSPUR_NBD_CLIENT_SESSION_H_
#define WALNUTSPUR_NBD_CLIENT_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "nbd/byte_buffer.h"
#include "nbd/protocol.h"
#include "nbd/reply_assembler.h"

namespace walnutspur::nbd {

class ClientSession {
 public:
  explicit ClientSession(std::string export_name) : name_(std::move(export_name)) {}

  // Processes received bytes. Appends handshake messages to `out` and complete replies to `replies`.
  void Feed(std::string_view bytes, std::string* out, std::vector<Reply>* replies);
  // Appends a command to `out` and registers its cookie, which must not be in flight.
  void Send(const Request& request, std::string* out);

  // Returns whether the handshake is complete, so that commands may be sent.
  bool ready() const { return state_ == State::kReply; }
  bool ended() const { return state_ == State::kEnded; }
  // Returns the protocol error that has ended the session.
  const std::string& error() const { return error_; }
  std::size_t in_flight() const { return in_flight_.size(); }
  // Returns whether the server has sent bytes although no command is in flight.
  bool has_unsolicited_bytes() const { return ready() && in_flight_.empty() && input_.size() > 0; }

  // Return the size of the export in bytes and its transmission flags. Valid once the session is ready.
  std::uint64_t size() const { return size_; }
  std::uint16_t flags() const { return flags_; }

 private:
  // The message that is expected next: the greeting, the reply to an option, the reply to
  // NBD_OPT_EXPORT_NAME, or the reply to a command.
  enum class State { kGreeting, kOptionReply, kExportInfo, kReply, kEnded };

  // Process one message. Return false if more bytes are needed or the session has ended.
  bool Step(std::string* out, std::vector<Reply>* replies);
  bool StepGreeting(std::string* out);
  bool StepOptionReply(std::string* out);
  bool StepExportInfo();
  bool StepReply(std::vector<Reply>* replies);
  bool StepSimpleReply(std::vector<Reply>* replies);
  bool StepChunk(std::vector<Reply>* replies);

  bool HandleOptionReply(std::uint32_t type, std::string_view data, std::string* out);
  void SendOption(std::uint32_t option, std::string_view data, std::string* out);
  void SendGo(std::string* out);
  void SendExportName(std::string* out);
  // Ends the session with an error. Always returns false, as the return value of the calling step.
  bool End(std::string error);

  std::string name_;  // of the export
  State state_ = State::kGreeting;
  Buffer input_;
  std::uint32_t pending_option_ = 0;  // the option that awaits its final reply
  bool zeroes_ = true;                // NBD_FLAG_NO_ZEROES is not negotiated
  bool structured_ = false;           // structured replies are negotiated
  std::uint64_t size_ = 0;
  std::uint16_t flags_ = 0;
  std::map<std::uint64_t, ReplyAssembler> in_flight_;  // key: cookie
  std::string error_;
};

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_CLIENT_SESSION_H_
