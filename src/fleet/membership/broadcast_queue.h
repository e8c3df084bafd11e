// Class BroadcastQueue holds the updates that are being disseminated, each with its remaining number of
// transmissions. It stores the names of members; their records are read when they are sent. Owned by a
// MembershipState and used on its thread.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_BROADCAST_QUEUE_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_BROADCAST_QUEUE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace walnutspur::fleet {

class BroadcastQueue {
 public:
  // Queues an update about a member; replaces the remaining transmissions of an earlier update about it.
  void Enqueue(const std::string& name, int transmissions) { transmissions_[name] = transmissions; }
  void Remove(const std::string& name) { transmissions_.erase(name); }
  void Clear() { transmissions_.clear(); }
  bool empty() const { return transmissions_.empty(); }
  std::size_t size() const { return transmissions_.size(); }

  // Calls `append` once with each name, round robin from where the previous call stopped, until it returns
  // false because the message is full. Each name that was appended counts as transmitted.
  void FillMessage(const std::function<bool(const std::string& name)>& append);

 private:
  std::map<std::string, int> transmissions_;  // remaining transmissions by member
  std::string last_transmitted_;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_BROADCAST_QUEUE_H_
