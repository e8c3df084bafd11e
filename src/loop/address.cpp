#include "loop/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace walnutspur::loop {

Address ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  Address address;
  if (colon != std::string::npos && colon > 0) {
    address.host = text.substr(0, colon);
    const char* end = text.data() + text.size();
    const auto [at, error] = std::from_chars(text.data() + colon + 1, end, address.port);
    if (error == std::errc() && at == end) {
      return address;
    }
  }
  throw AddressError("invalid address '" + text + "': must be HOST:PORT");
}

sockaddr_in ToSocket(const Address& address) {
  sockaddr_in socket{};
  socket.sin_family = AF_INET;
  socket.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.host.c_str(), &socket.sin_addr) != 1) {
    throw AddressError("invalid host '" + address.host + "': must be a numeric IPv4 address");
  }
  return socket;
}

std::string ToString(const Address& address) { return address.host + ":" + std::to_string(address.port); }

}  // namespace walnutspur::loop
