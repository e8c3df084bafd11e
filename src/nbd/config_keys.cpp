// Defines the keys of deploy/nbd.toml by section: type, range, default and description of each.
#include <iterator>
#include <utility>

#include "nbd/config.h"

namespace walnutspur::nbd {
namespace {

using config::Key;
using config::Kind;

// Maximum value of integer keys. Ranges are doubles, so it is below the maximum of std::int64_t.
constexpr double kMaxInt64 = 9.2e18;

// Limits of the length of strings, in bytes.
constexpr double kMaxNameBytes = 256;
constexpr double kMaxExportNameBytes = 4096;
constexpr double kMinAddressBytes = 3;
constexpr double kMaxAddressBytes = 64;

struct Range {
  double min = 0;
  double max = 0;
};
constexpr Range kNameRange = {1, kMaxNameBytes};
constexpr Range kExportNameRange = {1, kMaxExportNameBytes};
constexpr Range kAddressRange = {kMinAddressBytes, kMaxAddressBytes};

Key Required(const char* path, Kind kind, Range range, const char* description) {
  return {path, kind, range.min, range.max, "", "", {}, true, description};
}

Key Optional(const char* path, Kind kind, Range range, const char* default_value, const char* description) {
  return {path, kind, range.min, range.max, "", default_value, {}, false, description};
}

Key WithUnit(Key key, const char* unit) {
  key.unit = unit;
  return key;
}

std::vector<Key> ConnectionKeys() {
  return {
      Required("listen", Kind::kText, kAddressRange,
               "address and port on which the front end listens for clients"),
      WithUnit(
          Optional("handshake_s", Kind::kNumber, {0.01, 2.5}, "2.5", "time limit of a client's handshake"),
          "s"),
      WithUnit(Optional("idle_s", Kind::kNumber, {0.1, 3600}, "30.0",
                        "time after which a box closes an idle connection"),
               "s"),
      WithUnit(
          Optional("dial_s", Kind::kNumber, {0.001, 0.45}, "0.25",
                   "time limit of connecting and handshake with a box; must be below the drain grace period"),
          "s"),
  };
}

std::vector<Key> CommandKeys() {
  return {
      WithUnit(Optional("unit_bytes", Kind::kNumber, {1, 1 << 30}, "4096.0",
                        "number of bytes of a command that count as one unit of load"),
               "bytes"),
      Required("commands.read", Kind::kText, kNameRange, "request class of read commands"),
      Required("commands.write", Kind::kText, kNameRange, "request class of write commands"),
      Required("commands.flush", Kind::kText, kNameRange, "request class of flush commands"),
  };
}

std::vector<Key> TargetKeys() {
  return {
      Required("box[].id", Kind::kText, kNameRange, "id of the box in discovery's endpoint list"),
      Required("box[].address", Kind::kText, kAddressRange, "address and port of the box's NBD server"),
      Optional("box[].paths", Kind::kTexts, kAddressRange, "",
               "further addresses of the same box, one per network path"),
      Optional("box[].listed", Kind::kBool, {}, "true", "whether the box is in discovery's endpoint list"),
  };
}

std::vector<Key> ExportKeys() {
  return {
      Required("export[].name", Kind::kText, kExportNameRange, "name of the export that clients request"),
      Required("export[].volume", Kind::kText, kNameRange, "name of the volume in requests to the scheduler"),
      Required("export[].plan", Kind::kText, kNameRange, "plan of the export, as defined in the settings"),
      Required("export[].shard", Kind::kInteger, {0, 1 << 30}, "shard that stores the data of the export"),
      Optional("export[].hosts", Kind::kInteger, {1, 1 << 20}, "1",
               "number of initiators that serve the export"),
      Required("export[].box", Kind::kText, kNameRange, "id of the box that stores the export"),
      Optional("export[].remote", Kind::kText, kExportNameRange, "",
               "name of the export at the box; default: the value of `name`"),
      WithUnit(Required("export[].size", Kind::kInteger, {1, kMaxInt64},
                        "size of the export at the box; if `checksums` is on, clients see a smaller size"),
               "bytes"),
  };
}

std::vector<Key> ChecksumKeys() {
  return {
      Optional("export[].checksums", Kind::kBool, {}, "false",
               "store a tag for each block in a region at the end of the export, which `integrity format` "
               "initializes"),
      WithUnit(
          Optional("export[].journal", Kind::kInteger, {4 << 20, 1 << 30}, "4194304",
                   "size of the journal of an export with checksums; it stores writes until a checkpoint"),
          "bytes"),
  };
}

std::vector<Key> AllKeys() {
  std::vector<Key> all;
  for (const auto section : {ConnectionKeys, CommandKeys, TargetKeys, ExportKeys, ChecksumKeys}) {
    std::vector<Key> keys = section();
    std::move(keys.begin(), keys.end(), std::back_inserter(all));
  }
  return all;
}

}  // namespace

const std::vector<config::Key>& Keys() {
  static const std::vector<config::Key> keys = AllKeys();
  return keys;
}

}  // namespace walnutspur::nbd
