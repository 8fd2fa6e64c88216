#include "servers/scheduling/member_queue.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <vector>

namespace teaselrudder {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array<Urgency, 3> kUrgencies = {Urgency::kUrgent, Urgency::kNormal, Urgency::kBackground};

QueuedWork work_of(std::uint64_t id, Urgency urgency, Duration expected, TimePoint deadline) {
  return {WorkId(id), urgency, expected, false, false, deadline};
}

/// Applies random operations to a queue and checks each result against a simple model, a list of all work.
class QueueModel {
 public:
  QueueModel(std::uint32_t slots, bool far_deadlines)
      : m_slots(slots), m_far_deadlines(far_deadlines), m_queue(QueueLimits{slots, kMaxQueue, kAgeing}) {}

  void step() {
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
      case 1:
      case 2:
        return enqueue();
      case 3:
        return start_all();
      case 4:
        return finish_one();
      case 5:
        return remove_one();
      case 6:
        return set_slots();
      default:
        m_now += milliseconds(*rc::gen::inRange(0, 60));
        return take_expired();
    }
  }

  /// Runs until every item has ended. An item that the queue lost would remain in the list.
  void drain() {
    m_slots = std::max(m_slots, 1U);
    m_queue.set_slots(m_slots);
    for (int round = 0; round < 2000 && !(m_waiting.empty() && m_running.empty()); ++round) {
      m_now += milliseconds(10);
      take_expired();
      start_all();
      finish_one();
    }
    RC_ASSERT(m_waiting.empty());
    RC_ASSERT(m_queue.queued() == 0U);
    RC_ASSERT(m_queue.running() == 0U);
  }

 private:
  struct WaitingItem {
    QueuedWork work;
    TimePoint enqueued_at;
  };

  static constexpr std::size_t kMaxQueue = 16;
  static constexpr Duration kAgeing = milliseconds(200);

  void enqueue() {
    QueuedWork work;
    work.id = WorkId(m_next_id++);
    work.urgency = *rc::gen::elementOf(kUrgencies);
    work.expected = milliseconds(*rc::gen::inRange(0, 50));
    work.is_long = *rc::gen::inRange(0, 4) == 0;
    work.in_transaction = *rc::gen::inRange(0, 4) == 0;
    work.deadline = m_now + milliseconds(m_far_deadlines ? 600000 : *rc::gen::inRange(-5, 400));
    const bool idle = m_waiting.empty() && m_running.size() < m_slots;
    const bool full = m_waiting.size() >= kMaxQueue;
    const auto result = m_queue.enqueue(work, m_now);
    m_may_displace = m_may_displace || (full && work.urgency == Urgency::kUrgent);
    if (result) {
      RC_ASSERT(work.deadline > m_now);
      m_waiting.emplace(work.id, WaitingItem{work, m_now});
    } else {
      // Work must not be refused while a slot is free, whatever its estimate is. For long work a free slot may be
      // reserved for short work if other work runs.
      const bool slot_is_open = idle && (!work.is_long || m_running.empty());
      RC_ASSERT(!slot_is_open || work.deadline <= m_now);
      RC_ASSERT(result.error().retry_after > Duration::zero());
    }
    take_expired();
    RC_ASSERT(m_waiting.size() <= kMaxQueue);
  }

  std::size_t running_long() const {
    return static_cast<std::size_t>(
        std::count_if(m_running.begin(), m_running.end(), [](const auto& entry) { return entry.second; }));
  }

  void start_all() {
    take_expired();
    while (const std::optional<WorkId> id = m_queue.start_next(m_now)) {
      const auto found = m_waiting.find(*id);
      RC_ASSERT(found != m_waiting.end());
      const WaitingItem started = found->second;
      m_waiting.erase(found);
      RC_ASSERT(started.work.deadline > m_now);
      RC_ASSERT(m_running.size() < m_slots);
      RC_ASSERT(!started.work.is_long || running_long() < std::max(1U, m_slots - 1));
      if (m_far_deadlines) {
        check_order(started);
      }
      m_running.emplace(*id, started.work.is_long);
    }
    // Only long work may wait while a slot is free.
    const bool all_long =
        std::all_of(m_waiting.begin(), m_waiting.end(), [](const auto& entry) { return entry.second.work.is_long; });
    RC_ASSERT(m_running.size() >= m_slots || all_long);
    RC_ASSERT(m_waiting.empty() || !m_running.empty() || m_slots == 0);
  }

  /// Work of the same kind that is both older and shorter, or older by more than the ageing interval, must start first.
  void check_order(const WaitingItem& started) const {
    for (const auto& [id, other] : m_waiting) {
      const bool same_kind = other.work.urgency == started.work.urgency &&
                             other.work.in_transaction == started.work.in_transaction &&
                             other.work.is_long == started.work.is_long;
      const bool dominates = other.enqueued_at <= started.enqueued_at && other.work.expected < started.work.expected;
      RC_ASSERT(!same_kind || !dominates);
      RC_ASSERT(!same_kind || other.enqueued_at + kAgeing >= started.enqueued_at);
    }
  }

  void finish_one() {
    if (m_running.empty()) {
      return;
    }
    const auto chosen = std::next(m_running.begin(), *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(m_running)));
    m_queue.finish(chosen->first, m_now);
    m_running.erase(chosen);
    RC_ASSERT(m_queue.running() == m_running.size());
  }

  void remove_one() {
    const WorkId id(*rc::gen::inRange<std::uint64_t>(0, m_next_id + 1));
    RC_ASSERT(m_queue.remove(id) == (m_waiting.erase(id) > 0));
  }

  void set_slots() {
    m_slots = *rc::gen::inRange(0U, 5U);
    m_queue.set_slots(m_slots);
  }

  void take_expired() {
    for (const WorkId id : m_queue.take_expired(m_now)) {
      const auto found = m_waiting.find(id);
      RC_ASSERT(found != m_waiting.end());
      const QueuedWork& work = found->second.work;
      RC_ASSERT(work.deadline <= m_now || (m_may_displace && work.urgency == Urgency::kBackground));
      m_waiting.erase(found);
    }
    m_may_displace = false;
    RC_ASSERT(std::none_of(m_waiting.begin(), m_waiting.end(),
                           [this](const auto& entry) { return entry.second.work.deadline <= m_now; }));
    RC_ASSERT(m_queue.queued() == m_waiting.size());
  }

  std::uint32_t m_slots;
  bool m_far_deadlines;
  MemberQueue m_queue;
  TimePoint m_now;
  std::uint64_t m_next_id = 1;
  std::map<WorkId, WaitingItem> m_waiting;
  std::map<WorkId, bool> m_running;
  bool m_may_displace = false;
};

/// Result of a steady stream of work through a queue with 3 slots.
struct StreamResult {
  std::uint64_t admitted = 0;
  std::uint64_t expired = 0;
  std::uint64_t in_time = 0;
  Duration busy{0};
  std::array<Duration, 3> busy_by_urgency{};
};

/// Enqueues `per_millisecond` items of each urgency per millisecond for 20 s. Each takes 1 to 9 ms; its estimate is the
/// duration times `factor`.
StreamResult run_stream(int per_millisecond, double factor, Duration deadline) {
  MemberQueue queue(QueueLimits{});
  StreamResult result;
  std::map<WorkId, QueuedWork> known;
  std::multimap<TimePoint, WorkId> ends;
  std::uint64_t next = 1;
  for (TimePoint now; now < TimePoint(seconds(20)); now += milliseconds(1)) {
    while (!ends.empty() && ends.begin()->first <= now) {
      result.in_time += ends.begin()->first <= known.at(ends.begin()->second).deadline ? 1 : 0;
      queue.finish(ends.begin()->second, now);
      ends.erase(ends.begin());
    }
    for (int count = 0; count < per_millisecond * 3; ++count) {
      const Duration actual = milliseconds(1 + next % 9);
      const auto expected = Duration(static_cast<std::int64_t>(static_cast<double>(actual.count()) * factor));
      const QueuedWork work = work_of(next, kUrgencies[static_cast<std::size_t>(count % 3)], expected, now + deadline);
      ++next;
      if (queue.enqueue(work, now)) {
        ++result.admitted;
        known.emplace(work.id, work);
      }
    }
    while (const std::optional<WorkId> id = queue.start_next(now)) {
      const Duration actual = milliseconds(1 + id->value() % 9);
      ends.emplace(now + actual, *id);
      result.busy += actual;
      result.busy_by_urgency[static_cast<std::size_t>(known.at(*id).urgency)] += actual;
    }
    result.expired += queue.take_expired(now).size();
  }
  return result;
}

class MemberQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberQueueTest);
  CPPUNIT_TEST(returns_each_item_exactly_once);
  CPPUNIT_TEST(orders_by_duration_and_age);
  CPPUNIT_TEST(shares_slot_time_by_weight);
  CPPUNIT_TEST(keeps_goodput_under_overload);
  CPPUNIT_TEST(absorbs_a_burst);
  CPPUNIT_TEST(starts_newer_shorter_work_first);
  CPPUNIT_TEST(counts_overrun_work_as_long);
  CPPUNIT_TEST(idle_urgency_accumulates_no_credit);
  CPPUNIT_TEST(returns_displaced_background_work);
  CPPUNIT_TEST(reserves_slots_for_short_work);
  CPPUNIT_TEST(runs_long_work_beside_hung_work);
  CPPUNIT_TEST(prefers_transactions_without_starving_new_work);
  CPPUNIT_TEST(runs_late_work_only_in_idle_slots);
  CPPUNIT_TEST(busy_queue_of_fast_work_refuses_no_work);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against work that runs twice, gets lost, starts after its deadline or exceeds the number of slots.
  void returns_each_item_exactly_once() { check_model(false); }

  // Guards against starvation within an urgency, and against long work that starts before older, shorter work.
  void orders_by_duration_and_age() { check_model(true); }

  // Guards against an urgency whose share of the slot time differs from its weight.
  void shares_slot_time_by_weight() {
    const StreamResult result = run_stream(2, 1, seconds(100));
    const auto total = static_cast<double>(result.busy.count());
    const std::array<double, 3> weights = {16, 4, 1};
    for (std::size_t index = 0; index < weights.size(); ++index) {
      const double share = static_cast<double>(result.busy_by_urgency[index].count()) / total;
      CPPUNIT_ASSERT_DOUBLES_EQUAL(weights[index] / 21, share, 0.01);
    }
  }

  // Guards against goodput that collapses under overload because work starts too late to meet its deadline, even if all
  // estimates are wrong by a factor of 10.
  void keeps_goodput_under_overload() {
    for (const double factor : {0.1, 1.0, 10.0}) {
      const StreamResult result = run_stream(2, factor, milliseconds(400));
      CPPUNIT_ASSERT(result.busy > seconds(57));
      CPPUNIT_ASSERT(result.expired * 20 < result.admitted);
      CPPUNIT_ASSERT((result.in_time + result.expired) * 100 > result.admitted * 98);
    }
  }

  // Guards against refusing a burst that can be served before its deadline.
  void absorbs_a_burst() {
    MemberQueue queue(QueueLimits{});
    const TimePoint now;
    for (std::uint64_t id = 1; id <= 300; ++id) {
      CPPUNIT_ASSERT(queue.enqueue(work_of(id, Urgency::kNormal, milliseconds(5), now + seconds(1)), now));
    }
    // 300 items of 5 ms take 500 ms on 3 slots.
    const auto refused = queue.enqueue(work_of(301, Urgency::kNormal, milliseconds(5), now + milliseconds(400)), now);
    CPPUNIT_ASSERT(refused.error().reason == RefusalReason::kQueueDeadline);
    CPPUNIT_ASSERT(queue.expected_wait(Urgency::kNormal, now) == milliseconds(500));
  }

  // Guards against short work that waits for older work which takes much longer.
  void starts_newer_shorter_work_first() {
    MemberQueue queue(QueueLimits{1, 512, seconds(1)});
    const TimePoint now;
    CPPUNIT_ASSERT(queue.enqueue(work_of(1, Urgency::kNormal, milliseconds(40), now + seconds(60)), now));
    const TimePoint later = now + milliseconds(100);
    CPPUNIT_ASSERT(queue.enqueue(work_of(2, Urgency::kNormal, milliseconds(1), now + seconds(60)), later));
    CPPUNIT_ASSERT(queue.start_next(later) == WorkId(2));
  }

  // Guards against long work that starts in the last slot while hung work occupies the others.
  void counts_overrun_work_as_long() {
    MemberQueue queue(QueueLimits{});
    TimePoint now;
    for (std::uint64_t id = 1; id <= 2; ++id) {
      CPPUNIT_ASSERT(queue.enqueue(work_of(id, Urgency::kNormal, milliseconds(5), now + seconds(1)), now));
      CPPUNIT_ASSERT(queue.start_next(now) == WorkId(id));
    }
    now += seconds(10);
    CPPUNIT_ASSERT_EQUAL(0, start_long(queue, now, 1));
  }

  // Guards against an urgency that accumulates credit while idle and then starves the others.
  void idle_urgency_accumulates_no_credit() {
    MemberQueue queue(QueueLimits{1, 512, seconds(1)});
    TimePoint now;
    for (std::uint64_t id = 1; id <= 200; ++id, now += milliseconds(5)) {
      CPPUNIT_ASSERT(queue.enqueue(work_of(id, Urgency::kUrgent, milliseconds(5), now + seconds(60)), now));
      CPPUNIT_ASSERT(queue.start_next(now) == WorkId(id));
      queue.finish(WorkId(id), now + milliseconds(5));
    }
    for (std::uint64_t id = 1000; id < 1010; ++id) {
      CPPUNIT_ASSERT(queue.enqueue(work_of(id, Urgency::kBackground, milliseconds(5), now + seconds(60)), now));
      CPPUNIT_ASSERT(queue.enqueue(work_of(id + 100, Urgency::kUrgent, milliseconds(5), now + seconds(60)), now));
    }
    int background = 0;
    for (int started = 0; started < 10; ++started, now += milliseconds(5)) {
      const WorkId id = queue.start_next(now).value();
      background += id < WorkId(1100) ? 1 : 0;
      queue.finish(id, now + milliseconds(5));
    }
    CPPUNIT_ASSERT(background <= 1);
  }

  // Guards against displaced work whose caller gets no answer, and against urgent work that a full queue refuses.
  void returns_displaced_background_work() {
    MemberQueue queue(QueueLimits{1, 16, seconds(1)});
    const TimePoint now;
    const TimePoint deadline = now + seconds(60);
    std::uint64_t id = 1;
    while (queue.enqueue(work_of(id, Urgency::kBackground, milliseconds(1), deadline), now)) {
      ++id;
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, id);
    CPPUNIT_ASSERT(!queue.enqueue(work_of(50, Urgency::kNormal, milliseconds(1), deadline), now));
    for (std::uint64_t urgent = 100; urgent < 103; ++urgent) {
      CPPUNIT_ASSERT(queue.enqueue(work_of(urgent, Urgency::kUrgent, milliseconds(1), deadline), now));
    }
    CPPUNIT_ASSERT(queue.take_expired(now) == std::vector<WorkId>{WorkId(14)});
    CPPUNIT_ASSERT(queue.take_expired(now).empty());
  }

  // Guards against long work that occupies all slots, or so many that the rest cannot serve the recent load of short
  // work.
  void reserves_slots_for_short_work() {
    MemberQueue queue(QueueLimits{});
    TimePoint now;
    std::uint64_t id = 1;
    for (; now < TimePoint(seconds(2)); now += milliseconds(5)) {
      // Short work keeps two slots busy all the time.
      for (const std::uint64_t next : {id, id + 1}) {
        queue.finish(WorkId(next - 2), now);
        CPPUNIT_ASSERT(queue.enqueue(work_of(next, Urgency::kNormal, milliseconds(5), now + seconds(1)), now));
        CPPUNIT_ASSERT(queue.start_next(now) == WorkId(next));
      }
      id += 2;
    }
    CPPUNIT_ASSERT_EQUAL(1, start_long(queue, now, 2));
    queue.finish(WorkId(id - 1), now);
    queue.finish(WorkId(id - 2), now);
    CPPUNIT_ASSERT(!queue.start_next(now));
    // After a time with little short work the second long item starts, but never a third.
    now += seconds(3);
    CPPUNIT_ASSERT_EQUAL(1, start_long(queue, now, 0));
    CPPUNIT_ASSERT_EQUAL(0, start_long(queue, now, 1));
  }

  // Guards against one hung statement that prevents all long work, and against long work that then takes the last slot.
  void runs_long_work_beside_hung_work() {
    MemberQueue queue(QueueLimits{});
    TimePoint now;
    CPPUNIT_ASSERT(queue.enqueue(work_of(1, Urgency::kNormal, milliseconds(5), now + seconds(1)), now));
    CPPUNIT_ASSERT(queue.start_next(now) == WorkId(1));
    now += seconds(60);
    CPPUNIT_ASSERT(queue.expected_wait(Urgency::kNormal, now) == Duration::zero());
    CPPUNIT_ASSERT_EQUAL(1, start_long(queue, now, 2));
    CPPUNIT_ASSERT(queue.enqueue(work_of(2, Urgency::kNormal, milliseconds(5), now + seconds(1)), now));
    CPPUNIT_ASSERT(queue.start_next(now) == WorkId(2));
  }

  // Guards against open transactions that hold connections while new work starts first, and against transactions that
  // starve new work.
  void prefers_transactions_without_starving_new_work() {
    MemberQueue queue(QueueLimits{1, 512, seconds(1)});
    const TimePoint now;
    CPPUNIT_ASSERT(queue.enqueue(work_of(1, Urgency::kNormal, milliseconds(1), now + seconds(60)), now));
    for (std::uint64_t id = 2; id < 40; ++id) {
      QueuedWork work = work_of(id, Urgency::kNormal, milliseconds(9), now + seconds(60));
      work.in_transaction = true;
      CPPUNIT_ASSERT(queue.enqueue(work, now));
    }
    for (int started = 0; started < 16; ++started) {
      const WorkId id = queue.start_next(now).value();
      CPPUNIT_ASSERT(id != WorkId(1));
      queue.finish(id, now);
    }
    CPPUNIT_ASSERT(queue.start_next(now) == WorkId(1));
  }

  // Guards against slots used for work that will miss its deadline, and against a statement that never runs because its
  // estimate is too high.
  void runs_late_work_only_in_idle_slots() {
    MemberQueue queue(QueueLimits{1, 512, seconds(1)});
    const TimePoint now;
    CPPUNIT_ASSERT(queue.enqueue(work_of(1, Urgency::kUrgent, seconds(5), now + seconds(1)), now));
    CPPUNIT_ASSERT(queue.enqueue(work_of(2, Urgency::kBackground, milliseconds(1), now + seconds(60)), now));
    CPPUNIT_ASSERT(queue.start_next(now) == WorkId(2));
    queue.finish(WorkId(2), now);
    CPPUNIT_ASSERT(queue.start_next(now) == WorkId(1));
  }

 private:
  static void check_model(bool far_deadlines) {
    const bool holds = rc::check([far_deadlines] {
      QueueModel model(*rc::gen::inRange(1U, 5U), far_deadlines);
      for (int step = 0; step < 300; ++step) {
        model.step();
      }
      if (!far_deadlines) {
        model.drain();
      }
    });
    CPPUNIT_ASSERT(holds);
  }

  /// Enqueues `count` long items, starts work until nothing more may start, and returns the number of started items.
  static int start_long(MemberQueue& queue, TimePoint now, int count) {
    for (int index = 0; index < count; ++index) {
      QueuedWork work = work_of(m_next_long++, Urgency::kNormal, milliseconds(250), now + seconds(60));
      work.is_long = true;
      CPPUNIT_ASSERT(queue.enqueue(work, now));
    }
    int started = 0;
    while (queue.start_next(now)) {
      ++started;
    }
    return started;
  }

  static inline std::uint64_t m_next_long = 1000000;

  // Guards against refusing work as a standing queue when the queue is never empty but each item waits about a
  // millisecond only.
  void busy_queue_of_fast_work_refuses_no_work() {
    constexpr std::size_t kOutstanding = 32;
    constexpr Duration kService(100);
    MemberQueue queue(QueueLimits{3, 512, seconds(1)});
    std::uint64_t next_id = 0;
    std::size_t outstanding = 0;
    for (TimePoint now; now < TimePoint(seconds(5)); now += kService) {
      for (; outstanding < kOutstanding; ++outstanding) {
        const QueuedWork work = work_of(++next_id, Urgency::kNormal, kService, now + seconds(10));
        CPPUNIT_ASSERT(queue.enqueue(work, now).has_value());
      }
      std::vector<WorkId> started;
      while (const std::optional<WorkId> id = queue.start_next(now)) {
        started.push_back(*id);
      }
      for (const WorkId id : started) {
        queue.finish(id, now + kService);
        --outstanding;
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberQueueTest);

}  // namespace

}  // namespace teaselrudder
