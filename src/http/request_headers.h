// Reads what the scheduler needs to know of a client's request from its path and headers. No sockets and no
// state; any thread.
#ifndef WALNUTSPUR_HTTP_REQUEST_HEADERS_H_
#define WALNUTSPUR_HTTP_REQUEST_HEADERS_H_

#include <optional>
#include <string>

#include "http/config.h"
#include "http/messages.h"

namespace walnutspur::http {

// What is wrong with a request, as one line for the client; nothing: it is valid.
using RequestError = std::optional<std::string>;

// Fills in `attributes` and `client_timeout` (us that the client waits) of a valid request.
RequestError ReadRequest(const Config& config, const Request& request, const HeaderLookup& header,
                         walnutspur::RequestArrived* attributes, Time* client_timeout);

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_REQUEST_HEADERS_H_
