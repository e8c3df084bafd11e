#include "lab/fleet/cluster_invariants.h"

#include <algorithm>
#include <map>

namespace walnutspur::lab {
namespace {

// Maximum running members of which every table is checked in full; in larger clusters one table is, and the
// others by their hash.
constexpr std::size_t kMaxFullChecks = 50;

using RunningMembers = std::map<std::string, const SimulatedMember*>;

std::string CheckRunningMembersAlive(const SimulatedMember& member, const RunningMembers& running) {
  for (const auto& [name, other] : running) {
    const auto known = member.membership->members().find(name);
    if (known == member.membership->members().end()) {
      return member.name + " has no record of " + name;
    }
    const fleet::Record& record = known->second.record;
    if (record.state != fleet::MemberState::kAlive) {
      return member.name + " reports " + name + " as " + fleet::StateName(record);
    }
    if (record.incarnation != other->membership->self().incarnation) {
      return member.name + " has an outdated incarnation of " + name;
    }
  }
  return "";
}

std::string CheckOthersDead(const SimulatedMember& member, const RunningMembers& running) {
  for (const auto& [name, entry] : member.membership->members()) {
    if (!running.contains(name) && !fleet::IsDead(entry.record.state)) {
      return member.name + " reports " + name + ", which is not running, as " +
             fleet::StateName(entry.record);
    }
  }
  return "";
}

std::string CheckReplica(const SimulatedMember& member) {
  for (const auto& [name, entry] : member.membership->members()) {
    const auto replicated = member.replica.find(name);
    if (replicated == member.replica.end() || replicated->second.state != entry.record.state ||
        replicated->second.incarnation != entry.record.incarnation) {
      return "the changes that " + member.name + " reported differ from its table in the record of " + name;
    }
  }
  return "";
}

std::string CheckTable(const SimulatedMember& member, const RunningMembers& running) {
  std::string violation = CheckRunningMembersAlive(member, running);
  if (violation.empty()) {
    violation = CheckOthersDead(member, running);
  }
  if (violation.empty()) {
    violation = CheckReplica(member);
  }
  return violation;
}

}  // namespace

std::string FindViolation(const std::vector<SimulatedMember>& members) {
  RunningMembers running;
  for (const SimulatedMember& member : members) {
    if (member.running()) {
      running[member.name] = &member;
    }
  }
  const SimulatedMember* first = running.empty() ? nullptr : running.begin()->second;
  for (const auto& [name, member] : running) {
    if (member->membership->hash() != first->membership->hash()) {
      return name + " has a different table from " + first->name;
    }
    if (member->membership->suspect_count() > 0) {
      return name + " has a suspect member in its table";
    }
    if (member != first && running.size() > kMaxFullChecks) {
      continue;
    }
    std::string violation = CheckTable(*member, running);
    if (!violation.empty()) {
      return violation;
    }
  }
  return "";
}

bool IsDeadEverywhere(const std::vector<SimulatedMember>& members, const std::string& name) {
  return std::all_of(members.begin(), members.end(), [&name](const SimulatedMember& member) {
    if (!member.running()) {
      return true;
    }
    const auto known = member.membership->members().find(name);
    return known == member.membership->members().end() || fleet::IsDead(known->second.record.state);
  });
}

}  // namespace walnutspur::lab
