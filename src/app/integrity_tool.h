// Implements the commands of `walnutspur integrity`, with which operators manage checksummed exports and read
// the corruption log.
//
// Each command prints to `out` and returns the exit code of the program: 0 on success, 1 if corruption was
// found. It blocks, and throws std::runtime_error with a one-line message if it cannot be completed.
#ifndef WALNUTSPUR_APP_INTEGRITY_TOOL_H_
#define WALNUTSPUR_APP_INTEGRITY_TOOL_H_

#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

namespace walnutspur::app {

// The arguments of the commands; each command uses some of them.
struct IntegrityOptions {
  std::string address;                    // address of the target's NBD listener: host:port
  std::string export_name;                // name of the export at the target
  std::uint64_t journal_bytes = 4 << 20;  // size of a new journal
  bool force = false;                     // format the export even if it is already formatted
  std::string folder;                     // holds the corruption log and the control socket
  std::vector<std::string> words;         // the command for a running process
};

// Formats an export: lays out checksums and journal. The data of the export is lost.
int Format(const IntegrityOptions& options, std::FILE* out);

// Prints the superblock of an export.
int ShowSuperblock(const IntegrityOptions& options, std::FILE* out);

// Reads every block of an export and compares it with its checksum. Only for an export that no initiator has
// attached: nothing is recovered, so blocks whose newest content is in the journal are skipped.
int Verify(const IntegrityOptions& options, std::FILE* out);

// Sends a command to the running process that uses the folder, and prints the response.
int SendCommand(const IntegrityOptions& options, std::FILE* out);

// Prints the corruption log of a folder.
int ShowCorruptionLog(const IntegrityOptions& options, std::FILE* out);

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_INTEGRITY_TOOL_H_
