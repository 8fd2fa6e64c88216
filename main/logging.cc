#include "main/logging.h"

#include <easylogging++.h>

#include <algorithm>
#include <array>

INITIALIZE_EASYLOGGINGPP

namespace teaselrudder {

namespace {

/// The levels in ascending severity. easylogging++ orders its own constants differently.
const std::array<std::pair<std::string_view, el::Level>, 4> kLevels = {{
    {"debug", el::Level::Debug},
    {"info", el::Level::Info},
    {"warning", el::Level::Warning},
    {"error", el::Level::Error},
}};

bool needs_quotes(std::string_view value) {
  const auto is_special = [](char character) {
    return static_cast<unsigned char>(character) <= ' ' || character == '"' || character == '=' || character == '\\' ||
           character == '\x7f';
  };
  return value.empty() || std::any_of(value.begin(), value.end(), is_special);
}

void append_quoted(std::string& line, std::string_view value) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  line.push_back('"');
  for (const char character : value) {
    const auto code = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      line.push_back('\\');
      line.push_back(character);
    } else if (code < ' ' || code == 0x7f) {
      line += "\\x";
      line.push_back(kDigits[code >> 4U]);
      line.push_back(kDigits[code & 0xfU]);
    } else {
      line.push_back(character);
    }
  }
  line.push_back('"');
}

}  // namespace

void setup_logging(std::string_view level) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  bool enabled = false;
  for (const auto& [name, constant] : kLevels) {
    enabled = enabled || name == level;
    configuration.set(constant, el::ConfigurationType::Enabled, enabled ? "true" : "false");
    configuration.set(constant, el::ConfigurationType::Format,
                      "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=" + std::string(name) + " %msg");
  }
  el::Loggers::reconfigureAllLoggers(configuration);
}

std::string format_log_line(std::string_view event, const LogFields& fields) {
  std::string line = "event=" + std::string(event);
  for (const auto& [key, value] : fields) {
    line.append(" ").append(key).append("=");
    if (needs_quotes(value)) {
      append_quoted(line, value);
    } else {
      line += value;
    }
  }
  return line;
}

void log_state_change(std::string_view event, const LogFields& fields) { LOG(INFO) << format_log_line(event, fields); }

void log_warning(std::string_view event, const LogFields& fields) { LOG(WARNING) << format_log_line(event, fields); }

void log_error(std::string_view event, const LogFields& fields) { LOG(ERROR) << format_log_line(event, fields); }

}  // namespace teaselrudder
