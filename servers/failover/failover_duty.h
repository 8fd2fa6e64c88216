#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "servers/failover/control_links.h"
#include "servers/failover/evidence_board.h"
#include "servers/failover/fleet_evidence.h"
#include "servers/failover/primary_lease_grants.h"
#include "servers/failover/primary_replacement.h"

namespace teaselrudder {

/// Receives what the failover duty learns about primaries.
class PrimaryListener {
 public:
  PrimaryListener() = default;
  PrimaryListener(const PrimaryListener&) = delete;
  PrimaryListener& operator=(const PrimaryListener&) = delete;
  virtual ~PrimaryListener() = default;

  /// Called when a primary reported its log position: it held `position` at `at`.
  virtual void on_primary_position(const GroupId& group, const LogPoint& position, TimePoint at) = 0;
  /// Called before `leader` is announced. Returns true if a later holder of the duty would learn of it: the store has
  /// recorded it, or no host reaches the store. Otherwise the leader begins to be recorded.
  virtual bool ensure_leader_recorded(const GroupId& group, const GroupLeader& leader, TimePoint now) = 0;
  /// Called when the primary of `replaced` is being replaced: all hosts have to drop their leases on it.
  virtual void on_leases_revoked(const GroupId& group, Term replaced, TimePoint now) = 0;
  /// Called when the replacement was given up.
  virtual void on_revocation_ended(const GroupId& group) = 0;
  /// Called when `leader` is announced as the primary of the group: leases on earlier primaries have run out.
  virtual void on_leader_announced(const GroupId& group, const GroupLeader& leader, TimePoint now) = 0;
};

/// Dependencies of a FailoverDuty; all references must outlive it.
struct FailoverServices {
  MemberLinkPort& links;
  MemberReportReader read_report;
  PromotionPort& promotions;
  PrimaryListener& listener;
  /// Requests a higher fencing token.
  std::function<void()> renew_token;
  Counters& counters;
  EventLogPort& log;
  HostId self;
  /// True if the platform rejects a promotion whose fencing token is lower than one used before.
  bool tokens_are_checked = true;
};

/// What the holder of the failover duty knows about the fleet and the store.
struct FleetView {
  /// The number of hosts.
  std::size_t fleet_size = 1;
  /// True if the store has recently confirmed the list of members.
  bool members_current = false;
  /// False if most hosts may be cut off: a primary that does not answer here, or not to commits, may serve them.
  bool may_judge_silence = true;
};

/// The failover duty, which one host of the fleet holds through a lease in the store: monitors the primaries of all
/// groups, replaces those that are lost or leaving, announces new ones, and grants leases on reading at them.
class FailoverDuty final : private PromotionEvents {
 public:
  /// Time between two checks of all groups. Those whose primary is changing are checked in every tick of the host.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);
  /// Time without an answer from a primary to callers' statements after which it is probed with a status command.
  static constexpr Duration kProbeAfter = std::chrono::milliseconds(300);
  /// Time without an answer of a primary to any host after which no more leases on it are granted, while some host
  /// waits for one. Shorter than kUnansweredTimeout, so that the leases end while the primary is being replaced.
  static constexpr Duration kSuspicionTimeout = std::chrono::milliseconds(400);
  /// Minimum time between two orders for one group that only show the platform this holder's token.
  static constexpr Duration kFenceInterval = std::chrono::milliseconds(150);
  /// Maximum number of such orders in one tick. Replacements need the platform's rate limit more.
  static constexpr int kFencesPerTick = 2;
  /// Minimum time between two questions to the members of a group whose primary is in doubt.
  static constexpr Duration kDoubtInterval = std::chrono::milliseconds(150);
  /// Minimum time between two commands that tell a former primary to step down.
  static constexpr Duration kStepDownInterval = std::chrono::milliseconds(300);
  /// Time without an answer after which this host considers a primary lost, if at least two probes on new connections
  /// have failed as well.
  static constexpr Duration kUnansweredTimeout = std::chrono::milliseconds(700);
  /// Maximum age of an answer that the primary gave to another host for the primary to count as alive.
  static constexpr Duration kMaxAgeOfAnswerElsewhere = std::chrono::milliseconds(800);
  /// Time without an acknowledged commit after which a primary is replaced, if commits are waiting for their
  /// acknowledgement.
  static constexpr Duration kCommitStallTimeout = std::chrono::milliseconds(1300);
  /// Time without a known primary after which a replica is promoted.
  static constexpr Duration kNoPrimaryTimeout = std::chrono::milliseconds(700);
  /// Rate limit and burst of the status commands sent to members. They bound the load of the duty's holder with many
  /// groups: quiet primaries are then probed less often. A lost primary is still noticed through the reports of hosts
  /// whose callers wait for it.
  static constexpr double kProbesPerSecond = 320;
  static constexpr double kProbeBurst = 32;
  /// Interval of the checks for replicas that an earlier holder of the duty left stopped.
  static constexpr Duration kReplicaCheckInterval = std::chrono::seconds(3);

  FailoverDuty(FailoverServices services, std::shared_ptr<const StateChart> chart);

  /// Checks the groups. `token` is the fencing token if this host holds the duty.
  void on_tick(const std::map<GroupId, UpstreamGroup>& groups, const EvidenceBoard& board,
               std::optional<FencingToken> token, const FleetView& fleet, TimePoint now);
  TimePoint next_wakeup() const { return m_next_tick; }

  /// Returns the end of the lease on reading at the announced primary of `group`; nothing if none is granted.
  std::optional<TimePoint> granted_until(const GroupId& group) const;

  /// Returns true once after the platform rejected the token.
  bool take_token_rejected();

 private:
  struct GroupMonitor {
    GroupMonitor(std::unique_ptr<PrimaryReplacement> replacement_of_group, TimePoint duty_began)
        : replacement(std::move(replacement_of_group)), leases(duty_began) {}

    std::unique_ptr<PrimaryReplacement> replacement;
    PrimaryLeaseGrants leases;
    /// The newest known primary; it may not be announced yet.
    std::optional<GroupLeader> leader;
    /// What the hosts reported about it, as of the last check.
    FleetEvidence evidence;
    /// A replaced primary that has not confirmed that it stepped down.
    std::optional<MemberId> former;
    TimePoint step_down_sent_at;
    /// Number of consecutive failed probes of the primary.
    std::uint32_t failures = 0;
    TimePoint answered_at;
    TimePoint probed_at;
    /// When the current primary was first seen as such.
    TimePoint primary_since;
    TimePoint replicas_checked_at;
    /// Since when no primary is known, or the known one reports that it is not the primary.
    std::optional<TimePoint> leaderless_since;
    bool stopped_replica = false;
    /// Term of the primary on which the leases have been revoked, and since when.
    std::optional<Term> revoked;
    TimePoint revoked_at;
    /// Members that have reported since the duty began that they receive.
    std::set<MemberId> receiving;
    /// Token with which the platform rejected an order.
    std::optional<FencingToken> rejected_token;
    TimePoint next_fence_at;
  };

  /// What the host tells the check of a group.
  struct GroupInput {
    FencingToken token;
    FleetView fleet;
    /// True if all groups are being checked, so that the reports are summed up again.
    bool sums_up_reports = false;
  };

  void on_promotion(const GroupId& group, const MemberId& member, PromotionOutcome outcome, TimePoint now) override;
  void on_outcome(const ControlOutcome& outcome, TimePoint now);
  void on_primary_report(const UpstreamGroup& group, GroupMonitor& monitor, const ControlOutcome& outcome,
                         TimePoint now);
  void end_duty();
  /// Returns the monitor of the group; creates it if there is none.
  GroupMonitor& monitor_of(const GroupId& group, FencingToken token, TimePoint now);
  void on_leader_found(const UpstreamGroup& group, GroupMonitor& monitor, const GroupLeader& leader, TimePoint now);
  void announce_leader(const UpstreamGroup& group, GroupMonitor& monitor, TimePoint now);
  /// Follows the announced primary and the one that waits for its announcement.
  void update_leader(const UpstreamGroup& group, GroupMonitor& monitor, TimePoint now);
  /// Checks one group and begins or continues what its primary needs.
  void check_group(const UpstreamGroup& group, GroupMonitor& monitor, const EvidenceBoard& board,
                   const GroupInput& input, TimePoint now);
  /// Returns true if the primary of the group is being replaced or announced.
  static bool is_changing(const GroupMonitor& monitor);
  void grant_lease(const UpstreamGroup& group, GroupMonitor& monitor, TimePoint now);
  /// Revokes the leases on a primary that is being replaced.
  void update_revocation(const UpstreamGroup& group, GroupMonitor& monitor, TimePoint now);
  /// Returns the time from which on no host passes on acknowledgements of the primary.
  static TimePoint commits_end_at(const GroupMonitor& monitor, TimePoint now);
  /// Returns true if all replicas have reported since the duty began that they receive.
  static bool knows_that_replicas_receive(const UpstreamGroup& group, const GroupMonitor& monitor);
  /// Returns true if no promotion of another member than the known leader can take effect, as far as this host can
  /// tell.
  bool is_settled(const UpstreamGroup& group, const GroupMonitor& monitor, TimePoint now) const;
  /// Makes the platform reject outstanding orders for other members than the known leader, also those of former holders
  /// of the duty: it has seen this holder's token once the leader has been promoted again, which changes nothing else.
  void fence_orders(const UpstreamGroup& group, GroupMonitor& monitor, FencingToken token, TimePoint now);
  /// Notes what a member reported about its role.
  static void note_role(GroupMonitor& monitor, const ControlOutcome& outcome);
  void send_step_down(const UpstreamGroup& group, GroupMonitor& monitor, TimePoint now);
  void check_primary(const UpstreamGroup& group, GroupMonitor& monitor, const EvidenceBoard& board,
                     const FleetView& fleet, TimePoint now);
  /// Replaces a primary that does not answer, or whose commits stall.
  static void check_silence(GroupMonitor& monitor, const EvidenceBoard& board, std::size_t fleet_size, TimePoint now);
  /// Notes answers of the primary on this host's connections for callers' statements.
  static void note_answers(const UpstreamGroup& group, GroupMonitor& monitor, TimePoint now);
  /// Probes members that have not answered recently, in round-robin order of the groups, as far as the rate limit
  /// allows.
  void probe_groups(const std::map<GroupId, UpstreamGroup>& groups, TimePoint now);
  void probe(const UpstreamGroup& group, GroupMonitor& monitor, bool in_doubt, TimePoint now);
  void send_probe(const GroupId& group, const MemberEntry& member, TimePoint now);
  static bool is_lost(const GroupMonitor& monitor, const EvidenceBoard& board, std::size_t fleet_size, TimePoint now);
  /// Returns true if no host has a recent answer from the primary and most hosts with fresh reports are waiting for
  /// one.
  static bool is_silent_for_majority(const FleetEvidence& evidence, const EvidenceBoard& board, TimePoint now);
  /// Returns true if some host waits for an answer of the primary and none has had one recently.
  static bool is_suspected(const GroupMonitor& monitor, TimePoint now);
  static bool is_stalled(const FleetEvidence& evidence);

  FailoverServices m_services;
  std::shared_ptr<const StateChart> m_chart;
  ControlLinks m_links;
  std::map<GroupId, GroupMonitor> m_monitors;
  /// Orders of this process. They are kept when the duty ends, because they may still take effect.
  std::map<GroupId, PromotionOrders> m_orders;
  const std::map<GroupId, UpstreamGroup>* m_groups = nullptr;
  /// When this host took the duty; nothing if it does not hold it.
  std::optional<TimePoint> m_duty_began;
  std::optional<TimePoint> m_first_tick;
  TimePoint m_now;
  TimePoint m_next_tick;
  double m_probe_tokens = kProbeBurst;
  TimePoint m_probes_refilled_at;
  int m_fences_in_tick = 0;
  /// Fencing token in the last tick in which this host held the duty.
  FencingToken m_token;
  /// The group that was probed last; the next round starts after it.
  GroupId m_probed_last;
};

}  // namespace teaselrudder
