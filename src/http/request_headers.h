// Parses the attributes that the scheduler needs from the path and headers of a client's request. Uses no
// sockets and no state; any thread.
#ifndef WALNUTSPUR_HTTP_REQUEST_HEADERS_H_
#define WALNUTSPUR_HTTP_REQUEST_HEADERS_H_

#include <optional>
#include <string>

#include "http/config.h"
#include "http/messages.h"

namespace walnutspur::http {

// A one-line error message for the client; nullopt if the request is valid.
using RequestError = std::optional<std::string>;

// Sets `attributes` and `client_timeout` (us that the client waits) if the request is valid.
RequestError ReadRequest(const Config& config, const Request& request, const HeaderLookup& header,
                         walnutspur::RequestArrived* attributes, Time* client_timeout);

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_REQUEST_HEADERS_H_
