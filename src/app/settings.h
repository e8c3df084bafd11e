// Reads the settings file, an optional TOML file in addition to the platform's configuration. Without it the
// program behaves as the platform specifies.
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
  std::string folder;  // holds corruption log, scrub cursors and control socket; empty: none of them
  checksummed::ScrubOptions scrub;
  std::optional<fleet::FleetOptions> fleet;  // empty: not a member of a fleet
  std::string nbd;                           // configuration file of the NBD front end; empty: none
};

// Reads a settings file. Throws ConfigError with its first problem: file, line, key, error and allowed
// values.
Settings LoadSettings(const std::string& path);

// Returns all problems of a file, one line each; empty if the file is valid. A JSON file is checked as the
// platform's configuration, a file with [commands], [[box]] or [[export]] as the configuration of an NBD
// front end, and any other file as a settings file.
std::vector<std::string> CheckFile(const std::string& path);

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_SETTINGS_H_
