#include "servers/scheduling/member_queue.h"

#include <algorithm>

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
  const bool full = m_items.size() >= m_limits.max_queue;
  if (full && !(work.urgency == Urgency::kUrgent && displace_background())) {
    return tl::unexpected(QueueRefusal{RefusalReason::kQueueFull, time_to_shorten()});
  }
  insert(work, place, wait, now);
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
  const Place last{TimePoint::max(), m_next_sequence, WorkId()};
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
  return {now + handicap, m_next_sequence, work.id};
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

bool MemberQueue::displace_background() {
  const UrgencyClass& background = class_of(Urgency::kBackground);
  const Place* last = nullptr;
  for (const Lanes* lanes : {&background.late_lanes, &background.lanes}) {
    for (const std::set<Place>& lane : *lanes) {
      if (!lane.empty() && (last == nullptr || *last < *lane.rbegin())) {
        last = &*lane.rbegin();
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
  for (const auto& [id, item] : m_items) {
    sum += item.work.expected;
  }
  const Duration tenth = m_duration_correction.apply(sum) / (10 * std::max<std::int64_t>(m_limits.slots, 1));
  return std::clamp(tenth, kMinRetryAfter, kMaxRetryAfter);
}

/// Work beyond its expected duration is expected to take as long again as it has overrun, so that a slot whose work
/// never finishes soon counts for nothing.
Duration MemberQueue::remaining(const Running& running, TimePoint now) const {
  const Duration left = m_duration_correction.apply(running.expected) - (now - running.started_at);
  return left >= Duration::zero() ? left : -left;
}

bool MemberQueue::counts_as_long(const Running& running, TimePoint now) const {
  const Duration overrun_at = kOverrunFactor * m_duration_correction.apply(running.expected);
  return running.is_long || now - running.started_at > overrun_at;
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
    const bool all_ahead = !lane_is_new && !work.in_transaction;
    for (const Place& other : lanes[lane]) {
      if (!all_ahead && place < other) {
        break;
      }
      sum += m_items.at(other.id).work.expected;
    }
  }
  return m_duration_correction.apply(sum);
}

/// Returns the queued work of the other urgencies that their weights put ahead of `own` work of `urgency`.
Duration MemberQueue::work_of_others(Urgency urgency, Duration own, bool with_long, bool with_short) const {
  const Duration start_pass = effective_pass(class_of(urgency)) + own * inverse_weight(urgency);
  Duration sum{0};
  for (const Urgency other : {Urgency::kUrgent, Urgency::kNormal, Urgency::kBackground}) {
    if (other == urgency) {
      continue;
    }
    QueuedWork last;
    last.urgency = other;
    const Place last_place{TimePoint::max(), m_next_sequence, WorkId()};
    const Duration queued = work_ahead(last, last_place, with_long, with_short);
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
  return std::min(class_of(work.urgency).wait_correction.apply(wait), kUnboundedWait);
}

Duration MemberQueue::effective_pass(const UrgencyClass& urgency_class) const {
  const Duration pass = urgency_class.pass + urgency_class.running_pass;
  const bool waiting = std::any_of(urgency_class.lanes.begin(), urgency_class.lanes.end(),
                                   [](const std::set<Place>& lane) { return !lane.empty(); });
  return waiting ? pass : std::max(pass, m_virtual_time);
}

std::uint32_t MemberQueue::max_long() const { return m_limits.slots > 1 ? m_limits.slots - 1 : 1; }

bool MemberQueue::long_may_start(TimePoint now) const {
  const auto running_long = std::count_if(m_running.begin(), m_running.end(),
                                          [&](const auto& entry) { return counts_as_long(entry.second, now); });
  return static_cast<std::uint32_t>(running_long) < max_long();
}

void MemberQueue::move_late_items(UrgencyClass& urgency_class, TimePoint now) {
  for (std::size_t lane = 0; lane < kLaneCount; ++lane) {
    std::set<Place>& places = urgency_class.lanes[lane];
    while (!places.empty()) {
      Item& item = m_items.at(places.begin()->id);
      if (now + m_duration_correction.apply(item.work.expected) <= item.work.deadline) {
        break;
      }
      item.late = true;
      urgency_class.late_lanes[lane].insert(places.extract(places.begin()));
    }
  }
}

std::optional<MemberQueue::Lane> MemberQueue::first_lane(const Lanes& lanes, bool long_allowed,
                                                         std::uint32_t transaction_run) {
  const auto first_of = [&](Lane short_lane, Lane long_lane) -> std::optional<Lane> {
    const bool short_waits = !lanes[short_lane].empty();
    const bool long_waits = long_allowed && !lanes[long_lane].empty();
    if (short_waits && long_waits) {
      return *lanes[long_lane].begin() < *lanes[short_lane].begin() ? long_lane : short_lane;
    }
    return short_waits ? std::optional(short_lane) : (long_waits ? std::optional(long_lane) : std::nullopt);
  };
  const std::optional<Lane> transaction = first_of(kTransactionShort, kTransactionLong);
  const std::optional<Lane> fresh = first_of(kNewShort, kNewLong);
  const bool new_is_due = fresh && transaction_run >= kMaxTransactionRun;
  return transaction && !new_is_due ? transaction : fresh;
}

std::optional<MemberQueue::Candidate> MemberQueue::choose_on_time(bool long_allowed, TimePoint now) {
  std::optional<Candidate> chosen;
  Duration lowest_pass{0};
  for (const Urgency urgency : {Urgency::kUrgent, Urgency::kNormal, Urgency::kBackground}) {
    UrgencyClass& urgency_class = class_of(urgency);
    move_late_items(urgency_class, now);
    const std::optional<Lane> lane = first_lane(urgency_class.lanes, long_allowed, urgency_class.transaction_run);
    const Duration pass = urgency_class.pass + urgency_class.running_pass;
    if (!lane) {
      urgency_class.pass += std::max(m_virtual_time - pass, Duration::zero());
    } else if (!chosen || pass < lowest_pass) {
      chosen = Candidate{urgency, *lane, urgency_class.lanes[*lane].begin()->id};
      lowest_pass = pass;
    }
  }
  if (chosen) {
    m_virtual_time = std::max(m_virtual_time, lowest_pass);
  }
  return chosen;
}

std::optional<MemberQueue::Candidate> MemberQueue::choose_late(bool long_allowed) const {
  for (const Urgency urgency : {Urgency::kUrgent, Urgency::kNormal, Urgency::kBackground}) {
    const Lanes& lanes = class_of(urgency).late_lanes;
    const std::optional<Lane> lane = first_lane(lanes, long_allowed, 0);
    if (lane) {
      return Candidate{urgency, *lane, lanes[*lane].begin()->id};
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
