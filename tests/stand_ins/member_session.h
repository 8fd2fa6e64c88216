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

/// One connection to the test double of a member: the PostgreSQL v3 protocol.
///
/// Statements that arrived before the other side closed the connection still run, as they do on a real member.
class MemberSession : public TcpStream {
 public:
  MemberSession(uv_loop_t* loop, DatabaseMember& member);

  /// Stops answering for good. Connections of replicas are exempt.
  void silence();
  /// Continues after the member was frozen.
  void resume();
  /// A statement that waited for a slot may start.
  void slot_granted();
  /// A transaction that may have held the awaited request id has ended.
  void retry_request();

 private:
  enum class Phase { kStartup, kReplication, kConnecting, kReady };
  enum class Wait { kNone, kConnectDelay, kSlot, kStatementTime, kRequest };

  void on_data(std::string_view data) override;
  void on_end() override;
  void on_timer() override;
  void on_close() override;

  void process();
  bool process_one();
  void start_up(std::string_view body);
  void accept();
  void handle_message(char type, WireReader body);
  void parse(const std::string& sql);
  void bind(WireReader body);
  void describe();
  void execute();
  void run_now();
  void run_query(const std::string& sql);
  void report_error(const SqlFailure& failure, const std::string& severity = "ERROR");
  void finish_query();
  void flush();

  DatabaseMember& m_member;
  MemberTransaction m_transaction;
  Phase m_phase = Phase::kStartup;
  Wait m_wait = Wait::kNone;
  bool m_silent = false;
  bool m_ended = false;
  bool m_holds_slot = false;
  // After an error, messages are skipped up to the next Sync.
  bool m_skipping = false;
  bool m_simple_query = false;
  std::string m_input;
  std::string m_output;
  // The statement of the last Parse; null before it and after a syntax error.
  const SqlForm* m_statement = nullptr;
  std::vector<std::optional<std::string>> m_parameters;
};

}  // namespace teaselrudder::testing
