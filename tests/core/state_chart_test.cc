#include "core/chart/state_chart.h"

#include <cppunit/extensions/HelperMacros.h>

namespace teaselrudder {

namespace {

const std::vector<std::string> kStates = {"open", "closed"};
const std::vector<std::string> kEvents = {"close", "touch"};

tl::expected<StateChart, std::string> load(const std::string& body) {
  return StateChart::load("door", "<scxml initial=\"open\">" + body + "</scxml>", kStates, kEvents);
}

const std::string kOpen =
    "<state id=\"open\"><transition event=\"close\" target=\"closed\"/><transition event=\"touch\"/></state>";
const std::string kClosed = "<final id=\"closed\"/>";

class StateChartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StateChartTest);
  CPPUNIT_TEST(follows_transitions_and_ignores_events_without_target);
  CPPUNIT_TEST(rejects_charts_that_do_not_match_the_code);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an ignored event that changes the state.
  void follows_transitions_and_ignores_events_without_target() {
    const StateChart chart = load(kOpen + kClosed).value();
    CPPUNIT_ASSERT(chart.next(chart.initial(), ChartEvent(1)) == chart.initial());
    CPPUNIT_ASSERT(chart.is_final(chart.next(chart.initial(), ChartEvent(0))));
  }

  // Guards against a process that starts with an incomplete chart, in which a forgotten event has no effect.
  void rejects_charts_that_do_not_match_the_code() {
    CPPUNIT_ASSERT(!load("<state").has_value());
    CPPUNIT_ASSERT(!load(kOpen).has_value());
    CPPUNIT_ASSERT(!load(kOpen + kClosed + "<state id=\"ajar\"/>").has_value());
    CPPUNIT_ASSERT_EQUAL(
        std::string("chart door: state open: event 'touch' is neither handled nor ignored"),
        load("<state id=\"open\"><transition event=\"close\" target=\"closed\"/></state>" + kClosed).error());
    CPPUNIT_ASSERT_EQUAL(
        std::string("chart door: state closed is unreachable"),
        load("<state id=\"open\"><transition event=\"close\"/><transition event=\"touch\"/></state>" + kClosed)
            .error());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateChartTest);

}  // namespace

}  // namespace teaselrudder
