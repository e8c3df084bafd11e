// One member of the fleet as the others know it: its state, incarnation and published facts.
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

// Result of failure detection. Among updates of one incarnation the later enumerator wins.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kFailed, kLeft };

// Phase of its process that a member publishes.
enum class Phase : std::uint8_t { kJoining, kServing, kDraining };

// Metadata that a member publishes to all others.
struct Facts {
  std::uint64_t version = 0;  // counts within one incarnation; the higher one wins
  Phase phase = Phase::kJoining;
  Time started_at = 0;
  double load = 0;  // requests a second that its clients send
  std::string building;
  std::map<std::string, std::uint32_t> connections;  // by target, the kMaxReportedConnections most used
  bool operator==(const Facts&) const = default;
};

// Bytes of a name, an address, or a target's name; bounds the memory that one member can use at the others.
constexpr std::size_t kMaxNameLength = 64;
// Entries of Facts::connections, for the same reason.
constexpr std::size_t kMaxReportedConnections = 16;

// The replicated state of one member.
struct Record {
  std::string name;
  std::string address;            // host:port, numeric, where other members reach it
  std::uint64_t incarnation = 0;  // begins as `started_at`; only the member itself increments it, to refute
  Time started_at = 0;            // start of the process; a restart under the same name has a later one
  MemberState state = MemberState::kAlive;
  std::string reported_by;  // name of the member that reported `state`
  Facts facts;
};

// Whether a member in this state no longer takes part: it failed or left.
bool IsDead(MemberState state);

// State and phase as the one word that operators read.
const char* StateName(const Record& record);

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_MEMBER_H_
