#include "drivers/postgres/postgres_upstreams.h"

#include <utility>

namespace teaselrudder {

PostgresUpstreams::PostgresUpstreams(uv_loop_t* loop, PostgresSettings settings, const Clock& clock,
                                     UpstreamEvents& events)
    : m_loop(loop), m_settings(std::move(settings)), m_clock(clock), m_events(events) {}

PostgresUpstreams::~PostgresUpstreams() = default;

void PostgresUpstreams::open_connection(ConnectionId connection, const Endpoint& upstream) {
  PostgresConnectionEvents& events = *this;
  const auto opened = std::make_shared<PostgresConnection>(m_loop, m_settings, connection, events);
  m_connections[connection] = opened;
  opened->open(upstream);
}

void PostgresUpstreams::execute(ConnectionId connection, OperationId operation, UpstreamOperation details) {
  const auto found = m_connections.find(connection);
  if (found != m_connections.end()) {
    found->second->execute(operation, std::move(details));
  }
}

void PostgresUpstreams::close_connection(ConnectionId connection) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end()) {
    return;
  }
  found->second->close();
  m_connections.erase(found);
}

void PostgresUpstreams::on_opened(ConnectionId connection, tl::expected<void, UpstreamError> outcome) {
  if (!outcome.has_value()) {
    m_connections.erase(connection);
  }
  m_events.on_upstream_opened(connection, std::move(outcome), m_clock.now());
}

void PostgresUpstreams::on_completed(ConnectionId connection, OperationId operation,
                                     tl::expected<UpstreamResult, UpstreamError> outcome) {
  const bool gone = !outcome.has_value() && (outcome.error().kind == UpstreamErrorKind::kConnectionLost ||
                                             outcome.error().kind == UpstreamErrorKind::kBadAnswer);
  if (gone) {
    m_connections.erase(connection);
  }
  m_events.on_upstream_completed(connection, operation, std::move(outcome), m_clock.now());
}

void PostgresUpstreams::on_closed(ConnectionId connection) {
  m_connections.erase(connection);
  m_events.on_upstream_closed(connection, m_clock.now());
}

}  // namespace teaselrudder
