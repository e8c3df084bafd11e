// The HTTP responses of stand-ins that follow the protocol.
//
// Owns nothing; any thread. test::HttpStorageServer writes its own, because most of them are malformed.
#ifndef WALNUTSPUR_LAB_STANDINS_HTTP_RESPONSE_H_
#define WALNUTSPUR_LAB_STANDINS_HTTP_RESPONSE_H_

#include <string>
#include <string_view>

namespace walnutspur::lab {

// A response with a body of fixed length. Each of the additional headers ends with CRLF.
std::string FormatHttpResponse(int status, std::string_view body, std::string_view headers = {});

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_STANDINS_HTTP_RESPONSE_H_
