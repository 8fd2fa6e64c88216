#pragma once

#include <libpq-fe.h>
#include <uv.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/ports/upstream_port.h"
#include "drivers/postgres/answer_interpreter.h"
#include "drivers/postgres/operation_script.h"
#include "drivers/postgres/postgres_settings.h"

namespace teaselrudder {

/// Receives what happens on one connection. A receiver may close the connection from inside a call.
class PostgresConnectionEvents {
 public:
  PostgresConnectionEvents() = default;
  PostgresConnectionEvents(const PostgresConnectionEvents&) = delete;
  PostgresConnectionEvents& operator=(const PostgresConnectionEvents&) = delete;
  virtual ~PostgresConnectionEvents() = default;

  /// The attempt ended; after an error the connection is gone.
  virtual void on_opened(ConnectionId connection, tl::expected<void, UpstreamError> outcome) = 0;

  /// An operation ended; after kConnectionLost or kBadAnswer the connection is gone.
  virtual void on_completed(ConnectionId connection, OperationId operation,
                            tl::expected<UpstreamResult, UpstreamError> outcome) = 0;

  /// The member closed the idle connection, which is gone.
  virtual void on_closed(ConnectionId connection) = 0;
};

/// One connection to a member, driven by libpq's non-blocking calls on an event loop.
///
/// Must be held by a shared pointer: a callback keeps the object alive while a receiver closes it. All events come from
/// the loop, none from inside open() or execute(), and none after close().
class PostgresConnection : public std::enable_shared_from_this<PostgresConnection> {
 public:
  PostgresConnection(uv_loop_t* loop, const PostgresSettings& settings, ConnectionId id,
                     PostgresConnectionEvents& events);
  PostgresConnection(const PostgresConnection&) = delete;
  PostgresConnection& operator=(const PostgresConnection&) = delete;
  ~PostgresConnection();

  /// Starts to connect.
  void open(const Endpoint& upstream);

  /// Starts an operation. One that does not fit the state of the connection is rejected with an event.
  void execute(OperationId operation, UpstreamOperation details);

  /// Closes the connection at once.
  void close();

 private:
  enum class State { kConnecting, kIdle, kBusy, kClosed };

  struct FinishConnection {
    void operator()(PGconn* connection) const { PQfinish(connection); }
  };
  struct ClearResult {
    void operator()(PGresult* result) const { PQclear(result); }
  };
  using Result = std::unique_ptr<PGresult, ClearResult>;

  static void on_poll(uv_poll_t* handle, int status, int events);
  static void on_timer(uv_timer_t* handle);

  void start_poll(int events);
  void stop_poll();
  void start_timer(Duration delay);
  void on_timer_fired();
  void on_socket_ready(int events);

  void continue_connecting();
  void finish_connecting();
  void fail_connecting(const std::string& message);

  std::optional<UpstreamError> find_rejection(const UpstreamOperation& details) const;
  bool send_script();
  bool send_command(const ScriptCommand& command);
  void flush();

  void receive();
  void read_results();
  void read_result(const Result& result);
  void append_rows(const Result& result);
  void end_command();
  void start_command();
  void finish_script();
  void complete(tl::expected<UpstreamResult, UpstreamError> outcome);
  void fail(UpstreamErrorKind kind, const std::string& message);
  bool transaction_is_in_expected_state(const tl::expected<UpstreamResult, UpstreamError>& outcome) const;

  uv_loop_t* const m_loop;
  const PostgresSettings m_settings;
  const ConnectionId m_id;
  PostgresConnectionEvents& m_events;
  State m_state = State::kConnecting;
  std::unique_ptr<PGconn, FinishConnection> m_connection;
  // Handles outlive this object until the loop has closed them; their data is null from then on.
  uv_poll_t* m_poll = nullptr;
  uv_timer_t* m_timer = nullptr;
  // Operations that were rejected or failed within a call, reported by the timer.
  std::vector<std::pair<OperationId, UpstreamError>> m_rejected;
  std::string m_failure;

  OperationId m_operation;
  UpstreamOperation m_details;
  Script m_script;
  std::vector<CommandOutcome> m_outcomes;
  // The first command whose answer is not complete.
  std::size_t m_next = 0;
  // Set if the operation holds a statement that must not be sent.
  std::optional<UpstreamError> m_refusal;
  bool m_handed_over = false;
  std::size_t m_held_bytes = 0;
  // Bytes of the connection that libpq has read, in all and when it last returned a result. The difference is the part
  // of an incomplete message that libpq holds.
  std::uint64_t m_read_bytes = 0;
  std::uint64_t m_parsed_bytes = 0;
  bool m_answer_began = false;
};

}  // namespace teaselrudder
