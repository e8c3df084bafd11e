// What the HTTP side of an initiator is told at its start. Who reads it from a file is another matter: see
// app/platform.h.
#ifndef WALNUTSPUR_HTTP_CONFIG_H_
#define WALNUTSPUR_HTTP_CONFIG_H_

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "integrity/digest.h"
#include "loop/address.h"
#include "walnutspur/scheduler.h"

namespace walnutspur::http {

// The names that the platform's protocol uses, with the numbers that the module uses.
struct Names {
  std::vector<std::string> classes, plans, zones, kinds;
};
// The number of a name, or -1.
inline int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto at = std::find(names.begin(), names.end(), name);
  return at == names.end() ? -1 : static_cast<int>(at - names.begin());
}

// Digest fields (RFC 9530), from our own settings; off on the platform.
struct DigestOptions {
  bool on = false;
  // Computed over a client's write that came without one, and asked of boxes; nothing: neither.
  std::optional<integrity::Algorithm> compute;
};

struct Config {
  std::string name;
  loop::Address listen, discovery;
  std::uint64_t seed = 0;
  int sockets = 1024;
  int memory_mb = 192;
  walnutspur::Settings settings;
  Names names;
  int shards = 0;            // 0: not told
  std::vector<bool> writes;  // by class; empty: not told
  walnutspur::Time idle_timeout = 30'000'000;
  walnutspur::Time connect_timeout = 250'000;
  walnutspur::Time longest_deadline = 0;
  DigestOptions digests;
  nlohmann::json known;  // the list as it was held last, in discovery's form
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_CONFIG_H_
