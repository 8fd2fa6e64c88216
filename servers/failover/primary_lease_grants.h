#pragma once

#include <map>
#include <optional>

#include "core/group_leader.h"
#include "core/time.h"

namespace teaselrudder {

/// The leases on one group that the holder of the failover duty grants.
///
/// A lease allows the hosts to read at the primary of a term for a bounded time. A new leader is announced only when
/// the leases of earlier terms have run out. Since hosts commit in a term only after its leader was announced, no
/// commit of a later term is acknowledged while a lease is valid, and a read at the leased primary sees every
/// acknowledged commit, even if the primary was replaced and has not noticed. (Leases: Gray and Cheriton, "Leases: An
/// Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989.)
///
/// A holder knows the leaders that it announced itself. A former holder may have announced one that no host in reach
/// has heard of, so a new holder grants leases only on a leader that has shown since the begin of the duty that it
/// leads.
///
/// Hosts measure leases on clocks that also run while a machine is suspended, from the time at which the holder sent
/// them, so only differences in the rate of the clocks matter.
class PrimaryLeaseGrants {
 public:
  static constexpr Duration kTimeToLive = PrimaryLease::kTimeToLive;
  /// Bound on the difference between two clocks within one lease.
  static constexpr Duration kClockMargin = std::chrono::milliseconds(20);
  /// Time after the begin of the duty in which no leader is announced: leases of the former holder may be valid, and a
  /// former holder that could not be reached learns only from a third host that it was replaced.
  static constexpr Duration kTakeoverWait = kTimeToLive + std::chrono::milliseconds(500);
  /// Time after the begin of the duty in which no lease is granted, so that reports of other hosts can tell of a leader
  /// that the former holder announced.
  static constexpr Duration kTakeoverSilence = std::chrono::milliseconds(300);

  explicit PrimaryLeaseGrants(TimePoint duty_began) : m_duty_began(duty_began) {}

  /// Notes that `leader` answered, to a request sent at `sent_at`, as the primary of its term. It is ignored if the
  /// leader of a later term is confirmed, since a replaced primary may go on.
  void on_leader_confirmed(const GroupLeader& leader, TimePoint sent_at);

  /// Notes that `member` reported, to a request sent at `sent_at`, that it does not lead.
  void on_leader_denied(const MemberId& member, TimePoint sent_at);

  /// Returns true if `leader` has shown since the begin of the duty that it leads.
  bool is_confirmed(const GroupLeader& leader) const { return m_confirmed == leader; }

  /// Grants a lease on `announced`, unless it has not been confirmed, another leader waits for its announcement or the
  /// duty has only just begun.
  void grant(const GroupLeader& announced, TimePoint now);

  /// Returns the end of the lease that reports may pass on; nothing if none has been granted.
  std::optional<TimePoint> granted_until() const { return m_granted_until; }

  /// Returns the time at which all granted leases, those of the former holder included, have run out.
  TimePoint all_ended_at() const;

  /// Returns the time from which on no host passes on acknowledgements of the leased primary.
  TimePoint commits_end_at() const;

  /// Notes that a member reported that it leads. It is announced later if its term is above `announced`.
  void on_leader_found(const GroupLeader& leader, Term announced);

  /// Returns the leader that waits for its announcement.
  const std::optional<GroupLeader>& unannounced() const { return m_unannounced; }

  /// Returns true if a leader waits for its announcement and the leases of earlier terms have run out.
  bool is_announcement_due(TimePoint now) const { return m_unannounced.has_value() && now >= all_ended_at(); }

  /// Returns the waiting leader once the leases of earlier terms have run out. Drops it if `announced` is a later term.
  std::optional<GroupLeader> take_leader(Term announced, TimePoint now);

 private:
  TimePoint m_duty_began;
  std::optional<TimePoint> m_granted_until;
  std::optional<GroupLeader> m_unannounced;
  std::optional<GroupLeader> m_confirmed;
  /// When each member that reported that it does not lead was last asked.
  std::map<MemberId, TimePoint> m_denied_at;
};

}  // namespace teaselrudder
