#include "nbd/messages.h"

#include "nbd/byte_buffer.h"

namespace walnutspur::nbd {

std::string Greeting() {
  std::string out;
  Put(kNbdMagic, &out);
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

void PutOptionReply(std::uint32_t option, std::uint32_t type, std::string_view data, std::string* out) {
  Put(kOptionReplyMagic, out);
  Put(option, out);
  Put(type, out);
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
  Put(kStructuredReplyMagic, out);
  Put<std::uint16_t>(done ? kChunkDone : 0, out);
  Put(type, out);
  Put(cookie, out);
  Put(static_cast<std::uint32_t>(data.size()), out);
  out->append(data);
}

void PutSimple(Error error, std::uint64_t cookie, std::string* out) {
  Put(kSimpleReplyMagic, out);
  Put<std::uint32_t>(error, out);
  Put(cookie, out);
}

}  // namespace walnutspur::nbd
