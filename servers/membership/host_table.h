#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/ports/peer_port.h"
#include "core/random_sequence.h"
#include "core/time.h"

namespace teaselrudder {

/// Periods of the probes between hosts.
struct HostTableTimings {
  Duration probe_interval = std::chrono::seconds(1);
  Duration remote_probe_interval = std::chrono::seconds(5);
  Duration probe_timeout = std::chrono::milliseconds(500);
  /// Time after which a suspect host counts as dead.
  Duration suspect_for = std::chrono::seconds(3);
  /// Time for which a dead host is remembered, so that late records do not bring it back.
  Duration forget_after = std::chrono::minutes(30);
};

/// A probe that is due.
struct ProbeTarget {
  HostId host;
  Endpoint endpoint;
};

/// What one host knows of the hosts of this system.
///
/// A record with a higher incarnation wins, then the later state. The platform's list introduces hosts and makes them
/// leave, but never returns a leaving or dead host to life in the same incarnation.
class HostTable {
 public:
  /// Bound on the records that one probe carries.
  static constexpr std::size_t kMaxSharedRecords = 32;
  /// Bound on the hosts that the table holds.
  static constexpr std::size_t kMaxHosts = 4096;

  HostTable(HostRecord self, HostTableTimings timings, std::uint64_t random_seed);

  /// Takes a record that another host sent. Returns true if it changed what is known.
  bool merge(const HostRecord& record, TimePoint now);

  /// Takes the platform's list. Returns true if it changed what is known.
  bool merge_list(const std::vector<HostRecord>& records, TimePoint now);

  /// Advances suspicions and returns the probes that are due.
  std::vector<ProbeTarget> on_tick(TimePoint now);

  /// A probe or another call to `host` was answered.
  bool on_answer(const HostRecord& responder, TimePoint now);

  /// A probe or another call to `host` failed. Returns true if the host became suspect.
  bool on_failure(const HostId& host, TimePoint now);

  /// Marks this host as leaving.
  void leave(TimePoint now);

  /// Returns the record of this host.
  const HostRecord& self() const { return m_self; }

  /// Returns the record of `host`, or null.
  const HostRecord* find(const HostId& host) const;

  /// Returns the hosts of `domain` that take work, this host included, in the order of their names.
  std::vector<HostId> working_hosts(const FailureDomainId& domain) const;

  /// Returns the hosts of all failure domains that take work.
  std::vector<HostId> working_hosts() const;

  /// Returns a bounded selection of records to send with a probe: this host, the newest changes, then others in turn.
  std::vector<HostRecord> records_to_share();

  /// Returns all records, this host included.
  std::vector<HostRecord> all_records() const;

 private:
  struct Entry {
    HostRecord record;
    TimePoint changed_at;
    int failures = 0;
  };

  bool apply(const HostRecord& record, TimePoint now);
  bool refute(const HostRecord& record);
  void advance_suspicions(TimePoint now);
  std::optional<ProbeTarget> pick_probe(bool own_domain);

  HostRecord m_self;
  HostTableTimings m_timings;
  RandomSequence m_random;
  std::map<HostId, Entry> m_hosts;
  TimePoint m_next_probe;
  TimePoint m_next_remote_probe;
  HostId m_share_cursor;
  // A host whose last probe failed for the first time; it is probed again at once.
  std::optional<HostId> m_doubted;
};

}  // namespace teaselrudder
