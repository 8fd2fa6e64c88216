#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

#include "core/metrics/counters.h"
#include "core/ports/coordination_port.h"
#include "core/ports/event_log_port.h"
#include "core/random_sequence.h"
#include "servers/catalogue/record_version.h"

namespace teaselrudder {

/// Whether to overwrite a record that another host, or an earlier process of this host, has written.
enum class RecordPolicy { kReplace, kOnlyIfAbsent };

/// Keeps a record in the platform's store under a lease: requests the lease, writes the record under it, renews the
/// lease, and starts over when the lease ends or another host replaces the record.
///
/// A store that was restored from an older copy may have forgotten the record and its lease, and may give out the
/// number of the lease again. A held record then counts as unconfirmed until the store has been listed: it is held on
/// if the listing contains it under its lease, and written again otherwise.
class LeasedRecord final : public CoordinationEvents {
 public:
  /// Both values have to be within the limits of the platform. The time to live has to cover two lost renewals.
  struct Timings {
    Duration time_to_live{0};
    Duration renewal{0};
  };

  /// All references must outlive the object. Nothing is sent before the first call of on_tick().
  LeasedRecord(std::string key, std::string value, RecordPolicy policy, Timings timings, CoordinationPort& store,
               Counters& counters, EventLogPort& log, std::uint64_t random_seed);

  /// Processes what the store reported under the record's key.
  void on_record(const RecordChanged& record, TimePoint now);

  /// Sets the era of the store's first answer.
  void set_store_era(StoreEra era) { m_store_era = era; }

  /// Forgets what the store reported and every running call, because the store was restored from an older copy and is
  /// now in `era`.
  void on_store_restored(StoreEra era, TimePoint now);

  /// Returns the time to live of the lease.
  Duration time_to_live() const { return m_timings.time_to_live; }

  /// Does not acquire the record for `delay`, because another host may still act as its holder.
  void delay_acquisition(Duration delay, TimePoint now) {
    m_earliest_acquisition = std::max(m_earliest_acquisition, now + delay);
  }

  /// Processes the end of a listing of the store, in which on_record() was called for the record if it exists.
  void on_store_listed(TimePoint now);

  /// Renews the lease or tries to acquire the record, as due. No new attempt to acquire it starts while `may_acquire`
  /// is false.
  void on_tick(bool may_acquire, TimePoint now);

  /// Returns when on_tick() is due next; TimePoint::max() while it has to wait for the store.
  TimePoint next_wakeup() const;

  /// Ends the lease, which removes the record from the store.
  void release();

  /// Writes the record again, so that it gets a higher revision. Ignored unless the record is held.
  void rewrite();

  /// Changes the value. A record that is held is written until the store contains the value.
  void set_value(std::string value);

  /// Gives up the record after a receiver rejected its revision because another host has used a higher one.
  void on_superseded(TimePoint now);

  /// Returns the version of the record while this host holds it, or nothing. It stays valid while the store is
  /// unreachable, because no other host can write the record then.
  std::optional<RecordVersion> held_version() const;

  /// Returns whether the last successful renewal is more recent than the lease's time to live. False after this process
  /// was paused for longer, until the next renewal succeeds.
  bool is_renewed(TimePoint now) const;

  /// Returns when the last successful renewal was sent.
  TimePoint renewed_at() const { return m_renewed_at; }

  void on_coordination_result(StoreCallId call, tl::expected<CoordinationResult, CoordinationError> outcome,
                              TimePoint now) override;

 private:
  /// In kUnconfirmed the record was held before the store was restored.
  enum class State { kNotHeld, kRequestingLease, kWriting, kHeld, kUnconfirmed };

  /// Returns true if the policy allows this host to write the record.
  bool may_replace_stored() const;
  /// Holds the record on, which the restored store contains under its lease at `revision`.
  void confirm(StoreRevision revision, TimePoint now);
  void request_lease(TimePoint now);
  void back_off(TimePoint now);
  void handle_loss(const std::string& cause, TimePoint now);
  void on_granted(tl::expected<CoordinationResult, CoordinationError> outcome, TimePoint now);
  void on_written(tl::expected<CoordinationResult, CoordinationError> outcome, TimePoint now);
  void on_renewed(tl::expected<CoordinationResult, CoordinationError> outcome, TimePoint now);
  void on_acquired(StoreRevision revision, TimePoint now);
  void send_write();
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
  State m_state = State::kNotHeld;
  /// The running call that requests the lease or writes the record, and the running renewal, if any.
  std::optional<StoreCallId> m_call;
  std::optional<StoreCallId> m_renewal;
  TimePoint m_renewal_sent_at;
  std::optional<LeaseId> m_lease;
  StoreEra m_store_era;
  std::optional<RecordVersion> m_version;
  /// Revision and value under the key as the store last reported them; empty if the key does not exist.
  std::optional<StoreRevision> m_stored_revision;
  std::string m_stored_value;
  /// The value has changed while the record was held, and the store has not confirmed the new one.
  bool m_value_outdated = false;
  TimePoint m_next_attempt;
  TimePoint m_earliest_acquisition;
  TimePoint m_next_renewal;
  TimePoint m_renewed_at;
  std::uint32_t m_failures = 0;
};

}  // namespace teaselrudder
