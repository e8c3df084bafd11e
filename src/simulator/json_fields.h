// Typed access to the fields of the simulator's JSON messages.
//
// Stateless; an absent value is null or missing altogether.
#ifndef WALNUTSPUR_SIMULATOR_JSON_FIELDS_H_
#define WALNUTSPUR_SIMULATOR_JSON_FIELDS_H_

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

namespace walnutspur::simulator {

// A message violates the simulator's protocol.
class ProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The value of a field, or nothing if it is absent.
template <typename T>
std::optional<T> OptionalField(const nlohmann::json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end() || it->is_null()) {
    return std::nullopt;
  }
  return it->get<T>();
}

// The value of a field, or `default_value` if it is absent.
template <typename T>
T FieldOr(const nlohmann::json& object, const char* key, T default_value) {
  const auto it = object.find(key);
  return it == object.end() || it->is_null() ? default_value : it->get<T>();
}

// The value of a field. Throws ProtocolError if it is absent.
template <typename T>
T RequiredField(const nlohmann::json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end() || it->is_null()) {
    throw ProtocolError("missing field '" + std::string(key) + "'");
  }
  return it->get<T>();
}

// A word of the protocol and the value that it represents.
template <typename T>
struct Word {
  const char* text;
  T value;
};

// The value that a word represents. Throws ProtocolError if it is none of `words`.
template <typename T>
T ParseWord(const std::string& text, std::initializer_list<Word<T>> words) {
  for (const Word<T>& word : words) {
    if (text == word.text) {
      return word.value;
    }
  }
  throw ProtocolError("unknown word '" + text + "'");
}

}  // namespace walnutspur::simulator

#endif  // WALNUTSPUR_SIMULATOR_JSON_FIELDS_H_
