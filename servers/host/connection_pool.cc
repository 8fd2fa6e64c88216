#include "servers/host/connection_pool.h"

#include <algorithm>

namespace teaselrudder {

namespace {

// Prevents the exponential backoff from overflowing before it is limited to PoolLimits::max_backoff.
constexpr std::uint32_t kMaxBackoffDoublings = 10;

}  // namespace

ConnectionPool::ConnectionPool(Endpoint endpoint, PoolLimits limits, std::shared_ptr<const StateChart> chart,
                               UpstreamPort& port, IdSource& ids)
    : m_endpoint(std::move(endpoint)), m_limits(limits), m_chart(std::move(chart)), m_port(port), m_ids(ids) {}

ConnectionPool::~ConnectionPool() {
  for (const auto& [connection, state] : m_connections) {
    m_port.close_connection(connection);
  }
}

std::optional<ConnectionId> ConnectionPool::acquire(TimePoint now) {
  // The connection that was used last is the least likely to be dead.
  auto best = m_connections.end();
  for (auto entry = m_connections.begin(); entry != m_connections.end(); ++entry) {
    const bool usable =
        entry->second.chart.state() == ConnectionState::kIdle && now - entry->second.since < m_limits.check_after_idle;
    if (usable && (best == m_connections.end() || entry->second.since > best->second.since)) {
      best = entry;
    }
  }
  if (best == m_connections.end()) {
    return std::nullopt;
  }
  best->second.chart.fire(ConnectionEvent::kAcquired);
  best->second.since = now;
  return best->first;
}

void ConnectionPool::prepare(std::size_t wanted, TimePoint now) {
  std::size_t in_progress = count(ConnectionState::kOpening) + count(ConnectionState::kChecking);
  while (in_progress < wanted && start_check(now)) {
    ++in_progress;
  }
  while (in_progress < wanted && m_connections.size() < m_limits.connections && now >= m_next_attempt) {
    start_opening(now);
    ++in_progress;
  }
}

void ConnectionPool::release(ConnectionId connection, TimePoint now) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end()) {
    return;
  }
  if (m_connections.size() > m_limits.connections) {
    discard(connection);
    return;
  }
  found->second.chart.fire(ConnectionEvent::kReleased);
  found->second.since = now;
}

void ConnectionPool::discard(ConnectionId connection) {
  if (m_connections.erase(connection) > 0) {
    m_port.close_connection(connection);
  }
}

void ConnectionPool::on_opened(ConnectionId connection, const tl::expected<void, UpstreamError>& outcome,
                               TimePoint now) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end()) {
    return;
  }
  if (!outcome.has_value()) {
    m_connections.erase(found);
    record_failure(outcome.error().kind, now);
    return;
  }
  found->second.chart.fire(ConnectionEvent::kOpened);
  found->second.since = now;
  m_consecutive_failures = 0;
  m_last_failure.reset();
  m_next_attempt = now;
}

void ConnectionPool::on_lost(ConnectionId connection) { m_connections.erase(connection); }

bool ConnectionPool::on_check_completed(ConnectionId connection, OperationId operation, bool succeeded, TimePoint now) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end() || found->second.check != operation) {
    return false;
  }
  if (!succeeded) {
    discard(connection);
    return true;
  }
  found->second.check.reset();
  found->second.chart.fire(ConnectionEvent::kReleased);
  found->second.since = now;
  return true;
}

void ConnectionPool::on_tick(TimePoint now) {
  std::vector<ConnectionId> overdue;
  for (const auto& [id, connection] : m_connections) {
    const ConnectionState state = connection.chart.state();
    const Duration in_state = now - connection.since;
    const bool opening_overdue = state == ConnectionState::kOpening && in_state >= m_limits.connect_timeout;
    const bool check_overdue = state == ConnectionState::kChecking && in_state >= m_limits.check_timeout;
    if (opening_overdue) {
      record_failure(UpstreamErrorKind::kConnectFailed, now);
    }
    if (opening_overdue || check_overdue) {
      overdue.push_back(id);
    }
  }
  for (const ConnectionId id : overdue) {
    discard(id);
  }
}

std::optional<TimePoint> ConnectionPool::next_wakeup(std::size_t wanted) const {
  std::optional<TimePoint> earliest;
  const auto consider = [&earliest](TimePoint at) { earliest = earliest.has_value() ? std::min(*earliest, at) : at; };
  for (const auto& [id, connection] : m_connections) {
    if (connection.chart.state() == ConnectionState::kOpening) {
      consider(connection.since + m_limits.connect_timeout);
    }
    if (connection.chart.state() == ConnectionState::kChecking) {
      consider(connection.since + m_limits.check_timeout);
    }
  }
  const std::size_t in_progress = count(ConnectionState::kOpening) + count(ConnectionState::kChecking);
  if (in_progress < wanted && m_connections.size() < m_limits.connections) {
    consider(m_next_attempt);
  }
  return earliest;
}

void ConnectionPool::start_opening(TimePoint now) {
  const auto id = m_ids.next<ConnectionId>();
  m_connections.emplace(id, Connection{ConnectionChart(m_chart), now, std::nullopt});
  m_port.open_connection(id, m_endpoint);
}

bool ConnectionPool::start_check(TimePoint now) {
  for (auto& [id, connection] : m_connections) {
    const bool stale =
        connection.chart.state() == ConnectionState::kIdle && now - connection.since >= m_limits.check_after_idle;
    if (!stale) {
      continue;
    }
    connection.chart.fire(ConnectionEvent::kChecked);
    connection.since = now;
    connection.check = m_ids.next<OperationId>();
    m_port.execute(id, *connection.check, ReportStatus{});
    return true;
  }
  return false;
}

void ConnectionPool::record_failure(UpstreamErrorKind kind, TimePoint now) {
  ++m_consecutive_failures;
  m_last_failure = kind;
  const std::uint32_t doublings = std::min(m_consecutive_failures - 1, kMaxBackoffDoublings);
  const Duration backoff = m_limits.min_backoff * (std::int64_t{1} << doublings);
  m_next_attempt = now + std::min(backoff, m_limits.max_backoff);
}

std::size_t ConnectionPool::count(ConnectionState state) const {
  return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [state](const auto& entry) {
    return entry.second.chart.state() == state;
  }));
}

}  // namespace teaselrudder
