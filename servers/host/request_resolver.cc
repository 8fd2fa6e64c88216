#include "servers/host/request_resolver.h"

#include <algorithm>
#include <utility>

#include "core/session/transaction_handle.h"

namespace teaselrudder {

namespace {

Refusal refuse(RefusalReason reason, std::string detail) {
  Refusal refusal;
  refusal.reason = reason;
  refusal.ran = Ran::kNo;
  refusal.detail = std::move(detail);
  return refusal;
}

Refusal refuse_token(SessionTokenError error) {
  switch (error) {
    case SessionTokenError::kMalformed:
      return refuse(RefusalReason::kTokenMalformed, "the session token is truncated or not in the known form");
    case SessionTokenError::kAltered:
      return refuse(RefusalReason::kTokenAltered, "the session token fails authentication");
    case SessionTokenError::kOtherService:
      return refuse(RefusalReason::kTokenOtherService, "the session token belongs to another service");
  }
  return refuse(RefusalReason::kTokenMalformed, "the session token is invalid");
}

// Returns whether the statement begins with a word that starts, ends or divides a transaction.
bool is_transaction_control(std::string_view sql) {
  const std::size_t begin = sql.find_first_not_of(" \t\r\n");
  if (begin == std::string_view::npos) {
    return false;
  }
  std::string word;
  for (const char character : sql.substr(begin)) {
    if (character < 'A' || (character > 'Z' && character < 'a') || character > 'z') {
      break;
    }
    word += static_cast<char>(character | 0x20);
  }
  constexpr std::string_view kTransactionControlWords[] = {"begin", "start",     "commit",  "end",    "rollback",
                                                           "abort", "savepoint", "prepare", "release"};
  return std::find(std::begin(kTransactionControlWords), std::end(kTransactionControlWords), word) !=
         std::end(kTransactionControlWords);
}

std::optional<std::string> find_statement_error(const std::vector<Statement>& statements) {
  if (statements.size() > kMaxStatements) {
    return "a request may have at most " + std::to_string(kMaxStatements) + " statements";
  }
  for (const Statement& statement : statements) {
    if (statement.sql.empty() || statement.sql.size() > kMaxStatementBytes) {
      return "a statement must have 1 to " + std::to_string(kMaxStatementBytes) + " bytes";
    }
    if (statement.sql.find('\0') != std::string::npos) {
      return std::string("a statement contains a zero byte");
    }
    if (statement.parameters.size() > kMaxParameters) {
      return "a statement may have at most " + std::to_string(kMaxParameters) + " parameters";
    }
    // The statements run in a transaction that also records the request id. A commit among the statements would
    // separate the write from that record.
    if (is_transaction_control(statement.sql)) {
      return std::string("transaction control statements are not allowed; use the transaction calls");
    }
  }
  return std::nullopt;
}

std::optional<std::string> find_parameter_error(const Request& request) {
  if (request.deadline.has_value() && (*request.deadline <= Duration::zero() || *request.deadline > kMaxDeadline)) {
    return std::string("the deadline must be above 0 and at most 10 minutes");
  }
  if (request.max_age.has_value() && (*request.max_age < Duration::zero() || *request.max_age > kMaxMaxAge)) {
    return std::string("the maximum age must be between 0 and 24 hours");
  }
  if (request.request_id.has_value()) {
    const std::string& id = request.request_id->value();
    const bool printable =
        std::all_of(id.begin(), id.end(), [](char character) { return character > ' ' && character <= '~'; });
    if (id.empty() || id.size() > kMaxRequestIdLength || !printable) {
      return "a request id must have 1 to " + std::to_string(kMaxRequestIdLength) +
             " printable characters without spaces";
    }
  }
  const bool needs_statements = request.step == TransactionStep::kNone || request.step == TransactionStep::kContinue;
  if (needs_statements && request.statements.empty()) {
    return std::string("the request has no statements");
  }
  return find_statement_error(request.statements);
}

}  // namespace

tl::expected<RequestEnvelope, Refusal> resolve_request(const Request& request, const Configuration& configuration,
                                                       const SessionTokenCodec& tokens, const RequestId& generated_id) {
  const bool continues = request.step != TransactionStep::kNone && request.step != TransactionStep::kBegin;
  ServiceName name = request.service;
  if (continues) {
    // A step names its transaction and no service. The service whose defaults apply is part of the handle.
    const auto address = TransactionHandleCodec(tokens.key()).decode(request.transaction);
    if (!address.has_value()) {
      return tl::unexpected(refuse(RefusalReason::kUnknownTransaction, "the transaction handle is malformed"));
    }
    name = address->service;
  }
  const auto found = configuration.services.find(name);
  if (found == configuration.services.end()) {
    return tl::unexpected(refuse(RefusalReason::kUnknownService, "no service '" + name.value() + "' is configured"));
  }
  if (const std::optional<std::string> error = find_parameter_error(request)) {
    return tl::unexpected(refuse(RefusalReason::kBadRequest, *error));
  }
  const ServiceConfiguration& service = found->second;
  const auto session = tokens.decode(request.token, service.name, service.group);
  if (!session.has_value()) {
    return tl::unexpected(refuse_token(session.error()));
  }

  RequestEnvelope envelope;
  envelope.service = service.name;
  envelope.group = service.group;
  envelope.statements = request.statements;
  envelope.step = request.step;
  envelope.transaction = request.transaction;
  envelope.session = *session;
  envelope.freshness = request.freshness.value_or(service.freshness);
  envelope.max_age = request.max_age.value_or(service.max_age);
  envelope.urgency = request.urgency.value_or(service.urgency);
  envelope.remaining = request.deadline.value_or(service.deadline);
  envelope.idempotent = request.idempotent.value_or(service.idempotent);
  envelope.read_only = request.read_only.value_or(service.read_only);
  envelope.request_id = request.request_id.value_or(generated_id);
  return envelope;
}

}  // namespace teaselrudder
