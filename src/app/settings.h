// The settings file: an optional TOML file beside the platform's configuration. Without it the program
// behaves as the platform specifies.
//
// Read once, before the Initiator is constructed.
#ifndef WALNUTSPUR_APP_SETTINGS_H_
#define WALNUTSPUR_APP_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "app/settings_keys.h"
#include "checksummed/scrub.h"
#include "fleet/fleet.h"
#include "http/config.h"
#include "log/log.h"

namespace walnutspur::app {

struct Settings {
  log::Options log;
  http::DigestOptions digests;
  std::string folder;  // holds corruption ledger, scrub cursors and control socket; empty: none of them
  checksummed::ScrubOptions scrub;
  std::optional<fleet::FleetOptions> fleet;  // empty: not a member of a fleet
  std::string nbd;                           // configuration file of the NBD front end; empty: none
};

// Throws ConfigError with the first problem: file, line, key, what is wrong and what is allowed.
Settings LoadSettings(const std::string& path);

// All problems of a file, a line each; empty: it is valid. A file of JSON is checked as the platform's
// configuration, one with [commands], [[box]] or [[export]] as that of an NBD front end, any other as a
// settings file.
std::vector<std::string> CheckFile(const std::string& path);

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_SETTINGS_H_
