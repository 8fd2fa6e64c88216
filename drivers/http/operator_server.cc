#include "drivers/http/operator_server.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "drivers/http/content_types.h"
#include "drivers/http/strict_json.h"

namespace teaselrudder {

namespace {

using Json = nlohmann::json;

/// Maximum nesting depth of the JSON body. A valid body has 1 level.
constexpr int kMaxCommandDepth = 2;

struct Command {
  std::string text;
  bool check_only = false;
};

tl::expected<Command, std::string> parse_command(const std::string& body) {
  const auto document = parse_strict_json(body, kMaxCommandDepth);
  if (!document) {
    return tl::unexpected(document.error());
  }
  if (!document->is_object()) {
    return tl::unexpected(std::string("the request body is not a JSON object"));
  }
  Command command;
  for (const auto& [name, value] : document->items()) {
    if (name == "command" && value.is_string()) {
      command.text = value.get<std::string>();
    } else if (name == "check_only" && value.is_boolean()) {
      command.check_only = value.get<bool>();
    } else {
      return tl::unexpected("field '" + name + "' is unknown or has the wrong type");
    }
  }
  if (command.text.empty()) {
    return tl::unexpected(std::string("field 'command': expected a string that is not empty"));
  }
  return command;
}

int status_of(OperatorOutcome outcome) {
  switch (outcome) {
    case OperatorOutcome::kDone:
      return 200;
    case OperatorOutcome::kInvalid:
      return 400;
    case OperatorOutcome::kRefused:
      return 409;
  }
  return 409;
}

}  // namespace

OperatorServer::OperatorServer(EventLoop& loop, const Clock& clock, Counters& counters, MetricsSource metrics)
    : m_clock(clock), m_counters(counters), m_metrics(std::move(metrics)), m_http(loop, *this, kMaxBodyBytes) {}

tl::expected<void, std::string> OperatorServer::listen(const Endpoint& endpoint, OperatorEvents& events) {
  m_events = &events;
  return m_http.listen(endpoint);
}

void OperatorServer::answer(OperatorRequestId request, OperatorAnswer answer) {
  m_http.respond(HttpRequestId(request.value()), {status_of(answer.outcome), kJsonContentType, std::move(answer.json)});
}

void OperatorServer::on_http_request(HttpRequestId id, HttpRequest request) {
  if (request.method == "GET" && request.path == "/metrics") {
    m_http.respond(id, {200, kMetricsContentType, m_metrics()});
    return;
  }
  if (request.path != "/v1/commands") {
    m_http.respond(id, refuse(404, RefusalReason::kBadRequest, "the path does not exist"));
    return;
  }
  if (request.method != "POST") {
    m_http.respond(id, refuse(405, RefusalReason::kBadRequest, "commands must be sent with POST"));
    return;
  }
  serve_command(id, request);
}

void OperatorServer::serve_command(HttpRequestId id, const HttpRequest& request) {
  auto command = parse_command(request.body);
  if (!command) {
    m_http.respond(id, refuse(400, RefusalReason::kBadRequest, command.error()));
    return;
  }
  m_events->on_operator_command(OperatorRequestId(id.value()), std::move(command->text), command->check_only,
                                m_clock.now());
}

void OperatorServer::on_http_client_disconnected(HttpRequestId /*id*/) {
  // A command that was started is completed; respond() drops its response.
}

HttpResponse OperatorServer::body_too_large() {
  return refuse(413, RefusalReason::kBodyTooLarge,
                "the request body exceeds " + std::to_string(kMaxBodyBytes) + " bytes");
}

HttpResponse OperatorServer::refuse(int status, RefusalReason reason, const std::string& message) {
  m_counters.count_refusal(reason, Ran::kNo);
  const Json document = {{"error", message}, {"reason", to_string(reason)}};
  return {status, kJsonContentType, document.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

}  // namespace teaselrudder
