// Chooses which connection of a full front end is closed to make room for a new one.
//
// A flood of connections must not shut out other clients, and a client that uses its connection must not lose
// it. Connections are therefore evicted in the order of their rank, that is, of the protocol steps that their
// clients have completed. Each connection is protected for a grace period in which its client can complete
// the next step. While no connection can be evicted, new connections wait in the listener's backlog. Each
// front end owns one policy; event-loop thread; no I/O, clock or timer.
#ifndef WALNUTSPUR_FRONTEND_EVICTION_POLICY_H_
#define WALNUTSPUR_FRONTEND_EVICTION_POLICY_H_

#include "limits/duration.h"

namespace walnutspur::frontend {

// The protocol steps that a connection's client has completed, in the order of eviction.
enum class EvictionRank {
  kClosing,                // its last response is written
  kHandshake,              // its client has not completed the protocol's handshake
  kNoRequestYet,           // its client has sent no complete request
  kIdleAfterOneRequest,    // many clients never send a second request
  kIdleAfterManyRequests,  // its client has sent several requests
  kInUse,                  // never evicted
};

// How long a connection of each rank is protected from eviction.
struct EvictionLimits {
  Duration handshake_grace = Duration::zero();
  Duration first_request_grace = Duration::zero();
  Duration second_request_grace = Duration::zero();
  Duration idle_grace = Duration::zero();  // after several requests
};

// The properties of a connection that the policy depends on.
struct EvictionCandidate {
  EvictionRank rank = EvictionRank::kInUse;
  Time since = 0;  // when its grace period began, us
};

class EvictionPolicy {
 public:
  explicit EvictionPolicy(const EvictionLimits& limits) : limits_(limits) {}

  // Returns whether the connection may be evicted at `now`: it is not in use and its grace period is over.
  bool IsEvictable(const EvictionCandidate& candidate, Time now) const;
  // Returns whether `left` is evicted before `right`: its rank is lower, or the ranks are equal and its grace
  // period began earlier.
  static bool IsBefore(const EvictionCandidate& left, const EvictionCandidate& right);

  // Returns the client to evict, or null if there is none. `clients` maps numbers to owned clients, whose
  // eviction_candidate() describes the connection. A client for which `is_protected(client)` returns true is
  // exempt; the function is called only for clients that would be chosen otherwise.
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
