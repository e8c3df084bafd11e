// Formats the files that configure the initiator of a test environment. No state; safe on any thread.
#ifndef WALNUTSPUR_BENCH_INTEGRITY_CONFIGURATION_H_
#define WALNUTSPUR_BENCH_INTEGRITY_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "lab/fakes/platform_config.h"

namespace walnutspur::bench {

struct DeployOptions {
  int nbd_port = 0;               // where the initiator listens
  std::vector<int> server_ports;  // of the storage server, by path
  std::uint64_t size = 0;         // bytes of the export
  bool plain = false;             // a second export of the same device, without checksums
};

// Returns the deploy file (TOML).
std::string FormatDeployFile(const DeployOptions& options);
// Returns the platform's configuration.
lab::PlatformConfig InitiatorConfig(int http_port, int discovery_port);

}  // namespace walnutspur::bench

#endif  // WALNUTSPUR_BENCH_INTEGRITY_CONFIGURATION_H_
