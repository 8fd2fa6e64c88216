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

/// A status report of a member together with the time it was requested, which decides what the report proves.
struct MemberEvidence {
  MemberId member;
  MemberStatus status;
  /// The probe that the report answers; absent if the report came with the result of another operation.
  std::optional<ProbeId> probe;
  TimePoint requested_at;
};

/// Tracks the open confirmations of a group: checks that a majority of the members holds a log position. One report of
/// a member counts for all open confirmations.
///
/// A point (t, p) is confirmed once a majority of members has reported raised_term == t, log_term == t and
/// received >= p in reports that were requested after the confirmation began. A later report of a higher term revokes
/// the member's vote.
class ConfirmationTracker {
 public:
  explicit ConfirmationTracker(GroupTimings timings) : m_timings(timings) {}

  /// Replaces the list of members. If it differs, all votes are dropped and collected again.
  void set_members(const std::vector<MemberId>& members, TimePoint now);

  /// Opens a confirmation of `point`. Answers to probes count from `first_probe` on. `primary_report` is the report
  /// that came with the operation that returned `point`; it counts as the primary's vote. The confirmation fails at
  /// once if too many are open or a primary of a later term is known.
  ConfirmationId open(const LogPoint& point, TimePoint deadline, ProbeId first_probe,
                      const std::optional<MemberEvidence>& primary_report, TimePoint now);

  /// Drops a confirmation without a result. Unknown ids are ignored.
  void cancel(ConfirmationId confirmation);

  /// Counts a report for all open confirmations and schedules the member's next probe.
  void on_report(const MemberEvidence& evidence, TimePoint now);

  /// Records that a primary of `term` is known and fails all confirmations of earlier terms.
  void on_primary_term(Term term);

  /// Fails the confirmations whose deadline has passed.
  void fail_expired(TimePoint now);

  /// Records that a probe of `member` was sent, so that no further one is requested until its result.
  void on_probe_sent(const MemberId& member);

  /// Returns when the open confirmations need the next probe of `member`, or nothing if they need none.
  std::optional<TimePoint> next_probe_at(const MemberId& member) const;

  /// Returns the earliest deadline of an open confirmation, or nothing if none is open.
  std::optional<TimePoint> next_deadline() const;

  /// Returns the confirmations that ended since the last call.
  std::vector<ConfirmationDone> take_results();

 private:
  // Bit set over the indexes in m_members; wide enough for kMaxMembersPerGroup.
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
    Duration retry_delay{0};
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
