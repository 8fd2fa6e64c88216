#pragma once

#include <optional>
#include <string>

#include "core/metrics/counters.h"
#include "servers/host/execution.h"
#include "servers/host/member_executor.h"

namespace teaselrudder {

/// Interface of RequestService for its parts: the operations on a request.
///
/// Each operation that takes the current time can answer the request, which destroys the Execution.
class ExecutionActions {
 public:
  ExecutionActions() = default;
  ExecutionActions(const ExecutionActions&) = delete;
  ExecutionActions& operator=(const ExecutionActions&) = delete;
  virtual ~ExecutionActions() = default;

  /// Returns the request, or null if it has been answered.
  virtual Execution* find(ExecutionId id) = 0;

  /// Returns this host's executor for the request's member, or null if there is none.
  virtual MemberExecutor* executor_of(const Execution& execution) = 0;

  /// Submits `operation` to the request's member. If the member's queue rejects it, that is handled before the return.
  virtual void submit(Execution& execution, UpstreamOperation operation, WorkPurpose purpose,
                      std::optional<ConnectionId> connection, TimePoint now) = 0;

  /// Forwards the request to `host`, which runs it on `target`, or chooses the member if `target` is empty.
  virtual void forward(Execution& execution, const HostId& host, const std::optional<MemberId>& target, Term term,
                       TimePoint now) = 0;

  /// Routes the request again after a delay. With `use_retry_budget` the retry counts against the retry budget and the
  /// limit on attempts, and the request is refused if either is exhausted.
  virtual void retry(Execution& execution, RetryReason reason, bool use_retry_budget, TimePoint now) = 0;

  /// Processes the request again at `at`, or at its deadline if that is earlier.
  virtual void wake_at(const Execution& execution, TimePoint at) = 0;

  /// Answers the request with a refusal.
  virtual void refuse(Execution& execution, Refusal refusal, TimePoint now) = 0;

  /// Answers the request with Execution::answer.
  virtual void succeed(Execution& execution, TimePoint now) = 0;

  /// Answers the request with `outcome`.
  virtual void finish(Execution& execution, RequestOutcome outcome, TimePoint now) = 0;
};

/// Returns a refusal. If its cause is expected to end with a failover, it says when to retry.
Refusal make_refusal(RefusalReason reason, Ran ran, std::string detail);

/// Returns the reason that is reported to callers for an error of an upstream.
RefusalReason reason_of(const UpstreamError& error);

}  // namespace teaselrudder
