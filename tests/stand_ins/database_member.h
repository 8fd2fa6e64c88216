#pragma once

#include <uv.h>

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "tests/stand_ins/member_state.h"
#include "tests/stand_ins/tcp_stream.h"

namespace teaselrudder::testing {

class MemberReplica;
class MemberSession;

/// What a test double of a member is started with. Times are in milliseconds.
struct MemberSettings {
  /// Zero takes a free port.
  std::uint16_t port = 0;
  std::size_t connections = 20;
  std::size_t slots = 3;
  /// Time until a new connection is accepted.
  std::uint64_t connect_delay_ms = 0;
  /// Time for which each statement on the table holds a slot.
  std::uint64_t statement_ms = 0;
  /// Time from the arrival of records at a replica until reads see them.
  std::uint64_t replay_lag_ms = 0;
  /// Time for which a replica holds back an answer of its primary before the records count as received.
  std::uint64_t receive_lag_ms = 0;
};

/// Test double of a database member on 127.0.0.1: the PostgreSQL protocol over a small table `kv`, with the functions
/// of docs/design.md, section 7.1, asynchronous replication, and faults.
///
/// Call stop() and run the loop until it is empty before the destruction.
class DatabaseMember {
 public:
  DatabaseMember(uv_loop_t* loop, MemberSettings settings);
  DatabaseMember(const DatabaseMember&) = delete;
  DatabaseMember& operator=(const DatabaseMember&) = delete;
  ~DatabaseMember();

  std::uint16_t port() const { return m_listener->port(); }
  MemberState& state() { return m_state; }
  const MemberSettings& settings() const { return m_settings; }

  /// Closes all connections and accepts none: a network cut.
  void cut_off();
  /// Accepts connections and data but answers nothing until heal().
  void freeze();
  /// Makes the connections that are open now silent for good, while new ones work.
  void silence_open_connections();
  /// Sends only half of the next answer and closes its connection.
  void cut_next_answer() { m_cut_next_answer = true; }
  void set_lag(std::uint64_t receive_lag_ms, std::uint64_t replay_lag_ms);
  /// Ends cut_off(), freeze() and cut_next_answer().
  void heal();
  /// Closes everything for good.
  void stop();

  /// Runs a line of the control port: `cut_off`, `freeze`, `silence`, `cut_answer`, `lag RECEIVE_MS REPLAY_MS`, `heal`
  /// or `die`. Returns false if the line is not known.
  bool run_command(const std::string& line);
  bool is_stopped() const { return m_stopped; }

  // For the sessions and the replica of this member.
  bool is_frozen() const { return m_frozen; }
  bool take_cut() { return std::exchange(m_cut_next_answer, false); }
  bool admit(MemberSession* session);
  void remove(MemberSession* session);
  /// Gives a slot at once or puts the session into the queue; a queued one gets slot_granted().
  bool take_slot(MemberSession* session);
  void release_slot();
  /// Reserves a request id until release_requests(); false if another open transaction has it.
  bool reserve_request(MemberSession* session, const std::string& id);
  void wait_for_request(MemberSession* session) { m_request_waiters.insert(session); }
  void release_requests(MemberSession* session);
  void follow(const std::string& address);
  void on_records_received();
  void on_replica_closed() { m_replica = nullptr; }

 private:
  void on_connection(uv_stream_t* listener);
  void on_tick();

  uv_loop_t* const m_loop;
  MemberSettings m_settings;
  MemberState m_state;
  TcpListener* m_listener;
  uv_timer_t* m_tick;
  bool m_cut_off = false;
  bool m_frozen = false;
  bool m_cut_next_answer = false;
  bool m_stopped = false;
  std::set<MemberSession*> m_sessions;
  // Sessions that count towards the limit of connections.
  std::set<MemberSession*> m_admitted;
  std::size_t m_free_slots;
  std::deque<MemberSession*> m_slot_queue;
  std::map<std::string, MemberSession*> m_reserved_requests;
  std::set<MemberSession*> m_request_waiters;
  MemberReplica* m_replica = nullptr;
  std::uint16_t m_primary_port = 0;
  // Received positions with the loop time at which they become visible.
  std::deque<std::pair<std::uint64_t, LogPosition>> m_replay_queue;
};

}  // namespace teaselrudder::testing
