// Defines sizes and timeouts that the fakes of a scenario share.
#ifndef WALNUTSPUR_TESTS_NET_SCENARIO_LIMITS_H_
#define WALNUTSPUR_TESTS_NET_SCENARIO_LIMITS_H_

#include <cstdint>

#include "walnutspur/scheduler.h"

namespace walnutspur::test {

// Maximum time that a fake waits for an expected event, in milliseconds.
constexpr int kScenarioTimeoutMs = 4'000;

// Converts milliseconds to a Time, which is in microseconds.
constexpr Time FromMilliseconds(int ms) { return Time{ms} * 1000; }

// The length of an NBD read or write.
constexpr std::uint32_t kNbdRequestBytes = 4096;

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_NET_SCENARIO_LIMITS_H_
