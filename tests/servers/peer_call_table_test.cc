#include "servers/host/peer_call_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace teaselrudder {

namespace {

constexpr Duration kSilence = PeerCallTable::kSilenceUntilProbe;

class PeerCallTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerCallTableTest);
  CPPUNIT_TEST(host_without_answers_to_forwards_is_silent);
  CPPUNIT_TEST(answer_to_another_call_ends_the_silence);
  CPPUNIT_TEST(host_is_not_silent_while_a_probe_is_under_way);
  CPPUNIT_TEST(given_up_forwards_are_not_answered_again);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a frozen host that is never probed, and against probes of hosts that no request waits for.
  void host_without_answers_to_forwards_is_silent() {
    m_calls.add(PeerCallId(1), ConfigurationCall{HostId("other")});
    m_calls.add_forward(PeerCallId(2), {ExecutionId(7), HostId("h")}, at(0));
    CPPUNIT_ASSERT(m_calls.next_check() == at(0) + kSilence);
    CPPUNIT_ASSERT(m_calls.silent_hosts(at(0)).empty());
    CPPUNIT_ASSERT(m_calls.silent_hosts(at(0) + kSilence) == std::vector<HostId>{HostId("h")});
    CPPUNIT_ASSERT(m_calls.take(PeerCallId(2), true, at(400)).has_value());
    CPPUNIT_ASSERT(!m_calls.next_check().has_value());
    CPPUNIT_ASSERT(m_calls.silent_hosts(at(5000)).empty());
  }

  // Guards against a working host that is taken for frozen while it runs a long request.
  void answer_to_another_call_ends_the_silence() {
    m_calls.add_forward(PeerCallId(1), {ExecutionId(7), HostId("h")}, at(0));
    m_calls.add_forward(PeerCallId(2), {ExecutionId(8), HostId("h")}, at(10));
    m_calls.take(PeerCallId(2), true, at(200));
    CPPUNIT_ASSERT(m_calls.silent_hosts(at(200) + kSilence - kMicrosecond).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_calls.silent_hosts(at(200) + kSilence).size());
  }

  // Guards against a stream of probes to a host that does not answer, and against a failed probe that counts as an
  // answer.
  void host_is_not_silent_while_a_probe_is_under_way() {
    m_calls.add_forward(PeerCallId(1), {ExecutionId(7), HostId("h")}, at(0));
    m_calls.add(PeerCallId(2), ProbeCall{HostId("h")});
    CPPUNIT_ASSERT(m_calls.silent_hosts(at(1000)).empty());
    m_calls.take(PeerCallId(2), false, at(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_calls.silent_hosts(at(1000)).size());
  }

  // Guards against two outcomes of one request: one from its next attempt, one from the late answer of the first.
  void given_up_forwards_are_not_answered_again() {
    m_calls.add_forward(PeerCallId(1), {ExecutionId(7), HostId("h")}, at(0));
    m_calls.add_forward(PeerCallId(2), {ExecutionId(8), HostId("other")}, at(0));
    CPPUNIT_ASSERT(m_calls.take_forwards(HostId("h")) == std::vector<ExecutionId>{ExecutionId(7)});
    CPPUNIT_ASSERT(!m_calls.take(PeerCallId(1), true, at(10)).has_value());
    CPPUNIT_ASSERT(m_calls.take_forwards(HostId("h")).empty());
    CPPUNIT_ASSERT(m_calls.take(PeerCallId(2), true, at(10)).has_value());
  }

 private:
  static constexpr Duration kMicrosecond{1};

  static TimePoint at(int milliseconds) { return TimePoint(std::chrono::milliseconds(milliseconds)); }

  PeerCallTable m_calls;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerCallTableTest);

}  // namespace

}  // namespace teaselrudder
