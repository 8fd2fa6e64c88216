#include "servers/scheduling/retry_budget.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace teaselrudder {

namespace {

class RetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(never_exceeds_the_budget);
  CPPUNIT_TEST(limits_and_spreads_the_delay);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against retries that amplify an overload, and against a budget that refuses retries although it has credit.
  void never_exceeds_the_budget() {
    const bool holds = rc::check([](const std::vector<bool>& operations) {
      RetryBudget budget;
      // Expected credit in tenths of a retry.
      int credit = 200;
      for (const bool request : operations) {
        for (int repeat = 0; repeat < 5; ++repeat) {
          if (request) {
            budget.on_request();
            credit = std::min(credit + 1, 200);
          } else {
            RC_ASSERT(budget.try_spend() == (credit >= 10));
            credit -= credit >= 10 ? 10 : 0;
          }
        }
      }
    });
    CPPUNIT_ASSERT(holds);
  }

  // Guards against retries in a busy loop, at the same time as each other, or long after the deadline.
  void limits_and_spreads_the_delay() {
    const bool holds = rc::check([](std::uint32_t attempt) {
      const double random = *rc::gen::inRange(0, 1000) / 1000.0;
      const Duration delay = retry_delay(attempt, random);
      RC_ASSERT(delay >= std::chrono::microseconds(2500));
      RC_ASSERT(delay <= std::chrono::milliseconds(200));
      RC_ASSERT(delay > retry_delay(attempt, random - 0.5) || random < 0.002);
    });
    CPPUNIT_ASSERT(holds);
    CPPUNIT_ASSERT(retry_delay(2, 0) == std::chrono::milliseconds(10));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);

}  // namespace

}  // namespace teaselrudder
