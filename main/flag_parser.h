#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "tl/expected.hpp"

namespace teaselrudder {

/// Returns the value of an environment variable, or nothing if it is not set.
using Environment = std::function<std::optional<std::string>(const std::string& name)>;

/// Reads the environment of the process.
std::optional<std::string> process_environment(const std::string& name);

/// A flag that a program offers.
struct FlagRule {
  /// Name of a flag that is defined with gflags.
  std::string name;
  /// What values are allowed, for messages.
  std::string allowed;
};

/// Sets the flags in `rules` from the environment variables `TEASELRUDDER_<FLAG>` in upper case and then from
/// `arguments` (`--name=value`, `--name value`, and `--name` alone for a Boolean flag), which win, and returns the
/// other arguments. The error names the flag, the value and what is allowed. The parser of gflags is not used, because
/// it ends the process with its own exit code.
tl::expected<std::vector<std::string>, std::string> apply_flags(const std::vector<FlagRule>& rules,
                                                                const std::vector<std::string>& arguments,
                                                                const Environment& environment);

/// Returns a message about a value that is not allowed.
std::string describe_bad_value(const std::string& flag, const std::string& value, const std::string& allowed);

/// Returns one line for each flag: its name, its default, its description and what is allowed.
std::string describe_flags(const std::vector<FlagRule>& rules);

}  // namespace teaselrudder
