#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "misc/measure/virtual_time.h"
#include "servers/scheduling/duration_estimator.h"
#include "servers/scheduling/member_queue.h"

namespace teaselrudder::measure {

/// A statement at a member. Its service time `service` is known to the simulation, but not to the policy.
struct Work {
  Urgency urgency = Urgency::kNormal;
  std::string shape;
  Duration service{0};
  TimePoint deadline;
};

/// Admission and order of the work of one member.
class QueuePolicy {
 public:
  virtual ~QueuePolicy() = default;

  /// Returns nothing if the work is queued, or the delay before a retry if it is refused.
  virtual std::optional<Duration> enqueue(WorkId id, const Work& work, TimePoint now) = 0;
  virtual std::optional<WorkId> start_next(TimePoint now) = 0;
  virtual void finish(WorkId id, const Work& work, Duration actual, TimePoint now) = 0;
  virtual std::vector<WorkId> take_expired(TimePoint now) = 0;
  virtual Duration expected_wait(Urgency urgency, TimePoint now) const = 0;
};

/// Baseline: an unbounded FIFO queue without admission control.
class FifoPolicy : public QueuePolicy {
 public:
  explicit FifoPolicy(std::uint32_t slots) : m_slots(slots) {}

  std::optional<Duration> enqueue(WorkId id, const Work& work, TimePoint now) override;
  std::optional<WorkId> start_next(TimePoint now) override;
  void finish(WorkId id, const Work& work, Duration actual, TimePoint now) override;
  std::vector<WorkId> take_expired(TimePoint now) override;
  Duration expected_wait(Urgency urgency, TimePoint now) const override;

 private:
  std::uint32_t m_slots;
  std::uint32_t m_running = 0;
  std::deque<WorkId> m_waiting;
};

/// MemberQueue with durations estimated by DurationEstimator. All estimates are multiplied by `estimate_factor`; a
/// factor other than 1 simulates wrong estimates.
class MemberQueuePolicy : public QueuePolicy {
 public:
  MemberQueuePolicy(std::uint32_t slots, double estimate_factor)
      : m_queue(QueueLimits{slots}), m_estimate_factor(estimate_factor) {}

  std::optional<Duration> enqueue(WorkId id, const Work& work, TimePoint now) override;
  std::optional<WorkId> start_next(TimePoint now) override;
  void finish(WorkId id, const Work& work, Duration actual, TimePoint now) override;
  std::vector<WorkId> take_expired(TimePoint now) override;
  Duration expected_wait(Urgency urgency, TimePoint now) const override;

 private:
  MemberQueue m_queue;
  DurationEstimator m_durations;
  double m_estimate_factor;
};

/// How work ended at a member.
enum class WorkResult { kDone, kRefused };

/// Simulation of a member with slots and service times, and of the queue in front of it.
class MemberModel {
 public:
  /// Called with the result and, for refused work, with the delay before a retry.
  using Done = std::function<void(WorkResult result, Duration retry_after)>;

  MemberModel(VirtualTime& time, std::unique_ptr<QueuePolicy> policy, Duration slot_overhead)
      : m_time(time), m_policy(std::move(policy)), m_slot_overhead(slot_overhead) {}

  /// Queues work. `extra` is the time for which it occupies its slot beyond its service time before it is answered, and
  /// `pause` the time for which the slot then stays idle.
  void submit(const Work& work, Duration extra, Duration pause, Done done);

  Duration expected_wait(Urgency urgency) const { return m_policy->expected_wait(urgency, m_time.now()); }

 private:
  struct Pending {
    Work work;
    Duration extra{0};
    Duration pause{0};
    Done done;
  };

  void start_queued();
  void collect_expired();
  void finish(WorkId id, Duration actual);
  void complete(WorkId id, WorkResult result);

  VirtualTime& m_time;
  std::unique_ptr<QueuePolicy> m_policy;
  /// Network time for which each statement occupies its slot in addition to its service time.
  Duration m_slot_overhead;
  std::unordered_map<WorkId, Pending> m_pending;
  std::uint64_t m_next_id = 1;
};

}  // namespace teaselrudder::measure
