#include "servers/scheduling/member_queue.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace teaselrudder {

namespace {

/// Inverse weights of urgent, normal and background work, scaled so that they are whole numbers (16, 4 and 1).
constexpr std::array<std::int64_t, 3> kInverseWeights = {1, 4, 16};

/// Newer work overtakes waiting work that is longer by `d` only if it arrived within this many times `d`.
constexpr std::int64_t kAgeingFactor = 20;

/// Transaction statements that go ahead of waiting new work in a row; without a bound, a few busy transactions would
/// keep new work of their urgency out for good.
constexpr std::uint32_t kMaxTransactionRun = 16;

/// Running work that takes more than this many times its expected duration counts as long, so that wrong estimates
/// cannot fill the slots that are kept free of long work.
constexpr std::int64_t kOverrunFactor = 5;

/// Slot time that one item is charged for at most; otherwise work that hung would keep its urgency from starting
/// anything for as long as it hung.
constexpr Duration kMaxCharge = std::chrono::seconds(1);

/// Share of the time to the deadline that admission may use up, in quarters. The rest covers the spread of durations.
constexpr std::int64_t kAdmissionQuarters = 3;

/// Share of the queue that only urgent work may use, in eighths, so that a queue full of normal work cannot keep it
/// out.
constexpr std::size_t kUrgentReserveEighths = 1;

/// Slots left to short work for each slot that it uses: at 80% load it waits little.
constexpr double kShortHeadroom = 1.25;

/// Time constant of the load of short work; several long items of a quarter of a second fit in.
constexpr Duration kShortLoadTimeConstant = std::chrono::seconds(1);

/// Longest duration that is believed, so that sums cannot overflow.
constexpr Duration kMaxExpected = std::chrono::minutes(10);

/// Wait of a member without slots.
constexpr Duration kUnboundedWait = std::chrono::hours(24);

/// Bounds of the advice when to come back: shorter ones make a busy loop, longer ones outlast a peak load.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);

std::int64_t inverse_weight(Urgency urgency) { return kInverseWeights[static_cast<std::size_t>(urgency)]; }

Duration bounded(Duration expected) { return std::clamp(expected, Duration::zero(), kMaxExpected); }

/// Returns when the last of `work` starts if slots become ready at `ready` and share the work evenly.
Duration start_after(std::vector<Duration> ready, Duration work) {
  if (ready.empty()) {
    return kUnboundedWait;
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
  return std::min(sum / static_cast<std::int64_t>(ready.size()), kUnboundedWait);
}

}  // namespace

MemberQueue::MemberQueue(QueueLimits limits) : m_limits(limits) {}

void MemberQueue::set_slots(std::uint32_t slots) { m_limits.slots = slots; }

tl::expected<void, QueueRefusal> MemberQueue::enqueue(const QueuedWork& work, TimePoint now) {
  expire(now);
  if (m_items.contains(work.id) || m_running.contains(work.id)) {
    return tl::unexpected(QueueRefusal{RefusalReason::kInternal, Duration::zero()});
  }
  const Place place = place_of(work, now);
  const Duration wait = predict_wait(work, place, now);
  if (!fits(work, wait, now)) {
    const Duration excess = wait + bounded(work.expected) - (work.deadline - now);
    return tl::unexpected(
        QueueRefusal{RefusalReason::kQueueDeadline, std::clamp(excess, kMinRetryAfter, kMaxRetryAfter)});
  }
  if (stands(work, wait)) {
    return tl::unexpected(QueueRefusal{RefusalReason::kQueueFull, StandingQueue::kTimeConstant});
  }
  if (!has_room(work) && !(work.urgency == Urgency::kUrgent && displace_background())) {
    return tl::unexpected(QueueRefusal{RefusalReason::kQueueFull, time_to_shorten()});
  }
  insert(work, place, wait, now);
  observe_standing(now);
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
  observe_standing(now);
  return candidate->id;
}

void MemberQueue::finish(WorkId id, TimePoint now) {
  const auto found = m_running.find(id);
  if (found == m_running.end()) {
    return;
  }
  const Running& running = found->second;
  const Duration actual = std::max(now - running.started_at, Duration::zero());
  UrgencyClass& urgency_class = class_of(running.urgency);
  urgency_class.running_pass -= running.charged;
  urgency_class.pass += std::min(actual, kMaxCharge) * inverse_weight(running.urgency);
  m_duration_correction.record(actual, running.expected);
  observe_short_load(now);
  m_running.erase(found);
}

bool MemberQueue::remove(WorkId id) {
  if (m_items.contains(id)) {
    erase(id);
    return true;
  }
  return std::erase(m_not_run, id) > 0;
}

std::vector<WorkId> MemberQueue::take_expired(TimePoint now) {
  expire(now);
  return std::exchange(m_not_run, {});
}

Duration MemberQueue::expected_wait(Urgency urgency, TimePoint now) const {
  QueuedWork work;
  work.urgency = urgency;
  const Place last{TimePoint::max(), Duration::zero(), m_next_sequence, WorkId()};
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

MemberQueue::Place MemberQueue::place_of(const QueuedWork& work, TimePoint now) const {
  const Duration handicap = std::min(bounded(work.expected) * kAgeingFactor, m_limits.ageing_interval);
  return {now + handicap, bounded(work.expected), m_next_sequence, work.id};
}

/// A free slot admits whatever the estimate says; otherwise a shape whose estimate is too high would never run and
/// never be learned anew.
bool MemberQueue::fits(const QueuedWork& work, Duration wait, TimePoint now) const {
  const Duration left = work.deadline - now;
  if (left <= Duration::zero()) {
    return false;
  }
  const Duration own = m_duration_correction.apply(bounded(work.expected));
  return wait <= Duration::zero() || wait + own <= left / 4 * kAdmissionQuarters;
}

bool MemberQueue::has_room(const QueuedWork& work) const {
  const std::size_t reserve = work.urgency == Urgency::kUrgent ? 0 : m_limits.max_queue / 8 * kUrgentReserveEighths;
  return m_items.size() + reserve < m_limits.max_queue;
}

bool MemberQueue::stands(const QueuedWork& work, Duration wait) const {
  // A transaction that is open already holds a connection and perhaps locks, so its statements are not held back.
  if (work.in_transaction || wait <= kHarmlessWait) {
    return false;
  }
  const UrgencyClass& urgency_class = class_of(work.urgency);
  const StandingQueue& queue = work.is_long ? urgency_class.standing_long : urgency_class.standing_short;
  return queue.is_standing() && urgency_class.waiting(work.is_long) >= standing_limit(work.urgency);
}

/// One item for each slot keeps the slots busy. Urgent work gets half of that, because it is there for its latency and
/// the other urgencies use what it leaves.
std::size_t MemberQueue::standing_limit(Urgency urgency) const {
  const std::size_t slots = std::max<std::size_t>(m_limits.slots, 1);
  return urgency == Urgency::kUrgent ? (slots + 1) / 2 : slots;
}

void MemberQueue::observe_standing(TimePoint now) {
  for (UrgencyClass& urgency_class : m_classes) {
    urgency_class.observe_standing(now);
  }
}

std::size_t MemberQueue::UrgencyClass::waiting(bool is_long) const {
  return is_long ? lanes[kTransactionLong].places.size() + lanes[kNewLong].places.size()
                 : lanes[kTransactionShort].places.size() + lanes[kNewShort].places.size();
}

void MemberQueue::UrgencyClass::observe_standing(TimePoint now) {
  standing_short.observe(waiting(false) == 0, now);
  standing_long.observe(waiting(true) == 0, now);
}

void MemberQueue::OrderedWork::insert(const Place& place) {
  places.insert(place);
  sum += place.expected;
}

void MemberQueue::OrderedWork::erase(const Place& place) {
  if (places.erase(place) > 0) {
    sum -= place.expected;
  }
}

bool MemberQueue::displace_background() {
  const UrgencyClass& background = class_of(Urgency::kBackground);
  const Place* last = nullptr;
  for (const Lanes* lanes : {&background.late_lanes, &background.lanes}) {
    for (const OrderedWork& lane : *lanes) {
      if (!lane.empty() && (last == nullptr || *last < *lane.places.rbegin())) {
        last = &*lane.places.rbegin();
      }
    }
  }
  if (last == nullptr) {
    return false;
  }
  const WorkId id = last->id;
  erase(id);
  m_not_run.push_back(id);
  return true;
}

void MemberQueue::insert(const QueuedWork& work, const Place& place, Duration wait, TimePoint now) {
  ++m_next_sequence;
  class_of(work.urgency).lanes[lane_of(work)].insert(place);
  m_deadlines.emplace(work.deadline, work.id);
  Item item{work, place, now, wait, false};
  item.work.expected = bounded(work.expected);
  m_items.emplace(work.id, item);
}

/// Time until a tenth of the queue has been worked off.
Duration MemberQueue::time_to_shorten() const {
  Duration sum{0};
  for (const Urgency urgency : {Urgency::kUrgent, Urgency::kNormal, Urgency::kBackground}) {
    sum += waiting_work(urgency, true, true);
  }
  const Duration tenth = sum / (10 * std::max<std::int64_t>(m_limits.slots, 1));
  return std::clamp(tenth, kMinRetryAfter, kMaxRetryAfter);
}

/// Work beyond its expected duration is expected to take as long again as it has overrun, so that a slot whose work
/// never finishes soon counts for nothing.
Duration MemberQueue::remaining(const Running& running, TimePoint now) const {
  const Duration left = m_duration_correction.apply(running.expected) - (now - running.started_at);
  return left >= Duration::zero() ? left : -left;
}

bool MemberQueue::overran(const Running& running, TimePoint now) const {
  return now - running.started_at > kOverrunFactor * m_duration_correction.apply(running.expected);
}

bool MemberQueue::counts_as_long(const Running& running, TimePoint now) const {
  return running.is_long || overran(running, now);
}

/// Returns when each slot that is open to long or to short work becomes free.
std::vector<Duration> MemberQueue::ready_times(bool of_long, bool of_short, TimePoint now) const {
  std::vector<Duration> ready;
  for (const auto& [id, running] : m_running) {
    const bool is_long = counts_as_long(running, now);
    if (is_long ? of_long : of_short) {
      ready.push_back(remaining(running, now));
    }
  }
  const std::uint32_t reserved = m_limits.slots - std::min(m_limits.slots, max_long());
  const std::size_t count = of_long && of_short ? m_limits.slots : (of_long ? max_long() : reserved);
  // With more running than slots, the first to finish make no slot free.
  std::sort(ready.begin(), ready.end(), std::greater<>());
  ready.resize(m_limits.slots == 0 ? 0 : count, Duration::zero());
  return ready;
}

Duration MemberQueue::work_ahead(const QueuedWork& work, const Place& place, bool with_long, bool with_short) const {
  const Lanes& lanes = class_of(work.urgency).lanes;
  Duration sum{0};
  for (const Lane lane : {kTransactionShort, kTransactionLong, kNewShort, kNewLong}) {
    const bool lane_is_long = lane == kTransactionLong || lane == kNewLong;
    const bool lane_is_new = lane == kNewShort || lane == kNewLong;
    if (!(lane_is_long ? with_long : with_short) || (lane_is_new && work.in_transaction)) {
      continue;
    }
    if (place.rank == TimePoint::max() || (!lane_is_new && !work.in_transaction)) {
      sum += lanes[lane].sum;
      continue;
    }
    for (const Place& other : lanes[lane].places) {
      if (place < other) {
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
  return work_ahead(work, Place{TimePoint::max(), Duration::zero(), m_next_sequence, WorkId()}, with_long, with_short);
}

/// Returns the queued work of the other urgencies that their weights put ahead of `own` work of `urgency`.
Duration MemberQueue::work_of_others(Urgency urgency, Duration own, bool with_long, bool with_short) const {
  const Duration start_pass = effective_pass(class_of(urgency)) + own * inverse_weight(urgency);
  Duration sum{0};
  for (const Urgency other : {Urgency::kUrgent, Urgency::kNormal, Urgency::kBackground}) {
    if (other == urgency) {
      continue;
    }
    const Duration queued = waiting_work(other, with_long, with_short);
    // Equal passes go to the more urgent class.
    const Duration tie = other < urgency ? Duration(1) : Duration::zero();
    const Duration share = (start_pass + tie - effective_pass(class_of(other))) / inverse_weight(other);
    sum += std::clamp(share, Duration::zero(), queued);
  }
  return sum;
}

Duration MemberQueue::predict_wait(const QueuedWork& work, const Place& place, TimePoint now) const {
  const auto start_of = [&](bool with_long, bool with_short) {
    const Duration own = work_ahead(work, place, with_long, with_short);
    const Duration others = work_of_others(work.urgency, own, with_long, with_short);
    return start_after(ready_times(with_long, with_short, now), own + others);
  };
  Duration wait = start_of(true, true);
  if (work.is_long) {
    wait = std::max(wait, start_of(true, false));
  } else if (m_limits.slots > max_long()) {
    // Long work ahead cannot take the slots that are kept free of it.
    wait = std::min(wait, start_of(false, true));
  }
  // Both corrections learn from the same slow executions. Their product would count a sudden slowdown twice and refuse
  // work for which the queue has room, so together they stay within the bound of one.
  const double duration_factor = std::max(1.0, m_duration_correction.value());
  const double wait_factor =
      std::min(class_of(work.urgency).wait_correction.value(), kHighestCorrection / duration_factor);
  const double corrected = static_cast<double>(wait.count()) * std::max(1.0, wait_factor);
  return std::min(Duration(std::llround(corrected)), kUnboundedWait);
}

Duration MemberQueue::effective_pass(const UrgencyClass& urgency_class) const {
  const Duration pass = urgency_class.pass + urgency_class.running_pass;
  const bool waiting = std::any_of(urgency_class.lanes.begin(), urgency_class.lanes.end(),
                                   [](const OrderedWork& lane) { return !lane.empty(); });
  return waiting ? pass : std::max(pass, m_virtual_time);
}

std::uint32_t MemberQueue::max_long() const { return m_limits.slots > 1 ? m_limits.slots - 1 : 1; }

/// One long item may run beside work that overran; more of them only while the other slots suffice for the short work
/// of late. Otherwise short work would queue for as long as the long work runs.
bool MemberQueue::long_may_start(TimePoint now) const {
  std::uint32_t running_long = 0;
  bool any_regular = false;
  for (const auto& [id, running] : m_running) {
    running_long += counts_as_long(running, now) ? 1 : 0;
    any_regular = any_regular || (running.is_long && !overran(running, now));
  }
  if (running_long >= max_long()) {
    return false;
  }
  return !any_regular || running_long + 1 + m_short_load * kShortHeadroom <= m_limits.slots;
}

void MemberQueue::observe_short_load(TimePoint now) {
  const auto running_short =
      std::count_if(m_running.begin(), m_running.end(), [](const auto& entry) { return !entry.second.is_long; });
  const auto elapsed = static_cast<double>(std::max(now - m_short_load_at, Duration::zero()).count());
  const double kept = std::exp(-elapsed / static_cast<double>(kShortLoadTimeConstant.count()));
  m_short_load = m_short_load * kept + static_cast<double>(running_short) * (1 - kept);
  m_short_load_at = now;
}

void MemberQueue::move_late_items(UrgencyClass& urgency_class, TimePoint now) {
  for (std::size_t lane = 0; lane < kLaneCount; ++lane) {
    OrderedWork& waiting = urgency_class.lanes[lane];
    while (!waiting.empty()) {
      const Place first = *waiting.places.begin();
      Item& item = m_items.at(first.id);
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
                                                         std::uint32_t transaction_run) {
  const auto first_of = [&](Lane short_lane, Lane long_lane) -> std::optional<Lane> {
    const bool short_waits = !lanes[short_lane].empty();
    const bool long_waits = long_allowed && !lanes[long_lane].empty();
    if (short_waits && long_waits) {
      return *lanes[long_lane].places.begin() < *lanes[short_lane].places.begin() ? long_lane : short_lane;
    }
    return short_waits ? std::optional(short_lane) : (long_waits ? std::optional(long_lane) : std::nullopt);
  };
  const std::optional<Lane> transaction = first_of(kTransactionShort, kTransactionLong);
  const std::optional<Lane> fresh = first_of(kNewShort, kNewLong);
  const bool new_is_due = fresh && transaction_run >= kMaxTransactionRun;
  return transaction && !new_is_due ? transaction : fresh;
}

/// Lifts the pass of classes that could not start anything until now to that of the others, so that an idle class
/// saves up nothing. The pass of the last start would not do as the level: passes fall when work ends early, and the
/// newcomer would then have to wait for the others to catch up.
void MemberQueue::admit_competitors(const std::array<std::optional<Lane>, kUrgencyCount>& first_lanes) {
  std::optional<Duration> level;
  for (std::size_t index = 0; index < kUrgencyCount; ++index) {
    if (first_lanes[index] && m_classes[index].competing) {
      const Duration pass = m_classes[index].pass + m_classes[index].running_pass;
      level = std::min(level.value_or(pass), pass);
    }
  }
  for (std::size_t index = 0; index < kUrgencyCount; ++index) {
    UrgencyClass& urgency_class = m_classes[index];
    if (first_lanes[index] && !urgency_class.competing) {
      const Duration pass = urgency_class.pass + urgency_class.running_pass;
      urgency_class.pass += std::max(level.value_or(m_virtual_time) - pass, Duration::zero());
    }
    urgency_class.competing = first_lanes[index].has_value();
  }
}

std::optional<MemberQueue::Candidate> MemberQueue::choose_on_time(bool long_allowed, TimePoint now) {
  std::array<std::optional<Lane>, kUrgencyCount> first_lanes;
  for (std::size_t index = 0; index < kUrgencyCount; ++index) {
    UrgencyClass& urgency_class = m_classes[index];
    move_late_items(urgency_class, now);
    first_lanes[index] = first_lane(urgency_class.lanes, long_allowed, urgency_class.transaction_run);
  }
  admit_competitors(first_lanes);
  std::optional<Candidate> chosen;
  for (const Urgency urgency : {Urgency::kUrgent, Urgency::kNormal, Urgency::kBackground}) {
    const UrgencyClass& urgency_class = class_of(urgency);
    const std::optional<Lane> lane = first_lanes[static_cast<std::size_t>(urgency)];
    const Duration pass = urgency_class.pass + urgency_class.running_pass;
    if (lane && (!chosen || pass < m_virtual_time)) {
      chosen = Candidate{urgency, *lane, urgency_class.lanes[*lane].places.begin()->id};
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
      return Candidate{urgency, *lane, lanes[*lane].places.begin()->id};
    }
  }
  return std::nullopt;
}

void MemberQueue::start(const Candidate& candidate, TimePoint now) {
  const Item item = m_items.at(candidate.id);
  erase(candidate.id);
  UrgencyClass& urgency_class = class_of(candidate.urgency);
  const bool of_transaction = candidate.lane == kTransactionShort || candidate.lane == kTransactionLong;
  const bool new_waits = !urgency_class.lanes[kNewShort].empty() || !urgency_class.lanes[kNewLong].empty();
  urgency_class.transaction_run = of_transaction && new_waits ? urgency_class.transaction_run + 1 : 0;
  urgency_class.wait_correction.record(now - item.enqueued_at, item.predicted_wait);
  const Duration expected = std::max(m_duration_correction.apply(item.work.expected), Duration(1));
  const Duration charged = std::min(expected, kMaxCharge) * inverse_weight(candidate.urgency);
  urgency_class.running_pass += charged;
  observe_short_load(now);
  m_running.emplace(candidate.id, Running{candidate.urgency, item.work.expected, item.work.is_long, now, charged});
}

void MemberQueue::expire(TimePoint now) {
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    const WorkId id = m_deadlines.begin()->second;
    const Item& item = m_items.at(id);
    class_of(item.work.urgency).wait_correction.record(now - item.enqueued_at, item.predicted_wait);
    erase(id);
    m_not_run.push_back(id);
  }
}

void MemberQueue::erase(WorkId id) {
  const auto found = m_items.find(id);
  const Item& item = found->second;
  UrgencyClass& urgency_class = class_of(item.work.urgency);
  Lanes& lanes = item.late ? urgency_class.late_lanes : urgency_class.lanes;
  lanes[lane_of(item.work)].erase(item.place);
  m_deadlines.erase({item.work.deadline, id});
  m_items.erase(found);
}

}  // namespace teaselrudder
