#include "drivers/http/caller_server.h"

#include <utility>

#include "drivers/http/content_types.h"
#include "drivers/http/request_json.h"

namespace teaselrudder {

namespace {

Refusal make_refusal(RefusalReason reason, std::string detail) {
  return {reason, Ran::kNo, std::nullopt, std::move(detail), ""};
}

}  // namespace

CallerServer::CallerServer(EventLoop& loop, const Clock& clock, Counters& counters, std::size_t max_body_bytes,
                           MetricsSource metrics)
    : m_clock(clock),
      m_counters(counters),
      m_max_body_bytes(max_body_bytes),
      m_metrics(std::move(metrics)),
      m_http(loop, *this, max_body_bytes) {}

tl::expected<void, std::string> CallerServer::listen(const Endpoint& endpoint, CallerEvents& events) {
  m_events = &events;
  return m_http.listen(endpoint);
}

void CallerServer::answer(CallerRequestId request, tl::expected<CallerAnswer, CallerRefusal> outcome) {
  const HttpRequestId id(request.value());
  if (!outcome) {
    const int status = http_status(outcome.error().refusal.reason);
    m_http.respond(id, {status, kJsonContentType, write_refusal(outcome.error())});
    return;
  }
  m_http.respond(id, {200, kJsonContentType, write_answer(*outcome)});
}

void CallerServer::on_http_request(HttpRequestId id, HttpRequest request) {
  if (request.method == "POST") {
    serve_post(id, request);
    return;
  }
  if (request.method == "GET") {
    serve_get(id, request);
    return;
  }
  m_http.respond(id, refuse(405, make_refusal(RefusalReason::kBadRequest, "the HTTP method is neither GET nor POST")));
}

void CallerServer::serve_get(HttpRequestId id, const HttpRequest& request) {
  if (request.path == "/healthz") {
    m_http.respond(id, {m_healthy ? 200 : 503, kTextContentType, m_healthy ? "ok\n" : "stopping\n"});
    return;
  }
  if (request.path == "/metrics") {
    m_http.respond(id, {200, kMetricsContentType, m_metrics()});
    return;
  }
  m_http.respond(id, refuse(404, make_refusal(RefusalReason::kBadRequest, "the path does not exist for GET")));
}

void CallerServer::serve_post(HttpRequestId id, const HttpRequest& request) {
  const auto route = parse_route(request.path);
  if (!route) {
    m_http.respond(id, refuse(404, make_refusal(RefusalReason::kBadRequest, "the path does not exist for POST")));
    return;
  }
  auto parsed = parse_request(*route, request.body);
  if (!parsed) {
    const int status = http_status(parsed.error().reason);
    m_http.respond(id, refuse(status, std::move(parsed.error())));
    return;
  }
  m_events->on_caller_request(CallerRequestId(id.value()), std::move(*parsed), m_clock.now());
}

void CallerServer::on_http_client_disconnected(HttpRequestId id) {
  m_events->on_caller_disconnected(CallerRequestId(id.value()), m_clock.now());
}

HttpResponse CallerServer::body_too_large() {
  const std::string detail = "the request body exceeds " + std::to_string(m_max_body_bytes) + " bytes";
  return refuse(http_status(RefusalReason::kBodyTooLarge), make_refusal(RefusalReason::kBodyTooLarge, detail));
}

HttpResponse CallerServer::refuse(int status, Refusal refusal) {
  m_counters.count_refusal(refusal.reason, refusal.ran);
  return {status, kJsonContentType, write_refusal({std::move(refusal), "", RequestId()})};
}

}  // namespace teaselrudder
