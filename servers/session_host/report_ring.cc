#include "servers/session_host/report_ring.h"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace teaselrudder {

namespace {

/// FNV-1a, since all builds of all hosts must agree on the order. Its high bits hardly change with the last character
/// of a text, so they are mixed at the end as in SplitMix64; otherwise hosts with similar names would be neighbours.
std::uint64_t hash_of(std::string_view text) {
  std::uint64_t hash = 14695981039346656037U;
  for (const char character : text) {
    hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211U;
  }
  hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9U;
  hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebU;
  return hash ^ (hash >> 31U);
}

/// Returns the hosts next to `self` on the ring, on both sides.
std::set<HostId> around(const HostId& self, const std::set<HostId>& others) {
  std::vector<std::pair<std::uint64_t, HostId>> ring;
  ring.reserve(others.size() + 1);
  for (const HostId& host : others) {
    ring.emplace_back(hash_of(host.value()), host);
  }
  ring.emplace_back(hash_of(self.value()), self);
  std::sort(ring.begin(), ring.end());
  const auto own = std::find_if(ring.begin(), ring.end(), [&self](const auto& entry) { return entry.second == self; });
  const auto place = static_cast<std::size_t>(own - ring.begin());
  std::set<HostId> hosts;
  for (std::size_t step = 1; step <= ReportRing::kNeighbours; ++step) {
    hosts.insert(ring[(place + step) % ring.size()].second);
    hosts.insert(ring[(place + ring.size() - step) % ring.size()].second);
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
