#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/metrics/counters.h"
#include "core/ports/event_log_port.h"
#include "core/ports/evidence_port.h"
#include "servers/quota/allocator_choice.h"
#include "servers/quota/quota_allocator.h"
#include "servers/session_host/known_hosts.h"
#include "servers/sessions/session_service.h"

namespace teaselrudder {

/// Dependencies of a QuotaExchange; all references must outlive it.
struct QuotaExchangeServices {
  SessionService& sessions;
  const KnownHosts& hosts;
  EvidencePort& port;
  Counters& counters;
  EventLogPort& log;
};

/// Carries tokens and pledges of quotas between the hosts: requests tokens from the allocators that this host has
/// chosen, and allocates tokens to the hosts that have chosen this one. Does nothing while no account has a quota.
class QuotaExchange final : public QuotaRequestListener {
 public:
  /// Time for which the largest known size of the fleet is kept, less the hosts that announced their stop and left.
  /// Hosts that are cut off for a while keep their part of the quotas although their records are gone.
  static constexpr Duration kFleetSizeRetention = std::chrono::minutes(5);
  /// Time after this host has read the store for the first time from which on it takes part. Before, it may not know
  /// all hosts, and allocators may count pledges of its former process.
  static constexpr Duration kSettlingTime = std::chrono::seconds(1);

  QuotaExchange(HostId self, QuotaPolicy policy, QuotaExchangeServices services);

  /// Applies the quotas in a new version of the configuration.
  void configure(const std::map<AccountId, ClientAccount>& accounts);

  /// Notes that the known hosts may have changed.
  void on_hosts_changed(TimePoint now);

  void on_message(const QuotaMessage& message, TimePoint now);

  /// Requests the tokens that are needed now.
  void on_tokens_needed(TimePoint now) override;

  /// Renews pledges and gives up allocators that do not answer. `has_read_store` tells whether the hosts are known.
  void on_tick(bool has_read_store, TimePoint now);
  TimePoint next_wakeup() const;

 private:
  struct Pledge {
    HostId allocator;
    TimePoint sent_at;
    /// When this host last added its part of the initial level to the buckets of a new allocator.
    TimePoint credited_at;
  };

  void update_fleet_size(std::size_t known_hosts, TimePoint now);
  bool is_settled(TimePoint now) const { return m_settled_at.has_value() && now >= *m_settled_at; }
  void send_pledges(TimePoint now);
  /// Pledges this host's part of a shard to the present allocator, unless an earlier pledge to another one may still be
  /// valid. Adds the pledge to the message for the allocator.
  void pledge(std::size_t shard, std::map<HostId, QuotaMessage>& messages, TimePoint now);
  void send(const HostId& host, QuotaMessage message, TimePoint now);

  HostId m_self;
  QuotaPolicy m_policy;
  QuotaExchangeServices m_services;
  QuotaAllocator m_allocator;
  AllocatorChoice m_choice;
  bool m_has_quotas = false;
  std::optional<TimePoint> m_settled_at;
  std::size_t m_fleet_size = 1;
  TimePoint m_fleet_size_at;
  /// The departures of hosts that m_fleet_size takes into account.
  std::uint64_t m_departures = 0;
  std::array<Pledge, kQuotaShards> m_pledges;
  TimePoint m_next_pledges;
};

}  // namespace teaselrudder
