#include "main/control_program.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string_view>

#include "main/answer_table.h"
#include "main/endpoint_text.h"
#include "main/log_commands.h"
#include "main/operator_client.h"

DEFINE_string(host, "", "address of a daemon's operator port");
DEFINE_string(file, "", "file whose commands are sent as one request");
DEFINE_string(output, "table", "output format of the answers");
DEFINE_bool(check, false, "only validate the commands, without applying them");

namespace teaselrudder {

namespace {

constexpr int kStatusDone = 200;

const std::string kHostRule = "ip:port with a numeric IP address";
const std::string kFileRule = "a readable file";
const std::string kOutputRule = "table or json";

std::vector<FlagRule> flag_rules() {
  return {{"host", kHostRule}, {"file", kFileRule}, {"output", kOutputRule}, {"check", "true or false"}};
}

bool is_blank(std::string_view text) { return text.find_first_not_of(" \t\r\n") == std::string_view::npos; }

/// Sends commands to one daemon and prints the answers.
class ControlSession {
 public:
  ControlSession(const Endpoint& daemon, std::ostream& out, std::ostream& err)
      : m_client(daemon), m_out(out), m_err(err) {}

  int send(const std::string& command) {
    const auto reply = m_client.send(command, FLAGS_check);
    if (!reply) {
      m_err << "teaselctl: no answer from " << FLAGS_host << ": " << reply.error()
            << "; the command may have taken effect if it was sent" << std::endl;
      return kControlUnreachable;
    }
    const bool done = reply->status == kStatusDone;
    (done ? m_out : m_err) << (FLAGS_output == "json" ? reply->body + "\n" : format_answer(reply->body)) << std::flush;
    return done ? kControlDone : kControlRefused;
  }

  int send_lines(std::istream& in) {
    int exit_code = kControlDone;
    for (std::string line; exit_code != kControlUnreachable && std::getline(in, line);) {
      const int code = is_blank(line) ? kControlDone : send(line);
      exit_code = code == kControlDone ? exit_code : code;
    }
    return exit_code;
  }

 private:
  OperatorClient m_client;
  std::ostream& m_out;
  std::ostream& m_err;
};

/// Returns an error message about the flags and arguments, or an empty string if they are valid.
std::string check_usage(const std::vector<std::string>& commands) {
  if (!parse_endpoint(FLAGS_host)) {
    return describe_bad_value("host", FLAGS_host, kHostRule);
  }
  if (FLAGS_output != "table" && FLAGS_output != "json") {
    return describe_bad_value("output", FLAGS_output, kOutputRule);
  }
  if (commands.size() > 1 || (!commands.empty() && !FLAGS_file.empty())) {
    return "'" + commands.back() + "' is not allowed; expected one command in quotes, or --file, or lines on stdin";
  }
  return "";
}

}  // namespace

int run_control(const std::vector<std::string>& arguments, const Environment& environment, std::istream& in,
                std::ostream& out, std::ostream& err) {
  if (std::find(arguments.begin(), arguments.end(), "--help") != arguments.end()) {
    out << "teaselctl --host=ip:port [--check] [--output=table|json] \"command\"\n"
        << describe_flags(flag_rules())
        << "teaselctl explain REQUEST LOG...\n  shows the path of a request through the logs\n"
        << "teaselctl timeline GROUP LOG...\n  shows the failovers of a group in the logs\n";
    return kControlDone;
  }
  if (is_log_command(arguments)) {
    return run_log_command(arguments, out, err);
  }
  const auto commands = apply_flags(flag_rules(), arguments, environment);
  const std::string error = commands ? check_usage(*commands) : commands.error();
  if (!error.empty()) {
    err << "teaselctl: " << error << std::endl;
    return kControlBadUsage;
  }
  ControlSession session(*parse_endpoint(FLAGS_host), out, err);
  if (!commands->empty()) {
    return session.send(commands->front());
  }
  if (FLAGS_file.empty()) {
    return session.send_lines(in);
  }
  std::ifstream file(FLAGS_file);
  std::ostringstream content;
  content << file.rdbuf();
  if (!file.good() || is_blank(content.str())) {
    err << "teaselctl: " << describe_bad_value("file", FLAGS_file, kFileRule + " with a command") << std::endl;
    return kControlBadUsage;
  }
  return session.send(content.str());
}

}  // namespace teaselrudder
