// Defines the time that callers pass to this folder's modules, none of which reads a clock.
#ifndef WALNUTSPUR_INTEGRITY_TIME_H_
#define WALNUTSPUR_INTEGRITY_TIME_H_

#include <cstdint>

namespace walnutspur::integrity {

// Microseconds of a monotonic clock.
using Time = std::int64_t;

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_TIME_H_
