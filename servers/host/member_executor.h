#pragma once

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "servers/host/connection_pool.h"
#include "servers/scheduling/duration_estimator.h"
#include "servers/scheduling/member_queue.h"

namespace teaselrudder {

/// One operation that waits for a slot of a member.
struct MemberWork {
  QueuedWork queued;
  UpstreamOperation operation;
  /// Under these the executor records how long the operation took; an empty shape records nothing.
  ServiceName service;
  std::string shape;
  /// The connection of an open transaction; otherwise one is taken from the pool.
  std::optional<ConnectionId> connection;
  /// The connection stays with the caller of the executor after success, because it holds an open transaction.
  bool keep_connection = false;
  /// Time from the start of the operation until its connection counts as silent.
  Duration silent_after{0};
};

/// The work did not start and never will.
struct WorkRefused {
  RefusalReason reason = RefusalReason::kQueueFull;
  std::optional<Duration> retry_after;
};

/// The operation ended.
struct WorkEnded {
  tl::expected<UpstreamResult, UpstreamError> result;
  ConnectionId connection;
  TimePoint started;
  /// No answer came; the connection was closed.
  bool silent = false;
};

/// How a piece of work ended.
struct WorkOutcome {
  WorkId work;
  std::variant<WorkRefused, WorkEnded> end;
};

/// Runs work on one member: its queue, its slots and its connections.
class MemberExecutor {
 public:
  MemberExecutor(QueueLimits queue_limits, Endpoint endpoint, PoolLimits pool_limits,
                 std::shared_ptr<const StateChart> chart, UpstreamPort& port, IdSource& ids);

  /// Queues `work`. A refusal is returned at once and not reported again.
  tl::expected<void, WorkRefused> submit(MemberWork work, TimePoint now);

  /// Removes work that has not started. Returns false if it runs already or ended.
  bool withdraw(WorkId work, TimePoint now);

  /// Closes the connection of running work and frees its slot, without an outcome. Returns false if it does not run.
  bool abandon(WorkId work, TimePoint now);

  /// Returns the connection of a finished transaction to the pool, or closes it if its state is in doubt.
  void end_transaction(ConnectionId connection, bool in_doubt, TimePoint now);

  /// Ends all work, because the member leaves the group: running work as on a lost connection, the rest as not run.
  void shut_down(TimePoint now);

  /// Fails work that waits for a connection; the member does not accept any.
  void fail_waiting(UpstreamErrorKind kind, TimePoint now);

  void on_opened(ConnectionId connection, const tl::expected<void, UpstreamError>& outcome, TimePoint now);
  void on_completed(ConnectionId connection, OperationId operation, tl::expected<UpstreamResult, UpstreamError> outcome,
                    TimePoint now);
  void on_closed(ConnectionId connection, TimePoint now);
  void on_tick(TimePoint now);

  /// Tells whether `connection` belongs to this executor.
  bool owns(ConnectionId connection) const { return m_pool.owns(connection); }

  /// Returns the outcomes since the last call.
  std::vector<WorkOutcome> take_outcomes();

  /// Returns what is known of the durations of statements on this member.
  const DurationEstimator& durations() const { return m_durations; }

  /// Returns the expected wait of new work of `urgency`.
  Duration expected_wait(Urgency urgency, TimePoint now) const { return m_queue.expected_wait(urgency, now); }

  /// Returns the work that waits for a slot, and the work that has one.
  std::size_t queued() const { return m_queue.queued(); }
  std::size_t running() const { return m_queue.running(); }

  /// Returns when on_tick() is due next.
  std::optional<TimePoint> next_wakeup() const;

  /// Tells whether anything is queued, running or held by a transaction.
  bool busy() const { return !m_work.empty() || !m_running.empty() || m_transactions > 0; }

  /// Changes the bounds after a change of the configuration or of ownership.
  void set_limits(std::uint32_t slots, std::uint32_t connections);

 private:
  struct Running {
    WorkId work;
    OperationId operation;
    TimePoint started;
    TimePoint silent_at;
    bool keep_connection = false;
    bool in_transaction = false;
    ServiceName service;
    std::string shape;
  };

  void pump(TimePoint now);
  void start(ConnectionId connection, MemberWork work, TimePoint now);
  void report(WorkId work, std::variant<WorkRefused, WorkEnded> end);
  void finish_running(ConnectionId connection, tl::expected<UpstreamResult, UpstreamError> outcome, bool silent,
                      TimePoint now);

  MemberQueue m_queue;
  DurationEstimator m_durations;
  ConnectionPool m_pool;
  UpstreamPort& m_port;
  IdSource& m_ids;
  // Queued work, and work that has a slot but no connection yet.
  std::map<WorkId, MemberWork> m_work;
  // Work that has a slot and waits for a connection, in the order of the slots.
  std::vector<WorkId> m_waiting;
  std::map<ConnectionId, Running> m_running;
  std::size_t m_transactions = 0;
  std::vector<WorkOutcome> m_outcomes;
};

}  // namespace teaselrudder
