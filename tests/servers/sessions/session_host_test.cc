#include "servers/session_host/session_host.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/model/session_world.h"
#include "tests/servers/sessions/expect_no_violations.h"

namespace teaselrudder {

namespace {

using model::SessionWorld;

constexpr Duration kSecond = std::chrono::seconds(1);

class SessionHostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionHostTest);
  CPPUNIT_TEST(hosts_take_leases_and_find_each_other);
  CPPUNIT_TEST(session_reads_its_own_write);
  CPPUNIT_TEST(values_and_prepared_statements_are_kept_per_session);
  CPPUNIT_TEST(prepared_statement_with_a_blank_runs_no_other_statement);
  CPPUNIT_TEST(statement_waits_for_variables_that_the_member_refuses);
  CPPUNIT_TEST(refused_variables_in_a_transaction_abort_it);
  CPPUNIT_TEST(refused_preparation_ends_within_the_timeout);
  CPPUNIT_TEST(transaction_is_atomic);
  CPPUNIT_TEST(busy_member_gets_no_write_twice);
  CPPUNIT_TEST(disconnect_rolls_the_transaction_back);
  CPPUNIT_TEST(write_with_lost_answer_is_reported_in_doubt);
  CPPUNIT_TEST(idle_transaction_is_ended_and_reported);
  CPPUNIT_TEST(writes_resume_after_the_primary_is_lost);
  CPPUNIT_TEST(leaving_primary_is_replaced_before_its_shutdown);
  CPPUNIT_TEST(leaving_members_do_not_take_the_lead_in_turn);
  CPPUNIT_TEST(planned_replacement_waits_for_replication_of_the_last_commits);
  CPPUNIT_TEST(primary_is_not_replaced_for_commits_without_a_waiting_caller);
  CPPUNIT_TEST(failover_works_with_reports_on_many_groups);
  CPPUNIT_TEST(second_replacement_keeps_commits_of_the_previous_term);
  CPPUNIT_TEST(replica_without_commits_of_a_lost_replica_is_not_promoted);
  CPPUNIT_TEST(late_promotion_does_not_undo_a_newer_one);
  CPPUNIT_TEST(no_promotion_after_a_replica_left_while_the_primary_was_unreachable);
  CPPUNIT_TEST(former_primary_with_the_complete_log_is_promoted_again);
  CPPUNIT_TEST(replicas_that_a_lost_duty_holder_stopped_receive_again_in_time);
  CPPUNIT_TEST(no_promotion_while_an_unknown_replica_may_hold_commits);
  CPPUNIT_TEST(primary_with_stalled_commits_is_kept_while_a_replica_may_be_unknown);
  CPPUNIT_TEST(duty_holder_that_alone_cannot_reach_the_store_loses_the_duty);
  CPPUNIT_TEST(working_primary_is_not_replaced);
  CPPUNIT_TEST(unknown_database_is_refused_only_with_a_current_routing_table);
  CPPUNIT_TEST(older_configuration_is_ignored);
  CPPUNIT_TEST(store_is_listed_again_after_its_history_was_compacted);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an event loop that schedules no tick if the next one is in the past. No lease was ever taken then,
  // and each host opened as many connections as if it were the only one.
  void hosts_take_leases_and_find_each_other() {
    SessionWorld world(3);
    for (const char* key : {"hosts/host0", "hosts/host1", "hosts/host2", "duties/failover"}) {
      CPPUNIT_ASSERT_MESSAGE(key, world.store().has(key));
    }
    world.run_for(kSecond);
    for (std::size_t host = 0; host < 3; ++host) {
      CPPUNIT_ASSERT(world.host(host).metrics(world.events().now()).find("known_hosts 3") != std::string::npos);
    }
  }

  // Guards against a read on a replica that has not yet applied the session's last commit.
  void session_reads_its_own_write() {
    SessionWorld world(2);
    const std::size_t caller = world.open_session(0, SessionWorld::kOwnReads);
    world.members().member(1).lag = kSecond;
    world.members().member(2).lag = kSecond;
    for (int round = 0; round < 20; ++round) {
      CPPUNIT_ASSERT(!world.send_and_wait(caller, StatementKind::kWrite).error.has_value());
      CPPUNIT_ASSERT(!world.send_and_wait(caller, StatementKind::kRead).error.has_value());
    }
    expect_no_violations(world);
  }

  // Guards against session variables or prepared statements of one session that are visible to another one on a shared
  // connection.
  void values_and_prepared_statements_are_kept_per_session() {
    SessionWorld world(1);
    std::vector<std::size_t> callers;
    for (int index = 0; index < 6; ++index) {
      callers.push_back(world.open_session(0, SessionWorld::kOwnReads));
      const std::string value = std::to_string(index % 3);
      if (index > 0) {
        world.send_and_wait(callers.back(), StatementKind::kSetValue, "v" + value, value);
      }
      world.send_and_wait(callers.back(), StatementKind::kPrepare, "p", "shape" + value);
    }
    for (int round = 0; round < 10; ++round) {
      for (const std::size_t caller : callers) {
        world.send(caller, StatementKind::kExecute, "p");
      }
      world.run_for(std::chrono::milliseconds(100));
    }
    world.send_and_wait(callers[1], StatementKind::kDeallocate, "p");
    const StatementReply reply_after_deallocate = world.send_and_wait(callers[1], StatementKind::kExecute, "p");
    CPPUNIT_ASSERT(reply_after_deallocate.error == StatementErrorCode::kNotPrepared);
    expect_no_violations(world);
  }

  // Guards against a name on the connection that is built from the statement: the member ends it at the first blank and
  // runs the statement of another session that has the name up to there.
  void prepared_statement_with_a_blank_runs_no_other_statement() {
    SessionWorld world(1);
    for (const char* shape : {"q", "q by_room", "q by_room by_day", "q ", "", " "}) {
      for (const StatementAccess access : {StatementAccess::kRead, StatementAccess::kWrite}) {
        const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
        world.send_and_wait(caller, StatementKind::kPrepare, "p", shape, access);
        CPPUNIT_ASSERT(!world.send_and_wait(caller, StatementKind::kExecute, "p", "x", access).error.has_value());
      }
    }
    expect_no_violations(world);
  }

  // Guards against a statement that runs with the variables of another session, because the member refused the commands
  // sent ahead of it.
  void statement_waits_for_variables_that_the_member_refuses() {
    SessionWorld world(1);
    const std::size_t plain = world.open_session(0, SessionWorld::kPrimaryReads);
    const std::size_t with_variable = world.open_session(0, SessionWorld::kPrimaryReads);
    world.send_and_wait(with_variable, StatementKind::kSetValue, "room", "7");
    world.send_and_wait(with_variable, StatementKind::kWrite);
    for (const bool refuses : {true, false}) {
      world.members().member(0).refuses_setup = refuses;
      for (const std::size_t caller : {plain, with_variable}) {
        for (const StatementKind kind : {StatementKind::kRead, StatementKind::kWrite}) {
          world.send_and_wait(caller, kind);
        }
      }
      world.run_for(kSecond);
    }
    CPPUNIT_ASSERT(!world.send_and_wait(plain, StatementKind::kWrite).error.has_value());
    CPPUNIT_ASSERT(!world.send_and_wait(with_variable, StatementKind::kWrite).error.has_value());
    expect_no_violations(world);
  }

  // Guards against a transaction that goes on with other variables than its session has set, or that begins again after
  // one of its statements has run.
  void refused_variables_in_a_transaction_abort_it() {
    SessionWorld world(1);
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    for (const StatementKind last : {StatementKind::kWrite, StatementKind::kCommit}) {
      world.send_and_wait(caller, StatementKind::kBegin);
      CPPUNIT_ASSERT(!world.send_and_wait(caller, StatementKind::kWrite).error.has_value());
      world.members().member(0).refuses_setup = true;
      world.send_and_wait(caller, StatementKind::kSetValue, "room", last == StatementKind::kWrite ? "7" : "8");
      CPPUNIT_ASSERT(world.send_and_wait(caller, last).error == StatementErrorCode::kAborted);
      world.members().member(0).refuses_setup = false;
      if (world.caller(caller).state != TransactionState::kIdle) {
        world.send_and_wait(caller, StatementKind::kRollback);
      }
    }
    CPPUNIT_ASSERT(!world.send_and_wait(caller, StatementKind::kWrite).error.has_value());
    expect_no_violations(world);
  }

  // Guards against a statement that is prepared again without end, and against the answer that its name is unknown
  // although its preparation was acknowledged.
  void refused_preparation_ends_within_the_timeout() {
    SessionWorld world(1);
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    world.send_and_wait(caller, StatementKind::kPrepare, "p", "q", StatementAccess::kWrite);
    world.members().member(0).refuses_setup = true;
    const StatementReply single =
        world.send_and_wait(caller, StatementKind::kExecute, "p", "x", StatementAccess::kWrite);
    CPPUNIT_ASSERT(single.error == StatementErrorCode::kBusy);
    world.send_and_wait(caller, StatementKind::kBegin);
    world.members().member(0).refuses_setup = false;
    CPPUNIT_ASSERT(!world.send_and_wait(caller, StatementKind::kWrite).error.has_value());
    world.members().member(0).refuses_setup = true;
    const StatementReply in_transaction =
        world.send_and_wait(caller, StatementKind::kExecute, "p", "x", StatementAccess::kWrite);
    CPPUNIT_ASSERT(in_transaction.error == StatementErrorCode::kAborted);
    CPPUNIT_ASSERT(world.counters(0).value("session_setups_failed") < 50);
    expect_no_violations(world);
  }

  // Guards against statements of one transaction that run on different connections, and against a transaction that
  // takes effect without a commit.
  void transaction_is_atomic() {
    SessionWorld world(1);
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    CPPUNIT_ASSERT(world.send_and_wait(caller, StatementKind::kBegin).state == TransactionState::kOpen);
    world.send_and_wait(caller, StatementKind::kWrite);
    world.send_and_wait(caller, StatementKind::kRead);
    CPPUNIT_ASSERT(world.send_and_wait(caller, StatementKind::kCommit).state == TransactionState::kIdle);
    world.send_and_wait(caller, StatementKind::kBegin);
    world.send_and_wait(caller, StatementKind::kWrite);
    const std::string rolled_back = "s" + std::to_string(6);
    world.send_and_wait(caller, StatementKind::kRollback);
    world.run_for(kSecond);
    CPPUNIT_ASSERT(!world.members().is_committed(rolled_back));
    expect_no_violations(world);
  }

  // Guards against a second execution of a running write. A tick collects all expired timers and handles them in turn.
  // The second execution occurred when handling one timer assigned another statement to a connection, and the outdated
  // timer of this statement was handled afterwards.
  void busy_member_gets_no_write_twice() {
    SessionWorld world(1);
    std::vector<std::size_t> callers;
    callers.reserve(12);
    for (int index = 0; index < 12; ++index) {
      callers.push_back(world.open_session(0, SessionWorld::kPrimaryReads));
    }
    for (int round = 0; round < 30; ++round) {
      world.members().member(0).busy = true;
      for (const std::size_t caller : callers) {
        world.send(caller, StatementKind::kWrite);
      }
      world.run_for(std::chrono::milliseconds(20 + round));
      world.members().member(0).busy = false;
      world.run_for(std::chrono::milliseconds(300));
    }
    expect_no_violations(world);
  }

  // Guards against a connection that keeps the open transaction of a caller that has disconnected.
  void disconnect_rolls_the_transaction_back() {
    SessionWorld world(1);
    for (int round = 0; round < 12; ++round) {
      const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
      world.send_and_wait(caller, StatementKind::kBegin);
      world.send_and_wait(caller, StatementKind::kWrite);
      world.disconnect(caller);
      world.run_for(std::chrono::milliseconds(20));
    }
    const std::size_t last = world.open_session(0, SessionWorld::kPrimaryReads);
    CPPUNIT_ASSERT(!world.send_and_wait(last, StatementKind::kWrite).error.has_value());
    expect_no_violations(world);
  }

  // Guards against a definite answer to a write whose reply was lost after it took effect.
  void write_with_lost_answer_is_reported_in_doubt() {
    SessionWorld world(1);
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    world.send_and_wait(caller, StatementKind::kWrite);
    world.members().member(0).loses_answers = true;
    const StatementReply reply = world.send_and_wait(caller, StatementKind::kWrite);
    CPPUNIT_ASSERT(reply.error == StatementErrorCode::kInDoubt);
    expect_no_violations(world);
  }

  // Guards against callers that occupy a connection for too long because they are idle within a transaction.
  void idle_transaction_is_ended_and_reported() {
    SessionWorld world(1);
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    world.send_and_wait(caller, StatementKind::kBegin);
    world.send_and_wait(caller, StatementKind::kWrite);
    world.run_for(4 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, world.counters(0).value("transactions_ended_idle"));
    CPPUNIT_ASSERT(world.send_and_wait(caller, StatementKind::kWrite).error == StatementErrorCode::kAborted);
    CPPUNIT_ASSERT(world.send_and_wait(caller, StatementKind::kRollback).state == TransactionState::kIdle);
    CPPUNIT_ASSERT(!world.send_and_wait(caller, StatementKind::kWrite).error.has_value());
    expect_no_violations(world);
  }

  // Guards against a lost primary that is not replaced, whether it crashes or becomes unreachable. Writes must resume
  // within 7 s.
  void writes_resume_after_the_primary_is_lost() {
    for (const bool unreachable : {false, true}) {
      SessionWorld world(3);
      const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
      world.send_and_wait(caller, StatementKind::kWrite);
      world.members().crash(0, unreachable);
      const TimePoint lost_at = world.events().now();
      bool served = false;
      while (!served && world.events().now() < lost_at + 10 * kSecond) {
        served = !world.send_and_wait(caller, StatementKind::kWrite).error.has_value();
      }
      CPPUNIT_ASSERT(served);
      CPPUNIT_ASSERT(world.events().now() < lost_at + 7 * kSecond);
      expect_no_violations(world);
    }
  }

  // Guards against a planned shutdown of the primary that loses commits or interrupts writes for seconds.
  void leaving_primary_is_replaced_before_its_shutdown() {
    SessionWorld world(3);
    const std::size_t caller = world.open_session(1, SessionWorld::kPrimaryReads);
    world.send_and_wait(caller, StatementKind::kWrite);
    world.members().member(0).entry.leaving = true;
    world.publish_members();
    const TimePoint leaving_since = world.events().now();
    int failed = 0;
    while (world.events().now() < leaving_since + 3 * kSecond) {
      failed += world.send_and_wait(caller, StatementKind::kWrite).error.has_value() ? 1 : 0;
    }
    CPPUNIT_ASSERT(world.members().primary() != 0);
    CPPUNIT_ASSERT(failed <= 1);
    expect_no_violations(world);
  }

  // Guards against a group whose members are all leaving and that spends its last seconds in planned replacements.
  void leaving_members_do_not_take_the_lead_in_turn() {
    SessionWorld world(3);
    const std::size_t caller = world.open_session(1, SessionWorld::kPrimaryReads);
    for (std::size_t index = 0; index < world.members().size(); ++index) {
      world.members().member(index).entry.leaving = true;
      world.publish_members();
      world.run_for(std::chrono::milliseconds(200));
    }
    const TimePoint all_leaving_since = world.events().now();
    while (world.events().now() < all_leaving_since + 5 * kSecond) {
      world.send_and_wait(caller, StatementKind::kWrite);
    }
    CPPUNIT_ASSERT(world.members().promotions() <= 2);
    expect_no_violations(world);
  }

  // Guards against replicas that are stopped while the last commits of a primary that steps down are still being
  // replicated. No replica then has the complete log, so the leaving primary is promoted again, and the next attempt
  // has the same problem.
  void planned_replacement_waits_for_replication_of_the_last_commits() {
    for (int offset = 0; offset < 40; offset += 4) {
      SessionWorld world(3);
      // Replication is slower than the commands of the replacement.
      world.members().replication_delay = std::chrono::milliseconds(20);
      const std::vector<std::size_t> callers = world.open_sessions(SessionWorld::kPrimaryReads);
      world.send_and_wait(callers[0], StatementKind::kWrite);
      world.run_for(std::chrono::milliseconds(offset));
      world.members().member(0).entry.leaving = true;
      world.publish_members();
      for (const TimePoint end = world.events().now() + 3 * kSecond; world.events().now() < end;) {
        for (const std::size_t caller : callers) {
          if (world.caller(caller).sent.empty()) {
            world.send(caller, StatementKind::kWrite);
          }
        }
        world.run_for(std::chrono::milliseconds(1));
      }
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, world.members().promotions());
      expect_no_violations(world);
    }
  }

  // Guards against the replacement of a healthy primary because hosts still count unanswered commits for which no
  // caller waits any more.
  void primary_is_not_replaced_for_commits_without_a_waiting_caller() {
    SessionWorld world(3);
    const std::vector<std::size_t> callers = world.open_sessions(SessionWorld::kPrimaryReads);
    for (const std::size_t caller : callers) {
      world.send_and_wait(caller, StatementKind::kWrite);
    }
    // Two hosts lose one answer each, some time apart, and nothing else is written.
    for (const std::size_t caller : {callers[0], callers[1]}) {
      world.members().member(0).loses_answers = true;
      world.send(caller, StatementKind::kWrite);
      world.run_for(std::chrono::milliseconds(1000));
      world.members().member(0).loses_answers = false;
      world.run_for(std::chrono::milliseconds(1500));
    }
    world.run_for(3 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.members().promotions());
    expect_no_violations(world);
  }

  // Guards against reports on all groups that do not fit into a datagram, so that hosts get no reports. With about 90
  // groups this caused 71 to 240 promotions of healthy primaries, and with more groups there was no failover at all.
  void failover_works_with_reports_on_many_groups() {
    SessionWorld world(3);
    world.idle_groups = 200;
    world.publish_routes();
    const std::size_t caller = world.open_session(1, SessionWorld::kPrimaryReads);
    world.run_for(3 * kSecond);
    CPPUNIT_ASSERT(!world.send_and_wait(caller, StatementKind::kWrite).error.has_value());
    world.members().crash(0, true);
    const TimePoint lost_at = world.events().now();
    bool served = false;
    while (!served && world.events().now() < lost_at + 10 * kSecond) {
      served = !world.send_and_wait(caller, StatementKind::kWrite).error.has_value();
    }
    CPPUNIT_ASSERT(served);
    CPPUNIT_ASSERT(world.events().now() < lost_at + 7 * kSecond);
    expect_no_violations(world);
  }

  // Guards against the promotion of a replica that lacks commits of the previous term, which the current primary
  // brought with it when it was promoted.
  void second_replacement_keeps_commits_of_the_previous_term() {
    SessionWorld world(3);
    const std::vector<std::size_t> callers = world.open_sessions(SessionWorld::kPrimaryReads);
    world.members().member(2).receives_no_log = true;
    for (int round = 0; round < 10; ++round) {
      world.send_and_wait(callers[0], StatementKind::kWrite);
    }
    world.members().crash(0, true);
    world.publish_members();
    for (int round = 0; round < 30; ++round) {
      for (const std::size_t caller : callers) {
        world.send(caller, StatementKind::kWrite);
      }
      world.run_for(std::chrono::milliseconds(300));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.members().primary());
    world.members().member(2).receives_no_log = false;
    world.members().restart(0);
    world.run_for(3 * kSecond);
    CPPUNIT_ASSERT(!world.send_and_wait(callers[0], StatementKind::kWrite).error.has_value());
    expect_no_violations(world);
  }

  // Guards against the promotion of a replica that receives no log, after the only other replica has left with the last
  // acknowledged commits.
  void replica_without_commits_of_a_lost_replica_is_not_promoted() {
    SessionWorld world(3);
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    world.send_and_wait(caller, StatementKind::kWrite);
    world.members().member(2).receives_no_log = true;
    for (int round = 0; round < 5; ++round) {
      CPPUNIT_ASSERT(!world.send_and_wait(caller, StatementKind::kWrite).error.has_value());
    }
    world.members().crash(1, false);
    world.publish_members();
    world.run_for(kSecond);
    world.members().crash(0, true);
    world.run_for(10 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.members().promotions());
    expect_no_violations(world);
  }

  // Guards against an unanswered promotion order that is carried out seconds later, after another member has been
  // promoted with the same token.
  void late_promotion_does_not_undo_a_newer_one() {
    SessionWorld world(3);
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    world.send_and_wait(caller, StatementKind::kWrite);
    world.members().delayed_promotions = 1;
    world.members().member(0).entry.leaving = true;
    world.publish_members();
    world.run_for(4 * kSecond);
    const std::size_t second = world.members().primary();
    CPPUNIT_ASSERT(second != 0);
    world.members().member(0).entry.leaving = false;
    world.members().member(second).entry.leaving = true;
    world.publish_members();
    world.run_for(2 * kSecond);
    CPPUNIT_ASSERT(world.members().primary() != second);
    for (int round = 0; round < 50; ++round) {
      world.send_and_wait(caller, StatementKind::kWrite);
      world.run_for(std::chrono::milliseconds(100));
    }
    const std::size_t last = world.members().primary();
    CPPUNIT_ASSERT(last != second);
    CPPUNIT_ASSERT_EQUAL(Term(3), world.members().member(last).term);
    expect_no_violations(world);
  }

  // Guards against a replica that leaves during a partition with commits that no other replica has. The primary has not
  // answered since, so it is unknown what it acknowledged because of this replica.
  void no_promotion_after_a_replica_left_while_the_primary_was_unreachable() {
    SessionWorld world(3);
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    world.send_and_wait(caller, StatementKind::kWrite);
    world.run_for(kSecond);
    world.drops_reports = true;
    world.members().member(2).receives_no_log = true;
    for (int round = 0; round < 5; ++round) {
      CPPUNIT_ASSERT(!world.send_and_wait(caller, StatementKind::kWrite).error.has_value());
    }
    world.kill_host(0);
    world.members().crash(0, true);
    world.members().crash(1, false);
    world.store().publish(MemberRemoved{MemberId("m1")});
    world.run_for(kSecond);
    world.drops_reports = false;
    world.run_for(15 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.members().promotions());
    expect_no_violations(world);
  }

  // Guards against a group that never gets a primary again, because its former primary no longer has that role and no
  // other member has the complete log.
  void former_primary_with_the_complete_log_is_promoted_again() {
    SessionWorld world(3);
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    world.members().member(2).receives_no_log = true;
    for (int round = 0; round < 5; ++round) {
      CPPUNIT_ASSERT(!world.send_and_wait(caller, StatementKind::kWrite).error.has_value());
    }
    world.members().crash(1, false);
    world.publish_members();
    world.run_for(kSecond);
    world.members().member(0).is_primary = false;
    world.run_for(8 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.members().primary());
    expect_no_violations(world);
  }

  // Guards against a group that acknowledges no commit for 15 s, because a holder of the duty was lost after it had
  // stopped the replicas and before it promoted one. The next holder could not exclude that an order was on its way.
  void replicas_that_a_lost_duty_holder_stopped_receive_again_in_time() {
    SessionWorld world(3);
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    CPPUNIT_ASSERT(!world.send_and_wait(caller, StatementKind::kWrite).error.has_value());
    // The new primary has commits of its term only after the replicas have stopped, so none of them can replace it.
    world.members().member(0).entry.leaving = true;
    world.publish_members();
    world.run_until([&world] { return world.members().primary() != 0; }, 3 * kSecond);
    world.members().member(0).entry.leaving = false;
    world.publish_members();
    world.run_for(2 * kSecond);
    const std::size_t primary = world.members().primary();
    for (std::size_t member = 0; member < world.members().size(); ++member) {
      world.members().member(member).stopped_below = member == primary ? Term(0) : Term(9);
    }
    const TimePoint stopped_at = world.events().now();
    while (world.send_and_wait(caller, StatementKind::kWrite).error.has_value()) {
      CPPUNIT_ASSERT(world.events().now() < stopped_at + 7 * kSecond);
    }
    expect_no_violations(world);
  }

  // Guards against a replacement that overlooks a replica whose entry could not be read while the store was
  // unreachable, and which alone holds the last acknowledged commits.
  void no_promotion_while_an_unknown_replica_may_hold_commits() {
    SessionWorld world(3);
    acknowledge_through_an_unknown_replica(world);
    world.members().crash(0, true);
    world.members().crash(1, true);
    world.run_for(10 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.members().promotions());
    expect_no_violations(world);
  }

  // Guards against a primary that still answers and steps down because its commits stall, although no replica may be
  // promoted: a replica whose entry the hosts cannot read may hold acknowledged commits that the known ones lack.
  void primary_with_stalled_commits_is_kept_while_a_replica_may_be_unknown() {
    SessionWorld world(3);
    const std::vector<std::size_t> callers = acknowledge_through_an_unknown_replica(world);
    world.members().crash(1, true);
    for (int round = 0; round < 40; ++round) {
      for (const std::size_t caller : callers) {
        if (world.caller(caller).sent.empty()) {
          world.send(caller, StatementKind::kWrite);
        }
      }
      world.run_for(std::chrono::milliseconds(250));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.members().primary());
    expect_no_violations(world);
  }

  // Guards against two hosts that replace primaries at the same time. A holder of the duty that alone cannot reach the
  // store assumed that no host could.
  void duty_holder_that_alone_cannot_reach_the_store_loses_the_duty() {
    SessionWorld world(3);
    const std::size_t duty_holder = world.duty_holder();
    world.store().unreachable_hosts = {duty_holder};
    world.run_for(6 * kSecond);
    int holders = 0;
    for (std::size_t host = 0; host < 3; ++host) {
      holders += world.holds_failover_duty(host) ? 1 : 0;
    }
    CPPUNIT_ASSERT(!world.holds_failover_duty(duty_holder));
    CPPUNIT_ASSERT_EQUAL(1, holders);
  }

  // Guards against promotions although the primary works, in particular while the store is unreachable and replicas are
  // behind.
  void working_primary_is_not_replaced() {
    SessionWorld world(3);
    const std::size_t caller = world.open_session(0, SessionWorld::kBoundedReads);
    world.members().member(1).lag = 2 * kSecond;
    world.members().member(2).receives_no_log = true;
    for (int round = 0; round < 40; ++round) {
      world.store().down = round > 10 && round < 30;
      world.send_and_wait(caller, round % 5 == 0 ? StatementKind::kWrite : StatementKind::kRead);
      world.run_for(std::chrono::milliseconds(200));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.members().promotions());
    expect_no_violations(world);
  }

  // Guards against the error NODB from a host whose configuration may be outdated.
  void unknown_database_is_refused_only_with_a_current_routing_table() {
    SessionWorld world(1);
    const std::size_t rejected_session = world.open_session(0, DatabaseName("nowhere"));
    world.run_for(std::chrono::milliseconds(50));
    CPPUNIT_ASSERT(world.caller(rejected_session).rejection == StatementErrorCode::kUnknownDatabase);
    world.store().down = true;
    world.run_for(4 * kSecond);
    const std::size_t undecided_session = world.open_session(0, DatabaseName("nowhere"));
    world.run_for(3 * kSecond);
    CPPUNIT_ASSERT(!world.caller(undecided_session).rejection.has_value());
    CPPUNIT_ASSERT(world.caller(undecided_session).closed);
  }

  // Guards against an older configuration that arrives late and replaces a newer one.
  void older_configuration_is_ignored() {
    SessionWorld world(1);
    world.publish_routes();
    world.run_for(kSecond);
    const ConfigurationVersion newest = world.host(0).sessions().version();
    RoutingTable old;
    old.version = ConfigurationVersion(1);
    world.host(0).sessions().on_routing_changed(old, world.events().now());
    CPPUNIT_ASSERT(world.host(0).sessions().version() == newest);
  }

  // Guards against a host that misses changes because the store compacted its history meanwhile.
  void store_is_listed_again_after_its_history_was_compacted() {
    SessionWorld world(1);
    world.store().unreachable_hosts = {0};
    world.run_for(2 * kSecond);
    world.publish_routes();
    world.store().drop_history();
    world.store().unreachable_hosts = {};
    world.run_for(3 * kSecond);
    CPPUNIT_ASSERT(world.host(0).sessions().version() == ConfigurationVersion(2));
  }

 private:
  /// Opens a session at each host and lets commits be acknowledged because of replica 1 alone, whose entry the hosts
  /// cannot read.
  static std::vector<std::size_t> acknowledge_through_an_unknown_replica(SessionWorld& world) {
    std::vector<std::size_t> callers = world.open_sessions(SessionWorld::kPrimaryReads);
    world.members().crash(1, false);
    world.publish_members();
    world.run_for(kSecond);
    world.send_and_wait(callers[0], StatementKind::kWrite);
    world.store().down = true;
    world.run_for(3 * kSecond);
    world.members().restart(1);
    world.members().member(2).receives_no_log = true;
    for (int round = 0; round < 5; ++round) {
      CPPUNIT_ASSERT(!world.send_and_wait(callers[0], StatementKind::kWrite).error.has_value());
    }
    return callers;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionHostTest);

}  // namespace

}  // namespace teaselrudder
