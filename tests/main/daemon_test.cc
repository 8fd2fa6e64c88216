#include "main/daemon.h"

#include <cppunit/extensions/HelperMacros.h>
#include <gflags/gflags.h>
#include <unistd.h>

#include <csignal>
#include <future>
#include <sstream>
#include <thread>

#include "main/logging.h"
#include "tests/drivers/http/test_client.h"

namespace teaselrudder {

namespace {

using testing::exchange_http;

const std::string kPath = "/v1/services/rooms/statements";
const std::string kBody = R"({"statements":[{"sql":"SELECT 1"}]})";

Settings make_settings() {
  Settings settings;
  settings.caller = {"127.0.0.1", 0};
  settings.operators = {"127.0.0.1", 0};
  settings.max_body_bytes = 4096;
  settings.stop_timeout = std::chrono::minutes(10);
  return settings;
}

/// Replaces the entry host. Holds one request open and answers it when the stop begins.
class FakeHost : public HostRuntime, private CallerEvents, private OperatorEvents {
 public:
  explicit FakeHost(CallerPort& port) : m_port(port) {}

  CallerEvents& caller_events() override { return *this; }
  OperatorEvents& operator_events() override { return *this; }
  std::uint16_t peer_port() const override { return 7; }
  std::string metrics() const override { return "placeholder 1\n"; }
  void begin_stop(TimePoint /*now*/, std::function<void()> stopped) override {
    stop_began.set_value();
    if (finish_stop) {
      m_port.answer(m_request, CallerAnswer{{}, "t", RequestId("r"), MemberId("m"), {}});
      stopped();
    }
  }

  std::promise<void> received;
  std::promise<void> stop_began;
  bool finish_stop = true;

 private:
  void on_caller_request(CallerRequestId id, Request /*request*/, TimePoint /*now*/) override {
    m_request = id;
    received.set_value();
  }
  void on_caller_disconnected(CallerRequestId /*id*/, TimePoint /*now*/) override {}
  void on_operator_command(OperatorRequestId /*request*/, std::string /*command*/, bool /*check_only*/,
                           TimePoint /*now*/) override {}

  CallerPort& m_port;
  CallerRequestId m_request;
};

class DaemonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DaemonTest);
  CPPUNIT_TEST(signal_starts_a_graceful_stop);
  CPPUNIT_TEST(second_signal_ends_at_once);
  CPPUNIT_TEST(stop_timeout_ends_a_stop);
  CPPUNIT_TEST(exit_codes_distinguish_bad_settings_from_failures);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { setup_logging("error"); }
  void tearDown() override { setup_logging("info"); }

  // Guards against a graceful stop that interrupts a request or never ends.
  void signal_starts_a_graceful_stop() {
    start(make_settings());
    CPPUNIT_ASSERT_EQUAL(std::string("ready caller=") + std::to_string(m_caller_port) +
                             " peer=7 operator=" + std::to_string(m_operator_port) + "\n",
                         m_output.str());
    std::thread client([this] { m_status = exchange_http(m_caller_port, "POST", kPath, kBody).status; });
    std::thread operators([this] {
      m_host->received.get_future().wait();
      m_metrics = exchange_http(m_operator_port, "GET", "/metrics").body;
      kill(getpid(), SIGTERM);
    });
    CPPUNIT_ASSERT(m_daemon->run());
    client.join();
    operators.join();
    CPPUNIT_ASSERT_EQUAL(200, m_status);
    CPPUNIT_ASSERT(m_metrics.find("teaselrudder_refusals_total") != std::string::npos);
    CPPUNIT_ASSERT(m_metrics.find("placeholder 1\n") != std::string::npos);
    m_daemon.reset();
  }

  // Guards against a stop that an operator cannot abort, and against a health check that still succeeds during the
  // stop.
  void second_signal_ends_at_once() {
    start(make_settings());
    m_host->finish_stop = false;
    std::thread client([this] {
      kill(getpid(), SIGINT);
      m_host->stop_began.get_future().wait();
      m_status = exchange_http(m_caller_port, "GET", "/healthz").status;
      kill(getpid(), SIGINT);
    });
    CPPUNIT_ASSERT(!m_daemon->run());
    client.join();
    CPPUNIT_ASSERT_EQUAL(503, m_status);
    m_daemon.reset();
  }

  // Guards against a stop that waits indefinitely for a request which never ends.
  void stop_timeout_ends_a_stop() {
    Settings settings = make_settings();
    settings.stop_timeout = std::chrono::milliseconds(10);
    start(settings);
    m_host->finish_stop = false;
    kill(getpid(), SIGTERM);
    CPPUNIT_ASSERT(!m_daemon->run());
    m_daemon.reset();
  }

  // Guards against an exit code with which a supervisor restarts a daemon whose settings are invalid.
  void exit_codes_distinguish_bad_settings_from_failures() {
    const google::FlagSaver saver;
    const Environment environment = [](const std::string&) { return std::nullopt; };
    std::ostringstream out;
    std::ostringstream err;
    bool created = false;
    const HostFactory factory = [&created](const DaemonServices&) {
      created = true;
      return tl::unexpected(std::string("no host"));
    };
    CPPUNIT_ASSERT_EQUAL(kExitBadSettings, run_daemon({"--max_queue=0"}, environment, factory, out, err));
    CPPUNIT_ASSERT(err.str().find("--max_queue: '0'") != std::string::npos);
    CPPUNIT_ASSERT(!created);
    CPPUNIT_ASSERT_EQUAL(kExitDone, run_daemon({"--help"}, environment, factory, out, err));
    CPPUNIT_ASSERT(out.str().find("--suspicion_ms=750") != std::string::npos);
    const std::vector<std::string> valid = {"--max_queue=1", "--host_id=h", "--failure_domain=f",
                                            "--token_key=0123456789abcdef", "--store_endpoints=127.0.0.1:1"};
    CPPUNIT_ASSERT_EQUAL(kExitFailed, run_daemon(valid, environment, factory, out, err));
    CPPUNIT_ASSERT(created);
  }

 private:
  void start(const Settings& settings) {
    m_output.str("");
    m_daemon = std::make_unique<Daemon>(settings);
    const auto factory = [this](const DaemonServices& services) {
      auto host = std::make_unique<FakeHost>(services.caller_port);
      m_host = host.get();
      return tl::expected<std::unique_ptr<HostRuntime>, std::string>(std::move(host));
    };
    CPPUNIT_ASSERT(m_daemon->start(factory, m_output).has_value());
    const std::string line = m_output.str();
    m_caller_port = static_cast<std::uint16_t>(std::stoi(line.substr(line.find("caller=") + 7)));
    m_operator_port = static_cast<std::uint16_t>(std::stoi(line.substr(line.find("operator=") + 9)));
  }

  std::ostringstream m_output;
  std::unique_ptr<Daemon> m_daemon;
  FakeHost* m_host = nullptr;
  std::uint16_t m_caller_port = 0;
  std::uint16_t m_operator_port = 0;
  int m_status = 0;
  std::string m_metrics;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonTest);

}  // namespace

}  // namespace teaselrudder
