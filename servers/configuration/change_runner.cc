#include "servers/configuration/change_runner.h"

#include <algorithm>
#include <utility>

#include "core/config/configuration_json.h"
#include "servers/configuration/backoff.h"

namespace teaselrudder {

namespace {

constexpr Duration kMinResolveDelay = std::chrono::milliseconds(50);
constexpr Duration kMaxResolveDelay = std::chrono::seconds(1);

std::string version_text(ConfigurationVersion version) { return "version " + std::to_string(version.value()); }

// Returns the version that the change `id` produced; nullopt if `present` does not list the change.
std::optional<ConfigurationVersion> find_change(const Configuration& present, const std::string& id) {
  if (present.change_id == id) {
    return present.version;
  }
  const auto& recent = present.recent_changes;
  const auto found = std::find(recent.begin(), recent.end(), id);
  if (found == recent.end()) {
    return std::nullopt;
  }
  const auto newer = static_cast<std::uint64_t>(recent.end() - found) - 1;
  return ConfigurationVersion(present.version.value() - newer);
}

// Returns whether the list of recent changes includes all changes after the version `base`.
bool has_changes_since(const Configuration& present, ConfigurationVersion base) {
  return present.version.value() <= base.value() + std::max<std::size_t>(present.recent_changes.size(), 1);
}

}  // namespace

ChangeRunner::ChangeRunner(std::string key, HostId self, Incarnation incarnation,
                           std::shared_ptr<const StateChart> chart, StorePort& store, IdSource& ids, ReadBudget& budget,
                           ChangeSink& sink, std::uint64_t random_seed)
    : m_key(std::move(key)),
      m_self(std::move(self)),
      m_incarnation(incarnation),
      m_chart(std::move(chart)),
      m_store(store),
      m_ids(ids),
      m_budget(budget),
      m_sink(sink),
      m_random(random_seed) {}

tl::expected<ChangeNumber, ChangeError> ChangeRunner::start(Configuration proposed, TimePoint now) {
  const ChangeNumber number(++m_last_number);
  Change change{ChangeChart(m_chart), std::move(proposed), {}, {}, {}, false, 0, now + kChangeDeadline, {}};
  change.based_on = change.proposed.version;
  change.proposed.version = ConfigurationVersion(change.based_on.value() + 1);
  change.proposed.change_id =
      m_self.value() + '.' + std::to_string(m_incarnation.value()) + '.' + std::to_string(number.value());
  auto& recent = change.proposed.recent_changes;
  recent.push_back(change.proposed.change_id);
  if (recent.size() > kMaxRecentChanges) {
    recent.erase(recent.begin(), recent.end() - static_cast<std::ptrdiff_t>(kMaxRecentChanges));
  }
  change.document = configuration_to_json(change.proposed);
  if (change.document.size() > kMaxConfigurationBytes) {
    return tl::unexpected(make_error(change, RefusalReason::kConfigurationInvalid, Ran::kNo,
                                     "the document would exceed " + std::to_string(kMaxConfigurationBytes) + " bytes"));
  }
  if (m_changes.size() >= kMaxOpenChanges) {
    return tl::unexpected(
        make_error(change, RefusalReason::kQueueFull, Ran::kNo, "this host has too many concurrent changes"));
  }
  if (!send_read(number, now)) {
    return tl::unexpected(make_error(change, RefusalReason::kStoreUnavailable, Ran::kNo,
                                     "this host's read budget for the store is exhausted"));
  }
  m_changes.emplace(number, std::move(change));
  return number;
}

bool ChangeRunner::on_store_read(StoreCallId call, const tl::expected<StoreValue, StoreError>& outcome, TimePoint now) {
  ChangeNumber number;
  if (!m_calls.contains(call)) {
    return false;
  }
  Change* const change = take_call(call, number);
  if (change == nullptr) {
    return true;
  }
  const bool resolving = change->chart.state() == ChangeState::kResolving;
  if (!outcome.has_value() && resolving) {
    resolve_later(*change, now);
  } else if (!outcome.has_value()) {
    refuse(number, *change, RefusalReason::kStoreUnavailable, "the store could not be read: " + outcome.error().message,
           now);
  } else if (resolving) {
    resolve(number, *change, *outcome, now);
  } else {
    compare_base(number, *change, *outcome, now);
  }
  return true;
}

bool ChangeRunner::on_store_swapped(StoreCallId call, const tl::expected<CompareAndSwapResult, StoreError>& outcome,
                                    TimePoint now) {
  ChangeNumber number;
  if (!m_calls.contains(call)) {
    return false;
  }
  Change* const change = take_call(call, number);
  if (change == nullptr) {
    // The change has already ended as unknown. If the store accepted it, it is adopted nevertheless.
    if (outcome.has_value()) {
      static_cast<void>(m_sink.adopt_document(outcome->present, "a late answer from the store", now));
    }
    return true;
  }
  if (outcome.has_value() && outcome->swapped) {
    static_cast<void>(m_sink.adopt_document(outcome->present, "the store", now));
    accept(number, *change, change->proposed.version, now);
    return true;
  }
  if (outcome.has_value()) {
    resolve(number, *change, outcome->present, now);
    return true;
  }
  change->uncertain = change->uncertain || outcome.error().may_have_taken_effect;
  if (!change->uncertain) {
    refuse(number, *change, RefusalReason::kStoreUnavailable,
           "the store could not be written: " + outcome.error().message, now);
    return true;
  }
  change->chart.fire(ChangeEvent::kAnswerLost);
  resolve_later(*change, now);
  return true;
}

void ChangeRunner::on_tick(TimePoint now) {
  std::vector<ChangeNumber> due;
  for (const auto& [number, change] : m_changes) {
    if (change.deadline <= now || (change.resolve_at.has_value() && *change.resolve_at <= now)) {
      due.push_back(number);
    }
  }
  for (const ChangeNumber number : due) {
    const auto found = m_changes.find(number);
    if (found == m_changes.end()) {
      continue;
    }
    if (found->second.deadline <= now) {
      give_up(number, found->second, RefusalReason::kStoreUnavailable, "the store did not answer in time", now);
    } else if (send_read(number, now)) {
      found->second.resolve_at.reset();
    } else {
      resolve_later(found->second, now);
    }
  }
}

std::optional<TimePoint> ChangeRunner::next_wakeup() const {
  std::optional<TimePoint> earliest;
  for (const auto& [number, change] : m_changes) {
    const TimePoint due = std::min(change.deadline, change.resolve_at.value_or(change.deadline));
    earliest = std::min(due, earliest.value_or(due));
  }
  return earliest;
}

ChangeRunner::Change* ChangeRunner::take_call(StoreCallId call, ChangeNumber& number) {
  const auto node = m_calls.extract(call);
  number = node.mapped();
  const auto found = m_changes.find(number);
  return found == m_changes.end() ? nullptr : &found->second;
}

bool ChangeRunner::send_read(ChangeNumber number, TimePoint now) {
  if (!m_budget.try_take(now)) {
    return false;
  }
  const auto call = m_ids.next<StoreCallId>();
  m_calls.emplace(call, number);
  m_store.get(call, m_key);
  return true;
}

void ChangeRunner::send_swap(ChangeNumber number, Change& change) {
  const auto call = m_ids.next<StoreCallId>();
  m_calls.emplace(call, number);
  m_store.compare_and_swap(call, m_key, change.expected, change.document);
}

void ChangeRunner::compare_base(ChangeNumber number, Change& change, const StoreValue& value, TimePoint now) {
  const auto present = m_sink.adopt_document(value, "the store", now);
  if (!present.has_value()) {
    refuse(number, change, RefusalReason::kConfigurationInvalid,
           "the document in the store does not parse: " + present.error(), now);
    return;
  }
  // If the key does not exist, the change creates it, based on the configuration from the settings.
  if (value.value.has_value() && present->version != change.based_on) {
    refuse_conflict(number, change, present->version, now);
    return;
  }
  change.expected = value.modified;
  change.chart.fire(ChangeEvent::kBaseMatches);
  send_swap(number, change);
}

void ChangeRunner::resolve(ChangeNumber number, Change& change, const StoreValue& value, TimePoint now) {
  const auto present = m_sink.adopt_document(value, "the store", now);
  if (!present.has_value()) {
    give_up(number, change, RefusalReason::kConfigurationInvalid,
            "the document in the store does not parse: " + present.error(), now);
    return;
  }
  if (const auto version = find_change(*present, change.proposed.change_id)) {
    accept(number, change, *version, now);
    return;
  }
  if (value.modified == change.expected) {
    // The write whose answer was lost has not taken effect, but still can. Sending it again is safe: only one of the
    // two writes can replace this revision, and either one stores the change id.
    change.chart.fire(ChangeEvent::kStillUnchanged);
    send_swap(number, change);
    return;
  }
  if (change.uncertain && !has_changes_since(*present, change.based_on)) {
    give_up(number, change, RefusalReason::kStoreUnavailable,
            "too many newer changes were accepted to tell whether this one was", now);
    return;
  }
  // The revision that the write expects has been replaced, so the write can no longer take effect.
  refuse_conflict(number, change, present->version, now);
}

void ChangeRunner::resolve_later(Change& change, TimePoint now) {
  change.resolve_at = now + backoff_delay(change.failures, kMinResolveDelay, kMaxResolveDelay, m_random.next_double());
  ++change.failures;
}

void ChangeRunner::accept(ChangeNumber number, Change& change, ConfigurationVersion version, TimePoint now) {
  change.chart.fire(ChangeEvent::kAccept);
  finish(number, AcceptedChange{version, change.proposed.change_id}, now);
}

void ChangeRunner::refuse(ChangeNumber number, Change& change, RefusalReason reason, std::string detail,
                          TimePoint now) {
  change.chart.fire(ChangeEvent::kRefuse);
  finish(number, tl::unexpected(make_error(change, reason, Ran::kNo, std::move(detail))), now);
}

void ChangeRunner::refuse_conflict(ChangeNumber number, Change& change, ConfigurationVersion present, TimePoint now) {
  change.chart.fire(ChangeEvent::kRefuse);
  ChangeError error = make_error(
      change, RefusalReason::kConfigurationConflict, Ran::kNo,
      "the change is based on " + version_text(change.based_on) + ", but the store holds " + version_text(present));
  error.present = present;
  finish(number, tl::unexpected(std::move(error)), now);
}

void ChangeRunner::give_up(ChangeNumber number, Change& change, RefusalReason reason, std::string detail,
                           TimePoint now) {
  change.chart.fire(ChangeEvent::kGiveUp);
  const Ran ran = change.chart.state() == ChangeState::kRefused ? Ran::kNo : Ran::kUnknown;
  finish(number, tl::unexpected(make_error(change, reason, ran, std::move(detail))), now);
}

void ChangeRunner::finish(ChangeNumber number, const ChangeOutcome& outcome, TimePoint now) {
  m_changes.erase(number);
  m_sink.change_finished(number, outcome, now);
}

ChangeError ChangeRunner::make_error(const Change& change, RefusalReason reason, Ran ran, std::string detail) {
  return ChangeError{reason, ran, std::move(detail), change.proposed.change_id, change.based_on, std::nullopt};
}

}  // namespace teaselrudder
