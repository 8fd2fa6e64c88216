#include "servers/catalogue/known_members.h"

namespace teaselrudder {

bool KnownMembers::is_outdated(const MemberEntry& entry) const {
  const auto removed = m_removed.find(entry.member);
  if (removed != m_removed.end() && entry.started_at_ms <= removed->second.started_at_ms) {
    return true;
  }
  const auto known = m_members.find(entry.member);
  if (known == m_members.end() || entry.started_at_ms > known->second.started_at_ms) {
    return false;
  }
  const bool is_earlier_life = entry.started_at_ms < known->second.started_at_ms;
  return is_earlier_life || (known->second.leaving && !entry.leaving);
}

void KnownMembers::on_updated(const MemberEntry& entry) {
  m_members[entry.member] = {entry.started_at_ms, entry.leaving};
  m_removed.erase(entry.member);
}

void KnownMembers::on_removed(const MemberId& member, TimePoint now) {
  std::erase_if(m_removed, [now](const auto& removed) { return removed.second.removed_at + kRemovalRetention <= now; });
  const auto known = m_members.find(member);
  if (known == m_members.end()) {
    return;
  }
  m_removed[member] = {known->second.started_at_ms, now};
  m_members.erase(known);
}

std::vector<MemberId> KnownMembers::missing_in(const std::set<MemberId>& listed) const {
  std::vector<MemberId> missing;
  for (const auto& [member, life] : m_members) {
    if (!listed.contains(member)) {
      missing.push_back(member);
    }
  }
  return missing;
}

}  // namespace teaselrudder
