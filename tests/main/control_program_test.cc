#include "main/control_program.h"

#include <cppunit/extensions/HelperMacros.h>
#include <gflags/gflags.h>

#include <sstream>

#include "drivers/http/operator_server.h"
#include "main/answer_table.h"
#include "tests/drivers/http/test_client.h"

namespace teaselrudder {

namespace {

using testing::run_with_client;

/// Records all commands. Answers those that begin with `bad` with an error, the others with a table.
class RecordingOperator : public OperatorEvents {
 public:
  void on_operator_command(OperatorRequestId request, std::string command, bool check_only,
                           TimePoint /*now*/) override {
    commands.push_back((check_only ? "check " : "") + command);
    if (command.starts_with("bad")) {
      port->answer(request, {OperatorOutcome::kInvalid, R"({"error":"no such command"})"});
      return;
    }
    port->answer(request, {OperatorOutcome::kDone, R"({"rows":[{"name":"m1","slots":3}]})"});
  }

  OperatorPort* port = nullptr;
  std::vector<std::string> commands;
};

class ControlProgramTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlProgramTest);
  CPPUNIT_TEST(sends_commands_and_shows_answers);
  CPPUNIT_TEST(exit_codes_distinguish_refusals_from_outages);
  CPPUNIT_TEST(bad_usage_sends_nothing);
  CPPUNIT_TEST(formats_tables);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a command that is altered in transit, and against --check being lost, so that a check makes a
  // change.
  void sends_commands_and_shows_answers() {
    serve([this] {
      CPPUNIT_ASSERT_EQUAL(kControlDone, run({"SHOW \"x\""}));
      CPPUNIT_ASSERT_EQUAL(std::string("name  slots\nm1    3\n"), m_out.str());
      CPPUNIT_ASSERT_EQUAL(kControlDone, run({"--check", "--output=json", "ADD MEMBER"}));
      CPPUNIT_ASSERT_EQUAL(std::string("{\"rows\":[{\"name\":\"m1\",\"slots\":3}]}\n"), m_out.str());
      CPPUNIT_ASSERT_EQUAL(kControlDone, run({}, "one\n\ntwo\n"));
    });
    const std::vector<std::string> expected = {"SHOW \"x\"", "check ADD MEMBER", "one", "two"};
    CPPUNIT_ASSERT(expected == m_operator.commands);
  }

  // Guards against exit codes with which a script mistakes a refusal for success or an outage for a refusal.
  void exit_codes_distinguish_refusals_from_outages() {
    serve([this] {
      CPPUNIT_ASSERT_EQUAL(kControlRefused, run({"bad"}));
      CPPUNIT_ASSERT_EQUAL(std::string("error: no such command\n"), m_err.str());
      CPPUNIT_ASSERT_EQUAL(kControlRefused, run({}, "bad\ngood\n"));
    });
    // The server was destroyed, so nothing listens on the port any more.
    CPPUNIT_ASSERT_EQUAL(kControlUnreachable, run({"SHOW"}));
    CPPUNIT_ASSERT(m_err.str().find("no answer from 127.0.0.1") != std::string::npos);
  }

  // Guards against a mistyped flag that is sent as a command.
  void bad_usage_sends_nothing() {
    serve([this] {
      for (const std::vector<std::string>& arguments :
           std::vector<std::vector<std::string>>{{"--host=localhost:1", "x"},
                                                 {"--output=xml", "x"},
                                                 {"--chek", "x"},
                                                 {"a", "b"},
                                                 {"--file=/absent/file"},
                                                 {"--file=/absent/file", "x"},
                                                 {"--check=maybe", "x"}}) {
        CPPUNIT_ASSERT_EQUAL(kControlBadUsage, run(arguments));
        CPPUNIT_ASSERT(!m_err.str().empty());
      }
    });
    CPPUNIT_ASSERT(m_operator.commands.empty());
  }

  // Guards against misaligned columns, lost fields, and names that send control sequences to the terminal.
  void formats_tables() {
    CPPUNIT_ASSERT_EQUAL(std::string("id      state\nほし    -\nlonger  up\nversion: 3\n"),
                         format_answer(R"({"rows":[{"id":"ほし"},{"id":"longer","state":"up"}],"version":3})"));
    CPPUNIT_ASSERT_EQUAL(std::string("(no rows)\n"), format_answer(R"({"rows":[]})"));
    CPPUNIT_ASSERT_EQUAL(std::string("a: ?[2J\nb: {\"c\":[1]}\n"), format_answer(R"({"a":"\u001b[2J","b":{"c":[1]}})"));
    CPPUNIT_ASSERT_EQUAL(std::string("not json\n"), format_answer("not json"));
  }

 private:
  void serve(const std::function<void()>& client) {
    EventLoop loop(m_clock);
    OperatorServer server(loop, m_clock, m_counters, [] { return ""; });
    m_operator.port = &server;
    CPPUNIT_ASSERT(server.listen({"127.0.0.1", 0}, m_operator).has_value());
    m_port = server.http().port();
    run_with_client(loop, client);
  }

  int run(const std::vector<std::string>& arguments, const std::string& input = "") {
    const google::FlagSaver saver;
    std::vector<std::string> all = {"--host=127.0.0.1:" + std::to_string(m_port)};
    all.insert(all.end(), arguments.begin(), arguments.end());
    std::istringstream in(input);
    m_out.str("");
    m_err.str("");
    return run_control(
        all, [](const std::string&) { return std::nullopt; }, in, m_out, m_err);
  }

  SteadyClock m_clock;
  Counters m_counters;
  RecordingOperator m_operator;
  std::uint16_t m_port = 0;
  std::ostringstream m_out;
  std::ostringstream m_err;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlProgramTest);

}  // namespace

}  // namespace teaselrudder
