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

/// Work as a member sees it. `service` is known to the model only, not to the policy.
struct Work {
  Urgency urgency = Urgency::kNormal;
  std::string shape;
  Duration service{0};
  TimePoint deadline;
};

/// Order and admission of the work of one member.
class QueuePolicy {
 public:
  virtual ~QueuePolicy() = default;

  /// Returns the time after which to try again if the work is refused.
  virtual std::optional<Duration> enqueue(WorkId id, const Work& work, TimePoint now) = 0;
  virtual std::optional<WorkId> start_next(TimePoint now) = 0;
  virtual void finish(WorkId id, const Work& work, Duration actual, TimePoint now) = 0;
  virtual std::vector<WorkId> take_expired(TimePoint now) = 0;
  virtual Duration expected_wait(Urgency urgency, TimePoint now) const = 0;
};

/// The naive version: first come first served, without bound and without admission.
class FirstComePolicy : public QueuePolicy {
 public:
  explicit FirstComePolicy(std::uint32_t slots) : m_slots(slots) {}

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

/// MemberQueue with durations learned by DurationEstimator. An estimate factor other than 1 makes all estimates wrong.
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

/// How work left a member.
enum class WorkResult { kDone, kRefused };

/// A member with slots and service times, and the queue in front of it.
class MemberModel {
 public:
  /// Receives the result and, for refused work, the time after which to try again.
  using Done = std::function<void(WorkResult result, Duration retry_after)>;

  MemberModel(VirtualTime& time, std::unique_ptr<QueuePolicy> policy, Duration slot_overhead)
      : m_time(time), m_policy(std::move(policy)), m_slot_overhead(slot_overhead) {}

  /// Queues work. `extra` is the time that it holds its slot beyond its service time until the answer is there, and
  /// `pause` the time that the slot stays idle after the answer.
  void submit(const Work& work, Duration extra, Duration pause, Done done);

  Duration expected_wait(Urgency urgency) const { return m_policy->expected_wait(urgency, m_time.now()); }

 private:
  struct Pending {
    Work work;
    Duration extra{0};
    Duration pause{0};
    Done done;
  };

  void start_all();
  void collect_expired();
  void finish(WorkId id, Duration actual);
  void leave(WorkId id, WorkResult result);

  VirtualTime& m_time;
  std::unique_ptr<QueuePolicy> m_policy;
  /// Time of the answer's way back, during which the slot is not used.
  Duration m_slot_overhead;
  std::unordered_map<WorkId, Pending> m_pending;
  std::uint64_t m_next_id = 1;
};

}  // namespace teaselrudder::measure
