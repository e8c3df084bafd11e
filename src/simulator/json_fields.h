// Typed access to the fields of the simulator's JSON messages.
//
// Stateless. A field is absent if it is missing or null.
#ifndef WALNUTSPUR_SIMULATOR_JSON_FIELDS_H_
#define WALNUTSPUR_SIMULATOR_JSON_FIELDS_H_

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

namespace walnutspur::simulator {

// Thrown if a message violates the simulator's protocol.
class ProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns the value of a field, or nullopt if it is absent.
template <typename T>
std::optional<T> OptionalField(const nlohmann::json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end() || it->is_null()) {
    return std::nullopt;
  }
  return it->get<T>();
}

// Returns the value of a field, or `default_value` if it is absent.
template <typename T>
T FieldOr(const nlohmann::json& object, const char* key, T default_value) {
  const auto it = object.find(key);
  return it == object.end() || it->is_null() ? default_value : it->get<T>();
}

// Returns the value of a field. Throws ProtocolError if it is absent.
template <typename T>
T RequiredField(const nlohmann::json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end() || it->is_null()) {
    throw ProtocolError("missing field '" + std::string(key) + "'");
  }
  return it->get<T>();
}

// An enum value and its name in the protocol.
template <typename T>
struct EnumName {
  const char* text;
  T value;
};

// Returns the value whose name is `text`. Throws ProtocolError if `names` does not contain it.
template <typename T>
T ParseEnum(const std::string& text, std::initializer_list<EnumName<T>> names) {
  for (const EnumName<T>& name : names) {
    if (text == name.text) {
      return name.value;
    }
  }
  throw ProtocolError("unknown enum value '" + text + "'");
}

}  // namespace walnutspur::simulator

#endif  // WALNUTSPUR_SIMULATOR_JSON_FIELDS_H_
