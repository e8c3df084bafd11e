// TOML files checked against a table of keys: type, range, words, default and unit of each. It knows no key
// of its own; who owns settings owns their table.
//
// A document is read whole and all that is wrong with it is told, each problem with line and key, before any
// of it holds.
#ifndef WALNUTSPUR_CONFIG_SCHEMA_H_
#define WALNUTSPUR_CONFIG_SCHEMA_H_

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace walnutspur::config {

enum class Kind { kBool, kInteger, kNumber, kText, kTexts };

// One key. Its path is dotted; "box[].id" is the key of each table of [[box]].
struct Key {
  std::string path;
  Kind kind = Kind::kText;
  double least = 0, most = 0;      // of numbers, and of the length of texts
  std::string unit;                // of numbers: "s", "bytes"; empty: plain
  std::string fallback;            // as it would stand in the file; empty: none
  std::vector<std::string> words;  // the only texts allowed; empty: any
  bool needed = false;
  std::string about;
};

struct Problem {
  int line = 0;  // from 1; 0: of the whole file
  std::string key, what;
};

using Value = std::variant<bool, std::int64_t, double, std::string, std::vector<std::string>>;

// The values of one table, by the key's path; those of [[name]] tables in `tables`, in their order.
struct Table {
  std::map<std::string, Value> values;
  std::map<std::string, int> lines;
  std::map<std::string, std::vector<Table>> tables;

  bool Has(const std::string& path) const { return values.contains(path); }
  // The value, or the fallback. Asking for a key as another kind than the schema's throws
  // std::bad_variant_access; an integer may be asked for as a number.
  bool Bool(const std::string& path) const { return std::get<bool>(values.at(path)); }
  std::int64_t Integer(const std::string& path) const { return std::get<std::int64_t>(values.at(path)); }
  double Number(const std::string& path) const;
  const std::string& Text(const std::string& path) const { return std::get<std::string>(values.at(path)); }
  const std::vector<std::string>& Texts(const std::string& path) const {
    return std::get<std::vector<std::string>>(values.at(path));
  }
};

struct Document {
  Table root;
  std::vector<Problem> problems;  // in the order of lines; empty: the document holds
};

// Reads TOML text. Missing keys get their fallbacks. Never throws for what the text says.
Document Read(const std::string& text, const std::vector<Key>& keys);

// Reads a file; one that cannot be read is a problem of line 0.
Document ReadFile(const std::string& path, const std::vector<Key>& keys);

// "FILE:LINE: KEY: WHAT", or without line where there is none.
std::string Line(const std::string& file, const Problem& problem);

// What a key allows, in words: "a number from 0.01 to 2.5 s".
std::string Allowed(const Key& key);

// The known word nearest to another by edits (Levenshtein's distance), or empty where none is near.
std::string Nearest(const std::string& word, const std::vector<std::string>& known);

// The table of keys as commented TOML with the defaults, for operators to start from.
std::string Example(const std::vector<Key>& keys);

}  // namespace walnutspur::config

#endif  // WALNUTSPUR_CONFIG_SCHEMA_H_
