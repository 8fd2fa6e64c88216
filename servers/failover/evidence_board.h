#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/ports/evidence_port.h"
#include "core/time.h"

namespace teaselrudder {

/// Latest reports of the other hosts about the primaries of the groups.
class EvidenceBoard {
 public:
  /// Maximum age of a report that counts as fresh.
  static constexpr Duration kFreshFor = std::chrono::milliseconds(900);
  /// Time after its last report after which a host without a record in the store counts as gone.
  static constexpr Duration kForgetAfter = std::chrono::seconds(5);

  /// Stores a report. A report that was sent before the newest one of the same sender is ignored, unless that one
  /// arrived more than kForgetAfter ago. Returns false then.
  bool on_report(const EvidenceReport& report, TimePoint now);

  /// Calls `visit` with the evidence on `group` from each fresh report, at most once per host, and with the time since
  /// the report arrived, which its ages do not include.
  void visit_fresh_evidence(const GroupId& group, TimePoint now,
                            const std::function<void(const PrimaryEvidence&, Duration)>& visit) const;

  /// Returns true if a fresh report mentions `group`.
  bool has_fresh_evidence(const GroupId& group, TimePoint now) const;

  /// Returns true if the last report of `host` is fresh.
  bool has_fresh_report(const HostId& host, TimePoint now) const;

  /// Returns true if a report of `host` arrived within the last `limit`.
  bool has_report_within(const HostId& host, Duration limit, TimePoint now) const;

  /// Returns true if a report of the holder of the failover duty arrived within the last `limit`.
  bool hears_duty_holder(Duration limit, TimePoint now) const;
  /// Returns true if a host whose report arrived within the last `limit` hears the holder of the failover duty.
  bool is_duty_holder_heard_elsewhere(Duration limit, TimePoint now) const;

  /// Returns true if every host with a fresh report has reported since `since` that it dropped the leases on the
  /// primary of `replaced`.
  bool all_dropped_leases(const GroupId& group, Term replaced, TimePoint since, TimePoint now) const;

  /// Returns the number of hosts whose last report is fresh.
  std::size_t hosts_with_fresh_report(TimePoint now) const;

  /// Returns the number of hosts with a fresh report that says that they reach the platform's store.
  std::size_t hosts_with_current_store(TimePoint now) const;

  /// Returns the hosts that reported within kForgetAfter, sorted by id.
  std::vector<HostId> known_hosts(TimePoint now) const;

  /// Returns the newest report of `host`, to be echoed in reports to it: the sending time on that host's clock, and the
  /// arrival time on this host's clock. Returns nothing if it has sent none.
  std::optional<std::pair<std::int64_t, TimePoint>> newest_report_from(const HostId& host) const;

  /// Returns how many hosts' evidence on a group was read so far. It tells the work of the failover duty's holder.
  std::uint64_t evidence_read() const { return m_evidence_read; }

 private:
  struct Evidence {
    PrimaryEvidence evidence;
    /// The epoch if the host has sent none.
    TimePoint arrived_at;

    bool is_fresh(TimePoint now) const { return arrived_at != TimePoint() && now - arrived_at <= kFreshFor; }
  };
  /// Last report of one host.
  struct Entry {
    /// Place of the host's evidence in the vectors of m_evidence.
    std::size_t index = 0;
    std::int64_t sent_at_us = 0;
    bool store_current = false;
    bool holds_duty = false;
    bool hears_duty_holder = false;
    TimePoint arrived_at;
  };

  std::map<HostId, Entry> m_entries;
  /// The evidence of the hosts on each group, by their index. Each report covers only some groups. Vectors, because the
  /// holder of the failover duty goes through all evidence many times per second.
  std::map<GroupId, std::vector<Evidence>> m_evidence;
  mutable std::uint64_t m_evidence_read = 0;
};

}  // namespace teaselrudder
