// Encodes the messages of the NBD protocol, except replies to commands (see reply_encoder.h). No state;
// usable from any thread.
#ifndef WALNUTSPUR_NBD_MESSAGES_H_
#define WALNUTSPUR_NBD_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "nbd/protocol.h"

namespace walnutspur::nbd {

// Returns the first message of a server.
std::string Greeting();

// Returns the first message of a client, which is followed by options.
std::string ClientFlags();

// Append one message to `out`.
void PutOption(std::uint32_t option, std::string_view data, std::string* out);
void PutOptionReply(std::uint32_t option, std::uint32_t type, std::string_view data, std::string* out);
void PutRequest(const Request& request, std::string* out);
void PutChunk(bool done, std::uint16_t type, std::uint64_t cookie, std::string_view data, std::string* out);
void PutSimple(Error error, std::uint64_t cookie, std::string* out);

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_MESSAGES_H_
