#include "config/value_reader.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <sstream>
#include <utility>
#include <vector>

namespace walnutspur::config {
namespace {

constexpr int kSignificantDigits = 12;  // of numbers in messages

ValueResult Invalid(std::string error) { return {std::nullopt, std::move(error)}; }
ValueResult Valid(Value value) { return {std::move(value), ""}; }

bool InRange(const Key& key, double value) { return value >= key.min && value <= key.max; }

bool IsAllowedText(const Key& key, const std::string& text) {
  if (key.max > 0 && !InRange(key, static_cast<double>(text.size()))) {
    return false;
  }
  return key.allowed_words.empty() ||
         std::find(key.allowed_words.begin(), key.allowed_words.end(), text) != key.allowed_words.end();
}

ValueResult ReadBool(const toml::node& node) {
  if (!node.is_boolean()) {
    return Invalid("not a boolean");
  }
  return Valid(node.as_boolean()->get());
}

ValueResult ReadInteger(const Key& key, const toml::node& node) {
  if (!node.is_integer()) {
    return Invalid("not an integer");
  }
  const std::int64_t value = node.as_integer()->get();
  if (!InRange(key, static_cast<double>(value))) {
    return Invalid(std::to_string(value) + " is out of range");
  }
  return Valid(value);
}

ValueResult ReadNumber(const Key& key, const toml::node& node) {
  if (!node.is_number()) {
    return Invalid("not a number");
  }
  const double value = *node.value<double>();
  if (!std::isfinite(value) || !InRange(key, value)) {
    return Invalid("value out of range");
  }
  return Valid(value);
}

ValueResult ReadText(const Key& key, const toml::node& node) {
  if (!node.is_string()) {
    return Invalid("not a string");
  }
  const std::string& value = node.as_string()->get();
  if (!IsAllowedText(key, value)) {
    return Invalid("\"" + value + "\" is not allowed");
  }
  return Valid(value);
}

ValueResult ReadTexts(const Key& key, const toml::node& node) {
  const toml::array* items = node.as_array();
  if (items == nullptr) {
    return Invalid("not an array of strings");
  }
  std::vector<std::string> values;
  for (const toml::node& item : *items) {
    if (!item.is_string()) {
      return Invalid("not an array of strings");
    }
    values.push_back(item.as_string()->get());
    if (!IsAllowedText(key, values.back())) {
      return Invalid("element \"" + values.back() + "\" is not allowed");
    }
  }
  return Valid(values);
}

std::string FormatNumber(double value) {
  std::ostringstream text;
  text.precision(kSignificantDigits);
  text << value;
  return text.str();
}

std::string DescribeRange(const Key& key) {
  return "from " + FormatNumber(key.min) + " to " + FormatNumber(key.max) +
         (key.unit.empty() ? "" : " " + key.unit);
}

std::string DescribeText(const Key& key, const std::string& words) {
  if (!words.empty()) {
    return "one of " + words;
  }
  if (key.max > 0) {
    return "a string of " + FormatNumber(key.min) + " to " + FormatNumber(key.max) + " bytes";
  }
  return "a string";
}

}  // namespace

ValueResult ReadValue(const Key& key, const toml::node& node) {
  switch (key.kind) {
    case Kind::kBool:
      return ReadBool(node);
    case Kind::kInteger:
      return ReadInteger(key, node);
    case Kind::kNumber:
      return ReadNumber(key, node);
    case Kind::kText:
      return ReadText(key, node);
    case Kind::kTexts:
      return ReadTexts(key, node);
  }
  return Invalid("the schema defines no type for this key");
}

std::string DescribeAllowed(const Key& key) {
  std::string words;
  for (const std::string& word : key.allowed_words) {
    words += (words.empty() ? "\"" : ", \"") + word + "\"";
  }
  switch (key.kind) {
    case Kind::kBool:
      return "true or false";
    case Kind::kInteger:
      return "an integer " + DescribeRange(key);
    case Kind::kNumber:
      return "a number " + DescribeRange(key);
    case Kind::kText:
      return DescribeText(key, words);
    case Kind::kTexts:
      return words.empty() ? "an array of strings" : "an array of " + words;
  }
  return "";
}

}  // namespace walnutspur::config
