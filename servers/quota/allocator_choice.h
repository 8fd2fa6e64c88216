#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "servers/quota/quota_policy.h"

namespace teaselrudder {

/// Chooses the host that allocates the quotas of each shard: the first that answers in an order that is the same on all
/// hosts. Hosts that reach each other thus agree on one; on each side of a partition there is one of that side.
class AllocatorChoice {
 public:
  /// Time without an answer after which a host counts as unreachable.
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(160);
  /// Interval at which unreachable hosts that come first in the order are asked whether they are back.
  static constexpr Duration kProbeInterval = std::chrono::seconds(1);

  explicit AllocatorChoice(HostId self) : m_self(std::move(self)) { set_hosts({}); }

  /// Sets the other hosts of the fleet.
  void set_hosts(const std::set<HostId>& others);

  /// Returns the allocator of the shard; this host itself if no other one answers.
  const HostId& allocator(std::size_t shard) const;

  /// Notes that a message to `host` was sent, which it has to answer.
  void on_sent(const HostId& host, TimePoint now) { m_unanswered_since.try_emplace(host, now); }
  void on_answer(const HostId& host);

  /// Gives up hosts that do not answer. Returns them.
  std::vector<HostId> take_silent(TimePoint now);

  /// Returns the unreachable hosts to be probed now.
  std::set<HostId> take_probes(TimePoint now);

  /// Returns the time at which take_silent() has to be called next.
  TimePoint next_wakeup() const;

 private:
  HostId m_self;
  std::set<HostId> m_others;
  std::array<std::vector<HostId>, kQuotaShards> m_order;
  std::map<HostId, TimePoint> m_unanswered_since;
  std::set<HostId> m_unreachable;
  TimePoint m_next_probe;
};

}  // namespace teaselrudder
