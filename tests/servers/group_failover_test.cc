#include <cppunit/extensions/HelperMacros.h>

#include "tests/servers/group_checker.h"

namespace teaselrudder {

namespace {

using model::GroupHarness;
using model::HarnessOptions;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A group of three members and three owners that has a primary. Each owner has one session, which writes steadily.
struct Fixture {
  explicit Fixture(const HarnessOptions& options = {}) : checker(options.domains), harness(options, checker) {
    run(seconds(2));
  }

  // Every owner sends a write and reads every 20 ms.
  void run(Duration duration) {
    for (Duration passed{0}; passed < duration; passed += milliseconds(20)) {
      for (std::size_t owner = 0; owner < harness.size(); ++owner) {
        harness.write(owner, owner);
        harness.read(owner, owner, Freshness::kOwnWrites, Duration(0));
        harness.read(owner, owner, Freshness::kMaxAge, seconds(1));
        harness.read(owner, owner, Freshness::kFresh, Duration(0));
      }
      harness.run_for(milliseconds(20));
    }
  }

  std::size_t primary(std::size_t owner = 0) {
    const auto view = harness.group(owner).primary();
    return view.has_value() ? std::stoul(view->member.value().substr(1)) : harness.size();
  }

  // The member with the next index after the primary's.
  std::size_t first_replica() { return (primary() + 1) % harness.size(); }

  void assert_correct() { CPPUNIT_ASSERT_EQUAL(std::string(), checker.first_error()); }

  testing::GroupChecker checker;
  GroupHarness harness;
};

class GroupFailoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupFailoverTest);
  CPPUNIT_TEST(new_group_gets_exactly_one_primary);
  CPPUNIT_TEST(restarted_owners_detect_the_existing_primary);
  CPPUNIT_TEST(killed_primary_is_replaced);
  CPPUNIT_TEST(isolated_primary_confirms_nothing_and_is_replaced);
  CPPUNIT_TEST(silent_connection_causes_no_promotion);
  CPPUNIT_TEST(single_owner_cut_off_from_the_primary_causes_no_promotion);
  CPPUNIT_TEST(paused_owner_does_not_disturb_the_new_primary);
  CPPUNIT_TEST(owner_paused_during_its_attempt_does_no_harm_afterwards);
  CPPUNIT_TEST(simultaneous_attempts_lead_to_one_primary);
  CPPUNIT_TEST(far_behind_replica_is_not_promoted);
  CPPUNIT_TEST(lost_promotion_answer_does_not_lose_the_promotion);
  CPPUNIT_TEST(returning_primary_drops_unconfirmed_records);
  CPPUNIT_TEST(primary_whose_term_is_superseded_on_a_majority_is_replaced);
  CPPUNIT_TEST(leaving_primary_is_replaced_and_gets_no_reads);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a new group that never accepts writes, against several promotions, and against members that never
  // replicate.
  void new_group_gets_exactly_one_primary() {
    Fixture fixture;
    fixture.assert_correct();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.checker.promotions());
    CPPUNIT_ASSERT(fixture.checker.confirmed_writes() > 100);
    CPPUNIT_ASSERT(fixture.checker.replica_reads(Freshness::kOwnWrites) > 100);
    CPPUNIT_ASSERT(fixture.checker.replica_reads(Freshness::kMaxAge) > 100);
    CPPUNIT_ASSERT(fixture.checker.primary_reads(Freshness::kFresh) > 100);
  }

  // Guards against a failover whenever the hosts restart.
  void restarted_owners_detect_the_existing_primary() {
    Fixture fixture;
    for (std::size_t owner = 0; owner < 3; ++owner) {
      fixture.harness.start_owner(owner);
    }
    fixture.run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.checker.promotions());
    CPPUNIT_ASSERT(fixture.primary(2) < 3);
    fixture.assert_correct();
  }

  // Guards against a group that stays without a primary, and against lost confirmed writes.
  void killed_primary_is_replaced() {
    Fixture fixture;
    const std::size_t old_primary = fixture.primary();
    fixture.harness.set_member_up(old_primary, false);
    fixture.run(seconds(3));
    CPPUNIT_ASSERT(fixture.primary() < 3 && fixture.primary() != old_primary);
    CPPUNIT_ASSERT(fixture.checker.confirmed_since(Term(2)) > 100);
    fixture.assert_correct();
  }

  // Guards against acknowledging writes of a primary that was replaced while it was isolated.
  void isolated_primary_confirms_nothing_and_is_replaced() {
    Fixture fixture;
    const std::size_t old_primary = fixture.primary();
    fixture.harness.isolate(old_primary, true);
    fixture.run(milliseconds(100));
    const std::size_t before = fixture.checker.confirmed_writes();
    fixture.run(seconds(3));
    // The owner in the same failure domain still considers the old primary to be the primary.
    CPPUNIT_ASSERT_EQUAL(old_primary, fixture.primary(old_primary));
    CPPUNIT_ASSERT(fixture.primary((old_primary + 1) % 3) != old_primary);
    CPPUNIT_ASSERT_EQUAL(before + fixture.checker.confirmed_since(Term(2)), fixture.checker.confirmed_writes());
    fixture.harness.isolate(old_primary, false);
    fixture.run(seconds(2));
    CPPUNIT_ASSERT(fixture.primary(old_primary) != old_primary);
    CPPUNIT_ASSERT(!fixture.harness.member(old_primary).is_primary());
    fixture.assert_correct();
  }

  // Guards against replacing a live primary because an owner's connection to it hangs.
  void silent_connection_causes_no_promotion() {
    Fixture fixture;
    for (std::size_t owner = 0; owner < 3; ++owner) {
      fixture.harness.make_connection_unresponsive(owner, fixture.primary());
    }
    fixture.run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.checker.promotions());
    fixture.assert_correct();
  }

  // Guards against a failover because one owner has lost its link to a primary that the other owners can reach.
  void single_owner_cut_off_from_the_primary_causes_no_promotion() {
    Fixture fixture;
    const std::size_t owner = fixture.first_replica();
    fixture.harness.set_link_blocked(owner, fixture.primary(), true);
    fixture.run(seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.checker.promotions());
    // Requests may still be forwarded to the owner in the primary's failure domain.
    CPPUNIT_ASSERT_EQUAL(fixture.primary((owner + 1) % 3), fixture.primary(owner));
  }

  // Guards against an owner that was paused and takes the missing reports for a failure of the members.
  void paused_owner_does_not_disturb_the_new_primary() {
    Fixture fixture;
    const std::size_t old_primary = fixture.primary();
    fixture.harness.pause_owner(fixture.first_replica(), seconds(5));
    fixture.run(seconds(6));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.checker.promotions());
    fixture.harness.pause_owner(fixture.first_replica(), seconds(4));
    fixture.harness.set_member_up(old_primary, false);
    fixture.run(seconds(6));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.checker.promotions());
    fixture.assert_correct();
  }

  // Guards against an owner that was paused between RaiseTerm and Promote and promotes a member in a superseded term.
  void owner_paused_during_its_attempt_does_no_harm_afterwards() {
    Fixture fixture;
    fixture.harness.set_member_up(fixture.primary(), false);
    std::size_t raising = 3;
    const auto is_raising = [&] {
      for (std::size_t owner = 0; owner < 3; ++owner) {
        raising = fixture.harness.group(owner).state() == GroupState::kRaising ? owner : raising;
      }
      return raising < 3;
    };
    CPPUNIT_ASSERT(fixture.harness.run_until(is_raising, seconds(3)));
    fixture.harness.pause_owner(raising, seconds(4));
    fixture.run(seconds(3));
    const Term newest = fixture.checker.newest_term();
    CPPUNIT_ASSERT(newest > Term(2));
    fixture.run(seconds(3));
    CPPUNIT_ASSERT(newest == fixture.checker.newest_term());
    CPPUNIT_ASSERT(fixture.primary(raising) < 3);
    fixture.assert_correct();
  }

  // Guards against two primaries, and against owners that interrupt each other's attempts indefinitely.
  void simultaneous_attempts_lead_to_one_primary() {
    Fixture fixture;
    const std::size_t old_primary = fixture.primary();
    for (std::size_t owner = 0; owner < 3; ++owner) {
      fixture.harness.group(owner).update_owners(0, 1, fixture.harness.now());
    }
    fixture.harness.set_member_up(old_primary, false);
    fixture.run(seconds(5));
    CPPUNIT_ASSERT(fixture.primary(0) < 3 && fixture.primary(0) == fixture.primary(1));
    CPPUNIT_ASSERT(fixture.primary(0) == fixture.primary(2));
    fixture.assert_correct();
  }

  // Guards against promoting a member that does not have all confirmed writes.
  void far_behind_replica_is_not_promoted() {
    Fixture fixture;
    const std::size_t old_primary = fixture.primary();
    fixture.harness.set_replication_delay(fixture.first_replica(), seconds(30));
    fixture.run(seconds(2));
    fixture.harness.set_member_up(old_primary, false);
    fixture.run(seconds(3));
    CPPUNIT_ASSERT_EQUAL((old_primary + 2) % 3, fixture.primary());
    fixture.assert_correct();
  }

  // Guards against a second promotion when the answer to the first one was lost.
  void lost_promotion_answer_does_not_lose_the_promotion() {
    Fixture fixture;
    fixture.harness.lose_next_promote_answer();
    fixture.harness.set_member_up(fixture.primary(), false);
    fixture.run(seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.checker.promotions());
    CPPUNIT_ASSERT(fixture.primary() < 3);
    fixture.assert_correct();
  }

  // Guards against a former primary that keeps records which the group never confirmed.
  void returning_primary_drops_unconfirmed_records() {
    Fixture fixture;
    const std::size_t old_primary = fixture.primary();
    fixture.harness.isolate(old_primary, true);
    fixture.harness.write(old_primary, old_primary);
    fixture.harness.run_for(milliseconds(10));
    const std::uint64_t unconfirmed = fixture.harness.member(old_primary).log().back().id;
    fixture.harness.set_member_up(old_primary, false);
    fixture.run(seconds(3));
    fixture.harness.isolate(old_primary, false);
    fixture.harness.set_member_up(old_primary, true);
    fixture.run(seconds(2));
    const std::vector<std::uint64_t> ids = fixture.harness.member(old_primary).visible();
    CPPUNIT_ASSERT(std::find(ids.begin(), ids.end(), unconfirmed) == ids.end());
    CPPUNIT_ASSERT(fixture.harness.member(old_primary).status().log_term == fixture.checker.newest_term());
    fixture.assert_correct();
  }

  // Guards against a primary that stays in office although a majority of the members is in later terms, so that it can
  // confirm nothing.
  void primary_whose_term_is_superseded_on_a_majority_is_replaced() {
    Fixture fixture;
    const std::size_t first = fixture.first_replica();
    const std::size_t second = (first + 1) % 3;
    fixture.harness.member(first).raise_term(Term(7), HostId("elsewhere"));
    fixture.harness.member(second).raise_term(Term(8), HostId("elsewhere"));
    fixture.run(seconds(3));
    CPPUNIT_ASSERT(fixture.checker.confirmed_since(Term(9)) > 0);
    fixture.assert_correct();
  }

  // Guards against sending work to a member that is leaving.
  void leaving_primary_is_replaced_and_gets_no_reads() {
    Fixture fixture;
    const std::size_t old_primary = fixture.primary();
    GroupConfiguration group = model::make_group(3);
    group.members[old_primary].leaving = true;
    fixture.harness.update_configuration(group);
    const DatabaseGroup& view = fixture.harness.group(old_primary);
    const ReadRequirement requirement{{}, Freshness::kOwnWrites, Duration(0)};
    fixture.run(seconds(2));
    CPPUNIT_ASSERT(fixture.primary() < 3 && fixture.primary() != old_primary);
    const auto choice = choose_reader(view, requirement, {}, {}, false, fixture.harness.now());
    CPPUNIT_ASSERT(choice.has_value() && choice->member != group.members[old_primary].id);
    fixture.assert_correct();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupFailoverTest);

}  // namespace

}  // namespace teaselrudder
