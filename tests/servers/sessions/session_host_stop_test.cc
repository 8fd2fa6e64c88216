// Planned stops of hosts: what becomes of their sessions and statements.
#include <cppunit/extensions/HelperMacros.h>

#include "servers/session_host/session_host.h"
#include "tests/model/session_world.h"
#include "tests/servers/sessions/expect_no_violations.h"

namespace teaselrudder {

namespace {

using model::SessionWorld;

constexpr Duration kSecond = std::chrono::seconds(1);

class SessionHostStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionHostStopTest);
  CPPUNIT_TEST(stop_lets_transactions_end);
  CPPUNIT_TEST(stop_closes_sessions_that_are_never_idle_between_two_statements);
  CPPUNIT_TEST(stop_closes_sessions_that_pipeline_statements_after_the_last_answer);
  CPPUNIT_TEST(stop_ends_transactions_that_are_never_idle);
  CPPUNIT_TEST(stop_answers_what_still_runs_at_its_end);
  CPPUNIT_TEST(stop_refuses_statements_that_may_outlast_it);
  CPPUNIT_TEST(stopping_host_serves_new_sessions_until_the_load_balancer_knows);
  CPPUNIT_TEST(statement_that_arrives_after_the_stop_is_refused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a graceful stop that aborts open transactions at once or never completes.
  void stop_lets_transactions_end() {
    SessionWorld world(2);
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    const std::size_t idle_session = world.open_session(0, SessionWorld::kPrimaryReads);
    const std::size_t unfinished = world.open_session(0, SessionWorld::kPrimaryReads);
    world.send_and_wait(caller, StatementKind::kBegin);
    world.send_and_wait(caller, StatementKind::kWrite);
    world.send_and_wait(unfinished, StatementKind::kBegin);
    world.host(0).begin_stop(world.events().now());
    CPPUNIT_ASSERT(!world.host(0).is_ready());
    world.run_for(std::chrono::milliseconds(2500));
    CPPUNIT_ASSERT(world.caller(idle_session).closed);
    CPPUNIT_ASSERT(!world.send_and_wait(caller, StatementKind::kCommit).error.has_value());
    world.run_for(std::chrono::milliseconds(1500));
    CPPUNIT_ASSERT(world.host(0).is_stopped());
    expect_no_violations(world);
  }

  // Guards against a session that stays open to the end of the grace period because its caller always sends the next
  // statement soon. Its last statements were cut off without an answer.
  void stop_closes_sessions_that_are_never_idle_between_two_statements() {
    SessionWorld world(2);
    std::vector<std::size_t> callers;
    callers.reserve(16);
    for (int index = 0; index < 16; ++index) {
      callers.push_back(world.open_session(0, SessionWorld::kPrimaryReads));
    }
    world.host(0).begin_stop(world.events().now());
    const TimePoint end = world.events().now() + 4 * kSecond;
    while (!world.host(0).is_stopped() && world.events().now() < end) {
      send_if_open(world, callers, StatementKind::kRead);
      world.run_for(std::chrono::milliseconds(20));
    }
    CPPUNIT_ASSERT(world.host(0).is_stopped());
    expect_all_answered(world, callers);
    expect_no_violations(world);
  }

  // Guards against the same for callers that send statements without waiting for the answers.
  void stop_closes_sessions_that_pipeline_statements_after_the_last_answer() {
    SessionWorld world(2);
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    world.host(0).begin_stop(world.events().now());
    const TimePoint end = world.events().now() + kGrace;
    while (!world.host(0).is_stopped() && world.events().now() < end) {
      if (!world.caller(caller).closed && world.caller(caller).sent.size() < 4) {
        world.send(caller, StatementKind::kWrite);
      }
      world.run_for(std::chrono::milliseconds(1));
    }
    CPPUNIT_ASSERT(world.host(0).is_stopped());
    expect_all_answered(world, {caller});
    expect_no_violations(world);
  }

  // Guards against a transaction whose caller always sends the next statement soon: it held the host to the end of the
  // grace period and was cut off.
  void stop_ends_transactions_that_are_never_idle() {
    SessionWorld world(2);
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    world.send_and_wait(caller, StatementKind::kBegin);
    world.host(0).begin_stop(world.events().now());
    const TimePoint began_at = world.events().now();
    while (!world.host(0).is_stopped() && world.events().now() < began_at + kGrace) {
      CPPUNIT_ASSERT_MESSAGE("closed within half of the grace period",
                             !world.caller(caller).closed || world.events().now() >= began_at + kGrace / 2);
      send_if_open(world, {caller}, StatementKind::kWrite);
      world.run_for(std::chrono::milliseconds(1));
    }
    CPPUNIT_ASSERT(world.events().now() < began_at + kGrace / 2 + kSecond);
    expect_all_answered(world, {caller});
    expect_no_violations(world);
  }

  // Guards against statements without an answer at the end of the grace period, and against wrong answers to them.
  void stop_answers_what_still_runs_at_its_end() {
    SessionWorld world(2);
    world.publish_routes(std::chrono::seconds(20));
    world.run_for(kSecond);
    const std::size_t writer = world.open_session(0, SessionWorld::kPrimaryReads);
    const std::size_t reader = world.open_session(0, SessionWorld::kPrimaryReads);
    const std::size_t in_transaction = world.open_session(0, SessionWorld::kPrimaryReads);
    world.send_and_wait(in_transaction, StatementKind::kBegin);
    world.send_and_wait(in_transaction, StatementKind::kWrite);
    world.members().member(0).loses_answers = true;
    world.send(writer, StatementKind::kWrite);
    world.send(writer, StatementKind::kWrite);
    world.send(in_transaction, StatementKind::kCommit);
    world.run_for(std::chrono::milliseconds(100));
    world.members().member(0).busy = true;
    world.send(reader, StatementKind::kWrite);
    world.host(0).begin_stop(world.events().now());
    world.run_for(kGrace - SessionService::kStopMargin + std::chrono::milliseconds(20));
    CPPUNIT_ASSERT(world.host(0).is_stopped());
    expect_all_answered(world, {writer, reader, in_transaction});
    CPPUNIT_ASSERT(world.caller(writer).replies.front().error == StatementErrorCode::kInDoubt);
    CPPUNIT_ASSERT(world.caller(writer).replies.back().error == StatementErrorCode::kBusy);
    CPPUNIT_ASSERT(world.caller(in_transaction).replies.back().error == StatementErrorCode::kInDoubt);
    CPPUNIT_ASSERT(world.caller(reader).replies.back().error == StatementErrorCode::kBusy);
    expect_no_violations(world);
  }

  // Guards against statements that are begun although the host may end before they are answered.
  void stop_refuses_statements_that_may_outlast_it() {
    SessionWorld world(2);
    world.host(0).begin_stop(world.events().now());
    world.run_for(std::chrono::milliseconds(2000));
    const std::size_t late = world.open_session(0, SessionWorld::kPrimaryReads);
    world.run_for(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT(!world.send_and_wait(late, StatementKind::kWrite).error.has_value());
    const std::size_t busy = world.open_session(0, SessionWorld::kPrimaryReads);
    for (int round = 0; round < 100 && !world.caller(busy).closed; ++round) {
      send_if_open(world, {busy}, StatementKind::kWrite);
      world.run_for(std::chrono::milliseconds(5));
    }
    CPPUNIT_ASSERT(world.caller(busy).closed);
    world.publish_routes(std::chrono::seconds(4));
    world.run_for(std::chrono::milliseconds(100));
    const std::size_t refused = world.open_session(0, SessionWorld::kPrimaryReads);
    world.send(refused, StatementKind::kWrite);
    world.send(refused, StatementKind::kBegin);
    world.run_for(std::chrono::milliseconds(50));
    for (const StatementReply& reply : world.caller(refused).replies) {
      CPPUNIT_ASSERT(reply.error == StatementErrorCode::kBusy);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.caller(refused).replies.size());
    CPPUNIT_ASSERT(world.caller(refused).closed);
    expect_no_violations(world);
  }

  // Guards against a host without sessions that ends while the load balancer still routes new ones to it.
  void stopping_host_serves_new_sessions_until_the_load_balancer_knows() {
    SessionWorld world(2);
    world.host(0).begin_stop(world.events().now());
    world.run_for(SessionService::kLoadBalancerNoticeTime - std::chrono::milliseconds(300));
    CPPUNIT_ASSERT(!world.host(0).is_stopped());
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    CPPUNIT_ASSERT(!world.send_and_wait(caller, StatementKind::kWrite).error.has_value());
    world.run_for(kSecond);
    CPPUNIT_ASSERT(world.host(0).is_stopped());
    expect_no_violations(world);
  }

  // Guards against a statement that is begun in the moment between the end of the stop and that of the process, which
  // would cut it off.
  void statement_that_arrives_after_the_stop_is_refused() {
    SessionWorld world(2);
    world.host(0).begin_stop(world.events().now());
    world.run_until([&world] { return world.host(0).is_stopped(); }, kGrace);
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    world.send(caller, StatementKind::kWrite);
    world.run_for(std::chrono::milliseconds(10));
    expect_all_answered(world, {caller});
    CPPUNIT_ASSERT(world.caller(caller).replies.front().error == StatementErrorCode::kBusy);
    expect_no_violations(world);
  }

 private:
  // The default of SessionHostSettings::stop_grace.
  static constexpr Duration kGrace = std::chrono::seconds(6);

  /// Lets each of `callers` whose session is open and that waits for no answer send a statement.
  static void send_if_open(SessionWorld& world, const std::vector<std::size_t>& callers, StatementKind kind) {
    for (const std::size_t caller : callers) {
      if (!world.caller(caller).closed && world.caller(caller).sent.empty()) {
        world.send(caller, kind);
      }
    }
  }

  static void expect_all_answered(SessionWorld& world, const std::vector<std::size_t>& callers) {
    for (const std::size_t caller : callers) {
      CPPUNIT_ASSERT(world.caller(caller).closed);
      CPPUNIT_ASSERT_MESSAGE("a statement got no answer", world.caller(caller).sent.empty());
      CPPUNIT_ASSERT(!world.caller(caller).replies.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionHostStopTest);

}  // namespace

}  // namespace teaselrudder
