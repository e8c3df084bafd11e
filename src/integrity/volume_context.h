// Struct VolumeContext holds the state that the components of one volume share: its superblock, the journal
// and its overlay, cached tags, and the queue of storage requests.
//
// Owned by Volume, which outlives the components that point to it; used on the thread of the volume's owner.
#ifndef WALNUTSPUR_INTEGRITY_VOLUME_CONTEXT_H_
#define WALNUTSPUR_INTEGRITY_VOLUME_CONTEXT_H_

#include <cstddef>
#include <cstdint>
#include <set>

#include "integrity/format.h"
#include "integrity/io_queue.h"
#include "integrity/journal.h"
#include "integrity/journal_record.h"
#include "integrity/layout.h"
#include "integrity/tag_cache.h"
#include "integrity/tag_loader.h"

namespace walnutspur::integrity {

struct VolumeOptions {
  std::uint64_t size = 0;                           // bytes of the export at the target
  std::uint32_t max_io_bytes = kDefaultMaxIoBytes;  // of one storage request
  std::size_t max_cached_tag_blocks = 256;          // kBlockBytes each
  double checkpoint_fraction = 0.5;  // used fraction of the journal at which a checkpoint starts
  // Whether each journal record is written with FUA. Required if a flush at the target covers only writes on
  // the same connection.
  bool fua_journal = false;
};

struct VolumeContext {
  explicit VolumeContext(const VolumeOptions& volume_options)
      : options(volume_options),
        tags(volume_options.max_cached_tag_blocks),
        tag_loader(&superblock, &io_queue),
        journal(&superblock, &io_queue, volume_options.fua_journal) {}
  VolumeContext(const VolumeContext&) = delete;
  VolumeContext& operator=(const VolumeContext&) = delete;

  // Writes a superblock, with the next sequence number, over the older of the two copies.
  void WriteSuperblock(Superblock next);

  const VolumeOptions options;
  Superblock superblock;
  IoQueue io_queue;
  TagCache tags;
  TagLoader tag_loader;
  Journal journal;
  JournalOverlay overlay;
  // Blocks whose newest content was in a corrupt journal record, until a checkpoint has marked their tags as
  // unknown or written new content.
  std::set<std::uint64_t> unrecoverable_blocks;
  // Incremented before and after a checkpoint changes content in place: content that was read at an earlier
  // revision may not match the current tags (block_verifier.h).
  std::uint64_t in_place_revision = 0;
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_VOLUME_CONTEXT_H_
