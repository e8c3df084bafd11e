// Verification of what was read for a command against the tags of its blocks. Reads the state of the volume
// and changes only the command; used on the thread of the volume's owner.
#ifndef WALNUTSPUR_INTEGRITY_BLOCK_VERIFIER_H_
#define WALNUTSPUR_INTEGRITY_BLOCK_VERIFIER_H_

#include <vector>

#include "integrity/pending_command.h"
#include "integrity/volume_context.h"
#include "integrity/volume_io.h"

namespace walnutspur::integrity {

// A block of zeros: the content of a hole, and of what must not be passed on.
const Slice& ZeroBlock();

struct VerifiedBlocks {
  // Something must be read again: it was not requested, or a checkpoint has changed it since.
  bool must_reload = false;
  std::vector<CorruptBlock> corrupt;  // in order of their numbers
};

// Verifies the blocks whose content the command needs, and replaces the content of those that are newer in
// the journal, or holes. The tag blocks of all its blocks must be cached or known to be unreadable.
VerifiedBlocks VerifyBlocks(const VolumeContext& context, PendingCommand* pending);

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_BLOCK_VERIFIER_H_
