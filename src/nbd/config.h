// The NBD configuration, read from deploy/nbd.toml: where the front end listens, which exports it offers and
// which storage servers hold them. Plain data that does not change while the initiator runs; any thread.
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

// A storage server. In the file: [[box]].
struct Target {
  std::string id;                      // as in the endpoint list of discovery
  std::vector<std::string> addresses;  // one for each network path
  bool listed = true;                  // false: not in the endpoint list; counts as active at all times
  int shard = 0;
};

// An export as clients see it, and where its data is. In the file: [[export]].
struct Volume {
  Export client_export;         // what is offered to clients
  std::string volume;           // its name at the scheduler
  std::string target;           // the id of the storage server
  std::string remote;           // the name of its export at the storage server
  int plan = 0;                 // index into the plans of the settings
  int shard = 0;                // that its data lies in
  int initiator_count = 1;      // initiators that serve it
  bool checksummed = false;     // the initiator keeps checksums of its blocks
  std::uint64_t raw_bytes = 0;  // if checksummed: size of the export at the target, tags and journal included
  std::uint64_t journal_bytes = 0;  // if checksummed: size of the journal
};

struct Config {
  std::string listen;                    // address and port
  Time handshake_timeout = 2'500'000;    // us; of a client's handshake
  Time idle_timeout = 30'000'000;        // us; after which a storage server closes an idle connection
  Time connect_timeout = 250'000;        // us; for connection and handshake at a storage server
  double unit_bytes = 4096;              // bytes of a command that count as one unit of load
  std::map<std::uint16_t, int> classes;  // request class by Command
  std::vector<Target> targets;
  std::vector<Volume> volumes;
  std::vector<Export> exports;  // Volume::client_export of each volume, in their order
};

// The keys of the file.
const std::vector<config::Key>& Keys();

// Reads the configuration. `classes` and `plans` are the names in the settings; `shards` is the number of
// shards that belong to discovery. Throws ConfigError with a message of one line.
Config LoadConfig(const std::string& path, const std::vector<std::string>& classes,
                  const std::vector<std::string>& plans, const Settings& settings, int shards);
Config ParseConfig(const std::string& text, const std::vector<std::string>& classes,
                   const std::vector<std::string>& plans, const Settings& settings, int shards);

// The units of load that a command counts, by the bytes that it transfers.
double UnitsOf(const Config& config, std::uint32_t bytes);

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_CONFIG_H_
