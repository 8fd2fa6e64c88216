#include "main/flag_parser.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace teaselrudder {

namespace {

const std::string kVariablePrefix = "TEASELRUDDER_";

std::string variable_name(const std::string& flag) {
  std::string name = kVariablePrefix;
  for (const char character : flag) {
    name.push_back(static_cast<char>(std::toupper(static_cast<unsigned char>(character))));
  }
  return name;
}

/// Sets a flag. Returns an error message, or an empty string on success.
std::string set_flag(const FlagRule& rule, const std::string& value) {
  const std::string result = google::SetCommandLineOption(rule.name.c_str(), value.c_str());
  return result.empty() ? describe_bad_value(rule.name, value, rule.allowed) : "";
}

bool is_boolean(const std::string& flag) {
  google::CommandLineFlagInfo info;
  return google::GetCommandLineFlagInfo(flag.c_str(), &info) && info.type == "bool";
}

std::string apply_environment(const std::vector<FlagRule>& rules, const Environment& environment) {
  for (const FlagRule& rule : rules) {
    const auto value = environment(variable_name(rule.name));
    const std::string error = value ? set_flag(rule, *value) : "";
    if (!error.empty()) {
      return error + " (from the environment variable " + variable_name(rule.name) + ")";
    }
  }
  return "";
}

}  // namespace

std::optional<std::string> process_environment(const std::string& name) {
  const char* value = std::getenv(name.c_str());
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

tl::expected<std::vector<std::string>, std::string> apply_flags(const std::vector<FlagRule>& rules,
                                                                const std::vector<std::string>& arguments,
                                                                const Environment& environment) {
  if (const std::string error = apply_environment(rules, environment); !error.empty()) {
    return tl::unexpected(error);
  }
  std::vector<std::string> positional;
  for (auto argument = arguments.begin(); argument != arguments.end(); ++argument) {
    if (!argument->starts_with("--")) {
      positional.push_back(*argument);
      continue;
    }
    const std::size_t equals = argument->find('=');
    const std::string name = argument->substr(2, equals == std::string::npos ? equals : equals - 2);
    const auto rule =
        std::find_if(rules.begin(), rules.end(), [&name](const FlagRule& candidate) { return candidate.name == name; });
    if (rule == rules.end()) {
      return tl::unexpected("--" + name + ": unknown flag; --help lists the flags");
    }
    std::string value = "true";
    if (equals != std::string::npos) {
      value = argument->substr(equals + 1);
    } else if (!is_boolean(name)) {
      if (std::next(argument) == arguments.end()) {
        return tl::unexpected("--" + name + ": no value; expected " + rule->allowed);
      }
      value = *++argument;
    }
    if (const std::string error = set_flag(*rule, value); !error.empty()) {
      return tl::unexpected(error);
    }
  }
  return positional;
}

std::string describe_bad_value(const std::string& flag, const std::string& value, const std::string& allowed) {
  return "--" + flag + ": '" + value + "' is not allowed; expected " + allowed;
}

std::string describe_flags(const std::vector<FlagRule>& rules) {
  std::string text;
  for (const FlagRule& rule : rules) {
    google::CommandLineFlagInfo info;
    if (google::GetCommandLineFlagInfo(rule.name.c_str(), &info)) {
      text += "  --" + rule.name + "=" + info.default_value + "  " + info.description + "; " + rule.allowed + "\n";
    }
  }
  return text;
}

}  // namespace teaselrudder
