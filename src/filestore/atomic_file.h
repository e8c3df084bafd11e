// Files that are replaced atomically: the new one is written beside the old, synced and renamed, and the
// folder is synced. No state; all calls may block on the disk and must not be made on an event loop's thread.
//
// Failure: a crash or a full disk in the middle of a write leaves a truncated file in place of the old one.
// The old file is replaced by a rename only after the new one is on the disk, so that there always is a
// complete file.
#ifndef WALNUTSPUR_FILESTORE_ATOMIC_FILE_H_
#define WALNUTSPUR_FILESTORE_ATOMIC_FILE_H_

#include <optional>
#include <string>
#include <string_view>

namespace walnutspur::filestore {

// False, with one line in `error`, if the file could not be made durable; the old one is then still there.
bool WriteFileAtomically(const std::string& folder, const std::string& name, std::string_view bytes,
                         std::string* error);
// Nothing if there is no such file or it cannot be read.
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace walnutspur::filestore

#endif  // WALNUTSPUR_FILESTORE_ATOMIC_FILE_H_
