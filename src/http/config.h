// Configuration of an initiator's HTTP components. app/platform.h reads it from the platform's file.
// Plain data; written at startup and by a reload of the configuration.
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

// The names used in the platform's protocol. The scheduler identifies each by its index.
struct Names {
  std::vector<std::string> classes;
  std::vector<std::string> plans;
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
};

// Returns the index of a name, or -1 if it is empty or not listed.
inline int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto at = std::find(names.begin(), names.end(), name);
  return name.empty() || at == names.end() ? -1 : static_cast<int>(at - names.begin());
}

// Options for digest fields (RFC 9530), from the settings file. The platform does not enable them.
struct DigestOptions {
  bool on = false;
  // The algorithm of the digest that is added to a client's write without one, and that is requested from
  // targets for reads; empty: neither.
  std::optional<integrity::Algorithm> compute;
};

struct Config {
  std::string name;
  loop::Address listen;
  loop::Address discovery;
  std::optional<loop::Address> management;  // where operators call; empty: nowhere
  std::uint64_t seed = 0;
  int sockets = 1024;   // maximum number of file descriptors of the process
  int memory_mb = 192;  // maximum memory of the process, MiB
  std::size_t memory_bytes() const { return static_cast<std::size_t>(memory_mb) << 20; }
  walnutspur::Settings settings;
  Names names;
  int shards = 0;  // number of shards; 0: unknown
  // Whether each class is for writes, by class index; empty, or nullopt for a class: unknown.
  std::vector<std::optional<bool>> writes;
  walnutspur::Time idle_timeout = 30'000'000;  // us until targets close an idle connection
  walnutspur::Time connect_timeout = 250'000;  // us
  walnutspur::Time max_deadline = 0;           // us, maximum over the configured classes
  DigestOptions digests;
  nlohmann::json settings_document;  // the text of `settings`
  nlohmann::json cached_list;        // the last run's endpoint list in the discovery format; null: none
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_CONFIG_H_
