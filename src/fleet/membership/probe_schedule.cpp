#include "fleet/membership/probe_schedule.h"

#include <algorithm>
#include <utility>

namespace walnutspur::fleet {

void ProbeSchedule::Add(const std::string& name) {
  const std::size_t index = draw_(round_.size() + 1);
  round_.insert(round_.begin() + static_cast<std::ptrdiff_t>(index), name);
}

void ProbeSchedule::ProbeOutOfTurnOnce(const std::string& name) {
  if (std::find(out_of_turn_.begin(), out_of_turn_.end(), name) == out_of_turn_.end()) {
    ProbeOutOfTurn(name);
  }
}

std::string ProbeSchedule::Next() {
  while (!out_of_turn_.empty()) {
    std::string name = out_of_turn_.front();
    out_of_turn_.pop_front();
    if (IsProbeable(name)) {
      return name;
    }
  }
  // Two attempts: all remaining members of this round may be dead, and the new round may be empty.
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (!round_.empty()) {
      std::string name = round_.back();
      round_.pop_back();
      if (IsProbeable(name)) {
        return name;
      }
    }
    StartRound();
  }
  return "";
}

bool ProbeSchedule::IsProbeable(const std::string& name) const {
  const Record* record = table_.Find(name);
  return record != nullptr && !IsDead(record->state) && name != table_.self_name();
}

void ProbeSchedule::StartRound() {
  for (const auto& [name, entry] : table_.entries()) {
    if (IsProbeable(name)) {
      round_.push_back(name);
    }
  }
  for (std::size_t i = round_.size(); i > 1; --i) {
    std::swap(round_[i - 1], round_[draw_(i)]);
  }
}

}  // namespace walnutspur::fleet
