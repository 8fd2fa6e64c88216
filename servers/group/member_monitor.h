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

/// Schedules the probes of a group's members, stores their last status and detects members that are down.
///
/// A member has at most one outstanding probe. After a failed probe the next one uses a new connection. A member is
/// suspected only after a probe on a new connection failed, because the old connection alone may be broken.
class MemberMonitor {
 public:
  explicit MemberMonitor(GroupTimings timings) : m_timings(timings) {}

  /// Replaces the list of members and keeps the state of those that remain. New ones are probed at `now` and not
  /// suspected before the suspicion timeout.
  void set_members(const std::vector<MemberId>& members, TimePoint now);

  /// Marks probes that have had no answer for the probe timeout as failed.
  void expire_probes(TimePoint now);

  /// Returns true if a probe of `member` is due at `now`. `confirmation_probe_at` is when a confirmation needs one; it
  /// does not speed up the probes of a member to which a new connection failed.
  bool is_due(const MemberId& member, std::optional<TimePoint> confirmation_probe_at, TimePoint now) const;

  /// Starts a probe of `member`, which must have no outstanding probe.
  SendProbe start_probe(const MemberId& member, TimePoint now);

  /// Ends the outstanding probe after its answer and returns when it was sent, or nothing for any other probe.
  std::optional<TimePoint> finish_probe(const MemberId& member, ProbeId probe);

  /// Marks the outstanding probe as failed. Any other probe is ignored.
  void fail_probe(const MemberId& member, ProbeId probe, TimePoint now);

  /// Stores `status` unless a newer one is known. Even an outdated report shows that the member is alive.
  void record(const MemberId& member, const MemberStatus& status, TimePoint requested_at, TimePoint now);

  /// Restarts the probes and the suspicion timeout of all members after this process was paused, because silence during
  /// the pause does not show that a member is down.
  void restart_after_pause(TimePoint now);

  /// Returns true if `member` has been silent for the suspicion timeout and a new connection failed as well, or if it
  /// is not in the list.
  bool is_suspected(const MemberId& member, TimePoint now) const;

  /// Returns true if `member` reported within the suspicion timeout.
  bool is_responsive(const MemberId& member, TimePoint now) const;

  /// Returns the last status of `member`, or null if it never reported.
  const MemberView* find(const MemberId& member) const;

  /// Returns the id that the next probe will get.
  ProbeId next_probe_id() const { return ProbeId(m_next_probe); }

  /// Returns the next time at which a probe of `member` starts or times out or the member may become suspected.
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
    // Time of the last report, or of the start of monitoring; the suspicion timeout counts from here.
    TimePoint silent_since;
  };

  void mark_failed(MonitoredMember& member, TimePoint now) const;
  TimePoint due_at(const MonitoredMember& member, std::optional<TimePoint> confirmation_probe_at) const;

  GroupTimings m_timings;
  std::map<MemberId, MonitoredMember> m_members;
  std::uint64_t m_next_probe = 1;
};

}  // namespace teaselrudder
