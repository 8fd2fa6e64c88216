#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/member_status.h"
#include "core/time.h"
#include "servers/group/group_action.h"

namespace teaselrudder {

/// Schedules the probes of a group's members and keeps what they reported last.
///
/// A member has at most one outstanding probe. After a failed probe the next one asks for a new connection, and only
/// the failure of such a probe lets the member be suspected.
class MemberMonitor {
 public:
  explicit MemberMonitor(GroupTimings timings) : m_timings(timings) {}

  /// Takes over the members. New ones are probed at `now` and not suspected before the suspicion timeout.
  void set_members(const std::vector<MemberId>& members, TimePoint now);

  /// Marks probes without an answer as failed.
  void expire_probes(TimePoint now);

  /// Tells whether a probe of `member` may start at `now`. `confirmation_probe_at` is when a confirmation wants one; it
  /// does not speed up the probes of a member whose new connection failed as well.
  bool is_due(const MemberId& member, std::optional<TimePoint> confirmation_probe_at, TimePoint now) const;

  /// Starts a probe of `member`, which must have none outstanding.
  SendProbe start_probe(const MemberId& member, TimePoint now);

  /// Accepts the answer to the outstanding probe and returns when it was sent, or nothing for any other probe.
  std::optional<TimePoint> finish_probe(const MemberId& member, ProbeId probe);

  /// Marks the outstanding probe as failed. Any other probe is ignored.
  void fail_probe(const MemberId& member, ProbeId probe, TimePoint now);

  /// Keeps `status` unless a newer one is known. A report proves that the member is alive in any case.
  void record(const MemberId& member, const MemberStatus& status, TimePoint requested_at, TimePoint now);

  /// Begins again after this process was paused: what happened in the pause is no evidence against any member.
  void restart_after_pause(TimePoint now);

  /// True if `member` has been silent for the suspicion timeout and a new connection failed as well.
  bool is_suspected(const MemberId& member, TimePoint now) const;

  /// True if `member` reported within the suspicion timeout.
  bool is_responsive(const MemberId& member, TimePoint now) const;

  /// Returns the last status of `member`, or null.
  const MemberView* find(const MemberId& member) const;

  /// Returns the id that the next probe will get.
  ProbeId next_probe_id() const { return ProbeId(m_next_probe); }

  /// Returns when this class has something to do for `member`.
  TimePoint next_wakeup(const MemberId& member, std::optional<TimePoint> confirmation_probe_at, TimePoint now) const;

 private:
  struct MonitoredMember {
    std::optional<MemberView> view;
    std::optional<ProbeId> outstanding_probe;
    bool outstanding_probe_uses_new_connection = false;
    bool next_probe_uses_new_connection = true;
    bool new_connection_failed = false;
    std::uint32_t failures = 0;
    TimePoint sent_at;
    TimePoint next_probe_at;
    // Last evidence that the member is alive, or the time from which silence counts.
    TimePoint silent_since;
  };

  void mark_failed(MonitoredMember& member, TimePoint now) const;
  TimePoint due_at(const MonitoredMember& member, std::optional<TimePoint> confirmation_probe_at) const;

  GroupTimings m_timings;
  std::map<MemberId, MonitoredMember> m_members;
  std::uint64_t m_next_probe = 1;
};

}  // namespace teaselrudder
