// The scheduler's source stays short enough to print: at most 940 lines that are not blank, none over 110
// columns.
#include <gtest/gtest.h>

#include <fstream>
#include <string>

TEST(ModuleSize, LinesAndWidth) {
  std::ifstream in(std::string(WALNUTSPUR_ROOT) + "/src/decision/scheduler.cpp");
  ASSERT_TRUE(in);
  int lines = 0;
  int number = 0;
  for (std::string line; std::getline(in, line);) {
    ++number;
    EXPECT_LE(line.size(), 110u) << "line " << number;
    lines += line.find_first_not_of(" \t\r") != std::string::npos;
  }
  EXPECT_GT(lines, 100);
  EXPECT_LE(lines, 940);
}

TEST(ModuleSize, TheInterfaceIsNamedAtTheTop) {
  std::ifstream in(std::string(WALNUTSPUR_ROOT) + "/src/decision/scheduler.cpp");
  std::string line;
  std::getline(in, line);
  EXPECT_NE(line.find("include/walnutspur/scheduler.h"), std::string::npos);
}
