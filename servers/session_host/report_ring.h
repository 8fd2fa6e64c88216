#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "core/ids.h"

namespace teaselrudder {

/// Which hosts report to one another. In a small fleet all do. In a large one each host exchanges reports with its
/// neighbours on a ring, so that a host's reports do not grow with the fleet, and with the holder of the failover duty,
/// which has to hear everyone. The ring mixes the failure domains evenly.
class ReportRing {
 public:
  /// Neighbours on each side. Ten in all are some of each of six failure domains.
  static constexpr std::size_t kNeighbours = 5;

  ReportRing(HostId self, FailureDomainId domain) : m_self(std::move(self)), m_domain(std::move(domain)) {}

  /// Sets the other hosts with their failure domains, those included that have left the store's list a while ago, and
  /// which of them are listed or heard. The former keep their places, because one of them may be cut off and learns
  /// from reports that it is not any more; nothing is expected from them.
  void set_hosts(std::map<HostId, FailureDomainId> others, std::set<HostId> living);
  void set_duty_holder(std::optional<HostId> holder) { m_holder = std::move(holder); }

  /// Tells whether both hosts send each other reports at the full rate.
  bool is_neighbour(const HostId& other) const { return m_neighbours.contains(other); }

  /// Tells whether reports of `other` are expected here, so that their absence means something.
  bool expects(const HostId& other) const { return m_living.contains(other) && (holds_duty() || is_neighbour(other)); }

  /// Tells whether this host hears less than half of the fleet, itself included; `heard` tells of an expected host
  /// whether its reports arrive. Each failure domain counts with all its hosts, of which the expected ones are a
  /// sample: a host whose neighbours are by chance mostly of its own domain still sees that the others are out of
  /// reach.
  bool hears_minority(const std::function<bool(const HostId&)>& heard) const;

  /// Tells whether reports to `other` serve the failover duty, which one of both has.
  bool serves_duty(const HostId& other) const { return holds_duty() || m_holder == other; }

 private:
  bool holds_duty() const { return m_holder == m_self; }

  HostId m_self;
  FailureDomainId m_domain;
  std::optional<HostId> m_holder;
  std::map<HostId, FailureDomainId> m_others;
  std::set<HostId> m_neighbours;
  std::set<HostId> m_living;
};

}  // namespace teaselrudder
