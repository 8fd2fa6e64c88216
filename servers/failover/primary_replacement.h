#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "core/chart/state_chart.h"
#include "core/metrics/counters.h"
#include "core/ports/event_log_port.h"
#include "core/ports/promotion_port.h"
#include "servers/failover/control_links.h"
#include "servers/failover/primary_lease_grants.h"
#include "servers/failover/promotion_orders.h"
#include "servers/sessions/upstream_group.h"

namespace teaselrudder {

/// States of a replacement, in the order of their names in misc/charts/primary_replacement.scxml.
enum class ReplacementState { kWatching, kSurveying, kSteppingDown, kStopping, kPromoting, kVerifying };

/// Events of a replacement, in the order of their names in the chart.
enum class ReplacementEvent {
  kReplacementDue,
  kSurveyed,
  kSteppedDown,
  kAllStopped,
  kPromotionAnswered,
  kLeads,
  kGivenUp,
};

/// Reason for replacing a primary.
enum class ReplacementReason {
  kLeaving,         // The primary's store entry is marked as leaving.
  kStoppedReplica,  // An earlier holder of the duty stopped a replica and did not resume it.
  kStalledCommits,  // The primary answers, but its commits are not acknowledged.
  kSilent,          // The primary does not answer.
  kNoPrimary,       // No member is known to be the primary.
};

std::string_view to_string(ReplacementReason reason);

/// Loads the state chart of the replacement, which is compiled into the binary. On failure the error says what is wrong
/// with the chart.
tl::expected<std::shared_ptr<const StateChart>, std::string> load_replacement_chart();

/// Dependencies of a PrimaryReplacement: sends commands to members, orders promotions, and receives the new primary.
struct ReplacementServices {
  ControlLinks& links;
  PromotionOrders& orders;
  std::function<void(const GroupId&, const MemberId&, FencingToken)> promote;
  /// Requests a higher fencing token.
  std::function<void()> renew_token;
  std::function<void(const GroupId&, const GroupLeader&)> on_leader;
  Counters& counters;
  EventLogPort& log;
  /// True if the platform rejects a promotion whose fencing token is lower than one used before.
  bool tokens_are_checked = true;
};

/// What a replacement must know about the duty and the group each time it advances.
struct ReplacementInput {
  /// Fencing token that this host holds now.
  FencingToken token;
  /// True if the store has recently confirmed the list of members.
  bool members_current = false;
  /// When no host passes on acknowledgements of the old primary any more, because all leases on it have run out.
  TimePoint commits_end_at;
  /// True if all hosts that this one hears have dropped their leases on the old primary and reported which commits
  /// callers know of.
  bool hosts_confirmed = false;
  /// When this host took the duty. Promotions of earlier holders can take effect for some time after it.
  TimePoint duty_began;
};

/// A replica that has stopped receiving.
struct StoppedReplica {
  /// End of its log.
  LogPoint received;
  /// When the command to stop was sent that it answered last.
  TimePoint sent_at;
};

/// Replaces the primary of one group without losing an acknowledged commit.
///
/// A commit is acknowledged once a replica has received it, and hosts pass an acknowledgement on only under a lease on
/// the primary. Every replica is told to stop receiving and to report its position. The positions that count are those
/// reported after the leases have run out: whatever a member receives later, because it has restarted or joined, no
/// caller is told that it is committed. The replica with the highest position then holds all commits that callers were
/// told of, and only this replica is promoted. If the group replicates synchronously, the replacement waits for a
/// replica that cannot be reached, and gives up after kStopTimeout. A primary that has stepped down acknowledges
/// nothing, so its leases are not waited for once the hosts know of it.
///
/// There are two further conditions on the candidate. A primary that was itself promoted may hold acknowledged commits
/// of earlier terms that no replica has received yet, so the candidate must have received a commit of the current term
/// or everything that the old primary holds. And a replica that has left the group may have been the only one with some
/// commit, so the candidate must have received what the primary held after that replica left.
class PrimaryReplacement {
 public:
  /// Timeout of the survey. If the group replicates asynchronously, this is also the time after which the replacement
  /// no longer waits for replicas that have not stopped.
  static constexpr Duration kSurveyTimeout = std::chrono::milliseconds(600);
  /// Time after which a promotion that had no visible effect is ordered again. A promotion takes hundreds of
  /// milliseconds.
  static constexpr Duration kVerifyTimeout = std::chrono::milliseconds(1500);
  /// Time after which a replacement gives up if some replica cannot be reached.
  static constexpr Duration kStopTimeout = std::chrono::seconds(6);
  /// Time after the end of the leases for which the replacement waits for the confirmation of hosts.
  static constexpr Duration kConfirmationTimeout = std::chrono::milliseconds(300);
  /// Time between two attempts above which the second one counts as the first of another replacement.
  static constexpr Duration kMaxPauseBetweenAttempts = std::chrono::seconds(2);
  /// Time after the begin of the first attempt for which only a replica is promoted that holds all commits that callers
  /// are known to know of. If none appears in this time, all members with these commits are taken for lost.
  static constexpr Duration kMaxWaitForAcknowledged = std::chrono::seconds(12);
  /// Minimum time between two commands to the same member.
  static constexpr Duration kCommandInterval = std::chrono::milliseconds(60);
  /// Minimum time between a replacement that gave up and the next one.
  static constexpr Duration kGiveUpBackoff = std::chrono::milliseconds(700);

  PrimaryReplacement(GroupId group, std::shared_ptr<const StateChart> chart, ReplacementServices services);

  /// Starts a replacement of `leader`, the last known primary, unless one is running or the delay after the last one
  /// that gave up has not passed.
  void begin(ReplacementReason reason, const std::optional<GroupLeader>& leader, TimePoint now);

  /// Advances the replacement. If the list of members is not current, the group may have a replica that this host does
  /// not know and that alone holds an acknowledged commit, so the replacement only goes on if at least as many members
  /// are known as this host has ever seen in the group at the same time (UpstreamGroup::largest_size()).
  void on_tick(const UpstreamGroup& group, const ReplacementInput& input, TimePoint now);

  void on_outcome(const UpstreamGroup& group, const ControlOutcome& outcome, TimePoint now);
  void on_promotion(const MemberId& member, PromotionOutcome outcome, TimePoint now);

  /// Returns true while a replica is stopped by a former holder of the duty, whose promotion may not have taken effect.
  bool awaits_former_promotion() const;

  /// Returns true if the replacement has begun to disturb the primary: hosts must no longer rely on it.
  bool disturbs_primary() const { return is_running() && (state() != ReplacementState::kSurveying || !is_planned()); }
  /// Returns the primary that is being replaced.
  const std::optional<GroupLeader>& replaced() const { return m_leader; }

  bool is_running() const { return state() != ReplacementState::kWatching; }
  ReplacementState state() const { return static_cast<ReplacementState>(m_state.value()); }

  /// Returns true once after the platform rejected the token.
  bool take_token_rejected() { return std::exchange(m_token_rejected, false); }

 private:
  void fire(ReplacementEvent event, const std::string& cause, TimePoint now);
  void send_command(const UpstreamGroup& group, const MemberId& member, MemberCommandKind command, TimePoint now);
  bool is_replica(const UpstreamGroup& group, const MemberId& member) const;
  /// Returns true if the primary still serves when the replacement begins, so that no commit has to be refused before
  /// the primary has stepped down.
  bool is_planned() const;
  std::size_t count_replicas(const UpstreamGroup& group) const;
  /// Returns true if every replica of the group is assumed to be known: the store has recently confirmed the list of
  /// members, or the known replicas and one primary are at least as many as the group's largest_size().
  bool knows_all_replicas(const UpstreamGroup& group) const;
  bool waits_for_token(TimePoint now);
  void restart_survey(TimePoint now);
  /// Returns true while a replica is stopped by an earlier holder of the duty whose promotion may not have taken effect
  /// yet. It ends the stop, and statements may run at the promoted member if it is the one that hosts know as the
  /// primary. The survey then begins again.
  bool waits_for_former_promotion(TimePoint now);
  void advance_survey(const UpstreamGroup& group, TimePoint now);
  void advance_step_down(const UpstreamGroup& group, TimePoint now);
  void advance_stop(const UpstreamGroup& group, TimePoint now);
  void advance_promotion(const UpstreamGroup& group, TimePoint now);
  /// Returns true if an unanswered promotion of another member may still take effect and would undo that of the
  /// candidate.
  bool conflicts_with_unanswered(const UpstreamGroup& group, TimePoint now) const;
  /// Returns true if the primary has stepped down and all hosts in reach know that it is being replaced, so that its
  /// leases need not be waited for.
  bool acknowledges_nothing() const;
  /// Returns true if the replica has reported its position since no host passes on acknowledgements any more.
  bool is_stopped(const MemberId& member) const;
  void advance_verification(const UpstreamGroup& group, TimePoint now);
  void choose_candidate(const UpstreamGroup& group, TimePoint now);
  /// Writes to the log what the order is based on.
  void log_order(const UpstreamGroup& group, TimePoint now) const;
  /// Returns true if some replica reported that it received `position`.
  bool is_received(const UpstreamGroup& group, const LogPoint& position) const;
  /// Returns true if the former primary is among the stopped members and held no more than `received`. It holds all
  /// commits that were acknowledged before another member is promoted.
  bool holds_log_of_former_leader(const LogPoint& received) const;
  /// Returns true if all listed members, including the old primary, have stopped and no replica has left with commits
  /// that no other member has: none has left since the primary last reported its position, or as many have stopped as
  /// the group ever had.
  bool has_stopped_all_members(const UpstreamGroup& group) const;
  bool holds_whole_log(const UpstreamGroup& group, const LogPoint& received) const;
  /// Lets the stopped replicas receive the log of the new primary. A promotion ends the stop only if the new term
  /// reaches the term of the stop, which rises with each attempt.
  void resume_followers(const UpstreamGroup& group, const MemberId& leader, TimePoint now);
  /// Lets stopped replicas receive again. Those that a former holder of the duty has stopped stay so while its order
  /// can take effect.
  void resume_replicas(const UpstreamGroup& group, TimePoint now);
  bool is_stopped_by_former_holder(const MemberReport& report) const {
    return report.stopped_below > Term(0) && !m_own_terms.contains(report.stopped_below);
  }
  void give_up(const UpstreamGroup& group, const std::string& cause, TimePoint now);

  GroupId m_group;
  std::shared_ptr<const StateChart> m_chart;
  ReplacementServices m_services;
  ChartState m_state;
  ReplacementReason m_reason = ReplacementReason::kSilent;
  bool m_token_rejected = false;
  TimePoint m_began_at;
  TimePoint m_state_entered_at;
  TimePoint m_earliest_begin;
  /// Begin of the first attempt since the last one that found a primary.
  std::optional<TimePoint> m_first_begun_at;
  std::optional<GroupLeader> m_leader;
  std::optional<MemberId> m_old_primary;
  Term m_term;
  /// Newest known term in which a member was the primary before the replacement.
  Term m_current_term;
  std::map<MemberId, MemberReport> m_reports;
  std::map<MemberId, StoppedReplica> m_stopped;
  /// Terms in which this host has stopped replicas. A replica that is stopped in another term was stopped by an earlier
  /// holder of the duty, whose order for a promotion may still take effect.
  std::set<Term> m_own_terms;
  std::map<MemberId, TimePoint> m_command_sent_at;
  bool m_step_down_answered = false;
  /// Log position of the old primary after it stepped down.
  std::optional<LogPoint> m_final_position;
  bool m_primary_answers = false;
  ReplacementInput m_input;
  std::optional<MemberId> m_candidate;
  bool m_promotion_sent = false;
  TimePoint m_next_promotion;
  FencingToken m_sent_token;
};

}  // namespace teaselrudder
