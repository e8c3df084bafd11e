// Identifies one attempt of one request, as a key of tables. Plain data.
#ifndef WALNUTSPUR_LOOP_ATTEMPT_KEY_H_
#define WALNUTSPUR_LOOP_ATTEMPT_KEY_H_

#include <compare>

#include "core/engine.h"

namespace walnutspur::loop {

// Ordered by request, then by attempt.
struct AttemptKey {
  core::RequestNumber request = 0;
  int attempt = 0;
  auto operator<=>(const AttemptKey&) const = default;
};

}  // namespace walnutspur::loop

#endif  // WALNUTSPUR_LOOP_ATTEMPT_KEY_H_
