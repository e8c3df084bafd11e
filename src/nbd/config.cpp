#include "nbd/config.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>
#include <utility>

#include "integrity/layout.h"
#include "nbd/error.h"

namespace walnutspur::nbd {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

// Maximum number of bytes that one command transfers, regardless of the size of a unit.
constexpr double kMaxCommandBytes = 1 << 20;

// Number of data blocks in the minimum size that the error message suggests for an export that is too small
// for its tags and journal.
constexpr std::uint64_t kMinDataBlocks = 16;

int Index(const std::vector<std::string>& names, const std::string& name) {
  const auto at = std::find(names.begin(), names.end(), name);
  if (at == names.end()) {
    throw ConfigError("'" + name + "' is not defined in the settings");
  }
  return static_cast<int>(at - names.begin());
}

config::Table ReadTable(const std::string& text) {
  config::Document document = config::Read(text, Keys());
  if (!document.problems.empty()) {
    const config::Problem& first = document.problems.front();
    throw ConfigError(
        config::FormatProblem("line " + std::to_string(first.line), {0, first.key, first.error}));
  }
  return std::move(document.root);
}

const std::vector<config::Table>& Tables(const config::Table& root, const std::string& name) {
  const auto at = root.tables.find(name);
  if (at == root.tables.end()) {
    throw ConfigError("section [[" + name + "]] is missing; at least one is required");
  }
  return at->second;
}

Time Microseconds(const config::Table& table, const char* key) {
  return static_cast<Time>(table.Number(key) * kMicrosecondsPerSecond);
}

Target ParseTarget(const config::Table& table) {
  Target target;
  target.id = table.Text("id");
  target.addresses = {table.Text("address")};
  if (table.Has("paths")) {
    for (const std::string& path : table.Texts("paths")) {
      target.addresses.push_back(path);
    }
  }
  target.listed = table.Bool("listed");
  return target;
}

// Reserves space for the tags and the journal of a checksummed export; the size that clients see does not
// include them.
void ReserveChecksumRegion(const config::Table& table, Volume* volume) {
  volume->raw_bytes = volume->client_export.size;
  volume->journal_bytes = static_cast<std::uint64_t>(table.Integer("journal"));
  const auto geometry = integrity::FitGeometry(volume->raw_bytes, volume->journal_bytes);
  if (!geometry) {
    const std::uint64_t min_bytes = volume->journal_bytes + kMinDataBlocks * integrity::kBlockBytes;
    throw ConfigError("export '" + volume->client_export.name + "': size is " +
                      std::to_string(volume->raw_bytes) +
                      " bytes, too small for its tags and journal; allowed are " + std::to_string(min_bytes) +
                      " bytes or more");
  }
  volume->client_export.size = geometry->data_size();
}

Volume ParseVolume(const config::Table& table, const std::vector<std::string>& plans, double max_bytes) {
  Volume volume;
  volume.client_export.name = table.Text("name");
  volume.client_export.size = static_cast<std::uint64_t>(table.Integer("size"));
  volume.client_export.max_command_bytes = static_cast<std::uint32_t>(max_bytes);
  volume.checksummed = table.Bool("checksums");
  if (volume.checksummed) {
    ReserveChecksumRegion(table, &volume);
  }
  volume.volume = table.Text("volume");
  volume.plan = Index(plans, table.Text("plan"));
  volume.shard = static_cast<int>(table.Integer("shard"));
  volume.initiator_count = static_cast<int>(table.Integer("hosts"));
  if (volume.checksummed && volume.initiator_count != 1) {
    throw ConfigError("export '" + volume.client_export.name + "': hosts is " +
                      std::to_string(volume.initiator_count) +
                      "; an export with checksums is written by one initiator: allowed is 1");
  }
  volume.target = table.Text("box");
  volume.remote = table.Has("remote") ? table.Text("remote") : volume.client_export.name;
  return volume;
}

// Assigns the volume's shard to its target. A target that is not in the endpoint list must not serve a shard
// of discovery, because the state of the target would never change.
void AssignShard(const Volume& volume, int shards, std::vector<Target>* targets) {
  const auto target = std::find_if(targets->begin(), targets->end(),
                                   [&](const Target& listed) { return listed.id == volume.target; });
  if (target == targets->end()) {
    throw ConfigError("export '" + volume.client_export.name + "': box '" + volume.target +
                      "' is not defined by a [[box]] section");
  }
  if (!target->listed && volume.shard < shards) {
    throw ConfigError("export '" + volume.client_export.name + "': shard is " + std::to_string(volume.shard) +
                      ", which belongs to discovery, but box '" + volume.target +
                      "' has listed = false; allowed are " + std::to_string(shards) + " or more");
  }
  target->shard = volume.shard;
}

}  // namespace

Config ParseConfig(const std::string& text, const std::vector<std::string>& classes,
                   const std::vector<std::string>& plans, const Settings& settings, int shards) {
  const config::Table root = ReadTable(text);
  Config config;
  config.listen = root.Text("listen");
  config.handshake_timeout = Microseconds(root, "handshake_s");
  config.idle_timeout = Microseconds(root, "idle_s");
  config.connect_timeout = Microseconds(root, "dial_s");
  config.unit_bytes = root.Number("unit_bytes");
  config.classes[kRead] = Index(classes, root.Text("commands.read"));
  config.classes[kWrite] = Index(classes, root.Text("commands.write"));
  config.classes[kFlush] = Index(classes, root.Text("commands.flush"));
  for (const config::Table& table : Tables(root, "box")) {
    config.targets.push_back(ParseTarget(table));
  }
  const double max_bytes =
      std::min(kMaxCommandBytes, std::floor(settings.max_request_units * config.unit_bytes));
  for (const config::Table& table : Tables(root, "export")) {
    Volume volume = ParseVolume(table, plans, max_bytes);
    AssignShard(volume, shards, &config.targets);
    config.exports.push_back(volume.client_export);
    config.volumes.push_back(std::move(volume));
  }
  return config;
}

Config LoadConfig(const std::string& path, const std::vector<std::string>& classes,
                  const std::vector<std::string>& plans, const Settings& settings, int shards) {
  std::ifstream file(path);
  if (!file) {
    throw ConfigError("cannot read " + path);
  }
  std::stringstream text;
  text << file.rdbuf();
  try {
    return ParseConfig(text.str(), classes, plans, settings, shards);
  } catch (const std::exception& error) {
    throw ConfigError(path + ": " + error.what());
  }
}

double UnitsOf(const Config& config, std::uint32_t bytes) {
  return std::max(1.0, std::ceil(bytes / config.unit_bytes));
}

}  // namespace walnutspur::nbd
