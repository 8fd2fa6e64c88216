#include "core/term_history.h"

#include <cppunit/extensions/HelperMacros.h>

namespace teaselrudder {

namespace {

TermHistory parse(std::string_view text) { return TermHistory::parse(text).value(); }

LogPoint point(std::uint64_t term, std::uint64_t position) { return {Term(term), LogPosition(position)}; }

class TermHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TermHistoryTest);
  CPPUNIT_TEST(rejects_malformed_histories);
  CPPUNIT_TEST(contains_points_of_shared_terms_only);
  CPPUNIT_TEST(rejects_points_of_unknown_terms);
  CPPUNIT_TEST(finds_common_end_after_divergence);
  CPPUNIT_TEST(truncation_removes_terms_without_records);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a crash or a wrong history caused by a truncated or altered report.
  void rejects_malformed_histories() {
    CPPUNIT_ASSERT(TermHistory::parse("1").error() == TermHistoryError::kMissingSeparator);
    CPPUNIT_ASSERT(TermHistory::parse("1:x").error() == TermHistoryError::kBadNumber);
    CPPUNIT_ASSERT(TermHistory::parse("2:0,1:5").error() == TermHistoryError::kNotAscending);
    CPPUNIT_ASSERT_EQUAL(std::string("1:0,3:40"), parse("1:0,3:40").to_string());
  }

  // Guards against serving a session from a member that truncated the session's write.
  void contains_points_of_shared_terms_only() {
    const TermHistory history = parse("1:0,3:40");
    CPPUNIT_ASSERT(history.contains(point(1, 40), point(3, 60)));
    CPPUNIT_ASSERT(!history.contains(point(1, 41), point(3, 60)));
    CPPUNIT_ASSERT(history.contains(point(3, 60), point(3, 60)));
    CPPUNIT_ASSERT(!history.contains(point(3, 61), point(3, 60)));
  }

  // Guards against mistaking a record of another term at the same position for the session's write.
  void rejects_points_of_unknown_terms() { CPPUNIT_ASSERT(!parse("1:0,3:60").contains(point(2, 50), point(3, 90))); }

  // Guards against a former primary that rejoins the group and keeps records that were never confirmed.
  void finds_common_end_after_divergence() {
    const TermHistory old_primary = parse("1:0,2:30");
    const TermHistory new_primary = parse("1:0,3:50");
    CPPUNIT_ASSERT(old_primary.common_prefix_end(new_primary, LogPosition(80), LogPosition(90)) == LogPosition(30));
    CPPUNIT_ASSERT(parse("1:0").common_prefix_end(new_primary, LogPosition(80), LogPosition(90)) == LogPosition(50));
  }

  // Guards against a former primary that, after truncating its log, reports a term of which it has no record.
  void truncation_removes_terms_without_records() {
    TermHistory history = parse("1:0,2:30");
    history.truncate(LogPosition(30));
    CPPUNIT_ASSERT_EQUAL(std::string("1:0"), history.to_string());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TermHistoryTest);

}  // namespace

}  // namespace teaselrudder
