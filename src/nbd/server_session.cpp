#include "nbd/server_session.h"

#include <utility>

#include "nbd/reply_encoder.h"

namespace walnutspur::nbd {

void ServerSession::Feed(std::string_view bytes, std::string* out, std::vector<Request>* requests) {
  if (ended()) {
    return;
  }
  input_.Add(bytes);
  while (Step(out, requests)) {
  }
}

void ServerSession::Reply(std::uint64_t cookie, const std::vector<Piece>& pieces, std::string* out) const {
  EncodeData(options_.reply_form(), cookie, pieces, out);
}

void ServerSession::Reply(std::uint64_t cookie, Error error, const std::string& message,
                          std::string* out) const {
  EncodeStatus(options_.reply_form(), cookie, error, message, out);
}

void ServerSession::Reply(std::uint64_t cookie, const std::vector<Piece>& pieces,
                          const std::vector<std::uint64_t>& corrupt_offsets, std::string* out) const {
  EncodePartialData(options_.reply_form(), cookie, pieces, corrupt_offsets, out);
}

bool ServerSession::End(std::string error) {
  state_ = State::kEnded;
  error_ = std::move(error);
  return false;
}

bool ServerSession::Step(std::string* out, std::vector<Request>* requests) {
  switch (state_) {
    case State::kFlags:
      return StepFlags();
    case State::kOption:
      return StepOption();
    case State::kOptionData:
      return StepOptionData(out);
    case State::kHeader:
      return StepHeader(requests);
    case State::kData:
      return StepData(requests);
    case State::kSkip:
      return StepSkip(requests);
    case State::kEnded:
      return false;
  }
  return false;
}

bool ServerSession::StepFlags() {
  if (input_.size() < kClientFlagsSize) {
    return false;
  }
  const auto flags = Get<std::uint32_t>(input_.Take(kClientFlagsSize));
  if (flags & ~std::uint32_t{kFixedNewstyle | kNoZeroes}) {
    return End("the client sent unknown handshake flags: " + std::to_string(flags));
  }
  if (!(flags & kFixedNewstyle)) {
    return End("the client does not support the fixed newstyle handshake");
  }
  if (flags & kNoZeroes) {
    options_.OmitZeroes();
  }
  state_ = State::kOption;
  return true;
}

bool ServerSession::StepOption() {
  if (input_.size() < kOptionHeaderSize) {
    return false;
  }
  const std::string header = input_.Take(kOptionHeaderSize);
  FieldReader fields(header);
  if (fields.Next<std::uint64_t>() != kOptionMagic) {
    return End("an option has an invalid magic number");
  }
  option_ = fields.Next<std::uint32_t>();
  remaining_ = fields.Next<std::uint32_t>();
  if (remaining_ > kMaxOptionSize) {
    return End("an option has " + std::to_string(remaining_) + " bytes of data, allowed are at most " +
               std::to_string(kMaxOptionSize));
  }
  state_ = State::kOptionData;
  return true;
}

bool ServerSession::StepOptionData(std::string* out) {
  if (input_.size() < remaining_) {
    return false;
  }
  const std::string data = input_.Take(remaining_);
  switch (options_.Handle(option_, data, out)) {
    case OptionHandler::Next::kOption:
      state_ = State::kOption;
      return true;
    case OptionHandler::Next::kTransmission:
      state_ = State::kHeader;
      return true;
    case OptionHandler::Next::kAborted:
      return End("");
    case OptionHandler::Next::kUnknownExport:
      return End("the client requested an unknown export");
  }
  return false;
}

bool ServerSession::StepHeader(std::vector<Request>* requests) {
  if (input_.size() < kRequestHeaderSize) {
    return false;
  }
  const std::string header = input_.Take(kRequestHeaderSize);
  FieldReader fields(header);
  if (fields.Next<std::uint32_t>() != kRequestMagic) {
    return End("a request has an invalid magic number");
  }
  request_ = {};
  request_.flags = fields.Next<std::uint16_t>();
  request_.type = fields.Next<std::uint16_t>();
  request_.cookie = fields.Next<std::uint64_t>();
  request_.offset = fields.Next<std::uint64_t>();
  request_.length = fields.Next<std::uint32_t>();
  if (request_.type == kDisconnect) {
    return End("");
  }
  if (request_.type != kWrite) {
    requests->push_back(std::move(request_));
    return true;
  }
  request_.oversized = request_.length > chosen()->max_command_bytes;
  remaining_ = request_.length;
  state_ = request_.oversized ? State::kSkip : State::kData;
  return true;
}

bool ServerSession::StepData(std::vector<Request>* requests) {
  if (input_.size() < remaining_) {
    return false;
  }
  request_.data = input_.Take(remaining_);
  requests->push_back(std::move(request_));
  state_ = State::kHeader;
  return true;
}

// Discards the data of an oversized write as it is received, so that the write occupies no memory.
bool ServerSession::StepSkip(std::vector<Request>* requests) {
  remaining_ -= static_cast<std::uint32_t>(input_.Skip(remaining_));
  if (remaining_ > 0) {
    return false;
  }
  requests->push_back(std::move(request_));
  state_ = State::kHeader;
  return true;
}

}  // namespace walnutspur::nbd
