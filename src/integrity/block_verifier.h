// Verifies the content that was read for a command against the tags of its blocks. Called by CommandExecutor,
// on the thread of the volume's owner. Reads the state of the volume and changes only the command.
//
// Failure: a checkpoint writes a block in place while a command reads it, so that old content is compared
// with a new tag, or the reverse, and an intact block looks corrupt. Each checkpoint increments
// VolumeContext::in_place_revision before and after it changes content: a mismatch counts only if the content
// was requested at the current revision, otherwise it is read again.
#ifndef WALNUTSPUR_INTEGRITY_BLOCK_VERIFIER_H_
#define WALNUTSPUR_INTEGRITY_BLOCK_VERIFIER_H_

#include <vector>

#include "integrity/pending_command.h"
#include "integrity/volume_context.h"
#include "integrity/volume_io.h"

namespace walnutspur::integrity {

// Returns a block of zeros: the content of a hole, and the replacement of content that must not reach a
// client.
const Slice& ZeroBlock();

struct VerifiedBlocks {
  // The content must be read again, since it was not requested or a checkpoint may have changed it since.
  bool must_reload = false;
  std::vector<CorruptBlock> corrupt;  // by block number, ascending
};

// Verifies the blocks whose content the command needs, and fills in the content of blocks that are newer in
// the journal and of holes. The tag blocks of all its blocks must be cached or known to be unreadable.
VerifiedBlocks VerifyBlocks(const VolumeContext& context, PendingCommand* pending);

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_BLOCK_VERIFIER_H_
