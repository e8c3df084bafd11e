// Remembers the shards at which new objects were stored, for the reads that follow.
//
// A client may have formed a read before it learned where the object was stored, and name another shard,
// whose target would turn the read away. Owned by the SchedulerState, used on the scheduler thread.
#ifndef WALNUTSPUR_DECISION_OBJECT_LOCATIONS_H_
#define WALNUTSPUR_DECISION_OBJECT_LOCATIONS_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace walnutspur::decision {

// Returns the name of an object among those of all volumes.
inline std::string ObjectName(const std::string& volume, const std::string& key) {
  return volume + "/" + key;
}

// Maximum number of objects; the one that was stored first is forgotten.
constexpr std::size_t kMaxObjectLocations = 4096;

class ObjectLocations {
 public:
  // Records that a target of `shard` has stored a new object.
  void Add(const std::string& name, int shard);

  // Returns the shard of an object that this instance has stored, or nullopt.
  std::optional<int> Find(const std::string& name) const;

 private:
  std::map<std::string, int> shards_;  // by the object's name
  std::deque<std::string> order_;
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_OBJECT_LOCATIONS_H_
