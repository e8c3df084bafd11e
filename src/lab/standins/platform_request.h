// The HTTP requests that a service of the platform sends to an initiator.
//
// Owns nothing; any thread. Three clients send them, which differ in kind: soak::LoadClient, many connections
// on an event loop; bench::HttpClient, which blocks until it has the response; and
// test::HttpScenarioClient, which sends and reads only as a scenario says.
#ifndef WALNUTSPUR_LAB_STANDINS_PLATFORM_REQUEST_H_
#define WALNUTSPUR_LAB_STANDINS_PLATFORM_REQUEST_H_

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

// The request's bytes.
std::string FormatPlatformRequest(const PlatformRequest& request);

// A number as the platform writes request ids and objects: 16 hexadecimal digits.
std::string FormatId(std::uint64_t number);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_STANDINS_PLATFORM_REQUEST_H_
