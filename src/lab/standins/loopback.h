// Socket addresses on loopback: where processes under test and their stand-ins listen.
//
// Owns nothing; any thread.
#ifndef WALNUTSPUR_LAB_STANDINS_LOOPBACK_H_
#define WALNUTSPUR_LAB_STANDINS_LOOPBACK_H_

#include <netinet/in.h>

#include <stdexcept>
#include <string>

#include "loop/address.h"
#include "walnutspur/types.h"

namespace walnutspur::lab {

// No port is free.
class LoopbackError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The address of a port of 127.0.0.1, as the kernel takes it.
sockaddr_in LoopbackAddress(int port);
// The same as text, "127.0.0.1:PORT".
std::string FormatLoopbackAddress(int port);

// A TCP port of 127.0.0.1 that is free now. Throws LoopbackError.
int FreePort();
// An address on which nothing else listens: of a host 127.x.y.z that no other call or process was given. A
// port that is free on 127.0.0.1 may be taken by another test before the process that gets it listens. Throws
// LoopbackError.
loop::Address UniqueLoopbackAddress();

// Whether something listens at the address within `timeout` us. Blocks.
bool WaitForListener(const loop::Address& address, Time timeout);
// The same for a port of 127.0.0.1.
bool WaitForListener(int port, Time timeout);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_STANDINS_LOOPBACK_H_
