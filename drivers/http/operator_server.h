#pragma once

#include <string>

#include "core/metrics/counters.h"
#include "core/ports/operator_port.h"
#include "drivers/event_loop/clock.h"
#include "drivers/event_loop/event_loop.h"
#include "drivers/http/caller_server.h"
#include "drivers/http/http_server.h"

namespace teaselrudder {

/// HTTP server for operators. It serves `POST /v1/commands` with a body of the form
/// `{"command": "...", "check_only": false}`, and `GET /metrics`. The status is 200 for a command that was executed,
/// 400 for an invalid one and 409 for a refused one.
class OperatorServer : public OperatorPort, private HttpHandler {
 public:
  /// Maximum size of a request body in bytes. It leaves room for a configuration document, which has at most 1 MB.
  static constexpr std::size_t kMaxBodyBytes = std::size_t{2} << 20;

  /// The references must outlive the server.
  OperatorServer(EventLoop& loop, const Clock& clock, Counters& counters, MetricsSource metrics);

  /// Starts to accept connections at `endpoint` and passes commands to `events`, which must outlive the server. Returns
  /// a one-line error if the address is invalid or cannot be bound.
  tl::expected<void, std::string> listen(const Endpoint& endpoint, OperatorEvents& events);

  void answer(OperatorRequestId request, OperatorAnswer answer) override;

  /// Returns the underlying HTTP server, for access to its port and its graceful stop.
  HttpServer& http() { return m_http; }

 private:
  void on_http_request(HttpRequestId id, HttpRequest request) override;
  void on_http_client_disconnected(HttpRequestId id) override;
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
