// Class IoQueue holds the storage requests of one volume that its owner has not collected yet, and tracks
// those in flight.
//
// Owned by VolumeContext; used on the thread of the volume's owner.
#ifndef WALNUTSPUR_INTEGRITY_IO_QUEUE_H_
#define WALNUTSPUR_INTEGRITY_IO_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "integrity/volume_io.h"

namespace walnutspur::integrity {

// Describes a request in flight, without its data, which the volume's owner holds.
struct PendingIo {
  IoKind kind = IoKind::kRead;
  IoPurpose purpose = IoPurpose::kData;
  CommandId command = kVolumeCommand;
  std::uint64_t offset = 0;  // bytes
  std::uint32_t length = 0;  // bytes
  // Of a journal write: the sequence number of its record. Of a flush: the last record that was acknowledged
  // when the flush was issued; it makes all records up to this one durable.
  std::uint64_t record_sequence = 0;
};

class IoQueue {
 public:
  // Assigns the request's id and queues the request for the next TakeRequests.
  void Issue(IoRequest request, std::uint64_t record_sequence = 0);
  void IssueRead(IoPurpose purpose, CommandId command, std::uint64_t offset, std::uint32_t length);
  void IssueFlush(CommandId command, std::uint64_t acknowledged_sequence);

  // Removes and returns a request that has ended; returns nullopt if the id is unknown.
  std::optional<PendingIo> Complete(IoId id);
  // Discards all requests in flight, so that their completions are ignored.
  void DiscardPending() { pending_.clear(); }

  std::vector<IoRequest> TakeRequests();
  std::size_t in_flight() const { return pending_.size(); }

 private:
  IoId next_id_ = 1;
  std::vector<IoRequest> requests_;  // not collected yet
  std::unordered_map<IoId, PendingIo> pending_;
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_IO_QUEUE_H_
