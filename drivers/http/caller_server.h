#pragma once

#include <functional>
#include <string>

#include "core/metrics/counters.h"
#include "core/ports/caller_port.h"
#include "drivers/event_loop/clock.h"
#include "drivers/event_loop/event_loop.h"
#include "drivers/http/http_server.h"

namespace teaselrudder {

/// Returns the response body of `GET /metrics` in the Prometheus text exposition format.
using MetricsSource = std::function<std::string()>;

/// HTTP server for callers. Implements the protocol of docs/design.md, section 7.2.
///
/// Requests that violate the protocol are refused and counted here; all others are passed to CallerEvents.
class CallerServer : public CallerPort, private HttpHandler {
 public:
  /// The references must outlive the server. `max_body_bytes` is the maximum size of a request body.
  CallerServer(EventLoop& loop, const Clock& clock, Counters& counters, std::size_t max_body_bytes,
               MetricsSource metrics);

  /// Starts to accept connections at `endpoint` and passes requests to `events`, which must outlive the server. Returns
  /// a one-line error if the address is invalid or cannot be bound.
  tl::expected<void, std::string> listen(const Endpoint& endpoint, CallerEvents& events);

  void answer(CallerRequestId request, tl::expected<CallerAnswer, CallerRefusal> outcome) override;

  /// Sets whether `GET /healthz` responds with status 200 or 503. A load balancer sends no new requests after a 503.
  void set_healthy(bool healthy) { m_healthy = healthy; }

  /// Returns the underlying HTTP server, for access to its port and its graceful stop.
  HttpServer& http() { return m_http; }

 private:
  void on_http_request(HttpRequestId id, HttpRequest request) override;
  void on_http_client_disconnected(HttpRequestId id) override;
  HttpResponse body_too_large() override;

  void serve_get(HttpRequestId id, const HttpRequest& request);
  void serve_post(HttpRequestId id, const HttpRequest& request);
  HttpResponse refuse(int status, Refusal refusal);

  const Clock& m_clock;
  Counters& m_counters;
  std::size_t m_max_body_bytes;
  MetricsSource m_metrics;
  CallerEvents* m_events = nullptr;
  bool m_healthy = true;
  HttpServer m_http;
};

}  // namespace teaselrudder
