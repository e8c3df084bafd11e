// Formats the HTTP requests that a service of the platform sends to an initiator.
//
// Owns nothing; any thread. Three clients send them, which differ in kind: soak::LoadClient, many connections
// on an event loop; bench::HttpClient, which blocks until it has the response; and
// test::HttpScenarioClient, which follows the steps of a scenario.
#ifndef WALNUTSPUR_LAB_FAKES_PLATFORM_REQUEST_H_
#define WALNUTSPUR_LAB_FAKES_PLATFORM_REQUEST_H_

#include <cstdint>
#include <string>

#include "walnutspur/types.h"

namespace walnutspur::lab {

struct PlatformRequest {
  bool is_put = false;
  std::string path;  // of an object
  std::uint64_t id = 0;
  std::string request_class;
  std::string plan = "basic";
  Time deadline = 0;  // us
  std::uint64_t shard = 0;
  std::string body;
};

// Returns the bytes of the request.
std::string FormatPlatformRequest(const PlatformRequest& request);

// Formats the id of a request or an object as the platform does: 16 hexadecimal digits.
std::string FormatId(std::uint64_t number);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FAKES_PLATFORM_REQUEST_H_
