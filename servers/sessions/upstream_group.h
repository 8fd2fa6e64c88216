#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/log_point.h"
#include "core/ports/evidence_port.h"
#include "core/routing_table.h"
#include "servers/sessions/admission_window.h"
#include "servers/sessions/position_evidence.h"

namespace teaselrudder {

/// One member of a group as this host sees it.
struct UpstreamMember {
  MemberEntry entry;
  /// When the entry began to say that the member leaves.
  std::optional<TimePoint> leaving_since;
  /// When the entry disappeared from the store.
  std::optional<TimePoint> gone_since;
  /// Connections of this host, opening ones included.
  std::vector<ConnectionId> connections;
  std::size_t opening = 0;
  std::uint32_t connect_failures = 0;
  TimePoint next_connect_at;
  /// When the member last refused a connection because of its limit.
  TimePoint limit_reached_at;
  /// Until then the member gets work only if no other can take it.
  TimePoint avoid_until;
  /// Newest position that the member said it has applied, and when.
  LogPoint applied;
  TimePoint applied_at;
  /// Statements of this host that may run at the member at once.
  AdmissionWindow window;
  /// Moving average of the time between a read and its answer.
  Duration read_latency = std::chrono::milliseconds(15);
  TimePoint heard_at;
  /// Since when attempts to reach the member are unanswered.
  std::optional<TimePoint> silent_since;
};

/// One database group as this host sees it: its members, which of them leads, and how far the log has come.
class UpstreamGroup {
 public:
  /// A member whose entry is missing after the store was away is used this much longer: live members write their
  /// entries again within two seconds.
  static constexpr Duration kReentryGrace = std::chrono::milliseconds(2200);

  /// Time after the last commit for which commits without an answer show that the primary's are stalled. Callers that
  /// get no answer try again sooner; without any of them nothing waits.
  static constexpr Duration kCommitsWaitFor = std::chrono::seconds(2);

  /// Time for which an answer of the primary or a new belief is news. Evidence for bounded reads is of use up to their
  /// bound, of which the largest is 2.5 s.
  static constexpr Duration kNewsFor = std::chrono::milliseconds(2500);

  explicit UpstreamGroup(GroupId group) : m_group(std::move(group)) {}

  const GroupId& id() const { return m_group; }

  /// Takes over the operator's configuration of the group.
  void configure(const ReplicatedGroup& configuration) { m_configuration = configuration; }
  const ReplicatedGroup& configuration() const { return m_configuration; }

  /// Takes over a member's entry. Returns true if it names another primary than the one believed in.
  bool on_member_seen(const MemberEntry& entry, TimePoint now);

  /// Notes that a member's entry is missing. `store_was_away` tells whether the store has just been out of reach, in
  /// which case the entry may come back.
  void on_member_gone(const MemberId& member, bool store_was_away, TimePoint now);

  /// Removes members whose entries stayed away, and returns them.
  std::vector<UpstreamMember> remove_gone(TimePoint now);

  /// Returns the most members that the group had at one time.
  std::size_t largest_size() const { return m_largest_size; }

  std::map<MemberId, UpstreamMember>& members() { return m_members; }
  const std::map<MemberId, UpstreamMember>& members() const { return m_members; }
  UpstreamMember* find(const MemberId& member);
  const UpstreamMember* find(const MemberId& member) const;

  /// Returns the member believed to lead, if it is known.
  const std::optional<MemberId>& primary() const { return m_primary; }
  /// Returns the term of that belief; zero if no member confirmed it.
  Term term() const { return m_term; }

  /// Believes that `member` leads in `term`, unless a later term is known. Returns true if the belief changed.
  bool learn_primary(const MemberId& member, Term term, TimePoint now);

  /// Notes that something was sent to `member` or a connection to it was begun.
  void on_attempt(const MemberId& member, TimePoint now);

  /// Notes an answer of `member`; `waiting` tells whether others are still due.
  void on_answer(const MemberId& member, bool waiting, TimePoint now);

  /// Notes the answer of a member that led when it gave it.
  void on_primary_position(const LogPoint& position, TimePoint requested_at);

  /// Notes a position that a status report says the primary held at `at`. A primary that has been replaced may not know
  /// it yet, so this is no evidence for reads.
  void on_reported_position(const LogPoint& position, TimePoint at);

  /// Returns the position that a replica must have received to be promoted: commits up to there may have been
  /// acknowledged because of a replica that has left the group since. Nothing while that position is not known, because
  /// the primary has not been heard since the replica left.
  const std::optional<LogPoint>& log_floor() const { return m_log_floor; }

  void on_commit_sent(TimePoint now);
  void on_commit_acknowledged(TimePoint now);

  /// Returns for how long commits have waited for an acknowledgement; zero if none waits.
  Duration commit_stall(TimePoint now) const;

  const PositionEvidence& evidence() const { return m_evidence; }

  /// Tells whether the primary is known and answers: neither an attempt to reach it nor a commit has waited for
  /// `limit`.
  bool is_primary_reachable(Duration limit, TimePoint now) const;

  /// Returns what other hosts are told about the primary.
  PrimaryEvidence report(TimePoint now) const;

  /// Tells whether other hosts need report(): this host has lately heard the primary, waits for it, or believes in
  /// another one than before. Without it, reports would grow with the number of groups instead of with the traffic.
  bool has_news(TimePoint now) const;

 private:
  GroupId m_group;
  ReplicatedGroup m_configuration;
  std::map<MemberId, UpstreamMember> m_members;
  std::size_t m_largest_size = 0;
  std::optional<LogPoint> m_log_floor = LogPoint{};
  /// When a replica last left.
  TimePoint m_replica_left_at;
  std::optional<MemberId> m_primary;
  TimePoint m_primary_learned_at;
  Term m_term;
  PositionEvidence m_evidence;
  std::optional<TimePoint> m_commit_acknowledged_at;
  std::optional<TimePoint> m_commit_waits_since;
  TimePoint m_commit_sent_at;
};

}  // namespace teaselrudder
