#include "servers/catalogue/store_view.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <utility>
#include <vector>

namespace teaselrudder {

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

/// A store that records the calls and leaves the answers to the test.
class RecordingStore final : public CoordinationPort {
 public:
  struct Watch {
    StoreCallId call;
    Duration wait;
  };

  void set_era_listener(StoreEraListener&) override {}
  void list(StoreCallId call, const std::string& /*after*/, CoordinationEvents& /*receiver*/) override {
    lists.push_back(call);
  }
  void watch(StoreCallId call, StoreRevision /*revision*/, Duration wait, CoordinationEvents& /*receiver*/) override {
    watches.push_back({call, wait});
  }
  void grant_lease(StoreCallId, Duration, CoordinationEvents&) override {}
  void renew_lease(StoreCallId, LeaseId, CoordinationEvents&) override {}
  void end_lease(StoreCallId, LeaseId, CoordinationEvents&) override {}
  void write(StoreCallId, const std::string&, StoreRevision, const std::string&, LeaseId,
             CoordinationEvents&) override {}

  std::vector<StoreCallId> lists;
  std::vector<Watch> watches;
};

class RecordingStoreViewEvents final : public StoreViewEvents {
 public:
  void on_routing(const RoutingTable&, TimePoint) override {}
  void on_member(const MemberEntry& entry, TimePoint) override { members.insert_or_assign(entry.member, entry); }
  void on_member_missing(const MemberId& member, bool, TimePoint) override { members.erase(member); }
  void on_record(const RecordChanged&, TimePoint) override {}
  void on_store_regained(TimePoint) override {}
  void on_store_listed(TimePoint) override {}

  std::map<MemberId, MemberEntry> members;
};

class NoEventLog final : public EventLogPort {
 public:
  void log_state_change(std::string_view, const LogFields&) override {}
};

class StoreViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreViewTest);
  CPPUNIT_TEST(wait_leaves_time_to_replace_a_silent_connection);
  CPPUNIT_TEST(view_is_current_during_a_long_watch_only);
  CPPUNIT_TEST(shorter_wait_asks_the_store_at_once);
  CPPUNIT_TEST(member_that_left_before_a_restoration_is_not_used_again);
  CPPUNIT_TEST(earlier_life_of_a_member_in_a_restored_copy_is_ignored);
  CPPUNIT_TEST(restored_copy_counts_as_it_is_once_owners_had_time_to_write);
  CPPUNIT_TEST(answer_from_before_a_restoration_is_ignored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_view.on_tick(at(0 * kSecond));
    m_view.on_coordination_result(m_store.lists.at(0), StorePage{{}, std::nullopt, StoreRevision(7)}, at(0 * kSecond));
  }

  // Guards against a configuration that comes into force too late because the connection of a watch call has stopped
  // answering, and against calls that end without a change more often than necessary.
  void wait_leaves_time_to_replace_a_silent_connection() {
    CPPUNIT_ASSERT(StoreView::watch_wait_for(3 * kSecond) == StoreView::kMinWatchWait);
    CPPUNIT_ASSERT(StoreView::watch_wait_for(kSecond) == StoreView::kMinWatchWait);
    CPPUNIT_ASSERT(StoreView::watch_wait_for(6 * kSecond) == std::chrono::milliseconds(4200));
    CPPUNIT_ASSERT(StoreView::watch_wait_for(60 * kSecond) == StoreView::kMaxWatchWait);
    m_view.set_watch_wait(4 * kSecond, at(kSecond));
    for (int call = 0; call < 20; ++call) {
      answer(at(kSecond));
      const Duration wait = m_store.watches.back().wait;
      CPPUNIT_ASSERT(wait <= 4 * kSecond && wait >= 3 * kSecond);
    }
  }

  // Guards against a host that takes outdated contents for current, and one that takes the store to be away while it
  // waits for a change.
  void view_is_current_during_a_long_watch_only() {
    m_view.set_watch_wait(4 * kSecond, at(0 * kSecond));
    answer(at(kSecond));
    CPPUNIT_ASSERT(m_view.is_current(at(5 * kSecond)));
    CPPUNIT_ASSERT(!m_view.is_current(at(6 * kSecond)));
  }

  // Guards against a new holder of the failover duty that acts on a list of members from before its last watch call.
  void shorter_wait_asks_the_store_at_once() {
    m_view.set_watch_wait(4 * kSecond, at(0 * kSecond));
    answer(at(kSecond));
    const StoreCallId outdated = m_store.watches.back().call;
    m_view.set_watch_wait(StoreView::kMinWatchWait, at(4 * kSecond));
    CPPUNIT_ASSERT(!m_view.is_current(at(4 * kSecond)));
    CPPUNIT_ASSERT(m_view.next_wakeup() <= at(4 * kSecond));
    m_view.on_tick(at(4 * kSecond));
    CPPUNIT_ASSERT(m_store.watches.back().wait <= std::chrono::milliseconds(1));
    m_view.on_coordination_result(outdated, StoreChanges{{}, StoreRevision(7)}, at(4 * kSecond));
    CPPUNIT_ASSERT(!m_view.is_current(at(4 * kSecond)));
    answer(at(4 * kSecond));
    CPPUNIT_ASSERT(m_view.is_current(at(4 * kSecond)));
    CPPUNIT_ASSERT(m_store.watches.back().wait == StoreView::kMinWatchWait);
  }

  // Guards against a member that has left and is in use again, because the copy still contains its entry.
  void member_that_left_before_a_restoration_is_not_used_again() {
    change({MemberUpdated{entry(1000)}});
    change({MemberRemoved{entry(1000).member}});
    restore({MemberUpdated{entry(1000)}}, 4 * kSecond);
    CPPUNIT_ASSERT(m_events.members.empty());
    change({MemberUpdated{entry(1000)}});
    CPPUNIT_ASSERT_MESSAGE("its owner has written it since", m_events.members.size() == 1);
  }

  // Guards against closed connections and lost knowledge of a member that has long started anew.
  void earlier_life_of_a_member_in_a_restored_copy_is_ignored() {
    change({MemberUpdated{entry(2000)}});
    restore({MemberUpdated{entry(1000)}}, 4 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2000), m_events.members.begin()->second.started_at_ms);
    restore({MemberUpdated{entry(3000)}}, 5 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(3000), m_events.members.begin()->second.started_at_ms);
  }

  // Guards against a wrong belief about a member that lasts for good, if its clock went back at its start.
  void restored_copy_counts_as_it_is_once_owners_had_time_to_write() {
    change({MemberUpdated{entry(2000)}});
    restore({MemberUpdated{entry(1000)}}, 4 * kSecond);
    const Duration settled = 4 * kSecond + StoreView::kCopySettlingTime + StoreView::kSettledListingSpread;
    CPPUNIT_ASSERT(m_view.next_wakeup() <= at(settled));
    list({MemberUpdated{entry(1000)}}, settled);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1000), m_events.members.begin()->second.started_at_ms);
  }

  // Guards against contents of the lost history that arrive after the store was restored.
  void answer_from_before_a_restoration_is_ignored() {
    const StoreCallId outdated = m_store.watches.back().call;
    m_view.on_store_restored(at(4 * kSecond));
    m_view.on_coordination_result(outdated, StoreChanges{{MemberUpdated{entry(1000)}}, StoreRevision(9)},
                                  at(4 * kSecond));
    CPPUNIT_ASSERT(m_events.members.empty());
    CPPUNIT_ASSERT(!m_view.is_settled(at(4 * kSecond)));
  }

 private:
  static MemberEntry entry(std::int64_t started_at_ms) {
    MemberEntry entry;
    entry.member = MemberId("member");
    entry.started_at_ms = started_at_ms;
    return entry;
  }

  // Answers the running watch call with `changes`.
  void change(std::vector<StoreChange> changes) {
    m_view.on_coordination_result(m_store.watches.back().call, StoreChanges{std::move(changes), StoreRevision(7)},
                                  at(kSecond));
    m_view.on_tick(at(kSecond));
  }

  // Restores the store and lists `items`.
  void restore(std::vector<StoreChange> items, Duration time) {
    m_view.on_store_restored(at(time));
    list(std::move(items), time);
  }

  // Answers the listing that is due at `time` with `items`.
  void list(std::vector<StoreChange> items, Duration time) {
    const std::size_t lists = m_store.lists.size();
    m_view.on_tick(at(time));
    CPPUNIT_ASSERT_EQUAL(lists + 1, m_store.lists.size());
    m_view.on_coordination_result(m_store.lists.back(), StorePage{std::move(items), std::nullopt, StoreRevision(5)},
                                  at(time));
  }

  static TimePoint at(Duration time) { return TimePoint(kSecond) + time; }

  // Answers the running watch call without changes.
  void answer(TimePoint now) {
    m_view.on_coordination_result(m_store.watches.back().call, StoreChanges{{}, StoreRevision(7)}, now);
  }

  RecordingStore m_store;
  RecordingStoreViewEvents m_events;
  Counters m_counters;
  NoEventLog m_log;
  StoreView m_view{m_store, m_events, m_counters, m_log, 1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreViewTest);

}  // namespace

}  // namespace teaselrudder
