// Defines the payloads of requests and responses, and interprets the headers of a target's response. Uses no
// sockets and no state; any thread.
#ifndef WALNUTSPUR_HTTP_MESSAGES_H_
#define WALNUTSPUR_HTTP_MESSAGES_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/engine.h"
#include "core/memory_account.h"
#include "http/body_stream.h"
#include "http/config.h"
#include "http/message_reader.h"

namespace walnutspur::http {

// A client's request, which is forwarded to a target byte for byte.
struct Request : core::Payload {
  bool is_put = false;
  std::string uri;
  std::string id;
  std::string body;
  std::string headers;  // lines to forward, each with CR LF: idempotency key, digest fields
  std::optional<integrity::Algorithm> wanted_digest;  // the digest that the client requests
  core::MemoryReservation memory;
};

// The response of a target that has completed a request.
struct Response : core::Payload {
  std::string body;                        // complete, without `stream`
  std::shared_ptr<BodyStream> stream;      // the body, passed on while it arrives; null: none
  std::string headers;                     // lines to forward, each with CR LF: digest fields
  mutable core::MemoryReservation memory;  // of the body; moved to the client's connection
};

// The digest fields of a message, and whether its content matches them.
struct DigestCheck {
  integrity::Match match = integrity::Match::kNone;
  std::string headers;  // the message's digest fields, as header lines
};
// Verifies the digest fields of a message. `is_representation`: Repr-Digest covers exactly this content. That
// is the case for a write and for the response to a read, but not for a partial response or for the response
// to a write (RFC 9530, 3).
DigestCheck CheckDigests(const MessageReader& reader, std::string_view content, bool is_representation);

// Returns the value of the header with the given name, or null if it is absent.
using HeaderLookup = std::function<const char*(const char*)>;

// Returns the outcome that a target's complete response indicates.
Outcome OutcomeOf(int code, const HeaderLookup& header);

// Reads the target's load and the volume's usage from the headers of a response into `result`. `fields` names
// the values of the load report in order. Malformed headers are ignored.
void ReadLoadHeaders(const std::vector<std::string>& fields, const HeaderLookup& header,
                     core::AttemptResult* result);

// Formats a duration in seconds with six decimals.
std::string Seconds(Time time);

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_MESSAGES_H_
