// Holds the rules of the platform against an event log, and against nothing else: it shares no state with
// what made the log, so it can be wrong only by itself. tests/lab break each rule on purpose.
#ifndef WALNUTSPUR_LAB_SIM_CHECKER_H_
#define WALNUTSPUR_LAB_SIM_CHECKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/sim/log.h"

namespace walnutspur::lab {

struct Breach {
  std::string rule;
  Entry entry;       // by which it showed
  std::string what;  // one line
};

class Checker {
 public:
  static constexpr Time kLate = 20'000;  // us after its deadline that an answer may come

  void Take(const Entry& entry);
  // The first of each rule, and how many there were.
  const std::vector<Breach>& breaches() const { return first_; }
  const std::map<std::string, std::uint64_t>& counts() const { return counts_; }
  bool clean() const { return counts_.empty(); }

 private:
  struct Trial {
    int box = -1;
    bool known = false;     // its outcome is
    bool may_have = false;  // run, by that outcome
    bool ran = false;       // and by what the box did
  };
  struct Request {
    int initiator = -1;
    std::int64_t cell = -1, units = 0;
    Time deadline = 0;
    bool unsafe = false, answered = false, begun = false;
    int runs = 0;
    std::vector<Trial> trials;
  };
  struct Heard {  // by an initiator, of a box
    EndpointState phase = EndpointState::kTerminated;
    Time since = 0;
    std::int64_t cell = -1;
  };
  struct Class {
    bool unsafe = false;
    Time deadline = 0;
  };

  void Break(const char* rule, const Entry& entry, std::string what);
  Request* Find(const Entry& entry);
  void OnSend(const Entry& entry);
  void OnAnswer(const Entry& entry);
  void Settle(std::int64_t number);

  Time now_ = 0;
  std::int64_t try_limit_ = 1;
  Time grace_ = 0;
  bool ended_ = false;
  std::map<std::int64_t, Class> classes_;
  std::unordered_map<std::int64_t, Request> requests_;
  std::unordered_map<std::int64_t, Heard> heard_;  // by initiator and box
  std::map<int, std::int64_t> held_;               // units at each box
  std::vector<Breach> first_;
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_SIM_CHECKER_H_
