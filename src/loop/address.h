// Parses and formats numeric IPv4 socket addresses. There is no DNS lookup: host names are rejected. Callable
// from any thread.
#ifndef WALNUTSPUR_LOOP_ADDRESS_H_
#define WALNUTSPUR_LOOP_ADDRESS_H_

#include <netinet/in.h>

#include <cstdint>
#include <stdexcept>
#include <string>

namespace walnutspur::loop {

// Thrown for a text that is not an address, or for a host that is not numeric.
class AddressError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// An IPv4 host in dotted decimal notation, and a port.
struct Address {
  std::string host;
  std::uint16_t port = 0;
  bool operator==(const Address&) const = default;
};

// Parses "host:port". Throws AddressError if the text has another form; the host itself is not checked.
Address ParseAddress(const std::string& text);

// Converts an address to the form for system calls. Throws AddressError if the host is not numeric.
sockaddr_in ToSocket(const Address& address);

// Returns "host:port".
std::string ToString(const Address& address);

}  // namespace walnutspur::loop

#endif  // WALNUTSPUR_LOOP_ADDRESS_H_
