#include "servers/explain/log_explainer.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <sstream>

#include "tests/model/session_world.h"

namespace teaselrudder {

namespace {

using model::SessionWorld;

constexpr Duration kSecond = std::chrono::seconds(1);

/// Each test simulates a failure and checks the cause that is derived from the hosts' logs alone.
class LogExplainerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogExplainerTest);
  CPPUNIT_TEST(events_round_trip_through_text);
  CPPUNIT_TEST(malformed_lines_are_counted_and_skipped);
  CPPUNIT_TEST(names_a_lost_answer);
  CPPUNIT_TEST(names_an_isolated_host);
  CPPUNIT_TEST(names_missing_evidence);
  CPPUNIT_TEST(names_lagging_replicas);
  CPPUNIT_TEST(names_a_failover);
  CPPUNIT_TEST(names_an_unreachable_primary);
  CPPUNIT_TEST(names_a_member_without_free_slots);
  CPPUNIT_TEST(names_the_connection_limit);
  CPPUNIT_TEST(names_a_lost_connection);
  CPPUNIT_TEST(names_an_unavailable_store);
  CPPUNIT_TEST(names_a_restored_store);
  CPPUNIT_TEST(timeline_shows_a_failover_across_hosts);
  CPPUNIT_TEST(unknown_request_is_not_found);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against values that change when an event is formatted and parsed again, for example because of quoting.
  void events_round_trip_through_text() {
    CPPUNIT_ASSERT(rc::check([](const std::map<std::string, std::string>& values) {
      LogFields fields;
      for (const auto& [name, value] : values) {
        fields.emplace_back("f" + std::to_string(fields.size()), name + value);
      }
      const auto line = parse_event_line("time=2026-01-01T00:00:00.000 level=info " + format_event("any", fields));
      RC_ASSERT(line.has_value());
      RC_ASSERT(line->event == "any");
      for (const auto& [name, value] : fields) {
        RC_ASSERT(line->field(name) == value);
      }
    }));
  }

  // Guards against a log that cannot be used at all because it has a truncated line or lines of other programs.
  void malformed_lines_are_counted_and_skipped() {
    std::istringstream text(
        "some other program\n"
        "time=2026-01-01T00:00:00.001 level=info event=started host=h1\n"
        "time=2026-01-01T00:00:00.002 level=info event=refused request=r1 cause=\"cut\n"
        "  -9.96 h2 time=2026-01-01T00:00:00.000 level=info event=readiness ready=yes\n"
        "time=2026-01-01T00:00:00.003 level=info event=refused request=r2 code=busy ran=no\n");
    LogArchive logs;
    logs.add("file", text);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, logs.bad_lines().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, logs.lines().size());
    CPPUNIT_ASSERT_EQUAL(std::string("h2"), logs.lines().front().host);
    CPPUNIT_ASSERT_EQUAL(std::string("h1"), logs.lines().back().host);
  }

  void names_a_lost_answer() {
    SessionWorld world(3);
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    world.members().member(0).loses_answers = true;
    world.send_and_wait(caller, StatementKind::kWrite);
    expect_cause(world, caller, "did not answer in time; the write had been sent");
  }

  void names_an_isolated_host() {
    SessionWorld world(5);
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    world.isolate({0}, {});
    world.send_and_wait(caller, StatementKind::kRead);
    while (world.host(0).is_ready()) {
      world.run_for(std::chrono::milliseconds(50));
    }
    const std::size_t second = world.open_session(0, SessionWorld::kPrimaryReads);
    world.send_and_wait(second, StatementKind::kRead);
    expect_cause(world, second, "the host was isolated");
  }

  void names_missing_evidence() {
    SessionWorld world(5);
    const std::size_t caller = world.open_session(0, SessionWorld::kBoundedReads);
    world.isolate({0}, {1, 2});
    world.drops_reports = true;
    for (int round = 0; round < 40 && world.caller(caller).failed == RequestId(); ++round) {
      world.send_and_wait(caller, StatementKind::kRead);
      world.run_for(std::chrono::milliseconds(100));
    }
    const std::string cause = cause_of(world, caller);
    CPPUNIT_ASSERT_MESSAGE(cause,
                           cause.find("evidence") != std::string::npos || cause.find("isolated") != std::string::npos);
  }

  void names_lagging_replicas() {
    SessionWorld world(3);
    const std::size_t caller = world.open_session(0, SessionWorld::kBoundedReads);
    const std::size_t writer = world.open_session(0, SessionWorld::kPrimaryReads);
    for (std::size_t replica : {1, 2}) {
      world.members().member(replica).lag = 10 * kSecond;
    }
    for (int round = 0; round < 30; ++round) {
      world.send_and_wait(writer, StatementKind::kWrite);
      world.run_for(std::chrono::milliseconds(100));
    }
    world.members().member(0).busy = true;
    world.send_and_wait(caller, StatementKind::kRead);
    expect_cause(world, caller, "replicas were behind");
  }

  void names_a_failover() {
    SessionWorld world(3);
    world.members().promotion_time = 2 * kSecond;
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    world.send_and_wait(caller, StatementKind::kWrite);
    world.members().member(0).entry.leaving = true;
    world.publish_members();
    world.run_for(std::chrono::milliseconds(300));
    world.send_and_wait(caller, StatementKind::kWrite);
    expect_cause(world, caller, "a failover of the group was in progress");
  }

  void names_an_unreachable_primary() {
    SessionWorld world(3);
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    world.send_and_wait(caller, StatementKind::kWrite);
    world.members().crash(0, true);
    world.members().crash(1, true);
    world.members().crash(2, true);
    world.run_for(kSecond);
    world.send_and_wait(caller, StatementKind::kWrite);
    world.send_and_wait(caller, StatementKind::kWrite);
    expect_cause(world, caller, "the primary could not be reached");
  }

  void names_a_member_without_free_slots() {
    SessionWorld world(1);
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    world.members().member(0).busy = true;
    world.send_and_wait(caller, StatementKind::kWrite);
    expect_cause(world, caller, "overload: the member had no free slot; the request had no effect");
  }

  void names_the_connection_limit() {
    SessionWorld world(1);
    world.members().max_connections = 0;
    for (std::size_t member : {0, 1, 2}) {
      world.members().crash(member, false);
      world.members().restart(member);
    }
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    world.send_and_wait(caller, StatementKind::kWrite);
    expect_cause(world, caller, "members had reached their connection limit");
  }

  void names_a_lost_connection() {
    SessionWorld world(3);
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    world.send_and_wait(caller, StatementKind::kBegin);
    world.send_and_wait(caller, StatementKind::kWrite);
    world.members().member(0).loses_answers = true;
    world.send(caller, StatementKind::kCommit);
    world.run_for(std::chrono::milliseconds(20));
    world.members().crash(0, false);
    world.run_for(std::chrono::milliseconds(20));
    expect_cause(world, caller, "the connection to the member was lost; the write had been sent");
  }

  void names_a_restored_store() {
    SessionWorld world(3);
    world.store().keep_copy();
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    world.run_for(kSecond);
    world.store().restore_copy();
    world.publish_again();
    world.run_for(kSecond);
    world.members().member(0).loses_answers = true;
    world.send_and_wait(caller, StatementKind::kWrite);
    expect_cause(world, caller, "had just come back from an older copy");
  }

  void names_an_unavailable_store() {
    SessionWorld world(3);
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    world.store().down = true;
    world.run_for(4 * kSecond);
    world.members().member(0).busy = true;
    world.send_and_wait(caller, StatementKind::kWrite);
    expect_cause(world, caller, "the platform's store was unavailable");
  }

  // Guards against a timeline that shows only the steps of the host that holds the failover duty, and not when the
  // other hosts learned of the new primary.
  void timeline_shows_a_failover_across_hosts() {
    SessionWorld world(3);
    const std::size_t caller = world.open_session(0, SessionWorld::kPrimaryReads);
    world.send_and_wait(caller, StatementKind::kWrite);
    world.members().crash(0, false);
    world.run_for(5 * kSecond);
    const std::vector<std::string> timeline = explain_group(archive(world), "ledger");
    std::size_t hosts = 0;
    std::size_t steps = 0;
    for (const std::string& line : timeline) {
      const bool is_of_new_primary = line.find("term=2") != std::string::npos;
      hosts += line.find("primary_learned") != std::string::npos && is_of_new_primary ? 1 : 0;
      steps += line.find("replacement") != std::string::npos ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, hosts);
    CPPUNIT_ASSERT(steps >= 5);
  }

  void unknown_request_is_not_found() {
    const SessionWorld world(1);
    CPPUNIT_ASSERT(!explain_request(archive(world), "nothing").found);
  }

 private:
  static LogArchive archive(const SessionWorld& world) {
    LogArchive logs;
    for (std::size_t host = 0; host < 5; ++host) {
      std::istringstream text(world.log(host));
      logs.add("host" + std::to_string(host), text);
    }
    CPPUNIT_ASSERT(logs.bad_lines().empty());
    return logs;
  }

  static std::string cause_of(SessionWorld& world, std::size_t caller) {
    return explain_request(archive(world), world.caller(caller).failed.value()).cause;
  }

  static void expect_cause(SessionWorld& world, std::size_t caller, const std::string& expected) {
    const std::string cause = cause_of(world, caller);
    CPPUNIT_ASSERT_MESSAGE(cause, cause.find(expected) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogExplainerTest);

}  // namespace

}  // namespace teaselrudder
