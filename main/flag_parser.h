#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "tl/expected.hpp"

namespace teaselrudder {

/// Returns the value of an environment variable, or nothing if it is not set.
using Environment = std::function<std::optional<std::string>(const std::string& name)>;

/// Returns the value of a variable in the environment of the process, or nothing if it is not set.
std::optional<std::string> process_environment(const std::string& name);

/// A flag that a program accepts.
struct FlagRule {
  /// Name of the flag, which must be defined with gflags.
  std::string name;
  /// Description of the allowed values for error messages and --help.
  std::string allowed;
};

/// Sets the flags in `rules` from the environment variables `TEASELRUDDER_<FLAG>` (in upper case) and from `arguments`
/// (`--name=value`, `--name value`, or `--name` for a Boolean flag), which take precedence. Returns the positional
/// arguments. The error message contains the flag, the value and the allowed values. The parser of gflags is not used,
/// because it ends the process with its own exit code on an error.
tl::expected<std::vector<std::string>, std::string> apply_flags(const std::vector<FlagRule>& rules,
                                                                const std::vector<std::string>& arguments,
                                                                const Environment& environment);

/// Returns the error message for a value that is not allowed.
std::string describe_bad_value(const std::string& flag, const std::string& value, const std::string& allowed);

/// Returns one line for each flag with its name, default value, description and allowed values.
std::string describe_flags(const std::vector<FlagRule>& rules);

}  // namespace teaselrudder
