// Lists the storage requests that format an export for checksums by initializing its reserved region. Used by
// the operator's command-line tool and by tests; no I/O, safe on any thread.
#ifndef WALNUTSPUR_INTEGRITY_FORMAT_H_
#define WALNUTSPUR_INTEGRITY_FORMAT_H_

#include <cstdint>
#include <stdexcept>
#include <vector>

#include "integrity/volume_io.h"

namespace walnutspur::integrity {

// Maximum size of a storage request in bytes, unless configured otherwise.
constexpr std::uint32_t kDefaultMaxIoBytes = 1 << 20;

// Thrown if an export cannot be formatted; what() is a one-line message for the operator.
class FormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns the requests that format an export of `size` bytes with a journal of `journal` bytes, each at most
// `max_io_bytes` long, in order. Throws FormatError if the export is too small.
//
// Failure: formatting is interrupted and leaves an export that looks valid, with old tags or records. The old
// superblocks are erased first and the new one is written last; each flush must have completed before the
// next request is sent.
std::vector<IoRequest> FormatPlan(std::uint64_t size, std::uint64_t journal, std::uint64_t export_id,
                                  std::uint32_t max_io_bytes = kDefaultMaxIoBytes);

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_FORMAT_H_
