#include "nbd/codec.h"

#include <algorithm>

namespace walnutspur::nbd {
namespace {

constexpr std::uint64_t kMagic = 0x4e42444d41474943;        // "NBDMAGIC"
constexpr std::uint64_t kOptionMagic = 0x49484156454F5054;  // "IHAVEOPT"
constexpr std::uint64_t kOptionReplyMagic = 0x3e889045565a9;
constexpr std::uint32_t kRequestMagic = 0x25609513;
constexpr std::uint32_t kSimpleMagic = 0x67446698;
constexpr std::uint32_t kStructuredMagic = 0x668e33ef;
constexpr std::uint16_t kFixedNewstyle = 1, kNoZeroes = 2;
constexpr std::uint16_t kDone = 1;  // flag of a chunk
constexpr std::uint16_t kInfoExport = 0, kInfoBlockSize = 3;
constexpr std::uint32_t kMostOption = 16 * 1024;  // bytes of an option: names are at most 4096
constexpr std::uint32_t kMostText = 4096;         // bytes of a string
constexpr std::size_t kZeroes = 124;              // after EXPORT_NAME, unless they are waived
constexpr std::uint32_t kBlock = 512;             // the block size that is advised

}  // namespace

std::string Buffer::Take(std::size_t size) {
  std::string taken(Peek(size));
  Skip(taken.size());
  return taken;
}

std::size_t Buffer::Skip(std::size_t wanted) {
  const std::size_t skipped = std::min(wanted, size());
  at_ += skipped;
  if (at_ == bytes_.size()) {
    bytes_.clear();
    at_ = 0;
  } else if (at_ > bytes_.size() / 2) {
    bytes_.erase(0, at_);
    at_ = 0;
  }
  return skipped;
}

std::string Greeting() {
  std::string out;
  Put(kMagic, &out);
  Put(kOptionMagic, &out);
  Put<std::uint16_t>(kFixedNewstyle | kNoZeroes, &out);
  return out;
}

std::string ClientFlags() {
  std::string out;
  Put<std::uint32_t>(kFixedNewstyle | kNoZeroes, &out);
  return out;
}

void PutOption(std::uint32_t option, std::string_view data, std::string* out) {
  Put(kOptionMagic, out);
  Put(option, out);
  Put(static_cast<std::uint32_t>(data.size()), out);
  out->append(data);
}

void PutRequest(const Request& request, std::string* out) {
  Put(kRequestMagic, out);
  Put(request.flags, out);
  Put(request.type, out);
  Put(request.cookie, out);
  Put(request.offset, out);
  Put(request.length, out);
  out->append(request.data);
}

void PutChunk(bool done, std::uint16_t type, std::uint64_t cookie, std::string_view data, std::string* out) {
  Put(kStructuredMagic, out);
  Put<std::uint16_t>(done ? kDone : 0, out);
  Put(type, out);
  Put(cookie, out);
  Put(static_cast<std::uint32_t>(data.size()), out);
  out->append(data);
}

void PutSimple(Error error, std::uint64_t cookie, std::string* out) {
  Put(kSimpleMagic, out);
  Put<std::uint32_t>(error, out);
  Put(cookie, out);
}

// ---- the serving side ----

ServerSession::ServerSession(const std::vector<Export>& exports) : exports_(exports) {}

bool ServerSession::End(std::string why) {
  state_ = State::kEnded;
  why_ = std::move(why);
  return false;
}

void ServerSession::Feed(std::string_view bytes, std::string* out, std::vector<Request>* requests) {
  if (ended()) {
    return;
  }
  in_.Add(bytes);
  while (Step(out, requests)) {
  }
}

// One step; false when more bytes are needed, or none any more.
bool ServerSession::Step(std::string* out, std::vector<Request>* requests) {
  switch (state_) {
    case State::kFlags: {
      if (in_.size() < 4) {
        return false;
      }
      const auto flags = Get<std::uint32_t>(in_.Take(4));
      if (flags & ~std::uint32_t{kFixedNewstyle | kNoZeroes}) {
        return End("unknown client flags");
      }
      if (!(flags & kFixedNewstyle)) {
        return End("the client knows no fixed newstyle");
      }
      zeroes_ = ((flags & kNoZeroes) == 0u);
      state_ = State::kOption;
      return true;
    }
    case State::kOption: {
      if (in_.size() < 16) {
        return false;
      }
      const std::string head = in_.Take(16);
      if (Get<std::uint64_t>(head) != kOptionMagic) {
        return End("bad magic of an option");
      }
      option_ = Get<std::uint32_t>(head, 8);
      length_ = Get<std::uint32_t>(head, 12);
      if (length_ > kMostOption) {
        return End("an option too long");
      }
      state_ = State::kOptionData;
      return true;
    }
    case State::kOptionData:
      return StepOption(out);
    case State::kHeader: {
      if (in_.size() < 28) {
        return false;
      }
      const std::string head = in_.Take(28);
      if (Get<std::uint32_t>(head) != kRequestMagic) {
        return End("bad magic of a request");
      }
      request_ = {};
      request_.flags = Get<std::uint16_t>(head, 4);
      request_.type = Get<std::uint16_t>(head, 6);
      request_.cookie = Get<std::uint64_t>(head, 8);
      request_.offset = Get<std::uint64_t>(head, 16);
      request_.length = Get<std::uint32_t>(head, 24);
      if (request_.type == kDisconnect) {
        return End("");
      }
      if (request_.type == kWrite) {
        request_.oversized = request_.length > chosen_->largest;
        length_ = request_.length;
        state_ = request_.oversized ? State::kSkip : State::kData;
        return true;
      }
      requests->push_back(std::move(request_));
      return true;
    }
    case State::kData:
      if (in_.size() < length_) {
        return false;
      }
      request_.data = in_.Take(length_);
      requests->push_back(std::move(request_));
      state_ = State::kHeader;
      return true;
    case State::kSkip:  // an oversized write is refused without holding its data
      length_ -= static_cast<std::uint32_t>(in_.Skip(length_));
      if (length_ > 0) {
        return false;
      }
      requests->push_back(std::move(request_));
      state_ = State::kHeader;
      return true;
    case State::kEnded:
      return false;
  }
  return false;
}

void ServerSession::AnswerOption(std::uint32_t type, std::string_view data, std::string* out) const {
  Put(kOptionReplyMagic, out);
  Put(option_, out);
  Put(type, out);
  Put(static_cast<std::uint32_t>(data.size()), out);
  out->append(data);
}

bool ServerSession::StepOption(std::string* out) {
  if (in_.size() < length_) {
    return false;
  }
  const std::string data = in_.Take(length_);
  state_ = State::kOption;
  switch (option_) {
    case kExportName: {  // has no reply for an error: the connection ends
      const auto at =
          std::find_if(exports_.begin(), exports_.end(), [&](const Export& e) { return e.name == data; });
      if (at == exports_.end()) {
        return End("no such export");
      }
      Put(at->size, out);
      Put(at->flags, out);
      if (zeroes_) {
        out->append(kZeroes, '\0');
      }
      chosen_ = &*at;
      state_ = State::kHeader;
      return true;
    }
    case kAbort:
      AnswerOption(kAck, "", out);
      return End("");
    case kList:
      if (!data.empty()) {
        AnswerOption(kErrInvalid, "", out);
        return true;
      }
      for (const Export& e : exports_) {
        std::string name;
        Put(static_cast<std::uint32_t>(e.name.size()), &name);
        AnswerOption(kServer, name + e.name, out);
      }
      AnswerOption(kAck, "", out);
      return true;
    case kStructuredReply:
      structured_ = structured_ || data.empty();
      AnswerOption(data.empty() ? kAck : kErrInvalid, "", out);
      return true;
    case kInfo:
    case kGo:
      Choose(data, out);
      return true;
    default:
      AnswerOption(kErrUnsupported, "", out);
      return true;
  }
}

void ServerSession::Choose(std::string_view data, std::string* out) {
  const std::uint32_t size = data.size() >= 6 ? Get<std::uint32_t>(data) : 0;
  if (data.size() < 6 || size > data.size() - 6) {
    return AnswerOption(kErrInvalid, "", out);
  }
  const std::string_view name = data.substr(4, size);
  const auto count = Get<std::uint16_t>(data, 4 + size);
  if (data.size() != 6 + size + 2 * std::size_t{count}) {
    return AnswerOption(kErrInvalid, "", out);
  }
  const auto at =
      std::find_if(exports_.begin(), exports_.end(), [&](const Export& e) { return e.name == name; });
  if (at == exports_.end()) {
    return AnswerOption(kErrUnknown, "", out);
  }
  std::string info;
  Put(kInfoExport, &info);
  Put(at->size, &info);
  Put(at->flags, &info);
  AnswerOption(kInfoReply, info, out);
  info.clear();
  Put(kInfoBlockSize, &info);
  Put<std::uint32_t>(1, &info);
  Put<std::uint32_t>(std::min(kBlock, at->largest), &info);
  Put<std::uint32_t>(at->largest, &info);
  AnswerOption(kInfoReply, info, out);
  AnswerOption(kAck, "", out);
  if (option_ != kGo) {
    return;
  }
  chosen_ = &*at;
  state_ = State::kHeader;
}

void ServerSession::Reply(std::uint64_t cookie, const std::vector<Piece>& pieces, std::string* out) const {
  if (!structured_) {  // holes are written out
    PutSimple(kOk, cookie, out);
    for (const Piece& piece : pieces) {
      piece.hole > 0 ? out->append(piece.hole, '\0') : out->append(piece.data);
    }
    return;
  }
  for (std::size_t i = 0; i < pieces.size(); ++i) {
    std::string data;
    Put(pieces[i].offset, &data);
    if (pieces[i].hole > 0) {
      Put(pieces[i].hole, &data);
    }
    data += pieces[i].data;
    PutChunk(i + 1 == pieces.size(), pieces[i].hole > 0 ? kOffsetHole : kOffsetData, cookie, data, out);
  }
  if (pieces.empty()) {
    PutChunk(true, kNone, cookie, "", out);
  }
}

void ServerSession::Reply(std::uint64_t cookie, Error error, const std::string& message,
                          std::string* out) const {
  if (!structured_) {
    return PutSimple(error, cookie, out);
  }
  if (error == kOk) {
    return PutChunk(true, kNone, cookie, "", out);
  }
  std::string data;
  Put<std::uint32_t>(error, &data);
  Put(static_cast<std::uint16_t>(std::min<std::size_t>(message.size(), kMostText)), &data);
  data.append(message, 0, kMostText);
  PutChunk(true, kError, cookie, data, out);
}

void ServerSession::Reply(std::uint64_t cookie, const std::vector<Piece>& pieces,
                          const std::vector<std::uint64_t>& bad, std::string* out) const {
  if (!structured_) {
    return PutSimple(kIo, cookie, out);
  }
  for (const Piece& piece : pieces) {
    std::string data;
    Put(piece.offset, &data);
    data += piece.data;
    PutChunk(false, kOffsetData, cookie, data, out);
  }
  const std::string why = "the block is damaged";
  for (std::size_t i = 0; i < bad.size(); ++i) {
    std::string data;
    Put<std::uint32_t>(kIo, &data);
    Put(static_cast<std::uint16_t>(why.size()), &data);
    data += why;
    Put(bad[i], &data);
    PutChunk(i + 1 == bad.size(), kErrorOffset, cookie, data, out);
  }
}

// ---- the using side ----

bool ClientSession::End(std::string why) {
  state_ = State::kEnded;
  why_ = std::move(why);
  return false;
}

void ClientSession::Feed(std::string_view bytes, std::string* out, std::vector<Reply>* replies) {
  if (ended()) {
    return;
  }
  in_.Add(bytes);
  while (Step(out, replies)) {
  }
}

void ClientSession::Ask(std::uint32_t option, std::string_view data, std::string* out) {
  asked_ = option;
  PutOption(option, data, out);
}

void ClientSession::AskFor(std::uint32_t option, std::string* out) {
  if (option == kExportName) {  // for servers that know no GO
    state_ = State::kExportInfo;
    return Ask(kExportName, name_, out);
  }
  std::string data;
  Put(static_cast<std::uint32_t>(name_.size()), &data);
  data += name_;
  Put<std::uint16_t>(0, &data);
  Ask(option, data, out);
}

bool ClientSession::Step(std::string* out, std::vector<Reply>* replies) {
  switch (state_) {
    case State::kGreeting: {
      if (in_.size() < 18) {
        return false;
      }
      const std::string head = in_.Take(18);
      if (Get<std::uint64_t>(head) != kMagic || Get<std::uint64_t>(head, 8) != kOptionMagic) {
        return End("bad magic of the greeting");
      }
      const auto flags = Get<std::uint16_t>(head, 16);
      if (!(flags & kFixedNewstyle)) {
        return End("the server knows no fixed newstyle");
      }
      zeroes_ = ((flags & kNoZeroes) == 0);
      Put<std::uint32_t>(kFixedNewstyle | (flags & kNoZeroes), out);
      state_ = State::kOptionReply;
      Ask(kStructuredReply, "", out);
      return true;
    }
    case State::kOptionReply:
      return StepOptionReply(out);
    case State::kExportInfo: {
      const std::size_t size = 10 + (zeroes_ ? kZeroes : 0);
      if (in_.size() < size) {
        return false;
      }
      const std::string info = in_.Take(size);
      size_ = Get<std::uint64_t>(info);
      flags_ = Get<std::uint16_t>(info, 8);
      state_ = State::kReply;
      return true;
    }
    case State::kReply:
      return StepReply(replies);
    case State::kEnded:
      return false;
  }
  return false;
}

bool ClientSession::StepOptionReply(std::string* out) {
  if (in_.size() < 20) {
    return false;
  }
  const std::string_view head = in_.Peek(20);
  if (Get<std::uint64_t>(head) != kOptionReplyMagic) {
    return End("bad magic of an option's reply");
  }
  const auto option = Get<std::uint32_t>(head, 8);
  const auto type = Get<std::uint32_t>(head, 12);
  const auto length = Get<std::uint32_t>(head, 16);
  if (option != asked_) {
    return End("a reply to an option that was not asked");
  }
  if (length > kMostOption) {
    return End("an option's reply too long");
  }
  if (in_.size() < 20 + length) {
    return false;
  }
  in_.Skip(20);
  const std::string data = in_.Take(length);
  if (asked_ == kStructuredReply) {
    structured_ = type == kAck;
    AskFor(kGo, out);
    return true;
  }
  if (type == kInfoReply) {
    if (data.size() >= 12 && Get<std::uint16_t>(data) == kInfoExport) {
      size_ = Get<std::uint64_t>(data, 2);
      flags_ = Get<std::uint16_t>(data, 10);
    }
    return true;
  }
  if (type == kAck) {
    state_ = State::kReply;
    return true;
  }
  if (type == kErrUnsupported) {
    AskFor(kExportName, out);
    return true;
  }
  return End("the server does not serve the export");
}

void ClientSession::Send(const Request& request, std::string* out) {
  Open& open = open_[request.cookie];
  open.type = request.type;
  open.offset = request.offset;
  open.length = request.length;
  PutRequest(request, out);
}

bool ClientSession::StepReply(std::vector<Reply>* replies) {
  if (in_.size() < 4) {
    return false;
  }
  const auto magic = Get<std::uint32_t>(in_.Peek(4));
  if (magic == kStructuredMagic && structured_) {
    return StepChunk(replies);
  }
  if (magic != kSimpleMagic) {
    return End("bad magic of a reply");
  }
  if (in_.size() < 16) {
    return false;
  }
  const std::string_view head = in_.Peek(16);
  const auto error = Get<std::uint32_t>(head, 4);
  const auto cookie = Get<std::uint64_t>(head, 8);
  const auto at = open_.find(cookie);
  if (at == open_.end()) {
    return End("a reply with an unknown cookie");
  }
  Open& open = at->second;
  if (open.type == kRead && structured_) {
    return End("a simple reply to a read");
  }
  const std::size_t size = open.type == kRead && error == kOk ? open.length : 0;
  if (in_.size() < 16 + size) {
    return false;
  }
  in_.Skip(16);
  Reply reply{cookie, static_cast<Error>(error), {}, {}, {}};
  if (size > 0) {
    reply.pieces.push_back({open.offset, in_.Take(size), 0});
  }
  replies->push_back(std::move(reply));
  open_.erase(at);
  return true;
}

bool ClientSession::StepChunk(std::vector<Reply>* replies) {
  if (in_.size() < 20) {
    return false;
  }
  const std::string_view head = in_.Peek(20);
  const auto flags = Get<std::uint16_t>(head, 4);
  const auto type = Get<std::uint16_t>(head, 6);
  const auto cookie = Get<std::uint64_t>(head, 8);
  const auto length = Get<std::uint32_t>(head, 16);
  const auto at = open_.find(cookie);
  if (at == open_.end()) {
    return End("a chunk with an unknown cookie");
  }
  Open& open = at->second;
  const std::uint64_t most = type == kOffsetData ? std::uint64_t{8} + open.length : 14 + kMostText;
  if (length > most) {
    return End("a chunk too long");
  }
  if (in_.size() < 20 + std::size_t{length}) {
    return false;
  }
  in_.Skip(20);
  const std::string data = in_.Take(length);
  if (!TakePiece(open, type, data)) {
    return End("a chunk that cannot be");
  }
  if (!(flags & kDone)) {
    return true;
  }
  // What has an error in any chunk, or does not cover all that was asked, is never passed off as whole.
  std::uint64_t covered = 0;
  for (const Piece& piece : open.pieces) {
    covered += piece.size();
  }
  if (open.error == kOk && open.type == kRead && covered != open.length) {
    open.error = kIo;
  }
  std::sort(open.pieces.begin(), open.pieces.end(),
            [](const Piece& a, const Piece& b) { return a.offset < b.offset; });
  Reply reply{cookie, open.error, {}, std::move(open.bad), {}};
  (open.error == kOk ? reply.pieces : reply.partial) = std::move(open.pieces);
  replies->push_back(std::move(reply));
  open_.erase(at);
  return true;
}

bool ClientSession::TakePiece(Open& open, std::uint16_t type, std::string_view data) {
  if (type == kNone) {
    return data.empty();
  }
  if (type & 0x8000) {  // an error, of a known kind or not
    if (data.size() < 6) {
      return false;
    }
    const auto error = Get<std::uint32_t>(data);
    const std::size_t text = Get<std::uint16_t>(data, 4);
    if (error == kOk || 6 + text > data.size()) {
      return false;
    }
    if (type == kError && data.size() != 6 + text) {
      return false;
    }
    if (type == kErrorOffset && data.size() != 14 + text) {
      return false;
    }
    open.error = static_cast<Error>(error);
    if (type == kErrorOffset) {
      open.bad.push_back(Get<std::uint64_t>(data, 6 + text));
    }
    return true;
  }
  if (open.type != kRead || data.size() < 9) {
    return false;
  }
  Piece piece;
  piece.offset = Get<std::uint64_t>(data);
  if (type == kOffsetData) {
    piece.data = data.substr(8);
  } else if (type == kOffsetHole && data.size() == 12 && Get<std::uint32_t>(data, 8) > 0) {
    piece.hole = Get<std::uint32_t>(data, 8);
  } else {
    return false;
  }
  const std::uint64_t end = open.offset + open.length;
  if (piece.offset < open.offset || piece.offset > end || piece.size() > end - piece.offset) {
    return false;
  }
  for (const Piece& other : open.pieces) {
    if (piece.offset < other.offset + other.size() && other.offset < piece.offset + piece.size()) {
      return false;
    }
  }
  open.pieces.push_back(std::move(piece));
  return true;
}

}  // namespace walnutspur::nbd
