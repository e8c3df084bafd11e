// The configuration of the HTTP side of an initiator. app/platform.h reads it from the platform's file.
// Plain data; written once at the start, apart from the discovery address.
#ifndef WALNUTSPUR_HTTP_CONFIG_H_
#define WALNUTSPUR_HTTP_CONFIG_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "integrity/digest.h"
#include "loop/address.h"
#include "walnutspur/scheduler.h"

namespace walnutspur::http {

// The names that the platform's protocol uses. Their positions are the numbers that the scheduler uses.
struct Names {
  std::vector<std::string> classes;
  std::vector<std::string> plans;
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
};

// The position of a name, or -1.
inline int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto at = std::find(names.begin(), names.end(), name);
  return at == names.end() ? -1 : static_cast<int>(at - names.begin());
}

// Digest fields (RFC 9530), from the settings file; off on the platform.
struct DigestOptions {
  bool on = false;
  // Computed over a client's write that has none, and wanted of targets for reads; empty: neither.
  std::optional<integrity::Algorithm> compute;
};

struct Config {
  std::string name;
  loop::Address listen;
  loop::Address discovery;
  std::uint64_t seed = 0;
  int sockets = 1024;   // descriptors that the process may use
  int memory_mb = 192;  // MiB that the process may use
  std::size_t memory_bytes() const { return static_cast<std::size_t>(memory_mb) << 20; }
  walnutspur::Settings settings;
  Names names;
  int shards = 0;                              // 0: not known
  std::vector<bool> writes;                    // by class; empty: not known
  walnutspur::Time idle_timeout = 30'000'000;  // us after which targets close idle connections
  walnutspur::Time connect_timeout = 250'000;  // us
  walnutspur::Time max_deadline = 0;           // us, over all classes
  DigestOptions digests;
  nlohmann::json cached_list;  // the endpoint list of the last run, in discovery's form; null: none
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_CONFIG_H_
