// Reads the platform's configuration of one initiator: a JSON file whose `settings` have the format of the
// simulator's protocol.
//
// Read before the Initiator is constructed, and again on a reload.
#ifndef WALNUTSPUR_APP_PLATFORM_H_
#define WALNUTSPUR_APP_PLATFORM_H_

#include <nlohmann/json.hpp>
#include <string>

#include "http/config.h"

namespace walnutspur::app {

// Parses a configuration. Throws std::exception with a one-line message if the configuration is invalid.
http::Config ParseConfig(const nlohmann::json& document);

// Reads and parses a file. Throws ConfigError with a message that names the file.
http::Config LoadConfig(const std::string& path);

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_PLATFORM_H_
