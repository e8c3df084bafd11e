// Parses the text of a scenario: one step per line, words separated by spaces. scenario_runner.h lists the
// steps.
#ifndef WALNUTSPUR_TESTS_NET_SCENARIO_PARSER_H_
#define WALNUTSPUR_TESTS_NET_SCENARIO_PARSER_H_

#include <string>
#include <vector>

namespace walnutspur::test {

// One step of a scenario.
struct ScenarioStep {
  std::string line;
  std::vector<std::string> words;

  // Returns the word at `index`, or an empty string if the line has fewer words.
  std::string Word(std::size_t index) const;
  // Returns whether the line has a word at `index`.
  bool HasWord(std::size_t index) const { return index < words.size(); }
  // Returns the text in double quotes, with the C escapes \r, \n, \xNN and \" decoded.
  std::string QuotedText() const;
};

// Returns the steps of a scenario in order. Blank lines are skipped.
std::vector<ScenarioStep> ParseScenario(const std::string& scenario);

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_NET_SCENARIO_PARSER_H_
