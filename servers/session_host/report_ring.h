#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/ids.h"

namespace teaselrudder {

/// Whether a host counts as a part of the fleet; see docs/design/fleet-membership.md. Each one counts wherever those
/// before it do.
enum class HostMembership {
  /// The host is stopping, or has stopped, and has said so. It acts for the fleet no more and counts nowhere.
  kLeaving,
  /// It has no record in the store and sends no reports, and no holder of the failover duty can act where it is. It may
  /// be cut off.
  kExpired,
  /// It has no record in the store and sends no reports. It may be cut off together with a holder of the duty that acts
  /// on without the store.
  kSuspect,
  /// It has a record or sent a report recently.
  kActive,
};

/// A host as the others on the ring see it.
struct RingHost {
  FailureDomainId domain;
  HostMembership membership = HostMembership::kActive;
};

/// Determines which hosts exchange reports. In a small fleet all hosts do. In a large one each host exchanges them with
/// its neighbours on a ring, so that the number of reports per host does not grow with the fleet. In addition, every
/// host exchanges them with the holder of the failover duty. The order of the ring mixes the failure domains evenly.
class ReportRing {
 public:
  /// Number of neighbours on each side. With ten neighbours in total, a host has neighbours in each of six failure
  /// domains.
  static constexpr std::size_t kNeighbours = 5;
  static constexpr double kHalf = 0.5;

  ReportRing(HostId self, FailureDomainId domain) : m_self(std::move(self)), m_domain(std::move(domain)) {}

  /// Sets the other hosts. A host that is not active keeps its place and still gets reports, because it may be cut off
  /// and learns from the reports that the network works again. No reports are expected from it.
  void set_hosts(const std::map<HostId, RingHost>& others);

  /// Notes that this host is stopping: it no longer counts itself.
  void set_self_stopping() { m_self_stopping = true; }
  const std::optional<HostId>& duty_holder() const { return m_holder; }
  void set_duty_holder(std::optional<HostId> holder) { m_holder = std::move(holder); }

  /// Returns true if this host and `other` send each other all reports.
  bool is_neighbour(const HostId& other) const { return m_neighbours.contains(other); }

  /// Returns true if reports of `other` are expected here, so that their absence indicates a failure.
  bool expects_reports_from(const HostId& other) const {
    return m_active.contains(other) && (holds_duty() || is_neighbour(other));
  }

  /// Returns true if this host reaches less than half of the fleet, counting itself unless it is stopping.
  /// `is_reachable` returns whether reports of an expected host arrive. The reachable part of each failure domain is
  /// estimated from its expected hosts and weighted with the number of all its hosts. A host whose neighbours happen to
  /// be mostly in its own failure domain thus still notices that the other domains are unreachable.
  bool reaches_minority(const std::function<bool(const HostId&)>& is_reachable) const {
    return reachable_share(is_reachable, HostMembership::kActive) < kHalf;
  }

  /// Returns the share of the fleet that this host reaches, counting the hosts of `lowest` membership and above. A host
  /// that the store turns away loses its record and may still serve on the other side of a partition, so the right to
  /// act for the fleet depends on a share that includes such hosts. The share is 1 if nobody counts.
  double reachable_share(const std::function<bool(const HostId&)>& is_reachable, HostMembership lowest) const;

  /// Returns true if this host or `other` holds the failover duty, so that they exchange reports for it.
  bool exchanges_duty_reports(const HostId& other) const { return holds_duty() || m_holder == other; }

 private:
  static constexpr std::size_t kStates = static_cast<std::size_t>(HostMembership::kActive) + 1;
  /// The number of hosts of one failure domain, without this host, that have each membership or a higher one.
  using Domain = std::array<std::size_t, kStates>;
  /// Another host with the index of its failure domain in m_domains.
  struct OtherHost {
    HostId host;
    std::size_t domain = 0;
    HostMembership membership = HostMembership::kActive;
  };

  std::set<HostId> choose_neighbours(const std::map<HostId, RingHost>& others) const;
  void add_other_host(const OtherHost& other);
  bool holds_duty() const { return m_holder == m_self; }
  /// Returns the hosts that send reports to this one if they are active.
  const std::vector<OtherHost>& reporting_hosts() const { return holds_duty() ? m_other_hosts : m_neighbour_hosts; }

  HostId m_self;
  FailureDomainId m_domain;
  bool m_self_stopping = false;
  std::optional<HostId> m_holder;
  std::set<HostId> m_neighbours;
  std::set<HostId> m_active;
  // The share of reachable hosts is asked for in every tick, so what it is computed from is kept ready.
  std::vector<Domain> m_domains;
  std::vector<OtherHost> m_other_hosts;
  std::vector<OtherHost> m_neighbour_hosts;
};

}  // namespace teaselrudder
