#include "servers/scheduling/shared_reads.h"

#include <algorithm>
#include <utility>

namespace teaselrudder {

namespace {

/// Appends `text` with its length, so that different lists of texts never have the same key.
void append_text(std::string& key, const std::string& text) {
  key += std::to_string(text.size());
  key += ':';
  key += text;
}

std::string key_of(const ServiceName& service, const std::vector<Statement>& statements) {
  std::string key;
  append_text(key, service.value());
  for (const Statement& statement : statements) {
    append_text(key, statement.sql);
    key += std::to_string(statement.parameters.size());
    key += ';';
    for (const std::optional<std::string>& parameter : statement.parameters) {
      key += parameter ? '=' : 'n';
      append_text(key, parameter.value_or(""));
    }
  }
  return key;
}

std::size_t key_length(const ServiceName& service, const std::vector<Statement>& statements) {
  std::size_t length = service.value().size();
  for (const Statement& statement : statements) {
    length += statement.sql.size();
    for (const std::optional<std::string>& parameter : statement.parameters) {
      length += parameter ? parameter->size() : 1;
    }
  }
  return length;
}

}  // namespace

Join SharedReads::join(const ServiceName& service, const std::vector<Statement>& statements, const SharedWaiter& waiter,
                       TimePoint now) {
  const Join unshared{JoinResult::kUnshared, SharedExecutionId()};
  // The reads of an uncertain session must run on the primary, whereas a shared execution may run on any member.
  if (waiter.session.uncertain || m_waiters.contains(waiter.id) || key_length(service, statements) > kMaxKeyLength) {
    return unshared;
  }
  std::string key = key_of(service, statements);
  const auto newest = m_newest_by_key.find(key);
  if (newest != m_newest_by_key.end()) {
    Execution& execution = m_executions.at(newest->second);
    if (may_join(execution, waiter, now)) {
      execution.waiters.push_back(waiter);
      m_waiters.emplace(waiter.id, newest->second);
      return {JoinResult::kJoined, newest->second};
    }
  }
  if (m_executions.size() >= kMaxExecutions) {
    return unshared;
  }
  const SharedExecutionId id(m_next_execution++);
  m_newest_by_key.insert_or_assign(key, id);
  m_waiters.emplace(waiter.id, id);
  m_executions.emplace(id, Execution{std::move(key), waiter.session.point, waiter.urgency, {}, waiter.id, {waiter}});
  return {JoinResult::kStarted, id};
}

bool SharedReads::may_join(const Execution& execution, const SharedWaiter& waiter, TimePoint now) {
  if (execution.waiters.size() >= kMaxWaiters || execution.point < waiter.session.point) {
    return false;
  }
  // A more urgent read must not wait in the queue behind work of a lower urgency.
  if (!execution.started_at) {
    return execution.urgency <= waiter.urgency;
  }
  // The data that a running execution returns may be as old as its start.
  return now - *execution.started_at <= waiter.max_age;
}

void SharedReads::on_started(SharedExecutionId execution, TimePoint now) {
  const auto found = m_executions.find(execution);
  if (found != m_executions.end()) {
    found->second.started_at = now;
  }
}

SharedOutcome SharedReads::on_answer(SharedExecutionId execution, const Acceptance& accepts) {
  SharedOutcome outcome;
  const Execution ended = remove_execution(execution);
  for (const SharedWaiter& waiter : ended.waiters) {
    const TimePoint as_of = std::max(waiter.arrived_at, ended.started_at.value_or(waiter.arrived_at));
    (accepts(waiter, as_of) ? outcome.answered : outcome.to_rerun).push_back(waiter.id);
  }
  return outcome;
}

SharedOutcome SharedReads::on_failure(SharedExecutionId execution, SharedFailure failure, TimePoint now) {
  SharedOutcome outcome;
  const Execution ended = remove_execution(execution);
  for (const SharedWaiter& waiter : ended.waiters) {
    const bool may_run_again =
        failure == SharedFailure::kExecution && waiter.id != ended.starter && now < waiter.deadline;
    (may_run_again ? outcome.to_rerun : outcome.refused).push_back(waiter.id);
  }
  return outcome;
}

std::optional<SharedExecutionId> SharedReads::leave(SharedWaiterId waiter) {
  const auto found = m_waiters.find(waiter);
  if (found == m_waiters.end()) {
    return std::nullopt;
  }
  const SharedExecutionId id = found->second;
  std::vector<SharedWaiter>& waiters = m_executions.at(id).waiters;
  std::erase_if(waiters, [&](const SharedWaiter& candidate) { return candidate.id == waiter; });
  m_waiters.erase(found);
  if (!waiters.empty()) {
    return std::nullopt;
  }
  remove_execution(id);
  return id;
}

SharedReads::Execution SharedReads::remove_execution(SharedExecutionId id) {
  const auto found = m_executions.find(id);
  if (found == m_executions.end()) {
    return {};
  }
  Execution execution = std::move(found->second);
  m_executions.erase(found);
  const auto newest = m_newest_by_key.find(execution.key);
  if (newest != m_newest_by_key.end() && newest->second == id) {
    m_newest_by_key.erase(newest);
  }
  for (const SharedWaiter& waiter : execution.waiters) {
    m_waiters.erase(waiter.id);
  }
  return execution;
}

}  // namespace teaselrudder
