#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <utility>

#include "core/ids.h"

namespace teaselrudder {

/// Which hosts report to one another. In a small fleet all do. In a large one each host exchanges reports with its
/// neighbours on a ring, so that a host's reports do not grow with the fleet, and with the holder of the failover duty,
/// which has to hear everyone. The ring is in rendezvous order, which mixes failure domains.
class ReportRing {
 public:
  /// Neighbours on each side. With ten in all, a host in a failure domain that is cut off hears a clear minority.
  static constexpr std::size_t kNeighbours = 5;

  explicit ReportRing(HostId self) : m_self(std::move(self)) {}

  /// Sets the other hosts, those included that have left the store's list a while ago, and which of them are listed or
  /// heard. The former keep their places, because one of them may be cut off and learns from reports that it is not any
  /// more; nothing is expected from them.
  void set_hosts(const std::set<HostId>& others, std::set<HostId> living);
  void set_duty_holder(std::optional<HostId> holder) { m_holder = std::move(holder); }

  /// Tells whether both hosts send each other reports at the full rate.
  bool is_neighbour(const HostId& other) const { return m_neighbours.contains(other); }

  /// Tells whether reports of `other` are expected here, so that their absence means something.
  bool expects(const HostId& other) const { return m_living.contains(other) && (holds_duty() || is_neighbour(other)); }

  /// Returns the number of hosts whose reports are expected here.
  std::size_t expected() const { return holds_duty() ? m_living.size() : m_expected; }

  /// Tells whether reports to `other` serve the failover duty, which one of both has.
  bool serves_duty(const HostId& other) const { return holds_duty() || m_holder == other; }

 private:
  bool holds_duty() const { return m_holder == m_self; }

  HostId m_self;
  std::optional<HostId> m_holder;
  std::set<HostId> m_neighbours;
  std::set<HostId> m_living;
  std::size_t m_expected = 0;
};

}  // namespace teaselrudder
