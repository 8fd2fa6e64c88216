#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/ports/evidence_port.h"
#include "core/time.h"

namespace teaselrudder {

/// What the other hosts have last reported of the groups' primaries.
class EvidenceBoard {
 public:
  /// Age from which a host's report says nothing of the present.
  static constexpr Duration kFreshFor = std::chrono::milliseconds(900);
  /// Age from which a host that is not in the store's list either counts as gone.
  static constexpr Duration kForgetAfter = std::chrono::seconds(5);

  /// Takes a report. One that was sent before the newest of its sender is ignored.
  void on_report(const EvidenceReport& report, TimePoint now);

  /// Returns the fresh evidence on `group`, one entry a host, with ages as of `now`.
  std::vector<PrimaryEvidence> fresh(const GroupId& group, TimePoint now) const;

  /// Tells whether there is a fresh report of `host`.
  bool is_fresh(const HostId& host, TimePoint now) const;

  /// Returns the number of hosts with a fresh report.
  std::size_t fresh_hosts(TimePoint now) const;

  /// Returns the hosts with a fresh report that the platform's store answers them.
  std::size_t hosts_with_store(TimePoint now) const;

  /// Returns the hosts that reported within kForgetAfter, in order.
  std::vector<HostId> known_hosts(TimePoint now) const;

  /// Returns the newest report of `host` for the echo: its clock, and when it arrived here.
  std::optional<std::pair<std::int64_t, TimePoint>> newest_of(const HostId& host) const;

 private:
  struct Evidence {
    PrimaryEvidence evidence;
    TimePoint arrived_at;
  };
  /// What one host said. Its reports tell of some groups each.
  struct Entry {
    std::int64_t sent_at_us = 0;
    bool store_current = false;
    TimePoint arrived_at;
    std::map<GroupId, Evidence> groups;
  };

  std::map<HostId, Entry> m_entries;
};

}  // namespace teaselrudder
