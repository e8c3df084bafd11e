#include "app/settings_change.h"

#include <string>

#include "app/errors.h"

namespace walnutspur::app {
namespace {

using nlohmann::json;

// Returns whether a value of the type of `next` can take the place of `present`.
bool IsSameType(const json& present, const json& next) {
  if (present.is_null() || (present.is_number() && next.is_number())) {
    return true;
  }
  return present.type() == next.type();
}

std::string JoinPath(const std::string& path, const std::string& key) {
  std::string joined = path;
  joined += '.';
  joined += key;
  return joined;
}

// Returns an object with the keys that all objects of a list have; null if there is none.
json CommonKeys(const json& list) {
  json common;
  for (const json& element : list) {
    if (!element.is_object()) {
      continue;
    }
    if (common.is_null()) {
      common = element;
      continue;
    }
    for (auto at = common.begin(); at != common.end();) {
      at = element.contains(at.key()) ? std::next(at) : common.erase(at);
    }
  }
  return common;
}

void Check(const json& present, const json& next, const std::string& path) {
  if (!IsSameType(present, next)) {
    throw ConfigError("'" + path + "' is of type " + next.type_name() + "; allowed: " + present.type_name());
  }
  if (present.is_object()) {
    for (const auto& [key, value] : present.items()) {
      const auto found = next.find(key);
      const std::string key_path = JoinPath(path, key);
      if (found == next.end()) {
        throw ConfigError("'" + key_path + "' is missing");
      }
      Check(value, *found, key_path);
    }
    return;
  }
  if (!present.is_array()) {
    return;
  }
  const json common = CommonKeys(present);
  for (std::size_t i = 0; !common.is_null() && i < next.size(); ++i) {
    Check(common, next[i], path + "[" + std::to_string(i) + "]");
  }
}

}  // namespace

void CheckKeys(const json& present, const json& next) { Check(present, next, "settings"); }

}  // namespace walnutspur::app
