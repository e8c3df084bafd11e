// Files that are there whole or not at all: a new one is written beside the old, synced and renamed, and the
// folder is synced. May block for as long as the disk likes: not for the loop's thread.
#ifndef WALNUTSPUR_FILESTORE_ATOMIC_FILE_H_
#define WALNUTSPUR_FILESTORE_ATOMIC_FILE_H_

#include <optional>
#include <string>
#include <string_view>

namespace walnutspur::filestore {

// False, with one line, if it could not be made to last; the old file then still stands.
bool WriteFileAtomically(const std::string& folder, const std::string& name, std::string_view bytes,
                         std::string* what);
// Nothing if there is no such file or it cannot be read.
std::optional<std::string> ReadWholeFile(const std::string& path);

}  // namespace walnutspur::filestore

#endif  // WALNUTSPUR_FILESTORE_ATOMIC_FILE_H_
