#include "servers/catalogue/store_view.h"

#include <cppunit/extensions/HelperMacros.h>

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

class NoStoreViewEvents final : public StoreViewEvents {
 public:
  void on_routing(const RoutingTable&, TimePoint) override {}
  void on_member(const MemberEntry&, TimePoint) override {}
  void on_member_missing(const MemberId&, bool, TimePoint) override {}
  void on_record(const RecordChanged&, TimePoint) override {}
  void on_store_listed(TimePoint) override {}
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

 private:
  static TimePoint at(Duration time) { return TimePoint(kSecond) + time; }

  // Answers the running watch call without changes.
  void answer(TimePoint now) {
    m_view.on_coordination_result(m_store.watches.back().call, StoreChanges{{}, StoreRevision(7)}, now);
  }

  RecordingStore m_store;
  NoStoreViewEvents m_events;
  Counters m_counters;
  NoEventLog m_log;
  StoreView m_view{m_store, m_events, m_counters, m_log, 1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreViewTest);

}  // namespace

}  // namespace teaselrudder
