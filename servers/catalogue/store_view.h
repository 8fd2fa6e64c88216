#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/metrics/counters.h"
#include "core/ports/coordination_port.h"
#include "core/ports/event_log_port.h"
#include "core/random_sequence.h"

namespace teaselrudder {

/// Receives what the platform's store holds.
class StoreViewEvents {
 public:
  StoreViewEvents() = default;
  StoreViewEvents(const StoreViewEvents&) = delete;
  StoreViewEvents& operator=(const StoreViewEvents&) = delete;
  virtual ~StoreViewEvents() = default;

  virtual void on_routing(const RoutingTable& table, TimePoint now) = 0;
  virtual void on_member(const MemberEntry& entry, TimePoint now) = 0;
  /// `store_was_away` tells whether entries may have lapsed only because the store was out of reach.
  virtual void on_member_missing(const MemberId& member, bool store_was_away, TimePoint now) = 0;
  virtual void on_record(const RecordChanged& record, TimePoint now) = 0;
};

/// Keeps up with the platform's store: lists it once, then watches it, and lists it again when history is gone.
class StoreView final : public CoordinationEvents {
 public:
  /// Longest wait of one watch. It bounds how long a connection that went silent hides changes, which have to be in
  /// force within 3 s of their acknowledgement.
  static constexpr Duration kWatchWait = std::chrono::milliseconds(1200);
  /// Age of the store's last answer up to which the view counts as current.
  static constexpr Duration kCurrentFor = std::chrono::milliseconds(2200);
  /// Time after the store's return in which entries that lapsed meanwhile come back.
  static constexpr Duration kReentryTime = std::chrono::milliseconds(2500);
  /// Pause after a change before the next watch: it keeps the calls of the whole fleet at 200 a second.
  static constexpr Duration kWatchGapPerHost = std::chrono::milliseconds(5);
  static constexpr Duration kMaxWatchGap = std::chrono::milliseconds(500);
  static constexpr Duration kMinPause = std::chrono::milliseconds(100);
  static constexpr Duration kMaxPause = std::chrono::milliseconds(800);

  /// All references must outlive the object.
  StoreView(CoordinationPort& store, StoreViewEvents& events, Counters& counters, EventLogPort& log,
            std::uint64_t random_seed);

  /// Sets the number of hosts that watch the store. Each change costs a call of every one of them, so after a change a
  /// host of a large fleet waits a little for more of them.
  void set_fleet_size(std::size_t hosts) {
    m_watch_gap = std::min(kMaxWatchGap, static_cast<std::int64_t>(hosts) * kWatchGapPerHost);
  }

  void on_tick(TimePoint now);
  TimePoint next_wakeup() const;

  /// True if the whole store has been read at least once.
  bool is_complete() const { return m_complete; }
  /// True if the store answered lately and the view holds what it said.
  bool is_current(TimePoint now) const;

  void on_coordination_result(StoreCallId call, tl::expected<CoordinationResult, CoordinationError> outcome,
                              TimePoint now) override;

 private:
  void start(TimePoint now);
  void list_page(const std::string& after);
  void on_page(const StorePage& page, TimePoint now);
  void finish_list(TimePoint now);
  void on_error(const CoordinationError& error, TimePoint now);
  void on_success(TimePoint now);
  void apply(const StoreChange& change, TimePoint now);
  bool was_away(TimePoint now) const;

  CoordinationPort& m_store;
  StoreViewEvents& m_events;
  Counters& m_counters;
  EventLogPort& m_log;
  RandomSequence m_random;
  std::uint64_t m_next_call = 1;
  std::optional<StoreCallId> m_call;
  bool m_complete = false;
  /// Revision after which the next watch begins; nothing while the store has to be listed.
  std::optional<StoreRevision> m_revision;
  /// During a listing: the revision of its first page, and what it has named so far.
  std::optional<StoreRevision> m_list_revision;
  std::set<MemberId> m_listed_members;
  std::set<std::string> m_listed_records;
  std::set<MemberId> m_members;
  std::map<std::string, StoreRevision> m_records;
  Duration m_watch_gap{0};
  std::uint32_t m_failures = 0;
  TimePoint m_next_attempt;
  TimePoint m_answered_at;
  std::optional<TimePoint> m_away_since;
  TimePoint m_returned_at;
};

}  // namespace teaselrudder
