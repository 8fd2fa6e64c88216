#pragma once

#include <optional>
#include <string>

#include "core/metrics/counters.h"
#include "servers/host/execution.h"
#include "servers/host/member_executor.h"

namespace teaselrudder {

/// What the parts of the request service do to a request.
class ExecutionActions {
 public:
  ExecutionActions() = default;
  ExecutionActions(const ExecutionActions&) = delete;
  ExecutionActions& operator=(const ExecutionActions&) = delete;
  virtual ~ExecutionActions() = default;

  /// Returns the request, or null if it has its answer.
  virtual Execution* find(ExecutionId id) = 0;

  /// Returns the executor of the request's member on this host, or null.
  virtual MemberExecutor* executor_of(const Execution& execution) = 0;

  /// Gives `operation` to the request's member. A refusal of the member's queue is handled before the return.
  virtual void submit(Execution& execution, UpstreamOperation operation, WorkPurpose purpose,
                      std::optional<ConnectionId> connection, TimePoint now) = 0;

  /// Sends the request to `host`, for the member `target` if one is chosen.
  virtual void forward(Execution& execution, const HostId& host, const std::optional<MemberId>& target, Term term,
                       TimePoint now) = 0;

  /// Routes the request again after a delay. With `from_budget` the retry budget has to allow it.
  virtual void retry(Execution& execution, RetryReason reason, bool from_budget, TimePoint now) = 0;

  /// Looks at the request again at `at`, or at its deadline if that is earlier.
  virtual void wake_at(const Execution& execution, TimePoint at) = 0;

  /// Ends the request with a refusal.
  virtual void refuse(Execution& execution, Refusal refusal, TimePoint now) = 0;

  /// Ends the request with Execution::answer.
  virtual void succeed(Execution& execution, TimePoint now) = 0;

  /// Ends the request with `outcome`.
  virtual void finish(Execution& execution, RequestOutcome outcome, TimePoint now) = 0;
};

/// Returns a refusal; one that a failover ends says when to try again.
Refusal make_refusal(RefusalReason reason, Ran ran, std::string detail);

/// Returns the reason with which callers see an upstream's error.
RefusalReason reason_of(const UpstreamError& error);

}  // namespace teaselrudder
