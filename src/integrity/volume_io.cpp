#include "integrity/volume_io.h"

namespace walnutspur::integrity {

std::string IoRequest::AllBytes() const {
  std::string bytes = data;
  for (const Slice& slice : tail) {
    bytes += slice.bytes;
  }
  return bytes;
}

}  // namespace walnutspur::integrity
