#include "main/rate_limited_event_log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace teaselrudder {

namespace {

class ManualClock final : public Clock {
 public:
  TimePoint now() const override { return time; }
  TimePoint time{std::chrono::hours(1)};
};

class RecordingLog final : public EventLogPort {
 public:
  void log_state_change(std::string_view event, const LogFields& /*fields*/) override { events.emplace_back(event); }
  std::vector<std::string> events;
};

class RateLimitedEventLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RateLimitedEventLogTest);
  CPPUNIT_TEST(flood_of_one_kind_is_limited_and_reported);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against logging that uses up the CPU while every request fails, and against lines that are dropped without a
  // report.
  void flood_of_one_kind_is_limited_and_reported() {
    ManualClock clock;
    RecordingLog target;
    Counters counters;
    RateLimitedEventLog log(target, clock, counters);
    for (int line = 0; line < 1000; ++line) {
      log.log_state_change("retry", {});
    }
    log.log_state_change("primary_learned", {});
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(RateLimitedEventLog::kBurst) + 1, target.events.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{940}, counters.value("log_lines_dropped"));
    clock.time += std::chrono::seconds(1);
    log.log_state_change("retry", {});
    CPPUNIT_ASSERT_EQUAL(std::string("log_lines_dropped"), target.events[target.events.size() - 2]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitedEventLogTest);

}  // namespace

}  // namespace teaselrudder
