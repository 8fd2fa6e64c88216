#include "servers/session_host/report_ring.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "servers/membership/rendezvous.h"

namespace teaselrudder {

namespace {

/// Key under which hosts are ranked for the ring.
constexpr std::string_view kRingKey = "reports";

/// Returns the hosts next to `self` on the ring, on both sides.
std::set<HostId> around(const HostId& self, const std::set<HostId>& others) {
  std::vector<HostId> ring(others.begin(), others.end());
  ring.push_back(self);
  ring = rank_hosts(std::move(ring), kRingKey);
  const auto place = static_cast<std::size_t>(std::find(ring.begin(), ring.end(), self) - ring.begin());
  std::set<HostId> hosts;
  for (std::size_t step = 1; step <= ReportRing::kNeighbours; ++step) {
    hosts.insert(ring[(place + step) % ring.size()]);
    hosts.insert(ring[(place + ring.size() - step) % ring.size()]);
  }
  return hosts;
}

}  // namespace

void ReportRing::set_hosts(const std::set<HostId>& others, std::set<HostId> living) {
  m_living = std::move(living);
  m_neighbours = others.size() <= 2 * kNeighbours ? others : around(m_self, others);
  m_expected = static_cast<std::size_t>(std::count_if(m_neighbours.begin(), m_neighbours.end(),
                                                      [this](const HostId& host) { return m_living.contains(host); }));
}

}  // namespace teaselrudder
