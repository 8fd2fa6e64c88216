#include "misc/measure/queue_policy.h"

#include <cmath>
#include <utility>

namespace teaselrudder::measure {

namespace {

const ServiceName kService("measured");

}  // namespace

std::optional<Duration> FifoPolicy::enqueue(WorkId id, const Work& /*work*/, TimePoint /*now*/) {
  m_waiting.push_back(id);
  return std::nullopt;
}

std::optional<WorkId> FifoPolicy::start_next(TimePoint /*now*/) {
  if (m_running >= m_slots || m_waiting.empty()) {
    return std::nullopt;
  }
  ++m_running;
  const WorkId id = m_waiting.front();
  m_waiting.pop_front();
  return id;
}

void FifoPolicy::finish(WorkId /*id*/, const Work& /*work*/, Duration /*actual*/, TimePoint /*now*/) { --m_running; }

std::vector<WorkId> FifoPolicy::take_expired(TimePoint /*now*/) { return {}; }

Duration FifoPolicy::expected_wait(Urgency /*urgency*/, TimePoint /*now*/) const { return Duration::zero(); }

std::optional<Duration> MemberQueuePolicy::enqueue(WorkId id, const Work& work, TimePoint now) {
  QueuedWork queued;
  queued.id = id;
  queued.urgency = work.urgency;
  const auto learned = static_cast<double>(m_durations.expected(kService, work.shape).count());
  queued.expected = Duration(std::llround(learned * m_estimate_factor));
  queued.is_long = m_durations.is_long(kService, work.shape);
  queued.deadline = work.deadline;
  const auto result = m_queue.enqueue(queued, now);
  return result ? std::nullopt : std::optional(result.error().retry_after);
}

std::optional<WorkId> MemberQueuePolicy::start_next(TimePoint now) { return m_queue.start_next(now); }

void MemberQueuePolicy::finish(WorkId id, const Work& work, Duration actual, TimePoint now) {
  m_queue.finish(id, now);
  m_durations.record(kService, work.shape, actual);
}

std::vector<WorkId> MemberQueuePolicy::take_expired(TimePoint now) { return m_queue.take_expired(now); }

Duration MemberQueuePolicy::expected_wait(Urgency urgency, TimePoint now) const {
  return m_queue.expected_wait(urgency, now);
}

void MemberModel::submit(const Work& work, Duration extra, Duration pause, Done done) {
  const WorkId id(m_next_id++);
  const std::optional<Duration> refused = m_policy->enqueue(id, work, m_time.now());
  if (refused) {
    done(WorkResult::kRefused, *refused);
    return;
  }
  m_pending.emplace(id, Pending{work, extra, pause, std::move(done)});
  m_time.after(work.deadline - m_time.now(), [this] { collect_expired(); });
  collect_expired();
  start_queued();
}

void MemberModel::start_queued() {
  while (const std::optional<WorkId> id = m_policy->start_next(m_time.now())) {
    const Pending& pending = m_pending.at(*id);
    const Duration actual = pending.work.service + pending.extra + m_slot_overhead;
    m_time.after(actual, [this, id, actual] { finish(*id, actual); });
  }
}

void MemberModel::finish(WorkId id, Duration actual) {
  const Work work = m_pending.at(id).work;
  const Duration pause = m_pending.at(id).pause;
  complete(id, WorkResult::kDone);
  m_time.after(pause, [this, id, work, total = actual + pause] {
    m_policy->finish(id, work, total, m_time.now());
    start_queued();
  });
}

void MemberModel::collect_expired() {
  for (const WorkId id : m_policy->take_expired(m_time.now())) {
    complete(id, WorkResult::kRefused);
  }
}

void MemberModel::complete(WorkId id, WorkResult result) {
  const Done done = std::move(m_pending.at(id).done);
  m_pending.erase(id);
  done(result, Duration::zero());
}

}  // namespace teaselrudder::measure
