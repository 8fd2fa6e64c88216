#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/metrics/counters.h"
#include "core/time.h"
#include "servers/session_host/report_ring.h"

namespace teaselrudder {

/// The other hosts of the fleet, as their records in the platform's store name them, and which of them exchange reports
/// with this host.
class KnownHosts {
 public:
  /// Time for which a host still gets reports after its record disappeared from the store. A host that was cut off
  /// learns from these reports that the network works again, before it can write its record again.
  static constexpr Duration kUnlistedHostRetention = std::chrono::seconds(30);

  /// Time after the last renewal of its lease for which the holder of the failover duty acts while the store is
  /// unreachable and it misses some host, which may then reach the store and take the duty.
  static constexpr Duration kMaxDutyWithoutWholeFleet = std::chrono::seconds(7);

  struct Host {
    Endpoint endpoint;
    FailureDomainId domain;
    /// Number of the process that wrote the record.
    std::uint64_t incarnation = 0;
    /// When the host's record disappeared from the store; nothing if it is there.
    std::optional<TimePoint> unlisted_since;
    /// The process has announced that it is stopping.
    bool stopping = false;
  };

  /// `counters` must outlive the object.
  KnownHosts(HostId self, FailureDomainId domain, Counters& counters)
      : m_self(self), m_counters(counters), m_ring(std::move(self), std::move(domain)) {}

  /// Notes that the record of another host has changed; `value` is nullopt if it was removed. Malformed records are
  /// counted and otherwise ignored.
  void on_record(const HostId& host, const std::optional<std::string>& value, TimePoint now);

  /// Notes whether the newest report of a known host says that it is stopping.
  void on_report(const HostId& host, bool stopping);

  /// Notes which host has the record of the failover duty in the store; nullopt if there is no record.
  void on_duty_record(const std::optional<HostId>& holder, TimePoint now);

  /// Notes that the store has been listed, or answers again after an outage. Who held the duty before is not known.
  void on_store_read(TimePoint now) { m_store_read_at = now; }

  /// Forgets hosts whose record disappeared long ago, and those without a record that announced their stop before.
  /// `reporting` contains the hosts that sent a report recently, in ascending order; `is_heard` tells whether the last
  /// report of a host is fresh.
  void update(const std::vector<HostId>& reporting, const std::function<bool(const HostId&)>& is_heard, TimePoint now);

  const std::map<HostId, Host>& all() const { return m_hosts; }
  /// Returns the host, or null if it is not known.
  const Host* find(const HostId& host) const;
  /// Returns the number of hosts that have a record in the store or sent a report recently, including this one. Of
  /// those that are stopping, only the latter count.
  std::size_t fleet_size() const { return m_fleet_size; }

  /// Returns how many hosts have left for good or for a while: they announced their stop, and neither their records nor
  /// their reports remain.
  std::uint64_t departures() const { return m_departures; }

  /// Returns true if some host has the membership kExpired.
  bool has_expired_hosts() const { return m_has_expired_hosts; }

  ReportRing& ring() { return m_ring; }
  const ReportRing& ring() const { return m_ring; }

 private:
  /// Notes that the present holder of the duty, if it is another host, may act on from now on.
  void note_duty_holder(TimePoint now);
  /// Returns true if a holder of the duty that is not heard may act on without the store. A process that has only just
  /// begun to follow the store does not know who held the duty before.
  bool may_be_led_elsewhere(const std::function<bool(const HostId&)>& is_heard, TimePoint now) const;
  static HostMembership membership_of(const Host& host, bool is_reporting, bool may_be_led_elsewhere);

  HostId m_self;
  Counters& m_counters;
  std::map<HostId, Host> m_hosts;
  /// When other hosts last had the record of the duty.
  std::map<HostId, TimePoint> m_held_duty_at;
  /// When this process last began to follow the store; nothing if it has not listed it yet.
  std::optional<TimePoint> m_store_read_at;
  std::uint64_t m_departures = 0;
  bool m_has_expired_hosts = false;
  std::size_t m_fleet_size = 1;
  ReportRing m_ring;
};

}  // namespace teaselrudder
