#include "servers/session_host/report_ring.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

namespace teaselrudder {

namespace {

class ReportRingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportRingTest);
  CPPUNIT_TEST(small_fleet_reports_to_everyone);
  CPPUNIT_TEST(reports_stay_bounded_and_mutual_in_a_large_fleet);
  CPPUNIT_TEST(neighbours_come_from_several_failure_domains);
  CPPUNIT_TEST(duty_holder_hears_everyone);
  CPPUNIT_TEST(lost_neighbours_are_told_but_not_expected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void small_fleet_reports_to_everyone() {
    const auto rings = rings_of(8);
    for (const auto& [host, ring] : rings) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{7}, ring.expected());
    }
  }

  // Guards against reports that grow with the square of the fleet (91 hosts sent 33,000 a second), and against a host
  // that expects reports from one that does not send them and so takes itself to be cut off.
  void reports_stay_bounded_and_mutual_in_a_large_fleet() {
    for (const std::size_t size : {12, 91, 520}) {
      const auto rings = rings_of(size);
      for (const auto& [host, ring] : rings) {
        CPPUNIT_ASSERT(ring.expected() <= 2 * ReportRing::kNeighbours);
        for (const auto& [other, its] : rings) {
          CPPUNIT_ASSERT(host == other || ring.is_neighbour(other) == its.is_neighbour(host));
        }
      }
    }
  }

  // Guards against a ring in the order of names, on which all neighbours are in one failure domain: with that domain
  // cut off, its hosts would hear as many as ever.
  void neighbours_come_from_several_failure_domains() {
    const auto rings = rings_of(91);
    std::size_t mostly_own = 0;
    for (const auto& [host, ring] : rings) {
      std::size_t own = 0;
      for (const auto& [other, unused] : rings) {
        own += ring.is_neighbour(other) && domain_of(other) == domain_of(host) ? 1 : 0;
      }
      mostly_own += 2 * (1 + own) >= 1 + ring.expected() ? 1 : 0;
    }
    CPPUNIT_ASSERT(mostly_own <= 9);
  }

  // Guards against a holder that judges the primaries by its neighbours' reports alone.
  void duty_holder_hears_everyone() {
    auto rings = rings_of(91);
    const HostId holder = rings.begin()->first;
    for (auto& [host, ring] : rings) {
      ring.set_duty_holder(holder);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{90}, rings.at(holder).expected());
    for (const auto& [host, ring] : rings) {
      CPPUNIT_ASSERT(host == holder || (ring.serves_duty(holder) && rings.at(holder).expects(host)));
    }
  }

  // Guards against a host that nobody tells when its cut has ended, and against one that takes itself to be cut off
  // because hosts have left.
  void lost_neighbours_are_told_but_not_expected() {
    ReportRing ring{HostId("h0")};
    const std::set<HostId> others{HostId("h1"), HostId("h2"), HostId("h3")};
    ring.set_hosts(others, {HostId("h1")});
    CPPUNIT_ASSERT(ring.is_neighbour(HostId("h2")));
    CPPUNIT_ASSERT(!ring.expects(HostId("h2")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ring.expected());
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
      std::set<HostId> others = hosts;
      others.erase(host);
      rings.emplace(host, ReportRing(host)).first->second.set_hosts(others, others);
    }
    return rings;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportRingTest);

}  // namespace

}  // namespace teaselrudder
