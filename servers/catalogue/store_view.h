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
#include "servers/catalogue/known_members.h"

namespace teaselrudder {

/// Receives the contents of the platform's store and each change to them.
class StoreViewEvents {
 public:
  StoreViewEvents() = default;
  StoreViewEvents(const StoreViewEvents&) = delete;
  StoreViewEvents& operator=(const StoreViewEvents&) = delete;
  virtual ~StoreViewEvents() = default;

  virtual void on_routing(const RoutingTable& table, TimePoint now) = 0;
  /// A member's entry was listed or written.
  virtual void on_member(const MemberEntry& entry, TimePoint now) = 0;
  /// A member's entry is no longer in the store. `store_was_unreachable` is true if the entry may have expired only
  /// because its owner could not reach the store either.
  virtual void on_member_missing(const MemberId& member, bool store_was_unreachable, TimePoint now) = 0;
  /// A record was listed, written or removed.
  virtual void on_record(const RecordChanged& record, TimePoint now) = 0;
  /// The store answers again after it was unreachable. Called before the answer changes is_current().
  virtual void on_store_regained(TimePoint now) = 0;
  /// The whole store was listed, and everything that it contains has been passed on.
  virtual void on_store_listed(TimePoint now) = 0;
};

/// Follows the platform's store and passes its contents to StoreViewEvents.
///
/// Lists the whole store once, then watches it for changes from that revision on. If the store no longer keeps the
/// changes since the last known revision, or was restored from an older copy, the store is listed again.
class StoreView final : public CoordinationEvents {
 public:
  /// Bounds of the time that one watch call waits for a change. Every call is paid for, also one that ends without a
  /// change.
  static constexpr Duration kMinWatchWait = std::chrono::milliseconds(1200);
  static constexpr Duration kMaxWatchWait = std::chrono::seconds(8);
  /// Time from the end of a watch call's wait on a connection that stopped answering until the changes are in force:
  /// the call's timeout, and a call on a new connection.
  static constexpr Duration kSilentWatchRecovery = std::chrono::milliseconds(1800);
  /// Waits are shortened at random by up to this fraction, so that not all hosts call at the same time.
  static constexpr double kWatchWaitJitter = 0.2;
  /// Time after the end of a watch call's wait above which the known contents no longer count as current.
  static constexpr Duration kAnswerMargin = std::chrono::seconds(1);
  /// Time that owners of entries get to register again after the store became reachable or was restored, as their
  /// entries may have expired or been lost in the meantime.
  static constexpr Duration kReregistrationTime = std::chrono::milliseconds(2500);
  /// Delay before the next watch call after a change, multiplied by the number of hosts. 5 ms per host limits the watch
  /// calls of all hosts together to 200 a second, up to the number of hosts at which the maximum applies.
  static constexpr Duration kWatchDelayPerHost = std::chrono::milliseconds(5);
  static constexpr Duration kMaxWatchDelay = std::chrono::milliseconds(500);
  /// Time after a restoration in which entries of members that a listing shows may be older than what is known of them.
  /// The store is then listed once more, and that listing is taken as it is. Owners have written their entries again by
  /// then, and those of members that left before the restoration have expired.
  static constexpr Duration kCopySettlingTime = std::chrono::seconds(5);
  /// The listings at its end are spread at random over this time, so that not all hosts call at once.
  static constexpr Duration kSettledListingSpread = std::chrono::seconds(1);
  /// Bounds of the exponential backoff after a failed call.
  static constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);
  static constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(800);

  /// All references must outlive the object.
  StoreView(CoordinationPort& store, StoreViewEvents& events, Counters& counters, EventLogPort& log,
            std::uint64_t random_seed);

  /// Sets the number of hosts that watch the store. Each change ends the watch call of every host, so the more hosts
  /// there are, the longer each waits after a change, to receive several changes with one call.
  void set_fleet_size(std::size_t hosts) {
    m_watch_delay = std::min(kMaxWatchDelay, static_cast<std::int64_t>(hosts) * kWatchDelayPerHost);
  }

  /// Returns the wait with which changes are in force within `bound`, even if the connection has stopped answering.
  static Duration watch_wait_for(Duration bound) {
    return std::clamp(bound - kSilentWatchRecovery, kMinWatchWait, kMaxWatchWait);
  }

  /// Sets the longest time that a watch call waits. If it becomes shorter, the store is asked at once.
  void set_watch_wait(Duration wait, TimePoint now);

  /// Lists the store again, which was restored from an older copy: the known revision belongs to a history that is
  /// gone, and a watch from it would skip the changes that got lower revisions since. Calls that are running are
  /// ignored.
  void on_store_restored(TimePoint now);

  /// Starts the next call to the store if none is running and the delay has passed.
  void on_tick(TimePoint now);
  /// Returns when on_tick() is due next; TimePoint::max() while a call is running.
  TimePoint next_wakeup() const;

  /// Returns true if the whole store has been listed at least once.
  bool is_complete() const { return m_listed_once; }
  /// Returns true if the whole store has been listed and no change can be missing that is older than the wait of a
  /// watch call and kAnswerMargin.
  bool is_current(TimePoint now) const;

  /// Returns false while the contents may lack what was lost with a restoration and has not been written again yet.
  bool is_settled(TimePoint now) const { return now >= m_settled_at; }

  /// Returns the revision up to which the changes of the store are known; zero while the store has to be listed.
  StoreRevision revision() const { return m_revision.value_or(StoreRevision(0)); }

  /// Returns when the store last answered.
  TimePoint answered_at() const { return m_answered_at; }

  void on_coordination_result(StoreCallId call, tl::expected<CoordinationResult, CoordinationError> outcome,
                              TimePoint now) override;

 private:
  void start_call();
  /// Ignores the running call and lists the store with the next one.
  void restart_listing(TimePoint now);
  /// Returns true if a listing shows a restored copy, whose entries of members may be outdated.
  bool lists_unsettled_copy() const { return m_settled_listing_at.has_value(); }
  void apply_listed(const StoreChange& item, TimePoint now);
  void list_page(const std::string& after);
  void on_page(const StorePage& page, TimePoint now);
  void finish_list(TimePoint now);
  void on_error(const CoordinationError& error, TimePoint now);
  void on_success(TimePoint now);
  void apply(const StoreChange& change, TimePoint now);
  bool was_unreachable(TimePoint now) const;

  CoordinationPort& m_store;
  StoreViewEvents& m_events;
  Counters& m_counters;
  EventLogPort& m_log;
  RandomSequence m_random;
  std::uint64_t m_next_call = 1;
  std::optional<StoreCallId> m_call;
  bool m_listed_once = false;
  /// Revision after which the next watch begins; empty while the store has to be listed.
  std::optional<StoreRevision> m_revision;
  /// State of a listing: the revision of its first page, and the members and records found so far.
  std::optional<StoreRevision> m_list_revision;
  std::set<MemberId> m_listed_members;
  std::set<std::string> m_listed_records;
  /// Members and records that the store is known to hold, used to find those that a new listing no longer contains.
  KnownMembers m_members;
  std::map<std::string, StoreRevision> m_records;
  Duration m_watch_delay{0};
  Duration m_watch_wait = kMinWatchWait;
  /// The next watch call returns without a wait.
  bool m_asks_at_once = false;
  std::uint32_t m_failures = 0;
  TimePoint m_next_attempt;
  TimePoint m_answered_at;
  std::optional<TimePoint> m_unreachable_since;
  TimePoint m_reachable_again_at;
  TimePoint m_settled_at;
  /// When the store is listed once more after a restoration.
  std::optional<TimePoint> m_settled_listing_at;
};

}  // namespace teaselrudder
