#include "servers/catalogue/leased_record.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teaselrudder {

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
const std::string kKey = "duties/failover";
const std::string kValue = "host0 1";

/// A store that records the calls and leaves the answers to the test.
class RecordingStore final : public CoordinationPort {
 public:
  void set_era_listener(StoreEraListener&) override {}
  void list(StoreCallId, const std::string&, CoordinationEvents&) override {}
  void watch(StoreCallId, StoreRevision, Duration, CoordinationEvents&) override {}
  void grant_lease(StoreCallId call, Duration, CoordinationEvents&) override { grants.push_back(call); }
  void renew_lease(StoreCallId call, LeaseId, CoordinationEvents&) override { renewals.push_back(call); }
  void end_lease(StoreCallId, LeaseId lease, CoordinationEvents&) override { ended.insert(lease); }
  void write(StoreCallId call, const std::string&, StoreRevision, const std::string&, LeaseId,
             CoordinationEvents&) override {
    writes.push_back(call);
  }

  std::vector<StoreCallId> grants;
  std::vector<StoreCallId> renewals;
  std::vector<StoreCallId> writes;
  std::set<LeaseId> ended;
};

class NoEventLog final : public EventLogPort {
 public:
  void log_state_change(std::string_view, const LogFields&) override {}
};

class LeasedRecordTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeasedRecordTest);
  CPPUNIT_TEST(late_write_of_a_lost_era_is_not_taken_for_the_record);
  CPPUNIT_TEST(record_that_moved_to_another_lease_is_given_up);
  CPPUNIT_TEST(lease_of_a_lost_era_is_never_ended);
  CPPUNIT_TEST(unconfirmed_lease_is_not_ended_by_a_stop);
  CPPUNIT_TEST(record_of_the_copy_is_held_on_under_its_lease_only);
  CPPUNIT_TEST(changed_value_is_written_until_the_store_has_it);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a holder whose record lies under the lease of another host and goes with it.
  void late_write_of_a_lost_era_is_not_taken_for_the_record() {
    grant(LeaseId(7));
    m_record->on_coordination_result(
        m_store->writes.back(), tl::unexpected(CoordinationError{CoordinationErrorKind::kTimeout, "no answer"}), at(1));
    m_record->on_record({kKey, kValue, StoreRevision(20), LeaseId(3)}, at(1));
    CPPUNIT_ASSERT(!m_record->held_version().has_value());
    m_record->on_record({kKey, kValue, StoreRevision(21), LeaseId(7)}, at(1));
    CPPUNIT_ASSERT(m_record->held_version().has_value());
  }

  // Guards against the same while the record is held.
  void record_that_moved_to_another_lease_is_given_up() {
    acquire(LeaseId(7));
    m_record->on_record({kKey, kValue, StoreRevision(31), LeaseId(3)}, at(1));
    CPPUNIT_ASSERT(!m_record->held_version().has_value());
  }

  // Guards against a host that ends the lease of another one, which got the same number after the restoration.
  void lease_of_a_lost_era_is_never_ended() {
    acquire(LeaseId(7));
    m_record->on_store_restored(StoreEra(2), at(1));
    m_record->on_store_listed(at(1));
    CPPUNIT_ASSERT(!m_record->held_version().has_value());
    CPPUNIT_ASSERT(m_store->ended.empty());
    CPPUNIT_ASSERT(m_store->renewals.empty());
  }

  // Guards against the same by a host that stops before it has listed the restored store.
  void unconfirmed_lease_is_not_ended_by_a_stop() {
    acquire(LeaseId(7));
    m_record->on_store_restored(StoreEra(2), at(1));
    m_record->release();
    CPPUNIT_ASSERT(!m_record->held_version().has_value());
    CPPUNIT_ASSERT(m_store->ended.empty());
  }

  // Guards against trust in a lease that is not in the copy, and against a needless new record if it is.
  void record_of_the_copy_is_held_on_under_its_lease_only() {
    for (const LeaseId lease : {LeaseId(7), LeaseId(6)}) {
      setUp();
      acquire(LeaseId(7));
      m_record->on_store_restored(StoreEra(2), at(1));
      CPPUNIT_ASSERT((m_record->held_version() == RecordVersion{StoreEra(1), StoreRevision(30)}));
      m_record->on_record({kKey, kValue, StoreRevision(12), lease}, at(1));
      m_record->on_store_listed(at(1));
      const bool is_held = m_record->held_version() == RecordVersion{StoreEra(2), StoreRevision(12)};
      CPPUNIT_ASSERT_EQUAL(lease == LeaseId(7), is_held);
      CPPUNIT_ASSERT_EQUAL(is_held, m_record->held_version().has_value());
    }
  }

  // Guards against a host that announces its stop once, in a call that the store loses, and against one that gives its
  // record up because the store contains its new value.
  void changed_value_is_written_until_the_store_has_it() {
    const std::string changed = kValue + "!";
    acquire(LeaseId(7));
    const std::size_t before = m_store->writes.size();
    m_record->set_value(changed);
    m_record->on_tick(true, at(0));
    CPPUNIT_ASSERT_EQUAL(before + 1, m_store->writes.size());
    m_record->on_coordination_result(
        m_store->writes.back(), tl::unexpected(CoordinationError{CoordinationErrorKind::kTimeout, "no answer"}), at(1));
    // The first tick renews the lease.
    m_record->on_tick(true, at(2));
    m_record->on_tick(true, at(2));
    CPPUNIT_ASSERT_EQUAL(before + 2, m_store->writes.size());
    m_record->on_record({kKey, changed, StoreRevision(31), LeaseId(7)}, at(2));
    CPPUNIT_ASSERT((m_record->held_version() == RecordVersion{StoreEra(1), StoreRevision(31)}));
    m_record->on_coordination_result(
        m_store->writes.back(), tl::unexpected(CoordinationError{CoordinationErrorKind::kConflict, "changed"}), at(2));
    m_record->on_tick(true, at(4));
    m_record->on_tick(true, at(4));
    CPPUNIT_ASSERT_EQUAL(before + 2, m_store->writes.size());
    CPPUNIT_ASSERT(m_record->held_version().has_value());
  }

  void setUp() override {
    m_store.emplace();
    m_record.emplace(kKey, kValue, RecordPolicy::kOnlyIfAbsent, LeasedRecord::Timings{2 * kSecond, kSecond}, *m_store,
                     m_counters, m_log, 1);
    m_record->set_store_era(StoreEra(1));
    m_record->on_tick(true, at(0));
  }

 private:
  static TimePoint at(int seconds) { return TimePoint(kSecond) + seconds * kSecond; }

  // Answers the request for a lease.
  void grant(LeaseId lease) { m_record->on_coordination_result(m_store->grants.back(), lease, at(0)); }

  // Lets the host hold the record at revision 30.
  void acquire(LeaseId lease) {
    grant(lease);
    m_record->on_coordination_result(m_store->writes.back(), StoreRevision(30), at(0));
    CPPUNIT_ASSERT(m_record->held_version().has_value());
  }

  std::optional<RecordingStore> m_store;
  std::optional<LeasedRecord> m_record;
  Counters m_counters;
  NoEventLog m_log;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeasedRecordTest);

}  // namespace

}  // namespace teaselrudder
