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

/// One attempt of this host to replace the primary: a term, the members that granted it and the member to promote.
class FailoverAttempt {
 public:
  FailoverAttempt(Term term, HostId candidate, std::set<MemberId> members, TimePoint started_at);

  Term term() const { return m_term; }

  /// A time before any order of the attempt was sent.
  TimePoint started_at() const { return m_started_at; }

  /// Takes a member's answer to RaiseTerm. It counts as a grant only if the status names this attempt.
  void on_answer(const MemberId& member, bool granted, const MemberStatus& status);

  /// Takes a failed RaiseTerm, which may still have taken effect.
  void on_error(const MemberId& member);

  /// Tells whether a majority of all members granted the term.
  bool has_majority() const;

  /// Tells whether no majority can come about any more.
  bool cannot_succeed() const;

  /// Returns the member to promote once a majority granted the term: the one with the highest (log_term, received)
  /// among the granting members. Of equal ones, those in `avoided` come last.
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
