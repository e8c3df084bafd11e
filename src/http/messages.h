// What the platform's HTTP says, read and checked; no sockets.
#ifndef WALNUTSPUR_HTTP_MESSAGES_H_
#define WALNUTSPUR_HTTP_MESSAGES_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/engine.h"
#include "http/config.h"
#include "http/message_reader.h"

namespace walnutspur::http {

// A request as it came: passes on to a target byte for byte.
struct Request : core::Payload {
  bool is_put = false;
  std::string uri, id, body;
  std::string headers;                                // a key and digest fields that pass on, as lines
  std::optional<integrity::Algorithm> wanted_digest;  // the digest that the client wants of the answer
};
struct Response : core::Payload {
  std::string body;
  std::string headers;  // digest fields that pass on, as lines with their ends
};

// The digest fields of a message against its content. `describes` says whether Repr-Digest speaks of this
// very content: of a write's, and of the answer to a read, but not of a part or of the answer to a write (RFC
// 9530, 3).
struct DigestCheck {
  integrity::Match match = integrity::Match::kNone;
  std::string headers;  // the fields that were there, as lines
};
DigestCheck CheckDigests(const MessageReader& reader, std::string_view content, bool describes);

using Header = std::function<const char*(const char*)>;  // the value of a header, or null

// Reads what the decisions need. Returns what is wrong, if anything is.
std::optional<std::string> ReadRequest(const Config& config, const Request& request, const Header& header,
                                       core::RequestReceived* arrived, Time* patience);

// The outcome that a target's whole answer stands for.
Outcome OutcomeOf(int code, const Header& header);
// What else an answer tells.
void ReadLoadHeaders(const std::vector<std::string>& fields, const Header& header,
                     core::AttemptResult* ended);

struct EndpointList {
  long revision = 0;
  bool complete = false;
  std::vector<walnutspur::Endpoint> endpoints;
  std::vector<std::string> addresses;  // of the entries; empty: none told
};
// Throws std::exception on what is malformed.
EndpointList ReadEndpointList(const Config& config, const nlohmann::json& json);

std::string Seconds(Time time);  // as decimals

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_MESSAGES_H_
