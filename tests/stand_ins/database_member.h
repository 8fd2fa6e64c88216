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

class ReplicationClient;
class MemberSession;

/// Settings of a test double of a member. Times are in milliseconds.
struct MemberSettings {
  /// Zero selects a free port.
  std::uint16_t port = 0;
  /// Maximum number of open client connections.
  std::size_t connections = 20;
  /// Maximum number of statements on the table that run at once.
  std::size_t slots = 3;
  /// Time for which the startup of a new connection is delayed.
  std::uint64_t connect_delay_ms = 0;
  /// Time for which each statement on the table holds a slot.
  std::uint64_t statement_ms = 0;
  /// Time from the receipt of log records at a replica until they are replayed, that is, visible to reads.
  std::uint64_t replay_lag_ms = 0;
  /// Time by which a replica delays the receipt of log records from its primary.
  std::uint64_t receive_lag_ms = 0;
};

/// Test double of a database member on 127.0.0.1: the PostgreSQL protocol over a small table `kv`, with the functions
/// of docs/design.md, section 7.1, asynchronous replication, and injectable faults.
///
/// Before destroying it, call stop() and run the event loop until no handles are left.
class DatabaseMember {
 public:
  DatabaseMember(uv_loop_t* loop, MemberSettings settings);
  DatabaseMember(const DatabaseMember&) = delete;
  DatabaseMember& operator=(const DatabaseMember&) = delete;
  ~DatabaseMember();

  std::uint16_t port() const { return m_listener->port(); }
  MemberState& state() { return m_state; }
  const MemberSettings& settings() const { return m_settings; }

  /// Simulates a network outage: closes all connections, and new ones as soon as they are accepted.
  void cut_off();
  /// Accepts connections and data but sends nothing until end_faults().
  void freeze();
  /// Makes the currently open connections permanently unresponsive; new connections work.
  void make_open_connections_unresponsive();
  /// Sends only the first half of the next reply and closes its connection.
  void cut_next_answer() { m_cut_next_answer = true; }
  /// Sets the replication lags of MemberSettings.
  void set_lag(std::uint64_t receive_lag_ms, std::uint64_t replay_lag_ms);
  /// Ends the effects of cut_off(), freeze() and cut_next_answer().
  void end_faults();
  /// Closes the listener and all connections permanently.
  void stop();

  /// Runs a command line from the control port: `cut_off`, `freeze`, `silence`, `cut_answer`,
  /// `lag RECEIVE_MS REPLAY_MS`, `heal` or `die`. Returns false if the command is unknown or incomplete.
  bool run_command(const std::string& line);
  bool is_stopped() const { return m_stopped; }

  // Used by the sessions and the replication client of this member.
  bool is_frozen() const { return m_frozen; }
  /// Returns whether the next reply has to be cut, and resets this.
  bool consume_cut_answer() { return std::exchange(m_cut_next_answer, false); }
  /// Counts a session towards the connection limit. Returns false if the limit is reached.
  bool admit(MemberSession* session);
  void remove(MemberSession* session);
  /// Returns true if a slot is free and now taken. Otherwise queues the session, whose slot_granted() is called later.
  bool take_slot(MemberSession* session);
  /// Passes the slot to the first queued session, or frees it.
  void release_slot();
  /// Reserves a request id until release_requests(). Returns false if another open transaction has reserved it.
  bool reserve_request(MemberSession* session, const std::string& id);
  /// Calls the session's retry_request() when reservations are released.
  void wait_for_request(MemberSession* session) { m_request_waiters.insert(session); }
  /// Releases the request ids of a session and retries the waiting sessions.
  void release_requests(MemberSession* session);
  /// Replicates from the primary at `address` (HOST:PORT) from now on.
  void follow(const std::string& address);
  /// Called when the replication client has appended log records.
  void on_records_received();
  void on_replication_closed() { m_replication_client = nullptr; }

 private:
  void on_connection(uv_stream_t* listener);
  void on_tick();

  uv_loop_t* const m_loop;
  MemberSettings m_settings;
  MemberState m_state;
  TcpListener* m_listener;
  uv_timer_t* m_tick_timer;
  bool m_cut_off = false;
  bool m_frozen = false;
  bool m_cut_next_answer = false;
  bool m_stopped = false;
  std::set<MemberSession*> m_sessions;
  // Sessions that count towards the connection limit.
  std::set<MemberSession*> m_admitted;
  std::size_t m_free_slots;
  std::deque<MemberSession*> m_slot_queue;
  std::map<std::string, MemberSession*> m_reserved_requests;
  std::set<MemberSession*> m_request_waiters;
  ReplicationClient* m_replication_client = nullptr;
  std::uint16_t m_primary_port = 0;
  // Received log positions, each with the loop time in milliseconds at which it is replayed.
  std::deque<std::pair<std::uint64_t, LogPosition>> m_replay_queue;
};

}  // namespace teaselrudder::testing
