#include "drivers/http/request_json.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "core/config/configuration_json.h"
#include "core/session/session_token.h"
#include "drivers/http/strict_json.h"

namespace teaselrudder {

namespace {

using Json = nlohmann::json;
using ParseResult = tl::expected<void, Refusal>;

constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::string_view kTransactionPrefix = "/v1/transactions/";

tl::unexpected<Refusal> refuse(RefusalReason reason, std::string detail) {
  return tl::unexpected(Refusal{reason, Ran::kNo, std::nullopt, std::move(detail), ""});
}

tl::unexpected<Refusal> refuse_field(std::string_view field, std::string_view expected) {
  return refuse(RefusalReason::kBadRequest, "field '" + std::string(field) + "': expected " + std::string(expected));
}

/// A text with a zero byte cannot be passed to the database, whose protocol uses zero bytes to terminate texts.
bool has_zero_byte(const std::string& text) { return text.find('\0') != std::string::npos; }

bool is_printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char character) { return character > ' ' && character <= '~'; });
}

tl::expected<std::optional<std::string>, Refusal> parse_parameter(const Json& value) {
  if (value.is_null()) {
    return std::nullopt;
  }
  if (value.is_string() && !has_zero_byte(value.get_ref<const std::string&>())) {
    return value.get<std::string>();
  }
  if (value.is_boolean() || value.is_number_integer()) {
    return value.dump();
  }
  // Floating-point numbers are refused: the text that the JSON library writes for one may differ from the text that the
  // caller sent, which would change the value.
  return refuse_field("params",
                      "strings without zero bytes, integers, booleans and nulls; send fractional numbers as strings");
}

ParseResult parse_parameters(const Json& values, Statement& statement) {
  if (!values.is_array()) {
    return refuse_field("params", "a list");
  }
  for (const Json& value : values) {
    auto parameter = parse_parameter(value);
    if (!parameter) {
      return tl::unexpected(parameter.error());
    }
    statement.parameters.push_back(std::move(*parameter));
  }
  return {};
}

ParseResult parse_statement(const Json& value, Request& request) {
  if (!value.is_object() || !value.contains("sql")) {
    return refuse_field("statements", "objects with the field 'sql'");
  }
  Statement statement;
  for (const auto& [name, field] : value.items()) {
    if (name == "params") {
      if (ParseResult parsed = parse_parameters(field, statement); !parsed) {
        return parsed;
      }
    } else if (name != "sql") {
      return refuse(RefusalReason::kBadRequest, "unknown field '" + name + "' in a statement");
    } else if (!field.is_string() || field.get_ref<const std::string&>().empty() ||
               has_zero_byte(field.get_ref<const std::string&>())) {
      return refuse_field("sql", "a string that is not empty and has no zero bytes");
    } else {
      statement.sql = field.get<std::string>();
    }
  }
  request.statements.push_back(std::move(statement));
  return {};
}

ParseResult parse_statements(const Json& value, Request& request) {
  if (!value.is_array() || value.size() > kMaxStatementsPerRequest) {
    return refuse_field("statements", "a list of at most " + std::to_string(kMaxStatementsPerRequest) + " statements");
  }
  for (const Json& statement : value) {
    if (ParseResult parsed = parse_statement(statement, request); !parsed) {
      return parsed;
    }
  }
  return {};
}

ParseResult parse_token(const Json& value, Request& request) {
  if (!value.is_string()) {
    return refuse_field("token", "a string");
  }
  if (value.get_ref<const std::string&>().size() > SessionTokenCodec::kMaxTokenLength) {
    return refuse(RefusalReason::kTokenMalformed, "the token is too long");
  }
  request.token = value.get<std::string>();
  return {};
}

ParseResult parse_request_id(const Json& value, Request& request) {
  const std::string* text = value.get_ptr<const std::string*>();
  if (text == nullptr || text->empty() || text->size() > kMaxRequestIdLength || !is_printable(*text)) {
    return refuse_field("request_id",
                        "1 to " + std::to_string(kMaxRequestIdLength) + " printable ASCII characters without spaces");
  }
  request.request_id = RequestId(*text);
  return {};
}

ParseResult parse_freshness(const Json& value, Request& request) {
  request.freshness = value.is_string() ? freshness_from_string(value.get_ref<const std::string&>()) : std::nullopt;
  return request.freshness ? ParseResult{} : refuse_field("freshness", "'fresh', 'own_writes' or 'max_age'");
}

ParseResult parse_urgency(const Json& value, Request& request) {
  request.urgency = value.is_string() ? urgency_from_string(value.get_ref<const std::string&>()) : std::nullopt;
  return request.urgency ? ParseResult{} : refuse_field("urgency", "'urgent', 'normal' or 'background'");
}

/// Parses an integer number of milliseconds from `lowest` to `highest`, both included.
ParseResult parse_milliseconds(std::string_view field, const Json& value, Duration lowest, Duration highest,
                               std::optional<Duration>& target) {
  const bool in_range =
      value.is_number_integer() && value >= to_milliseconds(lowest) && value <= to_milliseconds(highest);
  if (!in_range) {
    return refuse_field(field, "an integer from " + std::to_string(to_milliseconds(lowest)) + " to " +
                                   std::to_string(to_milliseconds(highest)));
  }
  target = std::chrono::milliseconds(value.get<std::int64_t>());
  return {};
}

ParseResult parse_max_age(const Json& value, Request& request) {
  return parse_milliseconds("max_age_ms", value, Duration::zero(), kMaxMaxAge, request.max_age);
}

ParseResult parse_deadline(const Json& value, Request& request) {
  return parse_milliseconds("deadline_ms", value, std::chrono::milliseconds(1), kMaxDeadline, request.deadline);
}

ParseResult parse_flag(std::string_view field, const Json& value, std::optional<bool>& target) {
  if (!value.is_boolean()) {
    return refuse_field(field, "true or false");
  }
  target = value.get<bool>();
  return {};
}

ParseResult parse_idempotent(const Json& value, Request& request) {
  return parse_flag("idempotent", value, request.idempotent);
}

ParseResult parse_read_only(const Json& value, Request& request) {
  return parse_flag("read_only", value, request.read_only);
}

/// Describes a field of a request: its name, the transaction steps that allow it, and its parser.
struct Field {
  std::string_view name;
  /// The field affects the routing of a request. It is not allowed in an open transaction, whose route is fixed.
  bool only_when_opening;
  ParseResult (*parse)(const Json&, Request&);
};

constexpr std::array<Field, 9> kFields = {{
    {"statements", false, parse_statements},
    {"token", false, parse_token},
    {"request_id", false, parse_request_id},
    {"urgency", false, parse_urgency},
    {"deadline_ms", false, parse_deadline},
    {"freshness", true, parse_freshness},
    {"max_age_ms", true, parse_max_age},
    {"idempotent", true, parse_idempotent},
    {"read_only", true, parse_read_only},
}};

bool is_opening_step(TransactionStep step) { return step == TransactionStep::kNone || step == TransactionStep::kBegin; }

bool accepts_statements(TransactionStep step) { return is_opening_step(step) || step == TransactionStep::kContinue; }

bool requires_statements(TransactionStep step) {
  return step == TransactionStep::kNone || step == TransactionStep::kContinue;
}

ParseResult parse_field(const std::string& name, const Json& value, Request& request) {
  const auto* field =
      std::find_if(kFields.begin(), kFields.end(), [&name](const Field& known) { return known.name == name; });
  if (field == kFields.end()) {
    return refuse(RefusalReason::kBadRequest, "unknown field '" + name + "'");
  }
  const bool allowed = (!field->only_when_opening || is_opening_step(request.step)) &&
                       (field->parse != parse_statements || accepts_statements(request.step));
  if (!allowed) {
    return refuse(RefusalReason::kBadRequest, "field '" + name + "' is not allowed at this path");
  }
  return field->parse(value, request);
}

ParseResult check_combination(const Request& request) {
  if (requires_statements(request.step) && request.statements.empty()) {
    return refuse_field("statements", "at least one statement");
  }
  if (request.max_age && request.freshness && request.freshness != Freshness::kMaxAge) {
    return refuse(RefusalReason::kBadRequest, "field 'max_age_ms' contradicts 'freshness'");
  }
  return {};
}

ParseResult check_route(const CallerRoute& route) {
  if (route.service.value().size() > kMaxNameLength) {
    return refuse(RefusalReason::kUnknownService, "the service name is too long");
  }
  if (route.transaction.value().size() > kMaxTransactionHandleLength) {
    return refuse(RefusalReason::kUnknownTransaction, "the transaction handle is too long");
  }
  return {};
}

Json result_to_json(const ResultSet& result) {
  Json rows = Json::array();
  for (const auto& row : result.rows) {
    Json values = Json::array();
    for (const std::optional<std::string>& value : row) {
      values.push_back(value ? Json(*value) : Json(nullptr));
    }
    rows.push_back(std::move(values));
  }
  return {{"columns", result.columns}, {"rows", std::move(rows)}, {"affected", result.affected}};
}

/// Serializes compact JSON. Invalid UTF-8 in values of an upstream is replaced by U+FFFD instead of causing an
/// exception.
std::string dump(const Json& document) { return document.dump(-1, ' ', false, Json::error_handler_t::replace); }

}  // namespace

std::optional<CallerRoute> parse_route(std::string_view path) {
  const bool is_service_path = path.starts_with(kServicePrefix);
  if (!is_service_path && !path.starts_with(kTransactionPrefix)) {
    return std::nullopt;
  }
  path.remove_prefix(is_service_path ? kServicePrefix.size() : kTransactionPrefix.size());
  const std::size_t slash = path.find('/');
  if (slash == 0 || slash == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string name(path.substr(0, slash));
  const std::string_view action = path.substr(slash + 1);
  if (is_service_path && (action == "statements" || action == "transactions")) {
    const auto step = action == "statements" ? TransactionStep::kNone : TransactionStep::kBegin;
    return CallerRoute{ServiceName(name), step, TransactionHandle()};
  }
  const std::array<std::pair<std::string_view, TransactionStep>, 3> steps = {{
      {"statements", TransactionStep::kContinue},
      {"commit", TransactionStep::kCommit},
      {"rollback", TransactionStep::kRollback},
  }};
  for (const auto& [known, step] : steps) {
    if (!is_service_path && action == known) {
      return CallerRoute{ServiceName(), step, TransactionHandle(name)};
    }
  }
  return std::nullopt;
}

tl::expected<Request, Refusal> parse_request(const CallerRoute& route, std::string_view body) {
  if (ParseResult checked = check_route(route); !checked) {
    return tl::unexpected(checked.error());
  }
  const auto document = parse_strict_json(body.empty() ? "{}" : body, kMaxJsonDepth);
  if (!document) {
    return refuse(RefusalReason::kBadRequest, document.error());
  }
  if (!document->is_object()) {
    return refuse(RefusalReason::kBadRequest, "the request body is not a JSON object");
  }
  Request request;
  request.service = route.service;
  request.step = route.step;
  request.transaction = route.transaction;
  for (const auto& [name, value] : document->items()) {
    if (ParseResult parsed = parse_field(name, value, request); !parsed) {
      return tl::unexpected(parsed.error());
    }
  }
  if (ParseResult checked = check_combination(request); !checked) {
    return tl::unexpected(checked.error());
  }
  return request;
}

std::string write_answer(const CallerAnswer& answer) {
  Json document = {{"results", Json::array()},
                   {"token", answer.token},
                   {"request_id", answer.request_id.value()},
                   {"served_by", answer.served_by.value()}};
  for (const ResultSet& result : answer.results) {
    document["results"].push_back(result_to_json(result));
  }
  if (!answer.transaction.value().empty()) {
    document["transaction"] = answer.transaction.value();
  }
  return dump(document);
}

std::string write_refusal(const CallerRefusal& refusal) {
  const Refusal& cause = refusal.refusal;
  Json fields = {{"reason", to_string(cause.reason)},
                 {"ran", to_string(cause.ran)},
                 {"retry_after_ms", nullptr},
                 {"detail", cause.detail}};
  if (cause.retry_after) {
    fields["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(*cause.retry_after).count();
  }
  if (!cause.sqlstate.empty()) {
    fields["sqlstate"] = cause.sqlstate;
  }
  Json document = {{"refusal", std::move(fields)}};
  if (!refusal.token.empty()) {
    document["token"] = refusal.token;
  }
  if (!refusal.request_id.value().empty()) {
    document["request_id"] = refusal.request_id.value();
  }
  return dump(document);
}

int http_status(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kBadRequest:
    case RefusalReason::kTokenMalformed:
    case RefusalReason::kTokenAltered:
    case RefusalReason::kTokenOtherService:
    case RefusalReason::kTokenFutureTerm:
    case RefusalReason::kStatementFailed:
    case RefusalReason::kConfigurationInvalid:
      return 400;
    case RefusalReason::kUnknownService:
    case RefusalReason::kUnknownTransaction:
      return 404;
    case RefusalReason::kTransactionBusy:
    case RefusalReason::kTransactionAborted:
    case RefusalReason::kDuplicateRequest:
    case RefusalReason::kConfigurationConflict:
      return 409;
    case RefusalReason::kBodyTooLarge:
      return 413;
    case RefusalReason::kQueueFull:
    case RefusalReason::kRetryBudgetExhausted:
      return 429;
    case RefusalReason::kQueueDeadline:
    case RefusalReason::kConfirmationTimeout:
    case RefusalReason::kUpstreamTimeout:
      return 504;
    default:
      return 503;
  }
}

}  // namespace teaselrudder
