#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "core/client_account.h"
#include "core/ports/quota_messages.h"
#include "core/time.h"
#include "servers/quota/quota_policy.h"

namespace teaselrudder {

/// Allocates quotas of client accounts to hosts, one token per operation, from one token bucket for each account.
/// Answers load that is uneven: all operations of an account may arrive at one host, or a few at each host.
///
/// Each host of the fleet has an equal part of every quota and pledges it to one allocator at a time. The buckets are
/// filled with the parts that are pledged. Several allocators of the same account, for example on the two sides of a
/// partition, therefore stay within its quota together. Nothing is stored.
class QuotaAllocator {
 public:
  explicit QuotaAllocator(QuotaPolicy policy) : m_policy(policy) {}

  /// Applies the quotas in a new version of the configuration.
  void configure(const std::map<AccountId, ClientAccount>& accounts);

  /// Sets the number of hosts among which quotas are divided. It must not be less than the number of hosts that may
  /// pledge to any allocator.
  void set_fleet_size(std::size_t hosts) { m_fleet_size = hosts; }

  /// Notes that `host` pledges its part of the quotas of a shard. With `credits`, the buckets get the host's part of an
  /// initial level.
  void on_pledge(std::size_t shard, const HostId& host, bool credits, TimePoint now);

  /// Grants up to the wanted tokens to `host`. A request that `host` has sent again gets the same answer once more.
  /// Accounts without a quota get all that is wanted, unknown ones nothing.
  QuotaTokens allocate(const HostId& host, const QuotaTokens& wanted, TimePoint now);

  /// Returns the part of the shard's quotas that is pledged to this allocator.
  double pledged_part(std::size_t shard, TimePoint now) const;

 private:
  struct Bucket {
    std::optional<AccountQuota> quota;
    std::size_t shard = 0;
    double level = 0;
    TimePoint refilled_at;
    /// Last answer to each host.
    std::map<HostId, QuotaTokens> answers;
  };

  /// Returns the pledged part of the burst. Otherwise each allocator of an account would hold a burst of its own.
  double max_level(const Bucket& bucket, TimePoint now) const {
    return (bucket.quota->burst + m_policy.extra_burst()) * pledged_part(bucket.shard, now);
  }
  void refill(Bucket& bucket, TimePoint now) const;

  QuotaPolicy m_policy;
  std::size_t m_fleet_size = 1;
  std::map<AccountId, Bucket> m_buckets;
  /// When each host last pledged.
  std::array<std::map<HostId, TimePoint>, kQuotaShards> m_pledges;
};

}  // namespace teaselrudder
