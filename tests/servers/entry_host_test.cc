#include "servers/host/entry_host.h"

#include <cppunit/extensions/HelperMacros.h>

#include "misc/measure/host_world.h"

namespace teaselrudder {

namespace {

using model::CallerOutcome;
using model::HostWorld;
using model::WorldOptions;

constexpr Duration kLong = std::chrono::seconds(12);

class EntryHostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryHostTest);
  CPPUNIT_TEST(session_reads_its_write_through_another_host);
  CPPUNIT_TEST(writes_resume_after_the_primary_is_lost);
  CPPUNIT_TEST(write_in_flight_at_the_loss_is_answered_truthfully);
  CPPUNIT_TEST(cut_off_primary_never_acknowledges);
  CPPUNIT_TEST(write_that_a_promotion_overtakes_is_not_acknowledged);
  CPPUNIT_TEST(cut_off_primary_serves_no_fresh_read);
  CPPUNIT_TEST(reading_transaction_on_a_replaced_primary_is_aborted);
  CPPUNIT_TEST(lost_answer_is_settled_truthfully);
  CPPUNIT_TEST(owner_that_dies_after_the_write_doubles_nothing);
  CPPUNIT_TEST(same_request_id_through_two_hosts_runs_once);
  CPPUNIT_TEST(transaction_continues_through_another_host);
  CPPUNIT_TEST(transaction_of_a_dead_host_leaves_nothing);
  CPPUNIT_TEST(transactions_do_not_mix);
  CPPUNIT_TEST(step_that_outlasts_its_deadline_ends_the_transaction);
  CPPUNIT_TEST(callers_that_leave_during_begin_hold_no_connection);
  CPPUNIT_TEST(silent_connections_do_not_stop_reads);
  CPPUNIT_TEST(planned_stop_cuts_off_no_request);
  CPPUNIT_TEST(leaving_upstream_gets_no_new_work);
  CPPUNIT_TEST(bad_requests_are_refused_as_not_run);
  CPPUNIT_TEST(configuration_never_goes_back);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_world = std::make_unique<HostWorld>(WorldOptions());
    m_world->wait_until_ready();
  }

  // Guards against a stale read when a session moves to another host while replicas lag.
  void session_reads_its_write_through_another_host() {
    for (std::size_t member = 0; member < 3; ++member) {
      m_world->set_replication_delay(member, std::chrono::milliseconds(200));
    }
    const CallerAnswer written = succeed(0, HostWorld::write_request("k", "a"));
    for (std::size_t host = 0; host < m_world->hosts(); ++host) {
      Request read = HostWorld::read_request("k", Freshness::kOwnWrites);
      read.token = written.token;
      CPPUNIT_ASSERT_EQUAL(std::string("a"), value_in(succeed(host, read)));
    }
  }

  // Guards against writes that stay refused, or get lost, after the primary dies.
  void writes_resume_after_the_primary_is_lost() {
    const CallerAnswer before = succeed(0, HostWorld::write_request("k", "a"));
    m_world->set_member_up(m_world->primary().value(), false);
    const TimePoint lost_at = m_world->now();
    // A write that is sent on a connection before its end is noticed is the subject of the next test.
    m_world->run_for(std::chrono::milliseconds(50));
    succeed(1, HostWorld::write_request("k", "b"));
    CPPUNIT_ASSERT(m_world->now() - lost_at < std::chrono::seconds(7));
    Request read = HostWorld::read_request("k", Freshness::kFresh);
    read.token = before.token;
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), value_in(succeed(3, read)));
  }

  // Guards against a wrong statement about a write whose connection ends while it is under way.
  void write_in_flight_at_the_loss_is_answered_truthfully() {
    const std::size_t write = m_world->submit(0, HostWorld::write_request("k", "a"));
    m_world->set_member_up(m_world->primary().value(), false);
    const CallerOutcome outcome = wait_for(write);
    const bool acknowledged = outcome.has_value() || outcome.error().refusal.ran == Ran::kYes;
    CPPUNIT_ASSERT_MESSAGE(describe(outcome), acknowledged || outcome.error().refusal.ran == Ran::kNo);
    succeed(0, HostWorld::write_request("k", "b"));
    CPPUNIT_ASSERT_EQUAL(std::string(acknowledged ? "ab" : "b"), m_world->stored(m_world->primary().value(), "k"));
  }

  // Guards against an acknowledgement by a primary that still believes that it leads.
  void cut_off_primary_never_acknowledges() {
    const std::size_t old_primary = m_world->primary().value();
    m_world->isolate(old_primary, true);
    const std::size_t inside = m_world->submit(old_primary * 2, HostWorld::write_request("k", "old;"));
    succeed((old_primary * 2 + 2) % m_world->hosts(), HostWorld::write_request("k", "new;"));
    const CallerOutcome refused = wait_for(inside);
    CPPUNIT_ASSERT(!refused.has_value());
    CPPUNIT_ASSERT(refused.error().refusal.ran != Ran::kYes);
    m_world->isolate(old_primary, false);
    m_world->run_for(std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::string("new;"), m_world->stored(old_primary, "k"));
  }

  // Guards against confirming a write in a term that began on another member between its commit and its status: the new
  // log reaches the same position without the write.
  void write_that_a_promotion_overtakes_is_not_acknowledged() {
    const std::size_t old_primary = m_world->primary().value();
    const std::size_t new_primary = (old_primary + 1) % 3;
    const std::size_t replica = (old_primary + 2) % 3;
    m_world->statements().after_commit = [&] {
      const Term term(m_world->member(old_primary).raised_term().value() + 1);
      const HostId candidate("another host");
      for (std::size_t member = 0; member < 3; ++member) {
        m_world->member(member).raise_term(term, candidate);
      }
      m_world->member(new_primary).promote(term, candidate);
      m_world->member(replica).follow(term, new_primary);
    };
    const CallerOutcome outcome = wait_for(m_world->submit(0, HostWorld::write_request("k", "a")));
    CPPUNIT_ASSERT(!outcome.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("no"), std::string(to_string(outcome.error().refusal.ran)));
    CPPUNIT_ASSERT_EQUAL(std::string(), m_world->stored(new_primary, "k"));
  }

  // Guards against a fresh read that a replaced primary answers with old data.
  void cut_off_primary_serves_no_fresh_read() {
    const std::size_t old_primary = m_world->primary().value();
    m_world->isolate(old_primary, true);
    succeed((old_primary * 2 + 2) % m_world->hosts(), HostWorld::write_request("k", "new;"));
    const Refusal refusal = refusal_of(old_primary * 2, HostWorld::read_request("k", Freshness::kFresh));
    CPPUNIT_ASSERT(refusal.ran == Ran::kNo);
  }

  // Guards against a second run of a write after the host that ran it died before it could answer.
  void owner_that_dies_after_the_write_doubles_nothing() {
    m_world->set_service_time(std::chrono::milliseconds(20));
    const std::size_t primary = m_world->primary().value();
    const std::size_t sender = (primary * 2 + 2) % m_world->hosts();
    const std::size_t write = m_world->submit(sender, HostWorld::write_request("k", "a"));
    CPPUNIT_ASSERT(m_world->run_until([&] { return m_world->stored(primary, "k") == "a"; }, kLong));
    for (std::size_t host = 0; host < m_world->hosts(); ++host) {
      if (host != sender) {
        m_world->kill_host(host);
        m_world->start_host(host);
      }
    }
    const CallerOutcome outcome = wait_for(write);
    CPPUNIT_ASSERT(!outcome.has_value());
    CPPUNIT_ASSERT(outcome.error().refusal.ran == Ran::kYes);
    m_world->run_for(std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), m_world->stored(primary, "k"));
  }

  // Guards against a reading transaction that commits old data, or whose commit is routed like a new request.
  void reading_transaction_on_a_replaced_primary_is_aborted() {
    Request request = HostWorld::read_request("k", Freshness::kFresh);
    request.step = TransactionStep::kBegin;
    const std::size_t old_primary = m_world->primary().value();
    const TransactionHandle handle = succeed(old_primary * 2, request).transaction;
    m_world->isolate(old_primary, true);
    succeed((old_primary * 2 + 2) % m_world->hosts(), HostWorld::write_request("k", "new;"));
    const Refusal refusal = refusal_of(old_primary * 2, step(handle, TransactionStep::kCommit, "", ""));
    CPPUNIT_ASSERT(refusal.ran == Ran::kNo);
  }

  // Guards against a write of unknown outcome that is reported as not run although it ran, or is sent twice.
  void lost_answer_is_settled_truthfully() {
    m_world->set_service_time(std::chrono::milliseconds(20));
    const std::size_t write = m_world->submit(0, HostWorld::write_request("k", "a"));
    m_world->run_for(std::chrono::milliseconds(10));
    m_world->make_connections_unresponsive(m_world->primary().value());
    const CallerOutcome outcome = wait_for(write);
    CPPUNIT_ASSERT(!outcome.has_value());
    CPPUNIT_ASSERT(outcome.error().refusal.ran == Ran::kYes);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), m_world->stored(m_world->primary().value(), "k"));
  }

  // Guards against a non-idempotent request that runs twice when its caller repeats it elsewhere.
  void same_request_id_through_two_hosts_runs_once() {
    Request request = HostWorld::write_request("k", "a");
    request.request_id = RequestId("booking-1");
    const std::size_t first = m_world->submit(0, request);
    const std::size_t second = m_world->submit(5, request);
    const CallerOutcome outcomes[] = {wait_for(first), wait_for(second)};
    for (const CallerOutcome& outcome : outcomes) {
      CPPUNIT_ASSERT(outcome.has_value() || (outcome.error().refusal.reason == RefusalReason::kDuplicateRequest &&
                                             outcome.error().refusal.ran == Ran::kYes));
    }
    CPPUNIT_ASSERT(outcomes[0].has_value() != outcomes[1].has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), m_world->stored(m_world->primary().value(), "k"));
  }

  // Guards against a transaction that is bound to the host that its caller reached first.
  void transaction_continues_through_another_host() {
    const TransactionHandle handle = begin(0, "k", "a");
    succeed(3, step(handle, TransactionStep::kContinue, "k", "b"));
    CPPUNIT_ASSERT_EQUAL(std::string(), m_world->stored(m_world->primary().value(), "k"));
    succeed(5, step(handle, TransactionStep::kCommit, "", ""));
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), m_world->stored(m_world->primary().value(), "k"));
    CPPUNIT_ASSERT(refusal_of(1, step(handle, TransactionStep::kContinue, "k", "c")).reason ==
                   RefusalReason::kUnknownTransaction);
  }

  // Guards against half of a transaction that survives the host that held it.
  void transaction_of_a_dead_host_leaves_nothing() {
    const TransactionHandle handle = begin(0, "k", "a");
    for (std::size_t host = 0; host < m_world->hosts(); ++host) {
      if (m_world->host(host).requests().open_transactions() > 0) {
        m_world->kill_host(host);
        m_world->start_host(host);
      }
    }
    const Refusal refusal = refusal_of(1, step(handle, TransactionStep::kCommit, "", ""));
    CPPUNIT_ASSERT(refusal.reason == RefusalReason::kUnknownTransaction);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_world->stored(m_world->primary().value(), "k"));
  }

  // Guards against statements of one transaction that run on another one's connection.
  void transactions_do_not_mix() {
    const TransactionHandle first = begin(0, "k", "1");
    const TransactionHandle second = begin(2, "k", "2");
    succeed(2, step(first, TransactionStep::kContinue, "k", "1"));
    succeed(0, step(second, TransactionStep::kContinue, "k", "2"));
    succeed(0, step(first, TransactionStep::kRollback, "", ""));
    succeed(0, step(second, TransactionStep::kCommit, "", ""));
    CPPUNIT_ASSERT_EQUAL(std::string("22"), m_world->stored(m_world->primary().value(), "k"));
  }

  // Guards against a second statement on a connection on which the first one still runs.
  void step_that_outlasts_its_deadline_ends_the_transaction() {
    const TransactionHandle handle = begin(0, "k", "1");
    m_world->set_service_time(std::chrono::milliseconds(500));
    Request slow = step(handle, TransactionStep::kContinue, "k", "2");
    slow.deadline = std::chrono::milliseconds(100);
    CPPUNIT_ASSERT(refusal_of(0, slow).ran != Ran::kYes);
    const Refusal refusal = refusal_of(0, step(handle, TransactionStep::kCommit, "", ""));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown_transaction"), std::string(to_string(refusal.reason)));
    m_world->run_for(std::chrono::seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::string(), m_world->stored(m_world->primary().value(), "k"));
  }

  // Guards against connections that stay taken by transactions whose callers left before the answer.
  void callers_that_leave_during_begin_hold_no_connection() {
    for (int round = 0; round < 40; ++round) {
      Request request = HostWorld::write_request("k", "a");
      request.statements.clear();
      request.step = TransactionStep::kBegin;
      const std::size_t host = m_world->primary().value() * 2;
      const std::size_t number = m_world->submit(host, request);
      m_world->run_for(std::chrono::microseconds(10));
      m_world->host(host).on_caller_disconnected(CallerRequestId(number + 1), m_world->now());
      m_world->run_for(std::chrono::milliseconds(50));
    }
    succeed(0, HostWorld::write_request("k", "b"));
    for (std::size_t host = 0; host < m_world->hosts(); ++host) {
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_world->host(host).requests().open_transactions());
    }
  }

  // Guards against reads that wait for the end of TCP on connections that went silent.
  void silent_connections_do_not_stop_reads() {
    const CallerAnswer written = succeed(0, HostWorld::write_request("k", "a"));
    for (std::size_t member = 0; member < 3; ++member) {
      m_world->make_connections_unresponsive(member);
    }
    for (std::size_t host = 0; host < m_world->hosts(); ++host) {
      Request read = HostWorld::read_request("k", Freshness::kOwnWrites);
      read.token = written.token;
      CPPUNIT_ASSERT_EQUAL(std::string("a"), value_in(succeed(host, read)));
    }
  }

  // Guards against requests that are cut off when a host is replaced.
  void planned_stop_cuts_off_no_request() {
    m_world->set_service_time(std::chrono::milliseconds(100));
    std::vector<std::size_t> requests;
    for (std::size_t stopping = 0; stopping < m_world->hosts(); ++stopping) {
      for (int burst = 0; burst < 5; ++burst) {
        requests.push_back(m_world->submit(stopping, HostWorld::write_request("k", "x")));
        requests.push_back(m_world->submit(stopping, HostWorld::read_request("k", Freshness::kOwnWrites)));
      }
      m_world->run_for(std::chrono::milliseconds(5));
      m_world->host(stopping).stop("test", m_world->now());
      CPPUNIT_ASSERT(!m_world->host(stopping).planned_stop().healthy());
      CPPUNIT_ASSERT(m_world->run_until([&] { return m_world->host(stopping).planned_stop().stopped(); },
                                        std::chrono::seconds(40)));
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_world->host(stopping).planned_stop().unfinished_work());
      m_world->kill_host(stopping);
      m_world->start_host(stopping);
      m_world->run_for(std::chrono::seconds(2));
    }
    for (const std::size_t request : requests) {
      const CallerOutcome outcome = wait_for(request);
      CPPUNIT_ASSERT_MESSAGE(describe(outcome), outcome.has_value());
    }
    CPPUNIT_ASSERT_EQUAL(std::string(requests.size() / 2, 'x'), m_world->stored(m_world->primary().value(), "k"));
  }

  // Guards against work for an upstream that operators are taking away, the primary included.
  void leaving_upstream_gets_no_new_work() {
    const std::size_t leaving = m_world->primary().value();
    Configuration& configuration = m_world->configuration();
    configuration.version = ConfigurationVersion(2);
    configuration.groups.at(GroupId("g")).members[leaving].leaving = true;
    for (std::size_t host = 0; host < m_world->hosts(); ++host) {
      CPPUNIT_ASSERT(m_world->host(host).adopt_configuration(configuration, "test", m_world->now()));
    }
    m_world->run_for(std::chrono::seconds(3));
    const MemberId left("m" + std::to_string(leaving));
    for (std::size_t host = 0; host < m_world->hosts(); ++host) {
      CPPUNIT_ASSERT(succeed(host, HostWorld::write_request("k", "a")).served_by != left);
      CPPUNIT_ASSERT(succeed(host, HostWorld::read_request("k", Freshness::kOwnWrites)).served_by != left);
      CPPUNIT_ASSERT(succeed(host, HostWorld::read_request("k", Freshness::kFresh)).served_by != left);
    }
  }

  // Guards against a crash, or an unclear outcome, from input that no host can serve.
  void bad_requests_are_refused_as_not_run() {
    Request unknown = HostWorld::write_request("k", "a");
    unknown.service = ServiceName("nowhere");
    expect_refusal(unknown, RefusalReason::kUnknownService);
    Request altered = HostWorld::read_request("k", Freshness::kOwnWrites);
    altered.token = "t1~s~g~1~8~0~00000000000000000000000000000000";
    expect_refusal(altered, RefusalReason::kTokenAltered);
    altered.token = "nonsense";
    expect_refusal(altered, RefusalReason::kTokenMalformed);
    Request commit = HostWorld::write_request("k", "a");
    commit.statements[0].sql = "  COMMIT";
    expect_refusal(commit, RefusalReason::kBadRequest);
    Request future = HostWorld::read_request("k", Freshness::kOwnWrites);
    future.token = SessionTokenCodec("key").encode(ServiceName("s"), GroupId("g"), {{Term(99), LogPosition(8)}, false});
    expect_refusal(future, RefusalReason::kTokenFutureTerm);
    expect_refusal(step(TransactionHandle("x~1~1~0"), TransactionStep::kCommit, "", ""),
                   RefusalReason::kUnknownTransaction);
  }

  // Guards against a late copy of an old configuration that takes the place of a newer one.
  void configuration_never_goes_back() {
    Configuration configuration = m_world->configuration();
    configuration.version = ConfigurationVersion(7);
    CPPUNIT_ASSERT(m_world->host(0).adopt_configuration(configuration, "test", m_world->now()));
    configuration.version = ConfigurationVersion(6);
    CPPUNIT_ASSERT(!m_world->host(0).adopt_configuration(configuration, "test", m_world->now()));
    // The other hosts learn the version from probes.
    m_world->run_for(std::chrono::seconds(10));
    for (std::size_t host = 0; host < m_world->hosts(); ++host) {
      CPPUNIT_ASSERT(m_world->host(host).configuration().version == ConfigurationVersion(7));
    }
  }

 private:
  CallerOutcome wait_for(std::size_t number) {
    CPPUNIT_ASSERT(m_world->run_until([&] { return m_world->outcome(number).has_value(); }, kLong));
    return *m_world->outcome(number);
  }

  CallerAnswer succeed(std::size_t host, const Request& request) {
    const CallerOutcome outcome = wait_for(m_world->submit(host, request));
    CPPUNIT_ASSERT_MESSAGE(describe(outcome), outcome.has_value());
    return *outcome;
  }

  static std::string describe(const CallerOutcome& outcome) {
    if (outcome.has_value()) {
      return "served";
    }
    const Refusal& refusal = outcome.error().refusal;
    return std::string(to_string(refusal.reason)) + ", ran " + std::string(to_string(refusal.ran)) + ": " +
           refusal.detail;
  }

  Refusal refusal_of(std::size_t host, const Request& request) {
    const CallerOutcome outcome = wait_for(m_world->submit(host, request));
    CPPUNIT_ASSERT(!outcome.has_value());
    return outcome.error().refusal;
  }

  void expect_refusal(const Request& request, RefusalReason reason) {
    const Refusal refusal = refusal_of(0, request);
    CPPUNIT_ASSERT_EQUAL(std::string(to_string(reason)), std::string(to_string(refusal.reason)));
    CPPUNIT_ASSERT(refusal.ran == Ran::kNo);
    CPPUNIT_ASSERT(m_world->counters(0).refusals(reason, Ran::kNo) > 0);
  }

  TransactionHandle begin(std::size_t host, const std::string& key, const std::string& value) {
    Request request = HostWorld::write_request(key, value);
    request.step = TransactionStep::kBegin;
    return succeed(host, request).transaction;
  }

  static Request step(const TransactionHandle& handle, TransactionStep step, const std::string& key,
                      const std::string& value) {
    Request request = HostWorld::write_request(key, value);
    // As over HTTP, a step names its transaction and no service.
    request.service = ServiceName();
    request.step = step;
    request.transaction = handle;
    if (step != TransactionStep::kContinue) {
      request.statements.clear();
    }
    return request;
  }

  static std::string value_in(const CallerAnswer& answer) { return answer.results.at(0).rows.at(0).at(0).value(); }

  std::unique_ptr<HostWorld> m_world;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryHostTest);

}  // namespace

}  // namespace teaselrudder
