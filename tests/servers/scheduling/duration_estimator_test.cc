#include "servers/scheduling/duration_estimator.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <vector>

namespace teaselrudder {

namespace {

using std::chrono::milliseconds;

/// Returns the lower median of the last `window` values by sorting them.
Duration median_of_last(std::vector<Duration> values, std::size_t window) {
  values.erase(values.begin(), values.end() - std::min(std::ssize(values), static_cast<std::ptrdiff_t>(window)));
  std::sort(values.begin(), values.end());
  return values[(values.size() - 1) / 2];
}

class DurationEstimatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DurationEstimatorTest);
  CPPUNIT_TEST(gives_one_shape_to_statements_that_differ_in_literals);
  CPPUNIT_TEST(gives_different_shapes_to_different_statements);
  CPPUNIT_TEST(limits_the_length_of_shapes_of_any_text);
  CPPUNIT_TEST(estimates_are_medians_of_recent_executions);
  CPPUNIT_TEST(evicts_the_least_recently_used_shape);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a separate shape for each literal, with which no shape would have enough executions for an estimate.
  void gives_one_shape_to_statements_that_differ_in_literals() {
    const std::string shape = statement_shape("SELECT a FROM t WHERE id = 5 AND name = 'x' AND k IN (1, 2)");
    CPPUNIT_ASSERT_EQUAL(std::string("select a from t where id=?and name=?and k in(?)"), shape);
    for (const char* sql : {"select a from t\n where id=77 and name = 'it''s' and k in (3,4,5,6)",
                            "select a /* why /* nested */ */ from t where id = 1.5e+3 and name = E'\\'' and k in (9)",
                            "select a -- note\nfrom t where id=0x1F and name=$tag$it's$tag$ and k in ('a','b')"}) {
      CPPUNIT_ASSERT_EQUAL(shape, statement_shape(sql));
    }
  }

  // Guards against an estimate that unrelated statements share.
  void gives_different_shapes_to_different_statements() {
    CPPUNIT_ASSERT(statement_shape("select * from t1") != statement_shape("select * from t2"));
    CPPUNIT_ASSERT(statement_shape("select $1") != statement_shape("select $2"));
    CPPUNIT_ASSERT(statement_shape("select \"A\"") != statement_shape("select \"a\""));
    CPPUNIT_ASSERT(statement_shape("select ab") != statement_shape("select a b"));
  }

  // Guards against reading past the end of truncated or malformed statements, and against shapes of unlimited length.
  void limits_the_length_of_shapes_of_any_text() {
    const bool holds = rc::check([] {
      const std::string sql = *rc::gen::container<std::string>(rc::gen::elementOf(std::string("aE1 .'\"$/*-\\,(\n+")));
      RC_ASSERT(statement_shape(sql).size() <= kMaxShapeLength);
    });
    CPPUNIT_ASSERT(holds);
    CPPUNIT_ASSERT_EQUAL(kMaxShapeLength, statement_shape(std::string(5000, 'x')).size());
  }

  // Guards against estimates that a single outlier changes or that do not follow a lasting change.
  void estimates_are_medians_of_recent_executions() {
    const bool holds = rc::check([] {
      DurationEstimator estimator;
      std::vector<Duration> all;
      std::map<std::string, std::vector<Duration>> by_shape;
      const int length = *rc::gen::inRange(1, 1200);
      for (int index = 0; index < length; ++index) {
        const std::string shape(1, *rc::gen::inRange('a', 'f'));
        const Duration actual = milliseconds(*rc::gen::inRange(0, 40));
        estimator.record(ServiceName("s"), shape, actual);
        all.push_back(actual);
        by_shape[shape].push_back(actual);
      }
      RC_ASSERT(estimator.median() == median_of_last(all, 512));
      RC_ASSERT(estimator.expected(ServiceName("other"), "a") == estimator.median());
      for (const auto& [shape, durations] : by_shape) {
        const Duration expected = median_of_last(durations, 7);
        RC_ASSERT(estimator.expected(ServiceName("s"), shape) == expected);
        RC_ASSERT(estimator.is_long(ServiceName("s"), shape) == (expected > 5 * estimator.median()));
      }
    });
    CPPUNIT_ASSERT(holds);
  }

  // Guards against a table of unlimited size, and against evicting shapes that are in use.
  void evicts_the_least_recently_used_shape() {
    DurationEstimator estimator(2);
    const ServiceName service("s");
    estimator.record(service, "a", milliseconds(1));
    estimator.record(service, "b", milliseconds(100));
    estimator.record(service, "a", milliseconds(1));
    estimator.record(service, "c", milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, estimator.shapes());
    CPPUNIT_ASSERT(estimator.expected(service, "a") == milliseconds(1));
    CPPUNIT_ASSERT(estimator.expected(service, "c") == milliseconds(100));
    CPPUNIT_ASSERT(estimator.expected(service, "b") == estimator.median());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DurationEstimatorTest);

}  // namespace

}  // namespace teaselrudder
