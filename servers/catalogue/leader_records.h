#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "core/group_leader.h"
#include "core/metrics/counters.h"
#include "core/ports/coordination_port.h"
#include "core/ports/event_log_port.h"

namespace teaselrudder {

/// Records of the announced leaders in the platform's store, one key per group, without a lease.
///
/// They let a host that has just started use a primary, and a new holder of the failover duty grant leases on it,
/// without waiting until the leases of a former holder have run out. Where a replaced primary may go on, an
/// announcement waits for its record as long as some host reaches the store: a holder that is cut off from it would
/// otherwise announce a leader that the next holder cannot know of. While no host reaches the store, hosts learn the
/// leader from each other's reports. A store that was restored from an older copy may have lost records; the holder of
/// the duty then writes them again.
class LeaderRecords final : private CoordinationEvents {
 public:
  static constexpr std::string_view kPrefix = "leaders/";
  /// Delay before a write that failed is tried again.
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(500);

  /// All references must outlive the object.
  LeaderRecords(CoordinationPort& store, Counters& counters, EventLogPort& log)
      : m_store(store), m_counters(counters), m_log(log) {}

  /// Notes a change of a key with the prefix kPrefix.
  void on_record(const RecordChanged& record);

  /// Forgets what the store reported and every running call, because the store was restored from an older copy.
  void on_store_restored();

  /// Returns true if the record of `group` does not name `leader` or a leader of a later term, and is not being
  /// written.
  bool lacks(const GroupId& group, const GroupLeader& leader) const;

  /// Returns true if the store has recorded the leader of `term` or of a later one.
  bool is_recorded(const GroupId& group, Term term) const;

  /// Returns the recorded leader of `group`; nothing if there is no valid record.
  std::optional<GroupLeader> recorded(const GroupId& group) const;

  /// Records `leader`, which this host has announced or is about to announce, unless a later term is recorded.
  void record(const GroupId& group, const GroupLeader& leader);

  /// Sends the writes that are due, one per group at a time.
  void on_tick(TimePoint now);

  /// Returns the time at which on_tick() has to be called next.
  TimePoint next_wakeup() const { return m_wanted.empty() ? TimePoint::max() : m_next_attempt; }

 private:
  struct Record {
    std::optional<GroupLeader> leader;
    StoreRevision revision;
  };
  struct Write {
    GroupId group;
    GroupLeader leader;
  };

  void on_coordination_result(StoreCallId call, tl::expected<CoordinationResult, CoordinationError> outcome,
                              TimePoint now) override;

  CoordinationPort& m_store;
  Counters& m_counters;
  EventLogPort& m_log;
  std::map<GroupId, Record> m_records;
  std::map<GroupId, GroupLeader> m_wanted;
  std::map<StoreCallId, Write> m_running;
  TimePoint m_next_attempt;
  std::uint64_t m_next_call = 1;
};

}  // namespace teaselrudder
