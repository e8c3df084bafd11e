// Types that settings, events and actions share.
//
// All times are integer microseconds of one monotonic clock.
#ifndef WALNUTSPUR_TYPES_H_
#define WALNUTSPUR_TYPES_H_

#include <cstdint>
#include <string>

namespace walnutspur {

// A point in time or a duration, us.
using Time = std::int64_t;
// Identifies a request of this initiator while it is in the scheduler.
using RequestId = std::string;
// Identifies a target in the endpoint list.
using TargetId = std::string;

// Whether a request may be executed more than once.
enum class Idempotency {
  kIdempotent,         // may be repeated at any target
  kIdempotentWithKey,  // may be repeated at targets that drop repeats by the idempotency key
  kNotIdempotent
};

// The targets that drop the repeats of a request with an idempotency key.
enum class DeduplicationScope {
  kAll,   // every target
  kZone,  // those in the zone of the first attempt
  kShard  // those that hold the shard of the first attempt
};

// How the endpoint list reaches the scheduler.
enum class DiscoveryMode {
  kAutomatic,  // updates are pushed
  kSubscribe   // updates are sent after a WatchEndpoints action
};

// Lifecycle of a target.
enum class EndpointState { kActive, kDraining, kTerminated };

// What an endpoint update contains.
enum class EndpointUpdateKind {
  kDelta,           // the endpoints that have changed
  kFull,            // all endpoints
  kCached,          // all endpoints, as stored before this start; they may have changed since
  kFailed,          // none: the list could not be fetched, or the subscription has ended
  kUpdateStarted,   // none: the first part of an update has arrived
  kServiceChanged,  // none: another discovery service is used from now on
  kOverride         // the endpoints that operators have changed, not discovery
};

// Why discovery sent no endpoints.
enum class DiscoveryFailure {
  kNoResponse,      // no list received: a call was rejected, closed or abandoned, or a subscription has ended
  kConnectionLost,  // the connection broke; data that discovery had written may be lost
  kUnreachable,     // connection refused: nothing listens at discovery's address
};

// How an attempt ended.
enum class Outcome {
  kCompleted,
  kErrored,          // may have run
  kOverloaded,       // never ran: the target rejected it without reading it
  kTimedOut,         // may have run, may still run
  kConnectFailed,    // never ran: no connection was established in time
  kConnectionReset,  // may have run
  kCancelled,        // may have run
  kNotSent,          // never ran
  kCorrupted         // may have run: the response fails its checksum
};

}  // namespace walnutspur

#endif  // WALNUTSPUR_TYPES_H_
