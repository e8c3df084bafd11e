// Our own settings: one TOML file beside the platform's configuration. Without it the program behaves as the
// platform's pages say.
#ifndef WALNUTSPUR_APP_SETTINGS_H_
#define WALNUTSPUR_APP_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "checksummed/scrub.h"
#include "config/schema.h"
#include "fleet/fleet.h"
#include "http/config.h"
#include "log/log.h"

namespace walnutspur::app {

struct Settings {
  log::Options log;
  http::DigestOptions digests;
  std::string folder;  // of the damage ledger
  checksummed::ScrubOptions scrub;
  std::optional<fleet::FleetOptions> fleet;  // nothing: there is none
  std::string nbd;                           // the file of the NBD front; empty: there is none
};

const std::vector<config::Key>& SettingsKeys();

// Throws std::runtime_error with the first problem as one line: file, line, key, what, what is allowed.
Settings LoadSettings(const std::string& path);

// All that is wrong with a file, a line each; empty: it holds. The file is taken for the platform's
// configuration if it is JSON, for an NBD front's if it has [commands], [[box]] or [[export]], and for our
// settings else.
std::vector<std::string> CheckFile(const std::string& path);

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_SETTINGS_H_
