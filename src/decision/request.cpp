#include "decision/request.h"

namespace walnutspur::decision {

bool MayHaveRun(Outcome outcome) {
  return outcome != Outcome::kOverloaded && outcome != Outcome::kConnectFailed &&
         outcome != Outcome::kNotSent;
}

}  // namespace walnutspur::decision
