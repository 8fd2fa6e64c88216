#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "servers/failover/control_links.h"
#include "servers/failover/evidence_board.h"
#include "servers/failover/primary_replacement.h"

namespace teaselrudder {

/// Learns from the duty's holder which member leads.
class PrimaryListener {
 public:
  PrimaryListener() = default;
  PrimaryListener(const PrimaryListener&) = delete;
  PrimaryListener& operator=(const PrimaryListener&) = delete;
  virtual ~PrimaryListener() = default;

  /// A member that leads held `position` at `at`.
  virtual void on_primary_position(const GroupId& group, const LogPoint& position, TimePoint at) = 0;
  virtual void on_primary_found(const GroupId& group, const MemberId& member, Term term, TimePoint now) = 0;
};

/// What the duty needs; everything outlives it.
struct FailoverServices {
  MemberLinkPort& links;
  MemberReportReader read_report;
  PromotionPort& promotions;
  PrimaryListener& listener;
  /// Asks for a higher fencing token.
  std::function<void()> renew_token;
  Counters& counters;
  EventLogPort& log;
  HostId self;
};

/// The duty that one host of the fleet has: watches the primaries of all groups and replaces those that are lost or
/// leave.
class FailoverDuty final : private PromotionEvents {
 public:
  /// Longest time between two looks at all groups; each tick of the host looks at them.
  static constexpr Duration kInterval = std::chrono::milliseconds(50);
  /// Silence of a primary on callers' connections after which it is asked for its status.
  static constexpr Duration kProbeAfter = std::chrono::milliseconds(300);
  /// Silence after which a primary that two probes on new connections did not reach is lost for this host.
  static constexpr Duration kSilence = std::chrono::milliseconds(700);
  /// Age up to which another host's answer from the primary shows that it lives.
  static constexpr Duration kHeardElsewhere = std::chrono::milliseconds(800);
  /// Time without any acknowledged commit, while commits wait, after which the primary is replaced.
  static constexpr Duration kCommitStall = std::chrono::milliseconds(1300);
  /// Time without a known primary after which one is appointed.
  static constexpr Duration kNoPrimary = std::chrono::milliseconds(700);
  /// Status commands that the holder sends to members in a second, and at once. They bound its work before many groups:
  /// it then asks quiet primaries less often, while the reports of hosts whose callers wait still show a lost one.
  static constexpr double kProbesPerSecond = 320;
  static constexpr double kProbeBurst = 32;
  /// Time between two surveys of replicas that a former holder may have left stopped.
  static constexpr Duration kReplicaCheck = std::chrono::seconds(3);

  FailoverDuty(FailoverServices services, std::shared_ptr<const StateChart> chart);

  /// Does what is due. `token` is the one that this host holds, if it has the duty; `fleet_size` counts the hosts;
  /// `members_current` tells whether the store has lately said which members there are.
  void on_tick(const std::map<GroupId, UpstreamGroup>& groups, const EvidenceBoard& board,
               std::optional<FencingToken> token, std::size_t fleet_size, bool members_current, TimePoint now);
  TimePoint next_wakeup() const { return m_next_tick; }

  /// True once after the platform refused the token.
  bool take_token_rejected();

 private:
  struct Watched {
    std::unique_ptr<PrimaryReplacement> replacement;
    std::optional<MemberId> primary;
    /// Failed probes of the primary in a row.
    std::uint32_t failures = 0;
    TimePoint answered_at;
    TimePoint probed_at;
    /// Since when the primary is the same.
    TimePoint led_since;
    TimePoint replicas_checked_at;
    /// Since when no member is known to lead, or the known one says that it does not.
    std::optional<TimePoint> leaderless_since;
    bool stopped_replica = false;
  };

  void on_promotion(const GroupId& group, const MemberId& member, PromotionOutcome outcome, TimePoint now) override;
  void on_outcome(const ControlOutcome& outcome, TimePoint now);
  void leave_duty();
  void watch(const UpstreamGroup& group, Watched& watched, const EvidenceBoard& board, std::size_t fleet_size,
             TimePoint now);
  /// Takes over what this host's own connections heard of the primary.
  static void note_heard(const UpstreamGroup& group, Watched& watched, TimePoint now);
  /// Asks members that are quiet, group after group, as far as the budget goes.
  void probe_groups(const std::map<GroupId, UpstreamGroup>& groups, TimePoint now);
  void probe(const UpstreamGroup& group, Watched& watched, TimePoint now);
  void send_probe(const GroupId& group, const MemberEntry& member, TimePoint now);
  bool is_lost(const UpstreamGroup& group, const Watched& watched, const EvidenceBoard& board, std::size_t fleet_size,
               TimePoint now) const;
  /// Tells whether nobody hears the primary and most hosts of whom there is news wait for an answer of it.
  static bool is_silent_for_most(const UpstreamGroup& group, const EvidenceBoard& board, TimePoint now);
  static bool is_stalled(const UpstreamGroup& group, const EvidenceBoard& board, TimePoint now);

  FailoverServices m_services;
  std::shared_ptr<const StateChart> m_chart;
  ControlLinks m_links;
  std::map<GroupId, Watched> m_watched;
  const std::map<GroupId, UpstreamGroup>* m_groups = nullptr;
  bool m_on_duty = false;
  std::optional<TimePoint> m_first_tick;
  TimePoint m_now;
  TimePoint m_next_tick;
  double m_probes_left = kProbeBurst;
  TimePoint m_probes_refilled_at;
  /// The group that was probed last; the next round begins behind it.
  GroupId m_probed_last;
};

}  // namespace teaselrudder
