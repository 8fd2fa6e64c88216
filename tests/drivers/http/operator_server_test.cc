#include "drivers/http/operator_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/drivers/http/test_client.h"

namespace teaselrudder {

namespace {

using testing::exchange_http;
using testing::run_with_client;
using testing::TestResponse;

/// Responds to each command with the outcome that the text of the command names.
class CommandNameEvents : public OperatorEvents {
 public:
  void on_operator_command(OperatorRequestId request, std::string command, bool check_only,
                           TimePoint /*now*/) override {
    const OperatorOutcome outcome = command == "done"      ? OperatorOutcome::kDone
                                    : command == "invalid" ? OperatorOutcome::kInvalid
                                                           : OperatorOutcome::kRefused;
    port->answer(request, {outcome, check_only ? R"({"checked":true})" : R"({"checked":false})"});
  }

  OperatorPort* port = nullptr;
};

class OperatorServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorServerTest);
  CPPUNIT_TEST(returns_the_status_of_each_outcome);
  CPPUNIT_TEST(refuses_invalid_documents);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a refused command that is reported as done, and against `check_only` being ignored.
  void returns_the_status_of_each_outcome() {
    serve([](std::uint16_t port) {
      CPPUNIT_ASSERT_EQUAL(200, exchange_http(port, "POST", "/v1/commands", R"({"command":"done"})").status);
      CPPUNIT_ASSERT_EQUAL(400, exchange_http(port, "POST", "/v1/commands", R"({"command":"invalid"})").status);
      const TestResponse checked =
          exchange_http(port, "POST", "/v1/commands", R"({"command":"refused","check_only":true})");
      CPPUNIT_ASSERT_EQUAL(409, checked.status);
      CPPUNIT_ASSERT_EQUAL(std::string(R"({"checked":true})"), checked.body);
      CPPUNIT_ASSERT_EQUAL(std::string("metric 1\n"), exchange_http(port, "GET", "/metrics").body);
    });
  }

  // Guards against an unknown or misspelt field that is ignored: a command meant as a check would be executed.
  void refuses_invalid_documents() {
    serve([](std::uint16_t port) {
      for (const char* body : {"", "{", "[]", "{}", R"({"command":7})", R"({"command":""})",
                               R"({"command":"done","check_only":"yes"})", R"({"command":"done","checkonly":true})",
                               R"({"command":"done","command":"done"})", R"({"command":[[[[]]]]})"}) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(body, 400, exchange_http(port, "POST", "/v1/commands", body).status);
      }
      CPPUNIT_ASSERT_EQUAL(404, exchange_http(port, "POST", "/v1/command", "{}").status);
      CPPUNIT_ASSERT_EQUAL(405, exchange_http(port, "GET", "/v1/commands").status);
    });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, m_counters.refusals(RefusalReason::kBadRequest, Ran::kNo));
  }

 private:
  void serve(const std::function<void(std::uint16_t)>& client) {
    EventLoop loop(m_clock);
    CommandNameEvents events;
    OperatorServer server(loop, m_clock, m_counters, [] { return "metric 1\n"; });
    events.port = &server;
    CPPUNIT_ASSERT(server.listen({"127.0.0.1", 0}, events).has_value());
    run_with_client(loop, [&] { client(server.http().port()); });
  }

  SteadyClock m_clock;
  Counters m_counters;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorServerTest);

}  // namespace

}  // namespace teaselrudder
