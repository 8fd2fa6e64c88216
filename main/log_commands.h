#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace teaselrudder {

/// Returns true if the arguments of teaselctl are a command that reads log files (`explain` or `timeline`).
bool is_log_command(const std::vector<std::string>& arguments);

/// Runs `explain REQUEST LOG...` or `timeline GROUP LOG...` and returns the exit code of teaselctl.
int run_log_command(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

}  // namespace teaselrudder
