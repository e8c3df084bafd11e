// The client's side of an NBD connection, without a socket: the fixed newstyle handshake for one export, then
// commands. Received bytes go in, in pieces of any size; replies come out, and messages for the server. A
// connection owns one, on its thread.
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

  // Processes received bytes. Messages of the handshake are appended to `out`, complete replies to `replies`.
  void Feed(std::string_view bytes, std::string* out, std::vector<Reply>* replies);
  // Appends a command to `out` and expects its reply; the cookie must not be in flight.
  void Send(const Request& request, std::string* out);

  // The handshake is complete: commands may be sent.
  bool ready() const { return state_ == State::kReply; }
  bool ended() const { return state_ == State::kEnded; }
  // Why the session has ended.
  const std::string& error() const { return error_; }
  std::size_t in_flight() const { return in_flight_.size(); }
  // The server sends what replies to no command.
  bool has_unsolicited_bytes() const { return ready() && in_flight_.empty() && input_.size() > 0; }

  // The export, once the session is ready: its size in bytes, its transmission flags.
  std::uint64_t size() const { return size_; }
  std::uint16_t flags() const { return flags_; }

 private:
  // What the next bytes are: the greeting, the reply to an option, the reply to NBD_OPT_EXPORT_NAME, the
  // reply to a command.
  enum class State { kGreeting, kOptionReply, kExportInfo, kReply, kEnded };

  // Each processes one message; false: more bytes are needed, or the session has ended.
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
  // Ends the session; always false, for the steps to return.
  bool End(std::string error);

  std::string name_;  // the export's
  State state_ = State::kGreeting;
  Buffer input_;
  std::uint32_t pending_option_ = 0;  // the option that has no final reply yet
  bool zeroes_ = true;                // the reply to NBD_OPT_EXPORT_NAME ends with zeroes
  bool structured_ = false;           // structured replies are negotiated
  std::uint64_t size_ = 0;
  std::uint16_t flags_ = 0;
  std::map<std::uint64_t, ReplyAssembler> in_flight_;  // by cookie
  std::string error_;
};

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_CLIENT_SESSION_H_
