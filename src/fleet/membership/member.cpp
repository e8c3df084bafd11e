#include "fleet/membership/member.h"

namespace walnutspur::fleet {

bool IsDead(MemberState state) { return state == MemberState::kFailed || state == MemberState::kLeft; }

const char* StateName(const Record& record) {
  switch (record.state) {
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kFailed:
      return "gone";
    case MemberState::kLeft:
      return "left";
    case MemberState::kAlive:
      break;
  }
  switch (record.facts.phase) {
    case Phase::kJoining:
      return "joining";
    case Phase::kDraining:
      return "draining";
    case Phase::kServing:
      break;
  }
  return "alive";
}

}  // namespace walnutspur::fleet
