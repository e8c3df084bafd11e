#include "scenario_parser.h"

#include <sstream>

namespace walnutspur::test {
namespace {

std::vector<std::string> SplitWords(const std::string& line) {
  std::istringstream in(line);
  std::vector<std::string> words;
  for (std::string word; in >> word;) {
    words.push_back(word);
  }
  return words;
}

char EscapedCharacter(char letter) {
  switch (letter) {
    case 'r':
      return '\r';
    case 'n':
      return '\n';
    default:
      return letter;
  }
}

}  // namespace

std::string ScenarioStep::Word(std::size_t index) const { return HasWord(index) ? words[index] : ""; }

std::string ScenarioStep::QuotedText() const {
  constexpr std::size_t kHexDigits = 2;
  std::string text;
  for (std::size_t i = line.find('"') + 1; i < line.size() && line[i] != '"'; ++i) {
    if (line[i] != '\\') {
      text += line[i];
      continue;
    }
    ++i;
    if (line[i] == 'x') {
      text += static_cast<char>(std::stoi(line.substr(i + 1, kHexDigits), nullptr, 16));
      i += kHexDigits;
    } else {
      text += EscapedCharacter(line[i]);
    }
  }
  return text;
}

std::vector<ScenarioStep> ParseScenario(const std::string& scenario) {
  std::vector<ScenarioStep> steps;
  std::istringstream lines(scenario);
  for (std::string line; std::getline(lines, line);) {
    std::vector<std::string> words = SplitWords(line);
    if (!words.empty()) {
      steps.push_back({line, std::move(words)});
    }
  }
  return steps;
}

}  // namespace walnutspur::test
