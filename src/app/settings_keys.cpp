#include "app/settings_keys.h"

#include <algorithm>
#include <iterator>

#include "fleet/membership/member.h"

namespace walnutspur::app {
namespace {

using config::Kind;

constexpr double kMaxPathBytes = 4096;
constexpr double kMaxNameBytes = fleet::kMaxNameLength;

// Returns a key for a text of at most `max_bytes`, which is empty by default.
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
       .description = "minimum level of the events that are logged"},
      {.path = "log.form",
       .kind = Kind::kText,
       .default_value = "\"logfmt\"",
       .allowed_words = {"logfmt", "json"},
       .description = "format of the log lines"},
      TextKey("log.file", kMaxPathBytes, "file that the log is written to; empty: standard error"),
      {.path = "log.queue",
       .kind = Kind::kInteger,
       .min = 16,
       .max = 65536,
       .unit = "lines",
       .default_value = "512",
       .description = "maximum number of lines that wait to be written; beyond it, the oldest line is "
                      "dropped and counted"},
      {.path = "log.per_kind",
       .kind = Kind::kNumber,
       .min = 0.1,
       .max = 10000,
       .unit = "lines a second",
       .default_value = "5.0",
       .description = "maximum rate of lines for each kind of event; the next line of a kind counts its "
                      "suppressed lines"},
  };
}

std::vector<config::Key> IntegrityKeys() {
  return {
      {.path = "integrity.digests",
       .kind = Kind::kBool,
       .default_value = "false",
       .description =
           "whether digest fields (RFC 9530) of requests and responses are verified and forwarded"},
      {.path = "integrity.compute",
       .kind = Kind::kText,
       .default_value = "\"crc32c\"",
       .allowed_words = {"crc32c", "sha-256", "sha-512", "none"},
       .description =
           "algorithm of the digest that is added to writes without one and requested from targets"},
      TextKey(
          "integrity.folder", kMaxPathBytes,
          "folder of the corruption log, the scrub's cursors and the control socket; empty: the corruption "
          "log is kept in memory only"),
  };
}

std::vector<config::Key> ScrubRateKeys() {
  return {
      {.path = "scrub.on",
       .kind = Kind::kBool,
       .default_value = "false",
       .description = "whether the scrub reads checksummed exports in the background, in repeated rounds"},
      {.path = "scrub.bytes",
       .kind = Kind::kNumber,
       .min = 4096,
       .max = 1e10,
       .unit = "bytes a second",
       .default_value = "8388608.0",
       .description = "maximum rate of bytes that the scrub reads from a target"},
      {.path = "scrub.requests",
       .kind = Kind::kNumber,
       .min = 0.1,
       .max = 1e5,
       .unit = "requests a second",
       .default_value = "100.0",
       .description = "maximum rate of requests that the scrub sends to a target"},
      {.path = "scrub.in_flight",
       .kind = Kind::kInteger,
       .min = 1,
       .max = 16,
       .unit = "requests",
       .default_value = "1",
       .description = "maximum number of the scrub's requests in flight at a target"},
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
       .description =
           "minimum rate of the scrub's requests, guaranteed under any load; 0: the scrub may stop"},
      {.path = "scrub.wish",
       .kind = Kind::kNumber,
       .min = 0,
       .max = 3650,
       .unit = "days",
       .default_value = "7.0",
       .description = "goal for the duration of a round, in which the scrub reads every block; 0: no goal"},
      {.path = "scrub.most_missed",
       .kind = Kind::kNumber,
       .min = 0,
       .max = 1,
       .default_value = "0.02",
       .description = "fraction of clients' requests that may miss their latency objective before the scrub "
                      "slows down to scrub.floor"},
  };
}

std::vector<config::Key> NbdKeys() {
  return {
      TextKey("nbd.file", kMaxPathBytes,
              "configuration file of the NBD front end, like the option --nbd; empty: no NBD front end"),
  };
}

std::vector<config::Key> FleetKeys() {
  return {
      TextKey("fleet.id", kMaxNameBytes, "name of the fleet; empty: no fleet"),
      TextKey("fleet.name", kMaxNameBytes, "name of this initiator, unique in the fleet"),
      TextKey("fleet.listen", kMaxNameBytes,
              "UDP address that this initiator listens on: host:port with a numeric host"),
      TextKey("fleet.advertise", kMaxNameBytes,
              "address where other members reach this initiator: host:port; empty: fleet.listen"),
      TextKey("fleet.building", kMaxNameBytes, "name of the building that this initiator runs in"),
      TextKey("fleet.key_file", kMaxPathBytes,
              "file with the fleet's key of 16 to 4096 bytes; empty: datagrams carry no authentication tag"),
      {.path = "fleet.peers",
       .kind = Kind::kTexts,
       .max = kMaxNameBytes,
       .default_value = "[]",
       .description = "addresses (host:port) of the members that are contacted first"},
      {.path = "fleet.roster",
       .kind = Kind::kTexts,
       .min = 1,
       .max = kMaxNameBytes,
       .default_value = "[]",
       .description = "names of the 3, 5 or 7 members that decide by majority"},
      {.path = "fleet.period_ms",
       .kind = Kind::kInteger,
       .min = 10,
       .max = 10000,
       .unit = "ms",
       .default_value = "200",
       .description = "interval between probes of members"},
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
