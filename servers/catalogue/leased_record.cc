#include "servers/catalogue/leased_record.h"

#include <algorithm>
#include <utility>

#include "servers/configuration/backoff.h"

namespace teaselrudder {

namespace {

constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(1000);

}  // namespace

LeasedRecord::LeasedRecord(std::string key, std::string value, RecordPolicy policy, Timings timings,
                           CoordinationPort& store, Counters& counters, EventLogPort& log, std::uint64_t random_seed)
    : m_key(std::move(key)),
      m_value(std::move(value)),
      m_policy(policy),
      m_timings(timings),
      m_store(store),
      m_counters(counters),
      m_log(log),
      m_random(random_seed) {}

void LeasedRecord::on_record(const RecordChanged& record, TimePoint now) {
  if (m_stored_revision.has_value() && record.revision < *m_stored_revision) {
    m_counters.count("store_records_older_ignored");
    m_log.log_state_change("older_record_ignored", {{"key", m_key},
                                                    {"revision", std::to_string(record.revision.value())},
                                                    {"known", std::to_string(m_stored_revision->value())}});
    return;
  }
  m_stored_revision = record.value.has_value() ? std::optional<StoreRevision>(record.revision) : std::nullopt;
  m_stored_value = record.value.value_or("");
  const bool is_own = m_stored_value == m_value && record.lease == m_lease;
  m_value_outdated = m_value_outdated && !is_own;
  if (m_state == State::kUnconfirmed && is_own) {
    confirm(record.revision, now);
    return;
  }
  if (m_state == State::kWriting && m_call == std::nullopt && is_own) {
    // The store holds this host's value, so the write succeeded and only its answer was lost.
    on_acquired(record.revision, now);
    return;
  }
  if (m_state != State::kHeld || record.revision <= m_version->revision) {
    return;
  }
  if (!record.value.has_value()) {
    handle_loss("record was removed", now);
  } else if (!is_own) {
    handle_loss("record was overwritten by another host or under another lease", now);
  } else {
    m_version = {m_store_era, record.revision};
  }
}

void LeasedRecord::on_store_restored(StoreEra era, TimePoint now) {
  m_store_era = era;
  m_stored_revision.reset();
  m_stored_value.clear();
  m_call.reset();
  m_renewal.reset();
  m_failures = 0;
  m_next_attempt = now;
  if (m_state == State::kHeld || m_state == State::kUnconfirmed) {
    m_state = State::kUnconfirmed;
    return;
  }
  m_lease.reset();
  m_state = State::kNotHeld;
}

void LeasedRecord::confirm(StoreRevision revision, TimePoint now) {
  m_log.log_state_change("record_confirmed", {{"key", m_key}, {"revision", std::to_string(revision.value())}});
  m_state = State::kHeld;
  m_version = {m_store_era, revision};
  m_next_renewal = now;
}

void LeasedRecord::on_store_listed(TimePoint now) {
  if (m_state != State::kUnconfirmed) {
    return;
  }
  handle_loss("the restored store does not contain it", now);
  m_failures = 0;
  m_next_attempt = now;
}

bool LeasedRecord::may_replace_stored() const {
  return m_policy == RecordPolicy::kReplace || !m_stored_revision.has_value() || m_stored_value == m_value;
}

void LeasedRecord::on_tick(bool may_acquire, TimePoint now) {
  if (m_state == State::kHeld && !m_renewal.has_value() && now >= m_next_renewal) {
    m_renewal = next_call();
    m_renewal_sent_at = now;
    m_store.renew_lease(*m_renewal, *m_lease, *this);
    return;
  }
  if (m_state == State::kHeld && m_value_outdated && !m_call.has_value() && now >= m_next_attempt) {
    m_next_attempt = now + kMaxRetryDelay;
    send_write();
  }
  if (m_state == State::kWriting && !m_call.has_value() && now >= m_next_attempt) {
    handle_loss("store did not confirm the write", now);
  }
  if (m_state != State::kNotHeld || now < std::max(m_next_attempt, m_earliest_acquisition)) {
    return;
  }
  if (!may_acquire) {
    m_next_attempt = now + kMinRetryDelay;
  } else if (may_replace_stored()) {
    request_lease(now);
  }
}

TimePoint LeasedRecord::next_wakeup() const {
  switch (m_state) {
    case State::kNotHeld:
      return may_replace_stored() ? std::max(m_next_attempt, m_earliest_acquisition) : TimePoint::max();
    case State::kWriting:
      return m_call.has_value() ? TimePoint::max() : m_next_attempt;
    case State::kHeld:
      return std::min(m_renewal.has_value() ? TimePoint::max() : m_next_renewal,
                      m_value_outdated && !m_call.has_value() ? m_next_attempt : TimePoint::max());
    case State::kRequestingLease:
    case State::kUnconfirmed:
      return TimePoint::max();
  }
  return TimePoint::max();
}

void LeasedRecord::request_lease(TimePoint now) {
  m_state = State::kRequestingLease;
  m_renewed_at = now;
  m_call = next_call();
  m_store.grant_lease(*m_call, m_timings.time_to_live, *this);
}

void LeasedRecord::send_write() {
  m_call = next_call();
  const StoreRevision expected =
      m_version.has_value() ? m_version->revision : m_stored_revision.value_or(StoreRevision(0));
  m_store.write(*m_call, m_key, expected, m_value, *m_lease, *this);
}

void LeasedRecord::release() {
  // The number of an unconfirmed lease may belong to another host now.
  if (m_lease.has_value() && m_state != State::kUnconfirmed) {
    m_store.end_lease(next_call(), *m_lease, *this);
  }
  m_state = State::kNotHeld;
  m_call.reset();
  m_renewal.reset();
  m_lease.reset();
  m_version.reset();
  m_value_outdated = false;
}

void LeasedRecord::rewrite() {
  if (m_state == State::kHeld && !m_call.has_value()) {
    send_write();
  }
}

void LeasedRecord::set_value(std::string value) {
  m_value = std::move(value);
  m_value_outdated = m_state == State::kHeld || m_state == State::kWriting;
  m_next_attempt = m_state == State::kHeld ? TimePoint() : m_next_attempt;
}

void LeasedRecord::on_superseded(TimePoint now) {
  if (held_version().has_value()) {
    handle_loss("another host uses a higher revision", now);
  }
}

std::optional<RecordVersion> LeasedRecord::held_version() const {
  return m_state == State::kHeld || m_state == State::kUnconfirmed ? m_version : std::nullopt;
}

bool LeasedRecord::is_renewed(TimePoint now) const {
  return held_version().has_value() && now < m_renewed_at + m_timings.time_to_live;
}

void LeasedRecord::handle_loss(const std::string& cause, TimePoint now) {
  m_log.log_state_change("record_lost",
                         {{"key", m_key},
                          {"cause", cause},
                          {"revision", std::to_string(m_version.value_or(RecordVersion()).revision.value())}});
  m_counters.count("store_records_lost");
  release();
  back_off(now);
}

void LeasedRecord::back_off(TimePoint now) {
  m_next_attempt = now + backoff_delay(m_failures, kMinRetryDelay, kMaxRetryDelay, m_random.next_double());
  ++m_failures;
}

void LeasedRecord::on_acquired(StoreRevision revision, TimePoint now) {
  m_log.log_state_change("record_held", {{"key", m_key}, {"revision", std::to_string(revision.value())}});
  m_state = State::kHeld;
  m_version = {m_store_era, revision};
  m_failures = 0;
  m_next_renewal = now + m_timings.renewal;
}

void LeasedRecord::on_coordination_result(StoreCallId call, tl::expected<CoordinationResult, CoordinationError> outcome,
                                          TimePoint now) {
  if (m_renewal == call) {
    m_renewal.reset();
    on_renewed(std::move(outcome), now);
    return;
  }
  if (m_call != call) {
    return;
  }
  m_call.reset();
  if (m_state == State::kRequestingLease) {
    on_granted(std::move(outcome), now);
  } else {
    on_written(std::move(outcome), now);
  }
}

void LeasedRecord::on_granted(tl::expected<CoordinationResult, CoordinationError> outcome, TimePoint now) {
  if (!outcome.has_value() || !std::holds_alternative<LeaseId>(*outcome)) {
    m_counters.count("store_leases_failed");
    m_log.log_state_change("lease_failed", {{"key", m_key},
                                            {"cause", outcome.has_value() ? "store answered without a lease id"
                                                                          : outcome.error().message}});
    m_state = State::kNotHeld;
    back_off(now);
    return;
  }
  m_lease = std::get<LeaseId>(*outcome);
  if (!may_replace_stored()) {
    handle_loss("another host wrote the record first", now);
    return;
  }
  m_state = State::kWriting;
  send_write();
}

void LeasedRecord::on_written(tl::expected<CoordinationResult, CoordinationError> outcome, TimePoint now) {
  if (outcome.has_value() && std::holds_alternative<StoreRevision>(*outcome)) {
    // The value may have changed after the first write was sent, but not after a later one.
    m_value_outdated = m_value_outdated && m_state != State::kHeld;
    on_acquired(std::get<StoreRevision>(*outcome), now);
    return;
  }
  if (m_state == State::kHeld) {
    // A failed rewrite left the record unchanged, or took effect and is reported by the watch of the store.
    return;
  }
  const bool nothing_done = !outcome.has_value() && (outcome.error().kind == CoordinationErrorKind::kConflict ||
                                                     outcome.error().kind == CoordinationErrorKind::kLeaseNotFound);
  if (nothing_done) {
    handle_loss("store rejected the write", now);
    return;
  }
  // The write may still take effect until its lease expires, so the record is given up only after that time.
  m_next_attempt = now + m_timings.time_to_live;
}

void LeasedRecord::on_renewed(tl::expected<CoordinationResult, CoordinationError> outcome, TimePoint now) {
  if (m_state != State::kHeld) {
    return;
  }
  if (outcome.has_value()) {
    m_renewed_at = m_renewal_sent_at;
    m_next_renewal = m_renewal_sent_at + m_timings.renewal;
    return;
  }
  m_counters.count("store_renewals_failed");
  if (outcome.error().kind == CoordinationErrorKind::kLeaseNotFound) {
    handle_loss("lease has ended", now);
    return;
  }
  m_next_renewal = now + std::min(m_timings.renewal, kMinRetryDelay * 3);
}

}  // namespace teaselrudder
