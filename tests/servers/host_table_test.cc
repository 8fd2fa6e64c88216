#include "servers/membership/host_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include "servers/membership/rendezvous.h"

namespace teaselrudder {

namespace {

HostRecord record_of(const std::string& name, std::uint64_t incarnation, HostState state) {
  return {HostId(name), FailureDomainId("d"), {"127.0.0.1", 1}, Incarnation(incarnation), state};
}

class HostTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HostTableTest);
  CPPUNIT_TEST(outdated_list_does_not_revive_a_leaving_host);
  CPPUNIT_TEST(host_refutes_a_report_of_its_death);
  CPPUNIT_TEST(host_is_probed_again_at_once_after_a_first_failure);
  CPPUNIT_TEST(suspect_host_that_answers_becomes_alive);
  CPPUNIT_TEST(rendezvous_moves_only_the_groups_of_a_lost_host);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an outdated platform list that makes a leaving host alive again, so that it gets new work.
  void outdated_list_does_not_revive_a_leaving_host() {
    m_table.merge(record_of("b", 1, HostState::kLeaving), m_now);
    m_table.merge_list({record_of("b", 1, HostState::kAlive)}, m_now);
    CPPUNIT_ASSERT(m_table.find(HostId("b"))->state == HostState::kLeaving);
    m_table.merge_list({record_of("b", 2, HostState::kAlive)}, m_now);
    CPPUNIT_ASSERT(m_table.find(HostId("b"))->state == HostState::kAlive);
  }

  // Guards against a live host that the others still consider dead after a network partition has healed.
  void host_refutes_a_report_of_its_death() {
    CPPUNIT_ASSERT(m_table.merge(record_of("a", 1, HostState::kDead), m_now));
    CPPUNIT_ASSERT(m_table.self().incarnation == Incarnation(2));
    CPPUNIT_ASSERT(m_table.self().state == HostState::kAlive);
  }

  // Guards against a dead host that is suspected only once the random choice has selected it twice.
  void host_is_probed_again_at_once_after_a_first_failure() {
    for (int index = 0; index < 80; ++index) {
      m_table.merge(record_of("h" + std::to_string(index), 1, HostState::kAlive), m_now);
    }
    m_table.on_tick(m_now);
    CPPUNIT_ASSERT(!m_table.on_failure(HostId("h7"), m_now));
    m_now += std::chrono::milliseconds(200);
    const std::vector<ProbeTarget> due = m_table.on_tick(m_now);
    CPPUNIT_ASSERT(!due.empty() && due.front().host == HostId("h7"));
    CPPUNIT_ASSERT(m_table.on_failure(HostId("h7"), m_now));
    CPPUNIT_ASSERT(m_table.find(HostId("h7"))->state == HostState::kSuspect);
  }

  // Guards against a host that permanently loses its groups after two lost answers.
  void suspect_host_that_answers_becomes_alive() {
    m_table.merge(record_of("b", 1, HostState::kAlive), m_now);
    m_table.on_failure(HostId("b"), m_now);
    CPPUNIT_ASSERT(m_table.on_failure(HostId("b"), m_now));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_table.working_hosts().size());
    CPPUNIT_ASSERT(m_table.on_answer(record_of("b", 1, HostState::kAlive), m_now));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_table.working_hosts().size());
  }

  // Guards against the loss of one host that changes the owners of groups on other hosts, which would move their queues
  // and connections.
  void rendezvous_moves_only_the_groups_of_a_lost_host() {
    constexpr std::size_t kHosts = 10;
    std::vector<HostId> hosts;
    hosts.reserve(kHosts);
    for (std::size_t index = 0; index < kHosts; ++index) {
      hosts.emplace_back("h" + std::to_string(index));
    }
    const std::vector<HostId> without_last(hosts.begin(), hosts.end() - 1);
    std::size_t moved = 0;
    for (int group = 0; group < 1000; ++group) {
      const std::string key = "g" + std::to_string(group);
      const HostId owner = rank_hosts(hosts, key).front();
      if (owner == hosts.back()) {
        ++moved;
        continue;
      }
      CPPUNIT_ASSERT(rank_hosts(without_last, key).front() == owner);
    }
    CPPUNIT_ASSERT(moved > 60 && moved < 140);
  }

 private:
  TimePoint m_now{std::chrono::hours(1)};
  HostTable m_table{record_of("a", 1, HostState::kAlive), HostTableTimings(), 7};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostTableTest);

}  // namespace

}  // namespace teaselrudder
