#pragma once

#include <uv.h>

#include <map>
#include <memory>

#include "core/ports/upstream_port.h"
#include "drivers/event_loop/clock.h"
#include "drivers/postgres/postgres_connection.h"
#include "drivers/postgres/postgres_settings.h"

namespace teaselrudder {

/// Implements UpstreamPort with the PostgreSQL protocol.
///
/// The loop, the clock and the receiver of the events must outlive this object. The loop must run once more after its
/// destruction to release the handles.
class PostgresUpstreams : public UpstreamPort, private PostgresConnectionEvents {
 public:
  PostgresUpstreams(uv_loop_t* loop, PostgresSettings settings, const Clock& clock, UpstreamEvents& events);
  ~PostgresUpstreams() override;

  void open_connection(ConnectionId connection, const Endpoint& upstream) override;
  /// Ignores an operation on a connection that is not open, because an event has already reported its end.
  void execute(ConnectionId connection, OperationId operation, UpstreamOperation details) override;
  void close_connection(ConnectionId connection) override;

 private:
  void on_opened(ConnectionId connection, tl::expected<void, UpstreamError> outcome) override;
  void on_completed(ConnectionId connection, OperationId operation,
                    tl::expected<UpstreamResult, UpstreamError> outcome) override;
  void on_closed(ConnectionId connection) override;

  uv_loop_t* const m_loop;
  const PostgresSettings m_settings;
  const Clock& m_clock;
  UpstreamEvents& m_events;
  std::map<ConnectionId, std::shared_ptr<PostgresConnection>> m_connections;
};

}  // namespace teaselrudder
