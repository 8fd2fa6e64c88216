#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "servers/failover/control_links.h"
#include "servers/failover/evidence_board.h"
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
  virtual void on_primary_found(const GroupId& group, const MemberId& member, Term term, TimePoint now) = 0;
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
};

/// The failover duty, which one host of the fleet holds through a lease: monitors the primaries of all groups and
/// replaces those that are lost or leaving.
class FailoverDuty final : private PromotionEvents {
 public:
  /// Maximum time between two checks of all groups; every tick of the host checks them.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);
  /// Time without an answer from a primary to callers' statements after which it is probed with a status command.
  static constexpr Duration kProbeAfter = std::chrono::milliseconds(300);
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

  /// Checks all groups. `token` is the fencing token if this host holds the duty. `fleet_size` is the number of hosts.
  /// `members_current` is true if the store has recently confirmed the list of members.
  void on_tick(const std::map<GroupId, UpstreamGroup>& groups, const EvidenceBoard& board,
               std::optional<FencingToken> token, std::size_t fleet_size, bool members_current, TimePoint now);
  TimePoint next_wakeup() const { return m_next_tick; }

  /// Returns true once after the platform rejected the token.
  bool take_token_rejected();

 private:
  struct GroupMonitor {
    std::unique_ptr<PrimaryReplacement> replacement;
    std::optional<MemberId> primary;
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
  };

  void on_promotion(const GroupId& group, const MemberId& member, PromotionOutcome outcome, TimePoint now) override;
  void on_outcome(const ControlOutcome& outcome, TimePoint now);
  void end_duty();
  void check_primary(const UpstreamGroup& group, GroupMonitor& monitor, const EvidenceBoard& board,
                     std::size_t fleet_size, TimePoint now);
  /// Notes answers of the primary on this host's connections for callers' statements.
  static void note_answers(const UpstreamGroup& group, GroupMonitor& monitor, TimePoint now);
  /// Probes members that have not answered recently, in round-robin order of the groups, as far as the rate limit
  /// allows.
  void probe_groups(const std::map<GroupId, UpstreamGroup>& groups, TimePoint now);
  void probe(const UpstreamGroup& group, GroupMonitor& monitor, TimePoint now);
  void send_probe(const GroupId& group, const MemberEntry& member, TimePoint now);
  bool is_lost(const UpstreamGroup& group, const GroupMonitor& monitor, const EvidenceBoard& board,
               std::size_t fleet_size, TimePoint now) const;
  /// Returns true if no host has a recent answer from the primary and most hosts with fresh reports are waiting for
  /// one.
  static bool is_silent_for_majority(const UpstreamGroup& group, const EvidenceBoard& board, TimePoint now);
  static bool is_stalled(const UpstreamGroup& group, const EvidenceBoard& board, TimePoint now);

  FailoverServices m_services;
  std::shared_ptr<const StateChart> m_chart;
  ControlLinks m_links;
  std::map<GroupId, GroupMonitor> m_monitors;
  const std::map<GroupId, UpstreamGroup>* m_groups = nullptr;
  bool m_on_duty = false;
  std::optional<TimePoint> m_first_tick;
  TimePoint m_now;
  TimePoint m_next_tick;
  double m_probe_tokens = kProbeBurst;
  TimePoint m_probes_refilled_at;
  /// The group that was probed last; the next round starts after it.
  GroupId m_probed_last;
};

}  // namespace teaselrudder
