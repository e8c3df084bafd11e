// Declares the replicated record of a member: its state, incarnation and published facts.
//
// Members are initiators. All types are plain values without an owner or a thread; times are microseconds of
// Unix time (core::Now).
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_MEMBER_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_MEMBER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "walnutspur/scheduler.h"

namespace walnutspur::fleet {

// State of a member by failure detection. Among updates of one incarnation, the later enumerator takes
// precedence.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kFailed, kLeft };

// Phase of its process, which a member publishes.
enum class Phase : std::uint8_t { kJoining, kServing, kDraining };

// Metadata that a member publishes to all others.
struct Facts {
  std::uint64_t version = 0;  // incremented within one incarnation; the highest one takes precedence
  Phase phase = Phase::kJoining;
  Time started_at = 0;
  double load = 0;  // requests per second from the member's clients
  std::string building;
  std::map<std::string, std::uint32_t>
      connections;  // number by target, of the kMaxReportedConnections most used targets
  bool operator==(const Facts&) const = default;
};

// Maximum bytes of a member's name, an address or a target's name. Limits the memory that one member can use
// in the processes of the others.
constexpr std::size_t kMaxNameLength = 64;
// Maximum entries of Facts::connections, for the same reason.
constexpr std::size_t kMaxReportedConnections = 16;

// The replicated state of one member.
struct Record {
  std::string name;
  std::string address;            // host:port, numeric, where other members reach it
  std::uint64_t incarnation = 0;  // initially `started_at`; only the member increments it, to refute
  Time started_at = 0;            // start of the process; later after a restart under the same name
  MemberState state = MemberState::kAlive;
  std::string reported_by;  // name of the member that reported `state`
  Facts facts;
};

// Returns whether a member in this state has failed or left.
bool IsDead(MemberState state);

// Returns the word for the member's state and phase that the `fleet view` command and the log use.
const char* StateName(const Record& record);

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_MEMBER_H_
