// Reads single values according to the schema; internal to this folder.
//
// Stateless.
#ifndef WALNUTSPUR_CONFIG_VALUE_READER_H_
#define WALNUTSPUR_CONFIG_VALUE_READER_H_

#include <toml++/toml.h>

#include <optional>
#include <string>

#include "config/schema.h"

namespace walnutspur::config {

// A value, or an error if the value is invalid.
struct ValueResult {
  std::optional<Value> value;
  std::string error;
};

// Reads the value of a key and checks its type, range and allowed words.
ValueResult ReadValue(const Key& key, const toml::node& node);

}  // namespace walnutspur::config

#endif  // WALNUTSPUR_CONFIG_VALUE_READER_H_
