// Numeric addresses: there is no DNS.
#ifndef WALNUTSPUR_LOOP_ADDRESS_H_
#define WALNUTSPUR_LOOP_ADDRESS_H_

#include <netinet/in.h>

#include <cstdint>
#include <string>

namespace walnutspur::loop {

struct Address {
  std::string host;
  std::uint16_t port = 0;
  bool operator==(const Address&) const = default;
};
Address ParseAddress(const std::string& text);  // throws std::runtime_error
sockaddr_in ToSocket(const Address& address);   // likewise

}  // namespace walnutspur::loop

#endif  // WALNUTSPUR_LOOP_ADDRESS_H_
