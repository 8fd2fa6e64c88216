#pragma once

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "servers/host/connection_pool.h"
#include "servers/scheduling/duration_estimator.h"
#include "servers/scheduling/member_queue.h"

namespace teaselrudder {

/// An operation for a member, and how to run it.
struct MemberWork {
  QueuedWork queued;
  UpstreamOperation operation;
  /// Key under which the duration of the operation is recorded (see DurationEstimator). Nothing is recorded if the
  /// shape is empty.
  ServiceName service;
  std::string shape;
  /// The connection of the open transaction that the operation belongs to. Empty if any pooled connection will do.
  std::optional<ConnectionId> connection;
  /// True if the operation leaves a transaction open on the connection after success. The connection then stays
  /// reserved until end_transaction().
  bool keep_connection = false;
  /// Time after the start of the operation at which its connection is closed if there is no answer.
  Duration answer_timeout{0};
};

/// The work was rejected and did not run.
struct WorkRefused {
  RefusalReason reason = RefusalReason::kQueueFull;
  /// Time after which a retry is expected to be accepted, if known.
  std::optional<Duration> retry_after;
};

/// The operation ended, or failed before it was sent (see UpstreamError::may_have_run).
struct WorkEnded {
  tl::expected<UpstreamResult, UpstreamError> result;
  ConnectionId connection;
  TimePoint started;
  /// True if the connection was closed because no answer arrived in time.
  bool timed_out = false;
};

/// The end of work that the queue had accepted.
struct WorkOutcome {
  WorkId work;
  std::variant<WorkRefused, WorkEnded> end;
};

/// Runs operations on one member: queues them, and runs them on pooled connections, as many at a time as the member has
/// slots.
class MemberExecutor {
 public:
  MemberExecutor(QueueLimits queue_limits, Endpoint endpoint, PoolLimits pool_limits,
                 std::shared_ptr<const StateChart> chart, UpstreamPort& port, IdSource& ids);

  /// Queues `work`. Returns an error if the queue rejects it; take_outcomes() has no outcome for it then.
  tl::expected<void, WorkRefused> submit(MemberWork work, TimePoint now);

  /// Removes work that has not been sent to the member, without an outcome. Returns false if it is running or has
  /// ended.
  bool withdraw(WorkId work, TimePoint now);

  /// Closes the connection of running work and frees its slot, without an outcome. Returns false if it is not running.
  bool abandon(WorkId work, TimePoint now);

  /// Releases the connection of a transaction: returns it to the pool, or closes it if `in_doubt` says that the
  /// transaction may still be open on it.
  void end_transaction(ConnectionId connection, bool in_doubt, TimePoint now);

  /// Fails all work, because the member leaves the group. Running work fails as after a lost connection and may have
  /// run; queued work has not run.
  void shut_down(TimePoint now);

  /// Fails the work that has a slot and waits for a connection, because none can be opened.
  void fail_waiting(UpstreamErrorKind kind, TimePoint now);

  /// Handle an event of a connection that belongs to this executor.
  void on_opened(ConnectionId connection, const tl::expected<void, UpstreamError>& outcome, TimePoint now);
  void on_completed(ConnectionId connection, OperationId operation, tl::expected<UpstreamResult, UpstreamError> outcome,
                    TimePoint now);
  void on_closed(ConnectionId connection, TimePoint now);
  /// Fails the operations whose time to answer has passed, and starts queued work.
  void on_tick(TimePoint now);

  /// Returns whether `connection` belongs to this executor.
  bool owns(ConnectionId connection) const { return m_pool.owns(connection); }

  /// Returns the outcomes of the work that has ended since the last call.
  std::vector<WorkOutcome> take_outcomes();

  /// Returns the recorded durations of statements on this member.
  const DurationEstimator& durations() const { return m_durations; }

  /// Returns how long new work of `urgency` is expected to wait for a slot.
  Duration expected_wait(Urgency urgency, TimePoint now) const { return m_queue.expected_wait(urgency, now); }

  /// Returns the number of operations that wait for a slot, and of those that have one.
  std::size_t queued() const { return m_queue.queued(); }
  std::size_t running() const { return m_queue.running(); }

  /// Returns when on_tick() is due next, or nothing if no timer is set.
  std::optional<TimePoint> next_wakeup() const;

  /// Returns true while work is queued or running, or a transaction is open.
  bool busy() const { return !m_work.empty() || !m_running.empty() || m_transactions > 0; }

  /// Changes the limits after a change of the configuration or of ownership.
  void set_limits(std::uint32_t slots, std::uint32_t connections);

 private:
  struct Running {
    WorkId work;
    OperationId operation;
    TimePoint started;
    TimePoint times_out_at;
    bool keep_connection = false;
    bool in_transaction = false;
    ServiceName service;
    std::string shape;
  };

  void start_queued_work(TimePoint now);
  void start(ConnectionId connection, MemberWork work, TimePoint now);
  void add_outcome(WorkId work, std::variant<WorkRefused, WorkEnded> end);
  void finish_running(ConnectionId connection, tl::expected<UpstreamResult, UpstreamError> outcome, bool timed_out,
                      TimePoint now);

  MemberQueue m_queue;
  DurationEstimator m_durations;
  ConnectionPool m_pool;
  UpstreamPort& m_port;
  IdSource& m_ids;
  // Work that has not been sent: it waits for a slot, or has one and waits for a connection.
  std::map<WorkId, MemberWork> m_work;
  // Work that has a slot and waits for a connection, in the order in which it got the slot.
  std::vector<WorkId> m_waiting;
  std::map<ConnectionId, Running> m_running;
  // Connections that are reserved for open transactions.
  std::size_t m_transactions = 0;
  std::vector<WorkOutcome> m_outcomes;
};

}  // namespace teaselrudder
