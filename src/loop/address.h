// Numeric socket addresses. There is no DNS: a name is rejected. Owns nothing; any thread.
#ifndef WALNUTSPUR_LOOP_ADDRESS_H_
#define WALNUTSPUR_LOOP_ADDRESS_H_

#include <netinet/in.h>

#include <cstdint>
#include <stdexcept>
#include <string>

namespace walnutspur::loop {

// A text that is not an address, or a host that is not numeric.
class AddressError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// An IPv4 host in dotted decimals, and a port.
struct Address {
  std::string host;
  std::uint16_t port = 0;
  bool operator==(const Address&) const = default;
};

// Reads "host:port"; throws AddressError. The host is not checked here.
Address ParseAddress(const std::string& text);

// The form that the kernel takes; throws AddressError where the host is not numeric.
sockaddr_in ToSocket(const Address& address);

// "host:port".
std::string ToString(const Address& address);

}  // namespace walnutspur::loop

#endif  // WALNUTSPUR_LOOP_ADDRESS_H_
