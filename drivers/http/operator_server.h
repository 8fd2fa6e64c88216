#pragma once

#include <string>

#include "core/metrics/counters.h"
#include "core/ports/operator_port.h"
#include "drivers/event_loop/clock.h"
#include "drivers/event_loop/event_loop.h"
#include "drivers/http/caller_server.h"
#include "drivers/http/http_server.h"

namespace teaselrudder {

/// The operators' protocol over HTTP: `POST /v1/commands` with `{"command": "...", "check_only": false}`, and
/// `GET /metrics`. Done commands get status 200, invalid ones 400, refused ones 409.
class OperatorServer : public OperatorPort, private HttpHandler {
 public:
  /// Longest body of a command, in bytes: a configuration document has at most a megabyte.
  static constexpr std::size_t kMaxBodyBytes = std::size_t{2} << 20;

  /// The references must outlive the server.
  OperatorServer(EventLoop& loop, const Clock& clock, Counters& counters, MetricsSource metrics);

  /// Starts to accept connections at `endpoint` and passes commands to `events`, which must outlive the server. The
  /// error is one line.
  tl::expected<void, std::string> listen(const Endpoint& endpoint, OperatorEvents& events);

  void answer(OperatorRequestId request, OperatorAnswer answer) override;

  /// Returns the server below, for its port and its graceful stop.
  HttpServer& http() { return m_http; }

 private:
  void on_http_request(HttpRequestId id, HttpRequest request) override;
  void on_http_gone(HttpRequestId id) override;
  HttpResponse body_too_large() override;

  void serve_command(HttpRequestId id, const HttpRequest& request);
  HttpResponse refuse(int status, RefusalReason reason, const std::string& message);

  const Clock& m_clock;
  Counters& m_counters;
  MetricsSource m_metrics;
  OperatorEvents* m_events = nullptr;
  HttpServer m_http;
};

}  // namespace teaselrudder
