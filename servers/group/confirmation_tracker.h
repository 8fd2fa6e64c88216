#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/log_point.h"
#include "core/member_status.h"
#include "core/time.h"
#include "servers/group/group_action.h"

namespace teaselrudder {

/// A member's report as evidence for confirmations.
struct MemberEvidence {
  MemberId member;
  MemberStatus status;
  /// The probe that the report answers; absent for a report that came with another operation.
  std::optional<ProbeId> probe;
  TimePoint requested_at;
};

/// Open confirmations of a group. One report of a member serves all of them.
///
/// A point (t, p) is confirmed once a majority of members has reported raised_term == t, log_term == t and
/// received >= p in reports that were requested after the confirmation began. A later report of a higher term takes
/// a member's vote back.
class ConfirmationTracker {
 public:
  explicit ConfirmationTracker(GroupTimings timings) : m_timings(timings) {}

  /// Takes over the members. If they differ, all votes are collected again.
  void set_members(const std::vector<MemberId>& members, TimePoint now);

  /// Opens a confirmation. Reports count from the probe `first_probe` on. `primary_report` is the report that came
  /// with the operation and `point`; it counts as the primary's vote.
  ConfirmationId open(const LogPoint& point, TimePoint deadline, ProbeId first_probe,
                      const std::optional<MemberEvidence>& primary_report, TimePoint now);

  /// Forgets a confirmation.
  void cancel(ConfirmationId confirmation);

  /// Counts a report and plans the member's next probe.
  void on_report(const MemberEvidence& evidence, TimePoint now);

  /// Fails all confirmations of terms below `term`, in which a primary is known.
  void on_primary_term(Term term);

  /// Fails the confirmations whose deadline has passed.
  void fail_expired(TimePoint now);

  /// Notes that a probe of `member` is on its way.
  void on_probe_sent(const MemberId& member);

  /// Returns when the open confirmations want the next probe of `member`; nothing if they don't.
  std::optional<TimePoint> next_probe_at(const MemberId& member) const;

  /// Returns the earliest deadline.
  std::optional<TimePoint> next_deadline() const;

  /// Returns the confirmations that ended since the last call.
  std::vector<ConfirmationDone> take_results();

 private:
  // Votes are a bit set over member indexes; kMaxMembersPerGroup fits.
  using Votes = std::uint32_t;

  struct OpenConfirmation {
    LogPoint point;
    TimePoint deadline;
    ProbeId first_probe;
    TimePoint opened_at;
    Votes votes = 0;
  };

  struct MemberProgress {
    MemberId id;
    Term raised_term;
    std::optional<TimePoint> next_probe_at;
    Duration delay{0};
  };

  std::optional<std::size_t> index_of(const MemberId& member) const;
  void count_vote(OpenConfirmation& open, std::size_t index, const MemberEvidence& evidence) const;
  std::optional<bool> outcome(const OpenConfirmation& open) const;
  void schedule_probe(std::size_t index, const std::optional<ProbeId>& probe, TimePoint now);
  std::map<ConfirmationId, OpenConfirmation>::iterator finish(std::map<ConfirmationId, OpenConfirmation>::iterator open,
                                                              bool confirmed);

  GroupTimings m_timings;
  std::vector<MemberProgress> m_members;
  std::map<ConfirmationId, OpenConfirmation> m_open;
  std::set<std::pair<TimePoint, ConfirmationId>> m_deadlines;
  std::vector<ConfirmationDone> m_results;
  Term m_primary_term;
  std::uint64_t m_next_id = 1;
};

}  // namespace teaselrudder
