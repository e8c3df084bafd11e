#include "app/settings_keys.h"

#include <algorithm>
#include <iterator>

#include "fleet/membership/member.h"

namespace walnutspur::app {
namespace {

using config::Kind;

constexpr double kMaxPathBytes = 4096;
constexpr double kMaxNameBytes = fleet::kMaxNameLength;

// A text of at most `max_bytes`, empty by default.
config::Key TextKey(const char* path, double max_bytes, const char* description) {
  return {.path = path,
          .kind = Kind::kText,
          .max = max_bytes,
          .default_value = "\"\"",
          .description = description};
}

std::vector<config::Key> LogKeys() {
  return {
      {.path = "log.level",
       .kind = Kind::kText,
       .default_value = "\"warn\"",
       .allowed_words = {"debug", "info", "warn", "error", "off"},
       .description = "events under this level are not logged"},
      {.path = "log.form",
       .kind = Kind::kText,
       .default_value = "\"logfmt\"",
       .allowed_words = {"logfmt", "json"},
       .description = "how a line is written"},
      TextKey("log.file", kMaxPathBytes, "where lines go; empty: standard error"),
      {.path = "log.queue",
       .kind = Kind::kInteger,
       .min = 16,
       .max = 65536,
       .unit = "lines",
       .default_value = "512",
       .description = "lines that wait to be written; beyond, the oldest is dropped and counted"},
      {.path = "log.per_kind",
       .kind = Kind::kNumber,
       .min = 0.1,
       .max = 10000,
       .unit = "lines a second",
       .default_value = "5.0",
       .description = "lines of one kind of event; what is held back is counted in the next"},
  };
}

std::vector<config::Key> IntegrityKeys() {
  return {
      {.path = "integrity.digests",
       .kind = Kind::kBool,
       .default_value = "false",
       .description = "digest fields (RFC 9530) of requests and answers are verified and passed on"},
      {.path = "integrity.compute",
       .kind = Kind::kText,
       .default_value = "\"crc32c\"",
       .allowed_words = {"crc32c", "sha-256", "sha-512", "none"},
       .description = "the digest given to writes that come without one, and asked of boxes"},
      TextKey("integrity.folder", kMaxPathBytes,
              "keeps the damage ledger, the scrub's cursors and the control socket; empty: the ledger is "
              "in memory"),
  };
}

std::vector<config::Key> ScrubRateKeys() {
  return {
      {.path = "scrub.on",
       .kind = Kind::kBool,
       .default_value = "false",
       .description = "checksummed exports are read in the background, round after round"},
      {.path = "scrub.bytes",
       .kind = Kind::kNumber,
       .min = 4096,
       .max = 1e10,
       .unit = "bytes a second",
       .default_value = "8388608.0",
       .description = "at most, at a box"},
      {.path = "scrub.requests",
       .kind = Kind::kNumber,
       .min = 0.1,
       .max = 1e5,
       .unit = "requests a second",
       .default_value = "100.0",
       .description = "at most, at a box"},
      {.path = "scrub.in_flight",
       .kind = Kind::kInteger,
       .min = 1,
       .max = 16,
       .unit = "requests",
       .default_value = "1",
       .description = "at a box"},
  };
}

std::vector<config::Key> ScrubGoalKeys() {
  return {
      {.path = "scrub.floor",
       .kind = Kind::kNumber,
       .min = 0,
       .max = 1000,
       .unit = "requests a second",
       .default_value = "1.0",
       .description = "kept up whatever live work needs; 0: the scrub may stand still"},
      {.path = "scrub.wish",
       .kind = Kind::kNumber,
       .min = 0,
       .max = 3650,
       .unit = "days",
       .default_value = "7.0",
       .description = "every block within this time; 0: no wish"},
      {.path = "scrub.most_missed",
       .kind = Kind::kNumber,
       .min = 0,
       .max = 1,
       .default_value = "0.02",
       .description = "part of live requests that may miss their aim before the scrub falls to its floor"},
  };
}

std::vector<config::Key> NbdKeys() {
  return {
      TextKey("nbd.file", kMaxPathBytes, "the NBD front's own file, as --nbd; empty: there is no such front"),
  };
}

std::vector<config::Key> FleetKeys() {
  return {
      TextKey("fleet.id", kMaxNameBytes, "the fleet's name; empty: there is no fleet"),
      TextKey("fleet.name", kMaxNameBytes, "this initiator's, unlike all others'"),
      TextKey("fleet.listen", kMaxNameBytes, "host:port, UDP, numeric"),
      TextKey("fleet.advertise", kMaxNameBytes, "host:port where others reach it; empty: as listen"),
      TextKey("fleet.building", kMaxNameBytes, "where it stands"),
      TextKey("fleet.key_file", kMaxPathBytes,
              "holds the fleet's key of 16 to 4096 bytes; empty: datagrams carry no tag"),
      {.path = "fleet.peers",
       .kind = Kind::kTexts,
       .max = kMaxNameBytes,
       .default_value = "[]",
       .description = "host:port of members that are asked first"},
      {.path = "fleet.roster",
       .kind = Kind::kTexts,
       .min = 1,
       .max = kMaxNameBytes,
       .default_value = "[]",
       .description = "names of the 3, 5 or 7 members whose majority decides"},
      {.path = "fleet.period_ms",
       .kind = Kind::kInteger,
       .min = 10,
       .max = 10000,
       .unit = "ms",
       .default_value = "200",
       .description = "between probes of members"},
  };
}

}  // namespace

const std::vector<config::Key>& SettingsKeys() {
  static const std::vector<config::Key> keys = [] {
    std::vector<config::Key> all;
    for (const auto& table_keys :
         {LogKeys, IntegrityKeys, ScrubRateKeys, ScrubGoalKeys, NbdKeys, FleetKeys}) {
      std::ranges::move(table_keys(), std::back_inserter(all));
    }
    return all;
  }();
  return keys;
}

}  // namespace walnutspur::app
