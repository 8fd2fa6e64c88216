#include "tests/soak/soak_caller.h"

#include <algorithm>
#include <array>
#include <utility>

namespace teaselrudder::soak {

namespace {

/// Time without a reply after which a caller closes its connection.
constexpr std::uint64_t kReplyTimeoutMs = 4000;
constexpr std::size_t kMaxPauseMs = 60;
constexpr std::size_t kPreparedStatementNames = 3;
constexpr std::array kFreshnessLevels = {ReadFreshness::kPrimary, ReadFreshness::kBounded, ReadFreshness::kOwnWrites};

std::string statement_text(const SessionStatement& statement) {
  switch (statement.kind) {
    case StatementKind::kBegin:
      return "BEGIN";
    case StatementKind::kBeginReadOnly:
      return "BEGIN READ";
    case StatementKind::kCommit:
      return "COMMIT";
    case StatementKind::kRollback:
      return "ROLLBACK";
    case StatementKind::kRead:
      return "READ " + statement.argument;
    case StatementKind::kWrite:
      return "WRITE " + statement.argument;
    case StatementKind::kSetValue:
      return "SET " + statement.name + " " + statement.argument;
    case StatementKind::kPrepare:
      return "PREPARE " + statement.name + (statement.access == StatementAccess::kWrite ? " WRITE " : " READ ") +
             statement.argument;
    case StatementKind::kExecute:
      return "EXECUTE " + statement.name + " " + statement.argument;
    case StatementKind::kDeallocate:
      return "CLOSE " + statement.name;
  }
  return "";
}

}  // namespace

std::string database_for(ReadFreshness freshness) {
  switch (freshness) {
    case ReadFreshness::kPrimary:
      return "fresh";
    case ReadFreshness::kBounded:
      return "bounded";
    case ReadFreshness::kOwnWrites:
      return "own";
  }
  return "fresh";
}

SoakCaller::SoakCaller(uv_loop_t* loop, Shared& shared, std::uint64_t seed, std::uint16_t port, EndHandler on_end)
    : TcpStream(loop),
      m_shared(shared),
      m_random(seed),
      m_on_end(std::move(on_end)),
      m_freshness(kFreshnessLevels[random_below(kFreshnessLevels.size())]),
      m_session(shared.checker.add_session(m_freshness)) {
  ++m_shared.totals.sessions;
  connect(port);
  start_timer(kReplyTimeoutMs);
}

void SoakCaller::on_connected() {
  m_reply_pending = true;
  send("STARTUP " + database_for(m_freshness) + " soak\r\n");
}

void SoakCaller::on_close() {
  m_shared.totals.interrupted += m_reply_pending ? 1 : 0;
  End end{m_served, std::nullopt};
  if (m_ended_by_host && m_session_open && m_reply_pending) {
    end.unanswered = m_statement.id;
  }
  m_on_end(end);
}

void SoakCaller::on_end() {
  m_ended_by_host = true;
  close();
}

void SoakCaller::on_data(std::string_view data) {
  m_input += data;
  std::size_t end = m_input.find("\r\n");
  while (end != std::string::npos && !is_closed()) {
    const std::string line = m_input.substr(0, end);
    m_input.erase(0, end + 2);
    on_line(line);
    end = m_input.find("\r\n");
  }
}

void SoakCaller::on_line(std::string_view line) {
  const auto reply = m_reader.add_line(line);
  if (!reply.has_value()) {
    m_shared.checker.add_violation("MIXED: malformed reply line: " + std::string(line));
    close();
    return;
  }
  if (!m_session_open && line.starts_with("ERROR")) {
    // The host refused the session and closes the connection.
    return;
  }
  if (!reply->has_value()) {
    return;
  }
  if (!m_reply_pending) {
    m_shared.checker.add_violation("MIXED: reply without a pending statement: " + std::string(line));
    close();
    return;
  }
  m_reply_pending = false;
  if (m_session_open) {
    on_reply(**reply);
  } else {
    m_session_open = true;
    pause();
  }
}

void SoakCaller::on_reply(const StatementReply& reply) {
  m_shared.checker.on_reply(m_session, m_statement, reply);
  if (reply.error.has_value()) {
    ++m_shared.totals.refused;
  } else {
    ++m_shared.totals.served;
    ++m_served;
    if (m_statement.kind == StatementKind::kPrepare) {
      std::erase_if(m_prepared, [this](const SessionStatement& known) { return known.name == m_statement.name; });
      m_prepared.push_back(m_statement);
    } else if (m_statement.kind == StatementKind::kDeallocate) {
      std::erase_if(m_prepared, [this](const SessionStatement& known) { return known.name == m_statement.name; });
    }
  }
  pause();
}

void SoakCaller::pause() { start_timer(1 + random_below(kMaxPauseMs)); }

void SoakCaller::on_timer() {
  if (m_reply_pending || !m_session_open) {
    close();
    return;
  }
  send_next();
}

void SoakCaller::send_next() {
  const TransactionState state = m_shared.checker.session(m_session).state;
  const std::size_t choice = random_below(100);
  if (choice < 1) {
    // The caller disconnects, possibly in an open transaction.
    close();
  } else if (state == TransactionState::kFailed) {
    send_statement(StatementKind::kRollback);
  } else if (state == TransactionState::kOpen && choice < 30) {
    send_statement(choice < 6 ? StatementKind::kRollback : StatementKind::kCommit);
  } else if (state == TransactionState::kIdle && choice < 15) {
    send_statement(choice < 4 ? StatementKind::kBeginReadOnly : StatementKind::kBegin);
  } else if (state == TransactionState::kIdle && choice < 20) {
    send_statement(StatementKind::kSetValue, "v" + std::to_string(random_below(2)));
  } else if (state == TransactionState::kIdle && choice < 25) {
    send_statement(StatementKind::kPrepare, "s" + std::to_string(random_below(kPreparedStatementNames)),
                   random_below(3) == 0 ? StatementAccess::kWrite : StatementAccess::kRead);
  } else if (!m_prepared.empty() && choice < 45) {
    const SessionStatement& prepared = m_prepared[random_below(m_prepared.size())];
    send_statement(StatementKind::kExecute, prepared.name, prepared.access);
  } else if (!m_prepared.empty() && state == TransactionState::kIdle && choice < 47) {
    send_statement(StatementKind::kDeallocate, m_prepared[random_below(m_prepared.size())].name);
  } else {
    send_statement(choice < 65 ? StatementKind::kWrite : StatementKind::kRead);
  }
}

std::string SoakCaller::random_argument(StatementKind kind) {
  static constexpr std::array<std::string_view, 5> kOddTexts = {"x", "x by_room", "x by_room by_day", " x", "x "};
  const std::size_t number = random_below(kOddTexts.size());
  const bool is_setup = kind == StatementKind::kPrepare || kind == StatementKind::kSetValue;
  return m_shared.odd_texts && is_setup ? std::string(kOddTexts[number]) : "x" + std::to_string(number);
}

void SoakCaller::send_statement(StatementKind kind, const std::string& name, StatementAccess access) {
  m_statement = {};
  m_statement.id = RequestId("s" + std::to_string(++m_shared.last_id));
  m_statement.kind = kind;
  m_statement.name = name;
  m_statement.access = access;
  m_statement.argument = random_argument(kind);
  m_shared.checker.on_sent(m_session, m_statement, m_shared.clock());
  m_reply_pending = true;
  send("QUERY " + m_statement.id.value() + " " + statement_text(m_statement) + "\r\n");
  start_timer(kReplyTimeoutMs);
}

}  // namespace teaselrudder::soak
