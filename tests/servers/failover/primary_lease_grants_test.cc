#include "servers/failover/primary_lease_grants.h"

#include <cppunit/extensions/HelperMacros.h>

namespace teaselrudder {

namespace {

constexpr TimePoint kBegin{std::chrono::hours(1)};
const GroupLeader kFirst{MemberId("m0"), Term(1)};
const GroupLeader kSecond{MemberId("m1"), Term(2)};
const GroupLeader kThird{MemberId("m2"), Term(3)};

class PrimaryLeaseGrantsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PrimaryLeaseGrantsTest);
  CPPUNIT_TEST(leader_is_announced_only_after_the_last_lease_has_ended);
  CPPUNIT_TEST(no_lease_is_granted_while_a_leader_waits);
  CPPUNIT_TEST(new_holder_waits_out_the_leases_of_the_former_one);
  CPPUNIT_TEST(leader_of_an_announced_or_older_term_is_dropped);
  CPPUNIT_TEST(lease_needs_a_confirmation_since_the_duty_began);
  CPPUNIT_TEST(confirmation_does_not_outlive_a_denial);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a commit in a new term while some host may still read at the old primary.
  void leader_is_announced_only_after_the_last_lease_has_ended() {
    PrimaryLeaseGrants grants(kBegin);
    const TimePoint granted_at = kBegin + std::chrono::seconds(10);
    grants.on_leader_confirmed(kFirst, kBegin);
    grants.grant(kFirst, granted_at);
    CPPUNIT_ASSERT(grants.granted_until() == granted_at + PrimaryLeaseGrants::kTimeToLive);
    grants.on_leader_found(kSecond, Term(1));
    const TimePoint end = granted_at + PrimaryLeaseGrants::kTimeToLive + PrimaryLeaseGrants::kClockMargin;
    CPPUNIT_ASSERT(!grants.take_leader(Term(1), end - Duration(1)).has_value());
    CPPUNIT_ASSERT(grants.take_leader(Term(1), end) == kSecond);
    CPPUNIT_ASSERT(!grants.take_leader(Term(2), end).has_value());
  }

  // Guards against leases that are renewed while a new leader waits for them to end, which would delay it forever.
  void no_lease_is_granted_while_a_leader_waits() {
    PrimaryLeaseGrants grants(kBegin);
    const TimePoint granted_at = kBegin + std::chrono::seconds(10);
    grants.on_leader_confirmed(kFirst, kBegin);
    grants.grant(kFirst, granted_at);
    grants.on_leader_found(kSecond, Term(1));
    grants.grant(kFirst, granted_at + std::chrono::milliseconds(500));
    CPPUNIT_ASSERT(grants.granted_until() == granted_at + PrimaryLeaseGrants::kTimeToLive);
  }

  // Guards against a new holder of the duty that does not know which leases its predecessor granted.
  void new_holder_waits_out_the_leases_of_the_former_one() {
    PrimaryLeaseGrants grants(kBegin);
    grants.on_leader_confirmed(kFirst, kBegin);
    grants.grant(kFirst, kBegin);
    CPPUNIT_ASSERT_MESSAGE("granted before reports could tell of a newer leader", !grants.granted_until().has_value());
    grants.on_leader_found(kSecond, Term(1));
    const TimePoint end = kBegin + PrimaryLeaseGrants::kTakeoverWait;
    CPPUNIT_ASSERT(!grants.take_leader(Term(1), end - Duration(1)).has_value());
    CPPUNIT_ASSERT(grants.take_leader(Term(1), end) == kSecond);
  }

  // Guards against a former primary that is announced again by its own late report.
  void leader_of_an_announced_or_older_term_is_dropped() {
    PrimaryLeaseGrants grants(kBegin);
    const TimePoint late = kBegin + std::chrono::minutes(1);
    grants.on_leader_found(kSecond, Term(2));
    CPPUNIT_ASSERT(!grants.unannounced().has_value());
    grants.on_leader_found(kThird, Term(2));
    grants.on_leader_found({MemberId("m0"), Term(1)}, Term(2));
    CPPUNIT_ASSERT(grants.unannounced() == kThird);
    CPPUNIT_ASSERT_MESSAGE("another host has announced the term", !grants.take_leader(Term(3), late).has_value());
    CPPUNIT_ASSERT(!grants.unannounced().has_value());
  }

  // Guards against a lease on a primary of whose replacement only hosts out of reach have heard.
  void lease_needs_a_confirmation_since_the_duty_began() {
    PrimaryLeaseGrants grants(kBegin);
    const TimePoint later = kBegin + std::chrono::seconds(1);
    grants.grant(kFirst, later);
    CPPUNIT_ASSERT(!grants.granted_until().has_value());
    grants.on_leader_confirmed(kFirst, kBegin - Duration(1));
    grants.on_leader_confirmed({MemberId("m1"), kFirst.term}, later);
    grants.grant(kFirst, later);
    CPPUNIT_ASSERT(!grants.granted_until().has_value());
    grants.on_leader_confirmed(kFirst, later);
    grants.grant({kFirst.member, Term(2)}, later);
    CPPUNIT_ASSERT(!grants.granted_until().has_value());
    grants.grant(kFirst, later);
    CPPUNIT_ASSERT(grants.granted_until() == later + PrimaryLeaseGrants::kTimeToLive);
  }

  // Guards against a lease on a member that has reported to be a replica, because of an older answer that arrives
  // later.
  void confirmation_does_not_outlive_a_denial() {
    PrimaryLeaseGrants grants(kBegin);
    const TimePoint asked_at = kBegin + std::chrono::seconds(1);
    grants.on_leader_confirmed(kFirst, asked_at);
    grants.on_leader_denied(kFirst.member, asked_at);
    CPPUNIT_ASSERT(!grants.is_confirmed(kFirst));
    grants.on_leader_confirmed(kFirst, asked_at - Duration(1));
    CPPUNIT_ASSERT(!grants.is_confirmed(kFirst));
    grants.on_leader_denied(MemberId("m1"), asked_at + Duration(2));
    grants.on_leader_confirmed(kFirst, asked_at + Duration(1));
    CPPUNIT_ASSERT(grants.is_confirmed(kFirst));
    grants.on_leader_confirmed(kThird, asked_at + Duration(3));
    grants.on_leader_confirmed(kFirst, asked_at + Duration(4));
    CPPUNIT_ASSERT(grants.is_confirmed(kThird));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrimaryLeaseGrantsTest);

}  // namespace

}  // namespace teaselrudder
