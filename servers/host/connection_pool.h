#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/ports/upstream_port.h"
#include "servers/host/charts.h"
#include "servers/host/id_source.h"

namespace teaselrudder {

/// Limits and timeouts of a pool of connections to one member.
struct PoolLimits {
  /// Maximum number of connections from this host to the member.
  std::uint32_t connections = 3;
  /// Time after which an attempt to open a connection is given up.
  Duration connect_timeout = std::chrono::seconds(2);
  /// Idle time after which a connection is checked before it is used again. A dead connection may appear open until
  /// something is sent on it, and a write that is sent on it has an unknown outcome.
  Duration check_after_idle = std::chrono::seconds(1);
  /// Time without an answer after which the check has failed.
  Duration check_timeout = std::chrono::milliseconds(300);
  /// Delay before the next attempt to open a connection after a failed one. It doubles with each failure in a row, up
  /// to the maximum.
  Duration min_backoff = std::chrono::milliseconds(20);
  Duration max_backoff = std::chrono::seconds(1);
};

/// The connections from this host to one member of a database group that carry callers' requests.
class ConnectionPool {
 public:
  ConnectionPool(Endpoint endpoint, PoolLimits limits, std::shared_ptr<const StateChart> chart, UpstreamPort& port,
                 IdSource& ids);
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;
  ~ConnectionPool();

  /// Marks an idle connection that needs no check as busy and returns it. Returns nothing if there is none.
  std::optional<ConnectionId> acquire(TimePoint now);

  /// Checks idle connections, and opens new ones within the limits, until `wanted` connections are being checked or
  /// opened.
  void prepare(std::size_t wanted, TimePoint now);

  /// Makes a busy connection idle again after its last operation left it in a usable state.
  void release(ConnectionId connection, TimePoint now);

  /// Closes a connection that is busy or may be unusable.
  void discard(ConnectionId connection);

  /// Returns whether `connection` belongs to this pool.
  bool owns(ConnectionId connection) const { return m_connections.contains(connection); }

  /// Handles the end of an attempt to open a connection.
  void on_opened(ConnectionId connection, const tl::expected<void, UpstreamError>& outcome, TimePoint now);

  /// Removes a connection that is closed already, because the member closed it or it was lost.
  void on_lost(ConnectionId connection);

  /// Handles the end of a check. Returns false if `operation` is not a check of this pool.
  bool on_check_completed(ConnectionId connection, OperationId operation, bool succeeded, TimePoint now);

  /// Closes the connections whose opening or check has timed out.
  void on_tick(TimePoint now);

  /// Returns when on_tick(), or prepare() with `wanted` connections, is due next. Returns nothing if neither is.
  std::optional<TimePoint> next_wakeup(std::size_t wanted) const;

  /// Returns the number of attempts to open a connection that have failed since the last success.
  std::uint32_t consecutive_failures() const { return m_consecutive_failures; }

  /// Returns why the last attempt to open a connection failed, or nothing if it succeeded.
  std::optional<UpstreamErrorKind> last_failure() const { return m_last_failure; }

  /// Returns the number of connections in any state.
  std::size_t size() const { return m_connections.size(); }

  /// Changes the maximum number of connections. Surplus connections are closed when they are released.
  void set_connection_limit(std::uint32_t connections) { m_limits.connections = connections; }

 private:
  struct Connection {
    ConnectionChart chart;
    /// When the connection entered its current state.
    TimePoint since;
    /// The running check, if any.
    std::optional<OperationId> check;
  };

  void start_opening(TimePoint now);
  bool start_check(TimePoint now);
  void record_failure(UpstreamErrorKind kind, TimePoint now);
  std::size_t count(ConnectionState state) const;

  Endpoint m_endpoint;
  PoolLimits m_limits;
  std::shared_ptr<const StateChart> m_chart;
  UpstreamPort& m_port;
  IdSource& m_ids;
  std::map<ConnectionId, Connection> m_connections;
  std::uint32_t m_consecutive_failures = 0;
  std::optional<UpstreamErrorKind> m_last_failure;
  TimePoint m_next_attempt;
};

}  // namespace teaselrudder
