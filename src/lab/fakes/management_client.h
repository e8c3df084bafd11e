// Calls the management address of a process under test, as the operators' staff does.
//
// Owns nothing; blocks the calling thread for a bounded time.
#ifndef WALNUTSPUR_LAB_FAKES_MANAGEMENT_CLIENT_H_
#define WALNUTSPUR_LAB_FAKES_MANAGEMENT_CLIENT_H_

#include <string>

#include "loop/address.h"

namespace walnutspur::lab {

// Sends one line and returns the reply line without its LF; empty if none arrives within a second.
std::string CallManagement(const loop::Address& address, const std::string& line);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FAKES_MANAGEMENT_CLIENT_H_
