// Reads TOML files according to a schema: type, range, allowed words, default and unit of each key. Each
// owner of settings defines a table of its keys.
//
// A document is read completely, and all its problems are reported, each with line and key, before any value
// is used. Stateless; callable from any thread.
#ifndef WALNUTSPUR_CONFIG_SCHEMA_H_
#define WALNUTSPUR_CONFIG_SCHEMA_H_

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace walnutspur::config {

// The type of a key's values. kTexts: an array of strings.
enum class Kind { kBool, kInteger, kNumber, kText, kTexts };

// One key. Its path is dotted; "box[].id" is the key "id" of each table [[box]].
struct Key {
  std::string path;
  Kind kind = Kind::kText;
  double min = 0;                               // minimum of a number, or of the length of a text in bytes
  double max = 0;                               // maximum, as for `min`; 0: no limit on the length of texts
  std::string unit = {};                        // unit of a number, such as "s" or "bytes"; empty: none
  std::string default_value = {};               // default, as written in a file; empty: none
  std::vector<std::string> allowed_words = {};  // the allowed texts; empty: any
  bool required = false;                        // a file without the key is invalid
  std::string description = {};                 // printed by FormatExample
};

// An error in a document.
struct Problem {
  int line = 0;     // line number, from 1; 0: the complete file
  std::string key;  // path of the key; empty: no single key
  std::string error;
};

using Value = std::variant<bool, std::int64_t, double, std::string, std::vector<std::string>>;

// The values of one table, by the paths of their keys. A value has the type of the schema; reading it as
// another throws std::bad_variant_access, except that an integer may be read as a number.
struct Table {
  std::map<std::string, Value> values;               // includes defaults
  std::map<std::string, int> lines;                  // line number of each key; 0: default
  std::map<std::string, std::vector<Table>> tables;  // of each [[name]], in the order of the file

  bool Has(const std::string& path) const { return values.contains(path); }
  bool Bool(const std::string& path) const { return std::get<bool>(values.at(path)); }
  std::int64_t Integer(const std::string& path) const { return std::get<std::int64_t>(values.at(path)); }
  double Number(const std::string& path) const;
  const std::string& Text(const std::string& path) const { return std::get<std::string>(values.at(path)); }
  const std::vector<std::string>& Texts(const std::string& path) const {
    return std::get<std::vector<std::string>>(values.at(path));
  }
};

// The result of reading a document.
struct Document {
  Table root;
  std::vector<Problem> problems;  // in the order of their lines; empty: the document is valid
};

// Reads TOML text. Missing keys get their defaults. Invalid text results in problems, never in an exception.
Document Read(const std::string& text, const std::vector<Key>& keys);

// Reads a file. A file that cannot be read results in a problem with line 0.
Document ReadFile(const std::string& path, const std::vector<Key>& keys);

// Formats a problem as "FILE:LINE: KEY: ERROR"; omits the line or the key if the problem has none.
std::string FormatProblem(const std::string& file, const Problem& problem);

// Returns a description of the values that a key allows, such as "a number from 0.01 to 2.5 s".
std::string DescribeAllowed(const Key& key);

// Returns the word of `known` with the smallest edit distance (Levenshtein) to `word`; empty if none is
// similar.
std::string NearestWord(const std::string& word, const std::vector<std::string>& known);

// Returns a commented TOML file with all keys and their defaults.
std::string FormatExample(const std::vector<Key>& keys);

}  // namespace walnutspur::config

#endif  // WALNUTSPUR_CONFIG_SCHEMA_H_
