// Time as this folder's decisions see it. Its callers read the clock; nothing here does.
#ifndef WALNUTSPUR_INTEGRITY_TIME_H_
#define WALNUTSPUR_INTEGRITY_TIME_H_

#include <cstdint>

namespace walnutspur::integrity {

// Microseconds of a clock that never runs backwards.
using Time = std::int64_t;

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_TIME_H_
