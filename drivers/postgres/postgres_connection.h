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

/// Receives the events of a connection. The receiver may close the connection from within an event.
class PostgresConnectionEvents {
 public:
  PostgresConnectionEvents() = default;
  PostgresConnectionEvents(const PostgresConnectionEvents&) = delete;
  PostgresConnectionEvents& operator=(const PostgresConnectionEvents&) = delete;
  virtual ~PostgresConnectionEvents() = default;

  /// The connection attempt ended. After an error the connection is closed.
  virtual void on_opened(ConnectionId connection, tl::expected<void, UpstreamError> outcome) = 0;

  /// An operation ended. After kConnectionLost or kBadAnswer the connection is closed.
  virtual void on_completed(ConnectionId connection, OperationId operation,
                            tl::expected<UpstreamResult, UpstreamError> outcome) = 0;

  /// The member closed the connection while it was idle, or the idle connection broke.
  virtual void on_closed(ConnectionId connection) = 0;
};

/// One connection to a member. Uses libpq's non-blocking functions on a libuv loop.
///
/// Must be owned by a std::shared_ptr, because callbacks keep the object alive if the receiver closes and releases the
/// connection within an event. Events are sent from the loop only, never from inside open() or execute(), and never
/// after close().
class PostgresConnection : public std::enable_shared_from_this<PostgresConnection> {
 public:
  PostgresConnection(uv_loop_t* loop, const PostgresSettings& settings, ConnectionId id,
                     PostgresConnectionEvents& events);
  PostgresConnection(const PostgresConnection&) = delete;
  PostgresConnection& operator=(const PostgresConnection&) = delete;
  ~PostgresConnection();

  /// Starts to connect; on_opened() follows.
  void open(const Endpoint& upstream);

  /// Starts an operation; on_completed() follows. An operation that the state of the connection does not allow fails
  /// with kStatementFailed and is not sent.
  void execute(OperationId operation, UpstreamOperation details);

  /// Closes the connection immediately. No event follows.
  void close();

 private:
  enum class State { kConnecting, kIdle, kBusy, kClosed };

  struct ConnectionDeleter {
    void operator()(PGconn* connection) const { PQfinish(connection); }
  };
  struct ResultDeleter {
    void operator()(PGresult* result) const { PQclear(result); }
  };
  using Result = std::unique_ptr<PGresult, ResultDeleter>;

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
  std::unique_ptr<PGconn, ConnectionDeleter> m_connection;
  // libuv handles. The loop deletes them after close(), which may be after the destruction of this object; their `data`
  // is null from close() on.
  uv_poll_t* m_poll = nullptr;
  uv_timer_t* m_timer = nullptr;
  // Operations that execute() rejected; the timer reports them.
  std::vector<std::pair<OperationId, UpstreamError>> m_rejected;
  // Error that occurred within open() or execute(), or while data was sent. The timer reports it. Empty if there is
  // none.
  std::string m_failure_message;

  OperationId m_operation;
  UpstreamOperation m_details;
  OperationScript m_script;
  std::vector<CommandOutcome> m_outcomes;
  // Index of the first command whose response is not complete.
  std::size_t m_next_command = 0;
  // Set if the operation contains a statement that must not be sent.
  std::optional<UpstreamError> m_refusal;
  bool m_any_command_sent = false;
  std::size_t m_buffered_bytes = 0;
  // Number of bytes that libpq has read from the connection, now and when it last returned a result. The difference is
  // the size of the incomplete message in libpq's buffer.
  std::uint64_t m_read_bytes = 0;
  std::uint64_t m_parsed_bytes = 0;
  bool m_answer_started = false;
};

}  // namespace teaselrudder
