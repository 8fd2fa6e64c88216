#include "drivers/http/caller_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <optional>

#include "tests/drivers/http/test_client.h"

namespace teaselrudder {

namespace {

using testing::exchange_http;
using testing::Http2Frame;
using testing::Http2TestConnection;
using testing::read_response;
using testing::run_with_client;
using testing::TestConnection;
using testing::TestResponse;

constexpr std::size_t kMaxBody = 4096;
const std::string kPath = "/v1/services/rooms/statements";
const std::string kBody = R"({"statements":[{"sql":"SELECT 1"}]})";

/// Records the events. Tests set `on_request` and `on_disconnected` to react to them.
class RecordingEvents : public CallerEvents {
 public:
  void on_caller_request(CallerRequestId id, Request request, TimePoint /*now*/) override {
    requests.push_back(std::move(request));
    ids.push_back(id);
    on_request(id);
  }
  void on_caller_disconnected(CallerRequestId id, TimePoint /*now*/) override {
    disconnected.push_back(id);
    on_disconnected();
  }

  std::vector<Request> requests;
  std::vector<CallerRequestId> ids;
  std::vector<CallerRequestId> disconnected;
  std::function<void(CallerRequestId)> on_request = [](CallerRequestId) {};
  std::function<void()> on_disconnected = [] {};
};

CallerAnswer make_answer(const std::string& token) { return {{}, token, RequestId("r"), MemberId("m"), {}}; }

class CallerServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerServerTest);
  CPPUNIT_TEST(responds_within_the_event_and_keeps_the_connection);
  CPPUNIT_TEST(responds_later_from_a_kj_continuation);
  CPPUNIT_TEST(reports_disconnected_http1_caller_and_drops_late_response);
  CPPUNIT_TEST(serves_http2_streams_out_of_order);
  CPPUNIT_TEST(reports_reset_http2_stream);
  CPPUNIT_TEST(refuses_invalid_requests_with_reason_and_counter);
  CPPUNIT_TEST(refuses_oversized_bodies);
  CPPUNIT_TEST(survives_input_that_is_not_http);
  CPPUNIT_TEST(serves_health_and_metrics);
  CPPUNIT_TEST(graceful_stop_finishes_http1_requests);
  CPPUNIT_TEST(graceful_stop_finishes_http2_requests);
  CPPUNIT_TEST(closes_idle_connections_on_demand);
  CPPUNIT_TEST(destruction_closes_connections_with_open_requests);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_events = std::make_unique<RecordingEvents>();
    m_loop = std::make_unique<EventLoop>(m_clock);
    m_server = std::make_unique<CallerServer>(*m_loop, m_clock, m_counters, kMaxBody, [] { return "metric 1\n"; });
    CPPUNIT_ASSERT(m_server->listen({"127.0.0.1", 0}, *m_events).has_value());
    m_port = m_server->http().port();
  }

  void tearDown() override {
    m_server.reset();
    m_loop.reset();
    m_events.reset();
  }

  // Guards against a response that is lost, or closes the connection, because it is sent before the handler returns.
  void responds_within_the_event_and_keeps_the_connection() {
    m_events->on_request = [&](CallerRequestId id) { m_server->answer(id, make_answer("t")); };
    run_with_client(*m_loop, [&] {
      TestConnection connection(m_port);
      for (int repetition = 0; repetition < 3; ++repetition) {
        const TestResponse response = exchange_http(connection, "POST", kPath, kBody);
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"request_id":"r","results":[],"served_by":"m","token":"t"})"),
                             response.body);
      }
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_events->requests.size());
    CPPUNIT_ASSERT(m_events->requests[0].service == ServiceName("rooms"));
    CPPUNIT_ASSERT_EQUAL(std::string("SELECT 1"), m_events->requests[0].statements[0].sql);
    CPPUNIT_ASSERT(m_events->disconnected.empty());
  }

  // Guards against a response that stays unsent because it was given in a KJ continuation and libuv does not run again.
  void responds_later_from_a_kj_continuation() {
    std::optional<kj::Promise<void>> pending;
    m_events->on_request = [&](CallerRequestId id) {
      pending = m_loop->async_io()
                    .provider->getTimer()
                    .afterDelay(2 * kj::MILLISECONDS)
                    .then([this, id] { m_server->answer(id, make_answer("late")); })
                    .eagerlyEvaluate(nullptr);
    };
    run_with_client(*m_loop, [&] { CPPUNIT_ASSERT_EQUAL(200, exchange_http(m_port, "POST", kPath, kBody).status); });
  }

  // Guards against work for a caller that has disconnected, and against its response reaching another caller.
  void reports_disconnected_http1_caller_and_drops_late_response() {
    std::promise<void> received;
    std::promise<void> reported;
    m_events->on_request = [&](CallerRequestId) { received.set_value(); };
    m_events->on_disconnected = [&] { reported.set_value(); };
    run_with_client(*m_loop, [&] {
      {
        TestConnection connection(m_port);
        connection.send("POST " + kPath + " HTTP/1.1\r\nhost: test\r\ncontent-length: " + std::to_string(kBody.size()) +
                        "\r\n\r\n" + kBody);
        received.get_future().wait();
      }
      reported.get_future().wait();
    });
    CPPUNIT_ASSERT(m_events->disconnected == m_events->ids);
    m_server->answer(m_events->ids[0], make_answer("late"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_server->http().open_requests());
  }

  // Guards against responses that are swapped between the streams of one connection.
  void serves_http2_streams_out_of_order() {
    m_events->on_request = [&](CallerRequestId id) {
      if (m_events->ids.size() == 2) {
        m_server->answer(id, make_answer("second"));
        m_server->answer(m_events->ids[0], make_answer("first"));
      }
    };
    run_with_client(*m_loop, [&] {
      Http2TestConnection connection(m_port);
      connection.send_request(1, kPath, kBody);
      connection.send_request(3, kPath, kBody);
      CPPUNIT_ASSERT_EQUAL(Http2TestConnection::kStatus200,
                           connection.read_frame(Http2TestConnection::kHeaders).payload[0]);
      for (int answer = 0; answer < 2; ++answer) {
        const Http2Frame data = connection.read_frame(Http2TestConnection::kData);
        const std::string token = data.stream == 1 ? "first" : "second";
        CPPUNIT_ASSERT(data.payload.find("\"token\":\"" + token + "\"") != std::string::npos);
      }
    });
  }

  // Guards against work for an HTTP/2 stream that the caller has reset.
  void reports_reset_http2_stream() {
    std::promise<void> received;
    std::promise<void> reported;
    m_events->on_request = [&](CallerRequestId) { received.set_value(); };
    m_events->on_disconnected = [&] { reported.set_value(); };
    run_with_client(*m_loop, [&] {
      Http2TestConnection connection(m_port);
      connection.send_request(1, kPath, kBody);
      received.get_future().wait();
      connection.send({Http2TestConnection::kResetStream, 0, 1, std::string("\0\0\0\x08", 4)});
      reported.get_future().wait();
    });
    CPPUNIT_ASSERT(m_events->disconnected == m_events->ids);
  }

  // Guards against an invalid request that is executed, is not counted, or gets a response that is not a refusal.
  void refuses_invalid_requests_with_reason_and_counter() {
    run_with_client(*m_loop, [&] {
      TestConnection connection(m_port);
      const auto expect = [&](int status, const char* method, const std::string& path, const std::string& body) {
        const TestResponse response = exchange_http(connection, method, path, body);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(path, status, response.status);
        CPPUNIT_ASSERT(response.body.find(R"("ran":"no")") != std::string::npos);
      };
      expect(400, "POST", kPath, "{");
      expect(400, "POST", kPath, "");
      expect(404, "POST", "/v1/services/rooms", kBody);
      expect(404, "GET", "/", "");
      expect(405, "DELETE", kPath, "");
      expect(404, "POST", "/v1/services/" + std::string(65, 's') + "/statements", kBody);
    });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, m_counters.refusals(RefusalReason::kBadRequest, Ran::kNo));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_counters.refusals(RefusalReason::kUnknownService, Ran::kNo));
    CPPUNIT_ASSERT(m_events->requests.empty());
  }

  // Guards against request bodies of unlimited size in memory. Covers bodies just above the limit, far above it,
  // without a content length, and on HTTP/2.
  void refuses_oversized_bodies() {
    run_with_client(*m_loop, [&] {
      for (const std::size_t size : {kMaxBody + 1, std::size_t{10000000}}) {
        TestConnection connection(m_port);
        connection.send("POST " + kPath + " HTTP/1.1\r\nhost: test\r\ncontent-length: " + std::to_string(size) +
                        "\r\n\r\n" + std::string(kMaxBody + 1, ' '));
        const TestResponse response = read_response(connection);
        CPPUNIT_ASSERT_EQUAL(413, response.status);
        CPPUNIT_ASSERT(response.body.find(R"("reason":"body_too_large")") != std::string::npos);
      }
      TestConnection chunked(m_port);
      chunked.send("POST " + kPath + " HTTP/1.1\r\nhost: test\r\ntransfer-encoding: chunked\r\n\r\n2000\r\n" +
                   std::string(0x2000, ' ') + "\r\n0\r\n\r\n");
      CPPUNIT_ASSERT_EQUAL(413, read_response(chunked).status);
      Http2TestConnection http2(m_port);
      http2.send_request(1, kPath, std::string(kMaxBody + 1, ' '));
      CPPUNIT_ASSERT(http2.read_frame(Http2TestConnection::kData).payload.find("body_too_large") != std::string::npos);
    });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, m_counters.refusals(RefusalReason::kBodyTooLarge, Ran::kNo));
  }

  // Guards against a crash on bytes that are not HTTP.
  void survives_input_that_is_not_http() {
    run_with_client(*m_loop, [&] {
      for (const std::string& bytes :
           {std::string("\0\xff\r\n\r\n", 6), std::string("GET\r\n\r\n"),
            std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff\xff\xff\xff\xff\xff")}) {
        TestConnection connection(m_port);
        connection.send(bytes);
        connection.read_all();
      }
      CPPUNIT_ASSERT_EQUAL(200, exchange_http(m_port, "GET", "/healthz").status);
    });
  }

  // Guards against a health check that still succeeds while the host is stopping, so that a load balancer keeps sending
  // requests to it.
  void serves_health_and_metrics() {
    run_with_client(*m_loop, [&] {
      CPPUNIT_ASSERT_EQUAL(200, exchange_http(m_port, "GET", "/healthz").status);
      CPPUNIT_ASSERT_EQUAL(std::string("metric 1\n"), exchange_http(m_port, "GET", "/metrics").body);
    });
    m_server->set_healthy(false);
    run_with_client(*m_loop, [&] { CPPUNIT_ASSERT_EQUAL(503, exchange_http(m_port, "GET", "/healthz").status); });
  }

  // Guards against a graceful stop that interrupts a request, or that lets the client reuse the connection afterwards.
  void graceful_stop_finishes_http1_requests() {
    std::promise<void> drained;
    m_events->on_request = [&](CallerRequestId id) {
      m_server->http().begin_stop([&] { drained.set_value(); });
      m_loop->schedule(m_clock.now() + std::chrono::milliseconds(5),
                       [this, id] { m_server->answer(id, make_answer("t")); });
    };
    run_with_client(*m_loop, [&] {
      TestConnection connection(m_port);
      const TestResponse response = exchange_http(connection, "POST", kPath, kBody);
      CPPUNIT_ASSERT_EQUAL(200, response.status);
      CPPUNIT_ASSERT(response.head.find("connection: close") != std::string::npos);
      CPPUNIT_ASSERT_EQUAL(std::string(), connection.read_all());
      drained.get_future().wait();
      CPPUNIT_ASSERT(!TestConnection(m_port).connected());
    });
  }

  // Guards against the same failures on HTTP/2, where GOAWAY replaces the `connection: close` header.
  void graceful_stop_finishes_http2_requests() {
    std::promise<void> drained;
    m_events->on_request = [&](CallerRequestId id) {
      m_server->http().begin_stop([&] { drained.set_value(); });
      m_loop->schedule(m_clock.now() + std::chrono::milliseconds(5),
                       [this, id] { m_server->answer(id, make_answer("t")); });
    };
    run_with_client(*m_loop, [&] {
      Http2TestConnection connection(m_port);
      connection.send_request(1, kPath, kBody);
      CPPUNIT_ASSERT(!connection.read_frame(Http2TestConnection::kGoAway).payload.empty());
      CPPUNIT_ASSERT(!connection.read_frame(Http2TestConnection::kData).payload.empty());
      drained.get_future().wait();
    });
  }

  // Guards against a graceful stop that waits for a client with an idle connection.
  void closes_idle_connections_on_demand() {
    std::promise<void> drained;
    m_events->on_request = [&](CallerRequestId id) { m_server->answer(id, make_answer("t")); };
    run_with_client(*m_loop, [&] {
      TestConnection connection(m_port);
      exchange_http(connection, "POST", kPath, kBody);
    });
    TestConnection idle(m_port);
    m_loop->run_uv_iteration();
    m_loop->run_uv_iteration();
    m_server->http().begin_stop([&] { drained.set_value(); });
    CPPUNIT_ASSERT(m_server->http().connections() > 0);
    m_server->http().close_idle_connections();
    run_with_client(*m_loop, [&] {
      CPPUNIT_ASSERT_EQUAL(std::string(), idle.read_all());
      drained.get_future().wait();
    });
  }

  // Guards against h2o accessing freed memory after the destruction of a server with open requests.
  void destruction_closes_connections_with_open_requests() {
    std::promise<void> received;
    m_events->on_request = [&](CallerRequestId) {
      if (m_events->ids.size() == 2) {
        received.set_value();
      }
    };
    Http2TestConnection http2(m_port);
    TestConnection http1(m_port);
    run_with_client(*m_loop, [&] {
      http2.send_request(1, kPath, kBody);
      http1.send("POST " + kPath + " HTTP/1.1\r\nhost: test\r\ncontent-length: " + std::to_string(kBody.size()) +
                 "\r\n\r\n" + kBody);
      received.get_future().wait();
    });
    m_server.reset();
    CPPUNIT_ASSERT(m_events->disconnected.empty());
    CPPUNIT_ASSERT(http2.read_frame(Http2TestConnection::kData).payload.empty());
  }

 private:
  SteadyClock m_clock;
  Counters m_counters;
  std::unique_ptr<RecordingEvents> m_events;
  std::unique_ptr<EventLoop> m_loop;
  std::unique_ptr<CallerServer> m_server;
  std::uint16_t m_port = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerServerTest);

}  // namespace

}  // namespace teaselrudder
