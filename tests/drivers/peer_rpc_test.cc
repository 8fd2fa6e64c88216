#include "drivers/rpc/peer_rpc.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <map>

#include "drivers/rpc/peer_codec.h"

namespace teaselrudder {

namespace {

constexpr Duration kLongTimeout = std::chrono::hours(1);
constexpr Duration kShortTimeout = std::chrono::milliseconds(20);

// Records the events. Responds to calls if `respond` is set.
class RecordingPeer : public PeerEvents {
 public:
  void on_peer_request(PeerCallId call, PeerRequest request, TimePoint /*now*/) override {
    CPPUNIT_ASSERT(!inside_port_call);
    requests.emplace_back(call, std::move(request));
    if (respond) {
      port->answer(call, respond(requests.back().second));
    }
  }
  void on_peer_request_cancelled(PeerCallId call, TimePoint /*now*/) override {
    CPPUNIT_ASSERT(!inside_port_call);
    cancelled.push_back(call);
  }
  void on_peer_answered(PeerCallId call, tl::expected<PeerResponse, PeerError> outcome, TimePoint /*now*/) override {
    CPPUNIT_ASSERT(!inside_port_call);
    CPPUNIT_ASSERT(outcomes.emplace(call, std::move(outcome)).second);
  }

  PeerPort* port = nullptr;
  bool inside_port_call = false;
  std::function<PeerResponse(const PeerRequest&)> respond;
  std::vector<std::pair<PeerCallId, PeerRequest>> requests;
  std::vector<PeerCallId> cancelled;
  std::map<PeerCallId, tl::expected<PeerResponse, PeerError>> outcomes;
};

PeerResponse respond_to_any(const PeerRequest& request) {
  if (std::holds_alternative<SubmitRequest>(request)) {
    RequestAnswer answer;
    answer.request_id = std::get<SubmitRequest>(request).envelope.request_id;
    return SubmitReply{answer};
  }
  if (const auto* probe = std::get_if<Probe>(&request)) {
    return ProbeReply{probe->sender, probe->configuration_version, probe->records};
  }
  if (const auto* query = std::get_if<SuspicionQuery>(&request)) {
    return SuspicionReply{true, true, query->term};
  }
  return ConfigurationReply{std::get<FetchConfiguration>(request).known, "{}"};
}

SubmitRequest write_request(const std::string& sql, TransactionStep step = TransactionStep::kNone) {
  RequestEnvelope envelope;
  envelope.service = ServiceName("rooms");
  envelope.group = GroupId("orders");
  envelope.statements = {{sql, {}}};
  envelope.request_id = RequestId("r1");
  envelope.step = step;
  return {envelope};
}

class PeerRpcTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerRpcTest);
  CPPUNIT_TEST(carries_every_kind_of_call_on_one_connection);
  CPPUNIT_TEST(reports_an_unreachable_peer_as_not_delivered);
  CPPUNIT_TEST(reports_a_lost_peer_as_possibly_delivered);
  CPPUNIT_TEST(replaces_an_unresponsive_connection);
  CPPUNIT_TEST(keeps_a_connection_that_answers_other_calls);
  CPPUNIT_TEST(refuses_oversized_messages);
  CPPUNIT_TEST(refuses_calls_above_the_waiting_limit);
  CPPUNIT_TEST(survives_invalid_bytes_on_the_port);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_io = std::make_unique<kj::AsyncIoContext>(kj::setupAsyncIo());
    m_callee_events = std::make_unique<RecordingPeer>();
    m_caller_events = std::make_unique<RecordingPeer>();
    m_counters = std::make_unique<Counters>();
    m_settings.max_waiting_calls = 4;
    m_caller = std::make_unique<PeerRpc>(*m_io, m_clock, m_settings, *m_counters);
    m_caller->set_events(*m_caller_events);
    start_callee(0);
  }

  void tearDown() override {
    m_caller.reset();
    m_callee.reset();
    m_io.reset();
  }

  // Guards against responses that are delivered to the wrong call, and against a new connection for every call.
  void carries_every_kind_of_call_on_one_connection() {
    m_callee_events->respond = respond_to_any;
    const HostRecord host{HostId("h"), FailureDomainId("d"), {"127.0.0.1", 9}, Incarnation(3), HostState::kLeaving};
    call(1, write_request("INSERT"));
    call(2, Probe{host, ConfigurationVersion(5), {host}});
    call(3, SuspicionQuery{GroupId("g"), MemberId("m"), Term(8)});
    call(4, FetchConfiguration{ConfigurationVersion(6)});
    run_until([this] { return m_caller_events->outcomes.size() == 4; });
    call(5, write_request("BEGIN", TransactionStep::kBegin));
    wait_for_answer(5);
    CPPUNIT_ASSERT(std::get<SubmitReply>(*outcome(1)).outcome->request_id == RequestId("r1"));
    CPPUNIT_ASSERT(std::get<ProbeReply>(*outcome(2)).responder == host);
    CPPUNIT_ASSERT(std::get<SuspicionReply>(*outcome(3)).known_term == Term(8));
    CPPUNIT_ASSERT(std::get<ConfigurationReply>(*outcome(4)).version == ConfigurationVersion(6));
    const auto& last = std::get<SubmitRequest>(m_callee_events->requests.back().second);
    CPPUNIT_ASSERT(last.envelope.step == TransactionStep::kBegin);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_counters->value("peer_connection_attempts"));
  }

  // Guards against `may_have_been_delivered` for a call that was never sent, which would prevent a safe retry, and
  // against a busy loop of connection attempts.
  void reports_an_unreachable_peer_as_not_delivered() {
    m_callee.reset();
    call(1, write_request("INSERT"));
    wait_for_answer(1);
    call(2, write_request("INSERT"));
    wait_for_answer(2);
    for (const int id : {1, 2}) {
      CPPUNIT_ASSERT(outcome(id).error().kind == PeerErrorKind::kUnreachable);
      CPPUNIT_ASSERT(!outcome(id).error().may_have_been_delivered);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_counters->value("peer_connection_attempts"));

    start_callee(m_endpoint.port);
    m_callee_events->respond = respond_to_any;
    int id = 2;
    do {
      call(++id, write_request("INSERT"));
      wait_for_answer(id);
    } while (!outcome(id).has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_counters->value("peer_connection_attempts"));
  }

  // Guards against a lost call that is reported as not delivered although the peer received it: a retry would execute
  // the write twice.
  void reports_a_lost_peer_as_possibly_delivered() {
    call(1, write_request("INSERT"));
    run_until([this] { return m_callee_events->requests.size() == 1; });
    m_callee.reset();
    wait_for_answer(1);
    CPPUNIT_ASSERT(outcome(1).error().kind == PeerErrorKind::kLost);
    CPPUNIT_ASSERT(outcome(1).error().may_have_been_delivered);
  }

  // Guards against calls that keep using a connection that never responds, and against a peer that keeps working on a
  // call whose sender has closed the connection.
  void replaces_an_unresponsive_connection() {
    m_callee_events->respond = respond_to_any;
    call(1, write_request("INSERT"));
    wait_for_answer(1);
    m_callee_events->respond = nullptr;
    call(2, write_request("INSERT"), kShortTimeout);
    wait_for_answer(2);
    CPPUNIT_ASSERT(outcome(2).error().kind == PeerErrorKind::kTimeout);
    CPPUNIT_ASSERT(outcome(2).error().may_have_been_delivered);
    m_callee_events->respond = respond_to_any;
    call(3, write_request("INSERT"));
    wait_for_answer(3);
    CPPUNIT_ASSERT(outcome(3).has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_counters->value("peer_connection_attempts"));
    run_until([this] { return m_callee_events->cancelled.size() == 1; });
    CPPUNIT_ASSERT(m_callee_events->cancelled.front() == m_callee_events->requests[1].first);
    m_callee->answer(m_callee_events->cancelled.front(), ConfigurationReply{});
  }

  // Guards against one slow call that causes the connection of the other calls to be replaced.
  void keeps_a_connection_that_answers_other_calls() {
    call(1, write_request("slow"), std::chrono::milliseconds(300));
    run_until([this] { return !m_callee_events->requests.empty() || !m_caller_events->outcomes.empty(); });
    m_callee_events->respond = respond_to_any;
    call(2, write_request("fast"));
    run_until([this] { return m_caller_events->outcomes.size() == 2; });
    CPPUNIT_ASSERT(outcome(2).has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_counters->value("peer_silent_connections"));
  }

  // Guards against messages that exhaust the memory of a host, and against an oversized message that breaks the
  // connection.
  void refuses_oversized_messages() {
    m_callee_events->respond = [](const PeerRequest&) {
      return ConfigurationReply{ConfigurationVersion(1), std::string(kMaxPeerMessageBytes, 'x')};
    };
    call(1, write_request(std::string(kMaxPeerMessageBytes, 'x')));
    call(2, FetchConfiguration{});
    run_until([this] { return m_caller_events->outcomes.size() == 2; });
    CPPUNIT_ASSERT(outcome(1).error().kind == PeerErrorKind::kBadMessage);
    CPPUNIT_ASSERT(!outcome(1).error().may_have_been_delivered);
    CPPUNIT_ASSERT(outcome(2).error().kind == PeerErrorKind::kBadMessage);
    CPPUNIT_ASSERT(outcome(2).error().may_have_been_delivered);

    const std::string largest(1000000, 'x');
    m_callee_events->respond = [&largest](const PeerRequest&) {
      return ConfigurationReply{ConfigurationVersion(1), largest};
    };
    call(3, FetchConfiguration{});
    wait_for_answer(3);
    CPPUNIT_ASSERT(std::get<ConfigurationReply>(*outcome(3)).document == largest);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_counters->value("peer_connection_attempts"));
  }

  // Guards against an unbounded number of calls in memory while a peer cannot be reached.
  void refuses_calls_above_the_waiting_limit() {
    for (int id = 1; id <= 5; ++id) {
      call(id, write_request("INSERT"));
    }
    wait_for_answer(5);
    CPPUNIT_ASSERT(outcome(5).error().message.find("too many calls wait") != std::string::npos);
    CPPUNIT_ASSERT(!outcome(5).error().may_have_been_delivered);
    run_until([this] { return m_callee_events->requests.size() == 4; });
  }

  // Guards against a client that sends invalid bytes and thereby stops the server for all other clients.
  void survives_invalid_bytes_on_the_port() {
    auto address = m_io->provider->getNetwork().parseAddress("127.0.0.1", m_endpoint.port).wait(m_io->waitScope);
    auto stream = address->connect().wait(m_io->waitScope);
    const std::string garbage(4096, '\x7f');
    stream->write(garbage.data(), garbage.size()).wait(m_io->waitScope);
    m_callee_events->respond = respond_to_any;
    call(1, write_request("INSERT"));
    wait_for_answer(1);
    CPPUNIT_ASSERT(outcome(1).has_value());
  }

 private:
  void start_callee(std::uint16_t port) {
    m_callee = std::make_unique<PeerRpc>(*m_io, m_clock, m_settings, *m_counters);
    m_callee->set_events(*m_callee_events);
    m_callee_events->port = m_callee.get();
    const auto listening = m_callee->listen({"127.0.0.1", port});
    CPPUNIT_ASSERT(listening.has_value());
    m_endpoint = {"127.0.0.1", *listening};
  }

  void call(int id, const PeerRequest& request, Duration timeout = kLongTimeout) {
    m_caller_events->inside_port_call = true;
    m_caller->call(PeerCallId(static_cast<std::uint64_t>(id)), m_endpoint, request, timeout);
    m_caller_events->inside_port_call = false;
  }

  template <typename Condition>
  void run_until(Condition condition) {
    while (!condition()) {
      m_io->provider->getTimer().afterDelay(1 * kj::MILLISECONDS).wait(m_io->waitScope);
    }
  }

  void wait_for_answer(int id) {
    run_until([this, id] { return m_caller_events->outcomes.contains(PeerCallId(static_cast<std::uint64_t>(id))); });
  }

  const tl::expected<PeerResponse, PeerError>& outcome(int id) const {
    return m_caller_events->outcomes.at(PeerCallId(static_cast<std::uint64_t>(id)));
  }

  std::unique_ptr<kj::AsyncIoContext> m_io;
  SteadyClock m_clock;
  PeerRpcSettings m_settings;
  Endpoint m_endpoint;
  std::unique_ptr<Counters> m_counters;
  std::unique_ptr<RecordingPeer> m_caller_events;
  std::unique_ptr<RecordingPeer> m_callee_events;
  std::unique_ptr<PeerRpc> m_caller;
  std::unique_ptr<PeerRpc> m_callee;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerRpcTest);

}  // namespace

}  // namespace teaselrudder
