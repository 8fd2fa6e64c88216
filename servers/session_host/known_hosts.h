#pragma once

#include <cstddef>
#include <cstdint>
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
      : m_counters(counters), m_ring(std::move(self), std::move(domain)) {}

  /// Notes that the record of another host has changed; `value` is nullopt if it was removed. Malformed records are
  /// counted and otherwise ignored.
  void on_record(const HostId& host, const std::optional<std::string>& value, TimePoint now);

  /// Notes whether the newest report of a known host says that it is stopping.
  void on_report(const HostId& host, bool stopping);

  /// Forgets hosts whose record disappeared long ago, and those without a record that announced their stop before.
  /// `reporting` contains the hosts that sent a report recently, in ascending order.
  void update(const std::vector<HostId>& reporting, TimePoint now);

  const std::map<HostId, Host>& all() const { return m_hosts; }
  /// Returns the host, or null if it is not known.
  const Host* find(const HostId& host) const;
  /// Returns the number of hosts that have a record in the store or sent a report recently, including this one. Of
  /// those that are stopping, only the latter count.
  std::size_t fleet_size() const { return m_fleet_size; }

  ReportRing& ring() { return m_ring; }
  const ReportRing& ring() const { return m_ring; }

 private:
  HostStanding standing_of(const Host& host, bool is_reporting) const;

  Counters& m_counters;
  std::map<HostId, Host> m_hosts;
  std::size_t m_fleet_size = 1;
  ReportRing m_ring;
};

}  // namespace teaselrudder
