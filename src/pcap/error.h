// The error that the functions of this folder throw.
#ifndef WALNUTSPUR_PCAP_ERROR_H_
#define WALNUTSPUR_PCAP_ERROR_H_

#include <stdexcept>

namespace walnutspur::pcap {

// A capture file that cannot be read or written.
class CaptureError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace walnutspur::pcap

#endif  // WALNUTSPUR_PCAP_ERROR_H_
