// Formats a chunked HTTP response (RFC 9112, section 7.1), with which discovery responds to a watch.
//
// Owns nothing; any thread.
#ifndef WALNUTSPUR_LAB_FAKES_CHUNKED_RESPONSE_H_
#define WALNUTSPUR_LAB_FAKES_CHUNKED_RESPONSE_H_

#include <string>
#include <string_view>

namespace walnutspur::lab {

// The status line and headers. Chunks follow; the response to a watch has no last chunk.
inline constexpr std::string_view kChunkedResponseHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Returns one chunk with `data`, which must not be empty.
std::string FormatChunk(std::string_view data);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FAKES_CHUNKED_RESPONSE_H_
