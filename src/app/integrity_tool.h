// `walnutspur integrity ...`: checksummed exports seen by operators, offline on a box's export or in the
// ledger.
#ifndef WALNUTSPUR_APP_INTEGRITY_TOOL_H_
#define WALNUTSPUR_APP_INTEGRITY_TOOL_H_

#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

namespace walnutspur::app {

struct IntegrityOptions {
  std::string address, remote;      // of the box's NBD listener, and the export there
  std::uint64_t journal = 4 << 20;  // format: bytes
  bool force = false;               // format: over an export that is formatted already
  std::string folder;               // ledger, and where a running process listens
  std::vector<std::string> words;   // for a running process
};

// Each prints to `out`; returns the exit code: 0 all is well, 1 not. Throws std::runtime_error with one line.
int Format(const IntegrityOptions& options, std::FILE* out);
int ShowSuperblock(const IntegrityOptions& options, std::FILE* out);
// Reads every block and holds it against its tag. Only on an export that no initiator has attached: it takes
// part as a reader that changes nothing, so what is still in the journal is read over.
int Verify(const IntegrityOptions& options, std::FILE* out);
// Of the process whose folder it is.
int AskProcess(const IntegrityOptions& options, std::FILE* out);
int ShowLedger(const IntegrityOptions& options, std::FILE* out);

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_INTEGRITY_TOOL_H_
