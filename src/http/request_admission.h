// Decides on a client's complete message: it becomes a request for the scheduler, or is rejected with a
// status and a reason. Checks the method, headers, path and digests. No sockets and no state; any thread.
#ifndef WALNUTSPUR_HTTP_REQUEST_ADMISSION_H_
#define WALNUTSPUR_HTTP_REQUEST_ADMISSION_H_

#include <variant>

#include "core/engine.h"
#include "http/config.h"
#include "http/message_reader.h"
#include "http/response_text.h"

namespace walnutspur::http {

struct AdmittedRequest {
  core::RequestReceived request;  // its number and deadline are filled in by the front end
  Time client_timeout = 0;        // us that the client waits, counted from when it sent the request
};

using Admission = std::variant<AdmittedRequest, Rejection>;

// Moves the body out of the message.
Admission AdmitRequest(const Config& config, MessageReader& message);

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_REQUEST_ADMISSION_H_
