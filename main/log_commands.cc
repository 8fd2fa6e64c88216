#include "main/log_commands.h"

#include <fstream>

#include "main/control_program.h"
#include "servers/explain/log_explainer.h"

namespace teaselrudder {

namespace {

constexpr std::string_view kExplain = "explain";
constexpr std::string_view kTimeline = "timeline";

}  // namespace

bool is_log_command(const std::vector<std::string>& arguments) {
  return !arguments.empty() && (arguments.front() == kExplain || arguments.front() == kTimeline);
}

int run_log_command(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err) {
  if (arguments.size() < 3) {
    err << "teaselctl: " << arguments.front() << " needs "
        << (arguments.front() == kExplain ? "a request id" : "a group id")
        << " and the log files of one or more processes" << std::endl;
    return kControlBadUsage;
  }
  LogArchive logs;
  for (std::size_t index = 2; index < arguments.size(); ++index) {
    std::ifstream file(arguments[index]);
    if (!file.good()) {
      err << "teaselctl: " << arguments[index] << ": cannot be opened for reading" << std::endl;
      return kControlBadUsage;
    }
    logs.add(arguments[index], file);
  }
  for (const auto& [what, count] : logs.bad_lines()) {
    err << "teaselctl: " << count << " lines skipped, " << what << std::endl;
  }
  if (arguments.front() == kTimeline) {
    const std::vector<std::string> events = explain_group(logs, arguments[1]);
    for (const std::string& line : events) {
      out << line << "\n";
    }
    return events.empty() ? kControlRefused : kControlDone;
  }
  const RequestExplanation explanation = explain_request(logs, arguments[1]);
  for (const std::string& line : explanation.timeline) {
    out << line << "\n";
  }
  out << "cause: " << explanation.cause << std::endl;
  return explanation.found ? kControlDone : kControlRefused;
}

}  // namespace teaselrudder
