#pragma once

#include <memory>
#include <optional>
#include <string>

#include "core/ports/coordination_port.h"
#include "core/ports/evidence_port.h"
#include "core/ports/promotion_port.h"
#include "servers/catalogue/leader_records.h"
#include "servers/catalogue/leased_record.h"
#include "servers/catalogue/store_view.h"
#include "servers/failover/evidence_board.h"
#include "servers/failover/failover_duty.h"
#include "servers/session_host/known_hosts.h"
#include "servers/session_host/quota_exchange.h"
#include "servers/sessions/session_service.h"

namespace teaselrudder {

/// Settings of a session host; fixed for the lifetime of the process.
struct SessionHostSettings {
  HostId self;
  FailureDomainId domain;
  /// Address at which this host receives reports of other hosts.
  Endpoint evidence_endpoint;
  /// Number that differs for each process of the same host.
  std::uint64_t incarnation = 0;
  /// Maximum duration of a graceful stop.
  Duration stop_grace = std::chrono::seconds(6);
  /// Minimum time to live that the store grants for a lease.
  Duration min_time_to_live = std::chrono::seconds(1);
  /// Time within which a new configuration has to be in force on every host.
  Duration configuration_bound = std::chrono::seconds(3);
  /// How exactly the quotas of client accounts have to be kept.
  QuotaPolicy quota_policy;
  std::uint64_t random_seed = 0;
  /// True if the platform rejects a promotion whose fencing token is lower than one used before.
  bool promotion_tokens_are_checked = true;
};

/// Ports of a session host to the outside; all references must outlive it.
struct SessionHostPorts {
  CallerSessionPort& callers;
  MemberLinkPort& links;
  MemberReportReader read_report;
  CoordinationPort& store;
  PromotionPort& promotions;
  EvidencePort& evidence;
  Counters& counters;
  EventLogPort& log;
};

/// Serves callers' sessions in front of replicated database groups. The members replicate among themselves, and the
/// platform carries out the promotions that a host orders. A host stores nothing locally; persistent state is in the
/// platform's store.
class SessionHost final : public EvidenceEvents,
                          private StoreViewEvents,
                          private StoreEraListener,
                          private PrimaryListener {
 public:
  /// Times to live of the leases on this host's record and on the failover duty. The duty's is short, because after its
  /// holder is lost no primary is replaced until the lease expires.
  static constexpr Duration kRecordTimeToLive = std::chrono::seconds(6);
  static constexpr Duration kDutyTimeToLive = std::chrono::milliseconds(1600);
  static constexpr Duration kDutyRenewal = std::chrono::milliseconds(500);
  /// Time after the last renewal of its lease for which the holder of the duty acts while the store is unreachable for
  /// every host of the fleet, all of which it hears. KnownHosts::kMaxDutyWithoutWholeFleet applies if it misses one.
  static constexpr Duration kMaxDutyWithoutStore = std::chrono::seconds(20);
  /// Time without a quorum after which the holder gives the duty to others that may have one.
  static constexpr Duration kMaxDutyWithoutQuorum = std::chrono::seconds(2);
  /// Interval of the reports to each other host.
  static constexpr Duration kReportInterval = std::chrono::milliseconds(250);
  /// Interval of the reports that are sent only for the failover duty.
  static constexpr Duration kDutyReportInterval = std::chrono::milliseconds(500);
  /// Time without reports of half of the fleet after which this host passes on no acknowledgements of commits. A member
  /// that joins a primary on the wrong side of a cut can cause the loss of commits that are acknowledged sooner.
  static constexpr Duration kMaxCommitsWithoutQuorum = kReportInterval + std::chrono::milliseconds(50);
  /// Time after the last report of the holder of the failover duty for which it counts as acting. It reports to each
  /// host at least every kDutyReportInterval.
  static constexpr Duration kDutyHolderSilence = kDutyReportInterval + std::chrono::milliseconds(50);
  /// Time after the store became reachable in which this host does not take the failover duty. A holder that acts on
  /// without the store learns of its return from this host's reports, of which two may be lost.
  static constexpr Duration kStoreReturnNotice = 2 * kReportInterval + std::chrono::milliseconds(100);
  /// Maximum number of groups in one report; further groups are sent in additional reports. A report of this size fits
  /// into a datagram of 8 KB even with the longest names.
  static constexpr std::size_t kGroupsPerReport = 32;
  /// Minimum time between two reports that request a lease on reading at a primary. It doubles up to the maximum while
  /// the leases that arrive allow no acknowledgement, because a holder of the failover duty that is late would
  /// otherwise get more requests the later it is.
  static constexpr Duration kLeaseRequestInterval = std::chrono::milliseconds(250);
  static constexpr Duration kMaxLeaseRequestInterval = std::chrono::seconds(1);
  /// Number of consecutive reports that the holder of the failover duty sends to all hosts after it found a new
  /// primary. There are several because reports may be lost.
  static constexpr int kPrimaryAnnouncements = 3;
  /// Time without any answer of the store after which this host reports that it does not reach it: one interval of the
  /// renewals of its record, and the time that an answer may take.
  static constexpr Duration kMaxStoreSilence = kRecordTimeToLive / 3 + std::chrono::milliseconds(600);
  /// Time between two ticks from which on the process is assumed to have been paused.
  static constexpr Duration kProcessPauseThreshold = std::chrono::milliseconds(1200);
  /// Time for which the share of the fleet that this host hears is taken as unchanged. The holder of the failover duty
  /// needs it for each report, and it depends on the reports of all hosts.
  static constexpr Duration kHeardShareValidity = std::chrono::milliseconds(20);
  /// Delay of timers from which on it is logged.
  static constexpr Duration kLateTimers = std::chrono::milliseconds(100);
  /// Time after such a pause in which this host does not act on the failover duty unless its lease is renewed.
  static constexpr Duration kDutySuspensionAfterPause = std::chrono::seconds(2);

  SessionHost(SessionHostSettings settings, SessionHostPorts ports,
              std::shared_ptr<const StateChart> replacement_chart);

  SessionService& sessions() { return m_sessions; }

  void on_tick(TimePoint now);
  TimePoint next_wakeup() const;

  /// Returns true if the load balancer should route new sessions to this host.
  bool is_ready() const;

  /// Starts a graceful stop.
  void begin_stop(TimePoint now);
  /// Returns true if the host is stopping and all sessions are closed.
  bool is_stopped() const { return m_sessions.is_stopped(); }

  /// Returns gauges and latency histograms in the Prometheus text format.
  std::string metrics(TimePoint now) const;

  void on_evidence(const EvidenceReport& report, TimePoint now) override;
  void on_quota_message(const QuotaMessage& message, TimePoint now) override;

 private:
  void on_store_era(StoreEra era, TimePoint now) override;
  void on_routing(const RoutingTable& table, TimePoint now) override;
  void on_member(const MemberEntry& entry, TimePoint now) override;
  void on_member_missing(const MemberId& member, bool store_was_unreachable, TimePoint now) override;
  void on_record(const RecordChanged& record, TimePoint now) override;
  void on_store_regained(TimePoint now) override;
  void on_store_listed(TimePoint now) override;
  void on_primary_position(const GroupId& group, const LogPoint& position, TimePoint at) override;
  bool ensure_leader_recorded(const GroupId& group, const GroupLeader& leader, TimePoint now) override;
  void on_leases_revoked(const GroupId& group, Term replaced, TimePoint now) override;
  void on_revocation_ended(const GroupId& group) override;
  void on_leader_announced(const GroupId& group, const GroupLeader& leader, TimePoint now) override;

  std::optional<FencingToken> duty_token(TimePoint now) const;
  /// Returns true if the store has answered this host recently.
  bool reaches_store(TimePoint now) const;
  /// Returns true if this host receives reports from less than half of the fleet, counting itself.
  bool in_minority(TimePoint now) const;
  /// Returns true if reports of half of the fleet arrived so recently that this host can pass on acknowledgements of
  /// commits. A host that is cut off does not learn that a primary is being replaced.
  bool hears_quorum(TimePoint now) const;
  /// Returns true if no host acts as the holder of the failover duty: more than half of the fleet has reported
  /// recently, and none of these hosts hears a holder. One that acts hears half of the fleet, so a host in between
  /// would tell. A new one waits before its first order for longer than its reports take to get here.
  bool knows_that_nobody_holds_duty(TimePoint now) const;
  /// Returns the share of the fleet that this host hears, of those hosts that count for acting under the lease on the
  /// duty.
  double heard_share(TimePoint now) const;
  /// Returns the same share with expired hosts included. As long as it is below one half, most hosts may be cut off
  /// and serve with primaries that seem lost here.
  double heard_share_of_all(TimePoint now) const;
  double reachable_share(HostMembership lowest, TimePoint now) const;
  /// Returns true if this host, as the holder of the duty, may act on although its lease has not been renewed.
  bool may_act_without_store(TimePoint now) const;
  /// Lets the duty be acquired only with a quorum and releases it if there has been none for a while.
  void update_duty(TimePoint now);
  /// Logs whether this host hears enough of the fleet for the failover duty, and which hosts count, when that changes.
  void log_quorum_change(bool has_quorum, TimePoint now);
  /// Returns true if the store is unreachable for this host and for all hosts whose reports arrive. Nobody else can
  /// then take over the duty, so a lease that could not be renewed remains valid.
  bool store_is_unreachable_for_all(TimePoint now) const;
  /// As the holder of the failover duty, records announced leaders that the store does not contain.
  void record_missing_leaders(TimePoint now);
  /// Applies the recorded leader of the group, which has been announced.
  void apply_recorded_leader(const GroupId& group, TimePoint now);
  /// Returns true if this host has read what was in the store when it took the failover duty, for example the leaders
  /// that the former holder recorded.
  bool has_read_store_of_former_holder() const;
  /// Gives this host the leases that it grants as the holder of the failover duty.
  void apply_own_leases(TimePoint now);
  /// Applies a lease in the report of another host. Leases of a former holder of the duty are ignored.
  void apply_lease(const EvidenceReport& report, const PrimaryEvidence& evidence, TimePoint now);
  /// Asks the holder of the failover duty for leases for which statements wait.
  void request_leases(TimePoint now);
  /// Answers a report that requests leases, if this host grants them.
  void answer_lease_requests(const EvidenceReport& report, TimePoint now);
  /// Drops the leases that the holder of the failover duty revokes in its report, and confirms it at once.
  void apply_revocations(const EvidenceReport& report, TimePoint now);
  void note_duty_token(std::uint64_t token, TimePoint now);
  /// Returns a report without groups.
  EvidenceReport make_report(TimePoint now) const;
  void send_reports(TimePoint now);
  void send_report(const HostId& host, const Endpoint& endpoint, const EvidenceReport& report, TimePoint now);
  /// Removes hosts whose record disappeared long ago and updates the size of the fleet.
  void update_hosts(TimePoint now);
  /// Tells the other hosts that this one no longer counts as a part of the fleet, at once and through its record.
  void announce_stop(TimePoint now);
  void on_stop_reported(const HostId& host, bool stopping);
  void log_readiness_change();

  SessionHostSettings m_settings;
  EvidencePort& m_evidence;
  Counters& m_counters;
  EventLogPort& m_log;
  SessionService m_sessions;
  StoreView m_view;
  LeasedRecord m_record;
  LeasedRecord m_duty;
  LeaderRecords m_leaders;
  EvidenceBoard m_board;
  FailoverDuty m_failover;
  /// Newest era in which the store has answered.
  StoreEra m_store_era;
  /// Era in which this host last waited for the end of a lease from an earlier era.
  StoreEra m_former_holder_awaited_in;
  KnownHosts m_hosts;
  /// Records of other hosts have changed since the last update. The update takes time in proportion to the fleet, so it
  /// is done once for all records that arrive together.
  bool m_hosts_changed = false;
  QuotaExchange m_quota;
  TimePoint m_next_duty_report;
  int m_announcements_left = 0;
  TimePoint m_next_report;
  TimePoint m_next_lease_request;
  /// Number of requests since the last lease that allowed acknowledgements.
  std::uint32_t m_lease_requests_in_vain = 0;
  /// Highest fencing token that a holder of the failover duty is known to have used.
  std::uint64_t m_newest_duty_token = 0;
  TimePoint m_last_tick;
  /// When the next tick was due after the last one, without the timers that were set since.
  TimePoint m_expected_tick;
  TimePoint m_duty_suspended_until;
  TimePoint m_had_quorum_at;
  bool m_had_quorum = false;
  /// The share of the fleet that this host heard at a time; see kHeardShareValidity.
  mutable double m_heard_share = 0;
  mutable std::optional<TimePoint> m_heard_share_at;
  /// Until then a new holder of the failover duty grants no leases, and its first order is further away.
  TimePoint m_duty_vacant_until;
  bool m_stopping = false;
  bool m_was_ready = false;
  /// This host is isolated: it receives reports from only a minority of the hosts and cannot reach some primary. Other
  /// hosts serve callers better.
  bool m_isolated = false;
};

}  // namespace teaselrudder
