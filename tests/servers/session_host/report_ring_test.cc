#include "servers/session_host/report_ring.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

namespace teaselrudder {

namespace {

class ReportRingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportRingTest);
  CPPUNIT_TEST(hosts_of_a_small_fleet_all_exchange_reports);
  CPPUNIT_TEST(reports_stay_bounded_and_mutual_in_a_large_fleet);
  CPPUNIT_TEST(hosts_of_a_partitioned_domain_detect_that_they_are_in_the_minority);
  CPPUNIT_TEST(duty_holder_gets_reports_of_all_hosts);
  CPPUNIT_TEST(inactive_neighbours_get_reports_but_none_are_expected_from_them);
  CPPUNIT_TEST_SUITE_END();

 public:
  void hosts_of_a_small_fleet_all_exchange_reports() {
    const auto rings = rings_of(8);
    for (const auto& [host, ring] : rings) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{7}, expected_of(rings, host));
    }
  }

  // Guards against a number of reports that grows with the square of the fleet (91 hosts sent 33,000 per second), and
  // against a host that expects reports from a host that sends none and therefore considers itself cut off.
  void reports_stay_bounded_and_mutual_in_a_large_fleet() {
    for (const std::size_t size : {12, 91, 520}) {
      const auto rings = rings_of(size);
      for (const auto& [host, ring] : rings) {
        CPPUNIT_ASSERT(expected_of(rings, host) <= 2 * ReportRing::kNeighbours);
        for (const auto& [other, other_ring] : rings) {
          CPPUNIT_ASSERT(host == other || ring.is_neighbour(other) == other_ring.is_neighbour(host));
        }
      }
    }
  }

  // Guards against a host in a partitioned failure domain that considers itself in the majority because most of its
  // neighbours are in its own domain. The platform then routes new sessions to this host, and to all hosts of the
  // domain, for as long as the partition lasts. A ring sorted by name fails this test for most hosts.
  void hosts_of_a_partitioned_domain_detect_that_they_are_in_the_minority() {
    for (const std::size_t size : {8, 12, 80, 91, 520}) {
      const auto rings = rings_of(size);
      for (const auto& [host, ring] : rings) {
        const std::string domain = domain_of(host);
        CPPUNIT_ASSERT(ring.reaches_minority([&](const HostId& other) { return domain_of(other) == domain; }));
        CPPUNIT_ASSERT(!ring.reaches_minority([](const HostId&) { return true; }));
        // If only one other domain is lost, most of the fleet is still reachable.
        const std::string lost = domain == "d0" ? "d1" : "d0";
        CPPUNIT_ASSERT(!ring.reaches_minority([&](const HostId& other) { return domain_of(other) != lost; }));
      }
    }
  }

  // Guards against a holder of the failover duty that judges primaries only by the reports of its neighbours.
  void duty_holder_gets_reports_of_all_hosts() {
    auto rings = rings_of(91);
    const HostId holder = rings.begin()->first;
    for (auto& [host, ring] : rings) {
      ring.set_duty_holder(holder);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{90}, expected_of(rings, holder));
    for (const auto& [host, ring] : rings) {
      CPPUNIT_ASSERT(host == holder ||
                     (ring.exchanges_duty_reports(holder) && rings.at(holder).expects_reports_from(host)));
    }
  }

  // Guards against a host that gets no reports after its partition has ended, and against a host that considers itself
  // cut off because other hosts have left.
  void inactive_neighbours_get_reports_but_none_are_expected_from_them() {
    const FailureDomainId domain("d0");
    ReportRing ring(HostId("h0"), domain);
    ring.set_hosts({{HostId("h1"), {domain, HostMembership::kActive}},
                    {HostId("h2"), {domain, HostMembership::kSuspect}},
                    {HostId("h3"), {domain, HostMembership::kSuspect}}});
    CPPUNIT_ASSERT(ring.is_neighbour(HostId("h2")));
    CPPUNIT_ASSERT(!ring.expects_reports_from(HostId("h2")));
    CPPUNIT_ASSERT(!ring.reaches_minority([](const HostId& other) { return other == HostId("h1"); }));
  }

 private:
  static std::string domain_of(const HostId& host) { return host.value().substr(0, 2); }

  static std::map<HostId, ReportRing> rings_of(std::size_t size) {
    std::set<HostId> hosts;
    for (std::size_t index = 0; index < size; ++index) {
      hosts.insert(HostId("d" + std::to_string(index % 4) + "-front-" + std::to_string(index / 4)));
    }
    std::map<HostId, ReportRing> rings;
    for (const HostId& host : hosts) {
      std::map<HostId, RingHost> others;
      for (const HostId& other : hosts) {
        others[other] = {FailureDomainId(domain_of(other)), HostMembership::kActive};
      }
      others.erase(host);
      rings.emplace(host, ReportRing(host, FailureDomainId(domain_of(host)))).first->second.set_hosts(others);
    }
    return rings;
  }

  static std::size_t expected_of(const std::map<HostId, ReportRing>& rings, const HostId& host) {
    std::size_t expected = 0;
    for (const auto& [other, unused] : rings) {
      expected += rings.at(host).expects_reports_from(other) ? 1 : 0;
    }
    return expected;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportRingTest);

}  // namespace

}  // namespace teaselrudder
