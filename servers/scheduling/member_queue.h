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

/// One piece of work for a member. Never reused within a process.
using WorkId = StrongType<struct WorkIdTag, std::uint64_t>;

/// Work that waits for a slot of a member.
struct QueuedWork {
  WorkId id;
  Urgency urgency = Urgency::kNormal;
  /// Expected time in the slot, from DurationEstimator.
  Duration expected{0};
  /// True if the work is expected to take much longer than the member's median.
  bool is_long = false;
  /// True for a statement of an open transaction, which goes ahead of new work of the same urgency.
  bool in_transaction = false;
  /// When the caller no longer needs the answer.
  TimePoint deadline;
};

/// Bounds of a member's queue.
struct QueueLimits {
  /// Work that runs on the member at once.
  std::uint32_t slots = 3;
  /// Work that waits at once, running work not counted.
  std::size_t max_queue = 512;
  /// Newer work of the same urgency overtakes waiting work only if it arrived within this time after it.
  Duration ageing_interval = std::chrono::seconds(1);
};

/// Why work was not queued. The work did not run.
struct QueueRefusal {
  /// kQueueFull, kQueueDeadline, or kInternal for an id that is already queued or running.
  RefusalReason reason = RefusalReason::kInternal;
  /// Time from now until the queue is expected to be short enough.
  Duration retry_after{0};
};

/// The queue of one member: decides what runs next and refuses what cannot run before its deadline.
///
/// Urgencies share the slot time with weights 16, 4 and 1. Within an urgency the shortest expected duration goes first,
/// and waiting time counts in favour of work. While demand of an urgency exceeds what it is served, its queue is kept
/// to one item for each slot. Call take_expired() after enqueue() and whenever next_deadline() passes: each queued item
/// is returned exactly once, by start_next(), remove() or take_expired().
class MemberQueue {
 public:
  explicit MemberQueue(QueueLimits limits);

  /// Changes the number of slots. Running work keeps its slot; zero slots start nothing.
  void set_slots(std::uint32_t slots);

  /// Queues work, or refuses it if the queue is at its bound or the work is not expected to finish before its deadline.
  /// Urgent work that meets a full queue displaces the last background item, which take_expired() then returns.
  tl::expected<void, QueueRefusal> enqueue(const QueuedWork& work, TimePoint now);

  /// Takes a slot for the next item and returns it, or nothing if no slot is free or no item may start. Call until it
  /// returns nothing.
  std::optional<WorkId> start_next(TimePoint now);

  /// Frees the slot of running work; unknown ids are ignored.
  void finish(WorkId id, TimePoint now);

  /// Takes out a queued item whose caller left. Returns false if the item is not queued; running work stays.
  bool remove(WorkId id);

  /// Takes out and returns the items that will not run: those past their deadline and those displaced by urgent work.
  std::vector<WorkId> take_expired(TimePoint now);

  /// Returns how long new short work of `urgency` is expected to wait behind everything that is queued.
  Duration expected_wait(Urgency urgency, TimePoint now) const;

  /// Returns the earliest deadline of a queued item, or nothing if the queue is empty.
  std::optional<TimePoint> next_deadline() const;

  /// Returns the number of items that wait.
  std::size_t queued() const { return m_items.size(); }

  /// Returns the number of items that hold a slot.
  std::size_t running() const { return m_running.size(); }

 private:
  static constexpr std::size_t kUrgencyCount = 3;
  /// Bound on the factor by which estimates are corrected.
  static constexpr double kHighestCorrection = 16.0;
  /// A queue that never empties is no harm while its items wait no longer than this: a busy member of fast statements
  /// always has some waiting.
  static constexpr Duration kHarmlessWait = std::chrono::milliseconds(2);

  /// Place in the order within one lane: ascending rank, then the shorter one, then order of arrival.
  struct Place {
    TimePoint rank;
    Duration expected{0};
    std::uint64_t sequence = 0;
    WorkId id;

    friend auto operator<=>(const Place&, const Place&) = default;
  };

  /// The orders of one urgency; long work is kept apart because it may have to let short work pass.
  enum Lane : std::uint8_t { kTransactionShort, kTransactionLong, kNewShort, kNewLong };
  static constexpr std::size_t kLaneCount = 4;

  /// One order with the sum of the expected durations.
  struct OrderedWork {
    std::set<Place> places;
    Duration sum{0};

    bool empty() const { return places.empty(); }
    void insert(const Place& place);
    void erase(const Place& place);
  };
  using Lanes = std::array<OrderedWork, kLaneCount>;

  struct Item {
    QueuedWork work;
    Place place;
    TimePoint enqueued_at;
    Duration predicted_wait{0};
    /// Not expected to finish before its deadline any more; it only fills a slot that would be idle otherwise.
    bool late = false;
  };

  struct Running {
    Urgency urgency = Urgency::kNormal;
    Duration expected{0};
    bool is_long = false;
    TimePoint started_at;
    Duration charged{0};
  };

  struct UrgencyClass {
    Lanes lanes;
    Lanes late_lanes;
    /// Slot time of finished work, divided by the weight.
    Duration pass{0};
    /// Expected slot time of running work, divided by the weight.
    Duration running_pass{0};
    /// Whether work of this urgency could have started at the last choice.
    bool competing = false;
    /// Transaction statements started in a row while new work waited.
    std::uint32_t transaction_run = 0;
    /// Corrects the predicted wait, mainly for more urgent work that arrives later.
    MovingRatio wait_correction{1.0, kHighestCorrection};
    /// Whether short and long work of this urgency comes faster than it is served.
    StandingQueue standing_short;
    StandingQueue standing_long;

    std::size_t waiting(bool is_long) const;
    void observe_standing(TimePoint now);
  };

  struct Candidate {
    Urgency urgency = Urgency::kNormal;
    Lane lane = kNewShort;
    WorkId id;
  };

  static Lane lane_of(const QueuedWork& work);
  static std::optional<Lane> first_lane(const Lanes& lanes, bool long_allowed, std::uint32_t transaction_run);
  UrgencyClass& class_of(Urgency urgency) { return m_classes[static_cast<std::size_t>(urgency)]; }
  const UrgencyClass& class_of(Urgency urgency) const { return m_classes[static_cast<std::size_t>(urgency)]; }

  /// Admission.
  Place place_of(const QueuedWork& work, TimePoint now) const;
  bool fits(const QueuedWork& work, Duration wait, TimePoint now) const;
  bool has_room(const QueuedWork& work) const;
  bool stands(const QueuedWork& work, Duration wait) const;
  std::size_t standing_limit(Urgency urgency) const;
  void observe_standing(TimePoint now);
  bool displace_background();
  void insert(const QueuedWork& work, const Place& place, Duration wait, TimePoint now);
  Duration time_to_shorten() const;

  /// Forecast.
  Duration remaining(const Running& running, TimePoint now) const;
  bool overran(const Running& running, TimePoint now) const;
  bool counts_as_long(const Running& running, TimePoint now) const;
  std::vector<Duration> ready_times(bool of_long, bool of_short, TimePoint now) const;
  Duration work_ahead(const QueuedWork& work, const Place& place, bool with_long, bool with_short) const;
  Duration waiting_work(Urgency urgency, bool with_long, bool with_short) const;
  Duration work_of_others(Urgency urgency, Duration own, bool with_long, bool with_short) const;
  Duration predict_wait(const QueuedWork& work, const Place& place, TimePoint now) const;

  /// Choice of the next item.
  Duration effective_pass(const UrgencyClass& urgency_class) const;
  std::uint32_t max_long() const;
  bool long_may_start(TimePoint now) const;
  void observe_short_load(TimePoint now);
  void move_late_items(UrgencyClass& urgency_class, TimePoint now);
  void admit_competitors(const std::array<std::optional<Lane>, kUrgencyCount>& first_lanes);
  std::optional<Candidate> choose_on_time(bool long_allowed, TimePoint now);
  std::optional<Candidate> choose_late(bool long_allowed) const;
  void start(const Candidate& candidate, TimePoint now);

  void expire(TimePoint now);
  void erase(WorkId id);

  QueueLimits m_limits;
  std::array<UrgencyClass, kUrgencyCount> m_classes;
  std::unordered_map<WorkId, Item> m_items;
  std::set<std::pair<TimePoint, WorkId>> m_deadlines;
  std::map<WorkId, Running> m_running;
  /// Items that will not run and that take_expired() has not returned yet.
  std::vector<WorkId> m_not_run;
  /// Pass of the class that started work last.
  Duration m_virtual_time{0};
  std::uint64_t m_next_sequence = 0;
  /// Moving mean of the number of slots that short work uses, and when it was brought up to date.
  double m_short_load = 0;
  TimePoint m_short_load_at;
  /// Corrects expected durations that are wrong on the whole.
  MovingRatio m_duration_correction{1.0 / kHighestCorrection, kHighestCorrection};
};

}  // namespace teaselrudder
