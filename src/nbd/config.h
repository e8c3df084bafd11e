// deploy/nbd.toml: where the NBD front listens, what its exports are and which boxes hold them.
#ifndef WALNUTSPUR_NBD_CONFIG_H_
#define WALNUTSPUR_NBD_CONFIG_H_

#include <map>
#include <string>
#include <vector>

#include "config/schema.h"
#include "nbd/codec.h"
#include "walnutspur/scheduler.h"

namespace walnutspur::nbd {

struct Target {
  std::string id;                      // as discovery lists it
  std::vector<std::string> addresses;  // where it speaks NBD: the paths to it
  bool listed = true;                  // false: discovery does not know it; it is taken to be live
  int shard = 0;
};

// An export that clients see, and where its data is.
struct Volume {
  Export front;
  std::string volume, target, remote;  // the volume's name in the module, the box and the name of its export
  int plan = 0, shard = 0, initiator_count = 1;
  bool checksummed = false;         // the initiator keeps checksums of it
  std::uint64_t raw_bytes = 0;      // checked: bytes of the export at the box, tags and journal included
  std::uint64_t journal_bytes = 0;  // checked: bytes
};

struct Config {
  std::string listen;
  Time handshake_timeout = 2'500'000;
  Time idle_timeout = 30'000'000;
  Time connect_timeout = 250'000;
  double unit_bytes = 4096;
  std::map<std::uint16_t, int> classes;  // of commands
  std::vector<Target> targets;
  std::vector<Volume> volumes;
  std::vector<Export> exports;  // the volumes' fronts, in their order
};

// The keys of the file.
const std::vector<config::Key>& Keys();

// `classes` and `plans` are the names in the settings. Throws std::exception with a message of one line.
Config LoadConfig(const std::string& path, const std::vector<std::string>& classes,
                  const std::vector<std::string>& plans, const Settings& settings, int shards);
Config ParseConfig(const std::string& text, const std::vector<std::string>& classes,
                   const std::vector<std::string>& plans, const Settings& settings, int shards);

// What a command of so many bytes counts.
double UnitsOf(const Config& config, std::uint32_t bytes);

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_CONFIG_H_
