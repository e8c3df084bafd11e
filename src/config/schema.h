// A schema for TOML files: type, range, allowed words, default and unit of each key. It defines no keys of
// its own; each owner of settings has a table of them.
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

// The type of a key's values. kTexts: a list of texts.
enum class Kind { kBool, kInteger, kNumber, kText, kTexts };

// One key. Its path is dotted; "box[].id" is the key of each table of [[box]].
struct Key {
  std::string path;
  Kind kind = Kind::kText;
  double min = 0;                               // of numbers, and of the length of texts in bytes
  double max = 0;                               // likewise; 0: texts are unbounded
  std::string unit = {};                        // of numbers: "s", "bytes"; empty: none
  std::string default_value = {};               // as written in a file; empty: none
  std::vector<std::string> allowed_words = {};  // the only texts allowed; empty: any
  bool required = false;                        // a file without the key has a problem
  std::string description = {};                 // printed by FormatExample
};

// What is wrong with a document.
struct Problem {
  int line = 0;     // from 1; 0: the file as such
  std::string key;  // its path; empty: no single key
  std::string error;
};

using Value = std::variant<bool, std::int64_t, double, std::string, std::vector<std::string>>;

// The values of one table, by the paths of their keys. A value has the type of the schema; reading it as
// another throws std::bad_variant_access, except that an integer may be read as a number.
struct Table {
  std::map<std::string, Value> values;               // defaults included
  std::map<std::string, int> lines;                  // of the keys in the file; 0: default
  std::map<std::string, std::vector<Table>> tables;  // of [[name]], in order

  bool Has(const std::string& path) const { return values.contains(path); }
  bool Bool(const std::string& path) const { return std::get<bool>(values.at(path)); }
  std::int64_t Integer(const std::string& path) const { return std::get<std::int64_t>(values.at(path)); }
  double Number(const std::string& path) const;
  const std::string& Text(const std::string& path) const { return std::get<std::string>(values.at(path)); }
  const std::vector<std::string>& Texts(const std::string& path) const {
    return std::get<std::vector<std::string>>(values.at(path));
  }
};

// A document that has been read.
struct Document {
  Table root;
  std::vector<Problem> problems;  // in the order of lines; empty: the document is valid
};

// Reads TOML text. Missing keys get their defaults. Invalid text results in problems, never in an exception.
Document Read(const std::string& text, const std::vector<Key>& keys);

// Reads a file; a file that cannot be read is a problem of line 0.
Document ReadFile(const std::string& path, const std::vector<Key>& keys);

// Formats a problem as "FILE:LINE: KEY: WHAT", without line or key where there is none.
std::string FormatProblem(const std::string& file, const Problem& problem);

// Describes the values that a key allows: "a number from 0.01 to 2.5 s".
std::string DescribeAllowed(const Key& key);

// The word of `known` with the least edit distance (Levenshtein) to `word`; empty if none is similar.
std::string NearestWord(const std::string& word, const std::vector<std::string>& known);

// A commented TOML file with all keys and their defaults.
std::string FormatExample(const std::vector<Key>& keys);

}  // namespace walnutspur::config

#endif  // WALNUTSPUR_CONFIG_SCHEMA_H_
