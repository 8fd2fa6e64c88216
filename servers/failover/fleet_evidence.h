#pragma once

#include <cstddef>
#include <optional>

#include "core/ids.h"
#include "core/ports/evidence_port.h"
#include "core/time.h"
#include "servers/failover/evidence_board.h"
#include "servers/sessions/upstream_group.h"

namespace teaselrudder {

/// Times from which on a host's evidence speaks against the primary.
struct EvidenceLimits {
  /// Time without an answer after which a host counts as waiting for one.
  Duration awaited;
  /// Time without an answer after which the primary counts as silent for a host.
  Duration unanswered;
  /// Maximum age of an answer for the primary to count as alive for a host.
  Duration answered;
  /// Time without an acknowledgement after which the commits of a host count as stalled.
  Duration stalled;
};

/// What this host and the hosts with fresh reports say about the primary of one group, summed up in one pass over their
/// evidence. The holder of the failover duty makes one for each group and check, because its work would otherwise grow
/// with the number of questions that it asks.
class FleetEvidence {
 public:
  FleetEvidence() = default;
  FleetEvidence(const UpstreamGroup& group, std::optional<MemberId> primary, const EvidenceBoard& board,
                const EvidenceLimits& limits, TimePoint now);

  /// The member that the evidence is about; nothing if no primary is known.
  const std::optional<MemberId>& primary() const { return m_primary; }

  /// Returns true if a host has seen a sign that the primary it knows is not the primary.
  bool is_doubted() const { return m_is_doubted; }
  /// Returns true if a host has waited for an answer for `awaited` or longer.
  bool is_awaited() const { return m_is_awaited; }
  /// Returns true if the primary answered some host within the last `limit`.
  bool answered_within(Duration limit) const { return m_last_answer_age.has_value() && *m_last_answer_age < limit; }
  /// Returns true if a commit of some host was acknowledged within the last `limit`.
  bool acknowledged_within(Duration limit) const { return m_commit_age.has_value() && *m_commit_age < limit; }
  /// Returns the number of hosts for which the primary is silent, this one included.
  std::size_t silent_hosts() const { return m_silent_hosts; }
  /// Returns the number of hosts whose commits are stalled, this one included.
  std::size_t stalled_hosts() const { return m_stalled_hosts; }
  /// Returns the number of other hosts with a recent answer.
  std::size_t others_with_answer() const { return m_others_with_answer; }
  /// Returns the number of other hosts without a recent answer for which the primary is silent.
  std::size_t others_without_answer() const { return m_others_without_answer; }

 private:
  /// Adds the evidence of one host. Its ages are `age` too low.
  void add(const PrimaryEvidence& evidence, Duration age, const EvidenceLimits& limits);
  void add_of_other_host(const PrimaryEvidence& evidence, Duration age, const EvidenceLimits& limits);

  std::optional<MemberId> m_primary;
  bool m_is_doubted = false;
  bool m_is_awaited = false;
  std::optional<Duration> m_last_answer_age;
  std::optional<Duration> m_commit_age;
  std::size_t m_silent_hosts = 0;
  std::size_t m_stalled_hosts = 0;
  std::size_t m_others_with_answer = 0;
  std::size_t m_others_without_answer = 0;
};

}  // namespace teaselrudder
