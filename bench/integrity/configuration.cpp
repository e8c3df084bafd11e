#include "configuration.h"

#include "lab/fakes/loopback.h"

namespace walnutspur::bench {

using lab::FormatLoopbackAddress;

std::string FormatDeployFile(const DeployOptions& options) {
  std::string text = "listen = \"" + FormatLoopbackAddress(options.nbd_port) +
                     "\"\nunit_bytes = 65536\n[commands]\nread = \"read\"\nwrite = \"write\"\nflush = "
                     "\"write\"\n[[box]]\nid = \"a\"\naddress = \"" +
                     FormatLoopbackAddress(options.server_ports.front()) + "\"\npaths = [";
  for (std::size_t path = 1; path < options.server_ports.size(); ++path) {
    text += (path > 1 ? ", " : "") + ("\"" + FormatLoopbackAddress(options.server_ports[path])) + "\"";
  }
  const std::string common =
      "volume = \"v\"\nplan = \"p\"\nshard = 0\nbox = \"a\"\nremote = \"disk\"\nsize = " +
      std::to_string(options.size) + "\n";
  text += "]\n[[export]]\nname = \"checked\"\nchecksums = true\n" + common;
  if (options.plain) {
    text += "[[export]]\nname = \"plain\"\n" + common;
  }
  return text;
}

lab::PlatformConfig InitiatorConfig(int http_port, int discovery_port) {
  lab::PlatformRequestClass read;
  read.latency_objective = 120'000;
  read.deadline = 2'000'000;
  read.late_weight_fraction = 0;
  lab::PlatformRequestClass write = read;
  write.name = "write";
  write.is_idempotent = false;
  lab::PlatformConfig config;
  config.listen = FormatLoopbackAddress(http_port);
  config.discovery = FormatLoopbackAddress(discovery_port);
  config.classes = {read, write};
  config.plan = "p";
  config.rate = 100'000.0;
  config.slow_start_units = 100'000.0;
  return config;
}

}  // namespace walnutspur::bench
