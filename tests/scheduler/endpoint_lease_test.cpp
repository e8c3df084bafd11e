// Tests of the endpoint lease: when it expires, and what renews or shortens it.
//
// While discovery is down, an instance is not notified of drains. In the field about 300 processes used lists
// that were up to 17 s old, and requests reached targets that had been draining for seconds. The lease bounds
// how long a list may be used. The tests end watches and calls in each way that an instance can observe, and
// check the expiry after each.
#include "decision/endpoint_lease.h"

#include <gtest/gtest.h>

namespace walnutspur::test {
namespace {

using decision::EndpointLease;
using decision::kNever;

constexpr Time kSec = 1'000'000;
constexpr Time kStart = 1'000 * kSec;
constexpr Time kGrace = kSec / 2;
constexpr Time kWriteDelay = kSec / 5;                          // reserved for the delay of a write
constexpr Time kLease = 6 * kSec + kGrace - kWriteDelay;        // from the last list or heartbeat
constexpr Time kLeaseAfterNotification = kGrace - kWriteDelay;  // from a notification

// Returns a lease whose watch works at kStart.
EndpointLease LeaseWithWorkingWatch() {
  EndpointLease lease(DiscoveryMode::kSubscribe, kGrace);
  lease.OnStarted(kStart - kSec);
  lease.OnListConfirmed();
  return lease;
}

TEST(EndpointLease, DoesNotExpireWhileTheWatchWorks) {
  EXPECT_EQ(LeaseWithWorkingWatch().expires_at(), kNever);
}

TEST(EndpointLease, ExpiresSixSecondsAndTheGraceAfterTheLastHeartbeat) {
  EndpointLease lease = LeaseWithWorkingWatch();
  lease.OnFailed(kStart + 2 * kSec, kStart, DiscoveryFailure::kNoResponse);
  EXPECT_EQ(lease.expires_at(), kStart + kLease);
  lease.OnFailed(kStart + 5 * kSec, kStart + 3 * kSec, DiscoveryFailure::kNoResponse);
  EXPECT_EQ(lease.expires_at(), kStart + kLease) << "an abandoned call does not renew the lease";
  EXPECT_TRUE(lease.IsValid(kStart + kLease - 1));
  EXPECT_FALSE(lease.IsValid(kStart + kLease));
  lease.OnListConfirmed();
  EXPECT_EQ(lease.expires_at(), kNever);
}

TEST(EndpointLease, IsRenewedByRefusedConnectionsAtShortIntervals) {
  EndpointLease lease = LeaseWithWorkingWatch();
  lease.OnFailed(kStart, kStart, DiscoveryFailure::kNoResponse);
  Time now = kStart;
  for (int call = 0; call < 20; ++call) {
    now += kSec;
    lease.OnFailed(now, 0, DiscoveryFailure::kUnreachable);
    EXPECT_EQ(lease.expires_at(), now + kLease);
  }
  lease.OnFailed(now + 3 * kSec / 2, 0, DiscoveryFailure::kUnreachable);
  EXPECT_EQ(lease.expires_at(), now + kLease) << "discovery may have been reachable in between";
}

TEST(EndpointLease, WithACachedListIsShortenedByTheFirstFailedCall) {
  EndpointLease lease(DiscoveryMode::kSubscribe, kGrace);
  lease.OnStarted(kStart);
  EXPECT_EQ(lease.expires_at(), kStart + kLease);
  lease.OnFailed(kStart + 2 * kSec, 0, DiscoveryFailure::kNoResponse);
  EXPECT_EQ(lease.expires_at(), kStart + 2 * kSec + kLeaseAfterNotification);
}

TEST(EndpointLease, IsShortenedByTheFirstPartOfAnUpdate) {
  EndpointLease lease = LeaseWithWorkingWatch();
  lease.OnUpdateStarted(kStart);
  lease.OnUpdateStarted(kStart + kSec);
  EXPECT_EQ(lease.expires_at(), kStart + kLeaseAfterNotification);
  EndpointLease completed = lease;
  completed.OnListConfirmed();
  EXPECT_EQ(completed.expires_at(), kNever);
  lease.OnFailed(kStart + 2 * kSec, kStart + 2 * kSec, DiscoveryFailure::kNoResponse);
  EXPECT_EQ(lease.expires_at(), kStart + kLeaseAfterNotification);
  lease.OnFailed(kStart + 3 * kSec, 0, DiscoveryFailure::kUnreachable);
  EXPECT_EQ(lease.expires_at(), kStart + kLeaseAfterNotification);
}

TEST(EndpointLease, IsShortenedIfADiscoveryCallLosesItsConnection) {
  EndpointLease lease = LeaseWithWorkingWatch();
  lease.OnFailed(kStart, kStart, DiscoveryFailure::kNoResponse);
  lease.OnFailed(kStart + kSec, 0, DiscoveryFailure::kConnectionLost);
  EXPECT_EQ(lease.expires_at(), kStart + kSec + kLeaseAfterNotification);
}

TEST(EndpointLease, ExpiresFourSecondsAndTheGraceAfterAChangeOfService) {
  EndpointLease lease = LeaseWithWorkingWatch();
  lease.OnServiceChanged(kStart);
  EXPECT_EQ(lease.expires_at(), kStart + 4 * kSec + kLeaseAfterNotification);
  lease.OnFailed(kStart + 2 * kSec, 0, DiscoveryFailure::kUnreachable);
  EXPECT_EQ(lease.expires_at(), kStart + 4 * kSec + kLeaseAfterNotification);
}

TEST(EndpointLease, WithPushedUpdatesDoesNotExpire) {
  EndpointLease lease(DiscoveryMode::kAutomatic, kGrace);
  lease.OnStarted(kStart);
  lease.OnFailed(kStart + 60 * kSec, 0, DiscoveryFailure::kNoResponse);
  EXPECT_TRUE(lease.IsValid(kStart + 3'600 * kSec));
}

}  // namespace
}  // namespace walnutspur::test
