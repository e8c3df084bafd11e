// Numeric addresses: there is no DNS.
#ifndef WALNUTSPUR_NET_ADDRESS_H_
#define WALNUTSPUR_NET_ADDRESS_H_

#include <netinet/in.h>

#include <cstdint>
#include <string>

namespace walnutspur::net {

struct Address {
  std::string host;
  std::uint16_t port = 0;
  bool operator==(const Address&) const = default;
};
Address ParseAddress(const std::string& text);  // throws std::runtime_error
sockaddr_in ToSocket(const Address& address);   // likewise

}  // namespace walnutspur::net

#endif  // WALNUTSPUR_NET_ADDRESS_H_
