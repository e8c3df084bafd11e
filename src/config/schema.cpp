#include "config/schema.h"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>
#include <utility>

#include "config/value_reader.h"

namespace walnutspur::config {
namespace {

// Maximum edit distance at which a word is taken for a misspelling of a known word.
constexpr std::size_t kMaxEdits = 3;

// Returns whether the key belongs to the table of a scope: "box[].id" belongs to the scope "box[].", as "id".
bool InScope(const Key& key, const std::string& scope) {
  return key.path.starts_with(scope) && key.path.find("[].", scope.size()) == std::string::npos;
}

// Reads the tables of one document and collects their problems.
class Reader {
 public:
  explicit Reader(const std::vector<Key>& keys) : keys_(keys) {}

  // Reads the table of a scope ("" or "box[].") into `out`; `prefix` is the dotted path within the scope.
  void Read(const toml::table& table, const std::string& scope, const std::string& prefix, Table* out) {
    for (const auto& [name, node] : table) {
      const std::string path = prefix + std::string(name.str());
      const int line = static_cast<int>(node.source().begin.line);
      if (const Key* key = Find(scope + path)) {
        Store(*key, path, node, line, out);
      } else if (node.is_table() && IsSection(scope + path + ".")) {
        Read(*node.as_table(), scope, path + ".", out);
      } else if (IsSection(scope + path + "[].")) {
        ReadTables(node, scope + path, path, line, out);
      } else {
        ReportUnknown(scope, path, line);
      }
    }
  }

  // Adds the defaults of a scope to `out`, and a problem for each required key that is missing.
  void AddDefaults(const std::string& scope, int line, Table* out) {
    for (const Key& key : keys_) {
      if (!InScope(key, scope)) {
        continue;
      }
      const std::string path = key.path.substr(scope.size());
      if (out->Has(path)) {
        continue;
      }
      if (!key.default_value.empty()) {
        const toml::table parsed = toml::parse("x = " + key.default_value);
        Store(key, path, *parsed.get("x"), 0, out);
      } else if (key.required && !out->lines.contains(path)) {
        problems_.push_back({line, key.path, "missing; allowed: " + DescribeAllowed(key)});
      }
    }
  }

  std::vector<Problem> TakeProblems() { return std::exchange(problems_, {}); }

 private:
  const Key* Find(const std::string& path) const {
    const auto position =
        std::find_if(keys_.begin(), keys_.end(), [&path](const Key& key) { return key.path == path; });
    return position == keys_.end() ? nullptr : &*position;
  }

  bool IsSection(const std::string& start) const {
    return std::any_of(keys_.begin(), keys_.end(),
                       [&start](const Key& key) { return key.path.starts_with(start); });
  }

  void Store(const Key& key, const std::string& path, const toml::node& node, int line, Table* out) {
    out->lines[path] = line;  // even if the value is wrong: the key is not missing
    ValueResult result = ReadValue(key, node);
    if (result.value) {
      out->values[path] = std::move(*result.value);
    } else {
      problems_.push_back({line, key.path, result.error + "; allowed: " + DescribeAllowed(key)});
    }
  }

  void ReadTables(const toml::node& node, const std::string& full_path, const std::string& path, int line,
                  Table* out) {
    const std::string error = "must be an array of tables, written as [[" + full_path + "]]";
    const toml::array* items = node.as_array();
    if (items == nullptr) {
      problems_.push_back({line, full_path, error});
      return;
    }
    for (const toml::node& item : *items) {
      const int item_line = static_cast<int>(item.source().begin.line);
      if (!item.is_table()) {
        problems_.push_back({item_line, full_path, error});
        continue;
      }
      Table& table = out->tables[path].emplace_back();
      Read(*item.as_table(), full_path + "[].", "", &table);
      AddDefaults(full_path + "[].", item_line, &table);
    }
  }

  void ReportUnknown(const std::string& scope, const std::string& path, int line) {
    std::vector<std::string> known;
    for (const Key& key : keys_) {
      if (InScope(key, scope)) {
        known.push_back(key.path.substr(scope.size()));
      }
    }
    const std::string nearest = NearestWord(path, known);
    const std::string hint = nearest.empty() ? "" : "; the nearest known key is " + nearest;
    problems_.push_back({line, scope + path, "unknown key" + hint});
  }

  const std::vector<Key>& keys_;
  std::vector<Problem> problems_;
};

// Returns the edit distance (Levenshtein) of two words. Keeps one row of the distance table at a time.
std::size_t EditDistance(const std::string& word, const std::string& other) {
  std::vector<std::size_t> row(other.size() + 1);
  for (std::size_t i = 0; i <= other.size(); ++i) {
    row[i] = i;
  }
  for (std::size_t i = 1; i <= word.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= other.size(); ++j) {
      const std::size_t substitution = diagonal + (word[i - 1] != other[j - 1] ? 1 : 0);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
    }
  }
  return row.back();
}

// Returns an empty line and the header of a section of the example.
std::string SectionHeader(const std::string& section) {
  if (section.ends_with("[]")) {
    return "\n[[" + section.substr(0, section.size() - 2) + "]]\n";
  }
  return "\n[" + section + "]\n";
}

}  // namespace

double Table::Number(const std::string& path) const {
  const Value& value = values.at(path);
  if (const auto* integer = std::get_if<std::int64_t>(&value)) {
    return static_cast<double>(*integer);
  }
  return std::get<double>(value);
}

std::string NearestWord(const std::string& word, const std::vector<std::string>& known) {
  std::string best;
  std::size_t min_edits = kMaxEdits + 1;
  for (const std::string& other : known) {
    const std::size_t edits = EditDistance(word, other);
    // A short word is within a few edits of any other: at least half of it must be unchanged.
    if (edits < min_edits && edits * 2 <= other.size()) {
      min_edits = edits;
      best = other;
    }
  }
  return best;
}

Document Read(const std::string& text, const std::vector<Key>& keys) {
  Document document;
  try {
    const toml::table root = toml::parse(text);
    Reader reader(keys);
    reader.Read(root, "", "", &document.root);
    reader.AddDefaults("", 0, &document.root);
    document.problems = reader.TakeProblems();
    std::stable_sort(document.problems.begin(), document.problems.end(),
                     [](const Problem& a, const Problem& b) { return a.line < b.line; });
  } catch (const toml::parse_error& error) {
    std::string description(error.description());
    std::replace(description.begin(), description.end(), '\n', ' ');
    document.problems = {{static_cast<int>(error.source().begin.line), "", "invalid TOML: " + description}};
  }
  return document;
}

Document ReadFile(const std::string& path, const std::vector<Key>& keys) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    Document document;
    document.problems.push_back({0, "", "cannot be read"});
    return document;
  }
  return Read(text.str(), keys);
}

std::string FormatProblem(const std::string& file, const Problem& problem) {
  return file + (problem.line > 0 ? ":" + std::to_string(problem.line) : "") + ": " +
         (problem.key.empty() ? "" : problem.key + ": ") + problem.error;
}

std::string FormatExample(const std::vector<Key>& keys) {
  std::ostringstream out;
  std::string section;
  for (const Key& key : keys) {
    const std::size_t dot = key.path.rfind('.');
    const bool at_root = dot == std::string::npos;
    const std::string key_section = at_root ? "" : key.path.substr(0, dot);
    if (key_section != section) {
      section = key_section;
      out << SectionHeader(section);
    }
    const std::string name = at_root ? key.path : key.path.substr(dot + 1);
    out << "# " << key.description << "; " << DescribeAllowed(key) << "\n";
    if (key.default_value.empty()) {
      out << "# " << name << " = ...\n";
    } else {
      out << name << " = " << key.default_value << "\n";
    }
  }
  return out.str();
}

}  // namespace walnutspur::config
