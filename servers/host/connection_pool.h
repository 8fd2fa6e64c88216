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

/// Bounds of a pool of connections to one member.
struct PoolLimits {
  /// Connections that this host may hold to the member.
  std::uint32_t connections = 3;
  /// Time after which an opening connection is given up.
  Duration connect_timeout = std::chrono::seconds(2);
  /// Idle time after which a connection is checked before it carries a request: a connection that went silent looks
  /// open until something is sent, and a write lost on it has an unknown outcome.
  Duration check_after_idle = std::chrono::seconds(1);
  /// Time that the check may take.
  Duration check_timeout = std::chrono::milliseconds(300);
  /// Delay before the next attempt after a failed one; doubles up to the highest.
  Duration lowest_backoff = std::chrono::milliseconds(20);
  Duration highest_backoff = std::chrono::seconds(1);
};

/// Connections from this host to one member of a database group.
class ConnectionPool {
 public:
  ConnectionPool(Endpoint endpoint, PoolLimits limits, std::shared_ptr<const StateChart> chart, UpstreamPort& port,
                 IdSource& ids);
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;
  ~ConnectionPool();

  /// Returns an idle connection that needs no check and marks it busy, or nothing.
  std::optional<ConnectionId> acquire(TimePoint now);

  /// Opens connections, or starts checks of idle ones, until `wanted` are on the way, within the limits.
  void prepare(std::size_t wanted, TimePoint now);

  /// Returns a busy connection whose last operation ended well.
  void release(ConnectionId connection, TimePoint now);

  /// Closes a connection that is busy or in doubt.
  void discard(ConnectionId connection);

  /// Tells whether `connection` belongs to this pool.
  bool owns(ConnectionId connection) const { return m_connections.contains(connection); }

  /// An attempt to open a connection ended.
  void on_opened(ConnectionId connection, const tl::expected<void, UpstreamError>& outcome, TimePoint now);

  /// The member closed an idle connection, or a busy one is lost; it is gone already.
  void on_gone(ConnectionId connection);

  /// A check ended. Returns true if `operation` was a check of this pool.
  bool on_check_completed(ConnectionId connection, OperationId operation, bool succeeded, TimePoint now);

  /// Gives up connections that open or check for too long.
  void on_tick(TimePoint now);

  /// Returns when on_tick() is due next, or prepare() for `wanted` connections.
  std::optional<TimePoint> next_wakeup(std::size_t wanted) const;

  /// Returns the number of attempts that failed in a row, for want of connections or of the member.
  std::uint32_t failures_in_row() const { return m_failures_in_row; }

  /// Returns why the last attempt failed, or nothing if it succeeded.
  std::optional<UpstreamErrorKind> last_failure() const { return m_last_failure; }

  /// Returns the number of connections in any state.
  std::size_t size() const { return m_connections.size(); }

  /// Changes the bound on connections; those above it are closed when they become idle.
  void set_connection_limit(std::uint32_t connections) { m_limits.connections = connections; }

 private:
  struct Connection {
    ConnectionChart chart;
    /// When the present state began.
    TimePoint since;
    std::optional<OperationId> check;
  };

  void open_one(TimePoint now);
  bool start_check(TimePoint now);
  void note_failure(UpstreamErrorKind kind, TimePoint now);
  std::size_t count(ConnectionState state) const;

  Endpoint m_endpoint;
  PoolLimits m_limits;
  std::shared_ptr<const StateChart> m_chart;
  UpstreamPort& m_port;
  IdSource& m_ids;
  std::map<ConnectionId, Connection> m_connections;
  std::uint32_t m_failures_in_row = 0;
  std::optional<UpstreamErrorKind> m_last_failure;
  TimePoint m_next_attempt;
};

}  // namespace teaselrudder
