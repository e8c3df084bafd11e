// Which connection of a full front end is closed to make room for a new one.
//
// A flood of connections must not shut other clients out, and a client that uses its connection must not lose
// it. So connections are evicted by how far their clients have come, and each is safe for a grace period in
// which its client may still take the next step. While none can be evicted, new connections wait in the
// listener's backlog. Each front end has a policy; event-loop thread; no I/O, clock or timer.
#ifndef WALNUTSPUR_FRONTEND_EVICTION_POLICY_H_
#define WALNUTSPUR_FRONTEND_EVICTION_POLICY_H_

#include "limits/duration.h"

namespace walnutspur::frontend {

// How far a connection has come, in the order in which connections are evicted.
enum class EvictionRank {
  kClosing,                // its last response is written
  kHandshake,              // its client has not completed the protocol's handshake
  kNoRequestYet,           // its client has sent no complete request
  kIdleAfterOneRequest,    // many clients never send a second request
  kIdleAfterManyRequests,  // its client sends requests again and again
  kInUse,                  // never evicted
};

// How long a connection of each rank is safe.
struct EvictionLimits {
  Duration handshake_grace = Duration::zero();
  Duration first_request_grace = Duration::zero();
  Duration second_request_grace = Duration::zero();
  Duration idle_grace = Duration::zero();  // after several requests
};

// A connection as the policy sees it.
struct EvictionCandidate {
  EvictionRank rank = EvictionRank::kInUse;
  Time since = 0;  // when its grace began, us
};

class EvictionPolicy {
 public:
  explicit EvictionPolicy(const EvictionLimits& limits) : limits_(limits) {}

  // Whether the connection may be evicted at `now`: its grace is over.
  bool IsEvictable(const EvictionCandidate& candidate, Time now) const;
  // Whether `left` is evicted before `right`: its rank is lower, or the ranks are equal and its grace began
  // earlier.
  static bool IsBefore(const EvictionCandidate& left, const EvictionCandidate& right);

  // Returns the client that is to be evicted, null if there is none. `clients` maps numbers to owned clients;
  // Client::eviction_candidate() describes one. `is_protected(client)` exempts a client, and is called only
  // for those that would be chosen without it.
  template <typename Clients, typename IsProtected>
  auto* Choose(const Clients& clients, Time now, IsProtected is_protected) const {
    typename Clients::mapped_type::pointer chosen = nullptr;
    EvictionCandidate best;
    for (const auto& [number, client] : clients) {
      const EvictionCandidate candidate = client->eviction_candidate();
      if (!IsEvictable(candidate, now) || (chosen != nullptr && !IsBefore(candidate, best)) ||
          is_protected(*client)) {
        continue;
      }
      chosen = client.get();
      best = candidate;
    }
    return chosen;
  }

 private:
  Duration GracePeriod(EvictionRank rank) const;

  EvictionLimits limits_;
};

}  // namespace walnutspur::frontend

#endif  // WALNUTSPUR_FRONTEND_EVICTION_POLICY_H_
