// Formats the HTTP responses of fake servers that follow the protocol.
//
// Owns nothing; any thread. test::HttpStorageServer formats its own responses, because most of them are
// malformed.
#ifndef WALNUTSPUR_LAB_FAKES_HTTP_RESPONSE_H_
#define WALNUTSPUR_LAB_FAKES_HTTP_RESPONSE_H_

#include <string>
#include <string_view>

namespace walnutspur::lab {

// Returns a response with a body of fixed length. Each line of `headers` must end with CRLF.
std::string FormatHttpResponse(int status, std::string_view body, std::string_view headers = {});

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FAKES_HTTP_RESPONSE_H_
