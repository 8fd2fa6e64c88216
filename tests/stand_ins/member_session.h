#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tests/stand_ins/member_sql_reader.h"
#include "tests/stand_ins/member_state.h"
#include "tests/stand_ins/member_transaction.h"
#include "tests/stand_ins/tcp_stream.h"
#include "tests/stand_ins/wire_format.h"

namespace teaselrudder::testing {

class DatabaseMember;

/// A connection to the test double of a member, from a client (PostgreSQL protocol version 3) or from a replica.
///
/// Statements that arrived before the client closed the connection still run, as on a real member.
class MemberSession : public TcpStream {
 public:
  MemberSession(uv_loop_t* loop, DatabaseMember& member);

  /// Makes the connection permanently unresponsive, unless it is a replication connection.
  void make_unresponsive();
  /// Sends held output and processes received messages after the member was frozen.
  void resume();
  /// Called when the statement that waits for a slot gets one.
  void slot_granted();
  /// Called when a transaction has ended that may have reserved the request id for which this session waits.
  void retry_request();

 private:
  enum class Phase { kStartup, kReplication, kConnecting, kReady };
  enum class Wait { kNone, kConnectDelay, kSlot, kStatementTime, kRequest };

  void on_data(std::string_view data) override;
  void on_end() override;
  void on_timer() override;
  void on_close() override;

  void process_messages();
  bool process_message();
  void handle_startup(std::string_view body);
  void complete_startup();
  void handle_message(char type, WireReader body);
  void parse(const std::string& sql);
  void bind(WireReader body);
  void describe();
  void execute();
  void run_statement();
  void run_query(const std::string& sql);
  void report_error(const SqlFailure& failure, const std::string& severity = "ERROR");
  void finish_query();
  void flush();

  DatabaseMember& m_member;
  MemberTransaction m_transaction;
  Phase m_phase = Phase::kStartup;
  Wait m_wait = Wait::kNone;
  bool m_unresponsive = false;
  bool m_client_closed = false;
  bool m_holds_slot = false;
  // After an error, messages are discarded up to the next Sync.
  bool m_discarding_until_sync = false;
  bool m_simple_query = false;
  std::string m_input;
  std::string m_output;
  // The statement of the last Parse message; null before the first one and after a syntax error.
  const SqlStatement* m_statement = nullptr;
  std::vector<std::optional<std::string>> m_parameters;
};

}  // namespace teaselrudder::testing
