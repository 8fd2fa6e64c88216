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

/// What a session host is told at its start.
struct SessionHostSettings {
  HostId self;
  FailureDomainId domain;
  /// Where other hosts send their reports.
  Endpoint evidence_endpoint;
  /// Distinguishes this life of the process from others.
  std::uint64_t incarnation = 0;
  /// Time within which a stop has to be over.
  Duration stop_grace = std::chrono::seconds(6);
  /// Shortest time to live of a lease that the store grants.
  Duration min_time_to_live = std::chrono::seconds(1);
  std::uint64_t random_seed = 0;
};

/// The outside of a session host; everything outlives it.
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

/// A host that serves sessions in front of database groups whose members replicate among themselves and whose platform
/// carries out promotions. It keeps nothing beyond its process; what must last is in the platform's store.
class SessionHost final : public EvidenceEvents, private StoreViewEvents, private PrimaryListener {
 public:
  /// Time to live of the lease on this host's record, and on the failover duty. The duty's is short, because no primary
  /// is replaced between its holder's loss and the end of the lease.
  static constexpr Duration kRecordTimeToLive = std::chrono::seconds(6);
  static constexpr Duration kDutyTimeToLive = std::chrono::milliseconds(1600);
  static constexpr Duration kDutyRenewal = std::chrono::milliseconds(500);
  /// Time between two reports to each other host.
  static constexpr Duration kReportInterval = std::chrono::milliseconds(250);
  /// Groups of which one report tells; the rest follows in further reports. Each fits into a datagram of 8 KB with the
  /// longest names.
  static constexpr std::size_t kGroupsPerReport = 32;
  /// Time between two reports that only serve the failover duty.
  static constexpr Duration kDutyReportInterval = std::chrono::milliseconds(500);
  /// Reports in which the holder of the duty tells all hosts of a new primary; some may be lost.
  static constexpr int kAnnouncements = 3;
  /// Time for which a host that has left the store's list still gets reports. One that was cut off learns from them
  /// that the cut has ended, before it can enter itself again.
  static constexpr Duration kRememberFor = std::chrono::seconds(30);
  /// Gap between two ticks that shows that this process was stopped meanwhile.
  static constexpr Duration kPauseGap = std::chrono::milliseconds(1200);
  /// Time after such a pause in which the duty rests unless the lease is renewed before.
  static constexpr Duration kRestAfterPause = std::chrono::seconds(2);

  SessionHost(SessionHostSettings settings, SessionHostPorts ports,
              std::shared_ptr<const StateChart> replacement_chart);

  SessionService& sessions() { return m_sessions; }

  void on_tick(TimePoint now);
  TimePoint next_wakeup() const;

  /// Tells whether new sessions should come here.
  bool is_ready() const;

  /// Begins the stop.
  void begin_stop(TimePoint now);
  /// True once nothing is open any more.
  bool is_stopped() const { return m_sessions.is_stopped(); }

  /// Writes gauges and latencies in the Prometheus text form.
  std::string metrics(TimePoint now) const;

  void on_evidence(const EvidenceReport& report, TimePoint now) override;

 private:
  struct OtherHost {
    Endpoint endpoint;
    FailureDomainId domain;
    /// When the host's record disappeared from the store.
    std::optional<TimePoint> unlisted_since;
  };

  void on_routing(const RoutingTable& table, TimePoint now) override;
  void on_member(const MemberEntry& entry, TimePoint now) override;
  void on_member_missing(const MemberId& member, bool store_was_away, TimePoint now) override;
  void on_record(const RecordChanged& record, TimePoint now) override;
  void on_primary_position(const GroupId& group, const LogPoint& position, TimePoint at) override;
  void on_primary_found(const GroupId& group, const MemberId& member, Term term, TimePoint now) override;

  std::optional<FencingToken> duty_token(TimePoint now) const;
  /// Tells whether this host hears less than half of the fleet, itself included.
  bool in_minority(TimePoint now) const;
  /// While the store is away for every host, nobody else can take the duty over, so a lease that is not renewed stays
  /// good.
  bool store_is_away_for_all(TimePoint now) const;
  void send_reports(TimePoint now);
  void send_report(const HostId& host, const Endpoint& endpoint, const EvidenceReport& report, TimePoint now);
  /// Drops hosts that left long ago, and counts the fleet anew.
  void review_hosts(TimePoint now);
  void note_readiness();

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
  int m_announcements = 0;
  /// Hosts that are listed or heard, this one included.
  std::size_t m_fleet_size = 1;
  TimePoint m_next_report;
  TimePoint m_last_tick;
  TimePoint m_duty_rests_until;
  bool m_stopping = false;
  bool m_was_ready = false;
  /// Callers are served better by other hosts, since this one reaches neither most of them nor some primary.
  bool m_cut_off = false;
};

}  // namespace teaselrudder
