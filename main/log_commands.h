#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace teaselrudder {

/// Tells whether the operators' program reads logs for these arguments (`explain` or `timeline`).
bool is_log_command(const std::vector<std::string>& arguments);

/// Runs `explain REQUEST LOG...` or `timeline GROUP LOG...` and returns the exit code of the operators' program.
int run_log_command(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

}  // namespace teaselrudder
