#include "drivers/postgres/postgres_upstreams.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "drivers/postgres/answer_interpreter.h"
#include "drivers/postgres/operation_script.h"
#include "tests/stand_ins/database_member.h"

namespace teaselrudder {

namespace {

using testing::DatabaseMember;
using testing::MemberSettings;
using Outcome = tl::expected<UpstreamResult, UpstreamError>;

const HostId kHost("host");

Statement upsert(const std::string& key, const std::string& value) {
  return {"INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value",
          {key, value}};
}

Statement append(const std::string& key, const std::string& value) {
  return {"UPDATE kv SET value = value || $2 WHERE key = $1", {key, value}};
}

Statement select(const std::string& key) { return {"SELECT value FROM kv WHERE key = $1", {key}}; }

RunStatements write(std::uint64_t term, const std::string& id, std::vector<Statement> statements) {
  return {Term(term), std::move(statements), false, RequestId(id)};
}

RunStatements read(std::vector<Statement> statements) { return {Term(), std::move(statements), true, RequestId()}; }

/// Records every event by its connection or operation. Fails if an event is sent from inside a call of the port.
class RecordingUpstreamEvents : public UpstreamEvents {
 public:
  void on_upstream_opened(ConnectionId connection, tl::expected<void, UpstreamError> outcome,
                          TimePoint /*now*/) override {
    CPPUNIT_ASSERT(!inside_call);
    opened.emplace(connection, std::move(outcome));
  }
  void on_upstream_completed(ConnectionId /*connection*/, OperationId operation, Outcome outcome,
                             TimePoint /*now*/) override {
    CPPUNIT_ASSERT(!inside_call);
    CPPUNIT_ASSERT(completed.emplace(operation, std::move(outcome)).second);
  }
  void on_upstream_closed(ConnectionId connection, TimePoint /*now*/) override {
    CPPUNIT_ASSERT(!inside_call);
    closed.push_back(connection);
  }

  bool inside_call = false;
  std::map<ConnectionId, tl::expected<void, UpstreamError>> opened;
  std::map<OperationId, Outcome> completed;
  std::vector<ConnectionId> closed;
};

class PostgresUpstreamsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PostgresUpstreamsTest);
  CPPUNIT_TEST(runs_writes_and_reads);
  CPPUNIT_TEST(runs_transactions);
  CPPUNIT_TEST(runs_a_recorded_request_once);
  CPPUNIT_TEST(waits_for_an_open_transaction_with_the_same_id);
  CPPUNIT_TEST(resolves_unknown_outcomes_of_writes);
  CPPUNIT_TEST(rolls_back_rejected_statements);
  CPPUNIT_TEST(refuses_session_statements);
  CPPUNIT_TEST(refuses_text_that_the_protocol_cannot_carry);
  CPPUNIT_TEST(rejects_operations_that_do_not_fit_the_transaction);
  CPPUNIT_TEST(refuses_writes_after_a_raised_term);
  CPPUNIT_TEST(replicates_promotes_and_truncates);
  CPPUNIT_TEST(member_queues_operations_for_a_slot);
  CPPUNIT_TEST(reports_a_truncated_answer);
  CPPUNIT_TEST(limits_the_answer_size);
  CPPUNIT_TEST(does_not_report_an_unresponsive_connection_as_lost);
  CPPUNIT_TEST(reports_the_connection_limit);
  CPPUNIT_TEST(reports_failed_attempts);
  CPPUNIT_TEST(reports_lost_connections);
  CPPUNIT_TEST(rejects_malformed_status);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    uv_loop_init(&m_loop);
    use_settings(m_settings);
  }

  void tearDown() override {
    m_upstreams.reset();
    for (const auto& member : m_members) {
      member->stop();
    }
    uv_run(&m_loop, UV_RUN_DEFAULT);
    CPPUNIT_ASSERT_EQUAL(0, uv_loop_close(&m_loop));
  }

  // Guards against lost statements or results in the pipeline, and against a status whose log position does not include
  // the write.
  void runs_writes_and_reads() {
    const ConnectionId connection = open(start_primary());
    const StatementsResult written =
        run<StatementsResult>(connection, write(1, "a", {upsert("k", "1"), append("k", "2")}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), written.results.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), written.results[1].affected);
    CPPUNIT_ASSERT(written.before.is_primary && written.after.received > written.before.received);
    const StatementsResult seen = run<StatementsResult>(connection, read({select("k"), select("none")}));
    CPPUNIT_ASSERT_EQUAL(std::string("12"), *seen.results[0].rows[0][0]);
    CPPUNIT_ASSERT(seen.results[1].rows.empty() && seen.results[1].columns == std::vector<std::string>{"value"});
    CPPUNIT_ASSERT(seen.before == written.after && seen.after == written.after);
    CPPUNIT_ASSERT(run<StatusResult>(connection, ReportStatus{}).status == written.after);
    const UpstreamError error = run_expecting_error(connection, read({upsert("k", "3")}));
    CPPUNIT_ASSERT(error.kind == UpstreamErrorKind::kStatementFailed && error.sqlstate == "25006");
  }

  // Guards against a transaction whose writes are visible before its commit or after its rollback.
  void runs_transactions() {
    const auto member = start_primary();
    const ConnectionId connection = open(member);
    const ConnectionId other = open(member);
    run<StatementsResult>(connection, BeginTransaction{Term(1), false, RequestId("a")});
    CPPUNIT_ASSERT_EQUAL(std::string("1"), run_in_transaction_and_read(connection, {upsert("k", "1"), select("k")}));
    CPPUNIT_ASSERT_EQUAL(std::string(""), value(other, "k"));
    const StatementsResult committed = run<StatementsResult>(connection, CommitTransaction{});
    CPPUNIT_ASSERT(committed.after.received > LogPosition());
    CPPUNIT_ASSERT_EQUAL(std::string("1"), value(other, "k"));
    run<StatementsResult>(connection, BeginTransaction{Term(1), false, RequestId("b")});
    run<StatementsResult>(connection, RunInTransaction{{append("k", "2")}});
    run<StatementsResult>(connection, RollbackTransaction{});
    CPPUNIT_ASSERT_EQUAL(std::string("1"), value(other, "k"));
    CPPUNIT_ASSERT(
        run<StatementsResult>(connection, BeginTransaction{Term(1), false, RequestId("a")}).already_recorded);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), value(connection, "k"));
  }

  // Guards against a repeated request that is executed twice.
  void runs_a_recorded_request_once() {
    const ConnectionId connection = open(start_primary());
    run<StatementsResult>(connection, write(1, "a", {upsert("k", "1")}));
    CPPUNIT_ASSERT(!run<StatementsResult>(connection, write(1, "b", {append("k", "2")})).already_recorded);
    const StatementsResult repeated = run<StatementsResult>(connection, write(1, "b", {append("k", "2")}));
    CPPUNIT_ASSERT(repeated.already_recorded && repeated.results.empty());
    CPPUNIT_ASSERT(repeated.after.is_primary && repeated.after.received > LogPosition());
    CPPUNIT_ASSERT_EQUAL(std::string("12"), value(connection, "k"));
  }

  // Guards against two concurrent attempts of one request that are both executed, because neither finds the record of
  // the other.
  void waits_for_an_open_transaction_with_the_same_id() {
    const auto member = start_primary();
    const ConnectionId first = open(member);
    const ConnectionId second = open(member);
    run<StatementsResult>(first, BeginTransaction{Term(1), false, RequestId("a")});
    run<StatementsResult>(first, RunInTransaction{{upsert("k", "1")}});
    const OperationId waiting = start(second, write(1, "a", {upsert("k", "2")}));
    const ConnectionId third = open(member);
    run<StatusResult>(third, ReportStatus{});
    CPPUNIT_ASSERT(!m_events.completed.contains(waiting));
    run<StatementsResult>(first, CommitTransaction{});
    CPPUNIT_ASSERT(std::get<StatementsResult>(*finish(waiting)).already_recorded);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), value(second, "k"));
  }

  // Guards against a delayed write that is executed after its caller was told that it did not run and never will.
  void resolves_unknown_outcomes_of_writes() {
    const ConnectionId connection = open(start_primary());
    run<StatementsResult>(connection, write(1, "ran", {upsert("k", "1")}));
    CPPUNIT_ASSERT(run<ResolveWriteResult>(connection, ResolveWrite{Term(1), RequestId("ran")}).ran);
    const ResolveWriteResult voided = run<ResolveWriteResult>(connection, ResolveWrite{Term(1), RequestId("lost")});
    CPPUNIT_ASSERT(!voided.ran && voided.after.received > LogPosition());
    CPPUNIT_ASSERT(!run<ResolveWriteResult>(connection, ResolveWrite{Term(1), RequestId("lost")}).ran);
    CPPUNIT_ASSERT(run<StatementsResult>(connection, write(1, "lost", {upsert("k", "2")})).already_recorded);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), value(connection, "k"));
  }

  // Guards against a request of which only some statements take effect, and against a failed transaction that stays
  // open on a connection that is used again.
  void rolls_back_rejected_statements() {
    const ConnectionId connection = open(start_primary());
    const Statement bad{"DROP TABLE kv", {}};
    const UpstreamError error =
        run_expecting_error(connection, write(1, "a", {upsert("k", "1"), bad, upsert("k", "2")}));
    CPPUNIT_ASSERT(error.kind == UpstreamErrorKind::kStatementFailed && !error.may_have_run);
    CPPUNIT_ASSERT_EQUAL(std::string("42601"), error.sqlstate);
    CPPUNIT_ASSERT(!run<StatementsResult>(connection, write(1, "a", {upsert("k", "3")})).already_recorded);
    run<StatementsResult>(connection, BeginTransaction{Term(1), false, RequestId("b")});
    CPPUNIT_ASSERT(!run_expecting_error(connection, RunInTransaction{{upsert("k", "4"), bad}}).may_have_run);
    CPPUNIT_ASSERT_EQUAL(std::string("3"), value(connection, "k"));
  }

  // Guards against a caller's statement that ends the transaction, so that the statements after it run outside of it.
  void refuses_session_statements() {
    for (const char* sql : {"COMMIT", " ; end", "/* a /* b */ */ Rollback", "-- c\nSET role x", "COPY kv FROM STDIN"}) {
      CPPUNIT_ASSERT_MESSAGE(sql, is_session_statement(sql));
    }
    CPPUNIT_ASSERT(!is_session_statement("SELECT 'commit'") && !is_session_statement("-- commit"));
    const ConnectionId connection = open(start_primary());
    const std::vector<Statement> statements = {upsert("k", "1"), {"COMMIT", {}}};
    CPPUNIT_ASSERT_EQUAL(std::string("0A000"), run_expecting_error(connection, write(1, "a", statements)).sqlstate);
    run<StatementsResult>(connection, BeginTransaction{Term(1), false, RequestId("b")});
    CPPUNIT_ASSERT(!run_expecting_error(connection, RunInTransaction{statements}).may_have_run);
    CPPUNIT_ASSERT_EQUAL(std::string(""), value(connection, "k"));
  }

  // Guards against a value that is truncated at its first zero byte, and against more parameters than the protocol
  // allows.
  void refuses_text_that_the_protocol_cannot_carry() {
    const ConnectionId connection = open(start_primary());
    const UpstreamError zero = run_expecting_error(connection, write(1, "a", {upsert("k", std::string("1\0002", 3))}));
    CPPUNIT_ASSERT(zero.sqlstate == "22021" && !zero.may_have_run);
    const Statement too_many_parameters{"SELECT 1", std::vector<std::optional<std::string>>(65536, "1")};
    CPPUNIT_ASSERT_EQUAL(std::string("54023"), run_expecting_error(connection, read({too_many_parameters})).sqlstate);
    CPPUNIT_ASSERT_EQUAL(std::string(""), value(connection, "k"));
  }

  // Guards against a COMMIT without a transaction, to which a member responds as to a real one.
  void rejects_operations_that_do_not_fit_the_transaction() {
    const ConnectionId connection = open(start_primary());
    CPPUNIT_ASSERT_EQUAL(std::string("25P01"), run_expecting_error(connection, CommitTransaction{}).sqlstate);
    run<StatementsResult>(connection, BeginTransaction{Term(1), false, RequestId("a")});
    CPPUNIT_ASSERT_EQUAL(std::string("25001"),
                         run_expecting_error(connection, write(1, "b", {upsert("k", "1")})).sqlstate);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), run_in_transaction_and_read(connection, {upsert("k", "1"), select("k")}));
  }

  // Guards against a replaced primary that still commits, also a transaction that began before it was replaced.
  void refuses_writes_after_a_raised_term() {
    const auto member = start_primary();
    const ConnectionId connection = open(member);
    const ConnectionId control = open(member);
    run<StatementsResult>(connection, BeginTransaction{Term(1), false, RequestId("a")});
    run<StatementsResult>(connection, RunInTransaction{{upsert("k", "1")}});
    CPPUNIT_ASSERT(!run<GrantResult>(control, RaiseTerm{Term(1), HostId("other")}).granted);
    const GrantResult raised = run<GrantResult>(control, RaiseTerm{Term(2), HostId("other")});
    CPPUNIT_ASSERT(raised.granted && !raised.status.is_primary && raised.status.raised_term == Term(2));
    CPPUNIT_ASSERT(!run<GrantResult>(control, Promote{Term(2), kHost}).granted);
    const UpstreamError commit = run_expecting_error(connection, CommitTransaction{});
    CPPUNIT_ASSERT(commit.kind == UpstreamErrorKind::kNotPrimaryInTerm && !commit.may_have_run);
    const UpstreamError late = run_expecting_error(connection, write(1, "b", {upsert("k", "2")}));
    CPPUNIT_ASSERT(late.kind == UpstreamErrorKind::kNotPrimaryInTerm && !late.may_have_run);
    CPPUNIT_ASSERT_EQUAL(std::string(""), value(connection, "k"));
  }

  // Guards against a test double that keeps diverging log records when it follows a new primary. It would hide lost or
  // duplicate writes in other tests.
  void replicates_promotes_and_truncates() {
    const auto first = start_primary();
    const auto second = start_member({});
    const ConnectionId to_first = open(first);
    const ConnectionId to_second = open(second);
    CPPUNIT_ASSERT(run<GrantResult>(to_second, Follow{Term(1), endpoint(first)}).granted);
    const LogPosition shared = run<StatementsResult>(to_first, write(1, "a", {upsert("k", "1")})).after.received;
    run_until([&] { return second->state().status().replayed == shared; });
    CPPUNIT_ASSERT_EQUAL(std::string("1"), value(to_second, "k"));
    second->set_lag(0, 3'600'000);
    const LogPosition unseen = run<StatementsResult>(to_first, write(1, "unseen", {append("k", "+")})).after.received;
    run_until([&] { return second->state().received() == unseen; });
    CPPUNIT_ASSERT_EQUAL(std::string("1"), value(to_second, "k"));
    // After this, the second member no longer receives log records of term 1.
    CPPUNIT_ASSERT(run<GrantResult>(to_second, RaiseTerm{Term(2), kHost}).granted);
    run<StatementsResult>(to_first, write(1, "b", {append("k", "lost")}));
    CPPUNIT_ASSERT(run<GrantResult>(to_second, Promote{Term(2), kHost}).granted);
    const MemberStatus promoted = run<StatementsResult>(to_second, write(2, "c", {append("k", "2")})).after;
    CPPUNIT_ASSERT(promoted.log_term == Term(2) && promoted.is_primary);
    CPPUNIT_ASSERT(run<GrantResult>(to_first, Follow{Term(2), endpoint(second)}).granted);
    run_until([&] { return first->state().status().replayed == promoted.replayed; });
    const MemberStatus followed = run<StatusResult>(to_first, ReportStatus{}).status;
    CPPUNIT_ASSERT(followed.raised_term == Term(2) && followed.log_term == Term(2) && !followed.is_primary);
    CPPUNIT_ASSERT_EQUAL(promoted.history.to_string(), followed.history.to_string());
    CPPUNIT_ASSERT_EQUAL(std::string("1+2"), value(to_first, "k"));
    // The request id of the truncated write was removed with it; that of the replicated write is kept.
    CPPUNIT_ASSERT(!first->state().data().requests.contains("b") && first->state().data().requests.contains("a"));
  }

  // Guards against a test double that executes operations without queueing, with which scheduling could not be
  // measured.
  void member_queues_operations_for_a_slot() {
    const auto member = start_member({.slots = 1, .statement_ms = 5});
    const ConnectionId first = open(member);
    const ConnectionId second = open(member);
    const OperationId sleeping = start(first, read({{"SELECT pg_sleep($1)", {"0.02"}}}));
    run<StatusResult>(second, ReportStatus{});
    value(second, "k");
    CPPUNIT_ASSERT(m_events.completed.contains(sleeping));
  }

  // Guards against a truncated response that is taken for a complete one, and against a report that its write did not
  // run.
  void reports_a_truncated_answer() {
    const auto member = start_primary();
    const ConnectionId connection = open(member);
    member->cut_next_answer();
    const UpstreamError error = run_expecting_error(connection, write(1, "a", {upsert("k", "1"), select("k")}));
    CPPUNIT_ASSERT(error.kind == UpstreamErrorKind::kBadAnswer && error.may_have_run);
    CPPUNIT_ASSERT(m_events.closed.empty());
    CPPUNIT_ASSERT(run<ResolveWriteResult>(open(member), ResolveWrite{Term(1), RequestId("a")}).ran);
  }

  // Guards against a response that fills the memory of a host, with many rows or with one value that is never complete,
  // and against rejecting a response that is within the limit but arrives in many pieces.
  void limits_the_answer_size() {
    const auto member = start_primary();
    const ConnectionId connection = open(member);
    run<StatementsResult>(connection, write(1, "a", {upsert("k", std::string(m_settings.max_answer_bytes / 4, 'x'))}));
    value(connection, "k");
    const UpstreamError many_rows = run_expecting_error(connection, read(std::vector<Statement>(5, select("k"))));
    CPPUNIT_ASSERT(many_rows.kind == UpstreamErrorKind::kBadAnswer);
    const ConnectionId next = open(member);
    run<StatementsResult>(next, write(1, "b", {upsert("k", std::string(m_settings.max_answer_bytes * 16, 'x'))}));
    member->cut_next_answer();
    const UpstreamError large_value = run_expecting_error(next, read({select("k")}));
    CPPUNIT_ASSERT(large_value.kind == UpstreamErrorKind::kBadAnswer);
    CPPUNIT_ASSERT_EQUAL(many_rows.message, large_value.message);
    PostgresSettings larger_limit = m_settings;
    larger_limit.max_answer_bytes *= 18;
    use_settings(larger_limit);
    CPPUNIT_ASSERT_EQUAL(m_settings.max_answer_bytes * 16, value(open(member), "k").size());
  }

  // Guards against an unresponsive connection that is reported as lost, and against events after a connection was
  // closed.
  void does_not_report_an_unresponsive_connection_as_lost() {
    const auto member = start_primary();
    const ConnectionId silent = open(member);
    member->make_open_connections_unresponsive();
    const OperationId unanswered = start(silent, ReportStatus{});
    CPPUNIT_ASSERT(run<StatusResult>(open(member), ReportStatus{}).status.is_primary);
    CPPUNIT_ASSERT(!m_events.completed.contains(unanswered));
    m_upstreams->close_connection(silent);
    const ConnectionId rejected = open(member);
    const OperationId dropped = start(rejected, CommitTransaction{});
    m_upstreams->close_connection(rejected);
    run<StatusResult>(open(member), ReportStatus{});
    CPPUNIT_ASSERT(!m_events.completed.contains(unanswered) && !m_events.completed.contains(dropped));
    CPPUNIT_ASSERT(m_events.closed.empty());
  }

  // Guards against a member at its connection limit that is reported like one that cannot be reached.
  void reports_the_connection_limit() {
    const auto member = start_member({.connections = 1});
    const ConnectionId connection = open(member);
    const UpstreamError error = open_expecting_error(endpoint(member));
    CPPUNIT_ASSERT(error.kind == UpstreamErrorKind::kTooManyConnections && !error.may_have_run);
    CPPUNIT_ASSERT_EQUAL(std::string("53300"), error.sqlstate);
    m_upstreams->close_connection(connection);
    open(member);
  }

  // Guards against connection attempts without a timeout, and against events from inside open_connection().
  void reports_failed_attempts() {
    const auto member = start_member({});
    member->freeze();
    PostgresSettings short_timeout = m_settings;
    short_timeout.connect_timeout = std::chrono::milliseconds(50);
    use_settings(short_timeout);
    const UpstreamError frozen = open_expecting_error(endpoint(member));
    CPPUNIT_ASSERT(frozen.kind == UpstreamErrorKind::kConnectFailed && !frozen.may_have_run);
    member->end_faults();
    use_settings(m_settings);
    open(member);
    const Endpoint gone = endpoint(member);
    member->stop();
    CPPUNIT_ASSERT(open_expecting_error(gone).kind == UpstreamErrorKind::kConnectFailed);
    CPPUNIT_ASSERT(open_expecting_error({"not an address", 1}).kind == UpstreamErrorKind::kConnectFailed);
  }

  // Guards against an operation that is reported as not run although the member received it, and against a connection
  // whose loss is not reported because it was idle.
  void reports_lost_connections() {
    const auto member = start_primary();
    const ConnectionId idle = open(member);
    const ConnectionId busy = open(member);
    const OperationId sleeping = start(busy, read({{"SELECT pg_sleep($1)", {"1000"}}}));
    run<StatusResult>(idle, ReportStatus{});
    member->cut_off();
    const UpstreamError error = finish(sleeping).error();
    CPPUNIT_ASSERT(error.kind == UpstreamErrorKind::kConnectionLost && error.may_have_run);
    run_until([this] { return !m_events.closed.empty(); });
    CPPUNIT_ASSERT(m_events.closed == std::vector<ConnectionId>{idle});
  }

  // Guards against a malformed member status that is accepted.
  void rejects_malformed_status() {
    const std::vector<std::string> columns = {"raised_term", "candidate",  "log_term", "received",
                                              "replayed",    "is_primary", "history"};
    const std::vector<std::optional<std::string>> good = {"2", "host", "1", "30", "20", "f", "1:0"};
    CPPUNIT_ASSERT(parse_member_status({columns, {good}, 0}).has_value());
    const std::map<std::size_t, std::string> faults = {{0, "x"}, {3, "30 "}, {4, ""}, {5, "true"}, {6, "2:0,1:5"}};
    for (const auto& [column, text] : faults) {
      std::vector<std::optional<std::string>> bad = good;
      bad[column] = text;
      CPPUNIT_ASSERT_MESSAGE(columns[column], !parse_member_status({columns, {bad}, 0}).has_value());
    }
    CPPUNIT_ASSERT(!parse_member_status({columns, {}, 0}).has_value());
    CPPUNIT_ASSERT(!parse_member_status({{"raised_term"}, {{"2"}}, 0}).has_value());
  }

 private:
  void use_settings(const PostgresSettings& settings) {
    m_upstreams = std::make_unique<PostgresUpstreams>(&m_loop, settings, m_clock, m_events);
  }

  void run_until(const std::function<bool()>& reached) {
    while (!reached()) {
      uv_run(&m_loop, UV_RUN_ONCE);
    }
  }

  std::shared_ptr<DatabaseMember> start_member(MemberSettings settings) {
    m_members.push_back(std::make_shared<DatabaseMember>(&m_loop, settings));
    return m_members.back();
  }

  std::shared_ptr<DatabaseMember> start_primary() {
    auto member = start_member({});
    const ConnectionId connection = open(member);
    CPPUNIT_ASSERT(run<GrantResult>(connection, RaiseTerm{Term(1), kHost}).granted);
    CPPUNIT_ASSERT(run<GrantResult>(connection, Promote{Term(1), kHost}).status.is_primary);
    m_upstreams->close_connection(connection);
    return member;
  }

  static Endpoint endpoint(const std::shared_ptr<DatabaseMember>& member) { return {"127.0.0.1", member->port()}; }

  ConnectionId start_opening(const Endpoint& upstream) {
    const ConnectionId connection(++m_last_id);
    m_events.inside_call = true;
    m_upstreams->open_connection(connection, upstream);
    m_events.inside_call = false;
    run_until([&] { return m_events.opened.contains(connection); });
    return connection;
  }

  ConnectionId open(const std::shared_ptr<DatabaseMember>& member) {
    const ConnectionId connection = start_opening(endpoint(member));
    const auto& outcome = m_events.opened.at(connection);
    CPPUNIT_ASSERT_MESSAGE(outcome.has_value() ? "" : outcome.error().message, outcome.has_value());
    return connection;
  }

  UpstreamError open_expecting_error(const Endpoint& upstream) {
    return m_events.opened.at(start_opening(upstream)).error();
  }

  OperationId start(ConnectionId connection, UpstreamOperation details) {
    const OperationId operation(++m_last_id);
    m_events.inside_call = true;
    m_upstreams->execute(connection, operation, std::move(details));
    m_events.inside_call = false;
    return operation;
  }

  Outcome finish(OperationId operation) {
    run_until([&] { return m_events.completed.contains(operation); });
    return m_events.completed.at(operation);
  }

  template <typename Result>
  Result run(ConnectionId connection, UpstreamOperation details) {
    const Outcome outcome = finish(start(connection, std::move(details)));
    CPPUNIT_ASSERT_MESSAGE(outcome.has_value() ? "" : outcome.error().message, outcome.has_value());
    return std::get<Result>(*outcome);
  }

  UpstreamError run_expecting_error(ConnectionId connection, UpstreamOperation details) {
    const Outcome outcome = finish(start(connection, std::move(details)));
    CPPUNIT_ASSERT(!outcome.has_value());
    return outcome.error();
  }

  /// Returns the value of `key` on the member of the connection, or an empty string if there is no such row.
  std::string value(ConnectionId connection, const std::string& key) {
    const StatementsResult result = run<StatementsResult>(connection, read({select(key)}));
    return result.results[0].rows.empty() ? "" : *result.results[0].rows[0][0];
  }

  /// Runs statements in the open transaction and returns the first value of the last one.
  std::string run_in_transaction_and_read(ConnectionId connection, std::vector<Statement> statements) {
    const auto result = run<StatementsResult>(connection, RunInTransaction{std::move(statements)});
    return *result.results.back().rows[0][0];
  }

  // The answer limit is small so that tests exceed it with little data. The timeout is so long that it does not expire
  // on a busy machine.
  const PostgresSettings m_settings{"db", "user", "", std::chrono::minutes(10), 1 << 16};
  uv_loop_t m_loop{};
  SteadyClock m_clock;
  RecordingUpstreamEvents m_events;
  std::uint64_t m_last_id = 0;
  std::vector<std::shared_ptr<DatabaseMember>> m_members;
  std::unique_ptr<PostgresUpstreams> m_upstreams;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PostgresUpstreamsTest);

}  // namespace

}  // namespace teaselrudder
