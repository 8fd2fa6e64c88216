#include "servers/host/control_channel.h"

#include <utility>

namespace teaselrudder {

ControlChannel::ControlChannel(Endpoint endpoint, UpstreamPort& port, IdSource& ids)
    : m_endpoint(std::move(endpoint)), m_port(port), m_ids(ids) {}

ControlChannel::~ControlChannel() { close(); }

void ControlChannel::submit(ControlCommand command, UpstreamOperation operation, bool new_connection) {
  if (new_connection && m_connection.has_value()) {
    close();
    UpstreamError error;
    error.message = "the control connection was replaced";
    fail_all(error);
  }
  if (m_queued_commands.size() >= kMaxQueuedCommands) {
    UpstreamError error;
    error.may_have_run = false;
    error.message = "too many control commands are queued for the member";
    m_results.push_back({std::move(command), tl::unexpected(std::move(error))});
    return;
  }
  m_queued_commands.push_back({std::move(command), std::move(operation)});
  send_next();
}

void ControlChannel::on_opened(const tl::expected<void, UpstreamError>& outcome) {
  if (!outcome.has_value()) {
    m_connection.reset();
    fail_all(outcome.error());
    return;
  }
  m_open = true;
  send_next();
}

void ControlChannel::on_completed(OperationId operation, tl::expected<UpstreamResult, UpstreamError> outcome) {
  if (!m_running.has_value() || operation != m_running_id) {
    return;
  }
  const bool connection_gone = !outcome.has_value() && (outcome.error().kind == UpstreamErrorKind::kConnectionLost ||
                                                        outcome.error().kind == UpstreamErrorKind::kBadAnswer);
  m_results.push_back({std::move(m_running->command), std::move(outcome)});
  m_running.reset();
  if (connection_gone) {
    close();
  }
  send_next();
}

void ControlChannel::on_closed() {
  m_connection.reset();
  m_open = false;
  UpstreamError error;
  error.message = "the member closed the control connection";
  fail_all(error);
}

std::vector<ControlResult> ControlChannel::take_results() { return std::exchange(m_results, {}); }

void ControlChannel::send_next() {
  if (m_queued_commands.empty() || m_running.has_value()) {
    return;
  }
  if (!m_connection.has_value()) {
    m_open = false;
    m_connection = m_ids.next<ConnectionId>();
    m_port.open_connection(*m_connection, m_endpoint);
    return;
  }
  if (!m_open) {
    return;
  }
  m_running = std::move(m_queued_commands.front());
  m_queued_commands.pop_front();
  m_running_id = m_ids.next<OperationId>();
  m_port.execute(*m_connection, m_running_id, m_running->operation);
}

void ControlChannel::fail_all(const UpstreamError& error) {
  if (m_running.has_value()) {
    m_results.push_back({std::move(m_running->command), tl::unexpected(error)});
    m_running.reset();
  }
  for (PendingCommand& command : std::exchange(m_queued_commands, {})) {
    m_results.push_back({std::move(command.command), tl::unexpected(error)});
  }
}

void ControlChannel::close() {
  if (m_connection.has_value()) {
    m_port.close_connection(*m_connection);
  }
  m_connection.reset();
  m_open = false;
}

}  // namespace teaselrudder
