// The exception thrown by the functions in this folder.
#ifndef WALNUTSPUR_PCAP_ERROR_H_
#define WALNUTSPUR_PCAP_ERROR_H_

#include <stdexcept>

namespace walnutspur::pcap {

// A capture file cannot be read or written. The message is a single line.
class CaptureError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace walnutspur::pcap

#endif  // WALNUTSPUR_PCAP_ERROR_H_
