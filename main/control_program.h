#pragma once

#include <istream>
#include <ostream>
#include <string>
#include <vector>

#include "main/flag_parser.h"

namespace teaselrudder {

/// Exit codes of the operators' program.
inline constexpr int kControlDone = 0;
inline constexpr int kControlRefused = 1;
inline constexpr int kControlBadUsage = 2;
inline constexpr int kControlUnreachable = 3;

/// Runs the operators' program with the arguments after its name and returns its exit code. Commands come from one
/// argument, from --file, or line by line from `in`; of several lines the last failure decides the exit code.
int run_control(const std::vector<std::string>& arguments, const Environment& environment, std::istream& in,
                std::ostream& out, std::ostream& err);

}  // namespace teaselrudder
