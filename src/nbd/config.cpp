#include "nbd/config.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "integrity/layout.h"

namespace walnutspur::nbd {
namespace {

constexpr double kMostBytes = 1 << 20;  // of a command, whatever a unit is

int Index(const std::vector<std::string>& names, const std::string& name) {
  const auto at = std::find(names.begin(), names.end(), name);
  if (at == names.end()) {
    throw std::runtime_error("'" + name + "' is not in the settings");
  }
  return static_cast<int>(at - names.begin());
}

}  // namespace

const std::vector<config::Key>& Keys() {
  using config::Kind;
  static const std::vector<config::Key> keys = {
      {"listen", Kind::kText, 3, 64, "", "", {}, true, "where clients connect"},
      {"handshake_s",
       Kind::kNumber,
       0.01,
       2.5,
       "s",
       "2.5",
       {},
       false,
       "a client's handshake takes no longer"},
      {"idle_s",
       Kind::kNumber,
       0.1,
       3600,
       "s",
       "30.0",
       {},
       false,
       "a box closes an idle connection after it"},
      {"dial_s",
       Kind::kNumber,
       0.001,
       0.45,
       "s",
       "0.25",
       {},
       false,
       "connection and handshake at a box; under the grace of a drain"},
      {"unit_bytes",
       Kind::kNumber,
       1,
       1 << 30,
       "bytes",
       "4096.0",
       {},
       false,
       "a command counts one unit for each part of this size"},
      {"commands.read", Kind::kText, 1, 256, "", "", {}, true, "the class of reads"},
      {"commands.write", Kind::kText, 1, 256, "", "", {}, true, "the class of writes"},
      {"commands.flush", Kind::kText, 1, 256, "", "", {}, true, "the class of flushes"},
      {"box[].id", Kind::kText, 1, 256, "", "", {}, true, "as discovery lists it"},
      {"box[].address", Kind::kText, 3, 64, "", "", {}, true, "where it speaks NBD"},
      {"box[].paths", Kind::kTexts, 3, 64, "", "", {}, false, "further addresses of the same box"},
      {"box[].listed", Kind::kBool, 0, 0, "", "true", {}, false, "whether discovery knows it"},
      {"export[].name", Kind::kText, 1, 4096, "", "", {}, true, "as clients ask for it"},
      {"export[].volume", Kind::kText, 1, 256, "", "", {}, true, "the volume's name in the decisions"},
      {"export[].plan", Kind::kText, 1, 256, "", "", {}, true, "its plan, of the settings"},
      {"export[].shard", Kind::kInteger, 0, 1 << 30, "", "", {}, true, "where its data lies"},
      {"export[].hosts", Kind::kInteger, 1, 1 << 20, "", "1", {}, false, "initiators that reach it"},
      {"export[].box", Kind::kText, 1, 256, "", "", {}, true, "the box that holds it"},
      {"export[].remote", Kind::kText, 1, 4096, "", "", {}, false, "its name at the box; the same without"},
      {"export[].size",
       Kind::kInteger,
       1,
       9.2e18,
       "bytes",
       "",
       {},
       true,
       "of the export at the box; with checksums clients see less"},
      {"export[].checksums",
       Kind::kBool,
       0,
       0,
       "",
       "false",
       {},
       false,
       "tags for its blocks in a region at its end, which `integrity format` lays out"},
      {"export[].journal",
       Kind::kInteger,
       4 << 20,
       1 << 30,
       "bytes",
       "4194304",
       {},
       false,
       "with checksums: what writes wait in before they go in place"},
  };
  return keys;
}

Config ParseConfig(const std::string& text, const std::vector<std::string>& classes,
                   const std::vector<std::string>& plans, const Settings& settings, int shards) {
  const config::Document document = config::Read(text, Keys());
  if (!document.problems.empty()) {
    const config::Problem& first = document.problems.front();
    throw std::runtime_error(config::Line("line " + std::to_string(first.line), {0, first.key, first.what}));
  }
  const config::Table& root = document.root;
  const auto tables = [&](const char* name) {
    const auto at = root.tables.find(name);
    if (at == root.tables.end()) {
      throw std::runtime_error("no [[" + std::string(name) + "]]");
    }
    return at->second;
  };
  const auto micros = [&](const char* key) { return static_cast<Time>(root.Number(key) * 1e6); };
  Config c;
  c.listen = root.Text("listen");
  c.handshake_timeout = micros("handshake_s");
  c.idle_timeout = micros("idle_s");
  c.connect_timeout = micros("dial_s");
  c.unit_bytes = root.Number("unit_bytes");
  c.classes[kRead] = Index(classes, root.Text("commands.read"));
  c.classes[kWrite] = Index(classes, root.Text("commands.write"));
  c.classes[kFlush] = Index(classes, root.Text("commands.flush"));
  for (const config::Table& t : tables("box")) {
    Target box;
    box.id = t.Text("id");
    box.addresses = {t.Text("address")};
    if (t.Has("paths")) {
      for (const std::string& path : t.Texts("paths")) {
        box.addresses.push_back(path);
      }
    }
    box.listed = t.Bool("listed");
    c.targets.push_back(box);
  }
  for (const config::Table& t : tables("export")) {
    Volume v;
    v.front.name = t.Text("name");
    v.front.size = static_cast<std::uint64_t>(t.Integer("size"));
    v.front.largest = static_cast<std::uint32_t>(
        std::min(kMostBytes, std::floor(settings.max_request_units * c.unit_bytes)));
    v.checksummed = t.Bool("checksums");
    if (v.checksummed) {
      v.raw_bytes = v.front.size;
      v.journal_bytes = static_cast<std::uint64_t>(t.Integer("journal"));
      const auto geometry = integrity::FitGeometry(v.raw_bytes, v.journal_bytes);
      if (!geometry) {
        throw std::runtime_error(
            "export '" + v.front.name + "' is smaller than its tags and journal; allowed are " +
            std::to_string(v.journal_bytes + 16 * integrity::kBlockBytes) + " bytes or more");
      }
      v.front.size = geometry->data_size();
    }
    v.volume = t.Text("volume");
    v.plan = Index(plans, t.Text("plan"));
    v.shard = static_cast<int>(t.Integer("shard"));
    v.initiator_count = static_cast<int>(t.Integer("hosts"));
    if (v.checksummed && v.initiator_count != 1) {
      throw std::runtime_error("export '" + v.front.name + "': hosts is " +
                               std::to_string(v.initiator_count) +
                               "; with checksums one initiator writes it: allowed is 1");
    }
    v.target = t.Text("box");
    v.remote = t.Has("remote") ? t.Text("remote") : v.front.name;
    const auto box =
        std::find_if(c.targets.begin(), c.targets.end(), [&](const Target& b) { return b.id == v.target; });
    if (box == c.targets.end()) {
      throw std::runtime_error("export '" + v.front.name + "' names no box");
    }
    // A shard of the platform's own must not be sent to a box that discovery does not know.
    if (!box->listed && v.shard < shards) {
      throw std::runtime_error("export '" + v.front.name +
                               "': the shard of an unlisted box is the platform's");
    }
    box->shard = v.shard;
    c.exports.push_back(v.front);
    c.volumes.push_back(std::move(v));
  }
  return c;
}

Config LoadConfig(const std::string& path, const std::vector<std::string>& classes,
                  const std::vector<std::string>& plans, const Settings& settings, int shards) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot read " + path);
  }
  std::stringstream text;
  text << file.rdbuf();
  try {
    return ParseConfig(text.str(), classes, plans, settings, shards);
  } catch (const std::exception& error) {
    throw std::runtime_error(path + ": " + error.what());
  }
}

double UnitsOf(const Config& config, std::uint32_t bytes) {
  return std::max(1.0, std::ceil(bytes / config.unit_bytes));
}

}  // namespace walnutspur::nbd
