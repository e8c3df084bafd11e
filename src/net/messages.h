// What the platform's HTTP says, read and checked; no sockets.
#ifndef WALNUTSPUR_NET_MESSAGES_H_
#define WALNUTSPUR_NET_MESSAGES_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/engine.h"
#include "net/config.h"

namespace walnutspur::net {

// A request as it came: passes on to a target byte for byte.
struct HttpRequest : core::Payload {
  bool put = false;
  std::string uri, id, body;
};
struct HttpAnswer : core::Payload {
  std::string body;
};

using Header = std::function<const char*(const char*)>;  // the value of a header, or null

// Reads what the decisions need. Returns what is wrong, if anything is.
std::optional<std::string> ReadRequest(const Config& config, const HttpRequest& request, const Header& header,
                                       core::Arrived* arrived, Time* patience);

// The outcome that a target's whole answer stands for.
Outcome OutcomeOf(int code, const Header& header);
// What else an answer tells.
void ReadTold(const std::vector<std::string>& fields, const Header& header, core::Ended* ended);

struct TargetList {
  long revision = 0;
  bool complete = false;
  std::vector<walnutspur::ListEntry> entries;
  std::vector<std::string> addresses;  // of the entries; empty: none told
};
// Throws std::exception on what is malformed.
TargetList ReadList(const Config& config, const nlohmann::json& json);

std::string Seconds(Time time);  // as decimals

}  // namespace walnutspur::net

#endif  // WALNUTSPUR_NET_MESSAGES_H_
