// Validates a client's complete message and converts it into a request for the scheduler, or rejects it with
// a status and an error message. Checks the method, headers, path and digests. Uses no sockets and no state;
// any thread.
#ifndef WALNUTSPUR_HTTP_REQUEST_ADMISSION_H_
#define WALNUTSPUR_HTTP_REQUEST_ADMISSION_H_

#include <variant>

#include "core/engine.h"
#include "core/memory_account.h"
#include "http/config.h"
#include "http/message_reader.h"
#include "http/response_text.h"

namespace walnutspur::http {

struct AdmittedRequest {
  core::RequestReceived request;  // the front end sets its number and deadline
  Time client_timeout = 0;        // us that the client waits after sending the request
};

using Admission = std::variant<AdmittedRequest, Rejection>;

// Validates the message and moves its body, and the reservation of its memory, into the request.
Admission AdmitRequest(const Config& config, MessageReader& message, core::MemoryReservation memory = {});

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_REQUEST_ADMISSION_H_
