// The list of hosts that a session host reads from the store.
#include <cppunit/extensions/HelperMacros.h>

#include "servers/session_host/host_entry.h"
#include "servers/session_host/session_host.h"
#include "tests/model/session_world.h"

namespace teaselrudder {

namespace {

class HostListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HostListTest);
  CPPUNIT_TEST(large_fleet_is_read_without_an_update_for_each_host);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a start that takes time in proportion to the square of the fleet.
  void large_fleet_is_read_without_an_update_for_each_host() {
    constexpr std::size_t kOthers = 294;
    model::SessionWorld world(1);
    for (std::size_t index = 0; index < kOthers; ++index) {
      const HostEntry entry{{"10.1.0.2", 1}, FailureDomainId("domain0"), index};
      world.store().publish(
          RecordChanged{"hosts/other" + std::to_string(index), encode_host_entry(entry), StoreRevision(0), LeaseId(0)});
    }
    const std::uint64_t before = world.counters(0).value("host_list_updates");
    world.run_for(std::chrono::milliseconds(500));
    CPPUNIT_ASSERT(world.host(0).metrics(world.events().now()).find("known_hosts 295") != std::string::npos);
    // One update for the records, and one for each regular report.
    CPPUNIT_ASSERT(world.counters(0).value("host_list_updates") - before <= 5);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostListTest);

}  // namespace

}  // namespace teaselrudder
