#include "servers/session_host/report_ring.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "servers/membership/rendezvous.h"

namespace teaselrudder {

namespace {

/// Key of the rendezvous hash that orders the hosts of a failure domain on the ring.
constexpr std::string_view kRingHashKey = "reports";

/// Returns the hosts in ring order. The hosts of each failure domain are spread evenly over the ring, in rendezvous
/// hash order, so that the few neighbours of a host are a representative sample of all domains.
std::vector<HostId> ring_order(const std::map<HostId, FailureDomainId>& hosts) {
  std::map<FailureDomainId, std::vector<HostId>> by_domain;
  for (const auto& [host, domain] : hosts) {
    by_domain[domain].push_back(host);
  }
  std::vector<std::pair<double, HostId>> places;
  for (auto& [domain, members] : by_domain) {
    const auto size = static_cast<double>(members.size());
    double place = 0.5;
    for (HostId& host : rank_hosts(std::move(members), kRingHashKey)) {
      places.emplace_back(place / size, std::move(host));
      ++place;
    }
  }
  std::sort(places.begin(), places.end());
  std::vector<HostId> ring;
  ring.reserve(places.size());
  for (auto& [place, host] : places) {
    ring.push_back(std::move(host));
  }
  return ring;
}

/// Returns the kNeighbours hosts on each side of `self` on the ring.
std::set<HostId> neighbours_of(const HostId& self, const std::map<HostId, FailureDomainId>& hosts) {
  const std::vector<HostId> ring = ring_order(hosts);
  const auto place = static_cast<std::size_t>(std::find(ring.begin(), ring.end(), self) - ring.begin());
  std::set<HostId> neighbours;
  for (std::size_t step = 1; step <= ReportRing::kNeighbours; ++step) {
    neighbours.insert(ring[(place + step) % ring.size()]);
    neighbours.insert(ring[(place + ring.size() - step) % ring.size()]);
  }
  return neighbours;
}

}  // namespace

void ReportRing::set_hosts(const std::map<HostId, RingHost>& others) {
  m_active.clear();
  m_neighbours = choose_neighbours(others);
  m_domains.clear();
  m_other_hosts.clear();
  m_neighbour_hosts.clear();
  std::map<FailureDomainId, std::size_t> indices;
  for (const auto& [host, other] : others) {
    const auto [index, added] = indices.try_emplace(other.domain, m_domains.size());
    if (added) {
      m_domains.emplace_back();
    }
    add_other_host({host, index->second, other.membership});
  }
}

std::set<HostId> ReportRing::choose_neighbours(const std::map<HostId, RingHost>& others) const {
  if (others.size() > 2 * kNeighbours) {
    std::map<HostId, FailureDomainId> all{{m_self, m_domain}};
    for (const auto& [host, other] : others) {
      all.emplace(host, other.domain);
    }
    return neighbours_of(m_self, all);
  }
  std::set<HostId> neighbours;
  for (const auto& [host, other] : others) {
    neighbours.insert(host);
  }
  return neighbours;
}

void ReportRing::add_other_host(const OtherHost& other) {
  for (std::size_t membership = 0; membership <= static_cast<std::size_t>(other.membership); ++membership) {
    ++m_domains[other.domain][membership];
  }
  if (other.membership == HostMembership::kActive) {
    m_active.insert(other.host);
  }
  m_other_hosts.push_back(other);
  if (is_neighbour(other.host)) {
    m_neighbour_hosts.push_back(other);
  }
}

double ReportRing::reachable_share(const std::function<bool(const HostId&)>& is_reachable,
                                   HostMembership lowest) const {
  struct DomainSample {
    std::size_t expected = 0;
    std::size_t reachable = 0;
  };
  std::vector<DomainSample> samples(m_domains.size());
  for (const OtherHost& other : reporting_hosts()) {
    if (other.membership < lowest) {
      continue;
    }
    DomainSample& sample = samples[other.domain];
    ++sample.expected;
    sample.reachable += is_reachable(other.host) ? 1 : 0;
  }
  double fleet_size = m_self_stopping ? 0 : 1;
  double reachable_size = fleet_size;
  for (std::size_t index = 0; index < samples.size(); ++index) {
    const DomainSample& sample = samples[index];
    if (sample.expected == 0) {
      continue;
    }
    const std::size_t hosts = m_domains[index][static_cast<std::size_t>(lowest)];
    fleet_size += static_cast<double>(hosts);
    reachable_size += static_cast<double>(hosts * sample.reachable) / static_cast<double>(sample.expected);
  }
  return fleet_size == 0 ? 1 : reachable_size / fleet_size;
}

}  // namespace teaselrudder
