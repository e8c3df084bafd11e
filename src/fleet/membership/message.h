// Declares the messages that members exchange, one per datagram. Plain values without an owner or a thread.
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
  kPingRequest,  // requests the receiver to ping `target` on behalf of the sender
  kAck,
  kNack,         // the relay is alive, but `target` has not acknowledged its ping in time
  kGossip,       // updates only
  kDigest,       // hashes of the sender's table by bucket; the receiver replies with a kDigestReply
  kDigestReply,  // hashes of the sender's table by bucket, and its records of the buckets that differ
  kConflict,     // the sender is an older process with the receiver's name
};

// Buckets of a digest. The hash of a member's name determines its bucket.
constexpr std::size_t kDigestBuckets = 32;

// Maximum bytes of updates in a datagram, as estimated by EstimateSize.
constexpr std::size_t kMaxUpdateBytes = 1'000;

struct Message {
  MessageKind kind = MessageKind::kGossip;
  std::string from;
  std::string from_address;
  std::uint64_t incarnation = 0;      // of the sender
  Time started_at = 0;                // of the sender's process
  std::uint64_t sequence_number = 0;  // counts the sender's datagrams; detects replayed ones
  std::uint64_t probe = 0;            // id of the probe that a ping, ping request, ack or nack belongs to
  std::string target;                 // name of the probed member
  std::string target_address;
  std::uint64_t hash = 0;              // of the sender's table
  std::vector<std::uint64_t> buckets;  // of a digest
  std::vector<Record> updates;
};

// Returns an upper bound of a record's encoded size in bytes.
std::size_t EstimateSize(const Record& record);

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_MESSAGE_H_
