#include "drivers/postgres/postgres_connection.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <string_view>

#include "drivers/postgres/member_sql.h"
#include "drivers/postgres/socket_counters.h"

namespace teaselrudder {

namespace {

using OutcomeState = CommandOutcome::State;

constexpr std::size_t kSqlstateLength = 5;

/// Memory that a row and a value occupy in addition to the text, so that many empty values count towards the limit too.
constexpr std::size_t kRowOverheadBytes = sizeof(std::vector<std::optional<std::string>>);
constexpr std::size_t kValueOverheadBytes = sizeof(std::optional<std::string>);

constexpr char kAnswerTooLargeMessage[] = "the response exceeds the maximum size; the connection is closed";

/// Discards notices, which libpq would otherwise print to standard error.
void ignore_notice(void* /*argument*/, const PGresult* /*result*/) {}

/// Returns the SQLSTATE from the verbose error message of a failed connection attempt (`FATAL:  53300: text`), or an
/// empty string. libpq provides it only as part of this message.
std::string parse_sqlstate(std::string_view message) {
  constexpr std::string_view kSeverityEnd = ":  ";
  const std::size_t begin = message.find(kSeverityEnd);
  if (begin == std::string_view::npos) {
    return "";
  }
  const std::string_view code = message.substr(begin + kSeverityEnd.size(), kSqlstateLength + 1);
  if (code.size() <= kSqlstateLength || code.back() != ':') {
    return "";
  }
  for (const char character : code.substr(0, kSqlstateLength)) {
    if (std::isalnum(static_cast<unsigned char>(character)) == 0) {
      return "";
    }
  }
  return std::string(code.substr(0, kSqlstateLength));
}

std::string first_line(std::string_view message) { return std::string(message.substr(0, message.find('\n'))); }

std::string error_field(const PGresult* result, int field) {
  const char* const text = PQresultErrorField(result, field);
  return text == nullptr ? "" : text;
}

bool is_fatal(const std::string& severity) { return severity == "FATAL" || severity == "PANIC"; }

std::uint64_t affected_rows(PGresult* result) {
  const std::string_view tag = PQcmdStatus(result);
  const bool changes_rows =
      tag.starts_with("INSERT") || tag.starts_with("UPDATE") || tag.starts_with("DELETE") || tag.starts_with("MERGE");
  return changes_rows ? std::strtoull(PQcmdTuples(result), nullptr, 10) : 0;
}

template <typename Handle>
void close_handle(Handle*& handle) {
  if (handle == nullptr) {
    return;
  }
  handle->data = nullptr;
  uv_close(reinterpret_cast<uv_handle_t*>(handle),
           [](uv_handle_t* closed) { delete reinterpret_cast<Handle*>(closed); });
  handle = nullptr;
}

}  // namespace

PostgresConnection::PostgresConnection(uv_loop_t* loop, const PostgresSettings& settings, ConnectionId id,
                                       PostgresConnectionEvents& events)
    : m_loop(loop), m_settings(settings), m_id(id), m_events(events), m_timer(new uv_timer_t) {
  uv_timer_init(loop, m_timer);
  m_timer->data = this;
}

PostgresConnection::~PostgresConnection() { close(); }

void PostgresConnection::open(const Endpoint& upstream) {
  const std::string port = std::to_string(upstream.port);
  // With `hostaddr` instead of `host`, libpq does not resolve host names, which would block.
  const std::array<std::pair<const char*, const char*>, 8> options = {{{"hostaddr", upstream.ip.c_str()},
                                                                       {"port", port.c_str()},
                                                                       {"dbname", m_settings.database.c_str()},
                                                                       {"user", m_settings.user.c_str()},
                                                                       {"password", m_settings.password.c_str()},
                                                                       {"application_name", "teaselrudder"},
                                                                       {"client_encoding", "UTF8"},
                                                                       {"gssencmode", "disable"}}};
  std::array<const char*, options.size() + 1> names{};
  std::array<const char*, options.size() + 1> values{};
  for (std::size_t index = 0; index < options.size(); ++index) {
    names[index] = options[index].first;
    values[index] = options[index].second;
  }
  m_connection.reset(PQconnectStartParams(names.data(), values.data(), 0));
  if (m_connection == nullptr || PQstatus(m_connection.get()) == CONNECTION_BAD) {
    m_failure_message =
        m_connection == nullptr ? "libpq is out of memory" : first_line(PQerrorMessage(m_connection.get()));
    start_timer(Duration(0));
    return;
  }
  PQsetErrorVerbosity(m_connection.get(), PQERRORS_VERBOSE);
  PQsetNoticeReceiver(m_connection.get(), ignore_notice, nullptr);
  start_timer(m_settings.connect_timeout);
  start_poll(UV_WRITABLE);
}

void PostgresConnection::execute(OperationId operation, UpstreamOperation details) {
  if (std::optional<UpstreamError> rejection = find_rejection(details)) {
    m_rejected.emplace_back(operation, std::move(*rejection));
    start_timer(Duration(0));
    return;
  }
  m_state = State::kBusy;
  m_operation = operation;
  m_details = std::move(details);
  m_script = build_script(m_details);
  m_refusal = find_refusal(m_script);
  if (m_refusal.has_value()) {
    // A statement that is refused here rolls back an open transaction, as one that the member rejects would.
    m_script = build_rollback_script();
  }
  m_outcomes.assign(m_script.size(), {});
  m_next_command = 0;
  m_any_command_sent = false;
  m_buffered_bytes = 0;
  m_read_bytes = received_bytes(PQsocket(m_connection.get()));
  m_parsed_bytes = m_read_bytes;
  m_answer_started = false;
  if (!send_script()) {
    m_failure_message = first_line(PQerrorMessage(m_connection.get()));
    start_timer(Duration(0));
  }
}

void PostgresConnection::close() {
  m_state = State::kClosed;
  m_rejected.clear();
  // The loop must stop watching the socket before libpq closes it.
  close_handle(m_poll);
  close_handle(m_timer);
  m_connection.reset();
}

void PostgresConnection::on_poll(uv_poll_t* handle, int status, int events) {
  if (handle->data == nullptr) {
    return;
  }
  const std::shared_ptr<PostgresConnection> self = static_cast<PostgresConnection*>(handle->data)->shared_from_this();
  self->on_socket_ready(status < 0 ? UV_READABLE : events);
}

void PostgresConnection::on_timer(uv_timer_t* handle) {
  if (handle->data == nullptr) {
    return;
  }
  const std::shared_ptr<PostgresConnection> self = static_cast<PostgresConnection*>(handle->data)->shared_from_this();
  self->on_timer_fired();
}

void PostgresConnection::start_poll(int events) {
  if (m_poll == nullptr) {
    m_poll = new uv_poll_t;
    if (uv_poll_init(m_loop, m_poll, PQsocket(m_connection.get())) != 0) {
      delete m_poll;
      m_poll = nullptr;
      m_failure_message = "the event loop cannot watch the socket";
      start_timer(Duration(0));
      return;
    }
    m_poll->data = this;
  }
  uv_poll_start(m_poll, events, on_poll);
}

void PostgresConnection::stop_poll() { close_handle(m_poll); }

void PostgresConnection::start_timer(Duration delay) {
  uv_timer_start(m_timer, on_timer, static_cast<std::uint64_t>(to_milliseconds(delay)), 0);
}

void PostgresConnection::on_timer_fired() {
  if (m_state == State::kConnecting) {
    fail_connecting(m_failure_message.empty() ? "the connection was not established before the connect timeout"
                                              : m_failure_message);
    return;
  }
  for (auto& [operation, error] : std::exchange(m_rejected, {})) {
    m_events.on_completed(m_id, operation, tl::unexpected(std::move(error)));
    if (m_state == State::kClosed) {
      return;
    }
  }
  if (!m_failure_message.empty()) {
    fail(UpstreamErrorKind::kConnectionLost, m_failure_message);
  }
}

void PostgresConnection::on_socket_ready(int events) {
  if (m_state == State::kConnecting) {
    continue_connecting();
    return;
  }
  if ((events & UV_READABLE) != 0) {
    receive();
  }
  if (m_state != State::kClosed && m_failure_message.empty() && (events & UV_WRITABLE) != 0) {
    flush();
  }
}

void PostgresConnection::continue_connecting() {
  // libpq may replace the socket by another one with the same descriptor, so the poll handle is recreated in each step.
  stop_poll();
  switch (PQconnectPoll(m_connection.get())) {
    case PGRES_POLLING_READING:
      start_poll(UV_READABLE);
      break;
    case PGRES_POLLING_WRITING:
      start_poll(UV_WRITABLE);
      break;
    case PGRES_POLLING_OK:
      finish_connecting();
      break;
    default:
      fail_connecting(PQerrorMessage(m_connection.get()));
      break;
  }
}

void PostgresConnection::finish_connecting() {
  if (PQsetnonblocking(m_connection.get(), 1) != 0 || PQenterPipelineMode(m_connection.get()) != 1) {
    fail_connecting("libpq could not enter pipeline mode");
    return;
  }
  PQsetErrorVerbosity(m_connection.get(), PQERRORS_DEFAULT);
  uv_timer_stop(m_timer);
  m_state = State::kIdle;
  start_poll(UV_READABLE);
  m_events.on_opened(m_id, {});
}

void PostgresConnection::fail_connecting(const std::string& message) {
  UpstreamError error{UpstreamErrorKind::kConnectFailed, false, parse_sqlstate(message), first_line(message)};
  if (error.sqlstate == member_sql::kTooManyConnections) {
    error.kind = UpstreamErrorKind::kTooManyConnections;
  }
  close();
  m_events.on_opened(m_id, tl::unexpected(std::move(error)));
}

std::optional<UpstreamError> PostgresConnection::find_rejection(const UpstreamOperation& details) const {
  const auto rejection = [](const char* sqlstate, const char* message) {
    return UpstreamError{UpstreamErrorKind::kStatementFailed, false, sqlstate, message};
  };
  if (m_state != State::kIdle) {
    return rejection(member_sql::kActiveTransaction, "the connection is not idle");
  }
  // Outside of a transaction, a member responds to COMMIT with success and a warning, which would look like a commit.
  const bool in_transaction = PQtransactionStatus(m_connection.get()) != PQTRANS_IDLE;
  const bool needs_transaction =
      std::holds_alternative<RunInTransaction>(details) || std::holds_alternative<CommitTransaction>(details);
  if (needs_transaction && !in_transaction) {
    return rejection(member_sql::kNoActiveTransaction, "no transaction is open on the connection");
  }
  if (in_transaction && !needs_transaction && !std::holds_alternative<RollbackTransaction>(details)) {
    return rejection(member_sql::kActiveTransaction, "a transaction is open on the connection");
  }
  return std::nullopt;
}

bool PostgresConnection::send_script() {
  for (std::size_t index = m_next_command; index < m_script.size(); ++index) {
    if (!send_command(m_script[index])) {
      return false;
    }
    m_any_command_sent = true;
  }
  start_command();
  flush();
  return true;
}

bool PostgresConnection::send_command(const ScriptCommand& command) {
  if (command.role == CommandRole::kSync) {
    return PQpipelineSync(m_connection.get()) == 1;
  }
  std::vector<const char*> values;
  values.reserve(command.parameters.size());
  for (const std::optional<std::string>& parameter : command.parameters) {
    values.push_back(parameter.has_value() ? parameter->c_str() : nullptr);
  }
  return PQsendQueryParams(m_connection.get(), command.sql.c_str(), static_cast<int>(values.size()), nullptr,
                           values.data(), nullptr, nullptr, 0) == 1;
}

void PostgresConnection::flush() {
  const int unsent = PQflush(m_connection.get());
  if (unsent < 0) {
    m_failure_message = first_line(PQerrorMessage(m_connection.get()));
    start_timer(Duration(0));
    return;
  }
  start_poll(unsent > 0 ? UV_READABLE | UV_WRITABLE : UV_READABLE);
}

void PostgresConnection::receive() {
  // Both counters are read before PQconsumeInput(), which closes the socket if the connection is lost.
  const std::uint64_t received = received_bytes(PQsocket(m_connection.get()));
  const bool arrived = unread_bytes(PQsocket(m_connection.get())) > 0;
  const bool connected = PQconsumeInput(m_connection.get()) == 1;
  if (m_state == State::kIdle) {
    // Makes libpq parse and discard what the member sends to an idle connection: notices, and the error with which it
    // closes the connection.
    PQisBusy(m_connection.get());
  } else {
    m_answer_started = m_answer_started || arrived;
    m_read_bytes = std::max(m_read_bytes, received - std::min(received, unread_bytes(PQsocket(m_connection.get()))));
    read_results();
  }
  if (m_state == State::kClosed) {
    return;
  }
  if (m_buffered_bytes + (m_read_bytes - m_parsed_bytes) > m_settings.max_answer_bytes) {
    fail(UpstreamErrorKind::kBadAnswer, kAnswerTooLargeMessage);
    return;
  }
  if (!connected) {
    fail(m_answer_started ? UpstreamErrorKind::kBadAnswer : UpstreamErrorKind::kConnectionLost,
         first_line(PQerrorMessage(m_connection.get())));
  }
}

void PostgresConnection::read_results() {
  while (m_state == State::kBusy && m_next_command < m_script.size()) {
    if (PQisBusy(m_connection.get()) == 1) {
      return;
    }
    const Result result(PQgetResult(m_connection.get()));
    m_parsed_bytes = m_read_bytes;
    if (result == nullptr) {
      end_command();
    } else {
      read_result(result);
    }
  }
}

void PostgresConnection::read_result(const Result& result) {
  CommandOutcome& outcome = m_outcomes[m_next_command];
  switch (PQresultStatus(result.get())) {
    case PGRES_SINGLE_TUPLE:
      append_rows(result);
      break;
    case PGRES_TUPLES_OK:
    case PGRES_COMMAND_OK:
    case PGRES_EMPTY_QUERY:
      append_rows(result);
      outcome.state = OutcomeState::kCompleted;
      outcome.tag = PQcmdStatus(result.get());
      outcome.result.affected = affected_rows(result.get());
      break;
    case PGRES_PIPELINE_ABORTED:
      outcome.state = OutcomeState::kSkipped;
      break;
    case PGRES_PIPELINE_SYNC:
      outcome.state = OutcomeState::kCompleted;
      end_command();
      break;
    case PGRES_FATAL_ERROR:
      outcome.sqlstate = error_field(result.get(), PG_DIAG_SQLSTATE);
      outcome.message = error_field(result.get(), PG_DIAG_MESSAGE_PRIMARY);
      outcome.fatal = is_fatal(error_field(result.get(), PG_DIAG_SEVERITY_NONLOCALIZED));
      // Errors without an SQLSTATE come from libpq itself: the response violates the protocol, or the connection ended.
      if (outcome.sqlstate.empty()) {
        fail(m_answer_started ? UpstreamErrorKind::kBadAnswer : UpstreamErrorKind::kConnectionLost,
             first_line(PQresultErrorMessage(result.get())));
        break;
      }
      outcome.state = OutcomeState::kFailed;
      break;
    default:
      fail(UpstreamErrorKind::kBadAnswer, "libpq returned an unexpected kind of result");
      break;
  }
}

void PostgresConnection::append_rows(const Result& result) {
  ResultSet& target = m_outcomes[m_next_command].result;
  const int columns = PQnfields(result.get());
  if (target.columns.empty()) {
    for (int column = 0; column < columns; ++column) {
      target.columns.emplace_back(PQfname(result.get(), column));
    }
  }
  for (int row = 0; row < PQntuples(result.get()); ++row) {
    std::vector<std::optional<std::string>> values(static_cast<std::size_t>(columns));
    m_buffered_bytes += kRowOverheadBytes + values.size() * kValueOverheadBytes;
    for (int column = 0; column < columns; ++column) {
      if (PQgetisnull(result.get(), row, column) == 0) {
        const auto length = static_cast<std::size_t>(PQgetlength(result.get(), row, column));
        values[static_cast<std::size_t>(column)].emplace(PQgetvalue(result.get(), row, column), length);
        m_buffered_bytes += length;
      }
    }
    target.rows.push_back(std::move(values));
  }
  if (m_buffered_bytes > m_settings.max_answer_bytes) {
    fail(UpstreamErrorKind::kBadAnswer, kAnswerTooLargeMessage);
  }
}

void PostgresConnection::end_command() {
  if (m_outcomes[m_next_command].state == OutcomeState::kPending) {
    fail(UpstreamErrorKind::kBadAnswer, "the member sent no result for a command");
    return;
  }
  ++m_next_command;
  if (m_next_command == m_script.size()) {
    finish_script();
    return;
  }
  start_command();
}

void PostgresConnection::start_command() {
  // In single-row mode, a response that is too large is detected before libpq has buffered all of it.
  PQsetSingleRowMode(m_connection.get());
}

void PostgresConnection::finish_script() {
  if (PQtransactionStatus(m_connection.get()) == PQTRANS_INERROR) {
    const OperationScript rollback = build_rollback_script();
    m_script.insert(m_script.end(), rollback.begin(), rollback.end());
    m_outcomes.resize(m_script.size());
    if (!send_script()) {
      fail(UpstreamErrorKind::kConnectionLost, first_line(PQerrorMessage(m_connection.get())));
    }
    return;
  }
  if (m_refusal.has_value()) {
    complete(tl::unexpected(std::move(*m_refusal)));
    return;
  }
  tl::expected<UpstreamResult, UpstreamError> outcome = interpret_answer(m_details, m_script, m_outcomes);
  const bool unusable = !outcome.has_value() && outcome.error().kind == UpstreamErrorKind::kBadAnswer;
  if (unusable || !transaction_is_in_expected_state(outcome)) {
    fail(UpstreamErrorKind::kBadAnswer,
         unusable ? outcome.error().message : "the transaction state of the connection is not the expected one");
    return;
  }
  complete(std::move(outcome));
}

void PostgresConnection::complete(tl::expected<UpstreamResult, UpstreamError> outcome) {
  m_state = State::kIdle;
  m_outcomes.clear();
  m_script.clear();
  m_events.on_completed(m_id, m_operation, std::move(outcome));
}

void PostgresConnection::fail(UpstreamErrorKind kind, const std::string& message) {
  UpstreamError error{kind, m_any_command_sent && !rules_out_effects(m_script, m_outcomes), "", message};
  for (const CommandOutcome& outcome : m_outcomes) {
    if (outcome.fatal) {
      error.kind = UpstreamErrorKind::kConnectionLost;
      error.sqlstate = outcome.sqlstate;
      error.message = outcome.message;
    }
  }
  if (m_refusal.has_value()) {
    error.may_have_run = false;
  }
  const bool was_idle = m_state == State::kIdle;
  close();
  if (was_idle) {
    m_events.on_closed(m_id);
    return;
  }
  m_events.on_completed(m_id, m_operation, tl::unexpected(std::move(error)));
}

bool PostgresConnection::transaction_is_in_expected_state(
    const tl::expected<UpstreamResult, UpstreamError>& outcome) const {
  const bool opens = std::holds_alternative<BeginTransaction>(m_details);
  const bool continues = std::holds_alternative<RunInTransaction>(m_details);
  bool expected_open = (opens || continues) && outcome.has_value();
  if (opens && outcome.has_value()) {
    expected_open = !std::get<StatementsResult>(*outcome).already_recorded;
  }
  return PQtransactionStatus(m_connection.get()) == (expected_open ? PQTRANS_INTRANS : PQTRANS_IDLE);
}

}  // namespace teaselrudder
