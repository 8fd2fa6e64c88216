// Which hosts count as the fleet after some have left for good, and after some have only been cut off.
#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <vector>

#include "servers/session_host/host_entry.h"
#include "servers/session_host/session_host.h"
#include "tests/model/session_world.h"
#include "tests/servers/sessions/expect_no_violations.h"

namespace teaselrudder {

namespace {

using model::SessionWorld;

constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Duration kStopGap = std::chrono::milliseconds(1300);
/// Time in which the hosts that are left have to serve after others were lost without notice: the users' recover_s.
constexpr Duration kServiceAfterLoss = std::chrono::seconds(12);
/// Time in which the hosts that are left have to serve after planned stops; a stop itself takes up to its grace period.
constexpr Duration kServiceAfterStop = std::chrono::milliseconds(500);

class FleetMembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetMembershipTest);
  CPPUNIT_TEST(hosts_that_are_left_serve_while_most_others_are_stopped_for_good);
  CPPUNIT_TEST(hosts_that_are_left_serve_after_four_stopped_at_once);
  CPPUNIT_TEST(last_host_serves_alone_and_replaces_a_lost_primary);
  CPPUNIT_TEST(stops_while_the_store_is_away_are_known_from_reports);
  CPPUNIT_TEST(stops_of_hosts_that_are_not_heard_are_known_from_their_records);
  CPPUNIT_TEST(restarted_fleet_does_not_count_hosts_that_were_stopped_before);
  CPPUNIT_TEST(host_that_was_stopped_counts_again_after_its_restart);
  CPPUNIT_TEST(entry_of_a_stopping_host_is_read_as_such);
  CPPUNIT_TEST(hosts_that_are_left_serve_after_most_others_were_killed_for_good);
  CPPUNIT_TEST(hosts_that_are_left_serve_after_the_duty_holder_and_most_others_were_killed_for_good);
  CPPUNIT_TEST(leaving_primary_is_replaced_after_most_hosts_were_killed_for_good);
  CPPUNIT_TEST(restarted_hosts_serve_although_most_others_never_come_back);
  CPPUNIT_TEST(parts_of_a_split_fleet_never_act_at_once);
  CPPUNIT_TEST(part_that_regains_the_store_waits_for_a_holder_it_never_knew);
  CPPUNIT_TEST(cut_off_minority_with_the_store_replaces_no_primary);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against removed hosts that count as a part of the fleet: two of six had no quorum for 36 s, so they granted
  // no leases and served nothing.
  void hosts_that_are_left_serve_while_most_others_are_stopped_for_good() {
    SessionWorld world(6);
    for (const std::size_t host : {0, 1, 2, 3}) {
      world.stop_host(host);
      expect_service(world, 4, kStopGap);
      expect_service(world, 5, Duration(0));
    }
    // The stops end, and later the records of the stopped hosts expire.
    expect_service(world, 4, 40 * kSecond);
    expect_replacement(world, 5);
    expect_no_violations(world);
  }

  // Guards against a fleet that survives stops only one after the other.
  void hosts_that_are_left_serve_after_four_stopped_at_once() {
    SessionWorld world(6);
    for (const std::size_t host : {0, 1, 2, 3}) {
      world.stop_host(host);
    }
    world.run_for(kServiceAfterStop);
    expect_service(world, 4, 20 * kSecond);
    expect_replacement(world, 5);
    expect_no_violations(world);
  }

  // Guards against a last host that waits for reports of hosts that have left.
  void last_host_serves_alone_and_replaces_a_lost_primary() {
    SessionWorld world(3);
    world.stop_host(0);
    world.run_for(kStopGap);
    world.stop_host(1);
    world.run_for(kServiceAfterStop);
    expect_service(world, 2, 20 * kSecond);
    expect_replacement(world, 2);
    expect_no_violations(world);
  }

  // Guards against stops that are announced only through the store.
  void stops_while_the_store_is_away_are_known_from_reports() {
    SessionWorld world(6);
    world.store().down = true;
    for (const std::size_t host : {0, 1, 2, 3}) {
      world.stop_host(host);
      world.run_for(kStopGap);
    }
    world.run_for(kSecond);
    world.store().down = false;
    world.run_for(2 * kSecond);
    expect_service(world, 4, 20 * kSecond);
    expect_replacement(world, 5);
    expect_no_violations(world);
  }

  // Guards against stops that are announced only in reports, which are not acknowledged.
  void stops_of_hosts_that_are_not_heard_are_known_from_their_records() {
    SessionWorld world(6);
    world.drops_reports = true;
    for (const std::size_t host : {0, 1, 2, 3}) {
      world.stop_host(host);
    }
    world.run_for(kSecond);
    for (const std::size_t host : {0, 1, 2, 3}) {
      world.kill_host(host);
    }
    world.drops_reports = false;
    world.run_for(2 * kSecond);
    expect_service(world, 4, kSecond);
    expect_no_violations(world);
  }

  // Guards against new processes that count hosts that were removed before all processes were killed, because their
  // records are still in the store.
  void restarted_fleet_does_not_count_hosts_that_were_stopped_before() {
    SessionWorld world(6);
    for (const std::size_t host : {0, 1, 2, 3}) {
      world.stop_host(host);
      world.run_for(std::chrono::milliseconds(100));
    }
    for (std::size_t host = 0; host < 6; ++host) {
      world.kill_host(host);
    }
    world.run_for(kSecond);
    world.restart_host(4);
    world.restart_host(5);
    world.run_for(2 * kSecond);
    expect_service(world, 4, kSecond);
    expect_service(world, 5, 10 * kSecond);
    expect_no_violations(world);
  }

  // Guards against a restarted host without a vote. One of two hosts that is cut off from the other must not act alone.
  void host_that_was_stopped_counts_again_after_its_restart() {
    SessionWorld world(5);
    for (const std::size_t host : {0, 1, 2}) {
      world.stop_host(host);
    }
    world.run_for(kSecond);
    for (const std::size_t host : {0, 1, 2}) {
      world.kill_host(host);
      world.restart_host(host);
    }
    world.run_for(3 * kSecond);
    world.isolate({0, 1, 2}, {});
    world.run_for(2 * kSecond);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("two of five hosts act for the fleet", std::size_t{5}, world.duty_holder());
    world.heal();
    world.run_for(3 * kSecond);
    CPPUNIT_ASSERT(world.duty_holder() < 5);
    expect_no_violations(world);
  }

  // Guards against a stop that is lost or read as another incarnation on the way through the store.
  void entry_of_a_stopping_host_is_read_as_such() {
    const HostEntry running{{"10.1.0.2", 7440}, FailureDomainId("toledo dc"), 17, false};
    HostEntry stopping = running;
    stopping.stopping = true;
    CPPUNIT_ASSERT(decode_host_entry(encode_host_entry(running)) == running);
    CPPUNIT_ASSERT(decode_host_entry(encode_host_entry(stopping)) == stopping);
    CPPUNIT_ASSERT(!decode_host_entry("10.1.0.2 7440 ! toledo").has_value());
    CPPUNIT_ASSERT(!decode_host_entry("10.1.0.2 7440 17!! toledo").has_value());
  }

  // Guards against hosts that were lost without notice and count as a part of the fleet for 36 s.
  void hosts_that_are_left_serve_after_most_others_were_killed_for_good() {
    SessionWorld world(6);
    const std::size_t holder = world.duty_holder();
    kill_all_except(world, {holder, (holder + 1) % 6});
    world.run_for(kServiceAfterLoss);
    expect_service(world, holder, 30 * kSecond);
    expect_service(world, (holder + 1) % 6, kSecond);
    expect_replacement(world, holder);
    expect_no_violations(world);
  }

  // Guards against a lost holder of the duty that is taken for one that acts on somewhere else for ever.
  void hosts_that_are_left_serve_after_the_duty_holder_and_most_others_were_killed_for_good() {
    SessionWorld world(6);
    const std::size_t left = (world.duty_holder() + 1) % 6;
    kill_all_except(world, {left});
    world.run_for(kServiceAfterLoss);
    expect_service(world, left, 30 * kSecond);
    expect_replacement(world, left);
    expect_no_violations(world);
  }

  // Guards against planned changes of members that wait until lost hosts are forgotten.
  void leaving_primary_is_replaced_after_most_hosts_were_killed_for_good() {
    SessionWorld world(6);
    const std::size_t left = (world.duty_holder() + 1) % 6;
    kill_all_except(world, {left});
    world.run_for(kServiceAfterLoss);
    const std::size_t primary = world.members().primary();
    world.members().member(primary).entry.leaving = true;
    world.publish_members();
    const auto is_replaced = [&] { return world.members().primary() != primary; };
    CPPUNIT_ASSERT(world.run_until(is_replaced, 7 * kSecond));
    world.run_for(2 * kSecond);
    expect_service(world, left, kSecond);
    expect_no_violations(world);
  }

  // Guards against new processes that wait for hosts that are in the store but lost for good.
  void restarted_hosts_serve_although_most_others_never_come_back() {
    SessionWorld world(6);
    kill_all_except(world, {});
    world.run_for(kSecond);
    world.restart_host(2);
    world.restart_host(3);
    world.run_for(kServiceAfterLoss);
    expect_service(world, 2, kSecond);
    expect_service(world, 3, kSecond);
    expect_no_violations(world);
  }

  // Guards against hosts that are only cut off and are taken for lost: both parts would act for the fleet. The store is
  // reached by one part, by none, or by one after the other.
  void parts_of_a_split_fleet_never_act_at_once() {
    for (std::size_t size = 1; size < 5; ++size) {
      for (const bool store_fails_first : {false, true}) {
        for (const bool holder_is_cut_off : {false, true}) {
          split(size, store_fails_first, holder_is_cut_off);
        }
      }
    }
  }

  // Guards against a part of the fleet that reaches the store again when the other part has just lost it, and counts
  // without that part although its holder, of which this part never knew, acts on without the store.
  void part_that_regains_the_store_waits_for_a_holder_it_never_knew() {
    for (int tenths = 20; tenths < 80; tenths += 5) {
      SessionWorld world(6);
      const std::size_t first = world.duty_holder();
      const std::vector<std::size_t> minority = {first, (first + 1) % 6};
      std::vector<std::size_t> majority;
      for (std::size_t step = 2; step < 6; ++step) {
        majority.push_back((first + step) % 6);
      }
      world.store().unreachable_hosts = minority;
      world.run_for(4 * kSecond);
      CPPUNIT_ASSERT(world.duty_holder() != first);
      world.isolate({minority.begin(), minority.end()}, {});
      world.store().unreachable_hosts = {0, 1, 2, 3, 4, 5};
      expect_at_most_one_holder(world, tenths * std::chrono::milliseconds(100), "before the store is back");
      // The part has to list the store, so it does not read who held the duty meanwhile.
      world.store().drop_history();
      world.store().unreachable_hosts = majority;
      expect_at_most_one_holder(world, 20 * kSecond, "the store is back after " + std::to_string(tenths) + " tenths");
    }
  }

  // Guards against a part of the fleet that replaces a primary which the other hosts, cut off from it and from the
  // store, still use.
  void cut_off_minority_with_the_store_replaces_no_primary() {
    SessionWorld world(6);
    const std::size_t holder = world.duty_holder();
    std::set<std::size_t> cut_off;
    for (std::size_t host = 0; host < 6; ++host) {
      if (host != holder) {
        cut_off.insert(host);
      }
    }
    const std::size_t caller = world.open_session(*cut_off.begin(), SessionWorld::kPrimaryReads);
    world.isolate(cut_off, {0, 1, 2});
    for (int round = 0; round < 250; ++round) {
      world.send_and_wait(caller, StatementKind::kWrite);
      world.run_for(std::chrono::milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.members().promotions());
    expect_no_violations(world);
  }

 private:
  static void kill_all_except(SessionWorld& world, const std::set<std::size_t>& left) {
    for (std::size_t host = 0; host < 6; ++host) {
      if (!left.contains(host)) {
        world.kill_host(host);
      }
    }
  }

  static void expect_at_most_one_holder(SessionWorld& world, Duration time, const std::string& text) {
    for (const TimePoint end = world.events().now() + time; world.events().now() < end;) {
      world.run_for(std::chrono::milliseconds(50));
      std::size_t holders = 0;
      for (std::size_t host = 0; host < 6; ++host) {
        holders += world.holds_failover_duty(host) ? 1 : 0;
      }
      CPPUNIT_ASSERT_MESSAGE("two hosts act: " + text, holders <= 1);
    }
  }

  /// Cuts `size` of six hosts off, with or without the holder of the duty, and lets the store fail for all for a while.
  static void split(std::size_t size, bool store_fails_first, bool holder_is_cut_off) {
    SessionWorld world(6);
    const std::size_t holder = world.duty_holder();
    std::set<std::size_t> cut_off;
    for (std::size_t host = holder_is_cut_off ? holder : holder + 1; cut_off.size() < size; ++host) {
      cut_off.insert(host % 6);
    }
    world.store().down = store_fails_first;
    world.run_for(store_fails_first ? 3 * kSecond : Duration(0));
    world.isolate(cut_off, {});
    const std::string text =
        std::to_string(size) + " cut off; the store " + (store_fails_first ? "failed before" : "ran");
    expect_at_most_one_holder(world, 5 * kSecond, text);
    world.store().down = false;
    expect_at_most_one_holder(world, 40 * kSecond, text);
    world.heal();
    world.run_for(3 * kSecond);
    CPPUNIT_ASSERT(world.duty_holder() < 6);
  }

  /// Sends a write and a read at `host`, again and again for `time`; each has to succeed.
  static void expect_service(SessionWorld& world, std::size_t host, Duration time) {
    const std::size_t caller = world.open_session(host, SessionWorld::kPrimaryReads);
    const TimePoint end = world.events().now() + time;
    do {
      world.run_for(std::chrono::milliseconds(100));
      for (const StatementKind kind : {StatementKind::kWrite, StatementKind::kRead}) {
        const StatementReply reply = world.send_and_wait(caller, kind);
        CPPUNIT_ASSERT_MESSAGE("a statement failed on host " + std::to_string(host), !reply.error.has_value());
      }
    } while (world.events().now() < end);
  }

  /// Crashes the primary; a write at `host` has to succeed within the bound of a failover.
  static void expect_replacement(SessionWorld& world, std::size_t host) {
    world.members().crash(world.members().primary(), false);
    const TimePoint crashed_at = world.events().now();
    bool served = false;
    while (!served && world.events().now() < crashed_at + 7 * kSecond) {
      const std::size_t caller = world.open_session(host, SessionWorld::kPrimaryReads);
      world.run_for(std::chrono::milliseconds(50));
      served = !world.send_and_wait(caller, StatementKind::kWrite).error.has_value();
    }
    CPPUNIT_ASSERT_MESSAGE("no write within 7 s of the loss of the primary", served);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetMembershipTest);

}  // namespace

}  // namespace teaselrudder
