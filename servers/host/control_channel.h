#pragma once

#include <deque>
#include <optional>
#include <variant>
#include <vector>

#include "core/ports/upstream_port.h"
#include "servers/group/group_action.h"
#include "servers/host/id_source.h"

namespace teaselrudder {

/// An action of DatabaseGroup that is sent to a member over its control connection.
using ControlCommand = std::variant<SendProbe, SendRaiseTerm, SendPromote, SendFollow>;

/// The result of a control command.
struct ControlResult {
  ControlCommand command;
  tl::expected<UpstreamResult, UpstreamError> result;
};

/// The control connection to a member, which runs one operation at a time.
///
/// It is separate from the connections for callers' requests, so that a member with a full queue still answers probes
/// and does not appear to have failed.
class ControlChannel {
 public:
  /// Maximum number of queued commands. Further ones fail at once, and DatabaseGroup sends them again.
  static constexpr std::size_t kMaxQueuedCommands = 8;

  ControlChannel(Endpoint endpoint, UpstreamPort& port, IdSource& ids);
  ControlChannel(const ControlChannel&) = delete;
  ControlChannel& operator=(const ControlChannel&) = delete;
  ~ControlChannel();

  /// Queues `command`, which is sent as `operation`. With `new_connection` the current connection is closed first, and
  /// the commands that are running or queued fail.
  void submit(ControlCommand command, UpstreamOperation operation, bool new_connection);

  bool owns(ConnectionId connection) const { return m_connection == connection; }
  /// Handle an event of the control connection.
  void on_opened(const tl::expected<void, UpstreamError>& outcome);
  void on_completed(OperationId operation, tl::expected<UpstreamResult, UpstreamError> outcome);
  void on_closed();

  /// Returns the results of the commands that have ended since the last call.
  std::vector<ControlResult> take_results();

 private:
  struct PendingCommand {
    ControlCommand command;
    UpstreamOperation operation;
  };

  void send_next();
  void fail_all(const UpstreamError& error);
  void close();

  Endpoint m_endpoint;
  UpstreamPort& m_port;
  IdSource& m_ids;
  std::optional<ConnectionId> m_connection;
  bool m_open = false;
  std::optional<PendingCommand> m_running;
  OperationId m_running_id;
  std::deque<PendingCommand> m_queued_commands;
  std::vector<ControlResult> m_results;
};

}  // namespace teaselrudder
