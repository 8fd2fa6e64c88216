#include "tests/stand_ins/member_session.h"

#include <cstdlib>

#include "tests/stand_ins/database_member.h"
#include "tests/stand_ins/replication_client.h"

namespace teaselrudder::testing {

namespace {

constexpr std::uint32_t kProtocolVersion = 196608;
constexpr std::uint32_t kSslRequest = 80877103;
constexpr std::uint32_t kGssRequest = 80877104;
constexpr std::size_t kLengthBytes = 4;
constexpr std::uint32_t kTextType = 25;

std::string row_description(const std::vector<std::string>& columns) {
  if (columns.empty()) {
    return WireWriter().message('n');
  }
  WireWriter body;
  body.number(static_cast<std::int16_t>(columns.size()));
  for (const std::string& column : columns) {
    body.text(column).number<std::int32_t>(0).number<std::int16_t>(0).number(kTextType);
    body.number<std::int16_t>(-1).number<std::int32_t>(-1).number<std::int16_t>(0);
  }
  return body.message('T');
}

std::string data_row(const std::vector<std::string>& values) {
  WireWriter body;
  body.number(static_cast<std::int16_t>(values.size()));
  for (const std::string& value : values) {
    body.length_prefixed(value);
  }
  return body.message('D');
}

}  // namespace

MemberSession::MemberSession(uv_loop_t* loop, DatabaseMember& member)
    : TcpStream(loop), m_member(member), m_transaction(member, this) {}

void MemberSession::make_unresponsive() { m_unresponsive = m_phase != Phase::kReplication; }

void MemberSession::resume() {
  flush();
  process_messages();
}

void MemberSession::on_data(std::string_view data) {
  m_input += data;
  process_messages();
}

void MemberSession::on_end() {
  m_client_closed = true;
  process_messages();
}

void MemberSession::on_close() {
  m_member.remove(this);
  m_transaction.roll_back();
  if (m_holds_slot) {
    m_member.release_slot();
  }
}

void MemberSession::on_timer() {
  if (m_wait == Wait::kConnectDelay) {
    complete_startup();
  } else if (m_wait == Wait::kStatementTime) {
    run_statement();
  }
  process_messages();
}

void MemberSession::process_messages() {
  while (!is_closed() && !m_unresponsive && !m_member.is_frozen() && m_wait == Wait::kNone && process_message()) {
  }
  if (m_client_closed && m_wait == Wait::kNone) {
    close();
  }
}

/// Handles the next message. Returns false if it is incomplete.
bool MemberSession::process_message() {
  // Messages of the startup phase have no type byte.
  const std::size_t type_bytes = m_phase == Phase::kReady ? 1 : 0;
  const std::size_t header = type_bytes + (m_phase == Phase::kReplication ? 0 : kLengthBytes);
  if (m_input.size() < type_bytes + kLengthBytes) {
    return false;
  }
  std::string_view unread = m_input;
  unread.remove_prefix(type_bytes);
  const std::size_t length = WireReader(unread).number<std::uint32_t>();
  const std::size_t total = m_phase == Phase::kReplication ? length + kLengthBytes : length + type_bytes;
  if (m_input.size() < total || total < header) {
    return false;
  }
  const std::string message = m_input.substr(0, total);
  m_input.erase(0, total);
  std::string_view body = message;
  body.remove_prefix(header);
  if (m_phase == Phase::kReady) {
    handle_message(message.front(), WireReader(body));
  } else if (m_phase == Phase::kReplication) {
    const std::string request = WireReader(body).length_prefixed().value_or("");
    m_phase = Phase::kStartup;
    send(WireWriter().length_prefixed(m_member.state().answer_replication(request)).bytes());
  } else {
    handle_startup(body);
  }
  return true;
}

void MemberSession::handle_startup(std::string_view body) {
  const auto code = WireReader(body).number<std::uint32_t>();
  if (code == kSslRequest || code == kGssRequest) {
    send("N");
    return;
  }
  if (code == kReplicationCode) {
    m_phase = Phase::kReplication;
    return;
  }
  if (code != kProtocolVersion) {
    close();
    return;
  }
  if (!m_member.admit(this)) {
    report_error({"53300", "sorry, too many clients already"}, "FATAL");
    send_and_close(std::exchange(m_output, ""));
    return;
  }
  m_wait = Wait::kConnectDelay;
  start_timer(m_member.settings().connect_delay_ms);
}

void MemberSession::complete_startup() {
  m_wait = Wait::kNone;
  m_phase = Phase::kReady;
  m_output += WireWriter().number<std::uint32_t>(0).message('R');
  for (const auto& [name, value] : {std::pair("server_version", "15.0"), std::pair("client_encoding", "UTF8"),
                                    std::pair("standard_conforming_strings", "on")}) {
    m_output += WireWriter().text(name).text(value).message('S');
  }
  m_output += WireWriter().number<std::uint32_t>(1).number<std::uint32_t>(1).message('K');
  finish_query();
}

void MemberSession::handle_message(char type, WireReader body) {
  if (m_discarding_until_sync && type != 'S' && type != 'X') {
    return;
  }
  switch (type) {
    case 'P':
      body.text();
      parse(body.text());
      break;
    case 'B':
      bind(body);
      break;
    case 'D':
      describe();
      break;
    case 'E':
      execute();
      break;
    case 'C':
      m_output += WireWriter().message('3');
      break;
    case 'S':
      m_discarding_until_sync = false;
      finish_query();
      break;
    case 'H':
      flush();
      break;
    case 'Q':
      run_query(body.text());
      break;
    case 'X':
      close();
      break;
    default:
      report_error({"08P01", "unknown message"});
      break;
  }
}

void MemberSession::parse(const std::string& sql) {
  m_statement = find_statement(sql);
  if (m_statement == nullptr) {
    report_error({"42601", "syntax error"});
    return;
  }
  m_output += WireWriter().message('1');
}

void MemberSession::bind(WireReader body) {
  body.text();
  body.text();
  const auto formats = body.number<std::uint16_t>();
  for (std::uint16_t index = 0; index < formats; ++index) {
    body.number<std::uint16_t>();
  }
  m_parameters.resize(body.number<std::uint16_t>());
  for (std::optional<std::string>& parameter : m_parameters) {
    parameter = body.length_prefixed();
  }
  m_output += WireWriter().message('2');
}

void MemberSession::describe() {
  if (m_statement != nullptr) {
    m_output += row_description(m_statement->columns);
  }
}

void MemberSession::execute() {
  if (m_statement == nullptr) {
    report_error({"26000", "no statement"});
    return;
  }
  const SqlKind kind = m_statement->kind;
  if (kind < SqlKind::kPut || m_transaction.indicator() == 'E') {
    run_statement();
  } else if (m_member.take_slot(this)) {
    slot_granted();
  } else {
    m_wait = Wait::kSlot;
  }
}

void MemberSession::slot_granted() {
  m_holds_slot = true;
  std::uint64_t time_ms = m_member.settings().statement_ms;
  if (m_statement->kind == SqlKind::kSleep && !m_parameters.empty()) {
    time_ms = static_cast<std::uint64_t>(1000 * std::strtod(m_parameters[0].value_or("").c_str(), nullptr));
  }
  m_wait = Wait::kStatementTime;
  start_timer(time_ms);
}

void MemberSession::retry_request() {
  run_statement();
  process_messages();
}

void MemberSession::run_statement() {
  m_wait = Wait::kNone;
  if (m_holds_slot) {
    m_holds_slot = false;
    m_member.release_slot();
  }
  const SqlOutcome outcome = m_transaction.run(m_statement->kind, m_parameters);
  if (std::holds_alternative<SqlBlocked>(outcome)) {
    m_wait = Wait::kRequest;
    m_member.wait_for_request(this);
    return;
  }
  if (const auto* failure = std::get_if<SqlFailure>(&outcome)) {
    report_error(*failure);
  } else {
    const auto& answer = std::get<SqlAnswer>(outcome);
    for (const std::vector<std::string>& row : answer.rows) {
      m_output += data_row(row);
    }
    m_output += WireWriter().text(answer.tag).message('C');
  }
  if (std::exchange(m_simple_query, false)) {
    finish_query();
  }
}

void MemberSession::run_query(const std::string& sql) {
  m_statement = find_statement(sql);
  m_parameters.clear();
  if (m_statement == nullptr) {
    report_error({"42601", "syntax error"});
    m_discarding_until_sync = false;
    finish_query();
    return;
  }
  m_simple_query = true;
  m_output += m_statement->columns.empty() ? "" : row_description(m_statement->columns);
  execute();
}

void MemberSession::report_error(const SqlFailure& failure, const std::string& severity) {
  WireWriter body;
  for (const auto& [field, value] : {std::pair('S', severity), std::pair('V', severity),
                                     std::pair('C', failure.sqlstate), std::pair('M', failure.message)}) {
    body.number(field).text(value);
  }
  m_output += body.number('\0').message('E');
  m_transaction.mark_failed();
  m_discarding_until_sync = !m_simple_query;
}

void MemberSession::finish_query() {
  m_output += WireWriter().number(m_transaction.indicator()).message('Z');
  flush();
}

void MemberSession::flush() {
  if (m_unresponsive || m_member.is_frozen() || m_output.empty()) {
    return;
  }
  std::string output = std::exchange(m_output, "");
  if (m_member.consume_cut_answer()) {
    output.resize(output.size() / 2);
    send_and_close(std::move(output));
    return;
  }
  send(std::move(output));
}

}  // namespace teaselrudder::testing
