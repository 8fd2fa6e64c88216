#pragma once

#include <deque>
#include <optional>
#include <variant>
#include <vector>

#include "core/ports/upstream_port.h"
#include "servers/group/group_action.h"
#include "servers/host/id_source.h"

namespace teaselrudder {

/// An order of the group's decisions that goes over the control connection.
using ControlOrder = std::variant<SendProbe, SendRaiseTerm, SendPromote, SendFollow>;

/// How a control order ended.
struct ControlResult {
  ControlOrder order;
  tl::expected<UpstreamResult, UpstreamError> result;
};

/// The one control connection to a member. It carries one operation at a time, apart from the requests of callers, so
/// that a full queue does not look like a dead member.
class ControlChannel {
 public:
  /// Bound on waiting orders; the group's decisions repeat what is dropped.
  static constexpr std::size_t kMaxWaiting = 8;

  ControlChannel(Endpoint endpoint, UpstreamPort& port, IdSource& ids);
  ControlChannel(const ControlChannel&) = delete;
  ControlChannel& operator=(const ControlChannel&) = delete;
  ~ControlChannel();

  /// Sends `operation` for `order` as soon as the connection is free. With `new_connection` the present connection is
  /// closed first, and what it carried fails.
  void submit(ControlOrder order, UpstreamOperation operation, bool new_connection);

  bool owns(ConnectionId connection) const { return m_connection == connection; }
  void on_opened(const tl::expected<void, UpstreamError>& outcome);
  void on_completed(OperationId operation, tl::expected<UpstreamResult, UpstreamError> outcome);
  void on_closed();

  /// Returns the results since the last call.
  std::vector<ControlResult> take_results();

 private:
  struct Order {
    ControlOrder order;
    UpstreamOperation operation;
  };

  void pump();
  void fail_all(const UpstreamError& error);
  void close();

  Endpoint m_endpoint;
  UpstreamPort& m_port;
  IdSource& m_ids;
  std::optional<ConnectionId> m_connection;
  bool m_open = false;
  std::optional<Order> m_running;
  OperationId m_running_id;
  std::deque<Order> m_waiting;
  std::vector<ControlResult> m_results;
};

}  // namespace teaselrudder
