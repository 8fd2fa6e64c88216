#include "servers/catalogue/store_view.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/overloaded.h"
#include "servers/configuration/backoff.h"

namespace teaselrudder {

namespace {

/// Time without an answer after which the store counts as unreachable: entries may have expired from then on.
constexpr Duration kUnreachableAfter = std::chrono::milliseconds(600);
/// Wait of a watch call that asks only for the changes so far. Zero is not a valid wait.
constexpr Duration kNoWait = std::chrono::milliseconds(1);

}  // namespace

StoreView::StoreView(CoordinationPort& store, StoreViewEvents& events, Counters& counters, EventLogPort& log,
                     std::uint64_t random_seed)
    : m_store(store), m_events(events), m_counters(counters), m_log(log), m_random(random_seed) {}

void StoreView::on_tick(TimePoint now) {
  if (m_settled_listing_at.has_value() && now >= *m_settled_listing_at) {
    m_settled_listing_at.reset();
    restart_listing(now);
  }
  if (!m_call.has_value() && now >= m_next_attempt) {
    start_call();
  }
}

void StoreView::set_watch_wait(Duration wait, TimePoint now) {
  const bool is_shorter = wait < m_watch_wait;
  m_watch_wait = wait;
  if (is_shorter && m_revision.has_value() && m_call.has_value()) {
    // The answer to the running call would come too late, so it is not awaited.
    m_call.reset();
    m_asks_at_once = true;
    m_next_attempt = now;
  }
}

void StoreView::restart_listing(TimePoint now) {
  m_call.reset();
  m_revision.reset();
  m_next_attempt = now;
}

void StoreView::on_store_restored(TimePoint now) {
  restart_listing(now);
  m_failures = 0;
  m_reachable_again_at = now;
  m_settled_at = now + kReregistrationTime;
  const auto spread = std::chrono::duration_cast<Duration>(kSettledListingSpread * m_random.next_double());
  m_settled_listing_at = now + kCopySettlingTime + spread;
}

TimePoint StoreView::next_wakeup() const {
  const TimePoint next_call = m_call.has_value() ? TimePoint::max() : m_next_attempt;
  return std::min(next_call, m_settled_listing_at.value_or(TimePoint::max()));
}

bool StoreView::is_current(TimePoint now) const {
  return m_listed_once && now < m_answered_at + m_watch_wait + kAnswerMargin;
}

void StoreView::start_call() {
  if (!m_revision.has_value()) {
    m_list_revision.reset();
    m_listed_members.clear();
    m_listed_records.clear();
    list_page({});
    return;
  }
  m_call = StoreCallId(m_next_call++);
  m_counters.count("store_watches");
  const double jitter = m_watch_wait > kMinWatchWait ? kWatchWaitJitter * m_random.next_double() : 0;
  const auto wait = std::chrono::duration_cast<Duration>(m_watch_wait * (1 - jitter));
  m_store.watch(*m_call, *m_revision, std::exchange(m_asks_at_once, false) ? kNoWait : wait, *this);
}

void StoreView::list_page(const std::string& after) {
  m_call = StoreCallId(m_next_call++);
  m_counters.count("store_lists");
  m_store.list(*m_call, after, *this);
}

void StoreView::on_coordination_result(StoreCallId call, tl::expected<CoordinationResult, CoordinationError> outcome,
                                       TimePoint now) {
  if (m_call != call) {
    return;
  }
  m_call.reset();
  if (!outcome.has_value()) {
    on_error(outcome.error(), now);
    return;
  }
  on_success(now);
  if (const auto* page = std::get_if<StorePage>(&*outcome)) {
    on_page(*page, now);
  } else if (const auto* changes = std::get_if<StoreChanges>(&*outcome)) {
    for (const StoreChange& change : changes->changes) {
      apply(change, now);
    }
    if (!changes->changes.empty()) {
      m_next_attempt = now + m_watch_delay;
    }
    m_revision = std::max(m_revision.value_or(changes->as_of), changes->as_of);
  }
  on_tick(now);
}

void StoreView::on_page(const StorePage& page, TimePoint now) {
  // The pages are not one snapshot. The watch begins at the revision of the first page, so it delivers again whatever
  // changed while the later pages were read.
  if (!m_list_revision.has_value()) {
    m_list_revision = page.as_of;
  }
  for (const StoreChange& item : page.items) {
    apply_listed(item, now);
  }
  if (page.next_after.has_value()) {
    list_page(*page.next_after);
    return;
  }
  finish_list(now);
}

void StoreView::apply_listed(const StoreChange& item, TimePoint now) {
  if (const auto* seen = std::get_if<MemberUpdated>(&item)) {
    m_listed_members.insert(seen->entry.member);
    if (lists_unsettled_copy() && m_members.is_outdated(seen->entry)) {
      m_counters.count("store_entries_outdated");
      return;
    }
  } else if (const auto* record = std::get_if<RecordChanged>(&item)) {
    m_listed_records.insert(record->key);
  }
  apply(item, now);
}

void StoreView::finish_list(TimePoint now) {
  m_revision = m_list_revision;
  m_listed_once = true;
  m_log.log_state_change("store_listed", {{"revision", std::to_string(m_revision->value())},
                                          {"members", std::to_string(m_listed_members.size())},
                                          {"records", std::to_string(m_listed_records.size())}});
  for (const MemberId& member : m_members.missing_in(m_listed_members)) {
    if (lists_unsettled_copy()) {
      m_members.on_lost(member);
    }
    apply(MemberRemoved{member}, now);
  }
  const std::map<std::string, StoreRevision> records = m_records;
  for (const auto& [key, revision] : records) {
    if (!m_listed_records.contains(key)) {
      apply(RecordChanged{key, std::nullopt, *m_revision}, now);
    }
  }
  m_events.on_store_listed(now);
}

void StoreView::on_error(const CoordinationError& error, TimePoint now) {
  if (error.kind == CoordinationErrorKind::kHistoryCompacted) {
    m_counters.count("store_history_gone");
    m_log.log_state_change("store_history_gone", {{"revision", std::to_string(revision().value())}});
    m_revision.reset();
    on_success(now);
    on_tick(now);
    return;
  }
  m_counters.count("store_view_failures");
  if (!m_unreachable_since.has_value() && now > m_answered_at + kUnreachableAfter) {
    m_unreachable_since = m_answered_at;
    m_log.log_state_change("store_lost", {{"cause", error.message},
                                          {"answer_age_ms", std::to_string(to_milliseconds(now - m_answered_at))}});
  }
  if (!m_revision.has_value()) {
    m_list_revision.reset();
  }
  m_next_attempt = now + backoff_delay(m_failures, kMinRetryDelay, kMaxRetryDelay, m_random.next_double());
  ++m_failures;
}

void StoreView::on_success(TimePoint now) {
  if (m_unreachable_since.has_value()) {
    m_events.on_store_regained(now);
  }
  m_failures = 0;
  m_answered_at = now;
  m_next_attempt = now;
  if (m_unreachable_since.has_value()) {
    m_log.log_state_change("store_regained", {{"away_ms", std::to_string(to_milliseconds(now - *m_unreachable_since))},
                                              {"revision", std::to_string(revision().value())}});
    m_unreachable_since.reset();
    m_reachable_again_at = now;
  }
}

bool StoreView::was_unreachable(TimePoint now) const {
  return m_unreachable_since.has_value() ||
         (m_reachable_again_at != TimePoint() && now < m_reachable_again_at + kReregistrationTime);
}

void StoreView::apply(const StoreChange& change, TimePoint now) {
  std::visit(Overloaded{[&](const RoutingChanged& routing) { m_events.on_routing(routing.table, now); },
                        [&](const MemberUpdated& seen) {
                          m_members.on_updated(seen.entry);
                          m_events.on_member(seen.entry, now);
                        },
                        [&](const MemberRemoved& gone) {
                          m_members.on_removed(gone.member, now);
                          m_events.on_member_missing(gone.member, was_unreachable(now), now);
                        },
                        [&](const RecordChanged& record) {
                          if (record.value.has_value()) {
                            m_records[record.key] = record.revision;
                          } else {
                            m_records.erase(record.key);
                          }
                          m_events.on_record(record, now);
                        }},
             change);
}

}  // namespace teaselrudder
