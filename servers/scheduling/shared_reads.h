#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "core/request.h"
#include "core/strong_type.h"
#include "core/time.h"

namespace teaselrudder {

/// One execution that several identical reads may share. Never reused within a process.
using SharedExecutionId = StrongType<struct SharedExecutionIdTag, std::uint64_t>;
/// One read that waits for a shared execution; chosen by the user of SharedReads and unique among waiting reads.
using SharedWaiterId = StrongType<struct SharedWaiterIdTag, std::uint64_t>;

/// A read with freshness kMaxAge that may share an execution.
struct SharedWaiter {
  SharedWaiterId id;
  SessionPosition session;
  Duration max_age{0};
  Urgency urgency = Urgency::kNormal;
  TimePoint deadline;
  TimePoint arrived_at;
};

/// What a read does after join().
enum class JoinResult {
  kStarted,  // The caller runs the read; later reads may join it.
  kJoined,   // The read waits for the execution that another read started.
  kAlone,    // The caller runs the read by itself; it is not registered here.
};

/// Result of join().
struct Join {
  JoinResult result = JoinResult::kAlone;
  /// The execution that the read belongs to; zero for kAlone.
  SharedExecutionId execution;
};

/// What happens to the waiters of an execution that ended. Each of them is in exactly one list.
struct SharedOutcome {
  /// Get the whole answer.
  std::vector<SharedWaiterId> answered;
  /// Run by themselves: the answer is too old for them, or only this execution failed. They may call join() again
  /// after a failure, but not after an answer.
  std::vector<SharedWaiterId> handed_back;
  /// Get a refusal of their own.
  std::vector<SharedWaiterId> refused;
};

/// Whom the failure of an execution concerns.
enum class SharedFailure {
  kExecution,  // Only this execution, such as its deadline in the queue or a lost connection.
  kStatement,  // Every execution of the statements, such as an upstream's rejection.
};

/// Lets identical reads share one running or queued execution.
///
/// Reads are identical if service, statements and parameters are equal. Joining is only a forecast; each waiter is
/// checked against the status of the member that ran the read before it gets the answer.
class SharedReads {
 public:
  /// Executions that can be joined at once.
  static constexpr std::size_t kMaxExecutions = 1024;
  /// Waiters of one execution, so that one answer does not hold up the event loop.
  static constexpr std::size_t kMaxWaiters = 1024;
  /// Longer statement texts and parameters are not shared, which bounds the memory of the keys.
  static constexpr std::size_t kMaxKeyLength = 16384;

  /// Tells whether the answer may be given to the waiter: its session position is satisfied by the member's status
  /// before the read ran, and a sample not older than `max_age` at the time `as_of` is too.
  using Acceptance = std::function<bool(const SharedWaiter& waiter, TimePoint as_of)>;

  /// Joins the newest execution of the same read, or registers a new one.
  Join join(const ServiceName& service, const std::vector<Statement>& statements, const SharedWaiter& waiter,
            TimePoint now);

  /// Records that the execution took a slot and its member's status is being read. Call again if it is started anew.
  void on_started(SharedExecutionId execution, TimePoint now);

  /// Ends an execution with an answer. `accepts` is called once for each waiter that asked before or while it ran, with
  /// the later of its arrival and the start.
  SharedOutcome on_answer(SharedExecutionId execution, const Acceptance& accepts);

  /// Ends an execution without an answer. After kExecution the read that started it is refused, as are those past their
  /// deadline, and the others are handed back; after kStatement all are refused.
  SharedOutcome on_failure(SharedExecutionId execution, SharedFailure failure, TimePoint now);

  /// Takes out a waiter that no longer needs the answer. Returns the execution if nobody waits for it any more; it is
  /// forgotten, so a queued one can be removed. The other waiters stay.
  std::optional<SharedExecutionId> leave(SharedWaiterId waiter);

  /// Returns the number of executions that have not ended.
  std::size_t executions() const { return m_executions.size(); }

 private:
  struct Execution {
    std::string key;
    /// Position and urgency for which the execution was queued.
    LogPoint point;
    Urgency urgency = Urgency::kNormal;
    std::optional<TimePoint> started_at;
    /// The read that started the execution first.
    SharedWaiterId starter;
    std::vector<SharedWaiter> waiters;
  };

  static bool may_join(const Execution& execution, const SharedWaiter& waiter, TimePoint now);
  Execution take(SharedExecutionId id);

  std::unordered_map<SharedExecutionId, Execution> m_executions;
  /// The newest execution of each read.
  std::unordered_map<std::string, SharedExecutionId> m_newest;
  std::unordered_map<SharedWaiterId, SharedExecutionId> m_waiters;
  std::uint64_t m_next_execution = 1;
};

}  // namespace teaselrudder
