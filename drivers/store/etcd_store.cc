#include "drivers/store/etcd_store.h"

#include <algorithm>
#include <utility>

#include "drivers/store/etcd_json.h"

namespace teaselrudder {

namespace {

constexpr int kStatusOk = 200;
constexpr int kFirstServerError = 500;

constexpr const char* kRangePath = "/v3/kv/range";
constexpr const char* kTransactionPath = "/v3/kv/txn";
constexpr const char* kWatchPath = "/v3/watch";

std::uint64_t milliseconds_until(TimePoint deadline, TimePoint now) {
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - now).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(left, 1));
}

// Error text of h2o's HTTP client for a response that is not HTTP.
StoreErrorKind kind_of_failure(const std::string& failure) {
  return failure == "failed to parse the response" ? StoreErrorKind::kBadResponse : StoreErrorKind::kUnavailable;
}

}  // namespace

EtcdStore::EtcdStore(uv_loop_t* loop, const Clock& clock, EtcdStoreSettings settings, Counters& counters)
    : m_clock(clock),
      m_settings(std::move(settings)),
      m_counters(counters),
      m_budget(m_settings.call_rate, m_settings.call_burst, clock.now()),
      m_client(loop),
      m_timer(new uv_timer_t) {
  uv_timer_init(loop, m_timer);
  m_timer->data = this;
}

EtcdStore::~EtcdStore() {
  m_operations.clear();
  uv_close(reinterpret_cast<uv_handle_t*>(m_timer),
           [](uv_handle_t* handle) { delete reinterpret_cast<uv_timer_t*>(handle); });
}

void EtcdStore::set_events(StoreEvents& store_events, HostListEvents& host_list_events) {
  m_store_events = &store_events;
  m_host_list_events = &host_list_events;
}

void EtcdStore::get(StoreCallId call, const std::string& key) {
  start_operation(StoreOperationKind::kRead, call.value(), key, "", kRangePath, encode_range(key));
}

void EtcdStore::compare_and_swap(StoreCallId call, const std::string& key, StoreRevision expected,
                                 const std::string& value) {
  start_operation(StoreOperationKind::kCompareAndSwap, call.value(), key, value, kTransactionPath,
                  encode_compare_and_swap(key, expected, value));
}

void EtcdStore::watch(WatchId watch, const std::string& key, StoreRevision from) {
  start_operation(StoreOperationKind::kWatch, watch.value(), key, "", kWatchPath, encode_watch(key, from));
}

void EtcdStore::cancel_watch(WatchId watch) {
  std::erase_if(m_operations, [watch](const auto& entry) {
    return entry.second->kind() == StoreOperationKind::kWatch && entry.second->id() == watch.value();
  });
}

void EtcdStore::fetch_host_list() {
  const std::string key = m_settings.prefix + "/hosts";
  start_operation(StoreOperationKind::kHostList, 0, key, "", kRangePath, encode_range(key));
}

void EtcdStore::start_operation(StoreOperationKind kind, std::uint64_t id, const std::string& key,
                                const std::string& value, const char* path, std::string body) {
  const TimePoint now = m_clock.now();
  auto& operation = m_operations[++m_last_number];
  operation =
      std::make_unique<StoreOperation>(kind, id, key, value, path, std::move(body), [this] { schedule_processing(); });
  operation->deadline = now + m_settings.call_timeout;
  schedule_processing();
  if (!m_budget.try_take(now)) {
    operation->mark_over_budget();
    return;
  }
  m_counters.count("store_calls");
  start_attempt(*operation, m_preferred_endpoint, now);
}

void EtcdStore::start_attempt(StoreOperation& operation, std::size_t endpoint_index, TimePoint now) {
  const TimePoint attempt_deadline = std::min(now + m_settings.connect_timeout, operation.deadline);
  operation.start(m_client, m_settings.endpoints.at(endpoint_index), endpoint_index, attempt_deadline);
}

void EtcdStore::schedule_processing() {
  uv_timer_start(
      m_timer, [](uv_timer_t* timer) { static_cast<EtcdStore*>(timer->data)->on_timer(); }, 0, 0);
}

void EtcdStore::on_timer() {
  // Event handlers may start and cancel operations, so the numbers are copied first and each is looked up again.
  std::vector<OperationNumber> numbers;
  for (const auto& [number, operation] : m_operations) {
    numbers.push_back(number);
  }
  for (const OperationNumber number : numbers) {
    process(number, m_clock.now());
  }
  arm_timer(m_clock.now());
}

void EtcdStore::arm_timer(TimePoint now) {
  std::uint64_t delay = 0;
  bool has_work = false;
  for (const auto& [number, operation] : m_operations) {
    const bool is_connecting = operation->state() == StoreOperationState::kConnecting;
    const bool is_sent = operation->state() == StoreOperationState::kSent;
    if (!is_connecting && !is_sent) {
      schedule_processing();
      return;
    }
    const TimePoint next = is_connecting ? operation->attempt_deadline() : operation->deadline;
    const std::uint64_t until_next = milliseconds_until(next, now);
    delay = has_work ? std::min(delay, until_next) : until_next;
    has_work = true;
  }
  if (has_work) {
    uv_timer_start(
        m_timer, [](uv_timer_t* timer) { static_cast<EtcdStore*>(timer->data)->on_timer(); }, delay, 0);
  }
}

void EtcdStore::process(OperationNumber number, TimePoint now) {
  const auto found = m_operations.find(number);
  if (found == m_operations.end()) {
    return;
  }
  StoreOperation& operation = *found->second;
  switch (operation.state()) {
    case StoreOperationState::kOverBudget:
      m_counters.count("store_budget_exceeded");
      fail(number, StoreErrorKind::kBudgetExceeded,
           "the call was not sent, because this host's call budget for the store is used up", now);
      return;
    case StoreOperationState::kConnecting:
      if (now >= operation.attempt_deadline()) {
        on_no_connection(number, operation, "the connection attempt timed out", now);
      }
      return;
    case StoreOperationState::kSent:
      process_sent(number, operation, now);
      return;
    case StoreOperationState::kCompleted:
      on_completed(number, operation, now);
      return;
    case StoreOperationState::kFailed: {
      if (!operation.was_sent()) {
        on_no_connection(number, operation, operation.failure(), now);
        return;
      }
      const std::string operation_failure = operation.failure();
      // A watch may have received changes before its connection broke.
      process_watch(number, operation, now);
      fail(number, kind_of_failure(operation_failure), operation_failure, now);
      return;
    }
  }
}

void EtcdStore::process_sent(OperationNumber number, StoreOperation& operation, TimePoint now) {
  if (operation.answer_too_long()) {
    fail(number, StoreErrorKind::kBadResponse, "the response is too large", now);
    return;
  }
  if (operation.kind() == StoreOperationKind::kWatch && operation.status() == kStatusOk) {
    process_watch(number, operation, now);
  }
  const auto found = m_operations.find(number);
  if (found != m_operations.end() && now >= found->second->deadline) {
    m_counters.count("store_timeouts");
    fail(number, StoreErrorKind::kTimeout, "the store did not respond in time", now);
  }
}

void EtcdStore::on_no_connection(OperationNumber number, StoreOperation& operation, const std::string& reason,
                                 TimePoint now) {
  const std::size_t next = (operation.endpoint_index() + 1) % m_settings.endpoints.size();
  if (operation.attempts() >= m_settings.endpoints.size() || now >= operation.deadline) {
    fail(number, StoreErrorKind::kUnavailable, "no endpoint of the store can be reached; the last error is: " + reason,
         now);
    return;
  }
  start_attempt(operation, next, now);
}

void EtcdStore::on_completed(OperationNumber number, StoreOperation& operation, TimePoint now) {
  const int status = operation.status();
  if (status >= kFirstServerError) {
    fail(number, StoreErrorKind::kUnavailable, "the store responded with HTTP status " + std::to_string(status), now);
    return;
  }
  if (status != kStatusOk) {
    fail(number, StoreErrorKind::kBadResponse, "the store responded with HTTP status " + std::to_string(status), now);
    return;
  }
  if (operation.answer_too_long()) {
    fail(number, StoreErrorKind::kBadResponse, "the response is too large", now);
    return;
  }
  if (operation.kind() == StoreOperationKind::kWatch) {
    process_watch(number, operation, now);
    fail(number, StoreErrorKind::kUnavailable, "the store ended the watch", now);
    return;
  }
  complete(number, now);
}

void EtcdStore::process_watch(OperationNumber number, StoreOperation& operation, TimePoint now) {
  if (operation.kind() != StoreOperationKind::kWatch) {
    return;
  }
  const WatchId watch(operation.id());
  std::vector<StoreValue> changes;
  std::string protocol_error;
  for (std::string line; protocol_error.empty() && operation.take_line(line);) {
    auto message = decode_watch_line(line, operation.key());
    if (!message.has_value()) {
      protocol_error = message.error();
    } else if (message->cancelled) {
      protocol_error = "the store cancelled the watch";
    } else {
      operation.deadline = now + m_settings.watch_idle_timeout;
      std::move(message->changes.begin(), message->changes.end(), std::back_inserter(changes));
    }
  }
  deliver_changes(number, watch, changes, now);
  if (!protocol_error.empty()) {
    fail(number, StoreErrorKind::kBadResponse, protocol_error, now);
  }
}

void EtcdStore::deliver_changes(OperationNumber number, WatchId watch, const std::vector<StoreValue>& changes,
                                TimePoint now) {
  for (const StoreValue& change : changes) {
    if (!m_operations.contains(number)) {
      return;
    }
    m_store_events->on_store_changed(watch, change, now);
  }
}

void EtcdStore::complete(OperationNumber number, TimePoint now) {
  const StoreOperation& operation = *m_operations.at(number);
  m_preferred_endpoint = operation.endpoint_index();
  if (operation.kind() == StoreOperationKind::kRead) {
    auto value = decode_range(operation.answer(), operation.key());
    if (!value.has_value()) {
      fail(number, StoreErrorKind::kBadResponse, value.error(), now);
      return;
    }
    const StoreCallId call(operation.id());
    m_operations.erase(number);
    m_store_events->on_store_read(call, std::move(*value), now);
    return;
  }
  if (operation.kind() == StoreOperationKind::kCompareAndSwap) {
    auto result = decode_compare_and_swap(operation.answer(), operation.key(), operation.value());
    if (!result.has_value()) {
      fail(number, StoreErrorKind::kBadResponse, result.error(), now);
      return;
    }
    const StoreCallId call(operation.id());
    m_operations.erase(number);
    m_store_events->on_store_swapped(call, std::move(*result), now);
    return;
  }
  complete_host_list(number, now);
}

void EtcdStore::complete_host_list(OperationNumber number, TimePoint now) {
  const StoreOperation& operation = *m_operations.at(number);
  const auto value = decode_range(operation.answer(), operation.key());
  if (!value.has_value()) {
    fail(number, StoreErrorKind::kBadResponse, value.error(), now);
    return;
  }
  // A missing list is decoded as an empty text, which is an error: it must not be mistaken for a list without hosts.
  auto hosts = decode_host_list(value->value.value_or(""));
  if (!hosts.has_value()) {
    m_counters.count("host_list_unparsable");
    fail(number, StoreErrorKind::kBadResponse, hosts.error(), now);
    return;
  }
  m_operations.erase(number);
  m_host_list_events->on_host_list(std::move(*hosts), now);
}

void EtcdStore::fail(OperationNumber number, StoreErrorKind kind, const std::string& message, TimePoint now) {
  const auto found = m_operations.find(number);
  if (found == m_operations.end()) {
    return;
  }
  const std::unique_ptr<StoreOperation> operation = std::move(found->second);
  m_operations.erase(found);
  if (kind != StoreErrorKind::kBudgetExceeded) {
    m_counters.count("store_calls_failed");
    if (m_preferred_endpoint == operation->endpoint_index()) {
      m_preferred_endpoint = (m_preferred_endpoint + 1) % m_settings.endpoints.size();
    }
  }
  const bool may_have_taken_effect = operation->kind() == StoreOperationKind::kCompareAndSwap && operation->was_sent();
  const StoreError error{kind, may_have_taken_effect, message};
  switch (operation->kind()) {
    case StoreOperationKind::kRead:
      m_store_events->on_store_read(StoreCallId(operation->id()), tl::unexpected(error), now);
      return;
    case StoreOperationKind::kCompareAndSwap:
      m_store_events->on_store_swapped(StoreCallId(operation->id()), tl::unexpected(error), now);
      return;
    case StoreOperationKind::kWatch:
      m_store_events->on_watch_failed(WatchId(operation->id()), error, now);
      return;
    case StoreOperationKind::kHostList:
      m_host_list_events->on_host_list(tl::unexpected(error), now);
      return;
  }
}

}  // namespace teaselrudder
