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

/// Identifies one execution that several identical reads may share. Never reused within a process.
using SharedExecutionId = StrongType<struct SharedExecutionIdTag, std::uint64_t>;
/// Identifies one read that waits for a shared execution. Chosen by the user of SharedReads; unique among waiting
/// reads.
using SharedWaiterId = StrongType<struct SharedWaiterIdTag, std::uint64_t>;

/// A read with freshness kMaxAge that may share an execution with other reads.
struct SharedWaiter {
  SharedWaiterId id;
  SessionPosition session;
  Duration max_age{0};
  Urgency urgency = Urgency::kNormal;
  TimePoint deadline;
  TimePoint arrived_at;
};

/// How a read is executed after join().
enum class JoinResult {
  kStarted,   // The caller must execute the read; later reads may join the execution.
  kJoined,    // The read waits for an execution that another read started.
  kUnshared,  // The caller must execute the read; the execution is not registered and cannot be joined.
};

/// Result of join().
struct Join {
  JoinResult result = JoinResult::kUnshared;
  /// The execution that the read belongs to; the default id for kUnshared.
  SharedExecutionId execution;
};

/// What to do with the waiters of an execution that ended. Each waiter is in exactly one list.
struct SharedOutcome {
  /// Receive the result of the execution.
  std::vector<SharedWaiterId> answered;
  /// Must be executed again, because the result is too old for them or because only this execution failed. After a
  /// failure they may call join() again, after a result they may not.
  std::vector<SharedWaiterId> to_rerun;
  /// Are refused, each with its own refusal.
  std::vector<SharedWaiterId> refused;
};

/// What the failure of an execution affects.
enum class SharedFailure {
  kExecution,  // Only this execution, for example if its deadline passed in the queue or its connection was lost.
  kStatement,  // Every execution of the statements, for example if the upstream rejected them.
};

/// Lets identical reads share one running or queued execution (request coalescing).
///
/// Reads are identical if service, statements and parameters are equal. A read joins an execution whose result will
/// probably meet its requirements. Before it receives the result, these are checked against the status of the member
/// that ran the read.
class SharedReads {
 public:
  /// Maximum number of executions that have not ended; further reads are kUnshared.
  static constexpr std::size_t kMaxExecutions = 1024;
  /// Maximum number of waiters of one execution, so that answering them does not block the event loop.
  static constexpr std::size_t kMaxWaiters = 1024;
  /// Maximum total length in bytes of service name, statement texts and parameters. Longer reads are kUnshared, which
  /// limits the memory of the keys.
  static constexpr std::size_t kMaxKeyLength = 16384;

  /// Returns true if the waiter may receive the result: the member's status before the read ran satisfies the waiter's
  /// session position and also a freshness sample that was at most `max_age` old at the time `as_of`.
  using Acceptance = std::function<bool(const SharedWaiter& waiter, TimePoint as_of)>;

  /// Joins the newest execution of an identical read, or registers a new execution.
  Join join(const ServiceName& service, const std::vector<Statement>& statements, const SharedWaiter& waiter,
            TimePoint now);

  /// Records that the execution has a slot and its member's status is being read. Must be called again if the execution
  /// is restarted.
  void on_started(SharedExecutionId execution, TimePoint now);

  /// Ends an execution with a result. Calls `accepts` once for each waiter, where `as_of` is the later of the waiter's
  /// arrival and the start of the execution.
  SharedOutcome on_answer(SharedExecutionId execution, const Acceptance& accepts);

  /// Ends an execution without a result. After kExecution the read that started it and reads past their deadline are
  /// refused, and the others must be executed again. After kStatement all are refused.
  SharedOutcome on_failure(SharedExecutionId execution, SharedFailure failure, TimePoint now);

  /// Removes a waiter that no longer needs the result. If it was the last waiter, the execution is removed too and its
  /// id is returned, so that the caller can remove it from the queue. Unknown ids are ignored.
  std::optional<SharedExecutionId> leave(SharedWaiterId waiter);

  /// Returns the number of executions that have not ended.
  std::size_t executions() const { return m_executions.size(); }

 private:
  struct Execution {
    std::string key;
    /// Session position and urgency of the read that started the execution, with which it was queued.
    LogPoint point;
    Urgency urgency = Urgency::kNormal;
    std::optional<TimePoint> started_at;
    /// The read that started the execution.
    SharedWaiterId starter;
    std::vector<SharedWaiter> waiters;
  };

  static bool may_join(const Execution& execution, const SharedWaiter& waiter, TimePoint now);
  Execution remove_execution(SharedExecutionId id);

  std::unordered_map<SharedExecutionId, Execution> m_executions;
  /// The newest execution for each key, which identifies equal reads.
  std::unordered_map<std::string, SharedExecutionId> m_newest_by_key;
  std::unordered_map<SharedWaiterId, SharedExecutionId> m_waiters;
  std::uint64_t m_next_execution = 1;
};

}  // namespace teaselrudder
