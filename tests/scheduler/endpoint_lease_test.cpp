// The lease on the endpoint list: when it expires, and what renews or shortens it.
//
// While discovery is out an instance is not notified of drains. In the field about 300 processes went on by
// lists that were up to 17 s old, and requests reached targets that had been draining for seconds. The lease
// bounds how long a list may be relied on. The tests play how watches and calls end in each way that an
// instance can see, and check the expiry after each.
#include "decision/endpoint_lease.h"

#include <gtest/gtest.h>

namespace walnutspur::test {
namespace {

using decision::EndpointLease;
using decision::kNever;

constexpr Time kSec = 1'000'000;
constexpr Time kStart = 1'000 * kSec;
constexpr Time kGrace = kSec / 2;
constexpr Time kWriteDelay = kSec / 5;                     // reserved for a late write
constexpr Time kLease = 6 * kSec + kGrace - kWriteDelay;   // from the last sign of life
constexpr Time kAfterNotification = kGrace - kWriteDelay;  // from a notification

// A lease whose watch works at kStart.
EndpointLease Watching() {
  EndpointLease lease(DiscoveryMode::kSubscribe, kGrace);
  lease.OnStarted(kStart - kSec);
  lease.OnCurrent();
  return lease;
}

TEST(EndpointLease, DoesNotExpireWhileTheWatchWorks) { EXPECT_EQ(Watching().expires_at(), kNever); }

TEST(EndpointLease, ExpiresSixSecondsAndTheGraceAfterTheLastSignOfLife) {
  EndpointLease lease = Watching();
  lease.OnFailed(kStart + 2 * kSec, kStart, DiscoveryFailure::kNoResponse);
  EXPECT_EQ(lease.expires_at(), kStart + kLease);
  lease.OnFailed(kStart + 5 * kSec, kStart + 3 * kSec, DiscoveryFailure::kNoResponse);
  EXPECT_EQ(lease.expires_at(), kStart + kLease) << "a call that was given up proves nothing";
  EXPECT_TRUE(lease.IsValid(kStart + kLease - 1));
  EXPECT_FALSE(lease.IsValid(kStart + kLease));
  lease.OnCurrent();
  EXPECT_EQ(lease.expires_at(), kNever);
}

TEST(EndpointLease, IsRenewedByRefusedConnectionsThatAreCloseTogether) {
  EndpointLease lease = Watching();
  lease.OnFailed(kStart, kStart, DiscoveryFailure::kNoResponse);
  Time now = kStart;
  for (int call = 0; call < 20; ++call) {
    now += 2 * kSec;
    lease.OnFailed(now, 0, DiscoveryFailure::kUnreachable);
    EXPECT_EQ(lease.expires_at(), now + kLease);
  }
  lease.OnFailed(now + 4 * kSec, 0, DiscoveryFailure::kUnreachable);
  EXPECT_EQ(lease.expires_at(), now + kLease) << "discovery may have been up in between";
}

TEST(EndpointLease, OfACachedListIsShortenedByTheFirstFailedCall) {
  EndpointLease lease(DiscoveryMode::kSubscribe, kGrace);
  lease.OnStarted(kStart);
  EXPECT_EQ(lease.expires_at(), kStart + kLease);
  lease.OnFailed(kStart + 2 * kSec, 0, DiscoveryFailure::kNoResponse);
  EXPECT_EQ(lease.expires_at(), kStart + 2 * kSec + kAfterNotification);
}

TEST(EndpointLease, IsShortenedByTheFirstPartOfAnUpdate) {
  EndpointLease lease = Watching();
  lease.OnUpdateStarted(kStart);
  lease.OnUpdateStarted(kStart + kSec);
  EXPECT_EQ(lease.expires_at(), kStart + kAfterNotification);
  EndpointLease completed = lease;
  completed.OnCurrent();
  EXPECT_EQ(completed.expires_at(), kNever);
  lease.OnFailed(kStart + 2 * kSec, kStart + 2 * kSec, DiscoveryFailure::kNoResponse);
  EXPECT_EQ(lease.expires_at(), kStart + kAfterNotification);
  lease.OnFailed(kStart + 3 * kSec, 0, DiscoveryFailure::kUnreachable);
  EXPECT_EQ(lease.expires_at(), kStart + kAfterNotification);
}

TEST(EndpointLease, IsShortenedByABrokenCall) {
  EndpointLease lease = Watching();
  lease.OnFailed(kStart, kStart, DiscoveryFailure::kNoResponse);
  lease.OnFailed(kStart + kSec, 0, DiscoveryFailure::kConnectionLost);
  EXPECT_EQ(lease.expires_at(), kStart + kSec + kAfterNotification);
}

TEST(EndpointLease, IsFourSecondsAndTheGraceAfterAChangeOfService) {
  EndpointLease lease = Watching();
  lease.OnServiceChanged(kStart);
  EXPECT_EQ(lease.expires_at(), kStart + 4 * kSec + kAfterNotification);
  lease.OnFailed(kStart + 2 * kSec, 0, DiscoveryFailure::kUnreachable);
  EXPECT_EQ(lease.expires_at(), kStart + 4 * kSec + kAfterNotification);
}

TEST(EndpointLease, OfPushedListsDoesNotExpire) {
  EndpointLease lease(DiscoveryMode::kAutomatic, kGrace);
  lease.OnStarted(kStart);
  lease.OnFailed(kStart + 60 * kSec, 0, DiscoveryFailure::kNoResponse);
  EXPECT_TRUE(lease.IsValid(kStart + 3'600 * kSec));
}

}  // namespace
}  // namespace walnutspur::test
