#include "servers/host/entry_host.h"

#include <cppunit/extensions/HelperMacros.h>

#include "misc/measure/host_world.h"

namespace teaselrudder {

namespace {

using model::CallerOutcome;
using model::HostWorld;
using model::WorldOptions;

// Longest time that a test waits for the outcome of a request.
constexpr Duration kOutcomeTimeout = std::chrono::seconds(12);
// Longest time for which a lost primary or owner may interrupt writes.
constexpr Duration kFailoverBound = std::chrono::seconds(7);

class EntryHostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryHostTest);
  CPPUNIT_TEST(session_reads_its_write_through_another_host);
  CPPUNIT_TEST(writes_resume_after_the_primary_is_lost);
  CPPUNIT_TEST(write_in_flight_when_primary_is_lost_gets_correct_outcome);
  CPPUNIT_TEST(isolated_primary_acknowledges_no_write);
  CPPUNIT_TEST(write_overtaken_by_promotion_is_not_acknowledged);
  CPPUNIT_TEST(isolated_primary_serves_no_fresh_read);
  CPPUNIT_TEST(reading_transaction_on_a_replaced_primary_is_aborted);
  CPPUNIT_TEST(write_with_lost_answer_is_resolved_correctly);
  CPPUNIT_TEST(write_runs_once_if_its_owner_dies_after_it);
  CPPUNIT_TEST(requests_continue_without_a_frozen_owner);
  CPPUNIT_TEST(writes_resume_after_primary_and_owner_are_lost_together);
  CPPUNIT_TEST(request_that_takes_long_stays_with_its_owner);
  CPPUNIT_TEST(same_request_id_through_two_hosts_runs_once);
  CPPUNIT_TEST(transaction_continues_through_another_host);
  CPPUNIT_TEST(transaction_of_a_dead_host_is_rolled_back);
  CPPUNIT_TEST(statements_of_two_transactions_stay_separate);
  CPPUNIT_TEST(step_that_outlasts_its_deadline_ends_the_transaction);
  CPPUNIT_TEST(callers_that_disconnect_during_begin_hold_no_connection);
  CPPUNIT_TEST(dead_connections_do_not_stop_reads);
  CPPUNIT_TEST(planned_stop_interrupts_no_request);
  CPPUNIT_TEST(leaving_upstream_gets_no_new_work);
  CPPUNIT_TEST(bad_requests_are_refused_as_not_run);
  CPPUNIT_TEST(older_configuration_is_ignored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_world = std::make_unique<HostWorld>(WorldOptions());
    m_world->wait_until_ready();
  }

  // Guards against a stale read when a session moves to another host while the replicas lag behind.
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

  // Guards against acknowledged writes that get lost, and writes that are still refused, after the primary has failed.
  void writes_resume_after_the_primary_is_lost() {
    const CallerAnswer before = succeed(0, HostWorld::write_request("k", "a"));
    m_world->set_member_up(m_world->primary().value(), false);
    const TimePoint lost_at = m_world->now();
    // Lets the hosts notice that their connections are closed. The next test covers a write that was sent before.
    m_world->run_for(std::chrono::milliseconds(50));
    succeed(1, HostWorld::write_request("k", "b"));
    CPPUNIT_ASSERT(m_world->now() - lost_at < std::chrono::seconds(7));
    Request read = HostWorld::read_request("k", Freshness::kFresh);
    read.token = before.token;
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), value_in(succeed(3, read)));
  }

  // Guards against reporting the wrong outcome of a write whose connection closes before the answer arrives.
  void write_in_flight_when_primary_is_lost_gets_correct_outcome() {
    const std::size_t write = m_world->submit(0, HostWorld::write_request("k", "a"));
    m_world->set_member_up(m_world->primary().value(), false);
    const CallerOutcome outcome = wait_for(write);
    const bool acknowledged = outcome.has_value() || outcome.error().refusal.ran == Ran::kYes;
    CPPUNIT_ASSERT_MESSAGE(describe(outcome), acknowledged || outcome.error().refusal.ran == Ran::kNo);
    succeed(0, HostWorld::write_request("k", "b"));
    CPPUNIT_ASSERT_EQUAL(std::string(acknowledged ? "ab" : "b"), m_world->stored(m_world->primary().value(), "k"));
  }

  // Guards against a write that is acknowledged by an isolated primary, which does not know that it was replaced. The
  // write is not part of the new primary's log.
  void isolated_primary_acknowledges_no_write() {
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

  // Guards against acknowledging a write that is lost: after its commit, and before the primary returns its status,
  // another member becomes the primary in a new term, and its log reaches the same position without the write.
  void write_overtaken_by_promotion_is_not_acknowledged() {
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

  // Guards against a fresh read that a replaced primary answers with outdated data.
  void isolated_primary_serves_no_fresh_read() {
    const std::size_t old_primary = m_world->primary().value();
    m_world->isolate(old_primary, true);
    succeed((old_primary * 2 + 2) % m_world->hosts(), HostWorld::write_request("k", "new;"));
    const Refusal refusal = refusal_of(old_primary * 2, HostWorld::read_request("k", Freshness::kFresh));
    CPPUNIT_ASSERT(refusal.ran == Ran::kNo);
  }

  // Guards against a write that is executed again because the host that ran it died before it could answer.
  void write_runs_once_if_its_owner_dies_after_it() {
    m_world->set_service_time(std::chrono::milliseconds(20));
    const std::size_t primary = m_world->primary().value();
    const std::size_t sender = (primary * 2 + 2) % m_world->hosts();
    const std::size_t write = m_world->submit(sender, HostWorld::write_request("k", "a"));
    CPPUNIT_ASSERT(m_world->run_until([&] { return m_world->stored(primary, "k") == "a"; }, kOutcomeTimeout));
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

  // Guards against requests that wait until their deadline for a host that is frozen, and against a write that the
  // host runs when it continues, although its caller was told that it did not run.
  void requests_continue_without_a_frozen_owner() {
    const std::size_t owner = owner_in_first_domain();
    const std::size_t sender = 1 - owner;
    m_world->pause_host(owner, std::chrono::seconds(20));
    const TimePoint paused_at = m_world->now();
    const std::size_t read = m_world->submit(sender, HostWorld::read_request("k", Freshness::kFresh));
    const std::size_t write = m_world->submit(sender, HostWorld::write_request("k", "a"));
    CPPUNIT_ASSERT(wait_for(read).has_value());
    const CallerOutcome outcome = wait_for(write);
    CPPUNIT_ASSERT(m_world->now() - paused_at < kFailoverBound);
    CPPUNIT_ASSERT_MESSAGE(describe(outcome), outcome.has_value() || outcome.error().refusal.ran != Ran::kUnknown);
    succeed(sender, HostWorld::write_request("k", "b"));
    CPPUNIT_ASSERT(m_world->now() - paused_at < kFailoverBound);
    m_world->run_for(std::chrono::seconds(25));
    const bool ran = outcome.has_value() || outcome.error().refusal.ran == Ran::kYes;
    CPPUNIT_ASSERT_EQUAL(std::string(ran ? "ab" : "b"), m_world->stored(m_world->primary().value(), "k"));
  }

  // Guards against a failover that waits for the frozen host that monitored the primary.
  void writes_resume_after_primary_and_owner_are_lost_together() {
    const std::size_t owner = owner_in_first_domain();
    const std::size_t sender = 1 - owner;
    m_world->pause_host(owner, std::chrono::seconds(20));
    m_world->set_member_up(m_world->primary().value(), false);
    const TimePoint lost_at = m_world->now();
    bool served = false;
    while (!served) {
      served = wait_for(m_world->submit(sender, HostWorld::write_request("k", "a"))).has_value();
      CPPUNIT_ASSERT(m_world->now() - lost_at < kFailoverBound);
    }
  }

  // Guards against a host that is taken for frozen because a request that it runs takes long.
  void request_that_takes_long_stays_with_its_owner() {
    const std::size_t owner = owner_in_first_domain();
    const std::size_t sender = 1 - owner;
    m_world->set_service_time(std::chrono::seconds(2));
    succeed(sender, HostWorld::write_request("k", "a"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_world->counters(sender).value("forwards_to_silent_hosts"));
    CPPUNIT_ASSERT(m_world->host(sender).hosts().find(m_world->host(owner).hosts().self().host)->state ==
                   HostState::kAlive);
  }

  // Guards against a read-only transaction that commits although its data is outdated, or whose commit is routed like a
  // new request, after the primary was replaced.
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

  // Guards against a write whose answer is lost and that is reported as not run although it ran, or is executed twice.
  void write_with_lost_answer_is_resolved_correctly() {
    m_world->set_service_time(std::chrono::milliseconds(20));
    const std::size_t write = m_world->submit(0, HostWorld::write_request("k", "a"));
    m_world->run_for(std::chrono::milliseconds(10));
    m_world->make_connections_unresponsive(m_world->primary().value());
    const CallerOutcome outcome = wait_for(write);
    CPPUNIT_ASSERT(!outcome.has_value());
    CPPUNIT_ASSERT(outcome.error().refusal.ran == Ran::kYes);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), m_world->stored(m_world->primary().value(), "k"));
  }

  // Guards against a non-idempotent request that runs twice when its caller sends it through two hosts.
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

  // Guards against a transaction that can be continued only through the host at which its caller began it.
  void transaction_continues_through_another_host() {
    const TransactionHandle handle = begin(0, "k", "a");
    succeed(3, step(handle, TransactionStep::kContinue, "k", "b"));
    CPPUNIT_ASSERT_EQUAL(std::string(), m_world->stored(m_world->primary().value(), "k"));
    succeed(5, step(handle, TransactionStep::kCommit, "", ""));
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), m_world->stored(m_world->primary().value(), "k"));
    CPPUNIT_ASSERT(refusal_of(1, step(handle, TransactionStep::kContinue, "k", "c")).reason ==
                   RefusalReason::kUnknownTransaction);
  }

  // Guards against a transaction that is committed in part, or can still be committed, after the host that held it
  // died.
  void transaction_of_a_dead_host_is_rolled_back() {
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

  // Guards against statements of one transaction that run on the connection of another one.
  void statements_of_two_transactions_stay_separate() {
    const TransactionHandle first = begin(0, "k", "1");
    const TransactionHandle second = begin(2, "k", "2");
    succeed(2, step(first, TransactionStep::kContinue, "k", "1"));
    succeed(0, step(second, TransactionStep::kContinue, "k", "2"));
    succeed(0, step(first, TransactionStep::kRollback, "", ""));
    succeed(0, step(second, TransactionStep::kCommit, "", ""));
    CPPUNIT_ASSERT_EQUAL(std::string("22"), m_world->stored(m_world->primary().value(), "k"));
  }

  // Guards against a statement that is sent on a connection while an earlier one, whose deadline has passed, is still
  // running there.
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

  // Guards against connections that stay reserved for transactions whose callers disconnected before the answer.
  void callers_that_disconnect_during_begin_hold_no_connection() {
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

  // Guards against reads that wait for a TCP timeout on connections that are dead but not closed.
  void dead_connections_do_not_stop_reads() {
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

  // Guards against requests that are interrupted when a host is stopped gracefully and replaced.
  void planned_stop_interrupts_no_request() {
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

  // Guards against requests that are sent to an upstream which operators have marked as leaving, even if it is the
  // primary.
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

  // Guards against invalid requests that crash a host, or that are not reported as certainly not run.
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

  // Guards against an older configuration that arrives late and replaces a newer one.
  void older_configuration_is_ignored() {
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
    CPPUNIT_ASSERT(m_world->run_until([&] { return m_world->outcome(number).has_value(); }, kOutcomeTimeout));
    return *m_world->outcome(number);
  }

  // Returns the index of the host that owns the group in the first failure domain; its hosts are 0 and 1.
  std::size_t owner_in_first_domain() {
    const auto owner = m_world->host(0).groups().owner_of(GroupId("g"), FailureDomainId("d0"));
    return owner == m_world->host(0).hosts().self().host ? 0 : 1;
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
    // As over HTTP, a step names its transaction but no service.
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
