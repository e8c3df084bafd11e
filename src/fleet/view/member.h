// What is known of one member of the fleet, and what members say to each other about it.
//
// Members are initiators. All values are plain; times are microseconds of Unix time (core::Now).
#ifndef WALNUTSPUR_FLEET_VIEW_MEMBER_H_
#define WALNUTSPUR_FLEET_VIEW_MEMBER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "walnutspur/scheduler.h"

namespace walnutspur::fleet {

// In the order in which they win among news of one incarnation.
enum class State : std::uint8_t { kAlive, kSuspect, kGone, kLeft };
// What a member tells of itself.
enum class Phase : std::uint8_t { kJoining, kServing, kDraining };

struct Facts {
  std::uint64_t version = 0;  // of one incarnation; newer ones win
  Phase phase = Phase::kJoining;
  Time started_at = 0;
  double load = 0;  // requests a second that its clients ask
  std::string building;
  std::map<std::string, std::uint32_t> connections;  // by box, the most used ones (kMostBoxes)
  bool operator==(const Facts&) const = default;
};

// Bounds of what one member may make others keep.
constexpr std::size_t kMostName = 64, kMostBoxes = 16;  // bytes; entries

struct Record {
  std::string name, address;      // address: host:port, numeric, where it is reached
  std::uint64_t incarnation = 0;  // begins as `born`; raised by the member alone, to refute what is not so
  Time born = 0;                  // start of the process; a restart under the name has a later one
  State state = State::kAlive;
  std::string by;  // by whose word
  Facts facts;
};

enum class Kind : std::uint8_t {
  kPing,
  kPingRequest,  // ping `target` for me
  kAck,
  kNack,         // the helper lives, `target` has not answered it
  kGossip,       // rumours only
  kDigest,       // hash of the whole view by bucket; answered where it differs
  kDigestReply,  // the same; the records that differ are the answer
  kConflict,     // somebody older has this name
};

constexpr std::size_t kBuckets = 32;

struct Message {
  Kind kind = Kind::kGossip;
  std::string from, from_address;
  std::uint64_t incarnation = 0;
  Time born = 0;
  std::uint64_t number = 0;  // of the datagram, counted by its sender: what is replayed is told by it
  std::uint64_t probe = 0;   // that is asked or answered
  std::string target, target_address;
  std::uint64_t hash = 0;              // of the sender's view
  std::vector<std::uint64_t> buckets;  // of a digest
  std::vector<Record> rumours;
};

// What a reader of the view sees: `state` of the detector and `phase` of the member as one.
const char* NameOf(const Record& record);

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_VIEW_MEMBER_H_
