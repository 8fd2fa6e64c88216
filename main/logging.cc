#include "main/logging.h"

#include <easylogging++.h>

#include <array>
#include <utility>

#include "core/event_line.h"

INITIALIZE_EASYLOGGINGPP

namespace teaselrudder {

namespace {

/// The log levels in ascending severity. The constants of easylogging++ are in a different order.
const std::array<std::pair<std::string_view, el::Level>, 4> kLevels = {{
    {"debug", el::Level::Debug},
    {"info", el::Level::Info},
    {"warning", el::Level::Warning},
    {"error", el::Level::Error},
}};

/// Sends formatted lines to the sink.
class SinkDispatch final : public el::LogDispatchCallback {
 public:
  static inline LogSink sink;

 protected:
  void handle(const el::LogDispatchData* data) override {
    if (!sink) {
      return;
    }
    const el::LogMessage* const message = data->logMessage();
    sink(message->logger()->logBuilder()->build(message, false));
  }
};

}  // namespace

void set_log_sink(LogSink sink) {
  const bool to_sink = static_cast<bool>(sink);
  SinkDispatch::sink = std::move(sink);
  el::Helpers::installLogDispatchCallback<SinkDispatch>("SinkDispatch");
  el::Helpers::logDispatchCallback<el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback")
      ->setEnabled(!to_sink);
}

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

void log_state_change(std::string_view event, const LogFields& fields) { LOG(INFO) << format_event(event, fields); }

void log_warning(std::string_view event, const LogFields& fields) { LOG(WARNING) << format_event(event, fields); }

void log_error(std::string_view event, const LogFields& fields) { LOG(ERROR) << format_event(event, fields); }

}  // namespace teaselrudder
