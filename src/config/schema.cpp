#include "config/schema.h"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

namespace walnutspur::config {
namespace {

constexpr std::size_t kNear = 3;  // edits; a word further away is not what was meant

std::string Plain(double value) {
  std::ostringstream text;
  text.precision(12);
  text << value;
  return text.str();
}

// "box[].id" in the scope "box[]." is "id"; keys of other scopes are none of this table's.
bool InScope(const Key& key, const std::string& scope) {
  return key.path.starts_with(scope) && key.path.find("[].", scope.size()) == std::string::npos;
}

class Reader {
 public:
  explicit Reader(const std::vector<Key>& keys) : keys_(keys) {}

  // Reads the table at `scope` ("" or "box[].") into `out`; `prefix` is the dotted path inside of the scope.
  void Read(const toml::table& table, const std::string& scope, const std::string& prefix, Table* out) {
    for (const auto& [name, node] : table) {
      const std::string path = prefix + std::string(name.str());
      const int line = static_cast<int>(node.source().begin.line);
      if (const Key* key = Find(scope + path)) {
        Take(*key, path, node, line, out);
      } else if (node.is_table() && IsSection(scope + path + ".")) {
        Read(*node.as_table(), scope, path + ".", out);
      } else if (IsSection(scope + path + "[].")) {
        ReadTables(node, scope + path, path, line, out);
      } else {
        Unknown(scope, path, line);
      }
    }
  }

  void Fill(const std::string& scope, int line, Table* out) {
    for (const Key& key : keys_) {
      if (!InScope(key, scope)) continue;
      const std::string path = key.path.substr(scope.size());
      if (out->Has(path)) continue;
      if (!key.fallback.empty()) {
        const toml::table made = toml::parse("x = " + key.fallback);
        Take(key, path, *made.get("x"), 0, out);
      } else if (key.needed && !out->lines.contains(path)) {
        problems.push_back({line, key.path, "is missing; allowed is " + Allowed(key)});
      }
    }
  }

  std::vector<Problem> problems;

 private:
  const Key* Find(const std::string& path) const {
    const auto at = std::find_if(keys_.begin(), keys_.end(), [&](const Key& k) { return k.path == path; });
    return at == keys_.end() ? nullptr : &*at;
  }
  bool IsSection(const std::string& start) const {
    return std::any_of(keys_.begin(), keys_.end(), [&](const Key& k) { return k.path.starts_with(start); });
  }

  void ReadTables(const toml::node& node, const std::string& full, const std::string& path, int line,
                  Table* out) {
    const toml::array* items = node.as_array();
    if (!items) return problems.push_back({line, full, "must stand as [[" + full + "]]"});
    for (const toml::node& item : *items) {
      const int at = static_cast<int>(item.source().begin.line);
      if (!item.is_table()) {
        problems.push_back({at, full, "must stand as [[" + full + "]]"});
        continue;
      }
      Table& made = out->tables[path].emplace_back();
      Read(*item.as_table(), full + "[].", "", &made);
      Fill(full + "[].", at, &made);
    }
  }

  void Unknown(const std::string& scope, const std::string& path, int line) {
    std::vector<std::string> known;
    for (const Key& key : keys_) {
      if (InScope(key, scope)) known.push_back(key.path.substr(scope.size()));
    }
    const std::string near = Nearest(path, known);
    problems.push_back(
        {line, scope + path, near.empty() ? "is no known key" : "is no known key; the nearest is " + near});
  }

  void Take(const Key& key, const std::string& path, const toml::node& node, int line, Table* out) {
    const auto wrong = [&](const std::string& what) {
      problems.push_back({line, key.path, what + "; allowed is " + Allowed(key)});
    };
    out->lines[path] = line;  // it is there, be it wrong
    const auto in_range = [&](double value) { return value >= key.least && value <= key.most; };
    switch (key.kind) {
      case Kind::kBool:
        if (!node.is_boolean()) return wrong("is not true or false");
        out->values[path] = node.as_boolean()->get();
        break;
      case Kind::kInteger:
        if (!node.is_integer()) return wrong("is not a whole number");
        if (!in_range(static_cast<double>(node.as_integer()->get()))) return wrong("is out of range");
        out->values[path] = node.as_integer()->get();
        break;
      case Kind::kNumber: {
        if (!node.is_number()) return wrong("is not a number");
        const double value = *node.value<double>();
        if (!std::isfinite(value) || !in_range(value)) return wrong("is out of range");
        out->values[path] = value;
        break;
      }
      case Kind::kText: {
        if (!node.is_string()) return wrong("is not a text");
        const std::string& value = node.as_string()->get();
        if (!Fits(key, value)) return wrong("cannot be \"" + value + "\"");
        out->values[path] = value;
        break;
      }
      case Kind::kTexts: {
        const toml::array* items = node.as_array();
        std::vector<std::string> values;
        if (!items) return wrong("is not a list of texts");
        for (const toml::node& item : *items) {
          if (!item.is_string()) return wrong("is not a list of texts");
          values.push_back(item.as_string()->get());
          if (!Fits(key, values.back())) return wrong("cannot hold \"" + values.back() + "\"");
        }
        out->values[path] = values;
        break;
      }
    }
    out->lines[path] = line;
  }

  static bool Fits(const Key& key, const std::string& value) {
    if (key.most > 0 &&
        (static_cast<double>(value.size()) > key.most || static_cast<double>(value.size()) < key.least))
      return false;
    return key.words.empty() || std::find(key.words.begin(), key.words.end(), value) != key.words.end();
  }

  const std::vector<Key>& keys_;
};

}  // namespace

double Table::Number(const std::string& path) const {
  const Value& value = values.at(path);
  if (const auto* whole = std::get_if<std::int64_t>(&value)) return static_cast<double>(*whole);
  return std::get<double>(value);
}

std::string Nearest(const std::string& word, const std::vector<std::string>& known) {
  std::string best;
  std::size_t least = kNear + 1;
  for (const std::string& other : known) {
    std::vector<std::size_t> row(other.size() + 1);
    for (std::size_t i = 0; i <= other.size(); ++i) row[i] = i;
    for (std::size_t i = 1; i <= word.size(); ++i) {
      std::size_t diagonal = row[0];
      row[0] = i;
      for (std::size_t j = 1; j <= other.size(); ++j) {
        const std::size_t change = diagonal + (word[i - 1] != other[j - 1]);
        diagonal = row[j];
        row[j] = std::min({row[j] + 1, row[j - 1] + 1, change});
      }
    }
    // A short word is near to everything: at least half of it must stand.
    if (row.back() < least && row.back() * 2 <= other.size()) {
      least = row.back();
      best = other;
    }
  }
  return best;
}

std::string Allowed(const Key& key) {
  const std::string range =
      "from " + Plain(key.least) + " to " + Plain(key.most) + (key.unit.empty() ? "" : " " + key.unit);
  std::string words;
  for (const std::string& word : key.words) words += (words.empty() ? "" : ", ") + ("\"" + word + "\"");
  switch (key.kind) {
    case Kind::kBool:
      return "true or false";
    case Kind::kInteger:
      return "a whole number " + range;
    case Kind::kNumber:
      return "a number " + range;
    case Kind::kText:
      if (!words.empty()) return "one of " + words;
      return key.most > 0 ? "a text of " + Plain(key.least) + " to " + Plain(key.most) + " bytes" : "a text";
    case Kind::kTexts:
      return words.empty() ? "a list of texts" : "a list of " + words;
  }
  return "";
}

Document Read(const std::string& text, const std::vector<Key>& keys) {
  Document document;
  try {
    const toml::table root = toml::parse(text);
    Reader reader(keys);
    reader.Read(root, "", "", &document.root);
    reader.Fill("", 0, &document.root);
    document.problems = std::move(reader.problems);
    std::stable_sort(document.problems.begin(), document.problems.end(),
                     [](const Problem& a, const Problem& b) { return a.line < b.line; });
  } catch (const toml::parse_error& error) {
    std::string what(error.description());
    std::replace(what.begin(), what.end(), '\n', ' ');
    document.problems = {{static_cast<int>(error.source().begin.line), "", "is no TOML: " + what}};
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

std::string Line(const std::string& file, const Problem& problem) {
  return file + (problem.line > 0 ? ":" + std::to_string(problem.line) : "") + ": " +
         (problem.key.empty() ? "" : problem.key + ": ") + problem.what;
}

std::string Example(const std::vector<Key>& keys) {
  std::ostringstream out;
  std::string section;
  for (const Key& key : keys) {
    const std::size_t dot = key.path.rfind('.');
    std::string own = dot == std::string::npos ? "" : key.path.substr(0, dot);
    if (own != section) {
      section = own;
      const bool list = own.ends_with("[]");
      if (list) own.resize(own.size() - 2);
      out << (list ? "\n[[" : "\n[") << own << (list ? "]]\n" : "]\n");
    }
    out << "# " << key.about << "; " << Allowed(key) << "\n";
    out << (key.fallback.empty() ? "# " : "") << key.path.substr(dot == std::string::npos ? 0 : dot + 1)
        << " = " << (key.fallback.empty() ? "..." : key.fallback) << "\n";
  }
  return out.str();
}

}  // namespace walnutspur::config
