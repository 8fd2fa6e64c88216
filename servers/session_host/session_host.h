#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/ports/coordination_port.h"
#include "core/ports/evidence_port.h"
#include "core/ports/promotion_port.h"
#include "servers/catalogue/leased_record.h"
#include "servers/catalogue/store_view.h"
#include "servers/failover/evidence_board.h"
#include "servers/failover/failover_duty.h"
#include "servers/session_host/report_ring.h"
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
  std::uint64_t random_seed = 0;
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
class SessionHost final : public EvidenceEvents, private StoreViewEvents, private PrimaryListener {
 public:
  /// Times to live of the leases on this host's record and on the failover duty. The duty's is short, because after its
  /// holder is lost no primary is replaced until the lease expires.
  static constexpr Duration kRecordTimeToLive = std::chrono::seconds(6);
  static constexpr Duration kDutyTimeToLive = std::chrono::milliseconds(1600);
  static constexpr Duration kDutyRenewal = std::chrono::milliseconds(500);
  /// Interval of the reports to each other host.
  static constexpr Duration kReportInterval = std::chrono::milliseconds(250);
  /// Maximum number of groups in one report; further groups are sent in additional reports. A report of this size fits
  /// into a datagram of 8 KB even with the longest names.
  static constexpr std::size_t kGroupsPerReport = 32;
  /// Interval of the reports that are sent only for the failover duty.
  static constexpr Duration kDutyReportInterval = std::chrono::milliseconds(500);
  /// Number of consecutive reports that the holder of the failover duty sends to all hosts after it found a new
  /// primary. There are several because reports may be lost.
  static constexpr int kPrimaryAnnouncements = 3;
  /// Time for which a host still gets reports after its record disappeared from the store. A host that was cut off
  /// learns from these reports that the network works again, before it can write its record again.
  static constexpr Duration kUnlistedHostRetention = std::chrono::seconds(30);
  /// Time between two ticks from which on the process is assumed to have been paused.
  static constexpr Duration kProcessPauseThreshold = std::chrono::milliseconds(1200);
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

 private:
  struct OtherHost {
    Endpoint endpoint;
    FailureDomainId domain;
    /// When the host's record disappeared from the store; nothing if it is there.
    std::optional<TimePoint> unlisted_since;
  };

  void on_routing(const RoutingTable& table, TimePoint now) override;
  void on_member(const MemberEntry& entry, TimePoint now) override;
  void on_member_missing(const MemberId& member, bool store_was_unreachable, TimePoint now) override;
  void on_record(const RecordChanged& record, TimePoint now) override;
  void on_primary_position(const GroupId& group, const LogPoint& position, TimePoint at) override;
  void on_primary_found(const GroupId& group, const MemberId& member, Term term, TimePoint now) override;

  std::optional<FencingToken> duty_token(TimePoint now) const;
  /// Returns true if this host receives reports from less than half of the fleet, counting itself.
  bool in_minority(TimePoint now) const;
  /// Returns true if the store is unreachable for this host and for all hosts whose reports arrive. Nobody else can
  /// then take over the duty, so a lease that could not be renewed remains valid.
  bool store_is_unreachable_for_all(TimePoint now) const;
  void send_reports(TimePoint now);
  void send_report(const HostId& host, const Endpoint& endpoint, const EvidenceReport& report, TimePoint now);
  /// Removes hosts whose record disappeared long ago and updates the size of the fleet.
  void update_hosts(TimePoint now);
  void log_readiness_change();

  SessionHostSettings m_settings;
  EvidencePort& m_evidence;
  Counters& m_counters;
  EventLogPort& m_log;
  SessionService m_sessions;
  StoreView m_view;
  LeasedRecord m_record;
  LeasedRecord m_duty;
  EvidenceBoard m_board;
  FailoverDuty m_failover;
  std::map<HostId, OtherHost> m_others;
  ReportRing m_ring;
  TimePoint m_next_duty_report;
  int m_announcements_left = 0;
  /// Number of hosts that have a record in the store or sent a report recently, including this one.
  std::size_t m_fleet_size = 1;
  TimePoint m_next_report;
  TimePoint m_last_tick;
  TimePoint m_duty_suspended_until;
  bool m_stopping = false;
  bool m_was_ready = false;
  /// This host is isolated: it receives reports from only a minority of the hosts and cannot reach some primary. Other
  /// hosts serve callers better.
  bool m_isolated = false;
};

}  // namespace teaselrudder
