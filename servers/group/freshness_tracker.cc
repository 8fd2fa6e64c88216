#include "servers/group/freshness_tracker.h"

#include "core/config/configuration.h"

namespace teaselrudder {

void FreshnessTracker::set_majority(std::size_t majority) {
  m_majority = majority;
  m_pending.clear();
  m_reports.clear();
}

void FreshnessTracker::on_report(const MemberId& member, const MemberStatus& status, TimePoint requested_at,
                                 bool is_primary) {
  const Report report{status.raised_term, requested_at};
  const auto known = m_reports.find(member);
  if (known == m_reports.end() || requested_at >= known->second.requested_at) {
    m_reports[member] = report;
  }
  if (is_primary) {
    add_pending(status, requested_at);
  }
  for (Pending& pending : m_pending) {
    count(pending, member, report);
  }
  for (const Pending& pending : m_pending) {
    if (pending.supporters.size() >= m_majority) {
      add_valid(pending.sample);
    }
  }
  std::erase_if(m_pending, [this](const Pending& pending) { return pending.supporters.size() >= m_majority; });
}

void FreshnessTracker::add_pending(const MemberStatus& status, TimePoint requested_at) {
  if (!m_samples.empty() || !m_pending.empty()) {
    if (requested_at < m_last_sampled + kMinSpacing) {
      return;
    }
  }
  m_last_sampled = requested_at;
  if (m_pending.size() == kMaxPending) {
    m_pending.erase(m_pending.begin());
  }
  m_pending.push_back({{{status.log_term, status.received}, requested_at}, status.raised_term, {}});
  for (const auto& [member, report] : m_reports) {
    count(m_pending.back(), member, report);
  }
}

void FreshnessTracker::count(Pending& pending, const MemberId& member, const Report& report) {
  if (report.requested_at >= pending.sample.requested_at && report.raised_term <= pending.term) {
    pending.supporters.insert(member);
  }
}

void FreshnessTracker::add_valid(const FreshnessSample& sample) {
  if (!m_samples.empty() && sample.requested_at < m_samples.back().requested_at) {
    return;
  }
  m_samples.push_back(sample);
  std::erase_if(m_samples,
                [&sample](const FreshnessSample& old) { return old.requested_at + kMaxMaxAge < sample.requested_at; });
  if (m_samples.size() <= kMaxSamples) {
    return;
  }
  std::vector<FreshnessSample> thinned;
  for (std::size_t index = 0; index < m_samples.size(); ++index) {
    if (index >= kMaxSamples / 2 || index % 2 == 0) {
      thinned.push_back(m_samples[index]);
    }
  }
  m_samples = std::move(thinned);
}

}  // namespace teaselrudder
