// Formatting of an export for checksums: what is written to it, in order. No I/O and no thread.
#ifndef WALNUTSPUR_INTEGRITY_FORMAT_H_
#define WALNUTSPUR_INTEGRITY_FORMAT_H_

#include <cstdint>
#include <stdexcept>
#include <vector>

#include "integrity/volume_io.h"

namespace walnutspur::integrity {

constexpr std::uint32_t kDefaultMaxIoBytes = 1 << 20;  // of one storage request

// An export that cannot be formatted; what() is one line for the operator.
class FormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The requests that format an export of `size` bytes with a journal of `journal` bytes, each at most
// `max_io_bytes` long. Each flush must have completed before the next request is sent: the superblock, which
// comes last, makes the export valid. Throws FormatError if the export is too small.
std::vector<IoRequest> FormatPlan(std::uint64_t size, std::uint64_t journal, std::uint64_t export_id,
                                  std::uint32_t max_io_bytes = kDefaultMaxIoBytes);

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_FORMAT_H_
