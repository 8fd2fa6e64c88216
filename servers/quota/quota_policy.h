#pragma once

#include <algorithm>
#include <cstddef>

#include "core/ids.h"
#include "core/time.h"
#include "servers/membership/rendezvous.h"

namespace teaselrudder {

/// How exactly the quotas of client accounts have to be kept: in any span of `window`, an account may run up to
/// (rate * window + burst) * (1 + tolerated_excess) + tolerated_operations operations.
struct QuotaPolicy {
  Duration window = std::chrono::seconds(5);
  double tolerated_excess = 0.1;
  double tolerated_operations = 20;

  /// Returns how long a host may hold a token before it uses it. Tokens that were granted before a span and are used in
  /// it count in addition to the quota, so their number has to stay within the tolerated excess.
  Duration token_lifetime() const {
    constexpr Duration kMin = std::chrono::milliseconds(100);
    constexpr Duration kMax = std::chrono::milliseconds(500);
    return std::clamp(std::chrono::duration_cast<Duration>(window * tolerated_excess), kMin, kMax);
  }

  /// Returns the operations that are admitted above an account's burst, so that small accounts whose operations come
  /// unevenly are not refused below their rate.
  double extra_burst() const { return tolerated_operations / 2; }

  /// Returns the operations that a new allocator may admit at once if all hosts move to it. Each host brings its part
  /// once in a window, so that accounts are served although the buckets of the new allocator are empty.
  double initial_level(double burst) const { return tolerated_operations / 4 + burst * tolerated_excess / 2; }

  friend bool operator==(const QuotaPolicy&, const QuotaPolicy&) = default;
};

/// Number of groups into which accounts are divided. Each has an allocator of its own.
inline constexpr std::size_t kQuotaShards = 4;

/// Time for which a host's pledge to an allocator is valid. A host that moves to another allocator pledges to it only
/// after that time, so that no pledge counts twice.
inline constexpr Duration kPledgeLifetime = std::chrono::milliseconds(700);
/// Interval at which hosts renew their pledges. One of them may be lost.
inline constexpr Duration kPledgeInterval = std::chrono::milliseconds(250);

/// Returns the shard of an account; the same on every host.
inline std::size_t quota_shard(const AccountId& account) {
  return rendezvous_score(HostId("quota"), account.value()) % kQuotaShards;
}

}  // namespace teaselrudder
