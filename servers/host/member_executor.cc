#include "servers/host/member_executor.h"

#include <algorithm>
#include <utility>

namespace teaselrudder {

namespace {

// Failed attempts to open a connection, in a row, after which the waiting work fails, so that it can be retried on
// another member. A single failure may be transient.
constexpr std::uint32_t kFailuresUntilUnreachable = 2;

UpstreamError timeout_error() {
  UpstreamError error;
  error.kind = UpstreamErrorKind::kConnectionLost;
  error.message = "the member did not answer in time; the connection is closed";
  return error;
}

// Returns whether the connection is in a known state and can be used for another operation.
bool connection_survives(const tl::expected<UpstreamResult, UpstreamError>& outcome) {
  if (outcome.has_value()) {
    return true;
  }
  const UpstreamErrorKind kind = outcome.error().kind;
  return kind == UpstreamErrorKind::kStatementFailed || kind == UpstreamErrorKind::kNotPrimaryInTerm;
}

}  // namespace

MemberExecutor::MemberExecutor(QueueLimits queue_limits, Endpoint endpoint, PoolLimits pool_limits,
                               std::shared_ptr<const StateChart> chart, UpstreamPort& port, IdSource& ids)
    : m_queue(queue_limits),
      m_pool(std::move(endpoint), pool_limits, std::move(chart), port, ids),
      m_port(port),
      m_ids(ids) {}

tl::expected<void, WorkRefused> MemberExecutor::submit(MemberWork work, TimePoint now) {
  const tl::expected<void, QueueRefusal> admitted = m_queue.enqueue(work.queued, now);
  if (!admitted.has_value()) {
    return tl::unexpected(WorkRefused{admitted.error().reason, admitted.error().retry_after});
  }
  const WorkId id = work.queued.id;
  m_work.emplace(id, std::move(work));
  start_queued_work(now);
  return {};
}

bool MemberExecutor::withdraw(WorkId work, TimePoint now) {
  if (!m_work.contains(work)) {
    return false;
  }
  m_work.erase(work);
  const auto waiting = std::find(m_waiting.begin(), m_waiting.end(), work);
  if (waiting != m_waiting.end()) {
    m_waiting.erase(waiting);
    m_queue.finish(work, now);
  } else {
    m_queue.remove(work);
  }
  start_queued_work(now);
  return true;
}

bool MemberExecutor::abandon(WorkId work, TimePoint now) {
  const auto found =
      std::find_if(m_running.begin(), m_running.end(), [work](const auto& entry) { return entry.second.work == work; });
  if (found == m_running.end()) {
    return false;
  }
  const ConnectionId connection = found->first;
  if (found->second.in_transaction) {
    --m_transactions;
  }
  m_running.erase(found);
  m_pool.discard(connection);
  m_queue.finish(work, now);
  start_queued_work(now);
  return true;
}

void MemberExecutor::end_transaction(ConnectionId connection, bool in_doubt, TimePoint now) {
  if (!m_pool.owns(connection)) {
    return;
  }
  --m_transactions;
  if (in_doubt) {
    m_pool.discard(connection);
  } else {
    m_pool.release(connection, now);
  }
  start_queued_work(now);
}

void MemberExecutor::shut_down(TimePoint now) {
  while (!m_running.empty()) {
    UpstreamError error;
    error.message = "the member left the group";
    finish_running(m_running.begin()->first, tl::unexpected(std::move(error)), false, now);
  }
  fail_waiting(UpstreamErrorKind::kConnectFailed, now);
  for (const auto& [id, work] : std::exchange(m_work, {})) {
    m_queue.remove(id);
    UpstreamError error;
    error.kind = UpstreamErrorKind::kConnectFailed;
    error.may_have_run = false;
    error.message = "the member left the group";
    add_outcome(id, WorkEnded{tl::unexpected(std::move(error)), ConnectionId(), now, false});
  }
}

void MemberExecutor::fail_waiting(UpstreamErrorKind kind, TimePoint now) {
  const std::vector<WorkId> waiting = std::exchange(m_waiting, {});
  for (const WorkId work : waiting) {
    m_work.erase(work);
    m_queue.finish(work, now);
    UpstreamError error;
    error.kind = kind;
    error.may_have_run = false;
    error.message = "no connection to the member could be opened";
    add_outcome(work, WorkEnded{tl::unexpected(std::move(error)), ConnectionId(), now, false});
  }
}

void MemberExecutor::on_opened(ConnectionId connection, const tl::expected<void, UpstreamError>& outcome,
                               TimePoint now) {
  m_pool.on_opened(connection, outcome, now);
  if (m_pool.consecutive_failures() >= kFailuresUntilUnreachable) {
    fail_waiting(m_pool.last_failure().value_or(UpstreamErrorKind::kConnectFailed), now);
  }
  start_queued_work(now);
}

void MemberExecutor::on_completed(ConnectionId connection, OperationId operation,
                                  tl::expected<UpstreamResult, UpstreamError> outcome, TimePoint now) {
  if (m_pool.on_check_completed(connection, operation, outcome.has_value(), now)) {
    start_queued_work(now);
    return;
  }
  const auto running = m_running.find(connection);
  // A result of an operation that is not the running one means that the state of the connection is unknown.
  if (running == m_running.end() || running->second.operation != operation) {
    m_pool.discard(connection);
    return;
  }
  finish_running(connection, std::move(outcome), false, now);
  start_queued_work(now);
}

void MemberExecutor::on_closed(ConnectionId connection, TimePoint now) {
  if (m_running.contains(connection)) {
    UpstreamError error;
    error.message = "the member closed the connection";
    finish_running(connection, tl::unexpected(std::move(error)), false, now);
  }
  m_pool.on_lost(connection);
  start_queued_work(now);
}

void MemberExecutor::on_tick(TimePoint now) {
  std::vector<ConnectionId> overdue;
  for (const auto& [connection, running] : m_running) {
    if (now >= running.times_out_at) {
      overdue.push_back(connection);
    }
  }
  for (const ConnectionId connection : overdue) {
    finish_running(connection, tl::unexpected(timeout_error()), true, now);
  }
  m_pool.on_tick(now);
  if (m_pool.consecutive_failures() >= kFailuresUntilUnreachable) {
    fail_waiting(m_pool.last_failure().value_or(UpstreamErrorKind::kConnectFailed), now);
  }
  start_queued_work(now);
}

std::vector<WorkOutcome> MemberExecutor::take_outcomes() { return std::exchange(m_outcomes, {}); }

std::optional<TimePoint> MemberExecutor::next_wakeup() const {
  std::optional<TimePoint> earliest = m_pool.next_wakeup(m_waiting.size());
  const auto consider = [&earliest](TimePoint at) { earliest = earliest.has_value() ? std::min(*earliest, at) : at; };
  for (const auto& [connection, running] : m_running) {
    consider(running.times_out_at);
  }
  if (const std::optional<TimePoint> deadline = m_queue.next_deadline()) {
    consider(*deadline);
  }
  return earliest;
}

void MemberExecutor::set_limits(std::uint32_t slots, std::uint32_t connections) {
  m_queue.set_slots(slots);
  m_pool.set_connection_limit(connections);
}

void MemberExecutor::start_queued_work(TimePoint now) {
  for (const WorkId expired : m_queue.take_expired(now)) {
    m_work.erase(expired);
    add_outcome(expired, WorkRefused{RefusalReason::kQueueDeadline, std::nullopt});
  }
  while (const std::optional<WorkId> next = m_queue.start_next(now)) {
    MemberWork& work = m_work.at(*next);
    if (work.connection.has_value()) {
      const ConnectionId connection = *work.connection;
      MemberWork started = std::move(work);
      m_work.erase(*next);
      start(connection, std::move(started), now);
      continue;
    }
    m_waiting.push_back(*next);
  }
  while (!m_waiting.empty()) {
    const std::optional<ConnectionId> connection = m_pool.acquire(now);
    if (!connection.has_value()) {
      break;
    }
    const auto node = m_work.extract(m_waiting.front());
    m_waiting.erase(m_waiting.begin());
    start(*connection, std::move(node.mapped()), now);
  }
  m_pool.prepare(m_waiting.size(), now);
}

void MemberExecutor::start(ConnectionId connection, MemberWork work, TimePoint now) {
  const WorkId id = work.queued.id;
  if (!m_pool.owns(connection)) {
    // The connection of the transaction is closed, so the transaction has ended.
    m_queue.finish(id, now);
    UpstreamError error;
    error.may_have_run = false;
    error.message = "the connection of the transaction is closed";
    add_outcome(id, WorkEnded{tl::unexpected(std::move(error)), connection, now, false});
    return;
  }
  Running running;
  running.work = id;
  running.operation = m_ids.next<OperationId>();
  running.started = now;
  running.times_out_at = now + work.answer_timeout;
  running.keep_connection = work.keep_connection;
  running.in_transaction = work.connection.has_value();
  running.service = std::move(work.service);
  running.shape = std::move(work.shape);
  const OperationId operation = running.operation;
  m_running.emplace(connection, running);
  m_port.execute(connection, operation, std::move(work.operation));
}

void MemberExecutor::add_outcome(WorkId work, std::variant<WorkRefused, WorkEnded> end) {
  m_outcomes.push_back({work, std::move(end)});
}

void MemberExecutor::finish_running(ConnectionId connection, tl::expected<UpstreamResult, UpstreamError> outcome,
                                    bool timed_out, TimePoint now) {
  const auto node = m_running.extract(connection);
  const Running& running = node.mapped();
  m_queue.finish(running.work, now);
  if (!running.shape.empty()) {
    // An operation that timed out has taken at least this long. Recording that gives later ones of its shape more time.
    m_durations.record(running.service, running.shape, now - running.started);
  }
  const bool survives = !timed_out && connection_survives(outcome);
  if (!survives) {
    if (running.in_transaction) {
      --m_transactions;
    }
    m_pool.discard(connection);
  } else if (running.keep_connection && outcome.has_value()) {
    // If the operation began the transaction, its connection is now reserved; otherwise it has been already.
    m_transactions += running.in_transaction ? 0 : 1;
  } else if (!running.in_transaction) {
    m_pool.release(connection, now);
  }
  add_outcome(running.work, WorkEnded{std::move(outcome), connection, running.started, timed_out});
}

}  // namespace teaselrudder
