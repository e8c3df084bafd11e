// Size of the decision module. Its users print it, so all files that the deploy file names under `policy`
// have at most 940 lines together that are not blank, none over 110 characters.
#include <gtest/gtest.h>
#include <toml++/toml.h>

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <set>
#include <string>
#include <vector>

namespace {

constexpr std::size_t kMostColumns = 110;
constexpr std::size_t kMostLines = 940;    // that are not blank, over all files
constexpr std::size_t kFewestLines = 100;  // fewer: the list does not name the module

const std::string kRoot = WALNUTSPUR_ROOT;

// The paths that the deploy file lists under `key`, relative to the root.
std::vector<std::string> ListedPaths(const std::string& key) {
  const toml::table deploy = toml::parse_file(kRoot + "/deploy/balancer.toml");
  std::vector<std::string> paths;
  if (const toml::array* listed = deploy[key].as_array()) {
    for (const toml::node& path : *listed) {
      paths.push_back(path.value<std::string>().value());
    }
  }
  return paths;
}

// Lines of a file.
std::vector<std::string> Lines(const std::string& path) {
  std::ifstream in(kRoot + "/" + path);
  EXPECT_TRUE(in) << path;
  std::vector<std::string> lines;
  for (std::string line; std::getline(in, line);) {
    lines.push_back(line);
  }
  return lines;
}

bool IsBlank(const std::string& line) { return line.find_first_not_of(" \t\r") == std::string::npos; }

// Counts the lines of a file that are not blank, and checks the width of all.
std::size_t CountAndCheckLines(const std::string& path) {
  std::size_t number = 0;
  std::size_t count = 0;
  for (const std::string& line : Lines(path)) {
    ++number;
    count += IsBlank(line) ? 0 : 1;
    EXPECT_LE(line.size(), kMostColumns) << path << ":" << number;
  }
  return count;
}

}  // namespace

TEST(ModuleSize, LinesAndWidth) {
  const std::vector<std::string> paths = ListedPaths("policy");
  ASSERT_FALSE(paths.empty());
  std::size_t count = 0;
  for (const std::string& path : paths) {
    count += CountAndCheckLines(path);
  }
  EXPECT_GT(count, kFewestLines);
  EXPECT_LE(count, kMostLines);
}

// No file of the module escapes the count unseen: each is listed as policy or, if it decides nothing, as
// node.
TEST(ModuleSize, EachFileIsListedOnce) {
  std::multiset<std::string> listed;
  for (const std::string key : {"policy", "node"}) {
    for (const std::string& path : ListedPaths(key)) {
      listed.insert(path);
    }
  }
  EXPECT_EQ(listed.count("src/decision"), 0U);
  for (const auto& entry : std::filesystem::directory_iterator(kRoot + "/src/decision")) {
    const std::string path = "src/decision/" + entry.path().filename().string();
    EXPECT_EQ(listed.count(path), 1U) << path;
  }
}

TEST(ModuleSize, TheInterfaceIsNamedAtTheTop) {
  std::ifstream in(kRoot + "/src/decision/scheduler.cpp");
  std::string line;
  std::getline(in, line);
  EXPECT_NE(line.find("include/walnutspur/scheduler.h"), std::string::npos);
}
