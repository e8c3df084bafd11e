// The keys of the file deploy/nbd.toml: type, range, default and description of each, by section.
#include <iterator>
#include <utility>

#include "nbd/config.h"

namespace walnutspur::nbd {
namespace {

using config::Key;
using config::Kind;

// The largest integer that a key allows; below the largest std::int64_t, as a double.
constexpr double kMaxInt64 = 9.2e18;

// Lengths of texts, in bytes.
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
      Required("listen", Kind::kText, kAddressRange, "where clients connect"),
      WithUnit(
          Optional("handshake_s", Kind::kNumber, {0.01, 2.5}, "2.5", "a client's handshake takes no longer"),
          "s"),
      WithUnit(
          Optional("idle_s", Kind::kNumber, {0.1, 3600}, "30.0", "a box closes an idle connection after it"),
          "s"),
      WithUnit(Optional("dial_s", Kind::kNumber, {0.001, 0.45}, "0.25",
                        "connection and handshake at a box; under the grace of a drain"),
               "s"),
  };
}

std::vector<Key> CommandKeys() {
  return {
      WithUnit(Optional("unit_bytes", Kind::kNumber, {1, 1 << 30}, "4096.0",
                        "a command counts one unit for each part of this size"),
               "bytes"),
      Required("commands.read", Kind::kText, kNameRange, "the class of reads"),
      Required("commands.write", Kind::kText, kNameRange, "the class of writes"),
      Required("commands.flush", Kind::kText, kNameRange, "the class of flushes"),
  };
}

std::vector<Key> TargetKeys() {
  return {
      Required("box[].id", Kind::kText, kNameRange, "as discovery lists it"),
      Required("box[].address", Kind::kText, kAddressRange, "where it speaks NBD"),
      Optional("box[].paths", Kind::kTexts, kAddressRange, "", "further addresses of the same box"),
      Optional("box[].listed", Kind::kBool, {}, "true", "whether discovery knows it"),
  };
}

std::vector<Key> ExportKeys() {
  return {
      Required("export[].name", Kind::kText, kExportNameRange, "as clients ask for it"),
      Required("export[].volume", Kind::kText, kNameRange, "the volume's name in the decisions"),
      Required("export[].plan", Kind::kText, kNameRange, "its plan, of the settings"),
      Required("export[].shard", Kind::kInteger, {0, 1 << 30}, "where its data lies"),
      Optional("export[].hosts", Kind::kInteger, {1, 1 << 20}, "1", "initiators that reach it"),
      Required("export[].box", Kind::kText, kNameRange, "the box that holds it"),
      Optional("export[].remote", Kind::kText, kExportNameRange, "", "its name at the box; the same without"),
      WithUnit(Required("export[].size", Kind::kInteger, {1, kMaxInt64},
                        "of the export at the box; with checksums clients see less"),
               "bytes"),
  };
}

std::vector<Key> ChecksumKeys() {
  return {
      Optional("export[].checksums", Kind::kBool, {}, "false",
               "tags for its blocks in a region at its end, which `integrity format` lays out"),
      WithUnit(Optional("export[].journal", Kind::kInteger, {4 << 20, 1 << 30}, "4194304",
                        "with checksums: what writes wait in before they go in place"),
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
