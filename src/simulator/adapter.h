// The bench's wire: JSON lines to events, actions to JSON lines. No decision is taken here.
#ifndef WALNUTSPUR_SIMULATOR_WIRE_H_
#define WALNUTSPUR_SIMULATOR_WIRE_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "walnutspur/scheduler.h"

namespace walnutspur::wire {

Settings ParseSettings(const nlohmann::json& settings);

// Hosts the instances of one process and plays batches to them. Malformed input throws std::exception.
class Host {
 public:
  // Takes one line. Returns true when it ended a batch, with the reply in `reply`.
  bool Line(const std::string& line, std::string* reply);
  bool InBatch() const { return in_batch_; }

 private:
  void Play(int instance, const Event& event);

  bool in_batch_ = false;
  Time now_ = 0;
  std::string reply_;
  std::map<int, Scheduler> instances_;
  std::map<int, std::vector<Endpoint>> lists_;
};

}  // namespace walnutspur::wire

#endif  // WALNUTSPUR_SIMULATOR_WIRE_H_
