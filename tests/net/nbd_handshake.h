// Bytes of the NBD handshake that are shared by several tests.
#ifndef WALNUTSPUR_TESTS_NET_NBD_HANDSHAKE_H_
#define WALNUTSPUR_TESTS_NET_NBD_HANDSHAKE_H_

#include <string>

namespace walnutspur::test {

// Magic number at the start of each option.
inline const std::string kOptionMagic = "IHAVEOPT";

// Magic number at the start of each reply to an option.
inline const std::string kReplyMagic("\x00\x03\xe8\x89\x04\x55\x65\xa9", 8);

// Returns the option GO (7) or INFO (6) for an export.
inline std::string GoOption(const std::string& name, char option = 7) {
  using namespace std::string_literals;
  const std::string data = "\0\0\0"s + char(name.size()) + name + "\0\0"s;
  return kOptionMagic + "\0\0\0"s + option + "\0\0\0"s + char(data.size()) + data;
}

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_NET_NBD_HANDSHAKE_H_
