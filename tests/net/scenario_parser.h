// The text form of scenarios: one step a line, words separated by spaces. See scenario_runner.h for the
// steps.
#ifndef WALNUTSPUR_TESTS_NET_SCENARIO_PARSER_H_
#define WALNUTSPUR_TESTS_NET_SCENARIO_PARSER_H_

#include <string>
#include <vector>

namespace walnutspur::test {

// One line of a scenario.
struct ScenarioStep {
  std::string line;
  std::vector<std::string> words;

  // The word at `index`; empty where the line is shorter.
  std::string Word(std::size_t index) const;
  // Whether the line has a word at `index`.
  bool HasWord(std::size_t index) const { return index < words.size(); }
  // The text in double quotes, with the escapes \r, \n, \xNN and \" of C.
  std::string QuotedText() const;
};

// The steps of a scenario in order; blank lines are skipped.
std::vector<ScenarioStep> ParseScenario(const std::string& scenario);

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_NET_SCENARIO_PARSER_H_
