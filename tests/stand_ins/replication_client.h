#pragma once

#include <string>
#include <string_view>

#include "tests/stand_ins/tcp_stream.h"

namespace teaselrudder::testing {

class DatabaseMember;

/// Startup code of a replication connection. Private to the test doubles, not part of the PostgreSQL protocol.
inline constexpr std::uint32_t kReplicationCode = 80870001;

/// Connection of a replica to its primary, on which it requests log records repeatedly.
class ReplicationClient : public TcpStream {
 public:
  ReplicationClient(uv_loop_t* loop, DatabaseMember& member) : TcpStream(loop), m_member(member) {}

 private:
  void on_connected() override { pull(); }
  void on_data(std::string_view data) override;
  void on_timer() override;
  void on_close() override;

  void pull();
  void apply();

  DatabaseMember& m_member;
  std::string m_input;
  bool m_has_answer = false;
};

}  // namespace teaselrudder::testing
