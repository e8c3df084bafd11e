#include "http/request_admission.h"

#include <memory>
#include <optional>
#include <utility>

#include "http/messages.h"
#include "http/request_headers.h"
#include "log/event_kinds.h"
#include "log/log.h"

namespace walnutspur::http {
namespace {

constexpr const char* kSingleHeaders[] = {"X-Request-Id", "X-Class", "X-Plan",
                                          "X-Deadline",   "X-IO",    "Idempotency-Key"};

// Returns the first header that is repeated although it must be unique, or nullopt.
std::optional<std::string> FindRepeatedHeader(const MessageReader& message) {
  for (const char* name : kSingleHeaders) {
    if (message.Count(name) > 1) {
      return name;
    }
  }
  return std::nullopt;
}

std::shared_ptr<Request> TakePayload(MessageReader& message) {
  auto payload = std::make_shared<Request>();
  payload->is_put = message.method() == "PUT";
  payload->uri = message.uri();
  if (const char* id = message.Find("X-Request-Id")) {
    payload->id = id;
  }
  // Targets deduplicate retries of a request by this key.
  if (const char* key = message.Find("Idempotency-Key")) {
    payload->headers = HeaderLine("Idempotency-Key", key);
  }
  payload->body = std::move(message.body());
  return payload;
}

// Forwards the client's request for a digest of the response. If a read has none, requests the configured
// digest, so that the response is protected on its way from the target.
void ForwardWantedDigests(const Config& config, const MessageReader& message, Request* payload) {
  bool client_wants_digest = false;
  for (const char* name : {"Want-Content-Digest", "Want-Repr-Digest"}) {
    const std::string field = message.Joined(name);
    if (field.empty()) {
      continue;
    }
    client_wants_digest = true;
    payload->headers += HeaderLine(name, field);
    if (!payload->wanted_digest) {
      payload->wanted_digest = integrity::PreferredAlgorithm(field);
    }
  }
  if (!client_wants_digest && !payload->is_put && config.digests.compute) {
    payload->headers +=
        HeaderLine("Want-Content-Digest", std::string(integrity::NameOf(*config.digests.compute)) + "=1");
  }
}

// Verifies the digests of a request, so that a corrupted write does not reach a target. Adds a digest to a
// write without one, so that it is protected from here on. Returns whether the content is intact.
bool ForwardDigests(const Config& config, const MessageReader& message, Request* payload) {
  const DigestCheck check = CheckDigests(message, payload->body, payload->is_put);
  if (check.match == integrity::Match::kDifferent) {
    log::Event(log::Level::kWarn, log::kRequestCorrupted, {{"request", payload->id}});
    return false;
  }
  payload->headers += check.headers;
  if (payload->is_put && check.headers.empty() && config.digests.compute) {
    payload->headers +=
        HeaderLine("Content-Digest", integrity::DigestField(*config.digests.compute, payload->body));
  }
  ForwardWantedDigests(config, message, payload);
  return true;
}

}  // namespace

Admission AdmitRequest(const Config& config, MessageReader& message, core::MemoryReservation memory) {
  if (message.method() != "GET" && message.method() != "PUT") {
    return Rejection{kStatusMethodNotAllowed, "a read is a GET, a write is a PUT"};
  }
  if (const auto repeated = FindRepeatedHeader(message)) {
    return Rejection{kStatusBadRequest, *repeated + " stands there more than once"};
  }
  std::shared_ptr<Request> payload = TakePayload(message);
  payload->memory = std::move(memory);
  if (config.digests.on && !ForwardDigests(config, message, payload.get())) {
    return Rejection{kStatusBadRequest, "the digest is not that of the content"};
  }
  const HeaderLookup header = [&message](const char* name) { return message.Find(name); };
  AdmittedRequest admitted;
  if (const auto error =
          ReadRequest(config, *payload, header, &admitted.request.attributes, &admitted.client_timeout)) {
    return Rejection{kStatusBadRequest, *error};
  }
  admitted.request.protocol = core::Protocol::kHttp;
  admitted.request.client_request_id = payload->id;
  admitted.request.payload = std::move(payload);
  return admitted;
}

}  // namespace walnutspur::http
