#include "nbd/client_session.h"

#include "nbd/messages.h"

namespace walnutspur::nbd {

void ClientSession::Feed(std::string_view bytes, std::string* out, std::vector<Reply>* replies) {
  if (ended()) {
    return;
  }
  input_.Add(bytes);
  while (Step(out, replies)) {
  }
}

void ClientSession::Send(const Request& request, std::string* out) {
  in_flight_.insert_or_assign(request.cookie, ReplyAssembler(request));
  PutRequest(request, out);
}

bool ClientSession::End(std::string error) {
  state_ = State::kEnded;
  error_ = std::move(error);
  return false;
}

bool ClientSession::Step(std::string* out, std::vector<Reply>* replies) {
  switch (state_) {
    case State::kGreeting:
      return StepGreeting(out);
    case State::kOptionReply:
      return StepOptionReply(out);
    case State::kExportInfo:
      return StepExportInfo();
    case State::kReply:
      return StepReply(replies);
    case State::kEnded:
      return false;
  }
  return false;
}

// ---- handshake ----

bool ClientSession::StepGreeting(std::string* out) {
  if (input_.size() < kGreetingSize) {
    return false;
  }
  const std::string greeting = input_.Take(kGreetingSize);
  FieldReader fields(greeting);
  const auto magic = fields.Next<std::uint64_t>();
  if (magic != kNbdMagic || fields.Next<std::uint64_t>() != kOptionMagic) {
    return End("the greeting of the server has an invalid magic number");
  }
  const auto flags = fields.Next<std::uint16_t>();
  if (!(flags & kFixedNewstyle)) {
    return End("the server does not support the fixed newstyle handshake");
  }
  zeroes_ = (flags & kNoZeroes) == 0;
  Put<std::uint32_t>(kFixedNewstyle | (flags & kNoZeroes), out);
  state_ = State::kOptionReply;
  SendOption(kOptStructuredReply, "", out);
  return true;
}

void ClientSession::SendOption(std::uint32_t option, std::string_view data, std::string* out) {
  pending_option_ = option;
  PutOption(option, data, out);
}

void ClientSession::SendGo(std::string* out) {
  std::string data;
  Put(static_cast<std::uint32_t>(name_.size()), &data);
  data += name_;
  Put<std::uint16_t>(0, &data);  // number of information types requested
  SendOption(kOptGo, data, out);
}

// Requests the export from a server that does not support NBD_OPT_GO.
void ClientSession::SendExportName(std::string* out) {
  state_ = State::kExportInfo;
  SendOption(kOptExportName, name_, out);
}

bool ClientSession::StepOptionReply(std::string* out) {
  if (input_.size() < kOptionReplyHeaderSize) {
    return false;
  }
  FieldReader fields(input_.Peek(kOptionReplyHeaderSize));
  if (fields.Next<std::uint64_t>() != kOptionReplyMagic) {
    return End("an option reply has an invalid magic number");
  }
  const auto option = fields.Next<std::uint32_t>();
  const auto type = fields.Next<std::uint32_t>();
  const auto length = fields.Next<std::uint32_t>();
  if (option != pending_option_) {
    return End("an option reply is for option " + std::to_string(option) + ", expected " +
               std::to_string(pending_option_));
  }
  if (length > kMaxOptionSize) {
    return End("an option reply has " + std::to_string(length) + " bytes of data, allowed are at most " +
               std::to_string(kMaxOptionSize));
  }
  if (input_.size() < kOptionReplyHeaderSize + length) {
    return false;
  }
  input_.Skip(kOptionReplyHeaderSize);
  const std::string data = input_.Take(length);
  return HandleOptionReply(type, data, out);
}

bool ClientSession::HandleOptionReply(std::uint32_t type, std::string_view data, std::string* out) {
  constexpr std::size_t kInfoExportSize = sizeof(InfoType) + kExportInfoSize;
  if (pending_option_ == kOptStructuredReply) {
    structured_ = type == kRepAck;
    SendGo(out);
    return true;
  }
  switch (type) {
    case kRepInfo: {
      FieldReader fields(data);
      if (data.size() >= kInfoExportSize && fields.Next<std::uint16_t>() == kInfoExport) {
        size_ = fields.Next<std::uint64_t>();
        flags_ = fields.Next<std::uint16_t>();
      }
      return true;
    }
    case kRepAck:
      state_ = State::kReply;
      return true;
    case kRepErrUnsupported:
      SendExportName(out);
      return true;
    default:
      return End("the server rejected the export: reply type " + std::to_string(type));
  }
}

bool ClientSession::StepExportInfo() {
  const std::size_t size = kExportInfoSize + (zeroes_ ? kExportInfoZeroes : 0);
  if (input_.size() < size) {
    return false;
  }
  const std::string info = input_.Take(size);
  FieldReader fields(info);
  size_ = fields.Next<std::uint64_t>();
  flags_ = fields.Next<std::uint16_t>();
  state_ = State::kReply;
  return true;
}

// ---- transmission ----

bool ClientSession::StepReply(std::vector<Reply>* replies) {
  if (input_.size() < sizeof(std::uint32_t)) {
    return false;
  }
  const auto magic = Get<std::uint32_t>(input_.Peek(sizeof(std::uint32_t)));
  if (magic == kStructuredReplyMagic && structured_) {
    return StepChunk(replies);
  }
  if (magic != kSimpleReplyMagic) {
    return End("a reply has an invalid magic number");
  }
  return StepSimpleReply(replies);
}

bool ClientSession::StepSimpleReply(std::vector<Reply>* replies) {
  if (input_.size() < kSimpleReplyHeaderSize) {
    return false;
  }
  FieldReader fields(input_.Peek(kSimpleReplyHeaderSize));
  fields.Next<std::uint32_t>();  // the magic number, checked by StepReply
  const auto error = fields.Next<std::uint32_t>();
  const auto cookie = fields.Next<std::uint64_t>();
  const auto at = in_flight_.find(cookie);
  if (at == in_flight_.end()) {
    return End("a reply has cookie " + std::to_string(cookie) + ", which is not in flight");
  }
  const ReplyAssembler& command = at->second;
  if (command.is_read() && structured_) {
    return End("a read got a simple reply although structured replies are negotiated");
  }
  const std::size_t size = command.is_read() && error == kOk ? command.length() : 0;
  if (input_.size() < kSimpleReplyHeaderSize + size) {
    return false;
  }
  input_.Skip(kSimpleReplyHeaderSize);
  Reply reply{cookie, static_cast<Error>(error), {}, {}, {}};
  if (size > 0) {
    reply.pieces.push_back({command.offset(), input_.Take(size), 0});
  }
  replies->push_back(std::move(reply));
  in_flight_.erase(at);
  return true;
}

bool ClientSession::StepChunk(std::vector<Reply>* replies) {
  if (input_.size() < kChunkHeaderSize) {
    return false;
  }
  FieldReader fields(input_.Peek(kChunkHeaderSize));
  fields.Next<std::uint32_t>();  // the magic number, checked by StepReply
  const auto flags = fields.Next<std::uint16_t>();
  const auto type = fields.Next<std::uint16_t>();
  const auto cookie = fields.Next<std::uint64_t>();
  const auto length = fields.Next<std::uint32_t>();
  const auto at = in_flight_.find(cookie);
  if (at == in_flight_.end()) {
    return End("a reply chunk has cookie " + std::to_string(cookie) + ", which is not in flight");
  }
  ReplyAssembler& assembler = at->second;
  if (length > assembler.MaxChunkSize(type)) {
    return End("a reply chunk has " + std::to_string(length) +
               " bytes of data, which is too long for its type and command");
  }
  if (input_.size() < kChunkHeaderSize + length) {
    return false;
  }
  input_.Skip(kChunkHeaderSize);
  const std::string data = input_.Take(length);
  if (!assembler.Add(type, data)) {
    return End("a reply chunk of type " + std::to_string(type) + " is not valid for its command");
  }
  if (flags & kChunkDone) {
    replies->push_back(assembler.Finish(cookie));
    in_flight_.erase(at);
  }
  return true;
}

}  // namespace walnutspur::nbd
