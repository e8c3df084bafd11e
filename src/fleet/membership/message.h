// The messages that members exchange, one a datagram. Plain values without an owner or a thread.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_MESSAGE_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "fleet/membership/member.h"

namespace walnutspur::fleet {

// The numeric values are part of the protocol.
enum class MessageKind : std::uint8_t {
  kPing,
  kPingRequest,  // ping `target` on behalf of the sender
  kAck,
  kNack,         // the relay is alive, `target` has not answered it in time
  kGossip,       // updates only
  kDigest,       // hashes of the sender's table by bucket; answered where they differ
  kDigestReply,  // the replier's hashes, and its records of the buckets that differ
  kConflict,     // the sender is an older process with the receiver's name
};

// Buckets of a digest; a member's bucket is determined by the hash of its name.
constexpr std::size_t kDigestBuckets = 32;

// Bytes of updates in a datagram, as estimated by EstimateSize.
constexpr std::size_t kMaxUpdateBytes = 1'000;

struct Message {
  MessageKind kind = MessageKind::kGossip;
  std::string from;
  std::string from_address;
  std::uint64_t incarnation = 0;      // of the sender
  Time started_at = 0;                // of the sender's process
  std::uint64_t sequence_number = 0;  // datagrams of the sender so far; replayed datagrams are detected by it
  std::uint64_t probe = 0;            // id of the probe that is requested or answered
  std::string target;                 // member that is probed
  std::string target_address;
  std::uint64_t hash = 0;              // of the sender's table
  std::vector<std::uint64_t> buckets;  // of a digest
  std::vector<Record> updates;
};

// Upper estimate of a record's encoded size in bytes.
std::size_t EstimateSize(const Record& record);

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_MESSAGE_H_
