// Updates that still have to be disseminated, each with its remaining number of transmissions. Holds names;
// the records are read when they are sent. Owned by a MembershipState, used on the thread of its caller.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_BROADCAST_QUEUE_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_BROADCAST_QUEUE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace walnutspur::fleet {

class BroadcastQueue {
 public:
  // Replaces the remaining transmissions of an earlier update of the member.
  void Enqueue(const std::string& name, int transmissions) { transmissions_[name] = transmissions; }
  void Remove(const std::string& name) { transmissions_.erase(name); }
  void Clear() { transmissions_.clear(); }
  bool empty() const { return transmissions_.empty(); }
  std::size_t size() const { return transmissions_.size(); }

  // Offers each name once, in turn from where the last call stopped, until `append` returns false because the
  // message is full. Each name that was appended counts as transmitted.
  void FillMessage(const std::function<bool(const std::string& name)>& append);

 private:
  std::map<std::string, int> transmissions_;  // remaining, by member
  std::string last_transmitted_;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_BROADCAST_QUEUE_H_
