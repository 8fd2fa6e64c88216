#include "servers/failover/fleet_evidence.h"

#include <algorithm>
#include <utility>

namespace teaselrudder {

namespace {

/// Lowers `lowest` to the sum of `elapsed` and `age`, if there is an elapsed time.
void note_age(std::optional<Duration>& lowest, const std::optional<Duration>& elapsed, Duration age) {
  if (elapsed.has_value()) {
    lowest = std::min(lowest.value_or(*elapsed + age), *elapsed + age);
  }
}

}  // namespace

FleetEvidence::FleetEvidence(const UpstreamGroup& group, std::optional<MemberId> primary, const EvidenceBoard& board,
                             const EvidenceLimits& limits, TimePoint now)
    : m_primary(std::move(primary)) {
  add(group.report(now), Duration(0), limits);
  board.visit_fresh_evidence(group.id(), now, [&](const PrimaryEvidence& evidence, Duration age) {
    add(evidence, age, limits);
    add_of_other_host(evidence, age, limits);
  });
}

void FleetEvidence::add(const PrimaryEvidence& evidence, Duration age, const EvidenceLimits& limits) {
  m_is_doubted = m_is_doubted || evidence.doubts_primary;
  if (evidence.primary != m_primary) {
    return;
  }
  note_age(m_last_answer_age, evidence.last_answer_age, age);
  note_age(m_commit_age, evidence.commit_age, age);
  m_is_awaited = m_is_awaited || evidence.unanswered_for >= limits.awaited;
  m_silent_hosts += evidence.unanswered_for >= limits.unanswered ? 1 : 0;
  m_stalled_hosts += evidence.commit_stalled_for >= limits.stalled ? 1 : 0;
}

void FleetEvidence::add_of_other_host(const PrimaryEvidence& evidence, Duration age, const EvidenceLimits& limits) {
  if (evidence.primary != m_primary) {
    return;
  }
  if (evidence.last_answer_age.has_value() && *evidence.last_answer_age + age < limits.answered) {
    ++m_others_with_answer;
  } else if (evidence.unanswered_for >= limits.unanswered) {
    ++m_others_without_answer;
  }
}

}  // namespace teaselrudder
