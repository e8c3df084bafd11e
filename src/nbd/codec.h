// The NBD wire: both sides of the fixed newstyle handshake and of transmission, without a socket. Bytes go in
// as they come, in pieces of any size; replies and commands come out.
#ifndef WALNUTSPUR_NBD_CODEC_H_
#define WALNUTSPUR_NBD_CODEC_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace walnutspur::nbd {

enum Option : std::uint32_t {
  kExportName = 1,
  kAbort = 2,
  kList = 3,
  kInfo = 6,
  kGo = 7,
  kStructuredReply = 8
};
enum OptionReply : std::uint32_t {
  kAck = 1,
  kServer = 2,
  kInfoReply = 3,
  kErrUnsupported = 0x80000001,
  kErrInvalid = 0x80000003,
  kErrUnknown = 0x80000006,
  kErrTooBig = 0x80000009
};
enum Command : std::uint16_t { kRead = 0, kWrite = 1, kDisconnect = 2, kFlush = 3 };
enum ChunkType : std::uint16_t {
  kNone = 0,
  kOffsetData = 1,
  kOffsetHole = 2,
  kError = 0x8001,
  kErrorOffset = 0x8002
};
enum Error : std::uint32_t {
  kOk = 0,
  kPerm = 1,
  kIo = 5,
  kNoMemory = 12,
  kInvalid = 22,
  kNoSpace = 28,
  kOverflow = 75,
  kNotSupported = 95,
  kShutdown = 108
};
constexpr std::uint16_t kHasFlags = 1, kSendFlush = 4, kSendFua = 8, kCanMultiConn = 256;  // of an export
constexpr std::uint16_t kFua = 1;  // of a command: durable once it is answered

struct Export {
  std::string name;
  std::uint64_t size = 0;
  std::uint32_t largest = 0;  // bytes of one command
  std::uint16_t flags = kHasFlags | kSendFlush;
};

struct Request {
  std::uint16_t flags = 0, type = 0;
  std::uint64_t cookie = 0, offset = 0;
  std::uint32_t length = 0;
  std::string data;        // of a write
  bool oversized = false;  // a write beyond the largest, whose data was skipped
};

// A part of what a read brought.
struct Piece {
  std::uint64_t offset = 0;
  std::string data;
  std::uint32_t hole = 0;  // so many zeros, in place of data
  std::uint64_t size() const { return hole > 0 ? hole : data.size(); }
};

// Bytes that wait to be read.
class Buffer {
 public:
  void Add(std::string_view bytes) { bytes_.append(bytes); }
  std::size_t size() const { return bytes_.size() - at_; }
  std::string_view Peek(std::size_t size) const { return std::string_view(bytes_).substr(at_, size); }
  std::string Take(std::size_t size);
  std::size_t Skip(std::size_t size);

 private:
  std::string bytes_;
  std::size_t at_ = 0;
};

// The side that serves exports.
class ServerSession {
 public:
  explicit ServerSession(const std::vector<Export>& exports);

  // Takes bytes of the client. Answers of the handshake are added to `out`.
  void Feed(std::string_view bytes, std::string* out, std::vector<Request>* requests);

  const Export* chosen() const { return chosen_; }  // set once transmission has begun
  bool ended() const { return state_ == State::kEnded; }
  // The client is inside of a command.
  bool unfinished() const {
    return state_ == State::kData || state_ == State::kSkip || (state_ == State::kHeader && in_.size() > 0);
  }
  const std::string& why() const { return why_; }  // the connection ended, if not by the client's wish

  // Replies in the form that was negotiated.
  void Reply(std::uint64_t cookie, const std::vector<Piece>& pieces, std::string* out) const;  // to a read
  void Reply(std::uint64_t cookie, Error error, const std::string& message, std::string* out) const;
  // To a read that met damage: the good pieces, and an error with the offset of each bad block. Where no
  // structured replies were negotiated, an error and no data.
  void Reply(std::uint64_t cookie, const std::vector<Piece>& pieces, const std::vector<std::uint64_t>& bad,
             std::string* out) const;

 private:
  enum class State { kFlags, kOption, kOptionData, kHeader, kData, kSkip, kEnded };
  bool Step(std::string* out, std::vector<Request>* requests);
  bool StepOption(std::string* out);
  void Choose(std::string_view data, std::string* out);
  void AnswerOption(std::uint32_t type, std::string_view data, std::string* out) const;
  bool End(std::string why);

  const std::vector<Export>& exports_;
  State state_ = State::kFlags;
  Buffer in_;
  bool zeroes_ = true, structured_ = false;
  std::uint32_t option_ = 0, length_ = 0;
  Request request_;
  const Export* chosen_ = nullptr;
  std::string why_;
};

struct Reply {
  std::uint64_t cookie = 0;
  Error error = kOk;
  std::vector<Piece> pieces;       // of a read, whole and in order; none if there is an error
  std::vector<std::uint64_t> bad;  // offsets that errors were given for
  std::vector<Piece> partial;      // what came beside an error
};

// The side that uses one export of a server.
class ClientSession {
 public:
  explicit ClientSession(std::string export_name) : name_(std::move(export_name)) {}

  // Takes bytes of the server. What the handshake says is added to `out`.
  void Feed(std::string_view bytes, std::string* out, std::vector<Reply>* replies);
  void Send(const Request& request, std::string* out);

  bool ready() const { return state_ >= State::kReply && state_ != State::kEnded; }
  bool ended() const { return state_ == State::kEnded; }
  const std::string& why() const { return why_; }
  std::size_t in_flight() const { return open_.size(); }
  // The server has begun to say what nobody asked for.
  bool surplus() const { return ready() && open_.empty() && in_.size() > 0; }
  std::uint64_t size() const { return size_; }
  std::uint16_t flags() const { return flags_; }

 private:
  enum class State { kGreeting, kOptionReply, kExportInfo, kReply, kEnded };
  struct Open {
    std::uint16_t type = 0;
    std::uint64_t offset = 0;
    std::uint32_t length = 0;
    Error error = kOk;
    std::vector<Piece> pieces;
    std::vector<std::uint64_t> bad;
  };

  bool Step(std::string* out, std::vector<Reply>* replies);
  bool StepOptionReply(std::string* out);
  bool StepReply(std::vector<Reply>* replies);
  bool StepChunk(std::vector<Reply>* replies);
  bool TakePiece(Open& open, std::uint16_t type, std::string_view data);
  void Ask(std::uint32_t option, std::string_view data, std::string* out);
  void AskFor(std::uint32_t option, std::string* out);
  bool End(std::string why);

  std::string name_;
  State state_ = State::kGreeting;
  Buffer in_;
  std::uint32_t asked_ = 0;
  bool zeroes_ = true, structured_ = false;
  std::uint64_t size_ = 0;
  std::uint16_t flags_ = 0;
  std::map<std::uint64_t, Open> open_;
  std::string why_;
};

// What a server says first.
std::string Greeting();
// What a client says first, with the options that follow it.
std::string ClientFlags();
void PutOption(std::uint32_t option, std::string_view data, std::string* out);
void PutRequest(const Request& request, std::string* out);
void PutChunk(bool done, std::uint16_t type, std::uint64_t cookie, std::string_view data, std::string* out);
void PutSimple(Error error, std::uint64_t cookie, std::string* out);

template <typename T>
void Put(T value, std::string* out) {
  for (int shift = 8 * (sizeof(T) - 1); shift >= 0; shift -= 8) {
    out->push_back(static_cast<char>(value >> shift & 0xff));
  }
}
template <typename T>
T Get(std::string_view bytes, std::size_t at = 0) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
  }
  return static_cast<T>(value);
}

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_CODEC_H_
