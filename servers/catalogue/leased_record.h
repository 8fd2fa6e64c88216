#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/metrics/counters.h"
#include "core/ports/coordination_port.h"
#include "core/ports/event_log_port.h"
#include "core/random_sequence.h"

namespace teaselrudder {

/// Whether a record that another life or another host wrote may be replaced.
enum class RecordPolicy { kReplace, kOnlyIfAbsent };

/// Keeps a record in the platform's store under a lease: grants the lease, writes the record, renews the lease, and
/// begins again when it ends.
class LeasedRecord final : public CoordinationEvents {
 public:
  /// Both are in the platform's range; the lease outlasts two lost renewals.
  struct Timings {
    Duration time_to_live{0};
    Duration renewal{0};
  };

  /// All references must outlive the object. Nothing is sent before the first call of on_tick().
  LeasedRecord(std::string key, std::string value, RecordPolicy policy, Timings timings, CoordinationPort& store,
               Counters& counters, EventLogPort& log, std::uint64_t random_seed);

  /// Takes what the store holds under the key.
  void on_record(const RecordChanged& record, TimePoint now);

  /// Does what is due. Nothing is begun while `may_begin` is false.
  void on_tick(bool may_begin, TimePoint now);
  TimePoint next_wakeup() const;

  /// Gives the record up; the lease is ended.
  void release();

  /// Writes the record again, so that it gets a higher revision. Ignored unless the record is held.
  void rewrite();

  /// Notes that the revision was refused elsewhere because another host holds a higher one.
  void on_superseded(TimePoint now);

  /// Returns the revision of the record while this host holds it. It stays valid while the store is away, because
  /// nobody else can write the record then.
  std::optional<StoreRevision> held_revision() const;

  /// Tells whether a renewal succeeded within the lease's time. False after a pause of this process until the next one.
  bool is_renewed(TimePoint now) const;

  void on_coordination_result(StoreCallId call, tl::expected<CoordinationResult, CoordinationError> outcome,
                              TimePoint now) override;

 private:
  enum class State { kAbsent, kGranting, kWriting, kHeld };

  void begin(TimePoint now);
  void back_off(TimePoint now);
  void lose(const std::string& cause, TimePoint now);
  void on_granted(tl::expected<CoordinationResult, CoordinationError> outcome, TimePoint now);
  void on_written(tl::expected<CoordinationResult, CoordinationError> outcome, TimePoint now);
  void on_renewed(tl::expected<CoordinationResult, CoordinationError> outcome, TimePoint now);
  void hold(StoreRevision revision, TimePoint now);
  void write();
  StoreCallId next_call() { return StoreCallId(m_next_call++); }

  std::string m_key;
  std::string m_value;
  RecordPolicy m_policy;
  Timings m_timings;
  CoordinationPort& m_store;
  Counters& m_counters;
  EventLogPort& m_log;
  RandomSequence m_random;
  std::uint64_t m_next_call = 1;
  State m_state = State::kAbsent;
  /// The call whose result moves the state on, and the renewal that is due besides.
  std::optional<StoreCallId> m_call;
  std::optional<StoreCallId> m_renewal;
  TimePoint m_renewal_sent_at;
  std::optional<LeaseId> m_lease;
  std::optional<StoreRevision> m_revision;
  /// Revision and value under the key as the store last reported them; nothing if the key is absent.
  std::optional<StoreRevision> m_seen_revision;
  std::string m_seen_value;
  TimePoint m_next_attempt;
  TimePoint m_next_renewal;
  TimePoint m_renewed_at;
  std::uint32_t m_failures = 0;
};

}  // namespace teaselrudder
