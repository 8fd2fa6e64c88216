#include "servers/scheduling/retry_budget.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace teaselrudder {

namespace {

class RetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(never_exceeds_its_share);
  CPPUNIT_TEST(bounds_the_delay);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against retries that multiply an overload, and against a budget that refuses what it has saved.
  void never_exceeds_its_share() {
    const bool holds = rc::check([](const std::vector<bool>& operations) {
      RetryBudget budget;
      // Tenths of a retry, counted from scratch.
      int saved = 200;
      for (const bool request : operations) {
        for (int repeat = 0; repeat < 5; ++repeat) {
          if (request) {
            budget.on_request();
            saved = std::min(saved + 1, 200);
          } else {
            RC_ASSERT(budget.try_spend() == (saved >= 10));
            saved -= saved >= 10 ? 10 : 0;
          }
        }
      }
    });
    CPPUNIT_ASSERT(holds);
  }

  // Guards against retries in a busy loop, in step with each other, or long after the deadline.
  void bounds_the_delay() {
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
