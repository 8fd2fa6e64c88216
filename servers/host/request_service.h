#pragma once

#include <map>
#include <optional>
#include <vector>

#include "servers/host/execution_actions.h"
#include "servers/host/group_directory.h"
#include "servers/host/outcome_resolver.h"
#include "servers/host/request_router.h"
#include "servers/host/shared_read_coordinator.h"
#include "servers/host/timer_queue.h"
#include "servers/host/transaction_steps.h"
#include "servers/scheduling/retry_budget.h"

namespace teaselrudder {

/// Interface through which RequestService answers requests and forwards them to other hosts.
class RequestSink {
 public:
  RequestSink() = default;
  RequestSink(const RequestSink&) = delete;
  RequestSink& operator=(const RequestSink&) = delete;
  virtual ~RequestSink() = default;

  /// Sends the outcome of a request to `origin`. Called exactly once for each request, unless it is cancelled.
  virtual void finish_request(const Origin& origin, const RequestEnvelope& envelope, RequestOutcome outcome,
                              TimePoint now) = 0;

  /// Sends a request to another host; RequestService::on_forward_answered() is called with the result. Returns false,
  /// and does nothing, if the host is not known.
  virtual bool forward_request(ExecutionId execution, const HostId& host, RequestEnvelope envelope, Duration timeout,
                               TimePoint now) = 0;
};

/// Processes requests from their arrival to their answer: routing, execution at members, forwarding to other hosts,
/// retries and deadlines.
class RequestService : private ExecutionActions {
 public:
  RequestService(HostContext& context, GroupDirectory& groups, RequestSink& sink);

  /// Starts a request. Its outcome goes to RequestSink::finish_request().
  void start(const Origin& origin, RequestEnvelope envelope, TimePoint now);

  /// Drops a request whose caller no longer waits for it. Work that is still queued is removed; a transaction in which
  /// a step is running is rolled back.
  void cancel(const Origin& origin, TimePoint now);

  /// The host that a request was forwarded to has answered, or could not be reached.
  void on_forward_answered(ExecutionId id, const HostId& host, tl::expected<RequestOutcome, PeerError> outcome,
                           TimePoint now);

  /// Work that was submitted to a member has ended.
  void on_work_ended(const MemberWorkEnded& ended, TimePoint now);

  /// A group has confirmed a log position, or failed to (see DatabaseGroup::confirm()).
  void on_confirmation_done(const GroupId& group, const ConfirmationDone& done, TimePoint now);

  /// Processes the requests again that wait for the group's primary.
  void on_primary_changed(const GroupId& group, TimePoint now);

  /// Handles the requests and idle transactions whose timers have expired.
  void on_tick(TimePoint now);

  /// Returns when on_tick() is due next, or nothing if no timer is set.
  std::optional<TimePoint> next_wakeup() const;

  /// Returns the number of requests that have not been answered.
  std::size_t open_requests() const { return m_executions.size(); }

  /// Returns the number of transactions that are open on this host.
  std::size_t open_transactions() const { return m_transactions.open(); }

 private:
  Execution* find(ExecutionId id) override;
  MemberExecutor* executor_of(const Execution& execution) override;
  void submit(Execution& execution, UpstreamOperation operation, WorkPurpose purpose,
              std::optional<ConnectionId> connection, TimePoint now) override;
  void forward(Execution& execution, const HostId& host, const std::optional<MemberId>& target, Term term,
               TimePoint now) override;
  void retry(Execution& execution, RetryReason reason, bool use_retry_budget, TimePoint now) override;
  void wake_at(const Execution& execution, TimePoint at) override;
  void refuse(Execution& execution, Refusal refusal, TimePoint now) override;
  void succeed(Execution& execution, TimePoint now) override;
  void finish(Execution& execution, RequestOutcome outcome, TimePoint now) override;

  void route(Execution& execution, TimePoint now);
  void run_locally(Execution& execution, const RouteLocal& decision, TimePoint now);
  void wait(Execution& execution, RefusalReason reason, TimePoint until, TimePoint now);
  MemberWork make_work(const Execution& execution, UpstreamOperation operation, const DurationEstimator& durations,
                       std::optional<ConnectionId> connection, TimePoint now);
  void on_work_refused(Execution& execution, const WorkRefused& refused, TimePoint now);
  void on_work_failed(Execution& execution, const WorkEnded& ended, TimePoint now);
  void on_run_ended(Execution& execution, const StatementsResult& result, const WorkEnded& ended, TimePoint now);
  void on_read_ended(Execution& execution, const StatementsResult& result, const WorkEnded& ended, TimePoint now);
  void on_deadline(Execution& execution, TimePoint now);
  void release_resources(Execution& execution, TimePoint now);
  void abandon_transaction_work(Execution& execution, TimePoint now);

  HostContext& m_context;
  GroupDirectory& m_groups;
  RequestSink& m_sink;
  RequestRouter m_router;
  OutcomeResolver m_outcomes;
  TransactionSteps m_transactions;
  SharedReadCoordinator m_shared_reads;
  RetryBudget m_retry_budget;
  std::map<ExecutionId, Execution> m_executions;
  std::map<Origin, ExecutionId> m_origins;
  std::map<WorkId, ExecutionId> m_work;
  TimerQueue<ExecutionId> m_timers;
};

}  // namespace teaselrudder
