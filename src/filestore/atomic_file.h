// Replaces files atomically: writes the new file beside the old one, syncs it, renames it and syncs the
// folder. Stateless; all calls may block on the disk and must not be made on the thread of an event loop.
//
// Without this, a crash or a full disk during a write would leave a truncated file in place of the old one.
// The old file is replaced by a rename only after the new one is on the disk, so that a complete file always
// exists.
#ifndef WALNUTSPUR_FILESTORE_ATOMIC_FILE_H_
#define WALNUTSPUR_FILESTORE_ATOMIC_FILE_H_

#include <optional>
#include <string>
#include <string_view>

namespace walnutspur::filestore {

// Replaces the file `name` of a folder. Returns false and sets `*error` to a one-line message if the new file
// could not be made durable; the old file is kept, unless only the sync of the folder failed.
bool WriteFileAtomically(const std::string& folder, const std::string& name, std::string_view bytes,
                         std::string* error);
// Returns the content of a file, or nullopt if the file does not exist or cannot be read.
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace walnutspur::filestore

#endif  // WALNUTSPUR_FILESTORE_ATOMIC_FILE_H_
