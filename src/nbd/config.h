// Reads the NBD configuration, deploy/nbd.toml: the listening address of the front end, the exports that it
// offers and the storage servers that store them. Plain data that does not change while the initiator runs;
// usable from any thread.
#ifndef WALNUTSPUR_NBD_CONFIG_H_
#define WALNUTSPUR_NBD_CONFIG_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/schema.h"
#include "nbd/protocol.h"
#include "walnutspur/scheduler.h"

namespace walnutspur::nbd {

// A storage server; section [[box]] of the file.
struct Target {
  std::string id;                      // as in discovery's endpoint list
  std::vector<std::string> addresses;  // one per network path
  bool listed = true;                  // false: not in the endpoint list; always active
  int shard = 0;
};

// An export as clients see it, and the location of its data; section [[export]] of the file.
struct Volume {
  Export client_export;             // as offered to clients
  std::string volume;               // name of the volume in requests to the scheduler
  std::string target;               // id of the storage server
  std::string remote;               // name of the export at the storage server
  int plan = 0;                     // index into the plans of the settings
  int shard = 0;                    // shard that stores the data
  int initiator_count = 1;          // number of initiators that serve the export
  bool checksummed = false;         // the initiator stores a checksum of each block
  std::uint64_t raw_bytes = 0;      // if checksummed: size of the export at the target, with tags and journal
  std::uint64_t journal_bytes = 0;  // if checksummed: size of the journal
};

struct Config {
  std::string listen;                    // address and port
  Time handshake_timeout = 2'500'000;    // us; limit of a client's handshake
  Time idle_timeout = 30'000'000;        // us; a storage server closes a connection that is idle for longer
  Time connect_timeout = 250'000;        // us; limit of connecting and handshake with a storage server
  double unit_bytes = 4096;              // number of bytes that count as one unit of load
  std::map<std::uint16_t, int> classes;  // key: Command; value: index of the request class
  std::vector<Target> targets;
  std::vector<Volume> volumes;
  std::vector<Export> exports;  // Volume::client_export of each volume, in the same order
};

// Returns the keys of the file.
const std::vector<config::Key>& Keys();

// Read the configuration from a file and from its text. `classes` and `plans` are the names defined in the
// settings; `shards` is the number of shards that belong to discovery. Throw ConfigError.
Config LoadConfig(const std::string& path, const std::vector<std::string>& classes,
                  const std::vector<std::string>& plans, const Settings& settings, int shards);
Config ParseConfig(const std::string& text, const std::vector<std::string>& classes,
                   const std::vector<std::string>& plans, const Settings& settings, int shards);

// Returns the units of load of a command that transfers this number of bytes; at least 1.
double UnitsOf(const Config& config, std::uint32_t bytes);

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_CONFIG_H_
