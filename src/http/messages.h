// The payloads of requests and responses, and what the headers of a target's response mean. No sockets and no
// state; any thread.
#ifndef WALNUTSPUR_HTTP_MESSAGES_H_
#define WALNUTSPUR_HTTP_MESSAGES_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/engine.h"
#include "http/config.h"
#include "http/message_reader.h"

namespace walnutspur::http {

// A client's request; it is forwarded to a target byte for byte.
struct Request : core::Payload {
  bool is_put = false;
  std::string uri;
  std::string id;
  std::string body;
  std::string headers;  // lines to forward, each with its CR LF: the idempotency key and digest fields
  std::optional<integrity::Algorithm> wanted_digest;  // the digest that the client wants of the response
};

// The response of a target that has completed a request.
struct Response : core::Payload {
  std::string body;
  std::string headers;  // lines to forward, each with its CR LF: digest fields
};

// The digest fields of a message, and whether its content fits them.
struct DigestCheck {
  integrity::Match match = integrity::Match::kNone;
  std::string headers;  // the fields that the message has, as lines
};
// `is_representation`: Repr-Digest covers this very content, which holds for a write and for the response to
// a read, but not for a part of one or for the response to a write (RFC 9530, 3).
DigestCheck CheckDigests(const MessageReader& reader, std::string_view content, bool is_representation);

// Finds the value of a header by its name; null where there is none.
using HeaderLookup = std::function<const char*(const char*)>;

// The outcome that a target's complete response stands for.
Outcome OutcomeOf(int code, const HeaderLookup& header);

// Reads what a response reports of the target's load and of the volume's use into `result`. `fields` names
// the load figures, in their order. Headers that are malformed are ignored.
void ReadLoadHeaders(const std::vector<std::string>& fields, const HeaderLookup& header,
                     core::AttemptResult* result);

// A duration in seconds, with six decimals.
std::string Seconds(Time time);

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_MESSAGES_H_
