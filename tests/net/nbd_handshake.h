// The bytes of NBD's handshake that several tests send or expect.
#ifndef WALNUTSPUR_TESTS_NET_NBD_HANDSHAKE_H_
#define WALNUTSPUR_TESTS_NET_NBD_HANDSHAKE_H_

#include <string>

namespace walnutspur::test {

// What every option begins with.
inline const std::string kOptionMagic = "IHAVEOPT";

// What every reply to an option begins with.
inline const std::string kReplyMagic("\x00\x03\xe8\x89\x04\x55\x65\xa9", 8);

// The option GO (7) or INFO (6) for an export.
inline std::string GoOption(const std::string& name, char option = 7) {
  using namespace std::string_literals;
  const std::string data = "\0\0\0"s + char(name.size()) + name + "\0\0"s;
  return kOptionMagic + "\0\0\0"s + option + "\0\0\0"s + char(data.size()) + data;
}

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_NET_NBD_HANDSHAKE_H_
