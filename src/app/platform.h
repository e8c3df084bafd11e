// The configuration that the platform writes as JSON, read and checked whole.
#ifndef WALNUTSPUR_APP_PLATFORM_H_
#define WALNUTSPUR_APP_PLATFORM_H_

#include <nlohmann/json.hpp>
#include <string>

#include "http/config.h"

namespace walnutspur::app {

// Both throw std::exception with a message of one line.
http::Config ParseConfig(const nlohmann::json& json);
http::Config LoadConfig(const std::string& path);

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_PLATFORM_H_
