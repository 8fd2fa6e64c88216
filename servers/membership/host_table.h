#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/ports/peer_port.h"
#include "core/random_sequence.h"
#include "core/time.h"

namespace teaselrudder {

/// Intervals and timeouts of the failure detection between hosts.
struct HostTableTimings {
  /// Time between two probes of a random host in the own failure domain.
  Duration probe_interval = std::chrono::seconds(1);
  /// Time between two probes of a random host in another failure domain.
  Duration remote_probe_interval = std::chrono::seconds(5);
  Duration probe_timeout = std::chrono::milliseconds(500);
  /// Time after which a host that stays suspect is declared dead.
  Duration suspect_timeout = std::chrono::seconds(3);
  /// Time for which the record of a dead or leaving host is kept, so that outdated records do not add it again.
  Duration dead_host_retention = std::chrono::minutes(30);
};

/// A host that is to be probed now.
struct ProbeTarget {
  HostId host;
  Endpoint endpoint;
};

/// The membership table of one host: what it knows about the other hosts of this system. Hosts detect failures by
/// random probes and spread records with each probe, as in the SWIM protocol.
///
/// Of two records for the same host, the one with the higher incarnation wins, then the one with the later HostState.
/// The platform's list can add hosts and mark them as leaving, but never makes a leaving or dead host alive again in
/// the same incarnation.
class HostTable {
 public:
  /// Maximum number of records in one probe, including that of this host.
  static constexpr std::size_t kMaxSharedRecords = 32;
  /// Maximum number of other hosts in the table; further ones are ignored.
  static constexpr std::size_t kMaxHosts = 4096;

  /// `random_seed` determines the order in which hosts are probed.
  HostTable(HostRecord self, HostTableTimings timings, std::uint64_t random_seed);

  /// Merges a record that another host sent. If it is about this host and reports a worse state than the true one, this
  /// host's incarnation is increased above the record's. Returns true if the table changed.
  bool merge(const HostRecord& record, TimePoint now);

  /// Merges the platform's list of hosts. Returns true if the table changed.
  bool merge_list(const std::vector<HostRecord>& records, TimePoint now);

  /// Declares hosts dead that were suspect for too long, drops expired records, and returns the hosts to probe now.
  std::vector<ProbeTarget> on_tick(TimePoint now);

  /// Records that a probe or another call was answered by `responder`, which ends a suspicion. Returns true if the
  /// table changed.
  bool on_answer(const HostRecord& responder, TimePoint now);

  /// Records that a probe or another call to `host` failed. The first failure leads to an immediate new probe, the
  /// second in a row makes the host suspect. Returns true if it became suspect.
  bool on_failure(const HostId& host, TimePoint now);

  /// Marks this host as leaving, so that it gets no new work.
  void leave(TimePoint now);

  const HostRecord& self() const { return m_self; }

  /// Returns the record of `host`, or null if it is not known.
  const HostRecord* find(const HostId& host) const;

  /// Returns the alive hosts of `domain`, including this host, in the order of their names.
  std::vector<HostId> working_hosts(const FailureDomainId& domain) const;

  /// Returns the alive hosts of all failure domains, including this host, in the order of their names.
  std::vector<HostId> working_hosts() const;

  /// Returns the records to send with a probe: this host's own, those that changed last, and others in rotation, so
  /// that every record is sent in time.
  std::vector<HostRecord> records_to_share();

  /// Returns all records, including that of this host.
  std::vector<HostRecord> all_records() const;

 private:
  struct Entry {
    HostRecord record;
    TimePoint changed_at;
    int failures = 0;
  };

  bool apply_record(const HostRecord& record, TimePoint now);
  bool refute_own_state(const HostRecord& record);
  void advance_suspicions(TimePoint now);
  std::optional<ProbeTarget> pick_probe(bool own_domain);

  HostRecord m_self;
  HostTableTimings m_timings;
  RandomSequence m_random;
  std::map<HostId, Entry> m_hosts;
  TimePoint m_next_probe;
  TimePoint m_next_remote_probe;
  HostId m_last_rotated_host;
  // Hosts to which a first call has failed; the next on_tick() probes them again.
  std::set<HostId> m_hosts_to_reprobe;
};

}  // namespace teaselrudder
