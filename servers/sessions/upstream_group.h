#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/group_leader.h"
#include "core/log_point.h"
#include "core/ports/evidence_port.h"
#include "core/routing_table.h"
#include "servers/sessions/admission_window.h"
#include "servers/sessions/position_evidence.h"

namespace teaselrudder {

/// What this host knows about one member of a group.
struct UpstreamMember {
  /// Time for which a member's connections count as scarce after a host was refused one.
  static constexpr Duration kScarcityTime = std::chrono::seconds(2);

  MemberEntry entry;
  /// When the member's store entry was first seen marked as leaving.
  std::optional<TimePoint> leaving_since;
  /// When the member's entry disappeared from the store.
  std::optional<TimePoint> missing_since;
  /// Connections of this host to the member, including those being opened.
  std::vector<ConnectionId> connections;
  std::size_t opening = 0;
  std::uint32_t connect_failures = 0;
  TimePoint next_connect_at;
  /// When the member last refused a connection because its limit was reached.
  TimePoint limit_reached_at;
  /// When another host last reported that it has no connection because the limit was reached.
  TimePoint lacked_elsewhere_at;
  /// Until this time the member is used only if no other one is available.
  TimePoint avoid_until;
  /// Last log position that the member reported as applied, and when it did.
  LogPoint applied;
  TimePoint applied_at;
  /// Limit on the statements of this host that run at the member at the same time.
  AdmissionWindow window;
  /// Moving average of the read latency, measured from sending to reply.
  Duration read_latency = std::chrono::milliseconds(15);
  TimePoint last_reply_at;
  /// Since when requests to the member have gone without an answer; nothing if no answer is outstanding.
  std::optional<TimePoint> silent_since;

  /// Returns true if the member's connections do not suffice for all hosts.
  bool has_scarce_connections(TimePoint now) const {
    const TimePoint latest = std::max(limit_reached_at, lacked_elsewhere_at);
    return latest != TimePoint() && now < latest + kScarcityTime;
  }

  /// Returns true if this host has no connection because the member's limit was reached.
  bool lacks_connection(TimePoint now) const {
    return connections.size() == opening && limit_reached_at != TimePoint() && now < limit_reached_at + kScarcityTime;
  }
};

/// What this host knows about one database group: its members, its primary, and the progress of its log.
class UpstreamGroup {
 public:
  /// Time for which a member is kept whose entry is missing after the store was unreachable. Running members write
  /// their entries again within two seconds.
  static constexpr Duration kMissingEntryGracePeriod = std::chrono::milliseconds(2200);

  /// Time after the last commit was sent in which unanswered commits count as stalled. Callers without an answer retry
  /// within this time; if no commit is sent, no caller is waiting.
  static constexpr Duration kCommitStallWindow = std::chrono::seconds(2);

  /// Time for which a doubt about the primary or a request for a lease is reported.
  static constexpr Duration kRequestRelevance = std::chrono::milliseconds(400);

  /// Time for which an answer of the primary, or a change of the known primary, is worth reporting to other hosts. Log
  /// positions are useful for bounded reads up to their staleness bound, which is at most 2.5 s.
  static constexpr Duration kReportRelevance = std::chrono::milliseconds(2500);

  explicit UpstreamGroup(GroupId group) : m_group(std::move(group)) {}

  const GroupId& id() const { return m_group; }

  /// Applies the operator's configuration of the group.
  void configure(const ReplicatedGroup& configuration) { m_configuration = configuration; }
  const ReplicatedGroup& configuration() const { return m_configuration; }

  /// Applies a member's entry from the store. If no primary was known yet, an entry that claims that its member is the
  /// primary names it for the time being, in term zero. Otherwise a new claim raises a doubt about the known primary.
  void on_member_seen(const MemberEntry& entry, TimePoint now);

  /// Notes that a member's entry is missing in the store. `store_was_unreachable` is true if the store has just been
  /// unreachable, in which case the member may write its entry again.
  void on_member_missing(const MemberId& member, bool store_was_unreachable, TimePoint now);

  /// Removes the members whose entries have been missing for too long, and returns them.
  std::vector<UpstreamMember> remove_missing(TimePoint now);

  /// Returns the largest number of members that this host has ever known in the group at the same time, not counting
  /// those that were leaving.
  std::size_t largest_size() const { return m_largest_size; }

  std::map<MemberId, UpstreamMember>& members() { return m_members; }
  const std::map<MemberId, UpstreamMember>& members() const { return m_members; }
  UpstreamMember* find(const MemberId& member);
  const UpstreamMember* find(const MemberId& member) const;

  /// Returns the known primary, if any.
  const std::optional<MemberId>& primary() const { return m_primary; }
  /// Returns the term in which the holder of the failover duty announced the primary; zero if only its own entry names
  /// it. Statements are sent to it only after the announcement.
  Term term() const { return m_term; }
  /// Returns the primary with its term; nothing if none has been announced.
  std::optional<GroupLeader> announced_leader() const {
    return m_term == Term(0) || !m_primary.has_value() ? std::nullopt : std::optional(GroupLeader{*m_primary, m_term});
  }

  /// Sets the primary to `member` in `term`, as announced by the holder of the failover duty, unless a later term is
  /// known. Returns true if the primary changed.
  bool update_primary(const MemberId& member, Term term, TimePoint now);

  /// Notes a lease. It is ignored if its leader is not the known primary.
  void on_lease(const PrimaryLease& lease, TimePoint now);

  /// Drops the leases on the primary of `replaced`, because the holder of the failover duty is replacing it, and
  /// ignores those that were granted before.
  void revoke_leases(Term replaced, TimePoint now);
  /// Ends the revocation, because the replacement was given up.
  void end_revocation() { m_revocation.reset(); }
  /// Returns true if the leases on the known primary were revoked and none has been granted since. Its replacement may
  /// still take effect.
  bool was_being_replaced() const { return m_revocation.has_value() && m_revocation->term >= m_term; }
  /// Notes that another host reports that the leases on the primary of `term` were revoked and none was granted since.
  /// This host may have missed the revocation.
  void note_revoked_elsewhere(Term term, TimePoint now);
  bool was_revoked_elsewhere() const {
    return m_revocation_elsewhere.has_value() && m_revocation_elsewhere->term >= m_term;
  }
  bool is_revoked(TimePoint now) const { return m_revocation.has_value() && now < m_revocation->until; }

  /// Notes that a caller was told that the commit at `position` is durable.
  void note_acknowledged(const LogPoint& position) { m_acknowledged = std::max(m_acknowledged, position); }
  /// Returns the highest position that a caller was told to be durable, as far as this host knows.
  const LogPoint& acknowledged() const { return m_acknowledged; }

  /// Returns true if a lease on reading at the primary is valid at `time`. The time must be after the announcement of
  /// the primary.
  bool is_leased_at(TimePoint time) const;

  /// Returns the newest lease on the known primary, also if it has run out.
  const std::optional<PrimaryLease>& lease() const { return m_lease; }
  TimePoint lease_arrived_at() const { return m_lease_arrived_at; }

  /// Returns true if acknowledgements of `primary` that arrive at `time` may be passed on: no other member is promoted
  /// before it holds the commit.
  bool may_acknowledge(const GroupLeader& primary, TimePoint time) const;

  /// Notes that another host has no connection to `member` because the member's limit was reached.
  void on_connection_lacked_elsewhere(const MemberId& member, TimePoint now);

  /// Returns true if the log of the primary contains every commit that was acknowledged before `time`: it is leased
  /// beyond that time, or a commit or an answer under a lease since then proves it.
  bool primary_holds_commits_before(TimePoint time) const;

  /// Notes that statements wait for a lease. A request lapses when a lease arrives.
  void request_lease(TimePoint now) { m_lease_requested_at = now; }
  bool requests_lease(TimePoint now) const;

  /// Notes a sign that the known primary is not the primary. Doubts are reported to the holder of the failover duty,
  /// who then asks the members.
  void doubt_primary(TimePoint now) { m_doubted_at = now; }
  bool doubts_primary(TimePoint now) const;

  /// Notes that a command was sent to `member` or a connection attempt was started.
  void on_attempt(const MemberId& member, TimePoint now);

  /// Notes an answer of `member`. `waiting` is true if further answers are outstanding.
  void on_answer(const MemberId& member, bool waiting, TimePoint now);

  /// Notes a log position of the primary. The log up to it contains every commit acknowledged before `requested_at`.
  void on_primary_position(const LogPoint& position, TimePoint requested_at);

  /// Notes a log position that a member reported as primary in a status report at `at`. The member may have been
  /// replaced without knowing it, so the position is not used for reads.
  void on_reported_position(const LogPoint& position, TimePoint at);

  /// Returns the log position that a replica must have received to be promoted. Commits up to it may have been
  /// acknowledged because of a replica that has since left the group. Returns nothing while this position is unknown,
  /// because the primary has not reported a position since the replica left.
  const std::optional<LogPoint>& min_promotion_position() const { return m_min_promotion_position; }

  void on_commit_sent(TimePoint now);
  void on_commit_acknowledged(TimePoint now);

  /// Returns how long commits have waited for an acknowledgement; zero if none is waiting.
  Duration commit_stall(TimePoint now) const;

  const PositionEvidence& evidence() const { return m_evidence; }

  /// Returns true if the primary is known and neither a request to it nor a commit has been without an answer for
  /// `limit` or longer.
  bool is_primary_reachable(Duration limit, TimePoint now) const;

  /// Returns the information about the primary that is reported to other hosts.
  PrimaryEvidence report(TimePoint now) const;

  /// Returns true if report() is of use to other hosts: the primary has answered this host recently, has an outstanding
  /// request or commit, or was learned recently. Leaving out other groups keeps the reports proportional to the traffic
  /// instead of to the number of groups.
  bool needs_report(TimePoint now) const;

 private:
  /// Returns true if another member runs at the address of `left`. It has restarted under another id, or taken over,
  /// with the log of `left`.
  bool has_successor(const UpstreamMember& left) const;
  /// Returns the number of known members that are not leaving.
  std::size_t count_staying() const;

  GroupId m_group;
  ReplicatedGroup m_configuration;
  std::map<MemberId, UpstreamMember> m_members;
  std::size_t m_largest_size = 0;
  std::optional<LogPoint> m_min_promotion_position = LogPoint{};
  /// When a replica's entry last disappeared.
  TimePoint m_replica_left_at;
  std::optional<MemberId> m_primary;
  TimePoint m_primary_learned_at;
  Term m_term;
  std::optional<PrimaryLease> m_lease;
  /// When the newest lease arrived.
  TimePoint m_lease_arrived_at;
  /// Leases on the primary of `term` that end before `until` were granted before it was to be replaced.
  struct Revocation {
    Term term;
    TimePoint until;
  };
  std::optional<Revocation> m_revocation;
  /// A revocation that another host reported. Only a lease that was granted since ends it.
  std::optional<Revocation> m_revocation_elsewhere;
  LogPoint m_acknowledged;
  std::optional<TimePoint> m_lease_requested_at;
  std::optional<TimePoint> m_doubted_at;
  PositionEvidence m_evidence;
  std::optional<TimePoint> m_commit_acknowledged_at;
  std::optional<TimePoint> m_commit_waits_since;
  TimePoint m_commit_sent_at;
};

}  // namespace teaselrudder
