#include "tests/stand_ins/database_member.h"

#include <cstdlib>
#include <sstream>
#include <vector>

#include "tests/stand_ins/member_session.h"
#include "tests/stand_ins/replication_client.h"

namespace teaselrudder::testing {

namespace {

/// Interval at which received records are replayed and a lost connection to the primary is reopened.
constexpr std::uint64_t kTickIntervalMs = 5;

}  // namespace

DatabaseMember::DatabaseMember(uv_loop_t* loop, MemberSettings settings)
    : m_loop(loop),
      m_settings(settings),
      m_listener(new TcpListener(loop, settings.port, [this](uv_stream_t* listener) { on_connection(listener); })),
      m_tick_timer(new uv_timer_t),
      m_free_slots(settings.slots) {
  uv_timer_init(loop, m_tick_timer);
  m_tick_timer->data = this;
  uv_timer_start(
      m_tick_timer, [](uv_timer_t* timer) { static_cast<DatabaseMember*>(timer->data)->on_tick(); }, kTickIntervalMs,
      kTickIntervalMs);
}

DatabaseMember::~DatabaseMember() { stop(); }

void DatabaseMember::stop() {
  if (m_stopped) {
    return;
  }
  m_stopped = true;
  cut_off();
  m_listener->close();
  uv_close(reinterpret_cast<uv_handle_t*>(m_tick_timer),
           [](uv_handle_t* handle) { delete reinterpret_cast<uv_timer_t*>(handle); });
}

void DatabaseMember::cut_off() {
  m_cut_off = true;
  for (MemberSession* session : std::set<MemberSession*>(m_sessions)) {
    session->close();
  }
  if (m_replication_client != nullptr) {
    m_replication_client->close();
  }
}

void DatabaseMember::freeze() { m_frozen = true; }

void DatabaseMember::make_open_connections_unresponsive() {
  for (MemberSession* session : m_sessions) {
    session->make_unresponsive();
  }
}

void DatabaseMember::set_lag(std::uint64_t receive_lag_ms, std::uint64_t replay_lag_ms) {
  m_settings.receive_lag_ms = receive_lag_ms;
  m_settings.replay_lag_ms = replay_lag_ms;
}

void DatabaseMember::end_faults() {
  m_cut_off = false;
  m_frozen = false;
  m_cut_next_answer = false;
  for (MemberSession* session : std::set<MemberSession*>(m_sessions)) {
    session->resume();
  }
}

bool DatabaseMember::run_command(const std::string& line) {
  std::istringstream words(line);
  std::string command;
  words >> command;
  if (command == "cut_off") {
    cut_off();
  } else if (command == "freeze") {
    freeze();
  } else if (command == "silence") {
    make_open_connections_unresponsive();
  } else if (command == "cut_answer") {
    cut_next_answer();
  } else if (command == "heal") {
    end_faults();
  } else if (command == "die") {
    stop();
  } else if (command == "lag") {
    std::uint64_t receive_lag_ms = 0;
    std::uint64_t replay_lag_ms = 0;
    words >> receive_lag_ms >> replay_lag_ms;
    set_lag(receive_lag_ms, replay_lag_ms);
    return !words.fail();
  } else {
    return false;
  }
  return true;
}

void DatabaseMember::on_connection(uv_stream_t* listener) {
  auto* const session = new MemberSession(m_loop, *this);
  m_sessions.insert(session);
  session->accept_from(listener);
  if (m_cut_off) {
    session->close();
  }
}

bool DatabaseMember::admit(MemberSession* session) {
  if (m_admitted.size() >= m_settings.connections) {
    return false;
  }
  m_admitted.insert(session);
  return true;
}

void DatabaseMember::remove(MemberSession* session) {
  m_sessions.erase(session);
  m_admitted.erase(session);
  m_request_waiters.erase(session);
  std::erase(m_slot_queue, session);
}

bool DatabaseMember::take_slot(MemberSession* session) {
  if (m_free_slots == 0) {
    m_slot_queue.push_back(session);
    return false;
  }
  --m_free_slots;
  return true;
}

void DatabaseMember::release_slot() {
  if (m_slot_queue.empty()) {
    ++m_free_slots;
    return;
  }
  MemberSession* const next = m_slot_queue.front();
  m_slot_queue.pop_front();
  next->slot_granted();
}

bool DatabaseMember::reserve_request(MemberSession* session, const std::string& id) {
  return m_reserved_requests.emplace(id, session).first->second == session;
}

void DatabaseMember::release_requests(MemberSession* session) {
  const std::size_t released =
      std::erase_if(m_reserved_requests, [session](const auto& entry) { return entry.second == session; });
  if (released == 0) {
    return;
  }
  for (MemberSession* waiter : std::exchange(m_request_waiters, {})) {
    waiter->retry_request();
  }
}

void DatabaseMember::follow(const std::string& address) {
  const auto port = static_cast<std::uint16_t>(std::strtoul(address.c_str() + address.rfind(':') + 1, nullptr, 10));
  if (port == m_primary_port && m_replication_client != nullptr) {
    return;
  }
  m_primary_port = port;
  if (m_replication_client != nullptr) {
    m_replication_client->close();
  }
}

void DatabaseMember::on_records_received() {
  m_replay_queue.emplace_back(uv_now(m_loop) + m_settings.replay_lag_ms, m_state.received());
  if (m_settings.replay_lag_ms == 0) {
    on_tick();
  }
}

void DatabaseMember::on_tick() {
  while (!m_replay_queue.empty() && m_replay_queue.front().first <= uv_now(m_loop)) {
    m_state.replay_until(m_replay_queue.front().second);
    m_replay_queue.pop_front();
  }
  if (m_state.is_following() && m_replication_client == nullptr && !m_cut_off && !m_frozen) {
    m_replication_client = new ReplicationClient(m_loop, *this);
    m_replication_client->connect(m_primary_port);
  }
}

}  // namespace teaselrudder::testing
