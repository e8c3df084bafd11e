// Provides loopback addresses on which processes under test and the fakes around them listen.
//
// Owns nothing; any thread.
#ifndef WALNUTSPUR_LAB_FAKES_LOOPBACK_H_
#define WALNUTSPUR_LAB_FAKES_LOOPBACK_H_

#include <netinet/in.h>

#include <stdexcept>
#include <string>

#include "loop/address.h"
#include "walnutspur/types.h"

namespace walnutspur::lab {

// Thrown if no port is free.
class LoopbackError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns the socket address of a port of 127.0.0.1.
sockaddr_in LoopbackAddress(int port);
// Returns "127.0.0.1:PORT".
std::string FormatLoopbackAddress(int port);

// Returns a TCP port of 127.0.0.1 that is free now. Throws LoopbackError.
int FreePort();
// Returns an address on which nothing else listens, of a host 127.x.y.z that no other call or process gets.
// A port that is free on 127.0.0.1 could be taken by another test before the process under test listens on
// it. Throws LoopbackError.
loop::Address UniqueLoopbackAddress();

// Blocks until a connection to the address succeeds; returns false if none does within `timeout` us.
bool WaitForListener(const loop::Address& address, Time timeout);
// Waits for a listener on a port of 127.0.0.1.
bool WaitForListener(int port, Time timeout);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FAKES_LOOPBACK_H_
