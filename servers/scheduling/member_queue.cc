#include "servers/scheduling/member_queue.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace teaselrudder {

namespace {

/// Inverse weights of urgent, normal and background work, scaled so that they are whole numbers (16, 4 and 1).
constexpr std::array<std::int64_t, 3> kInverseWeights = {1, 4, 16};

/// Newer work overtakes waiting work that is longer by `d` only if it arrived at most this many times `d` later.
constexpr std::int64_t kAgeingFactor = 20;

/// Maximum number of transaction statements that start in a row while new work waits. Without a limit, a few busy
/// transactions would starve new work of their urgency.
constexpr std::uint32_t kMaxTransactionStreak = 16;

/// Running work that has taken more than this many times its expected duration counts as long, so that work with wrong
/// estimates does not fill the slots that are reserved for short work.
constexpr std::int64_t kOverrunFactor = 5;

/// Maximum slot time that one item is charged for. Without a limit, an urgency whose work hung could not start anything
/// for as long as the work had hung.
constexpr Duration kMaxCharge = std::chrono::seconds(1);

/// Work is admitted if its expected completion takes at most this many quarters of the time to its deadline. The rest
/// is a margin for variation of the durations.
constexpr std::int64_t kAdmissionQuarters = 3;

/// Part of the queue, in eighths, that only urgent work may use, so that urgent work is admitted when the queue is full
/// of normal work.
constexpr std::size_t kUrgentReserveEighths = 1;

/// Number of slots left to short work for each slot that it uses on average. The resulting load of 80% keeps its
/// waiting time low.
constexpr double kShortHeadroom = 1.25;

/// Time constant of the moving average of the load of short work; it covers several long items of 250 ms.
constexpr Duration kShortLoadTimeConstant = std::chrono::seconds(1);

/// Expected durations are limited to this value, so that sums cannot overflow.
constexpr Duration kMaxExpectedDuration = std::chrono::minutes(10);

/// Maximum predicted wait, also used for a member without slots.
constexpr Duration kMaxWait = std::chrono::hours(24);

/// Limits of QueueRefusal::retry_after. A shorter delay would make callers retry in a busy loop, a longer one would
/// outlast most load peaks.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);

std::int64_t inverse_weight(Urgency urgency) { return kInverseWeights[static_cast<std::size_t>(urgency)]; }

Duration clamp_expected(Duration expected) { return std::clamp(expected, Duration::zero(), kMaxExpectedDuration); }

/// Returns the time until `work` has been distributed to slots that become free after the times in `ready`, if the
/// slots share the work evenly. This is when work queued behind it can start.
Duration time_until_last_start(std::vector<Duration> ready, Duration work) {
  if (ready.empty()) {
    return kMaxWait;
  }
  std::sort(ready.begin(), ready.end());
  Duration sum = work;
  for (std::size_t used = 1; used < ready.size(); ++used) {
    sum += ready[used - 1];
    const Duration level = sum / static_cast<std::int64_t>(used);
    if (level <= ready[used]) {
      return level;
    }
  }
  sum += ready.back();
  return std::min(sum / static_cast<std::int64_t>(ready.size()), kMaxWait);
}

}  // namespace

MemberQueue::MemberQueue(QueueLimits limits) : m_limits(limits) {}

void MemberQueue::set_slots(std::uint32_t slots) { m_limits.slots = slots; }

tl::expected<void, QueueRefusal> MemberQueue::enqueue(const QueuedWork& work, TimePoint now) {
  expire(now);
  if (m_items.contains(work.id) || m_running.contains(work.id)) {
    return tl::unexpected(QueueRefusal{RefusalReason::kInternal, Duration::zero()});
  }
  const SortKey key = sort_key_of(work, now);
  const Duration wait = predict_wait(work, key, now);
  if (!meets_deadline(work, wait, now)) {
    const Duration excess = wait + clamp_expected(work.expected) - (work.deadline - now);
    return tl::unexpected(
        QueueRefusal{RefusalReason::kQueueDeadline, std::clamp(excess, kMinRetryAfter, kMaxRetryAfter)});
  }
  if (exceeds_standing_limit(work, wait)) {
    return tl::unexpected(QueueRefusal{RefusalReason::kQueueFull, StandingQueue::kTimeConstant});
  }
  if (!has_room(work) && !(work.urgency == Urgency::kUrgent && displace_background())) {
    return tl::unexpected(QueueRefusal{RefusalReason::kQueueFull, retry_after_full()});
  }
  insert(work, key, wait, now);
  update_standing(now);
  return {};
}

std::optional<WorkId> MemberQueue::start_next(TimePoint now) {
  expire(now);
  if (m_running.size() >= m_limits.slots || m_items.empty()) {
    return std::nullopt;
  }
  const bool long_allowed = long_may_start(now);
  std::optional<Candidate> candidate = choose_on_time(long_allowed, now);
  if (!candidate) {
    candidate = choose_late(long_allowed);
  }
  if (!candidate) {
    return std::nullopt;
  }
  start(*candidate, now);
  update_standing(now);
  return candidate->id;
}

void MemberQueue::finish(WorkId id, TimePoint now) {
  const auto found = m_running.find(id);
  if (found == m_running.end()) {
    return;
  }
  const RunningWork& running = found->second;
  const Duration actual = std::max(now - running.started_at, Duration::zero());
  UrgencyClass& urgency_class = class_of(running.urgency);
  urgency_class.running_charge -= running.charged;
  urgency_class.pass += std::min(actual, kMaxCharge) * inverse_weight(running.urgency);
  m_duration_correction.record(actual, running.expected);
  update_short_load(now);
  m_running.erase(found);
}

bool MemberQueue::remove(WorkId id) {
  if (m_items.contains(id)) {
    erase(id);
    return true;
  }
  return std::erase(m_discarded, id) > 0;
}

std::vector<WorkId> MemberQueue::take_expired(TimePoint now) {
  expire(now);
  return std::exchange(m_discarded, {});
}

Duration MemberQueue::expected_wait(Urgency urgency, TimePoint now) const {
  QueuedWork work;
  work.urgency = urgency;
  const SortKey last{TimePoint::max(), Duration::zero(), m_next_sequence, WorkId()};
  return predict_wait(work, last, now);
}

std::optional<TimePoint> MemberQueue::next_deadline() const {
  return m_deadlines.empty() ? std::nullopt : std::optional(m_deadlines.begin()->first);
}

MemberQueue::Lane MemberQueue::lane_of(const QueuedWork& work) {
  if (work.in_transaction) {
    return work.is_long ? kTransactionLong : kTransactionShort;
  }
  return work.is_long ? kNewLong : kNewShort;
}

MemberQueue::SortKey MemberQueue::sort_key_of(const QueuedWork& work, TimePoint now) const {
  const Duration ageing_allowance = std::min(clamp_expected(work.expected) * kAgeingFactor, m_limits.ageing_interval);
  return {now + ageing_allowance, clamp_expected(work.expected), m_next_sequence, work.id};
}

/// Work that can start at once is admitted whatever its estimate is. Otherwise a shape whose estimate is too high would
/// never run and its estimate would never be corrected.
bool MemberQueue::meets_deadline(const QueuedWork& work, Duration wait, TimePoint now) const {
  const Duration left = work.deadline - now;
  if (left <= Duration::zero()) {
    return false;
  }
  const Duration own = m_duration_correction.apply(clamp_expected(work.expected));
  return wait <= Duration::zero() || wait + own <= left / 4 * kAdmissionQuarters;
}

bool MemberQueue::has_room(const QueuedWork& work) const {
  const std::size_t reserve = work.urgency == Urgency::kUrgent ? 0 : m_limits.max_queue / 8 * kUrgentReserveEighths;
  return m_items.size() + reserve < m_limits.max_queue;
}

bool MemberQueue::exceeds_standing_limit(const QueuedWork& work, Duration wait) const {
  // An open transaction holds a connection and possibly locks, so its statements are not refused.
  if (work.in_transaction || wait <= kHarmlessWait) {
    return false;
  }
  const UrgencyClass& urgency_class = class_of(work.urgency);
  const StandingQueue& queue = work.is_long ? urgency_class.standing_long : urgency_class.standing_short;
  return queue.is_standing() && urgency_class.waiting(work.is_long) >= standing_limit(work.urgency);
}

/// One waiting item for each slot keeps the slots busy. For urgent work the limit is half of that, because its latency
/// matters more, and other urgencies use the capacity that it leaves.
std::size_t MemberQueue::standing_limit(Urgency urgency) const {
  const std::size_t slots = std::max<std::size_t>(m_limits.slots, 1);
  return urgency == Urgency::kUrgent ? (slots + 1) / 2 : slots;
}

void MemberQueue::update_standing(TimePoint now) {
  for (UrgencyClass& urgency_class : m_classes) {
    urgency_class.update_standing(now);
  }
}

std::size_t MemberQueue::UrgencyClass::waiting(bool is_long) const {
  return is_long ? lanes[kTransactionLong].keys.size() + lanes[kNewLong].keys.size()
                 : lanes[kTransactionShort].keys.size() + lanes[kNewShort].keys.size();
}

void MemberQueue::UrgencyClass::update_standing(TimePoint now) {
  standing_short.observe(waiting(false) == 0, now);
  standing_long.observe(waiting(true) == 0, now);
}

void MemberQueue::OrderedItems::insert(const SortKey& key) {
  keys.insert(key);
  sum += key.expected;
}

void MemberQueue::OrderedItems::erase(const SortKey& key) {
  if (keys.erase(key) > 0) {
    sum -= key.expected;
  }
}

bool MemberQueue::displace_background() {
  const UrgencyClass& background = class_of(Urgency::kBackground);
  const SortKey* last = nullptr;
  for (const Lanes* lanes : {&background.late_lanes, &background.lanes}) {
    for (const OrderedItems& lane : *lanes) {
      if (!lane.empty() && (last == nullptr || *last < *lane.keys.rbegin())) {
        last = &*lane.keys.rbegin();
      }
    }
  }
  if (last == nullptr) {
    return false;
  }
  const WorkId id = last->id;
  erase(id);
  m_discarded.push_back(id);
  return true;
}

void MemberQueue::insert(const QueuedWork& work, const SortKey& key, Duration wait, TimePoint now) {
  ++m_next_sequence;
  class_of(work.urgency).lanes[lane_of(work)].insert(key);
  m_deadlines.emplace(work.deadline, work.id);
  QueuedItem item{work, key, now, wait, false};
  item.work.expected = clamp_expected(work.expected);
  m_items.emplace(work.id, item);
}

/// Returns the expected time until a tenth of the queue has been processed, within the limits of retry_after.
Duration MemberQueue::retry_after_full() const {
  Duration sum{0};
  for (const Urgency urgency : {Urgency::kUrgent, Urgency::kNormal, Urgency::kBackground}) {
    sum += waiting_work(urgency, true, true);
  }
  const Duration tenth = sum / (10 * std::max<std::int64_t>(m_limits.slots, 1));
  return std::clamp(tenth, kMinRetryAfter, kMaxRetryAfter);
}

/// Work that has exceeded its expected duration is expected to take as much longer as it has already exceeded it. The
/// slot of work that never finishes is therefore soon disregarded in predictions.
Duration MemberQueue::remaining_time(const RunningWork& running, TimePoint now) const {
  const Duration left = m_duration_correction.apply(running.expected) - (now - running.started_at);
  return left >= Duration::zero() ? left : -left;
}

bool MemberQueue::has_overrun(const RunningWork& running, TimePoint now) const {
  return now - running.started_at > kOverrunFactor * m_duration_correction.apply(running.expected);
}

bool MemberQueue::counts_as_long(const RunningWork& running, TimePoint now) const {
  return running.is_long || has_overrun(running, now);
}

/// Returns the times until the slots that are available to long work, to short work, or to both become free.
std::vector<Duration> MemberQueue::ready_times(bool for_long, bool for_short, TimePoint now) const {
  std::vector<Duration> ready;
  for (const auto& [id, running] : m_running) {
    const bool is_long = counts_as_long(running, now);
    if (is_long ? for_long : for_short) {
      ready.push_back(remaining_time(running, now));
    }
  }
  const std::uint32_t reserved = m_limits.slots - std::min(m_limits.slots, max_long());
  const std::size_t count = for_long && for_short ? m_limits.slots : (for_long ? max_long() : reserved);
  // If more items run than there are slots, the first ones to finish do not free a slot, so the longest times count.
  std::sort(ready.begin(), ready.end(), std::greater<>());
  ready.resize(m_limits.slots == 0 ? 0 : count, Duration::zero());
  return ready;
}

Duration MemberQueue::work_ahead(const QueuedWork& work, const SortKey& key, bool with_long, bool with_short) const {
  const Lanes& lanes = class_of(work.urgency).lanes;
  Duration sum{0};
  for (const Lane lane : {kTransactionShort, kTransactionLong, kNewShort, kNewLong}) {
    const bool lane_is_long = lane == kTransactionLong || lane == kNewLong;
    const bool lane_is_new = lane == kNewShort || lane == kNewLong;
    if (!(lane_is_long ? with_long : with_short) || (lane_is_new && work.in_transaction)) {
      continue;
    }
    if (key.priority_time == TimePoint::max() || (!lane_is_new && !work.in_transaction)) {
      sum += lanes[lane].sum;
      continue;
    }
    for (const SortKey& other : lanes[lane].keys) {
      if (key < other) {
        break;
      }
      sum += other.expected;
    }
  }
  return m_duration_correction.apply(sum);
}

Duration MemberQueue::waiting_work(Urgency urgency, bool with_long, bool with_short) const {
  QueuedWork work;
  work.urgency = urgency;
  return work_ahead(work, SortKey{TimePoint::max(), Duration::zero(), m_next_sequence, WorkId()}, with_long,
                    with_short);
}

/// Returns the queued work of the other urgencies that will start before `own` work of `urgency` because of the
/// weights.
Duration MemberQueue::work_of_others(Urgency urgency, Duration own, bool with_long, bool with_short) const {
  const Duration start_pass = effective_pass(class_of(urgency)) + own * inverse_weight(urgency);
  Duration sum{0};
  for (const Urgency other : {Urgency::kUrgent, Urgency::kNormal, Urgency::kBackground}) {
    if (other == urgency) {
      continue;
    }
    const Duration queued = waiting_work(other, with_long, with_short);
    // If the passes are equal, the more urgent class starts first.
    const Duration tie = other < urgency ? Duration(1) : Duration::zero();
    const Duration share = (start_pass + tie - effective_pass(class_of(other))) / inverse_weight(other);
    sum += std::clamp(share, Duration::zero(), queued);
  }
  return sum;
}

Duration MemberQueue::predict_wait(const QueuedWork& work, const SortKey& key, TimePoint now) const {
  const auto start_of = [&](bool with_long, bool with_short) {
    const Duration own = work_ahead(work, key, with_long, with_short);
    const Duration others = work_of_others(work.urgency, own, with_long, with_short);
    return time_until_last_start(ready_times(with_long, with_short, now), own + others);
  };
  Duration wait = start_of(true, true);
  if (work.is_long) {
    wait = std::max(wait, start_of(true, false));
  } else if (m_limits.slots > max_long()) {
    // Long work that waits ahead cannot use the slots that are reserved for short work.
    wait = std::min(wait, start_of(false, true));
  }
  // Both corrections grow with the same slow executions. Their product would count a sudden slowdown twice and refuse
  // work for which the queue has capacity, so the product is limited to the maximum of one correction.
  const double duration_factor = std::max(1.0, m_duration_correction.value());
  const double wait_factor =
      std::min(class_of(work.urgency).wait_correction.value(), kHighestCorrection / duration_factor);
  const double corrected = static_cast<double>(wait.count()) * std::max(1.0, wait_factor);
  return std::min(Duration(std::llround(corrected)), kMaxWait);
}

Duration MemberQueue::effective_pass(const UrgencyClass& urgency_class) const {
  const Duration pass = urgency_class.pass + urgency_class.running_charge;
  const bool waiting = std::any_of(urgency_class.lanes.begin(), urgency_class.lanes.end(),
                                   [](const OrderedItems& lane) { return !lane.empty(); });
  return waiting ? pass : std::max(pass, m_virtual_time);
}

std::uint32_t MemberQueue::max_long() const { return m_limits.slots > 1 ? m_limits.slots - 1 : 1; }

/// One long item may run in addition to work that has overrun its estimate. Further long items may start only while the
/// remaining slots suffice for the recent load of short work; otherwise short work would wait for as long as the long
/// work runs.
bool MemberQueue::long_may_start(TimePoint now) const {
  std::uint32_t running_long = 0;
  bool any_expected_long = false;
  for (const auto& [id, running] : m_running) {
    running_long += counts_as_long(running, now) ? 1 : 0;
    any_expected_long = any_expected_long || (running.is_long && !has_overrun(running, now));
  }
  if (running_long >= max_long()) {
    return false;
  }
  return !any_expected_long || running_long + 1 + m_short_load * kShortHeadroom <= m_limits.slots;
}

void MemberQueue::update_short_load(TimePoint now) {
  const auto running_short =
      std::count_if(m_running.begin(), m_running.end(), [](const auto& entry) { return !entry.second.is_long; });
  const auto elapsed = static_cast<double>(std::max(now - m_short_load_at, Duration::zero()).count());
  const double kept = std::exp(-elapsed / static_cast<double>(kShortLoadTimeConstant.count()));
  m_short_load = m_short_load * kept + static_cast<double>(running_short) * (1 - kept);
  m_short_load_at = now;
}

void MemberQueue::move_late_items(UrgencyClass& urgency_class, TimePoint now) {
  for (std::size_t lane = 0; lane < kLaneCount; ++lane) {
    OrderedItems& waiting = urgency_class.lanes[lane];
    while (!waiting.empty()) {
      const SortKey first = *waiting.keys.begin();
      QueuedItem& item = m_items.at(first.id);
      if (now + m_duration_correction.apply(item.work.expected) <= item.work.deadline) {
        break;
      }
      item.late = true;
      waiting.erase(first);
      urgency_class.late_lanes[lane].insert(first);
    }
  }
}

std::optional<MemberQueue::Lane> MemberQueue::first_lane(const Lanes& lanes, bool long_allowed,
                                                         std::uint32_t transaction_streak) {
  const auto first_of = [&](Lane short_lane, Lane long_lane) -> std::optional<Lane> {
    const bool short_waits = !lanes[short_lane].empty();
    const bool long_waits = long_allowed && !lanes[long_lane].empty();
    if (short_waits && long_waits) {
      return *lanes[long_lane].keys.begin() < *lanes[short_lane].keys.begin() ? long_lane : short_lane;
    }
    return short_waits ? std::optional(short_lane) : (long_waits ? std::optional(long_lane) : std::nullopt);
  };
  const std::optional<Lane> transaction = first_of(kTransactionShort, kTransactionLong);
  const std::optional<Lane> new_work = first_of(kNewShort, kNewLong);
  const bool new_work_is_due = new_work && transaction_streak >= kMaxTransactionStreak;
  return transaction && !new_work_is_due ? transaction : new_work;
}

/// Raises the pass of classes that have just become runnable to the lowest pass of the classes that already were, so
/// that an idle class does not accumulate credit. The pass of the last start is not suitable for this: passes decrease
/// when work ends earlier than expected, and the new class would have to wait until the others catch up.
void MemberQueue::raise_newly_runnable_passes(const std::array<std::optional<Lane>, kUrgencyCount>& first_lanes) {
  std::optional<Duration> lowest_pass;
  for (std::size_t index = 0; index < kUrgencyCount; ++index) {
    if (first_lanes[index] && m_classes[index].was_runnable) {
      const Duration pass = m_classes[index].pass + m_classes[index].running_charge;
      lowest_pass = std::min(lowest_pass.value_or(pass), pass);
    }
  }
  for (std::size_t index = 0; index < kUrgencyCount; ++index) {
    UrgencyClass& urgency_class = m_classes[index];
    if (first_lanes[index] && !urgency_class.was_runnable) {
      const Duration pass = urgency_class.pass + urgency_class.running_charge;
      urgency_class.pass += std::max(lowest_pass.value_or(m_virtual_time) - pass, Duration::zero());
    }
    urgency_class.was_runnable = first_lanes[index].has_value();
  }
}

std::optional<MemberQueue::Candidate> MemberQueue::choose_on_time(bool long_allowed, TimePoint now) {
  std::array<std::optional<Lane>, kUrgencyCount> first_lanes;
  for (std::size_t index = 0; index < kUrgencyCount; ++index) {
    UrgencyClass& urgency_class = m_classes[index];
    move_late_items(urgency_class, now);
    first_lanes[index] = first_lane(urgency_class.lanes, long_allowed, urgency_class.transaction_streak);
  }
  raise_newly_runnable_passes(first_lanes);
  std::optional<Candidate> chosen;
  for (const Urgency urgency : {Urgency::kUrgent, Urgency::kNormal, Urgency::kBackground}) {
    const UrgencyClass& urgency_class = class_of(urgency);
    const std::optional<Lane> lane = first_lanes[static_cast<std::size_t>(urgency)];
    const Duration pass = urgency_class.pass + urgency_class.running_charge;
    if (lane && (!chosen || pass < m_virtual_time)) {
      chosen = Candidate{urgency, *lane, urgency_class.lanes[*lane].keys.begin()->id};
      m_virtual_time = pass;
    }
  }
  return chosen;
}

std::optional<MemberQueue::Candidate> MemberQueue::choose_late(bool long_allowed) const {
  for (const Urgency urgency : {Urgency::kUrgent, Urgency::kNormal, Urgency::kBackground}) {
    const Lanes& lanes = class_of(urgency).late_lanes;
    const std::optional<Lane> lane = first_lane(lanes, long_allowed, 0);
    if (lane) {
      return Candidate{urgency, *lane, lanes[*lane].keys.begin()->id};
    }
  }
  return std::nullopt;
}

void MemberQueue::start(const Candidate& candidate, TimePoint now) {
  const QueuedItem item = m_items.at(candidate.id);
  erase(candidate.id);
  UrgencyClass& urgency_class = class_of(candidate.urgency);
  const bool of_transaction = candidate.lane == kTransactionShort || candidate.lane == kTransactionLong;
  const bool new_waits = !urgency_class.lanes[kNewShort].empty() || !urgency_class.lanes[kNewLong].empty();
  urgency_class.transaction_streak = of_transaction && new_waits ? urgency_class.transaction_streak + 1 : 0;
  urgency_class.wait_correction.record(now - item.enqueued_at, item.predicted_wait);
  const Duration expected = std::max(m_duration_correction.apply(item.work.expected), Duration(1));
  const Duration charged = std::min(expected, kMaxCharge) * inverse_weight(candidate.urgency);
  urgency_class.running_charge += charged;
  update_short_load(now);
  m_running.emplace(candidate.id, RunningWork{candidate.urgency, item.work.expected, item.work.is_long, now, charged});
}

void MemberQueue::expire(TimePoint now) {
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    const WorkId id = m_deadlines.begin()->second;
    const QueuedItem& item = m_items.at(id);
    class_of(item.work.urgency).wait_correction.record(now - item.enqueued_at, item.predicted_wait);
    erase(id);
    m_discarded.push_back(id);
  }
}

void MemberQueue::erase(WorkId id) {
  const auto found = m_items.find(id);
  const QueuedItem& item = found->second;
  UrgencyClass& urgency_class = class_of(item.work.urgency);
  Lanes& lanes = item.late ? urgency_class.late_lanes : urgency_class.lanes;
  lanes[lane_of(item.work)].erase(item.key);
  m_deadlines.erase({item.work.deadline, id});
  m_items.erase(found);
}

}  // namespace teaselrudder
