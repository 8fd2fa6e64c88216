#pragma once

#include <istream>
#include <ostream>
#include <string>
#include <vector>

#include "main/flag_parser.h"

namespace teaselrudder {

/// Exit codes of teaselctl, the command-line program for operators.
inline constexpr int kControlDone = 0;
inline constexpr int kControlRefused = 1;
inline constexpr int kControlBadUsage = 2;
inline constexpr int kControlUnreachable = 3;

/// Runs teaselctl and returns its exit code. `arguments` excludes the program's name. The commands come from one
/// argument, from --file, or line by line from `in`. If several lines fail, the exit code is that of the last failure;
/// after kControlUnreachable no further lines are sent.
int run_control(const std::vector<std::string>& arguments, const Environment& environment, std::istream& in,
                std::ostream& out, std::ostream& err);

}  // namespace teaselrudder
