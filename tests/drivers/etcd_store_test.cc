#include "drivers/store/etcd_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <vector>

#include "drivers/store/etcd_json.h"
#include "tests/stand_ins/store_stand_in.h"

namespace teaselrudder {

namespace {

using testing::StoreStandIn;

constexpr std::uint64_t kNeverRespondsMs = std::uint64_t{24} * 60 * 60 * 1000;
const std::string kKey = "/teaselrudder/configuration";
const WatchId kWatch(1);

class RecordingStoreEvents : public StoreEvents, public HostListEvents {
 public:
  void on_store_read(StoreCallId /*call*/, tl::expected<StoreValue, StoreError> outcome, TimePoint /*now*/) override {
    CPPUNIT_ASSERT(!inside_port_call);
    read = std::move(outcome);
  }
  void on_store_swapped(StoreCallId /*call*/, tl::expected<CompareAndSwapResult, StoreError> outcome,
                        TimePoint /*now*/) override {
    CPPUNIT_ASSERT(!inside_port_call);
    swapped = std::move(outcome);
  }
  void on_store_changed(WatchId /*watch*/, const StoreValue& value, TimePoint /*now*/) override {
    CPPUNIT_ASSERT(!inside_port_call);
    changes.push_back(value);
  }
  void on_watch_failed(WatchId /*watch*/, const StoreError& error, TimePoint /*now*/) override {
    CPPUNIT_ASSERT(!inside_port_call);
    watch_failures.push_back(error);
  }
  void on_host_list(tl::expected<std::vector<HostRecord>, StoreError> outcome, TimePoint /*now*/) override {
    CPPUNIT_ASSERT(!inside_port_call);
    hosts = std::move(outcome);
  }

  bool inside_port_call = false;
  std::optional<tl::expected<StoreValue, StoreError>> read;
  std::optional<tl::expected<CompareAndSwapResult, StoreError>> swapped;
  std::vector<StoreValue> changes;
  std::vector<StoreError> watch_failures;
  std::optional<tl::expected<std::vector<HostRecord>, StoreError>> hosts;
};

class EtcdStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EtcdStoreTest);
  CPPUNIT_TEST(reads_and_swaps);
  CPPUNIT_TEST(reports_an_unknown_outcome_if_the_response_is_lost);
  CPPUNIT_TEST(reports_a_store_that_is_down);
  CPPUNIT_TEST(uses_the_next_endpoint);
  CPPUNIT_TEST(reports_a_slow_store);
  CPPUNIT_TEST(reports_invalid_responses);
  CPPUNIT_TEST(watches_and_resumes);
  CPPUNIT_TEST(reports_an_unresponsive_watch);
  CPPUNIT_TEST(reports_a_compacted_watch);
  CPPUNIT_TEST(cancels_a_watch);
  CPPUNIT_TEST(stays_within_the_call_budget);
  CPPUNIT_TEST(reads_the_host_list);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    uv_loop_init(&m_loop);
    m_events = std::make_unique<RecordingStoreEvents>();
    m_counters = Counters();
    m_stand_in = std::make_unique<StoreStandIn>(&m_loop);
    m_settings = EtcdStoreSettings();
    m_settings.endpoints = {{"127.0.0.1", m_stand_in->port()}};
    m_settings.connect_timeout = std::chrono::hours(1);
    m_settings.call_timeout = std::chrono::hours(1);
    m_settings.watch_idle_timeout = std::chrono::hours(1);
    open_store();
  }

  void tearDown() override {
    m_store.reset();
    m_stand_in.reset();
    uv_run(&m_loop, UV_RUN_DEFAULT);
    CPPUNIT_ASSERT_EQUAL(0, uv_loop_close(&m_loop));
  }

  // Guards against a compare-and-swap that overwrites a change made after the value was read.
  void reads_and_swaps() {
    CPPUNIT_ASSERT(!read()->value.has_value());
    const auto first = swap(StoreRevision(0), "one");
    CPPUNIT_ASSERT(first->swapped);
    CPPUNIT_ASSERT(read()->value == "one");
    CPPUNIT_ASSERT(read()->modified == first->present.modified);

    const auto lost = swap(StoreRevision(0), "two");
    CPPUNIT_ASSERT(!lost->swapped);
    CPPUNIT_ASSERT(lost->present.value == "one");
    CPPUNIT_ASSERT(swap(lost->present.modified, "two")->swapped);
    CPPUNIT_ASSERT(m_stand_in->value(kKey) == "two");

    const std::string largest(1000000, '\xff');
    CPPUNIT_ASSERT(swap(read()->modified, largest)->swapped);
    CPPUNIT_ASSERT(read()->value == largest);
  }

  // Guards against a write that took effect although its response was lost, and that is sent a second time or reported
  // as without effect.
  void reports_an_unknown_outcome_if_the_response_is_lost() {
    m_settings.endpoints.push_back(m_settings.endpoints.front());
    open_store();
    m_stand_in->lose_answers(1);
    const auto outcome = swap(StoreRevision(0), "one");
    CPPUNIT_ASSERT(outcome.error().kind == StoreErrorKind::kUnavailable);
    CPPUNIT_ASSERT(outcome.error().may_have_taken_effect);
    CPPUNIT_ASSERT(m_stand_in->value(kKey) == "one");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_stand_in->requests());
  }

  // Guards against an outcome that is reported as unknown although no connection was established.
  void reports_a_store_that_is_down() {
    m_stand_in->set_down(true);
    const auto outcome = swap(StoreRevision(0), "one");
    CPPUNIT_ASSERT(outcome.error().kind == StoreErrorKind::kUnavailable);
    CPPUNIT_ASSERT(!outcome.error().may_have_taken_effect);
    m_stand_in->set_down(false);
    CPPUNIT_ASSERT(swap(StoreRevision(0), "one")->swapped);
  }

  // Guards against an outage of the whole store when one of its servers is down, and against calls that continue to try
  // that server first.
  void uses_the_next_endpoint() {
    StoreStandIn other(&m_loop);
    m_settings.endpoints.insert(m_settings.endpoints.begin(), Endpoint{"127.0.0.1", other.port()});
    open_store();
    other.set_down(true);
    CPPUNIT_ASSERT(swap(StoreRevision(0), "one")->swapped);
    other.set_down(false);
    CPPUNIT_ASSERT(read()->value == "one");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, other.requests());
  }

  // Guards against calls that wait for a slow store without a timeout.
  void reports_a_slow_store() {
    m_settings.call_timeout = std::chrono::milliseconds(50);
    open_store();
    m_stand_in->set_delay(kNeverRespondsMs);
    const auto outcome = swap(StoreRevision(0), "one");
    CPPUNIT_ASSERT(outcome.error().kind == StoreErrorKind::kTimeout);
    CPPUNIT_ASSERT(outcome.error().may_have_taken_effect);
    const auto slow_read = read();
    CPPUNIT_ASSERT(slow_read.error().kind == StoreErrorKind::kTimeout);
    CPPUNIT_ASSERT(!slow_read.error().may_have_taken_effect);
  }

  // Guards against an invalid response that is taken for a missing value or a failed comparison.
  void reports_invalid_responses() {
    m_stand_in->set_invalid_json(true);
    CPPUNIT_ASSERT(read().error().kind == StoreErrorKind::kBadResponse);
    const auto outcome = swap(StoreRevision(0), "one");
    CPPUNIT_ASSERT(outcome.error().kind == StoreErrorKind::kBadResponse);
    CPPUNIT_ASSERT(outcome.error().may_have_taken_effect);
    m_stand_in->set_invalid_json(false);
    m_stand_in->set_invalid_http(true);
    CPPUNIT_ASSERT(read().error().kind == StoreErrorKind::kBadResponse);
  }

  // Guards against changes that are lost while a watch is interrupted.
  void watches_and_resumes() {
    watch(StoreRevision(1));
    run_until([this] { return m_stand_in->watches() == 1; });
    m_stand_in->put("other", "x");
    m_stand_in->put(kKey, "one");
    run_until([this] { return m_events->changes.size() == 1; });
    CPPUNIT_ASSERT(m_events->changes.back().value == "one");

    m_stand_in->drop_watches();
    m_stand_in->put(kKey, "two");
    m_stand_in->remove(kKey);
    run_until([this] { return m_events->watch_failures.size() == 1; });
    CPPUNIT_ASSERT(m_events->watch_failures.back().kind == StoreErrorKind::kUnavailable);
    watch(StoreRevision(m_events->changes.back().modified.value() + 1));
    run_until([this] { return m_events->changes.size() == 3; });
    CPPUNIT_ASSERT(m_events->changes[1].value == "two");
    CPPUNIT_ASSERT(!m_events->changes[2].value.has_value());
  }

  // Guards against a watch that the store has stopped serving without closing it, and that is not reported as failed.
  void reports_an_unresponsive_watch() {
    m_settings.watch_idle_timeout = std::chrono::milliseconds(50);
    open_store();
    watch(StoreRevision(1));
    run_until([this] { return m_stand_in->watches() == 1; });
    m_stand_in->set_watches_silent(true);
    m_stand_in->put(kKey, "one");
    run_until([this] { return m_events->watch_failures.size() == 1; });
    CPPUNIT_ASSERT(m_events->watch_failures.back().kind == StoreErrorKind::kTimeout);
    m_stand_in->set_watches_silent(false);
    watch(StoreRevision(1));
    run_until([this] { return m_events->changes.size() == 1; });
  }

  // Guards against a watch whose start revision was compacted and that seems to wait for changes.
  void reports_a_compacted_watch() {
    m_stand_in->put(kKey, "one");
    m_stand_in->put(kKey, "two");
    m_stand_in->compact();
    watch(StoreRevision(2));
    run_until([this] { return m_events->watch_failures.size() == 1; });
  }

  // Guards against events of a watch that its owner has cancelled.
  void cancels_a_watch() {
    watch(StoreRevision(1));
    run_until([this] { return m_stand_in->watches() == 1; });
    m_stand_in->put(kKey, "one");
    m_store->cancel_watch(kWatch);
    run_until([this] { return m_stand_in->watches() == 0; });
    CPPUNIT_ASSERT(m_events->changes.empty() && m_events->watch_failures.empty());
  }

  // Guards against a host that uses up the capacity that the store has for all hosts.
  void stays_within_the_call_budget() {
    m_settings.call_burst = 2;
    m_settings.call_rate = 0;
    open_store();
    watch(StoreRevision(1));
    CPPUNIT_ASSERT(read().has_value());
    const auto refused = swap(StoreRevision(0), "one");
    CPPUNIT_ASSERT(refused.error().kind == StoreErrorKind::kBudgetExceeded);
    CPPUNIT_ASSERT(!refused.error().may_have_taken_effect);
    CPPUNIT_ASSERT(m_stand_in->requests() <= 2);
    CPPUNIT_ASSERT(!m_stand_in->value(kKey).has_value());
  }

  // Guards against an invalid or missing host list that is taken for a list without hosts.
  void reads_the_host_list() {
    const std::vector<HostRecord> hosts = {
        {HostId("a"), FailureDomainId("d"), {"10.0.0.1", 7000}, Incarnation(3), HostState::kLeaving}};
    CPPUNIT_ASSERT(host_list().error().kind == StoreErrorKind::kBadResponse);
    m_stand_in->put("/teaselrudder/hosts", encode_host_list(hosts));
    CPPUNIT_ASSERT(host_list() == hosts);
    m_stand_in->put("/teaselrudder/hosts", "[{]");
    CPPUNIT_ASSERT(host_list().error().kind == StoreErrorKind::kBadResponse);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_counters.value("host_list_unparsable"));
  }

 private:
  void open_store() {
    m_store = std::make_unique<EtcdStore>(&m_loop, m_clock, m_settings, m_counters);
    m_store->set_events(*m_events, *m_events);
  }

  template <typename Condition>
  void run_until(Condition condition) {
    while (!condition()) {
      CPPUNIT_ASSERT_MESSAGE("the loop has no active handle, so the condition cannot become true",
                             uv_run(&m_loop, UV_RUN_ONCE) != 0 || condition());
    }
  }

  template <typename Call, typename Result>
  Result run_call(Call call, std::optional<Result>& result) {
    result.reset();
    m_events->inside_port_call = true;
    call();
    m_events->inside_port_call = false;
    run_until([&result] { return result.has_value(); });
    return *result;
  }

  tl::expected<StoreValue, StoreError> read() {
    return run_call([this] { m_store->get(StoreCallId(1), kKey); }, m_events->read);
  }
  tl::expected<CompareAndSwapResult, StoreError> swap(StoreRevision expected, const std::string& value) {
    return run_call([&] { m_store->compare_and_swap(StoreCallId(2), kKey, expected, value); }, m_events->swapped);
  }
  tl::expected<std::vector<HostRecord>, StoreError> host_list() {
    return run_call([this] { m_store->fetch_host_list(); }, m_events->hosts);
  }
  void watch(StoreRevision from) {
    m_events->inside_port_call = true;
    m_store->watch(kWatch, kKey, from);
    m_events->inside_port_call = false;
  }

  uv_loop_t m_loop{};
  SteadyClock m_clock;
  Counters m_counters;
  EtcdStoreSettings m_settings;
  std::unique_ptr<RecordingStoreEvents> m_events;
  std::unique_ptr<StoreStandIn> m_stand_in;
  std::unique_ptr<EtcdStore> m_store;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EtcdStoreTest);

}  // namespace

}  // namespace teaselrudder
