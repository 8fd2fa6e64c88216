#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/chart/state_chart.h"
#include "core/config/configuration.h"
#include "core/ids.h"
#include "core/log_point.h"
#include "core/member_status.h"
#include "core/ports/upstream_port.h"
#include "core/time.h"
#include "servers/group/confirmation_tracker.h"
#include "servers/group/failover_attempt.h"
#include "servers/group/follow_order_limiter.h"
#include "servers/group/freshness_tracker.h"
#include "servers/group/group_action.h"
#include "servers/group/group_state.h"
#include "servers/group/member_monitor.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// The state of one database group on one of its owners, the hosts that are responsible for it. Monitors the members,
/// replaces a lost primary, confirms that a majority holds writes and fresh reads, and samples the primary's position
/// for reads with bounded staleness.
///
/// The class does no I/O. Each method may add actions, which the host collects with take_actions(), carries out and
/// answers through the on_...() methods. Results of actions may be late, lost or duplicated.
class DatabaseGroup {
 public:
  /// `chart` is the state chart `database_group`, loaded with the names in group_state.h. The first probes are due at
  /// `now`.
  DatabaseGroup(GroupConfiguration configuration, HostId self, GroupTimings timings,
                std::shared_ptr<const StateChart> chart, TimePoint now);

  /// Replaces the group's configuration. The status of members that remain is kept; a failover attempt in progress
  /// fails if the members differ.
  void update_configuration(GroupConfiguration configuration, TimePoint now);

  /// Sets the index of this host in the sorted list of the group's `count` owners; `rank` starts at 0. It determines
  /// this host's part of the jitter window.
  void update_owners(std::size_t rank, std::size_t count, TimePoint now);

  /// Performs the timed work that is due at `now`. `random` is uniform in [0, 1) and spreads failover attempts.
  void on_tick(double random, TimePoint now);

  /// Processes the answer to a probe. An answer to any but the outstanding probe of `member` is ignored.
  void on_probe_report(const MemberId& member, ProbeId probe, const MemberStatus& status, TimePoint now);

  /// Processes the failure of a probe or of its connection. The next probe uses a new connection.
  void on_probe_failed(const MemberId& member, ProbeId probe, TimePoint now);

  /// Processes a status that came with the result of a caller's operation; `requested_at` is a time before the
  /// operation was sent.
  void on_operation_report(const MemberId& member, const MemberStatus& status, TimePoint requested_at, TimePoint now);

  void on_raise_result(const MemberId& member, Term term, tl::expected<GrantResult, UpstreamError> result,
                       TimePoint now);
  void on_promote_result(const MemberId& member, Term term, tl::expected<GrantResult, UpstreamError> result,
                         TimePoint now);
  void on_follow_result(const MemberId& member, Term term, tl::expected<GrantResult, UpstreamError> result,
                        TimePoint now);

  /// Processes the answers to AskSuspicion for `term`: `answered` other owners replied, and `suspecting` of them
  /// suspect the member. `highest_known` is the highest term that any of them knows. Neither count includes this host.
  void on_suspicion_replies(Term term, std::size_t answered, std::size_t suspecting, Term highest_known, TimePoint now);

  /// Starts to confirm that a majority of the members holds `point`. `point` must come from the status that the primary
  /// returned with an operation, and that status must have been passed to on_operation_report() before. Exactly one
  /// ConfirmationDone follows unless the confirmation is cancelled.
  ConfirmationId confirm(const LogPoint& point, TimePoint deadline, TimePoint now);

  /// Ends a confirmation without ConfirmationDone. Unknown ids are ignored.
  void cancel_confirmation(ConfirmationId confirmation);

  /// Returns the actions added since the last call, in order.
  std::vector<GroupAction> take_actions();

  /// Returns the time at which on_tick() is due next.
  TimePoint next_wakeup() const;

  /// Returns the known primary, or nothing while there is none or while it is being replaced.
  std::optional<PrimaryView> primary() const;

  /// Returns the answer to another owner's suspicion query: false if this host receives reports of a live primary that
  /// is `member` or leads in `term` or a later term, true otherwise.
  bool suspects(const MemberId& member, Term term, TimePoint now) const;

  /// Returns true if a majority of the members reported within the suspicion timeout.
  bool majority_reachable(TimePoint now) const;

  /// Returns true if `member` reported within the suspicion timeout.
  bool is_responsive(const MemberId& member, TimePoint now) const { return m_monitor.is_responsive(member, now); }

  /// Returns the highest term that any member or other owner has reported.
  Term highest_known_term() const;

  /// Returns the last status of `member`, or null if it never reported.
  const MemberView* find_member(const MemberId& member) const;

  /// Returns the valid samples of the primary's position in ascending order of `requested_at`.
  const std::vector<FreshnessSample>& samples() const;

  const GroupConfiguration& configuration() const { return m_configuration; }

  /// Returns the state of the group in the chart `database_group`.
  GroupState state() const { return to_group_state(m_state); }

 private:
  // Every public method that handles an event calls begin_event() first and end_event() last. begin_event() handles
  // expired timers; end_event() detects the primary, advances the state chart and starts the probes that are due.
  void begin_event(TimePoint now);
  void end_event(TimePoint now);

  void process_report(const MemberEvidence& evidence, TimePoint now);
  void observe_term(const MemberStatus& status, TimePoint now);

  std::vector<MemberId> member_ids() const;
  std::size_t count_responsive(TimePoint now) const;
  std::vector<MemberId> responsive_remaining_members(TimePoint now) const;
  bool should_hand_over(const MemberId& member, TimePoint now) const;
  bool majority_accepts_term(Term term, TimePoint now) const;
  bool is_live_primary(const MemberId& member, TimePoint now) const;
  std::optional<PrimaryView> find_live_primary(TimePoint now) const;
  bool is_primary_lost(TimePoint now) const;
  std::optional<MemberId> find_unresponsive_member(TimePoint now) const;

  void detect_primary(TimePoint now);
  void set_primary(const PrimaryView& primary);
  void clear_primary(const std::string& cause);

  void fire_event(GroupEvent event, TimePoint now);
  void enter_asking(TimePoint now);
  void enter_waiting(TimePoint earliest_attempt_at, TimePoint now);
  void continue_asking(TimePoint now);
  void schedule_attempt(double random, TimePoint now);
  void continue_waiting(TimePoint now);
  void start_attempt(TimePoint now);
  void check_grants(TimePoint now);
  void fail_attempt(TimePoint now);

  void send_follow_if_needed(const MemberId& member, TimePoint now);
  void start_probes(TimePoint now);
  std::optional<TimePoint> next_state_wakeup() const;

  GroupConfiguration m_configuration;
  HostId m_self;
  GroupTimings m_timings;
  std::shared_ptr<const StateChart> m_chart;
  ChartState m_state;
  TimePoint m_last_event;
  std::size_t m_owner_rank = 0;
  std::size_t m_owner_count = 1;

  MemberMonitor m_monitor;
  ConfirmationTracker m_confirmations;
  FreshnessTracker m_freshness;
  FollowOrderLimiter m_follow_order_limiter;
  std::vector<GroupAction> m_actions;

  // The last report of a primary that came with an operation. If a confirmation follows at the same time, it counts as
  // the primary's vote.
  std::optional<MemberEvidence> m_operation_report;
  TimePoint m_operation_report_received_at;

  // The known primary. Kept in kAsking, while the other owners are asked about it.
  std::optional<PrimaryView> m_primary;
  // Highest term in which any member has reported to be the primary.
  Term m_latest_primary_term;
  Term m_highest_known_term;

  // Set while an answer to AskSuspicion is outstanding.
  std::optional<TimePoint> m_suspicion_reply_deadline;
  Term m_suspicion_query_term;
  TimePoint m_next_suspicion_query_at;

  // Until this time no attempt is started, because another candidate raised a term recently.
  TimePoint m_competing_attempt_until;
  TimePoint m_earliest_attempt_at;
  // Start of the next attempt in kWaiting; unset until on_tick() has added the jitter.
  std::optional<TimePoint> m_attempt_at;
  std::optional<FailoverAttempt> m_attempt;
  std::optional<MemberId> m_promotion_target;
  TimePoint m_promote_sent_at;
  TimePoint m_attempt_deadline;
  std::uint32_t m_failed_attempts = 0;
};

}  // namespace teaselrudder
