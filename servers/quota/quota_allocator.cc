#include "servers/quota/quota_allocator.h"

#include <algorithm>
#include <cmath>

namespace teaselrudder {

void QuotaAllocator::configure(const std::map<AccountId, ClientAccount>& accounts) {
  std::erase_if(m_buckets, [&accounts](const auto& known) { return !accounts.contains(known.first); });
  for (const auto& [id, account] : accounts) {
    Bucket& bucket = m_buckets[id];
    bucket.quota = account.quota;
    bucket.shard = quota_shard(id);
  }
}

void QuotaAllocator::on_pledge(std::size_t shard, const HostId& host, bool credits, TimePoint now) {
  // What the buckets got until now depends on the pledges until now.
  for (auto& [id, bucket] : m_buckets) {
    if (bucket.shard == shard && bucket.quota.has_value()) {
      refill(bucket, now);
      bucket.level += credits ? m_policy.initial_level(bucket.quota->burst) / static_cast<double>(m_fleet_size) : 0;
    }
  }
  std::erase_if(m_pledges[shard], [now](const auto& pledge) { return pledge.second + kPledgeLifetime <= now; });
  m_pledges[shard][host] = now;
}

double QuotaAllocator::pledged_part(std::size_t shard, TimePoint now) const {
  const auto valid = std::count_if(m_pledges[shard].begin(), m_pledges[shard].end(),
                                   [now](const auto& pledge) { return now < pledge.second + kPledgeLifetime; });
  return std::min(1.0, static_cast<double>(valid) / static_cast<double>(std::max<std::size_t>(m_fleet_size, 1)));
}

void QuotaAllocator::refill(Bucket& bucket, TimePoint now) const {
  // A bucket that has not been refilled for long had no pledges in the meantime.
  const Duration elapsed = std::clamp<Duration>(now - bucket.refilled_at, Duration(0), kPledgeLifetime);
  const double tokens =
      bucket.quota->rate * pledged_part(bucket.shard, now) * std::chrono::duration<double>(elapsed).count();
  bucket.level = std::min(bucket.level + tokens, max_level(bucket, now));
  bucket.refilled_at = now;
}

QuotaTokens QuotaAllocator::allocate(const HostId& host, const QuotaTokens& wanted, TimePoint now) {
  QuotaTokens answer{wanted.account, 0, wanted.request};
  const auto found = m_buckets.find(wanted.account);
  if (found == m_buckets.end()) {
    return answer;
  }
  Bucket& bucket = found->second;
  if (!bucket.quota.has_value()) {
    answer.tokens = wanted.tokens;
    return answer;
  }
  refill(bucket, now);
  QuotaTokens& last = bucket.answers[host];
  if (last.request == wanted.request && wanted.request != 0) {
    return last;
  }
  const auto available = static_cast<std::uint32_t>(std::max(0.0, std::floor(bucket.level)));
  answer.tokens = std::min(wanted.tokens, available);
  bucket.level -= answer.tokens;
  last = answer;
  return answer;
}

}  // namespace teaselrudder
