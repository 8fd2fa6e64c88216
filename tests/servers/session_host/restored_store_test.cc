// The platform's store comes back from an older copy: what was written since is gone, and its revisions and leases are
// given out again.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "servers/session_host/session_host.h"
#include "tests/model/session_world.h"
#include "tests/servers/sessions/expect_no_violations.h"

namespace teaselrudder {

namespace {

using model::SessionWorld;

constexpr Duration kSecond = std::chrono::seconds(1);
constexpr std::size_t kHosts = 3;
const std::string kDutyKey = "duties/failover";

std::size_t count_holders(SessionWorld& world) {
  std::size_t holders = 0;
  for (std::size_t host = 0; host < kHosts; ++host) {
    holders += world.holds_failover_duty(host) ? 1 : 0;
  }
  return holders;
}

std::string configuration_line(std::uint64_t version) {
  return "configuration_version " + std::to_string(version) + "\n";
}

bool has_configuration(SessionWorld& world, std::size_t host, std::uint64_t version) {
  return world.host(host).metrics(world.events().now()).find(configuration_line(version)) != std::string::npos;
}

/// Restarts the holder of the duty and waits until another process holds it.
void move_duty(SessionWorld& world) {
  const std::size_t holder = world.duty_holder();
  const std::string record = world.store().value(kDutyKey);
  world.kill_host(holder);
  world.restart_host(holder);
  const auto is_moved = [&] { return world.store().has(kDutyKey) && world.store().value(kDutyKey) != record; };
  CPPUNIT_ASSERT(world.run_until(is_moved, 10 * kSecond));
  world.run_for(kSecond);
}

/// Restores the store from its copy, lets its revision pass the lost ones, and removes the record of the duty.
void lose_duty_record(SessionWorld& world) {
  world.store().restore_copy();
  for (int round = 0; round < 5; ++round) {
    world.publish_members();
  }
  world.store().remove(kDutyKey);
}

/// Runs the world for 3 s, in which never more than one host may hold the duty.
void expect_at_most_one_holder(SessionWorld& world) {
  for (int step = 0; step < 300; ++step) {
    world.run_for(std::chrono::milliseconds(10));
    CPPUNIT_ASSERT(count_holders(world) <= 1);
  }
}

class RestoredStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestoredStoreTest);
  CPPUNIT_TEST(configuration_is_in_force_although_its_revision_was_given_out_before);
  CPPUNIT_TEST(older_configuration_of_the_copy_is_not_taken);
  CPPUNIT_TEST(failover_duty_is_taken_after_its_record_was_lost);
  CPPUNIT_TEST(primary_is_replaced_after_the_duty_changed_hands_in_the_lost_time);
  CPPUNIT_TEST(fencing_tokens_rise_across_a_restoration);
  CPPUNIT_TEST(duty_has_one_holder_although_the_store_forgot_its_lease);
  CPPUNIT_TEST(restarted_host_does_not_take_the_duty_from_a_holder_whose_lease_the_store_forgot);
  CPPUNIT_TEST(holder_keeps_the_duty_without_a_gap);
  CPPUNIT_TEST(duty_has_one_holder_after_an_outage_that_outlasted_its_lease);
  CPPUNIT_TEST(lost_record_of_a_host_is_written_again_although_its_lease_was_given_out_again);
  CPPUNIT_TEST(announced_primary_is_recorded_again);
  CPPUNIT_TEST(leaving_member_stays_leaving);
  CPPUNIT_TEST(member_that_joined_in_the_lost_time_stays_known);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a change that is never in force on a host that asks for changes since a revision of the lost time.
  void configuration_is_in_force_although_its_revision_was_given_out_before() {
    SessionWorld world(kHosts);
    world.store().keep_copy();
    world.publish_members();
    world.run_for(kSecond);
    world.store().unreachable_hosts = {0};
    world.store().restore_copy();
    world.publish_routes();
    world.publish_members();
    world.run_for(3 * kSecond);
    world.store().unreachable_hosts = {};
    world.run_for(3 * kSecond);
    for (std::size_t host = 0; host < kHosts; ++host) {
      CPPUNIT_ASSERT_MESSAGE("host " + std::to_string(host), has_configuration(world, host, 2));
    }
  }

  // Guards against a configuration that was confirmed and is out of force again.
  void older_configuration_of_the_copy_is_not_taken() {
    SessionWorld world(kHosts);
    world.store().keep_copy();
    world.publish_routes();
    world.run_for(2 * kSecond);
    world.store().restore_copy();
    for (int step = 0; step < 40; ++step) {
      world.run_for(std::chrono::milliseconds(50));
      for (std::size_t host = 0; host < kHosts; ++host) {
        CPPUNIT_ASSERT(has_configuration(world, host, 2));
      }
    }
  }

  // Guards against hosts that all wait for a holder of the duty whose record is gone.
  void failover_duty_is_taken_after_its_record_was_lost() {
    SessionWorld world(kHosts);
    world.store().keep_copy();
    move_duty(world);
    move_duty(world);
    world.store().restore_copy();
    world.publish_again();
    world.run_for(2 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_holders(world));
    CPPUNIT_ASSERT(world.store().has(kDutyKey));
  }

  // Guards against a primary that nobody replaces, because the duty or its tokens did not survive the store's loss.
  void primary_is_replaced_after_the_duty_changed_hands_in_the_lost_time() {
    SessionWorld world(kHosts);
    world.store().keep_copy();
    move_duty(world);
    move_duty(world);
    replace_primary(world);
    world.store().restore_copy();
    world.publish_again();
    world.run_for(3 * kSecond);
    replace_primary(world);
    expect_no_violations(world);
  }

  // Guards against promotions that the platform rejects because of a token from the lost time.
  void fencing_tokens_rise_across_a_restoration() {
    SessionWorld world(kHosts);
    world.store().keep_copy();
    for (int round = 0; round < 100; ++round) {
      world.publish_members();
    }
    move_duty(world);
    replace_primary(world);
    const std::uint64_t promotions = world.members().promotions();
    world.store().restore_copy();
    world.publish_again();
    world.run_for(3 * kSecond);
    replace_primary(world);
    CPPUNIT_ASSERT(world.members().promotions() > promotions);
    expect_no_violations(world);
  }

  // Guards against a second holder of the duty while the first one trusts a lease that the store has forgotten.
  void duty_has_one_holder_although_the_store_forgot_its_lease() {
    SessionWorld world(kHosts);
    world.store().keep_copy();
    move_duty(world);
    const std::size_t holder = world.duty_holder();
    world.store().unreachable_hosts = {holder};
    lose_duty_record(world);
    expect_at_most_one_holder(world);
  }

  // Guards against the same by a process that was not there when the store came back.
  void restarted_host_does_not_take_the_duty_from_a_holder_whose_lease_the_store_forgot() {
    SessionWorld world(kHosts);
    world.store().keep_copy();
    move_duty(world);
    const std::size_t holder = world.duty_holder();
    world.store().unreachable_hosts = {holder};
    for (std::size_t host = 0; host < kHosts; ++host) {
      if (host != holder) {
        world.kill_host(host);
      }
    }
    lose_duty_record(world);
    for (std::size_t host = 0; host < kHosts; ++host) {
      if (host != holder) {
        world.restart_host(host);
      }
    }
    expect_at_most_one_holder(world);
  }

  // Guards against a pause in which nobody grants leases, although the holder of the duty never stopped.
  void holder_keeps_the_duty_without_a_gap() {
    SessionWorld world(kHosts);
    world.store().keep_copy();
    move_duty(world);
    const std::size_t holder = world.duty_holder();
    const auto callers = world.open_sessions(SessionWorld::kPrimaryReads);
    world.run_for(2 * kSecond);
    world.store().restore_copy();
    world.store().remove(kDutyKey);
    world.publish_again();
    for (int step = 0; step < 100; ++step) {
      for (const std::size_t caller : callers) {
        CPPUNIT_ASSERT(!world.send_and_wait(caller, StatementKind::kRead).error.has_value());
      }
      world.run_for(std::chrono::milliseconds(30));
    }
    CPPUNIT_ASSERT(world.holds_failover_duty(holder));
    expect_no_violations(world);
  }

  // Guards against a second holder while the first one, which acted on without the store, has not heard of its return.
  void duty_has_one_holder_after_an_outage_that_outlasted_its_lease() {
    for (int offset = 0; offset < 10; ++offset) {
      SessionWorld world(kHosts);
      const std::size_t holder = world.duty_holder();
      world.store().down = true;
      world.run_for(5 * kSecond + offset * std::chrono::milliseconds(130));
      CPPUNIT_ASSERT(world.holds_failover_duty(holder));
      world.store().down = false;
      expect_at_most_one_holder(world);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), count_holders(world));
    }
  }

  // Guards against a host whose record is missing for good, because the renewals of its lost lease renew that of
  // another.
  void lost_record_of_a_host_is_written_again_although_its_lease_was_given_out_again() {
    SessionWorld world(kHosts);
    const std::size_t host = world.duty_holder() == 0 ? 1 : 0;
    world.kill_host(host);
    world.run_for(10 * kSecond);
    world.store().keep_copy();
    world.restart_host(host);
    world.run_for(kSecond);
    const std::string key = "hosts/host" + std::to_string(host);
    CPPUNIT_ASSERT(world.store().has(key));
    world.store().restore_copy();
    for (int lease = 0; lease < 10; ++lease) {
      world.store().grant_foreign_lease(60 * kSecond);
    }
    world.run_for(3 * kSecond);
    CPPUNIT_ASSERT(world.store().has(key));
  }

  // Guards against a fleet that starts anew with a primary that was replaced in the lost time.
  void announced_primary_is_recorded_again() {
    SessionWorld world(kHosts);
    world.store().keep_copy();
    replace_primary(world);
    const std::string record = world.store().value("leaders/ledger");
    world.store().restore_copy();
    world.publish_again();
    world.run_for(3 * kSecond);
    CPPUNIT_ASSERT_EQUAL(record, world.store().value("leaders/ledger"));
  }

  // Guards against new work for a member that is leaving, because the copy still shows it as ready.
  void leaving_member_stays_leaving() {
    SessionWorld world(kHosts);
    const std::size_t leaving = world.members().primary() == 0 ? 1 : 0;
    world.store().keep_copy();
    world.members().member(leaving).entry.leaving = true;
    world.publish_members();
    world.run_for(kSecond);
    world.store().restore_copy();
    world.run_for(kSecond);
    int runs = 0;
    const std::string name = world.members().member(leaving).entry.member.value();
    world.members().observe_runs(
        [&](const RequestId&, const model::StatementRun& run) { runs += run.member == name ? 1 : 0; });
    const auto readers = world.open_sessions(SessionWorld::kBoundedReads);
    for (int round = 0; round < 20; ++round) {
      for (const std::size_t reader : readers) {
        world.send_and_wait(reader, StatementKind::kRead);
      }
    }
    CPPUNIT_ASSERT_EQUAL(0, runs);
  }

  // Guards against a member that is forgotten, and so overlooked by a failover, before it has written its entry again.
  void member_that_joined_in_the_lost_time_stays_known() {
    SessionWorld world(kHosts);
    const std::size_t replica = world.members().primary() == 0 ? 1 : 0;
    world.members().crash(replica, false);
    world.publish_members();
    world.run_for(kSecond);
    world.store().keep_copy();
    world.restart_members();
    world.run_for(kSecond);
    world.store().restore_copy();
    for (int step = 0; step < 18; ++step) {
      world.run_for(std::chrono::milliseconds(100));
      for (std::size_t host = 0; host < kHosts; ++host) {
        const std::string metrics = world.host(host).metrics(world.events().now());
        CPPUNIT_ASSERT(metrics.find("group_members{group=\"ledger\"} 3\n") != std::string::npos);
      }
    }
  }

 private:
  /// Lets the primary crash, waits until a write is acknowledged again, and starts the member that crashed.
  static void replace_primary(SessionWorld& world) {
    const auto callers = world.open_sessions(SessionWorld::kPrimaryReads);
    world.send_and_wait(callers.front(), StatementKind::kWrite);
    world.members().crash(world.members().primary(), false);
    const auto is_acknowledged = [&] {
      return !world.send_and_wait(callers.front(), StatementKind::kWrite).error.has_value();
    };
    const TimePoint crashed_at = world.events().now();
    while (!is_acknowledged() && world.events().now() < crashed_at + 7 * kSecond) {
      world.run_for(std::chrono::milliseconds(100));
    }
    CPPUNIT_ASSERT(world.events().now() < crashed_at + 7 * kSecond);
    world.restart_members();
    world.run_for(kSecond);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredStoreTest);

}  // namespace

}  // namespace teaselrudder
