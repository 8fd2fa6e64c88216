#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/member_status.h"
#include "core/time.h"

namespace teaselrudder {

/// One attempt of this host to replace the primary. Collects the answers to RaiseTerm for one new term and chooses the
/// member to promote.
class FailoverAttempt {
 public:
  FailoverAttempt(Term term, HostId candidate, std::set<MemberId> members, TimePoint started_at);

  Term term() const { return m_term; }

  /// Returns a time before any message of the attempt was sent.
  TimePoint started_at() const { return m_started_at; }

  /// Records a member's answer to RaiseTerm. It counts as a grant only if the status has the term and the candidate of
  /// this attempt.
  void on_answer(const MemberId& member, bool granted, const MemberStatus& status);

  /// Records that RaiseTerm failed or was rejected. A failed call may still have taken effect, so a later grant of the
  /// member counts.
  void on_error(const MemberId& member);

  /// Returns true if a majority of all members granted the term.
  bool has_majority() const;

  /// Returns true if the members that have not failed are too few for a majority.
  bool cannot_succeed() const;

  /// Returns the member to promote, or nothing before a majority granted the term. It is the one with the highest
  /// (log_term, received) among the members that granted; of equal ones, those in `avoided` come last.
  std::optional<MemberId> choose_new_primary(const std::set<MemberId>& avoided) const;

 private:
  std::size_t majority() const { return m_members.size() / 2 + 1; }

  Term m_term;
  HostId m_candidate;
  std::set<MemberId> m_members;
  TimePoint m_started_at;
  std::map<MemberId, MemberStatus> m_grants;
  std::set<MemberId> m_failed;
};

}  // namespace teaselrudder
