#include "configuration.h"

#include <nlohmann/json.hpp>

namespace walnutspur::bench {
namespace {

using nlohmann::json;

std::string LoopbackAddress(int port) { return "127.0.0.1:" + std::to_string(port); }

json RequestClasses() {
  const json read = {
      {"name", "read"}, {"aim", 120000}, {"deadline", 2000000}, {"effect", "safe"}, {"worth", 3.0}};
  json write = read;
  write["name"] = "write";
  write["effect"] = "unsafe";
  return {read, write};
}

json Settings() {
  return {{"nInstances", 1},
          {"discovery", "subscribe"},
          {"classes", RequestClasses()},
          {"policies", {{{"name", "p"}, {"rate", 100000.0}, {"floorRate", 100000.0}}}},
          {"rules",
           {{"askEvery", 10000000},
            {"drainGrace", 500000},
            {"graceToAnswer", 8000},
            {"coldShare", 0.2},
            {"warmUp", 1000000},
            {"tipMultiple", 2.0},
            {"overloadFor", 1000000}}},
          {"limits",
           {{"tryLimit", 3},
            {"cancel", true},
            {"maxRetryAfter", 500000},
            {"connIdle", 30000000},
            {"dialTimeout", 250000}}},
          {"extra",
           {{"largest", 16},
            {"usualUnits", 1.0},
            {"shards", 4},
            {"coldUnits", 100000.0},
            {"changesData", {false, true}}}}};
}

}  // namespace

std::string FormatDeployFile(const DeployOptions& options) {
  std::string text = "listen = \"" + LoopbackAddress(options.nbd_port) +
                     "\"\nunit_bytes = 65536\n[commands]\nread = \"read\"\nwrite = \"write\"\nflush = "
                     "\"write\"\n[[box]]\nid = \"a\"\naddress = \"" +
                     LoopbackAddress(options.server_ports.front()) + "\"\npaths = [";
  for (std::size_t path = 1; path < options.server_ports.size(); ++path) {
    text += (path > 1 ? ", " : "") + ("\"" + LoopbackAddress(options.server_ports[path])) + "\"";
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

std::string FormatInstanceConfig(int http_port, int discovery_port) {
  const json config = {{"name", "n0"},
                       {"listen", LoopbackAddress(http_port)},
                       {"discovery", LoopbackAddress(discovery_port)},
                       {"seed", "1"},
                       {"limits", {{"sockets", 1024}, {"memory_mb", 192}}},
                       {"settings", Settings()}};
  return config.dump();
}

}  // namespace walnutspur::bench
