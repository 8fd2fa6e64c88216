#include "servers/quota/allocator_choice.h"

#include <algorithm>
#include <string>

namespace teaselrudder {

void AllocatorChoice::set_hosts(const std::set<HostId>& others) {
  if (others == m_others && !m_order.front().empty()) {
    return;
  }
  m_others = others;
  std::vector<HostId> hosts(others.begin(), others.end());
  hosts.push_back(m_self);
  for (std::size_t shard = 0; shard < kQuotaShards; ++shard) {
    m_order[shard] = rank_hosts(hosts, "quota " + std::to_string(shard));
  }
  std::erase_if(m_unreachable, [this](const HostId& host) { return !m_others.contains(host); });
  std::erase_if(m_unanswered_since, [this](const auto& waiting) { return !m_others.contains(waiting.first); });
}

const HostId& AllocatorChoice::allocator(std::size_t shard) const {
  const auto first = std::find_if(m_order[shard].begin(), m_order[shard].end(),
                                  [this](const HostId& host) { return !m_unreachable.contains(host); });
  return first == m_order[shard].end() ? m_self : *first;
}

void AllocatorChoice::on_answer(const HostId& host) {
  m_unanswered_since.erase(host);
  m_unreachable.erase(host);
}

std::vector<HostId> AllocatorChoice::take_silent(TimePoint now) {
  std::vector<HostId> silent;
  std::erase_if(m_unanswered_since, [&](const auto& waiting) {
    if (now < waiting.second + kAnswerTimeout) {
      return false;
    }
    if (m_unreachable.insert(waiting.first).second) {
      silent.push_back(waiting.first);
    }
    return true;
  });
  return silent;
}

std::set<HostId> AllocatorChoice::take_probes(TimePoint now) {
  std::set<HostId> probes;
  if (m_unreachable.empty() || now < m_next_probe) {
    return probes;
  }
  m_next_probe = now + kProbeInterval;
  for (const std::vector<HostId>& order : m_order) {
    if (m_unreachable.contains(order.front())) {
      probes.insert(order.front());
    }
  }
  return probes;
}

TimePoint AllocatorChoice::next_wakeup() const {
  TimePoint next = TimePoint::max();
  for (const auto& [host, since] : m_unanswered_since) {
    next = std::min(next, since + kAnswerTimeout);
  }
  return next;
}

}  // namespace teaselrudder
