#include "integrity/volume_context.h"

#include <utility>

namespace walnutspur::integrity {

void VolumeContext::WriteSuperblock(Superblock next) {
  next.sequence = superblock.sequence + 1;
  IoRequest request;
  request.kind = IoKind::kWrite;
  request.purpose = IoPurpose::kSuperblock;
  request.offset = superblock.geometry.superblock_offset + next.sequence % kSuperblockCopies * kBlockBytes;
  request.length = kBlockBytes;
  request.data = Encode(next);
  request.fua = true;
  io_queue.Issue(std::move(request));
}

}  // namespace walnutspur::integrity
