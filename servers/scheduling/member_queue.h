#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/refusal.h"
#include "core/request.h"
#include "core/strong_type.h"
#include "core/time.h"
#include "servers/scheduling/moving_ratio.h"
#include "servers/scheduling/standing_queue.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Identifies one item of work for a member. Never reused within a process.
using WorkId = StrongType<struct WorkIdTag, std::uint64_t>;

/// Work that is to be executed in a slot of a member. A slot allows one item to run on the member.
struct QueuedWork {
  WorkId id;
  Urgency urgency = Urgency::kNormal;
  /// Expected duration of the execution, from DurationEstimator.
  Duration expected{0};
  /// True if the work is expected to take much longer than the member's median.
  bool is_long = false;
  /// True for a statement of an open transaction. It is started before new work of the same urgency.
  bool in_transaction = false;
  /// Time after which the caller no longer needs the answer.
  TimePoint deadline;
};

/// Limits of a member's queue.
struct QueueLimits {
  /// Maximum number of items that run on the member at the same time.
  std::uint32_t slots = 3;
  /// Maximum number of items that wait; running items are not counted.
  std::size_t max_queue = 512;
  /// Shorter work overtakes waiting work of the same urgency only if it arrived at most this time later.
  Duration ageing_interval = std::chrono::seconds(1);
};

/// Why work was not queued. It has not been executed.
struct QueueRefusal {
  /// kQueueFull, kQueueDeadline, or kInternal for an id that is already queued or running.
  RefusalReason reason = RefusalReason::kInternal;
  /// Time from now until the queue is expected to be short enough.
  Duration retry_after{0};
};

/// Schedules the work of one member: decides which item runs next and refuses work that would miss its deadline.
///
/// The urgencies share the slot time by stride scheduling with weights 16, 4 and 1. Within an urgency the item with the
/// shortest expected duration runs first, with ageing against starvation. While the demand of an urgency exceeds the
/// capacity that it gets, its queue is limited to about one item for each slot. Call take_expired() after enqueue() and
/// whenever next_deadline() passes. Each queued item leaves the queue exactly once, by start_next(), remove() or
/// take_expired().
class MemberQueue {
 public:
  explicit MemberQueue(QueueLimits limits);

  /// Changes the number of slots. Running work keeps its slot. With zero slots nothing is started.
  void set_slots(std::uint32_t slots);

  /// Queues work, or refuses it if the queue is full, if the work is not expected to finish before its deadline, or if
  /// the queue of its urgency is limited because demand exceeds capacity. If the queue is full, urgent work displaces
  /// the last background item, which take_expired() then returns.
  tl::expected<void, QueueRefusal> enqueue(const QueuedWork& work, TimePoint now);

  /// Assigns a slot to the next item and returns the item, or nothing if no slot is free or no item may start. Call
  /// repeatedly until it returns nothing.
  std::optional<WorkId> start_next(TimePoint now);

  /// Frees the slot of running work. Unknown ids are ignored.
  void finish(WorkId id, TimePoint now);

  /// Removes a queued item whose caller disconnected. Returns false if the item is not queued; running work is not
  /// removed.
  bool remove(WorkId id);

  /// Removes and returns the items that will not run: those past their deadline and those displaced by urgent work.
  std::vector<WorkId> take_expired(TimePoint now);

  /// Returns how long new short work of `urgency` is expected to wait if it runs after all queued work of its urgency.
  Duration expected_wait(Urgency urgency, TimePoint now) const;

  /// Returns the earliest deadline of a queued item, or nothing if the queue is empty.
  std::optional<TimePoint> next_deadline() const;

  /// Returns the number of waiting items.
  std::size_t queued() const { return m_items.size(); }

  /// Returns the number of running items.
  std::size_t running() const { return m_running.size(); }

 private:
  static constexpr std::size_t kUrgencyCount = 3;
  /// Maximum factor by which estimates are corrected.
  static constexpr double kHighestCorrection = 16.0;
  /// The limit on standing queues does not apply to work that is expected to wait no longer than this. A busy member
  /// with fast statements always has some work waiting.
  static constexpr Duration kHarmlessWait = std::chrono::milliseconds(2);

  /// Sort key of an item within one lane: ascending priority time, then expected duration, then order of arrival.
  struct SortKey {
    TimePoint priority_time;
    Duration expected{0};
    std::uint64_t sequence = 0;
    WorkId id;

    friend auto operator<=>(const SortKey&, const SortKey&) = default;
  };

  /// The lanes that hold the queued work of one urgency. Long work has lanes of its own, because it may have to wait
  /// while short work starts.
  enum Lane : std::uint8_t { kTransactionShort, kTransactionLong, kNewShort, kNewLong };
  static constexpr std::size_t kLaneCount = 4;

  /// The sorted items of one lane with the sum of their expected durations.
  struct OrderedItems {
    std::set<SortKey> keys;
    Duration sum{0};

    bool empty() const { return keys.empty(); }
    void insert(const SortKey& key);
    void erase(const SortKey& key);
  };
  using Lanes = std::array<OrderedItems, kLaneCount>;

  struct QueuedItem {
    QueuedWork work;
    SortKey key;
    TimePoint enqueued_at;
    Duration predicted_wait{0};
    /// True if the item is no longer expected to finish before its deadline. It then runs only in a slot that would
    /// otherwise be idle.
    bool late = false;
  };

  struct RunningWork {
    Urgency urgency = Urgency::kNormal;
    Duration expected{0};
    bool is_long = false;
    TimePoint started_at;
    Duration charged{0};
  };

  struct UrgencyClass {
    Lanes lanes;
    Lanes late_lanes;
    /// Pass value of stride scheduling: the slot time of finished work, divided by the weight. The urgency with the
    /// lowest sum of `pass` and `running_charge` starts next.
    Duration pass{0};
    /// Expected slot time of running work, divided by the weight.
    Duration running_charge{0};
    /// True if work of this urgency could have started when an item was last chosen.
    bool was_runnable = false;
    /// Number of transaction statements that were started in a row while new work waited.
    std::uint32_t transaction_streak = 0;
    /// Corrects the predicted wait, mainly for more urgent work that arrives after the prediction.
    MovingRatio wait_correction{1.0, kHighestCorrection};
    /// Detect whether short or long work of this urgency arrives faster than it is served.
    StandingQueue standing_short;
    StandingQueue standing_long;

    std::size_t waiting(bool is_long) const;
    void update_standing(TimePoint now);
  };

  struct Candidate {
    Urgency urgency = Urgency::kNormal;
    Lane lane = kNewShort;
    WorkId id;
  };

  static Lane lane_of(const QueuedWork& work);
  static std::optional<Lane> first_lane(const Lanes& lanes, bool long_allowed, std::uint32_t transaction_streak);
  UrgencyClass& class_of(Urgency urgency) { return m_classes[static_cast<std::size_t>(urgency)]; }
  const UrgencyClass& class_of(Urgency urgency) const { return m_classes[static_cast<std::size_t>(urgency)]; }

  /// Admission.
  SortKey sort_key_of(const QueuedWork& work, TimePoint now) const;
  bool meets_deadline(const QueuedWork& work, Duration wait, TimePoint now) const;
  bool has_room(const QueuedWork& work) const;
  bool exceeds_standing_limit(const QueuedWork& work, Duration wait) const;
  std::size_t standing_limit(Urgency urgency) const;
  void update_standing(TimePoint now);
  bool displace_background();
  void insert(const QueuedWork& work, const SortKey& key, Duration wait, TimePoint now);
  Duration retry_after_full() const;

  /// Prediction of waiting times.
  Duration remaining_time(const RunningWork& running, TimePoint now) const;
  bool has_overrun(const RunningWork& running, TimePoint now) const;
  bool counts_as_long(const RunningWork& running, TimePoint now) const;
  std::vector<Duration> ready_times(bool for_long, bool for_short, TimePoint now) const;
  Duration work_ahead(const QueuedWork& work, const SortKey& key, bool with_long, bool with_short) const;
  Duration waiting_work(Urgency urgency, bool with_long, bool with_short) const;
  Duration work_of_others(Urgency urgency, Duration own, bool with_long, bool with_short) const;
  Duration predict_wait(const QueuedWork& work, const SortKey& key, TimePoint now) const;

  /// Selection of the next item.
  Duration effective_pass(const UrgencyClass& urgency_class) const;
  std::uint32_t max_long() const;
  bool long_may_start(TimePoint now) const;
  void update_short_load(TimePoint now);
  void move_late_items(UrgencyClass& urgency_class, TimePoint now);
  void raise_newly_runnable_passes(const std::array<std::optional<Lane>, kUrgencyCount>& first_lanes);
  std::optional<Candidate> choose_on_time(bool long_allowed, TimePoint now);
  std::optional<Candidate> choose_late(bool long_allowed) const;
  void start(const Candidate& candidate, TimePoint now);

  void expire(TimePoint now);
  void erase(WorkId id);

  QueueLimits m_limits;
  std::array<UrgencyClass, kUrgencyCount> m_classes;
  std::unordered_map<WorkId, QueuedItem> m_items;
  std::set<std::pair<TimePoint, WorkId>> m_deadlines;
  std::map<WorkId, RunningWork> m_running;
  /// Expired or displaced items that take_expired() has not returned yet.
  std::vector<WorkId> m_discarded;
  /// Pass of the urgency that was chosen last.
  Duration m_virtual_time{0};
  std::uint64_t m_next_sequence = 0;
  /// Moving average of the number of slots that short work uses, and the time of its last update.
  double m_short_load = 0;
  TimePoint m_short_load_at;
  /// Corrects expected durations that are too low or too high on average.
  MovingRatio m_duration_correction{1.0 / kHighestCorrection, kHighestCorrection};
};

}  // namespace teaselrudder
