#include "tests/stand_ins/replication_client.h"

#include <algorithm>

#include "tests/stand_ins/database_member.h"
#include "tests/stand_ins/wire_format.h"

namespace teaselrudder::testing {

namespace {

constexpr std::uint64_t kPullIntervalMs = 2;
constexpr std::size_t kLengthBytes = 4;

}  // namespace

void ReplicationClient::pull() {
  const std::string request = m_member.state().replication_request();
  send(WireWriter().number(kReplicationCode).message(0) + WireWriter().length_prefixed(request).bytes());
}

void ReplicationClient::on_data(std::string_view data) {
  m_input += data;
  m_has_answer =
      m_input.size() >= kLengthBytes && m_input.size() - kLengthBytes >= WireReader(m_input).number<std::uint32_t>();
  if (!m_has_answer) {
    return;
  }
  const std::uint64_t lag = m_member.settings().receive_lag_ms;
  if (lag == 0 && !m_member.is_frozen()) {
    apply();
  }
  start_timer(std::max(lag, kPullIntervalMs));
}

void ReplicationClient::on_timer() {
  if (m_member.is_frozen()) {
    start_timer(kPullIntervalMs);
    return;
  }
  if (m_has_answer) {
    apply();
  }
  pull();
}

void ReplicationClient::apply() {
  m_member.state().apply_replication(WireReader(m_input).length_prefixed().value_or(""));
  m_member.on_records_received();
  m_input.clear();
  m_has_answer = false;
}

void ReplicationClient::on_close() { m_member.on_replication_closed(); }

}  // namespace teaselrudder::testing
